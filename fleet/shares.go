package fleet

import (
	"cmp"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

// domainsInterval is the time for which the demand by failure domain is kept: the planner asks
// for demand many times a second, but for that by domain a few times.
const domainsInterval = 200 * time.Millisecond

// maxSharesAge is the age from which on the planner sends no shares: its planning hangs.
const maxSharesAge = 2 * time.Second

// shareMessage is a DomainShare of the receiver's failure domain, in thousandths.
type shareMessage struct {
	Service string `json:"s"`
	Model   string `json:"m,omitempty"`
	Share   int    `json:"p"`
}

const sharePrecision = 1000

// shareLists holds the planned shares by failure domain. The version of a list changes with it
// and is unique.
type shareLists struct {
	plannedAt time.Time
	count     int64
	lists     map[string]*shareList
}

type shareList struct {
	version int64
	shares  []tamarackknot.DomainShare
}

// set replaces the shares.
func (l *shareLists) set(shares []tamarackknot.DomainShare, plannedAt time.Time) {
	l.plannedAt = plannedAt
	byDomain := make(map[string][]tamarackknot.DomainShare)
	for _, s := range shares {
		byDomain[s.Domain] = append(byDomain[s.Domain], s)
	}
	for domain, list := range l.lists {
		if !slices.Equal(list.shares, byDomain[domain]) {
			l.count++
			list.version, list.shares = l.count, byDomain[domain]
		}
		delete(byDomain, domain)
	}
	for domain, shares := range byDomain {
		l.list(domain).shares = shares
	}
}

// list returns the list of a failure domain.
func (l *shareLists) list(domain string) *shareList {
	if l.lists == nil {
		l.lists = make(map[string]*shareList)
	}
	list := l.lists[domain]
	if list == nil {
		l.count++
		list = &shareList{version: l.count}
		l.lists[domain] = list
	}
	return list
}

// addShares adds the shares of the host's failure domain if the host reads them and does not
// have them. p.mu is held.
func (p *Publisher) addShares(s *hostState, m *viewMessage, now time.Time) {
	age := now.Sub(p.shares.plannedAt)
	if s.held == nil || !s.held.Shares || p.shares.plannedAt.IsZero() || age > maxSharesAge {
		s.sharesVersion = 0
		return
	}
	list := p.shares.list(s.domain)
	m.SharesVersion, m.SharesAgeMs = list.version, max(age.Milliseconds(), 0)
	if s.sharesVersion == list.version {
		return
	}
	s.sharesVersion = list.version
	for _, share := range list.shares {
		m.Shares = append(m.Shares, shareMessage{share.Service, share.Model, int(share.Share * sharePrecision)})
	}
}

// applyShares takes the shares of a message. They are not known while a message in between is
// missing. c.mu is held.
func (c *Client) applyShares(m viewMessage, v *tamarackknot.FleetView, now time.Time) {
	if m.SharesVersion == 0 || c.behind || m.SharesAgeMs < 0 || m.SharesAgeMs > maxSharesAge.Milliseconds() {
		c.sharesVersion = 0
		return
	}
	if m.SharesVersion != c.sharesVersion || m.Full {
		c.sharesVersion, c.shares = m.SharesVersion, nil
		for _, s := range m.Shares {
			share := min(max(float64(s.Share)/sharePrecision, 0), 1)
			c.shares = append(c.shares, tamarackknot.DomainShare{Domain: c.cfg.Self.FailureDomain, Service: s.Service, Model: s.Model, Share: share})
		}
	}
	v.Shares, v.SharesAt = c.shares, now.Add(-time.Duration(m.SharesAgeMs)*time.Millisecond)
}

// setDomains notes the failure domains of the registered hosts. p.mu is held.
func (p *Publisher) setDomains(registered []tamarackknot.HostEntry) {
	for _, host := range registered {
		if s := p.hosts[host.Name]; s != nil {
			s.domain = host.FailureDomain
		}
	}
}

// addDomains adds the demand of the hosts that are alive by failure domain, ordered by domain.
// p.mu is held.
func (p *Publisher) addDomains(now time.Time) {
	result := &p.demand.result
	if !p.cfg.ByDomain || now.Sub(p.domainsAt) < domainsInterval {
		return
	}
	result.Domains, p.domainsAt = nil, now
	byDomain := make(map[string]*tamarackknot.DomainDemand)
	for _, s := range p.hosts {
		if !s.alive(now) || s.domain == "" {
			continue
		}
		d := byDomain[s.domain]
		if d == nil {
			d = &tamarackknot.DomainDemand{Domain: s.domain}
			byDomain[s.domain] = d
		}
		d.Running = append(d.Running, s.running...)
		for _, w := range s.demand.waiting {
			d.Waiting = append(d.Waiting, tamarackknot.ModelWaiting{Service: w.Service, Model: w.Model, Count: w.Waiting})
		}
	}
	for _, d := range byDomain {
		result.Domains = append(result.Domains, *d)
	}
	slices.SortFunc(result.Domains, func(a, b tamarackknot.DomainDemand) int { return cmp.Compare(a.Domain, b.Domain) })
}
