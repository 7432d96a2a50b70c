package planner

import (
	"math"
	"slices"
	"strings"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/locality"
)

const (
	// moveHorizon is for how many seconds the requests count that cross between failure domains
	// because of where a replica is, as long as those that an eviction makes wait.
	moveHorizon = 1.0
	// homeHorizon is the same for a replica that is loaded just to save traffic: it stays for
	// some tens of seconds at least, since it evicts no last replica of a model.
	homeHorizon = 10.0
	// minHomeLoad is the load of a failure domain below which it gets no replica of its own of
	// a model that others hold.
	minHomeLoad = 1.0
	// maxHomeBusyShare is the average share of engines with an order under way above which no
	// replica is loaded just to save traffic: loads displace models and delay adapters.
	maxHomeBusyShare = 0.1
)

// domainModel is a model with a failure domain.
type domainModel struct{ domain, model string }

// countCopies counts the replicas by failure domain.
func (p *planState) countCopies() {
	if p.Price <= 0 || !p.severalDomains() {
		return
	}
	p.copies = make(map[domainModel]int)
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.Unavailable || p.avoids(e) {
			continue
		}
		for _, h := range e.Held {
			p.copies[domainModel{e.Domain, h.Model}]++
		}
		if e.Loading != "" {
			p.copies[domainModel{e.Domain, e.Loading}]++
		}
	}
}

func (p *planState) severalDomains() bool {
	return slices.ContainsFunc(p.Engines, func(e EngineState) bool { return e.Domain != p.Engines[0].Domain })
}

// moveCopies updates the replicas by failure domain after a move.
func (p *planState) moveCopies(e *EngineState, m Move) {
	if p.copies == nil {
		return
	}
	p.copies[domainModel{e.Domain, m.Model}]++
	for _, victim := range m.Evict {
		p.copies[domainModel{e.Domain, victim}]--
	}
}

// crossingCost returns the cost in penalty seconds of the traffic of a load, in requests,
// that crosses between failure domains in a second. A request takes about as long as its load counts it, so
// the rate of a domain is its part of the rate of all.
func (p *planState) crossingCost(load float64, m ModelState) float64 {
	if m.Load <= 0 || load <= 0 {
		return 0
	}
	return p.Price.Crossing(locality.TypicalBytes()) * m.Rate * min(load/m.Load, 1)
}

// unserved returns the load of a failure domain for a model that its replicas don't take.
func (p *planState) unserved(domain, model string, m ModelState) float64 {
	return max(m.Domains[domain]-float64(p.copies[domainModel{domain, model}])*p.replicaLimit(), 0)
}

// awayCost returns what it costs that a replica is loaded in a failure domain other than the
// one that asks most for it.
func (p *planState) awayCost(e *EngineState, model string, m ModelState) float64 {
	if p.copies == nil {
		return 0
	}
	most := 0.0
	for domain := range m.Domains {
		most = max(most, p.unserved(domain, model, m))
	}
	return moveHorizon * p.crossingCost(most-p.unserved(e.Domain, model, m), m)
}

// lastCopyCost returns the cost of evicting the last replica of a model in a failure domain
// that uses it, while others have one.
func (p *planState) lastCopyCost(e *EngineState, model string) float64 {
	if p.copies == nil || p.copies[domainModel{e.Domain, model}] != 1 || p.replicas[model] < 2 {
		return 0
	}
	m := p.Models[model]
	return moveHorizon * p.crossingCost(m.Domains[e.Domain], m)
}

// placeAtHome loads a replica of one model in a failure domain that asks for it and has none,
// if that saves more traffic than it costs and no other model loses its last replica.
func (p *planState) placeAtHome() {
	if p.copies == nil || p.BusyShare > maxHomeBusyShare {
		return
	}
	var best Move
	var engine *EngineState
	bestGain := 0.0
	for name, m := range p.Models {
		model, served := p.Spec.Models[name]
		if !served || p.replicas[name] == 0 {
			continue
		}
		for domain, load := range m.Domains {
			if load < minHomeLoad || p.copies[domainModel{domain, name}] > 0 {
				continue
			}
			saved := homeHorizon * p.crossingCost(load, m)
			if saved <= bestGain {
				continue
			}
			if move, e, cost := p.cheapest(domain, model, m); e != nil && better(saved-cost, bestGain, move, best) {
				best, engine, bestGain = move, e, saved-cost
			}
		}
	}
	if engine != nil {
		p.addMove(engine, best)
	}
}

// better reports whether a move gains more than the best one. Of equal ones the order of names
// decides, since that of maps is random.
func better(gain, bestGain float64, move, best Move) bool {
	return gain > bestGain || gain > 0 && gain == bestGain && strings.Compare(move.Model+move.Engine, best.Model+best.Engine) < 0
}

// cheapest returns the cheapest load of a model on an idle engine of a failure domain, from its
// caches, and its cost; the engine is nil if there is none.
func (p *planState) cheapest(domain string, model tamarackknot.HostedModel, m ModelState) (best Move, engine *EngineState, bestCost float64) {
	bestCost = math.Inf(1)
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.Domain != domain || !e.FreeAt.IsZero() || e.tier(model.Name) == tamarackknot.TierRemote {
			continue
		}
		if move, _, cost := p.evaluate(e, model, m); cost < bestCost && !p.evictsLast(move) {
			best, engine, bestCost = move, e, cost
		}
	}
	return best, engine, bestCost
}

// evictsLast reports whether a move evicts the last replica of a model that is served.
func (p *planState) evictsLast(m Move) bool {
	return slices.ContainsFunc(m.Evict, func(victim string) bool {
		_, served := p.Spec.Models[victim]
		return served && p.replicas[victim] < 2
	})
}
