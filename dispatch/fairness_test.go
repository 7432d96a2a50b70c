package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// tenantLoad is what a workspace asks for: requests at an interval, or all at once if it is 0.
type tenantLoad struct {
	workspace string
	starts    time.Duration
	requests  int
	interval  time.Duration
	work      time.Duration // for which a slot is taken
	patience  time.Duration
}

// replayTenants plays the loads on the plain service. It returns the share of its requests that
// each workspace was served, and the share of the slots' time that was used while the longest
// load lasted.
func replayTenants(t *testing.T, slots int, loads []tenantLoad) (served map[string]float64, all, used float64) {
	t.Helper()
	h := newHarness()
	h.add("e0", "p", "z1", slots)
	ctx, cancel := context.WithCancel(t.Context())
	go h.Run(ctx)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var busy, lasts time.Duration
	served = make(map[string]float64)
	total, asked := 0.0, 0
	for _, l := range loads {
		lasts = max(lasts, l.starts+time.Duration(l.requests)*l.interval)
		asked += l.requests
		for i := range l.requests {
			wg.Go(func() {
				time.Sleep(l.starts + time.Duration(i)*l.interval)
				now := time.Now()
				req := &Request{
					Service: "p", Workspace: l.workspace, Arrived: now,
					Objective: now.Add(l.patience), Deadline: now.Add(l.patience), AnsweredBy: now.Add(l.patience),
				}
				g, _ := h.Acquire(ctx, req)
				if g == nil {
					return
				}
				mu.Lock()
				served[l.workspace] += 1 / float64(l.requests)
				total++
				busy += l.work
				mu.Unlock()
				time.Sleep(l.work)
				g.Done(ResultAnswered)
			})
		}
	}
	wg.Wait()
	cancel()
	synctest.Wait()
	return served, total / float64(asked), busy.Seconds() / lasts.Seconds() / float64(slots*plainRequestsPerSlot)
}

// TestFairness guards against a workspace whose burst fills the queue before the others, against
// dear requests that starve among cheap ones or the other way round, and against capacity that
// stays idle for the sake of fairness.
func TestFairness(t *testing.T) {
	others := func(n int, l tenantLoad) []tenantLoad {
		var out []tenantLoad
		for i := range n {
			l.workspace, l.starts = fmt.Sprintf("w%02d", i), l.starts+7*time.Millisecond
			out = append(out, l)
		}
		return out
	}
	const ms, s = time.Millisecond, time.Second
	for name, tt := range map[string]struct {
		slots   int
		loads   []tenantLoad
		least   float64 // share of a workspace as a fraction of that of all
		minUsed float64
	}{
		"a burst beside 15 others": {
			slots: 2, least: 0.6, minUsed: 0.95, // 100 requests a second
			loads: append(others(15, tenantLoad{starts: 200 * ms, requests: 40, interval: 250 * ms, work: 40 * ms, patience: 2 * s}),
				tenantLoad{workspace: "burst", requests: 1000, work: 40 * ms, patience: 10 * s}),
		},
		"a flood beside 15 others": {
			slots: 2, least: 0.75, minUsed: 0.95,
			loads: append(others(15, tenantLoad{requests: 40, interval: 250 * ms, work: 40 * ms, patience: 2 * s}),
				tenantLoad{workspace: "flood", requests: 4000, interval: 2500 * time.Microsecond, work: 40 * ms, patience: 2 * s}),
		},
		"dear and cheap requests": {
			slots: 4, least: 0.95, minUsed: 0.95,
			loads: []tenantLoad{
				{workspace: "dear", requests: 200, interval: 50 * ms, work: 400 * ms, patience: 3 * s},
				{workspace: "cheap", requests: 1000, interval: 10 * ms, work: 20 * ms, patience: 3 * s},
			},
		},
		"one workspace alone": {
			slots: 1, least: 1, minUsed: 0.95,
			loads: []tenantLoad{{workspace: "w", requests: 500, interval: 20 * ms, work: 80 * ms, patience: 2 * s}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				served, all, used := replayTenants(t, tt.slots, tt.loads)
				least := 1.0
				for _, share := range served {
					least = min(least, share)
				}
				t.Logf("least %.2f, all %.2f, used %.2f, %v", least, all, used, served)
				require.Len(t, served, len(tt.loads))
				require.GreaterOrEqual(t, least+1e-9, tt.least*all)
				require.GreaterOrEqual(t, used, tt.minUsed)
			})
		})
	}
}

// TestShares guards against a workspace that is behind others although less of its demand was
// served, against a request that counts twice, and against state that grows with workspaces.
func TestShares(t *testing.T) {
	now := time.Now()
	s := newShares()
	queued := func(workspace string, objective time.Duration) *waiter {
		return &waiter{req: &Request{Service: "s", Model: "m", Workspace: workspace, Objective: now.Add(objective)}}
	}
	for i := range 10 {
		for _, workspace := range []string{"full", "half", "none"} {
			req := queued(workspace, 0).req
			s.recordServed(req, workspace == "full" || workspace == "half" && i%2 == 0, now)
			s.recordServed(req, workspace == "full" || workspace == "half" && i%2 == 0, now)
			s.recordAsked(req, now)
		}
	}
	waiting := []*waiter{queued("full", 1), queued("new", 2), queued("half", 3)}
	for i := range 8 {
		waiting = append(waiting, queued("none", time.Duration(4+i)))
	}
	require.True(t, s.assign(waiting, now))
	orderWaiting(waiting, now)
	var order []string
	for _, w := range waiting {
		order = append(order, w.req.Workspace)
	}
	// After six more, what the workspace was served is three quarters of the half of all.
	require.Equal(t, []string{"none", "none", "none", "none", "none", "none", "full", "new", "half", "none", "none"}, order)
	require.False(t, s.assign(waiting[:2:2][:1], now), "one workspace")

	for i := range 2 * maxShares {
		s.recordAsked(queued(fmt.Sprint(i), 0).req, now)
	}
	require.LessOrEqual(t, len(s.services["s"].byWorkspace), maxShares)
	s.recordAsked(queued("last", 0).req, now.Add(2*shareRetention))
	require.Len(t, s.services["s"].byWorkspace, 1)
}
