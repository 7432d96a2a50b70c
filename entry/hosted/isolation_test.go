package hosted

import (
	"context"
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
	// From adaptTime after they were cut off, hosts that reach no endpoint serve the first
	// attempts of callers at least minServedRatio as often as the others, or fail at most
	// isolationSlack and maxFailedShare of all first attempts.
	minServedRatio = 2.0 / 3
	isolationSlack = 10
	maxFailedShare = 1.0 / 50
	isolationTime  = 12 * time.Second
)

// isolation is a way in which hosts are cut off from all endpoints.
type isolation string

const (
	isolationHangs   isolation = "hang"
	isolationResets  isolation = "reset"
	isolationRefuses isolation = "refuse" // connections go on, new ones are refused
)

// isolate cuts hosts off from all endpoints, or ends that.
func (s *serving) isolate(how isolation, on bool, hosts ...string) {
	s.mu.Lock()
	s.isolated = nil
	if on {
		s.isolated = hosts
	}
	s.mu.Unlock()
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	for _, host := range hosts {
		for _, r := range s.c.replicas {
			if how == isolationHangs {
				s.c.network.Cut(host, netName(r), on)
				s.c.network.Cut(netName(r), host, on)
				continue
			}
			s.c.network.Refuse(host, netName(r), on)
			if how == isolationResets && on {
				s.c.network.Reset(host, netName(r))
			}
		}
	}
}

// isolationTrial cuts hosts off from all endpoints while all hosts get requests. It
// returns the shares of the requests that began to be answered at these hosts and at the
// others, the number that failed at these hosts beyond what is allowed, and the share
// that began at these hosts afterwards.
func isolationTrial(t *testing.T, how isolation, hosts []string, faults func(c *cluster)) (cut, others, excess, after float64) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		began := time.Now().Add(warmUp)
		s, cancel := startServing(&serving{}, io.Discard, func(ctx context.Context, s *serving, h *clusterHost) {
			wait.For(ctx, time.Until(began.Add(-2*time.Second)))
			for n := 0; wait.For(ctx, 100*time.Millisecond); n++ {
				s.c.wg.Go(func() { s.send(ctx, h.name, "sound", soundPrompt(h.name, n)) })
			}
		})
		wait.For(s.c.ctx, time.Until(began))
		s.isolate(how, true, hosts...)
		faults(s.c)
		wait.For(s.c.ctx, time.Until(began.Add(isolationTime)))
		s.isolate(how, false, hosts...)
		wait.For(s.c.ctx, 2*adaptTime)
		ended := time.Now()
		s.stop(cancel)
		isCut := func(host string) bool { return slices.Contains(hosts, host) }
		from, to := began.Add(adaptTime), began.Add(isolationTime)
		var nCut, nOthers int
		cut, nCut = s.share("sound", from, to, isCut)
		others, nOthers = s.share("sound", from, to, func(host string) bool { return !isCut(host) })
		excess = float64(nCut)*(1-cut) - isolationSlack - maxFailedShare*float64(nCut+nOthers)
		after, _ = s.share("sound", to.Add(adaptTime), ended, isCut)
	})
	return cut, others, excess, after
}

// requireServed checks what isolationTrial returned.
func requireServed(t require.TestingT, cut, others, excess, after float64) {
	require.False(t, cut < minServedRatio*others && excess > 0, "begun at isolated hosts %.3f, at the others %.3f", cut, others)
	require.GreaterOrEqual(t, after, 0.9, "begun at the hosts once they reach endpoints again")
}

// TestHostsThatReachNoEndpoint guards against hosts that fail the requests of callers
// while they reach no endpoint and other hosts do.
func TestHostsThatReachNoEndpoint(t *testing.T) {
	noFault := func(*cluster) {}
	for name, tt := range map[string]struct {
		how    isolation
		hosts  []string
		faults func(c *cluster)
	}{
		"one host, connections hang":       {isolationHangs, []string{"h1"}, noFault},
		"one host, connections are reset":  {isolationResets, []string{"h1"}, noFault},
		"one host, only new ones fail":     {isolationRefuses, []string{"h1"}, noFault},
		"three of four hosts hang":         {isolationHangs, []string{"h0", "h1", "h2"}, noFault},
		"three of four hosts are reset":    {isolationResets, []string{"h1", "h2", "h3"}, noFault},
		"another host is killed meanwhile": {isolationHangs, []string{"h0", "h1"}, func(c *cluster) { c.restart(1, (*clusterHost).stop, "h2") }},
		"another host is shut down":        {isolationResets, []string{"h0", "h1"}, func(c *cluster) { c.restart(1, (*clusterHost).shutDown, "h3") }},
		"the planner is killed meanwhile":  {isolationHangs, []string{"h1"}, func(c *cluster) { c.restart(1, (*clusterHost).stop, c.holder().name) }},
		"another host is suspended":        {isolationResets, []string{"h1"}, func(c *cluster) { c.begin(fault{kind: "pause", target: 2, lastsMs: 4000}) }},
		"the store does not answer":        {isolationHangs, []string{"h0", "h1"}, func(c *cluster) { c.begin(fault{kind: "outage", lastsMs: 8000}) }},
		"an isolated host is killed twice, another cut off and killed": {isolationHangs, []string{"h1"}, func(c *cluster) {
			c.play([]fault{{"kill", 1, 1975, 14, 0}, {"cutPeers", 0, 2399, 4870, 0}, {"kill", 1, 1, 430, 0}, {"kill", 0, 0, 1, 0}})
		}},
		"an isolated host is also restarted": {isolationRefuses, []string{"h1", "h2"}, func(c *cluster) { c.restart(1, (*clusterHost).stop, "h1") }},
	} {
		t.Run(name, func(t *testing.T) {
			cut, others, excess, after := isolationTrial(t, tt.how, tt.hosts, tt.faults)
			t.Logf("begun at isolated hosts %.3f, others %.3f, afterwards %.3f", cut, others, after)
			requireServed(t, cut, others, excess, after)
		})
	}
}

// TestHostsThatReachNoEndpointFaults guards against the same in random series of faults.
func TestHostsThatReachNoEndpointFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		how := rapid.SampledFrom([]isolation{isolationHangs, isolationResets, isolationRefuses}).Draw(rt, "how")
		hosts := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"h0", "h1", "h2", "h3"}), 1, 3, rapid.ID).Draw(rt, "hosts")
		faults := drawHostFaults(rt)
		cut, others, excess, after := isolationTrial(t, how, hosts, func(c *cluster) { c.play(faults) })
		requireServed(rt, cut, others, excess, after)
	})
}
