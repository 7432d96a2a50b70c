package ingress

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"tamarackknot.example/tamarackknot/admission"
	"tamarackknot.example/tamarackknot/internal/times"
)

const (
	// lingerTimeout and maxLingerBytes limit how much is read and dropped after an answer to a
	// request that was not read, and lingerQuiet how long nothing may arrive meanwhile. Closing a
	// connection with unread data resets it, and a caller that is still sending could lose the
	// answer.
	lingerTimeout  = 5 * time.Second
	lingerQuiet    = 500 * time.Millisecond
	maxLingerBytes = 8 << 20
	lingerBytes    = 4 << 10
	// overloadRetryDelay is the Retry-After of what is refused for lack of memory: most requests
	// end within it.
	overloadRetryDelay = time.Second
	overloadReason     = "this host has no memory left for the request"
)

// retryAfter returns the value of a Retry-After header, in seconds.
func retryAfter(d time.Duration) string {
	return strconv.FormatFloat(max(d.Seconds(), 0), 'f', 2, 64)
}

// answerUnread answers a request whose body is not read, and closes its connection after the
// caller had time to read the answer.
func answerUnread(w http.ResponseWriter, r *http.Request, status int, reason string) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Connection", "close")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, reason+"\n")
	Linger(w, r)
}

// Linger reads and drops, for a limited time, what still arrives after an answer that closes the
// connection. The answer has a Content-Length and is complete.
func Linger(w http.ResponseWriter, r *http.Request) {
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		conn.linger()
		// net/http keeps it for another half second.
		_ = conn.Close()
	}
}

// linger reads and drops what still arrives on a connection that is about to be closed.
func (c *callerConn) linger() {
	until := time.Now().Add(lingerTimeout)
	// It may be closed for others.
	c.account.Set(admission.ReadingHead, time.Now())
	buf := make([]byte, lingerBytes)
	for dropped := 0; dropped < maxLingerBytes; {
		if c.SetReadDeadline(times.Earlier(time.Now().Add(lingerQuiet), until)) != nil {
			return
		}
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		dropped += n
	}
}
