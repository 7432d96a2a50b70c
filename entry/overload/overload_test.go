// Package overload tests that a process of the daemon outlives hostile callers within the
// memory and the descriptors of its host.
package overload

import (
	"context"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crowdSize is the number of connections of each way alone, and of all ways together.
	crowdSize = 150
	aloneTime = 700 * time.Millisecond
	allTime   = 5 * time.Second
)

// buildDaemon builds the daemon and returns the path of its program.
func buildDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "tamarackd")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "tamarackknot.example/tamarackknot/entry").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return program
}

// TestHostileCallers guards against callers that exhaust the memory or the descriptors of a
// host, or keep it from answering others, in one way.
func TestHostileCallers(t *testing.T) {
	program := buildDaemon(t)
	// A process that has failed a test, or has ended, does not serve the next one.
	alone := func(address string, ways map[string]way, targets func(*host) []string) {
		var h *host
		for _, name := range slices.Sorted(maps.Keys(ways)) {
			passed := t.Run(address+"/"+name, func(s *testing.T) {
				if h == nil {
					h = startHost(t, program)
				}
				h.forgetPeaks()
				attack(s, h, aloneTime, func(ctx context.Context, c *crowd) {
					to := targets(h)
					for _, target := range to {
						c.start(ctx, target, crowdSize/len(to), ways[name])
					}
				})
			})
			if !passed && h != nil {
				h.kill()
				h = nil
			}
		}
		if h != nil {
			h.kill()
		}
	}
	alone("callers", callerWays(), func(h *host) []string { return []string{h.callers} })
	alone("directory, readiness and metrics", directoryWays(), func(h *host) []string { return []string{h.directory, h.ready, h.metrics} })
	alone("peers", peerWays(), func(h *host) []string { return []string{h.peers} })
}

// TestHostileCallersTogether guards against the same when callers act in all ways at once.
func TestHostileCallersTogether(t *testing.T) {
	h := startHost(t, buildDaemon(t))
	defer h.kill()
	attack(t, h, allTime, func(ctx context.Context, c *crowd) {
		callers, directory, peers := callerWays(), directoryWays(), peerWays()
		each := crowdSize / (len(callers) + len(directory) + len(peers))
		for _, w := range callers {
			c.start(ctx, h.callers, each, w)
		}
		for i, name := range slices.Sorted(maps.Keys(directory)) {
			c.start(ctx, []string{h.directory, h.ready, h.metrics}[i%3], each, directory[name])
		}
		for _, w := range peers {
			c.start(ctx, h.peers, each, w)
		}
	})
}

// attack lets a crowd act on a host and then requires that the host is whole, before the crowd
// has closed its connections.
func attack(t *testing.T, h *host, duration time.Duration, start func(context.Context, *crowd)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var c crowd
	start(ctx, &c)
	time.Sleep(duration)
	defer c.running.Wait()
	defer cancel()
	if path := os.Getenv("OVERLOAD_LOG"); path != "" {
		defer func() { _ = exec.CommandContext(context.Background(), "cp", h.log.Name(), path).Run() }()
	}
	h.requireWhole(t)
}
