package commands

import (
	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// ExitCode is the exit code of a command; it tells scripts the outcome.
type ExitCode int

// The exit codes.
const (
	ExitOK          ExitCode = 0
	ExitFailed      ExitCode = 1 // rejected by the server, or check --strict has warnings
	ExitUsage       ExitCode = 2 // wrong flag, argument or file, or check has errors
	ExitConflict    ExitCode = 3 // the resource was changed by another write
	ExitUnavailable ExitCode = 4 // nothing was changed; try again later
	ExitUnknown     ExitCode = 5 // the change may still take effect
	ExitTimeout     ExitCode = 6 // accepted, but the conditions of --wait were not met in time
	ExitNotFound    ExitCode = 7
)

var (
	errUsage   = errors.New("usage")
	errTimeout = errors.New("timeout")
	// errNotChanged and errUnknown mark errors by the outcome of the change.
	// The code of the error does not show it, because a broken connection and
	// a log that is not available have the same code.
	errNotChanged = errors.New("not changed")
	errUnknown    = errors.New("outcome unknown")
)

func exitCode(err error) ExitCode {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errWarnings):
		return ExitFailed
	case errors.IsAny(err, errUsage, errInvalid):
		return ExitUsage
	case errors.Is(err, errTimeout):
		return ExitTimeout
	case errors.Is(err, errUnknown):
		return ExitUnknown
	case errors.Is(err, errNotChanged):
		return ExitUnavailable
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeFailedPrecondition, connect.CodeUnimplemented:
		return ExitFailed
	case connect.CodeAborted:
		return ExitConflict
	case connect.CodeNotFound:
		return ExitNotFound
	default:
		return ExitUnknown
	}
}
