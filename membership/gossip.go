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
	// watchedUpdates and roundRobinUpdates are the numbers of updates in a
	// message besides the changes: of members that this host watches, whose
	// heartbeats are recent, and of all members in turn, which repairs views
	// that missed a change.
	watchedUpdates    = 3
	roundRobinUpdates = 3
	// changeTTL ends the transmissions of a change. It is twice the time in
	// which a change reaches 770 hosts. Without this limit, 770 hosts that
	// started at the same time repeated the changes for five minutes.
	changeTTL = 20 * time.Second
	// faultRepairWindow is how long after a fault hosts compare the faults that
	// they know.
	faultRepairWindow = 3 * changeTTL
	// repairUpdates limits the faults in one repair message, so that a failure
	// of many hosts does not use up the control plane's 8 KB/s.
	repairUpdates = 8
	// maxBoundProbes limits the members probed per round for the bounds of
	// their start time.
	maxBoundProbes = 8
	// detailsEvery is the mean number of messages to random peers per message
	// that repeats this host's addresses.
	detailsEvery = 4
	// leaveFanOut limits the messages sent at once by Leave and SetIdle. It
	// reaches all peers in a cluster of up to 65 entry hosts; larger ones also
	// need the next rounds.
	leaveFanOut = 64
	// membersTimeout limits the fetch of one page of the member table.
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

// run makes a gossip round each gossipInterval, after a random delay so that
// the hosts do not send at the same time.
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

// tick makes one gossip round.
func (m *Membership) tick() {
	js := m.cfg.Journal()
	now := time.Now()
	m.mu.Lock()
	m.refreshGate(now, js)
	m.refreshSelf(now)
	m.expireSigns(now)
	probes := m.detectFailures(now)
	m.repairSent = false
	out := m.roundMessages(now, probes)
	m.lastTick = now
	m.mu.Unlock()
	m.send(out)
}

func (m *Membership) refreshGate(now time.Time, js tamarackknot.JournalStatus) {
	noPeers := m.listRead && !slices.ContainsFunc(m.byName, func(mb *member) bool {
		return mb != m.self && (mb.listed || mb.responsive())
	})
	js.Ready = js.Ready && !m.superseded
	m.gate.refresh(now, js, noPeers)
	m.self.applied, m.self.configOffset = js.Applied, js.ConfigOffset
}

// detectFailures updates the set of watched members and marks members without
// recent heartbeats as suspect, later as dead. It returns the probes to send:
// the names of the probed members by receiver.
func (m *Membership) detectFailures(now time.Time) map[string][]string {
	paused := now.Sub(m.lastTick) > maxRoundGap
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
	probes := make(map[string][]string)
	for _, mb := range watched {
		if mb.watchedSince.IsZero() || paused {
			mb.watchedSince = now
		}
		last := mb.latestSendTime()
		if mb.watchedSince.After(last) {
			last = mb.watchedSince
		}
		sinceHeartbeat := now.Sub(last)
		if sinceHeartbeat < probeAfter {
			mb.firstProbeAt = time.Time{}
			continue
		}
		// A member is suspected only after it had time to reply to a probe.
		if sinceHeartbeat >= suspectAfter && !mb.firstProbeAt.IsZero() {
			mb.setFault(faultSuspect, now)
			m.markChanged(mb, now)
			m.suspected.Inc(1)
			m.cfg.Logger.Info("member is suspect", "host", mb.host.Name, "incarnation", mb.incarnation, "heardAt", mb.latestSendTime())
		}
		if mb.firstProbeAt.IsZero() {
			mb.firstProbeAt = now
		}
		m.addProbes(probes, mb)
	}
	m.removeUnlisted(now)
	m.probeBounds(probes, now)
	return probes
}

// probeBounds adds probes of members whose start time has no bounds or too wide
// ones.
func (m *Membership) probeBounds(probes map[string][]string, now time.Time) {
	remaining := maxBoundProbes
	for _, mb := range m.byName {
		if remaining > 0 && mb != m.self && mb.needsBounds(now) && probes[mb.host.Name] == nil {
			probes[mb.host.Name] = []string{mb.host.Name}
			remaining--
		}
	}
}

// addProbes adds the probes of a member without recent heartbeats: to the
// member itself and, for its newest heartbeat, to other hosts that watch it.
func (m *Membership) addProbes(probes map[string][]string, target *member) {
	name := target.host.Name
	probes[name] = append(probes[name], name)
	others := m.neighbours(target, 1, ringWatchers)
	m.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	sent := 0
	for _, mb := range others {
		if mb == m.self || sent == indirectProbes || len(probes[mb.host.Name]) >= maxProbes {
			continue
		}
		probes[mb.host.Name] = append(probes[mb.host.Name], name)
		sent++
	}
}

// removeUnlisted removes members that are not in the host list and have been
// silent for removeAfter.
func (m *Membership) removeUnlisted(now time.Time) {
	for _, mb := range slices.Clone(m.byName) {
		if mb != m.self && !mb.listed && !mb.responsive() && now.Sub(mb.latestSendTime()) > removeAfter && now.Sub(mb.faultSince) > removeAfter {
			m.remove(mb)
		}
	}
}

// roundMessages builds the messages of one round: heartbeats to the ring
// successors, updates to random peers, and probes.
func (m *Membership) roundMessages(now time.Time, probes map[string][]string) []outgoing {
	var out []outgoing
	peers := m.choosePeers()
	for _, mb := range peers {
		// Most receivers already know this host's addresses.
		withDetails := m.self.remainingSends > 0 || m.random.IntN(detailsEvery) == 0
		msg := m.newMessage(now, withDetails)
		// A listed host that is not known yet is asked to reply at once. A member
		// that is considered faulty is sent that state, so that it can refute it.
		if !mb.known() {
			msg.Ask = append(msg.Ask, mb.host.Name)
		} else if mb.fault != faultNone {
			msg.Updates = append(msg.Updates, mb.update(now, false))
		}
		m.fillUpdates(msg, mb, now)
		out = append(out, outgoing{host: mb.host.Name, msg: msg})
	}
	for _, mb := range m.neighbours(m.self, 1, ringWatchers) {
		if !slices.Contains(peers, mb) {
			out = append(out, outgoing{host: mb.host.Name, msg: m.newMessage(now, false)})
		}
	}
	for host, names := range probes {
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

// newMessage returns a message with this host's own state. The heartbeat number
// grows with every message, so that a delayed copy of an older state never
// wins.
func (m *Membership) newMessage(now time.Time, withDetails bool) *message {
	m.self.heartbeat = max(m.self.heartbeat+1, uint64(now.Sub(m.started)/time.Microsecond))
	return &message{Head: m.gate.head, Faults: m.faultDigest(now), Updates: []update{m.self.update(now, withDetails)}}
}

// recentFault reports whether a member has been suspect or dead for at most
// faultRepairWindow.
func (m *Membership) recentFault(mb *member, now time.Time) bool {
	return mb != m.self && mb.known() && mb.fault != faultNone && now.Sub(mb.faultSince) <= faultRepairWindow
}

// faultDigest returns a digest of the recent faults, which is equal at hosts
// that know the same ones. It does not depend on the order.
func (m *Membership) faultDigest(now time.Time) uint64 {
	var d uint64
	for _, mb := range m.byName {
		if m.recentFault(mb, now) {
			d += xxhash.Sum64(append([]byte(mb.host.Name), mb.incarnation[:]...))
		}
	}
	return d
}

// repairMessages returns a message with this host's recent faults for a sender
// whose digest differs, at most once per round. It is needed because the
// limited number of transmissions of a fault may miss a host.
func (m *Membership) repairMessages(in *message, now time.Time) []outgoing {
	if m.repairSent || in.Faults == m.faultDigest(now) {
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
	m.repairSent = true
	msg := m.newMessage(now, false)
	for _, mb := range m.sample(faults, repairUpdates) {
		msg.Updates = append(msg.Updates, mb.update(now, false))
	}
	return []outgoing{{host: in.Updates[0].Host, msg: msg}}
}

// choosePeers returns random responsive members and at least one that is not
// responsive, if there is one: it may have returned or may be newly listed.
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

// fillUpdates adds updates up to the limits: changes, most recent first, then
// members in turn, then watched members. A change counts as transmitted only if
// its receiver is responsive, because others may not get the message.
func (m *Membership) fillUpdates(msg *message, to *member, now time.Time) {
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
	var changed, watched []*member
	for _, mb := range m.byName {
		if now.Sub(mb.changedAt) > changeTTL {
			mb.remainingSends = 0
		}
		if mb.remainingSends > 0 {
			changed = append(changed, mb)
		} else if !mb.watchedSince.IsZero() && mb.fault == faultNone {
			watched = append(watched, mb)
		}
	}
	slices.SortFunc(changed, func(a, b *member) int { return int(int64(b.changeSeq) - int64(a.changeSeq)) })
	for _, mb := range changed {
		added, full := add(mb, true, maxUpdateBytes)
		if full {
			break
		}
		if added && to.responsive() {
			mb.remainingSends--
		}
	}
	for range min(roundRobinUpdates, len(m.byName)) {
		next := (m.roundRobinCursor + 1) % len(m.byName)
		if _, full := add(m.byName[next], false, maxRepeatBytes); full {
			break
		}
		m.roundRobinCursor = next
	}
	for _, mb := range m.sample(watched, watchedUpdates) {
		add(mb, false, maxRepeatBytes)
	}
	m.fillSigns(msg, now)
}

// send queues messages. They are delivered even if the call that caused them
// has returned.
func (m *Membership) send(out []outgoing) {
	ctx, cancel := context.WithTimeout(m.ctx, gossipInterval)
	defer cancel()
	for _, o := range out {
		p, err := pack(o.msg)
		if err == nil {
			err = m.cfg.Peers.Notify(ctx, o.host, methodGossip, p)
		}
		if err != nil {
			m.cfg.Logger.Debug("failed to send gossip message", "host", o.host, "err", err)
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
	m.mergeMessage(msg, now, m.echoedSendTime(msg.Echo))
	suspected := slices.ContainsFunc(msg.Updates, func(u update) bool {
		return u.Host == m.self.host.Name && u.Fault != faultNone
	})
	out := append(m.replyMessages(msg, suspected, now), m.repairMessages(msg, now)...)
	fresh, forward := m.mergeSigns(msg.Signs, from, now)
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

// replyMessages returns the reply to a probe or to a message that reports this
// host as suspect or dead.
func (m *Membership) replyMessages(in *message, suspected bool, now time.Time) []outgoing {
	if len(in.Ask) == 0 && !suspected {
		return nil
	}
	m.refreshSelf(now)
	sender := in.Updates[0]
	msg := m.newMessage(now, true)
	msg.Echo = &echo{Incarnation: sender.Incarnation, Beat: sender.Beat}
	for _, name := range in.Ask {
		if mb := m.members[name]; mb != nil && mb != m.self && mb.known() {
			msg.Updates = append(msg.Updates, mb.update(now, true))
		}
	}
	return []outgoing{{host: sender.Host, msg: msg}}
}

// echoedSendTime returns when this host sent the heartbeat that a message
// replies to; zero if it replies to none of this process.
func (m *Membership) echoedSendTime(e *echo) time.Time {
	if e == nil || e.Incarnation != m.self.incarnation || e.Beat > m.self.heartbeat {
		return time.Time{}
	}
	return m.started.Add(time.Duration(e.Beat) * time.Microsecond)
}

// mergeMessage merges the updates of a message that was sent after the time
// after (zero: unknown).
func (m *Membership) mergeMessage(msg *message, now, after time.Time) {
	own := &msg.Updates[0]
	m.merge(own, now, after, true)
	var sent time.Time // lower bound of the send time; zero if unknown
	if mb := m.members[own.Host]; mb != nil && mb.incarnation == own.Incarnation && !mb.earliestStart.IsZero() {
		sent = mb.earliestStart.Add(time.Duration(own.Beat) * time.Microsecond)
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

// merge merges one update. Of two states of one incarnation, the one with the
// higher heartbeat number wins; at the same number, the more severe fault wins.
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
		mb.resetIncarnation(u.Incarnation, now)
		changed = true
		m.cfg.Logger.Info("member started", "host", u.Host, "incarnation", u.Incarnation)
	case u.Beat < mb.heartbeat:
		m.mergeOlder(mb, u, now)
		return
	}
	m.setAddresses(mb, u.Details)
	newHeartbeat := u.Beat > mb.heartbeat || mb.latestStart.IsZero()
	if m.applyState(mb, u, now) {
		changed = true
	}
	if newHeartbeat {
		mb.observe(now, after, direct)
	}
	if direct {
		m.gate.observePeer(mb.earliestSendTime(), u.Applied, u.Standing != stateStale)
	} else {
		m.gate.head = max(m.gate.head, u.Applied)
	}
	if changed {
		m.markChanged(mb, now)
	}
}

// mergeOlder merges a state with an older heartbeat than the known one. A
// suspicion in it is refuted by sending the newer heartbeat again, but only if
// that one proves that the member was alive within suspectAfter. Otherwise the
// suspicion is adopted if the known heartbeat is only slightly newer. Without
// this rule, a member that ended just after it replied to one host would be
// suspected and refuted again and again.
func (m *Membership) mergeOlder(mb *member, u *update, now time.Time) {
	if u.Fault == faultNone || mb.fault != faultNone {
		return
	}
	newerBy := time.Duration(mb.heartbeat-u.Beat) * time.Microsecond
	switch {
	case now.Sub(mb.earliestSendTime()) < suspectAfter:
		if mb.remainingSends == 0 {
			m.markChanged(mb, now)
		}
	case newerBy < suspectAfter/2:
		mb.setFault(faultSuspect, now)
		m.markChanged(mb, now)
	}
}

// applyState copies a state that is at least as new as the known one. It
// reports whether something changed that the other hosts must learn soon.
func (m *Membership) applyState(mb *member, u *update, now time.Time) bool {
	changed := false
	f := u.Fault
	if u.Beat == mb.heartbeat {
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
	if u.Standing != mb.state {
		changed = true
		mb.state = u.Standing
		if u.Standing == stateIdle {
			mb.idleSince = now
		}
	}
	mb.heartbeat, mb.applied, mb.configOffset = u.Beat, u.Applied, u.ConfigOffset
	return changed
}

// setAddresses stores the addresses that a member reports of itself.
func (m *Membership) setAddresses(mb *member, d *details) {
	if d == nil {
		return
	}
	mb.host.Address, mb.host.PeerAddress, mb.host.FailureDomain = d.Address, d.PeerAddress, d.FailureDomain
}

// mergeSelf handles an update about this host: it refutes faults and detects a
// newer process of this host.
func (m *Membership) mergeSelf(u *update, now time.Time) {
	switch {
	case newer(u.Incarnation, m.self.incarnation):
		if !m.superseded {
			m.cfg.Logger.Error("a newer process of this host exists", "host", u.Host, "incarnation", u.Incarnation)
		}
		m.superseded = true // a replaced process must stop serving
		m.gate.complete.Store(false)
	case u.Fault != faultNone && m.self.remainingSends == 0:
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

// fetchMembers reads the member table of a random peer after the start, so that
// this host need not wait until gossip has named every member. It repeats this
// while listed hosts are unknown, as when all hosts start at once and the
// tables are incomplete.
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
		if len(up) == 1 && m.fetchTable(up[0].host.Name) {
			m.mu.Lock()
			m.tableFetched = true
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

// fetchTable reads the whole member table of a host, page by page, and reports
// whether it succeeded.
func (m *Membership) fetchTable(host string) bool {
	for after := ""; ; {
		ctx, cancel := context.WithTimeout(m.ctx, membersTimeout)
		var p packed
		requestedAt := time.Now()
		err := m.cfg.Peers.Call(ctx, host, methodMembers, membersParams{After: after}, &p)
		cancel()
		if err != nil {
			return false
		}
		msg, err := unpack(p, host) // Echo is not set
		if err != nil {
			m.cfg.Logger.Warn("failed to read member table", "host", host, "err", err)
			return false
		}
		m.mu.Lock()
		m.mergeMessage(msg, time.Now(), requestedAt)
		m.mu.Unlock()
		if len(msg.Updates) == 1 {
			return true
		}
		after = msg.Updates[len(msg.Updates)-1].Host
	}
}
