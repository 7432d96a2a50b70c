package dispatch

import (
	"math"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// pieceTokens is the most that an engine reads of one prompt between two tokens of the
	// requests that it runs.
	pieceTokens = 4096
	// priorTokenTime and priorOverhead, in seconds, are the time to read one token of a prompt
	// and the rest of the time to the first event, until requests have shown others: engines
	// read about 20 tokens a ms. priorWeight is the number of requests that they stand for.
	priorTokenTime = 1.0 / 20_000
	priorOverhead  = 0.03
	priorPrompt    = 2000
	priorWeight    = 4
	// minTokenTime and maxTokenTime bound what is learned, so that callers that misstate the
	// size of their prompts don't make all prompts count for nothing or for too much.
	minTokenTime = 1.0 / 60_000
	maxTokenTime = 1.0 / 7_000
	// maxTokens bounds the size of a request at an engine of unknown memory.
	maxTokens = 128 << 10
	// baselineDecay is the weight that a request loses with each one that follows it.
	baselineDecay = 0.98
	// stepWeight and baselineStepWeight are the weights of one event in the average gap
	// between events of an endpoint and of all. A stream has some hundred events.
	stepWeight         = 0.03
	baselineStepWeight = 0.003
	// firstWeight is the weight of one request in the average of an endpoint's times to the
	// first event, of which a host sees few.
	firstWeight = 0.3
	// minRatio and maxRatio bound one observed ratio, so that one stream decides nothing alone.
	minRatio, maxRatio = 0.5, 4.0
	// ratioHalfLife is the time in which what is known of an endpoint's speed counts half: some
	// endpoints are slow for good, others for some seconds only.
	ratioHalfLife = 15 * time.Second
	// pauseHalfLife is the same for pauses.
	pauseHalfLife = 5 * time.Second
	// sizeWeight is the weight of one request in the average size of requests.
	sizeWeight = 0.05
	// rateHalfLife is the time in which a request counts half in the rate of requests.
	rateHalfLife = 2 * time.Second
	// smoothWrite is the part of the gap between two events that the write of the first one to
	// the caller may take for the gap to be the endpoint's.
	smoothWrite = 0.25
	// Requests for which lateStart of the objective is predicted are in time, those for which
	// lateEnd is are late, and between them the chance rises evenly: the prediction errs by
	// half of the time in either direction.
	lateStart, lateEnd = 0.5, 1.5
	// memoryStart and memoryEnd are the parts of an engine's memory for tokens between which
	// the chance rises that a request is preempted. Requests of other hosts are counted with
	// the average size, so the tokens in use are known to about a tenth.
	memoryStart, memoryEnd = 0.85, 1.1
	// memoryCost is the number of requests that a preemption makes late: the one that loses its
	// place, and at times another whose gap reading it again widens.
	memoryCost = 1.5
)

// loadLevels are the parts of the slots up to which a level of load reaches. Engines that slow
// down do so when nearly full.
var loadLevels = [...]float64{0.5, 0.75, 0.9} //nolint:gochecknoglobals // a constant table

const levelCount = len(loadLevels) + 1

// loadLevel returns the level of load of an endpoint that runs n requests.
func loadLevel(n, slots int) int {
	part := float64(n) / float64(max(slots, 1))
	for i, end := range loadLevels {
		if part < end {
			return i
		}
	}
	return len(loadLevels)
}

// ratio is a moving average of observed times over those of all endpoints. What is known
// tends to 1 with its age.
type ratio struct {
	value float64
	at    time.Time // of the last observation; zero if there is none
}

func (r *ratio) record(observed, weight float64, now time.Time) {
	observed = min(max(observed, minRatio), maxRatio)
	before := r.current(now)
	r.value, r.at = before+weight*(observed-before), now
}

func (r *ratio) current(now time.Time) float64 {
	if r.at.IsZero() {
		return 1
	}
	halfLives := float64(now.Sub(r.at)) / float64(ratioHalfLife)
	return 1 + (r.value-1)/(1+halfLives*halfLives)
}

// baseline is what requests for a model have in common at all endpoints. Times are in seconds.
type baseline struct {
	// Weighted sums over requests: prompt tokens x and time to the first event y.
	n, sx, sy, sxx, sxy float64
	// overhead and tokenTime are the line that fits them.
	overhead, tokenTime float64
	size                float64 // average tokens of a request; 0 if not known
	steps               [levelCount]struct{ gap, n float64 }
	count               float64 // of requests, each with half the weight after rateHalfLife
	countedAt           time.Time
}

func newBaseline() *baseline {
	b := &baseline{overhead: priorOverhead, tokenTime: priorTokenTime}
	b.add(0, priorOverhead, priorWeight)
	b.add(priorPrompt, priorOverhead+priorPrompt*priorTokenTime, priorWeight)
	return b
}

func (b *baseline) add(x, y, weight float64) {
	b.n += weight
	b.sx += weight * x
	b.sy += weight * y
	b.sxx += weight * x * x
	b.sxy += weight * x * y
}

// firstTime returns the usual time to the first event after a number of prompt tokens.
func (b *baseline) firstTime(tokens float64) float64 { return b.overhead + tokens*b.tokenTime }

// recordFirst learns from the time to the first event after a number of prompt tokens.
func (b *baseline) recordFirst(tokens, took float64) {
	usual := b.firstTime(tokens)
	took = min(max(took, usual*minRatio), usual*maxRatio)
	b.n, b.sx, b.sy, b.sxx, b.sxy = b.n*baselineDecay, b.sx*baselineDecay, b.sy*baselineDecay, b.sxx*baselineDecay, b.sxy*baselineDecay
	b.add(tokens, took, 1)
	if spread := b.n*b.sxx - b.sx*b.sx; spread > b.n*b.n {
		b.tokenTime = min(max((b.n*b.sxy-b.sx*b.sy)/spread, minTokenTime), maxTokenTime)
	}
	b.overhead = max((b.sy-b.tokenTime*b.sx)/b.n, 0)
}

// recordStep learns from a gap between two events and returns the ratio to the usual gap.
func (b *baseline) recordStep(level int, gap float64) float64 {
	s := &b.steps[level]
	if s.n == 0 {
		s.gap = gap
	}
	s.n++
	usual := s.gap
	s.gap += max(baselineStepWeight, 1/s.n) * (min(gap, maxRatio*usual) - s.gap)
	if usual <= 0 {
		return 1
	}
	return gap / usual
}

func (b *baseline) recordSize(tokens float64) {
	if b.size == 0 {
		b.size = tokens
	}
	b.size += sizeWeight * (tokens - b.size)
}

// recordRequest counts a request of this host.
func (b *baseline) recordRequest(now time.Time) {
	b.count = b.count*halved(now.Sub(b.countedAt), rateHalfLife) + 1
	b.countedAt = now
}

// perSecond returns the rate of this host's requests.
func (b *baseline) perSecond(now time.Time) float64 {
	return b.count * halved(now.Sub(b.countedAt), rateHalfLife) * math.Ln2 / rateHalfLife.Seconds()
}

// halved returns what is left of 1 after a time.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// sizes are those of a request in tokens: of its prompt, of what an engine reads of that at
// once, and of the memory that it takes on average while it runs. All are zero if its size is
// not known.
type sizes struct{ prompt, piece, held float64 }

func sizesOf(t tamarackknot.RequestTokens, memory float64) sizes {
	if !t.Known || t.Malformed {
		return sizes{}
	}
	if memory <= 0 {
		memory = maxTokens
	}
	prompt := min(t.Prompt, memory)
	return sizes{prompt: prompt, piece: min(prompt, pieceTokens), held: min(prompt+t.Output/2, memory)}
}

// estimate is what this host has observed of one start of an endpoint, and what its own
// requests there are doing.
type estimate struct {
	// Own streams whose first event is awaited, since the last first event at least.
	reading int
	// unsized are those of unknown size, and own requests that are not streams: it is not known
	// when their prompts have been read.
	unsized      int
	prompts      float64
	pieces       float64
	readingSince time.Time
	held         float64 // tokens of own requests
	// Own streams whose next event is awaited, since the last event at least; quietFrozen is
	// the time for which the host had been frozen then.
	awaiting    int
	quietSince  time.Time
	quietFrozen time.Duration

	first ratio
	steps [levelCount]ratio
	pauses
	observedAt time.Time // last event; zero if there is none
}

// slowness returns the average gap between events that is expected with n requests over that of
// all endpoints. Of a level of load that has not been observed it is that of the one below.
func (s *estimate) slowness(n, slots int, now time.Time) float64 {
	for level := loadLevel(n, slots); level >= 0; level-- {
		if !s.steps[level].at.IsZero() {
			return s.steps[level].current(now)
		}
	}
	return 1
}

// choice is what the choice of an endpoint for a request depends on besides the endpoint.
type choice struct {
	*baseline
	sizes
	now time.Time
	// until and objective are the time that is left for the first event and the whole, gap is
	// the objective for the gap between events, all in seconds; 0 if there is none.
	until, objective, gap float64
	memory                float64       // of an engine, in tokens; 0 if not known
	frozen                time.Duration // in which this host has received nothing
	spread                float64       // of the random part of the score
}

// Forecast is what is predicted for a request at the endpoint that it was sent to. Times are in
// seconds.
type Forecast struct {
	First float64 // time to the first event
	// Gap is the longest gap between events of the endpoint's other streams while the prompt
	// is read.
	Gap      float64
	Pause    float64 // chance that the stream gets a gap over its objective for other reasons
	Memory   float64 // tokens in use over those that the engine holds; 0 if not known
	Slowness float64 // expected gap between events over the usual one
	// Stalled says that the endpoint's streams pause, or did so lately.
	Stalled bool
	// EndpointLoad ran there, as far as was known. ViewAge is the age of what the planner said of
	// other hosts, and ObservedAge that of this host's last event from there; 0 if there is none.
	EndpointLoad
	ViewAge, ObservedAge time.Duration
}

// forecast predicts what the request meets at the endpoint and causes there, and returns the
// number of requests that are expected to be late because of it.
func (e *endpoint) forecast(c *choice) (f Forecast, late float64) {
	s, n := &e.estimate, e.own+e.others
	f.Slowness = s.slowness(n+1, e.slots, c.now)
	reading := f.Slowness
	if !s.first.at.IsZero() {
		reading = s.first.current(c.now)
	}
	f.First = reading * c.firstTime(s.prompts+c.prompt)
	if s.reading > 0 {
		// What has taken longer than expected is expected to take as long again.
		f.First += max(c.now.Sub(s.readingSince).Seconds()-reading*c.firstTime(s.prompts), 0)
	}
	if c.gap > 0 {
		f.First += max(s.quiet(c.now, c.frozen)-c.gap, 0)
	}
	if f.Stalled = s.stalled(c); !s.recovering(c.now) {
		f.Pause = s.chance(c.now)
	}
	gapBefore := reading * s.pieces * c.tokenTime
	f.Gap = gapBefore + reading*c.piece*c.tokenTime
	streams := float64(max(n-s.reading, 0))
	late = lateChance(f.First, c.until) + f.Pause + streams*(lateChance(f.Gap, c.gap)-lateChance(gapBefore, c.gap))
	if c.memory > 0 && c.held > 0 {
		known, all := s.held+c.held, s.held+c.held+float64(e.others)*c.size
		f.Memory = all / c.memory
		// Of the requests of other hosts only the number is known, which the load counts.
		late += memoryCost * known / all * min(max((f.Memory-memoryStart)/(memoryEnd-memoryStart), 0), 1)
	}
	if f.Stalled {
		late += stalledCost
	}
	return f, late
}

// lateChance is the chance that what is predicted to take a time takes longer than a limit,
// 0 if there is none.
func lateChance(t, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return min(max((t/limit-lateStart)/(lateEnd-lateStart), 0), 1)
}

// readingCost is the time for which prompts of this host are read at the endpoint, as a part of
// the objective. A prompt of unknown size counts prefillWeight.
func (s *estimate) readingCost(c *choice) float64 {
	if c.objective <= 0 {
		return prefillWeight * float64(s.reading)
	}
	return prefillWeight*float64(s.unsized) + s.prompts*c.tokenTime/c.objective
}
