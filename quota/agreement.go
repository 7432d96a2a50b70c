package quota

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	methodView     = "quota.view"
	methodHandover = "quota.handover"

	// agreementAge is the age of the last confirmation of the list from which a host asks others
	// whether they know a newer one: in calm the planner confirms it earlier.
	agreementAge = 1300 * time.Millisecond
	// agreementSample is the number of hosts that are asked, always the same of a list, and
	// agreementPart the part of them that must know none. Where the planner is lost, no host
	// does. Hosts that are cut off from it reach fewer others: with half of all hosts one of a
	// hundred samples passes.
	agreementSample = 24
	agreementPart   = 0.75
	// agreementInterval is the pause between two samples.
	agreementInterval = 400 * time.Millisecond
	// earlyInterval is the same within earlyStartTime after a start.
	earlyInterval  = 100 * time.Millisecond
	earlyStartTime = 2 * time.Second
	// sameStartTime is the longest time between the starts of hosts that start together, and
	// startTime how long after its start a host asks whether the others have.
	sameStartTime = 5 * time.Second
	startTime     = 10 * time.Second
	// handoverTime is how long a host waits for the list by which it gets the bucket of another
	// owner.
	handoverTime = 2 * time.Second
)

// viewResult says which list of hosts a host knows.
type viewResult struct {
	Hash uint64 `json:"hash"`
	// Confirmed says that it hears a planner that has this list.
	Confirmed bool `json:"confirmed,omitempty"`
	// UptimeMs is the time since the start of its process.
	UptimeMs int64 `json:"uptimeMs"`
	// StableMs is the time for which it has relied on this list, 0 if it does not.
	StableMs int64 `json:"stableMs,omitempty"`
}

// handoverParams is what the bucket of a workspace holds.
type handoverParams struct {
	Workspace string  `json:"workspace"`
	Level     float64 `json:"level"`
}

// handover is a bucket that another host gets.
type handover struct {
	owner string
	handoverParams
}

// handedBucket is a bucket that another host has handed over at a time.
type handedBucket struct {
	level float64
	at    time.Duration
}

func (k *Keeper) handleView(context.Context, string, json.RawMessage) (any, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock()
	k.refresh(now)
	r := viewResult{
		Hash: k.view.hash, Confirmed: now-k.view.confirmedAt <= confirmedTime, UptimeMs: (now - k.startedAt).Milliseconds(),
	}
	if k.view.isTrusted(now) {
		r.StableMs = (now - k.view.changedAt()).Milliseconds()
	}
	return r, nil
}

func (k *Keeper) handleHandover(_ context.Context, from string, params json.RawMessage) (any, error) {
	var p handoverParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if p.Level < 0 || p.Workspace == "" || len(k.handed) >= maxOwned {
		return nil, nil
	}
	k.handed[p.Workspace] = handedBucket{p.Level, k.cfg.Clock()}
	k.cfg.Logger.Info("quota handed over", "workspace", p.Workspace, "from", from, "level", p.Level)
	return nil, nil
}

// takeHanded returns the bucket of a workspace that another host has handed over, if any. k.mu
// is held.
func (k *Keeper) takeHanded(workspace string, now time.Duration) (handedBucket, bool) {
	h, ok := k.handed[workspace]
	delete(k.handed, workspace)
	return h, ok && now-h.at <= handoverTime
}

// sendHandovers hands buckets over to their new owners.
func (k *Keeper) sendHandovers(ctx context.Context) {
	k.mu.Lock()
	handovers := k.handovers
	k.handovers = nil
	k.mu.Unlock()
	for _, h := range handovers {
		ctx, cancel := context.WithDeadline(ctx, time.Now().Add(askTimeout))
		if err := k.cfg.Peers.Notify(ctx, h.owner, methodHandover, h.handoverParams); err != nil {
			k.cfg.Logger.Info("cannot hand over quota", "workspace", h.Workspace, "owner", h.owner, "error", err)
		}
		cancel()
	}
}

// RunAgreement asks other hosts whether they know a newer list while the planner does not
// confirm it, and after its start whether they have started too, until ctx ends.
func (k *Keeper) RunAgreement(ctx context.Context) {
	for wait.For(ctx, k.agreementPause()) {
		hosts, hash, begun := k.sample()
		if len(hosts) == 0 {
			continue
		}
		a := k.askViews(ctx, hosts, hash, begun)
		enough := agreementPart * float64(len(hosts))
		k.recordStart(hash, float64(a.started) >= enough, float64(a.stable) >= enough)
		if float64(a.agreed) >= enough {
			k.agree(hash, begun)
		}
	}
}

// agreementPause returns the pause before the next sample. After a loss of power of all hosts
// no quota is granted until the first one has passed.
func (k *Keeper) agreementPause() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.startedTogether && !k.startedStable && k.cfg.Clock()-k.startedAt <= earlyStartTime {
		return earlyInterval
	}
	return agreementInterval
}

// recordStart records what most other hosts say of the start of this one: they have started
// with it, or they have relied on the list with a hash since before it.
func (k *Keeper) recordStart(hash uint64, together, stable bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.startedTogether = k.startedTogether || together
	if stable && k.view.hash == hash && len(k.view.earlier) == 0 {
		k.startedStable = true
	}
}

// agree records that at a time most other hosts knew no newer list than the one with a hash.
func (k *Keeper) agree(hash uint64, at time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view.hash == hash {
		k.view.agreedAt = at
	}
}

// sample returns the hosts that are asked and when they are, none if the list is confirmed or
// this host holds no quota.
func (k *Keeper) sample() (hosts []string, hash uint64, begun time.Duration) {
	planner := k.cfg.Planner()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock()
	k.refresh(now)
	starting := !k.startedTogether && !k.startedStable && now-k.startedAt <= startTime
	if now-k.view.confirmedAt < agreementAge && !starting || k.grantedAt == 0 || now-k.grantedAt > idleTime {
		return nil, 0, 0
	}
	// The planner is expected to be lost.
	hosts = slices.DeleteFunc(slices.Clone(k.view.names), func(name string) bool { return name == k.cfg.Self || name == planner })
	slices.SortFunc(hosts, func(a, b string) int { return cmp.Compare(rank(k.cfg.Self, a), rank(k.cfg.Self, b)) })
	return hosts[:min(len(hosts), agreementSample)], k.view.hash, now
}

// answers counts what hosts say: that they hear no planner with another list, that they have
// started with this host, and that they have relied on its list since before.
type answers struct{ agreed, started, stable int }

// askViews asks hosts for their lists.
func (k *Keeper) askViews(ctx context.Context, hosts []string, hash uint64, now time.Duration) (a answers) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(askTimeout))
	defer cancel()
	results := make([]*viewResult, len(hosts))
	var group errgroup.Group
	for i, host := range hosts {
		group.Go(func() error {
			var r viewResult
			if k.cfg.Peers.Call(ctx, host, methodView, struct{}{}, &r) == nil {
				results[i] = &r
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	for _, r := range results {
		if r == nil {
			continue
		}
		if !r.Confirmed || r.Hash == hash {
			a.agreed++
		}
		uptime := now - k.startedAt
		if (time.Duration(r.UptimeMs)*time.Millisecond - uptime).Abs() <= sameStartTime {
			a.started++
		}
		if r.Hash == hash && time.Duration(r.StableMs)*time.Millisecond > uptime+settleTime {
			a.stable++
		}
	}
	return a
}
