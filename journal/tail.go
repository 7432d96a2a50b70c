package journal

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

// Bounds of the delay between requests to a log that fails. With the jitter of
// 50%, 9 hosts send it 1.8 reads a second in total (TestDownLogIsNotHammered).
const (
	firstDelay = 100 * time.Millisecond
	lastDelay  = 5 * time.Second
)

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstDelay, lastDelay
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

// tail reads the log, one page per request.
type tail struct {
	log     tamarackknot.Log
	from    chan readRequest // capacity 1
	pages   chan pageResult  // capacity 1
	backoff *backoff.ExponentialBackOff
}

func newTail(l tamarackknot.Log) *tail {
	return &tail{log: l, from: make(chan readRequest, 1), pages: make(chan pageResult, 1), backoff: newBackOff()}
}

func (t *tail) loop(ctx context.Context) {
	var delay time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-t.from:
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
	wait := time.Now()
	if r.wait {
		wait = wait.Add(pollTime)
	}
	page, err := t.log.Read(ctx, r.from, readLimit, wait)
	return pageResult{from: r.from, page: page, err: err}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) error {
	if !wait.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}
