package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot/dispatch"
)

// TestPauseDetails guards against a pause that is blamed on the endpoint although the caller
// was slow, and against the details of a shorter one.
func TestPauseDetails(t *testing.T) {
	const ms = time.Millisecond
	start := time.Now()
	x := &exchange{}
	for i, event := range []struct{ wait, write time.Duration }{{0, 5 * ms}, {20 * ms, 400 * ms}, {30 * ms, 2 * ms}, {300 * ms, 2 * ms}} {
		start = start.Add(event.wait)
		x.load = dispatch.EndpointLoad{Own: i}
		if i > 0 {
			x.recordGap(start)
		}
		x.lastEventAt = start
		start = start.Add(event.write)
		x.writtenAt = start
	}
	require.Equal(t, 430*ms, x.longestGap)
	require.Equal(t, pauseDetails{write: 400 * ms, read: 30 * ms, load: dispatch.EndpointLoad{Own: 2}}, x.pause)
}
