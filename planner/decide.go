package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// A model gets another replica when its load per replica exceeds
	// maxReplicaLoad requests, or maxReplicaSlotShare of an engine's slots
	// where those are few. The limit is low because prompts that arrive
	// together are processed one after the other and delay every stream on the
	// engine.
	maxReplicaLoad      = 4.0
	maxReplicaSlotShare = 0.5
	// overloadThreshold is the number of requests above which an engine is
	// overloaded and the models it holds get replicas elsewhere,
	// overloadSlotShare the share of its slots where those are few. Models with
	// a load below minOverloadModelLoad do not get replicas for this reason.
	overloadThreshold    = 13.0
	overloadSlotShare    = 0.75
	minOverloadModelLoad = 2.0
	// Costs are in penalty seconds, which weight a delay by its effect on
	// requests. Only their ratios matter.

	// overloadCost is the cost of a load on an engine at its overload limit; it
	// is proportional to the engine's load.
	overloadCost = 0.8
	// busyShareFactor raises the load that one replica takes, by this factor
	// times the share of engines with an order under way: replicas displace
	// models, and the loads of those then queue up.
	busyShareFactor = 4.0
	// remoteReplicaFactor raises the load at which a replica is loaded from the
	// weight store, since models without any replica need the store more.
	remoteReplicaFactor = 2.0
	// minResidentTime is how long a model is not evicted after its load, while
	// the requests that waited for it are being sent.
	minResidentTime = 900 * time.Millisecond
	// lateCost is the cost of a load that ends after the earliest objective of
	// the requests waiting for it.
	lateCost = 3.0
	// delayCostPerSecond is the cost of each second until the load ends. A
	// prefetch also pays it for each earlier load of the engine from the weight
	// store, which spreads the models over the engines.
	delayCostPerSecond = 0.1
	// tightRequestCost and looseRequestCost are the penalties of a request
	// whose model was evicted; an eviction counts the requests expected within
	// one second. A tight request, whose objective is shorter than a load from
	// disk, is late.
	tightRequestCost = 4.0
	looseRequestCost = 0.4
	// unusedModelCost is the cost of evicting a model without any requests so
	// far: it is not known yet whether its requests can wait for a load.
	unusedModelCost = 0.5
	// recentUseCost is the cost of evicting a model right after its last
	// request. It decays exponentially with the time constant recentUseDecay.
	recentUseCost  = 0.2
	recentUseDecay = 6 * time.Second
	// adapterBlockCost is the penalty of each adapter request that is expected
	// during a load: the engine cannot load adapters meanwhile.
	adapterBlockCost = 0.1
	// replicaEvictionCost is the cost of evicting one of several replicas.
	replicaEvictionCost = 0.1
)

// ServiceState is the input of a decision for one service.
type ServiceState struct {
	Now     time.Time
	Service string
	Spec    *tamarackknot.EngineSpec
	Engines []EngineState
	Models  map[string]ModelState
	// BusyShare is the average share of engines with an order under way.
	BusyShare float64
	// ColdLoads is the number of loads from the weight store under way,
	// ColdLimit the maximum number.
	ColdLoads int
	ColdLimit int
	// ColdBudget is how many loads from the weight store may still start now.
	ColdBudget int
	// Prefetch says that models may be loaded for which no requests wait.
	Prefetch bool
}

// EngineState is the state of one model engine.
type EngineState struct {
	ID string
	// FreeAt is when the order under way is expected to end, zero without one.
	FreeAt time.Time
	// Loading is the model being loaded, empty without one.
	Loading string
	Held    []HeldState
	// InMemory and OnDisk are the models with cached weights at the engine.
	InMemory map[string]bool
	OnDisk   map[string]bool
	// Unavailable engines get no orders, and what they hold does not count.
	Unavailable bool
	// Unsettled engines get no orders for a moment: their next report is awaited. What they
	// hold goes on serving requests.
	Unsettled bool
	// Limited engines take few requests: they name a limit. What they hold does not
	// count as a replica, and nothing is loaded there unless all engines are limited.
	Limited bool
	// Load is the average number of requests at the engine.
	Load float64
	// ColdLoads counts the engine's loads from the weight store so far.
	ColdLoads int
}

// HeldState is a model in an engine's accelerator memory.
type HeldState struct {
	Model    string
	Running  int
	LoadedAt time.Time
}

// ModelState is the demand for a model over all hosts.
type ModelState struct {
	// Waiting requests wait for the model; Tight of them have an objective
	// shorter than a load from disk.
	Waiting int
	Tight   int
	// Objective and Deadline are the earliest of the waiting requests.
	Objective time.Time
	Deadline  time.Time
	Running   int
	Total     int64
	// TightTotal counts the requests with an objective shorter than a load from
	// disk, Total all.
	TightTotal int64
	LastUsed   time.Time
	// Rate is the average number of requests per second, Load that of requests
	// running or waiting at the same time.
	Rate float64
	Load float64
}

// Move is the load of a model, with the evictions that free the memory for it.
type Move struct {
	Engine string
	Model  string
	Tier   tamarackknot.Tier
	Evict  []string
	// Prefetch says that no requests wait for the model.
	Prefetch bool
}

// Decision is the result of Decide.
type Decision struct {
	Moves     []Move
	Forecasts []tamarackknot.ModelForecast
}

// planState is the working state of one decision.
type planState struct {
	ServiceState
	replicas map[string]int // per model, held or being loaded
	// cached has the models that are cached or being loaded at any engine; nil until it is
	// needed.
	cached map[string]bool
	// adapterReserveMB is the memory reserved for adapters on each engine.
	adapterReserveMB float64
	allLimited       bool
	decision         Decision
}

// Decide plans the loads and evictions for a service. Models that requests wait
// for and further replicas of busy models come first, in the order of rank;
// then spare capacity of the weight store is used for models that no engine has
// cached. For one load after the other, Decide minimises the cost in penalty
// seconds over the engines: the sum of the evictions, the time until the model
// is loaded, a missed objective, the load of the engine and the delayed adapter
// requests.
func Decide(s ServiceState) Decision {
	p := &planState{ServiceState: s, replicas: make(map[string]int)}
	p.Engines = slices.Clone(s.Engines)
	p.adapterReserveMB = adapterReserve(s.Spec)
	p.allLimited = !slices.ContainsFunc(s.Engines, func(e EngineState) bool { return !e.Unavailable && !e.Limited })
	for _, e := range s.Engines {
		if e.Unavailable || p.avoids(&e) {
			continue
		}
		for _, h := range e.Held {
			p.replicas[h.Model]++
		}
		if e.Loading != "" {
			p.replicas[e.Loading]++
		}
	}
	for _, name := range p.wanted() {
		p.place(name)
	}
	if s.Prefetch {
		p.prefetch()
	}
	return p.decision
}

// avoids reports whether the engine takes too few requests to serve its models.
func (p *planState) avoids(e *EngineState) bool { return e.Limited && !p.allLimited }

// wanted returns the models to load, most urgent first.
func (p *planState) wanted() []string {
	var names []string
	for name, m := range p.Models {
		if _, served := p.Spec.Models[name]; !served {
			continue
		}
		if p.replicas[name] == 0 && m.Waiting > 0 || p.needsReplica(name, m) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		ma, mb := p.Models[a], p.Models[b]
		if c := cmp.Compare(p.rank(a, ma), p.rank(b, mb)); c != 0 {
			return c
		}
		if c := ma.Deadline.Compare(mb.Deadline); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return names
}

// rank orders loads: models without a replica and with tight requests, further
// replicas of models on overloaded engines, other models without a replica,
// other further replicas.
func (p *planState) rank(name string, m ModelState) int {
	switch {
	case p.replicas[name] == 0 && m.Tight > 0:
		return 0
	case p.replicas[name] > 0 && p.overloaded(name, m):
		return 1
	case p.replicas[name] == 0:
		return 2
	default:
		return 3
	}
}

// needsReplica reports whether a model needs a further replica.
func (p *planState) needsReplica(name string, m ModelState) bool {
	n := p.replicas[name]
	return n > 0 && (m.Load > float64(n)*p.replicaLimit() || p.overloaded(name, m))
}

// overloaded reports whether all engines that hold a model are overloaded,
// another engine has less than half of their load, and no further replica is
// being loaded.
func (p *planState) overloaded(name string, m ModelState) bool {
	if m.Load < minOverloadModelLoad {
		return false
	}
	least, leastOther := math.Inf(1), math.Inf(1)
	for i := range p.Engines {
		e := &p.Engines[i]
		switch {
		case e.Unavailable:
		case e.Loading == name:
			return false
		case e.holds(name):
			least = min(least, e.Load)
		default:
			leastOther = min(leastOther, e.Load)
		}
	}
	return least > p.overloadLimit() && leastOther < least/2
}

// replicaLimit is the load up to which one replica of a model suffices.
func (p *planState) replicaLimit() float64 {
	return min(maxReplicaLoad, maxReplicaSlotShare*float64(p.Spec.Slots)) * p.busyFactor()
}

// busyFactor is by how much more load one replica takes while engines carry out orders.
func (p *planState) busyFactor() float64 { return 1 + busyShareFactor*p.BusyShare }

// remoteReplicaLimit is the load of each replica at which another one is loaded from the
// weight store. Where slots are few it is a share of them: a model whose replicas have no
// free slot can't get more load.
func (p *planState) remoteReplicaLimit() float64 {
	return min(remoteReplicaFactor*p.replicaLimit(), overloadSlotShare*float64(p.Spec.Slots)*p.busyFactor())
}

// overloadLimit is the load above which an engine is overloaded.
func (p *planState) overloadLimit() float64 {
	return max(min(overloadThreshold, overloadSlotShare*float64(p.Spec.Slots)), 1)
}

// place chooses the engine for a load. If that engine is busy, the load is left
// to a later decision.
func (p *planState) place(name string) {
	model, state := p.Spec.Models[name], p.Models[name]
	var best Move
	var engine *EngineState
	bestCost, bestAt := math.Inf(1), time.Time{}
	for i := range p.Engines {
		e := &p.Engines[i]
		move, at, cost := p.evaluate(e, model, state)
		if cost < bestCost {
			best, engine, bestCost, bestAt = move, e, cost, at
		}
	}
	if engine == nil {
		if p.replicas[name] == 0 {
			p.addForecast(name, p.Now.Add(p.coldBacklog(model)))
		}
		return
	}
	if p.replicas[name] == 0 {
		p.addForecast(name, bestAt)
	}
	if !engine.FreeAt.IsZero() {
		// A later decision issues this load; others on the engine follow it.
		engine.FreeAt = bestAt
		return
	}
	p.addMove(engine, best)
}

// addMove adds a move to the decision and updates the state.
func (p *planState) addMove(e *EngineState, m Move) {
	e.Loading, e.FreeAt = m.Model, p.Now.Add(p.Spec.Models[m.Model].LoadTime(m.Tier))
	e.Held = slices.DeleteFunc(slices.Clone(e.Held), func(h HeldState) bool { return slices.Contains(m.Evict, h.Model) })
	p.replicas[m.Model]++
	if p.cached != nil {
		p.cached[m.Model] = true
	}
	if m.Tier == tamarackknot.TierRemote {
		p.ColdLoads++
		p.ColdBudget--
	}
	for _, victim := range m.Evict {
		p.replicas[victim]--
	}
	p.decision.Moves = append(p.decision.Moves, m)
}

func (p *planState) addForecast(name string, at time.Time) {
	p.decision.Forecasts = append(p.decision.Forecasts, tamarackknot.ModelForecast{Service: p.Service, Model: name, ReadyAt: at})
}

// coldBacklog estimates the time until a model is loaded from the weight store,
// after the loads under way and those forecast before it.
func (p *planState) coldBacklog(model tamarackknot.HostedModel) time.Duration {
	ahead := 0
	for _, f := range p.decision.Forecasts {
		if !p.isCached(f.Model) {
			ahead++
		}
	}
	rounds := float64(p.ColdLoads+ahead)/float64(max(p.ColdLimit, 1)) + 1
	return time.Duration(rounds * float64(model.LoadRemote))
}

// evaluate returns the move that loads a model on an engine, when the load
// would end, and its cost in penalty seconds, infinite if it is not possible.
func (p *planState) evaluate(e *EngineState, model tamarackknot.HostedModel, state ModelState) (Move, time.Time, float64) {
	infeasible := math.Inf(1)
	if e.Unavailable || e.Unsettled || p.avoids(e) || e.holds(model.Name) || e.Loading == model.Name {
		return Move{}, time.Time{}, infeasible
	}
	tier := e.tier(model.Name)
	if n := p.replicas[model.Name]; n > 0 && tier == tamarackknot.TierRemote && state.Load < float64(n)*p.remoteReplicaLimit() && !p.overloaded(model.Name, state) {
		return Move{}, time.Time{}, infeasible
	}
	if tier == tamarackknot.TierRemote && (!p.mayLoadCold() || !e.FreeAt.IsZero()) {
		return Move{}, time.Time{}, infeasible
	}
	evict, cost := p.victims(e, model)
	if math.IsInf(cost, 1) {
		return Move{}, time.Time{}, infeasible
	}
	start := p.Now
	if e.FreeAt.After(start) {
		start = e.FreeAt
	}
	at := start.Add(model.LoadTime(tier))
	cost += delayCostPerSecond * at.Sub(p.Now).Seconds()
	cost += overloadCost * e.Load / p.overloadLimit()
	cost += adapterBlockCost * model.LoadTime(tier).Seconds() * p.adapterRate(e)
	if state.Waiting > 0 && at.After(state.Objective) {
		cost += lateCost
	}
	return Move{Engine: e.ID, Model: model.Name, Tier: tier, Evict: evict}, at, cost
}

// victims chooses what to evict from an engine so that a model fits, cheapest
// first. It returns the total cost in penalty seconds, infinite if the model
// does not fit.
func (p *planState) victims(e *EngineState, model tamarackknot.HostedModel) ([]string, float64) {
	need := model.WeightsMB + p.adapterReserveMB - p.Spec.WeightsMB
	for _, h := range e.Held {
		need += p.Spec.Models[h.Model].WeightsMB
	}
	if e.Loading != "" {
		need += p.Spec.Models[e.Loading].WeightsMB
	}
	if need <= 0 {
		return nil, 0
	}
	type victim struct {
		model string
		cost  float64
	}
	var all []victim
	for _, h := range e.Held {
		all = append(all, victim{h.Model, p.evictionCost(h)})
	}
	slices.SortFunc(all, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	var out []string
	total := 0.0
	for _, v := range all {
		out = append(out, v.model)
		total += v.cost
		if need -= p.Spec.Models[v.model].WeightsMB; need <= 0 {
			return out, total
		}
	}
	return nil, math.Inf(1)
}

// adapterRate returns the rate of requests, per second, for models with
// adapters at an engine.
func (p *planState) adapterRate(e *EngineState) float64 {
	rate := 0.0
	for _, h := range e.Held {
		if p.Spec.Models[h.Model].Adapters > 0 {
			rate += p.Models[h.Model].Rate / float64(max(p.replicas[h.Model], 1))
		}
	}
	return rate
}

// adapterReserve returns the memory in MB that the adapters of an engine may
// take.
func adapterReserve(spec *tamarackknot.EngineSpec) float64 {
	largest := 0.0
	for _, m := range spec.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(spec.AdapterSlots)
}

// evictionCost returns the cost in penalty seconds of evicting a model,
// infinite if it must stay.
func (p *planState) evictionCost(h HeldState) float64 {
	m := p.Models[h.Model]
	if _, served := p.Spec.Models[h.Model]; !served && h.Running == 0 {
		return 0
	}
	if h.Running > 0 || p.Now.Sub(h.LoadedAt) < minResidentTime {
		return math.Inf(1)
	}
	recent := 0.0
	if !m.LastUsed.IsZero() {
		recent = recentUseCost * math.Exp(-p.Now.Sub(m.LastUsed).Seconds()/recentUseDecay.Seconds())
	}
	if n := p.replicas[h.Model]; n > 1 {
		rest := float64(n-1) * p.replicaLimit()
		return replicaEvictionCost + recent + tightRequestCost*max(0, m.Load/max(rest, 1)-0.5)
	}
	if m.Waiting > 0 {
		return math.Inf(1)
	}
	if m.Total == 0 {
		return unusedModelCost
	}
	tight := float64(m.TightTotal) / float64(m.Total)
	return recent + m.Rate*(tight*tightRequestCost+(1-tight)*looseRequestCost)
}

// isCached reports whether a model is cached or being loaded at any engine.
func (p *planState) isCached(name string) bool {
	if p.cached != nil {
		return p.cached[name]
	}
	p.cached = make(map[string]bool)
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.Unavailable {
			continue
		}
		if e.Loading != "" {
			p.cached[e.Loading] = true
		}
		for m := range e.OnDisk {
			p.cached[m] = true
		}
		for m := range e.InMemory {
			p.cached[m] = true
		}
	}
	return p.cached[name]
}

// prefetch uses spare capacity of the weight store to load models that no
// engine has cached.
func (p *planState) prefetch() {
	if !p.mayLoadCold() {
		return
	}
	free := p.freeDisks()
	if len(free) == 0 {
		return
	}
	var names []string
	for name := range p.Spec.Models {
		if p.replicas[name] == 0 && !p.isCached(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if c := cmp.Compare(p.Models[b].Total, p.Models[a].Total); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	for _, name := range names {
		if !p.mayLoadCold() {
			return
		}
		model := p.Spec.Models[name]
		var best Move
		var engine *EngineState
		bestCost := math.Inf(1)
		for _, disk := range free {
			e := &p.Engines[disk.engine]
			// The load must not displace another model from the disk.
			if !e.FreeAt.IsZero() || model.WeightsMB > disk.freeMB {
				continue
			}
			move, _, cost := p.evaluate(e, model, ModelState{})
			cost += delayCostPerSecond * float64(e.ColdLoads)
			if cost < bestCost {
				best, engine, bestCost = move, e, cost
			}
		}
		if engine == nil {
			return
		}
		best.Prefetch = true
		p.addMove(engine, best)
	}
}

// mayLoadCold reports whether another load from the weight store may start now.
func (p *planState) mayLoadCold() bool { return p.ColdLoads < p.ColdLimit && p.ColdBudget > 0 }

// freeDisk is the free disk space of an engine.
type freeDisk struct {
	engine int // index
	freeMB float64
}

// freeDisks returns the disks of the idle engines that can hold another model.
func (p *planState) freeDisks() []freeDisk {
	smallest := math.Inf(1)
	for _, m := range p.Spec.Models {
		smallest = min(smallest, m.WeightsMB)
	}
	var out []freeDisk
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.Unavailable || e.Unsettled || !e.FreeAt.IsZero() {
			continue
		}
		free := p.Spec.DiskMB
		for name := range e.OnDisk {
			free -= p.Spec.Models[name].WeightsMB
		}
		if free >= smallest {
			out = append(out, freeDisk{i, free})
		}
	}
	return out
}

func (e *EngineState) holds(model string) bool {
	return slices.ContainsFunc(e.Held, func(h HeldState) bool { return h.Model == model })
}

func (e *EngineState) tier(model string) tamarackknot.Tier {
	switch {
	case e.InMemory[model]:
		return tamarackknot.TierMemory
	case e.OnDisk[model]:
		return tamarackknot.TierDisk
	default:
		return tamarackknot.TierRemote
	}
}
