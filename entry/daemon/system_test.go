package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot/fake"
	"tamarackknot.example/tamarackknot/internal/rapidtest"
)

// step is one action of a run. All steps are drawn before the run starts, because
// rapid must not draw inside a synctest bubble.
type step struct {
	Kind  string
	Wait  time.Duration // pause before the step
	A, B  int
	On    bool
	Calls int
}

func drawSteps(t *rapid.T) []step {
	kinds := []string{
		"calls", "calls", "calls", "calls", "burst", "kill", "start", "term", "logDown", "logCut", "loseAnswers",
		"peers", "engineDie", "engineCut", "engineHang", "orderLost", "orderSlow", "apply", "storeSlow", "expire",
		"pause", "pause", "service", "service",
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			Wait:  time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond,
			A:     rapid.IntRange(0, 11).Draw(t, "a"),
			B:     rapid.IntRange(0, 11).Draw(t, "b"),
			On:    rapid.Bool().Draw(t, "on"),
			Calls: rapid.IntRange(1, 4).Draw(t, "calls"),
		}
	}), 1, 40).Draw(t, "steps")
}

// outcome is the result of a run.
type outcome struct {
	violations []string
	calls      int
	served     int
	recovery   time.Duration
	appends    int64
	elapsed    time.Duration
}

// run is the state of a run of the cluster with clients.
type run struct {
	*cluster
	wg      sync.WaitGroup
	mu      sync.Mutex
	results map[string][]result
	keyed   map[string]bool
	served  int
	calls   int
	// accepted is the newest accepted revision of each resource.
	accepted map[string]int64
}

// recoveryLimit is how long after the last fault all targets must be served again.
// A failed planner is replaced after 10 s, and the reservations of a failed process
// are settled 10 s after the lagging host list has dropped it.
const recoveryLimit = 60 * time.Second

// newRun starts the daemons and applies the configuration.
func newRun(out io.Writer) *run {
	r := &run{
		cluster: newCluster(out, time.Minute),
		results: map[string][]result{}, keyed: map[string]bool{}, accepted: map[string]int64{},
	}
	for i := range clusterHosts {
		r.start(i)
	}
	time.Sleep(hostListLag + 3*time.Second)
	r.configure()
	return r
}

// finish stops the daemons and returns the violations.
func (r *run) finish() []string {
	r.close()
	time.Sleep(5 * time.Minute) // until idle connections have timed out
	return r.violations
}

func runSteps(steps []step, out io.Writer) outcome {
	start := time.Now()
	r := newRun(out)
	for _, s := range steps {
		time.Sleep(s.Wait)
		r.do(s)
	}
	r.heal()
	recovery := r.measureRecovery()
	r.wg.Wait()
	r.checkGuarantees()
	res := outcome{
		calls: r.calls, served: r.served, recovery: recovery,
		appends: r.log.Appends(), elapsed: time.Since(start),
	}
	res.violations = r.finish()
	return res
}

// configure applies the initial configuration.
func (r *run) configure() {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Minute))
	defer cancel()
	for _, res := range resources() {
		revision, err := r.apply(ctx, r.node(0), res)
		if err != nil {
			r.reportViolation("apply %s/%s: %v", res.GetKind(), res.GetMetadata().GetName(), err)
		}
		r.accepted[res.GetKind()+"/"+res.GetMetadata().GetName()] = revision
	}
}

func logDownFaults() fake.LogFaults { return fake.LogFaults{ReadsDown: true, AppendsDown: true} }

// do performs a step. Calls and other slow operations continue in the background.
func (r *run) do(s step) {
	host := s.A % clusterHosts
	engine := r.engines[s.A%clusterEngines]
	switch s.Kind {
	case "calls":
		for i := range s.Calls {
			r.call(s.A+i, s.B, s.On)
		}
	case "burst":
		for i := range 12 {
			r.call(s.A, s.B+i, s.On)
		}
	case "kill":
		r.kill(host)
	case "start":
		if r.node(host) == nil && !r.draining(host) {
			r.start(host)
		}
	case "term":
		r.wg.Go(func() { r.term(host) })
	case "logDown":
		r.log.SetDown(s.On)
	case "logCut":
		if n := r.node(host); n != nil {
			n.log.SetFaults(fake.LogFaults{ReadsDown: s.On, AppendsDown: s.On || s.B%2 == 0, Hang: s.B%3 == 0})
		}
	case "loseAnswers":
		r.log.LoseAnswers(s.Calls)
	case "peers":
		r.cutPeers(host, s.B%clusterHosts, s.On)
	case "storeSlow":
		r.store.SetSpeed(map[bool]float64{true: 0.25, false: 1}[s.On])
	case "expire":
		r.log.ExpireNow(r.log.Next() - 5)
	case "service":
		r.services[s.A%clusterServices].SetFaults(fake.Faults{
			Cut: s.On, Die: s.On && s.B%4 == 0, LoseAnswer: s.B%3 == 0, Refuse: s.B%5 == 0,
		})
	case "pause":
		if n := r.node(host); n != nil {
			r.pause(n, s.On)
		}
	case "apply":
		r.wg.Go(func() { r.changePriority(host, s.B) })
	default:
		r.engineFault(engine, s)
	}
}

// engineFault switches a fault of an engine on or off.
func (r *run) engineFault(e *fake.Engine, s step) {
	f := e.Faults()
	switch s.Kind {
	case "engineDie":
		f.Die = s.On
	case "engineCut":
		f.Cut = s.On
	case "engineHang":
		f.Hang = s.On
	case "orderLost":
		f.LoseAnswer = s.On
	case "orderSlow":
		f.DelayOrder = map[bool]time.Duration{true: 3 * time.Second}[s.On]
	}
	e.SetFaults(f)
}

// call sends a request in the background.
func (r *run) call(target, seed int, stream bool) {
	r.mu.Lock()
	r.calls++
	q := request{id: fmt.Sprintf("r%d", r.calls), prompt: fmt.Sprintf("prompt %d", r.calls), stream: stream, timeout: 20 * time.Second}
	switch t := target % (clusterModels + 3); {
	case t < clusterModels:
		q.target = modelName(t)
	case t == clusterModels:
		q.target = "a0"
	default:
		q.key = newKey()
		r.keyed[q.id] = true
	}
	r.mu.Unlock()
	r.wg.Go(func() { r.record(q, newClient(r.cluster).do(q, seed)) })
}

func (r *run) record(q request, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[q.id] = append(r.results[q.id], res)
	if res.complete {
		r.served++
	}
}

// changePriority applies a new priority to a model. The revision is recorded only
// if the change is known to be accepted.
func (r *run) changePriority(host, i int) {
	n := r.node(host)
	if n == nil {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(15*time.Second))
	defer cancel()
	m := model(i%clusterModels, int32(i%10))
	revision, err := r.apply(ctx, n, m)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := "model/" + m.GetMetadata().GetName()
	r.accepted[key] = max(r.accepted[key], revision)
}

// heal ends all faults and starts the daemons that are not running.
func (r *run) heal() {
	r.log.SetDown(false)
	r.log.LoseAnswers(0)
	r.store.SetSpeed(1)
	r.healPeers()
	for _, e := range r.engines {
		e.SetFaults(fake.Faults{})
	}
	for _, e := range r.services {
		e.SetFaults(fake.Faults{})
	}
	r.cluster.mu.Lock()
	all := r.all
	r.cluster.mu.Unlock()
	for _, n := range all {
		if n.killedAt().IsZero() {
			r.pause(n, false)
		}
	}
	for i := range clusterHosts {
		if r.node(i) != nil {
			continue
		}
		for r.draining(i) {
			time.Sleep(time.Second)
		}
		r.start(i)
	}
}

// draining reports whether a process that is shutting down still uses the addresses
// of host i.
func (r *run) draining(i int) bool {
	r.cluster.mu.Lock()
	all := r.all
	r.cluster.mu.Unlock()
	for _, n := range all {
		if n.index == i && n.killedAt().IsZero() && len(n.done) == 0 {
			return true
		}
	}
	return false
}

// measureRecovery calls every target until all are served, and returns how long
// that took.
func (r *run) measureRecovery() time.Duration {
	start := time.Now()
	for time.Since(start) < recoveryLimit {
		missing := 0
		for i := range clusterModels + 3 {
			before := r.servedCalls()
			r.call(i, i, i%2 == 0)
			r.wg.Wait()
			if r.servedCalls() == before {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(start)
		}
		time.Sleep(time.Second)
	}
	r.reportViolation("not all targets are served %s after the last fault", recoveryLimit)
	return recoveryLimit
}

// callUntilServed calls a target until it is served.
func (r *run) callUntilServed(target string) {
	for range 20 {
		before := r.servedCalls()
		r.call(int(target[1]-'0'), 0, true)
		r.wg.Wait()
		if r.servedCalls() > before {
			return
		}
		time.Sleep(time.Second)
	}
	r.reportViolation("%s is not served although there is no fault", target)
}

// engineHolding returns the index of an engine on which a target is loaded.
func (r *run) engineHolding(target string) int {
	for i, e := range r.engines {
		for _, l := range e.Loaded() {
			if l.Name == target {
				return i
			}
		}
	}
	r.reportViolation("%s is not loaded on any engine", target)
	return 0
}

func (r *run) servedCalls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.served
}

// checkGuarantees records a violation for each guarantee that the run has broken.
func (r *run) checkGuarantees() {
	if list := r.history.Exceeded(); len(list) > 0 {
		r.reportViolation("accelerator memory was exceeded on %v", list)
	}
	for target, peak := range r.history.AllPeakReplicas() {
		if peak > maxReplicas(target) {
			r.reportViolation("%d replicas of %s were loaded, the limit is %d", peak, target, maxReplicas(target))
		}
	}
	for id, list := range r.results {
		runs := len(r.history.Runs(id))
		if r.keyed[id] && runs > 1 {
			r.reportViolation("request %s ran %d times", id, runs)
		}
		for _, res := range list {
			if res.run == "notRun" && runs > 0 {
				r.reportViolation("request %s was reported as notRun (%s) but ran %d times", id, res.detail, runs)
			}
		}
	}
	for i := range clusterHosts {
		n := r.node(i)
		if n == nil {
			continue
		}
		stored := map[string]int64{}
		for _, res := range r.list(n) {
			stored[res.GetKind()+"/"+res.GetMetadata().GetName()] = res.GetMetadata().GetRevision()
		}
		for key, revision := range r.accepted {
			if stored[key] < revision {
				r.reportViolation("%s has revision %d of %s, but %d was accepted", n.process, stored[key], key, revision)
			}
		}
	}
}

func TestMain(m *testing.M) { rapidtest.Main(m, 150) }

// Guards against violations of the guarantees in docs/GUARANTEES.md by complete
// entry daemons under random sequences of faults, which may overlap and repeat.
func TestSystemUnderFaults(t *testing.T) {
	runs, calls, served := 0, 0, 0
	var slowest time.Duration
	var rate float64
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var res outcome
		var logs bytes.Buffer
		synctest.Test(t, func(*testing.T) { res = runSteps(steps, &logs) })
		if len(res.violations) > 0 {
			_ = os.WriteFile(filepath.Join(os.TempDir(), "system-test.log"), logs.Bytes(), 0o600)
			rt.Fatalf("steps %+v\n%s", steps, strings.Join(res.violations, "\n"))
		}
		runs, calls, served = runs+1, calls+res.calls, served+res.served
		slowest = max(slowest, res.recovery)
		rate = max(rate, float64(res.appends)/res.elapsed.Seconds())
	})
	t.Logf("runs=%d calls=%d served=%d slowestRecovery=%s highestAppendsPerSecond=%.1f", runs, calls, served, slowest, rate)
}
