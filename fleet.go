package tamarackknot

import "time"

// HostDemand describes the running and waiting requests of one entry host.
type HostDemand struct {
	Host    string
	Leaving bool
	// Isolated says that the host reaches no endpoint.
	Isolated bool
	Running  []RunCount
	Models   []ModelDemand
	// Notices are those of endpoints that changed since the last report, or have not been
	// reported for long.
	Notices []EndpointNotice
	// Brittle says of services what their endpoints have told this host since the last
	// report.
	Brittle []BrittleService
}

// BrittleService says that the endpoints of a service are brittle, each of which then fails
// if it has to decline more than MaxDeclines requests in a second, or that they no longer
// are. One of them said so At.
type BrittleService struct {
	Service     string
	Brittle     bool
	MaxDeclines int
	At          time.Time
}

// EndpointNotice is what one start of an endpoint says of itself to all hosts, as observed
// by one of them at a time.
type EndpointNotice struct {
	Endpoint string
	Born     time.Time
	Limit    RateLimit
	// Leaving does not end before the endpoint does.
	Leaving bool
	At      time.Time
}

// RunCount is the number of requests for one target that a host has running at
// an endpoint.
type RunCount struct {
	Endpoint string `json:"endpoint"`
	Model    string `json:"model,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Count    int    `json:"count"`
}

// ModelDemand is one host's demand for a model and the usage history of the
// model at this host.
type ModelDemand struct {
	Service string
	Model   string
	// Waiting is the number of requests that cannot be sent yet; Tight of them
	// have an objective shorter than a load from disk.
	Waiting int
	Tight   int
	// Objective and Deadline are the earliest of the waiting requests.
	Objective time.Time
	Deadline  time.Time
	// Adapters are the adapters of the model that requests wait for.
	Adapters []string
	// Total and TightTotal count the requests since the host started.
	Total      int64
	TightTotal int64
	LastUsed   time.Time
}

// FleetDemand is the demand of all hosts.
type FleetDemand struct {
	// Running are the requests of the hosts that report. An engine and a target may occur
	// several times.
	Running []RunCount
	// Models sums the demand for each model: the earliest times of the waiting requests, the
	// last use, and the numbers of all others.
	Models []ModelDemand
	// Domains is the demand by failure domain, ordered by domain; nil if nobody asks for it.
	Domains []DomainDemand
}

// DomainDemand is the demand of the hosts of one failure domain.
type DomainDemand struct {
	Domain  string
	Running []RunCount
	Waiting []ModelWaiting
}

// ModelWaiting is the number of requests that wait for a model.
type ModelWaiting struct {
	Service string
	Model   string
	Count   int
}

// DomainShare is the share of the requests for a model, from 0 to 1, that leave the failure
// domain of their host.
type DomainShare struct {
	Domain  string
	Service string
	Model   string // empty for a plain service
	Share   float64
}

// FleetView is the state of the model engines that the planner publishes to the
// entry hosts.
type FleetView struct {
	Planner string
	Fence   int64
	// Engines are the model engines by endpoint id.
	Engines map[string]EngineView
	// Forecasts are the forecasts for the models that requests wait for.
	Forecasts []ModelForecast
	// Notices are what endpoints said of themselves, if the message has them.
	Notices []EndpointNotice
	// Brittle says which services have brittle endpoints, and which no longer have.
	Brittle []BrittleService
	// Hosts are the entry hosts that currently report to the planner.
	Hosts []HostEntry
	// Shares are the shares above 0, at a host those of its own failure domain. The planner
	// planned them at SharesAt; zero means that it plans none.
	Shares   []DomainShare
	SharesAt time.Time
}

// Registration says how an entry host is registered in the platform's store and
// what it has read of the registered hosts. Times count from boot, including
// suspension.
type Registration struct {
	// Registered says that the store has accepted the host's entry, at At.
	Registered bool
	At         time.Duration
	// Previous is the position of the entry of an earlier process of the host;
	// HadPrevious is false if there was none.
	Previous    Position
	HadPrevious bool
	// ReadAt is the start of the last read of the registered hosts, ReadEnd the
	// position up to which they are read.
	ReadAt  time.Duration
	ReadEnd Position
}

// KnownAt reports whether the registered hosts read up to a position include an
// earlier process of this host.
func (r Registration) KnownAt(end Position) bool {
	return r.HadPrevious && r.Previous.Era == end.Era && r.Previous.Offset < end.Offset
}

// HolderMessage is what the last message of the planner says of its lease.
type HolderMessage struct {
	// End is the end of the lease's stream that the planner knew.
	End   Position
	Fence int64
	// SentAt is the time since boot at the planner when it sent the message, including
	// suspension; 0 if the message does not say.
	SentAt time.Duration
	// ReceivedAt is when this host received it.
	ReceivedAt time.Time
}

// StreamState says how current a host's copy of a stream of the platform's
// store is.
type StreamState struct {
	// Version increases with each change that other hosts must receive.
	Version int64
	// ReadAt is when the stream was last read to its end; zero means never.
	ReadAt time.Time
	// ReadableSince is since when reads have not failed. Zero means that it is not known.
	ReadableSince time.Time
	// ConfirmedAt is the newest time since boot, including suspension, at which Version is
	// known to have been the newest one; 0 if it never was.
	ConfirmedAt time.Duration
}

// EngineView describes the models and the load of a model engine.
type EngineView struct {
	Domain string // failure domain, only at the planner
	Held   []HeldModel
	// Others is the number of requests that other hosts have running at the
	// endpoint.
	Others int
}

// ModelForecast says when a model that requests wait for is expected to be
// loaded.
type ModelForecast struct {
	Service string
	Model   string
	ReadyAt time.Time
}
