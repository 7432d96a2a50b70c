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
	// demandTTL is how long demand counts without renewal by its host.
	demandTTL = time.Second
	// forecastTTL is how long a forecast is used without renewal by the
	// planner.
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

// usageMessage carries one batch of usage for one deployment.
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

func (u *usageEntry) merge(v usageEntry) {
	if u.Count == 0 || v.First.Before(u.First) {
		u.First = v.First
	}
	if v.Last.After(u.Last) {
		u.Last = v.Last
	}
	u.Count += v.Count
}

// inbox holds what request goroutines and peers pass to the event loop.
type inbox struct {
	localDemand    map[string]tamarackknot.Demand
	localUsage     map[string]*usageEntry
	demandRequests []*demandRequest
	usageMessages  []usageMessage
}

func newInbox() inbox {
	return inbox{localDemand: make(map[string]tamarackknot.Demand), localUsage: make(map[string]*usageEntry)}
}

// demandRequest is a demand message whose sender waits for the answer.
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

// SetDemand implements tamarackknot.Placement.
func (c *Controller) SetDemand(d tamarackknot.Demand) {
	c.mu.Lock()
	c.inbox.localDemand[d.Target] = d
	c.mu.Unlock()
	c.wakeLoop()
}

// Used implements tamarackknot.Placement.
func (c *Controller) Used(target string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.inbox.localUsage[target]
	if u == nil {
		u = &usageEntry{Target: target}
		c.inbox.localUsage[target] = u
	}
	u.merge(usageEntry{First: at, Last: at, Count: 1})
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
	c.inbox.demandRequests = append(c.inbox.demandRequests, r)
	c.mu.Unlock()
	c.wakeLoop()
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
	c.inbox.usageMessages = append(c.inbox.usageMessages, m)
	c.mu.Unlock()
	c.wakeLoop()
	return struct{}{}, nil
}

// drainInbox applies the contents of the inbox to the state of the event loop
// and returns the demand messages that wait for an answer.
func (c *Controller) drainInbox() []*demandRequest {
	c.mu.Lock()
	in := c.inbox
	c.inbox = newInbox()
	c.mu.Unlock()
	for target, d := range in.localDemand {
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
	for target, u := range in.localUsage {
		if e := c.usage[target]; e != nil {
			e.merge(*u)
			continue
		}
		c.usage[target] = u
	}
	now := time.Now()
	for _, r := range in.demandRequests {
		if pl := c.planners[r.message.Deployment]; pl != nil {
			pl.setHostDemand(r.from, r.message.Demand, now)
		}
	}
	for _, m := range in.usageMessages {
		if pl := c.planners[m.Deployment]; pl != nil {
			pl.recordUsage(m.Usage, now)
		}
	}
	return in.demandRequests
}

// sendForecasts answers demand messages with the forecasts of their targets.
func (c *Controller) sendForecasts(requests []*demandRequest, now time.Time) {
	for _, r := range requests {
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

// plannerForecast returns the policy's forecast, or a refusal while the log
// cannot be written.
func (c *Controller) plannerForecast(pl *planner, target string, now time.Time) tamarackknot.Forecast {
	if now.Sub(c.logFailedAt) < logFailureRefusal && !pl.policy.Serving(target) {
		return tamarackknot.Forecast{
			Refused: true, Reason: "no load can be recorded: the log cannot be written",
			RetryAt: now.Add(logFailureRefusal),
		}
	}
	return pl.policy.Forecast(target)
}

func wireForecast(target string, f tamarackknot.Forecast) targetForecast {
	return targetForecast{Target: target, ReadyAt: f.ReadyAt, Refused: f.Refused, Reason: f.Reason, RetryAt: f.RetryAt}
}

// forward sends changed or waiting demand to the planners, and usage when a
// batch is due.
func (c *Controller) forward(ctx context.Context, now time.Time) {
	c.resolveDeployments()
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
	if now.Sub(c.usageSentAt) >= usageInterval {
		c.usageSentAt = now
		c.sendUsage(ctx, now)
	}
}

// resolveDeployments looks up the deployments of new local demand.
func (c *Controller) resolveDeployments() {
	unresolved := false
	for _, l := range c.local {
		unresolved = unresolved || l.deployment == ""
	}
	if !unresolved {
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
		pl.setHostDemand(c.self.Host, demand, now)
		for _, d := range demand {
			c.markDemandSent(d, now)
		}
		return
	}
	host := c.cfg.Members.Planner(deployment)
	if host == "" || host == c.self.Host || c.demandInFlight[deployment] || now.Before(c.resendAt[deployment]) {
		return
	}
	c.demandInFlight[deployment] = true
	for _, d := range demand {
		c.local[d.Target].sentAt = now
	}
	send := &demandSend{c: c, host: host, message: demandMessage{Deployment: deployment, Demand: demand}}
	go send.run(ctx)
}

// publishForecasts stores the forecasts of planners on this host for its own
// demand.
func (c *Controller) publishForecasts(now time.Time) {
	for target, l := range c.local {
		if pl := c.planners[l.deployment]; pl != nil && l.Waiting > 0 {
			c.updateForecast(wireForecast(target, c.plannerForecast(pl, target, now)), now)
		}
	}
}

// markDemandSent records that the planner has received the demand.
func (c *Controller) markDemandSent(d tamarackknot.Demand, now time.Time) {
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

func (c *Controller) updateForecast(f targetForecast, now time.Time) {
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

// demandSend is one demand message to the planner on another host.
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
	c.demandInFlight[s.message.Deployment] = false
	if s.err != nil {
		// A call to an unreachable planner fails at once; without a pause the
		// event loop would retry it continuously.
		c.resendAt[s.message.Deployment] = now.Add(demandInterval)
		c.count("demand.failed")
		return
	}
	for _, d := range s.message.Demand {
		if l := c.local[d.Target]; l != nil {
			c.markDemandSent(d, l.sentAt)
		}
	}
	for _, f := range s.answer.Forecasts {
		c.updateForecast(f, now)
	}
}

// sendUsage sends the usage since the last batch to the planners.
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
			pl.recordUsage(usage, now)
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

// usageSend is one usage message to the planner on another host.
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

// apply merges a batch that failed into the next one, up to usageAttempts times
// in a row.
func (s *usageSend) apply(c *Controller, _ time.Time) {
	if s.err == nil {
		c.usageFailures[s.message.Deployment] = 0
		return
	}
	c.count("usage.failed")
	c.usageFailures[s.message.Deployment]++
	if c.usageFailures[s.message.Deployment] > usageAttempts {
		return
	}
	for _, u := range s.message.Usage {
		if e := c.usage[u.Target]; e != nil {
			e.merge(u)
			continue
		}
		c.usage[u.Target] = &u
	}
}
