package fake

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// WeightStoreConfig holds the limits of a weight store.
type WeightStoreConfig struct {
	// LoadsPerSecond is the rate limit for the start of loads.
	LoadsPerSecond float64
	// Burst is how many loads may start at once after a pause, at least 1.
	Burst int
	// LoadsAtOnce is the number of concurrent loads that run at full speed.
	// More loads share this bandwidth equally.
	LoadsAtOnce int
}

// WeightStore simulates a weight store with a rate limit and a shared bandwidth.
type WeightStore struct {
	cfg     WeightStoreConfig
	limiter *rate.Limiter

	mu          sync.Mutex
	changed     chan struct{} // closed and replaced when the speed changes
	speedFactor float64
	active      int
	peak        int
	started     int
	refused     int
	// progress is the work that a load running since the creation of the store
	// would have completed at updated, as time at full speed.
	progress time.Duration
	updated  time.Time
}

// StoreStats contains the load counts of a store.
type StoreStats struct {
	Active  int // loads in progress
	Peak    int // maximum number of concurrent loads
	Started int
	Refused int // loads that exceeded the rate limit
}

// StoreBusyError is returned if a load exceeds the rate limit of the store.
type StoreBusyError struct {
	RetryAt time.Time
}

// Error implements error.
func (e *StoreBusyError) Error() string {
	return "weight store is over its rate limit until " + e.RetryAt.Format(time.RFC3339Nano)
}

// NewWeightStore returns a store at full speed.
func NewWeightStore(cfg WeightStoreConfig) *WeightStore {
	cfg.Burst = max(cfg.Burst, 1)
	cfg.LoadsAtOnce = max(cfg.LoadsAtOnce, 1)
	return &WeightStore{
		cfg:         cfg,
		limiter:     rate.NewLimiter(rate.Limit(cfg.LoadsPerSecond), cfg.Burst),
		changed:     make(chan struct{}),
		speedFactor: 1,
		updated:     time.Now(),
	}
}

// SetSpeed sets the factor on the speed of all loads: 1 is full speed, 0 stops
// them.
func (s *WeightStore) SetSpeed(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.speedFactor = max(factor, 0)
	s.notify()
}

// Stats returns the current load counts.
func (s *WeightStore) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreStats{Active: s.active, Peak: s.peak, Started: s.started, Refused: s.refused}
}

// Start starts a load that takes the time work at full speed. It returns a
// *StoreBusyError if the rate limit is exceeded. The caller must call Wait or
// Stop on the returned load.
func (s *WeightStore) Start(work time.Duration) (*StoreLoad, error) {
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
	s.notify()
	return &StoreLoad{store: s, completeAt: s.progress + work}, nil
}

// speed returns the speed of each load as a fraction of full speed.
func (s *WeightStore) speed() float64 {
	if s.active <= s.cfg.LoadsAtOnce {
		return s.speedFactor
	}
	return s.speedFactor * float64(s.cfg.LoadsAtOnce) / float64(s.active)
}

// advance updates progress. It must run before each change of the speed.
func (s *WeightStore) advance() {
	now := time.Now()
	s.progress += time.Duration(float64(now.Sub(s.updated)) * s.speed())
	s.updated = now
}

func (s *WeightStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// StoreLoad is one load in progress.
type StoreLoad struct {
	store      *WeightStore
	completeAt time.Duration // value of WeightStore.progress at which the load is complete
	once       sync.Once
}

// Stop ends the load, complete or not. Further calls have no effect.
func (l *StoreLoad) Stop() {
	l.once.Do(func() {
		s := l.store
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance()
		s.active--
		s.notify()
	})
}

// Wait waits until the load is complete or ctx ends, and then stops the load.
func (l *StoreLoad) Wait(ctx context.Context) error {
	defer l.Stop()
	for {
		remaining, known, changed := l.remaining()
		if known && remaining <= 0 {
			return nil
		}
		var expired <-chan time.Time
		if known {
			expired = time.After(remaining)
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		case <-expired:
		}
	}
}

// remaining returns the time to completion at the current speed. It is not known
// while the speed is 0.
func (l *StoreLoad) remaining() (remaining time.Duration, known bool, changed <-chan struct{}) {
	s := l.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	work, speed := l.completeAt-s.progress, s.speed()
	// A tolerance of one microsecond absorbs the rounding errors of advance.
	if work <= time.Microsecond {
		return 0, true, s.changed
	}
	if speed <= 0 {
		return 0, false, s.changed
	}
	return time.Duration(float64(work)/speed) + 1, true, s.changed
}
