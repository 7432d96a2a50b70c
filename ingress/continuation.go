package ingress

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// errOtherAnswer means that what an endpoint sent does not go on with the stream.
var errOtherAnswer = errors.New("the endpoint did not go on with the stream")

// continuation checks the first event with which an endpoint goes on with a stream after an
// event of another one.
type continuation struct {
	last  string // id of the last event before; empty at the beginning of a stream
	begun bool
}

// follows reports whether an event may go on with the stream: it has nothing but fields, and
// a later id.
func (c *continuation) follows(event []byte, id string) bool {
	if c.last == "" || c.begun {
		return true
	}
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && !isField(line) {
			return false
		}
	}
	if id == c.last {
		return false
	}
	before, errBefore := strconv.ParseUint(c.last, 10, 64)
	after, errAfter := strconv.ParseUint(id, 10, 64)
	c.begun = true
	return errBefore != nil || errAfter == nil && after > before
}

// isField reports whether a line of an event is a field or a comment.
func isField(line []byte) bool {
	name, _, ok := bytes.Cut(line, []byte(":"))
	return ok && !bytes.ContainsFunc(name, func(r rune) bool { return r != '-' && (r < 'a' || r > 'z') })
}

// mayEnd reports whether a response may end where it does.
func (c *continuation) mayEnd(resp *http.Response) bool {
	return c.last == "" || c.begun || endIsMarked(resp)
}

// endIsMarked reports whether a response says where it ends: otherwise a broken connection
// looks like its end.
func endIsMarked(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
