package placement

import (
	"math"
	"time"

	"tamarackknot.example/tamarackknot"
)

// LoadTime is the time of a load as a function of the target's size.
type LoadTime struct {
	Fixed       time.Duration
	MBPerSecond float64
}

// DefaultLoadTimes are assumed until loads have been measured: a copy from
// host memory over PCIe, a read from NVMe, and a read from the weight store
// over a 10 Gbit/s link.
func DefaultLoadTimes() map[tamarackknot.Tier]LoadTime {
	return map[tamarackknot.Tier]LoadTime{
		tamarackknot.TierMemory: {Fixed: 1 * time.Second, MBPerSecond: 10_000},
		tamarackknot.TierDisk:   {Fixed: 2 * time.Second, MBPerSecond: 2_000},
		tamarackknot.TierRemote: {Fixed: 3 * time.Second, MBPerSecond: 1_000},
	}
}

const (
	learnWeight = 0.3 // of a new measurement
	minFactor   = 0.05
	maxFactor   = 50.0
	// slowFactor is how much slower than usual the weight store must be to be
	// called slow.
	slowFactor = 2.0
)

// loadTimes learns, for each tier, the ratio of measured to assumed time.
type loadTimes struct {
	assumed map[tamarackknot.Tier]LoadTime
	tiers   map[tamarackknot.Tier]*tierTime
}

type tierTime struct {
	samples   int
	factor    float64
	deviation float64
	usual     float64 // factor over many loads
	// running is the lower bound on the factor that loads under way prove.
	running float64
}

func newLoadTimes(assumed map[tamarackknot.Tier]LoadTime) loadTimes {
	l := loadTimes{assumed: assumed, tiers: make(map[tamarackknot.Tier]*tierTime)}
	for tier := range assumed {
		l.tiers[tier] = &tierTime{factor: 1, usual: 1}
	}
	return l
}

// base is the assumed load time in seconds.
func (l *loadTimes) base(tier tamarackknot.Tier, mb int64) float64 {
	a := l.assumed[tier]
	return a.Fixed.Seconds() + float64(mb)/math.Max(1, a.MBPerSecond)
}

func (l *loadTimes) add(tier tamarackknot.Tier, mb int64, d time.Duration) {
	t := l.tiers[tier]
	if t == nil {
		return
	}
	f := math.Min(maxFactor, math.Max(minFactor, d.Seconds()/l.base(tier, mb)))
	t.samples++
	if t.samples == 1 {
		// The assumption may be wrong by any factor; a mean with it would take
		// ten loads to forget it.
		t.factor, t.usual = f, f
		return
	}
	t.deviation += learnWeight * (math.Abs(f-t.factor) - t.deviation)
	t.factor += learnWeight * (f - t.factor)
	t.usual += learnWeight / 10 * (f - t.usual)
}

// measured reports whether the load time of a tier rests on a measurement, be
// it of a load under way that has taken longer than assumed.
func (l *loadTimes) measured(tier tamarackknot.Tier) bool {
	t := l.tiers[tier]
	return t != nil && (t.samples > 0 || t.running > t.factor)
}

// expect is the expected load time in seconds. It includes the mean deviation,
// so that most forecasts are kept.
func (l *loadTimes) expect(tier tamarackknot.Tier, mb int64) float64 {
	t := l.tiers[tier]
	if t == nil {
		return l.base(tamarackknot.TierRemote, mb)
	}
	return math.Max(l.usual(tier, mb), l.base(tier, mb)*t.running)
}

// usual is expect without what loads under way prove.
func (l *loadTimes) usual(tier tamarackknot.Tier, mb int64) float64 {
	t := l.tiers[tier]
	if t == nil {
		return l.base(tamarackknot.TierRemote, mb)
	}
	return l.base(tier, mb) * (t.factor + t.deviation)
}

// slow reports whether the weight store is slower than usual.
func (l *loadTimes) slow() bool {
	t := l.tiers[tamarackknot.TierRemote]
	return t != nil && math.Max(t.factor, t.running) > slowFactor*t.usual
}

// store allocates the weight store's limits.
type store struct {
	perSecond float64
	atOnce    int
	tokens    float64
	at        time.Time
	busyUntil time.Time
}

func (s *store) setLimits(perSecond float64, atOnce int, now time.Time) {
	s.perSecond, s.atOnce = perSecond, atOnce
	if s.at.IsZero() {
		s.tokens, s.at = 1, now
	}
}

// refill adds the tokens earned since the last call; at most one is kept, so
// that no interval of a second has more than loadsPerSecond starts plus one.
func (s *store) refill(now time.Time) {
	if d := now.Sub(s.at).Seconds(); d > 0 {
		s.tokens = math.Min(1, s.tokens+d*s.perSecond)
		s.at = now
	}
}

// nextToken is when the n-th further load (from 0) may start by rate.
func (s *store) nextToken(n int, now time.Time) time.Time {
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
	at := s.at.Add(seconds(missing / s.perSecond))
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
