package endpoint

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const (
	// smallFleet is the maximum number of endpoints of which every host follows
	// all in full, from all their pollers and once per report interval.
	smallFleet = 64
	// useTTL is how long an endpoint is followed after its last use.
	useTTL = 30 * time.Second
	// maxFollowed bounds the endpoints that a host follows for routing: at the
	// target size routing prefers 2 endpoints for each of 97 models.
	// maxInspected bounds those that it follows in full without being their
	// planner.
	maxFollowed  = 200
	maxInspected = 64
	// subscriptionTTL is how long a subscription lasts; it is renewed after half
	// of that. With a TTL of 60 s, renewals took 2 KB/s at the target size.
	subscriptionTTL = 5 * time.Minute
	// A batch takes about batchBytes on the wire plus itemBytes per endpoint. A
	// host with many pollers asks for batches less often, so that they take about
	// batchBytesPerSecond, but at least every maxBatchIntervals report intervals,
	// because placement ignores reports older than 15 s.
	batchBytes          = 160
	itemBytes           = 25
	batchBytesPerSecond = 3000
	maxBatchIntervals   = 10
	// maxOwnPolls bounds the polls in one interval of endpoints that this host
	// follows and whose pollers send no reports.
	maxOwnPolls = 32
	// failedPollerTTL is how long a host does not subscribe at a poller that sent
	// nothing.
	failedPollerTTL = 30 * time.Second
)

// MarkUsed records that routing considers the endpoint, so that this host
// follows its reports.
func (e *Entry) MarkUsed(now time.Time) { storeCoarse(&e.usedAt, now) }

// source is a poller at which this host has a subscription.
type source struct {
	subscription
	renewAt     time.Time
	lastBatchAt time.Time
	seq         uint64
	// lastReports holds the last reports received, by index in the subscription.
	lastReports []tamarackknot.Report
}

// follower holds the subscriptions of this host to reports that others poll.
type follower struct {
	mu      sync.Mutex
	sources map[string]*source
	// failedUntil maps pollers that sent nothing to the end of their exclusion.
	failedUntil map[string]time.Time

	// Used only by the loop of the table; followed maps an entry to whether it is
	// followed in full.
	followed map[*Entry]bool
	interval time.Duration
}

// endpointSet holds the endpoints to subscribe to at one poller.
type endpointSet struct{ full, summary []string }

// follow updates the subscriptions to the endpoints that this host uses.
func (t *Table) follow(ctx context.Context, now time.Time) {
	f := &t.follower
	list := t.list()
	small := len(list) <= smallFleet
	selected := t.selectEndpoints(list, small, now)
	f.mu.Lock()
	f.dropSilentPollers(t.cfg.Interval, now)
	byPoller := map[string]*endpointSet{}
	next := make(map[*Entry]bool, len(selected))
	for e, full := range selected {
		next[e] = full
		if _, ok := f.followed[e]; !ok {
			e.follow(now)
		}
		if t.ranking.isPoller(e.name) {
			continue
		}
		for _, host := range t.ranking.pollers(e.name).hosts {
			if now.Before(f.failedUntil[host]) {
				continue
			}
			set := byPoller[host]
			if set == nil {
				set = &endpointSet{}
				byPoller[host] = set
			}
			if full {
				set.full = append(set.full, e.name)
			} else {
				set.summary = append(set.summary, e.name)
			}
			if !small {
				break
			}
		}
	}
	f.followed = next
	f.interval = t.cfg.Interval
	if !small {
		n := time.Duration((len(byPoller)*batchBytes+len(selected)*itemBytes)/batchBytesPerSecond + 1)
		f.interval *= min(n, maxBatchIntervals)
	}
	out := f.subscribe(byPoller, now)
	f.mu.Unlock()
	if len(out) > 0 && t.cfg.Peers != nil {
		t.background.Go(func() { t.sendSubscriptions(ctx, out) })
	}
}

// selectEndpoints returns the endpoints to follow, mapped to whether they are
// followed in full.
func (t *Table) selectEndpoints(list []*Entry, small bool, now time.Time) map[*Entry]bool {
	selected := map[*Entry]bool{}
	planned := map[string]bool{}
	var used, inspected []*Entry
	for _, e := range list {
		spec := e.Spec()
		if spec.Service != "" {
			continue
		}
		if small {
			selected[e] = true
			continue
		}
		if usedRecently(&e.reportRequestedAt, now) {
			isPlanner, known := planned[spec.Deployment]
			if !known {
				isPlanner = t.cfg.Members != nil && t.cfg.Members.Planner(spec.Deployment) == t.ranking.self
				planned[spec.Deployment] = isPlanner
			}
			if isPlanner {
				selected[e] = true
				continue
			}
			inspected = append(inspected, e)
		}
		if usedRecently(&e.usedAt, now) {
			used = append(used, e)
		}
	}
	for _, e := range t.topRanked(used, maxFollowed) {
		selected[e] = false
	}
	for _, e := range t.topRanked(inspected, maxInspected) {
		selected[e] = true
	}
	return selected
}

// topRanked returns the first n endpoints in the order of this host's ranks, or
// all if there are fewer.
func (t *Table) topRanked(list []*Entry, n int) []*Entry {
	if len(list) <= n {
		return list
	}
	slices.SortFunc(list, func(a, b *Entry) int {
		return cmp.Compare(a.Rank(t.ranking.self), b.Rank(t.ranking.self))
	})
	return list[:n]
}

// dropSilentPollers ends the subscriptions at pollers that have sent nothing for
// several intervals, and excludes these pollers for a while.
func (f *follower) dropSilentPollers(interval time.Duration, now time.Time) {
	for host, until := range f.failedUntil {
		if !now.Before(until) {
			delete(f.failedUntil, host)
		}
	}
	for host, s := range f.sources {
		timeout := time.Duration(s.IntervalMillis)*time.Millisecond + maxMissedIntervals*interval
		if now.Sub(s.lastBatchAt) > timeout {
			delete(f.sources, host)
			f.failedUntil[host] = now.Add(failedPollerTTL)
		}
	}
}

// subscribe updates the sources and returns the subscriptions to send: those
// that are new, changed, ended or due for renewal.
func (f *follower) subscribe(byPoller map[string]*endpointSet, now time.Time) map[string]subscription {
	out := map[string]subscription{}
	for host, s := range f.sources {
		if byPoller[host] == nil {
			delete(f.sources, host)
			out[host] = subscription{ID: s.ID} // ends it
		}
	}
	millis := f.interval.Milliseconds()
	for host, set := range byPoller {
		slices.Sort(set.full)
		slices.Sort(set.summary)
		names := slices.Concat(set.full, set.summary)
		s := f.sources[host]
		unchanged := s != nil && s.Full == len(set.full) && slices.Equal(s.Endpoints, names) &&
			// An interval that changes by at most a factor of 2 is kept.
			s.IntervalMillis <= 2*millis && millis <= 2*s.IntervalMillis
		if unchanged && now.Before(s.renewAt) {
			continue
		}
		if !unchanged {
			s = &source{lastBatchAt: now, lastReports: make([]tamarackknot.Report, len(names))}
			s.ID, s.IntervalMillis, s.Endpoints, s.Full = rand.Uint64()>>11, millis, names, len(set.full)
			f.sources[host] = s
		}
		s.Until, s.renewAt = now.Add(subscriptionTTL), now.Add(subscriptionTTL/2)
		out[host] = s.subscription
	}
	return out
}

func (t *Table) sendSubscriptions(ctx context.Context, out map[string]subscription) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Interval)
	defer cancel()
	for host, s := range out {
		// A poller that misses it sends nothing and is dropped later.
		_ = t.cfg.Peers.Notify(ctx, host, subscribeMethod, s)
	}
}

// handleReports handles a batch of a poller.
func (t *Table) handleReports(_ context.Context, from string, params json.RawMessage) (any, error) {
	var b batch
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, errors.Wrap(err, "reports")
	}
	f := &t.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[from]
	if s == nil || s.ID != b.ID {
		return nil, nil
	}
	if b.Seq != s.seq+1 {
		// Batches are deltas: after a lost one the next follow must subscribe again.
		delete(f.sources, from)
		return nil, nil
	}
	s.seq, s.lastBatchAt = b.Seq, time.Now()
	handled := make([]bool, len(s.Endpoints))
	for _, it := range b.Changed {
		if it.Index < 0 || it.Index >= len(handled) {
			return nil, errors.Newf("reports: index %d of %d", it.Index, len(handled))
		}
		handled[it.Index] = true
		t.applyItem(s, it)
	}
	for _, i := range b.Missing {
		if i >= 0 && i < len(handled) {
			handled[i] = true
		}
	}
	for i, done := range handled {
		if e, ok := t.Get(s.Endpoints[i]); ok && !done {
			e.confirmUnchanged()
		}
	}
	return nil, nil
}

// applyItem applies one item of a batch. The caller holds follower.mu.
func (t *Table) applyItem(s *source, it item) {
	e, ok := t.Get(s.Endpoints[it.Index])
	if !ok {
		return
	}
	if it.Index >= s.Full {
		e.observeSummary(it.Running + it.Waiting)
	} else {
		r := &s.lastReports[it.Index]
		r.Running, r.Waiting, r.Leaving, r.Time = it.Running, it.Waiting, it.Leaving, time.Unix(0, it.Time).UTC()
		if it.Name != "" {
			r.Endpoint = it.Name
		}
		if it.Loaded != nil {
			r.Loaded = *it.Loaded
		}
		if it.Cached != nil {
			r.Cached = *it.Cached
		}
		e.observe(*r, true)
	}
	if it.Leaving {
		t.setSign(e, tamarackknot.EndpointSign{
			Endpoint: e.name, Reason: "report", Until: time.Now().Add(leavingTTL),
		}, false)
	}
}
