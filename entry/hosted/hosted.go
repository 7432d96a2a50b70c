// Package hosted runs an entry host on the users' platform: it connects the
// parts and runs them from start to graceful shutdown.
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
	"tamarackknot.example/tamarackknot/board"
	"tamarackknot.example/tamarackknot/catalog"
	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/ingress"
	"tamarackknot.example/tamarackknot/lease"
	"tamarackknot.example/tamarackknot/peer"
	"tamarackknot.example/tamarackknot/planner"
	"tamarackknot.example/tamarackknot/platform"
	"tamarackknot.example/tamarackknot/relay"
	"tamarackknot.example/tamarackknot/roster"
)

const (
	// memoryShare is the part of the memory limit that the Go runtime may use.
	memoryShare = 0.6
	// gcPercent trades memory for processor time: the heap is small against
	// the limit.
	gcPercent = 400
	// keepTime is how long callers may keep an address answer, if the platform
	// allows as much.
	keepTime = 2 * time.Second
	// acceptTime is how long a leaving host still accepts connections: callers
	// may keep an answer a little longer than told.
	acceptTime = 3 * time.Second
	// exitMargin is kept between the end of a leaving host and its kill.
	exitMargin = 700 * time.Millisecond
	// idleTimeout closes idle connections of the platform; callers' follow the
	// configuration.
	idleTimeout = 2 * time.Minute
	// catalogAge is how long ago the planner may have read the configuration
	// for hosts that rely on it: its reads wait up to 0.6 s.
	catalogAge = 1100 * time.Millisecond
	// manyHosts is the number of hosts from which the planner's work takes a
	// large part of a core, and plannerShare the part of its strength that is
	// left for callers then.
	manyHosts    = 30
	plannerShare = 0.25
	// strongerFactor is how much stronger a host must be to be preferred as the
	// planner, deferTime how much longer weaker ones wait, and yieldEvery how
	// often a planner looks for one.
	strongerFactor = 1.5
	deferTime      = 800 * time.Millisecond
	yieldEvery     = 2 * time.Second
	// relayTime is how long a version may take to come from another host until
	// this one reads the store itself.
	relayTime = 400 * time.Millisecond
	// headerTimeout bounds how long the platform may take for its headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the headers before the configuration's limit is
	// checked.
	maxHeaderBytes = 64 << 10
	bytesPerMB     = 1 << 20
)

// Config holds what a Daemon depends on.
type Config struct {
	Settings platform.SiteSettings
	// MetricsPort is the port of the metrics page; 0 means none.
	MetricsPort int
	Logger      *log.Logger
}

// Daemon is one entry host on the platform.
type Daemon struct {
	cfg      Config
	registry metrics.Registry
	self     tamarackknot.HostEntry

	mesh      *peer.Mesh
	store     *relay.Store
	catalog   *catalog.Watcher
	roster    *roster.Roster
	lease     *lease.Keeper
	hosts     *board.Registry
	hub       *board.Hub
	board     *board.Host
	planner   *planner.Controller
	dispatch  *dispatch.Dispatcher
	callers   *ingress.Server
	leaving   atomic.Bool
	followed  atomic.Pointer[followed]
	running   sync.WaitGroup
	listeners []*http.Server
}

// New connects the parts; nothing runs yet.
func New(cfg Config) *Daemon {
	s := cfg.Settings
	d := &Daemon{cfg: cfg, registry: metrics.NewRegistry(), self: tamarackknot.HostEntry{
		Name: s.Host, Incarnation: uuid.Must(uuid.NewV7()).String(), FailureDomain: s.FailureDomain,
		Address: s.CallerAddress, PeerAddress: s.PeerAddress, CPUCores: s.CPUCores,
	}}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * bytesPerMB))
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
	d.connectState()
	d.connectPlanning()
	d.callers = ingress.New(ingress.Config{
		Catalog:   d.catalog.Current,
		Dispatch:  d.dispatch,
		Budget:    &dispatch.RetryBudget{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
		Dialect:   platform.Dialect{},
		HostCount: d.board.Registered,
		Dial:      platform.NewDialer().DialContext,
		Logger:    cfg.Logger,
		Metrics:   d.registry,
	})
	return d
}

// connectState builds what follows the platform's streams.
func (d *Daemon) connectState() {
	s, store, logger := d.cfg.Settings, d.store, d.cfg.Logger
	d.dispatch = dispatch.New(dispatch.Config{
		FailureDomain:      s.FailureDomain,
		HostIndex:          d.place,
		PlannerViewCurrent: func() bool { return d.board.PlannerAlive() },
		OnModelWait:        func() { d.board.SendNow() },
		Logger:             logger,
	})
	d.catalog = catalog.New(catalog.Config{
		Store: store, Decode: platform.DecodeCatalog, Logger: logger, FollowsPlanner: d.catalogFollowed,
		HasFollowers: func() bool { return d.lease.Status().Held },
		ReadPeers: func(ctx context.Context) (tamarackknot.StreamPage, error) {
			return store.ReadPeers(ctx, tamarackknot.StreamCatalog, 0)
		},
		OnChange: func(v *catalog.View) { d.dispatch.SetPools(v.Catalog.Services) },
	})
	d.roster = roster.New(roster.Config{
		Store: store, Decode: platform.DecodeEndpoint, ContactTime: s.RecoveryTime, Logger: logger,
		PlannerState: d.endpointsFollowed,
		HasFollowers: func() bool { return d.lease.Status().Held },
		ReadPlanner: func(ctx context.Context, from int64) (tamarackknot.StreamPage, error) {
			return store.ReadPeer(ctx, d.board.Planner(), tamarackknot.StreamEndpoints, from)
		},
		OnChange: func(snap *roster.Snapshot) {
			d.dispatch.SetEndpoints(snap.Endpoints, snap.ByService, !d.board.PlannerAlive())
		},
	})
}

// connectPlanning builds what the hosts share.
func (d *Daemon) connectPlanning() {
	s, store, logger := d.cfg.Settings, d.store, d.cfg.Logger
	d.lease = lease.New(lease.Config{
		Store: store, Host: s.Host, Incarnation: d.self.Incarnation, OrderGap: s.LeaseGap, FencingEnforced: s.EnginesEnforceFencing,
		HolderReachable: func() bool { return d.board.PlannerAlive() }, TakeoverDelay: d.deference, Logger: logger,
		HolderEnd: func() (int64, time.Duration, bool) { return d.board.ReportedLeaseEnd() },
	})
	held := func() bool { return d.lease.Status().Held }
	d.hosts = board.NewRegistry(board.RegistryConfig{Store: store, Self: d.self, Follow: held, Logger: logger})
	d.hub = board.NewHub(board.HubConfig{
		Self: d.self, Peers: d.mesh, Hosts: d.hosts.Hosts, Logger: logger,
		LeaseHeld: func() (int64, bool) {
			st := d.lease.Status()
			return st.Fence, st.Held
		},
		LeaseEnd: func() int64 { return d.lease.Status().End },
		Catalog:  d.catalog.State, Endpoints: d.roster.State, OnCatalogVersion: d.catalog.ObserveVersion,
		OnDemand: func() { d.planner.Replan() },
	})
	d.board = board.NewHost(board.HostConfig{
		Self: d.self, Peers: d.mesh, Local: d.hub, Logger: logger,
		Demand: d.dispatch.Demand, OnView: d.dispatch.SetView,
		CatalogVersion: d.catalogVersion, OnStreamStates: d.streamsFollowed,
	})
	d.hub.Bind(d.board)
	d.planner = planner.New(planner.Config{
		Host: s.Host, Lease: d.lease, HoldsLease: held,
		Control:         platform.NewWeightClient(platform.Config{}),
		Store:           store,
		Catalog:         d.currentCatalog,
		Endpoints:       func() map[string]tamarackknot.EndpointEntry { return d.roster.Current().Endpoints },
		Demands:         d.hub.Demands,
		Publish:         d.hub.Publish,
		FencingEnforced: s.EnginesEnforceFencing, LoadWindow: s.LoadWindow, LoadFactor: s.LoadFactor,
		Logger: logger,
	})
}

// followed is how far the planner said that it follows the streams.
type followed struct {
	catalog, endpoints tamarackknot.StreamState
	// newAt is when the planner first named this version of the configuration.
	newAt time.Time
}

func (d *Daemon) streamsFollowed(catalog, endpoints tamarackknot.StreamState) {
	f := &followed{catalog: catalog, endpoints: endpoints, newAt: time.Now()}
	if old := d.followed.Load(); old != nil && old.catalog.Version == catalog.Version {
		f.newAt = old.newAt
	}
	old := d.followed.Swap(f)
	d.catalog.ObserveVersion(catalog.Version)
	if old == nil || old.endpoints.Version != endpoints.Version {
		d.roster.Refresh()
	}
}

// catalogFollowed reports whether the planner tells this host of new versions
// and this host has the one named, or has only just been told.
func (d *Daemon) catalogFollowed() bool {
	f := d.followed.Load()
	if f == nil || d.board.Planner() == d.self.Name || !d.board.PlannerAlive() || time.Since(f.catalog.ReadAt) > catalogAge {
		return false
	}
	return d.catalogVersion() >= f.catalog.Version || time.Since(f.newAt) < relayTime
}

// endpointsFollowed returns how far the planner, if it is heard and is another
// host, follows the list of endpoints.
func (d *Daemon) endpointsFollowed() (tamarackknot.StreamState, string, bool) {
	f := d.followed.Load()
	planner := d.board.Planner()
	if f == nil || planner == d.self.Name || !d.board.PlannerAlive() {
		return tamarackknot.StreamState{}, "", false
	}
	return f.endpoints, planner, true
}

// currentCatalog returns the configuration in force, nil before the first one.
func (d *Daemon) currentCatalog() *tamarackknot.Catalog {
	if v := d.catalog.Current(); v != nil {
		return v.Catalog
	}
	return nil
}

func (d *Daemon) catalogVersion() int64 {
	if c := d.currentCatalog(); c != nil {
		return c.Version
	}
	return 0
}

// place is the index of this host among those that the planner hears from.
func (d *Daemon) place() int {
	return max(slices.IndexFunc(d.board.Hosts(), func(h tamarackknot.HostEntry) bool { return h.Name == d.self.Name }), 0)
}

// otherHosts names the hosts that may know what this one cannot read.
func (d *Daemon) otherHosts() []string {
	var out []string
	for _, h := range d.board.Hosts() {
		if h.Name != d.self.Name {
			out = append(out, h.Name)
		}
	}
	return out
}

func (d *Daemon) peerAddress(host string) (string, bool) {
	if address, ok := d.board.PeerAddress(host); ok {
		return address, true
	}
	return d.hosts.PeerAddress(host)
}

// Ready implements platform.Directory.
func (d *Daemon) Ready() bool {
	return !d.leaving.Load() && d.catalog.Current() != nil && d.roster.HasSynced()
}

// Addresses implements platform.Directory: the hosts of the caller's failure
// domain, or all if it has none.
func (d *Daemon) Addresses(failureDomain string) ([]string, float64) {
	hosts := slices.Clone(d.board.Hosts())
	hosts = slices.DeleteFunc(hosts, func(h tamarackknot.HostEntry) bool { return h.Name == d.self.Name })
	if d.Ready() {
		hosts = append(hosts, d.self)
	}
	keep := min(keepTime, d.cfg.Settings.AddressTTL).Seconds()
	var near, all []string
	for _, h := range weighted(d.spared(hosts), failureDomain) {
		near = append(near, h.Address)
	}
	if len(near) > 0 {
		return near, keep
	}
	for _, h := range hosts {
		all = append(all, h.Address)
	}
	return all, keep
}

// spared lowers the strength of the planner where it plans for many hosts, so
// that it gets fewer callers.
func (d *Daemon) spared(hosts []tamarackknot.HostEntry) []tamarackknot.HostEntry {
	if len(hosts) < manyHosts {
		return hosts
	}
	planner := d.board.Planner()
	for i := range hosts {
		if hosts[i].Name == planner {
			hosts[i].CPUCores *= plannerShare
		}
	}
	return hosts
}

// weighted draws the hosts of a failure domain for one answer, each with the
// probability of its strength against the strongest: callers choose evenly
// among the addresses of an answer.
func weighted(hosts []tamarackknot.HostEntry, failureDomain string) []tamarackknot.HostEntry {
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

// deference is how long this host leaves the lease to stronger hosts.
func (d *Daemon) deference() time.Duration {
	if d.strongerHost() {
		return deferTime
	}
	return 0
}

// strongerHost reports whether a host that is much stronger is heard of. The
// planner does not count once it is silent.
func (d *Daemon) strongerHost() bool {
	silent := ""
	if !d.board.PlannerAlive() {
		silent = d.board.Planner()
	}
	return slices.ContainsFunc(d.board.Hosts(), func(h tamarackknot.HostEntry) bool {
		return h.Name != silent && h.CPUCores >= strongerFactor*d.self.CPUCores
	})
}

// loop yields the lease to a stronger host, until ctx ends.
func (d *Daemon) loop(ctx context.Context) {
	tick := time.NewTicker(yieldEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if d.lease.Status().Held && d.strongerHost() {
			d.cfg.Logger.Info("lease yielded to a stronger host", "strength", d.self.CPUCores)
			d.lease.Yield()
		}
	}
}

// Serve runs until ctx ends and then shuts down gracefully.
func (d *Daemon) Serve(ctx context.Context) error {
	s := d.cfg.Settings
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	if err := d.mesh.Start(partsCtx); err != nil {
		return err
	}
	d.start(partsCtx, d.catalog.Run, d.catalog.RunRelay, d.roster.Run, d.lease.Run, d.hosts.Run, d.hub.Run, d.board.Run, d.planner.Run, d.dispatch.Run, d.loop)
	failed := make(chan error, 4)
	directory := platform.DirectoryHandler(d)
	if err := d.listenCallers(partsCtx, failed); err != nil {
		return err
	}
	for _, address := range []string{s.ReadyAddress, s.DirectoryAddress} {
		if err := d.listen(partsCtx, address, directory, failed); err != nil {
			return err
		}
	}
	if port := d.cfg.MetricsPort; port > 0 {
		if err := d.listen(partsCtx, net.JoinHostPort(s.IP, strconv.Itoa(port)), http.HandlerFunc(d.serveMetrics), failed); err != nil {
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
	stopParts()
	for _, l := range d.listeners {
		_ = l.Close()
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

func (d *Daemon) start(ctx context.Context, fns ...func(context.Context)) {
	for _, fn := range fns {
		d.running.Go(func() { fn(ctx) })
	}
}

// listenCallers serves callers, whose limits follow the configuration.
func (d *Daemon) listenCallers(ctx context.Context, failed chan<- error) error {
	l, err := listen(ctx, d.cfg.Settings.CallerAddress)
	if err != nil {
		return err
	}
	server := newServer(d.callers)
	connections := ingress.NewConnTimeouts(d.callerLimits)
	d.start(ctx, connections.Run)
	d.serve(server, connections.Watch(server, l), failed)
	return nil
}

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

// newServer returns a server without time limits for its connections.
func newServer(handler http.Handler) *http.Server {
	//nolint:gosec // listenCallers and listen limit the time for headers
	return &http.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard).StandardLog()}
}

func (d *Daemon) serve(server *http.Server, l net.Listener, failed chan<- error) {
	d.listeners = append(d.listeners, server)
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

// shutdown drains: callers are sent elsewhere, the lease is handed over, and
// requests in flight end.
func (d *Daemon) shutdown(ctx context.Context) {
	s := d.cfg.Settings
	started := time.Now()
	end := started.Add(s.Grace - exitMargin)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	d.cfg.Logger.Info("draining", "until", end.Format(time.RFC3339Nano))
	d.leaving.Store(true)
	d.callers.Drain()
	d.dispatch.Drain(started.Add(acceptTime))
	d.hub.Leave(ctx)
	d.board.Leave()
	d.lease.Release(ctx)
	d.hosts.Deregister(ctx)
	t := time.NewTimer(min(time.Until(started.Add(acceptTime)), time.Until(end)))
	defer t.Stop()
	<-t.C
	// The first listener is the callers'; the others answer until the end.
	if err := d.listeners[0].Shutdown(ctx); err != nil {
		d.cfg.Logger.Warn("requests cut off at the end of the grace period", "error", err)
	}
}
