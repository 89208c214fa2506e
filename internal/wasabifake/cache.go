package wasabifake

import (
	"container/list"

	"github.com/wasabiridge/wasabiridge"
)

// cache is a bounded prefix cache with LRU eviction.
type cache struct {
	limit   int
	recency *list.List
	blocks  map[wasabiridge.BlockHash]*list.Element
	onEvent func(kind wasabiridge.CacheEventKind, b wasabiridge.BlockHash)
}

func newCache(limit int, onEvent func(wasabiridge.CacheEventKind, wasabiridge.BlockHash)) *cache {
	return &cache{
		limit:   limit,
		recency: list.New(),
		blocks:  make(map[wasabiridge.BlockHash]*list.Element, limit),
		onEvent: onEvent,
	}
}

func (c *cache) contains(b wasabiridge.BlockHash) bool {
	_, ok := c.blocks[b]
	return ok
}

// cachedPrefix returns the number of leading blocks of a chain that are cached.
func (c *cache) cachedPrefix(blocks []wasabiridge.BlockHash) int {
	for i, b := range blocks {
		if !c.contains(b) {
			return i
		}
	}
	return len(blocks)
}

// touch marks the first n blocks as recently used. The deepest block becomes the
// least recently used of them, so that leaves are evicted before their parents.
func (c *cache) touch(blocks []wasabiridge.BlockHash, n int) {
	for i := n - 1; i >= 0; i-- {
		if e, ok := c.blocks[blocks[i]]; ok {
			c.recency.MoveToFront(e)
		}
	}
}

// store caches the blocks of a chain, from the leaf to the root, and evicts the
// least recently used blocks beyond the limit. Of a chain longer than the limit
// only the first blocks are cached.
func (c *cache) store(blocks []wasabiridge.BlockHash) {
	if len(blocks) > c.limit {
		blocks = blocks[:c.limit]
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		if e, ok := c.blocks[blocks[i]]; ok {
			c.recency.MoveToFront(e)
			continue
		}
		c.blocks[blocks[i]] = c.recency.PushFront(blocks[i])
		c.onEvent(wasabiridge.BlockStored, blocks[i])
	}
	for c.recency.Len() > c.limit {
		oldest := c.recency.Remove(c.recency.Back()).(wasabiridge.BlockHash)
		delete(c.blocks, oldest)
		c.onEvent(wasabiridge.BlockEvicted, oldest)
	}
}
