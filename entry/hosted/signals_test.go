package hosted

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// An endpoint gets no request from a host later than drainTime after it told the host
	// that it leaves, and at most maxDuringPause between toldTime after it asked the host
	// for a pause and the end of the pause.
	drainTime      = 2 * time.Second
	pauseTime      = 3 * time.Second
	maxDuringPause = 2
	// A brittle endpoint falls over when it has to decline more than maxDeclines requests
	// in a second. Endpoints fall over at most fallSlack times and a tenth of their number.
	maxDeclines = 4
	fallSlack   = 2
	signalTime  = 12 * time.Second
	// Requests are served again servedAgainTime after a fault of hosts began. While no planner
	// can order, a model that only pausing endpoints hold is loaded nowhere else.
	servedAgainTime = 12 * time.Second
)

// signalTrial records what endpoints tell hosts and what they get afterwards.
type signalTrial struct {
	size     clusterSize // zero means smallServingSize
	mu       sync.Mutex
	first    []string
	told     map[[2]string]time.Time // by endpoint and host
	during   map[[2]string]int       // requests that reach an endpoint too soon
	late     int                     // requests that reach an endpoint that leaves
	inFlight map[string]int
	declines map[string][]time.Time
	falls    int
	// brittleFrom is when endpoints let nobody wait any more.
	brittleFrom time.Time
}

// observe records a request that reaches an endpoint, and returns when the endpoint first
// told the host something; zero if it does so now.
func (tr *signalTrial) observe(endpoint, host string) time.Time {
	key := [2]string{endpoint, host}
	at := tr.told[key]
	if at.IsZero() {
		tr.told[key] = time.Now()
	}
	return at
}

// chosen reports whether an endpoint is one of the first two that got a request.
func (tr *signalTrial) chosen(endpoint string) bool {
	if len(tr.first) < 2 && !slices.Contains(tr.first, endpoint) {
		tr.first = append(tr.first, endpoint)
	}
	return slices.Contains(tr.first, endpoint)
}

// leaving makes two endpoints say that they leave; they go on serving.
func (tr *signalTrial) leaving(_ *serving, endpoint, host string, w http.ResponseWriter) (declines, falls bool) {
	if !tr.chosen(endpoint) {
		return false, false
	}
	w.Header().Set("Server-Leaving", "1")
	if at := tr.observe(endpoint, host); !at.IsZero() && time.Since(at) > drainTime {
		tr.late++
	}
	return false, false
}

// pausing makes two endpoints decline everything and ask for a pause. A fault of the host
// since then excuses requests during the pause.
func (tr *signalTrial) pausing(s *serving, endpoint, host string, w http.ResponseWriter) (declines, falls bool) {
	if !tr.chosen(endpoint) {
		return false, false
	}
	w.Header().Set("Retry-After", fmt.Sprint(pauseTime.Seconds()))
	key := [2]string{endpoint, host}
	at := tr.observe(endpoint, host)
	h := s.c.host(host)
	switch since := time.Since(at); {
	case at.IsZero():
	case h == nil || h.disturbedSince(at):
		tr.told[key] = time.Now()
	case since >= pauseTime:
		tr.told[key] = time.Now()
	case since > toldTime:
		tr.during[key]++
	}
	return true, false
}

// brittle makes all endpoints say that they are brittle. From adaptTime on they let nobody
// wait, and fall over when they have to decline too much.
func (tr *signalTrial) brittle(s *serving, endpoint, _ string, w http.ResponseWriter) (declines, falls bool) {
	w.Header().Set("Server-Brittle", fmt.Sprint(maxDeclines))
	if tr.brittleFrom.IsZero() {
		tr.brittleFrom = time.Now().Add(adaptTime)
	}
	service := serviceOf(endpoint)
	if tr.inFlight[endpoint] < s.size.slotsOf(service) || time.Now().Before(tr.brittleFrom) {
		tr.inFlight[endpoint]++
		s.c.wg.Go(func() {
			wait.For(s.c.ctx, workTime(service))
			tr.mu.Lock()
			defer tr.mu.Unlock()
			tr.inFlight[endpoint]--
		})
		return false, false
	}
	now := time.Now()
	tr.declines[endpoint] = append(tr.declines[endpoint], now)
	if between(tr.declines[endpoint], now.Add(-time.Second), now.Add(1)) <= maxDeclines {
		return true, false
	}
	tr.falls++
	tr.declines[endpoint] = nil
	return false, true
}

// play runs a cluster whose endpoints behave so, and returns the share of the requests that
// began to be answered.
func (tr *signalTrial) play(t *testing.T, behave func(*signalTrial, *serving, string, string, http.ResponseWriter) (bool, bool), pause time.Duration) (began float64) {
	t.Helper()
	return tr.playFaults(t, behave, pause, soundPrompt, nil)
}

// playFaults is play with other requests, and with faults of hosts, if there are any. The
// share is then that of requests from servedAgainTime on.
func (tr *signalTrial) playFaults(
	t *testing.T, behave func(*signalTrial, *serving, string, string, http.ResponseWriter) (bool, bool), pause time.Duration,
	sound func(host string, n int) servingRequest, faults func(c *cluster),
) (began float64) {
	t.Helper()
	tr.told, tr.during = make(map[[2]string]time.Time), make(map[[2]string]int)
	tr.inFlight, tr.declines = make(map[string]int), make(map[string][]time.Time)
	synctest.Test(t, func(*testing.T) {
		from := time.Now().Add(warmUp)
		s := &serving{size: tr.size, plain: sound("", 0).plain(), behave: func(s *serving, endpoint, host string, w http.ResponseWriter) (bool, bool) {
			tr.mu.Lock()
			defer tr.mu.Unlock()
			return behave(tr, s, endpoint, host, w)
		}}
		s, cancel := startServing(s, io.Discard, func(ctx context.Context, s *serving, h *clusterHost) {
			wait.For(ctx, time.Until(from))
			for n := 0; wait.For(ctx, pause); n++ {
				s.c.wg.Go(func() { s.send(ctx, h.name, "sound", sound(h.name, n)) })
			}
		})
		wait.For(s.c.ctx, warmUp)
		counted, lasts := from, signalTime
		if faults != nil {
			faults(s.c)
			counted, lasts = from.Add(servedAgainTime), servedAgainTime+signalTime
		}
		wait.For(s.c.ctx, time.Until(from.Add(lasts)))
		ended := time.Now()
		s.stop(cancel)
		began, _ = s.share("sound", counted, ended.Add(-callTimeout), nil)
	})
	return began
}

// TestEndpointThatSaysItLeaves guards against requests to an endpoint that has told the
// host that it leaves, although its entry says that it serves.
func TestEndpointThatSaysItLeaves(t *testing.T) {
	var tr signalTrial
	began := tr.play(t, (*signalTrial).leaving, 50*time.Millisecond)
	require.NotEmpty(t, tr.told)
	require.Zero(t, tr.late)
	require.Greater(t, began, 0.95)
}

// TestEndpointThatAsksForPause guards against requests to an endpoint within the time for
// which it has asked the host to wait.
func TestEndpointThatAsksForPause(t *testing.T) {
	faults := hostFaultCases()
	faults["no fault"] = nil
	faults["configurations change"] = func(c *cluster) {
		for range 5 {
			wait.For(c.ctx, time.Second)
			c.configure()
		}
	}
	faults["another endpoint leaves"] = func(c *cluster) {
		wait.For(c.ctx, time.Second)
		c.leaveReplica(c.replicas["e7"])
	}
	for kind, sound := range map[string]func(string, int) servingRequest{"streams": soundPrompt, "lookups": soundLookup} {
		for name, play := range faults {
			t.Run(kind+"/"+name, func(t *testing.T) {
				var tr signalTrial
				began := tr.playFaults(t, (*signalTrial).pausing, 50*time.Millisecond, sound, play)
				t.Logf("begun %.3f", began)
				require.NotEmpty(t, tr.told)
				for key, n := range tr.during {
					require.LessOrEqual(t, n, maxDuringPause, "%v", key)
				}
				require.Greater(t, began, minBegunRatio)
			})
		}
	}
}

// TestEndpointThatAsksForPauseFaults guards against the same in random series of faults.
func TestEndpointThatAsksForPauseFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawHostFaults(rt)
		var tr signalTrial
		tr.playFaults(t, (*signalTrial).pausing, 50*time.Millisecond, soundPrompt, func(c *cluster) { c.play(faults) })
		for key, n := range tr.during {
			require.LessOrEqual(rt, n, maxDuringPause, "%v", key)
		}
	})
}

// brittleLoad is a load on brittle endpoints of one service.
type brittleLoad struct {
	size  clusterSize
	sound func(host string, n int) servingRequest
	// demand is how much of what the slots take callers ask for.
	demand float64
	// minBegun is the least share of the requests that must begin.
	minBegun float64
}

// play returns how often endpoints fell over, how often they may, and the share of the
// requests that began, with faults of hosts, if there are any.
func (l brittleLoad) play(t *testing.T, faults func(c *cluster)) (falls int, allowed, began float64) {
	t.Helper()
	service, endpoints := l.sound("", 0).service(), l.size.engines
	if service == plainService {
		endpoints = l.size.plain
	}
	perSecond := l.demand * float64(endpoints*l.size.slotsOf(service)) / workTime(service).Seconds()
	tr := signalTrial{size: l.size}
	began = tr.playFaults(t, (*signalTrial).brittle, time.Duration(float64(l.size.hosts)/perSecond*float64(time.Second)), l.sound, faults)
	return tr.falls, fallSlack + float64(endpoints)/10, began
}

// brittleLoads returns loads of the endpoints' slots, for a few hosts and for many more
// than an endpoint has slots.
func brittleLoads() map[string]brittleLoad {
	many := grownSize()
	many.engines = 24 // of 112, so that the trial takes seconds
	out := make(map[string]brittleLoad)
	for name, load := range map[string]brittleLoad{
		"usual load":       {demand: 0.4, minBegun: 0.95},
		"twice the slots":  {demand: 2, minBegun: minBegunRatio / 2},
		"a burst of calls": {demand: 6, minBegun: minBegunRatio / 6},
	} {
		load.size, load.sound = smallServingSize(), soundPrompt
		out["streams, 4 hosts, "+name] = load
		load.size = many
		out["streams, 89 hosts, "+name] = load
		load.sound = soundLookup
		out["lookups, 89 hosts, "+name] = load
	}
	return out
}

// TestBrittleEndpoints guards against hosts that together make endpoints decline so much
// that they fall over, although these say that they are brittle, and against hosts that
// leave the slots of such endpoints free.
func TestBrittleEndpoints(t *testing.T) {
	cases := selectCases(brittleLoads(), "streams, 4 hosts, usual load", "streams, 4 hosts, twice the slots", "streams, 4 hosts, a burst of calls",
		"streams, 89 hosts, usual load", "lookups, 89 hosts, usual load", "lookups, 89 hosts, twice the slots")
	for name, load := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			falls, allowed, began := load.play(t, nil)
			t.Logf("falls %d, begun %.3f", falls, began)
			require.LessOrEqual(t, float64(falls), allowed)
			t.Run("begun", func(t *testing.T) { require.GreaterOrEqual(t, began, load.minBegun) })
		})
	}
}

// TestBrittleEndpointsWithFaults guards against the same while hosts are killed, shut down,
// cut off, suspended, replaced and added.
func TestBrittleEndpointsWithFaults(t *testing.T) {
	load := brittleLoads()["streams, 89 hosts, usual load"]
	cases := hostFaultCases()
	cases["half of the hosts are killed twice"] = func(c *cluster) {
		c.restart(2, (*clusterHost).stop, c.hostNames()[:c.size.hosts/2]...)
	}
	cases["twenty hosts are added"] = func(c *cluster) { c.addHosts(20) }
	cases["twenty hosts are cut off"] = func(c *cluster) { c.beginAt(20, fault{kind: "cutPeers", lastsMs: 8000}) }
	for name, faults := range selectCases(cases, "all hosts are killed", "the planner is killed", "twenty hosts are cut off") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			falls, allowed, began := load.play(t, faults)
			t.Logf("falls %d, begun %.3f", falls, began)
			require.LessOrEqual(t, float64(falls), allowed)
			require.Greater(t, began, minBegunRatio)
		})
	}
}

// TestSilentEndpoint guards against a sound endpoint that is silent for a while and whose
// answers are given up, and against a silent one that takes requests until their deadline.
func TestSilentEndpoint(t *testing.T) {
	for name, tt := range map[string]struct {
		silence time.Duration
		broken  int // most requests that fail other than by a refusal
		reached int // most requests that go there from one second of silence on
	}{
		"a second":            {1200 * time.Millisecond, 0, 0},
		"to the end of trial": {signalTime, 40, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var complete, broken, all, reached int
			synctest.Test(t, func(*testing.T) {
				from := time.Now().Add(warmUp)
				var silent *replica
				s := &serving{}
				s, cancel := startServing(s, io.Discard, func(ctx context.Context, s *serving, h *clusterHost) {
					wait.For(ctx, time.Until(from))
					for n := 0; wait.For(ctx, 50*time.Millisecond); n++ {
						s.c.wg.Go(func() { s.send(ctx, h.name, "sound", soundPrompt(h.name, n)) })
					}
				})
				wait.For(s.c.ctx, time.Until(from.Add(time.Second)))
				silent = s.busiest()
				s.c.network.Freeze(netName(silent), true)
				wait.For(s.c.ctx, time.Second)
				before := s.received(silent.id)
				wait.For(s.c.ctx, tt.silence-time.Second)
				s.c.network.Freeze(netName(silent), false)
				reached = s.received(silent.id) - before
				wait.For(s.c.ctx, signalTime-tt.silence)
				ended := time.Now()
				s.stop(cancel)
				for _, call := range s.calls {
					if call.at.Before(ended.Add(-callTimeout)) {
						all++
						switch {
						case call.complete:
							complete++
						case call.status != http.StatusServiceUnavailable:
							broken++
						}
					}
				}
			})
			t.Logf("complete %d of %d, broken %d, reached %d", complete, all, broken, reached)
			require.Greater(t, float64(complete), minBegunRatio*float64(all))
			require.LessOrEqual(t, broken, tt.broken)
			require.LessOrEqual(t, reached, tt.reached)
		})
	}
}
