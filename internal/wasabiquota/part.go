package wasabiquota

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// owners is how many instances own an equal part of every limit.
func (t *Table) owners(now wasabiridge.Millis) float64 {
	n := 1
	for _, p := range t.peers {
		if p.counted && !p.ended {
			n++
		}
	}
	if !t.isSettled(now) && !t.isCounted(now) {
		n = max(n, manyInstances)
	}
	return float64(n)
}

// isCounted reports whether the number of instances has been the same for a while.
//
// The failure it guards against: all instances start at once, and each of them has callers
// before it knows the others. Each would take a part that is right for few.
func (t *Table) isCounted(now wasabiridge.Millis) bool {
	return t.counted > 1 && now-t.countedAt >= stableAfter
}

// own is the part of every limit that this instance may use by itself.
func (t *Table) own(now wasabiridge.Millis) float64 {
	settled := t.isSettled(now)
	switch {
	case !settled && t.former[t.options.Self]:
		return 1 / float64(len(t.former))
	case !settled && (len(t.former) > 0 || t.isCounted(now) && (!t.active || now-t.options.Started >= settleAfter)):
		return t.stray(now)
	}
	return 1 / t.owners(now)
}

// Owners returns the instances that own a part of every limit, ordered by name. It is
// empty while that is not known for certain.
func (t *Table) Owners(now wasabiridge.Millis) []wasabiridge.InstanceID {
	if !t.owner || !t.agreed || !t.isSettled(now) || t.hasSilent(now) {
		return nil
	}
	out := []wasabiridge.InstanceID{t.options.Self}
	for id, p := range t.peers {
		if p.active && p.kept {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// IsLimiting reports whether any account has a limit.
func (t *Table) IsLimiting() bool { return len(t.accounts) > 0 }

// part is the part of every limit that may be used here: what this instance and those in
// touch own together. One that owns none goes by what others tell.
//
// The failure it guards against: instances that are added, or to which no callers were
// sent, are cut off. Each would count itself as an owner beside those that are, and
// together they would let run more than the limit.
func (t *Table) part(now wasabiridge.Millis) float64 {
	if t.partAt != now {
		t.partNow, t.partAt = t.reckonPart(now), now
	}
	return t.partNow
}

func (t *Table) reckonPart(now wasabiridge.Millis) float64 {
	if !t.owner {
		if told := t.toldPart(now); told > 0 {
			return told
		}
	}
	inTouch := t.inTouch(now)
	if !t.owner && t.isSettled(now) {
		if inTouch == 1 || t.ownersMet {
			return t.stray(now)
		}
		if inTouch < t.owners(now) {
			return t.formerPart(now)
		}
	}
	return inTouch / t.owners(now)
}

// formerPart is the part of instances that have all started anew and hear only some of the
// others. Those that they do not hear may have gone on: nobody owns a part but as before.
func (t *Table) formerPart(now wasabiridge.Millis) float64 {
	if t.former != nil && len(t.former) == 0 {
		return t.inTouch(now) / t.owners(now)
	}
	own, gone := 0, 0
	for id := range t.former {
		switch p := t.peers[id]; {
		case id == t.options.Self:
			own++
		case p == nil:
			gone++
		case !p.ended && p.isInTouch(now):
			own++
		}
	}
	if own == 0 {
		return t.stray(now)
	}
	return float64(own) / (t.owners(now) + float64(gone))
}

// inTouch is how many owners use their parts together with this instance, itself included.
//
// The failure it guards against: instances that come just before others are cut off count
// as owners on their side, and the others, who do not know of them, divide by fewer.
func (t *Table) inTouch(now wasabiridge.Millis) float64 {
	n, kept, all := 1, 1, true
	for _, p := range t.peers {
		switch {
		case p.ended:
			// Nobody owns its part, on no side.
		case p.counted && p.isInTouch(now):
			n++
			if p.kept {
				kept++
			}
		case p.kept:
			all = false
		}
	}
	if all {
		return float64(n)
	}
	return float64(kept)
}

// stray is the part of every limit of an instance that owns none and hears nobody.
func (t *Table) stray(now wasabiridge.Millis) float64 {
	return strayShare / max(t.owners(now), float64(t.known))
}

// toldPart is the least part that any instance in touch tells. Zero means that none
// tells.
func (t *Table) toldPart(now wasabiridge.Millis) float64 {
	least := 0.0
	for _, p := range t.peers {
		if p.part > 0 && !p.ended && p.isInTouch(now) && (least == 0 || p.part < least) {
			least = p.part
		}
	}
	return least
}

// knownPart is what the others are told of the part. Zero means that it is not known.
func (t *Table) knownPart(now wasabiridge.Millis) float64 {
	if !t.owner || !t.isSettled(now) {
		return 0
	}
	return t.part(now)
}

// partOf is the part of an account's limit that may be used here.
func (t *Table) partOf(now wasabiridge.Millis, a *account, part float64) float64 {
	if a.known {
		return part
	}
	return t.shareOf(now, a)
}

// shareOf is the part of the limit of an account that may be used here while it is not
// known what was spent.
func (t *Table) shareOf(now wasabiridge.Millis, a *account) float64 {
	if t.isSettled(now) {
		return a.share
	}
	return t.own(now)
}
