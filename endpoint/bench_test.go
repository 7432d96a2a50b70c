package endpoint

import (
	"fmt"
	"testing"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/journaltest"
)

// BenchmarkSync measures the update of the table after a change of one endpoint.
func BenchmarkSync(b *testing.B) {
	for _, endpoints := range []int{69, 690, 6900} {
		b.Run(fmt.Sprint("endpoints=", endpoints), func(b *testing.B) {
			store := journaltest.NewStore()
			res := func(i int) *tamarackknot.Resource {
				return &tamarackknot.Resource{
					Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: fmt.Sprintf("e%d", i)},
					Endpoint: &tamarackknot.EndpointSpec{Slots: 4},
				}
			}
			for i := range endpoints {
				store.Apply(res(i))
			}
			j := &journaltest.Journal{Store: store}
			t := New(Config{Journal: j})
			j.Read(t.sync)
			for b.Loop() {
				b.StopTimer()
				store.Apply(res(0))
				j.Read(func(tamarackknot.State) {}) // sorts the resources outside of the measured time
				b.StartTimer()
				j.Read(t.sync)
			}
		})
	}
}
