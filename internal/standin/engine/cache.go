package engine

import (
	"container/list"

	"github.com/bluebellscale/bluebellscale/internal/block"
)

// cachedBlock is a block in the prefix cache.
type cachedBlock struct {
	hash    block.Hash
	refs    int // number of running requests and exports that use the block
	element *list.Element
}

// cache is a prefix cache of limited capacity. It evicts the least recently used block
// without references. It is not safe for concurrent use.
type cache struct {
	capacity int
	blocks   map[block.Hash]*cachedBlock
	order    *list.List // by last use, most recent first
}

func newCache(total int) *cache {
	return &cache{capacity: total, blocks: make(map[block.Hash]*cachedBlock), order: list.New()}
}

func (c *cache) has(h block.Hash) bool { return c.blocks[h] != nil }

func (c *cache) used() int { return len(c.blocks) }

// acquire adds a reference to a block and reports whether the block is cached.
func (c *cache) acquire(h block.Hash) bool {
	b := c.blocks[h]
	if b == nil {
		return false
	}
	b.refs++
	c.order.MoveToFront(b.element)
	return true
}

// release drops one reference to each block. Later blocks of a chain become less recently
// used than earlier ones, since they are useless without these.
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

// insert adds a block and evicts others if necessary. It returns the evicted blocks and
// whether the block is now cached, which fails if all blocks of a full cache are in use.
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

// clear drops all blocks without references and returns the remaining ones.
func (c *cache) clear() []block.Hash {
	for _, b := range c.blocks {
		if b.refs == 0 {
			c.remove(b)
		}
	}
	return c.hashes()
}

// hashes returns the hashes of all blocks, the most recently used first.
func (c *cache) hashes() []block.Hash {
	all := make([]block.Hash, 0, len(c.blocks))
	for e := c.order.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*cachedBlock).hash)
	}
	return all
}
