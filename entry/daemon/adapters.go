package daemon

import (
	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/caller"
	"tamarackknot.example/tamarackknot/membership"
)

// addresses adapts the membership to caller.Addresses.
type addresses struct {
	members *membership.Membership
}

var _ caller.Addresses = addresses{}

// Addresses implements caller.Addresses.
func (a addresses) Addresses(failureDomain, client string) []caller.Address {
	var out []caller.Address
	for _, m := range a.members.Addresses(failureDomain, client) {
		out = append(out, caller.Address{Address: m.Address, FailureDomain: m.FailureDomain, KeepUntil: m.KeepUntil})
	}
	return out
}

// gate adapts the state of the membership and of the journal to caller.Gate, which
// decides whether this host accepts requests.
type gate struct {
	members *membership.Membership
	journal tamarackknot.Journal
}

var _ caller.Gate = gate{}

// Gate implements caller.Gate.
func (g gate) Gate() caller.GateState {
	switch g.members.Gate() {
	case membership.GateDraining:
		return caller.GateDraining
	case membership.GateReady:
		return caller.GateReady
	default:
		if !g.journal.Status().Ready {
			return caller.GateNotReady
		}
		return caller.GateStale
	}
}
