package dispatch

import "time"

// EndpointLoad is what runs at an endpoint: the requests of this host and, as the planner said
// last, those of others, and the tokens of this host's prompts that are not yet read.
type EndpointLoad struct {
	Own, Others  int
	PromptTokens float64
}

// observation is what a request contributes to the estimate of its endpoint's start; it is
// empty if nothing is learned from the request.
type observation struct {
	estimate *estimate
	baseline *baseline
	sizes
	level  int     // of load
	stream uint64  // number of the stream
	ahead  float64 // prompt tokens that were to be read before
	// gap is the objective for the gap between events, in seconds; 0 if there is none.
	gap        float64
	reading    bool      // the first event of the stream has not come
	unsized    bool      // counts as such
	receivedAt time.Time // last event
	awaiting   bool      // the next event is awaited, since awaitedAt
	awaitedAt  time.Time
	frozen     time.Duration // of the host before awaitedAt
	firstAt    time.Time
}

// observe begins the observation of a request that was given a place. d.mu is held.
func (d *Dispatcher) observe(g *Grant, e *endpoint, c choice) {
	s := &e.estimate
	g.Forecast, _ = e.forecast(&c)
	g.Forecast.EndpointLoad = EndpointLoad{Own: e.own, Others: e.others, PromptTokens: s.prompts}
	if !d.viewedAt.IsZero() {
		g.Forecast.ViewAge = c.now.Sub(d.viewedAt)
	}
	if !s.observedAt.IsZero() {
		g.Forecast.ObservedAge = c.now.Sub(s.observedAt)
	}
	if c.baseline == d.prior {
		c.baseline = newBaseline()
		d.baselines[target{g.req.Service, g.req.Model}] = c.baseline
	}
	d.streams++
	g.observation = observation{
		estimate: s, baseline: c.baseline, sizes: c.sizes, stream: d.streams, ahead: s.prompts, gap: c.gap, reading: g.req.Stream,
		level: loadLevel(e.own+e.others, e.slots),
	}
	if c.prompt == 0 || !g.req.Stream {
		g.observation.unsized = true
		s.unsized++
	}
	if g.req.Stream {
		if s.reading == 0 {
			s.readingSince = c.now
		}
		s.reading++
		s.prompts += c.prompt
		s.pieces += c.piece
	}
	s.held += c.held
	if s.recovering(c.now) && s.trial == 0 {
		s.trial = d.streams
	}
	c.recordRequest(c.now)
	if c.held > 0 {
		c.recordSize(c.held)
	}
}

// Received records that an event of the answer has come from the endpoint, and returns what
// runs there. The write of the event to the caller follows, then Started.
func (g *Grant) Received(now time.Time) EndpointLoad {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	return g.received(now)
}

// received is Received with d.mu held.
func (g *Grant) received(now time.Time) EndpointLoad {
	var load EndpointLoad
	e := g.d.endpoints[g.Endpoint.ID]
	if e != nil {
		load = EndpointLoad{Own: e.own, Others: e.others, PromptTokens: e.estimate.prompts}
	}
	o := &g.observation
	if o.estimate == nil {
		return load
	}
	s := o.estimate
	s.observedAt = now
	if e != nil && s == &e.estimate {
		o.level = loadLevel(e.own+e.others, e.slots)
	}
	frozen := g.d.freezes.now(now)
	g.d.freezes.event(now)
	if o.reading {
		o.recordFirst(now.Sub(g.at).Seconds(), now)
		o.receivedAt = now
		return load
	}
	if o.awaiting {
		o.recordGap(frozen, now)
		g.endAwait(now)
	}
	o.receivedAt = now
	s.quietSince, s.quietFrozen = now, frozen
	return load
}

// recordFirst learns from the first event.
func (o *observation) recordFirst(took float64, now time.Time) {
	tokens := o.ahead + o.prompt
	if o.prompt > 0 {
		o.estimate.first.record(took/max(o.baseline.firstTime(tokens), 1e-3), firstWeight, now)
		o.baseline.recordFirst(tokens, took)
	}
	o.estimate.readingSince, o.firstAt = now, now
	o.endReading()
}

// recordGap learns from the gap before an event.
func (o *observation) recordGap(frozen time.Duration, now time.Time) {
	s := o.estimate
	waited, gap := now.Sub(o.awaitedAt), now.Sub(o.receivedAt)
	if float64(gap-waited) < smoothWrite*float64(gap) {
		s.steps[o.level].record(o.baseline.recordStep(o.level, gap.Seconds()), stepWeight, now)
	}
	s.record(o.stream, (waited - (frozen - o.frozen)).Seconds(), o.gap, now)
	if s.trial == o.stream && now.Sub(o.firstAt) >= trialTime {
		s.recovered()
	}
}

// endReading ends the time in which the prompt is read.
func (o *observation) endReading() {
	s := o.estimate
	if o.unsized {
		o.unsized = false
		s.unsized--
	}
	if !o.reading {
		return
	}
	o.reading = false
	s.reading--
	s.prompts -= o.prompt
	s.pieces -= o.piece
	if s.reading == 0 {
		// Rounding errors don't add up.
		s.prompts, s.pieces = 0, 0
	}
}

// beginAwait records that the host has written an event and waits for the next one.
func (g *Grant) beginAwait(now time.Time) {
	o := &g.observation
	if o.estimate == nil || o.awaiting || o.reading {
		return
	}
	s := o.estimate
	o.awaiting, o.awaitedAt, o.frozen = true, now, g.d.freezes.now(now)
	if s.awaiting == 0 {
		s.quietSince, s.quietFrozen = now, o.frozen
		g.d.freezes.await(1, now)
	}
	s.awaiting++
}

func (g *Grant) endAwait(now time.Time) {
	o := &g.observation
	if !o.awaiting {
		return
	}
	o.awaiting = false
	if o.estimate.awaiting--; o.estimate.awaiting == 0 {
		g.d.freezes.await(-1, now)
	}
}

// endObservation ends the observation with the result of the attempt. d.mu is held.
func (g *Grant) endObservation(r Result, now time.Time) {
	o := &g.observation
	if o.estimate == nil {
		return
	}
	s := o.estimate
	g.endAwait(now)
	o.endReading()
	if s.held -= o.held; s.held < 1 {
		s.held = 0
	}
	if s.trial == o.stream {
		s.trial = 0
		if r == ResultAnswered {
			s.recovered()
		}
	}
	o.estimate = nil
}
