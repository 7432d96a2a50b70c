// Package replay simulates a placement policy, and simple baselines for
// comparison, on the same generated arrivals.
package replay

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
	"tamarackknot.example/tamarackknot/placement"
)

// simConfig configures a simulation. The load times, sizes and arrival process
// of a simulation differ from the defaults that placement.Policy assumes.
type simConfig struct {
	endpoints, models, adapters  int
	seed                         uint64
	hours, warmUp                float64
	weight                       float64
	slowFrom, slowTo, slowFactor float64 // hours, factor
	lostFrom, lostTo             float64 // hours during which failure domain 0 is lost
}

const (
	endpointMB, slotsPerEndpoint       = 81_920, 16
	hostMemoryMB, diskMB               = 122_880, 409_600
	loadsPerSecond, maxConcurrentLoads = 4.0, 4
	// serviceTime is the duration of a request, firstTokenTime the part of it up
	// to the first token, and unloadTime the duration of an unload.
	serviceTime, firstTokenTime = 4 * time.Second, 300 * time.Millisecond
	unloadTime                  = 3 * time.Second
	// Half of the callers use defaultTimeout, the default of the callers' API,
	// the others maxTimeout, its maximum.
	defaultTimeout, maxTimeout = 30 * time.Second, 10 * time.Minute
	// The placer decides every stepInterval, and every waitingStepInterval while
	// requests wait.
	stepInterval, waitingStepInterval = 5 * time.Second, 250 * time.Millisecond
	// reportInterval is how often the policy receives endpoint reports, which
	// also show the endpoints that are lost.
	reportInterval = 2 * time.Second
	// minKeepAlive is how long a replica is kept after its load even if no
	// request uses it.
	minKeepAlive = 5 * time.Second
)

// usageInterval is how often entry hosts report request counts to the planner.
const usageInterval = 5 * time.Second

// loadSpeed returns the actual duration of loads from a tier: a fixed part in
// seconds and a rate in MB per second.
func loadSpeed(tier tamarackknot.Tier) (fixed, perSecond float64) {
	switch tier {
	case tamarackknot.TierMemory:
		return 1.5, 6000
	case tamarackknot.TierDisk:
		return 2.5, 1200
	default:
		return 4, 500
	}
}

func periyar() simConfig {
	return simConfig{endpoints: 20, models: 100, adapters: 90, seed: 1, hours: 28, warmUp: 4, weight: 0.75}
}

func sotfelagid() simConfig {
	return simConfig{endpoints: 10, models: 50, adapters: 60, seed: 2, hours: 28, warmUp: 4, weight: 0.25}
}

type target struct {
	tamarackknot.Target
	base            *target
	replicas        []*replica
	waiting         []*request
	abandoned       []*request // rejected; their time to a replica still counts as latency
	lastUsed        time.Time
	usesSinceSync   int
	firstUsed       time.Time
	replicasChanged bool
	queued          bool // in a baseline's load queue
}

type endpoint struct {
	name    string
	spec    tamarackknot.EndpointSpec
	lost    bool
	usedMB  int64
	running int
	loaded  []*replica
	memory  []*target // least recently used first
	disk    []*target
	cached  []tamarackknot.CachedTarget // nil after a change
}

type replica struct {
	t         *target
	e         *endpoint
	state     tamarackknot.ReplicaState
	running   int
	since     time.Time
	idleSince time.Time
	fence     tamarackknot.Offset
	removed   bool
	tier      tamarackknot.Tier
	remaining float64 // remaining load time from the store, in seconds at full speed
}

type request struct {
	at, deadline time.Time
	cold         bool
}

// placer decides which replicas to load and unload, by calling the simulation's
// methods load and unload.
type placer interface {
	arrived(sim *simulation, t *target)
	decide(sim *simulation)
	forecast(t *target) tamarackknot.Forecast
}

type event struct {
	at  time.Time
	seq int
	fn  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any     { o := *h; e := o[len(o)-1]; *h = o[:len(o)-1]; return e }

// simulation replays generated arrivals against a placer.
type simulation struct {
	cfg             simConfig
	placer          placer
	start, now      time.Time
	events          events
	seq             int
	fence           tamarackknot.Offset
	rng             *rand.Rand // noise of load times, drawn in event order
	targets         []*target
	endpoints       []*endpoint
	storeLoads      []*replica
	storeAdvancedAt time.Time
	storeGeneration int
	tokens          float64
	tokensAt        time.Time
	result          result
	violations      []string
}

type result struct {
	cold, all          []float64 // first-token times in seconds
	requests, rejected int
	idle               float64 // idle endpoint hours, weighted by the share of endpoint memory
	loads, remote      int
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

func (r *result) merge(o *result) {
	r.cold, r.all = append(r.cold, o.cold...), append(r.all, o.all...)
	r.requests += o.requests
	r.rejected += o.rejected
	r.idle += o.idle
	r.loads += o.loads
	r.remote += o.remote
}

func (r *result) String() string {
	return fmt.Sprintf("cold %6d p50 %5.1f p95 %6.1f p99 %6.1f s  all p99 %6.1f s  rejected %5.2f%%  idle %6.1f h  loads %5d remote %5d",
		len(r.cold), quantile(r.cold, .5), quantile(r.cold, .95), quantile(r.cold, .99), quantile(r.all, .99),
		100*float64(r.rejected)/float64(max(1, r.requests)), r.idle, r.loads, r.remote)
}

func newSimulation(cfg simConfig, p placer) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	sim := &simulation{cfg: cfg, placer: p, start: start, now: start, storeAdvancedAt: start, tokensAt: start, rng: rand.New(rand.NewPCG(cfg.seed, 3))}
	rng := rand.New(rand.NewPCG(cfg.seed, 1))
	for i := range cfg.endpoints {
		sim.endpoints = append(sim.endpoints, &endpoint{name: fmt.Sprintf("e%03d", i), spec: tamarackknot.EndpointSpec{
			FailureDomain: fmt.Sprintf("d%d", i%3), MemoryMB: endpointMB, Slots: slotsPerEndpoint,
		}})
	}
	for i := range cfg.models + cfg.adapters {
		t := &target{Target: tamarackknot.Target{Name: fmt.Sprintf("t%05d", i), Version: "1", Priority: 5, MaxReplicas: 3}}
		t.MemoryMB = int64(min(71_680, 16_384*math.Exp(0.6*rng.NormFloat64())))
		if i >= cfg.models {
			t.base = sim.targets[rng.IntN(cfg.models)]
			t.Base, t.MemoryMB = t.base.Name, int64(100+rng.IntN(900))
		}
		sim.targets = append(sim.targets, t)
		for _, e := range sim.endpoints { // each endpoint has a cached copy with a probability of 20%
			if rng.Float64() < 0.2 {
				sim.cacheCheckpoint(e, t)
			}
		}
	}
	sim.scheduleArrivals()
	if cfg.lostTo > 0 {
		sim.schedule(sim.hour(cfg.lostFrom), func() { sim.setDomainLost(true) })
		sim.schedule(sim.hour(cfg.lostTo), func() { sim.setDomainLost(false) })
	}
	return sim
}

func (sim *simulation) hour(h float64) time.Time {
	return sim.start.Add(time.Duration(h * float64(time.Hour)))
}

func (sim *simulation) schedule(t time.Time, fn func()) {
	sim.seq++
	heap.Push(&sim.events, event{t, sim.seq, fn})
}

// scheduleArrivals schedules bursts for each target, which alternates between
// active and quiet phases: 30% of the targets are active, and 24% change phase
// within an hour. The gaps between bursts of an active target are log-normal with
// a median of 2 to 30 minutes, those of a quiet one exponential with a mean of
// 10 hours. A burst has 1 to 15 requests within 2 seconds.
func (sim *simulation) scheduleArrivals() {
	for i, t := range sim.targets {
		rng := rand.New(rand.NewPCG(sim.cfg.seed, uint64(100+i)))
		median := 120 * math.Exp(rng.Float64()*math.Log(15)) // seconds
		active, at := rng.Float64() < 0.3, 0.0
		end := sim.cfg.hours * 3600
		phase := 0.0
		for at < end {
			if at >= phase {
				if phase > 0 {
					active = !active
				}
				perHour := 0.171
				if active {
					perHour = 0.4
				}
				phase = at + rng.ExpFloat64()*3600/perHour
			}
			gap := 36_000 * rng.ExpFloat64()
			if active {
				gap = median * math.Exp(rng.NormFloat64())
			}
			if at+gap > phase {
				at = phase
				continue
			}
			at += gap
			sim.scheduleBurst(t, at, rng)
		}
	}
}

// scheduleBurst schedules the requests of one burst that starts at a time in
// seconds.
func (sim *simulation) scheduleBurst(t *target, at float64, rng *rand.Rand) {
	for range 1 + min(14, int(rng.ExpFloat64()*5)) {
		timeout := defaultTimeout
		if rng.Float64() < 0.5 {
			timeout = maxTimeout
		}
		when := sim.start.Add(seconds(at + 2*rng.Float64()))
		sim.schedule(when, func() { sim.arrive(t, when.Add(timeout)) })
	}
}

func (sim *simulation) pastWarmUp() bool { return sim.now.Sub(sim.start).Hours() >= sim.cfg.warmUp }

func (sim *simulation) arrive(t *target, deadline time.Time) {
	r := &request{at: sim.now, deadline: deadline}
	if t.usesSinceSync == 0 {
		t.firstUsed = sim.now
	}
	t.usesSinceSync++
	t.lastUsed = sim.now
	if t.base != nil {
		t.base.lastUsed = sim.now
	}
	r.cold = !slices.ContainsFunc(t.replicas, func(r *replica) bool { return r.serves() })
	if sim.pastWarmUp() {
		sim.result.requests++
	}
	t.waiting = append(t.waiting, r)
	sim.placer.arrived(sim, t)
	sim.dispatch(t)
}

func (r *replica) serves() bool { return r.state == tamarackknot.ReplicaLoaded && !r.e.lost }

// dispatch starts the waiting requests of a target on loaded replicas with free
// slots.
func (sim *simulation) dispatch(t *target) {
	for len(t.waiting) > 0 || len(t.abandoned) > 0 {
		var best *replica
		for _, r := range t.replicas {
			if r.serves() && r.e.running < slotsPerEndpoint && (best == nil || r.e.running < best.e.running) {
				best = r
			}
		}
		if best == nil {
			return
		}
		for _, g := range t.abandoned {
			sim.recordLatency(g)
		}
		t.abandoned = nil
		if len(t.waiting) == 0 {
			return
		}
		q := t.waiting[0]
		t.waiting = t.waiting[1:]
		sim.recordLatency(q)
		sim.addRunning(best, 1)
		sim.schedule(sim.now.Add(serviceTime), func() { sim.addRunning(best, -1); sim.dispatchAll(best.e) })
	}
}

func (sim *simulation) dispatchAll(e *endpoint) {
	for _, r := range slices.Clone(e.loaded) {
		sim.dispatch(r.t)
	}
}

func (sim *simulation) recordLatency(q *request) {
	if !sim.pastWarmUp() {
		return
	}
	d := (sim.now.Sub(q.at) + firstTokenTime).Seconds()
	sim.result.all = append(sim.result.all, d)
	if q.cold {
		sim.result.cold = append(sim.result.cold, d)
	}
}

// addRunning changes the number of running requests of a replica by n.
func (sim *simulation) addRunning(r *replica, n int) {
	if r.removed {
		return
	}
	if r.running == 0 {
		sim.addIdleTime(r)
	}
	r.running += n
	r.e.running += n
	r.idleSince = sim.now
}

// addIdleTime adds the idle time of a loaded replica up to now to the result.
func (sim *simulation) addIdleTime(r *replica) {
	if r.state != tamarackknot.ReplicaClaimed && r.running == 0 && sim.pastWarmUp() {
		from := times.Later(r.idleSince, sim.hour(sim.cfg.warmUp))
		sim.result.idle += sim.now.Sub(from).Hours() * float64(r.t.MemoryMB) / endpointMB
	}
	r.idleSince = sim.now
}

func (sim *simulation) tier(t *target, e *endpoint) tamarackknot.Tier {
	switch {
	case slices.Contains(e.memory, t):
		return tamarackknot.TierMemory
	case slices.Contains(e.disk, t):
		return tamarackknot.TierDisk
	}
	return tamarackknot.TierRemote
}

// cacheCheckpoint puts a checkpoint into the caches of an endpoint, as the most
// recently used one.
func (sim *simulation) cacheCheckpoint(e *endpoint, t *target) {
	e.cached = nil
	same := func(x *target) bool { return x == t }
	e.memory = append(slices.DeleteFunc(e.memory, same), t)
	e.disk = slices.DeleteFunc(e.disk, same)
	for sumMB(e.memory) > hostMemoryMB {
		e.disk = append(e.disk, e.memory[0])
		e.memory = e.memory[1:]
	}
	for sumMB(e.disk) > diskMB {
		e.disk = e.disk[1:]
	}
}

func sumMB(ts []*target) (mb int64) {
	for _, t := range ts {
		mb += t.MemoryMB
	}
	return mb
}

// storeHasCapacity reports whether the limits of the weight store allow another
// load.
func (sim *simulation) storeHasCapacity() bool {
	sim.tokens = min(1, sim.tokens+sim.now.Sub(sim.tokensAt).Seconds()*loadsPerSecond)
	sim.tokensAt = sim.now
	return len(sim.storeLoads) < maxConcurrentLoads && sim.tokens >= 0.999
}

// load starts a load and records the limits that it violates.
func (sim *simulation) load(t *target, e *endpoint) {
	sim.fence++
	r := &replica{t: t, e: e, state: tamarackknot.ReplicaClaimed, since: sim.now, idleSince: sim.now, fence: sim.fence, tier: sim.tier(t, e)}
	e.usedMB += t.MemoryMB
	e.loaded = append(e.loaded, r)
	t.replicas = append(t.replicas, r)
	t.replicasChanged = true
	base := t.base == nil || slices.ContainsFunc(e.loaded, func(r *replica) bool { return r.t == t.base && r.serves() })
	if e.usedMB > e.spec.MemoryMB || len(t.replicas) > t.MaxReplicas || !base || e.lost {
		sim.violations = append(sim.violations, fmt.Sprintf("load of %s on %s: used %d, replicas %d, base %v, lost %v", t.Name, e.name, e.usedMB, len(t.replicas), base, e.lost))
	}
	if sim.pastWarmUp() {
		sim.result.loads++
		if r.tier == tamarackknot.TierRemote {
			sim.result.remote++
		}
	}
	fixed, perSecond := loadSpeed(r.tier)
	d := (fixed + float64(t.MemoryMB)/perSecond) * math.Exp(0.25*sim.rng.NormFloat64())
	if r.tier != tamarackknot.TierRemote {
		sim.schedule(sim.now.Add(seconds(d)), func() { sim.finishLoad(r) })
		return
	}
	if !sim.storeHasCapacity() {
		sim.violations = append(sim.violations, fmt.Sprintf("load of %s over the store limits: %d at once", t.Name, len(sim.storeLoads)))
	}
	sim.tokens--
	sim.advanceStore()
	r.remaining = d
	sim.storeLoads = append(sim.storeLoads, r)
	sim.scheduleStore()
}

func (sim *simulation) storeSpeed() float64 {
	h := sim.now.Sub(sim.start).Hours()
	if h >= sim.cfg.slowFrom && h < sim.cfg.slowTo {
		return 1 / sim.cfg.slowFactor
	}
	return 1
}

func (sim *simulation) advanceStore() {
	d := sim.now.Sub(sim.storeAdvancedAt).Seconds() * sim.storeSpeed()
	sim.storeAdvancedAt = sim.now
	for _, r := range sim.storeLoads {
		r.remaining -= d
	}
}

func (sim *simulation) scheduleStore() {
	sim.storeGeneration++
	generation := sim.storeGeneration
	if len(sim.storeLoads) == 0 {
		return
	}
	r := slices.MinFunc(sim.storeLoads, func(a, b *replica) int { return cmp.Compare(a.remaining, b.remaining) })
	// The store's speed may change, so check at least once per minute.
	wait := min(60, math.Max(0.001, r.remaining/sim.storeSpeed()))
	sim.schedule(sim.now.Add(seconds(wait)), func() {
		if generation != sim.storeGeneration {
			return
		}
		sim.advanceStore()
		for _, r := range slices.Clone(sim.storeLoads) {
			if r.remaining <= 0.001 {
				sim.storeLoads = slices.DeleteFunc(sim.storeLoads, func(x *replica) bool { return x == r })
				sim.finishLoad(r)
			}
		}
		sim.scheduleStore()
	})
}

func (sim *simulation) finishLoad(r *replica) {
	if r.removed {
		return
	}
	if p, ok := sim.placer.(*policyPlacer); ok {
		p.policy.LoadEnded(r.tier, r.t.MemoryMB, sim.now.Sub(r.since))
	}
	r.state, r.since, r.idleSince = tamarackknot.ReplicaLoaded, sim.now, sim.now
	r.t.replicasChanged = true
	sim.cacheCheckpoint(r.e, r.t)
	sim.dispatch(r.t)
}

// unload starts to unload a replica; its running requests finish first.
func (sim *simulation) unload(r *replica) {
	if r.state != tamarackknot.ReplicaLoaded {
		sim.violations = append(sim.violations, "unload of "+r.t.Name+" in state "+string(r.state))
		return
	}
	r.state, r.t.replicasChanged = tamarackknot.ReplicaUnloading, true
	sim.addIdleTime(r)
	sim.schedule(sim.now.Add(unloadTime), func() { sim.finishUnload(r) })
}

func (sim *simulation) finishUnload(r *replica) {
	if r.running > 0 {
		sim.schedule(sim.now.Add(time.Second), func() { sim.finishUnload(r) })
		return
	}
	sim.removeReplica(r)
	sim.cacheCheckpoint(r.e, r.t)
}

func (sim *simulation) removeReplica(r *replica) {
	if r.removed {
		return
	}
	sim.addIdleTime(r)
	r.removed = true
	r.e.usedMB -= r.t.MemoryMB
	r.e.running -= r.running
	same := func(x *replica) bool { return x == r }
	r.e.loaded = slices.DeleteFunc(r.e.loaded, same)
	r.t.replicas = slices.DeleteFunc(r.t.replicas, same)
	r.t.replicasChanged = true
}

// setDomainLost disconnects failure domain 0, or reconnects it with no replicas
// loaded.
func (sim *simulation) setDomainLost(lost bool) {
	for _, e := range sim.endpoints {
		if e.spec.FailureDomain != "d0" {
			continue
		}
		e.lost = lost
		for _, r := range slices.Clone(e.loaded) {
			sim.advanceStore()
			sim.storeLoads = slices.DeleteFunc(sim.storeLoads, func(x *replica) bool { return x == r })
			sim.removeReplica(r)
		}
		sim.scheduleStore()
	}
}

// run replays all arrivals. The placer decides at each event, and between events
// every waitingStepInterval while requests wait and every stepInterval otherwise.
func (sim *simulation) run() *result {
	end := sim.hour(sim.cfg.hours)
	for sim.now.Before(end) {
		step := stepInterval
		if slices.ContainsFunc(sim.targets, func(t *target) bool { return len(t.waiting) > 0 || t.queued }) {
			step = waitingStepInterval
		}
		next := sim.now.Add(step)
		for len(sim.events) > 0 && !sim.events[0].at.After(next) {
			e := heap.Pop(&sim.events).(event)
			sim.now = times.Later(sim.now, e.at)
			e.fn()
			if len(sim.events) == 0 || sim.events[0].at.After(e.at) {
				sim.placer.decide(sim)
			}
		}
		sim.now = next
		sim.rejectUnmeetable()
		sim.placer.decide(sim)
	}
	for _, e := range sim.endpoints {
		for _, r := range e.loaded {
			sim.addIdleTime(r)
		}
	}
	return &sim.result
}

// rejectUnmeetable rejects requests that were refused or cannot meet their
// deadline.
func (sim *simulation) rejectUnmeetable() {
	for _, t := range sim.targets {
		if len(t.waiting) == 0 {
			continue
		}
		f := sim.placer.forecast(t)
		kept := t.waiting[:0]
		for _, q := range t.waiting {
			if f.Refused || sim.now.After(q.deadline) || f.ReadyAt.After(q.deadline) {
				if sim.pastWarmUp() {
					sim.result.rejected++
				}
				t.abandoned = append(t.abandoned, q)
				continue
			}
			kept = append(kept, q)
		}
		t.waiting = kept
	}
}

// policyPlacer is the placer that uses placement.Policy.
type policyPlacer struct {
	policy          *placement.Policy
	reportsSyncedAt time.Time
	usageSyncedAt   time.Time
	lost            map[*endpoint]bool
	// hasDemand is true for the targets with demand that the policy knows of.
	hasDemand map[string]bool
}

func newPolicyPlacer(sim *simulation, weight float64) *policyPlacer {
	pp := &policyPlacer{policy: placement.NewPolicy(placement.PolicyConfig{}), lost: make(map[*endpoint]bool), hasDemand: make(map[string]bool)}
	pp.policy.SetDeployment(tamarackknot.DeploymentSpec{ColdStartWeight: weight, LoadsPerSecond: loadsPerSecond, LoadsAtOnce: maxConcurrentLoads}, sim.now)
	for _, t := range sim.targets {
		pp.policy.SetTarget(t.Target)
	}
	for _, e := range sim.endpoints {
		pp.policy.SetEndpoint(e.name, e.spec, true, false)
	}
	return pp
}

func (pp *policyPlacer) arrived(*simulation, *target) {}

func (pp *policyPlacer) forecast(t *target) tamarackknot.Forecast { return pp.policy.Forecast(t.Name) }

// sync updates the policy with the information that its planner would have now.
func (pp *policyPlacer) sync(sim *simulation) {
	pp.syncUsage(sim)
	pp.syncReports(sim)
	for _, t := range sim.targets {
		pp.syncTarget(sim, t)
	}
}

func (pp *policyPlacer) syncUsage(sim *simulation) {
	if sim.now.Sub(pp.usageSyncedAt) >= usageInterval {
		pp.usageSyncedAt = sim.now
		for _, t := range sim.targets {
			if t.usesSinceSync > 0 {
				pp.policy.Used(t.Name, t.firstUsed, t.lastUsed, t.usesSinceSync, sim.now)
				t.usesSinceSync = 0
			}
		}
	}
}

func (pp *policyPlacer) syncReports(sim *simulation) {
	if sim.now.Sub(pp.reportsSyncedAt) >= reportInterval {
		pp.reportsSyncedAt = sim.now
		running := 0
		for _, e := range sim.endpoints {
			if pp.lost[e] != e.lost {
				pp.lost[e] = e.lost
				pp.policy.SetEndpoint(e.name, e.spec, !e.lost, false)
			}
			running += e.running
			pp.policy.SetReport(e.name, sim.report(e))
		}
		pp.policy.ObserveRunning(running, sim.now)
	}
}

func (pp *policyPlacer) syncTarget(sim *simulation, t *target) {
	if t.replicasChanged {
		t.replicasChanged = false
		var list []tamarackknot.Replica
		for _, r := range t.replicas {
			list = append(list, tamarackknot.Replica{
				Target: t.Name, Endpoint: r.e.name, Version: t.Version, MemoryMB: t.MemoryMB, State: r.state, Fence: r.fence, Since: r.since,
			})
		}
		pp.policy.SetReplicas(t.Name, sim.fence, list, sim.now)
	}
	d := tamarackknot.Demand{Target: t.Name, Waiting: len(t.waiting), Priority: 5}
	for _, q := range t.waiting {
		if d.Earliest.IsZero() || q.deadline.Before(d.Earliest) {
			d.Earliest = q.deadline
		}
	}
	if d.Waiting > 0 || pp.hasDemand[t.Name] {
		pp.policy.SetDemand(d, sim.now)
		pp.hasDemand[t.Name] = d.Waiting > 0
	}
}

func (sim *simulation) report(e *endpoint) tamarackknot.Report {
	r := tamarackknot.Report{Endpoint: e.name, Time: sim.now, Running: e.running}
	for _, l := range e.loaded {
		r.Loaded = append(r.Loaded, tamarackknot.LoadedTarget{Name: l.t.Name, Running: l.running})
	}
	if e.cached == nil {
		for _, t := range e.memory {
			e.cached = append(e.cached, tamarackknot.CachedTarget{Name: t.Name, Version: t.Version, Tier: tamarackknot.TierMemory})
		}
		for _, t := range e.disk {
			e.cached = append(e.cached, tamarackknot.CachedTarget{Name: t.Name, Version: t.Version, Tier: tamarackknot.TierDisk})
		}
	}
	r.Cached = e.cached
	return r
}

func (pp *policyPlacer) decide(sim *simulation) {
	pp.sync(sim)
	for _, d := range pp.policy.Decide(sim.now) {
		if d.Action == placement.ActionReject {
			continue
		}
		t := sim.targets[slices.IndexFunc(sim.targets, func(t *target) bool { return t.Name == d.Target })]
		e := sim.endpoints[slices.IndexFunc(sim.endpoints, func(e *endpoint) bool { return e.name == d.Endpoint })]
		if d.Action == placement.ActionLoad {
			if e.lost { // the policy has not received the report yet
				pp.policy.Abandon(d)
				pp.policy.Refused(t.Name, e.name, sim.now)
				continue
			}
			sim.load(t, e)
			continue
		}
		if i := slices.IndexFunc(t.replicas, func(r *replica) bool { return r.e == e }); i >= 0 {
			sim.unload(t.replicas[i])
		}
	}
}

// baseline is a placer that loads on demand in the order of arrival and unloads
// after a fixed keep-alive time.
type baseline struct {
	random     bool // chooses endpoints and evicted replicas at random, instead of the emptiest and least recently used
	cacheAware bool // prefers endpoints with a cached copy
	keepAlive  time.Duration
	rng        *rand.Rand
	queue      []*target
}

func (b *baseline) forecast(*target) tamarackknot.Forecast { return tamarackknot.Forecast{} }

func (b *baseline) arrived(_ *simulation, t *target) {
	if !t.queued && len(t.replicas) == 0 {
		t.queued = true
		b.queue = append(b.queue, t)
	}
}

func (b *baseline) decide(sim *simulation) {
	for _, t := range slices.Clone(b.queue) {
		if len(t.replicas) > 0 || len(t.waiting) == 0 || b.tryLoad(sim, t) {
			t.queued = false
			b.queue = slices.DeleteFunc(b.queue, func(x *target) bool { return x == t })
		}
	}
	for _, t := range sim.targets {
		if len(t.waiting) > 0 && len(t.replicas) == 0 {
			b.arrived(sim, t)
		}
	}
	for _, e := range sim.endpoints {
		for _, r := range slices.Clone(e.loaded) {
			if b.canUnload(sim, r) && sim.now.Sub(times.Later(r.t.lastUsed, r.since)) >= b.keepAlive {
				sim.unload(r)
			}
		}
	}
}

// canUnload reports whether a replica may be unloaded. A replica that no request
// has used may be unloaded minKeepAlive after its load.
func (b *baseline) canUnload(sim *simulation, r *replica) bool {
	if r.state != tamarackknot.ReplicaLoaded || r.running > 0 || len(r.t.waiting) > 0 || sim.now.Sub(r.since) < minKeepAlive {
		return false
	}
	return !slices.ContainsFunc(r.e.loaded, func(a *replica) bool { return a.t.base == r.t })
}

// tryLoad starts the load of t, or evicts other replicas for it. It reports
// whether the load has started.
func (b *baseline) tryLoad(sim *simulation, t *target) bool {
	if t.base != nil {
		return b.tryLoadAdapter(sim, t)
	}
	list := slices.DeleteFunc(slices.Clone(sim.endpoints), func(e *endpoint) bool {
		return e.lost || slices.ContainsFunc(e.loaded, func(r *replica) bool { return r.t == t })
	})
	if b.random {
		b.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	} else {
		slices.SortStableFunc(list, func(a, c *endpoint) int { return cmp.Compare(a.usedMB, c.usedMB) })
	}
	if b.cacheAware {
		rank := map[tamarackknot.Tier]int{tamarackknot.TierMemory: 0, tamarackknot.TierDisk: 1, tamarackknot.TierRemote: 2}
		slices.SortStableFunc(list, func(a, c *endpoint) int { return cmp.Compare(rank[sim.tier(t, a)], rank[sim.tier(t, c)]) })
	}
	need := t.MemoryMB + 1000 // reserves memory for an adapter
	for _, e := range list {
		if e.usedMB+need <= e.spec.MemoryMB {
			return b.load(sim, t, e)
		}
	}
	for _, e := range list {
		if b.evict(sim, e, t) {
			return false
		}
	}
	return false
}

// tryLoadAdapter loads an adapter next to its base model, or the base model if it
// is not loaded.
func (b *baseline) tryLoadAdapter(sim *simulation, t *target) bool {
	for _, r := range t.base.replicas {
		if r.serves() && r.e.usedMB+t.MemoryMB <= r.e.spec.MemoryMB {
			return b.load(sim, t, r.e)
		}
	}
	for _, r := range t.base.replicas {
		if r.state == tamarackknot.ReplicaClaimed || b.evict(sim, r.e, t) {
			return false
		}
	}
	if len(t.base.replicas) < t.base.MaxReplicas {
		b.tryLoad(sim, t.base)
	}
	return false
}

func (b *baseline) load(sim *simulation, t *target, e *endpoint) bool {
	if sim.tier(t, e) == tamarackknot.TierRemote && !sim.storeHasCapacity() {
		return false
	}
	sim.load(t, e)
	return true
}

// evict unloads idle replicas, least recently used first or at random, until t
// fits. It reports whether enough memory can be freed.
func (b *baseline) evict(sim *simulation, e *endpoint, t *target) bool {
	missing := e.usedMB + t.MemoryMB + 1000 - e.spec.MemoryMB
	var idle []*replica
	for _, r := range e.loaded {
		switch {
		case r.state == tamarackknot.ReplicaUnloading:
			missing -= r.t.MemoryMB
		case b.canUnload(sim, r) && r.t != t.base:
			idle = append(idle, r)
		}
	}
	slices.SortStableFunc(idle, func(a, c *replica) int { return a.t.lastUsed.Compare(c.t.lastUsed) })
	if b.random {
		b.rng.Shuffle(len(idle), func(i, j int) { idle[i], idle[j] = idle[j], idle[i] })
	}
	var chosen []*replica
	for _, r := range idle {
		if missing > 0 {
			missing -= r.t.MemoryMB
			chosen = append(chosen, r)
		}
	}
	if missing > 0 {
		return false
	}
	for _, r := range chosen {
		sim.unload(r)
	}
	return true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
