package ingress

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// backlogTime is how long a closing listener accepts connections. The kernel has established
// those in its queue, so that callers may have sent requests on them; it resets what is left.
const backlogTime = 100 * time.Millisecond

// deadlineListener is a listener whose calls of Accept can end at a time.
type deadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// backlogListener accepts the connections that the kernel has queued before it closes.
type backlogListener struct {
	deadlineListener
	closing atomic.Bool
}

// newBacklogListener returns a listener like l that, when it is closed, first accepts the
// connections that the kernel has queued. Accept must be called until it fails.
func newBacklogListener(l net.Listener) net.Listener {
	d, ok := l.(deadlineListener)
	if !ok {
		return l
	}
	return &backlogListener{deadlineListener: d}
}

// Accept implements net.Listener. It returns net.ErrClosed once the queue of a closed listener
// is empty.
func (l *backlogListener) Accept() (net.Conn, error) {
	conn, err := l.deadlineListener.Accept()
	if err != nil && l.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errors.CombineErrors(net.ErrClosed, l.deadlineListener.Close())
	}
	return conn, err //nolint:wrapcheck // net/http checks the type of the error
}

// Close implements net.Listener. It returns at once; Accept closes the socket.
func (l *backlogListener) Close() error {
	if !l.closing.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	return errors.Wrap(l.SetDeadline(time.Now().Add(backlogTime)), "end accepting connections")
}
