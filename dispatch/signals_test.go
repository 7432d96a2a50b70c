package dispatch

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

func limitOf(perSecond float64) tamarackknot.RateLimit {
	return tamarackknot.RateLimit{Limited: true, PerSecond: perSecond}
}

// sendAll sends requests for the model for some time, up to ten at once, and returns how
// many each endpoint gets.
func (h *harness) sendAll(t *testing.T, lasts time.Duration) map[string]int {
	t.Helper()
	sent := make(map[string]int)
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		h.mu.Lock()
		g, _ := h.tryGrant(request("s", "m"), time.Now())
		h.mu.Unlock()
		if g != nil {
			sent[g.Endpoint.ID]++
			g.Done(ResultAnswered)
		}
	}
	return sent
}

// TestEndpointLimit guards against more requests to an endpoint than this host's part of
// the limit that it named, and against a limit that outlives its cause.
func TestEndpointLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		share := 1.0
		h.cfg.LimitShare = func(_ string, perSecond float64) float64 { return share * perSecond }
		h.add("e0", "s", "z1", 4, "m")
		grant := func() *Grant {
			h.mu.Lock()
			defer h.mu.Unlock()
			g, _ := h.tryGrant(request("s", "m"), time.Now())
			return g
		}
		g := grant()
		g.Observe(tamarackknot.EndpointSignals{Limit: limitOf(2)})
		g.Done(ResultAnswered)
		require.Nil(t, grant(), "a host that learns of a limit must not begin with a request in hand")
		atMost := func(limit int) {
			t.Helper()
			n := h.sendAll(t, 10*time.Second)["e0"]
			require.LessOrEqual(t, n, limit)
			require.GreaterOrEqual(t, n, limit*3/4)
		}
		atMost(20)
		share = 0.25
		atMost(5)
		time.Sleep(10 * time.Second)
		h.mu.Lock()
		require.True(t, h.limitAllows(h.endpoints["e0"], time.Now()), "a request is saved, and sent elsewhere")
		h.mu.Unlock()
		share = 0
		require.Empty(t, h.sendAll(t, 10*time.Second), "a host without a part must not send what it has saved")

		// A limit that lasts is reported now and then.
		share = 1
		h.Demand(false)
		require.Empty(t, h.Demand(false).Notices)
		grantAndObserve := func() {
			time.Sleep(noticeInterval)
			h.mu.Lock()
			_ = h.limitAllows(h.endpoints["e0"], time.Now())
			h.mu.Unlock()
			time.Sleep(time.Second)
			g := grant()
			g.Observe(tamarackknot.EndpointSignals{Limit: limitOf(2)})
			g.Done(ResultAnswered)
		}
		grantAndObserve()
		require.Len(t, h.Demand(false).Notices, 1)
		share = 0
		require.Empty(t, h.sendAll(t, 10*time.Second))

		// An older observation of another host does not count, a newer one does.
		entry := h.entries["e0"]
		other := tamarackknot.EndpointNotice{Endpoint: "e0", Born: entry.Born, At: time.Now().Add(-time.Hour)}
		h.SetView(tamarackknot.FleetView{Notices: []tamarackknot.EndpointNotice{other}})
		require.Empty(t, h.sendAll(t, time.Second))
		require.Len(t, h.Demand(false).Notices, 1, "the planner must learn of the newer observation")
		other.At = time.Now()
		h.SetView(tamarackknot.FleetView{Notices: []tamarackknot.EndpointNotice{other}})
		require.Equal(t, 20, h.sendAll(t, time.Second)["e0"])

		// A limit belongs to one start of the endpoint, also while its entry is away.
		share = 0
		other.Limit, other.At = limitOf(2), time.Now()
		h.SetView(tamarackknot.FleetView{Notices: []tamarackknot.EndpointNotice{other}})
		delete(h.entries, "e0")
		h.publish()
		h.entries["e0"] = entry
		h.publish()
		require.Empty(t, h.sendAll(t, time.Second))
		entry.Born = time.Now()
		h.entries["e0"] = entry
		h.publish()
		require.Equal(t, 20, h.sendAll(t, time.Second)["e0"])
	})
}

// TestLimitedEndpointLast guards against a limited endpoint that spends its few requests
// although others have the model, and against one that is never asked again.
func TestLimitedEndpointLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.add("e0", "s", "z2", 4, "m")
		h.add("e1", "s", "z1", 4, "m")
		h.SetView(tamarackknot.FleetView{Notices: []tamarackknot.EndpointNotice{{Endpoint: "e0", Limit: limitOf(10), At: time.Now()}}})
		sent := h.sendAll(t, 20*time.Second)
		require.InDelta(t, 20/limitProbeInterval.Seconds(), sent["e0"], 1)
		require.Greater(t, sent["e1"], 350)
	})
}

// TestAllEndpointsPause guards against callers that wait although all endpoints of the
// service have asked for a pause, and that are not told when the first is back.
func TestAllEndpointsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.add("e0", "s", "z1", 4, "m")
		h.add("e1", "s", "z1", 4, "m")
		back := time.Now().Add(3 * time.Second)
		for _, until := range []time.Time{back.Add(time.Second), back} {
			g, _ := h.Acquire(t.Context(), request("s", "m"))
			g.Observe(tamarackknot.EndpointSignals{PauseUntil: until})
			g.Done(ResultFull)
			time.Sleep(fullBackoff)
		}
		g, refusal := h.Acquire(t.Context(), request("s", "m"))
		require.Nil(t, g)
		require.Equal(t, back, refusal.RetryAt)
		time.Sleep(3 * time.Second)
		g, _ = h.Acquire(t.Context(), request("s", "m"))
		require.NotNil(t, g)
	})
}

// TestPauseOfModelHolders guards against requests that wait for a model although all its
// endpoints have asked for a longer pause, and against refusing what another one can serve.
func TestPauseOfModelHolders(t *testing.T) {
	const pause = 5 * time.Second
	for name, tt := range map[string]struct {
		holders  []string // of e0 to e2, which all serve
		pausing  []string
		forecast time.Duration // until the model is loaded elsewhere; 0 if it is not
		refused  bool
	}{
		"the only holder":             {holders: []string{"e0"}, pausing: []string{"e0"}, refused: true},
		"both holders":                {holders: []string{"e0", "e1"}, pausing: []string{"e0", "e1"}, refused: true},
		"one of two holders":          {holders: []string{"e0", "e1"}, pausing: []string{"e0"}},
		"loaded elsewhere in time":    {holders: []string{"e0"}, pausing: []string{"e0"}, forecast: time.Second},
		"loaded elsewhere too late":   {holders: []string{"e0"}, pausing: []string{"e0"}, forecast: time.Minute, refused: true},
		"one that lacks the model":    {holders: []string{"e0"}, pausing: []string{"e1"}},
		"a pause within the deadline": {holders: []string{"e0"}, pausing: nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				for _, id := range []string{"e0", "e1", "e2"} {
					var models []string
					if slices.Contains(tt.holders, id) {
						models = []string{"m"}
					}
					h.add(id, "s", "z1", 4, models...)
				}
				now := time.Now()
				h.mu.Lock()
				for _, id := range tt.pausing {
					h.signals[startKey{id, h.entries[id].Born.UnixMilli()}] = &signalState{pausedUntil: now.Add(pause)}
				}
				if tt.forecast > 0 {
					h.forecasts[target{"s", "m"}] = now.Add(tt.forecast)
				}
				h.mu.Unlock()
				h.publish()
				h.mu.Lock()
				defer h.mu.Unlock()
				req := request("s", "m")
				g, _ := h.tryGrant(req, now)
				refusal := h.unmeetable(req, now)
				require.Equal(t, tt.refused, g == nil && refusal != nil)
				if tt.refused {
					require.WithinRange(t, refusal.RetryAt, now, now.Add(pause))
				}
			})
		})
	}
}

// TestLongPauseOfUnlistedEndpoint guards against a pause that is forgotten because the
// endpoint was not listed for some time.
func TestLongPauseOfUnlistedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.add("e0", "s", "z1", 4, "m")
		g := h.grant(t, request("s", "m"))
		g.Observe(tamarackknot.EndpointSignals{PauseUntil: time.Now().Add(5 * time.Minute)})
		g.Done(ResultFull)
		entry := h.entries["e0"]
		delete(h.entries, "e0")
		for range 5 {
			h.publish()
			time.Sleep(signalRetention / 2)
		}
		h.entries["e0"] = entry
		h.publish()
		require.Empty(t, h.sendAll(t, 2*time.Minute), "during the pause")
		time.Sleep(time.Minute)
		require.NotEmpty(t, h.sendAll(t, time.Second), "after it")
	})
}

// TestDemandOfRefusedRequests guards against requests that are refused because of a pause
// and whose model is therefore never loaded elsewhere.
func TestDemandOfRefusedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		wakes := 0
		h.cfg.OnModelWait = func() { wakes++ }
		h.add("e0", "s", "z1", 4, "m")
		h.add("e1", "s", "z1", 4)
		g := h.grant(t, request("s", "m"))
		g.Observe(tamarackknot.EndpointSignals{PauseUntil: time.Now().Add(time.Minute)})
		g.Done(ResultFull)
		h.Demand(false)
		_, refusal := h.Acquire(t.Context(), request("s", "m"))
		require.NotNil(t, refusal)
		require.Equal(t, 1, wakes, "the planner is told at once")
		waiting := func() int {
			demand := h.Demand(false).Models
			require.Len(t, demand, 1)
			return demand[0].Waiting
		}
		require.Equal(t, 1, waiting())
		time.Sleep(refusedDemandTime)
		require.Zero(t, waiting())
		require.Empty(t, h.Demand(false).Models)
	})
}
