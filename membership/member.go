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

	// origin estimates when the incarnation started by this host's clock, so
	// that origin + beat is when the newest heartbeat was sent. A message that
	// was delayed on its way therefore does not count as a new sign of life.
	origin   time.Time
	originAt time.Time
	// lateSince is since when heartbeats came late without exception.
	lateSince time.Time

	// watchedSince is when this host began to watch the member; zero if it
	// does not.
	watchedSince time.Time

	// sends is how often the newest change is still to be sent; changed orders
	// changes by age.
	sends     int
	changed   uint64
	changedAt time.Time

	listed      bool
	everListed  bool
	listLeaving bool
	missedPolls int
	firstSeen   time.Time
	// goneAt is when the host list was confirmed to have dropped the host;
	// processes up to goneIncarnation ended by then.
	goneAt          time.Time
	goneIncarnation uuid.UUID
}

const (
	// originDrift lets the estimate of a member's start follow clocks that run
	// at slightly different speeds (quartz clocks differ by less than 0.02%).
	originDrift = 0.001
	// lateLimit and lateRebase: heartbeats that are all late by lateLimit for
	// lateRebase are not held up; the member's clock stood still, as it does
	// while a virtual machine is suspended.
	lateLimit  = time.Second
	lateRebase = 10 * time.Second
)

// known reports whether the member was ever heard of by gossip.
func (m *member) known() bool { return m.incarnation != uuid.Nil }

// responsive reports whether the member is known and no watcher misses it.
func (m *member) responsive() bool { return m.known() && m.fault == faultNone }

// heardAt is when the newest heartbeat was sent, by this host's clock.
func (m *member) heardAt() time.Time {
	if !m.known() {
		return m.firstSeen
	}
	return m.origin.Add(time.Duration(m.beat) * time.Millisecond)
}

// observe refines the start estimate with a new heartbeat that was sent age
// ago.
func (m *member) observe(now time.Time, beat uint64, age time.Duration, direct bool) {
	sample := now.Add(-age - time.Duration(beat)*time.Millisecond)
	if m.origin.IsZero() {
		m.origin, m.originAt = sample, now
		return
	}
	m.origin = m.origin.Add(time.Duration(float64(now.Sub(m.originAt)) * originDrift))
	m.originAt = now
	if sample.Before(m.origin) {
		m.origin = sample
	}
	if !direct {
		return
	}
	switch {
	case sample.Sub(m.origin) < lateLimit:
		m.lateSince = time.Time{}
	case m.lateSince.IsZero():
		m.lateSince = now
	case now.Sub(m.lateSince) >= lateRebase:
		m.origin, m.lateSince = sample, time.Time{}
	}
}

// restart resets what belongs to the previous incarnation.
func (m *member) restart(incarnation uuid.UUID, now time.Time) {
	m.incarnation, m.incarnationSince = incarnation, now
	m.standing, m.idleSince = standingAlive, time.Time{}
	m.fault, m.faultSince = faultNone, time.Time{}
	m.beat, m.applied, m.configOffset = 0, 0, 0
	m.origin, m.originAt, m.lateSince = time.Time{}, time.Time{}, time.Time{}
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
		AgeMS:        milliseconds(now.Sub(m.heardAt())),
		Applied:      m.applied,
		ConfigOffset: m.configOffset,
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
