package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	"tamarackknot.example/tamarackknot/endpoint"
	"tamarackknot.example/tamarackknot/routing"
)

const (
	// writeGrace lets an answer given at the deadline still reach the caller.
	writeGrace = time.Second
	// prefixBytes of the prompt are hashed to find an endpoint with its prefix
	// in cache.
	prefixBytes = 512
	// freeTimeout bounds the attempt to free a key.
	freeTimeout = 10 * time.Second
)

// filter is one step of the chain. It returns a failure to end the request; a
// step that has answered it sets exchange.answered.
type filter func(*exchange) *failure

// exchange is one request on its way through the filters.
type exchange struct {
	s     *Server
	w     http.ResponseWriter
	r     *http.Request
	id    string
	start time.Time

	route      route
	opts       options
	body       []byte
	target     routing.Key
	version    string
	prefix     uint64
	repeatable bool

	grant    routing.Grant
	granted  bool
	attempts int // without those that were declined for lack of a slot
	declines int
	tried    [2]*endpoint.Entry
	// sent says that bytes of the request were written to an endpoint that did
	// not confirm that it had not started it.
	sent bool

	seen    tamarackknot.Offset // applied when a keyed request arrived
	claim   tamarackknot.KeyClaim
	key     *keyed
	claimed bool
	rec     *recording // of a keyed request

	answered bool // the response has been started
	aborted  bool // the response broke off; the connection must be cut
	status   int
	bytes    int64
}

func (s *Server) serveForwarded(w http.ResponseWriter, r *http.Request) {
	x := &exchange{s: s, w: w, r: r, start: time.Now()}
	x.id = strconv.FormatUint(s.lastID.Add(1), 36)
	s.metrics.inFlight.Inc(1)
	defer s.metrics.inFlight.Dec(1)
	f := x.run()
	if f != nil && f.run == NotRun && !f.settled && x.unproven() {
		g := *f
		g.run = RunUnknown
		f = &g
	}
	if f != nil && !x.answered && !f.gone {
		x.status = f.status
		x.setWriteDeadline()
		f.write(w, time.Now())
	}
	x.finish(context.WithoutCancel(r.Context()), f)
	x.log(f)
	if x.aborted || (f != nil && f.gone) {
		// net/http cuts the connection without ending the response.
		panic(http.ErrAbortHandler)
	}
}

// run passes the request through the filters; a panic in one of them is an
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
		x.aborted = x.answered
		f = &failure{
			status: http.StatusInternalServerError, kind: typeUnavailable, code: "internal", run: x.ran(),
			message: "internal error",
		}
	}()
	for _, step := range x.s.filters {
		if f := step(x); f != nil || x.answered {
			x.release()
			return f
		}
	}
	return nil
}

// ran is what an error must say about the request.
func (x *exchange) ran() Run {
	if x.sent {
		return RunUnknown
	}
	return NotRun
}

// unproven reports whether another attempt with the key of the request may have
// run on another host: only an accepted claim proves that none has and none
// will.
func (x *exchange) unproven() bool {
	repeatable := x.repeatable || !x.route.plain
	if v, ok := single(x.r.Header, headerRepeatable); ok {
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

// finish settles the key of the request.
func (x *exchange) finish(ctx context.Context, f *failure) {
	if x.key == nil {
		return
	}
	k := x.key
	x.key = nil
	if x.sent || x.answered {
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
	// request can use it while a record that frees it is on its way.
	x.s.frees.Go(func() { x.s.free(ctx, k, x.claim) })
}

// free gives up the claim of a request that did not run.
func (s *Server) free(ctx context.Context, k *keyed, c tamarackknot.KeyClaim) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
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
		fields = append(fields, "code", f.code, "run", f.run, "reason", f.message, "gone", f.gone)
	}
	s.cfg.Logger.Info("request", fields...)
}

func (x *exchange) limits() *failure {
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
	x.w.Header().Set("Connection", "close")
	return f
}

func (x *exchange) headers() *failure {
	var f *failure
	if x.r.Header.Get(headerKey) != "" {
		x.s.cfg.Journal.Read(func(st tamarackknot.State) { x.seen = st.Applied() })
	}
	x.opts, f = parseOptions(x.r.Header, x.start, x.start.Add(x.s.cfg.DefaultTimeout), !x.route.plain)
	return f
}

func (x *exchange) gate() *failure {
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
	_ = rc.SetReadDeadline(x.opts.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.s.cfg.MaxBody))
	x.body = body
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = rc.SetReadDeadline(time.Time{})
		return nil
	case errors.As(err, &tooLarge):
		return x.tooLarge("more than " + strconv.FormatInt(tooLarge.Limit, 10))
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.w.Header().Set("Connection", "close")
		return &failure{
			status: http.StatusRequestTimeout, kind: typeInvalid, code: "bodyTimeout", param: "body", run: NotRun,
			message: "body: it did not arrive completely before the deadline",
		}
	}
	x.w.Header().Set("Connection", "close")
	return &failure{
		status: http.StatusBadRequest, kind: typeInvalid, code: "bodyIncomplete", param: "body", run: NotRun,
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

// parseModel reads the fields of the body that routing needs. Names are
// matched exactly, as the engines do.
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
			x.prefix = xxhash.Sum64(raw[:min(len(raw), prefixBytes)])
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

// replay answers a repeat of a keyed request that this host has, and holds
// the key otherwise.
func (x *exchange) replay() *failure {
	if x.opts.key == "" || x.repeatable {
		return nil
	}
	x.claim = keyClaim(x.r, &x.opts, x.body)
	x.claim.Seen = x.seen
	ctx, cancel := context.WithDeadline(x.r.Context(), x.opts.deadline)
	defer cancel()
	for {
		k, first := x.s.keys.begin(x.claim, time.Now())
		if first {
			x.key, x.rec = k, &recording{}
			return nil
		}
		if k.digest != x.claim.Digest {
			return x.otherDigest(x.s.keys.isClaimed(k))
		}
		select {
		case <-k.done:
		case <-ctx.Done():
			return x.ended(RunUnknown)
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

// otherDigest is the failure of a request whose key names another one. It is
// settled if the other one's claim was accepted.
func (x *exchange) otherDigest(settled bool) *failure {
	f := invalid(headerKey, x.opts.key, "a key that was not used with another method, path or body")
	f.status, f.code = http.StatusUnprocessableEntity, "keyReused"
	f.settled = settled
	return f
}

// ended is the failure of a request that ran out of time or whose caller has
// gone.
func (x *exchange) ended(run Run) *failure {
	if x.r.Context().Err() != nil && time.Now().Before(x.opts.deadline) {
		const clientClosedRequest = 499 // as logged by other servers
		return &failure{status: clientClosedRequest, code: "callerGone", run: run, gone: true, message: "the caller went away"}
	}
	f := deadlinePassed(run)
	if run == NotRun {
		f.retryAt = time.Now().Add(time.Second)
	}
	return f
}

func (x *exchange) acquire() *failure {
	before := time.Now()
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
	x.s.metrics.queued.Update(time.Since(before).Microseconds())
	return nil
}

func (x *exchange) rejected(rej *routing.Rejection) *failure {
	switch rej.Reason {
	case routing.RejectCanceled, routing.RejectDeadline:
		return x.ended(x.ran())
	case routing.RejectNotFound:
		f := invalid("model", x.target.Model+x.target.Service, "a configured name; "+rej.Detail)
		f.status, f.code, f.run = http.StatusNotFound, "modelNotFound", x.ran()
		return f
	case routing.RejectQueueFull, routing.RejectTooLate, routing.RejectRefused, routing.RejectStopped:
	}
	retryAt := rej.RetryAt
	if retryAt.IsZero() {
		retryAt = time.Now().Add(time.Second)
	}
	f := unavailable(string(rej.Reason), rej.Detail, retryAt)
	f.run = x.ran()
	return f
}

// claimKey claims the key of the request in the journal.
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
			return x.ended(NotRun)
		}
		return unavailable("keyNotClaimed", "the idempotency key could not be claimed: "+err.Error(),
			time.Now().Add(time.Second))
	case out.Accepted, out.Reason == tamarackknot.ReasonConflict && unsent && out.Owner == x.s.process():
		x.claimed = true
		x.s.keys.setClaimed(x.key)
		return nil
	case out.Reason == tamarackknot.ReasonInvalid:
		return x.otherDigest(out.Owner.Host != "")
	case out.Reason == tamarackknot.ReasonConflict && out.Owner.Host == "":
		return unavailable("keyFreed", "an earlier attempt with this key was not run and ended after this one had arrived",
			time.Now().Add(time.Second))
	case out.Reason == tamarackknot.ReasonExpired:
		f := invalid(headerKey, x.opts.key, "a key made at most 10 minutes ago")
		f.code = "keyExpired"
		return f
	}
	f := &failure{
		status: http.StatusConflict, kind: typeInvalid, code: "keyInUse", param: headerKey, run: RunUnknown,
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

// process names this run of the entry daemon as the journal does.
func (s *Server) process() tamarackknot.Process {
	self := s.cfg.Members.Self()
	return tamarackknot.Process{Host: self.Host.Name, Incarnation: self.Incarnation}
}
