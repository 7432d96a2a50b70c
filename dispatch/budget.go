package dispatch

import (
	"math"
	"sync"
	"time"

	"tamarackknot.example/tamarackknot/internal/times"
)

const (
	// budgetBuckets is the number of buckets that make up the window of a
	// RetryBudget.
	budgetBuckets = 20
	// aheadBuckets is the number of buckets after the present one, for retries that
	// may still be on their way.
	aheadBuckets = 8
	// storedBuckets covers two windows. It is one more, because the newest bucket is
	// not complete.
	storedBuckets = 2*budgetBuckets + 1 + aheadBuckets
	// transitTime is the time after its sending by which a request has reached the
	// endpoint, or its connection is closed for unacknowledged data.
	transitTime = 1500 * time.Millisecond
)

// RetryBudget bounds the retries of requests per service. For each window, the retries
// in it are at most half of Ratio times the requests in it and in the window before,
// plus an equal share of Slack. Summed over the hosts that is at most Ratio times the
// requests in one of the two windows, plus Slack. A ratio of the requests in one window
// would not add up, since hosts reach their limits in different windows.
type RetryBudget struct {
	// Ratio is the number of retries allowed per request; Slack is the number
	// that all hosts together may send beyond that within Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Clock returns the time since boot, including the time of suspension. Nil
	// means the system's clock.
	Clock func() time.Duration

	mu       sync.Mutex
	services map[string]*retryWindow
}

type retryWindow struct {
	requests [storedBuckets]int
	retries  [storedBuckets]int // by the latest time of arrival
	bucket   int64              // number of the present bucket
	unsent   int                // retries that are allowed and not sent yet
}

// Retry is a retry that counts from its permission on. Sent or Cancel must be called;
// after one of them both have no effect.
type Retry struct {
	budget *RetryBudget
	window *retryWindow
	done   bool
}

// Sent records that the retry has been sent: it counts for the window after the latest
// time at which it can reach the endpoint.
func (r *Retry) Sent() {
	r.end(func() {
		now := r.budget.now()
		at := r.budget.bucketAt(now+transitTime) + 1
		r.budget.advance(r.window, r.budget.bucketAt(now))
		r.window.retries[bucketIndex(min(at, r.window.bucket+aheadBuckets))]++
	})
}

// Cancel records that the retry is not sent, so that it does not count.
func (r *Retry) Cancel() { r.end(func() {}) }

func (r *Retry) end(record func()) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.done {
		return
	}
	r.done = true
	r.window.unsent--
	record()
}

// RecordRequest counts a request to a service.
func (b *RetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[bucketIndex(w.bucket)]++
}

// RetryDecision says whether a request may be retried, how many retries this host
// had counted within the window before, and how many it may count.
type RetryDecision struct {
	Allowed   bool
	Used      int
	Allowance float64
}

// AllowRetry decides whether a request may be retried and, if so, counts the retry and
// returns it; otherwise it returns nil. hosts is the number of hosts that share Slack;
// if it is 0, which means unknown, this host gets none of it.
func (b *RetryBudget) AllowRetry(service string, hosts int) (*Retry, RetryDecision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	share := 0.0
	if hosts > 0 {
		share = b.Slack / float64(hosts)
	}
	d := w.decide(b.Ratio, share)
	if !d.Allowed {
		return nil, d
	}
	w.unsent++
	return &Retry{budget: b, window: w}, d
}

// decide checks each window that holds the present, by the bucket in which it begins:
// the retries in the whole bucket count, and requests of a bucket that lies only partly
// within the two windows do not. Retries that may not have arrived yet count in each.
// The decision names the window with the least room.
func (w *retryWindow) decide(ratio, share float64) RetryDecision {
	retries, requests := w.unsent, 0
	for n := w.bucket + 1; n <= w.bucket+aheadBuckets; n++ {
		retries += w.retries[bucketIndex(n)]
	}
	for n := w.bucket; n > w.bucket-budgetBuckets+1; n-- {
		requests += w.requests[bucketIndex(n)]
	}
	var d RetryDecision
	room := math.Inf(1)
	for n := w.bucket; n >= w.bucket-budgetBuckets; n-- {
		retries += w.retries[bucketIndex(n)]
		requests += w.requests[bucketIndex(n-budgetBuckets+1)]
		allowance := ratio/2*float64(requests) + share
		if left := allowance - float64(retries+1); left < room {
			room, d = left, RetryDecision{Allowed: left >= 0, Used: retries, Allowance: allowance}
		}
	}
	return d
}

// bucketIndex returns the index of a bucket; its number may be negative.
func bucketIndex(n int64) int64 { return (n%storedBuckets + storedBuckets) % storedBuckets }

// window returns the counters of a service at the present. The caller holds b.mu.
func (b *RetryBudget) window(service string) *retryWindow {
	if b.services == nil {
		b.services = make(map[string]*retryWindow)
	}
	n := b.bucketAt(b.now())
	w := b.services[service]
	if w == nil {
		w = &retryWindow{bucket: n}
		b.services[service] = w
	}
	b.advance(w, n)
	return w
}

func (b *RetryBudget) now() time.Duration {
	if b.Clock == nil {
		return times.SinceBoot()
	}
	return b.Clock()
}

// bucketAt returns the number of the bucket at a time.
func (b *RetryBudget) bucketAt(t time.Duration) int64 { return int64(t / (b.Window / budgetBuckets)) }

// advance makes n the present bucket and clears those that come into use.
func (b *RetryBudget) advance(w *retryWindow, n int64) {
	w.bucket = max(w.bucket, n-storedBuckets)
	for ; w.bucket < n; w.bucket++ {
		next := bucketIndex(w.bucket + 1 + aheadBuckets)
		w.requests[next], w.retries[next] = 0, 0
	}
}
