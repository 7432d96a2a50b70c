// Package domainreplay plays loads on the hosts and engines of several failure domains,
// without a network, and measures how many requests are late and how many leave their domain.
package domainreplay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/locality"
)

const (
	// Slots are the requests that an engine runs at once.
	Slots = 24
	// readTime is how long an engine reads a prompt, one after the other; streamTime the time
	// from the first event to the last.
	readTime   = 75 * time.Millisecond
	streamTime = 1200 * time.Millisecond
	// crossing is the time between domains one way, viewDelay the age of the planner's
	// messages, viewInterval the pause between two of them.
	crossing     = 1200 * time.Microsecond
	viewDelay    = 60 * time.Millisecond
	viewInterval = 250 * time.Millisecond
	// dialTimeout is how long a connection to another domain takes to fail.
	dialTimeout = 300 * time.Millisecond
	objective   = 600 * time.Millisecond
	deadline    = 2400 * time.Millisecond
	service     = "s"
	bodyBytes   = 1500
)

// Capacity is the number of requests a second whose prompts an engine can read.
const Capacity = float64(time.Second) / float64(readTime)

// Load is a load on a deployment. The functions get the time since its beginning; a nil one
// stands for the normal case.
type Load struct {
	Domains, HostsPerDomain, EnginesPerDomain int
	Models                                    int
	// Holds reports whether an engine holds a model.
	Holds func(domain, engine, model int, at time.Duration) bool
	// Rate is the number of requests a second from the callers of a domain for a model.
	Rate func(domain, model int, at time.Duration) float64
	// Slowness multiplies the times of the engines of a domain.
	Slowness func(domain int, at time.Duration) float64
	// PlannerLost and Cut report whether the planner, which is in the last domain, is lost, and
	// whether a domain is cut off from the others.
	PlannerLost func(at time.Duration) bool
	Cut         func(domain int, at time.Duration) bool
	// Lasts is the length of the load; the requests from MeasuredFrom on are measured.
	Lasts, MeasuredFrom time.Duration
}

// Result counts requests by the domain of their callers.
type Result struct{ Domains []Counts }

// Counts are the requests of one domain.
type Counts struct {
	Requests, Late, Refused, Left int
	// LeftBySecond and BySecond are the requests that left, and all that were sent, in each
	// second.
	LeftBySecond, BySecond []int
}

// LateShare returns the fraction of the requests that were late or refused.
func (c Counts) LateShare() float64 {
	return float64(c.Late+c.Refused) / float64(max(c.Requests, 1))
}

// LeftShare returns the fraction of the requests that left their domain.
func (c Counts) LeftShare() float64 { return float64(c.Left) / float64(max(c.Requests, 1)) }

// Sum returns the counts of some domains together, all if none is named.
func (r Result) Sum(domains ...int) (out Counts) {
	if len(domains) == 0 {
		for i := range r.Domains {
			domains = append(domains, i)
		}
	}
	for _, i := range domains {
		c := r.Domains[i]
		out.Requests += c.Requests
		out.Late += c.Late
		out.Refused += c.Refused
		out.Left += c.Left
	}
	return out
}

func (r Result) String() string {
	out := ""
	for i, c := range r.Domains {
		out += fmt.Sprintf("z%d: %d requests, late %.3f, refused %d, left %.3f; ", i+1, c.Requests, c.LateShare(), c.Refused, c.LeftShare())
	}
	return out
}

// replay is one run.
type replay struct {
	load    Load
	price   locality.Price
	started time.Time
	hosts   []*host
	engines map[string]*engine
	running sync.WaitGroup

	mu     sync.Mutex
	result Result
}

type host struct {
	*dispatch.Dispatcher
	domain int
}

type engine struct {
	id            string
	domain, index int

	mu      sync.Mutex
	running int
	readyAt time.Time // when the prompts that wait have been read
}

// Play plays a load with a price for the traffic between domains, 0 for none. It must be
// called in a bubble of synctest.
func Play(load Load, price locality.Price, seed uint64) Result {
	r := &replay{load: load, price: price, started: time.Now(), engines: make(map[string]*engine)}
	r.result.Domains = make([]Counts, load.Domains)
	for i := range r.result.Domains {
		seconds := int(load.Lasts.Seconds()) + 1
		r.result.Domains[i].LeftBySecond, r.result.Domains[i].BySecond = make([]int, seconds), make([]int, seconds)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.build(ctx)
	r.running.Go(func() { r.plan(ctx) })
	for i, h := range r.hosts {
		for m := range load.Models {
			r.running.Go(func() { r.arrive(ctx, h, m, rand.New(rand.NewPCG(seed, uint64(i*load.Models+m)))) })
		}
	}
	time.Sleep(load.Lasts)
	cancel()
	r.running.Wait()
	return r.result
}

// build starts the hosts and lists the engines.
func (r *replay) build(ctx context.Context) {
	entries, byService := make(map[string]tamarackknot.EndpointEntry), make(map[string][]string)
	for d := range r.load.Domains {
		for i := range r.load.EnginesPerDomain {
			e := &engine{id: fmt.Sprintf("e%d-%d", d, i), domain: d, index: i}
			r.engines[e.id] = e
			entries[e.id] = tamarackknot.EndpointEntry{
				ID: e.id, Service: service, FailureDomain: domainName(d), Address: e.id, Slots: Slots,
				State: tamarackknot.EndpointReady, Engine: &tamarackknot.EngineReport{Held: r.held(e, 0)},
			}
			byService[service] = append(byService[service], e.id)
		}
	}
	models := make(map[string]tamarackknot.HostedModel)
	for m := range r.load.Models {
		models[modelName(m)] = tamarackknot.HostedModel{Name: modelName(m)}
	}
	for d := range r.load.Domains {
		for range r.load.HostsPerDomain {
			index := len(r.hosts)
			cfg := dispatch.Config{
				FailureDomain: domainName(d), PlannerViewCurrent: func() bool { return true }, Logger: log.New(io.Discard),
				HostIndex: func() int { return index }, HostCount: func() int { return r.load.Domains * r.load.HostsPerDomain },
			}
			if r.price > 0 {
				cfg.Domains = &dispatch.DomainPolicy{Price: r.price, Counters: locality.NewCounters(nil)}
			}
			h := &host{Dispatcher: dispatch.New(cfg), domain: d}
			h.SetPools(map[string]tamarackknot.PoolSpec{service: {Name: service, Engine: &tamarackknot.EngineSpec{Slots: Slots, Models: models}}})
			h.SetEndpoints(entries, byService, true)
			r.hosts = append(r.hosts, h)
			r.running.Go(func() { h.Run(ctx) })
		}
	}
}

func domainName(d int) string { return "z" + strconv.Itoa(d+1) }

func modelName(m int) string { return "m" + strconv.Itoa(m) }

// held returns the models that an engine holds.
func (r *replay) held(e *engine, at time.Duration) (out []tamarackknot.HeldModel) {
	for m := range r.load.Models {
		if r.load.Holds == nil || r.load.Holds(e.domain, e.index, m, at) {
			out = append(out, tamarackknot.HeldModel{Name: modelName(m)})
		}
	}
	return out
}

// cut reports whether two domains are cut off from each other.
func (r *replay) cut(a, b int, at time.Duration) bool {
	return a != b && r.load.Cut != nil && (r.load.Cut(a, at) || r.load.Cut(b, at))
}

// plan does the planner's part: it collects the demand and sends views and shares.
func (r *replay) plan(ctx context.Context) {
	balancer := locality.NewBalancer(max(r.price, 1))
	lost := false
	for ; ctx.Err() == nil; time.Sleep(viewInterval) {
		at := time.Since(r.started)
		if lost {
			balancer.Reset()
		}
		if lost = r.load.PlannerLost != nil && r.load.PlannerLost(at); lost {
			continue
		}
		r.publish(balancer, at)
	}
}

// picture is what the planner knows of the hosts and engines that it reaches.
type picture struct {
	totals    map[string]int   // requests by engine
	own       []map[string]int // those of each host
	engines   map[string][]tamarackknot.HeldModel
	endpoints []locality.Endpoint
	demands   []locality.Demand
}

// collect asks the hosts and engines that the planner reaches.
func (r *replay) collect(at time.Duration) picture {
	planner := r.load.Domains - 1
	p := picture{totals: make(map[string]int), own: make([]map[string]int, len(r.hosts)), engines: make(map[string][]tamarackknot.HeldModel)}
	for i, h := range r.hosts {
		p.own[i] = make(map[string]int)
		if r.cut(h.domain, planner, at) {
			continue
		}
		domain, d := domainName(h.domain), h.Demand(true)
		for _, n := range d.Running {
			p.own[i][n.Endpoint] += n.Count
			p.totals[n.Endpoint] += n.Count
			p.demands = append(p.demands, locality.Demand{Domain: domain, Service: service, Model: n.Model, Requests: float64(n.Count)})
		}
		for _, m := range d.Models {
			p.demands = append(p.demands, locality.Demand{Domain: domain, Service: service, Model: m.Model, Requests: float64(m.Waiting)})
		}
	}
	for id, e := range r.engines {
		if r.cut(e.domain, planner, at) {
			continue
		}
		p.engines[id] = r.held(e, at)
		out := locality.Endpoint{ID: id, Service: service, Domain: domainName(e.domain), Slots: Slots}
		for _, m := range p.engines[id] {
			out.Models = append(out.Models, m.Name)
		}
		p.endpoints = append(p.endpoints, out)
	}
	return p
}

// publish sends one view to each host.
func (r *replay) publish(balancer *locality.Balancer, at time.Duration) {
	p, plannedAt := r.collect(at), time.Now()
	shares, ok := balancer.Update(plannedAt, p.endpoints, p.demands)
	time.Sleep(viewDelay)
	for i, h := range r.hosts {
		if r.cut(h.domain, r.load.Domains-1, at) {
			continue
		}
		v := tamarackknot.FleetView{Engines: make(map[string]tamarackknot.EngineView)}
		for id, held := range p.engines {
			v.Engines[id] = tamarackknot.EngineView{Held: held, Others: p.totals[id] - p.own[i][id]}
		}
		if ok {
			v.SharesAt = plannedAt
			for _, s := range shares {
				if s.Domain == domainName(h.domain) {
					v.Shares = append(v.Shares, s)
				}
			}
		}
		h.SetView(v)
	}
}

// arrive sends the requests of a host's callers for a model.
func (r *replay) arrive(ctx context.Context, h *host, model int, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		rate := r.load.Rate(h.domain, model, time.Since(r.started)) / float64(r.load.HostsPerDomain)
		if rate <= 0 {
			time.Sleep(viewInterval)
			continue
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		id := strconv.FormatUint(random.Uint64(), 16)
		r.running.Go(func() { r.request(h, model, id) })
	}
}

// request sends one request until it has run or is refused.
func (r *replay) request(h *host, model int, id string) {
	now := time.Now()
	req := &dispatch.Request{
		ID: id, Service: service, Model: modelName(model), Arrived: now, Objective: now.Add(objective), Deadline: now.Add(deadline),
		AnsweredBy: now.Add(4 * deadline), BodyBytes: bodyBytes,
	}
	for {
		ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
		grant, _ := h.Acquire(ctx, req)
		cancel()
		if grant == nil {
			r.count(h, now, false, true, true)
			return
		}
		e := r.engines[grant.Endpoint.ID]
		if r.cut(h.domain, e.domain, time.Since(r.started)) {
			time.Sleep(dialTimeout)
			grant.Done(dispatch.ResultUnreachable)
			continue
		}
		if first, taken := r.run(h, e, grant); taken {
			r.count(h, now, e.domain != h.domain, first.Sub(now) > objective, false)
			return
		}
	}
}

// run runs a request at an engine and returns when its first event arrived; taken is false if
// the engine was full.
func (r *replay) run(h *host, e *engine, grant *dispatch.Grant) (first time.Time, taken bool) {
	way := time.Duration(0)
	if e.domain != h.domain {
		way = crossing
	}
	time.Sleep(3 * way)
	slowness := 1.0
	if r.load.Slowness != nil {
		slowness = r.load.Slowness(e.domain, time.Since(r.started))
	}
	e.mu.Lock()
	if e.running >= Slots {
		e.mu.Unlock()
		time.Sleep(way)
		grant.Done(dispatch.ResultFull)
		return time.Time{}, false
	}
	e.running++
	now := time.Now()
	if e.readyAt.Before(now) {
		e.readyAt = now
	}
	e.readyAt = e.readyAt.Add(time.Duration(slowness * float64(readTime)))
	wait := e.readyAt.Sub(now)
	e.mu.Unlock()
	time.Sleep(wait + way)
	grant.Started()
	first = time.Now()
	time.Sleep(time.Duration(slowness * float64(streamTime)))
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	grant.Done(dispatch.ResultAnswered)
	return first, true
}

// count counts a request that arrived at a time.
func (r *replay) count(h *host, arrived time.Time, left, late, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.result.Domains[h.domain]
	at := arrived.Sub(r.started)
	if second := int(at.Seconds()); second < len(c.BySecond) && !refused {
		c.BySecond[second]++
		if left {
			c.LeftBySecond[second]++
		}
	}
	if at < r.load.MeasuredFrom {
		return
	}
	c.Requests++
	switch {
	case refused:
		c.Refused++
	case late:
		c.Late++
	}
	if left {
		c.Left++
	}
}
