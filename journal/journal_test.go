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

// Guards against an accepted change that other hosts do not apply, and against
// a change that takes effect twice because the answer to its append was lost
// and the append was retried.
func TestProposeIsReadBackEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(time.Hour, 2000)
		defer c.close()
		a, b := c.start("a"), c.start("b")
		time.Sleep(time.Second)
		rev := mustApply(t, a, deployment("x", 1), 0)
		c.log.LoseAnswers(2)
		rev2 := mustApply(t, a, deployment("x", 2), rev)
		out, err := propose(b, time.Second, apply(deployment("x", 3), rev))
		require.NoError(t, err)
		require.Equal(t, tamarackknot.ReasonConflict, out.Reason)
		require.Equal(t, rev2, out.Current)
		require.Contains(t, out.Detail, "has revision 2, the write is based on revision 1")
		time.Sleep(time.Second)
		require.NoError(t, c.check())
	})
}

// Guards against hosts that stop, differ or leave no snapshot for a new host
// after an outage of the log that is longer than its retention. A record is
// appended during the outage and expires before any host reads it.
func TestRecordThatExpiredUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(time.Minute, 2000)
		defer c.close()
		for _, name := range []string{"a", "b", "d"} {
			c.start(name)
		}
		time.Sleep(time.Second)
		rev := mustApply(t, c.hosts["a"], deployment("x", 1), 0)
		time.Sleep(time.Second)
		c.log.SetFaults(fake.LogFaults{ReadsDown: true})
		_, err := propose(c.hosts["a"], time.Second, apply(deployment("x", 2), rev))
		require.ErrorIs(t, err, tamarackknot.ErrOutcomeUnknown)
		time.Sleep(3 * time.Minute)
		_, err = propose(c.hosts["a"], time.Second, apply(deployment("x", 2), rev))
		require.ErrorIs(t, err, tamarackknot.ErrNotAppended, "a host that cannot read does not append")
		c.log.SetFaults(fake.LogFaults{})
		time.Sleep(30 * time.Second)
		require.NoError(t, c.check())
		mustApply(t, c.hosts["b"], deployment("x", 3), rev)
		for _, name := range []string{"a", "b", "d"} {
			c.stop(name)
		}
		c.start("e")
		time.Sleep(10 * time.Second)
		require.NoError(t, c.check())
		c.hosts["e"].Read(func(s tamarackknot.State) {
			r, ok := s.Resource(tamarackknot.KindDeployment, "x")
			require.True(t, ok)
			require.Equal(t, 3, r.Deployment.Priority)
		})
	})
}

// Guards against several accepted claims of the same key, whose request would
// then run more than once, and against more than 20 key appends a second.
func TestClaimKeyBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(time.Hour, 2000)
		defer c.close()
		a := c.start("a")
		time.Sleep(time.Second)
		before := c.log.Appends()
		accepted := make(chan bool, 1000)
		for i := range 1000 {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				key := tamarackknot.KeyClaim{Key: string(rune('a' + i%100)), Digest: "d", Created: time.Now()}
				out, err := a.ClaimKey(context.Background(), key)
				accepted <- err == nil && out.Accepted
			}()
		}
		n := 0
		for range 1000 {
			if <-accepted {
				n++
			}
		}
		require.Equal(t, 100, n)
		require.LessOrEqual(t, c.log.Appends()-before, int64(22))
	})
}

// Guards against a request that claims a key although the key was freed only
// after the request had arrived, and against a freed key that later requests
// cannot claim.
func TestClaimFreedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(time.Hour, 2000)
		defer c.close()
		a, b := c.start("a"), c.start("b")
		time.Sleep(time.Second)
		ctx := context.Background()
		key := tamarackknot.KeyClaim{Key: "k", Digest: "d", Created: time.Now(), Seen: b.Status().Applied}
		out, err := a.ClaimKey(ctx, key)
		require.NoError(t, err)
		require.True(t, out.Accepted)
		require.NoError(t, a.FreeKey(ctx, key))
		time.Sleep(time.Second)
		out, err = b.ClaimKey(ctx, key)
		require.NoError(t, err)
		require.Equal(t, tamarackknot.KeyOutcome{Reason: tamarackknot.ReasonConflict}, out)
		key.Seen = b.Status().Applied
		out, err = b.ClaimKey(ctx, key)
		require.NoError(t, err)
		require.True(t, out.Accepted)
	})
}
