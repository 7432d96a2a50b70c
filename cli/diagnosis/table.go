package diagnosis

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// WriteTables writes the losses by cause and route, and by moment, as shares of
// what is owed in percent. The rows of the first table add up to 100.
func (r *Report) WriteTables(out io.Writer) error {
	if r.Owed == 0 && len(r.Refusals) == 0 {
		_, err := fmt.Fprintln(out, "no requests in the logs")
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if r.Owed > 0 {
		r.writeCauses(w)
		r.writeMoments(w)
		_, _ = fmt.Fprintf(w, "\nbound with all requests known in advance\t%.1f\n", percent(r.Bound()))
	}
	r.writeRefusals(w)
	return w.Flush()
}

// summary is the JSON form of a report; shares are of what is owed.
type summary struct {
	Callers int                `json:"callers"`
	Owed    float64            `json:"owed"`
	Earned  float64            `json:"earned"`
	Bound   float64            `json:"bound"`
	Lost    map[string]float64 `json:"lost"`
}

// WriteJSON writes what is owed, the shares that were earned and lost by cause,
// and the bound.
func (r *Report) WriteJSON(out io.Writer) error {
	s := summary{Owed: r.Owed, Bound: r.Bound(), Lost: make(map[string]float64)}
	for _, n := range r.Requests {
		s.Callers += n
	}
	if r.Owed > 0 {
		s.Earned = r.Earned / r.Owed
		for cause, worth := range r.Sum(func(l Loss) string { return string(l.Cause) }) {
			s.Lost[cause] = worth / r.Owed
		}
	}
	return json.NewEncoder(out).Encode(s)
}

func percent(share float64) float64 { return 100 * share }

// writeCauses writes a row for each cause and a column for each route. Errors of
// the writer are returned by its Flush.
func (r *Report) writeCauses(w io.Writer) {
	routes := r.routes()
	_, _ = fmt.Fprint(w, "percent of what is owed\tall")
	callers := 0
	for _, route := range routes {
		callers += r.Requests[route]
		_, _ = fmt.Fprintf(w, "\t%s", cmp.Or(route, "none"))
	}
	_, _ = fmt.Fprintf(w, "\ncallers\t%d", callers)
	for _, route := range routes {
		_, _ = fmt.Fprintf(w, "\t%d", r.Requests[route])
	}
	_, _ = fmt.Fprintln(w)
	lost := r.Sum(func(l Loss) string { return string(l.Cause) })
	byRoute := r.Sum(func(l Loss) string { return string(l.Cause) + "\n" + l.Route })
	lostByRoute := r.Sum(func(l Loss) string { return l.Route })
	_, _ = fmt.Fprintf(w, "answered in time, or late at its worth\t%.1f", percent(r.Earned/r.Owed))
	for _, route := range routes {
		_, _ = fmt.Fprintf(w, "\t%.1f", percent(1-lostByRoute[route]/r.OwedByRoute[route]))
	}
	_, _ = fmt.Fprintln(w)
	for _, cause := range mostFirst(lost) {
		_, _ = fmt.Fprintf(w, "%s\t%.1f", cause, percent(lost[cause]/r.Owed))
		for _, route := range routes {
			_, _ = fmt.Fprintf(w, "\t%.1f", percent(byRoute[cause+"\n"+route]/r.OwedByRoute[route]))
		}
		_, _ = fmt.Fprintln(w)
	}
}

// writeRefusals writes how many attempts did not run, by status and reason, most first.
func (r *Report) writeRefusals(w io.Writer) {
	if len(r.Refusals) == 0 {
		return
	}
	_, _ = fmt.Fprint(w, "\nstatus\tattempts\treason\n")
	for _, k := range slices.SortedFunc(maps.Keys(r.Refusals), func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(r.Refusals[b], r.Refusals[a]), cmp.Compare(a.Status, b.Status), cmp.Compare(a.Reason, b.Reason))
	}) {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%s\n", k.Status, r.Refusals[k], k.Reason)
	}
}

// writeMoments writes a row for each moment with its dearest cause.
func (r *Report) writeMoments(w io.Writer) {
	_, _ = fmt.Fprint(w, "\nfrom second\tlost, of all that is owed\tmost for\n")
	type moment struct {
		lost   float64
		causes map[string]float64
	}
	moments := make(map[time.Duration]*moment)
	for _, l := range r.Losses {
		at := l.At.Truncate(r.Config.Interval)
		if moments[at] == nil {
			moments[at] = &moment{causes: make(map[string]float64)}
		}
		moments[at].lost += l.Worth
		moments[at].causes[string(l.Cause)] += l.Worth
	}
	for _, at := range slices.Sorted(maps.Keys(moments)) {
		m := moments[at]
		_, _ = fmt.Fprintf(w, "%.0f\t%.2f\t%s\n", at.Seconds(), percent(m.lost/r.Owed), mostFirst(m.causes)[0])
	}
}

// mostFirst returns the keys by value, largest first.
func mostFirst(values map[string]float64) []string {
	return slices.SortedFunc(maps.Keys(values), func(a, b string) int {
		if values[a] != values[b] {
			if values[a] > values[b] {
				return -1
			}
			return 1
		}
		return slices.Compare([]byte(a), []byte(b))
	})
}
