package ingress

import (
	"net/http"
	"sync"
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// maxQuotaWaiting is the number of requests of all workspaces that wait for room in their
	// quota, and quotaWaitObjectives the part of the objective for which one waits at most:
	// coming back takes a caller longer.
	maxQuotaWaiting     = 128
	quotaWaitObjectives = 0.5
	// quotaWaitDivisor is the part of its time that a request waits at most: callers come back
	// within the same part.
	quotaWaitDivisor = 3
	// unknownQuotaPause is the pause before a quota is asked for again of which it was not known
	// what is left, and minQuotaPause the least one before any.
	unknownQuotaPause = 200 * time.Millisecond
	minQuotaPause     = 20 * time.Millisecond
	// quotaHoldTime is how long a request that waits for an endpoint keeps what was taken from
	// its quota; then it is given back, and taken again when the request is sent. Many that
	// waited together would otherwise run within one window in addition to what that allows.
	quotaHoldTime = 100 * time.Millisecond
)

// quotaHold is what a request has taken from the quota of its workspace.
type quotaHold struct {
	quotas    tamarackknot.Quotas
	workspace string

	mu    sync.Mutex
	grant tamarackknot.QuotaGrant
	held  bool
	timer *time.Timer // until it is given back
}

// set stores what was taken.
func (h *quotaHold) set(g tamarackknot.QuotaGrant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grant, h.held = g, true
}

// giveBack gives back what was taken, unless that is done or the request was sent.
func (h *quotaHold) giveBack() {
	h.mu.Lock()
	held := h.held
	h.held = false
	if h.timer != nil {
		h.timer.Stop()
	}
	h.mu.Unlock()
	if held {
		h.quotas.Return(h.workspace, h.grant)
	}
}

// startWaiting begins a wait for an endpoint.
func (h *quotaHold) startWaiting() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.timer == nil {
		h.timer = time.AfterFunc(quotaHoldTime, h.giveBack)
		return
	}
	h.timer.Reset(quotaHoldTime)
}

// endWaiting ends the wait and reports whether the request may be sent with what was taken.
func (h *quotaHold) endWaiting() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer.Stop()
	if h.held && h.quotas.Expired(h.grant) {
		h.held = false
	}
	return h.held
}

// takeQuota takes the cost of the request from the quota of its workspace. It returns false
// after an answer.
func (x *exchange) takeQuota() bool {
	if x.workspace == nil || !x.workspace.Quota.Limited() || x.server.cfg.Quotas == nil {
		return true
	}
	x.quotaCost = requestCost(x.workspace.Quota, x.caller.Tokens)
	d := x.takeCost()
	for x.awaitQuota(d) {
		d = x.takeCost()
	}
	if !d.Allowed {
		x.refuseQuota(d)
		return false
	}
	x.quota = &quotaHold{quotas: x.server.cfg.Quotas, workspace: x.workspace.Name}
	x.quota.set(d.Grant)
	return true
}

func (x *exchange) takeCost() tamarackknot.QuotaDecision {
	return x.server.cfg.Quotas.Take(x.r.Context(), x.workspace.Name, x.workspace.Quota, x.quotaCost)
}

// refuseQuota answers a request that does not fit into the quota of its workspace, or of which
// that is not known.
func (x *exchange) refuseQuota(d tamarackknot.QuotaDecision) {
	if d.Exceeded {
		x.refuseWith(http.StatusTooManyRequests, d.Reason, d.RetryAt)
		return
	}
	x.refuse(d.Reason, d.RetryAt)
}

// awaitQuota waits until there may be room in the quota, or until it may be known what is left,
// if the request can still meet its objective after that. It returns false if there is no
// reason to ask again.
func (x *exchange) awaitQuota(d tamarackknot.QuotaDecision) bool {
	latest := x.arrived.Add(min(time.Duration(quotaWaitObjectives*float64(x.route.Objective)), x.firstEventDeadline.Sub(x.arrived)/quotaWaitDivisor))
	retryAt := d.RetryAt
	if !d.Exceeded {
		retryAt = time.Now().Add(unknownQuotaPause)
	}
	if d.Allowed || retryAt.IsZero() || retryAt.After(latest) {
		return false
	}
	defer x.server.quotaWaiting.Add(-1)
	if x.server.quotaWaiting.Add(1) > maxQuotaWaiting {
		return false
	}
	return wait.For(x.r.Context(), max(time.Until(retryAt), minQuotaPause))
}

// chargesQuota reports whether the next attempt is the first that counts for the quota.
func (x *exchange) chargesQuota() bool { return x.quota != nil && x.possibleRuns == 0 }

// keepQuota makes sure that the cost of the request is taken when it is about to be sent after
// a wait. The result is false if it does not fit any more; x.quotaRefusal says why.
func (x *exchange) keepQuota() bool {
	if !x.chargesQuota() || x.quota.endWaiting() {
		return true
	}
	d := x.takeCost()
	if d.Allowed {
		x.quota.set(d.Grant)
		return true
	}
	x.quotaRefusal = &d
	return false
}

// returnQuota gives the cost of the request back if no endpoint can have run it.
func (x *exchange) returnQuota() {
	if x.chargesQuota() {
		x.quota.giveBack()
	}
}

// requestCost returns what a request costs of a quota. One whose size can't be read costs the
// whole burst, so that nothing is gained by it.
func requestCost(q tamarackknot.Quota, t tamarackknot.RequestTokens) float64 {
	switch {
	case !q.InTokens:
		return 1
	case t.Malformed:
		return max(q.Burst, q.PlainCost, 1)
	case t.Known:
		return t.Prompt + t.Output
	default:
		return q.PlainCost
	}
}
