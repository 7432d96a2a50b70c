package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	replicaMb = 200000.0
	modelMb   = 72700.0
	loraSlots = 8
	loadTime  = 6 * time.Second
	diskTime  = 520 * time.Millisecond
	warmTime  = 400 * time.Millisecond
	loraTime  = 10 * time.Millisecond
	runTime   = 20 * time.Millisecond
	beatTime  = 1200 * time.Millisecond
)

// order is an order that a replica received, as it came.
type order struct {
	Opcode       string `json:"opcode"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Precondition *int64 `json:"precondition"`
	Owner        string `json:"owner"`
	Fence        *int64 `json:"fence"`
}

// receivedOrder is an order with its answer and the time at which the replica read it.
type receivedOrder struct {
	order
	status int
	at     time.Time
}

// model engine that a replica holds: its adapters.
type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// engine is a stand-in of a model replica: it carries out orders, and answers requests for what it
// holds.
type engine struct {
	w    *world
	id   string
	addr string
	svc  string
	born int64

	voice sync.RWMutex // held for writing while the replica is silent
	link  *link        // between the hosts and the replica; nil without one

	mu       sync.Mutex
	models   []heldModel
	inMemory []string
	seq      int64
	beat     int64
	busy     bool
	running  map[string]int
	received []receivedOrder
	ran      []ranRequest
}

// startEngine starts a replica that holds some models.
func (w *world) startEngine(id, svc string, i int, models ...string) (*engine, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.net, 100+i))
	if err != nil {
		return nil, err
	}
	e := &engine{w: w, id: id, addr: l.Addr().String(), svc: svc, born: time.Now().UnixMilli(), running: make(map[string]int)}
	for _, m := range models {
		e.models = append(e.models, heldModel{Name: m, Version: 1, Adapters: []string{}})
		e.inMemory = append(e.inMemory, m)
	}
	stop := make(chan struct{})
	go func() {
		for {
			e.heartbeat()
			select {
			case <-time.After(beatTime):
			case <-stop:
				return
			}
		}
	}()
	server := &http.Server{Handler: e}
	listener := net.Listener(l)
	if w.lossy {
		// The hosts reach the replica over a link.
		if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		e.link = &link{to: listener.Addr().String()}
		go e.link.serve(l)
	}
	go func() { _ = server.Serve(listener) }()
	w.onClose(func() { close(stop); _ = server.Close(); _ = l.Close() })
	return e, nil
}

// state returns what the replica says of itself. e.mu is held.
func (e *engine) state() map[string]any {
	running := 0
	for _, n := range e.running {
		running += n
	}
	return map[string]any{
		"phase": "colocated", "models": e.models, "born": e.born,
		"resident": map[string]any{"inMemory": e.inMemory, "onDisk": e.inMemory},
		"busy":     e.busy, "seq": e.seq, "queued": 0, "running": running, "kvUsed": 0, "kvTotal": 154482, "handles": 0,
		"pending": []string{}, "state": "ready",
	}
}

func (e *engine) heartbeat() {
	e.voice.RLock()
	defer e.voice.RUnlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beat++
	entry := map[string]any{
		"svc": e.svc, "addr": e.addr, "zone": "midlands-a", "version": "1", "slots": 64, "coldLeftMs": 0, "seq": e.beat,
	}
	for _, name := range []string{"phase", "models", "resident", "born", "state"} {
		entry[name] = e.state()[name]
	}
	e.w.put("keyed.servers", e.id, entry)
}

// fallSilent makes the replica read and answer nothing for some time; then it goes on.
func (e *engine) fallSilent(d time.Duration) {
	e.voice.Lock()
	e.w.logf("replica %s falls silent for %v", e.id, d)
	time.Sleep(d)
	e.w.logf("replica %s goes on", e.id)
	e.voice.Unlock()
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.voice.RLock()
	e.voice.RUnlock() //nolint:staticcheck // waits while the replica is silent
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/-/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		answer(w, http.StatusOK, e.state())
	case "/-/order":
		var o order
		if json.Unmarshal(body, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.WriteHeader(e.receive(o))
	case "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
	default:
		e.serve(w, r, string(body))
	}
}

// receive carries an order out and returns the status of the answer.
func (e *engine) receive(o order) (status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer func() {
		e.received = append(e.received, receivedOrder{o, status, time.Now()})
		e.w.logf("replica %s reads order %s %s %s owner %s fence %d: %d", e.id, o.Opcode, o.Model, o.Adapter, o.Owner, value(o.Fence), status)
	}()
	held := slices.IndexFunc(e.models, func(m heldModel) bool { return m.Name == o.Model })
	switch {
	case o.Owner == "" || o.Fence == nil || o.Opcode != "load" && o.Opcode != "evict":
		return http.StatusBadRequest
	case e.busy || o.Precondition != nil && *o.Precondition != e.seq:
		return http.StatusConflict
	case o.Adapter != "":
		return e.orderAdapter(o, held)
	case o.Opcode == "load" && held >= 0, o.Opcode == "evict" && held < 0:
		return http.StatusOK
	case o.Opcode == "evict":
		e.seq++
		e.models = slices.Delete(e.models, held, held+1)
		return http.StatusAccepted
	}
	e.seq++
	e.busy = true
	took := loadTime
	if slices.Contains(e.inMemory, o.Model) {
		took = warmTime
	}
	time.AfterFunc(took, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy = false
		e.models = append(e.models, heldModel{Name: o.Model, Version: 1, Adapters: []string{}})
		if !slices.Contains(e.inMemory, o.Model) {
			e.inMemory = append(e.inMemory, o.Model)
		}
	})
	return http.StatusAccepted
}

func value(n *int64) int64 {
	if n == nil {
		return -1
	}
	return *n
}

// orderAdapter carries out an order for an adapter. e.mu is held.
func (e *engine) orderAdapter(o order, held int) int {
	if held < 0 {
		return http.StatusConflict
	}
	m := &e.models[held]
	at := slices.Index(m.Adapters, o.Adapter)
	switch {
	case o.Opcode == "load" && at >= 0, o.Opcode == "evict" && at < 0:
		return http.StatusOK
	case o.Opcode == "evict":
		e.seq++
		m.Adapters = slices.Delete(slices.Clone(m.Adapters), at, at+1)
		return http.StatusOK
	}
	e.seq++
	time.AfterFunc(loraTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for i := range e.models {
			if e.models[i].Name == o.Model && !slices.Contains(e.models[i].Adapters, o.Adapter) {
				e.models[i].Adapters = append(slices.Clone(e.models[i].Adapters), o.Adapter)
			}
		}
	})
	return http.StatusAccepted
}

// serve runs a request for a model that the replica holds.
func (e *engine) serve(w http.ResponseWriter, r *http.Request, body string) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	e.mu.Lock()
	holds := slices.ContainsFunc(e.models, func(m heldModel) bool {
		return m.Name == model && (adapter == "" || slices.Contains(m.Adapters, adapter))
	})
	if !holds {
		e.mu.Unlock()
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.running[model]++
	e.ran = append(e.ran, ranRequest{e.id, r.Method, r.RequestURI, r.Host, r.Header, body, time.Now()})
	e.mu.Unlock()
	time.Sleep(runTime)
	e.mu.Lock()
	e.running[model]--
	e.mu.Unlock()
	w.Header().Set("X-Server-Stamp", e.id+"."+id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 3; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id)
	}
}
