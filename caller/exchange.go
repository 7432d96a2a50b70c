package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/admission"
	"tamarackknot.example/tamarackknot/endpoint"
	"tamarackknot.example/tamarackknot/internal/timedread"
	"tamarackknot.example/tamarackknot/routing"
)

const (
	// writeGrace is the time after the deadline in which a response may still be
	// written, so that one sent at the deadline reaches the caller.
	writeGrace = time.Second
	// prefixHashBytes is the length of the prompt's prefix that is hashed to
	// find an endpoint that has it in its cache.
	prefixHashBytes = 512
	// freeKeyTimeout limits an attempt to free a key.
	freeKeyTimeout = 10 * time.Second
)

// filter is one step of request processing. It ends the request by returning a
// failure, or by sending a response, which sets exchange.headerWritten.
type filter func(*exchange) *failure

// exchange is a request that passes through the filters, and its response.
type exchange struct {
	s     *Server
	w     http.ResponseWriter
	r     *http.Request
	id    string
	start time.Time

	route      route
	opts       options
	body       []byte
	bodyHeld   holding // memory of the host for body
	target     routing.Key
	version    string
	prefix     uint64
	repeatable bool

	grant    routing.Grant
	granted  bool
	attempts int // without those declined for lack of a slot
	declines int
	tried    [2]*endpoint.Entry
	// sent says that bytes of the request were written to an endpoint that did
	// not confirm that it had not started the request.
	sent bool

	seenOffset tamarackknot.Offset // last applied when a keyed request arrived
	claim      tamarackknot.KeyClaim
	key        *keyedRequest
	claimed    bool
	rec        *recording // of a keyed request

	headerWritten bool // the response's status and header have been sent
	aborted       bool // the response is incomplete; the connection must be closed
	unread        bool // the body was not read to its end
	status        int
	bytes         int64
}

func (s *Server) serveForwarded(w http.ResponseWriter, r *http.Request) {
	x := &exchange{s: s, w: w, r: r, start: time.Now()}
	x.id = strconv.FormatUint(s.lastID.Add(1), 36)
	s.metrics.inFlight.Inc(1)
	defer s.metrics.inFlight.Dec(1)
	defer x.bodyHeld.release()
	f := x.run()
	if f != nil && f.run == NotRun && !f.finalForKey && x.mayHaveRunElsewhere() {
		unknown := *f
		unknown.run = RunUnknown
		f = &unknown
	}
	if f != nil && !x.headerWritten && !f.callerGone {
		x.status = f.status
		x.setWriteDeadline()
		f.write(w, time.Now())
		if x.unread {
			s.cfg.Linger(w, r)
		}
	}
	x.finishKey(context.WithoutCancel(r.Context()), f)
	x.log(f)
	if x.aborted || (f != nil && f.callerGone) {
		// net/http closes the connection without ending the response.
		panic(http.ErrAbortHandler)
	}
}

// run passes the request through the filters. A panic in a filter becomes an
// internal error.
func (x *exchange) run() (f *failure) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if x.s.cfg.Logger != nil {
			x.s.cfg.Logger.Error("panic", "request", x.id, "value", fmt.Sprint(v), "stack", string(debug.Stack()))
		}
		x.release()
		x.aborted = x.headerWritten
		f = &failure{
			status: http.StatusInternalServerError, errorType: typeUnavailable, code: "internal", run: x.runStatus(),
			message: "internal error",
		}
	}()
	for _, step := range x.s.filters {
		if f := step(x); f != nil || x.headerWritten {
			x.release()
			return f
		}
	}
	return nil
}

// runStatus returns whether the request may have run at an endpoint, for the
// field run of an error response.
func (x *exchange) runStatus() RunStatus {
	if x.sent {
		return RunUnknown
	}
	return NotRun
}

// mayHaveRunElsewhere reports whether an attempt with the same key may have run
// or may still run through another host. Only an accepted claim rules this out.
func (x *exchange) mayHaveRunElsewhere() bool {
	repeatable := x.repeatable || !x.route.plain
	if v, ok := headerValue(x.r.Header, headerRepeatable); ok {
		repeatable = v == valueTrue
	}
	return x.r.Header.Get(headerKey) != "" && !repeatable && !x.claimed
}

func (x *exchange) release() {
	if x.granted {
		x.granted = false
		x.grant.Release()
	}
}

// finishKey stores the response under the key of the request, or releases the
// key if the request did not run.
func (x *exchange) finishKey(ctx context.Context, f *failure) {
	if x.key == nil {
		return
	}
	k := x.key
	x.key = nil
	if x.sent || x.headerWritten {
		if f != nil {
			x.rec = &recording{failure: f}
		}
		x.s.keys.finish(k, x.rec)
		return
	}
	if !x.claimed {
		x.s.keys.abandon(k)
		return
	}
	// The key stays held on this host until the outcome is known, so that no
	// request can use it while the record that frees it is being appended.
	x.s.pendingFrees.Go(func() { x.s.freeKey(ctx, k, x.claim) })
}

// freeKey frees the claimed key of a request that did not run.
func (s *Server) freeKey(ctx context.Context, k *keyedRequest, c tamarackknot.KeyClaim) {
	ctx, cancel := context.WithTimeout(ctx, freeKeyTimeout)
	defer cancel()
	if err := s.cfg.Journal.FreeKey(ctx, c); errors.Is(err, tamarackknot.ErrNotAppended) {
		s.keys.setUnsent(k, time.Now())
	}
	s.keys.abandon(k)
}

func (x *exchange) log(f *failure) {
	s := x.s
	s.metrics.bytes.Inc(x.bytes)
	s.metrics.duration.Update(time.Since(x.start).Milliseconds())
	metrics.GetOrRegisterCounter("caller.status."+strconv.Itoa(x.status), s.cfg.Registry).Inc(1)
	if s.cfg.Logger == nil {
		return
	}
	fields := []any{
		"request", x.id, "method", x.r.Method, "path", x.r.URL.Path, "target", x.target.Model + x.target.Service,
		"status", x.status, "bytes", x.bytes, "attempts", x.attempts, "duration", time.Since(x.start),
		"repeatable", x.repeatable, "keyed", x.opts.key != "",
	}
	if f != nil {
		fields = append(fields, "code", f.code, "run", f.run, "reason", f.message, "gone", f.callerGone)
	}
	s.cfg.Logger.Info("request", fields...)
}

// checkRoute parses the path and checks the method and the declared size of the
// body.
func (x *exchange) checkRoute() *failure {
	var f *failure
	if x.route, f = parseRoute(x.r); f != nil {
		return f
	}
	if x.r.ContentLength > x.s.cfg.MaxBody {
		return x.tooLarge(strconv.FormatInt(x.r.ContentLength, 10))
	}
	return nil
}

func (x *exchange) tooLarge(size string) *failure {
	f := invalid("body", size+" bytes", fmt.Sprintf("at most %d bytes", x.s.cfg.MaxBody))
	f.status, f.code = http.StatusRequestEntityTooLarge, "bodyTooLarge"
	x.closeUnread()
	return f
}

// closeUnread makes the response close the connection, since the body is not read to its end.
func (x *exchange) closeUnread() {
	x.w.Header().Set("Connection", "close")
	x.unread = true
}

func (x *exchange) parseHeaders() *failure {
	var f *failure
	if x.r.Header.Get(headerKey) != "" {
		x.s.cfg.Journal.Read(func(st tamarackknot.State) { x.seenOffset = st.Applied() })
	}
	x.opts, f = parseOptions(x.r.Header, x.start, x.start.Add(x.s.cfg.DefaultTimeout), !x.route.plain)
	return f
}

func (x *exchange) checkGate() *failure {
	if x.s.cfg.Gate.Gate() == GateDraining {
		x.w.Header().Set("Connection", "close")
	}
	return x.s.gateFailure(x.start)
}

func (x *exchange) setWriteDeadline() {
	deadline := x.opts.deadline
	if deadline.IsZero() {
		deadline = x.start.Add(x.s.cfg.DefaultTimeout)
	}
	if now := time.Now(); deadline.Before(now) {
		deadline = now
	}
	_ = http.NewResponseController(x.w).SetWriteDeadline(deadline.Add(writeGrace))
}

func (x *exchange) readBody() *failure {
	x.setWriteDeadline()
	rc := http.NewResponseController(x.w)
	account := admission.FromContext(x.r.Context())
	x.bodyHeld = holding{account: account, kind: admission.Bodies}
	account.Set(admission.ReadingBody, x.start)
	body, err := readAll(&timedread.Reader{
		R: http.MaxBytesReader(x.w, x.r.Body, x.s.cfg.MaxBody), Controller: rc, Timeout: x.s.cfg.BodyTimeout, By: x.opts.deadline,
	}, &x.bodyHeld)
	account.Set(admission.Serving, time.Now())
	x.body = body
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = rc.SetReadDeadline(time.Time{})
		return nil
	case errors.Is(err, errNoMemory), account.Evicted():
		x.body = nil
		x.bodyHeld.release()
		x.closeUnread()
		x.s.cfg.OnRefused(admission.Bodies.String())
		return overloaded(time.Now())
	case errors.As(err, &tooLarge):
		return x.tooLarge("more than " + strconv.FormatInt(tooLarge.Limit, 10))
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.w.Header().Set("Connection", "close")
		x.s.cfg.OnRefused("bodyTimeout")
		return &failure{
			status: http.StatusRequestTimeout, errorType: typeInvalid, code: "bodyTimeout", param: "body", run: NotRun,
			message: "body: it did not arrive completely before the deadline, or nothing of it arrived for too long",
		}
	}
	x.w.Header().Set("Connection", "close")
	return &failure{
		status: http.StatusBadRequest, errorType: typeInvalid, code: "bodyIncomplete", param: "body", run: NotRun,
		message: "body: it could not be read completely: " + err.Error(),
	}
}

func (x *exchange) resolve() *failure {
	if x.route.plain {
		return x.resolveService()
	}
	if f := x.parseModel(); f != nil {
		return f
	}
	var target tamarackknot.Target
	var found bool
	x.s.cfg.Journal.Read(func(s tamarackknot.State) { target, found = s.Target(x.target.Model) })
	if !found {
		f := invalid("model", x.target.Model, "a name listed by /v1/models")
		f.status, f.code = http.StatusNotFound, "modelNotFound"
		return f
	}
	x.version = target.Version
	x.repeatable = x.opts.repeatable == nil || *x.opts.repeatable
	return nil
}

// parseModel reads the fields of the body that routing needs. Field names are
// case-sensitive, as in the engines.
func (x *exchange) parseModel() *failure {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(x.body, &fields); err != nil || fields == nil {
		return invalid("body", string(x.body), "a JSON object")
	}
	raw, ok := fields["model"]
	if !ok {
		return invalid("model", "", "the name of a model or adapter")
	}
	if err := json.Unmarshal(raw, &x.target.Model); err != nil || x.target.Model == "" {
		return invalid("model", string(raw), "the name of a model or adapter as a JSON string")
	}
	if raw, ok = fields["stream"]; ok && !slices.Contains([]string{valueTrue, valueFalse, "null"}, string(raw)) {
		return invalid("stream", string(raw), "true or false")
	}
	if x.route.chat {
		var messages []json.RawMessage
		if err := json.Unmarshal(fields["messages"], &messages); err != nil || len(messages) == 0 {
			return invalid("messages", string(fields["messages"]), "a JSON array with at least one message")
		}
	}
	for _, name := range []string{"messages", "prompt"} {
		if raw, ok = fields[name]; ok {
			x.prefix = xxhash.Sum64(raw[:min(len(raw), prefixHashBytes)])
			break
		}
	}
	return nil
}

func (x *exchange) resolveService() *failure {
	var spec *tamarackknot.ServiceSpec
	x.s.cfg.Journal.Read(func(s tamarackknot.State) {
		for _, res := range s.Resources(tamarackknot.KindService) {
			if res.Service.Prefix == x.route.service {
				spec, x.target.Service = res.Service, res.Metadata.Name
			}
		}
	})
	if spec == nil {
		f := invalid("path", x.r.URL.EscapedPath(), "/services/ followed by the prefix of a configured service")
		f.status, f.code = http.StatusNotFound, "serviceNotFound"
		return f
	}
	x.repeatable = slices.Contains(spec.RepeatableMethods, x.r.Method)
	if x.opts.repeatable != nil {
		x.repeatable = *x.opts.repeatable
	}
	return nil
}

// replay answers a repeated keyed request with the response of the first one if
// this host has it, after waiting for it if necessary. Otherwise the request
// holds the key on this host.
func (x *exchange) replay() *failure {
	if x.opts.key == "" || x.repeatable {
		return nil
	}
	x.claim = keyClaim(x.r, &x.opts, x.body)
	x.claim.Seen = x.seenOffset
	ctx, cancel := context.WithDeadline(x.r.Context(), x.opts.deadline)
	defer cancel()
	for {
		k, first := x.s.keys.begin(x.claim, time.Now())
		if first {
			x.key, x.rec = k, &recording{}
			return nil
		}
		if k.digest != x.claim.Digest {
			return x.keyReused(x.s.keys.isClaimed(k))
		}
		select {
		case <-k.done:
		case <-ctx.Done():
			return x.contextFailure(RunUnknown)
		}
		if k.result != nil {
			return x.relayRecording(k.result)
		}
		if x.s.keys.isClaimed(k) {
			return unavailable("keyFreed", "an earlier attempt with this key was not run and ended after this one had arrived",
				time.Now().Add(time.Second))
		}
	}
}

// keyReused returns the failure of a request whose key was used for a different
// request. It is final for the key if the claim of the other request was
// accepted.
func (x *exchange) keyReused(finalForKey bool) *failure {
	f := invalid(headerKey, x.opts.key, "a key that was not used with another method, path or body")
	f.status, f.code = http.StatusUnprocessableEntity, "keyReused"
	f.finalForKey = finalForKey
	return f
}

// contextFailure returns the failure of a request whose deadline has passed or
// whose caller has disconnected.
func (x *exchange) contextFailure(run RunStatus) *failure {
	if x.r.Context().Err() != nil && time.Now().Before(x.opts.deadline) {
		const clientClosedRequest = 499 // as in nginx
		return &failure{status: clientClosedRequest, code: "callerGone", run: run, callerGone: true, message: "the caller went away"}
	}
	f := deadlinePassed(run)
	if run == NotRun {
		f.retryAt = time.Now().Add(time.Second)
	}
	return f
}

func (x *exchange) acquire() *failure {
	start := time.Now()
	x.attempts++
	g, rej := x.s.cfg.Router.Acquire(x.r.Context(), routing.Request{
		ID: x.id, Key: x.target, Version: x.version, Prefix: x.prefix,
		Priority: x.opts.priority, Deadline: x.opts.deadline, Attempt: x.attempts, Tried: x.tried,
		Arrived: x.start, Declined: x.declines,
	})
	if rej != nil {
		return x.rejected(rej)
	}
	x.grant, x.granted = g, true
	x.s.metrics.queued.Update(time.Since(start).Microseconds())
	return nil
}

func (x *exchange) rejected(rej *routing.Rejection) *failure {
	switch rej.Reason {
	case routing.RejectCanceled, routing.RejectDeadline:
		return x.contextFailure(x.runStatus())
	case routing.RejectNotFound:
		f := invalid("model", x.target.Model+x.target.Service, "a configured name; "+rej.Detail)
		f.status, f.code, f.run = http.StatusNotFound, "modelNotFound", x.runStatus()
		return f
	case routing.RejectQueueFull, routing.RejectTooLate, routing.RejectRefused, routing.RejectStopped:
	}
	retryAt := rej.RetryAt
	if retryAt.IsZero() {
		retryAt = time.Now().Add(time.Second)
	}
	f := unavailable(string(rej.Reason), rej.Detail, retryAt)
	f.run = x.runStatus()
	return f
}

// claimKey claims the key of the request in the journal. Only the process whose
// claim is accepted may send the request.
func (x *exchange) claimKey() *failure {
	if x.key == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.opts.deadline)
	defer cancel()
	since, unsent := x.s.keys.takeUnsent(x.claim.Key, x.start)
	out, err := x.s.cfg.Journal.ClaimKey(ctx, x.claim)
	switch {
	case err != nil:
		if unsent || !errors.Is(err, tamarackknot.ErrNotAppended) {
			x.s.keys.setUnsent(x.key, since)
		}
		if ctx.Err() != nil {
			return x.contextFailure(NotRun)
		}
		return unavailable("keyNotClaimed", "the idempotency key could not be claimed: "+err.Error(),
			time.Now().Add(time.Second))
	case out.Accepted, out.Reason == tamarackknot.ReasonConflict && unsent && out.Owner == x.s.process():
		x.claimed = true
		x.s.keys.setClaimed(x.key)
		return nil
	case out.Reason == tamarackknot.ReasonInvalid:
		return x.keyReused(out.Owner.Host != "")
	case out.Reason == tamarackknot.ReasonConflict && out.Owner.Host == "":
		return unavailable("keyFreed", "an earlier attempt with this key was not run and ended after this one had arrived",
			time.Now().Add(time.Second))
	case out.Reason == tamarackknot.ReasonExpired:
		f := invalid(headerKey, x.opts.key, "a key made at most 10 minutes ago")
		f.code = "keyExpired"
		return f
	}
	f := &failure{
		status: http.StatusConflict, errorType: typeInvalid, code: "keyInUse", param: headerKey, run: RunUnknown,
		message: fmt.Sprintf("%s: the request with this key was taken by entry host %q", headerKey, out.Owner.Host),
	}
	for _, m := range x.s.cfg.Members.List() {
		if m.Host.Name == out.Owner.Host {
			f.address = m.Host.Address
			f.message += "; ask it for the response"
		}
	}
	return f
}

// process identifies this process as in the journal's records.
func (s *Server) process() tamarackknot.Process {
	self := s.cfg.Members.Self()
	return tamarackknot.Process{Host: self.Host.Name, Incarnation: self.Incarnation}
}
