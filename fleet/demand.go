package fleet

import (
	"time"

	"tamarackknot.example/tamarackknot"
)

// demandSum sums the demand of the hosts. A host reports the models whose demand has changed,
// so the history of all others is kept as a sum.
type demandSum struct {
	indexes map[modelKey]int
	models  []modelHistory // by index
	result  tamarackknot.FleetDemand
}

// modelHistory is the sum of what the hosts have counted for a model since their start.
type modelHistory struct {
	key      modelKey
	counts   requestCounts
	lastUsed time.Time
}

// requestCounts counts the requests for a model.
type requestCounts struct{ total, tight int64 }

// hostDemand is the last demand of one host, by the index of the model.
type hostDemand struct {
	counts  map[int]requestCounts
	waiting map[int]tamarackknot.ModelDemand // of models that requests wait for
}

func newDemandSum() demandSum { return demandSum{indexes: make(map[modelKey]int)} }

func newHostDemand() hostDemand {
	return hostDemand{counts: make(map[int]requestCounts), waiting: make(map[int]tamarackknot.ModelDemand)}
}

// index returns the index of a model, which is added if it is new.
func (d *demandSum) index(k modelKey) int {
	i, known := d.indexes[k]
	if !known {
		i = len(d.models)
		d.indexes[k] = i
		d.models = append(d.models, modelHistory{key: k})
	}
	return i
}

// set replaces the demand of a host for a model.
func (d *demandSum) set(h *hostDemand, w tamarackknot.ModelDemand) {
	i := d.index(modelKey{w.Service, w.Model})
	m, old := &d.models[i], h.counts[i]
	m.counts.total += w.Total - old.total
	m.counts.tight += w.TightTotal - old.tight
	if w.LastUsed.After(m.lastUsed) {
		m.lastUsed = w.LastUsed
	}
	h.counts[i] = requestCounts{w.Total, w.TightTotal}
	if w.Waiting > 0 {
		h.waiting[i] = w
	} else {
		delete(h.waiting, i)
	}
}

// clear removes the demand of a host.
func (d *demandSum) clear(h *hostDemand) {
	for i, counts := range h.counts {
		d.models[i].counts.total -= counts.total
		d.models[i].counts.tight -= counts.tight
	}
	clear(h.counts)
	clear(h.waiting)
}

// begin starts a new result with the history of all models.
func (d *demandSum) begin() {
	d.result.Running, d.result.Models = d.result.Running[:0], d.result.Models[:0]
	for _, m := range d.models {
		d.result.Models = append(d.result.Models, tamarackknot.ModelDemand{
			Service: m.key.Service, Model: m.key.Model, Total: m.counts.total, TightTotal: m.counts.tight, LastUsed: m.lastUsed,
		})
	}
}

// add adds the running and waiting requests of a host to the result.
func (d *demandSum) add(s *hostState) {
	d.result.Running = append(d.result.Running, s.running...)
	for i, w := range s.demand.waiting {
		m := &d.result.Models[i]
		if m.Waiting == 0 || w.Objective.Before(m.Objective) {
			m.Objective = w.Objective
		}
		if m.Waiting == 0 || w.Deadline.Before(m.Deadline) {
			m.Deadline = w.Deadline
		}
		m.Waiting += w.Waiting
		m.Tight += w.Tight
		m.Adapters = append(m.Adapters, w.Adapters...)
	}
}

// waitsForAny reports whether requests of the host wait for one of the models.
func (h *hostDemand) waitsForAny(models map[string]bool) bool {
	for _, w := range h.waiting {
		if models[w.Model] {
			return true
		}
	}
	return false
}
