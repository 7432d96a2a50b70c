package ingress

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// processorTime is what this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkForward measures the processor time of a request of 1 KB with an
// answer of 2 KB, and of one event of a stream. The caller and the endpoint run
// in the same process; the cases "direct" are what they take without an entry
// host between them.
func BenchmarkForward(b *testing.B) {
	const eventsPerStream = 200
	whole := answering(http.StatusOK, strings.Repeat("x", 2048))
	stream := func(w http.ResponseWriter, _ *http.Request) {
		for range eventsPerStream {
			_, _ = io.WriteString(w, "id: 1\ndata: {\"token\":\"word\",\"index\":1}\n\n")
			_ = http.NewResponseController(w).Flush()
		}
	}
	for name, tt := range map[string]struct {
		endpoint http.HandlerFunc
		route    tamarackknot.Route
		direct   bool
		events   int
	}{
		"request":        {endpoint: whole, route: tamarackknot.Route{Kind: tamarackknot.RouteRepeatable}},
		"request/once":   {endpoint: whole, route: tamarackknot.Route{Kind: once}},
		"request/direct": {endpoint: whole, direct: true},
		"event":          {endpoint: stream, route: tamarackknot.Route{Kind: tamarackknot.RouteStream}, events: eventsPerStream},
		"event/direct":   {endpoint: stream, direct: true, events: eventsPerStream},
	} {
		b.Run(name, func(b *testing.B) {
			bed := newBed(b, tt.route, tt.endpoint)
			url := bed.front.URL
			if tt.direct {
				url = "http://" + bed.entries["a"].Address
			}
			body := strings.Repeat("y", 1024)
			calls := b.N
			if tt.events > 0 {
				calls = (b.N + tt.events - 1) / tt.events
			}
			b.ReportAllocs()
			b.ResetTimer()
			before := processorTime(b)
			for range calls {
				req := bed.request(b.Context(), call{body: body})
				target, err := req.URL.Parse(url + "/p/x")
				require.NoError(b, err)
				req.URL, req.Close = target, false
				resp, err := bed.front.Client().Do(req)
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(b, err)
				require.NoError(b, resp.Body.Close())
				require.Equal(b, http.StatusOK, resp.StatusCode)
			}
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N)/float64(time.Microsecond), "cpu-us/op")
		})
	}
}
