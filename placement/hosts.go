package placement

import (
	"context"
	"time"

	"tamarackknot.example/tamarackknot"
)

const hostPollInterval = 2 * time.Second

// hostView is the most recent host list.
type hostView struct {
	known     bool
	byName    map[string]tamarackknot.Host
	byAddress map[string]tamarackknot.Host
	// missingSince holds when endpoints were first found missing from the list,
	// by name.
	missingSince map[string]time.Time
	at           time.Time
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

// droppedSince returns when the endpoint was first found missing from the list.
// It is zero if the endpoint is listed or no list was read.
func (v *hostView) droppedSince(name, address string) time.Time {
	if !v.known {
		return time.Time{}
	}
	if _, ok := v.lookup(name, address); ok {
		delete(v.missingSince, name)
		return time.Time{}
	}
	if _, ok := v.missingSince[name]; !ok {
		v.missingSince[name] = v.at
	}
	return v.missingSince[name]
}

// hostPoller reads the host list periodically.
type hostPoller struct {
	c *Controller
}

// hostList is the result of one successful read of the list.
type hostList struct {
	hosts []tamarackknot.Host
}

func (p *hostPoller) run(ctx context.Context) {
	ticker := time.NewTicker(hostPollInterval)
	defer ticker.Stop()
	for {
		call, cancel := context.WithTimeout(ctx, hostPollInterval)
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

// apply replaces the host view. A list without entry hosts is ignored as
// invalid because this process runs on one.
func (l hostList) apply(c *Controller, now time.Time) {
	entries := 0
	view := hostView{
		known: true, byName: make(map[string]tamarackknot.Host), byAddress: make(map[string]tamarackknot.Host),
		missingSince: c.hosts.missingSince, at: now,
	}
	if view.missingSince == nil {
		view.missingSince = make(map[string]time.Time)
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
