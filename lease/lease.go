// Package lease elects the one host that may send orders to model engines. The
// lease is a stream in the platform's store. A record is appended only if the
// stream has not changed since it was read, so that of two hosts that take the
// lease at the same time one fails. The offset of the record that takes the
// lease, plus one, is the fencing token.
package lease

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// renewInterval is the pause between two renewals.
	renewInterval = 700 * time.Millisecond
	// leaseTTL is how long the lease is valid after the start of a renewal.
	leaseTTL = 1500 * time.Millisecond
	// expiryTime is how long the newest record must be unchanged before another
	// host may take the lease.
	expiryTime = 1700 * time.Millisecond
	// watchInterval is the pause between two reads of the lease by a host that
	// does not hold it and does not hear from the holder.
	watchInterval = 400 * time.Millisecond
	// renewRetryDelay is the pause after a failed renewal.
	renewRetryDelay = 300 * time.Millisecond
	// maxExtension is how long the lease stays valid without the store where
	// engines reject outdated fencing tokens. It covers the usual outages of
	// the store.
	maxExtension = 20 * time.Second
	// maxAttemptAge is the maximum age of the last renewal attempt for this
	// extension. A host that was suspended has made none recently.
	maxAttemptAge = 2 * time.Second
	// renewTimeout limits one renewal, so that a failure is known before the
	// lease expires.
	renewTimeout = 600 * time.Millisecond
	// yieldBackoff is how long a host does not take the lease after it yielded
	// it.
	yieldBackoff = 5 * time.Second
	// timerMargin allows for late timers at a takeover.
	timerMargin = 200 * time.Millisecond

	leaseKey = "planner"
)

// Config configures a Keeper.
type Config struct {
	Store       tamarackknot.Store
	Host        string
	Incarnation string
	// OrderGap is the minimum time between the last order of one holder and the
	// first of the next.
	OrderGap time.Duration
	// FencingEnforced says that engines reject orders with an outdated fencing
	// token.
	FencingEnforced bool
	// TakeoverDelay returns how much longer this host waits before it takes a
	// free lease, so that better suited hosts take it first. Nil means no
	// delay.
	TakeoverDelay func() time.Duration
	// HolderReachable reports whether this host hears from the holder. While it
	// does, it does not read the lease.
	HolderReachable func() bool
	// HolderEnd returns the end of the lease's stream that the holder last
	// sent, and the age of that message; ok is false without one. Nil means
	// that holders do not send it.
	HolderEnd func() (end int64, age time.Duration, ok bool)
	// Clock returns the time since boot, including the time of suspension. Nil
	// means the system's clock.
	Clock  func() time.Duration
	Logger *log.Logger
}

// Status is the state of the lease at this host.
type Status struct {
	// Held says that this host holds the lease. MayOrder tells whether it may
	// already send orders.
	Held  bool
	Fence int64
	// End is the offset after the newest record that this holder knows.
	End int64
}

// record is an entry of the lease's stream.
type record struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Fence       int64  `json:"fence"` // 0 in the record that takes the lease
	Released    bool   `json:"released,omitempty"`
	// WaitMs is how long the holder must still wait before its first order, 0
	// if it may send orders.
	WaitMs int64 `json:"waitMs,omitempty"`
}

// Keeper takes, renews and releases the lease for this host.
type Keeper struct {
	cfg Config

	mu          sync.Mutex
	held        bool
	fence       int64
	end         int64         // offset after the newest record that this holder knows
	validUntil  time.Duration // on Clock, as are the times below
	ordersFrom  time.Duration
	renewedAt   time.Duration
	attemptedAt time.Duration // start of the last renewal
	failing     bool          // renewals since renewedAt did not reach the store
	raiseFence  bool          // the next renewal raises the fencing token

	yield chan struct{}

	// yieldedAt is when this host last yielded the lease, seenOffset the end of
	// the stream when it was last read, and seenAt since when that has been the
	// end. Only Run uses them.
	yieldedAt  time.Duration
	seenOffset int64
	seenAt     time.Duration
	released   chan struct{}
	release    chan struct{}
}

// New returns a Keeper that does not hold the lease.
func New(cfg Config) *Keeper {
	if cfg.Clock == nil {
		cfg.Clock = bootTime
	}
	return &Keeper{cfg: cfg, seenOffset: -1, yieldedAt: -yieldBackoff, yield: make(chan struct{}, 1), release: make(chan struct{}), released: make(chan struct{})}
}

// bootTime returns the time since boot, including the time of suspension.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// Status returns the state of the lease at this host.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Status{Held: k.held && k.valid(), Fence: k.fence, End: k.end}
}

// MayOrder returns the fencing token and whether an order may be sent now.
func (k *Keeper) MayOrder() (fence int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fence, k.held && k.valid() && k.cfg.Clock() >= k.ordersFrom
}

// valid reports whether the lease has not expired. Where engines reject
// outdated fencing tokens, a holder that cannot reach the store stays valid for
// a while: nobody can take the lease while the store is down, and a host that
// does reach it gets a higher token.
func (k *Keeper) valid() bool {
	now := k.cfg.Clock()
	if now < k.validUntil {
		return true
	}
	return k.cfg.FencingEnforced && k.failing && now-k.attemptedAt < maxAttemptAge && now-k.renewedAt < maxExtension
}

// HandleFenced records that an engine has seen a higher fencing token, which
// means that another host holds the lease.
func (k *Keeper) HandleFenced(fence int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held && k.fence == fence {
		k.held = false
		k.cfg.Logger.Warn("lease lost", "reason", "an engine has seen a higher fencing token", "fence", fence)
	}
}

// Run takes and renews the lease until ctx is done or the lease is released.
func (k *Keeper) Run(ctx context.Context) {
	defer close(k.released)
	for ctx.Err() == nil {
		select {
		case <-k.release:
			k.giveUp(ctx)
			return
		default:
		}
		k.mu.Lock()
		held := k.held
		k.mu.Unlock()
		var pause time.Duration
		select {
		case <-k.yield:
			if held {
				k.giveUp(ctx)
				k.yieldedAt = k.cfg.Clock()
				continue
			}
		default:
		}
		if held {
			pause = k.renew(ctx)
		} else {
			pause = k.watch(ctx)
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-k.release:
		case <-t.C:
		}
		t.Stop()
	}
}

// Release stops orders and gives the lease up. It waits until that is stored or
// ctx is done.
func (k *Keeper) Release(ctx context.Context) {
	k.mu.Lock()
	k.ordersFrom = 1 << 62
	k.mu.Unlock()
	close(k.release)
	select {
	case <-ctx.Done():
	case <-k.released:
	}
}

// RaiseFence requests a higher fencing token with the next renewal, so that
// engines reject earlier orders of this host that are still in transit.
func (k *Keeper) RaiseFence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.raiseFence = true
}

// Yield gives the lease up to let a better suited host take it.
func (k *Keeper) Yield() {
	wait.Wake(k.yield)
}

// giveUp stores the release of the lease if this host holds it.
func (k *Keeper) giveUp(ctx context.Context) {
	k.mu.Lock()
	held, end := k.held && k.valid(), k.end
	rec := record{Holder: k.cfg.Host, Incarnation: k.cfg.Incarnation, Fence: k.fence, Released: true}
	k.held = false
	k.mu.Unlock()
	if !held {
		return
	}
	if _, err := k.put(ctx, rec, end); err != nil {
		k.cfg.Logger.Warn("lease release failed", "error", err)
		return
	}
	k.cfg.Logger.Info("lease released", "fence", rec.Fence)
}

// put appends a record if the stream still ends at end, and returns its offset.
func (k *Keeper) put(ctx context.Context, rec record, end int64) (int64, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	return k.cfg.Store.PutAt(ctx, tamarackknot.StreamLease, leaseKey, value, end)
}

// renew renews the lease and returns the pause before the next renewal.
func (k *Keeper) renew(ctx context.Context) time.Duration {
	k.mu.Lock()
	started := k.cfg.Clock()
	k.attemptedAt = started
	end := k.end
	rec := record{Holder: k.cfg.Host, Incarnation: k.cfg.Incarnation, Fence: k.fence}
	rec.WaitMs = max(0, (k.ordersFrom - started).Milliseconds())
	k.mu.Unlock()
	callCtx, cancel := context.WithDeadline(ctx, time.Now().Add(renewTimeout))
	offset, err := k.put(callCtx, rec, end)
	cancel()
	if err == nil {
		k.renewed(started, offset+1)
		return renewInterval
	}
	if !errors.Is(err, tamarackknot.ErrConflict) {
		k.mu.Lock()
		k.failing = true
		k.mu.Unlock()
		k.cfg.Logger.Warn("lease renewal failed", "error", err)
		return renewRetryDelay
	}
	// The stream has a newer record, from another host or from an append of
	// this host whose answer was lost.
	newest, end, err := k.newest(ctx)
	switch {
	case err != nil:
		return renewRetryDelay
	case newest != nil && newest.Holder == k.cfg.Host && newest.Incarnation == k.cfg.Incarnation:
		k.mu.Lock()
		k.end = end
		k.mu.Unlock()
		return 0
	}
	k.mu.Lock()
	k.held = false
	k.mu.Unlock()
	k.seenOffset = -1
	k.cfg.Logger.Warn("lease lost", "reason", "another host has taken it", "fence", rec.Fence)
	return watchInterval
}

// renewed records a renewal that started at the given time.
func (k *Keeper) renewed(started time.Duration, end int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.end, k.renewedAt, k.failing = end, started, false
	if k.raiseFence {
		k.raiseFence, k.fence = false, end
		k.cfg.Logger.Info("fencing token raised", "fence", k.fence)
	}
	k.validUntil = started + leaseTTL
}

// newest returns the newest record, nil if there is none, and the end of the
// stream.
func (k *Keeper) newest(ctx context.Context) (*record, int64, error) {
	page, err := k.cfg.Store.Newest(ctx, tamarackknot.StreamLease)
	if err != nil {
		return nil, 0, err
	}
	for _, r := range page.Records {
		if r.Key != leaseKey || r.Value == nil {
			continue
		}
		var rec record
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			return nil, 0, errors.Wrap(err, "decode lease record")
		}
		return &rec, page.End, nil
	}
	return nil, page.End, nil
}

// watch takes the lease once it has been released or has expired, and returns
// the pause before the next check.
func (k *Keeper) watch(ctx context.Context) time.Duration {
	// The jitter keeps hosts that start together from reading and appending at
	// once.
	jitter := rand.N(watchInterval / 4)
	if k.cfg.HolderReachable() {
		k.seenOffset = -1
		return watchInterval/2 + jitter
	}
	newest, end, err := k.newest(ctx)
	if err != nil {
		return watchInterval + jitter
	}
	now := k.cfg.Clock()
	if now-k.yieldedAt < yieldBackoff {
		return watchInterval + jitter
	}
	if end != k.seenOffset {
		k.seenOffset, k.seenAt = end, k.unchangedSince(end, now)
	}
	freeAt, gap := k.takeoverTime(newest)
	if k.cfg.TakeoverDelay != nil {
		freeAt += k.cfg.TakeoverDelay()
	}
	if now < freeAt {
		return watchInterval + jitter
	}
	rec := record{Holder: k.cfg.Host, Incarnation: k.cfg.Incarnation, WaitMs: gap.Milliseconds()}
	offset, err := k.put(ctx, rec, end)
	if err != nil {
		// If only the answer was lost, the next check finds a record of this host.
		return jitter
	}
	k.acquired(now, offset, gap)
	return renewInterval
}

// unchangedSince returns since when the stream has ended at end. The holder's
// last message shows that this was so when the message arrived.
func (k *Keeper) unchangedSince(end int64, now time.Duration) time.Duration {
	if k.cfg.HolderEnd == nil {
		return now
	}
	if holderEnd, age, ok := k.cfg.HolderEnd(); ok && holderEnd == end {
		return now - age
	}
	return now
}

// takeoverTime returns when the lease may be taken, and how long the new holder
// must then wait before its first order.
func (k *Keeper) takeoverTime(newest *record) (freeAt, gap time.Duration) {
	switch {
	case newest == nil:
		return k.seenAt, 0
	case newest.Holder == k.cfg.Host:
		// No gap is needed between the orders of one host.
		if newest.Released {
			return k.seenAt, 0
		}
		return k.seenAt, time.Duration(newest.WaitMs) * time.Millisecond
	case newest.Released:
		return k.seenAt, k.firstOrderGap(0)
	default:
		return k.seenAt + expiryTime, k.firstOrderGap(leaseTTL - expiryTime)
	}
}

// firstOrderGap returns the wait before the first order of a new holder. It is
// zero where engines reject outdated fencing tokens: the previous holder has
// released the lease, or its orders are rejected once it is reachable again.
// Otherwise it depends on remaining, the time for which the previous lease is
// still valid, negative if it has expired.
func (k *Keeper) firstOrderGap(remaining time.Duration) time.Duration {
	if k.cfg.FencingEnforced {
		return 0
	}
	return k.cfg.OrderGap + remaining + timerMargin
}

// acquired records that this host took the lease with the record at offset.
func (k *Keeper) acquired(now time.Duration, offset int64, gap time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// The first offset is 0, which would mean no token.
	k.held, k.fence, k.end = true, offset+1, offset+1
	k.renewedAt, k.attemptedAt, k.validUntil, k.failing = now, now, now+leaseTTL, false
	k.ordersFrom = now + gap
	k.cfg.Logger.Info("lease taken", "fence", k.fence, "ordersIn", gap)
}
