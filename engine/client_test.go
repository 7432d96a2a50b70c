package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/engine"
	"tamarackknot.example/tamarackknot/fake"
)

func order(kind tamarackknot.OrderKind, target string, memoryMB int64, fence tamarackknot.Offset) tamarackknot.Order {
	return tamarackknot.Order{Kind: kind, Target: target, Version: "1", MemoryMB: memoryMB, Fence: fence}
}

func serve(t *testing.T, h http.Handler) (address string) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func newClient(t *testing.T, cfg engine.Config) *engine.Client {
	t.Helper()
	c := engine.NewClient(cfg)
	t.Cleanup(c.Close)
	return c
}

// Guards against an order that is reported as refused although it may have taken
// effect, and against one whose outcome is unknown although the engine responded.
func TestOrderOutcomes(t *testing.T) {
	store := fake.NewWeightStore(fake.WeightStoreConfig{LoadsPerSecond: 0.001, LoadsAtOnce: 1})
	for name, tc := range map[string]struct {
		faults  fake.Faults
		orders  []tamarackknot.Order // the outcome of the last one is checked
		want    tamarackknot.OrderOutcome
		loaded  int // number of targets loaded at the end
		timeout time.Duration
	}{
		"done": {
			orders: []tamarackknot.Order{order(tamarackknot.OrderLoad, "a", 10, 1)}, want: tamarackknot.OrderDone, loaded: 1,
		},
		"repeated": {
			orders: []tamarackknot.Order{order(tamarackknot.OrderLoad, "a", 10, 1), order(tamarackknot.OrderLoad, "a", 10, 1)},
			want:   tamarackknot.OrderDone, loaded: 1,
		},
		"no memory": {
			orders: []tamarackknot.Order{order(tamarackknot.OrderLoad, "a", 101, 1)}, want: tamarackknot.OrderNoMemory,
		},
		"stale fence": {
			orders: []tamarackknot.Order{order(tamarackknot.OrderUnload, "a", 0, 2), order(tamarackknot.OrderLoad, "a", 10, 1)},
			want:   tamarackknot.OrderStaleFence,
		},
		"store busy": {
			orders: []tamarackknot.Order{order(tamarackknot.OrderLoad, "a", 10, 1), order(tamarackknot.OrderLoad, "remote", 10, 2)},
			want:   tamarackknot.OrderStoreBusy, loaded: 1,
		},
		"unknown kind": {
			orders: []tamarackknot.Order{order("explode", "a", 10, 1)}, want: tamarackknot.OrderRefused,
		},
		"refusing endpoint": {
			faults: fake.Faults{Refuse: true},
			orders: []tamarackknot.Order{order(tamarackknot.OrderLoad, "a", 10, 1)}, want: tamarackknot.OrderRefused,
		},
		"connection dropped before the effect": {
			faults: fake.Faults{Die: true},
			orders: []tamarackknot.Order{order(tamarackknot.OrderLoad, "a", 10, 1)}, want: tamarackknot.OrderUnknown,
		},
		"answer lost after the effect": {
			faults: fake.Faults{LoseAnswer: true},
			orders: []tamarackknot.Order{order(tamarackknot.OrderLoad, "a", 10, 1)}, want: tamarackknot.OrderUnknown, loaded: 1,
		},
		"deadline before a delayed effect": {
			faults:  fake.Faults{DelayOrder: 200 * time.Millisecond},
			orders:  []tamarackknot.Order{order(tamarackknot.OrderLoad, "a", 10, 1)},
			timeout: 50 * time.Millisecond, want: tamarackknot.OrderUnknown, loaded: 1,
		},
		"hanging endpoint": {
			faults:  fake.Faults{Hang: true},
			orders:  []tamarackknot.Order{order(tamarackknot.OrderLoad, "a", 10, 1)},
			timeout: 50 * time.Millisecond, want: tamarackknot.OrderUnknown,
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := fake.NewEngine(fake.EngineConfig{Name: "e", MemoryMB: 100, Fencing: true, HostMemoryMB: 100, Store: store})
			e.Cache("a", "1", 10, tamarackknot.TierMemory)
			if name == "store busy" {
				_, err := store.Start(0)
				require.NoError(t, err)
			}
			address := serve(t, e)
			e.SetFaults(tc.faults)
			c := newClient(t, engine.Config{})
			if tc.timeout == 0 {
				tc.timeout = 10 * time.Second
			}
			var result tamarackknot.OrderResult
			for _, o := range tc.orders {
				ctx, cancel := context.WithTimeout(t.Context(), tc.timeout)
				result = c.Order(ctx, address, o)
				cancel()
			}
			require.Equal(t, tc.want, result.Outcome, result.Message)
			require.Equal(t, tc.want == tamarackknot.OrderStoreBusy, !result.RetryAt.IsZero())
			require.Eventually(t, func() bool { return len(e.Loaded()) == tc.loaded }, 5*time.Second, 10*time.Millisecond)
		})
	}
}

// Guards against responses of proxies or faulty engines that are taken for the
// outcome of an order.
func TestOrderInvalidResponses(t *testing.T) {
	for name, tc := range map[string]struct {
		status int
		header string
		body   string
		want   tamarackknot.OrderOutcome
	}{
		"not JSON":         {status: 200, body: "ok", want: tamarackknot.OrderUnknown},
		"no outcome":       {status: 200, body: "{}", want: tamarackknot.OrderUnknown},
		"unknown outcome":  {status: 200, body: `{"outcome":"queued"}`, want: tamarackknot.OrderUnknown},
		"failed with done": {status: 500, body: `{"outcome":"done"}`, want: tamarackknot.OrderUnknown},
		"gateway error":    {status: 502, body: "bad gateway", want: tamarackknot.OrderUnknown},
		"redirect":         {status: 307, body: "", want: tamarackknot.OrderUnknown},
		"not run":          {status: 503, header: "notRun", body: "{}", want: tamarackknot.OrderRefused},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/elsewhere")
				if tc.header != "" {
					w.Header().Set("Run", tc.header)
				}
				w.WriteHeader(tc.status)
				_, _ = io.WriteString(w, tc.body)
			}))
			require.Equal(t, tc.want, newClient(t, engine.Config{}).Order(t.Context(), address, order(tamarackknot.OrderLoad, "a", 1, 1)).Outcome)
		})
	}
	t.Run("cut", func(t *testing.T) {
		address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"outcome":"refused"}`)
		}))
		require.Equal(t, tamarackknot.OrderUnknown,
			newClient(t, engine.Config{}).Order(t.Context(), address, order(tamarackknot.OrderLoad, "a", 1, 1)).Outcome)
	})
}

// Guards against orders whose outcome is unknown although no connection was opened.
func TestOrderWithoutConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := l.Addr().String()
	require.NoError(t, l.Close())
	c := newClient(t, engine.Config{})
	require.Equal(t, tamarackknot.OrderRefused, c.Order(t.Context(), closed, order(tamarackknot.OrderLoad, "a", 1, 1)).Outcome)
	_, err = c.Report(t.Context(), closed)
	require.Error(t, err)

	slow := newClient(t, engine.Config{
		DialTimeout: 10 * time.Millisecond,
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	require.Equal(t, tamarackknot.OrderRefused, slow.Order(t.Context(), closed, order(tamarackknot.OrderLoad, "a", 1, 1)).Outcome)
}

// Guards against reading a report without a timeout from an endpoint that hangs,
// and against fields that are lost in decoding.
func TestReport(t *testing.T) {
	e := fake.NewEngine(fake.EngineConfig{Name: "e", MemoryMB: 100, HostMemoryMB: 100})
	address := serve(t, e)
	c := newClient(t, engine.Config{ReportTimeout: 100 * time.Millisecond})
	require.Equal(t, tamarackknot.OrderDone, c.Order(t.Context(), address, order(tamarackknot.OrderLoad, "a", 10, 1)).Outcome)
	e.SetLeaving(true)
	r, err := c.Report(t.Context(), address)
	require.NoError(t, err)
	require.WithinDuration(t, time.Now(), r.Time, 5*time.Second)
	r.Time = time.Time{}
	require.Equal(t, tamarackknot.Report{
		Endpoint: "e", Leaving: true,
		Loaded: []tamarackknot.LoadedTarget{{Name: "a", Version: "1", MemoryMB: 10}},
		Cached: []tamarackknot.CachedTarget{{Name: "a", Version: "1", Tier: tamarackknot.TierMemory}},
	}, r)
	e.SetFaults(fake.Faults{Hang: true})
	_, err = c.Report(t.Context(), address)
	require.ErrorIs(t, err, context.DeadlineExceeded)
}
