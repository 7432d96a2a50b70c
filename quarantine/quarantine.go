// Package quarantine finds the requests and the parts of prompts that crash endpoints, and
// rejects such requests. Every host records which endpoints broke off answers that had
// hardly begun, to which requests and prompts, and which of these are answered elsewhere.
// The hosts spread these records, and each derives from them which causes are to blame.
package quarantine

import (
	"cmp"
	"context"
	"crypto/sha256"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// lossRetention is how long a loss is kept, longer than the longest ban.
	lossRetention = 15 * time.Minute
	// maxLosses and maxLossCauses limit the losses, of which those are dropped first that
	// support no suspicion, and the causes of one.
	maxLosses     = 64
	maxLossCauses = 128
	// answerRetention is how long an answered part, an answered request or a live endpoint
	// is remembered at least, unless there are more than maxAnswers of them.
	answerRetention = time.Minute
	maxAnswers      = 8192
	// probeInterval is the least time between two requests of this host with a cause on
	// probation.
	probeInterval = 10 * time.Second
)

// Config configures a List.
type Config struct {
	// Self is the name of this host.
	Self  string
	Peers tamarackknot.Peers
	Store tamarackknot.Store
	// Others returns the names of the other live hosts.
	Others func() []string
	// Reachable reports whether a connection to an endpoint can be made. A broken answer
	// counts only if it can't. Nil means that it never can.
	Reachable func(ctx context.Context, address string) bool
	// Clock returns the time since boot, including the time of suspension. Nil means the
	// system's clock.
	Clock  func() time.Duration
	Logger *log.Logger
}

var _ tamarackknot.CrashRecords = (*List)(nil)

// List holds the records of this host and of those it heard from.
type List struct {
	cfg       Config
	wake      chan struct{}
	wakeStore chan struct{}
	checks    chan check
	// active is true while there are losses; the hot path reads nothing else without them.
	active atomic.Bool

	mu       sync.Mutex
	losses   []*loss
	suspects []suspicion
	// answers holds when each part was last answered, requestAnswers when each request was:
	// those of this host, and those of others for causes that occur in losses. Many
	// different requests don't displace the parts.
	answers        generations[causeID]
	requestAnswers generations[causeID]
	// alive holds when each start of an endpoint last answered this host.
	alive generations[start]
	// unsentLosses and unsentAnswers name the records that changed since the last message.
	unsentLosses  map[*loss]map[causeID]bool
	unsentAnswers map[causeID]bool
	// unsentReplies holds, by host, causes of its losses that were answered later than it
	// knows.
	unsentReplies map[string]map[causeID]bool
	probes        map[causeID]probe
	logged        map[causeID]bool // causes of which a rejection is logged
}

// probe is the last request of this host with a cause on probation.
type probe struct {
	at time.Duration
	id string // of the request
	// lost is set once an endpoint did not answer it; it is not sent to another one.
	lost bool
}

// New returns an empty List and registers its handlers with cfg.Peers.
func New(cfg Config) *List {
	if cfg.Clock == nil {
		cfg.Clock = times.SinceBoot
	}
	l := &List{
		cfg: cfg, wake: make(chan struct{}, 1), wakeStore: make(chan struct{}, 1), checks: make(chan check, maxChecks),
		unsentLosses: make(map[*loss]map[causeID]bool), unsentAnswers: make(map[causeID]bool), unsentReplies: make(map[string]map[causeID]bool),
		probes: make(map[causeID]probe), logged: make(map[causeID]bool),
	}
	cfg.Peers.Handle(methodSpread, l.handleSpread)
	cfg.Peers.Handle(methodPull, l.handlePull)
	return l
}

// partCause returns the cause that a part of prompts is within a service.
func partCause(service, part string) causeID {
	sum := sha256.Sum256([]byte(service + "\x00" + part))
	return causeID{hash: [hashBytes]byte(sum[:hashBytes])}
}

func startOf(e tamarackknot.EndpointEntry) start { return start{e.ID, e.Born.UnixMilli()} }

// causesOf returns the request itself and the parts of its prompt but the last, which
// belongs to the request alone.
func causesOf(r tamarackknot.RequestIdentity) []causeID {
	out := make([]causeID, 0, len(r.Parts)+1)
	for _, part := range r.Parts[:max(len(r.Parts)-1, 0)] {
		out = append(out, partCause(r.Service, part))
	}
	if r.Content != (tamarackknot.ContentID{}) {
		out = append(out, causeID{hash: r.Content, request: true})
	}
	return out
}

// Rejects implements tamarackknot.CrashRecords.
func (l *List) Rejects(r tamarackknot.RequestIdentity) bool {
	if !l.active.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.suspects) == 0 {
		return false
	}
	causes := causesOf(r)
	now := l.cfg.Clock()
	for i := range l.suspects {
		s := &l.suspects[i]
		if !l.rejectsFor(s, causes, r.ID, now) {
			continue
		}
		if !l.logged[s.causes[0]] {
			l.logged[s.causes[0]] = true
			l.cfg.Logger.Info("rejecting requests that crash endpoints", "cause", s.causes[0], "service", r.Service, "request", r.ID,
				"content", r.Content, "parts", r.Parts, "crashes", s.crashes, "bannedFor", s.bannedUntil-now)
		}
		return true
	}
	return false
}

// rejectsFor reports whether a request is rejected because of a suspicion. A request that
// crashed endpoints is on probation while a part of other prompts may be to blame as well:
// that costs no other request anything. l.mu is held.
func (l *List) rejectsFor(s *suspicion, causes []causeID, id string, now time.Duration) bool {
	switch s.match(causes) {
	case matchAll:
		return now < s.bannedUntil || !l.mayProbe(s.causes[0], id, now)
	case matchRequest:
		request := causes[slices.IndexFunc(causes, isRequest)]
		return !l.mayProbe(request, id, now)
	default:
		return false
	}
}

// mayProbe reports whether this host may send a request whose cause is on probation: one
// host at a time tries whether it still crashes endpoints. A request that waits for an
// endpoint asks again and again. l.mu is held.
func (l *List) mayProbe(c causeID, id string, now time.Duration) bool {
	if last, probed := l.probes[c]; probed && now-last.at < probeInterval {
		return id == last.id && !last.lost
	}
	if !l.responsible(c) {
		return false
	}
	l.probes[c] = probe{at: now, id: id}
	l.cfg.Logger.Info("trying a request that crashed endpoints", "cause", c, "request", id)
	return true
}

// endProbes ends the probes that a request is, since an endpoint did not answer it. l.mu is
// held.
func (l *List) endProbes(causes []causeID, id string) {
	for _, c := range causes {
		if last, probed := l.probes[c]; probed && last.id == id {
			last.lost = true
			l.probes[c] = last
		}
	}
}

// responsible reports whether this host acts for all hosts in the matter of a cause.
func (l *List) responsible(c causeID) bool {
	self := hostRank(c, l.cfg.Self)
	return !slices.ContainsFunc(l.cfg.Others(), func(host string) bool { return hostRank(c, host) < self })
}

// hostRank orders the hosts for a cause.
func hostRank(c causeID, host string) uint64 { return xxhash.Sum64String(string(c.hash[:]) + host) }

// RecordLoss implements tamarackknot.CrashRecords.
func (l *List) RecordLoss(e tamarackknot.EndpointEntry, r tamarackknot.RequestIdentity) {
	ids := causesOf(r)
	if len(ids) == 0 {
		return
	}
	l.mu.Lock()
	l.endProbes(ids, r.ID)
	l.mu.Unlock()
	c := check{e.Address, loss{start: startOf(e), at: l.cfg.Clock(), causes: set(ids)}}
	if l.cfg.Reachable == nil {
		l.addLoss(c)
		return
	}
	select {
	case l.checks <- c:
	default:
		l.cfg.Logger.Warn("broken answer not looked into, too many wait", "endpoint", e.ID)
	}
}

func (l *List) addLoss(c check) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeLoss(c.loss)
	l.update()
}

// lossAt returns the loss of a start to which an answer lost at a time belongs, nil if there
// is none. l.mu is held.
func (l *List) lossAt(s start, at time.Duration) *loss {
	for _, lost := range l.losses {
		if lost.start == s && lost.includes(at) {
			return lost
		}
	}
	return nil
}

// RecordAnswer implements tamarackknot.CrashRecords.
func (l *List) RecordAnswer(e tamarackknot.EndpointEntry, r tamarackknot.RequestIdentity) {
	ids := causesOf(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock()
	changed := l.markAlive(startOf(e), now)
	for _, c := range ids {
		l.answersOf(c).put(c, now)
		if l.isOpen(c) {
			l.unsentAnswers[c] = true
			changed = true
		}
	}
	if changed {
		l.update()
	}
}

// answersOf returns the answers to requests or to parts.
func (l *List) answersOf(c causeID) *generations[causeID] {
	if c.request {
		return &l.requestAnswers
	}
	return &l.answers
}

// lastAnswer returns when a cause was last answered, 0 if it is not known. l.mu is held.
func (l *List) lastAnswer(c causeID) time.Duration { return l.answersOf(c).last(c) }

// RecordAlive implements tamarackknot.CrashRecords.
func (l *List) RecordAlive(e tamarackknot.EndpointEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.markAlive(startOf(e), l.cfg.Clock()) {
		l.update()
	}
}

// markAlive records that an endpoint answered, and reports whether that refutes a crash.
// l.mu is held.
func (l *List) markAlive(s start, now time.Duration) bool {
	l.alive.put(s, now)
	lost := l.lossAt(s, now)
	if lost == nil || !lost.crashed() || !lost.refutedBy(now) {
		return false
	}
	lost.aliveAt = now
	l.markUnsent(lost, nil)
	return true
}

// isOpen reports whether a cause occurs in a loss and was not answered since. l.mu is held.
func (l *List) isOpen(c causeID) bool {
	for _, lost := range l.losses {
		if lost.causes[c] {
			return true
		}
	}
	return false
}

// mergeLoss merges a record of this host or of another one, and reports whether it is
// news. l.mu is held.
func (l *List) mergeLoss(n loss) bool {
	old := l.lossAt(n.start, n.at)
	isNew := old == nil
	if isNew {
		old = &loss{start: n.start, at: n.at, causes: make(map[causeID]bool)}
		l.losses = append(l.losses, old)
	}
	var added []causeID
	for p := range n.causes {
		if _, known := old.causes[p]; known || len(old.causes) >= maxLossCauses {
			continue
		}
		old.causes[p] = true
		added = append(added, p)
		if l.lastAnswer(p) > 0 {
			l.unsentAnswers[p] = true
		}
	}
	later, alive := n.at-old.at > mergeTolerance, false
	if later {
		old.at = n.at
	}
	for _, at := range []time.Duration{n.aliveAt, l.alive.last(n.start)} {
		if old.crashed() && old.refutedBy(at) {
			old.aliveAt, alive = at, true
		}
	}
	if !isNew && !later && !alive && len(added) == 0 {
		return false
	}
	l.markUnsent(old, added)
	return true
}

// markUnsent records a change of a loss that other hosts must hear of. l.mu is held.
func (l *List) markUnsent(lost *loss, added []causeID) {
	if l.unsentLosses[lost] == nil {
		l.unsentLosses[lost] = make(map[causeID]bool)
	}
	for _, p := range added {
		l.unsentLosses[lost][p] = true
	}
}

// update derives the suspects from the records and wakes Run to send the changes. l.mu is
// held.
func (l *List) update() {
	l.prune()
	for _, lost := range l.losses {
		for p, open := range lost.causes {
			if open && l.lastAnswer(p) > lost.at {
				lost.causes[p] = false
			}
		}
	}
	before := l.suspects
	l.suspects = blame(l.losses, l.lastAnswer)
	l.active.Store(len(l.losses) > 0)
	for _, s := range l.suspects {
		if !slices.ContainsFunc(before, func(o suspicion) bool { return slices.Equal(o.causes, s.causes) }) {
			wait.Wake(l.wakeStore)
			l.cfg.Logger.Info("endpoints crash under requests", "cause", s.causes[0], "wholeRequest", s.causes[0].request,
				"alternatives", len(s.causes)-1, "crashes", s.crashes)
		}
	}
	for _, o := range before {
		if !slices.ContainsFunc(l.suspects, func(s suspicion) bool { return slices.Contains(s.causes, o.causes[0]) }) {
			delete(l.logged, o.causes[0])
			l.cfg.Logger.Info("no longer blamed for crashes", "cause", o.causes[0])
		}
	}
	if len(l.unsentLosses)+len(l.unsentAnswers) > 0 {
		wait.Wake(l.wake)
	}
}

// prune drops old losses, and the oldest of too many, those first that support no
// suspicion. l.mu is held.
func (l *List) prune() {
	now := l.cfg.Clock()
	excess := len(l.losses) - maxLosses
	if excess > 0 {
		slices.SortStableFunc(l.losses, func(a, b *loss) int {
			if supports := l.supports(a); supports != l.supports(b) {
				if supports {
					return 1
				}
				return -1
			}
			return cmp.Compare(a.at, b.at)
		})
	}
	kept := l.losses[:0]
	for i, lost := range l.losses {
		if i < excess || now-lost.at > lossRetention {
			delete(l.unsentLosses, lost)
			continue
		}
		kept = append(kept, lost)
	}
	clear(l.losses[len(kept):])
	l.losses = kept
	maps.DeleteFunc(l.probes, func(_ causeID, last probe) bool { return now-last.at > lossRetention })
}

// supports reports whether a loss is one of those for which a suspect is blamed. l.mu is
// held.
func (l *List) supports(lost *loss) bool {
	return slices.ContainsFunc(l.suspects, func(s suspicion) bool { return lost.causes[s.causes[0]] })
}

func set(ids []causeID) map[causeID]bool {
	out := make(map[causeID]bool, len(ids))
	for _, p := range ids {
		out[p] = true
	}
	return out
}

// generations holds the last time of each key. It keeps two generations, of which the
// older is dropped when the newer is old or full.
type generations[K comparable] struct {
	recent, earlier map[K]time.Duration
	rotatedAt       time.Duration
}

func (g *generations[K]) put(k K, at time.Duration) {
	if g.recent == nil || at-g.rotatedAt >= answerRetention || len(g.recent) >= maxAnswers {
		g.recent, g.earlier, g.rotatedAt = make(map[K]time.Duration), g.recent, at
	}
	g.recent[k] = max(at, g.last(k))
}

// last returns the last time of a key, 0 if it is not known.
func (g *generations[K]) last(k K) time.Duration { return max(g.recent[k], g.earlier[k]) }
