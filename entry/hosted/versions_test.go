package hosted

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

// resume sends, for a caller, a stream that an earlier attempt began to a host.
func (s *serving) resume(host, id string) *httptest.ResponseRecorder {
	s.mu.Lock()
	server := s.servers[host]
	s.mu.Unlock()
	req := httptest.NewRequestWithContext(s.c.ctx, http.MethodPost, "http://a/", strings.NewReader("resume"))
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "5000", "X-Model": modelName(0), "X-Prompt-Prefix": id + ":100", "Last-Event-Id": "0", "Resumes": "begun-" + id,
	} {
		req.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	server.ServeHTTP(w, req)
	return w
}

// TestStreamsAfterLossOfAllHosts guards against streams that go on at another version after
// all hosts were killed, since no process remembers the version that has left the list, and
// against refusals where there has been one version all the while.
func TestStreamsAfterLossOfAllHosts(t *testing.T) {
	cases := map[string]struct {
		versions []string // of the endpoints' software
		leave    bool     // endpoints of the first version leave the list before the loss
		down     bool     // the hosts start while the store refuses them
		later    time.Duration
		status   int
		retry    bool
	}{
		"one version":                            {versions: []string{"1"}, status: http.StatusOK},
		"the older version has left":             {versions: []string{"1", "2"}, leave: true, status: http.StatusServiceUnavailable},
		"both versions serve":                    {versions: []string{"1", "2"}, status: http.StatusServiceUnavailable},
		"the older version left a minute ago":    {versions: []string{"1", "2"}, leave: true, later: 65 * time.Second, status: http.StatusOK},
		"one version, the record cannot be read": {versions: []string{"1"}, down: true, status: http.StatusServiceUnavailable, retry: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var answers []*httptest.ResponseRecorder
			synctest.Test(t, func(*testing.T) {
				size := smallServingSize()
				size.versions = tc.versions
				s, cancel := startServing(&serving{size: size}, io.Discard)
				defer s.stop(cancel)
				wait.For(s.c.ctx, warmUp)
				for _, r := range s.c.replicas {
					if tc.leave && r.version == tc.versions[0] {
						s.c.leaveUnreported(r)
					}
				}
				wait.For(s.c.ctx, time.Second+tc.later)
				for _, name := range s.c.hostNames() {
					h := s.c.host(name)
					s.c.wg.Go(h.stop)
				}
				wait.For(s.c.ctx, 700*time.Millisecond)
				for _, name := range s.c.hostNames() {
					s.c.start(name, false)
				}
				wait.For(s.c.ctx, 3*time.Second)
				if tc.down {
					for _, name := range s.c.hostNames() {
						s.c.store.SetDown(name, true)
					}
				}
				for _, name := range s.c.hostNames() {
					if tc.down && s.c.host(name).holdsLease() {
						continue // it has read the record already
					}
					answers = append(answers, s.resume(name, "r-"+name))
				}
			})
			for _, w := range answers {
				require.Equal(t, tc.status, w.Code, w.Body.String())
				require.Equal(t, tc.retry, w.Header().Get("Retry-After") != "")
			}
		})
	}
}

// leaveUnreported removes the entry of an endpoint that never reports that it leaves and
// goes on serving.
func (c *cluster) leaveUnreported(r *replica) {
	r.mu.Lock()
	r.state, r.goneAt = "", time.Now()
	r.mu.Unlock()
	c.put(tamarackknot.StreamEndpoints, r.id, nil)
}
