package placement

import (
	"math"
	"time"
)

const (
	gapBuckets = 32
	gapBase    = 1.0 // seconds; upper bound of the first bucket
	// gapFactor is the ratio of successive bucket bounds: 32 buckets reach from
	// 1 s to half a year.
	gapFactor = 1.7
	// gapWindow is the number of gaps after which the weight of all recorded
	// gaps is halved.
	gapWindow = 64
	// priorWeight is the weight, in gaps, of the prior in the histogram of a
	// target.
	priorWeight = 4.0
	// openGapWeight is the weight, in gaps, of the case that the target is
	// never called again. The histogram holds only gaps that ended.
	openGapWeight = 0.5
)

// gapHistogram is a histogram of the idle gaps between calls of a target, with
// exponential buckets.
type gapHistogram struct {
	counts []float32
	total  float32
}

// uniformPrior returns the prior of a planner without history: one gap in each
// bucket up to a day. Without it a new planner would unload all replicas that
// it finds loaded.
func uniformPrior() gapHistogram {
	g := gapHistogram{counts: make([]float32, gapBuckets)}
	for i := range gapBucket((24 * time.Hour).Seconds()) {
		g.counts[i] = 1
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

// gapBound returns the upper bound of a bucket in seconds.
func gapBound(i int) float64 { return gapBase * math.Pow(gapFactor, float64(i)) }

func (g *gapHistogram) add(d time.Duration) {
	if g.counts == nil {
		g.counts = make([]float32, gapBuckets)
	}
	// Older gaps decay so that the histogram follows changes in usage.
	if g.total >= gapWindow {
		for i := range g.counts {
			g.counts[i] /= 2
		}
		g.total /= 2
	}
	g.counts[gapBucket(d.Seconds())]++
	g.total++
}

// merged returns the counts of a target plus the weighted prior.
func (g *gapHistogram) merged(prior *gapHistogram) (counts [gapBuckets]float64) {
	for i := range counts {
		if g.counts != nil {
			counts[i] = float64(g.counts[i])
		}
		if prior.total > 0 {
			counts[i] += priorWeight * float64(prior.counts[i]) / float64(prior.total)
		}
	}
	return counts
}

// callProbability returns the probability that a target that has been idle for
// age seconds is called within the next horizon seconds.
func (g *gapHistogram) callProbability(prior *gapHistogram, age, horizon float64) float64 {
	counts := g.merged(prior)
	var called, open float64
	for i := range counts {
		lo, hi := 0.0, gapBound(i)
		if i > 0 {
			lo = gapBound(i - 1)
		}
		after := overlap(lo, hi, age, math.Inf(1))
		open += counts[i] * after
		called += counts[i] * overlap(lo, hi, age, age+horizon)
	}
	return called / (open + openGapWeight)
}

// overlap returns the fraction of [lo, hi) that lies in [from, to).
func overlap(lo, hi, from, to float64) float64 {
	a, b := math.Max(lo, from), math.Min(hi, to)
	if b <= a {
		return 0
	}
	return (b - a) / (hi - lo)
}

// optimalKeepTime returns the idle time, in seconds, after which a replica that
// has been idle for age seconds should be unloaded. It minimises the expected
// idle time times idleCost (per second) plus the probability of a cold start
// times coldCost. It returns age if the replica should be unloaded now.
func (g *gapHistogram) optimalKeepTime(prior *gapHistogram, age, idleCost, coldCost float64) float64 {
	if idleCost <= 0 {
		return gapBound(gapBuckets - 1)
	}
	counts := g.merged(prior)
	var surviving float64
	first := gapBucket(age)
	for i := first; i < gapBuckets; i++ {
		share := counts[i]
		if i == first {
			lo := 0.0
			if i > 0 {
				lo = gapBound(i - 1)
			}
			share *= overlap(lo, gapBound(i), age, math.Inf(1))
			counts[i] = share
		}
		surviving += share
	}
	surviving += openGapWeight
	best, bestCost := age, surviving*coldCost
	idle, from := 0.0, age
	for i := first; i < gapBuckets; i++ {
		hi := gapBound(i)
		idle += (hi - from) * (surviving - counts[i]/2)
		surviving -= counts[i]
		from = hi
		if cost := idle*idleCost + surviving*coldCost; cost < bestCost {
			best, bestCost = hi, cost
		}
	}
	return best
}

// decayingRate estimates an arrival rate with exponential decay over
// rateWindow.
type decayingRate struct {
	count float64 // decayed number of arrivals
	at    time.Time
}

const rateWindow = time.Minute

func (r *decayingRate) add(n int, now time.Time) {
	r.decay(now)
	r.count += float64(n)
}

func (r *decayingRate) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		if !r.at.IsZero() {
			r.count *= math.Exp(-d.Seconds() / rateWindow.Seconds())
		}
		r.at = now
	}
}

// perSecond returns the arrival rate.
func (r *decayingRate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.count / rateWindow.Seconds()
}

// serviceTime estimates the mean duration of requests, in seconds, by Little's
// law: running requests divided by the arrival rate.
type serviceTime struct {
	mean        float64
	arrivals    decayingRate
	meanRunning float64
	since       time.Time
	at          time.Time
}

const (
	minServiceTime = 0.05 // seconds
	maxServiceTime = 120.0
	// minArrivals is the decayed number of arrivals below which the estimate is
	// not updated.
	minArrivals = 20
)

func (s *serviceTime) arrived(n int, now time.Time) { s.arrivals.add(n, now) }

// observe updates the estimate with the number of requests running on all
// endpoints.
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
	s.meanRunning += w * (float64(running) - s.meanRunning)
	s.arrivals.decay(now)
	if now.Sub(s.since) < rateWindow || s.arrivals.count < minArrivals || s.meanRunning == 0 {
		return
	}
	v := s.meanRunning / s.arrivals.perSecond(now)
	s.mean = math.Min(maxServiceTime, math.Max(minServiceTime, v))
}
