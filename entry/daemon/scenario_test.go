package daemon

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	operatorv1 "tamarackknot.example/tamarackknot/gen/operator/v1"
)

// maxReactionTime is the limit for "a few seconds" in the guarantees: how long an
// endpoint may still get new requests after its first sign of leaving, and replicas
// may still be loaded after a limit was lowered.
const maxReactionTime = 3 * time.Second

// scenarios returns runs of the cluster with a single event each. Each guards
// against the failure in its name; a violation that a client records also fails
// it.
func scenarios() map[string]func(*run) {
	return map[string]func(*run){
		"leaving engine gets new requests while the host list lags":    leavingEngine,
		"graceful shutdown cuts off requests":                          shutdownUnderLoad,
		"configuration is lost when all hosts restart":                 restartOfAll,
		"configuration is lost in a log outage beyond the retention":   longLogOutage,
		"concurrent updates of operators are both accepted":            operatorRace,
		"a lowered replica limit is not enforced":                      loweredLimit,
		"idle engines count as unusable":                               coldAfterIdle,
		"a burst for a cold model costs several loads":                 burst,
		"a repeated key runs twice after its host was killed":          keyAfterKill,
		"a change takes longer than 11 s with a host cut from the log": logUnreachable,
	}
}

// TestScenarios runs each scenario, then heals all faults and checks the
// guarantees.
func TestScenarios(t *testing.T) {
	for name, scenario := range scenarios() {
		t.Run(name, func(t *testing.T) {
			var violations []string
			synctest.Test(t, func(*testing.T) {
				r := newRun(io.Discard)
				scenario(r)
				r.heal()
				r.wg.Wait()
				time.Sleep(20 * time.Second)
				r.checkGuarantees()
				if len(r.violations) > 0 {
					r.violations = append(r.violations, r.failureCounts()...)
				}
				violations = r.finish()
			})
			require.Empty(t, violations)
		})
	}
}

// failureCounts returns how many calls failed for which reason.
func (r *run) failureCounts() []string {
	counts := map[string]int{}
	for _, list := range r.results {
		for _, res := range list {
			if !res.complete {
				counts[fmt.Sprintf("%d %s %s", res.status, res.run, res.detail)]++
			}
		}
	}
	var out []string
	for reason, n := range counts {
		out = append(out, fmt.Sprintf("%d calls: %s", n, reason))
	}
	return out
}

func leavingEngine(r *run) {
	r.hosts.SetLag(30 * time.Second)
	r.callUntilServed(modelName(0))
	leaving := r.engines[r.engineHolding(modelName(0))]
	for range 4 {
		r.call(0, 0, true)
	}
	leaving.SetLeaving(true)
	r.hosts.SetLeaving(leaving.Name(), true)
	leavingSince := time.Now()
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		r.call(0, 1, true)
	}
	r.wg.Wait()
	if last := r.history.LastRun(leaving.Name()); last.After(leavingSince.Add(maxReactionTime)) {
		r.reportViolation("%s got a request %s after its first sign of leaving", leaving.Name(), last.Sub(leavingSince))
	}
	if got := r.servedCalls(); got < 100 {
		r.reportViolation("%d of 105 calls were served although another replica may be loaded", got)
	}
	leaving.SetLeaving(false)
	r.hosts.SetLeaving(leaving.Name(), false)
}

func shutdownUnderLoad(r *run) {
	r.callUntilServed(modelName(0))
	before, calls := r.servedCalls(), 0
	clients := make([]*client, 6)
	for i := range clients {
		clients[i] = newClient(r.cluster)
	}
	for i := range 400 {
		if i == 50 {
			r.wg.Go(func() { r.term(0) })
		}
		calls++
		q := request{id: fmt.Sprintf("s%d", i), target: modelName(0), prompt: fmt.Sprint(i), stream: i%2 == 0, timeout: 10 * time.Second}
		r.wg.Go(func() {
			cl := newClient(r.cluster)
			cl.cached = clients[i%len(clients)].addresses(context.Background(), i)
			r.record(q, cl.do(q, i))
		})
		time.Sleep(100 * time.Millisecond)
	}
	r.wg.Wait()
	if got := r.servedCalls() - before; got != calls {
		r.reportViolation("%d of %d calls were served during a graceful shutdown", got, calls)
	}
}

func restartOfAll(r *run) {
	r.changePriority(0, 3)
	time.Sleep(3 * time.Minute)
	for i := range clusterHosts {
		r.kill(i)
	}
	time.Sleep(time.Second)
	for i := range clusterHosts {
		r.start(i)
	}
	time.Sleep(20 * time.Second)
}

func longLogOutage(r *run) {
	r.log.SetDown(true)
	time.Sleep(3 * time.Minute)
	r.call(0, 0, true)
	r.wg.Wait()
	r.log.SetDown(false)
	time.Sleep(15 * time.Second)
	r.changePriority(1, 4)
	r.kill(0)
	time.Sleep(20 * time.Second)
	r.start(0)
	time.Sleep(20 * time.Second)
}

func operatorRace(r *run) {
	const writers = 6
	var mu sync.Mutex
	var won, lost int
	var wg sync.WaitGroup
	baseRevision := r.accepted["model/"+modelName(2)]
	for i := range writers {
		wg.Go(func() {
			m := model(2, int32((i+6)%10)) // not 5, which is the stored priority
			m.Metadata.Revision = baseRevision
			ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(15*time.Second))
			defer cancel()
			resp, err := r.operatorClient(r.node(i%clusterHosts)).Apply(ctx, connect.NewRequest(&operatorv1.ApplyRequest{Resource: m}))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				won++
				r.accepted["model/"+modelName(2)] = resp.Msg.GetResource().GetMetadata().GetRevision()
			case connect.CodeOf(err) == connect.CodeAborted && strings.Contains(err.Error(), fmt.Sprintf("revision %d", baseRevision)):
				lost++
			default:
				r.reportViolation("writer %d: %v", i, err)
			}
		})
	}
	wg.Wait()
	if won != 1 || lost != writers-1 {
		r.reportViolation("%d writers succeeded and %d got a conflict, want 1 and %d", won, lost, writers-1)
	}
}

func loweredLimit(r *run) {
	for i := range 40 {
		r.call(0, i, true)
	}
	r.wg.Wait()
	m := model(0, 5)
	m.GetModel().MaxReplicas = 1
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(15*time.Second))
	defer cancel()
	if _, err := r.apply(ctx, r.node(0), m); err != nil {
		r.reportViolation("lower the replica limit: %v", err)
	}
	loweredAt := time.Now()
	for range 20 {
		r.call(0, 0, true)
		time.Sleep(time.Second)
	}
	r.wg.Wait()
	if n := r.history.Replicas(modelName(0)); n > 1 {
		r.reportViolation("%d replicas are loaded %s after the limit was lowered to 1", n, time.Since(loweredAt))
	}
	for _, e := range r.history.Events() {
		if e.Target == modelName(0) && e.Loaded && e.Replicas > 1 && e.Time.After(loweredAt.Add(maxReactionTime)) {
			r.reportViolation("replica %d was loaded %s after the limit was lowered to 1", e.Replicas, e.Time.Sub(loweredAt))
		}
	}
}

func burst(r *run) {
	for i := range 24 {
		r.call(1, i, i%2 == 0) // m1 may have one replica
	}
	r.wg.Wait()
	if got := r.servedCalls(); got != 24 {
		r.reportViolation("%d of 24 calls of the burst were served", got)
	}
	loads := 0
	for _, e := range r.history.Events() {
		if e.Target == modelName(1) && e.Loaded {
			loads++
		}
	}
	if loads != 1 {
		r.reportViolation("the burst caused %d loads, want 1", loads)
	}
}

// coldAfterIdle calls each model once, a minute after the planner was replaced. The
// new planner must have a recent report of every engine, although it need not poll
// the engines itself.
func coldAfterIdle(r *run) {
	for i := range clusterModels {
		planner := r.planner()
		killed := planner.index
		r.kill(killed)
		time.Sleep(time.Minute)
		planner = r.planner()
		for _, e := range r.engines {
			if report, ok := planner.daemon.table.Report(e.Name()); !ok || time.Since(report.Time) > 10*time.Second {
				r.reportViolation("planner %s has a report of %s that is %s old", planner.process, e.Name(), time.Since(report.Time))
			}
		}
		r.call(i, i, true)
		r.wg.Wait()
		if got := r.servedCalls(); got != i+1 {
			r.reportViolation("%d of %d cold calls a minute apart were served", got, i+1)
		}
		r.start(killed)
		time.Sleep(15 * time.Second)
	}
}

// planner returns the node that considers itself the planner.
func (r *run) planner() *node {
	for i := range clusterHosts {
		if n := r.node(i); n != nil && n.daemon.members.Planner("d") == n.name {
			return n
		}
	}
	r.reportViolation("no entry host considers itself the planner")
	return r.node(0)
}

func keyAfterKill(r *run) {
	for i := range 30 {
		host := i % clusterHosts
		id, key := fmt.Sprintf("k%d", i), newKey()
		r.mu.Lock()
		r.keyed[id] = true
		r.mu.Unlock()
		q := request{id: id, prompt: id, key: key, timeout: 10 * time.Second}
		r.wg.Go(func() { r.record(q, newClient(r.cluster).do(q, host)) })
		time.Sleep(time.Duration(i) * 3 * time.Millisecond)
		r.kill(host)
		r.wg.Wait()
		r.start(host)
		time.Sleep(8 * time.Second)
	}
}

func logUnreachable(r *run) {
	n := r.node(1)
	n.log.SetFaults(logDownFaults())
	time.Sleep(time.Second)
	r.changePriority(0, 3)
	changed := time.Now()
	key := "model/" + modelName(3)
	for time.Since(changed) < 11*time.Second {
		var revision tamarackknot.Offset
		n.daemon.journal.Read(func(s tamarackknot.State) {
			if res, ok := s.Resource(tamarackknot.KindModel, modelName(3)); ok {
				revision = res.Metadata.Revision
			}
		})
		if int64(revision) >= r.accepted[key] {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.reportViolation("%s does not have revision %d of %s in force after 11 s", n.process, r.accepted[key], key)
}
