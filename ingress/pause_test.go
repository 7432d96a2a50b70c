package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// TestPauseInBareAnswer guards against a pause that is not heeded because the answer which
// asks for it is made without reading the request, and so without its id.
func TestPauseInBareAnswer(t *testing.T) {
	for name, header := range map[string]http.Header{
		"with the id":          {"Notrun": {"1"}},
		"without an id":        {"Notrun": {"1"}, "Id": nil},
		"without id and stamp": {"Notrun": {"1"}, "Id": nil, "Signed": nil},
	} {
		for _, kind := range []tamarackknot.RouteKind{tamarackknot.RouteRepeatable, tamarackknot.RouteStream} {
			t.Run(name+"/"+string(kind), func(t *testing.T) {
				h := newHarness(t, tamarackknot.Route{Kind: kind, Attempts: 2, Objective: 200 * time.Millisecond}, func(w http.ResponseWriter, _ *http.Request) {
					for key, values := range header {
						w.Header()[key] = values
					}
					w.Header().Set("Pause", "20s")
					w.WriteHeader(http.StatusServiceUnavailable)
				})
				go h.dispatcher.Run(t.Context())
				for range 3 {
					resp, _, err := h.do(call{body: "x"})
					require.NoError(t, err)
					require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				}
				require.Len(t, h.reached(), 1)
			})
		}
	}
}
