package board

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// publishEvery is the pause between two routine messages to each host.
	publishEvery = 150 * time.Millisecond
	// publishPerHost is the least pause for each host that is told.
	publishPerHost = 3 * time.Millisecond
	// tellRest is the least pause between two rounds of messages, in times of
	// what the last round took, so that they take at most a quarter of the
	// planner's time; it never exceeds the pause of routine messages.
	tellRest = 3
	// forecastSlack and forecastShare are how much a forecast moves before a
	// host is told: at least this long, or this share of the time left.
	forecastSlack = 100 * time.Millisecond
	forecastShare = 0.2
	// idleEvery is the pause on a host that does not plan.
	idleEvery = 250 * time.Millisecond
	// urgentShare is the part of the pause after which news are told at once.
	urgentShare = 8
	// wholeEvery is the least pause between two whole views to a host, which
	// otherwise asks for one when it has missed a message; wholePerEngine is the
	// least pause for each engine and host, which bounds them to 1 MB/s.
	wholeEvery     = 2 * time.Second
	wholePerEngine = 100 * time.Microsecond
	// wholeEngines and leastWholes bound the whole views of one round, since
	// messages that wait for their connection take memory.
	wholeEngines = 30000
	leastWholes  = 10
	// loadUpdates is how many engines a message names of which only the load
	// has changed; the others follow in turn.
	loadUpdates = 60
	// hostsEvery is the least pause between two lists of hosts, hostsPerHost
	// the least for each host.
	hostsEvery   = 500 * time.Millisecond
	hostsPerHost = 10 * time.Millisecond
	// aliveFor is how long a host counts as alive after a message.
	aliveFor = 1200 * time.Millisecond
)

// HubConfig configures a Hub.
type HubConfig struct {
	Self  tamarackknot.HostEntry
	Peers tamarackknot.Peers
	// Hosts returns the registered entry hosts.
	Hosts func() []tamarackknot.HostEntry
	// Held returns the fencing token while this host plans.
	Held func() (fence int64, held bool)
	// LeaseEnd returns the end of the lease's stream while this host plans.
	LeaseEnd func() int64
	// Catalog and Endpoints return how far this host follows these streams.
	Catalog   func() tamarackknot.StreamState
	Endpoints func() tamarackknot.StreamState
	// CatalogSeen is told the version that another host has in force.
	CatalogSeen func(version int64)
	// Demanded is told that a host has requests waiting.
	Demanded func()
	Logger   *log.Logger
}

// Hub is the planner's side: it collects the demand of the hosts and tells
// them the view. It is idle on hosts that do not plan.
type Hub struct {
	cfg     HubConfig
	publish chan struct{}
	local   *Host

	mu        sync.Mutex
	hosts     map[string]*hostState
	forecasts []tamarackknot.ModelForecast
	// engines are those of the view; list has each at its index, nil where none
	// is, and versions counts all their changes.
	engines  map[string]*engineState
	list     []*engineState
	versions int64
	left     bool
	// alive is the list of hosts that was told last, encoded, with the number of
	// its changes.
	alive        json.RawMessage
	aliveVersion int64
	aliveAt      time.Time
}

type hostState struct {
	heardAt time.Time
	leaving bool
	running []tamarackknot.RunCount
	wants   map[[2]string]tamarackknot.ModelWant
	// sent is what the host was last told of each engine, forecasts what it was
	// told of models to come.
	sent         []sentEngine
	next         int // index from which load changes are told
	forecasts    map[modelMessage]time.Time
	wholeAt      time.Time
	number       int64
	aliveVersion int64
	fence        int64
}

// alive reports whether the host was heard of lately.
func (s *hostState) alive(now time.Time) bool { return now.Sub(s.heardAt) < aliveFor }

// sentEngine is what a host was told of an engine; version is 0 if nothing.
type sentEngine struct {
	version int64
	others  int
}

// round is what all messages of one round have in common.
type round struct {
	fence     int64
	now       time.Time
	totals    []int // requests at each engine, by index
	forecasts map[modelMessage]time.Time
	hosts     int
	wholes    int // that may still be told
}

// engineState is an engine of the view in the form of a message, with the
// number of its changes.
type engineState struct {
	id      string
	index   int
	held    []tamarackknot.HeldModel
	message []heldMessage
	version int64
}

// NewHub returns a Hub and registers its handler with cfg.Peers.
func NewHub(cfg HubConfig) *Hub {
	h := &Hub{cfg: cfg, publish: make(chan struct{}, 1), hosts: make(map[string]*hostState), engines: make(map[string]*engineState)}
	cfg.Peers.Handle(methodDemand, h.handleDemand)
	return h
}

// Bind names the host side of the same process.
func (h *Hub) Bind(local *Host) { h.local = local }

func (h *Hub) handleDemand(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m demandMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	h.take(from, m)
	return nil, nil
}

func (h *Hub) take(from string, m demandMessage) {
	now := time.Now()
	h.mu.Lock()
	s := h.state(from)
	s.heardAt, s.leaving, s.running = now, m.Leaving, m.Running
	if m.All {
		clear(s.wants)
	}
	behind := m.Behind && now.Sub(s.wholeAt) >= publishEvery
	if behind {
		s.wholeAt = time.Time{}
	}
	waiting := false
	for _, w := range m.Wants {
		s.wants[[2]string{w.Service, w.Model}] = decodeWant(w, now)
		waiting = waiting || w.Waiting > 0
	}
	h.mu.Unlock()
	if behind {
		h.tellSoon()
	}
	h.cfg.CatalogSeen(m.Catalog)
	if waiting && h.cfg.Demanded != nil {
		h.cfg.Demanded()
	}
}

func (h *Hub) state(name string) *hostState {
	s := h.hosts[name]
	if s == nil {
		s = &hostState{
			wants: make(map[[2]string]tamarackknot.ModelWant), forecasts: make(map[modelMessage]time.Time),
		}
		h.hosts[name] = s
	}
	return s
}

// Demands returns the newest demand of each host that is heard of. What a
// silent host had waiting is void; its history stays.
func (h *Hub) Demands() []tamarackknot.HostDemand {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var out []tamarackknot.HostDemand
	for name, s := range h.hosts {
		d := tamarackknot.HostDemand{Host: name, Leaving: s.leaving}
		alive := s.alive(now)
		if alive {
			d.Running = s.running
		}
		for _, w := range s.wants {
			if !alive {
				w.Waiting, w.Tight, w.Adapters = 0, 0, nil
			}
			d.Wants = append(d.Wants, w)
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b tamarackknot.HostDemand) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Publish has the hosts told a new view, at once if now is set.
func (h *Hub) Publish(v tamarackknot.FleetView, now bool) {
	h.mu.Lock()
	h.setView(v)
	h.mu.Unlock()
	if now {
		h.tellSoon()
	}
}

func (h *Hub) tellSoon() {
	wait.Wake(h.publish)
}

// setView takes a view and notes which engines have changed.
func (h *Hub) setView(v tamarackknot.FleetView) {
	h.forecasts = v.Forecasts
	for id, e := range v.Engines {
		s := h.engines[id]
		if s != nil && slices.EqualFunc(s.held, e.Held, sameHeld) {
			continue
		}
		h.versions++
		var index int
		if s != nil {
			index = s.index
		} else {
			index = h.freeIndex()
		}
		s = &engineState{id: id, index: index, held: e.Held, version: h.versions}
		h.list[index] = s
		for _, held := range e.Held {
			s.message = append(s.message, heldMessage{Model: held.Name, Adapters: held.Adapters})
		}
		h.engines[id] = s
	}
	for id, s := range h.engines {
		if _, ok := v.Engines[id]; !ok {
			h.list[s.index] = nil
			delete(h.engines, id)
		}
	}
}

func (h *Hub) freeIndex() int {
	if len(h.engines) < len(h.list) {
		return slices.Index(h.list, nil)
	}
	h.list = append(h.list, nil)
	return len(h.list) - 1
}

func sameHeld(a, b tamarackknot.HeldModel) bool {
	return a.Name == b.Name && slices.Equal(a.Adapters, b.Adapters)
}

// Leave tells the hosts that this host no longer plans.
func (h *Hub) Leave(ctx context.Context) {
	fence, held := h.cfg.Held()
	if !held {
		return
	}
	h.mu.Lock()
	h.left = true
	h.mu.Unlock()
	for _, host := range h.cfg.Hosts() {
		if host.Name != h.cfg.Self.Name {
			h.send(ctx, host.Name, viewMessage{Fence: fence, Leaving: true})
		}
	}
}

// Run tells the hosts the view while this host plans, until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	var told, rested time.Time
	for {
		// Many hosts are told less often: the planner's share of a core bounds
		// the messages that it can send.
		every := min(max(publishEvery, time.Duration(len(h.cfg.Hosts()))*publishPerHost), heardFor/3)
		if _, held := h.cfg.Held(); !held {
			every = idleEvery
		}
		timer := time.NewTimer(time.Until(told.Add(every)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-h.publish:
			time.Sleep(time.Until(told.Add(every / urgentShare)))
		}
		timer.Stop()
		time.Sleep(time.Until(rested))
		told = time.Now()
		h.mu.Lock()
		left := h.left
		h.mu.Unlock()
		if fence, held := h.cfg.Held(); held && !left {
			h.tell(ctx, fence)
			ended := time.Now()
			rested = ended.Add(min(tellRest*ended.Sub(told), every))
		}
	}
}

func (h *Hub) tell(ctx context.Context, fence int64) {
	registered := h.cfg.Hosts()
	r := h.round(fence, registered, time.Now())
	for _, host := range registered {
		m := h.message(host.Name, r)
		if host.Name == h.cfg.Self.Name {
			h.local.take(host.Name, m)
			continue
		}
		h.send(ctx, host.Name, m)
	}
}

func (h *Hub) round(fence int64, registered []tamarackknot.HostEntry, now time.Time) *round {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &round{
		fence: fence, now: now, hosts: len(registered), totals: h.totals(now),
		forecasts: make(map[modelMessage]time.Time),
		wholes:    max(leastWholes, wholeEngines/max(len(h.engines), 1)),
	}
	for _, f := range h.forecasts {
		k := modelMessage{f.Service, f.Model}
		if at, ok := r.forecasts[k]; !ok || f.ReadyAt.Before(at) {
			r.forecasts[k] = f.ReadyAt
		}
	}
	h.listAlive(registered, now)
	return r
}

// listAlive renews the list of the hosts that callers may be sent to.
func (h *Hub) listAlive(registered []tamarackknot.HostEntry, now time.Time) {
	if now.Sub(h.aliveAt) < max(hostsEvery, time.Duration(len(registered))*hostsPerHost) {
		return
	}
	var out []tamarackknot.HostEntry
	for _, host := range registered {
		s := h.hosts[host.Name]
		if s != nil && !s.leaving && s.alive(now) {
			out = append(out, host)
		}
	}
	if len(out) == 0 {
		return
	}
	data, err := json.Marshal(out)
	if err != nil {
		h.cfg.Logger.Error("list of hosts not encoded", "error", err)
		return
	}
	if !bytes.Equal(data, h.alive) {
		h.alive, h.aliveAt = data, now
		h.aliveVersion++
	}
}

// message builds what a host is told: what changed since the last message, or
// all.
func (h *Hub) message(host string, r *round) viewMessage {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state(host)
	s.number++
	m := viewMessage{
		Fence: r.fence, Number: s.number, Lease: h.cfg.LeaseEnd(),
		Catalog: encodeStream(h.cfg.Catalog(), r.now), Endpoints: encodeStream(h.cfg.Endpoints(), r.now),
	}
	pause := max(wholeEvery, time.Duration(r.hosts*len(h.engines))*wholePerEngine)
	if s.fence != r.fence || r.now.Sub(s.wholeAt) >= pause {
		if r.wholes == 0 {
			// The host is told that the planner lives; it gets all in its turn.
			s.wholeAt = time.Time{}
			return m
		}
		r.wholes--
		m.All, m.Planner, m.Registered = true, &h.cfg.Self, r.hosts
		s.fence, s.wholeAt, s.aliveVersion = r.fence, r.now, 0
		clear(s.sent)
		clear(s.forecasts)
	}
	if s.aliveVersion != h.aliveVersion {
		s.aliveVersion = h.aliveVersion
		m.Hosts = h.alive
	}
	h.loads(s, &m, r.totals)
	s.foretell(&m, r.forecasts, r.now)
	return m
}

// loads adds the engines that changed: all whose models did, and a bounded
// number of those whose load did.
func (h *Hub) loads(s *hostState, m *viewMessage, totals []int) {
	if missing := len(h.list) - len(s.sent); missing > 0 {
		s.sent = append(s.sent, make([]sentEngine, missing)...)
	}
	own := make(map[int]int, len(s.running))
	for _, c := range s.running {
		if e := h.engines[c.Endpoint]; e != nil {
			own[e.index] += c.Count
		}
	}
	left, first := loadUpdates, s.next
	for k := range h.list {
		i := (first + k) % len(h.list)
		e := h.list[i]
		if e == nil {
			continue
		}
		now := sentEngine{e.version, max(totals[i]-own[i], 0)}
		last := s.sent[i]
		if last == now {
			continue
		}
		em := engineMessage{ID: e.id, Others: now.others, Same: last.version == now.version}
		if em.Same {
			if left == 0 {
				continue
			}
			left--
			s.next = (i + 1) % len(h.list)
		} else {
			em.Held = e.message
		}
		s.sent[i] = now
		m.Engines = append(m.Engines, em)
	}
}

// foretell adds the forecasts that moved since the host was told.
func (s *hostState) foretell(m *viewMessage, forecasts map[modelMessage]time.Time, now time.Time) {
	for k := range s.forecasts {
		if _, ok := forecasts[k]; !ok {
			delete(s.forecasts, k)
			m.Settled = append(m.Settled, k)
		}
	}
	for k, at := range forecasts {
		slack := max(forecastSlack, time.Duration(forecastShare*float64(at.Sub(now))))
		if last, ok := s.forecasts[k]; ok && at.Sub(last).Abs() <= slack {
			continue
		}
		s.forecasts[k] = at
		m.Forecasts = append(m.Forecasts, forecastMessage{Service: k.Service, Model: k.Model, ReadyMs: at.Sub(now).Milliseconds()})
	}
}

// totals sums up the requests at each engine, by index.
func (h *Hub) totals(now time.Time) []int {
	out := make([]int, len(h.list))
	for _, s := range h.hosts {
		if !s.alive(now) {
			continue
		}
		for _, r := range s.running {
			if e := h.engines[r.Endpoint]; e != nil {
				out[e.index] += r.Count
			}
		}
	}
	return out
}

func (h *Hub) send(ctx context.Context, host string, m viewMessage) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(sendTime))
	defer cancel()
	if err := h.cfg.Peers.Notify(ctx, host, methodView, m); err != nil {
		h.cfg.Logger.Debug("view not sent", "host", host, "error", err)
		// What the host knows is uncertain: it is told all.
		h.mu.Lock()
		h.state(host).wholeAt = time.Time{}
		h.mu.Unlock()
	}
}
