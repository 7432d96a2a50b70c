package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// TestShares guards against shares that reach hosts of another failure domain or hosts that
// don't read them, that are sent again without need, or that count after a lost message.
func TestShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		var p Publisher
		p.cfg.ByDomain = true
		planned := []tamarackknot.DomainShare{{Domain: "z1", Service: "s", Model: "m", Share: 0.25}}
		c := Client{cfg: ClientConfig{Self: tamarackknot.HostEntry{FailureDomain: "z1"}}}
		state := &hostState{domain: "z1", held: &heldLists{Shares: true}}
		exchange := func(s *hostState, full bool) (viewMessage, tamarackknot.FleetView) {
			m := viewMessage{Full: full}
			if full {
				s.sharesVersion = 0
			}
			p.addShares(s, &m, time.Now())
			var v tamarackknot.FleetView
			c.applyShares(m, &v, time.Now())
			return m, v
		}
		_, v := exchange(state, true)
		require.True(t, v.SharesAt.IsZero(), "none are planned")
		p.shares.set(planned, now)
		time.Sleep(100 * time.Millisecond)
		m, v := exchange(state, false)
		require.Len(t, m.Shares, 1)
		require.Equal(t, planned, v.Shares)
		require.Equal(t, now, v.SharesAt)
		p.shares.set(planned, time.Now())
		m, v = exchange(state, false)
		require.Empty(t, m.Shares, "the host has them")
		require.Equal(t, planned, v.Shares)
		m, _ = exchange(&hostState{domain: "z2", held: &heldLists{Shares: true}}, false)
		require.Empty(t, m.Shares)
		require.Positive(t, m.SharesVersion)
		m, _ = exchange(&hostState{domain: "z1", held: &heldLists{}}, false)
		require.Zero(t, m.SharesVersion, "a host of an earlier build")
		c.behind = true
		_, v = exchange(state, false)
		require.True(t, v.SharesAt.IsZero())
		c.behind = false
		_, v = exchange(state, true)
		require.Equal(t, planned, v.Shares)
		p.shares.set(nil, time.Now())
		_, v = exchange(state, false)
		require.Empty(t, v.Shares)
		require.False(t, v.SharesAt.IsZero())
		time.Sleep(maxSharesAge + time.Second)
		_, v = exchange(state, false)
		require.True(t, v.SharesAt.IsZero(), "the planning hangs")
		for _, age := range []int64{-1, 1 << 62} {
			c.applyShares(viewMessage{SharesVersion: 1, SharesAgeMs: age}, &v, time.Now())
			require.True(t, v.SharesAt.IsZero())
		}
	})
}

// TestDemandByDomain guards against demand that is not told apart by the failure domain of its
// host.
func TestDemandByDomain(t *testing.T) {
	p := Publisher{hosts: make(map[string]*hostState), demand: newDemandSum()}
	p.cfg.ByDomain = true
	for name, domain := range map[string]string{"h0": "z1", "h1": "z2", "h2": "z1", "h3": ""} {
		s := p.state(name)
		s.lastSeen, s.domain = time.Now(), domain
		s.running = []tamarackknot.RunCount{{Endpoint: "e", Count: 1}}
		p.demand.set(&s.demand, tamarackknot.ModelDemand{Service: "s", Model: "m", Waiting: 2})
	}
	d := p.Demand()
	require.Len(t, d.Running, 4)
	require.Len(t, d.Domains, 2)
	require.Equal(t, "z1", d.Domains[0].Domain)
	require.Len(t, d.Domains[0].Running, 2)
	require.Len(t, d.Domains[0].Waiting, 2)
	require.Len(t, d.Domains[1].Running, 1)
}
