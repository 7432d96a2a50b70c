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
	// maxPushes bounds the batches being sent.
	maxPushes = 16
	// maxBatchBytes bounds a batch; what does not fit follows in the next one.
	maxBatchBytes = 64 << 10
	// maxSubscribed bounds the endpoints of one subscription against invalid
	// input; the target size has 6,900 endpoints.
	maxSubscribed = 16_384
	// maxSubscriptionTime bounds a deadline that a wrong clock has set.
	maxSubscriptionTime = 2 * subscriptionTime
)

// publisher sends the reports that this host polls to the hosts that subscribe
// to them.
type publisher struct {
	mu          sync.Mutex
	subscribers map[string]*subscriber
}

// subscriber is a host that has a subscription here.
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

// sentReport is the last report sent of an endpoint. The lists of a report are
// never modified.
type sentReport struct {
	sent   bool
	report tamarackknot.Report
}

func (t *Table) handleSubscribe(_ context.Context, from string, params json.RawMessage) (any, error) {
	var s subscription
	if err := json.Unmarshal(params, &s); err != nil {
		return nil, errors.Wrap(err, "subscribeReports")
	}
	if len(s.Endpoints) > maxSubscribed || s.Full < 0 || s.Full > len(s.Endpoints) {
		return nil, errors.Newf("subscribeReports: %d endpoints, %d in full; allowed are %d", len(s.Endpoints), s.Full, maxSubscribed)
	}
	now := time.Now()
	if limit := now.Add(maxSubscriptionTime); s.Until.After(limit) {
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

// outgoing is a batch on its way to a subscriber.
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
		t.pollers.Go(func() { t.send(ctx, out) })
	}
}

// batch collects what a subscriber does not have yet. The caller holds
// publisher.mu.
func (t *Table) batch(sub *subscriber, now time.Time) batch {
	sub.seq++
	b := batch{ID: sub.id, Seq: sub.seq}
	since, size := now.Add(-2*t.cfg.Interval), 0
	for i, name := range sub.names {
		r, ok := t.polled(name, since)
		if !ok || size > maxBatchBytes {
			b.Missing = append(b.Missing, i)
			continue
		}
		it, changed := newItem(i, r, &sub.sent[i], i < sub.full)
		if changed {
			size += it.bytes()
			b.Changed = append(b.Changed, it)
		}
	}
	return b
}

// polled returns the last report if this host itself got it after a time.
func (t *Table) polled(endpoint string, after time.Time) (tamarackknot.Report, bool) {
	e, ok := t.Get(endpoint)
	if !ok {
		return tamarackknot.Report{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, e.reported && e.polledAt.After(after)
}

// newItem reports whether r differs from what was sent. The time of a report
// counts only for endpoints wanted in full.
func newItem(index int, r tamarackknot.Report, sent *sentReport, full bool) (item, bool) {
	old := sent.report
	changed := !sent.sent || r.Running != old.Running || r.Waiting != old.Waiting || r.Leaving != old.Leaving ||
		full && !r.Time.Equal(old.Time)
	it := item{Index: index, Running: r.Running, Waiting: r.Waiting, Leaving: r.Leaving}
	if full {
		it.Time = r.Time.UnixNano()
		it.Name = r.Endpoint
		if !sent.sent || !slices.Equal(r.Loaded, old.Loaded) {
			it.Loaded = list(r.Loaded)
		}
		if !sent.sent || !slices.Equal(r.Cached, old.Cached) {
			it.Cached = list(r.Cached)
		}
		if sent.sent && r.Endpoint == old.Endpoint {
			it.Name = ""
		}
	}
	*sent = sentReport{sent: true, report: r}
	return it, changed
}

// list keeps an empty list apart from one that has not changed.
func list[T any](l []T) *[]T {
	if l == nil {
		l = []T{}
	}
	return &l
}

func (t *Table) send(ctx context.Context, out []outgoing) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Interval)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxPushes)
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
