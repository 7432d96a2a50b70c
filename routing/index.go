package routing

import (
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/endpoint"
)

// candidate is a loaded replica of a target, or an endpoint of a plain
// service.
type candidate struct {
	entry   *endpoint.Entry
	version string
}

// candidates are those of one target; the first of them are preferred.
type candidates struct {
	all       []candidate
	preferred int
}

// placed is what is known to be on one endpoint.
type placed struct {
	resource *tamarackknot.Resource
	entry    *endpoint.Entry
	replicas []tamarackknot.Replica
	service  string
	targets  []*target
	pass     uint64
}

// index maps targets to candidates. It is written by Router.Run under
// Router.mu.
type index struct {
	endpoints map[string]*placed
	pass      uint64
	applied   tamarackknot.Offset
	// nextSync is when the next pass may begin.
	nextSync time.Time
}

// sync brings the index up to date with the state: it looks at the endpoints
// that have changed, or at all if these are not known, and rebuilds the
// candidates of the targets there; everything else stays as it is.
func (r *Router) sync(s tamarackknot.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Applied() == r.index.applied && r.index.pass > 0 {
		return
	}
	start := time.Now()
	defer func() {
		now := time.Now()
		r.index.nextSync = now.Add(max(syncInterval, syncShare*now.Sub(start)))
	}()
	touched := map[*target]bool{}
	small := len(r.index.endpoints) <= smallFleet
	_, endpoints, complete := s.ChangedSince(r.index.applied)
	if complete && r.index.pass > 0 {
		r.syncChanged(s, endpoints, touched)
	} else {
		r.syncAll(s, touched)
	}
	r.index.applied = s.Applied()
	if small != (len(r.index.endpoints) <= smallFleet) {
		r.touchAll(touched)
	}
	for t := range touched {
		r.rebuild(s, t)
	}
	for t := range r.waiting {
		r.resolve(s, t)
		r.dispatch(t, time.Now())
	}
}

func (r *Router) syncChanged(s tamarackknot.State, endpoints []string, touched map[*target]bool) {
	for _, name := range endpoints {
		if res, ok := s.Resource(tamarackknot.KindEndpoint, name); ok {
			r.syncEndpoint(s, res, touched)
		} else if p := r.index.endpoints[name]; p != nil {
			r.dropEndpoint(name, p, touched)
		}
	}
}

func (r *Router) syncAll(s tamarackknot.State, touched map[*target]bool) {
	r.index.pass++
	for _, res := range s.Resources(tamarackknot.KindEndpoint) {
		r.syncEndpoint(s, res, touched)
	}
	for name, p := range r.index.endpoints {
		if p.pass != r.index.pass {
			r.dropEndpoint(name, p, touched)
		}
	}
}

func (r *Router) dropEndpoint(name string, p *placed, touched map[*target]bool) {
	delete(r.index.endpoints, name)
	for _, t := range p.targets {
		touched[t] = true
	}
}

func (r *Router) touchAll(touched map[*target]bool) {
	for _, p := range r.index.endpoints {
		for _, t := range p.targets {
			touched[t] = true
		}
	}
}

func (r *Router) syncEndpoint(s tamarackknot.State, res *tamarackknot.Resource, touched map[*target]bool) {
	p := r.index.endpoints[res.Metadata.Name]
	if p == nil {
		p = &placed{}
		r.index.endpoints[res.Metadata.Name] = p
	}
	p.pass = r.index.pass
	replicas := s.EndpointReplicas(res.Metadata.Name)
	if p.resource == res && sameReplicas(p.replicas, replicas) {
		return
	}
	p.resource = res
	entry := r.cfg.Table.Upsert(res)
	if p.entry == entry && p.service == res.Endpoint.Service && sameReplicas(p.replicas, replicas) {
		return
	}
	for _, t := range p.targets {
		touched[t] = true
	}
	p.entry, p.replicas, p.service, p.targets = entry, replicas, res.Endpoint.Service, nil
	if p.service != "" {
		p.targets = append(p.targets, r.target(Key{Service: p.service}))
	}
	for i := range replicas {
		if replicas[i].State == tamarackknot.ReplicaLoaded {
			p.targets = append(p.targets, r.target(Key{Model: replicas[i].Target}))
		}
	}
	for _, t := range p.targets {
		touched[t] = true
	}
}

// sameReplicas compares what matters to routing. The state keeps a slice until
// it changes, so that most comparisons end at the first element's address.
func sameReplicas(a, b []tamarackknot.Replica) bool {
	if len(a) != len(b) {
		return false
	}
	if len(a) == 0 || &a[0] == &b[0] {
		return true
	}
	return slices.EqualFunc(a, b, func(a, b tamarackknot.Replica) bool {
		return a.Target == b.Target && a.State == b.State && a.Version == b.Version
	})
}

func (r *Router) rebuild(s tamarackknot.State, t *target) {
	var cs []candidate
	if t.key.Service != "" {
		for _, p := range r.index.endpoints {
			if p.service == t.key.Service {
				cs = append(cs, candidate{entry: p.entry})
			}
		}
	} else {
		for _, rep := range s.Replicas(t.key.Model) {
			p := r.index.endpoints[rep.Endpoint]
			if rep.State == tamarackknot.ReplicaLoaded && p != nil {
				cs = append(cs, candidate{entry: p.entry, version: rep.Version})
			}
		}
	}
	t.candidates.Store(r.prefer(cs))
}

// prefer moves the replicas that this host prefers to the front. They are the
// first in an order that differs between hosts, so that together the hosts use
// all replicas.
func (r *Router) prefer(cs []candidate) *candidates {
	if len(r.index.endpoints) <= smallFleet || len(cs) <= preferred {
		return &candidates{all: cs, preferred: len(cs)}
	}
	best := make([]uint64, 0, preferred)
	for i := range cs {
		rank := r.rank(cs[i].entry)
		for j := range best {
			if rank < best[j] {
				rank, best[j] = best[j], rank
				cs[i], cs[j] = cs[j], cs[i]
			}
		}
		if len(best) < preferred {
			best = append(best, rank)
		}
	}
	return &candidates{all: cs, preferred: preferred}
}

func (r *Router) rank(e *endpoint.Entry) uint64 {
	rank := e.Rank(r.cfg.Host)
	if e.Spec().FailureDomain == r.cfg.FailureDomain {
		rank /= domainRank
	}
	return rank
}

// resolve brings the version that queued requests wait for up to date and
// rejects them if the target was removed.
func (r *Router) resolve(s tamarackknot.State, t *target) {
	var found bool
	var version string
	if t.key.Service != "" {
		_, found = s.Resource(tamarackknot.KindService, t.key.Service)
	} else {
		var target tamarackknot.Target
		target, found = s.Target(t.key.Model)
		version = target.Version
	}
	if !found {
		r.rejectAll(t, Rejection{Reason: RejectNotFound, Detail: "the target was removed while the request was queued"})
		return
	}
	for _, w := range t.queue {
		w.req.Version = version
	}
}
