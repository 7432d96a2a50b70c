// Package placement decides which models and adapters are loaded on which
// endpoints. It minimises the expected cold-start time, in seconds, against the
// accelerator memory that idle replicas occupy. Policy makes the decisions,
// Controller carries them out.
package placement

import (
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
)

// Default values of PolicyConfig.
const (
	defaultServiceTime  = 2 * time.Second
	defaultMinResidence = 15 * time.Second
	// Usage arrives in batches every 5 s, so a target without recent usage may
	// still have been called within that time.
	defaultUsageLag        = 6 * time.Second
	defaultUnloadTime      = 3 * time.Second // unloadGrace and the unload itself
	defaultDecisionTTL     = 5 * time.Second
	defaultDemandRetention = 30 * time.Second

	// Backoff for an endpoint that refused a load. Without it, a claim, a
	// refusal and a release filled the log 50 times a second.
	minRefusalBackoff = time.Second
	maxRefusalBackoff = 30 * time.Second

	maxDemandRetention = 5 * time.Minute
)

// PolicyConfig holds the parameters of a Policy; zero fields take defaults.
type PolicyConfig struct {
	// LoadTimes are assumed until completed loads provide measurements.
	LoadTimes map[tamarackknot.Tier]LoadTime
	// ServiceTime is the assumed mean duration of a request until enough
	// requests were observed.
	ServiceTime time.Duration
	// MinResidence is how long a replica is protected from eviction after its
	// load.
	MinResidence time.Duration
	// UsageLag is the maximum delay until the policy learns of a request.
	UsageLag time.Duration
	// UnloadTime is the expected time from an unload decision to free memory.
	UnloadTime time.Duration
	// DecisionTTL is how long a decision is assumed to be in progress without a
	// change of the replicas; after that it is made again.
	DecisionTTL time.Duration
	// DemandRetention is how long a target is still loaded after its last
	// waiting request was rejected or withdrawn. Such a load comes after all
	// others and evicts nothing unless callers were given a retry time.
	DemandRetention time.Duration
}

func (c PolicyConfig) withDefaults() PolicyConfig {
	if c.LoadTimes == nil {
		c.LoadTimes = DefaultLoadTimes()
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.ServiceTime, defaultServiceTime},
		{&c.MinResidence, defaultMinResidence},
		{&c.UsageLag, defaultUsageLag},
		{&c.UnloadTime, defaultUnloadTime},
		{&c.DecisionTTL, defaultDecisionTTL},
		{&c.DemandRetention, defaultDemandRetention},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return c
}

// Action is the kind of a decision.
type Action string

// The kinds of decisions.
const (
	ActionLoad       Action = "load"
	ActionEvict      Action = "evict"      // unload to free memory for Decision.For
	ActionIdleUnload Action = "idleUnload" // unload because keeping the replica costs more than reloading it
	ActionUnload     Action = "unload"     // unload because a resource changed or a host leaves
	ActionReject     Action = "reject"     // waiting requests will not be served in time
)

// Decision is one step that the Controller carries out.
type Decision struct {
	Action   Action
	Target   string
	Endpoint string // empty for a rejection
	Reason   string
	// For is the target that an eviction frees memory for.
	For string
	// Tier is the cache tier that a load reads the checkpoint from.
	Tier tamarackknot.Tier
	// ReadyAt is when a load is expected to end.
	ReadyAt time.Time
	// RetryAt is the earliest time at which retrying a rejected request makes
	// sense.
	RetryAt time.Time
	// Cost is the expected cold-start time, in seconds, caused by an unload.
	Cost float64
	// Basis is the version of the target's replica set that a load was decided
	// on.
	Basis tamarackknot.Offset
	// Fence is the fencing token of the replica to unload.
	Fence tamarackknot.Offset
}

// Policy decides placement for one deployment. It does no I/O, starts no
// goroutine and takes the time only from its callers. It is not safe for
// concurrent use.
type Policy struct {
	cfg        PolicyConfig
	deployment tamarackknot.DeploymentSpec
	targets    map[string]*target
	endpoints  map[string]*endpoint
	domains    []*domain
	// active holds the targets with demand of their own or from an adapter.
	active map[*target]struct{}
	// dirty holds the targets whose replicas may violate a constraint.
	dirty map[*target]struct{}
	idle  replicaHeap
	// pendingUnloads holds the replicas whose unload was decided but is not yet
	// in the log.
	pendingUnloads []*replica
	// loading holds the replicas whose load is in progress.
	loading   []*replica
	store     storeLimiter
	loadTimes loadTimeModel
	// priorGaps holds the idle gaps of all models. It serves as the prior for
	// targets with few calls.
	priorGaps gapHistogram
	service   serviceTime
	// expectUntil is the deadline set by ExpectEndpoints.
	expectUntil time.Time
}

type target struct {
	tamarackknot.Target
	exists   bool
	base     *target
	basis    tamarackknot.Offset
	replicas []*replica
	demand   tamarackknot.Demand
	// retainedUntil is until when the target is loaded without waiting
	// requests, after they left unserved or its version changed.
	retainedUntil time.Time
	served        bool // a replica was loaded while demand was waiting
	// retryPromised is set if waiting requests were rejected with a retry time.
	retryPromised bool
	gaps          gapHistogram
	lastUsed      time.Time
	rate          decayingRate
	// surplusSince is when the target was first seen with more replicas than
	// its request rate needs.
	surplusSince time.Time
	cached       []cachedCopy
	refusals     []refusal
	plan         *plan
	// adapterDemand is the demand of adapters that wait for this base model.
	adapterDemand tamarackknot.Demand
	adapterMB     int64 // memory of the largest adapter that waits for this base model
	// needsBaseReplica is set on an adapter that does not fit beside any
	// replica of its base model.
	needsBaseReplica bool
	forecast         tamarackknot.Forecast
	rejected         bool
}

// refusal records that an endpoint refused a target.
type refusal struct {
	e     *endpoint
	until time.Time
	count int
}

type cachedCopy struct {
	e    *endpoint
	tier tamarackknot.Tier
}

type endpoint struct {
	name        string
	spec        tamarackknot.EndpointSpec
	exists      bool
	usable      bool
	domain      *domain
	bucket      int
	bucketIndex int // position within its bucket
	usedMB      int64
	plannedMB   int64 // memory of plans whose load has not been decided
	// unattributed counts requests that the report does not assign to a target.
	unattributed int
	running      int
	replicas     []*replica
	cached       []cachedTarget
}

type cachedTarget struct {
	t    *target
	tier tamarackknot.Tier
}

type replica struct {
	tamarackknot.Replica
	t *target
	e *endpoint
	// assumedUntil is set for a load that was decided but is not yet in the
	// log.
	assumedUntil time.Time
	// unloadAssumedUntil is set for an unload that was decided but is not yet
	// in the log.
	unloadAssumedUntil time.Time
	tier               tamarackknot.Tier
	started            time.Time
	running            int // requests for this target according to the endpoint's report
	dependentPlans     int // plans of adapters that need this base replica
	idleCheckAt        time.Time
	heapIndex          int // position in the idle heap, -1 if absent
}

// plan is the endpoint chosen for a target whose load has not been decided yet,
// with the evictions it needs. cost is the expected cold-start time, in
// seconds, of these evictions.
type plan struct {
	e         *endpoint
	tier      tamarackknot.Tier
	memoryMB  int64
	evict     []*replica
	base      *replica
	createdAt time.Time
	cost      float64
}

// NewPolicy returns a policy without any resources.
func NewPolicy(cfg PolicyConfig) *Policy {
	cfg = cfg.withDefaults()
	return &Policy{
		cfg:       cfg,
		targets:   make(map[string]*target),
		endpoints: make(map[string]*endpoint),
		active:    make(map[*target]struct{}),
		dirty:     make(map[*target]struct{}),
		loadTimes: newLoadTimes(cfg.LoadTimes),
		priorGaps: uniformPrior(),
		service:   serviceTime{mean: cfg.ServiceTime.Seconds()},
	}
}

// ExpectEndpoints delays the rejection of requests that fit on no endpoint
// until the given time, because endpoints may become usable before then.
func (p *Policy) ExpectEndpoints(until time.Time) {
	p.expectUntil = times.Later(p.expectUntil, until)
}

// SetDeployment sets the cold-start weight and the limits of the weight store.
func (p *Policy) SetDeployment(d tamarackknot.DeploymentSpec, now time.Time) {
	p.deployment = d
	p.store.setLimits(d.LoadsPerSecond, d.LoadsAtOnce, now)
	for _, r := range p.idle {
		r.idleCheckAt = now
	}
}

func (p *Policy) target(name string) *target {
	t := p.targets[name]
	if t == nil {
		t = &target{Target: tamarackknot.Target{Name: name}}
		p.targets[name] = t
	}
	return t
}

func (p *Policy) endpoint(name string) *endpoint {
	e := p.endpoints[name]
	if e == nil {
		e = &endpoint{name: name, bucket: -1}
		p.endpoints[name] = e
	}
	return e
}

// SetTarget adds or replaces a target.
func (p *Policy) SetTarget(spec tamarackknot.Target) {
	t := p.target(spec.Name)
	if t.exists && t.Version != spec.Version {
		p.dropCached(t)
	}
	t.Target, t.exists = spec, true
	t.base = nil
	if spec.Base != "" {
		t.base = p.target(spec.Base)
	}
	p.dropPlan(t)
	p.dirty[t] = struct{}{}
}

// RemoveTarget removes a target; its replicas will be unloaded.
func (p *Policy) RemoveTarget(name string) {
	t := p.targets[name]
	if t == nil {
		return
	}
	t.exists = false
	t.demand = tamarackknot.Demand{}
	p.dropPlan(t)
	if len(t.replicas) == 0 && t.Base != "" {
		p.dropCached(t)
		delete(p.targets, name)
		delete(p.active, t)
		delete(p.dirty, t)
		return
	}
	p.dirty[t] = struct{}{}
}

// dropCached removes the cached copies of an outdated version.
func (p *Policy) dropCached(t *target) {
	for _, c := range t.cached {
		kept := c.e.cached[:0]
		for _, ct := range c.e.cached {
			if ct.t != t {
				kept = append(kept, ct)
			}
		}
		c.e.cached = kept
	}
	t.cached = nil
}

// SetEndpoint adds or replaces an endpoint. An endpoint that is not usable
// (draining, leaving, unreachable) gets no loads; if drain is set, its replicas
// are unloaded.
func (p *Policy) SetEndpoint(name string, spec tamarackknot.EndpointSpec, usable, drain bool) {
	e := p.endpoint(name)
	e.spec, e.exists, e.usable = spec, true, usable && !drain
	e.spec.Draining = drain
	if e.domain == nil || e.domain.name != spec.FailureDomain {
		p.unindex(e)
		e.domain = p.domain(spec.FailureDomain)
	}
	p.reindex(e)
	for _, r := range e.replicas {
		p.dirty[r.t] = struct{}{}
	}
}

// RemoveEndpoint marks an endpoint as removed; it gets no loads any more.
func (p *Policy) RemoveEndpoint(name string) {
	e := p.endpoints[name]
	if e == nil {
		return
	}
	e.exists, e.usable = false, false
	p.reindex(e)
	for _, r := range e.replicas {
		p.dirty[r.t] = struct{}{}
	}
}

// SetReport updates the cached copies and the running requests of an endpoint
// from its report.
func (p *Policy) SetReport(name string, r tamarackknot.Report) {
	e := p.endpoint(name)
	e.running = r.Running + r.Waiting
	p.setCached(e, r.Cached)
	attributed := 0
	for _, rep := range e.replicas {
		rep.running = 0
		for _, l := range r.Loaded {
			if l.Name == rep.Target {
				rep.running = l.Running
				attributed += l.Running
			}
		}
	}
	e.unattributed = max(0, e.running-attributed)
}

func (p *Policy) setCached(e *endpoint, cached []tamarackknot.CachedTarget) {
	fresh := make([]cachedTarget, 0, len(cached))
	for _, c := range cached {
		t := p.targets[c.Name]
		if t == nil || !t.exists || t.Version != c.Version || c.Tier == tamarackknot.TierRemote {
			continue
		}
		fresh = append(fresh, cachedTarget{t: t, tier: c.Tier})
	}
	if sameCached(e.cached, fresh) {
		return
	}
	for _, c := range e.cached {
		kept := c.t.cached[:0]
		for _, cc := range c.t.cached {
			if cc.e != e {
				kept = append(kept, cc)
			}
		}
		c.t.cached = kept
	}
	for _, c := range fresh {
		c.t.cached = append(c.t.cached, cachedCopy{e: e, tier: c.tier})
	}
	e.cached = fresh
}

func sameCached(a, b []cachedTarget) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// SetReplicas sets the replicas of a target as recorded in the log. Loads that
// were decided but are not yet recorded are kept until DecisionTTL ends.
func (p *Policy) SetReplicas(name string, basis tamarackknot.Offset, replicas []tamarackknot.Replica, now time.Time) {
	t := p.targets[name]
	if t == nil {
		if len(replicas) == 0 {
			return
		}
		t = p.target(name)
	}
	t.basis = basis
	old := t.replicas
	t.replicas = nil
	for _, spec := range replicas {
		e := p.endpoint(spec.Endpoint)
		r := takeReplicaOn(old, e)
		if r == nil {
			r = &replica{t: t, e: e, heapIndex: -1, started: spec.Since, tier: p.tier(t, e)}
			e.replicas = append(e.replicas, r)
			e.usedMB += spec.MemoryMB
		} else {
			e.usedMB += spec.MemoryMB - r.MemoryMB
		}
		if spec.State != r.State || spec.Fence != r.Fence {
			r.unloadAssumedUntil = time.Time{}
		}
		p.setLoading(r, spec.State == tamarackknot.ReplicaClaimed)
		r.Replica = spec
		r.assumedUntil = time.Time{}
		t.replicas = append(t.replicas, r)
		if spec.State == tamarackknot.ReplicaLoaded {
			t.served = true
			t.refusals = slices.DeleteFunc(t.refusals, func(ref refusal) bool { return ref.e == e })
			p.scheduleIdleCheck(r, now)
		} else {
			p.idle.remove(r)
		}
		p.reindex(e)
	}
	for _, r := range old {
		switch {
		case r == nil:
		case now.Before(r.assumedUntil):
			t.replicas = append(t.replicas, r)
		default:
			p.removeReplica(r)
		}
	}
	p.dirty[t] = struct{}{}
}

// takeReplicaOn removes the replica on e from the list and returns it.
func takeReplicaOn(list []*replica, e *endpoint) *replica {
	for i, r := range list {
		if r != nil && r.e == e {
			list[i] = nil
			return r
		}
	}
	return nil
}

// setLoading adds r to or removes it from the loads in progress.
func (p *Policy) setLoading(r *replica, loading bool) {
	i := slices.Index(p.loading, r)
	switch {
	case loading && i < 0:
		p.loading = append(p.loading, r)
	case !loading && i >= 0:
		p.loading = slices.Delete(p.loading, i, i+1)
	}
}

// scheduleIdleCheck schedules the first idle check of a loaded replica.
func (p *Policy) scheduleIdleCheck(r *replica, now time.Time) {
	if r.heapIndex < 0 {
		p.idle.schedule(r, now.Add(p.cfg.MinResidence))
	}
}

func (p *Policy) removeReplica(r *replica) {
	p.idle.remove(r)
	p.setLoading(r, false)
	e := r.e
	e.usedMB -= r.MemoryMB
	for i, x := range e.replicas {
		if x == r {
			e.replicas = append(e.replicas[:i], e.replicas[i+1:]...)
			break
		}
	}
	p.reindex(e)
	if len(r.t.replicas) == 0 && !r.t.exists && r.t.demand.Waiting == 0 {
		delete(p.active, r.t)
	}
}

// Abandon withdraws a load or unload decision that was not carried out.
func (p *Policy) Abandon(d Decision) {
	t, e := p.targets[d.Target], p.endpoints[d.Endpoint]
	if t == nil || e == nil {
		return
	}
	for i, r := range t.replicas {
		if r.e != e {
			continue
		}
		if !r.assumedUntil.IsZero() {
			t.replicas = append(t.replicas[:i], t.replicas[i+1:]...)
			p.removeReplica(r)
			return
		}
		r.unloadAssumedUntil = time.Time{}
		return
	}
}

// SetDemand replaces the demand for a target, summed over all entry hosts.
func (p *Policy) SetDemand(d tamarackknot.Demand, now time.Time) {
	t := p.targets[d.Target]
	if t == nil || !t.exists {
		return
	}
	wasWaiting := t.demand.Waiting > 0
	t.demand = d
	if d.Waiting > 0 {
		if !wasWaiting {
			t.served = t.servingCount() > 0
		}
		t.retainedUntil, t.retryPromised = time.Time{}, false
		p.active[t] = struct{}{}
		return
	}
	if wasWaiting && !t.served {
		t.retainedUntil = now.Add(p.cfg.DemandRetention)
		// Callers were given a retry time, so the target should be loaded by
		// then.
		t.retryPromised = t.rejected
		if t.retryPromised && t.forecast.ReadyAt.After(t.retainedUntil) {
			t.retainedUntil = times.Earlier(t.forecast.ReadyAt, now.Add(maxDemandRetention))
		}
	}
}

// Used adds count requests to the usage history of a target and its base model;
// first and last are the times of the first and the last request.
func (p *Policy) Used(name string, first, last time.Time, count int, now time.Time) {
	t := p.targets[name]
	if t == nil {
		return
	}
	p.service.arrived(count, now)
	for ; t != nil; t = t.base {
		if !t.lastUsed.IsZero() && first.After(t.lastUsed) {
			gap := first.Sub(t.lastUsed)
			t.gaps.add(gap)
			if t.Base == "" {
				p.priorGaps.add(gap)
			}
		}
		if last.After(t.lastUsed) {
			t.lastUsed = last
		}
		t.rate.add(count, now)
	}
}

// LoadEnded updates the expected load time of a tier with a completed load.
func (p *Policy) LoadEnded(tier tamarackknot.Tier, memoryMB int64, d time.Duration) {
	p.loadTimes.record(tier, memoryMB, d)
}

// StoreBusy delays loads from the weight store until a time.
func (p *Policy) StoreBusy(until time.Time) {
	if until.After(p.store.busyUntil) {
		p.store.busyUntil = until
	}
}

// Refused excludes an endpoint that refused a target from its loads for a time
// that doubles with each refusal, up to maxRefusalBackoff.
func (p *Policy) Refused(name, endpoint string, now time.Time) {
	t, e := p.targets[name], p.endpoints[endpoint]
	if t == nil || e == nil {
		return
	}
	i := slices.IndexFunc(t.refusals, func(ref refusal) bool { return ref.e == e })
	if i < 0 {
		i = len(t.refusals)
		t.refusals = append(t.refusals, refusal{e: e})
	}
	ref := &t.refusals[i]
	ref.until = now.Add(min(maxRefusalBackoff, minRefusalBackoff<<min(ref.count, 10)))
	ref.count++
}

// inBackoff reports whether e recently refused the target.
func (t *target) inBackoff(e *endpoint, now time.Time) bool {
	for _, ref := range t.refusals {
		if ref.e == e {
			return now.Before(ref.until)
		}
	}
	return false
}

// Forecast returns when the target is expected to be loaded, or why it will not
// be. It is zero if the target is loaded or no reliable load time is known.
func (p *Policy) Forecast(name string) tamarackknot.Forecast {
	if t := p.targets[name]; t != nil {
		return t.forecast
	}
	return tamarackknot.Forecast{}
}

// servingCount returns the number of replicas that serve requests.
func (t *target) servingCount() int {
	n := 0
	for _, r := range t.replicas {
		if r.serving() {
			n++
		}
	}
	return n
}

func (r *replica) serving() bool {
	return r.State == tamarackknot.ReplicaLoaded && r.unloadAssumedUntil.IsZero() && r.e.usable &&
		r.t.exists && r.Version == r.t.Version
}

// loadingCount returns the number of loads in progress.
func (t *target) loadingCount() int {
	n := 0
	for _, r := range t.replicas {
		if r.State == tamarackknot.ReplicaClaimed && r.e.usable && r.Version == t.Version {
			n++
		}
	}
	return n
}

func (p *Policy) tier(t *target, e *endpoint) tamarackknot.Tier {
	for _, c := range t.cached {
		if c.e == e {
			return c.tier
		}
	}
	return tamarackknot.TierRemote
}

func (e *endpoint) freeMB() int64 { return e.spec.MemoryMB - e.usedMB - e.plannedMB }

// ObserveRunning updates the mean service time with the number of requests
// running on all endpoints.
func (p *Policy) ObserveRunning(running int, now time.Time) { p.service.observe(running, now) }

// Knows reports whether the policy has a record of the target, even a removed
// one.
func (p *Policy) Knows(name string) bool { return p.targets[name] != nil }

// Serving reports whether a replica of the target serves requests.
func (p *Policy) Serving(name string) bool {
	t := p.targets[name]
	return t != nil && t.servingCount() > 0
}

// LoadTier returns the cache tier that the load of a target on an endpoint
// reads from. It reports false if the target has no replica there.
func (p *Policy) LoadTier(name, endpoint string) (tamarackknot.Tier, bool) {
	t := p.targets[name]
	if t == nil {
		return "", false
	}
	for _, r := range t.replicas {
		if r.e.name == endpoint {
			return r.tier, true
		}
	}
	return "", false
}

// ExpectLoad returns the expected duration of a load.
func (p *Policy) ExpectLoad(name, endpoint string) time.Duration {
	t := p.targets[name]
	if t == nil {
		return seconds(p.loadTimes.expected(tamarackknot.TierRemote, 0))
	}
	tier, ok := p.LoadTier(name, endpoint)
	if !ok {
		tier = tamarackknot.TierRemote
	}
	return seconds(p.loadTimes.expected(tier, t.MemoryMB))
}
