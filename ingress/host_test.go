package ingress

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// isolate makes the entry host reach no endpoint and know other hosts, of which nil can't be
// reached either.
func (h *harness) isolate(handlers ...http.HandlerFunc) {
	var hosts []tamarackknot.HostEntry
	for _, handler := range handlers {
		s := httptest.NewServer(handler)
		if handler == nil {
			// Not before all have an address: one of them could get that of s.
			defer s.Close()
		} else {
			h.t.Cleanup(s.Close)
		}
		hosts = append(hosts, tamarackknot.HostEntry{Address: s.Listener.Addr().String()})
	}
	h.server.cfg.Isolated = func() bool { return true }
	h.server.cfg.OtherHosts = func() []tamarackknot.HostEntry { return hosts }
}

// TestForwardToOtherHost guards against an isolated host that fails what other hosts can
// serve, that holds requests past their deadline, or that passes them on for ever.
func TestForwardToOtherHost(t *testing.T) {
	answer := func(status int, header, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if header != "" {
				w.Header().Set(header, "1")
			}
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("From", r.Header.Get(headerForwardedBy)+r.Header.Get("Endpoint"))
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	cut := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, event(0))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for name, tt := range map[string]struct {
		hosts     []http.HandlerFunc // nil: unreachable
		forwarded bool
		status    int
		body      string
		broken    bool
		retry     string
		isolated  string
	}{
		"served":                     {[]http.HandlerFunc{answer(200, "", "x")}, false, 200, "x", false, "", ""},
		"a failure":                  {[]http.HandlerFunc{answer(500, "", "x"), answer(200, "", "y")}, false, 500, "x", false, "", ""},
		"refused, with a time":       {[]http.HandlerFunc{answer(503, "Retry-After", "x")}, false, 503, "x", false, "1", ""},
		"unreachable, the next":      {[]http.HandlerFunc{nil, answer(200, "", "x")}, false, 200, "x", false, "", ""},
		"isolated as well, the next": {[]http.HandlerFunc{answer(503, headerIsolated, "x"), answer(200, "", "y")}, false, 200, "y", false, "", ""},
		"connection lost, no other":  {[]http.HandlerFunc{resetConn, answer(200, "", "y")}, false, 502, "", false, "", ""},
		"all unreachable":            {[]http.HandlerFunc{nil, nil, nil, answer(200, "", "x")}, false, 503, "", false, "0.50", ""},
		"no other host":              {nil, false, 503, "", false, "0.50", ""},
		"no answer":                  {[]http.HandlerFunc{silent}, false, 504, "", false, "", ""},
		"stream cut off":             {[]http.HandlerFunc{cut}, false, 200, event(0), true, "", ""},
		"forwarded to this host":     {[]http.HandlerFunc{answer(200, "", "x")}, true, 503, "", false, "", "1"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tamarackknot.Route{Kind: stream, Resumable: true, Attempts: 2}, events(5, nil))
			h.isolate(tt.hosts...)
			h.server.cfg.Host = "h"
			header := map[string]string{"Patience": "600ms"}
			if tt.forwarded {
				header[headerForwardedBy] = "i"
			}
			began := time.Now()
			resp, body, err := h.do(call{header: header})
			require.Less(t, time.Since(began), time.Second)
			require.NotNil(t, resp)
			require.Equal(t, tt.broken, err != nil)
			require.Equal(t, tt.status, resp.StatusCode, body)
			requireRetryAfter(t, tt.retry, resp.Header.Get("Retry-After"), time.Since(began))
			require.Equal(t, tt.isolated, resp.Header.Get(headerIsolated))
			if tt.body != "" {
				require.Equal(t, tt.body, body)
			}
			if tt.status == http.StatusOK && !tt.broken {
				require.Equal(t, "h", resp.Header.Get("From"), "marked, and not for an endpoint")
			}
			require.Empty(t, h.reached())
		})
	}
}

// requireRetryAfter checks a Retry-After, which is less by what passed since the refusal if it
// counts from isolatedRetryDelay.
func requireRetryAfter(t *testing.T, want, got string, elapsed time.Duration) {
	t.Helper()
	if want != retryAfter(isolatedRetryDelay) {
		require.Equal(t, want, got)
		return
	}
	seconds, err := strconv.ParseFloat(got, 64)
	require.NoError(t, err, got)
	require.LessOrEqual(t, seconds, isolatedRetryDelay.Seconds())
	least, err := strconv.ParseFloat(retryAfter(isolatedRetryDelay-elapsed), 64)
	require.NoError(t, err)
	require.GreaterOrEqual(t, seconds, least)
}

// TestForwardToPlaceOfOtherHost guards against a request that is refused, or sent past the
// places of a brittle endpoint, although another host may send it.
func TestForwardToPlaceOfOtherHost(t *testing.T) {
	for name, tt := range map[string]struct {
		forwarded bool
		alive     string // the only other host that lives
		status    int
		reports   string // header of the other host's answer
		brittle   bool   // afterwards
	}{
		"served":                {false, "b", 200, "4 10", true},
		"no longer brittle":     {false, "b", 200, "-1 0", false},
		"an odd header":         {false, "b", 200, "x", true},
		"nobody who may":        {false, "z", 503, "", true},
		"it was forwarded here": {true, "b", 503, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tamarackknot.Route{Kind: stream, Resumable: true, Attempts: 2}, events(5, nil))
			other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headerBrittle, tt.reports)
				w.Header().Set("Id", r.Header.Get("Id"))
				_, _ = io.WriteString(w, "x")
			}))
			t.Cleanup(other.Close)
			h.server.cfg.Host = "h"
			h.server.cfg.OtherHosts = func() []tamarackknot.HostEntry {
				return []tamarackknot.HostEntry{{Name: tt.alive, Address: other.Listener.Addr().String()}}
			}
			h.places = func(string, int) (int, []string) { return 0, []string{"a", "b"} }
			h.server.cfg.Dispatch.MergeBrittle(tamarackknot.BrittleService{Service: "s", Brittle: true, MaxDeclines: 4, At: time.Now().Add(-time.Second)})
			header := map[string]string{}
			if tt.forwarded {
				header[headerForwardedBy] = "i"
			}
			resp, _, err := h.do(call{header: header})
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode)
			require.Equal(t, tt.forwarded, resp.Header.Get(headerIsolated) != "")
			require.Equal(t, tt.forwarded, resp.Header.Get(headerBrittle) != "", "a caller must not see it")
			require.Empty(t, h.reached())
			b, _ := h.server.cfg.Dispatch.Brittle("s")
			require.Equal(t, tt.brittle, b.Brittle)
		})
	}
}
