// Package quarantine finds the parts of prompts that crash endpoints, and rejects
// requests that contain them. Every host records which endpoints broke off answers that
// had hardly begun, which prompts these were, and which parts are answered elsewhere. The
// hosts spread these records, and each derives from them which parts are to blame.
package quarantine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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
	// maxLosses and maxLossParts limit the losses, the oldest of which are dropped, and
	// the parts of one.
	maxLosses    = 64
	maxLossParts = 128
	// answerRetention is how long an answered part or a live endpoint is remembered at
	// least, unless there are more than maxAnswers of them.
	answerRetention = time.Minute
	maxAnswers      = 8192
	// probeInterval is the least time between two requests of this host with a part on
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
	losses   map[start]*loss
	suspects []suspicion
	// answers holds when each part was last answered: those of this host, and those of
	// others for parts that occur in losses.
	answers generations[partID]
	// alive holds when each start of an endpoint last answered this host.
	alive generations[start]
	// unsentLosses and unsentAnswers name the records that changed since the last message.
	unsentLosses  map[start]map[partID]bool
	unsentAnswers map[partID]bool
	probes        map[partID]probe
	logged        map[partID]bool // parts of which a rejection is logged
}

// probe is the last request of this host with a part on probation.
type probe struct {
	at  time.Duration
	own string // the last part of its prompt
}

// New returns an empty List and registers its handlers with cfg.Peers.
func New(cfg Config) *List {
	if cfg.Clock == nil {
		cfg.Clock = times.SinceBoot
	}
	l := &List{
		cfg: cfg, wake: make(chan struct{}, 1), wakeStore: make(chan struct{}, 1), checks: make(chan check, maxChecks), losses: make(map[start]*loss),
		unsentLosses: make(map[start]map[partID]bool), unsentAnswers: make(map[partID]bool),
		probes: make(map[partID]probe), logged: make(map[partID]bool),
	}
	cfg.Peers.Handle(methodSpread, l.handleSpread)
	cfg.Peers.Handle(methodPull, l.handlePull)
	return l
}

func newPartID(service, part string) partID {
	sum := sha256.Sum256([]byte(service + "\x00" + part))
	return partID(sum[:len(partID{})])
}

func (p partID) String() string { return hex.EncodeToString(p[:]) }

func startOf(e tamarackknot.EndpointEntry) start { return start{e.ID, e.Born.UnixMilli()} }

// sharedParts returns the ids of the parts of a prompt but the last, which belongs to the
// request itself.
func sharedParts(service string, parts []string) []partID {
	out := make([]partID, 0, len(parts))
	for _, part := range parts[:max(len(parts)-1, 0)] {
		out = append(out, newPartID(service, part))
	}
	return out
}

// Rejects implements tamarackknot.CrashRecords.
func (l *List) Rejects(service string, parts []string) bool {
	if !l.active.Load() || len(parts) < 2 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.suspects) == 0 {
		return false
	}
	ids := sharedParts(service, parts)
	now := l.cfg.Clock()
	for i := range l.suspects {
		s := &l.suspects[i]
		if !s.applies(ids) || now >= s.bannedUntil && l.mayProbe(s.parts[0], parts[len(parts)-1], now) {
			continue
		}
		if !l.logged[s.parts[0]] {
			l.logged[s.parts[0]] = true
			l.cfg.Logger.Info("rejecting requests with a part that crashes endpoints", "part", s.parts[0], "service", service,
				"parts", parts, "crashes", s.crashes, "bannedFor", s.bannedUntil-now)
		}
		return true
	}
	return false
}

// mayProbe reports whether this host may send a request with a part on probation, whose
// prompt ends with own: one host at a time tries whether the part still crashes endpoints.
// A request that waits for an endpoint asks again and again. l.mu is held.
func (l *List) mayProbe(p partID, own string, now time.Duration) bool {
	if last, probed := l.probes[p]; probed && now-last.at < probeInterval {
		return own == last.own
	}
	if !l.responsible(p) {
		return false
	}
	l.probes[p] = probe{now, own}
	l.cfg.Logger.Info("trying a part that crashed endpoints", "part", p)
	return true
}

// responsible reports whether this host acts for all hosts in the matter of a part.
func (l *List) responsible(p partID) bool {
	self := hostRank(p, l.cfg.Self)
	return !slices.ContainsFunc(l.cfg.Others(), func(host string) bool { return hostRank(p, host) < self })
}

// hostRank orders the hosts for a part.
func hostRank(p partID, host string) uint64 { return xxhash.Sum64String(string(p[:]) + host) }

// RecordLoss implements tamarackknot.CrashRecords.
func (l *List) RecordLoss(e tamarackknot.EndpointEntry, parts []string) {
	ids := sharedParts(e.Service, parts)
	if len(ids) == 0 {
		return
	}
	c := check{startOf(e), e.Address, loss{at: l.cfg.Clock(), parts: set(ids)}}
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
	l.mergeLoss(c.start, c.loss)
	l.update()
}

// RecordAnswer implements tamarackknot.CrashRecords.
func (l *List) RecordAnswer(e tamarackknot.EndpointEntry, parts []string) {
	ids := sharedParts(e.Service, parts)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock()
	changed := false
	for _, p := range ids {
		l.answers.put(p, now)
		if l.isOpen(p) {
			l.unsentAnswers[p] = true
			changed = true
		}
	}
	if changed {
		l.update()
	}
}

// RecordAlive implements tamarackknot.CrashRecords.
func (l *List) RecordAlive(e tamarackknot.EndpointEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := startOf(e), l.cfg.Clock()
	l.alive.put(s, now)
	if lost := l.losses[s]; lost != nil && lost.crashed() && lost.refutedBy(now) {
		lost.aliveAt = now
		l.markUnsent(s, nil)
		l.update()
	}
}

// isOpen reports whether a part occurs in a loss and was not answered since. l.mu is held.
func (l *List) isOpen(p partID) bool {
	for _, lost := range l.losses {
		if lost.parts[p] {
			return true
		}
	}
	return false
}

// mergeLoss merges a record of this host or of another one, and reports whether it is
// news. l.mu is held.
func (l *List) mergeLoss(s start, n loss) bool {
	old := l.losses[s]
	isNew := old == nil
	if isNew {
		old = &loss{at: n.at, parts: make(map[partID]bool)}
		l.losses[s] = old
	}
	var added []partID
	for p := range n.parts {
		if _, known := old.parts[p]; known || len(old.parts) >= maxLossParts {
			continue
		}
		old.parts[p] = true
		added = append(added, p)
		if l.answers.last(p) > 0 {
			l.unsentAnswers[p] = true
		}
	}
	aliveAt := max(old.aliveAt, n.aliveAt, l.alive.last(s))
	later, alive := n.at-old.at > mergeTolerance, aliveAt-old.aliveAt > mergeTolerance
	if later {
		old.at = n.at
	}
	if alive {
		old.aliveAt = aliveAt
	}
	if !isNew && !later && !alive && len(added) == 0 {
		return false
	}
	l.markUnsent(s, added)
	return true
}

// markUnsent records a change of a loss that other hosts must hear of. l.mu is held.
func (l *List) markUnsent(s start, added []partID) {
	if l.unsentLosses[s] == nil {
		l.unsentLosses[s] = make(map[partID]bool)
	}
	for _, p := range added {
		l.unsentLosses[s][p] = true
	}
}

// update derives the suspects from the records and wakes Run to send the changes. l.mu is
// held.
func (l *List) update() {
	l.prune()
	for _, lost := range l.losses {
		for p, open := range lost.parts {
			if open && l.answers.last(p) > lost.at {
				lost.parts[p] = false
			}
		}
	}
	before := l.suspects
	l.suspects = blame(l.losses, l.answers.last)
	l.active.Store(len(l.losses) > 0)
	for _, s := range l.suspects {
		if !slices.ContainsFunc(before, func(o suspicion) bool { return slices.Equal(o.parts, s.parts) }) {
			wait.Wake(l.wakeStore)
			l.cfg.Logger.Info("endpoints crash under a part of prompts", "part", s.parts[0], "alternatives", len(s.parts)-1, "crashes", s.crashes)
		}
	}
	for _, o := range before {
		if !slices.ContainsFunc(l.suspects, func(s suspicion) bool { return slices.Contains(s.parts, o.parts[0]) }) {
			delete(l.logged, o.parts[0])
			l.cfg.Logger.Info("part of prompts no longer blamed for crashes", "part", o.parts[0])
		}
	}
	if len(l.unsentLosses)+len(l.unsentAnswers) > 0 {
		wait.Wake(l.wake)
	}
}

// prune drops old losses. l.mu is held.
func (l *List) prune() {
	now := l.cfg.Clock()
	maps.DeleteFunc(l.losses, func(_ start, lost *loss) bool { return now-lost.at > lossRetention })
	for len(l.losses) > maxLosses {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(l.losses)), func(a, b start) int {
			if d := l.losses[a].at - l.losses[b].at; d != 0 {
				return int(max(min(d, 1), -1))
			}
			return compareStarts(a, b)
		})
		delete(l.losses, oldest)
	}
	maps.DeleteFunc(l.probes, func(_ partID, last probe) bool { return now-last.at > lossRetention })
}

func set(ids []partID) map[partID]bool {
	out := make(map[partID]bool, len(ids))
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
