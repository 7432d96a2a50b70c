package membership

import (
	"sync/atomic"
	"time"

	"tamarackknot.example/tamarackknot"
)

// staleAfter is how long a host may serve without contact to the log or to a
// peer that is at least as up to date.
const staleAfter = 10 * time.Second

// GateStatus says whether this host may serve requests that depend on current
// state.
type GateStatus int32

// The gate is stale until the state is complete and whenever it may be
// outdated, and draining from the call of Leave on.
const (
	GateStale GateStatus = iota
	GateReady
	GateDraining
)

// String returns the name of the status.
func (s GateStatus) String() string {
	switch s {
	case GateReady:
		return "ready"
	case GateDraining:
		return "draining"
	default:
		return "stale"
	}
}

// gate holds the freshness of this host. The deadline is checked at each call,
// so that a process that was paused finds itself stale before its next round.
type gate struct {
	base     time.Time
	complete atomic.Bool
	alone    atomic.Bool  // no other entry host is known
	until    atomic.Int64 // nanoseconds after base

	// The fields below are guarded by Membership.mu.
	journal     tamarackknot.JournalStatus
	peerContact time.Time
	head        tamarackknot.Offset // newest offset that any host has applied
	// target is an offset that this host has not applied although a peer had
	// at targetAt; 0 if there is none.
	target   tamarackknot.Offset
	targetAt time.Time
}

func (g *gate) init(now time.Time) { g.base = now }

func (g *gate) status(now time.Time) GateStatus {
	if !g.complete.Load() {
		return GateStale
	}
	if !g.alone.Load() && now.Sub(g.base) > time.Duration(g.until.Load()) {
		return GateStale
	}
	return GateReady
}

// refresh takes in the journal's status and computes the deadline.
func (g *gate) refresh(now time.Time, js tamarackknot.JournalStatus, alone bool) {
	g.journal = js
	g.head = max(g.head, js.Applied)
	if js.Applied >= g.target {
		g.target = 0
		if g.head > js.Applied {
			g.target, g.targetAt = g.head, now
		}
	}
	// A host that stays behind an offset known from peers is not kept fresh by
	// contact with hosts that are behind as well.
	contact := g.peerContact
	if g.target > 0 && g.targetAt.Before(contact) {
		contact = g.targetAt
	}
	if js.LogContact.After(contact) {
		contact = js.LogContact
	}
	g.until.Store(int64(contact.Add(staleAfter).Sub(g.base)))
	g.alone.Store(alone)
	g.complete.Store(js.Ready)
}

// heard notes a sign of life, sent at the time at, of a host that has applied
// an offset and considers itself current or not.
func (g *gate) heard(at time.Time, applied tamarackknot.Offset, current bool) {
	g.head = max(g.head, applied)
	if current && applied >= g.journal.Applied && at.After(g.peerContact) {
		g.peerContact = at
	}
}

// Gate returns the freshness of this host for the request path. It takes no
// lock.
func (m *Membership) Gate() GateStatus {
	if m.leaving.Load() {
		return GateDraining
	}
	return m.gate.status(time.Now())
}
