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
