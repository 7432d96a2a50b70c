package dispatch

import (
	"sync"
	"time"
)

const (
	// budgetBuckets is how many parts the window of a Budget has.
	budgetBuckets = 10
	// keptBuckets has one more: the newest part is not over, so that
	// budgetBuckets of them cover less than the window.
	keptBuckets = budgetBuckets + 1
)

// Budget bounds how often requests are sent once more, per service. Each host
// takes its share of what all hosts may send together.
type Budget struct {
	// Ratio is how many repeats each request allows, Slack how many all hosts
	// may send beyond that within Window.
	Ratio  float64
	Slack  float64
	Window time.Duration

	mu       sync.Mutex
	started  time.Time // of the first request; buckets count from it
	services map[string]*budgetWindow
}

type budgetWindow struct {
	requests [keptBuckets]int
	repeats  [keptBuckets]int
	bucket   int64 // number of the newest bucket
}

// Request counts a request of a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.bucket%keptBuckets]++
}

// Repeat reports whether a request may be sent once more, and counts it. hosts
// is the number of hosts that share the slack; 0 means that it is not known.
func (b *Budget) Repeat(service string, hosts int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	requests, repeats := 0, 0
	for i := range w.repeats {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	// Requests count for less than the window, repeats for more.
	requests -= w.requests[(w.bucket+1)%keptBuckets]
	allowed := b.Ratio * float64(requests)
	if hosts > 0 {
		allowed += b.Slack / float64(hosts)
	}
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.bucket%keptBuckets]++
	return true
}

func (b *Budget) window(service string, now time.Time) *budgetWindow {
	if b.services == nil {
		b.services = make(map[string]*budgetWindow)
		b.started = now
	}
	// Both times carry the steady clock, which no step of the time of day moves.
	n := int64(now.Sub(b.started) / (b.Window / budgetBuckets))
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{bucket: n}
		b.services[service] = w
	}
	for ; w.bucket < n; w.bucket++ {
		if n-w.bucket > keptBuckets {
			w.bucket = n - keptBuckets
		}
		next := (w.bucket + 1) % keptBuckets
		w.requests[next], w.repeats[next] = 0, 0
	}
	return w
}
