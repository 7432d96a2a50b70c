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

// maxUnansweredCalls is the number of consecutive calls without an answer after
// which a connection counts as hung. jsonrpc2 keeps each such call in memory
// until the connection closes.
const maxUnansweredCalls = 16

// message is a call or notification in a link's queue.
type message struct {
	ctx      context.Context
	method   string
	params   json.RawMessage
	deadline time.Time       // zero means none
	result   chan sendResult // nil for a notification
}

type sendResult struct {
	link   *link
	waiter jsonrpc2.Waiter
	err    error
}

// expired reports whether the message no longer needs to be sent. The sender of
// a notification may cancel its context once the message is queued, so only the
// deadline counts for notifications.
func (msg message) expired() bool {
	if msg.result != nil && msg.ctx.Err() != nil {
		return true
	}
	return !msg.deadline.IsZero() && !time.Now().Before(msg.deadline)
}

func (msg message) fail(err error) {
	if msg.result != nil {
		msg.result <- sendResult{err: err}
	}
}

// link is the dialled connection to one peer with its queue. Only run uses
// conn, retryAt and lastErr.
type link struct {
	mesh       *Mesh
	host       string
	queue      chan message
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
	return &link{mesh: m, host: host, queue: make(chan message, m.cfg.QueueLength), backoff: b}
}

// recordCallResult counts the consecutive calls without an answer.
func (l *link) recordCallResult(err error) {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		l.unanswered.Add(1)
		return
	}
	l.unanswered.Store(0)
}

// run sends the queued messages and returns when the link is idle.
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
		case msg := <-l.queue:
			l.send(msg)
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

// remove deletes the link from the mesh and reports true, unless a message was
// queued meanwhile.
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
		case msg := <-l.queue:
			msg.fail(err)
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

func (l *link) send(msg message) {
	if msg.expired() {
		msg.fail(errors.Wrapf(context.DeadlineExceeded, "send %s to host %s", msg.method, l.host))
		return
	}
	if l.unanswered.Load() >= maxUnansweredCalls {
		l.mesh.cfg.Logger.Warn("peer does not answer, reconnecting", "host", l.host)
		l.unanswered.Store(0)
		l.disconnect()
	}
	if err := l.connect(); err != nil {
		msg.fail(err)
		return
	}
	if msg.result == nil {
		if err := l.conn.Notify(l.mesh.ctx, msg.method, msg.params); err != nil {
			l.handleWriteError(err)
		}
		return
	}
	var opts []jsonrpc2.CallOption
	if !msg.deadline.IsZero() {
		remaining := max(time.Until(msg.deadline), time.Millisecond)
		opts = append(opts, jsonrpc2.Meta(callMeta{TimeoutMS: remaining.Milliseconds()}))
	}
	waiter, err := l.conn.DispatchCall(l.mesh.ctx, msg.method, msg.params, opts...)
	if err != nil {
		l.handleWriteError(err)
		msg.fail(errors.WithStack(fmt.Errorf("send %s to host %s: %w: %w", msg.method, l.host, ErrClosed, err)))
		return
	}
	msg.result <- sendResult{link: l, waiter: waiter}
}

// handleWriteError closes the connection, except after a message over the size
// limit, of which nothing was written.
func (l *link) handleWriteError(err error) {
	if !errors.Is(err, ErrTooLarge) {
		l.disconnect()
	}
}

// connect opens the connection if there is none. During backoff it fails
// immediately, so that callers can try other peers.
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
		// The standard library's errors.Is must find both errors; it does not
		// recognise errors.Mark.
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
	s.host.Store(&l.host)
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
	if cfg.OnConnect != nil {
		cfg.OnConnect(tamarackknot.Process{Host: out.Host, Incarnation: out.Incarnation})
	}
	return nil
}

// rejectAll closes a dialled connection on which the other side sends a
// request. Each side sends its requests only on the connection that it dialled.
type rejectAll struct{}

func (rejectAll) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	_ = conn.Close()
}
