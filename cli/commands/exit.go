package commands

import (
	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// ExitCode tells a script what became of a command.
type ExitCode int

// The exit codes.
const (
	ExitOK          ExitCode = 0
	ExitFailed      ExitCode = 1 // rejected by the server
	ExitUsage       ExitCode = 2 // wrong flag, argument or file
	ExitConflict    ExitCode = 3 // another write came first
	ExitUnavailable ExitCode = 4 // nothing was changed; try again later
	ExitUnknown     ExitCode = 5 // the change may still take effect
	ExitTimeout     ExitCode = 6 // accepted, but --wait ended before it was true
	ExitNotFound    ExitCode = 7
)

var (
	errUsage   = errors.New("usage")
	errTimeout = errors.New("timeout")
	// errNotChanged and errUnknown mark errors by what became of the change;
	// the code of the error alone does not tell, since a broken connection and
	// a log that is down are both unavailable.
	errNotChanged = errors.New("not changed")
	errUnknown    = errors.New("outcome unknown")
)

func exitCode(err error) ExitCode {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errUsage):
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
