package journal

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

const (
	fuzzRetention   = 2 * time.Minute
	recoveryTime    = 50 * time.Second
	propagationTime = 8 * time.Second // maximum time until all hosts have applied an accepted change
)

type step struct {
	Op      string
	Host    int
	Name    int
	Seconds int
}

func genStep(t *rapid.T) step {
	return step{
		Op: rapid.SampledFrom([]string{
			"apply", "apply", "apply", "race", "race", "key", "key", "key", "claim", "claim", "claim", "restart", "restart",
			"restartAll", "down", "readsDown", "appendsDown", "hang", "slow", "lose", "expire", "cutLog", "cutPeers", "cutBoth", "heal", "heal", "wait", "unread",
		}).Draw(t, "op"),
		Host:    rapid.IntRange(0, 2).Draw(t, "host"),
		Name:    rapid.IntRange(0, 2).Draw(t, "name"),
		Seconds: rapid.SampledFrom([]int{0, 1, 1, 3, 10, 30, 150}).Draw(t, "seconds"),
	}
}

// faultCluster is a cluster with the results that its writers got.
type faultCluster struct {
	*cluster
	mu             sync.Mutex
	accepted       map[string]tamarackknot.Offset // newest revision by resource that was reported to a writer or read at a host
	values         map[string]map[int]bool        // all proposed priorities by resource
	acceptedValues map[tamarackknot.Offset]int    // accepted priority by revision
	keys           map[string]int                 // number of accepted claims
	created        map[string]time.Time
	next           int
	hasFault       bool // a fault of the log or of a host is active
	// hasIsolated and hasRestarted say that a host was isolated or restarted
	// since the last healAndCheck. Both together may remove the only process
	// that read a record before it expired, after which the other hosts must
	// not continue.
	hasIsolated, hasRestarted bool
	counts                    map[string]int
}

func name(i int) string { return string(rune('a' + i)) }

func (fc *faultCluster) run(steps []step) error {
	defer fc.close()
	defer func() {
		for _, h := range fc.hosts {
			fc.counts["restores"] += int(h.metrics.restores.Count())
		}
	}()
	for i := range 3 {
		fc.start(name(i))
	}
	time.Sleep(time.Second)
	if err := fc.prepare(); err != nil {
		return err
	}
	for i, s := range steps {
		if err := fc.step(s); err != nil {
			return errors.Wrapf(err, "step %d %+v", i, s)
		}
		if err := fc.checkStates(); err != nil {
			return errors.Wrapf(err, "after step %d %+v", i, s)
		}
	}
	if err := fc.healAndCheck(); err != nil {
		return err
	}
	return errors.Wrap(fc.step(step{Op: "restartAll"}), "at the end")
}

func (fc *faultCluster) prepare() error {
	for _, r := range []tamarackknot.Resource{
		deployment("d", 1),
		{
			Kind: tamarackknot.KindModel, Metadata: tamarackknot.Metadata{Name: "m"},
			Model: &tamarackknot.ModelSpec{Deployment: "d", Version: "1", MemoryMB: 10, MaxReplicas: 2},
		},
		{
			Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: "e0"},
			Endpoint: &tamarackknot.EndpointSpec{Deployment: "d", Address: "10.0.0.1:1", FailureDomain: "f", MemoryMB: 10, Slots: 1},
		},
		{
			Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: "e1"},
			Endpoint: &tamarackknot.EndpointSpec{Deployment: "d", Address: "10.0.0.2:1", FailureDomain: "f", MemoryMB: 15, Slots: 1},
		},
		{
			Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: "e2"},
			Endpoint: &tamarackknot.EndpointSpec{Deployment: "d", Address: "10.0.0.3:1", FailureDomain: "f", MemoryMB: 9, Slots: 1},
		},
	} {
		if out, err := propose(fc.hosts["a"], time.Second, apply(r, 0)); err != nil || !out.Accepted {
			return errors.Newf("prepare: %+v %v", out, err)
		}
	}
	return nil
}

func (fc *faultCluster) step(s step) error {
	h := fc.hosts[name(s.Host)]
	pause := time.Duration(s.Seconds) * time.Second
	switch s.Op {
	case "apply":
		return fc.apply(h, s.Name)
	case "race":
		return fc.race(s.Name)
	case "key":
		return fc.claimKey(h, s)
	case "claim":
		fc.claimReplica(h, s)
	case "restart":
		if fc.hasFault && (fc.hasIsolated || !fc.stateElsewhere(name(s.Host))) {
			return nil
		}
		fc.hasRestarted = true
		fc.stop(name(s.Host))
		fc.start(name(s.Host))
		time.Sleep(pause)
	case "restartAll":
		return fc.restartAll()
	case "heal":
		return fc.healAndCheck()
	case "lose":
		fc.log.LoseAnswers(s.Seconds)
	case "expire":
		fc.log.ExpireNow(fc.firstRequired())
	case "cutLog", "cutPeers", "cutBoth":
		if fc.hasRestarted {
			return nil
		}
		fc.hasIsolated = true
		if s.Op != "cutPeers" {
			h.client.SetFaults(fake.LogFaults{ReadsDown: true, AppendsDown: true, Hang: s.Name == 0})
		}
		if s.Op != "cutLog" {
			fc.peers.Isolate(name(s.Host), true)
		}
		fc.hasFault = true
		time.Sleep(pause)
	case "unread":
		id, based := fc.basis(h, s.Name)
		go func() { _, _, _ = fc.write(h, id, based) }()
		time.Sleep(time.Duration(s.Name) * time.Millisecond)
		fc.fault(fake.LogFaults{ReadsDown: true}, pause)
	case "wait":
		time.Sleep(pause)
	default:
		fc.fault(map[string]fake.LogFaults{
			"down": {ReadsDown: true, AppendsDown: true}, "readsDown": {ReadsDown: true}, "appendsDown": {AppendsDown: true},
			"hang": {ReadsDown: true, AppendsDown: true, Hang: true}, "slow": {Delay: time.Second},
		}[s.Op], pause)
	}
	return nil
}

// stateElsewhere reports whether another ready host has at least the state of a
// host.
func (fc *faultCluster) stateElsewhere(host string) bool {
	own := fc.hosts[host].Status()
	for n, h := range fc.hosts {
		if s := h.Status(); n != host && s.Ready && s.Applied >= own.Applied {
			return true
		}
	}
	return false
}

func (fc *faultCluster) fault(f fake.LogFaults, d time.Duration) {
	fc.hasFault = true
	fc.log.SetFaults(f)
	time.Sleep(d)
}

// firstRequired returns the first offset that the log must keep: the one after
// the last complete snapshot.
func (fc *faultCluster) firstRequired() tamarackknot.Offset {
	var o tamarackknot.Offset
	for _, h := range fc.hosts {
		h.Read(func(tamarackknot.State) { o = max(o, h.ledger.Snapshot().Covers) })
	}
	return o + 1
}

// healAndCheck ends all faults and checks that all hosts become ready and have
// the same state.
func (fc *faultCluster) healAndCheck() error {
	fc.log.SetFaults(fake.LogFaults{})
	for n, h := range fc.hosts {
		h.client.SetFaults(fake.LogFaults{})
		fc.peers.Isolate(n, false)
	}
	fc.hasFault, fc.hasIsolated, fc.hasRestarted = false, false, false
	time.Sleep(recoveryTime)
	if err := fc.check(); err != nil {
		return errors.Wrap(err, "after all faults have ended")
	}
	return fc.checkStates()
}

func (fc *faultCluster) restartAll() error {
	if err := fc.healAndCheck(); err != nil {
		return err
	}
	for i := range 3 {
		fc.stop(name(i))
	}
	for i := range 3 {
		fc.start(name(i))
	}
	time.Sleep(propagationTime)
	return errors.Wrap(fc.check(), "after the restart of all hosts")
}

// basis returns the name of a resource and its revision at a host.
func (fc *faultCluster) basis(h *host, n int) (id string, basedOn tamarackknot.Offset) {
	id = fmt.Sprint("r", n)
	h.Read(func(s tamarackknot.State) {
		if r, ok := s.Resource(tamarackknot.KindDeployment, id); ok {
			basedOn = r.Metadata.Revision
		}
	})
	return id, basedOn
}

func (fc *faultCluster) apply(h *host, n int) error {
	id, basedOn := fc.basis(h, n)
	_, _, err := fc.write(h, id, basedOn)
	if err != nil || fc.hasFault {
		return err
	}
	return fc.checkPropagated()
}

func (fc *faultCluster) write(h *host, id string, basedOn tamarackknot.Offset) (tamarackknot.Outcome, bool, error) {
	fc.mu.Lock()
	fc.next++
	value := fc.next % 10
	if fc.values[id] == nil {
		fc.values[id] = make(map[int]bool)
	}
	fc.values[id][value] = true
	fc.mu.Unlock()
	out, err := propose(h, 3*time.Second, apply(deployment(id, value), basedOn))
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if err != nil {
		fc.counts["unknown"]++
		return out, false, nil
	}
	if out.Accepted {
		fc.counts["accepted"]++
		if out.Offset <= fc.accepted[id] {
			return out, true, errors.Newf("%s: accepted revision %d after %d", id, out.Offset, fc.accepted[id])
		}
		fc.accepted[id], fc.acceptedValues[out.Offset] = out.Offset, value
		return out, true, nil
	}
	if !strings.Contains(out.Detail, fmt.Sprintf("has revision %d, the write is based on revision %d", out.Current, basedOn)) {
		return out, true, errors.Newf("conflict does not name both revisions: %+v", out)
	}
	return out, true, nil
}

func (fc *faultCluster) acceptedRevisions() map[string]tamarackknot.Offset {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return maps.Clone(fc.accepted)
}

func (fc *faultCluster) count(what string) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.counts[what]++
}

// race lets all hosts write concurrently, based on the same revision.
func (fc *faultCluster) race(n int) error {
	id := fmt.Sprint("r", n)
	based := fc.acceptedRevisions()[id]
	var wg sync.WaitGroup
	outs, errs := make([]tamarackknot.Outcome, 3), make([]error, 3)
	for i := range 3 {
		wg.Go(func() {
			var isKnown bool
			if outs[i], isKnown, errs[i] = fc.write(fc.hosts[name(i)], id, based); !isKnown {
				outs[i] = tamarackknot.Outcome{Reason: "unknown"}
			}
		})
	}
	wg.Wait()
	winners := 0
	for _, o := range outs {
		if o.Accepted {
			winners++
		}
	}
	if winners > 1 {
		return errors.Newf("%d writers won the race on revision %d: %+v", winners, based, outs)
	}
	if !fc.hasFault && winners == 0 && !slices.ContainsFunc(outs, func(o tamarackknot.Outcome) bool { return o.Reason == "unknown" || o.Current > based }) {
		return errors.Newf("no writer won the race on revision %d: %+v", based, outs)
	}
	return errors.CombineErrors(errs[0], errors.CombineErrors(errs[1], errs[2]))
}

func (fc *faultCluster) claimKey(h *host, s step) error {
	key := fmt.Sprint("k", s.Name)
	// A key is used for longer than its age limit, then replaced.
	if fc.created[key].IsZero() || time.Since(fc.created[key]) > 15*time.Minute {
		fc.created[key], fc.keys[key] = time.Now(), 0
	}
	c := tamarackknot.KeyClaim{Key: key + fc.created[key].String(), Digest: "d", Created: fc.created[key]}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	out, err := h.ClaimKey(ctx, c)
	if err != nil || !out.Accepted {
		return nil
	}
	fc.count("keys")
	if fc.keys[key]++; fc.keys[key] > 1 {
		return errors.Newf("key %s was accepted %d times", key, fc.keys[key])
	}
	return nil
}

// claimReplica claims a replica based on the host's state, or releases one that
// exists there.
func (fc *faultCluster) claimReplica(h *host, s step) {
	endpoint := fmt.Sprint("e", s.Name)
	var c tamarackknot.Change
	h.Read(func(st tamarackknot.State) {
		c.Claim = &tamarackknot.Claim{Target: "m", Endpoint: endpoint, Basis: st.Basis("m")}
		for _, r := range st.EndpointReplicas(endpoint) {
			c = tamarackknot.Change{Release: &tamarackknot.ReplicaChange{Target: "m", Endpoint: endpoint, Fence: r.Fence}}
		}
	})
	if out, err := propose(h, 3*time.Second, c); err == nil && out.Accepted {
		fc.count("replicas")
	}
}

// checkPropagated checks that every ready host has all accepted changes after
// propagationTime. It must be called without faults.
func (fc *faultCluster) checkPropagated() error {
	time.Sleep(propagationTime)
	for n, h := range fc.hosts {
		for id, rev := range fc.acceptedRevisions() {
			var shown tamarackknot.Offset
			h.Read(func(s tamarackknot.State) {
				if r, ok := s.Resource(tamarackknot.KindDeployment, id); ok {
					shown = r.Metadata.Revision
				}
			})
			if h.Status().Ready && shown < rev {
				return errors.Newf("host %s has revision %d of %s after %s, accepted was %d", n, shown, id, propagationTime, rev)
			}
		}
	}
	return nil
}

// checkStates checks the limits on every host, and that every revision has a
// value that was written. It records the revisions, which must not be lost
// later.
func (fc *faultCluster) checkStates() error {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	var err error
	for n, h := range fc.hosts {
		h.Read(func(s tamarackknot.State) {
			if len(s.Replicas("m")) > 2 || s.ReservedMB("e0") > 10 || s.ReservedMB("e1") > 15 || s.ReservedMB("e2") > 9 {
				err = errors.Newf("host %s exceeds a limit: %+v", n, s.Replicas("m"))
			}
			for id := range fc.values {
				r, ok := s.Resource(tamarackknot.KindDeployment, id)
				if !ok {
					continue
				}
				value, isAccepted := fc.acceptedValues[r.Metadata.Revision]
				if isAccepted && value != r.Deployment.Priority || !fc.values[id][r.Deployment.Priority] {
					err = errors.Newf("host %s has %s with priority %d at revision %d", n, id, r.Deployment.Priority, r.Metadata.Revision)
				}
				fc.accepted[id] = max(fc.accepted[id], r.Metadata.Revision)
			}
		})
	}
	return err
}

// check also checks that no host has reverted an accepted change.
func (fc *faultCluster) check() error {
	if err := fc.cluster.check(); err != nil {
		return err
	}
	for id, rev := range fc.acceptedRevisions() {
		for n, h := range fc.hosts {
			var shown tamarackknot.Offset
			h.Read(func(s tamarackknot.State) {
				if r, ok := s.Resource(tamarackknot.KindDeployment, id); ok {
					shown = r.Metadata.Revision
				}
			})
			if shown < rev {
				return errors.Newf("host %s has reverted %s from revision %d to %d", n, id, rev, shown)
			}
		}
	}
	return nil
}

// Guards against accepted changes that are reverted or not applied by all hosts,
// races with two winners, keys accepted twice, exceeded limits, and hosts that
// differ or do not become ready. The steps include faults of the log, partitions
// and restarts. It makes 60 runs of 40 to 60 steps with 3 hosts and seed
// 20261203; -rapid.checks and -rapid.seed change these.
func TestFaults(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(genStep), 40, 60).Draw(rt, "steps")
		counts["steps"] += len(steps)
		var runErr error
		synctest.Test(t, func(*testing.T) {
			fc := &faultCluster{
				cluster: newCluster(fuzzRetention, 20), accepted: make(map[string]tamarackknot.Offset), values: make(map[string]map[int]bool),
				acceptedValues: make(map[tamarackknot.Offset]int), keys: make(map[string]int), created: make(map[string]time.Time), counts: counts,
			}
			runErr = fc.run(steps)
		})
		if runErr != nil {
			rt.Fatal(runErr)
		}
	})
	t.Log(counts)
}
