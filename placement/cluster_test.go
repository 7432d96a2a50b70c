package placement

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
	"tamarackknot.example/tamarackknot/journal"
)

const (
	testDeployment = "dep"
	testHosts      = 3
	endedLag       = 3 * time.Second // delay until Ended reports the end of a process
	deadAfter      = 10 * time.Second
)

// cluster runs several controllers with a shared log and engines inside a
// synctest bubble.
type cluster struct {
	ctx     context.Context
	cancel  context.CancelFunc
	log     *fake.Log
	admin   *journal.Journal
	hosts   *fake.HostList
	engines map[string]*fake.Engine
	history *fake.History
	peers   *fake.Peers
	store   *fake.WeightStore
	wg      sync.WaitGroup
	output  io.Writer

	mu           sync.Mutex
	processes    [testHosts]*process
	ended        map[tamarackknot.Process]time.Time
	plansItself  [testHosts]bool // hosts that consider themselves the planner
	incarnations int             // incarnations started so far
	limits       []limitChange
	demand       map[string]int // bit mask of the hosts with demand, by target
	served       map[string]time.Time
}

type limitChange struct {
	at     time.Time
	target string
	limit  int
}

// process is one run of a controller and its clients. All calls of a paused
// process block until it is resumed.
type process struct {
	c       *cluster
	host    int
	id      tamarackknot.Process
	ctx     context.Context
	cancel  context.CancelFunc
	client  *fake.LogClient
	journal *journal.Journal
	ctl     *Controller

	mu          sync.Mutex
	paused      chan struct{} // closed by resume; nil while it runs
	pausedAt    time.Time
	cut         map[string]bool // endpoints whose orders and reports are lost
	dropAnswers map[string]bool // endpoints whose answers are lost
	reports     map[string]tamarackknot.Report
}

type testEndpoint struct {
	name    string
	domain  string
	fencing bool
}

func testEndpoints() []testEndpoint {
	return []testEndpoint{{"e0", "d0", true}, {"e1", "d1", false}, {"e2", "d2", true}, {"e3", "d0", false}}
}

func testTargets() []tamarackknot.Resource {
	model := func(name string, gb int64, replicas, priority int) tamarackknot.Resource {
		return tamarackknot.Resource{
			Kind: tamarackknot.KindModel, Metadata: tamarackknot.Metadata{Name: name},
			Model: &tamarackknot.ModelSpec{Deployment: testDeployment, Version: "1", MemoryMB: gb * 1024, MaxReplicas: replicas, Priority: priority},
		}
	}
	adapter := func(name, base string, replicas int) tamarackknot.Resource {
		return tamarackknot.Resource{
			Kind: tamarackknot.KindAdapter, Metadata: tamarackknot.Metadata{Name: name},
			Adapter: &tamarackknot.AdapterSpec{Deployment: testDeployment, Model: base, Version: "1", MemoryMB: 1024, MaxReplicas: replicas},
		}
	}
	return []tamarackknot.Resource{
		model("m0", 10, 1, 5), model("m1", 12, 2, 5), model("m2", 16, 1, 7), model("m3", 10, 3, 3),
		adapter("a0", "m0", 1), adapter("a1", "m1", 2),
	}
}

func newCluster(ctx context.Context, overcommit bool) *cluster {
	c := &cluster{
		log: fake.NewLog(fake.LogConfig{AppendDelay: 10 * time.Millisecond}), hosts: fake.NewHostList(time.Second),
		engines: make(map[string]*fake.Engine), history: fake.NewHistory(), output: io.Discard,
		peers: fake.NewPeers(fake.PeersConfig{Latency: time.Millisecond}),
		store: fake.NewWeightStore(fake.WeightStoreConfig{LoadsPerSecond: 4, LoadsAtOnce: 2}),
		ended: make(map[tamarackknot.Process]time.Time), demand: make(map[string]int),
		served: make(map[string]time.Time),
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.admin = journal.New(journal.Config{Log: c.log, Host: "admin", Incarnation: "admin"})
	c.admin.Start()
	for _, e := range testEndpoints() {
		c.engines[e.name] = fake.NewEngine(fake.EngineConfig{
			Name: e.name, MemoryMB: 24 * 1024, Slots: 4, QueueLimit: 8, Fencing: e.fencing, Overcommit: overcommit, Store: c.store,
			MemoryPerGB: 100 * time.Millisecond, DiskPerGB: 300 * time.Millisecond, RemotePerGB: time.Second,
			Unload: 500 * time.Millisecond, HostMemoryMB: 24 * 1024, DiskMB: 64 * 1024, ReportLag: 500 * time.Millisecond,
			FirstToken: 100 * time.Millisecond, PerToken: 50 * time.Millisecond, History: c.history,
		})
		c.hosts.Put(tamarackknot.Host{Name: e.name, Role: tamarackknot.RoleEndpoint, Address: e.name, FailureDomain: e.domain})
	}
	for i := range testHosts {
		c.hosts.Put(tamarackknot.Host{Name: hostName(i), Role: tamarackknot.RoleEntry, Address: hostName(i)})
	}
	return c
}

func hostName(i int) string { return fmt.Sprintf("h%d", i) }

// configure applies all resources.
func (c *cluster) configure(weight float64) error {
	list := []tamarackknot.Resource{{
		Kind: tamarackknot.KindDeployment, Metadata: tamarackknot.Metadata{Name: testDeployment},
		Deployment: &tamarackknot.DeploymentSpec{Priority: 5, ColdStartWeight: weight, LoadsPerSecond: 4, LoadsAtOnce: 2},
	}}
	list = append(list, testTargets()...)
	for i, e := range testEndpoints() {
		list = append(list, tamarackknot.Resource{
			Kind: tamarackknot.KindEndpoint, Metadata: tamarackknot.Metadata{Name: e.name},
			Endpoint: &tamarackknot.EndpointSpec{
				Deployment: testDeployment, Address: fmt.Sprintf("127.0.0.1:%d", 7000+i), FailureDomain: e.domain,
				MemoryMB: 24 * 1024, Slots: 4, Fencing: e.fencing,
			},
		})
	}
	for _, r := range list {
		if err := c.apply(r); err != nil {
			return err
		}
	}
	return nil
}

// apply replaces the stored resource.
func (c *cluster) apply(r tamarackknot.Resource) error {
	for !c.admin.Status().Ready {
		time.Sleep(10 * time.Millisecond)
	}
	var basis tamarackknot.Offset
	c.admin.Read(func(s tamarackknot.State) {
		if old, ok := s.Resource(r.Kind, r.Metadata.Name); ok {
			basis = old.Metadata.Revision
		}
	})
	ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
	defer cancel()
	out, err := c.admin.Propose(ctx, tamarackknot.Change{Apply: &tamarackknot.Apply{Resource: r, BasedOn: basis}})
	if err == nil && !out.Accepted {
		err = errors.Newf("resource %s: %s %s", r.Metadata.Name, out.Reason, out.Detail)
	}
	limit := -1
	if r.Model != nil {
		limit = r.Model.MaxReplicas
	}
	if r.Adapter != nil {
		limit = r.Adapter.MaxReplicas
	}
	if limit >= 0 {
		c.limits = append(c.limits, limitChange{time.Now(), r.Metadata.Name, limit})
	}
	return err
}

// stored returns a copy of a stored resource.
func (c *cluster) stored(kind tamarackknot.Kind, name string) (tamarackknot.Resource, bool) {
	var r tamarackknot.Resource
	found := false
	c.admin.Read(func(s tamarackknot.State) {
		if old, ok := s.Resource(kind, name); ok {
			data, _ := json.Marshal(old)
			found = json.Unmarshal(data, &r) == nil
		}
	})
	return r, found
}

// start runs a new process, without state of an earlier one, on a host.
func (c *cluster) start(host int) {
	c.mu.Lock()
	c.incarnations++
	p := &process{
		c: c, host: host, id: tamarackknot.Process{Host: hostName(host), Incarnation: fmt.Sprintf("i%d", c.incarnations)},
		client: c.log.Client(), cut: make(map[string]bool), dropAnswers: make(map[string]bool),
		reports: make(map[string]tamarackknot.Report),
	}
	p.ctx, p.cancel = context.WithCancel(c.ctx)
	c.processes[host] = p
	c.mu.Unlock()
	p.journal = journal.New(journal.Config{
		Log: gatedLog{p}, Host: p.id.Host, Incarnation: p.id.Incarnation, ShouldSnapshot: func() bool { return false },
	})
	p.journal.Start()
	logger := log.NewWithOptions(c.output, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	p.ctl = New(Config{
		Journal: gatedJournal{p.journal, p}, Peers: testPeers{c.peers.Host(p.id.Host), p}, Members: testMembers{p}, Engine: testEngineClient{p},
		Reports: p, Hosts: c.hosts, Log: logger.With("process", p.id.Host+"/"+p.id.Incarnation),
	})
	c.wg.Go(func() { p.ctl.Run(p.ctx) })
	c.wg.Go(p.poll)
	for target, mask := range c.demands() {
		if mask&(1<<host) != 0 {
			p.ctl.SetDemand(demandFor(target))
		}
	}
}

func demandFor(target string) tamarackknot.Demand {
	return tamarackknot.Demand{Target: target, Waiting: 3, Earliest: time.Now().Add(time.Minute), Priority: 5}
}

func (c *cluster) demands() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int)
	for t, m := range c.demand {
		out[t] = m
	}
	return out
}

// kill ends the process of a host.
func (c *cluster) kill(host int) {
	c.mu.Lock()
	p := c.processes[host]
	c.processes[host] = nil
	c.peers.Kill(hostName(host))
	c.mu.Unlock()
	if p == nil {
		return
	}
	p.cancel()
	p.resume()
	p.journal.Close()
	c.mu.Lock()
	c.ended[p.id] = time.Now()
	c.mu.Unlock()
}

func (c *cluster) process(host int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[host]
}

func (c *cluster) close() {
	for i := range testHosts {
		c.kill(i)
	}
	c.admin.Close()
	c.cancel()
	c.wg.Wait()
	for _, e := range c.engines {
		e.SetFaults(fake.Faults{Die: true})
	}
	// Wait until the orders in transit to the engines have ended.
	time.Sleep(2 * time.Minute)
}

// addDemand adds demand for a target on the hosts of a bit mask.
func (c *cluster) addDemand(target string, mask int) {
	c.mu.Lock()
	c.demand[target] |= mask
	c.mu.Unlock()
	for i := range testHosts {
		if p := c.process(i); p != nil && mask&(1<<i) != 0 {
			p.ctl.SetDemand(demandFor(target))
		}
	}
}

// routeDemand stands in for the routers: it withdraws the demand for loaded
// targets and records their use.
func (c *cluster) routeDemand() {
	for target, mask := range c.demands() {
		loaded := false
		c.admin.Read(func(s tamarackknot.State) {
			t, _ := s.Target(target)
			for _, r := range s.Replicas(target) {
				loaded = loaded || r.State == tamarackknot.ReplicaLoaded && r.Version == t.Version && c.holds(r)
			}
		})
		c.mu.Lock()
		if loaded {
			c.served[target] = time.Now()
			delete(c.demand, target)
		}
		c.mu.Unlock()
		for i := range testHosts {
			p := c.process(i)
			if p == nil || mask&(1<<i) == 0 {
				continue
			}
			if !loaded {
				p.ctl.SetDemand(demandFor(target))
				continue
			}
			p.ctl.Used(target, time.Now())
			p.ctl.SetDemand(tamarackknot.Demand{Target: target})
		}
	}
}

// holds reports whether the engine has loaded the replica.
func (c *cluster) holds(r tamarackknot.Replica) bool {
	return slices.ContainsFunc(c.engines[r.Endpoint].Loaded(), func(l tamarackknot.LoadedTarget) bool {
		return l.Name == r.Target && !l.Loading && l.Version == r.Version
	})
}

// sleep advances the time and calls routeDemand every 100 ms.
func (c *cluster) sleep(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		c.routeDemand()
	}
}

// violation returns the first moment at which an engine exceeded its memory or
// a target had more loaded replicas than allowed, or "".
func (c *cluster) violation() string {
	if list := c.history.Exceeded(); len(list) > 0 {
		return fmt.Sprintf("memory exceeded on %v", list)
	}
	for _, e := range c.history.Events() {
		if e.Loaded && e.Replicas > c.allowed(e.Target, e.Time) {
			return fmt.Sprintf("%s: %d replicas of %s loaded after load on %s, allowed are %d",
				e.Time.Format("15:04:05.000"), e.Replicas, e.Target, e.Engine, c.allowed(e.Target, e.Time))
		}
	}
	return ""
}

// limitGrace is how long claims from before a lowered limit may still be
// loaded.
const limitGrace = 40 * time.Second

func (c *cluster) allowed(target string, at time.Time) int {
	allowed, current := 0, 0
	for _, l := range c.limits {
		if l.target != target || l.at.After(at) {
			continue
		}
		if at.Sub(l.at) < limitGrace {
			allowed = max(allowed, current)
		}
		current = l.limit
	}
	return max(allowed, current)
}

// gate blocks while the process is paused.
func (p *process) gate(ctx context.Context) {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
		case <-p.ctx.Done():
		}
	}
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil {
		p.paused, p.pausedAt = make(chan struct{}), time.Now()
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

func (p *process) set(m map[string]bool, endpoint string, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m[endpoint] = on
}

func (p *process) faults(endpoint string) (cut, dropAnswers bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[endpoint], p.dropAnswers[endpoint]
}

// poll reads the reports of all engines periodically.
func (p *process) poll() {
	for p.ctx.Err() == nil {
		for name, e := range p.c.engines {
			if cut, dropAnswers := p.faults(name); cut || dropAnswers {
				continue
			}
			ctx, cancel := context.WithTimeout(p.ctx, 100*time.Millisecond)
			r, err := e.Report(ctx)
			cancel()
			if err == nil {
				p.mu.Lock()
				p.reports[name] = r
				p.mu.Unlock()
			}
		}
		select {
		case <-time.After(500 * time.Millisecond):
		case <-p.ctx.Done():
		}
	}
}

// Report implements tamarackknot.Reports.
func (p *process) Report(endpoint string) (tamarackknot.Report, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.reports[endpoint]
	return r, ok
}

// Unreachable implements tamarackknot.Reports.
func (p *process) Unreachable(endpoint string) bool {
	cut, _ := p.faults(endpoint)
	return cut
}

type gatedLog struct{ p *process }

func (l gatedLog) Append(ctx context.Context, data []byte) (tamarackknot.Offset, error) {
	l.p.gate(ctx)
	return l.p.client.Append(ctx, data)
}

func (l gatedLog) Read(ctx context.Context, from tamarackknot.Offset, limit int, wait time.Time) (tamarackknot.LogPage, error) {
	l.p.gate(ctx)
	return l.p.client.Read(ctx, from, limit, wait)
}

type gatedJournal struct {
	tamarackknot.Journal
	p *process
}

func (j gatedJournal) Propose(ctx context.Context, c tamarackknot.Change) (tamarackknot.Outcome, error) {
	j.p.gate(ctx)
	return j.Journal.Propose(ctx, c)
}

func (j gatedJournal) Read(fn func(tamarackknot.State)) {
	j.p.gate(j.p.ctx)
	j.Journal.Read(fn)
}

type testEngineClient struct{ p *process }

func (c testEngineClient) Order(ctx context.Context, address string, o tamarackknot.Order) tamarackknot.OrderResult {
	c.p.gate(ctx)
	name := "e" + address[len(address)-1:]
	cut, dropAnswers := c.p.faults(name)
	if ctx.Err() != nil || cut {
		return tamarackknot.OrderResult{Outcome: tamarackknot.OrderRefused, Message: "cannot be reached"}
	}
	if dropAnswers {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		c.p.c.engines[name].Order(ctx, o)
		return tamarackknot.OrderResult{Outcome: tamarackknot.OrderUnknown, Message: "answer lost"}
	}
	return c.p.c.engines[name].Order(ctx, o)
}

func (c testEngineClient) Report(context.Context, string) (tamarackknot.Report, error) {
	return tamarackknot.Report{}, errors.New("not used by the controller")
}

// testPeers blocks the messages of a process in both directions while it is
// paused.
type testPeers struct {
	*fake.PeersHost
	p *process
}

func (t testPeers) Handle(method string, h tamarackknot.PeerHandler) {
	t.PeersHost.Handle(method, func(ctx context.Context, from string, params json.RawMessage) (any, error) {
		t.p.gate(ctx)
		return h(ctx, from, params)
	})
}

func (t testPeers) Call(ctx context.Context, host, method string, params, result any) error {
	t.p.gate(ctx)
	return t.PeersHost.Call(ctx, host, method, params, result)
}

func (t testPeers) Notify(ctx context.Context, host, method string, params any) error {
	return t.Call(ctx, host, method, params, nil)
}

type testMembers struct{ p *process }

func (m testMembers) Self() tamarackknot.Member {
	return tamarackknot.Member{Host: tamarackknot.Host{Name: m.p.id.Host}, Incarnation: m.p.id.Incarnation, Status: tamarackknot.MemberAlive}
}

func (m testMembers) Broadcast(tamarackknot.EndpointSign) {}

func (m testMembers) List() []tamarackknot.Member {
	var out []tamarackknot.Member
	for i := range testHosts {
		q := m.p.c.process(i)
		if q == nil {
			continue
		}
		s := testMembers{q}.Self()
		q.mu.Lock()
		if q.paused != nil && time.Since(q.pausedAt) > deadAfter {
			s.Status = tamarackknot.MemberDead
		}
		q.mu.Unlock()
		out = append(out, s)
	}
	return out
}

func (m testMembers) Planner(string) string {
	m.p.c.mu.Lock()
	own := m.p.c.plansItself[m.p.host]
	m.p.c.mu.Unlock()
	if own {
		return m.p.id.Host
	}
	for _, s := range m.List() {
		if s.Status == tamarackknot.MemberAlive {
			return s.Host.Name
		}
	}
	return ""
}

func (m testMembers) Ended(p tamarackknot.Process) (time.Time, bool) {
	m.p.c.mu.Lock()
	defer m.p.c.mu.Unlock()
	since, ok := m.p.c.ended[p]
	return since, ok && time.Since(since) >= endedLag
}
