package caller

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot"
)

// step is one action of a fuzz run. Kind determines which fields are used.
type step struct {
	Kind     string
	Wait     time.Duration // before the step
	Endpoint int
	Mode     string
	Host     int
	Service  bool
	Stream   bool
	// Repeatable is the value of the header Request-Repeatable.
	Repeatable bool
	Key        int // 0 means no key
	Priority   int
	Timeout    time.Duration
	Cancel     time.Duration // when the caller disconnects; 0 means never
	Fault      int
}

const (
	fuzzHosts     = 2
	fuzzEndpoints = 4 // two engines, two instances of the service
)

func drawSteps(rt *rapid.T) []step {
	ms := func(lo, hi int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(lo, hi), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			Kind:     rapid.SampledFrom([]string{"request", "request", "request", "request", "mode", "place", "journal"}).Draw(rt, "kind"),
			Wait:     rapid.OneOf(rapid.Just(time.Duration(0)), ms(0, 300), ms(0, 3000)).Draw(rt, "wait"),
			Endpoint: rapid.IntRange(0, fuzzEndpoints-1).Draw(rt, "endpoint"),
			Mode: rapid.SampledFrom([]string{
				"ok", "ok", "slow", "hang", "cutHead", "cutMid", "endEarly", "decline", "leave", "refuse",
			}).Draw(rt, "mode"),
			Host:       rapid.IntRange(0, fuzzHosts-1).Draw(rt, "host"),
			Service:    rapid.Bool().Draw(rt, "service"),
			Stream:     rapid.Bool().Draw(rt, "stream"),
			Repeatable: rapid.Bool().Draw(rt, "repeatable"),
			Key:        rapid.IntRange(0, 3).Draw(rt, "key"),
			Priority:   rapid.IntRange(0, 9).Draw(rt, "priority"),
			Timeout:    rapid.OneOf(ms(1, 500), ms(1, 8000)).Draw(rt, "timeout"),
			Cancel:     rapid.OneOf(rapid.Just(time.Duration(0)), rapid.Just(time.Duration(0)), ms(1, 2000)).Draw(rt, "cancel"),
			Fault:      rapid.IntRange(0, 3).Draw(rt, "fault"),
		}
	}), 25, 60).Draw(rt, "steps")
}

// fuzzRun is the state of one fuzz run and of its oracle.
type fuzzRun struct {
	h *harness

	mu         sync.Mutex
	modes      [fuzzEndpoints]string
	kills      [fuzzEndpoints]func()
	drainedAt  map[string]time.Time // by endpoint and host; time of the drain signal
	runs       map[string]int       // by request id
	keyRuns    map[string]int
	produced   map[string]bool // complete bodies, by key or request id, and body
	violations []string
	outcomes   map[string]int
}

func (f *fuzzRun) violation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// requestIdentity returns the key of a request, or its id if it has none.
// Repeats of a request have the same identity.
func requestIdentity(h http.Header) string {
	if k := h.Get("Test-Key"); k != "" {
		return k
	}
	return h.Get("Test-Request")
}

// endpoint returns the handler of an endpoint. Its behaviour depends on the mode
// of the endpoint when the request arrives.
func (f *fuzzRun) endpoint(i int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		id, host := r.Header.Get("Test-Request"), r.Header.Get("Test-Host")
		f.mu.Lock()
		mode := f.modes[i]
		endpointAndHost := fmt.Sprint(i, " ", host)
		if at, ok := f.drainedAt[endpointAndHost]; ok && time.Now().After(at) && time.Since(at) < 25*time.Second {
			f.violations = append(f.violations, fmt.Sprintf("request %s sent to endpoint %d %v after its drain signal", id, i, time.Since(at)))
		}
		if mode == "decline" || mode == "leave" {
			if mode == "leave" {
				// A response at the very moment of the deadline or of the
				// disconnection may not be read, so its signal does not count.
				if _, ok := f.drainedAt[endpointAndHost]; !ok && r.Header.Get(headerDeadline) != time.Now().UTC().Format(time.RFC3339Nano) &&
					r.Header.Get("Test-Cancel") != time.Now().UTC().Format(time.RFC3339Nano) {
					f.drainedAt[endpointAndHost] = time.Now()
				}
				w.Header().Set(headerLeaving, "true")
			}
			f.mu.Unlock()
			w.Header().Set(headerRun, "notRun")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.runs[id]++
		f.keyRuns[r.Header.Get("Test-Key")]++
		n := f.runs[id]
		f.mu.Unlock()
		text := fmt.Sprintf("%s run %d at %d of %s", id, n, i, body)
		stream := r.Header.Get("Test-Stream") == "true"
		parts := []string{text, strings.Repeat("y", 5000)}
		if stream {
			w.Header().Set("Content-Type", "text/event-stream")
			parts = []string{"data: " + strconv.Quote(text) + "\n\n", "data: 2\n\n", "data: [DONE]\n\n"}
		}
		switch mode {
		case "hang":
			<-r.Context().Done()
			return
		case "cutHead":
			panic(http.ErrAbortHandler)
		case "slow":
			select {
			case <-time.After(2 * time.Second):
			case <-r.Context().Done():
				return
			}
		}
		f.mu.Lock()
		f.produced[requestIdentity(r.Header)+"\n"+strings.Join(parts, "")] = true
		f.mu.Unlock()
		for _, p := range parts {
			_, _ = io.WriteString(w, p)
			_ = http.NewResponseController(w).Flush()
			switch {
			case mode == "cutMid":
				panic(http.ErrAbortHandler)
			case mode == "endEarly" && stream && i < fuzzEndpoints/2:
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (f *fuzzRun) request(s step, n int) {
	id := "r" + strconv.Itoa(n)
	start := time.Now()
	deadline := start.Add(s.Timeout)
	header := []string{
		headerDeadline, deadline.Format(time.RFC3339Nano), headerPriority, strconv.Itoa(s.Priority),
		headerRepeatable, strconv.FormatBool(s.Repeatable), "Test-Request", id, "Test-Host", strconv.Itoa(s.Host),
		"Test-Stream", strconv.FormatBool(s.Stream),
	}
	path, body := completionsPath, `{"model":"m","n":`+strconv.Itoa(n)+`}`
	if s.Service {
		path = "/services/book/x"
	}
	identity := id
	keyed := s.Key > 0 && !s.Repeatable
	if keyed {
		// Requests with the same key are identical.
		identity = fmt.Sprintf("k%d-%t-%t", s.Key, s.Service, s.Stream)
		body = `{"model":"m","key":"` + identity + `"}`
		header = append(header, headerKey, identity, headerCreated, "2000-01-01T00:00:00Z", "Test-Key", identity)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.Cancel > 0 {
		header = append(header, "Test-Cancel", start.Add(s.Cancel).UTC().Format(time.RFC3339Nano))
		time.AfterFunc(s.Cancel, cancel)
	}
	a := f.h.doContext(ctx, s.Host, http.MethodPost, path, body, header...)
	if ctx.Err() != nil {
		return
	}
	if time.Now().After(deadline) {
		f.violation("request %s answered %v after its deadline", id, time.Since(deadline))
	}
	f.check(id, identity, a)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.Repeatable && f.runs[id] > 1 {
		f.violations = append(f.violations, fmt.Sprintf("request %s is not repeatable and ran %d times", id, f.runs[id]))
	}
}

func (f *fuzzRun) check(id, identity string, a response) {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := f.runs[id]
	f.outcomes[fmt.Sprint(a.status, " ", outcomeOf(a))]++
	report := func(format string, args ...any) {
		f.violations = append(f.violations, "request "+id+": "+fmt.Sprintf(format, args...))
	}
	var e errorBody
	switch {
	case a.status == 0:
		report("no response: %v", a.err)
	case a.status == http.StatusOK && a.err == nil:
		if !f.produced[identity+"\n"+a.body] {
			report("received a body that no endpoint produced for it: %q", a.body)
		}
	case a.status == http.StatusOK:
		if !errors.Is(a.err, io.ErrUnexpectedEOF) {
			report("body ended with an unexpected error: %v", a.err)
		}
	default:
		if err := json.Unmarshal([]byte(a.body), &e); err != nil {
			report("status %d, body %q: %v", a.status, a.body, err)
			return
		}
		if e.Error.Run == NotRun && runs > 0 {
			report("received notRun after %d runs: %s", runs, a.body)
		}
		if e.Error.Run != NotRun && e.Error.Run != RunUnknown && e.Error.Run != Ran {
			report("no run field: %s", a.body)
		}
	}
}

// outcomeOf returns the outcome of a request for the statistics.
func outcomeOf(a response) string {
	var e errorBody
	switch {
	case a.err != nil:
		return "cut"
	case json.Unmarshal([]byte(a.body), &e) == nil:
		return e.Error.Code + " " + string(e.Error.Run)
	}
	return "complete"
}

func (f *fuzzRun) setMode(i int, mode string) {
	name := "e" + strconv.Itoa(i)
	f.mu.Lock()
	old := f.modes[i]
	f.modes[i] = mode
	f.mu.Unlock()
	switch {
	case mode == "refuse" && old != "refuse":
		f.kills[i]()
	case mode != "refuse" && old == "refuse":
		f.kills[i] = sync.OnceFunc(f.h.serve(name+":80", f.endpoint(i)))
	}
}

func (f *fuzzRun) apply(s step, n int, requests *sync.WaitGroup) {
	time.Sleep(s.Wait)
	name := "e" + strconv.Itoa(s.Endpoint)
	switch s.Kind {
	case "request":
		requests.Go(func() { f.request(s, n) })
	case "mode":
		f.setMode(s.Endpoint, s.Mode)
	case "place":
		state := tamarackknot.ReplicaLoaded
		if s.Stream {
			state = tamarackknot.ReplicaUnloading
		}
		f.h.store.SetReplica("m", name, state)
	case "journal":
		f.h.hosts[s.Host].journal.SetDelay(time.Duration(s.Fault) * 100 * time.Millisecond)
		errs := []error{nil, nil, tamarackknot.ErrNotAppended, tamarackknot.ErrOutcomeUnknown}
		f.h.hosts[s.Host].journal.SetFault(errs[s.Fault], s.Stream)
	}
}

// runSteps runs the steps. It returns the violations found by the oracle and
// counts the outcomes of the requests.
func runSteps(t *testing.T, steps []step, outcomes map[string]int) (violations []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, fuzzHosts, discard{})
		f := &fuzzRun{
			h: h, outcomes: outcomes, drainedAt: map[string]time.Time{}, runs: map[string]int{}, keyRuns: map[string]int{}, produced: map[string]bool{},
		}
		h.addModel("m")
		h.addService("book")
		for i := range fuzzEndpoints {
			service := ""
			if i >= fuzzEndpoints/2 {
				service = "book"
			}
			f.modes[i] = "ok"
			f.kills[i] = h.addEndpoint("e"+strconv.Itoa(i), service, 2, f.endpoint(i))
		}
		h.store.SetReplica("m", "e0", tamarackknot.ReplicaLoaded)
		h.waitForHosts()
		var requests sync.WaitGroup
		for n, s := range steps {
			f.apply(s, n, &requests)
		}
		requests.Wait()
		time.Sleep(20 * time.Second) // keyed requests continue without their caller until their deadline
		f.checkFinalState()
		for i := range f.kills {
			f.kills[i]()
		}
		h.stop()
		violations = f.violations
	})
	return violations
}

// checkFinalState checks that all demand and slots are released after the last
// request, and that no key ran twice.
func (f *fuzzRun) checkFinalState() {
	synctest.Wait()
	if n := f.h.placement.Demand("m").Waiting; n != 0 {
		f.violation("demand of %d requests remains", n)
	}
	for h, host := range f.h.hosts {
		for i := range fuzzEndpoints {
			if e, ok := host.table.Get("e" + strconv.Itoa(i)); ok {
				if own, _, _ := e.Load(); own != 0 {
					f.violation("host %d holds %d slots of endpoint %d", h, own, i)
				}
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, n := range f.keyRuns {
		if key != "" && n > 1 {
			f.violations = append(f.violations, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
}

// TestFuzz guards the guarantees of the API for callers under random faults: one
// response by the deadline, a correct notRun, no second run of a request that is
// not repeatable, complete bodies of the right request, no requests to a draining
// endpoint, and no leaked slots.
func TestFuzz(t *testing.T) {
	for _, seed := range []string{"1", "2", "3"} {
		t.Run("seed "+seed, func(t *testing.T) {
			require.NoError(t, flag.Set("rapid.seed", seed))
			require.NoError(t, flag.Set("rapid.nofailfile", "true"))
			outcomes, total := map[string]int{}, 0
			defer func() { t.Logf("%d steps, outcomes of requests: %v", total, outcomes) }()
			rapid.Check(t, func(rt *rapid.T) {
				steps := drawSteps(rt)
				total += len(steps)
				if violations := runSteps(t, steps, outcomes); len(violations) > 0 {
					rt.Fatalf("%s", strings.Join(violations, "\n"))
				}
			})
		})
	}
}
