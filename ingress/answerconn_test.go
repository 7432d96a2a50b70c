package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// writeFirstConn is a connection on which reads wait until a write has failed, and a write that
// has failed returns only after a read has as well.
type writeFirstConn struct {
	net.Conn
	writeFailed, readFailed func()
	written, read           <-chan struct{} // closed when a write, or a read, has failed
}

func newWriteFirstConn(c net.Conn) *writeFirstConn {
	written, read := make(chan struct{}), make(chan struct{})
	return &writeFirstConn{
		Conn: c, written: written, read: read,
		writeFailed: sync.OnceFunc(func() { close(written) }), readFailed: sync.OnceFunc(func() { close(read) }),
	}
}

// Write implements net.Conn.
func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed()
		<-c.read
	}
	return n, err
}

// Read implements net.Conn.
func (c *writeFirstConn) Read(p []byte) (int, error) {
	<-c.written
	n, err := c.Conn.Read(p)
	if err != nil {
		c.readFailed()
	}
	return n, err
}

// dialWriteFirst opens connections that report what ends them to writes first.
func dialWriteFirst(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	limitSocketBuffers(conn)
	return newWriteFirstConn(conn), nil
}

// dialWriteFirst makes the entry host use such connections to an endpoint.
func (h *harness) dialWriteFirst(endpoint string) {
	h.server.cfg.DialEndpoint = func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == h.entries[endpoint].Address {
			return dialWriteFirst(ctx, network, address)
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
}

const (
	answerHead = "HTTP/1.1 200 OK\r\nId: id-1\r\nSigned: a\r\n"
	// longBodyBytes is more than the sockets between two processes hold.
	longBodyBytes = 2 << 20
)

// answerEarly sends text without reading the body of the request, and lets end close the
// connection.
func answerEarly(text string, end func(*net.TCPConn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, buf, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		tcp := conn.(*net.TCPConn)
		_ = tcp.SetReadBuffer(4 << 10)
		_, _ = buf.WriteString(text)
		_ = buf.Flush()
		end(tcp)
	}
}

// fillSockets waits until a long body has filled the buffers of the sockets.
func fillSockets() { time.Sleep(50 * time.Millisecond) }

// resetDuringUpload makes the end of a connection reset it once a body is being sent.
func resetDuringUpload(c *net.TCPConn) {
	fillSockets()
	_ = c.SetLinger(0)
}

// afterBody is a sound endpoint that reads the whole body first.
func afterBody(answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		answer(w, r)
	}
}

// TestAnswerResetDuringUpload guards against an answer without a length that is taken for
// complete although its connection was reset while the body of the request was being sent.
func TestAnswerResetDuringUpload(t *testing.T) {
	half := answerEarly(answerHead+"\r\nhalf", resetDuringUpload)
	halfFailure := answerEarly(strings.Replace(answerHead, "200", "500", 1)+"\r\nhalf", resetDuringUpload)
	halfStream := answerEarly(answerHead+"\r\n"+allEvents(2), resetDuringUpload)
	empty := answerEarly(answerHead+"\r\n", resetDuringUpload)
	sound, soundStream := afterBody(respond(200, "whole")), afterBody(events(4, nil))
	cases := map[string]struct {
		kind      tamarackknot.RouteKind
		resumable bool
		endpoints []http.HandlerFunc
		status    int
		body      string
		broken    bool
	}{
		"once":                 {once, false, []http.HandlerFunc{half, sound}, 502, "", false},
		"once, empty body":     {once, false, []http.HandlerFunc{empty, sound}, 502, "", false},
		"once, a failure":      {once, false, []http.HandlerFunc{halfFailure, sound}, 502, "", false},
		"repeatable":           {repeatable, false, []http.HandlerFunc{half, sound}, 200, "whole", false},
		"stream":               {stream, false, []http.HandlerFunc{halfStream, soundStream}, 200, allEvents(2), true},
		"stream without event": {stream, false, []http.HandlerFunc{empty, soundStream}, 502, "", false},
		"resumable stream":     {stream, true, []http.HandlerFunc{halfStream, soundStream}, 200, allEvents(4), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tamarackknot.Route{Kind: c.kind, Resumable: c.resumable, Attempts: 2}, c.endpoints...)
			h.view.Catalog.Limits.BodyBytes = longBodyBytes
			h.dialWriteFirst("a")
			resp, body, err := h.do(call{body: strings.Repeat("x", longBodyBytes)})
			require.NotNil(t, resp, "%v", err)
			require.Equal(t, c.status, resp.StatusCode, body)
			require.Equal(t, c.broken, err != nil)
			if c.status == http.StatusOK {
				require.Equal(t, c.body, body)
			}
		})
	}
}

// TestAnswerOfHostResetDuringUpload guards against the same with the answer of another host.
func TestAnswerOfHostResetDuringUpload(t *testing.T) {
	h := newHarness(t, tamarackknot.Route{Kind: once})
	h.view.Catalog.Limits.BodyBytes = longBodyBytes
	h.isolate(answerEarly(answerHead+"\r\nhalf", resetDuringUpload))
	h.server.hostTransport = newTransport(dialWriteFirst, false)
	_, _, err := h.do(call{body: strings.Repeat("x", longBodyBytes)})
	require.Error(t, err, "the answer must not look complete")
}

// TestAnswerEndedDuringUpload guards against an answer without a length that is given up
// although the endpoint ended it in order, without reading the rest of the body.
func TestAnswerEndedDuringUpload(t *testing.T) {
	for name, writeFirst := range map[string]bool{"the read ends first": false, "the write fails first": true} {
		for kind, body := range map[tamarackknot.RouteKind]string{once: "whole", stream: allEvents(3)} {
			t.Run(name+", "+string(kind), func(t *testing.T) {
				end := func(c *net.TCPConn) {
					_ = c.CloseWrite()
					if writeFirst {
						fillSockets()
						return
					}
					<-t.Context().Done()
				}
				h := newHarness(t, tamarackknot.Route{Kind: kind}, answerEarly(answerHead+"\r\n"+body, end))
				h.view.Catalog.Limits.BodyBytes = longBodyBytes
				if writeFirst {
					h.dialWriteFirst("a")
				}
				resp, got, err := h.do(call{body: strings.Repeat("x", longBodyBytes)})
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode, got)
				require.Equal(t, body, got)
			})
		}
	}
}
