package hosted

import (
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
)

// confirmationAgePart is the part of the time for which keys are served after which a host that
// gets no newer confirmation from the planner confirms the configuration itself: 2 s of 5 s. It
// leaves time for a read.
const confirmationAgePart = 0.4

// revocationLimit returns how long keys are served after the configuration was last known to
// be the newest one, 0 for any time.
func (c *components) revocationLimit() time.Duration {
	if !c.cfg.settings.StrictRevocation {
		return 0
	}
	return c.cfg.settings.RevocationTime
}

// mustConfirmCatalog reports whether keys are served only while the configuration is confirmed
// again and again.
func (c *components) mustConfirmCatalog() bool {
	catalog := c.currentCatalog()
	return c.revocationLimit() > 0 && catalog != nil && catalog.Authenticated
}

// confirmedByPlanner reports whether this host need not confirm the configuration itself.
func (c *components) confirmedByPlanner() bool {
	maxAge := time.Duration(confirmationAgePart * float64(c.revocationLimit()))
	return !c.mustConfirmCatalog() || c.now()-c.catalog.ConfirmedAt(c.catalogVersion()) <= maxAge
}

// now returns the time since boot, including the time of suspension.
func (c *components) now() time.Duration {
	if c.cfg.clock != nil {
		return c.cfg.clock()
	}
	return times.SinceBoot()
}

// workspaceQuota returns the quota of a workspace in the configuration in force.
func (c *components) workspaceQuota(workspace string) (tamarackknot.Quota, bool) {
	w, ok := c.workspaces.Named(workspace)
	return w.Quota, ok
}
