// Package planner decides which model engine holds which model and adapter,
// and gives the orders that make it so. Of all hosts only the holder of the
// lease plans.
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
	// planEvery is the pause between two routine decisions.
	planEvery = 50 * time.Millisecond
	// stepRest is the least pause between two decisions, in times of what the
	// last one took, so that they take at most a quarter of the planner's time
	// when the demand of many hosts comes in.
	stepRest = 3
	// idleEvery is the same on a host that does not plan.
	idleEvery = 250 * time.Millisecond
	// reportEvery is the least pause between two routine reports of an engine,
	// reportPerEngine the least for each engine: a report takes the planner about
	// 0.3 ms, of which many engines leave it no time.
	reportEvery     = 1500 * time.Millisecond
	reportPerEngine = 4 * time.Millisecond
	// maxReports bounds the reports that are awaited at once.
	maxReports = 256
	// busyReport is the pause before the next report of an engine that carries
	// out an order of another process.
	busyReport = 200 * time.Millisecond
	// lateOrderTime is how long an order without an answer may take to be
	// carried out.
	lateOrderTime = 15 * time.Second
	// reportLag is how old a report may be.
	reportLag = 120 * time.Millisecond
	// staleReport is how long after an order a report that does not count it yet
	// is taken for older than the order; they lag by some hundred ms.
	staleReport = 2 * time.Second
	// rateTime is the time over which the rate of requests is averaged.
	rateTime = 4 * time.Second
	// loadTime is the time over which the load of a model is averaged: shorter,
	// since a load of another copy takes a second or more.
	loadTime = 1500 * time.Millisecond
	// firstColdLimit is the number of loads from the weight store at once
	// until it is measured how many run at full speed.
	firstColdLimit = 2
	// maxColdLimit bounds what is tried.
	maxColdLimit = 16
	// fullSpeed and halfSpeed are how much longer than alone a load may take
	// for one more, or must take for one fewer, to run at once.
	fullSpeed = 1.1
	halfSpeed = 1.3
	// rounding rounds to the next whole number.
	rounding = 0.5
	// ceilingShare is the part of the allowed rate of loads that is used: some
	// may begin late.
	ceilingShare = 0.8
)

// Leaseholder says whether this host may order.
type Leaseholder interface {
	MayOrder() (fence int64, ok bool)
	// Refused notes that an engine has seen a higher fencing token.
	Refused(fence int64)
	// Raise has the fencing token raised soon.
	Raise()
}

// Config configures a Controller.
type Config struct {
	Host    string
	Lease   Leaseholder
	Held    func() bool
	Control tamarackknot.WeightControl
	// Store keeps the history of demand.
	Store   tamarackknot.Store
	Catalog func() *tamarackknot.Catalog
	// Endpoints returns the listed endpoints by id.
	Endpoints func() map[string]tamarackknot.EndpointEntry
	Demands   func() []tamarackknot.HostDemand
	Publish   func(v tamarackknot.FleetView, now bool)
	// Fenced says that engines refuse old fencing tokens.
	Fenced bool
	// LoadWindow and LoadFactor bound how many loads may begin.
	LoadWindow time.Duration
	LoadFactor float64
	Logger     *log.Logger
}

// Controller plans while its host holds the lease.
type Controller struct {
	cfg     Config
	kick    chan struct{}
	running sync.WaitGroup

	mu        sync.Mutex
	engines   map[string]*engine
	models    map[target]*modelHistory
	coldLimit map[string]int // by service
	// coldMeasured are the services whose limit was found by a slow load.
	coldMeasured map[string]bool
	pressure     map[string]mean
	starts       []time.Time // loads from the weight store within the window
	planning     bool
	savedAt      time.Time
}

type target struct{ service, model string }

type modelHistory struct {
	state ModelState
	// earlier are the counts that an earlier planner has written.
	earlier ModelState
	total   int64
	rateAt  time.Time
	wants   map[string]bool // adapters that requests wait for
}

// New returns a Controller.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:          cfg,
		kick:         make(chan struct{}, 1),
		engines:      make(map[string]*engine),
		models:       make(map[target]*modelHistory),
		coldLimit:    make(map[string]int),
		coldMeasured: make(map[string]bool),
		pressure:     make(map[string]mean),
	}
}

// Demanded has the next decision taken at once.
func (c *Controller) Demanded() {
	wait.Wake(c.kick)
}

// Run plans until ctx ends and waits for the orders under way.
func (c *Controller) Run(ctx context.Context) {
	defer c.running.Wait()
	for {
		every := idleEvery
		if c.cfg.Held() {
			every = planEvery
		}
		t := time.NewTimer(every)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		case <-c.kick:
		}
		t.Stop()
		took := c.step(ctx)
		if !wait.For(ctx, min(stepRest*took, idleEvery)) {
			return
		}
	}
}

// step takes a decision and returns what it took.
func (c *Controller) step(ctx context.Context) time.Duration {
	catalog := c.cfg.Catalog()
	if !c.cfg.Held() || catalog == nil {
		c.stop()
		return 0
	}
	if !c.planning {
		c.restore(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.planning {
		c.planning, c.savedAt = true, now
		c.cfg.Logger.Info("planning begins", "endpoints", len(c.cfg.Endpoints()))
	}
	if now.Sub(c.savedAt) >= saveEvery {
		c.savedAt = now
		c.running.Go(func() { c.runSave(ctx) })
	}
	c.syncEngines(ctx, catalog, now)
	c.syncDemand(now)
	_, mayOrder := c.cfg.Lease.MayOrder()
	var forecasts []tamarackknot.ModelForecast
	for name, pool := range catalog.Services {
		if pool.Engine == nil {
			continue
		}
		s := c.situation(name, pool.Engine, now)
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
	c.publish(forecasts, false)
	return time.Since(now)
}

// stop forgets what was planned: another host plans now.
func (c *Controller) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.planning {
		return
	}
	c.planning = false
	clear(c.engines)
	clear(c.models)
	c.cfg.Logger.Info("planning ends")
}

// syncEngines takes the list of endpoints and asks for reports that are due.
func (c *Controller) syncEngines(ctx context.Context, catalog *tamarackknot.Catalog, now time.Time) {
	listed := c.cfg.Endpoints()
	every := max(reportEvery, time.Duration(len(c.engines))*reportPerEngine)
	reporting := 0
	for _, e := range c.engines {
		if e.reporting {
			reporting++
		}
	}
	for id, entry := range listed {
		pool, ok := catalog.Services[entry.Service]
		if !ok || pool.Engine == nil {
			continue
		}
		e := c.engines[id]
		if e == nil || !e.entry.Born.Equal(entry.Born) || e.address != entry.Address || e.service != entry.Service {
			fresh := newEngine(entry)
			if e != nil {
				c.restarted(fresh, e.unansweredAt, now)
			}
			e = fresh
			c.engines[id] = e
		}
		e.entry = entry
		e.spec = pool.Engine
		pause := reportEvery
		if e.reported {
			pause = every
		}
		if !e.reporting && now.Sub(e.askedAt) >= pause && reporting < maxReports {
			reporting++
			e.reporting, e.askedAt = true, now
			c.running.Go(func() { c.runReport(ctx, e) })
		}
	}
	for id := range c.engines {
		if _, ok := listed[id]; !ok {
			delete(c.engines, id)
		}
	}
}

// runReport asks an engine for its report and takes it.
func (c *Controller) runReport(ctx context.Context, e *engine) {
	r, err := c.cfg.Control.Report(ctx, e.address, e.id)
	c.mu.Lock()
	defer c.mu.Unlock()
	e.reporting = false
	if err != nil {
		e.silent++
		c.cfg.Logger.Debug("engine did not report", "endpoint", e.id, "error", err)
		return
	}
	e.silent = 0
	c.take(e, r)
}

// take merges a report into what is known of an engine. What an order under
// way changes is left to the order.
func (c *Controller) take(e *engine, r tamarackknot.EngineReport) {
	now := time.Now()
	if !r.Born.IsZero() && !e.born.IsZero() && !r.Born.Equal(e.born) {
		c.cfg.Logger.Info("engine has started again", "endpoint", e.id, "born", r.Born)
		e.reset()
		c.restarted(e, e.unansweredAt, now)
	}
	if !r.Born.IsZero() {
		e.born = r.Born
	}
	stale := e.reported && r.Sequence < e.sequence && now.Sub(e.orderedAt) < staleReport
	if now.Sub(e.orderedAt) < 2*reportLag || e.move != nil || e.adapterOrders > 0 || stale {
		if !e.reported {
			e.askedAt = now.Add(reportLag - reportEvery)
		}
		return
	}
	if r.Busy {
		// An order of another process is under way; what it loads is not listed.
		e.reported, e.askedAt = false, now.Add(busyReport-reportEvery)
		return
	}
	if fence, _ := c.cfg.Lease.MayOrder(); fence < e.leastFence {
		e.reported, e.askedAt = false, now.Add(busyReport-reportEvery)
		return
	}
	e.sequence, e.reported = r.Sequence, true
	e.merge(r, now)
}

// restarted notes that an engine has started again. An order to the process
// before that got no answer may still reach this one, whose sequence begins
// anew and may come to match; so the engine gets orders under a higher fencing
// token only, or, if it does not check tokens, when such orders have expired.
func (c *Controller) restarted(e *engine, unansweredAt, now time.Time) {
	if unansweredAt.IsZero() || now.Sub(unansweredAt) > lateOrderTime {
		return
	}
	e.unansweredAt = unansweredAt
	if !c.cfg.Fenced {
		e.pausedUntil = unansweredAt.Add(lateOrderTime)
		return
	}
	fence, _ := c.cfg.Lease.MayOrder()
	e.leastFence = fence + 1
	c.cfg.Lease.Raise()
	c.cfg.Logger.Info("engine has started again while an order was unanswered", "endpoint", e.id, "fence", fence)
}

// syncDemand sums up the demand of the hosts.
func (c *Controller) syncDemand(now time.Time) {
	for _, e := range c.engines {
		clear(e.running)
	}
	for _, h := range c.models {
		h.state = ModelState{
			Rate: h.state.Rate, Load: h.state.Load, LastUsed: h.state.LastUsed,
			Total: h.earlier.Total, TightTotal: h.earlier.TightTotal,
		}
		clear(h.wants)
	}
	for _, d := range c.cfg.Demands() {
		for _, r := range d.Running {
			if e := c.engines[r.Endpoint]; e != nil {
				e.running[runKey{r.Model, r.Adapter}] += r.Count
				if h := c.models[target{e.service, r.Model}]; h != nil {
					h.state.Running += r.Count
				}
			}
		}
		for _, w := range d.Wants {
			c.model(target{w.Service, w.Model}).add(w)
		}
	}
	for _, h := range c.models {
		h.measure(now)
	}
}

func (c *Controller) model(t target) *modelHistory {
	h := c.models[t]
	if h == nil {
		h = &modelHistory{wants: make(map[string]bool)}
		c.models[t] = h
	}
	return h
}

func (h *modelHistory) add(w tamarackknot.ModelWant) {
	s := &h.state
	if w.Waiting > 0 {
		if s.Waiting == 0 || w.Objective.Before(s.Objective) {
			s.Objective = w.Objective
		}
		if s.Waiting == 0 || w.Deadline.Before(s.Deadline) {
			s.Deadline = w.Deadline
		}
	}
	s.Waiting += w.Waiting
	s.Tight += w.Tight
	s.Total += w.Total
	s.TightTotal += w.TightTotal
	if w.LastUsed.After(s.LastUsed) {
		s.LastUsed = w.LastUsed
	}
	for _, a := range w.Adapters {
		h.wants[a] = true
	}
}

// measure updates the rate from the growth of the total.
func (h *modelHistory) measure(now time.Time) {
	if h.rateAt.IsZero() {
		h.rateAt, h.total = now, h.state.Total
		return
	}
	dt := now.Sub(h.rateAt).Seconds()
	if dt <= 0 {
		return
	}
	grown := float64(max(h.state.Total-h.total, 0))
	weight := min(dt/rateTime.Seconds(), 1)
	h.state.Rate = h.state.Rate*(1-weight) + grown/dt*weight
	weight = min(dt/loadTime.Seconds(), 1)
	h.state.Load = h.state.Load*(1-weight) + float64(h.state.Running+h.state.Waiting)*weight
	h.rateAt, h.total = now, h.state.Total
}

func (c *Controller) situation(service string, spec *tamarackknot.EngineSpec, now time.Time) Situation {
	s := Situation{Now: now, Service: service, Spec: spec, Models: make(map[string]ModelState), ColdLimit: c.limit(service)}
	for t, h := range c.models {
		if t.service == service {
			s.Models[t.model] = h.state
		}
	}
	for _, e := range c.engines {
		if e.service != service {
			continue
		}
		e.average(now)
		s.Engines = append(s.Engines, e.state(now))
		if e.move != nil && e.move.Tier == tamarackknot.TierRemote {
			s.Cold++
		}
	}
	slices.SortFunc(s.Engines, func(a, b EngineState) int { return cmp.Compare(a.ID, b.ID) })
	s.ColdStarts = c.startsLeft(spec, now)
	s.Pressure = c.pressureOf(service, s.Engines, now)
	return s
}

// pressureOf averages the share of a service's engines that carry out orders.
func (c *Controller) pressureOf(service string, engines []EngineState, now time.Time) float64 {
	busy := 0
	for _, e := range engines {
		if e.Loading != "" {
			busy++
		}
	}
	m := c.pressure[service]
	weight := min(now.Sub(m.at).Seconds()/rateTime.Seconds(), 1)
	m.value = m.value*(1-weight) + float64(busy)/float64(max(len(engines), 1))*weight
	m.at = now
	c.pressure[service] = m
	return m.value
}

// mean is a value averaged over time.
type mean struct {
	value float64
	at    time.Time
}

func (c *Controller) limit(service string) int {
	if n, ok := c.coldLimit[service]; ok {
		return n
	}
	return firstColdLimit
}

// startsLeft is how many loads from the weight store may begin now.
func (c *Controller) startsLeft(spec *tamarackknot.EngineSpec, now time.Time) int {
	c.starts = slices.DeleteFunc(c.starts, func(at time.Time) bool { return now.Sub(at) > c.cfg.LoadWindow })
	allowed := spec.LoadsPerSecond * c.cfg.LoadWindow.Seconds() * c.cfg.LoadFactor * ceilingShare
	return int(allowed) - len(c.starts)
}

// coldLoaded learns from a finished load how many run at full speed at once:
// twice as many are tried until one takes longer, then as many as its time
// speaks for.
func (c *Controller) coldLoaded(service string, took, alone time.Duration, atOnce int) {
	limit := c.limit(service)
	ratio := took.Seconds() / alone.Seconds()
	switch {
	case ratio <= fullSpeed && atOnce >= limit && !c.coldMeasured[service]:
		limit = min(2*limit, maxColdLimit)
	case ratio <= fullSpeed && atOnce >= limit:
		limit = min(limit+1, maxColdLimit)
	case ratio > halfSpeed && atOnce >= limit:
		limit = max(int(float64(atOnce)/ratio+rounding), 1)
		c.coldMeasured[service] = true
	default:
		return
	}
	c.setLimit(service, limit, took, alone)
}

// coldSlow notes a load that takes longer than alone and has not ended yet.
func (c *Controller) coldSlow(service string, took, alone time.Duration) {
	atOnce := 0
	for _, e := range c.engines {
		if e.service == service && e.move != nil && e.move.Tier == tamarackknot.TierRemote {
			atOnce++
		}
	}
	limit := max(int(float64(atOnce)*alone.Seconds()/took.Seconds()+rounding), 1)
	if limit < c.limit(service) {
		c.coldMeasured[service] = true
		c.setLimit(service, limit, took, alone)
	}
}

func (c *Controller) setLimit(service string, limit int, took, alone time.Duration) {
	if limit == c.limit(service) {
		return
	}
	c.coldLimit[service] = limit
	c.cfg.Logger.Info("loads at once from the weight store", "service", service, "limit", limit, "took", took, "alone", alone)
}

// publish tells the hosts what the engines hold.
func (c *Controller) publish(forecasts []tamarackknot.ModelForecast, now bool) {
	v := tamarackknot.FleetView{Planner: c.cfg.Host, Engines: make(map[string]tamarackknot.EngineView, len(c.engines))}
	for id, e := range c.engines {
		if e.known {
			v.Engines[id] = tamarackknot.EngineView{Held: e.usable()}
		}
	}
	v.Forecasts = slices.Concat(forecasts, c.loading())
	c.cfg.Publish(v, now)
}

// loading forecasts the models whose loads are under way.
func (c *Controller) loading() []tamarackknot.ModelForecast {
	var out []tamarackknot.ModelForecast
	for _, e := range c.engines {
		if e.move != nil {
			out = append(out, tamarackknot.ModelForecast{Service: e.service, Model: e.move.Load, ReadyAt: e.freeAt})
		}
	}
	return out
}
