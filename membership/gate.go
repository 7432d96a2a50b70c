package membership

import (
	"sync/atomic"
	"time"

	"tamarackknot.example/tamarackknot"
)

// staleAfter is how long a host may serve without contact to the log or to a
// current peer that has applied at least as much.
const staleAfter = 10 * time.Second

// GateStatus says whether this host may serve requests that depend on current
// state.
type GateStatus int32

// A host is stale until its state is complete and whenever its state may be
// outdated. It is draining once Leave was called.
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

// gate decides whether this host's state is current enough to serve requests.
// Each call of status checks the deadline, so that a process that was paused is
// stale even before its next gossip round.
type gate struct {
	base       time.Time
	complete   atomic.Bool
	noPeers    atomic.Bool  // no other entry host is listed or responsive
	freshUntil atomic.Int64 // deadline in nanoseconds after base

	// The fields below are guarded by Membership.mu.
	journal     tamarackknot.JournalStatus
	peerContact time.Time
	head        tamarackknot.Offset // newest offset that any host is known to have applied
	// missingOffset is an offset that a peer had applied at missingSince and
	// that this host has not applied yet; 0 if there is none.
	missingOffset tamarackknot.Offset
	missingSince  time.Time
}

func (g *gate) init(now time.Time) { g.base = now }

func (g *gate) status(now time.Time) GateStatus {
	if !g.complete.Load() {
		return GateStale
	}
	if !g.noPeers.Load() && now.Sub(g.base) > time.Duration(g.freshUntil.Load()) {
		return GateStale
	}
	return GateReady
}

// refresh stores the status of the journal and computes the deadline.
func (g *gate) refresh(now time.Time, js tamarackknot.JournalStatus, noPeers bool) {
	g.journal = js
	g.head = max(g.head, js.Applied)
	if js.Applied >= g.missingOffset {
		g.missingOffset = 0
		if g.head > js.Applied {
			g.missingOffset, g.missingSince = g.head, now
		}
	}
	// While this host lacks an offset that a peer has applied, contact with
	// peers that lack it as well must not extend the deadline.
	contact := g.peerContact
	if g.missingOffset > 0 && g.missingSince.Before(contact) {
		contact = g.missingSince
	}
	if js.LogContact.After(contact) {
		contact = js.LogContact
	}
	g.freshUntil.Store(int64(contact.Add(staleAfter).Sub(g.base)))
	g.noPeers.Store(noPeers)
	g.complete.Store(js.Ready)
}

// observePeer records a heartbeat of a peer that was sent at the given time;
// applied is its applied offset, and current says that it does not consider
// itself stale.
func (g *gate) observePeer(at time.Time, applied tamarackknot.Offset, current bool) {
	g.head = max(g.head, applied)
	if current && applied >= g.journal.Applied && at.After(g.peerContact) {
		g.peerContact = at
	}
}

// Gate returns whether this host may serve requests. It takes no lock, because
// the request path calls it.
func (m *Membership) Gate() GateStatus {
	if m.leaving.Load() {
		return GateDraining
	}
	return m.gate.status(time.Now())
}
