package locality

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// TestDecide guards against requests that leave for less than their bytes cost, and that stay
// where they would be late.
func TestDecide(t *testing.T) {
	none := math.Inf(1)
	cases := map[string]struct {
		choice Choice
		reason Reason
	}{
		"nobody at home":             {Choice{Own: none, Other: 0.9}, ReasonAbsent},
		"home full":                  {Choice{Holders: true, Own: none, Other: 0.9}, ReasonFull},
		"nobody elsewhere":           {Choice{Holders: true, Own: 0.9, Other: none, Share: 1, Shared: true}, ReasonHome},
		"little to gain":             {Choice{Holders: true, Own: 0.3, Other: 0.2}, ReasonHome},
		"much to gain":               {Choice{Holders: true, Own: 0.8, Other: 0.2}, ReasonGain},
		"a gain that only some take": {Choice{Holders: true, Own: 0.5, Other: 0.3, Ticket: 0.9}, ReasonHome},
		"within the share":           {Choice{Holders: true, Own: 0.3, Other: 0.3, Shared: true, Share: 0.3, Ticket: 0.2}, ReasonShare},
		"beyond the share":           {Choice{Holders: true, Own: 0.5, Other: 0.3, Shared: true, Share: 0.3, Ticket: 0.4}, ReasonHome},
		"a share that is not known":  {Choice{Holders: true, Own: 0.3, Other: 0.3, Share: 0.3, Ticket: 0.2}, ReasonHome},
		"the planner behind":         {Choice{Holders: true, Own: 0.9, Other: 0.3, Shared: true}, ReasonGain},
		"a large answer":             {Choice{Holders: true, Own: 0.5, Other: 0.2, Bytes: 1e6}, ReasonHome},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tc.choice.Slack = 0.5
			if tc.choice.Bytes == 0 {
				tc.choice.Bytes = typicalBytes
			}
			require.Equal(t, tc.reason, Price(5000).Decide(tc.choice))
		})
	}
	require.Greater(t, RequestBytes(0, tamarackknot.RequestTokens{Known: true, Output: 1000}), RequestBytes(0, tamarackknot.RequestTokens{}))
}

// TestTickets guards against tickets that are not uniform, so that more or less than the share
// leaves.
func TestTickets(t *testing.T) {
	low := 0
	for i := range 10000 {
		if ticket := TicketOf(time.Duration(i).String()); ticket < 0.25 {
			low++
		} else {
			require.Less(t, ticket, 1.0)
		}
	}
	require.InDelta(t, 2500, low, 150)
}

// balancerLoad is a domain with a model that two others hold too, and its demand.
func balancerLoad(demand float64) ([]Endpoint, []Demand) {
	var endpoints []Endpoint
	for _, domain := range []string{"z1", "z2", "z3"} {
		endpoints = append(endpoints, Endpoint{ID: domain, Service: "s", Domain: domain, Slots: 20, Models: []string{"m"}})
	}
	return endpoints, []Demand{{"z1", "s", "m", demand}, {"z2", "s", "m", 4}, {"z3", "s", "m", 4}}
}

// TestBalancer guards against shares that the other domains can't take, shares of domains that
// need none, and shares that jump when a shortage begins or ends.
func TestBalancer(t *testing.T) {
	b, now := NewBalancer(5000), time.Now()
	update := func(demand float64, lasts time.Duration) (shares []tamarackknot.DomainShare, ok bool) {
		endpoints, demands := balancerLoad(demand)
		for end := now.Add(lasts); now.Before(end); now = now.Add(250 * time.Millisecond) {
			shares, ok = b.Update(now, endpoints, demands)
		}
		return shares, ok
	}
	_, ok := update(4, time.Second)
	require.False(t, ok, "the demand is not known yet")
	shares, ok := update(4, 3*time.Second)
	require.True(t, ok)
	require.Empty(t, shares)
	shares, _ = update(30, 6*time.Second)
	require.Len(t, shares, 1)
	require.Equal(t, "z1", shares[0].Domain)
	require.InDelta(t, 0.5, shares[0].Share, 0.1)
	shares, _ = update(150, 10*time.Second)
	require.LessOrEqual(t, shares[0].Share*150, 2*(receiverUse*20-4)+shareStep*150, "others take no more")
	update(30, 10*time.Second)
	before, _ := update(30, time.Second)
	after, _ := update(2, 250*time.Millisecond)
	require.Greater(t, after[0].Share, before[0].Share-0.2, "the requests come back over time")
	shares, _ = update(2, 6*time.Second)
	require.Empty(t, shares)
}

// TestBalancerAbsent guards against a domain whose requests all come back at once to the first
// of its engines that holds their model again.
func TestBalancerAbsent(t *testing.T) {
	b, now := NewBalancer(5000), time.Now()
	endpoints, demands := balancerLoad(25)
	for range 20 {
		shares, _ := b.Update(now, endpoints[1:], demands)
		require.Empty(t, shares, "hosts need no share of a model that is absent")
		now = now.Add(250 * time.Millisecond)
	}
	shares, _ := b.Update(now, endpoints, demands)
	require.Len(t, shares, 1)
	require.Greater(t, shares[0].Share, 0.8)
}

// BenchmarkDecide measures the decision for one request.
func BenchmarkDecide(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		c := Choice{Holders: true, Own: 0.6, Other: 0.3, Bytes: typicalBytes, Slack: 0.4, Shared: true, Share: 0.1}
		c.Ticket = TicketOf("6dcbc173b035889e")
		Price(5000).Decide(c)
	}
}

// BenchmarkBalancer measures an update for today's largest and for the largest intended
// deployment.
func BenchmarkBalancer(b *testing.B) {
	for _, size := range []struct{ endpoints, models, domains int }{{245, 100, 4}, {6900, 97, 14}} {
		b.Run(fmt.Sprintf("%d endpoints", size.endpoints), func(b *testing.B) {
			var endpoints []Endpoint
			for i := range size.endpoints {
				e := Endpoint{ID: fmt.Sprint(i), Service: "s", Domain: fmt.Sprint(i % size.domains), Slots: 24}
				for n := range 3 {
					e.Models = append(e.Models, fmt.Sprint((3*i+n)%size.models))
				}
				endpoints = append(endpoints, e)
			}
			var demands []Demand
			for m := range size.models {
				for d := range size.domains {
					load := float64(size.endpoints*24) / float64(size.models*size.domains)
					demands = append(demands, Demand{fmt.Sprint(d), "s", fmt.Sprint(m), load * float64(1+d) / float64(size.domains)})
				}
			}
			balancer, now := NewBalancer(5000), time.Now()
			for b.Loop() {
				balancer.Update(now, endpoints, demands)
				now = now.Add(250 * time.Millisecond)
			}
		})
	}
}
