// Package hosted runs an entry host on the users' platform: it wires the
// components and runs them from start to graceful shutdown.
package hosted

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/catalog"
	"tamarackknot.example/tamarackknot/discovery"
	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/fleet"
	"tamarackknot.example/tamarackknot/ingress"
	"tamarackknot.example/tamarackknot/lease"
	"tamarackknot.example/tamarackknot/peer"
	"tamarackknot.example/tamarackknot/planner"
	"tamarackknot.example/tamarackknot/platform"
	"tamarackknot.example/tamarackknot/relay"
)

const (
	// memoryLimitRatio is the fraction of the host's memory limit that is set as
	// the soft limit of the Go runtime.
	memoryLimitRatio = 0.6
	// gcPercent is above the default of 100 to save CPU time; the heap is small
	// compared with the limit.
	gcPercent = 400
	// maxAddressTTL is how long callers may cache a list of addresses, unless the
	// platform's settings give a shorter TTL.
	maxAddressTTL = 2 * time.Second
	// drainAcceptTime is how long a draining host still accepts connections. It
	// exceeds maxAddressTTL because callers may cache addresses slightly longer.
	drainAcceptTime = 3 * time.Second
	// shutdownMargin is the time between the end of the shutdown and the end of
	// the grace period, at which the platform kills the process.
	shutdownMargin = 700 * time.Millisecond
	// idleTimeout is the timeout of idle connections from the platform. The one
	// of callers' connections is part of the configuration.
	idleTimeout = 2 * time.Minute
	// maxCatalogAge is the maximum age of the planner's last read of the
	// configuration for other hosts to rely on it. A long poll of the planner
	// takes up to 0.6 s.
	maxCatalogAge = 1100 * time.Millisecond
	// largeFleetHosts is the number of hosts from which planning takes a large
	// part of a core. plannerCPUFactor then scales down the CPU cores of the
	// planner when callers are assigned.
	largeFleetHosts  = 30
	plannerCPUFactor = 0.25
	// minCPURatio is the minimum ratio of another host's CPU cores to this
	// host's for the other to be preferred as planner. weakerHostDelay is the
	// additional delay of a weaker host before it takes the lease, and
	// yieldCheckInterval the pause between two checks of the planner for a
	// stronger host.
	minCPURatio        = 1.5
	weakerHostDelay    = 800 * time.Millisecond
	yieldCheckInterval = 2 * time.Second
	// relayTimeout is how long this host waits for an announced version of the
	// configuration from other hosts before it reads the store itself.
	relayTimeout = 400 * time.Millisecond
	// headerTimeout limits reading the headers of a request from the platform.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes limits the size of the headers before the limit in the
	// configuration is checked.
	maxHeaderBytes = 64 << 10
	bytesPerMB     = 1 << 20
)

// Config configures a Daemon.
type Config struct {
	Settings platform.SiteSettings
	// MetricsPort is the port of the metrics page; 0 disables it.
	MetricsPort int
	Logger      *log.Logger
}

// Daemon is one entry host on the platform.
type Daemon struct {
	cfg      Config
	registry metrics.Registry
	self     tamarackknot.HostEntry

	mesh           *peer.Mesh
	store          *relay.Store
	catalog        *catalog.Watcher
	discovery      *discovery.Watcher
	lease          *lease.Elector
	hosts          *fleet.Registry
	publisher      *fleet.Publisher
	fleet          *fleet.Client
	planner        *planner.Controller
	dispatch       *dispatch.Dispatcher
	callers        *ingress.Server
	leaving        atomic.Bool
	plannerStreams atomic.Pointer[plannerStreams]
	running        sync.WaitGroup
	servers        []*http.Server
}

// New wires the components without starting them. It also sets the memory limit
// and the garbage collection percentage of the process.
func New(cfg Config) *Daemon {
	s := cfg.Settings
	d := &Daemon{cfg: cfg, registry: metrics.NewRegistry(), self: tamarackknot.HostEntry{
		Name: s.Host, Incarnation: uuid.Must(uuid.NewV7()).String(), FailureDomain: s.FailureDomain,
		Address: s.CallerAddress, PeerAddress: s.PeerAddress, CPUCores: s.CPUCores,
	}}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryMB) * bytesPerMB))
	}
	debug.SetGCPercent(gcPercent)
	d.mesh = peer.New(peer.Config{
		Host: s.Host, Incarnation: d.self.Incarnation,
		Listen: func(ctx context.Context) (net.Listener, error) { return listen(ctx, s.PeerAddress) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return platform.NewDialer().DialContext(ctx, "tcp", address)
		},
		Resolve: d.peerAddress,
		Metrics: d.registry,
		Logger:  cfg.Logger,
	})
	d.store = relay.New(relay.Config{
		Store: platform.NewStore(platform.Config{Address: s.StoreAddress}), Peers: d.mesh, Hosts: d.otherHosts, Logger: cfg.Logger,
		Streams: []tamarackknot.Stream{tamarackknot.StreamCatalog, tamarackknot.StreamEndpoints},
	})
	d.buildStreamWatchers()
	d.buildPlanning()
	d.callers = ingress.New(ingress.Config{
		Catalog:   d.catalog.Current,
		Dispatch:  d.dispatch,
		Budget:    &dispatch.RetryBudget{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
		Dialect:   platform.Dialect{},
		HostCount: d.fleet.Registered,
		Dial:      platform.NewDialer().DialContext,
		Logger:    cfg.Logger,
		Metrics:   d.registry,
	})
	return d
}

// buildStreamWatchers builds the components that follow the platform's streams, and
// the dispatcher that they update.
func (d *Daemon) buildStreamWatchers() {
	s, store, logger := d.cfg.Settings, d.store, d.cfg.Logger
	d.dispatch = dispatch.New(dispatch.Config{
		FailureDomain:      s.FailureDomain,
		HostIndex:          d.hostIndex,
		PlannerViewCurrent: func() bool { return d.fleet.PlannerAlive() },
		OnModelWait:        func() { d.fleet.SendNow() },
		Logger:             logger,
	})
	d.catalog = catalog.New(catalog.Config{
		Store: store, Decode: platform.DecodeCatalog, Logger: logger, FollowsPlanner: d.followsPlanner,
		HasFollowers: func() bool { return d.lease.Status().Held },
		ReadPeers: func(ctx context.Context) (tamarackknot.StreamPage, error) {
			return store.ReadPeers(ctx, tamarackknot.StreamCatalog, 0)
		},
		OnChange: func(v *catalog.View) { d.dispatch.SetPools(v.Catalog.Services) },
	})
	d.discovery = discovery.New(discovery.Config{
		Store: store, Decode: platform.DecodeEndpoint, RecoveryTime: s.RecoveryTime, Logger: logger,
		PlannerState: d.plannerEndpointState,
		HasFollowers: func() bool { return d.lease.Status().Held },
		ReadPlanner: func(ctx context.Context, from int64) (tamarackknot.StreamPage, error) {
			return store.ReadPeer(ctx, d.fleet.Planner(), tamarackknot.StreamEndpoints, from)
		},
		OnChange: func(snap *discovery.Snapshot) {
			d.dispatch.SetEndpoints(snap.Endpoints, snap.ByService, !d.fleet.PlannerAlive())
		},
	})
}

// buildPlanning builds the lease, the host registry, both sides of the exchange
// between hosts and planner, and the planner.
func (d *Daemon) buildPlanning() {
	s, store, logger := d.cfg.Settings, d.store, d.cfg.Logger
	d.lease = lease.New(lease.Config{
		Store: store, Host: s.Host, Incarnation: d.self.Incarnation, OrderGap: s.OrderGap, FencingEnforced: s.EnginesEnforceFencing,
		HolderReachable: func() bool { return d.fleet.PlannerAlive() }, TakeoverDelay: d.takeoverDelay, Logger: logger,
		HolderEnd: func() (int64, time.Duration, bool) { return d.fleet.ReportedLeaseEnd() },
	})
	held := func() bool { return d.lease.Status().Held }
	d.hosts = fleet.NewRegistry(fleet.RegistryConfig{Store: store, Self: d.self, Follow: held, Logger: logger})
	d.publisher = fleet.NewPublisher(fleet.PublisherConfig{
		Self: d.self, Peers: d.mesh, Hosts: d.hosts.Hosts, Logger: logger,
		LeaseHeld: func() (int64, bool) {
			st := d.lease.Status()
			return st.Fence, st.Held
		},
		LeaseEnd: func() int64 { return d.lease.Status().End },
		Catalog:  d.catalog.State, Endpoints: d.discovery.State, OnCatalogVersion: d.catalog.ObserveVersion,
		OnDemand: func() { d.planner.Replan() },
	})
	d.fleet = fleet.NewClient(fleet.ClientConfig{
		Self: d.self, Peers: d.mesh, Local: d.publisher, Logger: logger,
		Demand: d.dispatch.Demand, OnView: d.dispatch.SetView,
		CatalogVersion: d.catalogVersion, OnStreamStates: d.updatePlannerStreams,
	})
	d.publisher.Bind(d.fleet)
	d.planner = planner.New(planner.Config{
		Host: s.Host, Lease: d.lease, HoldsLease: held,
		Control:         platform.NewWeightClient(platform.Config{}),
		Store:           store,
		Catalog:         d.currentCatalog,
		Endpoints:       func() map[string]tamarackknot.EndpointEntry { return d.discovery.Current().Endpoints },
		Demands:         d.publisher.Demands,
		Publish:         d.publisher.Publish,
		FencingEnforced: s.EnginesEnforceFencing, LoadWindow: s.LoadWindow, LoadFactor: s.LoadFactor,
		Logger: logger,
	})
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
func (d *Daemon) updatePlannerStreams(catalog, endpoints tamarackknot.StreamState) {
	streams := &plannerStreams{catalog: catalog, endpoints: endpoints, catalogSeenAt: time.Now()}
	if old := d.plannerStreams.Load(); old != nil && old.catalog.Version == catalog.Version {
		streams.catalogSeenAt = old.catalogSeenAt
	}
	old := d.plannerStreams.Swap(streams)
	d.catalog.ObserveVersion(catalog.Version)
	if old == nil || old.endpoints.Version != endpoints.Version {
		d.discovery.Refresh()
	}
}

// followsPlanner reports whether this host need not read the configuration
// itself: a live planner on another host has read it recently, and this host has
// the announced version or has waited less than relayTimeout for it.
func (d *Daemon) followsPlanner() bool {
	streams := d.plannerStreams.Load()
	if streams == nil || d.fleet.Planner() == d.self.Name || !d.fleet.PlannerAlive() || time.Since(streams.catalog.ReadAt) > maxCatalogAge {
		return false
	}
	return d.catalogVersion() >= streams.catalog.Version || time.Since(streams.catalogSeenAt) < relayTimeout
}

// plannerEndpointState returns the planner's position in the endpoint list and its
// name. The last result is false while there is no other host that is a live
// planner.
func (d *Daemon) plannerEndpointState() (tamarackknot.StreamState, string, bool) {
	streams := d.plannerStreams.Load()
	planner := d.fleet.Planner()
	if streams == nil || planner == d.self.Name || !d.fleet.PlannerAlive() {
		return tamarackknot.StreamState{}, "", false
	}
	return streams.endpoints, planner, true
}

// currentCatalog returns the configuration in force, nil before the first one.
func (d *Daemon) currentCatalog() *tamarackknot.Catalog {
	if v := d.catalog.Current(); v != nil {
		return v.Catalog
	}
	return nil
}

// catalogVersion returns the version of the configuration in force, 0 before the
// first one.
func (d *Daemon) catalogVersion() int64 {
	if c := d.currentCatalog(); c != nil {
		return c.Version
	}
	return 0
}

// hostIndex returns the index of this host among the hosts that the planner
// considers alive, 0 if it is not one of them.
func (d *Daemon) hostIndex() int {
	return max(slices.IndexFunc(d.fleet.Hosts(), func(h tamarackknot.HostEntry) bool { return h.Name == d.self.Name }), 0)
}

// otherHosts returns the names of the other live hosts, through which the store
// can be read.
func (d *Daemon) otherHosts() []string {
	var out []string
	for _, h := range d.fleet.Hosts() {
		if h.Name != d.self.Name {
			out = append(out, h.Name)
		}
	}
	return out
}

func (d *Daemon) peerAddress(host string) (string, bool) {
	if address, ok := d.fleet.PeerAddress(host); ok {
		return address, true
	}
	return d.hosts.PeerAddress(host)
}

// Ready implements platform.Directory.
func (d *Daemon) Ready() bool {
	return !d.leaving.Load() && d.catalog.Current() != nil && d.discovery.HasSynced()
}

// Addresses implements platform.Directory. It returns the addresses of hosts in
// the caller's failure domain, or of all hosts if there is none in it, and the
// time in seconds for which callers may cache them.
func (d *Daemon) Addresses(failureDomain string) ([]string, float64) {
	hosts := slices.Clone(d.fleet.Hosts())
	hosts = slices.DeleteFunc(hosts, func(h tamarackknot.HostEntry) bool { return h.Name == d.self.Name })
	if d.Ready() {
		hosts = append(hosts, d.self)
	}
	ttl := min(maxAddressTTL, d.cfg.Settings.AddressTTL).Seconds()
	var sameDomain, all []string
	for _, h := range sampleByCPU(d.reducePlannerCPU(hosts), failureDomain) {
		sameDomain = append(sameDomain, h.Address)
	}
	if len(sameDomain) > 0 {
		return sameDomain, ttl
	}
	for _, h := range hosts {
		all = append(all, h.Address)
	}
	return all, ttl
}

// reducePlannerCPU scales down the CPU cores of the planner in place if it plans
// for many hosts, so that it gets fewer callers.
func (d *Daemon) reducePlannerCPU(hosts []tamarackknot.HostEntry) []tamarackknot.HostEntry {
	if len(hosts) < largeFleetHosts {
		return hosts
	}
	planner := d.fleet.Planner()
	for i := range hosts {
		if hosts[i].Name == planner {
			hosts[i].CPUCores *= plannerCPUFactor
		}
	}
	return hosts
}

// sampleByCPU returns a random sample of the hosts of a failure domain. Each
// is included with a probability equal to its CPU cores relative to those of the
// strongest host, because callers choose uniformly among the addresses that they get.
func sampleByCPU(hosts []tamarackknot.HostEntry, failureDomain string) []tamarackknot.HostEntry {
	strongest := 0.0
	for _, h := range hosts {
		if h.FailureDomain == failureDomain {
			strongest = max(strongest, h.CPUCores)
		}
	}
	var out []tamarackknot.HostEntry
	for _, h := range hosts {
		if h.FailureDomain == failureDomain && (h.CPUCores >= strongest || rand.Float64()*strongest < h.CPUCores) {
			out = append(out, h)
		}
	}
	return out
}

// takeoverDelay returns how much longer this host waits before it takes the lease,
// so that stronger hosts take it first.
func (d *Daemon) takeoverDelay() time.Duration {
	if d.hasStrongerHost() {
		return weakerHostDelay
	}
	return 0
}

// hasStrongerHost reports whether the host list contains a host that has at least
// minCPURatio times as many CPU cores as this one. A planner that is no longer
// alive does not count.
func (d *Daemon) hasStrongerHost() bool {
	unreachable := ""
	if !d.fleet.PlannerAlive() {
		unreachable = d.fleet.Planner()
	}
	return slices.ContainsFunc(d.fleet.Hosts(), func(h tamarackknot.HostEntry) bool {
		return h.Name != unreachable && h.CPUCores >= minCPURatio*d.self.CPUCores
	})
}

// yieldLoop yields the lease whenever there is a stronger host, until ctx ends.
func (d *Daemon) yieldLoop(ctx context.Context) {
	tick := time.NewTicker(yieldCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if d.lease.Status().Held && d.hasStrongerHost() {
			d.cfg.Logger.Info("lease yielded to a stronger host", "strength", d.self.CPUCores)
			d.lease.Yield()
		}
	}
}

// Serve runs until ctx ends and then shuts down gracefully.
func (d *Daemon) Serve(ctx context.Context) error {
	s := d.cfg.Settings
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	if err := d.mesh.Start(componentsCtx); err != nil {
		return err
	}
	d.start(componentsCtx, d.catalog.Run, d.catalog.RunRelay, d.discovery.Run, d.lease.Run, d.hosts.Run, d.publisher.Run, d.fleet.Run, d.planner.Run, d.dispatch.Run, d.yieldLoop)
	failed := make(chan error, 4)
	directory := platform.DirectoryHandler(d)
	if err := d.listenCallers(componentsCtx, failed); err != nil {
		return err
	}
	for _, address := range []string{s.ReadyAddress, s.DirectoryAddress} {
		if err := d.listen(componentsCtx, address, directory, failed); err != nil {
			return err
		}
	}
	if port := d.cfg.MetricsPort; port > 0 {
		if err := d.listen(componentsCtx, net.JoinHostPort(s.IP, strconv.Itoa(port)), http.HandlerFunc(d.serveMetrics), failed); err != nil {
			return err
		}
	}
	d.cfg.Logger.Info("serving", "callers", s.CallerAddress, "peers", s.PeerAddress, "failureDomain", s.FailureDomain,
		"incarnation", d.self.Incarnation)
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		d.shutdown(context.WithoutCancel(ctx))
	}
	stopComponents()
	for _, server := range d.servers {
		_ = server.Close()
	}
	err = errors.CombineErrors(err, d.mesh.Close())
	d.running.Wait()
	d.cfg.Logger.Info("stopped")
	return err
}

// serveMetrics writes all metrics as text.
func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(d.registry, w)
}

// start runs functions until their context ends; Serve waits for them.
func (d *Daemon) start(ctx context.Context, fns ...func(context.Context)) {
	for _, fn := range fns {
		d.running.Go(func() { fn(ctx) })
	}
}

// listenCallers serves callers with the limits in the current configuration.
func (d *Daemon) listenCallers(ctx context.Context, failed chan<- error) error {
	l, err := listen(ctx, d.cfg.Settings.CallerAddress)
	if err != nil {
		return err
	}
	server := newServer(d.callers)
	timeouts := ingress.NewConnTimeouts(d.callerLimits)
	d.start(ctx, timeouts.Run)
	d.serve(server, timeouts.Watch(server, l), failed)
	return nil
}

// callerLimits returns the limits in the current configuration, zero before the
// first one.
func (d *Daemon) callerLimits() tamarackknot.CallerLimits {
	if c := d.currentCatalog(); c != nil {
		return c.Limits
	}
	return tamarackknot.CallerLimits{}
}

func (d *Daemon) listen(ctx context.Context, address string, handler http.Handler, failed chan<- error) error {
	l, err := listen(ctx, address)
	if err != nil {
		return err
	}
	server := newServer(handler)
	server.ReadHeaderTimeout, server.IdleTimeout = headerTimeout, idleTimeout
	d.serve(server, l, failed)
	return nil
}

// newServer returns a server without connection timeouts.
func newServer(handler http.Handler) *http.Server {
	//nolint:gosec // listenCallers and listen set the header timeout
	return &http.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard).StandardLog()}
}

func (d *Daemon) serve(server *http.Server, l net.Listener, failed chan<- error) {
	d.servers = append(d.servers, server)
	d.running.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- errors.Wrapf(err, "serve %s", l.Addr())
		}
	})
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: platform.NewDialer().KeepAliveConfig}
	l, err := lc.Listen(ctx, "tcp", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

// shutdown drains the host: it stops advertising its address, releases the lease
// and waits for the requests in flight until shutdownMargin before the end of the
// grace period.
func (d *Daemon) shutdown(ctx context.Context) {
	s := d.cfg.Settings
	started := time.Now()
	end := started.Add(s.Grace - shutdownMargin)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	d.cfg.Logger.Info("draining", "until", end.Format(time.RFC3339Nano))
	d.leaving.Store(true)
	d.callers.Drain()
	d.dispatch.Drain(started.Add(drainAcceptTime))
	d.publisher.Leave(ctx)
	d.fleet.Leave()
	d.lease.Release(ctx)
	d.hosts.Deregister(ctx)
	t := time.NewTimer(min(time.Until(started.Add(drainAcceptTime)), time.Until(end)))
	defer t.Stop()
	<-t.C
	// The first server is that of callers; the others serve until the process
	// exits.
	if err := d.servers[0].Shutdown(ctx); err != nil {
		d.cfg.Logger.Warn("requests aborted at the end of the grace period", "error", err)
	}
}
