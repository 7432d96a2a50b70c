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
	// hedgeObjectives is how many objectives an endpoint has to answer a
	// request that may be repeated before another one is asked.
	hedgeObjectives = 2
	// retrySoon is when a caller comes back whose request was declined.
	retrySoon = 300 * time.Millisecond
)

// serve has the request answered.
func (x *exchange) serve() {
	if x.route.Kind == tamarackknot.RouteStream {
		x.serveStream()
		return
	}
	var failure *answer
	for {
		g, refusal := x.acquire()
		if g == nil {
			x.giveUp(refusal, failure)
			return
		}
		v, a := x.attempt(g, x.attemptDeadline())
		switch v {
		case verdictDone:
			x.relay(a)
			return
		case verdictFailed:
			failure = a
		case verdictLeft:
			x.left()
		case verdictLate:
			x.fail(http.StatusGatewayTimeout, "the endpoint did not answer in time")
			return
		case verdictNotRun, verdictUnknown:
		}
		if !x.again(v, g) {
			x.giveUp(nil, failure)
			return
		}
	}
}

// acquire waits for an endpoint.
func (x *exchange) acquire() (*dispatch.Grant, *dispatch.Refusal) {
	g, refusal := x.server.cfg.Dispatch.Acquire(x.r.Context(), &x.request)
	if g != nil {
		x.endpoint = g.Endpoint.ID
		x.server.counters.waited.Update(g.Waited.Milliseconds())
	}
	return g, refusal
}

// attemptDeadline leaves time for a second endpoint where the route allows
// one.
func (x *exchange) attemptDeadline() time.Time {
	if x.route.Kind != tamarackknot.RouteRepeatable || x.ran+1 >= x.route.Attempts || x.route.Objective <= 0 {
		return x.deadline
	}
	hedge := time.Now().Add(hedgeObjectives * x.route.Objective)
	if hedge.Before(x.deadline) {
		return hedge
	}
	return x.deadline
}

// again reports whether the request may be sent to another endpoint.
func (x *exchange) again(v verdict, g *dispatch.Grant) bool {
	now := time.Now()
	if !now.Before(x.deadline) {
		return false
	}
	if v == verdictUnknown || v == verdictFailed {
		if !x.mayRunAgain() || x.ran >= x.route.Attempts {
			return false
		}
		x.request.Exclude = append(x.request.Exclude, g.Endpoint.ID)
	}
	if x.sent == 0 {
		// No endpoint has seen the request: it is no repeat.
		return true
	}
	if !x.server.cfg.Budget.AllowRetry(x.service, x.server.cfg.Hosts(), now) {
		return false
	}
	x.server.counters.repeated.Inc(1)
	x.server.cfg.Logger.Info("request sent again", "request", x.caller.ID, "endpoint", g.Endpoint.ID, "reason", x.lastErr,
		"sent", x.sent, "ran", x.ran, "started", x.started)
	return true
}

// mayRunAgain reports whether a request that may have run may run once more.
func (x *exchange) mayRunAgain() bool {
	return x.route.Kind == tamarackknot.RouteRepeatable || x.route.Kind == tamarackknot.RouteStream && x.route.Resumable
}

// giveUp gives the final answer without an endpoint's success: the endpoint's
// own failure, or what is known of whether the request ran.
func (x *exchange) giveUp(refusal *dispatch.Refusal, failure *answer) {
	switch {
	case x.r.Context().Err() != nil:
		x.left()
	case failure != nil:
		x.relay(failure)
	case x.ran == 0 && refusal != nil:
		x.refuse(refusal.Reason, refusal.RetryAt)
	case x.ran == 0:
		x.refuse(x.lastErr, time.Now().Add(retrySoon))
	case !time.Now().Before(x.deadline):
		x.fail(http.StatusGatewayTimeout, "the endpoint did not answer in time")
	default:
		x.fail(http.StatusBadGateway, "the request may have run: "+x.lastErr)
	}
}

// left ends an exchange whose caller is gone.
func (x *exchange) left() {
	x.server.counters.left.Inc(1)
	x.log("caller left")
	panic(http.ErrAbortHandler)
}

// relay gives an endpoint's whole answer to the caller.
func (x *exchange) relay(a *answer) {
	h := x.w.Header()
	for name, values := range x.server.cfg.Dialect.Relay(a.header) {
		h[name] = slices.Clone(values)
	}
	if x.r.Method != http.MethodHead && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.w.WriteHeader(a.status)
	// An error means that the caller has left.
	_, _ = x.w.Write(a.body)
	x.server.counters.answered.Inc(1)
	x.server.counters.firstByte.Update(time.Since(x.arrived).Milliseconds())
	x.log("answered", "status", a.status)
}
