// Package placement decides which models and adapters are loaded on which
// endpoints. Policy makes the decisions, Controller carries them out.
package placement

import (
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
)

// Defaults of PolicyConfig.
const (
	defaultServiceTime  = 2 * time.Second
	defaultMinResidence = 15 * time.Second
	// Usage arrives in batches every 5 s, so a target that looks unused for a
	// shorter time may be in use.
	defaultUsageLag    = 6 * time.Second
	defaultUnloadTime  = 3 * time.Second // grace before the order, and the order
	defaultDecisionTTL = 5 * time.Second
	defaultFadeAfter   = 30 * time.Second

	// An endpoint that refuses a load is not asked again at once: without this
	// pause a claim, a refusal and a release filled the log 50 times a second.
	minAvoid = time.Second
	maxAvoid = 30 * time.Second

	maxFade = 5 * time.Minute
)

// PolicyConfig holds the constants of a Policy; zero fields take defaults.
type PolicyConfig struct {
	// LoadTimes are assumed until loads have been measured.
	LoadTimes map[tamarackknot.Tier]LoadTime
	// ServiceTime is the assumed duration of a request until it is measured.
	ServiceTime time.Duration
	// MinResidence protects a replica after its load from eviction.
	MinResidence time.Duration
	// UsageLag is how late the policy learns of a request.
	UsageLag time.Duration
	// UnloadTime is the expected time from an unload decision to free memory.
	UnloadTime time.Duration
	// DecisionTTL is how long a decision is assumed to be under way before the
	// replicas show it; after that it is made again.
	DecisionTTL time.Duration
	// FadeAfter is how long a target is still loaded, if nothing else needs
	// the store or the memory, after its last waiting request was rejected.
	FadeAfter time.Duration
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
		{&c.FadeAfter, defaultFadeAfter},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return c
}

// Action is what a decision asks for.
type Action string

// The actions of decisions.
const (
	ActionLoad       Action = "load"
	ActionEvict      Action = "evict"      // unload to make room for Decision.For
	ActionIdleUnload Action = "idleUnload" // unload because keeping it costs more than reloading
	ActionUnload     Action = "unload"     // unload because a resource changed or a host leaves
	ActionReject     Action = "reject"     // waiting requests will not be served in time
)

// Decision is one step that the policy asks for.
type Decision struct {
	Action   Action
	Target   string
	Endpoint string // empty for a rejection
	Reason   string
	// For is the target that an eviction makes room for.
	For string
	// Tier is where a load reads the checkpoint.
	Tier tamarackknot.Tier
	// ReadyAt is when a load is expected to end.
	ReadyAt time.Time
	// RetryAt is when asking again helps after a rejection.
	RetryAt time.Time
	// Cost is the expected cold-start time, in seconds, caused by an unload.
	Cost float64
	// Basis is the replica-set version that a load was based on.
	Basis tamarackknot.Offset
	// Fence is the fencing number of the replica that an unload was based on.
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
	// active holds the targets with demand, of their own or of an adapter.
	active map[*target]struct{}
	// dirty holds the targets whose replicas may break a rule.
	dirty map[*target]struct{}
	idle  replicaHeap
	// deciding holds the replicas whose unload was decided lately.
	deciding []*replica
	// loading holds the replicas whose load is under way.
	loading []*replica
	store   store
	loads   loadTimes
	// prior holds the idle gaps of all targets; it stands in for the history
	// of a target with few calls.
	prior   gaps
	service serviceTime
	// expectUntil is the deadline of ExpectEndpoints.
	expectUntil time.Time
}

type target struct {
	tamarackknot.Target
	exists   bool
	base     *target
	basis    tamarackknot.Offset
	replicas []*replica
	demand   tamarackknot.Demand
	// fadeUntil is set when the last waiting request went away unserved.
	fadeUntil time.Time
	served    bool // a replica was loaded while the demand lasted
	// promised is set if the demand was rejected with a time to retry.
	promised bool
	hist     gaps
	lastUsed time.Time
	rate     decayingRate
	// surplusSince is when more replicas than the load needs were first seen.
	surplusSince time.Time
	cached       []cachedCopy
	avoid        []avoided
	plan         *plan
	// derived is the demand of adapters that wait for this base model.
	derived tamarackknot.Demand
	extraMB int64 // memory of the largest adapter waiting for this base
	// needsBase is set on an adapter that found no room beside its base model.
	needsBase bool
	forecast  tamarackknot.Forecast
	rejected  bool
}

// avoided is an endpoint that refused a target.
type avoided struct {
	e     *endpoint
	until time.Time
	times int
}

type cachedCopy struct {
	e    *endpoint
	tier tamarackknot.Tier
}

type endpoint struct {
	name    string
	spec    tamarackknot.EndpointSpec
	exists  bool
	usable  bool
	domain  *domain
	bucket  int
	slot    int // position in its bucket
	used    int64
	promise int64 // memory planned for loads that wait for evictions
	// unattributed counts requests that the report does not assign to a
	// target.
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
	// until is set for a load that was decided but is not in the log yet.
	until time.Time
	// unloadUntil is set while an unload was decided but is not in the log.
	unloadUntil time.Time
	tier        tamarackknot.Tier
	started     time.Time
	running     int // requests of this target that the endpoint reports
	needed      int // plans of adapters that need this base replica
	checkAt     time.Time
	heap        int // position in the idle heap, -1 if absent
}

// plan is the endpoint chosen for a target whose load has not been decided.
type plan struct {
	e     *endpoint
	tier  tamarackknot.Tier
	mb    int64
	evict []*replica
	base  *replica
	made  time.Time
	cost  float64
}

// NewPolicy returns a policy that knows no resources yet.
func NewPolicy(cfg PolicyConfig) *Policy {
	cfg = cfg.withDefaults()
	return &Policy{
		cfg:       cfg,
		targets:   make(map[string]*target),
		endpoints: make(map[string]*endpoint),
		active:    make(map[*target]struct{}),
		dirty:     make(map[*target]struct{}),
		loads:     newLoadTimes(cfg.LoadTimes),
		prior:     assumedGaps(),
		service:   serviceTime{value: cfg.ServiceTime.Seconds()},
	}
}

// ExpectEndpoints says that endpoints may become usable until a deadline, so
// that a request for which there is no place now is not rejected before.
func (p *Policy) ExpectEndpoints(until time.Time) {
	p.expectUntil = times.Later(p.expectUntil, until)
}

// SetDeployment sets the weight and the store limits.
func (p *Policy) SetDeployment(d tamarackknot.DeploymentSpec, now time.Time) {
	p.deployment = d
	p.store.setLimits(d.LoadsPerSecond, d.LoadsAtOnce, now)
	for _, r := range p.idle {
		r.checkAt = now
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

// RemoveTarget forgets a target; its replicas will be unloaded.
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

// dropCached forgets the cached copies of an old version.
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
// (draining, leaving, unreachable) gets no loads and, if drain is set, its
// replicas are unloaded.
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

// RemoveEndpoint takes an endpoint out of placement.
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

// SetReport takes the cache tiers and the load from an endpoint's report.
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

// SetReplicas sets the reservations of a target as the log shows them.
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
		r := take(old, e)
		if r == nil {
			r = &replica{t: t, e: e, heap: -1, started: spec.Since, tier: p.tier(t, e)}
			e.replicas = append(e.replicas, r)
			e.used += spec.MemoryMB
		} else {
			e.used += spec.MemoryMB - r.MemoryMB
		}
		if spec.State != r.State || spec.Fence != r.Fence {
			r.unloadUntil = time.Time{}
		}
		p.setLoading(r, spec.State == tamarackknot.ReplicaClaimed)
		r.Replica = spec
		r.until = time.Time{}
		t.replicas = append(t.replicas, r)
		if spec.State == tamarackknot.ReplicaLoaded {
			t.served = true
			t.avoid = slices.DeleteFunc(t.avoid, func(a avoided) bool { return a.e == e })
			p.pushIdle(r, now)
		} else {
			p.idle.drop(r)
		}
		p.reindex(e)
	}
	for _, r := range old {
		switch {
		case r == nil:
		case now.Before(r.until):
			t.replicas = append(t.replicas, r)
		default:
			p.removeReplica(r)
		}
	}
	p.dirty[t] = struct{}{}
}

// take removes the replica on e from the list.
func take(list []*replica, e *endpoint) *replica {
	for i, r := range list {
		if r != nil && r.e == e {
			list[i] = nil
			return r
		}
	}
	return nil
}

// setLoading adds r to or removes it from the loads under way.
func (p *Policy) setLoading(r *replica, loading bool) {
	i := slices.Index(p.loading, r)
	switch {
	case loading && i < 0:
		p.loading = append(p.loading, r)
	case !loading && i >= 0:
		p.loading = slices.Delete(p.loading, i, i+1)
	}
}

// pushIdle schedules the idle check of a loaded replica.
func (p *Policy) pushIdle(r *replica, now time.Time) {
	if r.heap < 0 {
		p.idle.set(r, now.Add(p.cfg.MinResidence))
	}
}

func (p *Policy) removeReplica(r *replica) {
	p.idle.drop(r)
	p.setLoading(r, false)
	e := r.e
	e.used -= r.MemoryMB
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
		if !r.until.IsZero() {
			t.replicas = append(t.replicas[:i], t.replicas[i+1:]...)
			p.removeReplica(r)
			return
		}
		r.unloadUntil = time.Time{}
		return
	}
}

// SetDemand replaces the demand for a target, summed over the entry hosts.
func (p *Policy) SetDemand(d tamarackknot.Demand, now time.Time) {
	t := p.targets[d.Target]
	if t == nil || !t.exists {
		return
	}
	had := t.demand.Waiting > 0
	t.demand = d
	if d.Waiting > 0 {
		if !had {
			t.served = t.loaded() > 0
		}
		t.fadeUntil, t.promised = time.Time{}, false
		p.active[t] = struct{}{}
		return
	}
	if had && !t.served {
		t.fadeUntil = now.Add(p.cfg.FadeAfter)
		// Callers were told when to come back; the load must be there then.
		t.promised = t.rejected
		if t.promised && t.forecast.ReadyAt.After(t.fadeUntil) {
			t.fadeUntil = times.Earlier(t.forecast.ReadyAt, now.Add(maxFade))
		}
	}
}

// Used adds requests to the call history of a target: count requests, the
// first and the last at the given times.
func (p *Policy) Used(name string, first, last time.Time, count int, now time.Time) {
	t := p.targets[name]
	if t == nil {
		return
	}
	p.service.arrived(count, now)
	for ; t != nil; t = t.base {
		if !t.lastUsed.IsZero() && first.After(t.lastUsed) {
			gap := first.Sub(t.lastUsed)
			t.hist.add(gap)
			if t.Base == "" {
				p.prior.add(gap)
			}
		}
		if last.After(t.lastUsed) {
			t.lastUsed = last
		}
		t.rate.add(count, now)
	}
}

// LoadEnded teaches the load time of a tier. A load that failed counts only
// if it took longer than expected.
func (p *Policy) LoadEnded(tier tamarackknot.Tier, memoryMB int64, d time.Duration) {
	p.loads.add(tier, memoryMB, d)
}

// StoreBusy holds loads from the weight store back until a time.
func (p *Policy) StoreBusy(until time.Time) {
	if until.After(p.store.busyUntil) {
		p.store.busyUntil = until
	}
}

// Refused keeps a target off an endpoint that refused it, longer each time.
func (p *Policy) Refused(name, endpoint string, now time.Time) {
	t, e := p.targets[name], p.endpoints[endpoint]
	if t == nil || e == nil {
		return
	}
	i := slices.IndexFunc(t.avoid, func(a avoided) bool { return a.e == e })
	if i < 0 {
		i = len(t.avoid)
		t.avoid = append(t.avoid, avoided{e: e})
	}
	a := &t.avoid[i]
	a.until = now.Add(min(maxAvoid, minAvoid<<min(a.times, 10)))
	a.times++
}

// avoids reports whether an endpoint refused the target lately.
func (t *target) avoids(e *endpoint, now time.Time) bool {
	for _, a := range t.avoid {
		if a.e == e {
			return now.Before(a.until)
		}
	}
	return false
}

// Forecast is what the policy expects for a target that is not loaded.
func (p *Policy) Forecast(name string) tamarackknot.Forecast {
	if t := p.targets[name]; t != nil {
		return t.forecast
	}
	return tamarackknot.Forecast{}
}

// loaded counts the replicas that serve requests.
func (t *target) loaded() int {
	n := 0
	for _, r := range t.replicas {
		if r.serving() {
			n++
		}
	}
	return n
}

func (r *replica) serving() bool {
	return r.State == tamarackknot.ReplicaLoaded && r.unloadUntil.IsZero() && r.e.usable &&
		r.t.exists && r.Version == r.t.Version
}

// coming counts the loads under way.
func (t *target) coming() int {
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

func (e *endpoint) free() int64 { return e.spec.MemoryMB - e.used - e.promise }

// Observe takes the number of requests that run at all endpoints.
func (p *Policy) Observe(running int, now time.Time) { p.service.observe(running, now) }

// Knows reports whether the policy has heard of a target.
func (p *Policy) Knows(name string) bool { return p.targets[name] != nil }

// Serving reports whether a replica of the target serves requests.
func (p *Policy) Serving(name string) bool {
	t := p.targets[name]
	return t != nil && t.loaded() > 0
}

// LoadTier is the tier that the load of a target on an endpoint reads.
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

// ExpectLoad is the expected duration of a load.
func (p *Policy) ExpectLoad(name, endpoint string) time.Duration {
	t := p.targets[name]
	if t == nil {
		return seconds(p.loads.expect(tamarackknot.TierRemote, 0))
	}
	tier, ok := p.LoadTier(name, endpoint)
	if !ok {
		tier = tamarackknot.TierRemote
	}
	return seconds(p.loads.expect(tier, t.MemoryMB))
}
