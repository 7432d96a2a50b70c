package tamarackknot

import "time"

// Demand is what one entry host has waiting for a target.
type Demand struct {
	Target  string `json:"target"`
	Waiting int    `json:"waiting"`
	// Earliest is the first deadline of the waiting requests.
	Earliest time.Time `json:"earliest"`
	// Priority is the highest of the waiting requests, 0 to 9.
	Priority int `json:"priority"`
}

// Forecast is what placement expects for a target that is not loaded.
type Forecast struct {
	// ReadyAt is when a replica is expected to be loaded; zero if not known.
	ReadyAt time.Time
	// Refused says that no replica will be loaded now, for Reason; RetryAt is
	// when asking again helps.
	Refused bool
	Reason  string
	RetryAt time.Time
}

// Placement receives demand and forecasts when it will be met.
type Placement interface {
	// SetDemand replaces this host's demand for a target; Waiting 0 withdraws it.
	SetDemand(d Demand)
	// Used records a request for a target, for the history that decides how
	// long an idle replica is kept.
	Used(target string, at time.Time)
	Forecast(target string) Forecast
}
