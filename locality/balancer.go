package locality

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// demandTime is the averaging time of the demand, that of the load of models.
	demandTime = 1500 * time.Millisecond
	// settleTime is how long a new planner collects the demand before it names shares.
	settleTime = 2 * time.Second
	// maxFall is by how much a share falls in a second: a domain whose engines come back
	// takes its requests again over two seconds, while these fill up.
	maxFall = 0.5
	// receiverUse is the use of a domain's slots up to which it is sent requests of others.
	receiverUse = 0.8
	// shareStep is the change of a share from which on it is published, minShare the least
	// share that is. With smaller steps shares that come and go were a fifth of the planner's
	// messages.
	shareStep = 0.1
	minShare  = 0.03
	// minDemand is the average number of requests below which a domain has no share: its
	// hosts decide each request by themselves.
	minDemand = 0.25
	// moves is the number of steps in which the demand for a model is moved at most.
	moves = 24
)

// Endpoint is an endpoint with what it can serve.
type Endpoint struct {
	ID, Service, Domain string
	Slots               float64
	// Models are the models that it holds; the empty one stands for a plain service.
	Models []string
}

// Demand is the number of requests of a failure domain's callers for a model that run,
// wherever they do, or wait.
type Demand struct {
	Domain, Service, Model string
	Requests               float64
}

// Balancer derives which share of the requests of each failure domain and model leaves the
// domain. It starts from the state in which all requests run at home, whatever runs where
// now: sending requests away does not change what it sees, so that it does not take them back.
// It must be used by one goroutine.
type Balancer struct {
	price     Price
	since     time.Time // of the first update
	updatedAt time.Time
	demand    map[demandKey]float64
	shares    map[demandKey]float64 // exact
	published map[demandKey]float64
}

// demandKey is a model of a service with a domain of callers.
type demandKey struct{ domain, service, model string }

func (k demandKey) compare(o demandKey) int {
	return cmp.Or(cmp.Compare(k.service, o.service), cmp.Compare(k.model, o.model), cmp.Compare(k.domain, o.domain))
}

// NewBalancer returns a Balancer that knows no demand.
func NewBalancer(price Price) *Balancer {
	b := &Balancer{price: price}
	b.Reset()
	return b
}

// Reset forgets the demand, since another host has planned meanwhile.
func (b *Balancer) Reset() {
	*b = Balancer{
		price: b.price, demand: make(map[demandKey]float64), shares: make(map[demandKey]float64), published: make(map[demandKey]float64),
	}
}

// Update takes in the demand and returns the shares above 0. ok is false while it has not
// observed the demand for long enough.
func (b *Balancer) Update(now time.Time, endpoints []Endpoint, demands []Demand) (shares []tamarackknot.DomainShare, ok bool) {
	elapsed := now.Sub(b.updatedAt)
	if b.since.IsZero() {
		b.since, elapsed = now, 0
	}
	b.updatedAt = now
	b.average(elapsed, now, demands)
	p := newPlan(b.price, endpoints, b.demand)
	exact := p.shares()
	fall := maxFall * elapsed.Seconds()
	for k, share := range b.shares {
		if low := share - fall; low > exact[k] {
			exact[k] = low
		}
	}
	maps.DeleteFunc(exact, func(_ demandKey, share float64) bool { return share <= 0 })
	b.shares = exact
	b.publish(p.absent)
	if now.Sub(b.since) < settleTime {
		return nil, false
	}
	for k, share := range b.published {
		shares = append(shares, tamarackknot.DomainShare{Domain: k.domain, Service: k.service, Model: k.model, Share: share})
	}
	slices.SortFunc(shares, func(a, b tamarackknot.DomainShare) int {
		return demandKey{a.Domain, a.Service, a.Model}.compare(demandKey{b.Domain, b.Service, b.Model})
	})
	return shares, true
}

// average updates the average demand. Until demandTime has passed it is the mean of what was
// observed.
func (b *Balancer) average(elapsed time.Duration, now time.Time, demands []Demand) {
	weight := min(elapsed.Seconds()/min(demandTime.Seconds(), max(now.Sub(b.since).Seconds(), 1e-3)), 1)
	if now.Equal(b.since) {
		weight = 1
	}
	for k := range b.demand {
		b.demand[k] *= 1 - weight
	}
	for _, d := range demands {
		b.demand[demandKey{d.Domain, d.Service, d.Model}] += weight * d.Requests
	}
	maps.DeleteFunc(b.demand, func(_ demandKey, n float64) bool { return n < minDemand/10 })
}

// publish updates the published shares where they have changed by a step. Hosts need none for
// a model that is absent from their domain.
func (b *Balancer) publish(absent map[demandKey]bool) {
	maps.DeleteFunc(b.published, func(k demandKey, _ float64) bool { return b.shares[k] < minShare || absent[k] })
	for k, share := range b.shares {
		if old := b.published[k]; share >= minShare && math.Abs(share-old) >= shareStep && !absent[k] {
			b.published[k] = math.Round(share*100) / 100
		}
	}
}

// plan is the distribution of the demand over the endpoints. load is planned by endpoint.
type plan struct {
	price     Price
	endpoints []Endpoint
	load      []float64
	demand    map[demandKey]float64
	targets   []modelTarget
	absent    map[demandKey]bool // no endpoint of the domain holds the model
}

// modelTarget is a model of a service with the domains that hold it or ask for it.
type modelTarget struct {
	service, model string
	domains        []*domainLoad
}

// domainLoad is one failure domain's part in a model.
type domainLoad struct {
	domain  string
	holders []int // indexes of endpoints
	slots   float64
	demand  float64
	moved   float64 // of demand, to other domains
}

// newPlan returns the plan in which all requests run at home, those of domains without an
// endpoint for them at all others.
func newPlan(price Price, endpoints []Endpoint, demand map[demandKey]float64) *plan {
	p := &plan{price: price, endpoints: endpoints, load: make([]float64, len(endpoints)), demand: demand, absent: make(map[demandKey]bool)}
	p.collect()
	for _, t := range p.targets {
		away := 0.0
		for _, d := range t.domains {
			if len(d.holders) == 0 {
				away += d.demand
				d.moved = d.demand
				p.absent[demandKey{d.domain, t.service, t.model}] = true
				continue
			}
			p.add(d, d.demand)
		}
		p.spread(t, away)
	}
	return p
}

// collect groups the demand and the endpoints by model and domain, those with most demand
// first.
func (p *plan) collect() {
	type key struct{ service, model string }
	byModel := make(map[key]map[string]*domainLoad)
	for k, n := range p.demand {
		if n < minDemand {
			continue
		}
		domains := byModel[key{k.service, k.model}]
		if domains == nil {
			domains = make(map[string]*domainLoad)
			byModel[key{k.service, k.model}] = domains
		}
		domains[k.domain] = &domainLoad{domain: k.domain, demand: n}
	}
	for i, e := range p.endpoints {
		for _, m := range e.Models {
			domains := byModel[key{e.Service, m}]
			if domains == nil {
				continue
			}
			d := domains[e.Domain]
			if d == nil {
				d = &domainLoad{domain: e.Domain}
				domains[e.Domain] = d
			}
			d.holders = append(d.holders, i)
			d.slots += e.Slots
		}
	}
	for k, domains := range byModel {
		t := modelTarget{service: k.service, model: k.model, domains: slices.Collect(maps.Values(domains))}
		slices.SortFunc(t.domains, func(a, b *domainLoad) int { return cmp.Compare(a.domain, b.domain) })
		p.targets = append(p.targets, t)
	}
	slices.SortFunc(p.targets, func(a, b modelTarget) int {
		return cmp.Or(cmp.Compare(b.demand(), a.demand()), cmp.Compare(a.service, b.service), cmp.Compare(a.model, b.model))
	})
}

func (t modelTarget) demand() (sum float64) {
	for _, d := range t.domains {
		sum += d.demand
	}
	return sum
}

// add plans requests at the holders of a domain, by their slots.
func (p *plan) add(d *domainLoad, requests float64) {
	if d.slots <= 0 {
		return
	}
	for _, i := range d.holders {
		p.load[i] += requests * p.endpoints[i].Slots / d.slots
	}
}

// spread plans requests at all holders of a model, by their slots.
func (p *plan) spread(t modelTarget, requests float64) {
	slots := 0.0
	for _, d := range t.domains {
		slots += d.slots
	}
	for _, d := range t.domains {
		if slots > 0 {
			p.add(d, requests*d.slots/slots)
		}
	}
}

// use returns the planned use of the holders of a model in a domain.
func (p *plan) use(d *domainLoad) float64 {
	load := 0.0
	for _, i := range d.holders {
		load += p.load[i]
	}
	return load / d.slots
}

// shares moves requests to other domains where they gain more than their bytes cost, and
// returns the moved shares of the demand.
func (p *plan) shares() map[demandKey]float64 {
	out := make(map[demandKey]float64)
	for _, t := range p.targets {
		for range moves {
			if !p.move(t) {
				break
			}
		}
		for _, d := range t.domains {
			if d.moved > 0 && d.demand > 0 {
				out[demandKey{d.domain, t.service, t.model}] = min(d.moved/d.demand, 1)
			}
		}
	}
	return out
}

// move moves a part of the demand for a model from the domain where it loses most to the one
// where it loses least. It reports whether that pays.
func (p *plan) move(t modelTarget) bool {
	var from, to *domainLoad
	highest, lowest := 0.0, receiverUse
	for _, d := range t.domains {
		if d.slots <= 0 {
			continue
		}
		use := p.use(d)
		if d.moved < d.demand && use > highest {
			from, highest = d, use
		}
		if use < lowest {
			to, lowest = d, use
		}
	}
	if from == nil || to == nil || from == to {
		return false
	}
	slack := typicalSlack.Seconds()
	if delay(highest, slack)-delay(lowest, slack-crossingSeconds) <= p.price.Crossing(typicalBytes) {
		return false
	}
	// A quarter of what would make both equal: the next step looks at the result.
	n := min((highest-lowest)/(1/from.slots+1/to.slots)/4, from.demand-from.moved, (receiverUse-lowest)*to.slots)
	if n < minDemand/moves {
		return false
	}
	from.moved += n
	p.add(from, -n)
	p.add(to, n)
	return true
}
