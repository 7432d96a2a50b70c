package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const drain = 2 * time.Second

// otherWriter: the entry of a replica is removed, which goes on for a while, as one that leaves
// without reporting it. Then another writer leaves an entry under its id that lacks most fields.
// Without trouble there is no other writer.
func otherWriter(w *world, trouble bool) (bool, error) {
	for i := range 3 {
		w.newReplica(fmt.Sprintf("i-%d", i+1), "desk", "v1", i).start("v1")
	}
	w.config(1, route("book", "/book/", "non_idempotent", "desk", 1, false))
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	leaver := w.replicas[0]
	leaver.mu.Lock()
	leaver.state = "gone" // it writes no entry any more
	leaver.mu.Unlock()
	w.store.put("keyed.servers", leaver.id, nil)
	acked := time.Now()
	w.log("the entry of %s is removed", leaver.id)
	time.Sleep(drain + time.Second)
	if trouble {
		w.store.put("keyed.servers", leaver.id, map[string]any{"svc": leaver.service, "addr": leaver.address, "zone": w.zone, "state": "ready"})
		w.log("another writer leaves an entry under %s, with its service, address, zone and state only", leaver.id)
	}
	time.Sleep(2 * time.Second)
	late, lost := 0, 0
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range 30 {
		clients.Go(func() {
			id, status := newID(), 0
			w.log("client sends %s to %s", id, w.hosts[i%3].name)
			status, err := book(w.hosts[i%3], id)
			w.log("client gets status %d for %s, error %v", status, id, err)
			mu.Lock()
			defer mu.Unlock()
			for _, r := range w.runsOf(id) {
				if r.replica == leaver.id && r.at.Sub(acked) > drain {
					late++
					w.log("%s reached %s %d ms after its entry was removed", id, r.replica, r.at.Sub(acked).Milliseconds())
					if status != http.StatusOK {
						lost++
					}
				}
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	w.log("replica %s ends", leaver.id)
	leaver.crash()
	clients.Wait()
	fmt.Printf("%d of 30 requests reached the replica that had left, %d of them got no answer of it\n", late, lost)
	w.log("%d of 30 requests reached the replica that had left, %d of them got no answer of it", late, lost)
	return late > 0, nil
}

// book sends a request that may run once at most.
func book(h *host, id string) (int, error) {
	conn, err := dial(h.front())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	body := "slot 7"
	_, _ = fmt.Fprintf(conn, "PUT /book/7 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}
