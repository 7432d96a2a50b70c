package fake

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

var _ tamarackknot.Store = (*Streams)(nil)

// ErrNoAnswer is returned for an append that took effect but whose answer was
// lost.
var ErrNoAnswer = errors.New("no answer")

const (
	// storeAnswerTimeout is how long a client waits for a store that is silent, and
	// storeBodyTimeout for the rest of an answer that has begun.
	storeAnswerTimeout = 700 * time.Millisecond
	storeBodyTimeout   = 4 * time.Second
	// answerPartBytes is how much of an answer arrives between two calls of the hooks.
	answerPartBytes = windowPackets * packetBytes
)

// Streams is an in-memory store of keyed streams with fault injection.
type Streams struct {
	mu          sync.Mutex
	records     map[tamarackknot.Stream][]timedRecord
	first       map[tamarackknot.Stream]int64 // earliest offset that Read serves
	down        map[string]bool               // by client
	silent      bool
	era         int64
	loseAnswers int                         // remaining number of appends whose answer is lost
	delayed     map[tamarackknot.Stream]int // remaining number of appends that are executed late
	appendDelay time.Duration
	links       *Links
	calls       map[Call]int // also those that were refused
}

// timedRecord is a record with the time of its append.
type timedRecord struct {
	tamarackknot.KeyedRecord
	at time.Time
}

// NewStreams returns an empty store.
func NewStreams() *Streams {
	return &Streams{
		records: make(map[tamarackknot.Stream][]timedRecord),
		first:   make(map[tamarackknot.Stream]int64),
		down:    make(map[string]bool),
		delayed: make(map[tamarackknot.Stream]int),
		calls:   make(map[Call]int),
	}
}

// Call is a kind of call.
type Call struct {
	Operation string // newest, read or put
	Stream    tamarackknot.Stream
}

// Calls returns the number of calls so far, also of those that were refused.
func (s *Streams) Calls() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// count counts a call.
func (s *Streams) count(operation string, stream tamarackknot.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[Call{operation, stream}]++
}

// SetDown sets whether all calls of a client are refused.
func (s *Streams) SetDown(client string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[client] = down
}

// SetSilent sets whether the store leaves all calls unanswered. Appends that are
// sent meanwhile have no effect.
func (s *Streams) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// Restore replaces the contents by a copy of the given age: the records appended
// since are lost, their offsets are assigned again and the era rises by one.
func (s *Streams) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	copiedAt := time.Now().Add(-age)
	for stream, kept := range s.records {
		for len(kept) > 0 && kept[len(kept)-1].at.After(copiedAt) {
			kept = kept[:len(kept)-1]
		}
		s.records[stream] = slices.Clip(kept)
		s.first[stream] = min(s.first[stream], int64(len(kept)))
	}
}

// DelayAppends makes the next n appends to a stream return ErrNoAnswer. They are
// executed after the delay if their condition holds then.
func (s *Streams) DelayAppends(stream tamarackknot.Stream, n int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayed[stream], s.appendDelay = n, delay
}

// LoseAnswers makes the next n appends take effect but return ErrNoAnswer.
func (s *Streams) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// ExpireAll expires all records of a stream. Newest still returns the newest
// record of each key.
func (s *Streams) ExpireAll(stream tamarackknot.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first[stream] = int64(len(s.records[stream]))
}

// SetLinks makes the answers to reads take the links of the clients, which give up on one
// that does not arrive in time. It must be called before the first call.
func (s *Streams) SetLinks(l *Links) { s.links = l }

// receive waits until a page has reached a client.
func (s *Streams) receive(ctx context.Context, client string, page tamarackknot.StreamPage) error {
	if s.links == nil {
		return nil
	}
	size := 0
	for _, r := range page.Records {
		size += len(r.Key) + len(r.Value)
	}
	first := min(size, packetBytes)
	head, cancel := context.WithDeadline(ctx, time.Now().Add(storeAnswerTimeout))
	defer cancel()
	if !s.links.Transfer(head, "", client, first) {
		return ErrNoAnswer
	}
	body, cancel := context.WithDeadline(ctx, time.Now().Add(storeBodyTimeout))
	defer cancel()
	for left := size - first; left > 0; left -= answerPartBytes {
		tamarackknot.CallAnswerHooks(ctx)
		if !s.links.Transfer(body, "", client, min(left, answerPartBytes)) {
			return ErrNoAnswer
		}
	}
	return nil
}

// Client returns a connection of the named client.
func (s *Streams) Client(name string) *StreamsClient { return &StreamsClient{Streams: s, name: name} }

// StreamsClient is the connection of one client to Streams.
type StreamsClient struct {
	*Streams
	name string
}

// Era implements tamarackknot.Store.
func (s *Streams) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// available returns ErrRefused if the store is down for a client. While the store
// is silent it waits, and returns ErrNoAnswer at the client's timeout.
func (s *Streams) available(ctx context.Context, client string) error {
	for deadline := time.Now().Add(storeAnswerTimeout); ; {
		s.mu.Lock()
		down, silent := s.down[client], s.silent
		s.mu.Unlock()
		switch {
		case down:
			return tamarackknot.ErrRefused
		case !silent:
			return nil
		case !time.Now().Before(deadline) || !wait.For(ctx, streamsPollInterval):
			return ErrNoAnswer
		}
	}
}

// Newest implements tamarackknot.Store.
func (s *Streams) Newest(ctx context.Context, stream tamarackknot.Stream) (tamarackknot.StreamPage, error) {
	return s.Client("").Newest(ctx, stream)
}

// Newest implements tamarackknot.Store.
func (c *StreamsClient) Newest(ctx context.Context, stream tamarackknot.Stream) (tamarackknot.StreamPage, error) {
	return c.newest(ctx, c.name, stream)
}

func (s *Streams) newest(ctx context.Context, client string, stream tamarackknot.Stream) (tamarackknot.StreamPage, error) {
	s.count("newest", stream)
	if err := s.available(ctx, client); err != nil {
		return tamarackknot.StreamPage{}, err
	}
	page := s.newestPage(stream)
	return page, s.receive(ctx, client, page)
}

// newestPage returns the newest record of each key.
func (s *Streams) newestPage(stream tamarackknot.Stream) tamarackknot.StreamPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	newestByKey := make(map[string]tamarackknot.KeyedRecord)
	for _, r := range s.records[stream] {
		newestByKey[r.Key] = r.KeyedRecord
	}
	end := tamarackknot.Position{Era: s.era, Offset: int64(len(s.records[stream]))}
	page := tamarackknot.StreamPage{End: end, Next: end, Full: true}
	for _, r := range newestByKey {
		if r.Value != nil {
			page.Records = append(page.Records, r)
		}
	}
	return page
}

// Read implements tamarackknot.Store.
func (s *Streams) Read(ctx context.Context, stream tamarackknot.Stream, from tamarackknot.Position, deadline time.Time) (tamarackknot.StreamPage, error) {
	return s.Client("").Read(ctx, stream, from, deadline)
}

// Read implements tamarackknot.Store.
func (c *StreamsClient) Read(ctx context.Context, stream tamarackknot.Stream, from tamarackknot.Position, deadline time.Time) (tamarackknot.StreamPage, error) {
	return c.read(ctx, c.name, stream, from, deadline)
}

// streamsPollInterval is the interval at which a waiting read checks for records.
const streamsPollInterval = 10 * time.Millisecond

func (s *Streams) read(ctx context.Context, client string, stream tamarackknot.Stream, from tamarackknot.Position, deadline time.Time) (tamarackknot.StreamPage, error) {
	s.count("read", stream)
	for {
		if err := s.available(ctx, client); err != nil {
			return tamarackknot.StreamPage{}, err
		}
		page, err := s.pageFrom(stream, from)
		if err != nil {
			return page, err
		}
		if len(page.Records) > 0 || !time.Now().Before(deadline) {
			return page, s.receive(ctx, client, page)
		}
		if !wait.For(ctx, streamsPollInterval) {
			return tamarackknot.StreamPage{}, ctx.Err()
		}
	}
}

// pageFrom returns the records from a position on.
func (s *Streams) pageFrom(stream tamarackknot.Stream, from tamarackknot.Position) (tamarackknot.StreamPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.records[stream]
	if from.Era != s.era || from.Offset < s.first[stream] || from.Offset > int64(len(all)) {
		return tamarackknot.StreamPage{}, tamarackknot.ErrExpired
	}
	page := tamarackknot.StreamPage{End: tamarackknot.Position{Era: s.era, Offset: int64(len(all))}}
	page.Next = page.End
	for _, r := range all[from.Offset:] {
		page.Records = append(page.Records, r.KeyedRecord)
	}
	return page, nil
}

// anyEnd makes an append unconditional.
const anyEnd = -1

// Put implements tamarackknot.Store.
func (s *Streams) Put(ctx context.Context, stream tamarackknot.Stream, key string, value []byte) (tamarackknot.Position, error) {
	return s.Client("").Put(ctx, stream, key, value)
}

// PutAt implements tamarackknot.Store.
func (s *Streams) PutAt(ctx context.Context, stream tamarackknot.Stream, key string, value []byte, end tamarackknot.Position) (tamarackknot.Position, error) {
	return s.Client("").PutAt(ctx, stream, key, value, end)
}

// Put implements tamarackknot.Store.
func (c *StreamsClient) Put(ctx context.Context, stream tamarackknot.Stream, key string, value []byte) (tamarackknot.Position, error) {
	return c.put(ctx, c.name, stream, tamarackknot.KeyedRecord{Key: key, Value: value}, anyEnd)
}

// PutAt implements tamarackknot.Store.
func (c *StreamsClient) PutAt(ctx context.Context, stream tamarackknot.Stream, key string, value []byte, end tamarackknot.Position) (tamarackknot.Position, error) {
	at, err := c.put(ctx, c.name, stream, tamarackknot.KeyedRecord{Key: key, Value: value}, end.Offset)
	return at, checkEra(at, end, err)
}

// checkEra returns ErrRestored if an append succeeded in another era than that
// of its expected end.
func checkEra(at, end tamarackknot.Position, err error) error {
	if err == nil && at.Era != end.Era {
		return tamarackknot.ErrRestored
	}
	return err
}

// put appends a record. Unless end is anyEnd, it returns ErrConflict if the stream
// does not end there.
func (s *Streams) put(ctx context.Context, client string, stream tamarackknot.Stream, r tamarackknot.KeyedRecord, end int64) (tamarackknot.Position, error) {
	s.count("put", stream)
	if err := s.available(ctx, client); err != nil {
		return tamarackknot.Position{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayed[stream] > 0 {
		s.delayed[stream]--
		time.AfterFunc(s.appendDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.append(stream, r, end) // nobody waits for the answer
		})
		return tamarackknot.Position{}, ErrNoAnswer
	}
	at, err := s.append(stream, r, end)
	if err == nil && s.loseAnswers > 0 {
		s.loseAnswers--
		return tamarackknot.Position{}, ErrNoAnswer
	}
	return at, err
}

// append adds a record to a stream. s.mu is held.
func (s *Streams) append(stream tamarackknot.Stream, r tamarackknot.KeyedRecord, end int64) (tamarackknot.Position, error) {
	r.Offset = int64(len(s.records[stream]))
	if end != anyEnd && end != r.Offset {
		return tamarackknot.Position{}, tamarackknot.ErrConflict
	}
	s.records[stream] = append(s.records[stream], timedRecord{r, time.Now()})
	return tamarackknot.Position{Era: s.era, Offset: r.Offset}, nil
}
