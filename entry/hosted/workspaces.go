package hosted

import (
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
)

// maxConfirmationAge is the age of the planner's last confirmation of the configuration from
// which a host confirms it itself. It leaves time for a read before keys are no longer served.
const maxConfirmationAge = 2 * time.Second

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

// mustConfirmNow reports whether a confirmation of the configuration is due, or will be before
// a read that waits for changes has ended.
func (c *components) mustConfirmNow() bool {
	return c.mustConfirmCatalog() && c.now()-c.catalog.ConfirmedAt() > maxConfirmationAge
}

// confirmedByPlanner reports whether this host need not confirm the configuration itself.
func (c *components) confirmedByPlanner() bool {
	return !c.mustConfirmNow()
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

// quotaHosts returns the hosts among which the owners of quotas are chosen: those that the
// planner considers alive or, before it was heard, those that were registered when this host
// started, and this one. Hosts that all start together then agree on the owners.
func (c *components) quotaHosts() []tamarackknot.HostEntry {
	if hosts := c.fleet.Hosts(); hosts != nil {
		return hosts
	}
	others := c.hosts.HostsAtStart()
	if len(others) == 0 {
		return nil
	}
	c.startList.Do(func() { c.hostsAtStart = append(slices.Clone(others), c.self) })
	return c.hostsAtStart
}

// plannerHeardAt returns when the planner was last heard, or when this host started.
func (c *components) plannerHeardAt() time.Duration {
	return max(c.fleet.PlannerHeardAt(), c.startedAt)
}
