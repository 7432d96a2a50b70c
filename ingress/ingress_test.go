package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

const (
	repeatable = tamarackknot.RouteRepeatable
	once       = tamarackknot.RouteOnce
	stream     = tamarackknot.RouteStream
)

// TestOutcomes guards against relaying responses that are truncated or not from
// the endpoint's run of this request, against running a request twice that may
// run once, and against reporting a request as not run that may have run.
func TestOutcomes(t *testing.T) {
	foreign := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "another")
		_, _ = io.WriteString(w, "x")
	}
	unsigned := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("Signed")
		_, _ = io.WriteString(w, "x")
	}
	short := rawResponse("HTTP/1.1 200 OK\r\nId: id-1\r\nSigned: a\r\nContent-Length: 10\r\n\r\nhalf")
	cases := map[string]struct {
		kind      tamarackknot.RouteKind
		endpoints []http.HandlerFunc
		status    int
		body      string
		reached   []string
	}{
		"answered":                               {once, []http.HandlerFunc{respond(200, "ok")}, 200, "ok", []string{"a"}},
		"endpoint's error is relayed":            {once, []http.HandlerFunc{respond(500, "bad"), respond(200, "ok")}, 500, "bad", []string{"a"}},
		"endpoint's 404 is relayed":              {once, []http.HandlerFunc{respond(404, "none")}, 404, "none", []string{"a"}},
		"error is retried":                       {repeatable, []http.HandlerFunc{respond(500, "bad"), respond(200, "ok")}, 200, "ok", []string{"a", "b"}},
		"second error is relayed":                {repeatable, []http.HandlerFunc{respond(500, "bad"), respond(500, "bad too"), respond(200, "ok")}, 500, "bad too", []string{"a", "b"}},
		"connection reset, once":                 {once, []http.HandlerFunc{resetConn, respond(200, "ok")}, 502, "", []string{"a"}},
		"connection reset, repeatable":           {repeatable, []http.HandlerFunc{resetConn, respond(200, "ok")}, 200, "ok", []string{"a", "b"}},
		"declined, once":                         {once, []http.HandlerFunc{decline, respond(200, "ok")}, 200, "ok", []string{"a", "b"}},
		"truncated response, once":               {once, []http.HandlerFunc{short}, 502, "", []string{"a"}},
		"truncated response, repeatable":         {repeatable, []http.HandlerFunc{short, respond(200, "ok")}, 200, "ok", []string{"a", "b"}},
		"response to another request":            {once, []http.HandlerFunc{foreign}, 502, "", []string{"a"}},
		"response without signature":             {once, []http.HandlerFunc{unsigned}, 502, "", []string{"a"}},
		"malformed response":                     {once, []http.HandlerFunc{rawResponse("garbage\r\n\r\n")}, 502, "", []string{"a"}},
		"reset before the stream, not resumable": {stream, []http.HandlerFunc{resetConn, events(3, nil)}, 502, "", []string{"a"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tamarackknot.Route{Kind: c.kind, Attempts: 2}, c.endpoints...)
			resp, body, err := h.do(call{body: "question"})
			require.NoError(t, err)
			require.Equal(t, c.status, resp.StatusCode)
			if c.body != "" {
				require.Equal(t, c.body, body)
			}
			require.Equal(t, c.reached, h.reached())
			require.Equal(t, c.status == 502, resp.Header.Get("Signed") == "")
		})
	}
}

// TestForwardUnchanged guards against changing the method, path, query or body
// of a request before it reaches the endpoint.
func TestForwardUnchanged(t *testing.T) {
	var got, body string
	h := newHarness(t, tamarackknot.Route{Kind: once}, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		got, body = r.Method+" "+r.RequestURI+" "+r.Host+" "+r.Header.Get("User-Agent"), string(data)
		_, _ = io.WriteString(w, "ok")
	})
	resp, _, err := h.do(call{method: "PUT", path: "/p/a%2Fb/../c?x=%20&y", body: "b\x00dy", header: map[string]string{"User-Agent": ""}})
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "PUT /p/a%2Fb/../c?x=%20&y a.example ", got)
	require.Equal(t, "b\x00dy", body)
}

// TestInvalidRequests guards against forwarding requests that have no route,
// exceed the limits or are malformed.
func TestInvalidRequests(t *testing.T) {
	cases := map[string]struct {
		call   call
		status int
	}{
		"no route":        {call{path: "/q/"}, 404},
		"body too large":  {call{body: strings.Repeat("x", 1<<17)}, 413},
		"headers too big": {call{header: map[string]string{"Big": strings.Repeat("x", 5000)}}, 431},
		"bad deadline":    {call{header: map[string]string{"Patience": "soon"}}, 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tamarackknot.Route{Kind: once}, respond(200, "ok"))
			resp, _, err := h.do(c.call)
			require.NoError(t, err)
			require.Equal(t, c.status, resp.StatusCode)
			require.Empty(t, h.reached())
		})
	}
}

// TestRouteOfNewerConfiguration guards against answering 404 for a route of a configuration
// that this host knows to be in force on others.
func TestRouteOfNewerConfiguration(t *testing.T) {
	h := newHarness(t, tamarackknot.Route{Kind: once}, respond(200, "x"))
	h.server.cfg.CatalogBehind = func() bool { return true }
	resp, _, err := h.do(call{path: "/q/"})
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	resp, _, err = h.do(call{})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// TestNoConfiguration guards against answering 404 before the host has received
// a configuration.
func TestNoConfiguration(t *testing.T) {
	h := newHarness(t, tamarackknot.Route{Kind: once}, respond(200, "ok"))
	h.view = nil
	resp, _, err := h.do(call{})
	require.NoError(t, err)
	require.Equal(t, 503, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// TestNoEndpoint guards against refusing a request late or without a
// Retry-After header while no endpoint is available.
func TestNoEndpoint(t *testing.T) {
	h := newHarness(t, tamarackknot.Route{Kind: once, Objective: 100 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go h.dispatcher.Run(ctx)
	started := time.Now()
	resp, _, err := h.do(call{})
	require.NoError(t, err)
	require.Equal(t, 503, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Less(t, time.Since(started), time.Second)
}

// TestTimeout guards against requests without a final response by the timeout
// of their route.
func TestTimeout(t *testing.T) {
	slow := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for name, kind := range map[string]tamarackknot.RouteKind{"once": once, "repeatable": repeatable, "stream": stream} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tamarackknot.Route{Kind: kind, Timeout: 300 * time.Millisecond}, slow)
			started := time.Now()
			resp, _, err := h.do(call{})
			require.NoError(t, err)
			require.Equal(t, 504, resp.StatusCode)
			require.Less(t, time.Since(started), 600*time.Millisecond)
		})
	}
}

// TestStream guards against streams with missing or duplicate events, and
// against truncated streams that look complete.
func TestStream(t *testing.T) {
	abort := func(at int) func(int, http.ResponseWriter) {
		return func(i int, _ http.ResponseWriter) {
			if i == at {
				panic(http.ErrAbortHandler)
			}
		}
	}
	cutInsideEvent := func(at int) func(int, http.ResponseWriter) {
		return func(i int, w http.ResponseWriter) {
			if i == at {
				_, _ = io.WriteString(w, "id: "+string(rune('0'+i))+"\nda")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}
	}
	// The end of the connection is the end of the response.
	const unframed = "HTTP/1.1 200 OK\r\nId: id-1\r\nSigned: a\r\n\r\n"
	cases := map[string]struct {
		resumable bool
		endpoints []http.HandlerFunc
		complete  bool
		body      string
	}{
		"whole":                     {false, []http.HandlerFunc{events(5, nil)}, true, allEvents(5)},
		"aborted":                   {false, []http.HandlerFunc{events(5, abort(3)), events(5, nil)}, false, allEvents(3)},
		"aborted inside an event":   {false, []http.HandlerFunc{events(5, cutInsideEvent(3))}, false, allEvents(3)},
		"resumed":                   {true, []http.HandlerFunc{events(5, abort(3)), events(5, nil)}, true, allEvents(5)},
		"resumed inside an event":   {true, []http.HandlerFunc{events(5, cutInsideEvent(3)), events(5, nil)}, true, allEvents(5)},
		"resumed, aborted again":    {true, []http.HandlerFunc{events(5, abort(1)), events(5, abort(3)), events(5, nil)}, false, allEvents(3)},
		"unframed":                  {false, []http.HandlerFunc{rawResponse(unframed + allEvents(5))}, true, allEvents(5)},
		"unframed, inside an event": {false, []http.HandlerFunc{rawResponse(unframed + allEvents(3) + "id: 3\nda")}, false, allEvents(3)},
		"unframed, resumed":         {true, []http.HandlerFunc{rawResponse(unframed + allEvents(3) + "id: 3\nda"), events(5, nil)}, true, allEvents(5)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tamarackknot.Route{Kind: stream, Resumable: c.resumable, Attempts: 2}, c.endpoints...)
			resp, body, err := h.do(call{})
			require.Equal(t, 200, resp.StatusCode)
			require.Equal(t, c.complete, err == nil)
			require.Equal(t, c.body, body)
			require.Equal(t, "a", resp.Header.Get("Signed"))
		})
	}
}

// TestStreamWithoutEvent guards against a stream that ends with its connection before its
// first event and looks complete.
func TestStreamWithoutEvent(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nId: id-1\r\nSigned: a\r\n\r\n"
	for name, tt := range map[string]struct {
		endpoints []http.HandlerFunc
		resumable bool
		after     string // the last event that the caller has
		status    int
		body      string
	}{
		"without an event":            {[]http.HandlerFunc{rawResponse(unframed)}, false, "", http.StatusBadGateway, ""},
		"inside the first event":      {[]http.HandlerFunc{rawResponse(unframed + "id: 0\nda")}, false, "", http.StatusBadGateway, ""},
		"resumed at another endpoint": {[]http.HandlerFunc{rawResponse(unframed), events(5, nil)}, true, "", http.StatusOK, allEvents(5)},
		"resumed after the last":      {[]http.HandlerFunc{events(5, nil)}, true, "4", http.StatusOK, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tamarackknot.Route{Kind: stream, Resumable: tt.resumable, Attempts: 2}, tt.endpoints...)
			resp, body, err := h.do(call{header: map[string]string{"After": tt.after}})
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode)
			if tt.status == http.StatusOK {
				require.Equal(t, tt.body, body)
			}
		})
	}
}

// TestCrashRecords guards against broken answers that are not taken for crashes, and
// against other failures that are.
func TestCrashRecords(t *testing.T) {
	abort := func(at int) http.HandlerFunc {
		return events(5, func(i int, _ http.ResponseWriter) {
			if i == at {
				panic(http.ErrAbortHandler)
			}
		})
	}
	var h *harness
	slow := events(5, func(i int, _ http.ResponseWriter) {
		switch i {
		case 3:
			// The host counts the time from when it has read the first event.
			for n := 0; n < 1000 && len(h.crashes.answers()) == 0; n++ {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(provenTime)
		case 4:
			panic(http.ErrAbortHandler)
		}
	})
	both, request, parts := []string{"a request parts"}, []string{"a request"}, []string{"a parts"}
	for name, tt := range map[string]struct {
		handler          http.HandlerFunc
		losses, answered []string
	}{
		"reset before the answer":  {resetConn, both, nil},
		"closed before the answer": {rawResponse(""), both, nil},
		"closed before an event":   {abort(0), both, nil},
		"closed after two events":  {abort(2), both, nil},
		"closed after three":       {abort(3), request, parts},
		"closed after a second":    {slow, nil, append(parts, both...)},
		"complete, two events":     {events(2, nil), nil, both},
		"not HTTP":                 {rawResponse("x\r\n\r\n"), nil, nil},
		"declined":                 {decline, nil, nil},
		"failure":                  {respond(http.StatusInternalServerError, "x"), nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			h = newHarness(t, tamarackknot.Route{Kind: stream}, tt.handler)
			go h.dispatcher.Run(t.Context())
			_, _, _ = h.do(call{header: map[string]string{"Patience": "1500ms", "Parts": "common,own"}})
			require.Equal(t, tt.answered, slices.Compact(h.crashes.answers()))
			h.crashes.mu.Lock()
			defer h.crashes.mu.Unlock()
			require.Equal(t, tt.losses, h.crashes.losses)
		})
	}
}

// TestStall guards against a resumable stream that waits for an unresponsive
// endpoint until the caller gives up.
func TestStall(t *testing.T) {
	silent := func(at int) http.HandlerFunc {
		return events(5, func(i int, _ http.ResponseWriter) {
			if i == at {
				time.Sleep(minStallTimeout + 500*time.Millisecond)
			}
		})
	}
	for name, at := range map[string]int{"before the first event": 0, "between events": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, tamarackknot.Route{Kind: stream, Resumable: true, Attempts: 2, Objective: 4 * time.Second}, silent(at), events(5, nil))
			started := time.Now()
			_, body, err := h.do(call{header: map[string]string{"Patience": "10s"}})
			require.NoError(t, err)
			require.Equal(t, allEvents(5), body)
			require.Equal(t, []string{"a", "b"}, h.reached())
			require.Less(t, time.Since(started), minStallTimeout+400*time.Millisecond)
		})
	}
}

// TestCallerDisconnects guards against endpoints that keep running a request
// after its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	for name, kind := range map[string]tamarackknot.RouteKind{"once": once, "stream": stream} {
		t.Run(name, func(t *testing.T) {
			running, canceled := make(chan struct{}), make(chan struct{})
			h := newHarness(t, tamarackknot.Route{Kind: kind}, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				close(running)
				<-r.Context().Done()
				close(canceled)
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-running
				cancel()
			}()
			_, err := h.entryHost.Client().Do(h.request(ctx, call{body: "question"}))
			require.Error(t, err)
			select {
			case <-canceled:
			case <-time.After(500 * time.Millisecond):
				require.Fail(t, "the endpoint keeps running the request")
			}
		})
	}
}

// TestReusedConnection guards against reading surplus bytes, sent by an
// endpoint after an earlier response, as the response to the next request on
// the same connection.
func TestReusedConnection(t *testing.T) {
	n := 0
	h := newHarness(t, tamarackknot.Route{Kind: repeatable, Attempts: 2}, func(w http.ResponseWriter, _ *http.Request) {
		n++
		if n > 1 {
			_, _ = io.WriteString(w, "second")
			return
		}
		conn, buf, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		one := "HTTP/1.1 200 OK\r\nId: id-1\r\nSigned: a\r\nContent-Length: 5\r\n\r\nfirst"
		_, _ = buf.WriteString(one + strings.Replace(one, "id-1", "id-0", 1))
		_ = buf.Flush()
		time.Sleep(500 * time.Millisecond)
		_ = conn.Close()
	})
	_, body, err := h.do(call{method: http.MethodGet})
	require.NoError(t, err)
	require.Equal(t, "first", body)
	_, body, err = h.do(call{method: http.MethodGet})
	require.NoError(t, err)
	require.Equal(t, "second", body)
}

// getOnKeptConnection sends a request that may use a kept connection to the endpoint, and
// returns the status of the response.
func (h *harness) getOnKeptConnection() int {
	h.t.Helper()
	r := h.request(h.t.Context(), call{method: http.MethodGet})
	r.Close = false // the header would close the connection to the endpoint as well
	resp, err := h.entryHost.Client().Do(r)
	require.NoError(h.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(h.t, err)
	require.NoError(h.t, resp.Body.Close())
	return resp.StatusCode
}

// TestRepeatedRefusal guards against an earlier refusal that an endpoint writes once more on a
// kept connection and that is taken for one of the request under way, which may run, and
// against further requests on a connection on which an answer is still to come.
func TestRepeatedRefusal(t *testing.T) {
	for name, id := range map[string]string{"names the earlier request": "id-0", "names none": ""} {
		for kind, status := range map[string]int{"declined": http.StatusServiceUnavailable, "misplaced": http.StatusMisdirectedRequest} {
			t.Run(name+", "+kind, func(t *testing.T) {
				var mu sync.Mutex
				conns := make(map[string]int)
				h := newHarness(t, tamarackknot.Route{Kind: repeatable, Attempts: 1}, func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					conns[r.RemoteAddr]++
					n := conns[r.RemoteAddr]
					mu.Unlock()
					if n == 1 {
						respond(http.StatusOK, "x")(w, r)
						return
					}
					w.Header().Set("Id", id)
					w.Header().Set("NotRun", "1")
					w.WriteHeader(status)
				})
				for _, expect := range []int{http.StatusOK, http.StatusBadGateway, http.StatusOK} {
					require.Equal(t, expect, h.getOnKeptConnection())
				}
				require.Len(t, h.reached(), 3)
				require.Len(t, conns, 2)
			})
		}
	}
}

// TestDrain guards against callers that keep their connections to a draining
// host.
func TestDrain(t *testing.T) {
	h := newHarness(t, tamarackknot.Route{Kind: once}, respond(200, "ok"))
	h.server.Drain()
	conn, err := net.Dial("tcp", h.entryHost.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /p/ HTTP/1.1\r\nHost: a.example\r\nId: id-1\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200 OK", readLine(t, conn))
	rest, err := io.ReadAll(conn)
	require.NoError(t, err)
	_ = rest // ReadAll returns because the host has closed the connection
}

// TestNoUncountedRepeat guards against a request that the transport sends again by
// itself, which neither the route's attempts nor the retry budget count: a GET on a
// kept connection that breaks before the answer.
func TestNoUncountedRepeat(t *testing.T) {
	var requests atomic.Int32
	h := newHarness(t, tamarackknot.Route{Kind: tamarackknot.RouteRepeatable, Attempts: 1}, func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 2 {
			resetConn(w, r)
			return
		}
		respond(http.StatusOK, "x")(w, r)
	})
	for _, status := range []int{http.StatusOK, http.StatusBadGateway} {
		require.Equal(t, status, h.getOnKeptConnection())
	}
	require.Len(t, h.reached(), 2, "the second request reaches the endpoint once")
}

// TestEndlessAnswers guards against an answer without end that the entry host reads, and
// keeps in memory, until the request's deadline.
func TestEndlessAnswers(t *testing.T) {
	endless := func(head, part string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			conn, buf, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if _, err = buf.WriteString(head); err != nil {
				return
			}
			block := strings.Repeat(part, 1+4096/len(part))
			for err == nil {
				if _, err = buf.WriteString(block); err == nil {
					err = buf.Flush()
				}
			}
		}
	}
	const ok = "HTTP/1.1 200 OK\r\nId: id-1\r\nSigned: a\r\n"
	cases := map[string]struct {
		kind       tamarackknot.RouteKind
		head, part string
	}{
		"no answer at all":              {repeatable, "", "x"},
		"a status line":                 {repeatable, "HTTP/1.1 200 ", "x"},
		"header lines":                  {repeatable, ok, "A: b\r\n"},
		"a header value":                {once, ok + "A: ", "x"},
		"informational responses":       {once, "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"a body without a length":       {repeatable, ok + "\r\n", "x"},
		"a chunk size":                  {once, ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extensions":              {once, ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"a trailer":                     {once, ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"the line of an event":          {stream, ok + "\r\ndata: ", "x"},
		"the lines of an event":         {stream, ok + "\r\n", "data: x\n"},
		"a failure of a stream":         {stream, "HTTP/1.1 500 X\r\nId: id-1\r\nSigned: a\r\n\r\n", "x"},
		"a declined request of a route": {once, "HTTP/1.1 503 X\r\nId: id-1\r\nNotRun: 1\r\n\r\n", "x"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tamarackknot.Route{Kind: tc.kind, Attempts: 1}, endless(tc.head, tc.part))
			go h.dispatcher.Run(t.Context())
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			resp, _, err := h.do(call{header: map[string]string{"Patience": "20s"}})
			runtime.ReadMemStats(&after)
			if err == nil {
				require.GreaterOrEqual(t, resp.StatusCode, http.StatusInternalServerError)
			}
			require.Less(t, time.Since(started), 10*time.Second, "the answer must be given up")
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(256<<20))
		})
	}
}

// TestStreamVersion guards against a stream that goes on at an endpoint of another version
// of the software, whose events do not fit those before.
func TestStreamVersion(t *testing.T) {
	cut := events(4, func(i int, _ http.ResponseWriter) {
		if i == 2 {
			panic(http.ErrAbortHandler)
		}
	})
	cases := map[string]struct {
		versions []string // of the endpoints, in the order of choice
		reached  []string
		complete bool
	}{
		"another endpoint of the version":      {[]string{"1", "2", "1"}, []string{"a", "c"}, true},
		"no other endpoint of the version":     {[]string{"1", "2", "2"}, []string{"a"}, false},
		"endpoints that do not name a version": {[]string{"", "", ""}, []string{"a"}, false},
		"the endpoint does not name a version": {[]string{"", "1", "1"}, []string{"a"}, false},
		"the others do not name a version":     {[]string{"1", "", ""}, []string{"a"}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tamarackknot.Route{Kind: stream, Resumable: true, Attempts: 3}, cut, events(4, nil), events(4, nil))
			h.setVersions(tc.versions...)
			started := time.Now()
			_, body, err := h.do(call{})
			require.Equal(t, tc.reached, h.reached())
			if tc.complete {
				require.NoError(t, err)
				require.Equal(t, allEvents(4), body)
				return
			}
			require.Error(t, err, "an incomplete stream must not look complete")
			require.Equal(t, allEvents(2), body)
			require.Less(t, time.Since(started), time.Second, "a stream that cannot go on ends at once")
		})
	}
}
