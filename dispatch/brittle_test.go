package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// TestPlacesAtBrittleEndpoints guards against more requests to a brittle endpoint than this
// host's part of its places, and against requests that wait here for places of other hosts.
func TestPlacesAtBrittleEndpoints(t *testing.T) {
	others := []string{"b", "b", "c"}
	for name, tt := range map[string]struct {
		brittle bool
		own     map[string]int // by endpoint; the rest of its four places is that of others
		granted int
		hosts   []string
	}{
		"not brittle":               {false, map[string]int{"e0": 0, "e1": 0}, 8, nil},
		"a part of one":             {true, map[string]int{"e0": 1, "e1": 0}, 1, nil},
		"a part of both":            {true, map[string]int{"e0": 1, "e1": 2}, 3, nil},
		"places of other hosts":     {true, map[string]int{"e0": 0, "e1": 0}, 0, []string{"b", "b", "b", "b", "c", "c"}},
		"the division is not known": {true, nil, 4, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.cfg.HostCount = func() int { return 2 }
				h.cfg.Places = func(endpoint string, _ int) (int, []string) {
					if tt.own == nil {
						return 0, nil
					}
					return tt.own[endpoint], others
				}
				h.add("e0", "s", "z1", 4, "m")
				h.add("e1", "s", "z1", 4, "m")
				h.MergeBrittle(tamarackknot.BrittleService{Service: "s", Brittle: tt.brittle, MaxDeclines: 4, At: time.Now()})
				for range tt.granted {
					g, refusal := h.Acquire(t.Context(), request("s", "m"))
					require.NotNil(t, g, "%v", refusal)
				}
				h.mu.Lock()
				g, _ := h.tryGrant(request("s", "m"), time.Now())
				refusal := h.elsewhere(request("s", "m"), time.Now())
				h.mu.Unlock()
				require.Nil(t, g)
				if tt.hosts == nil {
					require.Nil(t, refusal)
					return
				}
				require.ElementsMatch(t, tt.hosts, refusal.Hosts)
			})
		})
	}
}

// TestEndOfBrittleness guards against a service that counts as brittle after its endpoints no
// longer say so, on a host that gets no answers as well, and against one that stops counting
// while some of them still do.
func TestEndOfBrittleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, forwarder := newHarness(), newHarness()
		h.add("e0", "s", "z1", 4, "m")
		answer := func(brittle bool) {
			g, _ := h.Acquire(t.Context(), request("s", "m"))
			require.NotNil(t, g)
			g.Observe(tamarackknot.EndpointSignals{Brittle: brittle, MaxDeclines: 4})
			g.Done(ResultAnswered)
			for _, b := range h.Demand(false).Brittle {
				forwarder.SetView(tamarackknot.FleetView{Brittle: []tamarackknot.BrittleService{b}})
			}
		}
		requireBrittle := func(expect bool) {
			t.Helper()
			for _, d := range []*harness{h, forwarder} {
				b, _ := d.Brittle("s")
				require.Equal(t, expect, b.Brittle)
			}
		}
		answer(false)
		requireBrittle(false)
		answer(true)
		requireBrittle(true)
		time.Sleep(brittleMemory / 2)
		answer(false)
		requireBrittle(true)
		time.Sleep(brittleMemory)
		answer(false)
		requireBrittle(false)
		answer(true)
		requireBrittle(true)
		// What another host has seen before does not end it.
		h.MergeBrittle(tamarackknot.BrittleService{Service: "s", At: time.Now().Add(-time.Second)})
		requireBrittle(true)
		time.Sleep(brittleTimeout + time.Second)
		h.mu.Lock()
		require.False(t, h.isBrittle("s", time.Now()))
		h.mu.Unlock()
	})
}

// TestProbeAfterDecline guards against several requests at once to a brittle endpoint that
// has declined one.
func TestProbeAfterDecline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.cfg.Places = func(string, int) (int, []string) { return 3, []string{"b"} }
		h.add("e0", "s", "z1", 4, "m")
		h.MergeBrittle(tamarackknot.BrittleService{Service: "s", Brittle: true, MaxDeclines: 2, At: time.Now()})
		grants := func() (out []*Grant) {
			h.mu.Lock()
			defer h.mu.Unlock()
			for range 4 {
				if g, _ := h.tryGrant(request("s", "m"), time.Now()); g != nil {
					out = append(out, g)
				}
			}
			return out
		}
		first := grants()
		require.Len(t, first, 3)
		for _, g := range first {
			g.Done(ResultFull)
		}
		require.Empty(t, grants())
		time.Sleep(time.Second) // two hosts, two rejections a second
		probe := grants()
		require.Len(t, probe, 1)
		probe[0].Started()
		require.Len(t, grants(), 2)
	})
}
