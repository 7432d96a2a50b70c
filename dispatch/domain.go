package dispatch

// crossDomainPenalty, a fraction of an endpoint's slots, is for an endpoint in another failure
// domain. It is small, so that it decides only between endpoints with nearly the same load.
const crossDomainPenalty = 0.08

// domainCost returns what it adds to the score of an endpoint that it is in another failure
// domain than this host.
func domainCost(e *endpoint, failureDomain string) float64 {
	if e.entry.FailureDomain == failureDomain {
		return 0
	}
	return crossDomainPenalty
}
