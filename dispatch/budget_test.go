package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot/internal/rapidtest"
)

// budgetChecks is the number of random runs in CI.
const budgetChecks = 300

func TestMain(m *testing.M) { rapidtest.Main(m, budgetChecks) }

// retryEvents are the requests and retries of several hosts.
type retryEvents struct{ requests, retries []time.Time }

func (e *retryEvents) between(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// excess returns the first window with more retries than allowed, "" if there is
// none.
func (e *retryEvents) excess(started time.Time, b *RetryBudget) string {
	for _, from := range e.retries {
		requests := 0
		for _, shift := range []time.Duration{0, -b.Window / 2, -b.Window} {
			requests = max(requests, e.between(e.requests, from.Add(shift), from.Add(shift+b.Window)))
		}
		n, allowed := e.between(e.retries, from, from.Add(b.Window)), b.Ratio*float64(requests)+b.Slack
		if float64(n) > allowed {
			return fmt.Sprintf("%d retries from %v on, for %d requests; allowed %.0f", n, from.Sub(started), requests, allowed)
		}
	}
	return ""
}

// bubbleClock is the clock of a bubble of synctest, which suspends with nothing.
func bubbleClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// send sends a retry if the budget allows it, and reports whether it does.
func send(b *RetryBudget, service string, hosts int) bool {
	retry, _ := b.AllowRetry(service, hosts)
	if retry == nil {
		return false
	}
	retry.Sent()
	return true
}

// burst is a number of requests at one host, retried later as often as possible.
type burst struct {
	host, requests int
	pause          time.Duration // before the requests
	retryAfter     time.Duration
}

// play sends the bursts through the budgets of three hosts.
func (e *retryEvents) play(bursts []burst) string {
	started := time.Now()
	hosts := make([]*RetryBudget, 3)
	for i := range hosts {
		hosts[i] = &RetryBudget{Ratio: 0.2, Slack: 6, Window: 10 * time.Second, Clock: bubbleClock}
	}
	for _, u := range bursts {
		time.Sleep(u.pause)
		for range u.requests {
			hosts[u.host].RecordRequest("s")
			e.requests = append(e.requests, time.Now())
		}
		time.Sleep(u.retryAfter)
		for send(hosts[u.host], "s", len(hosts)) {
			e.retries = append(e.retries, time.Now())
		}
	}
	return e.excess(started, hosts[0])
}

// TestRetryBudgetMovingTraffic guards against hosts that count their requests in
// different windows, so that their retries together exceed the share of the requests
// in any one.
func TestRetryBudgetMovingTraffic(t *testing.T) {
	cases := map[string][]burst{
		"the traffic moves to another host": {{0, 200, 0, 9900 * time.Millisecond}, {1, 200, 9 * time.Second, 800 * time.Millisecond}},
		"two bursts at one host":            {{0, 200, 0, time.Second}, {0, 0, 3 * time.Second, 0}, {0, 200, 4400 * time.Millisecond, 0}},
		"a burst and silence":               {{0, 200, 0, 9 * time.Second}, {1, 0, 5 * time.Second, 0}, {2, 30, 4 * time.Second, 0}},
	}
	for name, bursts := range cases {
		t.Run(name, func(t *testing.T) {
			var excess string
			synctest.Test(t, func(*testing.T) { excess = new(retryEvents).play(bursts) })
			require.Empty(t, excess)
		})
	}
}

// TestRetryBudgetBursts guards against the same for random bursts.
func TestRetryBudgetBursts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bursts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) burst {
			return burst{
				host: rapid.IntRange(0, 2).Draw(t, "host"), requests: rapid.IntRange(0, 200).Draw(t, "requests"),
				pause:      time.Duration(rapid.IntRange(0, 6000).Draw(t, "pauseMs")) * time.Millisecond,
				retryAfter: time.Duration(rapid.IntRange(0, 9000).Draw(t, "retryAfterMs")) * time.Millisecond,
			}
		}), 1, 20).Draw(rt, "bursts")
		var excess string
		synctest.Test(t, func(*testing.T) { excess = new(retryEvents).play(bursts) })
		require.Empty(rt, excess)
	})
}

// TestRetryBudgetSteadyTraffic guards against a budget that grants less than the ratio
// to traffic that does not change.
func TestRetryBudgetSteadyTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Clock: bubbleClock}
		started, requests, retries := time.Now(), 0, 0
		for range 800 {
			time.Sleep(100 * time.Millisecond)
			b.RecordRequest("s")
			allowed := send(b, "s", 0)
			if time.Since(started) <= 2*b.Window {
				continue
			}
			requests++
			if allowed {
				retries++
			}
		}
		require.Greater(t, retries, requests*15/100)
	})
}

// TestRetryBudgetSuspendedHost guards against a host that wakes from a suspension and
// retries by its requests of before, which no longer count.
func TestRetryBudgetSuspendedHost(t *testing.T) {
	now := time.Hour
	b := &RetryBudget{Ratio: 0.2, Slack: 8, Window: 10 * time.Second, Clock: func() time.Duration { return now }}
	for range 200 {
		b.RecordRequest("s")
	}
	now += 3 * b.Window // the suspension, in which the monotonic clock stands still
	n := 0
	for send(b, "s", 4) {
		n++
	}
	require.Equal(t, 2, n, "only the share of the slack is left")
}
