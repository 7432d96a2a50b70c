package ledger

import (
	"cmp"
	"slices"

	"tamarackknot.example/tamarackknot"
)

// replicaSet holds the reservations. The slices in it are replaced and never
// modified, because readers may keep them.
type replicaSet struct {
	byTarget   map[string][]tamarackknot.Replica // in the order of claims
	byEndpoint map[string][]tamarackknot.Replica // in the order of targets
	reserved   map[string]int64                  // MB per endpoint
	// basis is the offset of the last record that created a target or changed
	// which replicas of it are usable. It never goes back, so that a late
	// claim cannot find its basis again.
	basis map[string]tamarackknot.Offset
}

func newReplicaSet() replicaSet {
	return replicaSet{
		byTarget:   make(map[string][]tamarackknot.Replica),
		byEndpoint: make(map[string][]tamarackknot.Replica),
		reserved:   make(map[string]int64),
		basis:      make(map[string]tamarackknot.Offset),
	}
}

func (s *replicaSet) count(endpoint string) int { return len(s.byEndpoint[endpoint]) }

func (s *replicaSet) find(target, endpoint string) (tamarackknot.Replica, bool) {
	i, ok := findTarget(s.byEndpoint[endpoint], target)
	if !ok {
		return tamarackknot.Replica{}, false
	}
	return s.byEndpoint[endpoint][i], true
}

func (s *replicaSet) add(r tamarackknot.Replica) {
	s.byTarget[r.Target] = with(s.byTarget[r.Target], len(s.byTarget[r.Target]), r)
	on := s.byEndpoint[r.Endpoint]
	i, _ := findTarget(on, r.Target)
	s.byEndpoint[r.Endpoint] = with(on, i, r)
	s.reserved[r.Endpoint] += r.MemoryMB
}

func (s *replicaSet) replace(r tamarackknot.Replica) {
	of := slices.Clone(s.byTarget[r.Target])
	of[findEndpoint(of, r.Endpoint)] = r
	s.byTarget[r.Target] = of
	on := slices.Clone(s.byEndpoint[r.Endpoint])
	i, _ := findTarget(on, r.Target)
	on[i] = r
	s.byEndpoint[r.Endpoint] = on
}

func (s *replicaSet) remove(r tamarackknot.Replica) {
	of := s.byTarget[r.Target]
	set(s.byTarget, r.Target, without(of, findEndpoint(of, r.Endpoint)))
	on := s.byEndpoint[r.Endpoint]
	i, _ := findTarget(on, r.Target)
	set(s.byEndpoint, r.Endpoint, without(on, i))
	if s.reserved[r.Endpoint] -= r.MemoryMB; len(on) == 1 {
		delete(s.reserved, r.Endpoint)
	}
}

func set(m map[string][]tamarackknot.Replica, name string, rs []tamarackknot.Replica) {
	if len(rs) == 0 {
		delete(m, name)
		return
	}
	m[name] = rs
}

func with(rs []tamarackknot.Replica, i int, r tamarackknot.Replica) []tamarackknot.Replica {
	out := make([]tamarackknot.Replica, 0, len(rs)+1)
	out = append(out, rs[:i]...)
	out = append(out, r)
	return append(out, rs[i:]...)
}

func without(rs []tamarackknot.Replica, i int) []tamarackknot.Replica {
	out := make([]tamarackknot.Replica, 0, len(rs)-1)
	out = append(out, rs[:i]...)
	return append(out, rs[i+1:]...)
}

func findTarget(on []tamarackknot.Replica, target string) (int, bool) {
	return slices.BinarySearchFunc(on, target, func(r tamarackknot.Replica, target string) int {
		return cmp.Compare(r.Target, target)
	})
}

func findEndpoint(of []tamarackknot.Replica, endpoint string) int {
	return slices.IndexFunc(of, func(r tamarackknot.Replica) bool { return r.Endpoint == endpoint })
}

func (l *Ledger) claim(rec *tamarackknot.Record, out tamarackknot.Outcome) tamarackknot.Outcome {
	c := rec.Claim
	t, ok := l.Target(c.Target)
	if !ok {
		return reject(out, tamarackknot.ReasonNotFound, "target %q: no such model or adapter", c.Target)
	}
	er, ok := l.resources[tamarackknot.KindEndpoint].byName[c.Endpoint]
	if !ok {
		return reject(out, tamarackknot.ReasonNotFound, "endpoint %q does not exist", c.Endpoint)
	}
	if basis := l.replicas.basis[c.Target]; basis != c.Basis {
		out.Current = basis
		return reject(out, tamarackknot.ReasonConflict, "replica set of %q has version %d, the claim is based on %d", c.Target, basis, c.Basis)
	}
	if o, ok := l.checkPlace(t, er, out); !ok {
		return o
	}
	if n := len(l.replicas.byTarget[t.Name]); n >= t.MaxReplicas {
		return reject(out, tamarackknot.ReasonLimit, "target %q has %d replicas, allowed are %d", t.Name, n, t.MaxReplicas)
	}
	if used := l.replicas.reserved[c.Endpoint]; used+t.MemoryMB > er.Endpoint.MemoryMB {
		return reject(out, tamarackknot.ReasonMemory, "endpoint %q has %d of %d MB reserved, %q needs %d MB", c.Endpoint, used, er.Endpoint.MemoryMB, t.Name, t.MemoryMB)
	}
	l.replicas.add(tamarackknot.Replica{
		Target: l.targetName(t), Endpoint: er.Metadata.Name, Base: t.Base, Version: t.Version, MemoryMB: t.MemoryMB,
		State: tamarackknot.ReplicaClaimed, Fence: out.Offset,
		Issuer: intern(rec.Host), Incarnation: intern(rec.Incarnation), Since: l.time,
	})
	l.replicas.basis[t.Name] = out.Offset
	return accept(out)
}

// targetName is the name of a target in the memory of its resource.
func (l *Ledger) targetName(t tamarackknot.Target) string {
	kind := tamarackknot.KindModel
	if t.Base != "" {
		kind = tamarackknot.KindAdapter
	}
	return l.resources[kind].byName[t.Name].Metadata.Name
}

// checkPlace rejects an endpoint that cannot hold a target.
func (l *Ledger) checkPlace(t tamarackknot.Target, er *tamarackknot.Resource, out tamarackknot.Outcome) (tamarackknot.Outcome, bool) {
	name, e := er.Metadata.Name, er.Endpoint
	switch {
	case e.Service != "":
		return reject(out, tamarackknot.ReasonInvalid, "endpoint %q belongs to service %q, allowed is a model engine", name, e.Service), false
	case e.Deployment != t.Deployment:
		return reject(out, tamarackknot.ReasonInvalid, "endpoint %q belongs to deployment %q, allowed is %q", name, e.Deployment, t.Deployment), false
	case e.Draining:
		return reject(out, tamarackknot.ReasonInvalid, "endpoint %q is draining", name), false
	}
	if _, ok := l.replicas.find(t.Name, name); ok {
		return reject(out, tamarackknot.ReasonInUse, "target %q already has a reservation on endpoint %q", t.Name, name), false
	}
	if t.Base == "" {
		return out, true
	}
	if base, ok := l.replicas.find(t.Base, name); !ok || base.State != tamarackknot.ReplicaLoaded {
		return reject(out, tamarackknot.ReasonInvalid, "base model %q of adapter %q is not loaded on endpoint %q", t.Base, t.Name, name), false
	}
	return out, true
}

// current finds the replica that a change names, with the fencing number that
// it names.
func (l *Ledger) current(c *tamarackknot.ReplicaChange, out tamarackknot.Outcome) (tamarackknot.Replica, tamarackknot.Outcome, bool) {
	r, ok := l.replicas.find(c.Target, c.Endpoint)
	if !ok {
		return r, reject(out, tamarackknot.ReasonNotFound, "target %q has no reservation on endpoint %q", c.Target, c.Endpoint), false
	}
	if r.Fence != c.Fence {
		out.Current = r.Fence
		return r, reject(out, tamarackknot.ReasonConflict, "replica of %q on %q has fencing number %d, the change is based on %d", c.Target, c.Endpoint, r.Fence, c.Fence), false
	}
	return r, out, true
}

func (l *Ledger) loaded(c *tamarackknot.ReplicaChange, out tamarackknot.Outcome) tamarackknot.Outcome {
	r, o, ok := l.current(c, out)
	if !ok {
		return o
	}
	if r.State != tamarackknot.ReplicaClaimed {
		return reject(out, tamarackknot.ReasonInvalid, "replica of %q on %q is %s, allowed is %s", c.Target, c.Endpoint, r.State, tamarackknot.ReplicaClaimed)
	}
	r.State, r.Since = tamarackknot.ReplicaLoaded, l.time
	l.replicas.replace(r)
	return accept(out)
}

func (l *Ledger) unload(rec *tamarackknot.Record, out tamarackknot.Outcome) tamarackknot.Outcome {
	c := rec.Unload
	r, o, ok := l.current(c, out)
	if !ok {
		return o
	}
	issuer := r.Issuer == rec.Host && r.Incarnation == rec.Incarnation
	switch {
	case r.State == tamarackknot.ReplicaUnloading:
		return reject(out, tamarackknot.ReasonInvalid, "replica of %q on %q is already %s", c.Target, c.Endpoint, r.State)
	case r.State == tamarackknot.ReplicaClaimed && !issuer:
		return reject(out, tamarackknot.ReasonInvalid, "replica of %q on %q is %s by %s, allowed is its issuer or a takeover first", c.Target, c.Endpoint, r.State, r.Issuer)
	}
	if o, ok := l.checkAdapters(r, out); !ok {
		return o
	}
	r.State, r.Since, r.Fence = tamarackknot.ReplicaUnloading, l.time, out.Offset
	r.Issuer, r.Incarnation = intern(rec.Host), intern(rec.Incarnation)
	l.replicas.replace(r)
	l.replicas.basis[r.Target] = out.Offset
	return accept(out)
}

func (l *Ledger) takeover(rec *tamarackknot.Record, out tamarackknot.Outcome) tamarackknot.Outcome {
	r, o, ok := l.current(rec.Takeover, out)
	if !ok {
		return o
	}
	r.Fence, r.Issuer, r.Incarnation = out.Offset, intern(rec.Host), intern(rec.Incarnation)
	l.replicas.replace(r)
	return accept(out)
}

func (l *Ledger) release(c *tamarackknot.ReplicaChange, out tamarackknot.Outcome) tamarackknot.Outcome {
	r, o, ok := l.current(c, out)
	if !ok {
		return o
	}
	if o, ok := l.checkAdapters(r, out); !ok {
		return o
	}
	l.replicas.remove(r)
	l.replicas.basis[r.Target] = out.Offset
	l.forgetBasis(r.Target)
	return accept(out)
}

// checkAdapters rejects a change that would leave adapters without their base
// model.
func (l *Ledger) checkAdapters(r tamarackknot.Replica, out tamarackknot.Outcome) (tamarackknot.Outcome, bool) {
	if r.Base != "" {
		return out, true
	}
	for _, a := range l.replicas.byEndpoint[r.Endpoint] {
		if a.Base == r.Target {
			return reject(out, tamarackknot.ReasonInUse, "adapter %q of model %q is reserved on endpoint %q", a.Target, r.Target, r.Endpoint), false
		}
	}
	return out, true
}

// forgetBasis drops the version of a target that neither exists nor has
// replicas. A target created later under its name starts with a higher one.
func (l *Ledger) forgetBasis(target string) {
	if _, ok := l.Target(target); !ok && len(l.replicas.byTarget[target]) == 0 {
		delete(l.replicas.basis, target)
	}
}
