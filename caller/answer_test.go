package caller

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot/internal/answertest"
)

// TestBrokenAnswers guards against a malformed answer that reaches the caller as an answer, or that
// says of a request which may have run that it has not.
func TestBrokenAnswers(t *testing.T) {
	for name, answer := range map[string]answertest.Answer{
		"answered":      {Status: "200 OK", Body: "ok"},
		"as if not run": {Status: "503 Service Unavailable", Fields: headerRun + ": notRun\r\n", Body: "ok"},
	} {
		for broken, text := range answer.Broken() {
			t.Run(name+", "+broken, func(t *testing.T) {
				inBubble(t, 1, func(h *harness) {
					t := h.t
					var requests atomic.Int64
					h.addService("book")
					h.addEndpoint("app", "book", 1, countRequests(&requests, answertest.Handler(text)))
					h.waitForHosts()
					a := h.do(0, http.MethodPost, "/services/book/a", "x")
					require.NoError(t, a.err)
					require.Equal(t, http.StatusBadGateway, a.status, a.body)
					require.Equal(t, RunUnknown, a.runStatus(t))
					require.EqualValues(t, 1, requests.Load())
				})
			})
		}
	}
}
