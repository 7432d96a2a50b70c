package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// copyLoad is the number of requests of one model that an engine runs
	// before another copy is loaded, copyShare the share of its slots where it
	// has few. It is small because the prompts of several requests that come
	// together, read one after the other, stretch the pauses of every stream
	// that runs there.
	copyLoad  = 4.0
	copyShare = 0.5
	// engineLoad is the number of requests above which an engine is so busy
	// that the models it holds get copies elsewhere, engineShare the share of
	// its slots where it has few, and leastLoad the load from which a model
	// counts.
	engineLoad  = 13.0
	engineShare = 0.75
	leastLoad   = 2.0
	// crowdCost is the cost of loading a model at an engine that is that busy.
	crowdCost = 0.8
	// pressureFactor is how much more load a copy takes for each share of the
	// engines that carry out orders: copies displace models, whose loads then
	// queue up.
	pressureFactor = 4.0
	// remoteCopyFactor is the same for a copy from the weight store, which
	// models that are held nowhere need more.
	remoteCopyFactor = 2.0
	// settleTime is how long a model that was just loaded is not evicted: the
	// requests that waited for it are being sent.
	settleTime = 900 * time.Millisecond
	// lateCost is what a load costs, in seconds, that ends after the first
	// objective of the requests which wait for it.
	lateCost = 3.0
	// delayCost is the cost of a second of delay within the objective.
	delayCost = 0.1
	// tightCost and looseCost are what the absence of a model costs per
	// request: a request whose objective is below a load from disk is late.
	tightCost = 4.0
	looseCost = 0.4
	// unknownCost is the cost of evicting a model that was never asked for:
	// nothing tells yet whether its requests can wait for a load.
	unknownCost = 0.5
	// recentCost is the cost of evicting a model right after its last use,
	// recentTime the time in which it falls to a third.
	recentCost = 0.2
	recentTime = 6 * time.Second
	// blockCost is the cost of a move, per second and adapter request a second,
	// at an engine that meanwhile cannot load adapters.
	blockCost = 0.1
	// copyCost is the cost of evicting one of several copies.
	copyCost = 0.1
)

// Situation is what a decision depends on.
type Situation struct {
	Now     time.Time
	Service string
	Spec    *tamarackknot.EngineSpec
	Engines []EngineState
	Models  map[string]ModelState
	// Pressure is the mean share of the engines that carry out orders.
	Pressure float64
	// Cold is the number of loads from the weight store under way, ColdLimit
	// how many may be.
	Cold      int
	ColdLimit int
	// ColdStarts is how many loads from the weight store may still begin now.
	ColdStarts int
}

// EngineState is one model engine.
type EngineState struct {
	ID string
	// FreeAt is when the order under way is expected to end; zero if none is.
	FreeAt  time.Time
	Loading string
	Held    []HeldState
	Memory  map[string]bool
	Disk    map[string]bool
	// Leaving engines get no orders.
	Leaving bool
	// Load is the mean of the requests at the engine.
	Load float64
	// ColdLoads counts the loads from the weight store that it has done.
	ColdLoads int
}

// HeldState is a model that an engine holds.
type HeldState struct {
	Model    string
	Running  int
	LoadedAt time.Time
}

// ModelState is the demand for a model over all hosts.
type ModelState struct {
	Waiting   int
	Tight     int
	Objective time.Time
	Deadline  time.Time
	Running   int
	Total     int64
	// TightTotal counts the requests with an objective below a load from disk.
	TightTotal int64
	LastUsed   time.Time
	// Rate is the mean of recent requests a second, Load that of requests
	// running and waiting at once.
	Rate float64
	Load float64
}

// Move is a load with the evictions that make room for it.
type Move struct {
	Engine string
	Load   string
	Tier   tamarackknot.Tier
	Evict  []string
	// Prefetch says that nothing waits for the model.
	Prefetch bool
}

// Decision is the answer to a Situation.
type Decision struct {
	Moves     []Move
	Forecasts []tamarackknot.ModelForecast
}

// planning is the working state of one decision.
type planning struct {
	Situation
	copies map[string]int // held or being loaded
	stored map[string]bool
	// reserve is the memory that the adapters of an engine may take.
	reserve float64
	out     Decision
}

// Decide chooses what to load where. Models that requests wait for go first,
// those with tight objectives before others; then busy models get further
// copies; then the weight store's spare capacity brings in models of which no
// engine has a copy.
func Decide(s Situation) Decision {
	p := &planning{Situation: s, copies: make(map[string]int), stored: make(map[string]bool)}
	p.Engines = slices.Clone(s.Engines)
	p.reserve = adapterReserve(s.Spec)
	for _, e := range s.Engines {
		if e.Leaving {
			continue
		}
		for _, h := range e.Held {
			p.copies[h.Model]++
		}
		if e.Loading != "" {
			p.copies[e.Loading]++
			p.stored[e.Loading] = true
		}
		for m := range e.Disk {
			p.stored[m] = true
		}
		for m := range e.Memory {
			p.stored[m] = true
		}
	}
	for _, name := range p.wanted() {
		p.place(name)
	}
	p.prefetch()
	return p.out
}

// wanted orders the models that need a load.
func (p *planning) wanted() []string {
	var names []string
	for name, m := range p.Models {
		if _, served := p.Spec.Models[name]; !served {
			continue
		}
		if p.copies[name] == 0 && m.Waiting > 0 || p.needsCopy(name, m) {
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

// rank orders loads: what is held nowhere and has tight objectives, then the
// copies of models whose engines are crowded, then the rest that is held
// nowhere, then other copies.
func (p *planning) rank(name string, m ModelState) int {
	switch {
	case p.copies[name] == 0 && m.Tight > 0:
		return 0
	case p.copies[name] > 0 && p.crowded(name, m):
		return 1
	case p.copies[name] == 0:
		return 2
	default:
		return 3
	}
}

func (p *planning) needsCopy(name string, m ModelState) bool {
	n := p.copies[name]
	return n > 0 && (m.Load > float64(n)*p.copyLimit() || p.crowded(name, m))
}

// crowded reports whether all engines that hold a model are busy, and others
// are much less so.
func (p *planning) crowded(name string, m ModelState) bool {
	if m.Load < leastLoad {
		return false
	}
	least, leastOther := math.Inf(1), math.Inf(1)
	for i := range p.Engines {
		e := &p.Engines[i]
		switch {
		case e.Leaving:
		case e.Loading == name:
			return false
		case e.holds(name):
			least = min(least, e.Load)
		default:
			leastOther = min(leastOther, e.Load)
		}
	}
	return least > p.engineLimit() && leastOther < least/2
}

// copyLimit is the load that one copy of a model takes.
func (p *planning) copyLimit() float64 {
	return min(copyLoad, copyShare*float64(p.Spec.Slots)) * (1 + pressureFactor*p.Pressure)
}

// engineLimit is the load above which an engine is crowded.
func (p *planning) engineLimit() float64 {
	return max(min(engineLoad, engineShare*float64(p.Spec.Slots)), 1)
}

// place chooses the engine for a load, now or once the engine is free.
func (p *planning) place(name string) {
	model, state := p.Spec.Models[name], p.Models[name]
	var best Move
	var engine *EngineState
	bestCost, bestAt := math.Inf(1), time.Time{}
	for i := range p.Engines {
		e := &p.Engines[i]
		move, at, cost := p.option(e, model, state)
		if cost < bestCost {
			best, engine, bestCost, bestAt = move, e, cost, at
		}
	}
	if engine == nil {
		if p.copies[name] == 0 {
			p.forecast(name, p.Now.Add(p.coldBacklog(model)))
		}
		return
	}
	if p.copies[name] == 0 {
		p.forecast(name, bestAt)
	}
	if !engine.FreeAt.IsZero() {
		// The load is planned for later; further ones at the engine come after.
		engine.FreeAt = bestAt
		return
	}
	p.issue(engine, best)
}

func (p *planning) issue(e *EngineState, m Move) {
	e.Loading, e.FreeAt = m.Load, p.Now.Add(p.Spec.Models[m.Load].LoadTime(m.Tier))
	e.Held = slices.DeleteFunc(slices.Clone(e.Held), func(h HeldState) bool { return slices.Contains(m.Evict, h.Model) })
	p.copies[m.Load]++
	p.stored[m.Load] = true
	if m.Tier == tamarackknot.TierRemote {
		p.Cold++
		p.ColdStarts--
	}
	for _, victim := range m.Evict {
		p.copies[victim]--
	}
	p.out.Moves = append(p.out.Moves, m)
}

func (p *planning) forecast(name string, at time.Time) {
	p.out.Forecasts = append(p.out.Forecasts, tamarackknot.ModelForecast{Service: p.Service, Model: name, ReadyAt: at})
}

// coldBacklog estimates the time until a model from the weight store is
// loaded while others wait for it too.
func (p *planning) coldBacklog(model tamarackknot.HostedModel) time.Duration {
	ahead := 0
	for _, f := range p.out.Forecasts {
		if !p.stored[f.Model] {
			ahead++
		}
	}
	rounds := float64(p.Cold+ahead)/float64(max(p.ColdLimit, 1)) + 1
	return time.Duration(rounds * float64(model.LoadRemote))
}

// option is what a load at an engine would be, when it would end and what it
// costs.
func (p *planning) option(e *EngineState, model tamarackknot.HostedModel, state ModelState) (Move, time.Time, float64) {
	never := math.Inf(1)
	if e.Leaving || e.holds(model.Name) || e.Loading == model.Name {
		return Move{}, time.Time{}, never
	}
	tier := e.tier(model.Name)
	if n := p.copies[model.Name]; n > 0 && tier == tamarackknot.TierRemote && state.Load < float64(n)*remoteCopyFactor*p.copyLimit() && !p.crowded(model.Name, state) {
		return Move{}, time.Time{}, never
	}
	if tier == tamarackknot.TierRemote && (p.Cold >= p.ColdLimit || p.ColdStarts <= 0 || !e.FreeAt.IsZero()) {
		return Move{}, time.Time{}, never
	}
	evict, cost := p.victims(e, model)
	if math.IsInf(cost, 1) {
		return Move{}, time.Time{}, never
	}
	start := p.Now
	if e.FreeAt.After(start) {
		start = e.FreeAt
	}
	at := start.Add(model.LoadTime(tier))
	cost += delayCost * at.Sub(p.Now).Seconds()
	cost += crowdCost * e.Load / p.engineLimit()
	cost += blockCost * model.LoadTime(tier).Seconds() * p.adapterRate(e)
	if state.Waiting > 0 && at.After(state.Objective) {
		cost += lateCost
	}
	return Move{Engine: e.ID, Load: model.Name, Tier: tier, Evict: evict}, at, cost
}

// victims chooses what to evict from an engine so that a model fits.
func (p *planning) victims(e *EngineState, model tamarackknot.HostedModel) ([]string, float64) {
	need := model.WeightsMB + p.reserve - p.Spec.WeightsMB
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

// adapterRate is the rate of requests for models with adapters at an engine.
func (p *planning) adapterRate(e *EngineState) float64 {
	rate := 0.0
	for _, h := range e.Held {
		if p.Spec.Models[h.Model].Adapters > 0 {
			rate += p.Models[h.Model].Rate / float64(max(p.copies[h.Model], 1))
		}
	}
	return rate
}

// adapterReserve is the memory that the adapters of an engine may take.
func adapterReserve(spec *tamarackknot.EngineSpec) float64 {
	largest := 0.0
	for _, m := range spec.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(spec.AdapterSlots)
}

// evictionCost is what evicting a model costs, in the unit of lateCost.
func (p *planning) evictionCost(h HeldState) float64 {
	m := p.Models[h.Model]
	if _, served := p.Spec.Models[h.Model]; !served && h.Running == 0 {
		return 0
	}
	if h.Running > 0 || p.Now.Sub(h.LoadedAt) < settleTime {
		return math.Inf(1)
	}
	recent := 0.0
	if !m.LastUsed.IsZero() {
		recent = recentCost * math.Exp(-p.Now.Sub(m.LastUsed).Seconds()/recentTime.Seconds())
	}
	if n := p.copies[h.Model]; n > 1 {
		rest := float64(n-1) * p.copyLimit()
		return copyCost + recent + tightCost*max(0, m.Load/max(rest, 1)-0.5)
	}
	if m.Waiting > 0 {
		return math.Inf(1)
	}
	if m.Total == 0 {
		return unknownCost
	}
	tight := float64(m.TightTotal) / float64(m.Total)
	return recent + m.Rate*(tight*tightCost+(1-tight)*looseCost)
}

// prefetch uses what the weight store has to spare for models of which no
// engine has a copy.
func (p *planning) prefetch() {
	var names []string
	for name := range p.Spec.Models {
		if !p.stored[name] && p.copies[name] == 0 {
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
		if p.Cold >= p.ColdLimit || p.ColdStarts <= 0 {
			return
		}
		model := p.Spec.Models[name]
		var best Move
		var engine *EngineState
		bestCost := math.Inf(1)
		for i := range p.Engines {
			e := &p.Engines[i]
			if !e.FreeAt.IsZero() || !p.diskRoom(e, model) {
				continue
			}
			move, _, cost := p.option(e, model, ModelState{})
			cost += delayCost * float64(e.ColdLoads)
			if cost < bestCost {
				best, engine, bestCost = move, e, cost
			}
		}
		if engine == nil {
			return
		}
		best.Prefetch = true
		p.issue(engine, best)
	}
}

// diskRoom reports whether a copy would not displace another one from disk.
func (p *planning) diskRoom(e *EngineState, model tamarackknot.HostedModel) bool {
	used := model.WeightsMB
	for name := range e.Disk {
		used += p.Spec.Models[name].WeightsMB
	}
	return used <= p.Spec.DiskMB
}

func (e *EngineState) holds(model string) bool {
	return slices.ContainsFunc(e.Held, func(h HeldState) bool { return h.Model == model })
}

func (e *EngineState) tier(model string) tamarackknot.Tier {
	switch {
	case e.Memory[model]:
		return tamarackknot.TierMemory
	case e.Disk[model]:
		return tamarackknot.TierDisk
	default:
		return tamarackknot.TierRemote
	}
}
