package ledger

import (
	"cmp"
	"slices"

	"tamarackknot.example/tamarackknot"
)

// replicaSet holds the reservations. Its slices are copied on write, because
// readers may keep them.
type replicaSet struct {
	byTarget   map[string][]tamarackknot.Replica // in the order of their claims
	byEndpoint map[string][]tamarackknot.Replica // sorted by target
	reserved   map[string]int64                  // MB per endpoint
	// basis is the version of a target's replica set: the offset of the last
	// record that created the target or changed which of its replicas are
	// usable. It never decreases, so that a delayed claim cannot match again.
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
	s.byTarget[r.Target] = insertReplica(s.byTarget[r.Target], len(s.byTarget[r.Target]), r)
	onEndpoint := s.byEndpoint[r.Endpoint]
	i, _ := findTarget(onEndpoint, r.Target)
	s.byEndpoint[r.Endpoint] = insertReplica(onEndpoint, i, r)
	s.reserved[r.Endpoint] += r.MemoryMB
}

func (s *replicaSet) replace(r tamarackknot.Replica) {
	ofTarget := slices.Clone(s.byTarget[r.Target])
	ofTarget[findEndpoint(ofTarget, r.Endpoint)] = r
	s.byTarget[r.Target] = ofTarget
	onEndpoint := slices.Clone(s.byEndpoint[r.Endpoint])
	i, _ := findTarget(onEndpoint, r.Target)
	onEndpoint[i] = r
	s.byEndpoint[r.Endpoint] = onEndpoint
}

func (s *replicaSet) remove(r tamarackknot.Replica) {
	ofTarget := s.byTarget[r.Target]
	setOrDelete(s.byTarget, r.Target, deleteReplica(ofTarget, findEndpoint(ofTarget, r.Endpoint)))
	onEndpoint := s.byEndpoint[r.Endpoint]
	i, _ := findTarget(onEndpoint, r.Target)
	setOrDelete(s.byEndpoint, r.Endpoint, deleteReplica(onEndpoint, i))
	if s.reserved[r.Endpoint] -= r.MemoryMB; len(onEndpoint) == 1 {
		delete(s.reserved, r.Endpoint)
	}
}

// setOrDelete stores the replicas of a name, or deletes the name if there are
// none.
func setOrDelete(m map[string][]tamarackknot.Replica, name string, rs []tamarackknot.Replica) {
	if len(rs) == 0 {
		delete(m, name)
		return
	}
	m[name] = rs
}

// insertReplica returns a copy of replicas with r at index i.
func insertReplica(rs []tamarackknot.Replica, i int, r tamarackknot.Replica) []tamarackknot.Replica {
	out := make([]tamarackknot.Replica, 0, len(rs)+1)
	out = append(out, rs[:i]...)
	out = append(out, r)
	return append(out, rs[i:]...)
}

// deleteReplica returns a copy of replicas without index i.
func deleteReplica(rs []tamarackknot.Replica, i int) []tamarackknot.Replica {
	out := make([]tamarackknot.Replica, 0, len(rs)-1)
	out = append(out, rs[:i]...)
	return append(out, rs[i+1:]...)
}

// findTarget searches replicas sorted by target.
func findTarget(replicas []tamarackknot.Replica, target string) (int, bool) {
	return slices.BinarySearchFunc(replicas, target, func(r tamarackknot.Replica, target string) int {
		return cmp.Compare(r.Target, target)
	})
}

func findEndpoint(replicas []tamarackknot.Replica, endpoint string) int {
	return slices.IndexFunc(replicas, func(r tamarackknot.Replica) bool { return r.Endpoint == endpoint })
}

func (l *Ledger) claim(rec *tamarackknot.Record, out tamarackknot.Outcome) tamarackknot.Outcome {
	c := rec.Claim
	t, ok := l.Target(c.Target)
	if !ok {
		return reject(out, tamarackknot.ReasonNotFound, "target %q: no such model or adapter", c.Target)
	}
	res, ok := l.resources[tamarackknot.KindEndpoint].byName[c.Endpoint]
	if !ok {
		return reject(out, tamarackknot.ReasonNotFound, "endpoint %q does not exist", c.Endpoint)
	}
	if basis := l.replicas.basis[c.Target]; basis != c.Basis {
		out.Current = basis
		return reject(out, tamarackknot.ReasonConflict, "replica set of %q has version %d, the claim is based on %d", c.Target, basis, c.Basis)
	}
	if o, ok := l.checkEndpoint(t, res, out); !ok {
		return o
	}
	if n := len(l.replicas.byTarget[t.Name]); n >= t.MaxReplicas {
		return reject(out, tamarackknot.ReasonLimit, "target %q has %d replicas, allowed are %d", t.Name, n, t.MaxReplicas)
	}
	if used := l.replicas.reserved[c.Endpoint]; used+t.MemoryMB > res.Endpoint.MemoryMB {
		return reject(out, tamarackknot.ReasonMemory, "endpoint %q has %d of %d MB reserved, %q needs %d MB", c.Endpoint, used, res.Endpoint.MemoryMB, t.Name, t.MemoryMB)
	}
	l.replicas.add(tamarackknot.Replica{
		Target: l.internedTargetName(t), Endpoint: res.Metadata.Name, Base: t.Base, Version: t.Version, MemoryMB: t.MemoryMB,
		State: tamarackknot.ReplicaClaimed, Fence: out.Offset,
		Issuer: intern(rec.Host), Incarnation: intern(rec.Incarnation), Since: l.time,
	})
	l.replicas.basis[t.Name] = out.Offset
	return accept(out)
}

// internedTargetName returns the name of a target as the string that its
// resource holds, so that replicas share its memory.
func (l *Ledger) internedTargetName(t tamarackknot.Target) string {
	kind := tamarackknot.KindModel
	if t.Base != "" {
		kind = tamarackknot.KindAdapter
	}
	return l.resources[kind].byName[t.Name].Metadata.Name
}

// checkEndpoint rejects an endpoint that cannot hold a target.
func (l *Ledger) checkEndpoint(t tamarackknot.Target, res *tamarackknot.Resource, out tamarackknot.Outcome) (tamarackknot.Outcome, bool) {
	name, e := res.Metadata.Name, res.Endpoint
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

// findFenced returns the replica that a change names. It rejects the change if
// there is none or if its fencing token differs.
func (l *Ledger) findFenced(c *tamarackknot.ReplicaChange, out tamarackknot.Outcome) (tamarackknot.Replica, tamarackknot.Outcome, bool) {
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

func (l *Ledger) markLoaded(c *tamarackknot.ReplicaChange, out tamarackknot.Outcome) tamarackknot.Outcome {
	r, o, ok := l.findFenced(c, out)
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
	r, o, ok := l.findFenced(c, out)
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
	r, o, ok := l.findFenced(rec.Takeover, out)
	if !ok {
		return o
	}
	r.Fence, r.Issuer, r.Incarnation = out.Offset, intern(rec.Host), intern(rec.Incarnation)
	l.replicas.replace(r)
	return accept(out)
}

func (l *Ledger) release(c *tamarackknot.ReplicaChange, out tamarackknot.Outcome) tamarackknot.Outcome {
	r, o, ok := l.findFenced(c, out)
	if !ok {
		return o
	}
	if o, ok := l.checkAdapters(r, out); !ok {
		return o
	}
	l.replicas.remove(r)
	l.replicas.basis[r.Target] = out.Offset
	l.deleteUnusedBasis(r.Target)
	return accept(out)
}

// checkAdapters rejects unloading or releasing a model while adapters of it are
// reserved on the endpoint.
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

// deleteUnusedBasis deletes the basis of a target that neither exists nor has
// replicas. A target created later under the same name gets a higher one.
func (l *Ledger) deleteUnusedBasis(target string) {
	if _, ok := l.Target(target); !ok && len(l.replicas.byTarget[target]) == 0 {
		delete(l.replicas.basis, target)
	}
}
