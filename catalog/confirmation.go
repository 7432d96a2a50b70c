package catalog

import (
	"sync"
	"time"
)

// confirmation holds when versions of the configuration were known to be the newest ones.
// Times are on Clock; they are those at which a read of the store began, so that it shows
// all changes that were accepted before.
type confirmation struct {
	mu sync.Mutex
	// version was the newest one at newestAt. inForceAt is the newest such time of a version
	// that is in force, or that a newer one in force has replaced.
	version   int64
	newestAt  time.Duration
	inForceAt time.Duration
}

// record records that a version was the newest one at a time. It is in force on this host if
// the version in force is not older.
func (c *confirmation) record(version, inForce int64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at > c.newestAt {
		c.version, c.newestAt = version, at
	}
	if version <= inForce {
		c.inForceAt = max(c.inForceAt, at)
	}
}

// at returns the newest time at which the version in force, or one that it has replaced, was
// the newest; 0 if there is none.
func (c *confirmation) at(inForce int64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version <= inForce {
		c.inForceAt = max(c.inForceAt, c.newestAt)
	}
	return c.inForceAt
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

// ConfirmedAt returns the newest time on Clock at which the version in force is known to have
// been the newest one, 0 if it never was.
func (w *Watcher) ConfirmedAt() time.Duration {
	v := w.Current()
	if v == nil {
		return 0
	}
	return w.confirmation.at(v.Catalog.Version)
}
