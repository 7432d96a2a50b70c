package fake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

func testEngine(change func(*EngineConfig)) *Engine {
	cfg := EngineConfig{
		Name: "e1", MemoryMB: 40 * mbPerGB, Slots: 1, QueueLimit: 1, Fencing: true,
		MemoryPerGB: 10 * time.Millisecond, DiskPerGB: 100 * time.Millisecond, RemotePerGB: time.Second,
		HostMemoryMB: 20 * mbPerGB, DiskMB: 20 * mbPerGB,
		FirstToken: 100 * time.Millisecond, PerToken: 10 * time.Millisecond,
	}
	if change != nil {
		change(&cfg)
	}
	return NewEngine(cfg)
}

func loadOrder(target string, gb int64, fence tamarackknot.Offset) tamarackknot.Order {
	return tamarackknot.Order{Kind: tamarackknot.OrderLoad, Target: target, Version: "1", MemoryMB: gb * mbPerGB, Fence: fence}
}

func unloadOrder(target string, fence tamarackknot.Offset) tamarackknot.Order {
	return tamarackknot.Order{Kind: tamarackknot.OrderUnload, Target: target, Fence: fence}
}

// Guards against memory that is counted late or twice, and against load times
// that do not match the cache tier.
func TestEngineMemoryAndTiers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEngine(nil)
		ctx := t.Context()
		took := func(o tamarackknot.Order, want tamarackknot.OrderOutcome) time.Duration {
			start := time.Now()
			r := e.Order(ctx, o)
			require.Equal(t, want, r.Outcome, r.Message)
			return time.Since(start)
		}
		require.Equal(t, 20*time.Second, took(loadOrder("a", 20, 1), tamarackknot.OrderDone))
		require.Equal(t, 16*time.Second, took(loadOrder("b", 16, 2), tamarackknot.OrderDone))
		require.Zero(t, took(loadOrder("c", 8, 3), tamarackknot.OrderNoMemory))
		require.Zero(t, took(loadOrder("a", 20, 1), tamarackknot.OrderDone), "a repeated order has no further effect")
		require.Zero(t, took(unloadOrder("b", 4), tamarackknot.OrderDone))
		require.Equal(t, 160*time.Millisecond, took(loadOrder("b", 16, 5), tamarackknot.OrderDone), "from host memory")
		took(unloadOrder("a", 6), tamarackknot.OrderDone)
		took(unloadOrder("b", 7), tamarackknot.OrderDone)
		require.Equal(t, 2*time.Second, took(loadOrder("a", 20, 8), tamarackknot.OrderDone), "a was evicted to disk when b was loaded")

		h := e.History()
		require.Equal(t, int64(36*mbPerGB), h.PeakMemoryMB("e1"))
		require.Empty(t, h.Exceeded())
		require.Equal(t, 1, h.NoMemory())
		require.Equal(t, 1, h.PeakReplicas("a"))
	})
}

// Guards against overcommitted memory that the history does not record.
func TestHistorySeesExceededMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEngine(func(c *EngineConfig) { c.Overcommit = true })
		e.Order(t.Context(), loadOrder("a", 30, 1))
		e.Order(t.Context(), loadOrder("b", 30, 2))
		require.Equal(t, []string{"e1"}, e.History().Exceeded())
	})
}

// Guards against a delayed order that takes effect after a later one on an
// engine with fencing. An engine without fencing must execute it, so that tests
// of its callers can detect the failure.
func TestEngineFencingOfDelayedOrder(t *testing.T) {
	for name, fencing := range map[string]bool{"honoured": true, "ignored": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := testEngine(func(c *EngineConfig) { c.Fencing = fencing })
				e.SetFaults(Faults{DelayOrder: time.Minute})
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				require.Equal(t, tamarackknot.OrderUnknown, e.Order(ctx, loadOrder("a", 8, 1)).Outcome)
				e.SetFaults(Faults{})
				require.Equal(t, tamarackknot.OrderDone, e.Order(t.Context(), unloadOrder("a", 2)).Outcome)
				time.Sleep(2 * time.Minute)
				if fencing {
					require.Empty(t, e.Loaded())
				} else {
					require.Len(t, e.Loaded(), 1)
				}
				require.Equal(t, 1, e.History().StaleFence())
			})
		})
	}
}

// Guards against an unload order that is lost because the target is still
// loading, and against adapters that stay loaded without their base model.
func TestEngineUnloadCancelsLoadAndKeepsBase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEngine(nil)
		results := make(chan tamarackknot.OrderOutcome, 1)
		go func() { results <- e.Order(t.Context(), loadOrder("a", 8, 1)).Outcome }()
		time.Sleep(time.Second)
		require.True(t, e.Loaded()[0].Loading)
		require.Equal(t, tamarackknot.OrderDone, e.Order(t.Context(), unloadOrder("a", 2)).Outcome)
		require.Equal(t, tamarackknot.OrderRefused, <-results)
		require.Empty(t, e.Loaded())

		adapter := loadOrder("x", 1, 3)
		adapter.Base = "a"
		require.Equal(t, tamarackknot.OrderRefused, e.Order(t.Context(), adapter).Outcome)
		require.Equal(t, tamarackknot.OrderDone, e.Order(t.Context(), loadOrder("a", 8, 4)).Outcome)
		require.Equal(t, tamarackknot.OrderDone, e.Order(t.Context(), adapter).Outcome)
		require.Equal(t, tamarackknot.OrderRefused, e.Order(t.Context(), unloadOrder("a", 5)).Outcome)
		e.SetFaults(Faults{Die: true})
		require.Empty(t, e.Loaded(), "a crash frees the accelerator memory")
		require.Equal(t, tamarackknot.OrderUnknown, e.Order(t.Context(), loadOrder("a", 8, 6)).Outcome)
	})
}

// Guards against reports and host lists that show changes before the lag has
// passed.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEngine(func(c *EngineConfig) { c.ReportLag = time.Second })
		l := NewHostList(3 * time.Second)
		time.Sleep(time.Minute)
		e.SetLeaving(true)
		l.Put(tamarackknot.Host{Name: "h"})
		time.Sleep(999 * time.Millisecond)
		r, err := e.Report(t.Context())
		require.NoError(t, err)
		require.False(t, r.Leaving)
		time.Sleep(time.Millisecond)
		r, err = e.Report(t.Context())
		require.NoError(t, err)
		require.True(t, r.Leaving)
		hosts, err := l.Hosts(t.Context())
		require.NoError(t, err)
		require.Empty(t, hosts)
		time.Sleep(2 * time.Second)
		hosts, err = l.Hosts(t.Context())
		require.NoError(t, err)
		require.Len(t, hosts, 1)
	})
}

// Guards against a store whose loads do not slow down when there are more than
// LoadsAtOnce, or that starts more loads than its rate limit allows.
func TestStoreLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewWeightStore(WeightStoreConfig{LoadsPerSecond: 4, Burst: 4, LoadsAtOnce: 2})
		start := time.Now()
		ends := make(chan time.Duration, 4)
		for range 4 {
			l, err := s.Start(10 * time.Second)
			require.NoError(t, err)
			go func() {
				if l.Wait(t.Context()) == nil {
					ends <- time.Since(start)
				}
			}()
		}
		_, err := s.Start(time.Second)
		var busy *StoreBusyError
		require.ErrorAs(t, err, &busy)
		require.Equal(t, 250*time.Millisecond, busy.RetryAt.Sub(start))
		for range 4 {
			require.InDelta(t, 20, (<-ends).Seconds(), 0.001, "four loads share the speed of two")
		}
		s.SetSpeed(0)
		l, err := s.Start(time.Second)
		require.NoError(t, err)
		time.AfterFunc(time.Hour, func() { s.SetSpeed(0.5) })
		start = time.Now()
		require.NoError(t, l.Wait(t.Context()))
		require.InDelta(t, 3602, time.Since(start).Seconds(), 0.001)
	})
}

// Guards against dropped requests that still take effect, and against dropped
// answers whose order has no effect or whose result is known.
func TestEnginesPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEngine(nil)
		s := NewEngines()
		s.Put("10.0.0.1:1", e)
		order := func(address string, o tamarackknot.Order) tamarackknot.OrderOutcome {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			return s.Order(ctx, address, o).Outcome
		}
		require.Equal(t, tamarackknot.OrderRefused, order("10.0.0.2:1", loadOrder("a", 1, 1)))
		s.Partition("10.0.0.1:1", true, false)
		require.Equal(t, tamarackknot.OrderRefused, order("10.0.0.1:1", loadOrder("a", 1, 1)))
		_, err := s.Report(t.Context(), "10.0.0.1:1")
		require.Error(t, err)
		require.Empty(t, e.Loaded())
		s.Partition("10.0.0.1:1", false, true)
		require.Equal(t, tamarackknot.OrderUnknown, order("10.0.0.1:1", loadOrder("a", 1, 1)))
		require.Len(t, e.Loaded(), 1)
		s.Partition("10.0.0.1:1", false, false)
		require.Equal(t, tamarackknot.OrderDone, order("10.0.0.1:1", unloadOrder("a", 2)))
	})
}
