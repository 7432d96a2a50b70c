package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/entry/settings"
	"tamarackknot.example/tamarackknot/fake"
	operatorv1 "tamarackknot.example/tamarackknot/gen/operator/v1"
	"tamarackknot.example/tamarackknot/gen/operator/v1/operatorv1connect"
)

const (
	clusterHosts    = 5
	clusterEngines  = 4
	clusterServices = 2
	clusterModels   = 6
	hostListLag     = 5 * time.Second
)

// cluster is a set of complete entry daemons that run on fakes in one synctest
// bubble.
type cluster struct {
	net      *fake.Network
	log      *fake.Log
	hosts    *fake.HostList
	history  *fake.History
	store    *fake.WeightStore
	engines  []*fake.Engine
	services []*fake.Service
	logger   *log.Logger

	mu         sync.Mutex
	nodes      []*node
	all        []*node
	violations []string
	servers    []*http.Server
}

// node is one run of an entry daemon.
type node struct {
	index    int
	name     string // in the host list
	process  string // on the fake network; unique for each run
	address  string
	operator string
	daemon   *Daemon
	log      *fake.LogClient
	started  time.Time
	stop     context.CancelFunc
	done     chan error

	mu       sync.Mutex
	killTime time.Time
	termAt   time.Time
	paused   bool
	// resumed is when the last pause ended.
	resumed time.Time
}

func (n *node) killedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killTime
}

func newCluster(out io.Writer, retention time.Duration) *cluster {
	c := &cluster{
		net:     fake.NewNetwork(),
		log:     fake.NewLog(fake.LogConfig{Retention: retention, AppendDelay: 5 * time.Millisecond}),
		hosts:   fake.NewHostList(hostListLag),
		history: fake.NewHistory(),
		store:   fake.NewWeightStore(fake.WeightStoreConfig{LoadsPerSecond: 4, LoadsAtOnce: 4}),
		logger:  log.NewWithOptions(out, log.Options{Level: log.DebugLevel, Formatter: log.LogfmtFormatter, ReportTimestamp: true}),
		nodes:   make([]*node, clusterHosts),
	}
	for i := range clusterEngines {
		e := fake.NewEngine(fake.EngineConfig{
			Name: fmt.Sprintf("engine-%d", i), MemoryMB: 25 << 10, Slots: 4, QueueLimit: 1,
			Fencing: i%2 == 0, Store: c.store, History: c.history,
			MemoryPerGB: 20 * time.Millisecond, DiskPerGB: 50 * time.Millisecond, RemotePerGB: 200 * time.Millisecond,
			Unload: 100 * time.Millisecond, HostMemoryMB: 30 << 10, DiskMB: 60 << 10,
			FirstToken: 50 * time.Millisecond, PerToken: 10 * time.Millisecond, ReportLag: 300 * time.Millisecond,
		})
		c.engines = append(c.engines, e)
		c.serve(e.Name(), engineAddress(i), e)
	}
	for i := range clusterServices {
		s := fake.NewService(fake.ServiceConfig{Name: fmt.Sprintf("booking-%d", i), History: c.history, Work: 50 * time.Millisecond})
		c.services = append(c.services, s)
		c.serve(s.Name(), serviceAddress(i), s)
	}
	return c
}

func engineAddress(i int) string  { return fmt.Sprintf("10.0.1.%d:80", i+1) }
func serviceAddress(i int) string { return fmt.Sprintf("10.0.2.%d:80", i+1) }

// serve runs an endpoint and adds it to the host list.
func (c *cluster) serve(name, address string, h http.Handler) {
	l, err := c.net.Host(name).Listen(context.Background(), address)
	if err != nil {
		panic(err)
	}
	srv := &http.Server{Handler: h}
	c.servers = append(c.servers, srv)
	c.hosts.Put(tamarackknot.Host{Name: name, Role: tamarackknot.RoleEndpoint, Address: address, FailureDomain: "f1"})
	go func() { _ = srv.Serve(l) }()
}

// reportViolation records a broken guarantee.
func (c *cluster) reportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// node returns the daemon that runs on host i, nil if there is none.
func (c *cluster) node(i int) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[i]
}

// start runs a daemon without state on host i.
func (c *cluster) start(i int) {
	c.mu.Lock()
	generation := len(c.all)
	c.mu.Unlock()
	n := &node{
		index:    i,
		name:     fmt.Sprintf("entry-%d", i),
		process:  fmt.Sprintf("entry-%d/%d", i, generation),
		address:  fmt.Sprintf("10.0.0.%d:80", i+1),
		operator: fmt.Sprintf("10.0.0.%d:90", i+1),
		log:      c.log.Client(),
		started:  time.Now(),
		done:     make(chan error, 1),
	}
	domain := fmt.Sprintf("f%d", i%3+1)
	peerAddress := fmt.Sprintf("10.0.0.%d:70", i+1)
	net := c.net.Host(n.process)
	n.daemon = New(Config{
		Settings: settings.Settings{
			Name: n.name, FailureDomain: domain, CallerAddress: n.address, PeerAddress: peerAddress, OperatorAddress: n.operator,
			LogRetentionSeconds: 60, ReportIntervalMillis: 1000, DefaultTimeoutSeconds: 30,
			MaxBodyMB: 1, ReplayMB: 1, MaxQueue: 100, DrainTimeoutSeconds: 620,
		},
		Logger: c.logger.With("host", n.process),
		Log:    n.log,
		Hosts:  c.hosts,
		Listen: net.Listen,
		Dial:   net.Dial,
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	c.hosts.Put(tamarackknot.Host{
		Name: n.name, Role: tamarackknot.RoleEntry, Address: n.address, PeerAddress: peerAddress, FailureDomain: domain,
	})
	c.mu.Lock()
	c.nodes[i] = n
	c.all = append(c.all, n)
	c.mu.Unlock()
	go func() { n.done <- n.daemon.Serve(ctx) }()
}

// detach removes the daemon of host i from the running ones and returns it, nil if
// there is none.
func (c *cluster) detach(i int) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[i]
	c.nodes[i] = nil
	return n
}

// kill simulates the loss of a host: the daemon is cut off from the log and the
// network at once.
func (c *cluster) kill(i int) {
	n := c.detach(i)
	if n == nil {
		return
	}
	n.mu.Lock()
	n.killTime = time.Now()
	n.mu.Unlock()
	n.log.SetFaults(fake.LogFaults{ReadsDown: true, AppendsDown: true})
	c.net.Kill(n.process)
	n.stop()
}

// term shuts a daemon down gracefully and waits until Serve has returned.
func (c *cluster) term(i int) {
	n := c.detach(i)
	if n == nil {
		return
	}
	n.mu.Lock()
	n.termAt = time.Now()
	n.mu.Unlock()
	n.stop()
	err := <-n.done
	n.done <- err
	if err != nil && n.killedAt().IsZero() {
		c.reportViolation("%s: graceful shutdown failed: %v", n.process, err)
	}
}

// pause simulates a process that is suspended: it sends and receives nothing until
// it resumes, and then sends what it was about to send.
func (c *cluster) pause(n *node, paused bool) {
	n.mu.Lock()
	if n.paused && !paused {
		n.resumed = time.Now()
	}
	n.paused = paused
	n.mu.Unlock()
	n.log.SetFaults(fake.LogFaults{ReadsDown: paused, AppendsDown: paused, Hang: paused})
	c.net.Freeze(n.process, paused)
}

// close stops all daemons and servers, so that no goroutine remains in the bubble.
func (c *cluster) close() {
	for i := range c.nodes {
		c.kill(i)
	}
	for _, n := range c.all {
		// A killed daemon returns an error because it cannot leave gracefully.
		c.logger.Debug("ended", "process", n.process, "error", <-n.done)
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// cutPeers cuts or restores the traffic from one entry host to another.
func (c *cluster) cutPeers(from, to int, cut bool) {
	if a, b := c.node(from), c.node(to); a != nil && b != nil && a != b {
		c.net.Cut(a.process, b.process, cut)
	}
}

// healPeers restores the traffic between all entry hosts.
func (c *cluster) healPeers() {
	c.mu.Lock()
	all := c.all
	c.mu.Unlock()
	for _, a := range all {
		for _, b := range all {
			c.net.Cut(a.process, b.process, false)
		}
	}
}

// operatorClient returns a client of the resource API of an entry host.
func (c *cluster) operatorClient(n *node) operatorv1connect.ResourceServiceClient {
	hc := &http.Client{Transport: &http.Transport{DialContext: c.net.Host("operator").Dial, DisableKeepAlives: true}}
	return operatorv1connect.NewResourceServiceClient(hc, "http://"+n.operator)
}

// apply writes a resource on top of the revision that the entry host has, and
// returns the new revision.
func (c *cluster) apply(ctx context.Context, n *node, r *operatorv1.Resource) (int64, error) {
	client := c.operatorClient(n)
	stored, err := client.Get(ctx, connect.NewRequest(&operatorv1.GetRequest{Kind: r.GetKind(), Name: r.GetMetadata().GetName()}))
	if err != nil && connect.CodeOf(err) != connect.CodeNotFound {
		return 0, err
	}
	if err == nil {
		r.Metadata.Revision = stored.Msg.GetResource().GetMetadata().GetRevision()
	}
	resp, err := client.Apply(ctx, connect.NewRequest(&operatorv1.ApplyRequest{Resource: r}))
	if err != nil {
		return 0, err
	}
	return resp.Msg.GetResource().GetMetadata().GetRevision(), nil
}

func modelName(i int) string { return fmt.Sprintf("m%d", i) }

// model returns a model that needs 10 of the 25 GB of an engine. Models with an
// even number may have two replicas, the others one.
func model(i int, priority int32) *operatorv1.Resource {
	return &operatorv1.Resource{
		Kind: "model", Metadata: &operatorv1.Metadata{Name: modelName(i)},
		Spec: &operatorv1.Resource_Model{Model: &operatorv1.ModelSpec{
			Deployment: "d", Version: "1", MemoryMb: 10 << 10, MaxReplicas: int32(1 + (i+1)%2), Priority: priority,
		}},
	}
}

func maxReplicas(target string) int {
	for i := range clusterModels {
		if target == modelName(i) {
			return 1 + (i+1)%2
		}
	}
	return 1 // the adapter
}

// resources returns the configuration with which every run starts.
func resources() []*operatorv1.Resource {
	list := []*operatorv1.Resource{{
		Kind: "deployment", Metadata: &operatorv1.Metadata{Name: "d"},
		Spec: &operatorv1.Resource_Deployment{Deployment: &operatorv1.DeploymentSpec{
			Priority: 5, ColdStartWeight: 0.5, LoadsPerSecond: 4, LoadsAtOnce: 4,
		}},
	}}
	for i := range clusterModels {
		list = append(list, model(i, 5))
	}
	list = append(list, &operatorv1.Resource{
		Kind: "adapter", Metadata: &operatorv1.Metadata{Name: "a0"},
		Spec: &operatorv1.Resource_Adapter{Adapter: &operatorv1.AdapterSpec{
			Deployment: "d", Model: modelName(0), Version: "1", MemoryMb: 200, MaxReplicas: 1,
		}},
	}, &operatorv1.Resource{
		Kind: "service", Metadata: &operatorv1.Metadata{Name: "booking"},
		Spec: &operatorv1.Resource_Service{Service: &operatorv1.ServiceSpec{
			Deployment: "d", Prefix: "booking", RepeatableMethods: []string{"GET"},
		}},
	})
	for i := range clusterEngines {
		list = append(list, endpointResource(fmt.Sprintf("engine-%d", i), &operatorv1.EndpointSpec{
			Address: engineAddress(i), MemoryMb: 25 << 10, Slots: 4, Fencing: i%2 == 0,
		}))
	}
	for i := range clusterServices {
		list = append(list, endpointResource(fmt.Sprintf("booking-%d", i), &operatorv1.EndpointSpec{
			Address: serviceAddress(i), Slots: 8, Service: "booking",
		}))
	}
	return list
}

func endpointResource(name string, spec *operatorv1.EndpointSpec) *operatorv1.Resource {
	spec.Deployment, spec.FailureDomain = "d", "f1"
	return &operatorv1.Resource{
		Kind: "endpoint", Metadata: &operatorv1.Metadata{Name: name},
		Spec: &operatorv1.Resource_Endpoint{Endpoint: spec},
	}
}

// list returns the resources that an entry host has in force.
func (c *cluster) list(n *node) []*operatorv1.Resource {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(10*time.Second))
	defer cancel()
	resp, err := c.operatorClient(n).List(ctx, connect.NewRequest(&operatorv1.ListRequest{}))
	if err != nil {
		c.reportViolation("%s: list: %v", n.process, err)
		return nil
	}
	return resp.Msg.GetResources()
}
