package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/admission"
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
	// acceptPause is the pause before the next try to accept a connection without a free
	// descriptor.
	acceptPause = 50 * time.Millisecond
	// pipelinedRequests is the number of requests under way that callers sent before they had
	// the answers to several earlier ones on the connection. Further ones wait for up to
	// pipelinedTimeout, so that a few connections do not take all slots. No client library in
	// use sends requests so.
	pipelinedRequests = 8
	pipelinedTimeout  = 5 * time.Second
	// fewPipelined is the number of requests in a row that may be sent so: the first bytes of a
	// request that follows an answer at once can look like it.
	fewPipelined = 2
)

// ConnConfig configures a ConnTimeouts.
type ConnConfig struct {
	// Limits returns the limits of the active configuration, zero before the first one.
	Limits func() tamarackknot.CallerLimits
	// Group counts what the connections hold. Nil means that nothing is limited.
	Group *admission.Group
	// AnswerTimeout is how long a caller may read nothing of an answer; 0 means 10 s.
	AnswerTimeout time.Duration
	// Shedding records what is refused and closed; it may be nil.
	Shedding *Shedding
	// Refuse answers a request for which there is no memory; nil means plain text. It must not
	// read the body.
	Refuse func(w http.ResponseWriter, reason string)
}

// ConnTimeouts closes callers' connections that stay idle, or take to send a
// request's headers, longer than the active configuration allows, and drains them
// when the server stops. The timeouts of a net/http server can't be changed once
// it has started.
//
// It also bounds what they hold: heads, unread answers and requests are counted against the
// memory of the host, and a connection that must make room for others is closed.
type ConnTimeouts struct {
	cfg       ConnConfig
	listener  net.Listener
	ended     chan struct{} // closed when the listener accepts no more connections
	end       sync.Once
	pipelined chan struct{} // the pipelined requests under way

	mu    sync.Mutex
	conns map[*callerConn]bool
}

// NewConnTimeouts returns a ConnTimeouts that reads its limits with each sweep.
func NewConnTimeouts(cfg ConnConfig) *ConnTimeouts {
	if cfg.AnswerTimeout <= 0 {
		cfg.AnswerTimeout = defaultAnswerTimeout
	}
	return &ConnTimeouts{
		cfg: cfg, ended: make(chan struct{}), pipelined: make(chan struct{}, pipelinedRequests), conns: make(map[*callerConn]bool),
	}
}

// Watch installs hooks in s that track its connections and returns the listener
// that s must serve. Call it before s starts.
func (c *ConnTimeouts) Watch(s *http.Server, l net.Listener) net.Listener {
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*callerConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if conn.startRequest() > fewPipelined {
			if !c.acquirePipelined(r.Context(), conn) {
				c.refuse(w, r, reasonPipelined)
				return
			}
			defer func() { <-c.pipelined }()
		}
		// After the handler net/http reads the rest of the body, for which others need not wait.
		defer func() { conn.account.Set(admission.ReadingBody, time.Now()) }()
		if !conn.account.Hold(admission.Requests, admission.RequestBytes, time.Now()) {
			c.refuse(w, r, admission.Requests.String())
			return
		}
		defer conn.account.Release(admission.Requests, admission.RequestBytes)
		next.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if cc, ok := conn.(*callerConn); ok {
			ctx = admission.NewContext(ctx, cc.account)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.ConnState = c.connStateChanged
	c.listener = newBacklogListener(l)
	return &callerListener{Listener: c.listener, timeouts: c}
}

// acquirePipelined waits for the turn of a pipelined request. Meanwhile the connection may be
// closed for others.
func (c *ConnTimeouts) acquirePipelined(ctx context.Context, conn *callerConn) bool {
	conn.account.Set(admission.ReadingHead, time.Now())
	defer func() { conn.account.Set(admission.Serving, time.Now()) }()
	ctx, cancel := context.WithTimeout(ctx, pipelinedTimeout)
	defer cancel()
	select {
	case c.pipelined <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// refuse answers a request that has not been read and does not run.
func (c *ConnTimeouts) refuse(w http.ResponseWriter, r *http.Request, reason string) {
	c.cfg.Shedding.Refused(reason)
	if c.cfg.Refuse != nil {
		w.Header().Set("Connection", "close")
		c.cfg.Refuse(w, reason)
		Linger(w, r)
		return
	}
	w.Header().Set("Retry-After", retryAfter(overloadRetryDelay))
	answerUnread(w, r, http.StatusServiceUnavailable, overloadReason)
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
		cc.endRequest()
	case http.StateClosed, http.StateHijacked:
		cc.account.Close()
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
	limits := c.cfg.Limits()
	headers, idle := limits.HeaderTimeout, limits.IdleTimeout
	if headers <= 0 {
		headers = defaultHeaderTimeout
	}
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	c.closeIf(func(conn *callerConn) bool {
		waited := now.Sub(conn.since)
		late := conn.phase == phaseHeaders && waited > headers
		if late {
			c.cfg.Shedding.Closed(reasonHeadTimeout)
		}
		return conn.phase == phaseIdle && waited > idle || late
	})
}

type callerListener struct {
	net.Listener

	timeouts *ConnTimeouts
}

// Accept implements net.Listener. Without a free descriptor it closes the connection that
// deserves its own least, and waits. It closes a new connection for which there is no room.
func (l *callerListener) Accept() (net.Conn, error) {
	cfg := &l.timeouts.cfg
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed):
			l.timeouts.end.Do(func() { close(l.timeouts.ended) })
			return nil, err //nolint:wrapcheck // net/http checks the type of the error
		case errors.IsAny(err, syscall.EMFILE, syscall.ENFILE):
			cfg.Shedding.Closed(reasonDescriptors)
			if cfg.Group != nil {
				cfg.Group.EvictIdlest(time.Now())
			}
			time.Sleep(acceptPause)
			continue
		default:
			return nil, err //nolint:wrapcheck // net/http checks the type of the error
		}
		limitSocketBuffers(conn)
		cc := &callerConn{Conn: conn, timeouts: l.timeouts, since: time.Now()}
		if cfg.Group == nil {
			return cc, nil
		}
		var ok bool
		if cc.account, ok = cfg.Group.Open(cc.since, cc.evict); ok {
			return cc, nil
		}
		cfg.Shedding.Closed(admission.Connections.String())
		_ = conn.Close()
	}
}

type phase int

const (
	phaseIdle phase = iota
	phaseHeaders
	phaseServing
)

type connKey struct{}
