package origin

import (
	"context"
	"encoding/json"
	"maps"
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
	// versionsKey is the key of the record in its stream.
	versionsKey = "versions"
	// keepInterval is the time between two checks whether the record is up to date.
	keepInterval = 500 * time.Millisecond
	// minReadInterval is the least time between two reads of the record that a request
	// causes, and readTimeout limits one.
	minReadInterval = 500 * time.Millisecond
	readTimeout     = 300 * time.Millisecond
	// maxStoredVersions limits the versions of a service in the record. Two tell that there
	// are several.
	maxStoredVersions = 8
)

// storedVersions is the record of the versions that were listed lately. It names all of them
// from CompleteAt on: the host that wrote the first record knows only what it has listed
// itself.
type storedVersions struct {
	CompleteAt int64               `json:"completeAt"` // Unix time in ms
	Versions   map[string][]string `json:"versions"`   // by service
}

// VersionsConfig configures a Versions.
type VersionsConfig struct {
	Store tamarackknot.Store
	// Keeps reports whether this host keeps the record for all.
	Keeps func() bool
	// Listed returns the versions, by service, that this host has listed within Memory, and
	// Add adds those that were listed before it started.
	Listed func() map[string][]string
	Add    func(versions map[string][]string)
	Memory time.Duration
	// FirstStart says that there was no host, and so no stream, before those that start now.
	FirstStart bool
	// Clock returns the time since boot, including the time of suspension. Nil means the
	// system's clock.
	Clock  func() time.Duration
	Logger *log.Logger
}

// Versions keeps the versions of the endpoints' software that were listed lately in the
// store, so that hosts which start know them: endpoints that are no longer listed may have
// begun streams.
type Versions struct {
	cfg       VersionsConfig
	startedAt time.Duration

	// turn is held during a read. A mutex would stop the clock of a test.
	turn chan struct{}

	mu       sync.Mutex
	complete bool          // the versions of before the start have been added
	readAt   time.Duration // the end of the last read that a request caused; 0 if there was none
}

// NewVersions returns a Versions that knows nothing.
func NewVersions(cfg VersionsConfig) *Versions {
	if cfg.Clock == nil {
		cfg.Clock = times.SinceBoot
	}
	return &Versions{cfg: cfg, startedAt: cfg.Clock(), turn: make(chan struct{}, 1)}
}

// Known reports whether this host knows all versions that were listed within the memory. It
// reads the record if it has to, at most once each minReadInterval.
func (v *Versions) Known(ctx context.Context) bool {
	if v.known() {
		return true
	}
	select {
	case v.turn <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-v.turn }()
	if v.known() || !v.mayRead() {
		return v.known()
	}
	// The result serves other requests too.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(readTimeout))
	defer cancel()
	if _, _, err := v.read(ctx); err != nil {
		v.cfg.Logger.Warn("cannot read the record of versions", "error", err)
	}
	v.mu.Lock()
	v.readAt = v.cfg.Clock()
	v.mu.Unlock()
	return v.known()
}

// known reports whether the versions of before the start have been added or are forgotten by
// now.
func (v *Versions) known() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.complete || v.cfg.Clock()-v.startedAt >= v.cfg.Memory
}

// mayRead reports whether a request may cause a read of the record.
func (v *Versions) mayRead() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.readAt == 0 || v.cfg.Clock()-v.readAt >= minReadInterval
}

// read adds the versions in the record, and returns it with the end of its stream; it is nil
// if there is none.
func (v *Versions) read(ctx context.Context) (*storedVersions, tamarackknot.Position, error) {
	page, err := v.cfg.Store.Newest(ctx, tamarackknot.StreamVersions)
	if err != nil {
		return nil, page.End, errors.Wrap(err, "read the versions")
	}
	i := slices.IndexFunc(page.Records, func(rec tamarackknot.KeyedRecord) bool { return rec.Key == versionsKey })
	if i < 0 {
		return nil, page.End, nil
	}
	var stored storedVersions
	if err := json.Unmarshal(page.Records[i].Value, &stored); err != nil {
		v.cfg.Logger.Warn("invalid record of versions", "error", err)
		return nil, page.End, nil
	}
	v.cfg.Add(stored.Versions)
	v.mu.Lock()
	v.complete = v.complete || time.Now().UnixMilli() >= stored.CompleteAt
	v.mu.Unlock()
	return &stored, page.End, nil
}

// Run keeps the record up to date while this host keeps it, until ctx ends.
func (v *Versions) Run(ctx context.Context) {
	var k *keeper
	for wait.For(ctx, keepInterval) {
		switch {
		case !v.cfg.Keeps():
			k = nil
			continue
		case k == nil || k.end.Era != v.cfg.Store.Era():
			k = v.newKeeper(ctx)
		}
		if k != nil && !k.update(ctx) {
			k = nil
		}
	}
}

// keeper is the record as the host that keeps it knows it.
type keeper struct {
	*Versions
	stored storedVersions
	end    tamarackknot.Position // of the stream
}

// newKeeper reads the record, and returns nil if it can't.
func (v *Versions) newKeeper(ctx context.Context) *keeper {
	v.turn <- struct{}{}
	defer func() { <-v.turn }()
	stored, end, err := v.read(ctx)
	if err != nil {
		v.cfg.Logger.Warn("cannot read the record of versions", "error", err)
		return nil
	}
	k := &keeper{Versions: v, end: end}
	if stored != nil {
		k.stored = *stored
		return k
	}
	k.stored.CompleteAt = time.Now().Add(max(v.cfg.Memory-(v.cfg.Clock()-v.startedAt), 0)).UnixMilli()
	if v.cfg.FirstStart {
		k.stored.CompleteAt = time.Now().UnixMilli()
	}
	return k
}

// update writes the record if versions have come or are forgotten. It returns false if it is
// not known any more what the stream holds.
func (k *keeper) update(ctx context.Context) bool {
	listed := boundVersions(k.cfg.Listed())
	if maps.EqualFunc(listed, k.stored.Versions, slices.Equal) {
		return true
	}
	next := storedVersions{CompleteAt: k.stored.CompleteAt, Versions: listed}
	value, err := json.Marshal(next)
	if err != nil {
		k.cfg.Logger.Error("cannot encode the record of versions", "error", err)
		return false
	}
	// The condition keeps a late write of an earlier keeper from replacing this one.
	at, err := k.cfg.Store.PutAt(ctx, tamarackknot.StreamVersions, versionsKey, value, k.end)
	if err != nil {
		k.cfg.Logger.Warn("cannot write the record of versions", "error", err, "conflict", errors.Is(err, tamarackknot.ErrConflict))
		return false
	}
	k.stored, k.end = next, tamarackknot.Position{Era: at.Era, Offset: at.Offset + 1}
	k.cfg.Logger.Info("versions of the endpoints' software recorded", "versions", listed)
	return true
}

// boundVersions sorts the versions of each service and leaves out those beyond
// maxStoredVersions.
func boundVersions(versions map[string][]string) map[string][]string {
	for service, names := range versions {
		slices.Sort(names)
		versions[service] = names[:min(len(names), maxStoredVersions)]
	}
	return versions
}
