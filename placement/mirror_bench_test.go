package placement

import (
	"fmt"
	"testing"
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/journaltest"
)

// BenchmarkMirror measures a sync after one replica changed.
func BenchmarkMirror(b *testing.B) {
	for _, endpoints := range []int{69, 690, 6900} {
		b.Run(fmt.Sprint("endpoints=", endpoints), func(b *testing.B) {
			store := journaltest.NewStore()
			list := []*tamarackknot.Resource{{
				Kind: tamarackknot.KindModel, Metadata: tamarackknot.Metadata{Name: "m"}, Model: &tamarackknot.ModelSpec{},
			}}
			for i := range endpoints {
				list = append(list, &tamarackknot.Resource{
					Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: fmt.Sprintf("e%d", i)},
					Endpoint: &tamarackknot.EndpointSpec{Deployment: "d"},
				})
			}
			store.Apply(list...)
			for i := range endpoints {
				store.SetReplica("m", fmt.Sprintf("e%d", i), tamarackknot.ReplicaLoaded)
			}
			c := &Controller{
				cfg: Config{Journal: &journaltest.Journal{Store: store}}, mirror: newMirror(),
				planners: map[string]*planner{"other": newPlanner("other", PolicyConfig{})},
			}
			c.sync(time.Now())
			states := []tamarackknot.ReplicaState{tamarackknot.ReplicaUnloading, tamarackknot.ReplicaLoaded}
			var spent time.Duration
			for i := range b.N {
				store.SetReplica("m", "e0", states[i%2])
				c.mirror.stale, c.mirror.nextSyncAt = true, time.Time{}
				began := time.Now()
				c.sync(began)
				spent += time.Since(began)
			}
			b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N), "ns/pass")
		})
	}
}
