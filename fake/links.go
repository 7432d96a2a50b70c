package fake

import (
	"context"
	"sync"
	"time"

	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// packetBytes is what a transfer puts on a link at a time, so that transfers share links.
	packetBytes = 16 << 10
	// windowPackets is the number of packets of a transfer that are on their way at once.
	windowPackets = 4
)

// Links are the links of hosts, each with a bandwidth in each direction. A host that was
// not added has a link that takes no time.
type Links struct {
	mu    sync.Mutex
	hosts map[string]*hostLink
}

// hostLink is the link of a host with the time until which each direction is busy.
type hostLink struct {
	bytesPerSecond   int
	upBusy, downBusy time.Time
	sent, received   int
}

// NewLinks returns Links without hosts.
func NewLinks() *Links { return &Links{hosts: make(map[string]*hostLink)} }

// Add sets the bandwidth of a host's link.
func (l *Links) Add(host string, bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[host] = &hostLink{bytesPerSecond: bytesPerSecond}
}

// Transfer waits until bytes have passed the links of both hosts. It reports whether ctx
// did not end before; the rest is then not sent. Nil Links take no time.
func (l *Links) Transfer(ctx context.Context, from, to string, bytes int) bool {
	if l == nil {
		return true
	}
	var arrivals []time.Time
	for ; bytes > 0; bytes -= packetBytes {
		if n := len(arrivals); n >= windowPackets && !wait.For(ctx, time.Until(arrivals[n-windowPackets])) {
			return false
		}
		arrivals = append(arrivals, l.reserve(from, to, min(bytes, packetBytes)))
	}
	return len(arrivals) == 0 || wait.For(ctx, time.Until(arrivals[len(arrivals)-1]))
}

// reserve puts a packet on the links of both hosts and returns when it has arrived.
func (l *Links) reserve(from, to string, bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now()
	if h := l.hosts[from]; h != nil {
		at = h.occupy(&h.upBusy, at, bytes)
		h.sent += bytes
	}
	if h := l.hosts[to]; h != nil {
		at = h.occupy(&h.downBusy, at, bytes)
		h.received += bytes
	}
	return at
}

// occupy keeps one direction busy for bytes that reach it at a time, and returns when they
// have passed.
func (h *hostLink) occupy(busy *time.Time, at time.Time, bytes int) time.Time {
	if busy.After(at) {
		at = *busy
	}
	*busy = at.Add(time.Duration(float64(bytes) / float64(h.bytesPerSecond) * float64(time.Second)))
	return *busy
}

// Bytes returns what a host has sent and received.
func (l *Links) Bytes(host string) (sent, received int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[host]
	if h == nil {
		return 0, 0
	}
	return h.sent, h.received
}
