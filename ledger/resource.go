package ledger

import (
	"reflect"

	"tamarackknot.example/tamarackknot"
)

// reference identifies a resource that another one refers to.
type reference struct {
	kind tamarackknot.Kind
	name string
}

// referencesOf returns the resources that a resource refers to, its deployment
// first, and the name of the deployment. Unused references have no name.
func referencesOf(r *tamarackknot.Resource) (refs [2]reference, deployment string) {
	switch r.Kind {
	case tamarackknot.KindModel:
		deployment = r.Model.Deployment
	case tamarackknot.KindAdapter:
		deployment = r.Adapter.Deployment
		refs[1] = reference{tamarackknot.KindModel, r.Adapter.Model}
	case tamarackknot.KindService:
		deployment = r.Service.Deployment
	case tamarackknot.KindEndpoint:
		deployment = r.Endpoint.Deployment
		if r.Endpoint.Service != "" {
			refs[1] = reference{tamarackknot.KindService, r.Endpoint.Service}
		}
	default:
		return refs, ""
	}
	refs[0] = reference{tamarackknot.KindDeployment, deployment}
	return refs, deployment
}

func (l *Ledger) applyResource(rec *tamarackknot.Record, out tamarackknot.Outcome) tamarackknot.Outcome {
	r := rec.Apply.Resource
	if err := Validate(r); err != nil {
		return reject(out, tamarackknot.ReasonInvalid, "%v", err)
	}
	name, basedOn := r.Metadata.Name, rec.Apply.BasedOn
	old := l.resources[r.Kind].byName[name]
	var stored tamarackknot.Offset
	if old != nil {
		stored = old.Metadata.Revision
	}
	if stored != basedOn {
		out.Current = stored
		return reject(out, tamarackknot.ReasonConflict, "%s %q has revision %d, the write is based on revision %d", r.Kind, name, stored, basedOn)
	}
	// A duplicate of a record that arrives after its id was forgotten must not
	// recreate a resource that was removed since. All other records are
	// conditional on a version that never recurs.
	if old == nil && rec.Time.Before(l.time.Add(-l.cfg.SeenWindow)) {
		return reject(out, tamarackknot.ReasonExpired, "time %s of a record that creates a resource: allowed are %s before log time %s", rec.Time, l.cfg.SeenWindow, l.time)
	}
	if o, ok := l.checkReferences(&r, out); !ok {
		return o
	}
	if o, ok := l.checkChange(old, &r, out); !ok {
		return o
	}
	l.store(old, &r, out.Offset)
	l.configOffset = out.Offset
	return accept(out)
}

// checkReferences rejects a resource that refers to a missing resource or to one
// of another deployment.
func (l *Ledger) checkReferences(r *tamarackknot.Resource, out tamarackknot.Outcome) (tamarackknot.Outcome, bool) {
	refs, deployment := referencesOf(r)
	for i, ref := range refs {
		if ref.name == "" {
			continue
		}
		to, ok := l.resources[ref.kind].byName[ref.name]
		if !ok {
			return reject(out, tamarackknot.ReasonInvalid, "spec.%s %q: no such %s", ref.kind, ref.name, ref.kind), false
		}
		if i == 0 {
			continue
		}
		if _, d := referencesOf(to); d != deployment {
			return reject(out, tamarackknot.ReasonInvalid, "spec.%s %q: belongs to deployment %q, allowed is %q", ref.kind, ref.name, d, deployment), false
		}
	}
	return out, true
}

// checkChange rejects values that are not unique and changes that conflict with
// the reservations or dependents of the stored resource.
func (l *Ledger) checkChange(old, r *tamarackknot.Resource, out tamarackknot.Outcome) (tamarackknot.Outcome, bool) {
	name := r.Metadata.Name
	switch r.Kind {
	case tamarackknot.KindModel, tamarackknot.KindAdapter:
		other := tamarackknot.KindAdapter
		if r.Kind == tamarackknot.KindAdapter {
			other = tamarackknot.KindModel
		}
		if _, ok := l.resources[other].byName[name]; ok {
			return reject(out, tamarackknot.ReasonInvalid, "metadata.name %q: is the name of a %s, models and adapters share names", name, other), false
		}
		if o, ok := l.checkRemovedTarget(old, r, out); !ok {
			return o, false
		}
	case tamarackknot.KindService:
		if s, ok := l.prefixes[r.Service.Prefix]; ok && s != name {
			return reject(out, tamarackknot.ReasonInvalid, "spec.prefix %q: is the prefix of service %q, allowed is a prefix of its own", r.Service.Prefix, s), false
		}
	case tamarackknot.KindEndpoint:
		if e, ok := l.addresses[r.Endpoint.Address]; ok && e != name {
			return reject(out, tamarackknot.ReasonInvalid, "spec.address %q: is the address of endpoint %q, allowed is an address of its own", r.Endpoint.Address, e), false
		}
		if old != nil && l.replicas.count(name) > 0 && (old.Endpoint.Address != r.Endpoint.Address ||
			old.Endpoint.Deployment != r.Endpoint.Deployment || old.Endpoint.Service != r.Endpoint.Service) {
			return reject(out, tamarackknot.ReasonInUse, "endpoint %q has %d reservations: address, deployment and service cannot change", name, l.replicas.count(name)), false
		}
	default:
	}
	return l.checkDependents(old, r, out)
}

// checkRemovedTarget rejects a new model with the name of a removed adapter that
// still has reservations, and the reverse.
func (l *Ledger) checkRemovedTarget(old, r *tamarackknot.Resource, out tamarackknot.Outcome) (tamarackknot.Outcome, bool) {
	if old != nil {
		return out, true
	}
	for _, rep := range l.replicas.byTarget[r.Metadata.Name] {
		if (rep.Base != "") != (r.Kind == tamarackknot.KindAdapter) {
			return reject(out, tamarackknot.ReasonInUse, "metadata.name %q: endpoint %q has a reservation of a removed target of the other kind", rep.Target, rep.Endpoint), false
		}
	}
	return out, true
}

// checkDependents rejects a new deployment of a model or service that adapters
// or endpoints refer to.
func (l *Ledger) checkDependents(old, r *tamarackknot.Resource, out tamarackknot.Outcome) (tamarackknot.Outcome, bool) {
	if old == nil {
		return out, true
	}
	_, before := referencesOf(old)
	_, after := referencesOf(r)
	if n := l.references[reference{r.Kind, r.Metadata.Name}]; n > 0 && before != after {
		return reject(out, tamarackknot.ReasonInUse, "spec.deployment %q: %d resources refer to %s %q, allowed is %q", after, n, r.Kind, r.Metadata.Name, before), false
	}
	return out, true
}

// store replaces old, or adds a resource if old is nil, and sets its revision
// and generation.
func (l *Ledger) store(old, r *tamarackknot.Resource, offset tamarackknot.Offset) {
	internStrings(r)
	r.Metadata.Revision = offset
	r.Metadata.Generation = 1
	if old != nil {
		r.Metadata.Name = old.Metadata.Name // shares the memory of the map keys
		r.Metadata.Generation = old.Metadata.Generation
		if !sameSpec(old, r) {
			r.Metadata.Generation++
		}
		l.removeReferences(old)
	} else if r.Kind == tamarackknot.KindModel || r.Kind == tamarackknot.KindAdapter {
		l.replicas.basis[r.Metadata.Name] = offset
	}
	l.addReferences(r)
	l.resources[r.Kind].set(r)
}

func (l *Ledger) removeResource(c *tamarackknot.Remove, out tamarackknot.Outcome) tamarackknot.Outcome {
	coll, ok := l.resources[c.Kind]
	if !ok {
		return reject(out, tamarackknot.ReasonInvalid, "kind %q: allowed are %v", c.Kind, tamarackknot.Kinds())
	}
	old, ok := coll.byName[c.Name]
	if !ok {
		return reject(out, tamarackknot.ReasonNotFound, "%s %q does not exist, the removal is based on revision %d", c.Kind, c.Name, c.BasedOn)
	}
	if old.Metadata.Revision != c.BasedOn {
		out.Current = old.Metadata.Revision
		return reject(out, tamarackknot.ReasonConflict, "%s %q has revision %d, the removal is based on revision %d", c.Kind, c.Name, out.Current, c.BasedOn)
	}
	if n := l.references[reference{c.Kind, c.Name}]; n > 0 {
		return reject(out, tamarackknot.ReasonInUse, "%d resources refer to %s %q", n, c.Kind, c.Name)
	}
	if n := l.replicas.count(c.Name); c.Kind == tamarackknot.KindEndpoint && n > 0 {
		return reject(out, tamarackknot.ReasonInUse, "endpoint %q has %d reservations", c.Name, n)
	}
	l.removeReferences(old)
	coll.remove(c.Name)
	l.deleteUnusedBasis(c.Name)
	l.configOffset = out.Offset
	return accept(out)
}

// addReferences counts what a resource refers to and indexes its unique fields.
func (l *Ledger) addReferences(r *tamarackknot.Resource) {
	refs, _ := referencesOf(r)
	for _, ref := range refs {
		if ref.name != "" {
			l.references[ref]++
		}
	}
	switch r.Kind {
	case tamarackknot.KindService:
		l.prefixes[r.Service.Prefix] = r.Metadata.Name
	case tamarackknot.KindEndpoint:
		l.addresses[r.Endpoint.Address] = r.Metadata.Name
	default:
	}
}

// removeReferences reverts addReferences.
func (l *Ledger) removeReferences(r *tamarackknot.Resource) {
	refs, _ := referencesOf(r)
	for _, ref := range refs {
		if ref.name == "" {
			continue
		}
		if l.references[ref]--; l.references[ref] == 0 {
			delete(l.references, ref)
		}
	}
	switch r.Kind {
	case tamarackknot.KindService:
		delete(l.prefixes, r.Service.Prefix)
	case tamarackknot.KindEndpoint:
		delete(l.addresses, r.Endpoint.Address)
	default:
	}
}

func sameSpec(a, b *tamarackknot.Resource) bool {
	x, y := *a, *b
	x.Metadata, y.Metadata = tamarackknot.Metadata{}, tamarackknot.Metadata{}
	return reflect.DeepEqual(x, y)
}

// internStrings shares the strings that many resources of a kind repeat, and
// replaces empty lists by nil so that equal specs compare as equal.
func internStrings(r *tamarackknot.Resource) {
	for _, k := range tamarackknot.Kinds() {
		if r.Kind == k {
			r.Kind = k
		}
	}
	switch r.Kind {
	case tamarackknot.KindModel:
		r.Model.Deployment, r.Model.Version = intern(r.Model.Deployment), intern(r.Model.Version)
	case tamarackknot.KindAdapter:
		a := r.Adapter
		a.Deployment, a.Model, a.Version = intern(a.Deployment), intern(a.Model), intern(a.Version)
	case tamarackknot.KindService:
		r.Service.Deployment = intern(r.Service.Deployment)
		if len(r.Service.RepeatableMethods) == 0 {
			r.Service.RepeatableMethods = nil
		}
	case tamarackknot.KindEndpoint:
		e := r.Endpoint
		e.Deployment, e.FailureDomain, e.Service = intern(e.Deployment), intern(e.FailureDomain), intern(e.Service)
	default:
	}
}
