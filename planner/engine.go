package planner

import (
	"slices"
	"strings"
	"time"

	"tamarackknot.example/tamarackknot"
)

// maxMissedReports is the number of consecutive failed report requests after
// which an engine gets no orders.
const maxMissedReports = 2

// modelAdapter identifies the model and adapter, if any, of running requests.
type modelAdapter struct{ model, adapter string }

// engine is the planner's state of one model engine, guarded by the
// Controller's mu except for ordering and the fields that do not change.
type engine struct {
	// id, address and service do not change.
	id      string
	address string
	service string
	entry   tamarackknot.EndpointEntry
	// saysItLeaves is set when its answers say that it leaves, whatever the entry says.
	saysItLeaves bool
	spec         *tamarackknot.EngineSpec
	// ordering has one element while an order is sent, so that each carries the sequence that
	// follows the previous one.
	ordering chan struct{}

	contentsKnown     bool // its contents are known, if only from its endpoint entry
	reported          bool // has a report that orders may be based on
	born              time.Time
	sequence          int64 // that the next order carries
	executed          executedOrders
	held              map[string]*heldModel
	inMemory          []string // least recently used first
	inMemorySet       map[string]bool
	onDisk            map[string]bool
	running           map[modelAdapter]int
	load              movingAverage // number of requests
	move              *Move
	freeAt            time.Time // expected end of move
	coldLoads         int
	lastOrderAt       time.Time
	reportRequestedAt time.Time
	reportPending     bool
	missedReports     int
	pausedUntil       time.Time
	// unansweredAt is when the last unanswered order was sent, minFence the
	// lowest fencing token that the next order may carry.
	unansweredAt time.Time
	minFence     int64
	// unansweredSequence is the highest sequence that an unanswered order carried.
	unansweredSequence int64
	// refusedAt is when the engine last refused an order, refusedSequence what the order
	// carried. A report of that sequence does not say yet why.
	refusedAt       time.Time
	refusedSequence int64
	// adapterOrderedAt is when the engine last accepted the load of an adapter.
	adapterOrderedAt time.Time
	// pendingAdapterOrders counts the adapter loads under way. Reports do not
	// show their slots yet.
	pendingAdapterOrders int
}

// heldModel is a model in an engine's accelerator memory.
type heldModel struct {
	loadedAt time.Time
	evicting bool
	adapters map[string]*heldAdapter
}

// heldAdapter is an adapter that occupies a slot, usable or still loading.
type heldAdapter struct {
	usableAt time.Time
	usedAt   time.Time
	evicting bool
	// lateUntil is until when the load, which got no answer, may still be executed if the
	// engine's sequence does not exceed lateSequence; zero for others.
	lateUntil    time.Time
	lateSequence int64
}

// unanswered reports whether only a slot is kept, for a load that got no answer.
func (a *heldAdapter) unanswered(now time.Time) bool {
	return a.usableAt.Sub(now) > orderTimeoutMargin
}

// isLate reports whether the load may still be executed by an engine with a sequence. Its slot
// is kept free until then: an engine that counts a load at its end may execute two orders with
// one sequence.
func (a *heldAdapter) isLate(sequence int64, now time.Time) bool {
	return now.Before(a.lateUntil) && sequence <= a.lateSequence
}

func newEngine(entry tamarackknot.EndpointEntry) *engine {
	e := &engine{id: entry.ID, address: entry.Address, service: entry.Service, entry: entry, born: entry.Born, running: make(map[modelAdapter]int), ordering: make(chan struct{}, 1)}
	e.reset()
	if entry.Engine != nil {
		e.merge(*entry.Engine, time.Now())
	}
	return e
}

// reset drops the contents of the engine after a restart.
func (e *engine) reset() {
	e.held = make(map[string]*heldModel)
	e.setInMemory(nil)
	e.onDisk = make(map[string]bool)
	e.reported = false
	e.executed, e.unansweredSequence = executedOrders{}, 0
}

// merge updates the contents of the engine from a report.
func (e *engine) merge(r tamarackknot.EngineReport, now time.Time) {
	e.contentsKnown = true
	listed := make(map[string]bool, len(r.Held))
	for _, m := range r.Held {
		listed[m.Name] = true
		h := e.held[m.Name]
		if h == nil {
			h = &heldModel{loadedAt: now.Add(-minResidentTime), adapters: make(map[string]*heldAdapter)}
			e.held[m.Name] = h
		}
		for _, a := range m.Adapters {
			if h.adapters[a] == nil {
				h.adapters[a] = &heldAdapter{usableAt: now, usedAt: now}
			} else if now.Before(h.adapters[a].usableAt) {
				h.adapters[a].usableAt, h.adapters[a].lateUntil = now, time.Time{}
			}
		}
		for a, held := range h.adapters {
			if !held.isLate(r.Sequence, now) && !slices.Contains(m.Adapters, a) && !slices.Contains(r.Pending, m.Name+"/"+a) {
				delete(h.adapters, a)
			}
		}
	}
	for name := range e.held {
		if !listed[name] {
			delete(e.held, name)
		}
	}
	// Pending adapters occupy slots regardless of who ordered them: an earlier
	// planner, or this one with an order that got no answer.
	for _, p := range r.Pending {
		model, adapter, _ := strings.Cut(p, "/")
		if h := e.held[model]; h != nil && h.adapters[adapter] == nil {
			h.adapters[adapter] = &heldAdapter{usableAt: now.Add(orderTimeoutMargin), usedAt: now}
		}
	}
	e.setCached(r)
}

// setCached updates the cached models from a report. Reports do not list them
// in order of use, so the order known to this planner is kept.
func (e *engine) setCached(r tamarackknot.EngineReport) {
	if r.InMemory == nil && r.OnDisk == nil {
		return
	}
	e.onDisk = toSet(r.OnDisk)
	listed := toSet(r.InMemory)
	inMemory := slices.DeleteFunc(e.inMemory, func(m string) bool { return !listed[m] })
	for _, m := range r.InMemory {
		if !slices.Contains(inMemory, m) {
			inMemory = append([]string{m}, inMemory...)
		}
	}
	e.setInMemory(inMemory)
}

func (e *engine) setInMemory(models []string) { e.inMemory, e.inMemorySet = models, toSet(models) }

// recordLoad records that a load caches the model on disk and in memory, where
// it evicts the least recently used ones.
func (e *engine) recordLoad(model string) {
	e.onDisk[model] = true
	inMemory := append(slices.DeleteFunc(e.inMemory, func(m string) bool { return m == model }), model)
	used := 0.0
	for i := len(inMemory) - 1; i >= 0; i-- {
		if used += e.spec.Models[inMemory[i]].WeightsMB; used > e.spec.CacheMB {
			inMemory = inMemory[i+1:]
			break
		}
	}
	e.setInMemory(inMemory)
}

func toSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

// draining reports whether the engine is being drained or removed.
func (e *engine) draining() bool {
	return e.entry.State != tamarackknot.EndpointReady || !e.entry.GoneAt.IsZero() || e.saysItLeaves
}

// isStart reports whether the map names this start of the engine.
func (e *engine) isStart(starts map[string]time.Time) bool {
	born, named := starts[e.id]
	return named && born.UnixMilli() == e.entry.Born.UnixMilli()
}

// updateLoad updates the average number of requests at the engine, and when its adapters were
// last used.
func (e *engine) updateLoad(now time.Time) {
	n := 0
	for k, running := range e.running {
		n += running
		if h := e.held[k.model]; running > 0 && h != nil && h.adapters[k.adapter] != nil {
			h.adapters[k.adapter].usedAt = now
		}
	}
	weight := min(now.Sub(e.load.at).Seconds()/loadTimeConstant.Seconds(), 1)
	e.load = movingAverage{value: e.load.value*(1-weight) + float64(n)*weight, at: now}
}

// state returns the engine's part in the input of a decision.
func (e *engine) state(now time.Time) EngineState {
	s := EngineState{
		ID: e.id, InMemory: e.inMemorySet, OnDisk: e.onDisk, ColdLoads: e.coldLoads, Load: e.load.value,
		Unavailable: e.draining() || e.missedReports >= maxMissedReports || !e.contentsKnown,
		Unsettled:   !e.reported || now.Before(e.pausedUntil),
	}
	if e.move != nil {
		s.Loading, s.FreeAt = e.move.Model, e.freeAt
		if !s.FreeAt.After(now) {
			s.FreeAt = now.Add(reportLag)
		}
	}
	for name, h := range e.held {
		if h.evicting {
			continue
		}
		running := 0
		for k, n := range e.running {
			if k.model == name {
				running += n
			}
		}
		s.Held = append(s.Held, HeldState{Model: name, Running: running, LoadedAt: h.loadedAt})
	}
	return s
}

// usableModels lists the models and adapters that requests may be sent for.
func (e *engine) usableModels() []tamarackknot.HeldModel {
	now := time.Now()
	out := make([]tamarackknot.HeldModel, 0, len(e.held))
	for name, h := range e.held {
		if h.evicting {
			continue
		}
		m := tamarackknot.HeldModel{Name: name}
		for a, ah := range h.adapters {
			if !ah.evicting && !now.Before(ah.usableAt) {
				m.Adapters = append(m.Adapters, a)
			}
		}
		slices.Sort(m.Adapters)
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b tamarackknot.HeldModel) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// adapterCount returns the number of adapter slots in use.
func (e *engine) adapterCount() int {
	n := 0
	for _, h := range e.held {
		n += len(h.adapters)
	}
	return n
}
