package hosted

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot/platform"
)

// freeAddress returns a loopback address with an unused port. Its IP belongs to this
// process, so that no connection or listener of another one takes the port meanwhile.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	ip := net.IPv4(127, byte(1+pid>>16), byte(pid>>8), byte(pid))
	l, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// host is a running Daemon.
type host struct {
	settings platform.SiteSettings
	stop     context.CancelFunc
	done     chan error
}

func startHost(t *testing.T, p *storeServer, name string) *host {
	t.Helper()
	h := &host{done: make(chan error, 1), settings: platform.SiteSettings{
		FirstStart: true,
		Host:       name, FailureDomain: "z1", IP: "127.0.0.1",
		CallerAddress: freeAddress(t), ReadyAddress: freeAddress(t), DirectoryAddress: freeAddress(t), PeerAddress: freeAddress(t),
		StoreAddress: p.Listener.Addr().String(), Grace: 6 * time.Second, OrderGap: 3 * time.Second,
		RecoveryTime: 3 * time.Second, EnginesEnforceFencing: true, RetryRatio: 0.2, RetrySlack: 20, RetryWindow: 10 * time.Second,
		LoadWindow: 5 * time.Second, LoadFactor: 1.1, CPUCores: 1, AddressTTL: 5 * time.Second,
	}}
	// New sets it for the process; the clusters of other tests need less memory without.
	percent := debug.SetGCPercent(100)
	t.Cleanup(func() { debug.SetGCPercent(percent) })
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	d := New(Config{Settings: h.settings, Logger: log.New(io.Discard)})
	go func() { h.done <- d.Serve(ctx) }()
	return h
}

func (h *host) get(t *testing.T, address, path string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// request sends a request for a model to a host.
func (h *host) request(t *testing.T, model string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.settings.CallerAddress+"/p/x", strings.NewReader("prompt"))
	require.NoError(t, err)
	req.Host = "a.example"
	req.Header.Set("X-Request-Id", "id-"+model)
	req.Header.Set("X-Model", model)
	req.Header.Set("X-Deadline-Ms", "8000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err.Error()
	}
	return resp.StatusCode, string(body)
}

func config(version int) map[string]any {
	model := func(name string) map[string]any {
		return map[string]any{"name": name, "weightsMb": 70000, "loadS": 0.4, "warmS": 0.05, "diskS": 0.1, "adapters": 0}
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r", "host": "a.example", "pathPrefix": "/p/", "kind": "streaming", "timeoutMs": 8000, "sloMs": 2000, "gapAimMs": 300,
			"svc": "s", "attempts": 1,
		}},
		"services": []map[string]any{{"name": "s", "maxConns": 100, "engine": map[string]any{
			"slots": 8, "kvTokens": 100000, "weightsMb": 220000, "loraSlots": 4, "hostMb": 150000, "diskMb": 1500000, "loadsPerS": 4,
			"models": []map[string]any{model("warm"), model("cold")},
		}}},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// TestServe runs two complete hosts on loopback. It guards against components that
// work alone but are wired wrongly: settings, store, planner, engine and ingress.
func TestServe(t *testing.T) {
	p := newStoreServer(t)
	e := newEngine(t, "i-1", "warm")
	one, two := startHost(t, p, "h1"), startHost(t, p, "h2")
	defer one.stop()
	status, _ := one.get(t, one.settings.ReadyAddress, "/-/ready")
	require.NotEqual(t, http.StatusOK, status)
	status, _ = one.request(t, "warm")
	require.Contains(t, []int{0, http.StatusServiceUnavailable}, status)

	p.put(t, "keyed.op", "config", config(1))
	entry := e.state()
	entry["svc"], entry["addr"], entry["zone"], entry["slots"], entry["state"] = "s", e.Listener.Addr().String(), "z1", 8, "ready"
	p.put(t, "keyed.servers", "i-1", entry)
	p.put(t, "keyed.servers", "i-2", "not an entry")
	for _, h := range []*host{one, two} {
		require.Eventually(t, func() bool {
			status, _ := h.get(t, h.settings.ReadyAddress, "/-/ready")
			return status == http.StatusOK
		}, 5*time.Second, 20*time.Millisecond)
	}
	wantBody := "id: 0\ndata: x\n\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	for _, h := range []*host{one, two} {
		status, body := h.request(t, "warm")
		require.Equal(t, http.StatusOK, status, body)
		require.Equal(t, wantBody, body)
	}
	// A model that no engine holds is loaded; only one host sends the order.
	require.Eventually(t, func() bool {
		status, body := two.request(t, "cold")
		return status == http.StatusOK && body == wantBody
	}, 10*time.Second, 50*time.Millisecond)
	e.mu.Lock()
	require.Len(t, e.owners, 1)
	e.mu.Unlock()
	require.Eventually(t, func() bool {
		_, body := one.get(t, one.settings.DirectoryAddress, "/-/resolve?zone=z1")
		return strings.Contains(body, one.settings.CallerAddress) && strings.Contains(body, two.settings.CallerAddress)
	}, 5*time.Second, 50*time.Millisecond)

	// The address of a draining host is no longer listed, and the other host
	// keeps serving.
	two.stop()
	require.Eventually(t, func() bool {
		status, _ := two.get(t, two.settings.ReadyAddress, "/-/ready")
		_, body := one.get(t, one.settings.DirectoryAddress, "/-/resolve?zone=z1")
		return status != http.StatusOK && !strings.Contains(body, two.settings.CallerAddress)
	}, 5*time.Second, 50*time.Millisecond)
	require.NoError(t, <-two.done)
	require.Eventually(t, func() bool {
		status, _ := one.request(t, "cold")
		return status == http.StatusOK
	}, 5*time.Second, 50*time.Millisecond)
	one.stop()
	require.NoError(t, <-one.done)
}

// TestServeOverRestore runs two hosts on loopback while the store is restored from
// an older copy. It guards against requests that fail, a configuration that goes
// back or is missed, and loads that do not go on.
func TestServeOverRestore(t *testing.T) {
	p := newStoreServer(t)
	e := newEngine(t, "i-1", "warm")
	one, two := startHost(t, p, "h1"), startHost(t, p, "h2")
	defer func() {
		for _, h := range []*host{one, two} {
			h.stop()
			require.NoError(t, <-h.done)
		}
	}()
	register := func() {
		entry := e.state()
		entry["svc"], entry["addr"], entry["zone"], entry["slots"], entry["state"] = "s", e.Listener.Addr().String(), "z1", 8, "ready"
		p.put(t, "keyed.servers", "i-1", entry)
	}
	older := p.copy()
	p.put(t, "keyed.op", "config", config(1))
	register()
	for _, h := range []*host{one, two} {
		require.Eventually(t, func() bool {
			status, _ := h.request(t, "warm")
			return status == http.StatusOK
		}, 5*time.Second, 20*time.Millisecond)
	}
	p.restore(older) // without the configuration, the endpoint and the hosts
	for range 20 {
		for _, h := range []*host{one, two} {
			status, body := h.request(t, "warm")
			require.Equal(t, http.StatusOK, status, body)
		}
	}
	register()
	changed := config(2)
	changed["routes"].([]map[string]any)[0]["host"] = "b.example"
	p.put(t, "keyed.op", "config", changed)
	for _, h := range []*host{one, two} {
		require.Eventually(t, func() bool {
			status, _ := h.request(t, "warm") // for a.example, which has no route any more
			return status == http.StatusNotFound
		}, 4*time.Second, 20*time.Millisecond)
	}
	p.put(t, "keyed.op", "config", config(3))
	require.Eventually(t, func() bool {
		status, _ := two.request(t, "cold")
		return status == http.StatusOK
	}, 12*time.Second, 50*time.Millisecond)
}

// TestLogWriter guards against requests that block because the reader of the logs
// has stopped, and against lines that are dropped without a message.
func TestLogWriter(t *testing.T) {
	r, pipe := io.Pipe()
	w := NewLogWriter(pipe)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	for range 2 * logQueueSize {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	all := make(chan string)
	go func() {
		data, _ := io.ReadAll(r)
		all <- string(data)
	}()
	cancel()
	w.Wait()
	require.NoError(t, pipe.Close())
	text := <-all
	require.Contains(t, text, "log lines left out")
	require.GreaterOrEqual(t, strings.Count(text, "line\n"), logQueueSize)
}
