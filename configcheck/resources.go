package configcheck

import (
	"fmt"
	"reflect"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/ledger"
)

// resourceKey identifies a resource.
type resourceKey struct {
	kind tamarackknot.Kind
	name string
}

func keyOf(r tamarackknot.Resource) resourceKey { return resourceKey{r.Kind, r.Metadata.Name} }

func (k resourceKey) String() string { return fmt.Sprintf("%s %q", k.kind, k.name) }

// resourceChecker collects what is wrong with the resources of a manifest.
type resourceChecker struct {
	byKey            map[resourceKey]tamarackknot.Resource
	errors, warnings []Finding
}

// Resources checks the resources of a manifest as the daemon does, and names those that can
// never take effect. A reference to a resource that the manifest lacks is a warning, since the
// daemon may have it.
func Resources(resources []tamarackknot.Resource) (errs, warnings []Finding) {
	k := &resourceChecker{byKey: make(map[resourceKey]tamarackknot.Resource)}
	for _, r := range resources {
		if _, taken := k.byKey[keyOf(r)]; taken {
			k.fail(keyOf(r).String(), "occurs twice")
		}
		k.byKey[keyOf(r)] = r
		k.validate(r)
	}
	for _, r := range resources {
		k.references(r)
	}
	k.capacity(resources)
	return k.errors, k.warnings
}

func (k *resourceChecker) fail(path, format string, args ...any) {
	k.errors = append(k.errors, Finding{path, fmt.Sprintf(format, args...)})
}

func (k *resourceChecker) warn(path, format string, args ...any) {
	k.warnings = append(k.warnings, Finding{path, fmt.Sprintf(format, args...)})
}

// validate adds an error for each field that the daemon rejects.
func (k *resourceChecker) validate(r tamarackknot.Resource) {
	err := ledger.Validate(r)
	if err == nil {
		return
	}
	list := []error{err}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		list = joined.Unwrap()
	}
	for _, err := range list {
		var field *ledger.FieldError
		if errors.As(err, &field) {
			k.fail(fmt.Sprintf("%s, %s", keyOf(r), field.Field), "%#v: allowed are %s", field.Value, field.Allowed)
			continue
		}
		k.fail(keyOf(r).String(), "%v", err)
	}
}

// references warns of resources that the manifest lacks.
func (k *resourceChecker) references(r tamarackknot.Resource) {
	refer := func(kind tamarackknot.Kind, name string) {
		if _, listed := k.byKey[resourceKey{kind, name}]; !listed && name != "" {
			k.warn(keyOf(r).String(), "refers to %s, which the file lacks", resourceKey{kind, name})
		}
	}
	refer(tamarackknot.KindDeployment, deploymentOf(r))
	switch {
	case r.Adapter != nil:
		refer(tamarackknot.KindModel, r.Adapter.Model)
	case r.Endpoint != nil:
		refer(tamarackknot.KindService, r.Endpoint.Service)
	}
}

func deploymentOf(r tamarackknot.Resource) string {
	switch {
	case r.Model != nil:
		return r.Model.Deployment
	case r.Adapter != nil:
		return r.Adapter.Deployment
	case r.Service != nil:
		return r.Service.Deployment
	case r.Endpoint != nil:
		return r.Endpoint.Deployment
	}
	return ""
}

// capacity warns of what no endpoint of the manifest can serve. Of deployments without
// endpoints in it nothing is known.
func (k *resourceChecker) capacity(resources []tamarackknot.Resource) {
	engines, largest := make(map[string]int), make(map[string]int64)
	served, prefixes, addresses := make(map[string]int), make(map[string]string), make(map[string]string)
	listed := make(map[string]bool)
	for _, r := range resources {
		if e := r.Endpoint; e != nil {
			listed[e.Deployment] = true
			if other, taken := addresses[e.Address]; taken {
				k.warn(keyOf(r).String(), "has the address %s of endpoint %q", e.Address, other)
			}
			addresses[e.Address] = r.Metadata.Name
			if e.Service != "" {
				served[e.Service]++
				continue
			}
			engines[e.Deployment]++
			largest[e.Deployment] = max(largest[e.Deployment], e.MemoryMB)
		}
	}
	for _, r := range resources {
		path, d := keyOf(r).String(), deploymentOf(r)
		switch {
		case r.Model != nil:
			k.target(path, listed[d], r.Model.MaxReplicas, engines[d], r.Model.MemoryMB, largest[d])
		case r.Adapter != nil:
			base := k.byKey[resourceKey{tamarackknot.KindModel, r.Adapter.Model}]
			need := r.Adapter.MemoryMB
			if base.Model != nil {
				need += base.Model.MemoryMB
			}
			k.target(path, listed[d], r.Adapter.MaxReplicas, engines[d], need, largest[d])
		case r.Service != nil:
			if other, taken := prefixes[r.Service.Prefix]; taken {
				k.warn(path, "never matches: service %q has the prefix %q too", other, r.Service.Prefix)
			}
			prefixes[r.Service.Prefix] = r.Metadata.Name
			if listed[d] && served[r.Metadata.Name] == 0 {
				k.warn(path, "no endpoint serves it")
			}
		}
	}
}

// target checks whether engines can hold a model, or an adapter with its model.
func (k *resourceChecker) target(path string, listed bool, replicas, engines int, need, largest int64) {
	switch {
	case replicas == 0:
		k.warn(path, "nobody may hold it: maxReplicas is 0")
	case !listed:
	case engines == 0:
		k.warn(path, "nobody can hold it: no endpoint of its deployment is an engine")
	case need > largest:
		k.warn(path, "no engine can hold it: it needs %d MB, the largest has %d", need, largest)
	case replicas > engines:
		k.warn(path, "maxReplicas is %d, but there are %d engines", replicas, engines)
	}
}

// DiffResources returns what changes from the resources of one manifest to those of another.
func DiffResources(before, after []tamarackknot.Resource) []Change {
	d := &differ{}
	old, now := make(map[resourceKey]tamarackknot.Resource), make(map[resourceKey]bool)
	for _, r := range before {
		old[keyOf(r)] = r
	}
	for _, r := range after {
		now[keyOf(r)] = true
		b, known := old[keyOf(r)]
		if !known {
			d.add(ChangeAdded, "%s", keyOf(r))
			if r.Model != nil || r.Adapter != nil {
				d.add(ChangeLoad, "%s", keyOf(r))
			}
			continue
		}
		d.resource(keyOf(r).String(), b, r)
	}
	for _, r := range before {
		if !now[keyOf(r)] {
			d.add(ChangeRemoved, "%s", keyOf(r))
			if r.Model != nil || r.Adapter != nil || r.Service != nil {
				d.add(ChangeAccess, "callers of %s", keyOf(r))
			}
		}
	}
	return d.changes
}

// resource adds the changes of the fields of one resource. Numbers are lowered or raised.
func (d *differ) resource(what string, b, a tamarackknot.Resource) {
	before, after := specOf(b), specOf(a)
	if !before.IsValid() || !after.IsValid() || before.Type() != after.Type() {
		return
	}
	for i := range after.NumField() {
		name := after.Type().Field(i).Tag.Get("json")
		x, y := before.Field(i), after.Field(i)
		switch {
		case reflect.DeepEqual(x.Interface(), y.Interface()):
		case x.CanInt():
			d.number(what+", "+name, float64(x.Int()), float64(y.Int()))
		case x.CanFloat():
			d.number(what+", "+name, x.Float(), y.Float())
		default:
			d.add(ChangeOther, "%s, %s: %v, was %v", what, name, y.Interface(), x.Interface())
			if name == "version" {
				d.add(ChangeLoad, "%s", what)
			}
		}
	}
}

// specOf returns the spec of a resource, the zero value if it has none.
func specOf(r tamarackknot.Resource) reflect.Value {
	for _, spec := range []any{r.Deployment, r.Model, r.Adapter, r.Service, r.Endpoint} {
		if v := reflect.ValueOf(spec); !v.IsNil() {
			return v.Elem()
		}
	}
	return reflect.Value{}
}
