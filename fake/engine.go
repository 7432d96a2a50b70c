package fake

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

// EngineConfig configures the capacity and the timing of an Engine.
type EngineConfig struct {
	Name     string
	MemoryMB int64
	// Slots is the maximum number of requests that run concurrently, at least 1.
	Slots int
	// QueueLimit is the maximum number of requests that wait for a slot.
	QueueLimit int
	// Fencing refuses an order whose fencing token is lower than the highest
	// one seen for the same target.
	Fencing bool
	// Overcommit accepts loads that exceed MemoryMB instead of refusing them,
	// so that a test can detect them in the history.
	Overcommit bool
	// Store limits the rate and the speed of loads of uncached checkpoints. If
	// nil, such loads only take RemotePerGB.
	Store *WeightStore
	// MemoryPerGB, DiskPerGB and RemotePerGB are the times to load 1024 MB
	// from each tier; RemotePerGB applies at the full speed of Store.
	MemoryPerGB time.Duration
	DiskPerGB   time.Duration
	RemotePerGB time.Duration
	// Unload is the time between the end of the last running request and the
	// release of the memory.
	Unload time.Duration
	// HostMemoryMB and DiskMB are the sizes of the cache tiers.
	HostMemoryMB int64
	DiskMB       int64
	FirstToken   time.Duration
	PerToken     time.Duration
	// ReportLag is how old the state in a report is.
	ReportLag time.Duration
	// History records memory changes and requests. If nil, the engine creates
	// its own.
	History *History
}

// Engine simulates a model engine: accelerator memory, cache tiers, load times,
// request slots with a priority queue, and faults.
type Engine struct {
	cfg     EngineConfig
	mux     *http.ServeMux
	history *History
	*faultInjector

	mu       sync.Mutex
	replicas map[string]*engineReplica
	usedMB   int64
	fences   map[string]tamarackknot.Offset
	role     string
	cache    checkpointCache
	running  int
	queue    []*slotRequest
	leaving  bool
	latest   tamarackknot.Report
	reports  versionHistory[tamarackknot.Report]
}

// engineReplica is a target in accelerator memory or being loaded into it.
type engineReplica struct {
	checkpoint
	base      string
	loading   bool
	unloading bool
	running   int           // requests
	drained   chan struct{} // closed when the replica is unloading and no request runs
	ready     chan struct{} // closed when the load has ended
	freed     chan struct{} // closed when the memory has been released
	result    tamarackknot.OrderResult
	cancel    context.CancelFunc // cancels the load
}

// slotRequest is a request that waits for a slot.
type slotRequest struct {
	replica  *engineReplica
	priority int
	granted  chan error // receives nil with the slot
}

var (
	errNotLoaded = errors.New("target is not loaded")
	errQueueFull = errors.New("all slots and the queue are full")
)

// NewEngine returns an engine with no loaded targets and empty caches.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.History == nil {
		cfg.History = NewHistory()
	}
	e := &Engine{
		cfg:           cfg,
		mux:           http.NewServeMux(),
		history:       cfg.History,
		faultInjector: newFaultInjector(),
		replicas:      make(map[string]*engineReplica),
		fences:        make(map[string]tamarackknot.Offset),
		cache: checkpointCache{
			memory: tierCache{limitMB: cfg.HostMemoryMB},
			disk:   tierCache{limitMB: cfg.DiskMB},
		},
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	e.mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	e.mux.HandleFunc("POST /orders", e.serveOrder)
	e.mux.HandleFunc("GET /report", e.serveReport)
	e.publish()
	return e
}

// Name returns the endpoint name.
func (e *Engine) Name() string { return e.cfg.Name }

// History returns the record of memory changes and requests.
func (e *Engine) History() *History { return e.history }

// Faults returns the active faults.
func (e *Engine) Faults() Faults {
	f, _ := e.get()
	return f
}

// SetFaults replaces the active faults. Die also frees the accelerator memory.
func (e *Engine) SetFaults(f Faults) {
	e.set(f)
	if f.Die {
		e.freeAll()
	}
}

// SetLeaving sets whether the engine is leaving. A leaving engine refuses loads
// and sets LeavingHeader in its responses; it still serves requests unless
// Faults.Refuse is set.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.publish()
}

// Cache puts a checkpoint into a cache tier as if it had been loaded earlier;
// TierRemote removes it from the cache.
func (e *Engine) Cache(name, version string, memoryMB int64, tier tamarackknot.Tier) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := checkpoint{name: name, version: version, memoryMB: memoryMB}
	e.cache.memory.remove(p)
	e.cache.disk.remove(p)
	switch tier {
	case tamarackknot.TierMemory:
		e.cache.touch(p)
	case tamarackknot.TierDisk:
		e.cache.disk.add(p)
	case tamarackknot.TierRemote:
	}
	e.publish()
}

// Role returns the role set by the last role order.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// Loaded returns the targets in accelerator memory, ordered by name. Unlike a
// report it is not delayed by ReportLag.
func (e *Engine) Loaded() []tamarackknot.LoadedTarget {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded()
}

// Running returns the number of requests in slots and in the queue.
func (e *Engine) Running() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, len(e.queue)
}

// Report returns the state of ReportLag ago.
func (e *Engine) Report(ctx context.Context) (tamarackknot.Report, error) {
	ctx, cancel := e.bind(ctx)
	defer cancel()
	if err := e.sleep(ctx, 0); err != nil {
		return tamarackknot.Report{}, errors.Wrapf(err, "no report of endpoint %q", e.cfg.Name)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	at := time.Now().Add(-e.cfg.ReportLag)
	r := e.reports.get(at)
	r.Endpoint = e.cfg.Name
	r.Time = at
	return r, nil
}

// publish records the current state for later reports.
func (e *Engine) publish() {
	e.latest.Loaded = e.loaded()
	e.latest.Cached = e.cache.list()
	e.publishLoad()
}

// publishLoad records the current load for later reports. It is cheaper than
// publish and sufficient if the loaded and cached targets have not changed.
func (e *Engine) publishLoad() {
	e.latest.Leaving = e.leaving
	e.latest.Running = e.running
	e.latest.Waiting = len(e.queue)
	e.reports.set(time.Now(), e.latest, e.cfg.ReportLag)
}

func (e *Engine) loaded() []tamarackknot.LoadedTarget {
	out := make([]tamarackknot.LoadedTarget, 0, len(e.replicas))
	for _, r := range e.replicas {
		out = append(out, tamarackknot.LoadedTarget{
			Name: r.name, Version: r.version, MemoryMB: r.memoryMB, Loading: r.loading,
		})
	}
	slices.SortFunc(out, func(a, b tamarackknot.LoadedTarget) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// add registers a replica and reserves its memory.
func (e *Engine) add(r *engineReplica) {
	e.replicas[r.name] = r
	e.usedMB += r.memoryMB
	e.record(r, true)
	e.publish()
}

// drop removes a replica and releases its memory, unless it was already removed
// or replaced.
func (e *Engine) drop(r *engineReplica) {
	if e.replicas[r.name] != r {
		return
	}
	delete(e.replicas, r.name)
	e.usedMB -= r.memoryMB
	e.record(r, false)
	close(r.freed)
	e.publish()
}

func (e *Engine) record(r *engineReplica, loaded bool) {
	e.history.recordMemory(MemoryEvent{
		Engine: e.cfg.Name, Target: r.name, Loaded: loaded, MemoryMB: e.usedMB, LimitMB: e.cfg.MemoryMB,
	})
}

// freeAll releases all accelerator memory, as the exit of the process does.
func (e *Engine) freeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.replicas {
		e.drop(r)
	}
	// The restarted process must not report targets of the old one.
	e.reports = versionHistory[tamarackknot.Report]{}
	e.publish()
}

// acquire takes a request slot for a loaded target and waits in the queue if
// none is free. The queue is ordered by priority, highest first. It returns
// errNotLoaded, errQueueFull or the cause of ctx. The caller must pass the
// returned replica to release.
func (e *Engine) acquire(ctx context.Context, target string, priority int) (*engineReplica, error) {
	e.mu.Lock()
	r, ok := e.replicas[target]
	if !ok || r.loading || r.unloading {
		e.mu.Unlock()
		return nil, errNotLoaded
	}
	if e.running < e.cfg.Slots && len(e.queue) == 0 {
		e.takeSlot(r)
		e.publishLoad()
		e.mu.Unlock()
		return r, nil
	}
	if len(e.queue) >= e.cfg.QueueLimit {
		e.mu.Unlock()
		return nil, errQueueFull
	}
	s := &slotRequest{replica: r, priority: priority, granted: make(chan error, 1)}
	position := slices.IndexFunc(e.queue, func(q *slotRequest) bool { return q.priority < priority })
	if position < 0 {
		position = len(e.queue)
	}
	e.queue = slices.Insert(e.queue, position, s)
	e.publishLoad()
	e.mu.Unlock()

	select {
	case err := <-s.granted:
		return r, err
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.queue, s); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
		e.publishLoad()
		return nil, context.Cause(ctx)
	}
	if err := <-s.granted; err == nil {
		e.releaseLocked(r)
	}
	return nil, context.Cause(ctx)
}

func (e *Engine) takeSlot(r *engineReplica) {
	e.running++
	r.running++
}

func (e *Engine) release(r *engineReplica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseLocked(r)
}

// releaseLocked frees a slot and assigns free slots to the first requests of the
// queue. The caller holds mu.
func (e *Engine) releaseLocked(r *engineReplica) {
	e.running--
	r.running--
	if r.unloading && r.running == 0 {
		close(r.drained)
	}
	for e.running < e.cfg.Slots && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.takeSlot(s.replica)
		s.granted <- nil
	}
	e.publishLoad()
}

// rejectQueued fails the queued requests of a replica with errNotLoaded.
func (e *Engine) rejectQueued(r *engineReplica) {
	e.queue = slices.DeleteFunc(e.queue, func(s *slotRequest) bool {
		if s.replica != r {
			return false
		}
		s.granted <- errNotLoaded
		return true
	})
}
