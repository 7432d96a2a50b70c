package tamarackknot

import (
	"context"
	"encoding/hex"
	"net/http"
	"time"
)

// CallerRequest holds the metadata that a caller sends with a request.
type CallerRequest struct {
	// ID is unique per attempt of a caller.
	ID string
	// Timeout is how long the caller waits; 0 means unspecified.
	Timeout time.Duration
	Model   string
	Adapter string
	// Credentials prove who the caller is; empty if it names none.
	Credentials string
	// Tokens is the size of the request: the tokens of its prompt and those that it may
	// generate.
	Tokens RequestTokens
	// Parts are the ids of the prompt's parts in order.
	Parts []string
	// LastEvent is the id of the last event that the caller received of a
	// stream.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of that
	// stream.
	Resumes string
}

// RequestTokens is the size of a request in tokens.
type RequestTokens struct {
	// Known says that the caller has named the size, Malformed that it can't be read.
	Known     bool
	Malformed bool
	Prompt    float64
	Output    float64
}

// ContentID identifies what a request asks for, whichever attempt of its caller it is.
type ContentID [8]byte

func (c ContentID) String() string { return hex.EncodeToString(c[:]) }

// StreamOrigin says what began a stream: the service, and the version of its endpoints'
// software.
type StreamOrigin struct{ Service, Version string }

// StreamOrigins records the origins of streams on several hosts.
type StreamOrigins interface {
	// Record keeps the origin of the stream that the caller's attempt with the id began.
	// It does not block.
	Record(id string, o StreamOrigin)
	// Find returns the origin of a stream. If it is not found, complete says that all
	// hosts have answered.
	Find(ctx context.Context, id string) (o StreamOrigin, found, complete bool)
}

// RequestIdentity is that of a request by which it, or a part of its prompt, is recognised
// when it comes again.
type RequestIdentity struct {
	// ID is that of the caller's attempt.
	ID      string
	Service string
	// Content is zero if it is not known.
	Content ContentID
	// Parts are the ids of the prompt's parts in order.
	Parts []string
}

// CrashRecords relates crashes of endpoints to the requests, and the parts of prompts,
// that cause them. The last part of a prompt belongs to its request alone and is not
// considered.
type CrashRecords interface {
	// Rejects reports whether a request must not be sent, since endpoints crash under it
	// or under a part of its prompt.
	Rejects(r RequestIdentity) bool
	// RecordLoss records that an endpoint broke off its answer before it had properly
	// begun.
	RecordLoss(e EndpointEntry, r RequestIdentity)
	// RecordAnswer records that an endpoint properly began to answer a request; it is then
	// alive as well.
	RecordAnswer(e EndpointEntry, r RequestIdentity)
	// RecordAlive records that an endpoint sent something.
	RecordAlive(e EndpointEntry)
}

// EndpointAttempt holds the metadata that an endpoint gets with one attempt to
// run a request.
type EndpointAttempt struct {
	// Endpoint is the only endpoint that may run the request; empty if it is forwarded to
	// another entry host.
	Endpoint string
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Urgency is from 0 (most urgent) to 9.
	Urgency int
	// LastEvent is the id of the event after which a stream resumes.
	LastEvent string
	// Authenticated says that the configuration has workspaces. The endpoint then gets the
	// name of the caller's workspace, if it has one, and no credentials.
	Authenticated bool
	Workspace     string
}

// EndpointAnswer holds the metadata in the header of an endpoint's response.
type EndpointAnswer struct {
	RequestID string
	// Signed says that the response has the stamp of an endpoint that ran the
	// request.
	Signed bool
	// NotRun says that the endpoint did not and will not run the request.
	NotRun bool
	// Misplaced says that another endpoint has the address, or that the
	// endpoint lacks the model.
	Misplaced bool
	// Signals is what the endpoint says of itself.
	Signals EndpointSignals
}

// Dialect translates the headers of requests and responses between callers and
// endpoints.
type Dialect interface {
	// Request parses a caller's headers; the error names the malformed one.
	Request(h http.Header) (CallerRequest, error)
	// Forward converts a caller's headers into those for an endpoint.
	Forward(caller http.Header, a EndpointAttempt) http.Header
	// Answer parses the status and headers of an endpoint's response.
	Answer(status int, h http.Header) EndpointAnswer
	// Relay converts an endpoint's headers into those for the caller.
	Relay(endpoint http.Header) http.Header
}
