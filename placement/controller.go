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
	// orderSettleTime bounds how long an order may be in transit after its
	// sender has given up or ended.
	orderSettleTime = 10 * time.Second
	// unloadGrace is the time after an accepted unload record from which no
	// host routes new requests to the replica; records propagate faster.
	unloadGrace = 2 * time.Second
	// unloadDrainTimeout bounds the wait for a report without requests in
	// flight. The engine itself finishes running requests before it unloads.
	unloadDrainTimeout = 30 * time.Second
	demandInterval     = 100 * time.Millisecond
	idleInterval       = time.Second
	reportInterval     = 500 * time.Millisecond
	plannerInterval    = 200 * time.Millisecond
	// firstReportTime is the maximum time until the first report of a new
	// endpoint: a poll interval of 1 s, and the same again for a lost poll.
	firstReportTime = 3 * time.Second
	// reportMaxAge is the age from which a report no longer counts as proof
	// that its endpoint works.
	reportMaxAge = 15 * time.Second
	// syncPauseFactor is the pause after a copy from the journal in multiples
	// of its duration, so that copying takes at most 2 % of the time.
	syncPauseFactor = 50
	// maxSyncPause bounds the pause if a copy took long because the process was
	// suspended.
	maxSyncPause = 500 * time.Millisecond
	// logBackoff is how long no change is proposed after a failed append.
	logBackoff = time.Second
	// logFailureRefusal is how long demand is refused after a failed append.
	logFailureRefusal = 3 * time.Second
)

// Config holds the dependencies of a Controller. All fields except Metrics and
// Policy are required.
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

// Controller forwards the demand of this host to the planners. Where this host
// is the planner, it also carries out the decisions of the Policy. Run must be
// called once; the other methods are safe for concurrent use.
type Controller struct {
	cfg  Config
	self tamarackknot.Process
	wake chan struct{}
	// events carries results of goroutines to the event loop.
	events  chan event
	drained chan struct{}

	mu            sync.Mutex
	inbox         inbox
	forecasts     map[string]tamarackknot.Forecast
	drainDeadline time.Time // deadline of a shutdown; zero before it
	idle          bool

	// The fields below are used only by the event loop.
	started           time.Time
	planners          map[string]*planner
	local             map[string]*localDemand
	usage             map[string]*usageEntry
	usageSentAt       time.Time
	usageFailures     map[string]int // failed attempts in a row by deployment
	mirror            mirror
	work              map[replicaKey]*work
	absent            map[replicaKey]absence
	hosts             hostView
	plannersCheckedAt time.Time
	reportsAppliedAt  time.Time
	// logFailedAt is when a proposal last failed.
	logFailedAt    time.Time
	outstanding    int // orders and proposals without a result
	demandInFlight map[string]bool
	// resendAt is the earliest time of the next demand message to a planner
	// that could not be reached, by deployment.
	resendAt map[string]time.Time
}

// event is a result that a goroutine passes to the event loop.
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
		cfg:            cfg,
		self:           tamarackknot.Process{Host: self.Host.Name, Incarnation: self.Incarnation},
		wake:           make(chan struct{}, 1),
		events:         make(chan event),
		drained:        make(chan struct{}),
		inbox:          newInbox(),
		forecasts:      make(map[string]tamarackknot.Forecast),
		started:        time.Now(),
		planners:       make(map[string]*planner),
		local:          make(map[string]*localDemand),
		usage:          make(map[string]*usageEntry),
		usageFailures:  make(map[string]int),
		mirror:         newMirror(),
		work:           make(map[replicaKey]*work),
		absent:         make(map[replicaKey]absence),
		demandInFlight: make(map[string]bool),
		resendAt:       make(map[string]time.Time),
	}
	cfg.Peers.Handle(methodDemand, c.handleDemand)
	cfg.Peers.Handle(methodUsage, c.handleUsage)
	return c
}

// Run runs the event loop until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	go (&hostPoller{c: c}).run(ctx)
	c.loop(ctx)
}

// Drain begins the shutdown: no further decisions are made and no further
// orders are sent; only the results of outstanding orders are still proposed.
// The channel is closed when no order and no proposal is outstanding, or at the
// deadline; Idle tells which.
func (c *Controller) Drain(deadline time.Time) <-chan struct{} {
	c.mu.Lock()
	if c.drainDeadline.IsZero() {
		c.drainDeadline = deadline
	}
	c.mu.Unlock()
	c.wakeLoop()
	return c.drained
}

// Idle reports whether a drained controller has no order or proposal
// outstanding. Once it returns true, the controller sends no further ones.
func (c *Controller) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

func (c *Controller) draining() (deadline time.Time, draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drainDeadline, !c.drainDeadline.IsZero()
}

// wakeLoop wakes the event loop.
func (c *Controller) wakeLoop() {
	wait.Wake(c.wake)
}

// post passes an event to the event loop unless ctx has ended.
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

// step performs all work that is due and returns the time until the next step.
func (c *Controller) step(ctx context.Context, now time.Time) time.Duration {
	requests := c.drainInbox()
	if c.Idle() {
		clear(c.planners)
		c.sendForecasts(requests, now)
		return idleInterval
	}
	deadline, draining := c.draining()
	c.selectPlanners(now)
	c.forward(ctx, now)
	c.sync(now)
	c.applyReports(now)
	if c.cfg.Journal.Status().Ready {
		c.reconcile(ctx, now, draining)
		if !draining {
			c.decide(ctx, now)
		}
	}
	c.sendForecasts(requests, now)
	c.publishForecasts(now)
	if draining {
		c.finishDrain(now, deadline)
	}
	if len(c.local) > 0 || len(c.work) > 0 || c.mirror.stale || c.plannersHaveDemand() {
		return demandInterval
	}
	return idleInterval
}

// finishDrain completes a shutdown when nothing is outstanding or the deadline
// has passed.
func (c *Controller) finishDrain(now, deadline time.Time) {
	if c.outstanding > 0 && now.Before(deadline) {
		return
	}
	c.mu.Lock()
	c.idle = c.outstanding == 0
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

func (c *Controller) recordDuration(name string, d time.Duration) {
	t := c.cfg.Metrics.GetOrRegister("placement."+name, newTimer).(metrics.Timer)
	t.Update(d)
}

// newTimer returns a timer without the meter of metrics.NewTimer, which starts
// a process-wide goroutine that never ends.
func newTimer() metrics.Timer {
	sample := metrics.NewExpDecaySample(1028, 0.015) // the library's defaults
	return metrics.NewCustomTimer(metrics.NewHistogram(sample), metrics.NilMeter{})
}
