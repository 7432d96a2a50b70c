package dispatch

import (
	"math"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/locality"
)

const (
	// crossDomainPenalty, a fraction of an endpoint's slots, is for an endpoint in another failure
	// domain. It is small, so that it decides only between endpoints with nearly the same load.
	crossDomainPenalty = 0.08
	// homePenalty, a fraction of an endpoint's slots, is for an endpoint in another failure domain
	// if the request should stay: any endpoint of its own domain that has a slot is better.
	homePenalty = 1.0
	// gainPenalty and sharePenalty are for it if the request may leave, for a gain or as part of
	// the planner's share. Hosts learn of each other's requests up to half a second late and see
	// the same least loaded endpoint: with less, twice as many requests left their domain while
	// all domains were full (TestReplays), and more were late; with more, more were late at
	// slow engines.
	gainPenalty  = 0.2
	sharePenalty = 0.15
	// sharesTTL is how long the planner's shares count. It bridges the change of a planner that
	// shuts down. They are hints, and an endpoint takes no more requests because of them, so the
	// time of suspension need not count.
	sharesTTL = 2 * time.Second
	// maxCompared is the number of endpoints whose loads are compared for the choice of a
	// domain; of more it is a sample.
	maxCompared = 32
)

// DomainPolicy prices the traffic between failure domains.
type DomainPolicy struct {
	Price    locality.Price
	Counters *locality.Counters
}

// domainState is the state of the choice between this host's failure domain and others. It is
// shared by all endpoints of a Dispatcher and guarded by its mu.
type domainState struct {
	policy *DomainPolicy // nil if traffic between domains has no price
	// others says that endpoints in other failure domains are known.
	others bool
	// shares are those of the planner, which count until sharesUntil.
	shares      map[target]float64
	sharesUntil time.Time
	// reason, penalty and guarded are those of the request for which an endpoint is chosen.
	reason  locality.Reason
	penalty float64
	guarded bool // other domains keep a reserve
}

// domainCost returns what it adds to the score of an endpoint that it is in another failure
// domain than this host.
func domainCost(e *endpoint, failureDomain string) float64 {
	if e.entry.FailureDomain == failureDomain {
		return 0
	}
	if e.domains != nil {
		return e.domains.penalty
	}
	return crossDomainPenalty
}

// setEndpointDomain notes that an endpoint is listed. d.mu is held.
func (d *Dispatcher) setEndpointDomain(e *endpoint) {
	if d.cfg.Domains == nil {
		return
	}
	e.domains = &d.domains
	e.elsewhere = e.entry.FailureDomain != d.cfg.FailureDomain
	d.domains.policy = d.cfg.Domains
	d.domains.others = d.domains.others || e.elsewhere
}

// setShares takes the shares of a message of the planner. d.mu is held.
func (d *Dispatcher) setShares(v tamarackknot.FleetView) {
	if d.cfg.Domains == nil {
		return
	}
	if v.SharesAt.IsZero() {
		d.domains.sharesUntil = time.Time{}
		return
	}
	d.domains.sharesUntil = v.SharesAt.Add(sharesTTL)
	if len(v.Shares) == 0 && len(d.domains.shares) == 0 {
		return
	}
	d.domains.shares = make(map[target]float64, len(v.Shares))
	for _, s := range v.Shares {
		d.domains.shares[target{s.Service, s.Model}] = s.Share
	}
}

// chooseDomain decides whether a request may leave this host's failure domain. d.mu is held.
func (d *Dispatcher) chooseDomain(req *Request, now time.Time) {
	s := &d.domains
	if s.policy == nil || !s.others || d.isBrittle(req.Service, now) {
		// The places at brittle endpoints belong to hosts of any domain.
		s.reason, s.penalty, s.guarded = locality.ReasonHome, crossDomainPenalty, false
		return
	}
	c := d.compareDomains(req, now)
	c.Bytes = locality.RequestBytes(req.BodyBytes, req.Tokens)
	c.Slack = req.Objective.Sub(now).Seconds()
	c.Shared = now.Before(s.sharesUntil)
	c.Share = s.shares[target{req.Service, req.Model}]
	c.Ticket = locality.TicketOf(req.ID)
	s.reason = s.policy.Price.Decide(c)
	s.guarded = c.Holders
	switch s.reason {
	case locality.ReasonHome:
		s.penalty = homePenalty
	case locality.ReasonGain:
		s.penalty = gainPenalty
	default:
		s.penalty = sharePenalty
	}
}

// compareDomains returns the uses of the least loaded endpoints of this host's failure domain
// and of others, among those that seem to take the request. d.mu is held.
func (d *Dispatcher) compareDomains(req *Request, now time.Time) locality.Choice {
	c := locality.Choice{Own: math.Inf(1), Other: math.Inf(1)}
	candidates := d.candidates(req.Service, req.Model)
	step := (len(candidates) + maxCompared - 1) / maxCompared
	if step > 1 {
		d.compared++
	}
	for i := d.compared % max(step, 1); i < len(candidates); i += step {
		e := candidates[i]
		if !e.suits(req) {
			continue
		}
		c.Holders = c.Holders || !e.elsewhere
		requests, room := e.own+e.others, e.maxRequests(req)
		if requests >= room || now.Before(e.backoffUntil) || e.signals != nil && (e.signals.applies() || e.signals.refusesAll(e.own, now)) ||
			e.backoffs > 0 && e.prefilling > 0 || e.elsewhere && locality.Reserved(requests, room) {
			continue
		}
		use := float64(requests) / float64(room)
		if req.Model != "" {
			use += prefillWeight * float64(e.prefilling)
		}
		if e.failureRate > 0 {
			use += failurePenalty * e.decayedFailureRate(now)
		}
		if e.elsewhere {
			c.Other = min(c.Other, use)
		} else {
			c.Own = min(c.Own, use)
		}
	}
	return c
}

// suits reports whether the endpoint, which holds the model of a request, has its adapter and
// version and is not excluded.
func (e *endpoint) suits(req *Request) bool {
	return (req.Adapter == "" || e.lacks(req) == lackSlot) && e.runsVersionFor(req) &&
		(len(req.Exclude) == 0 || !slices.Contains(req.Exclude, e.entry.ID))
}

// keptForOwnDomain reports whether an endpoint of another failure domain keeps its last slots
// for the callers there. d.mu is held.
func (d *Dispatcher) keptForOwnDomain(e *endpoint, req *Request) bool {
	return d.domains.guarded && e.elsewhere && locality.Reserved(e.own+e.others, e.maxRequests(req))
}

// countLeft counts why a request left this host's failure domain for the endpoint that was
// chosen, and returns it. d.mu is held.
func (d *Dispatcher) countLeft(e *endpoint) string {
	if d.domains.policy == nil {
		return ""
	}
	reason := d.domains.reason
	switch {
	case !e.elsewhere:
		reason = locality.ReasonHome
	case reason == locality.ReasonHome:
		// No endpoint of the own domain takes the request.
		reason = locality.ReasonFull
	}
	d.domains.policy.Counters.Count(reason)
	return reason.String()
}
