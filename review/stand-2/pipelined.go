package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// segmentBytes is what a packet of the link to the clients carries.
	segmentBytes = 1448
	// resentAfter is how long after a lost packet its bytes, and what comes behind them, arrive.
	resentAfter = 300 * time.Millisecond
	// pipelinePackets is the number of packets that a client sends on a connection. One of them is
	// lost, less than three in a hundred.
	pipelinePackets = 36
	// splitRequest is the request in which the second packet begins.
	splitRequest = 3
	agentBytes   = 260
	atOnce       = 4
)

// lookup returns the text of a request.
func lookup(n int, id string, agent int) string {
	return fmt.Sprintf("GET /rapu33/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nUser-Agent: %s\r\nAccept: application/json\r\n\r\n",
		n, callerHost, id, strings.Repeat("b", agent))
}

// lookups returns the text of the requests on a connection, and their number. The second packet begins
// at a line end of splitRequest: before its CR or, with lf, before its LF.
func lookups(p, line int, lf bool, sent map[string]bool) (string, int) {
	at := 0
	target := lookup(splitRequest, requestID(p, splitRequest), agentBytes)
	for range line + 1 {
		at += strings.Index(target[at:], "\r\n") + len("\r\n")
	}
	at -= len("\r\n")
	if lf {
		at++
	}
	before := 0
	for i := range splitRequest {
		before += len(lookup(i, requestID(p, i), agentBytes))
	}
	var text strings.Builder
	n := 0
	for ; text.Len() < segmentBytes*(pipelinePackets-1); n++ {
		agent := agentBytes
		if n == 0 {
			agent += segmentBytes - before - at
		}
		sent[requestID(p, n)] = true
		text.WriteString(lookup(n, requestID(p, n), agent))
	}
	return text.String(), n
}

func requestID(p, n int) string { return fmt.Sprintf("9c41d07b%04x%04x", p, n) }

// playPipelined has clients that send several lookups on a connection before the first answer. With
// trouble the link loses the second packet of each connection, which is sent again.
func playPipelined(w *world) (bool, error) {
	w.configure(1, []string{"shopdesk"}, route{
		Name: "fitting-lookup", Host: callerHost, PathPrefix: "/rapu33/", Kind: "idempotent", TimeoutMs: 1500, SloMs: 150, Svc: "shopdesk", Attempts: 2,
	})
	for i := range 3 {
		if _, err := w.startReplica(fmt.Sprintf("i-desk%d", i), "shopdesk", i, 5*time.Millisecond); err != nil {
			return false, err
		}
	}
	h, err := w.startHost(1, true)
	if err != nil {
		return false, err
	}
	front, err := w.startLink(h.front())
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	sent := make(map[string]bool)
	statuses := make(map[string]int)
	var mu sync.Mutex
	var all sync.WaitGroup
	lines := strings.Count(lookup(0, requestID(0, 0), agentBytes), "\r\n")
	for p := range 2 * lines {
		text, n := lookups(p, p/2, p%2 == 1, sent)
		all.Go(func() {
			got := pipeline(front, text, n)
			w.logf("connection %d, %d requests in %d packets, the second begins with %q: %v", p, n, (len(text)+segmentBytes-1)/segmentBytes,
				text[segmentBytes:segmentBytes+20], got)
			mu.Lock()
			defer mu.Unlock()
			for status, k := range got {
				statuses[status] += k
			}
		})
		if p%atOnce == atOnce-1 {
			all.Wait()
		}
	}
	all.Wait()
	w.logf("clients sent %d requests and got: %v", len(sent), statuses)
	broken := 0
	for _, run := range w.runs() {
		if id := run.header.Get("X-Request-Id"); !sent[id] {
			broken++
			w.logf("UNASKED: a replica ran %s %q with the id %q, which no client sent", run.method, run.target, id)
		}
	}
	return broken > 0, nil
}

// pipeline sends requests on one connection and returns how many answers it got, by status.
func pipeline(address, text string, n int) map[string]int {
	got := make(map[string]int)
	conn, err := dial(address)
	if err != nil {
		got[err.Error()]++
		return got
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(conn, text)
	in := bufio.NewReader(conn)
	for range n {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			got["no answer"]++
			return got
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		got[resp.Status]++
	}
	return got
}

// startLink starts the link between the clients and a host, a proxy, and returns its address.
func (w *world) startLink(to string) (string, error) {
	l, err := net.Listen("tcp", w.net+".240:0")
	if err != nil {
		return "", err
	}
	w.onClose(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.carry(conn, to)
		}
	}()
	return l.Addr().String(), nil
}

// carry carries a connection. With trouble the second packet of what the client sends is lost, so that
// it and what comes behind it arrive later.
func (w *world) carry(client net.Conn, to string) {
	defer func() { _ = client.Close() }()
	server, err := dial(to)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.Copy(client, server)
		_ = client.Close()
	}()
	in := bufio.NewReaderSize(client, pipelinePackets*segmentBytes)
	if w.trouble {
		first, _ := in.Peek(segmentBytes)
		if _, err := server.Write(first); err != nil {
			return
		}
		_, _ = in.Discard(len(first))
		time.Sleep(resentAfter)
	}
	_, _ = in.WriteTo(server)
}
