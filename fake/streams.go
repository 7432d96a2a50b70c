package fake

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

var _ tamarackknot.Store = (*Streams)(nil)

// ErrNoAnswer is returned for an append that took effect but whose answer was
// lost.
var ErrNoAnswer = errors.New("no answer")

// Streams is an in-memory store of keyed streams with fault injection.
type Streams struct {
	mu          sync.Mutex
	records     map[tamarackknot.Stream][]tamarackknot.KeyedRecord
	first       map[tamarackknot.Stream]int64 // earliest offset that Read serves
	down        map[string]bool               // by client
	loseAnswers int                           // remaining number of appends whose answer is lost
}

// NewStreams returns an empty store.
func NewStreams() *Streams {
	return &Streams{
		records: make(map[tamarackknot.Stream][]tamarackknot.KeyedRecord),
		first:   make(map[tamarackknot.Stream]int64),
		down:    make(map[string]bool),
	}
}

// SetDown sets whether all calls of a client are refused.
func (s *Streams) SetDown(client string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[client] = down
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

// Client returns a connection of the named client.
func (s *Streams) Client(name string) *StreamsClient { return &StreamsClient{Streams: s, name: name} }

// StreamsClient is the connection of one client to Streams.
type StreamsClient struct {
	*Streams
	name string
}

// checkDown returns ErrRefused if the store is down for a client. The caller holds
// mu.
func (s *Streams) checkDown(client string) error {
	if s.down[client] {
		return tamarackknot.ErrRefused
	}
	return nil
}

// Newest implements tamarackknot.Store.
func (s *Streams) Newest(_ context.Context, stream tamarackknot.Stream) (tamarackknot.StreamPage, error) {
	return s.newest("", stream)
}

// Newest implements tamarackknot.Store.
func (c *StreamsClient) Newest(_ context.Context, stream tamarackknot.Stream) (tamarackknot.StreamPage, error) {
	return c.newest(c.name, stream)
}

func (s *Streams) newest(client string, stream tamarackknot.Stream) (tamarackknot.StreamPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkDown(client); err != nil {
		return tamarackknot.StreamPage{}, err
	}
	newestByKey := make(map[string]tamarackknot.KeyedRecord)
	for _, r := range s.records[stream] {
		newestByKey[r.Key] = r
	}
	end := int64(len(s.records[stream]))
	page := tamarackknot.StreamPage{End: end, Next: end}
	for _, r := range newestByKey {
		if r.Value != nil {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

// Read implements tamarackknot.Store.
func (s *Streams) Read(ctx context.Context, stream tamarackknot.Stream, from int64, deadline time.Time) (tamarackknot.StreamPage, error) {
	return s.read(ctx, "", stream, from, deadline)
}

// Read implements tamarackknot.Store.
func (c *StreamsClient) Read(ctx context.Context, stream tamarackknot.Stream, from int64, deadline time.Time) (tamarackknot.StreamPage, error) {
	return c.read(ctx, c.name, stream, from, deadline)
}

// streamsPollInterval is the interval at which a waiting read checks for records.
const streamsPollInterval = 10 * time.Millisecond

func (s *Streams) read(ctx context.Context, client string, stream tamarackknot.Stream, from int64, deadline time.Time) (tamarackknot.StreamPage, error) {
	for {
		s.mu.Lock()
		if err := s.checkDown(client); err != nil {
			s.mu.Unlock()
			return tamarackknot.StreamPage{}, err
		}
		if from < s.first[stream] {
			s.mu.Unlock()
			return tamarackknot.StreamPage{}, tamarackknot.ErrExpired
		}
		all := s.records[stream]
		end := int64(len(all))
		records := slices.Clone(all[min(from, end):])
		s.mu.Unlock()
		if len(records) > 0 || !time.Now().Before(deadline) {
			return tamarackknot.StreamPage{Records: records, End: end, Next: from + int64(len(records))}, nil
		}
		poll := time.NewTimer(streamsPollInterval)
		select {
		case <-ctx.Done():
			poll.Stop()
			return tamarackknot.StreamPage{}, ctx.Err()
		case <-poll.C:
		}
	}
}

// Put implements tamarackknot.Store.
func (s *Streams) Put(_ context.Context, stream tamarackknot.Stream, key string, value []byte) (int64, error) {
	return s.put("", stream, key, value, -1)
}

// PutAt implements tamarackknot.Store.
func (s *Streams) PutAt(_ context.Context, stream tamarackknot.Stream, key string, value []byte, end int64) (int64, error) {
	return s.put("", stream, key, value, end)
}

// Put implements tamarackknot.Store.
func (c *StreamsClient) Put(_ context.Context, stream tamarackknot.Stream, key string, value []byte) (int64, error) {
	return c.put(c.name, stream, key, value, -1)
}

// PutAt implements tamarackknot.Store.
func (c *StreamsClient) PutAt(_ context.Context, stream tamarackknot.Stream, key string, value []byte, end int64) (int64, error) {
	return c.put(c.name, stream, key, value, end)
}

// put appends a record. With end >= 0 it returns ErrConflict if the stream does not
// end there.
func (s *Streams) put(client string, stream tamarackknot.Stream, key string, value []byte, end int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkDown(client); err != nil {
		return 0, err
	}
	offset := int64(len(s.records[stream]))
	if end >= 0 && end != offset {
		return 0, tamarackknot.ErrConflict
	}
	s.records[stream] = append(s.records[stream], tamarackknot.KeyedRecord{Key: key, Value: value, Offset: offset})
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return 0, ErrNoAnswer
	}
	return offset, nil
}
