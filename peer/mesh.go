// Package peer carries messages between entry hosts: JSON-RPC 2.0 over TCP,
// one dialled connection per peer in use.
package peer

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/admission"
)

// Defaults of Config.
const (
	defaultMaxMessageBytes = 4 << 20
	defaultQueueLength     = 64
	defaultDialTimeout     = 2 * time.Second
	defaultWriteTimeout    = 3 * time.Second
	// defaultIdleTimeout closes connections that were opened for gossip with
	// random peers. With 770 hosts, a connection to each would exceed the
	// memory limit.
	defaultIdleTimeout = 15 * time.Second
	// maxBackoff limits how long a restarted peer gets no messages.
	maxBackoff = 2 * time.Second
	// maxInbound limits accepted connections. The target size is 770 hosts,
	// and a restarting peer may briefly have two connections.
	maxInbound = 2048
	// maxConcurrentCalls limits the calls handled concurrently per connection.
	maxConcurrentCalls = 64
	defaultCallTimeout = 30 * time.Second
)

// envelopeBytes is an upper bound of what JSON-RPC adds to the parameters or
// the result in a message.
const envelopeBytes = 1024

const codeWrongHost = -32010

// Config configures a Mesh. Zero durations and sizes take defaults.
type Config struct {
	// Host and Incarnation identify this process.
	Host        string
	Incarnation string
	// Listen opens the listener on the peer address.
	Listen func(ctx context.Context) (net.Listener, error)
	// Dial connects to a peer address (IP:port).
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Resolve returns the peer address of a host name.
	Resolve func(host string) (address string, ok bool)
	// OnConnect is called with the process at the other end of each new
	// connection. It must not block and may be nil.
	OnConnect func(tamarackknot.Process)
	// OnSent is called with the size of each message that was sent to a host, or to one whose
	// request it answers. It must not block and may be nil.
	OnSent func(host, method string, bytes int)

	MaxMessageBytes int
	// QueueLength limits the messages queued for one peer.
	QueueLength  int
	DialTimeout  time.Duration
	WriteTimeout time.Duration
	// IdleTimeout closes a connection that carried no message for that long.
	IdleTimeout time.Duration

	// Group counts the accepted connections and what they hold; nil means that only the fixed
	// limits apply. OnShed is called when one is closed for them; it may be nil.
	Group  *admission.Group
	OnShed func()

	Metrics metrics.Registry
	Logger  *log.Logger
}

var _ tamarackknot.Peers = (*Mesh)(nil)

// Mesh implements tamarackknot.Peers. A message to a slow or hung peer waits
// in that peer's bounded queue or fails; it never delays messages to others.
type Mesh struct {
	cfg      Config
	counters *counters
	listener net.Listener
	ctx      context.Context // cancelled by Close
	cancel   context.CancelFunc
	running  sync.WaitGroup

	handlersMu sync.RWMutex
	handlers   map[string]tamarackknot.PeerHandler

	mu      sync.Mutex
	links   map[string]*link
	inbound int
	closed  bool
}

// New returns a Mesh that can send. It accepts connections after Start.
func New(cfg Config) *Mesh {
	cfg.setDefaults()
	m := &Mesh{
		cfg:      cfg,
		counters: newCounters(cfg.Metrics),
		handlers: make(map[string]tamarackknot.PeerHandler),
		links:    make(map[string]*link),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

func (c *Config) setDefaults() {
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	setDefault(&c.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&c.QueueLength, defaultQueueLength)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Logger == nil {
		c.Logger = log.New(io.Discard)
	}
	if c.OnShed == nil {
		c.OnShed = func() {}
	}
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}

// Start opens the listener and accepts connections until Close.
func (m *Mesh) Start(ctx context.Context) error {
	l, err := m.cfg.Listen(ctx)
	if err != nil {
		return errors.Wrap(err, "listen on the peer address")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		_ = l.Close()
		return ErrClosed
	}
	m.listener = l
	m.running.Add(1)
	go m.acceptLoop()
	return nil
}

// Close closes all connections and waits for the goroutines of the mesh.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.closed = true
	l := m.listener
	m.mu.Unlock()
	m.cancel()
	var err error
	if l != nil {
		err = l.Close()
	}
	m.running.Wait()
	return errors.Wrap(err, "close the peer listener")
}

// Handle registers the handler of a method. Notifications from one peer are
// handled in the order in which they were sent; calls run concurrently.
func (m *Mesh) Handle(method string, h tamarackknot.PeerHandler) {
	m.handlersMu.Lock()
	defer m.handlersMu.Unlock()
	m.handlers[method] = h
}

// Call implements tamarackknot.Peers. An error that is neither from this package
// nor a context error came from the other host's handler.
func (m *Mesh) Call(ctx context.Context, host, method string, params, result any) error {
	msg, err := m.newMessage(ctx, method, params)
	if err != nil {
		return err
	}
	msg.result = make(chan sendResult, 1)
	if err := m.enqueue(host, msg); err != nil {
		return err
	}
	var sent sendResult
	select {
	case sent = <-msg.result:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "call %s of host %s", method, host)
	}
	if sent.err != nil {
		return sent.err
	}
	err = sent.waiter.Wait(ctx, result)
	if err != nil && !msg.deadline.IsZero() && !time.Now().Before(msg.deadline) {
		// The other host cancels its handler at the same deadline, so the
		// handler's error may arrive first.
		err = context.DeadlineExceeded
	}
	sent.link.recordCallResult(err)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return errors.Wrapf(ErrClosed, "call %s of host %s", method, host)
	}
	return errors.Wrapf(err, "call %s of host %s", method, host)
}

// Notify implements tamarackknot.Peers. It returns when the message is queued.
func (m *Mesh) Notify(ctx context.Context, host, method string, params any) error {
	msg, err := m.newMessage(ctx, method, params)
	if err != nil {
		return err
	}
	return m.enqueue(host, msg)
}

func (m *Mesh) newMessage(ctx context.Context, method string, params any) (message, error) {
	if err := ctx.Err(); err != nil {
		return message{}, errors.Wrapf(err, "send %s", method)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return message{}, errors.Wrapf(err, "encode parameters of %s", method)
	}
	if limit := m.cfg.MaxMessageBytes - envelopeBytes; len(data) > limit {
		return message{}, errors.Wrapf(ErrTooLarge, "parameters of %s have %d bytes, limit %d", method, len(data), limit)
	}
	msg := message{method: method, params: data, ctx: ctx}
	msg.deadline, _ = ctx.Deadline()
	return msg, nil
}

// enqueue queues a message on the link to a host and creates the link if there
// is none.
func (m *Mesh) enqueue(host string, msg message) error {
	if host == m.cfg.Host {
		return errors.Wrapf(ErrWrongHost, "%s is this host", host)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return ErrClosed
	}
	l, ok := m.links[host]
	if !ok {
		l = newLink(m, host)
		m.links[host] = l
		m.running.Add(1)
		go l.run()
	}
	select {
	case l.queue <- msg:
		return nil
	default:
		return errors.Wrapf(ErrQueueFull, "host %s, %d messages", host, cap(l.queue))
	}
}

// acceptLoop accepts connections until Close.
func (m *Mesh) acceptLoop() {
	defer m.running.Done()
	for {
		c, err := m.listener.Accept()
		if m.ctx.Err() != nil {
			if err == nil {
				_ = c.Close()
			}
			return
		}
		if err != nil {
			m.cfg.Logger.Warn("failed to accept peer connection", "err", err)
			select {
			case <-m.ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		m.accept(c)
	}
}

func (m *Mesh) accept(c net.Conn) {
	m.mu.Lock()
	full := m.inbound >= maxInbound
	if !full {
		m.inbound++
	}
	m.mu.Unlock()
	if full {
		m.cfg.Logger.Warn("too many peer connections", "limit", maxInbound)
		_ = c.Close()
		return
	}
	s := newStream(c, m.cfg, m.counters)
	s.accepted = true
	if m.cfg.Group != nil {
		var ok bool
		if s.account, ok = m.cfg.Group.Open(time.Now(), s.evict); !ok {
			m.cfg.OnShed()
			_ = c.Close()
			m.removeInbound()
			return
		}
	}
	// The dialling side closes idle connections. The longer timeout here removes
	// connections whose other end disappeared without closing them.
	s.readTimeout = 2 * m.cfg.IdleTimeout
	h := &acceptor{mesh: m, stream: s, callSlots: make(chan struct{}, maxConcurrentCalls)}
	conn := jsonrpc2.NewConn(m.ctx, s, h, jsonrpc2.OnSend(s.onSend), jsonrpc2.OnRecv(s.onRecv), jsonrpc2.SetLogger(connLogger{m.cfg.Logger}))
	m.running.Add(1)
	go m.waitInbound(conn, s.account)
}

func (m *Mesh) waitInbound(conn *jsonrpc2.Conn, account *admission.Account) {
	defer m.running.Done()
	<-conn.DisconnectNotify()
	account.Close()
	m.removeInbound()
}

// removeInbound counts an accepted connection as closed.
func (m *Mesh) removeInbound() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inbound--
}

func (m *Mesh) handler(method string) (tamarackknot.PeerHandler, bool) {
	m.handlersMu.RLock()
	defer m.handlersMu.RUnlock()
	h, ok := m.handlers[method]
	return h, ok
}

// connLogger forwards the messages of jsonrpc2 to the structured logger.
type connLogger struct{ logger *log.Logger }

func (l connLogger) Printf(format string, v ...any) { l.logger.Debugf(format, v...) }
