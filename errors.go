package tamarackknot

import "github.com/cockroachdb/errors"

// Errors of Journal and of its callers, to be compared with errors.Is.
var (
	// ErrNotAppended says that a proposal did not reach the log and never
	// will.
	ErrNotAppended = errors.New("proposal was not appended to the log")
	// ErrOutcomeUnknown says that a proposal may have reached the log but was
	// not read back in time.
	ErrOutcomeUnknown = errors.New("outcome of the proposal is unknown: it was not read back from the log in time")
	// ErrNotReady says that the replicated state is not complete yet.
	ErrNotReady = errors.New("state is not complete: no snapshot, log start or peer state read yet")
)
