// Package fleet exchanges load, demand and placement between the entry hosts and
// the planner. Every host reports its demand to the planner, and the planner
// publishes to every host the fleet view: which models the engines hold and how
// loaded they are. Traffic is linear in the number of hosts. The package also
// keeps the registry of hosts.
package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
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
	// Among many hosts these times are longer, by the number of hosts, since the planner's
	// CPU share limits how many messages it can read: minDemandIntervalPerHost and
	// maxDemandIntervalPerHost for each host, up to longestDemandInterval, of which two fit
	// into the time after which a host no longer counts as alive.
	minDemandIntervalPerHost = 1200 * time.Microsecond
	maxDemandIntervalPerHost = 2 * time.Millisecond
	longestDemandInterval    = 580 * time.Millisecond
	// hostListTTL is how long the last host list is still served to callers
	// after the planner stops sending.
	hostListTTL = 30 * time.Second
	sendTimeout = 500 * time.Millisecond
	// maxExchangeTime is how long after this host's last report that it answers a message of
	// the planner says what the planner has read. Routine reports and messages take less
	// than one second.
	maxExchangeTime = 2 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Self  tamarackknot.HostEntry
	Peers tamarackknot.Peers
	// Demand returns all running requests of this host, and the waiting requests
	// and history of every model if all is set, otherwise of the models that
	// changed since the last call.
	Demand func(all bool) tamarackknot.HostDemand
	// OnView is called for each message of the planner. The view holds the
	// engines that the message names and all current forecasts.
	OnView func(tamarackknot.FleetView)
	// Isolated reports whether this host reaches no endpoint. Nil means that it does.
	Isolated func() bool
	// CatalogVersion returns the version of the configuration in force on this
	// host.
	CatalogVersion func() int64
	// Promise reports whether this host may acknowledge a message of the planner
	// that it received at a time on Clock, and records that it does. Nil means that
	// it never does.
	Promise func(receivedAt time.Duration) bool
	// Clock returns the time since boot, including the time of suspension. Nil
	// means the system's clock.
	Clock func() time.Duration
	// OnPlannerLeft is called when the planner announces that it steps down. It may
	// be nil.
	OnPlannerLeft func()
	// OnMembers is called for each message of the planner that says which hosts are
	// registered, with the age of its last read of them. It may be nil.
	OnMembers func(names []string, age time.Duration)
	// OnStoreEra is called with the era of the store that the planner knows, unless
	// this host is the planner.
	OnStoreEra func(era int64)
	// OnStreamStates is called with the planner's positions in the platform's
	// streams, unless this host is the planner.
	OnStreamStates func(catalog, endpoints tamarackknot.StreamState)
	// Shares says that this host reads the shares that leave its failure domain.
	Shares bool
	// Local is the Publisher of this host; it receives the demand directly while
	// this host is the planner.
	Local  *Publisher
	Logger *log.Logger
}

// Client is the side of the exchange that runs on every entry host: it sends the
// host's demand to the planner and merges the views that the planner publishes.
type Client struct {
	cfg     ClientConfig
	sendNow chan struct{}

	mu             sync.Mutex
	planner        string
	address        string // peer address of the planner
	fence          int64
	leftFence      int64 // of the last planner that announced that it steps down
	plannerSeenAt  time.Time
	plannerSince   time.Duration // first message of the planner, on Clock
	hosts          []tamarackknot.HostEntry
	hostsUpdatedAt time.Time
	// hostsConfirmedAt is when the planner had hosts for certain, on Clock: this host sent then
	// what a message of the planner with hosts, or without a newer list, answers.
	hostsConfirmedAt time.Duration
	// hostsFence is the fencing token of the planner that sent hosts, hostsVersion its
	// version of them.
	hostsFence, hostsVersion int64
	// members are the names of the registered hosts from the planner with the
	// fencing token membersFence, of its version membersVersion.
	members                      []string
	membersFence, membersVersion int64
	startedAt                    time.Duration              // on Clock
	holder                       tamarackknot.HolderMessage // from the planner's last message
	demandSynced                 bool                       // the planner has received the full demand
	leaving                      bool
	// lastSequence is the sequence number of the planner's last message; behind
	// is set when an earlier one is missing.
	lastSequence   int64
	lastSequenceAt time.Duration // receipt of that message, on Clock
	behind         bool
	// held and forecasts accumulate the planner's messages since its last full
	// view; held is keyed by endpoint id.
	held      map[string][]tamarackknot.HeldModel
	byIndex   map[int]string // engines of held
	forecasts map[modelKey]time.Time
	// shares are those of the version sharesVersion; 0 means that they are not known.
	shares        []tamarackknot.DomainShare
	sharesVersion int64
	readsShort    bool // the planner reads the short forms of reports
}

// NewClient returns a Client and registers its handler with cfg.Peers.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Clock == nil {
		cfg.Clock = times.SinceBoot
	}
	c := &Client{
		cfg: cfg, sendNow: make(chan struct{}, 1),
		held: make(map[string][]tamarackknot.HeldModel), byIndex: make(map[int]string), forecasts: make(map[modelKey]time.Time),
		startedAt: cfg.Clock(),
	}
	cfg.Peers.Handle(methodView, c.handleView)
	return c
}

// PlannerAlive reports whether a message of the planner arrived within
// plannerTimeout and did not announce that it steps down.
func (c *Client) PlannerAlive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plannerAlive()
}

// plannerAlive is PlannerAlive with c.mu held.
func (c *Client) plannerAlive() bool {
	return !c.plannerSeenAt.IsZero() && time.Since(c.plannerSeenAt) < plannerTimeout
}

// HostsConfirmedAt returns the newest time on Clock at which the planner is known to have had
// the list of Hosts, 0 if there is none.
func (c *Client) HostsConfirmedAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hostsConfirmedAt
}

// PlannerSince returns when the first message of the present planner was received, on Clock; 0
// if none was.
func (c *Client) PlannerSince() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plannerSince
}

// Planner returns the name of the planner that sent the last accepted message.
func (c *Client) Planner() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner
}

// HolderMessage returns what the planner's last message says of its lease. ok is false
// if there is none.
func (c *Client) HolderMessage() (m tamarackknot.HolderMessage, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.plannerSeenAt.IsZero() || c.holder.End == (tamarackknot.Position{}) {
		return tamarackknot.HolderMessage{}, false
	}
	return c.holder, true
}

// Hosts returns the entry hosts that the planner considers alive, nil if no
// recent list is known.
func (c *Client) Hosts() []tamarackknot.HostEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hostsUpdatedAt.IsZero() || time.Since(c.hostsUpdatedAt) > hostListTTL {
		return nil
	}
	return c.hosts
}

// PeerAddress returns the peer address of the planner or of a host in its list.
func (c *Client) PeerAddress(host string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if host == c.planner && c.address != "" {
		return c.address, true
	}
	for _, e := range c.hosts {
		if e.Name == host {
			return e.PeerAddress, true
		}
	}
	return "", false
}

// SendNow triggers an immediate demand message. It does not block.
func (c *Client) SendNow() {
	wait.Wake(c.sendNow)
}

// Leave notifies the planner that this host accepts no new requests.
func (c *Client) Leave() {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	c.SendNow()
}

func (c *Client) handleView(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m viewMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	c.applyView(from, m)
	return nil, nil
}

// applyView merges a message of the planner. A message with an older fencing
// token is dropped: its sender has lost the lease. So is one that arrives after its
// sender has announced that it steps down.
func (c *Client) applyView(from string, m viewMessage) {
	now, receivedAt := time.Now(), c.cfg.Clock()
	c.mu.Lock()
	if m.Fence < c.fence || m.Fence == c.leftFence && !m.Leaving {
		c.mu.Unlock()
		return
	}
	if m.Fence > c.fence || from != c.planner {
		c.cfg.Logger.Info("planner lease changed", "planner", from, "fence", m.Fence, "before", c.planner)
		c.planner, c.fence, c.demandSynced, c.plannerSince = from, m.Fence, false, receivedAt
		c.lastSequence, c.behind, c.readsShort = 0, false, false
		c.forget()
	}
	c.behind = !m.Full && !m.Leaving && (c.behind || m.Sequence != c.lastSequence+1)
	c.lastSequence = m.Sequence
	c.holder = tamarackknot.HolderMessage{
		End: tamarackknot.Position{Era: m.LeaseEra, Offset: m.LeaseEnd}, Fence: m.Fence,
		SentAt: time.Duration(m.SentMs) * time.Millisecond, ReceivedAt: now,
	}
	c.plannerSeenAt, c.lastSequenceAt = now, receivedAt
	if m.Leaving {
		c.plannerSeenAt, c.leftFence = time.Time{}, m.Fence
	}
	if m.Planner != nil {
		c.address, c.readsShort = m.Planner.PeerAddress, m.ReadsShort
	}
	members, membersAge := c.applyMembers(m, receivedAt)
	c.applyHosts(m, now, receivedAt)
	missing := !c.demandSynced || c.behind
	v := c.merge(m, now)
	c.applyShares(m, &v, now)
	catalog, endpoints := c.streamStates(m, now, receivedAt)
	c.mu.Unlock()
	if missing {
		c.SendNow()
	}
	if m.Leaving && c.cfg.OnPlannerLeft != nil {
		c.cfg.OnPlannerLeft()
	}
	if members != nil && c.cfg.OnMembers != nil {
		c.cfg.OnMembers(members, membersAge)
	}
	v.Planner, v.Fence = from, m.Fence
	c.cfg.OnView(v)
	if from != c.cfg.Self.Name {
		c.cfg.OnStoreEra(m.LeaseEra)
		c.cfg.OnStreamStates(catalog, endpoints)
	}
}

// streamStates returns the planner's positions in the streams. When it read them is not known
// if the message may have been on its way for longer than maxExchangeTime. c.mu is held.
func (c *Client) streamStates(m viewMessage, now time.Time, receivedAt time.Duration) (catalog, endpoints tamarackknot.StreamState) {
	catalog, endpoints = decodeStream(m.Catalog, now), decodeStream(m.Endpoints, now)
	echo := time.Duration(m.EchoMs) * time.Millisecond
	if echo >= c.startedAt && receivedAt-echo > maxExchangeTime {
		catalog.ReadAt, endpoints.ReadAt = time.Time{}, time.Time{}
	}
	if m.Catalog.ConfirmedMsAgo > 0 && echo >= c.startedAt && echo <= receivedAt {
		// The planner has sent the message after it received the report that it names, so
		// this is never too late.
		catalog.ConfirmedAt = max(echo-time.Duration(m.Catalog.ConfirmedMsAgo)*time.Millisecond, 0)
	}
	return catalog, endpoints
}

// applyMembers returns the names of the registered hosts as of a message and the
// greatest time since the planner read them. The names are nil if the planner has not
// read them, if a message in between is missing, or if it is unknown how long the
// message was on its way. c.mu is held.
func (c *Client) applyMembers(m viewMessage, receivedAt time.Duration) ([]string, time.Duration) {
	if len(m.Members) > 0 {
		c.members, c.membersFence, c.membersVersion = m.Members, c.fence, m.MembersVersion
	}
	echo := time.Duration(m.EchoMs) * time.Millisecond
	if m.MembersAgeMs < 0 || c.membersFence != c.fence || c.behind || m.Leaving || echo < c.startedAt || echo > receivedAt {
		return nil, 0
	}
	return c.members, receivedAt - echo + time.Duration(m.MembersAgeMs)*time.Millisecond
}

// applyHosts replaces the host list. A message without a list confirms the
// previous one, unless a message in between is missing. c.mu is held.
func (c *Client) applyHosts(m viewMessage, now time.Time, receivedAt time.Duration) {
	var hosts []tamarackknot.HostEntry
	switch {
	case len(m.Hosts) > 0:
		if err := json.Unmarshal(m.Hosts, &hosts); err != nil {
			c.cfg.Logger.Error("cannot decode host list", "planner", c.planner, "error", err)
			return
		}
		c.hosts, c.hostsUpdatedAt, c.hostsFence, c.hostsVersion = hosts, now, c.fence, m.HostsVersion
	case m.HostsBase > 0 && (c.hostsFence != c.fence || c.hostsVersion != m.HostsBase):
		// The next full view begins with the version that this host has.
		c.behind = true
	case m.HostsBase > 0:
		c.hosts = hostChanges{m.HostsSet, m.HostsRemoved}.apply(c.hosts)
		c.hostsUpdatedAt, c.hostsVersion = now, m.HostsVersion
	case c.hostsFence == c.fence && !c.behind:
		c.hostsUpdatedAt = now
	default:
		return
	}
	if echo := time.Duration(m.EchoMs) * time.Millisecond; echo >= c.startedAt && echo <= receivedAt && !c.behind {
		c.hostsConfirmedAt = max(c.hostsConfirmedAt, echo)
	}
}

// forget drops the accumulated state. c.mu is held.
func (c *Client) forget() {
	clear(c.held)
	clear(c.byIndex)
	clear(c.forecasts)
	c.sharesVersion = 0
}

// merge applies a message to the accumulated state and returns the engines that
// it names and all current forecasts. c.mu is held.
func (c *Client) merge(m viewMessage, now time.Time) tamarackknot.FleetView {
	if m.Full {
		c.forget()
	}
	v := tamarackknot.FleetView{Notices: decodeNotices(m.Notices, now), Brittle: decodeBrittle(m.Brittle, now), Engines: make(map[string]tamarackknot.EngineView, len(m.Engines))}
	for _, e := range m.Engines {
		if !e.HeldUnchanged {
			c.held[e.ID] = decodeHeld(e.Held)
			c.byIndex[e.Index] = e.ID
		}
		held, ok := c.held[e.ID]
		if !ok {
			c.cfg.Logger.Debug("update for an engine without known models", "endpoint", e.ID)
			continue
		}
		v.Engines[e.ID] = tamarackknot.EngineView{Held: held, Others: e.Others}
	}
	for i := 0; i+1 < len(m.Loads); i += 2 {
		if id, ok := c.byIndex[m.Loads[i]]; ok {
			v.Engines[id] = tamarackknot.EngineView{Held: c.held[id], Others: m.Loads[i+1]}
		}
	}
	for _, k := range m.RemovedForecasts {
		delete(c.forecasts, k)
	}
	for _, f := range m.Forecasts {
		c.forecasts[modelKey{f.Service, f.Model}] = now.Add(time.Duration(f.ReadyMs) * time.Millisecond)
	}
	for k, at := range c.forecasts {
		v.Forecasts = append(v.Forecasts, tamarackknot.ModelForecast{Service: k.Service, Model: k.Model, ReadyAt: at})
	}
	return v
}

// Run sends this host's demand to the planner until ctx ends.
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(minDemandInterval)
	defer tick.Stop()
	var lastSent time.Time
	var last map[string]int
	var sent sentLists
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-c.sendNow:
			urgent = true
		case <-tick.C:
		}
		c.mu.Lock()
		planner, all, leaving, behind := c.planner, !c.demandSynced, c.leaving, c.behind
		fence, sequence, receivedAt := c.fence, c.lastSequence, c.lastSequenceAt
		alive, lists, hosts, short := c.plannerAlive(), c.heldLists(), len(c.hosts), c.readsShort && c.cfg.Shares
		c.mu.Unlock()
		interval := intervalOf(hosts, minDemandInterval, minDemandIntervalPerHost, longestDemandInterval)
		if planner == "" || !alive || !urgent && !all && !behind && time.Since(lastSent) < interval {
			continue
		}
		d := c.cfg.Demand(all)
		d.Host, d.Leaving = c.cfg.Self.Name, leaving
		d.Isolated = c.cfg.Isolated != nil && c.cfg.Isolated()
		running := runningCounts(d.Running)
		due := time.Since(lastSent) >= intervalOf(hosts, maxDemandInterval, maxDemandIntervalPerHost, longestDemandInterval)
		if !urgent && !due && !all && !behind && len(d.Models)+len(d.Notices) == 0 && maps.Equal(running, last) {
			continue
		}
		m := encodeDemand(d, all, behind, c.cfg.CatalogVersion(), time.Now())
		m.Lists = lists
		if short {
			m.shorten(sent, time.Now())
		}
		m.SentMs = c.cfg.Clock().Milliseconds() + 1 // rounded up, so that it is not before the start
		if planner != c.cfg.Self.Name && c.cfg.Promise != nil && c.cfg.Promise(receivedAt) {
			m.Acknowledged, m.Fence = sequence, fence
		}
		if c.send(ctx, planner, m) {
			c.mu.Lock()
			c.demandSynced = c.demandSynced || all && c.planner == planner
			c.mu.Unlock()
			lastSent, last = time.Now(), running
			if m.Lists != nil {
				sent = sentLists{lists, lastSent}
			}
		} else {
			sent = sentLists{}
			// The planner may have missed these changes: resend the full demand.
			c.mu.Lock()
			c.demandSynced = false
			c.mu.Unlock()
		}
	}
}

// intervalOf returns an interval that grows with the number of hosts between two bounds.
func intervalOf(hosts int, least, perHost, most time.Duration) time.Duration {
	return min(max(least, time.Duration(hosts)*perHost), most)
}

// heldLists returns the versions of the planner's lists that this host has. c.mu is held.
func (c *Client) heldLists() *heldLists {
	l := &heldLists{Fence: c.fence, Loads: true, Shares: c.cfg.Shares}
	if c.hostsFence == c.fence {
		l.Hosts = c.hostsVersion
	}
	if c.membersFence == c.fence {
		l.Members = c.membersVersion
	}
	return l
}

// runningCounts sums the running requests by endpoint, model and adapter.
func runningCounts(counts []tamarackknot.RunCount) map[string]int {
	out := make(map[string]int, len(counts))
	for _, c := range counts {
		out[c.Endpoint+"/"+c.Model+"/"+c.Adapter] += c.Count
	}
	return out
}

func (c *Client) send(ctx context.Context, planner string, m demandMessage) bool {
	if planner == c.cfg.Self.Name {
		c.cfg.Local.applyDemand(planner, m)
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(sendTimeout))
	defer cancel()
	if err := c.cfg.Peers.Notify(ctx, planner, methodDemand, m); err != nil {
		c.cfg.Logger.Debug("cannot send demand", "planner", planner, "error", err)
		return false
	}
	return true
}
