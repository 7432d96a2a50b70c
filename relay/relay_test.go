package relay

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

const stream = tamarackknot.StreamEndpoints

func at(offset int64) tamarackknot.Position { return tamarackknot.Position{Offset: offset} }

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

// putTo appends a record to a stream that is not mirrored.
func (h harness) putTo(t *testing.T, s tamarackknot.Stream, key string) {
	t.Helper()
	_, err := h.streams.Put(t.Context(), s, key, []byte("v"))
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
		require.Equal(t, at(4), page.Next)
		require.True(t, page.Full, "the connected host has listed the stream since: what is not in the page is deleted")
		require.Len(t, page.Records, 2)
		for _, r := range page.Records {
			require.Equal(t, map[string]string{"k2": "v2", "k3": "v3"}[r.Key], string(r.Value))
		}
		// A deletion after the listing is passed on as a record.
		h.put(t, "k2", "")
		_, err = connected.Read(t.Context(), stream, page.Next, time.Now())
		require.NoError(t, err)
		page, err = disconnected.Read(t.Context(), stream, page.Next, time.Now())
		require.NoError(t, err)
		require.False(t, page.Full)
		require.Equal(t, at(5), page.Next)
		require.Len(t, page.Records, 1)
		require.Equal(t, "k2", page.Records[0].Key)
		require.Nil(t, page.Records[0].Value)
		// Nothing is new and the other host's last read is recent: no error.
		_, err = disconnected.Read(t.Context(), stream, at(5), time.Now())
		require.NoError(t, err)
		// The other host's last read is too old: the store's error is returned.
		time.Sleep(2 * maxPeerAge)
		_, err = disconnected.Read(t.Context(), stream, at(5), time.Now())
		require.ErrorIs(t, err, tamarackknot.ErrRefused)
	})
}

// TestReadForFollowers guards against a host on whose reads others rely and that, while the
// store refuses it, passes on what other hosts have mirrored, or nothing; and against reads
// for hosts on which none relies.
func TestReadForFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness{fake.NewStreams(), fake.NewPeers(fake.PeersConfig{})}
		followed := true
		planner := New(Config{
			Store: h.streams.Client("planner"), Peers: h.peers.Host("planner"), Hosts: func() []string { return []string{"refused", "earlier build", "served"} },
			Streams: []tamarackknot.Stream{stream}, HasFollowers: func() bool { return followed }, Logger: log.New(io.Discard),
		})
		h.host("refused", "planner")
		h.host("served", "planner")
		h.put(t, "k1", "v1")
		page, err := planner.Newest(t.Context(), stream)
		require.NoError(t, err)
		h.streams.SetDown("planner", true)
		h.streams.SetDown("refused", true)
		for _, key := range []string{"k2", "k3"} {
			h.put(t, key, "v")
			page, err = planner.Read(t.Context(), stream, page.Next, time.Now())
			require.NoError(t, err)
			require.False(t, page.Relayed, "it is as recent as an own read")
			require.Len(t, page.Records, 1)
			require.Equal(t, key, page.Records[0].Key)
		}
		started := time.Now()
		page, err = planner.Read(t.Context(), stream, page.Next, time.Now().Add(time.Minute))
		require.NoError(t, err)
		require.Empty(t, page.Records)
		require.LessOrEqual(t, time.Since(started), readThroughWait)
		next := page.Next
		followed = false
		_, err = planner.Read(t.Context(), stream, next, time.Now())
		require.ErrorIs(t, err, tamarackknot.ErrRefused, "no other host has mirrored that much")
		followed = true
		h.streams.Restore(0)
		_, err = planner.Read(t.Context(), stream, next, time.Now())
		require.ErrorIs(t, err, tamarackknot.ErrExpired)
	})
}

// TestLargeAnswerOnSlowLink guards against a host that asks others to read the store for it
// while the store's answer arrives over its slow link, which slows both answers down, and
// against one that waits for an answer that does not get on.
func TestLargeAnswerOnSlowLink(t *testing.T) {
	for name, tt := range map[string]struct {
		bytesPerSecond int
		asksOthers     bool
		within         time.Duration
	}{
		"slow":    {bytesPerSecond: 1e6, within: 900 * time.Millisecond},
		"stalled": {bytesPerSecond: 2e4, asksOthers: true, within: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				links := fake.NewLinks()
				links.Add("planner", tt.bytesPerSecond)
				h := harness{fake.NewStreams(), fake.NewPeers(fake.PeersConfig{Links: links})}
				h.streams.SetLinks(links)
				planner := New(Config{
					Store: h.streams.Client("planner"), Peers: h.peers.Host("planner"), Hosts: func() []string { return []string{"other"} },
					Streams: []tamarackknot.Stream{stream}, HasFollowers: func() bool { return true }, Logger: log.New(io.Discard),
				})
				h.host("other", "planner")
				h.put(t, "k1", strings.Repeat("x", 800_000))
				began := time.Now()
				page, err := planner.Read(t.Context(), stream, at(0), began)
				if tt.asksOthers {
					require.Error(t, err)
				} else {
					require.NoError(t, err)
					require.Len(t, page.Records, 1)
				}
				require.Less(t, time.Since(began), tt.within)
				require.Equal(t, tt.asksOthers, h.peers.Sent("planner", methodRead).Messages > 0)
				h.peers.Wait()
			})
		})
	}
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
			_, err1 := one.Read(t.Context(), stream, at(1), time.Now())
			_, err2 := two.Read(t.Context(), stream, at(1), time.Now())
			failed = err1 != nil && err2 != nil
		}
		require.True(t, failed)
	})
}

// TestRelayOverRestore guards against pages of two eras that are joined: records
// of an earlier era that reach a host of a later one, and a host that continues
// at its old offset in a restored stream.
func TestRelayOverRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness{fake.NewStreams(), fake.NewPeers(fake.PeersConfig{})}
		behind, ahead := h.host("behind", "ahead"), h.host("ahead", "behind")
		h.put(t, "k1", "v1")
		time.Sleep(2 * time.Second)
		h.put(t, "k2", "v2")
		before, err := behind.Newest(t.Context(), stream)
		require.NoError(t, err)
		_, err = ahead.Newest(t.Context(), stream)
		require.NoError(t, err)
		h.streams.SetDown("behind", true)
		h.streams.Restore(time.Second)
		h.put(t, "k3", "v3") // at the offset that k2 had
		after, err := ahead.Newest(t.Context(), stream)
		require.NoError(t, err)
		require.Equal(t, before.Next.Offset, after.Next.Offset)

		// The host that is ahead gets nothing from one of an earlier era.
		h.streams.SetDown("ahead", true)
		_, err = ahead.Read(t.Context(), stream, after.Next, time.Now())
		require.ErrorIs(t, err, tamarackknot.ErrRefused)
		// The host that is behind gets all records of the later era at once.
		page, err := behind.Read(t.Context(), stream, before.Next, time.Now())
		require.NoError(t, err)
		require.True(t, page.Full)
		require.Equal(t, after.Next, page.Next)
		require.Len(t, page.Records, 2)
		h.streams.SetDown("ahead", false)
		require.EqualValues(t, 1, ahead.Era())
		ahead.AnnounceEra(3)
		require.EqualValues(t, 3, ahead.Era())
	})
}

// TestForward guards against a host that the store turns away and that cannot
// renew its lease or register although other hosts reach the store, and against
// an append that takes effect twice.
func TestForward(t *testing.T) {
	const lease = tamarackknot.StreamLease
	cases := map[string]struct {
		set     func(h harness)
		want    error
		records int
	}{
		"the store refuses this host":              {set: func(h harness) { h.streams.SetDown("cut", true) }, records: 2},
		"the answer to this host is lost":          {set: func(h harness) { h.streams.LoseAnswers(1) }, want: tamarackknot.ErrConflict, records: 2},
		"the store refuses this host and another":  {set: func(h harness) { h.streams.SetDown("cut", true); h.streams.SetDown("well", true) }, want: tamarackknot.ErrRefused, records: 1},
		"another host has appended":                {set: func(h harness) { h.put(t, "x", "y"); h.streams.SetDown("cut", true); h.putTo(t, lease, "other") }, want: tamarackknot.ErrConflict, records: 2},
		"the store was restored and refuses hosts": {set: func(h harness) { h.streams.Restore(0); h.streams.SetDown("cut", true) }, want: tamarackknot.ErrRestored, records: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := harness{fake.NewStreams(), fake.NewPeers(fake.PeersConfig{})}
				disconnected := h.host("cut", "well")
				h.host("well", "cut")
				h.putTo(t, lease, "first")
				page, err := disconnected.Newest(t.Context(), lease)
				require.NoError(t, err)
				c.set(h)
				started := time.Now()
				_, err = disconnected.PutAt(t.Context(), lease, "k", []byte("v"), page.End)
				if c.want == nil {
					require.NoError(t, err)
				} else {
					require.ErrorIs(t, err, c.want)
				}
				require.Less(t, time.Since(started), 600*time.Millisecond)
				page, err = h.streams.Newest(t.Context(), lease)
				require.NoError(t, err)
				require.EqualValues(t, c.records, page.End.Offset)
			})
		})
	}
}

// TestKnownRecords guards against a host that gets all records again whenever one has changed,
// and against one that misses a record which it doesn't have.
func TestKnownRecords(t *testing.T) {
	for name, tt := range map[string]struct {
		known   bool
		earlier bool // the other host runs a build that leaves nothing out
		expect  []string
	}{
		"known":                   {true, false, []string{"k2"}},
		"not known":               {false, false, []string{"k1", "k2"}},
		"known, an earlier build": {true, true, []string{"k1", "k2"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := harness{fake.NewStreams(), fake.NewPeers(fake.PeersConfig{})}
				reader, other := h.host("a", "b"), h.host("b", "a")
				if !tt.earlier {
					other.cfg.IsUnchanged = func(_ tamarackknot.Stream, rec tamarackknot.KeyedRecord, from tamarackknot.Position) bool {
						return rec.Key == "k1" && from == at(1)
					}
				}
				h.put(t, "k1", "v1")
				page, err := reader.Newest(t.Context(), stream)
				require.NoError(t, err)
				_, err = other.Newest(t.Context(), stream)
				require.NoError(t, err)
				h.put(t, "k1", "v1")
				h.put(t, "k2", "v2")
				_, err = other.Read(t.Context(), stream, page.Next, time.Now())
				require.NoError(t, err)
				page, err = reader.ReadPeer(t.Context(), "b", stream, page.Next, func(string) bool { return tt.known })
				require.NoError(t, err)
				var keys []string
				for _, r := range page.Records {
					keys = append(keys, r.Key)
				}
				require.ElementsMatch(t, tt.expect, keys)
				require.Equal(t, at(3), page.Next)
				time.Sleep(maxPeerAge + time.Millisecond)
				_, err = reader.ReadPeer(t.Context(), "b", stream, at(1), func(string) bool { return tt.known })
				require.Error(t, err, "the other host has not read the stream recently")
			})
		})
	}
}

// TestKeysNotAskedFor guards against a host that ends because another one leaves out records
// although it was asked for all.
func TestKeysNotAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness{fake.NewStreams(), fake.NewPeers(fake.PeersConfig{})}
		reader := h.host("a", "b")
		h.peers.Host("b").Handle(methodRecords, func(context.Context, string, json.RawMessage) (any, error) {
			return recordsResult{Next: 3, Unchanged: []string{"k1"}}, nil
		})
		_, err := reader.ReadPeer(t.Context(), "b", stream, at(1), func(string) bool { return false })
		require.Error(t, err)
	})
}
