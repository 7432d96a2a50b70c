package placement

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	metrics "github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// orderSettleTime bounds how long an order may be on its way after its
	// sender has given up or ended.
	orderSettleTime = 10 * time.Second
	// unloadGrace is how long after an accepted unload record no host routes
	// new requests to the replica; propagation of a record takes less.
	unloadGrace = 2 * time.Second
	// unloadPatience bounds the wait for reports that show nothing in flight.
	// The engine itself finishes what runs before it unloads.
	unloadPatience  = 30 * time.Second
	demandInterval  = 100 * time.Millisecond
	idleInterval    = time.Second
	reportInterval  = 500 * time.Millisecond
	plannerInterval = 200 * time.Millisecond
	// firstReportTime is how long a new endpoint may take until its first
	// report: a poll interval of 1 s, and as long again for one that is lost.
	firstReportTime = 3 * time.Second
	// reportMaxAge is the age above which a report no longer shows that its
	// endpoint works.
	reportMaxAge = 15 * time.Second
	// syncShare is the longest part of the time that is spent on copying the
	// replicas from the journal.
	syncShare = 50
	// maxSyncPause bounds the wait after a copy that took long because the
	// process was paused.
	maxSyncPause = 500 * time.Millisecond
	// logBackoff is how long nothing is proposed after an append failed.
	logBackoff = time.Second
	// refusalTime is how long after a failed append demand is refused.
	refusalTime = 3 * time.Second
)

// Config holds what a Controller depends on; all fields but Metrics and Policy
// are required.
type Config struct {
	Journal tamarackknot.Journal
	Peers   tamarackknot.Peers
	Members tamarackknot.Members
	Engine  tamarackknot.Engine
	Reports tamarackknot.Reports
	Hosts   tamarackknot.HostList
	Log     *log.Logger
	Metrics metrics.Registry
	Policy  PolicyConfig
}

var _ tamarackknot.Placement = (*Controller)(nil)

// Controller forwards this host's demand to the planners and, where this host
// is the planner, carries out the decisions of the policy. Run must be called
// once; the other methods may be called concurrently.
type Controller struct {
	cfg  Config
	self tamarackknot.Process
	wake chan struct{}
	// events carries results of goroutines to the loop.
	events  chan event
	drained chan struct{}

	mu        sync.Mutex
	inbox     inbox
	forecasts map[string]tamarackknot.Forecast
	drainTo   time.Time // deadline of a shutdown; zero before it
	idle      bool

	// The rest belongs to the loop.
	started  time.Time
	planners map[string]*planner
	local    map[string]*localDemand
	usage    map[string]*usageEntry
	usageAt  time.Time
	usageTo  map[string]int // failed attempts by planner
	mirror   mirror
	work     map[replicaKey]*work
	absent   map[replicaKey]absence
	hosts    hostView
	plansAt  time.Time
	reportAt time.Time
	// logFailed is when a proposal last could not be appended.
	logFailed time.Time
	running   int // orders and proposals outstanding
	sending   map[string]bool
	// resendAt is the earliest next message to a planner that was unreachable.
	resendAt map[string]time.Time
}

// event is a result that a goroutine hands to the loop.
type event interface {
	apply(c *Controller, now time.Time)
}

type replicaKey struct {
	target   string
	endpoint string
}

// New returns a controller and registers its handlers with the peers.
func New(cfg Config) *Controller {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	self := cfg.Members.Self()
	c := &Controller{
		cfg:       cfg,
		self:      tamarackknot.Process{Host: self.Host.Name, Incarnation: self.Incarnation},
		wake:      make(chan struct{}, 1),
		events:    make(chan event),
		drained:   make(chan struct{}),
		inbox:     newInbox(),
		forecasts: make(map[string]tamarackknot.Forecast),
		started:   time.Now(),
		planners:  make(map[string]*planner),
		local:     make(map[string]*localDemand),
		usage:     make(map[string]*usageEntry),
		usageTo:   make(map[string]int),
		mirror:    newMirror(),
		work:      make(map[replicaKey]*work),
		absent:    make(map[replicaKey]absence),
		sending:   make(map[string]bool),
		resendAt:  make(map[string]time.Time),
	}
	cfg.Peers.Handle(methodDemand, c.handleDemand)
	cfg.Peers.Handle(methodUsage, c.handleUsage)
	return c
}

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	go (&hostPoll{c: c}).run(ctx)
	c.loop(ctx)
}

// Drain begins the shutdown: nothing new is decided or ordered. The channel is
// closed when no order and no proposal is outstanding, or at the deadline;
// Idle says which.
func (c *Controller) Drain(deadline time.Time) <-chan struct{} {
	c.mu.Lock()
	if c.drainTo.IsZero() {
		c.drainTo = deadline
	}
	c.mu.Unlock()
	c.nudge()
	return c.drained
}

// Idle reports whether a drained controller has no order outstanding. Once
// true, it proposes and orders nothing any more.
func (c *Controller) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

func (c *Controller) draining() (deadline time.Time, draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drainTo, !c.drainTo.IsZero()
}

// nudge wakes the loop.
func (c *Controller) nudge() {
	wait.Wake(c.wake)
}

// post hands an event to the loop unless the controller has ended.
func (c *Controller) post(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

func (c *Controller) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	changed := c.cfg.Journal.Changed()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			e.apply(c, time.Now())
		case <-c.wake:
		case <-changed:
			changed = c.cfg.Journal.Changed()
			c.mirror.stale = true
		case <-timer.C:
		}
		for more := true; more; {
			select {
			case e := <-c.events:
				e.apply(c, time.Now())
			default:
				more = false
			}
		}
		timer.Reset(c.step(ctx, time.Now()))
	}
}

// step does what is due and returns the time until the next step.
func (c *Controller) step(ctx context.Context, now time.Time) time.Duration {
	replies := c.drainInbox()
	if c.Idle() {
		clear(c.planners)
		c.answer(replies, now)
		return idleInterval
	}
	deadline, draining := c.draining()
	c.selectPlanners(now)
	c.forward(ctx, now)
	c.sync(now)
	c.takeReports(now)
	if c.cfg.Journal.Status().Ready {
		c.reconcile(ctx, now, draining)
		if !draining {
			c.decide(ctx, now)
		}
	}
	c.answer(replies, now)
	c.publish(now)
	if draining {
		c.finish(now, deadline)
	}
	if len(c.local) > 0 || len(c.work) > 0 || c.mirror.stale || c.waiting() {
		return demandInterval
	}
	return idleInterval
}

// finish ends a shutdown when nothing is outstanding or the deadline is over.
func (c *Controller) finish(now, deadline time.Time) {
	if c.running > 0 && now.Before(deadline) {
		return
	}
	c.mu.Lock()
	c.idle = c.running == 0
	c.mu.Unlock()
	select {
	case <-c.drained:
	default:
		close(c.drained)
	}
}

func (c *Controller) count(name string) {
	metrics.GetOrRegisterCounter("placement."+name, c.cfg.Metrics).Inc(1)
}

func (c *Controller) time(name string, d time.Duration) {
	t := c.cfg.Metrics.GetOrRegister("placement."+name, newTimer).(metrics.Timer)
	t.Update(d)
}

// newTimer returns a timer without the meter of metrics.NewTimer, whose
// process-wide goroutine never ends.
func newTimer() metrics.Timer {
	sample := metrics.NewExpDecaySample(1028, 0.015) // the library's defaults
	return metrics.NewCustomTimer(metrics.NewHistogram(sample), metrics.NilMeter{})
}
