package routing

import (
	"container/heap"
	"slices"
	"sync/atomic"
	"time"

	"tamarackknot.example/tamarackknot"
)

// target is the routing state of a model, an adapter or a plain service.
type target struct {
	key        Key
	hash       uint64
	candidates atomic.Pointer[candidates]
	waiting    atomic.Int64 // length of queue

	// The fields below are guarded by Router.mu.
	queue           waiters
	publishedDemand tamarackknot.Demand
	retryTokens     float64 // number of retries that the budget allows now

	// serviceTime is the moving average of the time that a request holds a slot,
	// in ns. It is not guarded by Router.mu.
	serviceTime atomic.Int64
}

// waiter is a queued request.
type waiter struct {
	req Request
	seq uint64
	pos int // index in the heap; -1 once removed
	// answer is buffered, so that the single answer never blocks its sender.
	answer chan answer
}

// answer grants or rejects a queued request.
type answer struct {
	grant     Grant
	choice    choice
	rejection *Rejection
}

// waiters is a heap ordered by priority, then deadline, then arrival; its first
// element is served next.
type waiters []*waiter

var _ heap.Interface = (*waiters)(nil)

func (q waiters) Len() int           { return len(q) }
func (q waiters) Less(i, j int) bool { return q[i].before(q[j]) }

func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].pos, q[j].pos = i, j
}

// Push implements heap.Interface.
func (q *waiters) Push(x any) {
	w, _ := x.(*waiter)
	w.pos = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.pos = -1
	return w
}

func (w *waiter) before(o *waiter) bool {
	if w.req.Priority != o.req.Priority {
		return w.req.Priority > o.req.Priority
	}
	if !w.req.Deadline.Equal(o.req.Deadline) {
		return w.req.Deadline.Before(o.req.Deadline)
	}
	if !w.req.Arrived.Equal(o.req.Arrived) {
		return w.req.Arrived.Before(o.req.Arrived)
	}
	return w.seq < o.seq
}

func (r *Router) push(t *target, w *waiter) {
	r.seq++
	w.seq = r.seq
	heap.Push(&t.queue, w)
	r.queued++
	t.waiting.Store(int64(len(t.queue)))
	r.waiting[t] = true
	r.anyWaiting.Store(true)
	r.demandChanged[t] = true
}

func (r *Router) remove(t *target, w *waiter) {
	heap.Remove(&t.queue, w.pos)
	r.queued--
	t.waiting.Store(int64(len(t.queue)))
	r.demandChanged[t] = true
	if len(t.queue) == 0 {
		delete(r.waiting, t)
		r.anyWaiting.Store(len(r.waiting) > 0)
	}
}

// dispatch grants free slots to queued requests of a target, in queue order. The
// caller holds r.mu.
func (r *Router) dispatch(t *target, now time.Time) {
	for len(t.queue) > 0 {
		w := t.queue[0]
		c, ok := r.takeSlot(t, &w.req, now)
		if !ok {
			break
		}
		r.remove(t, w)
		w.answer <- answer{grant: r.grant(t, c, now), choice: c}
	}
}

// dispatchFreed grants a slot freed on an endpoint to the first request in queue
// order among those that wait for any target on the endpoint.
func (r *Router) dispatchFreed(name string, now time.Time) {
	defer r.publishDemand()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.index.endpoints[name]
	if p == nil {
		return
	}
	var next *target
	for _, t := range p.targets {
		if len(t.queue) > 0 && (next == nil || t.queue[0].before(next.queue[0])) {
			next = t
		}
	}
	if next != nil {
		r.dispatch(next, now)
	}
}

// publishDemand sends changed demand to placement. It must be called without
// Router.mu and outside Journal.Read: placement may read the journal, and a read
// that is queued behind a writer would deadlock with this goroutine.
func (r *Router) publishDemand() {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	for _, d := range r.takeChangedDemand() {
		r.cfg.Placement.SetDemand(d)
	}
}

// takeChangedDemand returns the demand that differs from what was last published,
// and marks it as published.
func (r *Router) takeChangedDemand() []tamarackknot.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []tamarackknot.Demand
	for t := range r.demandChanged {
		delete(r.demandChanged, t)
		if d := t.demand(); t.key.Service == "" && d != t.publishedDemand {
			t.publishedDemand = d
			list = append(list, d)
		}
	}
	return list
}

func (t *target) demand() tamarackknot.Demand {
	d := tamarackknot.Demand{Target: t.key.Model, Waiting: len(t.queue)}
	for _, w := range t.queue {
		if d.Earliest.IsZero() || w.req.Deadline.Before(d.Earliest) {
			d.Earliest = w.req.Deadline
		}
		d.Priority = max(d.Priority, w.req.Priority)
	}
	return d
}

// reject removes a queued request and answers it. The caller holds r.mu.
func (r *Router) reject(t *target, w *waiter, rej Rejection) {
	r.remove(t, w)
	w.answer <- answer{rejection: &rej}
}

func (r *Router) rejectAll(t *target, rej Rejection) {
	for len(t.queue) > 0 {
		r.reject(t, t.queue[0], rej)
	}
}

// reviewQueue grants free slots to a queue and rejects the requests that are not
// expected to be served by their deadlines.
func (r *Router) reviewQueue(t *target, f tamarackknot.Forecast) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.dispatch(t, now)
	order := slices.Clone(t.queue)
	slices.SortFunc(order, func(a, b *waiter) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	for ahead, w := range order {
		if rej := t.unmeetable(w, ahead, f, now); rej != nil {
			r.reject(t, w, *rej)
		}
	}
}

// forecast returns the forecast of placement for a target. Like publishDemand it
// must be called without Router.mu.
func (r *Router) forecast(t *target) tamarackknot.Forecast {
	if t.key.Service != "" {
		return tamarackknot.Forecast{}
	}
	return r.cfg.Placement.Forecast(t.key.Model)
}

// ahead is the number of queued requests that are served before w.
func (t *target) ahead(w *waiter) int {
	n := 0
	for _, o := range t.queue {
		if o.before(w) {
			n++
		}
	}
	return n
}

// unmeetable returns a rejection if a queued request is not expected to be
// served by its deadline.
func (t *target) unmeetable(w *waiter, ahead int, f tamarackknot.Forecast, now time.Time) *Rejection {
	slots := t.slots(w.req.Version, now)
	if slots == 0 {
		switch {
		case f.Refused:
			return &Rejection{Reason: RejectRefused, Detail: f.Reason, RetryAt: f.RetryAt}
		case f.ReadyAt.After(w.req.Deadline):
			return &Rejection{
				Reason: RejectTooLate, RetryAt: f.ReadyAt,
				Detail: "a replica is expected to be loaded at " + f.ReadyAt.Format(time.RFC3339) + ", after the deadline",
			}
		}
		return nil
	}
	serviceTime := t.serviceTime.Load()
	if serviceTime == 0 {
		return nil
	}
	ready := now.Add(time.Duration(int64(ahead+1) * serviceTime / slots))
	if !ready.After(w.req.Deadline) || (!f.ReadyAt.IsZero() && !f.ReadyAt.After(w.req.Deadline)) {
		return nil
	}
	return &Rejection{
		Reason: RejectTooLate, RetryAt: ready,
		Detail: "all replicas are full and the queue is expected to reach the request at " +
			ready.Format(time.RFC3339) + ", after the deadline",
	}
}

// slots is the number of slots that this host can expect to get on the available
// replicas, including replicas that are full.
func (t *target) slots(version string, now time.Time) int64 {
	var n int64
	list := t.candidates.Load()
	if list == nil {
		return 0
	}
	for i := range list.all {
		if c := &list.all[i]; c.version == version && c.entry.Available(now) {
			n += c.entry.Share()
		}
	}
	return n
}
