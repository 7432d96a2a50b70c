package journal

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

// Guards against a bridge that reverts an accepted change. The host that would
// write it was isolated from the log and from the hosts that have the change,
// which still run.
func TestLaggingHostWritesNoBridge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(time.Hour, 2000)
		defer c.close()
		a, _, lagging := c.start("a"), c.start("b"), c.start("c")
		time.Sleep(time.Second)
		rev := mustApply(t, a, deployment("x", 1), 0)
		time.Sleep(time.Second)
		lagging.client.SetFaults(fake.LogFaults{ReadsDown: true, AppendsDown: true})
		c.peers.Isolate("c", true)
		rev = mustApply(t, a, deployment("x", 2), rev)
		time.Sleep(time.Minute)
		c.log.ExpireAll()
		lagging.client.SetFaults(fake.LogFaults{})
		time.Sleep(2 * time.Minute)
		require.Equal(t, rev-1, lagging.Status().Applied)
		require.True(t, lagging.Status().Stale)
		c.peers.Isolate("c", false)
		time.Sleep(20 * time.Second)
		require.NoError(t, c.check())
		require.False(t, lagging.Status().Stale)
		require.GreaterOrEqual(t, lagging.Status().ConfigOffset, rev)
	})
}

// Guards against hosts that continue from different bridges and then differ.
func TestFirstBridgeIsChosen(t *testing.T) {
	j := New(Config{Log: fake.NewLog(fake.LogConfig{}), Host: "a", Incarnation: "1"})
	chunks, err := j.ledger.Encode()
	require.NoError(t, err)
	bridge := func(id string, covers, end tamarackknot.Offset) *candidate {
		return &candidate{id: id, covers: covers, count: 1, chunks: map[int][]byte{0: chunks[0]}, end: end}
	}
	for _, covers := range []tamarackknot.Offset{5, 7} {
		r := &recovery{j: j, hasState: true}
		require.True(t, r.choose([]*candidate{bridge("second", 12-covers, 12), bridge("first", covers, 10)}, 6, 13))
		require.Equal(t, covers, r.state.Applied())
	}
}

// Guards against a missing snapshot after an outage. No host could start from
// the log once the older records expire.
func TestSnapshotFollowsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(24*time.Hour, 2000)
		defer c.close()
		a := c.start("a")
		time.Sleep(time.Second)
		rev := mustApply(t, a, deployment("x", 1), 0)
		c.log.SetDown(true)
		time.Sleep(20 * time.Second)
		c.log.SetDown(false)
		time.Sleep(15 * time.Second)
		covers := tamarackknot.Offset(0)
		require.NoError(t, a.do(context.Background(), func() { covers = a.ledger.Snapshot().Covers }))
		require.GreaterOrEqual(t, covers, rev)
	})
}

// Guards against a change that is reported as rejected because only a second
// copy of its record was read. The first copy may have been accepted.
func TestDuplicateIsUnknown(t *testing.T) {
	_, err := checkDuplicate(tamarackknot.Outcome{Reason: tamarackknot.ReasonDuplicate})
	require.ErrorIs(t, err, tamarackknot.ErrOutcomeUnknown)
}

// Guards against too many requests of 9 hosts to a log that is down.
func TestDownLogRequestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(time.Hour, 2000)
		defer c.close()
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
			c.start(name)
		}
		time.Sleep(time.Second)
		c.log.SetDown(true)
		time.Sleep(time.Minute)
		before := c.log.Requests()
		for range 100 {
			for _, h := range c.hosts {
				_, err := propose(h, time.Second, apply(deployment("x", 1), 0))
				require.ErrorIs(t, err, tamarackknot.ErrNotAppended)
			}
			time.Sleep(time.Second)
		}
		perSecond := float64(c.log.Requests()-before) / 100
		t.Logf("%.2f requests a second from 9 hosts", perSecond)
		require.Less(t, perSecond, 4.0)
		for name, h := range c.hosts {
			require.False(t, h.Status().Stale, "host %s: the log is down for all hosts and their states agree", name)
		}
	})
}
