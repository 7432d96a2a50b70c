package admission

import "time"

const (
	// stallTime is how long a connection must have made no progress to be closed in favor of
	// one who holds much itself. Among those that make progress the first ones complete.
	stallTime = time.Second
	// graceTime is added to the time without progress, so that of connections that make
	// progress the one that holds most counts as the least deserving.
	graceTime = 250 * time.Millisecond
	// maxVictims is the number of connections closed for one decision.
	maxVictims = 4
	// leavingShare is the part of the budget, one in so many, beyond which what closed
	// connections still hold keeps others from holding much.
	leavingShare = 4
	// closingShare is the part of the connections, one in so many, beyond which those that have
	// not been closed yet keep further ones from taking the place of others.
	closingShare = 8
	// keepWeight and bodyWeight divide the time for which a connection did nothing: one that had
	// a request before is expected to have another one within seconds, and a body takes longer
	// than a head.
	keepWeight = 20
	bodyWeight = 2
)

// add changes what an account holds. b.mu is held.
func (b *Budget) add(a *Account, k Kind, n int64) {
	a.held[k] += n
	if a.evicted.Load() {
		b.leaving += n
		return
	}
	b.used[k] += n
}

// remove counts an account as leaving. b.mu is held.
func (b *Budget) remove(a *Account) {
	for _, k := range Kinds() {
		b.used[k] -= a.held[k]
		b.leaving += a.held[k]
	}
	a.evicted.Store(true)
	b.closing++
	b.count(a.group, -1)
	delete(b.accounts, a)
}

// count changes the number of open connections of a group. b.mu is held.
func (b *Budget) count(g *Group, n int) {
	g.open += n
	if g.cfg.Shared {
		b.shared += n
	}
}

// hold decides on Hold. b.mu is held.
func (b *Budget) hold(a *Account, k Kind, n int64, now time.Time) (bool, []*Account) {
	if a.evicted.Load() || a.closed {
		return false, nil
	}
	held := a.held[k] + n
	var victims []*Account
	for !b.fits(k, n, held) {
		if len(victims) == maxVictims || held > ordinaryBytes && b.leaving > b.cfg.Bytes/leavingShare {
			return false, victims
		}
		v := b.leastDeserving(a, k, n, now)
		if v == nil {
			return false, victims
		}
		b.remove(v)
		victims = append(victims, v)
	}
	b.add(a, k, n)
	return true, victims
}

// leastDeserving returns the connection that holds most with the least progress, of those that
// deserve it less than the one that asks for n bytes; nil if there is none.
func (b *Budget) leastDeserving(a *Account, k Kind, n int64, now time.Time) *Account {
	held := a.held[k] + n
	ofKind := b.used[k]+n > b.limit(k, held)
	worst, most := (*Account)(nil), float64(held)*graceTime.Seconds()
	for o := range b.accounts {
		if o == a || !o.evictable() {
			continue
		}
		stalled := o.stalled(now)
		if held > ordinaryBytes && stalled < stallTime {
			continue
		}
		holds := o.held[k]
		if !ofKind {
			holds = o.holds()
		}
		if score := float64(holds) * (stalled + graceTime).Seconds(); score > most {
			worst, most = o, score
		}
	}
	return worst
}

// idlest returns the connection that has done nothing for longest, of those that match; nil if
// there is none.
func (b *Budget) idlest(now time.Time, match func(*Account) bool) *Account {
	var worst *Account
	longest := time.Duration(-1)
	for o := range b.accounts {
		if !match(o) {
			continue
		}
		idle := time.Duration(b.since(now) - o.since.Load())
		switch Activity(o.activity.Load()) {
		case Idle:
			if o.used.Load() {
				idle /= keepWeight
			}
		case ReadingHead:
		case ReadingBody:
			idle = o.stalled(now) / bodyWeight
		case Writing:
			idle = o.stalled(now)
		case Serving:
			continue
		}
		if idle > longest {
			worst, longest = o, idle
		}
	}
	return worst
}

// evictable reports whether the connection may be closed for what it holds.
func (a *Account) evictable() bool {
	switch Activity(a.activity.Load()) {
	case ReadingHead, ReadingBody, Writing:
		return true
	case Idle, Serving:
	}
	return false
}

// stalled returns for how long the connection has made no progress.
func (a *Account) stalled(now time.Time) time.Duration {
	return time.Duration(a.budget.since(now) - a.progress.Load())
}

// holds returns what would be free without the connection, but for itself.
func (a *Account) holds() int64 {
	sum := -a.group.cfg.Bytes
	for _, n := range a.held {
		sum += n
	}
	return sum
}
