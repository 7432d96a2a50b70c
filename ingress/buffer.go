package ingress

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"tamarackknot.example/tamarackknot/admission"
)

const (
	// maxBufferedResponse limits the body, in bytes, of a response that is read
	// completely before it is sent to the caller.
	maxBufferedResponse = 8 << 20
	// maxBufferedResponses limits what is buffered of all responses together beyond
	// freeBufferBytes of each, so that endpoints that send without end don't exhaust the
	// memory of the host.
	maxBufferedResponses = 16 << 20
	freeBufferBytes      = 64 << 10
	// holdStepBytes is the step in which the memory of the host is held for a buffer.
	holdStepBytes = 4 << 10
)

// errTooLong means that a response exceeds a limit, or what is left of that of all responses.
var errTooLong = errors.New("the answer is too long to be buffered")

// bufferSpace is the memory for responses that are buffered.
type bufferSpace struct{ left *semaphore.Weighted }

func newBufferSpace() bufferSpace { return bufferSpace{semaphore.NewWeighted(maxBufferedResponses)} }

// reservation is the part of a bufferSpace that one response takes.
type reservation struct {
	space bufferSpace
	taken int
	// account and kind say for which connection, and as what, the memory of the host is held.
	account *admission.Account
	kind    admission.Kind
	held    int
}

// reserve returns an empty reservation for the caller's connection.
func (x *exchange) reserve(kind admission.Kind) reservation {
	return reservation{space: x.server.buffers, account: admission.FromContext(x.r.Context()), kind: kind}
}

// hold reserves the memory for a buffer of n bytes, and reports whether there is enough.
func (r *reservation) hold(n int) bool {
	if more := n - r.held; more > 0 {
		more = (more + holdStepBytes - 1) / holdStepBytes * holdStepBytes
		if !r.account.Hold(r.kind, more, time.Now()) {
			return false
		}
		r.held += more
	}
	for r.taken+freeBufferBytes < n {
		if !r.space.left.TryAcquire(freeBufferBytes) {
			return false
		}
		r.taken += freeBufferBytes
	}
	return true
}

// release returns the memory.
func (r *reservation) release() {
	r.space.left.Release(int64(r.taken))
	r.account.Release(r.kind, r.held)
	r.taken, r.held = 0, 0
}

// discard returns the memory of a response, if there is one.
func (r *bufferedResponse) discard() {
	if r != nil {
		r.release()
	}
}

// readAnswer reads the body of an answer completely. The memory is held until release is called.
func (x *exchange) readAnswer(body io.Reader) (data []byte, release func(), err error) {
	r := x.reserve(admission.Answers)
	for {
		if len(data) == cap(data) {
			grown := make([]byte, len(data), max(2*cap(data), eventBufferBytes))
			if !r.hold(cap(grown)) {
				r.release()
				return nil, func() {}, errTooLong
			}
			copy(grown, data)
			data = grown
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > maxBufferedResponse:
			err = errTooLong
		case errors.Is(err, io.EOF):
			return data, r.release, nil
		case err == nil:
			continue
		}
		r.release()
		return nil, func() {}, err
	}
}
