package membership

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

const (
	pollInterval = 2 * time.Second
	// confirmPolls is the number of consecutive polls that must omit a host
	// before it counts as removed from the list.
	confirmPolls = 2
)

var errEmptyList = errors.New("host list contains no entry host")

// pollHosts reads the host list every pollInterval until Close.
func (m *Membership) pollHosts() {
	defer m.running.Done()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		ctx, cancel := context.WithTimeout(m.ctx, pollInterval)
		hosts, err := m.cfg.HostList.Hosts(ctx)
		cancel()
		if m.ctx.Err() != nil {
			return
		}
		if err := m.mergeHosts(hosts, err); err != nil {
			m.cfg.Logger.Debug("failed to poll host list", "err", err)
		}
		select {
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
	}
}

// mergeHosts merges the result of one poll. A list without any entry host is
// treated as a read error, because otherwise every host would count as removed.
func (m *Membership) mergeHosts(hosts []tamarackknot.Host, err error) error {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		if h.Role == tamarackknot.RoleEntry && h.Name != "" && len(h.Name) <= maxNameBytes {
			present[h.Name] = true
		}
	}
	if err == nil && len(present) == 0 {
		err = errEmptyList
	}
	if err != nil {
		m.listReadableSince = time.Time{}
		return err
	}
	m.listRead = true
	if m.listReadableSince.IsZero() {
		m.listReadableSince = now
	}
	for _, h := range hosts {
		if present[h.Name] && h.Role == tamarackknot.RoleEntry {
			m.mergeHost(h, now)
		}
	}
	for _, mb := range m.byName {
		if present[mb.host.Name] || !mb.listed {
			continue
		}
		if mb.missedPolls++; mb.missedPolls >= confirmPolls {
			mb.listed = false
			mb.delistedAt, mb.delistedIncarnation = now, mb.incarnation
		}
	}
	return nil
}

// mergeHost merges one entry host of the list.
func (m *Membership) mergeHost(h tamarackknot.Host, now time.Time) {
	mb := m.members[h.Name]
	if mb == nil {
		if mb = m.add(h.Name, now); mb == nil {
			return
		}
	}
	mb.listed, mb.missedPolls = true, 0
	if mb == m.self {
		return
	}
	mb.listLeaving = h.Leaving
	// The list lags, so the addresses that a responsive member reports of itself
	// take precedence.
	if !mb.responsive() || mb.host.PeerAddress == "" {
		mb.host = h
	}
}
