package hosted

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// TestWeighted guards against weak hosts that get as many callers as strong
// ones, and against answers without an address.
func TestWeighted(t *testing.T) {
	hosts := []tamarackknot.HostEntry{
		{Name: "strong", FailureDomain: "z1", CPUCores: 0.8},
		{Name: "weak", FailureDomain: "z1", CPUCores: 0.2},
		{Name: "other", FailureDomain: "z2", CPUCores: 0.8},
	}
	const answers = 4000
	named := make(map[string]int)
	for range answers {
		out := weighted(hosts, "z1")
		require.NotEmpty(t, out)
		for _, h := range out {
			named[h.Name]++
		}
	}
	require.Equal(t, answers, named["strong"])
	require.InDelta(t, answers/4, named["weak"], answers/20)
	require.Zero(t, named["other"])
	require.Len(t, weighted(hosts[2:], "z2"), 1)
	unknown := []tamarackknot.HostEntry{{Name: "a", FailureDomain: "z1"}, {Name: "b", FailureDomain: "z1"}}
	require.Len(t, weighted(unknown, "z1"), 2)
}
