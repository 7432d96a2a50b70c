// Package roster keeps the list of endpoints that the platform publishes.
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
	// readEvery is the pause between two reads of the list. With the time of a
	// call it stays well below the bound for work sent to leaving endpoints.
	readEvery = 800 * time.Millisecond
	// reliedEvery is the same for a host that others rely on: what it has read
	// must be fresh when it reaches them.
	reliedEvery = 500 * time.Millisecond
	// followEvery is the pause between two looks at the planner's state, and
	// followAge how long ago the planner may have read the list.
	followEvery = 200 * time.Millisecond
	followAge   = 1200 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 400 * time.Millisecond
	// lapseGrace is how long an entry that goes missing around an outage of
	// the store is kept: entries that lapsed meanwhile return within about 2 s.
	lapseGrace = 2300 * time.Millisecond
)

// Config configures a Roster.
type Config struct {
	Store tamarackknot.Store
	// Decode reads an entry that was read at the given time.
	Decode func(tamarackknot.KeyedRecord, time.Time) (tamarackknot.EndpointEntry, error)
	// ContactTime is how long after an outage missing entries may return.
	ContactTime time.Duration
	// Followed returns how far the planner, if it is heard, follows the list;
	// then this host asks Relayed for what has changed and does not read the
	// list itself. Both may be nil.
	Followed func() (state tamarackknot.StreamState, planner string, ok bool)
	Relayed  func(ctx context.Context, from int64) (tamarackknot.StreamPage, error)
	// Relied reports whether other hosts rely on this one; it then reads more
	// often. It may be nil.
	Relied func() bool
	// Changed is told when the list has changed. It may be nil.
	Changed func(*Snapshot)
	Logger  *log.Logger
}

// Snapshot is the list at one time. It is never modified.
type Snapshot struct {
	// Endpoints are the entries by their ids.
	Endpoints map[string]tamarackknot.EndpointEntry
	// ByService holds the ids of the endpoints of each service that may take
	// new work, ordered by id.
	ByService map[string][]string
}

// Roster follows the list.
type Roster struct {
	cfg     Config
	current atomic.Pointer[Snapshot]

	mu       sync.Mutex
	entries  map[string]tamarackknot.EndpointEntry
	lapsing  map[string]time.Time // entries that went missing, kept until then
	rejected map[string]string    // reasons already logged, by key
	failedAt time.Time            // last failed read
	listed   bool
	next     int64
	version  int64     // counts the changes that other hosts must learn of
	readAt   time.Time // zero: never
	kick     chan struct{}
	// followed is the planner's state that this host has taken over.
	followed followedState
}

type followedState struct {
	planner string
	version int64
}

// New returns an empty Roster.
func New(cfg Config) *Roster {
	r := &Roster{
		cfg:      cfg,
		entries:  make(map[string]tamarackknot.EndpointEntry),
		lapsing:  make(map[string]time.Time),
		rejected: make(map[string]string),
		kick:     make(chan struct{}, 1),
	}
	r.current.Store(&Snapshot{})
	return r
}

// Current returns the newest list.
func (r *Roster) Current() *Snapshot { return r.current.Load() }

// Listed reports whether the list was read at least once.
func (r *Roster) Listed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed || len(r.entries) > 0
}

// State returns how far this host follows the list.
func (r *Roster) State() tamarackknot.StreamState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return tamarackknot.StreamState{Version: r.version, ReadAt: r.readAt}
}

// Kick has the next step taken at once: the planner has told of a change.
func (r *Roster) Kick() {
	wait.Wake(r.kick)
}

// follow takes over what the planner knows and reports whether that is as good
// as a read of the list.
func (r *Roster) follow(ctx context.Context) bool {
	if r.cfg.Followed == nil {
		return false
	}
	state, planner, ok := r.cfg.Followed()
	if !ok || time.Since(state.ReadAt) > followAge {
		return false
	}
	r.mu.Lock()
	listed, next := r.listed, r.next
	current := r.followed == followedState{planner, state.Version}
	r.mu.Unlock()
	if !listed {
		return false
	}
	if current {
		return true
	}
	page, err := r.cfg.Relayed(ctx, next)
	if err != nil {
		r.cfg.Logger.Debug("endpoint list not relayed", "planner", planner, "error", err)
		return false
	}
	r.mu.Lock()
	r.next = max(r.next, page.Next)
	r.followed = followedState{planner, state.Version}
	r.mu.Unlock()
	r.Apply(page.Records, time.Now())
	return true
}

// Run follows the list until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := readEvery
		if r.cfg.Relied != nil && r.cfg.Relied() {
			pause = reliedEvery
		}
		var err error
		if r.follow(ctx) {
			pause = followEvery
		} else {
			err = r.step(ctx)
		}
		switch {
		case errors.Is(err, tamarackknot.ErrForgotten):
			r.relist()
			pause = 0
		case err != nil && ctx.Err() == nil:
			r.cfg.Logger.Warn("endpoint list not read", "error", err, "retryIn", retryPause)
			r.failed()
			pause = retryPause
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-r.kick:
		case <-t.C:
		}
		t.Stop()
	}
}

func (r *Roster) relist() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = false
}

func (r *Roster) failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt, r.readAt = time.Now(), time.Time{}
}

// read notes a read of the list. One through another host does not count: that
// host may rely on this one. The lock is held.
func (r *Roster) read(page tamarackknot.StreamPage) {
	r.readAt = time.Time{}
	if !page.Relayed {
		r.readAt = time.Now()
	}
}

func (r *Roster) step(ctx context.Context) error {
	r.mu.Lock()
	listed, next := r.listed, r.next
	r.mu.Unlock()
	if !listed {
		page, err := r.cfg.Store.Newest(ctx, tamarackknot.StreamEndpoints)
		if err != nil {
			return err
		}
		r.replace(page)
		return nil
	}
	page, err := r.cfg.Store.Read(ctx, tamarackknot.StreamEndpoints, next, time.Now())
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.next = page.Next
	r.read(page)
	r.mu.Unlock()
	r.Apply(page.Records, time.Now())
	return nil
}

// replace takes a whole listing: entries that it lacks are missing.
func (r *Roster) replace(page tamarackknot.StreamPage) {
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
	r.listed, r.next = true, page.Next
	r.read(page)
	r.mu.Unlock()
	r.Apply(append(page.Records, missing...), now)
}

// Apply takes records that were read at the time now.
func (r *Roster) Apply(records []tamarackknot.KeyedRecord, now time.Time) {
	r.mu.Lock()
	changed := r.expire(now)
	for _, rec := range records {
		if rec.Value == nil && rec.Key != "" {
			changed = r.drop(rec.Key, now) || changed
			continue
		}
		e, err := r.cfg.Decode(rec, now)
		if err != nil {
			changed = r.reject(rec.Key, err) || changed
			continue
		}
		old, known := r.entries[e.ID]
		if !known || significant(old, e) {
			r.version++
		}
		if !known || old.State != e.State {
			r.cfg.Logger.Info("endpoint listed", "endpoint", e.ID, "service", e.Service, "address", e.Address, "state", e.State)
		}
		delete(r.lapsing, e.ID)
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
	if snap != nil && r.cfg.Changed != nil {
		r.cfg.Changed(snap)
	}
}

// significant reports whether hosts must learn of a change at once; what an
// engine holds reaches them by other ways.
func significant(a, b tamarackknot.EndpointEntry) bool {
	return a.State != b.State || a.Address != b.Address || a.Service != b.Service || !a.Born.Equal(b.Born) || a.GoneAt.IsZero() != b.GoneAt.IsZero()
}

// drop removes an entry, or keeps it for a while if it may have lapsed only
// because endpoints could not reach the store.
func (r *Roster) drop(id string, now time.Time) bool {
	e, known := r.entries[id]
	if !known {
		return false
	}
	if !r.failedAt.IsZero() && now.Sub(r.failedAt) < r.cfg.ContactTime && e.State == tamarackknot.EndpointReady {
		if _, lapsing := r.lapsing[id]; !lapsing {
			r.lapsing[id] = now.Add(lapseGrace)
			r.cfg.Logger.Info("endpoint entry lapsed around an outage", "endpoint", id, "keptFor", lapseGrace)
		}
		return false
	}
	delete(r.entries, id)
	r.version++
	r.cfg.Logger.Info("endpoint gone", "endpoint", id, "service", e.Service)
	return true
}

func (r *Roster) expire(now time.Time) bool {
	changed := false
	for id, until := range r.lapsing {
		if now.Before(until) {
			continue
		}
		delete(r.lapsing, id)
		delete(r.entries, id)
		r.version++
		changed = true
		r.cfg.Logger.Info("endpoint gone", "endpoint", id, "reason", "lapsed entry did not return")
	}
	return changed
}

// reject keeps an unreadable entry out of use.
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
