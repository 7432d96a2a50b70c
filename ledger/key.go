package ledger

import (
	"container/heap"
	"crypto/sha256"
	"slices"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"

	"tamarackknot.example/tamarackknot"
)

// maxKeyLength bounds keys and digests in bytes; both are hashes in hex.
const maxKeyLength = 128

// keyID is the first 128 bits of the SHA-256 of a key, enough that a caller
// cannot construct a collision.
type keyID [16]byte

// keyEntry is the state of a claimed or freed key.
type keyEntry struct {
	digest  uint64 // xxhash of the digest of the request
	owner   unique.Handle[tamarackknot.Process]
	created int64 // nanoseconds since 1970
	// claimed is the record time of the claim, in nanoseconds since 1970.
	claimed int64
	// freed is the offset of the record that freed the key, 0 while it is held.
	freed   tamarackknot.Offset
	expires int64 // seconds since 1970, rounded up
}

// keySet holds the claimed and freed keys, with buckets by the second in which
// they expire.
type keySet struct {
	entries       map[keyID]keyEntry
	buckets       map[int64][]keyID
	expirySeconds expiryHeap
}

func newKeySet() keySet {
	return keySet{entries: make(map[keyID]keyEntry), buckets: make(map[int64][]keyID)}
}

func (s *keySet) add(id keyID, e keyEntry) {
	old, known := s.entries[id]
	s.entries[id] = e
	if known && old.expires == e.expires {
		return
	}
	if _, ok := s.buckets[e.expires]; !ok {
		heap.Push(&s.expirySeconds, e.expires)
	}
	s.buckets[e.expires] = append(s.buckets[e.expires], id)
}

// expire removes the keys that expired before now.
func (s *keySet) expire(now time.Time) {
	for len(s.expirySeconds) > 0 && s.expirySeconds[0] < now.Unix() {
		sec := heap.Pop(&s.expirySeconds).(int64)
		for _, id := range s.buckets[sec] {
			// A key that was freed and claimed again may have moved to a later bucket.
			if e, ok := s.entries[id]; ok && e.expires == sec {
				delete(s.entries, id)
			}
		}
		delete(s.buckets, sec)
	}
}

// expiryHeap is a min-heap of the seconds that have a bucket.
type expiryHeap []int64

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(int64)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// keyExpiry returns the second, rounded up, after which a key is dropped. By
// then it is too old to be claimed, so it cannot be accepted a second time.
func (l *Ledger) keyExpiry(created time.Time) int64 {
	return created.Add(l.cfg.KeyMaxAge+l.cfg.KeyGrace).Unix() + 1
}

func newKeyID(key string) keyID {
	sum := sha256.Sum256([]byte(key))
	return keyID(sum[:len(keyID{})])
}

func (l *Ledger) claimKeys(rec *tamarackknot.Record, out tamarackknot.Outcome) tamarackknot.Outcome {
	out.Keys = make([]tamarackknot.KeyOutcome, len(rec.Keys.Claims))
	for i, c := range rec.Keys.Claims {
		out.Keys[i] = l.claimKey(rec, c)
	}
	return accept(out)
}

func (l *Ledger) claimKey(rec *tamarackknot.Record, c tamarackknot.KeyClaim) tamarackknot.KeyOutcome {
	if c.Key == "" || len(c.Key) > maxKeyLength || len(c.Digest) > maxKeyLength {
		return tamarackknot.KeyOutcome{Reason: tamarackknot.ReasonInvalid}
	}
	id, digest := newKeyID(c.Key), xxhash.Sum64String(c.Digest)
	e, known := l.keys.entries[id]
	switch {
	case !known:
	case e.digest != digest:
		return tamarackknot.KeyOutcome{Reason: tamarackknot.ReasonInvalid, Owner: e.owner.Value()}
	case e.freed == 0:
		return tamarackknot.KeyOutcome{Reason: tamarackknot.ReasonConflict, Owner: e.owner.Value()}
	case c.Seen < e.freed:
		return tamarackknot.KeyOutcome{Reason: tamarackknot.ReasonConflict}
	}
	if l.time.After(c.Created.Add(l.cfg.KeyMaxAge)) {
		return tamarackknot.KeyOutcome{Reason: tamarackknot.ReasonExpired}
	}
	if c.Created.After(rec.Time.Add(maxKeyClockSkew)) {
		return tamarackknot.KeyOutcome{Reason: tamarackknot.ReasonInvalid}
	}
	owner := tamarackknot.Process{Host: rec.Host, Incarnation: rec.Incarnation}
	l.keys.add(id, keyEntry{
		digest: digest, owner: unique.Make(owner),
		// If an earlier claim had a later creation time, the key must be known
		// until that one expires.
		created: max(c.Created.UnixNano(), e.created), claimed: rec.Time.UnixNano(),
		expires: max(l.keyExpiry(c.Created), e.expires),
	})
	return tamarackknot.KeyOutcome{Accepted: true, Owner: owner}
}

func (l *Ledger) freeKeys(rec *tamarackknot.Record, out tamarackknot.Outcome) tamarackknot.Outcome {
	out.Keys = make([]tamarackknot.KeyOutcome, len(rec.KeysFree.Claims))
	owner := unique.Make(tamarackknot.Process{Host: rec.Host, Incarnation: rec.Incarnation})
	for i, c := range rec.KeysFree.Claims {
		id := newKeyID(c.Key)
		e, ok := l.keys.entries[id]
		switch {
		case !ok || e.freed > 0:
			out.Keys[i].Reason = tamarackknot.ReasonNotFound
		// A delayed duplicate of an earlier record must not free a later claim of
		// the same process.
		case e.owner != owner || rec.Time.UnixNano() < e.claimed:
			out.Keys[i].Reason, out.Keys[i].Owner = tamarackknot.ReasonConflict, e.owner.Value()
		default:
			e.freed = out.Offset
			l.keys.entries[id] = e
			out.Keys[i].Accepted, out.Keys[i].Owner = true, e.owner.Value()
		}
	}
	return accept(out)
}

// sortedIDs returns the ids of all keys in ascending order, which is the same
// on every host.
func (s *keySet) sortedIDs() []keyID {
	ids := make([]keyID, 0, len(s.entries))
	for id := range s.entries {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b keyID) int { return slices.Compare(a[:], b[:]) })
	return ids
}
