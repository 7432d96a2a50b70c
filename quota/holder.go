package quota

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const (
	methodTake   = "quota.take"
	methodReturn = "quota.return"

	// standbyTime is how long the host after the owner grants while that does not answer: longer
	// than the planner takes to drop a lost host from its list.
	standbyTime = 3 * time.Second
	// maxOwned limits the quotas that a host holds that its configuration does not name.
	maxOwned = 16384
)

// takeParams asks for the cost of a request and, as far as there is plenty, for Advance more.
type takeParams struct {
	Workspace string  `json:"workspace"`
	Cost      float64 `json:"cost"`
	Advance   float64 `json:"advance,omitempty"`
	// Standby says that the owner does not answer the host.
	Standby bool `json:"standby,omitempty"`
	// PerSecond and Burst are the quota at the host that asks, in case the other one
	// does not know the workspace yet.
	PerSecond float64 `json:"perSecond,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
	// Returned is what the host has not used of what it got from Bucket.
	Returned float64 `json:"returned,omitempty"`
	Bucket   int64   `json:"bucket,omitempty"`
}

// valid reports whether the numbers are those of a host that works.
func (p takeParams) valid() bool {
	return p.Workspace != "" && p.Cost >= 0 && p.Advance >= 0 && p.PerSecond >= 0 && p.Burst >= 0 && p.Returned >= 0
}

// takeResult is what was granted, or why nothing was.
type takeResult struct {
	Granted float64 `json:"granted,omitempty"`
	// Holder is the host that has granted it, and Bucket identifies its bucket.
	Holder string `json:"holder,omitempty"`
	Bucket int64  `json:"bucket,omitempty"`
	// RetryMs is when there may be room; 0 if a retry does not help.
	RetryMs int64 `json:"retryMs,omitempty"`
	// Elsewhere says that this host does not hold the quota. Owner is the host that does by
	// its list. Unsure says that the owner does not grant any more, Settling that it grants
	// little until it is certain that no other host does.
	Elsewhere bool   `json:"elsewhere,omitempty"`
	Owner     string `json:"owner,omitempty"`
	Unsure    bool   `json:"unsure,omitempty"`
	Settling  bool   `json:"settling,omitempty"`
}

type returnParams struct {
	Workspace string  `json:"workspace"`
	Bucket    int64   `json:"bucket"`
	Cost      float64 `json:"cost"`
}

// ownedQuota is the quota of a workspace at a host that grants it.
type ownedQuota struct {
	// main is the bucket of the owner, nil while it is not certain that this host is the only
	// one. reserve is what it grants meanwhile.
	main, reserve *bucket
	// advances limits what is granted in advance.
	advances *bucket
	// standbyTo is until when this host grants in place of the owner; zero if that answers.
	standbyTo time.Duration
	usedAt    time.Duration
}

// isIdle reports whether a new state would be the same.
func (o *ownedQuota) isIdle(now time.Duration) bool {
	idle := now - o.usedAt
	return idle > idleTime && (o.main == nil || o.main.perSecond*idle.Seconds() >= o.main.capacity)
}

// ask asks the holders of a quota, the owner first, for the cost of a request.
func (k *Keeper) ask(ctx context.Context, holders [2]string, p takeParams) (r takeResult, err error) {
	k.counters.asked.Inc(1)
	hosts := k.candidates(holders)
	err = errNoHolder
	for i := 0; i < len(hosts) && i < maxAsked; i++ {
		host := hosts[i]
		p.Standby = host != holders[0]
		if host == k.cfg.Self {
			r, err = k.grant(ctx, p), nil
		} else {
			r, err = k.call(ctx, host, askTimeout, p)
		}
		// The first host may have taken it back although its answer is lost.
		p.Returned = 0
		switch {
		case err != nil:
		case !r.Elsewhere && (!r.Settling || !p.Standby):
			return r, nil
		case r.Owner != "" && !slices.Contains(hosts, r.Owner):
			// The planner's list has changed and one of the hosts does not have it yet.
			hosts = slices.Insert(hosts, i+1, r.Owner)
		}
	}
	if err == nil && r.Elsewhere {
		err = errElsewhere
	}
	return r, err
}

// candidates returns the hosts to ask in order: the owner, unless it did not answer just now,
// the standby, and the planner, which may reach an owner that is in its list.
func (k *Keeper) candidates(holders [2]string) (hosts []string) {
	for i, host := range []string{holders[0], holders[1], k.cfg.Planner()} {
		skipped := i == 0 && holders[1] != "" && k.hasFailed(host)
		if holders[0] != "" && host != "" && !skipped && !slices.Contains(hosts, host) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// hasFailed reports whether a host did not answer just now.
func (k *Keeper) hasFailed(host string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, failed := k.failedAt[host]
	return failed && k.cfg.Clock()-at <= failureMemory
}

func (k *Keeper) call(ctx context.Context, host string, timeout time.Duration, p takeParams) (r takeResult, err error) {
	callCtx, cancel := context.WithDeadline(ctx, time.Now().Add(timeout))
	defer cancel()
	err = k.cfg.Peers.Call(callCtx, host, methodTake, p, &r)
	if err != nil && ctx.Err() == nil {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.failedAt[host] = k.cfg.Clock()
	}
	return r, err
}

func (k *Keeper) handleTake(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var p takeParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	if !p.valid() {
		return nil, errors.Newf("%s asks for %g and %g of the quota of %q", from, p.Cost, p.Advance, p.Workspace)
	}
	return k.grant(ctx, p), nil
}

// grant takes from the quota of a workspace if this host holds it.
func (k *Keeper) grant(ctx context.Context, p takeParams) takeResult {
	k.mu.Lock()
	holders := k.holders(p.Workspace, k.cfg.Clock())
	k.mu.Unlock()
	if holders[0] != k.cfg.Self {
		if p.Standby && holders[0] != "" {
			if r, answered := k.proxy(ctx, holders[0], p); answered {
				return r
			}
		}
		if !p.Standby || holders[1] != k.cfg.Self {
			return takeResult{Elsewhere: true, Owner: holders[0]}
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock()
	if k.holders(p.Workspace, now) != holders {
		return takeResult{Elsewhere: true, Owner: k.view.holdersOf(p.Workspace)[0]}
	}
	k.grantedAt = now
	if now-k.view.trustedAt() > unconfirmedTime {
		return takeResult{Unsure: true}
	}
	o := k.ownedQuota(p, now)
	if o == nil {
		return takeResult{Settling: true}
	}
	if holders[0] == k.cfg.Self {
		o.standbyTo = 0
		if k.settle(p, o, now) {
			return k.takeMain(p, o, now)
		}
	} else if !k.standsBy(p, o, now) {
		return takeResult{Settling: true}
	}
	k.counters.reserved.Inc(1)
	if taken, _ := o.reserve.take(p.Cost, now); taken {
		return takeResult{Granted: p.Cost, Holder: k.cfg.Self, Bucket: o.reserve.id}
	}
	return takeResult{Settling: true}
}

// proxy asks the owner for a host that does not reach it, and reports whether it has answered.
func (k *Keeper) proxy(ctx context.Context, owner string, p takeParams) (takeResult, bool) {
	if k.hasFailed(owner) {
		return takeResult{}, false
	}
	p.Standby = false
	r, err := k.call(ctx, owner, proxyTimeout, p)
	if err != nil {
		return r, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if o := k.owned[p.Workspace]; o != nil {
		o.standbyTo = 0
	}
	return r, true
}

// quotaOf returns the quota that is granted: that of this host's configuration or, if it has none,
// that of the host that asks. known says that the configuration has the workspace.
func (k *Keeper) quotaOf(p takeParams) (q tamarackknot.Quota, known bool) {
	q, known = k.cfg.Limit(p.Workspace)
	if !known || !q.Limited() {
		q = tamarackknot.Quota{PerSecond: p.PerSecond, Burst: p.Burst}
	}
	return q, known
}

// ownedQuota returns the state of a quota that this host grants, nil if it holds too many.
// k.mu is held.
func (k *Keeper) ownedQuota(p takeParams, now time.Duration) *ownedQuota {
	q, known := k.quotaOf(p)
	o := k.owned[p.Workspace]
	if o == nil {
		if !known && len(k.owned) >= maxOwned {
			return nil
		}
		// The reserve is full: another host has its own.
		reserve := newBucket(reserveOf(q, k.tolerance), now)
		reserve.level = reserve.capacity
		o = &ownedQuota{reserve: reserve, advances: newBucket(advanceOf(q, k.tolerance), now)}
		k.owned[p.Workspace] = o
	}
	o.usedAt = now
	o.reserve.setLimit(reserveOf(q, k.tolerance), now, k.cfg.Window)
	o.advances.setLimit(advanceOf(q, k.tolerance), now, k.cfg.Window)
	if o.main != nil {
		o.main.setLimit(limitOf(q, k.tolerance), now, k.cfg.Window)
	}
	return o
}

// settle reports whether this host is the only owner of a quota for certain, and gives it a
// bucket then. k.mu is held.
func (k *Keeper) settle(p takeParams, o *ownedQuota, now time.Duration) bool {
	if o.main != nil {
		return true
	}
	if !k.view.isTrusted(now) {
		return false
	}
	since := k.view.settledAt(p.Workspace, k.cfg.Self)
	handed, ok := handedBucket{}, false
	if now < since && (k.startedTogether || k.startedStable && len(k.view.earlier) == 0) {
		// No other host owns the quota by a list of before.
		since = k.view.uncertainAt
	}
	if now < since {
		if handed, ok = k.takeHanded(p.Workspace, now); !ok {
			return false
		}
		since = handed.at
	}
	q, _ := k.quotaOf(p)
	o.main = newBucket(limitOf(q, k.tolerance), since)
	o.main.level = min(handed.level, o.main.capacity)
	k.cfg.Logger.Info("quota taken over", "workspace", p.Workspace, "emptyMsAgo", (now - since).Milliseconds(), "hosts", len(k.view.names))
	return true
}

// takeMain takes from the bucket of the owner. k.mu is held.
func (k *Keeper) takeMain(p takeParams, o *ownedQuota, now time.Duration) takeResult {
	k.putBack(p.Workspace, p.Bucket, p.Returned, now)
	taken, retryAt := o.main.take(p.Cost, now)
	if !taken {
		r := takeResult{}
		if retryAt > 0 {
			r.RetryMs = max((retryAt - now).Milliseconds(), 1)
		}
		return r
	}
	more := 0.0
	if p.Advance > 0 {
		// Half of the capacity is left for the other hosts.
		allowed := o.advances.takeUpTo(p.Advance, 0, now)
		more = o.main.takeUpTo(allowed, 1.0/2, now)
		o.advances.put(allowed-more, now)
	}
	return takeResult{Granted: p.Cost + more, Holder: k.cfg.Self, Bucket: o.main.id}
}

// standsBy reports whether this host grants in place of an owner that does not answer. k.mu is
// held.
func (k *Keeper) standsBy(p takeParams, o *ownedQuota, now time.Duration) bool {
	if o.standbyTo == 0 {
		o.standbyTo = now + standbyTime
		k.cfg.Logger.Info("quota granted for an owner that does not answer", "workspace", p.Workspace, "owner", k.view.holdersOf(p.Workspace)[0])
	}
	k.counters.standby.Inc(1)
	return now < o.standbyTo
}

func (k *Keeper) handleReturn(_ context.Context, from string, params json.RawMessage) (any, error) {
	var p returnParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	if p.Cost < 0 {
		return nil, errors.Newf("%s returns %g of the quota of %q", from, p.Cost, p.Workspace)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.putBack(p.Workspace, p.Bucket, p.Cost, k.cfg.Clock())
	return nil, nil
}

// putBack returns to a bucket of a workspace what a host did not use of it. What comes from
// another bucket is lost. k.mu is held.
func (k *Keeper) putBack(workspace string, bucket int64, n float64, now time.Duration) {
	o := k.owned[workspace]
	switch {
	case o == nil || n <= 0:
	case o.main != nil && o.main.id == bucket:
		o.main.put(n, now)
	case o.reserve.id == bucket:
		o.reserve.put(n, now)
	}
}
