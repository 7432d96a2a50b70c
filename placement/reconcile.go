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

// work tracks the orders and proposals of this process for one replica of which
// it is the issuer.
type work struct {
	fence tamarackknot.Offset
	state tamarackknot.ReplicaState
	// mayServe is set if the replica was loaded before its unload, so that
	// requests may still run on it.
	mayServe bool
	since    time.Time
	// orderSent is set once this process or an earlier issuer may have sent an
	// order for the replica.
	orderSent bool
	// undoLoad is set if the load is no longer needed and must be undone.
	undoLoad bool
	// takeoverProposed is set once this process has proposed a takeover.
	takeoverProposed bool
	// inherited is set if an earlier issuer may have sent orders.
	inherited   bool
	lastUnknown time.Time
	result      *tamarackknot.OrderResult
	// outstanding counts the orders and proposals without a result. There can
	// be several: a claim may follow a release whose outcome the event loop has
	// not processed yet.
	outstanding int
	nextTry     time.Time
	retries     int
}

func (w *work) retryLater(now time.Time) {
	w.nextTry = now.Add(min(maxRetry, minRetry<<min(w.retries, 10)))
	w.retries++
}

// settled reports whether no earlier order of this process can still take
// effect, either because orderSettleTime has passed or because the endpoint
// would reject it.
func (w *work) settled(fencing bool, now time.Time) bool {
	return fencing || w.lastUnknown.IsZero() || !now.Before(w.lastUnknown.Add(orderSettleTime))
}

// reconcile takes the next step for each replica that has not reached its final
// state.
func (c *Controller) reconcile(ctx context.Context, now time.Time, draining bool) {
	for _, endpoint := range c.mirror.names {
		replicas, res := c.mirror.replicas[endpoint], c.mirror.endpoints[endpoint]
		if len(replicas) == 0 {
			continue
		}
		dropped := c.endpointDropped(endpoint, res.Endpoint.Address, now)
		for _, r := range replicas {
			key := replicaKey{r.Target, r.Endpoint}
			switch {
			// A newer claim shows that another host sees the endpoint again.
			case dropped && now.After(r.Since.Add(orderSettleTime)) && !draining && c.planners[res.Endpoint.Deployment] != nil:
				c.releaseLost(ctx, key, r, "host list dropped the endpoint", now)
			case r.State == tamarackknot.ReplicaLoaded:
				c.checkLoaded(ctx, key, r, res, now, draining)
			case c.isIssuer(r):
				c.continueWork(ctx, key, r, res, now, draining)
			case !draining && c.planners[res.Endpoint.Deployment] != nil:
				c.takeOver(ctx, key, r, res, now)
			}
		}
	}
	for key, w := range c.work {
		if w.outstanding == 0 && !c.reserved(key) {
			delete(c.work, key)
		}
	}
}

func (c *Controller) reserved(key replicaKey) bool {
	return slices.ContainsFunc(c.mirror.replicas[key.endpoint], func(r tamarackknot.Replica) bool { return r.Target == key.target })
}

func (c *Controller) isIssuer(r tamarackknot.Replica) bool {
	return r.Issuer == c.self.Host && r.Incarnation == c.self.Incarnation
}

// endpointDropped reports whether the host list has not contained the endpoint
// for orderSettleTime. The list lags, so an endpoint that still reports does
// not count as dropped.
func (c *Controller) endpointDropped(endpoint, address string, now time.Time) bool {
	since := c.hosts.droppedSince(endpoint, address)
	if since.IsZero() || now.Before(since.Add(orderSettleTime)) {
		return false
	}
	r, ok := c.cfg.Reports.Report(endpoint)
	return !ok || now.Sub(r.Time) >= orderSettleTime
}

func (c *Controller) workFor(key replicaKey) *work {
	w := c.work[key]
	if w == nil {
		w = &work{}
		c.work[key] = w
	}
	return w
}

// releaseLost releases the reservation of a replica that no longer exists.
func (c *Controller) releaseLost(ctx context.Context, key replicaKey, r tamarackknot.Replica, reason string, now time.Time) {
	w := c.workFor(key)
	if w.outstanding > 0 && r.State == tamarackknot.ReplicaLoaded || now.Before(w.nextTry) {
		return
	}
	w.retryLater(now)
	c.cfg.Log.Info("placement decision", "action", "release", "target", key.target, "endpoint", key.endpoint, "reason", reason)
	c.propose(ctx, key, tamarackknot.Change{Release: replicaChange(r)}, nil)
}

func replicaChange(r tamarackknot.Replica) *tamarackknot.ReplicaChange {
	return &tamarackknot.ReplicaChange{Target: r.Target, Endpoint: r.Endpoint, Fence: r.Fence}
}

// checkLoaded releases a loaded replica that its endpoint no longer reports.
func (c *Controller) checkLoaded(ctx context.Context, key replicaKey, r tamarackknot.Replica, res *tamarackknot.Resource, now time.Time, draining bool) {
	if w := c.work[key]; w != nil && w.state != "" && w.outstanding == 0 {
		delete(c.work, key)
	}
	a, absent := c.absent[key]
	settled := a.since.Add(orderSettleTime)
	if !absent || a.fence != r.Fence || draining || now.Before(settled) || c.planners[res.Endpoint.Deployment] == nil {
		return
	}
	report, ok := c.cfg.Reports.Report(key.endpoint)
	if !ok || report.Time.Before(settled) || reportsLoaded(report, r.Target) {
		return
	}
	if res.Endpoint.Fencing {
		// The unload order makes the engine reject delayed load orders.
		if w := c.workFor(key); w.outstanding == 0 && !now.Before(w.nextTry) {
			c.cfg.Log.Info("placement decision", "action", string(ActionUnload), "target", key.target,
				"endpoint", key.endpoint, "reason", reasonAbsent)
			c.proposeTransition(ctx, key, w, tamarackknot.Change{Unload: replicaChange(r)}, now)
		}
		return
	}
	c.releaseLost(ctx, key, r, reasonAbsent, now)
}

// takeOver makes this process the issuer of a replica whose issuer has ended or,
// on a fencing endpoint, is considered dead. On an endpoint without fencing it
// waits for orderSettleTime and a report from after that.
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
	w := c.workFor(key)
	if w.outstanding > 0 || now.Before(w.nextTry) {
		return
	}
	w.retryLater(now)
	w.takeoverProposed = true
	c.cfg.Log.Info("placement decision", "action", "takeover", "target", key.target, "endpoint", key.endpoint,
		"issuer", r.Issuer, "reason", "issuer of the replica has ended")
	c.propose(ctx, key, tamarackknot.Change{Takeover: replicaChange(r)}, nil)
}

func (c *Controller) issuerEnded(r tamarackknot.Replica) (since time.Time, ended bool) {
	if r.Issuer == c.self.Host {
		// Only one process runs on this host at a time.
		return c.started, true
	}
	return c.cfg.Members.Ended(tamarackknot.Process{Host: r.Issuer, Incarnation: r.Incarnation})
}

// issuerDead reports whether membership considers the issuer dead. The issuer
// may only be paused, but a fencing endpoint rejects its orders after the
// takeover.
func (c *Controller) issuerDead(r tamarackknot.Replica) bool {
	for _, m := range c.cfg.Members.List() {
		if m.Host.Name == r.Issuer && m.Incarnation == r.Incarnation {
			return m.Status == tamarackknot.MemberDead
		}
	}
	return false
}

// continueWork takes the next step for a replica issued by this process.
func (c *Controller) continueWork(ctx context.Context, key replicaKey, r tamarackknot.Replica, res *tamarackknot.Resource, now time.Time, draining bool) {
	w := c.workFor(key)
	if w.outstanding > 0 {
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
			c.sendNextOrder(ctx, key, r, res, w, now)
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
		c.proposeTransition(ctx, key, w, tamarackknot.Change{Release: replicaChange(r)}, now)
	case w.unloads():
		w.result = nil
		w.retryLater(now)
	case outcome == tamarackknot.OrderDone:
		c.proposeTransition(ctx, key, w, tamarackknot.Change{Loaded: replicaChange(r)}, now)
	case w.lastUnknown.IsZero() && !w.inherited:
		c.proposeTransition(ctx, key, w, tamarackknot.Change{Release: replicaChange(r)}, now)
	default:
		// An earlier attempt may have taken effect: unload before releasing.
		w.result, w.undoLoad = nil, true
	}
}

// beginWork resets the work after a record has given the replica a new fencing
// token.
func (c *Controller) beginWork(w *work, r tamarackknot.Replica, now time.Time) {
	next := work{fence: r.Fence, state: r.State, since: now}
	if r.State == tamarackknot.ReplicaClaimed && !w.takeoverProposed {
		// A new claim starts from scratch: all orders for an earlier
		// reservation of the same target on the same endpoint ended with its
		// release.
		*w = next
		return
	}
	next.orderSent = true
	next.mayServe = r.State == tamarackknot.ReplicaUnloading && w.state != tamarackknot.ReplicaClaimed
	next.inherited = w.inherited || w.takeoverProposed
	next.lastUnknown = w.lastUnknown
	*w = next
}

// unloads reports whether the next order is an unload.
func (w *work) unloads() bool {
	return w.undoLoad || w.state == tamarackknot.ReplicaUnloading
}

// proposeTransition proposes the next state of a replica and starts its retry
// backoff.
func (c *Controller) proposeTransition(ctx context.Context, key replicaKey, w *work, ch tamarackknot.Change, now time.Time) {
	w.retryLater(now)
	c.propose(ctx, key, ch, nil)
}

// sendNextOrder sends the order that is due for a replica.
func (c *Controller) sendNextOrder(ctx context.Context, key replicaKey, r tamarackknot.Replica, res *tamarackknot.Resource, w *work, now time.Time) {
	if !w.unloads() && !c.stillWanted(r, res) {
		if !w.orderSent {
			c.proposeTransition(ctx, key, w, tamarackknot.Change{Release: replicaChange(r)}, now)
			return
		}
		w.undoLoad = true
	}
	if w.undoLoad && r.State == tamarackknot.ReplicaClaimed {
		// The unload needs a new fencing token. With that of the load, the
		// engine would not reject a delayed copy of the load order.
		c.proposeTransition(ctx, key, w, tamarackknot.Change{Unload: replicaChange(r)}, now)
		return
	}
	// Another planner may release the reservations on an endpoint that the host
	// list has dropped, so nothing must be loaded there any more.
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
		o.lookUpBase = true
		o.timeout = c.loadTimeout(r, res)
	}
	w.outstanding++
	w.orderSent = true
	c.outstanding++
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
// replica any more, no request runs on it and, on an endpoint without fencing,
// no earlier order is in transit.
func (c *Controller) mayUnload(key replicaKey, w *work, res *tamarackknot.Resource, now time.Time) bool {
	if !w.settled(res.Endpoint.Fencing, now) {
		return false
	}
	if !w.mayServe {
		return true
	}
	grace := w.since.Add(unloadGrace)
	if now.Before(grace) {
		return false
	}
	if !now.Before(w.since.Add(unloadDrainTimeout)) {
		return true
	}
	report, ok := c.cfg.Reports.Report(key.endpoint)
	return ok && !report.Time.Before(grace) && inFlight(report, key.target) == 0
}

// inFlight returns the number of requests that may be running or queued for a
// target on an endpoint: those assigned to it and those assigned to no target.
func inFlight(r tamarackknot.Report, target string) int {
	n := r.Running + r.Waiting
	for _, l := range r.Loaded {
		if l.Name != target {
			n -= l.Running
		}
	}
	return n
}
