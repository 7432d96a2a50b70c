package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const (
	methodChunk = "relay.chunk"
	// maxInlineBytes is the size of a value above which a host fetches it in chunks, so
	// that a call never takes longer than its timeout because of its size.
	maxInlineBytes = 32 << 10
	chunkBytes     = 64 << 10
	maxValueBytes  = 64 << 20
	// maxTransfers is the number of hosts that get values in chunks from this one at the
	// same time. With more of them, each would take longer and pass the value on later.
	maxTransfers = 3
	// transferTimeout is how long a transfer counts after its last chunk.
	transferTimeout = 300 * time.Millisecond
	// inlineTransferTime is how long a value counts as a transfer that is sent whole to a
	// host which does not know chunks.
	inlineTransferTime = time.Second
)

// recordMessage is a record whose value is kept back if Bytes is not 0.
type recordMessage struct {
	tamarackknot.KeyedRecord
	Bytes int `json:"bytes,omitempty"`
}

// valueID identifies the value of a record.
type valueID struct {
	stream tamarackknot.Stream
	key    string
	era    int64
	offset int64
}

// chunkParams asks for parts of a value by their indices, or for its manifest if there are
// none.
type chunkParams struct {
	Stream tamarackknot.Stream `json:"stream"`
	Key    string              `json:"key"`
	Era    int64               `json:"era,omitempty"`
	Offset int64               `json:"offset"`
	Parts  []int               `json:"parts,omitempty"`
	// Last says that the host needs no more of the value.
	Last bool `json:"last,omitempty"`
}

func (p chunkParams) id() valueID { return valueID{p.Stream, p.Key, p.Era, p.Offset} }

// chunkResult is the manifest or some parts of a value, compressed with DEFLATE, or why there
// is none: other hosts get values at the moment, or this host does not have it.
type chunkResult struct {
	Data    []byte `json:"data,omitempty"`
	Busy    bool   `json:"busy,omitempty"`
	Missing bool   `json:"missing,omitempty"`
}

var (
	errHostBusy     = errors.New("the host passes values on to others")
	errValueMissing = errors.New("the host does not have the value")
)

// transfer is a value that another host gets. It stays available to that host after a newer
// one has replaced it.
type transfer struct {
	id    valueID
	value []byte
	parts []part
	until time.Time // when it no longer counts unless it goes on
}

// partialValue holds the parts of a value that were fetched, by hash.
type partialValue struct {
	id    valueID
	parts map[uint64][]byte
}

// keepBack replaces large values by their sizes.
func keepBack(records []recordMessage) {
	for i := range records {
		if n := len(records[i].Value); n > maxInlineBytes {
			records[i].Value, records[i].Bytes = nil, n
		}
	}
}

// largest returns the size of the largest value.
func largest(records []recordMessage) int {
	n := 0
	for _, rec := range records {
		n = max(n, len(rec.Value))
	}
	return n
}

// admit counts a transfer to a host, unless there are enough to others. s.mu is held.
func (s *Store) admit(host string, t *transfer) bool {
	now, others := time.Now(), 0
	for name, other := range s.transfers {
		switch {
		case !now.Before(other.until):
			delete(s.transfers, name)
		case name != host:
			others++
		}
	}
	if others >= maxTransfers {
		return false
	}
	s.transfers[host] = t
	return true
}

// handleChunk sends another host a part of a value.
func (s *Store) handleChunk(_ context.Context, from string, params json.RawMessage) (any, error) {
	var p chunkParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	s.mu.Lock()
	t, refusal := s.transferTo(from, p.id())
	s.mu.Unlock()
	if t == nil {
		return refusal, nil
	}
	data, err := t.chunk(p.Parts)
	if err != nil {
		return nil, err
	}
	data, err = compress(data)
	if p.Last {
		s.mu.Lock()
		delete(s.transfers, from)
		s.mu.Unlock()
	}
	return chunkResult{Data: data}, err
}

// transferTo returns the transfer of a value to a host, or why there is none. s.mu is held.
func (s *Store) transferTo(host string, id valueID) (*transfer, chunkResult) {
	t := s.transfers[host]
	if t == nil || t.id != id {
		value, ok := s.value(id)
		if !ok {
			return nil, chunkResult{Missing: true}
		}
		t = &transfer{id: id, value: value}
	}
	t.until = time.Now().Add(transferTimeout)
	if !s.admit(host, t) {
		return nil, chunkResult{Busy: true}
	}
	if t.parts == nil {
		t.parts = s.partsOf(id, t.value)
	}
	return t, chunkResult{}
}

// partsOf returns the parts of a value. Those of the last one are kept. s.mu is held.
func (s *Store) partsOf(id valueID, value []byte) []part {
	if s.split.id != id {
		parts, err := splitValue(value)
		if err != nil {
			s.cfg.Logger.Error("cannot split a value", "key", id.key, "error", err)
			return nil
		}
		s.split = splitParts{id, parts}
	}
	return s.split.parts
}

// splitParts are the parts of a value.
type splitParts struct {
	id    valueID
	parts []part
}

// chunk returns the parts with the indices, or the manifest if there are none.
func (t *transfer) chunk(indices []int) ([]byte, error) {
	if len(indices) == 0 {
		return encodeManifest(t.value, t.parts), nil
	}
	var data []byte
	for _, i := range indices {
		if i < 0 || i >= len(t.parts) || len(data)+len(t.parts[i].data) > chunkBytes {
			return nil, errors.Newf("part %d of %d parts, after %d bytes", i, len(t.parts), len(data))
		}
		data = append(data, t.parts[i].data...)
	}
	return data, nil
}

// value returns a value of a mirrored stream. s.mu is held.
func (s *Store) value(id valueID) ([]byte, bool) {
	if l := s.listings[id.stream]; l != nil && l.id == id {
		return l.value, true
	}
	m := s.mirrors[id.stream]
	if m == nil || m.next.Era != id.era {
		return nil, false
	}
	rec, ok := m.records[id.key]
	return rec.Value, ok && rec.Offset == id.offset
}

// fetchValues completes the records that a host has kept back values of.
func (s *Store) fetchValues(ctx context.Context, host string, stream tamarackknot.Stream, era int64, records []recordMessage) error {
	for i := range records {
		rec := &records[i]
		if rec.Bytes == 0 {
			continue
		}
		value, err := s.fetchValue(ctx, host, chunkParams{Stream: stream, Key: rec.Key, Era: era, Offset: rec.Offset}, rec.Bytes)
		if err != nil {
			return err
		}
		rec.Value, rec.Bytes = value, 0
	}
	return nil
}

// fetchValue gets the parts of a value that this host does not have: those of the record
// that the value replaces, and of what an earlier attempt has fetched from any host.
func (s *Store) fetchValue(ctx context.Context, host string, p chunkParams, size int) ([]byte, error) {
	if size > maxValueBytes {
		return nil, errors.Newf("value of %d bytes, limit %d", size, maxValueBytes)
	}
	data, err := s.fetchChunk(ctx, host, p)
	if err != nil {
		return nil, err
	}
	m, err := decodeManifest(data, size)
	if err != nil {
		return nil, err
	}
	known, err := s.knownParts(p.id())
	if err != nil {
		return nil, err
	}
	for {
		if p.Parts, p.Last = m.missing(known); len(p.Parts) == 0 {
			return m.join(known, size)
		}
		if data, err = s.fetchChunk(ctx, host, p); err != nil {
			return nil, err
		}
		if err := m.cut(p.Parts, data, known); err != nil {
			return nil, err
		}
		s.keepParts(p, m, known)
	}
}

// fetchChunk gets a chunk of a value.
func (s *Store) fetchChunk(ctx context.Context, host string, p chunkParams) ([]byte, error) {
	var r chunkResult
	if err := s.callHost(ctx, host, methodChunk, p, &r); err != nil {
		return nil, err
	}
	switch {
	case r.Busy:
		return nil, errHostBusy
	case r.Missing:
		return nil, errValueMissing
	default:
		return decompress(r.Data)
	}
}

// keepParts makes the parts that were just fetched known to other attempts.
func (s *Store) keepParts(p chunkParams, m manifest, known map[uint64][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partial.id != p.id() {
		return
	}
	for _, i := range p.Parts {
		s.partial.parts[m.parts[i].hash] = known[m.parts[i].hash]
	}
}

// knownParts returns the parts that are known when a value is fetched. The caller may add
// to them.
func (s *Store) knownParts(id valueID) (map[uint64][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partial.id == id {
		return maps.Clone(s.partial.parts), nil
	}
	parts, err := splitValue(s.mirrors[id.stream].records[id.key].Value)
	if err != nil {
		return nil, err
	}
	known := make(map[uint64][]byte, len(parts))
	for _, p := range parts {
		known[p.hash] = p.data
	}
	s.partial = partialValue{id, known}
	return maps.Clone(known), nil
}

func compress(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return buf.Bytes(), err
}

// decompress returns at most one chunk.
func decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	out, err := io.ReadAll(io.LimitReader(r, chunkBytes+1))
	if err == nil && len(out) > chunkBytes {
		err = errors.Newf("chunk of over %d bytes", chunkBytes)
	}
	return out, errors.CombineErrors(err, r.Close())
}
