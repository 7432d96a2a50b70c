package hosted

import (
	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/locality"
)

// domainPolicy prices the traffic between failure domains; nil if it has no price.
func (c *components) domainPolicy() *dispatch.DomainPolicy {
	if c.cfg.domainPrice <= 0 {
		return nil
	}
	return &dispatch.DomainPolicy{Price: c.cfg.domainPrice, Counters: locality.NewCounters(c.cfg.metrics)}
}
