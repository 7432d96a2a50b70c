package fake

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const mbPerGB = 1024

var errAnswerLost = errors.New("answer of the order was lost")

// Order carries out an order and returns when its effect is complete. The
// order goes on if ctx ends earlier.
func (e *Engine) Order(ctx context.Context, o tamarackknot.Order) tamarackknot.OrderResult {
	result, err := e.order(ctx, o)
	if err != nil {
		return tamarackknot.OrderResult{Outcome: tamarackknot.OrderUnknown, Message: err.Error()}
	}
	return result
}

// order returns an error if the client must not get an answer. The run is bound
// to the life of the engine, not to ctx.
func (e *Engine) order(ctx context.Context, o tamarackknot.Order) (tamarackknot.OrderResult, error) {
	life := e.alive()
	if life.Err() != nil {
		return tamarackknot.OrderResult{}, context.Cause(life)
	}
	f, _ := e.get()
	run := &orderRun{engine: e, order: o, delay: f.DelayOrder, refuse: f.Refuse, done: make(chan tamarackknot.OrderResult, 1)}
	go run.run(life)
	select {
	case result := <-run.done:
		if f, _ := e.get(); f.LoseAnswer {
			return tamarackknot.OrderResult{}, errAnswerLost
		}
		return result, nil
	case <-life.Done():
		return tamarackknot.OrderResult{}, context.Cause(life)
	case <-ctx.Done():
		return tamarackknot.OrderResult{}, context.Cause(ctx)
	}
}

// orderRun is one order on its way to its effect.
type orderRun struct {
	engine *Engine
	order  tamarackknot.Order
	delay  time.Duration
	refuse bool
	done   chan tamarackknot.OrderResult
}

func (r *orderRun) run(life context.Context) {
	if r.refuse {
		r.done <- refused("endpoint refuses orders")
		return
	}
	if err := r.engine.sleep(life, r.delay); err != nil {
		return
	}
	switch r.order.Kind {
	case tamarackknot.OrderLoad:
		r.done <- r.engine.load(life, r.order)
	case tamarackknot.OrderUnload:
		r.done <- r.engine.unload(life, r.order)
	case tamarackknot.OrderRole:
		r.done <- r.engine.changeRole(life, r.order)
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

// lost is the result of an order that the death of the endpoint interrupted;
// nobody receives it.
func lost() tamarackknot.OrderResult {
	return tamarackknot.OrderResult{Outcome: tamarackknot.OrderUnknown, Message: errDied.Error()}
}

// admit checks the fencing number at the time of the effect and remembers it.
func (e *Engine) admit(life context.Context, o tamarackknot.Order) (result tamarackknot.OrderResult, admitted bool) {
	if life.Err() != nil {
		return lost(), false
	}
	seen := e.fences[o.Target]
	if o.Fence < seen {
		e.history.count(&e.history.staleFence)
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

func (e *Engine) changeRole(life context.Context, o tamarackknot.Order) tamarackknot.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	if result, ok := e.admit(life, o); !ok {
		return result
	}
	e.role = o.Role
	return done()
}

func (e *Engine) load(life context.Context, o tamarackknot.Order) tamarackknot.OrderResult {
	e.mu.Lock()
	if result, ok := e.admit(life, o); !ok {
		e.mu.Unlock()
		return result
	}
	if r, ok := e.replicas[o.Target]; ok {
		e.mu.Unlock()
		return e.joinLoad(life, r, o)
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
	ctx, cancel := context.WithCancel(life)
	defer cancel()
	r := &engineReplica{
		checkpoint: checkpoint{name: o.Target, version: o.Version, memoryMB: o.MemoryMB},
		base:       o.Base,
		loading:    true,
		idle:       make(chan struct{}),
		ready:      make(chan struct{}),
		gone:       make(chan struct{}),
		cancel:     cancel,
	}
	e.add(r)
	e.mu.Unlock()

	err = transfer(ctx)

	e.mu.Lock()
	defer e.mu.Unlock()
	r.loading = false
	switch {
	case life.Err() != nil:
		r.result = lost()
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

// joinLoad answers a load order for a target that is in memory already.
func (e *Engine) joinLoad(life context.Context, r *engineReplica, o tamarackknot.Order) tamarackknot.OrderResult {
	if r.version != o.Version {
		return refused(fmt.Sprintf("target %q is in memory with version %q", r.name, r.version))
	}
	select {
	case <-r.ready:
	case <-life.Done():
		return lost()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.unloading {
		return refused(fmt.Sprintf("target %q is being unloaded", r.name))
	}
	return r.result
}

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
		e.history.count(&e.history.noMemory)
		if !e.cfg.Overcommit {
			return tamarackknot.OrderResult{
				Outcome: tamarackknot.OrderNoMemory,
				Message: fmt.Sprintf("target %q needs %d MB, %d of %d MB are in use", o.Target, o.MemoryMB, e.usedMB, e.cfg.MemoryMB),
			}, false
		}
	}
	return tamarackknot.OrderResult{}, true
}

// startTransfer returns the function that waits for the checkpoint to arrive
// from its cache tier.
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

func (e *Engine) unload(life context.Context, o tamarackknot.Order) tamarackknot.OrderResult {
	e.mu.Lock()
	if result, ok := e.admit(life, o); !ok {
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
		// The load frees the memory when it ends; an earlier unload order does
		// so too.
		r.cancel()
		e.mu.Unlock()
		return await(life, r.gone)
	}
	r.unloading = true
	e.expel(r)
	if r.running == 0 {
		close(r.idle)
	}
	e.publish()
	e.mu.Unlock()

	select {
	case <-r.idle:
	case <-life.Done():
		return lost()
	}
	if err := e.sleep(life, e.cfg.Unload); err != nil {
		return lost()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
		return lost()
	}
	e.cache.touch(r.checkpoint)
	e.drop(r)
	return done()
}

func await(life context.Context, gone <-chan struct{}) tamarackknot.OrderResult {
	select {
	case <-gone:
		return done()
	case <-life.Done():
		return lost()
	}
}
