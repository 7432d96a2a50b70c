package caller

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot/admission"
)

const firstBufferBytes = 4 << 10

// errNoMemory means that the host has no memory for a body, a response or an event.
var errNoMemory = errors.New("the host has no memory left")

// holding is the memory of the host that is held for a buffer.
type holding struct {
	account *admission.Account
	kind    admission.Kind
	bytes   int
}

// grow asks for memory for a buffer of n bytes in place of that for a smaller one.
func (h *holding) grow(n int) bool {
	if n <= h.bytes {
		return true
	}
	if !h.account.Hold(h.kind, n-h.bytes, time.Now()) {
		return false
	}
	h.bytes = n
	return true
}

// release gives the memory back.
func (h *holding) release() {
	h.account.Release(h.kind, h.bytes)
	h.bytes = 0
}

// readAll reads until the end. With errNoMemory it returns what it has read.
func readAll(r io.Reader, held *holding) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := max(2*cap(data), firstBufferBytes)
			if !held.grow(size) {
				return data, errNoMemory
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err //nolint:wrapcheck // the caller checks its type
		}
	}
}
