// Package reach finds out whether this host can reach any endpoint at all. A failed
// connection to one endpoint says nothing of the host; failed ones to several, with none
// that succeeds, do.
package reach

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// minFailed is the number of endpoints to which connections must have failed since the
	// last one that succeeded, fewer if there are fewer endpoints.
	minFailed = 8
	// trials is the number of endpoints that are tried at the same time.
	trials = minFailed
	// trialInterval is the pause between two trials.
	trialInterval = 250 * time.Millisecond
	// trialTimeout limits a connection of a trial.
	trialTimeout = time.Second
	// recentSuccess is how long after a successful connection failed ones are ignored.
	recentSuccess = 300 * time.Millisecond
)

// Config configures a Monitor.
type Config struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Endpoints returns the addresses of the endpoints that serve.
	Endpoints func() []string
	// OnChange is called when Isolated changes. It may be nil.
	OnChange func()
	Logger   *log.Logger
}

// Monitor observes the connections of this host to endpoints.
type Monitor struct {
	cfg  Config
	wake chan struct{}

	mu          sync.Mutex
	failed      map[string]bool // addresses since the last success
	succeededAt time.Time
	isolated    bool
}

// New returns a Monitor of a host that reaches endpoints.
func New(cfg Config) *Monitor {
	return &Monitor{cfg: cfg, wake: make(chan struct{}, 1), failed: make(map[string]bool)}
}

// Isolated reports whether this host reaches no endpoint.
func (m *Monitor) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated
}

// Dial opens a connection to an endpoint and observes the result.
func (m *Monitor) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := m.cfg.Dial(ctx, network, address)
	if err == nil {
		m.succeed()
	} else if !errors.Is(err, context.Canceled) {
		m.fail(address)
	}
	return conn, err
}

func (m *Monitor) succeed() {
	m.mu.Lock()
	clear(m.failed)
	m.succeededAt = time.Now()
	changed := m.isolated
	m.isolated = false
	m.mu.Unlock()
	if changed {
		m.cfg.Logger.Info("endpoints are reachable again")
		m.changed()
	}
}

func (m *Monitor) fail(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.succeededAt) > recentSuccess {
		m.failed[address] = true
		wait.Wake(m.wake)
	}
}

func (m *Monitor) changed() {
	if m.cfg.OnChange != nil {
		m.cfg.OnChange()
	}
}

// Run tries endpoints after failed connections, until one succeeds, until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		for m.suspects() {
			m.try(ctx)
			m.decide()
			if !wait.For(ctx, trialInterval) {
				return
			}
		}
	}
}

// suspects reports whether connections have failed since the last success.
func (m *Monitor) suspects() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.failed) > 0
}

// try opens connections to some endpoints and closes them.
func (m *Monitor) try(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(trialTimeout))
	defer cancel()
	var running sync.WaitGroup
	for _, address := range m.choose() {
		running.Go(func() {
			if conn, err := m.Dial(ctx, "tcp", address); err == nil {
				_ = conn.Close()
			}
		})
	}
	running.Wait()
}

// choose returns the endpoints of a trial, at random, those first that have not failed.
func (m *Monitor) choose() []string {
	addresses := slices.Clone(m.cfg.Endpoints())
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	m.mu.Lock()
	defer m.mu.Unlock()
	untried := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return m.failed[a] })
	failed := slices.DeleteFunc(addresses, func(a string) bool { return !m.failed[a] })
	all := slices.Concat(untried, failed)
	return all[:min(len(all), trials)]
}

// decide concludes from the failed connections whether this host is isolated.
func (m *Monitor) decide() {
	endpoints := len(m.cfg.Endpoints())
	m.mu.Lock()
	failed := len(m.failed)
	changed := !m.isolated && failed > 0 && failed >= min(minFailed, endpoints)
	m.isolated = m.isolated || changed
	m.mu.Unlock()
	if changed {
		m.cfg.Logger.Warn("this host reaches no endpoint, requests go through other hosts", "failed", failed, "endpoints", endpoints)
		m.changed()
	}
}
