// Package headcheck rejects answers with a head that is none in HTTP, although net/http
// accepts it.
package headcheck

import (
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

const (
	// minStatus and maxStatus are the least and the greatest status of an answer (RFC 9110,
	// section 15).
	minStatus = 100
	maxStatus = 599
)

// ErrMalformed means that the head of an answer is none in HTTP: the request may have run.
var ErrMalformed = errors.New("malformed answer")

var _ http.RoundTripper = (*Transport)(nil)

// Transport is a transport that returns ErrMalformed for an answer whose status is not from 100
// to 599. It closes the connection of such an answer.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
	})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err //nolint:wrapcheck // a transport returns the errors of net/http
	}
	if err := check(resp); err != nil {
		// Where the answer ends is not known either.
		_ = conn.Close()
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func check(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return errors.Wrapf(ErrMalformed, "status %d", resp.StatusCode)
	}
	return nil
}
