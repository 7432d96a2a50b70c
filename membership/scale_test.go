package membership

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// spreadTime is the expected time in which a change reaches n hosts. Each round
// multiplies the hosts that know it by 1 + randomPeers, and as many rounds
// again reach the last ones.
func spreadTime(n int) time.Duration {
	return 2 * time.Duration(math.Ceil(math.Log(float64(n))/math.Log(1+randomPeers))) * gossipInterval
}

// TestScale measures traffic, detection time and false suspicions. It guards
// against traffic per host that grows with the number of hosts and against
// failure detection that does not complete at the target size.
func TestScale(t *testing.T) {
	for _, n := range []int{9, 100, 770} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			if testing.Short() && n > 100 {
				t.Skip("takes tens of seconds")
			}
			synctest.Test(t, func(t *testing.T) { measureScale(t, n) })
		})
	}
}

func measureScale(t *testing.T, n int) {
	t.Helper()
	net := newNetwork(n, 7)
	defer net.stop()
	begin := time.Now()
	for _, h := range net.hosts {
		h.start()
	}
	joined := waitFor(2*time.Minute, func() bool {
		for _, h := range net.hosts {
			if !h.allAlive(n) {
				return false
			}
		}
		return true
	})
	if !joined {
		net.logIncomplete(t, n)
	}
	require.True(t, joined, "views are not complete after the start")
	t.Logf("n=%d: all views complete %v after the start", n, time.Since(begin))
	time.Sleep(30 * time.Second)

	count := func() (messages, bytes, maxBytes, suspected int) {
		net.mu.Lock()
		defer net.mu.Unlock()
		for _, h := range net.hosts {
			messages += h.messages
			bytes += h.bytesSent + h.bytesReceived
			maxBytes = max(maxBytes, h.bytesSent+h.bytesReceived)
			suspected += int(h.suspected.Count())
			h.messages, h.bytesSent, h.bytesReceived = 0, 0, 0
		}
		return messages, bytes, maxBytes, suspected
	}
	var messages, bytes, maxBytes, suspected int
	_, _, maxBytes, startSuspected := count()
	t.Logf("n=%d: most loaded host sent and received %d bytes since the start", n, maxBytes)
	const steady = 20
	time.Sleep(steady * time.Second)
	messages, bytes, maxBytes, suspected = count()
	t.Logf("n=%d steady %ds: %.1f messages/s and %.0f bytes/s in and out per host (most loaded %d), false suspicions %d (start: %d)",
		n, steady, float64(messages)/steady/float64(n), float64(bytes)/steady/float64(n), maxBytes/steady, suspected-startSuspected, startSuspected)
	require.Equal(t, startSuspected, suspected, "suspicions without a fault")
	require.Less(t, maxBytes/steady, 8<<10, "bytes per second of a host")
	addresses := 0
	for _, h := range net.hosts {
		addresses += len(h.Addresses("domain-0", "caller"))
	}
	t.Logf("n=%d: %.0f addresses per answer", n, float64(addresses)/float64(n))
	require.GreaterOrEqual(t, addresses/n, min(n, 9))

	victims := net.hosts[:2]
	var suspectAll, deadAll, lastAnswers []time.Duration
	for _, v := range victims {
		s, d, a := net.measureDetection(t, v)
		suspectAll, deadAll, lastAnswers = append(suspectAll, s), append(deadAll, d), append(lastAnswers, a)
	}
	t.Logf("n=%d: after a kill, suspect at all hosts after %v, dead at all after %v, last address answer %v", n, suspectAll, deadAll, lastAnswers)
	require.LessOrEqual(t, slices.Max(lastAnswers), suspectAfter+gossipInterval)
	require.LessOrEqual(t, slices.Max(suspectAll), suspectAfter+gossipInterval+spreadTime(n))
	require.LessOrEqual(t, slices.Max(deadAll), deadAfter+2*gossipInterval+spreadTime(n))
	_, _, churnBytes, after := count()
	t.Logf("n=%d: suspicions after %d kills: %d, most loaded host %d bytes/s", n, len(victims), after-suspected, churnBytes/int(2*(deadAfter+spreadTime(n))/time.Second))
}

// logIncomplete logs the number of incomplete views and of members in each
// state.
func (net *network) logIncomplete(t *testing.T, n int) {
	t.Helper()
	states := map[tamarackknot.MemberStatus]int{}
	incomplete := 0
	for _, h := range net.hosts {
		if !h.allAlive(n) {
			incomplete++
		}
		for _, o := range net.hosts {
			states[h.statusOf(o.host.Name)]++
		}
	}
	t.Logf("n=%d: %d views are incomplete, states %v", n, incomplete, states)
}

// logUndetected logs the hosts that do not consider a killed host dead and what
// they know of it.
func (net *network) logUndetected(t *testing.T, v *testHost) {
	t.Helper()
	for _, h := range net.hosts {
		if !h.running || h.statusOf(v.host.Name) == tamarackknot.MemberDead {
			continue
		}
		h.mu.Lock()
		mb := h.members[v.host.Name]
		now := time.Now()
		t.Logf("view of host %s on %s: fault %v since %v, heartbeat %d, last known alive %v ago, remaining sends %d, watched %v",
			h.host.Name, v.host.Name, mb.fault, now.Sub(mb.faultSince), mb.heartbeat, now.Sub(mb.earliestSendTime()), mb.remainingSends, !mb.watchedSince.IsZero())
		h.mu.Unlock()
	}
}

func (h *testHost) allAlive(n int) bool {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.members) != n {
		return false
	}
	for _, mb := range h.byName {
		if mb.status(now) != tamarackknot.MemberAlive {
			return false
		}
	}
	return true
}

// measureDetection kills a host. It returns the times until all others
// suspected it, all considered it dead, and the last one stopped naming it to
// callers.
func (net *network) measureDetection(t *testing.T, v *testHost) (suspect, dead, lastAnswer time.Duration) {
	t.Helper()
	v.kill()
	at := time.Now()
	ok := waitFor(time.Minute, func() bool {
		allSuspect, allDead, named := true, true, false
		for _, h := range net.hosts {
			if !h.running {
				continue
			}
			s := h.statusOf(v.host.Name)
			allDead = allDead && s == tamarackknot.MemberDead
			allSuspect = allSuspect && (s == tamarackknot.MemberDead || s == tamarackknot.MemberSuspect)
			named = named || h.namesToCallers(v.host.Name)
		}
		if named {
			lastAnswer = time.Since(at)
		}
		if allSuspect && suspect == 0 {
			suspect = time.Since(at)
		}
		dead = time.Since(at)
		return allDead
	})
	if !ok {
		net.logUndetected(t, v)
	}
	require.True(t, ok, "not all hosts consider %s dead", v.host.Name)
	return suspect, dead, lastAnswer
}

// waitFor checks a condition every 100 ms of fake time and reports whether it
// became true within limit.
func waitFor(limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return false
}
