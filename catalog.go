package tamarackknot

import "time"

// RouteKind determines how often a request of a route may run.
type RouteKind string

// The kinds of routes.
const (
	// RouteRepeatable requests may run more than once.
	RouteRepeatable RouteKind = "repeatable"
	// RouteOnce requests run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream requests are answered with a stream of events and run at most
	// once, unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// Catalog is one version of the operators' configuration: which requests are
// served and by which endpoints. It is not modified after publication.
type Catalog struct {
	// Version increases with each change.
	Version  int64
	Routes   []Route
	Services map[string]PoolSpec
	Limits   CallerLimits
	// Authenticated says that requests on routes that are not anonymous need the key of one of
	// the workspaces.
	Authenticated bool
	Workspaces    []Workspace
	// Warnings name the parts of the configuration that are not valid and left out.
	Warnings []string
}

// CallerLimits limits what a caller may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route selects a service for the requests of one host name and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string // starts and ends with a slash
	Kind   RouteKind
	// Timeout is the longest time that a request may take; 0 means no limit.
	Timeout time.Duration
	// Objective is the target time to the first byte.
	Objective time.Duration
	// GapObjective is the target for the longest pause between two events of a
	// stream.
	GapObjective time.Duration
	// Priority is the priority of the route, 0 highest.
	Priority int
	// Shares are the services that serve the requests, with their weights.
	Shares []Share
	// Attempts is the maximum number of endpoints that may run one request.
	Attempts int
	// Resumable says that a stream may be resumed at another endpoint.
	Resumable bool
	// Anonymous routes need no key.
	Anonymous bool
}

// Share is the weight of a service in a route.
type Share struct {
	Service string
	Weight  int
}

// PoolSpec describes the endpoints of one service.
type PoolSpec struct {
	Name string
	// Engine is nil for a plain service.
	Engine *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// MemoryTokens is the number of tokens that one engine holds for the requests that it runs;
	// 0 if not known.
	MemoryTokens float64
	// WeightsMB is the accelerator memory for models and adapters.
	WeightsMB float64
	// AdapterSlots is the maximum number of adapters that one engine holds.
	AdapterSlots int
	// CacheMB and DiskMB are the sizes of the host memory and disk caches of
	// weights.
	CacheMB float64
	DiskMB  float64
	// LoadsPerSecond limits the loads from the weight store by all engines
	// together.
	LoadsPerSecond float64
	Models         map[string]HostedModel
}

// HostedModel is a model that the engines of a service may hold.
type HostedModel struct {
	Name      string
	WeightsMB float64
	Adapters  int
	AdapterMB float64
	// The load times by location of the weights.
	LoadRemote time.Duration
	LoadDisk   time.Duration
	LoadMemory time.Duration
}

// LoadTime returns the duration of a load from a tier.
func (m HostedModel) LoadTime(t Tier) time.Duration {
	switch t {
	case TierMemory:
		return m.LoadMemory
	case TierDisk:
		return m.LoadDisk
	default:
		return m.LoadRemote
	}
}

// EndpointState is the state of an endpoint in the platform's list.
type EndpointState string

// The states of an endpoint.
const (
	EndpointReady    EndpointState = "ready"
	EndpointDraining EndpointState = "draining"
)

// EndpointEntry is an endpoint as it registered itself.
type EndpointEntry struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	State         EndpointState
	// GoneAt is when an endpoint that is being removed ends; zero if not known.
	GoneAt time.Time
	// Born is the start time of the endpoint's process.
	Born time.Time
	// Version is the version of the endpoint's software, empty if not known.
	Version string
	// Engine is nil for a plain service.
	Engine *EngineReport
}

// EngineReport is a model engine's report of the models it holds. It may be
// outdated.
type EngineReport struct {
	Born time.Time // start time of the process
	// Sequence is the number of orders accepted since the start.
	Sequence int64
	Busy     bool
	Held     []HeldModel
	// Pending are the adapters being loaded, as MODEL/NAME.
	Pending []string
	// InMemory and OnDisk are the weights cached in host memory and on disk.
	InMemory []string
	OnDisk   []string
}

// HeldModel is a model in accelerator memory with its adapters.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []string
}

// WeightOrderKind is the kind of a weight order.
type WeightOrderKind string

// The kinds of weight orders.
const (
	WeightLoad  WeightOrderKind = "load"
	WeightEvict WeightOrderKind = "evict"
)

// WeightOrder asks a model engine to load or evict a model or an adapter.
type WeightOrder struct {
	Kind    WeightOrderKind
	Model   string
	Adapter string // empty for the model itself
	// Sequence is the EngineReport.Sequence that the order is based on.
	Sequence int64
	// Owner and Fence are the lease holder that sends the order and its fencing
	// token.
	Owner string
	Fence int64
	// Endpoint is the only endpoint that may execute the order.
	Endpoint string
}

// WeightOutcome is the outcome of a weight order.
type WeightOutcome string

// The outcomes of a weight order.
const (
	WeightAccepted  WeightOutcome = "accepted"  // is being executed
	WeightHolds     WeightOutcome = "holds"     // no change: the requested state already holds
	WeightConflict  WeightOutcome = "conflict"  // another order is in progress, or Sequence differs
	WeightFenced    WeightOutcome = "fenced"    // a higher fencing token was received before
	WeightMisplaced WeightOutcome = "misplaced" // another endpoint has the address
	WeightInvalid   WeightOutcome = "invalid"
	WeightUnknown   WeightOutcome = "unknown" // may still take effect
)

// HostEntry is an entry host as it registered itself.
type HostEntry struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failureDomain"`
	// Address is the IP:port for callers, PeerAddress the one for other hosts.
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	// CPUCores is the number of processor cores available to the host, possibly
	// a fraction; 0 means unknown.
	CPUCores float64 `json:"strength,omitempty"`
	// Isolated says that the host reaches no endpoint; only in the planner's list of live
	// hosts.
	Isolated bool `json:"isolated,omitempty"`
	// Workspaces says that the host takes requests from others with a proof of their key.
	Workspaces bool `json:"workspaces,omitempty"`
}
