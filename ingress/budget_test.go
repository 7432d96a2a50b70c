package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/catalog"
	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/fake"
)

// TestRetryBudgetOfDelayedRetries guards against retries that count within the window
// of the decision although they reach the endpoint after it, together with those of
// the next window.
func TestRetryBudgetOfDelayedRetries(t *testing.T) {
	const slack, window, dialTime = 3, 10 * time.Second, 9 * time.Second
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		dials := 0
		arrivals := make(map[string][]time.Time) // by request id
		network, logger := fake.NewNetwork(), log.New(io.Discard)
		listener, err := network.Host("e").Listen(t.Context(), "10.0.0.1:80")
		require.NoError(t, err)
		endpoint := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			id := r.Header.Get("Id")
			arrivals[id] = append(arrivals[id], time.Now())
			w.Header().Set("Id", id)
			decline(w, r)
		})}
		go func() { _ = endpoint.Serve(listener) }()
		defer func() { _ = endpoint.Close() }()

		d := dispatch.New(dispatch.Config{PlannerViewCurrent: func() bool { return false }, Logger: logger})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Run(ctx)
		d.SetEndpoints(map[string]tamarackknot.EndpointEntry{
			"a": {ID: "a", Service: "s", Address: "10.0.0.1:80", Slots: 100, State: tamarackknot.EndpointReady},
		}, map[string][]string{"s": {"a"}}, true)
		catalogs := catalog.New(catalog.Config{Logger: logger})
		catalogs.Offer(&tamarackknot.Catalog{Version: 1, Services: map[string]tamarackknot.PoolSpec{"s": {Name: "s"}}, Routes: []tamarackknot.Route{{
			Name: "r", Host: "a.example", Prefix: "/p/", Objective: 20 * time.Second, Attempts: 1,
			Shares: []tamarackknot.Share{{Service: "s", Weight: 1}},
		}}})
		server := New(Config{
			Catalog: catalogs.Current, Dispatch: d, Dialect: testDialect{}, Logger: logger, HostCount: func() int { return 1 }, Crashes: &testCrashes{},
			Budget: &dispatch.RetryBudget{Slack: slack, Window: window, Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) }},
			// The connections of the first retries take long.
			Dial: func(ctx context.Context, network_, address string) (net.Conn, error) {
				mu.Lock()
				dials++
				delayed := dials > slack && dials <= 2*slack
				mu.Unlock()
				if delayed {
					time.Sleep(dialTime)
				}
				return network.Host("h").Dial(ctx, network_, address)
			},
		})
		var calls sync.WaitGroup
		call := func(id string) {
			calls.Go(func() {
				r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://a.example/p/x", strings.NewReader("x"))
				r.Header.Set("Id", id)
				r.Header.Set("Patience", "25s")
				server.ServeHTTP(httptest.NewRecorder(), r)
			})
		}
		for _, id := range []string{"a", "b", "c"} {
			call(id)
		}
		time.Sleep(window + time.Second)
		for _, id := range []string{"d", "e", "f"} {
			call(id)
		}
		calls.Wait()
		var repeats []time.Time
		for _, at := range arrivals {
			repeats = append(repeats, at[1:]...)
		}
		require.NotEmpty(t, repeats)
		for _, from := range repeats {
			n := 0
			for _, at := range repeats {
				if !at.Before(from) && at.Sub(from) <= window {
					n++
				}
			}
			require.LessOrEqual(t, n, slack, "retries from %v on, of %v", from, repeats)
		}
	})
}
