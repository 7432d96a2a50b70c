package routing

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// simulation compares policies that choose an endpoint: several entry hosts
// receive bursts of requests, endpoints run slots requests at once and queue
// the rest, and hosts see reports that are up to a second old. Times are in
// seconds.
type simulation struct {
	rng                     *rand.Rand
	hosts, endpoints, slots int
	running                 []int   // by endpoint, queued ones included
	reported                []int   // by endpoint
	own                     [][]int // by host and endpoint
	ownReported             [][]int // own when the report was made
	busyUntil               [][]float64
	smooth                  [][]float64 // by host and endpoint: average of others
	background              int         // requests of another target, on a quarter of the endpoints
	events                  events
	waits                   []float64
}

type event struct {
	at   float64
	kind int // 0 report, 1 burst, 2 request, 3 end of a request
	host int
	end  int
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

// others estimates the requests of other hosts from the last report.
func (s *simulation) others(host, e int) int {
	return max(0, s.reported[e]-s.ownReported[host][e])
}

// smoothed is the average of others over about ten reports.
func (s *simulation) atOnce(host, e int) float64  { return float64(s.own[host][e] + s.others(host, e)) }
func (s *simulation) lagging(_, e int) float64    { return float64(s.reported[e]) }
func (s *simulation) ownOnly(host, e int) float64 { return float64(s.own[host][e]) }
func (s *simulation) smoothed(host, e int) float64 {
	return float64(s.own[host][e]) + s.smooth[host][e]
}

func (s *simulation) least(host int, load func(int, int) float64) int {
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

// run returns the sorted waits at endpoints.
func (s *simulation) run(duration, utilisation float64, choose func(host int) int) []float64 {
	const service, burst = 2.0, 40
	for range s.hosts {
		s.own = append(s.own, make([]int, s.endpoints))
		s.ownReported = append(s.ownReported, make([]int, s.endpoints))
		s.smooth = append(s.smooth, make([]float64, s.endpoints))
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
					s.smooth[h][e] += 0.1 * (float64(s.others(h, e)) - s.smooth[h][e])
				}
			}
			heap.Push(&s.events, event{at: e.at + 1, kind: 0})
		case 1:
			for range burst {
				heap.Push(&s.events, event{at: e.at + 0.2*s.rng.Float64(), kind: 2, host: s.rng.IntN(s.hosts)})
			}
			heap.Push(&s.events, event{at: e.at + s.rng.ExpFloat64()/rate, kind: 1})
		case 2:
			end := choose(e.host)
			s.own[e.host][end]++
			s.running[end]++
			slot := 0
			for i, until := range s.busyUntil[end] {
				if until < s.busyUntil[end][slot] {
					slot = i
				}
			}
			begin := max(e.at, s.busyUntil[end][slot])
			s.waits = append(s.waits, begin-e.at)
			s.busyUntil[end][slot] = begin + s.rng.ExpFloat64()*service
			heap.Push(&s.events, event{at: s.busyUntil[end][slot], kind: 3, host: e.host, end: end})
		case 3:
			s.own[e.host][e.end]--
			s.running[e.end]--
		}
	}
	slices.Sort(s.waits)
	return s.waits
}

// TestPolicies guards the choice of section 6.2: own requests at once and the
// average of the others must not be clearly worse than any alternative. With
// the last report instead of the average all hosts choose the endpoint that
// was idle in it. The figures are logged.
func TestPolicies(t *testing.T) {
	const seed, duration, chosen = 7, 1500, "own and smoothed, least"
	policies := map[string]func(*simulation, int) int{
		"own at once, least":            func(s *simulation, h int) int { return s.least(h, s.atOnce) },
		"own at once, two choices":      func(s *simulation, h int) int { return s.twoChoices(h, s.atOnce) },
		"reports only, least":           func(s *simulation, h int) int { return s.least(h, s.lagging) },
		"reports only, two choices":     func(s *simulation, h int) int { return s.twoChoices(h, s.lagging) },
		"own only, least":               func(s *simulation, h int) int { return s.least(h, s.ownOnly) },
		"own and smoothed, least":       func(s *simulation, h int) int { return s.least(h, s.smoothed) },
		"own and smoothed, two choices": func(s *simulation, h int) int { return s.twoChoices(h, s.smoothed) },
		"random":                        func(s *simulation, _ int) int { return s.rng.IntN(s.endpoints) },
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

// TestPreferred guards against many hosts that all choose the endpoint with the
// least load in their reports, and against too few preferred replicas.
func TestPreferred(t *testing.T) {
	const seed, duration, endpoints = 7, 400, 71
	for _, utilisation := range []float64{0.4, 0.6, 0.8} {
		p99 := map[int]float64{}
		for _, n := range []int{preferred, 2 * preferred, endpoints} {
			s := &simulation{rng: rand.New(rand.NewPCG(seed, seed)), hosts: 300, endpoints: endpoints, slots: 8}
			own := make([][]int, s.hosts)
			for h := range own {
				own[h] = s.rng.Perm(endpoints)[:n]
			}
			w := s.run(duration, utilisation, func(h int) int {
				s.rng.Shuffle(n, func(i, j int) { own[h][i], own[h][j] = own[h][j], own[h][i] })
				return slices.MinFunc(own[h], func(a, b int) int { return cmp.Compare(s.smoothed(h, a), s.smoothed(h, b)) })
			})
			p99[n] = w[len(w)*99/100]
			t.Logf("load %.1f, %d of %d endpoints: p99 %.3f s", utilisation, n, endpoints, p99[n])
		}
		require.LessOrEqual(t, p99[preferred], 1.5*p99[2*preferred], "load %.1f", utilisation)
		require.LessOrEqual(t, p99[preferred], p99[endpoints], "load %.1f", utilisation)
	}
}
