package hosted

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// configTime is how long after its acceptance a version must be in force on all hosts
	// in touch, and contactTime how long a host must be undisturbed to be in touch.
	configTime  = 3 * time.Second
	contactTime = 4 * time.Second
	// manyRoutes is the number of routes that a large change adds.
	manyRoutes = 1400
)

// configTrial records which hosts in touch have an older configuration in force than
// allowed.
type configTrial struct {
	c     *cluster
	stale map[string]time.Duration // since its acceptance, by host and version
	// latest is the longest time from the acceptance of a version until a host had it.
	latest time.Duration
}

// loop checks one process until ctx ends.
func (tr *configTrial) loop(ctx context.Context, h *clusterHost) {
	for wait.For(ctx, 50*time.Millisecond) {
		now := time.Now()
		tr.c.mu.Lock()
		due, newest := acceptedConfig{}, acceptedConfig{}
		for _, a := range tr.c.accepted {
			if newest = a; now.Sub(a.at) > configTime {
				due = a
			}
		}
		unstable := tr.c.storeFaultUntil.After(now.Add(-contactTime))
		tr.c.mu.Unlock()
		inForce := h.catalogVersion()
		if inForce >= newest.version || unstable || h.disturbedSince(now.Add(-contactTime)) {
			continue
		}
		tr.c.mu.Lock()
		tr.latest = max(tr.latest, now.Sub(newest.at))
		tr.c.mu.Unlock()
		if inForce >= due.version {
			continue
		}
		key := fmt.Sprintf("%s has version %d in force instead of %d", h.name, inForce, due.version)
		tr.c.mu.Lock()
		if _, known := tr.stale[key]; !known {
			tr.stale[key] = now.Sub(due.at)
		}
		tr.c.mu.Unlock()
	}
}

// playConfigs plays changes of the configuration with faults meanwhile.
func playConfigs(t *testing.T, size clusterSize, output io.Writer, faults func(c *cluster)) *configTrial {
	t.Helper()
	tr := &configTrial{stale: make(map[string]time.Duration)}
	synctest.Test(t, func(*testing.T) {
		built := make(chan struct{})
		c, cancel := startCluster(size, false, output, func(ctx context.Context, h *clusterHost) {
			<-built
			tr.loop(ctx, h)
		})
		tr.c = c
		c.quiet = true
		close(built)
		wait.For(c.ctx, 10*time.Second)
		c.wg.Go(func() { faults(c) })
		// Each large change is followed by a small one, as operators write them.
		for range 3 {
			c.changeRoutes(manyRoutes)
			wait.For(c.ctx, 2900*time.Millisecond)
			c.changeRoutes(1)
			wait.For(c.ctx, 5*time.Second)
		}
		wait.For(c.ctx, contactTime+configTime)
		cancel()
		c.wg.Wait()
		c.peers.Wait()
	})
	return tr
}

// beginAt begins a fault at the first n hosts.
func (c *cluster) beginAt(n int, f fault) {
	for f.target = range n {
		c.begin(f)
	}
}

// changeRoutes writes a configuration with more routes.
func (c *cluster) changeRoutes(more int) {
	c.mu.Lock()
	c.routes += more
	c.mu.Unlock()
	c.configure()
}

// TestLargeConfigurationOnSlowLinks guards against hosts that keep an older configuration
// because its transfers between hosts fill the links that they need.
func TestLargeConfigurationOnSlowLinks(t *testing.T) {
	size := grownSize()
	size.engines = 3
	weak := size
	weak.strongHosts = 0
	type trial struct {
		size   clusterSize
		faults func(c *cluster)
	}
	cases := map[string]trial{
		"no fault":                  {size, func(*cluster) {}},
		"all links are slow":        {weak, func(*cluster) {}},
		"the planner is killed":     {size, func(c *cluster) { c.restart(5, (*clusterHost).stop, c.holder().name) }},
		"the planner is shut down":  {weak, func(c *cluster) { c.restart(3, (*clusterHost).shutDown, c.holder().name) }},
		"half of the hosts killed":  {size, func(c *cluster) { c.restart(4, (*clusterHost).stop, c.hostNames()[:size.hosts/2]...) }},
		"hosts are replaced":        {size, func(c *cluster) { c.replaceHosts(3, 5) }},
		"hosts are added":           {size, func(c *cluster) { c.addHosts(20) }},
		"hosts are cut off":         {size, func(c *cluster) { c.beginAt(30, fault{kind: "cutPeers", lastsMs: 7000}) }},
		"hosts are suspended":       {size, func(c *cluster) { c.beginAt(30, fault{kind: "pause", lastsMs: 4000}) }},
		"the store refuses hosts":   {weak, func(c *cluster) { c.beginAt(60, fault{kind: "cutStore", lastsMs: 12000}) }},
		"the store does not answer": {size, func(c *cluster) { c.begin(fault{kind: "outage", lastsMs: 4000}) }},
	}
	for name, tt := range selectCases(cases, "all links are slow", "the planner is killed", "hosts are added", "the store does not answer") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr := playConfigs(t, tt.size, io.Discard, tt.faults)
			t.Logf("in force on all hosts in touch %v after its acceptance at the latest", tr.latest)
			require.Empty(t, tr.stale)
		})
	}
}

// TestLargeConfigurationFaults guards against the same in random series of faults.
func TestLargeConfigurationFaults(t *testing.T) {
	t.Parallel()
	size := smallSize()
	size.hosts, size.routes, size.linkBytes = 12, grownSize().routes, grownSize().linkBytes
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawHostFaults(rt)
		tr := playConfigs(t, size, io.Discard, func(c *cluster) { c.play(faults) })
		rt.Logf("%v", tr.stale)
		require.Empty(rt, tr.stale)
	})
}
