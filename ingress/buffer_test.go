package ingress

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// TestMemoryOfAllAnswers guards against endpoints that together send more than the host has
// memory for, though no answer by itself exceeds its limit.
func TestMemoryOfAllAnswers(t *testing.T) {
	const (
		requests = 16
		// answerBytes is what each endpoint sends of an answer that does not end.
		answerBytes = maxBufferedResponse - 1
		eventBytes  = maxEventBytes - 1
		timeout     = 5 * time.Second
		// quiet is how long the endpoints send nothing once they can't any more.
		quiet = 300 * time.Millisecond
	)
	for name, tc := range map[string]struct {
		kind     tamarackknot.RouteKind
		status   int
		bytes    int
		requests int
	}{
		"bodies":              {once, http.StatusOK, answerBytes, requests},
		"failures of streams": {stream, http.StatusInternalServerError, answerBytes, requests},
		"events":              {stream, http.StatusOK, eventBytes, 6 * requests},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			h := newHarness(t, tamarackknot.Route{Kind: tc.kind, Attempts: 1}, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.WriteHeader(tc.status)
				block := strings.Repeat("x", 4096)
				for n := 0; n+len(block) <= tc.bytes; n += len(block) {
					if _, err := io.WriteString(w, block); err != nil {
						return
					}
					sent.Add(int64(len(block)))
				}
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			})
			a := h.entries["a"]
			a.Slots = 6 * requests
			h.entries["a"] = a
			h.setVersions("1")
			go h.dispatcher.Run(t.Context())
			heap := func() uint64 {
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				return m.HeapAlloc
			}
			before := heap()
			began := time.Now()
			var running sync.WaitGroup
			for range tc.requests {
				running.Go(func() {
					resp, _, err := h.do(call{body: "x", header: map[string]string{"Patience": timeout.String()}})
					if err == nil {
						_ = resp.Body.Close()
					}
				})
			}
			// While buffers grow, the heap also holds those that they replace.
			for last := int64(-1); last != sent.Load(); time.Sleep(quiet) {
				last = sent.Load()
			}
			held := int64(heap()) - int64(before)
			require.Less(t, time.Since(began), timeout, "the host still waits for the answers")
			running.Wait()
			require.LessOrEqual(t, held, int64(2*maxBufferedResponses))
			require.True(t, h.server.buffers.left.TryAcquire(maxBufferedResponses), "the memory of all is free again")
		})
	}
}
