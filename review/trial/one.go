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
	"syscall"
	"time"
)

const (
	oneModels = 10
	oneGB     = 72700.0
	diskLoad  = 520 * time.Millisecond
	leaseTime = 3 * time.Second
)

// order is an order that a replica got.
type order struct {
	replica, owner, text string
	at                   time.Time
}

// engine is a stand-in for a replica that has room for one model, with copies of all on its disk.
// It does not check fencing tokens.
type engine struct {
	trial *Trial
	id    string
	addr  string
	born  int64
	got   chan<- order

	mu    sync.Mutex
	held  string
	seq   int64
	busy  bool
	ended bool
}

func (t *Trial) startEngine(id, zone, held string, got chan<- order) *engine {
	l, err := net.Listen("tcp", net.JoinHostPort(t.IP(), "0"))
	if err != nil {
		panic(err)
	}
	e := &engine{trial: t, id: id, addr: l.Addr().String(), born: time.Now().UnixMilli(), got: got, held: held}
	go func() { _ = (&http.Server{Handler: e}).Serve(l) }()
	go func() {
		for {
			e.mu.Lock()
			entry := e.state()
			e.mu.Unlock()
			entry["svc"], entry["addr"], entry["zone"], entry["version"], entry["slots"], entry["state"], entry["coldLeftMs"] = "llm", e.addr, zone, "v1", 64, "ready", 0
			t.Store.PutJSON("keyed.servers", id, entry)
			time.Sleep(heartbeat)
		}
	}()
	return e
}

// state is what the engine says in its entry and in reports. e.mu is held.
func (e *engine) state() map[string]any {
	models := []map[string]any{}
	if e.held != "" {
		models = append(models, map[string]any{"name": e.held, "version": 1, "adapters": []string{}})
	}
	disk := []string{}
	for i := range oneModels {
		disk = append(disk, fmt.Sprintf("m%d", i+1))
	}
	return map[string]any{
		"phase": "colocated", "models": models, "busy": e.busy, "seq": e.seq, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000,
		"handles": 0, "born": e.born, "resident": map[string]any{"inMemory": []string{}, "onDisk": disk},
	}
}

// ServeHTTP serves reports, orders and streams of one event.
func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(q.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch q.URL.Path {
	case "/-/report":
		_ = json.NewEncoder(w).Encode(e.state())
	case "/-/order":
		w.WriteHeader(e.order(body))
	default:
		if q.Header.Get("X-Model") != e.held {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "stamp."+e.id)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "id: 1\ndata: v1 %s\n\n", e.id)
	}
}

// order handles an order and returns the status of the answer. e.mu is held.
func (e *engine) order(body []byte) int {
	var o struct {
		Opcode, Model, Owner string
		Precondition         *int64
	}
	_ = json.Unmarshal(body, &o)
	status := http.StatusAccepted
	switch {
	case e.busy, o.Precondition != nil && *o.Precondition != e.seq:
		status = http.StatusConflict
	case o.Opcode == "load" && o.Model == e.held:
		status = http.StatusOK
	case o.Opcode == "evict":
		e.held = ""
		e.seq++
	case o.Opcode == "load":
		e.seq++
		e.busy = true
		time.AfterFunc(diskLoad, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.busy, e.held = false, o.Model
		})
	}
	text := fmt.Sprintf("replica %s answers %d to an order of %s: %s", e.id, status, o.Owner, strings.TrimSpace(string(body)))
	e.trial.Log("%s", text)
	e.got <- order{e.id, o.Owner, text, time.Now()}
	return status
}

// configureOne writes a configuration with models that do not all fit.
func (t *Trial) configureOne() {
	models := []map[string]any{}
	for i := range oneModels {
		models = append(models, map[string]any{"name": fmt.Sprintf("m%d", i+1), "weightsMb": oneGB, "loadS": 6.0, "adapters": 0, "loraMb": 66.0, "warmS": 0.4, "diskS": diskLoad.Seconds()})
	}
	t.Store.PutJSON("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-chat", "host": "app.example", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 4000, "prio": 0,
			"svc": "llm", "attempts": 2, "sticky": true, "canResume": true, "gapAimMs": 300,
		}},
		"services": []map[string]any{{"name": "llm", "healthPath": "/healthz", "maxConns": 370, "proto": "h1", "tls": false, "engine": map[string]any{
			"slots": 64, "kvTokens": 121394, "kvTokenBytes": 327680, "linkMbps": 260000.0, "stride": 1, "maxCount": 12,
			"hostMb": 0.0, "diskMb": 1100000.0, "weightsMb": 80000.0, "loraSlots": 8, "loadsPerS": 4.2, "models": models,
		}}},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// ask sends a request for a model to a host.
func (t *Trial) ask(h *Host, model, id string) {
	c, err := Connect(h.Front)
	if err != nil {
		t.Log("client: no connection to %s: %v", h.Name, err)
		return
	}
	defer func() { _ = c.Close() }()
	t.Log("client sends %s for %s to %s", id, model, h.Name)
	a := c.exchange("POST /chat/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: "+id+"\r\nX-Model: "+model+
		"\r\nX-Token-Count: 10,1\r\nX-Prompt-Prefix: aa01:5,"+id+":5\r\nX-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nhi", 15*time.Second)
	t.Log("client: %s: %s", id, a)
}

// await returns the next order that a replica got for a model.
func await(got <-chan order, model string, d time.Duration) (order, bool) {
	timeout := time.After(d)
	for {
		select {
		case o := <-got:
			if strings.Contains(o.text, "\""+model+"\"") && strings.Contains(o.text, "load") {
				return o, true
			}
		case <-timeout:
			return order{}, false
		}
	}
}

// playOne: the host that plans is killed right after an order and started again by the platform,
// and then stopped as in a rolling restart. Another host takes over and sends the next order.
func playOne(t *Trial) (broken bool, err error) {
	t.NoFence = true
	t.configureOne()
	got := make(chan order, 1000)
	var mu sync.Mutex
	var all []order
	next := make(chan order, 1000)
	go func() {
		for o := range got {
			mu.Lock()
			all = append(all, o)
			mu.Unlock()
			next <- o
		}
	}()
	for i := range 4 {
		t.startEngine(fmt.Sprintf("i-%d", i+1), []string{"z-a", "z-b", "z-c"}[i%3], fmt.Sprintf("m%d", i+1), got)
	}
	if err := t.StartHosts(6); err != nil {
		return false, err
	}
	time.Sleep(9 * time.Second)
	go t.ask(t.hosts[0], "m5", "00000005")
	first, ok := await(next, "m5", 8*time.Second)
	if !ok {
		return false, fmt.Errorf("no order for m5")
	}
	i := slices.IndexFunc(t.hosts, func(h *Host) bool { return h.Name == first.owner })
	planner, other := t.hosts[i], t.hosts[(i+1)%len(t.hosts)]
	if t.Trouble {
		planner.Kill()
		t.Log("%s, which plans, is killed", planner.Name)
		time.Sleep(300 * time.Millisecond)
		if err := planner.Start(false); err != nil {
			return false, err
		}
		if !planner.WaitReady(2 * time.Second) {
			return false, fmt.Errorf("the host is not ready again in time")
		}
		t.Log("%s is ready again", planner.Name)
	}
	time.Sleep(time.Until(first.at.Add(1300 * time.Millisecond)))
	planner.Signal(syscall.SIGTERM)
	t.Log("%s gets SIGTERM", planner.Name)
	time.Sleep(100 * time.Millisecond)
	go t.ask(other, "m6", "00000006")
	if _, ok := await(next, "m6", 8*time.Second); !ok {
		return false, fmt.Errorf("no order for m6")
	}
	mu.Lock()
	defer mu.Unlock()
	// The rule judges the orders to one replica.
	least := time.Hour
	last := make(map[string]order)
	for _, o := range all {
		if before, ok := last[o.replica]; ok && before.owner != o.owner {
			gap := o.at.Sub(before.at)
			least = min(least, gap)
			t.Log("replica %s gets an order of %s %.3f s after one of %s", o.replica, o.owner, gap.Seconds(), before.owner)
		}
		last[o.replica] = o
	}
	for _, h := range t.hosts {
		for _, line := range h.LogOf("msg=\"lease ") {
			t.Log("own log of %s: %s", h.Name, line)
		}
	}
	t.Log("shortest time between orders of two holders to one replica: %v, leaseMs is %v", least, leaseTime)
	return least < leaseTime, nil
}
