package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"tamarackknot.example/tamarackknot"
)

// differ collects the changes from one configuration to another.
type differ struct {
	before, after *tamarackknot.Catalog
	changes       []Change
}

// Diff returns what changes from one configuration to another, in the order of its parts.
func Diff(before, after *tamarackknot.Catalog) []Change {
	d := &differ{before: before, after: after}
	if after.Version <= before.Version {
		d.add(ChangeOther, "version %d in place of %d: hosts keep the newer one", after.Version, before.Version)
	}
	d.routes()
	d.services()
	d.workspaces()
	d.limits()
	return d.changes
}

func (d *differ) add(kind ChangeKind, format string, args ...any) {
	d.changes = append(d.changes, Change{kind, fmt.Sprintf(format, args...)})
}

// number adds the change of a number for which zero has no special meaning.
func (d *differ) number(what string, before, after float64) {
	switch {
	case after < before:
		d.add(ChangeLowered, "%s: %s, was %s", what, number(after), number(before))
	case after > before:
		d.add(ChangeRaised, "%s: %s, was %s", what, number(after), number(before))
	}
}

// limit adds the change of a limit, of which zero stands for none.
func (d *differ) limit(what string, before, after float64) {
	switch {
	case before == after:
	case after == 0:
		d.add(ChangeRaised, "%s: no limit, was %s", what, number(before))
	case before == 0:
		d.add(ChangeLowered, "%s: %s, was no limit", what, number(after))
	default:
		d.number(what, before, after)
	}
}

// priority adds the change of a priority, of which a lower number comes first.
func (d *differ) priority(what string, before, after int) {
	switch {
	case before < after:
		d.add(ChangeLowered, "%s, priority: %d, was %d (0 is the highest)", what, after, before)
	case before > after:
		d.add(ChangeRaised, "%s, priority: %d, was %d (0 is the highest)", what, after, before)
	}
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// routesByMatch returns the routes that match, by host and prefix.
func routesByMatch(c *tamarackknot.Catalog) map[string]*tamarackknot.Route {
	out := make(map[string]*tamarackknot.Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		if match := r.Host + r.Prefix; out[match] == nil {
			out[match] = r
		}
	}
	return out
}

func (d *differ) routes() {
	before, after := routesByMatch(d.before), routesByMatch(d.after)
	for _, match := range sortedKeys(before) {
		if after[match] == nil {
			d.add(ChangeRemoved, "route %s (%q)", match, before[match].Name)
			d.lost(match, after)
		}
	}
	for _, match := range sortedKeys(after) {
		if before[match] == nil {
			d.add(ChangeAdded, "route %s (%q)", match, after[match].Name)
			continue
		}
		d.route(match, before[match], after[match])
	}
}

// lost says what becomes of the callers of a route that is removed.
func (d *differ) lost(match string, after map[string]*tamarackknot.Route) {
	host, _, _ := strings.Cut(match, "/")
	var next *tamarackknot.Route
	for _, r := range after {
		if r.Host == host && strings.HasPrefix(match, r.Host+r.Prefix) && (next == nil || len(r.Prefix) > len(next.Prefix)) {
			next = r
		}
	}
	if next == nil {
		d.add(ChangeAccess, "callers of %s: no route matches", match)
		return
	}
	d.add(ChangeOther, "callers of %s: route %s (%q)", match, next.Host+next.Prefix, next.Name)
}

func (d *differ) route(match string, b, a *tamarackknot.Route) {
	what := "route " + match
	if b.Anonymous && !a.Anonymous && d.after.Authenticated {
		d.add(ChangeAccess, "callers of %s without a key", match)
	}
	if b.Kind != a.Kind {
		d.add(ChangeOther, "%s: %s, was %s", what, a.Kind, b.Kind)
	}
	if b.Resumable && !a.Resumable {
		d.add(ChangeLowered, "%s: streams can't be resumed any more", what)
	}
	d.limit(what+", timeout in ms", float64(b.Timeout.Milliseconds()), float64(a.Timeout.Milliseconds()))
	d.limit(what+", objective in ms", float64(b.Objective.Milliseconds()), float64(a.Objective.Milliseconds()))
	d.limit(what+", objective for pauses in ms", float64(b.GapObjective.Milliseconds()), float64(a.GapObjective.Milliseconds()))
	d.number(what+", attempts", float64(b.Attempts), float64(a.Attempts))
	d.priority(what, b.Priority, a.Priority)
	if !slices.Equal(b.Shares, a.Shares) {
		d.add(ChangeOther, "%s: services %s, were %s", what, sharesText(a.Shares), sharesText(b.Shares))
	}
}

func sharesText(shares []tamarackknot.Share) string {
	var out []string
	for _, s := range shares {
		out = append(out, fmt.Sprintf("%s:%d", s.Service, s.Weight))
	}
	return "[" + strings.Join(out, " ") + "]"
}

func (d *differ) services() {
	for _, name := range sortedKeys(d.before.Services) {
		if _, kept := d.after.Services[name]; !kept {
			d.add(ChangeRemoved, "%s", servicePath(name))
		}
	}
	for _, name := range sortedKeys(d.after.Services) {
		before, known := d.before.Services[name]
		if !known {
			d.add(ChangeAdded, "%s", servicePath(name))
		}
		b, a := before.Engine, d.after.Services[name].Engine
		switch {
		case a == nil && b != nil:
			d.add(ChangeOther, "%s: plain, had engines", servicePath(name))
		case a != nil:
			if b == nil {
				b = &tamarackknot.EngineSpec{}
			} else {
				d.engine(servicePath(name), b, a)
			}
			d.models(servicePath(name), b.Models, a.Models)
		}
	}
}

func (d *differ) engine(what string, b, a *tamarackknot.EngineSpec) {
	d.number(what+", slots", float64(b.Slots), float64(a.Slots))
	d.number(what+", MB for weights", b.WeightsMB, a.WeightsMB)
	d.number(what+", slots for adapters", float64(b.AdapterSlots), float64(a.AdapterSlots))
	d.number(what+", MB of memory for weights", b.CacheMB, a.CacheMB)
	d.number(what+", MB of disk for weights", b.DiskMB, a.DiskMB)
	d.number(what+", loads a second", b.LoadsPerSecond, a.LoadsPerSecond)
}

func (d *differ) models(service string, before, after map[string]tamarackknot.HostedModel) {
	for _, name := range sortedKeys(before) {
		if _, kept := after[name]; !kept {
			d.add(ChangeRemoved, "%s, model %q", service, name)
			d.add(ChangeAccess, "requests to %s for model %q", service, name)
		}
	}
	for _, name := range sortedKeys(after) {
		b, known := before[name]
		what := fmt.Sprintf("%s, model %q", service, name)
		if !known {
			d.add(ChangeAdded, "%s", what)
			d.add(ChangeLoad, "%s, %g MB of weights, %v from the store", what, after[name].WeightsMB, after[name].LoadRemote)
			continue
		}
		d.number(what+", MB of weights", b.WeightsMB, after[name].WeightsMB)
		d.number(what+", adapters", float64(b.Adapters), float64(after[name].Adapters))
	}
}

func (d *differ) workspaces() {
	before, after := workspacesByName(d.before), workspacesByName(d.after)
	if d.after.Authenticated && !d.before.Authenticated {
		d.add(ChangeAccess, "callers without a key, on all routes that are not anonymous")
	}
	usedBefore, usedAfter := usableKeys(d.before), usableKeys(d.after)
	for _, name := range sortedKeys(before) {
		if after[name] == nil {
			d.add(ChangeRemoved, "%s", workspacePath(name))
		}
		d.lostKeys(before[name], usedBefore, usedAfter)
	}
	for _, name := range sortedKeys(after) {
		b, a := before[name], after[name]
		if b == nil {
			d.add(ChangeAdded, "%s", workspacePath(name))
			continue
		}
		d.workspace(workspacePath(name), b, a)
	}
}

func workspacesByName(c *tamarackknot.Catalog) map[string]*tamarackknot.Workspace {
	out := make(map[string]*tamarackknot.Workspace)
	for i := range c.Workspaces {
		out[c.Workspaces[i].Name] = &c.Workspaces[i]
	}
	return out
}

// usableKeys returns the workspaces by key, without the keys of several, which are refused.
func usableKeys(c *tamarackknot.Catalog) map[tamarackknot.KeyHash]string {
	owners, shared := make(map[tamarackknot.KeyHash]string), make(map[tamarackknot.KeyHash]bool)
	for _, w := range c.Workspaces {
		for _, key := range w.Keys {
			if owner, taken := owners[key]; taken && owner != w.Name {
				shared[key] = true
			}
			owners[key] = w.Name
		}
	}
	for key := range shared {
		delete(owners, key)
	}
	return owners
}

// lostKeys says how many keys of a workspace are refused, or get another workspace.
func (d *differ) lostKeys(w *tamarackknot.Workspace, before, after map[tamarackknot.KeyHash]string) {
	lost, moved := 0, 0
	for _, key := range w.Keys {
		owner, kept := after[key]
		switch {
		case before[key] != w.Name:
		case !kept:
			lost++
		case owner != w.Name:
			moved++
		}
	}
	if lost > 0 && d.after.Authenticated {
		d.add(ChangeAccess, "callers of %s with %d of its %d keys", workspacePath(w.Name), lost, len(w.Keys))
	}
	if moved > 0 {
		d.add(ChangeOther, "callers of %s with %d of its %d keys: another workspace", workspacePath(w.Name), moved, len(w.Keys))
	}
}

func (d *differ) workspace(what string, b, a *tamarackknot.Workspace) {
	if n := missing(b.Keys, a.Keys); n > 0 {
		d.add(ChangeAdded, "%s, keys: %d", what, n)
	}
	d.limit(what+", rate a second", b.Quota.PerSecond, a.Quota.PerSecond)
	d.limit(what+", burst", b.Quota.Burst, a.Quota.Burst)
	if b.Quota.InTokens != a.Quota.InTokens || b.Quota.PlainCost != a.Quota.PlainCost {
		d.add(ChangeOther, "%s: cost of requests in tokens %t with %g by default, was %t with %g", what,
			a.Quota.InTokens, a.Quota.PlainCost, b.Quota.InTokens, b.Quota.PlainCost)
	}
	if b.HasPriority != a.HasPriority {
		d.add(ChangeOther, "%s: priority of its own %t, was %t", what, a.HasPriority, b.HasPriority)
		return
	}
	d.priority(what, b.Priority, a.Priority)
}

// missing returns the number of keys that a list lacks.
func missing(list, keys []tamarackknot.KeyHash) (n int) {
	held := make(map[tamarackknot.KeyHash]bool, len(list))
	for _, key := range list {
		held[key] = true
	}
	for _, key := range keys {
		if !held[key] {
			n++
		}
	}
	return n
}

func (d *differ) limits() {
	b, a := d.before.Limits, d.after.Limits
	d.limit("limits, bytes of headers", float64(b.HeaderBytes), float64(a.HeaderBytes))
	d.limit("limits, bytes of a body", float64(b.BodyBytes), float64(a.BodyBytes))
	d.limit("limits, ms for headers", float64(b.HeaderTimeout.Milliseconds()), float64(a.HeaderTimeout.Milliseconds()))
	d.limit("limits, ms of an idle connection", float64(b.IdleTimeout.Milliseconds()), float64(a.IdleTimeout.Milliseconds()))
}
