package routing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/endpoint"
	"tamarackknot.example/tamarackknot/internal/journaltest"
)

type engine struct{}

func (engine) Order(context.Context, string, tamarackknot.Order) tamarackknot.OrderResult {
	return tamarackknot.OrderResult{}
}

func (engine) Report(context.Context, string) (tamarackknot.Report, error) {
	return tamarackknot.Report{Time: time.Now()}, nil
}

// harness is a router with an in-memory journal and placement.
type harness struct {
	store     *journaltest.Store
	placement *journaltest.Placement
	table     *endpoint.Table
	router    *Router
}

// newHarness returns a harness whose router is not running. Changes of the store
// reach the router by sync or, after run, by themselves.
func newHarness(cfg Config) *harness {
	h := &harness{store: journaltest.NewStore(), placement: &journaltest.Placement{}}
	cfg.Journal = &journaltest.Journal{Store: h.store}
	h.table = endpoint.New(endpoint.Config{Journal: cfg.Journal, Engine: engine{}})
	cfg.Table, cfg.Placement = h.table, h.placement
	h.router = New(cfg)
	return h
}

func (h *harness) sync() { h.router.cfg.Journal.Read(h.router.sync) }

func modelResource(name, version string) *tamarackknot.Resource {
	return &tamarackknot.Resource{
		Kind: tamarackknot.KindModel, Metadata: tamarackknot.Metadata{Name: name},
		Model: &tamarackknot.ModelSpec{Version: version},
	}
}

func endpointResource(name string, slots int) *tamarackknot.Resource {
	return &tamarackknot.Resource{
		Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: name},
		Endpoint: &tamarackknot.EndpointSpec{Address: name, Slots: slots, FailureDomain: "fd-" + name[len(name)-1:]},
	}
}

func request(priority int, deadline time.Duration) Request {
	return Request{Key: Key{Model: "m"}, Version: "1", Priority: priority, Deadline: time.Now().Add(deadline), Attempt: 1}
}

// run starts the router and returns a function that stops it.
func (h *harness) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		h.router.Run(ctx)
		close(done)
	}()
	synctest.Wait()
	return func() {
		cancel()
		<-done
	}
}

// TestQueueOrder guards against a queue that serves a request with a lower
// priority or a later deadline first, and against a freed slot that is not
// granted.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(Config{})
		h.store.Apply(modelResource("m", "1"), endpointResource("e1", 1))
		h.store.SetReplica("m", "e1", tamarackknot.ReplicaLoaded)
		defer h.run()()
		g, rej := h.router.Acquire(context.Background(), request(5, time.Minute))
		require.Nil(t, rej)
		var order []string
		for _, q := range []struct {
			name     string
			priority int
			deadline time.Duration
		}{
			{"low", 1, 20 * time.Second},
			{"late", 5, 40 * time.Second},
			{"early", 5, 30 * time.Second},
			{"early second", 5, 30 * time.Second},
			{"high", 9, 50 * time.Second},
		} {
			go func() {
				g, rej := h.router.Acquire(context.Background(), request(q.priority, q.deadline))
				if rej == nil {
					order = append(order, q.name)
					g.Release()
				}
			}()
			synctest.Wait()
		}
		require.Equal(t, tamarackknot.Demand{
			Target: "m", Waiting: 5, Priority: 9, Earliest: time.Now().Add(20 * time.Second),
		}, h.placement.Demand("m"))
		g.Release()
		synctest.Wait()
		require.Equal(t, []string{"high", "early", "early second", "late", "low"}, order)
		require.Zero(t, h.placement.Demand("m").Waiting)
		require.Panics(t, g.Release)
	})
}

// TestDeclinedRequest guards against a declined request that loses its place in
// the queue or is sent again at once, and against a slot that stays unused after
// another request of this host has freed it.
func TestDeclinedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(Config{})
		h.store.Apply(modelResource("m", "1"), endpointResource("e1", 3))
		h.store.SetReplica("m", "e1", tamarackknot.ReplicaLoaded)
		defer h.run()()
		req := request(5, time.Minute)
		req.Arrived = time.Now()
		acquire := func(req Request) Grant {
			g, rej := h.router.Acquire(context.Background(), req)
			require.Nil(t, rej)
			return g
		}
		held, declined := acquire(req), acquire(req)
		time.Sleep(time.Millisecond)
		declined.Declined()
		start := time.Now()
		var order []string
		for _, name := range []string{"later", "declined"} {
			again := req
			if name == "later" {
				again.Arrived = start
			} else {
				again.Declined = 1
			}
			go func() {
				g := acquire(again)
				order = append(order, name)
				time.Sleep(time.Hour)
				g.Release()
			}()
			synctest.Wait()
		}
		require.Empty(t, order)
		held.Release()
		synctest.Wait()
		require.Equal(t, []string{"declined"}, order)
		require.Equal(t, start, time.Now())
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, []string{"declined", "later"}, order)
		time.Sleep(2 * time.Hour)
	})
}

// TestQueueBounds guards against a queue that grows without limit, and against
// requests that wait although they will not be served by their deadlines.
func TestQueueBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(Config{MaxQueue: 2, MaxQueued: 3})
		h.store.Apply(modelResource("m", "1"), modelResource("n", "1"), endpointResource("e1", 1))
		h.store.SetReplica("m", "e1", tamarackknot.ReplicaLoaded)
		stop := h.run()
		acquire := func(model string, deadline time.Duration) *Rejection {
			req := request(5, deadline)
			req.Key.Model = model
			g, rej := h.router.Acquire(context.Background(), req)
			if rej == nil {
				time.Sleep(10 * time.Second)
				g.Release()
			}
			return rej
		}
		require.Nil(t, acquire("m", time.Minute)) // holds its slot for 10 s
		results := make(chan *Rejection, 4)
		go func() { results <- acquire("m", time.Minute) }()
		synctest.Wait()
		start := time.Now()
		rej := acquire("m", 5*time.Second)
		require.Equal(t, RejectTooLate, rej.Reason)
		require.Equal(t, start, time.Now())
		require.Equal(t, start.Add(10*time.Second), rej.RetryAt)
		go func() { results <- acquire("m", time.Minute) }()
		go func() { results <- acquire("m", time.Minute) }()
		synctest.Wait()
		require.Equal(t, RejectQueueFull, acquire("m", time.Minute).Reason)
		go func() { results <- acquire("n", time.Minute) }()
		synctest.Wait()
		require.Equal(t, RejectQueueFull, acquire("n", time.Minute).Reason)
		time.Sleep(5 * time.Second)
		stop()
		require.Equal(t, RejectStopped, (<-results).Reason)
		require.Equal(t, RejectStopped, (<-results).Reason)
		require.Equal(t, RejectStopped, (<-results).Reason)
		require.Nil(t, <-results)
	})
}

// TestQueuedRequestResumes guards against a queued request that stays queued after
// a slot was freed by another target on the same endpoint, or after a replica of
// its version was loaded.
func TestQueuedRequestResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(Config{})
		h.store.Apply(modelResource("m", "1"), modelResource("n", "1"), endpointResource("e1", 1))
		h.store.SetReplica("m", "e1", tamarackknot.ReplicaLoaded)
		h.store.SetReplica("n", "e1", tamarackknot.ReplicaLoaded)
		defer h.run()()
		req := request(5, time.Minute)
		req.Key.Model = "n"
		held, rej := h.router.Acquire(context.Background(), req)
		require.Nil(t, rej)
		granted := make(chan string, 1)
		wait := func() {
			g, rej := h.router.Acquire(context.Background(), request(5, time.Minute))
			if rej == nil {
				granted <- g.Entry.Name()
				g.Release()
			}
		}
		go wait()
		synctest.Wait()
		require.Empty(t, granted)
		held.Release()
		synctest.Wait()
		require.Len(t, granted, 1)
		<-granted

		// A replica of the old version must not get the request.
		h.store.Apply(modelResource("m", "2"))
		time.Sleep(time.Second)
		req = request(5, time.Minute)
		req.Version = "2"
		go func() {
			g, _ := h.router.Acquire(context.Background(), req)
			granted <- g.Entry.Name()
			g.Release()
		}()
		time.Sleep(time.Second)
		require.Empty(t, granted)
		h.store.SetReplica("m", "e1", tamarackknot.ReplicaLoaded)
		require.Equal(t, "e1", <-granted)
	})
}

// TestIndex guards against an index that differs from the state after random
// changes to endpoints, models and replicas.
func TestIndex(t *testing.T) {
	const seed, steps = 5, 3000
	rng := rand.New(rand.NewPCG(seed, seed))
	h := newHarness(Config{})
	name := func(kind string, n int) string { return fmt.Sprintf("%s%d", kind, rng.IntN(n)) }
	states := []tamarackknot.ReplicaState{
		tamarackknot.ReplicaClaimed, tamarackknot.ReplicaLoaded, tamarackknot.ReplicaLoaded, tamarackknot.ReplicaUnloading, "",
	}
	for range steps {
		switch rng.IntN(6) {
		case 0:
			h.store.Apply(endpointResource(name("e", 8), 1+rng.IntN(4)))
		case 1:
			h.store.Remove(tamarackknot.KindEndpoint, name("e", 8))
		case 2:
			h.store.Apply(modelResource(name("m", 5), name("", 3)))
		default:
			h.store.SetReplica(name("m", 5), name("e", 8), states[rng.IntN(len(states))])
		}
		if rng.IntN(3) > 0 {
			continue
		}
		h.sync()
		h.router.cfg.Journal.Read(func(s tamarackknot.State) {
			for i := range 5 {
				m := fmt.Sprintf("m%d", i)
				var want, got []string
				for _, rep := range s.Replicas(m) {
					if _, ok := s.Resource(tamarackknot.KindEndpoint, rep.Endpoint); ok && rep.State == tamarackknot.ReplicaLoaded {
						want = append(want, rep.Endpoint+" "+rep.Version)
					}
				}
				if list := h.router.target(Key{Model: m}).candidates.Load(); list != nil {
					for _, c := range list.all {
						got = append(got, c.entry.Name()+" "+c.version)
					}
				}
				slices.Sort(want)
				slices.Sort(got)
				require.Equal(t, want, got)
			}
		})
	}
}

// TestScoreOrder guards against a wrong order of preference among free replicas.
func TestScoreOrder(t *testing.T) {
	h := newHarness(Config{FailureDomain: "fd-2"})
	h.store.Apply(modelResource("m", "1"), endpointResource("e1", 10), endpointResource("e2", 10), endpointResource("e3", 10))
	for _, e := range []string{"e1", "e2", "e3"} {
		h.store.SetReplica("m", e, tamarackknot.ReplicaLoaded)
	}
	h.sync()
	choose := func(req Request) string {
		g, rej := h.router.Acquire(context.Background(), req)
		require.Nil(t, rej)
		return g.Entry.Name()
	}
	req := request(5, time.Minute)
	require.Equal(t, "e2", choose(req), "failure domain")
	req.Prefix = 77
	first := choose(req)
	require.Equal(t, first, choose(req), "prefix")
	req.Prefix = 0
	e2, _ := h.table.Get("e2")
	req.Tried[0] = e2
	require.NotEqual(t, "e2", choose(req), "tried before")
	e1, _ := h.table.Get("e1")
	h.table.MarkLeaving(e1, "test")
	require.Equal(t, "e3", choose(req), "leaving")
	h.table.ApplySign(tamarackknot.EndpointSign{Endpoint: "e3", Until: time.Now().Add(time.Hour)})
	require.Equal(t, "e2", choose(req), "sign of a peer; only an endpoint that was tried before remains")
}

// journalReader is a placement that reads the journal in every call.
type journalReader struct {
	journaltest.Placement
	journal tamarackknot.Journal
}

func (p *journalReader) SetDemand(d tamarackknot.Demand) {
	p.journal.Read(func(tamarackknot.State) {})
	p.Placement.SetDemand(d)
}

func (p *journalReader) Forecast(target string) tamarackknot.Forecast {
	p.journal.Read(func(tamarackknot.State) {})
	return p.Placement.Forecast(target)
}

// TestPlacementReadsJournal guards against a deadlock of the router, a placement
// that reads the journal and a writer of the journal.
func TestPlacementReadsJournal(t *testing.T) {
	h := newHarness(Config{})
	h.store.Apply(modelResource("m", "1"), endpointResource("e1", 1))
	placement := &journalReader{journal: h.router.cfg.Journal}
	h.router.cfg.Placement = placement
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { h.router.Run(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			h.store.SetReplica("m", "e1", tamarackknot.ReplicaLoaded)
			time.Sleep(100 * time.Microsecond)
			h.store.SetReplica("m", "e1", tamarackknot.ReplicaUnloading)
		}
	})
	for range 8 {
		wg.Go(func() {
			for ctx.Err() == nil {
				if g, rej := h.router.Acquire(ctx, request(5, 20*time.Millisecond)); rej == nil {
					g.Release()
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		require.Fail(t, "deadlock")
	}
	require.Zero(t, placement.Demand("m").Waiting)
}

// TestRetryBudget guards against retries that multiply the load while requests
// fail.
func TestRetryBudget(t *testing.T) {
	h := newHarness(Config{})
	retries := 0
	for range 1000 {
		h.router.RecordRequest(Key{Model: "m"})
		for range 2 {
			if h.router.AllowRetry(Key{Model: "m"}) {
				retries++
			}
		}
	}
	require.LessOrEqual(t, retries, 200+retryBurst)
	require.GreaterOrEqual(t, retries, 200)
}

// newLargeHarness returns a harness with the given numbers of models and adapters
// and of replicas of models, one to an endpoint.
func newLargeHarness(models, adapters, replicas int) *harness {
	h := newHarness(Config{})
	list := make([]*tamarackknot.Resource, 0, models+adapters+replicas)
	for i := range models {
		list = append(list, modelResource(fmt.Sprintf("m%d", i), "1"))
	}
	for i := range adapters {
		list = append(list, &tamarackknot.Resource{
			Kind: tamarackknot.KindAdapter, Metadata: tamarackknot.Metadata{Name: fmt.Sprintf("a%d", i)},
			Adapter: &tamarackknot.AdapterSpec{Model: fmt.Sprintf("m%d", i%models), Version: "1"},
		})
	}
	for i := range replicas {
		list = append(list, endpointResource(fmt.Sprintf("e%d", i), 64))
	}
	h.store.Apply(list...)
	for i := range replicas {
		h.store.SetReplica(fmt.Sprintf("m%d", i%models), fmt.Sprintf("e%d", i), tamarackknot.ReplicaLoaded)
		if i < adapters {
			h.store.SetReplica(fmt.Sprintf("a%d", i), fmt.Sprintf("e%d", i), tamarackknot.ReplicaLoaded)
		}
	}
	h.sync()
	return h
}

type fleetSize struct{ models, adapters, replicas int }

func fleetSizes() map[string]fleetSize {
	return map[string]fleetSize{
		"small":  {10, 350, 69},
		"middle": {97, 3500, 690},
		"target": {97, 35_000, 6900},
		"oneHot": {1, 35_000, 6900}, // all replicas of one model
	}
}

// TestNoAllocation guards against heap allocations for each routed request.
func TestNoAllocation(t *testing.T) {
	h := newLargeHarness(10, 350, 690)
	req := request(5, time.Hour)
	req.Key.Model, req.Prefix = "m1", 5
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		g, rej := h.router.Acquire(context.Background(), req)
		if rej != nil {
			panic(rej.Detail)
		}
		g.Release()
	}))
}

// BenchmarkAcquire measures a routing decision and the release of the grant.
func BenchmarkAcquire(b *testing.B) {
	for name, s := range fleetSizes() {
		b.Run(name, func(b *testing.B) {
			h := newLargeHarness(s.models, s.adapters, s.replicas)
			reqs := make([]Request, 0, s.models+100)
			for i := range s.models {
				reqs = append(reqs, request(5, time.Hour))
				reqs[i].Key.Model, reqs[i].Prefix = fmt.Sprintf("m%d", i), uint64(i)
			}
			for i := range min(100, s.adapters, s.replicas) {
				if name == "oneHot" {
					break
				}
				r := request(5, time.Hour)
				r.Key.Model = fmt.Sprintf("a%d", i)
				reqs = append(reqs, r)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				g, rej := h.router.Acquire(context.Background(), reqs[i%len(reqs)])
				if rej != nil {
					b.Fatal(rej.Detail)
				}
				g.Release()
			}
		})
	}
}

// BenchmarkSync measures the update of the index after the change of one replica.
func BenchmarkSync(b *testing.B) {
	for name, s := range fleetSizes() {
		b.Run(name, func(b *testing.B) {
			h := newLargeHarness(s.models, s.adapters, s.replicas)
			i := 0
			for b.Loop() {
				i++
				state := tamarackknot.ReplicaLoaded
				if i%2 == 0 {
					state = tamarackknot.ReplicaUnloading
				}
				b.StopTimer()
				h.store.SetReplica("m0", "e0", state)
				b.StartTimer()
				h.sync()
			}
		})
	}
}
