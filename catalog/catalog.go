// Package catalog keeps the newest version of the operators' configuration and
// selects the route of a request.
package catalog

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// readWait is the long-poll time of one read. A stalled connection delays a
	// change by this and the timeout of the call, which together stay below the
	// time limit for changes after a disruption.
	readWait = 1800 * time.Millisecond
	// followedReadWait is the same on a host that others follow: they must detect
	// well within that limit that it falls behind.
	followedReadWait = 600 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 200 * time.Millisecond
	// relayPause is the pause after a read through another host, which does not
	// long-poll.
	relayPause = 350 * time.Millisecond
	// minRelayPause and maxRelayPause bound the mean pause between two reads through other
	// hosts while this host is behind, and relayReadTimeout limits one of them; what it has
	// fetched by then is kept.
	minRelayPause    = 30 * time.Millisecond
	maxRelayPause    = 120 * time.Millisecond
	relayReadTimeout = 2 * time.Second
	// plannerCheckInterval is the pause between two checks whether the planner
	// still follows the stream for this host.
	plannerCheckInterval = 150 * time.Millisecond
	// maxRetryPause is the upper limit of the backoff while the store is
	// unavailable.
	maxRetryPause = 800 * time.Millisecond
	// startCheckInterval is the pause between two calls of MayStart.
	startCheckInterval = 20 * time.Millisecond
)

// Config configures a Watcher.
type Config struct {
	Store tamarackknot.Store
	// Decode decodes a record of the stream; it returns nil without an error for a
	// record that is not a configuration.
	Decode func(tamarackknot.KeyedRecord) (*tamarackknot.Catalog, error)
	// ReadNewer reads what this host lacks of the stream through another host: the one
	// that announced it if first is set, otherwise any. It may be nil if RunRelay is not
	// used.
	ReadNewer func(ctx context.Context, first bool) (tamarackknot.StreamPage, error)
	// FollowsPlanner reports whether a live planner reads the stream and notifies
	// this host of changes; this host then does not read the stream itself. It
	// may be nil.
	FollowsPlanner func() bool
	// HasFollowers reports whether other hosts follow this one, which then uses a
	// shorter long poll. It may be nil.
	HasFollowers func() bool
	// MayStart reports whether the first configuration may be read from the store,
	// which may hold an older version than other hosts have in force. Nil means
	// always.
	MayStart func() bool
	// OnChange is called with each version that comes into force. It may be nil.
	OnChange func(*View)
	// ShortPoll says that the configuration must be confirmed often, so that a read of the
	// store must not wait long for a change. Nil means that it never must.
	ShortPoll func() bool
	// ConfirmNow reports whether the version in force has not been confirmed for so long that
	// the next read of the store must not wait at all. Nil means that it never must.
	ConfirmNow func() bool
	// Clock returns the time since boot, including the time of suspension. Nil means the
	// system's clock.
	Clock  func() time.Duration
	Logger *log.Logger
}

// Watcher follows the configuration in the platform's store. The version in force
// is never replaced by an older one, and none comes into force that is older
// than a version observed on another host.
type Watcher struct {
	cfg      Config
	current  atomic.Pointer[View]
	observed atomic.Int64              // newest version in force on another host
	behind   atomic.Pointer[time.Time] // since when a newer version is known on another host; nil if none is
	catchUp  chan struct{}
	// reading holds an element while the configuration is read: of the reads through other
	// hosts and at the store only one at a time takes this host's link.
	reading chan struct{}
	// next is the position after what was read of the stream, also through other hosts.
	next         atomic.Pointer[tamarackknot.Position]
	readAt       atomic.Pointer[time.Time] // last read of the store by this host, or by another one for it
	lastRead     readVersion
	confirmation confirmation
	// confirmedNowAt is when the store was last read without waiting; only Run uses it.
	confirmedNowAt time.Duration
}

// New returns a Watcher without a configuration; Run reads the first one.
func New(cfg Config) *Watcher {
	if cfg.Clock == nil {
		cfg.Clock = times.SinceBoot
	}
	w := &Watcher{cfg: cfg, catchUp: make(chan struct{}, 1), reading: make(chan struct{}, 1)}
	w.next.Store(&tamarackknot.Position{})
	return w
}

// Current returns the configuration in force, nil before the first one.
func (w *Watcher) Current() *View { return w.current.Load() }

// Run follows the configuration until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	pause := retryPause
	synced := false
	for ctx.Err() == nil {
		if w.followsPlanner() {
			wait.For(ctx, plannerCheckInterval)
			continue
		}
		if w.Current() == nil && w.cfg.MayStart != nil && !w.cfg.MayStart() {
			wait.For(ctx, startCheckInterval)
			continue
		}
		err := w.read(ctx, synced)
		if errors.Is(err, errFollowsPlanner) {
			continue
		}
		if err == nil {
			synced, pause = true, retryPause
			continue
		}
		if errors.Is(err, tamarackknot.ErrExpired) {
			synced = false
			continue
		}
		if ctx.Err() == nil {
			w.cfg.Logger.Warn("cannot read configuration", "error", err, "retryIn", pause)
		}
		wait.For(ctx, pause)
		pause = min(pause*2, maxRetryPause)
	}
}

// ObserveVersion reports a version that is in force on another host. If it is
// newer than the one on this host, RunRelay reads it from other hosts at once.
func (w *Watcher) ObserveVersion(version int64) {
	for {
		old := w.observed.Load()
		if old >= version || w.observed.CompareAndSwap(old, version) {
			break
		}
	}
	v := w.Current()
	if v != nil && v.Catalog.Version >= version {
		return
	}
	if now := time.Now(); v != nil && w.behind.CompareAndSwap(nil, &now) {
		w.cfg.Logger.Info("configuration behind another host", "version", v.Catalog.Version, "newer", version)
	}
	wait.Wake(w.catchUp)
}

// RunRelay reads the configuration from other hosts while ObserveVersion has found this
// one behind, until ctx ends.
func (w *Watcher) RunRelay(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.catchUp:
		}
		for attempt, pause := 0, minRelayPause; w.IsBehind() && ctx.Err() == nil; attempt++ {
			if w.readNewer(ctx, attempt == 0) {
				break
			}
			wait.For(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, maxRelayPause)
		}
	}
}

// readNewer reads the configuration from another host and reports whether it had one that
// is newer.
func (w *Watcher) readNewer(ctx context.Context, first bool) bool {
	if !w.acquire(ctx) {
		return false
	}
	defer func() { <-w.reading }()
	if !w.IsBehind() {
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(relayReadTimeout))
	defer cancel()
	page, err := w.cfg.ReadNewer(ctx, first)
	if err != nil {
		w.cfg.Logger.Debug("cannot read configuration through another host", "newer", w.observed.Load(), "behindMs", w.behindFor().Milliseconds(), "error", err)
		return false
	}
	w.apply(page)
	w.advance(page.Next)
	return !w.IsBehind()
}

// advance records up to where the stream was read.
func (w *Watcher) advance(next tamarackknot.Position) {
	for {
		old := w.next.Load()
		if next.Compare(*old) <= 0 || w.next.CompareAndSwap(old, &next) {
			return
		}
	}
}

// acquire waits for the end of another read of the whole configuration and reports whether
// ctx did not end before. Whoever has acquired reading must receive from it.
func (w *Watcher) acquire(ctx context.Context) bool {
	select {
	case w.reading <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// IsBehind reports whether another host has a newer version in force.
func (w *Watcher) IsBehind() bool {
	v := w.Current()
	return w.observed.Load() > 0 && (v == nil || v.Catalog.Version < w.observed.Load())
}

// behindFor returns how long a newer version has been known on another host, 0 if none is.
func (w *Watcher) behindFor() time.Duration {
	if since := w.behind.Load(); since != nil {
		return time.Since(*since)
	}
	return 0
}

// read is poll, but for the whole configuration only if it is still needed once no other
// read of it is under way.
func (w *Watcher) read(ctx context.Context, synced bool) error {
	if synced {
		return w.poll(ctx, synced)
	}
	if !w.acquire(ctx) {
		return ctx.Err()
	}
	defer func() { <-w.reading }()
	if w.followsPlanner() {
		return errFollowsPlanner
	}
	return w.poll(ctx, synced)
}

// errFollowsPlanner says that this host need not read the configuration itself any more.
var errFollowsPlanner = errors.New("the planner reads the configuration")

// followsPlanner reports whether this host has a configuration and follows the planner.
func (w *Watcher) followsPlanner() bool {
	return w.Current() != nil && w.cfg.FollowsPlanner != nil && w.cfg.FollowsPlanner()
}

func (w *Watcher) poll(ctx context.Context, synced bool) error {
	begun := w.cfg.Clock()
	if !synced {
		page, err := w.cfg.Store.Newest(ctx, tamarackknot.StreamCatalog)
		if err != nil {
			return err
		}
		if before := w.next.Load().Era; page.Next.Era > before && w.Current() != nil {
			w.cfg.Logger.Info("configuration read again after a restore of the store", "eraBefore", before, "era", page.Next.Era,
				"records", len(page.Records), "versionInForce", w.Current().Catalog.Version)
		}
		w.apply(page)
		w.advance(page.Next)
		w.recordRead(page, begun)
		return nil
	}
	longPoll := w.longPoll(begun)
	// Hosts that follow this one wait for an answer that has begun to arrive.
	answered := tamarackknot.WithAnswerHook(ctx, sync.OnceFunc(w.recordAnswer))
	page, err := w.cfg.Store.Read(answered, tamarackknot.StreamCatalog, *w.next.Load(), time.Now().Add(longPoll))
	if errors.Is(err, tamarackknot.ErrExpired) {
		w.readAt.Store(nil)
	}
	if err != nil {
		return err
	}
	w.apply(page)
	w.advance(page.Next)
	w.recordRead(page, begun)
	if page.Relayed {
		// Another host answers without a long poll.
		wait.For(ctx, relayPause)
	}
	return nil
}

// longPoll returns how long a read of the store that begins now, on Clock, may wait for a change.
func (w *Watcher) longPoll(now time.Duration) time.Duration {
	switch {
	case w.cfg.ConfirmNow != nil && w.cfg.ConfirmNow() && now-w.confirmedNowAt > followedReadWait:
		// A read may not confirm the version, for example after a restore of the store.
		w.confirmedNowAt = now
		return 0
	case w.cfg.HasFollowers != nil && w.cfg.HasFollowers() || w.cfg.ShortPoll != nil && w.cfg.ShortPoll():
		return followedReadWait
	default:
		return readWait
	}
}

// recordRead updates readAt after a read of the stream that began at a time on Clock, and
// confirms the version that it has shown to be the newest one. A relayed read does not
// count, because the other host may follow this one.
func (w *Watcher) recordRead(page tamarackknot.StreamPage, begun time.Duration) {
	if page.Relayed {
		return
	}
	w.recordAnswer()
	if page.Next.Compare(page.End) >= 0 {
		w.Confirm(w.lastRead.current(), begun)
	}
}

// recordAnswer updates readAt at an answer of the store.
func (w *Watcher) recordAnswer() {
	now := time.Now()
	w.readAt.Store(&now)
}

// State returns this host's own position in the stream.
func (w *Watcher) State() tamarackknot.StreamState {
	s := tamarackknot.StreamState{}
	if v := w.Current(); v != nil {
		s.Version = v.Catalog.Version
	}
	if at := w.readAt.Load(); at != nil {
		s.ReadAt = *at
	}
	s.ConfirmedAt = w.confirmation.at(s.Version)
	return s
}

func (w *Watcher) apply(page tamarackknot.StreamPage) {
	for _, rec := range page.Records {
		c, err := w.cfg.Decode(rec)
		if err != nil {
			w.cfg.Logger.Error("configuration rejected", "offset", rec.Offset, "error", err)
			continue
		}
		if c == nil {
			continue
		}
		to := tamarackknot.Position{Era: page.Next.Era, Offset: rec.Offset + 1}
		if page.Full {
			to = page.Next
		}
		w.lastRead.record(to, c.Version)
		w.offer(c, page.Relayed)
	}
	if page.Full {
		w.lastRead.record(page.Next, 0)
	}
}

// Offer puts a configuration into force unless the current version is the same
// or newer, or another host has a newer one.
func (w *Watcher) Offer(c *tamarackknot.Catalog) { w.offer(c, false) }

// offer is Offer of a configuration that was read at the store or through another host.
func (w *Watcher) offer(c *tamarackknot.Catalog, relayed bool) {
	old := w.current.Load()
	if old != nil && old.Catalog.Version >= c.Version {
		return
	}
	if newer := w.observed.Load(); old == nil && c.Version < newer {
		w.cfg.Logger.Warn("configuration ignored: another host has a newer version in force", "version", c.Version, "newer", newer)
		return
	}
	v := newView(c)
	if !w.current.CompareAndSwap(old, v) {
		w.offer(c, relayed)
		return
	}
	w.cfg.Logger.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services),
		"relayed", relayed, "behindMs", w.behindFor().Milliseconds())
	for _, warning := range c.Warnings {
		if old != nil && slices.Contains(old.Catalog.Warnings, warning) {
			continue
		}
		w.cfg.Logger.Warn("part of the configuration is not valid and left out", "version", c.Version, "what", warning)
	}
	if c.Version >= w.observed.Load() {
		w.behind.Store(nil)
	}
	if w.cfg.OnChange != nil {
		w.cfg.OnChange(v)
	}
}

// View is one version of the configuration with an index of its routes.
type View struct {
	Catalog *tamarackknot.Catalog
	byHost  map[string][]*tamarackknot.Route
}

func newView(c *tamarackknot.Catalog) *View {
	v := &View{Catalog: c, byHost: make(map[string][]*tamarackknot.Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		v.byHost[r.Host] = append(v.byHost[r.Host], r)
	}
	for _, routes := range v.byHost {
		slices.SortStableFunc(routes, func(a, b *tamarackknot.Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return v
}

// Route returns the route with the longest prefix of the path, nil if there is
// none. A port in host is ignored.
func (v *View) Route(host, path string) *tamarackknot.Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range v.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
