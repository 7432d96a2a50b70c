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

// Peers is an in-memory message bus between hosts. The handler runs in the
// goroutine of the sender, so messages of one goroutine arrive in order. Each
// direction between two hosts can be cut, and hosts can be killed.
type Peers struct {
	cfg PeersConfig

	mu       sync.Mutex
	hosts    map[string]*PeersHost
	cuts     map[direction]bool
	sent     map[peerMethod]PeerCount
	received map[peerMethod]PeerCount
}

// PeersConfig configures Peers.
type PeersConfig struct {
	Latency  time.Duration // one-way delay of each message
	Overhead int           // bytes counted per message in addition to the parameters
}

// PeerCount counts messages and their bytes, including lost messages but not
// answers.
type PeerCount struct{ Messages, Bytes int }

type peerMethod struct{ host, method string }

// NewPeers returns a message bus without hosts.
func NewPeers(cfg PeersConfig) *Peers {
	return &Peers{
		cfg: cfg, hosts: make(map[string]*PeersHost), cuts: make(map[direction]bool),
		sent: make(map[peerMethod]PeerCount), received: make(map[peerMethod]PeerCount),
	}
}

// Host starts a process without handlers on a host. It replaces an earlier
// process of that host.
func (p *Peers) Host(name string) *PeersHost {
	h := &PeersHost{peers: p, name: name, handlers: make(map[string]tamarackknot.PeerHandler)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[name] = h
	return h
}

// Hosts returns the names of the running hosts in alphabetical order.
func (p *Peers) Hosts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.hosts))
}

// Kill stops the process of a host. Messages to the host fail until Host starts
// another process; messages that the stopped process still sends are delivered.
func (p *Peers) Kill(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, name)
}

// Cut blocks or restores the messages from one host to another. An empty name
// matches any host; such a cut must be restored with the same arguments.
func (p *Peers) Cut(from, to string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts[direction{from, to}] = cut
}

// Isolate blocks or restores all messages from and to a host.
func (p *Peers) Isolate(name string, cut bool) {
	p.Cut(name, "", cut)
	p.Cut("", name, cut)
}

// Sent returns the messages that a host has sent by a method. An empty host or
// method matches all.
func (p *Peers) Sent(host, method string) PeerCount { return p.sum(p.sent, host, method) }

// Received returns the messages that were sent to a host by a method. An empty
// host or method matches all.
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

// handler returns the handler of a message, or nil if the host is unreachable or
// has no such handler.
func (p *Peers) handler(from, to, method string) tamarackknot.PeerHandler {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[to]
	if h == nil || p.cuts[direction{from, to}] || p.cuts[direction{from, ""}] || p.cuts[direction{"", to}] {
		return nil
	}
	return h.handlers[method]
}

// PeersHost is the connection of one process to Peers.
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

// Call implements tamarackknot.Peers. It fails after the latency if the host
// cannot be reached or has no handler. A nil result discards the answer.
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

// Notify implements tamarackknot.Peers. It waits for the handler, returns its
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
