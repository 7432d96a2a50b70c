// Package workspace finds the workspaces of callers by their keys, and decides whether this
// host knows the configuration well enough to rely on them.
package workspace

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// maxRejected is the number of unknown keys that are remembered, rejectedTime for how long.
	maxRejected  = 4096
	rejectedTime = 2 * time.Second
)

// entry is a workspace of the configuration in force.
type entry struct{ workspace *tamarackknot.Workspace }

// directory holds the workspaces of the configuration in force by the hashes of their keys.
// Only the keys that a change adds or removes are touched.
type directory struct {
	mu      sync.RWMutex
	version int64
	byName  map[string]*entry
	// byKey has more than one entry for a key that belongs to several workspaces, which holds
	// for none of them.
	byKey map[tamarackknot.KeyHash][]*entry
	// byPrefix holds the keys by their first bytes, which other hosts name.
	byPrefix map[uint64][]tamarackknot.KeyHash
	// rejected are unknown keys and until when they are remembered, as the time since boot.
	rejected map[tamarackknot.KeyHash]time.Duration
}

func newDirectory() *directory {
	return &directory{
		byName: make(map[string]*entry), byKey: make(map[tamarackknot.KeyHash][]*entry),
		byPrefix: make(map[uint64][]tamarackknot.KeyHash), rejected: make(map[tamarackknot.KeyHash]time.Duration),
	}
}

func prefixOf(key tamarackknot.KeyHash) uint64 { return binary.BigEndian.Uint64(key[:]) }

// set replaces the workspaces by those of a configuration, unless it is older than the last
// one.
func (d *directory) set(c *tamarackknot.Catalog) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Version < d.version {
		return
	}
	d.version = c.Version
	listed := make(map[string]bool, len(c.Workspaces))
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		listed[w.Name] = true
		e := d.byName[w.Name]
		if e == nil {
			e = &entry{workspace: &tamarackknot.Workspace{}}
			d.byName[w.Name] = e
		}
		if !slices.Equal(e.workspace.Keys, w.Keys) {
			d.replaceKeys(e, e.workspace.Keys, w.Keys)
		}
		e.workspace = w
	}
	for name, e := range d.byName {
		if !listed[name] {
			d.replaceKeys(e, e.workspace.Keys, nil)
			delete(d.byName, name)
		}
	}
}

// replaceKeys adds and removes the keys of an entry. d.mu is held.
func (d *directory) replaceKeys(e *entry, before, after []tamarackknot.KeyHash) {
	kept := make(map[tamarackknot.KeyHash]bool, len(after))
	for _, key := range after {
		kept[key] = true
	}
	for _, key := range before {
		if kept[key] {
			continue
		}
		d.byKey[key] = slices.DeleteFunc(d.byKey[key], func(o *entry) bool { return o == e })
		if len(d.byKey[key]) > 0 {
			continue
		}
		delete(d.byKey, key)
		p := prefixOf(key)
		if d.byPrefix[p] = slices.DeleteFunc(d.byPrefix[p], func(k tamarackknot.KeyHash) bool { return k == key }); len(d.byPrefix[p]) == 0 {
			delete(d.byPrefix, p)
		}
	}
	for key := range kept {
		if slices.Contains(d.byKey[key], e) {
			continue
		}
		if d.byKey[key] = append(d.byKey[key], e); len(d.byKey[key]) == 1 {
			d.byPrefix[prefixOf(key)] = append(d.byPrefix[prefixOf(key)], key)
		}
		delete(d.rejected, key)
	}
}

// find returns the workspace of a key, nil if there is none or several, and the version of the
// configuration that says so.
func (d *directory) find(key tamarackknot.KeyHash) (w *tamarackknot.Workspace, version int64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if entries := d.byKey[key]; len(entries) == 1 {
		w = entries[0].workspace
	}
	return w, d.version
}

// current returns the version of the configuration.
func (d *directory) current() int64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.version
}

// named returns the workspace of a name.
func (d *directory) named(name string) (tamarackknot.Workspace, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e := d.byName[name]
	if e == nil {
		return tamarackknot.Workspace{}, false
	}
	return *e.workspace, true
}

// withPrefix returns the keys that begin with the first bytes of one.
func (d *directory) withPrefix(prefix uint64) []tamarackknot.KeyHash {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Clone(d.byPrefix[prefix])
}

// reject remembers that a key is unknown.
func (d *directory) reject(key tamarackknot.KeyHash, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.rejected) >= maxRejected {
		clear(d.rejected)
	}
	if len(d.byKey[key]) != 1 {
		d.rejected[key] = now + rejectedTime
	}
}

// isRejected reports whether a key is remembered as unknown.
func (d *directory) isRejected(key tamarackknot.KeyHash, now time.Duration) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return now < d.rejected[key]
}
