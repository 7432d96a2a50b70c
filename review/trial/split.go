package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playSplit: a route is split between two services, and a configuration changes the weights. One
// host is killed while it relays streams, and the clients take these up again at other hosts.
func playSplit(t *Trial) (broken bool, err error) {
	const streams, events = 36, 50
	services := []string{"llm-a", "llm-b"}
	t.ConfigureSplit(7, services, []int{90, 10})
	for i := range 6 {
		t.StartReplica(&Replica{
			ID: fmt.Sprintf("i-%d", i+1), Service: services[i%2], Version: "v1",
			Zone: []string{"z-a", "z-b", "z-c"}[i/2], Model: "m1", Slots: 64, Gap: 100 * time.Millisecond,
		})
	}
	if err := t.StartHosts(6); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	begun, cut, resumed := 0, 0, 0
	for i := range streams {
		time.Sleep(10 * time.Millisecond)
		clients.Go(func() {
			deadline := time.Now().Add(15 * time.Second)
			id := fmt.Sprintf("%04x%08x", i, 1)
			c, err := Connect(t.hosts[0].Front)
			if err != nil {
				t.Log("client %d: no connection: %v", i, err)
				return
			}
			a := c.Stream(id, events, 0, "", time.Until(deadline))
			_ = c.Close()
			t.Log("client %d: %s at %s: %s", i, id, t.hosts[0].Name, a)
			if len(a.Events) == 0 {
				return
			}
			mu.Lock()
			begun++
			mu.Unlock()
			if a.Complete {
				return
			}
			// The client takes the stream up again, once, at another host.
			last := a.Events[len(a.Events)-1].ID
			time.Sleep(200 * time.Millisecond)
			h := t.hosts[1+i%5]
			again := fmt.Sprintf("%04x%08x", i, 2)
			t.Log("client %d sends %s to %s, events after %d, resumes %s", i, again, h.Name, last, id)
			if c, err = Connect(h.Front); err != nil {
				t.Log("client %d: no connection: %v", i, err)
				return
			}
			b := c.Stream(again, events, last, id, time.Until(deadline))
			_ = c.Close()
			t.Log("client %d: %s at %s: %s %s", i, again, h.Name, b, b.Body)
			mu.Lock()
			defer mu.Unlock()
			cut++
			if len(b.Events) > 0 {
				resumed++
			}
		})
	}
	t.ConfigureSplit(9, services, []int{10, 90})
	t.Log("the store accepts configuration 9, with the weights 10 and 90 in place of 90 and 10")
	time.Sleep(2500 * time.Millisecond)
	if t.Trouble {
		t.hosts[0].Signal(syscall.SIGKILL)
		t.Log("%s is killed", t.hosts[0].Name)
	}
	clients.Wait()
	t.Log("new streams: %d of %d begin; streams taken up again: %d of %d go on, all replicas serve", begun, streams, resumed, cut)
	return cut >= 12 && float64(resumed)/float64(cut) < float64(begun)/streams/2, nil
}
