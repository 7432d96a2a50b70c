package ingress

import (
	"context"
	"slices"
	"sync"
	"time"

	"tamarackknot.example/tamarackknot/dispatch"
)

const (
	// A resumable stream moves to another endpoint after a pause of
	// minStallTimeout or stallTimeoutGaps gap objectives of the route,
	// whichever is longer. Both values are well above the pauses of a busy endpoint.
	minStallTimeout  = 2 * time.Second
	stallTimeoutGaps = 8
	// stallCheckInterval is the time between two checks whether a stream whose endpoint is
	// silent can move.
	stallCheckInterval = 200 * time.Millisecond
)

// stallWatch ends an attempt at a stream whose endpoint is silent once another endpoint can
// go on at once. A silent endpoint may be sound: as long as none can, the attempt goes on.
type stallWatch struct {
	x       *exchange
	cancel  context.CancelFunc // ends the attempt
	timeout time.Duration
	timer   *time.Timer // nil if the stream must not move

	mu    sync.Mutex
	next  dispatch.Request // the attempt at another endpoint
	ended bool
	retry *dispatch.Retry // that attempt's, once this one is ended; nil before
}

// watchStall starts to watch an attempt that cancel ends.
func (x *exchange) watchStall(g *dispatch.Grant, cancel context.CancelFunc) *stallWatch {
	w := &stallWatch{x: x, cancel: cancel, timeout: max(minStallTimeout, stallTimeoutGaps*x.route.GapObjective)}
	if !x.route.Resumable || x.possibleRuns+1 >= x.route.Attempts {
		return w
	}
	w.setNext(g)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.timeout, w.check)
	return w
}

// setNext takes over what the exchange knows of the request.
func (w *stallWatch) setNext(g *dispatch.Grant) {
	next := w.x.request
	next.Exclude = append(slices.Clone(next.Exclude), g.Endpoint.ID)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next = next
}

// eventReceived starts the time anew.
func (w *stallWatch) eventReceived() {
	if w.timer != nil {
		w.timer.Reset(w.timeout)
	}
}

// check ends the attempt if another endpoint can go on and the retry budget allows it.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	cfg := &w.x.server.cfg
	if cfg.Dispatch.CanServe(&w.next) {
		w.retry, _ = cfg.Budget.AllowRetry(w.next.Service, cfg.HostCount())
	}
	if w.retry == nil {
		w.timer.Reset(stallCheckInterval)
		return
	}
	w.ended = true
	w.cancel()
}

// stop ends the watch and returns the retry that is allowed, nil if there is none.
func (w *stallWatch) stop() *dispatch.Retry {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.retry
}
