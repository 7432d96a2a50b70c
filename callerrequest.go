package tamarackknot

import (
	"net/http"
	"time"
)

// CallerRequest is what a caller says of a request beside its content.
type CallerRequest struct {
	// ID is unique per attempt of a caller.
	ID string
	// Timeout is how long the caller waits; 0 means that it did not say.
	Timeout time.Duration
	Model   string
	Adapter string
	// Parts are the ids of the prompt's parts in their order.
	Parts []string
	// LastEvent is the id of the last event of a stream that the caller has.
	LastEvent string
}

// EndpointAttempt is what an endpoint is told of a request.
type EndpointAttempt struct {
	// Endpoint is the only endpoint that may run the request.
	Endpoint string
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Urgency is from 0, first, to 9.
	Urgency int
	// LastEvent is the id of the event after which a stream goes on.
	LastEvent string
}

// EndpointAnswer is what an endpoint says in the head of an answer.
type EndpointAnswer struct {
	RequestID string
	// Signed says that the answer comes from an endpoint's run.
	Signed bool
	// NotRun says that the endpoint did not and will not run the request.
	NotRun bool
	// Misplaced says that the endpoint is another one or lacks the model.
	Misplaced bool
}

// Dialect translates the heads of requests and answers.
type Dialect interface {
	// Request reads a caller's request; an error says what is malformed.
	Request(h http.Header) (CallerRequest, error)
	// Forward turns a caller's headers into those for an endpoint.
	Forward(caller http.Header, a EndpointAttempt) http.Header
	Answer(status int, h http.Header) EndpointAnswer
	// Relay turns an endpoint's headers into those for the caller.
	Relay(endpoint http.Header) http.Header
}
