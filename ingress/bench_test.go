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

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkForward measures the CPU time per request, with a body of 1 KB and a
// response of 2 KB, and per stream event. The caller and the endpoint run in
// the same process; the "direct" cases measure their share, without an entry
// host in between.
func BenchmarkForward(b *testing.B) {
	const eventsPerStream = 200
	fullResponse := respond(http.StatusOK, strings.Repeat("x", 2048))
	streamEvents := func(w http.ResponseWriter, _ *http.Request) {
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
		"request":        {endpoint: fullResponse, route: tamarackknot.Route{Kind: tamarackknot.RouteRepeatable}},
		"request/once":   {endpoint: fullResponse, route: tamarackknot.Route{Kind: once}},
		"request/direct": {endpoint: fullResponse, direct: true},
		"event":          {endpoint: streamEvents, route: tamarackknot.Route{Kind: tamarackknot.RouteStream}, events: eventsPerStream},
		"event/direct":   {endpoint: streamEvents, direct: true, events: eventsPerStream},
	} {
		b.Run(name, func(b *testing.B) {
			h := newHarness(b, tt.route, tt.endpoint)
			url := h.entryHost.URL
			if tt.direct {
				url = "http://" + h.entries["a"].Address
			}
			body := strings.Repeat("y", 1024)
			calls := b.N
			if tt.events > 0 {
				calls = (b.N + tt.events - 1) / tt.events
			}
			b.ReportAllocs()
			b.ResetTimer()
			before := cpuTime(b)
			for range calls {
				req := h.request(b.Context(), call{body: body})
				target, err := req.URL.Parse(url + "/p/x")
				require.NoError(b, err)
				req.URL, req.Close = target, false
				resp, err := h.entryHost.Client().Do(req)
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(b, err)
				require.NoError(b, resp.Body.Close())
				require.Equal(b, http.StatusOK, resp.StatusCode)
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N)/float64(time.Microsecond), "cpu-us/op")
		})
	}
}
