// Package relay reads the streams of the platform's store through other entry
// hosts while the store cannot be reached from this host.
package relay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const (
	methodRecords = "relay.records"
	// hedgeDelay is how long after the long-poll deadline of a read a hedged
	// request goes to another host. A healthy store answers within a few
	// milliseconds of the deadline.
	hedgeDelay = 150 * time.Millisecond
	// peerTimeout is the timeout of a call to one host. A configuration of a few
	// hundred KB takes some tenths of a second on a slow link.
	peerTimeout = 600 * time.Millisecond
	// maxPeers is the maximum number of hosts tried, one after the other.
	maxPeers = 3
	// maxPeerAge is the maximum age of a host's last read for its answer "no new
	// records" to be accepted.
	maxPeerAge = 1500 * time.Millisecond
)

// Config configures a Store.
type Config struct {
	// Store is the platform's store.
	Store tamarackknot.Store
	Peers tamarackknot.Peers
	// Hosts returns the names of the other entry hosts. The result is shuffled in
	// place.
	Hosts func() []string
	// Streams are the streams that are mirrored and read through other hosts.
	Streams []tamarackknot.Stream
	Logger  *log.Logger
}

var _ tamarackknot.Store = (*Store)(nil)

// Store wraps the platform's store and reads its streams through other hosts
// while it does not answer. Appends go to the platform's store only.
type Store struct {
	tamarackknot.Store
	cfg Config

	mu      sync.Mutex
	mirrors map[tamarackknot.Stream]*mirror
}

// mirror holds the newest known record of each key of a stream, deletions
// included.
type mirror struct {
	records map[string]tamarackknot.KeyedRecord
	next    int64
	readAt  time.Time // last read of the platform's store, by this host or a peer; zero: never
	relayed bool      // the last page came from another host
}

type recordsParams struct {
	Stream tamarackknot.Stream `json:"stream"`
	From   int64               `json:"from"`
}

type recordsResult struct {
	Records []tamarackknot.KeyedRecord `json:"records,omitempty"`
	Next    int64                      `json:"next"`
	// AgeMs is the time since the platform's store was last read; -1 means never.
	AgeMs int64 `json:"ageMs"`
}

// New returns a Store and registers its handler with cfg.Peers.
func New(cfg Config) *Store {
	s := &Store{Store: cfg.Store, cfg: cfg, mirrors: make(map[tamarackknot.Stream]*mirror)}
	for _, stream := range cfg.Streams {
		s.mirrors[stream] = &mirror{records: make(map[string]tamarackknot.KeyedRecord)}
	}
	cfg.Peers.Handle(methodRecords, s.handleRecords)
	return s
}

// Newest implements tamarackknot.Store.
func (s *Store) Newest(ctx context.Context, stream tamarackknot.Stream) (tamarackknot.StreamPage, error) {
	page, err := s.Store.Newest(ctx, stream)
	m := s.mirrors[stream]
	if m == nil {
		return page, err
	}
	if err != nil {
		return s.readPeers(ctx, stream, 0, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m.replaceAll(page)
	return page, nil
}

// Read implements tamarackknot.Store.
func (s *Store) Read(ctx context.Context, stream tamarackknot.Stream, from int64, deadline time.Time) (tamarackknot.StreamPage, error) {
	if s.mirrors[stream] == nil {
		return s.Store.Read(ctx, stream, from, deadline)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &pendingRead{store: s, stream: stream, from: from, wait: deadline, done: make(chan readResult, 1)}
	go r.run(ctx)
	hedge := time.NewTimer(max(time.Until(deadline), 0) + hedgeDelay)
	defer hedge.Stop()
	select {
	case res := <-r.done:
		return s.finishRead(ctx, stream, from, res)
	case <-hedge.C:
	}
	if page, err := s.readPeers(ctx, stream, from, errStorePending); err == nil {
		return page, nil
	}
	return s.finishRead(ctx, stream, from, <-r.done)
}

// errStorePending is the cause of a hedged read while the store's answer is
// outstanding.
var errStorePending = errors.New("the store has not answered yet")

type readResult struct {
	page tamarackknot.StreamPage
	err  error
}

// pendingRead is a read of the platform's store in its own goroutine.
type pendingRead struct {
	store  *Store
	stream tamarackknot.Stream
	from   int64
	wait   time.Time
	done   chan readResult
}

func (r *pendingRead) run(ctx context.Context) {
	page, err := r.store.Store.Read(ctx, r.stream, r.from, r.wait)
	r.done <- readResult{page, err}
}

// finishRead merges a page of the platform's store into the mirror, or reads
// through other hosts if the read failed.
func (s *Store) finishRead(ctx context.Context, stream tamarackknot.Stream, from int64, res readResult) (tamarackknot.StreamPage, error) {
	if errors.Is(res.err, tamarackknot.ErrExpired) {
		return res.page, res.err
	}
	if res.err != nil {
		return s.readPeers(ctx, stream, from, res.err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mirrors[stream].merge(res.page)
	return res.page, nil
}

// ReadPeers returns the records of a stream from an offset on that another host
// has mirrored.
func (s *Store) ReadPeers(ctx context.Context, stream tamarackknot.Stream, from int64) (tamarackknot.StreamPage, error) {
	return s.readPeers(ctx, stream, from, errStorePending)
}

// ReadPeer is ReadPeers with a given host.
func (s *Store) ReadPeer(ctx context.Context, host string, stream tamarackknot.Stream, from int64) (tamarackknot.StreamPage, error) {
	return s.readHosts(ctx, []string{host}, stream, from, errStorePending)
}

// readPeers reads a stream through up to maxPeers randomly chosen hosts. If none
// has newer or fresh enough data, it returns cause.
func (s *Store) readPeers(ctx context.Context, stream tamarackknot.Stream, from int64, cause error) (tamarackknot.StreamPage, error) {
	hosts := s.cfg.Hosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return s.readHosts(ctx, hosts[:min(len(hosts), maxPeers)], stream, from, cause)
}

// readHosts tries the hosts in order and merges the first usable answer into the
// mirror.
func (s *Store) readHosts(ctx context.Context, hosts []string, stream tamarackknot.Stream, from int64, cause error) (tamarackknot.StreamPage, error) {
	for _, host := range hosts {
		var r recordsResult
		callCtx, cancel := context.WithDeadline(ctx, time.Now().Add(peerTimeout))
		err := s.cfg.Peers.Call(callCtx, host, methodRecords, recordsParams{stream, from}, &r)
		cancel()
		if err != nil {
			s.cfg.Logger.Debug("cannot read stream through host", "host", host, "stream", stream, "error", err)
			continue
		}
		age := time.Duration(r.AgeMs) * time.Millisecond
		if r.AgeMs < 0 || r.Next < from || r.Next == from && age > maxPeerAge {
			continue
		}
		page := tamarackknot.StreamPage{Records: r.Records, End: r.Next, Next: r.Next, Relayed: true}
		s.mu.Lock()
		m := s.mirrors[stream]
		m.merge(page)
		first := !m.relayed && !errors.Is(cause, errStorePending)
		m.readAt, m.relayed = time.Now().Add(-age), true
		s.mu.Unlock()
		if first {
			s.cfg.Logger.Info("stream read through another host", "stream", stream, "host", host, "records", len(r.Records), "age", age)
		}
		return page, nil
	}
	return tamarackknot.StreamPage{}, cause
}

func (s *Store) handleRecords(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var p recordsParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mirrors[p.Stream]
	if m == nil || m.readAt.IsZero() {
		return recordsResult{AgeMs: -1}, nil
	}
	r := recordsResult{Next: m.next, AgeMs: time.Since(m.readAt).Milliseconds()}
	for _, rec := range m.records {
		if rec.Offset >= p.From {
			r.Records = append(r.Records, rec)
		}
	}
	return r, nil
}

// replaceAll applies a full listing. Keys missing from it are marked as deleted.
func (m *mirror) replaceAll(page tamarackknot.StreamPage) {
	listed := make(map[string]bool, len(page.Records))
	for _, rec := range page.Records {
		listed[rec.Key] = true
	}
	for key, rec := range m.records {
		if !listed[key] && rec.Value != nil {
			m.records[key] = tamarackknot.KeyedRecord{Key: key, Offset: max(page.Next-1, 0)}
		}
	}
	m.merge(page)
}

// merge adds the records of a page that are not older than the known ones.
func (m *mirror) merge(page tamarackknot.StreamPage) {
	for _, rec := range page.Records {
		if old, ok := m.records[rec.Key]; !ok || old.Offset <= rec.Offset {
			m.records[rec.Key] = rec
		}
	}
	m.next, m.readAt, m.relayed = max(m.next, page.Next), time.Now(), false
}
