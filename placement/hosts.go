package placement

import (
	"context"
	"time"

	"tamarackknot.example/tamarackknot"
)

const hostInterval = 2 * time.Second

// hostView is the newest host list.
type hostView struct {
	known     bool
	byName    map[string]tamarackknot.Host
	byAddress map[string]tamarackknot.Host
	// missing is since when endpoints are not listed, by name.
	missing map[string]time.Time
	at      time.Time
}

func (v *hostView) lookup(name, address string) (tamarackknot.Host, bool) {
	if h, ok := v.byName[name]; ok {
		return h, true
	}
	h, ok := v.byAddress[address]
	return h, ok
}

func (v *hostView) leaving(name, address string) bool {
	h, ok := v.lookup(name, address)
	return ok && h.Leaving
}

// droppedSince is since when the list does not have an endpoint; zero if it
// does or no list was read.
func (v *hostView) droppedSince(name, address string) time.Time {
	if !v.known {
		return time.Time{}
	}
	if _, ok := v.lookup(name, address); ok {
		delete(v.missing, name)
		return time.Time{}
	}
	if _, ok := v.missing[name]; !ok {
		v.missing[name] = v.at
	}
	return v.missing[name]
}

// hostPoll reads the host list at intervals.
type hostPoll struct {
	c *Controller
}

// hostList is one successful read of the list.
type hostList struct {
	hosts []tamarackknot.Host
}

func (p *hostPoll) run(ctx context.Context) {
	ticker := time.NewTicker(hostInterval)
	defer ticker.Stop()
	for {
		call, cancel := context.WithTimeout(ctx, hostInterval)
		hosts, err := p.c.cfg.Hosts.Hosts(call)
		cancel()
		if err == nil {
			p.c.post(ctx, hostList{hosts: hosts})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// apply replaces the view. A list without entry hosts cannot be right, since
// this process runs on one; it is ignored.
func (l hostList) apply(c *Controller, now time.Time) {
	entries := 0
	view := hostView{
		known: true, byName: make(map[string]tamarackknot.Host), byAddress: make(map[string]tamarackknot.Host),
		missing: c.hosts.missing, at: now,
	}
	if view.missing == nil {
		view.missing = make(map[string]time.Time)
	}
	for _, h := range l.hosts {
		if h.Role == tamarackknot.RoleEntry {
			entries++
		}
		view.byName[h.Name] = h
		if h.Address != "" {
			view.byAddress[h.Address] = h
		}
	}
	if entries == 0 {
		return
	}
	c.hosts = view
}
