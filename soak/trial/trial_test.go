package trial

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStreamText guards against a truncated stream that counts as complete.
func TestStreamText(t *testing.T) {
	const first, second = `data: {"choices":[{"text":"a "}]}` + "\n\n", `data: {"choices":[{"text":"b "}]}` + "\n\n"
	for name, tt := range map[string]struct {
		body, text string
		done       bool
	}{
		"whole":   {first + second + "data: [DONE]\n\n", "a b ", true},
		"cut":     {first, "a ", false},
		"empty":   {},
		"no JSON": {"data: x\n\ndata: [DONE]\n\n", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			text, done := streamText(tt.body)
			require.Equal(t, tt.text, text)
			require.Equal(t, tt.done, done)
		})
	}
}

// TestCheckHistory guards against violations that go undetected: a second
// execution, an execution that the response denied, a response without an
// execution, an engine loaded beyond its memory, and too many replicas.
func TestCheckHistory(t *testing.T) {
	for name, tt := range map[string]struct {
		request requestOutcome
		history string
		want    string
	}{
		"once":              {requestOutcome{atMostOnce: true, ran: true}, `{"runs":{"r":1}}`, ""},
		"twice":             {requestOutcome{atMostOnce: true, ran: true}, `{"runs":{"r":2}}`, "ran 2 times"},
		"twice, repeatable": {requestOutcome{ran: true}, `{"runs":{"r":2}}`, ""},
		"denied":            {requestOutcome{notRun: true}, `{"runs":{"r":1}}`, "told that it did not"},
		"not run":           {requestOutcome{notRun: true}, `{"runs":{}}`, ""},
		"never ran":         {requestOutcome{ran: true}, `{"runs":{}}`, "never ran"},
		"unknown":           {requestOutcome{atMostOnce: true}, `{"runs":{"r":1}}`, ""},
		"beyond memory":     {requestOutcome{}, `{"exceeded":["e-01"],"runs":{}}`, "beyond its memory"},
		"too many replicas": {requestOutcome{}, `{"peakReplicas":{"m":3},"runs":{}}`, "3 replicas"},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, tt.history) }))
			defer s.Close()
			port := s.Listener.Addr().(*net.TCPAddr).Port
			tr := &trial{cluster: &cluster{cfg: Config{Port: port}}, requests: map[string]*requestOutcome{"r": &tt.request}}
			tr.checkHistory(t.Context())
			if tt.want == "" {
				require.Empty(t, tr.violations)
				return
			}
			require.Len(t, tr.violations, 1)
			require.Contains(t, tr.violations[0], tt.want)
		})
	}
}

// TestProxy guards against modes that have no effect or whose effect stays after
// the mode is reset.
func TestProxy(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer s.Close()
	p, err := newProxy("127.0.0.1:0", strings.TrimPrefix(s.URL, "http://"))
	require.NoError(t, err)
	defer func() { _ = p.listener.Close() }()
	client := newClient()
	client.Timeout = time.Second
	get := func() (string, time.Duration, error) {
		client.CloseIdleConnections()
		start := time.Now()
		resp, err := client.Get("http://" + p.listener.Addr().String())
		if err != nil {
			return "", time.Since(start), err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return string(body), time.Since(start), err
	}
	for name, tt := range map[string]struct {
		mode    mode
		ok      bool
		atLeast time.Duration
	}{
		"pass":           {mode: modePass, ok: true},
		"delay":          {mode: modeDelay, ok: true, atLeast: 2 * forwardDelay},
		"reset":          {mode: modeReset},
		"drop responses": {mode: modeDropResponses, atLeast: time.Second},
		"silence":        {mode: modeDropAll, atLeast: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p.setMode(tt.mode)
			body, took, err := get()
			require.Equal(t, tt.ok, err == nil && body == "ok", "%v", err)
			require.GreaterOrEqual(t, took, tt.atLeast)
			p.setMode(modePass)
			body, _, err = get()
			require.NoError(t, err)
			require.Equal(t, "ok", body)
		})
	}
}
