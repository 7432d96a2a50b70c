package hosted

import (
	"io"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot/internal/wait"
)

// TestStrongHostPlansFirst guards against a weak host that takes the lease when all hosts
// start together, for the first time or again: on its link the messages to the others hold
// up the renewals.
func TestStrongHostPlansFirst(t *testing.T) {
	size := smallSize()
	size.hosts, size.strongHosts = 60, 2
	synctest.Test(t, func(*testing.T) {
		c, cancel := startCluster(size, true, io.Discard)
		c.quiet = true
		planners := func(lasts time.Duration) []string {
			seen := make(map[string]bool)
			for until := time.Now().Add(lasts); time.Now().Before(until); wait.For(c.ctx, 50*time.Millisecond) {
				if h := c.holder(); h != nil && !h.ended() {
					seen[h.name] = true
				}
			}
			return slices.Sorted(maps.Keys(seen))
		}
		first := planners(10 * time.Second)
		for _, name := range c.hostNames() {
			pause := time.Second
			if slices.Contains(first, name) {
				pause = time.Minute
			}
			c.wg.Go(func() {
				h := c.host(name)
				c.replace(h, h.stop, pause)
			})
		}
		wait.For(c.ctx, 500*time.Millisecond)
		again := planners(10 * time.Second)
		cancel()
		c.wg.Wait()
		c.peers.Wait()
		require.Len(t, first, 1)
		require.Len(t, again, 1, "restart without the planner")
		for _, name := range slices.Concat(first, again) {
			require.Greater(t, size.coresOf(name), 1.0, "%s planned", name)
		}
	})
}
