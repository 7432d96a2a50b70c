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

// Faults are the faults of an engine or a service. The zero value is none.
type Faults struct {
	// Die drops all connections and ends what runs. An engine loses what is in
	// its accelerator memory; its caches and fencing numbers survive.
	Die bool
	// Hang stops all progress until it is switched off.
	Hang bool
	// Slow multiplies the delays that start while it is set; 0 is the same
	// as 1.
	Slow float64
	// Cut closes the connection in the middle of each response.
	Cut bool
	// Truncate ends each stream in an orderly way without its terminal marker.
	Truncate bool
	// Refuse rejects each request with 503 and "Run: notRun", and each order.
	Refuse bool
	// LoseAnswer closes the connection after the effect of an order.
	LoseAnswer bool
	// DelayOrder is the time from the arrival of an order to its effect, which
	// happens even if the client has gone away.
	DelayOrder time.Duration
}

var errDied = errors.New("endpoint died")

// faultSwitch holds the faults of an endpoint and wakes what waits when they
// change.
type faultSwitch struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	// life ends when the endpoint dies.
	life context.Context
	kill context.CancelCauseFunc
}

func newFaultSwitch() *faultSwitch {
	s := &faultSwitch{changed: make(chan struct{})}
	s.life, s.kill = context.WithCancelCause(context.Background())
	return s
}

func (s *faultSwitch) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.Die:
		s.kill(errDied)
	case s.faults.Die:
		s.life, s.kill = context.WithCancelCause(context.Background())
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultSwitch) get() (f Faults, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// alive returns the context that ends when the endpoint dies.
func (s *faultSwitch) alive() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}

// bind returns a context that ends with ctx and with the endpoint's life.
func (s *faultSwitch) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	life := s.alive()
	bound, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(life, func() { cancel(errDied) })
	return bound, func() {
		stop()
		cancel(context.Canceled)
	}
}

// sleep waits for d, longer if the endpoint is slow or hangs.
func (s *faultSwitch) sleep(ctx context.Context, d time.Duration) error {
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
			left := time.Until(deadline)
			if left <= 0 {
				return nil
			}
			expired = time.After(left)
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

// receive reads the whole body before the endpoint may hang: net/http notices
// that a client has gone away only after that.
func (s *faultSwitch) receive(ctx context.Context, r *http.Request) *http.Request {
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

// abort closes the connection of the request without a response.
func abort() {
	panic(http.ErrAbortHandler)
}
