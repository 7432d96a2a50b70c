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

// pipes is a network of net.Pipe connections, which work on the fake clock.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

type pipeListener struct {
	address string
	net     *pipes
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (p *pipes) listen(address string) *pipeListener {
	l := &pipeListener{address: address, net: p, conns: make(chan net.Conn), done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[address] = l
	return l
}

func (p *pipes) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[address]
	p.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	here, there := net.Pipe()
	select {
	case l.conns <- there:
		return here, nil
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

// reporter answers polls with the number of running requests, which is an
// *atomic.Int64 by the endpoint's address, 0 if there is none.
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

// bed is a set of entry hosts that share a journal store, and their network.
type bed struct {
	t         *testing.T
	net       *pipes
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

// newBed starts n entry hosts. It must be called in a synctest bubble, and
// stop before the end of it.
func newBed(t *testing.T, n int, logs io.Writer) *bed {
	t.Helper()
	b := &bed{
		t: t, net: &pipes{listeners: map[string]*pipeListener{}}, store: journaltest.NewStore(),
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
		b.addHost(&members{self: i, list: list}, logger)
	}
	transport := &http.Transport{DialContext: b.net.DialContext, DisableKeepAlives: true, DisableCompression: true}
	b.client = &http.Client{Transport: transport}
	return b
}

func (b *bed) addHost(m *members, logger *log.Logger) {
	self := m.Self()
	h := &entryHost{address: self.Host.Address, state: GateReady}
	h.journal = &journaltest.Journal{
		Store: b.store, Process: tamarackknot.Process{Host: self.Host.Name, Incarnation: self.Incarnation},
	}
	h.table = endpoint.New(endpoint.Config{Journal: h.journal, Engine: reporter{&b.running}, Logger: logger})
	h.router = routing.New(routing.Config{
		Journal: h.journal, Table: h.table, Placement: b.placement, FailureDomain: "fd-1", Logger: logger,
	})
	h.server = New(Config{
		Journal: h.journal, Members: m, Router: h.router, Table: h.table, Addresses: m, Gate: h, Logger: logger,
		DialContext: b.net.DialContext, MaxBody: 1 << 20, MaxBuffered: 64 << 10, MaxKept: 16 << 10,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { h.table.Run(ctx) })
	wg.Go(func() { h.router.Run(ctx) })
	stopServer := b.serve(h.address, h.server)
	b.hosts = append(b.hosts, h)
	b.stops = append(b.stops, func() {
		cancel()
		wg.Wait()
		stopServer()
		require.NoError(b.t, h.server.Close(context.Background()))
		h.server.fresh.CloseIdleConnections()
	})
}

// serve starts an HTTP server on the network and returns a function that
// kills it.
func (b *bed) serve(address string, h http.Handler) (stop func()) {
	l := b.net.listen(address)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ErrorLog: nil}
	var wg sync.WaitGroup
	wg.Go(func() { _ = srv.Serve(l) })
	return func() {
		_ = srv.Close()
		wg.Wait()
	}
}

func (b *bed) stop() {
	b.client.CloseIdleConnections()
	for _, stop := range b.stops {
		stop()
	}
	// net/http's server lingers for half a second on a connection that it ends.
	time.Sleep(time.Second)
}

// addEndpoint configures and starts an endpoint of a plain service, or of a
// model engine if service is empty.
func (b *bed) addEndpoint(name, service string, slots int, h http.Handler) (kill func()) {
	b.store.Apply(&tamarackknot.Resource{
		Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: name},
		Endpoint: &tamarackknot.EndpointSpec{Address: name + ":80", Slots: slots, Service: service, FailureDomain: "fd-1"},
	})
	kill = sync.OnceFunc(b.serve(name+":80", h))
	b.stops = append([]func(){kill}, b.stops...)
	return kill
}

func (b *bed) addModel(name string) {
	b.store.Apply(&tamarackknot.Resource{
		Kind: tamarackknot.KindModel, Metadata: tamarackknot.Metadata{Name: name},
		Model: &tamarackknot.ModelSpec{Deployment: "d", Version: "1", MaxReplicas: 2},
	})
}

func (b *bed) addService(name string, repeatable ...string) {
	b.store.Apply(&tamarackknot.Resource{
		Kind: tamarackknot.KindService, Metadata: tamarackknot.Metadata{Name: name},
		Service: &tamarackknot.ServiceSpec{Deployment: "d", Prefix: name, RepeatableMethods: repeatable},
	})
}

// settle waits until the hosts have read all changes of the store.
func (b *bed) settle() {
	time.Sleep(50 * time.Millisecond)
	synctest.Wait()
}

// answer is a response with its body.
type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error // while reading the body
}

func (b *bed) do(host int, method, path, body string, header ...string) answer {
	return b.doContext(context.Background(), host, method, path, body, header...)
}

func (b *bed) doContext(ctx context.Context, host int, method, path, body string, header ...string) answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.hosts[host].address+path, stringsReader(body))
	require.NoError(b.t, err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(data), err: err}
}

// discard is not io.Discard, for which the log library does nothing.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// inBubble runs a test in a synctest bubble with a bed of n entry hosts.
func inBubble(t *testing.T, n int, fn func(*bed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, n, discard{})
		defer b.stop()
		fn(b)
	})
}
