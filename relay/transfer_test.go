package relay

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

// largeValue returns a value of many parts. Values of different numbers of lines begin alike.
func largeValue(lines int) []byte {
	var out []byte
	for i := range lines {
		out = fmt.Appendf(out, `{"name":"r-%x","host":"h%d.example"},`, xxhash.Sum64String(fmt.Sprint(i)), i)
	}
	return out
}

func (h harness) putLarge(t *testing.T, lines int) {
	t.Helper()
	_, err := h.streams.Put(t.Context(), stream, "config", largeValue(lines))
	require.NoError(t, err)
}

// list makes a host read the stream from the store.
func list(t *testing.T, s *Store) {
	t.Helper()
	_, err := s.Newest(t.Context(), stream)
	require.NoError(t, err)
}

// TestTransferOfChange guards against transfers of a whole value of which a host has most.
func TestTransferOfChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness{fake.NewStreams(), fake.NewPeers(fake.PeersConfig{Links: fake.NewLinks()})}
		a, b := h.host("a", "b"), h.host("b", "a")
		h.putLarge(t, 10000)
		list(t, a)
		list(t, b)
		_, err := b.ReadNewer(t.Context(), "a", stream)
		require.ErrorIs(t, err, errNothingNewer)
		h.putLarge(t, 10001)
		list(t, a)
		page, err := b.ReadNewer(t.Context(), "a", stream)
		require.NoError(t, err)
		require.Equal(t, largeValue(10001), page.Records[0].Value)
		require.Len(t, b.partial.parts, len(b.split.parts)+len(a.split.parts)+1, "one part of the value is new")
	})
}

// TestTransferGoesOn guards against a transfer that begins anew at another host, or that ends
// because a newer value has replaced the one that it transfers.
func TestTransferGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := fake.NewLinks()
		links.Add("c", 100<<10)
		h := harness{fake.NewStreams(), fake.NewPeers(fake.PeersConfig{Links: links})}
		a, b, c := h.host("a"), h.host("b"), h.host("c")
		h.putLarge(t, 10000)
		list(t, a)
		list(t, b)
		began := time.Now()
		fetched := func() int { _, n := links.Bytes("c"); return n }
		failed := make(chan error, 1)
		go func() {
			_, err := c.ReadNewer(t.Context(), "a", stream)
			failed <- err
		}()
		time.Sleep(500 * time.Millisecond)
		h.putLarge(t, 10001)
		list(t, a)
		time.Sleep(700 * time.Millisecond)
		h.peers.Kill("a")
		require.Error(t, <-failed)
		before := fetched()
		require.Greater(t, before, chunkBytes)
		page, err := c.ReadNewer(t.Context(), "b", stream)
		require.NoError(t, err)
		require.Equal(t, largeValue(10000), page.Records[0].Value)
		whole := fetched()
		d := h.host("d")
		links.Add("d", 100<<10)
		_, err = d.ReadNewer(t.Context(), "b", stream)
		require.NoError(t, err)
		_, once := links.Bytes("d")
		require.Less(t, whole, once+2*chunkBytes, "after %v", time.Since(began))
		h.peers.Wait()
	})
}

// TestTransfersAtOnce guards against a host whose link many others fill at the same time.
func TestTransfersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness{fake.NewStreams(), fake.NewPeers(fake.PeersConfig{})}
		a := h.host("a")
		h.putLarge(t, 10000)
		list(t, a)
		a.mu.Lock()
		id := valueID{stream, "config", 0, a.mirrors[stream].records["config"].Offset}
		for i := range maxTransfers {
			transfer, _ := a.transferTo(fmt.Sprint(i), id)
			require.NotNil(t, transfer)
		}
		a.mu.Unlock()
		b := h.host("b")
		_, err := b.ReadNewer(t.Context(), "a", stream)
		require.ErrorIs(t, err, errHostBusy)
		// A host of the build before asks another one.
		var older struct {
			Records []tamarackknot.KeyedRecord
			AgeMs   int64
		}
		ask := func() {
			older.Records = nil
			require.NoError(t, h.peers.Host("old").Call(t.Context(), "a", methodRecords, map[string]any{"stream": stream}, &older))
		}
		ask()
		require.Negative(t, older.AgeMs)
		time.Sleep(transferTimeout)
		_, err = b.ReadNewer(t.Context(), "a", stream)
		require.NoError(t, err)
		ask()
		require.Equal(t, largeValue(10000), older.Records[0].Value)
	})
}

// TestTransfersOfOneValue guards against two reads of the same value at a time that share
// what they have fetched without a lock.
func TestTransfersOfOneValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness{fake.NewStreams(), fake.NewPeers(fake.PeersConfig{Latency: time.Millisecond})}
		a, b, c := h.host("a"), h.host("b"), h.host("c")
		h.putLarge(t, 10000)
		list(t, a)
		list(t, b)
		errs := make(chan error, 2)
		for _, from := range []string{"a", "b"} {
			go func() {
				_, err := c.ReadNewer(t.Context(), from, stream)
				errs <- err
			}()
		}
		require.NoError(t, <-errs)
		require.NoError(t, <-errs)
	})
}

// TestTransferFromBuildBefore guards against a host that cannot read what one of the build
// before sends, which knows no chunks.
func TestTransferFromBuildBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness{fake.NewStreams(), fake.NewPeers(fake.PeersConfig{})}
		b := h.host("b")
		h.peers.Host("old").Handle(methodRecords, func(context.Context, string, json.RawMessage) (any, error) {
			return map[string]any{
				"records": []tamarackknot.KeyedRecord{{Key: "config", Value: largeValue(10000), Offset: 6}}, "next": 7, "ageMs": 20,
			}, nil
		})
		page, err := b.ReadNewer(t.Context(), "old", stream)
		require.NoError(t, err)
		require.Equal(t, at(7), page.Next)
		require.Equal(t, largeValue(10000), page.Records[0].Value)
	})
}

// TestManifest guards against a manifest that makes a host fetch or join what is no value.
func TestManifest(t *testing.T) {
	value := largeValue(1000)
	parts, err := splitValue(value)
	require.NoError(t, err)
	good := encodeManifest(value, parts)
	known := make(map[uint64][]byte)
	for _, p := range parts {
		known[p.hash] = p.data
	}
	m, err := decodeManifest(good, len(value))
	require.NoError(t, err)
	joined, err := m.join(known, len(value))
	require.NoError(t, err)
	require.Equal(t, value, joined)
	for name, data := range map[string][]byte{
		"empty":              {},
		"cut":                good[:len(good)-1],
		"a part is missing":  good[:len(good)-partEntryBytes],
		"a part of no bytes": binary.BigEndian.AppendUint32(append([]byte(nil), good[:len(good)-4]...), 0),
		"a part too large":   binary.BigEndian.AppendUint32(append([]byte(nil), good[:len(good)-4]...), 1<<31),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeManifest(data, len(value))
			require.Error(t, err)
		})
	}
	m.sum++
	_, err = m.join(known, len(value))
	require.ErrorIs(t, err, errPartInvalid)
	m.sum--
	require.ErrorIs(t, m.cut([]int{0}, parts[1].data, known), errPartInvalid)
}
