package wasabireplica

import (
	"container/list"

	"github.com/wasabiridge/wasabiridge"
)

// cacheFraction is the fraction of an engine's memory that cached segments occupy.
// Running requests need the rest.
const cacheFraction = 0.85

// cache estimates which prompt segments a replica holds, from what was sent to it. The
// least recently used segments are evicted first.
type cache struct {
	limit, used int
	// now is the time of what is recorded next. Zero means that times are not recorded.
	now wasabiridge.Millis
	// stored counts the tokens that were added since it was last set to zero.
	stored   int
	segments map[uint64]*list.Element
	lru      *list.List
}

// cachedSegment is one segment of a prompt. A key of zero stands for tokens that no
// other request shares but that take up memory all the same.
type cachedSegment struct {
	key    uint64
	tokens int
	// ready reports that the replica has computed the segment.
	ready bool
	// used is when it was last used, and interval the moving average of the time between
	// two uses.
	used, interval wasabiridge.Millis
}

func newCache() cache {
	return cache{segments: map[uint64]*list.Element{}, lru: list.New()}
}

// touch records that a segment was sent or used again.
func (c *cache) touch(key uint64, tokens int) {
	if e, ok := c.segments[key]; ok {
		e.Value.(*cachedSegment).use(c.now)
		c.lru.MoveToBack(e)
		return
	}
	c.segments[key] = c.lru.PushBack(&cachedSegment{key: key, tokens: tokens, used: c.now, interval: maxInterval})
	c.reserve(tokens)
}

// use records that the segment is used again.
func (s *cachedSegment) use(now wasabiridge.Millis) {
	s.interval += (min(now-s.used, maxInterval) - s.interval) / intervalSmoothing
	s.used = now
}

// addUnshared records tokens that no other request shares. They matter only where the
// memory is known, because they evict segments.
func (c *cache) addUnshared(tokens int) {
	if tokens > 0 && c.limit > 0 {
		c.lru.PushBack(&cachedSegment{tokens: tokens, used: c.now})
		c.reserve(tokens)
	}
}

// reserve adds tokens and evicts the least recently used segments beyond the limit. A
// limit of zero means that the memory is unknown, and nothing is evicted.
func (c *cache) reserve(tokens int) {
	c.used += tokens
	c.stored += tokens
	for c.limit > 0 && c.used > c.limit {
		oldest := c.lru.Front()
		if oldest == nil {
			return
		}
		c.remove(oldest)
	}
}

func (c *cache) remove(e *list.Element) {
	segment := c.lru.Remove(e).(*cachedSegment)
	c.used -= segment.tokens
	if segment.key != 0 {
		delete(c.segments, segment.key)
	}
}

// markReady records that the replica has computed a segment.
func (c *cache) markReady(key uint64) {
	if e, ok := c.segments[key]; ok {
		e.Value.(*cachedSegment).ready = true
	}
}

// discardUnready removes a segment that was sent but not computed.
func (c *cache) discardUnready(key uint64) {
	if e, ok := c.segments[key]; ok && !e.Value.(*cachedSegment).ready {
		c.remove(e)
	}
}

// lookup reports whether a segment is held, and whether it has been computed.
func (c *cache) lookup(key uint64) (ready, held bool) {
	e, ok := c.segments[key]
	if !ok {
		return false, false
	}
	return e.Value.(*cachedSegment).ready, true
}

const (
	// maxInterval is the time between two uses that is assumed of a segment that was used
	// once, and the inverse of intervalSmoothing the weight of a use in the average.
	maxInterval       = 600 * wasabiridge.Millis(1)
	intervalSmoothing = 3
)

// intervalOf returns the time between two uses of a segment that is held.
func (c *cache) intervalOf(now wasabiridge.Millis, key uint64) wasabiridge.Millis {
	e, ok := c.segments[key]
	if !ok {
		return maxInterval
	}
	s := e.Value.(*cachedSegment)
	return min(max(s.interval, now-s.used), maxInterval)
}

// fullCache is the fraction of the limit from which a cache counts as full.
const fullCache = 0.9

// retention returns for how long a segment that is not used again stays, as far as the
// segment that is evicted next shows. It is longest while nothing has to be evicted.
func (c *cache) retention(now wasabiridge.Millis) wasabiridge.Millis {
	oldest := c.lru.Front()
	if oldest == nil || c.limit == 0 || float64(c.used) < fullCache*float64(c.limit) {
		return maxRetention
	}
	return min(max(minRetention, now-oldest.Value.(*cachedSegment).used), maxRetention)
}

func (c *cache) clear() {
	clear(c.segments)
	c.lru.Init()
	c.used = 0
}
