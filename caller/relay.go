package caller

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxEvent bounds one server-sent event.
	maxEvent = 4 << 20
	// markerTime is how long the end of a stream is waited for after its
	// terminal marker, so that the connection can be used again.
	markerTime = 100 * time.Millisecond
	copyBuffer = 32 << 10
)

var errIncomplete = errors.New("the response broke off")

// relay passes the response on to the caller.
func (x *exchange) relay(resp *http.Response, cancel context.CancelFunc) *attempt {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return &attempt{failure: upstream("protocolSwitch", "the endpoint switched protocols", RunUnknown)}
	}
	if !framed(resp) {
		return x.broken(errors.New("the response has neither Content-Length nor chunked encoding"))
	}
	media, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	stream := media == "text/event-stream"
	switch {
	case stream && x.target.Service == "":
		return x.relayEvents(resp, cancel)
	case stream:
		return x.relayCopy(resp, nil)
	}
	return x.relayBuffered(resp)
}

// framed reports whether the end of a response can be told from a broken
// connection.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Request.Method == http.MethodHead
}

// broken is the outcome of a response that did not arrive completely. If a
// part of it has reached the caller, the caller's response is cut.
func (x *exchange) broken(err error) *attempt {
	x.aborted = x.answered
	if x.r.Context().Err() != nil && x.key == nil || !time.Now().Before(x.opts.deadline) {
		return &attempt{failure: x.ended(RunUnknown), sent: true}
	}
	f := upstream("responseIncomplete",
		"endpoint "+x.grant.Entry.Name()+" did not complete its response: "+err.Error(), RunUnknown)
	return &attempt{failure: f, again: x.repeatable, sent: true}
}

// relayBuffered relays a response only when it is complete, unless it is too
// large for that.
func (x *exchange) relayBuffered(resp *http.Response) *attempt {
	limit := int64(x.s.cfg.MaxBuffered)
	if resp.ContentLength > limit {
		return x.relayCopy(resp, nil)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return x.broken(err)
	}
	if int64(len(body)) > limit {
		return x.relayCopy(resp, body)
	}
	if resp.ContentLength > 0 && int64(len(body)) != resp.ContentLength && resp.Request.Method != http.MethodHead {
		return x.broken(errIncomplete)
	}
	x.release()
	h := x.responseHeader(resp)
	switch {
	case len(resp.Trailer) > 0:
		announce(h, resp.Trailer)
	case resp.Request.Method == http.MethodHead:
		if v := resp.Header.Get("Content-Length"); v != "" {
			h.Set("Content-Length", v)
		}
	case bodyAllowed(resp.StatusCode):
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.begin(resp.StatusCode)
	x.write(body)
	x.trailers(resp.Trailer)
	return nil
}

// bodyAllowed reports whether a response with a status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// relayCopy relays a response while it arrives, beginning with what was read
// of it before.
func (x *exchange) relayCopy(resp *http.Response, head []byte) *attempt {
	h := x.responseHeader(resp)
	if resp.ContentLength >= 0 && len(resp.Trailer) == 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	announce(h, resp.Trailer)
	x.begin(resp.StatusCode)
	x.write(head)
	x.flush()
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buf)
		x.write(buf[:n])
		x.flush()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.broken(err)
		}
	}
	x.release()
	x.trailers(resp.Trailer)
	return nil
}

// relayEvents relays server-sent events one by one up to the terminal marker.
func (x *exchange) relayEvents(resp *http.Response, cancel context.CancelFunc) *attempt {
	in := bufio.NewReaderSize(resp.Body, copyBuffer)
	for {
		event, last, err := readEvent(in)
		if err != nil {
			a := x.broken(err)
			x.errorEvent(a.failure)
			return a
		}
		if !x.answered {
			h := x.responseHeader(resp)
			announce(h, resp.Trailer)
			x.begin(resp.StatusCode)
		}
		x.write(event)
		x.flush()
		if last {
			break
		}
	}
	timer := time.AfterFunc(markerTime, cancel)
	_, _ = io.Copy(io.Discard, in)
	timer.Stop()
	x.release()
	x.trailers(resp.Trailer)
	return nil
}

// readEvent reads up to the empty line that ends an event and reports whether
// it is the terminal marker.
func readEvent(in *bufio.Reader) (event []byte, last bool, err error) {
	lineStart := 0
	for len(event) <= maxEvent {
		part, err := in.ReadSlice('\n')
		event = append(event, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil, false, errors.New("the stream ended without its terminal marker")
		}
		if err != nil {
			return nil, false, err
		}
		line := bytes.TrimRight(event[lineStart:], "\r\n")
		lineStart = len(event)
		if len(line) == 0 {
			return event, last, nil
		}
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			last = string(bytes.TrimSpace(data)) == "[DONE]"
		}
	}
	return nil, false, fmt.Errorf("an event is larger than %d bytes", maxEvent)
}

// errorEvent tells the caller in the stream why it breaks off.
func (x *exchange) errorEvent(f *failure) {
	if !x.answered || f.gone {
		return
	}
	x.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", f.body()))
	x.flush()
}

// responseHeader fills in the header of the caller's response.
func (x *exchange) responseHeader(resp *http.Response) http.Header {
	h := x.w.Header()
	copyEndToEnd(h, resp.Header, "Content-Length", headerRun, headerLeaving)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	return h
}

// announce names the trailers that will follow the body.
func announce(h, trailer http.Header) {
	names := make([]string, 0, len(trailer))
	for name := range trailer {
		names = append(names, name)
	}
	if len(names) > 0 {
		slices.Sort(names)
		h.Set("Trailer", strings.Join(names, ", "))
	}
}

// begin sends the status and the header set before.
func (x *exchange) begin(status int) {
	x.setWriteDeadline()
	x.answered = true
	x.status = status
	if x.rec != nil {
		x.rec.status, x.rec.header = status, x.w.Header().Clone()
	}
	x.w.WriteHeader(status)
}

// write passes on a part of the body. A failed write is not reported: the
// request's context ends when the caller has gone.
func (x *exchange) write(p []byte) {
	if len(p) == 0 {
		return
	}
	x.bytes += int64(len(p))
	if x.rec != nil && !x.rec.incomplete {
		if len(x.rec.body)+len(p) > x.s.cfg.MaxKept/2 {
			x.rec.incomplete, x.rec.body = true, nil
		} else {
			x.rec.body = append(x.rec.body, p...)
		}
	}
	_, _ = x.w.Write(p)
}

func (x *exchange) flush() {
	_ = http.NewResponseController(x.w).Flush()
}

func (x *exchange) trailers(trailer http.Header) {
	if len(trailer) == 0 {
		return
	}
	announced := strings.Split(x.w.Header().Get("Trailer"), ", ")
	for name, vs := range trailer {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		x.w.Header()[name] = vs
	}
	if x.rec != nil {
		x.rec.trailer = trailer.Clone()
	}
}

// relayRecording answers a repeat of a keyed request.
func (x *exchange) relayRecording(rec *recording) *failure {
	switch {
	case rec.failure != nil:
		return rec.failure
	case rec.incomplete:
		return &failure{
			status: http.StatusConflict, kind: typeInvalid, code: "responseNotKept", param: headerKey, run: Ran,
			message: headerKey + ": the request with this key has run; its response was too large to keep",
		}
	}
	h := x.w.Header()
	for name, vs := range rec.header {
		h[name] = vs
	}
	x.begin(rec.status)
	x.write(rec.body)
	x.trailers(rec.trailer)
	return nil
}
