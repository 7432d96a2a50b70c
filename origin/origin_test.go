package origin

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

// hosts are registries that send each other records.
type hosts struct {
	peers  *fake.Peers
	names  []string
	byName map[string]*Registry
}

func startHosts(ctx context.Context, n int) *hosts {
	h := &hosts{peers: fake.NewPeers(fake.PeersConfig{Latency: time.Millisecond}), byName: make(map[string]*Registry)}
	for i := range n {
		h.names = append(h.names, fmt.Sprintf("h%d", i))
	}
	for _, name := range h.names {
		h.start(ctx, name)
	}
	return h
}

// start starts a host that knows nothing.
func (h *hosts) start(ctx context.Context, name string) {
	r := New(Config{Peers: h.peers.Host(name), Logger: log.New(io.Discard), Others: func() []string {
		return slices.DeleteFunc(slices.Clone(h.names), func(other string) bool { return other == name })
	}})
	h.byName[name] = r
	go r.Run(ctx)
}

// TestOrigins guards against an origin that is lost with the host that relayed the
// stream, and against an unknown one that is taken for known.
func TestOrigins(t *testing.T) {
	o := tamarackknot.StreamOrigin{Service: "s", Version: "v2"}
	cases := map[string]struct {
		fault           func(ctx context.Context, h *hosts)
		found, complete bool
	}{
		"no fault":              {func(context.Context, *hosts) {}, true, true},
		"the host is killed":    {func(_ context.Context, h *hosts) { h.peers.Kill("h0") }, true, true},
		"the host starts again": {func(ctx context.Context, h *hosts) { h.start(ctx, "h0") }, true, true},
		"two hosts are killed":  {func(_ context.Context, h *hosts) { h.peers.Kill("h0"); h.peers.Kill(keepers("r", h.names[1:])[0]) }, true, true},
		"all hosts start again": {func(ctx context.Context, h *hosts) {
			for _, n := range h.names {
				h.start(ctx, n)
			}
		}, false, true},
		"all start again, one is cut off": {func(ctx context.Context, h *hosts) {
			for _, n := range h.names {
				h.start(ctx, n)
			}
			h.peers.Isolate("h3", true)
		}, false, false},
		"a later stream of the same id": {func(_ context.Context, h *hosts) { h.byName["h0"].Record("r", o); h.peers.Kill("h0") }, true, true},
		"the record is older than the retention": {func(_ context.Context, h *hosts) {
			for _, r := range h.byName {
				for _, id := range []string{"x", "y"} {
					time.Sleep(retention)
					r.store(id, o)
				}
			}
		}, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(time.Second) // messages under way arrive
				}()
				h := startHosts(ctx, 6)
				h.byName["h0"].Record("r", o)
				time.Sleep(10 * time.Millisecond)
				tc.fault(ctx, h)
				asked := time.Now()
				got, found, complete := h.byName["h4"].Find(ctx, "r")
				require.Equal(t, tc.found, found)
				require.Equal(t, tc.complete, complete)
				require.LessOrEqual(t, time.Since(asked), 2*findTimeout)
				if found {
					require.Equal(t, o, got)
				}
			})
		})
	}
}

// TestRecordTraffic guards against more than 200 bytes between hosts for a stream.
func TestRecordTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Second)
		}()
		h := startHosts(ctx, 6)
		for i := range 100 {
			h.byName["h0"].Record(fmt.Sprintf("9c41d07be2a3%04x", i), tamarackknot.StreamOrigin{Service: "flow-llm", Version: "v1"})
		}
		time.Sleep(time.Second)
		sent := h.peers.Sent("h0", methodRecord)
		require.Equal(t, 100*copies, sent.Messages)
		require.LessOrEqual(t, sent.Bytes, 100*200)
	})
}

// TestBoundedRecords guards against records that grow without bound.
func TestBoundedRecords(t *testing.T) {
	r := New(Config{Peers: fake.NewPeers(fake.PeersConfig{}).Host("a"), Logger: log.New(io.Discard)})
	for i := range 5 * maxRecords {
		r.store(fmt.Sprint(i), tamarackknot.StreamOrigin{})
	}
	require.LessOrEqual(t, len(r.recent)+len(r.earlier), 2*maxRecords)
}

func BenchmarkStore(b *testing.B) {
	r := New(Config{Peers: fake.NewPeers(fake.PeersConfig{}).Host("a"), Logger: log.New(io.Discard)})
	ids := make([]string, 4096)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.store(ids[i%len(ids)], tamarackknot.StreamOrigin{Service: "s", Version: "v1"})
	}
}

func BenchmarkLookUp(b *testing.B) {
	r := New(Config{Peers: fake.NewPeers(fake.PeersConfig{}).Host("a"), Logger: log.New(io.Discard)})
	r.store("x", tamarackknot.StreamOrigin{Service: "s", Version: "v1"})
	b.ReportAllocs()
	for b.Loop() {
		r.lookUp("x")
	}
}
