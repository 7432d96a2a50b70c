package main

import (
	"bufio"
	"fmt"
	"net/http"
	"time"
)

// playSlashes has clients that ask for paths with an empty first part. With trouble a new version of the
// configuration adds a route with the prefix "/", on which these paths are allowed.
func playSlashes(w *world) (bool, error) {
	lookups := route{
		Name: "fitting-lookup", Host: callerHost, PathPrefix: "/rapu33/", Kind: "idempotent", TimeoutMs: 1500, SloMs: 150, Svc: "shopdesk", Attempts: 2,
	}
	w.configure(3, []string{"shopdesk"}, lookups)
	for i := range 3 {
		if _, err := w.startReplica(fmt.Sprintf("i-desk%d", i), "shopdesk", i, 30*time.Millisecond); err != nil {
			return false, err
		}
	}
	h, err := w.startHost(1, true)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		deposits := lookups
		deposits.Name, deposits.PathPrefix, deposits.Kind, deposits.Attempts = "deposit-take", "/", "non_idempotent", 1
		w.configure(7, []string{"shopdesk"}, lookups, deposits)
	}
	time.Sleep(4 * time.Second)
	sent := make(map[string]string)
	for i := range 20 {
		id, target := fmt.Sprintf("9c41d07be2a3%04x", i), fmt.Sprintf("/rapu33//%d", i)
		if i%2 == 1 {
			target = fmt.Sprintf("//shop-%d/orders", i)
		}
		sent[id] = target
		if err := w.askOnce(h, id, target); err != nil {
			return false, err
		}
	}
	broken := false
	for _, run := range w.runs() {
		if want := sent[run.header.Get("X-Request-Id")]; run.target != want {
			w.logf("UNASKED: sent with the path %q and the host %q, run with %q and %q", want, callerHost, run.target, run.host)
			broken = true
		}
	}
	return broken, nil
}

// askOnce sends a request on a connection of its own and records the answer.
func (w *world) askOnce(h *host, id, target string) error {
	conn, err := dial(h.front())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	w.logf("client sends: POST %q host %q id %q", target, callerHost, id)
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: 7\r\n\r\ndeposit", target, callerHost, id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.logf("client gets no answer: %v", err)
		return nil
	}
	w.logf("client gets: %d, stamp %q", resp.StatusCode, resp.Header.Get("X-Server-Stamp"))
	return nil
}
