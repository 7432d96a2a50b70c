// Package lease holds the one lease under which a host gives orders to model
// engines. It lives in a stream of the platform's store: each record is
// appended on the condition that nothing else was, so that of two hosts that
// take the lease at once one fails. The offset of the record that took the
// lease is the fencing token.
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
	// renewEvery is the pause between two renewals.
	renewEvery = 700 * time.Millisecond
	// holdTime is how long after the start of a renewal the lease is valid.
	holdTime = 1500 * time.Millisecond
	// lapseTime is how long a record must stay unchanged before another host
	// takes the lease.
	lapseTime = 1700 * time.Millisecond
	// watchEvery is the pause between two reads of a host without the lease
	// that hears of no holder.
	watchEvery = 400 * time.Millisecond
	// retryPause is the pause after a failed renewal.
	retryPause = 300 * time.Millisecond
	// extensionTime is how long a holder that cannot reach the store goes on
	// where engines refuse old fencing tokens: longer than usual outages.
	extensionTime = 20 * time.Second
	// attemptAge is how recent the last renewal of such a holder must have
	// begun: a host that was suspended has begun none lately.
	attemptAge = 2 * time.Second
	// renewTime bounds one renewal, so that it has failed before the lease
	// runs out.
	renewTime = 600 * time.Millisecond
	// yieldTime is how long a host that has yielded the lease does not take it.
	yieldTime = 5 * time.Second
	// clockMargin covers late timers at a takeover.
	clockMargin = 200 * time.Millisecond

	leaseKey = "planner"
)

// Config configures a Keeper.
type Config struct {
	Store       tamarackknot.Store
	Host        string
	Incarnation string
	// Gap is the least time between the last order of one holder and the first
	// of the next.
	Gap time.Duration
	// Fenced says that engines refuse orders with an old fencing token.
	Fenced bool
	// Defer is how much longer this host waits before it takes the lease, so
	// that hosts that are better suited go first; nil means not at all.
	Defer func() time.Duration
	// HolderHeard reports whether this host hears from the holder; then it
	// does not read the lease.
	HolderHeard func() bool
	// HolderSaid returns the end of the lease's stream as the holder named it
	// last, and how long ago this host heard so; ok is false if it never did.
	// Nil means that holders say nothing.
	HolderSaid func() (end int64, age time.Duration, ok bool)
	// Clock is the time since the machine started, suspended or not; nil takes
	// the system's.
	Clock  func() time.Duration
	Logger *log.Logger
}

// Status is what a host knows of its lease.
type Status struct {
	// Held says that this host holds the lease; MayOrder tells whether it may
	// give orders already.
	Held  bool
	Fence int64
	// End is the offset after the newest record that this holder knows.
	End int64
}

type record struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Fence       int64  `json:"fence"` // 0 in the record that takes the lease
	Released    bool   `json:"released,omitempty"`
	// WaitMs is how long the holder must wait before its first order, 0 once
	// it has waited.
	WaitMs int64 `json:"waitMs,omitempty"`
}

// Keeper takes, renews and releases the lease.
type Keeper struct {
	cfg Config

	mu         sync.Mutex
	held       bool
	fence      int64
	end        int64         // offset after the newest record, as this holder knows
	validUntil time.Duration // on Clock
	ordersFrom time.Duration
	renewedAt  time.Duration
	attemptAt  time.Duration // start of the last renewal
	failing    bool          // renewals since renewedAt did not reach the store
	raise      bool          // the next renewal raises the fencing token

	yield chan struct{}

	// yieldedAt is when this host last yielded the lease. seenOffset and seenAt
	// are the newest record as a watcher and since when it is unchanged. Only
	// Run uses them.
	yieldedAt  time.Duration
	seenOffset int64
	seenAt     time.Duration
	released   chan struct{}
	release    chan struct{}
}

// New returns a Keeper without the lease.
func New(cfg Config) *Keeper {
	if cfg.Clock == nil {
		cfg.Clock = bootTime
	}
	return &Keeper{cfg: cfg, seenOffset: -1, yieldedAt: -yieldTime, yield: make(chan struct{}, 1), release: make(chan struct{}), released: make(chan struct{})}
}

// bootTime is the time since the machine started, with the time for which it
// was suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// Status returns whether this host holds the lease now.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Status{Held: k.held && k.valid(), Fence: k.fence, End: k.end}
}

// MayOrder returns the fencing token if an order may be given now.
func (k *Keeper) MayOrder() (fence int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fence, k.held && k.valid() && k.cfg.Clock() >= k.ordersFrom
}

// valid reports whether the lease has not run out. A holder that cannot reach
// the store goes on where engines refuse old fencing tokens: nobody takes the
// lease while the store is away, and where another host reaches the store its
// token is the higher one.
func (k *Keeper) valid() bool {
	now := k.cfg.Clock()
	if now < k.validUntil {
		return true
	}
	return k.cfg.Fenced && k.failing && now-k.attemptAt < attemptAge && now-k.renewedAt < extensionTime
}

// Refused notes that an engine has seen a higher fencing token: another host
// holds the lease.
func (k *Keeper) Refused(fence int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held && k.fence == fence {
		k.held = false
		k.cfg.Logger.Warn("lease lost", "reason", "an engine has seen a higher fencing token", "fence", fence)
	}
}

// Run takes and renews the lease until ctx ends.
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

// Release gives the lease up and waits until that is written, or ctx ends.
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

// Raise has the next renewal raise the fencing token, so that engines refuse
// orders of this host that are still on their way.
func (k *Keeper) Raise() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.raise = true
}

// Yield gives the lease up so that a host that is better suited takes it.
func (k *Keeper) Yield() {
	wait.Wake(k.yield)
}

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
		k.cfg.Logger.Warn("lease not released", "error", err)
		return
	}
	k.cfg.Logger.Info("lease released", "fence", rec.Fence)
}

func (k *Keeper) put(ctx context.Context, rec record, end int64) (int64, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	return k.cfg.Store.PutAt(ctx, tamarackknot.StreamLease, leaseKey, value, end)
}

// renew returns the pause before the next renewal.
func (k *Keeper) renew(ctx context.Context) time.Duration {
	k.mu.Lock()
	started := k.cfg.Clock()
	k.attemptAt = started
	end := k.end
	rec := record{Holder: k.cfg.Host, Incarnation: k.cfg.Incarnation, Fence: k.fence}
	rec.WaitMs = max(0, (k.ordersFrom - started).Milliseconds())
	k.mu.Unlock()
	callCtx, cancel := context.WithDeadline(ctx, time.Now().Add(renewTime))
	offset, err := k.put(callCtx, rec, end)
	cancel()
	if err == nil {
		k.renewed(started, offset+1)
		return renewEvery
	}
	if !errors.Is(err, tamarackknot.ErrMoved) {
		k.mu.Lock()
		k.failing = true
		k.mu.Unlock()
		k.cfg.Logger.Warn("lease not renewed", "error", err)
		return retryPause
	}
	// The stream has moved on: by an append of this host whose answer was
	// lost, or by another host.
	newest, end, err := k.newest(ctx)
	switch {
	case err != nil:
		return retryPause
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
	return watchEvery
}

func (k *Keeper) renewed(started time.Duration, end int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.end, k.renewedAt, k.failing = end, started, false
	if k.raise {
		k.raise, k.fence = false, end
		k.cfg.Logger.Info("fencing token raised", "fence", k.fence)
	}
	k.validUntil = started + holdTime
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
			return nil, 0, errors.Wrap(err, "lease record")
		}
		return &rec, page.End, nil
	}
	return nil, page.End, nil
}

// watch takes the lease once its holder has let it lapse, and returns the
// pause before the next look.
func (k *Keeper) watch(ctx context.Context) time.Duration {
	// Hosts that start together must not all read and append at once.
	jitter := rand.N(watchEvery / 4)
	if k.cfg.HolderHeard() {
		k.seenOffset = -1
		return watchEvery/2 + jitter
	}
	newest, end, err := k.newest(ctx)
	if err != nil {
		return watchEvery + jitter
	}
	now := k.cfg.Clock()
	if now-k.yieldedAt < yieldTime {
		return watchEvery + jitter
	}
	if end != k.seenOffset {
		k.seenOffset, k.seenAt = end, k.unchangedSince(end, now)
	}
	freeAt, gap := k.vacant(newest)
	if k.cfg.Defer != nil {
		freeAt += k.cfg.Defer()
	}
	if now < freeAt {
		return watchEvery + jitter
	}
	rec := record{Holder: k.cfg.Host, Incarnation: k.cfg.Incarnation, WaitMs: gap.Milliseconds()}
	offset, err := k.put(ctx, rec, end)
	if err != nil {
		// A lost answer shows at the next look: the newest record is ours.
		return jitter
	}
	k.took(now, offset, gap)
	return renewEvery
}

// unchangedSince is the time since which the newest record is known to be the
// newest. The holder's last message proves that it was so when it was heard.
func (k *Keeper) unchangedSince(end int64, now time.Duration) time.Duration {
	if k.cfg.HolderSaid == nil {
		return now
	}
	if said, age, ok := k.cfg.HolderSaid(); ok && said == end {
		return now - age
	}
	return now
}

// vacant returns from when on the lease can be taken and how long the new
// holder must wait before its first order.
func (k *Keeper) vacant(newest *record) (freeAt, gap time.Duration) {
	switch {
	case newest == nil:
		return k.seenAt, 0
	case newest.Holder == k.cfg.Host:
		// The orders of one host count as those of one holder.
		if newest.Released {
			return k.seenAt, 0
		}
		return k.seenAt, time.Duration(newest.WaitMs) * time.Millisecond
	case newest.Released:
		return k.seenAt, k.gap(0)
	default:
		return k.seenAt + lapseTime, k.gap(holdTime - lapseTime)
	}
}

// gap is the wait before the first order of a new holder. Engines that refuse
// old fencing tokens need none: the holder before has said that it orders no
// more, or it cannot be reached and is refused once it is back.
func (k *Keeper) gap(left time.Duration) time.Duration {
	if k.cfg.Fenced {
		return 0
	}
	return k.cfg.Gap + left + clockMargin
}

func (k *Keeper) took(now time.Duration, offset int64, wait time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// The first offset is 0, which would read as no token.
	k.held, k.fence, k.end = true, offset+1, offset+1
	k.renewedAt, k.attemptAt, k.validUntil, k.failing = now, now, now+holdTime, false
	k.ordersFrom = now + wait
	k.cfg.Logger.Info("lease taken", "fence", k.fence, "ordersIn", wait)
}
