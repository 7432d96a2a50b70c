// Package membership keeps one entry host's view of the others: gossip,
// failure detection, planner selection, address answers and draining.
//
// Failure detection. Hosts form a ring ordered by the hash of their names.
// Each second a host sends its heartbeat to the next 8 responsive hosts, which
// watch it. A watcher that misses heartbeats asks the member itself and two
// other watchers before it suspects the member; suspicion and its refutation
// by a newer heartbeat spread as changes through messages to 3 random peers a
// second. The load per host does not depend on the number of hosts, and with
// up to 9 hosts every host watches every other one. Callers get only members
// whose own newest heartbeat, received directly or relayed, is recent.
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
	// ringWatchers makes every host watch every other one at the current size
	// of up to 9 entry hosts.
	ringWatchers = 8
	// askAfter is when a watcher that misses heartbeats asks others for them.
	askAfter     = 1500 * time.Millisecond
	askedPeers   = 2
	suspectAfter = 3 * time.Second
	deadAfter    = 10 * time.Second
	// pauseGap is the time between two rounds above which this process itself
	// was paused and must not conclude anything from missing heartbeats.
	pauseGap = 2 * gossipInterval
	// forgetAfter removes a dead member that the host list does not contain.
	forgetAfter = 10 * time.Minute
	// maxMembers limits the table against invalid input; the target size is
	// 770 hosts.
	maxMembers = 4096
)

// Config configures a Membership. Peers, HostList and Journal are required.
type Config struct {
	// Host is this host as the host list names it.
	Host tamarackknot.Host
	// Incarnation is the UUIDv7 of this process start.
	Incarnation string
	Peers       tamarackknot.Peers
	HostList    tamarackknot.HostList
	// Journal returns how current this host's state is; it is called once a
	// second.
	Journal func() tamarackknot.JournalStatus
	// OnSign receives the endpoint signs of other hosts, each once. It may be
	// nil.
	OnSign func(tamarackknot.EndpointSign)
	// Random chooses peers; nil takes a random seed.
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
	// suspected and refuted count changes of fault that this host saw.
	suspected, refuted metrics.Counter

	mu       sync.Mutex
	random   *rand.Rand
	self     *member
	members  map[string]*member // self included
	byName   []*member
	ring     []*member // self included, ordered by hash
	cursor   int       // next member of byName to repeat
	changes  uint64
	lastTick time.Time
	// repaired says that this round's repair was sent.
	repaired bool
	leaving  atomic.Bool
	idle     bool
	// superseded says that a newer process of this host exists.
	superseded bool
	synced     bool
	planners   map[string]string
	// readableSince is since when every poll of the host list succeeded.
	readableSince time.Time
	// listRead says that the host list was read at least once.
	listRead bool
	// asked is when Ended was first asked about a process that this host has
	// not heard of.
	asked map[tamarackknot.Process]time.Time
	signs map[uint64]*knownSign
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
		cfg:       cfg,
		started:   now,
		suspected: metrics.GetOrRegisterCounter("membership.suspected", cfg.Metrics),
		refuted:   metrics.GetOrRegisterCounter("membership.refuted", cfg.Metrics),
		random:    cfg.Random,
		members:   make(map[string]*member),
		planners:  make(map[string]string),
		asked:     make(map[tamarackknot.Process]time.Time),
		signs:     make(map[uint64]*knownSign),
		lastTick:  now,
	}
	m.gate.init(now)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.self = m.add(cfg.Host.Name, now)
	m.self.host = cfg.Host
	m.self.restart(id, now)
	m.self.earliest, m.self.latest, m.self.boundsAt = now, now, now
	m.markChanged(m.self, now)
	cfg.Peers.Handle(methodGossip, m.handleGossip)
	cfg.Peers.Handle(methodMembers, m.handleMembers)
	return m, nil
}

// Start begins to gossip and to poll the host list until Close.
func (m *Membership) Start() {
	js := m.cfg.Journal()
	m.mu.Lock()
	m.refreshGate(time.Now(), js) // others may ask before the first round
	m.mu.Unlock()
	m.running.Add(3)
	go m.run()
	go m.pollHosts()
	go m.fetchMembers()
}

// Close ends the goroutines and waits for them. It announces nothing; see
// Leave.
func (m *Membership) Close() {
	m.cancel()
	m.running.Wait()
}

// Self returns this host as it presents itself to the others.
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

// PeerAddress returns the peer address of a host; it is the resolver of
// peer.Config.
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
// rendezvous hashing over the members that are neither dead, leaving nor
// stale. Without any such member it is this host.
func (m *Membership) Planner(deployment string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if host, ok := m.planners[deployment]; ok {
		return host
	}
	best, bestScore := m.self.host.Name, uint64(0)
	for _, mb := range m.byName {
		if !mb.known() || mb.fault == faultDead || mb.standing != standingAlive {
			continue
		}
		if score := rendezvous(deployment, mb.host.Name); score > bestScore {
			best, bestScore = mb.host.Name, score
		}
	}
	m.planners[deployment] = best
	return best
}

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

func (m *Membership) forget(mb *member) {
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

// neighbours returns up to limit responsive members beside one on the ring,
// after it (step 1) or before it (step -1).
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

// markChanged makes the member's state spread in the next rounds. Four
// transmissions per decimal order of the number of members reach all of them
// with a probability of losing one below e^-8; repeats by the round-robin
// updates reach the rest.
func (m *Membership) markChanged(mb *member, now time.Time) {
	sends := 4
	for n := len(m.members); n > 0; n /= 10 {
		sends += 3
	}
	m.changes++
	mb.sends, mb.changed, mb.changedAt = sends, m.changes, now
	clear(m.planners)
}

// refreshSelf brings this host's own entry up to date.
func (m *Membership) refreshSelf(now time.Time) {
	s := standingAlive
	switch {
	case m.idle:
		s = standingIdle
	case m.leaving.Load():
		s = standingLeaving
	case m.gate.status(now) != GateReady:
		s = standingStale
	}
	if s != m.self.standing {
		m.self.standing = s
		m.markChanged(m.self, now)
	}
}
