package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/dispatch"
)

const (
	// headerForwardedBy names the host that forwards a caller's request to another host.
	// Such a request is not forwarded again.
	headerForwardedBy = "Entry-Forwarded-By"
	// headerIsolated marks the response of a host that reaches no endpoint either.
	headerIsolated = "Entry-Isolated"
	// maxForwards is the number of hosts to which a request is forwarded until one
	// can serve it.
	maxForwards = 3
	// isolatedRetryDelay is the Retry-After of a request that no host can forward.
	isolatedRetryDelay = 500 * time.Millisecond
	relayBufferBytes   = 4 << 10
)

// serveIsolated serves a request without reaching an endpoint: by another host or, if
// there is none, with a refusal.
func (x *exchange) serveIsolated() {
	if x.forwardedBy != "" {
		x.w.Header().Set(headerIsolated, "1")
		x.refuse("this host reaches no endpoint", time.Time{})
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline.Add(responseGrace))
	defer cancel()
	hosts := x.server.cfg.OtherHosts()
	for _, host := range hosts[:min(len(hosts), maxForwards)] {
		resp, err := x.sendToHost(ctx, host)
		switch {
		case err == nil && resp.Header.Get(headerIsolated) == "":
			x.relayFromHost(ctx, host, resp)
			return
		case err == nil:
			_ = resp.Body.Close()
			x.lastErr = "the other host reaches no endpoint"
		case x.r.Context().Err() != nil:
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
	x.respondFailed(&dispatch.Refusal{Reason: "this host reaches no endpoint", RetryAt: time.Now().Add(isolatedRetryDelay)}, nil)
}

// sendToHost forwards the caller's request to another host as it is, but for the time
// that is left.
func (x *exchange) sendToHost(ctx context.Context, host tamarackknot.HostEntry) (*http.Response, error) {
	req := x.outgoing(ctx, host.Address, tamarackknot.EndpointAttempt{Deadline: x.deadline})
	req.Header.Set(headerForwardedBy, x.server.cfg.Host)
	return x.server.hostTransport.RoundTrip(req)
}

// relayFromHost sends the response of another host to the caller as it arrives, until ctx
// ends.
func (x *exchange) relayFromHost(ctx context.Context, host tamarackknot.HostEntry, resp *http.Response) {
	stop := context.AfterFunc(ctx, func() { _ = resp.Body.Close() })
	defer stop()
	defer func() { _ = resp.Body.Close() }()
	x.relayHeader(resp.Header)
	if after := resp.Header.Get("Retry-After"); after != "" {
		x.w.Header().Set("Retry-After", after)
	}
	x.w.WriteHeader(resp.StatusCode)
	x.server.counters.forwarded.Inc(1)
	err := x.copyFromHost(resp.Body)
	x.log("answered through another host", "host", host.Name, "status", resp.StatusCode, "error", err)
	switch {
	case err == nil:
	case x.r.Context().Err() != nil:
		x.abortCallerGone()
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
