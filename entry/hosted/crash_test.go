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

// crashLoad is what callers send to a cluster in which some requests crash endpoints.
type crashLoad struct {
	plain   bool
	crashes func(r servingRequest) bool
	// sound and crashing return the n-th request that callers send at a host.
	sound, crashing func(host string, n int) servingRequest
	counted         int // the crash from which on late arrivals count
	crashEvents     int // the events of an answer before the crash
}

// crashingParts is a load in which one part of prompts crashes endpoints, and no two such
// requests are alike.
func crashingParts() crashLoad {
	return crashLoad{
		crashes: func(r servingRequest) bool { return slices.Contains(r.parts, crashingPart) },
		sound:   soundPrompt,
		crashing: func(_ string, n int) servingRequest {
			return servingRequest{path: "/x", body: "x", parts: []string{commonPart, crashingPart, fmt.Sprintf("with%d", n)}}
		},
		counted: countedCrashes,
	}
}

func soundPrompt(_ string, n int) servingRequest { return promptOf("x", n) }

// promptOf returns a request for a stream with the body, on one of some subjects.
func promptOf(body string, n int) servingRequest {
	return servingRequest{path: "/x", body: body, parts: []string{commonPart, fmt.Sprintf("subject%d", n%subjects)}}
}

// crashOutcome is what a trial with crashing requests ends with.
type crashOutcome struct {
	// late is the number of requests that reached endpoints later than allowed, of the
	// crashing body with most of them.
	late, crashes int
	// before and after are the shares of the sound requests that began.
	before, after float64
}

// crashTrial runs a cluster that gets crashing requests beside sound ones, and faults
// meanwhile.
func crashTrial(t *testing.T, load crashLoad, output io.Writer, faults func(c *cluster)) (out crashOutcome) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		began := time.Now()
		calm := began.Add(warmUp - calmTime)
		since := began.Add(warmUp)
		s, cancel := startServing(&serving{plain: load.plain, crashes: load.crashes, crashEvents: load.crashEvents}, output,
			func(ctx context.Context, s *serving, h *clusterHost) {
				wait.For(ctx, time.Until(calm))
				for n := 0; wait.For(ctx, 100*time.Millisecond); n++ {
					s.c.wg.Go(func() { s.send(ctx, h.name, "sound", load.sound(h.name, n)) })
				}
			},
			func(ctx context.Context, s *serving, h *clusterHost) {
				wait.For(ctx, time.Until(since))
				for n := 0; wait.For(ctx, 400*time.Millisecond); n++ {
					s.c.wg.Go(func() { s.send(ctx, h.name, "crashing", load.crashing(h.name, n)) })
				}
			})
		wait.For(s.c.ctx, time.Until(since))
		faults(s.c)
		wait.For(s.c.ctx, time.Until(since.Add(crashingTime)))
		ended := time.Now()
		s.stop(cancel)
		out.crashes = len(s.ends)
		last := since
		for body, at := range s.countedFrom(load.counted) {
			out.late = max(out.late, s.late(body, at.Add(adaptTime)))
			if at.After(last) {
				last = at
			}
		}
		out.before, _ = s.share("sound", calm, since, nil)
		out.after, _ = s.share("sound", last.Add(2*adaptTime), ended, nil)
	})
	return out
}

// countedFrom returns, by the body of the requests, when they crashed an endpoint for the
// n-th time, or for the last time if there were fewer crashes.
func (s *serving) countedFrom(n int) map[string]time.Time {
	crashes, at := make(map[string]int), make(map[string]time.Time)
	for _, end := range s.ends {
		if crashes[end.body]++; crashes[end.body] <= n {
			at[end.body] = end.at
		}
	}
	return at
}

// late returns the number of requests with a body that hosts in touch sent to endpoints
// after a time.
func (s *serving) late(body string, after time.Time) int {
	n := 0
	for _, a := range s.arrivals {
		if a.inTouch && a.body == body && a.at.After(after) {
			n++
		}
	}
	return n
}

// verify checks that few crashing requests reached endpoints and that sound ones went on.
func (out crashOutcome) verify(t require.TestingT) {
	require.LessOrEqual(t, out.late, maxLateArrivals)
	require.GreaterOrEqual(t, out.after, minBegunRatio*out.before)
}

// playCrashCases plays the load with each of the faults of hosts.
func playCrashCases(t *testing.T, load crashLoad) {
	t.Helper()
	for name, faults := range hostFaultCases() {
		t.Run(name, func(t *testing.T) {
			out := crashTrial(t, load, io.Discard, faults)
			t.Logf("late %d, crashes %d, sound requests begun %.3f before, %.3f after", out.late, out.crashes, out.before, out.after)
			out.verify(t)
		})
	}
}

// playCrashSeries plays the load with random series of faults. rapid prints the series of a
// failure.
func playCrashSeries(t *testing.T, load crashLoad) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawHostFaults(rt)
		out := crashTrial(t, load, io.Discard, func(c *cluster) { c.play(faults) })
		rt.Logf("%+v", out)
		out.verify(rt)
	})
}

// TestPartThatCrashesEndpoints guards against requests with one part in their prompts
// that crash one endpoint after the other, and against rejecting sound requests that
// share their other parts, also while hosts are killed, cut off, suspended and replaced.
func TestPartThatCrashesEndpoints(t *testing.T) { playCrashCases(t, crashingParts()) }

// hostFaultCases returns faults of hosts under which requests are played.
func hostFaultCases() map[string]func(c *cluster) {
	return map[string]func(c *cluster){
		"no fault":                  func(*cluster) {},
		"the planner is killed":     func(c *cluster) { c.restart(1, (*clusterHost).stop, c.holder().name) },
		"all hosts are killed":      func(c *cluster) { c.restart(1, (*clusterHost).stop, c.hostNames()...) },
		"hosts are shut down":       func(c *cluster) { c.restart(2, (*clusterHost).shutDown, "h1", "h2") },
		"two hosts are replaced":    func(c *cluster) { c.replaceHosts(1, 2) },
		"hosts are added":           func(c *cluster) { c.addHosts(3) },
		"a host is cut off":         func(c *cluster) { c.begin(fault{kind: "cutPeers", target: 1, lastsMs: 8000}) },
		"the planner is suspended":  func(c *cluster) { c.begin(fault{kind: "pause", target: c.holder().number(), lastsMs: 6000}) },
		"the store does not answer": func(c *cluster) { c.begin(fault{kind: "outage", lastsMs: 10000}) },
	}
}

// TestPartThatCrashesEndpointsFaults guards against the same in random series of faults.
func TestPartThatCrashesEndpointsFaults(t *testing.T) { playCrashSeries(t, crashingParts()) }
