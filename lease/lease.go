// Package lease elects the one host that may send orders to model engines. The
// lease is a stream in the platform's store. A record is appended only if the
// stream has not changed since it was read, so that of two hosts that take the
// lease at the same time one fails. The position after the record that takes the
// lease is the fencing token.
//
// When the store is restored from an older copy, the newest record may be older
// than the last one that was acknowledged. Each record therefore names the era
// of the store in which it was written. A record of an earlier era does not show
// who held the lease last: the lease may be taken only once every holder of that
// era has stopped. A holder whose own lease is still valid knows that it was the
// last one, and takes the lease again at once.
//
// Where engines do not check fencing tokens, a holder that cannot reach the store
// goes on while all other registered hosts keep promising that they send no
// orders. A host promises by acknowledging a message of the holder, and for
// promiseTime after its last promise it neither counts on the holder's end nor
// orders itself. See Promise, Extend and firstOrder.
package lease

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
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

	// fenceEraBits is the number of bits by which the era is shifted in a fencing
	// token. The sum of both parts stays below 2^53, which JSON carries exactly.
	fenceEraBits = 32
	// promiseTime is how long an acknowledged message of the holder keeps its lease
	// valid without the store. It is that of a renewal.
	promiseTime = leaseTTL
	// maxPromised is how long after its last read of the registered hosts a holder
	// may rely on promises: a host that registered later has promised nothing.
	maxPromised = 6 * time.Second
	// firstStartTime is how long after its start a process relies on FirstStart.
	firstStartTime = 5 * time.Second
	// wakeJitter spreads the reads of the hosts that see the holder leave.
	wakeJitter = 50 * time.Millisecond
	// maxRestoreAge limits the age of the last restore that a holder writes into
	// its records.
	maxRestoreAge = 60 * time.Second

	leaseKey = "planner"
)

// Config configures an Elector.
type Config struct {
	Store       tamarackknot.Store
	Host        string
	Incarnation string
	// OrderGap is the minimum time between the last order of one holder and the
	// first of the next.
	OrderGap time.Duration
	// FirstStart says that the whole system starts for the first time, so that an
	// empty stream means that nobody has held the lease.
	FirstStart bool
	// FencingEnforced says that engines reject orders with an outdated fencing
	// token.
	FencingEnforced bool
	// TakeoverDelay returns how much longer this host waits before it takes a
	// free lease, so that better suited hosts take it first. Nil means no
	// delay.
	TakeoverDelay func() time.Duration
	// WatchDelay returns how much longer this host waits between two reads of the lease
	// while it does not hear from a holder, since others read it. Nil means no longer.
	WatchDelay func() time.Duration
	// HolderReachable reports whether this host hears from the holder. While it
	// does, it does not read the lease.
	HolderReachable func() bool
	// HolderMessage returns what the holder last said of the lease; ok is false
	// without a message. Nil means that holders send none.
	HolderMessage func() (m tamarackknot.HolderMessage, ok bool)
	// Registration returns how this host is registered. Nil means that holders do
	// not rely on promises.
	Registration func() tamarackknot.Registration
	// Clock returns the time since boot, including the time of suspension. Nil
	// means the system's clock.
	Clock  func() time.Duration
	Logger *log.Logger
}

// Status is the state of the lease at this host.
type Status struct {
	// Held says that this host holds the lease. MayOrder reports whether it may
	// already send orders.
	Held  bool
	Fence int64
	// Failing says that renewals do not reach the store. If they reach it from no other
	// host either, nobody else can take the lease.
	Failing bool
	// End is the position after the newest record that this holder knows.
	End tamarackknot.Position
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
	// StartedMs is, in a renewal, the time since boot at the holder at which it
	// started, in ms and rounded up.
	StartedMs int64 `json:"startedMs,omitempty"`
	// Era is the era of the store that the writer knew.
	Era int64 `json:"era,omitempty"`
	// HostsEra and HostsEnd are the position up to which the holder has read the
	// registered hosts.
	HostsEra int64 `json:"hostsEra,omitempty"`
	HostsEnd int64 `json:"hostsEnd,omitempty"`
	// IdleMs is, in a record that releases the lease, the time since the holder's
	// last order.
	IdleMs int64 `json:"idleMs,omitempty"`
	// RestoredMs is the time since the writer learned that the store had been
	// restored, 0 if it knows of no restore within maxRestoreAge.
	RestoredMs int64 `json:"restoredMs,omitempty"`
}

// Elector takes, renews and releases the lease for this host.
type Elector struct {
	cfg Config

	mu          sync.Mutex
	held        bool
	fence       int64
	end         tamarackknot.Position // position after the newest record that this holder knows
	validUntil  time.Duration         // on Clock, as are the times below
	ordersFrom  time.Duration
	stopped     bool // Release was called
	renewedAt   time.Duration
	attemptedAt time.Duration // start of the last renewal
	failing     bool          // renewals since renewedAt did not reach the store
	raiseFence  bool          // the next renewal raises the fencing token
	// watched says that the stream was read at least once, and era is the newest
	// era in which it was read. restoredAt is when this host learned of the last
	// restore of the store; wasRestored is false while it knows of none.
	watched     bool
	era         int64
	wasRestored bool
	restoredAt  time.Duration

	// promisedAt is when this host last promised another holder not to order, and
	// promised says that it ever did. acknowledgedAt and hostsReadAt are what the
	// extension of this holder's lease rests on.
	promised       bool
	promisedAt     time.Duration
	acknowledgedAt time.Duration
	hostsReadAt    time.Duration
	// lastOrderAt is when the last order ended, of this holder or an earlier one,
	// and ordersInFlight the number of own orders that have not.
	lastOrderAt    time.Duration
	ordersInFlight int

	startedAt time.Duration
	yield     chan struct{}
	wake      chan struct{}

	// yieldedAt is when this host last yielded the lease, seenEnd the end of the
	// stream when it was last read, and seenAt since when that has been the end.
	// Only Run uses them.
	yieldedAt  time.Duration
	seenEnd    tamarackknot.Position
	seenAt     time.Duration
	readFailed bool // the last read of the lease failed

	released chan struct{} // closed when Run has returned
	release  chan struct{} // closed by Release
}

// New returns an Elector that does not hold the lease.
func New(cfg Config) *Elector {
	if cfg.Clock == nil {
		cfg.Clock = times.SinceBoot
	}
	return &Elector{
		cfg: cfg, startedAt: cfg.Clock(), seenEnd: unseen(), yieldedAt: -yieldBackoff,
		yield: make(chan struct{}, 1), wake: make(chan struct{}, 1), release: make(chan struct{}), released: make(chan struct{}),
	}
}

// unseen is the position of a stream that was not read.
func unseen() tamarackknot.Position { return tamarackknot.Position{Offset: -1} }

// Status returns the state of the lease at this host.
func (e *Elector) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Status{Held: e.held && e.valid(), Fence: e.fence, Failing: e.failing, End: e.end}
}

// MayOrder returns the fencing token and whether an order may be sent now.
func (e *Elector) MayOrder() (fence int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence, e.mayOrder()
}

// mayOrder is MayOrder with e.mu held.
func (e *Elector) mayOrder() bool {
	return e.held && !e.stopped && e.valid() && e.cfg.Clock() >= e.ordersFrom
}

// valid reports whether the lease has not expired. Where engines reject
// outdated fencing tokens, a holder that cannot reach the store stays valid for
// a while: nobody can take the lease while the store is down, and a host that
// does reach it gets a higher token. Elsewhere it stays valid by promises.
func (e *Elector) valid() bool {
	now := e.cfg.Clock()
	if now < e.validUntil {
		return true
	}
	if e.cfg.FencingEnforced {
		return e.failing && now-e.attemptedAt < maxAttemptAge && now-e.renewedAt < maxExtension
	}
	return now < min(e.acknowledgedAt+promiseTime, e.hostsReadAt+maxPromised)
}

// BeginOrder returns the fencing token and whether an order may be sent now. If
// so, ended must be called when the order has ended.
func (e *Elector) BeginOrder() (fence int64, ended func(), ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.mayOrder() {
		return e.fence, nil, false
	}
	e.ordersInFlight++
	return e.fence, e.endOrder, true
}

func (e *Elector) endOrder() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ordersInFlight--
	e.lastOrderAt = e.cfg.Clock()
}

// Wake makes a host that does not hold the lease read it soon, because the holder
// leaves.
func (e *Elector) Wake() { wait.Wake(e.wake) }

// HandleFenced records that an engine has seen a higher fencing token, which
// means that another host holds the lease.
func (e *Elector) HandleFenced(fence int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held && e.fence == fence {
		e.held = false
		e.cfg.Logger.Warn("lease lost", "reason", "an engine has seen a higher fencing token", "fence", fence)
	}
}

// Run takes and renews the lease until ctx is done or the lease is released.
func (e *Elector) Run(ctx context.Context) {
	defer close(e.released)
	for ctx.Err() == nil {
		select {
		case <-e.release:
			e.giveUp(ctx)
			return
		default:
		}
		e.mu.Lock()
		held := e.held
		e.mu.Unlock()
		var pause time.Duration
		select {
		case <-e.yield:
			if held {
				e.giveUp(ctx)
				e.yieldedAt = e.cfg.Clock()
				continue
			}
		default:
		}
		if held {
			pause = e.renew(ctx)
		} else {
			pause = e.watch(ctx)
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-e.release:
		case <-t.C:
		case <-e.wake:
			wait.For(ctx, rand.N(wakeJitter))
		}
		t.Stop()
	}
}

// Release stops orders and gives the lease up. It waits until that is stored or
// ctx is done.
func (e *Elector) Release(ctx context.Context) {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	close(e.release)
	select {
	case <-ctx.Done():
	case <-e.released:
	}
}

// RaiseFence requests a higher fencing token with the next renewal, so that
// engines reject earlier orders of this host that are still in transit.
func (e *Elector) RaiseFence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.raiseFence = true
}

// Yield gives the lease up to let a better suited host take it.
func (e *Elector) Yield() {
	wait.Wake(e.yield)
}

// giveUp stores the release of the lease if this host holds it.
func (e *Elector) giveUp(ctx context.Context) {
	e.mu.Lock()
	held, end := e.held && e.valid(), e.end
	rec := record{
		Holder: e.cfg.Host, Incarnation: e.cfg.Incarnation, Fence: e.fence, Released: true,
		WaitMs: max(0, (e.ordersFrom - e.cfg.Clock()).Milliseconds()),
	}
	if e.ordersInFlight == 0 {
		rec.IdleMs = (e.cfg.Clock() - e.lastOrderAt).Milliseconds()
	}
	e.held = false
	e.mu.Unlock()
	if !held {
		return
	}
	if _, err := e.put(ctx, rec, end); err != nil {
		e.cfg.Logger.Warn("lease release failed", "error", err)
		return
	}
	e.cfg.Logger.Info("lease released", "fence", rec.Fence)
}

// put appends a record if the stream still ends at end, and returns the position
// after it.
func (e *Elector) put(ctx context.Context, rec record, end tamarackknot.Position) (tamarackknot.Position, error) {
	rec.Era = end.Era
	if e.cfg.Registration != nil {
		read := e.cfg.Registration().ReadEnd
		rec.HostsEra, rec.HostsEnd = read.Era, read.Offset
	}
	e.mu.Lock()
	if age := e.cfg.Clock() - e.restoredAt; e.wasRestored && age < maxRestoreAge {
		rec.RestoredMs = max(age.Milliseconds(), 1)
	}
	e.mu.Unlock()
	value, err := json.Marshal(rec)
	if err != nil {
		return tamarackknot.Position{}, err
	}
	at, err := e.cfg.Store.PutAt(ctx, tamarackknot.StreamLease, leaseKey, value, end)
	at.Offset++
	return at, err
}

// renew renews the lease and returns the pause before the next renewal.
func (e *Elector) renew(ctx context.Context) time.Duration {
	e.mu.Lock()
	started := e.cfg.Clock()
	e.attemptedAt = started
	end := e.end
	rec := record{Holder: e.cfg.Host, Incarnation: e.cfg.Incarnation, Fence: e.fence, StartedMs: started.Milliseconds() + 1}
	rec.WaitMs = max(0, (e.ordersFrom - started).Milliseconds())
	e.mu.Unlock()
	callCtx, cancel := context.WithDeadline(ctx, time.Now().Add(renewTimeout))
	after, err := e.put(callCtx, rec, end)
	cancel()
	if err == nil {
		e.renewed(started, after)
		return renewInterval
	}
	if !errors.Is(err, tamarackknot.ErrConflict) && !errors.Is(err, tamarackknot.ErrRestored) {
		e.mu.Lock()
		e.failing = true
		e.mu.Unlock()
		e.cfg.Logger.Warn("lease renewal failed", "error", err)
		return renewRetryDelay
	}
	// The stream has a newer record, from another host or from an append of
	// this host whose answer was lost, or the store was restored.
	callCtx, cancel = context.WithDeadline(ctx, time.Now().Add(renewTimeout))
	newest, end, err := e.newest(callCtx)
	cancel()
	if err != nil {
		e.cfg.Logger.Warn("cannot read the lease after a conflict", "error", err)
		return renewRetryDelay
	}
	if e.mayContinue(newest, end.Era) {
		e.mu.Lock()
		e.end = end
		e.mu.Unlock()
		return 0
	}
	e.mu.Lock()
	e.held = false
	e.mu.Unlock()
	e.seenEnd = unseen()
	e.cfg.Logger.Warn("lease lost", "reason", "another host has or may have taken it", "fence", rec.Fence, "era", end.Era)
	return watchInterval
}

// renewed records a renewal that started at the given time. In a new era the
// fencing token rises where engines check it: a holder of the earlier era that
// nobody remembers may have had a higher one.
func (e *Elector) renewed(started time.Duration, end tamarackknot.Position) {
	e.mu.Lock()
	defer e.mu.Unlock()
	newEra := end.Era > e.fence>>fenceEraBits
	e.end, e.renewedAt, e.failing = end, started, false
	if e.raiseFence || newEra && e.cfg.FencingEnforced {
		e.raiseFence, e.fence = false, fenceAt(end)
		e.cfg.Logger.Info("fencing token raised", "fence", e.fence, "era", end.Era)
	}
	e.validUntil = started + leaseTTL
}

// newest returns the newest record, nil if there is none, and the end of the
// stream.
func (e *Elector) newest(ctx context.Context) (*record, tamarackknot.Position, error) {
	page, err := e.cfg.Store.Newest(ctx, tamarackknot.StreamLease)
	if err != nil {
		return nil, page.End, err
	}
	var newest *record
	for _, r := range page.Records {
		if r.Key != leaseKey || r.Value == nil {
			continue
		}
		var rec record
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			return nil, page.End, errors.Wrap(err, "decode lease record")
		}
		newest = &rec
	}
	e.observeEra(newest, page.End.Era)
	return newest, page.End, nil
}

// watch takes the lease once it has been released or has expired, and returns
// the pause before the next check.
func (e *Elector) watch(ctx context.Context) time.Duration {
	// The jitter keeps hosts that start together from reading and appending at
	// once.
	jitter := rand.N(watchInterval / 4)
	if _, _, known := e.RestoreAge(); known && e.cfg.HolderReachable() {
		e.seenEnd = unseen()
		return watchInterval/2 + jitter
	}
	newest, end, err := e.newest(ctx)
	pause := watchInterval + jitter
	if e.cfg.WatchDelay != nil {
		pause += e.cfg.WatchDelay()
	}
	if err != nil {
		// The holder could not renew either. After an outage it comes first.
		e.seenEnd, e.readFailed = unseen(), true
		return pause
	}
	now := e.cfg.Clock()
	if now-e.yieldedAt < yieldBackoff {
		return pause
	}
	if end != e.seenEnd {
		e.seenEnd, e.seenAt = end, now
		if !e.readFailed {
			e.seenAt = e.unchangedSince(newest, end, now)
		}
		e.readFailed = false
	}
	freeAt, gap := e.takeoverTime(newest, end.Era)
	if e.cfg.TakeoverDelay != nil {
		freeAt += e.cfg.TakeoverDelay()
	}
	if now < freeAt {
		return min(pause, freeAt-now+jitter)
	}
	holderMayOrder := e.holderMayOrder(newest, end.Era)
	if holderMayOrder {
		gap = max(gap, e.promiseGap(newest, now))
	}
	rec := record{Holder: e.cfg.Host, Incarnation: e.cfg.Incarnation, WaitMs: gap.Milliseconds()}
	after, err := e.put(ctx, rec, end)
	if err != nil {
		// If only the answer was lost, the next check finds a record of this host.
		return jitter
	}
	e.acquired(now, after, gap, newest, holderMayOrder)
	return renewInterval
}

// unchangedSince returns since when the newest record, which ends the stream, has been
// the newest. The holder's last message shows it if the stream ended there when it was
// sent. A renewal that the message does not know of started as long after the message as
// the holder's clock says.
func (e *Elector) unchangedSince(newest *record, end tamarackknot.Position, now time.Duration) time.Duration {
	if e.cfg.HolderMessage == nil {
		return now
	}
	m, ok := e.cfg.HolderMessage()
	if !ok {
		return now
	}
	receivedAt := now - time.Since(m.ReceivedAt)
	switch {
	case m.End == end:
		return receivedAt
	case newest != nil && newest.StartedMs > 0 && m.SentAt > 0 && newest.Fence == m.Fence && !newest.Released:
		startedAt := time.Duration(newest.StartedMs) * time.Millisecond
		return min(receivedAt+startedAt-m.SentAt, now)
	default:
		return now
	}
}

// takeoverTime returns when the lease may be taken, and how long the new holder
// must then wait before its first order. The newest record was read in the given
// era.
func (e *Elector) takeoverTime(newest *record, era int64) (freeAt, gap time.Duration) {
	_, restored, _ := e.RestoreAge()
	switch {
	case newest == nil && !restored:
		return e.seenAt, 0
	case newest == nil || newest.Era < era:
		// The last holder is not known. It may have renewed the lease until just
		// before the restore.
		return e.seenAt + expiryTime, e.firstOrderGap(leaseTTL - expiryTime)
	case newest.Holder == e.cfg.Host:
		// No gap is needed between the orders of one host, beyond what it still had to
		// wait after another one.
		return e.seenAt, time.Duration(newest.WaitMs) * time.Millisecond
	case newest.Released:
		return e.seenAt, max(e.firstOrderGap(0)-time.Duration(newest.IdleMs)*time.Millisecond, 0)
	default:
		return e.seenAt + expiryTime, e.firstOrderGap(leaseTTL - expiryTime)
	}
}

// firstOrderGap returns the wait before the first order of a new holder. It is
// zero where engines reject outdated fencing tokens: the previous holder has
// released the lease, or its orders are rejected once it is reachable again.
// Otherwise it depends on remaining, the time for which the previous lease is
// still valid, negative if it has expired.
func (e *Elector) firstOrderGap(remaining time.Duration) time.Duration {
	if e.cfg.FencingEnforced {
		return 0
	}
	return e.cfg.OrderGap + remaining + timerMargin
}

// acquired records that this host took the lease with the record before end, and
// may order after the gap. holderMayOrder is as that of the holder with the newest record
// before; newest is nil if there was none.
func (e *Elector) acquired(now time.Duration, end tamarackknot.Position, gap time.Duration, newest *record, holderMayOrder bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held, e.fence, e.end = true, fenceAt(end), end
	e.renewedAt, e.attemptedAt, e.validUntil, e.failing = now, now, now+leaseTTL, false
	e.acknowledgedAt, e.hostsReadAt = -maxPromised, -maxPromised
	e.ordersFrom = now + gap
	e.lastOrderAt = max(e.lastOrderAt, e.ordersFrom-e.firstOrderGap(0))
	if newest != nil && newest.Holder == e.cfg.Host && newest.Incarnation != e.cfg.Incarnation {
		// The record does not tell when the earlier process of this host sent its last order.
		e.lastOrderAt = max(e.lastOrderAt, e.startedAt)
	}
	if e.promised && holderMayOrder {
		// A promise may have been given while the record was on its way.
		e.keepPromise()
	}
	e.cfg.Logger.Info("lease taken", "fence", e.fence, "ordersIn", gap)
}
