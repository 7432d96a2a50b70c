package caller

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

func stringsReader(s string) io.Reader {
	if s == "" {
		return http.NoBody
	}
	return strings.NewReader(s)
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+string(body))
}

// TestWarmAndCold guards against the loss of a request for a model that is not
// loaded. The request must wait until a replica is loaded.
func TestWarmAndCold(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		t := h.t
		h.addEndpoint("engine", "", 2, http.HandlerFunc(echo))
		h.addModel("m")
		h.placement.OnDemand = func(d tamarackknot.Demand) {
			if d.Waiting > 0 {
				time.Sleep(5 * time.Second)
				h.store.SetReplica("m", "engine", tamarackknot.ReplicaLoaded)
			}
		}
		const body = `{"model":"m","prompt":"x"}`
		start := time.Now()
		cold := h.do(0, http.MethodPost, "/v1/completions", body)
		require.NoError(t, cold.err)
		require.Equal(t, http.StatusOK, cold.status, cold.body)
		require.Equal(t, "POST /v1/completions "+body, cold.body)
		require.Equal(t, 5*time.Second, time.Since(start))
		warm := h.do(0, http.MethodPost, "/v1/completions", body)
		require.Equal(t, cold.body, warm.body)
		require.Equal(t, 5*time.Second, time.Since(start))
		synctest.Wait()
		require.Zero(t, h.placement.Demand("m").Waiting)
	})
}
