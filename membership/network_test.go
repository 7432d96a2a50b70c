package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/rapidtest"
)

// envelopeBytes is the size of the JSON-RPC envelope of a notification with its
// frame.
const envelopeBytes = 52

func TestMain(m *testing.M) { rapidtest.Main(m, 200) }

// network is an in-memory network of entry hosts and their host list.
type network struct {
	mu     sync.Mutex
	random *rand.Rand
	hosts  []*testHost
	byName map[string]*testHost
	cut    map[[2]string]bool // from, to
	// latency is the maximum one-way delay of a message.
	latency time.Duration
	domains int

	listDown bool
	// listLag is the delay of the host list, listHistory its past states.
	listLag     time.Duration
	listHistory []listState
}

type listState struct {
	at    time.Time
	hosts []tamarackknot.Host
}

// testHost is a host with its current process.
type testHost struct {
	net   *network
	index int
	host  tamarackknot.Host

	*Membership
	incarnation   string
	running       bool
	paused        chan struct{} // not nil while paused
	handlers      map[string]tamarackknot.PeerHandler
	leaveReturned bool
	idle          bool
	endLeave      context.CancelFunc

	journal             tamarackknot.JournalStatus
	logDown             bool
	signs               []tamarackknot.EndpointSign
	messages, bytesSent int
	bytesReceived       int
}

func newNetwork(n int, seed uint64) *network {
	net := &network{
		random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*testHost{}, cut: map[[2]string]bool{},
		latency: 20 * time.Millisecond, domains: 3,
	}
	for i := range n {
		h := &testHost{net: net, index: i, host: tamarackknot.Host{
			Name: fmt.Sprintf("entry-%03d", i), Role: tamarackknot.RoleEntry,
			Address:     fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:8090", i/250, i%250), FailureDomain: fmt.Sprintf("domain-%d", i%net.domains),
		}}
		net.hosts = append(net.hosts, h)
		net.byName[h.host.Name] = h
	}
	return net
}

// start runs a new process on the host.
func (h *testHost) start() {
	h.net.mu.Lock()
	h.incarnation = uuid.Must(uuid.NewV7()).String()
	h.handlers = map[string]tamarackknot.PeerHandler{}
	h.running, h.leaveReturned, h.idle, h.paused = true, false, false, nil
	inc := h.incarnation
	h.journal = tamarackknot.JournalStatus{Ready: true, Applied: 100, ConfigOffset: 90}
	h.net.mu.Unlock()
	m, err := New(Config{
		Host: h.host, Incarnation: inc, Peers: &testPeers{h: h, incarnation: inc}, HostList: h.net,
		Journal: h.status,
		OnSign: func(s tamarackknot.EndpointSign) {
			h.net.mu.Lock()
			defer h.net.mu.Unlock()
			h.signs = append(h.signs, s)
		},
		Random: rand.New(rand.NewPCG(uint64(h.index), h.net.random.Uint64())),
	})
	if err != nil {
		panic(err)
	}
	h.Membership = m
	h.net.listChanged()
	m.Start()
}

func (h *testHost) status() tamarackknot.JournalStatus {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if !h.logDown {
		h.journal.LogContact = time.Now()
	}
	return h.journal
}

func (h *testHost) process() tamarackknot.Process {
	return tamarackknot.Process{Host: h.host.Name, Incarnation: h.incarnation}
}

func (h *testHost) kill() {
	h.net.mu.Lock()
	h.running = false
	if h.endLeave != nil {
		h.endLeave()
	}
	if h.paused != nil {
		close(h.paused)
		h.paused = nil
	}
	h.net.mu.Unlock()
	h.Close()
	h.net.listChanged()
}

func (h *testHost) pause() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.running && h.paused == nil {
		h.paused = make(chan struct{})
	}
}

func (h *testHost) resume() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.paused != nil {
		close(h.paused)
		h.paused = nil
	}
}

// listChanged adds the running hosts as the newest state of the host list.
func (net *network) listChanged() {
	net.mu.Lock()
	defer net.mu.Unlock()
	var hosts []tamarackknot.Host
	for _, h := range net.hosts {
		if h.running {
			hosts = append(hosts, h.host)
		}
	}
	net.listHistory = append(net.listHistory, listState{time.Now(), hosts})
}

// Hosts implements tamarackknot.HostList.
func (net *network) Hosts(context.Context) ([]tamarackknot.Host, error) {
	net.mu.Lock()
	defer net.mu.Unlock()
	if net.listDown {
		return nil, errors.New("host list is down")
	}
	for i := len(net.listHistory) - 1; i >= 0; i-- {
		if s := net.listHistory[i]; i == 0 || time.Since(s.at) >= net.listLag {
			return s.hosts, nil
		}
	}
	return nil, errors.New("host list is empty")
}

func (net *network) stop() {
	for _, h := range net.hosts {
		if h.running {
			h.kill()
		}
	}
}

// testPeers sends the messages of one process.
type testPeers struct {
	h           *testHost
	incarnation string
}

func (p *testPeers) Handle(method string, handler tamarackknot.PeerHandler) {
	p.h.net.mu.Lock()
	defer p.h.net.mu.Unlock()
	p.h.handlers[method] = handler
}

// transmit counts a message and returns its delay and whether it is delivered.
// It blocks while the sending process is paused.
func (p *testPeers) transmit(from, to string, params any) (json.RawMessage, time.Duration, bool) {
	data, err := json.Marshal(params)
	if err != nil {
		panic(err)
	}
	net := p.h.net
	net.mu.Lock()
	paused := p.h.paused
	net.mu.Unlock()
	if paused != nil {
		<-paused
	}
	net.mu.Lock()
	defer net.mu.Unlock()
	if p.incarnation != p.h.incarnation || !p.h.running {
		return nil, 0, false
	}
	p.h.messages++
	p.h.bytesSent += len(data) + envelopeBytes
	delay := time.Duration(1+net.random.Int64N(int64(net.latency/time.Microsecond))) * time.Microsecond
	return data, delay, !net.cut[[2]string{from, to}]
}

// deliver calls the handler of a host. It waits while the host is paused.
func (net *network) deliver(ctx context.Context, from, to, method string, data json.RawMessage) (any, error) {
	net.mu.Lock()
	h := net.byName[to]
	for h != nil && h.running && h.paused != nil {
		paused := h.paused
		net.mu.Unlock()
		select {
		case <-paused:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		net.mu.Lock()
	}
	if h == nil || !h.running || net.cut[[2]string{from, to}] {
		net.mu.Unlock()
		return nil, errors.New("host is down")
	}
	h.bytesReceived += len(data) + envelopeBytes
	handler := h.handlers[method]
	net.mu.Unlock()
	if handler == nil { // New has not registered it yet
		return nil, errors.New("no handler")
	}
	return handler(ctx, from, data)
}

func (p *testPeers) Notify(ctx context.Context, host, method string, params any) error {
	from := p.h.host.Name
	data, delay, ok := p.transmit(from, host, params)
	if ok {
		ctx = context.WithoutCancel(ctx)
		time.AfterFunc(delay, func() { _, _ = p.h.net.deliver(ctx, from, host, method, data) })
	}
	return nil
}

func (p *testPeers) Call(ctx context.Context, host, method string, params, result any) error {
	from := p.h.host.Name
	data, delay, ok := p.transmit(from, host, params)
	if !ok {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(delay)
	answer, err := p.h.net.deliver(ctx, from, host, method, data)
	if err != nil {
		return err
	}
	p.h.net.mu.Lock()
	lost := p.h.net.cut[[2]string{host, from}]
	p.h.net.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	data, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// statusOf returns the status of another host in the view of this one; empty if
// it is unknown.
func (h *testHost) statusOf(name string) tamarackknot.MemberStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	mb := h.members[name]
	if mb == nil {
		return ""
	}
	if mb == h.self {
		return tamarackknot.MemberAlive
	}
	return mb.status(time.Now())
}

// namesToCallers reports whether the address answers of a host name another
// one.
func (h *testHost) namesToCallers(name string) bool {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	mb := h.members[name]
	return mb != nil && h.eligible(mb, now)
}
