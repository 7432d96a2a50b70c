package fake

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// historyLimit bounds the events and the request ids that a history keeps, so
// that a stand-in may run for days.
const historyLimit = 200_000

// MemoryEvent is a change of what an engine holds in accelerator memory. A
// replica counts from the start of its load until its memory is free again.
type MemoryEvent struct {
	Time     time.Time
	Engine   string
	Target   string
	Loaded   bool  // false: memory was freed
	MemoryMB int64 // sum on the engine after the change
	LimitMB  int64
	// Replicas is the number of replicas of Target on all engines of the
	// history after the change.
	Replicas int
}

// Run is one execution of a request.
type Run struct {
	ID       string
	Endpoint string
	Method   string
	Path     string
	Time     time.Time
}

// History records what engines and services did. Endpoints that share one
// history are counted together.
type History struct {
	mu           sync.Mutex
	events       []MemoryEvent
	replicas     map[string]int
	peakReplicas map[string]int
	total        int
	peakTotal    int
	peakMemory   map[string]int64
	exceeded     map[string]bool
	runs         map[string][]Run
	runOrder     []string
	cancelled    int
	noMemory     int
	staleFence   int
	lastRun      map[string]time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		replicas:     make(map[string]int),
		peakReplicas: make(map[string]int),
		peakMemory:   make(map[string]int64),
		exceeded:     make(map[string]bool),
		runs:         make(map[string][]Run),
		lastRun:      make(map[string]time.Time),
	}
}

// Events returns the newest memory changes in the order in which they
// happened.
func (h *History) Events() []MemoryEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.events)
}

// Replicas returns how many replicas of a target are in memory.
func (h *History) Replicas(target string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replicas[target]
}

// PeakReplicas returns the highest number of replicas of a target that were in
// memory at the same time.
func (h *History) PeakReplicas(target string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peakReplicas[target]
}

// AllPeakReplicas returns the highest number of replicas at the same time of
// each target that was ever in memory.
func (h *History) AllPeakReplicas() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.peakReplicas)
}

// Total returns how many replicas are in memory, and the highest number so
// far.
func (h *History) Total() (now, peak int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total, h.peakTotal
}

// PeakMemoryMB returns the highest memory sum of an engine.
func (h *History) PeakMemoryMB(engine string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peakMemory[engine]
}

// Exceeded returns the engines whose memory sum was ever above its limit,
// ordered by name.
func (h *History) Exceeded() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.exceeded))
}

// NoMemory returns how many loads were refused for lack of memory.
func (h *History) NoMemory() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.noMemory
}

// StaleFence returns how many orders came with an outdated fencing number,
// including those that an engine without fencing carried out.
func (h *History) StaleFence() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.staleFence
}

// Runs returns the executions of a request id.
func (h *History) Runs(id string) []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.runs[id])
}

// RunCounts returns the number of executions by request id.
func (h *History) RunCounts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make(map[string]int, len(h.runs))
	for id, runs := range h.runs {
		counts[id] = len(runs)
	}
	return counts
}

// LastRun returns when an endpoint last started a request; zero if never.
func (h *History) LastRun(endpoint string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastRun[endpoint]
}

// Cancelled returns how many running requests ended because the client went
// away.
func (h *History) Cancelled() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cancelled
}

func (h *History) memory(e MemoryEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change := 1
	if !e.Loaded {
		change = -1
	}
	h.replicas[e.Target] += change
	h.total += change
	e.Time = time.Now()
	e.Replicas = h.replicas[e.Target]
	h.peakReplicas[e.Target] = max(h.peakReplicas[e.Target], e.Replicas)
	h.peakTotal = max(h.peakTotal, h.total)
	h.peakMemory[e.Engine] = max(h.peakMemory[e.Engine], e.MemoryMB)
	if e.MemoryMB > e.LimitMB {
		h.exceeded[e.Engine] = true
	}
	if len(h.events) >= historyLimit {
		h.events = slices.Clone(h.events[historyLimit/2:])
	}
	h.events = append(h.events, e)
}

func (h *History) run(r Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Time = time.Now()
	h.lastRun[r.Endpoint] = r.Time
	if r.ID == "" {
		return
	}
	if _, ok := h.runs[r.ID]; !ok {
		if len(h.runOrder) >= historyLimit {
			for _, id := range h.runOrder[:historyLimit/2] {
				delete(h.runs, id)
			}
			h.runOrder = slices.Clone(h.runOrder[historyLimit/2:])
		}
		h.runOrder = append(h.runOrder, r.ID)
	}
	h.runs[r.ID] = append(h.runs[r.ID], r)
}

func (h *History) count(counter *int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*counter++
}
