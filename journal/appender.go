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

// appendTimeout limits one attempt, so that a lost request is retried.
const appendTimeout = 3 * time.Second

// appender appends records with retries. While appends fail, the host makes
// only one attempt at a time, with one backoff for all records.
type appender struct {
	log       tamarackknot.Log
	metrics   journalMetrics
	retrySlot chan struct{} // capacity 1; filled during an attempt while failing

	mu        sync.Mutex
	failing   bool
	notBefore time.Time
	backoff   *backoff.ExponentialBackOff
}

func newAppender(l tamarackknot.Log, m journalMetrics) *appender {
	return &appender{log: l, metrics: m, retrySlot: make(chan struct{}, 1), backoff: newBackOff()}
}

// append retries until ctx ends. The error wraps ErrNotAppended if no attempt
// can have appended the record, else ErrOutcomeUnknown.
func (a *appender) append(ctx context.Context, data []byte) error {
	result := tamarackknot.ErrNotAppended
	var lastErr error
	for {
		release, err := a.acquire(ctx)
		if err != nil {
			if lastErr == nil {
				lastErr = err
			}
			return fmt.Errorf("%w: %w", result, lastErr)
		}
		lastErr = a.attempt(ctx, data)
		release()
		if lastErr == nil {
			return nil
		}
		if !errors.Is(lastErr, tamarackknot.ErrNotAppended) {
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
	// A cancellation by the caller is no failure of the log.
	if !errors.Is(ctx.Err(), context.Canceled) {
		a.failing = true
		a.notBefore = time.Now().Add(a.backoff.NextBackOff())
	}
	return err
}

// acquire waits until the next attempt may be made. The caller must call the
// returned function after the attempt.
func (a *appender) acquire(ctx context.Context) (func(), error) {
	if failing, _ := a.state(); !failing {
		return func() {}, ctx.Err()
	}
	select {
	case a.retrySlot <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	release := func() { <-a.retrySlot }
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
