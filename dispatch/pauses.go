package dispatch

import "time"

const (
	// stalledCost is the number of requests that are late for certain at an endpoint that
	// stalls: the new one, and one of those that get their events late after it.
	stalledCost = 2.0
	// stallWindow is the time within which two streams of an endpoint pause if it is the
	// endpoint that stalls. All streams of an engine pause at once, for up to 1.7 s.
	stallWindow = 3 * time.Second
	// recoveryPause is how long after a stall the endpoint gets a request as a trial; it doubles
	// with each failed trial up to maxRecoveryDoublings times.
	recoveryPause        = time.Second
	maxRecoveryDoublings = 2
	// trialTime is the time without a pause after the first event of the trial that shows that
	// the endpoint has recovered. Prompts that are read at once take that long.
	trialTime = 500 * time.Millisecond
	// stallMemory is how long after its last pause an endpoint counts as stalled at most.
	stallMemory = 10 * time.Second
	// freezeTime is the shortest time for which no event has come from any of
	// freezeEndpoints endpoints that makes it a pause of this host, whose processor is
	// throttled for up to a tenth of a second at a time.
	freezeTime      = 150 * time.Millisecond
	freezeEndpoints = 3
)

// pauses is what is known of the pauses of an endpoint's streams.
type pauses struct {
	// paused counts pauses and steady the seconds of streams without one; both halve in
	// pauseHalfLife. at is when they were last updated.
	paused, steady float64
	at             time.Time
	// pausedAt and pausedStream are the last pause and its stream.
	pausedAt     time.Time
	pausedStream uint64
	// recoverAt is when the endpoint is tried after a stall; zero unless it has stalled.
	recoverAt time.Time
	stalls    int    // failed trials
	trial     uint64 // stream that is the trial; 0 if there is none
}

// age brings the counts up to date.
func (p *pauses) age(now time.Time) {
	if p.paused != 0 || p.steady != 0 {
		left := halved(now.Sub(p.at), pauseHalfLife)
		p.paused, p.steady = p.paused*left, p.steady*left
	}
	p.at = now
}

// chance is the chance that a stream pauses, by the rule of succession.
func (p *pauses) chance(now time.Time) float64 {
	if p.paused == 0 {
		return 0
	}
	left := halved(now.Sub(p.at), pauseHalfLife)
	return p.paused * left / (1 + (p.paused+p.steady)*left)
}

// record records that an event of a stream has come after a gap, in seconds; limit is the
// objective for it.
func (p *pauses) record(stream uint64, gap, limit float64, now time.Time) {
	p.age(now)
	if limit <= 0 || gap <= limit {
		p.steady += gap
		return
	}
	p.paused++
	again := p.trial == stream && p.trial != 0
	if again || p.pausedStream != stream && now.Sub(p.pausedAt) < stallWindow {
		p.stall(now)
	}
	p.pausedAt, p.pausedStream = now, stream
}

// stall records that the endpoint stalls.
func (p *pauses) stall(now time.Time) {
	if p.trial != 0 {
		p.stalls = min(p.stalls+1, maxRecoveryDoublings)
	}
	p.recoverAt, p.trial = now.Add(recoveryPause<<p.stalls), 0
}

// recovered records that the trial has shown that the endpoint no longer stalls.
func (p *pauses) recovered() { *p = pauses{steady: p.steady, at: p.at} }

// recovering reports whether the endpoint has stalled and not yet shown that it no longer does.
func (p *pauses) recovering(now time.Time) bool {
	return !p.recoverAt.IsZero() && now.Sub(p.pausedAt) < stallMemory
}

// quiet returns for how long, in seconds, no event of a stream has come that is awaited.
func (s *estimate) quiet(now time.Time, frozen time.Duration) float64 {
	if s.awaiting == 0 {
		return 0
	}
	return (now.Sub(s.quietSince) - (frozen - s.quietFrozen)).Seconds()
}

// stalled reports whether the endpoint should get no request: it stalls now, or it has stalled
// and is not due for a trial.
func (s *estimate) stalled(c *choice) bool {
	if c.gap > 0 && s.quiet(c.now, c.frozen) > c.gap {
		return true
	}
	return s.recovering(c.now) && (s.trial != 0 || c.now.Before(s.recoverAt))
}

// freezes measures for how long this host itself has stood still: no event has come from any
// endpoint although several were to send one.
type freezes struct {
	awaited int           // endpoints with streams whose next event is awaited
	since   time.Time     // of the last event, or since when freezeEndpoints are awaited
	total   time.Duration // of the times that have ended
}

// now returns the total with the time that may still go on.
func (f *freezes) now(now time.Time) time.Duration {
	if quiet := now.Sub(f.since); f.awaited >= freezeEndpoints && quiet >= freezeTime {
		return f.total + quiet
	}
	return f.total
}

// event records an event from any endpoint.
func (f *freezes) event(now time.Time) { f.total, f.since = f.now(now), now }

// await records that one endpoint more, or less, is awaited.
func (f *freezes) await(endpoints int, now time.Time) {
	if f.awaited += endpoints; f.awaited == freezeEndpoints && endpoints > 0 {
		f.since = now
	}
}
