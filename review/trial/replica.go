package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Replica is a stand-in for a replica of a service.
type Replica struct {
	ID, Service, Version, Zone, Addr string
	// Model is what an engine holds from its start on; empty for a plain service.
	Model string
	Slots int
	// Gap is the pause between two events of a stream, Work the time of another request.
	Gap, Work time.Duration

	store  *Store
	trial  *Trial
	server *http.Server
	born   int64

	mu      sync.Mutex
	state   string
	seq     int64
	stopped bool
	running int
}

// StartReplica starts a replica, which registers itself.
func (t *Trial) StartReplica(r *Replica) *Replica {
	l, err := net.Listen("tcp", net.JoinHostPort(t.IP(), "0"))
	if err != nil {
		panic(err)
	}
	r.store, r.trial, r.Addr, r.born, r.state = t.Store, t, l.Addr().String(), time.Now().UnixMilli(), "ready"
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	go r.heartbeat()
	t.Log("replica %s of %s, version %s, starts", r.ID, r.Service, r.Version)
	return r
}

func (r *Replica) heartbeat() {
	for {
		r.mu.Lock()
		if r.stopped {
			r.mu.Unlock()
			return
		}
		r.write()
		r.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// write writes the entry. r.mu is held.
func (r *Replica) write() {
	e := map[string]any{
		"svc": r.Service, "addr": r.Addr, "zone": r.Zone, "version": r.Version, "slots": r.Slots, "state": r.state,
		"coldLeftMs": 0, "seq": r.seq, "born": r.born,
	}
	if r.Model != "" {
		e["phase"], e["models"] = "colocated", r.models()
	}
	r.store.PutJSON("keyed.servers", r.ID, e)
}

func (r *Replica) models() []map[string]any {
	return []map[string]any{{"name": r.Model, "version": 1, "adapters": []string{}}}
}

// Remove removes the entry of a replica that leaves without having reported it. It goes on
// serving.
func (r *Replica) Remove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.store.Put("keyed.servers", r.ID, nil)
	r.trial.Log("the store accepts that the entry of replica %s is removed; it goes on serving", r.ID)
}

// End ends the process of the replica: its connections are closed.
func (r *Replica) End() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	_ = r.server.Close()
	r.trial.Log("replica %s exits with %d requests running", r.ID, r.running)
}

// ServeHTTP serves requests, reports and orders.
func (r *Replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.ID {
		w.Header().Set("X-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == "/-/report":
		r.mu.Lock()
		report := map[string]any{
			"phase": "colocated", "models": r.models(), "busy": false, "seq": r.seq, "queued": 0, "running": r.running,
			"kvUsed": 0, "kvTotal": 90000, "handles": 0, "born": r.born,
		}
		r.mu.Unlock()
		_ = json.NewEncoder(w).Encode(report)
	case q.URL.Path == "/-/order":
		r.order(w, q)
	case strings.HasPrefix(q.URL.Path, "/-/"):
		w.WriteHeader(http.StatusNotFound)
	case q.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", r.ID)
	default:
		r.run(w, q)
	}
}

func (r *Replica) order(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	r.trial.Log("replica %s gets an order: %s", r.ID, strings.TrimSpace(string(body)))
	var o struct {
		Opcode, Model, Adapter string
	}
	_ = json.Unmarshal(body, &o)
	if o.Opcode == "load" && o.Model == r.Model && o.Adapter == "" {
		return // it holds already
	}
	w.WriteHeader(http.StatusConflict)
}

// run runs a request: a stream if it has a model, otherwise a plain one.
func (r *Replica) run(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	if m, _, _ := strings.Cut(q.Header.Get("X-Model"), "/"); m != r.Model {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	ctx := q.Context()
	if ms, err := strconv.ParseFloat(q.Header.Get("X-Deadline-Ms"), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", "stamp."+r.ID+"."+id)
	if r.Model == "" {
		r.trial.Log("replica %s runs request %s", r.ID, id)
		if !sleep(ctx, r.Work) {
			r.trial.Log("replica %s: the run of %s is cut", r.ID, id)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "answer to %s by %s", id, r.ID)
		return
	}
	r.stream(ctx, w, q, id)
}

// stream writes as many events as output tokens are asked for, after Last-Event-Id.
func (r *Replica) stream(ctx context.Context, w http.ResponseWriter, q *http.Request, id string) {
	_, out, _ := strings.Cut(q.Header.Get("X-Token-Count"), ",")
	events, _ := strconv.Atoi(out)
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	r.trial.Log("replica %s (version %s) runs stream %s from event %d on", r.ID, r.Version, id, first+1)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first + 1; n <= events; n++ {
		if !sleep(ctx, r.Gap) {
			r.trial.Log("replica %s: the run of %s is cut after event %d", r.ID, id, n-1)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, r.Version, r.ID)
		_ = http.NewResponseController(w).Flush()
	}
	r.trial.Log("replica %s has ended stream %s after event %d", r.ID, id, events)
}

// sleep waits and reports whether ctx did not end before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
