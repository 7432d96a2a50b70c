package hosted

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	retryRatio  = 0.2
	retrySlack  = 40.0
	retryWindow = 10 * time.Second
	// warmUp is how long the hosts run before the first fault, so that each may use
	// its share of the slack.
	warmUp = 40 * time.Second
	// minRetryShare is the share of the requests that hosts must at least retry where the
	// budget allows it.
	minRetryShare = 90.0 / 400
)

// retryTrial records the requests and the retries of a cluster whose hosts retry as
// often as they may.
type retryTrial struct {
	c    *cluster
	rate int // requests of a host in 100 ms

	mu       sync.Mutex
	requests []time.Time
	retries  []time.Time
}

// loop sends requests and retries of one process until ctx ends. A retry of a
// paused host arrives after the pause.
func (r *retryTrial) loop(ctx context.Context, h *clusterHost) {
	budget := &dispatch.RetryBudget{Ratio: retryRatio, Slack: retrySlack, Window: retryWindow, Clock: h.cfg.clock}
	gate := &gatedHost{h: h}
	for wait.For(ctx, 100*time.Millisecond) {
		gate.pass()
		if ctx.Err() != nil {
			return
		}
		for range rand.IntN(2*r.rate + 1) {
			budget.RecordRequest("s")
			r.record(&r.requests)
		}
		for range 5 {
			if retry, _ := budget.AllowRetry("s", h.shares.Count()); retry != nil {
				retry.Sent()
				r.record(&r.retries)
			}
		}
	}
}

func (r *retryTrial) record(times *[]time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*times = append(*times, time.Now())
}

// between counts the times from a time until another.
func between(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// excess returns the first window with more retries than allowed, "" if there is
// none: the requests counted are those in the window, in the one before it or in the
// one half a window before it.
func (r *retryTrial) excess() string {
	for _, from := range r.retries {
		to := from.Add(retryWindow)
		requests := 0
		for _, shift := range []time.Duration{0, -retryWindow / 2, -retryWindow} {
			requests = max(requests, between(r.requests, from.Add(shift), to.Add(shift)))
		}
		n, allowed := between(r.retries, from, to), retryRatio*float64(requests)+retrySlack
		if float64(n) > allowed {
			return fmt.Sprintf("%d retries from %v on, for %d requests; allowed %.0f", n, from.Sub(r.c.started), requests, allowed)
		}
	}
	return ""
}

// playRetries runs a cluster through the faults. It returns the first window with too
// many retries and, for the last window before the faults, the retries per request. Two
// windows of requests count, as for the budget.
func playRetries(t *testing.T, rate int, faults func(c *cluster)) (excess string, before float64) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		r := &retryTrial{rate: rate}
		c, cancel := startCluster(smallSize(), false, io.Discard, func(ctx context.Context, h *clusterHost) { r.loop(ctx, h) })
		r.c = c
		wait.For(c.ctx, warmUp)
		began := time.Now()
		faults(c)
		wait.For(c.ctx, 2*retryWindow)
		cancel()
		c.wg.Wait()
		excess = r.excess()
		requests := float64(between(r.requests, began.Add(-2*retryWindow), began)) / 2
		before = float64(between(r.retries, began.Add(-retryWindow), began)) / max(requests, 1)
	})
	return excess, before
}

// restart ends hosts the given number of times and starts them again at once.
func (c *cluster) restart(times int, end func(*clusterHost), names ...string) {
	for range times {
		for _, name := range names {
			h := c.host(name)
			c.replace(h, func() { end(h) }, 100*time.Millisecond)
		}
		wait.For(c.ctx, 2*time.Second)
	}
}

func (c *cluster) host(name string) *clusterHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[name]
}

// TestRetryBudgetOfAllHosts guards against hosts that together retry more often than
// allowed while they are killed, restarted, replaced and added within the window.
func TestRetryBudgetOfAllHosts(t *testing.T) {
	cases := map[string]func(c *cluster){
		"no fault":                           func(*cluster) {},
		"a host is killed four times":        func(c *cluster) { c.restart(4, (*clusterHost).stop, "h1") },
		"all hosts are killed three times":   func(c *cluster) { c.restart(3, (*clusterHost).stop, c.hostNames()...) },
		"all hosts are shut down twice":      func(c *cluster) { c.restart(2, (*clusterHost).shutDown, c.hostNames()...) },
		"the planner is killed three times":  func(c *cluster) { c.restart(3, (*clusterHost).stop, c.holder().name) },
		"four hosts are added":               func(c *cluster) { c.addHosts(4) },
		"two hosts are replaced, then twice": func(c *cluster) { c.replaceHosts(2, 2) },
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			excess, before := playRetries(t, 1, faults)
			require.Empty(t, excess)
			require.Greater(t, before, minRetryShare, "retries that the budget allows must be sent")
		})
	}
}

// addHosts starts hosts with names that no host had before.
func (c *cluster) addHosts(n int) {
	for range n {
		c.mu.Lock()
		name := fmt.Sprintf("n%d", c.starts)
		c.mu.Unlock()
		c.start(name, false)
	}
}

// replaceHosts shuts hosts down and starts as many under new names, several times.
func (c *cluster) replaceHosts(n, times int) {
	for range times {
		for range n {
			c.mu.Lock()
			var h *clusterHost
			for _, other := range c.hosts {
				h = other
			}
			delete(c.hosts, h.name)
			c.mu.Unlock()
			h.shutDown()
			c.addHosts(1)
		}
		wait.For(c.ctx, 3*time.Second)
	}
}

// TestRetryBudgetFaults guards against the same in random series of faults.
func TestRetryBudgetFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.IntRange(0, 4).Draw(rt, "rate")
		faults := drawHostFaults(rt)
		excess, _ := playRetries(t, rate, func(c *cluster) { c.play(faults) })
		if excess != "" {
			t.Logf("rate=%d faults=%v: %s", rate, faults, excess)
		}
		require.Empty(rt, excess)
	})
}

// drawHostFaults draws a series of faults of the hosts and the store.
func drawHostFaults(rt *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		f := drawFault(t)
		f.kind = rapid.SampledFrom([]string{
			"kill", "kill", "kill", "handover", "restartHolder", "pause", "cutPeers", "cutStore", "outage", "restore", "addHost",
		}).Draw(t, "hostFault")
		return f
	}), 1, 12).Draw(rt, "faults")
}

// play begins the faults one after the other.
func (c *cluster) play(faults []fault) {
	for _, f := range faults {
		wait.For(c.ctx, time.Duration(f.pauseMs)*time.Millisecond)
		c.begin(f)
	}
}
