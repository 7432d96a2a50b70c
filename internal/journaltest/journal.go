// Package journaltest provides in-memory fakes of the journal and of placement
// for tests.
package journaltest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

// Store is the state that the journals of several hosts share.
type Store struct {
	mu           sync.RWMutex
	changed      chan struct{}
	applied      tamarackknot.Offset
	configOffset tamarackknot.Offset
	resources    map[tamarackknot.Kind]map[string]*tamarackknot.Resource
	sorted       map[tamarackknot.Kind][]*tamarackknot.Resource
	byTarget     map[string][]tamarackknot.Replica
	byEndpoint   map[string][]tamarackknot.Replica
	keys         map[string]keyState
	changes      []change
}

// change is the change of a target, an endpoint or both at an offset.
type change struct {
	offset           tamarackknot.Offset
	target, endpoint string
}

// keyState is the last accepted claim of a key.
type keyState struct {
	claim tamarackknot.KeyClaim
	owner tamarackknot.Process
	freed tamarackknot.Offset // 0 while the key is held
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		changed:    make(chan struct{}),
		resources:  map[tamarackknot.Kind]map[string]*tamarackknot.Resource{},
		sorted:     map[tamarackknot.Kind][]*tamarackknot.Resource{},
		byTarget:   map[string][]tamarackknot.Replica{},
		byEndpoint: map[string][]tamarackknot.Replica{},
		keys:       map[string]keyState{},
	}
}

// update runs fn under the lock as one log record and signals the change.
func (s *Store) update(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
	s.applied++
	close(s.changed)
	s.changed = make(chan struct{})
}

// addChange records the target or endpoint changed by the current update.
func (s *Store) addChange(target, endpoint string) {
	s.changes = append(s.changes, change{s.applied + 1, target, endpoint})
}

func (s *Store) addResourceChange(kind tamarackknot.Kind, name string) {
	switch kind {
	case tamarackknot.KindModel, tamarackknot.KindAdapter:
		s.addChange(name, "")
	case tamarackknot.KindEndpoint:
		s.addChange("", name)
	default:
	}
}

// Apply creates or replaces resources.
func (s *Store) Apply(list ...*tamarackknot.Resource) {
	s.update(func() {
		for _, r := range list {
			if s.resources[r.Kind] == nil {
				s.resources[r.Kind] = map[string]*tamarackknot.Resource{}
			}
			s.configOffset = s.applied + 1
			r.Metadata.Revision = s.configOffset
			s.resources[r.Kind][r.Metadata.Name] = r
			s.addResourceChange(r.Kind, r.Metadata.Name)
			s.sorted[r.Kind] = nil
		}
	})
}

// Remove deletes a resource.
func (s *Store) Remove(kind tamarackknot.Kind, name string) {
	s.update(func() {
		s.configOffset = s.applied + 1
		delete(s.resources[kind], name)
		s.addResourceChange(kind, name)
		s.sorted[kind] = nil
	})
}

// SetReplica sets the state of the replica of a target on an endpoint; an empty
// state removes the replica.
func (s *Store) SetReplica(target, endpoint string, state tamarackknot.ReplicaState) {
	s.update(func() {
		s.addChange(target, endpoint)
		t, _ := s.target(target)
		set := func(list []tamarackknot.Replica) []tamarackknot.Replica {
			list = slices.DeleteFunc(slices.Clone(list), func(r tamarackknot.Replica) bool {
				return r.Target == target && r.Endpoint == endpoint
			})
			if state == "" {
				return list
			}
			return append(list, tamarackknot.Replica{
				Target: target, Endpoint: endpoint, State: state, Version: t.Version,
			})
		}
		s.byTarget[target] = set(s.byTarget[target])
		s.byEndpoint[endpoint] = set(s.byEndpoint[endpoint])
	})
}

func (s *Store) target(name string) (tamarackknot.Target, bool) {
	if r, ok := s.resources[tamarackknot.KindModel][name]; ok {
		return tamarackknot.Target{Name: name, Deployment: r.Model.Deployment, Version: r.Model.Version}, true
	}
	if r, ok := s.resources[tamarackknot.KindAdapter][name]; ok {
		return tamarackknot.Target{
			Name: name, Deployment: r.Adapter.Deployment, Base: r.Adapter.Model, Version: r.Adapter.Version,
		}, true
	}
	return tamarackknot.Target{}, false
}

// view implements tamarackknot.State.
type view struct{ s *Store }

var _ tamarackknot.State = view{}

func (v view) Applied() tamarackknot.Offset                   { return v.s.applied }
func (v view) ConfigOffset() tamarackknot.Offset              { return v.s.configOffset }
func (v view) Time() time.Time                                { return time.Now() }
func (v view) Target(name string) (tamarackknot.Target, bool) { return v.s.target(name) }
func (v view) Replicas(target string) []tamarackknot.Replica  { return v.s.byTarget[target] }
func (v view) EndpointReplicas(endpoint string) []tamarackknot.Replica {
	return v.s.byEndpoint[endpoint]
}
func (v view) ReservedMB(string) int64          { return 0 }
func (v view) Basis(string) tamarackknot.Offset { return 0 }
func (v view) Resource(k tamarackknot.Kind, n string) (*tamarackknot.Resource, bool) {
	r, ok := v.s.resources[k][n]
	return r, ok
}

func (v view) ChangedSince(o tamarackknot.Offset) (targets, endpoints []string, complete bool) {
	for _, c := range slices.Backward(v.s.changes) {
		if c.offset <= o {
			break
		}
		if c.target != "" {
			targets = append(targets, c.target)
		}
		if c.endpoint != "" {
			endpoints = append(endpoints, c.endpoint)
		}
	}
	return targets, endpoints, true
}

func (v view) Resources(k tamarackknot.Kind) []*tamarackknot.Resource {
	return v.s.sorted[k]
}

// Journal is the journal of one host.
type Journal struct {
	Store   *Store
	Process tamarackknot.Process

	mu      sync.Mutex
	delay   time.Duration
	fault   error
	applied bool
}

var _ tamarackknot.Journal = (*Journal)(nil)

// Propose is not supported.
func (*Journal) Propose(context.Context, tamarackknot.Change) (tamarackknot.Outcome, error) {
	return tamarackknot.Outcome{}, errors.Wrap(tamarackknot.ErrNotAppended, "not supported")
}

// ClaimKey implements tamarackknot.Journal; the first claim of a key is
// accepted.
func (j *Journal) ClaimKey(ctx context.Context, c tamarackknot.KeyClaim) (tamarackknot.KeyOutcome, error) {
	j.mu.Lock()
	delay, fault, applied := j.delay, j.fault, j.applied
	j.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return tamarackknot.KeyOutcome{}, errors.Wrap(tamarackknot.ErrNotAppended, "claim")
		}
	}
	if errors.Is(fault, tamarackknot.ErrOutcomeUnknown) && applied {
		j.claim(c)
	}
	if fault != nil {
		return tamarackknot.KeyOutcome{}, errors.Wrap(fault, "log down")
	}
	return j.claim(c), nil
}

func (j *Journal) claim(c tamarackknot.KeyClaim) tamarackknot.KeyOutcome {
	out := tamarackknot.KeyOutcome{Accepted: true, Owner: j.Process}
	j.Store.update(func() {
		held, ok := j.Store.keys[c.Key]
		switch {
		case !ok:
			j.Store.keys[c.Key] = keyState{claim: c, owner: j.Process}
		case held.claim.Digest != c.Digest:
			out = tamarackknot.KeyOutcome{Reason: tamarackknot.ReasonInvalid, Owner: held.owner}
		case held.freed > 0 && c.Seen >= held.freed:
			j.Store.keys[c.Key] = keyState{claim: c, owner: j.Process}
		case held.freed > 0:
			out = tamarackknot.KeyOutcome{Reason: tamarackknot.ReasonConflict}
		default:
			out = tamarackknot.KeyOutcome{Reason: tamarackknot.ReasonConflict, Owner: held.owner}
		}
	})
	return out
}

// SetFault sets the error that all further claims return, and whether a claim
// with ErrOutcomeUnknown takes effect.
func (j *Journal) SetFault(err error, applied bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fault, j.applied = err, applied
}

// SetDelay sets the duration of claims.
func (j *Journal) SetDelay(d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.delay = d
}

// FreeKey implements tamarackknot.Journal.
func (j *Journal) FreeKey(_ context.Context, c tamarackknot.KeyClaim) error {
	j.Store.update(func() {
		if held, ok := j.Store.keys[c.Key]; ok && held.owner == j.Process && held.freed == 0 {
			held.freed = j.Store.applied + 1
			j.Store.keys[c.Key] = held
		}
	})
	return nil
}

// Read implements tamarackknot.Journal.
func (j *Journal) Read(fn func(tamarackknot.State)) {
	s := j.Store
	s.lockSorted()
	defer s.mu.RUnlock()
	fn(view{s})
}

// lockSorted locks mu for reading while sorted holds the resources of every kind.
func (s *Store) lockSorted() {
	for {
		s.mu.RLock()
		if len(s.unsorted()) == 0 {
			return
		}
		s.mu.RUnlock()
		s.mu.Lock()
		for _, k := range s.unsorted() {
			s.sorted[k] = slices.SortedFunc(maps.Values(s.resources[k]), func(a, b *tamarackknot.Resource) int {
				return strings.Compare(a.Metadata.Name, b.Metadata.Name)
			})
		}
		s.mu.Unlock()
	}
}

// unsorted returns the kinds that sorted lacks.
func (s *Store) unsorted() []tamarackknot.Kind {
	var out []tamarackknot.Kind
	for k, byName := range s.resources {
		if len(s.sorted[k]) != len(byName) {
			out = append(out, k)
		}
	}
	return out
}

// Changed implements tamarackknot.Journal.
func (j *Journal) Changed() <-chan struct{} {
	j.Store.mu.RLock()
	defer j.Store.mu.RUnlock()
	return j.Store.changed
}

// Status implements tamarackknot.Journal.
func (j *Journal) Status() tamarackknot.JournalStatus {
	return tamarackknot.JournalStatus{Ready: true}
}

// Placement records demand and returns the forecast that a test sets.
type Placement struct {
	mu       sync.Mutex
	demand   map[string]tamarackknot.Demand
	forecast tamarackknot.Forecast
	// OnDemand, if set, is called on its own goroutine for each demand.
	OnDemand func(tamarackknot.Demand)
}

var _ tamarackknot.Placement = (*Placement)(nil)

// SetDemand implements tamarackknot.Placement.
func (p *Placement) SetDemand(d tamarackknot.Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.demand == nil {
		p.demand = map[string]tamarackknot.Demand{}
	}
	p.demand[d.Target] = d
	if p.OnDemand != nil {
		go p.OnDemand(d)
	}
}

// Used implements tamarackknot.Placement.
func (*Placement) Used(string, time.Time) {}

// Forecast implements tamarackknot.Placement.
func (p *Placement) Forecast(string) tamarackknot.Forecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forecast
}

// SetForecast sets the forecast for all targets.
func (p *Placement) SetForecast(f tamarackknot.Forecast) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forecast = f
}

// Demand returns the last demand for a target.
func (p *Placement) Demand(target string) tamarackknot.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand[target]
}
