package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

// plainDialect is a Dialect with headers of the tests' own.
type plainDialect struct{}

func (plainDialect) Request(h http.Header) (tamarackknot.CallerRequest, error) {
	r := tamarackknot.CallerRequest{ID: h.Get("Id"), Model: h.Get("Model"), LastEvent: h.Get("After")}
	if v := h.Get("Patience"); v != "" {
		var err error
		r.Patience, err = time.ParseDuration(v)
		return r, err
	}
	return r, nil
}

func (plainDialect) Forward(h http.Header, a tamarackknot.EndpointAttempt) http.Header {
	out := h.Clone()
	out.Set("Endpoint", a.Endpoint)
	if a.LastEvent != "" {
		out.Set("After", a.LastEvent)
	}
	return out
}

func (plainDialect) Answer(status int, h http.Header) tamarackknot.EndpointAnswer {
	return tamarackknot.EndpointAnswer{
		RequestID: h.Get("Id"), Signed: h.Get("Signed") != "",
		NotRun: h.Get("NotRun") != "" || status == http.StatusMisdirectedRequest, Misplaced: status == http.StatusMisdirectedRequest,
	}
}

func (plainDialect) Relay(h http.Header) http.Header { return h.Clone() }

// bed is a Server before endpoints whose handlers a test chooses.
type bed struct {
	t       testing.TB
	view    *catalog.View
	server  *Server
	front   *httptest.Server
	entries map[string]tamarackknot.EndpointEntry
	d       *dispatch.Dispatcher

	mu   sync.Mutex
	seen []string // endpoints in the order in which requests reached them
}

func newBed(tb testing.TB, route tamarackknot.Route, endpoints ...http.HandlerFunc) *bed {
	tb.Helper()
	route.Name, route.Host, route.Prefix = "r", "a.example", "/p/"
	route.Shares = []tamarackknot.Share{{Service: "s", Weight: 1}}
	if route.Objective == 0 {
		route.Objective = 2 * time.Second
	}
	route.Attempts = max(route.Attempts, 1)
	logger := log.New(io.Discard)
	b := &bed{t: tb, entries: make(map[string]tamarackknot.EndpointEntry)}
	b.d = dispatch.New(dispatch.Config{PlannerViewCurrent: func() bool { return false }, Logger: logger})
	keeper := catalog.New(catalog.Config{Logger: logger})
	keeper.Offer(&tamarackknot.Catalog{
		Version: 1, Routes: []tamarackknot.Route{route}, Services: map[string]tamarackknot.PoolSpec{"s": {Name: "s"}},
		Limits: tamarackknot.CallerLimits{HeaderBytes: 4096, BodyBytes: 1 << 16},
	})
	b.view = keeper.Current()
	var ids []string
	for i, h := range endpoints {
		id := string(rune('a' + i))
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b.mu.Lock()
			b.seen = append(b.seen, id)
			b.mu.Unlock()
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Signed", id)
			h(w, r)
		}))
		tb.Cleanup(s.Close)
		b.entries[id] = tamarackknot.EndpointEntry{
			ID: id, Service: "s", Address: s.Listener.Addr().String(), Slots: 10 - i, State: tamarackknot.EndpointReady,
		}
		ids = append(ids, id)
	}
	b.d.SetEndpoints(b.entries, map[string][]string{"s": ids}, true)
	b.server = New(Config{
		Catalog: func() *catalog.View { return b.view }, Dispatch: b.d, Dialect: plainDialect{}, Logger: logger,
		Budget: &dispatch.RetryBudget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, Hosts: func() int { return 1 },
	})
	b.front = httptest.NewServer(b.server)
	tb.Cleanup(b.front.Close)
	return b
}

func (b *bed) reached() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.seen...)
}

// call is one request on a connection of its own.
type call struct {
	method, path, body string
	header             map[string]string
}

func (b *bed) request(ctx context.Context, c call) *http.Request {
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.path == "" {
		c.path = "/p/x?q=1"
	}
	req, err := http.NewRequestWithContext(ctx, c.method, b.front.URL+c.path, strings.NewReader(c.body))
	require.NoError(b.t, err)
	req.Host = "a.example"
	req.Close = true
	req.Header.Set("Id", "id-1")
	req.Header.Set("Patience", "3s")
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	return req
}

// do returns the answer with its body; err tells an answer that was cut.
func (b *bed) do(c call) (*http.Response, string, error) {
	b.t.Helper()
	resp, err := b.front.Client().Do(b.request(b.t.Context(), c))
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// raw answers with bytes of its own and closes the connection.
func raw(text string) http.HandlerFunc {
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

// reset reads the request and resets the connection.
func reset(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func answering(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func declined(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("NotRun", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// events streams events with ids after the one that the request names; each
// call of cut before an event may end the stream.
func events(n int, cut func(i int, w http.ResponseWriter)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		first := 0
		if after := r.Header.Get("After"); after != "" {
			first = int(after[0]-'0') + 1
		}
		for i := first; i < n; i++ {
			if cut != nil {
				cut(i, w)
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

// readLine reads a line of a raw connection.
func readLine(t *testing.T, conn net.Conn) string {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	line, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	return strings.TrimSpace(line)
}
