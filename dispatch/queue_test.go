package dispatch

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// TestWaitPastObjective guards against refusing a request to a plain service although it gets
// a slot soon after its objective, and against keeping one until its deadline that gets none.
func TestWaitPastObjective(t *testing.T) {
	const work, objective = 30 * time.Millisecond, 150 * time.Millisecond
	for name, tt := range map[string]struct {
		requests int
		deadline time.Duration
		refused  int
	}{
		"a burst that is served by the deadline":    {requests: 60, deadline: 1200 * time.Millisecond},
		"a burst of which a part is served in time": {requests: 60, deadline: 600 * time.Millisecond, refused: 30},
		"a deadline that leaves no time to wait":    {requests: 60, deadline: 400 * time.Millisecond, refused: 45},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.add("e0", "p", "z1", 2)
				go h.Run(t.Context())
				refusals := make(chan time.Duration, tt.requests)
				var wg sync.WaitGroup
				started := time.Now()
				for range tt.requests {
					wg.Go(func() {
						ctx, cancel := context.WithDeadline(t.Context(), started.Add(tt.deadline))
						defer cancel()
						g, _ := h.Acquire(ctx, &Request{Service: "p", Arrived: started, Objective: started.Add(objective), Deadline: started.Add(tt.deadline)})
						if g == nil {
							refusals <- time.Since(started)
							return
						}
						time.Sleep(work)
						g.Done(ResultAnswered)
					})
				}
				wg.Wait()
				close(refusals)
				var refusedAt []time.Duration
				for at := range refusals {
					refusedAt = append(refusedAt, at)
				}
				require.LessOrEqual(t, len(refusedAt), tt.refused)
				if tt.refused > 0 {
					require.NotEmpty(t, refusedAt)
					require.Less(t, slices.Max(refusedAt), objective+2*recheckInterval, "what can't be served is refused at once")
				}
			})
		})
	}
}

// TestOnTimeFirst guards against requests past their objective that take the slots of those
// that can still meet it, so that all are late.
func TestOnTimeFirst(t *testing.T) {
	now := time.Now()
	queued := func(id string, priority int, objective time.Duration) *waiter {
		return &waiter{req: &Request{ID: id, Priority: priority, Objective: now.Add(objective)}}
	}
	waiting := []*waiter{
		queued("late", 1, -time.Second), queued("later", 1, 2*time.Second), queued("urgent and late", 0, -time.Second),
		queued("soon", 1, time.Second), queued("urgent", 0, time.Second),
	}
	orderWaiting(waiting, now)
	var ids []string
	for _, w := range waiting {
		ids = append(ids, w.req.ID)
	}
	require.Equal(t, []string{"urgent", "urgent and late", "soon", "later", "late"}, ids)
}

// TestOthersOfLostPlanner guards against slots that stay empty since the planner, before it
// was lost, has told of requests of other hosts that have long ended.
func TestOthersOfLostPlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.add("e0", "s", "z1", 4, "m")
		full := tamarackknot.FleetView{Engines: map[string]tamarackknot.EngineView{"e0": {Held: []tamarackknot.HeldModel{{Name: "m"}}, Others: 4}}}
		refused := func() bool {
			ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(50*time.Millisecond))
			defer cancel()
			g, _ := h.Acquire(ctx, request("s", "m"))
			if g != nil {
				g.Done(ResultAnswered)
			}
			return g == nil
		}
		h.SetView(full)
		require.True(t, refused())
		time.Sleep(othersMemory / 2)
		h.SetView(tamarackknot.FleetView{})
		time.Sleep(othersMemory - 100*time.Millisecond)
		require.True(t, refused(), "the planner's last message is recent")
		h.plannerCurrent = false
		time.Sleep(100 * time.Millisecond)
		require.False(t, refused())
		h.SetView(full)
		require.True(t, refused())
	})
}
