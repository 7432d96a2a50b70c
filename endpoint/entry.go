package endpoint

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tamarackknot.example/tamarackknot"
)

// loadTimeConstant is the time constant of the moving average of other hosts'
// load. Without an average all hosts choose the endpoint that was idle in the
// last report; in routing's TestPolicies that is worse than a random choice.
const loadTimeConstant = 10 * time.Second

const (
	// minFullBackoff is how long an endpoint counts as full after a first
	// decline, before jitter. It doubles with each further one up to
	// maxFullBackoff, so that a host sends at most 5 requests a second to an
	// endpoint that stays full.
	minFullBackoff = 10 * time.Millisecond
	maxFullBackoff = 400 * time.Millisecond
	// noLimit is the limit of an endpoint that has declined no request.
	noLimit = math.MaxInt64
)

// Entry is this host's state of one endpoint: its load, its newest report and
// whether routing may use it. It is safe for concurrent use; the methods that
// routing calls for each candidate take no lock.
type Entry struct {
	name              string
	spec              atomic.Pointer[tamarackknot.EndpointSpec]
	inFlight          atomic.Int64
	others            atomic.Int64
	smoothed          atomic.Uint64 // moving average of others, as float64 bits
	signUntil         atomic.Int64  // Unix time in ns
	polling           atomic.Bool
	usedAt            atomic.Int64 // Unix time in ns of the last use by routing
	reportRequestedAt atomic.Int64 // Unix time in ns of the last call of Table.Report
	// limit is the number of this host's requests in flight at the endpoint when
	// it last declined one. After fullUntil one request beyond the limit is sent
	// as a probe.
	limit     atomic.Int64
	fullUntil atomic.Int64 // Unix time in ns

	mu         sync.Mutex
	hasReport  bool
	hasLoad    bool // a report or a summary was received
	report     tamarackknot.Report
	receivedAt time.Time
	polledAt   time.Time
	// followedAt is when this host began to follow the reports.
	followedAt  time.Time
	failures    int // failed polls in a row
	fullBackoff time.Duration
	probing     bool // a probe, not a decline, started the current period
	sign        tamarackknot.EndpointSign
	// publishedUntil is the deadline of the last sign for the other hosts.
	publishedUntil time.Time
}

func newEntry(res *tamarackknot.Resource) *Entry {
	e := &Entry{name: res.Metadata.Name, receivedAt: time.Now()}
	e.spec.Store(res.Endpoint)
	e.limit.Store(noLimit)
	return e
}

// Name returns the name of the endpoint resource.
func (e *Entry) Name() string { return e.name }

// Rank returns the position of the endpoint in a host's own pseudo-random order.
func (e *Entry) Rank(host string) uint64 { return rank(host, e.name) }

// Spec returns the accepted configuration of the endpoint, which must not be
// modified.
func (e *Entry) Spec() *tamarackknot.EndpointSpec { return e.spec.Load() }

// Load returns this host's requests in flight, those of the other hosts
// according to the last report, and the moving average of the latter.
func (e *Entry) Load() (own, others int64, smoothed float64) {
	return e.inFlight.Load(), e.others.Load(), math.Float64frombits(e.smoothed.Load())
}

// Available reports whether the endpoint may get new requests: it is not
// draining and has no sign in force.
func (e *Entry) Available(now time.Time) bool {
	return !e.spec.Load().Draining && e.signUntil.Load() <= now.UnixNano()
}

// CanStart reports whether TryStart would succeed.
func (e *Entry) CanStart(now time.Time) bool {
	own := e.inFlight.Load()
	return own+e.others.Load() < int64(e.spec.Load().Slots) &&
		(own < e.limit.Load() || e.fullUntil.Load() <= now.UnixNano())
}

// TryStart counts a request in flight and returns true, unless all slots are
// taken or the endpoint counts as full.
func (e *Entry) TryStart(now time.Time) bool {
	for {
		own := e.inFlight.Load()
		if !e.CanStart(now) || (own >= e.limit.Load() && !e.probe(own, now)) {
			return false
		}
		if e.inFlight.CompareAndSwap(own, own+1) {
			return true
		}
	}
}

// probe raises the limit to allow one more request, and starts a new period in
// which no other probe is sent.
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

// setFull starts a period in which the endpoint counts as full. The jitter
// keeps hosts from probing at the same time.
func (e *Entry) setFull(now time.Time) {
	until := now.Add(e.fullBackoff/2 + rand.N(e.fullBackoff/2+1))
	e.fullUntil.Store(until.UnixNano())
}

// Share returns the number of slots that this host can expect to get: all of
// them, or its limit if the endpoint declined a request.
func (e *Entry) Share() int64 {
	return min(int64(e.spec.Load().Slots), max(1, e.limit.Load()))
}

// Declined ends a request that TryStart counted and for which the endpoint had
// no slot. It returns the time from which the next probe may be sent.
func (e *Entry) Declined(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	own := e.inFlight.Add(-1)
	if own < 0 {
		panic("endpoint: more requests ended than started on " + e.name)
	}
	e.limit.Store(min(e.limit.Load(), own))
	// The backoff grows once per period: requests sent before its first decline
	// are often declined too.
	if e.probing || e.fullUntil.Load() <= now.UnixNano() {
		e.probing = false
		e.fullBackoff = min(max(2*e.fullBackoff, minFullBackoff), maxFullBackoff)
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
	// The freed slot is below the limit and can be used at once.
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fullBackoff /= 2
}

// observe stores a report of the endpoint. The requests that it counts beyond
// this host's own belong to other hosts. Reports pushed by peers are ignored if
// their time is older; a report polled by this host always counts as newer, as
// the endpoint's clock may have been set back.
func (e *Entry) observe(r tamarackknot.Report, pushed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if pushed && e.hasReport && r.Time.Before(e.report.Time) {
		return
	}
	e.updateLoad(r.Running + r.Waiting)
	e.report, e.hasReport = r, true
	if !pushed {
		e.polledAt, e.failures = e.receivedAt, 0
	}
}

// observeSummary stores the number of requests at the endpoint according to a
// poller.
func (e *Entry) observeSummary(requests int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateLoad(requests)
}

// updateLoad updates the load by other hosts and, if slots are free, raises the
// limit of own requests. The caller holds e.mu.
func (e *Entry) updateLoad(requests int) {
	own := e.inFlight.Load()
	others := max(0, int64(requests)-own)
	if free := int64(e.spec.Load().Slots) - int64(requests); free > 0 && e.limit.Load() != noLimit {
		e.limit.Store(max(e.limit.Load(), own+free))
	}
	e.updateAverage(float64(others))
	e.others.Store(others)
	e.receivedAt, e.hasLoad = time.Now(), true
}

// follow records that this host begins to follow the reports.
func (e *Entry) follow(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.followedAt = now
}

// stale reports whether the endpoint has been followed since before a time and
// no report was received after it.
func (e *Entry) stale(since time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.receivedAt.Before(since) && e.followedAt.Before(since)
}

// storeCoarse stores now if the stored time is more than a second older.
// Routing calls it for each request, and a write invalidates the cache line of
// the other cores.
func storeCoarse(at *atomic.Int64, now time.Time) {
	if n := now.UnixNano(); n-at.Load() > int64(time.Second) {
		at.Store(n)
	}
}

// usedRecently reports whether at is less than useTTL ago.
func usedRecently(at *atomic.Int64, now time.Time) bool {
	return now.UnixNano()-at.Load() < int64(useTTL)
}

// updateAverage updates the moving average with a new value, weighted by the
// time since the last one.
func (e *Entry) updateAverage(others float64) {
	average := math.Float64frombits(e.smoothed.Load())
	if !e.hasLoad {
		average = others
	}
	weight := 1 - math.Exp(-time.Since(e.receivedAt).Seconds()/loadTimeConstant.Seconds())
	e.smoothed.Store(math.Float64bits(average + weight*(others-average)))
}

// confirmUnchanged records that a poller's batch left the report unchanged.
func (e *Entry) confirmUnchanged() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateAverage(float64(e.others.Load()))
	e.receivedAt = time.Now()
}

// setSign stores a sign unless a later one is in force. It reports whether no
// sign was in force, and whether publish is set and no published one was.
func (e *Entry) setSign(s tamarackknot.EndpointSign, publish bool) (first, firstPublished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	first = !e.sign.Until.After(now)
	if first || s.Until.After(e.sign.Until) {
		e.sign = s
		e.signUntil.Store(s.Until.UnixNano())
	}
	if publish {
		firstPublished = !e.publishedUntil.After(now)
		e.publishedUntil = s.Until
	}
	return first, firstPublished
}

// clearSign removes the sign if it has the given reason.
func (e *Entry) clearSign(reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sign.Reason == reason {
		e.sign = tamarackknot.EndpointSign{}
		e.signUntil.Store(0)
	}
}
