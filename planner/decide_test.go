package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// testSpec returns engines with memory for three models of 70 GB.
func testSpec(models int) *tamarackknot.EngineSpec {
	s := &tamarackknot.EngineSpec{
		Slots: 64, WeightsMB: 220000, AdapterSlots: 8, CacheMB: 150000, DiskMB: 1500000, LoadsPerSecond: 4,
		Models: make(map[string]tamarackknot.HostedModel),
	}
	for i := range models {
		name := fmt.Sprintf("m%02d", i)
		s.Models[name] = tamarackknot.HostedModel{
			Name: name, WeightsMB: 70000,
			LoadRemote: 6 * time.Second, LoadDisk: 1700 * time.Millisecond, LoadMemory: 800 * time.Millisecond,
		}
	}
	return s
}

func held(names ...string) []HeldState {
	var out []HeldState
	for _, n := range names {
		out = append(out, HeldState{Model: n})
	}
	return out
}

func onDisk(names ...string) map[string]bool {
	out := make(map[string]bool)
	for _, n := range names {
		out[n] = true
	}
	return out
}

// testNow is an arbitrary time well after the zero time.
func testNow() time.Time { return time.Date(2026, 3, 12, 3, 0, 0, 0, time.UTC) }

// waiting is the demand of one request whose objective is the given number of
// seconds away.
func waiting(seconds float64) ModelState {
	at := testNow().Add(time.Duration(seconds * float64(time.Second)))
	return ModelState{Waiting: 1, Objective: at, Deadline: at.Add(10 * time.Second), Total: 1, LastUsed: testNow()}
}

// TestDecide guards against a model loaded on the wrong engine or at the
// expense of one that must stay.
func TestDecide(t *testing.T) {
	now := testNow()
	idle := ModelState{Total: 1, LastUsed: now.Add(-time.Minute)}
	cases := map[string]struct {
		engines []EngineState
		models  map[string]ModelState
		cold    int
		moves   []Move
	}{
		"an idle model with a new request is loaded where it is cached": {
			engines: []EngineState{
				{ID: "a", Held: held("m00", "m01", "m02"), OnDisk: onDisk("m00", "m01", "m02")},
				{ID: "b", Held: held("m03", "m04", "m05"), OnDisk: onDisk("m03", "m04", "m05", "m06")},
			},
			models: map[string]ModelState{"m06": waiting(4), "m03": idle, "m04": idle, "m05": idle},
			moves:  []Move{{Engine: "b", Model: "m06", Tier: tamarackknot.TierDisk, Evict: []string{"m03"}}},
		},
		"a model on an engine whose next report is awaited is not loaded elsewhere": {
			engines: []EngineState{
				{ID: "a", Held: held("m06"), OnDisk: onDisk("m06"), Unsettled: true},
				{ID: "b", Held: held("m03"), OnDisk: onDisk("m03", "m06")},
			},
			models: map[string]ModelState{"m06": waiting(4)},
		},
		"a model whose only replica is on a limited engine is loaded elsewhere": {
			engines: []EngineState{
				{ID: "a", Held: held("m06"), OnDisk: onDisk("m06"), Limited: true},
				{ID: "b", Held: held("m03"), OnDisk: onDisk("m03", "m06")},
				{ID: "c", OnDisk: onDisk("m06"), InMemory: onDisk("m06"), Limited: true},
			},
			models: map[string]ModelState{"m06": waiting(4)},
			moves:  []Move{{Engine: "b", Model: "m06", Tier: tamarackknot.TierDisk}},
		},
		"while all engines are limited they are used": {
			engines: []EngineState{
				{ID: "a", Held: held("m03"), OnDisk: onDisk("m03", "m06"), Limited: true},
			},
			models: map[string]ModelState{"m06": waiting(4)},
			moves:  []Move{{Engine: "a", Model: "m06", Tier: tamarackknot.TierDisk}},
		},
		"a model cached in memory is preferred to one on disk": {
			engines: []EngineState{
				{ID: "a", Held: held("m00"), OnDisk: onDisk("m00", "m06")},
				{ID: "b", Held: held("m03"), OnDisk: onDisk("m03", "m06"), InMemory: onDisk("m06")},
			},
			models: map[string]ModelState{"m06": waiting(4)},
			moves:  []Move{{Engine: "b", Model: "m06", Tier: tamarackknot.TierMemory}},
		},
		"a model with running requests is not evicted": {
			engines: []EngineState{
				{ID: "a", Held: []HeldState{{Model: "m00", Running: 1}, {Model: "m01", Running: 1}, {Model: "m02", Running: 1}}, OnDisk: onDisk("m06")},
			},
			models: map[string]ModelState{"m06": waiting(4)},
		},
		"a model that was just loaded is not evicted": {
			engines: []EngineState{
				{ID: "a", Held: []HeldState{{Model: "m00", LoadedAt: now}, {Model: "m01", LoadedAt: now}, {Model: "m02", LoadedAt: now}}, OnDisk: onDisk("m06")},
			},
			models: map[string]ModelState{"m06": waiting(4)},
		},
		"a model being loaded is not loaded again": {
			engines: []EngineState{
				{ID: "a", Held: held("m00"), Loading: "m06", FreeAt: now.Add(time.Second), OnDisk: onDisk("m00", "m06")},
				{ID: "b", Held: held("m01"), OnDisk: onDisk("m01", "m06")},
			},
			models: map[string]ModelState{"m06": waiting(4)},
		},
		"waits for a busy engine with the model on disk that is free soon": {
			engines: []EngineState{
				{ID: "a", Held: held("m00"), Loading: "m01", FreeAt: now.Add(500 * time.Millisecond), OnDisk: onDisk("m00", "m06")},
				{ID: "b", Held: held("m02"), OnDisk: onDisk("m02")},
			},
			models: map[string]ModelState{"m06": waiting(4)},
		},
		"a busy model gets a second replica": {
			engines: []EngineState{
				{ID: "a", Held: held("m00"), OnDisk: onDisk("m00")},
				{ID: "b", Held: held("m01"), OnDisk: onDisk("m01", "m00")},
			},
			models: map[string]ModelState{"m00": {Running: 20, Load: 5, Total: 100, Objective: now, Deadline: now}},
			moves:  []Move{{Engine: "b", Model: "m00", Tier: tamarackknot.TierDisk}},
		},
		"a replica for an overloaded engine goes before a model whose requests can wait": {
			engines: []EngineState{
				{ID: "a", Load: 30, Held: held("m00", "m01"), OnDisk: onDisk("m00", "m01")},
				{ID: "b", Load: 2, Held: held("m02"), OnDisk: onDisk("m00", "m01", "m02", "m06")},
			},
			models: map[string]ModelState{
				"m00": {Running: 3, Load: 3, Total: 100, Objective: now, Deadline: now},
				"m06": waiting(4),
			},
			moves: []Move{{Engine: "b", Model: "m00", Tier: tamarackknot.TierDisk}},
		},
		"the model whose requests can wait for a load is evicted": {
			engines: []EngineState{
				{ID: "a", Held: held("m00", "m01", "m02"), OnDisk: onDisk("m00", "m01", "m02", "m06")},
			},
			models: map[string]ModelState{
				"m06": waiting(4),
				"m00": {Total: 10, TightTotal: 10, Rate: 1, LastUsed: now.Add(-10 * time.Second)},
				"m01": {Total: 10, Rate: 1, LastUsed: now.Add(-10 * time.Second)},
				"m02": {Total: 10, TightTotal: 10, Rate: 1, LastUsed: now.Add(-10 * time.Second)},
			},
			moves: []Move{{Engine: "a", Model: "m06", Tier: tamarackknot.TierDisk, Evict: []string{"m01"}}},
		},
		"an unavailable engine gets no orders": {
			engines: []EngineState{{ID: "a", Unavailable: true, OnDisk: onDisk("m06")}},
			models:  map[string]ModelState{"m06": waiting(4)},
		},
		"no loads from the weight store beyond the limit": {
			engines: []EngineState{{ID: "a", Held: held("m00"), OnDisk: onDisk("m00")}},
			models:  map[string]ModelState{"m06": waiting(4)},
			cold:    4,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := ServiceState{Now: now, Service: "s", Spec: testSpec(7), Engines: c.engines, Models: c.models, ColdLoads: c.cold, ColdLimit: 4, ColdBudget: 4, Prefetch: true}
			var moves []Move
			for _, m := range Decide(s).Moves {
				if !m.Prefetch {
					moves = append(moves, m)
				}
			}
			require.Equal(t, c.moves, moves)
		})
	}
}

// TestPrefetch guards against an idle weight store while there are models that
// no engine has cached, and against more loads than the store permits.
func TestPrefetch(t *testing.T) {
	s := ServiceState{Now: testNow(), Service: "s", Spec: testSpec(12), ColdLimit: 2, ColdBudget: 4, Prefetch: true}
	for _, id := range []string{"a", "b", "c"} {
		s.Engines = append(s.Engines, EngineState{ID: id, Held: held("m00", "m01"), OnDisk: onDisk("m00", "m01")})
	}
	d := Decide(s)
	require.Len(t, d.Moves, 2)
	for _, m := range d.Moves {
		require.True(t, m.Prefetch)
		require.Equal(t, tamarackknot.TierRemote, m.Tier)
	}
	require.NotEqual(t, d.Moves[0].Engine, d.Moves[1].Engine)
	s.ColdBudget = 0
	require.Empty(t, Decide(s).Moves)
}

// TestReplicaWhereSlotsAreFew guards against a model that is loaded from the weight store again
// only once its replica has no free slot, so that its load can't grow any more.
func TestReplicaWhereSlotsAreFew(t *testing.T) {
	for name, tt := range map[string]struct {
		slots int
		load  float64
		moves int
	}{
		"few slots, half of them busy": {slots: 8, load: 4.5},
		"few slots, most of them busy": {slots: 8, load: 6.5, moves: 1},
		"many slots":                   {slots: 64, load: 6.5},
	} {
		t.Run(name, func(t *testing.T) {
			s := ServiceState{Now: testNow(), Service: "s", Spec: testSpec(2), ColdLimit: 1, ColdBudget: 1, Prefetch: true}
			s.Spec.Slots = tt.slots
			s.Engines = []EngineState{{ID: "a", Held: held("m00"), OnDisk: onDisk("m00", "m01")}, {ID: "b"}}
			s.Models = map[string]ModelState{"m00": {Running: int(tt.load), Load: tt.load, Total: 100}}
			require.Len(t, Decide(s).Moves, tt.moves)
		})
	}
}

// TestForecast guards against requests that wait without a forecast while the
// weight store is busy. Each further model takes another load time.
func TestForecast(t *testing.T) {
	s := ServiceState{Now: testNow(), Service: "s", Spec: testSpec(12), ColdLoads: 1, ColdLimit: 1, ColdBudget: 4, Prefetch: true, Models: make(map[string]ModelState)}
	s.Engines = []EngineState{{ID: "a", Held: held("m00"), OnDisk: onDisk("m00")}}
	for i := 5; i < 9; i++ {
		s.Models[fmt.Sprintf("m%02d", i)] = waiting(float64(i))
	}
	d := Decide(s)
	require.Len(t, d.Forecasts, 4)
	for i, f := range d.Forecasts {
		require.Equal(t, s.Now.Add(time.Duration(i+2)*6*time.Second), f.ReadyAt)
	}
}

// TestNeverOvercommits guards against plans that exceed the memory of an
// engine, in many generated states.
func TestNeverOvercommits(t *testing.T) {
	spec := testSpec(20)
	for seed := range 300 {
		s := ServiceState{Now: testNow(), Service: "s", Spec: spec, ColdLimit: 3, ColdBudget: 3, Prefetch: true, Models: make(map[string]ModelState)}
		for e := range 4 {
			state := EngineState{ID: fmt.Sprintf("e%d", e), OnDisk: make(map[string]bool)}
			for i := range 3 {
				name := fmt.Sprintf("m%02d", (seed*7+e*3+i*(1+seed%3))%20)
				if !state.holds(name) {
					state.Held = append(state.Held, HeldState{Model: name, Running: (seed + i) % 2})
				}
				state.OnDisk[fmt.Sprintf("m%02d", (seed+e+i*5)%20)] = true
			}
			s.Engines = append(s.Engines, state)
		}
		for i := range 10 {
			s.Models[fmt.Sprintf("m%02d", (seed*3+i)%20)] = waiting(float64(i % 5))
		}
		seen := make(map[string]bool)
		for _, m := range Decide(s).Moves {
			require.False(t, seen[m.Engine], "two moves at one engine")
			seen[m.Engine] = true
			used := spec.Models[m.Model].WeightsMB
			for _, e := range s.Engines {
				if e.ID != m.Engine {
					continue
				}
				for _, h := range e.Held {
					evicted := false
					for _, v := range m.Evict {
						evicted = evicted || v == h.Model
					}
					if !evicted {
						used += spec.Models[h.Model].WeightsMB
					} else {
						require.Zero(t, h.Running)
					}
				}
			}
			require.LessOrEqual(t, used, spec.WeightsMB)
		}
	}
}
