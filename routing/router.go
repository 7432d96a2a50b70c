// Package routing selects the replica that serves a request and queues
// requests for which there is none yet.
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
	// reviewInterval is how often queued requests are checked against new
	// reports and forecasts. Freed slots and loaded replicas wake them at once.
	reviewInterval = 100 * time.Millisecond
	// syncInterval bounds how often the index is brought up to date. With 6,900
	// endpoints a pass takes 11 us after one change, and 1 to 2 ms if all
	// endpoints are compared or a target has replicas on all of them; syncShare
	// keeps frequent changes from using more than 2% of a core.
	syncInterval = 10 * time.Millisecond
	syncShare    = 50
	// retryShare is the share of a target's requests that may be repeated.
	retryShare = 0.2
	// retryBurst is the most that the budget accumulates. It is also where it
	// starts, so that the first calls after an idle period may be retried.
	retryBurst = 3
	// defaultRetryAfter is told when no better time is known.
	defaultRetryAfter = time.Second
)

// Config holds the dependencies and settings of a Router.
type Config struct {
	Journal tamarackknot.Journal
	Table   *endpoint.Table
	// Placement is called from the goroutines of requests and must not call
	// the router back.
	Placement tamarackknot.Placement
	// Host is the name of this host and FailureDomain where it is.
	Host          string
	FailureDomain string
	// MaxQueue bounds the queued requests of one target, MaxQueued those of
	// all; 1,000 and 20,000 if 0.
	MaxQueue  int
	MaxQueued int
	Logger    *log.Logger
}

// Key names what a request is routed to; one field is set.
type Key struct {
	Model   string // or adapter
	Service string
}

// Request is what routing needs to know of a request.
type Request struct {
	ID  string
	Key Key
	// Version of the model or adapter.
	Version  string
	Prefix   uint64 // hash of the start of the prompt, 0 if none
	Priority int
	Deadline time.Time
	// Arrived is when the request arrived; a request that comes back keeps its
	// place in the queue.
	Arrived time.Time
	// Declined counts the times that an endpoint had no slot for the request.
	Declined int
	// Attempt counts from 1. Of a later attempt Tried names the endpoints that
	// failed before; they are used if there are no others.
	Attempt int
	Tried   [2]*endpoint.Entry
}

func (q *Request) tried(e *endpoint.Entry) bool {
	return q.Tried[0] == e || q.Tried[1] == e
}

// RejectReason says why a request gets no replica.
type RejectReason string

// The reasons for a rejection.
const (
	RejectQueueFull RejectReason = "queueFull"
	RejectTooLate   RejectReason = "tooLate"  // not expected to be served by its deadline
	RejectRefused   RejectReason = "refused"  // placement loads no replica now
	RejectDeadline  RejectReason = "deadline" // passed while the request was queued
	RejectCanceled  RejectReason = "canceled"
	RejectNotFound  RejectReason = "notFound"
	RejectStopped   RejectReason = "stopped" // the router no longer runs
)

// Rejection says why a request gets no replica and when asking again helps.
type Rejection struct {
	Reason  RejectReason
	Detail  string
	RetryAt time.Time
}

// Grant is a slot on an endpoint. It must be released exactly once and not be
// copied before that.
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

	// tellMu keeps calls of Placement.Want in order. It is taken before mu.
	tellMu sync.Mutex

	// mu may be taken within Journal.Read, so that nothing may read the journal
	// while it is held.
	mu      sync.Mutex
	index   index
	waiting map[*target]bool
	untold  map[*target]bool // whose demand may have changed
	queued  int
	seq     uint64
	stopped bool
}

// New returns a router that knows of no replicas until Run is called.
func New(cfg Config) *Router {
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = 1000
	}
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = 20_000
	}
	return &Router{
		cfg:     cfg,
		targets: map[Key]*target{},
		waiting: map[*target]bool{},
		untold:  map[*target]bool{},
		index:   index{endpoints: map[string]*placed{}},
	}
}

// Run follows the journal and reviews the queues until ctx ends; it then
// rejects what is queued.
func (r *Router) Run(ctx context.Context) {
	defer r.stop()
	tick := time.NewTicker(reviewInterval)
	defer tick.Stop()
	for {
		changed := r.cfg.Journal.Changed()
		r.cfg.Journal.Read(r.sync)
		r.tell()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			if !wait.For(ctx, time.Until(r.index.nextSync)) {
				return
			}
		case <-tick.C:
			r.reviewAll()
		}
	}
}

func (r *Router) stop() {
	defer r.tell()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	for t := range r.waiting {
		r.rejectAll(t, Rejection{Reason: RejectStopped, Detail: "this entry host is shutting down"})
	}
}

func (r *Router) reviewAll() {
	if !r.anyWaiting.Load() {
		return
	}
	r.mu.Lock()
	targets := slices.Collect(maps.Keys(r.waiting))
	r.mu.Unlock()
	for _, t := range targets {
		r.review(t, r.forecast(t))
	}
	r.tell()
}

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
			key:     k,
			hash:    xxhash.Sum64String(k.Model) ^ xxhash.Sum64String(k.Service)<<1,
			retries: retryBurst,
			told:    tamarackknot.Demand{Target: k.Model},
		}
		r.targets[k] = t
	}
	return t
}

// take chooses a replica and takes a slot on it.
func (r *Router) take(t *target, req *Request, now time.Time) (choice, bool) {
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
// waits for a replica until the deadline of the request or the end of ctx.
func (r *Router) Acquire(ctx context.Context, req Request) (Grant, *Rejection) {
	now := time.Now()
	t := r.target(req.Key)
	if req.Key.Service == "" && req.Attempt <= 1 && req.Declined == 0 {
		r.cfg.Placement.Used(req.Key.Model, now)
	}
	if t.waiting.Load() == 0 {
		if c, ok := r.take(t, &req, now); ok {
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

// enqueue queues a request, unless a bound is reached, and rejects it if it
// will not be served in time. Placement is told of it before it is asked.
func (r *Router) enqueue(t *target, w *waiter, now time.Time) *Rejection {
	if rej := r.pushBounded(t, w, now); rej != nil {
		return rej
	}
	r.tell()
	f := r.forecast(t)
	r.mu.Lock()
	if w.pos >= 0 {
		if rej := t.hopeless(w, t.ahead(w), f, now); rej != nil {
			r.reject(t, w, *rej)
		}
	}
	r.mu.Unlock()
	r.tell()
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
	r.tell()
	select {
	case a := <-w.answer:
		// Answered while giving up; the user of the grant checks the deadline.
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

// Release gives the slot back. A second call panics.
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

// Declined gives the slot back after the endpoint had none for the request,
// which did not run. Like Release it may be called once.
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

// Sent counts a request toward the retry budget of its target.
func (r *Router) Sent(k Key) {
	t := r.target(k)
	r.mu.Lock()
	defer r.mu.Unlock()
	t.retries = min(retryBurst, t.retries+retryShare)
}

// Retry reports whether the budget of a target allows one more retry and
// takes it.
func (r *Router) Retry(k Key) bool {
	t := r.target(k)
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.retries < 1 {
		return false
	}
	t.retries--
	return true
}
