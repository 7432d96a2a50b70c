package hosted

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot/internal/wait"
)

// The longest times without a host that may order, for engines that ignore fencing
// tokens. The expiry of a lost holder's lease is 1.7 s after its last message.
const (
	killedPause   = 1700*time.Millisecond + orderGap + 300*time.Millisecond
	handoverPause = orderGap + 300*time.Millisecond
)

// TestPlacementGoesOn guards against a pause in which no host may order although
// the holder of the lease lives, and against a longer one than needed after its
// end. Engines ignore fencing tokens, so no two hosts may order within the gap.
func TestPlacementGoesOn(t *testing.T) {
	cases := map[string]struct {
		fault  func(c *cluster, holder *clusterHost)
		atMost time.Duration
	}{
		"the store answers nobody for 4 s": {
			fault: func(c *cluster, _ *clusterHost) {
				c.store.SetSilent(true)
				wait.For(c.ctx, 4*time.Second)
				c.store.SetSilent(false)
			},
		},
		"the store refuses the holder for 15 s": {
			fault: func(c *cluster, holder *clusterHost) {
				c.store.SetDown(holder.name, true)
				wait.For(c.ctx, 15*time.Second)
				c.store.SetDown(holder.name, false)
			},
		},
		"the store refuses all but one host for 15 s": {
			fault: func(c *cluster, holder *clusterHost) {
				refused := []*clusterHost{holder}
				for _, h := range c.hosts {
					if h != holder && len(refused) < c.size.hosts-1 {
						refused = append(refused, h)
					}
				}
				for _, h := range refused {
					c.store.SetDown(h.name, true)
				}
				wait.For(c.ctx, 15*time.Second)
				for _, h := range refused {
					c.store.SetDown(h.name, false)
				}
			},
		},
		"the store is restored after 1 s": {
			fault: func(c *cluster, _ *clusterHost) {
				c.store.SetSilent(true)
				wait.For(c.ctx, time.Second)
				c.store.Restore(5 * time.Second)
				c.store.SetSilent(false)
			},
		},
		"the store is restored after 4 s": {
			fault: func(c *cluster, _ *clusterHost) {
				c.store.SetSilent(true)
				wait.For(c.ctx, 4*time.Second)
				c.store.Restore(9 * time.Second)
				c.store.SetSilent(false)
			},
		},
		"the holder is killed":     {fault: func(_ *cluster, holder *clusterHost) { holder.stop() }, atMost: killedPause},
		"the holder is shut down":  {fault: func(_ *cluster, holder *clusterHost) { holder.shutDown() }, atMost: handoverPause},
		"the holder's links break": {fault: func(c *cluster, holder *clusterHost) { c.peers.Isolate(holder.name, true) }},
	}
	for name, tc := range cases {
		for _, warmUp := range []time.Duration{20 * time.Second, 20300 * time.Millisecond, 20600 * time.Millisecond} {
			t.Run(name+" after "+warmUp.String(), func(t *testing.T) {
				requireOrders(t, tc.fault, warmUp, tc.atMost)
			})
		}
	}
}

// requireOrders plays a fault, from warmUp after the start of the hosts on, and checks for how
// long no host may order. Renewals and reads of the holder are at another point for each
// warmUp.
func requireOrders(t *testing.T, fault func(c *cluster, holder *clusterHost), warmUp, atMost time.Duration) {
	t.Helper()
	var longest time.Duration
	var violations []string
	synctest.Test(t, func(*testing.T) {
		c, cancel := startCluster(smallSize(), false, io.Discard)
		wait.For(c.ctx, warmUp)
		holder := c.holder()
		c.wg.Go(func() { fault(c, holder) })
		pausedSince := time.Now()
		for ended := time.Now().Add(25 * time.Second); time.Now().Before(ended); time.Sleep(10 * time.Millisecond) {
			if c.mayOrder() {
				pausedSince = time.Now()
			}
			longest = max(longest, time.Since(pausedSince))
		}
		cancel()
		c.wg.Wait()
		violations = c.violations
	})
	require.Empty(t, violations)
	require.LessOrEqual(t, longest, atMost+20*time.Millisecond)
}

// holder returns the host that holds the lease.
func (c *cluster) holder() *clusterHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.lease.Status().Held {
			return h
		}
	}
	return nil
}

// mayOrder reports whether any running host may order.
func (c *cluster) mayOrder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if _, ok := h.lease.MayOrder(); ok && !h.ended() {
			return true
		}
	}
	return false
}
