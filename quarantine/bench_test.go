package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// BenchmarkRecords measures what a request costs without crashes, with a blamed part, and
// with as many records as a List holds.
func BenchmarkRecords(b *testing.B) {
	e := tamarackknot.EndpointEntry{ID: "e", Service: "s"}
	r := tamarackknot.RequestIdentity{ID: "1", Service: "s", Content: tamarackknot.ContentID{1}, Parts: []string{"common", "subject", "own"}}
	for name, losses := range map[string]int{"no crash": 0, "five crashes": 5, "most crashes": maxLosses} {
		tr := newTrial()
		for i := range losses {
			steps := fmt.Sprintf("e%d:bad", i)
			for p := range maxLossCauses / 4 {
				steps += fmt.Sprintf(",%d-%d", i, p)
			}
			tr.play(steps)
		}
		data, err := json.Marshal(tr.all())
		require.NoError(b, err)
		b.Run(name+"/rejects", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tr.Rejects(r)
			}
		})
		b.Run(name+"/answer", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tr.RecordAnswer(e, r)
			}
			b.ReportMetric(float64(len(data)), "message-B")
		})
		b.Run(name+"/alive", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tr.RecordAlive(e)
			}
		})
		b.Run(name+"/loss", func(b *testing.B) {
			for b.Loop() {
				tr.RecordLoss(tamarackknot.EndpointEntry{ID: "e0", Service: "s"}, r)
			}
		})
	}
}
