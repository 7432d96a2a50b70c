package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
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
	pipelines   = 200
	pipelineLen = 9
)

// playPipelined has clients that send several lookups on a connection before the first answer. With
// trouble the link loses the second packet of each connection, which is sent again.
func playPipelined(w *world) (bool, error) {
	w.configure(1, []string{"shopdesk"}, route{
		Name: "fitting-lookup", Host: callerHost, PathPrefix: "/rapu33/", Kind: "idempotent", TimeoutMs: 1500, SloMs: 150, Svc: "shopdesk", Attempts: 2,
	})
	for i := range 3 {
		if _, err := w.startReplica(fmt.Sprintf("i-desk%d", i), "shopdesk", i, 10*time.Millisecond); err != nil {
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
	random := rand.New(rand.NewPCG(60, 2))
	sent := make(map[string]bool)
	statuses := make(map[string]int)
	var mu sync.Mutex
	var all sync.WaitGroup
	for p := range pipelines {
		var text strings.Builder
		for i := range pipelineLen {
			id := fmt.Sprintf("p%di%dx%s", p, i, strings.Repeat("a", random.IntN(24)))
			sent[id] = true
			_, _ = fmt.Fprintf(&text, "GET /rapu33/%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nUser-Agent: shop/%s\r\n\r\n",
				i, callerHost, id, strings.Repeat("b", random.IntN(80)))
		}
		all.Go(func() {
			got := pipeline(front, text.String())
			mu.Lock()
			defer mu.Unlock()
			for status, n := range got {
				statuses[status] += n
			}
		})
		if p%4 == 3 {
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
func pipeline(address, text string) map[string]int {
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
	for range pipelineLen {
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

// carry carries a connection. It passes on in packets what the client sends.
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
	buf := make([]byte, segmentBytes)
	for n := 0; ; n++ {
		k, err := client.Read(buf)
		if err != nil && k == 0 {
			return
		}
		if w.trouble && n == 1 {
			time.Sleep(resentAfter)
		}
		if _, err := server.Write(buf[:k]); err != nil {
			return
		}
	}
}
