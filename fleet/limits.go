package fleet

import (
	"cmp"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

// limitRetention is how long a limit is kept after its last observation. Hosts that send
// requests to the endpoint report theirs again long before.
const limitRetention = 10 * time.Minute

// limitList holds the newest observations of the limits of endpoints, by endpoint; those
// of a later start of an endpoint replace those of an earlier one.
type limitList struct {
	byEndpoint map[string]tamarackknot.EndpointLimit
	version    int64 // counts the changes
}

// merge adds the observations of a host.
func (l *limitList) merge(limits []tamarackknot.EndpointLimit, now time.Time) {
	for _, n := range limits {
		if l.byEndpoint == nil {
			l.byEndpoint = make(map[string]tamarackknot.EndpointLimit)
		}
		old, known := l.byEndpoint[n.Endpoint]
		if known && (n.Born.Before(old.Born) || n.Born.Equal(old.Born) && n.At.Before(old.At)) {
			continue
		}
		l.byEndpoint[n.Endpoint] = n
		l.version++
	}
	for id, n := range l.byEndpoint {
		if now.Sub(n.At) > limitRetention {
			delete(l.byEndpoint, id)
		}
	}
}

// all returns the observations, ordered by endpoint.
func (l *limitList) all() []tamarackknot.EndpointLimit {
	out := make([]tamarackknot.EndpointLimit, 0, len(l.byEndpoint))
	for _, n := range l.byEndpoint {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b tamarackknot.EndpointLimit) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Limits returns the endpoints that name a limit, and since which start.
func (p *Publisher) Limits() map[string]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]time.Time)
	for id, l := range p.limits.byEndpoint {
		if l.Limit.Limited {
			out[id] = l.Born
		}
	}
	return out
}
