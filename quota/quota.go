// Package quota keeps the quotas of workspaces over all entry hosts. Each workspace has an
// owner among the live hosts, which holds its token bucket; the others ask it for the cost of
// their requests and, where they have many, for some more in advance.
package quota

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// creditTime is how long a host may use what it was granted. It bounds what an owner that
	// is lost leaves behind.
	creditTime = time.Second
	// rateWindow is the time over which a host counts its requests to ask in advance.
	rateWindow = 500 * time.Millisecond
	// minAdvanceRequests is the number of requests within it from which a host does so: the
	// bucket of a small quota holds one or two requests.
	minAdvanceRequests = 3
	// askTimeout limits a call to an owner, which takes a few milliseconds.
	askTimeout = 150 * time.Millisecond
	// maxAsked is the number of hosts that are asked for one request.
	maxAsked = 3
	// probeMemory is for how long a standby relies on a probe of the owner, and standbyTime how
	// long it grants while the owner does not answer: longer than the planner takes to drop a
	// lost host from its list.
	probeMemory = 300 * time.Millisecond
	standbyTime = 3 * time.Second
	// unconfirmedTime is how long an owner grants without hearing the planner. It covers the
	// change of a lost planner; another owner may grant meanwhile to the hosts that hear one.
	unconfirmedTime = 8 * time.Second
	// denialTime is how long a host refuses without asking again after the owner refused.
	denialTime = 100 * time.Millisecond
	// unknownRetryDelay is the time to come back while it is not known what is left.
	unknownRetryDelay = 500 * time.Millisecond
	// returnInterval is the pause between two rounds in which hosts give back what they did
	// not use.
	returnInterval = 250 * time.Millisecond
	// idleTime is how long the state of a workspace without requests is kept.
	idleTime = 30 * time.Second

	methodTake   = "quota.take"
	methodReturn = "quota.return"
)

// Config configures a Keeper.
type Config struct {
	Self  string
	Peers tamarackknot.Peers
	// Hosts returns the hosts that the planner considers alive, nil if no list is known. The
	// list must not be changed.
	Hosts func() []tamarackknot.HostEntry
	// PlannerHeardAt returns when the planner was last heard, on Clock.
	PlannerHeardAt func() time.Duration
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
	cfg      Config
	counters struct{ granted, exceeded, unknown, asked, standby metrics.Counter }

	mu       sync.Mutex
	accounts map[string]*account
	buckets  map[string]*ownedBucket
	// hosts are those of the last list that can hold quotas, since listAt unchanged.
	list   []tamarackknot.HostEntry
	hosts  []string
	listAt time.Duration
	// probes holds when another host was last found to answer or not.
	probes map[string]probe
}

var _ tamarackknot.Quotas = (*Keeper)(nil)

// account is what this host holds of the quota of a workspace.
type account struct {
	credit   float64
	creditTo time.Duration // until when credit may be used
	expired  float64       // to be given back
	usedAt   time.Duration
	// used is the cost of the requests within the current window, and last of those within the
	// one before.
	used, last   usage
	deniedTo     time.Duration // until when requests that cost denied or more are refused
	denied       float64
	deniedRetry  time.Duration
	local        *bucket // this host's part while no owner grants
	unreturnedTo string  // the host that granted the credit
}

// usage counts requests within a window.
type usage struct {
	from     time.Duration
	requests int
	cost     float64
}

// ownedBucket is a bucket that this host holds as owner, or as standby until a time.
type ownedBucket struct {
	*bucket
	standbyTo time.Duration // zero for the owner
}

type probe struct {
	at       time.Duration
	answered bool
}

// New returns a Keeper and registers its handlers with cfg.Peers.
func New(cfg Config) *Keeper {
	if cfg.Clock == nil {
		cfg.Clock = times.SinceBoot
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	k := &Keeper{
		cfg: cfg, accounts: make(map[string]*account), buckets: make(map[string]*ownedBucket), probes: make(map[string]probe),
		listAt: cfg.Clock(),
	}
	for name, c := range map[string]*metrics.Counter{
		"granted": &k.counters.granted, "exceeded": &k.counters.exceeded, "unknown": &k.counters.unknown, "asked": &k.counters.asked,
		"standby": &k.counters.standby,
	} {
		*c = metrics.NewRegisteredCounter("quotas."+name, cfg.Metrics)
	}
	cfg.Peers.Handle(methodTake, k.handleTake)
	cfg.Peers.Handle(methodReturn, k.handleReturn)
	return k
}

// takeParams asks for the cost of a request and, as far as there is plenty, for Advance more.
type takeParams struct {
	Workspace string  `json:"workspace"`
	Cost      float64 `json:"cost"`
	Advance   float64 `json:"advance,omitempty"`
	// Standby says that the owner does not answer the host.
	Standby bool `json:"standby,omitempty"`
	// PerSecond and Burst are the quota at the host that asks, in case the other one
	// does not know the workspace yet.
	PerSecond float64 `json:"perSecond,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
}

// takeResult is what was granted, or why nothing was.
type takeResult struct {
	Granted float64 `json:"granted,omitempty"`
	// RetryMs is when there may be room; 0 if a retry does not help.
	RetryMs int64 `json:"retryMs,omitempty"`
	// Elsewhere says that this host does not hold the quota, Unsure that it does not know.
	// Owner is the host that does by its list.
	Elsewhere bool   `json:"elsewhere,omitempty"`
	Owner     string `json:"owner,omitempty"`
	Unsure    bool   `json:"unsure,omitempty"`
}

type returnParams struct {
	Workspace string  `json:"workspace"`
	Cost      float64 `json:"cost"`
}

// Take implements tamarackknot.Quotas.
func (k *Keeper) Take(ctx context.Context, workspace string, q tamarackknot.Quota, cost float64) tamarackknot.QuotaDecision {
	if !q.Limited() {
		return tamarackknot.QuotaDecision{Allowed: true}
	}
	k.mu.Lock()
	now := k.cfg.Clock()
	a := k.account(workspace, now)
	a.count(cost, now)
	if a.spend(cost, now) {
		k.mu.Unlock()
		k.counters.granted.Inc(1)
		return tamarackknot.QuotaDecision{Allowed: true}
	}
	if now < a.deniedTo && cost >= a.denied {
		retry := a.deniedRetry
		k.mu.Unlock()
		return k.exceeded(retry)
	}
	advance := a.advance()
	holders := k.holders(workspace, now)
	k.mu.Unlock()
	params := takeParams{Workspace: workspace, Cost: cost, Advance: advance, PerSecond: q.PerSecond, Burst: q.Burst}
	r, holder, err := k.ask(ctx, holders, params)
	if err != nil || r.Unsure {
		return k.takeLocally(workspace, q, cost, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now = k.cfg.Clock()
	a = k.account(workspace, now)
	if r.Granted < cost {
		retryAt := time.Duration(0)
		if r.RetryMs > 0 {
			retryAt = now + time.Duration(r.RetryMs)*time.Millisecond
		}
		a.denied, a.deniedRetry, a.deniedTo = cost, retryAt, now+denialTime
		return k.exceeded(retryAt)
	}
	a.add(r.Granted-cost, holder, now)
	k.counters.granted.Inc(1)
	return tamarackknot.QuotaDecision{Allowed: true}
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

// takeLocally takes the cost of a request from this host's equal part of the quota, which no
// other host knows of: no holder of the quota can be asked.
func (k *Keeper) takeLocally(workspace string, q tamarackknot.Quota, cost float64, err error) tamarackknot.QuotaDecision {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock()
	a := k.account(workspace, now)
	if n := len(k.hosts); n > 0 {
		part := k.limit(q).part(n)
		if a.local == nil {
			a.local = newBucket(part, now)
		}
		a.local.setLimit(part)
		if taken, _ := a.local.take(cost, 0, now); taken > 0 {
			k.counters.granted.Inc(1)
			return tamarackknot.QuotaDecision{Allowed: true}
		}
	}
	k.counters.unknown.Inc(1)
	k.cfg.Logger.Info("quota not known", "workspace", workspace, "cost", cost, "hosts", len(k.hosts), "error", err)
	return tamarackknot.QuotaDecision{
		Reason: "it is not known what is left of the quota of the workspace", RetryAt: time.Now().Add(unknownRetryDelay),
	}
}

// Return implements tamarackknot.Quotas.
func (k *Keeper) Return(workspace string, cost float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock()
	if a := k.accounts[workspace]; a != nil {
		a.add(cost, a.unreturnedTo, now)
	}
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

// add adds to the credit.
func (a *account) add(n float64, holder string, now time.Duration) {
	if n <= 0 {
		return
	}
	a.expire(now)
	if a.credit == 0 {
		a.creditTo = now + creditTime
	}
	a.credit += n
	if holder != "" {
		a.unreturnedTo = holder
	}
}

// expire sets aside the credit that has expired.
func (a *account) expire(now time.Duration) {
	if now >= a.creditTo {
		a.expired, a.credit = a.expired+a.credit, 0
	}
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

// limit returns the limit of the bucket that holds a quota.
func (k *Keeper) limit(q tamarackknot.Quota) limit {
	return limitOf(q, tolerance{k.cfg.Window, k.cfg.Excess, k.cfg.Slack})
}

// holders returns the owner of a workspace's quota and the host that follows it, by the list
// of the planner that this host knows. k.mu is held.
func (k *Keeper) holders(workspace string, now time.Duration) []string {
	k.refreshHosts(now)
	var first, second string
	var firstRank, secondRank uint64
	for _, host := range k.hosts {
		r := rank(workspace, host)
		switch {
		case first == "" || r < firstRank || r == firstRank && host < first:
			second, secondRank = first, firstRank
			first, firstRank = host, r
		case second == "" || r < secondRank || r == secondRank && host < second:
			second, secondRank = host, r
		}
	}
	if second == "" {
		return []string{first}
	}
	return []string{first, second}
}

// rank orders the hosts for a workspace.
func rank(workspace, host string) uint64 { return xxhash.Sum64String(workspace + "\x00" + host) }

// refreshHosts takes over the planner's list if it has changed, and drops the buckets that
// other hosts own now. k.mu is held.
func (k *Keeper) refreshHosts(now time.Duration) {
	list := k.cfg.Hosts()
	if len(list) == 0 || len(list) == len(k.list) && &list[0] == &k.list[0] {
		return
	}
	k.list = list
	var names []string
	for _, h := range list {
		if h.Workspaces {
			names = append(names, h.Name)
		}
	}
	slices.Sort(names)
	if slices.Equal(names, k.hosts) {
		return
	}
	k.hosts, k.listAt = names, now
	for workspace, b := range k.buckets {
		owner := k.holders(workspace, now)[0]
		switch {
		case owner == k.cfg.Self:
			b.standbyTo = 0
		case b.standbyTo == 0:
			delete(k.buckets, workspace)
			k.cfg.Logger.Info("quota passed on", "workspace", workspace, "owner", owner)
		}
	}
}

// ask asks the holders of a quota, the owner first, for the cost of a request. It returns who
// has answered.
func (k *Keeper) ask(ctx context.Context, holders []string, p takeParams) (r takeResult, holder string, err error) {
	err = errNoHolder
	k.counters.asked.Inc(1)
	for i := 0; i < len(holders) && i < maxAsked; i++ {
		host := holders[i]
		if host == "" {
			continue
		}
		p.Standby = i > 0
		if host == k.cfg.Self {
			r, err = k.grant(ctx, p), nil
		} else {
			r = takeResult{}
			err = k.call(ctx, host, p, &r)
		}
		switch {
		case err != nil:
		case !r.Elsewhere:
			return r, host, nil
		case r.Owner != "" && !slices.Contains(holders, r.Owner):
			// The planner's list has changed and one of the hosts does not have it yet.
			holders = slices.Insert(holders, i+1, r.Owner)
		}
	}
	if err == nil {
		err = errElsewhere
	}
	return r, "", err
}

var (
	errNoHolder  = errors.New("no host is known that holds the quota")
	errElsewhere = errors.New("the hosts that were asked do not hold the quota")
)

func (k *Keeper) call(ctx context.Context, host string, p takeParams, r *takeResult) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(askTimeout))
	defer cancel()
	return k.cfg.Peers.Call(ctx, host, methodTake, p, r)
}

func (k *Keeper) handleTake(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var p takeParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	return k.grant(ctx, p), nil
}

// grant takes from the bucket of a workspace if this host holds it.
func (k *Keeper) grant(ctx context.Context, p takeParams) takeResult {
	k.mu.Lock()
	holders := k.holders(p.Workspace, k.cfg.Clock())
	k.mu.Unlock()
	standby := holders[0] != k.cfg.Self
	if standby && (!p.Standby || k.answers(ctx, holders[0], p)) {
		return takeResult{Elsewhere: true, Owner: holders[0]}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock()
	if now-k.cfg.PlannerHeardAt() > unconfirmedTime {
		return takeResult{Unsure: true}
	}
	b := k.bucket(p, standby, now)
	if b == nil {
		return takeResult{Unsure: true}
	}
	taken, retryAt := b.take(p.Cost, p.Advance, now)
	if taken > 0 || p.Cost == 0 {
		return takeResult{Granted: taken}
	}
	r := takeResult{}
	if retryAt > 0 {
		r.RetryMs = max((retryAt - now).Milliseconds(), 1)
	}
	return r
}

// bucket returns the bucket of a workspace that this host holds, nil if it must not grant any
// longer as standby. k.mu is held.
func (k *Keeper) bucket(p takeParams, standby bool, now time.Duration) *ownedBucket {
	q, known := k.cfg.Limit(p.Workspace)
	if !known {
		q = tamarackknot.Quota{PerSecond: p.PerSecond, Burst: p.Burst}
	}
	b := k.buckets[p.Workspace]
	if b == nil {
		// Another host may have granted until the list changed, or until now.
		since := k.listAt
		b = &ownedBucket{}
		if standby {
			since, b.standbyTo = now, now+standbyTime
		}
		b.bucket = newBucket(k.limit(q), since)
		k.buckets[p.Workspace] = b
		k.cfg.Logger.Info("quota taken over", "workspace", p.Workspace, "standby", standby, "sinceMs", (now - since).Milliseconds())
	}
	b.setLimit(k.limit(q))
	if !standby {
		b.standbyTo = 0
		return b
	}
	k.counters.standby.Inc(1)
	if now >= b.standbyTo {
		return nil
	}
	return b
}

// answers reports whether the owner of a quota answers this host.
func (k *Keeper) answers(ctx context.Context, owner string, p takeParams) bool {
	k.mu.Lock()
	last, known := k.probes[owner]
	now := k.cfg.Clock()
	k.mu.Unlock()
	if known && now-last.at < probeMemory {
		return last.answered
	}
	var r takeResult
	err := k.call(ctx, owner, takeParams{Workspace: p.Workspace, PerSecond: p.PerSecond, Burst: p.Burst}, &r)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.probes[owner] = probe{now, err == nil}
	return err == nil
}

func (k *Keeper) handleReturn(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var p returnParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	k.putBack(p)
	return nil, nil
}

// putBack returns to the bucket of a workspace what a host did not use.
func (k *Keeper) putBack(p returnParams) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b := k.buckets[p.Workspace]; b != nil && p.Cost > 0 {
		b.put(p.Cost, k.cfg.Clock())
	}
}

// Run gives back what this host did not use, and follows the list of hosts, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for wait.For(ctx, returnInterval) {
		for host, returns := range k.expire() {
			for _, p := range returns {
				if host == k.cfg.Self {
					k.putBack(p)
				} else if err := k.cfg.Peers.Notify(ctx, host, methodReturn, p); err != nil {
					k.cfg.Logger.Debug("cannot give back quota", "workspace", p.Workspace, "owner", host, "error", err)
				}
			}
		}
	}
}

// expire removes the credit that has expired and returns it by the hosts that granted it. It
// forgets the workspaces and probes that have not been used for long.
func (k *Keeper) expire() map[string][]returnParams {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock()
	k.refreshHosts(now)
	out := make(map[string][]returnParams)
	for workspace, a := range k.accounts {
		if a.expire(now); a.expired > 0 {
			if a.unreturnedTo != "" {
				out[a.unreturnedTo] = append(out[a.unreturnedTo], returnParams{workspace, a.expired})
			}
			a.expired = 0
		}
		if now-a.usedAt > idleTime {
			delete(k.accounts, workspace)
		}
	}
	for workspace, b := range k.buckets {
		// A bucket that has been full since then is the same as a new one of its owner.
		if now-b.at > idleTime && (b.standbyTo == 0 && b.perSecond*idleTime.Seconds() >= b.capacity || b.standbyTo > 0) {
			delete(k.buckets, workspace)
		}
	}
	for host, p := range k.probes {
		if now-p.at > probeMemory {
			delete(k.probes, host)
		}
	}
	return out
}
