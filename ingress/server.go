// Package ingress serves callers. It selects the route of a request, waits for
// the dispatcher to assign an endpoint, forwards the request there and relays
// the response. If there is none, the response tells whether the request may
// have run.
package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/admission"
	"tamarackknot.example/tamarackknot/catalog"
	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/internal/headcheck"
	"tamarackknot.example/tamarackknot/internal/timedread"
)

const (
	// defaultCallerTimeout applies to requests without a deadline.
	defaultCallerTimeout = 30 * time.Second
	// defaultBodyBytes limits a request body if the configuration does not.
	defaultBodyBytes = 4 << 20
	// noConfigRetryDelay is the Retry-After of requests while the host has no
	// configuration or the route has no service.
	noConfigRetryDelay = 500 * time.Millisecond
	// Callers abandon a stream when its first or next event takes longer than
	// minEventTimeout, eventTimeoutObjectives latency objectives or
	// eventTimeoutGaps gap objectives of the route, whichever is longest.
	minEventTimeout        = 2 * time.Second
	eventTimeoutObjectives = 4
	eventTimeoutGaps       = 8
	// discardTimeout and maxDiscardBytes limit how much of the body is read
	// after an early response.
	discardTimeout  = 300 * time.Millisecond
	maxDiscardBytes = 1 << 20
	// responseMargin is subtracted from the timeout of a request so that the
	// response is sent in time.
	responseMargin = 20 * time.Millisecond
)

// Config configures a Server.
type Config struct {
	Catalog func() *catalog.View
	// CatalogBehind reports whether another host has a newer configuration in force. Nil
	// means that none has.
	CatalogBehind func() bool
	Dispatch      *dispatch.Dispatcher
	Budget        *dispatch.RetryBudget
	Dialect       tamarackknot.Dialect
	// Authenticator finds the workspaces of callers, and Quotas holds their quotas. Nil means
	// that no request needs a key, or that there are no quotas.
	Authenticator tamarackknot.Authenticator
	Quotas        tamarackknot.Quotas
	// Origins keeps the origins of resumable streams.
	Origins tamarackknot.StreamOrigins
	// VersionsKnown reports whether this host knows all versions of the endpoints' software
	// that were listed lately, also before it started. Nil means that it does.
	VersionsKnown func(ctx context.Context) bool
	// Crashes relates crashes of endpoints to parts of prompts.
	Crashes tamarackknot.CrashRecords
	// HostCount returns the number of entry hosts that share the retry budget.
	HostCount func() int
	// Host is the name of this host.
	Host string
	// Dial opens connections to other hosts, DialEndpoint those to endpoints. Nil uses
	// TCP, or Dial.
	Dial         DialFunc
	DialEndpoint DialFunc
	// Isolated reports whether this host reaches no endpoint, and OtherHosts returns the
	// other hosts that do, the preferred ones first. Nil means that it reaches them.
	Isolated   func() bool
	OtherHosts func() []tamarackknot.HostEntry
	// BodyTimeout is how long nothing may arrive of a body; 0 means 10 s.
	BodyTimeout time.Duration
	// Shedding records what is refused for lack of memory; it may be nil.
	Shedding *Shedding
	Logger   *log.Logger
	Metrics  metrics.Registry
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Server is the HTTP handler for callers.
type Server struct {
	cfg                Config
	onceTransport      *headcheck.Transport
	keepAliveTransport *headcheck.Transport
	hostTransport      *headcheck.Transport
	draining           atomic.Bool
	// cut ends when the answers that are not complete are cut.
	cut         context.Context
	cutNow      context.CancelFunc
	failedDials atomic.Int64 // failed connections to endpoints since the last success
	buffers     bufferSpace
	blocks      blockPool
	counters    counters
	// quotaWaiting is the number of requests that wait for room in their quota.
	quotaWaiting atomic.Int64
}

// New returns a Server.
func New(cfg Config) *Server {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	if cfg.DialEndpoint == nil {
		cfg.DialEndpoint = cfg.Dial
	}
	if cfg.CatalogBehind == nil {
		cfg.CatalogBehind = func() bool { return false }
	}
	if cfg.Isolated == nil {
		cfg.Isolated = func() bool { return false }
	}
	if cfg.BodyTimeout <= 0 {
		cfg.BodyTimeout = timedread.DefaultTimeout
	}
	if cfg.VersionsKnown == nil {
		cfg.VersionsKnown = func(context.Context) bool { return true }
	}
	s := &Server{cfg: cfg, counters: newCounters(cfg.Metrics), buffers: newBufferSpace()}
	s.onceTransport, s.keepAliveTransport = newTransport(s.dialEndpoint, false), newTransport(s.dialEndpoint, true)
	s.hostTransport = newTransport(cfg.Dial, false)
	s.cut, s.cutNow = context.WithCancel(context.Background())
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, release := s.untilCut(r.Context())
	defer release()
	r = r.WithContext(ctx)
	x := &exchange{server: s, w: w, r: r, arrived: time.Now(), forwardedBy: r.Header.Get(headerForwardedBy)}
	r.Header.Del(headerForwardedBy)
	defer x.returnQuota()
	defer x.body.release()
	for _, filter := range []func(*exchange) bool{
		(*exchange).selectRoute, (*exchange).readHeader, (*exchange).authenticate, (*exchange).readBody, (*exchange).takeQuota,
		(*exchange).findOrigin, (*exchange).chooseService,
	} {
		if !filter(x) {
			return
		}
	}
	x.serve()
}

// exchange is a caller's request together with its response.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	// forwardedBy names the host that forwarded the request; empty for one of a caller.
	forwardedBy string
	version     int64
	limits      tamarackknot.CallerLimits
	route       *tamarackknot.Route
	caller      tamarackknot.CallerRequest
	// workspace is that of the caller; nil if the route is anonymous or there are none.
	workspace *tamarackknot.Workspace
	key       tamarackknot.KeyHash // of the caller, if it has a workspace
	quotaCost float64              // of the request, in the unit of the quota of the workspace
	quota     *quotaHold           // nil if the workspace has no quota
	// quotaRefusal is why the request can't be sent any more after a wait.
	quotaRefusal *tamarackknot.QuotaDecision
	// authenticated says that the configuration has workspaces.
	authenticated bool
	// origin is what began the stream that the caller takes up again; nil for other requests.
	origin *tamarackknot.StreamOrigin
	// forwardOnly says that only another host may send the request to an endpoint.
	forwardOnly bool
	service     string
	body        requestBody
	// bodyRead is true once the request body has been read completely, and bodyBroken if the
	// rest of it must not be read.
	bodyRead, bodyBroken bool
	// shed says that the request is refused to protect the host, which Shedding logs.
	shed bool
	// deadline is when the caller or the route times out.
	deadline time.Time
	// firstEventDeadline is when the caller of a stream gives up waiting for
	// the first event; for other requests it equals deadline.
	firstEventDeadline time.Time
	request            dispatch.Request
	waits              dispatch.Waits
	possibleRuns       int             // attempts in which the request may have run
	sent               int             // attempts that may have reached an endpoint
	retry              *dispatch.Retry // allowed and not sent yet; nil if there is none
	retryDecidedAt     time.Time
	conn               httptrace.GotConnInfo // of the last attempt; zero if it got none
	lastErr            string
	originRecorded     bool
	headerSent         bool      // the response headers of a stream, or of another host, have been sent
	sentAt             time.Time // of the last attempt; zero if there was none
	firstEventAt       time.Time
	endpoint           string
	// lastEventAt is when the last event was relayed, longestGap the longest
	// time between two events.
	lastEventAt time.Time
	longestGap  time.Duration
	pause       pauseDetails // of longestGap
	writtenAt   time.Time    // when the write of the last event had ended
	load        dispatch.EndpointLoad
	forecast    dispatch.Forecast
}

// selectRoute finds the route of the request.
func (x *exchange) selectRoute() bool {
	view := x.server.cfg.Catalog()
	if view == nil {
		// For the log only: without a configuration nothing else is read.
		x.caller, _ = x.server.cfg.Dialect.Request(x.r.Header)
		x.refuse("no configuration is known yet", x.arrived.Add(noConfigRetryDelay))
		return false
	}
	x.version, x.limits, x.authenticated = view.Catalog.Version, view.Catalog.Limits, view.Catalog.Authenticated
	x.route = view.Route(x.r.Host, x.r.URL.EscapedPath())
	if x.route == nil && x.server.cfg.CatalogBehind() {
		x.caller, _ = x.server.cfg.Dialect.Request(x.r.Header) // for the log only
		x.refuse("no route matches, but a newer configuration is known to be in force", x.arrived.Add(noConfigRetryDelay))
		return false
	}
	if x.route == nil {
		x.fail(http.StatusNotFound, "no route matches the host and path")
		return false
	}
	return true
}

// readHeader reads the request's headers and sets its deadlines.
func (x *exchange) readHeader() bool {
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
	timeout := caller.Timeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(timeout - responseMargin)
	x.firstEventDeadline = x.deadline
	if x.route.Kind == tamarackknot.RouteStream {
		eventTimeout := max(minEventTimeout, eventTimeoutObjectives*x.route.Objective, eventTimeoutGaps*x.route.GapObjective)
		if by := x.arrived.Add(eventTimeout); by.Before(x.firstEventDeadline) {
			x.firstEventDeadline = by
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

// readBody reads the complete body, so that the request can be retried and
// net/http can detect a disconnect, which it does only after the body was read.
func (x *exchange) readBody() bool {
	limit := x.limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		x.fail(http.StatusRequestEntityTooLarge, "the body exceeds the limit")
		return false
	}
	account := admission.FromContext(x.r.Context())
	x.body.account, x.body.spare, x.body.length = account, &x.server.blocks, x.r.ContentLength
	if x.r.ContentLength > 0 && !account.Admits(admission.Bodies, x.r.ContentLength, time.Now()) {
		return x.refuseMemory()
	}
	account.Set(admission.ReadingBody, time.Now())
	rc := http.NewResponseController(x.w)
	err := x.body.readFrom(&timedread.Reader{
		R: http.MaxBytesReader(x.w, x.r.Body, limit), Controller: rc, Timeout: x.server.cfg.BodyTimeout, By: x.deadline,
		RenewAfter: x.server.cfg.BodyTimeout / renewShare,
	})
	account.Set(admission.Serving, time.Now())
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
	case errors.As(err, &tooLarge):
		x.body.release()
		x.fail(http.StatusRequestEntityTooLarge, "the body exceeds the limit")
		return false
	case errors.Is(err, errNoMemory), account.Evicted():
		return x.refuseMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.shedBody(reasonBodyTimeout)
		x.refuseWith(http.StatusRequestTimeout, "the body did not arrive in time", time.Time{})
		return false
	default:
		// The caller has disconnected, so there is nobody to respond to.
		x.log("caller disconnected while sending the body", "error", err, "leaving", x.server.draining.Load())
		panic(http.ErrAbortHandler)
	}
	_ = rc.SetReadDeadline(time.Time{})
	x.bodyRead = true
	return true
}

// shedBody drops a body whose rest must not be read.
func (x *exchange) shedBody(reason string) {
	x.body.release()
	x.bodyBroken, x.shed = true, true
	x.server.cfg.Shedding.Refused(reason)
}

// refuseMemory refuses a request for whose body there is no memory. It returns false.
func (x *exchange) refuseMemory() bool {
	x.shedBody(admission.Bodies.String())
	x.refuse(overloadReason, time.Now().Add(overloadRetryDelay))
	return false
}

// chooseService picks the service that began the stream or, for all other requests, the one
// of the route or one of its shares at random by weight.
func (x *exchange) chooseService() bool {
	if len(x.route.Shares) == 0 {
		x.refuse("the route has no service", x.arrived.Add(noConfigRetryDelay))
		return false
	}
	if x.origin != nil {
		x.service = x.origin.Service
	} else {
		x.service = pickShare(x.route.Shares)
	}
	x.request = dispatch.Request{
		ID: x.caller.ID, Service: x.service, Model: x.caller.Model, Adapter: x.caller.Adapter,
		Tokens: x.caller.Tokens, BodyBytes: x.body.size, Priority: x.route.Priority, Arrived: x.arrived, Deadline: x.firstEventDeadline, AnsweredBy: x.deadline,
		Objective: x.arrived.Add(x.route.Objective), GapObjective: x.route.GapObjective, Stream: x.route.Kind == tamarackknot.RouteStream,
		PromptParts: x.caller.Parts, Content: x.contentID(),
	}
	if x.workspace != nil {
		x.request.Workspace = x.workspace.Name
		if x.workspace.HasPriority {
			x.request.WorkspacePriority = x.workspace.Priority
		}
	}
	if pool, ok := x.server.cfg.Catalog().Catalog.Services[x.service]; !ok || pool.Engine == nil {
		x.request.Model, x.request.Adapter = "", ""
	}
	if x.origin != nil {
		x.request.Pinned, x.request.Version = true, x.origin.Version
	}
	if x.forwardedBy == "" {
		// The host that forwards a request has counted it.
		x.server.cfg.Budget.RecordRequest(x.service)
	}
	return true
}

// refuse responds 503: the request did not run and may be retried at retryAt.
func (x *exchange) refuse(reason string, retryAt time.Time) {
	x.refuseWith(http.StatusServiceUnavailable, reason, retryAt)
}

// refuseWith is refuse with a status that makes the same promise.
func (x *exchange) refuseWith(status int, reason string, retryAt time.Time) {
	if !retryAt.IsZero() {
		x.w.Header().Set("Retry-After", retryAfter(time.Until(retryAt)))
	}
	x.server.counters.refused.Inc(1)
	x.writeError(status, reason)
}

// fail responds with an error status. For a status of 500 or above, the request
// may have run.
func (x *exchange) fail(status int, reason string) {
	x.server.counters.failed.Inc(1)
	x.writeError(status, reason)
}

func (x *exchange) writeError(status int, reason string) {
	if !x.shed {
		x.log("answered", "status", status, "reason", reason)
	}
	x.closeIfDraining()
	if !x.bodyRead && !x.discardBody() {
		answerUnread(x.w, x.r, status, reason)
		return
	}
	http.Error(x.w, reason, status)
}

// discardBody reads the rest of the body before an early response, so that the connection can
// be used again, and reports whether it was read. A caller that waits to be asked for the body,
// or has announced a long one, gets the response before that.
func (x *exchange) discardBody() bool {
	if x.bodyBroken || x.r.ContentLength > maxDiscardBytes || x.r.Header.Get("Expect") != "" && !x.bodyBegun() {
		return false
	}
	rc := http.NewResponseController(x.w)
	// Connections in tests may not support deadlines.
	_ = rc.SetReadDeadline(time.Now().Add(discardTimeout))
	_, err := io.CopyN(io.Discard, x.r.Body, maxDiscardBytes)
	_ = rc.SetReadDeadline(time.Time{})
	return errors.Is(err, io.EOF)
}

// bodyBegun reports whether some of the body has been read.
func (x *exchange) bodyBegun() bool { return x.body.size > 0 }

// log writes a log line with the state of the request.
func (x *exchange) log(event string, kv ...any) {
	route, objective, gapObjective := "", time.Duration(0), time.Duration(0)
	if x.route != nil {
		route, objective, gapObjective = x.route.Name, x.route.Objective, x.route.GapObjective
	}
	all := append([]any{
		"request", x.caller.ID, "route", route, "version", x.version, "workspace", x.workspaceName(), "model", x.caller.Model, "adapter", x.caller.Adapter,
		"prompt", lastPart(x.caller.Parts), "quotaCost", x.quotaCost, "endpoint", x.endpoint, "sent", x.sent, "ran", x.possibleRuns,
		"ms", time.Since(x.arrived).Milliseconds(), "objectiveMs", objective.Milliseconds(), "gapObjectiveMs", gapObjective.Milliseconds(),
	}, kv...)
	if w := x.waits; w.Total() >= time.Millisecond {
		all = append(all, "waitedMs", w.Total().Milliseconds(), "modelMs", w.Model.Milliseconds(),
			"adapterMs", w.Adapter.Milliseconds(), "slotMs", w.Slot.Milliseconds())
	}
	x.server.cfg.Logger.Info(event, all...)
}

// lastPart returns the part of a prompt that belongs to the request itself, by
// which a caller that returns is recognised.
func lastPart(parts []string) string {
	if len(parts) == 0 {
		return ""
	}
	return parts[len(parts)-1]
}

func (x *exchange) bodyReader() io.ReadCloser {
	if x.body.size == 0 && !slices.Contains(bodylessMethods(), x.r.Method) {
		return http.NoBody
	}
	// The wrapper hides the reader's type, so that the transport can't rewind
	// the body and resend the request by itself, which it also does without a body.
	return io.NopCloser(x.body.reader())
}
