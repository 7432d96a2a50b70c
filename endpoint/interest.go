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
	// smallFleet is the number of endpoints up to which every host follows all
	// of them in full, from all their pollers and once per report interval.
	smallFleet = 64
	// usedTime is how long an endpoint is followed after its last use.
	usedTime = 30 * time.Second
	// maxFollowed bounds the endpoints that a host follows for routing, and
	// maxInspected those that it follows in full without being their planner.
	// At the target size routing prefers 2 endpoints for each of 97 models.
	maxFollowed  = 200
	maxInspected = 64
	// subscriptionTime is how long a subscription lasts; it is renewed after
	// half of it. With 60 s, renewals took 2 KB/s at the target size.
	subscriptionTime = 5 * time.Minute
	// A batch takes about batchBytes on the wire and itemBytes for each
	// endpoint. A host with many pollers asks for batches less often, so that
	// these take about batchRate bytes a second, but every maxIntervals report
	// intervals: for placement a report is too old after 15 s.
	batchBytes   = 160
	itemBytes    = 25
	batchRate    = 3000
	maxIntervals = 10
	// maxOwnPolls bounds the polls in one interval of endpoints that this host
	// uses and gets no reports of.
	maxOwnPolls = 32
	// failedTime is how long a poller that has sent nothing is not asked.
	failedTime = 30 * time.Second
)

// Use records that routing considers an endpoint, so that its reports are
// followed.
func (e *Entry) Use(now time.Time) { touchTime(&e.usedAt, now) }

// source is a poller to which this host subscribes.
type source struct {
	subscription
	renewAt time.Time
	heardAt time.Time
	seq     uint64
	// base are the last reports received, by index.
	base []tamarackknot.Report
}

// follower subscribes to the reports of the endpoints that this host uses.
type follower struct {
	mu      sync.Mutex
	sources map[string]*source
	// failed are pollers that sent nothing, with the end of that mark.
	failed map[string]time.Time

	// Used by the loop of the table only.
	followed map[*Entry]bool
	interval time.Duration
}

// wanted is a set of endpoints to subscribe to at one poller.
type wanted struct{ full, summary []string }

// follow brings the subscriptions up to date with what this host uses.
func (t *Table) follow(ctx context.Context, now time.Time) {
	f := &t.follower
	list := t.list()
	small := len(list) <= smallFleet
	set := t.selectEndpoints(list, small, now)
	f.mu.Lock()
	f.dropSilent(t.cfg.Interval, now)
	byPoller := map[string]*wanted{}
	next := make(map[*Entry]bool, len(set))
	for e, full := range set {
		next[e] = full
		if _, ok := f.followed[e]; !ok {
			e.follow(now)
		}
		if t.ranking.polls(e.name) {
			continue
		}
		for _, host := range t.ranking.pollers(e.name).hosts {
			if now.Before(f.failed[host]) {
				continue
			}
			w := byPoller[host]
			if w == nil {
				w = &wanted{}
				byPoller[host] = w
			}
			if full {
				w.full = append(w.full, e.name)
			} else {
				w.summary = append(w.summary, e.name)
			}
			if !small {
				break
			}
		}
	}
	f.followed = next
	f.interval = t.cfg.Interval
	if !small {
		n := time.Duration((len(byPoller)*batchBytes+len(set)*itemBytes)/batchRate + 1)
		f.interval *= min(n, maxIntervals)
	}
	out := f.subscribe(byPoller, now)
	f.mu.Unlock()
	if len(out) > 0 && t.cfg.Peers != nil {
		t.pollers.Go(func() { t.sendSubscriptions(ctx, out) })
	}
}

// selectEndpoints returns the endpoints to follow and whether in full.
func (t *Table) selectEndpoints(list []*Entry, small bool, now time.Time) map[*Entry]bool {
	set := map[*Entry]bool{}
	planned := map[string]bool{}
	var used, inspected []*Entry
	for _, e := range list {
		spec := e.Spec()
		if spec.Service != "" {
			continue
		}
		if small {
			set[e] = true
			continue
		}
		if recent(&e.wantedAt, now) {
			mine, known := planned[spec.Deployment]
			if !known {
				mine = t.cfg.Members != nil && t.cfg.Members.Planner(spec.Deployment) == t.ranking.self
				planned[spec.Deployment] = mine
			}
			if mine {
				set[e] = true
				continue
			}
			inspected = append(inspected, e)
		}
		if recent(&e.usedAt, now) {
			used = append(used, e)
		}
	}
	for _, e := range t.first(used, maxFollowed) {
		set[e] = false
	}
	for _, e := range t.first(inspected, maxInspected) {
		set[e] = true
	}
	return set
}

// first returns at most n endpoints; which ones differs between hosts.
func (t *Table) first(list []*Entry, n int) []*Entry {
	if len(list) <= n {
		return list
	}
	slices.SortFunc(list, func(a, b *Entry) int {
		return cmp.Compare(a.Rank(t.ranking.self), b.Rank(t.ranking.self))
	})
	return list[:n]
}

// dropSilent gives up pollers that have sent nothing for several intervals.
func (f *follower) dropSilent(interval time.Duration, now time.Time) {
	for host, until := range f.failed {
		if !now.Before(until) {
			delete(f.failed, host)
		}
	}
	for host, s := range f.sources {
		patience := time.Duration(s.IntervalMillis)*time.Millisecond + lateIntervals*interval
		if now.Sub(s.heardAt) > patience {
			delete(f.sources, host)
			f.failed[host] = now.Add(failedTime)
		}
	}
}

// subscribe returns the subscriptions that are new, changed or to be renewed.
func (f *follower) subscribe(byPoller map[string]*wanted, now time.Time) map[string]subscription {
	out := map[string]subscription{}
	for host, s := range f.sources {
		if byPoller[host] == nil {
			delete(f.sources, host)
			out[host] = subscription{ID: s.ID} // ends it
		}
	}
	millis := f.interval.Milliseconds()
	for host, w := range byPoller {
		slices.Sort(w.full)
		slices.Sort(w.summary)
		names := slices.Concat(w.full, w.summary)
		s := f.sources[host]
		same := s != nil && s.Full == len(w.full) && slices.Equal(s.Endpoints, names) &&
			// Small changes of the interval are not worth a message.
			s.IntervalMillis <= 2*millis && millis <= 2*s.IntervalMillis
		if same && now.Before(s.renewAt) {
			continue
		}
		if !same {
			s = &source{heardAt: now, base: make([]tamarackknot.Report, len(names))}
			s.ID, s.IntervalMillis, s.Endpoints, s.Full = rand.Uint64()>>11, millis, names, len(w.full)
			f.sources[host] = s
		}
		s.Until, s.renewAt = now.Add(subscriptionTime), now.Add(subscriptionTime/2)
		out[host] = s.subscription
	}
	return out
}

func (t *Table) sendSubscriptions(ctx context.Context, out map[string]subscription) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Interval)
	defer cancel()
	for host, s := range out {
		// A poller that does not get it sends nothing and is given up.
		_ = t.cfg.Peers.Notify(ctx, host, subscribeMethod, s)
	}
}

// handleReports takes a batch of a poller.
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
		// A batch was lost and later ones build on it: subscribe anew.
		delete(f.sources, from)
		return nil, nil
	}
	s.seq, s.heardAt = b.Seq, time.Now()
	fresh := make([]bool, len(s.Endpoints))
	for _, it := range b.Changed {
		if it.Index < 0 || it.Index >= len(fresh) {
			return nil, errors.Newf("reports: index %d of %d", it.Index, len(fresh))
		}
		fresh[it.Index] = true
		t.take(s, it)
	}
	for _, i := range b.Missing {
		if i >= 0 && i < len(fresh) {
			fresh[i] = true
		}
	}
	for i, done := range fresh {
		if e, ok := t.Get(s.Endpoints[i]); ok && !done {
			e.touch()
		}
	}
	return nil, nil
}

// take stores one item of a batch. The caller holds follower.mu.
func (t *Table) take(s *source, it item) {
	e, ok := t.Get(s.Endpoints[it.Index])
	if !ok {
		return
	}
	if it.Index >= s.Full {
		e.summarise(it.Running + it.Waiting)
	} else {
		r := &s.base[it.Index]
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
		t.mark(e, tamarackknot.EndpointSign{
			Endpoint: e.name, Reason: "report", Until: time.Now().Add(leavingTime),
		}, false)
	}
}
