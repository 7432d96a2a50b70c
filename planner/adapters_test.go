package planner

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

// askForAdapters asks for adapters at random in bursts, as hosts do: each is wanted until it is
// usable. The engines have places for a quarter of the adapters. It returns the mean time until
// they were usable.
func (h *harness) askForAdapters(engines int) time.Duration {
	const ticks, burst = 6000, 35
	rnd := rand.New(rand.NewPCG(1, 2))
	wanted := make(map[modelAdapter]time.Time)
	total, n := time.Duration(0), 0
	for tick := range ticks {
		now := time.Now()
		if tick%burst == 0 {
			for range 1 + tick/burst%3 {
				k := modelAdapter{fmt.Sprintf("m%02d", rnd.IntN(3*engines)), fmt.Sprintf("a%d", rnd.IntN(12))}
				if _, asked := wanted[k]; !asked && !h.viewHolds(k.model, k.adapter) {
					wanted[k] = now
				}
			}
		}
		adapters := make(map[string][]string)
		for k, since := range wanted {
			if h.viewHolds(k.model, k.adapter) {
				total, n = total+now.Sub(since), n+1
				delete(wanted, k)
				continue
			}
			adapters[k.model] = append(adapters[k.model], k.adapter)
		}
		var demand []tamarackknot.ModelDemand
		for model, names := range adapters {
			demand = append(demand, waitingDemand(model, names...))
		}
		h.setDemand(demand...)
		time.Sleep(10 * time.Millisecond)
	}
	return total / time.Duration(max(n, 1))
}

// countings are the ways in which engines may count orders for adapters.
func countings() map[string]fake.AdapterCounting {
	return map[string]fake.AdapterCounting{
		"as assumed":                                    {},
		"idle evictions don't count":                    {NotEvict: true},
		"evictions count twice":                         {EvictTwice: true},
		"loads count when they have ended":              {LoadEnd: true, NotLoadStart: true},
		"loads count twice":                             {LoadEnd: true},
		"loads count at the end, evictions don't":       {LoadEnd: true, NotLoadStart: true, NotEvict: true},
		"loads count twice, idle evictions don't":       {LoadEnd: true, NotEvict: true},
		"loads count at the end, evictions count twice": {LoadEnd: true, NotLoadStart: true, EvictTwice: true},
	}
}

// count makes the engines count orders for adapters in a way, and take time to load them.
func (h *harness) count(counting fake.AdapterCounting) {
	for id := range h.entries {
		h.weights.Configure(id, func(e *fake.WeightEngine) { e.Counting, e.AdapterTime = counting, 20*time.Millisecond })
	}
}

// TestAdapterOrders guards against orders for adapters that engines refuse because the planner
// assumes another sequence than they count, and against requests that therefore wait for
// adapters, or cause loads of models that engines hold already.
func TestAdapterOrders(t *testing.T) {
	const engines = 2
	for name, counting := range countings() {
		for _, lag := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, reports %v old", name, lag), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHarness(t, engines)
					h.weights.Lag = lag
					h.count(counting)
					_, stop := h.start()
					defer stop()
					time.Sleep(time.Second)
					wait := h.askForAdapters(engines)
					refused, orders, models := 0, h.weights.Orders(), 0
					for id := range h.entries {
						refused += h.weights.Conflicts(id)
					}
					for _, o := range orders {
						if o.Adapter == "" {
							models++
						}
					}
					t.Logf("refused %d of %d orders, mean wait %v", refused, len(orders), wait)
					require.Greater(t, len(orders), 300)
					require.Less(t, refused*50, len(orders))
					require.Less(t, wait, 120*time.Millisecond)
					require.Zero(t, models, "orders for models")
					require.Zero(t, h.crashes())
				})
			})
		}
	}
}

// TestLateAdapterOrders guards against more adapters than an engine has places for, because orders
// are executed late by engines that count otherwise than assumed.
func TestLateAdapterOrders(t *testing.T) {
	for name, counting := range countings() {
		t.Run(name, func(t *testing.T) {
			for seed := range 8 {
				synctest.Test(t, func(t *testing.T) {
					h := newHarness(t, 2)
					h.count(counting)
					_, stop := h.start()
					defer stop()
					rnd := rand.New(rand.NewPCG(uint64(seed), 0))
					for i := range 40 {
						if i%3 == 0 {
							h.weights.DelayOrders(rnd.IntN(5), time.Duration(1+rnd.IntN(6))*time.Second)
						}
						adapter := func() string { return fmt.Sprintf("a%d", rnd.IntN(12)) }
						h.setDemand(waitingDemand(fmt.Sprintf("m%02d", rnd.IntN(6)), adapter(), adapter()), waitingDemand(fmt.Sprintf("m%02d", rnd.IntN(8)), adapter()))
						time.Sleep(time.Duration(100+rnd.IntN(900)) * time.Millisecond)
					}
					time.Sleep(10 * time.Second)
					require.Zero(t, h.crashes(), "seed %d", seed)
				})
			}
		})
	}
}

// TestUnansweredAhead guards against an unanswered order that an engine executes late, because
// later orders bring its sequence up to one that was assumed too high.
func TestUnansweredAhead(t *testing.T) {
	for name, tt := range map[string]struct {
		sequence int64
		enforced bool
		orders   bool
	}{
		"at the sequence of the order":     {sequence: 7, enforced: true, orders: true},
		"before it":                        {sequence: 6, enforced: true},
		"before it, tokens aren't checked": {sequence: 6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 1)
				c := New(Config{Lease: h, FencingEnforced: tt.enforced, Logger: log.New(io.Discard), Publish: func(tamarackknot.FleetView) {}})
				e := newEngine(h.entries["e0"])
				e.spec, c.engines["e0"] = h.spec, e
				e.unansweredAt, e.unansweredSequence = time.Now(), 7
				report := tamarackknot.EngineReport{Born: e.born, Sequence: tt.sequence, Held: []tamarackknot.HeldModel{{Name: "m00"}}}
				mayOrder := func() bool {
					_, _, ok := c.chooseAdapterEngine(h.spec, modelKey{"s", "m00"}, "a1", time.Now())
					return ok
				}
				time.Sleep(300 * time.Millisecond)
				c.applyReport(e, report)
				require.Equal(t, tt.orders, mayOrder())
				time.Sleep(600 * time.Millisecond) // the lease has a higher token
				c.applyReport(e, report)
				require.Equal(t, tt.orders || tt.enforced, mayOrder())
				time.Sleep(lateOrderWindow)
				c.applyReport(e, report)
				require.True(t, mayOrder())
			})
		})
	}
}

// TestReportAfterRefusal guards against an engine that gets no orders for long because it refused
// one, and against orders that it refuses again and again while its reports are older than the
// cause.
func TestReportAfterRefusal(t *testing.T) {
	for name, tt := range map[string]struct {
		sequence int64
		resumes  time.Duration
	}{
		"a report with another sequence": {sequence: 9},
		"one with the same":              {sequence: 7, resumes: 2 * reportLag},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 1)
				c := New(Config{Lease: h, Control: h.weights, Logger: log.New(io.Discard), Publish: func(tamarackknot.FleetView) {}})
				e := newEngine(h.entries["e0"])
				e.spec, c.engines["e0"], e.reported, e.sequence = h.spec, e, true, 7
				started := time.Now()
				order := tamarackknot.WeightOrder{Kind: tamarackknot.WeightLoad, Model: "m00", Adapter: "a1"}
				require.Equal(t, tamarackknot.WeightConflict, c.order(t.Context(), e, order))
				for !e.reported {
					c.applyReport(e, tamarackknot.EngineReport{Born: e.born, Sequence: tt.sequence, Held: []tamarackknot.HeldModel{{Name: "m00"}}})
					time.Sleep(10 * time.Millisecond)
				}
				require.InDelta(t, tt.resumes, time.Since(started), float64(20*time.Millisecond))
			})
		})
	}
}

// TestReportAfterModelEviction guards against reports that are left aside because they don't show
// an adapter whose model has been evicted since.
func TestReportAfterModelEviction(t *testing.T) {
	var x executedOrders
	x.record(tamarackknot.WeightOrder{Kind: tamarackknot.WeightLoad, Model: "m", Adapter: "a"}, tamarackknot.WeightAccepted)
	require.False(t, x.reflectedIn(tamarackknot.EngineReport{}))
	x.record(tamarackknot.WeightOrder{Kind: tamarackknot.WeightEvict, Model: "m"}, tamarackknot.WeightAccepted)
	require.True(t, x.reflectedIn(tamarackknot.EngineReport{}))
}
