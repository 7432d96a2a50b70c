package planner

import (
	"context"
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// pollInterval is the pause between two report requests while waiting for
	// an order to complete.
	pollInterval = 60 * time.Millisecond
	// remotePollInterval is the same for a load from the weight store.
	remotePollInterval = 150 * time.Millisecond
	// orderTimeoutMargin is how much longer than 1.5 times its expected time a
	// load from disk or memory is awaited, and how long an adapter counts as
	// loading without a report of it.
	orderTimeoutMargin = 3 * time.Second
	// adapterEvictTimeout limits the wait for the eviction of an adapter, which
	// takes until its last running request has ended.
	adapterEvictTimeout = 3 * time.Second
	// failedMoveBackoff is how long an engine gets no moves after one has
	// failed.
	failedMoveBackoff = 500 * time.Millisecond
	// maxOrderAttempts is how often an order is sent while it gets no answer.
	maxOrderAttempts = 3
	// loadDoneMargin is how long after its expected end a load from disk or
	// memory is assumed to be complete, before a report confirms it.
	loadDoneMargin = 15 * time.Millisecond
	// busyRetryDelay is the pause before an order is sent again after it found
	// an eviction under way, maxBusyRetries how often.
	busyRetryDelay = 15 * time.Millisecond
	maxBusyRetries = 8
	// adapterLoadTime is the assumed time until an engine serves an adapter
	// being loaded. A request that arrives earlier is declined and sent again.
	adapterLoadTime = 30 * time.Millisecond
	// maxPendingAdapters is the number of adapters an engine may be loading at
	// once.
	maxPendingAdapters = 4
)

// startMove starts a move. The caller must hold mu.
func (c *Controller) startMove(ctx context.Context, spec *tamarackknot.EngineSpec, m Move, now time.Time) {
	e := c.engines[m.Engine]
	if e == nil || e.move != nil {
		return
	}
	model := spec.Models[m.Model]
	e.move = &m
	e.freeAt = now.Add(model.LoadTime(m.Tier))
	concurrent := 1
	if m.Tier == tamarackknot.TierRemote {
		c.coldStartTimes = append(c.coldStartTimes, now)
		e.coldLoads++
		for _, other := range c.engines {
			if other != e && other.move != nil && other.move.Tier == tamarackknot.TierRemote {
				concurrent++
			}
		}
	}
	for _, victim := range m.Evict {
		if h := e.held[victim]; h != nil {
			h.evicting = true
		}
	}
	c.cfg.Logger.Info("move", "endpoint", m.Engine, "load", m.Model, "tier", m.Tier, "evict", m.Evict,
		"prefetch", m.Prefetch, "waiting", c.waitingFor(e.service, m.Model), "coldAtOnce", concurrent)
	c.wg.Go(func() { c.runMove(ctx, e, m, model, concurrent) })
}

// waitingFor returns the number of requests that wait for a model. The caller
// must hold mu.
func (c *Controller) waitingFor(service, model string) int {
	if demand := c.models[modelKey{service, model}]; demand != nil {
		return demand.state.Waiting
	}
	return 0
}

// runMove executes a move: the evictions, then the load.
func (c *Controller) runMove(ctx context.Context, e *engine, m Move, model tamarackknot.HostedModel, concurrent int) {
	started := time.Now()
	ok := true
	for _, victim := range m.Evict {
		ok = ok && c.evict(ctx, e, victim)
	}
	step := "evict"
	if ok {
		step = "load"
		ok = c.load(ctx, e, m, model)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e.move, e.freeAt = nil, time.Time{}
	for _, victim := range m.Evict {
		if h := e.held[victim]; h != nil {
			h.evicting = false
		}
	}
	elapsed := time.Since(started)
	if ok && m.Tier == tamarackknot.TierRemote {
		c.observeColdLoad(e.service, elapsed, model.LoadRemote, concurrent)
	}
	if !ok {
		e.reported, e.reportRequestedAt = false, time.Time{}
		e.pausedUntil = time.Now().Add(failedMoveBackoff)
	}
	c.cfg.Logger.Info("move ended", "endpoint", m.Engine, "load", m.Model, "tier", m.Tier, "ok", ok, "step", step, "took", elapsed)
	c.publish()
	c.Replan()
}

// evict evicts a model and reports whether the engine accepted the order.
func (c *Controller) evict(ctx context.Context, e *engine, model string) bool {
	if !succeeded(c.order(ctx, e, tamarackknot.WeightOrder{Kind: tamarackknot.WeightEvict, Model: model})) {
		return false
	}
	// The next order finds the engine busy until the eviction has ended.
	c.mu.Lock()
	delete(e.held, model)
	c.mu.Unlock()
	return true
}

// load loads a model and reports whether it completed.
func (c *Controller) load(ctx context.Context, e *engine, m Move, model tamarackknot.HostedModel) bool {
	if !succeeded(c.order(ctx, e, tamarackknot.WeightOrder{Kind: tamarackknot.WeightLoad, Model: m.Model})) {
		return false
	}
	expected := model.LoadTime(m.Tier)
	c.mu.Lock()
	e.freeAt = time.Now().Add(expected)
	c.mu.Unlock()
	if !wait.For(ctx, expected) {
		return false
	}
	// A load from disk or memory takes its expected time, so that the model is
	// published before a report confirms it; requests that arrive too early are
	// declined. A load from the weight store takes longer while others run.
	markedHeld := m.Tier != tamarackknot.TierRemote && wait.For(ctx, loadDoneMargin)
	if markedHeld {
		c.markHeld(e, m.Model)
	}
	ok := c.awaitLoad(ctx, e, m, model)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case ok:
		e.recordLoad(m.Model)
		if !markedHeld {
			e.held[m.Model] = &heldModel{loadedAt: time.Now(), adapters: make(map[string]*heldAdapter)}
		}
	case markedHeld:
		delete(e.held, m.Model)
	}
	return ok
}

// awaitLoad waits until a load has ended. A load from the weight store takes
// longer while others run and is awaited for as long as the engine is busy.
func (c *Controller) awaitLoad(ctx context.Context, e *engine, m Move, model tamarackknot.HostedModel) bool {
	loaded := func(r tamarackknot.EngineReport) bool { return reportHolds(r, m.Model) }
	expected := model.LoadTime(m.Tier)
	if m.Tier != tamarackknot.TierRemote {
		// An earlier report can't show the model yet.
		if !wait.For(ctx, reportLag) {
			return false
		}
		return c.awaitReport(ctx, e, pollInterval, time.Now().Add(expected/2+orderTimeoutMargin), loaded)
	}
	started := time.Now().Add(-expected)
	for {
		busy := false
		deadline := time.Now().Add(orderTimeoutMargin)
		ok := c.awaitReport(ctx, e, remotePollInterval, deadline, func(r tamarackknot.EngineReport) bool {
			busy = r.Busy
			return loaded(r)
		})
		elapsed := time.Since(started)
		if ok || !busy || ctx.Err() != nil {
			return ok
		}
		c.mu.Lock()
		e.freeAt = time.Now().Add(expected)
		c.observeSlowColdLoad(e.service, elapsed, expected)
		c.mu.Unlock()
	}
}

// markHeld records that an engine holds a model and publishes it.
func (c *Controller) markHeld(e *engine, model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.held[model] = &heldModel{loadedAt: time.Now(), adapters: make(map[string]*heldAdapter)}
	c.publish()
}

func reportHolds(r tamarackknot.EngineReport, model string) bool {
	for _, h := range r.Held {
		if h.Name == model {
			return true
		}
	}
	return false
}

// succeeded reports whether the engine executes the order or already holds its
// result.
func succeeded(o tamarackknot.WeightOutcome) bool {
	return o == tamarackknot.WeightAccepted || o == tamarackknot.WeightHolds
}

// awaitReport polls the engine's reports until one satisfies ok. It returns
// false after the deadline or a restart of the engine.
func (c *Controller) awaitReport(ctx context.Context, e *engine, interval time.Duration, deadline time.Time, ok func(tamarackknot.EngineReport) bool) bool {
	for time.Now().Before(deadline) {
		r, err := c.cfg.Control.Report(ctx, e.address, e.id)
		if err == nil {
			c.mu.Lock()
			restarted := !r.Born.IsZero() && !e.born.IsZero() && !r.Born.Equal(e.born)
			c.mu.Unlock()
			if restarted {
				return false
			}
			if ok(r) {
				c.updateCached(e, r)
				return true
			}
		}
		if !wait.For(ctx, interval) {
			return false
		}
	}
	return false
}

// updateCached updates the cached models of an engine from a report.
func (c *Controller) updateCached(e *engine, r tamarackknot.EngineReport) {
	if r.InMemory == nil && r.OnDisk == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e.setCached(r)
}

// order sends an order while this host holds the lease. The order carries the
// sequence of the report that the plan is based on, so that the engine declines
// it after any other order. An unanswered order is sent again with the same
// sequence: the engine executes only the one that arrives first. After any
// other failure the engine must report again.
func (c *Controller) order(ctx context.Context, e *engine, o tamarackknot.WeightOrder) tamarackknot.WeightOutcome {
	select {
	case e.ordering <- struct{}{}:
		defer func() { <-e.ordering }()
	case <-ctx.Done():
		return tamarackknot.WeightUnknown
	}
	outcome := tamarackknot.WeightUnknown
	c.mu.Lock()
	pause := c.sequencing.untilLoaded(e.adapterOrderedAt, time.Now())
	c.mu.Unlock()
	if !wait.For(ctx, pause) {
		return outcome
	}
	unanswered, busy := 0, 0
	for unanswered < maxOrderAttempts {
		fence, ended, ok := c.cfg.Lease.BeginOrder()
		if !ok {
			return tamarackknot.WeightUnknown
		}
		c.mu.Lock()
		// After a restart the engine has a new entry in c.engines.
		ok = c.engines[e.id] == e && e.reported && fence >= e.minFence
		o.Sequence, o.Owner, o.Fence, o.Endpoint = e.sequence, c.cfg.Host, fence, e.id
		address, previousAt := e.address, e.lastOrderAt
		if ok {
			e.lastOrderAt = time.Now()
		}
		c.mu.Unlock()
		if !ok {
			ended()
			return tamarackknot.WeightUnknown
		}
		outcome = c.cfg.Control.Order(ctx, address, o)
		ended()
		c.cfg.Logger.Debug("order", "endpoint", o.Endpoint, "kind", o.Kind, "model", o.Model, "adapter", o.Adapter,
			"sequence", o.Sequence, "fence", fence, "outcome", outcome)
		evicting := c.recordOrder(e, o, outcome, previousAt)
		switch {
		case outcome == tamarackknot.WeightUnknown && ctx.Err() == nil:
			unanswered++
			continue
		case outcome == tamarackknot.WeightConflict && evicting && busy < maxBusyRetries:
			// The previous eviction may still be under way.
			busy++
			if wait.For(ctx, busyRetryDelay) {
				continue
			}
		case outcome == tamarackknot.WeightFenced:
			c.cfg.Lease.HandleFenced(fence)
		}
		break
	}
	if !succeeded(outcome) {
		c.mu.Lock()
		e.reported, e.reportRequestedAt = false, time.Time{}
		c.mu.Unlock()
		c.Replan()
		c.cfg.Logger.Warn("order failed", "endpoint", e.id, "kind", o.Kind, "model", o.Model, "adapter", o.Adapter, "outcome", outcome)
	}
	return outcome
}

// recordOrder records the outcome of an order; the one before was sent at previousAt. It
// reports whether a move is under way.
func (c *Controller) recordOrder(e *engine, o tamarackknot.WeightOrder, outcome tamarackknot.WeightOutcome, previousAt time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.lastOrderAt = time.Now()
	e.sequence += c.sequencing.step(o, outcome)
	e.executed.record(o, outcome)
	switch {
	case outcome == tamarackknot.WeightUnknown:
		e.unansweredAt, e.unansweredSequence = e.lastOrderAt, max(e.unansweredSequence, o.Sequence)
		e.keepSlot(o)
	case outcome == tamarackknot.WeightConflict:
		// A refused order has changed nothing that a report could miss.
		e.refusedAt, e.refusedSequence = e.lastOrderAt, o.Sequence
		e.lastOrderAt = previousAt
	case o.Adapter != "" && o.Kind == tamarackknot.WeightLoad:
		e.adapterOrderedAt = e.lastOrderAt
	}
	return e.move != nil
}

// keepSlot keeps the slot of an adapter whose load got no answer.
func (e *engine) keepSlot(o tamarackknot.WeightOrder) {
	h := e.held[o.Model]
	if o.Kind != tamarackknot.WeightLoad || o.Adapter == "" || h == nil || h.adapters[o.Adapter] == nil {
		return
	}
	a := h.adapters[o.Adapter]
	a.lateUntil, a.lateSequence = e.lastOrderAt.Add(lateOrderWindow), max(a.lateSequence, o.Sequence)
}

// planAdapters starts the loads of adapters that requests wait for. The caller
// must hold mu.
func (c *Controller) planAdapters(ctx context.Context, service string, spec *tamarackknot.EngineSpec, now time.Time) {
	for key, demand := range c.models {
		if key.service != service {
			continue
		}
		for adapter := range demand.wantedAdapters {
			if e, evict, ok := c.chooseAdapterEngine(spec, key, adapter, now); ok {
				c.startAdapterLoad(ctx, e, key.model, adapter, evict, now)
			}
		}
	}
}

// adapterVictim is an adapter to evict for another one; the zero value is none.
type adapterVictim struct{ model, adapter string }

// chooseAdapterEngine chooses the engine for an adapter: the least loaded one
// that holds the model and has a free slot, or else an idle adapter to evict.
// It returns false without a suitable engine, or if an engine holds or loads
// the adapter.
func (c *Controller) chooseAdapterEngine(spec *tamarackknot.EngineSpec, key modelKey, adapter string, now time.Time) (*engine, adapterVictim, bool) {
	var best *engine
	var bestVictim adapterVictim
	bestLoad := 0
	for _, e := range c.engines {
		h := e.held[key.model]
		if e.service != key.service || h == nil || h.evicting {
			continue
		}
		if a := h.adapters[adapter]; a != nil && !a.unanswered(now) {
			a.usedAt = now
			return nil, adapterVictim{}, false
		}
		if e.draining() || !e.reported || e.move != nil || now.Before(e.pausedUntil) || e.missedReports >= maxMissedReports || e.pendingAdapters(now) >= maxPendingAdapters {
			continue
		}
		victim, ok := e.findAdapterSlot(spec, now)
		if !ok {
			continue
		}
		load := 0
		for _, n := range e.running {
			load += n
		}
		// Engines with a free slot are preferred to those that must evict.
		if victim.adapter != "" {
			load += spec.Slots
		}
		if best == nil || load < bestLoad {
			best, bestVictim, bestLoad = e, victim, load
		}
	}
	return best, bestVictim, best != nil
}

// pendingAdapters returns the number of adapters being loaded.
func (e *engine) pendingAdapters(now time.Time) int {
	n := 0
	for _, h := range e.held {
		for _, a := range h.adapters {
			if now.Before(a.usableAt) && !a.unanswered(now) {
				n++
			}
		}
	}
	return n
}

// findAdapterSlot returns the adapter to evict, none if a slot is free, and
// whether an adapter can be loaded at all.
func (e *engine) findAdapterSlot(spec *tamarackknot.EngineSpec, now time.Time) (adapterVictim, bool) {
	if e.adapterCount() < spec.AdapterSlots {
		return adapterVictim{}, true
	}
	var victim adapterVictim
	var oldest time.Time
	for model, h := range e.held {
		for name, a := range h.adapters {
			if a.evicting || now.Before(a.usableAt) || now.Sub(a.usedAt) < minResidentTime {
				continue
			}
			if victim.adapter == "" || a.usedAt.Before(oldest) {
				victim, oldest = adapterVictim{model, name}, a.usedAt
			}
		}
	}
	return victim, victim.adapter != ""
}

// startAdapterLoad starts the load of an adapter. The caller must hold mu.
func (c *Controller) startAdapterLoad(ctx context.Context, e *engine, model, adapter string, evict adapterVictim, now time.Time) {
	if evict.adapter != "" {
		e.held[evict.model].adapters[evict.adapter].evicting = true
	}
	// The slot is reserved now and becomes usable when the load completes. An earlier load
	// that got no answer is of the same adapter and takes the same slot.
	a := &heldAdapter{usableAt: now.Add(orderTimeoutMargin), usedAt: now}
	if late := e.held[model].adapters[adapter]; late != nil {
		a.lateUntil, a.lateSequence = late.lateUntil, late.lateSequence
	}
	e.held[model].adapters[adapter] = a
	e.pendingAdapterOrders++
	c.wg.Go(func() { c.runAdapterLoad(ctx, e, model, adapter, evict) })
}

// runAdapterLoad evicts an adapter if necessary, then loads the other one.
func (c *Controller) runAdapterLoad(ctx context.Context, e *engine, model, adapter string, evict adapterVictim) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		e.pendingAdapterOrders--
	}()
	ok := true
	if evict.adapter != "" {
		outcome := c.order(ctx, e, tamarackknot.WeightOrder{Kind: tamarackknot.WeightEvict, Model: evict.model, Adapter: evict.adapter})
		ok = outcome == tamarackknot.WeightHolds
		if outcome == tamarackknot.WeightAccepted {
			ok = c.awaitReport(ctx, e, pollInterval, time.Now().Add(adapterEvictTimeout), func(r tamarackknot.EngineReport) bool {
				return !reportHoldsAdapter(r, evict.model, evict.adapter)
			})
		}
	}
	evicted := ok && evict.adapter != ""
	if ok {
		ok = succeeded(c.order(ctx, e, tamarackknot.WeightOrder{Kind: tamarackknot.WeightLoad, Model: model, Adapter: adapter}))
	}
	if ok && !wait.For(ctx, adapterLoadTime) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := e.held[evict.model]; h != nil && evict.adapter != "" {
		if evicted {
			// Also if the other one is not loaded: requests for it would be declined.
			delete(h.adapters, evict.adapter)
		} else if a := h.adapters[evict.adapter]; a != nil {
			a.evicting = false
		}
	}
	h := e.held[model]
	if h == nil {
		return
	}
	if !ok {
		if a := h.adapters[adapter]; a != nil && time.Now().Before(a.lateUntil) {
			a.usableAt = a.lateUntil.Add(lateOrderWindow) // unless a report shows it before
		} else {
			delete(h.adapters, adapter)
		}
		c.Replan()
		return
	}
	now := time.Now()
	h.adapters[adapter] = &heldAdapter{usableAt: now, usedAt: now}
	c.publish()
}

func reportHoldsAdapter(r tamarackknot.EngineReport, model, adapter string) bool {
	for _, h := range r.Held {
		if h.Name != model {
			continue
		}
		for _, a := range h.Adapters {
			if a == adapter {
				return true
			}
		}
	}
	return false
}
