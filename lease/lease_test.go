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

// bed runs keepers of several hosts in one bubble. A host's clock can stand
// ahead of the others, as after a suspension.
type bed struct {
	store   *fake.Streams
	started time.Time
	jump    map[string]time.Duration
	heard   map[string]bool
	fenced  bool
}

func newBed(fenced bool) *bed {
	return &bed{
		store: fake.NewStreams(), started: time.Now(), fenced: fenced,
		jump: make(map[string]time.Duration), heard: make(map[string]bool),
	}
}

func (b *bed) keeper(host, incarnation string) *Keeper {
	return New(Config{
		Store: b.store.Client(host), Host: host, Incarnation: incarnation, Gap: 3 * time.Second, Fenced: b.fenced,
		HolderHeard: func() bool { return b.heard[host] },
		Clock:       func() time.Duration { return time.Since(b.started) + time.Hour + b.jump[host] },
		Logger:      log.New(io.Discard),
	})
}

func (b *bed) run(t *testing.T, k *Keeper) context.CancelFunc {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func mayOrder(k *Keeper) bool {
	_, ok := k.MayOrder()
	return ok
}

// TestOneHolder guards against two hosts that hold the lease at once after
// they started together.
func TestOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(true)
		var keepers []*Keeper
		for _, host := range []string{"a", "b", "c", "d"} {
			k := b.keeper(host, "1")
			keepers = append(keepers, k)
			defer b.run(t, k)()
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			holders := 0
			for _, k := range keepers {
				if k.Status().Held {
					holders++
				}
			}
			require.LessOrEqual(t, holders, 1)
		}
		require.True(t, mayOrder(keepers[0]) || mayOrder(keepers[1]) || mayOrder(keepers[2]) || mayOrder(keepers[3]))
	})
}

// TestOutage guards against a planner that stops ordering, or starts and stops
// in turns, while the store is away.
func TestOutage(t *testing.T) {
	cases := map[string]struct {
		fenced bool
		orders bool
	}{
		"engines that check fences":  {fenced: true, orders: true},
		"engines that ignore fences": {fenced: false, orders: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(c.fenced)
				k := b.keeper("a", "1")
				defer b.run(t, k)()
				time.Sleep(2 * time.Second)
				require.True(t, mayOrder(k))
				b.store.SetDown("a", true)
				time.Sleep(3 * time.Second)
				for range 80 {
					time.Sleep(100 * time.Millisecond)
					require.Equal(t, c.orders, mayOrder(k))
				}
			})
		})
	}
}

// TestSuspended guards against orders of a host that was suspended while
// another one took the lease.
func TestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(true)
		k := b.keeper("a", "1")
		defer b.run(t, k)()
		time.Sleep(2 * time.Second)
		require.True(t, mayOrder(k))
		b.jump["a"] = 6 * time.Second
		require.False(t, mayOrder(k))
	})
}

// TestLostAnswer guards against a holder that takes its own renewal, whose
// answer was lost, for another host's.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(true)
		k := b.keeper("a", "1")
		defer b.run(t, k)()
		time.Sleep(2 * time.Second)
		fence := k.Status().Fence
		b.store.LoseAnswers(3)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			require.True(t, mayOrder(k))
		}
		require.Equal(t, fence, k.Status().Fence)
	})
}

// TestTakeover guards against a lease that nobody takes after its holder has
// ended, and against orders too soon after those of the holder before where
// engines do not check fences.
func TestTakeover(t *testing.T) {
	cases := map[string]struct {
		fenced  bool
		release bool
		atLeast time.Duration
		atMost  time.Duration
	}{
		"released, fences checked": {fenced: true, release: true, atMost: time.Second},
		"released, not checked":    {fenced: false, release: true, atLeast: 3 * time.Second, atMost: 5 * time.Second},
		"ended, fences checked":    {fenced: true, atMost: 4 * time.Second},
		"ended, not checked":       {fenced: false, atLeast: 3 * time.Second, atMost: 8 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(c.fenced)
				first := b.keeper("a", "1")
				stop := b.run(t, first)
				time.Sleep(2 * time.Second)
				second := b.keeper("b", "1")
				defer b.run(t, second)()
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

// TestTakeoverAfterSilence guards against a lease that lies vacant for longer
// than it must after its holder was lost without a sign, and against one taken
// while the holder, unheard, still renews it.
func TestTakeoverAfterSilence(t *testing.T) {
	const heardFor = 900 * time.Millisecond
	for name, alive := range map[string]bool{"lost": false, "unheard but alive": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(true)
				first := b.keeper("a", "1")
				stop := b.run(t, first)
				time.Sleep(2 * time.Second)
				second := b.keeper("b", "1")
				end, lastHeard := first.Status().End, time.Now()
				second.cfg.HolderHeard = func() bool { return time.Since(lastHeard) < heardFor }
				second.cfg.HolderSaid = func() (int64, time.Duration, bool) { return end, time.Since(lastHeard), true }
				defer b.run(t, second)()
				if alive {
					time.Sleep(10 * time.Second)
					require.False(t, second.Status().Held)
					stop()
					return
				}
				stop()
				for !mayOrder(second) {
					time.Sleep(10 * time.Millisecond)
					require.Less(t, time.Since(lastHeard), lapseTime+watchEvery+watchEvery/4+50*time.Millisecond)
				}
				require.GreaterOrEqual(t, time.Since(lastHeard), holdTime)
			})
		})
	}
}

// TestDeferAfterLapse guards against a weak host that takes the lease of a lost
// holder before a stronger one had the time to.
func TestDeferAfterLapse(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(true)
			first := b.keeper("a", "1")
			stop := b.run(t, first)
			time.Sleep(2 * time.Second)
			strong, weak := b.keeper("b", "1"), b.keeper("c", "1")
			weak.cfg.Defer = func() time.Duration { return 800 * time.Millisecond }
			defer b.run(t, strong)()
			defer b.run(t, weak)()
			time.Sleep(time.Second)
			stop()
			time.Sleep(4 * time.Second)
			require.True(t, mayOrder(strong))
			require.False(t, weak.Status().Held)
		})
	}
}

// TestRestart guards against a host that waits for its own earlier lease.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(false)
		first := b.keeper("a", "1")
		stop := b.run(t, first)
		time.Sleep(2 * time.Second)
		fence := first.Status().Fence
		stop()
		second := b.keeper("a", "2")
		defer b.run(t, second)()
		time.Sleep(500 * time.Millisecond)
		require.True(t, mayOrder(second))
		require.Greater(t, second.Status().Fence, fence)
	})
}

// TestRefused guards against a holder that goes on ordering after an engine
// has seen a higher fencing token.
func TestRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(true)
		k := b.keeper("a", "1")
		defer b.run(t, k)()
		time.Sleep(time.Second)
		fence, ok := k.MayOrder()
		require.True(t, ok)
		k.Refused(fence)
		require.False(t, mayOrder(k))
	})
}

// TestDefer guards against a weak host that plans although a stronger one is
// there, at a takeover and after it has yielded the lease.
func TestDefer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(true)
		weak := b.keeper("a", "1")
		weak.cfg.Defer = func() time.Duration { return 1200 * time.Millisecond }
		defer b.run(t, weak)()
		time.Sleep(3 * time.Second)
		require.True(t, mayOrder(weak))
		strong := b.keeper("b", "1")
		stop := b.run(t, strong)
		time.Sleep(time.Second)
		require.False(t, strong.Status().Held)
		weak.Yield()
		time.Sleep(2 * time.Second)
		require.True(t, mayOrder(strong))
		require.False(t, weak.Status().Held)
		// Without the stronger host the weaker one takes the lease after all.
		stop()
		time.Sleep(8 * time.Second)
		require.True(t, mayOrder(weak))
	})
}

// TestRaise guards against a raised fencing token that another host could have
// got, or that a later holder falls below.
func TestRaise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(true)
		first := b.keeper("a", "1")
		stop := b.run(t, first)
		time.Sleep(2 * time.Second)
		before := first.Status().Fence
		first.Raise()
		time.Sleep(time.Second)
		raised := first.Status().Fence
		require.Greater(t, raised, before)
		require.True(t, mayOrder(first))
		first.Release(context.Background())
		stop()
		second := b.keeper("b", "1")
		defer b.run(t, second)()
		time.Sleep(2 * time.Second)
		require.Greater(t, second.Status().Fence, raised)
	})
}
