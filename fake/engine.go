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

// EngineConfig holds the size and the speed of an engine.
type EngineConfig struct {
	Name     string
	MemoryMB int64
	// Slots is the number of requests that run at once.
	Slots int
	// QueueLimit is the number of requests that wait for a slot.
	QueueLimit int
	// Fencing says that an order is refused if its fencing number is lower
	// than one seen for the same target.
	Fencing bool
	// Overcommit loads what does not fit instead of refusing it, so that a
	// test sees memory exceeded.
	Overcommit bool
	// Store serves loads of checkpoints that are not cached. Without one they
	// only take RemotePerGB.
	Store *Store
	// MemoryPerGB, DiskPerGB and RemotePerGB are the load times of 1024 MB
	// from each cache tier; RemotePerGB is at the full speed of Store.
	MemoryPerGB time.Duration
	DiskPerGB   time.Duration
	RemotePerGB time.Duration
	// Unload is the time from the end of the last running request to free
	// memory.
	Unload time.Duration
	// HostMemoryMB and DiskMB are the sizes of the caches.
	HostMemoryMB int64
	DiskMB       int64
	FirstToken   time.Duration
	PerToken     time.Duration
	// ReportLag is the age of the state that reports show.
	ReportLag time.Duration
	// History records what the engine does. Without one the engine makes its
	// own.
	History *History
}

// Engine is a model engine.
type Engine struct {
	cfg     EngineConfig
	mux     *http.ServeMux
	history *History
	*faultSwitch

	mu       sync.Mutex
	replicas map[string]*engineReplica
	usedMB   int64
	fences   map[string]tamarackknot.Offset
	role     string
	cache    checkpointCache
	running  int
	queue    []*slotRequest
	leaving  bool
	newest   tamarackknot.Report
	reports  lagging[tamarackknot.Report]
}

// engineReplica is a target in accelerator memory.
type engineReplica struct {
	checkpoint
	base      string
	loading   bool
	unloading bool
	running   int           // requests
	idle      chan struct{} // closed when unloading and no request runs
	ready     chan struct{} // closed when the load has ended
	gone      chan struct{} // closed when the memory is free
	result    tamarackknot.OrderResult
	cancel    context.CancelFunc // ends the load
}

// slotRequest is a request that waits for a slot.
type slotRequest struct {
	replica  *engineReplica
	priority int
	ready    chan error // receives nil with the slot
}

var (
	errNotLoaded = errors.New("target is not loaded")
	errFull      = errors.New("all slots and the queue are full")
)

// NewEngine returns an engine without loaded targets and with empty caches.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.History == nil {
		cfg.History = NewHistory()
	}
	e := &Engine{
		cfg:         cfg,
		mux:         http.NewServeMux(),
		history:     cfg.History,
		faultSwitch: newFaultSwitch(),
		replicas:    make(map[string]*engineReplica),
		fences:      make(map[string]tamarackknot.Offset),
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

// History returns the record of what the engine did.
func (e *Engine) History() *History { return e.history }

// Faults returns the faults that are switched on.
func (e *Engine) Faults() Faults {
	f, _ := e.get()
	return f
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.set(f)
	if f.Die {
		e.clear()
	}
}

// SetLeaving changes the leaving mark. A leaving engine refuses loads and
// marks its responses; it goes on serving requests unless Refuse is set too.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.publish()
}

// Cache puts a checkpoint into a cache tier, as if it had been loaded before.
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

// Loaded returns what is in accelerator memory now, ordered by name.
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

// Report returns the state as it was before the lag.
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

// publish records the state for later reports.
func (e *Engine) publish() {
	e.newest.Loaded = e.loaded()
	e.newest.Cached = e.cache.list()
	e.publishLoad()
}

// publishLoad is publish for when what is loaded and cached has not changed.
func (e *Engine) publishLoad() {
	e.newest.Leaving = e.leaving
	e.newest.Running = e.running
	e.newest.Waiting = len(e.queue)
	e.reports.set(time.Now(), e.newest, e.cfg.ReportLag)
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

// add takes the memory of a replica.
func (e *Engine) add(r *engineReplica) {
	e.replicas[r.name] = r
	e.usedMB += r.memoryMB
	e.record(r, true)
	e.publish()
}

// drop frees the memory of a replica if it is still the one in memory.
func (e *Engine) drop(r *engineReplica) {
	if e.replicas[r.name] != r {
		return
	}
	delete(e.replicas, r.name)
	e.usedMB -= r.memoryMB
	e.record(r, false)
	close(r.gone)
	e.publish()
}

func (e *Engine) record(r *engineReplica, loaded bool) {
	e.history.memory(MemoryEvent{
		Engine: e.cfg.Name, Target: r.name, Loaded: loaded, MemoryMB: e.usedMB, LimitMB: e.cfg.MemoryMB,
	})
}

// clear frees all accelerator memory, as the death of the process does.
func (e *Engine) clear() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.replicas {
		e.drop(r)
	}
	// A new process does not report what the old one held.
	e.reports = lagging[tamarackknot.Report]{}
	e.publish()
}

// acquire takes a slot for a request to a loaded target, waiting for one in
// the queue. The caller must call release with the returned replica.
func (e *Engine) acquire(ctx context.Context, target string, priority int) (*engineReplica, error) {
	e.mu.Lock()
	r, ok := e.replicas[target]
	if !ok || r.loading || r.unloading {
		e.mu.Unlock()
		return nil, errNotLoaded
	}
	if e.running < e.cfg.Slots && len(e.queue) == 0 {
		e.grant(r)
		e.publishLoad()
		e.mu.Unlock()
		return r, nil
	}
	if len(e.queue) >= e.cfg.QueueLimit {
		e.mu.Unlock()
		return nil, errFull
	}
	s := &slotRequest{replica: r, priority: priority, ready: make(chan error, 1)}
	at := slices.IndexFunc(e.queue, func(q *slotRequest) bool { return q.priority < priority })
	if at < 0 {
		at = len(e.queue)
	}
	e.queue = slices.Insert(e.queue, at, s)
	e.publishLoad()
	e.mu.Unlock()

	select {
	case err := <-s.ready:
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
	if err := <-s.ready; err == nil {
		e.free(r)
	}
	return nil, context.Cause(ctx)
}

func (e *Engine) grant(r *engineReplica) {
	e.running++
	r.running++
}

func (e *Engine) release(r *engineReplica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.free(r)
}

// free returns a slot and gives it to the first request of the queue.
func (e *Engine) free(r *engineReplica) {
	e.running--
	r.running--
	if r.unloading && r.running == 0 {
		close(r.idle)
	}
	for e.running < e.cfg.Slots && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.grant(s.replica)
		s.ready <- nil
	}
	e.publishLoad()
}

// expel refuses the queued requests of a replica.
func (e *Engine) expel(r *engineReplica) {
	e.queue = slices.DeleteFunc(e.queue, func(s *slotRequest) bool {
		if s.replica != r {
			return false
		}
		s.ready <- errNotLoaded
		return true
	})
}
