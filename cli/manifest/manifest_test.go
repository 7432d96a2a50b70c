package manifest

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against resources that are skipped, or returned in an order that the
// server rejects because a referenced resource does not exist yet.
func TestReadOrdersByReference(t *testing.T) {
	in := "kind: model\nmetadata: {name: m}\nspec: {deployment: d, version: v1, memoryMB: 10, maxReplicas: 1}\n" +
		"---\nkind: deployment\nmetadata: {name: d, revision: 7}\nspec: {coldStartWeight: 0.8}\n"
	items, err := Read(strings.NewReader(in), "in.yaml")
	require.NoError(t, err)
	require.Len(t, items, 2)
	require.Equal(t, "deployment", items[0].Resource.GetKind())
	require.True(t, items[0].HasRevision)
	require.EqualValues(t, 7, items[0].Resource.GetMetadata().GetRevision())
	require.EqualValues(t, 10, items[1].Resource.GetModel().GetMemoryMb())
	require.False(t, items[1].HasRevision)
}

// Guards against invalid manifests that are accepted, and against error messages
// without the document and the field.
func TestReadErrors(t *testing.T) {
	tests := map[string]struct {
		in   string
		want []string
	}{
		"unknown kind":  {"kind: pod\nmetadata: {name: x}\n", []string{"in.yaml, document 1", `"pod"`, "deployment"}},
		"unknown field": {"kind: model\nmetadata: {name: x}\nspec: {memoryGB: 1}\n", []string{"document 1", `model "x"`, "memoryGB"}},
		"wrong type":    {"kind: model\nmetadata: {name: x}\nspec: {maxReplicas: many}\n", []string{"document 1", "many"}},
		"no resource":   {"", []string{"in.yaml", "no resource"}},
		"unknown top":   {"kind: model\nmeta: {}\n", []string{"document 1", "meta"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Read(strings.NewReader(tt.in), "in.yaml")
			require.Error(t, err)
			for _, w := range tt.want {
				require.Contains(t, err.Error(), w)
			}
		})
	}
}
