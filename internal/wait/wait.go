// Package wait provides helpers to pause and wake goroutines.
package wait

import (
	"context"
	"time"
)

// For waits for the duration d and reports whether it elapsed before ctx ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Wake sends to a channel with a buffer of one element, without blocking: if the
// buffer is full, the reader already has a pending wake-up.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
