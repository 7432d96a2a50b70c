package dispatch

import "time"

// Shutdown says what a host that shuts down still takes on, on whatever way it comes: the
// request of a caller or of another host, one that has waited, or a further attempt. Other
// hosts can serve what it doesn't.
type Shutdown struct {
	// AcceptLongUntil is until when a request is taken whose answer may not be complete
	// before End.
	AcceptLongUntil time.Time
	// WaitUntil is until when requests wait for an endpoint.
	WaitUntil time.Time
	// End is when the answers that are not complete are cut.
	End time.Time
}

// admits reports whether a request that is answered by a time, one way or another, may
// still be sent to an endpoint or another host.
func (s *Shutdown) admits(answeredBy, now time.Time) bool {
	return s == nil || now.Before(s.AcceptLongUntil) || !answeredBy.After(s.End)
}

// refusal says that the host shuts down.
func (*Shutdown) refusal(now time.Time) *Refusal {
	return &Refusal{Reason: "the host is leaving", RetryAt: now}
}

// Shutdown makes the Dispatcher take on only what can be answered before the host ends.
func (d *Dispatcher) Shutdown(s Shutdown) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shutdown = &s
}

// Leaving returns a refusal if this host shuts down and a request that is answered by a
// time can't be taken on.
func (d *Dispatcher) Leaving(answeredBy time.Time) *Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving(answeredBy, time.Now())
}

// leaving is Leaving with d.mu held.
func (d *Dispatcher) leaving(answeredBy, now time.Time) *Refusal {
	if d.shutdown.admits(answeredBy, now) {
		return nil
	}
	return d.shutdown.refusal(now)
}
