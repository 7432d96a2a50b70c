package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/endpoint"
	"tamarackknot.example/tamarackknot/internal/journaltest"
	"tamarackknot.example/tamarackknot/routing"
)

// listenLoopback serves a handler on a free loopback port until the benchmark
// ends.
func listenLoopback(b *testing.B, h http.Handler) (address string) {
	b.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(b, err)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	b.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// startEntryHost starts an entry host with one engine on a loopback port.
func startEntryHost(b *testing.B, engine string) (address string) {
	b.Helper()
	store := journaltest.NewStore()
	store.Apply(&tamarackknot.Resource{
		Kind: tamarackknot.KindModel, Metadata: tamarackknot.Metadata{Name: "m"},
		Model: &tamarackknot.ModelSpec{Deployment: "d", Version: "1"},
	}, &tamarackknot.Resource{
		Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: "e1"},
		Endpoint: &tamarackknot.EndpointSpec{Address: engine, Slots: 1000},
	})
	store.SetReplica("m", "e1", tamarackknot.ReplicaLoaded)
	j := &journaltest.Journal{Store: store}
	m := &members{list: []tamarackknot.Member{{Host: tamarackknot.Host{Name: "entry-0"}}}}
	logger := log.NewWithOptions(discard{}, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true})
	table := endpoint.New(endpoint.Config{Journal: j, Engine: reporter{&sync.Map{}}, Logger: logger})
	router := routing.New(routing.Config{Journal: j, Table: table, Placement: &journaltest.Placement{}, Logger: logger})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { table.Run(ctx) })
	wg.Go(func() { router.Run(ctx) })
	b.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return listenLoopback(b, New(Config{
		Journal: j, Members: m, Router: router, Table: table, Addresses: m, Gate: &entryHost{state: GateReady}, Logger: logger,
	}))
}

// BenchmarkAddedLatency measures the latency that an entry host adds to a request.
// It sends requests alternately to the engine and through the entry host, 1,000
// per second each. Run it with -benchtime 10000x.
func BenchmarkAddedLatency(b *testing.B) {
	engine := listenLoopback(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/json")
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(w, `{"choices":[{"text":"`+strings.Repeat("x", 1000)+`"}]}`)
	}))
	for name, repeatable := range map[string]string{"repeatable": "true", "once": "false"} {
		b.Run(name, func(b *testing.B) {
			addresses := []string{engine, startEntryHost(b, engine)}
			times := []*hdrhistogram.Histogram{hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)}
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
			var mu sync.Mutex
			var wg sync.WaitGroup
			send := func(target int) {
				start := time.Now()
				req, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
					"http://"+addresses[target]+completionsPath, strings.NewReader(completionBody))
				if err == nil {
					req.Header.Set(headerRepeatable, repeatable)
					var resp *http.Response
					if resp, err = client.Do(req); err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
						if resp.StatusCode != http.StatusOK {
							b.Error(resp.Status)
						}
					}
				}
				took := time.Since(start)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					b.Error(err)
				}
				_ = times[target].RecordValue(took.Microseconds())
			}
			time.Sleep(50 * time.Millisecond)
			tick := time.NewTicker(500 * time.Microsecond)
			defer tick.Stop()
			for i := range 2 * b.N {
				<-tick.C
				wg.Go(func() { send(i % 2) })
			}
			wg.Wait()
			b.ReportMetric(0, "ns/op")
			for i, target := range []string{"direct", "entry"} {
				b.ReportMetric(float64(times[i].ValueAtQuantile(50)), target+"-p50-us")
				b.ReportMetric(float64(times[i].ValueAtQuantile(99)), target+"-p99-us")
			}
		})
	}
}
