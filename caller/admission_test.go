package caller

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// smallEngine is an engine with a limited number of slots and a short queue. It
// declines further requests.
type smallEngine struct {
	running, declined atomic.Int64
	limit             int64
	slots             chan struct{}
}

func newSmallEngine(slots, queue int) *smallEngine {
	return &smallEngine{limit: int64(slots + queue), slots: make(chan struct{}, slots)}
}

func (e *smallEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	defer e.running.Add(-1)
	if e.running.Add(1) > e.limit {
		e.declined.Add(1)
		w.Header().Set(headerRun, string(NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	time.Sleep(time.Second)
	_, _ = io.WriteString(w, "{}")
}

// addSmallEngine adds an engine with 8 slots and a queue of 4 and loads model m
// on it.
func (h *harness) addSmallEngine() *smallEngine {
	e := newSmallEngine(8, 4)
	h.running.Store("e1:80", &e.running)
	h.addEndpoint("e1", "", 8, e)
	h.loadModel("e1")
	return e
}

// resultCounts counts the outcomes of requests.
type resultCounts struct {
	sync.Mutex
	served, rejected, rejectedAtDeadline int
	timedOut                             int // the deadline passed while the request was running
	maxDuration                          time.Duration
}

func (c *resultCounts) call(h *harness, host int, timeout time.Duration) {
	start := time.Now()
	a := h.do(host, http.MethodPost, completionsPath, completionBody, headerDeadline, start.Add(timeout).Format(time.RFC3339Nano))
	c.Lock()
	defer c.Unlock()
	c.maxDuration = max(c.maxDuration, time.Since(start))
	switch {
	case a.status == http.StatusOK:
		c.served++
	case a.runStatus(h.t) == NotRun && a.header.Get("Retry-After") != "":
		c.rejected++
		if time.Since(start) >= timeout {
			c.rejectedAtDeadline++
		}
	case a.status == http.StatusGatewayTimeout:
		c.timedOut++
	default:
		h.t.Errorf("status %d: %s", a.status, a.body)
	}
}

// TestBurst guards against requests that fail because several entry hosts, which
// do not know of each other's requests, overload an endpoint at the same time.
func TestBurst(t *testing.T) {
	inBubble(t, 6, func(h *harness) {
		e, c, calls := h.addSmallEngine(), &resultCounts{}, sync.WaitGroup{}
		for i := range 24 {
			calls.Go(func() { c.call(h, i%6, defaultTimeout) })
		}
		calls.Wait()
		h.t.Logf("served %d of 24, last response after %v, declined sends %d", c.served, c.maxDuration, e.declined.Load())
		require.Equal(h.t, 24, c.served)
		require.Less(h.t, c.maxDuration, 6*time.Second)
		require.Less(h.t, e.declined.Load(), int64(100))
	})
}

// TestOverload guards against unused slots and excessive sends while the load
// exceeds the capacity.
func TestOverload(t *testing.T) {
	inBubble(t, 6, func(h *harness) {
		const seconds, perSecond = 60, 9.6 // 120% of the capacity of 8 requests/s
		e, c, calls := h.addSmallEngine(), &resultCounts{}, sync.WaitGroup{}
		for i := range int(seconds * perSecond) {
			calls.Go(func() { c.call(h, i%6, 5*time.Second) })
			time.Sleep(time.Second * 10 / 96)
		}
		calls.Wait()
		h.t.Logf("served %d, rejected %d, of these at the deadline %d, timed out %d, declined sends %d",
			c.served, c.rejected, c.rejectedAtDeadline, c.timedOut, e.declined.Load())
		require.Greater(h.t, c.served, 8*seconds*3/4)
		require.Less(h.t, e.declined.Load(), int64(6*seconds*5))
	})
}

// TestSendsToFullEndpoint guards against a busy loop of sends to an endpoint that
// declines all requests, even if it reports free slots, and against rejections
// without Retry-After.
func TestSendsToFullEndpoint(t *testing.T) {
	keyed := []string{headerCreated, time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).Format(time.RFC3339), headerKey, "k"}
	for name, tt := range map[string]struct {
		service string
		header  []string
		reports int // number of reports that show 8 free slots
	}{
		"repeatable": {service: "book", header: []string{headerRepeatable, valueTrue}},
		"once":       {service: "book"},
		"keyed":      {service: "book", header: keyed},
		"model":      {reports: 10},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, func(h *harness) {
				e, calls, path := newSmallEngine(0, 0), sync.WaitGroup{}, completionsPath
				h.addService("book")
				h.addEndpoint("e1", tt.service, 8, e)
				h.loadModel("e1")
				if tt.service != "" {
					path = "/services/book/a"
				}
				for i := range 20 {
					header := append([]string{headerDeadline, time.Now().Add(10 * time.Second).Format(time.RFC3339Nano)}, tt.header...)
					if name == "keyed" {
						header[len(header)-1] += strings.Repeat("k", i)
					}
					calls.Go(func() {
						a := h.do(0, http.MethodPost, path, completionBody, header...)
						if a.runStatus(h.t) != NotRun || a.header.Get("Retry-After") == "" {
							h.t.Errorf("status %d: %s", a.status, a.body)
						}
					})
				}
				calls.Wait()
				// 8 at once, 7 while the interval grows, then 5 per second.
				h.t.Logf("%d sends in 10 s", e.declined.Load())
				require.LessOrEqual(h.t, e.declined.Load(), int64(8+7+10*5+8*tt.reports))
				require.Greater(h.t, e.declined.Load(), int64(20))
			})
		})
	}
}
