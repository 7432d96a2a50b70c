package placement

import (
	"math"
	"time"

	"tamarackknot.example/tamarackknot"
)

// LoadTime models the duration of a load as a fixed part plus the target's size
// divided by the throughput.
type LoadTime struct {
	Fixed       time.Duration
	MBPerSecond float64
}

// DefaultLoadTimes returns the load times assumed until completed loads provide
// measurements: a copy from host memory over PCIe, a read from NVMe, and a read
// from the weight store over a 10 Gbit/s link.
func DefaultLoadTimes() map[tamarackknot.Tier]LoadTime {
	return map[tamarackknot.Tier]LoadTime{
		tamarackknot.TierMemory: {Fixed: 1 * time.Second, MBPerSecond: 10_000},
		tamarackknot.TierDisk:   {Fixed: 2 * time.Second, MBPerSecond: 2_000},
		tamarackknot.TierRemote: {Fixed: 3 * time.Second, MBPerSecond: 1_000},
	}
}

const (
	smoothingWeight = 0.3 // weight of a new sample in the moving average
	minFactor       = 0.05
	maxFactor       = 50.0
	// slowFactor is the ratio of recent to long-term load times above which the
	// weight store counts as slow.
	slowFactor = 2.0
)

// loadTimeModel estimates, for each cache tier, the ratio of actual to assumed
// load time.
type loadTimeModel struct {
	assumed map[tamarackknot.Tier]LoadTime
	tiers   map[tamarackknot.Tier]*tierEstimate
}

type tierEstimate struct {
	samples        int
	factor         float64
	deviation      float64
	longTermFactor float64 // slow moving average of the factor
	// inProgressFactor is a lower bound on the factor, from the elapsed time of
	// loads in progress.
	inProgressFactor float64
}

func newLoadTimes(assumed map[tamarackknot.Tier]LoadTime) loadTimeModel {
	l := loadTimeModel{assumed: assumed, tiers: make(map[tamarackknot.Tier]*tierEstimate)}
	for tier := range assumed {
		l.tiers[tier] = &tierEstimate{factor: 1, longTermFactor: 1}
	}
	return l
}

// assumedTime returns the assumed load time in seconds.
func (l *loadTimeModel) assumedTime(tier tamarackknot.Tier, mb int64) float64 {
	a := l.assumed[tier]
	return a.Fixed.Seconds() + float64(mb)/math.Max(1, a.MBPerSecond)
}

func (l *loadTimeModel) record(tier tamarackknot.Tier, mb int64, d time.Duration) {
	t := l.tiers[tier]
	if t == nil {
		return
	}
	f := math.Min(maxFactor, math.Max(minFactor, d.Seconds()/l.assumedTime(tier, mb)))
	t.samples++
	if t.samples == 1 {
		// The assumption may be wrong by any factor; averaging with it would
		// distort the estimate for the next ten loads.
		t.factor, t.longTermFactor = f, f
		return
	}
	t.deviation += smoothingWeight * (math.Abs(f-t.factor) - t.deviation)
	t.factor += smoothingWeight * (f - t.factor)
	t.longTermFactor += smoothingWeight / 10 * (f - t.longTermFactor)
}

// measured reports whether the load time of a tier is based on a completed load
// or on a load in progress that has already taken longer than assumed.
func (l *loadTimeModel) measured(tier tamarackknot.Tier) bool {
	t := l.tiers[tier]
	return t != nil && (t.samples > 0 || t.inProgressFactor > t.factor)
}

// expected returns the expected load time in seconds. It includes the mean
// deviation so that most forecasts are met.
func (l *loadTimeModel) expected(tier tamarackknot.Tier, mb int64) float64 {
	t := l.tiers[tier]
	if t == nil {
		return l.assumedTime(tamarackknot.TierRemote, mb)
	}
	return math.Max(l.learnedTime(tier, mb), l.assumedTime(tier, mb)*t.inProgressFactor)
}

// learnedTime returns the expected load time in seconds from completed loads
// alone.
func (l *loadTimeModel) learnedTime(tier tamarackknot.Tier, mb int64) float64 {
	t := l.tiers[tier]
	if t == nil {
		return l.assumedTime(tamarackknot.TierRemote, mb)
	}
	return l.assumedTime(tier, mb) * (t.factor + t.deviation)
}

// slow reports whether the weight store is slower than its long-term mean.
func (l *loadTimeModel) slow() bool {
	t := l.tiers[tamarackknot.TierRemote]
	return t != nil && math.Max(t.factor, t.inProgressFactor) > slowFactor*t.longTermFactor
}

// storeLimiter is a token bucket with a concurrency limit for loads from the
// weight store.
type storeLimiter struct {
	perSecond   float64
	concurrency int
	tokens      float64
	refilledAt  time.Time
	busyUntil   time.Time
}

func (s *storeLimiter) setLimits(perSecond float64, atOnce int, now time.Time) {
	s.perSecond, s.concurrency = perSecond, atOnce
	if s.refilledAt.IsZero() {
		s.tokens, s.refilledAt = 1, now
	}
}

// refill adds the tokens accrued since the last call. The bucket holds at most
// one, so that any one-second interval has at most loadsPerSecond + 1 starts.
func (s *storeLimiter) refill(now time.Time) {
	if d := now.Sub(s.refilledAt).Seconds(); d > 0 {
		s.tokens = math.Min(1, s.tokens+d*s.perSecond)
		s.refilledAt = now
	}
}

// nextToken returns when the rate limit allows a further load to start, with n
// loads queued ahead of it.
func (s *storeLimiter) nextToken(n int, now time.Time) time.Time {
	start := now
	if s.busyUntil.After(start) {
		start = s.busyUntil
	}
	if s.perSecond <= 0 {
		return start
	}
	missing := float64(n) + 1 - s.tokens
	if missing <= 0 {
		return start
	}
	at := s.refilledAt.Add(seconds(missing / s.perSecond))
	if at.Before(start) {
		return start
	}
	return at
}

func seconds(s float64) time.Duration {
	if s > math.MaxInt64/float64(2*time.Second) {
		return math.MaxInt64 / 2
	}
	return time.Duration(s * float64(time.Second))
}
