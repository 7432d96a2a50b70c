package tamarackknot

import (
	"context"
	"time"
)

// OrderKind is what an order asks of a model engine.
type OrderKind string

// The orders that engines accept.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order asks a model engine to load or unload a target or to change its role.
// Repeating an order with the same fencing number has no further effect.
type Order struct {
	Kind     OrderKind `json:"kind"`
	Target   string    `json:"target"`
	Base     string    `json:"base,omitempty"` // base model of an adapter
	Version  string    `json:"version"`
	MemoryMB int64     `json:"memoryMB"`
	Role     string    `json:"role,omitempty"`
	Fence    Offset    `json:"fence"`
}

// OrderOutcome says what became of an order.
type OrderOutcome string

// The outcomes of an order.
const (
	OrderDone       OrderOutcome = "done"
	OrderRefused    OrderOutcome = "refused"    // had no effect and will have none
	OrderStaleFence OrderOutcome = "staleFence" // refused: a higher fencing number was seen
	OrderNoMemory   OrderOutcome = "noMemory"   // refused: accelerator memory is exhausted
	OrderStoreBusy  OrderOutcome = "storeBusy"  // refused: the weight store is over its limit
	OrderUnknown    OrderOutcome = "unknown"    // may still take effect
)

// OrderResult is the answer of an engine to an order.
type OrderResult struct {
	Outcome OrderOutcome
	// RetryAt is when to try again after OrderStoreBusy; zero if not known.
	RetryAt time.Time
	Message string
}

// Tier is where an endpoint caches a checkpoint.
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
	// Loading says that the load has not finished; its memory is in use.
	Loading bool `json:"loading,omitempty"`
	// Running is the number of requests of this target that run or wait, 0 if
	// the engine does not count them by target.
	Running int `json:"running,omitempty"`
}

// CachedTarget is a checkpoint in an endpoint's cache.
type CachedTarget struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Tier    Tier   `json:"tier"`
}

// Report is what an endpoint says of itself. It lags.
type Report struct {
	Endpoint string `json:"endpoint"`
	// Time is when the endpoint made the report.
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

// Reports gives the newest report of each endpoint.
type Reports interface {
	// Report returns false for an endpoint that has not reported yet.
	Report(endpoint string) (Report, bool)
	// Unreachable reports whether this host cannot reach the endpoint or has a
	// sign that it is leaving.
	Unreachable(endpoint string) bool
}
