package hosted

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/catalog"
	"tamarackknot.example/tamarackknot/discovery"
	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/fleet"
	"tamarackknot.example/tamarackknot/ingress"
	"tamarackknot.example/tamarackknot/lease"
	"tamarackknot.example/tamarackknot/locality"
	"tamarackknot.example/tamarackknot/origin"
	"tamarackknot.example/tamarackknot/planner"
	"tamarackknot.example/tamarackknot/platform"
	"tamarackknot.example/tamarackknot/quarantine"
	"tamarackknot.example/tamarackknot/quota"
	"tamarackknot.example/tamarackknot/reach"
	"tamarackknot.example/tamarackknot/relay"
	"tamarackknot.example/tamarackknot/share"
	"tamarackknot.example/tamarackknot/workspace"
)

const (
	// maxCatalogAge is the maximum age of the planner's last read of the
	// configuration for other hosts to rely on it. A long poll of the planner
	// takes up to 0.6 s.
	maxCatalogAge = 1100 * time.Millisecond
	// minCPURatio is the minimum ratio of another host's CPU cores to this
	// host's for the other to be preferred as planner. weakerHostDelay is the
	// additional delay of a weaker host before it takes the lease, and
	// yieldCheckInterval the pause between two checks of the planner for a
	// stronger host.
	minCPURatio        = 1.5
	weakerHostDelay    = 800 * time.Millisecond
	yieldCheckInterval = 2 * time.Second
	// firstPlanDelay is the longest time for which hosts that start for the first time, all
	// of them at once, leave the lease to one of which they know that it is not weaker.
	firstPlanDelay = 2 * time.Second
	// startReaders is the number of hosts that read the store themselves when all start
	// together. Each other one asks the first of those before it, one in startFanout of
	// them.
	startReaders = 8
	startFanout  = 4
	// leaseWatchers is the number of hosts that read the lease often, and the list of
	// endpoints for all, while no planner is heard. Each other one waits laterWatchDelay
	// longer for the lease, in case none of these can read it.
	leaseWatchers   = 16
	laterWatchDelay = 1200 * time.Millisecond
	// relayTimeout is how long this host waits for an announced version of the
	// configuration from other hosts before it reads the store itself.
	relayTimeout = time.Second
	// restoreSettleTime is how long after a restore of the store the records of
	// its older copy are not relied on. Operators and endpoints write theirs
	// again within seconds, and entries of lost endpoints expire.
	restoreSettleTime = 10 * time.Second
	// startTimeout is how long a starting host waits for the planner after a
	// restore before it relies on the configuration in the store.
	startTimeout = 3 * time.Second
)

// componentsConfig configures components.
type componentsConfig struct {
	settings    platform.SiteSettings
	incarnation string
	store       tamarackknot.Store
	control     tamarackknot.WeightControl
	peers       tamarackknot.Peers
	// dial opens connections to endpoints and to the callers' addresses of other hosts.
	dial ingress.DialFunc
	// clock returns the time since boot, including the time of suspension. Nil
	// means the system's clock.
	clock func() time.Duration
	// domainPrice is the price of the traffic between failure domains; 0 if it has none.
	domainPrice locality.Price
	logger      *log.Logger
	metrics     metrics.Registry
	// shedding records what is refused for lack of memory, and bodyTimeout limits the time without
	// a byte of a body; zero values take defaults.
	shedding    *ingress.Shedding
	bodyTimeout time.Duration
}

// components are the parts of an entry host between the platform, the engines and
// the other hosts. They listen on no address of their own.
type components struct {
	cfg  componentsConfig
	self tamarackknot.HostEntry

	store          *relay.Store
	catalog        *catalog.Watcher
	discovery      *discovery.Watcher
	lease          *lease.Elector
	hosts          *fleet.Registry
	shares         *share.Hosts
	origins        *origin.Registry
	versions       *origin.Versions
	crashes        *quarantine.List
	reach          *reach.Monitor
	publisher      *fleet.Publisher
	fleet          *fleet.Client
	planner        *planner.Controller
	dispatch       *dispatch.Dispatcher
	workspaces     *workspace.Authority
	quotas         *quota.Keeper
	traffic        *domainTraffic // between failure domains
	plannerStreams atomic.Pointer[plannerStreams]
	quotaMu        sync.Mutex
	quotaList      []tamarackknot.HostEntry
	startBy        time.Time // when a starting host stops waiting for the planner
	planFrom       time.Time // when any host may plan at the first start
}

// newComponents wires the components without starting them.
func newComponents(cfg componentsConfig) *components {
	s := cfg.settings
	c := &components{cfg: cfg, startBy: time.Now().Add(startTimeout), planFrom: time.Now().Add(firstPlanDelay), self: tamarackknot.HostEntry{
		Name: s.Host, Incarnation: cfg.incarnation, FailureDomain: s.FailureDomain,
		Address: s.CallerAddress, PeerAddress: s.PeerAddress, CPUCores: s.CPUCores, Workspaces: true,
	}}
	c.traffic = newDomainTraffic(s.FailureDomain, c.knownHosts, cfg.metrics)
	c.store = relay.New(relay.Config{
		Store: cfg.store, Peers: cfg.peers, Hosts: c.otherHosts, Logger: cfg.logger,
		Streams:      []tamarackknot.Stream{tamarackknot.StreamCatalog, tamarackknot.StreamEndpoints},
		HasFollowers: c.holdsLease,
		StartHosts:   c.startHosts, IsCurrent: c.isCurrent, IsUnchanged: c.isUnchanged,
	})
	c.reach = reach.New(reach.Config{Dial: cfg.dial, Endpoints: c.endpointAddresses, OnChange: c.isolationChanged, Logger: cfg.logger})
	c.buildStreamWatchers()
	c.buildPlanning()
	return c
}

// loops returns the functions that run the components until their context ends.
func (c *components) loops() []func(context.Context) {
	return []func(context.Context){
		c.catalog.Run, c.catalog.RunRelay, c.discovery.Run, c.lease.Run, c.hosts.Run, c.hosts.RunFollow, c.publisher.Run,
		c.fleet.Run, c.planner.Run, c.dispatch.Run, c.origins.Run, c.versions.Run, c.crashes.Run, c.crashes.RunStore, c.crashes.RunChecks, c.reach.Run, c.quotas.Run, c.quotas.RunAgreement, c.yieldLoop,
	}
}

// newCallerServer returns the handler for callers.
func (c *components) newCallerServer(registry metrics.Registry) *ingress.Server {
	s := c.cfg.settings
	return ingress.New(ingress.Config{
		Catalog: c.catalog.Current, CatalogBehind: c.catalog.IsBehind,
		Dispatch: c.dispatch,
		Budget:   &dispatch.RetryBudget{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow, Clock: c.cfg.clock},
		Dialect:  platform.Dialect{}, Authenticator: c.workspaces, Quotas: c.quotas,
		Origins: c.origins, VersionsKnown: c.versions.Known,
		Crashes:   c.crashes,
		HostCount: c.shares.Count,
		Host:      s.Host,
		Dial:      c.traffic.countRequests(c.cfg.dial), DialEndpoint: c.traffic.countRequests(c.reach.Dial), Isolated: c.reach.Isolated, OtherHosts: c.reachingHosts,
		BodyTimeout: c.cfg.bodyTimeout, Shedding: c.cfg.shedding,
		Logger:  c.cfg.logger,
		Metrics: registry,
	})
}

// leave makes the other hosts go on without this one, which takes on only what plan allows.
// The lease is released before the others are told, so that one of them can take it at once.
func (c *components) leave(ctx context.Context, plan dispatch.Shutdown) {
	c.dispatch.Shutdown(plan)
	fence, planner := c.publisher.StepDown()
	c.fleet.Leave()
	c.lease.Release(ctx)
	if planner {
		c.publisher.AnnounceLeave(ctx, fence)
	}
	c.hosts.Deregister(ctx)
}

// isUnchanged reports whether a record of a stream says nothing new to a host that has read the
// stream up to a position.
func (c *components) isUnchanged(stream tamarackknot.Stream, rec tamarackknot.KeyedRecord, from tamarackknot.Position) bool {
	return stream == tamarackknot.StreamEndpoints && c.discovery.IsUnchanged(rec, from)
}

// buildStreamWatchers builds the components that follow the platform's streams, and
// the dispatcher that they update.
func (c *components) buildStreamWatchers() {
	s, store, logger := c.cfg.settings, c.store, c.cfg.logger
	c.dispatch = dispatch.New(dispatch.Config{
		FailureDomain:      s.FailureDomain,
		HostIndex:          c.hostIndex,
		HostCount:          func() int { return len(c.fleet.Hosts()) },
		PlannerViewCurrent: func() bool { return c.fleet.PlannerAlive() },
		OnModelWait:        func() { c.fleet.SendNow() },
		FixedReturns:       !s.UnevenEndpoints,
		Rejects:            func(r tamarackknot.RequestIdentity) bool { return c.crashes.Rejects(r) },
		Isolated:           c.reach.Isolated,
		Domains:            c.domainPolicy(),
		Places:             func(endpoint string, slots int) (int, []string) { return c.shares.Places(endpoint, slots) },
		LimitShare:         func(endpoint string, perSecond float64) float64 { return c.shares.Rate(endpoint, perSecond) },
		Logger:             logger,
	})
	c.catalog = catalog.New(catalog.Config{
		Store: store, Decode: platform.DecodeCatalog, Logger: logger, FollowsPlanner: c.followsPlanner,
		HasFollowers: c.holdsLease,
		ReadNewer: func(ctx context.Context, first bool) (tamarackknot.StreamPage, error) {
			host := ""
			if first {
				host = c.fleet.Planner()
			}
			return store.ReadNewer(ctx, host, tamarackknot.StreamCatalog)
		},
		MayStart:  c.mayReadCatalog,
		ShortPoll: c.mustConfirmCatalog, ConfirmNow: c.mustConfirmNow, Clock: c.cfg.clock,
		OnChange: func(v *catalog.View) {
			c.workspaces.Set(v.Catalog)
			c.dispatch.SetPools(v.Catalog.Services)
			c.dispatch.SetPrediction(s.UnevenEndpoints && hasGapObjective(v.Catalog))
		},
	})
	c.workspaces = workspace.New(workspace.Config{
		ConfirmedAt: c.catalog.ConfirmedAt, Limit: c.revocationLimit(), Clock: c.cfg.clock, Logger: logger, Metrics: c.cfg.metrics,
	})
	c.discovery = discovery.New(discovery.Config{
		Store: store, Decode: platform.DecodeEndpoint, RecoveryTime: s.RecoveryTime, Heartbeat: s.Heartbeat, Logger: logger,
		PlannerState:     c.plannerEndpointState,
		HasFollowers:     c.holdsLease,
		RestoredRecently: c.storeRestoredRecently,
		ReadHost: func(ctx context.Context, host string, from tamarackknot.Position, known func(string) bool) (tamarackknot.StreamPage, error) {
			return store.ReadPeer(ctx, host, tamarackknot.StreamEndpoints, from, known)
		},
		Readers: c.listReaders,
		OnChange: func(snap *discovery.Snapshot) {
			c.traffic.setEndpoints(snap)
			c.dispatch.SetEndpoints(snap.Endpoints, snap.ByService, !c.fleet.PlannerAlive())
		},
	})
}

// buildPlanning builds the lease, the host registry, both sides of the exchange
// between hosts and planner, and the planner.
func (c *components) buildPlanning() {
	s, store, logger := c.cfg.settings, c.store, c.cfg.logger
	c.lease = lease.New(lease.Config{
		Store: store, Host: s.Host, Incarnation: c.self.Incarnation, OrderGap: s.OrderGap, FencingEnforced: s.EnginesEnforceFencing,
		HolderReachable: func() bool { return c.fleet.PlannerAlive() }, TakeoverDelay: c.takeoverDelay, WatchDelay: c.watchDelay, Logger: logger,
		FirstStart: s.FirstStart, Clock: c.cfg.clock,
		Registration:  func() tamarackknot.Registration { return c.hosts.Registration() },
		HolderMessage: func() (tamarackknot.HolderMessage, bool) { return c.fleet.HolderMessage() },
	})
	c.hosts = fleet.NewRegistry(fleet.RegistryConfig{
		Store: store, Self: c.self, FirstStart: s.FirstStart, Follow: c.holdsLease, Clock: c.cfg.clock, PlannerHeard: func() bool { return c.fleet.PlannerAlive() }, Logger: logger,
	})
	c.publisher = fleet.NewPublisher(fleet.PublisherConfig{
		Self: c.self, Peers: c.cfg.peers, Hosts: c.hosts.Hosts, Logger: logger,
		LeaseHeld: func() (int64, bool) {
			st := c.lease.Status()
			return st.Fence, st.Held
		},
		LeaseEnd:       func() tamarackknot.Position { return c.lease.Status().End },
		HostsReadAt:    func() time.Duration { return c.hosts.Registration().ReadAt },
		Clock:          c.cfg.clock,
		OnAcknowledged: c.onAcknowledged(),
		Catalog:        c.catalog.State, Endpoints: c.discovery.State, OnCatalogVersion: c.catalog.ObserveVersion,
		OnDemand: func() { c.planner.Replan() }, ByDomain: c.cfg.domainPrice > 0,
	})
	c.origins = origin.New(origin.Config{Peers: c.cfg.peers, Others: c.otherHosts, Logger: logger})
	c.versions = origin.NewVersions(origin.VersionsConfig{
		Store: store, Keeps: c.holdsLease, Listed: c.dispatch.Versions, Add: c.dispatch.AddVersions, Memory: dispatch.VersionMemory,
		FirstStart: s.FirstStart, Clock: c.cfg.clock, Logger: logger,
	})
	c.crashes = quarantine.New(quarantine.Config{
		Self: s.Host, Peers: c.cfg.peers, Store: store, Others: c.otherHosts, Reachable: c.endpointReachable, Clock: c.cfg.clock, Logger: logger,
	})
	c.shares = share.New(share.Config{Self: s.Host, Window: s.RetryWindow, Clock: c.cfg.clock, Logger: logger})
	c.fleet = fleet.NewClient(fleet.ClientConfig{
		Self: c.self, Peers: c.cfg.peers, Local: c.publisher, Logger: logger,
		Isolated: c.reach.Isolated, Shares: c.cfg.domainPrice > 0,
		Demand: c.dispatch.Demand, OnView: c.dispatch.SetView,
		CatalogVersion: c.catalogVersion, OnMembers: c.shares.Observe, OnStreamStates: c.updatePlannerStreams, OnStoreEra: store.AnnounceEra,
		Promise: c.lease.Promise, OnPlannerLeft: c.lease.Wake, Clock: c.cfg.clock,
	})
	c.publisher.Bind(c.fleet)
	c.quotas = quota.New(quota.Config{
		Self: s.Host, Peers: c.cfg.peers, Hosts: c.quotaHosts, ListConfirmedAt: c.quotaListConfirmedAt, Planner: c.fleet.Planner, Sharers: c.shares.Count, Limit: c.workspaceQuota,
		Window: s.QuotaWindow, Excess: s.QuotaExcess, Slack: s.QuotaSlack, Clock: c.cfg.clock, Logger: logger, Metrics: c.cfg.metrics,
	})
	c.planner = planner.New(planner.Config{
		Host: s.Host, Lease: c.lease, HoldsLease: c.holdsLease,
		Control:         c.cfg.control,
		Store:           store,
		Catalog:         c.currentCatalog,
		Endpoints:       func() map[string]tamarackknot.EndpointEntry { return c.discovery.Current().Endpoints },
		Demand:          c.publisher.Demand,
		Limited:         c.publisher.Limited,
		Leaving:         c.publisher.Leaving,
		Publish:         c.publisher.Publish,
		Price:           c.cfg.domainPrice,
		FencingEnforced: s.EnginesEnforceFencing, LoadWindow: s.LoadWindow, LoadFactor: s.LoadFactor,
		Logger: logger,
	})
}

// onAcknowledged returns what extends the lease by acknowledgements, nil where engines reject
// outdated fencing tokens, so that it doesn't need them.
func (c *components) onAcknowledged() func(sentAt time.Duration) {
	if c.cfg.settings.EnginesEnforceFencing {
		return nil
	}
	return func(sentAt time.Duration) { c.lease.Extend(sentAt, c.hosts.Registration().ReadAt) }
}

// plannerStreams holds the planner's positions in the platform's streams, from its
// last message.
type plannerStreams struct {
	catalog, endpoints tamarackknot.StreamState
	// catalogSeenAt is when the planner first announced this version of the
	// configuration.
	catalogSeenAt time.Time
}

// updatePlannerStreams stores the planner's positions and triggers the reads of
// the changes that they announce.
func (c *components) updatePlannerStreams(catalog, endpoints tamarackknot.StreamState) {
	streams := &plannerStreams{catalog: catalog, endpoints: endpoints, catalogSeenAt: time.Now()}
	if old := c.plannerStreams.Load(); old != nil && old.catalog.Version == catalog.Version {
		streams.catalogSeenAt = old.catalogSeenAt
	}
	// The version must be observed before mayReadCatalog relies on the planner.
	c.catalog.ObserveVersion(catalog.Version)
	if catalog.ConfirmedAt > 0 {
		c.catalog.Confirm(catalog.Version, catalog.ConfirmedAt)
	}
	old := c.plannerStreams.Swap(streams)
	if old == nil || old.endpoints.Version != endpoints.Version {
		c.discovery.Refresh()
	}
}

// mayReadCatalog reports whether the first configuration may be read from the
// store. After a restore the store may hold an older version than other hosts
// have in force, so this host waits until it hears from the planner which
// version that is, or until no host is expected to answer any more.
func (c *components) mayReadCatalog() bool {
	if c.plannerStreams.Load() != nil && c.fleet.PlannerAlive() {
		return true
	}
	recently, known := c.storeRestoredRecently()
	return known && !recently || time.Now().After(c.startBy)
}

// storeRestoredRecently reports whether the store was restored so recently that
// records of its older copy may be out of date. That is known once the lease was
// read; a host that cannot read it does not wait for it longer than startTimeout.
func (c *components) storeRestoredRecently() (recently, known bool) {
	age, restored, known := c.lease.RestoreAge()
	return restored && age < restoreSettleTime, known || time.Now().After(c.startBy)
}

// followsPlanner reports whether this host need not read the configuration
// itself: a live planner on another host has read it recently, and this host has
// the announced version or has waited less than relayTimeout for it.
func (c *components) followsPlanner() bool {
	streams := c.plannerStreams.Load()
	if streams == nil || c.fleet.Planner() == c.self.Name || !c.fleet.PlannerAlive() || time.Since(streams.catalog.ReadAt) > maxCatalogAge {
		return false
	}
	if c.mustConfirmNow() {
		return false
	}
	return c.catalogVersion() >= streams.catalog.Version || time.Since(streams.catalogSeenAt) < relayTimeout
}

// plannerEndpointState returns the planner's position in the endpoint list and its
// name. The last result is false while there is no other host that is a live
// planner.
func (c *components) plannerEndpointState() (tamarackknot.StreamState, string, bool) {
	streams := c.plannerStreams.Load()
	planner := c.fleet.Planner()
	if streams == nil || planner == c.self.Name || !c.fleet.PlannerAlive() {
		return tamarackknot.StreamState{}, "", false
	}
	return streams.endpoints, planner, true
}

// currentCatalog returns the configuration in force, nil before the first one.
func (c *components) currentCatalog() *tamarackknot.Catalog {
	if v := c.catalog.Current(); v != nil {
		return v.Catalog
	}
	return nil
}

// catalogVersion returns the version of the configuration in force, 0 before the
// first one.
func (c *components) catalogVersion() int64 {
	if c := c.currentCatalog(); c != nil {
		return c.Version
	}
	return 0
}

// hostIndex returns the index of this host among the hosts that the planner
// considers alive, 0 if it is not one of them.
func (c *components) hostIndex() int {
	return max(slices.IndexFunc(c.fleet.Hosts(), func(h tamarackknot.HostEntry) bool { return h.Name == c.self.Name }), 0)
}

// knownHosts returns the live hosts or, before the first list of a planner, those that were
// registered when this host started.
func (c *components) knownHosts() []tamarackknot.HostEntry {
	if hosts := c.fleet.Hosts(); hosts != nil {
		return hosts
	}
	return c.hosts.HostsAtStart()
}

// otherHosts returns the names of the other live hosts, through which the store
// can be read.
func (c *components) otherHosts() []string {
	var out []string
	for _, h := range c.knownHosts() {
		if h.Name != c.self.Name {
			out = append(out, h.Name)
		}
	}
	return out
}

// startHosts returns the hosts that this one asks for what it reads first, in place of the
// store: some of those that come before it, none if it is one of the first.
func (c *components) startHosts() (hosts []string, known bool) {
	if !c.hosts.OthersKnown() {
		return nil, false
	}
	before := c.hostsBefore(c.hosts.HostsAtStart())
	if len(before) < startReaders {
		return nil, true
	}
	for _, h := range before[:max(startReaders, len(before)/startFanout)] {
		hosts = append(hosts, h.Name)
	}
	return hosts, true
}

// hostsBefore returns those of the hosts that come before this one: the stronger ones first,
// others in an order that all hosts agree on.
func (c *components) hostsBefore(hosts []tamarackknot.HostEntry) []tamarackknot.HostEntry {
	order := func(a, b tamarackknot.HostEntry) int {
		return cmp.Or(cmp.Compare(b.CPUCores, a.CPUCores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
	}
	before := slices.DeleteFunc(slices.Clone(hosts), func(h tamarackknot.HostEntry) bool { return order(h, c.self) >= 0 })
	slices.SortFunc(before, order)
	return before
}

// isCurrent reports whether this host has what a planner knows of a stream that has read it
// recently.
func (c *components) isCurrent(stream tamarackknot.Stream) bool {
	switch stream {
	case tamarackknot.StreamCatalog:
		return c.followsPlanner()
	case tamarackknot.StreamEndpoints:
		return c.discovery.IsCurrent()
	default:
		return false
	}
}

// reachingHosts returns the other live hosts that reach endpoints, in random order, those
// in the same failure domain first.
func (c *components) reachingHosts() []tamarackknot.HostEntry {
	var out []tamarackknot.HostEntry
	for _, h := range c.knownHosts() {
		if h.Name != c.self.Name && !h.Isolated {
			out = append(out, h)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b tamarackknot.HostEntry) int {
		return cmp.Compare(c.distance(a), c.distance(b))
	})
	return out
}

// distance is 0 for a host in the same failure domain, 1 for another.
func (c *components) distance(h tamarackknot.HostEntry) int {
	if h.FailureDomain == c.self.FailureDomain {
		return 0
	}
	return 1
}

// endpointAddresses returns the addresses of the endpoints that serve.
func (c *components) endpointAddresses() []string {
	snap := c.discovery.Current()
	var out []string
	for _, ids := range snap.ByService {
		for _, id := range ids {
			out = append(out, snap.Endpoints[id].Address)
		}
	}
	return out
}

// endpointReachable reports whether a connection to an endpoint can be made.
func (c *components) endpointReachable(ctx context.Context, address string) bool {
	conn, err := c.reach.Dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// isolationChanged tells the planner, or lets another host plan if this one reaches no
// endpoint.
func (c *components) isolationChanged() {
	c.fleet.SendNow()
	c.yieldIfOthersPlanBetter()
}

// yieldIfOthersPlanBetter yields the lease to a stronger host, or to one that reaches
// endpoints if this host does not. While renewals fail, an isolated host goes on planning:
// nobody would plan if the store is down for all.
func (c *components) yieldIfOthersPlanBetter() {
	status := c.lease.Status()
	if !status.Held {
		return
	}
	isolated := c.reach.Isolated() && !status.Failing && len(c.reachingHosts()) > 0
	if isolated || c.isWeakerThan(c.fleet.Hosts()) {
		c.cfg.logger.Info("lease yielded to another host", "strength", c.self.CPUCores, "isolated", isolated)
		c.lease.Yield()
	}
}

// holdsLease reports whether this host holds the planner lease.
func (c *components) holdsLease() bool { return c.lease.Status().Held }

func (c *components) peerAddress(host string) (string, bool) {
	if address, ok := c.fleet.PeerAddress(host); ok {
		return address, true
	}
	return c.hosts.PeerAddress(host)
}

// takeoverDelay returns how much longer this host waits before it takes the lease,
// so that stronger hosts, and those that reach endpoints, take it first.
func (c *components) takeoverDelay() time.Duration {
	weaker := c.isWeakerThan(c.knownHosts())
	switch {
	case c.cfg.settings.FirstStart && time.Now().Before(c.planFrom) && (weaker || !c.hosts.OthersKnown()):
		return firstPlanDelay
	case weaker || c.reach.Isolated():
		return weakerHostDelay
	default:
		return 0
	}
}

// listReaders returns the hosts that read the list of endpoints from the store for others
// while no planner is heard, none if this host is one of them or plans itself.
func (c *components) listReaders() []string {
	if c.holdsLease() {
		return nil
	}
	before := c.hostsBefore(c.knownHosts())
	if len(before) < leaseWatchers {
		return nil
	}
	var hosts []string
	for _, h := range before[:leaseWatchers] {
		if h.Name != c.fleet.Planner() {
			hosts = append(hosts, h.Name)
		}
	}
	return hosts
}

// watchDelay returns how much longer this host waits between two reads of the lease: many
// hosts that lose the planner at the same moment would read it for each other.
func (c *components) watchDelay() time.Duration {
	if len(c.hostsBefore(c.knownHosts())) < leaseWatchers {
		return 0
	}
	return laterWatchDelay
}

// isWeakerThan reports whether one of the hosts has at least minCPURatio times as many CPU
// cores as this one. A planner that is no longer alive does not count.
func (c *components) isWeakerThan(hosts []tamarackknot.HostEntry) bool {
	unreachable := ""
	if !c.fleet.PlannerAlive() {
		unreachable = c.fleet.Planner()
	}
	return slices.ContainsFunc(hosts, func(h tamarackknot.HostEntry) bool {
		return h.Name != unreachable && h.CPUCores >= minCPURatio*c.self.CPUCores
	})
}

// yieldLoop yields the lease whenever another host plans better, until ctx ends.
func (c *components) yieldLoop(ctx context.Context) {
	tick := time.NewTicker(yieldCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.yieldIfOthersPlanBetter()
	}
}

// hasGapObjective reports whether a route names the longest gap between the events of its
// streams, so that endpoints are chosen by what is predicted of it.
func hasGapObjective(c *tamarackknot.Catalog) bool {
	return slices.ContainsFunc(c.Routes, func(r tamarackknot.Route) bool { return r.GapObjective > 0 })
}
