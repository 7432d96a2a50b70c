package membership

import (
	"bytes"
	"time"

	"github.com/google/uuid"

	"tamarackknot.example/tamarackknot"
)

// member is the state kept per entry host. It is guarded by Membership.mu.
type member struct {
	host tamarackknot.Host
	hash uint64 // position on the ring

	// incarnation is uuid.Nil until the host was heard of by gossip.
	incarnation uuid.UUID
	// incarnationSince is when this incarnation was first heard of.
	incarnationSince time.Time
	standing         standing
	idleSince        time.Time
	fault            fault
	faultSince       time.Time
	beat             uint64
	applied          tamarackknot.Offset
	configOffset     tamarackknot.Offset

	// The incarnation started between earliest and latest by this host's clock.
	// Messages may be held up anywhere, so only an answer to a question or the
	// word of a host with such a bound raises earliest; it is zero without
	// one. Any message lowers latest. earliest + beat is then certainly not
	// later than when the newest heartbeat was sent.
	earliest, latest time.Time
	boundsAt         time.Time
	// directAt is when a message of the member itself last arrived.
	directAt time.Time

	// watchedSince is when this host began to watch the member; zero if it
	// does not.
	watchedSince time.Time
	// askedAt is when this host first asked for the member since it last heard
	// of it.
	askedAt time.Time

	// sends is how often the newest change is still to be sent; changed orders
	// changes by age.
	sends     int
	changed   uint64
	changedAt time.Time

	listed      bool
	listLeaving bool
	missedPolls int
	firstSeen   time.Time
	// goneAt is when the host list was confirmed to have dropped the host;
	// processes up to goneIncarnation ended by then.
	goneAt          time.Time
	goneIncarnation uuid.UUID
}

const (
	// clockDrift widens the bounds, because the clocks of two hosts run at
	// slightly different speeds. Quartz clocks differ by less than 0.02%.
	clockDrift = 0.0005
	// maxUncertainty is the difference of the bounds from which on they are
	// measured again.
	maxUncertainty = 500 * time.Millisecond
)

// known reports whether the member was ever heard of by gossip.
func (m *member) known() bool { return m.incarnation != uuid.Nil }

// responsive reports whether the member is known and no watcher misses it.
func (m *member) responsive() bool { return m.known() && m.fault == faultNone }

// heardAt is the latest time at which the newest heartbeat may have been sent.
func (m *member) heardAt() time.Time {
	if !m.known() {
		return m.firstSeen
	}
	return m.latest.Add(m.uptime())
}

// aliveAt is a time at which the member certainly was alive; zero if there is
// none.
func (m *member) aliveAt() time.Time {
	if m.earliest.IsZero() {
		return time.Time{}
	}
	return m.earliest.Add(m.uptime())
}

func (m *member) uptime() time.Duration { return time.Duration(m.beat) * time.Microsecond }

// uncertain reports whether the bounds of a member that this host hears
// directly are to be measured.
func (m *member) uncertain(now time.Time) bool {
	return m.responsive() && now.Sub(m.directAt) < suspectAfter &&
		(m.earliest.IsZero() || m.latest.Sub(m.earliest) > maxUncertainty)
}

// widen lets the bounds drift apart with time.
func (m *member) widen(now time.Time) {
	d := time.Duration(float64(now.Sub(m.boundsAt)) * clockDrift)
	m.boundsAt = now
	m.latest = m.latest.Add(d)
	if !m.earliest.IsZero() {
		m.earliest = m.earliest.Add(-d)
	}
}

// observe refines the bounds with the newest heartbeat, which was sent after
// the time after (zero: not known) and arrived now.
func (m *member) observe(now, after time.Time, direct bool) {
	sample := now.Add(-m.uptime())
	if m.latest.IsZero() {
		m.latest, m.boundsAt = sample, now
	}
	m.widen(now)
	if sample.Before(m.latest) {
		m.latest = sample
	}
	if direct {
		m.directAt = now
	}
	if after.IsZero() {
		return
	}
	if bound := after.Add(-m.uptime()); bound.After(m.earliest) {
		m.earliest = bound
	}
	// The member's clock stood still if its bounds contradict each other, as
	// it does while a virtual machine is suspended.
	if m.earliest.After(m.latest) {
		m.latest = sample
	}
}

// restart resets what belongs to the previous incarnation.
func (m *member) restart(incarnation uuid.UUID, now time.Time) {
	m.incarnation, m.incarnationSince = incarnation, now
	m.standing, m.idleSince = standingAlive, time.Time{}
	m.fault, m.faultSince = faultNone, time.Time{}
	m.beat, m.applied, m.configOffset = 0, 0, 0
	m.earliest, m.latest, m.boundsAt = time.Time{}, time.Time{}, time.Time{}
	m.directAt, m.askedAt = time.Time{}, time.Time{}
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
	case m.standing >= standingLeaving:
		return tamarackknot.MemberLeaving
	case m.standing == standingStale:
		return tamarackknot.MemberStale
	default:
		return tamarackknot.MemberAlive
	}
}

func (m *member) view(now time.Time) tamarackknot.Member {
	v := tamarackknot.Member{
		Host:         m.host,
		Status:       m.status(now),
		Applied:      m.applied,
		ConfigOffset: m.configOffset,
		Idle:         m.standing == standingIdle,
	}
	if m.known() {
		v.Incarnation = m.incarnation.String()
	}
	return v
}

func (m *member) update(now time.Time, withDetails bool) update {
	u := update{
		Host:         m.host.Name,
		Incarnation:  m.incarnation,
		Standing:     m.standing,
		Fault:        m.fault,
		Beat:         m.beat,
		AgeMS:        ageUnknown,
		Applied:      m.applied,
		ConfigOffset: m.configOffset,
	}
	if at := m.aliveAt(); !at.IsZero() {
		// Rounded up, because receivers rely on it as a bound.
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

func newer(a, b uuid.UUID) bool { return bytes.Compare(a[:], b[:]) > 0 }
