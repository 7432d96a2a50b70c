package placement

import (
	"math"
	"time"
)

const (
	gapBuckets = 32
	gapBase    = 1.0 // seconds; upper bound of the first bucket
	// gapFactor spaces the buckets so that 32 of them reach from 1 s to half
	// a year.
	gapFactor = 1.7
	// gapWindow is the number of gaps after which old ones count half.
	gapWindow = 64
	// priorWeight is the number of gaps that the history of all targets counts
	// for in the history of one.
	priorWeight = 4.0
	// neverWeight is the number of gaps that are assumed not to have ended:
	// the history holds only gaps that did.
	neverWeight = 0.5
)

// gaps is a histogram of the idle gaps of a target with exponential buckets.
type gaps struct {
	mass  []float32
	total float32
}

// assumedGaps is the history of a planner that knows none: one gap in each
// bucket up to a day. Without it a new planner would unload what it finds
// loaded.
func assumedGaps() gaps {
	g := gaps{mass: make([]float32, gapBuckets)}
	for i := range gapBucket((24 * time.Hour).Seconds()) {
		g.mass[i] = 1
		g.total++
	}
	return g
}

func gapBucket(seconds float64) int {
	if seconds <= gapBase {
		return 0
	}
	return min(gapBuckets-1, 1+int(math.Log(seconds/gapBase)/math.Log(gapFactor)))
}

// gapBound is the upper bound of a bucket in seconds.
func gapBound(i int) float64 { return gapBase * math.Pow(gapFactor, float64(i)) }

func (g *gaps) add(d time.Duration) {
	if g.mass == nil {
		g.mass = make([]float32, gapBuckets)
	}
	// Older gaps fade, so that a target that changes its habits is learned
	// again.
	if g.total >= gapWindow {
		for i := range g.mass {
			g.mass[i] /= 2
		}
		g.total /= 2
	}
	g.mass[gapBucket(d.Seconds())]++
	g.total++
}

// merged returns the histogram of a target mixed with the prior.
func (g *gaps) merged(prior *gaps) (mass [gapBuckets]float64) {
	for i := range mass {
		if g.mass != nil {
			mass[i] = float64(g.mass[i])
		}
		if prior.total > 0 {
			mass[i] += priorWeight * float64(prior.mass[i]) / float64(prior.total)
		}
	}
	return mass
}

// within is the probability that a target idle for age seconds is called in
// the next horizon seconds.
func (g *gaps) within(prior *gaps, age, horizon float64) float64 {
	mass := g.merged(prior)
	var soon, rest float64
	for i := range mass {
		lo, hi := 0.0, gapBound(i)
		if i > 0 {
			lo = gapBound(i - 1)
		}
		after := overlap(lo, hi, age, math.Inf(1))
		rest += mass[i] * after
		soon += mass[i] * overlap(lo, hi, age, age+horizon)
	}
	return soon / (rest + neverWeight)
}

// overlap is the share of [lo, hi) that lies in [from, to).
func overlap(lo, hi, from, to float64) float64 {
	a, b := math.Max(lo, from), math.Min(hi, to)
	if b <= a {
		return 0
	}
	return (b - a) / (hi - lo)
}

// keepUntil returns the idle age, in seconds, at which a replica idle for age
// should be unloaded: the age that minimises the expected idle time times
// idleCost (per second) plus the probability of a cold start times coldCost.
// It returns age if the replica should be unloaded now.
func (g *gaps) keepUntil(prior *gaps, age, idleCost, coldCost float64) float64 {
	if idleCost <= 0 {
		return gapBound(gapBuckets - 1)
	}
	mass := g.merged(prior)
	var alive float64
	first := gapBucket(age)
	for i := first; i < gapBuckets; i++ {
		share := mass[i]
		if i == first {
			lo := 0.0
			if i > 0 {
				lo = gapBound(i - 1)
			}
			share *= overlap(lo, gapBound(i), age, math.Inf(1))
			mass[i] = share
		}
		alive += share
	}
	alive += neverWeight
	best, bestCost := age, alive*coldCost
	idle, from := 0.0, age
	for i := first; i < gapBuckets; i++ {
		hi := gapBound(i)
		idle += (hi - from) * (alive - mass[i]/2)
		alive -= mass[i]
		from = hi
		if cost := idle*idleCost + alive*coldCost; cost < bestCost {
			best, bestCost = hi, cost
		}
	}
	return best
}

// decayingRate is an arrival rate that forgets over rateWindow.
type decayingRate struct {
	value float64 // arrivals in the window
	at    time.Time
}

const rateWindow = time.Minute

func (r *decayingRate) add(n int, now time.Time) {
	r.decay(now)
	r.value += float64(n)
}

func (r *decayingRate) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		if !r.at.IsZero() {
			r.value *= math.Exp(-d.Seconds() / rateWindow.Seconds())
		}
		r.at = now
	}
}

// perSecond is the arrival rate.
func (r *decayingRate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.value / rateWindow.Seconds()
}

// serviceTime learns the mean duration of requests: running requests divided
// by the arrival rate (Little's law).
type serviceTime struct {
	value    float64
	arrivals decayingRate
	running  float64
	since    time.Time
	at       time.Time
}

const (
	minServiceTime = 0.05 // seconds
	maxServiceTime = 120.0
	// minArrivals are needed in the window before the estimate is used.
	minArrivals = 20
)

func (s *serviceTime) arrived(n int, now time.Time) { s.arrivals.add(n, now) }

// observe takes the number of requests that run at all endpoints.
func (s *serviceTime) observe(running int, now time.Time) {
	if s.since.IsZero() {
		s.since, s.at = now, now
		return
	}
	d := now.Sub(s.at).Seconds()
	if d <= 0 {
		return
	}
	s.at = now
	w := 1 - math.Exp(-d/rateWindow.Seconds())
	s.running += w * (float64(running) - s.running)
	s.arrivals.decay(now)
	if now.Sub(s.since) < rateWindow || s.arrivals.value < minArrivals || s.running == 0 {
		return
	}
	v := s.running / s.arrivals.perSecond(now)
	s.value = math.Min(maxServiceTime, math.Max(minServiceTime, v))
}
