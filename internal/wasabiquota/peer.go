package wasabiquota

import (
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// peer is another instance that owns a part of the limits, or may soon.
type peer struct {
	// life is its present life, past the one before. whole says that it was heard from
	// the beginning of its life.
	life, past wasabiridge.Incarnation
	whole      bool
	// met says that it was heard at all, ended that its process has ended since.
	met, ended bool
	// asked is when it was first told something that it has not answered. Zero means
	// that it has answered everything.
	asked wasabiridge.Millis
	// greeted is when it was last told that this instance is there, before it was heard.
	greeted wasabiridge.Millis
	// heard is when it last answered, used when it last told of something that ran.
	heard, used wasabiridge.Millis
	// active says that callers are sent to it.
	active bool
	// late says that it came while another one was silent, and owns no part until all
	// are heard.
	late bool
	// part is what it last told of the part that it and those that it hears own.
	part float64
	// missed is the integral over time of the part that was left to it untouched, in
	// milliseconds.
	missed float64
	// left says that it has told that it owns no part any more.
	left bool
	seat
	// change and view are what it last told of its own set of owners: the number of the set,
	// and the view.
	change, view uint64
	// viewTold is the view that it was last told, viewCount how often.
	viewTold  uint64
	viewCount int
}

// isSilent reports whether the peer has not answered in time.
func (p *peer) isSilent(now wasabiridge.Millis) bool {
	return !p.ended && p.asked > 0 && now-p.asked >= silentAfter
}

// isInTouch reports whether it is known what the peer lets run.
func (p *peer) isInTouch(now wasabiridge.Millis) bool {
	return p.ended || p.met && !p.isSilent(now)
}

// isSettled reports whether this instance knows the others. One that knows of no others
// takes it after a while that there are none.
func (t *Table) isSettled(now wasabiridge.Millis) bool {
	age := now - t.options.Started
	lonely := len(t.former) <= 1 && t.counted == 1 && age >= aloneAfter
	return t.options.Alone || t.met && age >= settleAfter || lonely || age >= lapseAfter
}

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
	case !settled && (len(t.former) > 0 || t.isCounted(now) && !t.active):
		return t.stray(now)
	}
	return 1 / t.owners(now)
}

// Owners returns the instances that own a part of every limit, ordered by name. It is
// empty while that is not known for certain.
func (t *Table) Owners(now wasabiridge.Millis) []wasabiridge.InstanceID {
	if !t.owner || !t.isSettled(now) || t.hasSilent(now) {
		return nil
	}
	out := []wasabiridge.InstanceID{t.options.Self}
	for id, p := range t.peers {
		if p.active && p.met && !p.late && !p.ended {
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

// know takes which instances callers are sent to.
func (t *Table) know(now wasabiridge.Millis, e wasabiridge.ActiveKnown) {
	t.known = max(t.known, e.Known)
	if e.Known != t.counted {
		t.counted, t.countedAt = e.Known, now
	}
	t.active = false
	for _, p := range t.peers {
		p.active = false
	}
	for _, id := range e.Instances {
		if id == t.options.Self {
			t.active = true
			continue
		}
		t.meet(now, id).active = true
	}
}

// meet returns the peer of that name, which is noted if it is new.
//
// The failure it guards against: an instance that comes while others are cut off would
// take a part that these own. They would let run more between them than the limit.
func (t *Table) meet(now wasabiridge.Millis, id wasabiridge.InstanceID) *peer {
	p := t.peers[id]
	if p == nil {
		p = &peer{used: now, late: t.owner && t.hasSilent(now) && t.isSettled(now)}
		t.peers[id] = p
		t.unseated = true
	}
	return p
}

func (t *Table) hasSilent(now wasabiridge.Millis) bool {
	for _, p := range t.peers {
		if p.isSilent(now) {
			return true
		}
	}
	return false
}

// hearPeer notes that an instance has answered.
func (t *Table) hearPeer(now wasabiridge.Millis, id wasabiridge.InstanceID) {
	if p := t.peers[id]; p != nil {
		t.unseated = t.unseated || p.ended
		p.asked, p.heard, p.met, p.ended = 0, now, true, false
		t.met = true
	}
}

// lives notes in which life a peer tells something. It reports false for a life that is
// over. A peer that tells its first messages is heard from the beginning.
func (p *peer) lives(life wasabiridge.Incarnation, sequence uint64) bool {
	switch life {
	case p.life:
		return true
	case p.past:
		return false
	}
	p.past, p.life, p.whole = p.life, life, sequence <= firstMessages
	p.change, p.view = 0, 0
	return true
}

// end takes it that the process of an instance has ended. It owns a part again when it
// is heard in its next life.
func (t *Table) end(id wasabiridge.InstanceID) {
	if p := t.peers[id]; p != nil {
		p.ended, p.asked = true, 0
		t.unseated = true
	}
}

// isIdle reports whether a peer lets nothing run and no callers are sent to it.
func (p *peer) isIdle(now wasabiridge.Millis) bool { return !p.active && now-p.used >= idleAfter }

// lapse drops peers that own no part any more, and takes or gives up a part of its own
// while all others are heard.
func (t *Table) lapse(now wasabiridge.Millis) {
	heardAll, heardLately := true, false
	for id, p := range t.peers {
		if left := p.isIdle(now) && p.heard >= p.used+idleAfter && p.part == 0; left != p.left {
			p.left, t.unseated = left, true
		}
		switch {
		case !p.active && p.isSilent(now) && now-p.asked >= lapseAfter, !p.active && (!p.met || p.ended), p.left && !p.counted:
			delete(t.peers, id)
			t.unseated = true
			continue
		}
		heardAll = heardAll && p.isInTouch(now)
		heardLately = heardLately || now-p.heard < idleAfter
	}
	t.partAt = 0
	if t.options.Alone {
		return
	}
	known := t.isSettled(now) && (heardLately || len(t.peers) == 0 && !t.met)
	if heardAll {
		t.join(now, known)
	}
	t.reseat(now)
	if known {
		t.agree(now)
	}
}

// join lets instances into the set of owners that came while others were silent, and this
// one if callers come to it.
func (t *Table) join(now wasabiridge.Millis, known bool) {
	for _, p := range t.peers {
		t.unseated = t.unseated || p.late
		p.late = false
	}
	if wants := t.active || t.used > 0 && now-t.used < idleAfter; known && wants != t.wants {
		t.wants, t.unseated = wants, true
	}
}

// Others returns the instances to tell, ordered by name.
func (t *Table) Others() []wasabiridge.InstanceID {
	return slices.Sorted(maps.Keys(t.peers))
}

// Silent returns the instances that have not answered in time, ordered by name.
func (t *Table) Silent(now wasabiridge.Millis) []wasabiridge.InstanceID {
	var out []wasabiridge.InstanceID
	for _, id := range t.Others() {
		if t.peers[id].isSilent(now) {
			out = append(out, id)
		}
	}
	return out
}
