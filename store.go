package tamarackknot

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Store; compare with errors.Is.
var (
	// ErrRefused says that the store did nothing.
	ErrRefused = errors.New("the store refused the call")
	// ErrConflict says that the partition does not end where the append expected.
	ErrConflict = errors.New("the stream has moved on")
	// ErrExpired says that the records asked for have expired.
	ErrExpired = errors.New("the records are no longer kept")
)

// KeyedRecord is a record of a keyed stream. A nil Value drops the key.
type KeyedRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset"`
}

// StreamPage is the answer to a read of a stream.
type StreamPage struct {
	Records []KeyedRecord
	// End is the offset that the next record gets.
	End int64
	// Next is the offset from which to read on.
	Next int64
	// Relayed says that the page comes from another host, not from the store.
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

// Store is the platform's store: keyed append-only streams.
type Store interface {
	// Newest returns the newest record of each key and the end of the stream
	// before the first page was read.
	Newest(ctx context.Context, s Stream) (StreamPage, error)
	// Read returns the records from an offset on. With nothing to return it
	// waits until the deadline wait.
	Read(ctx context.Context, s Stream, from int64, wait time.Time) (StreamPage, error)
	// Put appends a record. After an error that is neither ErrRefused nor
	// ErrConflict it may have been appended, or may still be.
	Put(ctx context.Context, s Stream, key string, value []byte) (offset int64, err error)
	// PutAt is Put on the condition that the stream ends at end.
	PutAt(ctx context.Context, s Stream, key string, value []byte, end int64) (offset int64, err error)
}

// WeightControl sends orders to model engines and reads their reports.
type WeightControl interface {
	Order(ctx context.Context, address string, o WeightOrder) WeightOutcome
	Report(ctx context.Context, address, endpoint string) (EngineReport, error)
}
