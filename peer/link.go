package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"tamarackknot.example/tamarackknot"
)

// maxUnanswered is the number of calls in a row that end without an answer
// before a connection counts as hung. jsonrpc2 keeps each such call until the
// connection closes.
const maxUnanswered = 16

// item is one message in a link's queue.
type item struct {
	ctx      context.Context
	method   string
	params   json.RawMessage
	deadline time.Time       // zero: none
	sent     chan sendResult // nil for a notification
}

type sendResult struct {
	link   *link
	waiter jsonrpc2.Waiter
	err    error
}

// expired reports whether nobody wants the message any more. The sender of a
// notification may end its context once the message is queued, so only the
// deadline counts there.
func (it item) expired() bool {
	if it.sent != nil && it.ctx.Err() != nil {
		return true
	}
	return !it.deadline.IsZero() && !time.Now().Before(it.deadline)
}

func (it item) fail(err error) {
	if it.sent != nil {
		it.sent <- sendResult{err: err}
	}
}

// link is the dialled connection to one peer with its queue. Only its run
// goroutine touches conn, retryAt and lastErr.
type link struct {
	mesh       *Mesh
	host       string
	queue      chan item
	conn       *jsonrpc2.Conn
	backoff    *backoff.ExponentialBackOff
	retryAt    time.Time
	lastErr    error
	unanswered atomic.Int32
}

func newLink(m *Mesh, host string) *link {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = maxBackoff
	b.Multiplier = 2
	return &link{mesh: m, host: host, queue: make(chan item, m.cfg.QueueLength), backoff: b}
}

// answered notes how a call ended.
func (l *link) answered(err error) {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		l.unanswered.Add(1)
		return
	}
	l.unanswered.Store(0)
}

// run sends the queued messages and ends when the link is idle.
func (l *link) run() {
	defer l.mesh.running.Done()
	defer l.disconnect()
	idle := time.NewTimer(l.mesh.cfg.IdleTimeout)
	defer idle.Stop()
	for {
		var disconnected <-chan struct{}
		if l.conn != nil {
			disconnected = l.conn.DisconnectNotify()
		}
		select {
		case it := <-l.queue:
			l.send(it)
			idle.Reset(l.mesh.cfg.IdleTimeout)
		case <-disconnected:
			l.disconnect()
		case <-idle.C:
			if l.remove() {
				return
			}
			idle.Reset(l.mesh.cfg.IdleTimeout)
		case <-l.mesh.ctx.Done():
			l.remove()
			l.failQueued(ErrClosed)
			return
		}
	}
}

// remove takes the link out of the mesh unless a message was queued meanwhile.
func (l *link) remove() bool {
	l.mesh.mu.Lock()
	defer l.mesh.mu.Unlock()
	if len(l.queue) > 0 && !l.mesh.closed {
		return false
	}
	delete(l.mesh.links, l.host)
	return true
}

func (l *link) failQueued(err error) {
	for {
		select {
		case it := <-l.queue:
			it.fail(err)
		default:
			return
		}
	}
}

func (l *link) disconnect() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

func (l *link) send(it item) {
	if it.expired() {
		it.fail(errors.Wrapf(context.DeadlineExceeded, "send %s to host %s", it.method, l.host))
		return
	}
	if l.unanswered.Load() >= maxUnanswered {
		l.mesh.cfg.Logger.Warn("peer does not answer, reconnecting", "host", l.host)
		l.unanswered.Store(0)
		l.disconnect()
	}
	if err := l.connect(); err != nil {
		it.fail(err)
		return
	}
	if it.sent == nil {
		if err := l.conn.Notify(l.mesh.ctx, it.method, it.params); err != nil {
			l.failed(err)
		}
		return
	}
	var opts []jsonrpc2.CallOption
	if !it.deadline.IsZero() {
		left := max(time.Until(it.deadline), time.Millisecond)
		opts = append(opts, jsonrpc2.Meta(callMeta{TimeoutMS: left.Milliseconds()}))
	}
	waiter, err := l.conn.DispatchCall(l.mesh.ctx, it.method, it.params, opts...)
	if err != nil {
		l.failed(err)
		it.fail(errors.WithStack(fmt.Errorf("send %s to host %s: %w: %w", it.method, l.host, ErrClosed, err)))
		return
	}
	it.sent <- sendResult{link: l, waiter: waiter}
}

// failed handles a failed write; a message over the size limit leaves the
// connection intact.
func (l *link) failed(err error) {
	if !errors.Is(err, ErrTooLarge) {
		l.disconnect()
	}
}

// connect opens the connection if there is none. During backoff it fails at
// once, so that callers can turn to other peers.
func (l *link) connect() error {
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
			l.disconnect()
		default:
			return nil
		}
	}
	if time.Now().Before(l.retryAt) {
		return l.lastErr
	}
	err := l.open()
	if err != nil {
		// Both errors must be found by the standard library's errors.Is, which
		// does not see errors.Mark.
		l.lastErr = errors.WithStack(fmt.Errorf("connect to host %s: %w: %w", l.host, ErrUnreachable, err))
		l.retryAt = time.Now().Add(l.backoff.NextBackOff())
		l.failQueued(l.lastErr)
		return l.lastErr
	}
	l.backoff.Reset()
	return nil
}

func (l *link) open() error {
	cfg := l.mesh.cfg
	address, ok := cfg.Resolve(l.host)
	if !ok {
		return ErrUnknownHost
	}
	ctx, cancel := context.WithTimeout(l.mesh.ctx, cfg.DialTimeout)
	defer cancel()
	c, err := cfg.Dial(ctx, address)
	if err != nil {
		return errors.Wrapf(err, "dial %s", address)
	}
	s := newStream(c, cfg, l.mesh.counters)
	conn := jsonrpc2.NewConn(l.mesh.ctx, s, rejectAll{}, jsonrpc2.OnSend(s.onSend), jsonrpc2.OnRecv(s.onRecv), jsonrpc2.SetLogger(connLogger{cfg.Logger}))
	var out hello
	err = conn.Call(ctx, methodHello, hello{Host: cfg.Host, Incarnation: cfg.Incarnation, To: l.host}, &out)
	var rpcErr *jsonrpc2.Error
	switch {
	case errors.As(err, &rpcErr) && rpcErr.Code == codeWrongHost:
		err = errors.Wrapf(ErrWrongHost, "%s: %s", address, rpcErr.Message)
	case err == nil && out.Host != l.host:
		err = errors.Wrapf(ErrWrongHost, "%s: answer of host %q", address, out.Host)
	}
	if err != nil {
		_ = conn.Close()
		return errors.Wrap(err, "exchange hello")
	}
	l.conn = conn
	if cfg.Opened != nil {
		cfg.Opened(tamarackknot.Process{Host: out.Host, Incarnation: out.Incarnation})
	}
	return nil
}

// rejectAll closes a dialled connection on which the other side sends
// requests: each side sends its requests on the connection it dialled.
type rejectAll struct{}

func (rejectAll) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	_ = conn.Close()
}
