package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// pieces is the number of events of a stream, pause the time between two.
	pieces = 80
	pause  = 250 * time.Millisecond
	// workTime is how long a request with the method PUT takes.
	workTime = 200 * time.Millisecond
)

// replica is a stand-in for a replica of a service: it answers PUT with a short body, all other
// requests with a stream of numbered events.
type replica struct {
	w       *world
	id      string
	service string
	address string

	mu      sync.Mutex
	version string
	born    int64
	state   string
	seq     int
	server  *http.Server
	conns   map[net.Conn]bool
	up      bool
}

func (w *world) newReplica(id, service, version string, n int) *replica {
	r := &replica{w: w, id: id, service: service, address: fmt.Sprintf("%s.%d:8501", w.net, 100+n), version: version, state: "ready"}
	w.replicas = append(w.replicas, r)
	return r
}

// start starts the replica, or starts it again under its id, with a version of its software.
func (r *replica) start(version string) {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	r.version, r.born, r.seq, r.up, r.state = version, time.Now().UnixMilli(), 0, true, "ready"
	r.conns = make(map[net.Conn]bool)
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: func(c net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if s == http.StateNew && r.conns == nil {
			_ = c.Close()
		} else if s == http.StateNew {
			r.conns[c] = true
		} else if s == http.StateClosed {
			delete(r.conns, c)
		}
	}}
	r.server = server
	born := r.born
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	r.w.log("replica %s of %s starts, version %s, born %d", r.id, r.service, version, born)
	go r.beat(born)
}

// beat writes the entry of the replica until it ends.
func (r *replica) beat(born int64) {
	for {
		r.mu.Lock()
		if !r.up || r.born != born || r.state == "gone" {
			r.mu.Unlock()
			return
		}
		e := map[string]any{
			"svc": r.service, "addr": r.address, "zone": r.w.zone, "version": r.version, "slots": 32, "state": r.state,
			"coldLeftMs": 0, "seq": r.seq, "born": r.born,
		}
		r.mu.Unlock()
		pause := heartbeat
		if !r.w.store.put("keyed.servers", r.id, e) {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// crash ends the replica at once: its connections are reset.
func (r *replica) crash() {
	r.mu.Lock()
	r.up = false
	server, conns := r.server, r.conns
	r.conns = nil
	r.mu.Unlock()
	r.w.log("replica %s of %s crashes", r.id, r.service)
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = server.Close()
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	h := w.Header()
	id := req.Header.Get("X-Request-Id")
	switch expected := req.Header.Get("X-Expect-Instance"); {
	case req.URL.Path == "/healthz":
		h.Set("X-Instance-Id", r.id)
		return
	case expected != "" && expected != r.id:
		h.Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.w.log("replica %s version %s runs request %s: %s %s last event %q resumes %q", r.id, version, id, req.Method, req.RequestURI,
		req.Header.Get("Last-Event-Id"), req.Header.Get("Resumes"))
	r.w.recordRun(id, r.id)
	h.Set("X-Request-Id", id)
	h.Set("X-Server-Stamp", r.id+"."+version)
	if req.Method == http.MethodPut {
		time.Sleep(workTime)
		_, _ = w.Write([]byte("booked\n"))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	rc := http.NewResponseController(w)
	for n := last + 1; n <= pieces; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, version, r.id); err != nil {
			return
		}
		if rc.Flush() != nil {
			return
		}
		select {
		case <-time.After(pause):
		case <-req.Context().Done():
			return
		}
	}
}
