package reach

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot/internal/wait"
)

// network connects to the addresses that it reaches.
type network struct {
	mu      sync.Mutex
	reached map[string]bool
	hangs   bool // connections to others hang instead of being refused
	dials   int
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	reached, hangs := n.reached[address], n.hangs
	n.dials++
	n.mu.Unlock()
	if reached {
		conn, _ := net.Pipe()
		return conn, nil
	}
	if hangs {
		wait.For(ctx, 700*time.Millisecond)
	}
	return nil, syscall.ECONNREFUSED
}

func (n *network) set(reached ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reached = make(map[string]bool)
	for _, address := range reached {
		n.reached[address] = true
	}
}

// TestIsolated guards against a host that does not find out in time that it reaches no
// endpoint, or that it does again, and against one that takes failed endpoints for that.
func TestIsolated(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	for name, tt := range map[string]struct {
		endpoints []string
		reached   []string // from the start on
		hangs     bool
		dialed    string // by a request
		within    time.Duration
		isolated  bool
		mostDials int
	}{
		"refused":              {all, nil, false, "a", 600 * time.Millisecond, true, 1 + 3*trials},
		"connections hang":     {all, nil, true, "a", 2500 * time.Millisecond, true, 1 + 3*trials},
		"seven endpoints fail": {all, all[7:], false, "a", 2 * time.Second, false, 1 + trials},
		"half are reached":     {all, all[6:], false, "a", 10 * time.Second, false, 1 + trials},
		"reached":              {all, all, false, "a", time.Second, false, 1},
		"a single endpoint":    {all[:1], nil, false, "a", time.Second, true, 8},
		"no endpoint is known": {nil, nil, false, "a", time.Second, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{hangs: tt.hangs}
				n.set(tt.reached...)
				changes := 0
				m := New(Config{
					Dial: n.dial, Endpoints: func() []string { return tt.endpoints }, OnChange: func() { changes++ }, Logger: log.New(io.Discard),
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go m.Run(ctx)
				_, _ = m.Dial(ctx, "tcp", tt.dialed)
				time.Sleep(tt.within)
				require.Equal(t, tt.isolated, m.Isolated())
				n.mu.Lock()
				require.LessOrEqual(t, n.dials, tt.mostDials)
				n.mu.Unlock()
				if len(tt.endpoints) > 0 {
					n.set(all...)
					time.Sleep(time.Second)
					require.False(t, m.Isolated(), "reached again")
					require.Equal(t, tt.isolated, changes == 2)
				}
			})
		})
	}
}
