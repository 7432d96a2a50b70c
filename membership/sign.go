package membership

import (
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// signFanOut limits the messages that are sent at once for a new sign: half
	// to hosts in this failure domain and half to others, which forward it.
	signFanOut = 16
	// signSends is the number of later messages in which a host repeats a sign.
	signSends = 9
	// maxKnownSigns limits the number of signs that are kept, maxSignTTL their
	// lifetime.
	maxKnownSigns = 1024
	maxSignTTL    = 10 * time.Minute
)

// knownSign is a sign that is kept until its deadline, so that duplicates are
// recognised.
type knownSign struct {
	sign           tamarackknot.EndpointSign
	remainingSends int
}

// Broadcast sends a sign, which says that an endpoint is leaving or unreachable,
// to the other entry hosts. Expired and duplicate signs are ignored.
func (m *Membership) Broadcast(s tamarackknot.EndpointSign) {
	now := time.Now()
	m.mu.Lock()
	if len(s.Endpoint) > maxNameBytes || len(s.Reason) > maxReasonBytes {
		s.Endpoint, s.Reason = s.Endpoint[:min(len(s.Endpoint), maxNameBytes)], s.Reason[:min(len(s.Reason), maxReasonBytes)]
	}
	id := m.random.Uint64()
	if !s.Until.After(now) || m.hasSign(s) || !m.addSign(id, s) {
		m.mu.Unlock()
		return
	}
	var near, far []*member
	for _, mb := range m.byName {
		switch {
		case mb == m.self || !mb.responsive():
		case mb.host.FailureDomain == m.self.host.FailureDomain:
			near = append(near, mb)
		default:
			far = append(far, mb)
		}
	}
	near, far = m.sample(near, signFanOut), m.sample(far, signFanOut)
	n := min(len(near), max(signFanOut/2, signFanOut-len(far)))
	targets := append(slices.Clone(near[:n]), far[:min(len(far), signFanOut-n)]...)
	out := m.signMessages(targets, []tamarackknot.EndpointSign{s}, []uint64{id}, now)
	m.mu.Unlock()
	m.send(out)
}

// hasSign reports whether a sign with the same endpoint and reason and about
// the same or a later deadline is known.
func (m *Membership) hasSign(s tamarackknot.EndpointSign) bool {
	for _, k := range m.signs {
		if k.sign.Endpoint == s.Endpoint && k.sign.Reason == s.Reason && s.Until.Sub(k.sign.Until) < time.Second {
			return true
		}
	}
	return false
}

// addSign stores a sign for repetition. It returns false if the table is full.
func (m *Membership) addSign(id uint64, s tamarackknot.EndpointSign) bool {
	if len(m.signs) >= maxKnownSigns {
		return false
	}
	m.signs[id] = &knownSign{sign: s, remainingSends: signSends}
	return true
}

func (m *Membership) expireSigns(now time.Time) {
	for id, k := range m.signs {
		if !k.sign.Until.After(now) {
			delete(m.signs, id)
		}
	}
}

// signMessages returns messages that carry signs to members at once. They do
// not count against remainingSends.
func (m *Membership) signMessages(to []*member, signs []tamarackknot.EndpointSign, ids []uint64, now time.Time) []outgoing {
	encoded := make([]sign, 0, len(signs))
	for i, s := range signs {
		encoded = append(encoded, newSign(ids[i], s, now))
	}
	out := make([]outgoing, 0, len(to))
	for _, mb := range to {
		msg := m.newMessage(now, false)
		msg.Signs = encoded
		out = append(out, outgoing{host: mb.host.Name, msg: msg})
	}
	return out
}

// fillSigns adds the signs that are still to be repeated to a message.
func (m *Membership) fillSigns(msg *message, now time.Time) {
	for id, k := range m.signs {
		if len(msg.Signs) >= maxSigns {
			return
		}
		if remaining := k.sign.Until.Sub(now); k.remainingSends > 0 && remaining > 0 {
			k.remainingSends--
			msg.Signs = append(msg.Signs, newSign(id, k.sign, now))
		}
	}
}

func newSign(id uint64, s tamarackknot.EndpointSign, now time.Time) sign {
	return sign{ID: id, Endpoint: s.Endpoint, Reason: s.Reason, LeftMS: s.Until.Sub(now).Milliseconds()}
}

// mergeSigns stores the signs of a message. It returns the new ones and the
// messages that forward them.
func (m *Membership) mergeSigns(signs []sign, from string, now time.Time) ([]tamarackknot.EndpointSign, []outgoing) {
	var fresh []tamarackknot.EndpointSign
	var ids []uint64
	for _, s := range signs {
		remaining := min(time.Duration(s.LeftMS)*time.Millisecond, maxSignTTL)
		if _, ok := m.signs[s.ID]; ok || remaining <= 0 {
			continue
		}
		es := tamarackknot.EndpointSign{Endpoint: s.Endpoint, Reason: s.Reason, Until: now.Add(remaining)}
		if m.addSign(s.ID, es) {
			fresh, ids = append(fresh, es), append(ids, s.ID)
		}
	}
	if len(fresh) == 0 {
		return nil, nil
	}
	var up []*member
	for _, mb := range m.byName {
		if mb != m.self && mb.responsive() && mb.host.Name != from {
			up = append(up, mb)
		}
	}
	return fresh, m.signMessages(m.sample(up, randomPeers), fresh, ids, now)
}
