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

// step is one action of a fuzzed run; its kind decides which fields count.
type step struct {
	Kind     string
	Wait     time.Duration // before the step
	Endpoint int
	Mode     string
	Host     int
	Service  bool
	Stream   bool
	// Repeatable is the header of the request.
	Repeatable bool
	Key        int // 0: none
	Priority   int
	Timeout    time.Duration
	Cancel     time.Duration // 0: the caller stays
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

// fuzzRun is the world of one run and what the oracle remembers of it.
type fuzzRun struct {
	b *bed

	mu       sync.Mutex
	modes    [fuzzEndpoints]string
	kills    [fuzzEndpoints]func()
	left     map[string]time.Time // endpoint and host: drain signal given
	runs     map[string]int       // by request
	keyRuns  map[string]int
	produced map[string]bool // complete bodies, by the key or request and body
	faults   []string
	outcomes map[string]int
}

func (f *fuzzRun) fault(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// identity is what repeats of a request share.
func identity(h http.Header) string {
	if k := h.Get("Test-Key"); k != "" {
		return k
	}
	return h.Get("Test-Request")
}

// endpoint answers as its mode at the arrival of the request says.
func (f *fuzzRun) endpoint(i int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		id, host := r.Header.Get("Test-Request"), r.Header.Get("Test-Host")
		f.mu.Lock()
		mode := f.modes[i]
		signal := fmt.Sprint(i, " ", host)
		if at, ok := f.left[signal]; ok && time.Now().After(at) && time.Since(at) < 25*time.Second {
			f.faults = append(f.faults, fmt.Sprintf("request %s sent to endpoint %d %v after its drain signal", id, i, time.Since(at)))
		}
		if mode == "decline" || mode == "leave" {
			if mode == "leave" {
				// A response at the instant at which the caller's deadline ends
				// the request may not be read any more.
				if _, ok := f.left[signal]; !ok && r.Header.Get(headerDeadline) != time.Now().UTC().Format(time.RFC3339Nano) &&
					r.Header.Get("Test-Cancel") != time.Now().UTC().Format(time.RFC3339Nano) {
					f.left[signal] = time.Now()
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
		f.produced[identity(r.Header)+"\n"+strings.Join(parts, "")] = true
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
	path, body := completePath, `{"model":"m","n":`+strconv.Itoa(n)+`}`
	if s.Service {
		path = "/services/book/x"
	}
	shared := id
	keyed := s.Key > 0 && !s.Repeatable
	if keyed {
		// The same key always comes with the same request.
		shared = fmt.Sprintf("k%d-%t-%t", s.Key, s.Service, s.Stream)
		body = `{"model":"m","key":"` + shared + `"}`
		header = append(header, headerKey, shared, headerCreated, "2000-01-01T00:00:00Z", "Test-Key", shared)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.Cancel > 0 {
		header = append(header, "Test-Cancel", start.Add(s.Cancel).UTC().Format(time.RFC3339Nano))
		time.AfterFunc(s.Cancel, cancel)
	}
	a := f.b.doContext(ctx, s.Host, http.MethodPost, path, body, header...)
	if ctx.Err() != nil {
		return
	}
	if time.Now().After(deadline) {
		f.fault("request %s answered %v after its deadline", id, time.Since(deadline))
	}
	f.check(id, shared, a)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.Repeatable && f.runs[id] > 1 {
		f.faults = append(f.faults, fmt.Sprintf("request %s is not repeatable and ran %d times", id, f.runs[id]))
	}
}

func (f *fuzzRun) check(id, shared string, a answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := f.runs[id]
	f.outcomes[fmt.Sprint(a.status, " ", codeOf(a))]++
	wrong := func(format string, args ...any) {
		f.faults = append(f.faults, "request "+id+": "+fmt.Sprintf(format, args...))
	}
	var e errorBody
	switch {
	case a.status == 0:
		wrong("no answer: %v", a.err)
	case a.status == http.StatusOK && a.err == nil:
		if !f.produced[shared+"\n"+a.body] {
			wrong("answered with a body that no endpoint made for it: %q", a.body)
		}
	case a.status == http.StatusOK:
		if !errors.Is(a.err, io.ErrUnexpectedEOF) {
			wrong("cut off: %v", a.err)
		}
	default:
		if err := json.Unmarshal([]byte(a.body), &e); err != nil {
			wrong("status %d, body %q: %v", a.status, a.body, err)
			return
		}
		if e.Error.Run == NotRun && runs > 0 {
			wrong("told notRun after %d runs: %s", runs, a.body)
		}
		if e.Error.Run != NotRun && e.Error.Run != RunUnknown && e.Error.Run != Ran {
			wrong("no run field: %s", a.body)
		}
	}
}

// codeOf says in a word how a request ended.
func codeOf(a answer) string {
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
		f.kills[i] = sync.OnceFunc(f.b.serve(name+":80", f.endpoint(i)))
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
		f.b.store.SetReplica("m", name, state)
	case "journal":
		f.b.hosts[s.Host].journal.SetDelay(time.Duration(s.Fault) * 100 * time.Millisecond)
		errs := []error{nil, nil, tamarackknot.ErrNotAppended, tamarackknot.ErrOutcomeUnknown}
		f.b.hosts[s.Host].journal.SetFault(errs[s.Fault], s.Stream)
	}
}

// fuzzOnce runs the steps. It returns what the oracle found wrong and adds to
// the outcomes.
func fuzzOnce(t *testing.T, steps []step, outcomes map[string]int) (faults []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, fuzzHosts, discard{})
		f := &fuzzRun{
			b: b, outcomes: outcomes, left: map[string]time.Time{}, runs: map[string]int{}, keyRuns: map[string]int{}, produced: map[string]bool{},
		}
		b.addModel("m")
		b.addService("book")
		for i := range fuzzEndpoints {
			service := ""
			if i >= fuzzEndpoints/2 {
				service = "book"
			}
			f.modes[i] = "ok"
			f.kills[i] = b.addEndpoint("e"+strconv.Itoa(i), service, 2, f.endpoint(i))
		}
		b.store.SetReplica("m", "e0", tamarackknot.ReplicaLoaded)
		b.settle()
		var requests sync.WaitGroup
		for n, s := range steps {
			f.apply(s, n, &requests)
		}
		requests.Wait()
		time.Sleep(20 * time.Second) // detached keyed requests end by their deadline
		f.settled()
		for i := range f.kills {
			f.kills[i]()
		}
		b.stop()
		faults = f.faults
	})
	return faults
}

// settled checks what must hold when no request is left.
func (f *fuzzRun) settled() {
	synctest.Wait()
	if n := f.b.placement.Demand("m").Waiting; n != 0 {
		f.fault("demand of %d requests is left", n)
	}
	for h, host := range f.b.hosts {
		for i := range fuzzEndpoints {
			if e, ok := host.table.Get("e" + strconv.Itoa(i)); ok {
				if own, _, _ := e.Load(); own != 0 {
					f.fault("host %d holds %d slots of endpoint %d", h, own, i)
				}
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, n := range f.keyRuns {
		if key != "" && n > 1 {
			f.faults = append(f.faults, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
}

// TestFuzz guards the promises of the callers' API: one answer by the
// deadline, true notRun, no second run, complete own bytes, no work for a
// leaving endpoint, no slot lost.
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
				if faults := fuzzOnce(t, steps, outcomes); len(faults) > 0 {
					rt.Fatalf("%s", strings.Join(faults, "\n"))
				}
			})
		})
	}
}
