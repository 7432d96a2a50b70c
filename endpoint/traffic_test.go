package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
	"tamarackknot.example/tamarackknot/internal/journaltest"
)

// messageOverhead is the JSON-RPC envelope and frame of a message (54 bytes)
// and the IP and TCP headers of it and of its acknowledgement (104 bytes).
const messageOverhead = 158

// changingReport returns a report with random load, so that it differs in each
// second.
func changingReport(address string) (tamarackknot.Report, error) {
	r := tamarackknot.Report{Endpoint: address, Time: time.Now(), Running: rand.IntN(60), Waiting: rand.IntN(3)}
	for i := range 3 {
		r.Loaded = append(r.Loaded, tamarackknot.LoadedTarget{Name: fmt.Sprintf("adapter-%05d", i), Version: "v1", MemoryMB: 400})
	}
	for i := range 20 {
		r.Cached = append(r.Cached, tamarackknot.CachedTarget{Name: fmt.Sprintf("adapter-%05d", i), Version: "v1", Tier: tamarackknot.TierDisk})
	}
	return r, nil
}

// TestTraffic guards against report traffic that grows with the fleet. All
// reports change each second. To save memory, only the first host, whose
// received traffic is checked, knows all endpoints; the others know those that
// they poll. The hosts send as much on average as they receive. TRAFFIC=target
// adds the target size, which takes 90 s.
func TestTraffic(t *testing.T) {
	const measuredSeconds = 30
	for name, tt := range map[string]struct {
		hosts, endpoints, used, limit int
		planner                       bool
	}{
		"9 hosts":            {hosts: 9, endpoints: 20, used: 20, limit: 8000},
		"100 hosts":          {hosts: 100, endpoints: 890, used: 400, limit: 4500},
		"770 hosts":          {hosts: 770, endpoints: 6900, used: 400, limit: 4500},
		"770 hosts, planner": {hosts: 770, endpoints: 6900, used: 400, limit: 100_000, planner: true},
	} {
		if tt.hosts > 100 && os.Getenv("TRAFFIC") != "target" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := newNetwork(t, changingReport)
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				defer wg.Wait()
				defer cancel()
				hosts := newFleet(net, tt.hosts, tt.endpoints)
				subject := hosts[0]
				if tt.planner {
					subject.planner = hostName(0)
				}
				for _, h := range hosts {
					wg.Go(func() { h.table.Run(ctx) })
				}
				useEndpoints := func(seconds int) {
					for range seconds {
						for i := range tt.used {
							if e, ok := subject.table.Get(fmt.Sprintf("endpoint-%05d", i)); ok {
								e.MarkUsed(time.Now())
							}
						}
						for i := 0; tt.planner && i < tt.endpoints; i++ {
							subject.table.Report(fmt.Sprintf("endpoint-%05d", i))
						}
						time.Sleep(time.Second)
					}
				}
				useEndpoints(40)
				net.reset()
				useEndpoints(measuredSeconds)
				net.mu.Lock()
				defer net.mu.Unlock()
				rate := func(c fake.PeerCount) int { return c.Bytes / measuredSeconds }
				received := rate(net.peers.Received(hostName(0), ""))
				polls := 0
				for _, n := range net.polls {
					polls += n
				}
				renewals := 0
				for _, s := range subject.table.follower.sources {
					data, err := json.Marshal(s.subscription)
					require.NoError(t, err)
					renewals += len(data) + messageOverhead
				}
				t.Logf("%d hosts, %d endpoints: received %d B/s, renewals of subscriptions %d B/s, polls per endpoint and second %.2f",
					tt.hosts, tt.endpoints, received, renewals/int(subscriptionTTL.Seconds()/2), float64(polls)/measuredSeconds/float64(tt.endpoints))
				require.LessOrEqual(t, received, tt.limit)
				require.LessOrEqual(t, float64(polls)/measuredSeconds/float64(tt.endpoints), pollersPerEndpoint+0.1)
				requireRecentReports(t, subject.table, tt.planner)
			})
		})
	}
}

// newFleet returns n hosts. The first knows all endpoints, the others only those
// that they poll.
func newFleet(net *network, n, endpoints int) []*host {
	var hosts []*host
	var all []*tamarackknot.Resource
	for i := range endpoints {
		name := fmt.Sprintf("endpoint-%05d", i)
		all = append(all, &tamarackknot.Resource{
			Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: name},
			Endpoint: &tamarackknot.EndpointSpec{Address: name, Slots: 64},
		})
	}
	var k ranking
	k.update(&host{hosts: n})
	for i := range n {
		h := net.host(i, n)
		store := journaltest.NewStore()
		store.Apply(slices.DeleteFunc(slices.Clone(all), func(r *tamarackknot.Resource) bool {
			p := k.pollers(r.Metadata.Name)
			return i > 0 && !slices.Contains(p.hosts[:], hostName(i))
		})...)
		h.table = New(Config{Journal: &journaltest.Journal{Store: store}, Engine: h, Members: h, Peers: h})
		hosts = append(hosts, h)
	}
	return hosts
}

// requireRecentReports requires that a host has recent reports of all endpoints
// that it follows.
func requireRecentReports(t *testing.T, table *Table, planner bool) {
	t.Helper()
	for e, full := range table.follower.followed {
		require.False(t, e.stale(time.Now().Add(-(maxBatchIntervals+maxMissedIntervals)*time.Second)), e.name)
		if full {
			require.Less(t, time.Since(e.report.Time), 15*time.Second, "placement ignores older reports")
			require.Len(t, e.report.Cached, 20)
		}
	}
	if planner {
		require.Greater(t, len(table.follower.followed), 6000)
	}
}

// TestFollow guards against outdated reports in a large fleet, after a list
// becomes empty, a batch is lost or a poller is silent, and against a host
// without messages from its peers that polls all endpoints.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const endpoints = 300
		empty := false
		net := newNetwork(t, func(address string) (tamarackknot.Report, error) {
			r, err := changingReport(address)
			if empty {
				r.Loaded, r.Cached = nil, nil
			}
			return r, err
		})
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		hosts := newFleet(net, 40, endpoints)
		hosts[0].planner = hostName(0)
		for _, h := range hosts {
			wg.Go(func() { h.table.Run(ctx) })
		}
		locked := func(fn func()) {
			net.mu.Lock()
			defer net.mu.Unlock()
			fn()
		}
		table := hosts[0].table
		synctest.Wait()
		useEndpoints := func(seconds, targets int) {
			for range seconds {
				for i := range 100 {
					e, _ := table.Get(fmt.Sprintf("endpoint-%05d", i))
					e.MarkUsed(time.Now())
					r, ok := table.Report(e.name)
					if targets >= 0 {
						require.True(t, ok)
						require.Len(t, r.Loaded, targets)
						require.Less(t, time.Since(r.Time), 12*time.Second)
					}
				}
				time.Sleep(time.Second)
			}
		}
		useEndpoints(10, -1)
		useEndpoints(10, 3)
		locked(func() { empty = true })
		useEndpoints(12, -1)
		useEndpoints(10, 0)
		net.peers.Cut("", hostName(0), true) // loses batches
		time.Sleep(2 * time.Second)
		net.peers.Cut("", hostName(0), false)
		locked(func() { empty = false })
		useEndpoints(12, -1)
		useEndpoints(5, 3)
		net.peers.Cut("", hostName(0), true)
		useEndpoints(10, -1)
		locked(func() { clear(net.pollsBy) })
		useEndpoints(10, 3) // reports come from the host's own polls
		locked(func() {
			assigned := 0
			for i := range endpoints {
				if table.ranking.isPoller(fmt.Sprintf("endpoint-%05d", i)) {
					assigned++
				}
			}
			// 10 s may include the polls of 11 intervals.
			require.Greater(t, net.pollsBy[0], 11*assigned, "the host polls endpoints that it follows")
			require.LessOrEqual(t, net.pollsBy[0], 11*(assigned+maxOwnPolls))
		})
	})
}
