package configcheck

import (
	"fmt"
	"net"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// leastHeaderBytes are the headers that requests of callers carry: host, id, model, parts
	// of the prompt, deadline, size and key.
	leastHeaderBytes = 512
	// leastBodyBytes is the size of the bodies of requests to models.
	leastBodyBytes = 1500
	// leastCost is the cost of a request where each counts as one.
	leastCost = 1.0
)

// Endpoints are the numbers of endpoints by service; nil if they are not known.
type Endpoints map[string]int

// checker collects the warnings of one configuration.
type checker struct {
	catalog   *tamarackknot.Catalog
	endpoints Endpoints
	findings  []Finding
}

// Catalog returns the entries of a valid configuration that can never take effect, and the
// limits that contradict each other.
func Catalog(c *tamarackknot.Catalog, endpoints Endpoints) []Finding {
	k := &checker{catalog: c, endpoints: endpoints}
	k.routes()
	k.services()
	k.workspaces()
	k.limits()
	return k.findings
}

func (k *checker) warn(path, format string, args ...any) {
	k.findings = append(k.findings, Finding{path, fmt.Sprintf(format, args...)})
}

func routePath(i int, r *tamarackknot.Route) string { return fmt.Sprintf("routes[%d] %q", i, r.Name) }

func servicePath(name string) string { return fmt.Sprintf("service %q", name) }

func workspacePath(name string) string { return fmt.Sprintf("workspace %q", name) }

// routes checks which routes match, and whether their requests can be served.
func (k *checker) routes() {
	first := make(map[string]int)
	for i := range k.catalog.Routes {
		r := &k.catalog.Routes[i]
		path, match := routePath(i, r), r.Host+r.Prefix
		if j, taken := first[match]; taken {
			k.warn(path, "never matches: %s has the same host and prefix %q", routePath(j, &k.catalog.Routes[j]), match)
		} else {
			first[match] = i
		}
		if r.Host == "" {
			k.warn(path, "never matches: no host")
		} else if _, _, err := net.SplitHostPort(r.Host); err == nil {
			k.warn(path, "never matches: the host %q has a port, which is left out of that of a request", r.Host)
		}
		k.routeLimits(path, r)
		k.shares(path, r)
	}
}

// routeLimits checks the limits of a route against each other.
func (k *checker) routeLimits(path string, r *tamarackknot.Route) {
	if r.Timeout > 0 && r.Timeout < r.Objective {
		k.warn(path, "the timeout of %v is below the objective of %v", r.Timeout, r.Objective)
	}
	if r.Timeout > 0 && r.Timeout < r.GapObjective {
		k.warn(path, "the timeout of %v is below the objective for pauses of %v", r.Timeout, r.GapObjective)
	}
	repeatable := r.Kind == tamarackknot.RouteRepeatable || r.Kind == tamarackknot.RouteStream && r.Resumable
	if r.Attempts > 1 && !repeatable {
		k.warn(path, "%d attempts, but its requests run at most once", r.Attempts)
	}
	if r.Resumable && r.Kind != tamarackknot.RouteStream {
		k.warn(path, "resumable, but not a route of streams")
	}
}

// shares checks the services of a route.
func (k *checker) shares(path string, r *tamarackknot.Route) {
	if len(r.Shares) == 0 {
		k.warn(path, "no service: its requests are refused")
	}
	var seen []string
	count := 0
	for _, s := range r.Shares {
		if slices.Contains(seen, s.Service) {
			k.warn(path, "the service %q occurs twice", s.Service)
		}
		seen = append(seen, s.Service)
		if _, listed := k.catalog.Services[s.Service]; !listed {
			k.warn(path, "the service %q is not listed", s.Service)
		}
		count = max(count, k.endpoints[s.Service])
	}
	if k.endpoints != nil && count > 0 && r.Attempts > count {
		k.warn(path, "%d attempts, but no service with more than %d endpoints", r.Attempts, count)
	}
}

// services checks whether services get requests and can hold their models.
func (k *checker) services() {
	led := make(map[string]bool)
	for _, r := range k.catalog.Routes {
		for _, s := range r.Shares {
			led[s.Service] = true
		}
	}
	for _, name := range sortedKeys(k.catalog.Services) {
		if !led[name] {
			k.warn(servicePath(name), "no route leads to it")
		}
		if k.endpoints != nil && led[name] && k.endpoints[name] == 0 {
			k.warn(servicePath(name), "no endpoints")
		}
		if engine := k.catalog.Services[name].Engine; engine != nil {
			k.models(name, engine)
		}
	}
}

// models checks whether engines can hold the models of a service.
func (k *checker) models(service string, engine *tamarackknot.EngineSpec) {
	if len(engine.Models) == 0 {
		k.warn(servicePath(service), "no model may be held")
	}
	reserve := 0.0
	for _, m := range engine.Models {
		if m.Adapters > 0 {
			reserve = max(reserve, m.AdapterMB*float64(engine.AdapterSlots))
		}
	}
	for _, name := range sortedKeys(engine.Models) {
		m := engine.Models[name]
		path := fmt.Sprintf("%s, model %q", servicePath(service), name)
		switch {
		case m.WeightsMB > engine.WeightsMB:
			k.warn(path, "no engine can hold it: %g MB of weights, an engine has %g", m.WeightsMB, engine.WeightsMB)
		case m.WeightsMB+reserve > engine.WeightsMB:
			k.warn(path, "no engine can hold it: %g MB of weights and %g MB for adapters, an engine has %g", m.WeightsMB, reserve, engine.WeightsMB)
		case engine.DiskMB > 0 && m.WeightsMB > engine.DiskMB:
			k.warn(path, "%g MB of weights do not fit on the disk of an engine with %g, so that each load comes from the store", m.WeightsMB, engine.DiskMB)
		}
		if m.Adapters > 0 && engine.AdapterSlots == 0 {
			k.warn(path, "%d adapters, but engines hold none", m.Adapters)
		}
	}
}

// workspaces checks whether the callers of workspaces are admitted.
func (k *checker) workspaces() {
	if !k.catalog.Authenticated {
		return
	}
	anonymousOnly := !slices.ContainsFunc(k.catalog.Routes, func(r tamarackknot.Route) bool { return !r.Anonymous })
	if len(k.catalog.Workspaces) == 0 && !anonymousOnly {
		k.warn("routes", "nobody is admitted to those that need a key: no workspace is valid")
	}
	owners := make(map[tamarackknot.KeyHash]string)
	for i := range k.catalog.Workspaces {
		w := &k.catalog.Workspaces[i]
		path := workspacePath(w.Name)
		if anonymousOnly {
			k.warn(path, "no route admits it: all are anonymous")
		}
		if len(w.Keys) == 0 {
			k.warn(path, "nobody is admitted: it has no key")
		}
		for n, key := range w.Keys {
			switch owner, taken := owners[key]; {
			case !taken:
				owners[key] = w.Name
			case owner != w.Name:
				k.warn(path, "key %d of %d is also one of %s: it is refused for both", n+1, len(w.Keys), workspacePath(owner))
			default:
				k.warn(path, "key %d of %d occurs twice", n+1, len(w.Keys))
			}
		}
		k.quota(path, w.Quota)
	}
}

// quota checks whether requests fit into a quota.
func (k *checker) quota(path string, q tamarackknot.Quota) {
	cost := leastCost
	if q.InTokens {
		cost = max(q.PlainCost, leastCost)
	}
	switch {
	case q.Burst > 0 && q.Burst < cost:
		k.warn(path, "the burst of %g is below the cost of %g of a request", q.Burst, cost)
	case q.Burst > 0 && !q.Limited():
		k.warn(path, "a burst of %g, but no rate: there is no limit", q.Burst)
	}
}

// limits checks the limits of what callers send.
func (k *checker) limits() {
	l := k.catalog.Limits
	if l.HeaderBytes > 0 && l.HeaderBytes < leastHeaderBytes {
		k.warn("limits", "headers of at most %d bytes: those of requests take %d", l.HeaderBytes, leastHeaderBytes)
	}
	engine := false
	for _, s := range k.catalog.Services {
		engine = engine || s.Engine != nil
	}
	if engine && l.BodyBytes > 0 && l.BodyBytes < leastBodyBytes {
		k.warn("limits", "bodies of at most %d bytes: those of requests to models take %d", l.BodyBytes, leastBodyBytes)
	}
	if l.HeaderTimeout > 0 && l.HeaderTimeout < time.Millisecond {
		k.warn("limits", "%v for the headers of a request", l.HeaderTimeout)
	}
}
