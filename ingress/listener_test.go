package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// gatedListener accepts nothing until its gate is open, like a process that gets no processor
// time.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.Listener.Accept()
}

// TestDrainUnderLoad guards against a planned stop that cuts off requests which callers send
// on connections that the kernel has established.
func TestDrainUnderLoad(t *testing.T) {
	const (
		callers = 20
		request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
		later   = 300 * time.Millisecond
	)
	for name, tt := range map[string]struct {
		queued bool   // the process accepts the connections after the stop has begun
		sent   string // before the stop; the rest of the request follows later
	}{
		"connections queued by the kernel": {true, request},
		"accepted, nothing received":       {false, ""},
		"accepted, a part of the headers":  {false, request[:20]},
		"a request under way":              {false, request},
	} {
		t.Run(name, func(t *testing.T) {
			tcp, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			c := NewConnTimeouts(ConnConfig{Limits: func() tamarackknot.CallerLimits { return tamarackknot.CallerLimits{} }})
			server := &http.Server{ReadHeaderTimeout: minStallTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(later)
				w.Header().Set("Connection", "close")
				_, _ = io.WriteString(w, "x")
			})}
			l := gatedListener{c.Watch(server, tcp), make(chan struct{})}
			served := make(chan error, 1)
			go func() { served <- server.Serve(l) }()
			if !tt.queued {
				close(l.gate)
			}
			conns := make([]net.Conn, callers)
			for i := range conns {
				conns[i], err = (&net.Dialer{}).DialContext(t.Context(), "tcp", tcp.Addr().String())
				require.NoError(t, err)
				_, err = io.WriteString(conns[i], tt.sent)
				require.NoError(t, err)
			}
			drained := make(chan error, 1)
			go func() { drained <- c.Drain(context.WithoutCancel(t.Context())) }()
			if tt.queued {
				close(l.gate)
			}
			time.Sleep(later)
			for _, conn := range conns {
				_, err = io.WriteString(conn, request[len(tt.sent):])
				require.NoError(t, err)
			}
			for _, conn := range conns {
				require.Equal(t, "HTTP/1.1 200 OK", readLine(t, conn))
				require.NoError(t, conn.Close())
			}
			require.NoError(t, <-drained)
			require.ErrorIs(t, <-served, net.ErrClosed)
			_, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", tcp.Addr().String())
			require.Error(t, err, "the socket is closed")
		})
	}
}

// TestDrainIdle guards against a stop that waits for connections on which callers send nothing.
func TestDrainIdle(t *testing.T) {
	tcp, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := NewConnTimeouts(ConnConfig{Limits: func() tamarackknot.CallerLimits { return tamarackknot.CallerLimits{} }})
	server := &http.Server{ReadHeaderTimeout: minStallTimeout, Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(c.Watch(server, tcp)) }()
	for _, sent := range []string{"", "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"} {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", tcp.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, sent)
		require.NoError(t, err)
		if sent != "" {
			readLine(t, conn)
		}
	}
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(3*newConnTime))
	defer cancel()
	require.NoError(t, c.Drain(ctx))
}
