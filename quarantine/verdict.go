package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of endpoints that must have crashed under a part which no
	// endpoint is known to have answered, minCrashesAnswered that under one which was
	// answered before.
	minCrashes         = 2
	minCrashesAnswered = 6
	// firstBanTime is how long after the last crash a part is rejected everywhere that is
	// blamed for the least number of crashes, or that was answered before. After a ban the
	// part is on probation.
	firstBanTime = 5 * time.Second
	// banTime is the same after a further crash under a part that was never answered; it
	// doubles with each one after that, up to maxBanDoublings times.
	banTime         = time.Minute
	maxBanDoublings = 3
	// aliveMargin is how long after its loss an endpoint must have answered for the loss
	// not to count: hosts notice it at slightly different times.
	aliveMargin = 250 * time.Millisecond
	// maxAliveDelay is how long after its loss an answer still says so. Later it may come
	// from the next start of the endpoint, if its entry is out of date.
	maxAliveDelay = 2 * time.Second
)

// partID identifies a part of a prompt within a service.
type partID [8]byte

// start identifies one start of an endpoint.
type start struct {
	endpoint string
	bornMs   int64
}

// loss says that an endpoint broke off answers that had hardly begun. Times are on the
// clock of the List.
type loss struct {
	at time.Duration // the last such answer
	// aliveAt is when the endpoint answered a host after a loss; 0 if it is not known to
	// have done so.
	aliveAt time.Duration
	// parts are those of the prompts of these answers; false for one that was answered
	// since.
	parts map[partID]bool
}

// crashed reports whether the endpoint has not answered soon after the loss.
func (l *loss) crashed() bool { return !l.refutedBy(l.aliveAt) }

// refutedBy reports whether an answer at a time shows that the endpoint has not crashed.
func (l *loss) refutedBy(answeredAt time.Duration) bool {
	return answeredAt >= l.at+aliveMargin && answeredAt <= l.at+maxAliveDelay
}

// suspicion is a group of parts under which the same endpoints crashed.
type suspicion struct {
	parts   []partID
	crashes int
	// bannedUntil is the end of the ban; the parts are on probation from then on.
	bannedUntil time.Duration
}

// blame returns the parts to which the crashes are attributed. A part is not blamed for
// crashes before its last answer, nor for those that a more likely part explains: first
// the parts that were never answered, then those with the most crashes. Parts with the
// same crashes form a group, since any of them may be the cause. lastAnswer returns when
// a part was last answered, 0 if that is not known.
func blame(losses map[start]*loss, lastAnswer func(partID) time.Duration) []suspicion {
	open := openCrashes(losses)
	var out []suspicion
	for {
		group := mostLikely(open, lastAnswer)
		if len(group) == 0 {
			return out
		}
		explained := open[group[0]]
		out = append(out, newSuspicion(group, explained, losses, lastAnswer(group[0]) > 0))
		for _, p := range group {
			delete(open, p)
		}
		for _, crashes := range open {
			maps.DeleteFunc(crashes, func(s start, _ bool) bool { return explained[s] })
		}
	}
}

// openCrashes returns the crashes under each part that was not answered since, without
// parts that have too few.
func openCrashes(losses map[start]*loss) map[partID]map[start]bool {
	count := make(map[partID]int)
	for _, l := range losses {
		for p, unanswered := range l.parts {
			if unanswered && l.crashed() {
				count[p]++
			}
		}
	}
	open := make(map[partID]map[start]bool)
	for p, n := range count {
		if n < minCrashes {
			continue
		}
		open[p] = make(map[start]bool, n)
		for s, l := range losses {
			if l.parts[p] && l.crashed() {
				open[p][s] = true
			}
		}
	}
	return open
}

// mostLikely returns the parts with the same crashes that are blamed first, nil if there
// are too few crashes for any.
func mostLikely(open map[partID]map[start]bool, lastAnswer func(partID) time.Duration) []partID {
	rank := func(p partID) int {
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
	var best partID
	bestRank := 0
	for p := range open {
		if r := rank(p); r > bestRank || r == bestRank && r > 0 && slices.Compare(p[:], best[:]) < 0 {
			best, bestRank = p, r
		}
	}
	if bestRank == 0 {
		return nil
	}
	var group []partID
	for p := range open {
		if rank(p) == bestRank && sameCrashes(open[p], open[best]) {
			group = append(group, p)
		}
	}
	slices.SortFunc(group, func(a, b partID) int { return slices.Compare(a[:], b[:]) })
	return group
}

func sameCrashes(a, b map[start]bool) bool {
	for s := range a {
		if !b[s] {
			return false
		}
	}
	return len(a) == len(b)
}

func newSuspicion(group []partID, crashes map[start]bool, losses map[start]*loss, answered bool) suspicion {
	var last time.Duration
	for s := range crashes {
		last = max(last, losses[s].at)
	}
	ban := firstBanTime
	if further := len(crashes) - minCrashes - 1; further >= 0 && !answered {
		ban = banTime << min(further, maxBanDoublings)
	}
	return suspicion{parts: group, crashes: len(crashes), bannedUntil: last + ban}
}

// applies reports whether a prompt holds all parts of the group, so that whichever of
// them is the cause is in it.
func (s *suspicion) applies(parts []partID) bool {
	return !slices.ContainsFunc(s.parts, func(p partID) bool { return !slices.Contains(parts, p) })
}

// compareStarts orders starts of endpoints.
func compareStarts(a, b start) int {
	return cmp.Or(cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.bornMs, b.bornMs))
}
