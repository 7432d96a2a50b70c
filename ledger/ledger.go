// Package ledger implements the deterministic state machine to which every
// entry host applies the log. Its results depend only on the records and their
// offsets, never on the local clock, on map order or on other processes.
package ledger

import (
	"encoding/json"
	"fmt"
	"time"
	"unique"

	"tamarackknot.example/tamarackknot"
)

// Config configures a Ledger. All hosts of one log must use the same values.
type Config struct {
	// KeyMaxAge is the maximum age of a key at its claim; default 10 min.
	KeyMaxAge time.Duration
	// KeyGrace is how long a key is kept after it can no longer be claimed;
	// default 1 min.
	KeyGrace time.Duration
	// SeenWindow is how long the id of a record is remembered, in log time;
	// default KeyMaxAge + 2 min.
	SeenWindow time.Duration
}

// maxKeyClockSkew bounds how far the creation time of a key may lie after the
// time of the record that claims it, because callers' clocks may be ahead.
const maxKeyClockSkew = time.Minute

// Times outside of this range are rejected: snapshots store times as int64
// nanoseconds since 1970.
const (
	minRecordYear = 2000 // testing/synctest starts in 2000
	maxRecordYear = 2200
)

// Ledger is the state that results from the records applied so far. Methods of
// tamarackknot.State may be called concurrently with each other, but not with
// any other method.
type Ledger struct {
	cfg Config

	applied      tamarackknot.Offset
	configOffset tamarackknot.Offset
	time         time.Time

	resources map[tamarackknot.Kind]*collection
	// references counts the resources that refer to each resource.
	references map[reference]int
	// addresses and prefixes map the unique fields of endpoints and services
	// to their names.
	addresses map[string]string
	prefixes  map[string]string

	replicas  replicaSet
	keys      keySet
	seen      seenSet
	snapshots snapshotTracker
	changes   changeList
}

var _ tamarackknot.State = (*Ledger)(nil)

// New returns the state before the first record.
func New(cfg Config) *Ledger {
	if cfg.KeyMaxAge == 0 {
		cfg.KeyMaxAge = 10 * time.Minute
	}
	if cfg.KeyGrace == 0 {
		cfg.KeyGrace = time.Minute
	}
	if cfg.SeenWindow == 0 {
		cfg.SeenWindow = cfg.KeyMaxAge + 2*time.Minute
	}
	l := &Ledger{
		cfg:        cfg,
		resources:  make(map[tamarackknot.Kind]*collection),
		references: make(map[reference]int),
		addresses:  make(map[string]string),
		prefixes:   make(map[string]string),
		replicas:   newReplicaSet(),
		keys:       newKeySet(),
		seen:       newSeenSet(),
	}
	for _, k := range tamarackknot.Kinds() {
		l.resources[k] = newCollection()
	}
	return l
}

// Apply applies the record at an offset, which must be Applied()+1, and panics
// at any other. The returned record lacks the data of a snapshot chunk. A
// malformed or unknown record is rejected with ReasonInvalid; it advances
// Applied, and the log time if its header is valid.
func (l *Ledger) Apply(offset tamarackknot.Offset, data []byte) (tamarackknot.Record, tamarackknot.Outcome) {
	if offset != l.applied+1 {
		panic(fmt.Sprintf("ledger: record %d applied after record %d", offset, l.applied))
	}
	l.applied = offset
	out := tamarackknot.Outcome{Offset: offset}
	r, err := decodeRecord(data)
	if err != nil {
		return r, reject(out, tamarackknot.ReasonInvalid, "record is not valid JSON: %v", err)
	}
	if r.ID == "" || r.Host == "" || r.Incarnation == "" {
		return r, reject(out, tamarackknot.ReasonInvalid, "record needs id, host and incarnation")
	}
	if y := r.Time.Year(); y < minRecordYear || y > maxRecordYear {
		return r, reject(out, tamarackknot.ReasonInvalid, "time %s: allowed are the years %d to %d", r.Time, minRecordYear, maxRecordYear)
	}
	if r.Time.After(l.time) {
		l.time = time.Unix(0, r.Time.UnixNano()).UTC()
	}
	l.seen.expire(l.time.Add(-l.cfg.SeenWindow))
	l.keys.expire(l.time)
	if !l.seen.add(r.ID, l.time) {
		return r, reject(out, tamarackknot.ReasonDuplicate, "id %q was seen before", r.ID)
	}
	out = l.applyChange(&r, out)
	if out.Accepted {
		l.recordChanges(&r, offset)
	}
	return r, out
}

// decodeRecord decodes a record without the data of a snapshot chunk, on which
// the state does not depend.
func decodeRecord(data []byte) (tamarackknot.Record, error) {
	var r struct {
		tamarackknot.Record
		Snapshot *chunkHeader `json:"snapshot"` // shadows Record.Snapshot
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r.Record, err
	}
	if c := r.Snapshot; c != nil {
		r.Record.Snapshot = &tamarackknot.SnapshotChunk{SnapshotID: c.SnapshotID, Index: c.Index, Count: c.Count, Covers: c.Covers}
	}
	return r.Record, nil
}

func (l *Ledger) applyChange(r *tamarackknot.Record, out tamarackknot.Outcome) tamarackknot.Outcome {
	if n := countBodies(&r.Change); n != 1 {
		return reject(out, tamarackknot.ReasonInvalid, "record has %d known bodies, allowed is exactly one", n)
	}
	switch {
	case r.Apply != nil:
		return l.applyResource(r, out)
	case r.Remove != nil:
		return l.removeResource(r.Remove, out)
	case r.Claim != nil:
		return l.claim(r, out)
	case r.Loaded != nil:
		return l.markLoaded(r.Loaded, out)
	case r.Unload != nil:
		return l.unload(r, out)
	case r.Takeover != nil:
		return l.takeover(r, out)
	case r.Release != nil:
		return l.release(r.Release, out)
	case r.Keys != nil:
		return l.claimKeys(r, out)
	case r.KeysFree != nil:
		return l.freeKeys(r, out)
	default:
		return l.snapshots.apply(r, out)
	}
}

// countBodies returns the number of kinds of change that are set.
func countBodies(c *tamarackknot.Change) int {
	n := 0
	for _, set := range []bool{
		c.Apply != nil, c.Remove != nil, c.Claim != nil, c.Loaded != nil, c.Unload != nil,
		c.Takeover != nil, c.Release != nil, c.Keys != nil, c.KeysFree != nil, c.Snapshot != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

// Applied implements tamarackknot.State.
func (l *Ledger) Applied() tamarackknot.Offset { return l.applied }

// ConfigOffset implements tamarackknot.State.
func (l *Ledger) ConfigOffset() tamarackknot.Offset { return l.configOffset }

// Time implements tamarackknot.State.
func (l *Ledger) Time() time.Time { return l.time }

// Resource implements tamarackknot.State.
func (l *Ledger) Resource(kind tamarackknot.Kind, name string) (*tamarackknot.Resource, bool) {
	c, ok := l.resources[kind]
	if !ok {
		return nil, false
	}
	r, ok := c.byName[name]
	return r, ok
}

// Resources implements tamarackknot.State.
func (l *Ledger) Resources(kind tamarackknot.Kind) []*tamarackknot.Resource {
	c, ok := l.resources[kind]
	if !ok {
		return nil
	}
	return c.list()
}

// Target implements tamarackknot.State.
func (l *Ledger) Target(name string) (tamarackknot.Target, bool) {
	if r, ok := l.resources[tamarackknot.KindModel].byName[name]; ok {
		m := r.Model
		return tamarackknot.Target{
			Name: name, Deployment: m.Deployment, Version: m.Version,
			MemoryMB: m.MemoryMB, MaxReplicas: m.MaxReplicas, Priority: m.Priority,
		}, true
	}
	r, ok := l.resources[tamarackknot.KindAdapter].byName[name]
	if !ok {
		return tamarackknot.Target{}, false
	}
	a := r.Adapter
	t := tamarackknot.Target{
		Name: name, Deployment: a.Deployment, Base: a.Model, Version: a.Version,
		MemoryMB: a.MemoryMB, MaxReplicas: a.MaxReplicas,
	}
	if base, ok := l.resources[tamarackknot.KindModel].byName[a.Model]; ok {
		t.Priority = base.Model.Priority
	}
	return t, true
}

// Replicas implements tamarackknot.State.
func (l *Ledger) Replicas(target string) []tamarackknot.Replica {
	return l.replicas.byTarget[target]
}

// EndpointReplicas implements tamarackknot.State. The replicas are sorted by
// target.
func (l *Ledger) EndpointReplicas(endpoint string) []tamarackknot.Replica {
	return l.replicas.byEndpoint[endpoint]
}

// ReservedMB implements tamarackknot.State.
func (l *Ledger) ReservedMB(endpoint string) int64 { return l.replicas.reserved[endpoint] }

// Basis implements tamarackknot.State.
func (l *Ledger) Basis(target string) tamarackknot.Offset { return l.replicas.basis[target] }

// KeyCount returns the number of stored keys, claimed and freed.
func (l *Ledger) KeyCount() int { return len(l.keys.entries) }

// Snapshot returns the newest complete snapshot in the log; its Covers is 0 if
// there was none.
func (l *Ledger) Snapshot() SnapshotInfo { return l.snapshots.last }

// PendingSnapshotTime returns the record time of the newest chunk of an
// incomplete snapshot, or the zero time if there is none.
func (l *Ledger) PendingSnapshotTime() time.Time {
	var t time.Time
	for _, p := range l.snapshots.pending {
		if p.Time.After(t) {
			t = p.Time
		}
	}
	return t
}

func accept(out tamarackknot.Outcome) tamarackknot.Outcome {
	out.Accepted = true
	return out
}

func reject(out tamarackknot.Outcome, reason tamarackknot.Reason, format string, args ...any) tamarackknot.Outcome {
	out.Reason = reason
	out.Detail = fmt.Sprintf(format, args...)
	return out
}

// intern returns a shared copy of a string, to save memory for strings that
// many resources repeat.
func intern(s string) string { return unique.Make(s).Value() }
