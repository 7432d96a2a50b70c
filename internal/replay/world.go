// Package replay measures a placement policy on generated arrivals, beside
// simple baselines on the same arrivals.
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

// world replays generated arrivals against a placer at the decision interface.
// Its load times, sizes and arrival process are stated in worldConfig and
// differ from the defaults that Policy assumes.
type worldConfig struct {
	endpoints, models, adapters int
	seed                        uint64
	hours, warmUp               float64
	weight                      float64
	slowFrom, slowTo, slowBy    float64 // hours, factor
	lostFrom, lostTo            float64 // hours during which failure domain 0 is lost
}

const (
	wEndpointMB, wSlots        = 81_920, 16
	wHostMemoryMB, wDiskMB     = 122_880, 409_600
	wStorePerSecond, wStoreMax = 4.0, 4
	// A request takes wService, of which wFirstToken to its first token; an
	// unload takes wUnload.
	wService, wFirstToken = 4 * time.Second, 300 * time.Millisecond
	wUnload               = 3 * time.Second
	// Half of the callers wait for wPatience, the default deadline of the
	// callers' API, the others for wLongPatience, its longest one.
	wPatience, wLongPatience = 30 * time.Second, 10 * time.Minute
	// The placer decides every wStep, and every wBusyStep while requests wait.
	wStep, wBusyStep = 5 * time.Second, 250 * time.Millisecond
	// wReportsEvery is how often the policy learns of lost endpoints, as from
	// reports.
	wReportsEvery = 2 * time.Second
	// wUnused is how long a replica without a request is kept after its load.
	wUnused = 5 * time.Second
)

// usagePeriod is how often entry hosts tell the planner of calls.
const usagePeriod = 5 * time.Second

// trueLoad returns the fixed seconds and the MB per second of loads by tier.
func trueLoad(tier tamarackknot.Tier) (fixed, perSecond float64) {
	switch tier {
	case tamarackknot.TierMemory:
		return 1.5, 6000
	case tamarackknot.TierDisk:
		return 2.5, 1200
	default:
		return 4, 500
	}
}

func periyar() worldConfig {
	return worldConfig{endpoints: 20, models: 100, adapters: 90, seed: 1, hours: 28, warmUp: 4, weight: 0.75}
}

func sotfelagid() worldConfig {
	return worldConfig{endpoints: 10, models: 50, adapters: 60, seed: 2, hours: 28, warmUp: 4, weight: 0.25}
}

type target struct {
	tamarackknot.Target
	base      *target
	replicas  []*replica
	waiting   []*request
	abandoned []*request // gave up; their time to a replica is still measured
	lastUsed  time.Time
	used      int
	first     time.Time
	dirty     bool
	queued    bool // in a baseline's load queue
}

type endpoint struct {
	name    string
	spec    tamarackknot.EndpointSpec
	lost    bool
	used    int64
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
	gone      bool
	tier      tamarackknot.Tier
	remaining float64 // store work left, seconds at full speed
}

type request struct {
	at, deadline time.Time
	cold         bool
}

// placer decides for a world, through its methods load and unload.
type placer interface {
	arrived(w *world, t *target)
	decide(w *world)
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

type world struct {
	cfg        worldConfig
	placer     placer
	start, now time.Time
	events     events
	seq        int
	fence      tamarackknot.Offset
	rng        *rand.Rand // load noise, consumed in event order
	targets    []*target
	endpoints  []*endpoint
	store      []*replica
	storeAt    time.Time
	storeGen   int
	tokens     float64
	tokensAt   time.Time
	result     result
	problems   []string
}

type result struct {
	cold, all          []float64 // first-token times in seconds
	requests, rejected int
	idle               float64 // endpoint hours, by memory share
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

func newWorld(cfg worldConfig, p placer) *world {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{cfg: cfg, placer: p, start: start, now: start, storeAt: start, tokensAt: start, rng: rand.New(rand.NewPCG(cfg.seed, 3))}
	rng := rand.New(rand.NewPCG(cfg.seed, 1))
	for i := range cfg.endpoints {
		w.endpoints = append(w.endpoints, &endpoint{name: fmt.Sprintf("e%03d", i), spec: tamarackknot.EndpointSpec{
			FailureDomain: fmt.Sprintf("d%d", i%3), MemoryMB: wEndpointMB, Slots: wSlots,
		}})
	}
	for i := range cfg.models + cfg.adapters {
		t := &target{Target: tamarackknot.Target{Name: fmt.Sprintf("t%05d", i), Version: "1", Priority: 5, MaxReplicas: 3}}
		t.MemoryMB = int64(min(71_680, 16_384*math.Exp(0.6*rng.NormFloat64())))
		if i >= cfg.models {
			t.base = w.targets[rng.IntN(cfg.models)]
			t.Base, t.MemoryMB = t.base.Name, int64(100+rng.IntN(900))
		}
		w.targets = append(w.targets, t)
		for _, e := range w.endpoints { // cached unevenly
			if rng.Float64() < 0.2 {
				w.touch(e, t)
			}
		}
	}
	w.arrivals()
	if cfg.lostTo > 0 {
		w.at(w.hour(cfg.lostFrom), func() { w.lose(true) })
		w.at(w.hour(cfg.lostTo), func() { w.lose(false) })
	}
	return w
}

func (w *world) hour(h float64) time.Time { return w.start.Add(time.Duration(h * float64(time.Hour))) }

func (w *world) at(t time.Time, fn func()) {
	w.seq++
	heap.Push(&w.events, event{t, w.seq, fn})
}

// arrivals schedules, for each target, bursts in active and quiet phases: 30%
// of the targets are active, 24% change phase within an hour, the gaps between
// bursts of an active target are log-normal around 2 to 30 minutes, those of a
// quiet one around 10 hours. A burst has 1 to 15 requests within 2 seconds.
func (w *world) arrivals() {
	for i, t := range w.targets {
		rng := rand.New(rand.NewPCG(w.cfg.seed, uint64(100+i)))
		median := 120 * math.Exp(rng.Float64()*math.Log(15)) // seconds
		active, at := rng.Float64() < 0.3, 0.0
		end := w.cfg.hours * 3600
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
			w.burst(t, at, rng)
		}
	}
}

// burst schedules the requests of one burst that begins at a second.
func (w *world) burst(t *target, at float64, rng *rand.Rand) {
	for range 1 + min(14, int(rng.ExpFloat64()*5)) {
		patience := wPatience
		if rng.Float64() < 0.5 {
			patience = wLongPatience
		}
		when := w.start.Add(seconds(at + 2*rng.Float64()))
		w.at(when, func() { w.request(t, when.Add(patience)) })
	}
}

func (w *world) measured() bool { return w.now.Sub(w.start).Hours() >= w.cfg.warmUp }

func (w *world) request(t *target, deadline time.Time) {
	r := &request{at: w.now, deadline: deadline}
	if t.used == 0 {
		t.first = w.now
	}
	t.used++
	t.lastUsed = w.now
	if t.base != nil {
		t.base.lastUsed = w.now
	}
	r.cold = !slices.ContainsFunc(t.replicas, func(r *replica) bool { return r.serves() })
	if w.measured() {
		w.result.requests++
	}
	t.waiting = append(t.waiting, r)
	w.placer.arrived(w, t)
	w.dispatch(t)
}

func (r *replica) serves() bool { return r.state == tamarackknot.ReplicaLoaded && !r.e.lost }

// dispatch starts waiting requests on loaded replicas with free slots.
func (w *world) dispatch(t *target) {
	for len(t.waiting) > 0 || len(t.abandoned) > 0 {
		var best *replica
		for _, r := range t.replicas {
			if r.serves() && r.e.running < wSlots && (best == nil || r.e.running < best.e.running) {
				best = r
			}
		}
		if best == nil {
			return
		}
		for _, g := range t.abandoned {
			w.served(g)
		}
		t.abandoned = nil
		if len(t.waiting) == 0 {
			return
		}
		q := t.waiting[0]
		t.waiting = t.waiting[1:]
		w.served(q)
		w.busy(best, 1)
		w.at(w.now.Add(wService), func() { w.busy(best, -1); w.dispatchAll(best.e) })
	}
}

func (w *world) dispatchAll(e *endpoint) {
	for _, r := range slices.Clone(e.loaded) {
		w.dispatch(r.t)
	}
}

func (w *world) served(q *request) {
	if !w.measured() {
		return
	}
	d := (w.now.Sub(q.at) + wFirstToken).Seconds()
	w.result.all = append(w.result.all, d)
	if q.cold {
		w.result.cold = append(w.result.cold, d)
	}
}

// busy counts a request on a replica and its idle time.
func (w *world) busy(r *replica, n int) {
	if r.gone {
		return
	}
	if r.running == 0 {
		w.idle(r)
	}
	r.running += n
	r.e.running += n
	r.idleSince = w.now
}

// idle adds the idle time of a loaded replica up to now.
func (w *world) idle(r *replica) {
	if r.state != tamarackknot.ReplicaClaimed && r.running == 0 && w.measured() {
		from := times.Later(r.idleSince, w.hour(w.cfg.warmUp))
		w.result.idle += w.now.Sub(from).Hours() * float64(r.t.MemoryMB) / wEndpointMB
	}
	r.idleSince = w.now
}

func (w *world) tier(t *target, e *endpoint) tamarackknot.Tier {
	switch {
	case slices.Contains(e.memory, t):
		return tamarackknot.TierMemory
	case slices.Contains(e.disk, t):
		return tamarackknot.TierDisk
	}
	return tamarackknot.TierRemote
}

// touch puts a checkpoint into the caches of an endpoint.
func (w *world) touch(e *endpoint, t *target) {
	e.cached = nil
	same := func(x *target) bool { return x == t }
	e.memory = append(slices.DeleteFunc(e.memory, same), t)
	e.disk = slices.DeleteFunc(e.disk, same)
	for sumMB(e.memory) > wHostMemoryMB {
		e.disk = append(e.disk, e.memory[0])
		e.memory = e.memory[1:]
	}
	for sumMB(e.disk) > wDiskMB {
		e.disk = e.disk[1:]
	}
}

func sumMB(ts []*target) (mb int64) {
	for _, t := range ts {
		mb += t.MemoryMB
	}
	return mb
}

// storeReady reports whether a load may start within the store's limits.
func (w *world) storeReady() bool {
	w.tokens = min(1, w.tokens+w.now.Sub(w.tokensAt).Seconds()*wStorePerSecond)
	w.tokensAt = w.now
	return len(w.store) < wStoreMax && w.tokens >= 0.999
}

// load starts a load; it notes limits that the placer broke.
func (w *world) load(t *target, e *endpoint) {
	w.fence++
	r := &replica{t: t, e: e, state: tamarackknot.ReplicaClaimed, since: w.now, idleSince: w.now, fence: w.fence, tier: w.tier(t, e)}
	e.used += t.MemoryMB
	e.loaded = append(e.loaded, r)
	t.replicas = append(t.replicas, r)
	t.dirty = true
	base := t.base == nil || slices.ContainsFunc(e.loaded, func(r *replica) bool { return r.t == t.base && r.serves() })
	if e.used > e.spec.MemoryMB || len(t.replicas) > t.MaxReplicas || !base || e.lost {
		w.problems = append(w.problems, fmt.Sprintf("load of %s on %s: used %d, replicas %d, base %v, lost %v", t.Name, e.name, e.used, len(t.replicas), base, e.lost))
	}
	if w.measured() {
		w.result.loads++
		if r.tier == tamarackknot.TierRemote {
			w.result.remote++
		}
	}
	fixed, perSecond := trueLoad(r.tier)
	d := (fixed + float64(t.MemoryMB)/perSecond) * math.Exp(0.25*w.rng.NormFloat64())
	if r.tier != tamarackknot.TierRemote {
		w.at(w.now.Add(seconds(d)), func() { w.loaded(r) })
		return
	}
	if !w.storeReady() {
		w.problems = append(w.problems, fmt.Sprintf("load of %s over the store limits: %d at once", t.Name, len(w.store)))
	}
	w.tokens--
	w.advanceStore()
	r.remaining = d
	w.store = append(w.store, r)
	w.scheduleStore()
}

func (w *world) storeSpeed() float64 {
	h := w.now.Sub(w.start).Hours()
	if h >= w.cfg.slowFrom && h < w.cfg.slowTo {
		return 1 / w.cfg.slowBy
	}
	return 1
}

func (w *world) advanceStore() {
	d := w.now.Sub(w.storeAt).Seconds() * w.storeSpeed()
	w.storeAt = w.now
	for _, r := range w.store {
		r.remaining -= d
	}
}

func (w *world) scheduleStore() {
	w.storeGen++
	gen := w.storeGen
	if len(w.store) == 0 {
		return
	}
	r := slices.MinFunc(w.store, func(a, b *replica) int { return cmp.Compare(a.remaining, b.remaining) })
	// The speed may change; look again within a minute.
	wait := min(60, math.Max(0.001, r.remaining/w.storeSpeed()))
	w.at(w.now.Add(seconds(wait)), func() {
		if gen != w.storeGen {
			return
		}
		w.advanceStore()
		for _, r := range slices.Clone(w.store) {
			if r.remaining <= 0.001 {
				w.store = slices.DeleteFunc(w.store, func(x *replica) bool { return x == r })
				w.loaded(r)
			}
		}
		w.scheduleStore()
	})
}

func (w *world) loaded(r *replica) {
	if r.gone {
		return
	}
	if p, ok := w.placer.(*policyPlacer); ok {
		p.p.LoadEnded(r.tier, r.t.MemoryMB, w.now.Sub(r.since))
	}
	r.state, r.since, r.idleSince = tamarackknot.ReplicaLoaded, w.now, w.now
	r.t.dirty = true
	w.touch(r.e, r.t)
	w.dispatch(r.t)
}

// unload frees a replica after the grace time.
func (w *world) unload(r *replica) {
	if r.state != tamarackknot.ReplicaLoaded {
		w.problems = append(w.problems, "unload of "+r.t.Name+" in state "+string(r.state))
		return
	}
	r.state, r.t.dirty = tamarackknot.ReplicaUnloading, true
	w.idle(r)
	w.at(w.now.Add(wUnload), func() { w.finishUnload(r) })
}

func (w *world) finishUnload(r *replica) {
	if r.running > 0 {
		w.at(w.now.Add(time.Second), func() { w.finishUnload(r) })
		return
	}
	w.drop(r)
	w.touch(r.e, r.t)
}

func (w *world) drop(r *replica) {
	if r.gone {
		return
	}
	w.idle(r)
	r.gone = true
	r.e.used -= r.t.MemoryMB
	r.e.running -= r.running
	same := func(x *replica) bool { return x == r }
	r.e.loaded = slices.DeleteFunc(r.e.loaded, same)
	r.t.replicas = slices.DeleteFunc(r.t.replicas, same)
	r.t.dirty = true
}

// lose takes a failure domain away or gives it back empty.
func (w *world) lose(lost bool) {
	for _, e := range w.endpoints {
		if e.spec.FailureDomain != "d0" {
			continue
		}
		e.lost = lost
		for _, r := range slices.Clone(e.loaded) {
			w.advanceStore()
			w.store = slices.DeleteFunc(w.store, func(x *replica) bool { return x == r })
			w.drop(r)
		}
		w.scheduleStore()
	}
}

// run replays all arrivals. Between events it decides every wBusyStep while
// requests wait and every wStep otherwise.
func (w *world) run() *result {
	end := w.hour(w.cfg.hours)
	for w.now.Before(end) {
		step := wStep
		if slices.ContainsFunc(w.targets, func(t *target) bool { return len(t.waiting) > 0 || t.queued }) {
			step = wBusyStep
		}
		next := w.now.Add(step)
		for len(w.events) > 0 && !w.events[0].at.After(next) {
			e := heap.Pop(&w.events).(event)
			w.now = times.Later(w.now, e.at)
			e.fn()
			if len(w.events) == 0 || w.events[0].at.After(e.at) {
				w.placer.decide(w)
			}
		}
		w.now = next
		w.giveUp()
		w.placer.decide(w)
	}
	for _, e := range w.endpoints {
		for _, r := range e.loaded {
			w.idle(r)
		}
	}
	return &w.result
}

// giveUp rejects requests that cannot be served in time or were refused.
func (w *world) giveUp() {
	for _, t := range w.targets {
		if len(t.waiting) == 0 {
			continue
		}
		f := w.placer.forecast(t)
		kept := t.waiting[:0]
		for _, q := range t.waiting {
			if f.Refused || w.now.After(q.deadline) || f.ReadyAt.After(q.deadline) {
				if w.measured() {
					w.result.rejected++
				}
				t.abandoned = append(t.abandoned, q)
				continue
			}
			kept = append(kept, q)
		}
		t.waiting = kept
	}
}

// policyPlacer connects a Policy to a world.
type policyPlacer struct {
	p       *placement.Policy
	reports time.Time
	usage   time.Time
	lost    map[*endpoint]bool
	// demand holds the targets whose demand the policy knows.
	demand map[string]bool
}

func newPolicyPlacer(w *world, weight float64) *policyPlacer {
	pp := &policyPlacer{p: placement.NewPolicy(placement.PolicyConfig{}), lost: make(map[*endpoint]bool), demand: make(map[string]bool)}
	pp.p.SetDeployment(tamarackknot.DeploymentSpec{ColdStartWeight: weight, LoadsPerSecond: wStorePerSecond, LoadsAtOnce: wStoreMax}, w.now)
	for _, t := range w.targets {
		pp.p.SetTarget(t.Target)
	}
	for _, e := range w.endpoints {
		pp.p.SetEndpoint(e.name, e.spec, true, false)
	}
	return pp
}

func (pp *policyPlacer) arrived(*world, *target) {}

func (pp *policyPlacer) forecast(t *target) tamarackknot.Forecast { return pp.p.Forecast(t.Name) }

// sync tells the policy what its planner would know by now.
func (pp *policyPlacer) sync(w *world) {
	pp.syncUsage(w)
	pp.syncReports(w)
	for _, t := range w.targets {
		pp.syncTarget(w, t)
	}
}

func (pp *policyPlacer) syncUsage(w *world) {
	if w.now.Sub(pp.usage) >= usagePeriod {
		pp.usage = w.now
		for _, t := range w.targets {
			if t.used > 0 {
				pp.p.Used(t.Name, t.first, t.lastUsed, t.used, w.now)
				t.used = 0
			}
		}
	}
}

func (pp *policyPlacer) syncReports(w *world) {
	if w.now.Sub(pp.reports) >= wReportsEvery {
		pp.reports = w.now
		running := 0
		for _, e := range w.endpoints {
			if pp.lost[e] != e.lost {
				pp.lost[e] = e.lost
				pp.p.SetEndpoint(e.name, e.spec, !e.lost, false)
			}
			running += e.running
			pp.p.SetReport(e.name, w.report(e))
		}
		pp.p.ObserveRunning(running, w.now)
	}
}

func (pp *policyPlacer) syncTarget(w *world, t *target) {
	if t.dirty {
		t.dirty = false
		var list []tamarackknot.Replica
		for _, r := range t.replicas {
			list = append(list, tamarackknot.Replica{
				Target: t.Name, Endpoint: r.e.name, Version: t.Version, MemoryMB: t.MemoryMB, State: r.state, Fence: r.fence, Since: r.since,
			})
		}
		pp.p.SetReplicas(t.Name, w.fence, list, w.now)
	}
	d := tamarackknot.Demand{Target: t.Name, Waiting: len(t.waiting), Priority: 5}
	for _, q := range t.waiting {
		if d.Earliest.IsZero() || q.deadline.Before(d.Earliest) {
			d.Earliest = q.deadline
		}
	}
	if d.Waiting > 0 || pp.demand[t.Name] {
		pp.p.SetDemand(d, w.now)
		pp.demand[t.Name] = d.Waiting > 0
	}
}

func (w *world) report(e *endpoint) tamarackknot.Report {
	r := tamarackknot.Report{Endpoint: e.name, Time: w.now, Running: e.running}
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

func (pp *policyPlacer) decide(w *world) {
	pp.sync(w)
	for _, d := range pp.p.Decide(w.now) {
		if d.Action == placement.ActionReject {
			continue
		}
		t := w.targets[slices.IndexFunc(w.targets, func(t *target) bool { return t.Name == d.Target })]
		e := w.endpoints[slices.IndexFunc(w.endpoints, func(e *endpoint) bool { return e.name == d.Endpoint })]
		if d.Action == placement.ActionLoad {
			if e.lost { // not reported yet
				pp.p.Abandon(d)
				pp.p.Refused(t.Name, e.name, w.now)
				continue
			}
			w.load(t, e)
			continue
		}
		if i := slices.IndexFunc(t.replicas, func(r *replica) bool { return r.e == e }); i >= 0 {
			w.unload(t.replicas[i])
		}
	}
}

// baseline loads on demand in the order of arrival, with a fixed keep-alive.
type baseline struct {
	random     bool // random endpoint and victims instead of emptiest and least recently used
	cacheAware bool // prefers endpoints with a cached copy
	keep       time.Duration
	rng        *rand.Rand
	queue      []*target
}

func (b *baseline) forecast(*target) tamarackknot.Forecast { return tamarackknot.Forecast{} }

func (b *baseline) arrived(_ *world, t *target) {
	if !t.queued && len(t.replicas) == 0 {
		t.queued = true
		b.queue = append(b.queue, t)
	}
}

func (b *baseline) decide(w *world) {
	for _, t := range slices.Clone(b.queue) {
		if len(t.replicas) > 0 || len(t.waiting) == 0 || b.try(w, t) {
			t.queued = false
			b.queue = slices.DeleteFunc(b.queue, func(x *target) bool { return x == t })
		}
	}
	for _, t := range w.targets {
		if len(t.waiting) > 0 && len(t.replicas) == 0 {
			b.arrived(w, t)
		}
	}
	for _, e := range w.endpoints {
		for _, r := range slices.Clone(e.loaded) {
			if b.idle(w, r) && w.now.Sub(times.Later(r.t.lastUsed, r.since)) >= b.keep {
				w.unload(r)
			}
		}
	}
}

// idle reports whether a replica may be unloaded. A replica counts as idle
// wUnused after its load even if no request has reached it.
func (b *baseline) idle(w *world, r *replica) bool {
	if r.state != tamarackknot.ReplicaLoaded || r.running > 0 || len(r.t.waiting) > 0 || w.now.Sub(r.since) < wUnused {
		return false
	}
	return !slices.ContainsFunc(r.e.loaded, func(a *replica) bool { return a.t.base == r.t })
}

// try starts the load of t or evicts for it; it reports whether t is done.
func (b *baseline) try(w *world, t *target) bool {
	if t.base != nil {
		return b.tryAdapter(w, t)
	}
	list := slices.DeleteFunc(slices.Clone(w.endpoints), func(e *endpoint) bool {
		return e.lost || slices.ContainsFunc(e.loaded, func(r *replica) bool { return r.t == t })
	})
	if b.random {
		b.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	} else {
		slices.SortStableFunc(list, func(a, c *endpoint) int { return cmp.Compare(a.used, c.used) })
	}
	if b.cacheAware {
		rank := map[tamarackknot.Tier]int{tamarackknot.TierMemory: 0, tamarackknot.TierDisk: 1, tamarackknot.TierRemote: 2}
		slices.SortStableFunc(list, func(a, c *endpoint) int { return cmp.Compare(rank[w.tier(t, a)], rank[w.tier(t, c)]) })
	}
	need := t.MemoryMB + 1000 // leaves room for an adapter
	for _, e := range list {
		if e.used+need <= e.spec.MemoryMB {
			return b.load(w, t, e)
		}
	}
	for _, e := range list {
		if b.evict(w, e, t) {
			return false
		}
	}
	return false
}

// tryAdapter loads an adapter beside its base model, or the base model.
func (b *baseline) tryAdapter(w *world, t *target) bool {
	for _, r := range t.base.replicas {
		if r.serves() && r.e.used+t.MemoryMB <= r.e.spec.MemoryMB {
			return b.load(w, t, r.e)
		}
	}
	for _, r := range t.base.replicas {
		if r.state == tamarackknot.ReplicaClaimed || b.evict(w, r.e, t) {
			return false
		}
	}
	if len(t.base.replicas) < t.base.MaxReplicas {
		b.try(w, t.base)
	}
	return false
}

func (b *baseline) load(w *world, t *target, e *endpoint) bool {
	if w.tier(t, e) == tamarackknot.TierRemote && !w.storeReady() {
		return false
	}
	w.load(t, e)
	return true
}

// evict unloads the least recently used, or random, idle replicas until t fits.
func (b *baseline) evict(w *world, e *endpoint, t *target) bool {
	missing := e.used + t.MemoryMB + 1000 - e.spec.MemoryMB
	var idle []*replica
	for _, r := range e.loaded {
		switch {
		case r.state == tamarackknot.ReplicaUnloading:
			missing -= r.t.MemoryMB
		case b.idle(w, r) && r.t != t.base:
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
		w.unload(r)
	}
	return true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
