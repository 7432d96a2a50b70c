package tamarackknot

import "time"

// Demand describes the requests that wait for a target at one entry host.
type Demand struct {
	Target  string `json:"target"`
	Waiting int    `json:"waiting"`
	// Earliest is the earliest deadline of the waiting requests.
	Earliest time.Time `json:"earliest"`
	// Priority is the highest priority of the waiting requests, from 0 (lowest)
	// to 9.
	Priority int `json:"priority"`
}

// Forecast says when placement expects a target that is not loaded to be
// available.
type Forecast struct {
	// ReadyAt is when a replica is expected to be loaded; zero if not known.
	ReadyAt time.Time
	// Refused says that no replica will be loaded now, for Reason; a retry may
	// succeed from RetryAt on.
	Refused bool
	Reason  string
	RetryAt time.Time
}

// Placement receives the demand for targets and forecasts when replicas will be
// loaded for it.
type Placement interface {
	// SetDemand replaces this host's demand for a target; Waiting 0 removes it.
	SetDemand(d Demand)
	// Used records a request for a target in the usage history, which determines
	// how long an idle replica is kept.
	Used(target string, at time.Time)
	// Forecast returns the forecast for a target.
	Forecast(target string) Forecast
}
