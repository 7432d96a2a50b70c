package caller

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot/internal/headcheck"
)

const (
	// dialTimeout is short because another replica can serve the request.
	dialTimeout = time.Second
	// maxIdleConnections is the number of idle connections kept per endpoint.
	maxIdleConnections = 64
	idleTimeout        = 30 * time.Second
)

var errSealed = errors.New("connection is closed for writing")

// conn counts the bytes passed to the network. A request of which no byte was
// written cannot have run.
type conn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts the bytes of p before it writes them, because a failed write may
// have sent some of them.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// seal makes all later writes fail and returns the number of bytes written so
// far. net/http writes a request on a separate goroutine, which may start to
// write only after the call has failed.
func (c *conn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// writeTracker records whether any byte of a request was written to an
// endpoint.
type writeTracker struct {
	deadline time.Time

	mu             sync.Mutex
	conn           *conn
	startCount     int64 // bytes written on conn before the request
	writtenEarlier bool  // bytes were written on an earlier connection
	stopped        bool
}

func (t *writeTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

// gotConn is called before net/http writes the request. It seals a connection
// obtained after the deadline or after the call has ended.
func (t *writeTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		panic("caller: connection was not created by the transport's dial function")
	}
	if t.conn != nil {
		t.writtenEarlier = t.writtenEarlier || t.conn.seal() > t.startCount
	}
	t.conn, t.startCount = c, c.bytesWritten()
	if t.stopped || !time.Now().Before(t.deadline) {
		c.seal()
	}
}

// stop prevents further writes of the request and reports whether any byte of it
// was written. Use it only after a failed call, whose connection net/http does
// not reuse.
func (t *writeTracker) stop() (written bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	return t.writtenEarlier || (t.conn != nil && t.conn.seal() > t.startCount)
}

// dialFunc connects to an endpoint.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newTransport returns a transport that reuses connections, or one that makes a
// new connection for each request.
func newTransport(dial dialFunc, reuse bool) *headcheck.Transport {
	return &headcheck.Transport{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, &dialError{err}
			}
			return &conn{Conn: c}, nil
		},
		DisableKeepAlives:   !reuse,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}}
}

// dialError wraps a failure to connect.
type dialError struct{ error }

func (e *dialError) Unwrap() error { return e.error }
