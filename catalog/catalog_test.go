package catalog

import (
	"context"
	"encoding/json"
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

func decode(rec tamarackknot.KeyedRecord) (*tamarackknot.Catalog, error) {
	var c tamarackknot.Catalog
	if err := json.Unmarshal(rec.Value, &c); err != nil {
		return nil, err
	}
	return &c, nil
}

func put(t *testing.T, s *fake.Streams, version int64) {
	t.Helper()
	value, err := json.Marshal(tamarackknot.Catalog{Version: version})
	require.NoError(t, err)
	_, err = s.Put(t.Context(), tamarackknot.StreamCatalog, "config", value)
	require.NoError(t, err)
}

func version(w *Watcher) int64 {
	if v := w.Current(); v != nil {
		return v.Catalog.Version
	}
	return 0
}

// start runs a Watcher until stop is called.
func start(t *testing.T, cfg Config) (w *Watcher, stop func()) {
	t.Helper()
	cfg.Decode, cfg.Logger = decode, log.New(io.Discard)
	w = New(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	go w.Run(ctx)
	return w, func() {
		cancel()
		synctest.Wait()
	}
}

// TestWatch guards against a configuration that comes into force late, is
// replaced by an older version, or is lost when the store has expired its history
// or is unavailable.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.NewStreams()
		w, stop := start(t, Config{Store: store.Client("a")})
		defer stop()
		time.Sleep(time.Second)
		require.Nil(t, w.Current())
		put(t, store, 3)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, int64(3), version(w))
		put(t, store, 2)
		put(t, store, 9)
		put(t, store, 7)
		_, err := store.Put(t.Context(), tamarackknot.StreamCatalog, "config", []byte("unreadable"))
		require.NoError(t, err)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, int64(9), version(w))
		store.ExpireAll(tamarackknot.StreamCatalog)
		put(t, store, 12)
		time.Sleep(2 * time.Second)
		require.Equal(t, int64(12), version(w))
		store.SetDown("a", true)
		downAt := time.Now()
		put(t, store, 15)
		time.Sleep(5 * time.Second)
		require.Equal(t, int64(12), version(w))
		require.False(t, w.State().ReadAt.After(downAt), "the age counts from the last read")
		store.SetDown("a", false)
		time.Sleep(time.Second)
		require.Equal(t, int64(15), version(w))
	})
}

// TestAnswerOnSlowLink guards against a planner whose followers read a large configuration
// at the store themselves while it arrives over the planner's slow link.
func TestAnswerOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links, store := fake.NewLinks(), fake.NewStreams()
		links.Add("a", 1e6)
		store.SetLinks(links)
		w, stop := start(t, Config{Store: store.Client("a")})
		defer stop()
		put(t, store, 3)
		time.Sleep(time.Second)
		value, err := json.Marshal(tamarackknot.Catalog{Version: 5, Routes: make([]tamarackknot.Route, 8000)})
		require.NoError(t, err)
		putAt := time.Now()
		_, err = store.Put(t.Context(), tamarackknot.StreamCatalog, "config", value)
		require.NoError(t, err)
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, int64(3), version(w), "the configuration is on its way")
		require.False(t, w.State().ReadAt.Before(putAt))
		time.Sleep(3 * time.Second)
		require.Equal(t, int64(5), version(w))
	})
}

// TestStalePlanner guards against a host that stays behind the version that the
// planner announced: no other host can relay that version, so the host must read
// it from the store as soon as it stops following the planner.
func TestStalePlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.NewStreams()
		var followed atomic.Bool
		followed.Store(true)
		w := New(Config{
			Store: store.Client("a"), Decode: decode, Logger: log.New(io.Discard), FollowsPlanner: followed.Load,
			ReadNewer: func(context.Context, bool) (tamarackknot.StreamPage, error) {
				return tamarackknot.StreamPage{}, fake.ErrNoAnswer
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		go w.RunRelay(ctx)
		put(t, store, 3)
		time.Sleep(time.Second)
		require.Equal(t, int64(3), version(w))
		put(t, store, 5)
		w.ObserveVersion(5)
		time.Sleep(time.Second)
		require.Equal(t, int64(3), version(w))
		followed.Store(false)
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, int64(5), version(w))
		cancel()
		synctest.Wait()
	})
}

// TestCatchUp guards against a host that cannot read the store and stays behind
// although another host has a newer version in force.
func TestCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(Config{Decode: decode, Logger: log.New(io.Discard), ReadNewer: func(context.Context, bool) (tamarackknot.StreamPage, error) {
			return tamarackknot.StreamPage{Relayed: true, Records: []tamarackknot.KeyedRecord{{Key: "config", Value: []byte(`{"Version":4}`)}}}, nil
		}})
		ctx, cancel := context.WithCancel(t.Context())
		go w.RunRelay(ctx)
		w.ObserveVersion(4)
		synctest.Wait()
		require.Equal(t, int64(4), version(w))
		cancel()
		synctest.Wait()
	})
}

// TestOlderCopy guards against a version that is replaced by the older one of a
// restored store, and against a later version that is missed because its offset
// was read before the restore.
func TestOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.NewStreams()
		w, stop := start(t, Config{Store: store.Client("a")})
		defer stop()
		put(t, store, 3)
		time.Sleep(3 * time.Second)
		put(t, store, 9)
		time.Sleep(time.Second)
		require.Equal(t, int64(9), version(w))
		store.Restore(2 * time.Second)
		put(t, store, 12)
		time.Sleep(2500 * time.Millisecond)
		require.Equal(t, int64(12), version(w))
		store.Restore(5 * time.Second)
		time.Sleep(2500 * time.Millisecond)
		require.Equal(t, int64(12), version(w))
	})
}

// TestOlderCopyAtStart guards against a host that starts with the older version of
// a restored store although another host has a newer one in force.
func TestOlderCopyAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.NewStreams()
		put(t, store, 3)
		var mayStart atomic.Bool
		w, stop := start(t, Config{Store: store.Client("a"), MayStart: mayStart.Load})
		defer stop()
		time.Sleep(time.Second)
		require.Nil(t, w.Current(), "the version may be out of date")
		w.ObserveVersion(9)
		mayStart.Store(true)
		time.Sleep(time.Second)
		require.Nil(t, w.Current(), "version 9 is in force elsewhere")
		put(t, store, 9)
		time.Sleep(2500 * time.Millisecond)
		require.Equal(t, int64(9), version(w))
	})
}

// TestRoute guards against a route that is not the longest match of host and path
// prefix.
func TestRoute(t *testing.T) {
	v := newView(&tamarackknot.Catalog{Routes: []tamarackknot.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":    {"a.example", "/x/y/z", "long"},
		"shorter prefix":    {"a.example", "/x/z", "short"},
		"host with port":    {"A.example:80", "/x/z", "short"},
		"other host":        {"b.example", "/x/y/z", "other"},
		"no route":          {"a.example", "/z/", ""},
		"part of a segment": {"a.example", "/x", ""},
		"unknown host":      {"c.example", "/x/", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := v.Route(c.host, c.path)
			if c.want == "" {
				require.Nil(t, r)
				return
			}
			require.Equal(t, c.want, r.Name)
		})
	}
}
