package fake

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

var _ tamarackknot.HostList = (*HostList)(nil)

// HostList is a list of hosts whose readers see changes late.
type HostList struct {
	mu       sync.Mutex
	hosts    map[string]tamarackknot.Host
	versions lagging[[]tamarackknot.Host]
	lag      time.Duration
	down     bool
}

// NewHostList returns an empty list. Readers see a change after lag.
func NewHostList(lag time.Duration) *HostList {
	return &HostList{hosts: make(map[string]tamarackknot.Host), lag: lag}
}

// Put adds a host or replaces the one of the same name.
func (l *HostList) Put(h tamarackknot.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[h.Name] = h
	l.publish()
}

// Remove drops a host. It returns false if the host is not listed.
func (l *HostList) Remove(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.hosts[name]; !ok {
		return false
	}
	delete(l.hosts, name)
	l.publish()
	return true
}

// SetLeaving changes the leaving mark of a host. It returns false if the host
// is not listed.
func (l *HostList) SetLeaving(name string, leaving bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.hosts[name]
	if !ok {
		return false
	}
	h.Leaving = leaving
	l.hosts[name] = h
	l.publish()
	return true
}

// SetLag changes how late readers see changes. With a longer lag, versions
// that were already dropped are not brought back.
func (l *HostList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown makes reads fail.
func (l *HostList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Hosts returns the hosts as they were before the lag, ordered by name.
func (l *HostList) Hosts(ctx context.Context) ([]tamarackknot.Host, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errors.New("host list is down")
	}
	return slices.Clone(l.versions.get(time.Now().Add(-l.lag))), nil
}

func (l *HostList) publish() {
	hosts := slices.SortedFunc(maps.Values(l.hosts), func(a, b tamarackknot.Host) int {
		return strings.Compare(a.Name, b.Name)
	})
	l.versions.set(time.Now(), hosts, l.lag)
}
