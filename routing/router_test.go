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

type bed struct {
	store     *journaltest.Store
	placement *journaltest.Placement
	table     *endpoint.Table
	router    *Router
}

// newBed returns a router that follows a store; sync reads it.
func newBed(cfg Config) *bed {
	b := &bed{store: journaltest.NewStore(), placement: &journaltest.Placement{}}
	cfg.Journal = &journaltest.Journal{Store: b.store}
	b.table = endpoint.New(endpoint.Config{Journal: cfg.Journal, Engine: engine{}})
	cfg.Table, cfg.Placement = b.table, b.placement
	b.router = New(cfg)
	return b
}

func (b *bed) sync() { b.router.cfg.Journal.Read(b.router.sync) }

func model(name, version string) *tamarackknot.Resource {
	return &tamarackknot.Resource{
		Kind: tamarackknot.KindModel, Metadata: tamarackknot.Metadata{Name: name},
		Model: &tamarackknot.ModelSpec{Version: version},
	}
}

func place(name string, slots int) *tamarackknot.Resource {
	return &tamarackknot.Resource{
		Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: name},
		Endpoint: &tamarackknot.EndpointSpec{Address: name, Slots: slots, FailureDomain: "fd-" + name[len(name)-1:]},
	}
}

func request(priority int, deadline time.Duration) Request {
	return Request{Key: Key{Model: "m"}, Version: "1", Priority: priority, Deadline: time.Now().Add(deadline), Attempt: 1}
}

// run starts the router and returns a function that stops it.
func (b *bed) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		b.router.Run(ctx)
		close(done)
	}()
	synctest.Wait()
	return func() {
		cancel()
		<-done
	}
}

// TestQueueOrder guards against a queue that serves a later or less important
// request first, and against a freed slot that wakes nobody.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(Config{})
		b.store.Apply(model("m", "1"), place("e1", 1))
		b.store.Place("m", "e1", tamarackknot.ReplicaLoaded)
		defer b.run()()
		g, rej := b.router.Acquire(context.Background(), request(5, time.Minute))
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
				g, rej := b.router.Acquire(context.Background(), request(q.priority, q.deadline))
				if rej == nil {
					order = append(order, q.name)
					g.Release()
				}
			}()
			synctest.Wait()
		}
		require.Equal(t, tamarackknot.Demand{
			Target: "m", Waiting: 5, Priority: 9, Earliest: time.Now().Add(20 * time.Second),
		}, b.placement.Demand("m"))
		g.Release()
		synctest.Wait()
		require.Equal(t, []string{"high", "early", "early second", "late", "low"}, order)
		require.Zero(t, b.placement.Demand("m").Waiting)
		require.Panics(t, g.Release)
	})
}

// TestDeclined guards against a request that loses its place in the queue, or
// is sent again at once, when an endpoint has no slot for it, and against a
// slot that is not used when one of this host's requests has freed it.
func TestDeclined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(Config{})
		b.store.Apply(model("m", "1"), place("e1", 3))
		b.store.Place("m", "e1", tamarackknot.ReplicaLoaded)
		defer b.run()()
		req := request(5, time.Minute)
		req.Arrived = time.Now()
		acquire := func(req Request) Grant {
			g, rej := b.router.Acquire(context.Background(), req)
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

// TestQueueBounds guards against a queue that grows without bound, and against
// requests that wait for a turn which will come too late.
func TestQueueBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(Config{MaxQueue: 2, MaxQueued: 3})
		b.store.Apply(model("m", "1"), model("n", "1"), place("e1", 1))
		b.store.Place("m", "e1", tamarackknot.ReplicaLoaded)
		stop := b.run()
		acquire := func(model string, deadline time.Duration) *Rejection {
			req := request(5, deadline)
			req.Key.Model = model
			g, rej := b.router.Acquire(context.Background(), req)
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

// TestWake guards against a queued request that is not woken by a slot freed
// by another target on the same endpoint, or by a new version.
func TestWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(Config{})
		b.store.Apply(model("m", "1"), model("n", "1"), place("e1", 1))
		b.store.Place("m", "e1", tamarackknot.ReplicaLoaded)
		b.store.Place("n", "e1", tamarackknot.ReplicaLoaded)
		defer b.run()()
		req := request(5, time.Minute)
		req.Key.Model = "n"
		held, rej := b.router.Acquire(context.Background(), req)
		require.Nil(t, rej)
		granted := make(chan string, 1)
		wait := func() {
			g, rej := b.router.Acquire(context.Background(), request(5, time.Minute))
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

		// A replica of the old version does not serve.
		b.store.Apply(model("m", "2"))
		time.Sleep(time.Second)
		req = request(5, time.Minute)
		req.Version = "2"
		go func() {
			g, _ := b.router.Acquire(context.Background(), req)
			granted <- g.Entry.Name()
			g.Release()
		}()
		time.Sleep(time.Second)
		require.Empty(t, granted)
		b.store.Place("m", "e1", tamarackknot.ReplicaLoaded)
		require.Equal(t, "e1", <-granted)
	})
}

// TestIndex guards against an index that differs from the state after changes.
func TestIndex(t *testing.T) {
	const seed, steps = 5, 3000
	rng := rand.New(rand.NewPCG(seed, seed))
	b := newBed(Config{})
	name := func(kind string, n int) string { return fmt.Sprintf("%s%d", kind, rng.IntN(n)) }
	states := []tamarackknot.ReplicaState{
		tamarackknot.ReplicaClaimed, tamarackknot.ReplicaLoaded, tamarackknot.ReplicaLoaded, tamarackknot.ReplicaUnloading, "",
	}
	for range steps {
		switch rng.IntN(6) {
		case 0:
			b.store.Apply(place(name("e", 8), 1+rng.IntN(4)))
		case 1:
			b.store.Remove(tamarackknot.KindEndpoint, name("e", 8))
		case 2:
			b.store.Apply(model(name("m", 5), name("", 3)))
		default:
			b.store.Place(name("m", 5), name("e", 8), states[rng.IntN(len(states))])
		}
		if rng.IntN(3) > 0 {
			continue
		}
		b.sync()
		b.router.cfg.Journal.Read(func(s tamarackknot.State) {
			for i := range 5 {
				m := fmt.Sprintf("m%d", i)
				var want, got []string
				for _, rep := range s.Replicas(m) {
					if _, ok := s.Resource(tamarackknot.KindEndpoint, rep.Endpoint); ok && rep.State == tamarackknot.ReplicaLoaded {
						want = append(want, rep.Endpoint+" "+rep.Version)
					}
				}
				if list := b.router.target(Key{Model: m}).candidates.Load(); list != nil {
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

// TestScore guards the order of preference among free replicas.
func TestScore(t *testing.T) {
	b := newBed(Config{FailureDomain: "fd-2"})
	b.store.Apply(model("m", "1"), place("e1", 10), place("e2", 10), place("e3", 10))
	for _, e := range []string{"e1", "e2", "e3"} {
		b.store.Place("m", e, tamarackknot.ReplicaLoaded)
	}
	b.sync()
	choose := func(req Request) string {
		g, rej := b.router.Acquire(context.Background(), req)
		require.Nil(t, rej)
		return g.Entry.Name()
	}
	req := request(5, time.Minute)
	require.Equal(t, "e2", choose(req), "failure domain")
	req.Prefix = 77
	first := choose(req)
	require.Equal(t, first, choose(req), "prefix")
	req.Prefix = 0
	e2, _ := b.table.Get("e2")
	req.Tried[0] = e2
	require.NotEqual(t, "e2", choose(req), "tried before")
	e1, _ := b.table.Get("e1")
	b.table.Leaving(e1, "test")
	require.Equal(t, "e3", choose(req), "leaving")
	b.table.Sign(tamarackknot.EndpointSign{Endpoint: "e3", Until: time.Now().Add(time.Hour)})
	require.Equal(t, "e2", choose(req), "sign of a peer; only a tried endpoint is left")
}

// reading is a placement that reads the journal in every call.
type reading struct {
	journaltest.Placement
	journal tamarackknot.Journal
}

func (p *reading) Want(d tamarackknot.Demand) {
	p.journal.Read(func(tamarackknot.State) {})
	p.Placement.Want(d)
}

func (p *reading) Forecast(target string) tamarackknot.Forecast {
	p.journal.Read(func(tamarackknot.State) {})
	return p.Placement.Forecast(target)
}

// TestPlacementReadsJournal guards against a deadlock between the router, a
// placement that reads the journal and a writer of the journal.
func TestPlacementReadsJournal(t *testing.T) {
	b := newBed(Config{})
	b.store.Apply(model("m", "1"), place("e1", 1))
	placement := &reading{journal: b.router.cfg.Journal}
	b.router.cfg.Placement = placement
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { b.router.Run(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			b.store.Place("m", "e1", tamarackknot.ReplicaLoaded)
			time.Sleep(100 * time.Microsecond)
			b.store.Place("m", "e1", tamarackknot.ReplicaUnloading)
		}
	})
	for range 8 {
		wg.Go(func() {
			for ctx.Err() == nil {
				if g, rej := b.router.Acquire(ctx, request(5, 20*time.Millisecond)); rej == nil {
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

// TestRetryBudget guards against retries that multiply the load.
func TestRetryBudget(t *testing.T) {
	b := newBed(Config{})
	retries := 0
	for range 1000 {
		b.router.Sent(Key{Model: "m"})
		for range 2 {
			if b.router.Retry(Key{Model: "m"}) {
				retries++
			}
		}
	}
	require.LessOrEqual(t, retries, 200+retryBurst)
	require.GreaterOrEqual(t, retries, 200)
}

// large fills a store with models, adapters and replicas, one to an endpoint.
func large(models, adapters, replicas int) *bed {
	b := newBed(Config{})
	list := make([]*tamarackknot.Resource, 0, models+adapters+replicas)
	for i := range models {
		list = append(list, model(fmt.Sprintf("m%d", i), "1"))
	}
	for i := range adapters {
		list = append(list, &tamarackknot.Resource{
			Kind: tamarackknot.KindAdapter, Metadata: tamarackknot.Metadata{Name: fmt.Sprintf("a%d", i)},
			Adapter: &tamarackknot.AdapterSpec{Model: fmt.Sprintf("m%d", i%models), Version: "1"},
		})
	}
	for i := range replicas {
		list = append(list, place(fmt.Sprintf("e%d", i), 64))
	}
	b.store.Apply(list...)
	for i := range replicas {
		b.store.Place(fmt.Sprintf("m%d", i%models), fmt.Sprintf("e%d", i), tamarackknot.ReplicaLoaded)
		if i < adapters {
			b.store.Place(fmt.Sprintf("a%d", i), fmt.Sprintf("e%d", i), tamarackknot.ReplicaLoaded)
		}
	}
	b.sync()
	return b
}

type size struct{ models, adapters, replicas int }

func sizes() map[string]size {
	return map[string]size{
		"small":  {10, 350, 69},
		"middle": {97, 3500, 690},
		"target": {97, 35_000, 6900},
		"oneHot": {1, 35_000, 6900}, // all replicas of one model
	}
}

// TestNoAllocation guards against garbage on the path of every request.
func TestNoAllocation(t *testing.T) {
	b := large(10, 350, 690)
	req := request(5, time.Hour)
	req.Key.Model, req.Prefix = "m1", 5
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		g, rej := b.router.Acquire(context.Background(), req)
		if rej != nil {
			panic(rej.Detail)
		}
		g.Release()
	}))
}

// BenchmarkAcquire measures a routing decision and its release.
func BenchmarkAcquire(b *testing.B) {
	for name, s := range sizes() {
		b.Run(name, func(b *testing.B) {
			bed := large(s.models, s.adapters, s.replicas)
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
				g, rej := bed.router.Acquire(context.Background(), reqs[i%len(reqs)])
				if rej != nil {
					b.Fatal(rej.Detail)
				}
				g.Release()
			}
		})
	}
}

// BenchmarkSync measures the update of the index after one change.
func BenchmarkSync(b *testing.B) {
	for name, s := range sizes() {
		b.Run(name, func(b *testing.B) {
			bed := large(s.models, s.adapters, s.replicas)
			i := 0
			for b.Loop() {
				i++
				state := tamarackknot.ReplicaLoaded
				if i%2 == 0 {
					state = tamarackknot.ReplicaUnloading
				}
				b.StopTimer()
				bed.store.Place("m0", "e0", state)
				b.StartTimer()
				bed.sync()
			}
		})
	}
}
