package tamarackknot

import (
	"context"
	"time"
)

// Offset is a position in the log. The first record has offset 1, so that 0
// means "none"; a client of a log whose offsets start at 0 adds 1.
type Offset int64

// Record is one entry of the log: a proposal that is accepted or rejected when
// it is applied to the state.
type Record struct {
	// ID is unique per proposal; a retried append has the same ID.
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

// Claim reserves a replica of a target and its memory on an endpoint.
type Claim struct {
	Target   string `json:"target"`
	Endpoint string `json:"endpoint"`
	// Basis is the replica-set version of the target that the claim is based on;
	// of two claims with the same basis only the first is accepted.
	Basis Offset `json:"basis"`
}

// ReplicaChange moves the replica of a target on an endpoint to its next
// state if its fencing token is still Fence.
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
	// Digest is the hash of the request, in hex; a different request with the
	// same key is refused.
	Digest string `json:"digest"`
	// Created is the time at which the caller created the key.
	Created time.Time `json:"created"`
	// Seen is the offset that the claiming process had applied when the
	// request arrived. A key that was freed after this offset is not claimed:
	// the caller may have received the response that the request did not run.
	Seen Offset `json:"seen,omitempty"`
}

// SnapshotChunk is one part of a snapshot. Covers is the offset of the state; a
// bridge (see package journal) also covers lost records after its state.
type SnapshotChunk struct {
	SnapshotID string `json:"snapshotId"`
	Index      int    `json:"index"`
	Count      int    `json:"count"`
	Covers     Offset `json:"covers"`
	Data       []byte `json:"data"`
}

// Reason says why a proposal was rejected.
type Reason string

// The reasons for a rejection.
const (
	ReasonNone      Reason = ""
	ReasonConflict  Reason = "conflict"  // based on an older revision, basis or fencing token
	ReasonNotFound  Reason = "notFound"  // resource or replica does not exist
	ReasonInvalid   Reason = "invalid"   // malformed, or a referenced resource does not exist
	ReasonLimit     Reason = "limit"     // maxReplicas reached
	ReasonMemory    Reason = "memory"    // endpoint memory exhausted
	ReasonInUse     Reason = "inUse"     // other resources or replicas depend on it
	ReasonDuplicate Reason = "duplicate" // a record with this ID was applied before
	ReasonExpired   Reason = "expired"   // key is older than the age limit
)

// Outcome is the result of applying one record.
type Outcome struct {
	Accepted bool   `json:"accepted"`
	Offset   Offset `json:"offset"`
	Reason   Reason `json:"reason,omitempty"`
	// Current is the stored revision, basis or fencing token that the proposal
	// conflicts with.
	Current Offset `json:"current,omitempty"`
	// Detail describes the field, its value and the allowed values.
	Detail string `json:"detail,omitempty"`
	// Keys has one entry per claim of a KeyBatch.
	Keys []KeyOutcome `json:"keys,omitempty"`
}

// KeyOutcome is the result of one claim on a request key.
type KeyOutcome struct {
	Accepted bool   `json:"accepted"`
	Reason   Reason `json:"reason,omitempty"` // conflict, expired or invalid (other digest)
	// Owner is the process that holds the key. After a conflict it is empty if
	// the key was freed after the request arrived.
	Owner Process `json:"owner"`
}

// LogRecord is a record as stored in the log.
type LogRecord struct {
	Offset Offset
	Data   []byte
}

// LogPage is the result of a read of the log.
type LogPage struct {
	Records []LogRecord
	// First is the oldest offset that the log retains. A reader that asked for
	// an older one has missed records.
	First Offset
	// Next is the offset of the next record to be appended.
	Next Offset
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record. After an error the record may or may not have been
	// added.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns up to limit records, starting at the offset from. If there is
	// none, it waits for a record until the deadline.
	Read(ctx context.Context, from Offset, limit int, deadline time.Time) (LogPage, error)
}

// State is a read view of the replicated state, the result of applying the log.
// It must not be used after the function that received it has returned; the
// resources and slices it returns are never modified and may be kept.
type State interface {
	// Applied is the offset of the last applied record.
	Applied() Offset
	// ConfigOffset is the offset of the last accepted apply or remove.
	ConfigOffset() Offset
	// Time is the newest time in the applied records.
	Time() time.Time
	Resource(kind Kind, name string) (*Resource, bool)
	// Resources returns all resources of a kind in the order of their names.
	Resources(kind Kind) []*Resource
	// Target resolves a model or adapter name.
	Target(name string) (Target, bool)
	// Replicas returns the reservations of a target in the order of their
	// claims.
	Replicas(target string) []Replica
	// EndpointReplicas returns the reservations on an endpoint.
	EndpointReplicas(endpoint string) []Replica
	// ReservedMB is the memory reserved on an endpoint.
	ReservedMB(endpoint string) int64
	// Basis is the replica-set version of a target, for use in a Claim.
	Basis(target string) Offset
	// ChangedSince returns the names of the models and adapters (targets) and of
	// the endpoints whose resource or reservations changed after an offset; a
	// name may occur more than once. If complete is false, the changes are no
	// longer known and everything may have changed.
	ChangedSince(o Offset) (targets, endpoints []string, complete bool)
}

// JournalStatus describes how current the replicated state is.
type JournalStatus struct {
	// Ready says that the state is complete: built from the start of the log or
	// from a snapshot, or received from a peer.
	Ready   bool
	Applied Offset
	// ConfigOffset is the offset of the newest accepted configuration.
	ConfigOffset Offset
	// LogContact is the time of the last successful read of the log.
	LogContact time.Time
	// PeerContact is the time of the last response of a peer that was at least
	// as up to date as this process.
	PeerContact time.Time
	// Head is the newest log offset known to this process.
	Head Offset
	// Stale says that for 10 s this process reached neither the log nor a peer
	// that is at least as up to date, while other entry hosts are listed.
	Stale bool
}

// Journal connects this process to the log: it applies the records that it
// reads to the replicated state and appends proposals.
type Journal interface {
	// Propose appends a change and waits until it has been read back. The
	// error wraps ErrNotAppended if the change will not take effect and
	// ErrOutcomeUnknown if it may have done so or still may.
	Propose(ctx context.Context, c Change) (Outcome, error)
	// ClaimKey proposes the claim of one request key; concurrent claims are
	// batched into one record.
	ClaimKey(ctx context.Context, c KeyClaim) (KeyOutcome, error)
	// FreeKey releases a key whose request is known not to have run. Only
	// requests that arrive after their process has applied the record can claim
	// the key again.
	FreeKey(ctx context.Context, c KeyClaim) error
	// Read calls fn with the replicated state under a read lock.
	Read(fn func(State))
	// Changed returns a channel that is closed at the next change of the
	// state.
	Changed() <-chan struct{}
	Status() JournalStatus
}
