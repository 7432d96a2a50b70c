package placement

import (
	"context"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	minRetry = 500 * time.Millisecond
	maxRetry = 10 * time.Second

	reasonAbsent = "endpoint reports that the replica is absent"
)

// work is what this process does about one replica whose issuer it is.
type work struct {
	fence tamarackknot.Offset
	state tamarackknot.ReplicaState
	// served is set if the replica was loaded before this process unloads it,
	// so that requests may run there.
	served bool
	since  time.Time
	// sent is set once an order for this replica may have been sent, by this
	// process or an earlier issuer.
	sent bool
	// giveUp is set if the load is no longer wanted and must be undone.
	giveUp bool
	// taking is set once a takeover was proposed.
	taking bool
	// inherited is set if an earlier issuer may have sent orders.
	inherited   bool
	lastUnknown time.Time
	result      *tamarackknot.OrderResult
	// busy counts the orders and proposals outstanding. There can be several:
	// a claim may follow a release whose outcome the loop has not taken yet.
	busy    int
	nextTry time.Time
	retries int
}

func (w *work) retryLater(now time.Time) {
	w.nextTry = now.Add(min(maxRetry, minRetry<<min(w.retries, 10)))
	w.retries++
}

// settled reports whether no earlier order of this process can take effect any
// more, or the endpoint would reject it.
func (w *work) settled(fencing bool, now time.Time) bool {
	return fencing || w.lastUnknown.IsZero() || !now.Before(w.lastUnknown.Add(orderSettleTime))
}

// reconcile takes the next step for each replica that is not settled.
func (c *Controller) reconcile(ctx context.Context, now time.Time, draining bool) {
	for _, endpoint := range c.mirror.names {
		replicas, res := c.mirror.replicas[endpoint], c.mirror.endpoints[endpoint]
		if len(replicas) == 0 {
			continue
		}
		gone := c.hostGone(endpoint, res.Endpoint.Address, now)
		for _, r := range replicas {
			key := replicaKey{r.Target, r.Endpoint}
			switch {
			// A newer claim shows that another host sees the endpoint again.
			case gone && now.After(r.Since.Add(orderSettleTime)) && !draining && c.planners[res.Endpoint.Deployment] != nil:
				c.releaseLost(ctx, key, r, "host list dropped the endpoint", now)
			case r.State == tamarackknot.ReplicaLoaded:
				c.checkLoaded(ctx, key, r, res, now, draining)
			case c.mine(r):
				c.continueWork(ctx, key, r, res, now, draining)
			case !draining && c.planners[res.Endpoint.Deployment] != nil:
				c.takeOver(ctx, key, r, res, now)
			}
		}
	}
	for key, w := range c.work {
		if w.busy == 0 && !c.reserved(key) {
			delete(c.work, key)
		}
	}
}

func (c *Controller) reserved(key replicaKey) bool {
	return slices.ContainsFunc(c.mirror.replicas[key.endpoint], func(r tamarackknot.Replica) bool { return r.Target == key.target })
}

func (c *Controller) mine(r tamarackknot.Replica) bool {
	return r.Issuer == c.self.Host && r.Incarnation == c.self.Incarnation
}

// hostGone reports whether the host list dropped an endpoint for the settle
// time. The list lags, so an endpoint that still reports is not gone.
func (c *Controller) hostGone(endpoint, address string, now time.Time) bool {
	since := c.hosts.droppedSince(endpoint, address)
	if since.IsZero() || now.Before(since.Add(orderSettleTime)) {
		return false
	}
	r, ok := c.cfg.Reports.Report(endpoint)
	return !ok || now.Sub(r.Time) >= orderSettleTime
}

func (c *Controller) workOn(key replicaKey) *work {
	w := c.work[key]
	if w == nil {
		w = &work{}
		c.work[key] = w
	}
	return w
}

// releaseLost frees the reservation of a replica that no longer exists.
func (c *Controller) releaseLost(ctx context.Context, key replicaKey, r tamarackknot.Replica, reason string, now time.Time) {
	w := c.workOn(key)
	if w.busy > 0 && r.State == tamarackknot.ReplicaLoaded || now.Before(w.nextTry) {
		return
	}
	w.retryLater(now)
	c.cfg.Log.Info("placement decision", "action", "release", "target", key.target, "endpoint", key.endpoint, "reason", reason)
	c.propose(ctx, key, tamarackknot.Change{Release: change(r)}, nil)
}

func change(r tamarackknot.Replica) *tamarackknot.ReplicaChange {
	return &tamarackknot.ReplicaChange{Target: r.Target, Endpoint: r.Endpoint, Fence: r.Fence}
}

// checkLoaded releases a loaded replica that its endpoint no longer has.
func (c *Controller) checkLoaded(ctx context.Context, key replicaKey, r tamarackknot.Replica, res *tamarackknot.Resource, now time.Time, draining bool) {
	if w := c.work[key]; w != nil && w.state != "" && w.busy == 0 {
		delete(c.work, key)
	}
	a, absent := c.absent[key]
	settled := a.since.Add(orderSettleTime)
	if !absent || a.fence != r.Fence || draining || now.Before(settled) || c.planners[res.Endpoint.Deployment] == nil {
		return
	}
	report, ok := c.cfg.Reports.Report(key.endpoint)
	if !ok || report.Time.Before(settled) || shows(report, r.Target) {
		return
	}
	if res.Endpoint.Fencing {
		// The unload order makes the engine reject delayed loads.
		if w := c.workOn(key); w.busy == 0 && !now.Before(w.nextTry) {
			c.cfg.Log.Info("placement decision", "action", string(ActionUnload), "target", key.target,
				"endpoint", key.endpoint, "reason", reasonAbsent)
			c.proposeWork(ctx, key, w, tamarackknot.Change{Unload: change(r)}, now)
		}
		return
	}
	c.releaseLost(ctx, key, r, reasonAbsent, now)
}

// takeOver makes this process the issuer of a replica whose issuer is gone.
func (c *Controller) takeOver(ctx context.Context, key replicaKey, r tamarackknot.Replica, res *tamarackknot.Resource, now time.Time) {
	since, ended := c.issuerEnded(r)
	fencing := res.Endpoint.Fencing
	if !ended && (!fencing || !c.issuerDead(r)) {
		return
	}
	if !fencing {
		settled := since.Add(orderSettleTime)
		report, ok := c.cfg.Reports.Report(key.endpoint)
		if now.Before(settled) || !ok || report.Time.Before(settled) {
			return
		}
	}
	w := c.workOn(key)
	if w.busy > 0 || now.Before(w.nextTry) {
		return
	}
	w.retryLater(now)
	w.taking = true
	c.cfg.Log.Info("placement decision", "action", "takeover", "target", key.target, "endpoint", key.endpoint,
		"issuer", r.Issuer, "reason", "issuer of the replica has ended")
	c.propose(ctx, key, tamarackknot.Change{Takeover: change(r)}, nil)
}

func (c *Controller) issuerEnded(r tamarackknot.Replica) (since time.Time, ended bool) {
	if r.Issuer == c.self.Host {
		// This host runs one process at a time.
		return c.started, true
	}
	return c.cfg.Members.Ended(tamarackknot.Process{Host: r.Issuer, Incarnation: r.Incarnation})
}

// issuerDead reports whether membership has given the issuer up. It may only
// be paused; a fencing endpoint rejects its orders after the takeover.
func (c *Controller) issuerDead(r tamarackknot.Replica) bool {
	for _, m := range c.cfg.Members.List() {
		if m.Host.Name == r.Issuer && m.Incarnation == r.Incarnation {
			return m.Status == tamarackknot.MemberDead
		}
	}
	return false
}

// continueWork takes the next step for a replica of this process.
func (c *Controller) continueWork(ctx context.Context, key replicaKey, r tamarackknot.Replica, res *tamarackknot.Resource, now time.Time, draining bool) {
	w := c.workOn(key)
	if w.busy > 0 {
		return
	}
	if w.fence != r.Fence {
		c.beginWork(w, r, now)
	}
	if now.Before(w.nextTry) {
		return
	}
	if w.result == nil {
		if !draining {
			c.nextOrder(ctx, key, r, res, w, now)
		}
		return
	}
	outcome := w.result.Outcome
	fencing := res.Endpoint.Fencing
	switch {
	case outcome == tamarackknot.OrderUnknown:
		w.result = nil
		w.retryLater(now)
	case !w.settled(fencing, now):
	case w.unloads() && outcome == tamarackknot.OrderDone:
		c.proposeWork(ctx, key, w, tamarackknot.Change{Release: change(r)}, now)
	case w.unloads():
		w.result = nil
		w.retryLater(now)
	case outcome == tamarackknot.OrderDone:
		c.proposeWork(ctx, key, w, tamarackknot.Change{Loaded: change(r)}, now)
	case w.lastUnknown.IsZero() && !w.inherited:
		c.proposeWork(ctx, key, w, tamarackknot.Change{Release: change(r)}, now)
	default:
		// An earlier attempt may have had an effect: unload before releasing.
		w.result, w.giveUp = nil, true
	}
}

// beginWork notes that a record gave this process a new fencing number.
func (c *Controller) beginWork(w *work, r tamarackknot.Replica, now time.Time) {
	next := work{fence: r.Fence, state: r.State, since: now}
	if r.State == tamarackknot.ReplicaClaimed && !w.taking {
		// A new claim starts afresh; what was done for an earlier reservation
		// of the same target on the same endpoint ended with its release.
		*w = next
		return
	}
	next.sent = true
	next.served = r.State == tamarackknot.ReplicaUnloading && w.state != tamarackknot.ReplicaClaimed
	next.inherited = w.inherited || w.taking
	next.lastUnknown = w.lastUnknown
	*w = next
}

// unloads reports whether the orders of this work are unloads.
func (w *work) unloads() bool {
	return w.giveUp || w.state == tamarackknot.ReplicaUnloading
}

// proposeWork proposes the end of the work.
func (c *Controller) proposeWork(ctx context.Context, key replicaKey, w *work, ch tamarackknot.Change, now time.Time) {
	w.retryLater(now)
	c.propose(ctx, key, ch, nil)
}

// nextOrder sends the order that is due for a replica.
func (c *Controller) nextOrder(ctx context.Context, key replicaKey, r tamarackknot.Replica, res *tamarackknot.Resource, w *work, now time.Time) {
	if !w.unloads() && !c.stillWanted(r, res) {
		if !w.sent {
			c.proposeWork(ctx, key, w, tamarackknot.Change{Release: change(r)}, now)
			return
		}
		w.giveUp = true
	}
	if w.giveUp && r.State == tamarackknot.ReplicaClaimed {
		// An unload with the number of the load would not make the engine
		// reject a delayed copy of the load.
		c.proposeWork(ctx, key, w, tamarackknot.Change{Unload: change(r)}, now)
		return
	}
	// Another planner may release what is reserved on an endpoint that the host
	// list dropped, so nothing may be loaded there any more.
	if !w.unloads() && !c.hosts.droppedSince(key.endpoint, res.Endpoint.Address).IsZero() {
		return
	}
	if w.unloads() && !c.mayUnload(key, w, res, now) {
		return
	}
	o := &order{
		c: c, key: key, address: res.Endpoint.Address,
		order: tamarackknot.Order{
			Kind: tamarackknot.OrderLoad, Target: r.Target, Version: r.Version, MemoryMB: r.MemoryMB, Fence: r.Fence,
		},
		timeout: unloadTimeout,
	}
	if w.unloads() {
		o.order.Kind = tamarackknot.OrderUnload
	} else {
		o.base = true
		o.timeout = c.loadTimeout(r, res)
	}
	w.busy++
	w.sent = true
	c.running++
	go o.run(ctx)
}

// stillWanted reports whether a claimed replica should still be loaded.
func (c *Controller) stillWanted(r tamarackknot.Replica, res *tamarackknot.Resource) bool {
	wanted := false
	c.cfg.Journal.Read(func(s tamarackknot.State) {
		t, ok := s.Target(r.Target)
		wanted = ok && t.Version == r.Version && len(s.Replicas(r.Target)) <= t.MaxReplicas
	})
	return wanted && !res.Endpoint.Draining
}

// mayUnload reports whether an unload order may be sent: no host routes to the
// replica any more, nothing runs there and, on an endpoint that ignores
// fencing numbers, no earlier order is on its way.
func (c *Controller) mayUnload(key replicaKey, w *work, res *tamarackknot.Resource, now time.Time) bool {
	if !w.settled(res.Endpoint.Fencing, now) {
		return false
	}
	if !w.served {
		return true
	}
	grace := w.since.Add(unloadGrace)
	if now.Before(grace) {
		return false
	}
	if !now.Before(w.since.Add(unloadPatience)) {
		return true
	}
	report, ok := c.cfg.Reports.Report(key.endpoint)
	return ok && !report.Time.Before(grace) && inFlight(report, key.target) == 0
}

// inFlight is the number of requests that may run or wait for a target at an
// endpoint: those counted for it and those not counted for any.
func inFlight(r tamarackknot.Report, target string) int {
	n := r.Running + r.Waiting
	for _, l := range r.Loaded {
		if l.Name != target {
			n -= l.Running
		}
	}
	return n
}
