package fake

import (
	"slices"

	"tamarackknot.example/tamarackknot"
)

type checkpoint struct {
	name     string
	version  string
	memoryMB int64
}

// checkpointCache holds checkpoints in host memory and on disk. The least
// recently used one falls down a tier when a tier is full.
type checkpointCache struct {
	memory tierCache
	disk   tierCache
}

// touch makes a checkpoint the most recently used one in host memory, or on
// disk if it is larger than the memory cache.
func (c *checkpointCache) touch(p checkpoint) {
	c.memory.remove(p)
	c.disk.remove(p)
	for _, fallen := range c.memory.add(p) {
		c.disk.add(fallen)
	}
}

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

// tierCache is one tier, the least recently used checkpoint first.
type tierCache struct {
	limitMB int64
	usedMB  int64
	items   []checkpoint
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

// add returns what fell out, the least recently used first.
func (c *tierCache) add(p checkpoint) (fallen []checkpoint) {
	if p.memoryMB > c.limitMB {
		return []checkpoint{p}
	}
	for c.usedMB+p.memoryMB > c.limitMB {
		fallen = append(fallen, c.items[0])
		c.usedMB -= c.items[0].memoryMB
		c.items = c.items[1:]
	}
	c.items = append(c.items, p)
	c.usedMB += p.memoryMB
	return fallen
}
