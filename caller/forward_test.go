package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/answertest"
	"tamarackknot.example/tamarackknot/internal/timedread"
)

const (
	completionBody  = `{"model":"m","prompt":"x"}`
	completionsPath = "/v1/completions"
)

// countRequests wraps a handler and counts its requests in n.
func countRequests(n *atomic.Int64, h http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		h.ServeHTTP(w, r)
	}
}

func (a response) runStatus(t *testing.T) RunStatus {
	t.Helper()
	var e errorBody
	require.NoError(t, json.Unmarshal([]byte(a.body), &e), "%d %s %v", a.status, a.body, a.err)
	return e.Error.Run
}

// loadModel adds model m and loads it on the engines.
func (h *harness) loadModel(engines ...string) {
	h.addModel("m")
	for _, e := range engines {
		h.store.SetReplica("m", e, tamarackknot.ReplicaLoaded)
	}
	h.waitForHosts()
}

// TestTransportDoesNotRetry guards against retries by net/http. It retries
// idempotent methods, and any request with the header Idempotency-Key, when a
// reused connection breaks.
func TestTransportDoesNotRetry(t *testing.T) {
	created := []string{headerKey, "k", headerCreated}
	tests := map[string]struct {
		method string
		header []string
		keyed  bool
		runs   int64
	}{
		"POST":                {method: http.MethodPost, runs: 1},
		"POST with key":       {method: http.MethodPost, keyed: true, runs: 1},
		"GET not repeatable":  {method: http.MethodGet, header: []string{headerRepeatable, "false"}, runs: 1},
		"GET repeatable":      {method: http.MethodGet, runs: maxAttempts},
		"POST repeatable key": {method: http.MethodPost, keyed: true, header: []string{headerRepeatable, "true"}, runs: maxAttempts},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, func(h *harness) {
				t := h.t
				var runs atomic.Int64
				var broken, keepAlive atomic.Bool
				h.addService("book", http.MethodGet)
				h.addEndpoint("app", "book", 100, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if broken.Load() {
						runs.Add(1)
						keepAlive.Store(!r.Close)
						answertest.Handler("").ServeHTTP(w, r)
						return
					}
					echo(w, r)
				}))
				h.waitForHosts()
				// Creates idle connections for reuse.
				for range 5 {
					go h.do(0, http.MethodGet, "/services/book/a", "")
				}
				synctest.Wait()
				broken.Store(true)
				header := tt.header
				if tt.keyed {
					header = append(append(header, created...), time.Now().Format(time.RFC3339))
				}
				a := h.do(0, tt.method, "/services/book/a", "", header...)
				require.Equal(t, http.StatusBadGateway, a.status, a.body)
				require.Equal(t, RunUnknown, a.runStatus(t))
				require.Equal(t, tt.runs, runs.Load())
				require.Equal(t, tt.runs > 1, keepAlive.Load(), "only repeatable requests may reuse connections")
			})
		})
	}
}

// TestRunStatus guards against error responses with run status notRun for a
// request that may have run, or unknown for one that cannot have run.
func TestRunStatus(t *testing.T) {
	tests := map[string]struct {
		endpoint   http.Handler
		noAccept   bool
		refuse     bool
		header     []string
		status     int
		run        RunStatus
		requests   int64
		maxResends int64 // when a request is declined
		elapsed    time.Duration
		retryAfter bool
	}{
		"refused":          {refuse: true, status: 503, run: NotRun, retryAfter: true},
		"connect hangs":    {noAccept: true, status: 503, run: NotRun, retryAfter: true, elapsed: 30 * time.Second},
		"cut before reply": {endpoint: answertest.Handler(""), status: 502, run: RunUnknown, requests: 1},
		"declined": {
			endpoint: answertest.Handler("HTTP/1.1 503 X\r\nRun: notRun\r\nContent-Length: 0\r\n\r\n"),
			// It is queued again until its deadline, with at most 5 sends per second.
			status: 504, run: NotRun, requests: 1, maxResends: 7 + 5*30, retryAfter: true,
		},
		"truncated": {
			endpoint: answertest.Handler("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"), status: 502, run: RunUnknown, requests: 1,
		},
		"truncated chunks": {
			endpoint: answertest.Handler("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
			status:   502, run: RunUnknown, requests: 1,
		},
		"end of response not marked": {
			endpoint: answertest.Handler("HTTP/1.1 200 OK\r\n\r\nabc"), status: 502, run: RunUnknown, requests: 1,
		},
		"hangs": {
			endpoint: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			}),
			status: 504, run: RunUnknown, requests: 1, elapsed: defaultTimeout,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, func(h *harness) {
				t := h.t
				var requests atomic.Int64
				h.addService("book")
				if tt.endpoint == nil {
					tt.endpoint = http.NotFoundHandler()
				}
				kill := h.addEndpoint("app", "book", 1, countRequests(&requests, tt.endpoint))
				if tt.refuse || tt.noAccept {
					kill()
				}
				if tt.noAccept {
					l := h.net.listen("app:80")
					defer func() { _ = l.Close() }()
				}
				h.waitForHosts()
				start := time.Now()
				deadline := start.Add(defaultTimeout).Format(time.RFC3339Nano)
				a := h.do(0, http.MethodPost, "/services/book/a", "x", headerDeadline, deadline)
				require.GreaterOrEqual(t, requests.Load(), tt.requests)
				require.LessOrEqual(t, requests.Load(), tt.requests+tt.maxResends)
				require.LessOrEqual(t, time.Since(start), defaultTimeout)
				require.Equal(t, tt.run, a.runStatus(t), a.body)
				if tt.elapsed > 0 {
					require.LessOrEqual(t, time.Since(start), tt.elapsed)
					return
				}
				require.Equal(t, tt.status, a.status, a.body)
				require.Equal(t, tt.retryAfter, a.header.Get("Retry-After") != "")
			})
		})
	}
}

// TestRunStatusAfterRetry guards against a run status that covers only the last
// attempt. Here the second attempt cannot connect, but the first may have run.
func TestRunStatusAfterRetry(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		t := h.t
		kill := func() {}
		h.addEndpoint("e1", "", 1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			go kill() // the second attempt cannot connect
			synctest.Wait()
			answertest.Handler("").ServeHTTP(w, r)
		}))
		h.loadModel("e1")
		h.stops = append(h.stops, func() {})
		kill = h.stops[0]
		a := h.do(0, http.MethodPost, completionsPath, completionBody)
		require.Equal(t, RunUnknown, a.runStatus(t), a.body)
	})
}

// TestRunStatusAfterLostReplica guards against relaying an endpoint's notRun,
// which covers one attempt, when an earlier attempt ran. This happens when an
// engine crashes during a request and no longer has the model after its restart.
func TestRunStatusAfterLostReplica(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		t := h.t
		n := 0
		h.addEndpoint("e1", "", 1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if n++; n == 1 {
				answertest.Handler("").ServeHTTP(w, r)
				return
			}
			w.Header().Set(headerRun, string(NotRun))
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, `{"error":{"message":"model is not loaded","run":"notRun"}}`)
		}))
		h.loadModel("e1")
		a := h.do(0, http.MethodPost, completionsPath, completionBody)
		require.Equal(t, RunUnknown, a.runStatus(t), a.body)
	})
}

// TestStreams guards against incomplete streams that appear complete to the
// caller.
func TestStreams(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	one, done := "data: {\"n\":1}\n\n", "data: [DONE]\n\n"
	tests := map[string]struct {
		text  string
		body  string // before the error event
		fails bool
	}{
		"complete":             {text: head + chunk(one) + chunk(done) + "0\r\n\r\n", body: one + done},
		"split anywhere":       {text: head + chunk(one[:7]) + chunk(one[7:]+done[:5]) + chunk(done[5:]) + "0\r\n\r\n", body: one + done},
		"CRLF":                 {text: head + chunk("data: [DONE]\r\n\r\n") + "0\r\n\r\n", body: "data: [DONE]\r\n\r\n"},
		"cut after the marker": {text: head + chunk(one) + chunk(done), body: one + done},
		"ends without marker":  {text: head + chunk(one) + "0\r\n\r\n", body: one, fails: true},
		"cut":                  {text: head + chunk(one), body: one, fails: true},
		"cut within an event":  {text: head + chunk(one) + chunk("data: {"), body: one, fails: true},
		"marker inside text":   {text: head + chunk("data: x [DONE]\n\n") + "0\r\n\r\n", body: "data: x [DONE]\n\n", fails: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, func(h *harness) {
				t := h.t
				h.addEndpoint("e1", "", 1, answertest.Handler(tt.text))
				h.loadModel("e1")
				a := h.do(0, http.MethodPost, completionsPath, completionBody)
				require.Equal(t, http.StatusOK, a.status, a.body)
				if !tt.fails {
					require.NoError(t, a.err)
					require.Equal(t, tt.body, a.body)
					return
				}
				require.ErrorIs(t, a.err, io.ErrUnexpectedEOF)
				event, ok := strings.CutPrefix(a.body, tt.body+"event: error\ndata: ")
				require.True(t, ok, a.body)
				require.Equal(t, RunUnknown, response{body: event}.runStatus(t))
			})
		})
	}
}

// TestRetryBeforeFirstByte guards against returning the failure of one replica
// while another could serve the request.
func TestRetryBeforeFirstByte(t *testing.T) {
	for name, text := range map[string]string{
		"no response":   "",
		"no event":      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"partial body":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"leaving":       "HTTP/1.1 503 X\r\nLeaving: true\r\nContent-Length: 0\r\n\r\n",
		"did not start": "HTTP/1.1 503 X\r\nRun: notRun\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, func(h *harness) {
				t := h.t
				var failed atomic.Int64
				h.addEndpoint("e1", "", 1, countRequests(&failed, answertest.Handler(text)))
				h.addEndpoint("e2", "", 100, http.HandlerFunc(echo))
				h.loadModel("e1", "e2")
				for range 20 {
					a := h.do(0, http.MethodPost, completionsPath, completionBody)
					if failed.Load() > 3 {
						break // the retry budget is exhausted
					}
					require.Equal(t, http.StatusOK, a.status, a.body)
					require.Equal(t, "POST "+completionsPath+" "+completionBody, a.body)
				}
			})
		})
	}
}

// TestCancel guards against requests that keep running after the caller has
// disconnected, and against slots that are not released.
func TestCancel(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		t := h.t
		canceled := make(chan time.Time, 1)
		h.addEndpoint("e1", "", 1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: 1\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			canceled <- time.Now()
		}))
		h.loadModel("e1")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		a := h.doContext(ctx, 0, http.MethodPost, completionsPath, completionBody)
		require.ErrorIs(t, a.err, context.DeadlineExceeded)
		require.Equal(t, time.Second, (<-canceled).Sub(start))
		synctest.Wait()
		e, _ := h.hosts[0].table.Get("e1")
		own, _, _ := e.Load()
		require.Zero(t, own)
	})
}

// TestBody guards against accepting request bodies that are too large or
// incomplete, and against waiting for one without a limit.
func TestBody(t *testing.T) {
	const pause = timedread.DefaultTimeout / 2
	send := func(t *testing.T, h *harness, request ...string) response {
		t.Helper()
		c, err := h.net.DialContext(context.Background(), "tcp", h.hosts[0].address)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		go func() {
			for i, text := range request {
				if i > 0 {
					time.Sleep(pause)
				}
				if _, err := io.WriteString(c, text); err != nil {
					return
				}
			}
		}()
		return readResponse(c)
	}
	inBubble(t, 1, func(h *harness) {
		t := h.t
		const head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
		h.loadModel()
		start := time.Now()
		a := send(t, h, head+"Content-Length: 1048577\r\n\r\n")
		require.Equal(t, http.StatusRequestEntityTooLarge, a.status)
		require.Contains(t, a.body, `body: value \"1048577 bytes\" is not allowed; allowed: at most 1048576 bytes`)
		require.Equal(t, NotRun, a.runStatus(t))
		a = send(t, h, head+"Transfer-Encoding: chunked\r\n\r\n100001\r\n"+strings.Repeat("x", 1<<20+1))
		require.Equal(t, http.StatusRequestEntityTooLarge, a.status)
		require.Equal(t, start, time.Now())
		a = send(t, h, head+"Content-Length: 10\r\n\r\nabc")
		require.Equal(t, http.StatusRequestTimeout, a.status)
		require.Equal(t, NotRun, a.runStatus(t))
		require.Equal(t, timedread.DefaultTimeout, time.Since(start), "nothing arrives any more")
		start = time.Now()
		a = send(t, h, head+"Content-Length: 100\r\n\r\n", "a", "b", "c", "d", "e", "f", "g")
		require.Equal(t, http.StatusRequestTimeout, a.status)
		require.Equal(t, defaultTimeout, time.Since(start), "it goes on, but not to its end by the deadline")
		time.Sleep(2 * pause) // the caller notices
	})
}

// TestSlowCaller guards against a slot that stays occupied because the caller
// does not read the response.
func TestSlowCaller(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		t := h.t
		h.addService("book")
		h.addEndpoint("app", "book", 1, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 1<<20))
		}))
		h.waitForHosts()
		c, err := h.net.DialContext(context.Background(), "tcp", h.hosts[0].address)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "GET /services/book/a HTTP/1.1\r\nHost: x\r\n"+
			headerDeadline+": "+time.Now().Add(5*time.Second).Format(time.RFC3339Nano)+"\r\n\r\n")
		require.NoError(t, err)
		time.Sleep(time.Second)
		e, _ := h.hosts[0].table.Get("app")
		own, _, _ := e.Load()
		require.EqualValues(t, 1, own)
		time.Sleep(4*time.Second + writeGrace)
		synctest.Wait()
		own, _, _ = e.Load()
		require.Zero(t, own)
	})
}

// TestRequestTrailers guards against the loss of request trailers.
func TestRequestTrailers(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		t := h.t
		h.addService("book")
		h.addEndpoint("app", "book", 1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = fmt.Fprint(w, string(body), " ", r.Trailer.Get("Checksum"))
		}))
		h.waitForHosts()
		c, err := h.net.DialContext(context.Background(), "tcp", h.hosts[0].address)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		go func() {
			_, _ = io.WriteString(c, "POST /services/book/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"+
				"Trailer: Checksum\r\n\r\n4\r\nbody\r\n0\r\nChecksum: 42\r\n\r\n")
		}()
		require.Equal(t, "body 42", readResponse(c).body)
	})
}

func readResponse(c net.Conn) response {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return response{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// TestDeadlineBeforeSend guards against sending a request after its deadline.
// Here claiming the key takes until the deadline.
func TestDeadlineBeforeSend(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		t := h.t
		var runs atomic.Int64
		h.addService("book")
		h.addEndpoint("app", "book", 1, countRequests(&runs, http.HandlerFunc(echo)))
		h.hosts[0].journal.SetDelay(2 * time.Second)
		h.waitForHosts()
		start := time.Now()
		a := h.do(0, http.MethodPost, "/services/book/a", "x", headerKey, "k",
			headerCreated, start.Format(time.RFC3339), headerDeadline, start.Add(2*time.Second).Format(time.RFC3339Nano))
		require.Equal(t, http.StatusGatewayTimeout, a.status, a.body)
		require.Equal(t, NotRun, a.runStatus(t))
		require.Equal(t, 2*time.Second, time.Since(start))
		require.Zero(t, runs.Load())
	})
}

// TestDrain guards against sending requests to an endpoint after a response in
// which it said that it is shutting down.
func TestDrain(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		t := h.t
		var first, second atomic.Int64
		h.addEndpoint("e1", "", 1000, countRequests(&first, answertest.Handler("HTTP/1.1 503 X\r\nLeaving: true\r\nContent-Length: 0\r\n\r\n")))
		h.addEndpoint("e2", "", 1, countRequests(&second, http.HandlerFunc(echo)))
		h.loadModel("e1", "e2")
		for range 10 {
			a := h.do(0, http.MethodPost, completionsPath, completionBody)
			require.Equal(t, http.StatusOK, a.status, a.body)
		}
		require.EqualValues(t, 1, first.Load())
		require.EqualValues(t, 10, second.Load())
		require.True(t, h.hosts[0].table.Unreachable("e1"))
	})
}

// TestDrainDuringClaim guards against sending a request to an endpoint that began
// to drain after the replica was acquired, while the key was being claimed.
func TestDrainDuringClaim(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		t := h.t
		var first, second atomic.Int64
		h.addService("book")
		h.addEndpoint("e1", "book", 1, countRequests(&first, http.HandlerFunc(echo)))
		h.hosts[0].journal.SetDelay(time.Second)
		h.waitForHosts()
		done := make(chan response, 1)
		go func() { done <- h.book(0, "k", "x") }()
		time.Sleep(500 * time.Millisecond)
		h.addEndpoint("e2", "book", 1, countRequests(&second, http.HandlerFunc(echo)))
		h.hosts[0].table.ApplyHostList([]tamarackknot.Host{{Role: tamarackknot.RoleEndpoint, Address: "e1:80", Leaving: true}})
		a := <-done
		require.Equal(t, http.StatusOK, a.status, a.body)
		require.Zero(t, first.Load())
		require.EqualValues(t, 1, second.Load())
	})
}

// TestQueue guards against queued requests whose response is missing, late or
// wrong.
func TestQueue(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		t := h.t
		h.loadModel()
		start := time.Now()
		at := func(d time.Duration) string { return start.Add(d).Format(time.RFC3339Nano) }
		a := h.do(0, http.MethodPost, completionsPath, completionBody, headerDeadline, at(3*time.Second))
		require.Equal(t, http.StatusGatewayTimeout, a.status, a.body)
		require.Equal(t, NotRun, a.runStatus(t))
		require.Equal(t, "1", a.header.Get("Retry-After"))
		require.Equal(t, 3*time.Second, time.Since(start))

		h.placement.SetForecast(tamarackknot.Forecast{ReadyAt: start.Add(20 * time.Second)})
		a = h.do(0, http.MethodPost, completionsPath, completionBody, headerDeadline, at(10*time.Second))
		require.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
		require.Equal(t, "17", a.header.Get("Retry-After"))

		// A forecast that turns into a refusal rejects the queued request.
		done := make(chan response, 1)
		go func() {
			done <- h.do(0, http.MethodPost, completionsPath, completionBody, headerDeadline, at(25*time.Second))
		}()
		time.Sleep(time.Second)
		require.Equal(t, 1, h.placement.Demand("m").Waiting)
		h.placement.SetForecast(tamarackknot.Forecast{Refused: true, Reason: "limit reached", RetryAt: start.Add(60 * time.Second)})
		a = <-done
		require.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
		require.Contains(t, a.body, "limit reached")
		require.Equal(t, NotRun, a.runStatus(t))
		require.LessOrEqual(t, time.Since(start), 4200*time.Millisecond)
		h.placement.SetForecast(tamarackknot.Forecast{})

		// After the caller disconnects, its demand is removed.
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		a = h.doContext(ctx, 0, http.MethodPost, completionsPath, completionBody)
		require.ErrorIs(t, a.err, context.DeadlineExceeded)
		synctest.Wait()
		require.Zero(t, h.placement.Demand("m").Waiting)
	})
}

// TestGate guards against a host that serves requests with outdated or
// incomplete configuration.
func TestGate(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		t := h.t
		h.addEndpoint("e1", "", 1, http.HandlerFunc(echo))
		h.loadModel("e1")
		for state, status := range map[GateState]int{
			GateReady: 200, GateDraining: 200, GateStale: 503, GateNotReady: 503,
		} {
			h.hosts[0].state = state
			a := h.do(0, http.MethodPost, completionsPath, completionBody)
			require.Equal(t, status, a.status, a.body)
			ready := h.do(0, http.MethodGet, "/readyz", "")
			require.Equal(t, string(state)+"\n", ready.body)
			require.Equal(t, state == GateReady, ready.status == http.StatusOK)
			require.Equal(t, http.StatusOK, h.do(0, http.MethodGet, "/healthz", "").status)
		}
		require.Contains(t, h.do(0, http.MethodGet, "/metrics", "").body, "caller.status.200")
	})
}

// TestInvalid guards against accepting or misinterpreting invalid input. The
// error must name the field, its value and the allowed values.
func TestInvalid(t *testing.T) {
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC) // start time of a synctest bubble
	rfc := func(d time.Duration) string { return now.Add(d).Format(time.RFC3339) }
	tests := map[string]struct {
		path   string
		body   string
		header []string
		param  string
		status int
		run    RunStatus
	}{
		"priority":           {header: []string{headerPriority, "10"}, param: headerPriority},
		"priority sign":      {header: []string{headerPriority, "+5"}, param: headerPriority},
		"repeated header":    {header: []string{headerPriority, "1", headerPriority, "2"}, param: headerPriority},
		"empty header":       {header: []string{headerPriority, ""}, param: headerPriority},
		"repeatable":         {header: []string{headerRepeatable, "True"}, param: headerRepeatable},
		"deadline":           {header: []string{headerDeadline, "30s"}, param: headerDeadline},
		"deadline far":       {header: []string{headerDeadline, rfc(11 * time.Minute)}, param: headerDeadline},
		"deadline passed":    {header: []string{headerDeadline, rfc(-time.Second)}, param: headerDeadline, status: 504},
		"key without time":   {path: "/services/none/x", header: []string{headerKey, "k"}, param: headerKey, run: RunUnknown},
		"key with space":     {header: []string{headerKey, "a b", headerCreated, rfc(0)}, param: headerKey},
		"key long":           {header: []string{headerKey, strings.Repeat("k", 256), headerCreated, rfc(0)}, param: headerKey},
		"key old":            {header: []string{headerKey, "k", headerCreated, rfc(-11 * time.Minute)}, param: headerCreated},
		"key ahead":          {header: []string{headerKey, "k", headerCreated, rfc(3 * time.Minute)}, param: headerCreated},
		"old UUIDv7":         {header: []string{headerKey, "01890a5d-ac96-774b-bcce-b302099a8057"}, param: headerKey},
		"created alone":      {header: []string{headerCreated, rfc(0)}, param: headerCreated},
		"not JSON":           {body: "x", param: "body"},
		"null":               {body: "null", param: "body"},
		"no model":           {body: "{}", param: "model"},
		"model in capitals":  {body: `{"MODEL":"m"}`, param: "model"},
		"model not a string": {body: `{"model":1}`, param: "model"},
		"unknown model":      {body: `{"model":"n"}`, param: "model", status: 404},
		"stream":             {body: `{"model":"m","stream":"yes"}`, param: "stream"},
		"chat, no messages":  {path: chatPath, body: `{"model":"m"}`, param: "messages"},
		"chat, null":         {path: chatPath, body: `{"model":"m","messages":null}`, param: "messages"},
		"chat, empty":        {path: chatPath, body: `{"model":"m","messages":[]}`, param: "messages"},
		"chat, a string":     {path: chatPath, body: `{"model":"m","messages":"x"}`, param: "messages"},
		"chat, a prompt":     {path: chatPath, body: `{"model":"m","prompt":"x"}`, param: "messages"},
		"unknown service":    {path: "/services/none/x", param: "path", status: 404},
		"no service":         {path: "/services//x", param: "path", status: 404},
		"unknown path":       {path: "/v1/embeddings", param: "path", status: 404},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, func(h *harness) {
				t := h.t
				h.addModel("m")
				if tt.path == "" {
					tt.path = completionsPath
				}
				if tt.body == "" {
					tt.body = completionBody
				}
				if tt.status == 0 {
					tt.status = http.StatusBadRequest
				}
				if tt.run == "" {
					tt.run = NotRun
				}
				a := h.do(0, http.MethodPost, tt.path, tt.body, tt.header...)
				require.Equal(t, tt.status, a.status, a.body)
				var e errorBody
				require.NoError(t, json.Unmarshal([]byte(a.body), &e))
				require.Equal(t, tt.run, e.Error.Run)
				require.NotNil(t, e.Error.Param)
				require.Equal(t, tt.param, *e.Error.Param)
				if tt.status != http.StatusGatewayTimeout {
					require.Contains(t, e.Error.Message, "allowed: ")
				}
			})
		})
	}
}

// TestSeal guards against net/http writing a request after the call has failed,
// because notRun may already have been returned.
func TestSeal(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _, _ = client.Close(), server.Close() }()
	c := &conn{Conn: client}
	require.Zero(t, c.seal())
	_, err := c.Write([]byte("x"))
	require.True(t, errors.Is(err, errSealed))
	require.Zero(t, c.bytesWritten())
}
