// Package admission decides what a host holds in memory for its callers and for other hosts,
// and which connections are closed when that does not fit. It performs no input or output.
//
// A decision to hold something takes no longer with more connections. Only the choice of a
// connection to close looks at all of them: 2,000 on the largest hosts.
package admission

import (
	"sync"
	"time"
)

// Kind is what memory is held for.
type Kind int

// The kinds of use.
const (
	// Connections: open connections of callers with their goroutine and buffers.
	Connections Kind = iota
	// Heads: heads of requests.
	Heads
	// Bodies: bodies of requests.
	Bodies
	// Requests: requests that wait for an endpoint or run there, with their goroutines and the
	// connection to the endpoint.
	Requests
	// Answers: answers that are read as a whole before the caller gets them.
	Answers
	// Streams: events of streams.
	Streams
	// Peers: connections and messages of other hosts.
	Peers
	kinds
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connections, Heads, Bodies, Requests, Answers, Streams, Peers} }

// String returns the name of the kind in metrics and log lines.
func (k Kind) String() string {
	names := [kinds]string{"connections", "heads", "bodies", "requests", "answers", "streams", "peers"}
	return names[k]
}

const (
	// ConnectionBytes is the memory of a connection without a request: 16 KB of stack and
	// buffers of net/http, and its entries in tables.
	ConnectionBytes = 24 << 10
	// RequestBytes is the memory of a request without its body: the stacks of up to four
	// goroutines, parsed headers, and the buffers of the connection to an endpoint.
	RequestBytes = 40 << 10
	// PeerBytes is the memory of a connection of another host.
	PeerBytes = 12 << 10
	// ordinaryBytes is what an ordinary request needs at most of one kind. Most prompts have a
	// few KB.
	ordinaryBytes = 64 << 10
	// ordinaryShare is the part of the limit of each kind that is left to those who hold no more
	// than ordinaryBytes: one in so many.
	ordinaryShare = 5
	// memoryShare is the part of a host's memory that is held for callers and other hosts. With
	// it and 64 MB for control the Go heap stays below the limit of 0.6 that the daemon sets,
	// on all but the smallest hosts under full load.
	memoryShare = 0.3
	// defaultMemoryMB is the memory of a host that names none.
	defaultMemoryMB = 512
	bytesPerMB      = 1 << 20
)

// Config configures a Budget.
type Config struct {
	// Bytes is the memory for everything that is held.
	Bytes int64
	// Connections limits the open connections of all groups that share them; 0 means that only
	// memory does.
	Connections int
}

// BytesOfHost returns the memory, in bytes, that a host with a memory in MB may hold for others.
// 0 means that its memory is not known.
func BytesOfHost(memoryMB int) int64 {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return int64(memoryShare * float64(memoryMB) * bytesPerMB)
}

// Budget is the memory of a host for what it holds for others. It is safe for concurrent use.
type Budget struct {
	cfg   Config
	start time.Time

	mu   sync.Mutex
	used [kinds]int64
	// leaving is what connections hold that have been chosen to be closed.
	leaving  int64
	accounts map[*Account]struct{}
	shared   int // open connections of groups that share them
	closing  int // connections that have been chosen to be closed and are not
}

// New returns a Budget. Times are counted from now on.
func New(cfg Config, now time.Time) *Budget {
	return &Budget{cfg: cfg, start: now, accounts: make(map[*Account]struct{})}
}

// Used returns what is held for a kind, in bytes.
func (b *Budget) Used(k Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[k]
}

// parts returns, in percent of the budget, up to how much a kind may use, and how much of that
// no other kind takes. What is not reserved, 45 percent, is for those that need it.
func parts(k Kind) (limit, reserved int64) {
	switch k {
	case Connections:
		return 40, 10
	case Heads:
		return 15, 5
	case Bodies, Answers:
		return 50, 10
	case Requests:
		return 50, 10
	case Streams:
		return 25, 5
	case Peers, kinds:
	}
	return 30, 5
}

// limit returns up to how much a kind may use for one who would hold so much of it.
func (b *Budget) limit(k Kind, held int64) int64 {
	percent, _ := parts(k)
	limit := b.cfg.Bytes * percent / 100
	if held > ordinaryBytes {
		limit -= limit / ordinaryShare
	}
	return limit
}

// fits reports whether n more bytes of a kind fit for one who would hold so much of it.
func (b *Budget) fits(k Kind, n, held int64) bool {
	if b.used[k]+n > b.limit(k, held) {
		return false
	}
	sum := int64(0)
	for _, other := range Kinds() {
		used := b.used[other]
		if other == k {
			used += n
		}
		_, reserved := parts(other)
		sum += max(used, b.cfg.Bytes*reserved/100)
	}
	return sum <= b.cfg.Bytes
}

// since returns a time as a number, for accounts.
func (b *Budget) since(now time.Time) int64 { return int64(now.Sub(b.start)) }
