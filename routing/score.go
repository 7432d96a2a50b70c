package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"tamarackknot.example/tamarackknot/endpoint"
)

const (
	// maxScored limits the candidates scored for one request. If there are more,
	// this many are scored, starting at a random position.
	maxScored = 256
	// smallFleet is the number of endpoints up to which a host chooses among all
	// replicas of a target. In a larger fleet the reports of all endpoints would
	// exceed a host's share of the network; each host then prefers a few replicas
	// and uses the others only when these are full.
	smallFleet = 64
	// preferredReplicas is the number of replicas of a target that a host prefers.
	// In TestPreferredReplicas, waits with 2 are much shorter than with all replicas
	// and nearly as short as with 4, which need twice as many reports.
	preferredReplicas = 2
	// domainRankDivisor lowers the ranks of replicas in the host's failure domain;
	// they are this many times as likely to be preferred.
	domainRankDivisor = 4
	// The bonuses and the penalty are fractions of an endpoint's slots.
	prefixBonus = 0.25
	domainBonus = 0.10
	// triedPenalty ranks endpoints that failed this request after all others.
	triedPenalty = 10
	// prefixTableSize is the number of prompt prefixes whose endpoint is stored.
	prefixTableSize = 1 << 14
)

// choice is the endpoint with the lowest score and the values behind the score.
type choice struct {
	entry      *endpoint.Entry
	score      float64
	own        int64   // requests in flight from this host
	others     float64 // average of the requests from other hosts
	candidates int     // number of replicas
	eligible   int     // number of replicas scored that have a free slot
	prefix     bool    // the endpoint last got the prompt prefix
	domain     bool    // the endpoint is in this host's failure domain
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
	preferred := list.all[:list.preferred]
	for i := range preferred {
		preferred[i].entry.MarkUsed(now)
	}
	r.score(preferred, remembered, req, now, &best)
	if rest := list.all[list.preferred:]; len(rest) > 0 && (best.entry == nil || req.tried(best.entry)) {
		r.score(rest, remembered, req, now, &best)
		if best.entry != nil {
			best.entry.MarkUsed(now)
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
		if !c.entry.CanStart(now) {
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

// prefixTable maps hashes of prompt prefixes to the endpoint that last got them.
// Colliding entries overwrite each other, and concurrent writes may mix two
// entries; a wrong endpoint costs only a misplaced bonus.
type prefixTable struct {
	slots [prefixTableSize]struct {
		hash  atomic.Uint64
		entry atomic.Pointer[endpoint.Entry]
	}
}

func (p *prefixTable) get(hash uint64) *endpoint.Entry {
	s := &p.slots[hash%prefixTableSize]
	if s.hash.Load() != hash {
		return nil
	}
	return s.entry.Load()
}

func (p *prefixTable) put(hash uint64, e *endpoint.Entry) {
	s := &p.slots[hash%prefixTableSize]
	s.entry.Store(e)
	s.hash.Store(hash)
}
