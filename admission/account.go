package admission

import (
	"context"
	"sync/atomic"
	"time"
)

// Activity is what a connection does.
type Activity int32

// The activities of a connection.
const (
	// Idle: no request is under way.
	Idle Activity = iota
	// ReadingHead: a part of the head of a request has arrived.
	ReadingHead
	// ReadingBody: the body of a request, or a message, is being read.
	ReadingBody
	// Serving: a request waits for an endpoint or runs there. Such a connection is not closed for
	// others.
	Serving
	// Writing: an answer is being written.
	Writing
)

// progressBytes is how much must be moved to count as progress where connections are compared:
// a byte now and then does not.
const progressBytes = 4 << 10

// GroupConfig configures a group of connections.
type GroupConfig struct {
	// Max is the number of connections of the group; 0 means that only the budget limits it.
	// Shared says that they count towards the connections of the budget.
	Max    int
	Shared bool
	// Kind and Bytes are what each connection takes.
	Kind  Kind
	Bytes int64
}

// Group is the connections to one address of the host.
type Group struct {
	cfg    GroupConfig
	budget *Budget
	open   int // guarded by budget.mu
}

// Group returns a group of connections.
func (b *Budget) Group(cfg GroupConfig) *Group { return &Group{cfg: cfg, budget: b} }

// Account is what is held for one connection. A nil account holds anything. Hold, Release and
// Close are safe for concurrent use.
type Account struct {
	budget *Budget
	group  *Group
	evict  func(Activity)

	activity atomic.Int32
	used     atomic.Bool  // it has been in use for a request
	since    atomic.Int64 // when the activity began
	progress atomic.Int64 // when progressBytes had been moved last
	moved    atomic.Int64 // bytes moved since then
	evicted  atomic.Bool

	// held and closed are guarded by budget.mu.
	held   [kinds]int64
	closed bool
}

// Open opens the account of a connection, and chooses another one to be closed if there are too
// many. It returns false if the new one must be closed. evict is called, at most once and without
// a lock, when the connection has been chosen to be closed in favor of others.
func (g *Group) Open(now time.Time, evict func(Activity)) (*Account, bool) {
	b := g.budget
	a := &Account{budget: b, group: g, evict: evict}
	a.Set(Idle, now)
	b.mu.Lock()
	var victim *Account
	groupFull := g.cfg.Max > 0 && g.open >= g.cfg.Max
	full := groupFull || g.cfg.Shared && b.cfg.Connections > 0 && b.shared >= b.cfg.Connections || !b.fits(g.cfg.Kind, g.cfg.Bytes, 0)
	if full && (b.cfg.Connections == 0 || b.closing <= b.cfg.Connections/closingShare) {
		victim = b.idlest(now, func(o *Account) bool { return o.group == g || !groupFull && o.group.cfg.Kind == g.cfg.Kind })
	}
	if full && victim == nil {
		b.mu.Unlock()
		return nil, false
	}
	if victim != nil {
		b.remove(victim)
	}
	b.count(g, 1)
	b.accounts[a] = struct{}{}
	b.add(a, g.cfg.Kind, g.cfg.Bytes)
	b.mu.Unlock()
	victim.callEvict()
	return a, true
}

// EvictIdlest chooses the connection of the group that deserves its descriptor least to be
// closed, and reports whether there is one.
func (g *Group) EvictIdlest(now time.Time) bool {
	b := g.budget
	b.mu.Lock()
	victim := b.idlest(now, func(o *Account) bool { return o.group == g })
	if victim != nil {
		b.remove(victim)
	}
	b.mu.Unlock()
	victim.callEvict()
	return victim != nil
}

func (a *Account) callEvict() {
	if a != nil {
		a.evict(Activity(a.activity.Load()))
	}
}

// Hold asks for n more bytes of a kind, and chooses other connections to be closed if they
// deserve theirs less. It returns false if the bytes must not be held.
func (a *Account) Hold(k Kind, n int, now time.Time) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	ok, victims := b.hold(a, k, int64(n), now)
	b.mu.Unlock()
	for _, v := range victims {
		v.callEvict()
	}
	return ok
}

// Admits reports whether n bytes of a kind would fit, or could replace what others hold without
// progress.
func (a *Account) Admits(k Kind, n int64, now time.Time) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	held := a.held[k] + n
	if b.fits(k, n, held) {
		return true
	}
	for o := range b.accounts {
		if o != a && o.evictable() && o.stalled(now) >= stallTime {
			n -= o.held[k]
		}
	}
	return b.fits(k, max(n, 0), held)
}

// Release gives n bytes of a kind back.
func (a *Account) Release(k Kind, n int) {
	if a == nil || n == 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.add(a, k, -min(int64(n), a.held[k]))
}

// ReleaseAll gives back what is held of a kind.
func (a *Account) ReleaseAll(k Kind) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.add(a, k, -a.held[k])
}

// Close gives back everything.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	for _, k := range Kinds() {
		b.add(a, k, -a.held[k])
	}
	if a.evicted.Load() {
		b.closing--
		return
	}
	delete(b.accounts, a)
	b.count(a.group, -1)
}

// Evicted reports whether the connection has been chosen to be closed.
func (a *Account) Evicted() bool { return a != nil && a.evicted.Load() }

// Set sets what the connection does, and returns what it did.
func (a *Account) Set(activity Activity, now time.Time) (before Activity) {
	if a == nil {
		return Idle
	}
	at := a.budget.since(now)
	before = Activity(a.activity.Swap(int32(activity)))
	a.since.Store(at)
	a.progress.Store(at)
	a.moved.Store(0)
	if activity == Serving {
		a.used.Store(true)
	}
	return before
}

// Progress records that n bytes have been read or written.
func (a *Account) Progress(n int, now time.Time) {
	if a == nil {
		return
	}
	if a.moved.Add(int64(n)) >= progressBytes {
		a.moved.Store(0)
		a.progress.Store(a.budget.since(now))
	}
}

type accountKey struct{}

// NewContext returns a context with the account of a connection.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// FromContext returns the account of the connection to which a context belongs, nil if there is
// none.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}
