package fake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

func servePipe(t *testing.T, h http.Handler) *http.Client {
	t.Helper()
	const address = "10.0.0.1:80"
	n := NewNetwork()
	l, err := n.Host("server").Listen(t.Context(), address)
	require.NoError(t, err)
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	transport := &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return n.Host("client").Dial(ctx, network, address)
	}}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = srv.Close()
	})
	return &http.Client{Transport: transport}
}

func closeBody(resp *http.Response) { _ = resp.Body.Close() }

func post(ctx context.Context, c *http.Client, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://endpoint"+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return c.Do(req)
}

func loadedEngine(t *testing.T, change func(*EngineConfig)) (*Engine, *http.Client) {
	t.Helper()
	e := testEngine(change)
	require.Equal(t, tamarackknot.OrderDone, e.Order(t.Context(), loadOrder("a", 1, 1)).Outcome)
	return e, servePipe(t, e)
}

const streamBody = `{"model":"a","prompt":"p","max_tokens":10,"stream":true}`

// Guards against partial streams that look complete, and against slots that stay
// occupied after a fault.
func TestEngineStreams(t *testing.T) {
	for name, tc := range map[string]struct {
		faults   Faults
		events   int
		complete bool
		broken   bool // the client receives an error
		took     time.Duration
	}{
		"complete":  {events: 10, complete: true, took: 190 * time.Millisecond},
		"slow":      {faults: Faults{Slow: 3}, events: 10, complete: true, took: 570 * time.Millisecond},
		"cut":       {faults: Faults{Cut: true}, events: 5, broken: true, took: 150 * time.Millisecond},
		"truncated": {faults: Faults{Truncate: true}, events: 5, took: 150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, c := loadedEngine(t, nil)
				e.SetFaults(tc.faults)
				start := time.Now()
				resp, err := post(t.Context(), c, "/v1/completions", streamBody, RequestIDHeader, "r")
				require.NoError(t, err)
				defer closeBody(resp)
				data, err := io.ReadAll(resp.Body)
				require.Equal(t, tc.broken, err != nil)
				require.Equal(t, tc.took, time.Since(start))
				require.Equal(t, tc.complete, strings.HasSuffix(string(data), "data: [DONE]\n\n"))
				for i, token := range Tokens("a", "p", tc.events) {
					require.Contains(t, string(data), fmt.Sprintf("%q", token), i)
				}
				require.NotContains(t, string(data), Tokens("a", "p", tc.events+1)[tc.events])
				synctest.Wait()
				running, _ := e.Running()
				require.Zero(t, running)
				require.Len(t, e.History().Runs("r"), 1)
			})
		})
	}
}

// Guards against slots that stay occupied after the client disconnected or the
// endpoint died in the middle of a stream.
func TestEngineStreamInterrupted(t *testing.T) {
	for name, interrupt := range map[string]func(e *Engine, cancel func()){
		"cancelled by the client": func(_ *Engine, cancel func()) { cancel() },
		"endpoint died":           func(e *Engine, _ func()) { e.SetFaults(Faults{Die: true}) },
		"cancelled while hanging": func(e *Engine, cancel func()) { e.SetFaults(Faults{Hang: true}); time.Sleep(time.Hour); cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, c := loadedEngine(t, nil)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				resp, err := post(ctx, c, "/v1/completions", streamBody)
				require.NoError(t, err)
				defer closeBody(resp)
				_, err = bufio.NewReader(resp.Body).ReadString('\n')
				require.NoError(t, err)
				running, _ := e.Running()
				require.Equal(t, 1, running)
				interrupt(e, cancel)
				synctest.Wait()
				running, _ = e.Running()
				require.Zero(t, running)
				_, err = io.ReadAll(resp.Body)
				require.Error(t, err)
			})
		})
	}
}

// Guards against rejections without "Run: notRun", against rejected requests that
// are counted as run, and against a queue that ignores priorities.
func TestEngineQueueAndRejections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, c := loadedEngine(t, func(cfg *EngineConfig) { cfg.QueueLimit = 2 })
		ends := make(chan string, 3)
		for i, id := range []string{"running", "low", "high"} {
			go func() {
				resp, err := post(t.Context(), c, "/v1/chat/completions", `{"model":"a","messages":[{"role":"user","content":"x"}]}`,
					RequestIDHeader, id, PriorityHeader, fmt.Sprint(i))
				if err == nil {
					closeBody(resp)
				}
				ends <- id
			}()
			synctest.Wait()
		}
		rejected := func(model string, status int) *http.Response {
			resp, err := post(t.Context(), c, "/v1/completions", `{"model":"`+model+`"}`, RequestIDHeader, "rejected")
			require.NoError(t, err)
			closeBody(resp)
			require.Equal(t, status, resp.StatusCode)
			require.Equal(t, "notRun", resp.Header.Get(RunHeader))
			return resp
		}
		rejected("a", http.StatusServiceUnavailable)
		rejected("b", http.StatusNotFound)
		require.Equal(t, []string{"running", "high", "low"}, []string{<-ends, <-ends, <-ends})
		e.SetLeaving(true)
		e.SetFaults(Faults{Refuse: true})
		require.Equal(t, "true", rejected("a", http.StatusServiceUnavailable).Header.Get(LeavingHeader))
		require.Empty(t, e.History().Runs("rejected"))
	})
}

// Guards against an unload that interrupts running requests.
func TestEngineUnloadWaitsForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, c := loadedEngine(t, nil)
		resp, err := post(t.Context(), c, "/v1/completions", streamBody)
		require.NoError(t, err)
		defer closeBody(resp)
		unloaded := make(chan tamarackknot.OrderOutcome, 1)
		go func() { unloaded <- e.Order(t.Context(), unloadOrder("a", 2)).Outcome }()
		synctest.Wait()
		require.Len(t, e.Loaded(), 1)
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Contains(t, string(data), "[DONE]")
		require.Equal(t, tamarackknot.OrderDone, <-unloaded)
	})
}

// Guards against a service that does not echo the body, the trailers or the
// status, and against runs that are not counted when the response is lost.
func TestService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewService(ServiceConfig{Name: "s", Work: time.Second})
		c := servePipe(t, s)
		body := strings.Repeat("\x00\xffbooking\n", 10_000)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPatch, "http://s/x?status=207", io.MultiReader(strings.NewReader(body)))
		require.NoError(t, err)
		req.Trailer = http.Header{"Seat": {"12"}}
		req.Header.Set(RequestIDHeader, "r1")
		resp, err := c.Do(req)
		require.NoError(t, err)
		defer closeBody(resp)
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, body, string(data))
		require.Equal(t, http.StatusMultiStatus, resp.StatusCode)
		require.Equal(t, "PATCH", resp.Header.Get(EchoMethodHeader))
		require.Equal(t, "12", resp.Trailer.Get(EchoTrailerPrefix+"Seat"))
		require.NotEmpty(t, resp.Trailer.Get(EchoDigestTrailer))

		for name, f := range map[string]Faults{"lost answer": {LoseAnswer: true}, "cut": {Cut: true}} {
			s.SetFaults(f)
			resp, err := post(t.Context(), c, "/x", body, RequestIDHeader, name)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				closeBody(resp)
			}
			require.Error(t, err, name)
			require.Len(t, s.History().Runs(name), 1, name)
		}
		s.SetFaults(Faults{Refuse: true})
		resp, err = post(t.Context(), c, "/x", body, RequestIDHeader, "refused")
		require.NoError(t, err)
		closeBody(resp)
		require.Equal(t, "notRun", resp.Header.Get(RunHeader))
		require.Empty(t, s.History().Runs("refused"))
	})
}
