package tamarackknot

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Store, to be compared with errors.Is.
var (
	// ErrRefused says that the store rejected the call without any effect.
	ErrRefused = errors.New("the store refused the call")
	// ErrConflict says that the stream does not end at the offset that the
	// append expected.
	ErrConflict = errors.New("the stream does not end at the expected offset")
	// ErrExpired says that the requested records have expired.
	ErrExpired = errors.New("the requested records have expired")
)

// KeyedRecord is a record of a keyed stream. A nil Value deletes the key.
type KeyedRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset"`
}

// StreamPage is the result of a read of a stream.
type StreamPage struct {
	Records []KeyedRecord
	// End is the offset of the next record to be appended.
	End int64
	// Next is the offset at which to continue reading.
	Next int64
	// Relayed says that the page comes from the copy of another host, not from
	// the store.
	Relayed bool
}

// Stream names a keyed stream of the platform's store.
type Stream string

// The keyed streams. The first two are written by operators and endpoints.
const (
	StreamCatalog   Stream = "catalog"
	StreamEndpoints Stream = "endpoints"
	StreamHosts     Stream = "hosts"
	StreamLease     Stream = "lease"
	StreamHistory   Stream = "history"
)

// Store is the platform's store, which consists of keyed append-only streams.
type Store interface {
	// Newest returns the newest record of each key and the end of the stream
	// before the first page was read.
	Newest(ctx context.Context, s Stream) (StreamPage, error)
	// Read returns the records, starting at an offset. If there is none, it
	// waits for a record until the deadline.
	Read(ctx context.Context, s Stream, from int64, deadline time.Time) (StreamPage, error)
	// Put appends a record. After an error that is neither ErrRefused nor
	// ErrConflict, the record may have been appended or may still be.
	Put(ctx context.Context, s Stream, key string, value []byte) (offset int64, err error)
	// PutAt appends a record if the stream ends at the offset end, and returns
	// ErrConflict otherwise.
	PutAt(ctx context.Context, s Stream, key string, value []byte, end int64) (offset int64, err error)
}

// WeightControl sends orders to model engines and reads their reports.
type WeightControl interface {
	Order(ctx context.Context, address string, o WeightOrder) WeightOutcome
	Report(ctx context.Context, address, endpoint string) (EngineReport, error)
}
