package origin

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

const testMemory = time.Minute

// versionsHost is a host that keeps or reads the record of versions.
type versionsHost struct {
	*Versions
	end context.CancelFunc

	mu     sync.Mutex
	listed []string
	keeps  bool
}

func startVersions(ctx context.Context, store *fake.Streams, name string, first, keeps bool, listed ...string) *versionsHost {
	h := &versionsHost{listed: listed, keeps: keeps}
	started := time.Now()
	h.Versions = NewVersions(VersionsConfig{
		Store: store.Client(name), Keeps: h.isKeeper, FirstStart: first, Memory: testMemory,
		Listed: h.versions, Add: h.add, Clock: func() time.Duration { return time.Since(started) + time.Hour }, Logger: log.New(io.Discard),
	})
	ctx, h.end = context.WithCancel(ctx)
	go h.Run(ctx)
	return h
}

func (h *versionsHost) isKeeper() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keeps
}

func (h *versionsHost) versions() map[string][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return map[string][]string{"s": slices.Clone(h.listed)}
}

func (h *versionsHost) add(versions map[string][]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range versions["s"] {
		if !slices.Contains(h.listed, v) {
			h.listed = append(h.listed, v)
		}
	}
}

// set changes what the host lists and whether it keeps the record.
func (h *versionsHost) set(keeps bool, listed ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keeps, h.listed = keeps, listed
}

// TestVersions guards against a host that takes what it has listed since its start for all
// versions that were listed lately.
func TestVersions(t *testing.T) {
	cases := map[string]struct {
		fault func(store *fake.Streams, keeper *versionsHost)
		first bool // the keeper starts for the first time
		wait  time.Duration
		known bool
		want  []string // at the reader
	}{
		"the keeper started with the system":        {first: true, known: true, want: []string{"1", "2"}},
		"the keeper started later":                  {known: false, want: []string{"1", "2"}},
		"the keeper started a minute ago":           {wait: testMemory, known: true, want: []string{"1", "2"}},
		"the store refuses the reader":              {first: true, fault: func(s *fake.Streams, _ *versionsHost) { s.SetDown("reader", true) }, want: []string{"2"}},
		"the answer to the keeper's write was lost": {first: true, fault: func(s *fake.Streams, k *versionsHost) { s.LoseAnswers(1); k.add(map[string][]string{"s": {"3"}}) }, known: true, want: []string{"1", "2", "3"}},
		"a write of an earlier keeper arrives late": {first: true, fault: func(s *fake.Streams, k *versionsHost) {
			s.DelayAppends(tamarackknot.StreamVersions, 1, 3*time.Second)
			k.set(true, "0")
			time.Sleep(keepInterval)
			k.end()
			next := startVersions(context.Background(), s, "next", false, true, "4")
			time.Sleep(4 * time.Second)
			next.end()
		}, known: true, want: []string{"1", "2", "4"}},
		"another writer left something": {first: true, fault: func(s *fake.Streams, k *versionsHost) {
			k.set(false, "1")
			_, _ = s.Put(context.Background(), tamarackknot.StreamVersions, versionsKey, []byte("{"))
		}, known: false, want: []string{"2"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(5 * time.Second)
				}()
				store := fake.NewStreams()
				keeper := startVersions(ctx, store, "keeper", tc.first, true, "1")
				time.Sleep(5 * keepInterval / 2)
				if tc.fault != nil {
					tc.fault(store, keeper)
				}
				time.Sleep(time.Second + tc.wait)
				reader := startVersions(ctx, store, "reader", false, false, "2")
				require.Equal(t, tc.known, reader.Known(ctx))
				require.ElementsMatch(t, tc.want, reader.versions()["s"])
				calls := store.Calls()
				for range 100 {
					reader.Known(ctx)
				}
				require.Equal(t, calls, store.Calls(), "requests cause a read each")
				time.Sleep(testMemory)
				require.True(t, reader.Known(ctx), "the host has run for longer than versions count")
			})
		})
	}
}
