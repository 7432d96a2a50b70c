package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"tamarackknot.example/tamarackknot/endpoint"
)

const (
	// maxScored bounds the candidates scored for one request. Of more, a
	// window at a random position is scored.
	maxScored = 256
	// smallFleet is the number of endpoints up to which a host chooses among
	// all replicas of a target. Above it, reports of all endpoints would take
	// more than a host's share of the network; each host then prefers a few of
	// the replicas, and uses the others only when these are full.
	smallFleet = 64
	// preferred is the number of replicas of a target that a host prefers. In
	// TestPreferred 2 serve much better than all and nearly as well as 4, and
	// need half as many reports.
	preferred = 2
	// domainRank makes replicas in the host's failure domain this many times
	// as likely to be preferred.
	domainRank = 4
	// The bonuses are in units of the share of an endpoint's slots in use.
	prefixBonus = 0.25
	domainBonus = 0.10
	// triedPenalty puts an endpoint that failed this request behind all others.
	triedPenalty = 10
	// prefixSlots is the number of prompt prefixes remembered.
	prefixSlots = 1 << 14
)

// choice is the result of scoring.
type choice struct {
	entry      *endpoint.Entry
	score      float64
	own        int64
	others     float64
	candidates int
	eligible   int
	prefix     bool
	domain     bool
}

// choose filters the candidates of a target and returns the one with the
// lowest score; its entry is nil if none can take the request.
func (r *Router) choose(t *target, req *Request, now time.Time) choice {
	var best choice
	list := t.candidates.Load()
	if list == nil || len(list.all) == 0 {
		return best
	}
	best.candidates = len(list.all)
	remembered := r.prefixes.get(t.hash ^ req.Prefix)
	first := list.all[:list.preferred]
	for i := range first {
		first[i].entry.Use(now)
	}
	r.score(first, remembered, req, now, &best)
	if rest := list.all[list.preferred:]; len(rest) > 0 && (best.entry == nil || req.tried(best.entry)) {
		r.score(rest, remembered, req, now, &best)
		if best.entry != nil {
			best.entry.Use(now)
		}
	}
	return best
}

// score replaces best if one of the candidates is better.
func (r *Router) score(cs []candidate, remembered *endpoint.Entry, req *Request, now time.Time, best *choice) {
	n := len(cs)
	start := rand.IntN(n) // spreads ties
	for i := range min(n, maxScored) {
		c := &cs[(start+i)%n]
		if c.version != req.Version || !c.entry.Available(now) {
			continue
		}
		spec := c.entry.Spec()
		own, _, smoothed := c.entry.Load()
		if !c.entry.Free(now) {
			continue
		}
		best.eligible++
		score := (float64(own+1) + smoothed) / float64(spec.Slots)
		prefix := req.Prefix != 0 && remembered == c.entry
		domain := spec.FailureDomain == r.cfg.FailureDomain
		if prefix {
			score -= prefixBonus
		}
		if domain {
			score -= domainBonus
		}
		if req.tried(c.entry) {
			score += triedPenalty
		}
		if best.entry == nil || score < best.score {
			best.entry, best.score, best.own, best.others = c.entry, score, own, smoothed
			best.prefix, best.domain = prefix, domain
		}
	}
}

// prefixTable remembers the endpoint that last got a prompt prefix. Its
// entries overwrite each other; a wrong hit costs only a misplaced bonus.
type prefixTable struct {
	slots [prefixSlots]struct {
		hash  atomic.Uint64
		entry atomic.Pointer[endpoint.Entry]
	}
}

func (p *prefixTable) get(hash uint64) *endpoint.Entry {
	s := &p.slots[hash%prefixSlots]
	if s.hash.Load() != hash {
		return nil
	}
	return s.entry.Load()
}

func (p *prefixTable) put(hash uint64, e *endpoint.Entry) {
	s := &p.slots[hash%prefixSlots]
	s.entry.Store(e)
	s.hash.Store(hash)
}
