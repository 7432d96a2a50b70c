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

// candidates holds the candidates of one target; the first ones are preferred.
type candidates struct {
	all       []candidate
	preferred int // number of preferred candidates at the start of all
}

// indexedEndpoint is the state of an endpoint at the last sync, with the targets
// that it serves.
type indexedEndpoint struct {
	resource *tamarackknot.Resource
	entry    *endpoint.Entry
	replicas []tamarackknot.Replica
	service  string
	targets  []*target
	syncPass uint64 // last full sync that found the endpoint
}

// index holds the endpoints from which the candidates of targets are built. It is
// written by Router.Run under Router.mu.
type index struct {
	endpoints map[string]*indexedEndpoint // by name
	syncPass  uint64                      // number of full syncs
	applied   tamarackknot.Offset
	// nextSync is when the next sync may begin.
	nextSync time.Time
}

// sync updates the index from the state. It reads the endpoints that have changed
// since the last call, or all if the changes are not known, and rebuilds only the
// candidates of the targets on changed endpoints.
func (r *Router) sync(s tamarackknot.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Applied() == r.index.applied && r.index.syncPass > 0 {
		return
	}
	start := time.Now()
	defer func() {
		now := time.Now()
		r.index.nextSync = now.Add(max(syncInterval, syncPauseFactor*now.Sub(start)))
	}()
	touched := map[*target]bool{}
	small := len(r.index.endpoints) <= smallFleet
	_, endpoints, complete := s.ChangedSince(r.index.applied)
	if complete && r.index.syncPass > 0 {
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
		r.updateVersion(s, t)
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
	r.index.syncPass++
	for _, res := range s.Resources(tamarackknot.KindEndpoint) {
		r.syncEndpoint(s, res, touched)
	}
	for name, p := range r.index.endpoints {
		if p.syncPass != r.index.syncPass {
			r.dropEndpoint(name, p, touched)
		}
	}
}

func (r *Router) dropEndpoint(name string, p *indexedEndpoint, touched map[*target]bool) {
	delete(r.index.endpoints, name)
	for _, t := range p.targets {
		touched[t] = true
	}
}

// touchAll adds the targets of all endpoints to touched.
func (r *Router) touchAll(touched map[*target]bool) {
	for _, p := range r.index.endpoints {
		for _, t := range p.targets {
			touched[t] = true
		}
	}
}

// syncEndpoint updates one endpoint and adds its old and new targets to touched
// if anything that matters to routing has changed.
func (r *Router) syncEndpoint(s tamarackknot.State, res *tamarackknot.Resource, touched map[*target]bool) {
	p := r.index.endpoints[res.Metadata.Name]
	if p == nil {
		p = &indexedEndpoint{}
		r.index.endpoints[res.Metadata.Name] = p
	}
	p.syncPass = r.index.syncPass
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

// sameReplicas compares the fields that matter to routing. The state replaces a
// slice only when it changes, so most comparisons end at the address of the first
// element.
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

// rebuild replaces the candidates of a target.
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

// prefer moves the replicas that this host prefers to the front. They have the
// lowest ranks, which differ between hosts, so that together the hosts use all
// replicas.
func (r *Router) prefer(cs []candidate) *candidates {
	if len(r.index.endpoints) <= smallFleet || len(cs) <= preferredReplicas {
		return &candidates{all: cs, preferred: len(cs)}
	}
	best := make([]uint64, 0, preferredReplicas)
	for i := range cs {
		rank := r.rank(cs[i].entry)
		for j := range best {
			if rank < best[j] {
				rank, best[j] = best[j], rank
				cs[i], cs[j] = cs[j], cs[i]
			}
		}
		if len(best) < preferredReplicas {
			best = append(best, rank)
		}
	}
	return &candidates{all: cs, preferred: preferredReplicas}
}

func (r *Router) rank(e *endpoint.Entry) uint64 {
	rank := e.Rank(r.cfg.Host)
	if e.Spec().FailureDomain == r.cfg.FailureDomain {
		rank /= domainRankDivisor
	}
	return rank
}

// updateVersion sets the version that queued requests wait for to the current
// one, or rejects the requests if the target was removed.
func (r *Router) updateVersion(s tamarackknot.State, t *target) {
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
