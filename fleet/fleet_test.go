package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

// node is an entry host with its Client and Publisher.
type node struct {
	client    *Client
	publisher *Publisher

	mu     sync.Mutex
	held   bool
	fence  int64
	demand tamarackknot.HostDemand
	view   map[string]tamarackknot.EngineView

	forecasts []tamarackknot.ModelForecast
	limits    []tamarackknot.EndpointNotice
	cancels   []context.CancelFunc

	acknowledgedAt time.Duration // the latest that OnAcknowledged was called with
	keepsSilent    atomic.Bool   // the node promises nothing
}

func (n *node) setLease(fence int64, held bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fence, n.held = fence, held
}

func (n *node) others(engine string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view[engine].Others
}

func start(t *testing.T, count int) (*fake.Peers, []*node) {
	t.Helper()
	peers := fake.NewPeers(fake.PeersConfig{Latency: time.Millisecond})
	logger, started := log.New(io.Discard), time.Now()
	var entries []tamarackknot.HostEntry
	for i := range count {
		entries = append(entries, tamarackknot.HostEntry{Name: fmt.Sprintf("h%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), PeerAddress: "x"})
	}
	var nodes []*node
	for _, entry := range entries {
		n := &node{view: make(map[string]tamarackknot.EngineView)}
		host := peers.Host(entry.Name)
		n.publisher = NewPublisher(PublisherConfig{
			Self: entry, Peers: host, Hosts: func() []tamarackknot.HostEntry { return entries }, Logger: logger,
			LeaseHeld: func() (int64, bool) {
				n.mu.Lock()
				defer n.mu.Unlock()
				return n.fence, n.held
			},
			OnAcknowledged: func(sentAt time.Duration) {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.acknowledgedAt = max(n.acknowledgedAt, sentAt)
			},
			Clock:            func() time.Duration { return time.Since(started) + time.Hour },
			Catalog:          func() tamarackknot.StreamState { return tamarackknot.StreamState{} },
			Endpoints:        func() tamarackknot.StreamState { return tamarackknot.StreamState{} },
			OnCatalogVersion: func(int64) {}, LeaseEnd: func() tamarackknot.Position { return tamarackknot.Position{Offset: 7} },
		})
		n.client = NewClient(ClientConfig{
			Self: entry, Peers: host, Local: n.publisher, Logger: logger,
			Demand: func(bool) tamarackknot.HostDemand {
				n.mu.Lock()
				defer n.mu.Unlock()
				return n.demand
			},
			OnView: func(v tamarackknot.FleetView) {
				n.mu.Lock()
				defer n.mu.Unlock()
				for id, e := range v.Engines {
					n.view[id] = e
				}
				n.forecasts = v.Forecasts
				n.limits = append(n.limits, v.Notices...)
			},
			CatalogVersion: func() int64 { return 1 },
			Promise:        func(time.Duration) bool { return !n.keepsSilent.Load() },
			OnStreamStates: func(_, _ tamarackknot.StreamState) {}, OnStoreEra: func(int64) {},
		})
		n.publisher.Bind(n.client)
		ctx, cancel := context.WithCancel(context.Background())
		n.cancels = append(n.cancels, cancel)
		go n.publisher.Run(ctx)
		go n.client.Run(ctx)
		nodes = append(nodes, n)
	}
	return peers, nodes
}

func stop(nodes []*node) {
	for _, n := range nodes {
		for _, s := range n.cancels {
			s()
		}
	}
	time.Sleep(time.Second) // let messages in flight arrive
}

// TestExchange guards against hosts that miss each other's load, keep a dead host
// in their list, or accept messages of a planner that has lost the lease.
func TestExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers, nodes := start(t, 4)
		defer stop(nodes)
		nodes[0].setLease(5, true)
		for i, n := range nodes {
			n.mu.Lock()
			n.demand.Running = []tamarackknot.RunCount{{Endpoint: "e", Count: i + 1}}
			n.mu.Unlock()
		}
		view := tamarackknot.FleetView{Engines: map[string]tamarackknot.EngineView{"e": {Held: []tamarackknot.HeldModel{{Name: "m"}}}}}
		nodes[0].publisher.Publish(view)
		time.Sleep(3 * time.Second)
		for i, n := range nodes {
			require.True(t, n.client.PlannerAlive())
			require.Len(t, n.client.Hosts(), 4)
			require.Equal(t, 10-(i+1), n.others("e"))
		}
		// A host fails: the others detect it within a few seconds.
		peers.Isolate("h3", true)
		time.Sleep(4 * time.Second)
		require.Len(t, nodes[1].client.Hosts(), 3)
		require.False(t, nodes[3].client.PlannerAlive())
		require.Equal(t, 4, nodes[1].others("e"))
		// Another host becomes planner with a higher fencing token: messages of
		// the first one are ignored.
		nodes[1].publisher.Publish(view)
		nodes[1].setLease(9, true)
		time.Sleep(3 * time.Second)
		require.Equal(t, "h1", nodes[2].client.Planner())
		fence, _ := nodes[1].publisher.StepDown()
		nodes[1].publisher.AnnounceLeave(t.Context(), fence)
		time.Sleep(100 * time.Millisecond)
		require.False(t, nodes[2].client.PlannerAlive())
		require.Equal(t, "h1", nodes[2].client.Planner())
	})
}

// TestViewsWhileEnginesLoad guards against a planner that sends to all hosts each time that
// an engine has loaded something, for which its CPU does not suffice, and against hosts
// that learn late of what they wait for.
func TestViewsWhileEnginesLoad(t *testing.T) {
	const hosts, loads, loadInterval = 8, 200, 20 * time.Millisecond
	// A round takes 1 ms for each host here, and three times that is the pause after it.
	const soon = publishInterval/urgentDivisor + 4*hosts*time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		peers, nodes := start(t, hosts)
		defer stop(nodes)
		nodes[0].setLease(5, true)
		time.Sleep(2 * time.Second)
		waits := func(n *node, models ...string) {
			n.mu.Lock()
			n.demand.Models = nil
			for _, m := range models {
				n.demand.Models = append(n.demand.Models, tamarackknot.ModelDemand{Service: "s", Model: m, Waiting: 1})
			}
			n.mu.Unlock()
			n.client.SendNow()
			time.Sleep(2 * time.Millisecond)
		}
		publish := func(i int, models ...string) {
			v := tamarackknot.FleetView{Engines: make(map[string]tamarackknot.EngineView)}
			for _, m := range append(models, fmt.Sprintf("other%d", i)) {
				e := v.Engines["e"]
				e.Held = append(e.Held, tamarackknot.HeldModel{Name: m})
				v.Engines["e"] = e
			}
			nodes[0].publisher.Publish(v)
		}
		knows := func(n *node, model string) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return slices.ContainsFunc(n.view["e"].Held, func(h tamarackknot.HeldModel) bool { return h.Name == model })
		}
		waits(nodes[1], "m1")
		peers.ResetCounts()
		for i := range loads {
			publish(i)
			time.Sleep(loadInterval)
		}
		rounds := int(loads*loadInterval/publishInterval) + 1
		require.LessOrEqual(t, peers.Sent("h0", methodView).Messages, rounds*(hosts-1))
		for i := range 20 {
			time.Sleep(37 * time.Millisecond)
			model, next := fmt.Sprintf("m%d", i), fmt.Sprintf("n%d", i)
			waits(nodes[1], model)
			publish(0, model, next)
			time.Sleep(soon)
			require.True(t, knows(nodes[1], model))
			waits(nodes[2], next)
			time.Sleep(soon)
			require.True(t, knows(nodes[2], next), "loaded before the host began to wait")
		}
	})
}

// TestLinearTraffic guards against traffic that grows quadratically with the
// number of hosts.
func TestLinearTraffic(t *testing.T) {
	perHost := make(map[int]float64)
	for _, n := range []int{8, 32} {
		synctest.Test(t, func(t *testing.T) {
			peers, nodes := start(t, n)
			defer stop(nodes)
			nodes[0].setLease(5, true)
			time.Sleep(2 * time.Second)
			peers.ResetCounts()
			time.Sleep(10 * time.Second)
			perHost[n] = float64(peers.Received("h1", methodView).Messages + peers.Sent("h1", methodDemand).Messages)
		})
	}
	require.LessOrEqual(t, perHost[32], perHost[8]*1.1)
}

// TestDeltas guards against messages that repeat state which a host already has:
// with 73 hosts and a hundred forecasts they saturated the planner's CPU.
func TestDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers, nodes := start(t, 2)
		defer stop(nodes)
		nodes[0].setLease(5, true)
		view := func(ready time.Duration, models int) tamarackknot.FleetView {
			v := tamarackknot.FleetView{Engines: make(map[string]tamarackknot.EngineView)}
			for i := range 100 {
				v.Engines[fmt.Sprintf("e%03d", i)] = tamarackknot.EngineView{Held: []tamarackknot.HeldModel{{Name: fmt.Sprintf("model-%03d", i)}}}
			}
			for i := range models {
				v.Forecasts = append(v.Forecasts, tamarackknot.ModelForecast{Service: "s", Model: fmt.Sprintf("model-%03d", i), ReadyAt: time.Now().Add(ready)})
			}
			return v
		}
		nodes[0].publisher.Publish(view(10*time.Second, 100))
		time.Sleep(fullViewInterval + time.Second)
		p := nodes[0].publisher
		bytes := func() int {
			r := p.newRound(5, p.cfg.Hosts(), time.Now())
			r.totals[3] = 1
			m := p.buildView("h1", r)
			require.False(t, m.Full)
			data, err := json.Marshal(m)
			require.NoError(t, err)
			return len(data)
		}
		// Shortly after a full view only the load of one engine changes.
		require.Less(t, bytes(), 200)
		nodes[1].mu.Lock()
		require.Len(t, nodes[1].forecasts, 100)
		nodes[1].mu.Unlock()

		nodes[0].publisher.Publish(view(3*time.Second, 40))
		time.Sleep(publishInterval + 10*time.Millisecond)
		nodes[1].mu.Lock()
		forecasts := nodes[1].forecasts
		nodes[1].mu.Unlock()
		require.Len(t, forecasts, 40)
		for _, f := range forecasts {
			require.InDelta(t, 3*time.Second-publishInterval-10*time.Millisecond, time.Until(f.ReadyAt), float64(forecastTolerance), f.Model)
		}
		// Only loads change: the host keeps the models of the engines.
		for _, n := range nodes {
			n.mu.Lock()
			n.demand.Running = []tamarackknot.RunCount{{Endpoint: "e007", Count: 3}}
			n.mu.Unlock()
		}
		time.Sleep(time.Second)
		nodes[1].mu.Lock()
		require.Equal(t, tamarackknot.EngineView{Held: []tamarackknot.HeldModel{{Name: "model-007"}}, Others: 3}, nodes[1].view["e007"])
		nodes[1].mu.Unlock()
		// Changes lost with a failed connection are sent again at once.
		peers.Isolate("h1", true)
		nodes[0].publisher.Publish(view(time.Second, 3))
		time.Sleep(publishInterval)
		peers.Isolate("h1", false)
		time.Sleep(2 * publishInterval)
		nodes[1].mu.Lock()
		require.Len(t, nodes[1].forecasts, 3)
		nodes[1].mu.Unlock()
		// So are changes lost without an error.
		p.mu.Lock()
		p.hosts["h1"].sequence++
		clear(p.hosts["h1"].forecasts)
		p.mu.Unlock()
		nodes[1].client.mu.Lock()
		clear(nodes[1].client.forecasts)
		clear(nodes[1].client.held)
		nodes[1].client.mu.Unlock()
		time.Sleep(3 * publishInterval)
		nodes[1].client.mu.Lock()
		require.Len(t, nodes[1].client.held, 100)
		require.Len(t, nodes[1].client.forecasts, 3)
		nodes[1].client.mu.Unlock()
	})
}

// TestLoadsByIndex guards against the load of an engine that a host takes for that of
// another one, which had its index before, and against a host of the build before, which
// reads loads beside the ids of their engines only.
func TestLoadsByIndex(t *testing.T) {
	for name, earlier := range map[string]bool{"this build": false, "build before": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, nodes := start(t, 2)
				defer stop(nodes)
				nodes[0].setLease(5, true)
				publish := func(engines ...string) {
					v := tamarackknot.FleetView{Engines: make(map[string]tamarackknot.EngineView)}
					for _, id := range engines {
						v.Engines[id] = tamarackknot.EngineView{Held: []tamarackknot.HeldModel{{Name: "m"}}}
					}
					nodes[0].publisher.Publish(v)
					time.Sleep(3 * publishInterval)
				}
				runs := func(engine string, count int) {
					nodes[0].mu.Lock()
					nodes[0].demand.Running = []tamarackknot.RunCount{{Endpoint: engine, Count: count}}
					nodes[0].mu.Unlock()
					time.Sleep(maxDemandInterval + 2*publishInterval)
				}
				publish("a", "b")
				for i, engine := range []string{"a", "b", "a"} {
					runs(engine, i+1)
					require.Equal(t, i+1, nodes[1].others(engine))
				}
				publish("b")
				publish("b", "c")
				runs("c", 7)
				require.Equal(t, 7, nodes[1].others("c"))
				require.Equal(t, 0, nodes[1].others("b"))

				p := nodes[0].publisher
				r := p.newRound(5, p.cfg.Hosts(), time.Now())
				r.totals[p.engines["c"].index] = 9
				p.mu.Lock()
				p.hosts["h1"].fullViewAt = time.Now()
				if earlier {
					p.hosts["h1"].held = nil
				}
				p.mu.Unlock()
				m := p.buildView("h1", r)
				require.Equal(t, earlier, len(m.Loads) == 0)
				require.Equal(t, earlier, len(m.Engines) == 1)
			})
		})
	}
}

// TestManyEngines guards against messages that exceed the planner's memory and
// network capacity. With 300 hosts and 3,000 engines the system failed when full
// views went to all hosts at once and every message held the load of every engine.
func TestManyEngines(t *testing.T) {
	const hosts, engines = 300, 3000
	var entries []tamarackknot.HostEntry
	for i := range hosts {
		entries = append(entries, tamarackknot.HostEntry{Name: fmt.Sprintf("h%03d", i), Address: "10.0.0.1:8149", PeerAddress: "10.0.0.1:7380"})
	}
	unread := func() tamarackknot.StreamState { return tamarackknot.StreamState{} }
	p := NewPublisher(PublisherConfig{
		Self: tamarackknot.HostEntry{Name: "self"}, Peers: &countingPeers{}, Hosts: func() []tamarackknot.HostEntry { return entries },
		Catalog: unread, Endpoints: unread, OnCatalogVersion: func(int64) {}, LeaseEnd: func() tamarackknot.Position { return tamarackknot.Position{Offset: 7} }, Logger: log.New(io.Discard),
	})
	v := tamarackknot.FleetView{Engines: make(map[string]tamarackknot.EngineView)}
	for i := range engines {
		v.Engines[fmt.Sprintf("i-%08d", i)] = tamarackknot.EngineView{Held: []tamarackknot.HeldModel{{Name: "daka510000"}, {Name: "rada7437b5"}}}
	}
	p.Publish(v)
	now := time.Now()
	for _, e := range entries {
		p.state(e.Name).lastSeen = now.Add(time.Hour)
	}
	fullySent, lastUpdate := make(map[string]bool), make(map[string]int)
	for round := range 2 * hosts / minFullViews {
		now = now.Add(plannerTimeout / 3)
		r := p.newRound(5, entries, now)
		for i := range r.totals {
			r.totals[i] = round + i
		}
		sent, fullViews := 0, 0
		for _, e := range entries {
			m := p.buildView(e.Name, r)
			data, err := json.Marshal(m)
			require.NoError(t, err)
			sent += len(data)
			if m.Full {
				fullySent[e.Name] = true
				fullViews++
				continue
			}
			require.Less(t, len(data), 64<<10)
			if e.Name == "h000" {
				for _, em := range m.Engines {
					lastUpdate[em.ID] = round
				}
			}
		}
		require.LessOrEqual(t, fullViews, minFullViews)
		require.Less(t, sent, 16<<20)
	}
	require.Len(t, fullySent, hosts, "every host receives a full view")
	require.Len(t, lastUpdate, engines, "the load of every engine is sent in turn")
}

// TestPublishDuringRound guards against a panic when the planner publishes a new
// engine between the start of a round and its messages.
func TestPublishDuringRound(t *testing.T) {
	unread := func() tamarackknot.StreamState { return tamarackknot.StreamState{} }
	p := NewPublisher(PublisherConfig{
		Peers: fake.NewPeers(fake.PeersConfig{}).Host("p"), Catalog: unread, Endpoints: unread, Logger: log.New(io.Discard),
		LeaseEnd: func() tamarackknot.Position { return tamarackknot.Position{Offset: 7} },
	})
	publish := func(ids ...string) {
		v := tamarackknot.FleetView{Engines: make(map[string]tamarackknot.EngineView)}
		for _, id := range ids {
			v.Engines[id] = tamarackknot.EngineView{Held: []tamarackknot.HeldModel{{Name: "m"}}}
		}
		p.Publish(v)
	}
	publish("e1")
	r := p.newRound(1, nil, time.Now())
	publish("e1", "e2")
	require.Len(t, p.buildView("h", r).Engines, 1)
	require.Len(t, p.buildView("h", p.newRound(1, nil, time.Now())).Engines, 1, "the new engine follows in the next round")
}

// TestAcknowledged guards against a planner that counts on the promise of a host
// that promises nothing, cannot be reached, or has only acknowledged an earlier
// planner.
func TestAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers, nodes := start(t, 4)
		defer stop(nodes)
		started := time.Now()
		age := func() time.Duration {
			nodes[0].mu.Lock()
			defer nodes[0].mu.Unlock()
			return time.Since(started) + time.Hour - nodes[0].acknowledgedAt
		}
		nodes[0].setLease(5, true)
		time.Sleep(2 * time.Second)
		for range 50 {
			time.Sleep(50 * time.Millisecond)
			require.Less(t, age(), maxDemandInterval+2*publishInterval)
		}
		nodes[1].keepsSilent.Store(true)
		time.Sleep(2 * time.Second)
		require.Greater(t, age(), 1500*time.Millisecond)
		nodes[1].keepsSilent.Store(false)
		time.Sleep(time.Second)
		require.Less(t, age(), time.Second)
		peers.Cut("h2", "h0", true)
		time.Sleep(2 * time.Second)
		require.Greater(t, age(), 1500*time.Millisecond)
		peers.Cut("h2", "h0", false)
		time.Sleep(time.Second)
		require.Less(t, age(), time.Second)
	})
}

// TestMembersOfDelayedMessage guards against a list of hosts that counts as new
// although its message was on the way for long, as after a suspension of the host.
func TestMembersOfDelayedMessage(t *testing.T) {
	const second = int64(1000)
	cases := map[string]struct {
		echoMs, ageMs int64
		expect        time.Duration // -1 if the list does not count
	}{
		"the planner answers a report of 200 ms ago": {10*second - 200, 100, 300 * time.Millisecond},
		"the message was on its way for 5 s":         {5 * second, 100, 5100 * time.Millisecond},
		"the planner has no report of this process":  {second, 100, -1},
		"the planner has no report at all":           {0, 100, -1},
		"the planner has not read the list":          {10*second - 200, -1, -1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			now, got := 2*time.Second, time.Duration(-1)
			c := NewClient(ClientConfig{
				Self: tamarackknot.HostEntry{Name: "a"}, Peers: fake.NewPeers(fake.PeersConfig{}).Host("a"), Logger: log.New(io.Discard),
				Clock: func() time.Duration { return now }, OnView: func(tamarackknot.FleetView) {},
				OnStreamStates: func(_, _ tamarackknot.StreamState) {}, OnStoreEra: func(int64) {},
				OnMembers: func(_ []string, age time.Duration) { got = age },
			})
			now = 10 * time.Second
			c.applyView("p", viewMessage{Fence: 1, Sequence: 1, Full: true, Members: []string{"a", "p"}, MembersAgeMs: tc.ageMs, EchoMs: tc.echoMs})
			require.Equal(t, tc.expect, got)
		})
	}
}

// catalogStateAfter returns what a host that starts at 2 s takes from a message of the planner that
// it receives at 10 s.
func catalogStateAfter(echoMs int64, catalog streamMessage) (got tamarackknot.StreamState) {
	now := 2 * time.Second
	c := NewClient(ClientConfig{
		Self: tamarackknot.HostEntry{Name: "a"}, Peers: fake.NewPeers(fake.PeersConfig{}).Host("a"), Logger: log.New(io.Discard),
		Clock: func() time.Duration { return now }, OnView: func(tamarackknot.FleetView) {},
		OnStreamStates: func(catalog, _ tamarackknot.StreamState) { got = catalog }, OnStoreEra: func(int64) {},
	})
	now = 10 * time.Second
	c.applyView("p", viewMessage{Fence: 1, Sequence: 1, Full: true, EchoMs: echoMs, Catalog: catalog})
	return got
}

// TestStreamsOfDelayedMessage guards against a host that takes what the planner had read
// seconds ago for recent because the message was on its way since.
func TestStreamsOfDelayedMessage(t *testing.T) {
	const second = int64(1000)
	for name, tt := range map[string]struct {
		echoMs int64
		recent bool
	}{
		"the planner answers a report of 600 ms ago": {10*second - 600, true},
		"the message was on its way for 3 s":         {7 * second, false},
		"the planner has no report of this process":  {second, true},
		"the planner has no report at all":           {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			got := catalogStateAfter(tt.echoMs, streamMessage{Version: 7, AgeMs: 100})
			require.Equal(t, int64(7), got.Version)
			require.Equal(t, tt.recent, !got.ReadAt.IsZero())
		})
	}
}

// TestHostsConfirmed guards against a host that takes an old list of hosts for that of the
// planner, since it relies on being the only owner of a quota by it.
func TestHostsConfirmed(t *testing.T) {
	hosts, err := json.Marshal([]tamarackknot.HostEntry{{Name: "a"}})
	require.NoError(t, err)
	full := func(sequence, echoMs int64) viewMessage {
		return viewMessage{Fence: 1, Sequence: sequence, Full: true, Hosts: hosts, HostsVersion: 1, EchoMs: echoMs}
	}
	for name, tt := range map[string]struct {
		messages []viewMessage
		want     time.Duration
	}{
		"a list":                       {[]viewMessage{full(1, 9000)}, 9 * time.Second},
		"no report of this process":    {[]viewMessage{full(1, 1000)}, 0},
		"no report at all":             {[]viewMessage{full(1, 0)}, 0},
		"a report of a later time":     {[]viewMessage{full(1, 11000)}, 0},
		"confirmed":                    {[]viewMessage{full(1, 8000), {Fence: 1, Sequence: 2, EchoMs: 9000}}, 9 * time.Second},
		"an older message comes late":  {[]viewMessage{full(1, 8000), {Fence: 1, Sequence: 2, EchoMs: 7000}}, 8 * time.Second},
		"a message is missing":         {[]viewMessage{full(1, 8000), {Fence: 1, Sequence: 3, EchoMs: 9000}}, 8 * time.Second},
		"of another planner":           {[]viewMessage{full(1, 8000), {Fence: 2, Sequence: 1, EchoMs: 9000}}, 8 * time.Second},
		"the planner steps down":       {[]viewMessage{full(1, 8000), {Fence: 1, Leaving: true}}, 8 * time.Second},
		"a change of an unknown list":  {[]viewMessage{full(1, 8000), {Fence: 1, Sequence: 2, EchoMs: 9000, HostsBase: 7, HostsVersion: 8}}, 8 * time.Second},
		"a change of the list it has":  {[]viewMessage{full(1, 8000), {Fence: 1, Sequence: 2, EchoMs: 9000, HostsBase: 1, HostsVersion: 2}}, 9 * time.Second},
		"changed after a lost message": {[]viewMessage{full(1, 8000), {Fence: 1, Sequence: 3, EchoMs: 9000, HostsBase: 1, HostsVersion: 2}}, 8 * time.Second},
		"a list that can't be read":    {[]viewMessage{{Fence: 1, Sequence: 1, Full: true, Hosts: json.RawMessage(`"x"`), EchoMs: 9000}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := 2 * time.Second
			c := NewClient(ClientConfig{
				Self: tamarackknot.HostEntry{Name: "a"}, Peers: fake.NewPeers(fake.PeersConfig{}).Host("a"), Logger: log.New(io.Discard),
				Clock: func() time.Duration { return now }, OnView: func(tamarackknot.FleetView) {},
				OnStreamStates: func(_, _ tamarackknot.StreamState) {}, OnStoreEra: func(int64) {},
			})
			now = 10 * time.Second
			for _, m := range tt.messages {
				c.applyView("p", m)
			}
			require.Equal(t, tt.want, c.HostsConfirmedAt())
		})
	}
}

// TestHeartbeatWithHosts guards against a heartbeat in place of a full view that confirms an old
// list of hosts, and against a list for a host that has none of this planner to change.
func TestHeartbeatWithHosts(t *testing.T) {
	p := NewPublisher(PublisherConfig{
		Self: tamarackknot.HostEntry{Name: "p"}, Peers: fake.NewPeers(fake.PeersConfig{}).Host("p"), Logger: log.New(io.Discard),
		Catalog:   func() tamarackknot.StreamState { return tamarackknot.StreamState{} },
		Endpoints: func() tamarackknot.StreamState { return tamarackknot.StreamState{} },
	})
	_, err := p.hostList.add([]tamarackknot.HostEntry{{Name: "a"}})
	require.NoError(t, err)
	for fence, want := range map[int64]bool{4: true, 3: false} {
		s := p.state("a")
		s.fence, s.hostListVersion = fence, 0
		m := p.buildView("a", &round{fence: 4, now: time.Now()})
		require.False(t, m.Full)
		require.Equal(t, want, len(m.Hosts) > 0)
	}
}

// TestConfirmedMsAgo guards against a confirmation of the configuration that a host dates later
// than the planner's read, whenever the two processes are suspended.
func TestConfirmedMsAgo(t *testing.T) {
	for name, tt := range map[string]struct {
		echoMs, agoMs int64
		want          time.Duration
	}{
		"usual":                         {9000, 700, 8300 * time.Millisecond},
		"the planner does not say":      {9000, 0, 0},
		"negative":                      {9000, -5, 0},
		"no report of this process":     {1000, 700, 0},
		"a report of a later time":      {11000, 700, 0},
		"before the clock of this host": {9000, 9500, 0},
	} {
		t.Run(name, func(t *testing.T) {
			got := catalogStateAfter(tt.echoMs, streamMessage{Version: 7, ConfirmedMsAgo: tt.agoMs})
			require.Equal(t, tt.want, got.ConfirmedAt)
		})
	}
	require.Zero(t, confirmedMsAgo(tamarackknot.StreamState{}, time.Hour), "never confirmed")
	require.Equal(t, int64(501), confirmedMsAgo(tamarackknot.StreamState{ConfirmedAt: time.Hour - 500*time.Millisecond}, time.Hour), "rounded up")
}

// TestLimits guards against hosts that do not learn of a limit that an endpoint named to
// another host, and against an older observation that replaces a newer one.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := start(t, 3)
		defer stop(nodes)
		nodes[0].setLease(1, true)
		time.Sleep(time.Second)
		report := func(n *node, limited bool, at time.Time) {
			n.mu.Lock()
			n.demand.Notices = []tamarackknot.EndpointNotice{{
				Endpoint: "e", Born: time.UnixMilli(7), Limit: tamarackknot.RateLimit{Limited: limited, PerSecond: 2}, At: at,
			}}
			n.mu.Unlock()
			n.client.SendNow()
			time.Sleep(200 * time.Millisecond)
			n.mu.Lock()
			n.demand.Notices = nil
			n.mu.Unlock()
			time.Sleep(time.Second)
		}
		newest := func(n *node) tamarackknot.EndpointNotice {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.limits[len(n.limits)-1]
		}
		reported := time.Now()
		report(nodes[1], true, reported)
		for _, n := range nodes {
			l := newest(n)
			require.Equal(t, "e", l.Endpoint)
			require.True(t, l.Limit.Limited)
			require.Equal(t, int64(7), l.Born.UnixMilli())
			require.WithinDuration(t, reported, l.At, 10*time.Millisecond)
		}
		require.Contains(t, nodes[0].publisher.Limited(), "e")
		report(nodes[2], false, reported.Add(-time.Second))
		require.True(t, newest(nodes[1]).Limit.Limited, "an older observation")
		report(nodes[2], false, time.Now())
		require.False(t, newest(nodes[1]).Limit.Limited)
		require.Empty(t, nodes[0].publisher.Limited())
	})
}

// TestLeavingNotices guards against an endpoint that says that it leaves and is forgotten,
// for a later or an older answer, and against a later start that is taken for it.
func TestLeavingNotices(t *testing.T) {
	now := time.Now()
	notice := func(born int64, leaving bool, age time.Duration) tamarackknot.EndpointNotice {
		return tamarackknot.EndpointNotice{Endpoint: "e", Born: time.UnixMilli(born), Leaving: leaving, At: now.Add(-age)}
	}
	for name, tt := range map[string]struct {
		notices []tamarackknot.EndpointNotice
		leaving bool
	}{
		"says so":                 {[]tamarackknot.EndpointNotice{notice(1, true, 0)}, true},
		"a later answer does not": {[]tamarackknot.EndpointNotice{notice(1, true, time.Second), notice(1, false, 0)}, true},
		"heard late":              {[]tamarackknot.EndpointNotice{notice(1, false, 0), notice(1, true, time.Second)}, true},
		"the next start":          {[]tamarackknot.EndpointNotice{notice(1, true, time.Second), notice(2, false, 0)}, false},
		"the start before":        {[]tamarackknot.EndpointNotice{notice(2, false, time.Second), notice(1, true, 0)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var l noticeList
			for _, n := range tt.notices {
				l.merge([]tamarackknot.EndpointNotice{n}, now)
			}
			require.Equal(t, tt.leaving, l.byEndpoint["e"].Leaving)
		})
	}
}

// TestMembersAgeOfSuspendedPlanner guards against a planner that is suspended in the
// middle of a round and then sends a list as new that it read before.
func TestMembersAgeOfSuspendedPlanner(t *testing.T) {
	now := time.Hour
	p := NewPublisher(PublisherConfig{
		Self: tamarackknot.HostEntry{Name: "p"}, Peers: fake.NewPeers(fake.PeersConfig{}).Host("p"), Logger: log.New(io.Discard),
		Clock: func() time.Duration { return now }, OnCatalogVersion: func(int64) {},
		LeaseEnd: func() tamarackknot.Position { return tamarackknot.Position{} },
		Catalog:  func() tamarackknot.StreamState { return tamarackknot.StreamState{} }, Endpoints: func() tamarackknot.StreamState { return tamarackknot.StreamState{} },
	})
	r := p.newRound(1, []tamarackknot.HostEntry{{Name: "a"}, {Name: "p"}}, time.Now())
	r.membersReadAt = now - 100*time.Millisecond
	now += 5 * time.Second // the suspension
	p.applyDemand("a", demandMessage{SentMs: now.Milliseconds()})
	m := p.buildView("a", r)
	require.Equal(t, now.Milliseconds(), m.EchoMs)
	require.Equal(t, int64(5100), m.MembersAgeMs)
}
