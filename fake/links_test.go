package fake

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLinksAreShared guards against transfers that take no longer beside others, and against
// one that goes on after its context has ended.
func TestLinksAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLinks()
		l.Add("a", 100<<10)
		l.Add("b", 50<<10)
		began := time.Now()
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { require.True(t, l.Transfer(t.Context(), "a", "", 100<<10)) })
		}
		wg.Wait()
		require.InDelta(t, 2.0, time.Since(began).Seconds(), 0.2)
		began = time.Now()
		require.True(t, l.Transfer(t.Context(), "a", "b", 50<<10))
		require.InDelta(t, 1.0, time.Since(began).Seconds(), 0.4)
		ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(500*time.Millisecond))
		defer cancel()
		sent, _ := l.Bytes("a")
		require.False(t, l.Transfer(ctx, "a", "", 1<<20))
		after, _ := l.Bytes("a")
		require.LessOrEqual(t, after-sent, 50<<10+windowPackets*packetBytes)
	})
}
