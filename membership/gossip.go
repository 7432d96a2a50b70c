package membership

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"tamarackknot.example/tamarackknot"
)

const (
	// freshUpdates and repeatedUpdates are the updates of a message beyond the
	// changes: members that this host watches, whose heartbeats are new, and
	// members in turn, which repairs views that missed a change.
	freshUpdates    = 3
	repeatedUpdates = 3
	// changeLife ends the transmissions of a change after twice the time in
	// which it reaches 770 hosts. Without it the changes of a simultaneous
	// start of 770 hosts were repeated for five minutes.
	changeLife = 20 * time.Second
	// faultRepair is how long hosts compare the faults that they know: three
	// times the life of a change.
	faultRepair = 3 * changeLife
	// repairUpdates limits the faults in one repair, so that a failure of many
	// hosts does not use up the control plane's 8 KB/s.
	repairUpdates = 8
	// maxMeasured limits the members asked per round for their age bounds.
	maxMeasured = 8
	// detailsEvery is the number of messages to random peers per one that
	// repeats this host's addresses.
	detailsEvery = 4
	// leaveFanOut limits the messages at Leave and SetIdle; it reaches all
	// peers of a deployment of up to 65 hosts, larger ones also need the next
	// rounds.
	leaveFanOut = 64
	// membersTimeout limits one page of the member table at start.
	membersTimeout = 2 * time.Second
	// fetchInterval is the time between fetches of a whole table, which has
	// about 75 KB at 770 hosts. It doubles up to maxFetchInterval when a fetch
	// brought no missing host.
	fetchInterval    = 5 * time.Second
	maxFetchInterval = 2 * time.Minute
)

// outgoing is a message to be sent after Membership.mu is released.
type outgoing struct {
	host string
	msg  *message
}

// run makes a gossip round each second.
func (m *Membership) run() {
	defer m.running.Done()
	m.mu.Lock()
	phase := time.Duration(m.random.Int64N(int64(gossipInterval)))
	m.mu.Unlock()
	select {
	case <-time.After(phase):
	case <-m.ctx.Done():
		return
	}
	t := time.NewTicker(gossipInterval)
	defer t.Stop()
	for {
		m.tick()
		select {
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
	}
}

func (m *Membership) tick() {
	js := m.cfg.Journal()
	now := time.Now()
	m.mu.Lock()
	m.refreshGate(now, js)
	m.refreshSelf(now)
	m.expireSigns(now)
	asks := m.detect(now)
	m.repaired = false
	out := m.round(now, asks)
	m.lastTick = now
	m.mu.Unlock()
	m.send(out)
}

func (m *Membership) refreshGate(now time.Time, js tamarackknot.JournalStatus) {
	alone := m.listRead && !slices.ContainsFunc(m.byName, func(mb *member) bool {
		return mb != m.self && (mb.listed || mb.responsive())
	})
	js.Ready = js.Ready && !m.superseded
	m.gate.refresh(now, js, alone)
	m.self.applied, m.self.configOffset = js.Applied, js.ConfigOffset
}

// detect updates the set of watched members and suspects those that are
// missed. It returns the questions to send, by host.
func (m *Membership) detect(now time.Time) map[string][]string {
	paused := now.Sub(m.lastTick) > pauseGap
	watched := m.neighbours(m.self, -1, ringWatchers)
	for _, mb := range m.byName {
		if !mb.watchedSince.IsZero() && !slices.Contains(watched, mb) {
			mb.watchedSince = time.Time{}
		}
		if mb.fault == faultSuspect && now.Sub(mb.faultSince) >= deadAfter-suspectAfter {
			mb.setFault(faultDead, now)
			clear(m.planners)
			m.cfg.Logger.Info("member is dead", "host", mb.host.Name, "incarnation", mb.incarnation)
		}
	}
	asks := make(map[string][]string)
	for _, mb := range watched {
		if mb.watchedSince.IsZero() || paused {
			mb.watchedSince = now
		}
		last := mb.heardAt()
		if mb.watchedSince.After(last) {
			last = mb.watchedSince
		}
		unheard := now.Sub(last)
		if unheard < askAfter {
			mb.askedAt = time.Time{}
			continue
		}
		// A member is suspected only after it had the time to answer.
		if unheard >= suspectAfter && !mb.askedAt.IsZero() {
			mb.setFault(faultSuspect, now)
			m.markChanged(mb, now)
			m.suspected.Inc(1)
			m.cfg.Logger.Info("member is suspect", "host", mb.host.Name, "incarnation", mb.incarnation, "heardAt", mb.heardAt())
		}
		if mb.askedAt.IsZero() {
			mb.askedAt = now
		}
		m.ask(asks, mb)
	}
	m.forgetGone(now)
	m.measure(asks, now)
	return asks
}

// measure asks members whose age bounds are missing or too wide.
func (m *Membership) measure(asks map[string][]string, now time.Time) {
	left := maxMeasured
	for _, mb := range m.byName {
		if left > 0 && mb != m.self && mb.uncertain(now) && asks[mb.host.Name] == nil {
			asks[mb.host.Name] = []string{mb.host.Name}
			left--
		}
	}
}

// ask adds the questions about a member that is missed: to the member itself
// and to other hosts that watch it.
func (m *Membership) ask(asks map[string][]string, missed *member) {
	name := missed.host.Name
	asks[name] = append(asks[name], name)
	others := m.neighbours(missed, 1, ringWatchers)
	m.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	asked := 0
	for _, mb := range others {
		if mb == m.self || asked == askedPeers || len(asks[mb.host.Name]) >= maxAsks {
			continue
		}
		asks[mb.host.Name] = append(asks[mb.host.Name], name)
		asked++
	}
}

func (m *Membership) forgetGone(now time.Time) {
	for _, mb := range slices.Clone(m.byName) {
		if mb != m.self && !mb.listed && !mb.responsive() && now.Sub(mb.heardAt()) > forgetAfter && now.Sub(mb.faultSince) > forgetAfter {
			m.forget(mb)
		}
	}
}

// round builds the messages of one round: heartbeats to the ring successors,
// updates to random peers, and questions.
func (m *Membership) round(now time.Time, asks map[string][]string) []outgoing {
	var out []outgoing
	peers := m.choosePeers()
	for _, mb := range peers {
		// Most receivers know this host's addresses already.
		withDetails := m.self.sends > 0 || m.random.IntN(detailsEvery) == 0
		msg := m.newMessage(now, withDetails)
		// A listed host that was never heard of is asked to answer at once. A
		// member that is thought dead learns of it and refutes it.
		if !mb.known() {
			msg.Ask = append(msg.Ask, mb.host.Name)
		} else if mb.fault != faultNone {
			msg.Updates = append(msg.Updates, mb.update(now, false))
		}
		m.fill(msg, mb, now)
		out = append(out, outgoing{host: mb.host.Name, msg: msg})
	}
	for _, mb := range m.neighbours(m.self, 1, ringWatchers) {
		if !slices.Contains(peers, mb) {
			out = append(out, outgoing{host: mb.host.Name, msg: m.newMessage(now, false)})
		}
	}
	for host, names := range asks {
		i := slices.IndexFunc(out, func(o outgoing) bool { return o.host == host })
		if i < 0 {
			out = append(out, outgoing{host: host, msg: m.newMessage(now, false)})
			i = len(out) - 1
		}
		out[i].msg.Ask = append(out[i].msg.Ask, names...)
		if mb := m.members[host]; mb != nil && mb.fault != faultNone && len(out[i].msg.Updates) < maxUpdates {
			out[i].msg.Updates = append(out[i].msg.Updates, mb.update(now, false))
		}
	}
	return out
}

// newMessage returns a message with this host's own state. The heartbeat
// number grows with every message, so that a copy of an older state never wins.
func (m *Membership) newMessage(now time.Time, withDetails bool) *message {
	m.self.beat = max(m.self.beat+1, uint64(now.Sub(m.started)/time.Microsecond))
	return &message{Head: m.gate.head, Faults: m.faultDigest(now), Updates: []update{m.self.update(now, withDetails)}}
}

// recentFault reports whether a member is missed and has been so for at most
// faultRepair.
func (m *Membership) recentFault(mb *member, now time.Time) bool {
	return mb != m.self && mb.known() && mb.fault != faultNone && now.Sub(mb.faultSince) <= faultRepair
}

// faultDigest is the same at hosts that miss the same processes.
func (m *Membership) faultDigest(now time.Time) uint64 {
	var d uint64
	for _, mb := range m.byName {
		if m.recentFault(mb, now) {
			d += xxhash.Sum64(append([]byte(mb.host.Name), mb.incarnation[:]...))
		}
	}
	return d
}

// repair tells a host that misses other processes than this one which ones this
// one misses, once a round at most. The news of a fault is sent a limited number
// of times, so that it may fail to reach a host.
func (m *Membership) repair(in *message, now time.Time) []outgoing {
	if m.repaired || in.Faults == m.faultDigest(now) {
		return nil
	}
	var faults []*member
	for _, mb := range m.byName {
		if m.recentFault(mb, now) && mb.host.Name != in.Updates[0].Host {
			faults = append(faults, mb)
		}
	}
	if len(faults) == 0 {
		return nil
	}
	m.repaired = true
	msg := m.newMessage(now, false)
	for _, mb := range m.sample(faults, repairUpdates) {
		msg.Updates = append(msg.Updates, mb.update(now, false))
	}
	return []outgoing{{host: in.Updates[0].Host, msg: msg}}
}

// choosePeers returns random responsive members and one that is not: it may
// have returned, or may be newly listed.
func (m *Membership) choosePeers() []*member {
	var up, down []*member
	for _, mb := range m.byName {
		switch {
		case mb == m.self || mb.host.PeerAddress == "":
		case mb.responsive():
			up = append(up, mb)
		default:
			down = append(down, mb)
		}
	}
	chosen := m.sample(up, randomPeers)
	return append(chosen, m.sample(down, max(1, randomPeers-len(chosen)))...)
}

// sample returns up to n random elements of list, which it reorders.
func (m *Membership) sample(list []*member, n int) []*member {
	n = min(n, len(list))
	for i := range n {
		j := i + m.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// fill adds updates up to the limits: changes, most recent first, then members
// in turn, then watched members. A change counts as transmitted only if it was
// added to a message that its receiver is expected to get.
func (m *Membership) fill(msg *message, to *member, now time.Time) {
	bytes := msg.Updates[0].size()
	add := func(mb *member, withDetails bool, limit int) (added, full bool) {
		if mb == m.self || mb == to || !mb.known() {
			return false, false
		}
		if slices.ContainsFunc(msg.Updates, func(u update) bool { return u.Host == mb.host.Name }) {
			return false, false
		}
		u := mb.update(now, withDetails)
		if len(msg.Updates) >= maxUpdates || bytes+u.size() > limit {
			return false, true
		}
		bytes += u.size()
		msg.Updates = append(msg.Updates, u)
		return true, false
	}
	var changed, fresh []*member
	for _, mb := range m.byName {
		if now.Sub(mb.changedAt) > changeLife {
			mb.sends = 0
		}
		if mb.sends > 0 {
			changed = append(changed, mb)
		} else if !mb.watchedSince.IsZero() && mb.fault == faultNone {
			fresh = append(fresh, mb)
		}
	}
	slices.SortFunc(changed, func(a, b *member) int { return int(int64(b.changed) - int64(a.changed)) })
	for _, mb := range changed {
		added, full := add(mb, true, maxUpdateBytes)
		if full {
			break
		}
		if added && to.responsive() {
			mb.sends--
		}
	}
	for range min(repeatedUpdates, len(m.byName)) {
		next := (m.cursor + 1) % len(m.byName)
		if _, full := add(m.byName[next], false, maxRepeatBytes); full {
			break
		}
		m.cursor = next
	}
	for _, mb := range m.sample(fresh, freshUpdates) {
		add(mb, false, maxRepeatBytes)
	}
	m.fillSigns(msg, now)
}

// send queues messages; they outlive the call that caused them.
func (m *Membership) send(out []outgoing) {
	ctx, cancel := context.WithTimeout(m.ctx, gossipInterval)
	defer cancel()
	for _, o := range out {
		p, err := pack(o.msg)
		if err == nil {
			err = m.cfg.Peers.Notify(ctx, o.host, methodGossip, p)
		}
		if err != nil {
			m.cfg.Logger.Debug("send gossip", "host", o.host, "err", err)
		}
	}
}

func (m *Membership) handleGossip(_ context.Context, from string, params json.RawMessage) (any, error) {
	var p packed
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errors.Wrap(err, "decode gossip parameters")
	}
	msg, err := unpack(p, from)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	m.mu.Lock()
	m.mergeAll(msg, now, m.echoed(msg.Echo))
	accused := slices.ContainsFunc(msg.Updates, func(u update) bool {
		return u.Host == m.self.host.Name && u.Fault != faultNone
	})
	out := append(m.answer(msg, accused, now), m.repair(msg, now)...)
	fresh, forward := m.takeSigns(msg.Signs, from, now)
	out = append(out, forward...)
	m.mu.Unlock()
	m.send(out)
	if m.cfg.OnSign != nil {
		for _, s := range fresh {
			m.cfg.OnSign(s)
		}
	}
	return struct{}{}, nil
}

// answer returns the reply to a question or to a message that calls this host
// suspect or dead.
func (m *Membership) answer(in *message, accused bool, now time.Time) []outgoing {
	if len(in.Ask) == 0 && !accused {
		return nil
	}
	m.refreshSelf(now)
	asker := in.Updates[0]
	msg := m.newMessage(now, true)
	msg.Echo = &echo{Incarnation: asker.Incarnation, Beat: asker.Beat}
	for _, name := range in.Ask {
		if mb := m.members[name]; mb != nil && mb != m.self && mb.known() {
			msg.Updates = append(msg.Updates, mb.update(now, true))
		}
	}
	return []outgoing{{host: asker.Host, msg: msg}}
}

// echoed returns when this host sent the heartbeat that a message answers;
// zero if the message answers none of this process.
func (m *Membership) echoed(e *echo) time.Time {
	if e == nil || e.Incarnation != m.self.incarnation || e.Beat > m.self.beat {
		return time.Time{}
	}
	return m.started.Add(time.Duration(e.Beat) * time.Microsecond)
}

// mergeAll takes in the updates of a message that was sent after the time after
// (zero: not known).
func (m *Membership) mergeAll(msg *message, now, after time.Time) {
	own := &msg.Updates[0]
	m.merge(own, now, after, true)
	var sent time.Time // the message was not sent before
	if mb := m.members[own.Host]; mb != nil && mb.incarnation == own.Incarnation && !mb.earliest.IsZero() {
		sent = mb.earliest.Add(time.Duration(own.Beat) * time.Microsecond)
	}
	for i := 1; i < len(msg.Updates); i++ {
		u := &msg.Updates[i]
		var after time.Time
		if !sent.IsZero() && u.AgeMS >= 0 {
			after = sent.Add(-time.Duration(u.AgeMS) * time.Millisecond)
		}
		m.merge(u, now, after, false)
	}
	m.gate.head = max(m.gate.head, msg.Head)
}

// merge takes in one update. Of two states of one incarnation the one with the
// higher heartbeat number wins; a fault overrides the state it was based on.
func (m *Membership) merge(u *update, now, after time.Time, direct bool) {
	if u.Host == m.self.host.Name {
		m.mergeSelf(u, now)
		return
	}
	if u.Incarnation == uuid.Nil {
		return
	}
	mb := m.members[u.Host]
	if mb == nil {
		if mb = m.add(u.Host, now); mb == nil {
			return
		}
	}
	changed := false
	switch {
	case newer(mb.incarnation, u.Incarnation):
		return
	case newer(u.Incarnation, mb.incarnation):
		mb.restart(u.Incarnation, now)
		changed = true
		m.cfg.Logger.Info("member started", "host", u.Host, "incarnation", u.Incarnation)
	case u.Beat < mb.beat:
		m.mergeOlder(mb, u, now)
		return
	}
	m.locate(mb, u.Details)
	news := u.Beat > mb.beat || mb.latest.IsZero()
	if m.apply(mb, u, now) {
		changed = true
	}
	if news {
		mb.observe(now, after, direct)
	}
	if direct {
		m.gate.heard(mb.aliveAt(), u.Applied, u.Standing != standingStale)
	} else {
		m.gate.head = max(m.gate.head, u.Applied)
	}
	if changed {
		m.markChanged(mb, now)
	}
}

// mergeOlder takes in a state older than the one known. Such a suspicion is
// refuted by telling the others the newer heartbeat only if that one is proof
// of life in the last suspectAfter. Otherwise, if that one is little newer, the
// suspicion holds: a member that ended just after it had answered one host
// would else be suspected again and again.
func (m *Membership) mergeOlder(mb *member, u *update, now time.Time) {
	if u.Fault == faultNone || mb.fault != faultNone {
		return
	}
	newerBy := time.Duration(mb.beat-u.Beat) * time.Microsecond
	switch {
	case now.Sub(mb.aliveAt()) < suspectAfter:
		if mb.sends == 0 {
			m.markChanged(mb, now)
		}
	case newerBy < suspectAfter/2:
		mb.setFault(faultSuspect, now)
		m.markChanged(mb, now)
	}
}

// apply copies a state that is at least as new and reports whether something
// changed that the others must hear of soon.
func (m *Membership) apply(mb *member, u *update, now time.Time) bool {
	changed := false
	f := u.Fault
	if u.Beat == mb.beat {
		f = max(f, mb.fault)
	}
	if f != mb.fault {
		changed = f == faultNone || mb.fault == faultNone
		if f == faultNone {
			m.refuted.Inc(1)
			m.cfg.Logger.Info("member is alive again", "host", mb.host.Name, "incarnation", mb.incarnation)
			mb.watchedSince = time.Time{}
		}
		mb.setFault(f, now)
		clear(m.planners)
	}
	if u.Standing != mb.standing {
		changed = true
		mb.standing = u.Standing
		if u.Standing == standingIdle {
			mb.idleSince = now
		}
	}
	mb.beat, mb.applied, mb.configOffset = u.Beat, u.Applied, u.ConfigOffset
	return changed
}

// locate takes in the addresses that a member states of itself.
func (m *Membership) locate(mb *member, d *details) {
	if d == nil {
		return
	}
	mb.host.Address, mb.host.PeerAddress, mb.host.FailureDomain = d.Address, d.PeerAddress, d.FailureDomain
}

// mergeSelf handles what others say of this host.
func (m *Membership) mergeSelf(u *update, now time.Time) {
	switch {
	case newer(u.Incarnation, m.self.incarnation):
		if !m.superseded {
			m.cfg.Logger.Error("a newer process of this host exists", "host", u.Host, "incarnation", u.Incarnation)
		}
		m.superseded = true // a process that was replaced must not serve on
		m.gate.complete.Store(false)
	case u.Fault != faultNone && m.self.sends == 0:
		m.markChanged(m.self, now)
	}
}

func (m *Membership) handleMembers(_ context.Context, from string, params json.RawMessage) (any, error) {
	var in membersParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, errors.Wrap(err, "decode parameters of members")
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshSelf(now)
	msg := m.newMessage(now, true)
	i, _ := slices.BinarySearchFunc(m.byName, in.After, func(mb *member, after string) int {
		if mb.host.Name <= after {
			return -1
		}
		return 1
	})
	for ; i < len(m.byName) && len(msg.Updates) < maxUpdates; i++ {
		if mb := m.byName[i]; mb.known() && mb != m.self && mb.host.Name != from {
			msg.Updates = append(msg.Updates, mb.update(now, true))
		}
	}
	return pack(msg)
}

// fetchMembers reads the member table of a random peer after the start, page
// by page, so that this host need not wait until gossip named every member. It
// repeats this while listed hosts are not heard of, as when all hosts start at
// once and the tables are incomplete.
func (m *Membership) fetchMembers() {
	defer m.running.Done()
	pause, missing := fetchInterval, maxMembers
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
		t.Reset(gossipInterval)
		m.mu.Lock()
		var up []*member
		for _, mb := range m.byName {
			if mb != m.self && mb.responsive() && mb.host.PeerAddress != "" {
				up = append(up, mb)
			}
		}
		up = m.sample(up, 1)
		m.mu.Unlock()
		if len(up) == 1 && m.fetchFrom(up[0].host.Name) {
			m.mu.Lock()
			m.synced = true
			before := missing
			missing = 0
			for _, mb := range m.byName {
				if mb.listed && !mb.known() {
					missing++
				}
			}
			listRead := m.listRead
			m.mu.Unlock()
			switch {
			case missing == 0 && listRead:
				return
			case missing < before:
				pause = fetchInterval
			default:
				pause = min(2*pause, maxFetchInterval)
			}
			t.Reset(pause)
		}
	}
}

func (m *Membership) fetchFrom(host string) bool {
	for after := ""; ; {
		ctx, cancel := context.WithTimeout(m.ctx, membersTimeout)
		var p packed
		asked := time.Now()
		err := m.cfg.Peers.Call(ctx, host, methodMembers, membersParams{After: after}, &p)
		cancel()
		if err != nil {
			return false
		}
		msg, err := unpack(p, host) // its Echo is not set
		if err != nil {
			m.cfg.Logger.Warn("read member table", "host", host, "err", err)
			return false
		}
		m.mu.Lock()
		m.mergeAll(msg, time.Now(), asked)
		m.mu.Unlock()
		if len(msg.Updates) == 1 {
			return true
		}
		after = msg.Updates[len(msg.Updates)-1].Host
	}
}
