package fake

import "time"

// lagging keeps the versions of a value that readers may still see when they
// see changes late. Its owner guards it with a lock.
type lagging[T any] struct {
	versions []version[T]
}

type version[T any] struct {
	at    time.Time
	value T
}

func (l *lagging[T]) set(now time.Time, value T, lag time.Duration) {
	l.versions = append(l.versions, version[T]{at: now, value: value})
	l.prune(now.Add(-lag))
}

// get returns the value as it was at the given time, or the zero value.
func (l *lagging[T]) get(at time.Time) T {
	for i := len(l.versions) - 1; i >= 0; i-- {
		if !l.versions[i].at.After(at) {
			return l.versions[i].value
		}
	}
	var zero T
	return zero
}

func (l *lagging[T]) prune(at time.Time) {
	keep := 0
	for keep+1 < len(l.versions) && !l.versions[keep+1].at.After(at) {
		keep++
	}
	l.versions = l.versions[keep:]
}
