package wasabicache

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// lossWeight is the weight of one event in the moving average of the event loss rate.
	lossWeight = 0.01
	// initialLoss is the event loss rate that is assumed for a new stream.
	initialLoss = 0.05
	// longGap is the size of a long gap, as a share of the number of blocks that the
	// engine holds. After a long gap the stream says nothing about earlier entries.
	longGap = 0.25
	// maxShortGap is the number of lost events up to which a gap is never long.
	maxShortGap = 8
)

// ApplyEvent processes one event of an engine's cache event stream. Events of an earlier
// incarnation and repeated events are ignored.
func (p *Index) ApplyEvent(now wasabiridge.Millis, e wasabiridge.CacheEvent) {
	s := p.Server(e.Backend)
	if !p.UpdateIncarnation(s, e.Incarnation, 0) {
		return
	}
	sv := &p.servers[s]
	if e.Sequence <= sv.sequence {
		return
	}
	sv.checkSequence(now, e.Sequence)
	sv.expectedSince = 0
	switch e.Kind {
	case wasabiridge.BlockStored:
		p.set(now, s, e.Block, 0)
	case wasabiridge.BlockEvicted:
		p.evicted(now, s, e.Block)
	case wasabiridge.CacheCleared:
		p.Clear(s)
	}
}

// checkSequence updates the reliability of the stream from the sequence number of an
// event. A gap in the sequence numbers means that events were lost. As their content is
// unknown, the estimated loss rate rises.
func (sv *server) checkSequence(now wasabiridge.Millis, sequence uint64) {
	first := sv.sequence == 0
	missed := float64(sequence - sv.sequence - 1)
	sv.sequence = sequence
	if first {
		sv.loss, sv.lastLongGap = initialLoss, 0
		return
	}
	sv.addLosses(missed)
	sv.loss *= 1 - lossWeight
	if missed > maxShortGap && missed > longGap*float64(sv.heldCount) {
		sv.lastLongGap = now
	}
}

// addLosses updates the estimated loss rate as if the given number of events had been
// lost.
func (sv *server) addLosses(events float64) {
	if events > 0 {
		sv.loss = 1 - (1-sv.loss)*math.Pow(1-lossWeight, events)
	}
}

// evicted removes a block that the engine reported as evicted, and learns from its age.
func (p *Index) evicted(now wasabiridge.Millis, s ServerIndex, b wasabiridge.BlockHash) {
	sv := &p.servers[s]
	e := p.table.find(b)
	if e == nil {
		return
	}
	if h, ok := e.holder(sv.generation); ok {
		sv.learnEviction(h.stamp().age(tickOf(now)))
		p.unset(s, b)
	}
}
