package ingress

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// testQuotas decides as a test says, and records what is taken and given back.
type testQuotas struct {
	mu        sync.Mutex
	decisions []func() tamarackknot.QuotaDecision // of the calls in turn, the last for all others
	taken     []float64
	returned  []int64 // buckets
	expired   bool
}

func (q *testQuotas) Take(_ context.Context, _ string, _ tamarackknot.Quota, cost float64) tamarackknot.QuotaDecision {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.taken = append(q.taken, cost)
	d := q.decisions[min(len(q.taken), len(q.decisions))-1]()
	d.Grant = tamarackknot.QuotaGrant{Cost: cost, Holder: "h", Bucket: int64(len(q.taken))}
	return d
}

func (q *testQuotas) Return(_ string, g tamarackknot.QuotaGrant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.returned = append(q.returned, g.Bucket)
}

func (q *testQuotas) Expired(tamarackknot.QuotaGrant) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expired
}

func allowed() tamarackknot.QuotaDecision { return tamarackknot.QuotaDecision{Allowed: true} }

// exceeded returns a decision that names a time to come back, or none.
func exceeded(after time.Duration) func() tamarackknot.QuotaDecision {
	return func() tamarackknot.QuotaDecision {
		d := tamarackknot.QuotaDecision{Exceeded: true, Reason: "used up"}
		if after > 0 {
			d.RetryAt = time.Now().Add(after)
		}
		return d
	}
}

// calls returns the costs taken and the buckets returned so far.
func (q *testQuotas) calls() (taken []float64, returned []int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Clone(q.taken), slices.Clone(q.returned)
}

func notKnown() tamarackknot.QuotaDecision {
	return tamarackknot.QuotaDecision{Reason: "not known", RetryAt: time.Now().Add(500 * time.Millisecond)}
}

// newQuotaHarness returns a harness whose only workspace has a quota.
func newQuotaHarness(t *testing.T, kind tamarackknot.RouteKind, quotas *testQuotas, q tamarackknot.Quota, handlers ...http.HandlerFunc) *keyHarness {
	t.Helper()
	k := newKeyHarness(t, tamarackknot.Route{Kind: kind, Attempts: 2}, handlers...)
	k.authority.Set(&tamarackknot.Catalog{Version: 2, Workspaces: []tamarackknot.Workspace{
		{Name: "w", Keys: []tamarackknot.KeyHash{tamarackknot.HashKey(secretKey)}, Quota: q},
	}})
	k.server.cfg.Quotas = quotas
	return k
}

// TestQuota guards against requests over the quota that run, wrong statuses and times to come
// back, and a cost that is taken twice, not given back, or given back for what has run.
func TestQuota(t *testing.T) {
	tokens := tamarackknot.Quota{PerSecond: 100, Burst: 5000, InTokens: true, PlainCost: 7}
	ok, failing := respond(200, "x"), respond(500, "x")
	type decisions = []func() tamarackknot.QuotaDecision
	for name, tt := range map[string]struct {
		quota     tamarackknot.Quota
		size      float64 // -1: malformed
		decisions decisions
		handlers  []http.HandlerFunc
		expired   bool
		status    int
		retry     float64 // at most, in seconds; 0 if none is named
		taken     []float64
		returned  []int64
	}{
		"allowed":              {tokens, 300, decisions{allowed}, []http.HandlerFunc{ok}, false, 200, 0, []float64{300}, nil},
		"no size":              {tokens, 0, decisions{allowed}, []http.HandlerFunc{ok}, false, 200, 0, []float64{7}, nil},
		"a malformed size":     {tokens, -1, decisions{allowed}, []http.HandlerFunc{ok}, false, 200, 0, []float64{5000}, nil},
		"counted in requests":  {tamarackknot.Quota{PerSecond: 1}, 300, decisions{allowed}, []http.HandlerFunc{ok}, false, 200, 0, []float64{1}, nil},
		"no quota":             {tamarackknot.Quota{}, 300, decisions{exceeded(0)}, []http.HandlerFunc{ok}, false, 200, 0, nil, nil},
		"used up":              {tokens, 300, decisions{exceeded(2 * time.Second)}, []http.HandlerFunc{ok}, false, 429, 2, []float64{300}, nil},
		"hopeless":             {tokens, 300, decisions{exceeded(0)}, []http.HandlerFunc{ok}, false, 429, 0, []float64{300}, nil},
		"not known":            {tokens, 300, decisions{notKnown}, []http.HandlerFunc{ok}, false, 503, 0.5, []float64{300}, nil},
		"room soon":            {tokens, 300, decisions{exceeded(50 * time.Millisecond), allowed}, []http.HandlerFunc{ok}, false, 200, 0, []float64{300, 300}, nil},
		"room soon, not then":  {tokens, 300, decisions{exceeded(50 * time.Millisecond), exceeded(3 * time.Second)}, []http.HandlerFunc{ok}, false, 429, 3, []float64{300, 300}, nil},
		"declined everywhere":  {tokens, 300, decisions{allowed}, []http.HandlerFunc{decline}, false, 503, 0, []float64{300}, []int64{1}},
		"a second attempt":     {tokens, 300, decisions{allowed}, []http.HandlerFunc{failing, ok}, false, 200, 0, []float64{300}, nil},
		"declined, then run":   {tokens, 300, decisions{allowed}, []http.HandlerFunc{decline, ok}, false, 200, 0, []float64{300}, nil},
		"it ran and failed":    {tokens, 300, decisions{allowed}, []http.HandlerFunc{failing}, false, 500, 0, []float64{300}, nil},
		"taken long ago":       {tokens, 300, decisions{allowed}, []http.HandlerFunc{ok}, true, 200, 0, []float64{300, 300}, nil},
		"taken long ago, gone": {tokens, 300, decisions{allowed, exceeded(time.Second)}, []http.HandlerFunc{ok}, true, 429, 1, []float64{300, 300}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := &testQuotas{decisions: tt.decisions, expired: tt.expired}
			k := newQuotaHarness(t, tamarackknot.RouteRepeatable, q, tt.quota, tt.handlers...)
			go k.dispatcher.Run(t.Context())
			header := map[string]string{"Key": "Bearer " + secretKey, "Patience": "600ms"}
			if tt.size != 0 {
				header["Size"] = strconv.FormatFloat(tt.size, 'f', -1, 64)
			}
			resp, body, err := k.do(call{header: header})
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode, body)
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			require.Equal(t, tt.retry > 0, err == nil)
			require.LessOrEqual(t, after, tt.retry)
			require.GreaterOrEqual(t, after, 0.0)
			taken, returned := q.calls()
			if tt.status == 503 && len(returned) > 0 {
				require.Len(t, returned, len(taken), "it is taken again for each attempt")
				return
			}
			require.Equal(t, tt.taken, taken)
			require.Equal(t, tt.returned, returned)
			if tt.status == 429 {
				require.Empty(t, k.reached())
			}
		})
	}
}

// TestQuotaKnownLater guards against requests that are refused although it is known within their
// objective that they fit into the quota.
func TestQuotaKnownLater(t *testing.T) {
	q := &testQuotas{decisions: []func() tamarackknot.QuotaDecision{notKnown, notKnown, allowed}}
	k := newQuotaHarness(t, tamarackknot.RouteRepeatable, q, tamarackknot.Quota{PerSecond: 1}, respond(http.StatusOK, "x"))
	resp, body, err := k.do(call{header: map[string]string{"Key": "Bearer " + secretKey, "Patience": "20s"}})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	taken, _ := q.calls()
	require.Equal(t, []float64{1, 1, 1}, taken)
}

// TestQuotaOfWaitingRequest guards against requests that keep what they took while they wait,
// so that all of them run within one window, and against ones that run without it.
func TestQuotaOfWaitingRequest(t *testing.T) {
	for name, tt := range map[string]struct {
		last   func() tamarackknot.QuotaDecision
		status int
	}{"room again": {allowed, 200}, "no room any more": {exceeded(time.Second), 429}, "not known": {notKnown, 503}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := &testQuotas{decisions: []func() tamarackknot.QuotaDecision{allowed, tt.last}}
			k := newQuotaHarness(t, once, q, tamarackknot.Quota{PerSecond: 1}, respond(http.StatusOK, "x"))
			release := k.occupy()
			var status int
			var wg sync.WaitGroup
			wg.Go(func() {
				if resp, _, err := k.do(call{header: map[string]string{"Key": "Bearer " + secretKey}}); err == nil {
					status = resp.StatusCode
				}
			})
			time.Sleep(3 * quotaHoldTime)
			_, returned := q.calls()
			release()
			wg.Wait()
			require.Equal(t, []int64{1}, returned)
			require.Equal(t, tt.status, status)
			taken, returned := q.calls()
			require.Equal(t, []float64{1, 1}, taken)
			require.Equal(t, []int64{1}, returned)
			require.Len(t, k.reached(), map[bool]int{true: 1}[status == 200])
		})
	}
}

// TestQuotaOfForwardedRequest guards against a request that is charged at two hosts.
func TestQuotaOfForwardedRequest(t *testing.T) {
	q := &testQuotas{decisions: []func() tamarackknot.QuotaDecision{allowed}}
	k := newQuotaHarness(t, once, q, tamarackknot.Quota{PerSecond: 1}, respond(200, "x"))
	other := &testQuotas{decisions: q.decisions}
	b := newQuotaHarness(t, once, other, tamarackknot.Quota{PerSecond: 1}, respond(200, "x"))
	k.server.cfg.Host, k.server.cfg.Isolated = "a", func() bool { return true }
	k.server.cfg.OtherHosts = func() []tamarackknot.HostEntry {
		return []tamarackknot.HostEntry{{Name: "b", Address: b.entryHost.Listener.Addr().String(), Workspaces: true}}
	}
	resp, _, err := k.do(call{header: map[string]string{"Key": "Bearer " + secretKey}})
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	_, returned := q.calls()
	require.Equal(t, []int64{1}, returned)
	taken, returned := other.calls()
	require.Equal(t, []float64{1}, taken)
	require.Empty(t, returned)
}
