package peer

import "github.com/cockroachdb/errors"

// Errors of Call and Notify; compare with errors.Is. A message that failed
// with ErrQueueFull, ErrUnreachable, ErrTooLarge or ErrUnknownHost was not
// sent.
var (
	// ErrUnknownHost says that the resolver has no address for the host.
	ErrUnknownHost = errors.New("peer address of the host is not known")
	// ErrUnreachable says that the connection could not be opened, or that
	// the time of the next attempt has not come.
	ErrUnreachable = errors.New("peer is unreachable")
	// ErrQueueFull says that the peer does not take messages fast enough.
	ErrQueueFull = errors.New("send queue of the peer is full")
	// ErrTooLarge says that a message exceeds Config.MaxMessageBytes.
	ErrTooLarge = errors.New("message exceeds the size limit")
	// ErrWrongHost says that the process at the address has another host name.
	ErrWrongHost = errors.New("address belongs to another host")
	// ErrClosed says that the mesh or the connection was closed or broke; the
	// message may have been handled.
	ErrClosed = errors.New("connection is closed")
)
