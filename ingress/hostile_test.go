package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/admission"
)

// guarded serves callers with a budget in front of the server of a harness.
type guarded struct {
	*harness
	budget *admission.Budget
	conns  *ConnTimeouts
	l      net.Listener
}

func newGuarded(tb testing.TB, route tamarackknot.Route, endpoint http.HandlerFunc) *guarded {
	tb.Helper()
	g := &guarded{harness: newHarness(tb, route, endpoint)}
	g.server.cfg.BodyTimeout = 300 * time.Millisecond
	g.budget = admission.New(admission.Config{Bytes: 4 << 20, Connections: 50}, time.Now())
	g.conns = NewConnTimeouts(ConnConfig{
		Limits:        func() tamarackknot.CallerLimits { return g.view.Catalog.Limits },
		Group:         g.budget.Group(admission.GroupConfig{Kind: admission.Connections, Bytes: admission.ConnectionBytes, Shared: true}),
		AnswerTimeout: time.Second, Shedding: NewShedding(g.budget, metrics.NewRegistry(), log.New(io.Discard)),
	})
	var err error
	g.l, err = (&net.ListenConfig{}).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	s := &http.Server{Handler: g.server, MaxHeaderBytes: 1 << 20, ErrorLog: log.New(io.Discard).StandardLog()}
	watched := g.conns.Watch(s, g.l)
	go func() { _ = s.Serve(watched) }()
	tb.Cleanup(func() { _ = s.Close() })
	return g
}

func (g *guarded) dial(tb testing.TB) net.Conn {
	tb.Helper()
	conn, err := (&net.Dialer{}).DialContext(tb.Context(), "tcp", g.l.Addr().String())
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = conn.Close() })
	require.NoError(tb, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return conn
}

// requireFree requires that nothing is held any more, but for connections.
func (g *guarded) requireFree(t require.TestingT) {
	require.Eventually(t, func() bool {
		sum := int64(0)
		for _, k := range admission.Kinds()[1:] {
			sum += g.budget.Used(k)
		}
		return sum == 0
	}, 5*time.Second, time.Millisecond, "memory stays held")
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprint(w, len(body))
}

func head(header ...string) string {
	return "POST /p/x HTTP/1.1\r\nHost: a.example\r\nId: 1\r\n" + strings.Join(header, "\r\n") + "\r\n\r\n"
}

// TestUnusualRequests guards against requests within the limits that are not served, and against
// callers that get no answer, or another one than that their request did not run, when the
// request exceeds a limit.
func TestUnusualRequests(t *testing.T) {
	const limit = 1 << 16 // of the harness
	body := strings.Repeat("x", limit)
	for name, tt := range map[string]struct {
		sent  []string
		pause time.Duration // after each
		want  []string      // status and body of the answers
	}{
		"body at the limit":         {sent: []string{head(fmt.Sprint("Content-Length: ", limit)), body}, want: []string{"200 65536"}},
		"one-byte chunks":           {sent: []string{head("Transfer-Encoding: chunked"), strings.Repeat("1\r\nx\r\n", limit), "0\r\n\r\n"}, want: []string{"200 65536"}},
		"slow and steady":           {sent: append([]string{head("Content-Length: 12")}, strings.Split(body[:12], "")...), pause: 60 * time.Millisecond, want: []string{"200 12"}},
		"head at the limit":         {sent: []string{head("A: "+strings.Repeat("a", 4096-7-19-5), "Content-Length: 0")}, want: []string{"200 0"}},
		"empty lines before":        {sent: []string{"\r\n\r\n" + head("Content-Length: 1") + "x", "\r\n\r\n" + head("Content-Length: 2") + "xx"}, pause: 200 * time.Millisecond, want: []string{"200 1", "200 2"}},
		"pipelined":                 {sent: []string{strings.Repeat(head("Content-Length: 1")+"x", 5)}, want: []string{"200 1", "200 1", "200 1", "200 1", "200 1"}},
		"waits to be asked for it":  {sent: []string{head("Content-Length: 3", "Expect: 100-continue"), "xxx"}, pause: 200 * time.Millisecond, want: []string{"100 ", "200 3"}},
		"over the limit, announced": {sent: []string{head("Content-Length: 6000000"), strings.Repeat("x", 6_000_000)}, want: []string{"413 the body exceeds the limit"}},
		"over the limit, in chunks": {sent: []string{head("Transfer-Encoding: chunked"), strings.Repeat("1000\r\n"+body[:4096]+"\r\n", 1000)}, want: []string{"413 the body exceeds the limit"}},
		"over the limit, not asked": {sent: []string{head("Content-Length: 6000000", "Expect: 100-continue")}, want: []string{"413 the body exceeds the limit"}},
		"head over the limit":       {sent: []string{head("A: " + strings.Repeat("a", 5000))}, want: []string{"431 headers exceed the limit"}},
		"head far over the limit":   {sent: []string{head("A: " + strings.Repeat("a", 500_000))}, want: []string{"431 Request Header Fields Too Large"}},
		"empty lines without end":   {sent: []string{strings.Repeat("\r\n", 100)}, want: []string{"400 Bad Request"}},
		"body that does not go on":  {sent: []string{head("Content-Length: 10"), "x"}, want: []string{"408 the body did not arrive in time"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGuarded(t, tamarackknot.Route{Kind: once}, echo)
			conn := g.dial(t)
			for _, text := range tt.sent {
				// A caller that writes all before it reads gets its answer as well.
				_, err := io.WriteString(conn, text)
				require.NoError(t, err)
				time.Sleep(tt.pause)
			}
			in := bufio.NewReader(conn)
			for _, want := range tt.want {
				resp, err := http.ReadResponse(in, nil)
				require.NoError(t, err)
				text, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, want, fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(string(text))))
			}
			g.requireFree(t)
		})
	}
}

// TestUnreadStream guards against endpoints whose slots stay taken, and that are read from, while
// the caller does not read.
func TestUnreadStream(t *testing.T) {
	var sent atomic.Int64
	left := make(chan struct{})
	g := newGuarded(t, tamarackknot.Route{Kind: stream}, func(w http.ResponseWriter, r *http.Request) {
		defer close(left)
		for i := 1; r.Context().Err() == nil; i++ {
			n, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 1000))
			if err != nil {
				return
			}
			sent.Add(int64(n))
		}
	})
	conn := g.dial(t)
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(16<<10))
	_, err := io.WriteString(conn, head("Content-Length: 0"))
	require.NoError(t, err)
	select {
	case <-left:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the endpoint is still occupied")
	}
	// The buffers of the sockets on both sides of this host, with those of the endpoint.
	t.Logf("sent by the endpoint: %d", sent.Load())
	require.Less(t, sent.Load(), int64(8<<20))
	g.requireFree(t)
}

// TestFullGroup guards against connections that keep all others out: with bodies that nobody
// waits for and that do not arrive, or with requests that wait for their turn.
func TestFullGroup(t *testing.T) {
	const limit = 20
	for name, hostile := range map[string]string{
		"unread bodies": head("Content-Length: 100000"),
		"pipelined":     strings.Repeat(strings.Replace(head("Content-Length: 0"), "/p/x", "/slow", 1), 10),
	} {
		t.Run(name, func(t *testing.T) {
			b := admission.New(admission.Config{Bytes: 64 << 20, Connections: limit}, time.Now())
			c := NewConnTimeouts(ConnConfig{
				Limits: func() tamarackknot.CallerLimits { return tamarackknot.CallerLimits{} },
				Group:  b.Group(admission.GroupConfig{Kind: admission.Connections, Bytes: admission.ConnectionBytes, Shared: true}),
			})
			s := &http.Server{ReadTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					time.Sleep(time.Second)
				}
			})}
			l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			go func() { _ = s.Serve(c.Watch(s, l)) }()
			defer func() { _ = s.Close() }()
			g := guarded{l: l}
			for range limit {
				_, err := io.WriteString(g.dial(t), hostile)
				require.NoError(t, err)
			}
			// The requests that wait for their turn are each the fourth on a connection.
			time.Sleep((fewPipelined+1)*time.Second + 500*time.Millisecond)
			conn := g.dial(t)
			_, err = io.WriteString(conn, head("Content-Length: 0"))
			require.NoError(t, err)
			require.Equal(t, "HTTP/1.1 200 OK", readLine(t, conn))
		})
	}
}

// shortListener fails for lack of descriptors before it accepts connections.
type shortListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestAcceptWithoutDescriptors guards against a server that ends, or spins, when there are no
// free descriptors, and against idle connections that keep theirs.
func TestAcceptWithoutDescriptors(t *testing.T) {
	g := newGuarded(t, tamarackknot.Route{Kind: once}, echo)
	idle := g.dial(t)
	time.Sleep(100 * time.Millisecond)
	l := &shortListener{Listener: g.l}
	l.failures.Store(3)
	began := time.Now()
	conn := make(chan net.Conn, 1)
	go func() {
		c, err := (&callerListener{Listener: l, timeouts: g.conns}).Accept()
		if err == nil {
			conn <- c
		}
	}()
	_, err := idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the idle connection is closed")
	for {
		// The server accepts some of the connections.
		g.dial(t)
		select {
		case c := <-conn:
			require.GreaterOrEqual(t, time.Since(began), 3*acceptPause)
			require.NoError(t, c.Close())
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestRandomRequests guards against bytes that end the process, get an answer that is none, or
// leave memory held, however they are split.
func TestRandomRequests(t *testing.T) {
	g := newGuarded(t, tamarackknot.Route{Kind: once}, echo)
	pieces := []string{
		"GET ", "POST ", "/p/x", " HTTP/1.1", " HTTP/1.0", "\r\n", "\n", "\r", "Host: a.example", "Content-Length: 5", "Content-Length: 99999999999",
		"Transfer-Encoding: chunked", "Expect: 100-continue", "Connection: close", "5", "5;e=1", "0", "ffffffffffffffff", "hello", "A: b", ": ", "\x00", "\xff",
		strings.Repeat("a", 5000), head("Content-Length: 5") + "hello", head("Transfer-Encoding: chunked") + "5\r\nhello\r\n0\r\n\r\n",
		head("Transfer-Encoding: chunked") + "5\r\nhello\r\n0\r\nA: b\r\n\r\n", head("Transfer-Encoding: chunked") + "5;", head("Content-Length: 0"),
	}
	rapid.Check(t, func(rt *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 1, 20).Draw(rt, "pieces"), "")
		conn := g.dial(t)
		defer func() { _ = conn.Close() }()
		go func() {
			for rest := text; rest != ""; {
				n := min(len(rest), 1+len(rest)/3)
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
			_ = conn.(*net.TCPConn).CloseWrite()
		}()
		in := bufio.NewReader(conn)
		for {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				require.NotContains(rt, err.Error(), "malformed")
				break
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			require.Contains(rt, []int{100, 200, 400, 404, 408, 413, 417, 431, 501, 503, 505}, resp.StatusCode)
			if err != nil {
				break
			}
		}
		g.requireFree(rt)
		ordinary := g.dial(t)
		_, err := io.WriteString(ordinary, head("Content-Length: 5", "Connection: close")+"hello")
		require.NoError(rt, err)
		resp, err := http.ReadResponse(bufio.NewReader(ordinary), nil)
		require.NoError(rt, err)
		require.Equal(rt, http.StatusOK, resp.StatusCode)
		require.NoError(rt, resp.Body.Close())
		require.NoError(rt, ordinary.Close())
	})
}
