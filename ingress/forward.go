package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/internal/headcheck"
)

const (
	// endpointIdleTimeout is how long an idle connection to an endpoint is
	// kept. It must be shorter than the idle timeout of the endpoints.
	endpointIdleTimeout = 3 * time.Second
	// maxIdleConnsPerEndpoint limits the idle connections to one endpoint.
	maxIdleConnsPerEndpoint = 8
	// maxResponseHeaderBytes limits the headers of a response.
	maxResponseHeaderBytes = 64 << 10
	// responseGrace is how long after the deadline sent to an endpoint its
	// response is still awaited, because the response tells whether the request
	// ran.
	responseGrace = 10 * time.Millisecond
)

// newTransport returns a transport with keep-alive connections for repeatable
// requests, or one without for requests that run at most once: if the endpoint
// closes an idle connection while a request is in flight, it is unknown whether
// the request ran.
func newTransport(dial DialFunc, keepAlive bool) *headcheck.Transport {
	return &headcheck.Transport{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, errors.Mark(err, errNotSent)
			}
			return newAnswerConn(conn), nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      !keepAlive,
		MaxIdleConnsPerHost:    maxIdleConnsPerEndpoint,
		IdleConnTimeout:        endpointIdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// dialEndpoint opens a connection to an endpoint and counts the failures since the last
// success.
func (s *Server) dialEndpoint(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := s.cfg.DialEndpoint(ctx, network, address)
	if err != nil {
		if ctx.Err() == nil {
			s.failedDials.Add(1)
		}
		return nil, err
	}
	s.failedDials.Store(0)
	limitSocketBuffers(conn)
	return conn, nil
}

// bodylessMethods returns the methods with which the transport sends an empty body of
// unknown length like no body.
func bodylessMethods() []string {
	return []string{http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions}
}

// errNotSent marks errors that occurred before any byte of a request was sent.
var errNotSent = errors.New("no connection to the endpoint")

// send forwards the request to an endpoint and returns once the response
// headers have arrived.
func (x *exchange) send(ctx context.Context, e tamarackknot.EndpointEntry, a tamarackknot.EndpointAttempt) (*http.Response, error) {
	req := x.outgoing(ctx, e.Address, a)
	transport := x.server.onceTransport
	if x.route.Kind == tamarackknot.RouteRepeatable && (x.body.size > 0 || slices.Contains(bodylessMethods(), x.r.Method)) {
		transport = x.server.keepAliveTransport
	}
	x.conn, x.sentAt = httptrace.GotConnInfo{}, time.Now()
	trace := &httptrace.ClientTrace{GotConn: x.gotConn}
	if x.retry != nil {
		trace.WroteRequest = x.retrySent(x.retry)
	}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if x.retry != nil && !errors.Is(err, errNotSent) {
		// At least part of the request may have reached the endpoint.
		x.retry.Sent()
	}
	x.cancelRetry()
	return resp, err
}

// gotConn records the connection on which an attempt is sent.
func (x *exchange) gotConn(info httptrace.GotConnInfo) { x.conn = info }

// outgoing returns the request as it is sent to an address.
func (x *exchange) outgoing(ctx context.Context, address string, a tamarackknot.EndpointAttempt) *http.Request {
	a.Authenticated, a.Workspace = x.authenticated, x.workspaceName()
	req := (&http.Request{
		Method:        x.r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Opaque: x.r.RequestURI},
		Host:          x.r.Host,
		Header:        x.server.cfg.Dialect.Forward(x.r.Header, a),
		Body:          x.bodyReader(),
		ContentLength: int64(x.body.size),
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own User-Agent.
		req.Header["User-Agent"] = []string{""}
	}
	return req
}

// retrySent returns a function that counts a retry as sent. The transport calls it on
// a goroutine of its own.
func (*exchange) retrySent(retry *dispatch.Retry) func(httptrace.WroteRequestInfo) {
	return func(httptrace.WroteRequestInfo) { retry.Sent() }
}

// outcome is the result of one attempt.
type outcome int

const (
	// outcomeDone: the request is finished and the caller can get the response.
	outcomeDone outcome = iota
	// outcomeNotRun: the endpoint did not run the request and will not.
	outcomeNotRun
	// outcomeUnknown: the request may have run, but there is no usable
	// response.
	outcomeUnknown
	// outcomeFailed: the endpoint responded with an error that can be relayed
	// to the caller.
	outcomeFailed
	// outcomeCallerGone: the caller has disconnected.
	outcomeCallerGone
	// outcomeTimedOut: the deadline of the request has passed.
	outcomeTimedOut
	// outcomeCut: the host shuts down before the answer is complete.
	outcomeCut
)

// bufferedResponse is a response of an endpoint with its complete body.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// release returns the memory of the body.
	release func()
}

// attempt sends the request to an endpoint and reads the complete response.
func (x *exchange) attempt(g *dispatch.Grant, deadline time.Time) (outcome, *bufferedResponse) {
	ctx, cancel := context.WithDeadline(x.r.Context(), deadline.Add(responseGrace))
	defer cancel()
	resp, err := x.send(ctx, g.Endpoint, tamarackknot.EndpointAttempt{Endpoint: g.Endpoint.ID, Deadline: deadline})
	if err != nil {
		return x.classifySendError(g, err), nil
	}
	defer func() { _ = resp.Body.Close() }()
	if o, ok := x.checkResponseHeader(g, resp); !ok {
		return o, nil
	}
	body, release, err := x.readAnswer(resp.Body)
	if err != nil {
		g.Done(dispatch.ResultFailed)
		x.recordLost(g, progress{}, err)
		x.lastErr = "the endpoint broke off its answer"
		return x.adjustOutcome(outcomeUnknown), nil
	}
	buffered := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body, release: release}
	if resp.StatusCode >= http.StatusInternalServerError {
		g.Done(dispatch.ResultFailed)
		x.server.cfg.Crashes.RecordAlive(g.Endpoint)
		x.lastErr = "the endpoint answered with a failure"
		return outcomeFailed, buffered
	}
	g.Done(dispatch.ResultAnswered)
	x.server.cfg.Crashes.RecordAnswer(g.Endpoint, x.request.Identity())
	return outcomeDone, buffered
}

// classifySendError returns the outcome of an attempt that failed before the
// response headers arrived.
func (x *exchange) classifySendError(g *dispatch.Grant, err error) outcome {
	x.lastErr = err.Error()
	if errors.Is(err, errNotSent) {
		g.Done(dispatch.ResultUnreachable)
		x.logUnreachable(g, err)
		return x.adjustOutcome(outcomeNotRun)
	}
	x.sent++
	x.possibleRuns++
	if x.r.Context().Err() != nil {
		g.Done(dispatch.ResultDisconnected)
	} else {
		g.Done(dispatch.ResultFailed)
		x.recordLost(g, progress{}, err)
	}
	return x.adjustOutcome(outcomeUnknown)
}

// logUnreachable logs that no connection to the endpoint could be made.
func (x *exchange) logUnreachable(g *dispatch.Grant, err error) {
	if x.r.Context().Err() != nil {
		return
	}
	x.server.cfg.Logger.Info("endpoint unreachable", "request", x.caller.ID, "endpoint", g.Endpoint.ID, "address", g.Endpoint.Address,
		"error", err, "failedSinceSuccess", x.server.failedDials.Load())
}

// recordLost records that the endpoint did not complete its answer, which has come so far.
func (x *exchange) recordLost(g *dispatch.Grant, p progress, err error) {
	x.server.cfg.Logger.Info("answer lost", "request", x.caller.ID, "service", x.service, "model", x.caller.Model,
		"content", x.request.Content, "parts", strings.Join(x.caller.Parts, ","), "endpoint", g.Endpoint.ID, "born", g.Endpoint.Born.UnixMilli(),
		"events", p.events, "error", err)
	if p.proven || !connectionLost(err) {
		return
	}
	lost := x.request.Identity()
	if p.events >= provenEvents {
		lost.Parts = nil
	}
	x.server.cfg.Crashes.RecordLoss(g.Endpoint, lost)
}

// connectionLost reports whether an answer ended because its connection did, other than by
// this host.
func connectionLost(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, errPartialEvent, errNoEvent, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT)
}

// adjustOutcome returns outcomeCallerGone if the caller has disconnected, outcomeCut if the
// request is cut, and outcomeTimedOut in place of outcomeUnknown after the deadline.
func (x *exchange) adjustOutcome(o outcome) outcome {
	switch {
	case x.isCut():
		return outcomeCut
	case x.r.Context().Err() != nil:
		return outcomeCallerGone
	case o == outcomeUnknown && !time.Now().Before(x.deadline):
		return outcomeTimedOut
	default:
		return o
	}
}

// belongs reports whether an answer is one to this request. An endpoint may decline without
// reading the request, and then names none; on a kept connection that may be a second copy of
// its answer to an earlier request.
func (x *exchange) belongs(a tamarackknot.EndpointAnswer) bool {
	return a.RequestID == x.caller.ID || a.RequestID == "" && a.NotRun && !x.conn.Reused
}

// checkResponseHeader returns false, with the outcome, for a response that must
// not be relayed: the endpoint declined the request, or the response belongs to
// another request or lacks the stamp of an endpoint that ran it.
func (x *exchange) checkResponseHeader(g *dispatch.Grant, resp *http.Response) (outcome, bool) {
	a := x.server.cfg.Dialect.Answer(resp.StatusCode, resp.Header)
	x.sent++
	if !x.belongs(a) {
		x.possibleRuns++
		g.Done(dispatch.ResultFailed)
		x.lastErr = "the answer belongs to another request"
		// The answer to this request is still to come on the connection.
		if x.conn.Conn != nil {
			_ = x.conn.Conn.Close()
		}
		return outcomeUnknown, false
	}
	switch {
	case a.Misplaced:
	case a.RequestID != "" && (a.NotRun || a.Signed):
		g.Observe(a.Signals)
	case a.NotRun:
		g.ObservePause(a.Signals.PauseUntil)
	}
	switch {
	case a.NotRun && a.Misplaced:
		g.Done(dispatch.ResultMisplaced)
		x.lastErr = "the endpoint is another one or lacks the model"
		return outcomeNotRun, false
	case a.NotRun:
		g.Done(dispatch.ResultFull)
		x.lastErr = "the endpoint declined the request"
		return outcomeNotRun, false
	}
	x.possibleRuns++
	if !a.Signed || resp.Header.Get("Content-Encoding") != "" || resp.StatusCode < http.StatusOK {
		g.Done(dispatch.ResultFailed)
		x.lastErr = "the answer is not that of a run"
		return outcomeUnknown, false
	}
	return outcomeDone, true
}
