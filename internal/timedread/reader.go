// Package timedread reads bodies of requests that must not stop arriving.
package timedread

import (
	"io"
	"net/http"
	"time"

	"tamarackknot.example/tamarackknot/internal/times"
)

// DefaultTimeout is how long nothing may arrive of a body, by default. It is above the
// retransmission times of a link that is lost for some seconds.
const DefaultTimeout = 10 * time.Second

// Reader reads from R and fails if nothing arrives for Timeout, or at the time By.
type Reader struct {
	R          io.Reader
	Controller *http.ResponseController
	Timeout    time.Duration
	By         time.Time
	// RenewAfter is the time after which a read sets the deadline anew; 0 means with each read.
	// It saves system calls where a body arrives in many small parts.
	RenewAfter time.Duration

	renewAt time.Time
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if now := time.Now(); !now.Before(r.renewAt) {
		// Connections in tests may not support deadlines.
		_ = r.Controller.SetReadDeadline(times.Earlier(now.Add(r.Timeout), r.By))
		r.renewAt = now.Add(r.RenewAfter)
	}
	return r.R.Read(p) //nolint:wrapcheck // the caller checks its type
}
