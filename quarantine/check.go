package quarantine

import (
	"context"
	"sync"
	"time"
)

const (
	// maxChecks limits the broken answers that wait for a check, checkers those that are
	// checked at the same time.
	maxChecks = 64
	checkers  = 4
	// checkTimeout limits the connection of a check, checkValidity how long its result
	// counts for further broken answers of the endpoint.
	checkTimeout  = time.Second
	checkValidity = 500 * time.Millisecond
)

// check is a loss that counts if the endpoint can't be reached.
type check struct {
	address string
	loss    loss
}

// RunChecks looks into broken answers until ctx ends. An endpoint that breaks off single
// answers and goes on accepts connections; one that crashed does not, until it is back
// seconds later.
func (l *List) RunChecks(ctx context.Context) {
	var running sync.WaitGroup
	for range checkers {
		running.Go(func() { l.checkLoop(ctx) })
	}
	running.Wait()
}

func (l *List) checkLoop(ctx context.Context) {
	var last check
	var lastAt time.Duration
	reachable := false
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-l.checks:
			if now := l.cfg.Clock(); c.loss.start != last.loss.start || now-lastAt > checkValidity {
				reachable = l.reachable(ctx, c.address)
				last, lastAt = c, now
			}
			if !reachable {
				l.addLoss(c)
			}
		}
	}
}

func (l *List) reachable(ctx context.Context, address string) bool {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(checkTimeout))
	defer cancel()
	return l.cfg.Reachable(ctx, address)
}
