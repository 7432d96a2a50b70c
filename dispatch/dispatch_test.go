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

// harness is a Dispatcher with an engine service "s" and a plain service "p".
type harness struct {
	*Dispatcher
	plannerCurrent bool
	entries        map[string]tamarackknot.EndpointEntry
}

func newHarness() *harness {
	h := &harness{plannerCurrent: true, entries: make(map[string]tamarackknot.EndpointEntry)}
	h.Dispatcher = New(Config{FailureDomain: "z1", PlannerViewCurrent: func() bool { return h.plannerCurrent }, Logger: log.New(io.Discard)})
	h.SetPools(map[string]tamarackknot.PoolSpec{
		"s": {Name: "s", Engine: &tamarackknot.EngineSpec{Slots: 4, Models: map[string]tamarackknot.HostedModel{
			"m": {Name: "m", LoadDisk: 1700 * time.Millisecond, LoadRemote: 6 * time.Second},
		}}},
		"p": {Name: "p"},
	})
	return h
}

func (h *harness) add(id, service, domain string, slots int, models ...string) {
	e := tamarackknot.EndpointEntry{ID: id, Service: service, Address: "10.0.0.1:80", FailureDomain: domain, Slots: slots, State: tamarackknot.EndpointReady}
	if service == "s" {
		e.Engine = &tamarackknot.EngineReport{}
		for _, m := range models {
			e.Engine.Held = append(e.Engine.Held, tamarackknot.HeldModel{Name: m})
		}
	}
	h.entries[id] = e
	h.publish()
}

func (h *harness) publish() {
	byService := make(map[string][]string)
	for i := range 10 {
		id := fmt.Sprintf("e%d", i)
		if e, ok := h.entries[id]; ok && e.State == tamarackknot.EndpointReady {
			byService[e.Service] = append(byService[e.Service], id)
		}
	}
	h.SetEndpoints(h.entries, byService, true)
}

func request(service, model string) *Request {
	now := time.Now()
	return &Request{
		ID: "r", Service: service, Model: model, Arrived: now,
		Objective: now.Add(600 * time.Millisecond), Deadline: now.Add(2400 * time.Millisecond),
	}
}

func (h *harness) grant(t *testing.T, req *Request) *Grant {
	t.Helper()
	g, refusal := h.Acquire(t.Context(), req)
	require.Nil(t, refusal)
	return g
}

// TestBurst guards against a burst of requests that overloads one endpoint: the
// requests must spread over all endpoints, and none may get more than its slots.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.add("e0", "s", "z1", 4, "m")
		h.add("e1", "s", "z2", 4, "m")
		got := make(map[string]int)
		for range 8 {
			got[h.grant(t, request("s", "m")).Endpoint.ID]++
		}
		require.Equal(t, map[string]int{"e0": 4, "e1": 4}, got)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, refusal := h.Acquire(ctx, request("s", "m"))
		require.NotNil(t, refusal)
	})
}

// TestColdStart guards against wrong handling of a cold start: requests must wait
// while the forecast is before their deadline, be served once the model is
// loaded, and be refused at once with a retry time if the forecast is too late.
func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.add("e0", "s", "z1", 4)
		forecast := func(in time.Duration) {
			h.SetView(tamarackknot.FleetView{Forecasts: []tamarackknot.ModelForecast{{Service: "s", Model: "m", ReadyAt: time.Now().Add(in)}}})
		}
		forecast(time.Second)
		done := make(chan *Grant, 1)
		go func() {
			g, _ := h.Acquire(t.Context(), request("s", "m"))
			done <- g
		}()
		synctest.Wait()
		demand := h.Demand(false)
		require.Len(t, demand.Models, 1)
		require.Equal(t, 1, demand.Models[0].Waiting)
		require.Equal(t, 1, demand.Models[0].Tight)
		h.SetView(tamarackknot.FleetView{Engines: map[string]tamarackknot.EngineView{"e0": {Held: []tamarackknot.HeldModel{{Name: "m"}}}}})
		require.Equal(t, "e0", (<-done).Endpoint.ID)

		h.SetView(tamarackknot.FleetView{Engines: map[string]tamarackknot.EngineView{"e0": {}}})
		forecast(6 * time.Second)
		started := time.Now()
		_, refusal := h.Acquire(t.Context(), request("s", "m"))
		require.NotNil(t, refusal)
		require.Zero(t, time.Since(started))
		require.Equal(t, started.Add(6*time.Second), refusal.RetryAt)
	})
}

// TestPlannerUnreachable guards against requests that wait until their callers give
// up while no planner forecasts when their model is loaded.
func TestPlannerUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.plannerCurrent = false
		h.add("e0", "s", "z1", 4)
		ctx, cancel := context.WithCancel(t.Context())
		go h.Run(ctx)
		started := time.Now()
		_, refusal := h.Acquire(t.Context(), request("s", "m"))
		require.NotNil(t, refusal)
		require.Less(t, time.Since(started), 1200*time.Millisecond)
		require.True(t, refusal.RetryAt.After(time.Now()))
		cancel()
		synctest.Wait()
	})
}

// TestPriorityOrder guards against a request that waits behind requests of lower
// priority.
func TestPriorityOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.add("e0", "p", "z1", 1)
		first, second := h.grant(t, request("p", "")), h.grant(t, request("p", ""))
		served := make(chan int, 2)
		for _, priority := range []int{2, 0} {
			go func() {
				req := request("p", "")
				req.Priority = priority
				_, _ = h.Acquire(t.Context(), req)
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

// TestBackoffAfterResult guards against an endpoint that is chosen again right
// after it failed, was full or lacked the model, and against one that is never
// chosen again.
func TestBackoffAfterResult(t *testing.T) {
	cases := map[string]Result{
		"failed": ResultFailed, "full": ResultFull, "lacks the model": ResultMisplaced, "unreachable": ResultUnreachable,
	}
	for name, result := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.add("e0", "s", "z1", 4, "m")
				h.add("e1", "s", "z1", 4, "m")
				g := h.grant(t, request("s", "m"))
				g.Done(result)
				g.Done(result)
				require.NotEqual(t, g.Endpoint.ID, h.grant(t, request("s", "m")).Endpoint.ID)
				time.Sleep(10 * time.Second)
				again := false
				for range 6 {
					again = again || h.grant(t, request("s", "m")).Endpoint.ID == g.Endpoint.ID
				}
				require.True(t, again)
			})
		})
	}
}

// TestRemovedEndpoint guards against requests for an endpoint that is about to
// be removed.
func TestRemovedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.add("e0", "s", "z1", 4, "m")
		h.add("e1", "s", "z2", 4, "m")
		e := h.entries["e0"]
		e.GoneAt = time.Now().Add(300 * time.Millisecond)
		h.entries["e0"] = e
		h.publish()
		for range 4 {
			require.Equal(t, "e1", h.grant(t, request("s", "m")).Endpoint.ID)
		}
	})
}

// TestShutdownAdmits guards against requests that a host which shuts down takes on and then
// can't answer, and against refusals of those that it can.
func TestShutdownAdmits(t *testing.T) {
	now := time.Now()
	plan := &Shutdown{AcceptLongUntil: now, End: now.Add(4 * time.Second)}
	cases := map[string]struct {
		plan       *Shutdown
		at         time.Duration
		answeredIn time.Duration
		admits     bool
	}{
		"no shutdown":                      {nil, 0, time.Minute, true},
		"long and early":                   {plan, -time.Millisecond, time.Minute, true},
		"long and late":                    {plan, 0, time.Minute, false},
		"short and late":                   {plan, time.Second, 3 * time.Second, true},
		"not quite short enough":           {plan, time.Second, 3*time.Second + 1, false},
		"after the end, whatever it lasts": {plan, 5 * time.Second, time.Millisecond, false},
		"its time is over, before the end": {plan, time.Second, -time.Millisecond, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			at := now.Add(tc.at)
			require.Equal(t, tc.admits, tc.plan.admits(at.Add(tc.answeredIn), at))
		})
	}
}

// TestDrain guards against requests that wait at a host until the end of its
// shutdown, although other hosts could serve them.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.add("e0", "s", "z1", 4)
		h.SetView(tamarackknot.FleetView{Forecasts: []tamarackknot.ModelForecast{{Service: "s", Model: "m", ReadyAt: time.Now().Add(2 * time.Second)}}})
		ctx, cancel := context.WithCancel(t.Context())
		go h.Run(ctx)
		started := time.Now()
		until := started.Add(time.Second)
		h.Shutdown(Shutdown{AcceptLongUntil: until, WaitUntil: until, End: until})
		_, refusal := h.Acquire(t.Context(), request("s", "m"))
		require.NotNil(t, refusal)
		require.InDelta(t, time.Second, time.Since(started), float64(2*recheckInterval))
		cancel()
		synctest.Wait()
	})
}

// TestRetryBudget guards against more retries than the share of one host, so that
// all hosts together exceed the budget, and against a budget that is not restored
// after its window.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &RetryBudget{Ratio: 0.2, Slack: 20, Window: 10 * time.Second, Clock: bubbleClock}
		for range 100 {
			b.RecordRequest("s")
		}
		allowed := 0
		for range 100 {
			if send(b, "s", 4) {
				allowed++
			}
		}
		// A tenth of the requests, and a quarter of the slack.
		require.Equal(t, 15, allowed)
		require.False(t, send(b, "s", 4))
		// A host that does not know the number of hosts gets none of the slack.
		require.False(t, send(b, "new", 0))
		time.Sleep(b.Window + transitTime + 2*b.Window/budgetBuckets)
		require.True(t, send(b, "s", 4))
	})
}

// TestRetryBudgetSlidingWindow guards against more retries than allowed in a
// window that starts between two buckets.
func TestRetryBudgetSlidingWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &RetryBudget{Ratio: 0.2, Slack: 20, Window: 10 * time.Second, Clock: bubbleClock}
		b.RecordRequest("s")
		var retries []time.Time
		for range 4000 {
			time.Sleep(13 * time.Millisecond)
			if send(b, "s", 1) {
				retries = append(retries, time.Now())
			}
		}
		for i, from := range retries {
			n := 0
			for _, at := range retries[i:] {
				if at.Sub(from) < b.Window {
					n++
				}
			}
			require.LessOrEqual(t, n, 20, "retries in the window from %v", from)
		}
		require.Greater(t, len(retries), 60, "the budget must not refuse all retries")
	})
}

// TestMisplacedService guards against a request that is sent over and over to an
// address that another instance of a plain service has taken.
func TestMisplacedService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{PlannerViewCurrent: func() bool { return false }, Logger: log.New(io.Discard)})
		ctx, cancel := context.WithCancel(t.Context())
		go d.Run(ctx)
		d.SetEndpoints(map[string]tamarackknot.EndpointEntry{
			"e": {ID: "e", Service: "s", Slots: 4, State: tamarackknot.EndpointReady},
		}, map[string][]string{"s": {"e"}}, true)
		started, sent := time.Now(), 0
		for sent < 50 && time.Since(started) < time.Second {
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

// BenchmarkChoose measures the choice of an endpoint among 140 engines with
// three models of three adapters each.
func BenchmarkChoose(b *testing.B) {
	d := New(Config{FailureDomain: "z1", PlannerViewCurrent: func() bool { return true }, Logger: log.New(io.Discard)})
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
	req := &Request{Service: "s", Model: "m21", Adapter: "a2", PromptParts: []string{"p", "q", "r"}}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		d.best(req, now)
	}
}

// TestPinnedRequest guards against a resumed stream that is refused although an endpoint
// of its version may load the model, that goes to another version, or that waits although
// no endpoint of its version is left.
func TestPinnedRequest(t *testing.T) {
	cases := map[string]struct {
		held, other []string // models of the endpoints of version 1 and 2
		exclude     string
		wait        bool
		chosen      string
	}{
		"an endpoint of the version has the model": {held: []string{"m"}, other: []string{"m"}, chosen: "e0"},
		"only another version has the model":       {held: nil, other: []string{"m"}, wait: true},
		"no other endpoint of the version":         {held: []string{"m"}, other: []string{"m"}, exclude: "e0"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go h.Run(ctx)
				h.add("e0", "s", "z2", 4, tc.held...)
				h.add("e1", "s", "z1", 4, tc.other...)
				for id, v := range map[string]string{"e0": "1", "e1": "2"} {
					e := h.entries[id]
					e.Version = v
					h.entries[id] = e
				}
				h.publish()
				req := request("s", "m")
				req.Pinned, req.Version, req.Exclude = true, "1", []string{tc.exclude}
				started := time.Now()
				g, refusal := h.Acquire(ctx, req)
				if tc.chosen != "" {
					require.NotNil(t, g)
					require.Equal(t, tc.chosen, g.Endpoint.ID)
					return
				}
				require.NotNil(t, refusal)
				require.Equal(t, tc.wait, time.Since(started) > 0)
			})
		})
	}
}

// TestChoiceFollowsHeldModels guards against requests that go to an endpoint which no longer
// has the model loaded, or don't go to one that has it now.
func TestChoiceFollowsHeldModels(t *testing.T) {
	h := newHarness()
	h.add("e0", "s", "z1", 4, "m")
	h.add("e1", "s", "z1", 4)
	chosen := func() string {
		h.mu.Lock()
		defer h.mu.Unlock()
		e, missing := h.best(request("s", "m"), time.Now())
		if e == nil {
			require.Equal(t, lackModel, missing)
			return ""
		}
		return e.entry.ID
	}
	require.Equal(t, "e0", chosen())
	held := []tamarackknot.HeldModel{{Name: "m"}}
	h.SetView(tamarackknot.FleetView{Engines: map[string]tamarackknot.EngineView{"e0": {}, "e1": {Held: held}}})
	require.Equal(t, "e1", chosen())
	h.SetView(tamarackknot.FleetView{Engines: map[string]tamarackknot.EngineView{"e1": {}}})
	require.Empty(t, chosen())
	h.add("e2", "s", "z1", 4, "m")
	require.NotEmpty(t, chosen(), "the entries name the models")
	delete(h.entries, "e0")
	h.publish()
	require.Equal(t, "e2", chosen())
}
