package placement

import (
	"context"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

// planner holds the state of this host as the planner of one deployment.
type planner struct {
	deployment      string
	policy          *Policy
	demand          map[string]map[string]hostDemand // by target and host
	changedDemand   map[string]struct{}              // targets whose summed demand may have changed
	targets         map[string]*tamarackknot.Resource
	endpoints       map[string]*plannerEndpoint
	slow            bool
	demandCheckedAt time.Time
}

type hostDemand struct {
	tamarackknot.Demand
	expires time.Time
}

type plannerEndpoint struct {
	resource   *tamarackknot.Resource
	reportTime time.Time
	usable     bool
	drain      bool
	applied    bool // usable and drain were passed to the policy
}

func newPlanner(deployment string, cfg PolicyConfig) *planner {
	return &planner{
		deployment:    deployment,
		policy:        NewPolicy(cfg),
		demand:        make(map[string]map[string]hostDemand),
		changedDemand: make(map[string]struct{}),
		targets:       make(map[string]*tamarackknot.Resource),
		endpoints:     make(map[string]*plannerEndpoint),
	}
}

// selectPlanners creates and removes planners when this host gains or loses the
// role.
func (c *Controller) selectPlanners(now time.Time) {
	if now.Sub(c.plannersCheckedAt) < plannerInterval {
		return
	}
	c.plannersCheckedAt = now
	var names []string
	c.cfg.Journal.Read(func(s tamarackknot.State) {
		for _, r := range s.Resources(tamarackknot.KindDeployment) {
			names = append(names, r.Metadata.Name)
		}
	})
	for _, name := range names {
		isPlanner := c.cfg.Members.Planner(name) == c.self.Host
		_, active := c.planners[name]
		switch {
		case isPlanner && !active:
			c.planners[name] = newPlanner(name, c.cfg.Policy)
			c.mirror.reset()
			c.cfg.Log.Info("became planner", "deployment", name)
		case !isPlanner && active:
			delete(c.planners, name)
			// Reports are read only while this host is a planner, so recorded
			// absences may be outdated.
			clear(c.absent)
			c.cfg.Log.Info("no longer planner", "deployment", name)
		}
	}
	for name := range c.planners {
		if !slices.Contains(names, name) {
			delete(c.planners, name)
		}
	}
}

// setHostDemand replaces the demand of a host for the given targets.
func (pl *planner) setHostDemand(host string, demand []tamarackknot.Demand, now time.Time) {
	for _, d := range demand {
		hosts := pl.demand[d.Target]
		old, had := hosts[host]
		if d.Waiting == 0 {
			if had {
				delete(hosts, host)
				pl.changedDemand[d.Target] = struct{}{}
			}
			continue
		}
		if hosts == nil {
			hosts = make(map[string]hostDemand)
			pl.demand[d.Target] = hosts
		}
		hosts[host] = hostDemand{Demand: d, expires: now.Add(demandTTL)}
		if !had || old.Demand != d {
			pl.changedDemand[d.Target] = struct{}{}
		}
	}
}

func (pl *planner) recordUsage(usage []usageEntry, now time.Time) {
	for _, u := range usage {
		pl.policy.Used(u.Target, u.First, u.Last, u.Count, now)
	}
}

// updateDemand passes changed demand to the policy and removes demand that its
// host has not renewed.
func (pl *planner) updateDemand(now time.Time) {
	if now.Sub(pl.demandCheckedAt) >= demandInterval {
		pl.demandCheckedAt = now
		for target, hosts := range pl.demand {
			for host, d := range hosts {
				if !now.Before(d.expires) {
					delete(hosts, host)
					pl.changedDemand[target] = struct{}{}
				}
			}
		}
	}
	for target := range pl.changedDemand {
		total := tamarackknot.Demand{Target: target}
		for _, d := range pl.demand[target] {
			total = mergeDemand(total, d.Demand)
		}
		if len(pl.demand[target]) == 0 {
			delete(pl.demand, target)
		}
		pl.policy.SetDemand(total, now)
	}
	clear(pl.changedDemand)
}

// plannersHaveDemand reports whether any planner on this host has demand.
func (c *Controller) plannersHaveDemand() bool {
	for _, pl := range c.planners {
		if len(pl.demand) > 0 || len(pl.policy.active) > 0 {
			return true
		}
	}
	return false
}

// applyReports passes new reports to the policies and records loaded replicas
// that their endpoints do not report.
func (c *Controller) applyReports(now time.Time) {
	if now.Sub(c.reportsAppliedAt) < reportInterval || len(c.planners) == 0 {
		return
	}
	c.reportsAppliedAt = now
	for _, pl := range c.planners {
		running := 0
		for name, e := range pl.endpoints {
			r, ok := c.cfg.Reports.Report(name)
			if ok && r.Time.After(e.reportTime) {
				e.reportTime = r.Time
				pl.policy.SetReport(name, r)
				c.findAbsent(name, r, now)
			}
			running += r.Running
			c.setUsable(pl, name, e, r, ok, now)
		}
		pl.policy.ObserveRunning(running, now)
	}
}

// setUsable passes changes of an endpoint's usability and draining state to the
// policy.
func (c *Controller) setUsable(pl *planner, name string, e *plannerEndpoint, r tamarackknot.Report, ok bool, now time.Time) {
	spec := *e.resource.Endpoint
	drain := spec.Draining || r.Leaving || c.hosts.leaving(name, spec.Address)
	usable := ok && now.Sub(r.Time) < reportMaxAge && !c.cfg.Reports.Unreachable(name) &&
		c.hosts.droppedSince(name, spec.Address).IsZero()
	if e.applied && e.usable == usable && e.drain == drain {
		return
	}
	if !e.applied && !usable && !drain {
		pl.policy.ExpectEndpoints(now.Add(firstReportTime))
	}
	e.usable, e.drain, e.applied = usable, drain, true
	pl.policy.SetEndpoint(name, spec, usable, drain)
}

// absence records since when an endpoint does not report a loaded replica.
type absence struct {
	since time.Time
	// fence distinguishes the replica from a later one of the same target on
	// the same endpoint.
	fence tamarackknot.Offset
}

// findAbsent records the loaded replicas that a report does not list.
func (c *Controller) findAbsent(endpoint string, report tamarackknot.Report, now time.Time) {
	for _, r := range c.mirror.replicas[endpoint] {
		key := replicaKey{r.Target, r.Endpoint}
		if reportsLoaded(report, r.Target) || r.State != tamarackknot.ReplicaLoaded || !report.Time.After(r.Since) {
			delete(c.absent, key)
			continue
		}
		if a, ok := c.absent[key]; !ok || a.fence != r.Fence {
			c.absent[key] = absence{since: now, fence: r.Fence}
		}
	}
}

func reportsLoaded(report tamarackknot.Report, target string) bool {
	return slices.ContainsFunc(report.Loaded, func(l tamarackknot.LoadedTarget) bool { return l.Name == target })
}

// decide runs the policies and carries out their decisions.
func (c *Controller) decide(ctx context.Context, now time.Time) {
	for _, pl := range c.planners {
		pl.updateDemand(now)
		begin := time.Now()
		decisions := pl.policy.Decide(now)
		c.recordDuration("decide", time.Since(begin))
		for _, d := range decisions {
			c.execute(ctx, pl, d, now)
		}
		if slow := pl.policy.Slow(); slow != pl.slow {
			pl.slow = slow
			c.cfg.Log.Warn("weight store speed changed", "deployment", pl.deployment, "slow", slow)
		}
	}
}

func (c *Controller) execute(ctx context.Context, pl *planner, d Decision, now time.Time) {
	c.count("decisions." + string(d.Action))
	fields := []any{"deployment", pl.deployment, "action", string(d.Action), "target", d.Target, "reason", d.Reason}
	if d.Endpoint != "" {
		fields = append(fields, "endpoint", d.Endpoint)
	}
	if d.For != "" {
		fields = append(fields, "for", d.For)
	}
	if d.Cost > 0 {
		fields = append(fields, "costSeconds", d.Cost)
	}
	if d.Tier != "" {
		fields = append(fields, "tier", string(d.Tier), "readyIn", d.ReadyAt.Sub(now).Round(time.Millisecond))
	}
	if !d.RetryAt.IsZero() {
		fields = append(fields, "retryIn", d.RetryAt.Sub(now).Round(time.Millisecond))
	}
	c.cfg.Log.Info("placement decision", fields...)
	if d.Action == ActionReject {
		return
	}
	if now.Sub(c.logFailedAt) < logBackoff {
		pl.policy.Abandon(d)
		return
	}
	change := tamarackknot.Change{}
	if d.Action == ActionLoad {
		change.Claim = &tamarackknot.Claim{Target: d.Target, Endpoint: d.Endpoint, Basis: d.Basis}
	} else {
		change.Unload = &tamarackknot.ReplicaChange{Target: d.Target, Endpoint: d.Endpoint, Fence: d.Fence}
	}
	c.propose(ctx, replicaKey{d.Target, d.Endpoint}, change, &d)
}
