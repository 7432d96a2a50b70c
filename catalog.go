package tamarackknot

import "time"

// RouteKind says how often one request of a route may run.
type RouteKind string

// The kinds of routes.
const (
	// RouteRepeatable requests may run more than once.
	RouteRepeatable RouteKind = "repeatable"
	// RouteOnce requests run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream requests are answered by events and run at most once, unless
	// the route is resumable.
	RouteStream RouteKind = "stream"
)

// Catalog is one version of what operators decided: which requests are served
// and by which endpoints. It is never modified once published.
type Catalog struct {
	// Version grows with each change.
	Version  int64
	Routes   []Route
	Services map[string]PoolSpec
	Limits   CallerLimits
}

// CallerLimits bound what a caller may send.
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
	Prefix string // begins and ends with a slash
	Kind   RouteKind
	// Timeout is the longest time that a request may take; 0 means no limit.
	Timeout time.Duration
	// Objective is the time within which the first byte is due.
	Objective time.Duration
	// GapObjective is the longest pause between two events of a stream.
	GapObjective time.Duration
	// Priority is the rank of the route, 0 first.
	Priority int
	// Shares are the services that take the requests, with their weights.
	Shares []Share
	// Attempts is how many endpoints may run one request.
	Attempts int
	// Resumable says that a stream may go on at another endpoint.
	Resumable bool
}

// Share is the part of a route's requests that a service takes.
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
	// Slots is how many requests one engine runs at once.
	Slots int
	// WeightsMB is the accelerator memory for models and adapters.
	WeightsMB float64
	// AdapterSlots is how many adapters one engine holds.
	AdapterSlots int
	// CacheMB and DiskMB hold copies of weights beside the accelerator.
	CacheMB float64
	DiskMB  float64
	// LoadsPerSecond limits loads from the weight store over all engines.
	LoadsPerSecond float64
	Models         map[string]HostedModel
}

// HostedModel is a model that the engines of a service may hold.
type HostedModel struct {
	Name      string
	WeightsMB float64
	Adapters  int
	AdapterMB float64
	// The load times by where the weights are.
	LoadRemote time.Duration
	LoadDisk   time.Duration
	LoadMemory time.Duration
}

// LoadTime is how long a load takes from a tier.
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

// EndpointState is what an endpoint's entry in the platform's list says.
type EndpointState string

// The states of an entry.
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
	// GoneAt is when an endpoint that is taken away ends; zero if not known.
	GoneAt time.Time
	// Born is when the process of the endpoint started.
	Born time.Time
	// Engine is nil for a plain service.
	Engine *EngineReport
}

// EngineReport is what a model engine says of what it holds. It lags.
type EngineReport struct {
	Born time.Time
	// Sequence counts the accepted orders since the start.
	Sequence int64
	Busy     bool
	Held     []HeldModel
	// Pending are the adapters on their way, as MODEL/NAME.
	Pending []string
	// InMemory and OnDisk are the copies of weights beside the accelerator.
	InMemory []string
	OnDisk   []string
}

// HeldModel is a model in accelerator memory with its adapters.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []string
}

// WeightOrderKind is what a weight order asks for.
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
	Adapter string // empty: the model itself
	// Sequence is the count of accepted orders that the order is based on.
	Sequence int64
	// Owner and Fence name the holder of the lease under which it is given.
	Owner string
	Fence int64
	// Endpoint is the only endpoint that may carry the order out.
	Endpoint string
}

// WeightOutcome says what became of a weight order.
type WeightOutcome string

// The outcomes of a weight order.
const (
	WeightAccepted  WeightOutcome = "accepted"  // is being carried out
	WeightHolds     WeightOutcome = "holds"     // is already so
	WeightConflict  WeightOutcome = "conflict"  // another order is under way, or Sequence differs
	WeightFenced    WeightOutcome = "fenced"    // a higher fencing token was seen
	WeightMisplaced WeightOutcome = "misplaced" // another endpoint has the address
	WeightInvalid   WeightOutcome = "invalid"
	WeightUnknown   WeightOutcome = "unknown" // may take effect later
)

// HostEntry is an entry host as it registered itself.
type HostEntry struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failureDomain"`
	// Address is the IP:port for callers, PeerAddress that for other hosts.
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	// CPUCores is the host's share of processor cores; 0 means unknown.
	CPUCores float64 `json:"strength,omitempty"`
}
