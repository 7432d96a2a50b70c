package quota

import (
	"time"

	"tamarackknot.example/tamarackknot"
)

// maxPromise limits how far ahead callers are told to come back, in a queue of those that were
// refused.
const maxPromise = 10 * time.Second

// toleratedPart is the part of what may exceed a quota that its bucket grants: what is refused
// below the quota is lost. The rest is for changes of owners.
const toleratedPart = 2.0 / 3

// bucket is the token bucket of a workspace. Times are on Clock.
type bucket struct {
	limit
	level float64
	at    time.Duration // of level
	// promisedAt is when the last of the callers that were told to come back finds room.
	promisedAt time.Duration
}

// newBucket returns a bucket that has filled since a time.
func newBucket(l limit, since time.Duration) *bucket {
	b := &bucket{at: since}
	b.setLimit(l)
	return b
}

// limit is the rate at which a bucket fills, and how much it holds.
type limit struct{ perSecond, capacity float64 }

// tolerance is by how much a quota may be exceeded within a window: by a fraction of what it
// allows then, and by a constant.
type tolerance struct {
	window time.Duration
	excess float64
	slack  float64
}

// limitOf returns the limit of the bucket that holds a quota. Within each window the bucket
// grants what the quota allows then, its rate and one burst, and toleratedPart of what may
// exceed that. It holds half of a burst; the rest comes with its rate, so that a workspace
// that uses all of its quota gets it evenly.
func limitOf(q tamarackknot.Quota, t tolerance) limit {
	if t.window <= 0 {
		return limit{q.PerSecond, q.Burst}
	}
	seconds := t.window.Seconds()
	allowed := (q.PerSecond*seconds+q.Burst)*(1+toleratedPart*t.excess) + toleratedPart*t.slack
	capacity := q.Burst/2 + toleratedPart*t.slack
	return limit{(allowed - capacity) / seconds, capacity}
}

// part returns an equal part of a limit.
func (l limit) part(n int) limit { return limit{l.perSecond / float64(n), l.capacity / float64(n)} }

// setLimit changes the limit. What a higher capacity adds counts at once.
func (b *bucket) setLimit(l limit) {
	if l == b.limit {
		return
	}
	if b.capacity > 0 && l.capacity > b.capacity {
		b.level += l.capacity - b.capacity
	}
	b.limit = l
	b.level = min(b.level, l.capacity)
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
