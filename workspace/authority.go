package workspace

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
)

const (
	// confirmationMargin is subtracted from the time for which keys are served without a
	// newer confirmation of the configuration. It covers the difference between the clocks of
	// two hosts and the rounding to milliseconds in their messages.
	confirmationMargin = 250 * time.Millisecond
	// maxUnknownWait is how long a request with an unknown key waits for a confirmation that
	// the configuration is as new as the request.
	maxUnknownWait = 1500 * time.Millisecond
	// maxUnknownAge is the greatest age of the confirmation with which a key is answered as
	// unknown. In calm, confirmations reach a host 1 to 2 s after the read that they name, so not
	// each request sees one of a read after its arrival. A key must hold on all hosts 3 s after
	// it was added, so none that is older than that can be missing.
	maxUnknownAge = 2500 * time.Millisecond
	// maxUnknownWaiting is the number of requests that wait so, so that guesses of keys don't
	// take memory; unknownCheckInterval is the pause between two checks of one key.
	maxUnknownWaiting    = 256
	unknownCheckInterval = 20 * time.Millisecond
)

// Config configures an Authority.
type Config struct {
	// ConfirmedAt returns the newest time, on Clock, at which a version of the configuration, or
	// one that it has replaced, is known to have been the newest one; 0 if it never was.
	ConfirmedAt func(version int64) time.Duration
	// Limit is how long after that keys are served; 0 means without a limit.
	Limit time.Duration
	// Clock returns the time since boot, including the time of suspension. Nil means the
	// system's clock.
	Clock   func() time.Duration
	Logger  *log.Logger
	Metrics metrics.Registry
}

// Authority implements tamarackknot.Authenticator.
type Authority struct {
	cfg       Config
	directory *directory
	waiting   atomic.Int64
	outdated  atomic.Bool // the last result of isCurrent was false
	counters  struct{ granted, unknown, uncertain metrics.Counter }

	mu      sync.Mutex
	lookups map[tamarackknot.KeyHash]*lookup // of keys that are not known
}

var _ tamarackknot.Authenticator = (*Authority)(nil)

// New returns an Authority without workspaces.
func New(cfg Config) *Authority {
	if cfg.Clock == nil {
		cfg.Clock = times.SinceBoot
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	a := &Authority{cfg: cfg, directory: newDirectory(), lookups: make(map[tamarackknot.KeyHash]*lookup)}
	a.counters.granted = metrics.NewRegisteredCounter("keys.granted", cfg.Metrics)
	a.counters.unknown = metrics.NewRegisteredCounter("keys.unknown", cfg.Metrics)
	a.counters.uncertain = metrics.NewRegisteredCounter("keys.uncertain", cfg.Metrics)
	return a
}

// Set replaces the workspaces by those of a configuration that came into force.
func (a *Authority) Set(c *tamarackknot.Catalog) { a.directory.set(c) }

// Named returns a workspace of the configuration in force; ok is false if there is none of
// the name.
func (a *Authority) Named(name string) (w tamarackknot.Workspace, ok bool) {
	return a.directory.named(name)
}

// isCurrent reports whether a version was confirmed recently enough to serve keys by it, and
// logs when that changes.
func (a *Authority) isCurrent(version int64) bool {
	if a.cfg.Limit <= 0 {
		return true
	}
	confirmed := a.cfg.ConfirmedAt(version)
	age := a.cfg.Clock() - confirmed
	current := confirmed > 0 && age < a.cfg.Limit-confirmationMargin
	if a.outdated.Load() == current && a.outdated.CompareAndSwap(current, !current) {
		a.cfg.Logger.Info("service of callers with keys changed", "serves", current, "version", version, "confirmed", confirmed > 0,
			"ageMs", age.Milliseconds(), "limitMs", a.cfg.Limit.Milliseconds())
	}
	return current
}

// Check implements tamarackknot.Authenticator.
func (a *Authority) Check(key tamarackknot.KeyHash, workspace string) tamarackknot.AuthDecision {
	w, version := a.directory.find(key)
	switch {
	case !a.isCurrent(version):
		return tamarackknot.AuthUncertain
	case w == nil:
		return tamarackknot.AuthUnknown
	case w.Name != workspace:
		return tamarackknot.AuthUncertain
	default:
		return tamarackknot.AuthGranted
	}
}

// Authenticate implements tamarackknot.Authenticator.
func (a *Authority) Authenticate(ctx context.Context, key tamarackknot.KeyHash) (*tamarackknot.Workspace, tamarackknot.AuthDecision) {
	w, version := a.directory.find(key)
	answered := true
	if w == nil {
		answered = a.await(ctx, key, func() bool {
			w, _ := a.directory.find(key)
			return w != nil
		})
		w, version = a.directory.find(key)
	}
	return w, a.decide(w, version, answered)
}

// AuthenticateProven implements tamarackknot.Authenticator.
func (a *Authority) AuthenticateProven(ctx context.Context, proof, message string) (tamarackknot.KeyHash, *tamarackknot.Workspace, tamarackknot.AuthDecision) {
	key, found := a.findProven(proof, message)
	answered := true
	if !found {
		answered = a.await(ctx, tamarackknot.HashKey(proof+"\n"+message), func() bool {
			_, found := a.findProven(proof, message)
			return found
		})
		key, found = a.findProven(proof, message)
	}
	w, version := a.directory.find(key)
	if !found {
		w = nil
	}
	return key, w, a.decide(w, version, answered)
}

// decide returns the decision about a key that belongs to a workspace of a version, or to none.
// answered says that an unknown key was waited for.
func (a *Authority) decide(w *tamarackknot.Workspace, version int64, answered bool) tamarackknot.AuthDecision {
	switch {
	case !a.isCurrent(version):
		a.counters.uncertain.Inc(1)
		return tamarackknot.AuthUncertain
	case w != nil:
		a.counters.granted.Inc(1)
		return tamarackknot.AuthGranted
	case answered && a.isComplete(version):
		a.counters.unknown.Inc(1)
		return tamarackknot.AuthUnknown
	default:
		a.counters.uncertain.Inc(1)
		return tamarackknot.AuthUncertain
	}
}

// isComplete reports whether a version holds all keys that callers may rely on.
func (a *Authority) isComplete(version int64) bool {
	confirmed := a.cfg.ConfirmedAt(version)
	return confirmed > 0 && a.cfg.Clock()-confirmed <= maxUnknownAge
}

// await waits until a key is known, or until the configuration in force is known to have been
// the newest one after the call, for a limited time. The requests with a key share one wait. It
// returns false if too many requests wait, or if ctx has ended.
func (a *Authority) await(ctx context.Context, key tamarackknot.KeyHash, known func() bool) bool {
	if a.directory.isRejected(key, a.cfg.Clock()) {
		return true
	}
	defer a.waiting.Add(-1)
	if a.waiting.Add(1) > maxUnknownWaiting {
		return false
	}
	l := a.join(key, known)
	if l == nil {
		return false
	}
	select {
	case <-l.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// join returns the wait for a key, which it starts if there is none; nil if there are too many.
func (a *Authority) join(key tamarackknot.KeyHash, known func() bool) *lookup {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.lookups[key]
	if l != nil || len(a.lookups) >= maxUnknownWaiting {
		return l
	}
	l = &lookup{authority: a, key: key, known: known, arrived: a.cfg.Clock(), done: make(chan struct{})}
	a.lookups[key] = l
	go l.run()
	return l
}

// lookup waits for a key that is not known. It goes on without the request that began it, since
// others may have joined.
type lookup struct {
	authority *Authority
	key       tamarackknot.KeyHash
	known     func() bool
	arrived   time.Duration // of the first request, on Clock
	done      chan struct{}
}

func (l *lookup) run() {
	defer l.end()
	deadline := time.Now().Add(maxUnknownWait)
	for !l.known() {
		a := l.authority
		// The version is read first: a newer one has what was confirmed for it.
		if a.cfg.ConfirmedAt(a.directory.current()) >= l.arrived || !time.Now().Before(deadline) {
			a.directory.reject(l.key, a.cfg.Clock())
			return
		}
		time.Sleep(unknownCheckInterval)
	}
}

func (l *lookup) end() {
	l.authority.mu.Lock()
	delete(l.authority.lookups, l.key)
	l.authority.mu.Unlock()
	close(l.done)
}

// Prove returns what shows another host that this one has received a key with a message. The
// key can't be derived from it.
func (*Authority) Prove(key tamarackknot.KeyHash, message string) string {
	return strconv.FormatUint(prefixOf(key), 16) + "." + base64.RawURLEncoding.EncodeToString(proofSum(key, message))
}

// findProven returns the key of a proof by another host; ok is false if it is not known.
func (a *Authority) findProven(proof, message string) (key tamarackknot.KeyHash, ok bool) {
	head, sum, _ := strings.Cut(proof, ".")
	prefix, err := strconv.ParseUint(head, 16, 64)
	if err != nil {
		return key, false
	}
	got, err := base64.RawURLEncoding.DecodeString(sum)
	if err != nil {
		return key, false
	}
	for _, candidate := range a.directory.withPrefix(prefix) {
		if hmac.Equal(got, proofSum(candidate, message)) {
			return candidate, true
		}
	}
	return key, false
}

func proofSum(key tamarackknot.KeyHash, message string) []byte {
	m := hmac.New(sha256.New, key[:])
	_, _ = m.Write([]byte(message))
	return m.Sum(nil)
}
