package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/dispatch"
)

const (
	// headerForwardedBy names the host that forwards a caller's request to another host.
	// Such a request is not forwarded again.
	headerForwardedBy = "Entry-Forwarded-By"
	// headerIsolated marks the response of a host that may not send the request to an
	// endpoint, or reaches none, either.
	headerIsolated = "Entry-Isolated"
	// headerBrittle says, in the response to a forwarded request, whether the endpoints of
	// its service are brittle: the rejections that one bears in a second, -1 if they are not,
	// and the age of the observation in ms. A host that only forwards gets no answers that
	// say so.
	headerBrittle = "Entry-Brittle"
	// maxForwards is the number of hosts to which a request is forwarded until one
	// can serve it.
	maxForwards = 3
	// isolatedRetryDelay is the Retry-After of a request that no host can forward.
	isolatedRetryDelay = 500 * time.Millisecond
	relayBufferBytes   = 4 << 10
)

// serveIsolated serves a request without reaching an endpoint.
func (x *exchange) serveIsolated() {
	x.forward(x.server.cfg.OtherHosts(), &dispatch.Refusal{
		Reason: "this host reaches no endpoint", RetryAt: time.Now().Add(isolatedRetryDelay),
	})
}

// servedElsewhere serves a request that got no endpoint by another host, and reports whether
// it has to be.
func (x *exchange) servedElsewhere(refusal *dispatch.Refusal) bool {
	switch {
	case x.isolated():
		x.serveIsolated()
	case x.mayForward(refusal):
		x.serveElsewhere(refusal)
	default:
		return false
	}
	return true
}

// mayForward reports whether a request that this host may not send to an endpoint can go
// to the hosts that may: no endpoint has received it.
func (x *exchange) mayForward(r *dispatch.Refusal) bool {
	return x.sent == 0 && r != nil && len(r.Hosts) > 0
}

// serveElsewhere serves a request by one of the hosts that may send it to an endpoint.
func (x *exchange) serveElsewhere(refusal *dispatch.Refusal) {
	hosts := x.server.cfg.OtherHosts()
	byName := make(map[string]tamarackknot.HostEntry, len(hosts))
	for _, host := range hosts {
		byName[host.Name] = host
	}
	var able []tamarackknot.HostEntry
	for _, name := range refusal.Hosts {
		if host, alive := byName[name]; alive {
			able = append(able, host)
			delete(byName, name)
		}
	}
	x.forward(able, refusal)
}

// forward serves a request by one of the hosts or, if none of the first can, with the
// refusal.
func (x *exchange) forward(hosts []tamarackknot.HostEntry, refusal *dispatch.Refusal) {
	if r := x.server.cfg.Dispatch.Leaving(x.deadline); r != nil {
		x.respondFailed(r, nil)
		return
	}
	if x.forwardedBy != "" {
		x.w.Header().Set(headerIsolated, "1")
		x.refuse(refusal.Reason, time.Time{})
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline.Add(responseGrace))
	defer cancel()
	// The host that sends the request to an endpoint takes its cost.
	x.returnQuota()
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(h tamarackknot.HostEntry) bool { return !x.understands(h) })
	for _, host := range hosts[:min(len(hosts), maxForwards)] {
		resp, err := x.sendToHost(ctx, host)
		switch {
		case err == nil && resp.Header.Get(headerIsolated) == "":
			x.relayFromHost(ctx, host, resp)
			return
		case err == nil:
			_ = resp.Body.Close()
			x.lastErr = "the other host may not send it to an endpoint, or reaches none"
		case x.callerLeft():
			x.abortCallerGone()
		case errors.Is(err, errNotSent):
			x.lastErr = err.Error()
		default:
			x.lastErr = err.Error()
			x.possibleRuns++
			x.respondFailed(nil, nil)
			return
		}
		x.server.cfg.Logger.Info("cannot forward request to another host", "request", x.caller.ID, "to", host.Name, "error", x.lastErr)
	}
	x.respondFailed(refusal, nil)
}

// announceBrittle tells the host that forwarded the request whether endpoints are brittle.
func (x *exchange) announceBrittle() {
	b, ok := x.server.cfg.Dispatch.Brittle(x.service)
	if !ok || x.forwardedBy == "" {
		return
	}
	declines := b.MaxDeclines
	if !b.Brittle {
		declines = -1
	}
	x.w.Header().Set(headerBrittle, fmt.Sprintf("%d %d", declines, time.Since(b.At).Milliseconds()))
}

// observeBrittle records what another host says of the endpoints of the service.
func (x *exchange) observeBrittle(h http.Header) {
	value := h.Get(headerBrittle)
	if value == "" {
		return
	}
	var declines int
	var ageMs int64
	if _, err := fmt.Sscanf(value, "%d %d", &declines, &ageMs); err != nil || ageMs < 0 {
		x.server.cfg.Logger.Warn("header of another host ignored", "header", headerBrittle, "value", value, "error", err)
		return
	}
	x.server.cfg.Dispatch.MergeBrittle(tamarackknot.BrittleService{
		Service: x.service, Brittle: declines >= 0, MaxDeclines: max(declines, 0), At: time.Now().Add(-time.Duration(ageMs) * time.Millisecond),
	})
}

// sendToHost forwards the caller's request to another host as it is, but for the time
// that is left.
func (x *exchange) sendToHost(ctx context.Context, host tamarackknot.HostEntry) (*http.Response, error) {
	req := x.outgoing(ctx, host.Address, tamarackknot.EndpointAttempt{Deadline: x.deadline})
	req.Header.Set(headerForwardedBy, x.server.cfg.Host)
	x.addProof(req.Header)
	x.sentAt = time.Now()
	return x.server.hostTransport.RoundTrip(req)
}

// relayFromHost sends the response of another host to the caller as it arrives, until ctx
// ends.
func (x *exchange) relayFromHost(ctx context.Context, host tamarackknot.HostEntry, resp *http.Response) {
	stop := context.AfterFunc(ctx, func() { _ = resp.Body.Close() })
	defer stop()
	defer func() { _ = resp.Body.Close() }()
	x.observeBrittle(resp.Header)
	x.relayHeader(resp.Header)
	x.w.Header().Del(headerBrittle)
	if after := resp.Header.Get("Retry-After"); after != "" {
		x.w.Header().Set("Retry-After", after)
	}
	x.w.WriteHeader(resp.StatusCode)
	x.headerSent = true
	x.server.counters.forwarded.Inc(1)
	err := x.copyFromHost(resp.Body)
	x.log("answered through another host", "host", host.Name, "status", resp.StatusCode, "error", err)
	switch {
	case err == nil:
	case x.callerLeft():
		x.abortCallerGone()
	case x.isCut():
		x.logCut()
		panic(http.ErrAbortHandler)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) copyFromHost(body io.Reader) error {
	rc := http.NewResponseController(x.w)
	// A deadline left in place would fail later responses on the connection.
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := x.writeNow(rc, buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
