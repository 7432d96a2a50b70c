package tamarackknot

import (
	"context"
	"time"
)

// OrderKind is the kind of an order.
type OrderKind string

// The orders that engines accept.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order asks a model engine to load or unload a target or to change its role.
// An order is idempotent: repeating it with the same fencing token has no
// further effect.
type Order struct {
	Kind     OrderKind `json:"kind"`
	Target   string    `json:"target"`
	Base     string    `json:"base,omitempty"` // base model of an adapter
	Version  string    `json:"version"`
	MemoryMB int64     `json:"memoryMB"`
	Role     string    `json:"role,omitempty"`
	Fence    Offset    `json:"fence"`
}

// OrderOutcome is the outcome of an order.
type OrderOutcome string

// The outcomes of an order.
const (
	OrderDone       OrderOutcome = "done"
	OrderRefused    OrderOutcome = "refused"    // has no effect, now or later
	OrderStaleFence OrderOutcome = "staleFence" // refused: a higher fencing token was received before
	OrderNoMemory   OrderOutcome = "noMemory"   // refused: accelerator memory is exhausted
	OrderStoreBusy  OrderOutcome = "storeBusy"  // refused: the weight store is over its limit
	OrderUnknown    OrderOutcome = "unknown"    // may still take effect
)

// OrderResult is the response of an engine to an order.
type OrderResult struct {
	Outcome OrderOutcome
	// RetryAt is when to retry after OrderStoreBusy; zero if not known.
	RetryAt time.Time
	Message string
}

// Tier is a location from which an endpoint loads a checkpoint.
type Tier string

// The tiers, fastest first.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// LoadedTarget is a target in accelerator memory.
type LoadedTarget struct {
	Name     string `json:"name"`
	Version  string `json:"version"`
	MemoryMB int64  `json:"memoryMB"`
	// Loading says that the load has not finished; MemoryMB is already in use.
	Loading bool `json:"loading,omitempty"`
	// Running is the number of running or waiting requests for this target, 0 if
	// the engine does not count them by target.
	Running int `json:"running,omitempty"`
}

// CachedTarget is a checkpoint in an endpoint's cache.
type CachedTarget struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Tier    Tier   `json:"tier"`
}

// Report is an endpoint's report of its load and its targets. It may be
// outdated.
type Report struct {
	Endpoint string `json:"endpoint"`
	// Time is when the endpoint created the report.
	Time    time.Time      `json:"time"`
	Leaving bool           `json:"leaving,omitempty"`
	Running int            `json:"running"`
	Waiting int            `json:"waiting"`
	Loaded  []LoadedTarget `json:"loaded,omitempty"`
	Cached  []CachedTarget `json:"cached,omitempty"`
}

// Engine sends orders to model engines and reads their reports.
type Engine interface {
	Order(ctx context.Context, address string, o Order) OrderResult
	Report(ctx context.Context, address string) (Report, error)
}

// Reports provides the newest report of each endpoint.
type Reports interface {
	// Report returns false for an endpoint that has not reported yet.
	Report(endpoint string) (Report, bool)
	// Unreachable reports whether this host cannot reach the endpoint or has an
	// EndpointSign that it is leaving.
	Unreachable(endpoint string) bool
}
