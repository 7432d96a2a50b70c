package fake

import (
	"slices"
	"time"
)

const (
	// batchStep is the time of a step of a Batch without requests, batchRequestStep that which
	// each request adds, and batchTokenTime the time to read one token of a prompt.
	batchStep        = 9 * time.Millisecond
	batchRequestStep = 100 * time.Microsecond
	batchTokenTime   = 50 * time.Microsecond
	// batchPieceTokens is the most that is read of one prompt in a step.
	batchPieceTokens = 4096
	// batchRefill is the part of the memory up to which preempted requests come back.
	batchRefill = 0.95
)

// BatchConfig configures a Batch.
type BatchConfig struct {
	// Slots is the number of requests that run at once; further ones wait.
	Slots int
	// MemoryTokens is the number of tokens that the requests hold at most; 0 means no limit.
	MemoryTokens int
	// Slow returns the factor on the time of a step that begins now with some requests. Nil
	// means 1.
	Slow func(now time.Time, requests int) float64
	// Start is when the first step begins.
	Start time.Time
}

// Batch simulates the requests that run at a model engine, without a clock. In each step the
// engine generates one token of each request whose prompt it has read, and reads a piece of the
// others' prompts. If they exceed the memory, the newest are preempted: they wait, and what
// they held is read again. A Batch must not be used by several goroutines at once.
type Batch struct {
	// Preemptions counts the requests that were preempted.
	Preemptions int

	cfg      BatchConfig
	requests []*batchRequest
	stepEnd  time.Time
}

type batchRequest struct {
	prompt, unread   int // tokens
	produced, output int
	preempted        bool
	event            func(now time.Time, last bool)
}

func (r *batchRequest) held() int { return r.prompt + r.produced }

// NewBatch returns a Batch without requests.
func NewBatch(cfg BatchConfig) *Batch { return &Batch{cfg: cfg, stepEnd: cfg.Start} }

// Add begins a request with some tokens of its prompt and of its output, at least one. event is
// called for each of the latter.
func (b *Batch) Add(prompt, output int, event func(now time.Time, last bool)) {
	b.requests = append(b.requests, &batchRequest{prompt: prompt, unread: prompt, output: output, event: event})
}

// Len returns the number of requests that run or wait.
func (b *Batch) Len() int { return len(b.requests) }

// Advance runs the steps that end by now.
func (b *Batch) Advance(now time.Time) {
	for !b.stepEnd.After(now) {
		b.endStep()
		b.beginStep()
	}
}

// running returns the requests that have a slot, in the order of their arrival.
func (b *Batch) running() []*batchRequest { return b.requests[:min(len(b.requests), b.cfg.Slots)] }

func (b *Batch) endStep() {
	for _, r := range b.running() {
		if r.unread == 0 {
			r.produced++
			r.event(b.stepEnd, r.produced == r.output)
		}
	}
	b.requests = slices.DeleteFunc(b.requests, func(r *batchRequest) bool { return r.produced == r.output })
}

func (b *Batch) beginStep() {
	running := b.running()
	b.preempt(running)
	read := 0
	for _, r := range running {
		if r.preempted {
			continue
		}
		piece := min(r.unread, batchPieceTokens)
		r.unread -= piece
		read += piece
	}
	took := batchStep + time.Duration(len(running))*batchRequestStep + time.Duration(read)*batchTokenTime
	if b.cfg.Slow != nil {
		took = time.Duration(float64(took) * b.cfg.Slow(b.stepEnd, len(running)))
	}
	b.stepEnd = b.stepEnd.Add(took)
}

// preempt takes the newest requests out while all exceed the memory, and the oldest back in for
// which there is room.
func (b *Batch) preempt(running []*batchRequest) {
	if b.cfg.MemoryTokens == 0 {
		return
	}
	held := 0
	for _, r := range running {
		if !r.preempted {
			held += r.held()
		}
	}
	for _, r := range slices.Backward(running) {
		if held <= b.cfg.MemoryTokens {
			break
		}
		if !r.preempted {
			held -= r.held()
			r.unread, r.preempted = r.held(), true
			b.Preemptions++
		}
	}
	for _, r := range running {
		if r.preempted && float64(held+r.held()) <= batchRefill*float64(b.cfg.MemoryTokens) {
			r.preempted = false
			held += r.held()
		}
	}
}
