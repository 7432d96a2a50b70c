package dispatch

import (
	"cmp"
	"context"
	"encoding/binary"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// returningCaller asks for a service and comes back once when it is told.
type returningCaller struct {
	service, model      string
	arrives             time.Duration
	objective, patience time.Duration // of each request
	timeout             time.Duration
	work                time.Duration // for which a slot is taken
}

// returnTally counts how callers fared.
type returnTally struct{ served, servedOnReturn, refused, refusedAgain int }

// replayReturns plays the callers, which honour the time of a refusal up to a third of the time
// that they have left.
func (h *harness) replayReturns(t *testing.T, callers []returningCaller) returnTally {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go h.Run(ctx)
	var mu sync.Mutex
	var tally returnTally
	var wg sync.WaitGroup
	for i, c := range callers {
		wg.Go(func() {
			time.Sleep(c.arrives)
			answeredBy := time.Now().Add(c.timeout)
			var content tamarackknot.ContentID
			binary.BigEndian.PutUint64(content[:], uint64(i)+1)
			for attempt := range 2 {
				now := time.Now()
				deadline := now.Add(c.patience)
				if deadline.After(answeredBy) {
					deadline = answeredBy
				}
				g, refusal := h.Acquire(ctx, &Request{
					Service: c.service, Model: c.model, Content: content, Arrived: now,
					Objective: now.Add(c.objective), Deadline: deadline, AnsweredBy: answeredBy,
				})
				if g != nil {
					time.Sleep(c.work)
					g.Done(ResultAnswered)
				}
				mu.Lock()
				switch {
				case g != nil && attempt == 0:
					tally.served++
				case g != nil:
					tally.servedOnReturn++
				case attempt > 0:
					tally.refusedAgain++
				case refusal.RetryAt.IsZero():
					tally.refused++
				}
				mu.Unlock()
				if g != nil || refusal.RetryAt.IsZero() {
					return
				}
				time.Sleep(min(time.Until(refusal.RetryAt), time.Until(answeredBy)/3))
			}
		})
	}
	wg.Wait()
	cancel()
	synctest.Wait()
	return tally
}

// TestQueueLongerThanObjective guards against callers that are told to come back to a queue
// which is still full then, and against slots that stay idle for them.
func TestQueueLongerThanObjective(t *testing.T) {
	plain := returningCaller{
		service: "p", objective: 150 * time.Millisecond, patience: 3 * time.Second, timeout: 3 * time.Second, work: 30 * time.Millisecond,
	}
	engine := returningCaller{
		service: "s", model: "m", objective: 600 * time.Millisecond, patience: 2400 * time.Millisecond, timeout: 10 * time.Second, work: 300 * time.Millisecond,
	}
	for name, tt := range map[string]struct {
		caller             returningCaller
		perSecond, callers int
		minServed          float64 // of what the slots can serve
		refusedAgain       float64 // of those that come back, at most
	}{
		"a little too many":        {caller: plain, perSecond: 80, callers: 400, minServed: 0.95},
		"twice what can be served": {caller: plain, perSecond: 130, callers: 650, minServed: 0.95, refusedAgain: 0.02},
		"a burst":                  {caller: plain, perSecond: 1000, callers: 400, minServed: 0.8},
		"a full engine":            {caller: engine, perSecond: 20, callers: 300, minServed: 0.9, refusedAgain: 0.1},
		"a burst at a full engine": {caller: engine, perSecond: 1000, callers: 200, minServed: 0.7, refusedAgain: 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.add("e0", "p", "z1", 1)
				h.add("e1", "s", "z1", 4, "m")
				atOnce := map[string]int{"p": plainRequestsPerSlot, "s": 4}[tt.caller.service]
				var callers []returningCaller
				for i := range tt.callers {
					c := tt.caller
					c.arrives = time.Duration(i) * time.Second / time.Duration(tt.perSecond)
					callers = append(callers, c)
				}
				started := time.Now()
				tally := h.replayReturns(t, callers)
				lasted := time.Since(started)
				served := tally.served + tally.servedOnReturn
				t.Logf("%+v, served %d of %d in %v", tally, served, tt.callers, lasted)
				possible := lasted.Seconds() / tt.caller.work.Seconds() * float64(atOnce)
				require.GreaterOrEqual(t, float64(served), tt.minServed*min(possible, float64(tt.callers)))
				require.LessOrEqual(t, float64(tally.refusedAgain), tt.refusedAgain*float64(tally.servedOnReturn+tally.refusedAgain))
			})
		})
	}
}

// TestReturnToLoadedModel guards against callers that are told a time before their model is
// loaded, one that they can't use, or all the same one, and against a model that is no longer
// wanted when they come back.
func TestReturnToLoadedModel(t *testing.T) {
	for name, tt := range map[string]struct {
		model            string        // m if empty
		forecast, loaded time.Duration // since the callers arrive; no forecast if zero
		timeout          time.Duration
		want             returnTally
	}{
		"loaded as forecast":                 {forecast: 4 * time.Second, loaded: 4 * time.Second, timeout: 20 * time.Second, want: returnTally{servedOnReturn: 8}},
		"loaded later than forecast":         {forecast: 4 * time.Second, loaded: 5 * time.Second, timeout: 20 * time.Second, want: returnTally{servedOnReturn: 8}},
		"loaded before the forecast":         {forecast: 4 * time.Second, loaded: 3 * time.Second, timeout: 20 * time.Second, want: returnTally{servedOnReturn: 8}},
		"loaded while they wait once more":   {forecast: 6 * time.Second, loaded: 6 * time.Second, timeout: 15 * time.Second, want: returnTally{servedOnReturn: 8}},
		"a load of 20 s":                     {forecast: 20 * time.Second, loaded: 20 * time.Second, timeout: 15 * time.Second, want: returnTally{refused: 8}},
		"their time is over before the load": {forecast: 4 * time.Second, loaded: 4 * time.Second, timeout: 4 * time.Second, want: returnTally{refused: 8}},
		"not a model of the service":         {model: "x", loaded: 2 * time.Second, timeout: 20 * time.Second, want: returnTally{refused: 8}},
		"no forecast, loaded from disk":      {loaded: 2 * time.Second, timeout: 20 * time.Second, want: returnTally{servedOnReturn: 8}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.add("e0", "s", "z1", 4)
				started := time.Now()
				if tt.forecast > 0 {
					h.SetView(tamarackknot.FleetView{Forecasts: []tamarackknot.ModelForecast{{Service: "s", Model: "m", ReadyAt: started.Add(tt.forecast)}}})
				}
				var callers []returningCaller
				for range 8 {
					callers = append(callers, returningCaller{
						service: "s", model: cmp.Or(tt.model, "m"), objective: 600 * time.Millisecond, patience: 2400 * time.Millisecond,
						timeout: tt.timeout, work: 500 * time.Millisecond,
					})
				}
				wanted := 0
				time.AfterFunc(min(tt.loaded-500*time.Millisecond, tt.timeout/3), func() {
					for _, m := range h.Demand(true).Models {
						wanted += m.Waiting
					}
				})
				time.AfterFunc(tt.loaded, func() {
					h.SetView(tamarackknot.FleetView{Engines: map[string]tamarackknot.EngineView{"e0": {Held: []tamarackknot.HeldModel{{Name: "m"}}}}})
				})
				require.Equal(t, tt.want, h.replayReturns(t, callers))
				time.Sleep(max(time.Until(started.Add(tt.loaded)), tt.timeout))
				synctest.Wait()
				require.Equal(t, wanted, tt.want.servedOnReturn, "demand reported before the model is loaded")
			})
		})
	}
}

// TestPauseBeyondReturn guards against refusing a caller that can't come back after a pause of
// all endpoints, but could wait for its end.
func TestPauseBeyondReturn(t *testing.T) {
	for name, tt := range map[string]struct {
		timeout time.Duration
		want    returnTally
	}{
		"time to come back":      {timeout: 10 * time.Second, want: returnTally{servedOnReturn: 1}},
		"time to wait":           {timeout: 4 * time.Second, want: returnTally{served: 1}},
		"its time ends before":   {timeout: 2 * time.Second, want: returnTally{refused: 1}},
		"its time ends too soon": {timeout: 2100 * time.Millisecond, want: returnTally{refused: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.add("e0", "p", "z1", 1)
				g := h.grant(t, request("p", ""))
				g.ObservePause(time.Now().Add(2 * time.Second))
				g.Done(ResultFull)
				caller := returningCaller{service: "p", objective: 150 * time.Millisecond, patience: tt.timeout, timeout: tt.timeout}
				require.Equal(t, tt.want, h.replayReturns(t, []returningCaller{caller}))
			})
		})
	}
}

// TestReturnedFirst guards against a caller that comes back when it was told and finds its
// place taken, against one that comes early or again to pass others, and against state of
// callers that never come back.
func TestReturnedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		now := time.Now()
		req := func(part string) *Request {
			return &Request{
				Service: "p", PromptParts: []string{"shared", part}, Arrived: now, Objective: now.Add(time.Second),
				Deadline: now.Add(10 * time.Second), AnsweredBy: now.Add(10 * time.Second),
			}
		}
		told := now.Add(time.Second)
		for _, part := range []string{"a", "b"} {
			require.WithinRange(t, h.RetryAt(req(part), told.Add(-returnSpread)), told.Add(-returnSpread), told.Add(unknownReturnSpacing))
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		require.False(t, h.returned(req("a"), now), "before the time")
		require.True(t, h.returned(req("a"), told), "a caller that endpoints declined")
		require.False(t, h.returned(req("a"), told), "once more")
		require.False(t, h.returned(req("c"), told), "another caller")
		require.False(t, h.returned(req("b"), now.Add(10*time.Second)), "after its deadline")
		first, other := req("a"), req("c")
		first.returned, first.Objective = true, other.Objective.Add(time.Second)
		require.Negative(t, compareWaiting(first, other, now))
		other.Priority = -1
		require.Positive(t, compareWaiting(first, other, now), "a more urgent one")

		for i := range 2 * maxReturns {
			r := req("")
			binary.BigEndian.PutUint64(r.Content[:], uint64(i)+1)
			h.expectReturn(r, &Refusal{RetryAt: told})
			h.recordRefused(&waiter{req: r}, &Refusal{RetryAt: told, wanted: true}, now)
		}
		require.Len(t, h.returns, maxReturns)
		require.Len(t, h.refused, maxReturns)
		h.pruneRefused(now.Add(time.Minute))
		require.Empty(t, h.returns)
		require.Empty(t, h.refused)
	})
}
