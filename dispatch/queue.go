package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// slotTimeWeight is the weight of one request in the average time that requests take a slot.
const slotTimeWeight = 0.1

// orderWaiting orders requests by the priority of their workspace and that of their route, then by objective. Of those for plain services,
// which are short, the ones that can still meet their objective come first: otherwise a queue
// that is longer than the objective makes all of them late.
func orderWaiting(waiting []*waiter, now time.Time) {
	slices.SortStableFunc(waiting, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.req.WorkspacePriority, b.req.WorkspacePriority), cmp.Compare(a.req.Priority, b.req.Priority),
			cmp.Compare(a.req.lateness(now), b.req.lateness(now)), a.req.Objective.Compare(b.req.Objective))
	})
}

// lateness is 1 from the objective of a request to a plain service on, 0 before.
func (r *Request) lateness(now time.Time) int {
	if r.Model == "" && now.After(r.Objective) {
		return 1
	}
	return 0
}

// recordSlotTime records how long an answered request took a slot. d.mu is held.
func (d *Dispatcher) recordSlotTime(t target, took time.Duration) {
	if old, known := d.slotTimes[t]; known {
		took = old + time.Duration(slotTimeWeight*float64(took-old))
	}
	d.slotTimes[t] = took
}

// slotInTime reports whether a request is expected to get a slot at one of the endpoints that
// can run it, and to be answered by its deadline, after those of the same target that wait. It
// is false while that is not known. d.mu is held.
func (d *Dispatcher) slotInTime(req *Request, now time.Time) bool {
	took, known := d.slotTimes[target{req.Service, req.Model}]
	if !known {
		return false
	}
	// The hosts share the slots, those of brittle endpoints by a fixed part.
	slots, brittle, hosts := 0.0, d.isBrittle(req.Service, now), d.hostCount()
	for _, e := range d.candidates(req.Service, req.Model) {
		switch {
		case !e.serves(req, now):
		case brittle:
			own, _ := d.places(e)
			slots += float64(own)
		default:
			slots += float64(e.slots) / float64(hosts)
		}
	}
	if slots == 0 {
		return false
	}
	ahead := 0
	for _, w := range d.waiting {
		if w.req.Service == req.Service && w.req.Model == req.Model {
			ahead++
		}
	}
	wait := time.Duration(float64(ahead+1) / slots * float64(took))
	return now.Add(wait + minServiceTime).Before(req.Deadline)
}
