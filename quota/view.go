package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackknot.example/tamarackknot"
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
	// confirmedAt is when the planner is known to have had the list.
	confirmedAt time.Duration
	// changedAt is when the list changed, or was last not confirmed.
	changedAt time.Duration
	holders   map[string][2]string
}

// isConfirmed reports whether the list is that of the planner.
func (v *hostView) isConfirmed(now time.Duration) bool { return now-v.confirmedAt <= confirmedTime }

// refresh takes over the planner's list, and drops the buckets of which other hosts may be the
// owners now. k.mu is held.
func (k *Keeper) refresh(now time.Duration) {
	// The time is read first, so that it is not after that of the list.
	v, confirmedAt := &k.view, k.cfg.ListConfirmedAt()
	list := k.cfg.Hosts()
	if now-confirmedAt > confirmedTime || confirmedAt-v.confirmedAt > confirmedTime {
		// The planner may have had other lists in between.
		k.dropOwned("the list of hosts was not confirmed", func(string) bool { return true })
		v.changedAt = now
	}
	v.confirmedAt = max(v.confirmedAt, confirmedAt)
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
	v.names, v.changedAt, v.holders = names, now, make(map[string][2]string)
	k.dropOwned("another host is the owner", func(workspace string) bool { return v.holdersOf(workspace)[0] != k.cfg.Self })
}

// dropOwned drops the buckets of quotas that this host does not own for certain any more. k.mu
// is held.
func (k *Keeper) dropOwned(reason string, drops func(workspace string) bool) {
	for workspace, o := range k.owned {
		if o.main != nil && drops(workspace) {
			o.main = nil
			k.cfg.Logger.Info("quota passed on", "workspace", workspace, "reason", reason, "owner", k.view.holdersOf(workspace)[0])
		}
	}
}

// holders returns the owner of a workspace's quota and the host that follows it, by the list
// of the planner that this host knows; they are empty if there is none. k.mu is held.
func (k *Keeper) holders(workspace string, now time.Duration) [2]string {
	k.refresh(now)
	return k.view.holdersOf(workspace)
}

func (v *hostView) holdersOf(workspace string) [2]string {
	if h, cached := v.holders[workspace]; cached {
		return h
	}
	if v.holders == nil || len(v.holders) >= maxCachedHolders {
		v.holders = make(map[string][2]string)
	}
	var first, second string
	var firstRank, secondRank uint64
	for _, host := range v.names {
		r := rank(workspace, host)
		switch {
		case first == "" || r < firstRank || r == firstRank && host < first:
			second, secondRank = first, firstRank
			first, firstRank = host, r
		case second == "" || r < secondRank || r == secondRank && host < second:
			second, secondRank = host, r
		}
	}
	v.holders[workspace] = [2]string{first, second}
	return v.holders[workspace]
}

// rank orders the hosts for a workspace.
func rank(workspace, host string) uint64 { return xxhash.Sum64String(workspace + "\x00" + host) }
