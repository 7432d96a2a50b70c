package quota

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
	"tamarackknot.example/tamarackknot/internal/rapidtest"
	"tamarackknot.example/tamarackknot/internal/wait"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 60) }

const (
	window = 8 * time.Second
	excess = 0.1
	slack  = 11000
	// tokensOfRequest is the mean cost of a request.
	tokensOfRequest = 1500
	// The planner of a simulation sends its list so often, and drops a host after hostTimeout.
	publishInterval = 200 * time.Millisecond
	hostTimeout     = 1200 * time.Millisecond
)

// smallQuota and largeQuota are the smallest and the largest of today.
func smallQuota() tamarackknot.Quota {
	return tamarackknot.Quota{PerSecond: 2700, Burst: 2700, InTokens: true}
}

func largeQuota() tamarackknot.Quota {
	return tamarackknot.Quota{PerSecond: 275026, Burst: 275026, InTokens: true}
}

// simulation runs the Keepers of several hosts with a planner, callers that want more than the
// quota of one workspace, and an oracle that counts what runs. mu guards the fields below it.
type simulation struct {
	ctx   context.Context
	peers *fake.Peers
	began time.Time
	wg    sync.WaitGroup

	mu     sync.Mutex
	hosts  map[string]*simulatedHost
	limits []changedQuota // in order
	runs   []run
	plans  bool // there is a planner
	demand float64
	// spread returns the host of a caller.
	spread func(rng *rand.Rand) string
	// pause is how long requests wait for an endpoint at most.
	pause time.Duration
}

type changedQuota struct {
	at time.Duration
	tamarackknot.Quota
}

// run is a request that reached an endpoint.
type run struct {
	at   time.Duration
	cost float64
}

// simulatedHost is a process of a host.
type simulatedHost struct {
	*Keeper
	name        string
	cancel      context.CancelFunc
	list        []tamarackknot.HostEntry
	confirmedAt time.Duration
	reportedAt  time.Duration // last report to the planner
	seenAt      time.Duration // by the planner
	unplanned   bool          // the planner and the host don't hear each other
	suspended   bool
}

// simulate plays a scenario with a number of hosts that use a quota, and returns what ran.
func simulate(t *testing.T, hosts int, q tamarackknot.Quota, play func(s *simulation)) (s *simulation) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s = &simulation{
			ctx: ctx, peers: fake.NewPeers(fake.PeersConfig{Latency: time.Millisecond}), began: time.Now(), hosts: make(map[string]*simulatedHost),
			limits: []changedQuota{{0, q}}, plans: true, demand: 1.5 * q.PerSecond, pause: 20 * time.Millisecond,
		}
		s.spread = func(rng *rand.Rand) string { return s.name(rng.IntN(hosts)) }
		for i := range hosts {
			s.start(s.name(i))
		}
		s.wg.Go(s.runPlanner)
		wait.For(ctx, settleTime+2*time.Second)
		s.wg.Go(s.runCallers)
		play(s)
		cancel()
		s.wg.Wait()
	})
	return s
}

func (*simulation) name(i int) string { return fmt.Sprintf("h%02d", i) }

func (s *simulation) clock() time.Duration { return time.Since(s.began) + time.Hour }

// quota returns the quota in force.
func (s *simulation) quota() tamarackknot.Quota {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits[len(s.limits)-1].Quota
}

func (s *simulation) setQuota(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.limits[len(s.limits)-1].Quota
	q.PerSecond, q.Burst = perSecond, perSecond
	s.limits = append(s.limits, changedQuota{s.clock(), q})
}

// start starts a process of a host.
func (s *simulation) start(name string) {
	h := &simulatedHost{name: name}
	bus := &heldPeers{PeersHost: s.peers.Host(name), s: s, h: h}
	h.Keeper = New(Config{
		Self: name, Peers: bus, Window: window, Excess: excess, Slack: slack, Clock: s.clock, Logger: log.New(io.Discard),
		Hosts: func() []tamarackknot.HostEntry {
			s.mu.Lock()
			defer s.mu.Unlock()
			return h.list
		},
		ListConfirmedAt: func() time.Duration {
			s.mu.Lock()
			defer s.mu.Unlock()
			return h.confirmedAt
		},
		Limit:   func(string) (tamarackknot.Quota, bool) { return s.quota(), true },
		Planner: func() string { return s.name(0) },
	})
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(s.ctx)
	s.mu.Lock()
	s.hosts[name] = h
	s.mu.Unlock()
	s.wg.Go(func() { h.Run(ctx) })
	s.wg.Go(func() { h.RunAgreement(ctx) })
}

// heldPeers fails the messages from and to a suspended host.
type heldPeers struct {
	*fake.PeersHost
	s *simulation
	h *simulatedHost
}

func (p *heldPeers) Handle(method string, handler tamarackknot.PeerHandler) {
	p.PeersHost.Handle(method, func(ctx context.Context, from string, params json.RawMessage) (any, error) {
		if p.isHeld() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return handler(ctx, from, params)
	})
}

func (p *heldPeers) isHeld() bool {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	return p.h.suspended
}

// kill ends the process of a host.
func (s *simulation) kill(name string) {
	s.mu.Lock()
	h := s.hosts[name]
	delete(s.hosts, name)
	s.mu.Unlock()
	if h != nil {
		s.peers.Kill(name)
		h.cancel()
	}
}

// restartAll ends the processes of all hosts and starts new ones.
func (s *simulation) restartAll() {
	s.mu.Lock()
	n := len(s.hosts)
	s.mu.Unlock()
	for i := range n {
		s.kill(s.name(i))
	}
	wait.For(s.ctx, 500*time.Millisecond)
	for i := range n {
		s.start(s.name(i))
	}
}

// cut separates some hosts from the others, and from the planner if that is set.
func (s *simulation) cut(names []string, planner, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, h := range s.hosts {
		if slices.Contains(names, name) {
			h.unplanned = planner && cut
			continue
		}
		for _, other := range names {
			if name == s.name(0) && !planner {
				continue
			}
			s.peers.Cut(name, other, cut)
			s.peers.Cut(other, name, cut)
		}
	}
}

func (s *simulation) suspend(name string, suspended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[name]; h != nil {
		h.suspended = suspended
	}
}

// owner returns the owner of the quota.
func (s *simulation) owner() string {
	var names []string
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.hosts {
		names = append(names, name)
	}
	v := hostView{names: names}
	return v.holdersOf("w")[0]
}

// runPlanner sends the list of the hosts that it hears to those that hear it.
func (s *simulation) runPlanner() {
	var list []tamarackknot.HostEntry
	for wait.For(s.ctx, publishInterval) {
		s.mu.Lock()
		now := s.clock()
		var next []tamarackknot.HostEntry
		for _, h := range s.hosts {
			if s.plans && !h.unplanned && !h.suspended {
				h.seenAt = now
			}
			if now-h.seenAt < hostTimeout {
				next = append(next, tamarackknot.HostEntry{Name: h.name, Workspaces: true})
			}
		}
		slices.SortFunc(next, func(a, b tamarackknot.HostEntry) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
		if !slices.Equal(next, list) {
			list = next
		}
		for _, h := range s.hosts {
			if s.plans && !h.unplanned && !h.suspended {
				// The message answers the last report.
				h.list, h.confirmedAt, h.reportedAt = list, h.reportedAt, now
			}
		}
		s.mu.Unlock()
	}
}

// runCallers sends requests as long as the simulation lasts.
func (s *simulation) runCallers() {
	rng := rand.New(rand.NewPCG(1, 2))
	for s.ctx.Err() == nil {
		s.mu.Lock()
		perSecond, first, pause := s.demand/tokensOfRequest, s.spread(rng), s.pause
		hosts := []string{first}
		for _, i := range rng.Perm(len(s.hosts)) {
			hosts = append(hosts, s.name(i))
		}
		s.mu.Unlock()
		cost := float64(200 + rng.IntN(2*(tokensOfRequest-200)))
		waits, refused := time.Duration(rng.Float64()*float64(pause)), rng.IntN(20) == 0
		s.wg.Go(func() { s.call(hosts[:min(len(hosts), 4)], cost, waits, refused) })
		wait.For(s.ctx, time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second)))
	}
}

// call sends a request to one host after the other until one decides about it.
func (s *simulation) call(hosts []string, cost float64, waits time.Duration, refused bool) {
	for _, name := range hosts {
		s.mu.Lock()
		h := s.hosts[name]
		s.mu.Unlock()
		if h != nil && !s.isSuspended(h) && s.request(h, cost, waits, refused) {
			return
		}
	}
}

// request plays a request as ingress does it: what was taken is given back while it waits. It
// reports whether the host decided about it.
func (s *simulation) request(h *simulatedHost, cost float64, waits time.Duration, refused bool) bool {
	const holdTime = 100 * time.Millisecond
	d := h.Take(s.ctx, "w", s.quota(), cost)
	if !d.Allowed {
		return d.Exceeded
	}
	wait.For(s.ctx, min(waits, holdTime))
	if refused || waits > holdTime {
		h.Return("w", d.Grant)
	}
	if refused {
		return true
	}
	wait.For(s.ctx, waits-holdTime)
	for s.isSuspended(h) && wait.For(s.ctx, 10*time.Millisecond) {
	}
	if waits > holdTime || h.Expired(d.Grant) {
		if d = h.Take(s.ctx, "w", s.quota(), cost); !d.Allowed {
			return true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run{s.clock(), cost})
	return true
}

func (s *simulation) isSuspended(h *simulatedHost) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return h.suspended
}

// worst returns the greatest part of what the page allows within a window that ran in one. A
// lowered quota counts for windows that begin a second after the hosts have it.
func (s *simulation) worst() (part float64, at time.Duration) {
	slices.SortFunc(s.runs, func(a, b run) int { return int(a.at - b.at) })
	sum, end := 0.0, 0
	for i, r := range s.runs {
		for ; end < len(s.runs) && s.runs[end].at < r.at+window; end++ {
			sum += s.runs[end].cost
		}
		if p := sum / s.allowed(r.at); p > part {
			part, at = p, r.at-time.Hour
		}
		sum -= s.runs[i].cost
	}
	return part, at
}

// allowed returns what may run within the window from a time on.
func (s *simulation) allowed(from time.Duration) float64 {
	most := 0.0
	for i, q := range s.limits {
		replaced := i+1 < len(s.limits) && s.limits[i+1].at+time.Second < from
		if !replaced && q.at < from+window {
			most = max(most, (q.PerSecond*window.Seconds()+q.Burst)*(1+excess)+slack)
		}
	}
	return most
}

// usable returns the part of the quota that ran between two times after the start of the
// callers.
func (s *simulation) usable(from, to time.Duration) float64 {
	begin := time.Hour + settleTime + 2*time.Second
	sum := 0.0
	for _, r := range s.runs {
		if r.at >= begin+from && r.at < begin+to {
			sum += r.cost
		}
	}
	return sum / (s.limits[len(s.limits)-1].PerSecond * (to - from).Seconds())
}

// TestQuotaUnderFaults guards against a quota that is exceeded while hosts are killed, cut off,
// suspended or added, or that can't be used: 0.95 of it in calm, 0.8 with faults.
func TestQuotaUnderFaults(t *testing.T) {
	const lasts = 30 * time.Second
	half := func(s *simulation) (names []string) {
		owner := s.owner()
		s.mu.Lock()
		defer s.mu.Unlock()
		for i := range len(s.hosts) / 2 {
			names = append(names, s.name(i))
		}
		if !slices.Contains(names, owner) {
			names[0] = owner
		}
		return names
	}
	for name, tt := range map[string]struct {
		play func(s *simulation)
		part float64
	}{
		"calm": {func(s *simulation) { wait.For(s.ctx, lasts) }, 0.95},
		"callers that move": {func(s *simulation) {
			first, began, hosts := s.spread, time.Now(), len(s.hosts)
			s.setSpread(func(rng *rand.Rand) string {
				if time.Since(began)/(700*time.Millisecond)%2 == 0 {
					return s.name(int(time.Since(began)/(700*time.Millisecond)) % hosts)
				}
				return first(rng)
			})
			wait.For(s.ctx, lasts)
		}, 0.95},
		"endpoints stop for 2 s now and then": {func(s *simulation) {
			for range 6 {
				s.setPause(2 * time.Second)
				wait.For(s.ctx, 2*time.Second)
				s.setPause(0)
				wait.For(s.ctx, 3*time.Second)
			}
		}, 0.8},
		"the owner is killed": {func(s *simulation) {
			wait.For(s.ctx, lasts/3)
			s.kill(s.owner())
			wait.For(s.ctx, lasts*2/3)
		}, 0.8},
		"the owner is restarted": {func(s *simulation) {
			wait.For(s.ctx, lasts/3)
			owner := s.owner()
			s.kill(owner)
			wait.For(s.ctx, 300*time.Millisecond)
			s.start(owner)
			wait.For(s.ctx, lasts*2/3)
		}, 0.8},
		"the owner is cut off for 6 s": {func(s *simulation) {
			wait.For(s.ctx, lasts/3)
			owner := []string{s.owner()}
			s.cut(owner, true, true)
			wait.For(s.ctx, 6*time.Second)
			s.cut(owner, true, false)
			wait.For(s.ctx, lasts*2/3-6*time.Second)
		}, 0.8},
		"half of the hosts are cut off for good": {func(s *simulation) {
			wait.For(s.ctx, lasts/3)
			s.cut(half(s), true, true)
			wait.For(s.ctx, lasts*2/3)
		}, 0.8},
		"the owner is cut off from the hosts, not the planner": {func(s *simulation) {
			wait.For(s.ctx, lasts/3)
			s.cut([]string{s.owner()}, false, true)
			wait.For(s.ctx, lasts*2/3)
		}, 0.8},
		"the owner is suspended for 4 s": {func(s *simulation) {
			wait.For(s.ctx, lasts/3)
			owner := s.owner()
			s.suspend(owner, true)
			wait.For(s.ctx, 4*time.Second)
			s.suspend(owner, false)
			wait.For(s.ctx, lasts*2/3-4*time.Second)
		}, 0.8},
		"hosts are added": {func(s *simulation) {
			for i := range 3 {
				wait.For(s.ctx, lasts/4)
				s.start(s.name(90 + i))
			}
			wait.For(s.ctx, lasts/4)
		}, 0.8},
		"the planner is lost for 10 s": {func(s *simulation) {
			wait.For(s.ctx, lasts/4)
			s.setPlans(false)
			wait.For(s.ctx, 10*time.Second)
			s.setPlans(true)
			wait.For(s.ctx, lasts*3/4-10*time.Second)
		}, 0.8},
		"all hosts are restarted": {func(s *simulation) {
			wait.For(s.ctx, lasts/3)
			s.restartAll()
			wait.For(s.ctx, lasts*2/3)
		}, 0.8},
		"the planner is lost for 3 s": {func(s *simulation) {
			wait.For(s.ctx, lasts/3)
			s.setPlans(false)
			wait.For(s.ctx, 3*time.Second)
			s.setPlans(true)
			wait.For(s.ctx, lasts*2/3-3*time.Second)
		}, 0.8},
	} {
		for size, q := range map[string]tamarackknot.Quota{"small": smallQuota(), "large": largeQuota()} {
			for _, hosts := range []int{4, 24} {
				t.Run(fmt.Sprintf("%s/%s quota/%d hosts", name, size, hosts), func(t *testing.T) {
					t.Parallel()
					s := simulate(t, hosts, q, tt.play)
					worst, at := s.worst()
					usable := s.usable(0, lasts)
					t.Logf("%s: worst window %.3f of the limit, at %v; usable %.3f", t.Name(), worst, at, usable)
					require.LessOrEqual(t, worst, 1.0)
					require.GreaterOrEqual(t, usable, tt.part)
				})
			}
		}
	}
}

func (s *simulation) setSpread(spread func(rng *rand.Rand) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spread = spread
}

func (s *simulation) setPause(pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause = pause
}

func (s *simulation) setPlans(plans bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plans = plans
}

// TestChangedQuota guards against a lowered quota that does not bind, and a raised one that
// can't be used.
func TestChangedQuota(t *testing.T) {
	for name, tt := range map[string]struct{ from, to float64 }{"lowered": {100000, 20000}, "raised": {20000, 100000}} {
		t.Run(name, func(t *testing.T) {
			s := simulate(t, 8, tamarackknot.Quota{PerSecond: tt.from, Burst: tt.from}, func(s *simulation) {
				s.mu.Lock()
				s.demand = 1.5 * max(tt.from, tt.to)
				s.mu.Unlock()
				wait.For(s.ctx, 15*time.Second)
				s.setQuota(tt.to)
				wait.For(s.ctx, 15*time.Second)
			})
			worst, at := s.worst()
			t.Logf("worst window %.3f of the limit, at %v; usable %.3f", worst, at, s.usable(15*time.Second, 30*time.Second))
			require.LessOrEqual(t, worst, 1.0)
			require.GreaterOrEqual(t, s.usable(15*time.Second, 30*time.Second), 0.95)
		})
	}
}

// TestBound guards against any sequence of faults after which more runs than the limit.
func TestBound(t *testing.T) {
	kinds := []string{"kill", "restart", "cut", "cutPlanner", "cutHalf", "suspend", "planner", "add", "quota", "move", "pause"}
	rapid.Check(t, func(rt *rapid.T) {
		q := rapid.SampledFrom([]tamarackknot.Quota{smallQuota(), largeQuota(), {PerSecond: 20000, Burst: 5000}}).Draw(rt, "quota")
		hosts := rapid.IntRange(2, 8).Draw(rt, "hosts")
		type fault struct {
			kind           string
			target         int
			pauseMs, forMs int
		}
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault{
				rapid.SampledFrom(kinds).Draw(rt, "kind"), rapid.IntRange(-1, 7).Draw(rt, "target"),
				rapid.IntRange(0, 4000).Draw(rt, "pauseMs"), rapid.IntRange(0, 9000).Draw(rt, "forMs"),
			}
		}), 1, 8).Draw(rt, "faults")
		s := simulate(t, hosts, q, func(s *simulation) {
			wait.For(s.ctx, 3*time.Second)
			for i, f := range faults {
				wait.For(s.ctx, time.Duration(f.pauseMs)*time.Millisecond)
				target := s.name(f.target % hosts)
				if f.target < 0 {
					target = s.owner()
				}
				s.wg.Go(func() { s.disturb(f.kind, target, time.Duration(f.forMs)*time.Millisecond, i, q) })
			}
			wait.For(s.ctx, 12*time.Second)
		})
		worst, at := s.worst()
		require.LessOrEqual(rt, worst, 1.0, "at %v: %v", at, faults)
	})
}

// disturb plays a fault of a host.
func (s *simulation) disturb(kind, target string, lasts time.Duration, i int, q tamarackknot.Quota) {
	switch kind {
	case "kill":
		s.kill(target)
		wait.For(s.ctx, lasts)
		s.start(target)
	case "restart":
		s.kill(target)
		s.start(target)
	case "cut", "cutPlanner":
		s.cut([]string{target}, kind == "cutPlanner", true)
		wait.For(s.ctx, lasts)
		s.cut([]string{target}, kind == "cutPlanner", false)
	case "cutHalf":
		names := []string{target, s.name(0), s.name(1)}
		s.cut(names, true, true)
		wait.For(s.ctx, lasts)
		s.cut(names, true, false)
	case "suspend":
		s.suspend(target, true)
		wait.For(s.ctx, lasts)
		s.suspend(target, false)
	case "planner":
		s.setPlans(false)
		wait.For(s.ctx, lasts)
		s.setPlans(true)
	case "add":
		s.start(s.name(90 + i))
	case "quota":
		s.setQuota(q.PerSecond * []float64{0.3, 1, 2}[i%3])
	case "move":
		s.setSpread(func(*rand.Rand) string { return target })
	case "pause":
		s.setPause(lasts / 4)
		wait.For(s.ctx, lasts)
		s.setPause(0)
	}
}
