package commands

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"tamarackknot.example/tamarackknot/fake"
)

const (
	maxFaultBytes = 1 << 16
	logName       = "log"
	hostsName     = "hosts"
)

// logFaults is the body of POST /faults for the log.
type logFaults struct {
	Name        string `json:"name"`
	ReadsDown   bool   `json:"readsDown"`
	AppendsDown bool   `json:"appendsDown"`
	Hang        bool   `json:"hang"`
	DelayMillis int64  `json:"delayMillis"`
	LoseAnswers int    `json:"loseAnswers"`
}

// hostsFaults is the body of POST /faults for the host list.
type hostsFaults struct {
	Name string `json:"name"`
	Down bool   `json:"down"`
	// LagMillis replaces --hostListLag.
	LagMillis *int64 `json:"lagMillis,omitempty"`
}

// storeFaults is the body of POST /faults for all weight stores ("store") or
// the store of one deployment ("store/<deployment>").
type storeFaults struct {
	Name string `json:"name"`
	// Speed is a factor on the speed of all loads, 1 if omitted.
	Speed *float64 `json:"speed,omitempty"`
}

// endpointFaults is the body of POST /faults for an endpoint. Name is its name in
// the host list.
type endpointFaults struct {
	Name             string  `json:"name"`
	Leaving          bool    `json:"leaving"`
	Die              bool    `json:"die"`
	Hang             bool    `json:"hang"`
	Slow             float64 `json:"slow"`
	Cut              bool    `json:"cut"`
	Truncate         bool    `json:"truncate"`
	Refuse           bool    `json:"refuse"`
	LoseAnswer       bool    `json:"loseAnswer"`
	DelayOrderMillis int64   `json:"delayOrderMillis"`
}

type faultsResponse struct {
	Stores    map[string]float64 `json:"stores"`
	Endpoints []endpointFaults   `json:"endpoints"`
}

type storeResponse struct {
	Deployment string  `json:"deployment"`
	Speed      float64 `json:"speed"`
	Active     int     `json:"active"`
	Peak       int     `json:"peak"`
	Started    int     `json:"started"`
	Refused    int     `json:"refused"`
}

type historyResponse struct {
	Loaded     int      `json:"loaded"`
	PeakLoaded int      `json:"peakLoaded"`
	Exceeded   []string `json:"exceeded"`
	NoMemory   int      `json:"noMemory"`
	StaleFence int      `json:"staleFence"`
	Cancelled  int      `json:"cancelled"`
	// PeakReplicas is the highest number of replicas of each target that were in
	// memory at the same time.
	PeakReplicas map[string]int `json:"peakReplicas"`
	// Runs is the number of executions by request ID.
	Runs map[string]int `json:"runs"`
}

// control handles the requests that change faults and read counters.
type control struct {
	*standin
	mu sync.Mutex // serializes requests that change faults
}

func (st *standin) handler() http.Handler {
	c := &control{standin: st}
	p := fake.NewPlatform(st.log, st.hosts)
	mux := http.NewServeMux()
	mux.Handle("/log/", p)
	mux.Handle("/hosts", p)
	mux.Handle("/hosts/", p)
	mux.HandleFunc("GET /faults", c.serveFaults)
	mux.HandleFunc("POST /faults", c.serveSetFaults)
	mux.HandleFunc("GET /store", c.serveStore)
	mux.HandleFunc("GET /history", c.serveHistory)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		_, _ = w.Write([]byte("ok\n"))
	})
	return mux
}

func (c *control) serveFaults(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := faultsResponse{Stores: make(map[string]float64)}
	for name, s := range c.stores {
		out.Stores[name] = s.speed
	}
	for _, name := range c.endpointNames {
		srv := c.servers[name]
		f := srv.endpoint.Faults()
		out.Endpoints = append(out.Endpoints, endpointFaults{
			Name: name, Leaving: srv.leaving, Die: f.Die, Hang: f.Hang, Slow: f.Slow, Cut: f.Cut, Truncate: f.Truncate,
			Refuse: f.Refuse, LoseAnswer: f.LoseAnswer, DelayOrderMillis: f.DelayOrder.Milliseconds(),
		})
	}
	writeJSON(w, http.StatusOK, out)
}

// serveSetFaults replaces the faults of the named component. Faults that the
// request omits are cleared.
func (c *control) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	body := json.RawMessage{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, fmt.Errorf("body is not JSON: %w", err))
		return
	}
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(body, &named); err != nil {
		writeError(w, http.StatusBadRequest, fmt.Errorf("body is not an object with a name: %w", err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.setFaults(r, named.Name, body); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	c.logger.Info("faults changed", "name", named.Name, "faults", string(body))
	w.WriteHeader(http.StatusNoContent)
}

func (c *control) setFaults(r *http.Request, name string, body json.RawMessage) error {
	deployment, isStore := strings.CutPrefix(name, storeName+"/")
	switch {
	case name == logName:
		return c.setLogFaults(body)
	case name == hostsName:
		return c.setHostsFaults(body)
	case name == storeName:
		return c.setStoreFaults(slices.Collect(maps.Keys(c.stores)), body)
	case isStore && c.stores[deployment] != nil:
		return c.setStoreFaults([]string{deployment}, body)
	}
	srv, ok := c.servers[name]
	if !ok {
		return fmt.Errorf("field name is %q: allowed are log, hosts, store, store/<deployment> and the names of endpoints", name)
	}
	var f endpointFaults
	if err := decode(body, &f); err != nil {
		return err
	}
	if f.Slow < 0 {
		return fmt.Errorf("field slow is %g: allowed is a factor of at least 0", f.Slow)
	}
	delay, err := millis("delayOrderMillis", f.DelayOrderMillis)
	if err != nil {
		return err
	}
	return c.setEndpointFaults(r.Context(), srv, fake.Faults{
		Die: f.Die, Hang: f.Hang, Slow: f.Slow, Cut: f.Cut, Truncate: f.Truncate,
		Refuse: f.Refuse, LoseAnswer: f.LoseAnswer, DelayOrder: delay,
	}, f.Leaving)
}

func (c *control) setLogFaults(body json.RawMessage) error {
	var f logFaults
	if err := decode(body, &f); err != nil {
		return err
	}
	delay, err := millis("delayMillis", f.DelayMillis)
	if err != nil {
		return err
	}
	c.log.SetFaults(fake.LogFaults{
		ReadsDown: f.ReadsDown, AppendsDown: f.AppendsDown, Hang: f.Hang, Delay: delay, LoseAnswers: f.LoseAnswers,
	})
	return nil
}

func (c *control) setHostsFaults(body json.RawMessage) error {
	var f hostsFaults
	if err := decode(body, &f); err != nil {
		return err
	}
	lag := c.cfg.hostListLag
	if f.LagMillis != nil {
		d, err := millis("lagMillis", *f.LagMillis)
		if err != nil {
			return err
		}
		lag = d
	}
	c.hosts.SetDown(f.Down)
	c.hosts.SetLag(lag)
	return nil
}

func (c *control) setStoreFaults(deployments []string, body json.RawMessage) error {
	var f storeFaults
	if err := decode(body, &f); err != nil {
		return err
	}
	speed := 1.0
	if f.Speed != nil {
		speed = *f.Speed
	}
	if speed < 0 {
		return fmt.Errorf("field speed is %g: allowed is a factor of at least 0", speed)
	}
	for _, d := range deployments {
		c.stores[d].SetSpeed(speed)
		c.stores[d].speed = speed
	}
	return nil
}

func (c *control) serveStore(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]storeResponse, 0, len(c.stores))
	for _, name := range slices.Sorted(maps.Keys(c.stores)) {
		s := c.stores[name]
		n := s.Stats()
		out = append(out, storeResponse{
			Deployment: name, Speed: s.speed, Active: n.Active, Peak: n.Peak, Started: n.Started, Refused: n.Refused,
		})
	}
	writeJSON(w, http.StatusOK, out)
}

func (c *control) serveHistory(w http.ResponseWriter, _ *http.Request) {
	h := c.history
	now, peak := h.TotalReplicas()
	writeJSON(w, http.StatusOK, historyResponse{
		Loaded: now, PeakLoaded: peak, Exceeded: append([]string{}, h.Exceeded()...), NoMemory: h.NoMemory(), StaleFence: h.StaleFence(),
		Cancelled: h.Cancelled(), PeakReplicas: h.AllPeakReplicas(), Runs: h.RunCounts(),
	})
}

// decode rejects fields that out does not have. Its error lists the fields that
// are allowed.
func decode(body json.RawMessage, out any) error {
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return fmt.Errorf("%w: allowed are the fields %s", err, strings.Join(fieldNames(out), ", "))
	}
	return nil
}

func fieldNames(out any) []string {
	var names []string
	for _, f := range reflect.VisibleFields(reflect.TypeOf(out).Elem()) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}

func millis(field string, n int64) (time.Duration, error) {
	if n < 0 || n > maxDelay.Milliseconds() {
		return 0, fmt.Errorf("field %s is %d: allowed is 0 to %d", field, n, maxDelay.Milliseconds())
	}
	return time.Duration(n) * time.Millisecond, nil
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, struct {
		Error string `json:"error"`
	}{err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
