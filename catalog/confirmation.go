package catalog

import (
	"slices"
	"sync"
	"time"

	"tamarackknot.example/tamarackknot"
)

// maxConfirmations is the number of versions newer than the one in force of which it is
// remembered when they were the newest ones.
const maxConfirmations = 64

// confirmation holds when versions of the configuration were known to be the newest ones.
// Times are on Clock; they are those at which a read of the store began, so that it shows
// all changes that were accepted before.
type confirmation struct {
	mu sync.Mutex
	// versions are in ascending order. The first is the newest that was in force or older.
	versions []confirmedVersion
}

type confirmedVersion struct {
	version int64
	at      time.Duration
}

// record records that a version was the newest one at a time, while another one is in force
// on this host.
func (c *confirmation) record(version, inForce int64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, found := c.find(version)
	if !found {
		c.versions = slices.Insert(c.versions, i, confirmedVersion{version: version})
	}
	c.versions[i].at = max(c.versions[i].at, at)
	if i, found = c.find(inForce); !found {
		i--
	}
	if i > 0 {
		c.versions = slices.Delete(c.versions, 0, i)
	}
	if len(c.versions) > maxConfirmations {
		c.versions = slices.Delete(c.versions, 1, 2)
	}
}

// at returns the newest time at which a version, or one that it has replaced, was the newest;
// 0 if there is none.
func (c *confirmation) at(version int64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, found := c.find(version)
	switch {
	case found:
		return c.versions[i].at
	case i > 0:
		return c.versions[i-1].at
	default:
		return 0
	}
}

// find returns the index of a version, or where it would be. c.mu is held.
func (c *confirmation) find(version int64) (int, bool) {
	return slices.BinarySearchFunc(c.versions, version, func(v confirmedVersion, version int64) int {
		return int(min(max(v.version-version, -1), 1))
	})
}

// Confirm records that a version was the newest one in the store at a time on Clock. It has
// no effect if a newer one is known: the store was then restored from an older copy, and what
// it lacks is written again.
func (w *Watcher) Confirm(version int64, at time.Duration) {
	inForce := int64(0)
	if v := w.Current(); v != nil {
		inForce = v.Catalog.Version
	}
	if version <= 0 || version < max(inForce, w.observed.Load()) {
		return
	}
	w.confirmation.record(version, inForce, at)
}

// ConfirmedAt returns the newest time on Clock at which a version, or one that it has replaced,
// is known to have been the newest one, 0 if it never was.
func (w *Watcher) ConfirmedAt(version int64) time.Duration { return w.confirmation.at(version) }

// readVersion is the version that was read last of the stream, in its order. It is 0 if the
// stream up to the position holds no configuration.
type readVersion struct {
	mu      sync.Mutex
	to      tamarackknot.Position // after the record
	version int64
}

// record records the version of a record, or of all those up to a position. What comes before
// something that was read already has no effect.
func (r *readVersion) record(to tamarackknot.Position, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if to.Compare(r.to) > 0 {
		r.to, r.version = to, version
	}
}

func (r *readVersion) current() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}
