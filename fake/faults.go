package fake

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Faults selects the faults to inject into an engine or a service. The zero
// value injects none.
type Faults struct {
	// Die simulates a crash of the process: it drops all connections and aborts
	// requests and orders. An engine loses its accelerator memory but keeps its
	// caches and fencing tokens.
	Die bool
	// Hang suspends all requests and orders until it is reset.
	Hang bool
	// Slow is a factor on all delays that start while it is set; 0 means 1.
	Slow float64
	// Cut closes the connection in the middle of every response.
	Cut bool
	// Truncate ends every stream in its middle without an error on the
	// connection and without the final "[DONE]" event.
	Truncate bool
	// Refuse rejects all requests with status 503 and "Run: notRun", and all
	// orders.
	Refuse bool
	// LoseAnswer closes the connection after an order has taken effect, without
	// an answer.
	LoseAnswer bool
	// DelayOrder is the time from the arrival of an order to its execution. The
	// order is executed even if the client has disconnected.
	DelayOrder time.Duration
}

var errDied = errors.New("endpoint died")

// faultInjector holds the active faults of an endpoint. It notifies waiting
// requests and orders when the faults change.
type faultInjector struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced when faults change
	// lifetime is done while Die is set.
	lifetime context.Context
	kill     context.CancelCauseFunc
}

func newFaultInjector() *faultInjector {
	s := &faultInjector{changed: make(chan struct{})}
	s.lifetime, s.kill = context.WithCancelCause(context.Background())
	return s
}

func (s *faultInjector) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.Die:
		s.kill(errDied)
	case s.faults.Die:
		s.lifetime, s.kill = context.WithCancelCause(context.Background())
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultInjector) get() (f Faults, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// processContext returns a context that is cancelled when the endpoint dies.
func (s *faultInjector) processContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifetime
}

// bind derives a context from ctx that is also cancelled when the endpoint dies.
func (s *faultInjector) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	lifetime := s.processContext()
	bound, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(lifetime, func() { cancel(errDied) })
	return bound, func() {
		stop()
		cancel(context.Canceled)
	}
}

// sleep waits for d multiplied by Slow, and until Hang is reset. It returns the
// cause of ctx if ctx ends first.
func (s *faultInjector) sleep(ctx context.Context, d time.Duration) error {
	f, changed := s.get()
	if f.Slow > 0 {
		d = time.Duration(float64(d) * f.Slow)
	}
	deadline := time.Now().Add(d)
	for {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		var expired <-chan time.Time
		if !f.Hang {
			remaining := time.Until(deadline)
			if remaining <= 0 {
				return nil
			}
			expired = time.After(remaining)
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-expired:
			return nil
		case <-changed:
		}
		f, changed = s.get()
	}
}

// receive reads the request body, then waits while the endpoint hangs. net/http
// detects that a client has disconnected only once the body has been read.
func (s *faultInjector) receive(ctx context.Context, r *http.Request) *http.Request {
	if ctx.Err() != nil {
		abort()
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		abort()
	}
	if err := s.sleep(ctx, 0); err != nil {
		abort()
	}
	out := r.WithContext(ctx)
	out.Body = io.NopCloser(bytes.NewReader(body))
	return out
}

// abort closes the connection of the current request without completing the
// response.
func abort() {
	panic(http.ErrAbortHandler)
}
