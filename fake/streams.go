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

// ErrNoAnswer is what a call gets whose answer is lost.
var ErrNoAnswer = errors.New("no answer")

// Streams is an in-memory store of keyed streams with switchable faults.
type Streams struct {
	mu      sync.Mutex
	records map[tamarackknot.Stream][]tamarackknot.KeyedRecord
	first   map[tamarackknot.Stream]int64
	down    map[string]bool
	lost    int // appends to come that are done and not answered
}

// NewStreams returns an empty store.
func NewStreams() *Streams {
	return &Streams{
		records: make(map[tamarackknot.Stream][]tamarackknot.KeyedRecord),
		first:   make(map[tamarackknot.Stream]int64),
		down:    make(map[string]bool),
	}
}

// SetDown has all calls of a client refused, or served again.
func (s *Streams) SetDown(client string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[client] = down
}

// LoseAnswers has the next n appends done and not answered.
func (s *Streams) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = n
}

// Forget expires all records of a stream; the newest of each key is kept.
func (s *Streams) Forget(stream tamarackknot.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first[stream] = int64(len(s.records[stream]))
}

// Client returns the store as one client sees it.
func (s *Streams) Client(name string) *StreamsClient { return &StreamsClient{Streams: s, name: name} }

// StreamsClient is one client of a Streams.
type StreamsClient struct {
	*Streams
	name string
}

func (s *Streams) refused(client string) error {
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
	if err := s.refused(client); err != nil {
		return tamarackknot.StreamPage{}, err
	}
	byKey := make(map[string]tamarackknot.KeyedRecord)
	for _, r := range s.records[stream] {
		byKey[r.Key] = r
	}
	end := int64(len(s.records[stream]))
	page := tamarackknot.StreamPage{End: end, Next: end}
	for _, r := range byKey {
		if r.Value != nil {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

// Read implements tamarackknot.Store.
func (s *Streams) Read(ctx context.Context, stream tamarackknot.Stream, from int64, wait time.Time) (tamarackknot.StreamPage, error) {
	return s.read(ctx, "", stream, from, wait)
}

// Read implements tamarackknot.Store.
func (c *StreamsClient) Read(ctx context.Context, stream tamarackknot.Stream, from int64, wait time.Time) (tamarackknot.StreamPage, error) {
	return c.read(ctx, c.name, stream, from, wait)
}

// streamsPoll is the pause between two looks of a waiting read.
const streamsPoll = 10 * time.Millisecond

func (s *Streams) read(ctx context.Context, client string, stream tamarackknot.Stream, from int64, wait time.Time) (tamarackknot.StreamPage, error) {
	for {
		s.mu.Lock()
		if err := s.refused(client); err != nil {
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
		if len(records) > 0 || !time.Now().Before(wait) {
			return tamarackknot.StreamPage{Records: records, End: end, Next: from + int64(len(records))}, nil
		}
		poll := time.NewTimer(streamsPoll)
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

func (s *Streams) put(client string, stream tamarackknot.Stream, key string, value []byte, end int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refused(client); err != nil {
		return 0, err
	}
	offset := int64(len(s.records[stream]))
	if end >= 0 && end != offset {
		return 0, tamarackknot.ErrConflict
	}
	s.records[stream] = append(s.records[stream], tamarackknot.KeyedRecord{Key: key, Value: value, Offset: offset})
	if s.lost > 0 {
		s.lost--
		return 0, ErrNoAnswer
	}
	return offset, nil
}
