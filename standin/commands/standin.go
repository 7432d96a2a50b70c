package commands

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

const (
	readHeaderTimeout = 10 * time.Second
	// shutdownGrace is how long requests in progress may continue after SIGTERM.
	shutdownGrace = 2 * time.Second
	storeName     = "store"
)

// standin simulates the platform, the engines and the services in one process.
type standin struct {
	cfg           *settings
	logger        *log.Logger
	log           *fake.Log
	hosts         *fake.HostList
	stores        map[string]*deploymentStore // by deployment
	history       *fake.History
	platform      *server
	servers       map[string]*server // endpoints by name
	endpointNames []string           // in the order of the flags
}

// deploymentStore is the weight store of a deployment with its current speed
// factor.
type deploymentStore struct {
	*fake.WeightStore
	speed float64
}

// endpoint is a simulated engine or service instance.
type endpoint interface {
	http.Handler
	Name() string
	Faults() fake.Faults
	SetFaults(f fake.Faults)
	SetLeaving(leaving bool)
}

func newStandin(s *settings, logger *log.Logger) *standin {
	st := &standin{
		cfg:     s,
		logger:  logger,
		log:     fake.NewLog(fake.LogConfig{Retention: s.logRetention, AppendDelay: s.logAppendDelay}),
		hosts:   fake.NewHostList(s.hostListLag),
		stores:  make(map[string]*deploymentStore),
		history: fake.NewHistory(),
		servers: make(map[string]*server),
	}
	for _, g := range s.engines {
		st.addEngines(g)
	}
	for _, g := range s.services {
		st.addServices(g)
	}
	st.platform = &server{name: "platform", address: s.listen, handler: st.handler(), logger: logger}
	return st
}

func (st *standin) addEngines(g engineGroup) {
	s := st.cfg
	if st.stores[g.deployment] == nil {
		st.stores[g.deployment] = &deploymentStore{speed: 1, WeightStore: fake.NewWeightStore(fake.WeightStoreConfig{
			LoadsPerSecond: s.loadsPerSecond, Burst: int(s.loadsPerSecond), LoadsAtOnce: int(s.loadsAtOnce),
		})}
	}
	for i := range g.count {
		st.add(g.endpointGroup, i, fake.NewEngine(fake.EngineConfig{
			Name:         g.endpointName(i),
			MemoryMB:     g.memoryMB,
			Slots:        g.slots,
			QueueLimit:   g.queue,
			Fencing:      g.hasFencing(i),
			Store:        st.stores[g.deployment].WeightStore,
			MemoryPerGB:  s.memoryPerGB,
			DiskPerGB:    s.diskPerGB,
			RemotePerGB:  s.remotePerGB,
			Unload:       s.unload,
			HostMemoryMB: s.hostMemoryMB,
			DiskMB:       s.diskMB,
			FirstToken:   s.firstToken,
			PerToken:     s.perToken,
			ReportLag:    s.reportLag,
			History:      st.history,
		}))
	}
}

func (st *standin) addServices(g serviceGroup) {
	for i := range g.count {
		st.add(g.endpointGroup, i, fake.NewService(fake.ServiceConfig{
			Name: g.endpointName(i), Slots: g.slots, Work: st.cfg.serviceWork, History: st.history,
		}))
	}
}

func (st *standin) add(g endpointGroup, i int, e endpoint) {
	st.endpointNames = append(st.endpointNames, e.Name())
	st.servers[e.Name()] = &server{
		name:     e.Name(),
		address:  netip.AddrPortFrom(st.cfg.endpointIP, g.endpointPort(i)),
		domain:   g.domain(i),
		handler:  e,
		endpoint: e,
		logger:   st.logger,
	}
}

// listen starts all servers and adds the endpoints to the host list.
func (st *standin) listen(ctx context.Context) error {
	for _, name := range st.endpointNames {
		srv := st.servers[name]
		if err := srv.listen(ctx); err != nil {
			return err
		}
		st.hosts.Put(srv.host())
	}
	if err := st.platform.listen(ctx); err != nil {
		return err
	}
	st.logger.Info("stand-in started", "address", st.cfg.listen, "endpoints", len(st.endpointNames), "deployments", len(st.stores))
	return nil
}

// run blocks until ctx is done, then shuts down all servers and gives requests in
// progress shutdownGrace to complete.
func (st *standin) run(ctx context.Context) error {
	<-ctx.Done()
	st.logger.Info("stand-in is shutting down", "grace", shutdownGrace)
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
	defer cancel()
	var g errgroup.Group
	for _, srv := range st.allServers() {
		g.Go(func() error { return srv.shutdown(graceCtx) })
	}
	return g.Wait()
}

// close stops all servers without waiting for requests in progress.
func (st *standin) close() {
	for _, srv := range st.allServers() {
		srv.close()
	}
}

func (st *standin) allServers() []*server {
	all := []*server{st.platform}
	for _, name := range st.endpointNames {
		all = append(all, st.servers[name])
	}
	return all
}

// setEndpointFaults replaces the faults of an endpoint. With Die, the endpoint
// refuses connections and is removed from the host list.
func (st *standin) setEndpointFaults(ctx context.Context, srv *server, f fake.Faults, leaving bool) error {
	if srv.endpoint.Faults().Die && !f.Die {
		// The listener must outlive the request that clears the fault.
		if err := srv.listen(context.WithoutCancel(ctx)); err != nil {
			return err
		}
	}
	srv.endpoint.SetFaults(f)
	srv.endpoint.SetLeaving(leaving)
	srv.leaving = leaving
	if f.Die {
		srv.close()
		st.hosts.Remove(srv.name)
		return nil
	}
	st.hosts.Put(srv.host())
	return nil
}

// server serves a handler on one address.
type server struct {
	name     string
	address  netip.AddrPort
	domain   string
	handler  http.Handler
	endpoint endpoint // nil for the platform
	leaving  bool     // guarded by control.mu
	logger   *log.Logger

	mu     sync.Mutex
	http   *http.Server
	cancel context.CancelFunc // cancels the requests in progress
}

func (s *server) host() tamarackknot.Host {
	return tamarackknot.Host{
		Name:          s.name,
		Role:          tamarackknot.RoleEndpoint,
		Address:       s.address.String(),
		FailureDomain: s.domain,
		Leaving:       s.leaving,
	}
}

func (s *server) listen(ctx context.Context) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.address.String())
	if err != nil {
		return errors.Wrapf(err, "address %s of %s", s.address, s.name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	s.http = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          s.logger.StandardLog(),
		BaseContext:       func(net.Listener) context.Context { return base },
	}
	go s.serve(s.http, l)
	s.logger.Debug("listening", "server", s.name, "address", s.address)
	return nil
}

func (s *server) serve(h *http.Server, l net.Listener) {
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error("server failed", "server", s.name, "error", err)
	}
}

func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return
	}
	s.cancel()
	_ = s.http.Close()
}

func (s *server) shutdown(ctx context.Context) error {
	s.mu.Lock()
	h, cancel := s.http, s.cancel
	s.mu.Unlock()
	if h == nil {
		return nil
	}
	if s.endpoint == nil {
		cancel() // long polls would run until the grace period ends
	}
	if err := h.Shutdown(ctx); err != nil {
		s.logger.Warn("requests were interrupted", "server", s.name)
		s.close()
	}
	return nil
}
