package planner

import (
	"maps"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

// adapterOrderKind is a kind of executed order for an adapter.
type adapterOrderKind int

const (
	adapterLoaded  adapterOrderKind = iota
	adapterEvicted                  // at once, since no request used it
	adapterDrained                  // after its last request
	adapterOrderKinds
)

const (
	// maxSequenceStep is by how much one order for an adapter may advance an engine's sequence:
	// at its beginning and at its end.
	maxSequenceStep = 2
	// stepConfirmations is how many observations in a row change what is assumed of engines, so
	// that a single odd report does not.
	stepConfirmations = 2
)

// sequencing is what the planner assumes of the sequences of engines: by how much orders for
// adapters advance them, and when. The platform leaves open whether an order that is answered
// with 200 counts, and whether the load of an adapter counts when it is accepted or when it
// has ended. A wrong assumption makes an engine refuse the order after each of that kind, so
// that it is corrected by the reports that follow.
type sequencing struct {
	steps [adapterOrderKinds]int64
	// confirmed says that a report has shown the step of a kind.
	confirmed [adapterOrderKinds]bool
	// seen and times are the last observation that contradicts the assumption, and how often
	// in a row it was made.
	seen  [adapterOrderKinds]int64
	times [adapterOrderKinds]int
	// early counts the orders that were refused although the sequence was right a moment later.
	early int
}

func newSequencing() sequencing {
	return sequencing{steps: [adapterOrderKinds]int64{1, 1, 1}}
}

// spaced reports whether an order must wait until the adapter ordered before has been loaded.
func (s *sequencing) spaced() bool {
	return s.early >= stepConfirmations || s.steps[adapterLoaded] > 1
}

// executedOrders are the orders for adapters that an engine has executed since its last report
// was applied.
type executedOrders struct {
	// base is the sequence of that report; known is false before the first one.
	base  int64
	known bool
	count [adapterOrderKinds]int
	// loaded says for each adapter whether the last order loaded or evicted it.
	loaded map[modelAdapter]bool
	// others says that orders for models, or without an answer, were among them.
	others bool
	// refused says that an order for an adapter was refused after them.
	refused bool
}

// kindOf returns the kind of an executed order for an adapter; ok is false for other orders.
func kindOf(o tamarackknot.WeightOrder, outcome tamarackknot.WeightOutcome) (kind adapterOrderKind, ok bool) {
	switch {
	case o.Adapter == "":
		return 0, false
	case o.Kind == tamarackknot.WeightLoad && outcome == tamarackknot.WeightAccepted:
		return adapterLoaded, true
	case o.Kind == tamarackknot.WeightEvict && outcome == tamarackknot.WeightHolds:
		return adapterEvicted, true
	case o.Kind == tamarackknot.WeightEvict && outcome == tamarackknot.WeightAccepted:
		return adapterDrained, true
	default:
		return 0, false
	}
}

// step returns by how much an order is assumed to have advanced the sequence of its engine.
func (s *sequencing) step(o tamarackknot.WeightOrder, outcome tamarackknot.WeightOutcome) int64 {
	if kind, ok := kindOf(o, outcome); ok {
		return s.steps[kind]
	}
	if outcome == tamarackknot.WeightAccepted {
		return 1
	}
	return 0
}

// record records the outcome of an order.
func (x *executedOrders) record(o tamarackknot.WeightOrder, outcome tamarackknot.WeightOutcome) {
	kind, ok := kindOf(o, outcome)
	switch {
	case ok:
		if x.loaded == nil {
			x.loaded = make(map[modelAdapter]bool)
		}
		x.count[kind]++
		x.loaded[modelAdapter{o.Model, o.Adapter}] = kind == adapterLoaded
	case outcome == tamarackknot.WeightConflict:
		x.refused = x.refused || o.Adapter != ""
	case outcome != tamarackknot.WeightHolds:
		x.others = true
		if o.Kind == tamarackknot.WeightEvict && o.Adapter == "" {
			// Its adapters go with it.
			maps.DeleteFunc(x.loaded, func(k modelAdapter, _ bool) bool { return k.model == o.Model })
		}
	}
}

// reflectedIn reports whether a report is newer than the end of the executed orders for
// adapters.
func (x *executedOrders) reflectedIn(r tamarackknot.EngineReport) bool {
	for k, loaded := range x.loaded {
		if reportHoldsAdapter(r, k.model, k.adapter) != loaded || slices.Contains(r.Pending, k.model+"/"+k.adapter) {
			return false
		}
	}
	return true
}

// observe compares what a report counts with what was expected of the orders since the last
// one. It returns false if that changes nothing.
func (s *sequencing) observe(x *executedOrders, r tamarackknot.EngineReport, expected int64) bool {
	if !x.known || x.others || !x.reflectedIn(r) {
		return false
	}
	if r.Sequence == expected {
		if x.refused && x.count[adapterLoaded] > 0 && s.early < stepConfirmations {
			s.early++
			return s.early == stepConfirmations
		}
	}
	kind, step, ok := s.solve(x, r.Sequence-x.base)
	switch {
	case !ok:
	case step == s.steps[kind]:
		s.confirmed[kind], s.times[kind] = true, 0
	case s.times[kind] > 0 && s.seen[kind] == step:
		if s.times[kind]++; s.times[kind] >= stepConfirmations {
			s.steps[kind], s.confirmed[kind], s.times[kind] = step, true, 0
			return true
		}
	default:
		s.seen[kind], s.times[kind] = step, 1
	}
	return false
}

// solve returns by how much each order of a kind has advanced a sequence that has grown by an
// amount. ok is false unless all orders are of that kind, or what the others count is confirmed.
func (s *sequencing) solve(x *executedOrders, grown int64) (kind adapterOrderKind, step int64, ok bool) {
	kinds, unknown := 0, 0
	for k, n := range x.count {
		if n > 0 {
			kinds++
			if !s.confirmed[k] {
				unknown++
			}
		}
	}
	if kinds != 1 && unknown != 1 {
		return 0, 0, false
	}
	n := int64(0)
	for k, count := range x.count {
		switch {
		case count == 0:
		case kinds > 1 && s.confirmed[k]:
			grown -= s.steps[k] * int64(count)
		default:
			kind, n = adapterOrderKind(k), int64(count)
		}
	}
	step = grown / n
	return kind, step, step*n == grown && step >= 0 && step <= maxSequenceStep
}

// untilLoaded returns how long the next order to an engine must wait for the adapter that was
// ordered before.
func (s *sequencing) untilLoaded(loadedAt, now time.Time) time.Duration {
	if !s.spaced() {
		return 0
	}
	return loadedAt.Add(adapterLoadTime).Sub(now)
}
