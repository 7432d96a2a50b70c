// Package quota keeps the quotas of workspaces over all entry hosts. Each workspace has an
// owner among the live hosts, which holds its token bucket; the others ask it for the cost of
// their requests and, where they have many, for some more in advance.
package quota

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
)

const (
	// creditTime is how long a host may use what it was granted in advance.
	creditTime = time.Second
	// sendTime is how long after that a request is sent with what was taken for it, and
	// returnTime how long it can be given back. What is granted in one window and runs in the
	// next, or is granted once more there, comes on top of what the next one grants.
	sendTime   = 250 * time.Millisecond
	returnTime = 500 * time.Millisecond
	// rateWindow is the time over which a host counts its requests to ask in advance.
	rateWindow = 500 * time.Millisecond
	// minAdvanceRequests is the number of requests within it from which a host does so: the
	// bucket of a small quota holds one or two requests.
	minAdvanceRequests = 3
	// askTimeout limits a call to a holder, which takes a few milliseconds, and proxyTimeout
	// one that a standby makes meanwhile.
	askTimeout   = 150 * time.Millisecond
	proxyTimeout = 60 * time.Millisecond
	// maxAsked is the number of hosts that are asked for one request.
	maxAsked = 3
	// failureMemory is for how long a host that did not answer is not asked again if there is
	// another one.
	failureMemory = 300 * time.Millisecond
	// denialTime is how long a host refuses without asking again after the owner refused.
	denialTime = 100 * time.Millisecond
	// unknownRetryDelay is the time to come back while it is not known what is left.
	unknownRetryDelay = 500 * time.Millisecond
	// returnInterval is the pause between two rounds in which hosts give back what they did
	// not use.
	returnInterval = 100 * time.Millisecond
	// idleTime is how long the state of a workspace without requests is kept.
	idleTime = 30 * time.Second
	// localGap is the pause in the use of a host's own share after which that begins empty.
	localGap = 2 * time.Second
)

// Config configures a Keeper.
type Config struct {
	Self  string
	Peers tamarackknot.Peers
	// Hosts returns the hosts that the planner considers alive, nil if no list is known. The
	// list must not be changed.
	Hosts func() []tamarackknot.HostEntry
	// ListConfirmedAt returns the newest time on Clock at which the planner is known to have had
	// that list, 0 if there is none.
	ListConfirmedAt func() time.Duration
	// Planner returns the planner that was heard last. Nil means that none is known.
	Planner func() string
	// Sharers returns the number of hosts that divide limits while no owner grants, 0 if this
	// host must not use a share. Nil means 0.
	Sharers func() int
	// Limit returns the quota of a workspace in the configuration in force.
	Limit func(workspace string) (tamarackknot.Quota, bool)
	// The requests of a workspace may exceed what its quota allows within Window by the fraction
	// Excess of it, and by Slack.
	Window time.Duration
	Excess float64
	Slack  float64
	// Clock returns the time since boot, including the time of suspension. Nil means the
	// system's clock.
	Clock   func() time.Duration
	Logger  *log.Logger
	Metrics metrics.Registry
}

// Keeper implements tamarackknot.Quotas.
type Keeper struct {
	cfg       Config
	tolerance tolerance
	counters  struct{ granted, exceeded, unknown, asked, standby, reserved metrics.Counter }

	mu        sync.Mutex
	view      hostView
	accounts  map[string]*account
	owned     map[string]*ownedQuota
	returns   map[returnKey]float64
	failedAt  map[string]time.Duration // when a host last did not answer
	startedAt time.Duration
	// startedTogether says that most other hosts have started with this one, as after a loss of
	// power of all.
	startedTogether bool
	// startedStable says that most hosts have relied on this host's list since before its start,
	// so that its former process was the owner by it.
	startedStable bool
	// grantedAt is when this host was last asked for a quota that it holds by its list.
	grantedAt time.Duration
	// handovers are buckets for other hosts, and handed those that other hosts have sent.
	handovers []handover
	handed    map[string]handedBucket
	wake      chan struct{} // wakes Run
}

var _ tamarackknot.Quotas = (*Keeper)(nil)

// returnKey names the bucket to which something is given back.
type returnKey struct {
	holder, workspace string
	bucket            int64
}

// account is what this host holds of the quota of a workspace.
type account struct {
	credit   float64
	creditTo time.Duration // until when credit may be used
	holder   string        // the host that granted it, from its bucket
	bucket   int64
	usedAt   time.Duration
	asking   int // calls for it that are under way
	// used is the cost of the requests within the current window, and last of those within the
	// one before.
	used, last  usage
	deniedTo    time.Duration // until when requests that cost denied or more are refused
	denied      float64
	deniedRetry time.Duration
	local       *bucket // this host's share while no owner grants
	localAt     time.Duration
}

// usage counts requests within a window.
type usage struct {
	from     time.Duration
	requests int
	cost     float64
}

// New returns a Keeper and registers its handlers with cfg.Peers.
func New(cfg Config) *Keeper {
	if cfg.Clock == nil {
		cfg.Clock = times.SinceBoot
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Planner == nil {
		cfg.Planner = func() string { return "" }
	}
	if cfg.Sharers == nil {
		cfg.Sharers = func() int { return 0 }
	}
	k := &Keeper{
		cfg: cfg, tolerance: tolerance{cfg.Window, cfg.Excess, cfg.Slack}, accounts: make(map[string]*account),
		owned: make(map[string]*ownedQuota), returns: make(map[returnKey]float64), failedAt: make(map[string]time.Duration),
		startedAt: cfg.Clock(), handed: make(map[string]handedBucket), wake: make(chan struct{}, 1),
	}
	for name, c := range map[string]*metrics.Counter{
		"granted": &k.counters.granted, "exceeded": &k.counters.exceeded, "unknown": &k.counters.unknown, "asked": &k.counters.asked,
		"standby": &k.counters.standby, "reserved": &k.counters.reserved,
	} {
		*c = metrics.NewRegisteredCounter("quotas."+name, cfg.Metrics)
	}
	cfg.Peers.Handle(methodTake, k.handleTake)
	cfg.Peers.Handle(methodReturn, k.handleReturn)
	cfg.Peers.Handle(methodView, k.handleView)
	cfg.Peers.Handle(methodHandover, k.handleHandover)
	return k
}

// Take implements tamarackknot.Quotas.
func (k *Keeper) Take(ctx context.Context, workspace string, q tamarackknot.Quota, cost float64) tamarackknot.QuotaDecision {
	if !q.Limited() || cost <= 0 {
		return tamarackknot.QuotaDecision{Allowed: true}
	}
	k.mu.Lock()
	now := k.cfg.Clock()
	a := k.account(workspace, now)
	a.count(cost, now)
	if a.spend(cost, now) {
		holder, bucket := a.holder, a.bucket
		k.mu.Unlock()
		return k.allow(tamarackknot.QuotaGrant{Cost: cost, Holder: holder, Bucket: bucket, TakenAt: now})
	}
	if now < a.deniedTo && cost >= a.denied {
		retry := a.deniedRetry
		k.mu.Unlock()
		return k.exceeded(retry)
	}
	holders := k.holders(workspace, now)
	p := takeParams{Workspace: workspace, Cost: cost, PerSecond: q.PerSecond, Burst: q.Burst}
	if a.asking == 0 {
		p.Advance = a.advance()
	}
	if a.credit > 0 && a.holder == holders[0] {
		p.Returned, p.Bucket = a.credit, a.bucket
		a.credit = 0
	}
	a.asking++
	k.mu.Unlock()
	r, err := k.ask(ctx, holders, p)
	return k.conclude(workspace, q, cost, now, r, err)
}

// conclude returns the decision for a request that was asked for at a time.
func (k *Keeper) conclude(workspace string, q tamarackknot.Quota, cost float64, askedAt time.Duration, r takeResult, err error) tamarackknot.QuotaDecision {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock()
	a := k.account(workspace, now)
	a.asking = max(a.asking-1, 0)
	switch {
	case errors.Is(err, errNoHolder), err == nil && r.Unsure:
		return k.takeLocally(a, workspace, q, cost, now)
	case err != nil, r.Settling:
		return k.unknown(workspace, cost, err)
	case r.Granted < cost:
		retryAt := time.Duration(0)
		a.denied, a.deniedTo = cost, now+denialTime
		if r.RetryMs > 0 {
			retryAt = now + time.Duration(r.RetryMs)*time.Millisecond
			a.deniedTo = min(a.deniedTo, retryAt)
		}
		a.deniedRetry, a.local = retryAt, nil
		return k.exceeded(retryAt)
	}
	a.local = nil
	k.keepCredit(a, workspace, r, r.Granted-cost, askedAt)
	return k.allow(tamarackknot.QuotaGrant{Cost: cost, Holder: r.Holder, Bucket: r.Bucket, TakenAt: askedAt})
}

// keepCredit keeps what was granted in advance. k.mu is held.
func (k *Keeper) keepCredit(a *account, workspace string, r takeResult, n float64, askedAt time.Duration) {
	if n <= 0 {
		return
	}
	if a.credit > 0 && (a.holder != r.Holder || a.bucket != r.Bucket) {
		k.giveBack(a.holder, workspace, a.bucket, a.credit)
		a.credit = 0
	}
	if a.credit == 0 {
		a.creditTo = askedAt + creditTime
	}
	a.credit += n
	a.creditTo = min(a.creditTo, askedAt+creditTime)
	a.holder, a.bucket = r.Holder, r.Bucket
}

// allow returns the decision for a request within the quota.
func (k *Keeper) allow(g tamarackknot.QuotaGrant) tamarackknot.QuotaDecision {
	k.counters.granted.Inc(1)
	return tamarackknot.QuotaDecision{Allowed: true, Grant: g}
}

// exceeded returns the decision for a request beyond the quota.
func (k *Keeper) exceeded(retryAt time.Duration) tamarackknot.QuotaDecision {
	k.counters.exceeded.Inc(1)
	d := tamarackknot.QuotaDecision{Exceeded: true, Reason: "the quota of the workspace is used up"}
	if retryAt > 0 {
		d.RetryAt = time.Now().Add(retryAt - k.cfg.Clock())
	} else {
		d.Reason = "the request exceeds the quota of the workspace"
	}
	return d
}

// unknown returns the decision for a request of which no host knows whether it fits.
func (k *Keeper) unknown(workspace string, cost float64, err error) tamarackknot.QuotaDecision {
	k.counters.unknown.Inc(1)
	k.cfg.Logger.Debug("quota not known", "workspace", workspace, "cost", cost, "hosts", len(k.view.names), "error", err)
	return tamarackknot.QuotaDecision{
		Reason: "it is not known what is left of the quota of the workspace", RetryAt: time.Now().Add(unknownRetryDelay),
	}
}

// takeLocally takes the cost of a request from this host's equal share of the quota: no host
// holds it. k.mu is held.
func (k *Keeper) takeLocally(a *account, workspace string, q tamarackknot.Quota, cost float64, now time.Duration) tamarackknot.QuotaDecision {
	n := k.cfg.Sharers()
	if n == 0 {
		return k.unknown(workspace, cost, errNoShare)
	}
	share := limitOf(q, k.tolerance).part(n)
	if a.local == nil || now-a.localAt > localGap {
		a.local = newBucket(share, now)
	}
	a.localAt = now
	a.local.setLimit(share, now, k.cfg.Window)
	if taken, _ := a.local.take(cost, now); taken {
		return k.allow(tamarackknot.QuotaGrant{Cost: cost, TakenAt: now})
	}
	return k.unknown(workspace, cost, errShareUsed)
}

var (
	errNoHolder  = errors.New("no host is known that holds the quota")
	errElsewhere = errors.New("the hosts that were asked do not hold the quota")
	errNoShare   = errors.New("no host grants, and this one knows no share of its own")
	errShareUsed = errors.New("no host grants, and the share of this one is used up")
)

// Return implements tamarackknot.Quotas.
func (k *Keeper) Return(workspace string, g tamarackknot.QuotaGrant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if g.Cost > 0 && g.Holder != "" && k.cfg.Clock()-g.TakenAt <= returnTime {
		k.giveBack(g.Holder, workspace, g.Bucket, g.Cost)
	}
}

// Expired implements tamarackknot.Quotas.
func (k *Keeper) Expired(g tamarackknot.QuotaGrant) bool {
	return g.Cost > 0 && k.cfg.Clock()-g.TakenAt > sendTime
}

// giveBack returns a part of a quota to the bucket that it comes from, or has it returned in
// the next round. k.mu is held.
func (k *Keeper) giveBack(holder, workspace string, bucket int64, n float64) {
	if holder == k.cfg.Self {
		k.putBack(workspace, bucket, n, k.cfg.Clock())
		return
	}
	k.returns[returnKey{holder, workspace, bucket}] += n
}

// account returns this host's account of a workspace. k.mu is held.
func (k *Keeper) account(workspace string, now time.Duration) *account {
	a := k.accounts[workspace]
	if a == nil {
		a = &account{}
		k.accounts[workspace] = a
	}
	a.usedAt = now
	return a
}

// spend takes a cost from the credit, if it is enough and has not expired.
func (a *account) spend(cost float64, now time.Duration) bool {
	if now >= a.creditTo || a.credit < cost {
		return false
	}
	a.credit -= cost
	return true
}

// count counts a request of this host.
func (a *account) count(cost float64, now time.Duration) {
	switch since := now - a.used.from; {
	case since >= 2*rateWindow:
		a.last, a.used = usage{}, usage{from: now}
	case since >= rateWindow:
		a.last, a.used = a.used, usage{from: now}
	}
	a.used.requests++
	a.used.cost += cost
}

// advance returns how much this host asks for beyond a request: what its requests of the last
// window have cost.
func (a *account) advance() float64 {
	busiest := a.last
	if a.used.requests > busiest.requests {
		busiest = a.used
	}
	if busiest.requests < minAdvanceRequests {
		return 0
	}
	return busiest.cost
}

// Run gives back what this host did not use, follows the list of hosts and hands buckets over
// to their new owners, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	t := time.NewTicker(returnInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-k.wake:
		}
		k.sendHandovers(ctx)
		for key, cost := range k.expire() {
			ctx, cancel := context.WithDeadline(ctx, time.Now().Add(askTimeout))
			p := returnParams{Workspace: key.workspace, Bucket: key.bucket, Cost: cost}
			if err := k.cfg.Peers.Notify(ctx, key.holder, methodReturn, p); err != nil {
				k.cfg.Logger.Debug("cannot give back quota", "workspace", key.workspace, "holder", key.holder, "error", err)
			}
			cancel()
		}
	}
}

// expire removes the credit that has expired and returns what is to be given back to other
// hosts. It forgets what has not been used for long.
func (k *Keeper) expire() map[returnKey]float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock()
	k.refresh(now)
	for workspace, a := range k.accounts {
		if a.credit > 0 && now >= a.creditTo {
			k.giveBack(a.holder, workspace, a.bucket, a.credit)
			a.credit = 0
		}
		if now-a.usedAt > idleTime {
			delete(k.accounts, workspace)
		}
	}
	for workspace, o := range k.owned {
		if o.isIdle(now) {
			delete(k.owned, workspace)
		}
	}
	for workspace, h := range k.handed {
		if now-h.at > handoverTime {
			delete(k.handed, workspace)
		}
	}
	for host, at := range k.failedAt {
		if now-at > failureMemory {
			delete(k.failedAt, host)
		}
	}
	out := k.returns
	k.returns = make(map[returnKey]float64)
	return out
}
