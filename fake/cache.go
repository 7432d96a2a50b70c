package fake

import (
	"slices"

	"tamarackknot.example/tamarackknot"
)

// checkpoint identifies the weights of one target version and their size.
type checkpoint struct {
	name     string
	version  string
	memoryMB int64
}

// checkpointCache is an LRU cache with two tiers, host memory and disk.
// Checkpoints that host memory evicts move to disk.
type checkpointCache struct {
	memory tierCache
	disk   tierCache
}

// touch makes a checkpoint the most recently used one in host memory, or on
// disk if it is larger than the memory cache.
func (c *checkpointCache) touch(p checkpoint) {
	c.memory.remove(p)
	c.disk.remove(p)
	for _, evicted := range c.memory.add(p) {
		c.disk.add(evicted)
	}
}

// tier returns the fastest tier that holds a checkpoint.
func (c *checkpointCache) tier(p checkpoint) tamarackknot.Tier {
	switch {
	case c.memory.index(p) >= 0:
		return tamarackknot.TierMemory
	case c.disk.index(p) >= 0:
		return tamarackknot.TierDisk
	default:
		return tamarackknot.TierRemote
	}
}

func (c *checkpointCache) list() []tamarackknot.CachedTarget {
	var out []tamarackknot.CachedTarget
	for _, p := range c.memory.items {
		out = append(out, tamarackknot.CachedTarget{Name: p.name, Version: p.version, Tier: tamarackknot.TierMemory})
	}
	for _, p := range c.disk.items {
		out = append(out, tamarackknot.CachedTarget{Name: p.name, Version: p.version, Tier: tamarackknot.TierDisk})
	}
	return out
}

// tierCache is the LRU cache of one tier.
type tierCache struct {
	limitMB int64
	usedMB  int64
	items   []checkpoint // least recently used first
}

func (c *tierCache) index(p checkpoint) int {
	return slices.IndexFunc(c.items, func(q checkpoint) bool { return q.name == p.name && q.version == p.version })
}

func (c *tierCache) remove(p checkpoint) {
	if i := c.index(p); i >= 0 {
		c.usedMB -= c.items[i].memoryMB
		c.items = slices.Delete(c.items, i, i+1)
	}
}

// add inserts a checkpoint and returns the evicted ones, least recently used
// first. A checkpoint larger than the tier is returned itself.
func (c *tierCache) add(p checkpoint) (evicted []checkpoint) {
	if p.memoryMB > c.limitMB {
		return []checkpoint{p}
	}
	for c.usedMB+p.memoryMB > c.limitMB {
		evicted = append(evicted, c.items[0])
		c.usedMB -= c.items[0].memoryMB
		c.items = c.items[1:]
	}
	c.items = append(c.items, p)
	c.usedMB += p.memoryMB
	return evicted
}
