package fake

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

var _ tamarackknot.WeightControl = (*WeightEngines)(nil)

// WeightEngine simulates a model engine that executes weight orders. The exported
// fields are its initial state and must not be changed once it is in use.
type WeightEngine struct {
	Spec  *tamarackknot.EngineSpec
	Held  map[string][]string // adapters of each loaded model
	Disk  map[string]bool     // models on disk
	Cache []string            // models in host memory
	Born  time.Time           // start of the process
	// IgnoresFence says that the engine accepts outdated fencing tokens.
	IgnoresFence bool
	// AdapterTime is how long the load of an adapter takes; 0 means none.
	AdapterTime time.Duration
	// Counting says when orders for adapters advance the sequence.
	Counting AdapterCounting

	sequence  int64
	fence     int64
	busyUntil time.Time // end of the last load
	complete  func()    // applies the load in progress; nil if none
	transit   []adapterLoad
	crashes   int
	conflicts int
	reports   []timedReport // oldest first
}

// AdapterCounting says when orders for adapters advance the sequence of an engine, beyond
// the acceptance of loads and evictions. The zero value is what the planner assumes at first.
type AdapterCounting struct {
	// LoadEnd counts a load when it has ended, LoadStart not when it is accepted.
	LoadEnd, NotLoadStart bool
	// NotEvict leaves out evictions, EvictTwice counts them when they are accepted and when
	// they have ended.
	NotEvict, EvictTwice bool
}

// adapterLoad is the load of an adapter in progress.
type adapterLoad struct {
	model, adapter string
	endsAt         time.Time
}

// maxTransit is the number of adapters that an engine loads at once.
const maxTransit = 4

type timedReport struct {
	at     time.Time
	report tamarackknot.EngineReport
}

// WeightEngines is a set of weight engines by address. Orders can be delayed and
// reports lag behind.
type WeightEngines struct {
	// Lag is the age of the state in a report.
	Lag time.Duration

	mu            sync.Mutex
	engines       map[string]*WeightEngine
	ordersToDelay int           // remaining number of orders to delay
	delay         time.Duration // time until a delayed order is executed
	// delayLoadsOnly excludes evictions from the delay.
	delayLoadsOnly bool
	orders         []tamarackknot.WeightOrder
}

// NewWeightEngines returns an empty set whose reports have the given lag.
func NewWeightEngines(lag time.Duration) *WeightEngines {
	return &WeightEngines{Lag: lag, engines: make(map[string]*WeightEngine)}
}

// Add adds an engine at an address.
func (w *WeightEngines) Add(address string, e *WeightEngine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines[address] = e
	e.recordReport()
}

// DelayOrders makes the next n orders return WeightUnknown without an answer
// from the engine, which executes them after the delay.
func (w *WeightEngines) DelayOrders(n int, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ordersToDelay, w.delay = n, delay
}

// DelayLoads is like DelayOrders but applies only to load orders. Later calls of
// DelayOrders are restricted to load orders, too.
func (w *WeightEngines) DelayLoads(n int, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ordersToDelay, w.delay, w.delayLoadsOnly = n, delay, true
}

// Restart simulates a restart of the engine process at an address. The engine
// loses its models, its cache in host memory, its sequence number and its
// fencing token.
func (w *WeightEngines) Restart(address string, born time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[address]
	e.Born, e.Held, e.Cache = born, make(map[string][]string), nil
	e.sequence, e.fence, e.complete, e.transit, e.reports = 0, 0, nil, nil, nil
	e.recordReport()
}

// Crashes returns the number of orders that exceeded the memory or the adapter
// slots of an engine and would have crashed a real one.
func (w *WeightEngines) Crashes(address string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engines[address].crashes
}

// Configure changes the fields of an engine that is not in use yet.
func (w *WeightEngines) Configure(address string, change func(*WeightEngine)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w.engines[address])
}

// Conflicts returns the number of orders that an engine refused with WeightConflict.
func (w *WeightEngines) Conflicts(address string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engines[address].conflicts
}

// Holds reports whether an engine holds a model and, unless adapter is empty, the
// adapter.
func (w *WeightEngines) Holds(address, model, adapter string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[address]
	e.completeOrder()
	adapters, ok := e.Held[model]
	return ok && (adapter == "" || slices.Contains(adapters, adapter))
}

// Held returns the names of the models that the engine at an address holds, in order.
func (w *WeightEngines) Held(address string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[address]
	if e == nil {
		return nil
	}
	e.completeOrder()
	return slices.Sorted(maps.Keys(e.Held))
}

// Orders returns all orders received so far, including delayed ones.
func (w *WeightEngines) Orders() []tamarackknot.WeightOrder {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.orders)
}

// Order implements tamarackknot.WeightControl.
func (w *WeightEngines) Order(ctx context.Context, address string, o tamarackknot.WeightOrder) tamarackknot.WeightOutcome {
	w.mu.Lock()
	e := w.engines[address]
	w.orders = append(w.orders, o)
	if w.ordersToDelay > 0 && (!w.delayLoadsOnly || o.Kind == tamarackknot.WeightLoad) {
		w.ordersToDelay--
		time.AfterFunc(w.delay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			e.execute(o)
		})
		w.mu.Unlock()
		t := time.NewTimer(responseTimeout)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		return tamarackknot.WeightUnknown
	}
	defer w.mu.Unlock()
	return e.execute(o)
}

// responseTimeout is how long a client waits for the answer to a delayed order.
const responseTimeout = 500 * time.Millisecond

// Report implements tamarackknot.WeightControl.
func (w *WeightEngines) Report(_ context.Context, address, _ string) (tamarackknot.EngineReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[address]
	if e == nil {
		return tamarackknot.EngineReport{}, errors.New("no such engine")
	}
	e.completeOrder()
	until := time.Now().Add(-w.Lag)
	for i := len(e.reports) - 1; i >= 0; i-- {
		if !e.reports[i].at.After(until) || i == 0 {
			return e.reports[i].report, nil
		}
	}
	return tamarackknot.EngineReport{}, errors.New("no report yet")
}

// completeOrder applies the loads in progress whose load time has passed.
func (e *WeightEngine) completeOrder() {
	for len(e.transit) > 0 && !time.Now().Before(e.transit[0].endsAt) {
		l := e.transit[0]
		e.transit = e.transit[1:]
		if adapters, held := e.Held[l.model]; held {
			e.Held[l.model] = append(slices.Clone(adapters), l.adapter)
		}
		if e.Counting.LoadEnd {
			e.sequence++
		}
		e.recordReportAt(l.endsAt)
	}
	if e.complete != nil && !time.Now().Before(e.busyUntil) {
		e.complete()
		e.complete = nil
		e.recordReportAt(e.busyUntil)
	}
}

// recordReport records the current state for later reports.
func (e *WeightEngine) recordReport() { e.recordReportAt(time.Now()) }

// recordReportAt records the state since a time.
func (e *WeightEngine) recordReportAt(at time.Time) {
	r := tamarackknot.EngineReport{Born: e.Born, Sequence: e.sequence, Busy: e.complete != nil, InMemory: slices.Clone(e.Cache)}
	for m, adapters := range e.Held {
		r.Held = append(r.Held, tamarackknot.HeldModel{Name: m, Adapters: slices.Clone(adapters)})
	}
	for m := range e.Disk {
		r.OnDisk = append(r.OnDisk, m)
	}
	for _, l := range e.transit {
		r.Pending = append(r.Pending, l.model+"/"+l.adapter)
	}
	e.reports = append(e.reports, timedReport{at, r})
}

func (e *WeightEngine) execute(o tamarackknot.WeightOrder) tamarackknot.WeightOutcome {
	e.completeOrder()
	_, held := e.Held[o.Model]
	switch {
	case o.Fence < e.fence && !e.IgnoresFence:
		return tamarackknot.WeightFenced
	case o.Sequence != e.sequence || e.complete != nil, o.Kind == tamarackknot.WeightLoad && o.Adapter != "" && len(e.transit) >= maxTransit:
		e.conflicts++
		return tamarackknot.WeightConflict
	case o.Kind == tamarackknot.WeightLoad && o.Adapter == "" && held:
		return tamarackknot.WeightHolds
	}
	e.fence = o.Fence
	defer e.recordReport()
	if o.Adapter != "" {
		return e.executeAdapter(o)
	}
	e.sequence++
	if o.Kind == tamarackknot.WeightEvict {
		delete(e.Held, o.Model)
		return tamarackknot.WeightAccepted
	}
	used := e.Spec.Models[o.Model].WeightsMB
	for m := range e.Held {
		used += e.Spec.Models[m].WeightsMB
	}
	if used > e.Spec.WeightsMB {
		e.crashes++
	}
	tier := tamarackknot.TierRemote
	if slices.Contains(e.Cache, o.Model) {
		tier = tamarackknot.TierMemory
	} else if e.Disk[o.Model] {
		tier = tamarackknot.TierDisk
	}
	e.busyUntil = time.Now().Add(e.Spec.Models[o.Model].LoadTime(tier))
	e.complete = func() {
		e.Held[o.Model] = nil
		e.Disk[o.Model] = true
		e.Cache = append(slices.DeleteFunc(e.Cache, func(m string) bool { return m == o.Model }), o.Model)
	}
	return tamarackknot.WeightAccepted
}

func (e *WeightEngine) executeAdapter(o tamarackknot.WeightOrder) tamarackknot.WeightOutcome {
	adapters := slices.DeleteFunc(slices.Clone(e.Held[o.Model]), func(a string) bool { return a == o.Adapter })
	if o.Kind == tamarackknot.WeightEvict {
		e.Held[o.Model] = adapters
		if !e.Counting.NotEvict {
			e.sequence++
		}
		if e.Counting.EvictTwice {
			e.sequence++
		}
		return tamarackknot.WeightHolds
	}
	loads := func(l adapterLoad) bool { return l.model == o.Model && l.adapter == o.Adapter }
	if e.AdapterTime > 0 && (len(adapters) < len(e.Held[o.Model]) || slices.ContainsFunc(e.transit, loads)) {
		return tamarackknot.WeightHolds
	}
	if !e.Counting.NotLoadStart {
		e.sequence++
	}
	if e.AdapterTime > 0 {
		e.transit = append(e.transit, adapterLoad{o.Model, o.Adapter, time.Now().Add(e.AdapterTime)})
	} else {
		e.Held[o.Model] = append(adapters, o.Adapter)
	}
	n := len(e.transit)
	for _, a := range e.Held {
		n += len(a)
	}
	if n > e.Spec.AdapterSlots {
		e.crashes++
	}
	return tamarackknot.WeightAccepted
}
