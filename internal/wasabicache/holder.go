package wasabicache

import "github.com/wasabiridge/wasabiridge"

const (
	// tickLength is the resolution of the times in entries.
	tickLength wasabiridge.Millis = 256
	// tickMask holds the bits of a tick. Ticks wrap after 140 minutes.
	tickMask = 1<<15 - 1
	// wrap is the time after which ticks repeat.
	wrap = tickLength * (tickMask + 1)
)

// tick is a point in time, coarse and modulo wrap.
type tick uint16

func tickOf(now wasabiridge.Millis) tick {
	return tick(uint64(now/tickLength) & tickMask)
}

// age returns the time from t to now, which must lie less than wrap apart.
func (t tick) age(now tick) wasabiridge.Millis {
	return wasabiridge.Millis((now-t)&tickMask) * tickLength
}

// holder packs a life, a flag and a tick into 32 bits. The zero holder names
// nobody.
type holder uint32

// pendingBit marks a holder that was asked to compute the block and has not
// shown yet that it did.
const pendingBit holder = 1 << 15

func newHolder(life uint16, stamp tick, flags holder) holder {
	return holder(life)<<16 | flags | holder(stamp)
}

func (h holder) life() uint16  { return uint16(h >> 16) }
func (h holder) stamp() tick   { return tick(h & tickMask) }
func (h holder) flags() holder { return h & pendingBit }
func (h holder) pending() bool { return h&pendingBit != 0 }

// full reports whether the entry may know less than all holders.
func (e *entry) full() bool {
	for _, h := range e.holders {
		if h.life() == 0 {
			return false
		}
	}
	return true
}

func (e *entry) empty() bool {
	for _, h := range e.holders {
		if h.life() != 0 {
			return false
		}
	}
	return true
}

func (e *entry) holder(life uint16) (holder, bool) {
	for _, h := range e.holders {
		if h.life() == life {
			return h, true
		}
	}
	return 0, false
}

// set puts a holder in its place, in a free one, or in that of the holder
// that was confirmed longest ago. It returns the holder that it replaced.
func (e *entry) set(h holder) holder {
	target, oldest := 0, wasabiridge.Millis(-1)
	for i, other := range e.holders {
		if other.life() == h.life() {
			// A block that was held stays held when it is asked for again.
			e.holders[i] = newHolder(h.life(), h.stamp(), h&other&pendingBit)
			return other
		}
		age := wrap
		if other.life() != 0 {
			age = other.stamp().age(h.stamp())
		}
		if age > oldest {
			target, oldest = i, age
		}
	}
	replaced := e.holders[target]
	e.holders[target] = h
	return replaced
}

func (e *entry) unset(life uint16) bool {
	for i, h := range e.holders {
		if h.life() == life {
			e.holders[i] = 0
			return true
		}
	}
	return false
}
