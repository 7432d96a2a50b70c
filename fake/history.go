package fake

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// historyLimit is the maximum number of events and of request IDs in a history.
// It bounds the memory of a stand-in that runs for days.
const historyLimit = 200_000

// MemoryEvent records that a replica took or released accelerator memory. A
// replica takes its memory at the start of the load.
type MemoryEvent struct {
	Time     time.Time
	Engine   string
	Target   string
	Loaded   bool  // false if the memory was released
	MemoryMB int64 // total in use on the engine after the change
	LimitMB  int64
	// Replicas is the number of replicas of Target on all engines that share
	// the history, after the change.
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

// History records the memory changes and request executions of one or more
// engines and services, which tests check for violations. Its counts cover all
// endpoints that share it.
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
	runOrder     []string // request IDs in runs, oldest first
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

// Events returns the most recent memory events, oldest first.
func (h *History) Events() []MemoryEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.events)
}

// Replicas returns the current number of replicas of a target in memory.
func (h *History) Replicas(target string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replicas[target]
}

// PeakReplicas returns the maximum number of replicas of a target that were in
// memory at the same time.
func (h *History) PeakReplicas(target string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peakReplicas[target]
}

// AllPeakReplicas returns PeakReplicas of every target that was ever in memory.
func (h *History) AllPeakReplicas() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.peakReplicas)
}

// TotalReplicas returns the current and the maximum number of replicas in
// memory, over all targets.
func (h *History) TotalReplicas() (now, peak int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total, h.peakTotal
}

// PeakMemoryMB returns the maximum memory in use on an engine.
func (h *History) PeakMemoryMB(engine string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peakMemory[engine]
}

// Exceeded returns the engines whose memory in use ever exceeded the limit,
// ordered by name.
func (h *History) Exceeded() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.exceeded))
}

// NoMemory returns the number of load orders that did not fit into memory,
// including those that an engine with Overcommit executed.
func (h *History) NoMemory() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.noMemory
}

// StaleFence returns the number of orders with an outdated fencing token,
// including those that an engine without Fencing executed.
func (h *History) StaleFence() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.staleFence
}

// Runs returns the executions of a request ID.
func (h *History) Runs(id string) []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.runs[id])
}

// RunCounts returns the number of executions by request ID.
func (h *History) RunCounts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make(map[string]int, len(h.runs))
	for id, runs := range h.runs {
		counts[id] = len(runs)
	}
	return counts
}

// LastRun returns when an endpoint last started a request, or the zero time.
func (h *History) LastRun(endpoint string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastRun[endpoint]
}

// Cancelled returns the number of running requests that were aborted by a
// disconnect of the client.
func (h *History) Cancelled() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cancelled
}

func (h *History) recordMemory(e MemoryEvent) {
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

func (h *History) recordRun(r Run) {
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

func (h *History) increment(counter *int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*counter++
}
