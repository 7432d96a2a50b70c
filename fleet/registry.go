package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// readWait is the long-poll time of one read of the registered hosts. A holder
	// of the lease that cannot reach the store relies on the last read for a few
	// seconds only, from the start of that read.
	readWait = 500 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 500 * time.Millisecond
	// eraCheckInterval is the pause between two checks whether the store was
	// restored.
	eraCheckInterval = 250 * time.Millisecond
	// unheardTimeout is how long no planner must be heard before a host registers
	// again. It exceeds the time that another host takes to become planner.
	unheardTimeout = 10 * time.Second
	// firstReadDelay is how long after its start a host of a system that starts for the
	// first time reads which other hosts have registered meanwhile: the store takes hundreds
	// of entries within it.
	firstReadDelay = time.Second
	// registerSpread is the time over which hosts register again after a restore.
	registerSpread = time.Second
)

// RegistryConfig configures a Registry.
type RegistryConfig struct {
	Store tamarackknot.Store
	Self  tamarackknot.HostEntry
	// FirstStart says that the whole system starts for the first time, so that the hosts
	// register at the same time.
	FirstStart bool
	// Clock returns the time since boot, including the time of suspension. Nil
	// means the system's clock.
	Clock func() time.Duration
	// Follow reports whether this host needs the list, which only the planner
	// does.
	Follow func() bool
	// PlannerHeard reports whether this host hears from a planner, which it does
	// not if its entry is missing.
	PlannerHeard func() bool
	Logger       *log.Logger
}

// Registry registers this host in the platform's store and, on the planner,
// follows the list of registered entry hosts.
type Registry struct {
	cfg RegistryConfig

	mu     sync.Mutex
	hosts  map[string]tamarackknot.HostEntry
	sorted []tamarackknot.HostEntry // hosts by name; nil if it must be derived again
	// departed holds the last incarnation of each host that deregistered.
	departed map[string]string
	left     bool // this host has deregistered
	state    tamarackknot.Registration
	// atStart are the other hosts that were registered when this host began to register,
	// at the first start of the system firstReadDelay later.
	atStart []tamarackknot.HostEntry
	// othersKnown says that the hosts in atStart are those that started before this one or
	// with it.
	othersKnown bool
}

// NewRegistry returns a Registry that knows only this host.
func NewRegistry(cfg RegistryConfig) *Registry {
	if cfg.Clock == nil {
		cfg.Clock = times.SinceBoot
	}
	return &Registry{
		cfg: cfg, hosts: map[string]tamarackknot.HostEntry{cfg.Self.Name: cfg.Self}, departed: make(map[string]string),
	}
}

// Hosts returns the registered hosts, ordered by name. The result must not be changed.
func (r *Registry) Hosts() []tamarackknot.HostEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sorted == nil {
		r.sorted = slices.SortedFunc(maps.Values(r.hosts), func(a, b tamarackknot.HostEntry) int { return cmp.Compare(a.Name, b.Name) })
	}
	return r.sorted
}

// PeerAddress returns the peer address of a registered host.
func (r *Registry) PeerAddress(host string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.hosts[host]; ok {
		return h.PeerAddress, true
	}
	i := slices.IndexFunc(r.atStart, func(h tamarackknot.HostEntry) bool { return h.Name == host })
	if i < 0 {
		return "", false
	}
	return r.atStart[i].PeerAddress, true
}

// HostsAtStart returns the other hosts that were registered when this host began to
// register, alive or not; nil before it has read them. The result must not be changed.
func (r *Registry) HostsAtStart() []tamarackknot.HostEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.atStart
}

// OthersKnown reports whether HostsAtStart has the hosts that started before this one or
// with it.
func (r *Registry) OthersKnown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.othersKnown
}

// Registration returns how this host is registered and what it has read.
func (r *Registry) Registration() tamarackknot.Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Run registers this host until ctx ends: at the start, after each restore of the
// store, and when no planner is heard for long, since an earlier process of this
// host may have removed the entry late.
func (r *Registry) Run(ctx context.Context) {
	registered, era, heardAt := false, int64(0), time.Now()
	var readAgainAt time.Time
	if r.cfg.FirstStart {
		readAgainAt = time.Now().Add(firstReadDelay)
	}
	for ctx.Err() == nil {
		newest := r.cfg.Store.Era()
		if r.cfg.PlannerHeard() {
			heardAt = time.Now()
		}
		switch {
		case !registered:
			era, registered = newest, r.register(ctx)
		case newest > era:
			// All hosts write at once after a restore.
			wait.For(ctx, rand.N(registerSpread))
			registered = false
			r.cfg.Logger.Info("registering again after a restore of the store", "eraBefore", era, "era", newest)
			continue
		case !readAgainAt.IsZero() && !time.Now().Before(readAgainAt):
			if err := r.readRegistered(ctx); err != nil {
				r.cfg.Logger.Warn("cannot read which hosts have registered", "error", err, "retryIn", retryPause)
				readAgainAt = time.Now().Add(retryPause)
				break
			}
			readAgainAt = time.Time{}
		case time.Since(heardAt) > unheardTimeout:
			r.cfg.Logger.Info("registering again because no planner is heard", "for", unheardTimeout)
			r.register(ctx)
			heardAt = time.Now()
		}
		pause := eraCheckInterval
		if !registered {
			pause = retryPause
		}
		wait.For(ctx, pause)
	}
}

// RunFollow follows the list of hosts while Follow returns true, until ctx ends.
func (r *Registry) RunFollow(ctx context.Context) {
	var next *tamarackknot.Position // nil before the list is read
	for ctx.Err() == nil {
		if !r.cfg.Follow() {
			next = nil
			wait.For(ctx, retryPause/2)
			continue
		}
		var err error
		if next, err = r.follow(ctx, next); err != nil {
			wait.For(ctx, retryPause)
		}
	}
}

// register writes the entry of this host and reports whether that succeeded or is
// not wanted any more.
func (r *Registry) register(ctx context.Context) bool {
	r.mu.Lock()
	left, first := r.left, !r.state.Registered
	r.mu.Unlock()
	if left {
		return true
	}
	value, err := json.Marshal(r.cfg.Self)
	if err != nil {
		panic(err)
	}
	if first {
		err = r.readRegistered(ctx)
	}
	if err == nil {
		_, err = r.cfg.Store.Put(ctx, tamarackknot.StreamHosts, r.cfg.Self.Name, value)
	}
	if err != nil {
		r.cfg.Logger.Warn("cannot register host", "error", err, "retryIn", retryPause)
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if first {
		r.state.Registered, r.state.At = true, r.cfg.Clock()
	}
	return true
}

// readRegistered reads which hosts are registered: an earlier process of this host, and others.
// At the first start those others are known only once this host has registered too.
func (r *Registry) readRegistered(ctx context.Context) error {
	page, err := r.cfg.Store.Newest(ctx, tamarackknot.StreamHosts)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.atStart = nil
	r.othersKnown = !r.cfg.FirstStart || r.state.Registered
	for _, rec := range page.Records {
		var h tamarackknot.HostEntry
		err := json.Unmarshal(rec.Value, &h)
		switch {
		case len(rec.Value) == 0:
		case err != nil:
			r.cfg.Logger.Warn("host entry rejected", "key", rec.Key, "error", err)
		case rec.Key != r.cfg.Self.Name:
			r.atStart = append(r.atStart, h)
		case h.Incarnation != r.cfg.Self.Incarnation:
			r.state.Previous, r.state.HadPrevious = tamarackknot.Position{Era: page.End.Era, Offset: rec.Offset}, true
		}
	}
	return nil
}

// Deregister removes this host's entry from the store.
func (r *Registry) Deregister(ctx context.Context) {
	r.mu.Lock()
	r.left = true
	r.mu.Unlock()
	if _, err := r.cfg.Store.Put(ctx, tamarackknot.StreamHosts, r.cfg.Self.Name, nil); err != nil {
		r.cfg.Logger.Warn("cannot deregister host", "error", err)
	}
}

// follow reads the changes since next, or the whole list if next is nil, and
// returns the position of the next read, nil after an error.
func (r *Registry) follow(ctx context.Context, next *tamarackknot.Position) (*tamarackknot.Position, error) {
	var page tamarackknot.StreamPage
	var err error
	started := r.cfg.Clock()
	if next == nil {
		page, err = r.cfg.Store.Newest(ctx, tamarackknot.StreamHosts)
	} else {
		page, err = r.cfg.Store.Read(ctx, tamarackknot.StreamHosts, *next, time.Now().Add(readWait))
	}
	if err != nil {
		if !errors.Is(err, tamarackknot.ErrExpired) {
			r.cfg.Logger.Warn("cannot read host list", "error", err)
		}
		return nil, err
	}
	r.apply(page.Records)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.ReadAt, r.state.ReadEnd = started, page.Next
	return &page.Next, nil
}

// apply merges records into the list. Hosts that are missing after a restore of
// the store stay in it; a host that has left does not come back with its old
// entry.
func (r *Registry) apply(records []tamarackknot.KeyedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(records) > 0 {
		r.sorted = nil
	}
	for _, rec := range records {
		if rec.Key == r.cfg.Self.Name || rec.Key == "" {
			continue
		}
		if rec.Value == nil {
			if h, known := r.hosts[rec.Key]; known {
				r.departed[rec.Key] = h.Incarnation
			}
			delete(r.hosts, rec.Key)
			continue
		}
		var h tamarackknot.HostEntry
		if err := json.Unmarshal(rec.Value, &h); err != nil || h.Name != rec.Key {
			r.cfg.Logger.Warn("host entry rejected", "key", rec.Key, "error", err)
			continue
		}
		if incarnation, left := r.departed[rec.Key]; left && incarnation == h.Incarnation {
			continue
		}
		r.hosts[rec.Key] = h
	}
}
