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

// smallEngine serves slots requests at a time, lets a few more wait and
// declines the rest.
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

// warmSmall loads model m on an engine with 8 slots and a queue of 4.
func (b *bed) warmSmall() *smallEngine {
	e := newSmallEngine(8, 4)
	b.running.Store("e1:80", &e.running)
	b.addEndpoint("e1", "", 8, e)
	b.warm("e1")
	return e
}

// tally counts answers.
type tally struct {
	sync.Mutex
	served, rejected, late int
	cut                    int // sent too late to be complete by the deadline
	last                   time.Duration
}

func (c *tally) call(b *bed, host int, timeout time.Duration) {
	start := time.Now()
	a := b.do(host, http.MethodPost, completePath, completion, headerDeadline, start.Add(timeout).Format(time.RFC3339Nano))
	c.Lock()
	defer c.Unlock()
	c.last = max(c.last, time.Since(start))
	switch {
	case a.status == http.StatusOK:
		c.served++
	case a.run(b.t) == NotRun && a.header.Get("Retry-After") != "":
		c.rejected++
		if time.Since(start) >= timeout {
			c.late++
		}
	case a.status == http.StatusGatewayTimeout:
		c.cut++
	default:
		b.t.Errorf("status %d: %s", a.status, a.body)
	}
}

// TestBurst guards against requests that fail because entry hosts which do not
// know of each other's requests fill an endpoint at the same time.
func TestBurst(t *testing.T) {
	inBubble(t, 6, func(b *bed) {
		e, c, calls := b.warmSmall(), &tally{}, sync.WaitGroup{}
		for i := range 24 {
			calls.Go(func() { c.call(b, i%6, defaultTimeout) })
		}
		calls.Wait()
		b.t.Logf("served %d of 24, last answer after %v, declined sends %d", c.served, c.last, e.declined.Load())
		require.Equal(b.t, 24, c.served)
		require.Less(b.t, c.last, 6*time.Second)
		require.Less(b.t, e.declined.Load(), int64(100))
	})
}

// TestOverload guards against an overload that leaves slots unused or ends in
// a storm of sends.
func TestOverload(t *testing.T) {
	inBubble(t, 6, func(b *bed) {
		const seconds, perSecond = 60, 9.6 // 120% of 8 a second
		e, c, calls := b.warmSmall(), &tally{}, sync.WaitGroup{}
		for i := range int(seconds * perSecond) {
			calls.Go(func() { c.call(b, i%6, 5*time.Second) })
			time.Sleep(time.Second * 10 / 96)
		}
		calls.Wait()
		b.t.Logf("served %d, rejected %d, of these at the deadline %d, cut %d, declined sends %d",
			c.served, c.rejected, c.late, c.cut, e.declined.Load())
		require.Greater(b.t, c.served, 8*seconds*3/4)
		require.Less(b.t, e.declined.Load(), int64(6*seconds*5))
	})
}

// TestSendsToFullEndpoint guards against a busy loop of sends to an endpoint
// that declines everything, also if it reports free slots, and against a
// rejection without a time to retry.
func TestSendsToFullEndpoint(t *testing.T) {
	keyed := []string{headerCreated, time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).Format(time.RFC3339), headerKey, "k"}
	for name, tt := range map[string]struct {
		service string
		header  []string
		reports int // that show 8 free slots
	}{
		"repeatable": {service: "book", header: []string{headerRepeatable, valueTrue}},
		"once":       {service: "book"},
		"keyed":      {service: "book", header: keyed},
		"model":      {reports: 10},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, func(b *bed) {
				e, calls, path := newSmallEngine(0, 0), sync.WaitGroup{}, completePath
				b.addService("book")
				b.addEndpoint("e1", tt.service, 8, e)
				b.warm("e1")
				if tt.service != "" {
					path = "/services/book/a"
				}
				for i := range 20 {
					h := append([]string{headerDeadline, time.Now().Add(10 * time.Second).Format(time.RFC3339Nano)}, tt.header...)
					if name == "keyed" {
						h[len(h)-1] += strings.Repeat("k", i)
					}
					calls.Go(func() {
						a := b.do(0, http.MethodPost, path, completion, h...)
						if a.run(b.t) != NotRun || a.header.Get("Retry-After") == "" {
							b.t.Errorf("status %d: %s", a.status, a.body)
						}
					})
				}
				calls.Wait()
				// 8 at once, then 7 while the interval grows, then 5 a second.
				b.t.Logf("%d sends in 10 s", e.declined.Load())
				require.LessOrEqual(b.t, e.declined.Load(), int64(8+7+10*5+8*tt.reports))
				require.Greater(b.t, e.declined.Load(), int64(20))
			})
		})
	}
}
