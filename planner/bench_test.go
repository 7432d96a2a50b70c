package planner

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

// BenchmarkDecide measures one decision for a small, a large and the largest
// intended deployment.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ engines, models, waiting int }{{18, 106, 5}, {140, 824, 40}, {240, 1414, 60}, {6900, 97, 40}} {
		b.Run(fmt.Sprintf("%d engines", size.engines), func(b *testing.B) {
			s := ServiceState{Now: testNow(), Service: "s", Spec: testSpec(size.models), ColdLimit: 2, ColdBudget: 2, Prefetch: true, Models: make(map[string]ModelState)}
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

// idleLease is a lease whose holder may not order yet.
type idleLease struct{}

func (idleLease) MayOrder() (int64, bool)           { return 1, false }
func (idleLease) BeginOrder() (int64, func(), bool) { return 1, nil, false }
func (idleLease) HandleFenced(int64)                {}
func (idleLease) RaiseFence()                       {}

// BenchmarkStep measures one decision with the collection of its input and the
// publication of its result.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ engines, models, waiting int }{{18, 106, 5}, {240, 1414, 60}} {
		b.Run(fmt.Sprintf("%d engines", size.engines), func(b *testing.B) {
			spec, entries, demand := testSpec(size.models), make(map[string]tamarackknot.EndpointEntry), tamarackknot.FleetDemand{}
			name := func(i int) string { return fmt.Sprintf("m%02d", i%size.models) }
			for i := range size.engines {
				report := &tamarackknot.EngineReport{Held: []tamarackknot.HeldModel{{Name: name(3 * i)}, {Name: name(3*i + 1)}, {Name: name(3*i + 2)}}}
				for n := range 20 {
					report.OnDisk = append(report.OnDisk, name(3*i+n))
				}
				id := fmt.Sprintf("e%04d", i)
				entries[id] = tamarackknot.EndpointEntry{ID: id, Service: "s", State: tamarackknot.EndpointReady, Engine: report}
				demand.Running = append(demand.Running, tamarackknot.RunCount{Endpoint: id, Model: name(3 * i), Count: 2})
			}
			for i := range size.models {
				demand.Models = append(demand.Models, tamarackknot.ModelDemand{Service: "s", Model: name(i), Total: int64(i), LastUsed: time.Now()})
			}
			for i := range size.waiting {
				demand.Models[7*i].Waiting = 2
			}
			catalog := &tamarackknot.Catalog{Services: map[string]tamarackknot.PoolSpec{"s": {Name: "s", Engine: spec}}}
			c := New(Config{
				Host: "h", Lease: idleLease{}, Store: fake.NewStreams().Client("h"), HoldsLease: func() bool { return true },
				Catalog:   func() *tamarackknot.Catalog { return catalog },
				Endpoints: func() map[string]tamarackknot.EndpointEntry { return entries },
				Demand:    func() tamarackknot.FleetDemand { return demand },
				Publish:   func(tamarackknot.FleetView) {}, Logger: log.New(io.Discard), LoadWindow: 5 * time.Second, LoadFactor: 1.1,
			})
			c.active = true
			for id, entry := range entries {
				e := newEngine(entry)
				e.spec, e.reported, e.reportPending = spec, true, true
				c.engines[id] = e
			}
			b.ReportAllocs()
			for b.Loop() {
				c.step(context.Background())
			}
		})
	}
}
