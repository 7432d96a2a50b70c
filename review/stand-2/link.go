package main

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// lostTwice is how much later a packet arrives that is lost, sent again after 200 ms, lost, and sent
// again after 400 ms more.
const lostTwice = 600 * time.Millisecond

// link is a link to a replica that loses packets at times.
type link struct {
	to      string
	losing  atomic.Bool
	packets atomic.Int64
	lost    atomic.Int64
}

func (l *link) serve(from net.Listener) {
	for {
		conn, err := from.Accept()
		if err != nil {
			return
		}
		go l.carry(conn)
	}
}

// carry carries a connection. What a host sends while the link loses packets arrives later, also
// after the host has closed the connection.
func (l *link) carry(host net.Conn) {
	replica, err := dial(l.to)
	if err != nil {
		_ = host.Close()
		return
	}
	go func() {
		_, _ = io.Copy(host, replica)
		_ = host.Close()
	}()
	buf := make([]byte, segmentBytes)
	for {
		n, err := host.Read(buf)
		if n > 0 {
			l.packets.Add(1)
			if l.losing.Load() {
				l.packets.Add(2)
				l.lost.Add(2)
				time.Sleep(lostTwice)
			}
			if _, err := replica.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = replica.Close()
}
