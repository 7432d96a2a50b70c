package ingress

import (
	"time"

	"tamarackknot.example/tamarackknot"
)

// originRetryDelay is the Retry-After of a resumed stream whose origin could not be found
// because some host did not answer.
const originRetryDelay = 500 * time.Millisecond

// findOrigin pins a stream that the caller takes up again to the version that began it.
// It returns false after a refusal: the version is not known, so no endpoint may go on.
func (x *exchange) findOrigin() bool {
	if x.caller.LastEvent == "" || !x.route.Resumable {
		return true
	}
	o, found, complete := tamarackknot.StreamOrigin{}, false, true
	if x.caller.Resumes != "" {
		o, found, complete = x.server.cfg.Origins.Find(x.r.Context(), x.caller.Resumes)
	}
	if !found && x.server.cfg.VersionsKnown(x.r.Context()) {
		// With a single version there is nothing to mix up.
		o.Service = x.service
		o.Version, found = x.server.cfg.Dispatch.SingleVersion(x.service)
	} else if !found {
		complete = false
	}
	event := "stream resumed"
	switch {
	case !found && complete:
		event = "resume refused"
		x.refuse("it is not known which version began the stream", time.Time{})
	case !found:
		event = "resume refused"
		x.refuse("it is not known which version began the stream", time.Now().Add(originRetryDelay))
	case o.Service != x.service:
		event, found = "resume refused", false
		x.refuse("another service began the stream", time.Time{})
	default:
		x.request.Pinned, x.request.Version = true, o.Version
	}
	x.server.cfg.Logger.Info(event, "request", x.caller.ID, "resumes", x.caller.Resumes, "lastEvent", x.caller.LastEvent,
		"service", o.Service, "version", o.Version)
	return found
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
