package relay

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

const stream = tamarackknot.StreamEndpoints

// harness is a fake store and a fake network for several hosts.
type harness struct {
	streams *fake.Streams
	peers   *fake.Peers
}

func (h harness) host(name string, others ...string) *Store {
	return New(Config{
		Store: h.streams.Client(name), Peers: h.peers.Host(name), Hosts: func() []string { return others },
		Streams: []tamarackknot.Stream{stream}, Logger: log.New(io.Discard),
	})
}

func (h harness) put(t *testing.T, key, value string) {
	t.Helper()
	var data []byte
	if value != "" {
		data = []byte(value)
	}
	_, err := h.streams.Put(t.Context(), stream, key, data)
	require.NoError(t, err)
}

// TestReadThroughPeer guards against a host that cannot reach the store and misses
// changes, deletions included, that other hosts have read.
func TestReadThroughPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness{fake.NewStreams(), fake.NewPeers(fake.PeersConfig{})}
		disconnected, connected := h.host("cut", "well"), h.host("well", "cut")
		h.put(t, "k1", "v1")
		h.put(t, "k2", "v2")
		page, err := disconnected.Newest(t.Context(), stream)
		require.NoError(t, err)
		_, err = connected.Newest(t.Context(), stream)
		require.NoError(t, err)
		h.streams.SetDown("cut", true)
		h.put(t, "k1", "")
		h.put(t, "k3", "v3")
		_, err = connected.Newest(t.Context(), stream)
		require.NoError(t, err)
		page, err = disconnected.Read(t.Context(), stream, page.Next, time.Now())
		require.NoError(t, err)
		require.True(t, page.Relayed)
		require.Equal(t, int64(4), page.Next)
		require.Len(t, page.Records, 2)
		for _, r := range page.Records {
			require.Equal(t, map[string]string{"k1": "", "k3": "v3"}[r.Key], string(r.Value))
		}
		// Nothing is new and the other host's last read is recent: no error.
		_, err = disconnected.Read(t.Context(), stream, 4, time.Now())
		require.NoError(t, err)
		// The other host's last read is too old: the store's error is returned.
		time.Sleep(2 * maxPeerAge)
		_, err = disconnected.Read(t.Context(), stream, 4, time.Now())
		require.ErrorIs(t, err, tamarackknot.ErrRefused)
	})
}

// TestNoMutualRelay guards against two disconnected hosts that accept each other's
// relayed reads as fresh reads of the store.
func TestNoMutualRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness{fake.NewStreams(), fake.NewPeers(fake.PeersConfig{})}
		one, two := h.host("one", "two"), h.host("two", "one")
		h.put(t, "k1", "v1")
		_, err := one.Newest(t.Context(), stream)
		require.NoError(t, err)
		_, err = two.Newest(t.Context(), stream)
		require.NoError(t, err)
		h.streams.SetDown("one", true)
		h.streams.SetDown("two", true)
		failed := false
		for range 10 {
			time.Sleep(maxPeerAge / 2)
			_, err1 := one.Read(t.Context(), stream, 1, time.Now())
			_, err2 := two.Read(t.Context(), stream, 1, time.Now())
			failed = err1 != nil && err2 != nil
		}
		require.True(t, failed)
	})
}
