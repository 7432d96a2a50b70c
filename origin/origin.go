// Package origin records which version of the endpoints' software began a stream, so
// that another host can go on with it there after the host that knew has ended. Each
// record is kept by the host that relays the stream and by a few others, chosen by
// hashing the id of the stream; nobody else learns of it.
package origin

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
)

const (
	// copies is the number of other hosts that keep a record. Up to maxAsked are asked
	// for one: the order of the hosts changes little when hosts are added or lost.
	copies   = 2
	maxAsked = 8
	// retention is how long a record is kept at least: longer than any caller comes back
	// to a stream.
	retention = 60 * time.Second
	// maxRecords limits the records of a generation. Two generations are kept.
	maxRecords = 20000
	// sendTimeout and findTimeout limit a message to another host and the search for a
	// record.
	sendTimeout = 200 * time.Millisecond
	findTimeout = 300 * time.Millisecond
	// maxQueued limits the records that wait to be sent; further ones are dropped.
	maxQueued = 1024
)

// Methods of the messages between hosts.
const (
	methodRecord = "origin.record"
	methodFind   = "origin.find"
)

// recordMessage carries a record, and findMessage asks for one.
type recordMessage struct {
	ID      string `json:"id"`
	Service string `json:"s"`
	Version string `json:"v"`
}

type findMessage struct {
	ID string `json:"id"`
}

// findResult has an empty Version if the host has no record.
type findResult struct {
	Service string `json:"s,omitempty"`
	Version string `json:"v,omitempty"`
}

// Config configures a Registry.
type Config struct {
	Peers tamarackknot.Peers
	// Others returns the names of the other live hosts.
	Others func() []string
	Logger *log.Logger
}

var _ tamarackknot.StreamOrigins = (*Registry)(nil)

// Registry keeps the records of this host.
type Registry struct {
	cfg    Config
	queued chan recordMessage

	mu sync.Mutex
	// recent holds the records since rotatedAt, earlier those of the generation before.
	recent, earlier map[string]tamarackknot.StreamOrigin
	rotatedAt       time.Time
}

// New returns a Registry and registers its handlers with cfg.Peers.
func New(cfg Config) *Registry {
	r := &Registry{cfg: cfg, queued: make(chan recordMessage, maxQueued), recent: make(map[string]tamarackknot.StreamOrigin), rotatedAt: time.Now()}
	cfg.Peers.Handle(methodRecord, r.handleRecord)
	cfg.Peers.Handle(methodFind, r.handleFind)
	return r
}

// Record implements tamarackknot.StreamOrigins. It does not wait for other hosts.
func (r *Registry) Record(id string, o tamarackknot.StreamOrigin) {
	r.store(id, o)
	select {
	case r.queued <- recordMessage{id, o.Service, o.Version}:
	default:
		r.cfg.Logger.Warn("origin of a stream not sent to other hosts, too many wait", "request", id)
	}
}

// Run sends the records to other hosts until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.queued:
			r.send(ctx, m)
		}
	}
}

func (r *Registry) send(ctx context.Context, m recordMessage) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(sendTimeout))
	defer cancel()
	for _, host := range keepers(m.ID, r.cfg.Others()) {
		if err := r.cfg.Peers.Notify(ctx, host, methodRecord, m); err != nil {
			r.cfg.Logger.Debug("cannot send the origin of a stream", "request", m.ID, "host", host, "error", err)
		}
	}
}

// Find implements tamarackknot.StreamOrigins. It asks the keepers first, then the hosts
// that follow them in the order for the stream.
func (r *Registry) Find(ctx context.Context, id string) (o tamarackknot.StreamOrigin, found, complete bool) {
	if o, found = r.lookUp(id); found {
		return o, true, true
	}
	hosts := ranked(id, r.cfg.Others())
	hosts = hosts[:min(len(hosts), maxAsked)]
	first := min(len(hosts), copies)
	o, found, complete = r.ask(ctx, hosts[:first], id)
	if found {
		return o, true, true
	}
	o, found, rest := r.ask(ctx, hosts[first:], id)
	return o, found, complete && rest && len(hosts) > 0
}

// ask asks hosts at the same time until one has the record. complete says that all
// answered.
func (r *Registry) ask(ctx context.Context, hosts []string, id string) (o tamarackknot.StreamOrigin, found, complete bool) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(findTimeout))
	defer cancel()
	type reply struct {
		result findResult
		err    error
	}
	replies := make(chan reply, len(hosts))
	for _, host := range hosts {
		go func() {
			var a reply
			a.err = r.cfg.Peers.Call(ctx, host, methodFind, findMessage{id}, &a.result)
			replies <- a
		}()
	}
	complete = true
	for range hosts {
		switch a := <-replies; {
		case a.err != nil:
			r.cfg.Logger.Debug("cannot ask for the origin of a stream", "request", id, "error", a.err)
			complete = false
		case a.result.Version != "":
			return tamarackknot.StreamOrigin{Service: a.result.Service, Version: a.result.Version}, true, true
		}
	}
	return tamarackknot.StreamOrigin{}, false, complete
}

// keepers returns the hosts that keep the record of a stream besides the one that
// relays it.
func keepers(id string, hosts []string) []string {
	return ranked(id, hosts)[:min(len(hosts), copies)]
}

// ranked returns the hosts in the order for a stream.
func ranked(id string, hosts []string) []string {
	type rankedHost struct {
		name string
		rank uint64
	}
	order := make([]rankedHost, 0, len(hosts))
	for _, name := range hosts {
		order = append(order, rankedHost{name, xxhash.Sum64String(id + "\x00" + name)})
	}
	slices.SortFunc(order, func(a, b rankedHost) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	out := make([]string, 0, len(order))
	for _, h := range order {
		out = append(out, h.name)
	}
	return out
}

func (r *Registry) handleRecord(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var m recordMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	r.store(m.ID, tamarackknot.StreamOrigin{Service: m.Service, Version: m.Version})
	return nil, nil
}

func (r *Registry) handleFind(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var m findMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	o, _ := r.lookUp(m.ID)
	return findResult{o.Service, o.Version}, nil
}

// store keeps a record and drops the older generation when the newer one is old or full.
func (r *Registry) store(id string, o tamarackknot.StreamOrigin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.rotatedAt) >= retention || len(r.recent) >= maxRecords {
		r.recent, r.earlier, r.rotatedAt = make(map[string]tamarackknot.StreamOrigin), r.recent, now
	}
	r.recent[id] = o
}

func (r *Registry) lookUp(id string) (tamarackknot.StreamOrigin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.recent[id]
	if !ok {
		o, ok = r.earlier[id]
	}
	return o, ok
}
