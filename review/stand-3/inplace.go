package main

import (
	"fmt"
	"sync"
	"time"
)

const inPlaceStreams = 16

// inPlace: of two replicas of one version of their software one starts again under its id, with a
// newer version, while the store does not answer. Then the other one crashes, and its clients take
// their streams up again. Without trouble the store answers all the while.
func inPlace(w *world, trouble bool) (bool, error) {
	x, y := w.newReplica("i-1", "advisor", "v1", 0), w.newReplica("i-2", "advisor", "v1", 1)
	x.start("v1")
	y.start("v1")
	w.config(1, route("advice", "/advice/", "streaming", "advisor", 2, true))
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	var streams []*stream
	var tries sync.WaitGroup
	for i := range inPlaceStreams {
		s := w.newStream(fmt.Sprintf("begun-%d", i+1))
		streams = append(streams, s)
		tries.Go(func() { s.follow(i) })
	}
	time.Sleep(2 * time.Second)
	for _, s := range streams {
		if s.events() == 0 {
			return false, fmt.Errorf("stream %s has not begun", s.name)
		}
	}
	if trouble {
		w.log("the store does not answer any more")
		w.store.setSilent(true)
	}
	time.Sleep(200 * time.Millisecond)
	x.crash()
	time.Sleep(2 * time.Second)
	x.start("v2")
	time.Sleep(1500 * time.Millisecond)
	y.crash()
	time.Sleep(1300 * time.Millisecond)
	if trouble {
		w.log("the store answers")
		w.store.setSilent(false)
	}
	time.Sleep(2 * time.Second)
	mixed := 0
	for _, s := range streams {
		s.mu.Lock()
		if len(s.versions) > 1 {
			mixed++
			w.log("client %s has events of two versions", s.name)
		}
		s.mu.Unlock()
		s.end()
	}
	tries.Wait()
	w.log("%d of %d streams hold events of two versions", mixed, len(streams))
	fmt.Printf("%d of %d streams hold events of two versions\n", mixed, len(streams))
	return mixed > 2, nil
}
