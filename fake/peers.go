package fake

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

// Peers carries messages between hosts in memory. The goroutine of the sender
// delivers a message, so that the messages that it sends to a host arrive in
// order. Directions between hosts can be cut, and hosts can be killed.
type Peers struct {
	cfg PeersConfig

	mu       sync.Mutex
	hosts    map[string]*PeersHost
	cuts     map[direction]bool
	sent     map[peerMethod]PeerCount
	received map[peerMethod]PeerCount
}

// PeersConfig has the settings of Peers.
type PeersConfig struct {
	Latency  time.Duration // before each message arrives
	Overhead int           // bytes that are counted on top of the parameters
}

// PeerCount counts messages without their answers, including lost ones.
type PeerCount struct{ Messages, Bytes int }

type peerMethod struct{ host, method string }

// NewPeers returns Peers without hosts.
func NewPeers(cfg PeersConfig) *Peers {
	return &Peers{
		cfg: cfg, hosts: make(map[string]*PeersHost), cuts: make(map[direction]bool),
		sent: make(map[peerMethod]PeerCount), received: make(map[peerMethod]PeerCount),
	}
}

// Host starts a process on a host, without handlers. It takes the place of an
// earlier process of that host.
func (p *Peers) Host(name string) *PeersHost {
	h := &PeersHost{peers: p, name: name, handlers: make(map[string]tamarackknot.PeerHandler)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[name] = h
	return h
}

// Hosts returns the names of the hosts that run, in order.
func (p *Peers) Hosts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.hosts))
}

// Kill ends the process of a host. Nothing reaches the host until Host starts
// another; what the ended process still sends arrives.
func (p *Peers) Kill(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, name)
}

// Cut stops or restores what one host sends to another. An empty name stands
// for any host; such a cut is ended by the same names.
func (p *Peers) Cut(from, to string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts[direction{from, to}] = cut
}

// Isolate stops or restores all that a host sends and receives.
func (p *Peers) Isolate(name string, cut bool) {
	p.Cut(name, "", cut)
	p.Cut("", name, cut)
}

// Sent returns what a host has sent by a method. An empty host or method
// stands for all.
func (p *Peers) Sent(host, method string) PeerCount { return p.sum(p.sent, host, method) }

// Received returns what was sent to a host by a method. An empty host or
// method stands for all.
func (p *Peers) Received(host, method string) PeerCount { return p.sum(p.received, host, method) }

// ResetCounts sets all counters to zero.
func (p *Peers) ResetCounts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.sent)
	clear(p.received)
}

func (p *Peers) sum(counts map[peerMethod]PeerCount, host, method string) PeerCount {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum PeerCount
	for key, c := range counts {
		if (host == "" || host == key.host) && (method == "" || method == key.method) {
			sum.Messages += c.Messages
			sum.Bytes += c.Bytes
		}
	}
	return sum
}

func (p *Peers) count(from, to, method string, size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add := func(counts map[peerMethod]PeerCount, host string) {
		c := counts[peerMethod{host, method}]
		counts[peerMethod{host, method}] = PeerCount{c.Messages + 1, c.Bytes + size}
	}
	add(p.sent, from)
	add(p.received, to)
}

// handler returns the handler that a message reaches, or nil if it is lost.
func (p *Peers) handler(from, to, method string) tamarackknot.PeerHandler {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[to]
	if h == nil || p.cuts[direction{from, to}] || p.cuts[direction{from, ""}] || p.cuts[direction{"", to}] {
		return nil
	}
	return h.handlers[method]
}

// PeersHost is Peers as one process sees it.
type PeersHost struct {
	peers    *Peers
	name     string
	handlers map[string]tamarackknot.PeerHandler
}

var _ tamarackknot.Peers = (*PeersHost)(nil)

// Handle implements tamarackknot.Peers.
func (h *PeersHost) Handle(method string, handler tamarackknot.PeerHandler) {
	h.peers.mu.Lock()
	defer h.peers.mu.Unlock()
	h.handlers[method] = handler
}

// Call implements tamarackknot.Peers. It fails at once if the host cannot be
// reached or has no handler. A nil result discards the answer.
func (h *PeersHost) Call(ctx context.Context, host, method string, params, result any) error {
	answer, err := h.deliver(ctx, host, method, params)
	if err != nil || result == nil {
		return err
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// Notify implements tamarackknot.Peers. It returns after the handler, with its
// error, and fails in the same cases as Call.
func (h *PeersHost) Notify(ctx context.Context, host, method string, params any) error {
	_, err := h.deliver(ctx, host, method, params)
	return err
}

func (h *PeersHost) deliver(ctx context.Context, host, method string, params any) (any, error) {
	data, err := json.Marshal(params)
	if err != nil {
		return nil, err
	}
	h.peers.count(h.name, host, method, len(data)+h.peers.cfg.Overhead)
	time.Sleep(h.peers.cfg.Latency)
	handler := h.peers.handler(h.name, host, method)
	if handler == nil {
		return nil, errors.Newf("host %q cannot be reached", host)
	}
	return handler(ctx, h.name, data)
}
