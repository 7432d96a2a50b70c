package journal

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	keyBatchesPerSecond = 20 // all hosts share several hundred appends a second
	maxKeyBatch         = 256
	keyBatchTimeout     = 5 * time.Second
)

// keyBatcher combines queued claims, or queued releases, of keys into one
// record. One batch is in flight at a time.
type keyBatcher struct {
	j       *Journal
	limiter *rate.Limiter
	wake    chan struct{} // capacity 1

	mu    sync.Mutex
	queue []*keyItem
}

type keyItem struct {
	claim tamarackknot.KeyClaim
	free  bool
	done  chan keyResult // capacity 1
	// batched says that the item is in a batch, abandoned that its caller no
	// longer waits. Both are guarded by keyBatcher.mu.
	batched   bool
	abandoned bool
}

type keyResult struct {
	outcome tamarackknot.KeyOutcome
	err     error
}

func newKeyBatcher(j *Journal) *keyBatcher {
	return &keyBatcher{j: j, limiter: rate.NewLimiter(keyBatchesPerSecond, 1), wake: make(chan struct{}, 1)}
}

// do queues one claim or release and waits for its result.
func (b *keyBatcher) do(ctx context.Context, c tamarackknot.KeyClaim, free bool) (tamarackknot.KeyOutcome, error) {
	if err := b.j.admit(); err != nil {
		return tamarackknot.KeyOutcome{}, err
	}
	item := &keyItem{claim: c, free: free, done: make(chan keyResult, 1)}
	b.mu.Lock()
	b.queue = append(b.queue, item)
	b.mu.Unlock()
	wait.Wake(b.wake)
	var cause error
	select {
	case r := <-item.done:
		return r.outcome, r.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-b.j.ctx.Done():
		cause = b.j.ctx.Err()
	}
	b.mu.Lock()
	item.abandoned = true
	batched := item.batched
	b.mu.Unlock()
	if batched {
		return tamarackknot.KeyOutcome{}, fmt.Errorf("%w: %w", tamarackknot.ErrOutcomeUnknown, cause)
	}
	return tamarackknot.KeyOutcome{}, fmt.Errorf("%w: %w", tamarackknot.ErrNotAppended, cause)
}

func (b *keyBatcher) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		for {
			if b.limiter.Wait(ctx) != nil {
				return
			}
			items := b.nextBatch()
			if len(items) == 0 {
				break
			}
			b.propose(ctx, items)
		}
	}
}

// nextBatch removes the leading claims, or the leading releases, from the
// queue, at most maxKeyBatch. It drops abandoned items.
func (b *keyBatcher) nextBatch() []*keyItem {
	b.mu.Lock()
	defer b.mu.Unlock()
	var items []*keyItem
	for len(b.queue) > 0 && len(items) < maxKeyBatch {
		next := b.queue[0]
		if len(items) > 0 && next.free != items[0].free {
			break
		}
		b.queue[0] = nil
		b.queue = b.queue[1:]
		if !next.abandoned {
			next.batched = true
			items = append(items, next)
		}
	}
	return items
}

func (b *keyBatcher) propose(ctx context.Context, items []*keyItem) {
	ctx, cancel := context.WithTimeout(ctx, keyBatchTimeout)
	defer cancel()
	batch := &tamarackknot.KeyBatch{}
	for _, item := range items {
		batch.Claims = append(batch.Claims, item.claim)
	}
	change := tamarackknot.Change{Keys: batch}
	if items[0].free {
		change = tamarackknot.Change{KeysFree: batch}
	}
	out, err := b.j.Propose(ctx, change)
	if err == nil && len(out.Keys) != len(items) {
		err = fmt.Errorf("%w: batch of %d keys has %d outcomes: %s", tamarackknot.ErrNotAppended, len(items), len(out.Keys), out.Detail)
	}
	for i, item := range items {
		r := keyResult{err: err}
		if err == nil {
			r.outcome = out.Keys[i]
		}
		item.done <- r
	}
}
