package lease

import (
	"time"

	"tamarackknot.example/tamarackknot"
)

// fenceAt returns the fencing token of a holder whose record ends at a position.
func fenceAt(end tamarackknot.Position) int64 { return end.Era<<fenceEraBits + end.Offset }

// RestoreAge returns how long ago the store was restored from an older copy, as
// far as this host or the holder of the lease knows. restored is false if neither
// knows of a recent restore, and known is false before the first read of the
// lease.
func (e *Elector) RestoreAge() (age time.Duration, restored, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.Clock() - e.restoredAt, e.wasRestored, e.watched
}

// observeEra updates when the store was restored, from the era in which the
// stream was read and the newest record.
func (e *Elector) observeEra(newest *record, era int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Clock()
	if e.watched && era > e.era || !e.watched && e.impliesRestore(newest, era) {
		e.wasRestored, e.restoredAt = true, now
		e.cfg.Logger.Info("lease read after a restore of the store", "eraBefore", e.era, "era", era)
	} else if !e.watched && newest != nil && newest.RestoredMs > 0 {
		e.wasRestored, e.restoredAt = true, now-time.Duration(newest.RestoredMs)*time.Millisecond
	}
	e.watched, e.era = true, max(e.era, era)
}

// impliesRestore reports whether the newest record shows that the store was restored
// and nobody has taken the lease since. A system that does not start for the
// first time has had a holder.
func (e *Elector) impliesRestore(newest *record, era int64) bool {
	if newest == nil {
		return era > 0 && (!e.cfg.FirstStart || e.cfg.Clock()-e.startedAt > firstStartTime)
	}
	return newest.Era < era
}

// mayContinue reports whether this holder may renew the lease after the newest
// record, read in the given era: the record is its own, or it is of an earlier
// era and no other host can have taken the lease since, because this holder's
// lease is still valid and other hosts wait longer than that after a restore.
func (e *Elector) mayContinue(newest *record, era int64) bool {
	if newest != nil && newest.Era == era {
		return newest.Holder == e.cfg.Host && newest.Incarnation == e.cfg.Incarnation
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held && e.valid()
}
