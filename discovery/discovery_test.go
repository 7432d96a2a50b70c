package discovery

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
	"tamarackknot.example/tamarackknot/internal/wait"
)

func decode(rec tamarackknot.KeyedRecord, _ time.Time) (tamarackknot.EndpointEntry, error) {
	var e tamarackknot.EndpointEntry
	if err := json.Unmarshal(rec.Value, &e); err != nil {
		return e, err
	}
	e.ID = rec.Key
	if e.Service == "" {
		return e, errors.New("no service")
	}
	return e, nil
}

// harness is a fake store that the test writes to.
type harness struct {
	t     *testing.T
	store *fake.Streams
}

func (h harness) put(id string, state tamarackknot.EndpointState) {
	value, err := json.Marshal(tamarackknot.EndpointEntry{Service: "s", Address: "10.0.0.1:80", State: state})
	require.NoError(h.t, err)
	h.raw(id, value)
}

// putBorn registers an endpoint that started at a time, in Unix seconds.
func (h harness) putBorn(id string, state tamarackknot.EndpointState, born int64) {
	value, err := json.Marshal(tamarackknot.EndpointEntry{Service: "s", Address: "10.0.0.1:80", State: state, Born: time.Unix(born, 0)})
	require.NoError(h.t, err)
	h.raw(id, value)
}

func (h harness) raw(id string, value []byte) {
	_, err := h.store.Put(context.Background(), tamarackknot.StreamEndpoints, id, value)
	require.NoError(h.t, err)
}

func start(t *testing.T, cfg Config) (harness, *Watcher, context.CancelFunc) {
	t.Helper()
	h := harness{t, fake.NewStreams()}
	cfg.Store, cfg.Decode, cfg.Logger = h.store.Client("a"), decode, log.New(io.Discard)
	if cfg.RecoveryTime == 0 {
		cfg.RecoveryTime = 3 * time.Second
	}
	w := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	return h, w, func() {
		cancel()
		synctest.Wait()
	}
}

func usable(w *Watcher) []string { return w.Current().ByService["s"] }

// TestUnavailableEndpoints guards against new requests for endpoints that drain or
// were removed, and against invalid entries that break the list.
func TestUnavailableEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, w, stop := start(t, Config{})
		defer stop()
		h.put("e1", tamarackknot.EndpointReady)
		h.put("e2", tamarackknot.EndpointReady)
		h.put("e3", tamarackknot.EndpointReady)
		time.Sleep(time.Second)
		require.Equal(t, []string{"e1", "e2", "e3"}, usable(w))
		h.put("e1", tamarackknot.EndpointDraining)
		h.raw("e2", nil)
		h.raw("e4", []byte("unreadable"))
		h.raw("", []byte("no key"))
		time.Sleep(time.Second)
		require.Equal(t, []string{"e3"}, usable(w))
		h.store.ExpireAll(tamarackknot.StreamEndpoints)
		h.put("e5", tamarackknot.EndpointReady)
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"e3", "e5"}, usable(w))
	})
}

// TestMissingEntries guards against a list that becomes empty when entries expire
// during an outage of the store, and against expired entries that are never
// removed.
func TestMissingEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, w, stop := start(t, Config{})
		defer stop()
		h.put("e1", tamarackknot.EndpointReady)
		h.put("e2", tamarackknot.EndpointReady)
		time.Sleep(time.Second)
		h.store.SetDown("a", true)
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"e1", "e2"}, usable(w))
		h.raw("e1", nil)
		h.raw("e2", nil)
		h.store.SetDown("a", false)
		time.Sleep(time.Second)
		require.Equal(t, []string{"e1", "e2"}, usable(w))
		h.put("e1", tamarackknot.EndpointReady)
		time.Sleep(4 * time.Second)
		require.Equal(t, []string{"e1"}, usable(w))
	})
}

// TestRemovalAfterAbsence guards against a host that was cut off from a store which others
// could reach, and then keeps entries that endpoints removed; and against one that believes
// removals after an outage of the store, in which entries expire.
func TestRemovalAfterAbsence(t *testing.T) {
	const (
		heartbeat = 1200 * time.Millisecond
		// toldTime is within how long a removal must be applied: the rest of 2 s is for the
		// requests that are on their way.
		toldTime = 1500 * time.Millisecond
	)
	cases := map[string]struct {
		away    time.Duration
		outage  bool          // nobody reaches the store
		planner bool          // another host plans, and has read the store before
		removed time.Duration // after the return
		kept    bool
	}{
		"the host was away":                         {away: 3500 * time.Millisecond, removed: 500 * time.Millisecond},
		"the host was away for long":                {away: 12 * time.Second, removed: 500 * time.Millisecond},
		"the host was away, the planner was not":    {away: 3500 * time.Millisecond, planner: true, removed: 500 * time.Millisecond},
		"the host was away briefly":                 {away: 1500 * time.Millisecond, removed: 500 * time.Millisecond},
		"the store was away":                        {away: 5 * time.Second, outage: true, removed: 300 * time.Millisecond, kept: true},
		"the store was away, entries expired there": {away: 5 * time.Second, outage: true, removed: 0, kept: true},
		"the store was away, the planner too":       {away: 5 * time.Second, outage: true, planner: true, removed: 300 * time.Millisecond, kept: true},
		"the store was away for two heartbeats":     {away: 2*heartbeat + 100*time.Millisecond, outage: true, removed: 300 * time.Millisecond, kept: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var plannerSince atomic.Pointer[time.Time] // nil while the planner is not heard
				var store atomic.Pointer[fake.Streams]
				cfg := Config{Heartbeat: heartbeat, PlannerState: func() (tamarackknot.StreamState, string, bool) {
					since := plannerSince.Load()
					if since == nil {
						return tamarackknot.StreamState{}, "", false
					}
					return tamarackknot.StreamState{Version: time.Now().UnixNano(), ReadAt: time.Now(), ReadableSince: *since}, "p", true
				}, ReadHost: func(ctx context.Context, host string, from tamarackknot.Position, _ func(string) bool) (tamarackknot.StreamPage, error) {
					page, err := store.Load().Client(host).Read(ctx, tamarackknot.StreamEndpoints, from, time.Now())
					page.Relayed = true
					return page, err
				}}
				started := time.Now()
				h, w, stop := start(t, cfg)
				defer stop()
				store.Store(h.store)
				var silent atomic.Bool
				ctx, cancel := context.WithCancel(t.Context())
				for i, id := range []string{"e1", "e2", "e3", "e4"} {
					go func() {
						for wait.For(ctx, time.Duration(i)*heartbeat/4); ctx.Err() == nil; wait.For(ctx, heartbeat) {
							if !silent.Load() {
								h.put(id, tamarackknot.EndpointReady)
							}
						}
					}()
				}
				h.put("x", tamarackknot.EndpointReady)
				time.Sleep(4 * time.Second)
				require.Contains(t, usable(w), "x")
				h.store.SetDown("a", true)
				silent.Store(tc.outage)
				time.Sleep(tc.away)
				h.store.SetDown("a", false)
				silent.Store(false)
				if tc.planner {
					since := started
					if tc.outage {
						since = time.Now()
					}
					plannerSince.Store(&since)
				}
				time.Sleep(tc.removed)
				h.raw("x", nil)
				time.Sleep(toldTime)
				require.Equal(t, tc.kept, slices.Contains(usable(w), "x"))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestMissingEntryOfFollowers guards against grace periods of a removed entry that add up: the
// planner's, and after it those of the hosts that follow it; and against an entry that returns
// to the planner only.
func TestMissingEntryOfFollowers(t *testing.T) {
	const recoveryTime = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		var h harness
		planner := New(Config{Decode: decode, Logger: log.New(io.Discard), RecoveryTime: recoveryTime, HasFollowers: func() bool { return true }})
		h, w, stop := start(t, Config{
			RecoveryTime: recoveryTime,
			PlannerState: func() (tamarackknot.StreamState, string, bool) { return planner.State(), "p", true },
			ReadHost: func(ctx context.Context, _ string, from tamarackknot.Position, _ func(string) bool) (tamarackknot.StreamPage, error) {
				return h.store.Read(ctx, tamarackknot.StreamEndpoints, from, time.Now())
			},
		})
		defer stop()
		planner.cfg.Store = h.store.Client("p")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go planner.Run(ctx)
		for _, id := range []string{"e1", "e2", "e3"} {
			h.put(id, tamarackknot.EndpointReady)
		}
		time.Sleep(2 * time.Second)
		for _, host := range []string{"p", "a"} {
			h.store.SetDown(host, true)
		}
		time.Sleep(3 * time.Second)
		for _, host := range []string{"p", "a"} {
			h.store.SetDown(host, false)
		}
		time.Sleep(time.Second)
		require.Equal(t, []string{"e1", "e2", "e3"}, usable(w))
		h.raw("e1", nil)
		h.raw("e2", nil)
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"e1", "e2", "e3"}, usable(planner), "they may have expired during the outage")
		h.put("e2", tamarackknot.EndpointReady)
		time.Sleep(missingGrace - time.Second)
		require.Equal(t, []string{"e2", "e3"}, usable(planner))
		require.Equal(t, []string{"e2", "e3"}, usable(w))
	})
}

// TestStalePlanner guards against a host that keeps following a planner which
// stopped reading the list.
func TestStalePlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var state atomic.Pointer[tamarackknot.StreamState]
		state.Store(&tamarackknot.StreamState{})
		var relayed atomic.Int32
		var h harness
		var w *Watcher
		h, w, stop := start(t, Config{
			PlannerState: func() (tamarackknot.StreamState, string, bool) { return *state.Load(), "p", true },
			ReadHost: func(_ context.Context, _ string, from tamarackknot.Position, _ func(string) bool) (tamarackknot.StreamPage, error) {
				relayed.Add(1)
				return h.store.Read(context.Background(), tamarackknot.StreamEndpoints, from, time.Now())
			},
		})
		defer stop()
		h.put("e1", tamarackknot.EndpointReady)
		time.Sleep(time.Second)
		require.Equal(t, []string{"e1"}, usable(w))
		// The planner announces a change: the host reads it from there, once.
		for range 20 {
			state.Store(&tamarackknot.StreamState{Version: 1, ReadAt: time.Now()})
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, int32(1), relayed.Load())
		h.put("e2", tamarackknot.EndpointReady)
		state.Store(&tamarackknot.StreamState{Version: 2, ReadAt: time.Now()})
		w.Refresh()
		synctest.Wait()
		require.Equal(t, []string{"e1", "e2"}, usable(w))
		// The planner falls behind: the host reads the store itself.
		h.put("e3", tamarackknot.EndpointReady)
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"e1", "e2", "e3"}, usable(w))
	})
}

// TestOlderCopy guards against requests to endpoints that have left or drain, but
// that the older copy of a restored store lists as ready, and against endpoints
// that are dropped because the copy lacks them.
func TestOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, w, stop := start(t, Config{})
		defer stop()
		for _, id := range []string{"left", "drains", "stays"} {
			h.putBorn(id, tamarackknot.EndpointReady, 1)
		}
		time.Sleep(4 * time.Second)
		h.raw("left", nil)
		h.putBorn("drains", tamarackknot.EndpointDraining, 1)
		h.putBorn("recent", tamarackknot.EndpointReady, 1)
		h.putBorn("recent and lost", tamarackknot.EndpointReady, 1)
		time.Sleep(time.Second)
		require.Equal(t, []string{"recent", "recent and lost", "stays"}, usable(w))
		h.store.Restore(2 * time.Second)
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, []string{"recent", "recent and lost", "stays"}, usable(w))
		}
		h.putBorn("recent", tamarackknot.EndpointReady, 1)
		h.putBorn("drains", tamarackknot.EndpointReady, 1) // it restores its own older entry
		time.Sleep(missingGrace + time.Second)
		require.Equal(t, []string{"recent", "stays"}, usable(w))
		h.putBorn("left", tamarackknot.EndpointReady, 2)
		h.putBorn("drains", tamarackknot.EndpointReady, 2)
		time.Sleep(time.Second)
		require.Equal(t, []string{"drains", "left", "recent", "stays"}, usable(w))
	})
}

// TestOlderCopyAtStart guards against a host that starts soon after a restore and
// uses endpoints of the older copy that have left.
func TestOlderCopyAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var known atomic.Bool
		h, w, stop := start(t, Config{RestoredRecently: func() (bool, bool) { return true, known.Load() }})
		defer stop()
		h.putBorn("left", tamarackknot.EndpointReady, 1)
		h.putBorn("live", tamarackknot.EndpointReady, 1)
		time.Sleep(time.Second)
		require.False(t, w.HasSynced())
		known.Store(true)
		time.Sleep(time.Second)
		require.False(t, w.HasSynced(), "no endpoint is confirmed")
		h.putBorn("live", tamarackknot.EndpointReady, 1)
		time.Sleep(time.Second)
		require.True(t, w.HasSynced())
		require.Equal(t, []string{"live"}, usable(w))
	})
}

// TestFollowerAfterRestore guards against a host that follows the planner and
// stays with an endpoint that the planner knew to have left before a restore.
func TestFollowerAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h harness
		planner := New(Config{Decode: decode, Logger: log.New(io.Discard)})
		h, w, stop := start(t, Config{
			PlannerState: func() (tamarackknot.StreamState, string, bool) { return planner.State(), "p", true },
			ReadHost: func(ctx context.Context, _ string, from tamarackknot.Position, _ func(string) bool) (tamarackknot.StreamPage, error) {
				page, err := h.store.Read(ctx, tamarackknot.StreamEndpoints, from, time.Now())
				if errors.Is(err, tamarackknot.ErrExpired) {
					return h.store.Newest(ctx, tamarackknot.StreamEndpoints)
				}
				return page, err
			},
		})
		defer stop()
		planner.cfg.Store = h.store.Client("p")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go planner.Run(ctx)
		h.putBorn("e1", tamarackknot.EndpointReady, 1)
		h.putBorn("e2", tamarackknot.EndpointReady, 1)
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{"e1", "e2"}, usable(w))
		// Only the planner reads the removal before the store is restored.
		h.raw("e1", nil)
		planner.Refresh()
		synctest.Wait()
		require.Equal(t, []string{"e2"}, usable(planner))
		h.store.Restore(time.Second)
		time.Sleep(settleTime + time.Second)
		h.raw("e1", nil) // the entry expires
		h.putBorn("e2", tamarackknot.EndpointReady, 1)
		time.Sleep(missingGrace + 2*time.Second)
		require.Equal(t, []string{"e2"}, usable(w))
		require.Equal(t, []string{"e2"}, usable(planner))
	})
}

// TestUnchanged guards against entries that go to all hosts whenever their endpoints write
// them again, and against changes that are taken for such.
func TestUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, w, stop := start(t, Config{})
		defer stop()
		newest := func(id string) tamarackknot.KeyedRecord {
			page, err := h.store.Newest(t.Context(), tamarackknot.StreamEndpoints)
			require.NoError(t, err)
			i := slices.IndexFunc(page.Records, func(r tamarackknot.KeyedRecord) bool { return r.Key == id })
			return page.Records[i]
		}
		for _, id := range []string{"same", "drains", "returns", "odd"} {
			h.put(id, tamarackknot.EndpointReady)
		}
		time.Sleep(time.Second)
		from := tamarackknot.Position{Offset: 4}
		h.raw("returns", nil)
		time.Sleep(time.Second)
		h.put("same", tamarackknot.EndpointReady)
		require.False(t, w.IsUnchanged(newest("same"), from), "the record has not been read")
		h.put("drains", tamarackknot.EndpointDraining)
		h.put("returns", tamarackknot.EndpointReady)
		h.raw("odd", []byte("x"))
		h.put("new", tamarackknot.EndpointReady)
		time.Sleep(time.Second)
		for id, expect := range map[string]bool{"same": true, "drains": false, "returns": false, "odd": false, "new": false} {
			require.Equal(t, expect, w.IsUnchanged(newest(id), from), id)
		}
		require.False(t, w.IsUnchanged(newest("same"), tamarackknot.Position{}), "the host has read nothing")
		require.False(t, w.IsUnchanged(newest("same"), tamarackknot.Position{Era: 1, Offset: 4}))
	})
}

// TestReaders guards against hosts that all read the store when no planner is heard, and
// against one that waits for hosts which have not read it either.
func TestReaders(t *testing.T) {
	for name, reader := range map[string]bool{"a reader has read the list": true, "no reader has": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store atomic.Pointer[fake.Streams]
				h, w, stop := start(t, Config{
					Readers: func() []string { return []string{"r"} },
					ReadHost: func(ctx context.Context, _ string, from tamarackknot.Position, _ func(string) bool) (tamarackknot.StreamPage, error) {
						s := store.Load()
						if s == nil || !reader {
							return tamarackknot.StreamPage{}, errors.New("not read recently")
						}
						return s.Client("r").Read(ctx, tamarackknot.StreamEndpoints, from, time.Now())
					},
				})
				defer stop()
				store.Store(h.store)
				time.Sleep(time.Second)
				h.store.SetDown("a", reader)
				h.put("e1", tamarackknot.EndpointReady)
				time.Sleep(readInterval + readersTime + 2*readersPause)
				require.Equal(t, []string{"e1"}, usable(w))
			})
		})
	}
}
