package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply while the configuration
	// sets no limits.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// sweepInterval is how often connections are checked. A connection may
	// exceed its limit by up to this long.
	sweepInterval = 500 * time.Millisecond
	// drainCheckInterval is the pause between two checks whether connections have drained.
	// newConnTime is how long a drained server waits for the first request of a connection.
	drainCheckInterval = 10 * time.Millisecond
	newConnTime        = time.Second
)

// ConnTimeouts closes callers' connections that stay idle, or take to send a
// request's headers, longer than the active configuration allows, and drains them
// when the server stops. The timeouts of a net/http server can't be changed once
// it has started.
type ConnTimeouts struct {
	limits   func() tamarackknot.CallerLimits
	listener net.Listener
	ended    chan struct{} // closed when the listener accepts no more connections
	end      sync.Once

	mu    sync.Mutex
	conns map[*callerConn]bool
}

// NewConnTimeouts returns a ConnTimeouts that reads its limits with each sweep.
func NewConnTimeouts(limits func() tamarackknot.CallerLimits) *ConnTimeouts {
	return &ConnTimeouts{limits: limits, ended: make(chan struct{}), conns: make(map[*callerConn]bool)}
}

// Watch installs hooks in s that track its connections and returns the listener
// that s must serve. Call it before s starts.
func (c *ConnTimeouts) Watch(s *http.Server, l net.Listener) net.Listener {
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			conn.setPhase(phaseServing)
		}
		next.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.ConnState = c.connStateChanged
	c.listener = newBacklogListener(l)
	return &callerListener{Listener: c.listener, timeouts: c}
}

// Drain stops accepting connections and waits until the requests on all of them have been
// answered, or ctx ends, whose error it then returns. Responses must close their connections.
// Unlike Shutdown of a net/http server it answers requests that arrive meanwhile on
// connections which the kernel had established.
func (c *ConnTimeouts) Drain(ctx context.Context) error {
	if err := c.listener.Close(); err != nil {
		return errors.Wrap(err, "close the listener")
	}
	select {
	case <-c.ended:
	case <-ctx.Done():
		return ctx.Err() //nolint:wrapcheck // of the caller
	}
	return c.WaitAnswered(ctx)
}

// WaitAnswered closes connections without a request and waits until there are no others, or
// ctx ends, whose error it then returns.
func (c *ConnTimeouts) WaitAnswered(ctx context.Context) error {
	for c.closeIf(func(conn *callerConn) bool { return !conn.expectsRequest(time.Now()) }) > 0 {
		if !wait.For(ctx, drainCheckInterval) {
			return ctx.Err() //nolint:wrapcheck // of the caller
		}
	}
	return nil
}

// closeIf closes the connections for which done is true, and returns the number of all
// others. done is called with the lock of the connection held. What arrives after that is
// not read: a request must not run whose answer can't be sent.
func (c *ConnTimeouts) closeIf(done func(*callerConn) bool) (others int) {
	var closing []net.Conn
	c.mu.Lock()
	for conn := range c.conns {
		if conn.endIf(done) {
			closing = append(closing, conn)
		} else {
			others++
		}
	}
	c.mu.Unlock()
	for _, conn := range closing {
		_ = conn.Close() // net/http then reports StateClosed
	}
	return others
}

func (c *ConnTimeouts) connStateChanged(conn net.Conn, state http.ConnState) {
	cc, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		c.mu.Lock()
		c.conns[cc] = true
		c.mu.Unlock()
	case http.StateIdle:
		cc.setPhase(phaseIdle)
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		delete(c.conns, cc)
		c.mu.Unlock()
	case http.StateActive: // net/http reports it only after the headers
	}
}

// Run closes connections that exceed their limits until ctx ends.
func (c *ConnTimeouts) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			c.sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

func (c *ConnTimeouts) sweep(now time.Time) {
	limits := c.limits()
	headers, idle := limits.HeaderTimeout, limits.IdleTimeout
	if headers <= 0 {
		headers = defaultHeaderTimeout
	}
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	c.closeIf(func(conn *callerConn) bool {
		waited := now.Sub(conn.since)
		return conn.phase == phaseIdle && waited > idle || conn.phase == phaseHeaders && waited > headers
	})
}

type callerListener struct {
	net.Listener

	timeouts *ConnTimeouts
}

func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		l.timeouts.end.Do(func() { close(l.timeouts.ended) })
	}
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http checks the type of the error
	}
	return &callerConn{Conn: conn, since: time.Now()}, nil
}

// callerConn is a connection to a caller that records its phase. The first read
// in the idle phase starts the headers of a request.
type callerConn struct {
	net.Conn

	mu    sync.Mutex
	phase phase
	since time.Time
	used  bool // a request was received
	ended bool // the connection is about to be closed
}

type phase int

const (
	phaseIdle phase = iota
	phaseHeaders
	phaseServing
)

type connKey struct{}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.ended {
			return 0, net.ErrClosed
		}
		if c.phase == phaseIdle {
			c.phase, c.since = phaseHeaders, time.Now()
		}
	}
	return n, err //nolint:wrapcheck // net/http checks the type of the error
}

// endIf marks the connection as ended if done is true.
func (c *callerConn) endIf(done func(*callerConn) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = c.ended || done(c)
	return c.ended
}

func (c *callerConn) setPhase(p phase) {
	now := time.Now()
	c.mu.Lock()
	c.phase, c.since, c.used = p, now, true
	c.mu.Unlock()
}

// expectsRequest reports whether a request is under way, or the first one may still come.
// c.mu is held.
func (c *callerConn) expectsRequest(now time.Time) bool {
	return c.phase != phaseIdle || !c.used && now.Sub(c.since) < newConnTime
}
