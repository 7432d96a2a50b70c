package journal

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

// Limits of the backoff between requests to a failing log. With a jitter of
// 50%, 9 hosts send 1.8 reads a second in total (TestDownLogRequestRate).
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRetryDelay, maxRetryDelay
	return b
}

type readRequest struct {
	from tamarackknot.Offset
	wait bool // long poll
}

type pageResult struct {
	from tamarackknot.Offset
	page tamarackknot.LogPage
	err  error
}

// tail reads pages of the log on request, with backoff after errors.
type tail struct {
	log      tamarackknot.Log
	requests chan readRequest // capacity 1
	pages    chan pageResult  // capacity 1
	backoff  *backoff.ExponentialBackOff
}

func newTail(l tamarackknot.Log) *tail {
	return &tail{log: l, requests: make(chan readRequest, 1), pages: make(chan pageResult, 1), backoff: newBackOff()}
}

func (t *tail) loop(ctx context.Context) {
	var delay time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-t.requests:
			if pause(ctx, delay) != nil {
				return
			}
			p := t.read(ctx, r)
			if delay = 0; p.err != nil {
				delay = t.backoff.NextBackOff()
			} else {
				t.backoff.Reset()
			}
			t.pages <- p
		}
	}
}

func (t *tail) read(ctx context.Context, r readRequest) pageResult {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	waitUntil := time.Now()
	if r.wait {
		waitUntil = waitUntil.Add(longPollTimeout)
	}
	page, err := t.log.Read(ctx, r.from, maxPageRecords, waitUntil)
	return pageResult{from: r.from, page: page, err: err}
}

// pause waits for d. It returns the error of ctx if that ends first.
func pause(ctx context.Context, d time.Duration) error {
	if !wait.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}
