// Package trial runs one soak test: processes on loopback, faults and requests
// generated from a seed, and checks of the results that callers and endpoints see.
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
	callerCount = 8
	// recoveryTimeout is how long after the last fault every host must serve with
	// the newest configuration. A change must be in force everywhere within 11 s.
	recoveryTimeout = 15 * time.Second
	// exitTimeout is how long a host may take to exit after SIGTERM.
	exitTimeout = 8 * time.Second
	// Ranges of the pause between two faults and of the duration of a fault.
	minFaultPauseMillis, maxFaultPauseMillis = 200, 1200
	minFaultMillis, maxFaultMillis           = 200, 4000
	changeInterval                           = 1500 * time.Millisecond
	rollbackCheckInterval                    = 250 * time.Millisecond
)

// Config configures a trial.
type Config struct {
	Seed          uint64
	FaultDuration time.Duration // how long faults are injected
	Port          int
	Bin           string
}

// Report counts the faults, configuration changes and responses of a trial.
type Report struct {
	Faults, Changes, Answered, Refused, Unknown, Broken int
}

// String formats the report as one line.
func (r Report) String() string {
	return fmt.Sprintf("faults %d, changes %d, answers %d, refused %d, outcome unknown %d, connections broken %d",
		r.Faults, r.Changes, r.Answered, r.Refused, r.Unknown, r.Broken)
}

// trial is the state of one run. The fields below mu are guarded by it.
type trial struct {
	cfg        Config
	cluster    *cluster
	background sync.WaitGroup

	mu            sync.Mutex
	report        Report
	violations    []string
	requests      map[string]*requestOutcome
	accepted      int            // newest accepted change
	newestInForce map[string]int // newest change seen, by host and restart count
	restarts      [hostCount]int
}

// requestOutcome summarises the responses that the caller of a request received.
type requestOutcome struct {
	atMostOnce bool
	notRun     bool // according to every response
	ran        bool // according to any response
}

// Run runs one trial and returns an error that lists every violation. The logs of
// the processes are kept after an error.
func Run(ctx context.Context, cfg Config) (Report, error) {
	dir, err := os.MkdirTemp("", "tamaracksoak")
	if err != nil {
		return Report{}, errors.Wrap(err, "create log directory")
	}
	t := &trial{cfg: cfg, cluster: &cluster{cfg: cfg, dir: dir}, requests: make(map[string]*requestOutcome), newestInForce: make(map[string]int)}
	defer t.cluster.stop()
	if err := t.cluster.start(ctx); err != nil {
		return Report{}, errors.Wrapf(err, "logs in %s", dir)
	}
	callersCtx, stop := context.WithCancel(ctx)
	defer stop()
	for i := range callerCount {
		c := &caller{trial: t, random: rand.New(rand.NewPCG(cfg.Seed, uint64(i+1))), name: fmt.Sprintf("c%d", i), client: newClient()}
		t.background.Go(func() { c.run(callersCtx) })
	}
	t.background.Go(func() { t.checkRollbacks(callersCtx) })
	t.background.Go(func() { t.applyChanges(callersCtx) })
	t.injectFaults(ctx, rand.New(rand.NewPCG(cfg.Seed, 0)))
	stop()
	t.background.Wait()
	t.checkRecovery(ctx)
	t.checkHistory(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.violations) > 0 {
		return t.report, errors.Newf("%d violations, logs in %s:\n%s", len(t.violations), dir, strings.Join(t.violations, "\n"))
	}
	return t.report, errors.Wrap(os.RemoveAll(dir), "remove logs")
}

func (t *trial) addViolation(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// injectFaults injects random faults for FaultDuration and waits until all are
// reverted. The last host gets no faults, so that callers can always reach one.
func (t *trial) injectFaults(ctx context.Context, random *rand.Rand) {
	var undo sync.WaitGroup
	active := make(map[string]bool)
	var mu sync.Mutex
	for end := time.Now().Add(t.cfg.FaultDuration); time.Now().Before(end) && ctx.Err() == nil; {
		pause := time.Duration(minFaultPauseMillis+random.IntN(maxFaultPauseMillis-minFaultPauseMillis)) * time.Millisecond
		duration := time.Duration(minFaultMillis+random.IntN(maxFaultMillis-minFaultMillis)) * time.Millisecond
		kind, host, m := random.IntN(6), random.IntN(hostCount-1), 1+mode(random.IntN(int(modeCount)-1))
		time.Sleep(pause)
		target := fmt.Sprint(min(kind, 3), host)
		mu.Lock()
		alreadyActive := active[target]
		active[target] = true
		mu.Unlock()
		if alreadyActive {
			continue
		}
		t.mu.Lock()
		t.report.Faults++
		t.mu.Unlock()
		undo.Go(func() {
			t.injectFault(ctx, kind, host, m, duration)
			mu.Lock()
			defer mu.Unlock()
			delete(active, target)
		})
	}
	undo.Wait()
}

// injectFault injects one fault and reverts it after the duration.
func (t *trial) injectFault(ctx context.Context, kind, host int, m mode, duration time.Duration) {
	c := t.cluster
	switch e := c.entryHosts[host]; kind {
	case 0, 1, 2:
		p := [][]*proxy{c.callerProxies, c.platformProxies, c.peerProxies}[kind][host]
		p.setMode(m)
		time.Sleep(duration)
		p.setMode(modePass)
	case 3:
		e.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		e.signal(syscall.SIGCONT)
	case 4, 5:
		s, timeout := syscall.SIGKILL, time.Second
		if kind == 5 { //nolint:mnd // SIGTERM
			s, timeout = syscall.SIGTERM, exitTimeout
		}
		e.terminate(s, timeout)
		time.Sleep(duration / 4) //nolint:mnd // the downtime is shorter than other faults
		t.mu.Lock()
		t.restarts[host]++
		t.mu.Unlock()
		if err := e.start(); err != nil && ctx.Err() == nil {
			t.addViolation("%v", err)
		}
	}
}

// applyChanges adds the models n-1, n-2 and so on, one per changeInterval.
func (t *trial) applyChanges(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		// A failed write may still have been accepted. Repeating it is safe.
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
		case <-time.After(changeInterval):
		}
	}
}

// checkRollbacks checks that no process returns to an older configuration.
func (t *trial) checkRollbacks(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range hostCount {
			t.mu.Lock()
			process := fmt.Sprint(i, "/", t.restarts[i])
			t.mu.Unlock()
			n, ok := t.newestChange(ctx, i)
			t.mu.Lock()
			same := process == fmt.Sprint(i, "/", t.restarts[i])
			before := t.newestInForce[process]
			if ok && same {
				t.newestInForce[process] = max(before, n)
			}
			t.mu.Unlock()
			if ok && same && n < before {
				t.addViolation("entry-%d went from change %d back to %d", i, before, n)
			}
		}
		time.Sleep(rollbackCheckInterval)
	}
}

// newestChange returns the number of the newest change in force on a host, and
// false if the host does not answer.
func (t *trial) newestChange(ctx context.Context, host int) (int, bool) {
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

// checkRecovery checks that every host serves again with the newest change within
// recoveryTimeout.
func (t *trial) checkRecovery(ctx context.Context) {
	t.mu.Lock()
	accepted := t.accepted
	t.mu.Unlock()
	end := time.Now().Add(recoveryTimeout)
	c := &caller{trial: t, name: "last", client: newClient()}
	for i := range hostCount {
		served := false
		for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
			if v, ok := t.newestChange(ctx, i); ok && v >= accepted && c.requestCompletion(ctx, t.cluster.address(callerPorts, i), fmt.Sprintf("last-%d-%d", i, n), "m-0", false) {
				served = true
				break
			}
			time.Sleep(pollInterval)
		}
		if !served && ctx.Err() == nil {
			t.addViolation("entry-%d does not serve with change %d in force %v after the last fault", i, accepted, recoveryTimeout)
		}
	}
}

// checkHistory compares the responses that callers received with the executions,
// memory use and replica counts that the endpoints recorded.
func (t *trial) checkHistory(ctx context.Context) {
	var body bytes.Buffer
	if err := send(ctx, http.MethodGet, "http://"+t.cluster.address(0, 0)+"/history", "", &body); err != nil {
		t.addViolation("history: %v", err)
		return
	}
	var history struct {
		Exceeded     []string       `json:"exceeded"`
		PeakReplicas map[string]int `json:"peakReplicas"`
		Runs         map[string]int `json:"runs"`
	}
	if err := json.Unmarshal(body.Bytes(), &history); err != nil {
		t.addViolation("history: %v", err)
		return
	}
	for _, engine := range history.Exceeded {
		t.addViolation("engine %s was loaded beyond its memory", engine)
	}
	for model, n := range history.PeakReplicas {
		if n > 2 { //nolint:mnd // maxReplicas of the manifest
			t.addViolation("model %s had %d replicas, allowed are 2", model, n)
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
			t.addViolation("request %s may run once and ran %d times", id, n)
		case r.notRun && !r.ran && n > 0:
			t.addViolation("request %s ran %d times although its caller was told that it did not", id, n)
		case r.ran && n == 0:
			t.addViolation("request %s was answered and never ran", id)
		}
	}
}
