package ingress

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/dispatch"
)

const (
	// writeTime bounds the write of one event: a caller that does not read
	// must not hold an endpoint's slot.
	writeTime = 3 * time.Second
	// leastStall is the least silence of an endpoint, and stallPauses how many
	// times the pause that is on time, after which a resumable stream goes on
	// elsewhere: well above the pauses of a busy endpoint.
	leastStall  = 2 * time.Second
	stallPauses = 8
	// eventBytes is the size of the buffer for events; longer ones grow it.
	eventBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// errPartial says that an endpoint stopped in the middle of an event.
var errPartial = errors.New("the stream ended inside an event")

// serveStream has a stream passed on, event by event.
func (x *exchange) serveStream() {
	lastEvent := x.caller.LastEvent
	var failure *answer
	for {
		g, refusal := x.acquire()
		if g == nil {
			x.giveUpStream(refusal, failure)
			return
		}
		v, a := x.streamAttempt(g, &lastEvent)
		switch v {
		case verdictDone:
			x.server.counters.answered.Inc(1)
			x.log("answered", "status", http.StatusOK, "firstMs", x.firstAt.Sub(x.arrived).Milliseconds(),
				"waitedMs", g.Waited.Milliseconds(), "gapMs", x.longestGap.Milliseconds())
			return
		case verdictLeft:
			x.left()
		case verdictFailed:
			failure = a
		case verdictLate:
			x.giveUpStream(nil, failure)
			return
		case verdictNotRun, verdictUnknown:
		}
		if !x.again(v, g) {
			x.giveUpStream(nil, failure)
			return
		}
	}
}

// giveUpStream ends a stream without its end: before the head is out with an
// honest answer, after it by closing the connection, so that it does not look
// complete.
func (x *exchange) giveUpStream(refusal *dispatch.Refusal, failure *answer) {
	if !x.started {
		x.giveUp(refusal, failure)
		return
	}
	x.server.counters.failed.Inc(1)
	x.log("stream broken off", "reason", x.lastErr)
	panic(http.ErrAbortHandler)
}

// streamAttempt passes a stream on from an endpoint.
func (x *exchange) streamAttempt(g *dispatch.Grant, lastEvent *string) (verdict, *answer) {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	stall := x.watchStall(cancel)
	defer stall.Stop()
	resp, err := x.send(ctx, g.Endpoint, tamarackknot.EndpointAttempt{
		Endpoint: g.Endpoint.ID, Deadline: x.deadline, Urgency: urgency(x.route.Priority), LastEvent: *lastEvent,
	})
	if err != nil {
		return x.sendFailed(g, err), nil
	}
	defer func() { _ = resp.Body.Close() }()
	if v, ok := x.checkHead(g, resp); !ok {
		return v, nil
	}
	if resp.StatusCode != http.StatusOK {
		return x.streamFailure(g, resp)
	}
	x.startStream(resp.Header)
	err = x.copyEvents(resp.Body, lastEvent, func() {
		g.Started()
		stall.Reset(x.stallTime())
	})
	switch {
	case err == nil:
		g.Done(dispatch.ResultAnswered)
		return verdictDone, nil
	case x.r.Context().Err() != nil || errors.Is(err, errCaller):
		g.Done(dispatch.ResultDisconnected)
		return verdictLeft, nil
	}
	x.lastErr = err.Error()
	if !time.Now().Before(x.deadline) {
		g.Done(dispatch.ResultDisconnected)
		return verdictLate, nil
	}
	g.Done(dispatch.ResultFailed)
	return verdictUnknown, nil
}

// watchStall ends an attempt whose endpoint falls silent, if the stream can go
// on at another one. The timer must be reset with each event.
func (x *exchange) watchStall(cancel context.CancelFunc) *time.Timer {
	if !x.route.Resumable || x.ran+1 >= x.route.Attempts {
		return time.AfterFunc(time.Until(x.deadline), func() {})
	}
	return time.AfterFunc(x.stallTime(), cancel)
}

// stallTime is the pause after which a resumable stream goes on at another
// endpoint.
func (x *exchange) stallTime() time.Duration {
	return max(leastStall, stallPauses*x.route.GapObjective)
}

// streamFailure reads an endpoint's failure, which is no stream.
func (x *exchange) streamFailure(g *dispatch.Grant, resp *http.Response) (verdict, *answer) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswer))
	if err != nil {
		g.Done(dispatch.ResultFailed)
		x.lastErr = "the endpoint broke off its answer"
		return x.over(verdictUnknown), nil
	}
	g.Done(dispatch.ResultFailed)
	x.lastErr = "the endpoint answered with a failure"
	return verdictFailed, &answer{status: resp.StatusCode, header: resp.Header, body: body}
}

// urgency maps a route's rank to the endpoint's: the first ranks differ, the
// rest share the last.
func urgency(priority int) int { return min(max(priority, 0), 9) }

func (x *exchange) startStream(endpoint http.Header) {
	if x.started {
		return
	}
	h := x.w.Header()
	for name, values := range x.server.cfg.Dialect.Relay(endpoint) {
		h[name] = slices.Clone(values)
	}
	h.Del("Content-Length")
	x.w.WriteHeader(http.StatusOK)
	x.started = true
}

// errCaller marks errors of the connection to the caller.
var errCaller = errors.New("the caller does not read")

// copyEvents passes on whole events until the stream ends.
func (x *exchange) copyEvents(body io.Reader, lastEvent *string, started func()) error {
	in := bufio.NewReaderSize(body, eventBytes)
	rc := http.NewResponseController(x.w)
	// A deadline that stays set would end later answers on the connection.
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	var event []byte
	id := *lastEvent
	for {
		line, err := in.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEventBytes {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) == 0 {
				return x.writeEvent(rc, event)
			}
			if errors.Is(err, io.EOF) {
				return errPartial
			}
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			if v, ok := eventID(line); ok {
				id = v
			}
			continue
		}
		if err := x.writeEvent(rc, event); err != nil {
			return err
		}
		*lastEvent = id
		event = event[:0]
		started()
	}
}

func eventID(line []byte) (string, bool) {
	s, ok := strings.CutPrefix(string(line), "id:")
	return strings.TrimSpace(s), ok
}

func (x *exchange) writeEvent(rc *http.ResponseController, event []byte) error {
	if len(event) == 0 {
		return nil
	}
	now := time.Now()
	if x.firstAt.IsZero() {
		x.firstAt = now
		x.server.counters.firstByte.Update(x.firstAt.Sub(x.arrived).Milliseconds())
	} else {
		x.longestGap = max(x.longestGap, now.Sub(x.eventAt))
	}
	x.eventAt = now
	// A connection without write deadlines is that of a test.
	_ = rc.SetWriteDeadline(now.Add(writeTime))
	if _, err := x.w.Write(event); err != nil {
		return errors.Mark(err, errCaller)
	}
	if err := rc.Flush(); err != nil {
		return errors.Mark(err, errCaller)
	}
	return nil
}
