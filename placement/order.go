package placement

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const (
	unloadTimeout = time.Minute
	// minLoadTimeout is the minimum timeout of a load order. Sending an order
	// again joins a load that is still running.
	minLoadTimeout = 30 * time.Second
	proposeTimeout = 5 * time.Second
)

// order is one order to an engine and its result.
type order struct {
	c          *Controller
	key        replicaKey
	address    string
	order      tamarackknot.Order
	lookUpBase bool // read the base model of an adapter from the journal
	timeout    time.Duration
	result     tamarackknot.OrderResult
	duration   time.Duration
	// skipped is set if this process was no longer the issuer.
	skipped bool
}

func (o *order) run(ctx context.Context) {
	if !o.stillIssuer() {
		o.skipped = true
		o.c.post(ctx, o)
		return
	}
	send, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	begin := time.Now()
	o.result = o.c.cfg.Engine.Order(send, o.address, o.order)
	o.duration = time.Since(begin)
	o.c.post(ctx, o)
}

// stillIssuer checks in the journal that this process may still send the order.
// It also sets the base model of an adapter's load order.
func (o *order) stillIssuer() bool {
	isIssuer := false
	o.c.cfg.Journal.Read(func(s tamarackknot.State) {
		for _, r := range s.Replicas(o.key.target) {
			if r.Endpoint == o.key.endpoint && r.Fence == o.order.Fence && r.State != tamarackknot.ReplicaLoaded {
				isIssuer = o.c.isIssuer(r)
			}
		}
		if t, ok := s.Target(o.key.target); ok && o.lookUpBase {
			o.order.Base = t.Base
		}
	})
	return isIssuer
}

func (o *order) apply(c *Controller, now time.Time) {
	c.outstanding--
	w := c.work[o.key]
	if w == nil {
		return
	}
	w.outstanding--
	if o.skipped {
		c.mirror.stale = true
		w.retryLater(now)
		return
	}
	outcome := o.result.Outcome
	c.count("orders." + string(o.order.Kind) + "." + string(outcome))
	c.recordDuration("order."+string(o.order.Kind), o.duration)
	c.cfg.Log.Info("order ended", "kind", string(o.order.Kind), "target", o.key.target, "endpoint", o.key.endpoint,
		"fence", int64(o.order.Fence), "outcome", string(outcome), "message", o.result.Message, "took", o.duration)
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

// loadEnded passes the result of a load to the policies.
func (c *Controller) loadEnded(o *order, now time.Time) {
	for _, pl := range c.planners {
		tier, ok := pl.policy.LoadTier(o.key.target, o.key.endpoint)
		if !ok {
			continue
		}
		switch o.result.Outcome {
		case tamarackknot.OrderDone:
			pl.policy.LoadEnded(tier, o.order.MemoryMB, o.duration)
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

// proposal is one proposal to the journal and its outcome.
type proposal struct {
	c        *Controller
	key      replicaKey
	change   tamarackknot.Change
	decision *Decision
	outcome  tamarackknot.Outcome
	err      error
}

// propose submits a change in its own goroutine.
func (c *Controller) propose(ctx context.Context, key replicaKey, ch tamarackknot.Change, d *Decision) {
	c.workFor(key).outstanding++
	c.outstanding++
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
	c.outstanding--
	if w := c.work[p.key]; w != nil {
		w.outstanding--
	}
	fields := []any{"change", changeName(p.change), "target", p.key.target, "endpoint", p.key.endpoint}
	c.mirror.stale = true
	c.mirror.refresh[p.key.target] = struct{}{}
	switch {
	case p.err != nil:
		c.count("proposals.failed")
		c.logFailedAt = now
		c.cfg.Log.Warn("proposal failed", append(fields, "err", p.err)...)
		if errors.Is(p.err, tamarackknot.ErrNotAppended) {
			c.abandon(p.decision)
		}
	case !p.outcome.Accepted:
		c.count("proposals.rejected")
		c.cfg.Log.Info("proposal rejected", append(fields, "reason", string(p.outcome.Reason), "detail", p.outcome.Detail)...)
		c.abandon(p.decision)
		if p.change.Claim != nil && p.outcome.Reason != tamarackknot.ReasonConflict {
			c.recordRefusal(p.key, now)
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

// recordRefusal starts the policy's backoff for the endpoint.
func (c *Controller) recordRefusal(key replicaKey, now time.Time) {
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
