// Package dispatch assigns requests to endpoints, queues requests that no
// endpoint can run yet and refuses those that cannot be served in time.
package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// recheckInterval is the pause between checks for waiting requests that can
	// no longer be served.
	recheckInterval = 20 * time.Millisecond
	// unknownForecastWaitFraction is the fraction of its timeout for which a
	// request waits while there is no forecast of when its model is loaded, or after
	// there was one.
	unknownForecastWaitFraction = 0.35
	// modelRetryDelay is the minimum retry delay of a caller whose model is not available,
	// while there is no forecast: enough for one load from disk.
	modelRetryDelay = 1500 * time.Millisecond
	// fullRetryDelay is the retry delay of a caller that is refused because all
	// endpoints are full.
	fullRetryDelay = 400 * time.Millisecond
	// refusedDemandTime is how long the demand of a request that was refused because of a
	// pause is reported: longer than the planner takes to act on it.
	refusedDemandTime = time.Second
	// minServiceTime is the shortest time between sending a request and its
	// answer.
	minServiceTime = 250 * time.Millisecond
	// maxAffinityEntries is the size above which the affinity table is cleared.
	maxAffinityEntries = 4096
)

// Request holds the properties of a request that decide where it is sent.
type Request struct {
	ID      string
	Service string
	Model   string
	Adapter string
	// Workspace is that of the caller; empty if it has none. WorkspacePriority goes before
	// Priority, which is that of the route; 0 is served first.
	Workspace         string
	WorkspacePriority int
	Priority          int
	// Tokens is the size of the request; zero if the caller names none.
	Tokens tamarackknot.RequestTokens
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Objective is when the first byte of the answer is due; Deadline is when
	// the timeout of the caller or of the route expires.
	Objective time.Time
	Deadline  time.Time
	// GapObjective is the longest time that may pass between two events of the answer; 0 if
	// there is no limit.
	GapObjective time.Duration
	// Stream says that the answer is a stream, so that its events are recorded.
	Stream bool
	// AnsweredBy is when the request gets its last answer at the latest.
	AnsweredBy time.Time
	// Arrived is when the host finished reading the request.
	Arrived time.Time
	// PromptParts are the ids of the prompt's parts in order. All but the last may
	// be shared with other requests.
	PromptParts []string
	// Content is what the request asks for; zero if it is not known.
	Content tamarackknot.ContentID
	// Exclude lists the ids of endpoints that must not get the request.
	Exclude []string
	// askedAt is when the request was counted as demand, served that it has got an endpoint,
	// and band that of the share of its workspace, by which waiting requests are ordered.
	askedAt time.Time
	served  bool
	band    int
	// awaitsPause says that the request waits for the end of a pause of all endpoints.
	awaitsPause bool
	// foreseenAt is when there was last a forecast of when the model is loaded.
	foreseenAt time.Time
	// returned says that the caller was refused by this host and told to come back now.
	returned bool
	// Pinned means that only endpoints of Version may get the request: it goes on with
	// a stream that one of them began.
	Pinned  bool
	Version string
}

// Identity returns by what the request is recognised when it comes again.
func (r *Request) Identity() tamarackknot.RequestIdentity {
	return tamarackknot.RequestIdentity{ID: r.ID, Service: r.Service, Content: r.Content, Parts: r.PromptParts}
}

// Refusal says why a request cannot be sent and when to retry.
type Refusal struct {
	Reason string
	// RetryAt is zero if a retry does not help.
	RetryAt time.Time
	Waits   Waits
	// Hosts are hosts that may send the request where this one may not; nil otherwise.
	Hosts []string
	// wanted says that the request could be served if its model were loaded elsewhere.
	wanted bool
}

// Result is the outcome of an attempt at an endpoint.
type Result int

// The results of attempts.
const (
	ResultAnswered Result = iota
	// ResultFailed: the endpoint answered with an error, broke off the answer or
	// did not answer.
	ResultFailed
	// ResultFull: the endpoint declined the request because it had no free slot.
	ResultFull
	// ResultMisplaced: another endpoint has the address, or the endpoint does not
	// have the model loaded.
	ResultMisplaced
	// ResultUnreachable: the connection could not be established.
	ResultUnreachable
	// ResultDisconnected: the caller disconnected.
	ResultDisconnected
)

// Grant reserves a place at an endpoint for one request. Done must be called to
// release it.
type Grant struct {
	Endpoint tamarackknot.EndpointEntry
	Waits    Waits
	d        *Dispatcher
	req      *Request
	at       time.Time // when the place was reserved
	started  bool      // the answer has begun
	once     sync.Once
	// Forecast is what was predicted when the endpoint was chosen; zero if nothing was.
	Forecast    Forecast
	observation observation
}

// Config configures a Dispatcher.
type Config struct {
	FailureDomain string
	// HostIndex returns this host's index among the entry hosts. Without it the
	// host prefers no replica of a model.
	HostIndex func() int
	// HostCount returns the number of live entry hosts. Nil means one.
	HostCount func() int
	// PlannerViewCurrent reports whether the planner's view is current.
	PlannerViewCurrent func() bool
	// OnModelWait is called when a request starts to wait for a model, so that the
	// demand is reported to the planner at once.
	OnModelWait func()
	// LimitShare returns the rate, in requests a second, that this host may send to an
	// endpoint which takes perSecond from all hosts together. Nil means all of it.
	LimitShare func(endpoint string, perSecond float64) float64
	// Places returns how many of the requests that an endpoint takes at once this host may
	// send while it is brittle, and for each of the rest the host that may send it; nothing
	// if that is not known. Nil means that it never is.
	Places func(endpoint string, slots int) (own int, others []string)
	// Rejects reports whether endpoints crash under a request or a part of its prompt. Nil
	// means that they do not.
	Rejects func(r tamarackknot.RequestIdentity) bool
	// Isolated reports whether this host reaches no endpoint; no request then waits for
	// one. Nil means that it does.
	Isolated func() bool
	// FixedReturns says that refused callers are told fixed times to come back, whatever room
	// there is then.
	FixedReturns bool
	// Domains prices the traffic between failure domains. Nil means that it costs a constant.
	Domains *DomainPolicy
	Logger  *log.Logger
}

// Dispatcher assigns requests to endpoints. It minimises the load of the chosen
// endpoint, as a fraction of its slots, adjusted for failures, failure domain
// and cached prompts.
type Dispatcher struct {
	cfg Config

	mu        sync.Mutex
	pools     map[string]tamarackknot.PoolSpec
	endpoints map[string]*endpoint
	byService map[string][]*endpoint
	// holders are the endpoints of byService that have a model loaded, in the same order;
	// nil if it must be derived again.
	holders map[target][]*endpoint
	// byDomain divides them by failure domain; it is derived again as well.
	byDomain map[target]domains
	waiting  []*waiter
	refused  []refusedDemand
	// returns are the refused callers that were told when to come back, booked the time after
	// the last one that was promised for each target.
	returns   map[returnID]expectedReturn
	booked    map[target]time.Time
	prunedAt  time.Time
	shares    shares
	forecasts map[target]time.Time
	history   map[target]*requestHistory
	slotTimes map[target]time.Duration // how long requests take a slot, on average
	affinity  map[affinityKey]string
	signals   map[startKey]*signalState
	brittle   map[string]*brittleness // by service
	// versions holds when each version of a service's endpoints was last listed.
	versions map[string]map[string]time.Time
	// othersUntil is when the requests of other hosts no longer count; zero if they don't.
	othersUntil time.Time
	predicting  bool                 // endpoints are chosen by what is predicted
	baselines   map[target]*baseline // for models that this host has sent requests for
	prior       *baseline            // for others; it doesn't change
	streams     uint64               // number of the last request whose endpoint is observed
	freezes     freezes
	viewedAt    time.Time // when the planner last told of the requests of other hosts
	random      *rand.Rand
	changed     map[target]bool // targets whose demand changed since the last report
	queueWake   chan struct{}   // wakes Run when a request starts to wait
	shutdown    *Shutdown       // nil unless the host shuts down
	domains     domainState
	compared    int // choices of a domain by a sample of the endpoints
}

// target is a model of an engine service; model is empty for a plain service.
type target struct{ service, model string }

type affinityKey struct{ model, adapter, part string }

// requestHistory counts the requests for a model at this host. Tight requests
// have an objective shorter than a load of the model from disk.
type requestHistory struct {
	total, tight int64
	lastUsed     time.Time
}

type waiter struct {
	req     *Request
	tight   bool
	granted chan *Grant
	refused chan *Refusal
	waits   Waits
	// lack is what the request has waited for since checkedAt.
	lack      lack
	checkedAt time.Time
}

// refusedDemand is the demand of a refused request, which is reported until a time.
type refusedDemand struct {
	*waiter
	until time.Time
}

// New returns a Dispatcher without endpoints.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:       cfg,
		endpoints: make(map[string]*endpoint),
		byService: make(map[string][]*endpoint),
		returns:   make(map[returnID]expectedReturn),
		booked:    make(map[target]time.Time),
		shares:    newShares(),
		byDomain:  make(map[target]domains),
		forecasts: make(map[target]time.Time),
		history:   make(map[target]*requestHistory),
		slotTimes: make(map[target]time.Duration),
		affinity:  make(map[affinityKey]string),
		signals:   make(map[startKey]*signalState),
		brittle:   make(map[string]*brittleness),
		versions:  make(map[string]map[string]time.Time),
		baselines: make(map[target]*baseline),
		prior:     newBaseline(),
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		changed:   make(map[target]bool),
		queueWake: make(chan struct{}, 1),
	}
}

// Run serves waiting requests, and refuses those that can no longer be served,
// until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.queueWake:
		}
		for waiting := true; waiting; {
			if !wait.For(ctx, recheckInterval) {
				return
			}
			d.mu.Lock()
			d.serveWaiting(time.Now())
			waiting = len(d.waiting) > 0
			d.mu.Unlock()
		}
	}
}

// Acquire waits for an endpoint that can run the request. Exactly one of the
// results is not nil. If ctx ends while the request waits, it is a refusal.
func (d *Dispatcher) Acquire(ctx context.Context, req *Request) (*Grant, *Refusal) {
	now := time.Now()
	d.mu.Lock()
	if r := d.turnedAway(req, now); r != nil {
		d.mu.Unlock()
		return nil, r
	}
	req.band = shareBands - 1
	req.returned = req.returned || d.returned(req, now)
	tight := d.recordRequest(req, now)
	g, lack := d.tryGrant(req, now)
	if g != nil {
		d.mu.Unlock()
		return g, nil
	}
	w := &waiter{req: req, tight: tight, granted: make(chan *Grant, 1), refused: make(chan *Refusal, 1), lack: lack, checkedAt: now}
	if r := d.unmeetable(req, now); r != nil {
		d.recordRefused(w, r, now)
		d.mu.Unlock()
		if r.wanted && d.cfg.OnModelWait != nil {
			d.cfg.OnModelWait()
		}
		return nil, r
	}
	d.enqueue(w)
	d.mu.Unlock()
	if req.Model != "" && d.cfg.OnModelWait != nil {
		d.cfg.OnModelWait()
	}
	select {
	case g := <-w.granted:
		return g, nil
	case r := <-w.refused:
		return nil, r
	case <-ctx.Done():
		return nil, &Refusal{Reason: "the caller left", Waits: d.abandon(w)}
	}
}

// recordRequest counts a request for its model and reports whether its objective
// is shorter than a load of the model from disk.
func (d *Dispatcher) recordRequest(req *Request, now time.Time) bool {
	if req.Model == "" {
		return false
	}
	t := target{req.Service, req.Model}
	h := d.history[t]
	if h == nil {
		h = &requestHistory{}
		d.history[t] = h
	}
	tight := false
	if pool, ok := d.pools[req.Service]; ok && pool.Engine != nil {
		tight = req.Objective.Sub(req.Arrived) < pool.Engine.Models[req.Model].LoadDisk
	}
	if len(req.Exclude) == 0 {
		h.total++
		if tight {
			h.tight++
		}
	}
	h.lastUsed = now
	d.changed[t] = true
	return tight
}

// enqueue adds a waiting request.
func (d *Dispatcher) enqueue(w *waiter) {
	d.waiting = append(d.waiting, w)
	wait.Wake(d.queueWake)
	d.changed[target{w.req.Service, w.req.Model}] = true
}

// abandon ends the wait of a request whose caller has left, and returns what it
// has waited for.
func (d *Dispatcher) abandon(w *waiter) Waits {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.Index(d.waiting, w); i >= 0 {
		d.waiting = slices.Delete(d.waiting, i, i+1)
		d.changed[target{w.req.Service, w.req.Model}] = true
		d.shares.recordAsked(w.req, time.Now())
		w.recordWait(w.lack, time.Now())
		return w.waits
	}
	select {
	case g := <-w.granted:
		g.finish(ResultDisconnected)
	default:
	}
	return w.waits
}

// serveWaiting grants or refuses waiting requests where it can. The caller holds
// d.mu.
func (d *Dispatcher) serveWaiting(now time.Time) {
	orderWaiting(d.waiting, now)
	if d.shares.assign(d.waiting, now) {
		orderWaiting(d.waiting, now)
	}
	queue := slices.Clone(d.waiting)
	clear(d.waiting)
	d.waiting = d.waiting[:0] // those before the request that is looked at
	for _, w := range queue {
		r := d.turnedAway(w.req, now)
		var g *Grant
		lack := w.lack
		if r == nil {
			g, lack = d.tryGrant(w.req, now)
		}
		w.recordWait(lack, now)
		if g == nil && r == nil {
			r = d.unmeetable(w.req, now)
		}
		switch {
		case g != nil:
			g.Waits = w.waits
			w.granted <- g
		case r != nil:
			d.recordRefused(w, r, now)
			r.Waits = w.waits
			w.refused <- r
		default:
			d.waiting = append(d.waiting, w)
			continue
		}
		d.changed[target{w.req.Service, w.req.Model}] = true
	}
}

// expireOthers forgets the requests of other hosts once the planner has been lost for
// othersMemory: most have ended, and nobody says what followed. d.mu is held.
func (d *Dispatcher) expireOthers(now time.Time) {
	if d.othersUntil.IsZero() || now.Before(d.othersUntil) {
		return
	}
	d.othersUntil = time.Time{}
	for _, e := range d.endpoints {
		e.others = 0
	}
}

// recordRefused keeps the demand of a refused request that a load of its model would serve,
// until its caller comes back if it was told when, and expects that return. Without the demand
// the planner would not go on with the load that the caller is to come back for. d.mu is held.
func (d *Dispatcher) recordRefused(w *waiter, r *Refusal, now time.Time) {
	if len(d.refused) >= maxReturns || len(d.returns) >= maxReturns {
		d.pruneRefused(now)
	}
	d.shares.recordAsked(w.req, now)
	d.expectReturn(w.req, r)
	d.logRefusal(w.req, r, now)
	if !r.wanted || len(d.refused) >= maxReturns {
		return
	}
	d.refused = append(d.refused, demandOfReturn(w, r, now))
	d.changed[target{w.req.Service, w.req.Model}] = true
}

// pruneRefused forgets the demand that is no longer reported, and the returns that are over.
// d.mu is held.
func (d *Dispatcher) pruneRefused(now time.Time) {
	d.refused = slices.DeleteFunc(d.refused, func(r refusedDemand) bool {
		if now.Before(r.until) {
			return false
		}
		d.changed[target{r.req.Service, r.req.Model}] = true
		return true
	})
	if now.Sub(d.prunedAt) >= refusedDemandTime {
		d.prunedAt = now
		d.pruneReturns(now)
	}
}

// turnedAway returns a refusal if the request must not be sent from this host, whatever
// endpoints are free. d.mu is held.
func (d *Dispatcher) turnedAway(req *Request, now time.Time) *Refusal {
	if r := d.rejected(req); r != nil {
		return r
	}
	if r := d.leaving(req.AnsweredBy, now); r != nil {
		return r
	}
	return d.elsewhere(req, now)
}

// rejected returns a refusal if endpoints crash under the request or a part of its prompt.
func (d *Dispatcher) rejected(req *Request) *Refusal {
	if d.cfg.Rejects == nil || !d.cfg.Rejects(req.Identity()) {
		return nil
	}
	return &Refusal{Reason: "endpoints crash under the request or a part of its prompt"}
}

// unmeetable returns a refusal if the request is not expected to be answered by
// its deadline, or if it must not wait any longer: the host is shutting down, or
// there has been no forecast for too long.
func (d *Dispatcher) unmeetable(req *Request, now time.Time) *Refusal {
	if d.shutdown != nil && !now.Before(d.shutdown.WaitUntil) {
		return d.shutdown.refusal(now)
	}
	if d.cfg.Isolated != nil && d.cfg.Isolated() {
		return &Refusal{Reason: "this host reaches no endpoint", RetryAt: d.retryAt(req, now.Add(fullRetryDelay), now)}
	}
	if remaining := req.Deadline.Sub(now); remaining < minServiceTime {
		return &Refusal{Reason: "no time is left"}
	}
	if at := d.pausedUntil(req.Service, "", now); at.After(req.Objective) {
		// It can wait for the end of the pause, but not come back once more.
		req.awaitsPause = !d.cfg.FixedReturns && at.Add(minServiceTime).Before(req.Deadline) && (req.awaitsPause || req.returned || !req.canReturnAt(at, now))
		if req.awaitsPause {
			return nil
		}
		return &Refusal{Reason: "all endpoints have asked for a pause", RetryAt: d.retryAt(req, at, now)}
	}
	if req.Pinned && !d.canContinue(req) {
		return &Refusal{Reason: "no other endpoint of the stream's version is in service"}
	}
	if req.Model == "" {
		return d.unmeetablePlain(req, now)
	}
	if d.isBrittle(req.Service, now) && now.After(req.Objective) && d.slotInTime(req, now) {
		// Nobody waits at a brittle endpoint, so its queue is that of the hosts.
		return nil
	}
	ready, known := d.forecasts[target{req.Service, req.Model}]
	known = known && d.cfg.PlannerViewCurrent()
	if at := d.pausedUntil(req.Service, req.Model, now); at.Add(minServiceTime).After(req.Deadline) && (!known || ready.After(at)) {
		return &Refusal{Reason: "all endpoints with the model have asked for a pause", RetryAt: d.retryAt(req, at, now), wanted: true}
	}
	if known {
		req.foreseenAt = now
		if ready.Add(minServiceTime).After(req.Deadline) {
			at := d.retryAt(req, ready, now)
			return &Refusal{Reason: "the model will not be held in time", RetryAt: at, wanted: !at.IsZero() && !d.fixedReturns(req)}
		}
		return nil
	}
	// A forecast ends when the model has been loaded: a slot is awaited from then on.
	timeout := req.Deadline.Sub(req.Arrived)
	if now.Sub(times.Later(req.Arrived, req.foreseenAt)) <= time.Duration(unknownForecastWaitFraction*float64(timeout)) {
		return nil
	}
	return d.unforeseen(req, now)
}

// unforeseen returns a refusal of a request that has waited long while there is no forecast
// of when its model is loaded, unless it gets a slot in time and came back for it, or can't
// come back.
func (d *Dispatcher) unforeseen(req *Request, now time.Time) *Refusal {
	r := &Refusal{Reason: "no endpoint that holds the model is free"}
	wait, held := d.slotWait(req, now)
	inTime := held && now.Add(wait+minServiceTime).Before(req.Deadline)
	switch {
	case !d.cfg.PlannerViewCurrent():
		// Other hosts may hear the planner.
		r.RetryAt = d.retryAt(req, now.Add(fullRetryDelay), now)
	case inTime && req.returned:
		return nil
	case held:
		r.RetryAt = d.retryAt(req, now.Add(wait), now)
		if inTime && r.RetryAt.IsZero() {
			return nil
		}
	case len(d.candidates(req.Service, req.Model)) > 0:
		r.RetryAt = d.retryAt(req, now.Add(modelRetryDelay), now)
	default:
		r.RetryAt = d.retryAt(req, d.loadedBy(req, now), now)
		r.wanted = !r.RetryAt.IsZero() && !d.fixedReturns(req)
	}
	return r
}

// pausedUntil returns when the first endpoint of a service that has a model loaded, or of
// all if the model is empty, is back if all of them have asked for a pause, zero otherwise.
func (d *Dispatcher) pausedUntil(service, model string, now time.Time) time.Time {
	var first time.Time
	for _, e := range d.candidates(service, model) {
		if e.signals == nil || !now.Before(e.signals.pausedUntil) {
			return time.Time{}
		}
		if first.IsZero() || e.signals.pausedUntil.Before(first) {
			first = e.signals.pausedUntil
		}
	}
	return first
}

// hostCount returns the number of live entry hosts, at least one.
func (d *Dispatcher) hostCount() int {
	if d.cfg.HostCount == nil {
		return 1
	}
	return max(d.cfg.HostCount(), 1)
}

// CanContinue reports whether an endpoint of the version of a pinned request is in service
// other than the excluded ones. It may still have to load the model.
func (d *Dispatcher) CanContinue(req *Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.canContinue(req)
}

// CanServe reports whether an endpoint can take a request at once.
func (d *Dispatcher) CanServe(req *Request) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.turnedAway(req, now) != nil {
		return false
	}
	d.expireOthers(now)
	best, _ := d.best(req, now)
	return best != nil
}

// canContinue is CanContinue with d.mu held.
func (d *Dispatcher) canContinue(req *Request) bool {
	return slices.ContainsFunc(d.byService[req.Service], func(e *endpoint) bool {
		leaves := e.signals != nil && e.signals.Leaving
		return !leaves && e.runsVersionFor(req) && !slices.Contains(req.Exclude, e.entry.ID)
	})
}

// unmeetablePlain returns a refusal if the objective of a request to a plain
// service has passed and it is not expected to get a slot in time.
func (d *Dispatcher) unmeetablePlain(req *Request, now time.Time) *Refusal {
	if now.After(req.Objective) && !d.slotInTime(req, now) {
		return &Refusal{Reason: "all endpoints are full", RetryAt: d.retryAt(req, now.Add(fullRetryDelay), now)}
	}
	return nil
}

// tryGrant assigns the request to the best endpoint. If none can take it, it
// returns nil and what is lacking.
func (d *Dispatcher) tryGrant(req *Request, now time.Time) (*Grant, lack) {
	d.expireOthers(now)
	found := d.search(req, now)
	best := found.best
	if best == nil {
		return nil, found.missing
	}
	g := &Grant{Endpoint: best.entry, d: d, req: req, at: now}
	if found.predicting {
		d.observe(g, best, found.choice)
	}
	best.signals.spend(now)
	d.shares.recordServed(req, true, now)
	best.own++
	best.prefilling++
	best.running[modelAdapter{req.Model, req.Adapter}]++
	d.recordAffinity(req, best.entry.ID)
	left := d.countLeft(best)
	d.cfg.Logger.Debug("endpoint chosen", "request", req.ID, "endpoint", best.entry.ID, "score", found.score,
		"own", best.own, "others", best.others, "forecast", g.Forecast, "left", left)
	return g, 0
}

// preferredReplica returns the engine that this host prefers for a model, nil if
// fewer than two have it loaded. The hosts divide the replicas of a model among
// themselves, so that most prompts that an engine has cached came from a host that
// prefers it and has the engine in its affinity table.
func (d *Dispatcher) preferredReplica(req *Request) *endpoint {
	if req.Model == "" || d.cfg.HostIndex == nil {
		return nil
	}
	holders := d.candidates(req.Service, req.Model)
	if len(holders) < 2 {
		return nil
	}
	if d.domains.policy != nil {
		if own := d.domainsOf(target{req.Service, req.Model}, holders).own; len(own) > 0 {
			holders = own
		}
	}
	return holders[d.cfg.HostIndex()%len(holders)]
}

// candidates returns the endpoints of a service that have a model loaded, or all if the
// model is empty. d.mu is held.
func (d *Dispatcher) candidates(service, model string) []*endpoint {
	if model == "" {
		return d.byService[service]
	}
	if d.holders == nil {
		d.holders = make(map[target][]*endpoint)
		for service, endpoints := range d.byService {
			for _, e := range endpoints {
				for model := range e.held {
					t := target{service, model}
					d.holders[t] = append(d.holders[t], e)
				}
			}
		}
	}
	return d.holders[target{service, model}]
}

// affinityEndpoint returns the endpoint that last got the last known shared part of the
// prompt, nil if there is none or it must not get requests.
func (d *Dispatcher) affinityEndpoint(req *Request) *endpoint {
	for i := len(req.PromptParts) - 2; i >= 0; i-- {
		if id, ok := d.affinity[affinityKey{req.Model, req.Adapter, req.PromptParts[i]}]; ok {
			if e := d.endpoints[id]; e != nil && e.routable && e.entry.Service == req.Service {
				return e
			}
			return nil
		}
	}
	return nil
}

// recordAffinity records the endpoint that gets the shared parts of a prompt. The
// last part is left out, as it belongs to this request alone.
func (d *Dispatcher) recordAffinity(req *Request, id string) {
	if len(d.affinity) > maxAffinityEntries {
		clear(d.affinity)
	}
	for i := range max(len(req.PromptParts)-1, 0) {
		d.affinity[affinityKey{req.Model, req.Adapter, req.PromptParts[i]}] = id
	}
}

// Started records that the answer has begun: the engine has finished the prefill of the
// prompt. It is called for each event that was written to the caller, before the host waits for
// the next one.
func (g *Grant) Started() {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	if e := g.d.endpoints[g.Endpoint.ID]; e != nil {
		e.backoffs, e.probing = 0, false
	}
	g.markStarted()
	if g.observation.estimate != nil {
		g.beginAwait(time.Now())
	}
}

func (g *Grant) markStarted() {
	if g.started {
		return
	}
	g.started = true
	if e := g.d.endpoints[g.Endpoint.ID]; e != nil {
		e.prefilling--
	}
}

// Done releases the place at the endpoint and records the result of the
// attempt. Further calls have no effect.
func (g *Grant) Done(r Result) {
	g.once.Do(func() {
		g.d.mu.Lock()
		defer g.d.mu.Unlock()
		g.finish(r)
		g.d.serveWaiting(time.Now())
	})
}

func (g *Grant) finish(r Result) { g.finishAt(r, time.Now()) }

func (g *Grant) finishAt(r Result, now time.Time) {
	g.endObservation(r, now)
	if r == ResultFull || r == ResultMisplaced || r == ResultUnreachable {
		g.d.shares.recordServed(g.req, false, now)
	}
	e := g.d.endpoints[g.Endpoint.ID]
	if e == nil {
		return
	}
	g.markStarted()
	e.own--
	k := modelAdapter{g.req.Model, g.req.Adapter}
	if e.running[k]--; e.running[k] <= 0 {
		delete(e.running, k)
	}
	if r == ResultAnswered {
		g.d.recordSlotTime(target{g.req.Service, g.req.Model}, now.Sub(g.at))
	}
	e.recordResult(r, g.req, g.d.declinePause(e, now), now)
	g.d.changed[target{g.req.Service, g.req.Model}] = true
}
