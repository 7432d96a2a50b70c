package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// stream sends a request and brings its first event.
func (h *harness) stream(req *Request, now time.Time) *Grant {
	g, _ := h.tryGrant(req, now)
	h.next(g, now.Add(50*time.Millisecond))
	return g
}

// next brings the next event of a stream.
func (d *Dispatcher) next(g *Grant, now time.Time) {
	g.received(now)
	g.markStarted()
	g.beginAwait(now)
}

// TestTrialAfterStall guards against an endpoint that gets requests while its streams pause,
// against several before one has shown that it has recovered, and against one that gets none
// after that.
func TestTrialAfterStall(t *testing.T) {
	h, req, now := newPredictionHarness(1)
	e := h.endpoints["0"]
	stalled := func() bool {
		c, _ := h.newChoice(req(now), now)
		f, _ := e.forecast(&c)
		return f.Stalled
	}
	a, b := h.stream(req(now), now), h.stream(req(now), now)
	now = now.Add(100 * time.Millisecond)
	require.False(t, stalled())
	now = now.Add(replayGap)
	require.True(t, stalled(), "the next events are overdue")
	h.next(a, now)
	require.False(t, stalled(), "one stream paused")
	h.next(b, now)
	require.True(t, stalled(), "two streams paused")
	for range 10 {
		require.True(t, stalled(), "no trial is due")
		now = now.Add(recoveryPause / 10)
		h.next(a, now)
		h.next(b, now)
	}
	require.False(t, stalled(), "a trial is due")
	trial := h.stream(req(now), now)
	require.True(t, stalled(), "the trial runs")
	now = now.Add(50 * time.Millisecond)
	for range 10 {
		now = now.Add(trialTime / 10)
		for _, g := range []*Grant{trial, a, b} {
			h.next(g, now)
		}
	}
	require.False(t, stalled(), "the trial has passed")
}

// TestFrozenHost guards against pauses of this host that count as pauses of all endpoints, and
// against pauses of an endpoint that count as the host's while others send events.
func TestFrozenHost(t *testing.T) {
	for name, tt := range map[string]struct {
		others bool // send events during the pause
		paused bool
	}{
		"no endpoint sends events": {},
		"others send events":       {others: true, paused: true},
	} {
		t.Run(name, func(t *testing.T) {
			h, req, now := newPredictionHarness(4)
			grants := make(map[string]*Grant)
			for len(grants) < 4 {
				g := h.stream(req(now), now)
				grants[g.Endpoint.ID] = g
			}
			now = now.Add(100 * time.Millisecond)
			all := func() {
				for _, g := range grants {
					h.next(g, now)
				}
			}
			all()
			for range 40 {
				now = now.Add(10 * time.Millisecond)
				if tt.others {
					h.next(grants["1"], now)
				}
			}
			all()
			require.Equal(t, tt.paused, h.endpoints["0"].estimate.chance(now) > 0)
		})
	}
}

// TestNothingKnown guards against a choice that differs from the one by load while nothing is
// known: sizes that are not named or make no sense, and requests without events, of which
// nothing tells that their prompts have been read.
func TestNothingKnown(t *testing.T) {
	for name, tt := range map[string]struct {
		tokens tamarackknot.RequestTokens
		stream bool
		age    time.Duration // of the requests that run
	}{
		"no size":        {stream: true},
		"malformed size": {tokens: tamarackknot.RequestTokens{Known: true, Malformed: true, Prompt: 1e9, Output: 1e9}, stream: true},
		"not a stream":   {tokens: tamarackknot.RequestTokens{Known: true, Prompt: 1200, Output: 300}, age: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			h, req, now := newPredictionHarness(3)
			r := req(now)
			r.Tokens, r.Stream = tt.tokens, tt.stream
			h.endpoints["1"].others = 9
			for range 2 {
				_, _ = h.tryGrant(r, now.Add(-tt.age))
			}
			c, _ := h.newChoice(r, now)
			for _, e := range h.endpoints {
				require.InDelta(t, e.score(r, "z1", now), e.predictedScore(&c, "z1"), 1e-9)
			}
		})
	}
}

// TestMisstatedSizes guards against a caller that keeps others from an endpoint for longer than
// its request takes, or changes what is predicted for them, by the size that it names.
func TestMisstatedSizes(t *testing.T) {
	h, req, now := newPredictionHarness(1)
	for range 1000 {
		r := req(now)
		r.Tokens.Prompt, r.Tokens.Output = 1e9, 1e9
		g := h.stream(r, now)
		now = now.Add(time.Second)
		g.finishAt(ResultAnswered, now)
	}
	e := h.endpoints["0"]
	require.Zero(t, e.estimate.prompts+e.estimate.pieces+e.estimate.held)
	c, _ := h.newChoice(req(now), now)
	f, _ := e.forecast(&c)
	require.Less(t, f.First, replayObjective.Seconds())
	require.LessOrEqual(t, f.Slowness, maxRatio)
	require.Less(t, f.Memory, 2.0)
}
