package placement

import (
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

// mirror is the event loop's copy of the replicas in the journal.
type mirror struct {
	stale        bool
	nextSyncAt   time.Time
	configOffset tamarackknot.Offset
	applied      tamarackknot.Offset
	// replicas holds the reservations by endpoint.
	replicas  map[string][]tamarackknot.Replica
	endpoints map[string]*tamarackknot.Resource
	names     []string // of the endpoints, in the order of the journal
	// refresh holds the targets whose replica set must be read again.
	refresh map[string]struct{}
}

func newMirror() mirror {
	return mirror{
		stale:     true,
		replicas:  make(map[string][]tamarackknot.Replica),
		endpoints: make(map[string]*tamarackknot.Resource),
		refresh:   make(map[string]struct{}),
	}
}

// reset makes the next sync read all replicas.
func (m *mirror) reset() {
	*m = newMirror()
}

// targetReplicas is the replica set of one target and its version.
type targetReplicas struct {
	name     string
	basis    tamarackknot.Offset
	replicas []tamarackknot.Replica
}

// sync copies changed configuration and replicas from the journal. A copy takes
// milliseconds with thousands of endpoints, so the pause until the next one is
// proportional to its duration.
func (c *Controller) sync(now time.Time) {
	m := &c.mirror
	if len(c.planners) == 0 && len(c.work) == 0 || !m.stale || now.Before(m.nextSyncAt) {
		return
	}
	begin := time.Now()
	m.stale = false
	var resources map[tamarackknot.Kind][]*tamarackknot.Resource
	var changed []targetReplicas
	c.cfg.Journal.Read(func(s tamarackknot.State) {
		if s.ConfigOffset() != m.configOffset || m.configOffset == 0 {
			resources = make(map[tamarackknot.Kind][]*tamarackknot.Resource)
			for _, k := range tamarackknot.Kinds() {
				resources[k] = s.Resources(k)
			}
			m.configOffset = s.ConfigOffset()
			m.setEndpoints(resources[tamarackknot.KindEndpoint])
			c.markNewTargets(resources)
		}
		if s.Applied() == m.applied && resources == nil && len(m.refresh) == 0 {
			return
		}
		m.copyReplicas(s)
		for name := range m.refresh {
			changed = append(changed, targetReplicas{name: name, basis: s.Basis(name), replicas: s.Replicas(name)})
		}
		clear(m.refresh)
	})
	if resources != nil {
		c.reportsAppliedAt = time.Time{} // apply a changed draining flag at once
		for _, pl := range c.planners {
			pl.configure(resources, now)
		}
	}
	for _, pl := range c.planners {
		for _, t := range changed {
			pl.setReplicas(t, now)
		}
	}
	m.nextSyncAt = now.Add(min(maxSyncPause, syncPauseFactor*time.Since(begin)))
}

// copyReplicas copies the replicas of endpoints that have changed.
func (m *mirror) copyReplicas(s tamarackknot.State) {
	_, names, complete := s.ChangedSince(m.applied)
	if m.applied == 0 || !complete {
		names = m.names
	}
	m.applied = s.Applied()
	for _, name := range names {
		if m.endpoints[name] != nil {
			m.replaceReplicas(name, s.EndpointReplicas(name))
		}
	}
}

func (m *mirror) setEndpoints(list []*tamarackknot.Resource) {
	clear(m.endpoints)
	m.names = m.names[:0]
	for _, r := range list {
		if r.Endpoint.Service == "" {
			m.names = append(m.names, r.Metadata.Name)
			m.endpoints[r.Metadata.Name] = r
		}
	}
	for name := range m.replicas {
		if m.endpoints[name] == nil {
			m.replaceReplicas(name, nil)
		}
	}
}

// replaceReplicas replaces the replicas of an endpoint and marks the targets
// whose replicas changed for refresh.
func (m *mirror) replaceReplicas(endpoint string, fresh []tamarackknot.Replica) {
	old := m.replicas[endpoint]
	if slices.Equal(old, fresh) {
		return
	}
	for _, r := range old {
		if !slices.Contains(fresh, r) {
			m.refresh[r.Target] = struct{}{}
		}
	}
	for _, r := range fresh {
		if !slices.Contains(old, r) {
			m.refresh[r.Target] = struct{}{}
		}
	}
	if len(fresh) == 0 {
		delete(m.replicas, endpoint)
		return
	}
	m.replicas[endpoint] = fresh
}

// markNewTargets marks targets that a planner does not have yet for refresh.
func (c *Controller) markNewTargets(resources map[tamarackknot.Kind][]*tamarackknot.Resource) {
	for _, k := range []tamarackknot.Kind{tamarackknot.KindModel, tamarackknot.KindAdapter} {
		for _, r := range resources[k] {
			if pl := c.planners[resourceDeployment(r)]; pl != nil && pl.targets[r.Metadata.Name] != r {
				c.mirror.refresh[r.Metadata.Name] = struct{}{}
			}
		}
	}
}

func resourceDeployment(r *tamarackknot.Resource) string {
	switch {
	case r.Model != nil:
		return r.Model.Deployment
	case r.Adapter != nil:
		return r.Adapter.Deployment
	case r.Endpoint != nil:
		return r.Endpoint.Deployment
	}
	return ""
}

// configure applies changed resources of the deployment to the policy.
func (pl *planner) configure(resources map[tamarackknot.Kind][]*tamarackknot.Resource, now time.Time) {
	for _, r := range resources[tamarackknot.KindDeployment] {
		if r.Metadata.Name == pl.deployment {
			pl.policy.SetDeployment(*r.Deployment, now)
		}
	}
	seen := make(map[string]struct{})
	priority := make(map[string]int)
	for _, r := range resources[tamarackknot.KindModel] {
		if r.Model.Deployment == pl.deployment {
			priority[r.Metadata.Name] = r.Model.Priority
			pl.setTarget(r, seen, tamarackknot.Target{
				Name: r.Metadata.Name, Deployment: pl.deployment, Version: r.Model.Version, MemoryMB: r.Model.MemoryMB,
				MaxReplicas: r.Model.MaxReplicas, Priority: r.Model.Priority,
			})
		}
	}
	for _, r := range resources[tamarackknot.KindAdapter] {
		if r.Adapter.Deployment == pl.deployment {
			pl.setTarget(r, seen, tamarackknot.Target{
				Name: r.Metadata.Name, Deployment: pl.deployment, Base: r.Adapter.Model, Version: r.Adapter.Version,
				MemoryMB: r.Adapter.MemoryMB, MaxReplicas: r.Adapter.MaxReplicas, Priority: priority[r.Adapter.Model],
			})
		}
	}
	for name := range pl.targets {
		if _, ok := seen[name]; !ok {
			delete(pl.targets, name)
			pl.policy.RemoveTarget(name)
		}
	}
	pl.configureEndpoints(resources[tamarackknot.KindEndpoint])
}

func (pl *planner) setTarget(r *tamarackknot.Resource, seen map[string]struct{}, t tamarackknot.Target) {
	seen[t.Name] = struct{}{}
	if pl.targets[t.Name] == r {
		return
	}
	pl.targets[t.Name] = r
	pl.policy.SetTarget(t)
	// The demand may have arrived before the target.
	if _, ok := pl.demand[t.Name]; ok {
		pl.changedDemand[t.Name] = struct{}{}
	}
	// Reports may list cached copies of the target that were ignored so far, so
	// they are applied again.
	for _, e := range pl.endpoints {
		e.reportTime = time.Time{}
	}
}

func (pl *planner) configureEndpoints(list []*tamarackknot.Resource) {
	seen := make(map[string]struct{})
	for _, r := range list {
		if r.Endpoint.Deployment != pl.deployment || r.Endpoint.Service != "" {
			continue
		}
		name := r.Metadata.Name
		seen[name] = struct{}{}
		e := pl.endpoints[name]
		if e == nil {
			e = &plannerEndpoint{}
			pl.endpoints[name] = e
		}
		if e.resource != r {
			e.resource, e.applied = r, false
		}
	}
	for name := range pl.endpoints {
		if _, ok := seen[name]; !ok {
			delete(pl.endpoints, name)
			pl.policy.RemoveEndpoint(name)
		}
	}
}

// setReplicas passes the replicas of a target to the policy if the target
// belongs to the deployment. A removed target, which is not in the configuration
// any more, belongs to it if the deployment has an endpoint of its replicas.
func (pl *planner) setReplicas(t targetReplicas, now time.Time) {
	if pl.targets[t.name] == nil && !pl.policy.Knows(t.name) {
		onOwnEndpoint := slices.ContainsFunc(t.replicas, func(r tamarackknot.Replica) bool { return pl.endpoints[r.Endpoint] != nil })
		if !onOwnEndpoint {
			return
		}
	}
	pl.policy.SetReplicas(t.name, t.basis, t.replicas, now)
}
