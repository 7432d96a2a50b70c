package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 200) }

// replay is a load on a budget, with a clock of its own.
type replay struct {
	t      *testing.T
	now    time.Time
	budget *Budget
	group  *Group
	// evicted are the names of the connections that were closed for others, in order.
	evicted []string
}

func newReplay(t *testing.T, memoryMB, connections int) *replay {
	t.Helper()
	now := time.Unix(1_800_000_000, 0)
	b := New(Config{Bytes: BytesOfHost(memoryMB), Connections: connections}, now)
	return &replay{t: t, now: now, budget: b, group: b.Group(GroupConfig{Kind: Connections, Bytes: ConnectionBytes, Shared: true})}
}

// open opens a connection that is closed once it has been chosen to.
func (r *replay) open(name string) *Account {
	var a *Account
	a, _ = r.group.Open(r.now, func(Activity) {
		r.evicted = append(r.evicted, name)
		a.Close()
	})
	return a
}

// read holds n bytes of a body in steps, as they arrive, and reports whether all of them fit.
func (r *replay) read(a *Account, n int) bool {
	const step = 64 << 10
	a.Set(ReadingBody, r.now)
	for ; n > 0; n -= step {
		if !a.Hold(Bodies, min(n, step), r.now) {
			return false
		}
		a.Progress(min(n, step), r.now)
	}
	return true
}

// TestLoads guards against loads that keep ordinary requests out, and against requests within
// the limits that are refused in calm.
func TestLoads(t *testing.T) {
	const limitBytes = 4 << 20
	ordinary := func(r *replay) {
		for range 20 {
			a := r.open("ordinary")
			require.NotNil(r.t, a)
			require.True(r.t, a.Hold(Heads, 2000, r.now) && r.read(a, 16<<10), "an ordinary request")
			a.Set(Serving, r.now)
			require.True(r.t, a.Hold(Requests, RequestBytes, r.now) && a.Hold(Answers, 16<<10, r.now), "an ordinary request")
			a.Close()
		}
		require.NotContains(r.t, r.evicted, "ordinary")
	}
	for name, load := range map[string]func(r *replay){
		"one request at the limits": func(r *replay) {
			a := r.open("limit")
			require.True(r.t, a.Admits(Bodies, limitBytes, r.now))
			require.True(r.t, r.read(a, limitBytes))
			require.True(r.t, a.Hold(Requests, RequestBytes, r.now) && a.Hold(Answers, 8<<20, r.now))
		},
		"bodies short of their end": func(r *replay) {
			for range 150 {
				r.read(r.open("hostile"), limitBytes-1)
			}
			require.NotEmpty(r.t, r.evicted)
			r.now = r.now.Add(2 * time.Second)
			require.True(r.t, r.read(r.open("new"), limitBytes-1), "one that makes progress replaces one that does not")
		},
		"bodies that make progress": func(r *replay) {
			whole := 0
			for range 20 {
				if r.read(r.open("large"), limitBytes) {
					whole++
				}
			}
			require.GreaterOrEqual(r.t, whole, 3, "the first ones complete")
			require.Empty(r.t, r.evicted)
		},
		"a byte now and then is no progress": func(r *replay) {
			a := r.open("drips")
			require.True(r.t, r.read(a, limitBytes-1000))
			for range 100 {
				r.now = r.now.Add(50 * time.Millisecond)
				a.Progress(1, r.now)
			}
			for range 5 {
				r.read(r.open("large"), limitBytes)
			}
			require.Equal(r.t, []string{"drips"}, r.evicted)
		},
		"requests that wait for an endpoint": func(r *replay) {
			for a := r.open("serving"); a != nil && a.Hold(Requests, RequestBytes, r.now); a = r.open("serving") {
				a.Set(Serving, r.now)
			}
			require.Nil(r.t, r.open("new"), "none of them is closed for another one")
			require.Empty(r.t, r.evicted)
			r.budget = nil
		},
		"silent connections": func(r *replay) {
			kept := r.open("kept")
			kept.Set(Serving, r.now)
			kept.Set(Idle, r.now)
			r.now = r.now.Add(12 * time.Second)
			for range 2000 {
				r.open("silent")
				r.now = r.now.Add(10 * time.Millisecond)
			}
			require.NotContains(r.t, r.evicted, "kept")
		},
		"answers that are not read": func(r *replay) {
			for range 100 {
				a := r.open("reader")
				a.Hold(Answers, 2<<20, r.now)
				a.Set(Writing, r.now)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t, 144, 400)
			load(r)
			if r.budget != nil {
				ordinary(r)
			}
		})
	}
}

// TestRandomLoads guards against more memory than the budget has, and against memory that stays
// held after the connections have been closed.
func TestRandomLoads(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newReplay(t, rapid.IntRange(16, 536).Draw(rt, "memoryMB"), rapid.IntRange(0, 30).Draw(rt, "connections"))
		var open []*Account
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			r.now = r.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			step := rapid.IntRange(0, 5).Draw(rt, "step")
			if step == 0 || len(open) == 0 {
				if a := r.open("a"); a != nil {
					open = append(open, a)
				}
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(rt, "connection")
			kind := Kind(rapid.IntRange(0, int(kinds)-1).Draw(rt, "kind"))
			bytes := rapid.IntRange(0, 8<<20).Draw(rt, "bytes")
			switch step {
			case 1:
				open[i].Set(Activity(rapid.IntRange(0, int(Writing)).Draw(rt, "activity")), r.now)
			case 2:
				open[i].Release(kind, bytes)
			case 3:
				open[i].Close()
			default:
				open[i].Hold(kind, bytes, r.now)
			}
			sum := int64(0)
			for _, k := range Kinds() {
				sum += r.budget.Used(k)
			}
			require.LessOrEqual(rt, sum, r.budget.cfg.Bytes)
		}
		for _, a := range open {
			a.Close()
		}
		require.Equal(rt, [kinds]int64{}, r.budget.used)
		require.Zero(rt, r.budget.leaving+int64(r.budget.closing+r.budget.shared+r.group.open+len(r.budget.accounts)))
	})
}
