package replay

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runSeeds merges the results of several seeds: the 99th percentile of one day
// depends on a handful of slow loads.
func runSeeds(t *testing.T, cfg worldConfig, placer func(*world) placer) *result {
	t.Helper()
	var total result
	for _, seed := range []uint64{0, 10, 20} {
		c := cfg
		c.seed += seed
		w := newWorld(c, nil)
		w.placer = placer(w)
		total.merge(w.run())
		require.Empty(t, w.problems)
	}
	return &total
}

func runPolicy(t *testing.T, cfg worldConfig, weight float64) *result {
	t.Helper()
	return runSeeds(t, cfg, func(w *world) placer { return newPolicyPlacer(w, weight) })
}

func runBaseline(t *testing.T, cfg worldConfig, b baseline) *result {
	t.Helper()
	return runSeeds(t, cfg, func(w *world) placer {
		b := b
		b.rng = rand.New(rand.NewPCG(w.cfg.seed, 2))
		return &b
	})
}

// TestMeasure prints the figures of the policy and the baselines on the same
// arrivals. It takes a minute and runs only with PLACEMENT_MEASURE=all, or without the
// baselines with PLACEMENT_MEASURE=policy.
func TestMeasure(t *testing.T) {
	if os.Getenv("PLACEMENT_MEASURE") == "" {
		t.Skip("set PLACEMENT_MEASURE=all or policy to measure")
	}
	scenarios := []struct {
		name   string
		change func(*worldConfig)
	}{
		{"full speed", func(*worldConfig) {}},
		{"store slow", func(c *worldConfig) { c.slowFrom, c.slowTo, c.slowBy = 12, 28, 5 }},
		{"domain lost", func(c *worldConfig) { c.lostFrom, c.lostTo = 12, 16 }},
	}
	only := os.Getenv("PLACEMENT_MEASURE")
	for name, cfg := range map[string]worldConfig{"periyar": periyar(), "sotfelagid": sotfelagid()} {
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
					out += fmt.Sprintf("lru keep %-15v %s\n", keep, runBaseline(t, c, baseline{keep: keep}))
				}
				for _, keep := range []time.Duration{5 * time.Minute, time.Hour, 48 * time.Hour} {
					out += fmt.Sprintf("cached lru keep %-8v %s\n", keep, runBaseline(t, c, baseline{keep: keep, cacheAware: true}))
				}
				for _, keep := range []time.Duration{5 * time.Minute, time.Hour, 48 * time.Hour} {
					out += fmt.Sprintf("random keep %-12v %s\n", keep, runBaseline(t, c, baseline{keep: keep, random: true}))
				}
				out += fmt.Sprintf("on demand                %s\n", runBaseline(t, c, baseline{}))
				fmt.Println(out)
			})
		}
	}
}
