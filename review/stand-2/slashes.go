package main

import (
	"bufio"
	"fmt"
	"net/http"
	"time"
)

// playSlashes sends requests whose path begins with two slashes on a route with the prefix "/".
func playSlashes(w *world) (bool, error) {
	w.configure(1, []string{"shopdesk"}, route{
		Name: "deposit-take", Host: callerHost, PathPrefix: "/", Kind: "non_idempotent", TimeoutMs: 1500, SloMs: 150, Svc: "shopdesk", Attempts: 1,
	})
	for i := range 2 {
		if _, err := w.startReplica(fmt.Sprintf("i-desk%d", i), "shopdesk", i, 30*time.Millisecond); err != nil {
			return false, err
		}
	}
	h, err := w.startHost(1, true)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for i := range 6 {
		target := fmt.Sprintf("/orders/%d", i)
		if w.trouble {
			target = fmt.Sprintf("//orders/%d", i)
		}
		conn, err := dial(h.front())
		if err != nil {
			return false, err
		}
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r%d\r\nX-Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\nhi", target, callerHost, i)
		w.logf("client sends: POST %q host %q id r%d", target, callerHost, i)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			w.logf("client: %v", err)
		} else {
			w.logf("client gets: %d stamp %q", resp.StatusCode, resp.Header.Get("X-Server-Stamp"))
		}
		_ = conn.Close()
	}
	broken := false
	for _, run := range w.runs() {
		var i int
		want := ""
		if _, err := fmt.Sscanf(run.header.Get("X-Request-Id"), "r%d", &i); err == nil {
			want = fmt.Sprintf("/orders/%d", i)
			if w.trouble {
				want = "/" + want
			}
		}
		if run.target != want {
			w.logf("UNASKED: sent with path %q, run with %q", want, run.target)
			broken = true
		}
	}
	return broken, nil
}
