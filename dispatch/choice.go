package dispatch

import (
	"time"
)

const (
	// sampleSize is the number of endpoints among which the one for a request is chosen, drawn
	// at random for each. The hosts learn of each other's choices up to a second late, and
	// would all choose the best one of all.
	sampleSize = 2
	// maxSampled is the number of endpoints of the own failure domain that can take the request after which no further
	// one is drawn although fewer are good. With 6, hosts met at the few good endpoints of a
	// loaded service, and three times as many requests were late.
	maxSampled = 3
	// goodScore is the score below which an endpoint counts for sampleSize: the request is
	// expected to make no request late there, itself included.
	goodScore = 1.0
	// slownessCost is the number of requests that are late at an endpoint which takes twice as
	// long as others: prompts of other hosts that meet there widen gaps twice as much. In
	// replays with a third of the engines 1.3 times slower, 6.2 requests in 100 were late with
	// it and 7.9 without.
	slownessCost = 2.0
	// viewAge is the age of what a host knows of the requests of others, from 0.3 to 1 s.
	viewAge = 650 * time.Millisecond
	// maxSpread limits the random part of the score, so that it lets no endpoint that stalls or
	// fails seem good.
	maxSpread = 1.5
)

// strides are primes above the number of endpoints of a service, so that a walk in steps of
// one of them meets each endpoint.
var strides = [...]uint64{65537, 65539, 65543, 65551, 65557, 65563, 65579, 65581} //nolint:gochecknoglobals // a constant table

// SetPrediction says whether endpoints are chosen by what is predicted for a request there.
// Otherwise nothing is learned, and all endpoints are compared by their load.
func (d *Dispatcher) SetPrediction(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.predicting = on
}

// newChoice returns what the choice for a request depends on; ok is false if nothing is
// predicted for it. d.mu is held.
func (d *Dispatcher) newChoice(req *Request, now time.Time) (c choice, ok bool) {
	if !d.predicting || req.Model == "" {
		return c, false
	}
	c.now, c.frozen = now, d.freezes.now(now)
	if c.baseline = d.baselines[target{req.Service, req.Model}]; c.baseline == nil {
		c.baseline = d.prior
	}
	if pool, known := d.pools[req.Service]; known && pool.Engine != nil {
		c.memory = pool.Engine.MemoryTokens
	}
	c.sizes = sizesOf(req.Tokens, c.memory)
	c.until, c.objective = req.Objective.Sub(now).Seconds(), req.Objective.Sub(req.Arrived).Seconds()
	c.gap = req.GapObjective.Seconds()
	return c, true
}

// spreadOver returns the width of the random part of the score: the number of requests that
// other hosts send to an endpoint while this one does not know of them. Each can make one late,
// by a prompt that is read at the same time.
func (c *choice) spreadOver(endpoints, hosts int) float64 {
	if endpoints == 0 || hosts < 2 {
		return 0
	}
	return min(c.perSecond(c.now)*float64(hosts-1)*viewAge.Seconds()/float64(endpoints), maxSpread)
}

// search is the search for the endpoint of a request.
type search struct {
	d   *Dispatcher
	req *Request
	now time.Time
	// choice holds what is predicted, if predicting is set.
	choice     choice
	predicting bool
	maxOwn     func(*endpoint) int
	// affinity has read shared parts of the prompt, and preferred is this host's replica of the
	// model; nil if there is none.
	affinity, preferred *endpoint

	found
	missing lack // what the endpoints lack, none of which can take the request
}

// found is the best one of some endpoints; nil if none can take the request.
type found struct {
	best *endpoint
	// score is that of best, and drawn the one with its random part.
	score, drawn float64
	good         int // endpoints with a good score
	compared     int
}

// best returns the endpoint with the lowest score for the request, or what is missing if there
// is none.
func (d *Dispatcher) best(req *Request, now time.Time) (*endpoint, lack) {
	s := d.search(req, now)
	return s.best, s.missing
}

// search looks for the endpoint with the lowest score. d.mu is held.
func (d *Dispatcher) search(req *Request, now time.Time) search {
	d.chooseDomain(req, now)
	s := search{
		d: d, req: req, now: now, missing: lackModel, maxOwn: d.maxOwnRequests(req.Service, now),
		affinity: d.affinityEndpoint(req), preferred: d.preferredReplica(req),
	}
	if req.Model == "" {
		s.missing = lackSlot
	}
	endpoints := d.candidates(req.Service, req.Model)
	if s.choice, s.predicting = d.newChoice(req, now); !s.predicting {
		for _, e := range endpoints {
			s.consider(e)
		}
		return s
	}
	s.choice.spread = s.choice.spreadOver(len(endpoints), d.hostCount())
	domains := d.domainsOf(target{req.Service, req.Model}, endpoints)
	s.sample(domains.own, true, maxSampled)
	own := s.found
	if own.best != nil && own.score <= s.choice.spread {
		return s
	}
	s.found = found{}
	s.sample(domains.others, false, sampleSize)
	// A difference that requests of other hosts may have made up for is no reason to leave the
	// failure domain.
	if s.best == nil || own.best != nil && own.score <= s.score+s.choice.spread {
		s.found = own
	}
	return s
}

// domains are the endpoints in this host's failure domain and those in others.
type domains struct{ own, others []*endpoint }

// domainsOf divides the endpoints that have a model. d.mu is held.
func (d *Dispatcher) domainsOf(t target, endpoints []*endpoint) domains {
	if known, ok := d.byDomain[t]; ok {
		return known
	}
	var out domains
	for _, e := range endpoints {
		if e.entry.FailureDomain == d.cfg.FailureDomain {
			out.own = append(out.own, e)
		} else {
			out.others = append(out.others, e)
		}
	}
	d.byDomain[t] = out
	return out
}

// sample considers the endpoints to which the request has ties, and others in random order
// until sampleSize of them are good or limit have been compared. own says that they are in this
// host's failure domain.
func (s *search) sample(endpoints []*endpoint, own bool, limit int) {
	n := uint64(len(endpoints))
	if n == 0 {
		return
	}
	affinity, preferred := s.tie(s.affinity, own), s.tie(s.preferred, own)
	if affinity != nil {
		s.consider(affinity)
	}
	if preferred != nil && preferred != affinity {
		s.consider(preferred)
	}
	s.good, s.compared = 0, 0
	random := s.d.random.Uint64()
	at, stride := random>>8%n, strides[random%uint64(len(strides))]%n
	for range n {
		if e := endpoints[at]; e != affinity && e != preferred {
			s.consider(e)
		}
		if s.good >= sampleSize || s.compared >= limit {
			return
		}
		if at += stride; at >= n {
			at -= n
		}
	}
}

// tie returns the endpoint if it is in this host's failure domain or, without own, in another
// one, and nil otherwise.
func (s *search) tie(e *endpoint, own bool) *endpoint {
	if e == nil || (e.entry.FailureDomain == s.d.cfg.FailureDomain) != own {
		return nil
	}
	return e
}

// consider compares an endpoint with the best one.
func (s *search) consider(e *endpoint) {
	if !e.accepts(s.req, s.now) || e.own >= s.maxOwn(e) || !s.d.limitAllows(e, s.now) || s.d.keptForOwnDomain(e, s.req) {
		s.missing = min(s.missing, e.lacks(s.req))
		return
	}
	var score float64
	if s.predicting {
		score = e.predictedScore(&s.choice, s.d.cfg.FailureDomain)
	} else {
		score = e.score(s.req, s.d.cfg.FailureDomain, s.now)
	}
	if e == s.affinity {
		score -= affinityBonus
	}
	if e == s.preferred {
		score -= preferredReplicaBonus
	}
	score += e.signals.penalty(s.now)
	s.compared++
	if score < goodScore {
		s.good++
	}
	drawn := score
	switch {
	case s.choice.spread == 0:
	case e == s.affinity || e == s.preferred:
		// The mean of the least random part of the others, so that the ties keep their weight.
		drawn += s.choice.spread / (sampleSize + 1)
	default:
		drawn += s.choice.spread * s.d.random.Float64()
	}
	if s.best == nil || drawn < s.drawn {
		s.best, s.score, s.drawn = e, score, drawn
	}
}

// predictedScore is score with what is predicted for the request there.
func (e *endpoint) predictedScore(c *choice, failureDomain string) float64 {
	f, late := e.forecast(c)
	load := float64(e.own+e.others) / float64(max(e.slots, 1))
	return load*f.Slowness + slownessCost*(f.Slowness-1) + e.estimate.readingCost(c) + domainCost(e, failureDomain) + failurePenalty*e.decayedFailureRate(c.now) + late
}
