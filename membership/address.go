package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// addressTTL is how long a caller may use an address answer.
	addressTTL = 10 * time.Second
	// addressFresh is the age up to which a heartbeat makes a member eligible.
	// No answer names a host later than suspectAfter after its last heartbeat
	// as a serving host; the difference covers the rounding of heartbeat
	// numbers and the drift of clocks.
	addressFresh = suspectAfter - 100*time.Millisecond
)

// Address is an entry host that a caller may use.
type Address struct {
	Host          string
	Address       string // IP:port
	FailureDomain string
	// KeepUntil is the deadline for using the address without asking again.
	KeepUntil time.Time
}

// Addresses returns the entry hosts for a caller in order of preference: those
// in failureDomain first, each group in an order that is stable per caller and
// differs between callers. The list is empty only if this host does not serve
// and knows no host that does.
func (m *Membership) Addresses(failureDomain, caller string) []Address {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	type scored struct {
		Address
		other bool
		score uint64
	}
	var found []scored
	for _, mb := range m.byName {
		if !m.eligible(mb, now) {
			continue
		}
		found = append(found, scored{
			Address: Address{
				Host: mb.host.Name, Address: mb.host.Address, FailureDomain: mb.host.FailureDomain,
				KeepUntil: now.Add(addressTTL),
			},
			other: mb.host.FailureDomain != failureDomain,
			score: rendezvous(caller, mb.host.Name),
		})
	}
	slices.SortFunc(found, func(a, b scored) int {
		if a.other != b.other {
			if a.other {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.score, a.score)
	})
	list := make([]Address, 0, len(found))
	for _, s := range found {
		list = append(list, s.Address)
	}
	return list
}

// eligible reports whether a member may be handed out to callers.
func (m *Membership) eligible(mb *member, now time.Time) bool {
	if mb == m.self {
		return !m.leaving.Load() && m.gate.status(now) == GateReady
	}
	return mb.responsive() && mb.standing == standingAlive && !mb.listLeaving && mb.host.Address != "" &&
		now.Sub(mb.aliveAt()) <= addressFresh
}

// Leave takes this host out of address answers, tells the other hosts and
// returns when the last answer that names it must have expired, whether or not
// the others could be reached: a host that does not hear of it stops naming it
// suspectAfter after the last heartbeat that said alive, and answers are valid
// for addressTTL. It returns early with an error if ctx ends.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving.Store(true)
	now := time.Now()
	until := now.Add(addressTTL + suspectAfter)
	out := m.announce(now)
	m.mu.Unlock()
	m.send(out)
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait until address answers expire")
	}
}

// SetIdle tells the other hosts that this leaving process has no order
// outstanding and makes no further proposals.
func (m *Membership) SetIdle() {
	m.mu.Lock()
	m.idle = true
	out := m.announce(time.Now())
	m.mu.Unlock()
	m.send(out)
}

// announce returns this host's state for the other hosts.
func (m *Membership) announce(now time.Time) []outgoing {
	m.refreshSelf(now)
	var up []*member
	for _, mb := range m.byName {
		if mb != m.self && mb.known() && mb.fault != faultDead {
			up = append(up, mb)
		}
	}
	var out []outgoing
	for _, mb := range m.sample(up, leaveFanOut) {
		out = append(out, outgoing{host: mb.host.Name, msg: m.newMessage(now, true)})
	}
	return out
}
