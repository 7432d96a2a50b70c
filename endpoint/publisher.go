package endpoint

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"tamarackknot.example/tamarackknot"
)

const (
	// maxConcurrentBatches bounds the batches that are sent at a time.
	maxConcurrentBatches = 16
	// maxBatchBytes bounds a batch; the rest follows in the next one.
	maxBatchBytes = 64 << 10
	// maxSubscribedEndpoints bounds the endpoints of one subscription against
	// invalid input; the target size has 6,900 endpoints.
	maxSubscribedEndpoints = 16_384
	// maxSubscriptionTTL bounds deadlines from subscribers whose clock is wrong.
	maxSubscriptionTTL = 2 * subscriptionTTL
)

// publisher sends the reports that this host polls to the hosts that subscribe
// to them.
type publisher struct {
	mu          sync.Mutex
	subscribers map[string]*subscriber
}

// subscriber is a host that has a subscription at this one.
type subscriber struct {
	id       uint64
	seq      uint64
	interval time.Duration
	until    time.Time
	nextAt   time.Time
	full     int
	names    []string
	sent     []sentReport
	sending  bool
}

// sentReport is the last report of an endpoint sent to a subscriber. The lists
// of a report are never modified.
type sentReport struct {
	valid  bool
	report tamarackknot.Report
}

func (t *Table) handleSubscribe(_ context.Context, from string, params json.RawMessage) (any, error) {
	var s subscription
	if err := json.Unmarshal(params, &s); err != nil {
		return nil, errors.Wrap(err, "subscribeReports")
	}
	if len(s.Endpoints) > maxSubscribedEndpoints || s.Full < 0 || s.Full > len(s.Endpoints) {
		return nil, errors.Newf("subscribeReports: %d endpoints, %d in full; allowed are %d", len(s.Endpoints), s.Full, maxSubscribedEndpoints)
	}
	now := time.Now()
	if limit := now.Add(maxSubscriptionTTL); s.Until.After(limit) {
		s.Until = limit
	}
	p := &t.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(s.Endpoints) == 0 {
		delete(p.subscribers, from)
		return nil, nil
	}
	if sub := p.subscribers[from]; sub != nil && sub.id == s.ID {
		sub.until = s.Until
		return nil, nil
	}
	p.subscribers[from] = &subscriber{
		id: s.ID, until: s.Until, full: s.Full, names: s.Endpoints, sent: make([]sentReport, len(s.Endpoints)),
		interval: max(time.Duration(s.IntervalMillis)*time.Millisecond, t.cfg.Interval),
	}
	return nil, nil
}

// outgoing is a batch to be sent to a subscriber.
type outgoing struct {
	host string
	sub  *subscriber
	b    batch
}

// publish sends a batch to each subscriber that is due.
func (t *Table) publish(ctx context.Context) {
	now := time.Now()
	p := &t.publisher
	p.mu.Lock()
	var out []outgoing
	for host, sub := range p.subscribers {
		if !sub.until.After(now) {
			delete(p.subscribers, host)
			continue
		}
		if sub.sending || now.Before(sub.nextAt) {
			continue
		}
		sub.nextAt, sub.sending = now.Add(sub.interval-t.cfg.Interval/2), true
		out = append(out, outgoing{host, sub, t.batch(sub, now)})
	}
	p.mu.Unlock()
	if len(out) > 0 {
		t.background.Go(func() { t.send(ctx, out) })
	}
}

// batch returns the next batch of a subscriber. The caller holds publisher.mu.
func (t *Table) batch(sub *subscriber, now time.Time) batch {
	sub.seq++
	b := batch{ID: sub.id, Seq: sub.seq}
	since, size := now.Add(-2*t.cfg.Interval), 0
	for i, name := range sub.names {
		r, ok := t.polledReport(name, since)
		if !ok || size > maxBatchBytes {
			b.Missing = append(b.Missing, i)
			continue
		}
		it, changed := newItem(i, r, &sub.sent[i], i < sub.full)
		if changed {
			size += it.encodedSize()
			b.Changed = append(b.Changed, it)
		}
	}
	return b
}

// polledReport returns the last report if this host polled it after a time.
func (t *Table) polledReport(endpoint string, after time.Time) (tamarackknot.Report, bool) {
	e, ok := t.Get(endpoint)
	if !ok {
		return tamarackknot.Report{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, e.hasReport && e.polledAt.After(after)
}

// newItem returns the delta of r to the report sent before, and whether there is
// one. The time of a report counts only for endpoints followed in full.
func newItem(index int, r tamarackknot.Report, sent *sentReport, full bool) (item, bool) {
	old := sent.report
	changed := !sent.valid || r.Running != old.Running || r.Waiting != old.Waiting || r.Leaving != old.Leaving ||
		full && !r.Time.Equal(old.Time)
	it := item{Index: index, Running: r.Running, Waiting: r.Waiting, Leaving: r.Leaving}
	if full {
		it.Time = r.Time.UnixNano()
		it.Name = r.Endpoint
		if !sent.valid || !slices.Equal(r.Loaded, old.Loaded) {
			it.Loaded = nonNil(r.Loaded)
		}
		if !sent.valid || !slices.Equal(r.Cached, old.Cached) {
			it.Cached = nonNil(r.Cached)
		}
		if sent.valid && r.Endpoint == old.Endpoint {
			it.Name = ""
		}
	}
	*sent = sentReport{valid: true, report: r}
	return it, changed
}

// nonNil returns a pointer to a list that is not nil, as a nil list in an item
// means that it has not changed.
func nonNil[T any](l []T) *[]T {
	if l == nil {
		l = []T{}
	}
	return &l
}

func (t *Table) send(ctx context.Context, out []outgoing) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Interval)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxConcurrentBatches)
	for _, o := range out {
		g.Go(func() error {
			// A host that misses a batch subscribes again.
			_ = t.cfg.Peers.Notify(ctx, o.host, reportsMethod, o.b)
			t.publisher.mu.Lock()
			o.sub.sending = false
			t.publisher.mu.Unlock()
			return nil
		})
	}
	_ = g.Wait()
}
