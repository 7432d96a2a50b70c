package ingress

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/dispatch"
)

const (
	// attemptObjectives is the time, in latency objectives of the route, after
	// which a repeatable request is retried at another endpoint.
	attemptObjectives = 2
	// declinedRetryDelay is the Retry-After of a request that endpoints
	// declined or did not receive.
	declinedRetryDelay = 300 * time.Millisecond
)

// serve answers the request, with retries as far as the route allows.
func (x *exchange) serve() {
	defer x.cancelRetry()
	x.announceBrittle()
	if x.forwardOnly || x.isolated() {
		x.serveIsolated()
		return
	}
	if x.route.Kind == tamarackknot.RouteStream {
		x.serveStream()
		return
	}
	var failure *bufferedResponse
	defer func() { failure.discard() }()
	for {
		g, refusal := x.acquire()
		if g == nil && x.servedElsewhere(refusal) {
			return
		}
		if g == nil {
			x.respondFailed(refusal, failure)
			return
		}
		o, resp := x.attempt(g, x.attemptDeadline())
		switch o {
		case outcomeDone:
			x.relay(resp)
			resp.discard()
			return
		case outcomeFailed:
			failure.discard()
			failure = resp
		case outcomeCallerGone:
			x.abortCallerGone()
		case outcomeCut:
			x.endCut()
			return
		case outcomeTimedOut:
			x.fail(http.StatusGatewayTimeout, "the endpoint did not answer in time")
			return
		case outcomeNotRun, outcomeUnknown:
		}
		if x.isolated() {
			x.serveIsolated()
			return
		}
		if !x.allowRetry(o, g) {
			x.respondFailed(nil, failure)
			return
		}
	}
}

// isolated reports whether the request must be served by another host: no endpoint can be
// reached, and none has received it.
func (x *exchange) isolated() bool { return x.sent == 0 && x.server.cfg.Isolated() }

// acquire waits for an endpoint with a free slot.
func (x *exchange) acquire() (*dispatch.Grant, *dispatch.Refusal) {
	if x.chargesQuota() {
		x.quota.startWaiting()
	}
	g, refusal := x.server.cfg.Dispatch.Acquire(x.r.Context(), &x.request)
	if g == nil {
		x.waits = x.waits.Add(refusal.Waits)
		if x.isCut() {
			x.logCut()
			refusal.Reason, refusal.RetryAt = errCut.Error(), time.Now()
		}
		return nil, refusal
	}
	if d := x.checkKey(); d != tamarackknot.AuthGranted {
		g.Done(dispatch.ResultDisconnected)
		x.waits = x.waits.Add(g.Waits)
		return nil, keyRefusal(d)
	}
	if !x.keepQuota() {
		g.Done(dispatch.ResultDisconnected)
		x.waits = x.waits.Add(g.Waits)
		return nil, &dispatch.Refusal{Reason: x.quotaRefusal.Reason, RetryAt: x.quotaRefusal.RetryAt}
	}
	x.endpoint = g.Endpoint.ID
	x.waits = x.waits.Add(g.Waits)
	x.server.counters.waited.Update(g.Waits.Total().Milliseconds())
	if x.retry != nil {
		x.server.cfg.Logger.Info("sending retry", "request", x.caller.ID, "service", x.service, "endpoint", g.Endpoint.ID,
			"delayMs", time.Since(x.retryDecidedAt).Milliseconds())
	}
	return g, nil
}

// attemptDeadline returns the deadline of the next attempt. It leaves time for
// another one if the route allows a retry.
func (x *exchange) attemptDeadline() time.Time {
	if x.route.Kind != tamarackknot.RouteRepeatable || x.possibleRuns+1 >= x.route.Attempts || x.route.Objective <= 0 {
		return x.deadline
	}
	deadline := time.Now().Add(attemptObjectives * x.route.Objective)
	if deadline.Before(x.deadline) {
		return deadline
	}
	return x.deadline
}

// allowRetry reports whether the request may be sent to another endpoint, and
// charges the retry budget for it.
func (x *exchange) allowRetry(o outcome, g *dispatch.Grant) bool {
	now := time.Now()
	if !now.Before(x.deadline) {
		return false
	}
	if o == outcomeUnknown || o == outcomeFailed {
		if !x.repeatable() || x.possibleRuns >= x.route.Attempts {
			return false
		}
		x.request.Exclude = append(x.request.Exclude, g.Endpoint.ID)
	}
	if x.request.Pinned && !x.server.cfg.Dispatch.CanContinue(&x.request) {
		return false
	}
	if x.sent == 0 {
		// No endpoint has received the request, so this is not a retry.
		return true
	}
	hosts := x.server.cfg.HostCount()
	retry, d := x.retry, dispatch.RetryDecision{Allowed: true}
	if retry == nil {
		retry, d = x.server.cfg.Budget.AllowRetry(x.service, hosts)
	}
	event := "retrying request"
	if !d.Allowed {
		event = "retry denied"
		x.server.counters.retryDenied.Inc(1)
	} else {
		x.server.counters.repeated.Inc(1)
		x.retry, x.retryDecidedAt = retry, now
	}
	x.server.cfg.Logger.Info(event, "request", x.caller.ID, "service", x.service, "endpoint", g.Endpoint.ID, "reason", x.lastErr,
		"sent", x.sent, "ran", x.possibleRuns, "started", x.headerSent, "used", d.Used, "allowance", d.Allowance, "hosts", hosts)
	return d.Allowed
}

// cancelRetry returns a retry to the budget that was allowed and is not sent.
func (x *exchange) cancelRetry() {
	if x.retry != nil {
		x.retry.Cancel()
		x.retry = nil
	}
}

// repeatable reports whether a request that may have run may run again.
func (x *exchange) repeatable() bool {
	return x.route.Kind == tamarackknot.RouteRepeatable || x.route.Kind == tamarackknot.RouteStream && x.route.Resumable
}

// respondFailed sends the final response of a request without a successful
// attempt: the endpoint's error response, or whether the request may have run.
func (x *exchange) respondFailed(refusal *dispatch.Refusal, failure *bufferedResponse) {
	switch {
	case x.callerLeft():
		x.abortCallerGone()
	case failure != nil:
		x.relay(failure)
	case x.possibleRuns == 0 && x.checkKey() == tamarackknot.AuthUnknown:
		x.failUnauthorized(takenAwayReason)
	case x.possibleRuns == 0 && x.quotaRefusal != nil:
		x.refuseQuota(*x.quotaRefusal)
	case x.possibleRuns == 0 && refusal != nil:
		if x.forwardedBy != "" && x.server.cfg.Dispatch.Leaving(x.deadline) != nil {
			// Another host may serve it.
			x.w.Header().Set(headerIsolated, "1")
		}
		x.refuse(refusal.Reason, refusal.RetryAt)
	case x.possibleRuns == 0:
		x.refuse(x.lastErr, x.server.cfg.Dispatch.RetryAt(&x.request, time.Now().Add(declinedRetryDelay)))
	case !time.Now().Before(x.deadline):
		x.fail(http.StatusGatewayTimeout, "the endpoint did not answer in time")
	default:
		x.fail(http.StatusBadGateway, "the request may have run: "+x.lastErr)
	}
}

// abortCallerGone ends an exchange whose caller has disconnected. It panics with
// http.ErrAbortHandler, so it does not return.
func (x *exchange) abortCallerGone() {
	x.server.counters.callerLeft.Inc(1)
	x.log("caller disconnected")
	panic(http.ErrAbortHandler)
}

// relayHeader sets the headers of a response to the caller to those of an endpoint or
// another host.
func (x *exchange) relayHeader(from http.Header) {
	h := x.w.Header()
	for name, values := range x.server.cfg.Dialect.Relay(from) {
		h[name] = slices.Clone(values)
	}
	x.closeIfDraining()
}

// relay sends the response of an endpoint to the caller.
func (x *exchange) relay(resp *bufferedResponse) {
	x.relayHeader(resp.header)
	if x.r.Method != http.MethodHead && resp.status != http.StatusNoContent && resp.status != http.StatusNotModified {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	x.w.WriteHeader(resp.status)
	// An error means that the caller has disconnected.
	_, _ = x.w.Write(resp.body)
	x.server.counters.answered.Inc(1)
	x.server.counters.firstByte.Update(time.Since(x.arrived).Milliseconds())
	x.log("answered", "status", resp.status)
}
