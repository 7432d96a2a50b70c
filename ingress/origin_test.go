package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// TestResumedStream guards against a stream that a caller takes up again and that goes on
// at an endpoint of another version than the one that began it, and against a refusal
// although the version is known and served.
func TestResumedStream(t *testing.T) {
	v1 := tamarackknot.StreamOrigin{Service: "s", Version: "1"}
	cases := map[string]struct {
		versions   []string // of the endpoints
		resumes    string
		known      map[string]tamarackknot.StreamOrigin
		incomplete bool
		reached    []string
		retry      bool // a refusal says when to come back
	}{
		"the first endpoint is of the version":      {versions: []string{"1", "2"}, resumes: "r0", known: map[string]tamarackknot.StreamOrigin{"r0": v1}, reached: []string{"a"}},
		"another endpoint is of the version":        {versions: []string{"2", "1"}, resumes: "r0", known: map[string]tamarackknot.StreamOrigin{"r0": v1}, reached: []string{"b"}},
		"no endpoint is of the version":             {versions: []string{"2", "2"}, resumes: "r0", known: map[string]tamarackknot.StreamOrigin{"r0": v1}},
		"the version is not known":                  {versions: []string{"1", "2"}, resumes: "r0"},
		"a host that may know does not answer":      {versions: []string{"1", "2"}, resumes: "r0", incomplete: true, retry: true},
		"no stream is named":                        {versions: []string{"1", "2"}},
		"no stream is named and there is 1 version": {versions: []string{"1", "1"}, reached: []string{"a"}},
		"not known and there is one version":        {versions: []string{"1", "1"}, resumes: "r0", reached: []string{"a"}},
		"an endpoint names no version":              {versions: []string{"1", ""}, resumes: "r0"},
		"another service began it":                  {versions: []string{"1", "1"}, resumes: "r0", known: map[string]tamarackknot.StreamOrigin{"r0": {Service: "t", Version: "1"}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tamarackknot.Route{Kind: stream, Resumable: true, Attempts: 2}, events(4, nil), events(4, nil))
			go h.dispatcher.Run(t.Context())
			h.dispatcher.SetEndpoints(nil, nil, true) // forgets the versions of the harness
			h.setVersions(tc.versions...)
			for id, o := range tc.known {
				h.origins.Record(id, o)
			}
			h.origins.incomplete = tc.incomplete
			started := time.Now()
			resp, body, err := h.do(call{header: map[string]string{"Resumes": tc.resumes, "After": "1"}})
			require.NoError(t, err)
			require.Equal(t, tc.reached, h.reached())
			if tc.reached == nil {
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				require.Equal(t, tc.retry, resp.Header.Get("Retry-After") != "")
				require.Less(t, time.Since(started), time.Second)
				return
			}
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, event(2)+event(3), body)
			o, found, _ := h.origins.Find(t.Context(), "id-1")
			require.True(t, found, "an attempt that goes on can be named by the next one")
			require.Equal(t, v1, o)
		})
	}
}

// TestResumedStreamOnSplitRoute guards against a stream that is refused, or goes on at
// another service, since the service of its route is drawn again when it is taken up.
func TestResumedStreamOnSplitRoute(t *testing.T) {
	const tries = 20
	shares := func(names ...string) (out []tamarackknot.Share) {
		for i, name := range names {
			out = append(out, tamarackknot.Share{Service: name, Weight: 1 + 9*i})
		}
		return out
	}
	cases := map[string]struct {
		shares  []tamarackknot.Share
		known   bool // which service began it
		reached []string
	}{
		"the service with the smaller share began it": {shares("s", "t"), true, []string{"a"}},
		"the service with the larger share began it":  {shares("t", "s"), true, []string{"a"}},
		"the route has left the service":              {shares("t"), true, nil},
		"not known, one service and one version":      {shares("s"), false, []string{"a"}},
		"not known, each service has one version":     {shares("s", "t"), false, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tamarackknot.Route{Kind: stream, Resumable: true, Attempts: 2}, events(4, nil), events(4, nil))
			go h.dispatcher.Run(t.Context())
			b := h.entries["b"]
			b.Service = "t"
			h.entries["b"] = b
			h.dispatcher.SetEndpoints(h.entries, map[string][]string{"s": {"a"}, "t": {"b"}}, true)
			h.view.Catalog.Routes[0].Shares = tc.shares
			h.view.Route("a.example", "/p/").Shares = tc.shares
			if tc.known {
				h.origins.Record("r0", tamarackknot.StreamOrigin{Service: "s", Version: "1"})
			}
			for range tries {
				resp, _, err := h.do(call{header: map[string]string{"Resumes": "r0", "After": "1"}})
				require.NoError(t, err)
				want := http.StatusOK
				if tc.reached == nil {
					want = http.StatusServiceUnavailable
				}
				require.Equal(t, want, resp.StatusCode)
			}
			for _, id := range h.reached() {
				require.Contains(t, tc.reached, id)
			}
		})
	}
}

// setVersions sets the versions of the endpoints in order.
func (h *harness) setVersions(versions ...string) {
	var ids []string
	for i, v := range versions {
		id := string(rune('a' + i))
		e := h.entries[id]
		e.Version = v
		h.entries[id] = e
		ids = append(ids, id)
	}
	h.dispatcher.SetEndpoints(h.entries, map[string][]string{"s": ids}, true)
}
