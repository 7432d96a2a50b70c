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
	// idlePrice is how many seconds of a whole endpoint's idle time one second
	// of cold start is worth at coldStartWeight 0.5.
	idlePrice = 30.0
	// maxPlans bounds the endpoint searches of one Decide.
	maxPlans = 64
	// retryUnknown is the retry time of a rejection whose end is not known.
	retryUnknown = 10 * time.Second
	// evictAhead is how long before a load can start its evictions are made.
	evictAhead = 10 * time.Second
	// recentUse is how long after its last use a target is loaded again when
	// its version changes.
	recentUse = 10 * time.Minute
	// targetUtilisation is the share of slots in use above which no replica is
	// surplus.
	targetUtilisation = 0.6
	// surplusHold is how long a replica must be surplus to be unloaded.
	surplusHold = time.Minute
	idleRecheck = 5 * time.Second
)

// Decide returns the decisions due now. It looks only at targets with demand,
// targets whose replicas changed and replicas whose idle check is due.
func (p *Policy) Decide(now time.Time) []Decision {
	d := decider{p: p, now: now}
	p.store.refill(now)
	d.loading()
	d.enforce()
	d.serve()
	d.unloadIdle()
	return d.out
}

// Slow reports whether the weight store is slower than usual.
func (p *Policy) Slow() bool { return p.loads.slow() }

// decider holds the state of one Decide.
type decider struct {
	p   *Policy
	now time.Time
	out []Decision
	// slots are the times at which concurrent loads from the store end.
	slots []time.Time
	// started counts the loads that are due to start before the next one.
	started int
	plans   int
}

// loading expires decisions that were not carried out, and collects the
// loads from the weight store under way.
func (d *decider) loading() {
	p := d.p
	p.deciding = slices.DeleteFunc(p.deciding, func(r *replica) bool {
		if r.unloadUntil.IsZero() || d.now.Before(r.unloadUntil) {
			return r.unloadUntil.IsZero()
		}
		r.unloadUntil = time.Time{}
		p.dirty[r.t] = struct{}{}
		return true
	})
	running := 0.0
	for _, r := range slices.Clone(p.loading) {
		if r.State != tamarackknot.ReplicaClaimed {
			continue
		}
		if !r.until.IsZero() && !d.now.Before(r.until) {
			p.Abandon(Decision{Target: r.Target, Endpoint: r.Endpoint})
			continue
		}
		if r.tier != tamarackknot.TierRemote {
			continue
		}
		d.slots = append(d.slots, d.now.Add(seconds(p.remaining(r, d.now))))
		running = math.Max(running, d.now.Sub(r.started).Seconds()/p.loads.base(r.tier, r.MemoryMB))
	}
	if t := p.loads.tiers[tamarackknot.TierRemote]; t != nil {
		t.running = math.Min(maxFactor, running)
	}
	slices.SortFunc(d.slots, time.Time.Compare)
}

// enforce unloads replicas that break a rule: over the limit, of an old
// version, of a removed target, or on a draining endpoint.
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

// enforceTarget reports whether the target still breaks a rule.
func (d *decider) enforceTarget(t *target) bool {
	broken := false
	for _, r := range t.replicas {
		reason := d.violation(r)
		if reason == "" {
			continue
		}
		broken = true
		if r.Version != t.Version && t.exists && d.now.Sub(t.lastUsed) < recentUse {
			t.fadeUntil = d.now.Add(d.p.cfg.FadeAfter)
			d.p.active[t] = struct{}{}
		}
		d.unload(r, ActionUnload, reason, nil, 0)
	}
	if !t.exists {
		return broken
	}
	over := -t.MaxReplicas
	for _, r := range t.replicas {
		if r.State != tamarackknot.ReplicaUnloading && r.unloadUntil.IsZero() {
			over++
		}
	}
	if over <= 0 {
		return broken
	}
	list := slices.Clone(t.replicas)
	slices.SortStableFunc(list, func(a, b *replica) int { return cmp.Compare(a.running, b.running) })
	for _, r := range list {
		if over > 0 && r.State == tamarackknot.ReplicaLoaded && r.unloadUntil.IsZero() {
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

// unload decides the unload of a loaded replica, after that of its adapters.
func (d *decider) unload(r *replica, a Action, reason string, by *target, cost float64) {
	if r.State != tamarackknot.ReplicaLoaded || d.now.Before(r.unloadUntil) {
		return
	}
	if r.t.Base == "" {
		waiting := false
		for _, x := range r.e.replicas {
			if x.t.base == r.t {
				waiting = true
				d.unload(x, a, "its base model is unloaded: "+reason, by, cost)
			}
		}
		if waiting {
			return
		}
	}
	r.unloadUntil = d.now.Add(d.p.cfg.DecisionTTL)
	d.p.deciding = append(d.p.deciding, r)
	dec := Decision{
		Action: a, Target: r.Target, Endpoint: r.Endpoint, Reason: reason, Cost: cost, Fence: r.Fence,
	}
	if by != nil {
		dec.For = by.Name
	}
	d.out = append(d.out, dec)
}

// serve plans loads for all targets with demand, the most urgent first.
func (d *decider) serve() {
	p := d.p
	if len(p.active) == 0 {
		return
	}
	list := d.wanted()
	for _, t := range list {
		d.serveTarget(t)
	}
}

// wanted returns the targets with demand in the order in which they get the
// store and the memory.
func (d *decider) wanted() []*target {
	p := d.p
	list := sortedTargets(p.active)
	for _, t := range list {
		t.derived, t.extraMB = tamarackknot.Demand{}, 0
	}
	for _, t := range list {
		if t.base == nil || !t.base.exists || !t.wants(d.now) || t.plan != nil || t.loaded()+t.coming() > 0 {
			continue
		}
		b := t.base
		if b.loaded()+b.coming() > 0 && !t.needsBase {
			continue
		}
		if _, ok := p.active[b]; !ok {
			p.active[b] = struct{}{}
			b.derived, b.extraMB = tamarackknot.Demand{}, 0
			list = append(list, b)
		}
		b.derived = mergeDemand(b.derived, t.demand)
		b.derived.Waiting = max(1, b.derived.Waiting)
		b.extraMB = max(b.extraMB, t.MemoryMB)
	}
	kept := list[:0]
	for _, t := range list {
		if t.wants(d.now) {
			kept = append(kept, t)
			continue
		}
		p.dropPlan(t)
		t.forecast, t.rejected, t.needsBase = tamarackknot.Forecast{}, false, false
		delete(p.active, t)
	}
	slices.SortFunc(kept, func(a, b *target) int {
		x, y := mergeDemand(a.demand, a.derived), mergeDemand(b.demand, b.derived)
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

// wants reports whether the target has or recently had unserved demand.
func (t *target) wants(now time.Time) bool {
	return t.exists && (t.demand.Waiting > 0 || t.derived.Waiting > 0 || now.Before(t.fadeUntil))
}

// mergeDemand adds the demand b to a.
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

// serveTarget decides the next step towards serving the demand for t.
func (d *decider) serveTarget(t *target) {
	p := d.p
	if t.loaded() > 0 {
		t.forecast, t.rejected = tamarackknot.Forecast{}, false
	}
	if d.further(t) == 0 {
		p.dropPlan(t)
		if t.loaded() == 0 {
			d.promise(t, d.comingAt(t))
		}
		if t.loaded() > 0 && t.demand.Waiting == 0 {
			t.fadeUntil = time.Time{}
		}
		return
	}
	if len(t.replicas) >= t.MaxReplicas {
		if t.loaded()+t.coming() == 0 {
			d.refuse(t, d.limitReason(t), d.now.Add(retryUnknown))
		}
		return
	}
	urgent := t.demand.Waiting > 0 || t.derived.Waiting > 0 || t.promised
	if !d.ensurePlan(t, urgent) {
		return
	}
	pl := t.plan
	start := d.now
	if d.missing(pl) > 0 {
		start = start.Add(p.cfg.UnloadTime)
	}
	if pl.base != nil && pl.base.State != tamarackknot.ReplicaLoaded {
		start = times.Later(start, d.now.Add(seconds(p.remaining(pl.base, d.now))))
	}
	if pl.tier == tamarackknot.TierRemote {
		start = d.reserveStore(start, t)
	}
	ready := start.Add(seconds(p.loads.expect(pl.tier, t.MemoryMB)))
	if t.loaded()+t.coming() == 0 {
		d.promise(t, ready)
	}
	if start.After(d.now) {
		d.makeRoom(t, start)
		return
	}
	d.load(t, ready)
}

func (d *decider) limitReason(t *target) string {
	if t.MaxReplicas == 0 {
		return "maxReplicas is 0"
	}
	return "all replicas that maxReplicas allows are reserved on endpoints that do not serve"
}

// further is the number of replicas to load beyond those loaded and coming.
func (d *decider) further(t *target) int {
	serving, coming := t.loaded(), t.coming()
	if serving+coming == 0 {
		return 1
	}
	if t.derived.Waiting > 0 && coming == 0 {
		return 1 // the adapters find no room beside the replicas loaded
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
	wait := float64(t.demand.Waiting) * d.p.service.value / float64(max(1, slots))
	load := d.p.loads.expect(d.bestTier(t), t.MemoryMB)
	// A replica that is ready only after the queue is served does not help.
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

// comingAt is when the first load under way is expected to end.
func (d *decider) comingAt(t *target) time.Time {
	var at time.Time
	for _, r := range t.replicas {
		if r.State != tamarackknot.ReplicaClaimed {
			continue
		}
		end := d.now.Add(seconds(d.p.remaining(r, d.now)))
		if at.IsZero() || end.Before(at) {
			at = end
		}
	}
	return at
}

// ensurePlan keeps or makes the plan of t. It reports false if there is none.
func (d *decider) ensurePlan(t *target, urgent bool) bool {
	p := d.p
	if t.plan != nil && d.planHolds(t.plan) {
		return true
	}
	p.dropPlan(t)
	if d.plans >= maxPlans {
		return false
	}
	d.plans++
	storeWait := d.peekStore().Sub(d.now).Seconds()
	pl, reason := p.choose(t, storeWait, urgent, d.now)
	t.needsBase = t.Base != "" && pl == nil
	if pl == nil {
		if t.needsBase && t.base.exists && len(t.base.replicas) < t.base.MaxReplicas && !t.base.forecast.Refused {
			load := seconds(p.loads.expect(tamarackknot.TierRemote, t.base.MemoryMB) +
				p.loads.expect(tamarackknot.TierRemote, t.MemoryMB))
			d.promise(t, times.Later(t.base.forecast.ReadyAt, d.now.Add(load)))
			return false
		}
		if urgent && d.now.Before(p.expectUntil) {
			t.forecast = tamarackknot.Forecast{}
			return false
		}
		if urgent {
			d.refuse(t, reason, d.now.Add(d.protectedFor()))
		}
		return false
	}
	t.plan = pl
	pl.e.promise += pl.mb
	p.reindex(pl.e)
	if pl.base != nil {
		pl.base.needed++
	}
	return true
}

// protectedFor is how long until just loaded replicas may be evicted.
func (d *decider) protectedFor() time.Duration {
	return max(d.p.cfg.MinResidence, d.p.cfg.UsageLag)
}

func (p *Policy) dropPlan(t *target) {
	if t.plan == nil {
		return
	}
	t.plan.e.promise -= t.plan.mb
	p.reindex(t.plan.e)
	if t.plan.base != nil {
		t.plan.base.needed--
	}
	t.plan = nil
}

func (d *decider) planHolds(pl *plan) bool {
	if !pl.e.usable || d.now.Sub(pl.made) > planTTL {
		return false
	}
	if pl.base != nil && (pl.base.State == tamarackknot.ReplicaUnloading || !slices.Contains(pl.e.replicas, pl.base)) {
		return false
	}
	missing := d.missing(pl)
	if missing <= 0 {
		return true
	}
	for _, r := range pl.e.replicas {
		switch {
		case r.State == tamarackknot.ReplicaUnloading || !r.unloadUntil.IsZero():
			missing -= r.MemoryMB
		case slices.Contains(pl.evict, r) && !d.p.protected(r, d.now):
			missing -= r.MemoryMB
		}
	}
	return missing <= 0
}

// missing is the memory that must still be freed for a plan.
func (d *decider) missing(pl *plan) int64 {
	return pl.e.used + pl.e.promise - pl.e.spec.MemoryMB
}

// makeRoom evicts for a plan whose load starts soon.
func (d *decider) makeRoom(t *target, start time.Time) {
	if d.missing(t.plan) <= 0 || start.Sub(d.now) > evictAhead {
		return
	}
	for _, r := range t.plan.evict {
		if slices.Contains(t.plan.e.replicas, r) && !d.p.protected(r, d.now) {
			d.unload(r, ActionEvict, "cheapest to reload on the endpoint chosen for "+t.Name, t, t.plan.cost)
		}
	}
}

// peekStore is when the next load from the store could start.
func (d *decider) peekStore() time.Time {
	at := d.p.store.nextToken(d.started, d.now)
	if n := max(1, d.p.store.atOnce); len(d.slots) >= n {
		at = times.Later(at, d.slots[len(d.slots)-n])
	}
	return at
}

// reserveStore takes the next start from the store for t.
func (d *decider) reserveStore(start time.Time, t *target) time.Time {
	start = times.Later(start, d.peekStore())
	d.started++
	end := start.Add(seconds(d.p.loads.expect(tamarackknot.TierRemote, t.MemoryMB)))
	i, _ := slices.BinarySearchFunc(d.slots, end, time.Time.Compare)
	d.slots = slices.Insert(d.slots, i, end)
	return start
}

// load decides a load and assumes it until the replicas show it.
func (d *decider) load(t *target, ready time.Time) {
	p, pl := d.p, t.plan
	if d.missing(pl) > 0 || pl.base != nil && !pl.base.serving() {
		return
	}
	p.dropPlan(t)
	if pl.tier == tamarackknot.TierRemote {
		p.store.tokens--
		d.started--
	}
	r := &replica{
		Replica: tamarackknot.Replica{
			Target: t.Name, Endpoint: pl.e.name, Version: t.Version, MemoryMB: t.MemoryMB,
			State: tamarackknot.ReplicaClaimed,
		},
		t: t, e: pl.e, heap: -1, tier: pl.tier, started: d.now, until: d.now.Add(p.cfg.DecisionTTL),
	}
	t.replicas = append(t.replicas, r)
	pl.e.replicas = append(pl.e.replicas, r)
	pl.e.used += r.MemoryMB
	p.reindex(pl.e)
	p.loading = append(p.loading, r)
	reason := "demand is queued and no replica serves it"
	switch {
	case t.loaded() > 0:
		reason = "the queue is longer than its replicas serve in time"
	case t.demand.Waiting == 0 && t.derived.Waiting > 0:
		reason = "adapters with demand need their base model"
	case t.demand.Waiting == 0:
		reason = "rejected demand is expected to return"
	}
	d.out = append(d.out, Decision{
		Action: ActionLoad, Target: t.Name, Endpoint: pl.e.name, Tier: pl.tier, ReadyAt: ready,
		Reason: reason, Basis: t.basis,
	})
}

// promise sets the forecast of a target; a rejection is decided once when its
// earliest deadline cannot be met.
func (d *decider) promise(t *target, ready time.Time) {
	if !d.p.loads.measured(d.tierOf(t)) {
		// An assumed load time is no ground to reject a request.
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

// tierOf is the tier that the next load of a target reads.
func (d *decider) tierOf(t *target) tamarackknot.Tier {
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
	for len(p.idle) > 0 && !d.now.Before(p.idle[0].checkAt) {
		r := p.idle[0]
		p.idle.set(r, d.idleCheck(r))
	}
}

// idleCheck decides whether r is unloaded now; otherwise it returns when to
// look again.
func (d *decider) idleCheck(r *replica) time.Time {
	p, t := d.p, r.t
	recheck := d.now.Add(idleRecheck)
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
		if t.loaded() > 1 {
			return times.Earlier(at, recheck)
		}
		return at
	}
	d.unload(r, ActionIdleUnload, "keeping it costs more than loading it again", nil, p.evictCost(r, t, d.now))
	return recheck
}

// keepUntil is when the replica should be unloaded if its target stays idle.
func (p *Policy) keepUntil(r *replica, now time.Time) time.Time {
	active := lastActive(r)
	age := now.Sub(active).Seconds()
	share := float64(r.MemoryMB) / math.Max(1, float64(r.e.spec.MemoryMB))
	w := math.Min(1, math.Max(0, p.deployment.ColdStartWeight))
	keep := r.t.hist.keepUntil(&p.prior, age, (1-w)*share, w*idlePrice*p.reload(r))
	return active.Add(seconds(keep))
}

// surplus reports whether the target has more replicas than its load needs.
func (d *decider) surplus(t *target) bool {
	n := t.loaded()
	if n <= 1 || t.demand.Waiting > 0 {
		t.surplusSince = time.Time{}
		return false
	}
	slots := 0
	for _, r := range t.replicas {
		slots += max(1, r.e.spec.Slots)
	}
	perReplica := float64(slots) / float64(len(t.replicas))
	needed := t.rate.perSecond(d.now) * d.p.service.value / (perReplica * targetUtilisation)
	if float64(n-1) < needed {
		t.surplusSince = time.Time{}
		return false
	}
	if t.surplusSince.IsZero() {
		t.surplusSince = d.now
	}
	return true
}
