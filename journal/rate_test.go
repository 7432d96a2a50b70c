package journal

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// feed applies records to a journal without a log and counts their bytes and
// number.
type feed struct {
	t                *testing.T
	j                *Journal
	bytes            int
	sinceSnapshot    int // records since the last snapshot
	maxSinceSnapshot int // maximum of sinceSnapshot
}

func (f *feed) add(c tamarackknot.Change) {
	data, err := json.Marshal(f.j.record(c))
	require.NoError(f.t, err)
	f.bytes += len(data)
	f.sinceSnapshot++
	f.maxSinceSnapshot = max(f.maxSinceSnapshot, f.sinceSnapshot)
	f.j.applyRecords([]tamarackknot.LogRecord{{Offset: f.j.ledger.Applied() + 1, Data: data}})
}

// snapshot adds a snapshot of the state and returns its size in the log.
func (f *feed) snapshot() int {
	before := f.bytes
	covers := f.j.ledger.Applied()
	chunks, err := f.j.ledger.Encode()
	require.NoError(f.t, err)
	id := fmt.Sprint("s", covers)
	for i, data := range chunks {
		f.add(tamarackknot.Change{Snapshot: &tamarackknot.SnapshotChunk{
			SnapshotID: id, Index: i, Count: len(chunks), Covers: covers, Data: data,
		}})
	}
	require.Equal(f.t, id, f.j.ledger.Snapshot().ID)
	f.sinceSnapshot = 0
	return f.bytes - before
}

func (f *feed) apply(r tamarackknot.Resource) {
	old, ok := f.j.ledger.Resource(r.Kind, r.Metadata.Name)
	if !ok {
		f.add(apply(r, 0))
		return
	}
	f.add(apply(r, old.Metadata.Revision))
}

func adapter(i int, version string) tamarackknot.Resource {
	return tamarackknot.Resource{
		Kind: tamarackknot.KindAdapter, Metadata: tamarackknot.Metadata{Name: fmt.Sprintf("adapter-%05d", i)},
		Adapter: &tamarackknot.AdapterSpec{Deployment: "d", Model: fmt.Sprintf("model-%02d", i%97), Version: version, MemoryMB: 10, MaxReplicas: 4},
	}
}

// addResources adds models, adapters, endpoints with one replica each, and one
// endpoint without a replica.
func (f *feed) addResources(adapters, endpoints int) {
	f.apply(deployment("d", 1))
	for i := range 97 {
		f.apply(tamarackknot.Resource{
			Kind: tamarackknot.KindModel, Metadata: tamarackknot.Metadata{Name: fmt.Sprintf("model-%02d", i)},
			Model: &tamarackknot.ModelSpec{Deployment: "d", Version: "v1", MemoryMB: 100, MaxReplicas: 100_000},
		})
	}
	for i := range adapters {
		f.apply(adapter(i, "v1"))
	}
	for i := range endpoints + 1 {
		name, target := fmt.Sprintf("endpoint-%05d", i), fmt.Sprintf("model-%02d", i%97)
		f.apply(tamarackknot.Resource{
			Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: name},
			Endpoint: &tamarackknot.EndpointSpec{
				Deployment: "d", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), FailureDomain: "f", MemoryMB: 1000, Slots: 4,
			},
		})
		if i < endpoints {
			f.add(tamarackknot.Change{Claim: &tamarackknot.Claim{Target: target, Endpoint: name, Basis: f.j.ledger.Basis(target)}})
		}
	}
}

// loadReplica adds the claim, the load and the release of a replica.
func (f *feed) loadReplica(endpoint string) {
	f.add(tamarackknot.Change{Claim: &tamarackknot.Claim{Target: "model-00", Endpoint: endpoint, Basis: f.j.ledger.Basis("model-00")}})
	c := &tamarackknot.ReplicaChange{Target: "model-00", Endpoint: endpoint, Fence: f.j.ledger.Applied()}
	f.add(tamarackknot.Change{Loaded: c})
	f.add(tamarackknot.Change{Release: c})
	require.Empty(f.t, f.j.ledger.EndpointReplicas(endpoint))
}

// TestSnapshotRate guards against snapshots that use more of the 8 KB/s for
// control traffic than the records do, and against so many records after the
// last snapshot that a host starts slowly. It applies the records of 2 h: 20,000
// configuration changes a day and 3 loads a second with 3 records each.
func TestSnapshotRate(t *testing.T) {
	const duration, limit = 2 * time.Hour, 4500
	for name, tt := range map[string]struct {
		adapters, endpoints int
		retention           time.Duration
	}{
		"9 hosts":                   {adapters: 190, endpoints: 20, retention: time.Hour},
		"100 hosts":                 {adapters: 4500, endpoints: 890, retention: time.Hour},
		"770 hosts":                 {adapters: 35_000, endpoints: 6900, retention: time.Hour},
		"770 hosts, long retention": {adapters: 35_000, endpoints: 6900, retention: 24 * time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &feed{t: t, j: New(Config{
					Host: "entry-000", Incarnation: "0190a6f0-0000-7000-8000-000000000000",
					Retention: tt.retention,
				})}
				f.j.startTime = time.Now()
				f.addResources(tt.adapters, tt.endpoints)
				f.snapshot()
				f.bytes, f.maxSinceSnapshot = 0, 0
				end, snapshots, size, changed := time.Now().Add(duration), 0, 0, 0
				for i := 0; time.Now().Before(end); i++ {
					time.Sleep(time.Second / 3)
					f.loadReplica(fmt.Sprintf("endpoint-%05d", tt.endpoints))
					if i%13 == 0 { // 20,000 a day
						f.apply(adapter(changed%tt.adapters, fmt.Sprint("v", i)))
						changed++
					}
					if f.j.needsSnapshot(time.Now()) {
						size += f.snapshot()
						snapshots++
					}
				}
				rate := f.bytes / int(duration.Seconds())
				require.NotZero(t, snapshots)
				t.Logf("%d adapters, %d endpoints, retention %s: %d B/s, of which %d B/s in %d snapshots of %d bytes; up to %d records between snapshots",
					tt.adapters, tt.endpoints, tt.retention, rate, size/int(duration.Seconds()), snapshots, size/snapshots, f.maxSinceSnapshot)
				require.Less(t, rate, limit)
				require.Less(t, f.maxSinceSnapshot, initialScanRecords)
			})
		})
	}
}
