// Package discovery keeps an up-to-date copy of the platform's endpoint list.
package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// readInterval is the pause between two reads of the list. Together with the
	// duration of a call it stays well below the time limit for sending requests
	// to a leaving endpoint.
	readInterval = 800 * time.Millisecond
	// followedReadInterval is the same on a host that others follow: its copy must
	// still be fresh when it reaches them.
	followedReadInterval = 500 * time.Millisecond
	// followInterval is the pause between two checks of the planner's state.
	// maxPlannerAge is the maximum age of the planner's last read of the list.
	followInterval = 200 * time.Millisecond
	maxPlannerAge  = 1200 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 400 * time.Millisecond
	// missingGrace is how long an entry is kept that disappears after an outage of
	// the store: entries that expired meanwhile return within about 2 s.
	missingGrace = 2300 * time.Millisecond
	// startCheckInterval is the pause between two checks whether the list may be
	// read for the first time.
	startCheckInterval = 20 * time.Millisecond
	// readersTime is how long a host asks those that read the store for others before it
	// reads the store itself, and readersPause the pause between two questions. It then
	// does not ask them for readersBackoff.
	readersTime    = 500 * time.Millisecond
	readersPause   = 100 * time.Millisecond
	readersBackoff = 2 * time.Second
	// settleTime is how long after a restore of the store a host reads all changes
	// of the list. Stale entries expire within a few heartbeats.
	settleTime = 6 * time.Second
)

// Config configures a Watcher.
type Config struct {
	Store tamarackknot.Store
	// Decode decodes an entry; the time is that of the read.
	Decode func(tamarackknot.KeyedRecord, time.Time) (tamarackknot.EndpointEntry, error)
	// RecoveryTime is how long after a failed read disappearing entries are kept
	// for a grace period, unless the store was there all the while.
	RecoveryTime time.Duration
	// Heartbeat is about how often endpoints write their entries. Zero means that it is not
	// known.
	Heartbeat time.Duration
	// PlannerState returns the planner's position in the list; ok is false while
	// there is no other host that is a live planner. While it is fresh, this host
	// reads changes with ReadHost instead of reading the store. Nil means that there
	// never is one.
	PlannerState func() (state tamarackknot.StreamState, planner string, ok bool)
	// ReadHost reads what a host knows of the list from a position on. Records may be
	// left out that say nothing new of endpoints that are known.
	ReadHost func(ctx context.Context, host string, from tamarackknot.Position, known func(id string) bool) (tamarackknot.StreamPage, error)
	// Readers returns hosts that read the store for others while no planner is
	// heard, none if this host is one of them. Nil means that it always is.
	Readers func() []string
	// RestoredRecently reports whether the store was restored from an older copy
	// shortly before this host started. The list is not read until that is known.
	// Nil means that it was not.
	RestoredRecently func() (recently, known bool)
	// HasFollowers reports whether other hosts follow this one, which then reads
	// more often. It may be nil.
	HasFollowers func() bool
	// OnChange is called when the list has changed. It may be nil.
	OnChange func(*Snapshot)
	Logger   *log.Logger
}

// Snapshot is an immutable copy of the list.
type Snapshot struct {
	// Endpoints holds the entries by endpoint id.
	Endpoints map[string]tamarackknot.EndpointEntry
	// ByService holds, for each service, the sorted ids of the endpoints that
	// accept new requests.
	ByService map[string][]string
}

// Watcher follows the platform's endpoint list, either in the platform's store
// or through the planner.
type Watcher struct {
	cfg     Config
	current atomic.Pointer[Snapshot]

	mu           sync.Mutex
	entries      map[string]tamarackknot.EndpointEntry
	missingUntil map[string]time.Time // disappeared entries, with the end of their grace period
	rejected     map[string]string    // reasons already logged, by key
	failedAt     time.Time            // last failed read; zero if the store was there all the while
	// readableSince is since when reads of the store have not failed; zero before the first
	// one. currentAt is when the list was last known to be current, awayFrom when it was
	// before the failed reads.
	readableSince time.Time
	currentAt     time.Time
	awayFrom      time.Time
	restoredAt    time.Time // when the list was read after a restore of the store
	synced        bool
	next          tamarackknot.Position
	// confirmFrom is the end of the list when it was first read after a restore of
	// the store. A record before it that names an unknown endpoint may describe
	// one that has left, so it is ignored until the endpoint writes again.
	confirmFrom int64
	// readBefore is the end of the part of the older copy that was read before the
	// restore.
	readBefore  int64
	unconfirmed map[string]bool // endpoints whose records are ignored for that reason
	settledAt   time.Time       // when all live endpoints have written again after a restore
	version     int64           // counts the changes that must be propagated to other hosts
	readAt      time.Time       // last read of the store by this host, or by another one for it
	refresh     chan struct{}
	// applied is the planner's version of the list up to which this host has
	// applied the changes.
	applied plannerVersion
	changes map[string]entryChange

	// readersFailedUntil is until when the hosts that read the store for others are not
	// asked. Only Run uses it.
	readersFailedUntil time.Time
}

// entryChange says up to which record of an endpoint the list has been applied, and which of
// them was the last that had to be propagated to other hosts.
type entryChange struct{ applied, changed int64 }

type plannerVersion struct {
	planner string
	version int64
}

// New returns a Watcher with an empty list.
func New(cfg Config) *Watcher {
	w := &Watcher{
		cfg:          cfg,
		entries:      make(map[string]tamarackknot.EndpointEntry),
		missingUntil: make(map[string]time.Time),
		rejected:     make(map[string]string),
		unconfirmed:  make(map[string]bool),
		refresh:      make(chan struct{}, 1),
		changes:      make(map[string]entryChange),
	}
	w.current.Store(&Snapshot{})
	return w
}

// Current returns the latest snapshot; it is empty before the first read.
func (w *Watcher) Current() *Snapshot { return w.current.Load() }

// HasSynced reports whether the list was read at least once and does not consist
// of unconfirmed endpoints only.
func (w *Watcher) HasSynced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.entries) > 0 || w.synced && len(w.unconfirmed) == 0
}

// State returns this host's position in the list.
func (w *Watcher) State() tamarackknot.StreamState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return tamarackknot.StreamState{Version: w.version, ReadAt: w.readAt, ReadableSince: w.readableSince}
}

// IsCurrent reports whether this host has applied the list of a planner that has read it
// recently.
func (w *Watcher) IsCurrent() bool {
	newest, ok := w.plannerVersion()
	w.mu.Lock()
	defer w.mu.Unlock()
	return ok && w.applied == newest
}

// plannerVersion returns the list of the planner; ok is false unless there is one that has read
// it recently.
func (w *Watcher) plannerVersion() (v plannerVersion, ok bool) {
	if w.cfg.PlannerState == nil {
		return plannerVersion{}, false
	}
	state, planner, ok := w.cfg.PlannerState()
	return plannerVersion{planner, state.Version}, ok && time.Since(state.ReadAt) <= maxPlannerAge
}

// isKnown reports whether an endpoint is listed, and not only for a grace period.
func (w *Watcher) isKnown(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, known := w.entries[id]
	_, missing := w.missingUntil[id]
	return known && !missing
}

// IsUnchanged reports whether a host that has read the list up to a position, of the same era
// of the store, does not have to learn of a record: its endpoint has written the entry again
// since, with nothing that must be propagated.
func (w *Watcher) IsUnchanged(rec tamarackknot.KeyedRecord, from tamarackknot.Position) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, known := w.changes[rec.Key]
	return known && w.next.Era == from.Era && c.applied == rec.Offset && c.changed < from.Offset
}

// Refresh triggers the next read at once, for example when the planner has
// announced a change. It does not block.
func (w *Watcher) Refresh() {
	wait.Wake(w.refresh)
}

// followPlanner applies the planner's changes and reports whether this replaces a
// read of the list.
func (w *Watcher) followPlanner(ctx context.Context) bool {
	newest, ok := w.plannerVersion()
	if !ok {
		return false
	}
	w.trustPlanner()
	w.mu.Lock()
	synced, next := w.synced, w.next
	// An entry that changes on this host only, because the planner knew more of it
	// before an outage, does not change the planner's version.
	current := w.applied == newest && len(w.missingUntil) == 0 && !time.Now().Before(w.settledAt)
	w.mu.Unlock()
	if !synced {
		return false
	}
	if current {
		w.setCurrent(time.Now())
		return true
	}
	page, err := w.cfg.ReadHost(ctx, newest.planner, next, w.isKnown)
	if err != nil {
		w.cfg.Logger.Debug("cannot read endpoint list through planner", "planner", newest.planner, "error", err)
		return false
	}
	w.mu.Lock()
	w.applied = newest
	w.mu.Unlock()
	return w.applyPage(page)
}

// trustPlanner ends the doubt about removals if the planner has read the store without a
// failure since before this host could not: it was only this host that was away.
func (w *Watcher) trustPlanner() {
	state, _, ok := w.cfg.PlannerState()
	if !ok || state.ReadableSince.IsZero() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.failedAt.IsZero() && state.ReadableSince.Before(w.awayFrom) {
		w.endDoubt("planner")
	}
}

// trustHeartbeats ends the doubt about removals if some endpoint has written its entry as
// often as in the time since the failed reads began: it could reach the store all the while.
// The page was read from the store. w.mu is held.
func (w *Watcher) trustHeartbeats(page tamarackknot.StreamPage, now time.Time) {
	if w.failedAt.IsZero() || w.awayFrom.IsZero() || w.cfg.Heartbeat <= 0 || page.Relayed || page.Full {
		return
	}
	written := make(map[string]int)
	most := 0
	for _, rec := range page.Records {
		written[rec.Key]++
		most = max(most, written[rec.Key])
	}
	if time.Duration(most)*w.cfg.Heartbeat >= now.Sub(w.awayFrom) {
		w.endDoubt("heartbeats")
	}
}

// endDoubt takes the store as there all the while. w.mu is held.
func (w *Watcher) endDoubt(by string) {
	w.cfg.Logger.Info("store was available while this host could not read it", "failedMsAgo", time.Since(w.failedAt).Milliseconds(), "shownBy", by)
	w.failedAt = time.Time{}
}

// setCurrent records that the list is current, and applies what has expired.
func (w *Watcher) setCurrent(now time.Time) {
	w.mu.Lock()
	w.currentAt = now
	w.mu.Unlock()
	w.Apply(nil, now)
}

// applyPage applies a page that continues the list, and reports whether it did.
func (w *Watcher) applyPage(page tamarackknot.StreamPage) bool {
	if page.Full {
		return w.replaceAll(page)
	}
	w.mu.Lock()
	if page.Next.Compare(w.next) > 0 {
		w.next = page.Next
	}
	now := time.Now()
	w.trustHeartbeats(page, now)
	w.recordRead(page)
	w.currentAt = now
	w.mu.Unlock()
	w.Apply(page.Records, now)
	return true
}

// followReaders applies what one of the hosts that read the store for others knows, and
// reports whether this replaces a read of the store. At first they may not have read it
// either, since they followed the planner too.
func (w *Watcher) followReaders(ctx context.Context, next tamarackknot.Position) bool {
	if w.cfg.Readers == nil || time.Now().Before(w.readersFailedUntil) {
		return false
	}
	hosts := w.cfg.Readers()
	if len(hosts) == 0 {
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(readersTime))
	defer cancel()
	for ctx.Err() == nil {
		host := hosts[rand.IntN(len(hosts))]
		page, err := w.cfg.ReadHost(ctx, host, next, w.isKnown)
		if err == nil {
			return w.applyPage(page)
		}
		w.cfg.Logger.Debug("cannot read endpoint list through host", "host", host, "error", err)
		wait.For(ctx, readersPause)
	}
	w.readersFailedUntil = time.Now().Add(readersBackoff)
	return false
}

// Run follows the list until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for !w.mayStart() && wait.For(ctx, startCheckInterval) {
	}
	for ctx.Err() == nil {
		pause := readInterval
		if w.cfg.HasFollowers != nil && w.cfg.HasFollowers() {
			pause = followedReadInterval
		}
		var err error
		if w.followPlanner(ctx) {
			pause = followInterval
		} else {
			err = w.poll(ctx)
		}
		switch {
		case errors.Is(err, tamarackknot.ErrExpired):
			w.relist()
			pause = 0
		case err != nil && ctx.Err() == nil:
			w.cfg.Logger.Warn("cannot read endpoint list", "error", err, "retryIn", retryPause)
			w.recordFailure()
			w.Apply(nil, time.Now())
			pause = retryPause
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-w.refresh:
		case <-t.C:
		}
		t.Stop()
	}
}

// relist makes the next read a full listing.
func (w *Watcher) relist() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.synced = false
}

func (w *Watcher) recordFailure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.isRecent(w.failedAt, now) {
		w.awayFrom = w.currentAt
	}
	w.failedAt, w.readableSince = now, time.Time{}
}

// isRecent reports whether disappearing entries are kept after what happened at a time. w.mu
// is held.
func (w *Watcher) isRecent(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) < w.cfg.RecoveryTime
}

// recordRead updates readAt after a read of the list. A relayed read does not
// count, because the other host may follow this one. w.mu is held.
func (w *Watcher) recordRead(page tamarackknot.StreamPage) {
	if page.Relayed {
		return
	}
	w.readAt = time.Now()
	if w.readableSince.IsZero() {
		w.readableSince = w.readAt
	}
}

func (w *Watcher) poll(ctx context.Context) error {
	w.mu.Lock()
	synced, next := w.synced, w.next
	w.mu.Unlock()
	if !synced {
		page, err := w.cfg.Store.Newest(ctx, tamarackknot.StreamEndpoints)
		if err != nil {
			return err
		}
		if !w.replaceAll(page) {
			return errors.New("the listing belongs to an earlier era of the store")
		}
		return nil
	}
	if w.followReaders(ctx, next) {
		return nil
	}
	page, err := w.cfg.Store.Read(ctx, tamarackknot.StreamEndpoints, next, time.Now())
	if err != nil {
		return err
	}
	w.applyPage(page)
	return nil
}

// replaceAll applies a full listing and reports whether it did: one of an earlier
// era is ignored. Entries missing from it are removed; after a restore of the
// store they get a grace period, since the older copy lacks recent endpoints.
func (w *Watcher) replaceAll(page tamarackknot.StreamPage) bool {
	now := time.Now()
	seen := make(map[string]bool, len(page.Records))
	for _, rec := range page.Records {
		seen[rec.Key] = true
	}
	w.mu.Lock()
	if page.Next.Era < w.next.Era {
		w.mu.Unlock()
		return false
	}
	first := w.next == (tamarackknot.Position{}) && len(w.entries) == 0
	restored := !first && page.Next.Era > w.next.Era
	if restored || first {
		clear(w.changes)
	}
	if restored || first && w.restoredRecently() {
		w.confirmFrom, w.settledAt = page.Next.Offset, now.Add(settleTime)
		clear(w.unconfirmed)
	}
	var missing []tamarackknot.KeyedRecord
	for id := range w.entries {
		switch {
		case seen[id]:
		case restored:
			delete(w.missingUntil, id)
			w.keepMissing(id, now)
		default:
			missing = append(missing, tamarackknot.KeyedRecord{Key: id})
		}
	}
	if restored {
		w.readBefore = min(w.next.Offset, w.confirmFrom)
		w.version++
		w.restoredAt = now
		w.cfg.Logger.Info("endpoint list read again after a restore of the store", "eraBefore", w.next.Era, "era", page.Next.Era,
			"listed", len(page.Records), "missing", len(w.missingUntil))
	}
	w.synced, w.next = true, page.Next
	w.recordRead(page)
	w.currentAt = now
	w.mu.Unlock()
	w.Apply(append(page.Records, missing...), now)
	return true
}

func (w *Watcher) restoredRecently() bool {
	if w.cfg.RestoredRecently == nil {
		return false
	}
	recently, _ := w.cfg.RestoredRecently()
	return recently
}

// mayStart reports whether the list may be read for the first time.
func (w *Watcher) mayStart() bool {
	if w.cfg.RestoredRecently == nil || w.HasSynced() {
		return true
	}
	_, known := w.cfg.RestoredRecently()
	return known
}

// Apply applies records that were read at the time now.
func (w *Watcher) Apply(records []tamarackknot.KeyedRecord, now time.Time) {
	w.mu.Lock()
	changed := w.expireMissing(now)
	for _, rec := range records {
		if rec.Value == nil && rec.Key != "" {
			changed = w.applyRemoval(rec.Key, now) || changed
		} else {
			changed = w.applyEntry(rec, now) || changed
		}
	}
	var snap *Snapshot
	if changed {
		snap = w.snapshot()
		w.current.Store(snap)
	}
	w.mu.Unlock()
	if snap != nil && w.cfg.OnChange != nil {
		w.cfg.OnChange(snap)
	}
}

// applyRemoval applies the removal of an entry and reports whether the list has
// changed. w.mu is held.
func (w *Watcher) applyRemoval(id string, now time.Time) bool {
	if w.unconfirmed[id] {
		// Followers may rely on the entry.
		delete(w.unconfirmed, id)
		w.version++
	}
	return w.remove(id, now)
}

// applyEntry applies the entry in a record and reports whether the list has
// changed. w.mu is held.
func (w *Watcher) applyEntry(rec tamarackknot.KeyedRecord, now time.Time) bool {
	old, known := w.entries[rec.Key]
	change, counted := w.changes[rec.Key]
	delete(w.changes, rec.Key)
	if !known && rec.Offset < w.confirmFrom {
		w.unconfirmed[rec.Key] = true
		return false
	}
	delete(w.unconfirmed, rec.Key)
	e, err := w.cfg.Decode(rec, now)
	if known && rec.Offset < w.readBefore && (err != nil || !e.Born.After(old.Born)) {
		return false // read before the restore, and perhaps changed since
	}
	if err != nil {
		return w.reject(rec.Key, err)
	}
	if known && old.State == tamarackknot.EndpointDraining && !e.Born.IsZero() && e.Born.Equal(old.Born) {
		// The endpoint may have restored its own entry from before it drained.
		e.State = tamarackknot.EndpointDraining
	}
	if _, missing := w.missingUntil[e.ID]; !known || missing || needsPropagation(old, e) {
		w.version++
		counted = false
	}
	if !counted {
		change.changed = rec.Offset
	}
	change.applied = rec.Offset
	w.changes[rec.Key] = change
	if !known || old.State != e.State {
		w.cfg.Logger.Info("endpoint listed", "endpoint", e.ID, "service", e.Service, "address", e.Address, "state", e.State)
	}
	delete(w.missingUntil, e.ID)
	delete(w.rejected, e.ID)
	w.entries[e.ID] = e
	return true
}

// needsPropagation reports whether other hosts must learn of a change at once.
// Changes of what an engine holds reach them with the planner's view.
func needsPropagation(a, b tamarackknot.EndpointEntry) bool {
	return a.State != b.State || a.Address != b.Address || a.Service != b.Service || !a.Born.Equal(b.Born) || a.GoneAt.IsZero() != b.GoneAt.IsZero()
}

// remove deletes an entry and reports whether it did. An entry that may have
// expired only because its endpoint could not reach the store gets a grace
// period. w.mu is held.
func (w *Watcher) remove(id string, now time.Time) bool {
	e, known := w.entries[id]
	if !known {
		return false
	}
	if (w.isRecent(w.failedAt, now) || w.isRecent(w.restoredAt, now)) && e.State == tamarackknot.EndpointReady {
		w.keepMissing(id, now)
		return false
	}
	w.drop(id)
	w.cfg.Logger.Info("endpoint removed", "endpoint", id, "service", e.Service)
	return true
}

// drop deletes an entry that is listed. w.mu is held.
func (w *Watcher) drop(id string) {
	delete(w.entries, id)
	delete(w.changes, id)
	w.version++
}

// keepMissing starts the grace period of an entry that is missing from the list,
// unless it has one. w.mu is held.
func (w *Watcher) keepMissing(id string, now time.Time) {
	if _, missing := w.missingUntil[id]; missing {
		return
	}
	w.missingUntil[id] = now.Add(missingGrace)
	// Followers learn of it now, so that their grace period does not begin after this one.
	w.version++
	w.cfg.Logger.Info("endpoint entry missing after a store outage", "endpoint", id, "keptFor", missingGrace)
}

// expireMissing removes the entries whose grace period is over and reports
// whether there were any. w.mu is held.
func (w *Watcher) expireMissing(now time.Time) bool {
	changed := false
	for id, until := range w.missingUntil {
		if now.Before(until) {
			continue
		}
		delete(w.missingUntil, id)
		w.drop(id)
		changed = true
		w.cfg.Logger.Info("endpoint removed", "endpoint", id, "reason", "expired entry did not return")
	}
	return changed
}

// reject removes the entry of a record that cannot be decoded and reports whether
// there was one. w.mu is held.
func (w *Watcher) reject(key string, err error) bool {
	if w.rejected[key] != err.Error() {
		w.rejected[key] = err.Error()
		w.cfg.Logger.Warn("endpoint entry rejected", "key", key, "error", err)
	}
	_, known := w.entries[key]
	if known {
		w.drop(key)
	}
	return known
}

func (w *Watcher) snapshot() *Snapshot {
	s := &Snapshot{
		Endpoints: make(map[string]tamarackknot.EndpointEntry, len(w.entries)),
		ByService: make(map[string][]string),
	}
	for id, e := range w.entries {
		s.Endpoints[id] = e
		if e.State == tamarackknot.EndpointReady {
			s.ByService[e.Service] = append(s.ByService[e.Service], id)
		}
	}
	for _, ids := range s.ByService {
		slices.Sort(ids)
	}
	return s
}
