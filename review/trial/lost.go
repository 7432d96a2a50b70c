package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playLost: a host is stopped with SIGTERM while clients use it over kept connections.
func playLost(t *Trial) (broken bool, err error) {
	const clients, events = 10, 43
	t.Configure(7)
	for i := range 4 {
		t.StartReplica(&Replica{
			ID: fmt.Sprintf("i-%d", i+1), Service: "llm", Version: "v1", Zone: []string{"z-a", "z-b", "z-c"}[i%3],
			Model: "m1", Slots: 64, Gap: 100 * time.Millisecond,
		})
	}
	if err := t.StartHosts(6); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	h := t.hosts[1]
	listed, err := h.Resolve()
	if err != nil {
		return false, err
	}
	t.Log("clients of zone %s resolve: %s", h.Zone, listed)
	// Clients keep an answer for its ttlS of 2 s, some of them three times as long.
	until := time.Now().Add(6 * time.Second)
	var running sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	var stoppedAt time.Time
	for i := range clients {
		running.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			c, err := Connect(h.Front)
			if err != nil {
				t.Log("client %d: no connection: %v", i, err)
				return
			}
			defer func() { _ = c.Close() }()
			for n := 1; time.Now().Before(until) && !c.Closing; n++ {
				id := fmt.Sprintf("%04x%08x", i, n)
				sent := time.Now()
				mu.Lock()
				stop := stoppedAt
				mu.Unlock()
				after := 0.0
				if !stop.IsZero() {
					after = sent.Sub(stop).Seconds()
				}
				t.Log("client %d sends %s to %s on its kept connection, %.3f s after SIGTERM", i, id, h.Name, after)
				a := c.Stream(id, events, 0, "", 15*time.Second)
				t.Log("client %d: %s: %s", i, id, a)
				if a.Err != nil {
					if len(a.Events) > 0 && after > 3 {
						mu.Lock()
						cut++
						mu.Unlock()
						t.Log("client %d: %s was passed on, sent %.3f s after SIGTERM, and the connection ended in the middle of the answer, %.3f s after SIGTERM",
							i, id, after, time.Since(stop).Seconds())
					}
					return
				}
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	if t.Trouble {
		mu.Lock()
		stoppedAt = time.Now()
		mu.Unlock()
		h.Signal(syscall.SIGTERM)
		t.Log("%s gets SIGTERM", h.Name)
	}
	running.Wait()
	t.Log("%d requests that were sent later than 3 s after SIGTERM were cut after they had been passed on", cut)
	return cut > 0, nil
}
