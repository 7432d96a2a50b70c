// Package roster keeps an up-to-date copy of the platform's endpoint list.
package roster

import (
	"context"
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
)

// Config configures a Roster.
type Config struct {
	Store tamarackknot.Store
	// Decode decodes an entry; the time is that of the read.
	Decode func(tamarackknot.KeyedRecord, time.Time) (tamarackknot.EndpointEntry, error)
	// ContactTime is how long after a failed read disappearing entries are kept
	// for a grace period.
	ContactTime time.Duration
	// PlannerState returns the planner's position in the list; ok is false while
	// there is no other host that is a live planner. While it is fresh, this host
	// reads changes with ReadPlanner instead of reading the store. Both may be
	// nil.
	PlannerState func() (state tamarackknot.StreamState, planner string, ok bool)
	ReadPlanner  func(ctx context.Context, from int64) (tamarackknot.StreamPage, error)
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

// Roster follows the platform's endpoint list, either in the platform's store or
// through the planner.
type Roster struct {
	cfg     Config
	current atomic.Pointer[Snapshot]

	mu           sync.Mutex
	entries      map[string]tamarackknot.EndpointEntry
	missingUntil map[string]time.Time // disappeared entries, with the end of their grace period
	rejected     map[string]string    // reasons already logged, by key
	failedAt     time.Time            // last failed read
	synced       bool
	next         int64
	version      int64     // counts the changes that must be propagated to other hosts
	readAt       time.Time // last successful read of the store; zero: never, or the last read failed or was relayed
	refresh      chan struct{}
	// applied is the planner's version of the list up to which this host has
	// applied the changes.
	applied plannerVersion
}

type plannerVersion struct {
	planner string
	version int64
}

// New returns an empty Roster.
func New(cfg Config) *Roster {
	r := &Roster{
		cfg:          cfg,
		entries:      make(map[string]tamarackknot.EndpointEntry),
		missingUntil: make(map[string]time.Time),
		rejected:     make(map[string]string),
		refresh:      make(chan struct{}, 1),
	}
	r.current.Store(&Snapshot{})
	return r
}

// Current returns the latest snapshot; it is empty before the first read.
func (r *Roster) Current() *Snapshot { return r.current.Load() }

// HasSynced reports whether the list was read at least once.
func (r *Roster) HasSynced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced || len(r.entries) > 0
}

// State returns this host's position in the list.
func (r *Roster) State() tamarackknot.StreamState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return tamarackknot.StreamState{Version: r.version, ReadAt: r.readAt}
}

// Refresh triggers the next read at once, for example when the planner has
// announced a change. It does not block.
func (r *Roster) Refresh() {
	wait.Wake(r.refresh)
}

// followPlanner applies the planner's changes and reports whether this replaces a
// read of the list.
func (r *Roster) followPlanner(ctx context.Context) bool {
	if r.cfg.PlannerState == nil {
		return false
	}
	state, planner, ok := r.cfg.PlannerState()
	if !ok || time.Since(state.ReadAt) > maxPlannerAge {
		return false
	}
	r.mu.Lock()
	synced, next := r.synced, r.next
	current := r.applied == plannerVersion{planner, state.Version}
	r.mu.Unlock()
	if !synced {
		return false
	}
	if current {
		return true
	}
	page, err := r.cfg.ReadPlanner(ctx, next)
	if err != nil {
		r.cfg.Logger.Debug("cannot read endpoint list through planner", "planner", planner, "error", err)
		return false
	}
	r.mu.Lock()
	r.next = max(r.next, page.Next)
	r.applied = plannerVersion{planner, state.Version}
	r.mu.Unlock()
	r.Apply(page.Records, time.Now())
	return true
}

// Run follows the list until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := readInterval
		if r.cfg.HasFollowers != nil && r.cfg.HasFollowers() {
			pause = followedReadInterval
		}
		var err error
		if r.followPlanner(ctx) {
			pause = followInterval
		} else {
			err = r.poll(ctx)
		}
		switch {
		case errors.Is(err, tamarackknot.ErrExpired):
			r.relist()
			pause = 0
		case err != nil && ctx.Err() == nil:
			r.cfg.Logger.Warn("cannot read endpoint list", "error", err, "retryIn", retryPause)
			r.recordFailure()
			pause = retryPause
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-r.refresh:
		case <-t.C:
		}
		t.Stop()
	}
}

// relist makes the next read a full listing.
func (r *Roster) relist() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.synced = false
}

func (r *Roster) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt, r.readAt = time.Now(), time.Time{}
}

// recordRead updates readAt after a read of the list. A relayed read does not
// count, because the other host may follow this one. r.mu is held.
func (r *Roster) recordRead(page tamarackknot.StreamPage) {
	r.readAt = time.Time{}
	if !page.Relayed {
		r.readAt = time.Now()
	}
}

func (r *Roster) poll(ctx context.Context) error {
	r.mu.Lock()
	synced, next := r.synced, r.next
	r.mu.Unlock()
	if !synced {
		page, err := r.cfg.Store.Newest(ctx, tamarackknot.StreamEndpoints)
		if err != nil {
			return err
		}
		r.replaceAll(page)
		return nil
	}
	page, err := r.cfg.Store.Read(ctx, tamarackknot.StreamEndpoints, next, time.Now())
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.next = page.Next
	r.recordRead(page)
	r.mu.Unlock()
	r.Apply(page.Records, time.Now())
	return nil
}

// replaceAll applies a full listing. Entries missing from it are removed.
func (r *Roster) replaceAll(page tamarackknot.StreamPage) {
	now := time.Now()
	seen := make(map[string]bool, len(page.Records))
	for _, rec := range page.Records {
		seen[rec.Key] = true
	}
	r.mu.Lock()
	var missing []tamarackknot.KeyedRecord
	for id := range r.entries {
		if !seen[id] {
			missing = append(missing, tamarackknot.KeyedRecord{Key: id})
		}
	}
	r.synced, r.next = true, page.Next
	r.recordRead(page)
	r.mu.Unlock()
	r.Apply(append(page.Records, missing...), now)
}

// Apply applies records that were read at the time now.
func (r *Roster) Apply(records []tamarackknot.KeyedRecord, now time.Time) {
	r.mu.Lock()
	changed := r.expireMissing(now)
	for _, rec := range records {
		if rec.Value == nil && rec.Key != "" {
			changed = r.remove(rec.Key, now) || changed
			continue
		}
		e, err := r.cfg.Decode(rec, now)
		if err != nil {
			changed = r.reject(rec.Key, err) || changed
			continue
		}
		old, known := r.entries[e.ID]
		if !known || needsPropagation(old, e) {
			r.version++
		}
		if !known || old.State != e.State {
			r.cfg.Logger.Info("endpoint listed", "endpoint", e.ID, "service", e.Service, "address", e.Address, "state", e.State)
		}
		delete(r.missingUntil, e.ID)
		delete(r.rejected, e.ID)
		r.entries[e.ID] = e
		changed = true
	}
	var snap *Snapshot
	if changed {
		snap = r.snapshot()
		r.current.Store(snap)
	}
	r.mu.Unlock()
	if snap != nil && r.cfg.OnChange != nil {
		r.cfg.OnChange(snap)
	}
}

// needsPropagation reports whether other hosts must learn of a change at once.
// Changes of what an engine holds reach them with the planner's view.
func needsPropagation(a, b tamarackknot.EndpointEntry) bool {
	return a.State != b.State || a.Address != b.Address || a.Service != b.Service || !a.Born.Equal(b.Born) || a.GoneAt.IsZero() != b.GoneAt.IsZero()
}

// remove deletes an entry and reports whether it did. An entry that may have
// expired only because its endpoint could not reach the store gets a grace
// period. r.mu is held.
func (r *Roster) remove(id string, now time.Time) bool {
	e, known := r.entries[id]
	if !known {
		return false
	}
	if !r.failedAt.IsZero() && now.Sub(r.failedAt) < r.cfg.ContactTime && e.State == tamarackknot.EndpointReady {
		if _, missing := r.missingUntil[id]; !missing {
			r.missingUntil[id] = now.Add(missingGrace)
			r.cfg.Logger.Info("endpoint entry expired during a store outage", "endpoint", id, "keptFor", missingGrace)
		}
		return false
	}
	delete(r.entries, id)
	r.version++
	r.cfg.Logger.Info("endpoint removed", "endpoint", id, "service", e.Service)
	return true
}

// expireMissing removes the entries whose grace period is over and reports
// whether there were any. r.mu is held.
func (r *Roster) expireMissing(now time.Time) bool {
	changed := false
	for id, until := range r.missingUntil {
		if now.Before(until) {
			continue
		}
		delete(r.missingUntil, id)
		delete(r.entries, id)
		r.version++
		changed = true
		r.cfg.Logger.Info("endpoint removed", "endpoint", id, "reason", "expired entry did not return")
	}
	return changed
}

// reject removes the entry of a record that cannot be decoded and reports whether
// there was one. r.mu is held.
func (r *Roster) reject(key string, err error) bool {
	if r.rejected[key] != err.Error() {
		r.rejected[key] = err.Error()
		r.cfg.Logger.Warn("endpoint entry rejected", "key", key, "error", err)
	}
	_, known := r.entries[key]
	if known {
		r.version++
	}
	delete(r.entries, key)
	return known
}

func (r *Roster) snapshot() *Snapshot {
	s := &Snapshot{
		Endpoints: make(map[string]tamarackknot.EndpointEntry, len(r.entries)),
		ByService: make(map[string][]string),
	}
	for id, e := range r.entries {
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
