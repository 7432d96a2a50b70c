package placement

import (
	"math"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// maxCandidates bounds the endpoints weighed for one load by each of their
	// cached copies, their free memory and their idle replicas.
	maxCandidates = 64
	// spreadPenalty is the load time that is accepted to put a further replica
	// into another failure domain.
	spreadPenalty = 5.0 // seconds
	// evictHorizon is how far ahead a call counts against an eviction.
	evictHorizon = 300.0 // seconds
	longReload   = 10.0  // seconds
	// otherReplicaShare is the part of a cold start's cost that remains when
	// another replica of the target serves.
	otherReplicaShare = 0.2
	// unattributedHold is how long after its last call a replica may be running
	// requests on an engine that does not count them by target.
	unattributedHold = 30 * time.Second
	// planTTL is how long a plan waits for its evictions before another
	// endpoint is considered.
	planTTL = 45 * time.Second
)

// choice is an endpoint weighed for a load.
type choice struct {
	plan
	score float64
}

// choose returns the best endpoint for a load of t, or nil and the reason.
// storeWait is the expected wait for the weight store in seconds.
func (p *Policy) choose(t *target, storeWait float64, mayEvict bool, now time.Time) (*plan, string) {
	need := t.MemoryMB
	if t.Base == "" {
		need += t.extraMB
	}
	s := search{p: p, t: t, need: need, storeWait: storeWait, mayEvict: mayEvict, now: now}
	if t.Base != "" {
		s.besideBase()
	} else {
		s.anywhere()
	}
	if s.best == nil {
		return nil, s.reason()
	}
	pl := s.best.plan
	pl.made = now
	return &pl, ""
}

// search weighs candidate endpoints for one load.
type search struct {
	p         *Policy
	t         *target
	need      int64
	storeWait float64
	mayEvict  bool
	now       time.Time
	best      *choice
	seen      []*endpoint
	tooSmall  int
}

func (s *search) besideBase() {
	for i, r := range s.t.base.replicas {
		if i == maxCandidates {
			return
		}
		if r.Version == s.t.base.Version && r.unloadUntil.IsZero() &&
			(r.State == tamarackknot.ReplicaLoaded || r.State == tamarackknot.ReplicaClaimed) {
			s.weigh(r.e, r)
		}
	}
}

func (s *search) anywhere() {
	for i, c := range s.t.cached {
		if i == maxCandidates {
			break
		}
		s.weigh(c.e, nil)
	}
	for _, d := range s.p.domains {
		d.withFree(s.need, max(4, maxCandidates/len(s.p.domains)), func(e *endpoint) { s.weigh(e, nil) })
	}
	if !s.mayEvict {
		return
	}
	s.p.idle.lowest(2*maxCandidates, func(r *replica) { s.weigh(r.e, nil) })
}

func (s *search) reason() string {
	switch {
	case len(s.t.avoid) > 0 && len(s.seen) == 0:
		return "endpoints refused the load"
	case s.t.Base != "" && len(s.seen) == 0:
		return "base model is not loaded"
	case len(s.seen) == 0:
		return "no endpoint is usable"
	case s.tooSmall == len(s.seen):
		return "no endpoint has enough accelerator memory for it"
	}
	return "accelerator memory is in use by replicas that serve requests or were just loaded"
}

// weigh compares an endpoint with the best one so far.
func (s *search) weigh(e *endpoint, base *replica) {
	if !e.usable || !e.exists || s.t.avoids(e, s.now) || slices.Contains(s.seen, e) {
		return
	}
	s.seen = append(s.seen, e)
	if e.spec.MemoryMB < s.need {
		s.tooSmall++
		return
	}
	for _, r := range e.replicas {
		if r.t == s.t {
			return
		}
	}
	p := s.p
	c := choice{plan: plan{e: e, tier: p.tier(s.t, e), mb: s.need, base: base}}
	c.score = p.loads.expect(c.tier, s.t.MemoryMB)
	var wait float64
	if c.tier == tamarackknot.TierRemote {
		wait = s.storeWait
	}
	if base != nil && base.State == tamarackknot.ReplicaClaimed {
		wait = math.Max(wait, p.remaining(base, s.now))
	}
	if missing := s.need - e.free(); missing > 0 {
		missing -= e.freeing()
		if missing > 0 {
			if !s.mayEvict || !p.evictions(&c.plan, missing, s.t, s.now) {
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
		c.score += math.Min(1, float64(e.running)/float64(e.spec.Slots)) * p.service.value
	}
	if s.best == nil || c.score < s.best.score {
		s.best = &c
	}
}

// freeing is the memory of replicas that are being unloaded for nobody.
func (e *endpoint) freeing() int64 {
	var mb int64
	for _, r := range e.replicas {
		if r.State == tamarackknot.ReplicaUnloading || !r.unloadUntil.IsZero() {
			mb += r.MemoryMB
		}
	}
	// The memory of evictions under way is promised to their plans.
	return max(0, mb-e.promise)
}

// unit is what one eviction takes: a replica and, if it is a base model, the
// adapters beside it.
type unit struct {
	replicas []*replica
	mb       int64
	cost     float64
}

// evictions adds the cheapest replicas that free mb to the plan.
func (p *Policy) evictions(pl *plan, mb int64, by *target, now time.Time) bool {
	var units []unit
	for _, r := range pl.e.replicas {
		if u, ok := p.evictionUnit(r, by, now); ok {
			units = append(units, u)
		}
	}
	slices.SortStableFunc(units, func(a, b unit) int {
		if d := a.cost/float64(a.mb+1) - b.cost/float64(b.mb+1); d != 0 {
			return int(math.Copysign(1, d))
		}
		return 0
	})
	var chosen []unit
	left := mb
	for _, u := range units {
		if left <= 0 {
			break
		}
		chosen = append(chosen, u)
		left -= u.mb
	}
	if left > 0 {
		return false
	}
	// A late, large replica may have made earlier ones unnecessary.
	for i := 0; i < len(chosen); {
		if left+chosen[i].mb <= 0 {
			left += chosen[i].mb
			chosen = append(chosen[:i], chosen[i+1:]...)
			continue
		}
		i++
	}
	for _, u := range chosen {
		pl.cost += u.cost
		for _, r := range u.replicas {
			if !slices.Contains(pl.evict, r) {
				pl.evict = append(pl.evict, r)
			}
		}
	}
	return true
}

func (p *Policy) evictionUnit(r *replica, by *target, now time.Time) (unit, bool) {
	if r.t == by.base || p.protected(r, now) {
		return unit{}, false
	}
	u := unit{mb: r.MemoryMB, cost: p.evictCost(r, by, now)}
	if r.t.Base == "" {
		for _, a := range r.e.replicas {
			if a.t.base != r.t {
				continue
			}
			if p.protected(a, now) {
				return unit{}, false
			}
			u.replicas = append(u.replicas, a)
			u.mb += a.MemoryMB
			u.cost += p.evictCost(a, by, now)
		}
	}
	u.replicas = append(u.replicas, r)
	return u, true
}

// protected reports whether a replica must not be unloaded for another target:
// it serves requests, requests wait for it, or it was just loaded.
func (p *Policy) protected(r *replica, now time.Time) bool {
	if r.State != tamarackknot.ReplicaLoaded || !r.unloadUntil.IsZero() || r.needed > 0 || r.running > 0 {
		return true
	}
	t := r.t
	if !t.exists || r.Version != t.Version {
		return false
	}
	if t.demand.Waiting > 0 || t.derived.Waiting > 0 {
		return true
	}
	idle := now.Sub(t.lastUsed)
	if idle < p.cfg.UsageLag || now.Sub(r.Since) < p.cfg.MinResidence {
		return true
	}
	return r.e.unattributed > 0 && idle < unattributedHold
}

// evictCost is the expected cold-start time, in seconds, that an eviction
// causes.
func (p *Policy) evictCost(r *replica, by *target, now time.Time) float64 {
	t := r.t
	if !t.exists || r.Version != t.Version {
		return 0
	}
	age := now.Sub(lastActive(r)).Seconds()
	reload := p.reload(r)
	// Loads longer than longReload count more than in proportion, because they
	// make up the tail of cold starts.
	reload *= math.Max(1, reload/longReload)
	cost := t.hist.within(&p.prior, age, evictHorizon) * reload
	if t.loaded() > 1 {
		cost *= otherReplicaShare
	}
	return cost * math.Exp2(float64(t.Priority-by.Priority)/2)
}

// reload is the expected time of loading a replica again, in seconds.
func (p *Policy) reload(r *replica) float64 {
	return p.loads.expect(p.tier(r.t, r.e), r.MemoryMB)
}

func lastActive(r *replica) time.Time {
	if r.t.lastUsed.After(r.Since) {
		return r.t.lastUsed
	}
	return r.Since
}

// remaining is the expected time until a load under way ends, in seconds.
func (p *Policy) remaining(r *replica, now time.Time) float64 {
	usual := p.loads.usual(r.tier, r.MemoryMB)
	elapsed := now.Sub(r.started).Seconds()
	if elapsed > usual {
		// An overdue load is expected to take half as long again as it already
		// has. expect cannot tell, because it follows the overdue loads.
		return elapsed / 2
	}
	return math.Max(usual, p.loads.expect(r.tier, r.MemoryMB)) - elapsed
}
