package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot"
)

// drawHosts draws a list of hosts ordered by name.
func drawHosts(t *rapid.T) []tamarackknot.HostEntry {
	var out []tamarackknot.HostEntry
	for i := range 6 {
		switch rapid.IntRange(0, 2).Draw(t, "host") {
		case 1:
			out = append(out, tamarackknot.HostEntry{Name: fmt.Sprint(i)})
		case 2:
			out = append(out, tamarackknot.HostEntry{Name: fmt.Sprint(i), Isolated: true})
		}
	}
	return out
}

// TestHostListChanges guards against a host whose list differs from the planner's after it
// has applied changes, some of which it missed.
func TestHostListChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l hostListHistory
		var held []tamarackknot.HostEntry
		heldVersion := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			hosts := drawHosts(t)
			_, err := l.add(hosts)
			require.NoError(t, err)
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			if changes, ok := l.since(heldVersion); ok {
				held = changes.apply(held)
			} else {
				require.True(t, heldVersion == 0 || l.version-heldVersion >= maxHostLists, "version %d of %d must be known", heldVersion, l.version)
				held = hosts
			}
			heldVersion = l.version
			require.Equal(t, fmt.Sprint(hosts), fmt.Sprint(held))
		}
	})
}

// TestFullViewsWithoutLists guards against full views that repeat lists which the hosts
// have, and that fill a planner's link.
func TestFullViewsWithoutLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 40
		peers, nodes := start(t, hosts)
		defer stop(nodes)
		nodes[0].setLease(1, true)
		time.Sleep(5 * time.Second)
		require.Len(t, nodes[1].client.Hosts(), hosts)
		p := nodes[0].publisher
		p.mu.Lock()
		p.hosts["h1"].fullViewAt = time.Time{}
		p.mu.Unlock()
		m := p.buildView("h1", &round{fence: 1, now: time.Now(), hostCount: hosts, fullViewsLeft: 1})
		require.True(t, m.Full)
		require.Empty(t, m.Hosts)
		require.Empty(t, m.Members)

		// A host that missed the last changes gets the list all the same.
		peers.Cut("h0", "h1", true)
		nodes[2].client.Leave()
		time.Sleep(2 * time.Second)
		peers.Cut("h0", "h1", false)
		time.Sleep(2 * time.Second)
		require.Len(t, nodes[1].client.Hosts(), hosts-1)
		require.Equal(t, nodes[3].client.Hosts(), nodes[1].client.Hosts())
	})
}
