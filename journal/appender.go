package journal

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

// appendTimeout bounds one attempt, so that a lost request is repeated.
const appendTimeout = 3 * time.Second

// appender appends records with retries. While the log fails, all appends of
// the host share one attempt at a time and one backoff.
type appender struct {
	log     tamarackknot.Log
	metrics meters
	probe   chan struct{} // capacity 1; held for an attempt while failing

	mu        sync.Mutex
	failing   bool
	notBefore time.Time
	backoff   *backoff.ExponentialBackOff
}

func newAppender(l tamarackknot.Log, m meters) *appender {
	return &appender{log: l, metrics: m, probe: make(chan struct{}, 1), backoff: newBackOff()}
}

// append retries until ctx ends. The error wraps ErrNotAppended if no attempt
// can have had an effect, else ErrOutcomeUnknown.
func (a *appender) append(ctx context.Context, data []byte) error {
	result := tamarackknot.ErrNotAppended
	var last error
	for {
		release, err := a.turn(ctx)
		if err != nil {
			if last == nil {
				last = err
			}
			return fmt.Errorf("%w: %w", result, last)
		}
		last = a.attempt(ctx, data)
		release()
		if last == nil {
			return nil
		}
		if !errors.Is(last, tamarackknot.ErrNotAppended) {
			result = tamarackknot.ErrOutcomeUnknown
		}
	}
}

func (a *appender) attempt(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	a.metrics.appends.Inc(1)
	_, err := a.log.Append(ctx, data)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.failing = false
		a.backoff.Reset()
		return nil
	}
	a.metrics.appendErrors.Inc(1)
	// The end of the caller's context says nothing about the log.
	if !errors.Is(ctx.Err(), context.Canceled) {
		a.failing = true
		a.notBefore = time.Now().Add(a.backoff.NextBackOff())
	}
	return err
}

// turn waits until the next attempt may be made. The returned function ends
// the turn.
func (a *appender) turn(ctx context.Context) (func(), error) {
	if failing, _ := a.state(); !failing {
		return func() {}, ctx.Err()
	}
	select {
	case a.probe <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	release := func() { <-a.probe }
	failing, notBefore := a.state()
	if !failing {
		release()
		return func() {}, ctx.Err()
	}
	if err := pause(ctx, time.Until(notBefore)); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

func (a *appender) state() (failing bool, notBefore time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failing, a.notBefore
}
