package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot/admission"
)

const (
	// socketBufferBytes is the size of each of the kernel's two buffers of a connection. By itself
	// the kernel keeps up to 4 to 6 MB of an answer that is not read, of a body that this host does
	// not read, and of what an endpoint sends meanwhile. Callers and endpoints are a few ms away, so
	// that it does not slow them.
	socketBufferBytes = 128 << 10
	// defaultAnswerTimeout is how long a caller may read nothing of an answer, by default. A
	// process that was suspended or lost its network for some seconds goes on.
	defaultAnswerTimeout = 10 * time.Second
	// writePieceBytes is how much of an answer must be read within that time.
	writePieceBytes = 16 << 10
	// headSlackBytes is how much of a head may arrive beyond the limit of its headers: the request
	// line and what follows the head in the same packet. defaultHeadBytes is the limit while the
	// configuration sets none.
	headSlackBytes   = 16 << 10
	defaultHeadBytes = 64 << 10
	// headCopies is how often the bytes of a head are in memory: as read and as parsed.
	headCopies = 2
	// maxEmptyBytes is the size of the empty lines that are skipped before a request; old clients
	// send one after a body.
	maxEmptyBytes = 64
	// rejectTimeout limits the write of an answer to a head that is not read.
	rejectTimeout = time.Second
)

// callerConn is a connection to a caller that records its phase and counts what arrives of heads
// against the memory of the host. The first read in the idle phase starts the head of a request.
type callerConn struct {
	net.Conn

	timeouts *ConnTimeouts
	account  *admission.Account // nil if nothing is limited

	mu        sync.Mutex
	phase     phase
	since     time.Time
	used      bool // a request was received
	ended     bool // the connection is about to be closed
	empty     int  // bytes of empty lines before the head
	headBytes int
	early     bool // a byte of the next request came before the answer to this one was complete
	pipelined int  // requests in a row that were sent before the answer to the one before
	stopped   bool // the connection makes room for others: its deadlines are over
	writeBy   time.Time
}

// limitSocketBuffers limits what the kernel keeps for a connection.
func limitSocketBuffers(conn net.Conn) {
	if c, ok := conn.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	}); ok {
		// Without it the connection works, and keeps more.
		_ = c.SetReadBuffer(socketBufferBytes)
		_ = c.SetWriteBuffer(socketBufferBytes)
	}
}

// Read implements net.Conn. It skips empty lines before a head, and answers a head that is too
// long.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, err //nolint:wrapcheck // net/http checks the type of the error
		}
		now := time.Now()
		c.account.Progress(n, now)
		n, verdict := c.received(p[:n], now)
		switch {
		case verdict == headEnded:
			return 0, net.ErrClosed
		case verdict == headMalformed:
			return c.reject(http.StatusBadRequest, reasonEmptyLines)
		case verdict == headTooLarge:
			return c.reject(http.StatusRequestHeaderFieldsTooLarge, reasonHead)
		case verdict == headPart && !c.account.Hold(admission.Heads, headCopies*n, now):
			return c.reject(http.StatusServiceUnavailable, admission.Heads.String())
		case n > 0 || err != nil:
			return n, err //nolint:wrapcheck // net/http checks the type of the error
		}
	}
}

// headVerdict is what becomes of bytes that have been read.
type headVerdict int

const (
	// headPassed: they belong to no head.
	headPassed headVerdict = iota
	headPart
	headEnded
	headMalformed
	headTooLarge
)

// received records what has been read, without empty lines before a head, which it removes.
func (c *callerConn) received(p []byte, now time.Time) (int, headVerdict) {
	limit := defaultHeadBytes
	if n := c.timeouts.cfg.Limits().HeaderBytes; n > 0 {
		limit = n + headSlackBytes
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, headEnded
	}
	if c.phase == phaseServing {
		// net/http reads the first byte after a request alone.
		c.early = c.early || len(p) == 1
		return len(p), headPassed
	}
	if c.phase == phaseIdle {
		c.phase, c.since = phaseHeaders, now
		c.account.Set(admission.ReadingHead, now)
	}
	if c.headBytes == 0 {
		rest := bytes.TrimLeft(p, "\r\n")
		c.empty += len(p) - len(rest)
		p = p[:copy(p, rest)]
	}
	c.headBytes += len(p)
	switch {
	case c.empty > maxEmptyBytes:
		return 0, headMalformed
	case c.headBytes > limit:
		return 0, headTooLarge
	}
	return len(p), headPart
}

// reject answers a head that is not read any further, and ends what net/http can read.
func (c *callerConn) reject(status int, reason string) (int, error) {
	c.timeouts.cfg.Shedding.Closed(reason)
	text := http.StatusText(status)
	_ = c.SetWriteDeadline(time.Now().Add(rejectTimeout))
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, text, len(text), text)
	if err == nil {
		c.linger()
	}
	return 0, io.EOF
}

// Write implements net.Conn. It fails once the caller has read nothing for the time that an answer
// may take, or at the deadline if that is earlier.
func (c *callerConn) Write(p []byte) (written int, err error) {
	before := c.account.Set(admission.Writing, time.Now())
	defer func() { c.account.Set(before, time.Now()) }()
	for len(p) > 0 && err == nil {
		c.limitWrite()
		var n int
		n, err = c.Conn.Write(p[:min(len(p), writePieceBytes)])
		c.account.Progress(n, time.Now())
		written, p = written+n, p[n:]
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.timeouts.cfg.Shedding.Closed(reasonAnswerTimeout)
	}
	return written, err //nolint:wrapcheck // net/http checks the type of the error
}

// limitWrite sets the deadline of the next write, unless an earlier one is set.
func (c *callerConn) limitWrite() {
	by := time.Now().Add(c.timeouts.cfg.AnswerTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped && (c.writeBy.IsZero() || by.Before(c.writeBy)) {
		_ = c.Conn.SetWriteDeadline(by)
	}
}

// SetWriteDeadline implements net.Conn.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBy = t
	if c.stopped {
		return nil
	}
	return c.Conn.SetWriteDeadline(t) //nolint:wrapcheck // of a connection
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return nil
	}
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // of a connection
}

// evict makes room for others: a connection without a request, or with one that has not begun, is
// closed, a request whose body is being read is refused, and an answer that is not read is cut off.
func (c *callerConn) evict(activity admission.Activity) {
	c.timeouts.cfg.Shedding.Closed(reasonEvicted)
	if activity == admission.Writing || activity == admission.ReadingHead || c.endIf(func(c *callerConn) bool { return c.phase != phaseServing }) {
		_ = c.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // the handler answers
}

// endIf marks the connection as ended if done is true.
func (c *callerConn) endIf(done func(*callerConn) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = c.ended || done(c)
	return c.ended
}

// startRequest records that a request has been received, and returns how many in a row were sent
// before the answer to the one before was complete.
func (c *callerConn) startRequest() int {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.early || c.phase == phaseIdle && c.used {
		c.pipelined++
	} else {
		c.pipelined = 0
	}
	c.phase, c.since, c.used, c.early = phaseServing, now, true, false
	c.account.Set(admission.Serving, now)
	return c.pipelined
}

// endRequest records that a request has been answered.
func (c *callerConn) endRequest() {
	now := time.Now()
	c.account.ReleaseAll(admission.Heads)
	c.account.Set(admission.Idle, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.empty, c.headBytes = phaseIdle, now, 0, 0
}

// expectsRequest reports whether a request is under way, or the first one may still come.
// c.mu is held.
func (c *callerConn) expectsRequest(now time.Time) bool {
	return c.phase != phaseIdle || !c.used && now.Sub(c.since) < newConnTime
}
