package endpoint

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"tamarackknot.example/tamarackknot"
)

// smoothTime is the time constant of the average load by other hosts. Hosts
// that choose by the last report alone all choose the endpoint that was idle
// in it; in routing's TestPolicies that is worse than choosing at random.
const smoothTime = 10 * time.Second

// Entry is what this host knows of one endpoint. Its methods may be called
// from any goroutine; those used by routing take no lock.
type Entry struct {
	name      string
	spec      atomic.Pointer[tamarackknot.EndpointSpec]
	inFlight  atomic.Int64
	others    atomic.Int64
	smoothed  atomic.Uint64 // average of others, as float64
	signUntil atomic.Int64  // Unix time in ns
	polling   atomic.Bool
	usedAt    atomic.Int64 // Unix time in ns of the last use by routing
	wantedAt  atomic.Int64 // Unix time in ns of the last question for the report

	mu         sync.Mutex
	reported   bool
	counted    bool // there was a report or a summary
	report     tamarackknot.Report
	receivedAt time.Time
	polledAt   time.Time
	// followedAt is since when this host follows the reports.
	followedAt time.Time
	failures   int // failed polls in a row
	sign       tamarackknot.EndpointSign
	// sharedUntil is the deadline of the last sign told to the other hosts.
	sharedUntil time.Time
}

func newEntry(res *tamarackknot.Resource) *Entry {
	e := &Entry{name: res.Metadata.Name, receivedAt: time.Now()}
	e.spec.Store(res.Endpoint)
	return e
}

// Name is the name of the endpoint resource.
func (e *Entry) Name() string { return e.name }

// Rank orders endpoints; each host has an order of its own.
func (e *Entry) Rank(host string) uint64 { return rank(host, e.name) }

// Spec is the accepted configuration of the endpoint; it is never modified.
func (e *Entry) Spec() *tamarackknot.EndpointSpec { return e.spec.Load() }

// Load returns this host's requests in flight, and those of the other hosts
// according to the last report and on the average of the last reports.
func (e *Entry) Load() (own, others int64, smoothed float64) {
	return e.inFlight.Load(), e.others.Load(), math.Float64frombits(e.smoothed.Load())
}

// Available reports whether the endpoint may get new work at the time now.
func (e *Entry) Available(now time.Time) bool {
	return !e.spec.Load().Draining && e.signUntil.Load() <= now.UnixNano()
}

// TryStart counts a request in flight unless all slots are taken.
func (e *Entry) TryStart() bool {
	slots := int64(e.spec.Load().Slots)
	for {
		own := e.inFlight.Load()
		if own+e.others.Load() >= slots {
			return false
		}
		if e.inFlight.CompareAndSwap(own, own+1) {
			return true
		}
	}
}

// Done ends a request that TryStart counted.
func (e *Entry) Done() {
	if e.inFlight.Add(-1) < 0 {
		panic("endpoint: more requests ended than started on " + e.name)
	}
}

// observe stores a report made at the endpoint. The share of other hosts is
// what the report counts beyond this host's own requests. Of reports pushed by
// peers an older one is ignored; a report polled by this host is always newer,
// whatever the endpoint's clock says.
func (e *Entry) observe(r tamarackknot.Report, pushed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if pushed && e.reported && r.Time.Before(e.report.Time) {
		return
	}
	e.count(r.Running + r.Waiting)
	e.report, e.reported = r, true
	if !pushed {
		e.polledAt, e.failures = e.receivedAt, 0
	}
}

// summarise takes the number of requests at the endpoint from a poller.
func (e *Entry) summarise(requests int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count(requests)
}

// count updates the share of other hosts. The caller holds e.mu.
func (e *Entry) count(requests int) {
	others := max(0, int64(requests)-e.inFlight.Load())
	e.smooth(float64(others))
	e.others.Store(others)
	e.receivedAt, e.counted = time.Now(), true
}

// follow begins to follow the reports.
func (e *Entry) follow(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.followedAt = now
}

// late reports whether no report has come since a time.
func (e *Entry) late(since time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.receivedAt.Before(since) && e.followedAt.Before(since)
}

// touchTime stores now unless about the same time is stored: routing calls it
// for each request, and writes would invalidate the other cores' caches.
func touchTime(at *atomic.Int64, now time.Time) {
	if n := now.UnixNano(); n-at.Load() > int64(time.Second) {
		at.Store(n)
	}
}

func recent(at *atomic.Int64, now time.Time) bool {
	return now.UnixNano()-at.Load() < int64(usedTime)
}

// smooth moves the average towards a new value by the time since the last one.
func (e *Entry) smooth(others float64) {
	average := math.Float64frombits(e.smoothed.Load())
	if !e.counted {
		average = others
	}
	weight := 1 - math.Exp(-time.Since(e.receivedAt).Seconds()/smoothTime.Seconds())
	e.smoothed.Store(math.Float64bits(average + weight*(others-average)))
}

// touch records that a peer has seen the same report again.
func (e *Entry) touch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.smooth(float64(e.others.Load()))
	e.receivedAt = time.Now()
}

// mark stores a sign. It reports whether it is the first one in force, and
// whether it is the first one in force that is meant for the other hosts too.
func (e *Entry) mark(s tamarackknot.EndpointSign, shared bool) (first, firstShared bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	first = !e.sign.Until.After(now)
	if first || s.Until.After(e.sign.Until) {
		e.sign = s
		e.signUntil.Store(s.Until.UnixNano())
	}
	if shared {
		firstShared = !e.sharedUntil.After(now)
		e.sharedUntil = s.Until
	}
	return first, firstShared
}

// unmark ends a sign that was given for reason.
func (e *Entry) unmark(reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sign.Reason == reason {
		e.sign = tamarackknot.EndpointSign{}
		e.signUntil.Store(0)
	}
}
