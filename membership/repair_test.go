package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// withConvergedNetwork runs f on a network of n hosts that know each other and
// have no changes left to send.
func withConvergedNetwork(t *testing.T, n int, f func(net *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(n, 7)
		defer net.stop()
		for _, h := range net.hosts {
			h.start()
		}
		require.True(t, waitFor(time.Minute, func() bool {
			for _, h := range net.hosts {
				if !h.allAlive(n) {
					return false
				}
			}
			return true
		}), "views are not complete after the start")
		time.Sleep(changeTTL)
		f(net)
	})
}

// TestChangeTransmissions guards against transmissions of a change that are
// used up by members that cannot receive them. With one host of 770 down, this
// was a quarter of them, and the change of a second death did not reach a host
// in one kill of twenty.
func TestChangeTransmissions(t *testing.T) {
	for _, down := range []int{0, 1, 6} {
		t.Run(fmt.Sprint(down), func(t *testing.T) {
			withConvergedNetwork(t, 20, func(net *network) {
				h := net.hosts[0]
				h.mu.Lock()
				defer h.mu.Unlock()
				now := time.Now()
				for _, other := range net.hosts[1 : 1+down] {
					h.members[other.host.Name].setFault(faultDead, now)
				}
				changed := h.members["entry-019"]
				h.markChanged(changed, now)
				want, got := changed.remainingSends, 0
				for range 100 {
					for _, o := range h.roundMessages(now, nil) {
						if o.host == changed.host.Name || !h.members[o.host].responsive() {
							continue
						}
						for _, u := range o.msg.Updates[1:] {
							if u.Host == changed.host.Name && u.Details != nil {
								got++
							}
						}
					}
				}
				require.GreaterOrEqual(t, got, want, "transmissions to members that can receive them")
			})
		})
	}
}

// TestMissedFault guards against a host that did not receive the change of a
// death and names the dead host to callers until a round-robin update arrives.
func TestMissedFault(t *testing.T) {
	withConvergedNetwork(t, 200, func(net *network) {
		victim, missing := net.hosts[0], net.hosts[100]
		net.measureDetection(t, victim)
		time.Sleep(changeTTL)
		missing.mu.Lock()
		missing.members[victim.host.Name].setFault(faultNone, time.Time{})
		missing.mu.Unlock()
		require.True(t, waitFor(3*gossipInterval, func() bool {
			return missing.statusOf(victim.host.Name) == tamarackknot.MemberDead
		}), "the status of the dead host is still %s", missing.statusOf(victim.host.Name))
	})
}
