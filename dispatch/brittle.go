package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// brittleMemory is how long after the last answer that says so the endpoints of a
	// service count as brittle although others do not say so, and brittleTimeout how long
	// if none answers this host or another one.
	brittleMemory  = 2 * time.Second
	brittleTimeout = time.Minute
)

// brittleness is what endpoints of a service last said of their being brittle.
type brittleness struct {
	tamarackknot.BrittleService
	due bool // to be reported
}

// isBrittle reports whether the endpoints of a service are brittle. d.mu is held.
func (d *Dispatcher) isBrittle(service string, now time.Time) bool {
	b := d.brittle[service]
	return b != nil && b.Brittle && now.Sub(b.At) <= brittleTimeout
}

// observeBrittle records whether an answer of an endpoint says that it is brittle. d.mu is
// held.
func (d *Dispatcher) observeBrittle(e tamarackknot.EndpointEntry, s tamarackknot.EndpointSignals, now time.Time) {
	before := d.isBrittle(e.Service, now)
	if !s.Brittle && (!before || now.Sub(d.brittle[e.Service].At) <= brittleMemory) {
		return
	}
	d.mergeBrittle(tamarackknot.BrittleService{Service: e.Service, Brittle: s.Brittle, MaxDeclines: s.MaxDeclines, At: now})
	d.brittle[e.Service].due = true
	if before != s.Brittle {
		d.cfg.Logger.Info("endpoints brittle", "service", e.Service, "endpoint", e.ID, "brittle", s.Brittle, "maxDeclines", s.MaxDeclines)
	}
}

// mergeBrittle records an observation of this host or of another one. d.mu is held.
func (d *Dispatcher) mergeBrittle(s tamarackknot.BrittleService) {
	b := d.brittle[s.Service]
	if b == nil {
		b = &brittleness{}
		d.brittle[s.Service] = b
	}
	if s.At.After(b.At) || s.At.Equal(b.At) && s.Brittle {
		b.BrittleService = s
	}
}

// Brittle returns the newest observation whether the endpoints of a service are brittle; ok
// is false if there is none.
func (d *Dispatcher) Brittle(service string) (b tamarackknot.BrittleService, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.brittle[service]
	if known == nil {
		return tamarackknot.BrittleService{}, false
	}
	return known.BrittleService, true
}

// MergeBrittle records an observation of another host.
func (d *Dispatcher) MergeBrittle(s tamarackknot.BrittleService) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mergeBrittle(s)
}

// reportBrittle returns what answers to this host have said since the last report. d.mu is
// held.
func (d *Dispatcher) reportBrittle() []tamarackknot.BrittleService {
	var out []tamarackknot.BrittleService
	for _, b := range d.brittle {
		if b.due {
			out = append(out, b.BrittleService)
			b.due = false
		}
	}
	return out
}

// maxOwnRequests returns the number of requests that this host may have in flight at each
// endpoint of a service. The hosts divide the slots of brittle endpoints, because each
// learns of the others' requests too late to keep them from having to decline some. An
// endpoint that has not answered this host yet is taken for as brittle as the others of
// its service. d.mu is held.
func (d *Dispatcher) maxOwnRequests(service string, now time.Time) func(*endpoint) int {
	if !d.isBrittle(service, now) {
		return func(*endpoint) int { return math.MaxInt }
	}
	return func(e *endpoint) int {
		own, _ := d.places(e)
		if e.probing {
			return min(own, 1)
		}
		return own
	}
}

// places returns this host's part of the slots of a brittle endpoint, and the hosts that
// have the rest. While they are not known, each host is taken for one that has a part. d.mu
// is held.
func (d *Dispatcher) places(e *endpoint) (own int, others []string) {
	if d.cfg.Places != nil {
		own, others = d.cfg.Places(e.entry.ID, e.slots)
	}
	if own == 0 && len(others) == 0 {
		own = max(e.slots/d.hostCount(), 1)
	}
	return own, others
}

// elsewhere returns a refusal if the endpoints that could run a request are brittle and
// other hosts have all of their places. d.mu is held.
func (d *Dispatcher) elsewhere(req *Request, now time.Time) *Refusal {
	if d.cfg.Places == nil || !d.isBrittle(req.Service, now) {
		return nil
	}
	var hosts []string
	for _, e := range d.candidates(req.Service, req.Model) {
		if !e.serves(req, now) {
			continue
		}
		own, others := d.places(e)
		if own > 0 {
			return nil
		}
		hosts = append(hosts, others...)
	}
	if len(hosts) == 0 {
		return nil
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return &Refusal{Reason: "only other hosts may send to the brittle endpoints", RetryAt: now.Add(fullRetryDelay), Hosts: hosts}
}

// declinePause is how long at least an endpoint gets no request after it declined one; then
// it gets one at a time until it takes one. All hosts together then cause a brittle one to
// decline at most as many a second as it bears. d.mu is held.
func (d *Dispatcher) declinePause(e *endpoint, now time.Time) time.Duration {
	if !d.isBrittle(e.entry.Service, now) {
		return 0
	}
	hosts := d.hostCount()
	if own, others := d.places(e); len(others) > 0 {
		hosts = len(slices.Compact(slices.Clone(others)))
		if own > 0 {
			hosts++
		}
	}
	return time.Duration(float64(hosts) / float64(max(d.brittle[e.entry.Service].MaxDeclines, 1)) * float64(time.Second))
}
