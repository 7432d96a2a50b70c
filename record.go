package tamarackknot

import (
	"context"
	"time"
)

// Offset is a position in the log. The first record has offset 1, so that 0
// means "none"; a client of a log that counts from 0 adds 1.
type Offset int64

// Record is one entry of the log: a proposal that the fold accepts or rejects.
type Record struct {
	// ID is unique per proposal; a retried append carries the same ID.
	ID          string    `json:"id"`
	Host        string    `json:"host"`
	Incarnation string    `json:"incarnation"`
	Time        time.Time `json:"time"`
	Change
}

// Change is the body of a record; exactly one field is set.
type Change struct {
	Apply    *Apply         `json:"apply,omitempty"`
	Remove   *Remove        `json:"remove,omitempty"`
	Claim    *Claim         `json:"claim,omitempty"`
	Loaded   *ReplicaChange `json:"loaded,omitempty"`
	Unload   *ReplicaChange `json:"unload,omitempty"`
	Takeover *ReplicaChange `json:"takeover,omitempty"`
	Release  *ReplicaChange `json:"release,omitempty"`
	Keys     *KeyBatch      `json:"keys,omitempty"`
	KeysFree *KeyBatch      `json:"keysFree,omitempty"`
	Snapshot *SnapshotChunk `json:"snapshot,omitempty"`
}

// Apply sets a resource if its stored revision is still BasedOn (0: the
// resource must not exist).
type Apply struct {
	Resource Resource `json:"resource"`
	BasedOn  Offset   `json:"basedOn"`
}

// Remove deletes a resource if its stored revision is still BasedOn.
type Remove struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	BasedOn Offset `json:"basedOn"`
}

// Claim reserves a replica slot of a target and its memory on an endpoint.
type Claim struct {
	Target   string `json:"target"`
	Endpoint string `json:"endpoint"`
	// Basis is the replica-set version of the target that the writer saw; of
	// two claims on the same basis only the first is accepted.
	Basis Offset `json:"basis"`
}

// ReplicaChange moves the replica of a target on an endpoint to its next
// state if its fencing number is still Fence.
type ReplicaChange struct {
	Target   string `json:"target"`
	Endpoint string `json:"endpoint"`
	Fence    Offset `json:"fence"`
}

// KeyBatch carries claims on request keys.
type KeyBatch struct {
	Claims []KeyClaim `json:"claims"`
}

// KeyClaim claims a request key for the process that wrote the record.
type KeyClaim struct {
	// Key is the hash of caller scope and request key, in hex.
	Key string `json:"key"`
	// Digest is the hash of the request, in hex; another request under the
	// same key is refused.
	Digest string `json:"digest"`
	// Created is the time at which the caller made the key.
	Created time.Time `json:"created"`
	// Seen is the offset that the claiming process had applied when the
	// request arrived. A key that was freed later is not claimed for it: the
	// caller may have been told that the request did not run.
	Seen Offset `json:"seen,omitempty"`
}

// SnapshotChunk is one part of a snapshot of the state up to Covers.
type SnapshotChunk struct {
	SnapshotID string `json:"snapshotId"`
	Index      int    `json:"index"`
	Count      int    `json:"count"`
	Covers     Offset `json:"covers"`
	Data       []byte `json:"data"`
}

// Reason says why the fold rejected a proposal.
type Reason string

// The reasons for a rejection.
const (
	ReasonNone      Reason = ""
	ReasonConflict  Reason = "conflict"  // based on an older revision, basis or fencing number
	ReasonNotFound  Reason = "notFound"  // resource or replica does not exist
	ReasonInvalid   Reason = "invalid"   // malformed, or a reference does not resolve
	ReasonLimit     Reason = "limit"     // maxReplicas reached
	ReasonMemory    Reason = "memory"    // endpoint memory exhausted
	ReasonInUse     Reason = "inUse"     // other resources or replicas depend on it
	ReasonDuplicate Reason = "duplicate" // the record ID was seen before
	ReasonExpired   Reason = "expired"   // key older than its age limit
)

// Outcome is the result of folding one record.
type Outcome struct {
	Accepted bool   `json:"accepted"`
	Offset   Offset `json:"offset"`
	Reason   Reason `json:"reason,omitempty"`
	// Current is the stored revision, basis or fencing number that a
	// conflicting proposal should have named.
	Current Offset `json:"current,omitempty"`
	// Detail names the field, its value and what is allowed.
	Detail string `json:"detail,omitempty"`
	// Keys has one entry per claim of a KeyBatch.
	Keys []KeyOutcome `json:"keys,omitempty"`
}

// KeyOutcome is the result of one claim on a request key.
type KeyOutcome struct {
	Accepted bool   `json:"accepted"`
	Reason   Reason `json:"reason,omitempty"` // conflict, expired or invalid (other digest)
	// Owner is the process that holds the key. After a conflict it is empty if
	// the key was freed after the request had arrived.
	Owner Process `json:"owner"`
}

// LogRecord is a record as stored.
type LogRecord struct {
	Offset Offset
	Data   []byte
}

// LogPage is the answer to a read of the log.
type LogPage struct {
	Records []LogRecord
	// First is the oldest offset still kept. A reader that asked for an older
	// one has missed records.
	First Offset
	// Next is the offset that the next append will get.
	Next Offset
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record. After an error the record may or may not have been
	// added.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns up to limit records from offset from on. With nothing to
	// return it waits for a record until the deadline wait.
	Read(ctx context.Context, from Offset, limit int, wait time.Time) (LogPage, error)
}

// State is a read view of the folded log. It must not be kept beyond the
// function that received it; the resources and slices it returns are never
// modified and may be kept.
type State interface {
	// Applied is the offset of the last folded record.
	Applied() Offset
	// ConfigOffset is the offset of the last accepted apply or remove.
	ConfigOffset() Offset
	// Time is the fold time.
	Time() time.Time
	Resource(kind Kind, name string) (*Resource, bool)
	// Resources returns all resources of a kind in the order of their names.
	Resources(kind Kind) []*Resource
	// Target resolves a model or adapter name.
	Target(name string) (Target, bool)
	// Replicas returns the reservations of a target in the order of claims.
	Replicas(target string) []Replica
	// EndpointReplicas returns the reservations on an endpoint.
	EndpointReplicas(endpoint string) []Replica
	// ReservedMB is the memory reserved on an endpoint.
	ReservedMB(endpoint string) int64
	// Basis is the replica-set version of a target, to be named in a claim.
	Basis(target string) Offset
	// ChangedSince names the models and adapters, and the endpoints, whose
	// resource or reservations changed after an offset; a name may occur more
	// than once. If complete is false the changes are no longer known and
	// anything may have changed.
	ChangedSince(o Offset) (targets, endpoints []string, complete bool)
}

// JournalStatus says how current the folded state is.
type JournalStatus struct {
	// Ready says that the state is complete: folded from the start of the log,
	// from a snapshot, or taken from a peer.
	Ready   bool
	Applied Offset
	// ConfigOffset is the offset of the newest accepted configuration.
	ConfigOffset Offset
	// LogContact is the time of the last successful read of the log.
	LogContact time.Time
	// PeerContact is the time of the last answer of a peer that was at least
	// as up to date as this process.
	PeerContact time.Time
	// Head is the newest offset that this process knows to exist.
	Head Offset
	// Stale says that for 10 s there was contact neither with the log nor with
	// a peer that is at least as up to date, while other entry hosts are
	// listed.
	Stale bool
}

// Journal connects this process to the log: it folds what is read and appends
// proposals.
type Journal interface {
	// Propose appends a change and waits until it has been read back. The
	// error wraps ErrNotAppended if the change can never take effect and
	// ErrOutcomeUnknown if it may.
	Propose(ctx context.Context, c Change) (Outcome, error)
	// ClaimKey is Propose for one request key; concurrent claims share a
	// record.
	ClaimKey(ctx context.Context, c KeyClaim) (KeyOutcome, error)
	// FreeKey gives up a key whose request provably did not run. Only requests
	// that arrive after the process has applied the record can claim it again.
	FreeKey(ctx context.Context, c KeyClaim) error
	// Read calls fn with the folded state under a read lock.
	Read(fn func(State))
	// Changed returns a channel that is closed at the next change of the
	// state.
	Changed() <-chan struct{}
	Status() JournalStatus
}
