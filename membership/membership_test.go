package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// withNetwork runs a test on n hosts that know each other.
func withNetwork(t *testing.T, n int, test func(t *testing.T, net *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(n, 11)
		defer net.stop()
		for _, h := range net.hosts {
			h.start()
		}
		time.Sleep(5 * time.Second)
		for _, h := range net.hosts {
			require.True(t, h.allAlive(n), h.host.Name)
		}
		test(t, net)
	})
}

func (net *network) cutHost(h *testHost, out, in bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	for _, o := range net.hosts {
		net.cut[[2]string{h.host.Name, o.host.Name}] = out
		net.cut[[2]string{o.host.Name, h.host.Name}] = in
	}
}

func hostNames(list []Address) []string {
	var names []string
	for _, a := range list {
		names = append(names, a.Host)
	}
	return names
}

// TestAddresses guards against answers with the same order for all callers,
// answers that ignore the failure domain, and answers without a deadline.
func TestAddresses(t *testing.T) {
	withNetwork(t, 9, func(t *testing.T, net *network) {
		t.Helper()
		first := map[string]int{}
		for i := range 300 {
			caller := fmt.Sprint("caller-", i)
			list := net.hosts[i%9].Addresses("domain-1", caller)
			require.Len(t, list, 9)
			require.Equal(t, hostNames(list), hostNames(net.hosts[0].Addresses("domain-1", caller)), "order differs between hosts")
			for j, a := range list {
				require.Equal(t, j < 3, a.FailureDomain == "domain-1")
				require.Equal(t, time.Now().Add(addressTTL), a.KeepUntil)
			}
			first[list[0].Host]++
		}
		require.Len(t, first, 3)
		for host, n := range first {
			require.InDelta(t, 100, n, 40, host)
		}
	})
}

// TestPlanner guards against hosts that select different planners for a
// deployment, one planner for all deployments, and planners that change
// although their host is alive.
func TestPlanner(t *testing.T) {
	withNetwork(t, 9, func(t *testing.T, net *network) {
		t.Helper()
		before := map[string]string{}
		planners := map[string]bool{}
		for i := range 100 {
			d := fmt.Sprint("deployment-", i)
			before[d] = net.hosts[0].Planner(d)
			planners[before[d]] = true
			for _, h := range net.hosts {
				require.Equal(t, before[d], h.Planner(d))
			}
		}
		require.Len(t, planners, 9)
		dead := net.hosts[4]
		dead.kill()
		time.Sleep(deadAfter + 2*gossipInterval)
		for d, host := range before {
			after := net.hosts[0].Planner(d)
			require.NotEqual(t, dead.host.Name, after)
			if host != dead.host.Name {
				require.Equal(t, host, after, "planner of %s moved", d)
			}
		}
	})
}

// TestLeave guards against a return of Leave while a caller may still use an
// answer that names the host, whether or not the host can reach the others.
func TestLeave(t *testing.T) {
	for name, cut := range map[string]bool{"reachable": false, "unreachable": true} {
		t.Run(name, func(t *testing.T) {
			withNetwork(t, 5, func(t *testing.T, net *network) {
				t.Helper()
				h := net.hosts[2]
				if cut {
					net.cutHost(h, true, false)
				}
				begin := time.Now()
				var keepUntil time.Time
				done := make(chan error, 1)
				go func() { done <- h.Leave(context.Background()) }()
				for range 200 {
					time.Sleep(100 * time.Millisecond)
					for _, o := range net.hosts {
						for _, a := range o.Addresses("domain-0", "caller") {
							if a.Host == h.host.Name {
								keepUntil = a.KeepUntil
							}
						}
					}
					select {
					case err := <-done:
						require.NoError(t, err)
						require.Equal(t, 13*time.Second, time.Since(begin).Truncate(time.Second))
						require.False(t, keepUntil.After(time.Now()))
						require.Equal(t, GateDraining, h.Gate())
						if !cut {
							require.Equal(t, tamarackknot.MemberLeaving, net.hosts[0].statusOf(h.host.Name))
							require.Less(t, keepUntil.Sub(begin), addressTTL+time.Second, "the announcement came late")
							h.SetIdle()
							time.Sleep(time.Second)
							_, ended := net.hosts[0].Ended(h.process())
							require.True(t, ended)
						}
						return
					default:
					}
				}
				require.Fail(t, "Leave did not return")
			})
		})
	}
}

// TestGate guards against a host that serves with outdated state, and against
// one that stops serving while the log is down for all hosts.
func TestGate(t *testing.T) {
	type change struct {
		cutPeers, logDown, allLogsDown, behind bool
	}
	tests := map[string]struct {
		change change
		want   GateStatus
	}{
		"no fault":             {change{}, GateReady},
		"log cut":              {change{logDown: true}, GateReady},
		"peers cut":            {change{cutPeers: true}, GateReady},
		"log and peers cut":    {change{cutPeers: true, logDown: true}, GateStale},
		"log down for all":     {change{logDown: true, allLogsDown: true}, GateReady},
		"cut and behind":       {change{logDown: true, behind: true}, GateStale},
		"reachable and behind": {change{behind: true}, GateReady},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withNetwork(t, 3, func(t *testing.T, net *network) {
				t.Helper()
				h := net.hosts[0]
				net.mu.Lock()
				for _, o := range net.hosts {
					o.logDown = o == h && test.change.logDown || test.change.allLogsDown
					if o != h && test.change.behind {
						o.journal.Applied += 5
					}
				}
				net.mu.Unlock()
				net.cutHost(h, test.change.cutPeers, test.change.cutPeers)
				time.Sleep(staleAfter - time.Second)
				require.Equal(t, GateReady, h.Gate())
				time.Sleep(4 * time.Second)
				require.Equal(t, test.want, h.Gate())
				require.Equal(t, test.want == GateReady, slices.Contains(hostNames(h.Addresses("domain-0", "c")), h.host.Name))
				net.cutHost(h, false, false)
				time.Sleep(3 * time.Second)
				if test.change.behind && test.want == GateStale { // contact with peers does not extend the deadline
					require.Equal(t, GateStale, h.Gate())
					require.NotContains(t, hostNames(net.hosts[1].Addresses("domain-0", "c")), h.host.Name)
				} else {
					require.Equal(t, GateReady, h.Gate())
					require.Contains(t, hostNames(net.hosts[1].Addresses("domain-0", "c")), h.host.Name)
				}
				net.mu.Lock()
				h.logDown = false
				net.mu.Unlock()
				time.Sleep(2 * time.Second)
				require.Equal(t, GateReady, h.Gate())
			})
		})
	}
}

// TestGateWithoutPeers guards against a single host that stops serving while the
// log is down, and against one that serves before its state is complete.
func TestGateWithoutPeers(t *testing.T) {
	withNetwork(t, 1, func(t *testing.T, net *network) {
		t.Helper()
		h := net.hosts[0]
		net.mu.Lock()
		h.logDown = true
		net.mu.Unlock()
		time.Sleep(time.Minute)
		require.Equal(t, GateReady, h.Gate())
		require.Equal(t, []string{h.host.Name}, hostNames(h.Addresses("elsewhere", "c")))
		net.mu.Lock()
		h.journal.Ready = false
		net.mu.Unlock()
		time.Sleep(2 * time.Second)
		require.Equal(t, GateStale, h.Gate())
		require.Empty(t, h.Addresses("elsewhere", "c"))
	})
}

// TestSigns guards against signs that are lost, delivered twice or kept after
// their deadline.
func TestSigns(t *testing.T) {
	for _, n := range []int{9, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := newNetwork(n, 5)
				defer net.stop()
				for _, h := range net.hosts {
					h.start()
				}
				time.Sleep(30 * time.Second)
				until := time.Now().Add(time.Minute)
				s := tamarackknot.EndpointSign{Endpoint: "engine-1", Reason: "leaving", Until: until}
				net.hosts[0].Broadcast(s)
				net.hosts[0].Broadcast(s)
				time.Sleep(time.Second)
				synctest.Wait()
				at := 0
				for _, h := range net.hosts {
					at += len(h.signs)
				}
				t.Logf("%d of %d hosts have the sign after 1 s", at, n-1)
				time.Sleep(spreadTime(n))
				synctest.Wait()
				require.Empty(t, net.hosts[0].signs, "a host received its own sign")
				for _, h := range net.hosts[1:] {
					require.Len(t, h.signs, 1, h.host.Name)
					require.Equal(t, "engine-1", h.signs[0].Endpoint)
					require.InDelta(t, 0, until.Sub(h.signs[0].Until), float64(time.Second))
				}
				time.Sleep(time.Minute)
				synctest.Wait()
				for _, h := range net.hosts {
					require.Empty(t, h.Membership.signs)
				}
			})
		})
	}
}

// TestEnded guards against processes whose end is not detected, so that their
// reservations are never freed, and against running processes that are reported
// as ended.
func TestEnded(t *testing.T) {
	ended := func(h *testHost, p tamarackknot.Process) bool {
		_, ok := h.Ended(p)
		return ok
	}
	t.Run("restart", func(t *testing.T) {
		withNetwork(t, 3, func(t *testing.T, net *network) {
			t.Helper()
			old := net.hosts[1].process()
			net.hosts[1].kill()
			net.hosts[1].start()
			at := time.Now()
			time.Sleep(3 * time.Second)
			since, ok := net.hosts[0].Ended(old)
			require.True(t, ok)
			require.InDelta(t, 0, since.Sub(at), float64(2*time.Second))
			require.True(t, ended(net.hosts[1], old), "a host knows that its previous process ended")
			require.False(t, ended(net.hosts[0], net.hosts[1].process()))
		})
	})
	t.Run("removed from the list", func(t *testing.T) {
		withNetwork(t, 3, func(t *testing.T, net *network) {
			t.Helper()
			time.Sleep(maxListLag)
			old := net.hosts[1].process()
			net.setList(false, 20*time.Second)
			net.hosts[1].kill()
			time.Sleep(19 * time.Second)
			require.False(t, ended(net.hosts[0], old), "still listed")
			time.Sleep(1 + 2*pollInterval + time.Second)
			require.True(t, ended(net.hosts[0], old))
		})
	})
	t.Run("list down", func(t *testing.T) {
		withNetwork(t, 3, func(t *testing.T, net *network) {
			t.Helper()
			old := net.hosts[1].process()
			net.setList(true, 0)
			net.hosts[1].kill()
			time.Sleep(5 * time.Minute)
			require.False(t, ended(net.hosts[0], old))
			net.setList(false, 0)
			time.Sleep(unlistedTimeout + 3*pollInterval)
			require.True(t, ended(net.hosts[0], old))
		})
	})
	t.Run("never listed", func(t *testing.T) {
		withNetwork(t, 3, func(t *testing.T, net *network) {
			t.Helper()
			p := tamarackknot.Process{Host: "entry-900", Incarnation: uuid.Must(uuid.NewV7()).String()}
			require.False(t, ended(net.hosts[0], p))
			time.Sleep(unlistedTimeout - time.Second)
			require.False(t, ended(net.hosts[0], p))
			time.Sleep(2 * time.Second)
			require.True(t, ended(net.hosts[0], p))
		})
	})
	t.Run("younger than the list lag", func(t *testing.T) {
		withNetwork(t, 3, func(t *testing.T, net *network) {
			t.Helper()
			time.Sleep(maxListLag)
			net.setList(false, 20*time.Second)
			net.hosts[1].kill()
			time.Sleep(8 * time.Second)
			net.hosts[1].start()
			time.Sleep(3 * time.Second)
			net.cutHost(net.hosts[1], true, true)
			for range 120 {
				time.Sleep(time.Second)
				require.False(t, ended(net.hosts[0], net.hosts[1].process()))
			}
		})
	})
	t.Run("partitioned", func(t *testing.T) {
		withNetwork(t, 3, func(t *testing.T, net *network) {
			t.Helper()
			net.cutHost(net.hosts[1], true, true)
			time.Sleep(10 * time.Minute)
			require.False(t, ended(net.hosts[0], net.hosts[1].process()))
		})
	})
	t.Run("missing in one poll", func(t *testing.T) {
		withNetwork(t, 3, func(t *testing.T, net *network) {
			t.Helper()
			time.Sleep(maxListLag)
			net.cutHost(net.hosts[1], true, true)
			time.Sleep(deadAfter)
			net.mu.Lock()
			all := net.listHistory
			net.listHistory = []listState{{hosts: all[0].hosts[:1]}}
			net.mu.Unlock()
			time.Sleep(pollInterval)
			net.mu.Lock()
			net.listHistory = all
			net.mu.Unlock()
			time.Sleep(10 * time.Minute)
			require.False(t, ended(net.hosts[0], net.hosts[1].process()))
		})
	})
	t.Run("empty list", func(t *testing.T) {
		withNetwork(t, 3, func(t *testing.T, net *network) {
			t.Helper()
			net.mu.Lock()
			net.listHistory = []listState{{time.Now(), nil}}
			net.mu.Unlock()
			net.cutHost(net.hosts[1], true, true)
			time.Sleep(10 * time.Minute)
			require.False(t, ended(net.hosts[0], net.hosts[1].process()))
		})
	})
}

// TestLateFirstMessage guards against callers being given a host that ended
// long ago: the first message of its process was delayed and was taken for
// recent.
func TestLateFirstMessage(t *testing.T) {
	withNetwork(t, 3, func(t *testing.T, net *network) {
		t.Helper()
		o, h := net.hosts[0], net.hosts[1]
		o.pause()
		h.kill()
		h.start()
		time.Sleep(5 * time.Second)
		h.kill()
		time.Sleep(suspectAfter)
		o.resume()
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			require.False(t, o.namesToCallers(h.host.Name))
		}
	})
}

// TestOneWayCut guards against a host that all consider dead because one
// watcher does not receive its heartbeats.
func TestOneWayCut(t *testing.T) {
	withNetwork(t, 9, func(t *testing.T, net *network) {
		t.Helper()
		o, h := net.hosts[0], net.hosts[1]
		net.mu.Lock()
		net.cut[[2]string{h.host.Name, o.host.Name}] = true
		net.mu.Unlock()
		for range 300 {
			time.Sleep(200 * time.Millisecond)
			for _, other := range net.hosts {
				require.Equal(t, tamarackknot.MemberAlive, other.statusOf(h.host.Name))
				require.True(t, other.namesToCallers(h.host.Name), other.host.Name)
			}
		}
	})
}

// TestPausedWatcher guards against a host that suspects the members it watches
// because it was itself paused and received no heartbeats.
func TestPausedWatcher(t *testing.T) {
	withNetwork(t, 9, func(t *testing.T, net *network) {
		t.Helper()
		o := net.hosts[0]
		for range 5 {
			o.pause()
			time.Sleep(20 * time.Second)
			o.resume()
			time.Sleep(10 * time.Second)
			require.True(t, o.allAlive(9))
		}
		require.Zero(t, o.suspected.Count())
	})
}

// TestSuspicionOfOlderHeartbeat guards against a dead member that counts as
// alive again because one host received its last heartbeat, and against an old
// suspicion that overrides a newer heartbeat.
func TestSuspicionOfOlderHeartbeat(t *testing.T) {
	tests := map[string]struct {
		wait, older time.Duration
		want        fault
	}{
		"last heartbeat too old":  {4 * time.Second, time.Second, faultSuspect},
		"last heartbeat recent":   {2 * time.Second, time.Second, faultNone},
		"suspicion long outdated": {4 * time.Second, 3 * time.Second, faultNone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, err := New(Config{Host: tamarackknot.Host{Name: "a"}, Incarnation: uuid.Must(uuid.NewV7()).String(), Peers: discardPeers{}})
				require.NoError(t, err)
				u := update{Host: "b", Incarnation: uuid.Must(uuid.NewV7()), Beat: uint64(time.Minute / time.Microsecond)}
				m.merge(&u, time.Now(), time.Now(), true)
				time.Sleep(test.wait)
				u.Beat -= uint64(test.older / time.Microsecond)
				u.Fault = faultSuspect
				m.merge(&u, time.Now(), time.Time{}, false)
				require.Equal(t, test.want, m.members["b"].fault)
			})
		})
	}
}

// TestSuperseded guards against two processes of one host that serve at the
// same time.
func TestSuperseded(t *testing.T) {
	withNetwork(t, 3, func(t *testing.T, net *network) {
		t.Helper()
		h := net.hosts[0]
		msg := &message{Updates: []update{
			{Host: "entry-001", Incarnation: uuid.MustParse(net.hosts[1].incarnation), Beat: 1 << 40},
			{Host: h.host.Name, Incarnation: uuid.Must(uuid.NewV7()), Beat: 1},
		}}
		p, err := pack(msg)
		require.NoError(t, err)
		data, err := json.Marshal(p)
		require.NoError(t, err)
		_, err = h.handleGossip(context.Background(), "entry-001", data)
		require.NoError(t, err)
		require.Equal(t, GateStale, h.Gate())
		time.Sleep(3 * time.Second)
		require.Equal(t, GateStale, h.Gate())
	})
}

// TestSuspendedClock guards against a member that is never used again after its
// clock stopped for a while, as in a suspended virtual machine.
func TestSuspendedClock(t *testing.T) {
	withNetwork(t, 3, func(t *testing.T, net *network) {
		t.Helper()
		h := net.hosts[1]
		h.mu.Lock()
		h.started = h.started.Add(4 * time.Second)
		h.mu.Unlock()
		time.Sleep(5*time.Second + 2*suspectAfter)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			require.True(t, net.hosts[0].namesToCallers(h.host.Name))
			require.True(t, net.hosts[2].namesToCallers(h.host.Name))
		}
		require.Zero(t, net.hosts[0].suspected.Count()+net.hosts[2].suspected.Count())
	})
}

// TestInvalidMessages guards against messages of faulty hosts that are accepted
// although they exceed a limit or lack the sender's state.
func TestInvalidMessages(t *testing.T) {
	own := update{Host: "x", Incarnation: uuid.Must(uuid.NewV7())}
	tests := map[string]struct {
		msg  message
		want string
	}{
		"empty":         {message{}, "does not start with its own state"},
		"other sender":  {message{Updates: []update{{Host: "y"}}}, "does not start with its own state"},
		"many updates":  {message{Updates: slices.Repeat([]update{own}, maxUpdates+1)}, "33 updates"},
		"many signs":    {message{Updates: []update{own}, Signs: make([]sign, maxSigns+1)}, "9 signs"},
		"long name":     {message{Updates: []update{own, {Host: strings.Repeat("x", maxNameBytes+1)}}}, "254 bytes"},
		"no name":       {message{Updates: []update{own, {}}}, "0 bytes"},
		"long reason":   {message{Updates: []update{own}, Signs: []sign{{Reason: strings.Repeat("x", 300)}}}, "300 bytes"},
		"large message": {message{Updates: []update{own}, Ask: []string{strings.Repeat("x", maxPackedBytes)}}, "limit 65536"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := pack(&test.msg)
			require.NoError(t, err)
			_, err = unpack(p, "x")
			require.ErrorContains(t, err, test.want)
		})
	}
	_, err := unpack(packed{Packed: []byte{0xff}}, "x")
	require.ErrorContains(t, err, "decode gossip message")
}
