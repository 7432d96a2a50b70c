package placement

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const (
	unloadTimeout = time.Minute
	// minLoadTimeout bounds how early a load is given up for lost; sending the
	// order again joins a load that still runs.
	minLoadTimeout = 30 * time.Second
	proposeTimeout = 5 * time.Second
)

// order is one order to an engine.
type order struct {
	c       *Controller
	key     replicaKey
	address string
	order   tamarackknot.Order
	base    bool // look up the base model of an adapter
	timeout time.Duration
	result  tamarackknot.OrderResult
	took    time.Duration
	// skipped is set if this process was no longer the issuer.
	skipped bool
}

func (o *order) run(ctx context.Context) {
	if !o.issuer() {
		o.skipped = true
		o.c.post(ctx, o)
		return
	}
	send, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	begin := time.Now()
	o.result = o.c.cfg.Engine.Order(send, o.address, o.order)
	o.took = time.Since(begin)
	o.c.post(ctx, o)
}

// issuer reads again whether this process may still send the order.
func (o *order) issuer() bool {
	mine := false
	o.c.cfg.Journal.Read(func(s tamarackknot.State) {
		for _, r := range s.Replicas(o.key.target) {
			if r.Endpoint == o.key.endpoint && r.Fence == o.order.Fence && r.State != tamarackknot.ReplicaLoaded {
				mine = o.c.mine(r)
			}
		}
		if t, ok := s.Target(o.key.target); ok && o.base {
			o.order.Base = t.Base
		}
	})
	return mine
}

func (o *order) apply(c *Controller, now time.Time) {
	c.running--
	w := c.work[o.key]
	if w == nil {
		return
	}
	w.busy--
	if o.skipped {
		c.mirror.stale = true
		w.retryLater(now)
		return
	}
	outcome := o.result.Outcome
	c.count("orders." + string(o.order.Kind) + "." + string(outcome))
	c.time("order."+string(o.order.Kind), o.took)
	c.cfg.Log.Info("order ended", "kind", string(o.order.Kind), "target", o.key.target, "endpoint", o.key.endpoint,
		"fence", int64(o.order.Fence), "outcome", string(outcome), "message", o.result.Message, "took", o.took)
	if outcome == tamarackknot.OrderUnknown {
		w.lastUnknown = now
	}
	if w.fence == o.order.Fence {
		w.result = &o.result
	}
	if o.order.Kind == tamarackknot.OrderLoad {
		c.loadEnded(o, now)
	}
}

// loadEnded teaches the policy what a load took.
func (c *Controller) loadEnded(o *order, now time.Time) {
	for _, pl := range c.planners {
		tier, ok := pl.policy.LoadTier(o.key.target, o.key.endpoint)
		if !ok {
			continue
		}
		switch o.result.Outcome {
		case tamarackknot.OrderDone:
			pl.policy.LoadEnded(tier, o.order.MemoryMB, o.took)
		case tamarackknot.OrderStoreBusy:
			retry := o.result.RetryAt
			if retry.IsZero() {
				retry = now.Add(time.Second)
			}
			pl.policy.StoreBusy(retry)
		case tamarackknot.OrderRefused, tamarackknot.OrderNoMemory, tamarackknot.OrderStaleFence:
			pl.policy.Refused(o.key.target, o.key.endpoint, now)
		default:
		}
	}
}

func (c *Controller) loadTimeout(r tamarackknot.Replica, res *tamarackknot.Resource) time.Duration {
	expect := 10 * time.Minute
	if pl := c.planners[res.Endpoint.Deployment]; pl != nil {
		expect = pl.policy.ExpectLoad(r.Target, r.Endpoint)
	}
	return minLoadTimeout + 2*expect
}

// proposal is one proposal to the log.
type proposal struct {
	c        *Controller
	key      replicaKey
	change   tamarackknot.Change
	decision *Decision
	outcome  tamarackknot.Outcome
	err      error
}

// propose sends a proposal in its own goroutine.
func (c *Controller) propose(ctx context.Context, key replicaKey, ch tamarackknot.Change, d *Decision) {
	c.workOn(key).busy++
	c.running++
	p := &proposal{c: c, key: key, change: ch, decision: d}
	go p.run(ctx)
}

func (p *proposal) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	p.outcome, p.err = p.c.cfg.Journal.Propose(call, p.change)
	p.c.post(ctx, p)
}

func (p *proposal) apply(c *Controller, now time.Time) {
	c.running--
	if w := c.work[p.key]; w != nil {
		w.busy--
	}
	fields := []any{"change", changeName(p.change), "target", p.key.target, "endpoint", p.key.endpoint}
	c.mirror.stale = true
	c.mirror.refresh[p.key.target] = struct{}{}
	switch {
	case p.err != nil:
		c.count("proposals.failed")
		c.logFailed = now
		c.cfg.Log.Warn("proposal failed", append(fields, "err", p.err)...)
		if errors.Is(p.err, tamarackknot.ErrNotAppended) {
			c.abandon(p.decision)
		}
	case !p.outcome.Accepted:
		c.count("proposals.rejected")
		c.cfg.Log.Info("proposal rejected", append(fields, "reason", string(p.outcome.Reason), "detail", p.outcome.Detail)...)
		c.abandon(p.decision)
		if p.change.Claim != nil && p.outcome.Reason != tamarackknot.ReasonConflict {
			c.refused(p.key, now)
		}
	default:
		c.count("proposals.accepted")
		c.cfg.Log.Info("proposal accepted", append(fields, "offset", int64(p.outcome.Offset))...)
	}
}

func changeName(ch tamarackknot.Change) string {
	switch {
	case ch.Claim != nil:
		return "claim"
	case ch.Loaded != nil:
		return "loaded"
	case ch.Unload != nil:
		return "unload"
	case ch.Takeover != nil:
		return "takeover"
	}
	return "release"
}

// refused keeps the policy from choosing the same endpoint again at once.
func (c *Controller) refused(key replicaKey, now time.Time) {
	for _, pl := range c.planners {
		pl.policy.Refused(key.target, key.endpoint, now)
	}
}

func (c *Controller) abandon(d *Decision) {
	if d == nil {
		return
	}
	for _, pl := range c.planners {
		pl.policy.Abandon(*d)
	}
}
