package ingress

import (
	"net/http"
	"strings"
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/dispatch"
)

const (
	// headerProof shows another host which key the caller of a forwarded request has.
	headerProof = "Entry-Workspace-Proof"
	// uncertainRetryDelay is the Retry-After of a request whose key can't be checked since this
	// host does not know whether its configuration is the newest.
	uncertainRetryDelay = 500 * time.Millisecond
	bearerScheme        = "Bearer"
	// uncertainReason is why the key of a request can't be checked, and takenAwayReason why it
	// does not hold any more.
	uncertainReason = "it is not known whether the configuration is the newest"
	takenAwayReason = "the key has been taken away"
)

// needsKey reports whether the request needs the key of a workspace.
func (x *exchange) needsKey() bool { return x.authenticated && !x.route.Anonymous }

// authenticate finds the caller's workspace. It returns false after an answer.
func (x *exchange) authenticate() bool {
	proof := x.r.Header.Get(headerProof)
	x.r.Header.Del(headerProof)
	if !x.needsKey() {
		return true
	}
	if x.server.cfg.Authenticator == nil {
		x.refuse("this host can't check keys", time.Time{})
		return false
	}
	var decision tamarackknot.AuthDecision
	key, ok := callerKey(x.caller.Credentials)
	switch {
	case ok:
		x.workspace, decision = x.server.cfg.Authenticator.Authenticate(x.r.Context(), key)
	case x.forwardedBy != "" && proof != "":
		key, x.workspace, decision = x.server.cfg.Authenticator.AuthenticateProven(x.r.Context(), proof, x.provenMessage())
	default:
		x.failUnauthorized("the request has no key")
		return false
	}
	if decision != tamarackknot.AuthGranted {
		x.workspace = nil
		x.failKey(decision)
		return false
	}
	x.key = key
	return true
}

// callerKey returns the hash of the key among the credentials of a caller.
func callerKey(credentials string) (key tamarackknot.KeyHash, ok bool) {
	scheme, text, _ := strings.Cut(credentials, " ")
	if text = strings.TrimSpace(text); text == "" || !strings.EqualFold(scheme, bearerScheme) {
		return key, false
	}
	return tamarackknot.HashKey(text), true
}

// addProof shows another host the key of the caller, also on a route that needs none by the
// configuration of this host: the other one may have a newer configuration.
func (x *exchange) addProof(h http.Header) {
	key, ok := x.key, x.workspace != nil
	if !ok && x.authenticated {
		key, ok = callerKey(x.caller.Credentials)
	}
	if ok && x.server.cfg.Authenticator != nil {
		h.Set(headerProof, x.server.cfg.Authenticator.Prove(key, x.provenMessage()))
	}
}

// provenMessage returns what of a request a proof belongs to.
func (x *exchange) provenMessage() string {
	return strings.Join([]string{x.caller.ID, x.r.Method, x.r.Host, x.r.RequestURI}, "\n")
}

// checkKey repeats the check of the caller's key before the request is sent. The decision is
// AuthGranted if it needs none.
func (x *exchange) checkKey() tamarackknot.AuthDecision {
	if x.workspace == nil {
		return tamarackknot.AuthGranted
	}
	return x.server.cfg.Authenticator.Check(x.key, x.workspace.Name)
}

// keyRefusal returns the refusal of a request whose key did not hold any more when it was to be
// sent.
func keyRefusal(d tamarackknot.AuthDecision) *dispatch.Refusal {
	r := &dispatch.Refusal{Reason: takenAwayReason}
	if d == tamarackknot.AuthUncertain {
		r.Reason, r.RetryAt = uncertainReason, time.Now().Add(uncertainRetryDelay)
	}
	return r
}

// failKey answers a request whose key does not hold, or can't be checked.
func (x *exchange) failKey(d tamarackknot.AuthDecision) {
	if d == tamarackknot.AuthUnknown {
		x.failUnauthorized("the key is not known")
		return
	}
	x.refuse(uncertainReason, time.Now().Add(uncertainRetryDelay))
}

func (x *exchange) failUnauthorized(reason string) {
	x.w.Header().Set("WWW-Authenticate", bearerScheme)
	x.fail(http.StatusUnauthorized, reason)
}

// workspaceName returns the name of the caller's workspace, empty if there is none.
func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// understands reports whether another host can check the key of the request.
func (x *exchange) understands(host tamarackknot.HostEntry) bool {
	return x.workspace == nil || host.Workspaces
}
