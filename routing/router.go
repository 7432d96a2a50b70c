// Package routing selects the replica that serves a request and queues requests
// for which no replica has a free slot. It minimises the load of the selected
// endpoint, as a fraction of its slots.
package routing

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/endpoint"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// reviewInterval is the pause between checks of queued requests against new
	// reports and forecasts. Freed slots and loaded replicas do not wait for it.
	reviewInterval = 100 * time.Millisecond
	// syncInterval is the shortest pause between updates of the index. With 6,900
	// endpoints an update takes 11 us after one change, and 1 to 2 ms if all
	// endpoints are compared or a target has replicas on all of them. The pause is
	// also at least syncPauseFactor times the duration of the last update, so that
	// frequent changes take no more than 2% of a core.
	syncInterval    = 10 * time.Millisecond
	syncPauseFactor = 50
	// retryRatio is the number of retries allowed per request of a target.
	retryRatio = 0.2
	// retryBurst is the maximum and the initial number of retries in the budget of
	// a target, so that the first calls after an idle period may be retried.
	retryBurst = 3
	// defaultRetryAfter is the retry delay of a request rejected by a full queue.
	defaultRetryAfter = time.Second
)

// Config holds the dependencies and settings of a Router.
type Config struct {
	Journal tamarackknot.Journal
	Table   *endpoint.Table
	// Placement is called from the goroutines of requests and must not call back
	// into the router.
	Placement tamarackknot.Placement
	// Host is the name of this host, FailureDomain its failure domain.
	Host          string
	FailureDomain string
	// MaxQueue limits the queued requests of one target, MaxQueued those of all
	// targets together. The defaults are 1,000 and 20,000.
	MaxQueue  int
	MaxQueued int
	Logger    *log.Logger
}

// Key names the target of a request; exactly one field is set.
type Key struct {
	Model   string // name of a model or an adapter
	Service string
}

// Request holds the properties of a request that decide where it is routed.
type Request struct {
	ID  string
	Key Key
	// Version of the model or adapter.
	Version  string
	Prefix   uint64 // hash of the start of the prompt, 0 if none
	Priority int    // 0 to 9, 9 is served first
	Deadline time.Time
	// Arrived is when the request arrived. A request that is queued again after
	// an endpoint declined it keeps its place in the queue.
	Arrived time.Time
	// Declined counts the times that an endpoint had no slot for the request.
	Declined int
	// Attempt counts from 1. Tried are endpoints that failed in earlier attempts;
	// they are used only if there are no others.
	Attempt int
	Tried   [2]*endpoint.Entry
}

func (q *Request) tried(e *endpoint.Entry) bool {
	return q.Tried[0] == e || q.Tried[1] == e
}

// RejectReason is the reason why a request is not routed.
type RejectReason string

// The reasons for a rejection.
const (
	RejectQueueFull RejectReason = "queueFull"
	RejectTooLate   RejectReason = "tooLate"  // not expected to be served by its deadline
	RejectRefused   RejectReason = "refused"  // placement does not load a replica now
	RejectDeadline  RejectReason = "deadline" // deadline passed while the request was queued
	RejectCanceled  RejectReason = "canceled"
	RejectNotFound  RejectReason = "notFound"
	RejectStopped   RejectReason = "stopped" // the router has been stopped
)

// Rejection says why a request is not routed and, unless RetryAt is zero, when to
// retry.
type Rejection struct {
	Reason  RejectReason
	Detail  string
	RetryAt time.Time
}

// Grant is a slot on an endpoint. Exactly one call of Release or Declined must
// end it; it must not be copied before that.
type Grant struct {
	Entry   *endpoint.Entry
	Address string
	router  *Router
	target  *target
	since   time.Time
}

// Router routes requests to loaded replicas.
type Router struct {
	cfg        Config
	anyWaiting atomic.Bool
	prefixes   prefixTable

	targetsMu sync.RWMutex
	targets   map[Key]*target

	// publishMu keeps calls of Placement.SetDemand in order. It is locked before mu.
	publishMu sync.Mutex

	// mu may be locked within Journal.Read; therefore the journal must not be read
	// while mu is held.
	mu            sync.Mutex
	index         index
	waiting       map[*target]bool
	demandChanged map[*target]bool // targets whose demand may have changed
	queued        int
	seq           uint64
	stopped       bool
}

// New returns a router. It has no replicas until Run is called.
func New(cfg Config) *Router {
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = 1000
	}
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = 20_000
	}
	return &Router{
		cfg:           cfg,
		targets:       map[Key]*target{},
		waiting:       map[*target]bool{},
		demandChanged: map[*target]bool{},
		index:         index{endpoints: map[string]*indexedEndpoint{}},
	}
}

// Run keeps the index up to date with the journal and reviews the queues until
// ctx ends; it then rejects all queued requests.
func (r *Router) Run(ctx context.Context) {
	defer r.stop()
	tick := time.NewTicker(reviewInterval)
	defer tick.Stop()
	for {
		changed := r.cfg.Journal.Changed()
		r.cfg.Journal.Read(r.sync)
		r.publishDemand()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			if !wait.For(ctx, time.Until(r.index.nextSync)) {
				return
			}
		case <-tick.C:
			r.reviewQueues()
		}
	}
}

func (r *Router) stop() {
	defer r.publishDemand()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	for t := range r.waiting {
		r.rejectAll(t, Rejection{Reason: RejectStopped, Detail: "this entry host is shutting down"})
	}
}

func (r *Router) reviewQueues() {
	if !r.anyWaiting.Load() {
		return
	}
	r.mu.Lock()
	targets := slices.Collect(maps.Keys(r.waiting))
	r.mu.Unlock()
	for _, t := range targets {
		r.reviewQueue(t, r.forecast(t))
	}
	r.publishDemand()
}

// target returns the routing state of a key; it is created on first use.
func (r *Router) target(k Key) *target {
	r.targetsMu.RLock()
	t := r.targets[k]
	r.targetsMu.RUnlock()
	if t != nil {
		return t
	}
	r.targetsMu.Lock()
	defer r.targetsMu.Unlock()
	if t = r.targets[k]; t == nil {
		t = &target{
			key:             k,
			hash:            xxhash.Sum64String(k.Model) ^ xxhash.Sum64String(k.Service)<<1,
			retryTokens:     retryBurst,
			publishedDemand: tamarackknot.Demand{Target: k.Model},
		}
		r.targets[k] = t
	}
	return t
}

// takeSlot chooses a replica and takes a slot on it; it reports false if none has
// a free slot.
func (r *Router) takeSlot(t *target, req *Request, now time.Time) (choice, bool) {
	for {
		c := r.choose(t, req, now)
		if c.entry == nil {
			return c, false
		}
		if c.entry.TryStart(now) {
			if req.Prefix != 0 {
				r.prefixes.put(t.hash^req.Prefix, c.entry)
			}
			return c, true
		}
	}
}

// Acquire returns a grant, or a rejection if the request cannot be served. It
// waits for a free slot until the deadline of the request or the end of ctx.
func (r *Router) Acquire(ctx context.Context, req Request) (Grant, *Rejection) {
	now := time.Now()
	t := r.target(req.Key)
	if req.Key.Service == "" && req.Attempt <= 1 && req.Declined == 0 {
		r.cfg.Placement.Used(req.Key.Model, now)
	}
	if t.waiting.Load() == 0 {
		if c, ok := r.takeSlot(t, &req, now); ok {
			r.logGrant(t, &req, c, 0)
			return r.grant(t, c, now), nil
		}
	}
	return r.acquireQueued(ctx, t, req, now)
}

func (r *Router) acquireQueued(ctx context.Context, t *target, req Request, now time.Time) (Grant, *Rejection) {
	w := &waiter{req: req, answer: make(chan answer, 1)}
	rej := r.enqueue(t, w, now)
	var a answer
	if rej == nil {
		a = r.await(ctx, t, w)
		rej = a.rejection
	}
	if rej != nil {
		r.logRejection(&req, rej)
		return Grant{}, rej
	}
	r.logGrant(t, &req, a.choice, time.Since(now))
	return a.grant, nil
}

// enqueue queues a request, unless the queue is full, and rejects it if it is not
// expected to be served by its deadline. Placement gets the new demand before it
// is asked for a forecast.
func (r *Router) enqueue(t *target, w *waiter, now time.Time) *Rejection {
	if rej := r.pushBounded(t, w, now); rej != nil {
		return rej
	}
	r.publishDemand()
	f := r.forecast(t)
	r.mu.Lock()
	if w.pos >= 0 {
		if rej := t.unmeetable(w, t.ahead(w), f, now); rej != nil {
			r.reject(t, w, *rej)
		}
	}
	r.mu.Unlock()
	r.publishDemand()
	return nil
}

func (r *Router) pushBounded(t *target, w *waiter, now time.Time) *Rejection {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stopped:
		return &Rejection{Reason: RejectStopped, Detail: "this entry host is shutting down"}
	case len(t.queue) >= r.cfg.MaxQueue:
		return &Rejection{
			Reason: RejectQueueFull, RetryAt: now.Add(defaultRetryAfter),
			Detail: fmt.Sprintf("%d requests are queued for the target, the limit is %d", len(t.queue), r.cfg.MaxQueue),
		}
	case r.queued >= r.cfg.MaxQueued:
		return &Rejection{
			Reason: RejectQueueFull, RetryAt: now.Add(defaultRetryAfter),
			Detail: fmt.Sprintf("%d requests are queued on this host, the limit is %d", r.queued, r.cfg.MaxQueued),
		}
	}
	r.push(t, w)
	r.dispatch(t, now)
	return nil
}

func (r *Router) await(ctx context.Context, t *target, w *waiter) answer {
	timer := time.NewTimer(time.Until(w.req.Deadline))
	defer timer.Stop()
	rej := &Rejection{Reason: RejectDeadline, Detail: "no replica became free before the deadline"}
	select {
	case a := <-w.answer:
		return a
	case <-timer.C:
	case <-ctx.Done():
		rej = &Rejection{Reason: RejectCanceled, Detail: "the caller went away"}
	}
	r.mu.Lock()
	if w.pos >= 0 {
		r.remove(t, w)
	}
	r.mu.Unlock()
	r.publishDemand()
	select {
	case a := <-w.answer:
		// Answered before the removal; the user of the grant checks the deadline.
		return a
	default:
		return answer{rejection: rej}
	}
}

func (r *Router) grant(t *target, c choice, now time.Time) Grant {
	return Grant{Entry: c.entry, Address: c.entry.Spec().Address, router: r, target: t, since: now}
}

func (r *Router) logGrant(t *target, req *Request, c choice, queued time.Duration) {
	if r.cfg.Logger != nil {
		r.cfg.Logger.Info("routed", "request", req.ID, "target", t.key.Model+t.key.Service,
			"endpoint", c.entry.Name(), "attempt", req.Attempt, "score", c.score,
			"candidates", c.candidates, "eligible", c.eligible, "own", c.own, "others", c.others,
			"prefix", c.prefix, "domain", c.domain, "queued", queued)
	}
}

func (r *Router) logRejection(req *Request, rej *Rejection) {
	if r.cfg.Logger != nil {
		r.cfg.Logger.Info("not routed", "request", req.ID, "target", req.Key.Model+req.Key.Service,
			"attempt", req.Attempt, "reason", rej.Reason, "detail", rej.Detail)
	}
}

// Release returns the slot. A second call panics.
func (g *Grant) Release() {
	r := g.router
	if r == nil {
		panic("routing: grant released twice")
	}
	g.router = nil
	now := time.Now()
	held := int64(now.Sub(g.since))
	if old := g.target.serviceTime.Load(); old > 0 {
		held = old + (held-old)/8
	}
	g.target.serviceTime.Store(max(1, held))
	g.Entry.Done()
	if r.anyWaiting.Load() {
		r.dispatchFreed(g.Entry.Name(), now)
	}
}

// Declined returns the slot after the endpoint declined the request without
// running it. Like Release it may be called only once.
func (g *Grant) Declined() {
	r := g.router
	if r == nil {
		panic("routing: grant released twice")
	}
	g.router = nil
	now := time.Now()
	name := g.Entry.Name()
	until := g.Entry.Declined(now)
	time.AfterFunc(until.Sub(now), func() { r.dispatchFreed(name, time.Now()) })
}

// RecordRequest adds a request to the retry budget of its target.
func (r *Router) RecordRequest(k Key) {
	t := r.target(k)
	r.mu.Lock()
	defer r.mu.Unlock()
	t.retryTokens = min(retryBurst, t.retryTokens+retryRatio)
}

// AllowRetry reports whether the retry budget of a target allows one more retry
// and, if so, takes it from the budget.
func (r *Router) AllowRetry(k Key) bool {
	t := r.target(k)
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.retryTokens < 1 {
		return false
	}
	t.retryTokens--
	return true
}
