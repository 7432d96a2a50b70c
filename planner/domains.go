package planner

import (
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/locality"
)

const (
	// sharesInterval is the pause between two updates of the shares that leave failure domains:
	// hosts get them with the messages of at least that interval.
	sharesInterval = 250 * time.Millisecond
	// sharesIntervalPerEndpoint extends it with the number of endpoints. An update takes 3.6 ms
	// for 6,900 of them, a core's part of 0.4% then.
	sharesIntervalPerEndpoint = 100 * time.Microsecond
)

// domainPlan is what the planner knows of the demand by failure domain, and the shares that it
// derives from it.
type domainPlan struct {
	balancer *locality.Balancer // nil if traffic between domains has no price
	shares   []tamarackknot.DomainShare
	sharesAt time.Time // zero while there are none
	// loads are the average numbers of requests, running or waiting, by model and domain.
	loads     map[modelKey]map[string]float64
	updatedAt time.Time
}

func newDomainPlan(price locality.Price) domainPlan {
	if price <= 0 {
		return domainPlan{}
	}
	return domainPlan{balancer: locality.NewBalancer(price), loads: make(map[modelKey]map[string]float64)}
}

// reset forgets the demand, since another host plans now.
func (p *domainPlan) reset() {
	if p.balancer == nil {
		return
	}
	p.balancer.Reset()
	p.shares, p.sharesAt, p.updatedAt = nil, time.Time{}, time.Time{}
	clear(p.loads)
}

// syncDomains takes in the demand by failure domain and derives the shares that leave them.
func (c *Controller) syncDomains(demand []tamarackknot.DomainDemand, now time.Time) {
	p := &c.domains
	if p.balancer == nil {
		return
	}
	endpoints := c.cfg.Endpoints()
	if now.Sub(p.updatedAt) < sharesInterval+time.Duration(len(endpoints))*sharesIntervalPerEndpoint {
		return
	}
	weight := min(now.Sub(p.updatedAt).Seconds()/loadTimeConstant.Seconds(), 1)
	p.updatedAt = now
	demands := collectDemands(demand, endpoints)
	p.average(demands, weight)
	shares, ok := p.balancer.Update(now, c.domainEndpoints(endpoints), demands)
	p.shares, p.sharesAt = nil, time.Time{}
	if ok {
		p.shares, p.sharesAt = shares, now
	}
}

// collectDemands sums the demand of each failure domain by model.
func collectDemands(demand []tamarackknot.DomainDemand, endpoints map[string]tamarackknot.EndpointEntry) []locality.Demand {
	var out []locality.Demand
	for _, d := range demand {
		sums := make(map[modelKey]float64)
		for _, r := range d.Running {
			if e, known := endpoints[r.Endpoint]; known {
				sums[modelKey{e.Service, r.Model}] += float64(r.Count)
			}
		}
		for _, w := range d.Waiting {
			sums[modelKey{w.Service, w.Model}] += float64(w.Count)
		}
		for k, n := range sums {
			out = append(out, locality.Demand{Domain: d.Domain, Service: k.service, Model: k.model, Requests: n})
		}
	}
	return out
}

// average updates the average loads.
func (p *domainPlan) average(demands []locality.Demand, weight float64) {
	for k, loads := range p.loads {
		for domain := range loads {
			if loads[domain] *= 1 - weight; loads[domain] < 1e-3 {
				delete(loads, domain)
			}
		}
		if len(loads) == 0 {
			delete(p.loads, k)
		}
	}
	for _, d := range demands {
		k := modelKey{d.Service, d.Model}
		if p.loads[k] == nil {
			p.loads[k] = make(map[string]float64)
		}
		p.loads[k][d.Domain] += weight * d.Requests
	}
}

// domainEndpoints returns the endpoints that take requests, with what they hold.
func (c *Controller) domainEndpoints(endpoints map[string]tamarackknot.EndpointEntry) []locality.Endpoint {
	out := make([]locality.Endpoint, 0, len(endpoints))
	for id, entry := range endpoints {
		if entry.State != tamarackknot.EndpointReady || !entry.GoneAt.IsZero() {
			continue
		}
		e := locality.Endpoint{ID: id, Service: entry.Service, Domain: entry.FailureDomain, Slots: float64(max(entry.Slots, 1))}
		switch engine := c.engines[id]; {
		case engine == nil:
			e.Models = []string{""}
		case engine.saysItLeaves || engine.missedReports >= maxMissedReports:
			continue
		default:
			if engine.spec.Slots > 0 {
				e.Slots = float64(engine.spec.Slots)
			}
			for name, h := range engine.held {
				if !h.evicting {
					e.Models = append(e.Models, name)
				}
			}
		}
		out = append(out, e)
	}
	return out
}

// withDomains adds the loads of the failure domains to the demand for a model.
func (c *Controller) withDomains(k modelKey, s ModelState) ModelState {
	s.Domains = c.domains.loads[k]
	return s
}
