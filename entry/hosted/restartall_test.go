package hosted

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot/fake"
	"tamarackknot.example/tamarackknot/internal/wait"
)

// restartOutcome is what the restart of all hosts at the same moment ends with.
type restartOutcome struct {
	// ready is when each host had a configuration and endpoints, after its start, in
	// ascending order.
	ready []time.Duration
	calls map[fake.Call]int // of the hosts at the store
}

// restartAll kills all hosts of a cluster, starts them again a second later, and observes
// them for some time.
func restartAll(t *testing.T, size clusterSize, lasts time.Duration) (out restartOutcome) {
	t.Helper()
	out.calls = storeCalls(t, size, lasts+time.Second, func(c *cluster) {
		for _, name := range c.hostNames() {
			h := c.host(name)
			c.wg.Go(h.stop)
		}
		wait.For(c.ctx, time.Second)
		began, waiting := time.Now(), c.hostNames()
		for _, name := range waiting {
			c.start(name, false)
		}
		for len(waiting) > 0 && time.Since(began) < lasts {
			waiting = slices.DeleteFunc(waiting, func(name string) bool {
				h := c.host(name)
				isReady := h.catalogVersion() > 0 && h.discovery.HasSynced()
				if isReady {
					out.ready = append(out.ready, time.Since(began))
				}
				return isReady
			})
			wait.For(c.ctx, 20*time.Millisecond)
		}
	})
	return out
}

// TestAllHostsRestart guards against hosts that start at the same moment and all list the
// store, whose bandwidth then delays each of them, the planner among them.
func TestAllHostsRestart(t *testing.T) {
	const (
		lasts = 10 * time.Second
		// readyTime is within how long nine in ten hosts must be able to serve.
		readyTime = 1500 * time.Millisecond
		// callsPerHost is the most calls of a host at the store.
		callsPerHost = 8
	)
	size := largeSize()
	out := restartAll(t, size, lasts)
	require.Len(t, out.ready, size.hosts)
	calls := total(out.calls)
	t.Logf("ready after %v, %v, %v (half, nine in ten, all), calls %d: %v", out.ready[size.hosts/2], out.ready[size.hosts*9/10], out.ready[size.hosts-1], calls, out.calls)
	require.LessOrEqual(t, out.ready[size.hosts*9/10], readyTime)
	require.LessOrEqual(t, calls, plannerCalls*int(lasts.Seconds())+callsPerHost*size.hosts)
}
