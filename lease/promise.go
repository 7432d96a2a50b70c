package lease

import (
	"time"

	"tamarackknot.example/tamarackknot"
)

// Extend records that all other registered hosts have acknowledged messages that
// this holder sent at or after acknowledgedAt, and that the list of these hosts
// was read at hostsReadAt, both on Clock.
func (e *Elector) Extend(acknowledgedAt, hostsReadAt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held {
		e.acknowledgedAt, e.hostsReadAt = acknowledgedAt, hostsReadAt
	}
}

// Promise reports whether this host may acknowledge a message of another holder
// that it received at a time on Clock. If so, it sends no orders until the
// holder's lease, as far as it rests on the message, and the gap have passed.
func (e *Elector) Promise(receivedAt time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held && e.valid() {
		return false
	}
	e.promised, e.promisedAt = true, max(e.promisedAt, receivedAt)
	if e.held {
		e.keepPromise()
	}
	return true
}

// keepPromise makes this holder wait until an earlier one can have sent its last
// order because of the last promise, and for the gap. e.mu is held.
func (e *Elector) keepPromise() {
	until := e.promisedAt + promiseTime
	e.lastOrderAt = max(e.lastOrderAt, until)
	e.ordersFrom = max(e.ordersFrom, until+e.firstOrderGap(0))
}

// holderMayOrder reports whether an earlier holder may still order because it
// relies on promises. One that has released the lease or ran on this host has
// stopped, unless the record was read in a later era and may not be the last one.
func (e *Elector) holderMayOrder(newest *record, era int64) bool {
	_, restored, _ := e.RestoreAge()
	switch {
	case e.cfg.FencingEnforced || e.cfg.Registration == nil:
		return false
	case newest == nil:
		return restored
	case newest.Era < era:
		return true
	default:
		return !newest.Released && newest.Holder != e.cfg.Host
	}
}

// promiseGap returns how long after now the holder of the newest record may still
// order because it relies on promises, plus the gap: promises that this host gave,
// those of an earlier process of it, or none if the holder does not know this
// host.
func (e *Elector) promiseGap(newest *record, now time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	registration := e.cfg.Registration()
	until := e.startedAt + promiseTime
	if e.promised {
		until = max(until, e.promisedAt+promiseTime)
	}
	if newest == nil || !registration.KnownAt(tamarackknot.Position{Era: newest.HostsEra, Offset: newest.HostsEnd}) {
		registeredAt := now
		if registration.Registered {
			registeredAt = registration.At
		}
		until = max(until, registeredAt+maxPromised)
	}
	return until + e.firstOrderGap(0) - now
}
