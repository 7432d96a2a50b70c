package journal

import (
	"slices"

	"tamarackknot.example/tamarackknot"
)

// Limits of the records kept for peers.
const (
	ringRecords = 4096
	ringBytes   = 8 << 20
)

// ring buffers the newest records in their encoded form for peers that cannot
// read the log.
type ring struct {
	records []tamarackknot.LogRecord
	next    tamarackknot.Offset
	bytes   int
}

func (r *ring) add(rec tamarackknot.LogRecord) {
	r.records = append(r.records, rec)
	r.bytes += len(rec.Data)
	r.next = rec.Offset + 1
	for len(r.records) > ringRecords || r.bytes > ringBytes {
		r.bytes -= len(r.records[0].Data)
		r.records[0] = tamarackknot.LogRecord{}
		r.records = r.records[1:]
	}
}

// reset empties the ring; the next record has offset next.
func (r *ring) reset(next tamarackknot.Offset) {
	*r = ring{next: next}
}

// first returns the oldest offset kept, or that of the next record if the ring
// is empty.
func (r *ring) first() tamarackknot.Offset {
	if len(r.records) == 0 {
		return max(r.next, 1)
	}
	return r.records[0].Offset
}

// from returns the records from offset o on, at least one and otherwise up to
// maxBytes. It returns nil if the ring does not contain o.
func (r *ring) from(o tamarackknot.Offset, maxBytes int) []tamarackknot.LogRecord {
	if o < r.first() || o >= r.next {
		return nil
	}
	records := r.records[o-r.first():]
	size := 0
	for i, rec := range records {
		if size += len(rec.Data); size > maxBytes && i > 0 {
			return slices.Clone(records[:i])
		}
	}
	return slices.Clone(records)
}
