package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
)

const (
	// idleSecondsPerColdStart is the idle time of a whole endpoint, in seconds,
	// that costs as much as one second of cold start at coldStartWeight 0.5.
	idleSecondsPerColdStart = 30.0
	// maxPlanSearches bounds the endpoint searches per call of Decide.
	maxPlanSearches = 64
	// defaultRetryDelay is the retry time of a rejection with no known end.
	defaultRetryDelay = 10 * time.Second
	// evictionLead is how long before the start of a load its evictions are
	// decided.
	evictionLead = 10 * time.Second
	// reloadWindow is how long after its last use a target is reloaded when its
	// version changes.
	reloadWindow = 10 * time.Minute
	// targetUtilisation is the fraction of slots that may be in use on the
	// remaining replicas for another one to count as surplus.
	targetUtilisation = 0.6
	// surplusHold is how long a replica must be surplus before it is unloaded.
	surplusHold         = time.Minute
	idleRecheckInterval = 5 * time.Second
)

// Decide returns the decisions due now. Its cost depends on the targets with
// demand, the targets whose replicas changed and the replicas whose idle check
// is due, not on the number of targets.
func (p *Policy) Decide(now time.Time) []Decision {
	d := decider{p: p, now: now}
	p.store.refill(now)
	d.refreshLoads()
	d.enforce()
	d.planLoads()
	d.unloadIdle()
	return d.out
}

// Slow reports whether the weight store is slower than its long-term mean.
func (p *Policy) Slow() bool { return p.loadTimes.slow() }

// decider holds the state of one call of Decide.
type decider struct {
	p   *Policy
	now time.Time
	out []Decision
	// storeLoadEnds are the expected ends of loads from the store, in order.
	storeLoadEnds []time.Time
	// storeStarts counts the store starts reserved in this call for loads that
	// are not decided yet.
	storeStarts  int
	planSearches int
}

// refreshLoads expires decisions that were not carried out and collects the
// loads from the weight store that are in progress.
func (d *decider) refreshLoads() {
	p := d.p
	p.pendingUnloads = slices.DeleteFunc(p.pendingUnloads, func(r *replica) bool {
		if r.unloadAssumedUntil.IsZero() || d.now.Before(r.unloadAssumedUntil) {
			return r.unloadAssumedUntil.IsZero()
		}
		r.unloadAssumedUntil = time.Time{}
		p.dirty[r.t] = struct{}{}
		return true
	})
	maxRatio := 0.0
	for _, r := range slices.Clone(p.loading) {
		if r.State != tamarackknot.ReplicaClaimed {
			continue
		}
		if !r.assumedUntil.IsZero() && !d.now.Before(r.assumedUntil) {
			p.Abandon(Decision{Target: r.Target, Endpoint: r.Endpoint})
			continue
		}
		if r.tier != tamarackknot.TierRemote {
			continue
		}
		d.storeLoadEnds = append(d.storeLoadEnds, d.now.Add(seconds(p.remainingLoadTime(r, d.now))))
		maxRatio = math.Max(maxRatio, d.now.Sub(r.started).Seconds()/p.loadTimes.assumedTime(r.tier, r.MemoryMB))
	}
	if t := p.loadTimes.tiers[tamarackknot.TierRemote]; t != nil {
		t.inProgressFactor = math.Min(maxFactor, maxRatio)
	}
	slices.SortFunc(d.storeLoadEnds, time.Time.Compare)
}

// enforce unloads replicas that violate a constraint: above maxReplicas, of an
// outdated version, of a removed target, or on a draining endpoint.
func (d *decider) enforce() {
	p := d.p
	if len(p.dirty) == 0 {
		return
	}
	for _, t := range sortedTargets(p.dirty) {
		if !d.enforceTarget(t) {
			delete(p.dirty, t)
		}
	}
}

func sortedTargets(set map[*target]struct{}) []*target {
	list := make([]*target, 0, len(set))
	for t := range set {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// enforceTarget reports whether the target still violates a constraint.
func (d *decider) enforceTarget(t *target) bool {
	violated := false
	for _, r := range t.replicas {
		reason := d.violation(r)
		if reason == "" {
			continue
		}
		violated = true
		if r.Version != t.Version && t.exists && d.now.Sub(t.lastUsed) < reloadWindow {
			t.retainedUntil = d.now.Add(d.p.cfg.DemandRetention)
			d.p.active[t] = struct{}{}
		}
		d.unload(r, ActionUnload, reason, nil, 0)
	}
	if !t.exists {
		return violated
	}
	over := -t.MaxReplicas
	for _, r := range t.replicas {
		if r.State != tamarackknot.ReplicaUnloading && r.unloadAssumedUntil.IsZero() {
			over++
		}
	}
	if over <= 0 {
		return violated
	}
	list := slices.Clone(t.replicas)
	slices.SortStableFunc(list, func(a, b *replica) int { return cmp.Compare(a.running, b.running) })
	for _, r := range list {
		if over > 0 && r.State == tamarackknot.ReplicaLoaded && r.unloadAssumedUntil.IsZero() {
			d.unload(r, ActionUnload, "more replicas than maxReplicas", nil, 0)
			over--
		}
	}
	return true
}

func (d *decider) violation(r *replica) string {
	switch {
	case r.State == tamarackknot.ReplicaUnloading:
		return ""
	case !r.t.exists:
		return "target was removed"
	case r.Version != r.t.Version:
		return "version changed"
	case r.e.spec.Draining:
		return "endpoint is draining"
	case r.t.base != nil && !r.t.base.exists:
		return "base model was removed"
	}
	return ""
}

// unload decides the unload of a loaded replica. Adapters on top of a base
// model are unloaded first.
func (d *decider) unload(r *replica, action Action, reason string, incoming *target, cost float64) {
	if r.State != tamarackknot.ReplicaLoaded || d.now.Before(r.unloadAssumedUntil) {
		return
	}
	if r.t.Base == "" {
		waiting := false
		for _, x := range r.e.replicas {
			if x.t.base == r.t {
				waiting = true
				d.unload(x, action, "its base model is unloaded: "+reason, incoming, cost)
			}
		}
		if waiting {
			return
		}
	}
	r.unloadAssumedUntil = d.now.Add(d.p.cfg.DecisionTTL)
	d.p.pendingUnloads = append(d.p.pendingUnloads, r)
	dec := Decision{
		Action: action, Target: r.Target, Endpoint: r.Endpoint, Reason: reason, Cost: cost, Fence: r.Fence,
	}
	if incoming != nil {
		dec.For = incoming.Name
	}
	d.out = append(d.out, dec)
}

// planLoads plans loads for all targets with demand, the most urgent first.
func (d *decider) planLoads() {
	p := d.p
	if len(p.active) == 0 {
		return
	}
	list := d.targetsWithDemand()
	for _, t := range list {
		d.planLoad(t)
	}
}

// targetsWithDemand returns the targets with demand in the order in which they
// are assigned store capacity and memory. It adds base models that adapters
// wait for.
func (d *decider) targetsWithDemand() []*target {
	p := d.p
	list := sortedTargets(p.active)
	for _, t := range list {
		t.adapterDemand, t.adapterMB = tamarackknot.Demand{}, 0
	}
	for _, t := range list {
		if t.base == nil || !t.base.exists || !t.hasDemand(d.now) || t.plan != nil || t.servingCount()+t.loadingCount() > 0 {
			continue
		}
		b := t.base
		if b.servingCount()+b.loadingCount() > 0 && !t.needsBaseReplica {
			continue
		}
		if _, ok := p.active[b]; !ok {
			p.active[b] = struct{}{}
			b.adapterDemand, b.adapterMB = tamarackknot.Demand{}, 0
			list = append(list, b)
		}
		b.adapterDemand = mergeDemand(b.adapterDemand, t.demand)
		b.adapterDemand.Waiting = max(1, b.adapterDemand.Waiting)
		b.adapterMB = max(b.adapterMB, t.MemoryMB)
	}
	kept := list[:0]
	for _, t := range list {
		if t.hasDemand(d.now) {
			kept = append(kept, t)
			continue
		}
		p.dropPlan(t)
		t.forecast, t.rejected, t.needsBaseReplica = tamarackknot.Forecast{}, false, false
		delete(p.active, t)
	}
	slices.SortFunc(kept, func(a, b *target) int {
		x, y := mergeDemand(a.demand, a.adapterDemand), mergeDemand(b.demand, b.adapterDemand)
		return cmp.Or(
			cmp.Compare(min(y.Waiting, 1), min(x.Waiting, 1)),
			cmp.Compare(y.Priority, x.Priority),
			cmp.Compare(b.Priority, a.Priority),
			x.Earliest.Compare(y.Earliest),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return kept
}

// hasDemand reports whether the target has demand or had unserved demand within
// the retention time.
func (t *target) hasDemand(now time.Time) bool {
	return t.exists && (t.demand.Waiting > 0 || t.adapterDemand.Waiting > 0 || now.Before(t.retainedUntil))
}

// mergeDemand returns the combined demand: the sum of the waiting requests,
// the highest priority and the earliest deadline.
func mergeDemand(a, b tamarackknot.Demand) tamarackknot.Demand {
	if b.Waiting == 0 {
		return a
	}
	if a.Waiting == 0 {
		return b
	}
	a.Waiting += b.Waiting
	a.Priority = max(a.Priority, b.Priority)
	if a.Earliest.IsZero() || !b.Earliest.IsZero() && b.Earliest.Before(a.Earliest) {
		a.Earliest = b.Earliest
	}
	return a
}

// planLoad decides the next step towards serving the demand for t.
func (d *decider) planLoad(t *target) {
	p := d.p
	if t.servingCount() > 0 {
		t.forecast, t.rejected = tamarackknot.Forecast{}, false
	}
	if d.additionalReplicas(t) == 0 {
		p.dropPlan(t)
		if t.servingCount() == 0 {
			d.setForecast(t, d.earliestLoadEnd(t))
		}
		if t.servingCount() > 0 && t.demand.Waiting == 0 {
			t.retainedUntil = time.Time{}
		}
		return
	}
	if len(t.replicas) >= t.MaxReplicas {
		if t.servingCount()+t.loadingCount() == 0 {
			d.refuse(t, d.limitReason(t), d.now.Add(defaultRetryDelay))
		}
		return
	}
	urgent := t.demand.Waiting > 0 || t.adapterDemand.Waiting > 0 || t.retryPromised
	if !d.ensurePlan(t, urgent) {
		return
	}
	pl := t.plan
	start := d.now
	if d.shortfallMB(pl) > 0 {
		start = start.Add(p.cfg.UnloadTime)
	}
	if pl.base != nil && pl.base.State != tamarackknot.ReplicaLoaded {
		start = times.Later(start, d.now.Add(seconds(p.remainingLoadTime(pl.base, d.now))))
	}
	if pl.tier == tamarackknot.TierRemote {
		start = d.reserveStoreStart(start, t)
	}
	ready := start.Add(seconds(p.loadTimes.expected(pl.tier, t.MemoryMB)))
	if t.servingCount()+t.loadingCount() == 0 {
		d.setForecast(t, ready)
	}
	if start.After(d.now) {
		d.evictForPlan(t, start)
		return
	}
	d.startLoad(t, ready)
}

func (d *decider) limitReason(t *target) string {
	if t.MaxReplicas == 0 {
		return "maxReplicas is 0"
	}
	return "all replicas that maxReplicas allows are reserved on endpoints that do not serve"
}

// additionalReplicas returns how many replicas to load beyond those loaded and
// in progress.
func (d *decider) additionalReplicas(t *target) int {
	serving, loading := t.servingCount(), t.loadingCount()
	if serving+loading == 0 {
		return 1
	}
	if t.adapterDemand.Waiting > 0 && loading == 0 {
		return 1 // no loaded replica has memory for the waiting adapters
	}
	if t.demand.Waiting == 0 {
		return 0
	}
	slots := 0
	for _, r := range t.replicas {
		if r.serving() || r.State == tamarackknot.ReplicaClaimed {
			slots += max(1, r.e.spec.Slots)
		}
	}
	wait := float64(t.demand.Waiting) * d.p.service.mean / float64(max(1, slots))
	load := d.p.loadTimes.expected(d.bestTier(t), t.MemoryMB)
	// A replica that becomes ready after the queue was served does not help.
	if wait <= load {
		return 0
	}
	if wait > t.demand.Earliest.Sub(d.now).Seconds() || wait > 2*load {
		return 1
	}
	return 0
}

func (d *decider) bestTier(t *target) tamarackknot.Tier {
	best := tamarackknot.TierRemote
	for _, c := range t.cached {
		if c.tier == tamarackknot.TierMemory {
			return c.tier
		}
		best = c.tier
	}
	return best
}

// earliestLoadEnd returns when the first load in progress is expected to end.
func (d *decider) earliestLoadEnd(t *target) time.Time {
	var at time.Time
	for _, r := range t.replicas {
		if r.State != tamarackknot.ReplicaClaimed {
			continue
		}
		end := d.now.Add(seconds(d.p.remainingLoadTime(r, d.now)))
		if at.IsZero() || end.Before(at) {
			at = end
		}
	}
	return at
}

// ensurePlan keeps a valid plan of t or makes a new one. It reports false if
// there is none.
func (d *decider) ensurePlan(t *target, urgent bool) bool {
	p := d.p
	if t.plan != nil && d.planValid(t.plan) {
		return true
	}
	p.dropPlan(t)
	if d.planSearches >= maxPlanSearches {
		return false
	}
	d.planSearches++
	storeWait := d.nextStoreStart().Sub(d.now).Seconds()
	pl, reason := p.choose(t, storeWait, urgent, d.now)
	t.needsBaseReplica = t.Base != "" && pl == nil
	if pl == nil {
		if t.needsBaseReplica && t.base.exists && len(t.base.replicas) < t.base.MaxReplicas && !t.base.forecast.Refused {
			load := seconds(p.loadTimes.expected(tamarackknot.TierRemote, t.base.MemoryMB) +
				p.loadTimes.expected(tamarackknot.TierRemote, t.MemoryMB))
			d.setForecast(t, times.Later(t.base.forecast.ReadyAt, d.now.Add(load)))
			return false
		}
		if urgent && d.now.Before(p.expectUntil) {
			t.forecast = tamarackknot.Forecast{}
			return false
		}
		if urgent {
			d.refuse(t, reason, d.now.Add(d.protectionTime()))
		}
		return false
	}
	t.plan = pl
	pl.e.plannedMB += pl.memoryMB
	p.reindex(pl.e)
	if pl.base != nil {
		pl.base.dependentPlans++
	}
	return true
}

// protectionTime returns how long a freshly loaded replica is protected from
// eviction.
func (d *decider) protectionTime() time.Duration {
	return max(d.p.cfg.MinResidence, d.p.cfg.UsageLag)
}

func (p *Policy) dropPlan(t *target) {
	if t.plan == nil {
		return
	}
	t.plan.e.plannedMB -= t.plan.memoryMB
	p.reindex(t.plan.e)
	if t.plan.base != nil {
		t.plan.base.dependentPlans--
	}
	t.plan = nil
}

func (d *decider) planValid(pl *plan) bool {
	if !pl.e.usable || d.now.Sub(pl.createdAt) > planTTL {
		return false
	}
	if pl.base != nil && (pl.base.State == tamarackknot.ReplicaUnloading || !slices.Contains(pl.e.replicas, pl.base)) {
		return false
	}
	shortfall := d.shortfallMB(pl)
	if shortfall <= 0 {
		return true
	}
	for _, r := range pl.e.replicas {
		switch {
		case r.State == tamarackknot.ReplicaUnloading || !r.unloadAssumedUntil.IsZero():
			shortfall -= r.MemoryMB
		case slices.Contains(pl.evict, r) && !d.p.protected(r, d.now):
			shortfall -= r.MemoryMB
		}
	}
	return shortfall <= 0
}

// shortfallMB returns the memory that must still be freed for a plan.
func (d *decider) shortfallMB(pl *plan) int64 {
	return pl.e.usedMB + pl.e.plannedMB - pl.e.spec.MemoryMB
}

// evictForPlan decides the evictions of a plan whose load starts within
// evictionLead.
func (d *decider) evictForPlan(t *target, start time.Time) {
	if d.shortfallMB(t.plan) <= 0 || start.Sub(d.now) > evictionLead {
		return
	}
	for _, r := range t.plan.evict {
		if slices.Contains(t.plan.e.replicas, r) && !d.p.protected(r, d.now) {
			d.unload(r, ActionEvict, "cheapest to reload on the endpoint chosen for "+t.Name, t, t.plan.cost)
		}
	}
}

// nextStoreStart returns when the next load from the store may start.
func (d *decider) nextStoreStart() time.Time {
	at := d.p.store.nextToken(d.storeStarts, d.now)
	if n := max(1, d.p.store.concurrency); len(d.storeLoadEnds) >= n {
		at = times.Later(at, d.storeLoadEnds[len(d.storeLoadEnds)-n])
	}
	return at
}

// reserveStoreStart reserves the next load from the store for t and returns its
// start.
func (d *decider) reserveStoreStart(start time.Time, t *target) time.Time {
	start = times.Later(start, d.nextStoreStart())
	d.storeStarts++
	end := start.Add(seconds(d.p.loadTimes.expected(tamarackknot.TierRemote, t.MemoryMB)))
	i, _ := slices.BinarySearchFunc(d.storeLoadEnds, end, time.Time.Compare)
	d.storeLoadEnds = slices.Insert(d.storeLoadEnds, i, end)
	return start
}

// startLoad decides the planned load of t and adds a replica that is assumed
// until the log shows it.
func (d *decider) startLoad(t *target, ready time.Time) {
	p, pl := d.p, t.plan
	if d.shortfallMB(pl) > 0 || pl.base != nil && !pl.base.serving() {
		return
	}
	p.dropPlan(t)
	if pl.tier == tamarackknot.TierRemote {
		p.store.tokens--
		d.storeStarts--
	}
	r := &replica{
		Replica: tamarackknot.Replica{
			Target: t.Name, Endpoint: pl.e.name, Version: t.Version, MemoryMB: t.MemoryMB,
			State: tamarackknot.ReplicaClaimed,
		},
		t: t, e: pl.e, heapIndex: -1, tier: pl.tier, started: d.now, assumedUntil: d.now.Add(p.cfg.DecisionTTL),
	}
	t.replicas = append(t.replicas, r)
	pl.e.replicas = append(pl.e.replicas, r)
	pl.e.usedMB += r.MemoryMB
	p.reindex(pl.e)
	p.loading = append(p.loading, r)
	reason := "demand is queued and no replica serves it"
	switch {
	case t.servingCount() > 0:
		reason = "queued requests wait longer than a further replica takes to load"
	case t.demand.Waiting == 0 && t.adapterDemand.Waiting > 0:
		reason = "adapters with demand need their base model"
	case t.demand.Waiting == 0:
		reason = "rejected callers are expected to retry"
	}
	d.out = append(d.out, Decision{
		Action: ActionLoad, Target: t.Name, Endpoint: pl.e.name, Tier: pl.tier, ReadyAt: ready,
		Reason: reason, Basis: t.basis,
	})
}

// setForecast sets the time at which a target is expected to be loaded. If that
// is after the earliest deadline, it decides one rejection.
func (d *decider) setForecast(t *target, ready time.Time) {
	if !d.p.loadTimes.measured(d.nextLoadTier(t)) {
		// Requests are not rejected because of an assumed load time.
		t.forecast, t.rejected = tamarackknot.Forecast{}, false
		return
	}
	t.forecast = tamarackknot.Forecast{ReadyAt: ready}
	late := t.demand.Waiting > 0 && !t.demand.Earliest.IsZero() && ready.After(t.demand.Earliest)
	if late && !t.rejected {
		d.out = append(d.out, Decision{
			Action: ActionReject, Target: t.Name, RetryAt: ready,
			Reason: "the load ends after the earliest deadline",
		})
	}
	t.rejected = late
}

// nextLoadTier returns the cache tier that the next or current load of a target
// reads from.
func (d *decider) nextLoadTier(t *target) tamarackknot.Tier {
	if t.plan != nil {
		return t.plan.tier
	}
	for _, r := range t.replicas {
		if r.State == tamarackknot.ReplicaClaimed && r.tier != "" {
			return r.tier
		}
	}
	return tamarackknot.TierRemote
}

func (d *decider) refuse(t *target, reason string, retry time.Time) {
	if t.forecast.Refused && t.forecast.Reason == reason && d.now.Before(t.forecast.RetryAt) {
		return
	}
	if t.demand.Waiting > 0 && (!t.forecast.Refused || t.forecast.Reason != reason) {
		d.out = append(d.out, Decision{Action: ActionReject, Target: t.Name, Reason: reason, RetryAt: retry})
	}
	t.forecast = tamarackknot.Forecast{Refused: true, Reason: reason, RetryAt: retry}
}

// unloadIdle decides the idle unloads that are due.
func (d *decider) unloadIdle() {
	p := d.p
	for len(p.idle) > 0 && !d.now.Before(p.idle[0].idleCheckAt) {
		r := p.idle[0]
		p.idle.schedule(r, d.idleCheck(r))
	}
}

// idleCheck decides whether r is unloaded now and returns the time of the next
// check.
func (d *decider) idleCheck(r *replica) time.Time {
	p, t := d.p, r.t
	recheck := d.now.Add(idleRecheckInterval)
	if p.protected(r, d.now) || !t.exists {
		return recheck
	}
	for _, x := range r.e.replicas {
		if x.t.base == t {
			return recheck
		}
	}
	at := p.keepUntil(r, d.now)
	if d.surplus(t) {
		at = times.Earlier(at, t.surplusSince.Add(surplusHold))
		recheck = times.Earlier(at, recheck)
	}
	if at.After(d.now) {
		if t.servingCount() > 1 {
			return times.Earlier(at, recheck)
		}
		return at
	}
	d.unload(r, ActionIdleUnload, "keeping it costs more than loading it again", nil, p.evictCost(r, t, d.now))
	return recheck
}

// keepUntil returns when the replica should be unloaded if its target stays
// idle.
func (p *Policy) keepUntil(r *replica, now time.Time) time.Time {
	active := lastActive(r)
	age := now.Sub(active).Seconds()
	share := float64(r.MemoryMB) / math.Max(1, float64(r.e.spec.MemoryMB))
	w := math.Min(1, math.Max(0, p.deployment.ColdStartWeight))
	keep := r.t.gaps.optimalKeepTime(&p.priorGaps, age, (1-w)*share, w*idleSecondsPerColdStart*p.reloadTime(r))
	return active.Add(seconds(keep))
}

// surplus reports whether the target has more replicas than its request rate
// needs.
func (d *decider) surplus(t *target) bool {
	n := t.servingCount()
	if n <= 1 || t.demand.Waiting > 0 {
		t.surplusSince = time.Time{}
		return false
	}
	slots := 0
	for _, r := range t.replicas {
		slots += max(1, r.e.spec.Slots)
	}
	perReplica := float64(slots) / float64(len(t.replicas))
	needed := t.rate.perSecond(d.now) * d.p.service.mean / (perReplica * targetUtilisation)
	if float64(n-1) < needed {
		t.surplusSince = time.Time{}
		return false
	}
	if t.surplusSince.IsZero() {
		t.surplusSince = d.now
	}
	return true
}
