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

	"tamarackknot.example/tamarackknot/admission"
	"tamarackknot.example/tamarackknot/internal/times"
)

const (
	// maxEventBytes limits the size of a server-sent event.
	maxEventBytes = 4 << 20
	// streamEndTimeout is how long relayEvents waits for the end of a stream after
	// its terminal event, so that the connection can be reused.
	streamEndTimeout = 100 * time.Millisecond
	copyBufferSize   = 32 << 10
	// streamWriteTimeout limits the write of an event, or of copyBufferSize of a response, so that a
	// caller that stops reading does not occupy a replica.
	streamWriteTimeout = 3 * time.Second
)

var errShortBody = errors.New("the response broke off")

// relay sends the response to the caller.
func (x *exchange) relay(resp *http.Response, cancel context.CancelFunc) *attempt {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return &attempt{failure: upstreamFailure("protocolSwitch", "the endpoint switched protocols", RunUnknown)}
	}
	if !selfDelimited(resp) {
		return x.responseIncomplete(errors.New("the response has neither Content-Length nor chunked encoding"))
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

// selfDelimited reports whether the end of a response can be distinguished from a
// broken connection.
func selfDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Request.Method == http.MethodHead
}

// responseIncomplete returns the outcome of an attempt whose response was not
// received completely. If the response to the caller has been started, its
// connection will be closed.
func (x *exchange) responseIncomplete(err error) *attempt {
	x.aborted = x.headerWritten
	if x.r.Context().Err() != nil && x.key == nil || !time.Now().Before(x.opts.deadline) {
		return &attempt{failure: x.contextFailure(RunUnknown), usesRetryBudget: true}
	}
	f := upstreamFailure("responseIncomplete",
		"endpoint "+x.grant.Entry.Name()+" did not complete its response: "+err.Error(), RunUnknown)
	return &attempt{failure: f, retryable: x.repeatable, usesRetryBudget: true}
}

// relayBuffered receives the whole response before it sends any of it, unless the
// response is larger than Config.MaxBuffered.
func (x *exchange) relayBuffered(resp *http.Response) *attempt {
	limit := int64(x.s.cfg.MaxBuffered)
	if resp.ContentLength > limit {
		return x.relayCopy(resp, nil)
	}
	held := holding{account: admission.FromContext(x.r.Context()), kind: admission.Answers}
	defer held.release()
	body, err := readAll(io.LimitReader(resp.Body, limit+1), &held)
	if err != nil && !errors.Is(err, errNoMemory) {
		return x.responseIncomplete(err)
	}
	if err != nil || int64(len(body)) > limit {
		return x.relayCopy(resp, body)
	}
	if resp.ContentLength > 0 && int64(len(body)) != resp.ContentLength && resp.Request.Method != http.MethodHead {
		return x.responseIncomplete(errShortBody)
	}
	x.release()
	h := x.responseHeader(resp)
	switch {
	case len(resp.Trailer) > 0:
		announceTrailers(h, resp.Trailer)
	case resp.Request.Method == http.MethodHead:
		if v := resp.Header.Get("Content-Length"); v != "" {
			h.Set("Content-Length", v)
		}
	case bodyAllowed(resp.StatusCode):
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.writeHeader(resp.StatusCode)
	x.writeBody(body)
	x.writeTrailers(resp.Trailer)
	return nil
}

// bodyAllowed reports whether a response with this status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// relayCopy relays a response as it is received. head is the part of the body
// that has already been read.
func (x *exchange) relayCopy(resp *http.Response, head []byte) *attempt {
	h := x.responseHeader(resp)
	if resp.ContentLength >= 0 && len(resp.Trailer) == 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	announceTrailers(h, resp.Trailer)
	x.writeHeader(resp.StatusCode)
	x.writeBody(head)
	x.flush()
	buf := make([]byte, copyBufferSize)
	for {
		n, err := resp.Body.Read(buf)
		x.limitWrite()
		x.writeBody(buf[:n])
		x.flush()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.responseIncomplete(err)
		}
	}
	x.release()
	x.writeTrailers(resp.Trailer)
	return nil
}

// relayEvents relays complete server-sent events, up to and including the
// terminal event, whose data is [DONE].
func (x *exchange) relayEvents(resp *http.Response, cancel context.CancelFunc) *attempt {
	in := bufio.NewReaderSize(resp.Body, copyBufferSize)
	held := holding{account: admission.FromContext(x.r.Context()), kind: admission.Streams}
	defer held.release()
	for {
		event, last, err := readEvent(in, &held)
		if err != nil {
			a := x.responseIncomplete(err)
			x.errorEvent(a.failure)
			return a
		}
		if !x.headerWritten {
			h := x.responseHeader(resp)
			announceTrailers(h, resp.Trailer)
			x.writeHeader(resp.StatusCode)
		}
		x.limitWrite()
		x.writeBody(event)
		x.flush()
		if last {
			break
		}
	}
	timer := time.AfterFunc(streamEndTimeout, cancel)
	_, _ = io.Copy(io.Discard, in)
	timer.Stop()
	x.release()
	x.writeTrailers(resp.Trailer)
	return nil
}

// readEvent reads an event including the empty line that ends it, and reports
// whether it is the terminal event.
func readEvent(in *bufio.Reader, held *holding) (event []byte, last bool, err error) {
	lineStart := 0
	for len(event) <= maxEventBytes {
		part, err := in.ReadSlice('\n')
		event = append(event, part...)
		if !held.grow(cap(event)) {
			return nil, false, errNoMemory
		}
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
	return nil, false, fmt.Errorf("an event is larger than %d bytes", maxEventBytes)
}

// errorEvent sends the failure to the caller as the last event of a stream.
func (x *exchange) errorEvent(f *failure) {
	if !x.headerWritten || f.callerGone {
		return
	}
	x.writeBody(fmt.Appendf(nil, "event: error\ndata: %s\n\n", f.body()))
	x.flush()
}

// responseHeader copies the header of resp to the response to the caller and
// returns the header of the latter.
func (x *exchange) responseHeader(resp *http.Response) http.Header {
	h := x.w.Header()
	copyEndToEnd(h, resp.Header, "Content-Length", headerRun, headerLeaving)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents net/http from detecting one
	}
	return h
}

// announceTrailers sets the header Trailer to the names of the trailers.
func announceTrailers(h, trailer http.Header) {
	names := make([]string, 0, len(trailer))
	for name := range trailer {
		names = append(names, name)
	}
	if len(names) > 0 {
		slices.Sort(names)
		h.Set("Trailer", strings.Join(names, ", "))
	}
}

// writeHeader sends the status and the header of the response, and records them
// for a keyed request.
func (x *exchange) writeHeader(status int) {
	x.setWriteDeadline()
	x.headerWritten = true
	x.status = status
	if x.rec != nil {
		x.rec.status, x.rec.header = status, x.w.Header().Clone()
	}
	x.w.WriteHeader(status)
}

// limitWrite limits the next write to streamWriteTimeout.
func (x *exchange) limitWrite() {
	by := times.Earlier(time.Now().Add(streamWriteTimeout), x.opts.deadline.Add(writeGrace))
	_ = http.NewResponseController(x.w).SetWriteDeadline(by)
}

// writeBody sends a part of the body and records it for a keyed request. Write
// errors are ignored, because the request's context ends when the caller
// disconnects.
func (x *exchange) writeBody(p []byte) {
	if len(p) == 0 {
		return
	}
	x.bytes += int64(len(p))
	if x.rec != nil && !x.rec.incomplete {
		if len(x.rec.body)+len(p) > x.s.cfg.MaxReplay/2 {
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

func (x *exchange) writeTrailers(trailer http.Header) {
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

// relayRecording answers a repeated keyed request with the stored response.
func (x *exchange) relayRecording(rec *recording) *failure {
	switch {
	case rec.failure != nil:
		return rec.failure
	case rec.incomplete:
		return &failure{
			status: http.StatusConflict, errorType: typeInvalid, code: "responseNotKept", param: headerKey, run: Ran,
			message: headerKey + ": the request with this key has run; its response was too large to keep",
		}
	}
	h := x.w.Header()
	for name, vs := range rec.header {
		h[name] = vs
	}
	x.writeHeader(rec.status)
	x.writeBody(rec.body)
	x.writeTrailers(rec.trailer)
	return nil
}
