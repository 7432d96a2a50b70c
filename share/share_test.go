package share

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestCount guards against a host that uses a share although other hosts may not count
// it, or divides by fewer hosts than use theirs.
func TestCount(t *testing.T) {
	three, four := []string{"a", "b", "c"}, []string{"a", "b", "c", "d"}
	const window = 10 * time.Second
	wait := window + probation
	type step struct {
		names  []string // list that is received every 300 ms; nil if none is
		age    time.Duration
		lasts  time.Duration
		expect int
	}
	cases := map[string][]step{
		"a process that has just started": {{three, 0, wait - time.Second, 0}, {three, 0, 2 * time.Second, 3}},
		"no list":                         {{nil, 0, wait, 0}},
		"a host is added":                 {{three, 0, wait + time.Second, 3}, {four, 0, 300 * time.Millisecond, 4}},
		"a host has left":                 {{four, 0, wait + time.Second, 4}, {three, 0, window + memory - time.Second, 4}, {three, 0, 2 * time.Second, 3}},
		"the planner is lost":             {{three, 0, wait + time.Second, 3}, {nil, 0, 2 * time.Second, 0}, {three, 0, time.Second, 3}},
		"a long silence":                  {{three, 0, wait + time.Second, 3}, {nil, 0, maxSilence + time.Second, 0}, {three, 0, wait - time.Second, 0}, {three, 0, 2 * time.Second, 3}},
		"the list is old":                 {{three, 0, wait + time.Second, 3}, {three, maxListAge + 1, 2 * time.Second, 0}, {three, 0, time.Second, 3}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			h := New(Config{Window: window, Clock: func() time.Duration { return now }, Logger: log.New(io.Discard)})
			for i, s := range steps {
				for end := now + s.lasts; now < end; now += 300 * time.Millisecond {
					if s.names != nil {
						h.Observe(s.names, s.age)
					}
				}
				require.Equal(t, s.expect, h.Count(), "step %d", i)
			}
		})
	}
}

// TestPlaces guards against hosts that together take more places of an endpoint than it has,
// or leave some to nobody, and against a division that changes with more than its hosts.
func TestPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places, count := rapid.IntRange(1, 20).Draw(t, "places"), rapid.IntRange(1, 100).Draw(t, "hosts")
		names := make([]string, 0, count)
		for i := range count {
			names = append(names, fmt.Sprintf("h%03d", i))
		}
		divide := func(names []string) map[string]int {
			out, sum := make(map[string]int), 0
			for _, name := range names {
				h := New(Config{Self: name, Clock: func() time.Duration { return time.Hour }, Logger: log.New(io.Discard)})
				own, others := h.Places("e", places)
				require.Zero(t, own+len(others), "nothing is known before the first list")
				h.Observe(names, 0)
				own, others = h.Places("e", places)
				require.Equal(t, places, own+len(others))
				if sum += own; own > 0 {
					out[name] = own
				}
			}
			require.Equal(t, places, sum)
			require.LessOrEqual(t, len(out), placeSharers)
			return out
		}
		before := divide(names)
		added := append([]string{"h"}, names...)
		after := divide(added)
		kept := 0
		for name := range before {
			if after[name] > 0 {
				kept++
			}
		}
		require.GreaterOrEqual(t, kept, len(before)-1, "a host that is added takes the part of at most one")
	})
}
