package hosted

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// An endpoint gets at most limitFactor times its limit in limitWindow, and
	// limitSlack requests, from the processes that it told toldTime ago, from
	// adaptTime after it first named the limit on.
	limitFactor = 1.5
	limitSlack  = 5
	limitWindow = 4 * time.Second
	toldTime    = 500 * time.Millisecond
	adaptTime   = 3 * time.Second
)

// limitTrial runs a cluster whose endpoints name limits, and records the requests that
// reach them.
type limitTrial struct {
	c         *cluster
	perSecond map[string]float64 // by endpoint

	mu       sync.Mutex
	since    time.Time // when the limits are named; zero before
	told     map[[2]string]time.Time
	arrivals map[string][]arrival // by endpoint
}

type arrival struct {
	process string
	at      time.Time
}

// loop sends requests for all models in turn, so also for those that an endpoint with a
// limit holds: which these are depends on the planner.
func (l *limitTrial) loop(ctx context.Context, h *clusterHost) {
	gate := &gatedHost{h: h}
	for n := 0; wait.For(ctx, 100*time.Millisecond); n++ {
		now := time.Now()
		req := &dispatch.Request{
			ID: strconv.Itoa(n), Service: "s", Model: modelName(n % clusterModels), Arrived: now,
			Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(3 * time.Second),
		}
		callCtx, cancel := context.WithDeadline(ctx, req.Deadline)
		l.c.wg.Go(func() {
			defer cancel()
			grant, _ := h.dispatch.Acquire(callCtx, req)
			if grant == nil {
				return
			}
			defer grant.Done(dispatch.ResultAnswered)
			gate.pass()
			limit := l.arrive(h.self.Incarnation, grant.Endpoint.ID)
			if wait.For(ctx, 50*time.Millisecond) {
				grant.Observe(tamarackknot.EndpointSignals{Limit: limit})
			}
		})
	}
}

// arrive records a request and returns the limit that its answer names.
func (l *limitTrial) arrive(process, endpoint string) tamarackknot.RateLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.arrivals[endpoint] = append(l.arrivals[endpoint], arrival{process, now})
	perSecond, limited := l.perSecond[endpoint]
	if !limited || l.since.IsZero() {
		return tamarackknot.RateLimit{}
	}
	if key := [2]string{process, endpoint}; l.told[key].IsZero() {
		l.told[key] = now
	}
	return tamarackknot.RateLimit{Limited: true, PerSecond: perSecond}
}

// excess returns the first window in which an endpoint gets too many requests, "" if
// there is none.
func (l *limitTrial) excess() string {
	for endpoint, perSecond := range l.perSecond {
		allowed := limitFactor*perSecond*limitWindow.Seconds() + limitSlack
		var counted []time.Time
		for _, a := range l.arrivals[endpoint] {
			told := l.told[[2]string{a.process, endpoint}]
			if !told.IsZero() && a.at.Sub(told) >= toldTime && a.at.Sub(l.since) >= adaptTime {
				counted = append(counted, a.at)
			}
		}
		for _, from := range counted {
			if n := between(counted, from, from.Add(limitWindow)); float64(n) > allowed {
				return fmt.Sprintf("%s with a limit of %v gets %d requests from %v on; allowed %.0f", endpoint, perSecond, n, from.Sub(l.c.started), allowed)
			}
		}
	}
	return ""
}

// playLimits runs a cluster through the faults, in which the endpoints name limits from
// the end of the warm-up on. It returns the first window with too many requests, and the
// number of requests that reach e0 in the last 10 s.
func playLimits(t *testing.T, perSecond map[string]float64, faults func(c *cluster)) (excess string, last int) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		l := &limitTrial{perSecond: perSecond, told: make(map[[2]string]time.Time), arrivals: make(map[string][]arrival)}
		c, cancel := startCluster(smallSize(), true, io.Discard, func(ctx context.Context, h *clusterHost) { l.loop(ctx, h) })
		l.c = c
		c.quiet = true // only the requests of the trial
		wait.For(c.ctx, warmUp)
		l.mu.Lock()
		l.since = time.Now()
		l.mu.Unlock()
		wait.For(c.ctx, adaptTime)
		faults(c)
		wait.For(c.ctx, warmUp)
		ended := time.Now()
		cancel()
		c.wg.Wait()
		excess = l.excess()
		for _, a := range l.arrivals["e0"] {
			if ended.Sub(a.at) <= 10*time.Second {
				last++
			}
		}
	})
	return excess, last
}

// TestEndpointLimitOfAllHosts guards against hosts that together send an endpoint more
// requests than the limit that it named, also while they are killed, restarted, replaced
// and added within the window.
func TestEndpointLimitOfAllHosts(t *testing.T) {
	one := map[string]float64{"e0": 1}
	cases := map[string]struct {
		perSecond map[string]float64
		faults    func(c *cluster)
	}{
		"one endpoint":                     {one, func(*cluster) {}},
		"all endpoints":                    {map[string]float64{"e0": 1, "e1": 1.2, "e2": 3}, func(*cluster) {}},
		"a limit of nothing":               {map[string]float64{"e0": 0}, func(*cluster) {}},
		"all hosts are killed three times": {one, func(c *cluster) { c.restart(3, (*clusterHost).stop, c.hostNames()...) }},
		"all hosts are shut down twice":    {one, func(c *cluster) { c.restart(2, (*clusterHost).shutDown, c.hostNames()...) }},
		"the planner is killed twice":      {one, func(c *cluster) { c.restart(2, (*clusterHost).stop, c.holder().name) }},
		"twenty hosts are added":           {one, func(c *cluster) { c.addHosts(20) }},
		"two hosts are replaced twice":     {one, func(c *cluster) { c.replaceHosts(2, 2) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			excess, last := playLimits(t, tc.perSecond, tc.faults)
			require.Empty(t, excess)
			require.GreaterOrEqual(t, float64(last), 10*tc.perSecond["e0"]/2, "an endpoint must get at least half of what it takes")
		})
	}
}

// TestEndpointLimitFaults guards against the same in random series of faults.
func TestEndpointLimitFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		perSecond := map[string]float64{"e0": float64(rapid.IntRange(0, 30).Draw(rt, "tenths")) / 10}
		faults := drawHostFaults(rt)
		excess, _ := playLimits(t, perSecond, func(c *cluster) { c.play(faults) })
		if excess != "" {
			t.Logf("perSecond=%v faults=%v: %s", perSecond, faults, excess)
		}
		require.Empty(rt, excess)
	})
}
