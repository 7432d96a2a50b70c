package quota

import (
	"math/rand/v2"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// maxPromise limits how far ahead callers are told to come back, in a queue of those that
	// were refused.
	maxPromise = 10 * time.Second
	// toleratedPart is the part of what may exceed a quota that its bucket grants: what is
	// refused below the quota is lost. The rest is for changes of owners and for what is granted
	// in one window and runs in the next.
	toleratedPart = 2.0 / 3
	// reserveParts and advanceParts divide that rest. Two hosts may grant a reserve at the same
	// time, an owner that has lost the planner and the one after it.
	reserveParts = 4
	advanceParts = 8
)

// bucket is a token bucket. Times are on Clock.
type bucket struct {
	limit
	id    int64 // identifies it among the buckets of all hosts
	level float64
	at    time.Duration // of level
	// raisedAt is when a higher capacity was last added to the level, zero if never.
	raisedAt time.Duration
	// promisedAt is when the last of the callers that were told to come back finds room.
	promisedAt time.Duration
}

// newBucket returns a bucket that has filled since a time.
func newBucket(l limit, since time.Duration) *bucket {
	return &bucket{limit: l, id: rand.Int64(), at: since}
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

// restOf returns what may exceed a quota within a window beyond what its bucket grants.
func restOf(q tamarackknot.Quota, t tolerance) float64 {
	return (1 - toleratedPart) * (t.excess*(q.PerSecond*t.window.Seconds()+q.Burst) + t.slack)
}

// reserveOf returns the limit of what a host grants that does not know whether another one
// grants too: within a window one of reserveParts of the rest.
func reserveOf(q tamarackknot.Quota, t tolerance) limit {
	if t.window <= 0 {
		return limitOf(q, t).part(reserveParts)
	}
	capacity := restOf(q, t) / reserveParts / 2
	return limit{capacity / t.window.Seconds(), capacity}
}

// advanceOf returns the limit of what an owner grants in advance.
func advanceOf(q tamarackknot.Quota, t tolerance) limit {
	if t.window <= 0 {
		return limitOf(q, t).part(advanceParts)
	}
	capacity := restOf(q, t) / advanceParts
	return limit{capacity, capacity}
}

// part returns an equal part of a limit.
func (l limit) part(n int) limit { return limit{l.perSecond / float64(n), l.capacity / float64(n)} }

// setLimit changes the limit. What a higher capacity adds counts at once, but only once within
// a window: hosts that have different versions of a quota may ask in turn.
func (b *bucket) setLimit(l limit, now, window time.Duration) {
	if l == b.limit {
		return
	}
	b.fill(now)
	if l.capacity > b.capacity && (b.raisedAt == 0 || now-b.raisedAt > window) {
		b.level += l.capacity - b.capacity
		b.raisedAt = now
	}
	b.limit = l
	b.level = min(b.level, l.capacity)
}

func (b *bucket) fill(now time.Duration) {
	b.level = min(b.capacity, b.level+b.perSecond*max(now-b.at, 0).Seconds())
	b.at = max(b.at, now)
}

// take takes the cost of a request if it is there. It returns whether it was, or when it may
// be; that is zero if it never will.
func (b *bucket) take(cost float64, now time.Duration) (taken bool, retryAt time.Duration) {
	b.fill(now)
	if cost <= b.level {
		b.level -= cost
		return true, 0
	}
	if cost > b.capacity || b.perSecond <= 0 {
		return false, 0
	}
	// Callers that come back at the same time would be refused again.
	missing := time.Duration((cost - b.level) / b.perSecond * float64(time.Second))
	next := b.promisedAt + time.Duration(cost/b.perSecond*float64(time.Second))
	retryAt = min(max(now+missing, next), now+max(missing, maxPromise))
	b.promisedAt = retryAt
	return false, retryAt
}

// takeUpTo takes as much of n as is there, but leaves a part of the capacity.
func (b *bucket) takeUpTo(n, leave float64, now time.Duration) float64 {
	b.fill(now)
	n = max(min(n, b.level-leave*b.capacity), 0)
	b.level -= n
	return n
}

// put gives back what was not used.
func (b *bucket) put(n float64, now time.Duration) {
	b.fill(now)
	b.level = min(b.capacity, b.level+n)
}
