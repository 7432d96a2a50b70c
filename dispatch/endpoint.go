package dispatch

import (
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// The bonuses, penalties and weights of the score are fractions of an
	// endpoint's slots.

	// affinityBonus is for an endpoint that has read the shared parts of a prompt.
	affinityBonus = 0.05
	// preferredReplicaBonus is for the replica of a model that this host prefers.
	preferredReplicaBonus = 0.12
	// prefillWeight is added for each prompt in prefill, because an engine
	// processes prompts one after another.
	prefillWeight = 0.08
	// failurePenalty is for an endpoint that fails all requests; it is scaled by
	// the failure rate.
	failurePenalty = 2.0
	// failureAverageWeight is the weight of one attempt in the moving average of
	// the failure rate.
	failureAverageWeight = 0.25
	// failureHalfLife is the time in which the failure rate of an unused endpoint
	// halves.
	failureHalfLife = 4 * time.Second
	// unreachableBackoff is the first backoff after an endpoint could not be
	// reached; it doubles up to maxUnreachableBackoff.
	unreachableBackoff    = 300 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// fullBackoff is the backoff after an endpoint declined a request because it
	// was full; it doubles up to maxFullDoublings times.
	fullBackoff      = 60 * time.Millisecond
	maxFullDoublings = 3
	// missingBackoff is how long no requests are sent for a model or adapter that
	// an endpoint reported missing. Loading an adapter takes a few tens of
	// milliseconds.
	missingBackoff = 120 * time.Millisecond
	// plainRequestsPerSlot bounds the requests per slot of a plain endpoint: one
	// runs and one is queued.
	plainRequestsPerSlot = 2
	// removalMargin is how long before its removal an endpoint stops getting
	// requests.
	removalMargin = 500 * time.Millisecond
	// othersMemory is how long after the planner's last message the requests of other hosts
	// count. What an endpoint declines later costs less than a place that nobody takes.
	othersMemory = 2 * time.Second
)

// modelAdapter names a model and, if not empty, one of its adapters.
type modelAdapter struct{ model, adapter string }

// endpoint is the state that this host keeps for an endpoint.
type endpoint struct {
	entry tamarackknot.EndpointEntry
	slots int
	// domains is nil if traffic between failure domains has no price; elsewhere says that the
	// endpoint is in another one than this host.
	domains   *domainState
	elsewhere bool
	signals   *signalState // nil if it has said nothing
	// routable says that the endpoint may get requests of its service.
	routable bool
	// estimate is what this host has observed of this start of the endpoint.
	estimate estimate
	// own is the number of requests in flight from this host, others that from the
	// other hosts as reported by the planner.
	own        int
	others     int
	prefilling int // own requests whose answer has not begun
	running    map[modelAdapter]int
	// held maps the loaded models to their adapters; nil for a plain service.
	held map[string][]string
	// missingUntil is when the backoff ends for targets that the endpoint reported
	// missing.
	missingUntil map[modelAdapter]time.Time

	failureRate   float64 // moving average of failed attempts, 0 to 1
	failureRateAt time.Time
	backoffUntil  time.Time
	backoffs      int
	declines      int // consecutive attempts that the endpoint declined because it was full
	// probing is set from such an attempt at a brittle endpoint until it takes a request.
	probing bool
}

// accepts reports whether the request may be sent to the endpoint now.
func (e *endpoint) accepts(req *Request, now time.Time) bool {
	return e.own+e.others < e.maxRequests(req) && e.serves(req, now)
}

// serves reports whether the endpoint can run the request when it has a free slot.
func (e *endpoint) serves(req *Request, now time.Time) bool {
	if now.Before(e.backoffUntil) || e.signals.refusesAll(e.own, now) {
		return false
	}
	if e.backoffs > 0 && e.prefilling > 0 {
		// One request at a time finds out whether the endpoint is back.
		return false
	}
	if !e.entry.GoneAt.IsZero() && e.entry.GoneAt.Sub(now) < removalMargin {
		return false
	}
	if !e.runsVersionFor(req) || slices.Contains(req.Exclude, e.entry.ID) {
		return false
	}
	return req.Model == "" || e.holds(req, now)
}

// runsVersionFor reports whether the endpoint's software may serve the request. An
// endpoint of unknown version continues no stream.
func (e *endpoint) runsVersionFor(req *Request) bool {
	return !req.Pinned || req.Version != "" && e.entry.Version == req.Version
}

// maxRequests is the number of requests that all hosts together may have in flight at
// the endpoint.
func (e *endpoint) maxRequests(req *Request) int {
	if req.Model == "" {
		return e.slots * plainRequestsPerSlot
	}
	return e.slots
}

// holds reports whether the model and the adapter of the request are loaded.
func (e *endpoint) holds(req *Request, now time.Time) bool {
	if len(e.missingUntil) > 0 && now.Before(e.missingUntil[modelAdapter{req.Model, req.Adapter}]) {
		return false
	}
	return e.lacks(req) == lackSlot
}

// score rates the endpoint by its load as a fraction of its slots; lower is better. It counts
// where nothing is predicted.
func (e *endpoint) score(req *Request, failureDomain string, now time.Time) float64 {
	s := float64(e.own+e.others) / float64(max(e.slots, 1))
	if req.Model != "" {
		s += prefillWeight * float64(e.prefilling)
	}
	s += domainCost(e, failureDomain)
	return s + failurePenalty*e.decayedFailureRate(now)
}

// decayedFailureRate is the failure rate, decayed since the last attempt.
func (e *endpoint) decayedFailureRate(now time.Time) float64 {
	if e.failureRate == 0 {
		return 0
	}
	halfLives := float64(now.Sub(e.failureRateAt)) / float64(failureHalfLife)
	return e.failureRate / (1 + halfLives*halfLives)
}

// recordResult updates the failure rate and the backoff after an attempt. declinePause is
// the least backoff after the endpoint declined a request because it was full.
func (e *endpoint) recordResult(r Result, req *Request, declinePause time.Duration, now time.Time) {
	rate := e.decayedFailureRate(now)
	switch r {
	case ResultAnswered:
		e.backoffs, e.declines, e.probing = 0, 0, false
		if e.signals != nil {
			e.signals.resuming = false
		}
		e.failureRate = rate * (1 - failureAverageWeight)
	case ResultFailed:
		e.failureRate = rate*(1-failureAverageWeight) + failureAverageWeight
	case ResultFull:
		e.backoffUntil = now.Add(max(fullBackoff<<min(e.declines, maxFullDoublings), declinePause))
		e.declines++
		e.probing = declinePause > 0
		return
	case ResultMisplaced:
		if req.Model != "" {
			e.missingUntil[modelAdapter{req.Model, req.Adapter}] = now.Add(missingBackoff)
			return
		}
		// Another instance has the address, and the list of endpoints does not
		// show it yet.
		e.backoffUntil = now.Add(min(unreachableBackoff<<min(e.backoffs, 8), maxUnreachableBackoff))
		e.backoffs++
		return
	case ResultUnreachable:
		e.failureRate = rate*(1-failureAverageWeight) + failureAverageWeight
		if now.Before(e.backoffUntil) {
			// Another request of the same moment has failed before.
			break
		}
		e.backoffUntil = now.Add(min(unreachableBackoff<<min(e.backoffs, 8), maxUnreachableBackoff))
		e.backoffs++
	case ResultDisconnected:
		return
	}
	e.failureRateAt = now
}
