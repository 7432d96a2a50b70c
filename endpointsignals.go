package tamarackknot

import "time"

// EndpointSignals is what an endpoint says of itself in an answer.
type EndpointSignals struct {
	// Limit is the rate that it takes from all entry hosts together.
	Limit RateLimit
	// Leaving says that it is about to end, whatever its entry says.
	Leaving bool
	// PauseUntil is until when it wants no request from this host; zero if it names none.
	PauseUntil time.Time
	// Brittle says that it fails if it has to decline more than MaxDeclines requests in a
	// second.
	Brittle     bool
	MaxDeclines int
}

// RateLimit is the number of requests a second that an endpoint takes from all entry
// hosts together. The zero value means no limit.
type RateLimit struct {
	Limited   bool
	PerSecond float64 // 0 or more
}
