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
	// signalRetention is how long at least the signals of an endpoint that is not listed are
	// kept: its entry may come back.
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

// signalState is what an endpoint says of itself, and this host's part of its limit.
type signalState struct {
	tamarackknot.EndpointNotice
	// pausedUntil is until when the endpoint wants no request from this host.
	pausedUntil time.Time
	// resuming is set from a pause until the endpoint serves a request again: it gets one
	// at a time.
	resuming bool
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

// refusesAll reports whether the endpoint leaves, has asked this host for a pause, or has
// one of its own requests after that; l may be nil.
func (l *signalState) refusesAll(own int, now time.Time) bool {
	return l != nil && (l.Leaving || now.Before(l.pausedUntil) || l.resuming && own > 0)
}

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

// Observe records what an answer of the endpoint says of the endpoint.
func (g *Grant) Observe(s tamarackknot.EndpointSignals) {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	g.d.observeBrittle(g.Endpoint, s, time.Now())
	k := keyOf(g.Endpoint)
	if g.d.signals[k] == nil && !s.Limit.Limited && !s.Leaving && s.PauseUntil.IsZero() {
		return
	}
	g.d.applyNotice(tamarackknot.EndpointNotice{
		Endpoint: g.Endpoint.ID, Born: g.Endpoint.Born, Limit: s.Limit, Leaving: s.Leaving, At: time.Now(),
	}, g.req.ID)
	g.pause(s.PauseUntil)
}

// ObservePause records that the endpoint wants no request from this host until a time; zero
// if it names none.
func (g *Grant) ObservePause(until time.Time) {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	g.pause(until)
}

// pause is ObservePause with d.mu held.
func (g *Grant) pause(until time.Time) {
	if until.IsZero() {
		return
	}
	l := g.d.signalsOf(keyOf(g.Endpoint))
	if until.After(l.pausedUntil) {
		l.pausedUntil, l.resuming = until, true
		g.d.cfg.Logger.Info("endpoint asks for a pause", "endpoint", g.Endpoint.ID, "request", g.req.ID, "seconds", time.Until(until).Seconds())
	}
}

// signalsOf returns what a start of an endpoint says of itself. d.mu is held.
func (d *Dispatcher) signalsOf(k startKey) *signalState {
	l := d.signals[k]
	if l == nil {
		l = &signalState{tokensAt: time.Now()}
		d.signals[k] = l
		if e := d.endpoints[k.endpoint]; e != nil && keyOf(e.entry) == k {
			e.signals = l
		}
	}
	return l
}

// applyNotice records the newest observation of an endpoint's limit, made by the answer
// to a request, or by another host if request is empty. d.mu is held.
func (d *Dispatcher) applyNotice(n tamarackknot.EndpointNotice, request string) {
	l := d.signalsOf(startKey{n.Endpoint, n.Born.UnixMilli()})
	if n.Leaving && !l.Leaving {
		d.cfg.Logger.Info("endpoint says it leaves", "endpoint", n.Endpoint, "request", request)
		l.Leaving, l.due = true, l.due || request != ""
	}
	// An endpoint that leaves does so for good.
	n.Leaving = l.Leaving
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

// pruneSignals forgets what endpoints said that have not been listed for long, but no pause
// that lasts. d.mu is held.
func (d *Dispatcher) pruneSignals(now time.Time) {
	for k, l := range d.signals {
		e := d.endpoints[k.endpoint]
		switch {
		case e != nil && keyOf(e.entry) == k:
			l.unlistedAt = time.Time{}
		case l.unlistedAt.IsZero():
			l.unlistedAt = now
		case now.Sub(l.unlistedAt) > signalRetention && !now.Before(l.pausedUntil):
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
