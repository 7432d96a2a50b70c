// Package catalog keeps the newest version of the operators' configuration and
// selects the route of a request.
package catalog

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// readWait is how long one read waits for a change. A connection that
	// falls silent delays a change by this and the timeout of the call, which
	// together stay below the bound for changes after a disruption.
	readWait = 1800 * time.Millisecond
	// reliedWait is the same for a host that others rely on: they must notice
	// well within that bound when it falls behind.
	reliedWait = 600 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 200 * time.Millisecond
	// relayPause is the pause after a read through another host.
	relayPause = 350 * time.Millisecond
	// followPause is the pause between two looks at whether the planner still
	// follows the stream for this host.
	followPause = 150 * time.Millisecond
	// maxRetryPause is the longest pause while the store stays away.
	maxRetryPause = 800 * time.Millisecond
)

// Config configures a Keeper.
type Config struct {
	Store tamarackknot.Store
	// Decode reads a record of the stream; nil without an error means that the
	// record is no configuration.
	Decode func(tamarackknot.KeyedRecord) (*tamarackknot.Catalog, error)
	// Relayed returns what other hosts know of the stream; it may be nil.
	Relayed func(ctx context.Context) (tamarackknot.StreamPage, error)
	// Followed reports whether the planner is heard, reads the stream and tells
	// this host of changes; then this host does not read the stream itself. It
	// may be nil.
	Followed func() bool
	// Relied reports whether other hosts rely on this one; it then reads more
	// often. It may be nil.
	Relied func() bool
	// Changed is told of each version that comes into force. It may be nil.
	Changed func(*View)
	Logger  *log.Logger
}

// Keeper follows the configuration. A version that is in force is never
// replaced by an older one.
type Keeper struct {
	cfg     Config
	current atomic.Pointer[View]
	next    int64 // offset of the next record to read; only Run uses it
	behind  chan struct{}
	readAt  atomic.Pointer[time.Time]
}

// New returns a Keeper that knows no configuration until Run has read one.
func New(cfg Config) *Keeper { return &Keeper{cfg: cfg, behind: make(chan struct{}, 1)} }

// Current returns the configuration in force, nil before the first one.
func (k *Keeper) Current() *View { return k.current.Load() }

// Run follows the configuration until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	pause := retryPause
	listed := false
	for ctx.Err() == nil {
		if k.Current() != nil && k.cfg.Followed != nil && k.cfg.Followed() {
			listed = false
			wait.For(ctx, followPause)
			continue
		}
		err := k.step(ctx, listed)
		if err == nil {
			listed, pause = true, retryPause
			continue
		}
		if errors.Is(err, tamarackknot.ErrForgotten) {
			listed = false
			continue
		}
		if ctx.Err() == nil {
			k.cfg.Logger.Warn("configuration not read", "error", err, "retryIn", pause)
		}
		wait.For(ctx, pause)
		pause = min(pause*2, maxRetryPause)
	}
}

// Seen notes that another host has a version in force. If this host has not, it
// asks the others at once.
func (k *Keeper) Seen(version int64) {
	v := k.Current()
	if v != nil && v.Catalog.Version >= version {
		return
	}
	wait.Wake(k.behind)
}

// RunRelay takes the configuration from other hosts whenever this one is
// behind, until ctx ends.
func (k *Keeper) RunRelay(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.behind:
		}
		page, err := k.cfg.Relayed(ctx)
		if err != nil {
			k.cfg.Logger.Debug("configuration not relayed", "error", err)
			wait.For(ctx, retryPause)
			continue
		}
		k.take(page.Records)
	}
}

func (k *Keeper) step(ctx context.Context, listed bool) error {
	if !listed {
		page, err := k.cfg.Store.Newest(ctx, tamarackknot.StreamCatalog)
		if err != nil {
			return err
		}
		k.take(page.Records)
		k.next = page.Next
		k.read(page)
		return nil
	}
	patience := readWait
	if k.cfg.Relied != nil && k.cfg.Relied() {
		patience = reliedWait
	}
	page, err := k.cfg.Store.Read(ctx, tamarackknot.StreamCatalog, k.next, time.Now().Add(patience))
	if err != nil {
		k.readAt.Store(nil)
		return err
	}
	k.take(page.Records)
	k.next = page.Next
	k.read(page)
	if page.Relayed {
		// Another host answers at once instead of waiting for a change.
		wait.For(ctx, relayPause)
	}
	return nil
}

// read notes a read of the stream. One through another host does not count:
// that host may rely on this one.
func (k *Keeper) read(page tamarackknot.StreamPage) {
	if page.Relayed {
		k.readAt.Store(nil)
		return
	}
	now := time.Now()
	k.readAt.Store(&now)
}

// State returns how far this host itself follows the stream.
func (k *Keeper) State() tamarackknot.StreamState {
	s := tamarackknot.StreamState{}
	if v := k.Current(); v != nil {
		s.Version = v.Catalog.Version
	}
	if at := k.readAt.Load(); at != nil {
		s.ReadAt = *at
	}
	return s
}

func (k *Keeper) take(records []tamarackknot.KeyedRecord) {
	for _, rec := range records {
		c, err := k.cfg.Decode(rec)
		if err != nil {
			k.cfg.Logger.Error("configuration rejected", "offset", rec.Offset, "error", err)
			continue
		}
		if c != nil {
			k.Offer(c)
		}
	}
}

// Offer puts a configuration into force unless a version at least as new is.
func (k *Keeper) Offer(c *tamarackknot.Catalog) {
	old := k.current.Load()
	if old != nil && old.Catalog.Version >= c.Version {
		return
	}
	v := newView(c)
	if !k.current.CompareAndSwap(old, v) {
		k.Offer(c)
		return
	}
	k.cfg.Logger.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services))
	if k.cfg.Changed != nil {
		k.cfg.Changed(v)
	}
}

// View is one version of the configuration with an index of its routes.
type View struct {
	Catalog *tamarackknot.Catalog
	byHost  map[string][]*tamarackknot.Route
}

func newView(c *tamarackknot.Catalog) *View {
	v := &View{Catalog: c, byHost: make(map[string][]*tamarackknot.Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		v.byHost[r.Host] = append(v.byHost[r.Host], r)
	}
	for _, routes := range v.byHost {
		slices.SortStableFunc(routes, func(a, b *tamarackknot.Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return v
}

// Route returns the route with the longest prefix of the path, nil if there is
// none. A port in host is ignored.
func (v *View) Route(host, path string) *tamarackknot.Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range v.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
