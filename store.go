package tamarackknot

import (
	"cmp"
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
	// ErrExpired says that a position cannot be read from any more: its records
	// have expired, or the store has been restored from an older copy since.
	ErrExpired = errors.New("the requested records have expired")
	// ErrRestored says that an append took effect in a later era of the store
	// than its expected end belongs to, so it may follow unknown records.
	ErrRestored = errors.New("the store has been restored from an older copy")
)

// Position is a place in a stream of the platform's store. When the store is
// restored from an older copy, its era rises and it assigns offsets again, so
// offsets are comparable within an era only. Era is 0 while it is not known.
type Position struct {
	Era    int64 `json:"era,omitempty"`
	Offset int64 `json:"offset"`
}

// Compare returns a negative number if p precedes q, 0 if they are equal and a
// positive number otherwise. All positions of an era precede those of the next.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// KeyedRecord is a record of a keyed stream. A nil Value deletes the key. Offset
// belongs to the era of the page that the record was read with.
type KeyedRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset"`
}

// StreamPage is the result of a read of a stream.
type StreamPage struct {
	Records []KeyedRecord
	// End is the position of the next record to be appended.
	End Position
	// Next is the position at which to continue reading.
	Next Position
	// Full says that the page holds the newest record of each key instead of the
	// records from a position on.
	Full bool
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
	StreamCrashes   Stream = "crashes"
	StreamVersions  Stream = "versions"
)

// Store is the platform's store, which consists of keyed append-only streams.
type Store interface {
	// Era returns the newest era that this host has learned of, 0 while none is
	// known.
	Era() int64
	// Newest returns the newest record of each key and the end of the stream
	// before the first page was read.
	Newest(ctx context.Context, s Stream) (StreamPage, error)
	// Read returns the records, starting at a position. If there is none, it
	// waits for a record until the deadline.
	Read(ctx context.Context, s Stream, from Position, deadline time.Time) (StreamPage, error)
	// Put appends a record and returns its position. After an error that is
	// neither ErrRefused nor ErrConflict, the record may have been appended or
	// may still be.
	Put(ctx context.Context, s Stream, key string, value []byte) (Position, error)
	// PutAt appends a record if the stream ends at end, and returns ErrConflict
	// otherwise. The store compares offsets only; ErrRestored says that the
	// record was appended in a later era than that of end.
	PutAt(ctx context.Context, s Stream, key string, value []byte, end Position) (Position, error)
}

// WeightControl sends orders to model engines and reads their reports.
type WeightControl interface {
	Order(ctx context.Context, address string, o WeightOrder) WeightOutcome
	Report(ctx context.Context, address, endpoint string) (EngineReport, error)
}

// answerHookKey is the key of a hook in a context.
type answerHookKey struct{}

// WithAnswerHook returns a context for calls of a Store. The Store calls hook each time it
// has received a part of a successful answer, which may take long on a slow link, and then
// the hooks that ctx has already. The hook must not block.
func WithAnswerHook(ctx context.Context, hook func()) context.Context {
	return context.WithValue(ctx, answerHookKey{}, func() {
		hook()
		CallAnswerHooks(ctx)
	})
}

// CallAnswerHooks calls the hooks of a context. Implementations of Store use it.
func CallAnswerHooks(ctx context.Context) {
	if hook, ok := ctx.Value(answerHookKey{}).(func()); ok {
		hook()
	}
}
