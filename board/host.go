// Package board carries what entry hosts tell each other about load, demand
// and placement: every host tells the planner its demand, and the planner
// tells every host what the model engines hold. The traffic grows with the
// number of hosts, not with its square.
package board

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// heardFor is how long the planner counts as heard after a message.
	heardFor = 900 * time.Millisecond
	// tellEvery is the shortest pause between two routine messages of a host,
	// keepAlive the longest.
	tellEvery = 100 * time.Millisecond
	keepAlive = 400 * time.Millisecond
	// hostsFor is how long the last list of hosts is given to callers after
	// the planner falls silent.
	hostsFor = 30 * time.Second
	sendTime = 500 * time.Millisecond
)

// HostConfig configures a Host.
type HostConfig struct {
	Self  tamarackknot.HostEntry
	Peers tamarackknot.Peers
	// Demand returns what this host has running and what waits.
	Demand func(all bool) tamarackknot.HostDemand
	// Viewed is told of each message of the planner, already merged.
	Viewed func(tamarackknot.FleetView)
	// Catalog returns the version of the configuration in force here.
	Catalog func() int64
	// Followed is told how far the planner follows the streams.
	Followed func(catalog, endpoints tamarackknot.StreamState)
	// Local is the hub of this host, told directly when this host plans.
	Local  *Hub
	Logger *log.Logger
}

// Host is the side of every entry host.
type Host struct {
	cfg    HostConfig
	urgent chan struct{}

	mu      sync.Mutex
	planner string
	address string // peer address of the planner
	fence   int64
	heardAt time.Time
	hosts   []tamarackknot.HostEntry
	hostsAt time.Time
	// hostsFence is the fencing token of the planner that hosts are from.
	hostsFence int64
	// registered is the number of registered hosts, 0 while it is not known.
	registered int
	leaseEnd   int64 // as the planner's last message names it
	told       bool  // the planner has had all of the demand
	leaving    bool
	// number is that of the planner's last message; behind says that one before
	// is missing.
	number int64
	behind bool
	// held and forecasts are what the planner has told so far.
	held      map[string][]tamarackknot.HeldModel
	forecasts map[modelMessage]time.Time
}

// NewHost returns a Host and registers its handler with cfg.Peers.
func NewHost(cfg HostConfig) *Host {
	h := &Host{
		cfg: cfg, urgent: make(chan struct{}, 1),
		held: make(map[string][]tamarackknot.HeldModel), forecasts: make(map[modelMessage]time.Time),
	}
	cfg.Peers.Handle(methodView, h.handleView)
	return h
}

// Heard reports whether the planner was heard of lately.
func (h *Host) Heard() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heard()
}

func (h *Host) heard() bool { return !h.heardAt.IsZero() && time.Since(h.heardAt) < heardFor }

// Planner returns the name of the planner heard last.
func (h *Host) Planner() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.planner
}

// LeaseSaid returns the end of the lease's stream as the planner named it last,
// and how long ago.
func (h *Host) LeaseSaid() (end int64, age time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.heardAt.IsZero() || h.leaseEnd == 0 {
		return 0, 0, false
	}
	return h.leaseEnd, time.Since(h.heardAt), true
}

// Hosts returns the entry hosts that the planner hears from, nil if that is
// not known.
func (h *Host) Hosts() []tamarackknot.HostEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hostsAt.IsZero() || time.Since(h.hostsAt) > hostsFor {
		return nil
	}
	return h.hosts
}

// PeerAddress returns the peer address of the planner or of a host that it has
// named.
func (h *Host) PeerAddress(host string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if host == h.planner && h.address != "" {
		return h.address, true
	}
	for _, e := range h.hosts {
		if e.Name == host {
			return e.PeerAddress, true
		}
	}
	return "", false
}

// Registered returns the number of registered hosts, alive or not; 0 means that
// it is not known.
func (h *Host) Registered() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registered
}

// Urgent has the demand sent at once.
func (h *Host) Urgent() {
	wait.Wake(h.urgent)
}

// Leave tells the planner that this host takes no new requests.
func (h *Host) Leave() {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.Urgent()
}

func (h *Host) handleView(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m viewMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	h.take(from, m)
	return nil, nil
}

// take merges a message. A message of a planner with an older fencing token is
// void: its sender has lost the lease.
func (h *Host) take(from string, m viewMessage) {
	now := time.Now()
	h.mu.Lock()
	if m.Fence < h.fence {
		h.mu.Unlock()
		return
	}
	if m.Fence > h.fence || from != h.planner {
		h.cfg.Logger.Info("planner heard", "planner", from, "fence", m.Fence, "before", h.planner)
		h.planner, h.fence, h.told = from, m.Fence, false
		h.number, h.behind = 0, false
		clear(h.held)
		clear(h.forecasts)
	}
	h.behind = !m.All && !m.Leaving && (h.behind || m.Number != h.number+1)
	h.number, h.leaseEnd = m.Number, m.Lease
	h.heardAt = now
	if m.Leaving {
		h.heardAt = time.Time{}
	}
	if m.Planner != nil {
		h.address = m.Planner.PeerAddress
	}
	if m.Registered > 0 {
		h.registered = m.Registered
	}
	h.takeHosts(m.Hosts, now)
	missing := !h.told || h.behind
	v := h.merge(m, now)
	h.mu.Unlock()
	if missing {
		h.Urgent()
	}
	v.Planner, v.Fence = from, m.Fence
	h.cfg.Viewed(v)
	if from != h.cfg.Self.Name {
		h.cfg.Followed(decodeStream(m.Catalog, now), decodeStream(m.Endpoints, now))
	}
}

// takeHosts takes a list of hosts; without one, that of the message before holds
// on unless a message is missing.
func (h *Host) takeHosts(list json.RawMessage, now time.Time) {
	var hosts []tamarackknot.HostEntry
	switch {
	case len(list) > 0:
		if err := json.Unmarshal(list, &hosts); err != nil {
			h.cfg.Logger.Error("list of hosts not decoded", "planner", h.planner, "error", err)
			return
		}
		h.hosts, h.hostsAt, h.hostsFence = hosts, now, h.fence
	case h.hostsFence == h.fence && !h.behind:
		h.hostsAt = now
	}
}

// merge completes a message with what was told before: the engines that it
// names, and all forecasts.
func (h *Host) merge(m viewMessage, now time.Time) tamarackknot.FleetView {
	if m.All {
		clear(h.held)
		clear(h.forecasts)
	}
	v := tamarackknot.FleetView{Engines: make(map[string]tamarackknot.EngineView, len(m.Engines))}
	for _, e := range m.Engines {
		if !e.Same {
			h.held[e.ID] = decodeHeld(e.Held)
		}
		held, ok := h.held[e.ID]
		if !ok {
			h.cfg.Logger.Debug("engine not told before", "endpoint", e.ID)
			continue
		}
		v.Engines[e.ID] = tamarackknot.EngineView{Held: held, Others: e.Others}
	}
	for _, k := range m.Settled {
		delete(h.forecasts, k)
	}
	for _, f := range m.Forecasts {
		h.forecasts[modelMessage{f.Service, f.Model}] = now.Add(time.Duration(f.ReadyMs) * time.Millisecond)
	}
	for k, at := range h.forecasts {
		v.Forecasts = append(v.Forecasts, tamarackknot.ModelForecast{Service: k.Service, Model: k.Model, ReadyAt: at})
	}
	return v
}

// Run tells the planner this host's demand until ctx ends.
func (h *Host) Run(ctx context.Context) {
	tick := time.NewTicker(tellEvery)
	defer tick.Stop()
	var lastSent time.Time
	var last map[string]int
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-h.urgent:
			urgent = true
		case <-tick.C:
		}
		h.mu.Lock()
		planner, all, leaving, behind := h.planner, !h.told, h.leaving, h.behind
		heard := h.heard()
		h.mu.Unlock()
		if planner == "" || !heard {
			continue
		}
		d := h.cfg.Demand(all)
		d.Host, d.Leaving = h.cfg.Self.Name, leaving
		running := runningTotals(d.Running)
		due := time.Since(lastSent) >= keepAlive
		if !urgent && !due && !all && !behind && len(d.Wants) == 0 && maps.Equal(running, last) {
			continue
		}
		if h.send(ctx, planner, encodeDemand(d, all, behind, h.cfg.Catalog(), time.Now())) {
			h.mu.Lock()
			h.told = h.told || all && h.planner == planner
			h.mu.Unlock()
			lastSent, last = time.Now(), running
		} else {
			// What was in the message is not known to the planner: send all.
			h.mu.Lock()
			h.told = false
			h.mu.Unlock()
		}
	}
}

func runningTotals(counts []tamarackknot.RunCount) map[string]int {
	out := make(map[string]int, len(counts))
	for _, c := range counts {
		out[c.Endpoint+"/"+c.Model+"/"+c.Adapter] += c.Count
	}
	return out
}

func (h *Host) send(ctx context.Context, planner string, m demandMessage) bool {
	if planner == h.cfg.Self.Name {
		h.cfg.Local.take(planner, m)
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(sendTime))
	defer cancel()
	if err := h.cfg.Peers.Notify(ctx, planner, methodDemand, m); err != nil {
		h.cfg.Logger.Debug("demand not sent", "planner", planner, "error", err)
		return false
	}
	return true
}
