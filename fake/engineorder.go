package fake

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const mbPerGB = 1024

var errAnswerLost = errors.New("answer to the order was lost")

// Order executes an order and returns when it has completed. If ctx ends
// earlier, it returns OrderUnknown and the order continues.
func (e *Engine) Order(ctx context.Context, o tamarackknot.Order) tamarackknot.OrderResult {
	result, err := e.execute(ctx, o)
	if err != nil {
		return tamarackknot.OrderResult{Outcome: tamarackknot.OrderUnknown, Message: err.Error()}
	}
	return result
}

// execute runs an order until it completes or the engine dies, also after ctx
// ends. It returns an error if the client must not receive an answer.
func (e *Engine) execute(ctx context.Context, o tamarackknot.Order) (tamarackknot.OrderResult, error) {
	lifetime := e.processContext()
	if lifetime.Err() != nil {
		return tamarackknot.OrderResult{}, context.Cause(lifetime)
	}
	f, _ := e.get()
	run := &orderRun{engine: e, order: o, delay: f.DelayOrder, refuse: f.Refuse, done: make(chan tamarackknot.OrderResult, 1)}
	go run.run(lifetime)
	select {
	case result := <-run.done:
		if f, _ := e.get(); f.LoseAnswer {
			return tamarackknot.OrderResult{}, errAnswerLost
		}
		return result, nil
	case <-lifetime.Done():
		return tamarackknot.OrderResult{}, context.Cause(lifetime)
	case <-ctx.Done():
		return tamarackknot.OrderResult{}, context.Cause(ctx)
	}
}

// orderRun is one order in progress. delay and refuse are the faults at its
// arrival.
type orderRun struct {
	engine *Engine
	order  tamarackknot.Order
	delay  time.Duration
	refuse bool
	done   chan tamarackknot.OrderResult
}

func (r *orderRun) run(lifetime context.Context) {
	if r.refuse {
		r.done <- refused("endpoint refuses orders")
		return
	}
	if err := r.engine.sleep(lifetime, r.delay); err != nil {
		return
	}
	switch r.order.Kind {
	case tamarackknot.OrderLoad:
		r.done <- r.engine.load(lifetime, r.order)
	case tamarackknot.OrderUnload:
		r.done <- r.engine.unload(lifetime, r.order)
	case tamarackknot.OrderRole:
		r.done <- r.engine.changeRole(lifetime, r.order)
	default:
		r.done <- refused(fmt.Sprintf("kind %q is not an order: allowed are load, unload and role", r.order.Kind))
	}
}

func refused(message string) tamarackknot.OrderResult {
	return tamarackknot.OrderResult{Outcome: tamarackknot.OrderRefused, Message: message}
}

func done() tamarackknot.OrderResult {
	return tamarackknot.OrderResult{Outcome: tamarackknot.OrderDone}
}

// interruptedResult is the result of an order that was interrupted because the
// engine died. It is not delivered to a client.
func interruptedResult() tamarackknot.OrderResult {
	return tamarackknot.OrderResult{Outcome: tamarackknot.OrderUnknown, Message: errDied.Error()}
}

// checkFence compares the fencing token of an order with the highest one seen
// for its target and records it. It runs when the order takes effect, not when
// it arrives, so that a delayed order can be outdated by a later one.
func (e *Engine) checkFence(lifetime context.Context, o tamarackknot.Order) (result tamarackknot.OrderResult, valid bool) {
	if lifetime.Err() != nil {
		return interruptedResult(), false
	}
	seen := e.fences[o.Target]
	if o.Fence < seen {
		e.history.increment(&e.history.staleFence)
		if e.cfg.Fencing {
			return tamarackknot.OrderResult{
				Outcome: tamarackknot.OrderStaleFence,
				Message: fmt.Sprintf("fencing number %d of target %q is lower than %d", o.Fence, o.Target, seen),
			}, false
		}
	}
	e.fences[o.Target] = max(seen, o.Fence)
	return tamarackknot.OrderResult{}, true
}

func (e *Engine) changeRole(lifetime context.Context, o tamarackknot.Order) tamarackknot.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	if result, ok := e.checkFence(lifetime, o); !ok {
		return result
	}
	e.role = o.Role
	return done()
}

func (e *Engine) load(lifetime context.Context, o tamarackknot.Order) tamarackknot.OrderResult {
	e.mu.Lock()
	if result, ok := e.checkFence(lifetime, o); !ok {
		e.mu.Unlock()
		return result
	}
	if r, ok := e.replicas[o.Target]; ok {
		e.mu.Unlock()
		return e.joinLoad(lifetime, r, o)
	}
	if result, ok := e.checkLoad(o); !ok {
		e.mu.Unlock()
		return result
	}
	transfer, err := e.startTransfer(o)
	if err != nil {
		e.mu.Unlock()
		result := tamarackknot.OrderResult{Outcome: tamarackknot.OrderStoreBusy, Message: err.Error()}
		if busy := (*StoreBusyError)(nil); errors.As(err, &busy) {
			result.RetryAt = busy.RetryAt
		}
		return result
	}
	ctx, cancel := context.WithCancel(lifetime)
	defer cancel()
	r := &engineReplica{
		checkpoint: checkpoint{name: o.Target, version: o.Version, memoryMB: o.MemoryMB},
		base:       o.Base,
		loading:    true,
		drained:    make(chan struct{}),
		ready:      make(chan struct{}),
		freed:      make(chan struct{}),
		cancel:     cancel,
	}
	e.add(r)
	e.mu.Unlock()

	err = transfer(ctx)

	e.mu.Lock()
	defer e.mu.Unlock()
	r.loading = false
	switch {
	case lifetime.Err() != nil:
		r.result = interruptedResult()
	case err != nil || ctx.Err() != nil:
		r.result = refused("load was cancelled by an unload order")
		e.drop(r)
	default:
		r.result = done()
		e.cache.touch(r.checkpoint)
		e.publish()
	}
	close(r.ready)
	return r.result
}

// joinLoad returns the result of a load order for a target that is already in
// memory or loading; it waits for a load in progress.
func (e *Engine) joinLoad(lifetime context.Context, r *engineReplica, o tamarackknot.Order) tamarackknot.OrderResult {
	if r.version != o.Version {
		return refused(fmt.Sprintf("target %q is in memory with version %q", r.name, r.version))
	}
	select {
	case <-r.ready:
	case <-lifetime.Done():
		return interruptedResult()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.unloading {
		return refused(fmt.Sprintf("target %q is being unloaded", r.name))
	}
	return r.result
}

// checkLoad reports whether a load order can start, and otherwise the result with
// which it fails.
func (e *Engine) checkLoad(o tamarackknot.Order) (result tamarackknot.OrderResult, ok bool) {
	if o.Target == "" || o.MemoryMB <= 0 {
		return refused(fmt.Sprintf("load of target %q with memoryMB %d: allowed are a name and more than 0", o.Target, o.MemoryMB)), false
	}
	if e.leaving {
		return refused("endpoint is leaving"), false
	}
	if o.Base != "" {
		base, ok := e.replicas[o.Base]
		if !ok || base.loading || base.unloading {
			return refused(fmt.Sprintf("base model %q of adapter %q is not loaded", o.Base, o.Target)), false
		}
	}
	if e.usedMB+o.MemoryMB > e.cfg.MemoryMB {
		e.history.increment(&e.history.noMemory)
		if !e.cfg.Overcommit {
			return tamarackknot.OrderResult{
				Outcome: tamarackknot.OrderNoMemory,
				Message: fmt.Sprintf("target %q needs %d MB, %d of %d MB are in use", o.Target, o.MemoryMB, e.usedMB, e.cfg.MemoryMB),
			}, false
		}
	}
	return tamarackknot.OrderResult{}, true
}

// startTransfer returns a function that waits until a checkpoint has been read
// from the fastest tier that holds it. A transfer from the weight store starts at
// once; the error is a *StoreBusyError if its rate limit is exceeded.
func (e *Engine) startTransfer(o tamarackknot.Order) (func(context.Context) error, error) {
	perGB := e.cfg.RemotePerGB
	tier := e.cache.tier(checkpoint{name: o.Target, version: o.Version})
	switch tier {
	case tamarackknot.TierMemory:
		perGB = e.cfg.MemoryPerGB
	case tamarackknot.TierDisk:
		perGB = e.cfg.DiskPerGB
	case tamarackknot.TierRemote:
	}
	d := time.Duration(float64(perGB) * float64(o.MemoryMB) / mbPerGB)
	if tier != tamarackknot.TierRemote || e.cfg.Store == nil {
		return func(ctx context.Context) error { return e.sleep(ctx, d) }, nil
	}
	if f, _ := e.get(); f.Slow > 0 {
		d = time.Duration(float64(d) * f.Slow)
	}
	l, err := e.cfg.Store.Start(d)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context) error {
		if err := l.Wait(ctx); err != nil {
			return err
		}
		return e.sleep(ctx, 0)
	}, nil
}

func (e *Engine) unload(lifetime context.Context, o tamarackknot.Order) tamarackknot.OrderResult {
	e.mu.Lock()
	if result, ok := e.checkFence(lifetime, o); !ok {
		e.mu.Unlock()
		return result
	}
	r, ok := e.replicas[o.Target]
	if !ok {
		e.mu.Unlock()
		return done()
	}
	for _, a := range e.replicas {
		if a.base == r.name {
			e.mu.Unlock()
			return refused(fmt.Sprintf("adapter %q is loaded beside model %q", a.name, r.name))
		}
	}
	if r.loading || r.unloading {
		// The memory is released by the cancelled load or by the earlier unload
		// order.
		r.cancel()
		e.mu.Unlock()
		return awaitFreed(lifetime, r.freed)
	}
	r.unloading = true
	e.rejectQueued(r)
	if r.running == 0 {
		close(r.drained)
	}
	e.publish()
	e.mu.Unlock()

	select {
	case <-r.drained:
	case <-lifetime.Done():
		return interruptedResult()
	}
	if err := e.sleep(lifetime, e.cfg.Unload); err != nil {
		return interruptedResult()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if lifetime.Err() != nil {
		return interruptedResult()
	}
	e.cache.touch(r.checkpoint)
	e.drop(r)
	return done()
}

func awaitFreed(lifetime context.Context, freed <-chan struct{}) tamarackknot.OrderResult {
	select {
	case <-freed:
		return done()
	case <-lifetime.Done():
		return interruptedResult()
	}
}
