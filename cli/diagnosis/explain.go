package diagnosis

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Cause is why a request was not answered in time.
type Cause string

// The causes. Those of waiting share the loss of a request in proportion to the
// time that each took.
const (
	CauseOrder    Cause = "waited for an order to load the model"
	CauseMemory   Cause = "waited for a load from memory"
	CauseDisk     Cause = "waited for a load from disk"
	CauseRemote   Cause = "waited for a load from the weight store"
	CauseAdapter  Cause = "waited for an adapter"
	CauseSlot     Cause = "waited for a slot"
	CausePrompt   Cause = "queued behind prompts at the engine"
	CauseEndpoint Cause = "slow at the plain service"
	CauseAway     Cause = "refused, then away until the return"
	CauseGap      Cause = "paused while streaming"
	CauseRefused  Cause = "refused"
	CauseStarting Cause = "refused by a host without a configuration"
	CauseQuota    Cause = "refused over the quota of its workspace"
	// CauseUncertain: the host did not know whether its configuration, or what is left of a
	// quota, was the newest.
	CauseUncertain Cause = "refused since the host was not sure of the key or the quota"
	CauseEngine    Cause = "run lost with its endpoint"
	CauseFailed    Cause = "failed by the endpoint"
	CauseOther     Cause = "failed otherwise"
)

// uncertainReasons returns the reasons that hosts log for CauseUncertain.
func uncertainReasons() []string {
	return []string{"it is not known whether the configuration is the newest", "it is not known what is left of the quota of the workspace"}
}

// avoidable reports whether a planner that knows all requests in advance could
// have avoided the cause.
func (c Cause) avoidable() bool {
	return c != CauseEngine && c != CauseFailed && c != CauseOther && c != CauseQuota
}

// maxReturn is how long after a refusal an attempt with the same prompt counts as
// the return of the caller.
const maxReturn = 30 * time.Second

// Worth is what a request of a route earns if it is answered in time, and if
// later.
type Worth struct{ Full, Late float64 }

// Config configures Explain.
type Config struct {
	// Worth is by route; a route without an entry earns 1 and 0.
	Worth map[string]Worth
	// Interval is the length of the moments into which losses are divided.
	Interval time.Duration
}

// Loss is a part of what a request did not earn.
type Loss struct {
	Cause Cause
	Route string
	At    time.Duration // arrival of the caller's first attempt
	Worth float64
}

// Report says what was owed and lost. Owed equals Earned plus the sum of Losses.
type Report struct {
	Config       Config
	Owed, Earned float64
	// OwedByRoute and Requests are by route; Requests counts callers, not attempts.
	OwedByRoute map[string]float64
	Requests    map[string]int
	Losses      []Loss
	// Refusals counts the attempts with status 401, 429 and 503.
	Refusals map[Refusal]int
}

// Refusal is why requests did not run.
type Refusal struct {
	Status int
	Reason string
}

// Explain divides what was lost among its causes.
func Explain(logs *Logs, cfg Config) *Report {
	r := &Report{Config: cfg, OwedByRoute: make(map[string]float64), Requests: make(map[string]int), Refusals: make(map[Refusal]int)}
	for _, q := range logs.Requests {
		if q.refused() || q.Status == http.StatusUnauthorized {
			r.Refusals[Refusal{q.Status, q.Reason}]++
		}
	}
	loads := make(map[string][]Load)
	for _, l := range logs.Loads {
		loads[l.Model] = append(loads[l.Model], l)
	}
	norms := engineNorms(logs.Requests)
	for _, attempts := range callers(logs.Requests) {
		r.add(attempts, loads, norms[attempts[0].Route])
	}
	return r
}

// owed reports whether a request counts: one that the configuration does not
// allow does not.
func (q Request) owed() bool {
	return q.Status < http.StatusBadRequest || q.Status >= http.StatusInternalServerError || q.Status == http.StatusTooManyRequests
}

func (q Request) refused() bool {
	return q.Status == http.StatusServiceUnavailable || q.Status == http.StatusTooManyRequests
}

// callers groups the attempts of each caller, in order: an attempt with the same
// prompt soon after a refusal is the return of the same caller.
func callers(requests []Request) [][]Request {
	type key struct{ model, prompt string }
	var out [][]Request
	open := make(map[key]int) // index in out of the caller that was refused last
	for _, q := range requests {
		if !q.owed() {
			continue
		}
		k := key{q.Model, q.Prompt}
		i, returns := open[k]
		if returns && q.Prompt != "" && q.Arrived-last(out[i]).Ended < maxReturn {
			out[i] = append(out[i], q)
		} else {
			out = append(out, []Request{q})
			i = len(out) - 1
		}
		delete(open, k)
		if q.refused() {
			open[k] = i
		}
	}
	return out
}

func last(attempts []Request) Request { return attempts[len(attempts)-1] }

// engineNorms returns, for each route, the median time to the first event at the
// endpoint of requests that were answered in time.
func engineNorms(requests []Request) map[string]time.Duration {
	times := make(map[string][]time.Duration)
	for _, q := range requests {
		if q.Status == http.StatusOK && q.First <= q.Objective {
			times[q.Route] = append(times[q.Route], q.engineTime())
		}
	}
	out := make(map[string]time.Duration, len(times))
	for route, t := range times {
		slices.Sort(t)
		out[route] = t[len(t)/2]
	}
	return out
}

// engineTime is the time from sending the request to its first event.
func (q Request) engineTime() time.Duration {
	return max(q.First-q.ModelWait-q.AdapterWait-q.SlotWait, 0)
}

// add adds one caller to the report.
func (r *Report) add(attempts []Request, loads map[string][]Load, norm time.Duration) {
	q := last(attempts)
	worth, ok := r.Config.Worth[q.Route]
	if !ok {
		worth.Full = 1
	}
	r.Owed += worth.Full
	r.OwedByRoute[q.Route] += worth.Full
	r.Requests[q.Route]++
	first := q.Arrived + q.First - attempts[0].Arrived
	late := q.Objective > 0 && first > q.Objective
	paused := q.GapObjective > 0 && q.Gap > q.GapObjective
	answered := q.Event == "answered" && q.Status >= http.StatusOK && q.Status < http.StatusMultipleChoices
	lost := worth.Full
	shares := map[Cause]float64{}
	switch {
	case answered && !late && !paused:
		lost = 0
	case answered && late:
		lost, shares = worth.Full-worth.Late, waitShares(attempts, loads, norm)
	case answered:
		lost, shares = worth.Full-worth.Late, map[Cause]float64{CauseGap: 1}
	case q.Event == "caller disconnected" && q.Ran == 0, q.Event == "caller disconnected" && q.First == 0:
		shares = waitShares(attempts, loads, norm)
	default:
		shares = map[Cause]float64{failureCause(q): 1}
	}
	r.Earned += worth.Full - lost
	for _, cause := range slices.Sorted(maps.Keys(shares)) {
		if share := shares[cause] * lost; share > 0 {
			r.Losses = append(r.Losses, Loss{Cause: cause, Route: q.Route, At: attempts[0].Arrived, Worth: share})
		}
	}
}

// failureCause returns why a request without a complete answer was lost.
func failureCause(q Request) Cause {
	switch {
	case q.refused() && q.Route == "":
		return CauseStarting
	case q.Status == http.StatusTooManyRequests:
		return CauseQuota
	case q.refused() && slices.Contains(uncertainReasons(), q.Reason):
		return CauseUncertain
	case q.refused():
		return CauseRefused
	case q.Ran > 0 && (q.Event != "answered" || q.Status == http.StatusBadGateway):
		return CauseEngine
	case q.Ran > 0:
		return CauseFailed
	default:
		return CauseOther
	}
}

// waitShares divides the time of a caller among what it waited for; the shares
// add up to 1.
func waitShares(attempts []Request, loads map[string][]Load, norm time.Duration) map[Cause]float64 {
	spent := make(map[Cause]time.Duration)
	for i, q := range attempts {
		if i > 0 {
			spent[CauseAway] += max(q.Arrived-attempts[i-1].Ended, 0)
		}
		for cause, d := range modelWaits(q, loads[q.Model]) {
			spent[cause] += d
		}
		spent[CauseAdapter] += q.AdapterWait
		spent[CauseSlot] += q.SlotWait
		if q.refused() {
			continue
		}
		engine := CausePrompt
		if q.Model == "" {
			engine = CauseEndpoint
		}
		spent[engine] += max(q.engineTime()-norm, 0)
	}
	total := time.Duration(0)
	for _, d := range spent {
		total += d
	}
	if total == 0 {
		return map[Cause]float64{CauseOther: 1}
	}
	shares := make(map[Cause]float64)
	for cause, d := range spent {
		shares[cause] = float64(d) / float64(total)
	}
	return shares
}

// modelWaits divides the time for which a request waited for its model into the
// load that ended the wait and the time before that load was ordered.
func modelWaits(q Request, loads []Load) map[Cause]time.Duration {
	if q.ModelWait == 0 {
		return nil
	}
	end := q.Arrived + q.ModelWait
	var best *Load
	for i := range loads {
		l := &loads[i]
		if l.Started < end && l.Ended > q.Arrived && (best == nil || l.Ended < best.Ended) {
			best = l
		}
	}
	if best == nil {
		return map[Cause]time.Duration{CauseOrder: q.ModelWait}
	}
	during := min(best.Ended, end) - max(best.Started, q.Arrived)
	cause := map[string]Cause{"memory": CauseMemory, "disk": CauseDisk}[best.Tier]
	return map[Cause]time.Duration{
		cmp.Or(cause, CauseRemote): during,
		CauseOrder:                 q.ModelWait - during,
	}
}

// Sum adds up losses by a key.
func (r *Report) Sum(key func(Loss) string) map[string]float64 {
	out := make(map[string]float64)
	for _, l := range r.Losses {
		out[key(l)] += l.Worth
	}
	return out
}

// Bound returns the share of what is owed that a planner with full knowledge of
// the requests could have earned at most: all but the runs that endpoints lost or
// failed. It assumes that each model can be loaded before it is needed.
func (r *Report) Bound() float64 {
	if r.Owed == 0 {
		return 1
	}
	lost := 0.0
	for _, l := range r.Losses {
		if !l.Cause.avoidable() {
			lost += l.Worth
		}
	}
	return 1 - lost/r.Owed
}

// routes returns the routes by what is owed, most first.
func (r *Report) routes() []string {
	return slices.SortedFunc(maps.Keys(r.OwedByRoute), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.OwedByRoute[b], r.OwedByRoute[a]), strings.Compare(a, b))
	})
}
