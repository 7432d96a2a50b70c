package placement

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const (
	methodDemand = "demand"
	methodUsage  = "usage"
	// demandTTL is how long demand counts that its host does not renew.
	demandTTL = time.Second
	// forecastTTL is how long a forecast is used that the planner does not
	// renew.
	forecastTTL   = 2 * time.Second
	usageInterval = 5 * time.Second
	// usageAttempts bounds how often a batch is sent again.
	usageAttempts = 3
	peerTimeout   = 2 * time.Second
)

// demandMessage carries the demand of one entry host for one deployment.
type demandMessage struct {
	Deployment string                `json:"deployment"`
	Demand     []tamarackknot.Demand `json:"demand"`
}

type demandAnswer struct {
	Forecasts []targetForecast `json:"forecasts"`
}

type targetForecast struct {
	Target  string    `json:"target"`
	ReadyAt time.Time `json:"readyAt"`
	Refused bool      `json:"refused,omitempty"`
	Reason  string    `json:"reason,omitempty"`
	RetryAt time.Time `json:"retryAt"`
}

// usageMessage carries the calls of some seconds.
type usageMessage struct {
	Deployment string       `json:"deployment"`
	Usage      []usageEntry `json:"usage"`
}

type usageEntry struct {
	Target string    `json:"target"`
	First  time.Time `json:"first"`
	Last   time.Time `json:"last"`
	Count  int       `json:"count"`
}

func (u *usageEntry) add(v usageEntry) {
	if u.Count == 0 || v.First.Before(u.First) {
		u.First = v.First
	}
	if v.Last.After(u.Last) {
		u.Last = v.Last
	}
	u.Count += v.Count
}

// inbox holds what request goroutines and peers hand to the loop.
type inbox struct {
	want   map[string]tamarackknot.Demand
	used   map[string]*usageEntry
	demand []*demandRequest
	usage  []usageMessage
}

func newInbox() inbox {
	return inbox{want: make(map[string]tamarackknot.Demand), used: make(map[string]*usageEntry)}
}

// demandRequest is a demand message that waits for its answer.
type demandRequest struct {
	from    string
	message demandMessage
	answer  chan demandAnswer
}

// localDemand is the demand of this host for one target.
type localDemand struct {
	tamarackknot.Demand
	deployment string
	sent       tamarackknot.Demand
	sentAt     time.Time
	forecastAt time.Time
}

// Want implements tamarackknot.Placement.
func (c *Controller) Want(d tamarackknot.Demand) {
	c.mu.Lock()
	c.inbox.want[d.Target] = d
	c.mu.Unlock()
	c.nudge()
}

// Used implements tamarackknot.Placement.
func (c *Controller) Used(target string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.inbox.used[target]
	if u == nil {
		u = &usageEntry{Target: target}
		c.inbox.used[target] = u
	}
	u.add(usageEntry{First: at, Last: at, Count: 1})
}

// Forecast implements tamarackknot.Placement.
func (c *Controller) Forecast(target string) tamarackknot.Forecast {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.forecasts[target]
}

func (c *Controller) handleDemand(ctx context.Context, from string, params json.RawMessage) (any, error) {
	r := &demandRequest{from: from, answer: make(chan demandAnswer, 1)}
	if err := json.Unmarshal(params, &r.message); err != nil {
		return nil, errors.Wrap(err, "demand message")
	}
	c.mu.Lock()
	c.inbox.demand = append(c.inbox.demand, r)
	c.mu.Unlock()
	c.nudge()
	select {
	case a := <-r.answer:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Controller) handleUsage(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var m usageMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "usage message")
	}
	c.mu.Lock()
	c.inbox.usage = append(c.inbox.usage, m)
	c.mu.Unlock()
	c.nudge()
	return struct{}{}, nil
}

// drainInbox takes what arrived into the state of the loop and returns the
// messages that wait for an answer.
func (c *Controller) drainInbox() []*demandRequest {
	c.mu.Lock()
	in := c.inbox
	c.inbox = newInbox()
	c.mu.Unlock()
	for target, d := range in.want {
		l := c.local[target]
		if l == nil {
			if d.Waiting == 0 {
				continue
			}
			l = &localDemand{}
			c.local[target] = l
		}
		l.Demand = d
	}
	for target, u := range in.used {
		if e := c.usage[target]; e != nil {
			e.add(*u)
			continue
		}
		c.usage[target] = u
	}
	now := time.Now()
	for _, r := range in.demand {
		if pl := c.planners[r.message.Deployment]; pl != nil {
			pl.take(r.from, r.message.Demand, now)
		}
	}
	for _, m := range in.usage {
		if pl := c.planners[m.Deployment]; pl != nil {
			pl.used(m.Usage, now)
		}
	}
	return in.demand
}

// answer sends forecasts to the hosts whose demand was taken.
func (c *Controller) answer(replies []*demandRequest, now time.Time) {
	for _, r := range replies {
		var a demandAnswer
		if pl := c.planners[r.message.Deployment]; pl != nil {
			for _, d := range r.message.Demand {
				if d.Waiting > 0 {
					a.Forecasts = append(a.Forecasts, wireForecast(d.Target, c.plannerForecast(pl, d.Target, now)))
				}
			}
		}
		r.answer <- a
	}
}

// plannerForecast is the policy's forecast unless no load can be proposed.
func (c *Controller) plannerForecast(pl *planner, target string, now time.Time) tamarackknot.Forecast {
	if now.Sub(c.logFailed) < refusalTime && !pl.policy.Serving(target) {
		return tamarackknot.Forecast{
			Refused: true, Reason: "no load can be recorded: the log cannot be written",
			RetryAt: now.Add(refusalTime),
		}
	}
	return pl.policy.Forecast(target)
}

func wireForecast(target string, f tamarackknot.Forecast) targetForecast {
	return targetForecast{Target: target, ReadyAt: f.ReadyAt, Refused: f.Refused, Reason: f.Reason, RetryAt: f.RetryAt}
}

// forward sends changed and waiting demand, and usage when a batch is due, to
// the planners.
func (c *Controller) forward(ctx context.Context, now time.Time) {
	c.resolve()
	batches := make(map[string][]tamarackknot.Demand)
	for target, l := range c.local {
		if l.deployment == "" {
			if l.Waiting == 0 {
				delete(c.local, target)
			}
			continue
		}
		renew := l.Waiting > 0 && now.Sub(l.sentAt) >= demandInterval
		if l.Demand != l.sent || renew {
			batches[l.deployment] = append(batches[l.deployment], l.Demand)
		}
		if l.Waiting > 0 && now.Sub(l.forecastAt) > forecastTTL {
			c.setForecast(target, tamarackknot.Forecast{})
		}
	}
	for deployment, demand := range batches {
		slices.SortFunc(demand, func(a, b tamarackknot.Demand) int { return cmp.Compare(a.Target, b.Target) })
		c.sendDemand(ctx, deployment, demand, now)
	}
	if now.Sub(c.usageAt) >= usageInterval {
		c.usageAt = now
		c.sendUsage(ctx, now)
	}
}

// resolve finds the deployments of new local demand.
func (c *Controller) resolve() {
	missing := false
	for _, l := range c.local {
		missing = missing || l.deployment == ""
	}
	if !missing {
		return
	}
	c.cfg.Journal.Read(func(s tamarackknot.State) {
		for target, l := range c.local {
			if t, ok := s.Target(target); ok {
				l.deployment = t.Deployment
			}
		}
	})
}

func (c *Controller) sendDemand(ctx context.Context, deployment string, demand []tamarackknot.Demand, now time.Time) {
	if pl := c.planners[deployment]; pl != nil {
		pl.take(c.self.Host, demand, now)
		for _, d := range demand {
			c.sent(d, now)
		}
		return
	}
	host := c.cfg.Members.Planner(deployment)
	if host == "" || host == c.self.Host || c.sending[deployment] || now.Before(c.resendAt[deployment]) {
		return
	}
	c.sending[deployment] = true
	for _, d := range demand {
		c.local[d.Target].sentAt = now
	}
	send := &demandSend{c: c, host: host, message: demandMessage{Deployment: deployment, Demand: demand}}
	go send.run(ctx)
}

// publish makes the forecasts of the planners on this host available to it.
func (c *Controller) publish(now time.Time) {
	for target, l := range c.local {
		if pl := c.planners[l.deployment]; pl != nil && l.Waiting > 0 {
			c.forecast(wireForecast(target, c.plannerForecast(pl, target, now)), now)
		}
	}
}

// sent notes that the planner has the demand.
func (c *Controller) sent(d tamarackknot.Demand, now time.Time) {
	l := c.local[d.Target]
	if l == nil {
		return
	}
	l.sent, l.sentAt = d, now
	if d.Waiting == 0 && l.Waiting == 0 {
		delete(c.local, d.Target)
		c.setForecast(d.Target, tamarackknot.Forecast{})
	}
}

func (c *Controller) forecast(f targetForecast, now time.Time) {
	if l := c.local[f.Target]; l != nil {
		l.forecastAt = now
		c.setForecast(f.Target, tamarackknot.Forecast{
			ReadyAt: f.ReadyAt, Refused: f.Refused, Reason: f.Reason, RetryAt: f.RetryAt,
		})
	}
}

func (c *Controller) setForecast(target string, f tamarackknot.Forecast) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f == (tamarackknot.Forecast{}) {
		delete(c.forecasts, target)
		return
	}
	c.forecasts[target] = f
}

// demandSend carries demand to the planner on another host.
type demandSend struct {
	c       *Controller
	host    string
	message demandMessage
	answer  demandAnswer
	err     error
}

func (s *demandSend) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s.err = s.c.cfg.Peers.Call(call, s.host, methodDemand, s.message, &s.answer)
	s.c.post(ctx, s)
}

func (s *demandSend) apply(c *Controller, now time.Time) {
	c.sending[s.message.Deployment] = false
	if s.err != nil {
		// A call to an unreachable planner fails at once; without a pause the
		// loop would call it again without end.
		c.resendAt[s.message.Deployment] = now.Add(demandInterval)
		c.count("demand.failed")
		return
	}
	for _, d := range s.message.Demand {
		if l := c.local[d.Target]; l != nil {
			c.sent(d, l.sentAt)
		}
	}
	for _, f := range s.answer.Forecasts {
		c.forecast(f, now)
	}
}

// sendUsage sends the calls since the last batch to the planners.
func (c *Controller) sendUsage(ctx context.Context, now time.Time) {
	if len(c.usage) == 0 {
		return
	}
	batches := make(map[string][]usageEntry)
	c.cfg.Journal.Read(func(s tamarackknot.State) {
		for target, u := range c.usage {
			if t, ok := s.Target(target); ok {
				batches[t.Deployment] = append(batches[t.Deployment], *u)
			}
		}
	})
	clear(c.usage)
	for deployment, usage := range batches {
		slices.SortFunc(usage, func(a, b usageEntry) int { return cmp.Compare(a.Target, b.Target) })
		if pl := c.planners[deployment]; pl != nil {
			pl.used(usage, now)
			continue
		}
		host := c.cfg.Members.Planner(deployment)
		if host == "" || host == c.self.Host {
			continue
		}
		send := &usageSend{c: c, host: host, message: usageMessage{Deployment: deployment, Usage: usage}}
		go send.run(ctx)
	}
}

// usageSend carries a batch of calls to the planner on another host.
type usageSend struct {
	c       *Controller
	host    string
	message usageMessage
	err     error
}

func (s *usageSend) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s.err = s.c.cfg.Peers.Call(call, s.host, methodUsage, s.message, nil)
	s.c.post(ctx, s)
}

// apply keeps a batch that did not arrive for the next one, a few times.
func (s *usageSend) apply(c *Controller, _ time.Time) {
	if s.err == nil {
		c.usageTo[s.message.Deployment] = 0
		return
	}
	c.count("usage.failed")
	c.usageTo[s.message.Deployment]++
	if c.usageTo[s.message.Deployment] > usageAttempts {
		return
	}
	for _, u := range s.message.Usage {
		if e := c.usage[u.Target]; e != nil {
			e.add(u)
			continue
		}
		c.usage[u.Target] = &u
	}
}
