package endpoint

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
	"tamarackknot.example/tamarackknot/internal/journaltest"
)

// network connects the tables of several hosts and counts their polls.
type network struct {
	t     *testing.T
	peers *fake.Peers
	mu    sync.Mutex
	polls map[string]int // by endpoint
	// pollsBy counts the polls of each host.
	pollsBy map[int]int
	report  func(address string) (tamarackknot.Report, error)
}

type host struct {
	*fake.PeersHost
	net   *network
	self  int
	hosts int
	table *Table
	// planner is the result of Planner.
	planner string
	signs   []tamarackknot.EndpointSign
}

var (
	_ tamarackknot.Peers   = (*host)(nil)
	_ tamarackknot.Members = (*host)(nil)
	_ tamarackknot.Engine  = (*host)(nil)
)

func hostName(i int) string { return fmt.Sprintf("entry-%02d", i) }

func newNetwork(t *testing.T, report func(string) (tamarackknot.Report, error)) *network {
	t.Helper()
	return &network{
		t: t, peers: fake.NewPeers(fake.PeersConfig{Overhead: messageOverhead}), polls: map[string]int{}, pollsBy: map[int]int{}, report: report,
	}
}

func (n *network) host(i, hosts int) *host {
	return &host{PeersHost: n.peers.Host(hostName(i)), net: n, self: i, hosts: hosts}
}

func (h *host) Self() tamarackknot.Member { return h.List()[h.self] }

func (h *host) List() []tamarackknot.Member {
	list := make([]tamarackknot.Member, h.hosts)
	for i := range list {
		list[i] = tamarackknot.Member{Host: tamarackknot.Host{Name: hostName(i)}, Status: tamarackknot.MemberAlive}
	}
	return list
}

func (h *host) Planner(string) string                        { return h.planner }
func (h *host) Ended(tamarackknot.Process) (time.Time, bool) { return time.Time{}, false }
func (h *host) Broadcast(s tamarackknot.EndpointSign)        { h.signs = append(h.signs, s) }

func (h *host) Order(context.Context, string, tamarackknot.Order) tamarackknot.OrderResult {
	return tamarackknot.OrderResult{}
}

func (h *host) Report(_ context.Context, address string) (tamarackknot.Report, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.net.polls[address]++
	h.net.pollsBy[h.self]++
	return h.net.report(address)
}

// runTables runs fn in a synctest bubble with the tables of n hosts, for the
// given number of model engines and one plain service.
func runTables(t *testing.T, n, endpoints int, fn func(net *network, hosts []*host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := journaltest.NewStore()
		for i := range endpoints {
			name := fmt.Sprintf("e%d", i)
			store.Apply(&tamarackknot.Resource{
				Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: name},
				Endpoint: &tamarackknot.EndpointSpec{Address: name, Slots: 4},
			})
		}
		store.Apply(&tamarackknot.Resource{
			Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: "app"},
			Endpoint: &tamarackknot.EndpointSpec{Address: "app", Slots: 4, Service: "book"},
		})
		net := newNetwork(t, func(string) (tamarackknot.Report, error) {
			return tamarackknot.Report{Time: time.Now(), Running: 3}, nil
		})
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		var hosts []*host
		for i := range n {
			h := net.host(i, n)
			h.table = New(Config{Journal: &journaltest.Journal{Store: store}, Engine: h, Members: h, Peers: h, PublishSign: h.Broadcast})
			hosts = append(hosts, h)
		}
		for _, h := range hosts {
			wg.Go(func() { h.table.Run(ctx) })
		}
		defer func() {
			cancel()
			wg.Wait()
		}()
		fn(net, hosts)
	})
}

func (n *network) reset() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.polls = map[string]int{}
	n.peers.ResetCounts()
}

// TestPollTraffic guards against report traffic at an endpoint that grows with
// the number of entry hosts, and against hosts that get no reports.
func TestPollTraffic(t *testing.T) {
	runTables(t, 20, 30, func(net *network, hosts []*host) {
		t := net.t
		time.Sleep(5500 * time.Millisecond)
		net.reset()
		time.Sleep(10 * time.Second)
		net.mu.Lock()
		defer net.mu.Unlock()
		require.Zero(t, net.polls["app"], "plain services have no reports")
		for i := range 30 {
			name := fmt.Sprintf("e%d", i)
			require.Equal(t, 10*pollersPerEndpoint, net.polls[name], name)
			for _, h := range hosts {
				r, ok := h.table.Report(name)
				require.True(t, ok)
				require.Equal(t, 3, r.Running)
			}
		}
		require.LessOrEqual(t, net.peers.Sent("", "").Messages, 10*20*19)
	})
}

// TestPollWithoutPeers guards against routing by old reports at a host that its
// peers cannot reach.
func TestPollWithoutPeers(t *testing.T) {
	runTables(t, 10, 5, func(net *network, hosts []*host) {
		t := net.t
		time.Sleep(5500 * time.Millisecond)
		net.peers.Cut("", hostName(0), true)
		net.mu.Lock()
		net.report = func(string) (tamarackknot.Report, error) {
			return tamarackknot.Report{Time: time.Now(), Running: 1}, nil
		}
		net.mu.Unlock()
		time.Sleep(5 * time.Second)
		for i := range 5 {
			r, _ := hosts[0].table.Report(fmt.Sprintf("e%d", i))
			require.Equal(t, 1, r.Running)
		}
	})
}

// TestSigns guards against leaving endpoints that are still used, endpoints that
// stay out of routing after they recover, and signs that are published more than
// once or for a failure that may be local to this host.
func TestSigns(t *testing.T) {
	tests := map[string]struct {
		report    func() (tamarackknot.Report, error)
		reason    string
		published bool
		// recovery is the time from the end of the failure until the endpoint is
		// used again.
		recovery time.Duration
	}{
		"leaving": {
			report: func() (tamarackknot.Report, error) {
				return tamarackknot.Report{Time: time.Now(), Leaving: true}, nil
			},
			reason: "report", published: true, recovery: leavingTTL,
		},
		"refused": {
			report: func() (tamarackknot.Report, error) { return tamarackknot.Report{}, syscall.ECONNREFUSED },
			reason: "connectionRefused", published: true, recovery: refusedTTL,
		},
		"no report": {
			report: func() (tamarackknot.Report, error) { return tamarackknot.Report{}, errors.New("timeout") },
			reason: reasonNoReport, recovery: time.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runTables(t, 1, 1, func(net *network, hosts []*host) {
				t := net.t
				h := hosts[0]
				time.Sleep(1500 * time.Millisecond)
				require.False(t, h.table.Unreachable("e0"))
				normalReport := net.report
				net.mu.Lock()
				net.report = func(string) (tamarackknot.Report, error) { return tt.report() }
				net.mu.Unlock()
				time.Sleep(10 * time.Second)
				require.True(t, h.table.Unreachable("e0"))
				e, _ := h.table.Get("e0")
				require.False(t, e.Available(time.Now()))
				require.Equal(t, tt.reason, e.sign.Reason)
				if tt.published {
					require.Len(t, h.signs, 1)
				} else {
					require.Empty(t, h.signs)
				}
				net.mu.Lock()
				net.report = normalReport
				net.mu.Unlock()
				time.Sleep(tt.recovery)
				require.False(t, h.table.Unreachable("e0"))
			})
		})
	}
}

// TestSlots guards against more requests at an endpoint than it has slots, and
// against this host's requests being counted as those of other hosts too.
func TestSlots(t *testing.T) {
	runTables(t, 1, 1, func(net *network, hosts []*host) {
		t := net.t
		time.Sleep(100 * time.Millisecond)
		e, _ := hosts[0].table.Get("e0")
		require.True(t, e.TryStart(time.Now()))
		require.True(t, e.TryStart(time.Now()))
		time.Sleep(1500 * time.Millisecond) // the report counts 3 running, 2 of them from this host
		own, others, _ := e.Load()
		require.EqualValues(t, 2, own)
		require.EqualValues(t, 1, others)
		require.True(t, e.TryStart(time.Now()))
		require.False(t, e.TryStart(time.Now()))
		for range 3 {
			e.Done()
		}
		require.Panics(t, e.Done)
	})
}
