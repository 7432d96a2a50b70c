package board

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
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
	// wholeEvery is the pause between two whole views, which replace what a
	// broken connection has lost.
	wholeEvery = 2 * time.Second
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

	mu    sync.Mutex
	hosts map[string]*hostState
	view  tamarackknot.FleetView
	// engines are those of view; versions counts all their changes.
	engines  map[string]*engineState
	versions int64
	left     bool
}

type hostState struct {
	heardAt time.Time
	leaving bool
	running []tamarackknot.RunCount
	wants   map[[2]string]tamarackknot.ModelWant
	// sent is what the host was last told of each engine, forecasts what it was
	// told of models to come.
	sent      map[string]sentEngine
	forecasts map[modelMessage]time.Time
	wholeAt   time.Time
	number    int64
	fence     int64
}

// sentEngine is what a host was told of an engine.
type sentEngine struct {
	version int64
	others  int
}

// engineState is an engine of the view in the form of a message, with the
// number of its changes.
type engineState struct {
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
			wants: make(map[[2]string]tamarackknot.ModelWant), sent: make(map[string]sentEngine),
			forecasts: make(map[modelMessage]time.Time),
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
		alive := now.Sub(s.heardAt) < aliveFor
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
	select {
	case h.publish <- struct{}{}:
	default:
	}
}

// setView takes a view and notes which engines have changed.
func (h *Hub) setView(v tamarackknot.FleetView) {
	h.view = v
	for id, e := range v.Engines {
		s := h.engines[id]
		if s != nil && slices.EqualFunc(s.held, e.Held, sameHeld) {
			continue
		}
		h.versions++
		s = &engineState{held: e.Held, version: h.versions}
		for _, held := range e.Held {
			s.message = append(s.message, heldMessage{Model: held.Name, Adapters: held.Adapters})
		}
		h.engines[id] = s
	}
	for id := range h.engines {
		if _, ok := v.Engines[id]; !ok {
			delete(h.engines, id)
		}
	}
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
	now := time.Now()
	registered := h.cfg.Hosts()
	alive := h.alive(registered, now)
	h.mu.Lock()
	totals := h.totals(now)
	h.mu.Unlock()
	forecasts := make(map[modelMessage]time.Time)
	for _, f := range h.forecasts() {
		k := modelMessage{f.Service, f.Model}
		if at, ok := forecasts[k]; !ok || f.ReadyAt.Before(at) {
			forecasts[k] = f.ReadyAt
		}
	}
	for _, host := range registered {
		m := h.message(host.Name, fence, alive, totals, forecasts, now)
		if host.Name == h.cfg.Self.Name {
			h.local.take(host.Name, m)
			continue
		}
		h.send(ctx, host.Name, m)
	}
}

// alive returns the hosts that callers may be sent to.
func (h *Hub) alive(registered []tamarackknot.HostEntry, now time.Time) []tamarackknot.HostEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []tamarackknot.HostEntry
	for _, host := range registered {
		s := h.hosts[host.Name]
		if s != nil && !s.leaving && now.Sub(s.heardAt) < aliveFor {
			out = append(out, host)
		}
	}
	return out
}

// message builds what a host is told: the engines that changed since the last
// message, or all.
func (h *Hub) message(
	host string, fence int64, alive []tamarackknot.HostEntry, totals map[string]int, forecasts map[modelMessage]time.Time, now time.Time,
) viewMessage {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state(host)
	s.number++
	m := viewMessage{Fence: fence, Number: s.number, Lease: h.cfg.LeaseEnd(), Catalog: encodeStream(h.cfg.Catalog(), now), Endpoints: encodeStream(h.cfg.Endpoints(), now)}
	if s.fence != fence || now.Sub(s.wholeAt) >= wholeEvery {
		m.All, m.Hosts, m.Planner, m.Registered = true, alive, &h.cfg.Self, len(h.cfg.Hosts())
		s.fence, s.wholeAt = fence, now
		clear(s.sent)
		clear(s.forecasts)
	}
	own := make(map[string]int)
	for _, r := range s.running {
		own[r.Endpoint] += r.Count
	}
	for id, e := range h.engines {
		now := sentEngine{e.version, max(totals[id]-own[id], 0)}
		last, told := s.sent[id]
		if told && last == now {
			continue
		}
		s.sent[id] = now
		em := engineMessage{ID: id, Others: now.others, Same: told && last.version == now.version}
		if !em.Same {
			em.Held = e.message
		}
		m.Engines = append(m.Engines, em)
	}
	s.foretell(&m, forecasts, now)
	return m
}

// forecasts returns those of the view.
func (h *Hub) forecasts() []tamarackknot.ModelForecast {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Forecasts
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

func (h *Hub) totals(now time.Time) map[string]int {
	out := make(map[string]int)
	for _, s := range h.hosts {
		if now.Sub(s.heardAt) > aliveFor {
			continue
		}
		for _, r := range s.running {
			out[r.Endpoint] += r.Count
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
