package fake

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// StoreConfig holds the limits of a weight store.
type StoreConfig struct {
	// LoadsPerSecond limits how often a load may start.
	LoadsPerSecond float64
	// Burst is how many loads may start at the same time after a pause; at
	// least 1.
	Burst int
	// LoadsAtOnce is the number of concurrent loads at full speed. With more,
	// all of them slow down in proportion.
	LoadsAtOnce int
}

// Store is a rate-limited weight store.
type Store struct {
	cfg     StoreConfig
	limiter *rate.Limiter

	mu      sync.Mutex
	changed chan struct{} // closed when speed changes
	factor  float64
	active  int
	peak    int
	started int
	refused int
	// done is the work, in time at full speed, that a load in progress since
	// the creation of the store would have received until updated.
	done    time.Duration
	updated time.Time
}

// StoreStats counts what a store has served.
type StoreStats struct {
	Active  int // loads in progress
	Peak    int // highest number of concurrent loads
	Started int
	Refused int // loads over the rate limit
}

// StoreBusyError says that a load is over the rate limit of the store.
type StoreBusyError struct {
	RetryAt time.Time
}

// Error implements error.
func (e *StoreBusyError) Error() string {
	return "weight store is over its rate limit until " + e.RetryAt.Format(time.RFC3339Nano)
}

// NewStore returns a store that works at full speed.
func NewStore(cfg StoreConfig) *Store {
	cfg.Burst = max(cfg.Burst, 1)
	cfg.LoadsAtOnce = max(cfg.LoadsAtOnce, 1)
	return &Store{
		cfg:     cfg,
		limiter: rate.NewLimiter(rate.Limit(cfg.LoadsPerSecond), cfg.Burst),
		changed: make(chan struct{}),
		factor:  1,
		updated: time.Now(),
	}
}

// SetSpeed sets a factor on the speed of all loads: 1 is full speed, 0 stops
// them.
func (s *Store) SetSpeed(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.factor = max(factor, 0)
	s.announce()
}

// Stats returns the counts so far.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreStats{Active: s.active, Peak: s.peak, Started: s.started, Refused: s.refused}
}

// Start begins a load that takes the time work at full speed. It returns a
// *StoreBusyError if the rate limit is exceeded. The caller must call Wait or
// Stop on the returned load.
func (s *Store) Start(work time.Duration) (*StoreLoad, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r := s.limiter.ReserveN(now, 1)
	if !r.OK() {
		s.refused++
		return nil, errors.New("weight store accepts no loads")
	}
	if d := r.DelayFrom(now); d > 0 {
		r.CancelAt(now)
		s.refused++
		return nil, &StoreBusyError{RetryAt: now.Add(d)}
	}
	s.advance()
	s.active++
	s.started++
	s.peak = max(s.peak, s.active)
	s.announce()
	return &StoreLoad{store: s, until: s.done + work}, nil
}

// speed returns the share of full speed that each load receives.
func (s *Store) speed() float64 {
	if s.active <= s.cfg.LoadsAtOnce {
		return s.factor
	}
	return s.factor * float64(s.cfg.LoadsAtOnce) / float64(s.active)
}

// advance adds the work done since the last change of speed.
func (s *Store) advance() {
	now := time.Now()
	s.done += time.Duration(float64(now.Sub(s.updated)) * s.speed())
	s.updated = now
}

func (s *Store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// StoreLoad is one load in progress.
type StoreLoad struct {
	store *Store
	until time.Duration // value of Store.done at which the load is complete
	once  sync.Once
}

// Stop ends the load.
func (l *StoreLoad) Stop() {
	l.once.Do(func() {
		s := l.store
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance()
		s.active--
		s.announce()
	})
}

// Wait returns when the load is complete or ctx ends, and stops the load.
func (l *StoreLoad) Wait(ctx context.Context) error {
	defer l.Stop()
	for {
		left, known, changed := l.left()
		if known && left <= 0 {
			return nil
		}
		var expired <-chan time.Time
		if known {
			expired = time.After(left)
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		case <-expired:
		}
	}
}

// left returns the time to completion at the present speed; it is not known
// while the store stands still.
func (l *StoreLoad) left() (left time.Duration, known bool, changed <-chan struct{}) {
	s := l.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	work, speed := l.until-s.done, s.speed()
	// A microsecond of work hides the rounding of advance.
	if work <= time.Microsecond {
		return 0, true, s.changed
	}
	if speed <= 0 {
		return 0, false, s.changed
	}
	return time.Duration(float64(work)/speed) + 1, true, s.changed
}
