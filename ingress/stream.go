package ingress

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/admission"
	"tamarackknot.example/tamarackknot/dispatch"
)

const (
	// eventWriteTimeout limits the write of one event, so that a caller that
	// stops reading does not occupy an endpoint's slot.
	eventWriteTimeout = 3 * time.Second
	// eventBufferBytes is the size of the read buffer; longer lines are read in
	// parts.
	eventBufferBytes = 4 << 10
	// maxEventBytes limits one event.
	maxEventBytes = 1 << 20
	// provenEvents is the number of events after which an endpoint has properly begun to
	// answer a prompt, provenTime how long after the first event it has begun to run a
	// request: an endpoint that crashes under one of its parts, or under it, does so sooner.
	provenEvents = 3
	provenTime   = time.Second
)

// errPartialEvent means that the endpoint ended the stream in the middle of an
// event.
var errPartialEvent = errors.New("stream ended in the middle of an event")

// errNoEvent means that the endpoint ended a stream before its first event.
var errNoEvent = errors.New("stream ended before its first event")

// errLongEvent means that an event exceeds maxEventBytes.
var errLongEvent = errors.New("event exceeds the limit")

// serveStream relays a stream event by event and resumes it at another endpoint
// if the route allows it.
func (x *exchange) serveStream() {
	lastEvent := x.caller.LastEvent
	var failure *bufferedResponse
	defer func() { failure.discard() }()
	for {
		g, refusal := x.acquire()
		if g == nil && x.servedElsewhere(refusal) {
			return
		}
		if g == nil {
			x.endFailedStream(refusal, failure)
			return
		}
		o, resp := x.attemptStream(g, &lastEvent)
		switch o {
		case outcomeDone:
			x.server.counters.answered.Inc(1)
			x.log("answered", append([]any{
				"status", http.StatusOK, "firstMs", x.firstEventAt.Sub(x.arrived).Milliseconds(), "gapMs", x.longestGap.Milliseconds(),
			}, x.paceFields()...)...)
			return
		case outcomeCallerGone:
			x.abortCallerGone()
		case outcomeCut:
			x.endCut()
			return
		case outcomeFailed:
			failure.discard()
			failure = resp
		case outcomeTimedOut:
			x.endFailedStream(nil, failure)
			return
		case outcomeNotRun, outcomeUnknown:
		}
		if x.isolated() {
			x.serveIsolated()
			return
		}
		if !x.allowRetry(o, g) {
			x.endFailedStream(nil, failure)
			return
		}
	}
}

// endFailedStream ends a stream that can't be completed. It sends an error
// response or, if the headers have been sent, closes the connection so that the
// stream doesn't look complete.
func (x *exchange) endFailedStream(refusal *dispatch.Refusal, failure *bufferedResponse) {
	if !x.headerSent {
		x.respondFailed(refusal, failure)
		return
	}
	x.server.counters.failed.Inc(1)
	x.log("stream aborted", "reason", x.lastErr)
	panic(http.ErrAbortHandler)
}

// attemptStream relays a stream from an endpoint.
func (x *exchange) attemptStream(g *dispatch.Grant, lastEvent *string) (outcome, *bufferedResponse) {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	stall := x.watchStall(g, cancel)
	defer func() { x.retry = stall.stop() }()
	resp, err := x.send(ctx, g.Endpoint, tamarackknot.EndpointAttempt{
		Endpoint: g.Endpoint.ID, Deadline: x.deadline, Urgency: urgency(x.route.Priority), LastEvent: *lastEvent,
	})
	if err != nil {
		return x.classifySendError(g, err), nil
	}
	defer func() { _ = resp.Body.Close() }()
	if o, ok := x.checkResponseHeader(g, resp); !ok {
		return o, nil
	}
	if resp.StatusCode != http.StatusOK {
		return x.readStreamFailure(g, resp)
	}
	var p progress
	x.forecast = g.Forecast
	err = x.copyEvents(resp, lastEvent, func() { x.load = g.Received(time.Now()) }, func() {
		g.Started()
		if p.events == 0 {
			x.pin(g)
			stall.setNext(g)
		}
		x.recordEvent(g, &p)
		stall.eventReceived()
	})
	if err == nil && p.events == 0 && *lastEvent == "" {
		err = errNoEvent
	}
	switch {
	case err == nil:
		x.writeStreamHeader(resp.Header)
		g.Done(dispatch.ResultAnswered)
		x.server.cfg.Crashes.RecordAnswer(g.Endpoint, x.request.Identity())
		return outcomeDone, nil
	case x.isCut():
		g.Done(dispatch.ResultDisconnected)
		return outcomeCut, nil
	case x.callerLeft() || errors.Is(err, errCallerWrite):
		g.Done(dispatch.ResultDisconnected)
		return outcomeCallerGone, nil
	}
	x.lastErr = err.Error()
	if !time.Now().Before(x.deadline) {
		g.Done(dispatch.ResultDisconnected)
		return outcomeTimedOut, nil
	}
	g.Done(dispatch.ResultFailed)
	x.recordLost(g, p, err)
	return outcomeUnknown, nil
}

// progress is how far an attempt at a stream has come.
type progress struct {
	events int
	began  time.Time // of the first event
	proven bool      // the endpoint has run the request for provenTime
}

// recordEvent records that the endpoint sent an event of the stream.
func (x *exchange) recordEvent(g *dispatch.Grant, p *progress) {
	if p.events == 0 {
		p.began = time.Now()
	}
	p.events++
	x.server.cfg.Crashes.RecordAlive(g.Endpoint)
	if p.events == provenEvents {
		parts := x.request.Identity()
		parts.Content = tamarackknot.ContentID{}
		x.server.cfg.Crashes.RecordAnswer(g.Endpoint, parts)
	}
	if !p.proven && time.Since(p.began) >= provenTime {
		p.proven = true
		x.server.cfg.Crashes.RecordAnswer(g.Endpoint, x.request.Identity())
	}
}

// pin restricts the stream, whose first event an endpoint sent, to the version of that
// endpoint's software: what two versions write does not fit together.
func (x *exchange) pin(g *dispatch.Grant) {
	x.request.Pinned, x.request.Version = true, g.Endpoint.Version
	x.recordOrigin()
}

// readStreamFailure reads an endpoint's error response, which is not a stream.
func (x *exchange) readStreamFailure(g *dispatch.Grant, resp *http.Response) (outcome, *bufferedResponse) {
	body, release, err := x.readAnswer(resp.Body)
	if err != nil {
		g.Done(dispatch.ResultFailed)
		x.lastErr = "the endpoint broke off its answer"
		return x.adjustOutcome(outcomeUnknown), nil
	}
	g.Done(dispatch.ResultFailed)
	x.lastErr = "the endpoint answered with a failure"
	return outcomeFailed, &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body, release: release}
}

// urgency maps a route's priority to the endpoints' range of 0 (first) to 9.
// Lower priorities share the last value.
func urgency(priority int) int { return min(max(priority, 0), 9) }

func (x *exchange) writeStreamHeader(endpoint http.Header) {
	if x.headerSent {
		return
	}
	x.relayHeader(endpoint)
	x.w.Header().Del("Content-Length")
	x.w.WriteHeader(http.StatusOK)
	x.headerSent = true
}

// errCallerWrite marks failed writes to the caller.
var errCallerWrite = errors.New("write to the caller failed")

// copyEvents relays complete events until the stream ends, stores the id of the last one in
// lastEvent and calls eventReceived before and eventSent after the write of each. The header is
// written before the first one.
func (x *exchange) copyEvents(resp *http.Response, lastEvent *string, eventReceived, eventSent func()) error {
	in := bufio.NewReaderSize(resp.Body, eventBufferBytes)
	rc := http.NewResponseController(x.w)
	// A deadline left in place would fail later responses on the connection.
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	space := x.reserve(admission.Streams)
	defer space.release()
	id, check := *lastEvent, continuation{last: *lastEvent}
	var event []byte
	for {
		var err error
		event, id, err = readEvent(in, event[:0], id, &space)
		if errors.Is(err, io.EOF) {
			return x.endOfEvents(rc, resp, event, &check)
		}
		if err != nil {
			return err
		}
		if !check.follows(event, id) {
			return errOtherAnswer
		}
		eventReceived()
		if err := x.writeEvent(rc, resp.Header, event); err != nil {
			return err
		}
		*lastEvent = id
		eventSent()
	}
}

// endOfEvents handles the end of a stream after its last event, with what follows that.
func (x *exchange) endOfEvents(rc *http.ResponseController, resp *http.Response, rest []byte, check *continuation) error {
	switch {
	case len(bytes.TrimSpace(rest)) > 0:
		return errPartialEvent
	case !check.mayEnd(resp):
		return errNoEvent
	default:
		return x.writeEvent(rc, resp.Header, rest)
	}
}

// readEvent appends the next event to a buffer and returns it with its id, or the one before
// if it has none. With io.EOF it returns what follows the last event.
func readEvent(in *bufio.Reader, event []byte, id string, space *reservation) ([]byte, string, error) {
	begin := 0 // of the line in event
	for {
		part, err := in.ReadSlice('\n')
		event = append(event, part...)
		line := event[begin:]
		switch {
		case len(event) > maxEventBytes || !space.hold(len(event)):
			return event, id, errLongEvent
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return event, id, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return event, id, nil
		}
		if v, ok := eventID(line); ok {
			id = v
		}
		begin = len(event)
	}
}

func eventID(line []byte) (string, bool) {
	s, ok := strings.CutPrefix(string(line), "id:")
	return strings.TrimSpace(s), ok
}

func (x *exchange) writeEvent(rc *http.ResponseController, header http.Header, event []byte) error {
	if len(event) == 0 {
		return nil
	}
	x.writeStreamHeader(header)
	now := time.Now()
	if x.firstEventAt.IsZero() {
		x.firstEventAt = now
		x.server.counters.firstByte.Update(x.firstEventAt.Sub(x.arrived).Milliseconds())
	} else {
		x.recordGap(now)
	}
	x.lastEventAt = now
	err := x.writeNow(rc, event)
	x.writtenAt = time.Now()
	return err
}

// writeNow sends data to the caller at once. The error is marked with errCallerWrite.
func (x *exchange) writeNow(rc *http.ResponseController, data []byte) error {
	// Connections in tests may not support write deadlines.
	_ = rc.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	if _, err := x.w.Write(data); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	if err := rc.Flush(); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	return nil
}
