package wasabireplica

import (
	"container/list"
)

// cacheShare is the part of an engine's memory that cached parts take up. The
// rest is for what runs.
const cacheShare = 0.85

// cache is what a replica is believed to hold, by what was sent there: parts
// of prompts, of which the least recently used yield.
type cache struct {
	limit, used int
	parts       map[uint64]*list.Element
	order       *list.List
}

// cached is one part. A key of zero stands for a part that nobody asks for
// again and that takes up room all the same.
type cached struct {
	key    uint64
	tokens int
	// ready says that the replica has read the part.
	ready bool
}

func newCache() cache {
	return cache{parts: map[uint64]*list.Element{}, order: list.New()}
}

// use notes that a part was sent, or used again.
func (c *cache) use(key uint64, tokens int) {
	if e, ok := c.parts[key]; ok {
		c.order.MoveToBack(e)
		return
	}
	c.parts[key] = c.order.PushBack(&cached{key: key, tokens: tokens})
	c.grow(tokens)
}

// fill notes tokens that nobody asks for again.
func (c *cache) fill(tokens int) {
	if tokens > 0 && c.limit > 0 {
		c.order.PushBack(&cached{tokens: tokens})
		c.grow(tokens)
	}
}

func (c *cache) grow(tokens int) {
	c.used += tokens
	for c.limit > 0 && c.used > c.limit {
		oldest := c.order.Front()
		if oldest == nil {
			return
		}
		c.remove(oldest)
	}
}

func (c *cache) remove(e *list.Element) {
	part := c.order.Remove(e).(*cached)
	c.used -= part.tokens
	if part.key != 0 {
		delete(c.parts, part.key)
	}
}

// finish notes that the replica has read a part.
func (c *cache) finish(key uint64) {
	if e, ok := c.parts[key]; ok {
		e.Value.(*cached).ready = true
	}
}

// drop takes back a part that was sent and not read.
func (c *cache) drop(key uint64) {
	if e, ok := c.parts[key]; ok && !e.Value.(*cached).ready {
		c.remove(e)
	}
}

// find reports whether a part is held, and whether it has been read.
func (c *cache) find(key uint64) (ready, held bool) {
	e, ok := c.parts[key]
	if !ok {
		return false, false
	}
	return e.Value.(*cached).ready, true
}

func (c *cache) clear() {
	clear(c.parts)
	c.order.Init()
	c.used = 0
}
