package wasabicache

import "github.com/wasabiridge/wasabiridge"

const (
	// holdersPerEntry is the maximum number of engines in one entry.
	holdersPerEntry = 6
	// minSlots is the initial size of the table. It must be a power of two.
	minSlots = 1 << 10
	// fillNumerator and fillDenominator are the maximum load factor of the table.
	fillNumerator   = 7
	fillDenominator = 8
)

// entry holds the known holders of one block and its request count. A slot whose hash is
// zero is free.
type entry struct {
	hash    wasabiridge.BlockHash
	holders [holdersPerEntry]holder
	// count is the request count at countedAt, which decays with countHalfLife.
	count     float32
	countedAt tick
}

// table is a hash table with linear probing. It is deterministic: its state depends only
// on the sequence of calls.
type table struct {
	slots []entry
	used  int
	// hand is the position of the sweep and of the search for evictions.
	hand int
}

func newTable() table {
	return table{slots: make([]entry, minSlots)}
}

// key maps the zero hash to 1, because zero marks free slots.
func key(h wasabiridge.BlockHash) wasabiridge.BlockHash {
	if h == 0 {
		return 1
	}
	return h
}

func (t *table) home(h wasabiridge.BlockHash) int {
	return int(uint64(h)*0x9e3779b97f4a7c15>>32) & (len(t.slots) - 1)
}

func (t *table) find(h wasabiridge.BlockHash) *entry {
	h = key(h)
	for i := t.home(h); ; i = (i + 1) & (len(t.slots) - 1) {
		if t.slots[i].hash == h {
			return &t.slots[i]
		}
		if t.slots[i].hash == 0 {
			return nil
		}
	}
}

// add adds an entry for a hash that is not in the table. The pointer is valid until the
// next call of add or remove.
func (t *table) add(h wasabiridge.BlockHash, now tick) *entry {
	if (t.used+1)*fillDenominator > len(t.slots)*fillNumerator {
		t.grow()
	}
	t.used++
	return t.place(entry{hash: key(h), countedAt: now})
}

func (t *table) place(e entry) *entry {
	i := t.home(e.hash)
	for t.slots[i].hash != 0 {
		i = (i + 1) & (len(t.slots) - 1)
	}
	t.slots[i] = e
	return &t.slots[i]
}

func (t *table) grow() {
	old := t.slots
	t.slots = make([]entry, 2*len(old))
	t.hand = 0
	for i := range old {
		if old[i].hash != 0 {
			t.place(old[i])
		}
	}
}

// staleSample is the number of entries that are compared to find one to evict.
const staleSample = 8

// stale returns the slot to evict: that of the oldest entry among the next staleSample
// entries after the hand. The table must not be empty.
func (t *table) stale(now tick) int {
	oldest, oldestAge := -1, wasabiridge.Millis(-1)
	for seen := 0; seen < staleSample; {
		t.hand = (t.hand + 1) & (len(t.slots) - 1)
		e := &t.slots[t.hand]
		if e.hash == 0 {
			continue
		}
		seen++
		if age := e.age(now); age > oldestAge {
			oldest, oldestAge = t.hand, age
		}
	}
	return oldest
}

// remove frees a slot and moves later entries of the same probe sequence back, so that
// no search ends at the free slot too early.
func (t *table) remove(i int) {
	mask := len(t.slots) - 1
	t.used--
	for j := (i + 1) & mask; t.slots[j].hash != 0; j = (j + 1) & mask {
		if (j-t.home(t.slots[j].hash))&mask >= (j-i)&mask {
			t.slots[i] = t.slots[j]
			i = j
		}
	}
	t.slots[i] = entry{}
}

// age returns the time since the last request for the block or the last confirmation of
// any of its holders, whichever is later.
func (e *entry) age(now tick) wasabiridge.Millis {
	best := e.countedAt.age(now)
	for _, h := range e.holders {
		if h.generation() != 0 {
			best = min(best, h.stamp().age(now))
		}
	}
	return best
}
