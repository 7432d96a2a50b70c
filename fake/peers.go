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
// direction between two hosts can be cut, and hosts can be killed. Over Links, notifications
// are queued as those of package peer, and the answer to a call whose caller has given up
// still takes its way.
type Peers struct {
	cfg PeersConfig

	mu       sync.Mutex
	hosts    map[string]*PeersHost
	cuts     map[direction]bool
	sent     map[peerMethod]PeerCount
	received map[peerMethod]PeerCount
	between  map[peerExchange]PeerCount
	queues   map[direction]*notifyQueue
	onWay    sync.WaitGroup // messages over Links
}

// notifyQueue is the queue of notifications from one host to another.
type notifyQueue struct {
	length int
	last   chan struct{} // closed when the last one was delivered
}

// maxNotifyQueue is the number of notifications that wait for one host.
const maxNotifyQueue = 64

// PeersConfig configures Peers.
type PeersConfig struct {
	Latency  time.Duration // one-way delay of each message
	Overhead int           // bytes counted per message in addition to the parameters
	Links    *Links        // nil if messages take no time but the latency
}

// PeerCount counts messages and their bytes, including lost messages but not
// answers.
type PeerCount struct{ Messages, Bytes int }

type peerMethod struct{ host, method string }

type peerExchange struct{ from, to, method string }

// NewPeers returns a message bus without hosts.
func NewPeers(cfg PeersConfig) *Peers {
	return &Peers{
		cfg: cfg, hosts: make(map[string]*PeersHost), cuts: make(map[direction]bool),
		sent: make(map[peerMethod]PeerCount), received: make(map[peerMethod]PeerCount), between: make(map[peerExchange]PeerCount),
		queues: make(map[direction]*notifyQueue),
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

// Wait waits until the messages that are on their way have arrived. No more may be sent.
func (p *Peers) Wait() { p.onWay.Wait() }

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

// Between returns the messages between the pairs of hosts that match, by method.
func (p *Peers) Between(match func(from, to string) bool) map[string]PeerCount {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]PeerCount)
	for key, c := range p.between {
		if match(key.from, key.to) {
			sum := out[key.method]
			out[key.method] = PeerCount{sum.Messages + c.Messages, sum.Bytes + c.Bytes}
		}
	}
	return out
}

// ResetCounts sets all counters to zero.
func (p *Peers) ResetCounts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.sent)
	clear(p.received)
	clear(p.between)
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
	c := p.between[peerExchange{from, to, method}]
	p.between[peerExchange{from, to, method}] = PeerCount{c.Messages + 1, c.Bytes + size}
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
	request, err := json.Marshal(params)
	if err != nil {
		return err
	}
	if h.peers.cfg.Links == nil {
		data, err := h.exchange(ctx, host, method, request)
		if err != nil || result == nil {
			return err
		}
		return json.Unmarshal(data, result)
	}
	done := make(chan error, 1)
	var data []byte
	h.peers.onWay.Go(func() {
		var err error
		data, err = h.exchange(context.WithoutCancel(ctx), host, method, request)
		done <- err
	})
	select {
	case err := <-done:
		if err != nil || result == nil {
			return err
		}
		return json.Unmarshal(data, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// exchange delivers a message and returns the encoded answer.
func (h *PeersHost) exchange(ctx context.Context, host, method string, request []byte) ([]byte, error) {
	answer, err := h.deliver(ctx, host, method, request)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return nil, err
	}
	h.peers.cfg.Links.Transfer(ctx, host, h.name, len(data)+h.peers.cfg.Overhead)
	return data, nil
}

// Notify implements tamarackknot.Peers. Without Links it waits for the handler, returns
// its error, and fails in the same cases as Call.
func (h *PeersHost) Notify(ctx context.Context, host, method string, params any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	if h.peers.cfg.Links == nil {
		_, err = h.deliver(ctx, host, method, data)
		return err
	}
	return h.enqueue(ctx, host, method, data)
}

// enqueue delivers a notification after those before it, unless its deadline passes first.
func (h *PeersHost) enqueue(ctx context.Context, host, method string, data []byte) error {
	p, d := h.peers, direction{h.name, host}
	p.mu.Lock()
	q := p.queues[d]
	if q == nil {
		q = &notifyQueue{last: make(chan struct{})}
		close(q.last)
		p.queues[d] = q
	}
	if q.length >= maxNotifyQueue {
		p.mu.Unlock()
		return errors.Newf("queue to host %q is full", host)
	}
	q.length++
	before, done := q.last, make(chan struct{})
	q.last = done
	p.mu.Unlock()
	deadline, limited := ctx.Deadline()
	p.onWay.Go(func() {
		<-before
		if !limited || time.Now().Before(deadline) {
			_, _ = h.deliver(context.WithoutCancel(ctx), host, method, data) // nobody waits for the outcome
		}
		p.mu.Lock()
		q.length--
		p.mu.Unlock()
		close(done)
	})
	return nil
}

func (h *PeersHost) deliver(ctx context.Context, host, method string, data []byte) (any, error) {
	h.peers.count(h.name, host, method, len(data)+h.peers.cfg.Overhead)
	h.peers.cfg.Links.Transfer(ctx, h.name, host, len(data)+h.peers.cfg.Overhead)
	time.Sleep(h.peers.cfg.Latency)
	handler := h.peers.handler(h.name, host, method)
	if handler == nil {
		return nil, errors.Newf("host %q cannot be reached", host)
	}
	return handler(ctx, h.name, data)
}
