package overload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// ramMB is the memory of the host and the bound of its resident memory. maxFds is the number
	// of its descriptors, of which the platform reserves 200; openFds is what it may have open.
	ramMB   = 96
	maxFds  = 360
	openFds = maxFds - 200

	readyTime    = 20 * time.Second
	answerTime   = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// host is a process of the daemon with its settings.
type host struct {
	t   *testing.T
	cmd *exec.Cmd
	// Addresses IP:port.
	callers, ready, directory, metrics, peers string

	ended   chan struct{} // closed when the process has ended
	peakFds atomic.Int64
	log     *os.File
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startHost starts the daemon with a stand-in of the platform's store and one endpoint, and
// waits until it is ready.
func startHost(t *testing.T, program string) *host {
	t.Helper()
	h := &host{t: t, ended: make(chan struct{})}
	for _, a := range []*string{&h.callers, &h.ready, &h.directory, &h.metrics, &h.peers} {
		*a = freeAddress(t)
	}
	s := newStore()
	platform := httptest.NewServer(s)
	t.Cleanup(platform.CloseClientConnections)
	putConfig(t, s)
	startEndpoint(t, s, "desk-1")
	dir := t.TempDir()
	file := filepath.Join(dir, "host.toml")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, `nodeId = "edge-1"
ip = "127.0.0.1"
zone = "z-a"
bootstrap = true
heartbeatMs = 1200
[listen]
front = %q
readyAddr = %q
directory = %q
control = %q
[limits]
cpuShare = 1.0
cores = 1
ramMb = %d
maxFds = %d
[bounds]
contactMs = 3000
graceS = 8
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
requireFence = true
leaseMs = 3000
ceilingWindowS = 5
ceilingFactor = 1.1
ttl_max_s = 5
[infra]
addr = %q
`, h.callers, h.ready, h.directory, h.peers, ramMB, maxFds, platform.Listener.Addr().String()), 0o600))
	var err error
	h.log, err = os.Create(filepath.Join(dir, "host.log"))
	require.NoError(t, err)
	_, metricsPort, err := net.SplitHostPort(h.metrics)
	require.NoError(t, err)
	h.cmd = exec.Command(program, "hosted", "--metricsPort", metricsPort)
	h.cmd.Env = append(os.Environ(), "TAMARACKKNOT_CONFIG="+file)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, h.cmd.Start())
	go h.runProcess()
	go h.loopDescriptors()
	t.Cleanup(h.kill)
	require.Eventually(t, h.answers, readyTime, 2*pollInterval, "the host does not begin to serve")
	return h
}

// runProcess waits for the end of the process.
func (h *host) runProcess() {
	_ = h.cmd.Wait()
	close(h.ended)
}

// loopDescriptors observes the open descriptors of the process until it has ended.
func (h *host) loopDescriptors() {
	for {
		select {
		case <-h.ended:
			return
		case <-time.After(pollInterval):
		}
		if entries, err := os.ReadDir(h.proc("fd")); err == nil {
			h.peakFds.Store(max(h.peakFds.Load(), int64(len(entries))))
		}
	}
}

// kill ends the process.
func (h *host) kill() {
	_ = h.cmd.Process.Kill()
	<-h.ended
}

// forgetPeaks begins to observe the peaks anew. Where the kernel does not allow it, those of
// memory go on, which does not change the bound.
func (h *host) forgetPeaks() {
	_ = os.WriteFile(h.proc("clear_refs"), []byte("5"), 0)
	h.peakFds.Store(0)
}

func (h *host) proc(name string) string {
	return filepath.Join("/proc", strconv.Itoa(h.cmd.Process.Pid), name)
}

// peakMB returns the greatest resident memory that the process had so far.
func (h *host) peakMB() float64 {
	data, err := os.ReadFile(h.proc("status"))
	require.NoError(h.t, err)
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			require.NoError(h.t, err)
			return float64(kb) / 1024
		}
	}
	require.Fail(h.t, "no VmHWM in the status of the process")
	return 0
}

// answers reports whether an ordinary request is answered.
func (h *host) answers() bool {
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+"/once/x", strings.NewReader("ordinary"))
	if err != nil {
		return false
	}
	r.Host = callerHost
	r.Header.Set("X-Request-Id", "ordinary")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == "answer"
}

// requireWhole requires that the process lives, has kept its bounds and answers an ordinary
// request.
func (h *host) requireWhole(t *testing.T) {
	t.Helper()
	select {
	case <-h.ended:
		text, _ := os.ReadFile(h.log.Name())
		require.Fail(t, "the process has ended", "%s", text[max(len(text)-4096, 0):])
	default:
	}
	answered := false
	for until := time.Now().Add(answerTime); !answered && time.Now().Before(until); time.Sleep(pollInterval) {
		answered = h.answers()
	}
	peak, fds := h.peakMB(), h.peakFds.Load()
	t.Logf("peak: %.1f MB resident, %d descriptors; ordinary request answered: %v", peak, fds, answered)
	if text, err := os.ReadFile(h.log.Name()); err == nil && bytes.Contains(text, []byte("panic")) {
		require.Fail(t, "a panic is in the log of the process")
	}
	require.LessOrEqual(t, peak, float64(ramMB), "resident memory in MB")
	require.LessOrEqual(t, fds, int64(openFds), "open descriptors")
	require.True(t, answered, "an ordinary request is answered")
}
