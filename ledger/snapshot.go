package ledger

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/binary"
	"maps"
	"slices"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"tamarackknot.example/tamarackknot"
)

// snapshotFormat is the version of the encoding. It increases when older
// programs cannot read new snapshots.
const snapshotFormat = 2

// ChunkSize is the maximum data of one chunk, in bytes. JSON encodes it in
// base64; the record stays below 180 KB.
const ChunkSize = 128 << 10

const checksumSize = 8

// maxPendingSnapshots bounds the incomplete snapshots that are tracked; beyond
// it the oldest is dropped.
const maxPendingSnapshots = 8

// SnapshotInfo describes a snapshot in the log, which may be incomplete.
type SnapshotInfo struct {
	ID string
	// Covers is the offset of the state; a bridge (see package journal) also
	// covers lost records after its state.
	Covers tamarackknot.Offset
	Count  int // number of chunks of the whole snapshot
	// Chunks is the number of chunks read so far, without gaps.
	Chunks int
	// Offset and Time are those of the newest chunk.
	Offset tamarackknot.Offset
	Time   time.Time
}

// snapshotTracker tracks the snapshots in the log, so that all hosts agree on
// when the next one is due.
type snapshotTracker struct {
	last    SnapshotInfo
	pending []SnapshotInfo // oldest first
}

func (s *snapshotTracker) apply(rec *tamarackknot.Record, out tamarackknot.Outcome) tamarackknot.Outcome {
	c := rec.Snapshot
	i := slices.IndexFunc(s.pending, func(p SnapshotInfo) bool { return p.ID == c.SnapshotID })
	if i < 0 {
		if c.Index != 0 || c.Count < 1 || c.SnapshotID == "" || c.Covers >= out.Offset {
			return reject(out, tamarackknot.ReasonInvalid, "snapshot %q begins with chunk %d of %d covering %d", c.SnapshotID, c.Index, c.Count, c.Covers)
		}
		if len(s.pending) == maxPendingSnapshots {
			s.pending = slices.Delete(s.pending, 0, 1)
		}
		s.pending = append(s.pending, SnapshotInfo{ID: c.SnapshotID, Covers: c.Covers, Count: c.Count})
		i = len(s.pending) - 1
	}
	p := &s.pending[i]
	if c.Index != p.Chunks || c.Count != p.Count || c.Covers != p.Covers {
		return reject(out, tamarackknot.ReasonInvalid, "snapshot %q: chunk %d of %d covering %d after %d of %d covering %d", c.SnapshotID, c.Index, c.Count, c.Covers, p.Chunks, p.Count, p.Covers)
	}
	p.Chunks++
	p.Offset, p.Time = out.Offset, time.Unix(0, rec.Time.UnixNano()).UTC()
	if p.Chunks == p.Count {
		s.last = *p
		s.pending = slices.Delete(s.pending, i, i+1)
	}
	return accept(out)
}

// chunkHeader is a tamarackknot.SnapshotChunk without its data.
type chunkHeader struct {
	SnapshotID string              `json:"snapshotId"`
	Index      int                 `json:"index"`
	Count      int                 `json:"count"`
	Covers     tamarackknot.Offset `json:"covers"`
}

// A snapshot is a CBOR sequence: one wireHeader, then the numbers of resources,
// targets and keys that it gives. Times are in nanoseconds since 1970.
type wireHeader struct {
	_            struct{} `cbor:",toarray"`
	Format       int
	Applied      tamarackknot.Offset
	ConfigOffset tamarackknot.Offset
	Time         int64
	Resources    int
	Targets      int
	Keys         int
	Seen         []byte
	Last         wireSnapshot
	Pending      []wireSnapshot
}

type wireSnapshot struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Covers tamarackknot.Offset
	Count  int
	Chunks int
	Offset tamarackknot.Offset
	Time   int64
}

type wireTarget struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Basis    tamarackknot.Offset
	Replicas []wireReplica
}

type wireReplica struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	Base        string
	Version     string
	MemoryMB    int64
	State       tamarackknot.ReplicaState
	Fence       tamarackknot.Offset
	Issuer      string
	Incarnation string
	Since       int64
}

type wireKey struct {
	_       struct{} `cbor:",toarray"`
	ID      keyID
	Digest  uint64
	Owner   wireProcess
	Created int64
	Claimed int64
	Freed   tamarackknot.Offset
}

type wireProcess struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation string
}

// Copy returns a copy of the state that is only valid for Encode and does not
// change with the ledger. It takes a few percent of the time of Encode, so that
// the ledger can apply records while the copy is encoded.
func (l *Ledger) Copy() *Ledger {
	c := &Ledger{
		cfg: l.cfg, applied: l.applied, configOffset: l.configOffset, time: l.time,
		resources: make(map[tamarackknot.Kind]*collection),
		replicas:  replicaSet{basis: maps.Clone(l.replicas.basis), byTarget: maps.Clone(l.replicas.byTarget)},
		keys:      keySet{entries: maps.Clone(l.keys.entries)},
		seen:      seenSet{queue: l.seen.queue}, // elements are never modified
		snapshots: snapshotTracker{last: l.snapshots.last, pending: slices.Clone(l.snapshots.pending)},
	}
	for kind, r := range l.resources {
		c.resources[kind] = &collection{sorted: r.list()}
	}
	return c
}

// Encode returns the state as chunks of at most ChunkSize bytes: a compressed
// CBOR sequence followed by its checksum. Equal states have equal chunks.
func (l *Ledger) Encode() ([][]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "create snapshot compressor")
	}
	if err := l.encode(cbor.NewEncoder(w)); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	data := binary.BigEndian.AppendUint64(buf.Bytes(), xxhash.Sum64(buf.Bytes()))
	return slices.Collect(slices.Chunk(data, ChunkSize)), nil
}

func (l *Ledger) encode(enc *cbor.Encoder) error {
	names := make([]string, 0, len(l.replicas.basis))
	for name := range l.replicas.basis {
		names = append(names, name)
	}
	slices.Sort(names)
	keys := l.keys.sortedIDs()
	h := wireHeader{
		Format: snapshotFormat, Applied: l.applied, ConfigOffset: l.configOffset, Time: toNanos(l.time),
		Targets: len(names), Keys: len(keys), Seen: l.seen.encode(), Last: newWireSnapshot(l.snapshots.last),
	}
	for _, p := range l.snapshots.pending {
		h.Pending = append(h.Pending, newWireSnapshot(p))
	}
	for _, k := range tamarackknot.Kinds() {
		h.Resources += len(l.resources[k].sorted)
	}
	if err := enc.Encode(h); err != nil {
		return err
	}
	for _, k := range tamarackknot.Kinds() {
		for _, r := range l.resources[k].sorted {
			if err := enc.Encode(r); err != nil {
				return err
			}
		}
	}
	for _, name := range names {
		t := wireTarget{Name: name, Basis: l.replicas.basis[name]}
		for _, r := range l.replicas.byTarget[name] {
			t.Replicas = append(t.Replicas, wireReplica{
				Endpoint: r.Endpoint, Base: r.Base, Version: r.Version, MemoryMB: r.MemoryMB, State: r.State,
				Fence: r.Fence, Issuer: r.Issuer, Incarnation: r.Incarnation, Since: toNanos(r.Since),
			})
		}
		if err := enc.Encode(t); err != nil {
			return err
		}
	}
	for _, id := range keys {
		e := l.keys.entries[id]
		p := e.owner.Value()
		if err := enc.Encode(wireKey{ID: id, Digest: e.digest, Owner: wireProcess{Host: p.Host, Incarnation: p.Incarnation}, Created: e.created, Claimed: e.claimed, Freed: e.freed}); err != nil {
			return err
		}
	}
	return nil
}

// Restore decodes the chunks of Encode. It returns an error if the data is
// incomplete, damaged or of another format.
func Restore(cfg Config, chunks [][]byte) (*Ledger, error) {
	data := bytes.Join(chunks, nil)
	if len(data) < checksumSize {
		return nil, errors.Newf("snapshot has %d bytes, needs at least %d", len(data), checksumSize)
	}
	data, sum := data[:len(data)-checksumSize], binary.BigEndian.Uint64(data[len(data)-checksumSize:])
	if got := xxhash.Sum64(data); got != sum {
		return nil, errors.Newf("snapshot has checksum %x, expected %x", got, sum)
	}
	r := flate.NewReader(bytes.NewReader(data))
	l := New(cfg)
	if err := l.decode(cbor.NewDecoder(r)); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	l.changes.reset(l.applied)
	return l, nil
}

func (l *Ledger) decode(dec *cbor.Decoder) error {
	var h wireHeader
	if err := dec.Decode(&h); err != nil {
		return err
	}
	if h.Format != snapshotFormat {
		return errors.Newf("snapshot has format %d, supported is %d", h.Format, snapshotFormat)
	}
	l.applied, l.configOffset, l.time = h.Applied, h.ConfigOffset, fromNanos(h.Time)
	l.snapshots.last = h.Last.info()
	for _, p := range h.Pending {
		l.snapshots.pending = append(l.snapshots.pending, p.info())
	}
	if err := l.seen.decode(h.Seen); err != nil {
		return err
	}
	if err := l.decodeResources(dec, h.Resources); err != nil {
		return err
	}
	for range h.Targets {
		var t wireTarget
		if err := dec.Decode(&t); err != nil {
			return err
		}
		l.restoreTarget(t)
	}
	for range h.Keys {
		var k wireKey
		if err := dec.Decode(&k); err != nil {
			return err
		}
		l.keys.add(k.ID, keyEntry{
			digest: k.Digest, owner: unique.Make(tamarackknot.Process{Host: k.Owner.Host, Incarnation: k.Owner.Incarnation}),
			created: k.Created, claimed: k.Claimed, freed: k.Freed,
			expires: l.keyExpiry(time.Unix(0, k.Created)),
		})
	}
	return nil
}

func (l *Ledger) decodeResources(dec *cbor.Decoder, n int) error {
	for range n {
		r := new(tamarackknot.Resource)
		if err := dec.Decode(r); err != nil {
			return err
		}
		if err := Validate(*r); err != nil {
			return err
		}
		c := l.resources[r.Kind]
		if len(c.sorted) > 0 && cmp.Compare(c.sorted[len(c.sorted)-1].Metadata.Name, r.Metadata.Name) >= 0 {
			return errors.Newf("%s %q is out of order", r.Kind, r.Metadata.Name)
		}
		internStrings(r)
		c.sorted = append(c.sorted, r)
		c.byName[r.Metadata.Name] = r
		l.addReferences(r)
	}
	return nil
}

func (l *Ledger) restoreTarget(t wireTarget) {
	name := t.Name
	if target, ok := l.Target(name); ok {
		name = l.internedTargetName(target)
	}
	l.replicas.basis[name] = t.Basis
	for _, r := range t.Replicas {
		endpoint := r.Endpoint
		if e, ok := l.resources[tamarackknot.KindEndpoint].byName[endpoint]; ok {
			endpoint = e.Metadata.Name
		}
		l.replicas.add(tamarackknot.Replica{
			Target: name, Endpoint: endpoint, Base: intern(r.Base), Version: intern(r.Version), MemoryMB: r.MemoryMB,
			State: replicaState(r.State), Fence: r.Fence, Issuer: intern(r.Issuer), Incarnation: intern(r.Incarnation),
			Since: fromNanos(r.Since),
		})
	}
}

// replicaState returns the constant equal to s, to share its memory.
func replicaState(s tamarackknot.ReplicaState) tamarackknot.ReplicaState {
	switch s {
	case tamarackknot.ReplicaClaimed:
		return tamarackknot.ReplicaClaimed
	case tamarackknot.ReplicaLoaded:
		return tamarackknot.ReplicaLoaded
	case tamarackknot.ReplicaUnloading:
		return tamarackknot.ReplicaUnloading
	}
	return s
}

// SkipTo advances the state to a later offset without the records in between,
// which expired before any host read them.
func (l *Ledger) SkipTo(to tamarackknot.Offset) {
	l.applied = max(l.applied, to)
	l.changes.reset(l.applied)
}

func (s *seenSet) encode() []byte {
	data := make([]byte, 0, len(s.queue)*(checksumSize+4))
	var last int64
	for _, id := range s.queue {
		data = binary.BigEndian.AppendUint64(data, id.hash)
		data = binary.AppendVarint(data, id.time-last)
		last = id.time
	}
	return data
}

func (s *seenSet) decode(data []byte) error {
	var last int64
	for len(data) > 0 {
		if len(data) < checksumSize {
			return errors.New("window of record ids is truncated")
		}
		hash := binary.BigEndian.Uint64(data)
		delta, n := binary.Varint(data[checksumSize:])
		if n <= 0 {
			return errors.New("window of record ids is truncated")
		}
		data = data[checksumSize+n:]
		last += delta
		s.hashes[hash] = struct{}{}
		s.queue = append(s.queue, seenRecord{hash, last})
	}
	return nil
}

func newWireSnapshot(s SnapshotInfo) wireSnapshot {
	return wireSnapshot{ID: s.ID, Covers: s.Covers, Count: s.Count, Chunks: s.Chunks, Offset: s.Offset, Time: toNanos(s.Time)}
}

func (w wireSnapshot) info() SnapshotInfo {
	return SnapshotInfo{ID: w.ID, Covers: w.Covers, Count: w.Count, Chunks: w.Chunks, Offset: w.Offset, Time: fromNanos(w.Time)}
}

// toNanos returns t in nanoseconds since 1970. The zero time is encoded as 0,
// which is outside of the accepted years.
func toNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}
