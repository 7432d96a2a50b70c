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

// HostList is the platform's list of hosts. Readers see changes after a
// configurable lag.
type HostList struct {
	mu       sync.Mutex
	hosts    map[string]tamarackknot.Host
	versions versionHistory[[]tamarackknot.Host]
	lag      time.Duration
	down     bool
}

// NewHostList returns an empty list whose changes become visible after lag.
func NewHostList(lag time.Duration) *HostList {
	return &HostList{hosts: make(map[string]tamarackknot.Host), lag: lag}
}

// Put adds a host or replaces the host with the same name.
func (l *HostList) Put(h tamarackknot.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[h.Name] = h
	l.publish()
}

// Remove removes a host. It returns false if the host is not listed.
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

// SetLeaving sets whether a host is leaving. It returns false if the host is not
// listed.
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

// SetLag changes the lag. A longer lag does not restore versions that have
// already been pruned.
func (l *HostList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown sets whether reads fail.
func (l *HostList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Hosts returns the list as it was one lag ago, ordered by name.
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
