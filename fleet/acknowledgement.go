package fleet

import "time"

// maxSends limits the messages to a host that may still be acknowledged.
const maxSends = 32

// sentMessage is a message to a host and when it was sent.
type sentMessage struct {
	sequence int64
	at       time.Duration
}

// acknowledge records that the host has received all messages up to a sequence.
func (s *hostState) acknowledge(sequence int64) {
	for len(s.sends) > 0 && s.sends[0].sequence <= sequence {
		s.acknowledgedAt = s.sends[0].at
		s.sends = s.sends[1:]
	}
}

// reportAcknowledged calls OnAcknowledged if all other registered hosts have
// acknowledged a message under the fencing token.
func (p *Publisher) reportAcknowledged(fence int64) {
	if p.cfg.OnAcknowledged == nil {
		return
	}
	registered := p.cfg.Hosts()
	earliest := p.cfg.Clock()
	p.mu.Lock()
	for _, host := range registered {
		if host.Name == p.cfg.Self.Name {
			continue
		}
		s := p.hosts[host.Name]
		if s == nil || s.fence != fence || s.acknowledgedAt == 0 {
			p.mu.Unlock()
			return
		}
		earliest = min(earliest, s.acknowledgedAt)
	}
	p.mu.Unlock()
	p.cfg.OnAcknowledged(earliest)
}
