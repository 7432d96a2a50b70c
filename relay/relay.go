// Package relay reads the streams of the platform's store through other entry
// hosts, and makes calls through them, while the store cannot be reached from this
// host.
package relay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	methodRecords = "relay.records"
	// hedgeDelay is how long after the long-poll deadline of a read a hedged
	// request goes to another host. A healthy store answers within a few
	// milliseconds of the deadline.
	hedgeDelay = 150 * time.Millisecond
	// stallTime is how long nothing more of an answer may arrive before a hedged request. While
	// a large configuration arrives over a slow link, that request would take the same link.
	stallTime = 400 * time.Millisecond
	// peerTimeout is the timeout of a call to one host.
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
	// HasFollowers reports whether other hosts rely on what this one has read, which then
	// asks others to read the store for it when it cannot. Nil means that none does.
	HasFollowers func() bool
	// StartHosts returns the hosts that this one asks when it reads a stream for the first
	// time, none if it reads the store itself; known is false while that is not known. Nil
	// means none.
	StartHosts func() (hosts []string, known bool)
	// IsCurrent reports whether this host has what the planner, which has read the stream
	// recently, knows of it. Nil means that it never does.
	IsCurrent func(tamarackknot.Stream) bool
	// IsUnchanged reports whether a record says nothing new to a host that has read the stream
	// up to a position of the same era and knows its key. Nil means that each does.
	IsUnchanged func(stream tamarackknot.Stream, rec tamarackknot.KeyedRecord, from tamarackknot.Position) bool
	Logger      *log.Logger
}

var _ tamarackknot.Store = (*Store)(nil)

// Store wraps the platform's store and uses other hosts while it does not answer.
type Store struct {
	tamarackknot.Store
	cfg Config

	mu      sync.Mutex
	mirrors map[tamarackknot.Stream]*mirror
	// announcedEra is the newest era that another host has announced.
	announcedEra int64
	transfers    map[string]*transfer // by host that gets them
	listings     map[tamarackknot.Stream]*listing
	split        splitParts   // of the last value that another host got
	partial      partialValue // of the last value that was fetched
	reader       string       // the host that last read the store for this one
}

// mirror holds the newest known record of each key of a stream, of one era of the
// store.
type mirror struct {
	records map[string]tamarackknot.KeyedRecord
	next    tamarackknot.Position
	// listed is the end of the last listing. Deletions before it are not known,
	// deletions after it are among the records.
	listed  int64
	readAt  time.Time // last read of the platform's store, by this host or a peer; zero: never
	relayed bool      // the last page came from another host
}

// recordsParams asks for the records from offset From of an era on. A host that sets Chunks
// fetches large values in chunks. One that sets Brief needs only the keys of records that say
// nothing new.
type recordsParams struct {
	Stream tamarackknot.Stream `json:"stream"`
	From   int64               `json:"from"`
	Era    int64               `json:"era,omitempty"`
	Chunks bool                `json:"chunks,omitempty"`
	Brief  bool                `json:"brief,omitempty"`
	// Listing asks for all records as one value. Earlier builds ignore it.
	Listing bool `json:"listing,omitempty"`
}

type recordsResult struct {
	Records []recordMessage `json:"records,omitempty"`
	// Unchanged holds the keys of the records that were left out.
	Unchanged []string `json:"unchanged,omitempty"`
	Next      int64    `json:"next"`
	Era       int64    `json:"era,omitempty"`
	// Full says that Records holds the newest record of each key.
	Full bool `json:"full,omitempty"`
	// AgeMs is the time since the platform's store was last read; -1 means never.
	AgeMs int64 `json:"ageMs"`
	// ListingBytes is the size of the value that holds all records, if it was asked for.
	// Current says that the host has what a planner knows that has read the store recently.
	ListingBytes int  `json:"listingBytes,omitempty"`
	Current      bool `json:"current,omitempty"`
}

// New returns a Store and registers its handler with cfg.Peers.
func New(cfg Config) *Store {
	s := &Store{Store: cfg.Store, cfg: cfg, mirrors: make(map[tamarackknot.Stream]*mirror), transfers: make(map[string]*transfer), listings: make(map[tamarackknot.Stream]*listing)}
	for _, stream := range cfg.Streams {
		s.mirrors[stream] = &mirror{records: make(map[string]tamarackknot.KeyedRecord)}
	}
	cfg.Peers.Handle(methodRecords, s.handleRecords)
	cfg.Peers.Handle(methodChunk, s.handleChunk)
	cfg.Peers.Handle(methodForward, s.handleForward)
	cfg.Peers.Handle(methodRead, s.handleRead)
	return s
}

// Era implements tamarackknot.Store. It includes what other hosts have announced.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.announcedEra, s.Store.Era())
}

// AnnounceEra records an era of the store that another host has learned of.
func (s *Store) AnnounceEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcedEra = max(s.announcedEra, era)
}

// Newest implements tamarackknot.Store.
func (s *Store) Newest(ctx context.Context, stream tamarackknot.Stream) (tamarackknot.StreamPage, error) {
	m := s.mirrors[stream]
	if m == nil {
		return s.list(ctx, stream)
	}
	if page, ok := s.startElsewhere(ctx, stream); ok {
		return page, nil
	}
	page, err := s.Store.Newest(ctx, stream)
	if err == nil && !s.mergeListing(m, page) {
		err = errors.Wrap(tamarackknot.ErrExpired, "the listing belongs to an earlier era of the store")
	}
	if err != nil {
		return s.readPeers(ctx, stream, tamarackknot.Position{}, err)
	}
	return page, nil
}

// mergeListing merges a listing of the platform's store into a mirror, unless
// the mirror already belongs to a later era.
func (s *Store) mergeListing(m *mirror, page tamarackknot.StreamPage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if page.Next.Era < m.next.Era {
		return false
	}
	m.merge(page)
	return true
}

// Read implements tamarackknot.Store.
func (s *Store) Read(ctx context.Context, stream tamarackknot.Stream, from tamarackknot.Position, deadline time.Time) (tamarackknot.StreamPage, error) {
	if s.mirrors[stream] == nil {
		return s.Store.Read(ctx, stream, from, deadline)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	arriving := make(chan struct{}, 1)
	r := &pendingRead{store: s, stream: stream, from: from, wait: deadline, done: make(chan readResult, 1)}
	go r.run(tamarackknot.WithAnswerHook(ctx, func() { wait.Wake(arriving) }))
	hedge := time.NewTimer(max(time.Until(deadline), 0) + hedgeDelay)
	defer hedge.Stop()
	for pending := true; pending; {
		select {
		case res := <-r.done:
			return s.finishRead(ctx, stream, from, deadline, res)
		case <-arriving:
			hedge.Reset(stallTime)
		case <-hedge.C:
			pending = false
		}
	}
	if page, err := s.readElsewhere(ctx, stream, from, deadline, errStorePending); err == nil {
		return page, nil
	}
	return s.finishRead(ctx, stream, from, deadline, <-r.done)
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
	from   tamarackknot.Position
	wait   time.Time
	done   chan readResult
}

func (r *pendingRead) run(ctx context.Context) {
	page, err := r.store.Store.Read(ctx, r.stream, r.from, r.wait)
	r.done <- readResult{page, err}
}

// finishRead merges a page of the platform's store into the mirror, or reads
// through other hosts if the read failed.
func (s *Store) finishRead(ctx context.Context, stream tamarackknot.Stream, from tamarackknot.Position, deadline time.Time, res readResult) (tamarackknot.StreamPage, error) {
	if errors.Is(res.err, tamarackknot.ErrExpired) {
		return res.page, res.err
	}
	if res.err != nil {
		return s.readElsewhere(ctx, stream, from, deadline, res.err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mirrors[stream].merge(res.page)
	return res.page, nil
}

// readElsewhere reads a stream without the store: if others rely on this host, by another
// host that reads the store for it, otherwise what other hosts have mirrored. It returns cause
// if that fails.
func (s *Store) readElsewhere(ctx context.Context, stream tamarackknot.Stream, from tamarackknot.Position, deadline time.Time, cause error) (tamarackknot.StreamPage, error) {
	if s.cfg.HasFollowers != nil && s.cfg.HasFollowers() {
		page, err := s.readThrough(ctx, stream, from, deadline)
		if err == nil || errors.Is(err, tamarackknot.ErrExpired) {
			return page, err
		}
	}
	return s.readPeers(ctx, stream, from, cause)
}

// errNothingNewer says that another host has no records that this one lacks.
var errNothingNewer = errors.New("the other host has nothing newer")

// ReadNewer returns the records of a stream that another host has mirrored and this one has
// not, from the given host or, if its name is empty, from one chosen at random. It returns
// an error if the host has none. A host that has not seen a restore of the store yet may
// have records that the older copy lacks.
func (s *Store) ReadNewer(ctx context.Context, host string, stream tamarackknot.Stream) (tamarackknot.StreamPage, error) {
	if host == "" {
		hosts := s.randomHosts(1)
		if len(hosts) == 0 {
			return tamarackknot.StreamPage{}, errNoHost
		}
		host = hosts[0]
	}
	s.mu.Lock()
	from := s.mirrors[stream].next
	s.mu.Unlock()
	r, err := s.askRecords(ctx, host, stream, from, nil)
	if err != nil {
		return tamarackknot.StreamPage{}, err
	}
	next := r.next()
	if r.AgeMs < 0 || next.Era == from.Era && next.Offset <= from.Offset || next.Era != from.Era && !r.Full {
		return tamarackknot.StreamPage{}, errNothingNewer
	}
	return s.acceptPage(ctx, host, stream, r)
}

// askRecords asks a host for the records of a stream from a position on. If known is set,
// those are left out that say nothing new and whose key it reports as known.
func (s *Store) askRecords(ctx context.Context, host string, stream tamarackknot.Stream, from tamarackknot.Position, known func(string) bool) (recordsResult, error) {
	var r recordsResult
	p := recordsParams{Stream: stream, From: from.Offset, Era: from.Era, Chunks: true, Brief: known != nil}
	err := s.callHost(ctx, host, methodRecords, p, &r)
	switch {
	case err != nil:
		return r, err
	case known == nil && len(r.Unchanged) > 0:
		return r, errors.New("the other host left out records that it was asked for")
	case slices.ContainsFunc(r.Unchanged, func(key string) bool { return !known(key) }):
		return s.askRecords(ctx, host, stream, from, nil)
	}
	return r, nil
}

// acceptPage completes the records of another host and merges them into the mirror.
func (s *Store) acceptPage(ctx context.Context, host string, stream tamarackknot.Stream, r recordsResult) (tamarackknot.StreamPage, error) {
	if err := s.fetchValues(ctx, host, stream, r.Era, r.Records); err != nil {
		return tamarackknot.StreamPage{}, err
	}
	page := tamarackknot.StreamPage{Records: keyedRecords(r.Records), End: r.next(), Next: r.next(), Full: r.Full, Relayed: true}
	s.mergeRelayed(stream, page, r)
	return page, nil
}

// mergeRelayed merges a page that another host has read into the mirror.
func (s *Store) mergeRelayed(stream tamarackknot.Stream, page tamarackknot.StreamPage, r recordsResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mirrors[stream]
	m.merge(page)
	m.readAt, m.relayed = time.Now().Add(-r.age()), true
}

// ReadPeer returns the records of a stream from a position on that a host has mirrored, without
// those that say nothing new and whose key is known. It fails if the host has not read the
// stream within maxPeerAge.
func (s *Store) ReadPeer(ctx context.Context, host string, stream tamarackknot.Stream, from tamarackknot.Position, known func(string) bool) (tamarackknot.StreamPage, error) {
	return s.readHosts(ctx, []string{host}, stream, from, known, errStorePending)
}

// readPeers reads a stream through up to maxPeers randomly chosen hosts. If none
// has newer or fresh enough data, it returns cause.
func (s *Store) readPeers(ctx context.Context, stream tamarackknot.Stream, from tamarackknot.Position, cause error) (tamarackknot.StreamPage, error) {
	return s.readHosts(ctx, s.randomHosts(maxPeers), stream, from, nil, cause)
}

// randomHosts returns up to n other hosts in random order.
func (s *Store) randomHosts(n int) []string {
	hosts := s.cfg.Hosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(len(hosts), n)]
}

// callHost calls a method of another host with peerTimeout.
func (s *Store) callHost(ctx context.Context, host, method string, params, result any) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(peerTimeout))
	defer cancel()
	return s.cfg.Peers.Call(ctx, host, method, params, result)
}

// readHosts tries the hosts in order and merges the first usable answer into the
// mirror.
func (s *Store) readHosts(ctx context.Context, hosts []string, stream tamarackknot.Stream, from tamarackknot.Position, known func(string) bool, cause error) (tamarackknot.StreamPage, error) {
	for _, host := range hosts {
		r, err := s.askRecords(ctx, host, stream, from, known)
		if err != nil {
			s.cfg.Logger.Debug("cannot read stream through host", "host", host, "stream", stream, "error", err)
			continue
		}
		next := r.next()
		if order := next.Compare(from); r.AgeMs < 0 || order < 0 || (order == 0 || known != nil) && r.age() > maxPeerAge {
			continue
		}
		if next.Era != from.Era && !r.Full {
			s.cfg.Logger.Warn("relayed page rejected: it lacks the records of its era", "host", host, "stream", stream, "era", next.Era, "expected", from.Era)
			continue
		}
		s.mu.Lock()
		first := !s.mirrors[stream].relayed && !errors.Is(cause, errStorePending)
		s.mu.Unlock()
		page, err := s.acceptPage(ctx, host, stream, r)
		if err != nil {
			s.cfg.Logger.Debug("cannot fetch value through host", "host", host, "stream", stream, "error", err)
			continue
		}
		if first {
			s.cfg.Logger.Info("stream read through another host", "stream", stream, "host", host, "records", len(r.Records), "age", r.age())
		}
		return page, nil
	}
	return tamarackknot.StreamPage{}, cause
}

// next returns the end of the records.
func (r recordsResult) next() tamarackknot.Position {
	return tamarackknot.Position{Era: r.Era, Offset: r.Next}
}

func (r recordsResult) age() time.Duration { return time.Duration(r.AgeMs) * time.Millisecond }

// keyedRecords returns the records of complete messages.
func keyedRecords(messages []recordMessage) []tamarackknot.KeyedRecord {
	out := make([]tamarackknot.KeyedRecord, 0, len(messages))
	for _, m := range messages {
		out = append(out, m.KeyedRecord)
	}
	return out
}

func (s *Store) handleRecords(_ context.Context, caller string, params json.RawMessage) (any, error) {
	var p recordsParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	if p.Listing {
		return s.describeListing(p.Stream), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mirrors[p.Stream]
	if m == nil || m.readAt.IsZero() {
		return recordsResult{AgeMs: -1}, nil
	}
	r := recordsResult{
		Next: m.next.Offset, Era: m.next.Era, AgeMs: time.Since(m.readAt).Milliseconds(),
		Full: p.From < m.listed || m.next.Era != p.Era,
	}
	from := tamarackknot.Position{Era: p.Era, Offset: p.From}
	for _, rec := range m.records {
		switch {
		case !r.Full && rec.Offset < p.From:
		case !r.Full && p.Brief && rec.Value != nil && s.cfg.IsUnchanged != nil && s.cfg.IsUnchanged(p.Stream, rec, from):
			r.Unchanged = append(r.Unchanged, rec.Key)
		default:
			r.Records = append(r.Records, recordMessage{KeyedRecord: rec})
		}
	}
	switch {
	case p.Chunks:
		keepBack(r.Records)
	case largest(r.Records) > maxInlineBytes && !s.admit(caller, &transfer{until: time.Now().Add(inlineTransferTime)}):
		// A host that does not know chunks then asks another one.
		return recordsResult{AgeMs: -1}, nil
	}
	return r, nil
}

// merge applies a page. A full page replaces all records unless it is older than
// them. Pages of an earlier era are ignored.
func (m *mirror) merge(page tamarackknot.StreamPage) {
	if page.Next.Era < m.next.Era {
		return
	}
	if page.Full && page.Next.Compare(m.next) >= 0 {
		clear(m.records)
		m.listed = page.Next.Offset
	}
	for _, rec := range page.Records {
		if old, ok := m.records[rec.Key]; !ok || old.Offset <= rec.Offset {
			m.records[rec.Key] = rec
		}
	}
	if page.Next.Compare(m.next) > 0 {
		m.next = page.Next
	}
	m.readAt, m.relayed = time.Now(), false
}
