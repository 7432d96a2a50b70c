package membership

import (
	"bytes"
	"time"

	"github.com/google/uuid"

	"tamarackknot.example/tamarackknot"
)

// member is the state of one entry host, this one included. It is guarded by
// Membership.mu.
type member struct {
	host tamarackknot.Host
	hash uint64 // position on the hash ring

	// incarnation is uuid.Nil until gossip about the host arrived.
	incarnation uuid.UUID
	// incarnationSince is when gossip about this incarnation first arrived.
	incarnationSince time.Time
	state            serviceState
	idleSince        time.Time
	fault            fault
	faultSince       time.Time
	heartbeat        uint64
	applied          tamarackknot.Offset
	configOffset     tamarackknot.Offset

	// The incarnation started between earliestStart and latestStart by this
	// host's clock. Any message lowers latestStart. Messages may be delayed
	// arbitrarily, so only the reply to a probe, or an update relayed by a host
	// whose own start has such a bound, raises earliestStart; it is zero
	// without one. The newest heartbeat was sent at earliestStart + heartbeat
	// or later.
	earliestStart, latestStart time.Time
	boundsUpdatedAt            time.Time
	// lastDirectAt is when a message sent by the member itself last arrived.
	lastDirectAt time.Time

	// watchedSince is when this host started to watch the member; zero if it
	// does not watch it.
	watchedSince time.Time
	// firstProbeAt is when this host sent its first probe since the last
	// heartbeat of the member; zero without one.
	firstProbeAt time.Time

	// remainingSends is the number of times the newest change is still to be
	// sent. changeSeq orders changes by age.
	remainingSends int
	changeSeq      uint64
	changedAt      time.Time

	listed      bool
	listLeaving bool
	missedPolls int
	firstSeen   time.Time
	// delistedAt is when the host was confirmed to be removed from the host
	// list. Processes up to delistedIncarnation had ended by then.
	delistedAt          time.Time
	delistedIncarnation uuid.UUID
}

const (
	// clockDrift widens the bounds, because the clocks of two hosts run at
	// slightly different speeds. Quartz clocks differ by less than 0.02%.
	clockDrift = 0.0005
	// maxUncertainty is the difference between the bounds above which the
	// member is probed again.
	maxUncertainty = 500 * time.Millisecond
)

// known reports whether gossip about the member has arrived.
func (m *member) known() bool { return m.incarnation != uuid.Nil }

// responsive reports whether the member is known and neither suspect nor dead.
func (m *member) responsive() bool { return m.known() && m.fault == faultNone }

// latestSendTime is an upper bound of the time at which the newest heartbeat
// was sent. For an unknown member it is the time it was added.
func (m *member) latestSendTime() time.Time {
	if !m.known() {
		return m.firstSeen
	}
	return m.latestStart.Add(m.uptime())
}

// earliestSendTime is a lower bound of the time at which the newest heartbeat
// was sent: the member was alive then or later. It is zero without a bound.
func (m *member) earliestSendTime() time.Time {
	if m.earliestStart.IsZero() {
		return time.Time{}
	}
	return m.earliestStart.Add(m.uptime())
}

// uptime is the member's time since its start at its newest heartbeat, by its
// own clock.
func (m *member) uptime() time.Duration { return time.Duration(m.heartbeat) * time.Microsecond }

// needsBounds reports whether to probe the member for its start time: it sends
// messages to this host, but its bounds are missing or too wide.
func (m *member) needsBounds(now time.Time) bool {
	return m.responsive() && now.Sub(m.lastDirectAt) < suspectAfter &&
		(m.earliestStart.IsZero() || m.latestStart.Sub(m.earliestStart) > maxUncertainty)
}

// applyClockDrift widens the bounds by the clock drift since the last update.
func (m *member) applyClockDrift(now time.Time) {
	d := time.Duration(float64(now.Sub(m.boundsUpdatedAt)) * clockDrift)
	m.boundsUpdatedAt = now
	m.latestStart = m.latestStart.Add(d)
	if !m.earliestStart.IsZero() {
		m.earliestStart = m.earliestStart.Add(-d)
	}
}

// observe narrows the bounds with the newest heartbeat, which arrived now and
// was sent after the time after (zero: unknown). direct says that the member
// sent it itself.
func (m *member) observe(now, after time.Time, direct bool) {
	sample := now.Add(-m.uptime())
	if m.latestStart.IsZero() {
		m.latestStart, m.boundsUpdatedAt = sample, now
	}
	m.applyClockDrift(now)
	if sample.Before(m.latestStart) {
		m.latestStart = sample
	}
	if direct {
		m.lastDirectAt = now
	}
	if after.IsZero() {
		return
	}
	if bound := after.Add(-m.uptime()); bound.After(m.earliestStart) {
		m.earliestStart = bound
	}
	// Contradicting bounds mean that the member's clock stopped for a while, as
	// it does while a virtual machine is suspended.
	if m.earliestStart.After(m.latestStart) {
		m.latestStart = sample
	}
}

// resetIncarnation sets a new incarnation and clears the state of the previous
// one.
func (m *member) resetIncarnation(incarnation uuid.UUID, now time.Time) {
	m.incarnation, m.incarnationSince = incarnation, now
	m.state, m.idleSince = stateAlive, time.Time{}
	m.fault, m.faultSince = faultNone, time.Time{}
	m.heartbeat, m.applied, m.configOffset = 0, 0, 0
	m.earliestStart, m.latestStart, m.boundsUpdatedAt = time.Time{}, time.Time{}, time.Time{}
	m.lastDirectAt, m.firstProbeAt = time.Time{}, time.Time{}
	m.watchedSince = time.Time{}
}

func (m *member) setFault(f fault, now time.Time) {
	m.fault, m.faultSince = f, now
}

func (m *member) status(now time.Time) tamarackknot.MemberStatus {
	switch {
	case !m.known() && now.Sub(m.firstSeen) >= deadAfter, m.fault == faultDead:
		return tamarackknot.MemberDead
	case !m.known(), m.fault == faultSuspect:
		return tamarackknot.MemberSuspect
	case m.state >= stateLeaving:
		return tamarackknot.MemberLeaving
	case m.state == stateStale:
		return tamarackknot.MemberStale
	default:
		return tamarackknot.MemberAlive
	}
}

// view returns the member as users of this package see it.
func (m *member) view(now time.Time) tamarackknot.Member {
	v := tamarackknot.Member{
		Host:         m.host,
		Status:       m.status(now),
		Applied:      m.applied,
		ConfigOffset: m.configOffset,
		Idle:         m.state == stateIdle,
	}
	if m.known() {
		v.Incarnation = m.incarnation.String()
	}
	return v
}

// update returns the member's state for a gossip message, with its addresses if
// withDetails is set and they are known.
func (m *member) update(now time.Time, withDetails bool) update {
	u := update{
		Host:         m.host.Name,
		Incarnation:  m.incarnation,
		Standing:     m.state,
		Fault:        m.fault,
		Beat:         m.heartbeat,
		AgeMS:        ageUnknown,
		Applied:      m.applied,
		ConfigOffset: m.configOffset,
	}
	if at := m.earliestSendTime(); !at.IsZero() {
		// Rounded up, because receivers use it as an upper bound.
		u.AgeMS = max(now.Sub(at).Milliseconds(), 0) + 1
	}
	if withDetails && m.host.PeerAddress != "" {
		u.Details = detailsOf(m.host)
	}
	return u
}

func detailsOf(h tamarackknot.Host) *details {
	return &details{Address: h.Address, PeerAddress: h.PeerAddress, FailureDomain: h.FailureDomain}
}

// newer reports whether incarnation a started after b; UUIDv7s sort by time.
func newer(a, b uuid.UUID) bool { return bytes.Compare(a[:], b[:]) > 0 }
