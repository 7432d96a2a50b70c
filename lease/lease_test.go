package lease

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot/fake"
)

// harness runs the Electors of several hosts on a fake store. The clock of a
// host can be set ahead, as after a suspension.
type harness struct {
	store           *fake.Streams
	started         time.Time
	clockOffset     map[string]time.Duration
	holderReachable map[string]bool
	fenced          bool
}

func newHarness(fenced bool) *harness {
	return &harness{
		store: fake.NewStreams(), started: time.Now(), fenced: fenced,
		clockOffset: make(map[string]time.Duration), holderReachable: make(map[string]bool),
	}
}

func (h *harness) elector(host, incarnation string) *Elector {
	return New(Config{
		Store: h.store.Client(host), Host: host, Incarnation: incarnation, OrderGap: 3 * time.Second, FencingEnforced: h.fenced,
		HolderReachable: func() bool { return h.holderReachable[host] },
		Clock:           func() time.Duration { return time.Since(h.started) + time.Hour + h.clockOffset[host] },
		Logger:          log.New(io.Discard),
	})
}

func (h *harness) run(t *testing.T, e *Elector) context.CancelFunc {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func mayOrder(e *Elector) bool {
	_, ok := e.MayOrder()
	return ok
}

// TestOneHolder guards against two hosts holding the lease at once when all
// hosts start together.
func TestOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(true)
		var electors []*Elector
		for _, host := range []string{"a", "b", "c", "d"} {
			e := h.elector(host, "1")
			electors = append(electors, e)
			defer h.run(t, e)()
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			holders := 0
			for _, e := range electors {
				if e.Status().Held {
					holders++
				}
			}
			require.LessOrEqual(t, holders, 1)
		}
		require.True(t, mayOrder(electors[0]) || mayOrder(electors[1]) || mayOrder(electors[2]) || mayOrder(electors[3]))
	})
}

// TestOutage guards against a holder that loses and regains the right to send
// orders, or loses it although engines check fencing tokens, during an outage
// of the store.
func TestOutage(t *testing.T) {
	cases := map[string]struct {
		fenced bool
		orders bool
	}{
		"engines that check fencing tokens":  {fenced: true, orders: true},
		"engines that ignore fencing tokens": {fenced: false, orders: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(c.fenced)
				e := h.elector("a", "1")
				defer h.run(t, e)()
				time.Sleep(2 * time.Second)
				require.True(t, mayOrder(e))
				h.store.SetDown("a", true)
				time.Sleep(3 * time.Second)
				for range 80 {
					time.Sleep(100 * time.Millisecond)
					require.Equal(t, c.orders, mayOrder(e))
				}
			})
		})
	}
}

// TestSuspended guards against orders from a host that resumes after a
// suspension, during which another host may have taken the lease.
func TestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(true)
		e := h.elector("a", "1")
		defer h.run(t, e)()
		time.Sleep(2 * time.Second)
		require.True(t, mayOrder(e))
		h.clockOffset["a"] = 6 * time.Second
		require.False(t, mayOrder(e))
	})
}

// TestLostAnswer guards against a holder that gives up the lease because it
// takes its own renewal, whose answer was lost, for another host's.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(true)
		e := h.elector("a", "1")
		defer h.run(t, e)()
		time.Sleep(2 * time.Second)
		fence := e.Status().Fence
		h.store.LoseAnswers(3)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			require.True(t, mayOrder(e))
		}
		require.Equal(t, fence, e.Status().Fence)
	})
}

// TestTakeover guards against a lease that stays free after its holder has
// ended and, where engines do not check fencing tokens, against orders too soon
// after those of the previous holder.
func TestTakeover(t *testing.T) {
	cases := map[string]struct {
		fenced  bool
		release bool
		atLeast time.Duration
		atMost  time.Duration
	}{
		"released, tokens checked":     {fenced: true, release: true, atMost: time.Second},
		"released, tokens not checked": {fenced: false, release: true, atLeast: 3 * time.Second, atMost: 5 * time.Second},
		"ended, tokens checked":        {fenced: true, atMost: 4 * time.Second},
		"ended, tokens not checked":    {fenced: false, atLeast: 3 * time.Second, atMost: 8 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(c.fenced)
				first := h.elector("a", "1")
				stop := h.run(t, first)
				time.Sleep(2 * time.Second)
				second := h.elector("b", "1")
				defer h.run(t, second)()
				time.Sleep(time.Second)
				require.False(t, second.Status().Held)
				if c.release {
					first.Release(context.Background())
				}
				stop()
				ended := time.Now()
				for !mayOrder(second) {
					time.Sleep(10 * time.Millisecond)
					require.Less(t, time.Since(ended), c.atMost)
				}
				require.GreaterOrEqual(t, time.Since(ended), c.atLeast)
				require.Greater(t, second.Status().Fence, first.Status().Fence)
			})
		})
	}
}

// TestTakeoverAfterLostHolder guards against a late takeover after the holder
// was lost without a release, and against a takeover while the holder cannot be
// heard but still renews the lease.
func TestTakeoverAfterLostHolder(t *testing.T) {
	const reachableTimeout = 900 * time.Millisecond
	for name, alive := range map[string]bool{"lost": false, "alive but not heard": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(true)
				first := h.elector("a", "1")
				stop := h.run(t, first)
				time.Sleep(2 * time.Second)
				second := h.elector("b", "1")
				end, lastHeard := first.Status().End, time.Now()
				second.cfg.HolderReachable = func() bool { return time.Since(lastHeard) < reachableTimeout }
				second.cfg.HolderEnd = func() (int64, time.Duration, bool) { return end, time.Since(lastHeard), true }
				defer h.run(t, second)()
				if alive {
					time.Sleep(10 * time.Second)
					require.False(t, second.Status().Held)
					stop()
					return
				}
				stop()
				for !mayOrder(second) {
					time.Sleep(10 * time.Millisecond)
					require.Less(t, time.Since(lastHeard), expiryTime+watchInterval+watchInterval/4+50*time.Millisecond)
				}
				require.GreaterOrEqual(t, time.Since(lastHeard), leaseTTL)
			})
		})
	}
}

// TestTakeoverDelayAfterExpiry guards against a weak host that takes the lease
// of a lost holder before a stronger host could.
func TestTakeoverDelayAfterExpiry(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(true)
			first := h.elector("a", "1")
			stop := h.run(t, first)
			time.Sleep(2 * time.Second)
			strong, weak := h.elector("b", "1"), h.elector("c", "1")
			weak.cfg.TakeoverDelay = func() time.Duration { return 800 * time.Millisecond }
			defer h.run(t, strong)()
			defer h.run(t, weak)()
			time.Sleep(time.Second)
			stop()
			time.Sleep(4 * time.Second)
			require.True(t, mayOrder(strong))
			require.False(t, weak.Status().Held)
		})
	}
}

// TestRestart guards against a restarted host that waits for its own previous
// lease to expire.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(false)
		first := h.elector("a", "1")
		stop := h.run(t, first)
		time.Sleep(2 * time.Second)
		fence := first.Status().Fence
		stop()
		second := h.elector("a", "2")
		defer h.run(t, second)()
		time.Sleep(500 * time.Millisecond)
		require.True(t, mayOrder(second))
		require.Greater(t, second.Status().Fence, fence)
	})
}

// TestHandleFenced guards against a holder that keeps sending orders after an
// engine has seen a higher fencing token.
func TestHandleFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(true)
		e := h.elector("a", "1")
		defer h.run(t, e)()
		time.Sleep(time.Second)
		fence, ok := e.MayOrder()
		require.True(t, ok)
		e.HandleFenced(fence)
		require.False(t, mayOrder(e))
	})
}

// TestTakeoverDelay guards against a weak host that takes the lease again after
// it has yielded it to a stronger host, and against one that does not take it
// once the stronger host has gone.
func TestTakeoverDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(true)
		weak := h.elector("a", "1")
		weak.cfg.TakeoverDelay = func() time.Duration { return 1200 * time.Millisecond }
		defer h.run(t, weak)()
		time.Sleep(3 * time.Second)
		require.True(t, mayOrder(weak))
		strong := h.elector("b", "1")
		stop := h.run(t, strong)
		time.Sleep(time.Second)
		require.False(t, strong.Status().Held)
		weak.Yield()
		time.Sleep(2 * time.Second)
		require.True(t, mayOrder(strong))
		require.False(t, weak.Status().Held)
		// The stronger host has gone.
		stop()
		time.Sleep(8 * time.Second)
		require.True(t, mayOrder(weak))
	})
}

// TestRaiseFence guards against a raised fencing token that another host could
// also get, or that the next holder's token does not exceed.
func TestRaiseFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(true)
		first := h.elector("a", "1")
		stop := h.run(t, first)
		time.Sleep(2 * time.Second)
		before := first.Status().Fence
		first.RaiseFence()
		time.Sleep(time.Second)
		raised := first.Status().Fence
		require.Greater(t, raised, before)
		require.True(t, mayOrder(first))
		first.Release(context.Background())
		stop()
		second := h.elector("b", "1")
		defer h.run(t, second)()
		time.Sleep(2 * time.Second)
		require.Greater(t, second.Status().Fence, raised)
	})
}
