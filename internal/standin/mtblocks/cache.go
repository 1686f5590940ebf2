// Package mtblocks is the block cache of a stand-in engine: limited memory,
// least recently used blocks evicted first.
package mtblocks

import "container/list"

// Cache holds block hashes. It is not safe for concurrent use.
type Cache struct {
	limit int
	order *list.List
	items map[uint64]*list.Element
}

// New returns a cache for at most limit blocks.
func New(limit int) *Cache {
	return &Cache{limit: limit, order: list.New(), items: map[uint64]*list.Element{}}
}

// Len is the number of blocks held.
func (c *Cache) Len() int { return len(c.items) }

// Match counts the leading blocks that are held and marks them as used,
// deepest first, so that a prefix outlives what hangs on it.
func (c *Cache) Match(blocks []uint64) int {
	matched := 0
	for matched < len(blocks) && c.items[blocks[matched]] != nil {
		matched++
	}
	for i := matched - 1; i >= 0; i-- {
		c.order.MoveToFront(c.items[blocks[i]])
	}
	return matched
}

// Peek counts the leading blocks that are held and leaves their order alone.
func (c *Cache) Peek(blocks []uint64) int {
	for i, block := range blocks {
		if c.items[block] == nil {
			return i
		}
	}
	return len(blocks)
}

// Store adds the blocks of a prompt and returns which were new and which were
// evicted for them.
func (c *Cache) Store(blocks []uint64) (stored, evicted []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element, held := c.items[blocks[i]]; held {
			c.order.MoveToFront(element)
			continue
		}
		c.items[blocks[i]] = c.order.PushFront(blocks[i])
		stored = append(stored, blocks[i])
	}
	for len(c.items) > c.limit {
		last := c.order.Back()
		hash := c.order.Remove(last).(uint64)
		delete(c.items, hash)
		evicted = append(evicted, hash)
	}
	return stored, evicted
}
