package tamarackknot

import (
	"context"
	"crypto/sha256"
	"time"
)

// Workspace is a tenant: a group of callers with keys, a priority and a quota of its own.
type Workspace struct {
	Name string
	Keys []KeyHash
	// Priority goes before that of the route, 0 highest, if HasPriority is set.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// KeyHash identifies a caller's key. The key can't be derived from it.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Quota limits what the callers of a workspace may run on all hosts together. Without a
// rate there is no limit.
type Quota struct {
	PerSecond float64
	Burst     float64
	// InTokens says that requests count by their tokens, otherwise each counts as one.
	InTokens bool
	// PlainCost is the cost in tokens of a request that names none.
	PlainCost float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// AuthDecision is the result of a check of a caller's key.
type AuthDecision int

// The results of the check of a key.
const (
	// AuthGranted: the key belongs to a workspace.
	AuthGranted AuthDecision = iota
	// AuthUnknown: the newest configuration does not hold the key.
	AuthUnknown
	// AuthUncertain: it is not known whether the configuration of this host is the newest.
	AuthUncertain
)

// Authenticator finds the workspaces of callers by their keys.
type Authenticator interface {
	// Authenticate finds the workspace of a key. If the key is not known, it waits until the
	// configuration is known to be as new as the call, for a bounded time.
	Authenticate(ctx context.Context, key KeyHash) (*Workspace, AuthDecision)
	// AuthenticateProven is Authenticate for a request of which another host proves that it has
	// received a key with it. It also returns the key.
	AuthenticateProven(ctx context.Context, proof, message string) (KeyHash, *Workspace, AuthDecision)
	// Check repeats the check of Authenticate without waiting. It is called when a request is
	// sent to an endpoint. It is uncertain about a key that has another workspace meanwhile.
	Check(key KeyHash, workspace string) AuthDecision
	// Prove returns what shows another host that this one has received a key with a message.
	Prove(key KeyHash, message string) string
}

// QuotaDecision says whether a request fits into the quota of its workspace.
type QuotaDecision struct {
	Allowed bool
	// Grant is what was taken for a request that is allowed.
	Grant QuotaGrant
	// Exceeded says that the quota is used up; otherwise a request that is not allowed was
	// turned away because it is not known what is left.
	Exceeded bool
	// RetryAt is when there may be room; zero if a retry does not help.
	RetryAt time.Time
	Reason  string
}

// QuotaGrant is a part of the quota of a workspace that was taken for a request.
type QuotaGrant struct {
	Cost float64
	// Bucket identifies the bucket of Holder that it comes from. Holder is empty if nothing
	// can be given back.
	Holder string
	Bucket int64
	// TakenAt is when it was taken, as the time since boot.
	TakenAt time.Duration
}

// Quotas holds the quotas of workspaces over all hosts.
type Quotas interface {
	// Take takes the cost of a request from the quota of its workspace.
	Take(ctx context.Context, workspace string, q Quota, cost float64) QuotaDecision
	// Return gives back what was taken for a request that has not been sent.
	Return(workspace string, g QuotaGrant)
	// Expired reports whether too much time has passed for a request to be sent with what was
	// taken for it: what it may still use was taken within another window.
	Expired(g QuotaGrant) bool
}
