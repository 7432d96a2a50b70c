package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// addressTTL is how long a caller may use an address without asking again.
	addressTTL = 10 * time.Second
	// maxHeartbeatAge is the maximum age of the newest heartbeat of a member
	// whose address is returned. It is below suspectAfter to allow for the
	// rounding of heartbeat numbers and clock drift, so that no answer names a
	// host later than suspectAfter after its last heartbeat as a serving host.
	maxHeartbeatAge = suspectAfter - 100*time.Millisecond
)

// Address is the address of an entry host that a caller may use until
// KeepUntil.
type Address struct {
	Host          string
	Address       string // IP:port
	FailureDomain string
	// KeepUntil is the deadline for using the address without asking again.
	KeepUntil time.Time
}

// Addresses returns the entry hosts for a caller in order of preference: hosts
// in failureDomain first, each group in rendezvous-hash order, which is stable
// per caller and spreads the callers over the hosts. The list is empty only if
// this host is not ready and knows no host that is.
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

// eligible reports whether callers may be given the address of a member.
func (m *Membership) eligible(mb *member, now time.Time) bool {
	if mb == m.self {
		return !m.leaving.Load() && m.gate.status(now) == GateReady
	}
	return mb.responsive() && mb.state == stateAlive && !mb.listLeaving && mb.host.Address != "" &&
		now.Sub(mb.earliestSendTime()) <= maxHeartbeatAge
}

// Leave removes this host from address answers, announces this to the other
// hosts and returns once every answer that names it has expired. It waits for
// suspectAfter + addressTTL even if no other host can be reached: a host that
// misses the announcement names this one for up to suspectAfter after the last
// heartbeat of this one that said alive, and such answers are valid for
// addressTTL. If ctx ends first, Leave returns its error.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving.Store(true)
	now := time.Now()
	until := now.Add(addressTTL + suspectAfter)
	out := m.announcementMessages(now)
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

// SetIdle announces to the other hosts that this leaving process has no order
// outstanding and makes no further proposals.
func (m *Membership) SetIdle() {
	m.mu.Lock()
	m.idle = true
	out := m.announcementMessages(time.Now())
	m.mu.Unlock()
	m.send(out)
}

// announcementMessages returns messages with this host's own state to up to
// leaveFanOut members that are not dead.
func (m *Membership) announcementMessages(now time.Time) []outgoing {
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
