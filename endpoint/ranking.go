package endpoint

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackknot.example/tamarackknot"
)

// pollersPerEndpoint is the number of entry hosts that poll an endpoint. It keeps
// report traffic at an endpoint independent of the number of entry hosts.
const pollersPerEndpoint = 3

// pollers holds the hosts that poll an endpoint, by descending score.
type pollers struct {
	hosts [pollersPerEndpoint]string
	self  bool // this host is one of them
}

// ranking selects the hosts that poll each endpoint by rendezvous hashing.
type ranking struct {
	self   string
	hosts  []string // live, this host included
	hashes []uint64
	cached map[string]pollers
}

// update sets the hosts to the live members, and clears the cache if these
// changed.
func (k *ranking) update(members tamarackknot.Members) {
	if members == nil {
		return
	}
	self := members.Self().Host.Name
	hosts := []string{self}
	for _, m := range members.List() {
		if m.Host.Name != self && m.Status == tamarackknot.MemberAlive {
			hosts = append(hosts, m.Host.Name)
		}
	}
	if k.cached != nil && slices.Equal(hosts, k.hosts) {
		return
	}
	k.self, k.hosts, k.hashes, k.cached = self, hosts, k.hashes[:0], map[string]pollers{}
	for _, h := range hosts {
		k.hashes = append(k.hashes, xxhash.Sum64String(h))
	}
}

// isPoller reports whether this host polls an endpoint for all hosts.
func (k *ranking) isPoller(endpoint string) bool {
	return len(k.hosts) <= pollersPerEndpoint || k.pollers(endpoint).self
}

// pollers returns the hosts with the highest scores for an endpoint.
func (k *ranking) pollers(endpoint string) pollers {
	if p, ok := k.cached[endpoint]; ok {
		return p
	}
	var p pollers
	var best [pollersPerEndpoint]uint64
	e := xxhash.Sum64String(endpoint)
	for i, h := range k.hashes {
		score, host := mix(h^e), k.hosts[i]
		for j := range best {
			if p.hosts[j] == "" || score > best[j] {
				score, best[j] = best[j], score
				host, p.hosts[j] = p.hosts[j], host
			}
			if host == "" {
				break
			}
		}
	}
	p.self = slices.Contains(p.hosts[:], k.self)
	k.cached[endpoint] = p
	return p
}

// rank returns the sort key of an endpoint in a host's own pseudo-random order.
func rank(host, endpoint string) uint64 {
	return mix(xxhash.Sum64String(host) ^ xxhash.Sum64String(endpoint))
}

// mix is the 64-bit finaliser of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
