package dispatch

import (
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// limitedPenalty, a fraction of the slots, is for an endpoint that names a limit, so
	// that its few requests are those that no other endpoint takes. It is a bonus for
	// the first one in limitProbeInterval, whose answer says whether the limit still
	// holds.
	limitedPenalty     = 1.0
	limitProbeInterval = 2 * time.Second
	// signalRetention is how long the limit of an endpoint that is not listed is kept:
	// its entry may come back.
	signalRetention = time.Minute
	// noticeInterval is how long after the last report an unchanged limit is
	// reported again, so that the planner knows that it lasts.
	noticeInterval = time.Minute
)

// startKey identifies one start of an endpoint.
type startKey struct {
	endpoint string
	born     int64 // Unix ms
}

// signalState is what is known of an endpoint's limit, and this host's part of it.
type signalState struct {
	tamarackknot.EndpointNotice
	// tokens is the number of requests that this host may send, at tokensAt. It never
	// exceeds 1, and a host that learns of the limit begins with none.
	tokens     float64
	tokensAt   time.Time
	sentAt     time.Time // when this host last sent a request under the limit
	due        bool      // to be reported
	reportedAt time.Time
	unlistedAt time.Time // since when the endpoint has not been listed; zero if it is
}

func keyOf(e tamarackknot.EndpointEntry) startKey { return startKey{e.ID, e.Born.UnixMilli()} }

// applies reports whether the endpoint names a limit; l may be nil.
func (l *signalState) applies() bool { return l != nil && l.Limit.Limited }

// allows reports whether this host, whose part of the limit is perSecond, may send a
// request. A host that loses its part also loses what it has saved.
func (l *signalState) allows(perSecond float64, now time.Time) bool {
	l.tokens = min(1, l.tokens+perSecond*now.Sub(l.tokensAt).Seconds())
	l.tokensAt = now
	if perSecond <= 0 {
		l.tokens = 0
	}
	return l.tokens >= 1
}

// penalty returns what the limit adds to the endpoint's score.
func (l *signalState) penalty(now time.Time) float64 {
	switch {
	case !l.applies():
		return 0
	case now.Sub(l.sentAt) > limitProbeInterval:
		return -limitedPenalty
	default:
		return limitedPenalty
	}
}

// spend counts a request to the endpoint.
func (l *signalState) spend(now time.Time) {
	if l.applies() {
		l.tokens--
		l.sentAt = now
	}
}

// limitAllows reports whether this host may send a request to the endpoint under the
// limit that the endpoint named. d.mu is held.
func (d *Dispatcher) limitAllows(e *endpoint, now time.Time) bool {
	if !e.signals.applies() {
		return true
	}
	perSecond := e.signals.Limit.PerSecond
	if d.cfg.LimitShare != nil {
		perSecond = d.cfg.LimitShare(e.entry.ID, perSecond)
	}
	return e.signals.allows(perSecond, now)
}

// ObserveLimit records the limit that an answer of the endpoint names, or that it names
// none.
func (g *Grant) ObserveLimit(limit tamarackknot.RateLimit) {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	if l := g.d.signals[keyOf(g.Endpoint)]; l == nil && !limit.Limited {
		return
	}
	g.d.applyNotice(tamarackknot.EndpointNotice{Endpoint: g.Endpoint.ID, Born: g.Endpoint.Born, Limit: limit, At: time.Now()}, g.req.ID)
}

// applyNotice records the newest observation of an endpoint's limit, made by the answer
// to a request, or by another host if request is empty. d.mu is held.
func (d *Dispatcher) applyNotice(n tamarackknot.EndpointNotice, request string) {
	k := startKey{n.Endpoint, n.Born.UnixMilli()}
	l := d.signals[k]
	if l == nil {
		l = &signalState{tokensAt: time.Now()}
		d.signals[k] = l
		if e := d.endpoints[n.Endpoint]; e != nil && keyOf(e.entry) == k {
			e.signals = l
		}
	}
	if n.At.Before(l.At) {
		// The planner has an older observation than this host.
		l.due = l.due || n.Limit != l.Limit
		return
	}
	if n.Limit != l.Limit {
		d.cfg.Logger.Info("endpoint limit changed", "endpoint", n.Endpoint, "limited", n.Limit.Limited, "perSecond", n.Limit.PerSecond,
			"request", request)
		if !l.Limit.Limited {
			l.tokens, l.tokensAt = 0, time.Now()
		}
	}
	if request != "" && (n.Limit != l.Limit || n.At.Sub(l.reportedAt) > noticeInterval) {
		l.due = true
	}
	l.EndpointNotice = n
}

// pruneSignals forgets the limits of endpoints that have not been listed for long. d.mu
// is held.
func (d *Dispatcher) pruneSignals(now time.Time) {
	for k, l := range d.signals {
		e := d.endpoints[k.endpoint]
		switch {
		case e != nil && keyOf(e.entry) == k:
			l.unlistedAt = time.Time{}
		case l.unlistedAt.IsZero():
			l.unlistedAt = now
		case now.Sub(l.unlistedAt) > signalRetention:
			delete(d.signals, k)
		}
	}
}

// reportNotices returns the limits that are to be reported, all known ones with all. d.mu
// is held.
func (d *Dispatcher) reportNotices(all bool) []tamarackknot.EndpointNotice {
	var out []tamarackknot.EndpointNotice
	for _, l := range d.signals {
		if all || l.due {
			out = append(out, l.EndpointNotice)
			l.due, l.reportedAt = false, time.Now()
		}
	}
	return out
}
