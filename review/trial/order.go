package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// playOrder: the replicas of one version leave without having reported it, as at the end of a
// release, and all hosts are killed while these replicas still serve streams. Clients take their
// streams up again.
func playOrder(t *Trial) (broken bool, err error) {
	const streams, events = 24, 60
	t.Configure(7)
	var old []*Replica
	for i := range 5 {
		r := &Replica{
			ID: fmt.Sprintf("i-%d", i+1), Service: "llm", Version: "v1", Zone: []string{"z-a", "z-b", "z-c"}[i%3],
			Model: "m1", Slots: 64, Gap: 100 * time.Millisecond,
		}
		if i >= 2 {
			r.Version = "v2"
		}
		t.StartReplica(r)
		if r.Version == "v1" {
			old = append(old, r)
		}
	}
	if err := t.StartHosts(6); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	seen := make([]map[string]int, streams)
	for i := range streams {
		seen[i] = make(map[string]int)
		time.Sleep(20 * time.Millisecond)
		clients.Go(func() { t.followStream(i, events, seen[i]) })
	}
	time.Sleep(1500 * time.Millisecond)
	for _, r := range old {
		r.Remove()
	}
	time.AfterFunc(7*time.Second, func() {
		for _, r := range old {
			r.End()
		}
	})
	time.Sleep(time.Second)
	if t.Trouble {
		for _, h := range t.hosts {
			h.Signal(syscall.SIGKILL)
		}
		t.Log("all hosts are killed")
		for _, h := range t.hosts {
			h.Kill()
		}
		time.Sleep(700 * time.Millisecond)
		for _, h := range t.hosts {
			if err := h.Start(false); err != nil {
				return false, err
			}
		}
	}
	clients.Wait()
	mixed := 0
	for i, versions := range seen {
		t.Log("client %d has events of versions %v", i, versions)
		if len(versions) > 1 {
			mixed++
		}
	}
	for _, h := range t.hosts {
		for _, line := range h.LogOf("msg=\"stream resumed\"") {
			t.Log("own log of %s: %s", h.Name, line)
		}
	}
	t.Log("%d streams hold events of two versions; the rule allows 2", mixed)
	return mixed > 2, nil
}

// followStream is a client that takes its stream up again, once, after a broken connection: it
// asks hosts where to connect until one answers, and connects to an address that it gets.
func (t *Trial) followStream(client, events int, seen map[string]int) {
	deadline := time.Now().Add(15 * time.Second)
	last, resumes := 0, ""
	for try := range 2 {
		id := fmt.Sprintf("%04x%08x", client, try+1)
		addr, ok := t.resolve(client, deadline)
		if !ok {
			t.Log("client %d: no host answers", client)
			return
		}
		c, err := Connect(addr)
		if err != nil {
			t.Log("client %d: no connection to %s: %v", client, addr, err)
			continue
		}
		t.Log("client %d sends %s to %s, events after %d, resumes %q", client, id, addr, last, resumes)
		a := c.Stream(id, events, last, resumes, time.Until(deadline))
		_ = c.Close()
		t.Log("client %d: %s: %s", client, id, a)
		for _, e := range a.Events {
			if e.ID != last+1 {
				t.Log("client %d: event %d follows event %d", client, e.ID, last)
			}
			last = e.ID
			seen[e.Version]++
		}
		if a.Complete && a.Status == 200 {
			return
		}
		resumes = id
		time.Sleep(max(200*time.Millisecond, a.RetryAfter))
	}
}

// resolve asks three hosts in turn where to connect, until one answers.
func (t *Trial) resolve(client int, deadline time.Time) (string, bool) {
	for n := 0; time.Now().Before(deadline); n++ {
		h := t.hosts[(client+n%3)%len(t.hosts)]
		if addrs, err := h.Resolve(); err == nil && len(addrs) > 0 {
			return addrs[rand.IntN(len(addrs))], true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", false
}
