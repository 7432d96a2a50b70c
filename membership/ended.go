package membership

import (
	"time"

	"github.com/google/uuid"

	"tamarackknot.example/tamarackknot"
)

// unlistedEndsAfter is how long a host that was never in the host list must be
// unheard of before its processes count as ended.
const unlistedEndsAfter = 60 * time.Second

// listLagLimit is the lag that the host list is assumed not to exceed.
const listLagLimit = unlistedEndsAfter

// maxAsked limits the processes whose first question is remembered.
const maxAsked = 1024

// Ended reports whether a process is known to have ended, and since when: a
// newer incarnation of its host was heard of, its host is gone from the host
// list, it said that it is leaving without an order outstanding, or its host
// has not been listed since the process was first heard of and is unheard of
// for long while the list was readable.
func (m *Membership) Ended(p tamarackknot.Process) (since time.Time, ended bool) {
	id, err := uuid.Parse(p.Incarnation)
	if err != nil {
		return time.Time{}, false
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	mb := m.members[p.Host]
	if mb == nil {
		// Without the member table of a peer, not having heard of a host means
		// little.
		if !m.synced && !m.gate.alone.Load() {
			return time.Time{}, false
		}
		return m.unheard(now, m.firstAsked(p, now))
	}
	if newer(mb.incarnation, id) {
		return mb.incarnationSince, true
	}
	if mb == m.self {
		return time.Time{}, false
	}
	if id != mb.incarnation {
		// A process newer than any heard of may have started just now.
		if mb.listed || !m.synced && !m.gate.alone.Load() {
			return time.Time{}, false
		}
		return m.unheard(now, m.firstAsked(p, now))
	}
	if mb.standing == standingIdle {
		return mb.idleSince, true
	}
	if mb.responsive() {
		return time.Time{}, false
	}
	// The lagging list may still omit the host because of its previous
	// process; it says nothing about a process that is younger than the lag.
	if id == mb.goneIncarnation && mb.goneAt.Sub(mb.incarnationSince) >= listLagLimit {
		if mb.faultSince.After(mb.goneAt) {
			return mb.faultSince, true
		}
		return mb.goneAt, true
	}
	if !mb.listed && mb.fault == faultDead {
		last := mb.heardAt()
		if mb.faultSince.After(last) {
			last = mb.faultSince
		}
		return m.unheard(now, last)
	}
	return time.Time{}, false
}

// firstAsked returns when Ended was first asked about a process. How long this
// host has not heard of a process says nothing about one that started later.
func (m *Membership) firstAsked(p tamarackknot.Process, now time.Time) time.Time {
	if t, ok := m.asked[p]; ok {
		return t
	}
	if len(m.asked) >= maxAsked {
		clear(m.asked)
	}
	m.asked[p] = now
	return now
}

// unheard applies the rule for hosts that were never listed.
func (m *Membership) unheard(now, last time.Time) (time.Time, bool) {
	if m.readableSince.IsZero() {
		return time.Time{}, false
	}
	if m.readableSince.After(last) {
		last = m.readableSince
	}
	since := last.Add(unlistedEndsAfter)
	if now.Before(since) {
		return time.Time{}, false
	}
	return since, true
}
