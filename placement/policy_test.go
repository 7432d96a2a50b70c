package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// policyTest drives a Policy with a manual clock.
type policyTest struct {
	*Policy
	now time.Time
}

func newPolicyTest(endpoints int, memoryMB int64, targets ...tamarackknot.Target) *policyTest {
	p := &policyTest{Policy: NewPolicy(PolicyConfig{}), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	p.SetDeployment(tamarackknot.DeploymentSpec{ColdStartWeight: 0.5, LoadsPerSecond: 4, LoadsAtOnce: 2}, p.now)
	for i := range endpoints {
		spec := tamarackknot.EndpointSpec{FailureDomain: fmt.Sprintf("d%d", i%3), MemoryMB: memoryMB, Slots: 4}
		p.SetEndpoint(fmt.Sprintf("e%d", i), spec, true, false)
	}
	for _, t := range targets {
		t.Version = "1"
		p.SetTarget(t)
	}
	return p
}

func (p *policyTest) setDemand(target string, priority int, deadline time.Duration) {
	p.SetDemand(tamarackknot.Demand{Target: target, Waiting: 1, Priority: priority, Earliest: p.now.Add(deadline)}, p.now)
}

// load sets a target as loaded on an endpoint since an hour ago.
func (p *policyTest) load(target, endpoint string) {
	t := p.targets[target]
	p.SetReplicas(target, 1, []tamarackknot.Replica{{
		Target: target, Endpoint: endpoint, Version: "1", MemoryMB: t.MemoryMB, State: tamarackknot.ReplicaLoaded, Since: p.now.Add(-time.Hour),
	}}, p.now)
}

// step advances the clock by d and returns the decisions as "action target
// endpoint" strings.
func (p *policyTest) step(d time.Duration) (out []string) {
	p.now = p.now.Add(d)
	for _, d := range p.Decide(p.now) {
		out = append(out, fmt.Sprintf("%s %s %s", d.Action, d.Target, d.Endpoint))
	}
	return out
}

func testModel(name string, mb int64) tamarackknot.Target {
	return tamarackknot.Target{Name: name, MemoryMB: mb, MaxReplicas: 2}
}

// TestPolicyStoreOrder guards against starting loads beyond the limits of the
// store or in an order other than by priority, then by deadline.
func TestPolicyStoreOrder(t *testing.T) {
	p := newPolicyTest(4, 80_000, testModel("a", 10_000), testModel("b", 10_000), testModel("c", 10_000), testModel("d", 10_000))
	p.LoadEnded(tamarackknot.TierRemote, 10_000, 13*time.Second) // the assumed time
	p.setDemand("a", 5, time.Hour)
	p.setDemand("b", 5, time.Minute)
	p.setDemand("c", 8, time.Hour)
	p.setDemand("d", 5, 2*time.Hour)
	first := p.step(0)
	require.Len(t, first, 1)
	require.Contains(t, first[0], "load c")
	second := p.step(250 * time.Millisecond)
	require.Len(t, second, 1)
	require.Contains(t, second[0], "load b")
	require.Empty(t, p.step(time.Second), "two loads at once")
	require.True(t, p.Forecast("d").ReadyAt.After(p.Forecast("a").ReadyAt))
	// A cached copy is loaded without the store.
	p.SetReport("e3", tamarackknot.Report{Cached: []tamarackknot.CachedTarget{{Name: "d", Version: "1", Tier: tamarackknot.TierDisk}}})
	p.dropPlan(p.targets["d"])
	require.Equal(t, []string{"load d e3"}, p.step(0))
}

// TestPolicyEviction guards against thrashing: a replica with queued requests
// is not evicted, an idle one is, and the new target is loaded only once the
// memory is free.
func TestPolicyEviction(t *testing.T) {
	p := newPolicyTest(1, 16_000, testModel("a", 10_000), testModel("b", 10_000))
	p.load("a", "e0")
	p.setDemand("a", 5, time.Minute)
	p.setDemand("b", 5, time.Minute)
	require.Equal(t, []string{"reject b "}, p.step(time.Second))
	require.True(t, p.Forecast("b").Refused)
	p.SetDemand(tamarackknot.Demand{Target: "a"}, p.now)
	require.Equal(t, []string{"evict a e0"}, p.step(time.Second))
	require.Empty(t, p.step(time.Second))
	p.SetReplicas("a", 2, nil, p.now)
	require.Equal(t, []string{"load b e0"}, p.step(time.Second))
}

// TestPolicyAdapter guards against placing an adapter on an endpoint without
// its base model and against unloading the base model before its adapters.
func TestPolicyAdapter(t *testing.T) {
	adapter := testModel("x", 500)
	adapter.Base = "a"
	p := newPolicyTest(3, 40_000, testModel("a", 10_000), adapter)
	p.setDemand("x", 5, time.Minute)
	out := p.step(0)
	require.Len(t, out, 1)
	require.Contains(t, out[0], "load a")
	e := strings.TrimPrefix(out[0], "load a ")
	p.load("a", e)
	require.Equal(t, []string{"load x " + e}, p.step(time.Second))
	p.load("x", e)
	p.SetEndpoint(e, p.endpoints[e].spec, true, true)
	out = p.step(time.Second)
	require.Contains(t, out, "unload x "+e)
	require.NotContains(t, out, "unload a "+e)
	p.SetReplicas("x", 3, nil, p.now)
	require.Contains(t, p.step(time.Second), "unload a "+e)
}

// TestPolicyUnmeasured guards against rejecting requests because of an assumed
// load time, or before a new endpoint has had time to report.
func TestPolicyUnmeasured(t *testing.T) {
	p := newPolicyTest(0, 80_000, testModel("a", 40_000))
	p.ExpectEndpoints(p.now.Add(3 * time.Second))
	p.setDemand("a", 5, 10*time.Second)
	require.Empty(t, p.step(time.Second))
	p.SetEndpoint("e0", tamarackknot.EndpointSpec{MemoryMB: 80_000, Slots: 4}, true, false)
	require.Equal(t, []string{"load a e0"}, p.step(time.Second))
	require.Zero(t, p.Forecast("a"), "43 s are assumed, which is later than the deadline")
	p.LoadEnded(tamarackknot.TierRemote, 40_000, 86*time.Second)
	require.Equal(t, []string{"reject a "}, p.step(0))
	require.InDelta(t, 86, p.ExpectLoad("a", "e0").Seconds(), 1, "the first measurement replaces the assumption")
}

// TestPolicySlowStore guards against forecasts that ignore a slowdown of the
// weight store while loads are in progress.
func TestPolicySlowStore(t *testing.T) {
	p := newPolicyTest(2, 80_000, testModel("a", 10_000))
	p.setDemand("a", 5, time.Hour)
	require.Len(t, p.step(0), 1)
	r := p.targets["a"].replicas[0].Replica
	r.Fence, r.Since = 1, p.now
	p.SetReplicas("a", 1, []tamarackknot.Replica{r}, p.now)
	p.step(time.Second)
	require.False(t, p.Slow())
	p.step(time.Minute)
	require.True(t, p.Slow())
	require.True(t, p.Forecast("a").ReadyAt.After(p.now.Add(20*time.Second)))
}
