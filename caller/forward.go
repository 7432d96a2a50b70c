package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxAttempts is how often a repeatable request is sent at most.
	maxAttempts = 3
	// Response headers with which an endpoint says that it did not start the
	// request, or that it is shutting down.
	headerRun     = "Run"
	headerLeaving = "Leaving"
)

// attempt is the outcome of an attempt that yielded no complete response.
type attempt struct {
	failure *failure
	// retryable says that the request may be sent to another replica.
	retryable bool
	// noSlot says that the endpoint had no free slot and did not start the
	// request.
	noSlot bool
	// usesRetryBudget says that the attempt counts toward the retry budget.
	usesRetryBudget bool
}

// forward sends the request, with retries, and relays the response.
func (x *exchange) forward() *failure {
	parent := x.r.Context()
	if x.key != nil {
		// The response to a keyed request is stored for repeats, so it must be
		// read even if the caller disconnects.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, x.opts.deadline)
	defer cancel()
	x.s.cfg.Router.RecordRequest(x.target)
	for {
		a := x.send(ctx)
		if a != nil && a.noSlot {
			if f := x.requeue(); f != nil {
				return f
			}
			continue
		}
		x.tried[(x.attempts-1)%len(x.tried)] = x.grant.Entry
		x.release()
		if a == nil {
			return nil
		}
		if !a.retryable || x.headerWritten || x.attempts >= maxAttempts || ctx.Err() != nil ||
			(a.usesRetryBudget && !x.s.cfg.Router.AllowRetry(x.target)) {
			return a.failure
		}
		x.s.metrics.retries.Inc(1)
		if f := x.acquire(); f != nil {
			return f
		}
	}
}

// requeue queues the request again after an endpoint had no free slot. This does
// not count as a failed attempt; only the deadline limits the repetitions.
func (x *exchange) requeue() *failure {
	x.granted = false
	x.grant.Declined()
	x.attempts--
	x.declines++
	return x.acquire()
}

// send sends the request once and relays the response. It returns nil if the
// complete response was relayed.
func (x *exchange) send(ctx context.Context) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !time.Now().Before(x.opts.deadline) {
		return &attempt{failure: x.contextFailure(x.runStatus())}
	}
	if !x.grant.Entry.Available(time.Now()) {
		// The endpoint began to drain after the replica was acquired.
		f := unavailable("endpointLeaving", "endpoint "+x.grant.Entry.Name()+" is leaving", time.Now().Add(time.Second))
		f.run = x.runStatus()
		return &attempt{failure: f, retryable: true}
	}
	tracker := &writeTracker{deadline: x.opts.deadline}
	transport := x.s.unpooled
	if x.repeatable {
		transport = x.s.pooled
	}
	resp, err := transport.RoundTrip(x.outgoing(tracker.withTrace(ctx)))
	if err != nil {
		return x.sendFailed(ctx, tracker, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if a := x.declined(resp); a != nil {
		return a
	}
	x.sent = true
	return x.relay(resp, cancel)
}

func (x *exchange) sendFailed(ctx context.Context, tracker *writeTracker, err error) *attempt {
	written := tracker.stop()
	x.sent = x.sent || written
	entry := x.grant.Entry
	var dial *dialError
	if errors.As(err, &dial) && ctx.Err() == nil {
		x.s.cfg.Table.MarkConnectFailed(entry, err)
	}
	if ctx.Err() != nil {
		return &attempt{failure: x.contextFailure(x.runStatus()), usesRetryBudget: written}
	}
	f := upstreamFailure("endpointFailed", "endpoint "+entry.Name()+" did not answer: "+err.Error(), x.runStatus())
	if !x.sent {
		f.status, f.retryAt = http.StatusServiceUnavailable, time.Now().Add(time.Second)
	}
	return &attempt{failure: f, retryable: !written || x.repeatable, usesRetryBudget: written}
}

// declined handles a response in which the endpoint says that it is shutting
// down or has not started the request. It returns nil if the response must be
// relayed.
func (x *exchange) declined(resp *http.Response) *attempt {
	leaving := resp.Header.Get(headerLeaving) == valueTrue
	if leaving {
		x.s.cfg.Table.MarkLeaving(x.grant.Entry, "response")
	}
	notRun := resp.Header.Get(headerRun) == string(NotRun)
	busy := resp.StatusCode == http.StatusServiceUnavailable
	// The endpoint no longer has a replica that the log still lists.
	lost := resp.StatusCode == http.StatusNotFound && x.target.Model != ""
	switch {
	case notRun && busy && !leaving:
		return &attempt{noSlot: true}
	case notRun && (busy || lost || x.sent):
		// The body from the endpoint describes this attempt only, so it is not
		// relayed.
	case busy && leaving && x.repeatable:
		x.sent = true
	default:
		return nil
	}
	f := unavailable("endpointDeclined", "endpoint "+x.grant.Entry.Name()+" declined the request",
		time.Now().Add(time.Second))
	f.run = x.runStatus()
	return &attempt{failure: f, retryable: x.repeatable, usesRetryBudget: true}
}

// outgoing returns the request to the endpoint. It has no GetBody and no
// Idempotency-Key, so that net/http never retries it.
func (x *exchange) outgoing(ctx context.Context) *http.Request {
	path, err := url.PathUnescape(x.route.path)
	if err != nil {
		path = x.route.path // unreachable: net/http has parsed the path
	}
	r := &http.Request{
		Method: x.r.Method,
		URL: &url.URL{
			Scheme: "http", Host: x.grant.Address, Path: path, RawPath: x.route.path,
			RawQuery: x.r.URL.RawQuery, ForceQuery: x.r.URL.ForceQuery,
		},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{},
		Host:   x.r.Host,
	}
	copyEndToEnd(r.Header, x.r.Header, headerKey, "X-Idempotency-Key", headerCreated, headerRepeatable, "Expect")
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil // prevents net/http from setting its default
	}
	r.Header.Set(headerDeadline, x.opts.deadline.UTC().Format(time.RFC3339Nano))
	r.Header.Set(headerPriority, string(rune('0'+x.opts.priority)))
	x.setBody(r)
	return r.WithContext(ctx)
}

// bodyReader hides the type of the wrapped reader from net/http.
type bodyReader struct{ io.Reader }

// Close implements io.Closer.
func (bodyReader) Close() error { return nil }

func (x *exchange) setBody(r *http.Request) {
	trailers := len(x.r.Trailer) > 0
	switch {
	case len(x.body) > 0 || trailers:
		r.Body, r.ContentLength = bodyReader{bytes.NewReader(x.body)}, int64(len(x.body))
		if trailers {
			r.ContentLength = -1
			r.Trailer = http.Header{}
			copyEndToEnd(r.Trailer, x.r.Trailer)
		}
	case x.r.Method == http.MethodGet || x.r.Method == http.MethodHead || x.r.Method == http.MethodOptions:
		// net/http retries these methods if the request has no body. With this
		// empty one it neither retries nor sends a body.
		r.Body = bodyReader{bytes.NewReader(nil)}
	}
}
