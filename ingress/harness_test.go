package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/catalog"
	"tamarackknot.example/tamarackknot/dispatch"
)

// testDialect is a Dialect with header names used only in these tests.
type testDialect struct{}

func (testDialect) Request(h http.Header) (tamarackknot.CallerRequest, error) {
	r := tamarackknot.CallerRequest{ID: h.Get("Id"), Model: h.Get("Model"), LastEvent: h.Get("After"), Resumes: h.Get("Resumes"), Credentials: h.Get("Key")}
	if n, err := strconv.ParseFloat(h.Get("Size"), 64); err == nil {
		r.Tokens = tamarackknot.RequestTokens{Known: true, Prompt: n, Malformed: n < 0}
	}
	if v := h.Get("Parts"); v != "" {
		r.Parts = strings.Split(v, ",")
	}
	if v := h.Get("Patience"); v != "" {
		var err error
		r.Timeout, err = time.ParseDuration(v)
		return r, err
	}
	return r, nil
}

func (testDialect) Forward(h http.Header, a tamarackknot.EndpointAttempt) http.Header {
	out := h.Clone()
	out.Set("Endpoint", a.Endpoint)
	if a.LastEvent != "" {
		out.Set("After", a.LastEvent)
	}
	if a.Authenticated {
		out.Del("Key")
		out.Del("Workspace")
	}
	if a.Authenticated && a.Workspace != "" {
		out.Set("Workspace", a.Workspace)
	}
	return out
}

func (testDialect) Answer(status int, h http.Header) tamarackknot.EndpointAnswer {
	var signals tamarackknot.EndpointSignals
	if d, err := time.ParseDuration(h.Get("Pause")); err == nil {
		signals.PauseUntil = time.Now().Add(d)
	}
	return tamarackknot.EndpointAnswer{
		Signals:   signals,
		RequestID: h.Get("Id"), Signed: h.Get("Signed") != "",
		NotRun: h.Get("NotRun") != "" || status == http.StatusMisdirectedRequest, Misplaced: status == http.StatusMisdirectedRequest,
	}
}

func (testDialect) Relay(h http.Header) http.Header { return h.Clone() }

// testOrigins are origins that no other host has to be asked for.
type testOrigins struct {
	mu         sync.Mutex
	known      map[string]tamarackknot.StreamOrigin
	incomplete bool // some host does not answer
}

func (o *testOrigins) Record(id string, origin tamarackknot.StreamOrigin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known[id] = origin
}

func (o *testOrigins) Find(_ context.Context, id string) (tamarackknot.StreamOrigin, bool, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	origin, found := o.known[id]
	return origin, found, found || !o.incomplete
}

// testCrashes records of which endpoints something is said, and whether it is said of the
// request and of parts of its prompt.
type testCrashes struct {
	mu               sync.Mutex
	losses, answered []string
}

func (*testCrashes) Rejects(tamarackknot.RequestIdentity) bool { return false }
func (*testCrashes) RecordAlive(tamarackknot.EndpointEntry)    {}

func said(e tamarackknot.EndpointEntry, r tamarackknot.RequestIdentity) string {
	out := e.ID
	if r.Content != (tamarackknot.ContentID{}) {
		out += " request"
	}
	if len(r.Parts) > 0 {
		out += " parts"
	}
	return out
}

func (c *testCrashes) RecordLoss(e tamarackknot.EndpointEntry, r tamarackknot.RequestIdentity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losses = append(c.losses, said(e, r))
}

func (c *testCrashes) RecordAnswer(e tamarackknot.EndpointEntry, r tamarackknot.RequestIdentity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = append(c.answered, said(e, r))
}

func (c *testCrashes) answers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.answered)
}

// harness runs a Server in front of endpoints with handlers set by the test.
type harness struct {
	t          testing.TB
	view       *catalog.View
	server     *Server
	entryHost  *httptest.Server
	entries    map[string]tamarackknot.EndpointEntry
	origins    *testOrigins
	crashes    *testCrashes
	dispatcher *dispatch.Dispatcher
	// places divides the places of brittle endpoints; nil if this host has all.
	places func(endpoint string, slots int) (own int, others []string)

	mu   sync.Mutex
	seen []string // ids of the endpoints that received a request, in order
}

func newHarness(tb testing.TB, route tamarackknot.Route, endpoints ...http.HandlerFunc) *harness {
	tb.Helper()
	route.Name, route.Host, route.Prefix = "r", "a.example", "/p/"
	route.Shares = []tamarackknot.Share{{Service: "s", Weight: 1}}
	if route.Objective == 0 {
		route.Objective = 2 * time.Second
	}
	route.Attempts = max(route.Attempts, 1)
	logger := log.New(io.Discard)
	h := &harness{t: tb, crashes: &testCrashes{}, origins: &testOrigins{known: make(map[string]tamarackknot.StreamOrigin)}, entries: make(map[string]tamarackknot.EndpointEntry)}
	h.dispatcher = dispatch.New(dispatch.Config{
		PlannerViewCurrent: func() bool { return false }, Logger: logger,
		Places: func(endpoint string, slots int) (int, []string) {
			if h.places == nil {
				return slots, nil
			}
			return h.places(endpoint, slots)
		},
	})
	catalogs := catalog.New(catalog.Config{Logger: logger})
	catalogs.Offer(&tamarackknot.Catalog{
		Version: 1, Routes: []tamarackknot.Route{route}, Services: map[string]tamarackknot.PoolSpec{"s": {Name: "s"}},
		Limits: tamarackknot.CallerLimits{HeaderBytes: 4096, BodyBytes: 1 << 16},
	})
	h.view = catalogs.Current()
	var ids []string
	for i, handler := range endpoints {
		id := string(rune('a' + i))
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.mu.Lock()
			h.seen = append(h.seen, id)
			h.mu.Unlock()
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Signed", id)
			handler(w, r)
		}))
		tb.Cleanup(s.Close)
		h.entries[id] = tamarackknot.EndpointEntry{
			ID: id, Service: "s", Address: s.Listener.Addr().String(), Slots: 10 - i, State: tamarackknot.EndpointReady, Version: "1",
		}
		ids = append(ids, id)
	}
	h.dispatcher.SetEndpoints(h.entries, map[string][]string{"s": ids}, true)
	h.server = New(Config{
		Catalog: func() *catalog.View { return h.view }, Dispatch: h.dispatcher, Dialect: testDialect{}, Logger: logger,
		Origins: h.origins, Crashes: h.crashes,
		Budget: &dispatch.RetryBudget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, HostCount: func() int { return 1 },
	})
	h.entryHost = httptest.NewServer(h.server)
	tb.Cleanup(h.entryHost.Close)
	return h
}

func (h *harness) reached() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.seen...)
}

// call describes a request; each is sent on its own connection.
type call struct {
	method, path, body string
	header             map[string]string
}

func (h *harness) request(ctx context.Context, c call) *http.Request {
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.path == "" {
		c.path = "/p/x?q=1"
	}
	req, err := http.NewRequestWithContext(ctx, c.method, h.entryHost.URL+c.path, strings.NewReader(c.body))
	require.NoError(h.t, err)
	req.Host = "a.example"
	req.Close = true
	req.Header.Set("Id", "id-1")
	req.Header.Set("Patience", "3s")
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	return req
}

// do returns the response and its body. The error is not nil if the response
// was truncated.
func (h *harness) do(c call) (*http.Response, string, error) {
	h.t.Helper()
	resp, err := h.entryHost.Client().Do(h.request(h.t.Context(), c))
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// rawResponse writes text as it is to the connection and closes it.
func rawResponse(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, buf, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = buf.WriteString(text)
		_ = buf.Flush()
		_ = conn.Close()
	}
}

// resetConn reads the request and resets the connection.
func resetConn(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func decline(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("NotRun", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// events streams n events, starting after the one named in the request.
// beforeEvent is called before each event and may abort the stream.
func events(n int, beforeEvent func(i int, w http.ResponseWriter)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		first := 0
		if after := r.Header.Get("After"); after != "" {
			first = int(after[0]-'0') + 1
		}
		for i := first; i < n; i++ {
			if beforeEvent != nil {
				beforeEvent(i, w)
			}
			_, _ = io.WriteString(w, event(i))
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func event(i int) string { return "id: " + string(rune('0'+i)) + "\ndata: x\n\n" }

func allEvents(n int) string {
	var s strings.Builder
	for i := range n {
		s.WriteString(event(i))
	}
	return s.String()
}

// readLine reads a line from a raw connection.
func readLine(t *testing.T, conn net.Conn) string {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	line, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	return strings.TrimSpace(line)
}
