package wasabifake

import (
	"container/list"

	"github.com/wasabiridge/wasabiridge"
)

// cache is a bounded prefix cache that evicts the block used least recently.
type cache struct {
	limit  int
	order  *list.List
	blocks map[wasabiridge.BlockHash]*list.Element
	notify func(kind wasabiridge.CacheEventKind, b wasabiridge.BlockHash)
}

func newCache(limit int, notify func(wasabiridge.CacheEventKind, wasabiridge.BlockHash)) *cache {
	return &cache{
		limit:  limit,
		order:  list.New(),
		blocks: make(map[wasabiridge.BlockHash]*list.Element, limit),
		notify: notify,
	}
}

func (c *cache) holds(b wasabiridge.BlockHash) bool {
	_, ok := c.blocks[b]
	return ok
}

// depth counts the leading blocks of a chain that are cached.
func (c *cache) depth(blocks []wasabiridge.BlockHash) int {
	for i, b := range blocks {
		if !c.holds(b) {
			return i
		}
	}
	return len(blocks)
}

// touch marks the first n blocks as just used. The deepest block becomes the
// oldest of them, so that leaves are evicted before their parents.
func (c *cache) touch(blocks []wasabiridge.BlockHash, n int) {
	for i := n - 1; i >= 0; i-- {
		if e, ok := c.blocks[blocks[i]]; ok {
			c.order.MoveToFront(e)
		}
	}
}

// store caches every block of a chain, from its leaf to its root. What does
// not fit is left out at the leaf.
func (c *cache) store(blocks []wasabiridge.BlockHash) {
	if len(blocks) > c.limit {
		blocks = blocks[:c.limit]
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		if e, ok := c.blocks[blocks[i]]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[blocks[i]] = c.order.PushFront(blocks[i])
		c.notify(wasabiridge.BlockStored, blocks[i])
	}
	for c.order.Len() > c.limit {
		oldest := c.order.Remove(c.order.Back()).(wasabiridge.BlockHash)
		delete(c.blocks, oldest)
		c.notify(wasabiridge.BlockEvicted, oldest)
	}
}
