package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// discardPeers encodes messages as the mesh does and drops them.
type discardPeers struct{}

func (discardPeers) Handle(string, tamarackknot.PeerHandler) {}

func (discardPeers) Notify(_ context.Context, _, _ string, params any) error {
	_, err := json.Marshal(params)
	return err
}

func (discardPeers) Call(context.Context, string, string, any, any) error { return nil }

// benchMembership returns a Membership that knows n-1 other members, and one of
// these.
func benchMembership(b *testing.B, n int) (*Membership, *member) {
	b.Helper()
	net := newNetwork(n, 1)
	now := time.Now()
	m, err := New(Config{
		Host: net.hosts[0].host, Incarnation: uuid.Must(uuid.NewV7()).String(), Peers: discardPeers{}, HostList: net,
		Journal: func() tamarackknot.JournalStatus {
			return tamarackknot.JournalStatus{Ready: true, LogContact: time.Now()}
		},
	})
	require.NoError(b, err)
	var last *member
	for _, h := range net.hosts[1:] {
		u := update{Host: h.host.Name, Incarnation: uuid.Must(uuid.NewV7()), Beat: 1, Details: detailsOf(h.host)}
		m.merge(&u, now, now, true)
		last = m.members[h.host.Name]
		last.remainingSends = 0
	}
	return m, last
}

func benchSizes(b *testing.B, bench func(b *testing.B, n int)) {
	b.Helper()
	for _, n := range []int{9, 100, 770} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { bench(b, n) })
	}
}

func BenchmarkPlanner(b *testing.B) {
	benchSizes(b, func(b *testing.B, n int) {
		b.Helper()
		m, _ := benchMembership(b, n)
		for b.Loop() {
			clear(m.planners)
			m.Planner("deployment")
		}
	})
}

func BenchmarkAddresses(b *testing.B) {
	benchSizes(b, func(b *testing.B, n int) {
		b.Helper()
		m, _ := benchMembership(b, n)
		m.tick()
		for b.Loop() {
			m.Addresses("domain-1", "caller")
		}
	})
}

func BenchmarkGate(b *testing.B) {
	m, _ := benchMembership(b, 9)
	m.tick()
	for b.Loop() {
		m.Gate()
	}
}

// BenchmarkHandleGossip handles a message of a random peer with 6 updates, the
// usual number.
func BenchmarkHandleGossip(b *testing.B) {
	benchSizes(b, func(b *testing.B, n int) {
		b.Helper()
		m, from := benchMembership(b, n)
		params := make([]json.RawMessage, 4096)
		for i := range params {
			msg := &message{Updates: []update{from.update(time.Now(), false)}}
			for _, mb := range m.byName[1:6] {
				msg.Updates = append(msg.Updates, mb.update(time.Now(), false))
			}
			for j := range msg.Updates {
				msg.Updates[j].Beat += uint64(i)
			}
			p, err := pack(msg)
			require.NoError(b, err)
			params[i], err = json.Marshal(p)
			require.NoError(b, err)
		}
		i := 0
		for b.Loop() {
			_, _ = m.handleGossip(context.Background(), from.host.Name, params[i%len(params)])
			i++
		}
	})
}

// BenchmarkRound runs one gossip round, which a host does each second.
func BenchmarkRound(b *testing.B) {
	benchSizes(b, func(b *testing.B, n int) {
		b.Helper()
		m, _ := benchMembership(b, n)
		for b.Loop() {
			b.StopTimer()
			now := time.Now()
			for _, mb := range m.byName {
				mb.watchedSince, mb.latestStart, mb.fault = now, now, faultNone
			}
			b.StartTimer()
			m.tick()
		}
	})
}

// BenchmarkState measures the memory per member.
func BenchmarkState(b *testing.B) {
	const n = 4000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		m, _ := benchMembership(b, n)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/member")
		runtime.KeepAlive(m)
	}
}
