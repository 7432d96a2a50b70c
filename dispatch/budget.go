package dispatch

import (
	"sync"
	"time"
)

const (
	// budgetBuckets is the number of buckets that make up the window of a
	// RetryBudget.
	budgetBuckets = 10
	// storedBuckets is one more, because the newest bucket is not complete:
	// budgetBuckets buckets including it cover less than the window.
	storedBuckets = budgetBuckets + 1
)

// RetryBudget bounds the retries of requests per service within a sliding window.
// Each host applies Ratio to its own requests and gets an equal share of Slack, so
// that all hosts together keep to the limit.
type RetryBudget struct {
	// Ratio is the number of retries allowed per request; Slack is the number
	// that all hosts together may send beyond that within Window.
	Ratio  float64
	Slack  float64
	Window time.Duration

	mu       sync.Mutex
	started  time.Time // time of the first request; buckets are numbered from it
	services map[string]*retryWindow
}

type retryWindow struct {
	requests [storedBuckets]int
	retries  [storedBuckets]int
	bucket   int64 // number of the newest bucket
}

// RecordRequest counts a request to a service.
func (b *RetryBudget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.bucket%storedBuckets]++
}

// RetryDecision says whether a request may be retried, how many retries this host
// had counted within the window before, and how many it may count.
type RetryDecision struct {
	Allowed   bool
	Used      int
	Allowance float64
}

// AllowRetry decides whether a request may be retried and, if so, counts the retry.
// hosts is the number of hosts that share Slack; if it is 0, which means unknown,
// this host gets none of it.
func (b *RetryBudget) AllowRetry(service string, hosts int, now time.Time) RetryDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	requests, retries := 0, 0
	for i := range w.retries {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	// The oldest bucket is only partly within the window. Its retries count, its
	// requests do not, so that the limit holds in every window.
	requests -= w.requests[(w.bucket+1)%storedBuckets]
	allowed := b.Ratio * float64(requests)
	if hosts > 0 {
		allowed += b.Slack / float64(hosts)
	}
	d := RetryDecision{Allowed: float64(retries+1) <= allowed, Used: retries, Allowance: allowed}
	if d.Allowed {
		w.retries[w.bucket%storedBuckets]++
	}
	return d
}

// window returns the counters of a service, with buckets up to now; those that
// fell out of the window are cleared. The caller holds b.mu.
func (b *RetryBudget) window(service string, now time.Time) *retryWindow {
	if b.services == nil {
		b.services = make(map[string]*retryWindow)
		b.started = now
	}
	// Sub uses the monotonic clock, so that changes of the wall clock have no
	// effect.
	n := int64(now.Sub(b.started) / (b.Window / budgetBuckets))
	w := b.services[service]
	if w == nil {
		w = &retryWindow{bucket: n}
		b.services[service] = w
	}
	for ; w.bucket < n; w.bucket++ {
		if n-w.bucket > storedBuckets {
			w.bucket = n - storedBuckets
		}
		next := (w.bucket + 1) % storedBuckets
		w.requests[next], w.retries[next] = 0, 0
	}
	return w
}
