package placement

import (
	"bytes"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

// fuzzStep is one random step; kind decides which fields are used.
type fuzzStep struct {
	kind     string
	host     int
	endpoint int
	target   int
	mask     int
	n        int
	wait     time.Duration
}

func drawSteps(rt *rapid.T) []fuzzStep {
	kinds := []string{
		"demand", "demand", "demand", "kill", "pause", "resume", "logCut", "logLost", "logHeal", "cut", "mute", "heal",
		"delay", "die", "revive", "limit", "version", "drain", "planner", "storeSlow", "reclaim", "wait",
	}
	gen := rapid.Custom(func(t *rapid.T) fuzzStep {
		return fuzzStep{
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"), host: rapid.IntRange(0, testHosts-1).Draw(t, "host"),
			endpoint: rapid.IntRange(0, 3).Draw(t, "endpoint"), target: rapid.IntRange(0, 5).Draw(t, "target"),
			mask: rapid.IntRange(1, 7).Draw(t, "mask"), n: rapid.IntRange(0, 9).Draw(t, "n"),
			wait: time.Duration(rapid.SampledFrom([]int{50, 200, 1000, 4000, 15000}).Draw(t, "wait")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(gen, 10, 40).Draw(rt, "steps")
}

// TestControllerFaults runs several controllers through random faults. It
// guards against more replicas than allowed and against overcommitted engine
// memory at any time, and against demand that remains unserved after the faults
// have ended.
func TestControllerFaults(t *testing.T) {
	set := func(name, value string) {
		f := flag.Lookup(name)
		if f.Value.String() == f.DefValue {
			require.NoError(t, flag.Set(name, value))
		}
	}
	set("rapid.seed", "1")
	set("rapid.checks", "60")
	set("rapid.nofailfile", "true")
	var slowest time.Duration
	steps := 0
	rapid.Check(t, func(rt *rapid.T) {
		list := drawSteps(rt)
		steps += len(list)
		var failure string
		var recovery time.Duration
		synctest.Test(t, func(t *testing.T) {
			failure, recovery = runFuzz(t, list)
		})
		slowest = max(slowest, recovery)
		if failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
	t.Logf("%d steps, slowest recovery after the last fault %v", steps, slowest)
}

func runFuzz(t *testing.T, steps []fuzzStep) (string, time.Duration) {
	t.Helper()
	c := newCluster(t.Context(), true)
	trace := &traceBuffer{}
	if os.Getenv("PLACEMENT_TRACE") != "" {
		c.output = trace
	}
	defer c.close()
	failure, recovery := c.fuzz(steps)
	if failure != "" || os.Getenv("PLACEMENT_TRACE_PASS") != "" {
		trace.save(failure)
	}
	return failure, recovery
}

// traceBuffer collects the log lines of one run.
type traceBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *traceBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// save writes the log lines to the file that PLACEMENT_TRACE names, unless it
// already exists from an earlier failure.
func (b *traceBuffer) save(failure string) {
	name := os.Getenv("PLACEMENT_TRACE")
	if _, err := os.Stat(name); name == "" || err == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = os.WriteFile(name, append(b.b.Bytes(), failure...), 0o600)
}

func (c *cluster) fuzz(steps []fuzzStep) (string, time.Duration) {
	if err := c.configure(0.5); err != nil {
		return err.Error(), 0
	}
	for i := range testHosts {
		c.start(i)
	}
	c.sleep(2 * time.Second)
	for i, s := range steps {
		_, _ = fmt.Fprintf(c.output, "%s step %d %+v\n", time.Now().Format(time.RFC3339Nano), i, s)
		c.inject(s)
		c.sleep(s.wait)
		if v := c.violation(); v != "" {
			return fmt.Sprintf("step %d %+v: %s", i, s, v), 0
		}
	}
	return c.recover()
}

func (c *cluster) inject(s fuzzStep) {
	endpoint := testEndpoints()[s.endpoint]
	e := c.engines[endpoint.name]
	p := c.process(s.host)
	target := testTargets()[s.target]
	f := e.Faults()
	switch s.kind {
	case "demand":
		c.addDemand(target.Metadata.Name, s.mask)
	case "kill":
		c.kill(s.host)
		time.Sleep(time.Duration(s.n) * 300 * time.Millisecond)
		c.start(s.host)
	case "pause":
		p.pause()
	case "resume":
		p.resume()
	case "logCut":
		p.client.SetFaults(fake.LogFaults{ReadsDown: s.n%2 == 0, AppendsDown: true, Hang: s.n > 6})
	case "logLost":
		p.client.SetFaults(fake.LogFaults{LoseAnswers: 1, Delay: time.Duration(s.n) * 100 * time.Millisecond})
	case "logHeal":
		p.client.SetFaults(fake.LogFaults{})
	case "cut":
		p.set(p.cut, endpoint.name, true)
	case "mute":
		p.set(p.dropAnswers, endpoint.name, true)
	case "heal":
		p.set(p.cut, endpoint.name, false)
		p.set(p.dropAnswers, endpoint.name, false)
	case "delay":
		f.DelayOrder = time.Duration(s.n) * time.Second
		if endpoint.fencing {
			f.DelayOrder *= 4
		}
		f.LoseAnswer = s.mask%2 == 0
		e.SetFaults(f)
	case "die":
		f.Die = true
		e.SetFaults(f)
	case "revive":
		f.Die = false
		e.SetFaults(f)
	case "limit":
		if r, ok := c.stored(target.Kind, target.Metadata.Name); ok {
			if r.Model != nil {
				r.Model.MaxReplicas = s.n % 4
			} else {
				r.Adapter.MaxReplicas = s.n % 4
			}
			_ = c.apply(r)
		}
	case "version":
		if r, ok := c.stored(target.Kind, target.Metadata.Name); ok {
			if r.Model != nil {
				r.Model.Version = fmt.Sprint(s.n)
			} else {
				r.Adapter.Version = fmt.Sprint(s.n)
			}
			_ = c.apply(r)
		}
	case "drain":
		if r, ok := c.stored(tamarackknot.KindEndpoint, endpoint.name); ok {
			r.Endpoint.Draining = s.n%2 == 0
			_ = c.apply(r)
		}
	case "planner":
		c.mu.Lock()
		c.plansItself[s.host] = s.n > 2
		c.mu.Unlock()
	case "storeSlow":
		c.store.SetSpeed(float64(s.n) / 10)
	case "reclaim":
		f.Die = true
		e.SetFaults(f)
		c.hosts.Remove(endpoint.name)
	}
}

// recover ends all faults and returns how long it takes until the demand for
// each target is served.
func (c *cluster) recover() (string, time.Duration) {
	for i := range testHosts {
		p := c.process(i)
		p.resume()
		p.client.SetFaults(fake.LogFaults{})
		for name := range c.engines {
			p.set(p.cut, name, false)
			p.set(p.dropAnswers, name, false)
		}
		c.mu.Lock()
		c.plansItself[i] = false
		c.mu.Unlock()
	}
	c.store.SetSpeed(1)
	for _, e := range testEndpoints() {
		c.engines[e.name].SetFaults(fake.Faults{})
		c.hosts.Put(tamarackknot.Host{Name: e.name, Role: tamarackknot.RoleEndpoint, Address: e.name, FailureDomain: e.domain})
		if r, ok := c.stored(tamarackknot.KindEndpoint, e.name); ok && r.Endpoint.Draining {
			r.Endpoint.Draining = false
			_ = c.apply(r)
		}
	}
	for _, r := range testTargets() {
		if err := c.apply(r); err != nil {
			return err.Error(), 0
		}
	}
	start := time.Now()
	for _, r := range testTargets() {
		c.addDemand(r.Metadata.Name, 7)
	}
	for len(c.demands()) > 0 {
		c.sleep(500 * time.Millisecond)
		if time.Since(start) > 5*time.Minute {
			return fmt.Sprintf("demand for %v is not met 5 min after the faults ended: %s", c.demands(), c.state()), 0
		}
	}
	return c.violation(), time.Since(start)
}

// state returns the replicas in the log and in the engines.
func (c *cluster) state() string {
	out := ""
	c.admin.Read(func(s tamarackknot.State) {
		for _, e := range testEndpoints() {
			out += fmt.Sprintf("\n%s log %+v engine %+v", e.name, s.EndpointReplicas(e.name), c.engines[e.name].Loaded())
		}
	})
	for i := range testHosts {
		if p := c.process(i); p != nil {
			for t := range c.demands() {
				out += fmt.Sprintf("\nforecast %s %+v", t, p.ctl.Forecast(t))
			}
		}
	}
	return out
}

// TestColdBurstOneLoad guards against several loads of one cold model when
// demand starts on all hosts at once, even if each host considers itself the
// planner.
func TestColdBurstOneLoad(t *testing.T) {
	for name, all := range map[string]bool{"one planner": false, "every host plans": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t.Context(), true)
				defer c.close()
				require.NoError(t, c.configure(0.5))
				for i := range testHosts {
					c.plansItself[i] = all
					c.start(i)
				}
				c.sleep(3 * time.Second)
				start := time.Now()
				c.addDemand("m1", 7)
				c.sleep(40 * time.Second)
				require.Empty(t, c.demands())
				loads := slices.DeleteFunc(c.history.Events(), func(e fake.MemoryEvent) bool { return !e.Loaded })
				require.Len(t, loads, 1)
				t.Logf("loaded after %v", c.served["m1"].Sub(start))
			})
		})
	}
}

// TestDirectedFaults replays fault sequences that random steps rarely reach.
func TestDirectedFaults(t *testing.T) {
	drainAllBut := func(endpoint int) []fuzzStep {
		var out []fuzzStep
		for i := range testEndpoints() {
			out = append(out, fuzzStep{kind: "drain", endpoint: i, n: min(1, max(0, 1-(i-endpoint)*(i-endpoint)))})
		}
		out[len(out)-1].wait = time.Second
		return out
	}
	onAllHosts := func(endpoint int, kind string) []fuzzStep {
		var out []fuzzStep
		for h := range testHosts {
			out = append(out, fuzzStep{kind: kind, host: h, endpoint: endpoint})
		}
		return out
	}
	tests := map[string][][]fuzzStep{
		// A delayed load order whose reservation has been released must be
		// rejected by the engine, so the unload needs a new fencing token.
		"delayed load after the reservation was given up": {
			drainAllBut(0),
			{{kind: "delay", endpoint: 0, n: 9, mask: 1}},
			onAllHosts(0, "mute"),
			{{kind: "demand", target: 0, mask: 1, wait: 3 * time.Second}},
			{{kind: "delay", endpoint: 0, mask: 1}, {kind: "limit", target: 0}},
			onAllHosts(0, "heal"),
			{{kind: "wait", wait: 6 * time.Second}},
			drainAllBut(1),
			{{kind: "limit", target: 0, n: 1, wait: 45 * time.Second}},
		},
		// An endpoint without fencing executes a delayed load order of a
		// process that has ended, so the reservation must be kept until then.
		"delayed load of a killed issuer": {
			drainAllBut(1),
			{{kind: "delay", endpoint: 1, n: 9, mask: 1}},
			{{kind: "demand", target: 0, mask: 2, wait: 200 * time.Millisecond}, {kind: "kill", host: 0}},
			{{kind: "delay", endpoint: 1, mask: 1}, {kind: "limit", target: 0, wait: 6 * time.Second}},
			drainAllBut(3),
			{{kind: "limit", target: 0, n: 1, wait: 40 * time.Second}},
		},
		// A paused issuer sends its order after another process has taken over
		// the replica.
		"order of a paused issuer after the takeover": {
			drainAllBut(2),
			{{kind: "demand", target: 2, mask: 2, wait: 100 * time.Millisecond}, {kind: "pause", wait: 15 * time.Second}},
			{{kind: "limit", target: 2, wait: 15 * time.Second}},
			drainAllBut(0),
			{{kind: "limit", target: 2, n: 1, wait: 15 * time.Second}},
			{{kind: "resume", wait: 20 * time.Second}},
		},
		// The answers of all orders are lost for some time.
		"lost answers": {
			drainAllBut(3),
			{{kind: "delay", endpoint: 3, n: 3, mask: 2}},
			{{kind: "demand", target: 0, mask: 7, wait: 25 * time.Second}},
			{{kind: "version", target: 0, n: 5, wait: 15 * time.Second}},
		},
	}
	for name, groups := range tests {
		t.Run(name, func(t *testing.T) {
			var failure string
			var recovery time.Duration
			synctest.Test(t, func(t *testing.T) { failure, recovery = runFuzz(t, slices.Concat(groups...)) })
			require.Empty(t, failure)
			t.Logf("recovery %v", recovery)
		})
	}
}

// TestUnloadWaitsForRequests guards against an unload that interrupts a request
// routed before the unload record arrived, and against routing to a replica
// whose unload was ordered.
func TestUnloadWaitsForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), true)
		defer c.close()
		require.NoError(t, c.configure(0.5))
		c.start(0)
		c.sleep(time.Second)
		c.addDemand("m2", 1)
		c.sleep(20 * time.Second)
		endpoint := c.holder("m2")
		done := make(chan string, 1)
		c.wg.Go(func() {
			r := httptest.NewRequestWithContext(c.ctx, http.MethodPost, "/v1/completions",
				strings.NewReader(`{"model":"m2","prompt":"x","max_tokens":200,"stream":true}`)) // 10 s
			w := httptest.NewRecorder()
			c.engines[endpoint].ServeHTTP(w, r)
			done <- w.Body.String()
		})
		time.Sleep(time.Second)
		c.inject(fuzzStep{kind: "limit", target: 2, n: 0})
		unloadAt := time.Now()
		c.sleep(30 * time.Second)
		require.True(t, strings.HasSuffix(strings.TrimSpace(<-done), "data: [DONE]"))
		events := c.history.Events()
		last := events[len(events)-1]
		require.False(t, last.Loaded)
		require.Greater(t, last.Time.Sub(unloadAt), unloadGrace)
	})
}

// holder returns an endpoint that has loaded the target, or "".
func (c *cluster) holder(target string) string {
	for name, e := range c.engines {
		for _, l := range e.Loaded() {
			if l.Name == target {
				return name
			}
		}
	}
	return ""
}

// TestDrain guards against a shutdown that reports idle while an order is
// outstanding, or that proposes changes afterwards.
func TestDrain(t *testing.T) {
	for name, test := range map[string]struct {
		deadline time.Duration
		idle     bool
	}{"order ends in time": {time.Minute, true}, "deadline first": {3 * time.Second, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t.Context(), true)
				defer c.close()
				require.NoError(t, c.configure(0.5))
				c.start(0)
				c.sleep(time.Second)
				c.addDemand("m0", 1)
				c.sleep(time.Second)
				ctl := c.process(0).ctl
				begin := time.Now()
				<-ctl.Drain(begin.Add(test.deadline))
				require.Equal(t, test.idle, ctl.Idle())
				require.LessOrEqual(t, time.Since(begin), test.deadline+idleInterval)
				appends := c.log.Appends()
				c.addDemand("m1", 1)
				c.sleep(20 * time.Second)
				if test.idle {
					require.Equal(t, appends, c.log.Appends())
				}
				require.Empty(t, c.holder("m1"))
			})
		})
	}
}
