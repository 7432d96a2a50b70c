package workspace

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 200) }

const (
	granted   = tamarackknot.AuthGranted
	unknown   = tamarackknot.AuthUnknown
	uncertain = tamarackknot.AuthUncertain
)

// host is an Authority with a clock that a suspension moves, and a store that confirms versions.
type host struct {
	*Authority
	began     time.Time
	suspended atomic.Int64 // ns
	mu        sync.Mutex
	confirmed map[int64]time.Duration
}

func newHost(limit time.Duration) *host {
	h := &host{began: time.Now(), confirmed: make(map[int64]time.Duration)}
	h.Authority = New(Config{ConfirmedAt: h.confirmedAt, Limit: limit, Clock: h.clock, Logger: log.New(io.Discard)})
	return h
}

func (h *host) clock() time.Duration {
	return time.Since(h.began) + time.Hour + time.Duration(h.suspended.Load())
}

func (h *host) confirmedAt(version int64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed[version]
}

// confirm records that a version is the newest one now.
func (h *host) confirm(version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed[version] = h.clock()
}

// set puts workspaces into force, each with the keys after its name.
func (h *host) set(version int64, workspaces ...[]string) {
	c := &tamarackknot.Catalog{Version: version, Authenticated: true}
	for _, w := range workspaces {
		keys := make([]tamarackknot.KeyHash, 0, len(w))
		for _, key := range w[1:] {
			keys = append(keys, tamarackknot.HashKey(key))
		}
		c.Workspaces = append(c.Workspaces, tamarackknot.Workspace{Name: w[0], Keys: keys})
	}
	h.Set(c)
}

// ask authenticates a key and returns the name of its workspace, the decision and how long it
// took.
func (h *host) ask(key string) (string, tamarackknot.AuthDecision, time.Duration) {
	began := time.Now()
	w, d := h.Authenticate(context.Background(), tamarackknot.HashKey(key))
	if w == nil {
		return "", d, time.Since(began)
	}
	return w.Name, d, time.Since(began)
}

// TestLimit guards against keys that are served without knowing that the configuration is the
// newest one, also right after a suspension, and against ones that are refused too early.
func TestLimit(t *testing.T) {
	for name, tt := range map[string]struct {
		limit, passes, suspended time.Duration
		version                  int64 // that is confirmed, of which 4 is in force
		want                     tamarackknot.AuthDecision
	}{
		"just confirmed":             {limit: 5 * time.Second, version: 4, want: granted},
		"before the limit":           {limit: 5 * time.Second, passes: 4740 * time.Millisecond, version: 4, want: granted},
		"at the limit":               {limit: 5 * time.Second, passes: 4750 * time.Millisecond, version: 4, want: uncertain},
		"suspended for longer":       {limit: 5 * time.Second, passes: time.Second, suspended: 4 * time.Second, version: 4, want: uncertain},
		"suspended for a day":        {limit: 5 * time.Second, suspended: 24 * time.Hour, version: 4, want: uncertain},
		"never confirmed":            {limit: 5 * time.Second, want: uncertain},
		"a newer one confirmed":      {limit: 5 * time.Second, version: 5, want: uncertain},
		"revocation need not be now": {passes: time.Hour, suspended: time.Hour, version: 4, want: granted},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHost(tt.limit)
				h.set(4, []string{"a", "k"})
				h.confirm(tt.version)
				time.Sleep(tt.passes)
				h.suspended.Add(int64(tt.suspended))
				_, d, took := h.ask("k")
				require.Equal(t, tt.want, d)
				require.Zero(t, took)
				require.Equal(t, tt.want, h.Check(tamarackknot.HashKey("k"), "a"))
				if tt.limit > 0 {
					h.confirm(4)
					_, d, _ = h.ask("k")
					require.Equal(t, granted, d, "served again once it is confirmed")
				}
			})
		})
	}
}

// TestUnknownKey guards against 401 for a key that other hosts hold, against answers that wait
// longer than a caller should, and against guesses that each wait.
func TestUnknownKey(t *testing.T) {
	for name, tt := range map[string]struct {
		age       time.Duration // of the confirmation when the request arrives
		meanwhile func(h *host)
		want      tamarackknot.AuthDecision
		took      time.Duration // at most
	}{
		"confirmed after it":         {100 * time.Millisecond, func(h *host) { time.Sleep(300 * time.Millisecond); h.confirm(4) }, unknown, 350 * time.Millisecond},
		"nothing newer is confirmed": {900 * time.Millisecond, nil, unknown, 1550 * time.Millisecond},
		"nothing for long":           {1100 * time.Millisecond, nil, uncertain, 1550 * time.Millisecond},
		"the key arrives":            {100 * time.Millisecond, func(h *host) { time.Sleep(300 * time.Millisecond); h.set(5, []string{"a", "k"}) }, uncertain, 350 * time.Millisecond},
		"the key arrives, confirmed": {100 * time.Millisecond, func(h *host) {
			time.Sleep(300 * time.Millisecond)
			h.confirm(5)
			h.set(5, []string{"a", "k"})
		}, granted, 350 * time.Millisecond},
		"only a newer version is confirmed": {1100 * time.Millisecond, func(h *host) { time.Sleep(300 * time.Millisecond); h.confirm(5) }, uncertain, 1550 * time.Millisecond},
		"suspended":                         {100 * time.Millisecond, func(h *host) { time.Sleep(300 * time.Millisecond); h.suspended.Add(int64(time.Hour)) }, uncertain, 1550 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHost(5 * time.Second)
				h.set(4, []string{"a", "other"})
				h.confirm(4)
				time.Sleep(tt.age)
				if tt.meanwhile != nil {
					go tt.meanwhile(h)
				}
				_, d, took := h.ask("k")
				require.Equal(t, tt.want, d)
				require.LessOrEqual(t, took, tt.took)
				time.Sleep(time.Second)
			})
		})
	}
}

// TestRejectedKey guards against a remembered refusal that outlives what is known of the
// configuration, also over a suspension, or the addition of the key.
func TestRejectedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(5 * time.Second)
		h.set(4, []string{"a", "other"})
		h.confirm(4)
		time.Sleep(time.Millisecond)
		go func() { time.Sleep(100 * time.Millisecond); h.confirm(4) }()
		_, d, _ := h.ask("k")
		require.Equal(t, unknown, d)
		_, d, took := h.ask("k")
		require.Equal(t, unknown, d)
		require.Zero(t, took, "it is remembered")
		h.suspended.Add(int64(3 * time.Second))
		_, d, took = h.ask("k")
		require.Equal(t, uncertain, d, "others may have had it for 3 s")
		require.Positive(t, took)
		h.confirm(4)
		time.Sleep(time.Second)
		_, d, _ = h.ask("k")
		require.Equal(t, unknown, d)
		time.Sleep(1600 * time.Millisecond)
		_, d, _ = h.ask("k")
		require.Equal(t, uncertain, d, "the confirmation is old")
		h.confirm(5)
		h.set(5, []string{"b", "k"})
		w, d, took := h.ask("k")
		require.Equal(t, granted, d)
		require.Equal(t, "b", w)
		require.Zero(t, took)
	})
}

// TestManyUnknownKeys guards against memory and time that callers take by guessing keys.
func TestManyUnknownKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(5 * time.Second)
		h.set(4, []string{"a", "known"})
		h.confirm(4)
		time.Sleep(time.Millisecond)
		var mu sync.Mutex
		at := make(map[tamarackknot.AuthDecision][]time.Duration)
		ask := func(key string) {
			_, d, took := h.ask(key)
			mu.Lock()
			defer mu.Unlock()
			at[d] = append(at[d], took)
		}
		decided := func(d tamarackknot.AuthDecision) int {
			mu.Lock()
			defer mu.Unlock()
			return len(at[d])
		}
		lookups := func() int {
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.lookups)
		}
		for i := range 1000 {
			go ask(strconv.Itoa(i))
		}
		synctest.Wait()
		require.Equal(t, 1000-maxUnknownWaiting, decided(uncertain))
		require.Equal(t, maxUnknownWaiting, lookups())
		_, d, took := h.ask("known")
		require.Equal(t, granted, d)
		require.Zero(t, took)
		time.Sleep(2 * time.Second)
		require.Equal(t, maxUnknownWaiting, decided(unknown))
		require.Zero(t, lookups())
		h.confirm(4)
		time.Sleep(time.Millisecond)
		for range maxUnknownWaiting {
			go ask("one")
		}
		synctest.Wait()
		require.Equal(t, 1, lookups(), "requests with the same key share the wait")
		time.Sleep(2 * time.Second)
		for i := range 3 * maxRejected {
			h.directory.reject(tamarackknot.HashKey(strconv.Itoa(i)), h.clock())
			require.LessOrEqual(t, len(h.directory.rejected), maxRejected)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for i := range 1000 {
			_, d := h.Authenticate(ctx, tamarackknot.HashKey("left "+strconv.Itoa(i)))
			require.Equal(t, uncertain, d)
		}
		require.LessOrEqual(t, lookups(), maxUnknownWaiting, "also of callers that have left")
		require.Zero(t, h.waiting.Load())
		time.Sleep(2 * time.Second)
	})
}

// TestMovedKey guards against a request that is sent as one of a workspace that its key does
// not belong to any more, and against 401 for it.
func TestMovedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(5 * time.Second)
		key := tamarackknot.HashKey("k")
		for version, step := range map[int64]struct {
			workspaces [][]string
			want       tamarackknot.AuthDecision
		}{
			1: {[][]string{{"a", "k"}, {"b", "l"}}, granted},
			2: {[][]string{{"a"}, {"b", "k"}}, uncertain},
			3: {[][]string{{"a", "k"}, {"b", "k"}}, unknown},
			4: {[][]string{{"a", "k", "k"}, {"b"}}, granted},
			5: {[][]string{{"b", "l"}}, unknown},
		} {
			h := newHost(5 * time.Second)
			h.set(1, []string{"a", "k"}, []string{"b", "l"})
			h.set(version, step.workspaces...)
			h.confirm(version)
			require.Equal(t, step.want, h.Check(key, "a"), "%d", version)
		}
		h.set(7, []string{"a", "l"})
		h.set(6, []string{"a", "k"})
		h.confirm(7)
		require.Equal(t, unknown, h.Check(key, "a"), "an older version comes late")
	})
}

// TestProof guards against a forwarded request that is refused although its key holds, that
// another caller can make, or that shows the key to who reads it.
func TestProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newHost(5*time.Second), newHost(5*time.Second)
		for _, h := range []*host{a, b} {
			h.set(4, []string{"w", "k", "l"})
			h.confirm(4)
		}
		key := tamarackknot.HashKey("k")
		proof := a.Prove(key, "id\nPOST\n/p")
		require.NotContains(t, proof, fmt.Sprintf("%x", key[:])[16:])
		got, w, d := b.AuthenticateProven(t.Context(), proof, "id\nPOST\n/p")
		require.Equal(t, granted, d)
		require.Equal(t, key, got)
		require.Equal(t, "w", w.Name)
		head, _, _ := strings.Cut(proof, ".")
		sum := proof[len(head):]
		for name, forged := range map[string]string{
			"empty": "", "no sum": head, "another sum": proof[:len(proof)-4] + "AAAA", "cut": proof[:len(proof)-4],
			"the prefix of another key": strings.Repeat("1", len(head)) + sum, "a key of zeros": a.Prove(tamarackknot.KeyHash{}, "id\nPOST\n/p"),
			"not hexadecimal": "x" + proof, "not base64": proof + "!", "long": strings.Repeat("f", 1<<16), "the key of nobody": a.Prove(tamarackknot.HashKey("m"), "id\nPOST\n/p"),
		} {
			b.confirm(4)
			_, w, d = b.AuthenticateProven(t.Context(), forged, "id\nPOST\n/p")
			require.Equal(t, unknown, d, name)
			require.Nil(t, w, name)
		}
		b.confirm(4)
		_, _, d = b.AuthenticateProven(t.Context(), proof, "id\nPOST\n/q")
		require.Equal(t, unknown, d, "the proof of another request")
		time.Sleep(time.Millisecond)
		began := time.Now()
		go func() {
			time.Sleep(200 * time.Millisecond)
			b.confirm(5)
			b.set(5, []string{"w", "m"})
		}()
		_, w, d = b.AuthenticateProven(t.Context(), a.Prove(tamarackknot.HashKey("m"), "x"), "x")
		require.Equal(t, granted, d, "the other host has a newer configuration")
		require.Equal(t, "w", w.Name)
		require.Less(t, time.Since(began), 300*time.Millisecond)
	})
}

// TestDirectory guards against keys that are lost, kept or given to another workspace by a
// change, and against remains of former keys.
func TestDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDirectory()
		names, keys := []string{"a", "b", "c"}, []string{"1", "2", "3", "4"}
		for version := int64(1); version < 12; version++ {
			c := &tamarackknot.Catalog{Version: version}
			holders := make(map[string][]string)
			for _, name := range names {
				if rapid.Bool().Draw(t, "absent") {
					continue
				}
				w := tamarackknot.Workspace{Name: name, Priority: int(version)}
				for _, key := range rapid.SliceOfN(rapid.SampledFrom(keys), 0, 4).Draw(t, "keys") {
					w.Keys = append(w.Keys, tamarackknot.HashKey(key))
					if h := holders[key]; len(h) == 0 || h[len(h)-1] != name {
						holders[key] = append(h, name)
					}
				}
				c.Workspaces = append(c.Workspaces, w)
			}
			d.set(c)
			prefixes := 0
			for _, key := range keys {
				w, v := d.find(tamarackknot.HashKey(key))
				require.Equal(t, version, v)
				require.Equal(t, len(holders[key]) == 1, w != nil)
				if w != nil {
					require.Equal(t, holders[key][0], w.Name)
					require.Equal(t, int(version), w.Priority, "the newest entry")
				}
				if len(holders[key]) > 0 {
					prefixes++
				}
			}
			require.Len(t, d.byKey, len(holders))
			require.Len(t, d.byPrefix, prefixes)
			require.Len(t, d.byName, len(c.Workspaces))
		}
	})
}

// manyKeys returns a configuration with many keys.
func manyKeys(version int64, workspaces, keys int) *tamarackknot.Catalog {
	c := &tamarackknot.Catalog{Version: version}
	for i := range workspaces {
		w := tamarackknot.Workspace{Name: "w" + strconv.Itoa(i)}
		for j := range keys / workspaces {
			w.Keys = append(w.Keys, tamarackknot.HashKey(fmt.Sprintf("%d/%d", i, j)))
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	return c
}

// TestMemory guards against a directory that takes too much of a small host: 5 MB for 10,000
// keys.
func TestMemory(t *testing.T) {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	a := New(Config{Logger: log.New(io.Discard)})
	a.Set(manyKeys(1, 16, 10000))
	used := heap() - before
	t.Logf("10,000 keys take %d KB", used>>10)
	require.Less(t, used, int64(5<<20))
	runtime.KeepAlive(a)
}

// BenchmarkAuthenticate measures the check of a request among 10,000 keys.
func BenchmarkAuthenticate(b *testing.B) {
	for name, check := range map[string]func(a *Authority, key string){
		"arrival": func(a *Authority, key string) {
			if _, d := a.Authenticate(context.Background(), tamarackknot.HashKey(key)); d != granted {
				panic(d)
			}
		},
		"sending": func(a *Authority, _ string) {
			if d := a.Check(tamarackknot.HashKey("0/1"), "w0"); d != granted {
				panic(d)
			}
		},
	} {
		b.Run(name, func(b *testing.B) {
			a := New(Config{ConfirmedAt: func(int64) time.Duration { return time.Hour * 1e4 }, Limit: 5 * time.Second, Logger: log.New(io.Discard)})
			a.Set(manyKeys(1, 16, 10000))
			keys := make([]string, 0, 10000)
			for i := range 16 {
				for j := range 625 {
					keys = append(keys, fmt.Sprintf("%d/%d", i, j))
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				check(a, keys[i%len(keys)])
			}
		})
	}
}

// BenchmarkChange measures a change of one key among 10,000.
func BenchmarkChange(b *testing.B) {
	a := New(Config{Logger: log.New(io.Discard)})
	versions := []*tamarackknot.Catalog{manyKeys(1, 16, 10000), manyKeys(1, 16, 10000)}
	versions[1].Workspaces[3].Keys[5] = tamarackknot.HashKey("new")
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		a.Set(versions[i%2])
	}
}
