package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// confirmedTime is how long after a host is known to have had the planner's newest list it
	// relies on being an owner by it. The age is counted from a report to which the planner's
	// message answers, at most 1.2 s in calm.
	confirmedTime = 2 * time.Second
	// settleTime is how long after a change of its list a host counts on another one that still
	// grants as the owner by an earlier list: that one has got the newer list, or its list is
	// not confirmed any more.
	settleTime = confirmedTime
	// unconfirmedTime is how long a host grants at all without a confirmation of its list.
	unconfirmedTime = 5 * time.Second
	// maxCachedHolders limits the workspaces of which the holders are remembered.
	maxCachedHolders = 8192
)

// hostView is what this host knows of the hosts that can hold quotas.
type hostView struct {
	list  []tamarackknot.HostEntry
	names []string // of the list, in order
	hash  uint64   // of the names
	// confirmedAt is when the planner is known to have had the list, agreedAt when most other
	// hosts were found to know no newer one.
	confirmedAt, agreedAt time.Duration
	// uncertainAt is when the list was last neither confirmed nor agreed upon.
	uncertainAt time.Duration
	holders     map[string][2]string
	// earlier are the lists before, newest first, that hosts may still go by.
	earlier []earlierList
}

// earlierList is a list that was replaced at a time.
type earlierList struct {
	names   []string
	until   time.Duration
	holders map[string][2]string
}

// trustedAt returns when no newer list was known.
func (v *hostView) trustedAt() time.Duration { return max(v.confirmedAt, v.agreedAt) }

// isTrusted reports whether the list is relied on.
func (v *hostView) isTrusted(now time.Duration) bool { return now-v.trustedAt() <= confirmedTime }

// refresh takes over the planner's list, and drops the buckets of which other hosts may be the
// owners now. k.mu is held.
func (k *Keeper) refresh(now time.Duration) {
	// The time is read first, so that it is not after that of the list.
	v, confirmedAt := &k.view, k.cfg.ListConfirmedAt()
	list := k.cfg.Hosts()
	if now-max(confirmedAt, v.agreedAt) > confirmedTime || confirmedAt-v.trustedAt() > confirmedTime {
		// The planner may have had other lists in between.
		k.dropOwned("the list of hosts was not confirmed", func(string) bool { return true })
		v.uncertainAt = now
	}
	v.confirmedAt = max(v.confirmedAt, confirmedAt)
	for n := len(v.earlier); n > 0 && now-v.earlier[n-1].until > settleTime; n-- {
		v.earlier = v.earlier[:n-1]
	}
	if len(list) == 0 || len(list) == len(v.list) && &list[0] == &v.list[0] {
		return
	}
	v.list = list
	var names []string
	for _, h := range list {
		if h.Workspaces {
			names = append(names, h.Name)
		}
	}
	slices.Sort(names)
	if slices.Equal(names, v.names) {
		return
	}
	if len(v.names) > 0 {
		v.earlier = slices.Insert(v.earlier, 0, earlierList{v.names, now, v.holders})
	}
	v.names, v.hash, v.holders = names, xxhash.Sum64String(strings.Join(names, "\x00")), make(map[string][2]string)
	k.dropOwned("another host is the owner", func(workspace string) bool { return v.holdersOf(workspace)[0] != k.cfg.Self })
}

// changedAt returns since when the present list is relied on.
func (v *hostView) changedAt() time.Duration {
	if len(v.earlier) > 0 {
		return max(v.uncertainAt, v.earlier[0].until)
	}
	return v.uncertainAt
}

// settledAt returns when this host is, or was, the only owner of a quota for certain, by the
// lists that hosts may go by. It is an owner by the present one.
func (v *hostView) settledAt(workspace, self string) time.Duration {
	at := v.uncertainAt
	for i := range v.earlier {
		if e := &v.earlier[i]; holdersOf(e.names, &e.holders, workspace)[0] != self {
			at = max(at, e.until)
			break
		}
	}
	return at + settleTime
}

// dropOwned drops the buckets of quotas that this host does not own for certain any more. A new
// owner gets what they hold. k.mu is held.
func (k *Keeper) dropOwned(reason string, drops func(workspace string) bool) {
	for workspace, o := range k.owned {
		if o.main == nil || !drops(workspace) {
			continue
		}
		owner := k.view.holdersOf(workspace)[0]
		if owner != k.cfg.Self && owner != "" {
			o.main.fill(k.cfg.Clock())
			k.handovers = append(k.handovers, handover{owner, handoverParams{Workspace: workspace, Level: o.main.level}})
			wait.Wake(k.wake)
		}
		o.main = nil
		k.cfg.Logger.Info("quota passed on", "workspace", workspace, "reason", reason, "owner", owner)
	}
}

// holders returns the owner of a workspace's quota and the host that follows it, by the list
// of the planner that this host knows; they are empty if there is none. k.mu is held.
func (k *Keeper) holders(workspace string, now time.Duration) [2]string {
	k.refresh(now)
	return k.view.holdersOf(workspace)
}

func (v *hostView) holdersOf(workspace string) [2]string {
	return holdersOf(v.names, &v.holders, workspace)
}

// holdersOf returns the owner and the host that follows it among the hosts of a list. The
// holders that were found before are remembered.
func holdersOf(names []string, known *map[string][2]string, workspace string) [2]string {
	if h, cached := (*known)[workspace]; cached {
		return h
	}
	if *known == nil || len(*known) >= maxCachedHolders {
		*known = make(map[string][2]string)
	}
	var first, second string
	var firstRank, secondRank uint64
	for _, host := range names {
		r := rank(workspace, host)
		switch {
		case first == "" || r < firstRank || r == firstRank && host < first:
			second, secondRank = first, firstRank
			first, firstRank = host, r
		case second == "" || r < secondRank || r == secondRank && host < second:
			second, secondRank = host, r
		}
	}
	(*known)[workspace] = [2]string{first, second}
	return [2]string{first, second}
}

// rank orders the hosts for a workspace.
func rank(workspace, host string) uint64 { return xxhash.Sum64String(workspace + "\x00" + host) }
