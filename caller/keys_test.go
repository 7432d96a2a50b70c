package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// addBookingService adds a service whose requests take one second and must not
// run twice.
func (h *harness) addBookingService(runs *atomic.Int64) {
	h.addService("book")
	h.addEndpoint("app", "book", 10, countRequests(runs, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(time.Second)
		w.Header().Set("Booking", "7")
		w.Header().Set("Trailer", "Checked")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "booked "+string(body))
		w.Header().Set("Checked", "yes")
	})))
	h.waitForHosts()
}

func (h *harness) book(host int, key, body string) response {
	return h.do(host, http.MethodPost, "/services/book/a", body,
		headerKey, key, headerCreated, time.Now().Format(time.RFC3339))
}

// TestKeySameHost guards against a second run of a keyed request on the same
// host. A repeat must wait for the first one or receive its stored response.
func TestKeySameHost(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		t := h.t
		var runs atomic.Int64
		h.addBookingService(&runs)
		responses := make(chan response, 3)
		for range 2 {
			go func() { responses <- h.book(0, "k", "x") }()
		}
		time.Sleep(2 * time.Second)
		responses <- h.book(0, "k", "x")
		for range 3 {
			a := <-responses
			require.Equal(t, http.StatusCreated, a.status, a.body)
			require.Equal(t, "booked x", a.body)
			require.Equal(t, "7", a.header.Get("Booking"))
			require.Equal(t, "yes", a.trailer.Get("Checked"))
		}
		require.EqualValues(t, 1, runs.Load())
		other := h.book(0, "k", "y")
		require.Equal(t, http.StatusUnprocessableEntity, other.status, other.body)
		require.Equal(t, NotRun, other.runStatus(t))
	})
}

// TestKeyWithoutCreationTime guards against rejecting keys without a creation
// time, as OpenAI's clients send them, and against a second run of such a request
// that is not repeatable.
func TestKeyWithoutCreationTime(t *testing.T) {
	const key = "stainless-node-retry-0b6a0d2e-7f6f-4c53-9a6b-3a4f9a8f2c11"
	for name, tt := range map[string]struct {
		header []string
		hosts  [2]int
		status []int // of both responses, ascending
		runs   int64
	}{
		"repeatable":                 {status: []int{200, 200}, runs: 2},
		"not repeatable, one host":   {header: []string{headerRepeatable, "false"}, status: []int{200, 200}, runs: 1},
		"not repeatable, both hosts": {header: []string{headerRepeatable, "false"}, hosts: [2]int{0, 1}, status: []int{200, 409}, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, func(h *harness) {
				t := h.t
				var runs atomic.Int64
				h.addEndpoint("e1", "", 8, countRequests(&runs, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					// A pipe has no buffer: an unread body would be cut off by the server's close.
					_, _ = io.Copy(io.Discard, r.Body)
					time.Sleep(time.Second)
					_, _ = io.WriteString(w, "{}")
				})))
				h.loadModel("e1")
				responses := make(chan response, 2)
				for _, host := range tt.hosts {
					go func() {
						responses <- h.do(host, http.MethodPost, chatPath, `{"model":"m","messages":[{"role":"user","content":"x"}]}`,
							append([]string{headerKey, key}, tt.header...)...)
					}()
				}
				a, other := <-responses, <-responses
				status := []int{min(a.status, other.status), max(a.status, other.status)}
				require.Equal(t, tt.status, status, "%s %s", a.body, other.body)
				require.Equal(t, tt.runs, runs.Load())
			})
		})
	}
}

// TestKeyAfterDisconnect guards against the loss of a response when the caller
// disconnects. A repeat must receive it.
func TestKeyAfterDisconnect(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		t := h.t
		var runs atomic.Int64
		h.addBookingService(&runs)
		id := uuid.Must(uuid.NewV7FromReader(strings.NewReader(strings.Repeat("7", 16))))
		// uuid uses the clock of the bubble.
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		a := h.doContext(ctx, 0, http.MethodPost, "/services/book/a", "x", headerKey, id.String())
		require.ErrorIs(t, a.err, context.DeadlineExceeded)
		a = h.do(0, http.MethodPost, "/services/book/a", "x", headerKey, id.String())
		require.Equal(t, "booked x", a.body)
		require.EqualValues(t, 1, runs.Load())
	})
}

// TestKeyOtherHost guards against a second run of a keyed request through another
// entry host.
func TestKeyOtherHost(t *testing.T) {
	inBubble(t, 2, func(h *harness) {
		t := h.t
		var runs atomic.Int64
		h.addBookingService(&runs)
		require.Equal(t, http.StatusCreated, h.book(0, "k", "x").status)
		a := h.book(1, "k", "x")
		require.Equal(t, http.StatusConflict, a.status, a.body)
		var e errorBody
		require.NoError(t, json.Unmarshal([]byte(a.body), &e))
		require.Equal(t, RunUnknown, e.Error.Run)
		require.Equal(t, "entry-0:80", e.Error.Address)
		require.EqualValues(t, 1, runs.Load())
		require.Equal(t, http.StatusUnprocessableEntity, h.book(1, "k", "y").status)
	})
}

// TestKeyFreed guards against a key that stays claimed after its request did not
// run.
func TestKeyFreed(t *testing.T) {
	inBubble(t, 2, func(h *harness) {
		t := h.t
		h.addService("book")
		kill := h.addEndpoint("app", "book", 1, http.HandlerFunc(echo))
		kill()
		h.waitForHosts()
		a := h.do(0, http.MethodPost, "/services/book/a", "x", headerKey, "k",
			headerCreated, time.Now().Format(time.RFC3339),
			headerDeadline, time.Now().Add(2*time.Second).Format(time.RFC3339Nano))
		require.Equal(t, NotRun, a.runStatus(t), a.body)
		h.addEndpoint("app", "book", 1, http.HandlerFunc(echo))
		time.Sleep(10 * time.Second)
		a = h.book(1, "k", "x")
		require.Equal(t, http.StatusOK, a.status, a.body)
	})
}

// TestKeyLogDown guards against a keyed request that runs without a claim while
// the log fails, and against a key that becomes unusable because the log's
// response was lost.
func TestKeyLogDown(t *testing.T) {
	for name, fault := range map[string]struct {
		err     error
		applied bool
	}{
		"not appended":          {err: tamarackknot.ErrNotAppended},
		"unknown, not appended": {err: tamarackknot.ErrOutcomeUnknown},
		"unknown, appended":     {err: tamarackknot.ErrOutcomeUnknown, applied: true},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, func(h *harness) {
				t := h.t
				var runs atomic.Int64
				h.addBookingService(&runs)
				h.hosts[0].journal.SetFault(fault.err, fault.applied)
				a := h.book(0, "k", "x")
				require.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
				require.Equal(t, RunUnknown, a.runStatus(t))
				require.Equal(t, "1", a.header.Get("Retry-After"))
				require.Zero(t, runs.Load())
				h.hosts[0].journal.SetFault(nil, false)
				a = h.book(0, "k", "x")
				require.Equal(t, "booked x", a.body)
				require.Equal(t, http.StatusConflict, h.book(1, "k", "x").status)
				require.EqualValues(t, 1, runs.Load())
			})
		})
	}
}

// TestRunStatusOfKeyRunElsewhere guards against a rejection with notRun when the
// request has run through another host with the same key. The caller would send
// it again with a new key.
func TestRunStatusOfKeyRunElsewhere(t *testing.T) {
	old := time.Date(1999, 12, 31, 23, 0, 0, 0, time.UTC).Format(time.RFC3339)
	for name, tt := range map[string]struct {
		fault      func(*entryHost)
		header     []string
		retryAfter string
	}{
		"log down":        {fault: func(h *entryHost) { h.journal.SetFault(tamarackknot.ErrNotAppended, false) }, retryAfter: "1"},
		"stale":           {fault: func(h *entryHost) { h.state = GateStale }, retryAfter: "1"},
		"not configured":  {fault: func(h *entryHost) { h.journal.Store.Remove(tamarackknot.KindService, "book") }},
		"deadline passed": {header: []string{headerDeadline, old}},
		"priority":        {header: []string{headerPriority, "12"}},
		"key expired":     {header: []string{headerCreated, old}},
		"claimed":         {},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, func(h *harness) {
				t := h.t
				var runs atomic.Int64
				h.addBookingService(&runs)
				require.Equal(t, http.StatusCreated, h.book(0, "k", "x").status)
				if tt.fault != nil {
					tt.fault(h.hosts[1])
				}
				header := append([]string{headerKey, "k"}, tt.header...)
				if name != "key expired" {
					header = append(header, headerCreated, time.Now().Format(time.RFC3339))
				}
				a := h.do(1, http.MethodPost, "/services/book/a", "x", header...)
				require.Equal(t, RunUnknown, a.runStatus(t), a.body)
				require.Equal(t, tt.retryAfter, a.header.Get("Retry-After"))
				require.EqualValues(t, 1, runs.Load())
			})
		})
	}
}

// TestFreedKeyOfEarlierAttempt guards against running an earlier attempt after the
// caller has received notRun. The attempt waits for the claim on another host, or
// for the first request on the same host.
func TestFreedKeyOfEarlierAttempt(t *testing.T) {
	inBubble(t, 2, func(h *harness) {
		t := h.t
		var runs atomic.Int64
		var down atomic.Bool
		down.Store(true)
		h.addService("book")
		h.addEndpoint("app", "book", 1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if down.Load() {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set(headerRun, string(NotRun))
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			runs.Add(1)
			echo(w, r)
		}))
		h.waitForHosts()
		h.hosts[1].journal.SetDelay(5 * time.Second) // the attempt on host 1 waits for its claim
		created := time.Now().Format(time.RFC3339)
		send := func(host int, timeout time.Duration) response {
			return h.do(host, http.MethodPost, "/services/book/a", "x", headerKey, "k", headerCreated, created,
				headerDeadline, time.Now().Add(timeout).Format(time.RFC3339Nano))
		}
		earlier := make(chan response, 2)
		go func() { earlier <- send(1, 20*time.Second) }()
		go func() {
			time.Sleep(time.Second)
			earlier <- send(0, 20*time.Second)
		}()
		first := send(0, 2*time.Second)
		require.Equal(t, NotRun, first.runStatus(t), first.body)
		down.Store(false)
		for range 2 {
			a := <-earlier
			require.Equal(t, RunUnknown, a.runStatus(t), a.body)
			require.Equal(t, "1", a.header.Get("Retry-After"))
		}
		require.Zero(t, runs.Load())
		require.Equal(t, http.StatusOK, send(1, 20*time.Second).status, "a later attempt may run")
		require.EqualValues(t, 1, runs.Load())
	})
}

// TestUnsentKey guards against the use of a key that could not be freed, by an
// attempt that arrived before the caller received notRun.
func TestUnsentKey(t *testing.T) {
	now := time.Now()
	s := newKeyStore(10_000)
	k, _ := s.begin(tamarackknot.KeyClaim{Key: "k", Created: now}, now)
	s.setUnsent(k, now)
	s.abandon(k)
	_, ok := s.takeUnsent("k", now)
	require.False(t, ok)
	since, ok := s.takeUnsent("k", now.Add(1))
	require.True(t, ok)
	require.Equal(t, now, since)
	_, ok = s.takeUnsent("k", now.Add(1))
	require.False(t, ok)
}

// TestKeyStoreBounds guards against unlimited memory use by stored responses and
// against keys that never expire.
func TestKeyStoreBounds(t *testing.T) {
	now := time.Now()
	s := newKeyStore(10_000)
	for i := range 100 {
		k, first := s.begin(tamarackknot.KeyClaim{Key: string(rune('a' + i)), Created: now}, now)
		require.True(t, first)
		s.finish(k, &recording{body: make([]byte, 1000)})
		require.LessOrEqual(t, s.bytes, 10_000)
	}
	require.Len(t, s.entries, s.order.Len())
	s.sweep(now.Add(keyMaxAge + 2*time.Minute))
	require.Empty(t, s.entries)
	require.Zero(t, s.bytes)
}
