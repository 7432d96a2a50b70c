package fleet

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

// registryHarness is a Registry of host "a" and the fake store that it uses.
type registryHarness struct {
	store    *fake.Streams
	registry *Registry
	heard    atomic.Bool
}

func startRegistry(ctx context.Context) *registryHarness {
	h := &registryHarness{store: fake.NewStreams()}
	h.heard.Store(true)
	h.registry = NewRegistry(RegistryConfig{
		Store: h.store.Client("a"), Self: tamarackknot.HostEntry{Name: "a", Incarnation: "a1"},
		Follow: func() bool { return true }, PlannerHeard: h.heard.Load, Logger: log.New(io.Discard),
	})
	go h.registry.Run(ctx)
	go h.registry.RunFollow(ctx)
	return h
}

// entries returns the names of the hosts in the store.
func (h *registryHarness) entries(t *testing.T) map[string]bool {
	t.Helper()
	page, err := h.store.Newest(t.Context(), tamarackknot.StreamHosts)
	require.NoError(t, err)
	out := make(map[string]bool)
	for _, rec := range page.Records {
		out[rec.Key] = true
	}
	return out
}

func (h *registryHarness) put(t *testing.T, name, value string) {
	t.Helper()
	var data []byte
	if value != "" {
		data = []byte(value)
	}
	_, err := h.store.Put(t.Context(), tamarackknot.StreamHosts, name, data)
	require.NoError(t, err)
}

func (h *registryHarness) hosts() []string {
	var out []string
	for _, e := range h.registry.Hosts() {
		out = append(out, e.Name)
	}
	return out
}

// TestRegistryOverRestore guards against a host whose own entry is lost with the
// store's newest records, against hosts that the planner forgets for that reason,
// and against a host that has left and comes back from the older copy.
func TestRegistryOverRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := startRegistry(ctx)
		store.put(t, "left", `{"name":"left","incarnation":"l1"}`)
		time.Sleep(5 * time.Second)
		store.put(t, "recent", `{"name":"recent","incarnation":"r1"}`)
		store.put(t, "left", "")
		time.Sleep(time.Second)
		require.Equal(t, []string{"a", "recent"}, store.hosts())
		store.store.Restore(10 * time.Second)
		time.Sleep(2 * time.Second)
		require.True(t, store.entries(t)["a"])
		store.put(t, "left", `{"name":"left","incarnation":"l1"}`)
		time.Sleep(time.Second)
		require.Equal(t, []string{"a", "recent"}, store.hosts())
		store.put(t, "left", `{"name":"left","incarnation":"l2"}`)
		time.Sleep(time.Second)
		require.Equal(t, []string{"a", "left", "recent"}, store.hosts())
		store.registry.Deregister(ctx)
		store.store.Restore(0)
		time.Sleep(3 * time.Second)
		require.False(t, store.entries(t)["a"], "a host that leaves does not register again")
		cancel()
		synctest.Wait()
	})
}

// TestLateDeregistration guards against a host that stays unknown to the planner
// because the store removed its entry late, on behalf of an earlier process.
func TestLateDeregistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := startRegistry(ctx)
		time.Sleep(time.Second)
		require.True(t, h.entries(t)["a"])
		h.put(t, "a", "")
		h.heard.Store(false)
		time.Sleep(unheardTimeout + time.Second)
		require.True(t, h.entries(t)["a"])
		cancel()
		synctest.Wait()
	})
}

// TestHostsAtStart guards against a host that knows no other host until it hears a planner.
func TestHostsAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := fake.NewStreams()
		for _, name := range []string{"a", "b", "odd"} {
			value := `{"name":"` + name + `","incarnation":"x","peerAddress":"` + name + `:1"}`
			if name == "odd" {
				value = "{"
			}
			_, err := store.Put(ctx, tamarackknot.StreamHosts, name, []byte(value))
			require.NoError(t, err)
		}
		r := NewRegistry(RegistryConfig{
			Store: store.Client("a"), Self: tamarackknot.HostEntry{Name: "a", Incarnation: "a2"},
			Follow: func() bool { return false }, PlannerHeard: func() bool { return false }, Logger: log.New(io.Discard),
		})
		require.Nil(t, r.HostsAtStart())
		go r.Run(ctx)
		time.Sleep(time.Second)
		require.True(t, r.OthersKnown())
		require.Len(t, r.HostsAtStart(), 1)
		address, ok := r.PeerAddress("b")
		require.True(t, ok)
		require.Equal(t, "b:1", address)
		_, ok = r.PeerAddress("odd")
		require.False(t, ok)
		require.True(t, r.Registration().HadPrevious)
		cancel()
		synctest.Wait()
	})
}

// TestHostsAtFirstStart guards against a host that knows no other host until it hears a
// planner, since all of them registered at the same time.
func TestHostsAtFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := fake.NewStreams()
		var all []*Registry
		for _, name := range []string{"a", "b", "c"} {
			r := NewRegistry(RegistryConfig{
				Store: store.Client(name), Self: tamarackknot.HostEntry{Name: name, Incarnation: name}, FirstStart: true,
				Follow: func() bool { return false }, PlannerHeard: func() bool { return false }, Logger: log.New(io.Discard),
			})
			all = append(all, r)
			go r.Run(ctx)
		}
		time.Sleep(firstReadDelay / 2)
		for _, r := range all {
			require.False(t, r.OthersKnown())
		}
		time.Sleep(firstReadDelay)
		for _, r := range all {
			require.True(t, r.OthersKnown())
			require.Len(t, r.HostsAtStart(), 2)
			require.False(t, r.Registration().HadPrevious)
		}
		cancel()
		synctest.Wait()
	})
}
