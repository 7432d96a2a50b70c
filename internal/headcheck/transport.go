// Package headcheck rejects HTTP answers whose head is malformed although net/http accepts it.
package headcheck

import (
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus are the least and the greatest status of an answer (RFC 9110,
	// section 15).
	minStatus = 100
	maxStatus = 599
)

// ErrMalformed means that the head of an answer is malformed. The request may have run.
var ErrMalformed = errors.New("malformed answer")

var _ http.RoundTripper = (*Transport)(nil)

// Transport is a transport that returns ErrMalformed, and closes the connection, for an answer
// whose status is not from 100 to 599 or that has a field whose name is no token (RFC 9112,
// section 5).
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	// With Got1xxResponse net/http would no longer limit informational answers.
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
	})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err //nolint:wrapcheck // a transport returns the errors of net/http
	}
	if err := check(resp); err != nil {
		// It is not known where the answer ends.
		_ = conn.Close()
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// check checks the status and the names of fields. net/http accepts names with a blank, but
// reads no length and no encoding from such a field.
func check(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return errors.Wrapf(ErrMalformed, "status %d", resp.StatusCode)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field name %.40q", name)
		}
	}
	return nil
}
