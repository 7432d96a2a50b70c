// Package membership maintains one entry host's view of the other entry hosts.
// It contains the gossip protocol, failure detection, planner selection,
// address answers and draining.
//
// Failure detection. Hosts form a ring ordered by the hash of their names. Each
// second a host sends its heartbeat to the next 8 responsive hosts, which watch
// it. A watcher that misses heartbeats probes the member itself and asks two
// other watchers for its newest heartbeat before it suspects the member. The
// suspicion, and its refutation by a newer heartbeat, spread as changes in
// messages to 3 random peers a second. The load per host does not depend on the
// number of hosts, and with up to 9 hosts every host watches every other one.
// Callers get only the addresses of members whose newest heartbeat, received
// directly or relayed, is recent.
package membership

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
)

const (
	gossipInterval = time.Second
	randomPeers    = 3
	// ringWatchers is the number of hosts that watch a member. With up to 9
	// entry hosts, the current size, every host watches every other one.
	ringWatchers = 8
	// probeAfter is the time without heartbeats after which a watcher probes a
	// member.
	probeAfter = 1500 * time.Millisecond
	// indirectProbes is the number of other watchers that are asked for the
	// newest heartbeat of a member.
	indirectProbes = 2
	suspectAfter   = 3 * time.Second
	deadAfter      = 10 * time.Second
	// maxRoundGap is the time between two rounds above which this process
	// itself was paused, so that missing heartbeats are no evidence of a
	// failure.
	maxRoundGap = 2 * gossipInterval
	// removeAfter is how long a dead member that is not in the host list is
	// kept.
	removeAfter = 10 * time.Minute
	// maxMembers limits the member table against invalid input; the target size
	// is 770 hosts.
	maxMembers = 4096
)

// Config configures a Membership. Peers, HostList and Journal are required.
type Config struct {
	// Host is this host as it appears in the host list.
	Host tamarackknot.Host
	// Incarnation is the UUIDv7 of this process.
	Incarnation string
	Peers       tamarackknot.Peers
	HostList    tamarackknot.HostList
	// Journal returns the status of the journal; it is called once a second.
	Journal func() tamarackknot.JournalStatus
	// OnSign is called once for each endpoint sign that another host sent. It
	// may be nil.
	OnSign func(tamarackknot.EndpointSign)
	// Random chooses peers. Nil means a random seed.
	Random  *rand.Rand
	Metrics metrics.Registry
	Logger  *log.Logger
}

var _ tamarackknot.Members = (*Membership)(nil)

// Membership implements tamarackknot.Members.
type Membership struct {
	cfg     Config
	started time.Time
	gate    gate
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	running sync.WaitGroup
	// suspected counts the suspicions that this host raised, refuted the
	// members that became responsive again.
	suspected, refuted metrics.Counter

	mu               sync.Mutex
	random           *rand.Rand
	self             *member
	members          map[string]*member // this host included
	byName           []*member
	ring             []*member // this host included, ordered by hash
	roundRobinCursor int       // last index in byName that was repeated
	changes          uint64    // number of changes so far; see member.changeSeq
	lastTick         time.Time
	// repairSent says that a repair message was sent since the last round.
	repairSent bool
	leaving    atomic.Bool
	idle       bool
	// superseded says that a newer process of this host exists.
	superseded bool
	// tableFetched says that the member table of a peer was fetched.
	tableFetched bool
	// planners caches the results of Planner by deployment until a member
	// changes.
	planners map[string]string
	// listReadableSince is the first of the latest polls of the host list that
	// all succeeded; zero if the last one failed.
	listReadableSince time.Time
	// listRead says that the host list was read at least once.
	listRead bool
	// firstQueries holds the time of the first call of Ended for each process
	// that this host does not know.
	firstQueries map[tamarackknot.Process]time.Time
	signs        map[uint64]*knownSign
}

// New returns a Membership that takes part in gossip after Start. It registers
// its handlers with cfg.Peers.
func New(cfg Config) (*Membership, error) {
	id, err := uuid.Parse(cfg.Incarnation)
	if err != nil {
		return nil, errors.Wrapf(err, "incarnation %q is not a UUID", cfg.Incarnation)
	}
	if n := len(cfg.Host.Name); n == 0 || n > maxNameBytes {
		return nil, errors.Newf("host name %q has %d bytes, allowed 1 to %d", cfg.Host.Name, n, maxNameBytes)
	}
	if cfg.Logger == nil {
		cfg.Logger = log.New(io.Discard)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Random == nil {
		cfg.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	now := time.Now()
	m := &Membership{
		cfg:          cfg,
		started:      now,
		suspected:    metrics.GetOrRegisterCounter("membership.suspected", cfg.Metrics),
		refuted:      metrics.GetOrRegisterCounter("membership.refuted", cfg.Metrics),
		random:       cfg.Random,
		members:      make(map[string]*member),
		planners:     make(map[string]string),
		firstQueries: make(map[tamarackknot.Process]time.Time),
		signs:        make(map[uint64]*knownSign),
		lastTick:     now,
	}
	m.gate.init(now)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.self = m.add(cfg.Host.Name, now)
	m.self.host = cfg.Host
	m.self.resetIncarnation(id, now)
	m.self.earliestStart, m.self.latestStart, m.self.boundsUpdatedAt = now, now, now
	m.markChanged(m.self, now)
	cfg.Peers.Handle(methodGossip, m.handleGossip)
	cfg.Peers.Handle(methodMembers, m.handleMembers)
	return m, nil
}

// Start starts the gossip rounds, the polls of the host list and the fetch of
// the member table, which run until Close.
func (m *Membership) Start() {
	js := m.cfg.Journal()
	m.mu.Lock()
	m.refreshGate(time.Now(), js) // requests may arrive before the first round
	m.mu.Unlock()
	m.running.Add(3)
	go m.run()
	go m.pollHosts()
	go m.fetchMembers()
}

// Close stops the goroutines and waits for them. It does not announce that this
// host leaves; see Leave.
func (m *Membership) Close() {
	m.cancel()
	m.running.Wait()
}

// Self returns this host as it reports itself to the others.
func (m *Membership) Self() tamarackknot.Member {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshSelf(now)
	return m.self.view(now)
}

// List returns all known members, this one included, ordered by name.
func (m *Membership) List() []tamarackknot.Member {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshSelf(now)
	list := make([]tamarackknot.Member, 0, len(m.byName))
	for _, mb := range m.byName {
		list = append(list, mb.view(now))
	}
	return list
}

// PeerAddress returns the peer address of a host, IP:port, and whether it is
// known. It serves as the resolver of peer.Config.
func (m *Membership) PeerAddress(host string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mb, ok := m.members[host]
	if !ok || mb.host.PeerAddress == "" {
		return "", false
	}
	return mb.host.PeerAddress, true
}

// Planner returns the entry host that plans placement for a deployment, by
// rendezvous hashing over the members that are neither dead, leaving nor stale.
// Without any such member it is this host.
func (m *Membership) Planner(deployment string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if host, ok := m.planners[deployment]; ok {
		return host
	}
	best, bestScore := m.self.host.Name, uint64(0)
	for _, mb := range m.byName {
		if !mb.known() || mb.fault == faultDead || mb.state != stateAlive {
			continue
		}
		if score := rendezvous(deployment, mb.host.Name); score > bestScore {
			best, bestScore = mb.host.Name, score
		}
	}
	m.planners[deployment] = best
	return best
}

// rendezvous returns the score of a host for a key; the host with the highest
// score is selected.
func rendezvous(key, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// add creates a member. It returns nil if the table is full.
func (m *Membership) add(name string, now time.Time) *member {
	if len(m.members) >= maxMembers {
		return nil
	}
	mb := &member{host: tamarackknot.Host{Name: name, Role: tamarackknot.RoleEntry}, hash: xxhash.Sum64String(name), firstSeen: now}
	m.members[name] = mb
	i, _ := slices.BinarySearchFunc(m.byName, mb, compareName)
	m.byName = slices.Insert(m.byName, i, mb)
	i, _ = slices.BinarySearchFunc(m.ring, mb, compareHash)
	m.ring = slices.Insert(m.ring, i, mb)
	return mb
}

func (m *Membership) remove(mb *member) {
	delete(m.members, mb.host.Name)
	if i, ok := slices.BinarySearchFunc(m.byName, mb, compareName); ok {
		m.byName = slices.Delete(m.byName, i, i+1)
	}
	if i, ok := slices.BinarySearchFunc(m.ring, mb, compareHash); ok {
		m.ring = slices.Delete(m.ring, i, i+1)
	}
}

func compareName(a, b *member) int { return strings.Compare(a.host.Name, b.host.Name) }

func compareHash(a, b *member) int {
	switch {
	case a.hash < b.hash:
		return -1
	case a.hash > b.hash:
		return 1
	default:
		return compareName(a, b)
	}
}

// neighbours returns up to limit responsive members that follow a member on the
// ring (step 1) or precede it (step -1).
func (m *Membership) neighbours(of *member, step, limit int) []*member {
	n := len(m.ring)
	at, ok := slices.BinarySearchFunc(m.ring, of, compareHash)
	if !ok {
		return nil
	}
	found := make([]*member, 0, limit)
	for i := 1; i < n && len(found) < limit; i++ {
		mb := m.ring[(at+step*i+n*i)%n]
		if mb.responsive() {
			found = append(found, mb)
		}
	}
	return found
}

// markChanged schedules the member's state for transmission in the next rounds.
// With 4 transmissions plus 3 per decimal digit of the number of members, the
// probability that a change misses a member is below e^-8. Round-robin updates
// reach the remaining ones.
func (m *Membership) markChanged(mb *member, now time.Time) {
	sends := 4
	for n := len(m.members); n > 0; n /= 10 {
		sends += 3
	}
	m.changes++
	mb.remainingSends, mb.changeSeq, mb.changedAt = sends, m.changes, now
	clear(m.planners)
}

// refreshSelf updates the state in this host's own entry.
func (m *Membership) refreshSelf(now time.Time) {
	s := stateAlive
	switch {
	case m.idle:
		s = stateIdle
	case m.leaving.Load():
		s = stateLeaving
	case m.gate.status(now) != GateReady:
		s = stateStale
	}
	if s != m.self.state {
		m.self.state = s
		m.markChanged(m.self, now)
	}
}
