package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// TestShortReports guards against running requests or versions of lists that get lost in the
// short form of a report, and against short forms that an earlier build would have to read.
func TestShortReports(t *testing.T) {
	running := []tamarackknot.RunCount{
		{Endpoint: "e1", Model: "m", Count: 2}, {Endpoint: "e1", Model: "m", Adapter: "a", Count: 1}, {Endpoint: "e2", Count: 3},
	}
	lists, now := &heldLists{Fence: 1, Hosts: 2, Shares: true}, time.Now()
	report := func(sent sentLists) (m demandMessage) {
		out := demandMessage{Running: running, Lists: lists}
		out.shorten(sent, now)
		data, err := json.Marshal(out)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(data, &m))
		return m
	}
	s := hostState{fence: 1}
	m := report(sentLists{})
	require.Empty(t, m.Running)
	require.ElementsMatch(t, running, m.running())
	s.applyLists(m)
	require.Equal(t, lists, s.held)
	m = report(sentLists{&heldLists{Fence: 1, Hosts: 2, Shares: true}, now})
	require.Nil(t, m.Lists)
	s.applyLists(m)
	require.Equal(t, lists, s.held)
	s.fence = 2
	s.applyLists(m)
	require.Equal(t, &heldLists{Shares: true}, s.held, "versions of another planner")
	require.NotNil(t, report(sentLists{&heldLists{Fence: 1, Hosts: 1}, now}).Lists)
	require.NotNil(t, report(sentLists{lists, now.Add(-listsInterval)}).Lists, "the planner may have missed them")
	s.applyLists(demandMessage{})
	require.Nil(t, s.held, "a host that says nothing")

	odd := demandMessage{Running: []tamarackknot.RunCount{{Endpoint: "e", Model: "m/n", Count: 1}}, Lists: lists}
	odd.shorten(sentLists{}, now)
	require.Len(t, odd.Running, 1)
	require.Empty(t, odd.Runs)
}

// TestDistantHosts guards against hosts in the planner's failure domain, or engines in that of
// a host, whose loads are told late.
func TestDistantHosts(t *testing.T) {
	p := Publisher{cfg: PublisherConfig{ByDomain: true, Self: tamarackknot.HostEntry{FailureDomain: "z1"}}}
	near, far, unknown, e := &hostState{domain: "z1"}, &hostState{domain: "z2"}, &hostState{}, &engineState{domain: "z1"}
	for _, s := range []*hostState{near, unknown} {
		require.Equal(t, fullViewInterval, p.fullViewIntervalOf(s, 9))
		require.True(t, p.tellsLoad(s, e, 3, 4))
	}
	require.Equal(t, distantViewInterval, p.fullViewIntervalOf(far, 9))
	require.False(t, p.tellsLoad(far, e, 3, 4))
	require.False(t, p.tellsLoad(far, e, 30, 33))
	require.True(t, p.tellsLoad(far, e, 3, 6))
	require.True(t, p.tellsLoad(far, e, 20, 0))
	p.cfg.ByDomain = false
	require.Equal(t, fullViewInterval, p.fullViewIntervalOf(far, 9))
	require.True(t, p.tellsLoad(far, e, 3, 4))
}
