package quota

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

// single is a Keeper with settings of the test; it owns all quotas unless its list names
// others.
type single struct {
	*Keeper
	peers     *fake.Peers
	now       time.Duration
	list      []tamarackknot.HostEntry
	confirmed time.Duration
	sharers   int
	limits    map[string]tamarackknot.Quota
}

func newSingle(names ...string) *single {
	s := &single{peers: fake.NewPeers(fake.PeersConfig{}), now: time.Hour, confirmed: time.Hour, limits: make(map[string]tamarackknot.Quota)}
	s.setList(names...)
	s.Keeper = New(Config{
		Self: "a", Peers: s.peers.Host("a"), Window: window, Excess: excess, Slack: slack, Logger: log.New(io.Discard),
		Clock: func() time.Duration { return s.now }, Hosts: func() []tamarackknot.HostEntry { return s.list },
		ListConfirmedAt: func() time.Duration { return s.confirmed }, Sharers: func() int { return s.sharers },
		Limit: func(w string) (tamarackknot.Quota, bool) { q, ok := s.limits[w]; return q, ok },
	})
	return s
}

func (s *single) setList(names ...string) {
	s.list = nil
	for _, name := range names {
		s.list = append(s.list, tamarackknot.HostEntry{Name: name, Workspaces: true})
	}
}

// pass lets time pass in which the list is confirmed.
func (s *single) pass(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now = min(s.now+time.Second, end)
		s.confirmed = s.now
		s.expire()
	}
}

func (s *single) take(q tamarackknot.Quota, cost float64) tamarackknot.QuotaDecision {
	return s.Take(context.Background(), "w", q, cost)
}

// drain takes all that is there in requests of a cost and returns the sum.
func (s *single) drain(q tamarackknot.Quota, cost float64) (sum float64) {
	for s.take(q, cost).Allowed {
		sum += cost
	}
	return sum
}

// TestOwner guards against an owner that grants what another one may grant: after its start, a
// change of its list, a suspension or without news of the planner.
func TestOwner(t *testing.T) {
	q := largeQuota()
	full, reserve := limitOf(q, tolerance{window, excess, slack}), reserveOf(q, tolerance{window, excess, slack})
	for name, tt := range map[string]struct {
		play func(s *single)
		max  float64
		min  float64
	}{
		"just started":              {func(*single) {}, reserve.capacity, 1000},
		"after it has settled":      {func(s *single) { s.pass(settleTime + 1200*time.Millisecond) }, full.perSecond * 0.21, full.perSecond * 0.19},
		"for long":                  {func(s *single) { s.pass(time.Minute) }, full.capacity, full.capacity - 1000},
		"the list has changed":      {func(s *single) { s.pass(time.Minute); s.setList("a", "b") }, full.capacity, 0},
		"just suspended":            {func(s *single) { s.pass(time.Minute); s.drain(q, 1000); s.now += 10 * time.Second }, 0, 0},
		"suspended, then confirmed": {func(s *single) { s.pass(time.Minute); s.drain(q, 1000); s.now += 10 * time.Second; s.confirmed = s.now }, reserve.capacity, 1000},
		"the planner is not heard for 3 s": {func(s *single) {
			s.pass(time.Minute)
			s.drain(q, 1000)
			s.now += 3 * time.Second
		}, reserve.capacity, 1000},
		"the planner is not heard for 6 s": {func(s *single) { s.pass(time.Minute); s.drain(q, 1000); s.now += 6 * time.Second }, 0, 0},
		"it was not the owner meanwhile": {func(s *single) {
			s.pass(time.Minute)
			s.drain(q, 1000)
			s.setList("b")
			s.pass(time.Second)
			s.setList("a")
			s.pass(time.Second)
		}, reserve.capacity, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSingle("a")
			s.limits["w"] = q
			tt.play(s)
			got := s.drain(q, 1000)
			require.LessOrEqual(t, got, tt.max)
			require.GreaterOrEqual(t, got, tt.min)
		})
	}
}

// TestDecisions guards against callers that are told a wrong time to come back, or none.
func TestDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSingle("a")
		q := smallQuota()
		s.limits["w"] = q
		require.True(t, s.take(tamarackknot.Quota{}, 1e12).Allowed, "there is no limit")
		require.True(t, s.take(q, 0).Allowed)
		s.pass(time.Minute)
		for s.take(q, 1500).Allowed {
		}
		d := s.take(q, 1500)
		require.True(t, d.Exceeded)
		require.Positive(t, time.Until(d.RetryAt))
		require.Less(t, time.Until(d.RetryAt), time.Second)
		s.now += time.Until(d.RetryAt) + time.Millisecond
		s.confirmed = s.now
		require.True(t, s.take(q, 1500).Allowed, "there is room at the time that was named")
		d = s.take(q, 1e6)
		require.True(t, d.Exceeded)
		require.True(t, d.RetryAt.IsZero(), "a retry is hopeless")
		s.now += denialTime
		d = s.take(q, 100)
		require.True(t, d.Allowed, "a refusal of a large request does not refuse small ones")
		s.setList()
		s.list = []tamarackknot.HostEntry{{Name: "old build"}}
		d = s.take(q, 1500)
		require.False(t, d.Allowed || d.Exceeded)
		require.Positive(t, time.Until(d.RetryAt))
	})
}

// TestLocalShare guards against a host without an owner that uses more than its share, or none
// where it knows one.
func TestLocalShare(t *testing.T) {
	s, q := newSingle(), largeQuota()
	s.limits["w"] = q
	require.Zero(t, s.drain(q, 1000), "no share is known")
	s.sharers = 10
	sum := 0.0
	for range 80 {
		s.now += 100 * time.Millisecond
		sum += s.drain(q, 1000)
	}
	share := (q.PerSecond*window.Seconds() + q.Burst) / 10
	require.LessOrEqual(t, sum, share)
	require.GreaterOrEqual(t, sum, 0.85*share)
	s.now += time.Minute
	require.Zero(t, s.drain(q, 1000), "it does not save up")
}

// TestReturns guards against quota that is given back twice, to a bucket that did not grant it,
// or after the window for which it was granted, and against credit that is used for too long.
func TestReturns(t *testing.T) {
	q := largeQuota()
	s := newSingle("a")
	s.limits["w"] = q
	s.pass(time.Minute)
	var grants []tamarackknot.QuotaGrant
	for d := s.take(q, 1000); d.Allowed; d = s.take(q, 1000) {
		grants = append(grants, d.Grant)
	}
	s.now += denialTime
	s.drain(q, 1000)
	level := s.owned["w"].main.level
	g := grants[0]
	require.False(t, s.Expired(g))
	g.Bucket++
	s.Return("w", g)
	s.Return("another", grants[0])
	require.InDelta(t, level, s.owned["w"].main.level, 0.1, "of another bucket")
	s.Return("w", grants[0])
	require.InDelta(t, level+1000, s.owned["w"].main.level, 0.1)
	s.now += sendTime + time.Millisecond
	require.True(t, s.Expired(grants[1]))
	s.now += returnTime
	before := s.owned["w"].main.level
	s.Return("w", grants[1])
	require.LessOrEqual(t, s.owned["w"].main.level, before+1, "too late")
	a := s.account("w", s.now)
	a.credit, a.creditTo, a.holder, a.bucket = 5000, s.now+creditTime, "a", s.owned["w"].main.id
	require.True(t, s.take(q, 1000).Allowed)
	require.InDelta(t, 4000, a.credit, 0.1)
	s.now += creditTime
	s.expire()
	require.Zero(t, a.credit)
}

// TestMessages guards against a host that gives away quota, or takes memory, by what it sends.
func TestMessages(t *testing.T) {
	s := newSingle("a")
	s.limits["w"] = smallQuota()
	s.pass(time.Minute)
	bus := s.peers.Host("x")
	send := func(method, params string) error {
		var out json.RawMessage
		return bus.Call(context.Background(), "a", method, json.RawMessage(params), &out)
	}
	for _, params := range []string{
		`{"workspace":"w","cost":-5}`, `{"workspace":"w","cost":5,"advance":-1}`, `{"workspace":"w","returned":-1}`, `{"cost":5}`, `[]`, `"x"`,
		`{"workspace":"v","cost":5,"perSecond":-1}`, `{"workspace":7}`,
	} {
		require.Error(t, send(methodTake, params), params)
	}
	require.Error(t, send(methodReturn, `{"workspace":"w","cost":-5}`))
	require.NoError(t, send(methodTake, `{"workspace":"w","cost":5}`))
	id, err := json.Marshal(returnParams{Workspace: "w", Bucket: s.owned["w"].main.id, Cost: 1e15})
	require.NoError(t, err)
	require.NoError(t, send(methodReturn, string(id)))
	require.LessOrEqual(t, s.owned["w"].main.level, s.owned["w"].main.capacity)
	for i := range maxOwned + 100 {
		name, err := json.Marshal(takeParams{Workspace: string(rune('A'+i%26)) + time.Duration(i).String(), Cost: 1, PerSecond: 5, Burst: 5})
		require.NoError(t, err)
		require.NoError(t, send(methodTake, string(name)))
	}
	require.LessOrEqual(t, len(s.owned), maxOwned)
	require.LessOrEqual(t, len(s.view.holders), maxCachedHolders)
	s.pass(time.Hour)
	require.Empty(t, s.owned)
	require.Empty(t, s.accounts)
}

// TestRaisedInTurn guards against hosts with different versions of a quota that raise it again
// and again.
func TestRaisedInTurn(t *testing.T) {
	low, high := limit{10, 100}, limit{100, 1000}
	b := newBucket(low, time.Hour)
	granted := 0.0
	for i := range 50 {
		now := time.Hour + time.Duration(i)*time.Millisecond
		b.setLimit(low, now, window)
		b.setLimit(high, now, window)
		for {
			if taken, _ := b.take(10, now); !taken {
				break
			}
			granted += 10
		}
	}
	require.LessOrEqual(t, granted, high.capacity+high.perSecond)
}

// TestUnlimitedOwner guards against refusals while the owner knows no limit any more, or not
// yet.
func TestUnlimitedOwner(t *testing.T) {
	s, q := newSingle("a"), largeQuota()
	s.pass(time.Minute)
	s.limits["w"] = tamarackknot.Quota{}
	require.True(t, s.take(q, 1000).Allowed)
	delete(s.limits, "w")
	require.True(t, s.take(q, 1000).Allowed)
}

// BenchmarkTake measures a request for which there is credit, among 10,000 workspaces.
func BenchmarkTake(b *testing.B) {
	s, q := newSingle("a"), largeQuota()
	s.cfg.Clock = New(Config{Peers: s.peers.Host("b"), Logger: log.New(io.Discard)}).cfg.Clock
	for i := range 10000 {
		s.account(time.Duration(i).String(), 0)
	}
	a := s.account("w", 0)
	a.credit, a.creditTo = 1e18, 1<<62
	ctx := context.Background()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if !s.Take(ctx, "w", q, 1500).Allowed {
			b.Fatal("refused")
		}
	}
}
