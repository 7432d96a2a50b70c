package hosted

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/discovery"
	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/ingress"
	"tamarackknot.example/tamarackknot/locality"
)

// hostDomainsInterval is the age from which on the failure domains of the hosts are collected
// again: hosts are replaced at any time, and messages are sent many times a second.
const hostDomainsInterval = 2 * time.Second

// domainPolicy prices the traffic between failure domains; nil if it has no price.
func (c *components) domainPolicy() *dispatch.DomainPolicy {
	if c.cfg.domainPrice <= 0 {
		return nil
	}
	return &dispatch.DomainPolicy{Price: c.cfg.domainPrice, Counters: locality.NewCounters(c.cfg.metrics)}
}

// domainTraffic counts the bytes between this host and other failure domains, those of
// messages between hosts where they are sent.
type domainTraffic struct {
	domain string // of this host
	hosts  func() []tamarackknot.HostEntry
	// requests and answers are those of endpoints, and of requests that another host sends
	// on; orders are those to engines with the reports of these; fleet, configuration and
	// other are messages between hosts.
	requests, answers, orders, fleet, configuration, other metrics.Counter

	mu sync.RWMutex
	// endpoints and hostDomains are the failure domains by address; hosts also have an entry
	// by name.
	endpoints   map[string]string
	hostDomains map[string]string
	collectedAt time.Time
}

func newDomainTraffic(domain string, hosts func() []tamarackknot.HostEntry, r metrics.Registry) *domainTraffic {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(reason string) metrics.Counter { return metrics.GetOrRegisterCounter("domains.bytes."+reason, r) }
	return &domainTraffic{
		domain: domain, hosts: hosts, requests: counter("requests"), answers: counter("answers"), orders: counter("orders"),
		fleet: counter("fleet"), configuration: counter("configuration"), other: counter("other"),
	}
}

// setEndpoints replaces the endpoints.
func (t *domainTraffic) setEndpoints(snap *discovery.Snapshot) {
	domains := make(map[string]string, len(snap.Endpoints))
	for _, e := range snap.Endpoints {
		domains[e.Address] = e.FailureDomain
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpoints = domains
}

// elsewhere reports whether an endpoint with an address, or a host with a name or an address
// for callers, is in another failure domain. What is not known counts as in this one.
func (t *domainTraffic) elsewhere(key string) bool {
	t.mu.RLock()
	domain, known := t.endpoints[key]
	fresh := time.Since(t.collectedAt) < hostDomainsInterval
	t.mu.RUnlock()
	if !known {
		if !fresh {
			t.collectHosts()
		}
		t.mu.RLock()
		domain, known = t.hostDomains[key]
		t.mu.RUnlock()
	}
	return known && domain != t.domain
}

// collectHosts collects the failure domains of the hosts.
func (t *domainTraffic) collectHosts() {
	domains := make(map[string]string)
	for _, h := range t.hosts() {
		domains[h.Name], domains[h.Address] = h.FailureDomain, h.FailureDomain
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hostDomains, t.collectedAt = domains, time.Now()
}

// countMessage counts a message that was sent to another host.
func (t *domainTraffic) countMessage(host, method string, bytes int) {
	if !t.elsewhere(host) {
		return
	}
	switch {
	case strings.HasPrefix(method, "board."):
		t.fleet.Inc(int64(bytes))
	case strings.HasPrefix(method, "relay."):
		t.configuration.Inc(int64(bytes))
	default:
		t.other.Inc(int64(bytes))
	}
}

// countRequests returns a dial function whose connections to other failure domains count
// their bytes as those of requests and answers.
func (t *domainTraffic) countRequests(dial ingress.DialFunc) ingress.DialFunc {
	return t.count(dial, t.requests, t.answers)
}

// countOrders is countRequests for orders to engines and their reports.
func (t *domainTraffic) countOrders(dial ingress.DialFunc) ingress.DialFunc {
	return t.count(dial, t.orders, t.orders)
}

func (t *domainTraffic) count(dial ingress.DialFunc, written, read metrics.Counter) ingress.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil || !t.elsewhere(address) {
			return conn, err
		}
		return &countedConn{Conn: conn, written: written, read: read}, nil
	}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	written, read metrics.Counter
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Inc(int64(n))
	return n, err //nolint:wrapcheck // of the connection
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.read.Inc(int64(n))
	return n, err //nolint:wrapcheck // of the connection
}
