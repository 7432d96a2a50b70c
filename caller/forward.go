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
	// maxAttempts bounds how often a repeatable request is sent.
	maxAttempts = 3
	// Response headers in which an endpoint speaks of itself.
	headerRun     = "Run"
	headerLeaving = "Leaving"
)

// attempt is the outcome of sending a request that got no response to relay.
type attempt struct {
	failure *failure
	// again says that another replica may be tried.
	again bool
	// full says that the endpoint had no slot and did not start the request.
	full bool
	// sent says that the attempt counts toward the retry budget.
	sent bool
}

// forward sends the request until an endpoint has answered it.
func (x *exchange) forward() *failure {
	parent := x.r.Context()
	if x.key != nil {
		// The response to a keyed request is kept for a repeat, so that it is
		// not lost when the caller's connection breaks.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, x.opts.deadline)
	defer cancel()
	x.s.cfg.Router.RecordRequest(x.target)
	for {
		a := x.send(ctx)
		if a != nil && a.full {
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
		if !a.again || x.answered || x.attempts >= maxAttempts || ctx.Err() != nil ||
			(a.sent && !x.s.cfg.Router.AllowRetry(x.target)) {
			return a.failure
		}
		x.s.metrics.retries.Inc(1)
		if f := x.acquire(); f != nil {
			return f
		}
	}
}

// requeue waits for a replica again after an endpoint had no slot. The request
// has not failed: the deadline bounds how often this happens.
func (x *exchange) requeue() *failure {
	x.granted = false
	x.grant.Declined()
	x.attempts--
	x.declines++
	return x.acquire()
}

// send sends the request once and relays the response. It returns nil if the
// response was relayed completely.
func (x *exchange) send(ctx context.Context) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !time.Now().Before(x.opts.deadline) {
		return &attempt{failure: x.ended(x.ran())}
	}
	if !x.grant.Entry.Available(time.Now()) {
		// A drain signal came after the replica was acquired.
		f := unavailable("endpointLeaving", "endpoint "+x.grant.Entry.Name()+" is leaving", time.Now().Add(time.Second))
		f.run = x.ran()
		return &attempt{failure: f, again: true}
	}
	s := &sending{deadline: x.opts.deadline}
	transport := x.s.fresh
	if x.repeatable {
		transport = x.s.shared
	}
	resp, err := transport.RoundTrip(x.outgoing(s.trace(ctx)))
	if err != nil {
		return x.sendFailed(ctx, s, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if a := x.declined(resp); a != nil {
		return a
	}
	x.sent = true
	return x.relay(resp, cancel)
}

func (x *exchange) sendFailed(ctx context.Context, s *sending, err error) *attempt {
	written := s.end()
	x.sent = x.sent || written
	entry := x.grant.Entry
	var dial *dialError
	if errors.As(err, &dial) && ctx.Err() == nil {
		x.s.cfg.Table.MarkConnectFailed(entry, err)
	}
	if ctx.Err() != nil {
		return &attempt{failure: x.ended(x.ran()), sent: written}
	}
	f := upstream("endpointFailed", "endpoint "+entry.Name()+" did not answer: "+err.Error(), x.ran())
	if !x.sent {
		f.status, f.retryAt = http.StatusServiceUnavailable, time.Now().Add(time.Second)
	}
	return &attempt{failure: f, again: !written || x.repeatable, sent: written}
}

// declined handles a response in which the endpoint says that it is leaving or
// has not started the request.
func (x *exchange) declined(resp *http.Response) *attempt {
	leaving := resp.Header.Get(headerLeaving) == valueTrue
	if leaving {
		x.s.cfg.Table.MarkLeaving(x.grant.Entry, "response")
	}
	notRun := resp.Header.Get(headerRun) == string(NotRun)
	busy := resp.StatusCode == http.StatusServiceUnavailable
	// The endpoint has lost a replica that the log still shows.
	lost := resp.StatusCode == http.StatusNotFound && x.target.Model != ""
	switch {
	case notRun && busy && !leaving:
		return &attempt{full: true}
	case notRun && (busy || lost || x.sent):
		// The endpoint's own body speaks of this attempt only.
	case busy && leaving && x.repeatable:
		x.sent = true
	default:
		return nil
	}
	f := unavailable("endpointDeclined", "endpoint "+x.grant.Entry.Name()+" declined the request",
		time.Now().Add(time.Second))
	f.run = x.ran()
	return &attempt{failure: f, again: x.repeatable, sent: true}
}

// outgoing builds the request to the endpoint. It has no GetBody and no
// Idempotency-Key, so that net/http never repeats it.
func (x *exchange) outgoing(ctx context.Context) *http.Request {
	path, err := url.PathUnescape(x.route.path)
	if err != nil {
		path = x.route.path // cannot happen: it was parsed before
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
		r.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	r.Header.Set(headerDeadline, x.opts.deadline.UTC().Format(time.RFC3339Nano))
	r.Header.Set(headerPriority, string(rune('0'+x.opts.priority)))
	x.setBody(r)
	return r.WithContext(ctx)
}

// bodyReader hides the type of its reader from net/http.
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
		// net/http repeats these if they have no body. It reads this one,
		// finds it empty and sends none.
		r.Body = bodyReader{bytes.NewReader(nil)}
	}
}
