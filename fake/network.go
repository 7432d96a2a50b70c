package fake

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot/internal/wait"
)

// Network connects named hosts by in-memory connections that work with the fake
// clock of testing/synctest. Each direction between two hosts can be cut, and
// hosts can be frozen or killed.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*networkListener
	cuts      map[direction]bool
	refused   map[direction]bool
	dead      map[string]bool
	frozen    map[string]bool
	conns     map[*networkConn]struct{}
	// changed is closed and replaced when cuts or frozen change.
	changed chan struct{}
}

// direction is one direction of the link between two hosts.
type direction struct{ from, to string }

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*networkListener),
		cuts:      make(map[direction]bool),
		refused:   make(map[direction]bool),
		dead:      make(map[string]bool),
		frozen:    make(map[string]bool),
		conns:     make(map[*networkConn]struct{}),
		changed:   make(chan struct{}),
	}
}

// Host returns the network interface of a host.
func (n *Network) Host(name string) *NetworkHost {
	return &NetworkHost{net: n, name: name}
}

// Cut blocks or restores the traffic from one host to another. As with packet
// loss, connections stay open and data is delivered when the cut ends.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[direction{from, to}] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// Refuse makes new connections from one host to another fail, or succeed again. Those
// that exist go on.
func (n *Network) Refuse(from, to string, refuse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[direction{from, to}] = refuse
}

// Reset closes the connections between two hosts.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	var conns []*networkConn
	for c := range n.conns {
		if c.dir == (direction{a, b}) || c.dir == (direction{b, a}) {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		c.abort()
	}
}

// Freeze blocks or restores all traffic of a host. To other hosts this looks like
// a paused process.
func (n *Network) Freeze(name string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[name] = frozen
	close(n.changed)
	n.changed = make(chan struct{})
}

// cutLocked reports whether traffic in a direction is blocked. The caller holds
// mu.
func (n *Network) cutLocked(d direction) bool {
	return n.cuts[d] || n.frozen[d.from] || n.frozen[d.to]
}

// Kill closes all connections and listeners of a host. Its later dials fail.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	n.dead[name] = true
	var conns []*networkConn
	for c := range n.conns {
		if c.dir.from == name || c.dir.to == name {
			conns = append(conns, c)
		}
	}
	for address, l := range n.listeners {
		if l.host == name {
			l.closeLocked()
			delete(n.listeners, address)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		c.abort()
	}
}

// NetworkHost opens listeners and connections on behalf of one host.
type NetworkHost struct {
	net  *Network
	name string
}

// Listen accepts connections at IP:port.
func (h *NetworkHost) Listen(_ context.Context, address string) (net.Listener, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if _, ok := h.net.listeners[address]; ok {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &networkListener{
		net: h.net, host: h.name, address: ap,
		conns: make(chan net.Conn), done: make(chan struct{}),
	}
	h.net.listeners[address] = l
	return l, nil
}

// Dial connects to IP:port.
func (h *NetworkHost) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	l, err := h.waitReachable(ctx, address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	local, remote := net.Pipe()
	localConn := h.net.wrap(local, direction{h.name, l.host})
	remoteConn := h.net.wrap(remote, direction{l.host, h.name})
	select {
	case l.conns <- remoteConn:
		return localConn, nil
	case <-l.done:
		err = syscall.ECONNREFUSED
	case <-ctx.Done():
		err = ctx.Err()
	}
	localConn.abort()
	remoteConn.abort()
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
}

// waitReachable returns the listener at an address. It waits until neither
// direction is cut, because a TCP handshake needs both.
func (h *NetworkHost) waitReachable(ctx context.Context, address string) (*networkListener, error) {
	for {
		h.net.mu.Lock()
		l, changed := h.net.listeners[address], h.net.changed
		dead := h.net.dead[h.name]
		refused := l != nil && h.net.refused[direction{h.name, l.host}]
		cut := l != nil && (h.net.cutLocked(direction{h.name, l.host}) || h.net.cutLocked(direction{l.host, h.name}))
		h.net.mu.Unlock()
		switch {
		case dead:
			return nil, syscall.ENETUNREACH
		case l == nil || refused:
			return nil, syscall.ECONNREFUSED
		case !cut:
			return l, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (n *Network) wrap(c net.Conn, d direction) *networkConn {
	w := &networkConn{Conn: c, net: n, dir: d, ready: make(chan struct{}, 1), broken: make(chan struct{})}
	n.mu.Lock()
	n.conns[w] = struct{}{}
	n.mu.Unlock()
	go w.run()
	return w
}

type networkListener struct {
	net     *Network
	host    string
	address netip.AddrPort
	conns   chan net.Conn
	done    chan struct{}
	closed  bool
}

// Accept implements net.Listener.
func (l *networkListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *networkListener) Close() error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	l.closeLocked()
	if l.net.listeners[l.address.String()] == l {
		delete(l.net.listeners, l.address.String())
	}
	return nil
}

func (l *networkListener) closeLocked() {
	if !l.closed {
		l.closed = true
		close(l.done)
	}
}

// Addr implements net.Listener.
func (l *networkListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// networkConn buffers written data like a kernel socket does. An unbuffered write
// would block until the peer reads, and a goroutine that then waits for a lock of
// the writer would stop the clock of synctest.
type networkConn struct {
	net.Conn
	net *Network
	dir direction
	// ready has an element if buf or closed has changed.
	ready chan struct{}
	// broken is closed when the connection is aborted without flushing buf.
	broken    chan struct{}
	breakOnce sync.Once

	mu     sync.Mutex
	buf    []byte
	closed bool
	err    error // of an earlier write to the peer
}

// Read implements net.Conn.
func (c *networkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.ErrClosedPipe) {
		select {
		case <-c.broken:
			err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
		default:
		}
	}
	return n, err
}

// Write implements net.Conn. It never blocks.
func (c *networkConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.err != nil {
		return 0, c.err
	}
	c.buf = append(c.buf, b...)
	c.signal()
	return len(b), nil
}

func (c *networkConn) signal() {
	wait.Wake(c.ready)
}

// run forwards buffered data to the peer until the connection is closed and
// flushed, or broken.
func (c *networkConn) run() {
	defer func() {
		_ = c.Conn.Close()
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
	}()
	for {
		select {
		case <-c.ready:
		case <-c.broken:
			return
		}
		c.mu.Lock()
		data, closed := c.buf, c.closed
		c.buf = nil
		c.mu.Unlock()
		if len(data) > 0 && !c.forward(data) {
			return
		}
		if closed {
			return
		}
	}
}

// forward writes data to the peer when the direction is not cut. It returns false
// if the connection is broken.
func (c *networkConn) forward(data []byte) bool {
	for {
		c.net.mu.Lock()
		cut, changed := c.net.cutLocked(c.dir), c.net.changed
		c.net.mu.Unlock()
		if !cut {
			break
		}
		select {
		case <-changed:
		case <-c.broken:
			return false
		}
	}
	_, err := c.Conn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
	return err == nil
}

// Close implements net.Conn. Buffered data is still forwarded.
func (c *networkConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.signal()
	// Unblocks a pending Read.
	return c.SetReadDeadline(time.Unix(1, 0))
}

// abort closes the connection without forwarding buffered data, as the failure of
// a host does.
func (c *networkConn) abort() {
	c.breakOnce.Do(func() { close(c.broken) })
	_ = c.Conn.Close()
}

// SetDeadline implements net.Conn. Writes need no deadline because they never
// block.
func (c *networkConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *networkConn) SetWriteDeadline(time.Time) error { return nil }
