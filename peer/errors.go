package peer

import "github.com/cockroachdb/errors"

// Errors of Call and Notify; compare with errors.Is. A message that failed
// with ErrQueueFull, ErrUnreachable, ErrTooLarge or ErrUnknownHost was not
// sent.
var (
	// ErrUnknownHost means that Config.Resolve has no address for the host.
	ErrUnknownHost = errors.New("peer address of the host is not known")
	// ErrUnreachable means that the connection could not be opened, or that
	// the backoff before the next attempt has not ended.
	ErrUnreachable = errors.New("peer is unreachable")
	// ErrQueueFull means that the peer does not read messages fast enough.
	ErrQueueFull = errors.New("send queue of the peer is full")
	// ErrTooLarge means that a message exceeds Config.MaxMessageBytes.
	ErrTooLarge = errors.New("message exceeds the size limit")
	// ErrWrongHost means that the process at the address has another host name.
	ErrWrongHost = errors.New("address belongs to another host")
	// ErrClosed means that the mesh or the connection was closed or failed; the
	// message may have been handled.
	ErrClosed = errors.New("connection is closed")
)
