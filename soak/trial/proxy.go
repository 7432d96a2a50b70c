package trial

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// mode is what a proxy does with the bytes of its connections.
type mode int

const (
	modePass mode = iota
	modeDelay
	modeReset   // closes connections, old and new, with a reset
	modeOneWay  // drops what the server sends
	modeSilence // drops both ways, connections stay open
	modes
)

const (
	delayTime  = 150 * time.Millisecond
	dialTime   = time.Second
	bufferSize = 16 << 10
)

// proxy forwards connections on loopback and misbehaves as told.
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
	defer p.drop(conn)
	if !p.add(conn) {
		return
	}
	server, err := (&net.Dialer{Timeout: dialTime}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		return
	}
	defer p.drop(server)
	if !p.add(server) {
		return
	}
	go func() {
		p.copy(server, conn, false)
		_ = server.Close()
	}()
	p.copy(conn, server, true)
}

// add reports false if the proxy resets connections.
func (p *proxy) add(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return p.mode != modeReset
}

func (p *proxy) drop(conn net.Conn) {
	p.mu.Lock()
	reset := p.mode == modeReset
	delete(p.conns, conn)
	p.mu.Unlock()
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) copy(to io.Writer, from io.Reader, answer bool) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		switch m := p.now(); {
		case n == 0:
		case m == modeSilence, m == modeOneWay && answer:
			// What is lost once is lost for good, so the connection goes with it.
			_, _ = io.Copy(io.Discard, from)
			return
		default:
			if m == modeDelay {
				time.Sleep(delayTime)
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

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) set(m mode) {
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
