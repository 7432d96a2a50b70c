package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot"
)

// step describes one record of a history. It is drawn independently of the
// state; Name, Ref and Value select names and values.
type step struct {
	Op          string
	Name        int
	Ref         int
	Value       int
	Outdated    bool // the record is based on an outdated version
	RecordsBack int  // distance of a duplicated record, and of the arrival of a key claim
	Seconds     int  // by which the writer's clock advances before the record
	Host        int
}

func genStep(t *rapid.T) step {
	return step{
		Op: rapid.SampledFrom([]string{
			"deployment", "model", "model", "adapter", "endpoint", "remove", "claim", "claim", "claim", "claim",
			"loaded", "loaded", "loaded", "unload", "takeover", "release", "release", "keys", "keys", "keysFree", "copy", "copy", "garbage", "restore",
		}).Draw(t, "op"),
		Name:        rapid.IntRange(0, 3).Draw(t, "name"),
		Ref:         rapid.IntRange(0, 2).Draw(t, "on"),
		Value:       rapid.IntRange(0, 9).Draw(t, "value"),
		Outdated:    rapid.IntRange(0, 7).Draw(t, "old") == 0,
		RecordsBack: rapid.IntRange(1, 20).Draw(t, "copy"),
		Seconds:     rapid.SampledFrom([]int{0, 0, 1, 1, 1, 1, 5, 5, 20, 60, 200, 800}).Draw(t, "seconds"),
		Host:        rapid.IntRange(0, 2).Draw(t, "host"),
	}
}

// oracle follows the accepted records without the ledger and checks that each of
// them obeys the rules.
type oracle struct {
	revisions   map[string]tamarackknot.Offset
	resources   map[string]tamarackknot.Resource
	replicas    map[[2]string]tamarackknot.Replica
	freed       map[string]freedKey
	acceptances map[string]int  // accepted claims, by key and creation time, since the key was freed
	effective   map[string]bool // ids of records that had an effect
	time        time.Time
}

// freedKey is the offset at which a key was freed and the log time until which
// the ledger must remember that.
type freedKey struct {
	at      tamarackknot.Offset
	expires time.Time
}

// history runs steps on a ledger, on a second one that the restore steps replace
// by a restored snapshot of the first, and on the oracle.
type history struct {
	l, restored *Ledger
	oracle      oracle
	effective   [][]byte // records that had an effect, to be duplicated
	clock       time.Time
	// copied is the copy made at the last restore and encoded its encoding then.
	copied  *Ledger
	encoded [][]byte
}

func (h *history) run(steps []step) error {
	for i, s := range steps {
		if err := h.step(s); err != nil {
			return errors.Wrapf(err, "step %d %+v", i, s)
		}
	}
	return h.compare()
}

// compare requires that both ledgers encode equally and that the copy has not
// changed.
func (h *history) compare() error {
	a, err := h.l.Encode()
	if err != nil {
		return err
	}
	b, err := h.restored.Encode()
	if err != nil {
		return err
	}
	if !slices.EqualFunc(a, b, slices.Equal[[]byte]) {
		return errors.New("the restored ledger encodes differently")
	}
	if h.copied == nil {
		return nil
	}
	if c, err := h.copied.Encode(); err != nil || !slices.EqualFunc(c, h.encoded, slices.Equal[[]byte]) {
		return errors.Newf("the copy changed with the ledger: %v", err)
	}
	return nil
}

func (h *history) step(s step) error {
	h.clock = h.clock.Add(time.Duration(s.Seconds) * time.Second)
	if s.Op == "restore" {
		chunks, err := h.l.Encode()
		if err == nil {
			h.restored, err = Restore(Config{}, chunks)
			h.copied, h.encoded = h.l.Copy(), chunks
		}
		return err
	}
	data := h.encodeStep(s)
	offset := h.l.Applied() + 1
	before := visibleState(h.l)
	rec, out := h.l.Apply(offset, data)
	if err := h.checkChanges(offset-1, before); err != nil {
		return err
	}
	_, restoredOut := h.restored.Apply(offset, data)
	if a, b := fmt.Sprintf("%+v", out), fmt.Sprintf("%+v", restoredOut); a != b {
		return errors.Newf("restored ledger returned %s, want %s", b, a)
	}
	if err := h.oracle.check(&rec, out); err != nil {
		return err
	}
	if h.oracle.effective[rec.ID] {
		h.effective = append(h.effective, data)
	}
	return h.checkLimits(&rec, out)
}

// visibleState returns the revision and replicas of each target and endpoint.
func visibleState(l *Ledger) map[string]string {
	seen := map[string]string{}
	for _, r := range slices.Concat(l.Resources(tamarackknot.KindModel), l.Resources(tamarackknot.KindAdapter)) {
		seen["target "+r.Metadata.Name] = fmt.Sprint(r.Metadata.Revision)
	}
	for _, r := range l.Resources(tamarackknot.KindEndpoint) {
		seen["endpoint "+r.Metadata.Name] = fmt.Sprint(r.Metadata.Revision)
	}
	for name, rs := range l.replicas.byTarget {
		seen["target "+name] += fmt.Sprint(rs)
	}
	for name, rs := range l.replicas.byEndpoint {
		seen["endpoint "+name] += fmt.Sprint(rs)
	}
	return seen
}

// checkChanges requires that ChangedSince names everything that differs from
// before.
func (h *history) checkChanges(since tamarackknot.Offset, before map[string]string) error {
	after := visibleState(h.l)
	targets, endpoints, complete := h.l.ChangedSince(since)
	if !complete {
		return errors.New("ChangedSince is incomplete for the last record")
	}
	for _, name := range targets {
		delete(before, "target "+name)
		delete(after, "target "+name)
	}
	for _, name := range endpoints {
		delete(before, "endpoint "+name)
		delete(after, "endpoint "+name)
	}
	if !maps.Equal(before, after) {
		return errors.Newf("changes outside of targets %v and endpoints %v: %v, now %v", targets, endpoints, before, after)
	}
	return nil
}

func (h *history) encodeStep(s step) []byte {
	switch {
	case s.Op == "garbage":
		return []byte(`{"id":"x","host":"h","incarnation":"1","later":{"a":1}`)
	case s.Op == "copy" && s.RecordsBack <= len(h.effective):
		return h.effective[len(h.effective)-s.RecordsBack]
	}
	rec := tamarackknot.Record{
		ID: fmt.Sprintf("id%d", h.l.Applied()), Host: fmt.Sprint("h", s.Host), Incarnation: "1",
		Time: h.clock, Change: h.change(s),
	}
	data, err := json.Marshal(rec)
	if err != nil {
		panic(err)
	}
	return data
}

func (h *history) change(s step) tamarackknot.Change {
	target := fmt.Sprint("m", s.Name)
	if s.Value%2 == 1 {
		target = fmt.Sprint("a", s.Name)
	}
	endpoint := fmt.Sprint("e", s.Ref)
	rc := &tamarackknot.ReplicaChange{Target: target, Endpoint: endpoint}
	if r, ok := h.l.replicas.find(target, endpoint); ok {
		rc.Fence = r.Fence
	}
	if s.Outdated {
		rc.Fence--
	}
	key := tamarackknot.KeyClaim{Key: fmt.Sprint("k", s.Ref), Digest: fmt.Sprint(s.Value / 8), Created: h.clock.Truncate(15 * time.Minute)}
	// The request arrived up to 19 records ago.
	key.Seen = max(0, h.l.Applied()-tamarackknot.Offset(s.RecordsBack)+1)
	switch s.Op {
	case "claim":
		c := &tamarackknot.Claim{Target: target, Endpoint: endpoint, Basis: h.l.Basis(target)}
		if s.Outdated {
			c.Basis--
		}
		return tamarackknot.Change{Claim: c}
	case "loaded":
		return tamarackknot.Change{Loaded: rc}
	case "unload":
		return tamarackknot.Change{Unload: rc}
	case "takeover":
		return tamarackknot.Change{Takeover: rc}
	case "release":
		return tamarackknot.Change{Release: rc}
	case "keys":
		return tamarackknot.Change{Keys: &tamarackknot.KeyBatch{Claims: []tamarackknot.KeyClaim{key, key}}}
	case "keysFree":
		return tamarackknot.Change{KeysFree: &tamarackknot.KeyBatch{Claims: []tamarackknot.KeyClaim{key}}}
	case "remove":
		kind := tamarackknot.Kinds()[s.Value%5]
		name := map[tamarackknot.Kind]string{
			tamarackknot.KindDeployment: "d0", tamarackknot.KindModel: fmt.Sprint("m", s.Name),
			tamarackknot.KindAdapter: fmt.Sprint("a", s.Name), tamarackknot.KindEndpoint: endpoint, tamarackknot.KindService: "s",
		}[kind]
		return tamarackknot.Change{Remove: &tamarackknot.Remove{Kind: kind, Name: name, BasedOn: h.basedOn(kind, name, s.Outdated)}}
	}
	r := resource(s)
	return tamarackknot.Change{Apply: &tamarackknot.Apply{Resource: r, BasedOn: h.basedOn(r.Kind, r.Metadata.Name, s.Outdated)}}
}

func (h *history) basedOn(kind tamarackknot.Kind, name string, old bool) tamarackknot.Offset {
	o := h.oracle.revisions[string(kind)+name]
	if old {
		o = max(o-1, 0)
	}
	return o
}

func resource(s step) tamarackknot.Resource {
	switch s.Op {
	case "model":
		return model(fmt.Sprint("m", s.Name), int64(10+s.Value), s.Value%4)
	case "adapter":
		return adapter(fmt.Sprint("a", s.Name), fmt.Sprint("m", s.Ref), int64(1+s.Value))
	case "endpoint":
		return endpoint(fmt.Sprint("e", s.Ref), s.Ref, int64(20+5*s.Value))
	}
	return tamarackknot.Resource{
		Kind: tamarackknot.KindDeployment, Metadata: tamarackknot.Metadata{Name: "d0"},
		Deployment: &tamarackknot.DeploymentSpec{Priority: s.Value, LoadsPerSecond: 1, LoadsAtOnce: 1},
	}
}

func model(name string, memory int64, replicas int) tamarackknot.Resource {
	return tamarackknot.Resource{
		Kind: tamarackknot.KindModel, Metadata: tamarackknot.Metadata{Name: name},
		Model: &tamarackknot.ModelSpec{Deployment: "d0", Version: "1", MemoryMB: memory, MaxReplicas: replicas},
	}
}

func adapter(name, base string, memory int64) tamarackknot.Resource {
	return tamarackknot.Resource{
		Kind: tamarackknot.KindAdapter, Metadata: tamarackknot.Metadata{Name: name},
		Adapter: &tamarackknot.AdapterSpec{Deployment: "d0", Model: base, Version: "1", MemoryMB: memory, MaxReplicas: 2},
	}
}

func endpoint(name string, n int, memory int64) tamarackknot.Resource {
	return tamarackknot.Resource{
		Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: name},
		Endpoint: &tamarackknot.EndpointSpec{
			Deployment: "d0", Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250), FailureDomain: "f", MemoryMB: memory, Slots: 4,
		},
	}
}

func newHistory() *history {
	return &history{
		l: New(Config{}), restored: New(Config{}), clock: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		oracle: oracle{
			revisions: make(map[string]tamarackknot.Offset), resources: make(map[string]tamarackknot.Resource),
			replicas: make(map[[2]string]tamarackknot.Replica), acceptances: make(map[string]int), freed: make(map[string]freedKey), effective: make(map[string]bool),
		},
	}
}

// check checks an outcome against the rules and stores what was accepted.
func (o *oracle) check(rec *tamarackknot.Record, out tamarackknot.Outcome) error {
	if out.Reason == tamarackknot.ReasonInvalid && rec.ID == "" {
		return nil
	}
	if rec.Time.After(o.time) {
		o.time = rec.Time
	}
	effect := out.Accepted && len(out.Keys) == 0
	for _, k := range out.Keys {
		effect = effect || k.Accepted
	}
	if effect && o.effective[rec.ID] {
		return errors.Newf("duplicate of record %s had an effect", rec.ID)
	}
	o.effective[rec.ID] = o.effective[rec.ID] || effect
	switch {
	case rec.Apply != nil:
		r := rec.Apply.Resource
		return o.write(r.Kind, r.Metadata.Name, rec.Apply.BasedOn, &r, out)
	case rec.Remove != nil:
		return o.write(rec.Remove.Kind, rec.Remove.Name, rec.Remove.BasedOn, nil, out)
	case rec.Keys != nil:
		for i, k := range out.Keys {
			c := rec.Keys.Claims[i]
			id := c.Key + c.Created.String()
			if !k.Accepted {
				continue
			}
			if f := o.freed[c.Key]; c.Seen < f.at && !o.time.After(f.expires) {
				return errors.Newf("key %s, freed at %d, was accepted for a request that arrived at %d", id, f.at, c.Seen)
			}
			if o.acceptances[id]++; o.acceptances[id] > 1 {
				return errors.Newf("key %s was accepted twice", id)
			}
			if o.time.After(c.Created.Add(10 * time.Minute)) {
				return errors.Newf("key %s was accepted %s after its creation", id, o.time.Sub(c.Created))
			}
		}
	case rec.KeysFree != nil:
		for i, k := range out.Keys {
			if k.Accepted {
				c := rec.KeysFree.Claims[i]
				o.freed[c.Key] = freedKey{at: out.Offset, expires: c.Created.Add(10 * time.Minute)}
				for id := range o.acceptances {
					if len(id) > len(c.Key) && id[:len(c.Key)] == c.Key {
						o.acceptances[id] = 0
					}
				}
			}
		}
	}
	return nil
}

// write checks the outcome of a conditional write; r is nil for a removal.
func (o *oracle) write(kind tamarackknot.Kind, name string, basedOn tamarackknot.Offset, r *tamarackknot.Resource, out tamarackknot.Outcome) error {
	id := string(kind) + name
	stored := o.revisions[id]
	if out.Reason == tamarackknot.ReasonConflict && (stored == basedOn || out.Current != stored) {
		return errors.Newf("%s has revision %d, a write based on %d got the current revision %d", id, stored, basedOn, out.Current)
	}
	if !out.Accepted {
		return nil
	}
	if stored != basedOn {
		return errors.Newf("write based on revision %d of %s was accepted, stored is %d", basedOn, id, stored)
	}
	if r == nil {
		delete(o.revisions, id)
		delete(o.resources, id)
		return nil
	}
	o.revisions[id], o.resources[id] = out.Offset, *r
	return nil
}

// checkLimits checks the limits of replicas and memory on the reservations that
// the oracle accepted, and that the ledger has the same ones.
func (h *history) checkLimits(rec *tamarackknot.Record, out tamarackknot.Outcome) error {
	o := &h.oracle
	if out.Accepted {
		switch {
		case rec.Claim != nil:
			t, _ := h.l.Target(rec.Claim.Target)
			o.replicas[[2]string{rec.Claim.Target, rec.Claim.Endpoint}] = tamarackknot.Replica{
				Target: rec.Claim.Target, Endpoint: rec.Claim.Endpoint, Base: t.Base, MemoryMB: t.MemoryMB,
			}
		case rec.Release != nil:
			delete(o.replicas, [2]string{rec.Release.Target, rec.Release.Endpoint})
		}
	}
	count, memory := map[string]int{}, map[string]int64{}
	for _, r := range o.replicas {
		count[r.Target]++
		memory[r.Endpoint] += r.MemoryMB
		if _, ok := o.replicas[[2]string{r.Base, r.Endpoint}]; r.Base != "" && !ok {
			return errors.Newf("adapter %s is on %s without its base %s", r.Target, r.Endpoint, r.Base)
		}
		if _, ok := o.revisions["endpoint"+r.Endpoint]; !ok {
			return errors.Newf("endpoint %s with reservations was removed", r.Endpoint)
		}
	}
	for e, mb := range memory {
		if h.l.ReservedMB(e) != mb || len(h.l.EndpointReplicas(e)) == 0 {
			return errors.Newf("endpoint %s has %d MB reserved, the ledger has %d", e, mb, h.l.ReservedMB(e))
		}
	}
	for t, n := range count {
		if len(h.l.Replicas(t)) != n {
			return errors.Newf("target %s has %d reservations, the ledger has %d", t, n, len(h.l.Replicas(t)))
		}
	}
	if rec.Claim == nil || !out.Accepted {
		return nil
	}
	t, _ := h.l.Target(rec.Claim.Target)
	if count[t.Name] > t.MaxReplicas {
		return errors.Newf("target %s has %d replicas, allowed %d", t.Name, count[t.Name], t.MaxReplicas)
	}
	if e := o.resources["endpoint"+rec.Claim.Endpoint].Endpoint; memory[rec.Claim.Endpoint] > e.MemoryMB {
		return errors.Newf("endpoint %s has %d MB reserved of %d", rec.Claim.Endpoint, memory[rec.Claim.Endpoint], e.MemoryMB)
	}
	return nil
}

// Guards against exceeded limits, keys or revisions that are accepted twice (also
// through duplicated records), a restored ledger that behaves differently,
// changes missing from ChangedSince, and copies that change with the ledger. It
// runs 100 histories of 13 setup steps and 250 to 350 drawn steps with seed
// 20261203; -rapid.checks and -rapid.seed change these.
func TestHistories(t *testing.T) {
	accepted := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(genStep), 250, 350).Draw(rt, "steps")
		h := newHistory()
		setup := []step{{Op: "deployment"}}
		for i := range 4 {
			setup = append(setup, step{Op: "model", Name: i, Value: 2 + i%2}, step{Op: "adapter", Name: i, Ref: i % 3}, step{Op: "endpoint", Ref: i % 3, Value: 9})
		}
		if err := h.run(append(setup, steps...)); err != nil {
			rt.Fatal(err)
		}
		for _, r := range h.l.resources {
			accepted["resources"] += len(r.byName)
		}
		accepted["replicas"] += len(h.oracle.replicas)
		accepted["steps"] += len(steps)
	})
	t.Log(accepted)
	require.NotZero(t, accepted["replicas"], "no history claimed a replica")
}
