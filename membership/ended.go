package membership

import (
	"time"

	"github.com/google/uuid"

	"tamarackknot.example/tamarackknot"
)

// unlistedTimeout is how long a host that is not in the host list must be
// silent before its processes count as ended.
const unlistedTimeout = 60 * time.Second

// maxListLag is the assumed upper bound of the lag of the host list.
const maxListLag = unlistedTimeout

// maxQueriedProcesses limits the entries of Membership.firstQueries.
const maxQueriedProcesses = 1024

// Ended reports whether a process is known to have ended, and since when. That
// is the case if one of these holds:
//   - a newer incarnation of its host is known;
//   - its host was removed from the host list and is not responsive;
//   - it announced that it is leaving and has no order outstanding;
//   - its host is not in the host list, and no heartbeat of it arrived for
//     unlistedTimeout while the list was readable.
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
		// Until the member table of a peer was fetched, running hosts may be
		// missing from this host's table.
		if !m.tableFetched && !m.gate.noPeers.Load() {
			return time.Time{}, false
		}
		return m.unlistedEnd(now, m.firstQuery(p, now))
	}
	if newer(mb.incarnation, id) {
		return mb.incarnationSince, true
	}
	if mb == m.self {
		return time.Time{}, false
	}
	if id != mb.incarnation {
		// A process newer than the known incarnation may have just started.
		if mb.listed || !m.tableFetched && !m.gate.noPeers.Load() {
			return time.Time{}, false
		}
		return m.unlistedEnd(now, m.firstQuery(p, now))
	}
	if mb.state == stateIdle {
		return mb.idleSince, true
	}
	if mb.responsive() {
		return time.Time{}, false
	}
	// The list lags, so it may still omit the host because its previous process
	// ended. It is evidence only against a process older than the lag.
	if id == mb.delistedIncarnation && mb.delistedAt.Sub(mb.incarnationSince) >= maxListLag {
		if mb.faultSince.After(mb.delistedAt) {
			return mb.faultSince, true
		}
		return mb.delistedAt, true
	}
	if !mb.listed && mb.fault == faultDead {
		last := mb.latestSendTime()
		if mb.faultSince.After(last) {
			last = mb.faultSince
		}
		return m.unlistedEnd(now, last)
	}
	return time.Time{}, false
}

// firstQuery returns when Ended was first called for a process that this host
// does not know. The timeout starts then, because the process may have started
// just before.
func (m *Membership) firstQuery(p tamarackknot.Process, now time.Time) time.Time {
	if t, ok := m.firstQueries[p]; ok {
		return t
	}
	if len(m.firstQueries) >= maxQueriedProcesses {
		clear(m.firstQueries)
	}
	m.firstQueries[p] = now
	return now
}

// unlistedEnd applies unlistedTimeout to a host that is not in the host list;
// last is the time of its last heartbeat, or of the first query if there was no
// heartbeat. The timeout starts again when the list becomes readable after an
// error.
func (m *Membership) unlistedEnd(now, last time.Time) (time.Time, bool) {
	if m.listReadableSince.IsZero() {
		return time.Time{}, false
	}
	if m.listReadableSince.After(last) {
		last = m.listReadableSince
	}
	since := last.Add(unlistedTimeout)
	if now.Before(since) {
		return time.Time{}, false
	}
	return since, true
}
