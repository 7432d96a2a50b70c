package placement

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
	"tamarackknot.example/tamarackknot/internal/journaltest"
)

// remotePlanner is a membership view in which another host is the planner.
type remotePlanner struct{ tamarackknot.Members }

func (remotePlanner) Self() tamarackknot.Member {
	return tamarackknot.Member{Host: tamarackknot.Host{Name: "h0"}}
}
func (remotePlanner) Planner(string) string { return "h1" }

// TestUnreachablePlanner guards against a busy loop that calls an unreachable
// planner again as soon as the call has failed.
func TestUnreachablePlanner(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := New(Config{
		Journal: &journaltest.Journal{Store: journaltest.NewStore()},
		Peers:   fake.NewPeers(fake.PeersConfig{}).Host("h0"),
		Members: remotePlanner{},
	})
	now := time.Now()
	d := tamarackknot.Demand{Target: "m", Waiting: 1}
	c.local["m"] = &localDemand{Demand: d, deployment: "d"}
	failed := &demandSend{message: demandMessage{Deployment: "d", Demand: []tamarackknot.Demand{d}}, err: errors.New("unreachable")}
	failed.apply(c, now)
	c.forward(ctx, now)
	require.False(t, c.demandInFlight["d"], "sent again at once")
	c.forward(ctx, now.Add(demandInterval))
	require.True(t, c.demandInFlight["d"], "never sent again")
}
