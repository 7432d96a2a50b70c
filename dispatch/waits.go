package dispatch

import (
	"slices"
	"time"
)

// lack is what a request waits for. Of several endpoints the one that lacks least
// counts.
type lack int

const (
	lackSlot    lack = iota // an endpoint has model and adapter, but accepts no request now
	lackAdapter             // an endpoint has the model but not the adapter
	lackModel               // no endpoint has the model
)

// Waits is how long a request has waited for a model, for an adapter and for a
// slot at an endpoint that has both.
type Waits struct{ Model, Adapter, Slot time.Duration }

// Total returns the whole time that the request has waited.
func (w Waits) Total() time.Duration { return w.Model + w.Adapter + w.Slot }

// recordWait adds the time since the last check to what the request lacked then.
func (w *waiter) recordWait(now lack, at time.Time) {
	elapsed := at.Sub(w.checkedAt)
	switch w.lack {
	case lackModel:
		w.waits.Model += elapsed
	case lackAdapter:
		w.waits.Adapter += elapsed
	case lackSlot:
		w.waits.Slot += elapsed
	}
	w.lack, w.checkedAt = now, at
}

// Add returns the sums of the times.
func (w Waits) Add(o Waits) Waits {
	return Waits{Model: w.Model + o.Model, Adapter: w.Adapter + o.Adapter, Slot: w.Slot + o.Slot}
}

// lacks returns what the endpoint lacks for a request, lackSlot if it has model
// and adapter.
func (e *endpoint) lacks(req *Request) lack {
	if req.Model == "" {
		return lackSlot
	}
	adapters, held := e.held[req.Model]
	switch {
	case !held:
		return lackModel
	case req.Adapter != "" && !slices.Contains(adapters, req.Adapter):
		return lackAdapter
	default:
		return lackSlot
	}
}
