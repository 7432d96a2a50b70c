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
)

const (
	completion   = `{"model":"m","prompt":"x"}`
	completePath = "/v1/completions"
)

// raw is an endpoint that reads a request and then writes text as it is and
// closes the connection.
func raw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = rw.WriteString(text)
		_ = rw.Flush()
		_ = c.Close()
	}
}

// counted counts the requests that reach an endpoint.
func counted(n *atomic.Int64, h http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		h.ServeHTTP(w, r)
	}
}

func (a answer) run(t *testing.T) Run {
	t.Helper()
	var e errorBody
	require.NoError(t, json.Unmarshal([]byte(a.body), &e), "%d %s %v", a.status, a.body, a.err)
	return e.Error.Run
}

// warm makes a model that is loaded on the named engines.
func (b *bed) warm(engines ...string) {
	b.addModel("m")
	for _, e := range engines {
		b.store.SetReplica("m", e, tamarackknot.ReplicaLoaded)
	}
	b.settle()
}

// TestTransportRepeatsNothing guards against net/http sending a request again
// on its own: it repeats idempotent methods, and any request with an
// Idempotency-Key header, when a reused connection breaks.
func TestTransportRepeatsNothing(t *testing.T) {
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
			inBubble(t, 1, func(b *bed) {
				t := b.t
				var runs atomic.Int64
				var broken, kept atomic.Bool
				b.addService("book", http.MethodGet)
				b.addEndpoint("app", "book", 100, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if broken.Load() {
						runs.Add(1)
						kept.Store(!r.Close)
						raw("").ServeHTTP(w, r)
						return
					}
					echo(w, r)
				}))
				b.settle()
				// Leaves connections for reuse.
				for range 5 {
					go b.do(0, http.MethodGet, "/services/book/a", "")
				}
				synctest.Wait()
				broken.Store(true)
				header := tt.header
				if tt.keyed {
					header = append(append(header, created...), time.Now().Format(time.RFC3339))
				}
				a := b.do(0, tt.method, "/services/book/a", "", header...)
				require.Equal(t, http.StatusBadGateway, a.status, a.body)
				require.Equal(t, RunUnknown, a.run(t))
				require.Equal(t, tt.runs, runs.Load())
				require.Equal(t, tt.runs > 1, kept.Load(), "a request that is sent once has its own connection")
			})
		})
	}
}

// TestRun guards against an error that says notRun although the request may
// have run, or unknown although it cannot have.
func TestRun(t *testing.T) {
	tests := map[string]struct {
		endpoint  http.Handler
		noAccept  bool
		refuse    bool
		header    []string
		status    int
		run       Run
		requests  int64
		resent    int64 // how often at most it is sent again
		elapsed   time.Duration
		retryTime bool
	}{
		"refused":          {refuse: true, status: 503, run: NotRun, retryTime: true},
		"connect hangs":    {noAccept: true, status: 503, run: NotRun, retryTime: true, elapsed: 30 * time.Second},
		"cut before reply": {endpoint: raw(""), status: 502, run: RunUnknown, requests: 1},
		"declined": {
			endpoint: raw("HTTP/1.1 503 X\r\nRun: notRun\r\nContent-Length: 0\r\n\r\n"),
			// Waits for a slot until its deadline, with at most 5 sends a second.
			status: 504, run: NotRun, requests: 1, resent: 7 + 5*30, retryTime: true,
		},
		"truncated": {
			endpoint: raw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"), status: 502, run: RunUnknown, requests: 1,
		},
		"truncated chunks": {
			endpoint: raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
			status:   502, run: RunUnknown, requests: 1,
		},
		"end of response not marked": {
			endpoint: raw("HTTP/1.1 200 OK\r\n\r\nabc"), status: 502, run: RunUnknown, requests: 1,
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
			inBubble(t, 1, func(b *bed) {
				t := b.t
				var requests atomic.Int64
				b.addService("book")
				if tt.endpoint == nil {
					tt.endpoint = http.NotFoundHandler()
				}
				kill := b.addEndpoint("app", "book", 1, counted(&requests, tt.endpoint))
				if tt.refuse || tt.noAccept {
					kill()
				}
				if tt.noAccept {
					l := b.net.listen("app:80")
					defer func() { _ = l.Close() }()
				}
				b.settle()
				start := time.Now()
				deadline := start.Add(defaultTimeout).Format(time.RFC3339Nano)
				a := b.do(0, http.MethodPost, "/services/book/a", "x", headerDeadline, deadline)
				require.GreaterOrEqual(t, requests.Load(), tt.requests)
				require.LessOrEqual(t, requests.Load(), tt.requests+tt.resent)
				require.LessOrEqual(t, time.Since(start), defaultTimeout)
				require.Equal(t, tt.run, a.run(t), a.body)
				if tt.elapsed > 0 {
					require.LessOrEqual(t, time.Since(start), tt.elapsed)
					return
				}
				require.Equal(t, tt.status, a.status, a.body)
				require.Equal(t, tt.retryTime, a.header.Get("Retry-After") != "")
			})
		})
	}
}

// TestRunAfterRetry guards against an error that speaks of the last attempt
// only: the first one may have run.
func TestRunAfterRetry(t *testing.T) {
	inBubble(t, 1, func(b *bed) {
		t := b.t
		kill := func() {}
		b.addEndpoint("e1", "", 1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			go kill() // refuses the second attempt
			synctest.Wait()
			raw("").ServeHTTP(w, r)
		}))
		b.warm("e1")
		b.stops = append(b.stops, func() {})
		kill = b.stops[0]
		a := b.do(0, http.MethodPost, completePath, completion)
		require.Equal(t, RunUnknown, a.run(t), a.body)
	})
}

// TestRunAfterLostReplica guards against relaying an endpoint's notRun, which
// speaks of one attempt, although an earlier attempt ran: the engine dies while
// it answers, and after its restart the model is not loaded any more.
func TestRunAfterLostReplica(t *testing.T) {
	inBubble(t, 1, func(b *bed) {
		t := b.t
		n := 0
		b.addEndpoint("e1", "", 1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if n++; n == 1 {
				raw("").ServeHTTP(w, r)
				return
			}
			w.Header().Set(headerRun, string(NotRun))
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, `{"error":{"message":"model is not loaded","run":"notRun"}}`)
		}))
		b.warm("e1")
		a := b.do(0, http.MethodPost, completePath, completion)
		require.Equal(t, RunUnknown, a.run(t), a.body)
	})
}

// TestStreams guards against an incomplete stream that looks complete.
func TestStreams(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	one, done := "data: {\"n\":1}\n\n", "data: [DONE]\n\n"
	tests := map[string]struct {
		text  string
		body  string // up to the error event
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
			inBubble(t, 1, func(b *bed) {
				t := b.t
				b.addEndpoint("e1", "", 1, raw(tt.text))
				b.warm("e1")
				a := b.do(0, http.MethodPost, completePath, completion)
				require.Equal(t, http.StatusOK, a.status, a.body)
				if !tt.fails {
					require.NoError(t, a.err)
					require.Equal(t, tt.body, a.body)
					return
				}
				require.ErrorIs(t, a.err, io.ErrUnexpectedEOF)
				event, ok := strings.CutPrefix(a.body, tt.body+"event: error\ndata: ")
				require.True(t, ok, a.body)
				require.Equal(t, RunUnknown, answer{body: event}.run(t))
			})
		})
	}
}

// TestRetryBeforeFirstByte guards against a caller seeing the failure of one
// replica while another could answer.
func TestRetryBeforeFirstByte(t *testing.T) {
	for name, text := range map[string]string{
		"no response":    "",
		"no event":       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"partial body":   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"leaving":        "HTTP/1.1 503 X\r\nLeaving: true\r\nContent-Length: 0\r\n\r\n",
		"did not start ": "HTTP/1.1 503 X\r\nRun: notRun\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, func(b *bed) {
				t := b.t
				var failed atomic.Int64
				b.addEndpoint("e1", "", 1, counted(&failed, raw(text)))
				b.addEndpoint("e2", "", 100, http.HandlerFunc(echo))
				b.warm("e1", "e2")
				for range 20 {
					a := b.do(0, http.MethodPost, completePath, completion)
					if failed.Load() > 3 {
						break // the budget is used up
					}
					require.Equal(t, http.StatusOK, a.status, a.body)
					require.Equal(t, "POST "+completePath+" "+completion, a.body)
				}
			})
		})
	}
}

// TestCancel guards against an endpoint working on for a caller that has gone,
// and against a slot that is not given back.
func TestCancel(t *testing.T) {
	inBubble(t, 1, func(b *bed) {
		t := b.t
		canceled := make(chan time.Time, 1)
		b.addEndpoint("e1", "", 1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: 1\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			canceled <- time.Now()
		}))
		b.warm("e1")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		a := b.doContext(ctx, 0, http.MethodPost, completePath, completion)
		require.ErrorIs(t, a.err, context.DeadlineExceeded)
		require.Equal(t, time.Second, (<-canceled).Sub(start))
		synctest.Wait()
		e, _ := b.hosts[0].table.Get("e1")
		own, _, _ := e.Load()
		require.Zero(t, own)
	})
}

// TestBody guards against bodies that are unbounded, never end, or are cut.
func TestBody(t *testing.T) {
	send := func(t *testing.T, b *bed, request string) answer {
		t.Helper()
		c, err := b.net.DialContext(context.Background(), "tcp", b.hosts[0].address)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		go func() {
			_, _ = io.WriteString(c, request)
		}()
		return readAnswer(c)
	}
	inBubble(t, 1, func(b *bed) {
		t := b.t
		const head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
		b.warm()
		start := time.Now()
		a := send(t, b, head+"Content-Length: 1048577\r\n\r\n")
		require.Equal(t, http.StatusRequestEntityTooLarge, a.status)
		require.Contains(t, a.body, `body: value \"1048577 bytes\" is not allowed; allowed: at most 1048576 bytes`)
		require.Equal(t, NotRun, a.run(t))
		a = send(t, b, head+"Transfer-Encoding: chunked\r\n\r\n100001\r\n"+strings.Repeat("x", 1<<20+1))
		require.Equal(t, http.StatusRequestEntityTooLarge, a.status)
		require.Equal(t, start, time.Now())
		a = send(t, b, head+"Content-Length: 10\r\n\r\nabc")
		require.Equal(t, http.StatusRequestTimeout, a.status)
		require.Equal(t, NotRun, a.run(t))
		require.Equal(t, defaultTimeout, time.Since(start))
	})
}

// TestSlowCaller guards against a slot that is held by a caller who does not
// read its response.
func TestSlowCaller(t *testing.T) {
	inBubble(t, 1, func(b *bed) {
		t := b.t
		b.addService("book")
		b.addEndpoint("app", "book", 1, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 1<<20))
		}))
		b.settle()
		c, err := b.net.DialContext(context.Background(), "tcp", b.hosts[0].address)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "GET /services/book/a HTTP/1.1\r\nHost: x\r\n"+
			headerDeadline+": "+time.Now().Add(5*time.Second).Format(time.RFC3339Nano)+"\r\n\r\n")
		require.NoError(t, err)
		time.Sleep(time.Second)
		e, _ := b.hosts[0].table.Get("app")
		own, _, _ := e.Load()
		require.EqualValues(t, 1, own)
		time.Sleep(4*time.Second + writeGrace)
		synctest.Wait()
		own, _, _ = e.Load()
		require.Zero(t, own)
	})
}

// TestRequestTrailers guards against the loss of what follows a body.
func TestRequestTrailers(t *testing.T) {
	inBubble(t, 1, func(b *bed) {
		t := b.t
		b.addService("book")
		b.addEndpoint("app", "book", 1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = fmt.Fprint(w, string(body), " ", r.Trailer.Get("Checksum"))
		}))
		b.settle()
		c, err := b.net.DialContext(context.Background(), "tcp", b.hosts[0].address)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		go func() {
			_, _ = io.WriteString(c, "POST /services/book/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"+
				"Trailer: Checksum\r\n\r\n4\r\nbody\r\n0\r\nChecksum: 42\r\n\r\n")
		}()
		require.Equal(t, "body 42", readAnswer(c).body)
	})
}

func readAnswer(c net.Conn) answer {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// TestDeadlineBeforeSend guards against a request being sent after its
// deadline, when a claim took until then.
func TestDeadlineBeforeSend(t *testing.T) {
	inBubble(t, 1, func(b *bed) {
		t := b.t
		var runs atomic.Int64
		b.addService("book")
		b.addEndpoint("app", "book", 1, counted(&runs, http.HandlerFunc(echo)))
		b.hosts[0].journal.SetDelay(2 * time.Second)
		b.settle()
		start := time.Now()
		a := b.do(0, http.MethodPost, "/services/book/a", "x", headerKey, "k",
			headerCreated, start.Format(time.RFC3339), headerDeadline, start.Add(2*time.Second).Format(time.RFC3339Nano))
		require.Equal(t, http.StatusGatewayTimeout, a.status, a.body)
		require.Equal(t, NotRun, a.run(t))
		require.Equal(t, 2*time.Second, time.Since(start))
		require.Zero(t, runs.Load())
	})
}

// TestDrain guards against new work for an endpoint that has said, in any
// way, that it leaves.
func TestDrain(t *testing.T) {
	inBubble(t, 1, func(b *bed) {
		t := b.t
		var first, second atomic.Int64
		b.addEndpoint("e1", "", 1000, counted(&first, raw("HTTP/1.1 503 X\r\nLeaving: true\r\nContent-Length: 0\r\n\r\n")))
		b.addEndpoint("e2", "", 1, counted(&second, http.HandlerFunc(echo)))
		b.warm("e1", "e2")
		for range 10 {
			a := b.do(0, http.MethodPost, completePath, completion)
			require.Equal(t, http.StatusOK, a.status, a.body)
		}
		require.EqualValues(t, 1, first.Load())
		require.EqualValues(t, 10, second.Load())
		require.True(t, b.hosts[0].table.Unreachable("e1"))
	})
}

// TestDrainDuringClaim guards against work for an endpoint whose drain signal
// came after the replica was acquired, while the key was being claimed.
func TestDrainDuringClaim(t *testing.T) {
	inBubble(t, 1, func(b *bed) {
		t := b.t
		var first, second atomic.Int64
		b.addService("book")
		b.addEndpoint("e1", "book", 1, counted(&first, http.HandlerFunc(echo)))
		b.hosts[0].journal.SetDelay(time.Second)
		b.settle()
		done := make(chan answer, 1)
		go func() { done <- b.book(0, "k", "x") }()
		time.Sleep(500 * time.Millisecond)
		b.addEndpoint("e2", "book", 1, counted(&second, http.HandlerFunc(echo)))
		b.hosts[0].table.Hosts([]tamarackknot.Host{{Role: tamarackknot.RoleEndpoint, Address: "e1:80", Leaving: true}})
		a := <-done
		require.Equal(t, http.StatusOK, a.status, a.body)
		require.Zero(t, first.Load())
		require.EqualValues(t, 1, second.Load())
	})
}

// TestQueue guards against a queued request that gets no answer, a late one,
// or a false one.
func TestQueue(t *testing.T) {
	inBubble(t, 1, func(b *bed) {
		t := b.t
		b.warm()
		start := time.Now()
		at := func(d time.Duration) string { return start.Add(d).Format(time.RFC3339Nano) }
		a := b.do(0, http.MethodPost, completePath, completion, headerDeadline, at(3*time.Second))
		require.Equal(t, http.StatusGatewayTimeout, a.status, a.body)
		require.Equal(t, NotRun, a.run(t))
		require.Equal(t, "1", a.header.Get("Retry-After"))
		require.Equal(t, 3*time.Second, time.Since(start))

		b.placement.SetForecast(tamarackknot.Forecast{ReadyAt: start.Add(20 * time.Second)})
		a = b.do(0, http.MethodPost, completePath, completion, headerDeadline, at(10*time.Second))
		require.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
		require.Equal(t, "17", a.header.Get("Retry-After"))

		// A forecast that gets worse ends the wait.
		done := make(chan answer, 1)
		go func() { done <- b.do(0, http.MethodPost, completePath, completion, headerDeadline, at(25*time.Second)) }()
		time.Sleep(time.Second)
		require.Equal(t, 1, b.placement.Demand("m").Waiting)
		b.placement.SetForecast(tamarackknot.Forecast{Refused: true, Reason: "limit reached", RetryAt: start.Add(60 * time.Second)})
		a = <-done
		require.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
		require.Contains(t, a.body, "limit reached")
		require.Equal(t, NotRun, a.run(t))
		require.LessOrEqual(t, time.Since(start), 4200*time.Millisecond)
		b.placement.SetForecast(tamarackknot.Forecast{})

		// A caller that goes away leaves no demand behind.
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		a = b.doContext(ctx, 0, http.MethodPost, completePath, completion)
		require.ErrorIs(t, a.err, context.DeadlineExceeded)
		synctest.Wait()
		require.Zero(t, b.placement.Demand("m").Waiting)
	})
}

// TestGate guards against a host that serves under an old configuration.
func TestGate(t *testing.T) {
	inBubble(t, 1, func(b *bed) {
		t := b.t
		b.addEndpoint("e1", "", 1, http.HandlerFunc(echo))
		b.warm("e1")
		for state, status := range map[GateState]int{
			GateReady: 200, GateDraining: 200, GateStale: 503, GateNotReady: 503,
		} {
			b.hosts[0].state = state
			a := b.do(0, http.MethodPost, completePath, completion)
			require.Equal(t, status, a.status, a.body)
			ready := b.do(0, http.MethodGet, "/readyz", "")
			require.Equal(t, string(state)+"\n", ready.body)
			require.Equal(t, state == GateReady, ready.status == http.StatusOK)
			require.Equal(t, http.StatusOK, b.do(0, http.MethodGet, "/healthz", "").status)
		}
		require.Contains(t, b.do(0, http.MethodGet, "/metrics", "").body, "caller.status.200")
	})
}

// TestInvalid guards against wrong input that is taken for something else. The
// error names the field, the value and what is allowed.
func TestInvalid(t *testing.T) {
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC) // start of the bubble's clock
	rfc := func(d time.Duration) string { return now.Add(d).Format(time.RFC3339) }
	tests := map[string]struct {
		path   string
		body   string
		header []string
		param  string
		status int
		run    Run
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
			inBubble(t, 1, func(b *bed) {
				t := b.t
				b.addModel("m")
				if tt.path == "" {
					tt.path = completePath
				}
				if tt.body == "" {
					tt.body = completion
				}
				if tt.status == 0 {
					tt.status = http.StatusBadRequest
				}
				if tt.run == "" {
					tt.run = NotRun
				}
				a := b.do(0, http.MethodPost, tt.path, tt.body, tt.header...)
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

// TestSeal guards against net/http writing a request after its call has
// failed, when notRun may have been reported.
func TestSeal(t *testing.T) {
	here, there := net.Pipe()
	defer func() { _, _ = here.Close(), there.Close() }()
	c := &conn{Conn: here}
	require.Zero(t, c.seal())
	_, err := c.Write([]byte("x"))
	require.True(t, errors.Is(err, errSealed))
	require.Zero(t, c.count())
}
