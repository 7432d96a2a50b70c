// Package endpoint keeps what this host knows of each endpoint: its newest
// report, signs that it is leaving, and this host's requests in flight.
package endpoint

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const (
	// leavingTime is how long a leaving endpoint stays out of routing after
	// its last sign. Reports renew the sign while the endpoint is there.
	leavingTime = 30 * time.Second
	// refusedTime is shorter: after a restart the endpoint listens again.
	refusedTime = 5 * time.Second
	// maxPolls bounds the polls in progress.
	maxPolls = 64
	// lateIntervals is the number of report intervals after which a host polls
	// an endpoint that it follows itself, and of failed polls that make it
	// unreachable.
	lateIntervals = 3
	// reasonNoReport marks an endpoint whose polls fail at this host.
	reasonNoReport = "noReport"
)

// Config holds the dependencies of a Table.
type Config struct {
	Journal tamarackknot.Journal
	Engine  tamarackknot.Engine
	// Members and Peers are nil on a host without peers.
	Members tamarackknot.Members
	Peers   tamarackknot.Peers
	// Spread is called for each new sign found by this host, so that it can be
	// told to the peers. It must not block.
	Spread func(tamarackknot.EndpointSign)
	// Interval between two reports of an endpoint; 1 s if 0.
	Interval time.Duration
	Logger   *log.Logger
}

// Table is this host's view of the endpoints.
type Table struct {
	cfg     Config
	polls   chan struct{}
	pollers sync.WaitGroup

	mu      sync.RWMutex
	entries map[string]*Entry

	publisher publisher
	follower  follower

	// Used by loop only.
	ranking      ranking
	synced       bool
	configOffset tamarackknot.Offset
	applied      tamarackknot.Offset
}

var _ tamarackknot.Reports = (*Table)(nil)

// New returns a table that is empty until Run is called.
func New(cfg Config) *Table {
	if cfg.Interval == 0 {
		cfg.Interval = time.Second
	}
	if cfg.Spread == nil {
		cfg.Spread = func(tamarackknot.EndpointSign) {}
	}
	t := &Table{cfg: cfg, polls: make(chan struct{}, maxPolls), entries: map[string]*Entry{}}
	t.publisher.subscribers = map[string]*subscriber{}
	t.follower.sources, t.follower.failed = map[string]*source{}, map[string]time.Time{}
	if cfg.Peers != nil {
		cfg.Peers.Handle(subscribeMethod, t.handleSubscribe)
		cfg.Peers.Handle(reportsMethod, t.handleReports)
	}
	return t
}

// Run follows the journal and polls reports until ctx ends.
func (t *Table) Run(ctx context.Context) {
	defer t.pollers.Wait()
	tick := time.NewTicker(t.cfg.Interval)
	defer tick.Stop()
	for {
		changed := t.cfg.Journal.Changed()
		t.cfg.Journal.Read(t.sync)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
			t.ranking.update(t.cfg.Members)
			t.publish(ctx)
			t.follow(ctx, time.Now())
			t.poll(ctx)
		}
	}
}

func (t *Table) sync(s tamarackknot.State) {
	since, unchanged := t.applied, t.synced && s.ConfigOffset() == t.configOffset
	t.applied, t.configOffset = s.Applied(), s.ConfigOffset()
	if unchanged {
		return
	}
	_, endpoints, complete := s.ChangedSince(since)
	if !t.synced || !complete {
		t.synced = true
		t.syncAll(s)
		return
	}
	for _, name := range endpoints {
		if res, ok := s.Resource(tamarackknot.KindEndpoint, name); ok {
			t.Upsert(res)
			continue
		}
		t.mu.Lock()
		delete(t.entries, name)
		t.mu.Unlock()
	}
}

func (t *Table) syncAll(s tamarackknot.State) {
	resources := s.Resources(tamarackknot.KindEndpoint)
	for _, res := range resources {
		t.Upsert(res)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == len(resources) {
		return
	}
	for name := range t.entries {
		if _, ok := s.Resource(tamarackknot.KindEndpoint, name); !ok {
			delete(t.entries, name)
		}
	}
}

// Upsert returns the entry of an endpoint resource with its newest
// specification. It is to be called within Journal.Read, so that an older
// specification never replaces a newer one.
func (t *Table) Upsert(res *tamarackknot.Resource) *Entry {
	t.mu.RLock()
	e := t.entries[res.Metadata.Name]
	t.mu.RUnlock()
	if e == nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		if e = t.entries[res.Metadata.Name]; e == nil {
			e = newEntry(res)
			t.entries[e.name] = e
		}
	}
	if e.spec.Load() != res.Endpoint {
		e.spec.Store(res.Endpoint)
	}
	return e
}

// Get returns the entry of an endpoint.
func (t *Table) Get(endpoint string) (*Entry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[endpoint]
	return e, ok
}

// Report implements tamarackknot.Reports. The reports of an endpoint that is
// asked for are followed in full from then on; in a large fleet the first
// question may have no answer.
func (t *Table) Report(endpoint string) (tamarackknot.Report, bool) {
	e, ok := t.Get(endpoint)
	if !ok {
		return tamarackknot.Report{}, false
	}
	touchTime(&e.wantedAt, time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, e.reported
}

// Unreachable implements tamarackknot.Reports.
func (t *Table) Unreachable(endpoint string) bool {
	e, ok := t.Get(endpoint)
	return !ok || e.signUntil.Load() > time.Now().UnixNano()
}

// Sign takes a sign from a peer. It is not spread again, and a deadline far
// ahead, which a wrong clock at the peer produces, is cut.
func (t *Table) Sign(s tamarackknot.EndpointSign) {
	if e, ok := t.Get(s.Endpoint); ok {
		if limit := time.Now().Add(leavingTime); s.Until.After(limit) {
			s.Until = limit
		}
		t.mark(e, s, false)
	}
}

// Leaving records that an endpoint has said that it is leaving.
func (t *Table) Leaving(e *Entry, reason string) {
	t.mark(e, tamarackknot.EndpointSign{
		Endpoint: e.name, Reason: reason, Until: time.Now().Add(leavingTime),
	}, true)
}

// ConnectFailed records that no connection to an endpoint could be made. A
// refused connection is a sign for all hosts; any other failure may lie
// between this host and the endpoint and counts here only.
func (t *Table) ConnectFailed(e *Entry, err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	reason := "connectFailed"
	if refused {
		reason = "connectionRefused"
	}
	t.mark(e, tamarackknot.EndpointSign{
		Endpoint: e.name, Reason: reason, Until: time.Now().Add(refusedTime),
	}, refused)
}

// Hosts takes the platform's host list and records the endpoints in it that
// are marked as leaving.
func (t *Table) Hosts(hosts []tamarackknot.Host) {
	leaving := map[string]bool{}
	for _, h := range hosts {
		if h.Role == tamarackknot.RoleEndpoint && h.Leaving {
			leaving[h.Address] = true
		}
	}
	if len(leaving) == 0 {
		return
	}
	for _, e := range t.list() {
		if leaving[e.Spec().Address] {
			t.Leaving(e, "hostList")
		}
	}
}

func (t *Table) mark(e *Entry, s tamarackknot.EndpointSign, spread bool) {
	first, firstShared := e.mark(s, spread)
	if first && t.cfg.Logger != nil {
		t.cfg.Logger.Info("endpoint taken out of routing", "endpoint", s.Endpoint,
			"reason", s.Reason, "until", s.Until.Format(time.RFC3339Nano), "spread", spread)
	}
	if firstShared {
		t.cfg.Spread(s)
	}
}

func (t *Table) list() []*Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entries := make([]*Entry, 0, len(t.entries))
	for _, e := range t.entries {
		entries = append(entries, e)
	}
	return entries
}

// poll starts a poll of each endpoint that is due at this host: those that it
// polls for all hosts, and a bounded number of those that it follows and whose
// poller does not send.
func (t *Table) poll(ctx context.Context) {
	now := time.Now()
	late := now.Add(-t.follower.interval - (lateIntervals-1)*t.cfg.Interval)
	own := maxOwnPolls
	for _, e := range t.list() {
		if e.Spec().Service != "" {
			continue
		}
		if !t.ranking.polls(e.name) {
			if _, follows := t.follower.followed[e]; !follows || own == 0 || !e.late(late) {
				continue
			}
			own--
		}
		if !e.polling.CompareAndSwap(false, true) {
			continue
		}
		t.pollers.Go(func() {
			defer e.polling.Store(false)
			t.pollOne(ctx, e)
		})
	}
}

func (t *Table) pollOne(ctx context.Context, e *Entry) {
	t.polls <- struct{}{}
	defer func() { <-t.polls }()
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Interval)
	defer cancel()
	r, err := t.cfg.Engine.Report(ctx, e.Spec().Address)
	if err != nil {
		t.pollFailed(ctx, e, err)
		return
	}
	e.unmark(reasonNoReport)
	e.observe(r, false)
	if r.Leaving {
		t.Leaving(e, "report")
	}
}

func (t *Table) pollFailed(ctx context.Context, e *Entry, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	e.mu.Lock()
	e.failures++
	failures := e.failures
	e.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		t.ConnectFailed(e, err)
		return
	}
	if failures < lateIntervals {
		return
	}
	// The last report says nothing any more about the other hosts' requests.
	e.others.Store(0)
	e.smoothed.Store(0)
	t.mark(e, tamarackknot.EndpointSign{
		Endpoint: e.name, Reason: reasonNoReport, Until: time.Now().Add(lateIntervals * t.cfg.Interval),
	}, false)
}
