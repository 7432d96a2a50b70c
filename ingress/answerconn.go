package ingress

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// answerConn is a connection on which an answer may arrive before its request is sent
// completely. The kernel reports a reset only once: if a write gets the error, the next read
// finds the end of the data, which may be that of an answer. answerConn returns the error
// there too.
type answerConn struct {
	net.Conn
	writing  chan struct{} // holds a value during a write, and while writeErr is used
	writeErr error         // of the first write that failed
}

func newAnswerConn(conn net.Conn) *answerConn {
	return &answerConn{Conn: conn, writing: make(chan struct{}, 1)}
}

// Write implements net.Conn.
func (c *answerConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err //nolint:wrapcheck // net/http checks the type of the error
}

// Read implements net.Conn.
func (c *answerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil || !errors.Is(err, io.EOF) {
		return n, err //nolint:wrapcheck // net/http checks the type of the error
	}
	// Ends a write under way, which may have got the error already or wait for an endpoint
	// that reads no more. Nothing is sent on the connection after this.
	_ = c.SetWriteDeadline(time.Now())
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if connectionFailed(c.writeErr) {
		return n, c.writeErr
	}
	return n, err //nolint:wrapcheck // net/http checks the type of the error
}

// connectionFailed reports whether a write failed because the connection did. EPIPE does not
// say so: an endpoint that has ended its side in order may reset what is still sent to it.
func connectionFailed(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
