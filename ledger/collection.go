package ledger

import (
	"cmp"
	"slices"
	"sync/atomic"

	"tamarackknot.example/tamarackknot"
)

// collection holds the resources of one kind, by name and sorted by name.
type collection struct {
	byName map[string]*tamarackknot.Resource
	sorted []*tamarackknot.Resource
	// view is an immutable copy of sorted, made by the first call of list after
	// a change.
	view atomic.Pointer[[]*tamarackknot.Resource]
}

func newCollection() *collection {
	return &collection{byName: make(map[string]*tamarackknot.Resource)}
}

func (c *collection) find(name string) (int, bool) {
	return slices.BinarySearchFunc(c.sorted, name, func(r *tamarackknot.Resource, name string) int {
		return cmp.Compare(r.Metadata.Name, name)
	})
}

func (c *collection) set(r *tamarackknot.Resource) {
	i, ok := c.find(r.Metadata.Name)
	if ok {
		c.sorted[i] = r
	} else {
		c.sorted = slices.Insert(c.sorted, i, r)
	}
	c.byName[r.Metadata.Name] = r
	c.view.Store(nil)
}

func (c *collection) remove(name string) {
	if i, ok := c.find(name); ok {
		c.sorted = slices.Delete(c.sorted, i, i+1)
	}
	delete(c.byName, name)
	c.view.Store(nil)
}

func (c *collection) list() []*tamarackknot.Resource {
	if v := c.view.Load(); v != nil {
		return *v
	}
	v := slices.Clone(c.sorted)
	c.view.Store(&v)
	return v
}
