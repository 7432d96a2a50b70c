package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

// VersionMemory is how long a version counts after no endpoint of it is listed: longer
// than any caller comes back to a stream.
const VersionMemory = time.Minute

// defaultSlots applies to an endpoint without a number of slots in its service
// and its entry.
const defaultSlots = 4

// SetPools replaces the specifications of the services, by name.
func (d *Dispatcher) SetPools(pools map[string]tamarackknot.PoolSpec) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pools = pools
	for _, e := range d.endpoints {
		e.slots = d.slotsOf(e.entry)
	}
}

func (d *Dispatcher) slotsOf(entry tamarackknot.EndpointEntry) int {
	if pool, ok := d.pools[entry.Service]; ok && pool.Engine != nil && pool.Engine.Slots > 0 {
		return pool.Engine.Slots
	}
	if entry.Slots > 0 {
		return entry.Slots
	}
	return defaultSlots
}

// SetEndpoints replaces the list of endpoints, by id, and the ids of those that
// may get requests, by service. With useEntryModels the models that the entries
// name replace those of the last fleet view; it is set while no planner can be
// reached.
func (d *Dispatcher) SetEndpoints(entries map[string]tamarackknot.EndpointEntry, byService map[string][]string, useEntryModels bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, entry := range entries {
		e := d.endpoints[id]
		if e == nil || !e.entry.Born.Equal(entry.Born) || e.entry.Address != entry.Address {
			replacement := &endpoint{running: make(map[modelAdapter]int), missingUntil: make(map[modelAdapter]time.Time)}
			if e != nil {
				replacement.own, replacement.prefilling, replacement.running = e.own, e.prefilling, e.running
			}
			e = replacement
			d.endpoints[id] = e
			if entry.Engine != nil {
				e.held = adaptersByModel(entry.Engine.Held)
			}
		}
		e.entry, e.signals = entry, d.signals[keyOf(entry)]
		e.slots = d.slotsOf(entry)
		d.setEndpointDomain(e)
		if useEntryModels && entry.Engine != nil {
			e.held = adaptersByModel(entry.Engine.Held)
		}
	}
	for id := range d.endpoints {
		if _, listed := entries[id]; !listed && d.endpoints[id].own == 0 {
			delete(d.endpoints, id)
		}
	}
	d.pruneSignals(time.Now())
	d.recordVersions(time.Now())
	clear(d.byService)
	for _, e := range d.endpoints {
		e.routable = false
	}
	for service, ids := range byService {
		for _, id := range ids {
			e := d.endpoints[id]
			e.routable = true
			d.byService[service] = append(d.byService[service], e)
		}
	}
	d.forgetHolders()
	d.serveWaiting(time.Now())
}

// SingleVersion returns the version of the software of all endpoints of a service that
// this host has listed within VersionMemory. ok is false if there are several, if one is
// unknown or if none is listed.
func (d *Dispatcher) SingleVersion(service string) (version string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordVersions(time.Now())
	for v := range d.versions[service] {
		if ok || v == "" {
			return "", false
		}
		version, ok = v, true
	}
	return version, ok
}

// Versions returns the versions of each service that have been listed within VersionMemory,
// in no order.
func (d *Dispatcher) Versions() map[string][]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordVersions(time.Now())
	out := make(map[string][]string, len(d.versions))
	for service, seen := range d.versions {
		out[service] = slices.Collect(maps.Keys(seen))
	}
	return out
}

// AddVersions takes versions of services as listed now: another host has listed them lately.
func (d *Dispatcher) AddVersions(versions map[string][]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for service, names := range versions {
		for _, name := range names {
			d.recordVersion(service, name, now)
		}
	}
}

// recordVersion records that a version is listed. d.mu is held.
func (d *Dispatcher) recordVersion(service, version string, now time.Time) {
	seen := d.versions[service]
	if seen == nil {
		seen = make(map[string]time.Time)
		d.versions[service] = seen
	}
	seen[version] = now
}

// recordVersions records the versions that are listed, and forgets those that have not
// been for VersionMemory. d.mu is held.
func (d *Dispatcher) recordVersions(now time.Time) {
	for _, e := range d.endpoints {
		d.recordVersion(e.entry.Service, e.entry.Version, now)
	}
	for service, seen := range d.versions {
		maps.DeleteFunc(seen, func(_ string, at time.Time) bool { return now.Sub(at) > VersionMemory })
		if len(seen) == 0 {
			delete(d.versions, service)
		}
	}
}

// adaptersByModel maps the names of the models to their adapters.
func adaptersByModel(models []tamarackknot.HeldModel) map[string][]string {
	held := make(map[string][]string, len(models))
	for _, m := range models {
		held[m.Name] = m.Adapters
	}
	return held
}

// forgetHolders makes the lists of who holds a model be derived again. d.mu is held.
func (d *Dispatcher) forgetHolders() {
	d.holders = nil
	clear(d.byDomain)
}

// SetView applies the planner's view: the loaded models and requests of the
// engines that it names, and all forecasts.
func (d *Dispatcher) SetView(v tamarackknot.FleetView) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.viewedAt = time.Now()
	d.othersUntil = d.viewedAt.Add(othersMemory)
	d.setShares(v)
	for id, engine := range v.Engines {
		if e := d.endpoints[id]; e != nil {
			e.held, e.others = adaptersByModel(engine.Held), engine.Others
			d.forgetHolders()
		}
	}
	for _, l := range v.Notices {
		d.applyNotice(l, "")
	}
	for _, s := range v.Brittle {
		d.mergeBrittle(s)
	}
	clear(d.forecasts)
	for _, f := range v.Forecasts {
		d.forecasts[target{f.Service, f.Model}] = f.ReadyAt
	}
	d.serveWaiting(time.Now())
}

// Demand returns the running requests of this host and, for the models whose
// demand changed since the last call, the waiting requests and the request
// counts. With all it returns every model.
func (d *Dispatcher) Demand(all bool) tamarackknot.HostDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := tamarackknot.HostDemand{Notices: d.reportNotices(all), Brittle: d.reportBrittle()}
	d.pruneRefused(time.Now())
	for id, e := range d.endpoints {
		for k, n := range e.running {
			out.Running = append(out.Running, tamarackknot.RunCount{Endpoint: id, Model: k.model, Adapter: k.adapter, Count: n})
		}
	}
	demands := make(map[target]*tamarackknot.ModelDemand)
	for t, h := range d.history {
		if all || d.changed[t] {
			demands[t] = &tamarackknot.ModelDemand{
				Service: t.service, Model: t.model, Total: h.total, TightTotal: h.tight, LastUsed: h.lastUsed,
			}
		}
	}
	clear(d.changed)
	for _, w := range d.waiting {
		if demand := demands[target{w.req.Service, w.req.Model}]; demand != nil {
			addWaiting(demand, w)
		}
	}
	for _, r := range d.refused {
		if demand := demands[target{r.req.Service, r.req.Model}]; demand != nil {
			addWaiting(demand, r.waiter)
		}
	}
	for _, demand := range demands {
		out.Models = append(out.Models, *demand)
	}
	slices.SortFunc(out.Models, func(a, b tamarackknot.ModelDemand) int { return cmp.Compare(a.Model, b.Model) })
	return out
}

func addWaiting(demand *tamarackknot.ModelDemand, w *waiter) {
	if demand.Waiting == 0 || w.req.Objective.Before(demand.Objective) {
		demand.Objective = w.req.Objective
	}
	if demand.Waiting == 0 || w.req.Deadline.Before(demand.Deadline) {
		demand.Deadline = w.req.Deadline
	}
	demand.Waiting++
	if w.tight {
		demand.Tight++
	}
	if w.req.Adapter != "" && !slices.Contains(demand.Adapters, w.req.Adapter) {
		demand.Adapters = append(demand.Adapters, w.req.Adapter)
	}
}
