package ledger

import (
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

// Limits of the values in resources. They keep sums of memory from overflowing
// and reject typing errors.
const (
	maxPriority       = 9
	maxLoadsPerSecond = 10_000
	maxLoadsAtOnce    = 10_000
	maxMemoryMB       = 100_000_000
	maxReplicas       = 100_000
	maxSlots          = 100_000
	maxNameLength     = 128 // bytes
)

// FieldError reports a field of a resource whose value is not allowed.
type FieldError struct {
	Field   string // path as operators write it, such as spec.memoryMB
	Value   any
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	if s, ok := e.Value.(string); ok {
		return fmt.Sprintf("%s %q: allowed are %s", e.Field, s, e.Allowed)
	}
	return fmt.Sprintf("%s %v: allowed are %s", e.Field, e.Value, e.Allowed)
}

// Validate checks a resource without the resources that it refers to. The error
// is a FieldError, or joins one for each invalid field.
func Validate(r tamarackknot.Resource) error {
	v := &validator{}
	if !slices.Contains(tamarackknot.Kinds(), r.Kind) {
		v.fail("kind", string(r.Kind), fmt.Sprintf("%v", tamarackknot.Kinds()))
		return v.err()
	}
	v.specs(&r)
	if len(v.errs) > 0 {
		return v.err()
	}
	switch r.Kind {
	case tamarackknot.KindDeployment:
		v.name("metadata.name", r.Metadata.Name)
		v.deployment(r.Deployment)
	case tamarackknot.KindModel:
		v.targetName("metadata.name", r.Metadata.Name)
		v.model(r.Model)
	case tamarackknot.KindAdapter:
		v.targetName("metadata.name", r.Metadata.Name)
		v.adapter(r.Adapter)
	case tamarackknot.KindService:
		v.name("metadata.name", r.Metadata.Name)
		v.service(r.Service)
	case tamarackknot.KindEndpoint:
		v.name("metadata.name", r.Metadata.Name)
		v.endpoint(r.Endpoint)
	}
	return v.err()
}

type validator struct {
	errs []error
}

func (v *validator) fail(field string, value any, allowed string) {
	v.errs = append(v.errs, &FieldError{Field: field, Value: value, Allowed: allowed})
}

func (v *validator) err() error {
	if len(v.errs) == 1 {
		return v.errs[0]
	}
	return errors.Join(v.errs...)
}

// specs checks that the spec of the kind is set and no other.
func (v *validator) specs(r *tamarackknot.Resource) {
	set := map[tamarackknot.Kind]bool{
		tamarackknot.KindDeployment: r.Deployment != nil,
		tamarackknot.KindModel:      r.Model != nil,
		tamarackknot.KindAdapter:    r.Adapter != nil,
		tamarackknot.KindService:    r.Service != nil,
		tamarackknot.KindEndpoint:   r.Endpoint != nil,
	}
	for _, k := range tamarackknot.Kinds() {
		switch {
		case k == r.Kind && !set[k]:
			v.fail("spec", "(none)", fmt.Sprintf("the fields of kind %s", r.Kind))
		case k != r.Kind && set[k]:
			v.fail("spec", string(k), fmt.Sprintf("only the fields of kind %s", r.Kind))
		}
	}
}

func (v *validator) deployment(s *tamarackknot.DeploymentSpec) {
	v.number("spec.priority", int64(s.Priority), 0, maxPriority)
	if math.IsNaN(s.ColdStartWeight) || s.ColdStartWeight < 0 || s.ColdStartWeight > 1 {
		v.fail("spec.coldStartWeight", s.ColdStartWeight, "0 to 1")
	}
	if math.IsNaN(s.LoadsPerSecond) || s.LoadsPerSecond <= 0 || s.LoadsPerSecond > maxLoadsPerSecond {
		v.fail("spec.loadsPerSecond", s.LoadsPerSecond, fmt.Sprintf("numbers above 0 up to %d", maxLoadsPerSecond))
	}
	v.number("spec.loadsAtOnce", int64(s.LoadsAtOnce), 1, maxLoadsAtOnce)
}

func (v *validator) model(s *tamarackknot.ModelSpec) {
	v.name("spec.deployment", s.Deployment)
	v.version(s.Version)
	v.number("spec.memoryMB", s.MemoryMB, 1, maxMemoryMB)
	v.number("spec.maxReplicas", int64(s.MaxReplicas), 0, maxReplicas)
	v.number("spec.priority", int64(s.Priority), 0, maxPriority)
}

func (v *validator) adapter(s *tamarackknot.AdapterSpec) {
	v.name("spec.deployment", s.Deployment)
	v.targetName("spec.model", s.Model)
	v.version(s.Version)
	v.number("spec.memoryMB", s.MemoryMB, 1, maxMemoryMB)
	v.number("spec.maxReplicas", int64(s.MaxReplicas), 0, maxReplicas)
}

func (v *validator) service(s *tamarackknot.ServiceSpec) {
	v.name("spec.deployment", s.Deployment)
	v.name("spec.prefix", s.Prefix)
	methods := []string{
		http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost,
		http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodTrace,
	}
	for i, m := range s.RepeatableMethods {
		if !slices.Contains(methods, m) || slices.Contains(s.RepeatableMethods[:i], m) {
			v.fail(fmt.Sprintf("spec.repeatableMethods[%d]", i), m, "each once: "+strings.Join(methods, ", "))
		}
	}
}

func (v *validator) endpoint(s *tamarackknot.EndpointSpec) {
	v.name("spec.deployment", s.Deployment)
	// With two spellings of one address its memory could be reserved twice.
	if a, err := netip.ParseAddrPort(s.Address); err != nil || a.Port() == 0 ||
		netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String() != s.Address {
		v.fail("spec.address", s.Address, "IP:port in canonical form, such as 10.1.2.3:8000 or [fd00::1]:8000")
	}
	v.name("spec.failureDomain", s.FailureDomain)
	minMemoryMB := int64(1)
	if s.Service != "" {
		v.name("spec.service", s.Service)
		minMemoryMB = 0
	}
	v.number("spec.memoryMB", s.MemoryMB, minMemoryMB, maxMemoryMB)
	v.number("spec.slots", int64(s.Slots), 1, maxSlots)
}

func (v *validator) number(field string, n, minValue, maxValue int64) {
	if n < minValue || n > maxValue {
		v.fail(field, n, fmt.Sprintf("%d to %d", minValue, maxValue))
	}
}

func (v *validator) version(s string) { v.identifier("spec.version", s, "._:/@+-") }

func (v *validator) name(field, s string) { v.identifier(field, s, "._-") }

func (v *validator) targetName(field, s string) { v.identifier(field, s, "._:/@-") }

// identifier checks that s consists of letters, digits and, after the first
// character, the given punctuation.
func (v *validator) identifier(field, s, punctuation string) {
	ok := s != "" && len(s) <= maxNameLength
	for i := 0; ok && i < len(s); i++ {
		c := s[i]
		alphanumeric := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		ok = alphanumeric || i > 0 && strings.IndexByte(punctuation, c) >= 0
	}
	if !ok {
		v.fail(field, s, fmt.Sprintf("1 to %d letters, digits and %s after a letter or digit", maxNameLength, punctuation))
	}
}
