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

// tick is a time in units of tickLength, modulo wrap.
type tick uint16

func tickOf(now wasabiridge.Millis) tick {
	return tick(uint64(now/tickLength) & tickMask)
}

// age returns the time from t to now. The result is only correct if it is less than wrap.
func (t tick) age(now tick) wasabiridge.Millis {
	return wasabiridge.Millis((now-t)&tickMask) * tickLength
}

// holder packs a generation (16 bits), the pending flag and the tick of the last
// confirmation (15 bits). The zero value is a free holder slot.
type holder uint32

// pendingBit marks a holder that was sent a request for the block and has not been shown
// yet to hold it.
const pendingBit holder = 1 << 15

func newHolder(generation uint16, stamp tick, flags holder) holder {
	return holder(generation)<<16 | flags | holder(stamp)
}

func (h holder) generation() uint16 { return uint16(h >> 16) }
func (h holder) stamp() tick        { return tick(h & tickMask) }
func (h holder) flags() holder      { return h & pendingBit }
func (h holder) pending() bool      { return h&pendingBit != 0 }

// full reports whether all holder slots are in use, so that the entry may lack holders.
func (e *entry) full() bool {
	for _, h := range e.holders {
		if h.generation() == 0 {
			return false
		}
	}
	return true
}

func (e *entry) empty() bool {
	for _, h := range e.holders {
		if h.generation() != 0 {
			return false
		}
	}
	return true
}

func (e *entry) holder(generation uint16) (holder, bool) {
	for _, h := range e.holders {
		if h.generation() == generation {
			return h, true
		}
	}
	return 0, false
}

// set stores a holder in the slot of the same generation, in a free slot, or in the slot
// of the holder that was confirmed the longest time ago. It returns the previous content
// of the slot.
func (e *entry) set(h holder) holder {
	target, oldest := 0, wasabiridge.Millis(-1)
	for i, other := range e.holders {
		if other.generation() == h.generation() {
			// A block that was not pending does not become pending again.
			e.holders[i] = newHolder(h.generation(), h.stamp(), h&other&pendingBit)
			return other
		}
		age := wrap
		if other.generation() != 0 {
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

func (e *entry) unset(generation uint16) bool {
	for i, h := range e.holders {
		if h.generation() == generation {
			e.holders[i] = 0
			return true
		}
	}
	return false
}
