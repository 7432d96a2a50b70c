package ledger

import (
	"cmp"
	"slices"

	"tamarackknot.example/tamarackknot"
)

// maxChanges is the number of changes kept for readers of the state. At 300
// records a second it reaches back 14 s; readers look several times a second.
const maxChanges = 4096

// change names what a record has changed; either name may be empty.
type change struct {
	offset   tamarackknot.Offset
	target   string
	endpoint string
}

// changeList holds the newest changes, so that readers need not compare the
// whole state. It is no part of the state.
type changeList struct {
	list []change
	// since is the offset after which all changes are in list.
	since tamarackknot.Offset
}

func (c *changeList) add(offset tamarackknot.Offset, target, endpoint string) {
	c.list = append(c.list, change{offset, target, endpoint})
	// Dropping half at a time keeps the cost of moving the rest low.
	if len(c.list) > 2*maxChanges {
		c.since = c.list[maxChanges].offset
		c.list = append(c.list[:0], c.list[maxChanges+1:]...)
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
	i, _ := slices.BinarySearchFunc(l.changes.list, o+1, func(c change, o tamarackknot.Offset) int {
		return cmp.Compare(c.offset, o)
	})
	for _, c := range l.changes.list[i:] {
		if c.target != "" {
			targets = append(targets, c.target)
		}
		if c.endpoint != "" {
			endpoints = append(endpoints, c.endpoint)
		}
	}
	return targets, endpoints, true
}

// note keeps what an accepted record has changed.
func (l *Ledger) note(r *tamarackknot.Record, offset tamarackknot.Offset) {
	switch {
	case r.Apply != nil:
		l.noteResource(offset, r.Apply.Resource.Kind, r.Apply.Resource.Metadata.Name)
	case r.Remove != nil:
		l.noteResource(offset, r.Remove.Kind, r.Remove.Name)
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

func (l *Ledger) noteResource(offset tamarackknot.Offset, kind tamarackknot.Kind, name string) {
	switch kind {
	case tamarackknot.KindModel, tamarackknot.KindAdapter:
		l.changes.add(offset, name, "")
	case tamarackknot.KindEndpoint:
		l.changes.add(offset, "", name)
	default:
	}
}
