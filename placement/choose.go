package placement

import (
	"math"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// maxCandidates bounds the endpoints evaluated for one load from each
	// source: cached copies, free memory and idle replicas.
	maxCandidates = 64
	// spreadPenalty is the additional load time, in seconds, that is accepted
	// to place a further replica in another failure domain.
	spreadPenalty = 5.0
	// evictHorizon is how far ahead, in seconds, an expected call counts
	// towards the cost of an eviction.
	evictHorizon = 300.0
	longReload   = 10.0 // seconds
	// otherReplicaShare is the fraction of a cold start's cost that remains
	// while another replica of the target serves.
	otherReplicaShare = 0.2
	// unattributedHold is how long after its last call a replica counts as in
	// use if its endpoint runs requests that the report assigns to no target.
	unattributedHold = 30 * time.Second
	// planTTL is how long a plan waits for its evictions before another
	// endpoint is considered.
	planTTL = 45 * time.Second
)

// candidate is an endpoint that a load may use. score, in seconds, is the
// expected time until the load ends plus the cost of its evictions and penalties
// for a shared failure domain and for busy slots.
type candidate struct {
	plan
	score float64
}

// choose returns the endpoint with the lowest score for a load of t, or nil and
// the reason. storeWait is the expected wait for the weight store in seconds.
func (p *Policy) choose(t *target, storeWait float64, mayEvict bool, now time.Time) (*plan, string) {
	need := t.MemoryMB
	if t.Base == "" {
		need += t.adapterMB
	}
	s := search{p: p, t: t, needMB: need, storeWait: storeWait, mayEvict: mayEvict, now: now}
	if t.Base != "" {
		s.searchBaseEndpoints()
	} else {
		s.searchAllEndpoints()
	}
	if s.best == nil {
		return nil, s.reason()
	}
	pl := s.best.plan
	pl.createdAt = now
	return &pl, ""
}

// search evaluates candidate endpoints for one load.
type search struct {
	p         *Policy
	t         *target
	needMB    int64
	storeWait float64
	mayEvict  bool
	now       time.Time
	best      *candidate
	evaluated []*endpoint
	tooSmall  int
}

func (s *search) searchBaseEndpoints() {
	for i, r := range s.t.base.replicas {
		if i == maxCandidates {
			return
		}
		if r.Version == s.t.base.Version && r.unloadAssumedUntil.IsZero() &&
			(r.State == tamarackknot.ReplicaLoaded || r.State == tamarackknot.ReplicaClaimed) {
			s.evaluate(r.e, r)
		}
	}
}

func (s *search) searchAllEndpoints() {
	for i, c := range s.t.cached {
		if i == maxCandidates {
			break
		}
		s.evaluate(c.e, nil)
	}
	for _, d := range s.p.domains {
		d.eachWithFree(s.needMB, max(4, maxCandidates/len(s.p.domains)), func(e *endpoint) { s.evaluate(e, nil) })
	}
	if !s.mayEvict {
		return
	}
	s.p.idle.eachEarliest(2*maxCandidates, func(r *replica) { s.evaluate(r.e, nil) })
}

func (s *search) reason() string {
	switch {
	case len(s.t.refusals) > 0 && len(s.evaluated) == 0:
		return "endpoints refused the load"
	case s.t.Base != "" && len(s.evaluated) == 0:
		return "base model is not loaded"
	case len(s.evaluated) == 0:
		return "no endpoint is usable"
	case s.tooSmall == len(s.evaluated):
		return "no endpoint has enough accelerator memory for it"
	}
	return "accelerator memory is in use by replicas that serve requests or were just loaded"
}

// evaluate computes the score of an endpoint and keeps it if it is the best so
// far. base is the replica of the base model if the target is an adapter.
func (s *search) evaluate(e *endpoint, base *replica) {
	if !e.usable || !e.exists || s.t.inBackoff(e, s.now) || slices.Contains(s.evaluated, e) {
		return
	}
	s.evaluated = append(s.evaluated, e)
	if e.spec.MemoryMB < s.needMB {
		s.tooSmall++
		return
	}
	for _, r := range e.replicas {
		if r.t == s.t {
			return
		}
	}
	p := s.p
	c := candidate{plan: plan{e: e, tier: p.tier(s.t, e), memoryMB: s.needMB, base: base}}
	c.score = p.loadTimes.expected(c.tier, s.t.MemoryMB)
	var wait float64
	if c.tier == tamarackknot.TierRemote {
		wait = s.storeWait
	}
	if base != nil && base.State == tamarackknot.ReplicaClaimed {
		wait = math.Max(wait, p.remainingLoadTime(base, s.now))
	}
	if shortfallMB := s.needMB - e.freeMB(); shortfallMB > 0 {
		shortfallMB -= e.releasableMB()
		if shortfallMB > 0 {
			if !s.mayEvict || !p.addEvictions(&c.plan, shortfallMB, s.t, s.now) {
				return
			}
		}
		wait = math.Max(wait, p.cfg.UnloadTime.Seconds())
		c.score += c.cost
	}
	c.score += wait
	for _, r := range s.t.replicas {
		if r.e.domain == e.domain {
			c.score += spreadPenalty
			break
		}
	}
	if e.spec.Slots > 0 {
		c.score += math.Min(1, float64(e.running)/float64(e.spec.Slots)) * p.service.mean
	}
	if s.best == nil || c.score < s.best.score {
		s.best = &c
	}
}

// releasableMB returns the memory of replicas being unloaded that no plan
// needs.
func (e *endpoint) releasableMB() int64 {
	var mb int64
	for _, r := range e.replicas {
		if r.State == tamarackknot.ReplicaUnloading || !r.unloadAssumedUntil.IsZero() {
			mb += r.MemoryMB
		}
	}
	// plannedMB includes the memory that evictions in progress free for their
	// plans.
	return max(0, mb-e.plannedMB)
}

// evictionGroup is a set of replicas that must be evicted together: a replica
// and, if it is of a base model, the adapters on top of it.
type evictionGroup struct {
	replicas []*replica
	memoryMB int64
	cost     float64
}

// addEvictions adds the replicas with the lowest cost per MB that free at least
// mb to the plan. It reports false if too little memory can be freed.
func (p *Policy) addEvictions(pl *plan, mb int64, incoming *target, now time.Time) bool {
	var groups []evictionGroup
	for _, r := range pl.e.replicas {
		if g, ok := p.evictionGroupFor(r, incoming, now); ok {
			groups = append(groups, g)
		}
	}
	slices.SortStableFunc(groups, func(a, b evictionGroup) int {
		if d := a.cost/float64(a.memoryMB+1) - b.cost/float64(b.memoryMB+1); d != 0 {
			return int(math.Copysign(1, d))
		}
		return 0
	})
	var chosen []evictionGroup
	remainingMB := mb
	for _, g := range groups {
		if remainingMB <= 0 {
			break
		}
		chosen = append(chosen, g)
		remainingMB -= g.memoryMB
	}
	if remainingMB > 0 {
		return false
	}
	// A large replica at the end may have made earlier ones unnecessary.
	for i := 0; i < len(chosen); {
		if remainingMB+chosen[i].memoryMB <= 0 {
			remainingMB += chosen[i].memoryMB
			chosen = append(chosen[:i], chosen[i+1:]...)
			continue
		}
		i++
	}
	for _, g := range chosen {
		pl.cost += g.cost
		for _, r := range g.replicas {
			if !slices.Contains(pl.evict, r) {
				pl.evict = append(pl.evict, r)
			}
		}
	}
	return true
}

func (p *Policy) evictionGroupFor(r *replica, incoming *target, now time.Time) (evictionGroup, bool) {
	if r.t == incoming.base || p.protected(r, now) {
		return evictionGroup{}, false
	}
	g := evictionGroup{memoryMB: r.MemoryMB, cost: p.evictCost(r, incoming, now)}
	if r.t.Base == "" {
		for _, a := range r.e.replicas {
			if a.t.base != r.t {
				continue
			}
			if p.protected(a, now) {
				return evictionGroup{}, false
			}
			g.replicas = append(g.replicas, a)
			g.memoryMB += a.MemoryMB
			g.cost += p.evictCost(a, incoming, now)
		}
	}
	g.replicas = append(g.replicas, r)
	return g, true
}

// protected reports whether a replica must not be evicted: it serves requests,
// requests wait for it, or it was loaded recently.
func (p *Policy) protected(r *replica, now time.Time) bool {
	if r.State != tamarackknot.ReplicaLoaded || !r.unloadAssumedUntil.IsZero() || r.dependentPlans > 0 || r.running > 0 {
		return true
	}
	t := r.t
	if !t.exists || r.Version != t.Version {
		return false
	}
	if t.demand.Waiting > 0 || t.adapterDemand.Waiting > 0 {
		return true
	}
	idle := now.Sub(t.lastUsed)
	if idle < p.cfg.UsageLag || now.Sub(r.Since) < p.cfg.MinResidence {
		return true
	}
	return r.e.unattributed > 0 && idle < unattributedHold
}

// evictCost returns the expected cold-start time, in seconds, that an eviction
// causes, weighted by the difference in priority to the incoming target.
func (p *Policy) evictCost(r *replica, incoming *target, now time.Time) float64 {
	t := r.t
	if !t.exists || r.Version != t.Version {
		return 0
	}
	age := now.Sub(lastActive(r)).Seconds()
	reload := p.reloadTime(r)
	// Reloads longer than longReload have a more than proportional cost because
	// they form the tail of the cold-start distribution.
	reload *= math.Max(1, reload/longReload)
	cost := t.gaps.callProbability(&p.priorGaps, age, evictHorizon) * reload
	if t.servingCount() > 1 {
		cost *= otherReplicaShare
	}
	return cost * math.Exp2(float64(t.Priority-incoming.Priority)/2)
}

// reloadTime returns the expected time of loading a replica again, in seconds.
func (p *Policy) reloadTime(r *replica) float64 {
	return p.loadTimes.expected(p.tier(r.t, r.e), r.MemoryMB)
}

func lastActive(r *replica) time.Time {
	if r.t.lastUsed.After(r.Since) {
		return r.t.lastUsed
	}
	return r.Since
}

// remainingLoadTime returns the expected time until a load in progress ends, in
// seconds.
func (p *Policy) remainingLoadTime(r *replica, now time.Time) float64 {
	learned := p.loadTimes.learnedTime(r.tier, r.MemoryMB)
	elapsed := now.Sub(r.started).Seconds()
	if elapsed > learned {
		// An overdue load is expected to take another half of its elapsed time.
		// expected cannot be used here because overdue loads raise it.
		return elapsed / 2
	}
	return math.Max(learned, p.loadTimes.expected(r.tier, r.MemoryMB)) - elapsed
}
