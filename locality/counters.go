package locality

import "github.com/rcrowley/go-metrics"

// Counters count the requests sent to endpoints, by why they left their failure domain.
type Counters [reasonCount]metrics.Counter

// NewCounters returns counters in a registry; it may be nil.
func NewCounters(r metrics.Registry) *Counters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	var c Counters
	for reason := range reasonCount {
		c[reason] = metrics.GetOrRegisterCounter("domains.requests."+reason.String(), r)
	}
	return &c
}

// Count counts a request.
func (c *Counters) Count(r Reason) { c[r].Inc(1) }
