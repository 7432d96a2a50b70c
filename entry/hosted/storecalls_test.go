package hosted

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
	"tamarackknot.example/tamarackknot/internal/wait"
)

// plannerCalls is the most calls a second that the planner makes at the store, with those
// that other hosts make for it.
const plannerCalls = 12

// storeCalls plays a fault in a cluster and returns the hosts' calls at the store in the time
// from its beginning on.
func storeCalls(t *testing.T, size clusterSize, lasts time.Duration, fault func(c *cluster)) (calls map[fake.Call]int) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		c, cancel := startCluster(size, true, io.Discard)
		c.quiet = true
		wait.For(c.ctx, 15*time.Second)
		before := c.store.Calls()
		until := time.Now().Add(lasts)
		fault(c)
		wait.For(c.ctx, time.Until(until))
		calls = c.store.Calls()
		for kind, n := range before {
			calls[kind] -= n
		}
		// Endpoints write their entries themselves.
		delete(calls, fake.Call{Operation: "put", Stream: tamarackknot.StreamEndpoints})
		cancel()
		c.wg.Wait()
		c.peers.Wait()
	})
	return calls
}

// total returns the number of calls of all kinds.
func total(calls map[fake.Call]int) (n int) {
	for _, count := range calls {
		n += count
	}
	return n
}

// refuse makes the store refuse the holder of the lease and more hosts for a time.
func (c *cluster) refuse(hosts int, lasts time.Duration) {
	refused := []string{c.holder().name}
	for _, name := range c.hostNames()[:hosts] {
		if name != refused[0] {
			refused = append(refused, name)
		}
	}
	for _, name := range refused {
		c.store.SetDown(name, true)
	}
	c.wg.Go(func() {
		wait.For(context.WithoutCancel(c.ctx), lasts)
		for _, name := range refused {
			c.store.SetDown(name, false)
		}
	})
}

// TestStoreCallsOfManyHosts guards against hosts that each read the store for themselves,
// several times a second, while another one could read it for all.
func TestStoreCallsOfManyHosts(t *testing.T) {
	const lasts = 10 * time.Second
	size := manyHosts()
	for name, tc := range map[string]struct {
		fault   func(c *cluster)
		perHost int // calls, beside those of the planner
	}{
		"no fault":                               {func(*cluster) {}, 0},
		"the store refuses the planner":          {func(c *cluster) { c.refuse(0, lasts) }, 2},
		"the store refuses a third of the hosts": {func(c *cluster) { c.refuse(size.hosts/3, lasts) }, 2},
		"the planner is killed":                  {func(c *cluster) { c.holder().stop() }, 8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			calls := storeCalls(t, size, lasts, tc.fault)
			t.Logf("calls %d: %v", total(calls), calls)
			require.LessOrEqual(t, total(calls), plannerCalls*int(lasts.Seconds())+tc.perHost*size.hosts)
		})
	}
}
