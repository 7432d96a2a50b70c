package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/dispatch"
)

const (
	// keptIdle is how long an unused connection to an endpoint is kept, below
	// the time after which endpoints close theirs.
	keptIdle = 3 * time.Second
	// keptPerEndpoint bounds the unused connections to one endpoint.
	keptPerEndpoint = 8
	// headBytes bounds the head of an answer.
	headBytes = 64 << 10
	// maxBufferedAnswer bounds an answer that is read whole before the caller
	// gets it.
	maxBufferedAnswer = 8 << 20
	// lastWord is how long after the deadline given to an endpoint its answer
	// is still awaited; the answer then says whether the request ran.
	lastWord = 10 * time.Millisecond
)

// newTransport returns a transport for requests that may be repeated, whose
// connections are kept, or for those that run at most once: a kept connection
// may be closed by the endpoint while a request is on its way, and then nobody
// knows whether it ran.
func newTransport(cfg Config, keep bool) *http.Transport {
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, errors.Mark(err, errNotSent)
			}
			return conn, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      !keep,
		MaxIdleConnsPerHost:    keptPerEndpoint,
		IdleConnTimeout:        keptIdle,
		MaxResponseHeaderBytes: headBytes,
	}
}

// errNotSent marks errors before any byte of a request was sent.
var errNotSent = errors.New("no connection to the endpoint")

// send forwards the request to an endpoint and returns the head of the answer.
func (x *exchange) send(ctx context.Context, e tamarackknot.EndpointEntry, a tamarackknot.EndpointAttempt) (*http.Response, error) {
	target := &url.URL{Scheme: "http", Host: e.Address, Opaque: x.r.RequestURI}
	req := (&http.Request{
		Method:        x.r.Method,
		URL:           target,
		Host:          x.r.Host,
		Header:        x.server.cfg.Dialect.Forward(x.r.Header, a),
		Body:          x.bodyReader(),
		ContentLength: int64(len(x.body)),
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own.
		req.Header["User-Agent"] = []string{""}
	}
	transport := x.server.once
	if x.route.Kind == tamarackknot.RouteRepeatable {
		transport = x.server.kept
	}
	return transport.RoundTrip(req)
}

// verdict is what one attempt came to.
type verdict int

const (
	// verdictDone: the caller has its answer.
	verdictDone verdict = iota
	// verdictNotRun: the endpoint has not run the request and will not.
	verdictNotRun
	// verdictUnknown: the request may have run and there is no answer.
	verdictUnknown
	// verdictFailed: the endpoint ran the request and answered with a failure
	// that can be given to the caller.
	verdictFailed
	// verdictLeft: the caller has left.
	verdictLeft
	// verdictLate: the time of the request is over.
	verdictLate
)

// answer is an endpoint's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to an endpoint and reads its whole answer.
func (x *exchange) attempt(g *dispatch.Grant, deadline time.Time) (verdict, *answer) {
	ctx, cancel := context.WithDeadline(x.r.Context(), deadline.Add(lastWord))
	defer cancel()
	resp, err := x.send(ctx, g.Endpoint, tamarackknot.EndpointAttempt{Endpoint: g.Endpoint.ID, Deadline: deadline})
	if err != nil {
		return x.sendFailed(g, err), nil
	}
	defer func() { _ = resp.Body.Close() }()
	if v, ok := x.checkHead(g, resp); !ok {
		return v, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswer+1))
	if err != nil || len(body) > maxBufferedAnswer {
		g.Done(dispatch.ResultFailed)
		x.lastErr = "the endpoint broke off its answer"
		return x.over(verdictUnknown), nil
	}
	out := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		g.Done(dispatch.ResultFailed)
		x.lastErr = "the endpoint answered with a failure"
		return verdictFailed, out
	}
	g.Done(dispatch.ResultAnswered)
	return verdictDone, out
}

// sendFailed sorts errors before the head of an answer.
func (x *exchange) sendFailed(g *dispatch.Grant, err error) verdict {
	x.lastErr = err.Error()
	if errors.Is(err, errNotSent) {
		g.Done(dispatch.ResultUnreachable)
		return x.over(verdictNotRun)
	}
	x.sent++
	x.ran++
	if x.r.Context().Err() != nil {
		g.Done(dispatch.ResultDisconnected)
		return verdictLeft
	}
	g.Done(dispatch.ResultFailed)
	return x.over(verdictUnknown)
}

// over turns a verdict into that of a caller who left or a request whose time
// is over.
func (x *exchange) over(v verdict) verdict {
	switch {
	case x.r.Context().Err() != nil:
		return verdictLeft
	case v == verdictUnknown && !time.Now().Before(x.deadline):
		return verdictLate
	default:
		return v
	}
}

// checkHead tells the answers that cannot be given to the caller.
func (x *exchange) checkHead(g *dispatch.Grant, resp *http.Response) (verdict, bool) {
	a := x.server.cfg.Dialect.Answer(resp.StatusCode, resp.Header)
	x.sent++
	switch {
	case a.NotRun && a.Misplaced:
		g.Done(dispatch.ResultMisplaced)
		x.lastErr = "the endpoint is another one or lacks the model"
		return verdictNotRun, false
	case a.NotRun:
		g.Done(dispatch.ResultFull)
		x.lastErr = "the endpoint declined the request"
		return verdictNotRun, false
	}
	x.ran++
	if a.RequestID != x.caller.ID {
		g.Done(dispatch.ResultFailed)
		x.lastErr = "the answer belongs to another request"
		return verdictUnknown, false
	}
	if !a.Signed || resp.Header.Get("Content-Encoding") != "" || resp.StatusCode < http.StatusOK {
		g.Done(dispatch.ResultFailed)
		x.lastErr = "the answer is not that of a run"
		return verdictUnknown, false
	}
	return verdictDone, true
}
