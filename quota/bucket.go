package quota

import (
	"time"

	"tamarackknot.example/tamarackknot"
)

// maxPromise limits how far ahead callers are told to come back, in a queue of those that were
// refused.
const maxPromise = 10 * time.Second

// bucket is the token bucket of a workspace. Times are on Clock.
type bucket struct {
	perSecond, capacity float64
	level               float64
	at                  time.Duration // of level
	// promisedAt is when the last of the callers that were told to come back finds room.
	promisedAt time.Duration
}

// newBucket returns a bucket that has filled since a time.
func newBucket(q tamarackknot.Quota, slack float64, since time.Duration) *bucket {
	b := &bucket{at: since}
	b.setQuota(q, slack)
	return b
}

// setQuota changes the limit. What a higher burst adds counts at once.
func (b *bucket) setQuota(q tamarackknot.Quota, slack float64) {
	capacity := q.Burst + slack
	if capacity == b.capacity && q.PerSecond == b.perSecond {
		return
	}
	if b.capacity > 0 && capacity > b.capacity {
		b.level += capacity - b.capacity
	}
	b.perSecond, b.capacity = q.PerSecond, capacity
	b.level = min(b.level, capacity)
}

func (b *bucket) fill(now time.Duration) {
	b.level = min(b.capacity, b.level+b.perSecond*max(now-b.at, 0).Seconds())
	b.at = now
}

// take takes the cost of a request if it is there, and up to more of what is beyond half of
// the capacity. It returns what it took, or when the cost may be there; that is zero if it
// never will.
func (b *bucket) take(cost, more float64, now time.Duration) (taken float64, retryAt time.Duration) {
	b.fill(now)
	if cost <= b.level {
		taken = cost + max(min(more, b.level-cost-b.capacity/2), 0)
		b.level -= taken
		return taken, 0
	}
	if cost > b.capacity || b.perSecond <= 0 {
		return 0, 0
	}
	// Callers that come back at the same time would be refused again.
	missing := time.Duration((cost - b.level) / b.perSecond * float64(time.Second))
	next := b.promisedAt + time.Duration(cost/b.perSecond*float64(time.Second))
	retryAt = min(max(now+missing, next), now+max(missing, maxPromise))
	b.promisedAt = retryAt
	return 0, retryAt
}

// put gives back what was not used.
func (b *bucket) put(n float64, now time.Duration) {
	b.fill(now)
	b.level = min(b.capacity, b.level+n)
}
