package fake

import "time"

// versionHistory keeps the recent versions of a value, for readers that see
// changes after a lag. It is not safe for concurrent use.
type versionHistory[T any] struct {
	versions []version[T]
}

type version[T any] struct {
	at    time.Time
	value T
}

// set adds a version and prunes those that are no longer visible with lag.
func (l *versionHistory[T]) set(now time.Time, value T, lag time.Duration) {
	l.versions = append(l.versions, version[T]{at: now, value: value})
	l.prune(now.Add(-lag))
}

// get returns the value at the given time, or the zero value if there was none.
func (l *versionHistory[T]) get(at time.Time) T {
	for i := len(l.versions) - 1; i >= 0; i-- {
		if !l.versions[i].at.After(at) {
			return l.versions[i].value
		}
	}
	var zero T
	return zero
}

// prune removes the versions that were already replaced at the given time.
func (l *versionHistory[T]) prune(at time.Time) {
	keep := 0
	for keep+1 < len(l.versions) && !l.versions[keep+1].at.After(at) {
		keep++
	}
	l.versions = l.versions[keep:]
}
