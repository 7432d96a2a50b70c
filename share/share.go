// Package share divides limits that hold for all entry hosts together. Hosts do not
// agree on a division; each derives its own from the list of registered hosts that the
// planner sends, under rules that keep the sum within the limit while hosts are
// killed, restarted, cut off, suspended, replaced and added. docs/platform.md proves it.
package share

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"tamarackknot.example/tamarackknot/internal/times"
)

const (
	// listTimeout is how long a host relies on a list after its receipt.
	listTimeout = 900 * time.Millisecond
	// maxListAge is the maximum time between the planner's read of the list and its
	// receipt by a host, which knows it to within the time of an exchange of messages.
	maxListAge = 4 * time.Second
	// maxSilence is the longest time between two lists after which a host still
	// relies on what it heard before. It covers the change of a lost planner.
	maxSilence = 5 * time.Second
	// memory, added to the window of the limits, is how long a host remembers lists.
	memory = maxListAge + listTimeout + maxSilence
	// probation, added to the window of the limits, is how long a host must have
	// received lists before it uses its share.
	probation = memory + maxListAge
)

const (
	// baseSharers is the number of hosts that share a rate below one request a second;
	// each request a second adds one.
	baseSharers = 4
	// placeSharers is the number of hosts that share the places of an endpoint.
	placeSharers = 3
	// minRate, in requests a second, is the rate of all hosts at an endpoint that takes
	// none, so that they learn when it does again.
	minRate = 0.1
)

// Config configures Hosts.
type Config struct {
	// Self is the name of this host.
	Self string
	// Window is the longest window of the limits.
	Window time.Duration
	// Clock returns the time since boot, including the time of suspension. Nil
	// means the system's clock.
	Clock  func() time.Duration
	Logger *log.Logger
}

// Hosts tells a host among how many hosts the limits are divided.
type Hosts struct {
	cfg Config

	mu sync.Mutex
	// lists holds the lists within the memory, oldest first; equal ones in a row are
	// one. since is the receipt of the first list after the last long silence.
	lists   []hostList
	since   time.Duration
	sharing bool // the last result of mayShare
	// sharers caches Rate: the number of hosts that share the rate of a key, 0 if this
	// host is not one of them. It is cleared when the lists change.
	sharers map[rateKey]int
	// names are those of the last list. places caches Places and is cleared when they change.
	names  []string
	places map[placeKey]placeShare
}

// placeKey identifies a number of places at an endpoint.
type placeKey struct {
	name   string
	places int
}

// placeShare is the part of the places that this host has, and the host of each other one.
type placeShare struct {
	own    int
	others []string
}

type rateKey struct {
	name  string
	hosts int // at most as many share the rate
}

// hostList is a list of registered hosts, received repeatedly until last.
type hostList struct {
	names []string
	last  time.Duration
}

// New returns a Hosts that knows no host.
func New(cfg Config) *Hosts {
	if cfg.Clock == nil {
		cfg.Clock = times.SinceBoot
	}
	return &Hosts{cfg: cfg, sharers: make(map[rateKey]int), places: make(map[placeKey]placeShare)}
}

// Observe records a list of the registered hosts, in order, that the planner read the
// given time ago. The list must not be changed afterwards.
func (h *Hosts) Observe(names []string, age time.Duration) {
	if age > maxListAge {
		return
	}
	now := h.cfg.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Equal(h.names, names) {
		h.names = names
		clear(h.places)
	}
	n := len(h.lists)
	if n == 0 || now-h.lists[n-1].last > maxSilence {
		h.lists, h.since, n = nil, now, 0
		clear(h.sharers)
	}
	if n > 0 && slices.Equal(h.lists[n-1].names, names) {
		h.lists[n-1].last = now
	} else {
		h.lists = append(h.lists, hostList{names: names, last: now})
		clear(h.sharers)
	}
	for h.lists[0].last < now-h.cfg.Window-memory {
		h.lists = h.lists[1:]
		clear(h.sharers)
	}
}

// Count returns the number of hosts among which the limits are divided. It is 0 while
// this host must not use a share: it does not hear the planner, or it has not heard it
// for long enough to know all hosts that may use theirs and to be known by them.
func (h *Hosts) Count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	if h.mayShare(h.cfg.Clock()) {
		for _, l := range h.lists {
			count = max(count, len(l.names))
		}
	}
	return count
}

// mayShare reports whether this host may use its share, and logs when that changes. h.mu
// is held.
func (h *Hosts) mayShare(now time.Duration) bool {
	n := len(h.lists)
	may := n > 0 && now-h.lists[n-1].last <= listTimeout && now-h.since >= h.cfg.Window+probation
	if may != h.sharing {
		h.sharing = may
		h.cfg.Logger.Info("share of limits changed", "uses", may)
	}
	return may
}

// Rate returns the requests a second that this host may send, where all hosts together
// may send perSecond, to the endpoint of a name. A few hosts share the rate, chosen by
// hashing their names: each may send a request at any time, and those of all hosts at
// once would exceed a low rate.
func (h *Hosts) Rate(name string, perSecond float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.mayShare(h.cfg.Clock()) {
		return 0
	}
	key := rateKey{name, baseSharers + int(min(perSecond, math.MaxInt32))}
	n, cached := h.sharers[key]
	if !cached {
		n = h.countSharers(key)
		h.sharers[key] = n
	}
	if n == 0 {
		return 0
	}
	return max(perSecond, minRate) / float64(n)
}

// countSharers returns the number of hosts that share the rate of a key, 0 if this host
// is not one of them. h.mu is held.
func (h *Hosts) countSharers(key rateKey) int {
	names, before := make(map[string]bool), 0
	for _, l := range h.lists {
		for _, name := range l.names {
			names[name] = true
		}
	}
	self := rank(key.name, h.cfg.Self)
	for name := range names {
		if r := rank(key.name, name); r < self || r == self && name < h.cfg.Self {
			before++
		}
	}
	if before >= key.hosts {
		return 0
	}
	return min(len(names), key.hosts)
}

// Places returns how many of the requests that the endpoint of a name takes at once this
// host may send, and for each of the rest the host that may send it; nothing if no list was
// ever received. A few registered hosts share them, alive or not, chosen by hashing their names.
// So the division changes only when hosts are added or removed, and then differs between
// hosts for the time that a list takes to all of them. Unlike a share of a rate it lasts
// while no planner is heard. The names must not be changed.
func (h *Hosts) Places(name string, places int) (own int, others []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := placeKey{name, places}
	s, cached := h.places[key]
	if !cached {
		s = h.sharePlaces(key)
		h.places[key] = s
	}
	return s.own, s.others
}

// sharePlaces divides the places of a key among the first hosts of its order. h.mu is held.
func (h *Hosts) sharePlaces(key placeKey) placeShare {
	hosts := slices.Clone(h.names)
	slices.SortFunc(hosts, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(key.name, a), rank(key.name, b)), cmp.Compare(a, b))
	})
	n := min(len(hosts), key.places, placeSharers)
	var s placeShare
	for i, host := range hosts[:n] {
		share := key.places / n
		if i < key.places%n {
			share++
		}
		if host != h.cfg.Self {
			s.others = append(s.others, slices.Repeat([]string{host}, share)...)
			continue
		}
		s.own = share
	}
	return s
}

// rank orders the hosts for a name.
func rank(name, host string) uint64 { return xxhash.Sum64String(name + "\x00" + host) }
