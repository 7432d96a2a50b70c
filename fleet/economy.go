package fleet

import (
	"strings"
	"time"

	"tamarackknot.example/tamarackknot"
)

// This file holds what makes the messages to and from hosts in other failure domains than the
// planner's smaller, where traffic between domains has a price.

const (
	// distantViewInterval is the time between two periodic full views for a host in another
	// failure domain. A host notices a missing message by its number and asks for a full view;
	// periodic ones were a third of the planner's bytes.
	distantViewInterval = 30 * time.Second
	// distantLoadChange and distantLoadRatio are the change of the requests at an engine, in
	// requests and as a part of them, up to which hosts in other failure domains than the
	// engine's are not told: they leave the last 0.15 of its slots alone.
	distantLoadChange = 2
	distantLoadRatio  = 0.15
	// listsInterval is the time after which a host names the versions of its lists again though
	// they are unchanged: the planner may have missed the report that named them.
	listsInterval = 5 * time.Second
)

// fullViewIntervalOf returns the time between two periodic full views for a host. p.mu is held.
func (p *Publisher) fullViewIntervalOf(s *hostState, hosts int) time.Duration {
	interval := max(fullViewInterval, time.Duration(hosts*len(p.engines))*fullViewIntervalPerEngine)
	if p.cfg.ByDomain && s.domain != "" && s.domain != p.cfg.Self.FailureDomain {
		return max(interval, distantViewInterval)
	}
	return interval
}

// tellsLoad reports whether a host is told of the requests of others at an engine, of which it
// was last told a number. p.mu is held.
func (p *Publisher) tellsLoad(s *hostState, e *engineState, last, now int) bool {
	if !p.cfg.ByDomain || s.domain == "" || s.domain == e.domain {
		return true
	}
	change := max(now-last, last-now)
	return change > distantLoadChange && float64(change) > distantLoadRatio*float64(last)
}

// shortRuns are numbers of running requests by endpoint and by MODEL or MODEL/ADAPTER. Hosts
// send them to planners that read them.
type shortRuns map[string]map[string]int

// encodeRuns returns the short form of running requests; ok is false if a name does not fit
// into it.
func encodeRuns(running []tamarackknot.RunCount) (out shortRuns, ok bool) {
	out = make(shortRuns)
	for _, r := range running {
		if strings.Contains(r.Model, "/") {
			return nil, false
		}
		name := r.Model
		if r.Adapter != "" {
			name += "/" + r.Adapter
		}
		if out[r.Endpoint] == nil {
			out[r.Endpoint] = make(map[string]int)
		}
		out[r.Endpoint][name] += r.Count
	}
	return out, true
}

// decode returns the running requests.
func (m shortRuns) decode() (out []tamarackknot.RunCount) {
	for endpoint, counts := range m {
		for name, n := range counts {
			model, adapter, _ := strings.Cut(name, "/")
			out = append(out, tamarackknot.RunCount{Endpoint: endpoint, Model: model, Adapter: adapter, Count: n})
		}
	}
	return out
}

// sentLists are the versions of lists that were last sent to the planner.
type sentLists struct {
	lists *heldLists // nil if none were sent
	at    time.Time
}

// shorten replaces parts of a report by short forms and leaves out what the planner has, for a
// planner that reads that.
func (m *demandMessage) shorten(sent sentLists, now time.Time) {
	if runs, ok := encodeRuns(m.Running); ok {
		m.Running, m.Runs = nil, runs
	}
	if sent.lists != nil && *sent.lists == *m.Lists && now.Sub(sent.at) < listsInterval {
		m.Lists, m.ListsUnchanged = nil, true
	}
}

// running returns the running requests of a report in either form.
func (m *demandMessage) running() []tamarackknot.RunCount {
	if len(m.Runs) == 0 {
		return m.Running
	}
	return append(m.Running, m.Runs.decode()...)
}

// applyLists takes the versions of lists that a host has. Those of another fencing token don't
// count. p.mu is held.
func (s *hostState) applyLists(m demandMessage) {
	if !m.ListsUnchanged {
		s.held = m.Lists
	}
	if s.held != nil && s.held.Fence != s.fence {
		s.held = &heldLists{Loads: s.held.Loads, Shares: s.held.Shares}
	}
}
