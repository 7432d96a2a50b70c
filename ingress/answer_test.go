package ingress

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/answertest"
)

// TestBrokenAnswers guards against a malformed answer that reaches the caller as an answer, or that
// says of a request which may have run that it has not.
func TestBrokenAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		kind   tamarackknot.RouteKind
		fields string
		body   string
		sound  http.HandlerFunc
		status int
	}{
		"once":                  {once, "", "ok", respond(200, "whole"), 502},
		"once, as if not run":   {once, "NotRun: 1\r\n", "ok", respond(200, "whole"), 502},
		"repeatable":            {repeatable, "", "ok", respond(200, "whole"), 200},
		"stream":                {stream, "", allEvents(2), events(4, nil), 502},
		"stream, as if not run": {stream, "NotRun: 1\r\n", allEvents(2), events(4, nil), 502},
	} {
		answer := answertest.Answer{Status: "200 OK", Fields: "Id: id-1\r\nSigned: a\r\n" + c.fields, Body: c.body}
		for broken, text := range answer.Broken() {
			t.Run(name+", "+broken, func(t *testing.T) {
				h := newHarness(t, tamarackknot.Route{Kind: c.kind, Attempts: 2}, answertest.Handler(text), c.sound)
				resp, body, err := h.do(call{body: "question"})
				require.NoError(t, err)
				require.Equal(t, c.status, resp.StatusCode, body)
				if c.status == http.StatusOK {
					require.Equal(t, "whole", body)
				}
				require.Equal(t, c.status != http.StatusOK, resp.Header.Get("Signed") == "")
			})
		}
	}
}

// TestBrokenAnswersOfHost guards against the same with another host to which the request was
// forwarded.
func TestBrokenAnswersOfHost(t *testing.T) {
	for name, fields := range map[string]string{"answered": "", "as if it may not send it": headerIsolated + ": 1\r\n"} {
		answer := answertest.Answer{Status: "200 OK", Fields: "Id: id-1\r\nSigned: a\r\n" + fields, Body: "ok"}
		for broken, text := range answer.Broken() {
			t.Run(name+", "+broken, func(t *testing.T) {
				h := newHarness(t, tamarackknot.Route{Kind: once})
				h.isolate(answertest.Handler(text), respond(200, "whole"))
				resp, body, err := h.do(call{body: "question"})
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, body)
				require.Empty(t, resp.Header.Get("Signed"))
			})
		}
	}
}
