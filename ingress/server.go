// Package ingress serves callers: it selects the route of a request, has an
// endpoint chosen, forwards the request there and gives the caller the whole
// answer to its own request or says honestly what became of it.
package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/catalog"
	"tamarackknot.example/tamarackknot/dispatch"
)

const (
	// defaultPatience is assumed of a caller that does not say how long it
	// waits.
	defaultPatience = 30 * time.Second
	// defaultBodyBytes bounds a request body if the configuration does not.
	defaultBodyBytes = 4 << 20
	// unknownRetry is when callers come back while the host knows no
	// configuration.
	unknownRetry = 500 * time.Millisecond
	// Callers abandon a stream after a pause, also before its first event, of
	// leastPatience, objectivePatience objectives or gapPatience times the
	// pause that is on time, whichever is longest.
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
	// discardTime and discardBytes bound what is read of a body whose request
	// is answered early.
	discardTime  = 300 * time.Millisecond
	discardBytes = 1 << 20
	// pastTimeout is kept between the end of a request's time and the limits
	// of the route, so that the answer is out in time.
	pastTimeout = 20 * time.Millisecond
)

// Config configures a Server.
type Config struct {
	Catalog  func() *catalog.View
	Dispatch *dispatch.Dispatcher
	Budget   *dispatch.RetryBudget
	Dialect  tamarackknot.Dialect
	// Hosts returns how many entry hosts share the budget.
	Hosts func() int
	// Dial opens connections to endpoints.
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Logger  *log.Logger
	Metrics metrics.Registry
}

// Server is the handler for callers.
type Server struct {
	cfg      Config
	once     *http.Transport
	kept     *http.Transport
	draining atomic.Bool
	counters counters
}

// New returns a Server.
func New(cfg Config) *Server {
	return &Server{
		cfg:      cfg,
		once:     newTransport(cfg, false),
		kept:     newTransport(cfg, true),
		counters: newCounters(cfg.Metrics),
	}
}

// Drain has connections closed after their next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{server: s, w: w, r: r, arrived: time.Now()}
	for _, filter := range []func(*exchange) bool{
		(*exchange).selectRoute, (*exchange).readHead, (*exchange).readBody, (*exchange).chooseService,
	} {
		if !filter(x) {
			return
		}
	}
	x.serve()
}

// exchange is one request of a caller with its answer.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	version int64
	limits  tamarackknot.CallerLimits
	route   *tamarackknot.Route
	caller  tamarackknot.CallerRequest
	service string
	body    []byte
	// bodyRead says that nothing of the request is left to read.
	bodyRead bool
	// deadline is when the caller or the route gives up.
	deadline time.Time
	// firstBy is when the caller of a stream leaves without a first event.
	firstBy  time.Time
	request  dispatch.Request
	ran      int // attempts that may have run
	sent     int // attempts that reached an endpoint
	lastErr  string
	started  bool // the head of the answer is out
	firstAt  time.Time
	endpoint string
	// eventAt is when the last event was passed on, longestGap the longest
	// pause before one.
	eventAt    time.Time
	longestGap time.Duration
}

// selectRoute finds the route of the request.
func (x *exchange) selectRoute() bool {
	view := x.server.cfg.Catalog()
	if view == nil {
		x.refuse("no configuration is known yet", x.arrived.Add(unknownRetry))
		return false
	}
	x.version, x.limits = view.Catalog.Version, view.Catalog.Limits
	x.route = view.Route(x.r.Host, x.r.URL.EscapedPath())
	if x.route == nil {
		x.fail(http.StatusNotFound, "no route matches the host and path")
		return false
	}
	return true
}

// readHead reads what the caller says of the request.
func (x *exchange) readHead() bool {
	if n := headerBytes(x.r.Header); x.limits.HeaderBytes > 0 && n > x.limits.HeaderBytes {
		x.fail(http.StatusRequestHeaderFieldsTooLarge, "headers exceed the limit")
		return false
	}
	caller, err := x.server.cfg.Dialect.Request(x.r.Header)
	if err != nil {
		x.fail(http.StatusBadRequest, err.Error())
		return false
	}
	x.caller = caller
	patience := caller.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	if x.route.Timeout > 0 {
		patience = min(patience, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(patience - pastTimeout)
	x.firstBy = x.deadline
	if x.route.Kind == tamarackknot.RouteStream {
		pause := max(leastPatience, objectivePatience*x.route.Objective, gapPatience*x.route.GapObjective)
		if by := x.arrived.Add(pause); by.Before(x.firstBy) {
			x.firstBy = by
		}
	}
	return true
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody reads the whole body, so that it can be sent once more and the
// leaving of the caller is noticed.
func (x *exchange) readBody() bool {
	limit := x.limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		x.fail(http.StatusRequestEntityTooLarge, "the body exceeds the limit")
		return false
	}
	var buf bytes.Buffer
	if x.r.ContentLength > 0 {
		buf.Grow(int(x.r.ContentLength) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.fail(http.StatusRequestEntityTooLarge, "the body exceeds the limit")
		return false
	case err != nil:
		// The caller broke off: nobody reads an answer.
		x.log("caller broke off", "error", err)
		panic(http.ErrAbortHandler)
	}
	x.body, x.bodyRead = buf.Bytes(), true
	return true
}

// chooseService takes the route's service, or one of its shares by weight.
func (x *exchange) chooseService() bool {
	if len(x.route.Shares) == 0 {
		x.refuse("the route has no service", x.arrived.Add(unknownRetry))
		return false
	}
	x.service = pickShare(x.route.Shares)
	x.request = dispatch.Request{
		ID: x.caller.ID, Service: x.service, Model: x.caller.Model, Adapter: x.caller.Adapter,
		Priority: x.route.Priority, Arrived: x.arrived, Deadline: x.firstBy,
		Objective: x.arrived.Add(x.route.Objective), PromptParts: x.caller.Parts,
	}
	if pool, ok := x.server.cfg.Catalog().Catalog.Services[x.service]; !ok || pool.Engine == nil {
		x.request.Model, x.request.Adapter = "", ""
	}
	x.server.cfg.Budget.RecordRequest(x.service, x.arrived)
	return true
}

// refuse answers that the request has not run and when to come back.
func (x *exchange) refuse(reason string, retryAt time.Time) {
	h := x.w.Header()
	if !retryAt.IsZero() {
		after := max(time.Until(retryAt).Seconds(), 0)
		h.Set("Retry-After", strconv.FormatFloat(after, 'f', 2, 64))
	}
	x.server.counters.refused.Inc(1)
	x.finish(http.StatusServiceUnavailable, reason)
}

// fail answers with a failure that promises nothing, or rejects the request.
func (x *exchange) fail(status int, reason string) {
	x.server.counters.failed.Inc(1)
	x.finish(status, reason)
}

func (x *exchange) finish(status int, reason string) {
	x.log("answered", "status", status, "reason", reason)
	if !x.bodyRead {
		x.discardBody()
	}
	http.Error(x.w, reason, status)
}

// discardBody reads what is left of a request that is answered early: closing a
// connection with unread bytes resets it, and the caller would lose the answer.
func (x *exchange) discardBody() {
	rc := http.NewResponseController(x.w)
	// A connection without deadlines is that of a test.
	_ = rc.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.CopyN(io.Discard, x.r.Body, discardBytes)
	_ = rc.SetReadDeadline(time.Time{})
}

// log writes the line of the request's outcome.
func (x *exchange) log(event string, kv ...any) {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	all := append([]any{
		"request", x.caller.ID, "route", route, "version", x.version, "model", x.caller.Model, "adapter", x.caller.Adapter,
		"endpoint", x.endpoint, "sent", x.sent, "ran", x.ran, "ms", time.Since(x.arrived).Milliseconds(),
	}, kv...)
	x.server.cfg.Logger.Info(event, all...)
}

func (x *exchange) bodyReader() io.ReadCloser {
	if len(x.body) == 0 {
		return http.NoBody
	}
	// The wrapped reader keeps the transport from sending the body again.
	return io.NopCloser(bytes.NewReader(x.body))
}
