package endpoint

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tamarackknot.example/tamarackknot"
)

// smoothTime is the time constant of the average load by other hosts. Hosts
// that choose by the last report alone all choose the endpoint that was idle
// in it; in routing's TestPolicies that is worse than choosing at random.
const smoothTime = 10 * time.Second

const (
	// minFullTime is how long an endpoint counts as full after a first decline.
	// It doubles with each further one up to maxFullTime, so that a host sends
	// at most 5 requests a second to an endpoint that stays full.
	minFullTime = 10 * time.Millisecond
	maxFullTime = 400 * time.Millisecond
	// noLimit is the limit of an endpoint that has declined nothing.
	noLimit = math.MaxInt64
)

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
	// limit is the number of this host's requests that the endpoint held when
	// it last declined one. One request beyond it is sent as a probe when
	// fullUntil has passed.
	limit     atomic.Int64
	fullUntil atomic.Int64 // Unix time in ns

	mu         sync.Mutex
	reported   bool
	counted    bool // there was a report or a summary
	report     tamarackknot.Report
	receivedAt time.Time
	polledAt   time.Time
	// followedAt is since when this host follows the reports.
	followedAt time.Time
	failures   int // failed polls in a row
	fullTime   time.Duration
	probing    bool // since fullUntil was last set
	sign       tamarackknot.EndpointSign
	// sharedUntil is the deadline of the last sign told to the other hosts.
	sharedUntil time.Time
}

func newEntry(res *tamarackknot.Resource) *Entry {
	e := &Entry{name: res.Metadata.Name, receivedAt: time.Now()}
	e.spec.Store(res.Endpoint)
	e.limit.Store(noLimit)
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

// Free reports whether TryStart would succeed.
func (e *Entry) Free(now time.Time) bool {
	own := e.inFlight.Load()
	return own+e.others.Load() < int64(e.spec.Load().Slots) &&
		(own < e.limit.Load() || e.fullUntil.Load() <= now.UnixNano())
}

// TryStart counts a request in flight unless all slots are taken or the
// endpoint counts as full.
func (e *Entry) TryStart(now time.Time) bool {
	for {
		own := e.inFlight.Load()
		if !e.Free(now) || (own >= e.limit.Load() && !e.probe(own, now)) {
			return false
		}
		if e.inFlight.CompareAndSwap(own, own+1) {
			return true
		}
	}
}

// probe raises the limit by one request and ends the chance of others to do so
// for a while.
func (e *Entry) probe(own int64, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fullUntil.Load() > now.UnixNano() {
		return false
	}
	e.limit.Store(own + 1)
	e.probing = true
	e.setFull(now)
	return true
}

// setFull begins a period in which the endpoint counts as full. The jitter
// keeps hosts from returning together.
func (e *Entry) setFull(now time.Time) {
	until := now.Add(e.fullTime/2 + rand.N(e.fullTime/2+1))
	e.fullUntil.Store(until.UnixNano())
}

// Share is the number of slots that this host may expect to get.
func (e *Entry) Share() int64 {
	return min(int64(e.spec.Load().Slots), max(1, e.limit.Load()))
}

// Declined ends a request that TryStart counted and that the endpoint had no
// slot for. It returns when the next probe may be sent.
func (e *Entry) Declined(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	own := e.inFlight.Add(-1)
	if own < 0 {
		panic("endpoint: more requests ended than started on " + e.name)
	}
	e.limit.Store(min(e.limit.Load(), own))
	// Requests that were sent before the first decline are declined with it.
	if e.probing || e.fullUntil.Load() <= now.UnixNano() {
		e.probing = false
		e.fullTime = min(max(2*e.fullTime, minFullTime), maxFullTime)
		e.setFull(now)
	}
	return time.Unix(0, e.fullUntil.Load())
}

// Done ends a request that TryStart counted.
func (e *Entry) Done() {
	if e.inFlight.Add(-1) < 0 {
		panic("endpoint: more requests ended than started on " + e.name)
	}
	if e.limit.Load() == noLimit {
		return
	}
	// The freed slot is below the limit and may be taken at once.
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fullTime /= 2
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

// count updates the share of other hosts and, if slots are free, the limit of
// own requests. The caller holds e.mu.
func (e *Entry) count(requests int) {
	own := e.inFlight.Load()
	others := max(0, int64(requests)-own)
	if free := int64(e.spec.Load().Slots) - int64(requests); free > 0 && e.limit.Load() != noLimit {
		e.limit.Store(max(e.limit.Load(), own+free))
	}
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
