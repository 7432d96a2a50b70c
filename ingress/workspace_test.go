package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/internal/times"
	"tamarackknot.example/tamarackknot/workspace"
)

const secretKey = "secret-key-1"

// lockedBuffer is a log that a test reads.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// keyHarness is a harness whose configuration has workspaces.
type keyHarness struct {
	*harness
	authority *workspace.Authority
	log       *lockedBuffer

	mu        sync.Mutex
	confirmed time.Duration
	got       []http.Header // at endpoints
}

func newKeyHarness(t *testing.T, route tamarackknot.Route, handlers ...http.HandlerFunc) *keyHarness {
	t.Helper()
	k := &keyHarness{log: &lockedBuffer{}, confirmed: times.SinceBoot()}
	for i, handler := range handlers {
		handlers[i] = func(w http.ResponseWriter, r *http.Request) {
			k.mu.Lock()
			k.got = append(k.got, r.Header.Clone())
			k.mu.Unlock()
			handler(w, r)
		}
	}
	k.harness = newHarness(t, route, handlers...)
	logger := log.New(k.log)
	k.authority = workspace.New(workspace.Config{Limit: 5 * time.Second, Logger: logger, ConfirmedAt: func(int64) time.Duration {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.confirmed
	}})
	k.server.cfg.Authenticator, k.server.cfg.Logger = k.authority, logger
	k.view.Catalog.Authenticated = true
	k.set(1, []string{"w", secretKey}, []string{"v", "other-key", "shared-key"}, []string{"u", "shared-key"})
	return k
}

// set puts workspaces into force, each with the keys after its name.
func (k *keyHarness) set(version int64, workspaces ...[]string) {
	c := &tamarackknot.Catalog{Version: version}
	for _, w := range workspaces {
		keys := make([]tamarackknot.KeyHash, 0, len(w))
		for _, key := range w[1:] {
			keys = append(keys, tamarackknot.HashKey(key))
		}
		c.Workspaces = append(c.Workspaces, tamarackknot.Workspace{Name: w[0], Keys: keys})
	}
	k.authority.Set(c)
}

func (k *keyHarness) setConfirmed(at time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmed = at
}

// occupy takes all places of the endpoints until release is called.
func (k *keyHarness) occupy() (release func()) {
	var grants []*dispatch.Grant
	for {
		ctx, cancel := context.WithTimeout(k.t.Context(), 5*time.Millisecond)
		g, _ := k.dispatcher.Acquire(ctx, &dispatch.Request{Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), Objective: time.Now().Add(time.Minute)})
		cancel()
		if g == nil {
			break
		}
		grants = append(grants, g)
	}
	return func() {
		for _, g := range grants {
			g.Done(dispatch.ResultAnswered)
		}
	}
}

// requireNoKey checks that no key is in what endpoints and operators see.
func (k *keyHarness) requireNoKey(texts ...string) {
	k.t.Helper()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range k.got {
		for name, values := range h {
			texts = append(texts, name+strings.Join(values, " "))
		}
	}
	require.NotContains(k.t, strings.Join(append(texts, k.log.String()), "\n"), "-key")
}

// TestKeys guards against requests that run without a key that holds, callers that are refused
// though theirs does, and keys that endpoints or operators see.
func TestKeys(t *testing.T) {
	bearer := func(key string) map[string]string {
		return map[string]string{"Key": "Bearer " + key, "Workspace": "forged"}
	}
	for name, tt := range map[string]struct {
		header    map[string]string
		anonymous bool
		age       time.Duration // of the confirmation
		plain     bool          // the configuration has no workspaces
		status    int
		workspace string // at the endpoint
	}{
		"a key":                             {header: bearer(secretKey), status: 200, workspace: "w"},
		"in other case":                     {header: map[string]string{"Key": "bearer  " + secretKey + " "}, status: 200, workspace: "w"},
		"no key":                            {header: map[string]string{"Workspace": "w"}, status: 401},
		"an empty key":                      {header: map[string]string{"Key": "Bearer "}, status: 401},
		"another scheme":                    {header: map[string]string{"Key": "Basic " + secretKey}, status: 401},
		"an unknown key":                    {header: bearer("unknown-key"), status: 401},
		"a key of two workspaces":           {header: bearer("shared-key"), status: 401},
		"a stream taken up without a key":   {header: map[string]string{"After": "2"}, status: 401},
		"a stream taken up":                 {header: map[string]string{"After": "2", "Key": "Bearer " + secretKey}, status: 200, workspace: "w"},
		"an old configuration":              {header: bearer(secretKey), age: 5 * time.Second, status: 503},
		"unknown, by an old one":            {header: bearer("unknown-key"), age: 5 * time.Second, status: 503},
		"no key, by an old one":             {age: 5 * time.Second, status: 401},
		"said to be forwarded":              {header: map[string]string{headerForwardedBy: "h", headerProof: "0.AAAA"}, status: 401},
		"the proof of nobody":               {header: map[string]string{headerForwardedBy: "h", headerProof: strings.Repeat("0", 16) + ".AAAA"}, status: 401},
		"a proof of a caller":               {header: map[string]string{headerProof: "0.AAAA"}, status: 401},
		"an anonymous route":                {anonymous: true, status: 200},
		"an anonymous route, with a key":    {header: bearer(secretKey), anonymous: true, status: 200},
		"an anonymous route, old":           {header: bearer("x-key"), anonymous: true, age: time.Hour, status: 200},
		"a configuration without any":       {header: map[string]string{"Workspace": "its own"}, plain: true, status: 200, workspace: "its own"},
		"a proof for one without any, lost": {header: map[string]string{headerProof: "x-key"}, plain: true, status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			k := newKeyHarness(t, tamarackknot.Route{Kind: stream, Resumable: true, Attempts: 2, Anonymous: tt.anonymous}, events(5, nil))
			k.view.Catalog.Authenticated = !tt.plain
			k.setConfirmed(times.SinceBoot() - tt.age)
			resp, body, err := k.do(call{header: tt.header})
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode, body)
			require.Equal(t, tt.status == 503, resp.Header.Get("Retry-After") != "")
			require.Equal(t, tt.status == 401, resp.Header.Get("Www-Authenticate") != "")
			require.Len(t, k.got, map[bool]int{true: 1}[tt.status == 200])
			if tt.status == 200 {
				require.Equal(t, tt.workspace, k.got[0].Get("Workspace"))
				require.Empty(t, k.got[0].Get(headerProof))
			}
			k.requireNoKey(body)
		})
	}
}

// TestKeyTakenAway guards against a request that runs although its key was taken away, or the
// configuration became uncertain, while it waited or after an attempt.
func TestKeyTakenAway(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(k *keyHarness)
		status int
	}{
		"taken away":         {func(k *keyHarness) { k.set(2, []string{"w"}) }, 401},
		"of another one":     {func(k *keyHarness) { k.set(2, []string{"w"}, []string{"v", secretKey}) }, 503},
		"not confirmed":      {func(k *keyHarness) { k.setConfirmed(times.SinceBoot() - time.Minute) }, 503},
		"another is changed": {func(k *keyHarness) { k.set(2, []string{"w", secretKey, "more-key"}) }, 200},
	} {
		header := map[string]string{"Key": "Bearer " + secretKey}
		t.Run(name+" while it waits", func(t *testing.T) {
			t.Parallel()
			k := newKeyHarness(t, tamarackknot.Route{Kind: once}, respond(http.StatusOK, "x"))
			release := k.occupy()
			var status int
			var wg sync.WaitGroup
			wg.Go(func() {
				if resp, _, err := k.do(call{header: header}); err == nil {
					status = resp.StatusCode
				}
			})
			time.Sleep(50 * time.Millisecond)
			tt.change(k)
			release()
			wg.Wait()
			require.Equal(t, tt.status, status)
			require.Len(t, k.reached(), map[bool]int{true: 1}[status == 200])
			k.requireNoKey()
		})
		t.Run(name+" after an attempt", func(t *testing.T) {
			t.Parallel()
			var k *keyHarness
			first := func(w http.ResponseWriter, r *http.Request) {
				tt.change(k)
				decline(w, r)
			}
			k = newKeyHarness(t, tamarackknot.Route{Kind: tamarackknot.RouteRepeatable, Attempts: 2}, first, respond(http.StatusOK, "x"))
			resp, _, err := k.do(call{header: header})
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode)
			require.Len(t, k.reached(), map[bool]int{true: 2, false: 1}[resp.StatusCode == 200])
		})
	}
}

// TestForwardWithProof guards against a forwarded request that has the key in it, runs without
// one that holds at the other host, or is refused though its key holds.
func TestForwardWithProof(t *testing.T) {
	for name, tt := range map[string]struct {
		header     map[string]string
		understood bool
		anonymous  bool // by the configuration of the first host
		there      []string
		status     int
	}{
		"the key holds":               {map[string]string{"Key": "Bearer " + secretKey}, true, false, []string{"w", secretKey}, 200},
		"only here":                   {map[string]string{"Key": "Bearer " + secretKey}, true, false, []string{"w", "other-key"}, 401},
		"in another workspace":        {map[string]string{"Key": "Bearer " + secretKey}, true, false, []string{"z", secretKey}, 200},
		"an earlier build":            {map[string]string{"Key": "Bearer " + secretKey}, false, false, []string{"w", secretKey}, 503},
		"no longer anonymous":         {map[string]string{"Key": "Bearer " + secretKey}, false, true, []string{"w", secretKey}, 200},
		"no longer anonymous, no key": {nil, false, true, []string{"w", secretKey}, 401},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newKeyHarness(t, tamarackknot.Route{Kind: once, Anonymous: tt.anonymous}, respond(200, "x"))
			b := newKeyHarness(t, tamarackknot.Route{Kind: once}, respond(200, "x"))
			b.set(2, tt.there)
			var seen http.Header
			between := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				seen = r.Header.Clone()
				b.server.ServeHTTP(w, r)
			}))
			t.Cleanup(between.Close)
			a.server.cfg.Host, a.server.cfg.Isolated = "a", func() bool { return true }
			a.server.cfg.OtherHosts = func() []tamarackknot.HostEntry {
				return []tamarackknot.HostEntry{{Name: "b", Address: between.Listener.Addr().String(), Workspaces: tt.understood}}
			}
			resp, body, err := a.do(call{header: tt.header})
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode, body)
			require.Empty(t, a.reached())
			require.Len(t, b.got, map[bool]int{true: 1}[tt.status == 200])
			for name, values := range seen {
				require.NotContains(t, name+strings.Join(values, " "), "-key")
			}
			if tt.status == 200 {
				require.Equal(t, tt.there[0], b.got[0].Get("Workspace"))
				require.Empty(t, b.got[0].Get(headerProof)+b.got[0].Get(headerForwardedBy))
			}
			a.requireNoKey(body)
			b.requireNoKey()
			if tt.understood && tt.status == 200 {
				// Whoever reads a message can't use its proof for another request.
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, between.URL+"/p/other", http.NoBody)
				require.NoError(t, err)
				req.Host, req.Header = "a.example", seen.Clone()
				replay, err := http.DefaultClient.Do(req)
				require.NoError(t, err)
				_, _ = io.Copy(io.Discard, replay.Body)
				require.NoError(t, replay.Body.Close())
				require.Equal(t, 401, replay.StatusCode)
			}
		})
	}
}
