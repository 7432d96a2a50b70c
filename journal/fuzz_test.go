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
	fuzzRetention = 2 * time.Minute
	settleTime    = 50 * time.Second
	reachTime     = 8 * time.Second // within which an accepted change is in force
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

// world is a cluster and what its users were told.
type world struct {
	*cluster
	mu       sync.Mutex
	accepted map[string]tamarackknot.Offset // newest revision that a writer was told, or that a host showed
	values   map[string]map[int]bool        // priorities ever proposed
	told     map[tamarackknot.Offset]int    // priority that was accepted at a revision
	keys     map[string]int                 // acceptances
	created  map[string]time.Time
	next     int
	faulty   bool // a fault of the log or of a host is active
	// cut and restarted hosts since the last settle. Both together may lose
	// the only process that read a record before it expired; then the others
	// refuse to go on, as they must.
	cut, restarted bool
	counts         map[string]int
}

func name(i int) string { return string(rune('a' + i)) }

func (w *world) run(steps []step) error {
	defer w.close()
	defer func() {
		for _, h := range w.hosts {
			w.counts["restores"] += int(h.metrics.restores.Count())
		}
	}()
	for i := range 3 {
		w.start(name(i))
	}
	time.Sleep(time.Second)
	if err := w.prepare(); err != nil {
		return err
	}
	for i, s := range steps {
		if err := w.step(s); err != nil {
			return errors.Wrapf(err, "step %d %+v", i, s)
		}
		if err := w.observe(); err != nil {
			return errors.Wrapf(err, "after step %d %+v", i, s)
		}
	}
	if err := w.settle(); err != nil {
		return err
	}
	return errors.Wrap(w.step(step{Op: "restartAll"}), "at the end")
}

func (w *world) prepare() error {
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
		if out, err := propose(w.hosts["a"], time.Second, apply(r, 0)); err != nil || !out.Accepted {
			return errors.Newf("prepare: %+v %v", out, err)
		}
	}
	return nil
}

func (w *world) step(s step) error {
	h := w.hosts[name(s.Host)]
	pause := time.Duration(s.Seconds) * time.Second
	switch s.Op {
	case "apply":
		return w.apply(h, s.Name)
	case "race":
		return w.race(s.Name)
	case "key":
		return w.claimKey(h, s)
	case "claim":
		w.claimReplica(h, s)
	case "restart":
		if w.faulty && (w.cut || !w.survives(name(s.Host))) {
			return nil
		}
		w.restarted = true
		w.stop(name(s.Host))
		w.start(name(s.Host))
		time.Sleep(pause)
	case "restartAll":
		return w.restartAll()
	case "heal":
		return w.settle()
	case "lose":
		w.log.LoseAnswers(s.Seconds)
	case "expire":
		w.log.ExpireNow(w.covered())
	case "cutLog", "cutPeers", "cutBoth":
		if w.restarted {
			return nil
		}
		w.cut = true
		if s.Op != "cutPeers" {
			h.client.SetFaults(fake.LogFaults{ReadsDown: true, AppendsDown: true, Hang: s.Name == 0})
		}
		if s.Op != "cutLog" {
			w.peers.Isolate(name(s.Host), true)
		}
		w.faulty = true
		time.Sleep(pause)
	case "unread":
		id, based := w.basis(h, s.Name)
		go func() { _, _, _ = w.write(h, id, based) }()
		time.Sleep(time.Duration(s.Name) * time.Millisecond)
		w.fault(fake.LogFaults{ReadsDown: true}, pause)
	case "wait":
		time.Sleep(pause)
	default:
		w.fault(map[string]fake.LogFaults{
			"down": {ReadsDown: true, AppendsDown: true}, "readsDown": {ReadsDown: true}, "appendsDown": {AppendsDown: true},
			"hang": {ReadsDown: true, AppendsDown: true, Hang: true}, "slow": {Delay: time.Second},
		}[s.Op], pause)
	}
	return nil
}

// survives reports whether another host has the state of a host.
func (w *world) survives(host string) bool {
	own := w.hosts[host].Status()
	for n, h := range w.hosts {
		if s := h.Status(); n != host && s.Ready && s.Applied >= own.Applied {
			return true
		}
	}
	return false
}

func (w *world) fault(f fake.LogFaults, d time.Duration) {
	w.faulty = true
	w.log.SetFaults(f)
	time.Sleep(d)
}

// covered is the newest offset that the log may expire without breaking its
// retention time for a snapshot: that after the last complete one.
func (w *world) covered() tamarackknot.Offset {
	var o tamarackknot.Offset
	for _, h := range w.hosts {
		h.Read(func(tamarackknot.State) { o = max(o, h.ledger.Snapshot().Covers) })
	}
	return o + 1
}

// settle ends all faults; then all hosts must be ready and equal.
func (w *world) settle() error {
	w.log.SetFaults(fake.LogFaults{})
	for n, h := range w.hosts {
		h.client.SetFaults(fake.LogFaults{})
		w.peers.Isolate(n, false)
	}
	w.faulty, w.cut, w.restarted = false, false, false
	time.Sleep(settleTime)
	if err := w.check(); err != nil {
		return errors.Wrap(err, "after all faults have ended")
	}
	return w.observe()
}

func (w *world) restartAll() error {
	if err := w.settle(); err != nil {
		return err
	}
	for i := range 3 {
		w.stop(name(i))
	}
	for i := range 3 {
		w.start(name(i))
	}
	time.Sleep(reachTime)
	return errors.Wrap(w.check(), "after the restart of all hosts")
}

// basis names a resource and the revision that a host shows.
func (w *world) basis(h *host, n int) (id string, basedOn tamarackknot.Offset) {
	id = fmt.Sprint("r", n)
	h.Read(func(s tamarackknot.State) {
		if r, ok := s.Resource(tamarackknot.KindDeployment, id); ok {
			basedOn = r.Metadata.Revision
		}
	})
	return id, basedOn
}

func (w *world) apply(h *host, n int) error {
	id, basedOn := w.basis(h, n)
	_, _, err := w.write(h, id, basedOn)
	if err != nil || w.faulty {
		return err
	}
	return w.inForce()
}

func (w *world) write(h *host, id string, basedOn tamarackknot.Offset) (tamarackknot.Outcome, bool, error) {
	w.mu.Lock()
	w.next++
	value := w.next % 10
	if w.values[id] == nil {
		w.values[id] = make(map[int]bool)
	}
	w.values[id][value] = true
	w.mu.Unlock()
	out, err := propose(h, 3*time.Second, apply(deployment(id, value), basedOn))
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.counts["unknown"]++
		return out, false, nil
	}
	if out.Accepted {
		w.counts["accepted"]++
		if out.Offset <= w.accepted[id] {
			return out, true, errors.Newf("%s: accepted revision %d after %d", id, out.Offset, w.accepted[id])
		}
		w.accepted[id], w.told[out.Offset] = out.Offset, value
		return out, true, nil
	}
	if !strings.Contains(out.Detail, fmt.Sprintf("has revision %d, the write is based on revision %d", out.Current, basedOn)) {
		return out, true, errors.Newf("loser is not told both revisions: %+v", out)
	}
	return out, true, nil
}

func (w *world) known() map[string]tamarackknot.Offset {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.accepted)
}

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

// race lets all hosts write on one revision at once.
func (w *world) race(n int) error {
	id := fmt.Sprint("r", n)
	based := w.known()[id]
	var wg sync.WaitGroup
	outs, errs := make([]tamarackknot.Outcome, 3), make([]error, 3)
	for i := range 3 {
		wg.Go(func() {
			var known bool
			if outs[i], known, errs[i] = w.write(w.hosts[name(i)], id, based); !known {
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
	if !w.faulty && winners == 0 && !slices.ContainsFunc(outs, func(o tamarackknot.Outcome) bool { return o.Reason == "unknown" || o.Current > based }) {
		return errors.Newf("nobody won the race on revision %d: %+v", based, outs)
	}
	return errors.CombineErrors(errs[0], errors.CombineErrors(errs[1], errs[2]))
}

func (w *world) claimKey(h *host, s step) error {
	key := fmt.Sprint("k", s.Name)
	// A key is kept in use past its age limit, then replaced.
	if w.created[key].IsZero() || time.Since(w.created[key]) > 15*time.Minute {
		w.created[key], w.keys[key] = time.Now(), 0
	}
	c := tamarackknot.KeyClaim{Key: key + w.created[key].String(), Digest: "d", Created: w.created[key]}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	out, err := h.ClaimKey(ctx, c)
	if err != nil || !out.Accepted {
		return nil
	}
	w.count("keys")
	if w.keys[key]++; w.keys[key] > 1 {
		return errors.Newf("key %s was accepted %d times", key, w.keys[key])
	}
	return nil
}

// claimReplica claims on the host's own view, or releases what it finds.
func (w *world) claimReplica(h *host, s step) {
	endpoint := fmt.Sprint("e", s.Name)
	var c tamarackknot.Change
	h.Read(func(st tamarackknot.State) {
		c.Claim = &tamarackknot.Claim{Target: "m", Endpoint: endpoint, Basis: st.Basis("m")}
		for _, r := range st.EndpointReplicas(endpoint) {
			c = tamarackknot.Change{Release: &tamarackknot.ReplicaChange{Target: "m", Endpoint: endpoint, Fence: r.Fence}}
		}
	})
	if out, err := propose(h, 3*time.Second, c); err == nil && out.Accepted {
		w.count("replicas")
	}
}

// inForce checks that every host shows what was accepted, without faults.
func (w *world) inForce() error {
	time.Sleep(reachTime)
	for n, h := range w.hosts {
		for id, rev := range w.known() {
			var shown tamarackknot.Offset
			h.Read(func(s tamarackknot.State) {
				if r, ok := s.Resource(tamarackknot.KindDeployment, id); ok {
					shown = r.Metadata.Revision
				}
			})
			if h.Status().Ready && shown < rev {
				return errors.Newf("host %s shows revision %d of %s after %s, accepted was %d", n, shown, id, reachTime, rev)
			}
		}
	}
	return nil
}

// observe checks limits on every host, and that no revision has a value that
// nobody wrote. Revisions that hosts show must not be lost later.
func (w *world) observe() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var err error
	for n, h := range w.hosts {
		h.Read(func(s tamarackknot.State) {
			if len(s.Replicas("m")) > 2 || s.ReservedMB("e0") > 10 || s.ReservedMB("e1") > 15 || s.ReservedMB("e2") > 9 {
				err = errors.Newf("host %s exceeds a limit: %+v", n, s.Replicas("m"))
			}
			for id := range w.values {
				r, ok := s.Resource(tamarackknot.KindDeployment, id)
				if !ok {
					continue
				}
				value, told := w.told[r.Metadata.Revision]
				if told && value != r.Deployment.Priority || !w.values[id][r.Deployment.Priority] {
					err = errors.Newf("host %s shows %s with %d at revision %d", n, id, r.Deployment.Priority, r.Metadata.Revision)
				}
				w.accepted[id] = max(w.accepted[id], r.Metadata.Revision)
			}
		})
	}
	return err
}

// check also compares what hosts show with what was accepted.
func (w *world) check() error {
	if err := w.cluster.check(); err != nil {
		return err
	}
	for id, rev := range w.known() {
		for n, h := range w.hosts {
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

// Guards against accepted changes that revert or do not spread, races with two
// winners, keys accepted twice, exceeded limits and hosts that differ or stay
// unready, through every fault of the log, partitions and restarts. Seed
// 20261203, 60 runs of 40 to 60 steps with 3 hosts; -rapid.checks and
// -rapid.seed change them.
func TestFaults(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(genStep), 40, 60).Draw(rt, "steps")
		counts["steps"] += len(steps)
		var verdict error
		synctest.Test(t, func(*testing.T) {
			w := &world{
				cluster: newCluster(fuzzRetention, 20), accepted: make(map[string]tamarackknot.Offset), values: make(map[string]map[int]bool),
				told: make(map[tamarackknot.Offset]int), keys: make(map[string]int), created: make(map[string]time.Time), counts: counts,
			}
			verdict = w.run(steps)
		})
		if verdict != nil {
			rt.Fatal(verdict)
		}
	})
	t.Log(counts)
}
