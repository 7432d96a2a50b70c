package dispatch

import (
	"math"
	"time"
)

const (
	// shareMemory is the time constant with which demand and what of it was served are
	// forgotten: a burst counts while the requests of its time still wait, some seconds.
	shareMemory = 4 * time.Second
	// shareRetention is how long the demand of a workspace is kept that asks for nothing;
	// what is left of it then is below a thousandth.
	shareRetention = 8 * shareMemory
	// shareBands is the number of steps in which shares are compared, up to that of all
	// workspaces together. Those in the highest band are ordered by their objectives: exact
	// shares would let requests expire behind others that have more time.
	shareBands = 4
	// maxShares limits the workspaces whose demand for a service is kept; beyond it all start
	// anew. A host serves thousands of workspaces.
	maxShares = 1 << 14
)

// workspaceDemand is recent demand, and what of it was served, in requests. Each request counts
// less with its age.
type workspaceDemand struct {
	asked, served float64
	at            time.Time
}

// serviceDemand is the demand for a service, by workspace; the name is empty for requests
// without one.
type serviceDemand struct {
	all         workspaceDemand
	byWorkspace map[string]*workspaceDemand
}

// shares orders requests that wait, so that the workspace goes first of whose recent demand the
// smallest share has been served. It is no more than an order: what can be served is served
// whoever asks for it. A request counts as demand when it is served or refused, or waits past
// its objective.
type shares struct {
	services map[string]*serviceDemand
	prunedAt time.Time
}

func newShares() shares { return shares{services: make(map[string]*serviceDemand)} }

// decay returns the weight of what happened an age ago.
func decay(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / shareMemory.Seconds())
}

// add decays the demand to now and adds to it.
func (d *workspaceDemand) add(asked, served float64, now time.Time) {
	if age := now.Sub(d.at); age > 0 {
		weight := decay(age)
		d.asked, d.served, d.at = d.asked*weight, d.served*weight, now
	}
	d.asked, d.served = d.asked+asked, max(d.served+served, 0)
}

// add adds to the demand of the workspace of a request.
func (s *shares) add(req *Request, asked, served float64, now time.Time) {
	service := s.services[req.Service]
	if service == nil {
		service = &serviceDemand{byWorkspace: make(map[string]*workspaceDemand)}
		s.services[req.Service] = service
	}
	d := service.byWorkspace[req.Workspace]
	if d == nil {
		if len(service.byWorkspace) >= maxShares {
			clear(service.byWorkspace)
		}
		d = &workspaceDemand{}
		service.byWorkspace[req.Workspace] = d
	}
	d.add(asked, served, now)
	service.all.add(asked, served, now)
	s.prune(now)
}

// recordAsked counts a request as demand, once.
func (s *shares) recordAsked(req *Request, now time.Time) {
	if req.askedAt.IsZero() {
		req.askedAt = now
		s.add(req, 1, 0, now)
	}
}

// recordServed counts a request as served, or takes that back if the endpoint did not run it.
// It weighs as much as it does in the demand.
func (s *shares) recordServed(req *Request, served bool, now time.Time) {
	if req.served == served {
		return
	}
	s.recordAsked(req, now)
	req.served = served
	weight := decay(now.Sub(req.askedAt))
	if !served {
		weight = -weight
	}
	s.add(req, 0, weight, now)
}

// prune forgets workspaces and services that have asked for nothing lately.
func (s *shares) prune(now time.Time) {
	if now.Sub(s.prunedAt) < shareMemory {
		return
	}
	s.prunedAt = now
	for name, service := range s.services {
		for workspace, d := range service.byWorkspace {
			if now.Sub(d.at) > shareRetention {
				delete(service.byWorkspace, workspace)
			}
		}
		if len(service.byWorkspace) == 0 {
			delete(s.services, name)
		}
	}
}

// band returns the band of the share that a workspace has when some more of its requests have
// been served, relative to the share of all.
func (s *serviceDemand) band(workspace string, more float64) int {
	d := s.byWorkspace[workspace]
	if d == nil || d.asked == 0 || s.all.served == 0 {
		return shareBands - 1
	}
	share := (d.served + more) / (d.asked + more)
	return min(int(shareBands*share*s.all.asked/s.all.served), shareBands-1)
}

// assign sets the band of each waiting request: that of its workspace when the requests of the
// same target that go before it have been served. The requests are in the order of each
// workspace. It returns false, and gives all the same band, unless there are several workspaces.
func (s *shares) assign(waiting []*waiter, now time.Time) bool {
	several := false
	for _, w := range waiting {
		w.req.band = shareBands - 1
		several = several || w.req.Workspace != waiting[0].req.Workspace
		if now.After(w.req.Objective) {
			s.recordAsked(w.req, now)
		}
	}
	if !several {
		return false
	}
	type queue struct{ service, model, workspace string }
	before := make(map[queue]float64)
	for _, w := range waiting {
		if service := s.services[w.req.Service]; service != nil {
			q := queue{w.req.Service, w.req.Model, w.req.Workspace}
			w.req.band = service.band(w.req.Workspace, before[q])
			before[q]++
		}
	}
	return true
}
