// Package dispatch decides which endpoint gets a request, which requests wait
// and which are refused.
package dispatch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// checkEvery is the pause between two looks at waiting requests for those
	// that can no longer be served.
	checkEvery = 20 * time.Millisecond
	// unknownShare is the part of its patience for which a request waits while
	// nothing is known of when its model will be held.
	unknownShare = 0.35
	// refusedRetry is when a refused caller comes back if nothing better is
	// known: enough for one load from disk.
	refusedRetry = 1500 * time.Millisecond
	// fullRetry is when a caller comes back that was refused because all
	// endpoints were full.
	fullRetry = 400 * time.Millisecond
	// leastService is the least time in which a request can be answered once
	// it is sent.
	leastService = 250 * time.Millisecond
	// affinityEntries bounds the memory of which endpoint has read a part.
	affinityEntries = 4096
)

// Request is what a decision needs to know of a request.
type Request struct {
	ID      string
	Service string
	Model   string
	Adapter string
	// Priority is the rank of the route, 0 first.
	Priority int
	// Objective is when the first byte is due, Deadline when the caller or the
	// route gives up.
	Objective time.Time
	Deadline  time.Time
	// Arrived is when the host had read the request.
	Arrived time.Time
	// Parts are the ids of the prompt's parts.
	Parts []string
	// Exclude are the endpoints that must not get the request.
	Exclude []string
}

// Refusal says why a request cannot be sent and when to come back.
type Refusal struct {
	Reason string
	// RetryAt is zero if coming back does not help.
	RetryAt time.Time
}

// Result says how an attempt at an endpoint ended.
type Result int

// The results of attempts.
const (
	ResultAnswered Result = iota
	// ResultFailed: the endpoint answered with a failure of its own, broke off
	// or stayed silent.
	ResultFailed
	// ResultFull: the endpoint did not run the request for lack of room.
	ResultFull
	// ResultMisplaced: the endpoint is another one or does not hold the model.
	ResultMisplaced
	// ResultUnreachable: no connection could be opened.
	ResultUnreachable
	// ResultLeft: the caller left.
	ResultLeft
)

// Grant is the right to send one request to an endpoint. Done must be called
// once.
type Grant struct {
	Endpoint tamarackknot.EndpointEntry
	// Waited is how long the request waited.
	Waited  time.Duration
	d       *Dispatcher
	req     *Request
	started bool // the answer has begun
	once    sync.Once
}

// Config configures a Dispatcher.
type Config struct {
	FailureDomain string
	// Place is this host's index among the entry hosts; nil counts as unknown.
	Place func() int
	// PlannerHeard reports whether the planner's view is current.
	PlannerHeard func() bool
	// Urgent is told that a request waits for a model that no endpoint holds.
	Urgent func()
	Logger *log.Logger
}

// Dispatcher gives requests to endpoints.
type Dispatcher struct {
	cfg Config

	mu        sync.Mutex
	pools     map[string]tamarackknot.PoolSpec
	endpoints map[string]*endpoint
	byService map[string][]*endpoint
	waiting   []*waiter
	forecasts map[target]time.Time
	history   map[target]*history
	affinity  map[affinityKey]string
	changed   map[target]bool // targets whose demand changed since the last report
	queued    chan struct{}   // a request has begun to wait
	drainBy   time.Time       // when waiting requests are refused because the host leaves
}

// target is a model of a service.
type target struct{ service, model string }

type affinityKey struct{ model, adapter, part string }

// history counts the requests for a model at this host.
type history struct {
	total, tight int64
	lastUsed     time.Time
}

type waiter struct {
	req     *Request
	tight   bool
	granted chan *Grant
	refused chan *Refusal
}

// New returns a Dispatcher that knows no endpoint.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:       cfg,
		endpoints: make(map[string]*endpoint),
		byService: make(map[string][]*endpoint),
		forecasts: make(map[target]time.Time),
		history:   make(map[target]*history),
		affinity:  make(map[affinityKey]string),
		changed:   make(map[target]bool),
		queued:    make(chan struct{}, 1),
	}
}

// Run refuses waiting requests that can no longer be served, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.queued:
		}
		for waiting := true; waiting; {
			if !wait.For(ctx, checkEvery) {
				return
			}
			d.mu.Lock()
			d.serveWaiting(time.Now())
			waiting = len(d.waiting) > 0
			d.mu.Unlock()
		}
	}
}

// Acquire waits for an endpoint that can run the request. Exactly one result
// is not nil; after ctx ends it is a refusal.
func (d *Dispatcher) Acquire(ctx context.Context, req *Request) (*Grant, *Refusal) {
	now := time.Now()
	d.mu.Lock()
	tight := d.note(req, now)
	if g := d.tryGrant(req, now); g != nil {
		d.mu.Unlock()
		return g, nil
	}
	if r := d.hopeless(req, now); r != nil {
		d.mu.Unlock()
		return nil, r
	}
	w := &waiter{req: req, tight: tight, granted: make(chan *Grant, 1), refused: make(chan *Refusal, 1)}
	d.enqueue(w)
	d.mu.Unlock()
	if req.Model != "" && d.cfg.Urgent != nil {
		d.cfg.Urgent()
	}
	select {
	case g := <-w.granted:
		g.Waited = time.Since(now)
		return g, nil
	case r := <-w.refused:
		return nil, r
	case <-ctx.Done():
		d.abandon(w)
		return nil, &Refusal{Reason: "the caller left"}
	}
}

// Drain has the requests that still wait at a time refused: the host leaves
// and other hosts can serve them.
func (d *Dispatcher) Drain(by time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainBy = by
}

// note counts a request for its model and reports whether its objective is
// below the time of a load from disk.
func (d *Dispatcher) note(req *Request, now time.Time) bool {
	if req.Model == "" {
		return false
	}
	t := target{req.Service, req.Model}
	h := d.history[t]
	if h == nil {
		h = &history{}
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

// enqueue keeps waiting requests ordered by priority, then by objective.
func (d *Dispatcher) enqueue(w *waiter) {
	i, _ := slices.BinarySearchFunc(d.waiting, w, func(a, b *waiter) int {
		if c := cmp.Compare(a.req.Priority, b.req.Priority); c != 0 {
			return c
		}
		return a.req.Objective.Compare(b.req.Objective)
	})
	d.waiting = slices.Insert(d.waiting, i, w)
	wait.Wake(d.queued)
	d.changed[target{w.req.Service, w.req.Model}] = true
}

func (d *Dispatcher) abandon(w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.Index(d.waiting, w); i >= 0 {
		d.waiting = slices.Delete(d.waiting, i, i+1)
		d.changed[target{w.req.Service, w.req.Model}] = true
		return
	}
	select {
	case g := <-w.granted:
		g.finish(ResultLeft)
	default:
	}
}

// serveWaiting grants or refuses what it can. It is called with the lock held.
func (d *Dispatcher) serveWaiting(now time.Time) {
	kept := d.waiting[:0]
	for _, w := range d.waiting {
		if g := d.tryGrant(w.req, now); g != nil {
			w.granted <- g
		} else if r := d.hopeless(w.req, now); r != nil {
			w.refused <- r
		} else {
			kept = append(kept, w)
			continue
		}
		d.changed[target{w.req.Service, w.req.Model}] = true
	}
	clear(d.waiting[len(kept):])
	d.waiting = kept
}

// hopeless returns a refusal if the request cannot be answered in its time.
func (d *Dispatcher) hopeless(req *Request, now time.Time) *Refusal {
	if !d.drainBy.IsZero() && !now.Before(d.drainBy) {
		return &Refusal{Reason: "the host is leaving", RetryAt: now}
	}
	if left := req.Deadline.Sub(now); left < leastService {
		return &Refusal{Reason: "no time is left"}
	}
	if req.Model == "" {
		return d.hopelessPlain(req, now)
	}
	ready, known := d.forecasts[target{req.Service, req.Model}]
	if known && d.cfg.PlannerHeard() {
		if ready.Add(leastService).After(req.Deadline) {
			return &Refusal{Reason: "the model will not be held in time", RetryAt: times.Later(ready, now.Add(refusedRetry))}
		}
		return nil
	}
	patience := req.Deadline.Sub(req.Arrived)
	if now.Sub(req.Arrived) > time.Duration(unknownShare*float64(patience)) {
		return &Refusal{Reason: "no endpoint that holds the model is free", RetryAt: now.Add(refusedRetry)}
	}
	return nil
}

// hopelessPlain refuses requests of plain services that would only wait out
// their objective in a queue.
func (d *Dispatcher) hopelessPlain(req *Request, now time.Time) *Refusal {
	if now.After(req.Objective) {
		return &Refusal{Reason: "all endpoints are full", RetryAt: now.Add(fullRetry)}
	}
	return nil
}

// best returns the endpoint that suits the request best, nil if none can take
// it, and its score.
func (d *Dispatcher) best(req *Request, now time.Time) (*endpoint, float64) {
	var best *endpoint
	bestScore := 0.0
	near := d.affinityOf(req)
	home := d.homeOf(req)
	for _, e := range d.byService[req.Service] {
		if !e.accepts(req, now) {
			continue
		}
		score := e.score(req, d.cfg.FailureDomain, now)
		if e.entry.ID == near {
			score -= affinityBonus
		}
		if e == home {
			score -= homeBonus
		}
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best, bestScore
}

// tryGrant gives the request to the best endpoint, if one can take it.
func (d *Dispatcher) tryGrant(req *Request, now time.Time) *Grant {
	best, bestScore := d.best(req, now)
	if best == nil {
		return nil
	}
	best.own++
	best.reading++
	best.running[runKey{req.Model, req.Adapter}]++
	d.remember(req, best.entry.ID)
	d.cfg.Logger.Debug("endpoint chosen", "request", req.ID, "endpoint", best.entry.ID, "score", bestScore,
		"own", best.own, "others", best.others)
	return &Grant{Endpoint: best.entry, d: d, req: req}
}

// homeOf is the engine that this host prefers for a model: the hosts divide the
// copies of a model among them, so that each knows most of what its engine
// reads.
func (d *Dispatcher) homeOf(req *Request) *endpoint {
	if req.Model == "" || d.cfg.Place == nil {
		return nil
	}
	n := 0
	for _, e := range d.byService[req.Service] {
		if _, ok := e.held[req.Model]; ok {
			n++
		}
	}
	if n < 2 {
		return nil
	}
	home := d.cfg.Place() % n
	for _, e := range d.byService[req.Service] {
		if _, ok := e.held[req.Model]; !ok {
			continue
		}
		if home == 0 {
			return e
		}
		home--
	}
	return nil
}

func (d *Dispatcher) affinityOf(req *Request) string {
	for i := len(req.Parts) - 2; i >= 0; i-- {
		if id, ok := d.affinity[affinityKey{req.Model, req.Adapter, req.Parts[i]}]; ok {
			return id
		}
	}
	return ""
}

// remember notes which endpoint has read the shared parts of a prompt; the
// last part belongs to the request itself.
func (d *Dispatcher) remember(req *Request, id string) {
	if len(d.affinity) > affinityEntries {
		clear(d.affinity)
	}
	for i := range max(len(req.Parts)-1, 0) {
		d.affinity[affinityKey{req.Model, req.Adapter, req.Parts[i]}] = id
	}
}

// Started notes that the answer has begun: the endpoint has read the prompt.
func (g *Grant) Started() {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	g.start()
}

func (g *Grant) start() {
	if g.started {
		return
	}
	g.started = true
	if e := g.d.endpoints[g.Endpoint.ID]; e != nil {
		e.reading--
	}
}

// Done gives the endpoint's place back and notes how the attempt ended.
func (g *Grant) Done(r Result) {
	g.once.Do(func() {
		g.d.mu.Lock()
		defer g.d.mu.Unlock()
		g.finish(r)
		g.d.serveWaiting(time.Now())
	})
}

func (g *Grant) finish(r Result) {
	e := g.d.endpoints[g.Endpoint.ID]
	if e == nil {
		return
	}
	now := time.Now()
	g.start()
	e.own--
	k := runKey{g.req.Model, g.req.Adapter}
	if e.running[k]--; e.running[k] <= 0 {
		delete(e.running, k)
	}
	e.note(r, g.req, now)
	g.d.changed[target{g.req.Service, g.req.Model}] = true
}
