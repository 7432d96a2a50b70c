package membership

import (
	"context"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"tamarackknot.example/tamarackknot"
)

// The bounds that TestMembershipFuzz checks, from the design page.
const (
	// maxStaleAnswerTime is how long address answers may still name a host that
	// was killed or is leaving.
	maxStaleAnswerTime = suspectAfter
	// maxRejoinTime is the time in which a member that all hosts can reach must
	// be in all views again.
	maxRejoinTime = deadAfter
)

type fuzzStep struct {
	Kind int
	A, B int
	Wait time.Duration
}

// TestMembershipFuzz runs random kills, restarts, pauses, one-way cuts, leaves
// and faults of the host list. It checks that:
//   - a member that all hosts could reach for maxRejoinTime is not dead in
//     any view and is named by every host;
//   - a host that was killed is not named after maxStaleAnswerTime;
//   - no valid answer names a host after its Leave returned;
//   - Ended is false for every running process that did not call SetIdle;
//   - after the faults end, all views agree within deadAfter and the time
//     in which gossip spreads.
func TestMembershipFuzz(t *testing.T) {
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fuzzStep {
		return fuzzStep{
			Kind: rapid.IntRange(0, 13).Draw(t, "kind"), A: rapid.IntRange(0, 8).Draw(t, "a"), B: rapid.IntRange(0, 8).Draw(t, "b"),
			Wait: time.Duration(rapid.IntRange(0, 8000).Draw(t, "wait")) * time.Millisecond,
		}
	}), 10, 60)
	var slowest time.Duration
	runs, total := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(rt, "hosts")
		seed := rapid.Uint64Range(0, 1<<20).Draw(rt, "seed")
		plan := steps.Draw(rt, "steps")
		var f *fuzzRun
		synctest.Test(t, func(*testing.T) {
			f = newFuzzRun(n, seed)
			f.run(plan)
		})
		if f.err != nil {
			rt.Fatalf("%v", f.err)
		}
		slowest = max(slowest, f.recovery)
		runs, total = runs+1, total+len(plan)
	})
	t.Logf("%d runs, %d steps, slowest recovery %v", runs, total, slowest)
}

type fuzzRun struct {
	net       *network
	trace     bool
	startedAt time.Time
	hosts     []*fuzzHost
	recovery  time.Duration

	mu  sync.Mutex
	err error
}

type fuzzHost struct {
	*testHost
	run *fuzzRun
	// unlisted says that the host list has not been complete since the process
	// started. Other hosts cannot find it without the list.
	unlisted bool
	// reachableSince is since when the process runs and all hosts can reach it.
	reachableSince time.Time
	killedAt       time.Time
	// answersValidUntil is the KeepUntil of the last answer that names the
	// process.
	answersValidUntil time.Time
	leaveAt           time.Time
	leaveCalls        sync.WaitGroup
}

func newFuzzRun(n int, seed uint64) *fuzzRun {
	f := &fuzzRun{net: newNetwork(n, seed), startedAt: time.Now(), trace: os.Getenv("FUZZ_TRACE") != ""}
	for _, h := range f.net.hosts {
		f.hosts = append(f.hosts, &fuzzHost{testHost: h, run: f})
	}
	return f
}

func (f *fuzzRun) failf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = errors.Newf("after %v: "+format, append([]any{time.Since(f.startedAt)}, args...)...)
	}
}

func (f *fuzzRun) run(plan []fuzzStep) {
	for _, h := range f.hosts {
		h.startProcess()
	}
	f.advance(3 * time.Second)
	for _, s := range plan {
		f.step(s)
		f.advance(s.Wait)
		if f.err != nil {
			break
		}
	}
	if f.err == nil {
		f.measureRecovery()
	}
	f.net.stop()
	for _, h := range f.hosts {
		h.leaveCalls.Wait()
	}
}

func (h *fuzzHost) startProcess() {
	now := time.Now()
	h.reachableSince, h.killedAt, h.answersValidUntil, h.leaveAt = now, time.Time{}, time.Time{}, time.Time{}
	h.unlisted = true
	h.start()
}

func (f *fuzzRun) step(s fuzzStep) {
	a, b := f.hosts[s.A%len(f.hosts)], f.hosts[s.B%len(f.hosts)]
	if f.trace {
		println(time.Since(f.startedAt).String(), "step", s.Kind, a.index, b.index, s.Wait.String())
	}
	switch s.Kind {
	case 0, 1:
		if a.running {
			a.kill()
			a.killedAt = time.Now()
		}
	case 2, 3, 4:
		if !a.running {
			a.startProcess()
		}
	case 5:
		a.pause()
	case 6, 7:
		a.resume()
	case 8:
		f.setCut(a, b, true)
	case 9:
		for _, h := range f.hosts { // the host can receive but not send
			f.setCut(a, h, true)
		}
	case 10:
		f.heal()
	case 11:
		f.net.setList(s.B%2 == 0, time.Duration(s.B*4)*time.Second)
	case 12:
		f.net.setList(false, 0)
	case 13:
		a.leave(s.B%2 == 0)
	}
}

func (f *fuzzRun) setCut(from, to *fuzzHost, cut bool) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	if from != to {
		f.net.cut[[2]string{from.host.Name, to.host.Name}] = cut
	}
}

func (f *fuzzRun) heal() {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	clear(f.net.cut)
}

func (net *network) setList(down bool, lag time.Duration) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.listDown, net.listLag = down, lag
}

// leave calls Leave in the background and checks the answers when it returns.
func (h *fuzzHost) leave(idle bool) {
	if !h.running || h.paused != nil || !h.leaveAt.IsZero() {
		return
	}
	h.leaveAt = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	h.endLeave = cancel
	m, incarnation := h.Membership, h.incarnation
	h.leaveCalls.Go(func() {
		if m.Leave(ctx) != nil {
			return
		}
		h.run.mu.Lock()
		validUntil := h.answersValidUntil
		h.run.mu.Unlock()
		if incarnation != h.incarnation {
			return
		}
		if remaining := time.Until(validUntil); remaining > 0 {
			h.run.failf("an answer that names %s is valid for %v after Leave returned", h.host.Name, remaining)
		}
		if idle {
			h.net.mu.Lock()
			h.idle = true
			h.net.mu.Unlock()
			m.SetIdle()
		}
	})
}

// advance lets time pass and checks the conditions at intervals.
func (f *fuzzRun) advance(d time.Duration) {
	const interval = 250 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end) && f.err == nil; {
		time.Sleep(min(interval, time.Until(end)))
		f.check()
	}
}

func (f *fuzzRun) check() {
	synctest.Wait()
	f.net.mu.Lock()
	now := time.Now()
	cut := make(map[string]bool)
	for pair, on := range f.net.cut {
		if on {
			cut[pair[0]], cut[pair[1]] = true, true
		}
	}
	for _, h := range f.hosts {
		if !f.net.listDown && f.net.listLag == 0 {
			h.unlisted = false
		}
		if !h.running || h.unlisted || h.paused != nil || cut[h.host.Name] {
			h.reachableSince = now
		}
	}
	f.net.mu.Unlock()
	for _, o := range f.hosts {
		if !o.running || o.paused != nil {
			continue
		}
		named := make(map[string]bool)
		for _, a := range o.Addresses("domain-1", "caller") {
			named[a.Host] = true
			f.mu.Lock()
			f.net.byName[a.Host].fuzzHostOf(f).answersValidUntil = a.KeepUntil
			f.mu.Unlock()
		}
		if len(named) == 0 && o.Gate() == GateReady {
			f.failf("%s is ready and returns no addresses", o.host.Name)
		}
		for _, h := range f.hosts {
			f.checkPair(o, h, named[h.host.Name], now)
		}
	}
}

func (h *testHost) fuzzHostOf(f *fuzzRun) *fuzzHost { return f.hosts[h.index] }

func (f *fuzzRun) checkPair(o, h *fuzzHost, named bool, now time.Time) {
	o.mu.Lock()
	if mb := o.members[h.host.Name]; mb != nil && mb.known() && mb.incarnation.String() == h.incarnation {
		if ahead := mb.earliestStart.Sub(h.started); ahead > time.Millisecond {
			f.failf("%s: lower bound of the start of %s is %v too late; upper bound is off by %v", o.host.Name, h.host.Name, ahead, mb.latestStart.Sub(h.started))
		}
	}
	o.mu.Unlock()
	if !h.running && named && now.Sub(h.killedAt) > maxStaleAnswerTime {
		f.failf("%s names %s, killed %v ago", o.host.Name, h.host.Name, now.Sub(h.killedAt))
	}
	if !h.leaveAt.IsZero() && named && now.Sub(h.leaveAt) > maxStaleAnswerTime {
		f.failf("%s names %s, leaving for %v", o.host.Name, h.host.Name, now.Sub(h.leaveAt))
	}
	if !h.running {
		return
	}
	f.net.mu.Lock()
	idle := h.idle
	f.net.mu.Unlock()
	if _, ended := o.Ended(h.process()); ended && !idle {
		f.failf("%s reports that the running process %v has ended", o.host.Name, h.process())
	}
	if now.Sub(o.reachableSince) > maxRejoinTime && now.Sub(h.reachableSince) > maxRejoinTime {
		if s := o.statusOf(h.host.Name); s == tamarackknot.MemberDead {
			f.failf("%s considers %s dead, reachable for %v", o.host.Name, h.host.Name, now.Sub(h.reachableSince))
		}
		if !named && h.leaveAt.IsZero() {
			f.failf("%s does not name %s, reachable for %v, status %s", o.host.Name, h.host.Name, now.Sub(h.reachableSince), o.statusOf(h.host.Name))
		}
	}
}

// measureRecovery ends all faults and measures the time until all views agree.
func (f *fuzzRun) measureRecovery() {
	f.heal()
	for _, h := range f.hosts {
		h.resume()
	}
	f.net.setList(false, 0)
	begin := time.Now()
	bound := deadAfter + spreadTime(len(f.hosts))
	for {
		f.advance(100 * time.Millisecond)
		f.recovery = time.Since(begin)
		if f.agreed() || f.err != nil {
			return
		}
		if f.recovery > bound {
			f.failf("views differ %v after the faults ended", f.recovery)
		}
	}
}

func (f *fuzzRun) agreed() bool {
	for _, o := range f.hosts {
		if !o.running {
			continue
		}
		for _, h := range f.hosts {
			s := o.statusOf(h.host.Name)
			switch {
			case !h.running && s != "" && s != tamarackknot.MemberDead:
				return false
			case h.running && h.leaveAt.IsZero() && s != tamarackknot.MemberAlive:
				return false
			case h.running && !h.leaveAt.IsZero() && o != h && s != tamarackknot.MemberLeaving:
				return false
			}
		}
	}
	return true
}
