package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

// noticeRetention is how long a notice is kept after its last observation. Hosts that send
// requests to the endpoint report theirs again long before.
const noticeRetention = 10 * time.Minute

// noticeList holds the newest notices of endpoints, by endpoint; those
// of a later start of an endpoint replace those of an earlier one.
type noticeList struct {
	byEndpoint map[string]tamarackknot.EndpointNotice
	version    int64 // counts the changes
}

// merge adds the observations of a host.
func (l *noticeList) merge(notices []tamarackknot.EndpointNotice, now time.Time) {
	for _, n := range notices {
		if l.byEndpoint == nil {
			l.byEndpoint = make(map[string]tamarackknot.EndpointNotice)
		}
		old, known := l.byEndpoint[n.Endpoint]
		switch {
		case known && n.Born.Before(old.Born):
			continue
		case known && n.Born.Equal(old.Born):
			leaving := n.Leaving || old.Leaving
			if n.At.Before(old.At) {
				if leaving == old.Leaving {
					continue
				}
				n = old
			}
			n.Leaving = leaving
		}
		l.byEndpoint[n.Endpoint] = n
		l.version++
	}
	for id, n := range l.byEndpoint {
		if now.Sub(n.At) > noticeRetention {
			delete(l.byEndpoint, id)
		}
	}
}

// all returns the observations, ordered by endpoint.
func (l *noticeList) all() []tamarackknot.EndpointNotice {
	out := make([]tamarackknot.EndpointNotice, 0, len(l.byEndpoint))
	for _, n := range l.byEndpoint {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b tamarackknot.EndpointNotice) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// brittleRetention is how long an observation of a service is kept. While its endpoints answer
// there are newer ones.
const brittleRetention = time.Minute

// brittleList holds the newest observation of each service whose endpoints are brittle, or
// were.
type brittleList map[string]tamarackknot.BrittleService

// merge adds the observations of a host.
func (l *brittleList) merge(services []tamarackknot.BrittleService) {
	for _, s := range services {
		if *l == nil {
			*l = make(brittleList)
		}
		if old, known := (*l)[s.Service]; !known || s.At.After(old.At) {
			(*l)[s.Service] = s
		}
	}
}

// all returns the observations, ordered by service.
func (l brittleList) all(now time.Time) []tamarackknot.BrittleService {
	maps.DeleteFunc(l, func(_ string, s tamarackknot.BrittleService) bool { return now.Sub(s.At) > brittleRetention })
	return slices.SortedFunc(maps.Values(l), func(a, b tamarackknot.BrittleService) int { return cmp.Compare(a.Service, b.Service) })
}

// Limited returns the endpoints that name a limit, and since which start.
func (p *Publisher) Limited() map[string]time.Time {
	return p.startsWith(func(n tamarackknot.EndpointNotice) bool { return n.Limit.Limited })
}

// Leaving returns the endpoints that say that they leave, and which start does.
func (p *Publisher) Leaving() map[string]time.Time {
	return p.startsWith(func(n tamarackknot.EndpointNotice) bool { return n.Leaving })
}

// startsWith returns the starts of the endpoints whose notices match, by endpoint.
func (p *Publisher) startsWith(match func(tamarackknot.EndpointNotice) bool) map[string]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]time.Time)
	for id, n := range p.notices.byEndpoint {
		if match(n) {
			out[id] = n.Born
		}
	}
	return out
}
