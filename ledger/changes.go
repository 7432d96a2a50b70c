package ledger

import (
	"cmp"
	"slices"

	"tamarackknot.example/tamarackknot"
)

// maxChanges is the minimum number of changes kept for readers of the state
// once that many were made. At 300 records a second it covers 14 s; readers
// catch up several times a second.
const maxChanges = 4096

// change names the target and the endpoint that a record changed; either may
// be empty.
type change struct {
	offset   tamarackknot.Offset
	target   string
	endpoint string
}

// changeList holds the newest changes, so that readers can update their views
// incrementally. It is not part of the state and not in snapshots.
type changeList struct {
	entries []change
	// since is the offset after which all changes are in entries.
	since tamarackknot.Offset
}

func (c *changeList) add(offset tamarackknot.Offset, target, endpoint string) {
	c.entries = append(c.entries, change{offset, target, endpoint})
	// Dropping half at a time amortises the cost of moving the rest.
	if len(c.entries) > 2*maxChanges {
		c.since = c.entries[maxChanges].offset
		c.entries = append(c.entries[:0], c.entries[maxChanges+1:]...)
	}
}

func (c *changeList) reset(applied tamarackknot.Offset) {
	*c = changeList{since: applied}
}

// ChangedSince implements tamarackknot.State.
func (l *Ledger) ChangedSince(o tamarackknot.Offset) (targets, endpoints []string, complete bool) {
	if o < l.changes.since {
		return nil, nil, false
	}
	i, _ := slices.BinarySearchFunc(l.changes.entries, o+1, func(c change, o tamarackknot.Offset) int {
		return cmp.Compare(c.offset, o)
	})
	for _, c := range l.changes.entries[i:] {
		if c.target != "" {
			targets = append(targets, c.target)
		}
		if c.endpoint != "" {
			endpoints = append(endpoints, c.endpoint)
		}
	}
	return targets, endpoints, true
}

// recordChanges adds the targets and endpoints that an accepted record changed
// to the list of changes.
func (l *Ledger) recordChanges(r *tamarackknot.Record, offset tamarackknot.Offset) {
	switch {
	case r.Apply != nil:
		l.recordResourceChange(offset, r.Apply.Resource.Kind, r.Apply.Resource.Metadata.Name)
	case r.Remove != nil:
		l.recordResourceChange(offset, r.Remove.Kind, r.Remove.Name)
	case r.Claim != nil:
		l.changes.add(offset, r.Claim.Target, r.Claim.Endpoint)
	default:
		for _, c := range []*tamarackknot.ReplicaChange{r.Loaded, r.Unload, r.Takeover, r.Release} {
			if c != nil {
				l.changes.add(offset, c.Target, c.Endpoint)
			}
		}
	}
}

func (l *Ledger) recordResourceChange(offset tamarackknot.Offset, kind tamarackknot.Kind, name string) {
	switch kind {
	case tamarackknot.KindModel, tamarackknot.KindAdapter:
		l.changes.add(offset, name, "")
	case tamarackknot.KindEndpoint:
		l.changes.add(offset, "", name)
	default:
	}
}
