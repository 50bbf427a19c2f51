package engine

import (
	"container/list"

	"github.com/bluebellscale/bluebellscale/internal/block"
)

// cachedBlock is one block of the prefix cache.
type cachedBlock struct {
	hash    block.Hash
	refs    int // running requests and exports that use it
	element *list.Element
}

// cache is a prefix cache in limited memory with eviction of the least recently used
// block that nothing uses. It is not safe for concurrent use.
type cache struct {
	capacity int
	blocks   map[block.Hash]*cachedBlock
	order    *list.List // by use, most recent first
}

func newCache(total int) *cache {
	return &cache{capacity: total, blocks: make(map[block.Hash]*cachedBlock), order: list.New()}
}

func (c *cache) has(h block.Hash) bool { return c.blocks[h] != nil }

func (c *cache) used() int { return len(c.blocks) }

// acquire marks a cached block as in use and tells whether it is there.
func (c *cache) acquire(h block.Hash) bool {
	b := c.blocks[h]
	if b == nil {
		return false
	}
	b.refs++
	c.order.MoveToFront(b.element)
	return true
}

// release undoes one acquire of each block. Later blocks of a chain become the less
// recently used, since they are of no use without the earlier ones.
func (c *cache) release(hashes []block.Hash) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		if b == nil {
			continue
		}
		b.refs--
		c.order.MoveToFront(b.element)
	}
}

// insert adds a block, evicting others if need be. It returns what it evicted and
// whether the block is in the cache now: it is not if all room is in use.
func (c *cache) insert(h block.Hash) (evicted []block.Hash, ok bool) {
	if c.has(h) {
		return nil, true
	}
	for len(c.blocks) >= c.capacity {
		victim := c.victim()
		if victim == nil {
			return evicted, false
		}
		c.remove(victim)
		evicted = append(evicted, victim.hash)
	}
	b := &cachedBlock{hash: h}
	b.element = c.order.PushFront(b)
	c.blocks[h] = b
	return evicted, true
}

func (c *cache) victim() *cachedBlock {
	for e := c.order.Back(); e != nil; e = e.Prev() {
		if b := e.Value.(*cachedBlock); b.refs == 0 {
			return b
		}
	}
	return nil
}

func (c *cache) remove(b *cachedBlock) {
	c.order.Remove(b.element)
	delete(c.blocks, b.hash)
}

// clear drops all blocks that nothing uses and returns those that stay.
func (c *cache) clear() []block.Hash {
	for _, b := range c.blocks {
		if b.refs == 0 {
			c.remove(b)
		}
	}
	return c.hashes()
}

// hashes lists all blocks, the most recently used first.
func (c *cache) hashes() []block.Hash {
	all := make([]block.Hash, 0, len(c.blocks))
	for e := c.order.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*cachedBlock).hash)
	}
	return all
}
