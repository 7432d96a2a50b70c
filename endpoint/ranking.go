package endpoint

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackknot.example/tamarackknot"
)

// pollersPerEndpoint is the number of entry hosts that poll an endpoint;
// report traffic at an endpoint does not grow with the entry hosts.
const pollersPerEndpoint = 3

// pollers are the hosts that poll an endpoint, best first.
type pollers struct {
	hosts [pollersPerEndpoint]string
	self  bool // this host is one of them
}

// ranking decides by rendezvous hashing which hosts poll which endpoints.
type ranking struct {
	self    string
	hosts   []string // live, this host included
	hashes  []uint64
	decided map[string]pollers
}

// update takes the live members; the decisions are kept while these are the
// same.
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
	if k.decided != nil && slices.Equal(hosts, k.hosts) {
		return
	}
	k.self, k.hosts, k.hashes, k.decided = self, hosts, k.hashes[:0], map[string]pollers{}
	for _, h := range hosts {
		k.hashes = append(k.hashes, xxhash.Sum64String(h))
	}
}

// polls reports whether this host polls an endpoint without using it.
func (k *ranking) polls(endpoint string) bool {
	return len(k.hosts) <= pollersPerEndpoint || k.pollers(endpoint).self
}

func (k *ranking) pollers(endpoint string) pollers {
	if p, ok := k.decided[endpoint]; ok {
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
	k.decided[endpoint] = p
	return p
}

// rank orders the endpoints for one host; each host has an order of its own.
func rank(host, endpoint string) uint64 {
	return mix(xxhash.Sum64String(host) ^ xxhash.Sum64String(endpoint))
}

// mix is the finaliser of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
