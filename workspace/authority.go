package workspace

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/times"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// confirmationMargin is subtracted from the time for which keys are served without a
	// newer confirmation of the configuration. It covers the difference between the clocks of
	// two hosts and the rounding to milliseconds in their messages.
	confirmationMargin = 250 * time.Millisecond
	// maxUnknownWait is how long a request with an unknown key waits for a confirmation that
	// the configuration is as new as the request; it exceeds the time between two messages
	// of the planner and its read of the store.
	maxUnknownWait = 1500 * time.Millisecond
	// unknownConfirmationAge is the greatest age, at the arrival of a request, of the
	// confirmation after which its key counts as unknown if no newer one came meanwhile. A key
	// must hold on all hosts 3 s after it was added, so it can't be missing for longer.
	unknownConfirmationAge = 1500 * time.Millisecond
	// maxUnknownWaiting is the number of requests that wait so, so that guesses of keys don't
	// take memory; unknownCheckInterval is the pause between two checks of one of them.
	maxUnknownWaiting    = 256
	unknownCheckInterval = 20 * time.Millisecond
)

// Config configures an Authority.
type Config struct {
	// ConfirmedAt returns the newest time, on Clock, at which the configuration in force is
	// known to have been the newest one; 0 if it never was.
	ConfirmedAt func() time.Duration
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
	a := &Authority{cfg: cfg, directory: newDirectory()}
	a.counters.granted = metrics.NewRegisteredCounter("keys.granted", cfg.Metrics)
	a.counters.unknown = metrics.NewRegisteredCounter("keys.unknown", cfg.Metrics)
	a.counters.uncertain = metrics.NewRegisteredCounter("keys.uncertain", cfg.Metrics)
	return a
}

// Set replaces the workspaces by those of a configuration that came into force.
func (a *Authority) Set(c *tamarackknot.Catalog) {
	if shared := a.directory.set(c); shared > 0 {
		a.cfg.Logger.Warn("keys belong to several workspaces and are refused", "version", c.Version, "keys", shared)
	}
}

// Named returns a workspace of the configuration in force; ok is false if there is none of
// the name.
func (a *Authority) Named(name string) (w tamarackknot.Workspace, ok bool) {
	return a.directory.named(name)
}

// isCurrent reports whether the configuration in force was confirmed recently enough to
// serve keys, and logs when that changes.
func (a *Authority) isCurrent() bool {
	if a.cfg.Limit <= 0 {
		return true
	}
	confirmed := a.cfg.ConfirmedAt()
	age := a.cfg.Clock() - confirmed
	current := confirmed > 0 && age < a.cfg.Limit-confirmationMargin
	if a.outdated.CompareAndSwap(current, !current) {
		a.cfg.Logger.Info("service of callers with keys changed", "serves", current, "confirmed", confirmed > 0, "ageMs", age.Milliseconds(),
			"limitMs", a.cfg.Limit.Milliseconds())
	}
	return current
}

// Check implements tamarackknot.Authenticator.
func (a *Authority) Check(key tamarackknot.KeyHash) tamarackknot.AuthDecision {
	switch {
	case !a.isCurrent():
		return tamarackknot.AuthUncertain
	case a.directory.find(key) == nil:
		return tamarackknot.AuthUnknown
	default:
		return tamarackknot.AuthGranted
	}
}

// Authenticate implements tamarackknot.Authenticator.
func (a *Authority) Authenticate(ctx context.Context, key tamarackknot.KeyHash) (*tamarackknot.Workspace, tamarackknot.AuthDecision) {
	w := a.directory.find(key)
	if w == nil {
		w = a.awaitKey(ctx, key)
	}
	switch {
	case !a.isCurrent():
		a.counters.uncertain.Inc(1)
		return nil, tamarackknot.AuthUncertain
	case w != nil:
		a.counters.granted.Inc(1)
		return w, tamarackknot.AuthGranted
	case a.directory.isRejected(key, time.Now()):
		a.counters.unknown.Inc(1)
		return nil, tamarackknot.AuthUnknown
	default:
		a.counters.uncertain.Inc(1)
		return nil, tamarackknot.AuthUncertain
	}
}

// awaitKey waits until a key is known, or rejects it once the configuration in force is
// known to have been the newest one after the call. It returns nil if the key is not known.
func (a *Authority) awaitKey(ctx context.Context, key tamarackknot.KeyHash) *tamarackknot.Workspace {
	if a.directory.isRejected(key, time.Now()) {
		return nil
	}
	defer a.waiting.Add(-1)
	if a.waiting.Add(1) > maxUnknownWaiting {
		return nil
	}
	arrived := a.cfg.Clock()
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(maxUnknownWait))
	defer cancel()
	for {
		if w := a.directory.find(key); w != nil {
			return w
		}
		confirmed := a.cfg.ConfirmedAt()
		if confirmed < arrived && wait.For(ctx, unknownCheckInterval) {
			continue
		}
		if confirmed > 0 && confirmed >= arrived-unknownConfirmationAge {
			// The configuration may have come into force before it was confirmed.
			if w := a.directory.find(key); w != nil {
				return w
			}
			a.directory.reject(key, time.Now())
		}
		return nil
	}
}

// Prove returns what shows another host that this one has received a key with a message. The
// key can't be derived from it.
func (*Authority) Prove(key tamarackknot.KeyHash, message string) string {
	return strconv.FormatUint(prefixOf(key), 16) + "." + base64.RawURLEncoding.EncodeToString(proofSum(key, message))
}

// FindProven returns the key of a proof by another host; ok is false if it is not known.
func (a *Authority) FindProven(proof, message string) (key tamarackknot.KeyHash, ok bool) {
	head, sum, _ := strings.Cut(proof, ".")
	prefix, err := strconv.ParseUint(head, 16, 64)
	if err != nil {
		return key, false
	}
	got, err := base64.RawURLEncoding.DecodeString(sum)
	if err != nil {
		return key, false
	}
	for _, key := range a.directory.withPrefix(prefix) {
		if hmac.Equal(got, proofSum(key, message)) {
			return key, true
		}
	}
	return key, false
}

func proofSum(key tamarackknot.KeyHash, message string) []byte {
	m := hmac.New(sha256.New, key[:])
	_, _ = m.Write([]byte(message))
	return m.Sum(nil)
}
