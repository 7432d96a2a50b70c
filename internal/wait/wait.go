// Package wait pauses goroutines and wakes them.
package wait

import (
	"context"
	"time"
)

// For waits for a time and reports whether it has passed before ctx ended.
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

// Wake sends to a channel with room for one element, unless one is there that
// its reader has not taken yet.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
