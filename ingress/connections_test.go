package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// pipeListener accepts the server ends of net.Pipe connections.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l pipeListener) Close() error   { close(l); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestConnectionLimits guards against connections that are closed before the
// idle timeout of the active configuration, against changes of the limits that
// have no effect, and against callers that keep a connection open without
// completing a request.
func TestConnectionLimits(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
	for name, tt := range map[string]struct {
		limits, later tamarackknot.CallerLimits // later applies after one second
		sent          string
		serving       time.Duration
		least, most   time.Duration // time between the last byte and the close
	}{
		"idle after a request": {
			limits: tamarackknot.CallerLimits{IdleTimeout: time.Minute}, sent: request, least: time.Minute, most: 61 * time.Second,
		},
		"idle beyond the default": {
			limits: tamarackknot.CallerLimits{IdleTimeout: time.Hour}, sent: request, least: time.Hour, most: time.Hour + time.Second,
		},
		"idle without a request": {
			limits: tamarackknot.CallerLimits{IdleTimeout: time.Minute}, least: time.Minute, most: 61 * time.Second,
		},
		"idle limit raised": {
			limits: tamarackknot.CallerLimits{IdleTimeout: 5 * time.Second},
			later:  tamarackknot.CallerLimits{IdleTimeout: time.Minute}, sent: request, least: time.Minute, most: 61 * time.Second,
		},
		"idle limit lowered": {
			limits: tamarackknot.CallerLimits{IdleTimeout: time.Hour},
			later:  tamarackknot.CallerLimits{IdleTimeout: time.Minute}, sent: request, least: time.Minute, most: 61 * time.Second,
		},
		"no configuration yet": {sent: request, least: defaultIdleTimeout, most: defaultIdleTimeout + time.Second},
		"slow headers": {
			limits: tamarackknot.CallerLimits{HeaderTimeout: 3 * time.Second, IdleTimeout: time.Hour},
			sent:   request[:20], least: 3 * time.Second, most: 4 * time.Second,
		},
		"slow response": {
			limits: tamarackknot.CallerLimits{HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second},
			sent:   request, serving: time.Minute, least: 2 * time.Second, most: 3 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var limits atomic.Pointer[tamarackknot.CallerLimits]
				limits.Store(&tt.limits)
				c := NewConnTimeouts(ConnConfig{Limits: func() tamarackknot.CallerLimits { return *limits.Load() }})
				s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(tt.serving)
					w.WriteHeader(http.StatusNoContent)
				})}
				l := make(pipeListener)
				watched := c.Watch(s, l)
				go func() { _ = s.Serve(watched) }()
				defer func() { _ = s.Close() }()
				ctx, cancel := context.WithCancel(t.Context())
				go c.Run(ctx)
				client, server := net.Pipe()
				l <- server
				last := time.Now()
				if tt.sent != "" {
					_, err := io.WriteString(client, tt.sent)
					require.NoError(t, err)
				}
				if tt.later != (tamarackknot.CallerLimits{}) {
					time.AfterFunc(time.Second, func() { limits.Store(&tt.later) })
				}
				buf, got := make([]byte, 4096), 0
				for {
					n, err := client.Read(buf)
					if err != nil {
						break
					}
					last, got = time.Now(), got+n
				}
				require.Equal(t, tt.sent == request, got > 0, "whether a response arrived")
				open := time.Since(last)
				require.GreaterOrEqual(t, open, tt.least)
				require.LessOrEqual(t, open, tt.most)
				cancel()
				require.NoError(t, s.Close())
				synctest.Wait()
				require.Empty(t, c.conns)
			})
		})
	}
}

// crossingConn is a connection on which a request arrives just before the server closes it.
type crossingConn struct {
	net.Conn
	arrive func()
	closed atomic.Bool
}

func (c *crossingConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.arrive()
	}
	return c.Conn.Close()
}

// TestRequestThatCrossesClose guards against a request that runs although its connection has
// been chosen to be closed, so that its answer can't be sent.
func TestRequestThatCrossesClose(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
	for name, end := range map[string]func(ctx context.Context, c *ConnTimeouts) error{
		"idle for too long":   func(_ context.Context, c *ConnTimeouts) error { c.sweep(time.Now().Add(time.Hour)); return nil },
		"the host shuts down": func(ctx context.Context, c *ConnTimeouts) error { return c.WaitAnswered(ctx) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				served := 0
				c := NewConnTimeouts(ConnConfig{Limits: func() tamarackknot.CallerLimits { return tamarackknot.CallerLimits{IdleTimeout: time.Minute} }})
				s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					served++
					w.WriteHeader(http.StatusNoContent)
				})}
				l := make(pipeListener)
				go func() { _ = s.Serve(c.Watch(s, l)) }()
				client, server := net.Pipe()
				in := bufio.NewReader(client)
				l <- &crossingConn{Conn: server, arrive: func() {
					_, err := io.WriteString(client, request)
					require.NoError(t, err)
					time.Sleep(time.Second)
				}}
				_, err := io.WriteString(client, request)
				require.NoError(t, err)
				_, err = http.ReadResponse(in, nil)
				require.NoError(t, err)
				time.Sleep(2 * newConnTime)
				require.NoError(t, end(t.Context(), c))
				synctest.Wait()
				require.Equal(t, 1, served, "requests that ran")
				require.NoError(t, s.Close())
			})
		})
	}
}
