package hosted

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// TestSampleByCPU guards against weak hosts that get as many callers as
// strong ones, and against samples without a host.
func TestSampleByCPU(t *testing.T) {
	hosts := []tamarackknot.HostEntry{
		{Name: "strong", FailureDomain: "z1", CPUCores: 0.8},
		{Name: "weak", FailureDomain: "z1", CPUCores: 0.2},
		{Name: "other", FailureDomain: "z2", CPUCores: 0.8},
	}
	const samples = 4000
	counts := make(map[string]int)
	for range samples {
		out := sampleByCPU(hosts, "z1")
		require.NotEmpty(t, out)
		for _, h := range out {
			counts[h.Name]++
		}
	}
	require.Equal(t, samples, counts["strong"])
	require.InDelta(t, samples/4, counts["weak"], samples/20)
	require.Zero(t, counts["other"])
	require.Len(t, sampleByCPU(hosts[2:], "z2"), 1)
	unknown := []tamarackknot.HostEntry{{Name: "a", FailureDomain: "z1"}, {Name: "b", FailureDomain: "z1"}}
	require.Len(t, sampleByCPU(unknown, "z1"), 2)
}
