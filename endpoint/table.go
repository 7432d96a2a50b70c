// Package endpoint holds this host's state of each endpoint: its newest report,
// signs that it is leaving or unreachable, and this host's requests in flight.
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
	// leavingTTL is how long a leaving endpoint stays out of routing after its
	// last sign. Its reports renew the sign while it runs.
	leavingTTL = 30 * time.Second
	// refusedTTL is how long an endpoint stays out of routing after a refused
	// connection. It is shorter, because a restarted endpoint listens again soon.
	refusedTTL = 5 * time.Second
	// maxConcurrentPolls bounds the polls that run at a time.
	maxConcurrentPolls = 64
	// maxMissedIntervals is the number of report intervals without a report after
	// which a host itself polls an endpoint that it follows, and the number of
	// failed polls after which the endpoint is unreachable.
	maxMissedIntervals = 3
	// reasonNoReport is the reason of the sign for an endpoint whose polls fail at
	// this host.
	reasonNoReport = "noReport"
)

// Config holds the dependencies of a Table.
type Config struct {
	Journal tamarackknot.Journal
	Engine  tamarackknot.Engine
	// Members and Peers may be nil on a host without peers.
	Members tamarackknot.Members
	Peers   tamarackknot.Peers
	// PublishSign is called for each new sign that this host finds, to publish it
	// to the peers. It must not block.
	PublishSign func(tamarackknot.EndpointSign)
	// Interval is the time between two reports of an endpoint; default 1 s.
	Interval time.Duration
	Logger   *log.Logger
}

// Table holds the entries of all endpoints. It polls the reports of some
// endpoints, sends these to peers, and receives the others from peers.
type Table struct {
	cfg        Config
	pollSlots  chan struct{}
	background sync.WaitGroup

	mu      sync.RWMutex
	entries map[string]*Entry

	publisher publisher
	follower  follower

	// Used only by the goroutine of Run.
	ranking      ranking
	synced       bool
	configOffset tamarackknot.Offset
	applied      tamarackknot.Offset
}

var _ tamarackknot.Reports = (*Table)(nil)

// New returns an empty table, which Run fills.
func New(cfg Config) *Table {
	if cfg.Interval == 0 {
		cfg.Interval = time.Second
	}
	if cfg.PublishSign == nil {
		cfg.PublishSign = func(tamarackknot.EndpointSign) {}
	}
	t := &Table{cfg: cfg, pollSlots: make(chan struct{}, maxConcurrentPolls), entries: map[string]*Entry{}}
	t.publisher.subscribers = map[string]*subscriber{}
	t.follower.sources, t.follower.failedUntil = map[string]*source{}, map[string]time.Time{}
	if cfg.Peers != nil {
		cfg.Peers.Handle(subscribeMethod, t.handleSubscribe)
		cfg.Peers.Handle(reportsMethod, t.handleReports)
	}
	return t
}

// Run updates the table from the journal and exchanges reports until ctx is
// done. It returns when its goroutines have ended.
func (t *Table) Run(ctx context.Context) {
	defer t.background.Wait()
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

// sync updates the entries to the endpoints in the state.
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

// Upsert sets the specification of an endpoint's entry and returns the entry,
// which it creates if necessary. It must be called within Journal.Read, so that
// an older specification never replaces a newer one.
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

// Report implements tamarackknot.Reports. A call makes this host follow the
// reports of the endpoint in full for useTTL; in a large fleet the first call
// may return false.
func (t *Table) Report(endpoint string) (tamarackknot.Report, bool) {
	e, ok := t.Get(endpoint)
	if !ok {
		return tamarackknot.Report{}, false
	}
	storeCoarse(&e.reportRequestedAt, time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, e.hasReport
}

// Unreachable implements tamarackknot.Reports.
func (t *Table) Unreachable(endpoint string) bool {
	e, ok := t.Get(endpoint)
	return !ok || e.signUntil.Load() > time.Now().UnixNano()
}

// ApplySign stores a sign that a peer published. It is not published again, and
// its deadline is limited in case the peer's clock is wrong.
func (t *Table) ApplySign(s tamarackknot.EndpointSign) {
	if e, ok := t.Get(s.Endpoint); ok {
		if limit := time.Now().Add(leavingTTL); s.Until.After(limit) {
			s.Until = limit
		}
		t.setSign(e, s, false)
	}
}

// MarkLeaving takes an endpoint out of routing that is reported as leaving, and
// publishes the sign.
func (t *Table) MarkLeaving(e *Entry, reason string) {
	t.setSign(e, tamarackknot.EndpointSign{
		Endpoint: e.name, Reason: reason, Until: time.Now().Add(leavingTTL),
	}, true)
}

// MarkConnectFailed takes an endpoint out of routing to which no connection could
// be made. A refused connection is published to all hosts; any other failure may
// be a network fault between this host and the endpoint and is not published.
func (t *Table) MarkConnectFailed(e *Entry, err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	reason := "connectFailed"
	if refused {
		reason = "connectionRefused"
	}
	t.setSign(e, tamarackknot.EndpointSign{
		Endpoint: e.name, Reason: reason, Until: time.Now().Add(refusedTTL),
	}, refused)
}

// ApplyHostList takes the endpoints out of routing that the platform's host list
// marks as leaving.
func (t *Table) ApplyHostList(hosts []tamarackknot.Host) {
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
			t.MarkLeaving(e, "hostList")
		}
	}
}

// setSign stores a sign and, if publish is set and no published sign is in
// force, publishes it.
func (t *Table) setSign(e *Entry, s tamarackknot.EndpointSign, publish bool) {
	first, firstPublished := e.setSign(s, publish)
	if first && t.cfg.Logger != nil {
		t.cfg.Logger.Info("endpoint taken out of routing", "endpoint", s.Endpoint,
			"reason", s.Reason, "until", s.Until.Format(time.RFC3339Nano), "spread", publish)
	}
	if firstPublished {
		t.cfg.PublishSign(s)
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

// poll starts a poll of each endpoint that this host polls for all hosts, and of
// a bounded number of those that it follows and of which it gets no reports.
func (t *Table) poll(ctx context.Context) {
	now := time.Now()
	staleBefore := now.Add(-t.follower.interval - (maxMissedIntervals-1)*t.cfg.Interval)
	budget := maxOwnPolls
	for _, e := range t.list() {
		if e.Spec().Service != "" {
			continue
		}
		if !t.ranking.isPoller(e.name) {
			if _, follows := t.follower.followed[e]; !follows || budget == 0 || !e.stale(staleBefore) {
				continue
			}
			budget--
		}
		if !e.polling.CompareAndSwap(false, true) {
			continue
		}
		t.background.Go(func() {
			defer e.polling.Store(false)
			t.pollOne(ctx, e)
		})
	}
}

func (t *Table) pollOne(ctx context.Context, e *Entry) {
	t.pollSlots <- struct{}{}
	defer func() { <-t.pollSlots }()
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Interval)
	defer cancel()
	r, err := t.cfg.Engine.Report(ctx, e.Spec().Address)
	if err != nil {
		t.pollFailed(ctx, e, err)
		return
	}
	e.clearSign(reasonNoReport)
	e.observe(r, false)
	if r.Leaving {
		t.MarkLeaving(e, "report")
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
		t.MarkConnectFailed(e, err)
		return
	}
	if failures < maxMissedIntervals {
		return
	}
	// The last report is too old to estimate the other hosts' requests.
	e.others.Store(0)
	e.smoothed.Store(0)
	t.setSign(e, tamarackknot.EndpointSign{
		Endpoint: e.name, Reason: reasonNoReport, Until: time.Now().Add(maxMissedIntervals * t.cfg.Interval),
	}, false)
}
