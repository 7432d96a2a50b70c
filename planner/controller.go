// Package planner decides which model engine holds which models and adapters
// and sends the load and evict orders for it. It places each model load on the
// engine where the cost, in penalty seconds, is lowest; see Decide. Only the
// host that holds the planner lease plans.
package planner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// planInterval is the pause between two routine decisions.
	planInterval = 50 * time.Millisecond
	// minPauseRatio is the minimum pause after a decision, as a multiple of the
	// time the decision took. Decisions thus take at most a quarter of the
	// planner's time while demand updates arrive from many hosts.
	minPauseRatio = 3
	// prefetchInterval is the pause between two decisions that also load models for which no
	// requests wait: these look at all models.
	prefetchInterval = 250 * time.Millisecond
	// standbyInterval is the pause between two checks for the lease on a host
	// that does not plan, and the maximum pause after a slow decision.
	standbyInterval = 250 * time.Millisecond
	// reportInterval is the minimum pause between two routine report requests
	// to an engine. reportIntervalPerEngine extends it with the number of
	// engines: a report takes the planner about 0.3 ms, so many engines would
	// use up its time.
	reportInterval          = 1500 * time.Millisecond
	reportIntervalPerEngine = 10 * time.Millisecond
	// maxConcurrentReports limits the report requests in flight.
	maxConcurrentReports = 256
	// busyReportDelay is the pause before the next report request to an engine
	// that executes another process's order, or whose next order must wait for a
	// higher fencing token.
	busyReportDelay = 200 * time.Millisecond
	// lateOrderWindow is how long after it was sent an unanswered order may
	// still be executed.
	lateOrderWindow = 15 * time.Second
	// reportLag is the maximum age of the state in a report.
	reportLag = 120 * time.Millisecond
	// staleReportWindow is how long after an order a report with a lower
	// sequence counts as older than the order. Reports lag by a few hundred
	// milliseconds.
	staleReportWindow = 2 * time.Second
	// rateTimeConstant is the averaging time of request rates.
	rateTimeConstant = 4 * time.Second
	// loadTimeConstant is the averaging time of the load of models and engines.
	// It is shorter because loading another replica already takes a second or
	// more.
	loadTimeConstant = 1500 * time.Millisecond
	// initialColdLimit is the number of concurrent loads from the weight store
	// until it is known how many run at full speed.
	initialColdLimit = 2
	// maxColdLimit is the upper bound of that number.
	maxColdLimit = 16
	// fullSpeedRatio and slowdownRatio compare the time of a load with that of
	// an undisturbed one: up to fullSpeedRatio the limit is raised, above
	// slowdownRatio it is lowered.
	fullSpeedRatio = 1.1
	slowdownRatio  = 1.3
	// roundingOffset makes a conversion to int round to the nearest integer.
	roundingOffset = 0.5
	// loadRateShare is the share of the permitted rate of loads that is used.
	// The rest is headroom for loads that start late.
	loadRateShare = 0.8
)

// Lease reports whether this host may send orders to engines.
type Lease interface {
	// MayOrder returns the fencing token for orders, and whether any may be
	// sent now.
	MayOrder() (fence int64, ok bool)
	// BeginOrder is MayOrder for an order that is sent at once. If it may be sent,
	// ended must be called when it has ended.
	BeginOrder() (fence int64, ended func(), ok bool)
	// HandleFenced records that an engine has seen a higher fencing token.
	HandleFenced(fence int64)
	// RaiseFence requests a higher fencing token; the next renewal of the lease
	// gets it.
	RaiseFence()
}

// Config configures a Controller.
type Config struct {
	Host  string
	Lease Lease
	// HoldsLease reports whether this host holds the lease.
	HoldsLease func() bool
	Control    tamarackknot.WeightControl
	// Store keeps the demand history.
	Store tamarackknot.Store
	// Catalog returns the current catalog, nil if none has been read yet.
	Catalog func() *tamarackknot.Catalog
	// Endpoints returns the registered endpoints by ID.
	Endpoints func() map[string]tamarackknot.EndpointEntry
	// Limited returns the engines that name a limit, with the start that does so. Nil
	// means none.
	Limited func() map[string]time.Time
	// Leaving returns the engines that say that they leave, with the start that does so. Nil
	// means that none does.
	Leaving func() map[string]time.Time
	// Demand returns the demand of all entry hosts. The result is valid until the next
	// call.
	Demand func() tamarackknot.FleetDemand
	// Publish sends the state of the engines to the hosts, without delay to those that wait
	// for what has changed.
	Publish func(v tamarackknot.FleetView)
	// FencingEnforced says that engines reject orders with an outdated fencing
	// token.
	FencingEnforced bool
	// Within LoadWindow, LoadFactor times the permitted rate of loads from the
	// weight store may start.
	LoadWindow time.Duration
	LoadFactor float64
	Logger     *log.Logger
}

// Controller plans while its host holds the lease. It decides which models and
// adapters to load and evict, and sends the orders.
type Controller struct {
	cfg    Config
	replan chan struct{}
	wg     sync.WaitGroup

	mu      sync.Mutex
	engines map[string]*engine
	models  map[modelKey]*modelDemand
	// states is the memory for the input of one decision.
	states map[string]ModelState
	// forecasts are those of the last decision.
	forecasts []tamarackknot.ModelForecast
	// coldLimit is the maximum number of concurrent loads from the weight
	// store, by service.
	coldLimit map[string]int
	// slowdownSeen has the services in which a load was slowed down by others.
	// Their limit is raised by one at a time instead of doubled.
	slowdownSeen map[string]bool
	// busyShares is the average share of engines with an order under way, by
	// service.
	busyShares map[string]movingAverage
	// prefetchedAt is the last decision that could prefetch, by service.
	prefetchedAt map[string]time.Time
	// sequencing is kept while another host plans: all engines count alike.
	sequencing sequencing
	// coldStartTimes are the starts of loads from the weight store within
	// LoadWindow.
	coldStartTimes []time.Time
	// active says that this host plans. It is written only by Run's goroutine.
	active bool
	// history gets what the store has of it once that has been read. Each time that this host
	// begins to plan there is a new one.
	history chan []tamarackknot.KeyedRecord
	savedAt time.Time
	// savedEra is the era of the store in which the history was last written.
	savedEra int64
}

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// modelDemand is the demand for a model, summed over the hosts.
type modelDemand struct {
	state ModelState
	// persisted has the request counts that an earlier planner stored.
	persisted ModelState
	// lastTotal is the total at measuredAt, from which the request rate is
	// computed.
	lastTotal      int64
	measuredAt     time.Time
	wantedAdapters map[string]bool // adapters with waiting requests
}

// New returns a Controller that is not planning yet.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:          cfg,
		replan:       make(chan struct{}, 1),
		engines:      make(map[string]*engine),
		models:       make(map[modelKey]*modelDemand),
		states:       make(map[string]ModelState),
		coldLimit:    make(map[string]int),
		slowdownSeen: make(map[string]bool),
		busyShares:   make(map[string]movingAverage),
		prefetchedAt: make(map[string]time.Time),
		sequencing:   newSequencing(),
	}
}

// Replan triggers a decision without waiting for the next routine one.
func (c *Controller) Replan() {
	wait.Wake(c.replan)
}

// Run plans until ctx is done, then waits for the orders under way.
func (c *Controller) Run(ctx context.Context) {
	defer c.wg.Wait()
	for {
		interval := standbyInterval
		if c.cfg.HoldsLease() {
			interval = planInterval
		}
		t := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		case <-c.replan:
		}
		t.Stop()
		elapsed := c.step(ctx)
		if !wait.For(ctx, min(minPauseRatio*elapsed, standbyInterval)) {
			return
		}
	}
}

// step makes one decision, starts its orders and returns the time it took.
func (c *Controller) step(ctx context.Context) time.Duration {
	catalog := c.cfg.Catalog()
	if !c.cfg.HoldsLease() || catalog == nil {
		c.stop()
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.active {
		c.active, c.savedAt, c.savedEra = true, now, c.cfg.Store.Era()
		read := make(chan []tamarackknot.KeyedRecord, 1)
		c.history = read
		c.wg.Go(func() { c.readHistory(ctx, read) })
		c.cfg.Logger.Info("planning started", "endpoints", len(c.cfg.Endpoints()))
	}
	// After a restore the store has lost the last history that was written.
	if era := c.cfg.Store.Era(); now.Sub(c.savedAt) >= saveInterval || era > c.savedEra {
		c.savedAt, c.savedEra = now, era
		c.wg.Go(func() { c.saveHistory(ctx) })
	}
	c.restoreHistory()
	c.syncEngines(ctx, catalog, now)
	c.syncDemand(now)
	_, mayOrder := c.cfg.Lease.MayOrder()
	var forecasts []tamarackknot.ModelForecast
	for name, pool := range catalog.Services {
		if pool.Engine == nil {
			continue
		}
		s := c.serviceState(name, pool.Engine, now)
		d := Decide(s)
		forecasts = append(forecasts, d.Forecasts...)
		if !mayOrder {
			continue
		}
		for _, m := range d.Moves {
			c.startMove(ctx, pool.Engine, m, now)
		}
		c.planAdapters(ctx, name, pool.Engine, now)
	}
	c.forecasts = forecasts
	c.publish()
	return time.Since(now)
}

// stop drops the planning state because another host plans now.
func (c *Controller) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active {
		return
	}
	c.active, c.forecasts = false, nil
	clear(c.engines)
	clear(c.models)
	c.cfg.Logger.Info("planning stopped")
}

// syncEngines follows the list of endpoints and requests reports that are due.
func (c *Controller) syncEngines(ctx context.Context, catalog *tamarackknot.Catalog, now time.Time) {
	listed := c.cfg.Endpoints()
	steadyInterval := max(reportInterval, time.Duration(len(c.engines))*reportIntervalPerEngine)
	pending := 0
	for _, e := range c.engines {
		if e.reportPending {
			pending++
		}
	}
	for id, entry := range listed {
		pool, ok := catalog.Services[entry.Service]
		if !ok || pool.Engine == nil {
			continue
		}
		e := c.engines[id]
		if e == nil || !e.entry.Born.Equal(entry.Born) || e.address != entry.Address || e.service != entry.Service {
			replacement := newEngine(entry)
			if e != nil {
				c.handleRestart(replacement, e.unansweredAt, now)
			}
			e = replacement
			c.engines[id] = e
		}
		e.entry = entry
		e.spec = pool.Engine
		interval := reportInterval
		if e.reported {
			interval = steadyInterval
		}
		if !e.reportPending && now.Sub(e.reportRequestedAt) >= interval && pending < maxConcurrentReports {
			pending++
			e.reportPending, e.reportRequestedAt = true, now
			c.wg.Go(func() { c.fetchReport(ctx, e) })
		}
	}
	for id := range c.engines {
		if _, ok := listed[id]; !ok {
			delete(c.engines, id)
		}
	}
}

// fetchReport requests a report from an engine and applies it.
func (c *Controller) fetchReport(ctx context.Context, e *engine) {
	r, err := c.cfg.Control.Report(ctx, e.address, e.id)
	c.mu.Lock()
	defer c.mu.Unlock()
	e.reportPending = false
	if err != nil {
		e.missedReports++
		c.cfg.Logger.Debug("engine report failed", "endpoint", e.id, "error", err)
		return
	}
	e.missedReports = 0
	c.applyReport(e, r)
}

// applyReport merges a report into the state of an engine, unless an order
// under way or sent since makes the report's contents outdated.
func (c *Controller) applyReport(e *engine, r tamarackknot.EngineReport) {
	now := time.Now()
	if !r.Born.IsZero() && !e.born.IsZero() && !r.Born.Equal(e.born) {
		c.cfg.Logger.Info("engine restarted", "endpoint", e.id, "born", r.Born)
		e.reset()
		c.handleRestart(e, e.unansweredAt, now)
	}
	if !r.Born.IsZero() {
		e.born = r.Born
	}
	stale := now.Sub(e.lastOrderAt) < staleReportWindow &&
		(e.reported && r.Sequence < e.sequence || r.Sequence < e.unansweredSequence || !e.executed.reflectedIn(r)) ||
		now.Sub(e.refusedAt) < 2*reportLag && r.Sequence == e.refusedSequence
	if now.Sub(e.lastOrderAt) < 2*reportLag || e.move != nil || e.pendingAdapterOrders > 0 || stale {
		if !e.reported {
			e.reportRequestedAt = now.Add(reportLag - reportInterval)
		}
		return
	}
	if r.Busy {
		// Another process's order is under way; the report omits what it loads.
		e.reported, e.reportRequestedAt = false, now.Add(busyReportDelay-reportInterval)
		return
	}
	if fence, _ := c.cfg.Lease.MayOrder(); fence < e.minFence {
		e.reported, e.reportRequestedAt = false, now.Add(busyReportDelay-reportInterval)
		return
	}
	if r.Sequence < e.unansweredSequence && now.Sub(e.unansweredAt) <= lateOrderWindow {
		// The sequence was assumed too high when the order was sent, so that the engine may
		// reach it while the order is still under way.
		c.cfg.Logger.Warn("unanswered order is ahead of the engine", "endpoint", e.id, "sequence", r.Sequence, "ordered", e.unansweredSequence)
		e.unansweredSequence = 0
		c.handleRestart(e, e.unansweredAt, now)
		e.reported, e.reportRequestedAt = false, now.Add(busyReportDelay-reportInterval)
		return
	}
	c.syncSequence(e, r)
	resumed := !e.reported
	e.sequence, e.reported = r.Sequence, true
	e.merge(r, now)
	if resumed {
		c.Replan()
	}
}

// syncSequence corrects by a report what is assumed of the sequences of engines.
func (c *Controller) syncSequence(e *engine, r tamarackknot.EngineReport) {
	x := &e.executed
	if r.Sequence != e.sequence && x.known {
		c.cfg.Logger.Info("engine counts other orders", "endpoint", e.id, "sequence", r.Sequence, "expected", e.sequence, "base", x.base,
			"loads", x.count[adapterLoaded], "evictions", x.count[adapterEvicted], "drained", x.count[adapterDrained], "others", x.others)
	}
	if c.sequencing.observe(x, r, e.sequence) {
		c.cfg.Logger.Info("sequences of engines assumed otherwise", "endpoint", e.id, "load", c.sequencing.steps[adapterLoaded],
			"evict", c.sequencing.steps[adapterEvicted], "drain", c.sequencing.steps[adapterDrained], "spaced", c.sequencing.spaced())
	}
	e.executed = executedOrders{base: r.Sequence, known: true}
}

// handleRestart handles the restart of an engine. An unanswered order to the
// old process may still reach the new one, whose sequence starts over and can
// match. Orders must therefore carry a higher fencing token or, if engines do
// not check tokens, wait until the old order has expired.
func (c *Controller) handleRestart(e *engine, unansweredAt, now time.Time) {
	if unansweredAt.IsZero() || now.Sub(unansweredAt) > lateOrderWindow {
		return
	}
	e.unansweredAt = unansweredAt
	if !c.cfg.FencingEnforced {
		e.pausedUntil = unansweredAt.Add(lateOrderWindow)
		return
	}
	fence, _ := c.cfg.Lease.MayOrder()
	e.minFence = fence + 1
	c.cfg.Lease.RaiseFence()
	c.cfg.Logger.Info("engine restarted while an order was unanswered", "endpoint", e.id, "fence", fence)
}

// syncDemand sums up the demand of all hosts.
func (c *Controller) syncDemand(now time.Time) {
	for _, e := range c.engines {
		clear(e.running)
	}
	for _, demand := range c.models {
		demand.state = ModelState{
			Rate: demand.state.Rate, Load: demand.state.Load, LastUsed: demand.state.LastUsed,
			Total: demand.persisted.Total, TightTotal: demand.persisted.TightTotal,
		}
		clear(demand.wantedAdapters)
	}
	d := c.cfg.Demand()
	for _, r := range d.Running {
		if e := c.engines[r.Endpoint]; e != nil {
			e.running[modelAdapter{r.Model, r.Adapter}] += r.Count
			if demand := c.models[modelKey{e.service, r.Model}]; demand != nil {
				demand.state.Running += r.Count
			}
		}
	}
	for i := range d.Models {
		w := &d.Models[i]
		c.demandFor(modelKey{w.Service, w.Model}).add(w)
	}
	for _, demand := range c.models {
		demand.updateAverages(now)
	}
}

// demandFor returns the demand for a model and creates it if needed.
func (c *Controller) demandFor(key modelKey) *modelDemand {
	d := c.models[key]
	if d == nil {
		d = &modelDemand{wantedAdapters: make(map[string]bool)}
		c.models[key] = d
	}
	return d
}

// add adds the demand that hosts report to what an earlier planner stored.
func (d *modelDemand) add(w *tamarackknot.ModelDemand) {
	s := &d.state
	s.Waiting, s.Tight, s.Objective, s.Deadline = w.Waiting, w.Tight, w.Objective, w.Deadline
	s.Total += w.Total
	s.TightTotal += w.TightTotal
	if w.LastUsed.After(s.LastUsed) {
		s.LastUsed = w.LastUsed
	}
	for _, a := range w.Adapters {
		d.wantedAdapters[a] = true
	}
}

// updateAverages updates the request rate and the load.
func (d *modelDemand) updateAverages(now time.Time) {
	if d.measuredAt.IsZero() {
		d.measuredAt, d.lastTotal = now, d.state.Total
		return
	}
	dt := now.Sub(d.measuredAt).Seconds()
	if dt <= 0 {
		return
	}
	grown := float64(max(d.state.Total-d.lastTotal, 0))
	weight := min(dt/rateTimeConstant.Seconds(), 1)
	d.state.Rate = d.state.Rate*(1-weight) + grown/dt*weight
	weight = min(dt/loadTimeConstant.Seconds(), 1)
	d.state.Load = d.state.Load*(1-weight) + float64(d.state.Running+d.state.Waiting)*weight
	d.measuredAt, d.lastTotal = now, d.state.Total
}

// serviceState collects the input of a decision for one service.
func (c *Controller) serviceState(service string, spec *tamarackknot.EngineSpec, now time.Time) ServiceState {
	s := ServiceState{Now: now, Service: service, Spec: spec, Models: c.states, ColdLimit: c.coldLimitOf(service)}
	clear(s.Models)
	for key, demand := range c.models {
		if key.service == service {
			s.Models[key.model] = demand.state
		}
	}
	var limited, leaving map[string]time.Time
	if c.cfg.Limited != nil {
		limited = c.cfg.Limited()
	}
	if c.cfg.Leaving != nil {
		leaving = c.cfg.Leaving()
	}
	for _, e := range c.engines {
		if e.service != service {
			continue
		}
		e.updateLoad(now)
		e.saysItLeaves = e.isStart(leaving)
		state := e.state(now)
		state.Limited = e.isStart(limited)
		s.Engines = append(s.Engines, state)
		if e.move != nil && e.move.Tier == tamarackknot.TierRemote {
			s.ColdLoads++
		}
	}
	slices.SortFunc(s.Engines, func(a, b EngineState) int { return cmp.Compare(a.ID, b.ID) })
	s.ColdBudget = c.coldBudget(spec, now)
	s.BusyShare = c.updateBusyShare(service, s.Engines, now)
	if s.Prefetch = now.Sub(c.prefetchedAt[service]) >= prefetchInterval; s.Prefetch {
		c.prefetchedAt[service] = now
	}
	return s
}

// updateBusyShare updates and returns the average share of a service's engines
// that have an order under way.
func (c *Controller) updateBusyShare(service string, engines []EngineState, now time.Time) float64 {
	busy := 0
	for _, e := range engines {
		if e.Loading != "" {
			busy++
		}
	}
	m := c.busyShares[service]
	weight := min(now.Sub(m.at).Seconds()/rateTimeConstant.Seconds(), 1)
	m.value = m.value*(1-weight) + float64(busy)/float64(max(len(engines), 1))*weight
	m.at = now
	c.busyShares[service] = m
	return m.value
}

// movingAverage is an exponential moving average of a value.
type movingAverage struct {
	value float64
	at    time.Time
}

// coldLimitOf returns how many loads from the weight store may run at once.
func (c *Controller) coldLimitOf(service string) int {
	if n, ok := c.coldLimit[service]; ok {
		return n
	}
	return initialColdLimit
}

// coldBudget returns how many loads from the weight store may start now without
// exceeding the permitted rate.
func (c *Controller) coldBudget(spec *tamarackknot.EngineSpec, now time.Time) int {
	c.coldStartTimes = slices.DeleteFunc(c.coldStartTimes, func(at time.Time) bool { return now.Sub(at) > c.cfg.LoadWindow })
	allowed := spec.LoadsPerSecond * c.cfg.LoadWindow.Seconds() * c.cfg.LoadFactor * loadRateShare
	return int(allowed) - len(c.coldStartTimes)
}

// observeColdLoad adjusts the limit of concurrent loads from the weight store
// by the time of a finished load. The limit is doubled until a load is slowed
// down, then set to the number of loads divided by the slowdown, and raised by
// one per load after that.
func (c *Controller) observeColdLoad(service string, elapsed, baseline time.Duration, concurrent int) {
	limit := c.coldLimitOf(service)
	ratio := elapsed.Seconds() / baseline.Seconds()
	switch {
	case ratio <= fullSpeedRatio && concurrent >= limit && !c.slowdownSeen[service]:
		limit = min(2*limit, maxColdLimit)
	case ratio <= fullSpeedRatio && concurrent >= limit:
		limit = min(limit+1, maxColdLimit)
	case ratio > slowdownRatio && concurrent >= limit:
		limit = max(int(float64(concurrent)/ratio+roundingOffset), 1)
		c.slowdownSeen[service] = true
	default:
		return
	}
	c.setColdLimit(service, limit, elapsed, baseline)
}

// observeSlowColdLoad lowers the limit when a load takes longer than an
// undisturbed one and has not finished yet.
func (c *Controller) observeSlowColdLoad(service string, elapsed, baseline time.Duration) {
	concurrent := 0
	for _, e := range c.engines {
		if e.service == service && e.move != nil && e.move.Tier == tamarackknot.TierRemote {
			concurrent++
		}
	}
	limit := max(int(float64(concurrent)*baseline.Seconds()/elapsed.Seconds()+roundingOffset), 1)
	if limit < c.coldLimitOf(service) {
		c.slowdownSeen[service] = true
		c.setColdLimit(service, limit, elapsed, baseline)
	}
}

func (c *Controller) setColdLimit(service string, limit int, elapsed, baseline time.Duration) {
	if limit == c.coldLimitOf(service) {
		return
	}
	c.coldLimit[service] = limit
	c.cfg.Logger.Info("limit of concurrent loads from the weight store changed", "service", service, "limit", limit, "took", elapsed, "alone", baseline)
}

// publish sends the contents of the engines and the forecasts to the hosts.
func (c *Controller) publish() {
	v := tamarackknot.FleetView{Planner: c.cfg.Host, Engines: make(map[string]tamarackknot.EngineView, len(c.engines))}
	for id, e := range c.engines {
		if e.contentsKnown {
			v.Engines[id] = tamarackknot.EngineView{Held: e.usableModels()}
		}
	}
	v.Forecasts = slices.Concat(c.forecasts, c.loadForecasts())
	c.cfg.Publish(v)
}

// loadForecasts returns forecasts for the models that are being loaded.
func (c *Controller) loadForecasts() []tamarackknot.ModelForecast {
	var out []tamarackknot.ModelForecast
	for _, e := range c.engines {
		if e.move != nil {
			out = append(out, tamarackknot.ModelForecast{Service: e.service, Model: e.move.Model, ReadyAt: e.freeAt})
		}
	}
	return out
}
