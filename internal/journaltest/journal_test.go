package journaltest

import (
	"runtime"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"tamarackknot.example/tamarackknot"
)

// TestReadDuringApply guards against a state that names a change but not the resources of
// its kind.
func TestReadDuringApply(t *testing.T) {
	s := NewStore()
	j := &Journal{Store: s}
	const resources, readers = 500, 4
	var running sync.WaitGroup
	for range readers {
		running.Go(func() {
			for read, listed := 0, 0; read < resources; {
				j.Read(func(state tamarackknot.State) {
					read, listed = int(state.Applied()), len(state.Resources(tamarackknot.KindModel))
				})
				if !assert.Equal(t, read, listed) {
					return
				}
			}
		})
	}
	for i := range resources {
		s.Apply(&tamarackknot.Resource{Kind: tamarackknot.KindModel, Metadata: tamarackknot.Metadata{Name: strconv.Itoa(i)}, Model: &tamarackknot.ModelSpec{}})
		runtime.Gosched()
	}
	running.Wait()
}
