package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// seenSet holds the ids of recent records, to reject duplicates. It holds 64-bit
// hashes: at 300 records a second the window has 216,000 ids, and the chance
// that a new id collides with one of them is below 1 in 10^13.
type seenSet struct {
	hashes map[uint64]struct{}
	queue  []seenRecord // in log order
}

type seenRecord struct {
	hash uint64
	time int64 // log time in nanoseconds since 1970
}

func newSeenSet() seenSet {
	return seenSet{hashes: make(map[uint64]struct{})}
}

// add stores an id and reports whether it is new.
func (s *seenSet) add(id string, at time.Time) bool {
	h := xxhash.Sum64String(id)
	if _, ok := s.hashes[h]; ok {
		return false
	}
	s.hashes[h] = struct{}{}
	s.queue = append(s.queue, seenRecord{h, at.UnixNano()})
	return true
}

// expire removes the ids of records before a log time.
func (s *seenSet) expire(before time.Time) {
	limit, n := before.UnixNano(), 0
	for n < len(s.queue) && s.queue[n].time < limit {
		delete(s.hashes, s.queue[n].hash)
		n++
	}
	s.queue = s.queue[n:]
}
