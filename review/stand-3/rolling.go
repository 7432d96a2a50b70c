package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// rollGap is the time between the stops of two hosts, and startDelay that between the end of
	// a process and its next start.
	rollGap    = time.Second
	startDelay = 500 * time.Millisecond
)

// touch says since when each host has run without a signal; zero while it is stopped.
type touch struct {
	mu    sync.Mutex
	since map[*host]time.Time
}

func (t *touch) set(h *host, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since[h] = at
}

// in reports whether a host is in touch, with a margin.
func (t *touch) in(h *host) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.since[h]
	return !at.IsZero() && time.Since(at) > contact+500*time.Millisecond
}

// rolling: replicas of two versions of their software serve side by side. All hosts are stopped
// with SIGTERM and started again in turn. Clients whose streams are cut take them up again.
// Without trouble no host is stopped; the clients lose their connections at the same moments.
func rolling(w *world, trouble bool) (bool, error) {
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		w.newReplica(fmt.Sprintf("i-%d", i+1), "advisor", version, i).start(version)
	}
	w.config(1, route("advice", "/advice/", "streaming", "advisor", 2, true))
	return w.roll(trouble)
}

// rollingSplit is rolling with one version and a route that is split between two services.
func rollingSplit(w *world, trouble bool) (bool, error) {
	for i, service := range []string{"advisor", "advisor", "adviser", "adviser"} {
		w.newReplica(fmt.Sprintf("i-%d", i+1), service, "v1", i).start("v1")
	}
	r := route("advice", "/advice/", "streaming", "", 2, true)
	delete(r, "svc")
	r["split"] = []map[string]any{{"svc": "advisor", "weight": 90}, {"svc": "adviser", "weight": 10}}
	w.config(1, r)
	return w.roll(trouble)
}

// roll stops all hosts in turn, and judges.
func (w *world) roll(trouble bool) (bool, error) {
	if err := w.startHosts(6); err != nil {
		return false, err
	}
	t := &touch{since: make(map[*host]time.Time)}
	for _, h := range w.hosts {
		t.set(h, h.startedAt)
	}
	var n tally
	var streams []*stream
	var clients sync.WaitGroup
	for i := range originStreams {
		s := w.newStream(fmt.Sprintf("begun-%d", i+1))
		streams = append(streams, s)
		clients.Go(func() { s.persist(t, w.hosts[i%len(w.hosts)], &n) })
	}
	time.Sleep(2 * time.Second)
	var stops sync.WaitGroup
	for i, h := range w.hosts {
		stops.Go(func() {
			if trouble {
				w.stopAndStart(t, h)
				return
			}
			time.Sleep(7 * time.Second)
			for j, s := range streams {
				if j%len(w.hosts) == i {
					s.leave()
				}
			}
		})
		time.Sleep(rollGap)
	}
	// New streams at hosts in touch, to compare with.
	for i := range originStreams {
		s := w.newStream(fmt.Sprintf("new-%d", i+1))
		clients.Go(func() {
			time.Sleep(12*time.Second + time.Duration(i)*100*time.Millisecond)
			s.until = time.Now().Add(deadline)
			s.begin(t, &n)
		})
	}
	stops.Wait()
	clients.Wait()
	up, fresh := n.resumed+n.refused, n.begun+n.failed
	text := fmt.Sprintf("of %d streams taken up again at hosts in touch %d went on, of %d new ones %d began", up, n.resumed, fresh, n.begun)
	w.log("%s", text)
	fmt.Println(text)
	if up < 12 || fresh == 0 {
		return false, nil
	}
	return 2*n.resumed*fresh < n.begun*up, nil
}

// tally counts streams that clients took up again, or began, at hosts in touch.
type tally struct {
	mu                              sync.Mutex
	resumed, refused, begun, failed int
}

func (n *tally) add(to *int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*to++
}

// stopAndStart stops a host as the platform does, and starts it again.
func (w *world) stopAndStart(t *touch, h *host) {
	t.set(h, time.Time{})
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(8 * time.Second):
		h.kill()
	}
	w.log("host %s has ended", h.name)
	time.Sleep(startDelay)
	if err := h.start(false); err != nil {
		w.log("%v", err)
	}
	t.set(h, time.Now())
}

// persist follows a stream until it is complete or its deadline: it tries again, later each time,
// at any host. It counts once whether the stream went on at a host in touch, or did not although
// it was taken up at one.
func (s *stream) persist(t *touch, h *host, n *tally) {
	refused := false
	for try := 0; time.Until(s.until) > 2*time.Second && try < 8; try++ {
		before, inTouch := s.events(), t.in(h)
		_, after, _ := s.try(h)
		if try > 0 && inTouch && s.events() > before {
			n.add(&n.resumed)
			return
		}
		refused = refused || try > 0 && inTouch
		s.mu.Lock()
		over := s.done
		s.mu.Unlock()
		if over {
			return
		}
		time.Sleep(max(after, time.Duration(try+1)*500*time.Millisecond))
		h = s.w.hosts[rand.IntN(len(s.w.hosts))]
	}
	if refused {
		n.add(&n.refused)
	}
}

// begin begins a stream at a host in touch.
func (s *stream) begin(t *touch, n *tally) {
	for _, i := range rand.Perm(len(s.w.hosts)) {
		h := s.w.hosts[i]
		if !t.in(h) {
			continue
		}
		left := time.AfterFunc(2*time.Second, s.leave)
		_, _, _ = s.try(h)
		left.Stop()
		if s.events() > 0 {
			n.add(&n.begun)
		} else {
			n.add(&n.failed)
		}
		return
	}
}
