package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/dispatch"
)

// TestSilentEndpoint guards against a stream that is broken off, or not begun, since its
// endpoint is silent for a while, though no other one can go on.
func TestSilentEndpoint(t *testing.T) {
	const silence = minStallTimeout + time.Second
	cases := map[string]struct {
		after   int // events before the silence
		others  int // further endpoints
		full    bool
		slack   float64
		leaving bool
		reached int
	}{
		"another endpoint goes on":                      {after: 2, others: 1, slack: 10, reached: 2},
		"another endpoint begins":                       {others: 1, slack: 10, reached: 2},
		"there is no other endpoint":                    {after: 2, slack: 10, reached: 1},
		"there is no other endpoint before the start":   {slack: 10, reached: 1},
		"the retry budget is spent":                     {after: 2, others: 1, reached: 1},
		"the retry budget is spent before the start":    {others: 1, reached: 1},
		"the other endpoint is full":                    {after: 2, others: 1, full: true, slack: 10, reached: 1},
		"the other endpoint is full before the start":   {others: 1, full: true, slack: 10, reached: 1},
		"the host shuts down and the other one is idle": {after: 2, others: 1, slack: 10, leaving: true, reached: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoints := []http.HandlerFunc{events(4, func(i int, _ http.ResponseWriter) {
				if i == tc.after {
					time.Sleep(silence)
				}
			})}
			for range tc.others {
				endpoints = append(endpoints, events(4, nil))
			}
			h := newHarness(t, tamarackknot.Route{Kind: stream, Resumable: true, Attempts: 2, GapObjective: 100 * time.Millisecond}, endpoints...)
			go h.dispatcher.Run(t.Context())
			h.server.cfg.Budget = &dispatch.RetryBudget{Slack: tc.slack, Window: 10 * time.Second}
			if tc.full {
				a := h.entries["a"]
				h.dispatcher.SetEndpoints(h.entries, map[string][]string{"s": {"b"}}, true)
				h.takeAll(t)
				h.entries["a"] = a
				h.dispatcher.SetEndpoints(h.entries, map[string][]string{"s": {"a", "b"}}, true)
			}
			if tc.leaving {
				now := time.Now()
				h.dispatcher.Shutdown(dispatch.Shutdown{AcceptLongUntil: now.Add(time.Second), WaitUntil: now.Add(time.Second), End: now.Add(2 * time.Second)})
			}
			resp, body, err := h.do(call{header: map[string]string{"Patience": "9s"}})
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode, body)
			require.Equal(t, allEvents(4), body)
			require.Len(t, h.reached(), tc.reached)
		})
	}
}
