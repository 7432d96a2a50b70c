// Package board exchanges load, demand and placement between the entry hosts and
// the planner. Every host reports its demand to the planner, and the planner
// publishes to every host which models the engines hold. Traffic is linear in
// the number of hosts.
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
	// plannerTimeout is how long the planner counts as alive after a message.
	plannerTimeout = 900 * time.Millisecond
	// minDemandInterval and maxDemandInterval bound the time between two
	// routine demand messages of a host; an unchanged demand is sent as a
	// heartbeat every maxDemandInterval.
	minDemandInterval = 100 * time.Millisecond
	maxDemandInterval = 400 * time.Millisecond
	// hostListTTL is how long the last host list is still served to callers
	// after the planner stops sending.
	hostListTTL = 30 * time.Second
	sendTimeout = 500 * time.Millisecond
)

// HostConfig configures a Host.
type HostConfig struct {
	Self  tamarackknot.HostEntry
	Peers tamarackknot.Peers
	// Demand returns all running requests of this host, and the waiting requests
	// and history of every model if all is set, otherwise of the models that
	// changed since the last call.
	Demand func(all bool) tamarackknot.HostDemand
	// OnView is called for each message of the planner. The view holds the
	// engines that the message names and all current forecasts.
	OnView func(tamarackknot.FleetView)
	// CatalogVersion returns the version of the configuration in force on this
	// host.
	CatalogVersion func() int64
	// OnStreamStates is called with the planner's positions in the platform's
	// streams, unless this host is the planner.
	OnStreamStates func(catalog, endpoints tamarackknot.StreamState)
	// Local is the hub of this host; it receives the demand directly while this
	// host is the planner.
	Local  *Hub
	Logger *log.Logger
}

// Host is the client side that runs on every entry host: it sends the host's
// demand to the planner and merges the views that the planner publishes.
type Host struct {
	cfg     HostConfig
	sendNow chan struct{}

	mu             sync.Mutex
	planner        string
	address        string // peer address of the planner
	fence          int64
	plannerSeenAt  time.Time
	hosts          []tamarackknot.HostEntry
	hostsUpdatedAt time.Time
	// hostsFence is the fencing token of the planner that sent hosts.
	hostsFence int64
	// registered is the number of registered hosts, 0 while it is not known.
	registered   int
	leaseEnd     int64 // from the planner's last message
	demandSynced bool  // the planner has received the full demand
	leaving      bool
	// lastSequence is the sequence number of the planner's last message; behind
	// is set when an earlier one is missing.
	lastSequence int64
	behind       bool
	// held and forecasts accumulate the planner's messages since its last full
	// view; held is keyed by endpoint id.
	held      map[string][]tamarackknot.HeldModel
	forecasts map[modelKey]time.Time
}

// NewHost returns a Host and registers its handler with cfg.Peers.
func NewHost(cfg HostConfig) *Host {
	h := &Host{
		cfg: cfg, sendNow: make(chan struct{}, 1),
		held: make(map[string][]tamarackknot.HeldModel), forecasts: make(map[modelKey]time.Time),
	}
	cfg.Peers.Handle(methodView, h.handleView)
	return h
}

// PlannerAlive reports whether a message of the planner arrived within
// plannerTimeout and did not announce that it steps down.
func (h *Host) PlannerAlive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plannerAlive()
}

// plannerAlive is PlannerAlive with h.mu held.
func (h *Host) plannerAlive() bool {
	return !h.plannerSeenAt.IsZero() && time.Since(h.plannerSeenAt) < plannerTimeout
}

// Planner returns the name of the planner that sent the last accepted message.
func (h *Host) Planner() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.planner
}

// ReportedLeaseEnd returns the end offset of the lease stream from the planner's
// last message and the age of that message. ok is false if there is none.
func (h *Host) ReportedLeaseEnd() (end int64, age time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.plannerSeenAt.IsZero() || h.leaseEnd == 0 {
		return 0, 0, false
	}
	return h.leaseEnd, time.Since(h.plannerSeenAt), true
}

// Hosts returns the entry hosts that the planner considers alive, nil if no
// recent list is known.
func (h *Host) Hosts() []tamarackknot.HostEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hostsUpdatedAt.IsZero() || time.Since(h.hostsUpdatedAt) > hostListTTL {
		return nil
	}
	return h.hosts
}

// PeerAddress returns the peer address of the planner or of a host in its list.
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

// Registered returns the number of registered hosts, alive or not; 0 means
// unknown.
func (h *Host) Registered() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registered
}

// SendNow triggers an immediate demand message. It does not block.
func (h *Host) SendNow() {
	wait.Wake(h.sendNow)
}

// Leave notifies the planner that this host accepts no new requests.
func (h *Host) Leave() {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.SendNow()
}

func (h *Host) handleView(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m viewMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	h.applyView(from, m)
	return nil, nil
}

// applyView merges a message of the planner. A message with an older fencing
// token is dropped: its sender has lost the lease.
func (h *Host) applyView(from string, m viewMessage) {
	now := time.Now()
	h.mu.Lock()
	if m.Fence < h.fence {
		h.mu.Unlock()
		return
	}
	if m.Fence > h.fence || from != h.planner {
		h.cfg.Logger.Info("planner lease changed", "planner", from, "fence", m.Fence, "before", h.planner)
		h.planner, h.fence, h.demandSynced = from, m.Fence, false
		h.lastSequence, h.behind = 0, false
		clear(h.held)
		clear(h.forecasts)
	}
	h.behind = !m.Full && !m.Leaving && (h.behind || m.Sequence != h.lastSequence+1)
	h.lastSequence, h.leaseEnd = m.Sequence, m.LeaseEnd
	h.plannerSeenAt = now
	if m.Leaving {
		h.plannerSeenAt = time.Time{}
	}
	if m.Planner != nil {
		h.address = m.Planner.PeerAddress
	}
	if m.Registered > 0 {
		h.registered = m.Registered
	}
	h.applyHosts(m.Hosts, now)
	missing := !h.demandSynced || h.behind
	v := h.merge(m, now)
	h.mu.Unlock()
	if missing {
		h.SendNow()
	}
	v.Planner, v.Fence = from, m.Fence
	h.cfg.OnView(v)
	if from != h.cfg.Self.Name {
		h.cfg.OnStreamStates(decodeStream(m.Catalog, now), decodeStream(m.Endpoints, now))
	}
}

// applyHosts replaces the host list. A message without a list confirms the
// previous one, unless a message in between is missing. h.mu is held.
func (h *Host) applyHosts(list json.RawMessage, now time.Time) {
	var hosts []tamarackknot.HostEntry
	switch {
	case len(list) > 0:
		if err := json.Unmarshal(list, &hosts); err != nil {
			h.cfg.Logger.Error("cannot decode host list", "planner", h.planner, "error", err)
			return
		}
		h.hosts, h.hostsUpdatedAt, h.hostsFence = hosts, now, h.fence
	case h.hostsFence == h.fence && !h.behind:
		h.hostsUpdatedAt = now
	}
}

// merge applies a message to the accumulated state and returns the engines that
// it names and all current forecasts. h.mu is held.
func (h *Host) merge(m viewMessage, now time.Time) tamarackknot.FleetView {
	if m.Full {
		clear(h.held)
		clear(h.forecasts)
	}
	v := tamarackknot.FleetView{Engines: make(map[string]tamarackknot.EngineView, len(m.Engines))}
	for _, e := range m.Engines {
		if !e.HeldUnchanged {
			h.held[e.ID] = decodeHeld(e.Held)
		}
		held, ok := h.held[e.ID]
		if !ok {
			h.cfg.Logger.Debug("update for an engine without known models", "endpoint", e.ID)
			continue
		}
		v.Engines[e.ID] = tamarackknot.EngineView{Held: held, Others: e.Others}
	}
	for _, k := range m.RemovedForecasts {
		delete(h.forecasts, k)
	}
	for _, f := range m.Forecasts {
		h.forecasts[modelKey{f.Service, f.Model}] = now.Add(time.Duration(f.ReadyMs) * time.Millisecond)
	}
	for k, at := range h.forecasts {
		v.Forecasts = append(v.Forecasts, tamarackknot.ModelForecast{Service: k.Service, Model: k.Model, ReadyAt: at})
	}
	return v
}

// Run sends this host's demand to the planner until ctx ends.
func (h *Host) Run(ctx context.Context) {
	tick := time.NewTicker(minDemandInterval)
	defer tick.Stop()
	var lastSent time.Time
	var last map[string]int
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-h.sendNow:
			urgent = true
		case <-tick.C:
		}
		h.mu.Lock()
		planner, all, leaving, behind := h.planner, !h.demandSynced, h.leaving, h.behind
		alive := h.plannerAlive()
		h.mu.Unlock()
		if planner == "" || !alive {
			continue
		}
		d := h.cfg.Demand(all)
		d.Host, d.Leaving = h.cfg.Self.Name, leaving
		running := runningCounts(d.Running)
		due := time.Since(lastSent) >= maxDemandInterval
		if !urgent && !due && !all && !behind && len(d.Models) == 0 && maps.Equal(running, last) {
			continue
		}
		if h.send(ctx, planner, encodeDemand(d, all, behind, h.cfg.CatalogVersion(), time.Now())) {
			h.mu.Lock()
			h.demandSynced = h.demandSynced || all && h.planner == planner
			h.mu.Unlock()
			lastSent, last = time.Now(), running
		} else {
			// The planner may have missed these changes: resend the full demand.
			h.mu.Lock()
			h.demandSynced = false
			h.mu.Unlock()
		}
	}
}

// runningCounts sums the running requests by endpoint, model and adapter.
func runningCounts(counts []tamarackknot.RunCount) map[string]int {
	out := make(map[string]int, len(counts))
	for _, c := range counts {
		out[c.Endpoint+"/"+c.Model+"/"+c.Adapter] += c.Count
	}
	return out
}

func (h *Host) send(ctx context.Context, planner string, m demandMessage) bool {
	if planner == h.cfg.Self.Name {
		h.cfg.Local.applyDemand(planner, m)
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(sendTimeout))
	defer cancel()
	if err := h.cfg.Peers.Notify(ctx, planner, methodDemand, m); err != nil {
		h.cfg.Logger.Debug("cannot send demand", "planner", planner, "error", err)
		return false
	}
	return true
}
