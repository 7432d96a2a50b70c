package trial

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// mode determines what a proxy does with the data of its connections.
type mode int

const (
	modePass mode = iota
	modeDelay
	modeReset         // resets existing and new connections
	modeDropResponses // drops data from the server
	modeDropAll       // drops data in both directions, connections stay open
	modeCount
)

const (
	forwardDelay = 150 * time.Millisecond
	dialTimeout  = time.Second
	bufferSize   = 16 << 10
)

// proxy forwards TCP connections on loopback and injects network faults according
// to its mode.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{target: target, listener: l, conns: make(map[net.Conn]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(conn net.Conn) {
	defer p.closeConn(conn)
	if !p.track(conn) {
		return
	}
	server, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		return
	}
	defer p.closeConn(server)
	if !p.track(server) {
		return
	}
	go func() {
		p.forward(server, conn, false)
		_ = server.Close()
	}()
	p.forward(conn, server, true)
}

// track registers a connection and reports whether it may be used, which is not
// the case while the proxy resets connections.
func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return p.mode != modeReset
}

func (p *proxy) closeConn(conn net.Conn) {
	p.mu.Lock()
	reset := p.mode == modeReset
	delete(p.conns, conn)
	p.mu.Unlock()
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) forward(to io.Writer, from io.Reader, fromServer bool) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		switch m := p.currentMode(); {
		case n == 0:
		case m == modeDropAll, m == modeDropResponses && fromServer:
			// The stream has a gap from here on, so nothing more may be forwarded
			// on this connection.
			_, _ = io.Copy(io.Discard, from)
			return
		default:
			if m == modeDelay {
				time.Sleep(forwardDelay)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != modeReset {
		return
	}
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
