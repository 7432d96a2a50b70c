package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/locality"
)

// TestDecideDomains guards against replicas loaded far from the callers of a model, against
// loads that save less traffic than they cost, and against a price that matters in one domain.
func TestDecideDomains(t *testing.T) {
	asked := func(rate float64, domains map[string]float64) ModelState {
		s := ModelState{Total: 100, Rate: rate, LastUsed: testNow(), Domains: domains}
		for _, load := range domains {
			s.Load += load
		}
		return s
	}
	wanted := waiting(4)
	wanted.Domains, wanted.Rate, wanted.Load = map[string]float64{"z2": 6}, 4, 6
	engines := func(domain string) []EngineState {
		return []EngineState{
			{ID: "a", Domain: "z1", Held: held("m00"), OnDisk: onDisk("m00", "m06")},
			{ID: "b", Domain: domain, Held: held("m01"), OnDisk: onDisk("m01", "m06")},
		}
	}
	cases := map[string]struct {
		price   locality.Price
		engines []EngineState
		models  map[string]ModelState
		moves   []Move
	}{
		"a model is loaded in the domain that asks for it": {
			price: 5000, engines: engines("z2"), models: map[string]ModelState{"m06": wanted},
			moves: []Move{{Engine: "b", Model: "m06", Tier: tamarackknot.TierDisk}},
		},
		"without a price the domain does not matter": {
			engines: engines("z2"), models: map[string]ModelState{"m06": wanted},
			moves: []Move{{Engine: "a", Model: "m06", Tier: tamarackknot.TierDisk}},
		},
		"with one domain the price does not matter": {
			price: 5000, engines: engines("z1"), models: map[string]ModelState{"m06": wanted},
			moves: []Move{{Engine: "a", Model: "m06", Tier: tamarackknot.TierDisk}},
		},
		"a domain that asks much gets a replica of its own": {
			price: 5000, engines: engines("z2"), models: map[string]ModelState{"m00": asked(6, map[string]float64{"z2": 3, "z1": 0.5})},
			moves: nil, // not cached there
		},
		"a domain that asks little gets none": {
			price: 5000, engines: []EngineState{
				{ID: "a", Domain: "z1", Held: held("m06")}, {ID: "b", Domain: "z2", OnDisk: onDisk("m06")},
			}, models: map[string]ModelState{"m06": asked(0.5, map[string]float64{"z2": 1.1})},
		},
		"a domain that asks much gets one from its disks": {
			price: 5000, engines: []EngineState{
				{ID: "a", Domain: "z1", Held: held("m06")}, {ID: "b", Domain: "z2", OnDisk: onDisk("m06")},
			}, models: map[string]ModelState{"m06": asked(6, map[string]float64{"z2": 3})},
			moves: []Move{{Engine: "b", Model: "m06", Tier: tamarackknot.TierDisk}},
		},
		"no model loses its last replica for that": {
			price: 5000, engines: []EngineState{
				{ID: "a", Domain: "z1", Held: held("m06")}, {ID: "b", Domain: "z2", Held: held("m00", "m01", "m02"), OnDisk: onDisk("m06")},
			}, models: map[string]ModelState{"m06": asked(6, map[string]float64{"z2": 3})},
		},
		"the last replica of a domain is kept for its callers": {
			price: 5000, engines: []EngineState{
				{ID: "a", Domain: "z1", Held: held("m00", "m01", "m02"), OnDisk: onDisk("m06")},
				{ID: "b", Domain: "z2", Held: held("m00", "m01", "m02")},
				{ID: "c", Domain: "z1", Held: held("m01", "m02")},
			}, models: map[string]ModelState{
				"m06": waiting(4), "m00": asked(4, map[string]float64{"z1": 3}), "m01": asked(4, map[string]float64{"z1": 3}), "m02": asked(4, map[string]float64{"z1": 3}),
			},
			moves: []Move{{Engine: "a", Model: "m06", Tier: tamarackknot.TierDisk, Evict: []string{"m01"}}},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := Decide(ServiceState{Now: testNow(), Service: "s", Spec: testSpec(10), Engines: tc.engines, Models: tc.models, ColdLimit: 2, Price: tc.price})
			require.Equal(t, tc.moves, d.Moves)
		})
	}
}

// TestShares guards against demand that is counted for the wrong failure domain or model, so
// that a domain short of engines has no share.
func TestShares(t *testing.T) {
	entries := map[string]tamarackknot.EndpointEntry{
		"p1": {ID: "p1", Service: "p", FailureDomain: "z1", Slots: 10, State: tamarackknot.EndpointReady},
		"p2": {ID: "p2", Service: "p", FailureDomain: "z2", Slots: 10, State: tamarackknot.EndpointReady},
		"p3": {ID: "p3", Service: "p", FailureDomain: "z2", Slots: 10, State: tamarackknot.EndpointDraining},
	}
	c := New(Config{Price: 5000, Endpoints: func() map[string]tamarackknot.EndpointEntry { return entries }})
	demand := []tamarackknot.DomainDemand{{Domain: "z1", Running: []tamarackknot.RunCount{{Endpoint: "p1", Count: 9}, {Endpoint: "p2", Count: 3}}}}
	for now, i := testNow(), 0; i < 20; now, i = now.Add(2*sharesInterval), i+1 {
		c.syncDomains(demand, now)
		require.Equal(t, now.Sub(testNow()) >= 2*time.Second, !c.domains.sharesAt.IsZero())
	}
	require.Len(t, c.domains.shares, 1)
	share := c.domains.shares[0]
	require.Equal(t, "z1/p/", share.Domain+"/"+share.Service+"/"+share.Model)
	require.InDelta(t, 0.5, share.Share, 0.15)
}
