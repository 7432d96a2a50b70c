package caller

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// wireLog records the bytes on the connections of a session.
type wireLog struct {
	t   *testing.T
	h   *harness
	log bytes.Buffer
}

func (w *wireLog) record(who string, data []byte) {
	text := strings.ReplaceAll(string(data), "\r\n", "\n")
	for line := range strings.Lines(text) {
		fmt.Fprintf(&w.log, "%s %s\n", who, strings.TrimSuffix(line, "\n"))
	}
}

// endpoint adds an endpoint that answers requests with the given responses,
// unchanged and in order.
func (w *wireLog) endpoint(name, service string, responses ...string) {
	kill := w.h.addEndpoint(name, service, 4, http.NotFoundHandler())
	kill()
	l := w.h.net.listen(name + ":80")
	w.h.stops = append([]func(){func() { _ = l.Close() }}, w.h.stops...)
	texts := make(chan string, len(responses))
	for _, text := range responses {
		texts <- text
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for {
					var got bytes.Buffer
					in := bufio.NewReader(io.TeeReader(c, &got))
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					w.record("    endpoint <", got.Bytes())
					var text string
					select {
					case text = <-texts:
					default:
						return // no more responses
					}
					w.record("    endpoint >", []byte(text))
					_, _ = io.WriteString(c, text)
				}
			}()
		}
	}()
}

// call sends a request unchanged and records the response.
func (w *wireLog) call(host int, request string) {
	c, err := w.h.net.DialContext(context.Background(), "tcp", w.h.hosts[host].address)
	require.NoError(w.t, err)
	defer func() { _ = c.Close() }()
	w.log.WriteString("\n")
	request = strings.ReplaceAll(request, "\n", "\r\n")
	w.record("caller >", []byte(request))
	go func() { _, _ = io.WriteString(c, request) }()
	var got bytes.Buffer
	req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(request)))
	require.NoError(w.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(c, &got)), req)
	require.NoError(w.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	synctest.Wait()
	w.record("caller <", got.Bytes())
	if err != nil {
		fmt.Fprintf(&w.log, "caller: %v\n", err)
	}
}

func post(path, header, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\nHost: api\nContent-Length: %d\n%s\n%s", path, len(body), header, body)
}

func reply(status, header, body string) string {
	return strings.ReplaceAll(fmt.Sprintf("HTTP/1.1 %s\nContent-Length: %d\n%s\n", status, len(body), header), "\n", "\r\n") + body
}

func chunked(header, trailer string, chunks ...string) string {
	var s strings.Builder
	s.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + header + "\r\n")
	for _, c := range chunks {
		fmt.Fprintf(&s, "%x\r\n%s\r\n", len(c), c)
	}
	return s.String() + "0\r\n" + trailer + "\r\n"
}

// TestGolden guards against unintended changes of the bytes on the wire, between
// caller and entry host and between entry host and endpoint.
func TestGolden(t *testing.T) {
	const chat = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
	const key = "Idempotency-Key: k1\nRequest-Created: 2000-01-01T00:00:00Z\n"
	sessions := map[string]func(w *wireLog){
		"chat": func(w *wireLog) {
			w.endpoint("e1", "",
				reply("200 OK", "Content-Type: application/json\n", `{"choices":[]}`),
				chunked("Content-Type: text/event-stream\r\n", "", "data: {\"n\":1}\n\n", "data: [DO", "NE]\n\n"),
				chunked("Content-Type: text/event-stream\r\n", "", "data: {\"n\":1}\n\n", "data: {\"n\""),
				reply("400 Bad Request", "Content-Type: application/json\n", `{"error":{}}`))
			w.h.loadModel("e1")
			w.call(0, "GET /v1/models HTTP/1.1\nHost: api\n\n")
			w.call(0, "GET /v1/entryhosts?failureDomain=fd-1 HTTP/1.1\nHost: api\n\n")
			w.call(0, post("/v1/chat/completions", "Authorization: Bearer x\nRequest-Priority: 7\n", chat))
			w.call(0, post("/v1/chat/completions", "Request-Deadline: 2000-01-01T00:00:10+00:00\n", chat))
			w.call(0, post("/v1/chat/completions", "Request-Repeatable: false\n", chat))
		},
		"service": func(w *wireLog) {
			w.endpoint("app", "book",
				reply("201 Created", "Location: /b/7\nConnection: keep-alive, X-Hop\nX-Hop: 1\nKeep-Alive: timeout=5\n", "booked"),
				chunked("Trailer: Checksum\r\n", "Checksum: 42\r\n", "first ", "second"),
				"HTTP/1.1 204 No Content\r\n\r\n",
				"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
				reply("503 Service Unavailable", "Leaving: true\nRun: notRun\n", "leaving"))
			w.h.addService("book", http.MethodGet, http.MethodHead, http.MethodDelete)
			w.h.waitForHosts()
			w.call(0, post("/services/book/a%2Fb/c?x=1&y=%20", "Connection: X-Mine\nX-Mine: 1\nTe: trailers\nX-Other: 2\n"+key, "body"))
			w.call(1, post("/services/book/a%2Fb/c?x=1&y=%20", key, "body"))
			w.call(0, post("/services/book/a%2Fb/c?x=1&y=%20", key, "body"))
			w.call(0, post("/services/book/a%2Fb/c?x=1&y=%20", key, "other"))
			w.call(0, "GET /services/book/list HTTP/1.1\nHost: api\n\n")
			w.call(0, "DELETE /services/book/7 HTTP/1.1\nHost: api\n\n")
			w.call(0, "HEAD /services/book/7 HTTP/1.1\nHost: api\n\n")
			w.call(0, post("/services/book/d", "", "body"))
		},
		"errors": func(w *wireLog) {
			w.h.addModel("m")
			w.h.addService("book")
			w.call(0, post("/v1/completions", "Request-Priority: 12\n", chat))
			w.call(0, post("/v1/completions", "", `{"model":"other"}`))
			w.call(0, "GET /v1/completions HTTP/1.1\nHost: api\n\n")
			w.call(0, "POST /v1/completions HTTP/1.1\nHost: api\nContent-Length: 1048577\n\n")
			w.h.placement.SetForecast(tamarackknot.Forecast{ReadyAt: time.Now().Add(45 * time.Second)})
			w.call(0, post("/v1/completions", "", chat))
			w.h.placement.SetForecast(tamarackknot.Forecast{
				Refused: true, Reason: `the limit of 2 replicas of "m" is reached`, RetryAt: time.Now().Add(5 * time.Second),
			})
			w.call(0, post("/v1/completions", "", chat))
			w.h.hosts[0].journal.SetFault(tamarackknot.ErrNotAppended, false)
			w.endpoint("app", "book")
			w.h.waitForHosts()
			w.call(0, post("/services/book/a", key, "body"))
			w.h.hosts[0].state = GateStale
			w.call(0, post("/v1/completions", "", chat))
		},
	}
	for name, session := range sessions {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, func(h *harness) {
				t := h.t
				w := &wireLog{t: t, h: h}
				session(w)
				goldie.New(t).Assert(t, name, w.log.Bytes())
			})
		})
	}
}
