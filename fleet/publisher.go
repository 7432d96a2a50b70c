package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// publishInterval is the minimum time between two routine rounds of messages.
	publishInterval = 150 * time.Millisecond
	// publishIntervalPerHost raises it to this time multiplied by the number of
	// hosts.
	publishIntervalPerHost = 3 * time.Millisecond
	// roundPauseFactor is the minimum pause after a round as a multiple of the
	// round's duration, so that publishing takes at most a quarter of the
	// planner's time. The pause never exceeds the interval of routine rounds.
	roundPauseFactor = 3
	// A changed forecast is sent if it moved by more than forecastTolerance and
	// by more than forecastToleranceRatio of the remaining time.
	forecastTolerance      = 100 * time.Millisecond
	forecastToleranceRatio = 0.2
	// standbyInterval is the polling interval on a host that is not the planner.
	standbyInterval = 250 * time.Millisecond
	// An urgent round starts no earlier than the interval divided by urgentDivisor
	// after the last round.
	urgentDivisor = 8
	// fullViewInterval is the time between two periodic full views for a host; a
	// host that misses a message requests one earlier. It is at least
	// fullViewIntervalPerEngine multiplied by engines and hosts, which limits
	// periodic full views to 100 KB/s.
	fullViewInterval          = 2 * time.Second
	fullViewIntervalPerEngine = time.Millisecond
	// maxFullViewEngines limits the engine entries in the full views of one
	// round, because messages queued for a connection take memory. A round may
	// always send minFullViews.
	maxFullViewEngines = 30000
	minFullViews       = 10
	// maxLoadUpdates limits the engines in a message of which only the load has
	// changed, maxNamedLoadUpdates those where the host needs their ids; the rest follow in
	// later messages, round-robin.
	maxLoadUpdates      = 300
	maxNamedLoadUpdates = 60
	// hostListInterval is the minimum time between two changes of the published
	// host list, at least hostListIntervalPerHost multiplied by the hosts.
	hostListInterval        = 500 * time.Millisecond
	hostListIntervalPerHost = 10 * time.Millisecond
	// hostTimeout is how long a host counts as alive after a message.
	hostTimeout = 1200 * time.Millisecond
)

// PublisherConfig configures a Publisher.
type PublisherConfig struct {
	Self  tamarackknot.HostEntry
	Peers tamarackknot.Peers
	// Hosts returns the registered entry hosts.
	Hosts func() []tamarackknot.HostEntry
	// HostsReadAt returns when the registered hosts were last read, on Clock; 0 means
	// never. Nil means that it is not known.
	HostsReadAt func() time.Duration
	// LeaseHeld returns the fencing token and whether this host holds the
	// planner lease.
	LeaseHeld func() (fence int64, held bool)
	// LeaseEnd returns the end of the lease stream while this host is the planner.
	LeaseEnd func() tamarackknot.Position
	// Catalog and Endpoints return this host's positions in these streams.
	Catalog   func() tamarackknot.StreamState
	Endpoints func() tamarackknot.StreamState
	// Clock returns the time since boot, including the time of suspension. Nil
	// means the system's clock.
	Clock func() time.Duration
	// OnAcknowledged is called with the time on Clock at or after which the newest
	// acknowledged message of each other registered host was sent. Nil means that
	// acknowledgements don't matter.
	OnAcknowledged func(sentAt time.Duration)
	// OnCatalogVersion is called with the version that another host has in force.
	OnCatalogVersion func(version int64)
	// OnDemand is called when a host reports waiting requests. It may be nil.
	OnDemand func()
	// ByDomain says that Demand returns the demand by failure domain too.
	ByDomain bool
	Logger   *log.Logger
}

// Publisher is the planner's side of the exchange: it collects the demand of the
// hosts and publishes the fleet view to them. It is idle on hosts that are not
// the planner.
type Publisher struct {
	cfg        PublisherConfig
	publishNow chan struct{}
	local      *Client

	mu        sync.Mutex
	hosts     map[string]*hostState
	forecasts []tamarackknot.ModelForecast
	// engines holds the engines of the view by endpoint id. byIndex holds each at
	// its index, with nil at free indexes. lastVersion counts all changes of what
	// engines hold.
	engines     map[string]*engineState
	byIndex     []*engineState
	lastVersion int64
	// changedModels are the models that engines hold otherwise than at the last routine
	// round, so that hosts may not know it.
	changedModels map[string]bool
	demand        demandSum
	steppedDown   bool
	// hostList holds the alive hosts; it last changed at hostListAt.
	hostList   hostListHistory
	hostListAt time.Time
	// members are the names of the registered hosts, and membersVersion counts their
	// changes.
	members        []string
	membersVersion int64
	notices        noticeList
	brittle        brittleList
	shares         shareLists
	domainsAt      time.Time // of the last demand by failure domain
}

// hostState is the last demand of a host and the state that was last sent to it.
type hostState struct {
	lastSeen time.Time
	domain   string // empty until the host is known to be registered
	leaving  bool
	isolated bool
	running  []tamarackknot.RunCount
	demand   hostDemand
	// urgent says that the next message can't wait for a routine round.
	urgent bool
	// sent holds the state last sent for each engine, by index; forecasts holds
	// the forecasts last sent.
	sent            []sentEngine
	nextLoad        int // index of the first engine for load updates of the next message
	forecasts       map[modelKey]time.Time
	fullViewAt      time.Time
	sequence        int64
	hostListVersion int64
	membersVersion  int64
	noticesVersion  int64
	sharesVersion   int64
	fence           int64
	held            *heldLists // as the host last said; nil if it does not say
	// sends holds the newest messages whose acknowledgement is outstanding, oldest
	// first, and acknowledgedAt when the newest acknowledged one was sent; zero
	// means none under this fencing token.
	sends          []sentMessage
	acknowledgedAt time.Duration
	echoMs         int64 // SentMs of the last message from the host
}

// alive reports whether the host sent a message within hostTimeout.
func (s *hostState) alive(now time.Time) bool { return now.Sub(s.lastSeen) < hostTimeout }

// sentEngine is the state of an engine that was last sent to a host; version is
// 0 if none was sent.
type sentEngine struct {
	version int64
	others  int
}

// round is the data shared by all messages of one publishing round.
type round struct {
	fence         int64
	leaseEnd      tamarackknot.Position
	now           time.Time
	totals        []int // requests at each engine, by index
	forecasts     map[modelKey]time.Time
	hostCount     int
	membersReadAt time.Duration // when the registered hosts were read, 0 if never
	brittle       []brittleMessage
	fullViewsLeft int // full views that this round may still send
}

// engineState is an engine of the view with its models in message form; version
// grows with each change of the models.
type engineState struct {
	id           string
	domain       string
	index        int
	held         []tamarackknot.HeldModel
	heldMessages []heldMessage
	version      int64
}

// NewPublisher returns a Publisher and registers its handler with cfg.Peers.
func NewPublisher(cfg PublisherConfig) *Publisher {
	if cfg.Clock == nil {
		cfg.Clock = times.SinceBoot
	}
	p := &Publisher{
		cfg: cfg, publishNow: make(chan struct{}, 1), hosts: make(map[string]*hostState), engines: make(map[string]*engineState),
		changedModels: make(map[string]bool), demand: newDemandSum(),
	}
	cfg.Peers.Handle(methodDemand, p.handleDemand)
	return p
}

// Bind sets the Client of the same process, which receives views without the
// network. It must be called before Run.
func (p *Publisher) Bind(local *Client) { p.local = local }

func (p *Publisher) handleDemand(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m demandMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	p.applyDemand(from, m)
	return nil, nil
}

func (p *Publisher) applyDemand(from string, m demandMessage) {
	now := time.Now()
	p.mu.Lock()
	s := p.state(from)
	s.lastSeen, s.leaving, s.isolated, s.running, s.echoMs = now, m.Leaving, m.Isolated, m.running(), m.SentMs
	if m.Full {
		p.demand.clear(&s.demand)
	}
	if m.Behind && now.Sub(s.fullViewAt) >= publishInterval {
		s.fullViewAt, s.urgent = time.Time{}, true
	}
	s.applyLists(m)
	if m.Acknowledged > 0 && m.Fence == s.fence {
		s.acknowledge(m.Acknowledged)
	}
	p.notices.merge(decodeNotices(m.Notices, now), now)
	p.brittle.merge(decodeBrittle(m.Brittle, now))
	waiting := false
	for _, w := range m.Models {
		p.demand.set(&s.demand, decodeModelDemand(w, now))
		waiting = waiting || w.Waiting > 0
		s.urgent = s.urgent || w.Waiting > 0 && p.changedModels[w.Model]
	}
	urgent := s.urgent
	p.mu.Unlock()
	if urgent {
		wait.Wake(p.publishNow)
	}
	if m.Acknowledged > 0 {
		p.reportAcknowledged(m.Fence)
	}
	p.cfg.OnCatalogVersion(m.Catalog)
	if waiting && p.cfg.OnDemand != nil {
		p.cfg.OnDemand()
	}
}

// state returns the state of a host and creates it if needed. p.mu is held.
func (p *Publisher) state(name string) *hostState {
	s := p.hosts[name]
	if s == nil {
		s = &hostState{demand: newHostDemand(), forecasts: make(map[modelKey]time.Time)}
		p.hosts[name] = s
	}
	return s
}

// Demand returns the latest demand of all known hosts. Of a host that timed out only the
// history counts. The result is valid until the next call.
func (p *Publisher) Demand() tamarackknot.FleetDemand {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.demand.begin()
	for _, s := range p.hosts {
		if s.alive(now) {
			p.demand.add(s)
		}
	}
	p.addDomains(now)
	return p.demand.result
}

// Publish sets the view that is sent to the hosts. Those that wait for a model which
// engines now hold get it at once.
func (p *Publisher) Publish(v tamarackknot.FleetView) {
	p.mu.Lock()
	urgent := p.setView(v)
	p.mu.Unlock()
	if urgent {
		wait.Wake(p.publishNow)
	}
}

// setView stores a view, assigns a new version to each changed engine and reports whether
// a host waits for what has changed. p.mu is held.
func (p *Publisher) setView(v tamarackknot.FleetView) (urgent bool) {
	p.forecasts = v.Forecasts
	p.shares.set(v.Shares, v.SharesAt)
	changed := make(map[string]bool)
	for id, e := range v.Engines {
		s := p.engines[id]
		if s != nil && slices.EqualFunc(s.held, e.Held, equalHeld) {
			continue
		}
		for _, held := range e.Held {
			if s == nil || !slices.ContainsFunc(s.held, func(old tamarackknot.HeldModel) bool { return equalHeld(old, held) }) {
				changed[held.Name] = true
			}
		}
		p.lastVersion++
		var index int
		if s != nil {
			index = s.index
		} else {
			index = p.freeIndex()
		}
		s = &engineState{id: id, domain: e.Domain, index: index, held: e.Held, version: p.lastVersion}
		p.byIndex[index] = s
		for _, held := range e.Held {
			s.heldMessages = append(s.heldMessages, heldMessage{Model: held.Name, Adapters: held.Adapters})
		}
		p.engines[id] = s
	}
	for id, s := range p.engines {
		if _, ok := v.Engines[id]; !ok {
			p.byIndex[s.index] = nil
			delete(p.engines, id)
		}
	}
	if len(changed) == 0 {
		return false
	}
	maps.Copy(p.changedModels, changed)
	for _, s := range p.hosts {
		if s.demand.waitsForAny(changed) {
			s.urgent, urgent = true, true
		}
	}
	return urgent
}

func (p *Publisher) freeIndex() int {
	if len(p.engines) < len(p.byIndex) {
		return slices.Index(p.byIndex, nil)
	}
	p.byIndex = append(p.byIndex, nil)
	return len(p.byIndex) - 1
}

func equalHeld(a, b tamarackknot.HeldModel) bool {
	return a.Name == b.Name && slices.Equal(a.Adapters, b.Adapters)
}

// StepDown stops publishing. It returns the fencing token and whether this host is
// the planner, for AnnounceLeave.
func (p *Publisher) StepDown() (fence int64, held bool) {
	fence, held = p.cfg.LeaseHeld()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.steppedDown = true
	return fence, held
}

// AnnounceLeave tells the hosts that this host, which planned under the fencing
// token, has released the lease.
func (p *Publisher) AnnounceLeave(ctx context.Context, fence int64) {
	for _, host := range p.cfg.Hosts() {
		if host.Name != p.cfg.Self.Name {
			p.send(ctx, host.Name, viewMessage{Fence: fence, Leaving: true})
		}
	}
}

// Run publishes the view to the hosts while this host is the planner, until ctx
// ends.
func (p *Publisher) Run(ctx context.Context) {
	var lastRound, lastSent, notBefore time.Time
	for {
		// The interval grows with the number of hosts because the planner's CPU
		// share limits how many messages it can send. It stays below plannerTimeout
		// so that the hosts keep counting the planner as alive.
		interval := intervalOf(len(p.cfg.Hosts()), publishInterval, publishIntervalPerHost, plannerTimeout/3)
		if _, held := p.cfg.LeaseHeld(); !held {
			interval = standbyInterval
		}
		timer := time.NewTimer(time.Until(lastRound.Add(interval)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-p.publishNow:
			time.Sleep(time.Until(lastSent.Add(interval / urgentDivisor)))
		}
		timer.Stop()
		time.Sleep(time.Until(notBefore))
		p.mu.Lock()
		steppedDown := p.steppedDown
		p.mu.Unlock()
		lastSent = time.Now()
		routine := !lastSent.Before(lastRound.Add(interval))
		if routine {
			lastRound = lastSent
		}
		if fence, held := p.cfg.LeaseHeld(); held && !steppedDown {
			p.publishRound(ctx, fence, routine)
			ended := time.Now()
			notBefore = ended.Add(min(roundPauseFactor*ended.Sub(lastSent), interval))
		}
	}
}

// publishRound sends one message to every registered host in a routine round, otherwise
// to those only for which it is urgent.
func (p *Publisher) publishRound(ctx context.Context, fence int64, routine bool) {
	// The time of the read is taken first, so that it is not after that of the list.
	readAt := p.membersReadAt()
	registered := p.cfg.Hosts()
	receivers := p.receivers(registered, routine)
	if len(receivers) == 0 {
		return
	}
	r := p.newRound(fence, registered, time.Now())
	r.membersReadAt = readAt
	for _, host := range receivers {
		m := p.buildView(host, r)
		if host == p.cfg.Self.Name {
			p.local.applyView(host, m)
			continue
		}
		p.send(ctx, host, m)
	}
}

// receivers returns the hosts that get a message in a round, and takes what was urgent or
// has changed as sent.
func (p *Publisher) receivers(registered []tamarackknot.HostEntry, routine bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, host := range registered {
		s := p.hosts[host.Name]
		if routine || s != nil && s.urgent {
			out = append(out, host.Name)
		}
		if s != nil {
			s.urgent = false
		}
	}
	if routine {
		clear(p.changedModels)
	}
	return out
}

// newRound collects the data shared by the messages of a round. Of several
// forecasts for a model the earliest counts.
func (p *Publisher) newRound(fence int64, registered []tamarackknot.HostEntry, now time.Time) *round {
	leaseEnd := p.cfg.LeaseEnd()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshMembers(registered)
	p.setDomains(registered)
	r := &round{
		fence: fence, leaseEnd: leaseEnd, now: now, hostCount: len(registered), totals: p.requestTotals(now),
		forecasts:     make(map[modelKey]time.Time),
		brittle:       encodeBrittle(p.brittle.all(now), now),
		fullViewsLeft: max(minFullViews, maxFullViewEngines/max(len(p.engines), 1)),
	}
	for _, f := range p.forecasts {
		k := modelKey{f.Service, f.Model}
		if at, ok := r.forecasts[k]; !ok || f.ReadyAt.Before(at) {
			r.forecasts[k] = f.ReadyAt
		}
	}
	p.refreshHostList(registered, now)
	return r
}

// membersReadAt returns when the registered hosts were last read, 0 if never.
func (p *Publisher) membersReadAt() time.Duration {
	if p.cfg.HostsReadAt == nil {
		return 0
	}
	return p.cfg.HostsReadAt()
}

// membersAge returns the time in ms since the registered hosts were read, -1 if they were
// not. It is determined after the echo of a message, since the process may be suspended
// in between.
func (p *Publisher) membersAge(readAt time.Duration) int64 {
	if readAt <= 0 {
		return -1
	}
	return (p.cfg.Clock() - readAt).Milliseconds()
}

// refreshMembers updates the names of the registered hosts. p.mu is held.
func (p *Publisher) refreshMembers(registered []tamarackknot.HostEntry) {
	names := make([]string, 0, len(registered))
	for _, host := range registered {
		names = append(names, host.Name)
	}
	if !slices.Equal(names, p.members) {
		p.members = names
		p.membersVersion++
	}
}

// refreshHostList updates the list of hosts that callers may be sent to. An empty
// list is never published. p.mu is held.
func (p *Publisher) refreshHostList(registered []tamarackknot.HostEntry, now time.Time) {
	if now.Sub(p.hostListAt) < max(hostListInterval, time.Duration(len(registered))*hostListIntervalPerHost) {
		return
	}
	var out []tamarackknot.HostEntry
	for _, host := range registered {
		s := p.hosts[host.Name]
		if s != nil && !s.leaving && s.alive(now) {
			host.Isolated = s.isolated
			out = append(out, host)
		}
	}
	if len(out) == 0 {
		return
	}
	changed, err := p.hostList.add(out)
	if err != nil {
		p.cfg.Logger.Error("cannot encode host list", "error", err)
	}
	if changed {
		p.hostListAt = now
	}
}

// addHosts adds the host list if the host does not have it: what has changed, if that is
// known and the host can apply it, otherwise all of it. p.mu is held.
func (p *Publisher) addHosts(s *hostState, m *viewMessage) {
	if s.hostListVersion == p.hostList.version {
		return
	}
	m.HostsVersion = p.hostList.version
	if changes, ok := p.hostList.since(s.hostListVersion); ok && s.held != nil {
		m.HostsBase, m.HostsSet, m.HostsRemoved = s.hostListVersion, changes.Set, changes.Removed
	} else {
		m.Hosts = p.hostList.encoded
	}
	s.hostListVersion = p.hostList.version
}

// buildView builds the next message for a host: the changes since its last
// message, or a full view.
func (p *Publisher) buildView(host string, r *round) viewMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(host)
	s.sequence++
	if s.fence != r.fence {
		s.sends, s.acknowledgedAt = nil, 0
	}
	sentAt := p.cfg.Clock()
	s.sends = append(s.sends[max(len(s.sends)-maxSends+1, 0):], sentMessage{s.sequence, sentAt})
	echoMs, catalog := s.echoMs, p.cfg.Catalog()
	m := viewMessage{
		Fence: r.fence, Sequence: s.sequence, LeaseEnd: r.leaseEnd.Offset, LeaseEra: r.leaseEnd.Era,
		Catalog: encodeStream(catalog, time.Now()), Endpoints: encodeStream(p.cfg.Endpoints(), time.Now()),
		SentMs: sentAt.Milliseconds(), EchoMs: echoMs, Brittle: r.brittle,
	}
	m.Catalog.ConfirmedMsAgo = confirmedMsAgo(catalog, p.cfg.Clock())
	m.MembersAgeMs = p.membersAge(r.membersReadAt)
	if s.fence != r.fence || r.now.Sub(s.fullViewAt) >= p.fullViewIntervalOf(s, r.hostCount) {
		if r.fullViewsLeft == 0 {
			// Send a heartbeat only; the full view follows in a later round. A host takes one
			// without a list of hosts as a confirmation of the list that it has.
			s.fullViewAt = time.Time{}
			if s.fence == r.fence {
				p.addHosts(s, &m)
			}
			return m
		}
		r.fullViewsLeft--
		m.Full, m.Planner, m.ReadsShort = true, &p.cfg.Self, p.cfg.ByDomain
		s.fullViewAt, s.hostListVersion, s.membersVersion, s.noticesVersion, s.sharesVersion = r.now, 0, 0, 0, 0
		if s.held != nil && s.fence == r.fence {
			s.hostListVersion, s.membersVersion = s.held.Hosts, s.held.Members
		}
		s.fence = r.fence
		clear(s.sent)
		clear(s.forecasts)
	}
	p.addHosts(s, &m)
	if s.membersVersion != p.membersVersion {
		s.membersVersion = p.membersVersion
		m.Members, m.MembersVersion = p.members, p.membersVersion
	}
	if s.noticesVersion != p.notices.version {
		s.noticesVersion = p.notices.version
		m.Notices = encodeNotices(p.notices.all(), r.now)
	}
	p.addShares(s, &m, r.now)
	p.addEngines(s, &m, r.totals)
	s.addForecasts(&m, r.forecasts, r.now)
	return m
}

// addEngines adds all engines whose models changed and a limited number of
// engines of which only the load changed. Engines that were published after the
// round began have no total yet and follow in the next round.
func (p *Publisher) addEngines(s *hostState, m *viewMessage, totals []int) {
	if missing := len(p.byIndex) - len(s.sent); missing > 0 {
		s.sent = append(s.sent, make([]sentEngine, missing)...)
	}
	own := make(map[int]int, len(s.running))
	for _, c := range s.running {
		if e := p.engines[c.Endpoint]; e != nil {
			own[e.index] += c.Count
		}
	}
	byIndex, remaining, first := s.held != nil && s.held.Loads, maxNamedLoadUpdates, s.nextLoad
	if byIndex {
		remaining = maxLoadUpdates
	}
	for k := range totals {
		i := (first + k) % len(totals)
		e := p.byIndex[i]
		if e == nil {
			continue
		}
		now := sentEngine{e.version, max(totals[i]-own[i], 0)}
		last := s.sent[i]
		if last == now {
			continue
		}
		onlyLoad := last.version == now.version
		if onlyLoad && !p.tellsLoad(s, e, last.others, now.others) {
			continue
		}
		if onlyLoad {
			if remaining == 0 {
				continue
			}
			remaining--
			s.nextLoad = (i + 1) % len(totals)
		}
		s.sent[i] = now
		switch {
		case onlyLoad && byIndex:
			m.Loads = append(m.Loads, i, now.others)
		case onlyLoad:
			m.Engines = append(m.Engines, engineMessage{ID: e.id, Others: now.others, HeldUnchanged: true})
		default:
			m.Engines = append(m.Engines, engineMessage{ID: e.id, Index: i, Others: now.others, Held: e.heldMessages})
		}
	}
}

// addForecasts adds the forecasts that were removed or that moved beyond the
// tolerance since they were last sent.
func (s *hostState) addForecasts(m *viewMessage, forecasts map[modelKey]time.Time, now time.Time) {
	for k := range s.forecasts {
		if _, ok := forecasts[k]; !ok {
			delete(s.forecasts, k)
			m.RemovedForecasts = append(m.RemovedForecasts, k)
		}
	}
	for k, at := range forecasts {
		tolerance := max(forecastTolerance, time.Duration(forecastToleranceRatio*float64(at.Sub(now))))
		if last, ok := s.forecasts[k]; ok && at.Sub(last).Abs() <= tolerance {
			continue
		}
		s.forecasts[k] = at
		m.Forecasts = append(m.Forecasts, forecastMessage{Service: k.Service, Model: k.Model, ReadyMs: at.Sub(now).Milliseconds()})
	}
}

// requestTotals returns the number of requests that alive hosts run at each
// engine, by index. p.mu is held.
func (p *Publisher) requestTotals(now time.Time) []int {
	out := make([]int, len(p.byIndex))
	for _, s := range p.hosts {
		if !s.alive(now) {
			continue
		}
		for _, r := range s.running {
			if e := p.engines[r.Endpoint]; e != nil {
				out[e.index] += r.Count
			}
		}
	}
	return out
}

func (p *Publisher) send(ctx context.Context, host string, m viewMessage) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(sendTimeout))
	defer cancel()
	if err := p.cfg.Peers.Notify(ctx, host, methodView, m); err != nil {
		p.cfg.Logger.Debug("cannot send view", "host", host, "error", err)
		// The host may have missed these changes: send a full view next.
		p.mu.Lock()
		p.state(host).fullViewAt = time.Time{}
		p.mu.Unlock()
	}
}
