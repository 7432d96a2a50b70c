package hosted

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	crashingPart = "bad"
	commonPart   = "common"
	subjects     = 20
	// After an endpoint has crashed countedCrashes times under a part, at most
	// maxLateArrivals requests with it reach endpoints from adaptTime on.
	countedCrashes  = 5
	maxLateArrivals = 3
	// minBegunRatio is how often sound requests begin at the first attempt, from twice
	// adaptTime after that crash on, relative to the time before.
	minBegunRatio = 0.5
	crashingTime  = 25 * time.Second
	// calmTime is how long sound requests are sent before the first crashing one.
	calmTime = 8 * time.Second
)

// crashTrial runs a cluster that gets requests with a part that crashes endpoints beside
// sound ones, and faults meanwhile. It returns the requests with the part that reached
// endpoints later than allowed, the number of crashes, and the shares of the sound
// requests that began before and after.
func crashTrial(t *testing.T, output io.Writer, faults func(c *cluster)) (late, crashes int, before, after float64) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		began := time.Now()
		calm := began.Add(warmUp - calmTime)
		since := began.Add(warmUp)
		s, cancel := startServing(&serving{crashes: func(parts []string) bool { return slices.Contains(parts, crashingPart) }}, output,
			func(ctx context.Context, s *serving, h *clusterHost) {
				wait.For(ctx, time.Until(calm))
				for n := 0; wait.For(ctx, 100*time.Millisecond); n++ {
					s.c.wg.Go(func() { s.call(ctx, h.name, "sound", commonPart, fmt.Sprintf("subject%d", n%subjects)) })
				}
			},
			func(ctx context.Context, s *serving, h *clusterHost) {
				wait.For(ctx, time.Until(since))
				for n := 0; wait.For(ctx, 400*time.Millisecond); n++ {
					s.c.wg.Go(func() { s.call(ctx, h.name, "crashing", commonPart, crashingPart, fmt.Sprintf("with%d", n)) })
				}
			})
		wait.For(s.c.ctx, time.Until(since))
		faults(s.c)
		wait.For(s.c.ctx, time.Until(since.Add(crashingTime)))
		ended := time.Now()
		s.stop(cancel)
		crashes = len(s.ends)
		last := since
		if len(s.ends) > 0 {
			last = s.ends[min(len(s.ends), countedCrashes)-1]
		}
		for _, a := range s.arrivals {
			if a.inTouch && a.at.After(last.Add(adaptTime)) {
				late++
			}
		}
		before, _ = s.share("sound", calm, since, nil)
		after, _ = s.share("sound", last.Add(2*adaptTime), ended, nil)
	})
	return late, crashes, before, after
}

// TestPartThatCrashesEndpoints guards against requests with one part in their prompts
// that crash one endpoint after the other, and against rejecting sound requests that
// share their other parts, also while hosts are killed, cut off, suspended and replaced.
func TestPartThatCrashesEndpoints(t *testing.T) {
	all := []string{"h0", "h1", "h2", "h3"}
	cases := map[string]func(c *cluster){
		"no fault":                  func(*cluster) {},
		"the planner is killed":     func(c *cluster) { c.restart(1, (*clusterHost).stop, c.holder().name) },
		"all hosts are killed":      func(c *cluster) { c.restart(1, (*clusterHost).stop, all...) },
		"hosts are shut down":       func(c *cluster) { c.restart(2, (*clusterHost).shutDown, "h1", "h2") },
		"two hosts are replaced":    func(c *cluster) { c.replaceHosts(1, 2) },
		"hosts are added":           func(c *cluster) { c.addHosts(3) },
		"a host is cut off":         func(c *cluster) { c.begin(fault{kind: "cutPeers", target: 1, lastsMs: 8000}) },
		"the planner is suspended":  func(c *cluster) { c.begin(fault{kind: "pause", target: int(c.holder().name[1] - '0'), lastsMs: 6000}) },
		"the store does not answer": func(c *cluster) { c.begin(fault{kind: "outage", lastsMs: 10000}) },
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			late, crashes, before, after := crashTrial(t, io.Discard, faults)
			t.Logf("late %d, crashes %d, sound requests begun %.3f before, %.3f after", late, crashes, before, after)
			require.LessOrEqual(t, late, maxLateArrivals)
			require.GreaterOrEqual(t, after, minBegunRatio*before)
		})
	}
}

// TestPartThatCrashesEndpointsFaults guards against the same in random series of faults.
func TestPartThatCrashesEndpointsFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawHostFaults(rt)
		late, _, before, after := crashTrial(t, io.Discard, func(c *cluster) { c.play(faults) })
		if late > maxLateArrivals || after < minBegunRatio*before {
			t.Logf("faults=%v: late %d, begun %.3f before, %.3f after", faults, late, before, after)
		}
		require.LessOrEqual(rt, late, maxLateArrivals)
		require.GreaterOrEqual(rt, after, minBegunRatio*before)
	})
}
