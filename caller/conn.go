package caller

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout is short because another replica can take the request.
	dialTimeout = time.Second
	// idleConnections per endpoint; more are closed after use.
	idleConnections = 64
	idleTimeout     = 30 * time.Second
)

var errSealed = errors.New("connection is closed for writing")

// conn counts the bytes handed to the network, so that a request of which none
// was written is known not to have run.
type conn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts before it writes: a write that fails may have sent some bytes.
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

// seal makes all later writes fail and returns the bytes written before.
// net/http writes a request on a goroutine of its own, which may still be
// about to start when the call has failed.
func (c *conn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sending follows one request on its way to an endpoint.
type sending struct {
	deadline time.Time

	mu     sync.Mutex
	conn   *conn
	start  int64
	before bool // bytes were written on an earlier connection
	ended  bool
}

func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

// gotConn is called before net/http writes the request. A connection that
// comes after the deadline or after the call has ended is sealed.
func (s *sending) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		panic("caller: connection was not made by dial")
	}
	if s.conn != nil {
		s.before = s.before || s.conn.seal() > s.start
	}
	s.conn, s.start = c, c.count()
	if s.ended || !time.Now().Before(s.deadline) {
		c.seal()
	}
}

// end stops the request from being written any further and reports whether
// any byte of it was written. It is for failed calls, whose connection
// net/http does not use again.
func (s *sending) end() (written bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	return s.before || (s.conn != nil && s.conn.seal() > s.start)
}

// dialFunc makes a connection to an endpoint.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newTransport returns a transport that keeps connections for reuse, or one
// that makes a new connection for each request.
func newTransport(dial dialFunc, reuse bool) *http.Transport {
	return &http.Transport{
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
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

// dialError marks a failure to connect.
type dialError struct{ error }

func (e *dialError) Unwrap() error { return e.error }
