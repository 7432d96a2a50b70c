package tamarackknot

import "time"

// HostDemand is what one entry host has running and waiting.
type HostDemand struct {
	Host    string
	Leaving bool
	Running []RunCount
	Models  []ModelDemand
}

// RunCount is how many requests of one target a host has at an endpoint.
type RunCount struct {
	Endpoint string `json:"endpoint"`
	Model    string `json:"model,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Count    int    `json:"count"`
}

// ModelDemand is one host's demand for a model and its history there.
type ModelDemand struct {
	Service string
	Model   string
	// Waiting requests cannot be sent yet; Tight of them have an objective
	// below the time of a load from disk.
	Waiting int
	Tight   int
	// Objective and Deadline are the first of the waiting requests.
	Objective time.Time
	Deadline  time.Time
	// Adapters are the adapters of the model that requests wait for.
	Adapters []string
	// Total and TightTotal count the requests since the start of the host.
	Total      int64
	TightTotal int64
	LastUsed   time.Time
}

// FleetView is what the planner tells the hosts of the model engines.
type FleetView struct {
	Planner string
	Fence   int64
	// Engines are the model engines by endpoint id.
	Engines map[string]EngineView
	// Forecasts are the models that requests wait for.
	Forecasts []ModelForecast
	// Hosts are the entry hosts that the planner hears from.
	Hosts []HostEntry
}

// StreamState is how far a host follows a stream of the platform's store.
type StreamState struct {
	// Version grows with each change that other hosts must learn of.
	Version int64
	// ReadAt is when the stream was last read to its end; zero means never.
	ReadAt time.Time
}

// EngineView is what a model engine holds.
type EngineView struct {
	Held []HeldModel
	// Others counts the requests that other hosts have at the endpoint.
	Others int
}

// ModelForecast says when a model that requests wait for will be held.
type ModelForecast struct {
	Service string
	Model   string
	ReadyAt time.Time
}
