package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/internal/wait"
)

// cutAnswerTime is for the answers to requests that are cut.
const cutAnswerTime = 300 * time.Millisecond

// errCut is the cause of the end of a request that is cut since the host shuts down.
var errCut = errors.New("the host is leaving")

// Drain makes the server close each connection after its next response.
func (s *Server) Drain() { s.draining.Store(true) }

// Finish serves the connections of callers until the host ends, as plan allows. At its end
// the requests that are still under way are cut: those whose answer has not begun get one
// that says whether they may have run. It returns an error if some get none.
func (s *Server) Finish(ctx context.Context, conns *ConnTimeouts, plan dispatch.Shutdown) error {
	untilEnd, cancel := context.WithDeadline(ctx, plan.End)
	defer cancel()
	wait.For(untilEnd, time.Until(plan.WaitUntil))
	if conns.Drain(untilEnd) == nil {
		return nil
	}
	s.cutNow()
	ctx, cancel = context.WithDeadline(ctx, plan.End.Add(cutAnswerTime))
	defer cancel()
	return conns.WaitAnswered(ctx)
}

// untilCut returns a context like ctx that also ends when requests are cut. release must be called.
func (s *Server) untilCut(ctx context.Context) (_ context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.cut, func() { cancel(errCut) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// isCut reports whether the request has to end since the host shuts down.
func (x *exchange) isCut() bool { return errors.Is(context.Cause(x.r.Context()), errCut) }

// callerLeft reports whether the caller has disconnected.
func (x *exchange) callerLeft() bool { return x.r.Context().Err() != nil && !x.isCut() }

// closeIfDraining makes the response close its connection if the host shuts down.
func (x *exchange) closeIfDraining() {
	if x.server.draining.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

// endCut ends a request that is cut: with an answer that says whether it may have run or, if
// its answer has begun, by closing the connection.
func (x *exchange) endCut() {
	x.lastErr = errCut.Error()
	x.logCut()
	if x.headerSent {
		x.server.counters.failed.Inc(1)
		panic(http.ErrAbortHandler)
	}
	x.respondFailed(&dispatch.Refusal{Reason: x.lastErr, RetryAt: time.Now()}, nil)
}

// logCut logs what a request that is cut has waited for.
func (x *exchange) logCut() {
	awaits := "answer"
	switch {
	case x.headerSent:
		awaits = "rest of the answer"
	case x.sentAt.IsZero():
		awaits = "endpoint"
	}
	x.log("request cut at the end of the grace period", "awaits", awaits, "arrivedAt", logTime(x.arrived), "sentAt", logTime(x.sentAt),
		"lastEventAt", logTime(x.lastEventAt), "repeatable", x.repeatable())
}

// logTime formats a time for the log, empty if it is zero.
func logTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}
