package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/endpoint"
	"tamarackknot.example/tamarackknot/internal/journaltest"
	"tamarackknot.example/tamarackknot/routing"
)

// pipeNetwork is a network of net.Pipe connections, which respect the fake clock
// of synctest.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

type pipeListener struct {
	address string
	net     *pipeNetwork
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (p *pipeNetwork) listen(address string) *pipeListener {
	l := &pipeListener{address: address, net: p, conns: make(chan net.Conn), done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[address] = l
	return l
}

func (p *pipeNetwork) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[address]
	p.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// reporter answers polls with the number of running requests. running maps the
// address of an endpoint to an *atomic.Int64; without an entry the number is 0.
type reporter struct{ running *sync.Map }

func (reporter) Order(context.Context, string, tamarackknot.Order) tamarackknot.OrderResult {
	return tamarackknot.OrderResult{Outcome: tamarackknot.OrderRefused}
}

func (p reporter) Report(_ context.Context, address string) (tamarackknot.Report, error) {
	r := tamarackknot.Report{Time: time.Now()}
	if n, ok := p.running.Load(address); ok {
		r.Running = int(n.(*atomic.Int64).Load())
	}
	return r, nil
}

// members is a fixed list of entry hosts.
type members struct {
	self int
	list []tamarackknot.Member
}

func (m *members) Self() tamarackknot.Member   { return m.list[m.self] }
func (m *members) List() []tamarackknot.Member { return m.list }
func (m *members) Planner(string) string       { return m.list[0].Host.Name }

func (m *members) Ended(tamarackknot.Process) (since time.Time, ended bool) {
	return time.Time{}, false
}
func (m *members) Broadcast(tamarackknot.EndpointSign) {}

func (m *members) Addresses(string, string) []Address {
	var list []Address
	for _, e := range m.list {
		list = append(list, Address{
			Address: e.Host.Address, FailureDomain: e.Host.FailureDomain, KeepUntil: time.Now().Add(10 * time.Second),
		})
	}
	return list
}

// harness is a set of entry hosts with a shared journal store and a network.
type harness struct {
	t         *testing.T
	net       *pipeNetwork
	store     *journaltest.Store
	placement *journaltest.Placement
	running   sync.Map // see reporter
	hosts     []*entryHost
	client    *http.Client
	stops     []func()
}

type entryHost struct {
	address string
	journal *journaltest.Journal
	table   *endpoint.Table
	router  *routing.Router
	server  *Server
	state   GateState
}

func (h *entryHost) Gate() GateState { return h.state }

// newHarness starts n entry hosts. It must be called in a synctest bubble, and
// stop must be called before the end of the bubble.
func newHarness(t *testing.T, n int, logs io.Writer) *harness {
	t.Helper()
	h := &harness{
		t: t, net: &pipeNetwork{listeners: map[string]*pipeListener{}}, store: journaltest.NewStore(),
		placement: &journaltest.Placement{},
	}
	var list []tamarackknot.Member
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		list = append(list, tamarackknot.Member{
			Host:        tamarackknot.Host{Name: name, Address: name + ":80", FailureDomain: "fd-1"},
			Incarnation: "1", Status: tamarackknot.MemberAlive,
		})
	}
	logger := log.NewWithOptions(logs, log.Options{Formatter: log.LogfmtFormatter})
	for i := range n {
		h.addHost(&members{self: i, list: list}, logger)
	}
	transport := &http.Transport{DialContext: h.net.DialContext, DisableKeepAlives: true, DisableCompression: true}
	h.client = &http.Client{Transport: transport}
	return h
}

func (h *harness) addHost(m *members, logger *log.Logger) {
	self := m.Self()
	host := &entryHost{address: self.Host.Address, state: GateReady}
	host.journal = &journaltest.Journal{
		Store: h.store, Process: tamarackknot.Process{Host: self.Host.Name, Incarnation: self.Incarnation},
	}
	host.table = endpoint.New(endpoint.Config{Journal: host.journal, Engine: reporter{&h.running}, Logger: logger})
	host.router = routing.New(routing.Config{
		Journal: host.journal, Table: host.table, Placement: h.placement, FailureDomain: "fd-1", Logger: logger,
	})
	host.server = New(Config{
		Journal: host.journal, Members: m, Router: host.router, Table: host.table, Addresses: m, Gate: host, Logger: logger,
		DialContext: h.net.DialContext, MaxBody: 1 << 20, MaxBuffered: 64 << 10, MaxReplay: 16 << 10,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { host.table.Run(ctx) })
	wg.Go(func() { host.router.Run(ctx) })
	stopServer := h.serve(host.address, host.server)
	h.hosts = append(h.hosts, host)
	h.stops = append(h.stops, func() {
		cancel()
		wg.Wait()
		stopServer()
		require.NoError(h.t, host.server.Close(context.Background()))
		host.server.unpooled.CloseIdleConnections()
	})
}

// serve starts an HTTP server on the network and returns a function that closes
// it together with its connections.
func (h *harness) serve(address string, handler http.Handler) (stop func()) {
	l := h.net.listen(address)
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: nil}
	var wg sync.WaitGroup
	wg.Go(func() { _ = srv.Serve(l) })
	return func() {
		_ = srv.Close()
		wg.Wait()
	}
}

func (h *harness) stop() {
	h.client.CloseIdleConnections()
	for _, stop := range h.stops {
		stop()
	}
	// net/http's server delays closing a connection by half a second.
	time.Sleep(time.Second)
}

// addEndpoint configures and starts an endpoint of a plain service, or a model
// engine if service is empty. kill stops the endpoint.
func (h *harness) addEndpoint(name, service string, slots int, handler http.Handler) (kill func()) {
	h.store.Apply(&tamarackknot.Resource{
		Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: name},
		Endpoint: &tamarackknot.EndpointSpec{Address: name + ":80", Slots: slots, Service: service, FailureDomain: "fd-1"},
	})
	kill = sync.OnceFunc(h.serve(name+":80", handler))
	h.stops = append([]func(){kill}, h.stops...)
	return kill
}

func (h *harness) addModel(name string) {
	h.store.Apply(&tamarackknot.Resource{
		Kind: tamarackknot.KindModel, Metadata: tamarackknot.Metadata{Name: name},
		Model: &tamarackknot.ModelSpec{Deployment: "d", Version: "1", MaxReplicas: 2},
	})
}

func (h *harness) addService(name string, repeatable ...string) {
	h.store.Apply(&tamarackknot.Resource{
		Kind: tamarackknot.KindService, Metadata: tamarackknot.Metadata{Name: name},
		Service: &tamarackknot.ServiceSpec{Deployment: "d", Prefix: name, RepeatableMethods: repeatable},
	})
}

// waitForHosts waits until the entry hosts have read all changes in the store.
func (h *harness) waitForHosts() {
	time.Sleep(50 * time.Millisecond)
	synctest.Wait()
}

// response is the response that a caller receives.
type response struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error // while reading the body
}

func (h *harness) do(host int, method, path, body string, header ...string) response {
	return h.doContext(context.Background(), host, method, path, body, header...)
}

func (h *harness) doContext(ctx context.Context, host int, method, path, body string, header ...string) response {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.hosts[host].address+path, stringsReader(body))
	require.NoError(h.t, err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(data), err: err}
}

// discard is used instead of io.Discard, for which the log library skips
// formatting.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// inBubble runs fn in a synctest bubble with a harness of n entry hosts.
func inBubble(t *testing.T, n int, fn func(*harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, n, discard{})
		defer h.stop()
		fn(h)
	})
}
