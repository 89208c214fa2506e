package wasabicache

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// lossRate is the weight of one event in the learned share of losses.
	lossRate = 0.01
	// firstLoss is the share of losses assumed of a stream that was just
	// opened.
	firstLoss = 0.05
	// longGap is the gap, as a share of what the engine holds, after which
	// the stream vouches only for entries that came later.
	longGap = 0.25
	// shortGap is a number of lost events that never makes a long gap.
	shortGap = 8
)

// Audit takes one event of an engine's stream. Events of an earlier
// incarnation and events that come again are ignored.
func (p *Picture) Audit(now wasabiridge.Millis, e wasabiridge.CacheEvent) {
	s := p.Server(e.Backend)
	if !p.Reborn(s, e.Incarnation, 0) {
		return
	}
	sv := &p.servers[s]
	if e.Sequence <= sv.sequence {
		return
	}
	sv.follow(now, e.Sequence)
	sv.owed = 0
	switch e.Kind {
	case wasabiridge.BlockStored:
		p.set(now, s, e.Block, 0)
	case wasabiridge.BlockEvicted:
		p.evicted(now, s, e.Block)
	case wasabiridge.CacheCleared:
		p.Clear(s)
	}
}

// follow checks the sequence numbers. Events that are lost show as a gap in
// them; what the lost ones said cannot be known, so the trust in the stream
// falls.
func (sv *server) follow(now wasabiridge.Millis, sequence uint64) {
	first := sv.sequence == 0
	missed := float64(sequence - sv.sequence - 1)
	sv.sequence = sequence
	if first {
		sv.loss, sv.whole = firstLoss, 0
		return
	}
	sv.lost(missed)
	sv.loss *= 1 - lossRate
	if missed > shortGap && missed > longGap*float64(sv.held) {
		sv.whole = now
	}
}

// lost moves the learned share of losses as if the events had been lost.
func (sv *server) lost(events float64) {
	if events > 0 {
		sv.loss = 1 - (1-sv.loss)*math.Pow(1-lossRate, events)
	}
}

func (p *Picture) evicted(now wasabiridge.Millis, s ServerIndex, b wasabiridge.BlockHash) {
	sv := &p.servers[s]
	e := p.table.find(b)
	if e == nil {
		return
	}
	if h, ok := e.holder(sv.life); ok {
		sv.lived(h.stamp().age(tickOf(now)))
		p.unset(s, b)
	}
}
