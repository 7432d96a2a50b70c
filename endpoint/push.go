package endpoint

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"tamarackknot.example/tamarackknot"
)

const (
	// reportsMethod is the method of tamarackknot.Peers that carries reports.
	reportsMethod = "reports"
	// pollersPerEndpoint is the number of entry hosts that poll an endpoint;
	// report traffic at an endpoint does not grow with the entry hosts.
	pollersPerEndpoint = 3
	// maxPushes bounds the pushes to peers in progress.
	maxPushes = 16
)

// reportBatch is what a host has polled since its last push to a peer.
type reportBatch struct {
	Changed []reportItem `json:"changed,omitempty"`
	// Same names the endpoints whose report has not changed.
	Same []string `json:"same,omitempty"`
}

// reportItem names the endpoint as configured; a report may name it otherwise.
type reportItem struct {
	Endpoint string              `json:"endpoint"`
	Report   tamarackknot.Report `json:"report"`
}

// push sends the reports polled since the last push to every live peer.
func (t *Table) push(ctx context.Context) {
	peers := t.ranking.peers
	if t.cfg.Peers == nil || len(peers) == 0 {
		return
	}
	var b reportBatch
	since := time.Now().Add(-t.cfg.Interval)
	for _, e := range t.list() {
		e.mu.Lock()
		switch {
		case e.polledAt.Before(since) || !t.ranking.polls(e.name):
		case e.changed:
			b.Changed = append(b.Changed, reportItem{Endpoint: e.name, Report: e.report})
			e.changed = false
		default:
			b.Same = append(b.Same, e.name)
		}
		e.mu.Unlock()
	}
	if len(b.Changed) == 0 && len(b.Same) == 0 {
		return
	}
	t.pollers.Go(func() { t.send(ctx, peers, b) })
}

func (t *Table) send(ctx context.Context, peers []string, b reportBatch) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Interval)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxPushes)
	for _, peer := range peers {
		g.Go(func() error {
			// A peer that misses a batch polls the endpoints itself.
			_ = t.cfg.Peers.Notify(ctx, peer, reportsMethod, b)
			return nil
		})
	}
	_ = g.Wait()
}

// ranking decides by rendezvous hashing which endpoints this host polls.
type ranking struct {
	self    uint64
	peers   []string
	hashes  []uint64
	decided map[string]bool
}

// update takes the live members; the decisions are kept while these are the
// same.
func (k *ranking) update(members tamarackknot.Members) {
	if members == nil {
		return
	}
	self := members.Self().Host.Name
	var peers []string
	for _, m := range members.List() {
		if m.Host.Name != self && m.Status == tamarackknot.MemberAlive {
			peers = append(peers, m.Host.Name)
		}
	}
	if k.decided != nil && slices.Equal(peers, k.peers) {
		return
	}
	k.self, k.peers, k.hashes, k.decided = xxhash.Sum64String(self), peers, k.hashes[:0], map[string]bool{}
	for _, p := range peers {
		k.hashes = append(k.hashes, xxhash.Sum64String(p))
	}
}

// polls reports whether this host is among the first pollersPerEndpoint.
func (k *ranking) polls(endpoint string) bool {
	if len(k.peers) < pollersPerEndpoint {
		return true
	}
	if d, ok := k.decided[endpoint]; ok {
		return d
	}
	h := xxhash.Sum64String(endpoint)
	own, ahead := mix(k.self^h), 0
	for _, p := range k.hashes {
		if mix(p^h) > own {
			if ahead++; ahead == pollersPerEndpoint {
				break
			}
		}
	}
	k.decided[endpoint] = ahead < pollersPerEndpoint
	return ahead < pollersPerEndpoint
}

// mix is the finaliser of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
