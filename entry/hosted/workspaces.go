package hosted

import (
	"slices"
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

// mustConfirmNow reports whether a confirmation of the configuration is due, or will be before
// a read that waits for changes has ended.
func (c *components) mustConfirmNow() bool {
	maxAge := time.Duration(confirmationAgePart * float64(c.revocationLimit()))
	return c.mustConfirmCatalog() && c.now()-c.catalog.ConfirmedAt(c.catalogVersion()) > maxAge
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

// firstListTime is how long after a change of the planner its list of hosts may lack hosts that
// it has not heard yet.
const firstListTime = 1500 * time.Millisecond

// quotaHosts returns the hosts among which the owners of quotas are chosen: those that the
// planner considers alive or, before it was heard, those that were registered when this host
// started, and this one. A new planner's list counts once it is complete, so that the owners
// don't change with each host that it hears.
func (c *components) quotaHosts() []tamarackknot.HostEntry {
	hosts, since := c.fleet.Hosts(), c.fleet.PlannerSince()
	c.quotaMu.Lock()
	defer c.quotaMu.Unlock()
	if hosts != nil && (since == 0 || c.now()-since >= firstListTime) {
		c.quotaList = hosts
	}
	if others := c.hosts.HostsAtStart(); c.quotaList == nil && len(others) > 0 {
		c.quotaList = append(slices.Clone(others), c.self)
	}
	return c.quotaList
}

// quotaListConfirmedAt returns when the planner is known to have had the list of hosts. A planner
// that hears less than half of the registered hosts may be cut off from the others, which go on
// without it: its own list then confirms nothing.
func (c *components) quotaListConfirmedAt() time.Duration {
	if c.fleet.Planner() == c.self.Name && 2*len(c.fleet.Hosts()) < len(c.hosts.Hosts()) {
		return 0
	}
	return c.fleet.HostsConfirmedAt()
}
