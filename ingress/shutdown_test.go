package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/dispatch"
)

// Times of a shutdown, from its beginning.
const (
	testAcceptLong = 400 * time.Millisecond
	testWait       = 600 * time.Millisecond
	testEnd        = 1500 * time.Millisecond
	testLate       = 500 * time.Millisecond // after testAcceptLong, before testWait
)

// part is what a caller sends at a time from the beginning of the shutdown.
type part struct {
	at   time.Duration
	text string
}

// rawRequest returns a request; header and body are optional.
func rawRequest(header, body string) string {
	return "POST /p/x HTTP/1.1\r\nHost: a.example\r\nId: id-1\r\n" + header + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

// slowEvents streams events for two seconds.
func slowEvents(w http.ResponseWriter, r *http.Request) {
	events(9, func(int, http.ResponseWriter) { time.Sleep(250 * time.Millisecond) })(w, r)
}

// silent answers after the end of the shutdown.
func silent(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // net/http detects a disconnect only then
	<-r.Context().Done()
}

// TestShutdown guards against requests that a host which shuts down takes on, on whatever
// way they come, and then cuts without an answer, or refuses although they ran.
func TestShutdown(t *testing.T) {
	const (
		long, short = "Patience: 9s\r\n", "Patience: 500ms\r\n"
		chunked     = "POST /p/x HTTP/1.1\r\nHost: a.example\r\nId: id-1\r\n" + long + "Transfer-Encoding: chunked\r\n\r\n"
		once        = tamarackknot.RouteOnce
		repeatable  = tamarackknot.RouteRepeatable
	)
	quick := respond(http.StatusOK, "found")
	request := rawRequest(long, "x")
	const halfOfBody = 1
	cases := map[string]struct {
		kind      tamarackknot.RouteKind
		endpoints []http.HandlerFunc
		sent      []part
		fresh     bool // the connection has had no request before the shutdown
		queued    bool // the process accepts the connection when its listener closes
		full      bool // another request has the only slot
		isolated  bool
		resumable bool
		status    int  // of the answer
		cut       bool // in the middle of the answer, after the end
		reached   int  // requests at endpoints
		body      string
		elsewhere bool // another host that forwarded the request may try a further one
	}{
		"a kept connection, early":                          {kind: stream, endpoints: []http.HandlerFunc{slowEvents}, sent: []part{{200 * time.Millisecond, request}}, status: 200, cut: true, reached: 1},
		"a kept connection, late":                           {kind: stream, endpoints: []http.HandlerFunc{slowEvents}, sent: []part{{testLate, request}}, status: 503},
		"a kept connection, late, may run once":             {kind: once, endpoints: []http.HandlerFunc{quick}, sent: []part{{testLate, request}}, status: 503},
		"a kept connection, late, answered in time":         {kind: once, endpoints: []http.HandlerFunc{quick}, sent: []part{{testLate, rawRequest(short, "x")}}, status: 200, body: "found", reached: 1},
		"a kept connection, late, no answer by its timeout": {kind: once, endpoints: []http.HandlerFunc{silent}, sent: []part{{testLate, rawRequest(short, "x")}}, status: 504, reached: 1},
		"a new connection, late":                            {kind: stream, endpoints: []http.HandlerFunc{slowEvents}, sent: []part{{testLate, request}}, fresh: true, status: 503},
		"the queue of the kernel":                           {kind: stream, endpoints: []http.HandlerFunc{slowEvents}, sent: []part{{testLate, request}}, fresh: true, queued: true, status: 503},
		"the rest of a body, late": {
			kind: once, endpoints: []http.HandlerFunc{quick}, status: 503,
			sent: []part{{100 * time.Millisecond, rawRequest(long, "xy")[:len(rawRequest(long, "xy"))-halfOfBody]}, {testLate, "y"}},
		},
		"the rest of a chunked body, late": {
			kind: once, endpoints: []http.HandlerFunc{quick}, status: 503,
			sent: []part{{100 * time.Millisecond, chunked + "1\r\nx\r\n"}, {testLate, "1\r\ny\r\n0\r\n\r\n"}},
		},
		"waits for an endpoint":     {kind: once, endpoints: []http.HandlerFunc{quick}, sent: []part{{100 * time.Millisecond, request}}, full: true, status: 503},
		"another host passes it on": {kind: stream, endpoints: []http.HandlerFunc{slowEvents}, sent: []part{{testLate, rawRequest(long+headerForwardedBy+": h\r\n", "x")}}, status: 503, elsewhere: true},
		"has to be passed on":       {kind: once, isolated: true, sent: []part{{testLate, request}}, status: 503},
		"a stream is taken up again": {
			kind: stream, resumable: true, endpoints: []http.HandlerFunc{slowEvents}, status: 503,
			sent: []part{{testLate, rawRequest(long+"After: 1\r\nResumes: r0\r\n", "x")}},
		},
		"a second attempt, late": {
			kind: repeatable, status: 502, reached: 1, sent: []part{{100 * time.Millisecond, request}},
			endpoints: []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) { time.Sleep(testLate); resetConn(w, r) }, quick},
		},
		"no answer at the end, may run once": {kind: once, endpoints: []http.HandlerFunc{silent}, sent: []part{{100 * time.Millisecond, request}}, status: 502, reached: 1},
		"no event at the end":                {kind: stream, endpoints: []http.HandlerFunc{silent}, sent: []part{{100 * time.Millisecond, request}}, status: 502, reached: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, tamarackknot.Route{Kind: tc.kind, Resumable: tc.resumable, Attempts: 2}, tc.endpoints...)
			go h.dispatcher.Run(t.Context())
			h.server.cfg.Isolated = func() bool { return tc.isolated }
			h.server.cfg.OtherHosts = func() []tamarackknot.HostEntry { return nil }
			tcp, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			conns := NewConnTimeouts(ConnConfig{Limits: func() tamarackknot.CallerLimits { return tamarackknot.CallerLimits{} }})
			server := &http.Server{Handler: h.server, ReadHeaderTimeout: time.Minute}
			l := gatedListener{conns.Watch(server, tcp), make(chan struct{})}
			served := make(chan error, 1)
			go func() { served <- server.Serve(l) }()
			if !tc.queued {
				close(l.gate)
			}
			if tc.full {
				h.fill(t)
			}
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", tcp.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			in := bufio.NewReader(conn)
			if !tc.fresh {
				_, err = io.WriteString(conn, "GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n")
				require.NoError(t, err)
				resp, err := http.ReadResponse(in, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusNotFound, resp.StatusCode)
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}

			started := time.Now()
			plan := dispatch.Shutdown{AcceptLongUntil: started.Add(testAcceptLong), WaitUntil: started.Add(testWait), End: started.Add(testEnd)}
			h.server.Drain()
			h.dispatcher.Shutdown(plan)
			finished := make(chan error, 1)
			go func() { finished <- h.server.Finish(context.WithoutCancel(t.Context()), conns, plan) }()
			for _, p := range tc.sent {
				time.Sleep(time.Until(started.Add(p.at)))
				_, err = io.WriteString(conn, p.text)
				require.NoError(t, err)
			}
			if tc.queued {
				time.Sleep(time.Until(started.Add(testWait)))
				close(l.gate)
			}
			resp, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			answered := time.Since(started)
			require.Equal(t, tc.status, resp.StatusCode, string(body))
			require.True(t, resp.Close, "the connection is closed after the answer")
			require.Len(t, h.reached(), tc.reached)
			if tc.body != "" {
				require.Equal(t, tc.body, string(body))
			}
			if tc.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
				require.Less(t, answered, testEnd)
			}
			require.Equal(t, tc.elsewhere, resp.Header.Get(headerIsolated) != "")
			if tc.cut {
				require.Error(t, err)
				require.GreaterOrEqual(t, answered, testEnd)
				require.True(t, strings.HasPrefix(allEvents(9), string(body)))
			} else {
				require.NoError(t, err)
			}
			require.NoError(t, <-finished)
			require.Less(t, time.Since(started), testEnd+cutAnswerTime)
			require.ErrorIs(t, <-served, net.ErrClosed, "the listener was closed, not the server")
			_ = server.Close()
		})
	}
}

// fill leaves the endpoints one place each, and takes all.
func (h *harness) fill(t *testing.T) {
	t.Helper()
	for id, e := range h.entries {
		e.Slots = 1
		h.entries[id] = e
	}
	h.setVersions("1")
	h.takeAll(t)
}

// takeAll takes all places of the listed endpoints.
func (h *harness) takeAll(t *testing.T) {
	t.Helper()
	for {
		ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(50*time.Millisecond))
		g, _ := h.dispatcher.Acquire(ctx, &dispatch.Request{Service: "s", Deadline: time.Now().Add(time.Minute)})
		cancel()
		if g == nil {
			return
		}
		t.Cleanup(func() { g.Done(dispatch.ResultAnswered) })
	}
}
