package ingress

import (
	"time"

	"tamarackknot.example/tamarackknot"
)

// originRetryDelay is the Retry-After of a resumed stream whose origin could not be found
// because some host did not answer.
const originRetryDelay = 500 * time.Millisecond

// findOrigin finds what began a stream that the caller takes up again: it may go on only
// there. It returns false after a refusal. A host that reaches no endpoint leaves it to the
// one that it forwards the request to.
func (x *exchange) findOrigin() bool {
	if x.route.Kind != tamarackknot.RouteStream || x.caller.LastEvent == "" || !x.route.Resumable {
		return true
	}
	if x.isolated() {
		x.forwardOnly = true
		return true
	}
	o, found, complete := tamarackknot.StreamOrigin{}, false, true
	if x.caller.Resumes != "" {
		o, found, complete = x.server.cfg.Origins.Find(x.r.Context(), x.caller.Resumes)
	}
	if !found {
		var known bool
		o, found, known = x.onlyOrigin()
		complete = complete && known
	}
	event := "stream resumed"
	switch {
	case !found && complete:
		event = "resume refused"
		x.refuse("it is not known what began the stream", time.Time{})
	case !found:
		event = "resume refused"
		x.refuse("it is not known what began the stream", time.Now().Add(originRetryDelay))
	case !allows(x.route.Shares, o.Service):
		event, found = "resume refused", false
		x.refuse("the route does not lead to the service that began the stream", time.Time{})
	default:
		x.origin = &o
	}
	x.server.cfg.Logger.Info(event, "request", x.caller.ID, "resumes", x.caller.Resumes, "lastEvent", x.caller.LastEvent,
		"service", o.Service, "version", o.Version)
	return found
}

// onlyOrigin returns the origin of any stream of the route if there is nothing to mix up: one
// service, and one version of its endpoints' software. known says that another answer would
// be the same.
func (x *exchange) onlyOrigin() (o tamarackknot.StreamOrigin, ok, known bool) {
	if len(x.route.Shares) != 1 {
		return o, false, true
	}
	if !x.server.cfg.VersionsKnown(x.r.Context()) {
		return o, false, false
	}
	o.Service = x.route.Shares[0].Service
	o.Version, ok = x.server.cfg.Dispatch.SingleVersion(o.Service)
	return o, ok, true
}

// recordOrigin records the version that began the stream, under the attempt that brought
// the first event and under this one.
func (x *exchange) recordOrigin() {
	if !x.route.Resumable || x.request.Version == "" || x.originRecorded {
		return
	}
	x.originRecorded = true
	o := tamarackknot.StreamOrigin{Service: x.service, Version: x.request.Version}
	for _, id := range []string{x.caller.Resumes, x.caller.ID} {
		if id != "" {
			x.server.cfg.Origins.Record(id, o)
		}
	}
}
