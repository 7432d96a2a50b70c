package dispatch

import (
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// affinityBonus is what it is worth, in shares of an endpoint's slots,
	// that an endpoint has read the shared parts of a prompt.
	affinityBonus = 0.05
	// homeBonus is the same for the copy of a model that this host prefers.
	homeBonus = 0.12
	// otherDomain is the same for an endpoint in another failure domain: only
	// an equal choice stays within the domain.
	otherDomain = 0.08
	// readingWeight is how much busier, in shares of its slots, an engine counts
	// for each prompt that it is still reading: prompts are read in turns.
	readingWeight = 0.08
	// failurePenalty is the share of slots that an endpoint which fails all
	// requests counts as busier.
	failurePenalty = 2.0
	// failureWeight is the weight of one attempt in the mean of failures.
	failureWeight = 0.25
	// failureHalfLife is the time in which an unused endpoint's mean halves.
	failureHalfLife = 4 * time.Second
	// unreachablePause and maxUnreachablePause are how long an endpoint that
	// cannot be reached is left alone, doubling.
	unreachablePause    = 300 * time.Millisecond
	maxUnreachablePause = 4 * time.Second
	// fullPause is how long an endpoint that declined for lack of room is left
	// alone; it doubles up to maxFulls times.
	fullPause = 60 * time.Millisecond
	maxFulls  = 3
	// missingPause is how long a model that an endpoint said it lacks is not
	// looked for there: an order under way takes a few tens of milliseconds
	// for an adapter.
	missingPause = 120 * time.Millisecond
	// plainQueue is how many requests per slot of a plain endpoint are sent:
	// one runs and one waits behind it.
	plainQueue = 2
	// goneMargin is the least time that an endpoint which is taken away must
	// have left to get a request.
	goneMargin = 500 * time.Millisecond
)

type runKey struct{ model, adapter string }

// endpoint is what this host knows of an endpoint.
type endpoint struct {
	entry tamarackknot.EndpointEntry
	slots int
	// own counts the requests of this host, others those of the other hosts.
	own     int
	others  int
	reading int // own requests whose answer has not begun
	running map[runKey]int
	// held are the models with their adapters; nil for a plain service.
	held map[string][]string
	// missing are targets that the endpoint said it lacks, until a time.
	missing map[runKey]time.Time

	failures    float64 // mean of failed attempts, 0 to 1
	failuresAt  time.Time
	pausedUntil time.Time
	pauses      int
	fulls       int // declines in a row for lack of room
}

// accepts reports whether the endpoint can take the request now.
func (e *endpoint) accepts(req *Request, now time.Time) bool {
	if now.Before(e.pausedUntil) || e.own+e.others >= e.limit(req) {
		return false
	}
	if !e.entry.GoneAt.IsZero() && e.entry.GoneAt.Sub(now) < goneMargin {
		return false
	}
	for _, id := range req.Exclude {
		if id == e.entry.ID {
			return false
		}
	}
	return req.Model == "" || e.holds(req, now)
}

func (e *endpoint) limit(req *Request) int {
	if req.Model == "" {
		return e.slots * plainQueue
	}
	return e.slots
}

func (e *endpoint) holds(req *Request, now time.Time) bool {
	adapters, ok := e.held[req.Model]
	if !ok {
		return false
	}
	if until, missing := e.missing[runKey{req.Model, req.Adapter}]; missing && now.Before(until) {
		return false
	}
	if req.Adapter == "" {
		return true
	}
	for _, a := range adapters {
		if a == req.Adapter {
			return true
		}
	}
	return false
}

// score is lower for a better endpoint, in shares of its slots.
func (e *endpoint) score(req *Request, failureDomain string, now time.Time) float64 {
	s := float64(e.own+e.others) / float64(max(e.slots, 1))
	if req.Model != "" {
		s += readingWeight * float64(e.reading)
	}
	if e.entry.FailureDomain != failureDomain {
		s += otherDomain
	}
	return s + failurePenalty*e.failureMean(now)
}

func (e *endpoint) failureMean(now time.Time) float64 {
	if e.failures == 0 {
		return 0
	}
	halves := float64(now.Sub(e.failuresAt)) / float64(failureHalfLife)
	return e.failures / (1 + halves*halves)
}

// note takes the result of an attempt.
func (e *endpoint) note(r Result, req *Request, now time.Time) {
	mean := e.failureMean(now)
	switch r {
	case ResultAnswered:
		e.pauses, e.fulls = 0, 0
		e.failures = mean * (1 - failureWeight)
	case ResultFailed:
		e.failures = mean*(1-failureWeight) + failureWeight
	case ResultFull:
		e.pausedUntil = now.Add(fullPause << min(e.fulls, maxFulls))
		e.fulls++
		return
	case ResultMisplaced:
		if req.Model != "" {
			e.missing[runKey{req.Model, req.Adapter}] = now.Add(missingPause)
			return
		}
		// Another instance has the address until the list says so.
		e.pausedUntil = now.Add(min(unreachablePause<<min(e.pauses, 8), maxUnreachablePause))
		e.pauses++
		return
	case ResultUnreachable:
		e.failures = mean*(1-failureWeight) + failureWeight
		e.pausedUntil = now.Add(min(unreachablePause<<min(e.pauses, 8), maxUnreachablePause))
		e.pauses++
	case ResultLeft:
		return
	}
	e.failuresAt = now
}
