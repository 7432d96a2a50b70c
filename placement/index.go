package placement

import (
	"container/heap"
	"math/bits"
	"sort"
	"time"
)

const freeBuckets = 40

// domain indexes the usable endpoints of a failure domain by free memory. The
// bucket of an endpoint is the bit length of its free MB.
type domain struct {
	name    string
	buckets [freeBuckets][]*endpoint
}

func (p *Policy) domain(name string) *domain {
	i := sort.Search(len(p.domains), func(i int) bool { return p.domains[i].name >= name })
	if i < len(p.domains) && p.domains[i].name == name {
		return p.domains[i]
	}
	d := &domain{name: name}
	p.domains = append(p.domains, nil)
	copy(p.domains[i+1:], p.domains[i:])
	p.domains[i] = d
	return d
}

func freeBucket(mb int64) int {
	if mb <= 0 {
		return 0
	}
	return min(freeBuckets-1, bits.Len64(uint64(mb)))
}

func (p *Policy) unindex(e *endpoint) {
	if e.bucket < 0 {
		return
	}
	b := e.domain.buckets[e.bucket]
	last := b[len(b)-1]
	b[e.bucketIndex], last.bucketIndex = last, e.bucketIndex
	e.domain.buckets[e.bucket] = b[:len(b)-1]
	e.bucket = -1
}

// reindex moves an endpoint to the bucket of its free memory.
func (p *Policy) reindex(e *endpoint) {
	if !e.usable || e.domain == nil {
		p.unindex(e)
		return
	}
	b := freeBucket(e.freeMB())
	if b == e.bucket {
		return
	}
	p.unindex(e)
	e.bucket, e.bucketIndex = b, len(e.domain.buckets[b])
	e.domain.buckets[b] = append(e.domain.buckets[b], e)
}

// eachWithFree calls fn with up to n endpoints of a domain that have at least
// mb free, in ascending order of their buckets.
func (d *domain) eachWithFree(mb int64, n int, fn func(*endpoint)) {
	for b := freeBucket(mb); b < freeBuckets && n > 0; b++ {
		// Bounds the scan of the first bucket, which also holds endpoints with
		// too little free memory.
		for _, e := range d.buckets[b][:min(len(d.buckets[b]), 8*n)] {
			if n > 0 && e.freeMB() >= mb {
				n--
				fn(e)
			}
		}
	}
}

// replicaHeap is a min-heap of loaded replicas by the time of their next idle
// check.
type replicaHeap []*replica

func (h replicaHeap) Len() int           { return len(h) }
func (h replicaHeap) Less(i, j int) bool { return h[i].idleCheckAt.Before(h[j].idleCheckAt) }
func (h replicaHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *replicaHeap) Push(x any) {
	r := x.(*replica)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *replicaHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.heapIndex = -1
	return r
}

func (h *replicaHeap) remove(r *replica) {
	if r.heapIndex >= 0 {
		heap.Remove(h, r.heapIndex)
	}
}

func (h *replicaHeap) schedule(r *replica, at time.Time) {
	r.idleCheckAt = at
	if r.heapIndex >= 0 {
		heap.Fix(h, r.heapIndex)
		return
	}
	heap.Push(h, r)
}

// eachEarliest calls fn with the n replicas whose idle checks are due first.
func (h replicaHeap) eachEarliest(n int, fn func(*replica)) {
	if len(h) == 0 {
		return
	}
	next := indexHeap{h: h, idx: []int{0}}
	for ; n > 0 && len(next.idx) > 0; n-- {
		i := heap.Pop(&next).(int)
		fn(h[i])
		for _, c := range []int{2*i + 1, 2*i + 2} {
			if c < len(h) {
				heap.Push(&next, c)
			}
		}
	}
}

// indexHeap is a min-heap of positions in a replicaHeap.
type indexHeap struct {
	h   replicaHeap
	idx []int
}

func (x indexHeap) Len() int           { return len(x.idx) }
func (x indexHeap) Less(i, j int) bool { return x.h.Less(x.idx[i], x.idx[j]) }
func (x indexHeap) Swap(i, j int)      { x.idx[i], x.idx[j] = x.idx[j], x.idx[i] }

// Push implements heap.Interface.
func (x *indexHeap) Push(v any) { x.idx = append(x.idx, v.(int)) }

// Pop implements heap.Interface.
func (x *indexHeap) Pop() any {
	v := x.idx[len(x.idx)-1]
	x.idx = x.idx[:len(x.idx)-1]
	return v
}
