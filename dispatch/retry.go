package dispatch

import (
	"math/rand/v2"
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
)

const (
	// returnDivisor is the part of the time it has left for which a caller honours Retry-After.
	returnDivisor = 3
	// returnMargin is subtracted from that time, which the caller counts from when the refusal
	// reaches it.
	returnMargin = 50 * time.Millisecond
	// returnSpread is the time over which the callers that are told to return at a moment are
	// spread, since each host knows only its own.
	returnSpread = 200 * time.Millisecond
	// returnShare is the share of a target's slots that is promised to returning callers. The
	// rest serves new requests, of which as many come meanwhile as before.
	returnShare = 0.5
	// unknownReturnSpacing is the time between two returns to a target while it is not known
	// how long its requests take.
	unknownReturnSpacing = 20 * time.Millisecond
	// maxReturns limits the callers whose return is expected, and the demand that is reported
	// for them: at the largest deployments a host refuses fewer in the time that callers wait.
	maxReturns = 4096
)

// returnID is what a caller is recognised by when it comes back.
type returnID struct {
	target
	content tamarackknot.ContentID
	part    string
}

// expectedReturn is the return of a refused caller, from a time until its deadline.
type expectedReturn struct{ from, until time.Time }

// returnIDOf returns by what the caller of a request is recognised; ok is false if it can't be.
func returnIDOf(req *Request) (id returnID, ok bool) {
	id = returnID{target: target{req.Service, req.Model}, content: req.Content}
	if n := len(req.PromptParts); id.content == (tamarackknot.ContentID{}) && n > 0 {
		id.part = req.PromptParts[n-1]
	}
	return id, id.content != (tamarackknot.ContentID{}) || id.part != ""
}

// fixedReturns reports whether the caller of a request is told a fixed time to come back: it is
// not known how long it waits, or the settings don't ask for more.
func (d *Dispatcher) fixedReturns(req *Request) bool {
	return d.cfg.FixedReturns || req.AnsweredBy.IsZero()
}

// retryAt returns when the caller of a request that is refused should come back, given when
// there is room for it, or zero if it can't come back in time. Callers come back at most once,
// within a third of the time that they have left, and wait at the host if they come before. A
// time is promised to so many callers only as a share of the slots can serve after it. d.mu is
// held.
func (d *Dispatcher) retryAt(req *Request, room, now time.Time) time.Time {
	if d.fixedReturns(req) || room.IsZero() {
		return room // it is not known how long the caller waits
	}
	latest := req.latestReturn(now)
	if !latest.After(now) || req.AnsweredBy.Sub(room) < minServiceTime {
		return time.Time{}
	}
	if room.After(latest) {
		patience := req.Deadline.Sub(req.Arrived)
		if room.Add(minServiceTime).After(latest.Add(patience)) {
			return time.Time{}
		}
		return latest
	}
	t := target{req.Service, req.Model}
	at := times.Later(room, d.booked[t])
	if at.After(latest) {
		return time.Time{}
	}
	if len(d.booked) < maxReturns || !d.booked[t].IsZero() {
		d.booked[t] = at.Add(d.returnSpacing(req, now))
	}
	at = at.Add(rand.N(returnSpread))
	if at.After(latest) {
		return latest
	}
	return at
}

// latestReturn returns until when the caller comes back if it is told to.
func (r *Request) latestReturn(now time.Time) time.Time {
	return now.Add(r.AnsweredBy.Sub(now)/returnDivisor - returnMargin)
}

// canReturnAt reports whether the caller comes back at a time if it is told so.
func (r *Request) canReturnAt(at, now time.Time) bool {
	return r.AnsweredBy.IsZero() || !at.After(r.latestReturn(now))
}

// RetryAt returns when the caller of a request that endpoints have declined should come back,
// not before a time, and expects it; zero if it can't.
func (d *Dispatcher) RetryAt(req *Request, earliest time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	r := &Refusal{Reason: "endpoints declined the request", RetryAt: d.retryAt(req, earliest, now)}
	d.expectReturn(req, r)
	d.logRefusal(req, r, now)
	return r.RetryAt
}

// returnSpacing returns the time between two returns that the promised share of the slots
// serves. d.mu is held.
func (d *Dispatcher) returnSpacing(req *Request, now time.Time) time.Duration {
	took, known := d.slotTimes[target{req.Service, req.Model}]
	slots := d.ownSlots(req, now)
	if !known || slots == 0 {
		return unknownReturnSpacing
	}
	return time.Duration(float64(took) / (slots * returnShare))
}

// expectReturn records that a refused caller was told when to come back. d.mu is held.
func (d *Dispatcher) expectReturn(req *Request, r *Refusal) {
	id, ok := returnIDOf(req)
	if !ok || r.RetryAt.IsZero() || d.fixedReturns(req) || len(d.returns) >= maxReturns {
		return
	}
	d.returns[id] = expectedReturn{r.RetryAt.Add(-returnMargin), req.AnsweredBy}
}

// logRefusal writes what a refusal is based on, with the age of the forecast. d.mu is held.
func (d *Dispatcher) logRefusal(req *Request, r *Refusal, now time.Time) {
	after, forecastAge := int64(-1), int64(-1)
	if !r.RetryAt.IsZero() {
		after = r.RetryAt.Sub(now).Milliseconds()
	}
	if !req.foreseenAt.IsZero() {
		forecastAge = now.Sub(req.foreseenAt).Milliseconds()
	}
	d.cfg.Logger.Debug("refused", "request", req.ID, "reason", r.Reason, "retryAfterMs", after, "returned", req.returned, "workspace", req.Workspace, "band", req.band,
		"leftMs", req.AnsweredBy.Sub(now).Milliseconds(), "forecastAgeMs", forecastAge, "waiting", len(d.waiting), "returns", len(d.returns))
}

// demandOfReturn returns the demand of a refused request: that of its caller's next one if it
// was told when to come back.
func demandOfReturn(w *waiter, r *Refusal, now time.Time) refusedDemand {
	demand := refusedDemand{w, now.Add(refusedDemandTime)}
	if w.req.AnsweredBy.IsZero() || r.RetryAt.IsZero() {
		return demand
	}
	later, next := r.RetryAt.Sub(w.req.Arrived), *w.req
	next.Arrived, next.Objective, next.Deadline = r.RetryAt, next.Objective.Add(later), times.Earlier(next.Deadline.Add(later), next.AnsweredBy)
	demand.until = times.Later(demand.until, r.RetryAt)
	demand.waiter = &waiter{req: &next, tight: w.tight}
	return demand
}

// returned reports whether the caller was refused by this host and comes back when it was
// told. d.mu is held.
func (d *Dispatcher) returned(req *Request, now time.Time) bool {
	id, ok := returnIDOf(req)
	if !ok {
		return false
	}
	expected, told := d.returns[id]
	if !told || now.Before(expected.from) {
		return false
	}
	delete(d.returns, id)
	return now.Before(expected.until)
}

// pruneReturns forgets the returns and bookings that are over. d.mu is held.
func (d *Dispatcher) pruneReturns(now time.Time) {
	for id, expected := range d.returns {
		if !now.Before(expected.until) {
			delete(d.returns, id)
		}
	}
	for t, until := range d.booked {
		if !now.Before(until) {
			delete(d.booked, t)
		}
	}
}

// loadedBy returns when a model that no endpoint holds, and for which there is no forecast, is
// loaded at best: from a disk, after the planner has ordered it. It is zero if the service does
// not have the model.
func (d *Dispatcher) loadedBy(req *Request, now time.Time) time.Time {
	pool, ok := d.pools[req.Service]
	if !ok || pool.Engine == nil {
		return now.Add(modelRetryDelay)
	}
	model, ok := pool.Engine.Models[req.Model]
	if !ok {
		return time.Time{}
	}
	return now.Add(max(modelRetryDelay, model.LoadDisk))
}
