package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const originStreams = 24

// killed: replicas of two versions of their software serve side by side. All hosts are killed
// and start again; the clients take their streams up again once the hosts are in touch. Without
// trouble the clients lose their connections at the same moment, and no host is killed.
func killed(w *world, trouble bool) (bool, error) {
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		w.newReplica(fmt.Sprintf("i-%d", i+1), "advisor", version, i).start(version)
	}
	w.config(1, route("advice", "/advice/", "streaming", "advisor", 2, true))
	if err := w.startHosts(6); err != nil {
		return false, err
	}
	var streams []*stream
	var tries sync.WaitGroup
	for i := range originStreams {
		s := w.newStream(fmt.Sprintf("begun-%d", i+1))
		streams = append(streams, s)
		tries.Go(func() { _, _, _ = s.try(w.hosts[i%len(w.hosts)]) })
	}
	time.Sleep(3 * time.Second)
	for _, s := range streams {
		if s.events() == 0 {
			return false, fmt.Errorf("stream %s has not begun", s.name)
		}
	}
	if trouble {
		for _, h := range w.hosts {
			h.signal(syscall.SIGKILL)
		}
		tries.Wait()
		for _, h := range w.hosts {
			<-h.exited
		}
		time.Sleep(time.Second)
		for _, h := range w.hosts {
			if err := h.start(false); err != nil {
				return false, err
			}
		}
	} else {
		for _, s := range streams {
			s.leave()
		}
		tries.Wait()
		time.Sleep(time.Second)
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contact + 1500*time.Millisecond)
	w.log("all hosts are in touch; the clients take their streams up again, and as many new ones begin")
	resumed, begun := w.takeUp(streams)
	w.log("%d of %d streams went on, %d of %d new streams began", resumed, len(streams), begun, len(streams))
	fmt.Printf("%d of %d streams went on, %d of %d new streams began\n", resumed, len(streams), begun, len(streams))
	return 2*resumed*len(streams) < begun*len(streams), nil
}

// takeUp takes streams up again and begins as many new ones, with up to three tries each. It
// returns how many went on and how many began.
func (w *world) takeUp(streams []*stream) (resumed, begun int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	go1 := func(s *stream, i int, count *int) {
		wg.Go(func() {
			before := s.events()
			for try := range 3 {
				ended := make(chan time.Duration, 1)
				go func() {
					_, after, _ := s.try(w.hosts[(i+1+try)%len(w.hosts)])
					ended <- after
				}()
				var after time.Duration
				select {
				case after = <-ended:
				case <-time.After(3 * time.Second):
				}
				if s.events() > before {
					mu.Lock()
					*count++
					mu.Unlock()
					s.leave()
					return
				}
				time.Sleep(max(after, 500*time.Millisecond))
			}
		})
	}
	for i, s := range streams {
		go1(s, i, &resumed)
		go1(w.newStream(fmt.Sprintf("new-%d", i+1)), i, &begun)
	}
	wg.Wait()
	return resumed, begun
}
