package quarantine

import (
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// minCrashes is the number of endpoints that must have crashed under a cause which no
	// endpoint is known to have answered, minCrashesAnswered that under one which was
	// answered before.
	minCrashes         = 2
	minCrashesAnswered = 6
	// firstBanTime is how long after the last crash a cause is rejected everywhere that is
	// blamed for the least number of crashes, or that was answered before. After a ban the
	// cause is on probation.
	firstBanTime = 5 * time.Second
	// banTime is the same after a further crash under a part that was never answered; it
	// doubles with each one after that, up to maxBanDoublings times. A whole request, whose
	// ban affects no other one, is banned for the longest time at once.
	banTime         = time.Minute
	maxBanDoublings = 3
	// aliveMargin is how long after its loss an endpoint must have answered for the loss
	// not to count: hosts notice it at slightly different times.
	aliveMargin = 250 * time.Millisecond
	// restartTime is the least time from a crash until the endpoint is back. What the
	// endpoint does later is that of its next start, although its entry may still name the
	// earlier one.
	restartTime = 2 * time.Second
)

// hashBytes is the size of the hash of a cause.
const hashBytes = len(tamarackknot.ContentID{})

// causeID identifies what endpoints may crash under: a whole request, or a part of prompts
// within a service.
type causeID struct {
	hash    [hashBytes]byte
	request bool
}

func (c causeID) String() string { return hex.EncodeToString(c.hash[:]) }

func isRequest(c causeID) bool { return c.request }

func compareCauses(a, b causeID) int {
	if a.request != b.request {
		if a.request {
			return 1
		}
		return -1
	}
	return slices.Compare(a.hash[:], b.hash[:])
}

// start identifies one start of an endpoint.
type start struct {
	endpoint string
	bornMs   int64
}

// loss says that an endpoint broke off answers that had hardly begun. Times are on the
// clock of the List.
type loss struct {
	start start
	at    time.Duration // the last such answer
	// aliveAt is when the endpoint answered a host after a loss; 0 if it is not known to
	// have done so.
	aliveAt time.Duration
	// causes are the requests that were not answered, and the parts of their prompts; false
	// for one that was answered since.
	causes map[causeID]bool
}

// crashed reports whether the endpoint has not answered soon after the loss.
func (l *loss) crashed() bool { return !l.refutedBy(l.aliveAt) }

// refutedBy reports whether an answer at a time shows that the endpoint has not crashed.
func (l *loss) refutedBy(answeredAt time.Duration) bool {
	return answeredAt >= l.at+aliveMargin && answeredAt <= l.at+restartTime
}

// includes reports whether an answer lost at a time belongs to this loss.
func (l *loss) includes(at time.Duration) bool { return (at - l.at).Abs() <= restartTime }

// suspicion is a group of causes under which the same endpoints crashed.
type suspicion struct {
	causes  []causeID
	crashes int
	// bannedUntil is the end of the ban; the causes are on probation from then on.
	bannedUntil time.Duration
}

// blame returns the causes to which the crashes are attributed. A cause is not blamed for
// crashes before its last answer, nor for those that a more likely one explains: first
// the causes that were never answered, then those with the most crashes. Causes with the
// same crashes form a group, since any of them may be to blame. lastAnswer returns when
// a cause was last answered, 0 if that is not known.
func blame(losses []*loss, lastAnswer func(causeID) time.Duration) []suspicion {
	open := openCrashes(losses)
	var out []suspicion
	for {
		group := mostLikely(open, lastAnswer)
		if len(group) == 0 {
			return out
		}
		explained := open[group[0]]
		out = append(out, newSuspicion(group, explained, lastAnswer(group[0]) > 0))
		for _, p := range group {
			delete(open, p)
		}
		for _, crashes := range open {
			maps.DeleteFunc(crashes, func(l *loss, _ bool) bool { return explained[l] })
		}
	}
}

// openCrashes returns the crashes under each cause that was not answered since, without
// causes that have too few.
func openCrashes(losses []*loss) map[causeID]map[*loss]bool {
	count := make(map[causeID]int)
	for _, l := range losses {
		for p, unanswered := range l.causes {
			if unanswered && l.crashed() {
				count[p]++
			}
		}
	}
	open := make(map[causeID]map[*loss]bool)
	for p, n := range count {
		if n < minCrashes {
			continue
		}
		open[p] = make(map[*loss]bool, n)
		for _, l := range losses {
			if l.causes[p] && l.crashed() {
				open[p][l] = true
			}
		}
	}
	return open
}

// mostLikely returns the causes with the same crashes that are blamed first, nil if there
// are too few crashes for any.
func mostLikely(open map[causeID]map[*loss]bool, lastAnswer func(causeID) time.Duration) []causeID {
	rank := func(p causeID) int {
		n := len(open[p])
		switch answered := lastAnswer(p) > 0; {
		case !answered && n >= minCrashes:
			return n + 1<<20
		case answered && n >= minCrashesAnswered:
			return n
		default:
			return 0
		}
	}
	var best causeID
	bestRank := 0
	for p := range open {
		if r := rank(p); r > bestRank || r == bestRank && r > 0 && compareCauses(p, best) < 0 {
			best, bestRank = p, r
		}
	}
	if bestRank == 0 {
		return nil
	}
	var group []causeID
	for p := range open {
		if rank(p) == bestRank && sameCrashes(open[p], open[best]) {
			group = append(group, p)
		}
	}
	slices.SortFunc(group, compareCauses)
	return group
}

func sameCrashes(a, b map[*loss]bool) bool {
	for l := range a {
		if !b[l] {
			return false
		}
	}
	return len(a) == len(b)
}

func newSuspicion(group []causeID, crashes map[*loss]bool, answered bool) suspicion {
	var last time.Duration
	for l := range crashes {
		last = max(last, l.at)
	}
	ban := firstBanTime
	if further := len(crashes) - minCrashes - 1; further >= 0 && !answered {
		if slices.ContainsFunc(group, isRequest) {
			further = maxBanDoublings
		}
		ban = banTime << min(further, maxBanDoublings)
	}
	return suspicion{causes: group, crashes: len(crashes), bannedUntil: last + ban}
}

// match says which requests a suspicion concerns.
type match int

const (
	// matchNone: whatever of the group is to blame, it is not in the request, or the request
	// can't be told from others in the group.
	matchNone match = iota
	// matchRequest: the request is in the group but lacks parts that may be to blame in its
	// place.
	matchRequest
	// matchAll: whatever of the group is to blame, it is in the request.
	matchAll
)

// match returns how the suspicion concerns a request with these causes. Several requests with
// no part in common can't be told apart, and none of them is rejected.
func (s *suspicion) match(causes []causeID) match {
	parts, missing, requests, matches := 0, 0, 0, 0
	for _, c := range s.causes {
		held := slices.Contains(causes, c)
		switch {
		case !c.request:
			parts++
			if !held {
				missing++
			}
		default:
			requests++
			if held {
				matches++
			}
		}
	}
	switch {
	case requests > 0 && matches == 0, requests > 1 && parts == 0:
		return matchNone
	case missing == 0:
		return matchAll
	case matches > 0 && s.crashes > minCrashes:
		return matchRequest
	default:
		return matchNone
	}
}
