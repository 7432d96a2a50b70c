// Package trial runs one soak: processes on loopback, faults drawn from a seed,
// and checks of what callers and endpoints see.
package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	callers = 8
	// recoveryTime is how long after the last fault every host must serve and
	// have the newest configuration in force; a change is due everywhere in 11 s.
	recoveryTime = 15 * time.Second
	// leaveTime is how long a host that gets SIGTERM may take.
	leaveTime = 8 * time.Second
	// The pauses between two faults, and how long one lasts, in milliseconds.
	pauseLow, pauseHigh = 200, 1200
	lastLow, lastHigh   = 200, 4000
	changeEvery         = 1500 * time.Millisecond
	watchEvery          = 250 * time.Millisecond
)

// Config configures a trial.
type Config struct {
	Seed   uint64
	Faulty time.Duration // how long faults come
	Port   int
	Bin    string
}

// Report counts what a trial did.
type Report struct {
	Faults, Changes, Answered, Refused, Unknown, Broken int
}

// String is the report in one line.
func (r Report) String() string {
	return fmt.Sprintf("faults %d, changes %d, answers %d, refused %d, outcome unknown %d, connections broken %d",
		r.Faults, r.Changes, r.Answered, r.Refused, r.Unknown, r.Broken)
}

// trial is one run. Its fields below mu are guarded by it.
type trial struct {
	cfg     Config
	cluster *cluster
	running sync.WaitGroup

	mu         sync.Mutex
	report     Report
	violations []string
	requests   map[string]*claim
	accepted   int            // newest change that was accepted
	inForce    map[string]int // by process
	starts     [hosts]int
}

// claim is what the caller of a request was told.
type claim struct {
	atMostOnce bool
	notRun     bool // by every answer
	ran        bool // by any answer
}

// Run plays one trial and returns an error that names every violation.
func Run(ctx context.Context, cfg Config) (Report, error) {
	dir, err := os.MkdirTemp("", "tamaracksoak")
	if err != nil {
		return Report{}, errors.Wrap(err, "directory of the logs")
	}
	t := &trial{cfg: cfg, cluster: &cluster{cfg: cfg, dir: dir}, requests: make(map[string]*claim), inForce: make(map[string]int)}
	defer t.cluster.stop()
	if err := t.cluster.start(ctx); err != nil {
		return Report{}, errors.Wrapf(err, "logs in %s", dir)
	}
	callersCtx, stop := context.WithCancel(ctx)
	defer stop()
	for i := range callers {
		c := &caller{trial: t, random: rand.New(rand.NewPCG(cfg.Seed, uint64(i+1))), name: fmt.Sprintf("c%d", i), client: newClient()}
		t.running.Go(func() { c.run(callersCtx) })
	}
	t.running.Go(func() { t.watch(callersCtx) })
	t.running.Go(func() { t.change(callersCtx) })
	t.inject(ctx, rand.New(rand.NewPCG(cfg.Seed, 0)))
	stop()
	t.running.Wait()
	t.recovered(ctx)
	t.settle(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.violations) > 0 {
		return t.report, errors.Newf("%d violations, logs in %s:\n%s", len(t.violations), dir, strings.Join(t.violations, "\n"))
	}
	return t.report, errors.Wrap(os.RemoveAll(dir), "remove logs")
}

func (t *trial) violate(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// inject causes faults until their time is over and undoes them all. At least
// one host is always left alone, so that callers have where to go.
func (t *trial) inject(ctx context.Context, random *rand.Rand) {
	var undo sync.WaitGroup
	busy := make(map[string]bool)
	var mu sync.Mutex
	for end := time.Now().Add(t.cfg.Faulty); time.Now().Before(end) && ctx.Err() == nil; {
		between := time.Duration(pauseLow+random.IntN(pauseHigh-pauseLow)) * time.Millisecond
		last := time.Duration(lastLow+random.IntN(lastHigh-lastLow)) * time.Millisecond
		kind, host, m := random.IntN(6), random.IntN(hosts-1), 1+mode(random.IntN(int(modes)-1))
		time.Sleep(between)
		part := fmt.Sprint(min(kind, 3), host)
		mu.Lock()
		taken := busy[part]
		busy[part] = true
		mu.Unlock()
		if taken {
			continue
		}
		t.mu.Lock()
		t.report.Faults++
		t.mu.Unlock()
		undo.Go(func() {
			t.fault(ctx, kind, host, m, last)
			mu.Lock()
			defer mu.Unlock()
			delete(busy, part)
		})
	}
	undo.Wait()
}

// fault causes one fault and undoes it.
func (t *trial) fault(ctx context.Context, kind, host int, m mode, last time.Duration) {
	c := t.cluster
	switch e := c.entries[host]; kind {
	case 0, 1, 2:
		p := [][]*proxy{c.fronts, c.links, c.peers}[kind][host]
		p.set(m)
		time.Sleep(last)
		p.set(modePass)
	case 3:
		e.signal(syscall.SIGSTOP)
		time.Sleep(last)
		e.signal(syscall.SIGCONT)
	case 4, 5:
		s, within := syscall.SIGKILL, time.Second
		if kind == 5 { //nolint:mnd // the last kind
			s, within = syscall.SIGTERM, leaveTime
		}
		e.end(s, within)
		time.Sleep(last / 4) //nolint:mnd // a restart takes less than other faults
		t.mu.Lock()
		t.starts[host]++
		t.mu.Unlock()
		if err := e.start(); err != nil && ctx.Err() == nil {
			t.violate("%v", err)
		}
	}
}

// change adds models one after the other.
func (t *trial) change(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		// A write that failed may still be accepted; it is made again.
		for t.cluster.apply(ctx, modelManifest(fmt.Sprintf("n-%d", n))) != nil && ctx.Err() == nil {
			time.Sleep(pollInterval)
		}
		if ctx.Err() != nil {
			return
		}
		t.mu.Lock()
		t.accepted = n
		t.report.Changes++
		t.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(changeEvery):
		}
	}
}

// watch checks that no process takes an accepted change back.
func (t *trial) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range hosts {
			t.mu.Lock()
			process := fmt.Sprint(i, "/", t.starts[i])
			t.mu.Unlock()
			n, ok := t.newest(ctx, i)
			t.mu.Lock()
			same := process == fmt.Sprint(i, "/", t.starts[i])
			before := t.inForce[process]
			if ok && same {
				t.inForce[process] = max(before, n)
			}
			t.mu.Unlock()
			if ok && same && n < before {
				t.violate("entry-%d went from change %d back to %d", i, before, n)
			}
		}
		time.Sleep(watchEvery)
	}
}

// newest returns the newest change that a host has in force.
func (t *trial) newest(ctx context.Context, host int) (int, bool) {
	var body bytes.Buffer
	if err := send(ctx, http.MethodGet, "http://"+t.cluster.address(callerPorts, host)+"/v1/models", "", &body); err != nil {
		return 0, false
	}
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := json.Unmarshal(body.Bytes(), &list); err != nil {
		return 0, false
	}
	newest := 0
	for _, m := range list.Data {
		var n int
		if _, err := fmt.Sscanf(m.ID, "n-%d", &n); err == nil {
			newest = max(newest, n)
		}
	}
	return newest, true
}

// recovered checks that every host serves again, with the newest change.
func (t *trial) recovered(ctx context.Context) {
	t.mu.Lock()
	accepted := t.accepted
	t.mu.Unlock()
	end := time.Now().Add(recoveryTime)
	c := &caller{trial: t, name: "last", client: newClient()}
	for i := range hosts {
		served := false
		for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
			if v, ok := t.newest(ctx, i); ok && v >= accepted && c.complete(ctx, t.cluster.address(callerPorts, i), fmt.Sprintf("last-%d-%d", i, n), "m-0", false) {
				served = true
				break
			}
			time.Sleep(pollInterval)
		}
		if !served && ctx.Err() == nil {
			t.violate("entry-%d does not serve with change %d in force %v after the last fault", i, accepted, recoveryTime)
		}
	}
}

// settle compares what callers were told with what endpoints did.
func (t *trial) settle(ctx context.Context) {
	var body bytes.Buffer
	if err := send(ctx, http.MethodGet, "http://"+t.cluster.address(0, 0)+"/history", "", &body); err != nil {
		t.violate("history: %v", err)
		return
	}
	var history struct {
		Exceeded     []string       `json:"exceeded"`
		PeakReplicas map[string]int `json:"peakReplicas"`
		Runs         map[string]int `json:"runs"`
	}
	if err := json.Unmarshal(body.Bytes(), &history); err != nil {
		t.violate("history: %v", err)
		return
	}
	for _, engine := range history.Exceeded {
		t.violate("engine %s was loaded beyond its memory", engine)
	}
	for model, n := range history.PeakReplicas {
		if n > 2 { //nolint:mnd // maxReplicas of the manifest
			t.violate("model %s had %d replicas, allowed are 2", model, n)
		}
	}
	ids := make([]string, 0, len(t.requests))
	for id := range t.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		switch r, n := t.requests[id], history.Runs[id]; {
		case r.atMostOnce && n > 1:
			t.violate("request %s may run once and ran %d times", id, n)
		case r.notRun && !r.ran && n > 0:
			t.violate("request %s ran %d times although its caller was told that it did not", id, n)
		case r.ran && n == 0:
			t.violate("request %s was answered and never ran", id)
		}
	}
}
