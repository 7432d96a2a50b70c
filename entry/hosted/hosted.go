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
	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/entry/guard"
	"tamarackknot.example/tamarackknot/ingress"
	"tamarackknot.example/tamarackknot/locality"
	"tamarackknot.example/tamarackknot/peer"
	"tamarackknot.example/tamarackknot/platform"
)

const (
	// gcPercent is above the default of 100 to save CPU time; the heap is small
	// compared with the limit.
	gcPercent = 400
	// maxAddressTTL is how long callers may cache a list of addresses, unless the
	// platform's settings give a shorter TTL.
	maxAddressTTL = 2 * time.Second
	// drainAcceptTime is how long a draining host still accepts connections. It
	// exceeds maxAddressTTL because callers may cache addresses slightly longer.
	drainAcceptTime = 3 * time.Second
	// longAcceptTime is how long a draining host takes requests that may last until its
	// end. Those that are sent within 3 s of the signal may be cut then; the rest is for
	// the delay of the signal.
	longAcceptTime = 2500 * time.Millisecond
	// shutdownMargin is the time between the end of the shutdown and the end of
	// the grace period, at which the platform kills the process. Some of it is for the
	// answers to requests that are cut.
	shutdownMargin = 700 * time.Millisecond
	// largeFleetHosts is the number of hosts from which planning takes a large
	// part of a core. plannerCPUFactor then scales down the CPU cores of the
	// planner when callers are assigned.
	largeFleetHosts  = 30
	plannerCPUFactor = 0.25
	// maxHeaderBytes is above the limit in the configuration, which the connections check.
	maxHeaderBytes = 1 << 20
)

// Config configures a Daemon.
type Config struct {
	Settings platform.SiteSettings
	// MetricsPort is the port of the metrics page; 0 disables it.
	MetricsPort int
	// DomainPrice is the price of the traffic between failure domains; 0 if it has none.
	DomainPrice locality.Price
	// Limits are those of the settings of our own; memory and descriptors are part of Settings.
	Limits guard.Settings
	Logger *log.Logger
}

// Daemon is one entry host on the platform.
type Daemon struct {
	cfg Config
	*components
	guard       *guard.Guard
	registry    metrics.Registry
	mesh        *peer.Mesh
	callers     *ingress.Server
	leaving     atomic.Bool
	running     sync.WaitGroup
	servers     []*http.Server
	callerConns *ingress.ConnTimeouts
}

// New wires the components without starting them. It also sets the memory limit
// and the garbage collection percentage of the process.
func New(cfg Config) *Daemon {
	s := cfg.Settings
	d := &Daemon{cfg: cfg, registry: metrics.NewRegistry()}
	incarnation := uuid.Must(uuid.NewV7()).String()
	guard.SetMemoryLimit(s.MemoryMB)
	debug.SetGCPercent(gcPercent)
	limits := cfg.Limits.Options(s.MemoryMB, s.MaxDescriptors)
	d.guard = guard.New(limits, d.registry, cfg.Logger)
	d.mesh = peer.New(peer.Config{
		Group: d.guard.Peers(), OnShed: d.guard.ShedPeer,
		Host: s.Host, Incarnation: incarnation,
		Listen: func(ctx context.Context) (net.Listener, error) { return listen(ctx, s.PeerAddress) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return platform.NewDialer().DialContext(ctx, "tcp", address)
		},
		Resolve: func(host string) (string, bool) { return d.peerAddress(host) },
		OnSent:  func(host, method string, bytes int) { d.traffic.countMessage(host, method, bytes) },
		Metrics: d.registry,
		Logger:  cfg.Logger,
	})
	d.components = newComponents(componentsConfig{
		settings: s, incarnation: incarnation, peers: d.mesh, logger: cfg.Logger,
		store: platform.NewStore(platform.Config{Address: s.StoreAddress}, cfg.Logger),
		control: platform.NewWeightClient(platform.Config{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			return d.traffic.countOrders(platform.NewDialer().DialContext)(ctx, network, address)
		}}),
		dial:    platform.NewDialer().DialContext,
		metrics: d.registry, domainPrice: cfg.DomainPrice, shedding: d.guard.Shedding, bodyTimeout: limits.BodyTimeout,
	})
	d.callers = d.newCallerServer(d.registry)
	return d
}

// Ready implements platform.Directory.
func (d *Daemon) Ready() bool {
	return !d.leaving.Load() && d.catalog.Current() != nil && d.discovery.HasSynced()
}

// Addresses implements platform.Directory. It returns the addresses of hosts in
// the caller's failure domain, or of all hosts if there is none in it, and the
// time in seconds for which callers may cache them. Hosts that reach no endpoint are
// left out while there are others.
func (d *Daemon) Addresses(failureDomain string) ([]string, float64) {
	hosts := slices.Clone(d.fleet.Hosts())
	hosts = slices.DeleteFunc(hosts, func(h tamarackknot.HostEntry) bool { return h.Name == d.self.Name })
	if d.Ready() {
		self := d.self
		self.Isolated = d.reach.Isolated()
		hosts = append(hosts, self)
	}
	hosts = withoutIsolated(hosts)
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

// withoutIsolated returns the hosts that reach endpoints, or all if there is none.
func withoutIsolated(hosts []tamarackknot.HostEntry) []tamarackknot.HostEntry {
	var out []tamarackknot.HostEntry
	for _, h := range hosts {
		if !h.Isolated {
			out = append(out, h)
		}
	}
	if len(out) == 0 {
		return hosts
	}
	return out
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

// Serve runs until ctx ends and then shuts down gracefully.
func (d *Daemon) Serve(ctx context.Context) error {
	s := d.cfg.Settings
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	if err := d.mesh.Start(componentsCtx); err != nil {
		return err
	}
	d.start(componentsCtx, d.loops()...)
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
	d.callerConns = d.guard.Callers(d.callerLimits, nil)
	d.start(ctx, d.callerConns.Run)
	d.serve(server, d.callerConns.Watch(server, l), failed)
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
	conns := d.guard.Auxiliary(server)
	d.start(ctx, conns.Run)
	d.serve(server, conns.Watch(server, l), failed)
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
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
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
// grace period, when those that are left are cut.
func (d *Daemon) shutdown(ctx context.Context) {
	started := time.Now()
	plan := dispatch.Shutdown{
		AcceptLongUntil: started.Add(longAcceptTime), WaitUntil: started.Add(drainAcceptTime),
		End: started.Add(d.cfg.Settings.Grace - shutdownMargin),
	}
	d.cfg.Logger.Info("draining", "until", plan.End.Format(time.RFC3339Nano))
	d.leaving.Store(true)
	d.callers.Drain()
	untilEnd, cancel := context.WithDeadline(ctx, plan.End)
	defer cancel()
	d.leave(untilEnd, plan)
	// The other servers serve until the process exits.
	if err := d.callers.Finish(ctx, d.callerConns, plan); err != nil {
		d.cfg.Logger.Warn("connections closed before the end of a request", "error", err)
	}
}
