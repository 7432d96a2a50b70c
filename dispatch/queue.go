package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// slotTimeWeight is the weight of one request in the average time that requests take a slot.
const slotTimeWeight = 0.1

// orderWaiting orders requests by the priority of their workspace and that of their route, then
// by the share of their workspace, and by objective. Of those for plain services, which are
// short, the ones that can still meet their objective come first: otherwise a queue that is
// longer than the objective makes all of them late.
func orderWaiting(waiting []*waiter, now time.Time) {
	slices.SortStableFunc(waiting, func(a, b *waiter) int { return compareWaiting(a.req, b.req, now) })
}

// compareWaiting is negative if request a goes before b, zero if the one that came first does.
// Of those of the same priority and lateness, the workspace with the smallest share goes first,
// and of its requests those of callers that have come back.
func compareWaiting(a, b *Request, now time.Time) int {
	return cmp.Or(cmp.Compare(a.WorkspacePriority, b.WorkspacePriority), cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.lateness(now), b.lateness(now)), cmp.Compare(a.band, b.band), compareReturned(a, b), a.Objective.Compare(b.Objective))
}

func compareReturned(a, b *Request) int {
	switch {
	case a.returned == b.returned:
		return 0
	case a.returned:
		return -1
	default:
		return 1
	}
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
	wait, known := d.slotWait(req, now)
	return known && now.Add(wait+minServiceTime).Before(req.Deadline)
}

// slotWait returns how long a request is expected to wait for a slot at one of the endpoints
// that can run it, after those of the same target that go before it; ok is false while that
// is not known. d.mu is held.
func (d *Dispatcher) slotWait(req *Request, now time.Time) (wait time.Duration, ok bool) {
	took, known := d.slotTimes[target{req.Service, req.Model}]
	if !known {
		return 0, false
	}
	slots := d.ownSlots(req, now)
	if slots == 0 {
		return 0, false
	}
	ahead := 0
	for _, w := range d.waiting {
		if w.req != req && w.req.Service == req.Service && w.req.Model == req.Model && compareWaiting(w.req, req, now) <= 0 {
			ahead++
		}
	}
	return time.Duration(float64(ahead+1) / slots * float64(took)), true
}

// ownSlots returns this host's part of the slots of the endpoints that can run a request. The
// hosts share those of brittle endpoints by a fixed part, those of engines as they use them now,
// and all others evenly. d.mu is held.
func (d *Dispatcher) ownSlots(req *Request, now time.Time) float64 {
	slots, brittle, hosts := 0.0, d.isBrittle(req.Service, now), d.hostCount()
	for _, e := range d.candidates(req.Service, req.Model) {
		switch {
		case !e.serves(req, now):
		case brittle:
			own, _ := d.places(e)
			slots += float64(own)
		case req.Model != "":
			// The request itself counts as one more.
			used := float64(e.own+1) / float64(e.own+e.others+1)
			slots += float64(e.slots) * max(used, 1/float64(hosts))
		default:
			slots += float64(e.slots) / float64(hosts)
		}
	}
	return slots
}
