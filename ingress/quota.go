package ingress

import (
	"net/http"
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
)

// takeQuota takes the cost of the request from the quota of its workspace. It returns false
// after an answer.
func (x *exchange) takeQuota() bool {
	if x.workspace == nil || !x.workspace.Quota.Limited() || x.server.cfg.Quotas == nil {
		return true
	}
	cost := requestCost(x.workspace.Quota, x.caller.Tokens)
	d := x.server.cfg.Quotas.Take(x.r.Context(), x.workspace.Name, x.workspace.Quota, cost)
	if x.awaitQuota(d) {
		d = x.server.cfg.Quotas.Take(x.r.Context(), x.workspace.Name, x.workspace.Quota, cost)
	}
	switch {
	case d.Allowed:
		x.quotaCost = cost
		return true
	case d.Exceeded:
		x.refuseWith(http.StatusTooManyRequests, d.Reason, d.RetryAt)
	default:
		x.refuse(d.Reason, d.RetryAt)
	}
	return false
}

// awaitQuota waits until there may be room in the quota, if the request can still meet its
// objective after that. It returns false if there is no reason to ask again.
func (x *exchange) awaitQuota(d tamarackknot.QuotaDecision) bool {
	latest := x.arrived.Add(time.Duration(quotaWaitObjectives * float64(x.route.Objective)))
	if d.Allowed || !d.Exceeded || d.RetryAt.IsZero() || d.RetryAt.After(latest) {
		return false
	}
	defer x.server.quotaWaiting.Add(-1)
	if x.server.quotaWaiting.Add(1) > maxQuotaWaiting {
		return false
	}
	return wait.For(x.r.Context(), time.Until(d.RetryAt))
}

// returnQuota gives the cost of the request back if no endpoint can have run it.
func (x *exchange) returnQuota() {
	if x.quotaCost > 0 && x.possibleRuns == 0 {
		x.server.cfg.Quotas.Return(x.workspace.Name, x.quotaCost)
		x.quotaCost = 0
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
