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

// The bounds of the oracle, from the design page.
const (
	// outOfAnswers: a host that is gone or has left is not handed out longer.
	outOfAnswers = suspectAfter
	// backInViews: a member that all can reach is in all views again.
	backInViews = deadAfter
)

type fuzzStep struct {
	Kind int
	A, B int
	Wait time.Duration
}

// TestMembershipFuzz runs random kills, restarts, pauses, one-way cuts, leaves
// and faults of the host list. Oracle:
//   - a member that everyone could reach for backInViews is alive in every view
//     and handed out by every host;
//   - a host that is gone for outOfAnswers is not handed out;
//   - when Leave returns, no answer given anywhere names the host and is valid;
//   - Ended is false for every process that runs and has not said idle;
//   - after the faults end, all views agree within deadAfter and the spread
//     time of gossip.
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
	net      *network
	trace    bool
	begin    time.Time
	hosts    []*fuzzHost
	recovery time.Duration

	mu  sync.Mutex
	err error
}

type fuzzHost struct {
	*testHost
	run *fuzzRun
	// unlisted says that the process started and the host list has not been
	// complete since; a host cannot be found without it.
	unlisted bool
	// cleanSince is since when the process runs and is reachable by all.
	cleanSince time.Time
	goneSince  time.Time
	// named is the last keepUntil of an answer that names the process.
	named    time.Time
	leaveAt  time.Time
	runLeave sync.WaitGroup
}

func newFuzzRun(n int, seed uint64) *fuzzRun {
	f := &fuzzRun{net: newNetwork(n, seed), begin: time.Now(), trace: os.Getenv("FUZZ_TRACE") != ""}
	for _, h := range f.net.hosts {
		f.hosts = append(f.hosts, &fuzzHost{testHost: h, run: f})
	}
	return f
}

func (f *fuzzRun) failf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = errors.Newf("after %v: "+format, append([]any{time.Since(f.begin)}, args...)...)
	}
}

func (f *fuzzRun) run(plan []fuzzStep) {
	for _, h := range f.hosts {
		h.begin()
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
		f.recover()
	}
	f.net.stop()
	for _, h := range f.hosts {
		h.runLeave.Wait()
	}
}

func (h *fuzzHost) begin() {
	now := time.Now()
	h.cleanSince, h.goneSince, h.named, h.leaveAt = now, time.Time{}, time.Time{}, time.Time{}
	h.unlisted = true
	h.start()
}

func (f *fuzzRun) step(s fuzzStep) {
	a, b := f.hosts[s.A%len(f.hosts)], f.hosts[s.B%len(f.hosts)]
	if f.trace {
		println(time.Since(f.begin).String(), "step", s.Kind, a.index, b.index, s.Wait.String())
	}
	switch s.Kind {
	case 0, 1:
		if a.running {
			a.kill()
			a.goneSince = time.Now()
		}
	case 2, 3, 4:
		if !a.running {
			a.begin()
		}
	case 5:
		a.pause()
	case 6, 7:
		a.resume()
	case 8:
		f.setCut(a, b, true)
	case 9:
		for _, h := range f.hosts { // one direction of everything
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
	h.runLeave.Go(func() {
		if m.Leave(ctx) != nil {
			return
		}
		h.run.mu.Lock()
		named := h.named
		h.run.mu.Unlock()
		if incarnation != h.incarnation {
			return
		}
		if left := time.Until(named); left > 0 {
			h.run.failf("an answer that names %s is valid for %v after Leave returned", h.host.Name, left)
		}
		if idle {
			h.net.mu.Lock()
			h.idle = true
			h.net.mu.Unlock()
			m.SetIdle()
		}
	})
}

// advance lets time pass and checks the oracle in steps.
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
			h.cleanSince = now
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
			f.net.byName[a.Host].fuzz(f).named = a.KeepUntil
			f.mu.Unlock()
		}
		if len(named) == 0 && o.Gate() == GateReady {
			f.failf("%s serves and gives an empty answer", o.host.Name)
		}
		for _, h := range f.hosts {
			f.checkPair(o, h, named[h.host.Name], now)
		}
	}
}

func (h *testHost) fuzz(f *fuzzRun) *fuzzHost { return f.hosts[h.index] }

func (f *fuzzRun) checkPair(o, h *fuzzHost, named bool, now time.Time) {
	o.mu.Lock()
	if mb := o.members[h.host.Name]; mb != nil && mb.known() && mb.incarnation.String() == h.incarnation {
		if ahead := mb.earliest.Sub(h.started); ahead > time.Millisecond {
			f.failf("%s: start of %s is bounded %v too late; latest %v", o.host.Name, h.host.Name, ahead, mb.latest.Sub(h.started))
		}
	}
	o.mu.Unlock()
	if !h.running && named && now.Sub(h.goneSince) > outOfAnswers {
		f.failf("%s hands out %s, gone for %v", o.host.Name, h.host.Name, now.Sub(h.goneSince))
	}
	if !h.leaveAt.IsZero() && named && now.Sub(h.leaveAt) > outOfAnswers {
		f.failf("%s hands out %s, leaving for %v", o.host.Name, h.host.Name, now.Sub(h.leaveAt))
	}
	if !h.running {
		return
	}
	f.net.mu.Lock()
	idle := h.idle
	f.net.mu.Unlock()
	if _, ended := o.Ended(h.process()); ended && !idle {
		f.failf("%s says that the running process %v has ended", o.host.Name, h.process())
	}
	if now.Sub(o.cleanSince) > backInViews && now.Sub(h.cleanSince) > backInViews {
		if s := o.statusOf(h.host.Name); s == tamarackknot.MemberDead {
			f.failf("%s holds %s for dead, reachable for %v", o.host.Name, h.host.Name, now.Sub(h.cleanSince))
		}
		if !named && h.leaveAt.IsZero() {
			f.failf("%s does not hand out %s, reachable for %v, status %s", o.host.Name, h.host.Name, now.Sub(h.cleanSince), o.statusOf(h.host.Name))
		}
	}
}

// recover ends all faults and measures when all views agree.
func (f *fuzzRun) recover() {
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
