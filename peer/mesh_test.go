package peer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 100) }

// pipeNet connects meshes with net.Pipe. Addresses are host names.
type pipeNet struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	hung      map[string]chan struct{} // hosts that do not read requests
	dials     int
}

type pipeListener struct {
	net    *pipeNet
	host   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeNet() *pipeNet {
	return &pipeNet{listeners: map[string]*pipeListener{}, hung: map[string]chan struct{}{}}
}

func (n *pipeNet) listen(host string) *pipeListener {
	l := &pipeListener{net: n, host: host, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[host] = l
	return l
}

func (n *pipeNet) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	select {
	case l.conns <- hangConn{Conn: b, l: l}:
		return a, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *pipeNet) hang(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hung[host] == nil {
		n.hung[host] = make(chan struct{})
	}
}

func (n *pipeNet) unhang(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.hung[host]; c != nil {
		close(c)
		delete(n.hung, host)
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// hangConn is the accepting end of a pipe. It does not read while its host
// hangs.
type hangConn struct {
	net.Conn
	l *pipeListener
}

func (c hangConn) Read(b []byte) (int, error) {
	c.l.net.mu.Lock()
	hung := c.l.net.hung[c.l.host]
	c.l.net.mu.Unlock()
	if hung != nil {
		select {
		case <-hung:
		case <-c.l.closed:
		}
	}
	return c.Conn.Read(b)
}

func (n *pipeNet) mesh(host string, change func(*Config)) *Mesh {
	cfg := Config{
		Host: host, Incarnation: "inc-" + host, Dial: n.dial,
		Listen:  func(context.Context) (net.Listener, error) { return n.listen(host), nil },
		Resolve: func(h string) (string, bool) { return h, h != "nowhere" },
	}
	if change != nil {
		change(&cfg)
	}
	m := New(cfg)
	m.Handle("echo", func(_ context.Context, from string, params json.RawMessage) (any, error) {
		return []string{from, host, string(params)}, nil
	})
	m.Handle("fail", func(context.Context, string, json.RawMessage) (any, error) { return nil, errors.New("no such record") })
	m.Handle("wait", func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	m.Handle("large", func(context.Context, string, json.RawMessage) (any, error) { return strings.Repeat("x", 8<<20), nil })
	if err := m.Start(context.Background()); err != nil {
		panic(err)
	}
	return m
}

func closeAll(t *testing.T, meshes ...*Mesh) {
	t.Helper()
	for _, m := range meshes {
		require.NoError(t, m.Close())
	}
}

func timeoutContext(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	time.AfterFunc(d+time.Second, cancel)
	return ctx
}

// TestCall guards against answers that reach the wrong caller and against
// failures that are reported with the wrong error or not at all.
func TestCall(t *testing.T) {
	tests := map[string]struct {
		host, method string
		params       any
		want         error
		message      string
		after        time.Duration // fake time until the answer
	}{
		"echo":           {host: "b", method: "echo", params: 7},
		"handler error":  {host: "b", method: "fail", message: "no such record"},
		"no handler":     {host: "b", method: "other", message: "no handler for method other"},
		"deadline":       {host: "b", method: "wait", want: context.DeadlineExceeded, after: time.Second},
		"large params":   {host: "b", method: "echo", params: strings.Repeat("x", 8<<20), want: ErrTooLarge},
		"large result":   {host: "b", method: "large", message: "exceeds the size limit"},
		"unknown host":   {host: "nowhere", method: "echo", want: ErrUnknownHost},
		"refused":        {host: "z", method: "echo", want: ErrUnreachable},
		"this host":      {host: "a", method: "echo", want: ErrWrongHost},
		"other's socket": {host: "c", method: "echo", want: ErrWrongHost},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newPipeNet()
				var connected []tamarackknot.Process
				a := n.mesh("a", func(c *Config) {
					c.Resolve = func(h string) (string, bool) {
						if h == "c" {
							return "b", true // an address that b has taken over
						}
						return h, h != "nowhere"
					}
					c.OnConnect = func(p tamarackknot.Process) { connected = append(connected, p) }
				})
				b := n.mesh("b", nil)
				defer closeAll(t, a, b)
				begin := time.Now()
				var got []string
				err := a.Call(timeoutContext(time.Second), test.host, test.method, test.params, &got)
				require.InDelta(t, test.after, time.Since(begin), float64(10*time.Millisecond))
				switch {
				case test.want != nil:
					require.ErrorIs(t, err, test.want)
				case test.message != "":
					require.ErrorContains(t, err, test.message)
				default:
					require.NoError(t, err)
					require.Equal(t, []string{"a", "b", "7"}, got)
					require.Equal(t, []tamarackknot.Process{{Host: "b", Incarnation: "inc-b"}}, connected)
				}
			})
		})
	}
}

// TestHungPeer guards against a peer that does not read delaying the sender or
// messages to other peers, and against unlimited growth of its queue.
func TestHungPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNet()
		a, b, c := n.mesh("a", nil), n.mesh("b", nil), n.mesh("c", nil)
		defer closeAll(t, a, b, c)
		require.NoError(t, a.Call(timeoutContext(time.Second), "b", "echo", 1, nil))
		n.hang("b")
		defer n.unhang("b")
		begin := time.Now()
		full := 0
		for range 1000 {
			if err := a.Notify(context.Background(), "b", "echo", strings.Repeat("x", 1<<16)); err != nil {
				require.ErrorIs(t, err, ErrQueueFull)
				full++
			}
		}
		require.GreaterOrEqual(t, full, 1000-defaultQueueLength-1)
		for range 100 {
			require.NoError(t, a.Call(timeoutContext(time.Second), "c", "echo", 1, nil))
		}
		require.Zero(t, time.Since(begin), "messages to others were delayed")
		err := a.Call(timeoutContext(time.Second), "b", "echo", 1, nil)
		require.Error(t, err)
		require.LessOrEqual(t, time.Since(begin), time.Second)
	})
}

// TestUnansweredCalls guards against keeping a connection whose peer accepts
// requests but never answers.
func TestUnansweredCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNet()
		a, b := n.mesh("a", nil), n.mesh("b", nil)
		defer closeAll(t, a, b)
		for range maxUnansweredCalls {
			require.ErrorIs(t, a.Call(timeoutContext(time.Second), "b", "wait", 1, nil), context.DeadlineExceeded)
		}
		require.Equal(t, 1, n.dials)
		require.NoError(t, a.Call(timeoutContext(time.Second), "b", "echo", 1, nil))
		require.Equal(t, 2, n.dials)
	})
}

// TestReconnect guards against a peer that stays unreachable after its restart
// and against too many connection attempts while it is down.
func TestReconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNet()
		a, b := n.mesh("a", nil), n.mesh("b", nil)
		require.NoError(t, a.Call(timeoutContext(time.Second), "b", "echo", 1, nil))
		closeAll(t, b)
		synctest.Wait()
		for range 60 * 100 {
			require.ErrorIs(t, a.Call(timeoutContext(time.Second), "b", "echo", 1, nil), ErrUnreachable)
			time.Sleep(10 * time.Millisecond)
		}
		require.LessOrEqual(t, n.dials, 60, "attempts in a minute")
		b = n.mesh("b", nil)
		defer closeAll(t, a, b)
		time.Sleep(maxBackoff * 3 / 2)
		require.NoError(t, a.Call(timeoutContext(time.Second), "b", "echo", 1, nil))
	})
}

// TestIdle guards against keeping unused connections to peers.
func TestIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNet()
		a, b := n.mesh("a", nil), n.mesh("b", nil)
		defer closeAll(t, a, b)
		require.NoError(t, a.Call(timeoutContext(time.Second), "b", "echo", 1, nil))
		open := func(m *Mesh) [2]int {
			m.mu.Lock()
			defer m.mu.Unlock()
			return [2]int{len(m.links), m.inbound}
		}
		require.Equal(t, [2]int{1, 0}, open(a))
		require.Equal(t, [2]int{0, 1}, open(b))
		time.Sleep(defaultIdleTimeout + time.Second)
		require.Equal(t, [2]int{}, open(a))
		require.Equal(t, [2]int{}, open(b))
	})
}

// TestInvalidPeer guards against accepting input that is not from a mesh:
// requests before hello, hello for another host, oversized frames.
func TestInvalidPeer(t *testing.T) {
	hello := func(to string) string {
		return fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"host":"x","incarnation":"i","to":%q}}`, to)
	}
	request := `{"jsonrpc":"2.0","method":"echo","params":1}`
	frame := func(s string) []byte { return append(binary.AppendUvarint(nil, uint64(len(s))), s...) }
	tests := map[string][][]byte{
		"no hello":    {frame(request)},
		"other host":  {frame(hello("c")), frame(request)},
		"itself":      {frame(strings.Replace(hello("b"), `"x"`, `"b"`, 1)), frame(request)},
		"large frame": {binary.AppendUvarint(nil, 1<<40)},
		"no JSON":     {frame("{")},
	}
	for name, frames := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newPipeNet()
				b := n.mesh("b", nil)
				defer closeAll(t, b)
				b.Handle("echo", func(context.Context, string, json.RawMessage) (any, error) {
					t.Error("request was handled")
					return nil, nil
				})
				c, err := n.dial(context.Background(), "b")
				require.NoError(t, err)
				require.NoError(t, c.SetDeadline(time.Now().Add(time.Second)))
				go func() {
					for _, f := range frames {
						_, _ = c.Write(f)
					}
				}()
				buf := make([]byte, 4096)
				for err == nil {
					_, err = c.Read(buf)
				}
				require.False(t, errors.Is(err, os.ErrDeadlineExceeded), "connection stays open")
			})
		})
	}
}

// TestCounters guards against peer traffic that the metrics do not count.
func TestCounters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNet()
		regA, regB := metrics.NewRegistry(), metrics.NewRegistry()
		a := n.mesh("a", func(c *Config) { c.Metrics = regA })
		b := n.mesh("b", func(c *Config) { c.Metrics = regB })
		defer closeAll(t, a, b)
		for range 3 {
			require.NoError(t, a.Call(timeoutContext(time.Second), "b", "echo", "x", nil))
		}
		require.NoError(t, a.Notify(context.Background(), "b", "echo", "x"))
		synctest.Wait()
		count := func(r metrics.Registry, name string) int64 { return metrics.GetOrRegisterCounter(name, r).Count() }
		require.EqualValues(t, 4, count(regA, "peer.out.messages.echo"))
		require.EqualValues(t, 3, count(regA, "peer.in.messages.echo"))
		require.EqualValues(t, 4, count(regB, "peer.in.messages.echo"))
		require.EqualValues(t, 3, count(regB, "peer.out.messages.echo"))
		require.Equal(t, count(regA, "peer.out.bytes.echo"), count(regB, "peer.in.bytes.echo"))
		require.Equal(t, count(regA, "peer.in.bytes.echo"), count(regB, "peer.out.bytes.echo"))
		require.Greater(t, count(regA, "peer.out.bytes.echo"), int64(4*40))
	})
}

// TestOnSent guards against messages, or answers to calls, that are not counted for the host
// that gets them.
func TestOnSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, sent := newPipeNet(), make(map[string]int)
		var mu sync.Mutex
		count := func(from string) func(*Config) {
			return func(c *Config) {
				c.OnSent = func(host, method string, bytes int) {
					mu.Lock()
					defer mu.Unlock()
					sent[from+">"+host+" "+method] += min(bytes, 1)
				}
			}
		}
		a, b := n.mesh("a", count("a")), n.mesh("b", count("b"))
		defer closeAll(t, a, b)
		b.Handle("call", func(context.Context, string, json.RawMessage) (any, error) { return 1, nil })
		require.NoError(t, a.Call(t.Context(), "b", "call", nil, nil))
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		require.Equal(t, 1, sent["a>b call"])
		require.Equal(t, 1, sent["b>a call"])
	})
}

// TestMeshFuzz runs random calls and notifications while meshes stop, restart
// and hang. It checks that answers belong to their requests, that no call takes
// longer than its deadline, that a process receives the notifications of another
// process in order and at most once, and that every pair of hosts communicates
// after the faults have ended and the maximum backoff has passed.
func TestMeshFuzz(t *testing.T) {
	hosts := []string{"a", "b", "c"}
	type step struct {
		Kind     int
		From, To int
		Wait     time.Duration
	}
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind: rapid.IntRange(0, 11).Draw(t, "kind"), From: rapid.IntRange(0, 2).Draw(t, "from"), To: rapid.IntRange(0, 2).Draw(t, "to"),
			Wait: time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond,
		}
	}), 20, 120)
	rapid.Check(t, func(rt *rapid.T) {
		plan := steps.Draw(rt, "steps")
		var runErr error
		synctest.Test(t, func(*testing.T) {
			f := &meshFuzz{net: newPipeNet(), hosts: hosts, meshes: map[string]*Mesh{}, last: map[string]int{}}
			for _, h := range hosts {
				f.start(h)
			}
			for i, s := range plan {
				f.step(i, s.Kind, hosts[s.From], hosts[s.To])
				time.Sleep(s.Wait)
			}
			f.recover()
			for _, m := range f.meshes {
				_ = m.Close()
			}
			f.calls.Wait()
			runErr = f.err
		})
		if runErr != nil {
			rt.Fatalf("%v", runErr)
		}
	})
}

type meshFuzz struct {
	net    *pipeNet
	hosts  []string
	meshes map[string]*Mesh
	calls  sync.WaitGroup
	starts int

	mu   sync.Mutex
	last map[string]int // newest notification by sending and receiving process
	err  error
}

func (f *meshFuzz) failf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = errors.Newf(format, args...)
	}
}

func (f *meshFuzz) start(host string) {
	f.starts++
	inc := fmt.Sprint(host, f.starts)
	m := f.net.mesh(host, func(c *Config) { c.Incarnation = inc })
	m.Handle("count", func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var in struct {
			Process string
			N       int
		}
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, err
		}
		key := in.Process + ">" + inc
		f.mu.Lock()
		last := f.last[key]
		f.last[key] = in.N
		f.mu.Unlock()
		if in.N <= last {
			f.failf("notification %d of %s after %d", in.N, key, last)
		}
		return nil, nil
	})
	f.meshes[host] = m
}

func (f *meshFuzz) step(i, kind int, from, to string) {
	m := f.meshes[from]
	switch {
	case kind == 0 && m != nil:
		_ = m.Close()
		delete(f.meshes, from)
	case kind == 1 && m == nil:
		f.net.unhang(from)
		f.start(from)
	case kind == 2:
		f.net.hang(from)
	case kind == 3:
		f.net.unhang(from)
	case from == to || m == nil:
	case kind < 8:
		f.calls.Go(func() {
			begin := time.Now()
			var got []string
			err := m.Call(timeoutContext(time.Second), to, "echo", i, &got)
			if d := time.Since(begin); d > time.Second {
				f.failf("call %d took %v", i, d)
			}
			if err == nil && (got[0] != from || got[1] != to || got[2] != fmt.Sprint(i)) {
				f.failf("call %d was answered with %v", i, got)
			}
		})
	default:
		for j := range 5 {
			params := map[string]any{"Process": m.cfg.Incarnation, "N": 10*i + j + 1}
			if err := m.Notify(context.Background(), to, "count", params); err != nil && !errors.Is(err, ErrQueueFull) {
				f.failf("notification: %v", err)
			}
		}
	}
}

func (f *meshFuzz) recover() {
	for _, h := range f.hosts {
		f.net.unhang(h)
		if f.meshes[h] == nil {
			f.start(h)
		}
	}
	// A write to a peer that hung until now may take the whole write timeout.
	time.Sleep(defaultWriteTimeout + defaultDialTimeout + maxBackoff*3/2)
	for _, from := range f.hosts {
		for _, to := range f.hosts {
			if from == to {
				continue
			}
			if err := f.meshes[from].Call(timeoutContext(time.Second), to, "echo", 1, nil); err != nil {
				f.failf("call from %s to %s after recovery: %v", from, to, err)
			}
		}
	}
}

// BenchmarkCall measures a call over loopback TCP.
func BenchmarkCall(b *testing.B) {
	listen := func(ctx context.Context) (net.Listener, error) {
		return (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	}
	addresses := map[string]string{}
	newMesh := func(host string) *Mesh {
		m := New(Config{Host: host, Listen: listen, Resolve: func(h string) (string, bool) { a, ok := addresses[h]; return a, ok }})
		m.Handle("echo", func(_ context.Context, _ string, p json.RawMessage) (any, error) { return p, nil })
		require.NoError(b, m.Start(context.Background()))
		addresses[host] = m.listener.Addr().String()
		return m
	}
	a, c := newMesh("a"), newMesh("c")
	defer func() { _, _ = a.Close(), c.Close() }()
	params := strings.Repeat("x", 200)
	for b.Loop() {
		if err := a.Call(context.Background(), "c", "echo", params, nil); err != nil {
			b.Fatal(err)
		}
	}
}

var _ jsonrpc2.Handler = rejectAll{}
