package replay

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runSeeds merges the results of several seeds, because the 99th percentile of
// one simulated day depends on only a few slow loads.
func runSeeds(t *testing.T, cfg simConfig, placer func(*simulation) placer) *result {
	t.Helper()
	var total result
	for _, seed := range []uint64{0, 10, 20} {
		c := cfg
		c.seed += seed
		sim := newSimulation(c, nil)
		sim.placer = placer(sim)
		total.merge(sim.run())
		require.Empty(t, sim.violations)
	}
	return &total
}

func runPolicy(t *testing.T, cfg simConfig, weight float64) *result {
	t.Helper()
	return runSeeds(t, cfg, func(sim *simulation) placer { return newPolicyPlacer(sim, weight) })
}

func runBaseline(t *testing.T, cfg simConfig, b baseline) *result {
	t.Helper()
	return runSeeds(t, cfg, func(sim *simulation) placer {
		b := b
		b.rng = rand.New(rand.NewPCG(sim.cfg.seed, 2))
		return &b
	})
}

// TestMeasure prints the results of the policy and the baselines for the same
// arrivals. It takes a minute and runs only with PLACEMENT_MEASURE=all, or
// without the baselines with PLACEMENT_MEASURE=policy.
func TestMeasure(t *testing.T) {
	if os.Getenv("PLACEMENT_MEASURE") == "" {
		t.Skip("set PLACEMENT_MEASURE=all or policy to measure")
	}
	scenarios := []struct {
		name   string
		change func(*simConfig)
	}{
		{"full speed", func(*simConfig) {}},
		{"store slow", func(c *simConfig) { c.slowFrom, c.slowTo, c.slowFactor = 12, 28, 5 }},
		{"domain lost", func(c *simConfig) { c.lostFrom, c.lostTo = 12, 16 }},
	}
	only := os.Getenv("PLACEMENT_MEASURE")
	for name, cfg := range map[string]simConfig{"periyar": periyar(), "sotfelagid": sotfelagid()} {
		for _, s := range scenarios {
			c := cfg
			s.change(&c)
			t.Run(name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				out := fmt.Sprintf("%s, %s, seeds %d, %d, %d\n", name, s.name, c.seed, c.seed+10, c.seed+20)
				for _, weight := range []float64{0, 0.25, 0.5, 0.75, 1} {
					out += fmt.Sprintf("policy weight %.2f       %s\n", weight, runPolicy(t, c, weight))
				}
				if only == "policy" {
					fmt.Println(out)
					return
				}
				for _, keep := range []time.Duration{time.Minute, 5 * time.Minute, 15 * time.Minute, time.Hour, 4 * time.Hour, 48 * time.Hour} {
					out += fmt.Sprintf("lru keep %-15v %s\n", keep, runBaseline(t, c, baseline{keepAlive: keep}))
				}
				for _, keep := range []time.Duration{5 * time.Minute, time.Hour, 48 * time.Hour} {
					out += fmt.Sprintf("cached lru keep %-8v %s\n", keep, runBaseline(t, c, baseline{keepAlive: keep, cacheAware: true}))
				}
				for _, keep := range []time.Duration{5 * time.Minute, time.Hour, 48 * time.Hour} {
					out += fmt.Sprintf("random keep %-12v %s\n", keep, runBaseline(t, c, baseline{keepAlive: keep, random: true}))
				}
				out += fmt.Sprintf("on demand                %s\n", runBaseline(t, c, baseline{}))
				fmt.Println(out)
			})
		}
	}
}
