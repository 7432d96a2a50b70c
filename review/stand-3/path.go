package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"time"
)

// path: a client asks for a path that begins with two slashes, on a route whose prefix is a
// slash. Without trouble the path begins with one.
func path(w *world, trouble bool) (bool, error) {
	w.newReplica("i-1", "desk", "v1", 0).start("v1")
	w.config(1, route("all", "/", "idempotent", "desk", 1, false))
	if err := w.startHosts(2); err != nil {
		return false, err
	}
	target := "/shelf/7?a=1"
	if trouble {
		target = "//shelf/7?a=1"
	}
	changed, ran := 0, 0
	for i := range 5 {
		id := newID()
		conn, err := dial(w.hosts[i%len(w.hosts)].front())
		if err != nil {
			return false, err
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", target, id)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return false, err
		}
		body, _ := io.ReadAll(resp.Body)
		_ = conn.Close()
		w.log("client sends %s for %s and gets status %d, %q", id, target, resp.StatusCode, body)
		for _, r := range w.runsOf(id) {
			ran++
			if r.target != target || r.host != "shop.example" {
				changed++
				w.log("the replica ran %s for path %s of host %s", id, r.target, r.host)
			}
		}
	}
	fmt.Printf("%d of %d requests ran with another path or host\n", changed, ran)
	return changed > 0, nil
}
