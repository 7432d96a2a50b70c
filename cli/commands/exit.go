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
)

func exitCode(err error) ExitCode {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errTimeout):
		return ExitTimeout
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeFailedPrecondition:
		return ExitFailed
	case connect.CodeAborted:
		return ExitConflict
	case connect.CodeUnavailable:
		return ExitUnavailable
	case connect.CodeNotFound:
		return ExitNotFound
	default:
		return ExitUnknown
	}
}
