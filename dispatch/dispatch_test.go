package dispatch

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// bed is a Dispatcher with endpoints of an engine service "s" and a plain
// service "p".
type bed struct {
	*Dispatcher
	heard   bool
	entries map[string]tamarackknot.EndpointEntry
}

func newBed() *bed {
	b := &bed{heard: true, entries: make(map[string]tamarackknot.EndpointEntry)}
	b.Dispatcher = New(Config{FailureDomain: "z1", PlannerHeard: func() bool { return b.heard }, Logger: log.New(io.Discard)})
	b.SetPools(map[string]tamarackknot.PoolSpec{
		"s": {Name: "s", Engine: &tamarackknot.EngineSpec{Slots: 4, Models: map[string]tamarackknot.HostedModel{
			"m": {Name: "m", LoadDisk: 1700 * time.Millisecond, LoadRemote: 6 * time.Second},
		}}},
		"p": {Name: "p"},
	})
	return b
}

func (b *bed) add(id, service, domain string, slots int, models ...string) {
	e := tamarackknot.EndpointEntry{ID: id, Service: service, Address: "10.0.0.1:80", FailureDomain: domain, Slots: slots, State: tamarackknot.EndpointReady}
	if service == "s" {
		e.Engine = &tamarackknot.EngineReport{}
		for _, m := range models {
			e.Engine.Held = append(e.Engine.Held, tamarackknot.HeldModel{Name: m})
		}
	}
	b.entries[id] = e
	b.publish()
}

func (b *bed) publish() {
	byService := make(map[string][]string)
	for i := range 10 {
		id := fmt.Sprintf("e%d", i)
		if e, ok := b.entries[id]; ok && e.State == tamarackknot.EndpointReady {
			byService[e.Service] = append(byService[e.Service], id)
		}
	}
	b.SetEndpoints(b.entries, byService, true)
}

func request(service, model string) *Request {
	now := time.Now()
	return &Request{
		ID: "r", Service: service, Model: model, Arrived: now,
		Objective: now.Add(600 * time.Millisecond), Deadline: now.Add(2400 * time.Millisecond),
	}
}

func (b *bed) grant(t *testing.T, req *Request) *Grant {
	t.Helper()
	g, refusal := b.Acquire(t.Context(), req)
	require.Nil(t, refusal)
	return g
}

// TestBurst replays many users at once: requests spread over the endpoints and
// none gets more than it has slots for.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		b.add("e0", "s", "z1", 4, "m")
		b.add("e1", "s", "z2", 4, "m")
		got := make(map[string]int)
		for range 8 {
			got[b.grant(t, request("s", "m")).Endpoint.ID]++
		}
		require.Equal(t, map[string]int{"e0": 4, "e1": 4}, got)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, refusal := b.Acquire(ctx, request("s", "m"))
		require.NotNil(t, refusal)
	})
}

// TestWake replays a quiet model that wakes: requests wait while the planner
// expects it in time, are served once it is held, and are refused at once with
// the time to come back if it will be held too late.
func TestWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		b.add("e0", "s", "z1", 4)
		forecast := func(in time.Duration) {
			b.SetView(tamarackknot.FleetView{Forecasts: []tamarackknot.ModelForecast{{Service: "s", Model: "m", ReadyAt: time.Now().Add(in)}}})
		}
		forecast(time.Second)
		done := make(chan *Grant, 1)
		go func() {
			g, _ := b.Acquire(t.Context(), request("s", "m"))
			done <- g
		}()
		synctest.Wait()
		demand := b.Demand(false)
		require.Len(t, demand.Wants, 1)
		require.Equal(t, 1, demand.Wants[0].Waiting)
		require.Equal(t, 1, demand.Wants[0].Tight)
		b.SetView(tamarackknot.FleetView{Engines: map[string]tamarackknot.EngineView{"e0": {Held: []tamarackknot.HeldModel{{Name: "m"}}}}})
		require.Equal(t, "e0", (<-done).Endpoint.ID)

		b.SetView(tamarackknot.FleetView{Engines: map[string]tamarackknot.EngineView{"e0": {}}})
		forecast(6 * time.Second)
		started := time.Now()
		_, refusal := b.Acquire(t.Context(), request("s", "m"))
		require.NotNil(t, refusal)
		require.Zero(t, time.Since(started))
		require.Equal(t, started.Add(6*time.Second), refusal.RetryAt)
	})
}

// TestPlannerSilent guards against requests that are held until their callers
// leave while no planner says when their model will be held.
func TestPlannerSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		b.heard = false
		b.add("e0", "s", "z1", 4)
		ctx, cancel := context.WithCancel(t.Context())
		go b.Run(ctx)
		started := time.Now()
		_, refusal := b.Acquire(t.Context(), request("s", "m"))
		require.NotNil(t, refusal)
		require.Less(t, time.Since(started), 1200*time.Millisecond)
		require.True(t, refusal.RetryAt.After(time.Now()))
		cancel()
		synctest.Wait()
	})
}

// TestOrder guards against an urgent request that waits behind others.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		b.add("e0", "p", "z1", 1)
		first, second := b.grant(t, request("p", "")), b.grant(t, request("p", ""))
		served := make(chan int, 2)
		for _, priority := range []int{2, 0} {
			go func() {
				req := request("p", "")
				req.Priority = priority
				_, _ = b.Acquire(t.Context(), req)
				served <- priority
			}()
			synctest.Wait()
		}
		first.Done(ResultAnswered)
		require.Equal(t, 0, <-served)
		second.Done(ResultAnswered)
		require.Equal(t, 2, <-served)
	})
}

// TestResults guards against endpoints that fail, are full or lack a model and
// are chosen again at once.
func TestResults(t *testing.T) {
	cases := map[string]Result{
		"failed": ResultFailed, "full": ResultFull, "lacks the model": ResultMisplaced, "unreachable": ResultUnreachable,
	}
	for name, result := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed()
				b.add("e0", "s", "z1", 4, "m")
				b.add("e1", "s", "z1", 4, "m")
				g := b.grant(t, request("s", "m"))
				g.Done(result)
				g.Done(result)
				require.NotEqual(t, g.Endpoint.ID, b.grant(t, request("s", "m")).Endpoint.ID)
				time.Sleep(10 * time.Second)
				again := false
				for range 6 {
					again = again || b.grant(t, request("s", "m")).Endpoint.ID == g.Endpoint.ID
				}
				require.True(t, again)
			})
		})
	}
}

// TestGone guards against new work for an endpoint that is about to be taken
// away.
func TestGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		b.add("e0", "s", "z1", 4, "m")
		b.add("e1", "s", "z2", 4, "m")
		e := b.entries["e0"]
		e.GoneAt = time.Now().Add(300 * time.Millisecond)
		b.entries["e0"] = e
		b.publish()
		for range 4 {
			require.Equal(t, "e1", b.grant(t, request("s", "m")).Endpoint.ID)
		}
	})
}

// TestDrain guards against requests that wait at a leaving host until it is
// killed.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		b.add("e0", "s", "z1", 4)
		b.SetView(tamarackknot.FleetView{Forecasts: []tamarackknot.ModelForecast{{Service: "s", Model: "m", ReadyAt: time.Now().Add(2 * time.Second)}}})
		ctx, cancel := context.WithCancel(t.Context())
		go b.Run(ctx)
		b.Drain(time.Now().Add(time.Second))
		started := time.Now()
		_, refusal := b.Acquire(t.Context(), request("s", "m"))
		require.NotNil(t, refusal)
		require.InDelta(t, time.Second, time.Since(started), float64(2*checkEvery))
		cancel()
		synctest.Wait()
	})
}

// TestBudget guards against more repeats than all hosts together may send,
// also after the time of day has been set back.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
		for range 100 {
			b.Request("s", time.Now())
		}
		allowed := 0
		for range 100 {
			if b.Repeat("s", 4, time.Now()) {
				allowed++
			}
		}
		require.Equal(t, 25, allowed)
		require.False(t, b.Repeat("s", 4, time.Now()))
		// A host that does not know how many share the slack takes none of it.
		require.False(t, b.Repeat("new", 0, time.Now()))
		time.Sleep(11 * time.Second)
		require.True(t, b.Repeat("s", 4, time.Now()))
	})
}

// TestBudgetSlides guards against more repeats than allowed in a window that
// begins at any moment.
func TestBudgetSlides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
		b.Request("s", time.Now())
		var repeats []time.Time
		for range 4000 {
			time.Sleep(13 * time.Millisecond)
			if b.Repeat("s", 1, time.Now()) {
				repeats = append(repeats, time.Now())
			}
		}
		for i, from := range repeats {
			n := 0
			for _, at := range repeats[i:] {
				if at.Sub(from) < b.Window {
					n++
				}
			}
			require.LessOrEqual(t, n, 20, "repeats in the window from %v", from)
		}
		require.Greater(t, len(repeats), 60, "the budget is used")
	})
}

// TestMisplacedService guards against a request that is sent again and again to
// an address where another instance of a plain service has started.
func TestMisplacedService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{PlannerHeard: func() bool { return false }, Logger: log.New(io.Discard)})
		ctx, cancel := context.WithCancel(t.Context())
		go d.Run(ctx)
		d.SetEndpoints(map[string]tamarackknot.EndpointEntry{
			"e": {ID: "e", Service: "s", Slots: 4, State: tamarackknot.EndpointReady},
		}, map[string][]string{"s": {"e"}}, true)
		begun, sent := time.Now(), 0
		for sent < 50 && time.Since(begun) < time.Second {
			g, _ := d.Acquire(t.Context(), &Request{ID: "r", Service: "s", Deadline: time.Now().Add(5 * time.Second)})
			if g == nil {
				time.Sleep(time.Millisecond)
				continue
			}
			sent++
			g.Done(ResultMisplaced)
		}
		require.LessOrEqual(t, sent, 8)
		require.Positive(t, sent)
		cancel()
		synctest.Wait()
	})
}

// BenchmarkChoose measures the choice of an endpoint at 140 engines of 824
// models and 630 adapters.
func BenchmarkChoose(b *testing.B) {
	d := New(Config{FailureDomain: "z1", PlannerHeard: func() bool { return true }, Logger: log.New(io.Discard)})
	entries := make(map[string]tamarackknot.EndpointEntry)
	byService := make(map[string][]string)
	view := tamarackknot.FleetView{Engines: make(map[string]tamarackknot.EngineView)}
	for i := range 140 {
		id := fmt.Sprintf("e%03d", i)
		entries[id] = tamarackknot.EndpointEntry{ID: id, Service: "s", Slots: 12, State: tamarackknot.EndpointReady}
		byService["s"] = append(byService["s"], id)
		var held []tamarackknot.HeldModel
		for n := range 3 {
			held = append(held, tamarackknot.HeldModel{Name: fmt.Sprintf("m%d", (i*3+n)%824), Adapters: []string{"a1", "a2", "a3"}})
		}
		view.Engines[id] = tamarackknot.EngineView{Held: held}
	}
	d.SetEndpoints(entries, byService, false)
	d.SetView(view)
	req := &Request{Service: "s", Model: "m21", Adapter: "a2", Parts: []string{"p", "q", "r"}}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		d.best(req, now)
	}
}
