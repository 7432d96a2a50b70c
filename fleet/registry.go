package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// readWait is the long-poll time of one read of the registered hosts.
	readWait = 5 * time.Second
	// retryPause is the pause after a failed call.
	retryPause = 500 * time.Millisecond
)

// RegistryConfig configures a Registry.
type RegistryConfig struct {
	Store tamarackknot.Store
	Self  tamarackknot.HostEntry
	// Follow reports whether this host needs the list, which only the planner
	// does.
	Follow func() bool
	Logger *log.Logger
}

// Registry registers this host in the platform's store and, on the planner,
// follows the list of registered entry hosts.
type Registry struct {
	cfg RegistryConfig

	mu    sync.Mutex
	hosts map[string]tamarackknot.HostEntry
}

// NewRegistry returns a Registry that knows only this host.
func NewRegistry(cfg RegistryConfig) *Registry {
	return &Registry{cfg: cfg, hosts: map[string]tamarackknot.HostEntry{cfg.Self.Name: cfg.Self}}
}

// Hosts returns the registered hosts, ordered by name.
func (r *Registry) Hosts() []tamarackknot.HostEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]tamarackknot.HostEntry, 0, len(r.hosts))
	for _, h := range r.hosts {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b tamarackknot.HostEntry) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// PeerAddress returns the peer address of a registered host.
func (r *Registry) PeerAddress(host string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.hosts[host]
	return h.PeerAddress, ok
}

// Run registers this host and follows the list while Follow returns true, until
// ctx ends.
func (r *Registry) Run(ctx context.Context) {
	registered := false
	next := int64(-1)
	for ctx.Err() == nil {
		pause := time.Duration(0)
		switch {
		case !registered:
			registered = r.register(ctx)
			if !registered {
				pause = retryPause
			}
		case !r.cfg.Follow():
			next, pause = -1, retryPause/2
		default:
			var err error
			if next, err = r.follow(ctx, next); err != nil {
				next, pause = -1, retryPause
			}
		}
		if pause > 0 {
			wait.For(ctx, pause)
		}
	}
}

func (r *Registry) register(ctx context.Context) bool {
	value, err := json.Marshal(r.cfg.Self)
	if err != nil {
		panic(err)
	}
	if _, err := r.cfg.Store.Put(ctx, tamarackknot.StreamHosts, r.cfg.Self.Name, value); err != nil {
		r.cfg.Logger.Warn("cannot register host", "error", err, "retryIn", retryPause)
		return false
	}
	return true
}

// Deregister removes this host's entry from the store.
func (r *Registry) Deregister(ctx context.Context) {
	if _, err := r.cfg.Store.Put(ctx, tamarackknot.StreamHosts, r.cfg.Self.Name, nil); err != nil {
		r.cfg.Logger.Warn("cannot deregister host", "error", err)
	}
}

// follow reads the changes since offset next, or the whole list if next is
// negative, and returns the offset of the next read.
func (r *Registry) follow(ctx context.Context, next int64) (int64, error) {
	if next < 0 {
		page, err := r.cfg.Store.Newest(ctx, tamarackknot.StreamHosts)
		if err != nil {
			return -1, err
		}
		r.apply(page.Records)
		return page.Next, nil
	}
	page, err := r.cfg.Store.Read(ctx, tamarackknot.StreamHosts, next, time.Now().Add(readWait))
	if err != nil {
		if !errors.Is(err, tamarackknot.ErrExpired) {
			r.cfg.Logger.Warn("cannot read host list", "error", err)
		}
		return -1, err
	}
	r.apply(page.Records)
	return page.Next, nil
}

func (r *Registry) apply(records []tamarackknot.KeyedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		if rec.Key == r.cfg.Self.Name || rec.Key == "" {
			continue
		}
		if rec.Value == nil {
			delete(r.hosts, rec.Key)
			continue
		}
		var h tamarackknot.HostEntry
		if err := json.Unmarshal(rec.Value, &h); err != nil || h.Name != rec.Key {
			r.cfg.Logger.Warn("host entry rejected", "key", rec.Key, "error", err)
			continue
		}
		r.hosts[rec.Key] = h
	}
}
