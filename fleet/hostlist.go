package fleet

import (
	"cmp"
	"encoding/json"
	"slices"

	"tamarackknot.example/tamarackknot"
)

// maxHostLists is the number of versions of the host list of which changes can be sent.
const maxHostLists = 16

// hostListHistory holds the newest versions of the list of hosts that callers may be sent
// to, so that each host gets what has changed since the version that it has.
type hostListHistory struct {
	version int64
	encoded json.RawMessage // of the newest version
	lists   []hostListVersion
	changes map[int64]hostChanges // to the newest version, by the version before
}

// hostListVersion is a version of the list, ordered by name.
type hostListVersion struct {
	version int64
	hosts   []tamarackknot.HostEntry
}

// hostChanges are the differences between two versions of the list.
type hostChanges struct {
	Set     []tamarackknot.HostEntry
	Removed []string
}

// add makes a list the newest version if it differs from the one before, and reports
// whether it does.
func (l *hostListHistory) add(hosts []tamarackknot.HostEntry) (bool, error) {
	if n := len(l.lists); n > 0 && slices.Equal(l.lists[n-1].hosts, hosts) {
		return false, nil
	}
	data, err := json.Marshal(hosts)
	if err != nil {
		return false, err
	}
	l.version++
	l.encoded, l.changes = data, make(map[int64]hostChanges)
	l.lists = append(l.lists[max(len(l.lists)-maxHostLists+1, 0):], hostListVersion{l.version, hosts})
	return true, nil
}

// since returns what has changed since a version; ok is false if that is not known.
func (l *hostListHistory) since(version int64) (changes hostChanges, ok bool) {
	if changes, ok := l.changes[version]; ok {
		return changes, true
	}
	i := slices.IndexFunc(l.lists, func(v hostListVersion) bool { return v.version == version })
	if i < 0 {
		return hostChanges{}, false
	}
	changes = compareHosts(l.lists[i].hosts, l.lists[len(l.lists)-1].hosts)
	l.changes[version] = changes
	return changes, true
}

// compareHosts returns the differences between two lists that are ordered by name.
func compareHosts(before, after []tamarackknot.HostEntry) hostChanges {
	var c hostChanges
	for _, h := range after {
		if i, found := findHost(before, h.Name); !found || before[i] != h {
			c.Set = append(c.Set, h)
		}
	}
	for _, h := range before {
		if _, found := findHost(after, h.Name); !found {
			c.Removed = append(c.Removed, h.Name)
		}
	}
	return c
}

// apply returns a list ordered by name with the changes.
func (c hostChanges) apply(hosts []tamarackknot.HostEntry) []tamarackknot.HostEntry {
	out := slices.DeleteFunc(slices.Clone(hosts), func(h tamarackknot.HostEntry) bool { return slices.Contains(c.Removed, h.Name) })
	for _, h := range c.Set {
		i, found := findHost(out, h.Name)
		if found {
			out[i] = h
		} else {
			out = slices.Insert(out, i, h)
		}
	}
	return out
}

// findHost returns the index of a host in a list that is ordered by name, or where it would
// be.
func findHost(hosts []tamarackknot.HostEntry, name string) (int, bool) {
	return slices.BinarySearchFunc(hosts, name, func(h tamarackknot.HostEntry, name string) int { return cmp.Compare(h.Name, name) })
}
