// Package daemon wires the components of an entry host and runs them from start
// to graceful shutdown.
package daemon

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/caller"
	"tamarackknot.example/tamarackknot/endpoint"
	"tamarackknot.example/tamarackknot/engine"
	"tamarackknot.example/tamarackknot/entry/guard"
	"tamarackknot.example/tamarackknot/entry/settings"
	"tamarackknot.example/tamarackknot/ingress"
	"tamarackknot.example/tamarackknot/journal"
	"tamarackknot.example/tamarackknot/membership"
	"tamarackknot.example/tamarackknot/operator"
	"tamarackknot.example/tamarackknot/peer"
	"tamarackknot.example/tamarackknot/placement"
	"tamarackknot.example/tamarackknot/routing"
)

const (
	// headerTimeout limits reading the headers of a request.
	headerTimeout = 10 * time.Second
	// finalGossipDelay is how long a drained host stays up so that gossip can
	// spread its last message, which says that it has no outstanding orders.
	finalGossipDelay = 2 * time.Second
	// orderDrainTimeout limits the wait for outstanding orders at shutdown.
	orderDrainTimeout = 60 * time.Second
	bytesPerMB        = 1 << 20
)

// Config configures a Daemon.
type Config struct {
	Settings settings.Settings
	Logger   *log.Logger
	// Log and Hosts are the clients of the platform's log and host list.
	Log   tamarackknot.Log
	Hosts tamarackknot.HostList
	// Listen and Dial open TCP listeners and connections. Nil means those of
	// package net.
	Listen func(ctx context.Context, address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// Daemon is one entry host.
type Daemon struct {
	cfg         Config
	self        tamarackknot.Host
	incarnation string
	registry    metrics.Registry
	guard       *guard.Guard

	mesh       *peer.Mesh
	members    *membership.Membership
	journal    *journal.Journal
	table      *endpoint.Table
	router     *routing.Router
	placement  *placement.Controller
	callers    *caller.Server
	callerHTTP *http.Server
	opHTTP     *http.Server

	running sync.WaitGroup
}

// New returns a Daemon; Serve builds and starts its components.
func New(cfg Config) *Daemon {
	s := cfg.Settings
	if cfg.Listen == nil {
		cfg.Listen = listenTCP
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return &Daemon{
		cfg:         cfg,
		incarnation: uuid.Must(uuid.NewV7()).String(),
		registry:    metrics.NewRegistry(),
		self: tamarackknot.Host{
			Name:          s.Name,
			Role:          tamarackknot.RoleEntry,
			Address:       s.CallerAddress,
			PeerAddress:   s.PeerAddress,
			FailureDomain: s.FailureDomain,
		},
	}
}

// Serve runs until ctx ends and then shuts down gracefully.
func (d *Daemon) Serve(ctx context.Context) error {
	if err := d.buildComponents(); err != nil {
		return err
	}
	callerListener, err := d.cfg.Listen(ctx, d.cfg.Settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "--callerAddress")
	}
	opListener, err := d.cfg.Listen(ctx, d.cfg.Settings.OperatorAddress)
	if err != nil {
		return errors.Wrap(err, "--operatorAddress")
	}
	// The components must outlive ctx: shutdown needs them until the last request
	// has ended.
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	if err := d.mesh.Start(componentsCtx); err != nil {
		return errors.Wrap(err, "--peerAddress")
	}
	d.members.Start()
	d.journal.Start()
	d.start(componentsCtx, d.table.Run, d.router.Run, d.placement.Run, d.syncLoop)
	failed := make(chan error, 2)
	callerConns, opConns := d.guard.Callers(callerLimits, d.callers.Refuse), d.guard.Operators()
	callerListener, opListener = callerConns.Watch(d.callerHTTP, callerListener), opConns.Watch(d.opHTTP, opListener)
	d.start(componentsCtx, callerConns.Run, opConns.Run,
		func(context.Context) { failed <- d.callerHTTP.Serve(callerListener) },
		func(context.Context) { failed <- d.opHTTP.Serve(opListener) })
	d.cfg.Logger.Info("serving", "callers", d.self.Address, "peers", d.self.PeerAddress,
		"operators", d.cfg.Settings.OperatorAddress, "failureDomain", d.self.FailureDomain, "incarnation", d.incarnation)

	select {
	case err = <-failed:
		err = errors.Wrap(err, "listener failed")
	case <-ctx.Done():
		err = d.shutdown(context.WithoutCancel(ctx))
	}
	stopComponents()
	return errors.CombineErrors(err, d.close())
}

// callerLimits returns the limits of callers, which no configuration changes in this mode.
func callerLimits() tamarackknot.CallerLimits {
	return tamarackknot.CallerLimits{HeaderTimeout: headerTimeout}
}

// close stops the servers and components without waiting for requests.
func (d *Daemon) close() error {
	err := errors.CombineErrors(d.callerHTTP.Close(), d.opHTTP.Close())
	d.journal.Close()
	d.members.Close()
	err = errors.CombineErrors(err, d.mesh.Close())
	d.running.Wait()
	return err
}

func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(ctx, "tcp", address)
}

// start runs functions until their context ends; Serve waits for them.
func (d *Daemon) start(ctx context.Context, fns ...func(context.Context)) {
	for _, fn := range fns {
		d.running.Go(func() { fn(ctx) })
	}
}

// buildComponents builds the components. Those that depend on each other are passed
// closures, none of which is called before Serve starts the components.
func (d *Daemon) buildComponents() error {
	s, logger := d.cfg.Settings, d.cfg.Logger
	guard.SetMemoryLimit(s.HostMB)
	d.guard = guard.New(s.Limits.Options(s.HostMB, 0), d.registry, logger)
	d.mesh = peer.New(peer.Config{
		Group: d.guard.Peers(), OnShed: d.guard.ShedPeer,
		Host:        s.Name,
		Incarnation: d.incarnation,
		Listen:      func(ctx context.Context) (net.Listener, error) { return d.cfg.Listen(ctx, s.PeerAddress) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.cfg.Dial(ctx, "tcp", address)
		},
		Resolve: func(host string) (string, bool) { return d.members.PeerAddress(host) },
		Metrics: d.registry,
		Logger:  logger,
	})
	var err error
	d.members, err = membership.New(membership.Config{
		Host:        d.self,
		Incarnation: d.incarnation,
		Peers:       d.mesh,
		HostList:    d.cfg.Hosts,
		Journal:     func() tamarackknot.JournalStatus { return d.journal.Status() },
		OnSign:      func(sign tamarackknot.EndpointSign) { d.table.ApplySign(sign) },
		Metrics:     d.registry,
		Logger:      logger,
	})
	if err != nil {
		return err
	}
	d.journal = journal.New(journal.Config{
		Log:            d.cfg.Log,
		Peers:          d.mesh,
		Host:           s.Name,
		Incarnation:    d.incarnation,
		Hosts:          d.entryHosts,
		ShouldSnapshot: func() bool { return d.members.Planner("") == s.Name },
		Retention:      time.Duration(s.LogRetentionSeconds) * time.Second,
		Logger:         logger,
		Metrics:        d.registry,
	})
	d.buildPlacement()
	d.buildServers()
	return nil
}

// buildPlacement builds the endpoint table, the placement controller and the
// router.
func (d *Daemon) buildPlacement() {
	s, logger := d.cfg.Settings, d.cfg.Logger
	engines := engine.NewClient(engine.Config{Dial: d.cfg.Dial})
	d.table = endpoint.New(endpoint.Config{
		Journal:     d.journal,
		Engine:      engines,
		Members:     d.members,
		Peers:       d.mesh,
		PublishSign: d.members.Broadcast,
		Interval:    time.Duration(s.ReportIntervalMillis) * time.Millisecond,
		Logger:      logger,
	})
	d.placement = placement.New(placement.Config{
		Journal: d.journal,
		Peers:   d.mesh,
		Members: d.members,
		Engine:  engines,
		Reports: d.table,
		Hosts:   d.cfg.Hosts,
		Log:     logger,
		Metrics: d.registry,
	})
	d.router = routing.New(routing.Config{
		Journal:       d.journal,
		Table:         d.table,
		Placement:     d.placement,
		Host:          s.Name,
		FailureDomain: s.FailureDomain,
		MaxQueue:      s.MaxQueue,
		Logger:        logger,
	})
}

// buildServers builds the HTTP servers for callers and operators.
func (d *Daemon) buildServers() {
	s, logger := d.cfg.Settings, d.cfg.Logger
	metrics.NewRegisteredFunctionalGauge("process.heapBytes", d.registry, heapBytes)
	d.callers = caller.New(caller.Config{
		Journal:        d.journal,
		Members:        d.members,
		Router:         d.router,
		Table:          d.table,
		Addresses:      addresses{d.members},
		Gate:           gate{d.members, d.journal},
		Logger:         logger,
		Registry:       d.registry,
		DialContext:    d.cfg.Dial,
		DefaultTimeout: time.Duration(s.DefaultTimeoutSeconds) * time.Second,
		MaxBody:        int64(s.MaxBodyMB) * bytesPerMB,
		MaxReplay:      s.ReplayMB * bytesPerMB,
		BodyTimeout:    time.Duration(s.Limits.BodyTimeoutMs) * time.Millisecond,
		Linger:         ingress.Linger,
		OnRefused:      d.guard.Shedding.Refused,
	})
	d.callerHTTP = &http.Server{Handler: d.callers, ReadHeaderTimeout: headerTimeout}
	operators := operator.New(operator.Config{
		Journal: d.journal,
		Members: d.members,
		Reports: d.table,
		Log:     logger,
		Metrics: d.registry,
	})
	d.opHTTP = &http.Server{Handler: operators.Handler(), ReadHeaderTimeout: headerTimeout}
}

// entryHosts returns the names of the members, for the journal's freshness check.
func (d *Daemon) entryHosts() []string {
	var out []string
	for _, m := range d.members.List() {
		out = append(out, m.Host.Name)
	}
	return out
}

// heapBytes returns the size of the heap in bytes. It stops the world briefly, and
// is called only when the metrics are read.
func heapBytes() int64 {
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}

// syncLoop passes the members' applied offsets to the journal and the platform's
// host list to the endpoint table, once a second until ctx ends.
func (d *Daemon) syncLoop(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, m := range d.members.List() {
			d.journal.ObserveApplied(m.Applied)
		}
		callCtx, cancel := context.WithDeadline(ctx, time.Now().Add(time.Second))
		if hosts, err := d.cfg.Hosts.Hosts(callCtx); err == nil {
			d.table.ApplyHostList(hosts)
		}
		cancel()
	}
}

// shutdown drains the host: it stops advertising its address, then waits for the
// requests in flight and then for the outstanding orders.
func (d *Daemon) shutdown(ctx context.Context) error {
	s, logger := d.cfg.Settings, d.cfg.Logger
	logger.Info("draining", "step", "leave")
	// Placement decides and orders nothing from here on. Its outstanding orders
	// complete while the cached addresses of this host expire.
	drained := d.placement.Drain(time.Now().Add(orderDrainTimeout))
	err := d.members.Leave(ctx)

	logger.Info("draining", "step", "requests")
	httpCtx, cancel := context.WithDeadline(ctx, time.Now().Add(time.Duration(s.DrainTimeoutSeconds)*time.Second))
	defer cancel()
	err = errors.CombineErrors(err, d.callerHTTP.Shutdown(httpCtx))
	err = errors.CombineErrors(err, d.callers.Close(httpCtx))

	logger.Info("draining", "step", "orders")
	<-drained
	if d.placement.Idle() {
		d.members.SetIdle()
	}
	time.Sleep(finalGossipDelay)
	logger.Info("stopped", "idle", d.placement.Idle())
	return err
}
