package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackknot.example/tamarackknot"
)

// BenchmarkDecide measures a change of demand, the resulting decisions and the
// update with their results, for deployments of different sizes. Most endpoints
// are full of idle replicas, so loads need evictions.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ models, adapters, endpoints int }{{50, 60, 10}, {100, 90, 20}, {97, 3500, 690}, {97, 35_000, 6900}} {
		b.Run(fmt.Sprintf("models=%d/adapters=%d/endpoints=%d", size.models, size.adapters, size.endpoints), func(b *testing.B) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			rng := rand.New(rand.NewPCG(1, 1))
			p := NewPolicy(PolicyConfig{})
			p.SetDeployment(tamarackknot.DeploymentSpec{ColdStartWeight: 0.5, LoadsPerSecond: 1e6, LoadsAtOnce: 1000}, now)
			names := fillPolicy(p, rng, size.models, size.adapters, size.endpoints, now)
			decisions := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				name := names[rng.IntN(len(names))]
				p.Used(name, now, now, 1, now)
				p.SetDemand(tamarackknot.Demand{Target: name, Waiting: 3, Earliest: now.Add(30 * time.Second), Priority: 5}, now)
				for _, d := range p.Decide(now) {
					decisions++
					applyDecision(p, d, now)
				}
				p.SetDemand(tamarackknot.Demand{Target: name}, now)
			}
			b.ReportMetric(float64(decisions)/float64(b.N), "decisions/op")
		})
	}
}

func fillPolicy(p *Policy, rng *rand.Rand, models, adapters, endpoints int, now time.Time) []string {
	var names []string
	for i := range models {
		t := tamarackknot.Target{Name: fmt.Sprintf("m%03d", i), Version: "1", MemoryMB: 8000 + rng.Int64N(24_000), MaxReplicas: max(2, 3*endpoints/models)}
		names = append(names, t.Name)
		p.SetTarget(t)
	}
	for i := range adapters {
		t := tamarackknot.Target{Name: fmt.Sprintf("a%05d", i), Version: "1", MemoryMB: 200, MaxReplicas: 4, Base: names[rng.IntN(models)]}
		names = append(names, t.Name)
		p.SetTarget(t)
	}
	replicas := make(map[string][]tamarackknot.Replica)
	for i := range endpoints {
		name := fmt.Sprintf("e%04d", i)
		p.SetEndpoint(name, tamarackknot.EndpointSpec{FailureDomain: fmt.Sprintf("d%02d", i%14), MemoryMB: 80_000, Slots: 16}, true, false)
		report := tamarackknot.Report{Endpoint: name, Time: now}
		for range 20 {
			report.Cached = append(report.Cached, tamarackknot.CachedTarget{Name: names[rng.IntN(len(names))], Version: "1", Tier: tamarackknot.TierDisk})
		}
		p.SetReport(name, report)
		for m, used := rng.IntN(models), int64(0); ; m = (m + 1) % models {
			t := p.targets[names[m]]
			if used += t.MemoryMB; used > 80_000 {
				break
			}
			replicas[t.Name] = append(replicas[t.Name], tamarackknot.Replica{
				Target: t.Name, Endpoint: name, Version: "1", MemoryMB: t.MemoryMB, State: tamarackknot.ReplicaLoaded, Since: now.Add(-time.Hour),
			})
		}
	}
	for name, list := range replicas {
		p.SetReplicas(name, 1, list, now)
	}
	return names
}

// applyDecision updates the replicas as if the decision had been carried out at
// once.
func applyDecision(p *Policy, d Decision, now time.Time) {
	t := p.targets[d.Target]
	var list []tamarackknot.Replica
	for _, r := range t.replicas {
		spec := r.Replica
		if spec.Endpoint == d.Endpoint {
			if d.Action != ActionLoad {
				continue
			}
			spec.State, spec.Since = tamarackknot.ReplicaLoaded, now
		}
		list = append(list, spec)
	}
	if d.Action != ActionReject {
		for _, r := range t.replicas {
			r.assumedUntil = time.Time{}
		}
		p.SetReplicas(d.Target, t.basis+1, list, now)
	}
}
