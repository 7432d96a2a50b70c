package lease

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
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

// TestFailing guards against a holder that doesn't tell whether its renewals reach the store.
func TestFailing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(true)
		e := h.elector("a", "1")
		defer h.run(t, e)()
		for range 3 {
			time.Sleep(2 * time.Second)
			require.True(t, e.Status().Held)
			require.False(t, e.Status().Failing)
			h.store.SetDown("a", true)
			time.Sleep(2 * time.Second)
			require.True(t, e.Status().Held)
			require.True(t, e.Status().Failing)
			h.store.SetDown("a", false)
		}
	})
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
		idle    bool // the first holder has sent no order for the gap
		atLeast time.Duration
		atMost  time.Duration
	}{
		"released, tokens checked":     {fenced: true, release: true, atMost: time.Second},
		"released, tokens not checked": {fenced: false, release: true, atLeast: 3 * time.Second, atMost: 5 * time.Second},
		"released after no orders":     {fenced: false, release: true, idle: true, atMost: time.Second},
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
				_, orderEnded, ok := first.BeginOrder()
				require.True(t, ok)
				orderEnded()
				if c.idle {
					time.Sleep(4 * time.Second)
				}
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

// TestReleaseDuringGap guards against a host that orders within the gap because the
// holder before it, which had not ordered yet, says that it was idle.
func TestReleaseDuringGap(t *testing.T) {
	requireGapAfterRelease(t, "c", "1")
}

// TestRestartInGap guards against a host that is shut down within the gap after another
// holder's last order, starts again and orders at once, because its own record released
// the lease.
func TestRestartInGap(t *testing.T) {
	requireGapAfterRelease(t, "b", "2")
}

// TestReleaseAfterRestart guards against a host that orders within the gap after a process
// whose successor on the same host released the lease: the successor does not know of the
// orders of the one before.
func TestReleaseAfterRestart(t *testing.T) {
	cases := map[string]struct {
		released bool // by the first process, otherwise it is killed
		orders   bool // of the second process
		held     time.Duration
		atMost   time.Duration // after the last order
	}{
		"killed, released at once":               {false, false, 0, 5 * time.Second},
		"killed, released within the gap":        {false, false, 1300 * time.Millisecond, 5 * time.Second},
		"killed, released after the gap":         {false, false, 4 * time.Second, 7 * time.Second},
		"killed, the successor orders":           {false, true, time.Second, 5 * time.Second},
		"released, then released again at once":  {true, false, 0, 5 * time.Second},
		"released, then released within the gap": {true, false, time.Second, 5 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(false)
				var lastOrder time.Time
				order := func(e *Elector) {
					_, ended, ok := e.BeginOrder()
					require.True(t, ok)
					ended()
					lastOrder = time.Now()
				}
				first := h.elector("a", "1")
				stop := h.run(t, first)
				time.Sleep(2 * time.Second)
				order(first)
				if tc.released {
					first.Release(t.Context())
				}
				stop()
				time.Sleep(300 * time.Millisecond)
				second := h.elector("a", "2")
				stop = h.run(t, second)
				for !mayOrder(second) {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(tc.held)
				if tc.orders {
					order(second)
				}
				second.Release(t.Context())
				stop()
				next := h.elector("b", "1")
				defer h.run(t, next)()
				for !mayOrder(next) {
					time.Sleep(10 * time.Millisecond)
				}
				require.GreaterOrEqual(t, time.Since(lastOrder), 3*time.Second)
				require.Less(t, time.Since(lastOrder), tc.atMost)
			})
		})
	}
}

// requireGapAfterRelease lets host a order and release the lease, b take it and release it
// within the gap, and requires that the next process waits for the gap after a's order.
func requireGapAfterRelease(t *testing.T, host, incarnation string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(false)
		a, b, next := h.elector("a", "1"), h.elector("b", "1"), h.elector(host, incarnation)
		stop := h.run(t, a)
		time.Sleep(2 * time.Second)
		_, orderEnded, ok := a.BeginOrder()
		require.True(t, ok)
		orderEnded()
		lastOrder := time.Now()
		a.Release(t.Context())
		stop()
		stop = h.run(t, b)
		for !b.Status().Held {
			time.Sleep(10 * time.Millisecond)
		}
		b.Release(t.Context())
		stop()
		defer h.run(t, next)()
		for !mayOrder(next) {
			time.Sleep(10 * time.Millisecond)
		}
		require.GreaterOrEqual(t, time.Since(lastOrder), 3*time.Second)
		require.Less(t, time.Since(lastOrder), 5*time.Second)
	})
}

// TestTakeoverAfterLostHolder guards against a late takeover after the holder
// was lost without a release, also right after a renewal of which it told nobody,
// and against a takeover while the holder cannot be heard but still renews the lease.
func TestTakeoverAfterLostHolder(t *testing.T) {
	const reachableTimeout = 900 * time.Millisecond
	cases := map[string]struct {
		alive bool
		// lostAfter is the time from the holder's last message until it is lost.
		lostAfter time.Duration
	}{
		"lost":                  {},
		"lost after a renewal":  {lostAfter: renewInterval + 50*time.Millisecond},
		"alive but not heard":   {alive: true},
		"lost before a renewal": {lostAfter: renewInterval - 50*time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(true)
				h.clockOffset["a"] = 20 * time.Hour
				first := h.elector("a", "1")
				stop := h.run(t, first)
				time.Sleep(2 * time.Second)
				second := h.elector("b", "1")
				status := first.Status()
				m := tamarackknot.HolderMessage{End: status.End, Fence: status.Fence, SentAt: first.cfg.Clock(), ReceivedAt: time.Now()}
				second.cfg.HolderReachable = func() bool { return time.Since(m.ReceivedAt) < reachableTimeout }
				second.cfg.HolderMessage = func() (tamarackknot.HolderMessage, bool) { return m, true }
				defer h.run(t, second)()
				if tc.alive {
					time.Sleep(10 * time.Second)
					require.False(t, second.Status().Held)
					stop()
					return
				}
				time.Sleep(tc.lostAfter)
				stop()
				lostAt := time.Now()
				for !mayOrder(second) {
					time.Sleep(10 * time.Millisecond)
					require.Less(t, time.Since(lostAt), expiryTime+watchInterval/4+50*time.Millisecond)
				}
				require.GreaterOrEqual(t, first.cfg.Clock(), first.validUntil)
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

// TestFenceOverRestore guards against a fencing token that two holders share, or
// that a later holder has lower, because the store gives out its offsets again.
func TestFenceOverRestore(t *testing.T) {
	for name, fenced := range map[string]bool{"engines that check fencing tokens": true, "engines that ignore fencing tokens": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(fenced)
				earlier := h.elector("c", "1")
				stop := h.run(t, earlier)
				time.Sleep(6 * time.Second)
				stop()
				first := h.elector("a", "1")
				stop = h.run(t, first)
				time.Sleep(6 * time.Second)
				before := first.Status().Fence
				h.store.Restore(11 * time.Second)
				stop()
				second := h.elector("b", "1")
				defer h.run(t, second)()
				time.Sleep(8 * time.Second)
				require.True(t, mayOrder(second))
				require.Greater(t, second.Status().Fence, before)
				require.Less(t, second.Status().Fence, int64(1)<<53)
			})
		})
	}
}

// TestHolderKeepsLeaseOverRestore guards against a pause in which nobody orders
// although the holder is alive and nobody else can have taken the lease.
func TestHolderKeepsLeaseOverRestore(t *testing.T) {
	for name, silent := range map[string]time.Duration{"at once": 0, "after half a second": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(false)
				first, second := h.elector("a", "1"), h.elector("b", "1")
				defer h.run(t, first)()
				time.Sleep(time.Second)
				defer h.run(t, second)()
				time.Sleep(4 * time.Second)
				h.store.SetSilent(true)
				time.Sleep(silent)
				h.store.Restore(3*time.Second + silent)
				h.store.SetSilent(false)
				for range 100 {
					time.Sleep(50 * time.Millisecond)
					require.True(t, mayOrder(first))
					require.False(t, second.Status().Held)
				}
			})
		})
	}
}

// TestTakeoverAfterRestore guards against a host that takes the lease from an
// older copy, in which it is free or held by itself, before the last holder of
// the earlier era has stopped and the gap after its last order is over.
func TestTakeoverAfterRestore(t *testing.T) {
	cases := map[string]struct {
		age     time.Duration // of the copy
		restart bool          // the host that takes the lease has seen no earlier era
	}{
		"the copy names the last holder":         {age: time.Second},
		"the copy names an earlier holder":       {age: 7 * time.Second},
		"the copy says that the lease is free":   {age: 5 * time.Second},
		"the copy has no record":                 {age: 30 * time.Second},
		"a restarted host finds a free lease":    {age: 5 * time.Second, restart: true},
		"a restarted host finds no record":       {age: 30 * time.Second, restart: true},
		"a restarted host finds its own renewal": {age: 7 * time.Second, restart: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(false)
				b := h.elector("b", "1")
				stop := h.run(t, b)
				time.Sleep(8 * time.Second)
				b.Release(t.Context()) // 5 s before the restore
				stop()
				a := h.elector("a", "1")
				stopA := h.run(t, a)
				time.Sleep(5 * time.Second)
				require.True(t, mayOrder(a))
				if !c.restart {
					b = h.elector("b", "2")
					defer h.run(t, b)()
					time.Sleep(500 * time.Millisecond)
				}
				lastOrder := time.Now()
				stopA() // a could have ordered until its lease expires
				h.store.Restore(c.age)
				if c.restart {
					b = h.elector("b", "3")
					defer h.run(t, b)()
				}
				for !mayOrder(b) {
					time.Sleep(10 * time.Millisecond)
					require.Less(t, time.Since(lastOrder), 10*time.Second)
				}
				require.GreaterOrEqual(t, time.Since(lastOrder), leaseTTL+3*time.Second)
			})
		})
	}
}

// TestLateRenewalAfterRestore guards against a renewal of the earlier era that the
// store carries out late, since the offset matches again: the holder of the new
// era is replaced in the stream by a record that says nothing about it.
func TestLateRenewalAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(false)
		a := h.elector("a", "1")
		stop := h.run(t, a)
		time.Sleep(6 * time.Second)
		end := a.Status().End
		stop()
		h.store.Restore(4 * time.Second)
		b, c := h.elector("b", "1"), h.elector("c", "1")
		stopB := h.run(t, b)
		time.Sleep(time.Second)
		defer h.run(t, c)()
		for !mayOrder(b) {
			time.Sleep(10 * time.Millisecond)
		}
		late := []byte(`{"holder":"a","incarnation":"1","fence":1}`)
		for b.Status().End.Offset < end.Offset {
			time.Sleep(10 * time.Millisecond)
		}
		_, err := h.store.PutAt(t.Context(), tamarackknot.StreamLease, leaseKey, late, b.Status().End)
		require.NoError(t, err)
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			require.True(t, mayOrder(b), "the holder renews after the late record")
			require.False(t, c.Status().Held)
		}
		// If the holder ends with such a record in the stream, its validity and the
		// gap are waited out.
		_, err = h.store.PutAt(t.Context(), tamarackknot.StreamLease, leaseKey, late, b.Status().End)
		require.NoError(t, err)
		lastOrder := time.Now()
		stopB()
		for !mayOrder(c) {
			time.Sleep(10 * time.Millisecond)
		}
		require.GreaterOrEqual(t, time.Since(lastOrder), leaseTTL+3*time.Second)
	})
}

// TestFirstStart guards against a gap before the first order of a whole system
// that starts for the first time on a store that names its era.
func TestFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(false)
		h.store.Restore(0)
		first, later := h.elector("a", "1"), h.elector("b", "1")
		first.cfg.FirstStart = true
		defer h.run(t, later)()
		defer h.run(t, first)()
		time.Sleep(500 * time.Millisecond)
		require.True(t, mayOrder(first))
	})
}

// registered returns a Registration of a host that registered at a time on the
// harness's clock.
func (h *harness) registered(at time.Duration) func() tamarackknot.Registration {
	return func() tamarackknot.Registration {
		return tamarackknot.Registration{Registered: true, At: at}
	}
}

// now returns the clock of a host.
func (h *harness) now(host string) time.Duration {
	return time.Since(h.started) + time.Hour + h.clockOffset[host]
}

// TestExtend guards against a holder without the store that orders although not
// all hosts keep promising, and against one that stops although they do.
func TestExtend(t *testing.T) {
	cases := map[string]struct {
		acknowledged time.Duration // how long the acknowledged messages lie back; 0 means none
		hostsRead    time.Duration // how long the read of the hosts lies back at the outage
		fenced       bool
		suspended    bool
		lasts        time.Duration
	}{
		"no promises":                    {hostsRead: time.Second, lasts: leaseTTL},
		"promises":                       {acknowledged: 600 * time.Millisecond, lasts: maxPromised},
		"promises of an old list":        {acknowledged: 600 * time.Millisecond, hostsRead: 3 * time.Second, lasts: maxPromised - 3*time.Second},
		"promises that are too old":      {acknowledged: 2 * time.Second, lasts: leaseTTL},
		"a suspension with old promises": {acknowledged: 600 * time.Millisecond, suspended: true, lasts: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(c.fenced)
				e := h.elector("a", "1")
				e.cfg.Registration = h.registered(0)
				defer h.run(t, e)()
				time.Sleep(2 * time.Second)
				require.True(t, mayOrder(e))
				h.store.SetDown("a", true)
				read := h.now("a") - c.hostsRead
				extend := func() {
					if c.acknowledged > 0 {
						e.Extend(h.now("a")-c.acknowledged, read)
					}
				}
				extend()
				if c.suspended {
					h.clockOffset["a"] += 5 * time.Second
					require.False(t, mayOrder(e))
					return
				}
				started := time.Now()
				for mayOrder(e) && time.Since(started) < 10*time.Second {
					time.Sleep(20 * time.Millisecond)
					extend()
				}
				require.InDelta(t, c.lasts.Seconds(), time.Since(started).Seconds(), 0.75, "the last renewal lies back up to 0.7 s")
			})
		})
	}
}

// TestPromise guards against a host that promises a holder not to order and then
// does, and against a holder that promises another.
func TestPromise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(false)
		a, b := h.elector("a", "1"), h.elector("b", "1")
		b.cfg.Registration = h.registered(0)
		stop := h.run(t, a)
		time.Sleep(time.Second)
		require.False(t, a.Promise(h.now("a")))
		defer h.run(t, b)()
		time.Sleep(9 * time.Second)
		stop()
		var promisedAt time.Time
		for !b.Status().Held {
			// The last message of a comes after its last renewal.
			require.True(t, b.Promise(h.now("b")))
			promisedAt = time.Now()
			time.Sleep(10 * time.Millisecond)
		}
		for !mayOrder(b) {
			time.Sleep(10 * time.Millisecond)
		}
		require.GreaterOrEqual(t, time.Since(promisedAt), promiseTime+3*time.Second)
	})
}

// TestUnknownToHolder guards against a new host that the holder does not know, so
// that the holder goes on without its promise while the new host orders.
func TestUnknownToHolder(t *testing.T) {
	cases := map[string]struct {
		previous tamarackknot.Position
		had      bool
		atLeast  time.Duration
		atMost   time.Duration
	}{
		"a new host":                      {atLeast: maxPromised + 3*time.Second, atMost: 10 * time.Second},
		"an earlier process is known":     {had: true, previous: tamarackknot.Position{Offset: 4}, atLeast: promiseTime + 3*time.Second, atMost: 6 * time.Second},
		"an earlier process is not known": {had: true, previous: tamarackknot.Position{Offset: 5}, atLeast: maxPromised + 3*time.Second, atMost: 10 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(false)
				a, b := h.elector("a", "1"), h.elector("b", "1")
				a.cfg.Registration = func() tamarackknot.Registration {
					return tamarackknot.Registration{ReadEnd: tamarackknot.Position{Offset: 5}}
				}
				stop := h.run(t, a)
				time.Sleep(5 * time.Second)
				stop()
				at := h.now("b")
				b.cfg.Registration = func() tamarackknot.Registration {
					return tamarackknot.Registration{Registered: true, At: at, Previous: c.previous, HadPrevious: c.had}
				}
				b.startedAt = at
				registered := time.Now()
				defer h.run(t, b)()
				for !mayOrder(b) {
					time.Sleep(10 * time.Millisecond)
					require.Less(t, time.Since(registered), c.atMost)
				}
				require.GreaterOrEqual(t, time.Since(registered), c.atLeast)
			})
		})
	}
}

// TestHolderFirstAfterOutage guards against a host that takes the lease as soon as
// the store is back, before the holder could renew it.
func TestHolderFirstAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(true)
		a, b := h.elector("a", "1"), h.elector("b", "1")
		defer h.run(t, a)()
		time.Sleep(time.Second)
		defer h.run(t, b)()
		time.Sleep(5 * time.Second)
		for range 10 {
			h.store.SetSilent(true)
			time.Sleep(4 * time.Second)
			h.store.SetSilent(false)
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				require.False(t, b.Status().Held)
			}
		}
	})
}
