package planner

import (
	"fmt"
	"testing"
)

// BenchmarkDecide measures one decision for a small, a large and the largest
// intended deployment.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ engines, models, waiting int }{{18, 106, 5}, {140, 824, 40}, {6900, 97, 40}} {
		b.Run(fmt.Sprintf("%d engines", size.engines), func(b *testing.B) {
			s := ServiceState{Now: testNow(), Service: "s", Spec: testSpec(size.models), ColdLimit: 2, ColdBudget: 2, Models: make(map[string]ModelState)}
			name := func(i int) string { return fmt.Sprintf("m%02d", i%size.models) }
			for i := range size.engines {
				e := EngineState{ID: fmt.Sprintf("e%04d", i), Held: held(name(3*i), name(3*i+1), name(3*i+2)), OnDisk: make(map[string]bool), Load: 2}
				for n := range 20 {
					e.OnDisk[name(3*i+n)] = true
				}
				s.Engines = append(s.Engines, e)
			}
			for i := range size.models {
				s.Models[name(i)] = ModelState{Total: 5, Rate: 0.1, Load: 0.2}
			}
			for i := range size.waiting {
				s.Models[name(7*i)] = waiting(2)
			}
			b.ReportAllocs()
			for b.Loop() {
				Decide(s)
			}
		})
	}
}
