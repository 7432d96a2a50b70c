package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"tamarackknot.example/tamarackknot"
)

// sizes returns the adapters and replicas of the present deployments, of a tenth
// of the target size and of the target size.
func sizes() map[string][2]int {
	return map[string][2]int{
		"adapters=90/replicas=20": {90, 20}, "adapters=3500/replicas=690": {3500, 690}, "adapters=35000/replicas=6900": {35000, 6900},
	}
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, l *Ledger, adapters, replicas int)) {
	b.Helper()
	for name, size := range sizes() {
		l := New(Config{})
		populate(b, l, size[0], size[1]+1, size[1])
		b.Run(name, func(b *testing.B) {
			run(b, l, size[0], size[1])
		})
	}
}

// apply applies n records and reports ns/record without the time to encode them.
func apply(b *testing.B, l *Ledger, n int, change func(i int) tamarackknot.Change) {
	b.Helper()
	at := l.Time()
	var elapsed time.Duration
	for i := range n {
		// At 100 records a second the window holds 72,000 record ids.
		at = at.Add(10 * time.Millisecond)
		data := encodeRecord(b, fmt.Sprint("bench", l.Applied()), at, change(i))
		start := time.Now()
		_, out := l.Apply(l.Applied()+1, data)
		elapsed += time.Since(start)
		if !out.Accepted {
			b.Fatalf("%+v", out)
		}
	}
	b.ReportMetric(float64(elapsed.Nanoseconds())/float64(n), "ns/record")
}

func BenchmarkApplyConfiguration(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, l *Ledger, adapters, _ int) {
		b.Helper()
		apply(b, l, b.N, func(i int) tamarackknot.Change {
			name := fmt.Sprintf("adapter-%05d", i%adapters)
			r, _ := l.Resource(tamarackknot.KindAdapter, name)
			next := *r
			spec := *r.Adapter
			spec.Version = fmt.Sprint("v", i%10)
			next.Adapter = &spec
			return tamarackknot.Change{Apply: &tamarackknot.Apply{Resource: next, BasedOn: r.Metadata.Revision}}
		})
	})
}

// BenchmarkApplyClaim measures a claim and its release.
func BenchmarkApplyClaim(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, l *Ledger, _, replicas int) {
		b.Helper()
		e := fmt.Sprintf("endpoint-%05d", replicas)
		apply(b, l, b.N*2, func(i int) tamarackknot.Change {
			if i%2 == 0 {
				return tamarackknot.Change{Claim: &tamarackknot.Claim{Target: "model-00", Endpoint: e, Basis: l.Basis("model-00")}}
			}
			return tamarackknot.Change{Release: &tamarackknot.ReplicaChange{Target: "model-00", Endpoint: e, Fence: l.Applied()}}
		})
	})
}

func BenchmarkApplyKeyBatch(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, l *Ledger, _, _ int) {
		b.Helper()
		apply(b, l, b.N, func(i int) tamarackknot.Change { return keyBatch(l, i, 20) })
		b.ReportMetric(float64(l.KeyCount()), "keys")
	})
}

func keyBatch(l *Ledger, batch, n int) tamarackknot.Change {
	keys := &tamarackknot.KeyBatch{}
	for k := range n {
		keys.Claims = append(keys.Claims, tamarackknot.KeyClaim{
			Key: fmt.Sprintf("%064x", int(l.Applied())<<20+batch*n+k), Digest: fmt.Sprintf("%064x", k), Created: l.Time(),
		})
	}
	return tamarackknot.Change{Keys: keys}
}

func BenchmarkSnapshotEncode(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, l *Ledger, _, _ int) {
		b.Helper()
		size, chunks := 0, 0
		for b.Loop() {
			data, err := l.Encode()
			if err != nil {
				b.Fatal(err)
			}
			size, chunks = 0, len(data)
			for _, c := range data {
				size += len(c)
			}
		}
		b.ReportMetric(float64(size), "snapshot-bytes")
		b.ReportMetric(float64(chunks), "chunks")
	})
}

// BenchmarkSnapshotCopy measures how long a snapshot blocks the ledger.
func BenchmarkSnapshotCopy(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, l *Ledger, adapters, _ int) {
		b.Helper()
		for b.Loop() {
			// A changed resource invalidates the shared view of the sorted list.
			name := fmt.Sprintf("adapter-%05d", adapters-1)
			l.resources[tamarackknot.KindAdapter].set(l.resources[tamarackknot.KindAdapter].byName[name])
			l.Copy()
		}
	})
}

// BenchmarkApplySnapshotChunk measures the cost of applying a chunk, which a
// host pays even if it does not need the snapshot.
func BenchmarkApplySnapshotChunk(b *testing.B) {
	l := New(Config{})
	populate(b, l, 1, 1, 0)
	b.ReportAllocs()
	data := make([]byte, ChunkSize)
	apply(b, l, b.N, func(i int) tamarackknot.Change {
		return tamarackknot.Change{Snapshot: &tamarackknot.SnapshotChunk{SnapshotID: fmt.Sprint(i), Count: 1, Covers: 1, Data: data}}
	})
}

func BenchmarkSnapshotRestore(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, l *Ledger, _, _ int) {
		b.Helper()
		data, err := l.Encode()
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if _, err := Restore(Config{}, data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkStateBytes reports the heap bytes per adapter, endpoint, replica and
// key, without the window of record ids.
func BenchmarkStateBytes(b *testing.B) {
	for name, size := range sizes() {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				empty := stateBytes(b, 0, 0, 0)
				b.ReportMetric((stateBytes(b, size[0], 0, 0)-empty)/float64(size[0]), "B/adapter")
				endpoints := stateBytes(b, 0, size[1], 0)
				b.ReportMetric((endpoints-empty)/float64(size[1]), "B/endpoint")
				b.ReportMetric((stateBytes(b, 0, size[1], size[1])-endpoints)/float64(size[1]), "B/replica")
				l := New(Config{})
				before := heapBytes()
				for i := range size[0] / 10 {
					l.claimKeys(&tamarackknot.Record{Host: "h", Incarnation: "1", Time: time.Unix(0, 0), Change: keyBatch(l, i, 10)}, tamarackknot.Outcome{})
				}
				b.ReportMetric((heapBytes()-before)/float64(l.KeyCount()), "B/key")
				runtime.KeepAlive(l)
			}
		})
	}
}

// stateBytes returns the heap bytes of a ledger without its record ids.
func stateBytes(b *testing.B, adapters, endpoints, replicas int) float64 {
	b.Helper()
	before := heapBytes()
	l := New(Config{})
	populate(b, l, adapters, endpoints, replicas)
	l.seen = newSeenSet()
	used := heapBytes() - before
	runtime.KeepAlive(l)
	return used
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
