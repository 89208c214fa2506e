package wasabicache

import "github.com/wasabiridge/wasabiridge"

const (
	// holdersPerEntry bounds how many engines one entry names.
	holdersPerEntry = 6
	// minSlots is the smallest table, a power of two.
	minSlots = 1 << 10
	// fillNumerator and fillDenominator bound how full the table may be.
	fillNumerator   = 7
	fillDenominator = 8
)

// entry is what is known of one prefix level. An entry whose hash is zero is
// free.
type entry struct {
	hash    wasabiridge.BlockHash
	holders [holdersPerEntry]holder
	// heat is a request count that halves every heatHalfLife, as of heatAt.
	heat   float32
	heatAt tick
}

// table finds entries by hash with linear probing. Its course depends on the
// order of calls only.
type table struct {
	slots []entry
	used  int
	hand  int
}

func newTable() table {
	return table{slots: make([]entry, minSlots)}
}

// key keeps the zero hash out of the table, because it marks free slots.
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

// add puts in an entry for a hash that is not there. The pointer is valid
// until the next call that adds or removes.
func (t *table) add(h wasabiridge.BlockHash, now tick) *entry {
	if (t.used+1)*fillDenominator > len(t.slots)*fillNumerator {
		t.grow()
	}
	t.used++
	return t.place(entry{hash: key(h), heatAt: now})
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

// staleSample is how many entries are compared to find one to give up.
const staleSample = 8

// stale returns the slot of the entry confirmed longest ago among the next few
// after the hand. The table must not be empty.
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

// remove frees a slot and moves later entries of the same run forward, so
// that no search stops early at the hole.
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

// age is the time since the newest sign of life of any holder, or since the
// last request when there is no holder.
func (e *entry) age(now tick) wasabiridge.Millis {
	best := e.heatAt.age(now)
	for _, h := range e.holders {
		if h.life() != 0 {
			best = min(best, h.stamp().age(now))
		}
	}
	return best
}
