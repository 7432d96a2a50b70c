package peer

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot/admission"
)

const (
	// maxHelloBytes and helloTimeout limit the first message of a connection, with which the other
	// side says who it is: two names and an id.
	maxHelloBytes = 4 << 10
	helloTimeout  = 5 * time.Second
	// smallMessageBytes is the size up to which a message is read without being counted: the
	// connection's own share has room for it. Most messages are smaller.
	smallMessageBytes = 4 << 10
	// messageTimeout limits the time for a part of messagePartBytes of a message that has begun.
	// The slowest links between hosts carry 10 Mbit/s.
	messageTimeout   = 10 * time.Second
	messagePartBytes = 64 << 10
	// memoryTimeout is how long a message waits for memory, and memoryCheckInterval the time
	// between two checks.
	memoryTimeout       = 3 * time.Second
	memoryCheckInterval = 20 * time.Millisecond
	firstMessageBytes   = 64 << 10
)

// errNoMemory means that this host has no memory for a message.
var errNoMemory = errors.New("no memory for the message")

// readMessage reads a message of n bytes. Its buffer grows with what arrives.
func (s *stream) readMessage(n int) ([]byte, error) {
	s.account.Set(admission.ReadingBody, time.Now())
	defer func() { s.account.Set(admission.Serving, time.Now()) }()
	var data []byte
	for len(data) < n {
		grown := min(max(2*len(data), firstMessageBytes), n)
		if err := s.holdMessage(grown); err != nil {
			return nil, err
		}
		data = append(make([]byte, 0, grown), data...)
		for len(data) < grown {
			part := data[len(data):min(len(data)+messagePartBytes, grown)]
			if err := s.readPart(part); err != nil {
				return nil, err
			}
			data = data[:len(data)+len(part)]
		}
	}
	return data, nil
}

// readPart reads a part of a message.
func (s *stream) readPart(part []byte) error {
	if s.accepted {
		if err := s.conn.SetReadDeadline(time.Now().Add(messageTimeout)); err != nil {
			return errors.Wrap(err, "set read deadline")
		}
	}
	n, err := io.ReadFull(s.r, part)
	s.account.Progress(n, time.Now())
	return err //nolint:wrapcheck // jsonrpc2 compares it with io.ErrUnexpectedEOF
}

// holdMessage counts the buffer of a message, and waits until there is memory for it.
func (s *stream) holdMessage(n int) error {
	if n <= smallMessageBytes {
		return nil
	}
	for until := time.Now().Add(memoryTimeout); !s.account.Hold(admission.Peers, n-s.held, time.Now()); {
		if s.account.Evicted() || time.Now().After(until) {
			return errNoMemory
		}
		time.Sleep(memoryCheckInterval)
	}
	s.held = n
	return nil
}

// takeHeld returns what is held for the message that was read last, which the caller releases.
func (s *stream) takeHeld() int {
	n := s.held
	s.held = 0
	return n
}

// evict closes the connection in favor of others.
func (s *stream) evict(admission.Activity) {
	s.onShed()
	_ = s.conn.Close()
}
