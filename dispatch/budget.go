package dispatch

import (
	"math"
	"sync"
	"time"
)

const (
	// budgetBuckets is the number of buckets that make up the window of a
	// RetryBudget.
	budgetBuckets = 20
	// storedBuckets covers two windows. It is one more, because the newest bucket is
	// not complete.
	storedBuckets = 2*budgetBuckets + 1
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
	share := 0.0
	if hosts > 0 {
		share = b.Slack / float64(hosts)
	}
	d := w.decide(b.Ratio, share)
	if d.Allowed {
		w.retries[w.bucket%storedBuckets]++
	}
	return d
}

// decide checks each window that holds the present, by the bucket in which it begins:
// the retries in the whole bucket count, and requests of a bucket that lies only partly
// within the two windows do not. The decision names the window with the least room.
func (w *retryWindow) decide(ratio, share float64) RetryDecision {
	retries, requests := 0, 0
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
