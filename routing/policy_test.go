package routing

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// simulation compares policies for choosing an endpoint. Several entry hosts
// receive bursts of requests, each endpoint runs as many requests as it has slots
// and queues the rest, and hosts see reports that are up to a second old. Times
// are in seconds.
type simulation struct {
	rng                     *rand.Rand
	hosts, endpoints, slots int
	running                 []int   // by endpoint; running and queued requests
	reported                []int   // by endpoint; running at the last report
	own                     [][]int // by host and endpoint; requests in flight
	ownReported             [][]int // by host and endpoint; own at the last report
	busyUntil               [][]float64
	smoothedOthers          [][]float64 // by host and endpoint; average of others over about ten reports
	background              int         // requests of another target, on a quarter of the endpoints
	events                  events
	queueTimes              []float64
}

type event struct {
	at       float64
	kind     int // 0 report, 1 burst, 2 request, 3 end of a request
	host     int
	endpoint int
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at < q[j].at }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// others estimates the requests of other hosts at an endpoint from the last
// report.
func (s *simulation) others(host, e int) int {
	return max(0, s.reported[e]-s.ownReported[host][e])
}

// The functions below estimate the load of an endpoint as seen by a host, in
// requests.

func (s *simulation) ownAndReported(host, e int) float64 {
	return float64(s.own[host][e] + s.others(host, e))
}
func (s *simulation) reportedOnly(_, e int) float64 { return float64(s.reported[e]) }
func (s *simulation) ownOnly(host, e int) float64   { return float64(s.own[host][e]) }
func (s *simulation) ownAndSmoothed(host, e int) float64 {
	return float64(s.own[host][e]) + s.smoothedOthers[host][e]
}

func (s *simulation) leastLoaded(host int, load func(int, int) float64) int {
	start, best := s.rng.IntN(s.endpoints), -1
	for i := range s.endpoints {
		if e := (start + i) % s.endpoints; best < 0 || load(host, e) < load(host, best) {
			best = e
		}
	}
	return best
}

func (s *simulation) twoChoices(host int, load func(int, int) float64) int {
	a, b := s.rng.IntN(s.endpoints), s.rng.IntN(s.endpoints)
	if load(host, b) < load(host, a) {
		return b
	}
	return a
}

// run simulates the given duration and returns the sorted waiting times of
// requests at endpoints. Utilisation is the fraction of the slots in use.
func (s *simulation) run(duration, utilisation float64, choose func(host int) int) []float64 {
	const service, burst = 2.0, 40
	for range s.hosts {
		s.own = append(s.own, make([]int, s.endpoints))
		s.ownReported = append(s.ownReported, make([]int, s.endpoints))
		s.smoothedOthers = append(s.smoothedOthers, make([]float64, s.endpoints))
	}
	s.running, s.reported = make([]int, s.endpoints), make([]int, s.endpoints)
	for e := range s.endpoints {
		s.busyUntil = append(s.busyUntil, make([]float64, s.slots))
		for i := range s.background {
			if e%4 == 0 {
				s.busyUntil[e][i] = 2 * duration
				s.running[e]++
			}
		}
	}
	rate := utilisation * float64(s.endpoints*s.slots-s.endpoints/4*s.background) / service / burst
	s.events = events{{at: 0, kind: 0}, {at: 0, kind: 1}}
	for {
		e, _ := heap.Pop(&s.events).(event)
		if e.at > duration {
			break
		}
		switch e.kind {
		case 0:
			copy(s.reported, s.running)
			for h := range s.hosts {
				copy(s.ownReported[h], s.own[h])
				for e := range s.endpoints {
					s.smoothedOthers[h][e] += 0.1 * (float64(s.others(h, e)) - s.smoothedOthers[h][e])
				}
			}
			heap.Push(&s.events, event{at: e.at + 1, kind: 0})
		case 1:
			for range burst {
				heap.Push(&s.events, event{at: e.at + 0.2*s.rng.Float64(), kind: 2, host: s.rng.IntN(s.hosts)})
			}
			heap.Push(&s.events, event{at: e.at + s.rng.ExpFloat64()/rate, kind: 1})
		case 2:
			chosen := choose(e.host)
			s.own[e.host][chosen]++
			s.running[chosen]++
			slot := 0
			for i, until := range s.busyUntil[chosen] {
				if until < s.busyUntil[chosen][slot] {
					slot = i
				}
			}
			begin := max(e.at, s.busyUntil[chosen][slot])
			s.queueTimes = append(s.queueTimes, begin-e.at)
			s.busyUntil[chosen][slot] = begin + s.rng.ExpFloat64()*service
			heap.Push(&s.events, event{at: s.busyUntil[chosen][slot], kind: 3, host: e.host, endpoint: chosen})
		case 3:
			s.own[e.host][e.endpoint]--
			s.running[e.endpoint]--
		}
	}
	slices.Sort(s.queueTimes)
	return s.queueTimes
}

// TestPolicies guards against a worse choice of endpoint. The policy in use counts
// a host's own requests immediately and averages those of other hosts over several
// reports; its p99 wait must not be more than 10% above that of any alternative.
// With the last report instead of the average, all hosts choose the endpoint that
// was idle in it. The results are logged.
func TestPolicies(t *testing.T) {
	const seed, duration, chosen = 7, 1500, "own and smoothed, least loaded"
	policies := map[string]func(*simulation, int) int{
		"own and reported, least loaded": func(s *simulation, h int) int { return s.leastLoaded(h, s.ownAndReported) },
		"own and reported, two choices":  func(s *simulation, h int) int { return s.twoChoices(h, s.ownAndReported) },
		"reports only, least loaded":     func(s *simulation, h int) int { return s.leastLoaded(h, s.reportedOnly) },
		"reports only, two choices":      func(s *simulation, h int) int { return s.twoChoices(h, s.reportedOnly) },
		"own only, least loaded":         func(s *simulation, h int) int { return s.leastLoaded(h, s.ownOnly) },
		"own and smoothed, least loaded": func(s *simulation, h int) int { return s.leastLoaded(h, s.ownAndSmoothed) },
		"own and smoothed, two choices":  func(s *simulation, h int) int { return s.twoChoices(h, s.ownAndSmoothed) },
		"random":                         func(s *simulation, _ int) int { return s.rng.IntN(s.endpoints) },
	}
	for _, background := range []int{0, 6} {
		for _, utilisation := range []float64{0.4, 0.6, 0.8} {
			p99 := map[string]float64{}
			for name, choose := range policies {
				s := &simulation{
					rng: rand.New(rand.NewPCG(seed, seed)), hosts: 9, endpoints: 20, slots: 8, background: background,
				}
				w := s.run(duration, utilisation, func(h int) int { return choose(s, h) })
				mean := 0.0
				for _, x := range w {
					mean += x / float64(len(w))
				}
				p99[name] = w[len(w)*99/100]
				t.Logf("background %d load %.1f p99 %6.3f s mean %6.3f s p95 %6.3f s n=%d %s", background, utilisation,
					w[len(w)*99/100], mean, w[len(w)*95/100], len(w), name)
			}
			for name, v := range p99 {
				require.LessOrEqual(t, p99[chosen], 1.1*v, "background %d load %.1f: %s is better", background, utilisation, name)
			}
		}
	}
}

// TestPreferredReplicas guards against many hosts that all choose the endpoint
// with the least load in their reports, and against too few preferred replicas.
func TestPreferredReplicas(t *testing.T) {
	const seed, duration, endpoints = 7, 400, 71
	for _, utilisation := range []float64{0.4, 0.6, 0.8} {
		p99 := map[int]float64{}
		for _, n := range []int{preferredReplicas, 2 * preferredReplicas, endpoints} {
			s := &simulation{rng: rand.New(rand.NewPCG(seed, seed)), hosts: 300, endpoints: endpoints, slots: 8}
			own := make([][]int, s.hosts)
			for h := range own {
				own[h] = s.rng.Perm(endpoints)[:n]
			}
			w := s.run(duration, utilisation, func(h int) int {
				s.rng.Shuffle(n, func(i, j int) { own[h][i], own[h][j] = own[h][j], own[h][i] })
				return slices.MinFunc(own[h], func(a, b int) int { return cmp.Compare(s.ownAndSmoothed(h, a), s.ownAndSmoothed(h, b)) })
			})
			p99[n] = w[len(w)*99/100]
			t.Logf("load %.1f, %d of %d endpoints: p99 %.3f s", utilisation, n, endpoints, p99[n])
		}
		require.LessOrEqual(t, p99[preferredReplicas], 1.5*p99[2*preferredReplicas], "load %.1f", utilisation)
		require.LessOrEqual(t, p99[preferredReplicas], p99[endpoints], "load %.1f", utilisation)
	}
}
