package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"

	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
)

// countingPeers encodes notifications and counts their bytes.
type countingPeers struct{ messages, bytes int }

func (p *countingPeers) Call(context.Context, string, string, any, any) error { return nil }

func (p *countingPeers) Notify(_ context.Context, _, _ string, params any) error {
	data, err := json.Marshal(params)
	p.messages++
	p.bytes += len(data)
	return err
}

func (p *countingPeers) Handle(string, tamarackknot.PeerHandler) {}

// BenchmarkPublish measures one publishing round to all hosts; the load of a
// tenth of the engines changes between two rounds.
func BenchmarkPublish(b *testing.B) {
	for _, size := range []struct{ hosts, engines int }{{9, 18}, {86, 140}, {770, 6900}} {
		b.Run(fmt.Sprintf("%d hosts", size.hosts), func(b *testing.B) {
			peers := &countingPeers{}
			var entries []tamarackknot.HostEntry
			for i := range size.hosts {
				entries = append(entries, tamarackknot.HostEntry{Name: fmt.Sprintf("h%03d", i), Address: "10.0.0.1:8149", PeerAddress: "10.0.0.1:7380"})
			}
			unread := func() tamarackknot.StreamState { return tamarackknot.StreamState{} }
			p := NewPublisher(PublisherConfig{
				Self: tamarackknot.HostEntry{Name: "self"}, Peers: peers, Hosts: func() []tamarackknot.HostEntry { return entries },
				Catalog: unread, Endpoints: unread, OnCatalogVersion: func(int64) {}, LeaseEnd: func() tamarackknot.Position { return tamarackknot.Position{Offset: 7} }, Logger: log.New(io.Discard),
			})
			v := tamarackknot.FleetView{Engines: make(map[string]tamarackknot.EngineView)}
			for i := range size.engines {
				v.Engines[fmt.Sprintf("i-%08d", i)] = tamarackknot.EngineView{Held: []tamarackknot.HeldModel{{Name: "daka510000"}, {Name: "rada7437b5"}, {Name: "ravo486f6a"}}}
			}
			p.Publish(v)
			p.publishRound(context.Background(), 1, true)
			peers.messages, peers.bytes = 0, 0
			round := 0
			for b.Loop() {
				round++
				m := demandMessage{}
				for i := range size.engines / 10 {
					m.Running = append(m.Running, tamarackknot.RunCount{Endpoint: fmt.Sprintf("i-%08d", (i*10+round)%size.engines), Count: 1 + round%7})
				}
				p.applyDemand("h000", m)
				p.publishRound(context.Background(), 1, true)
			}
			b.ReportMetric(float64(peers.bytes)/float64(peers.messages), "B/message")
		})
	}
}
