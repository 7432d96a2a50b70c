package discovery

import (
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
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

func (h harness) raw(id string, value []byte) {
	_, err := h.store.Put(context.Background(), tamarackknot.StreamEndpoints, id, value)
	require.NoError(h.t, err)
}

func start(t *testing.T, cfg Config) (harness, *Watcher, context.CancelFunc) {
	t.Helper()
	h := harness{t, fake.NewStreams()}
	cfg.Store, cfg.Decode, cfg.Logger, cfg.RecoveryTime = h.store.Client("a"), decode, log.New(io.Discard), 3*time.Second
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
			ReadPlanner: func(_ context.Context, from int64) (tamarackknot.StreamPage, error) {
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
