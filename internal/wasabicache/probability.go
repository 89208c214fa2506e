package wasabicache

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// minHeldProbability is the probability below which a holder is removed.
	minHeldProbability = 0.01
	// heldThreshold is the probability from which a block counts as held.
	heldThreshold = 0.5
	// minLoss is the minimum loss rate that is assumed. Even in a stream without
	// gaps some evictions are not known yet, because events are delayed.
	minLoss = 0.002
	// learnRate is the step size of an update of the lifetime by one observation.
	learnRate = 0.15
	// minLifetime and maxLifetime limit the learned lifetime.
	minLifetime = float64(wasabiridge.Second / 2)
	maxLifetime = float64(20 * wasabiridge.Minute)
	// contradictionLosses is the number of lost events that is assumed if an answer shows
	// that a block is not cached whose eviction the stream did not report.
	contradictionLosses = 5
)

// decay returns the probability that a block survives to the given age. It is 0.5 at one
// lifetime and then decreases quickly, as in a cache with least-recently-used eviction.
func decay(age wasabiridge.Millis, lifetime float64) float64 {
	r := float64(age) / lifetime
	r *= r
	return 1 / (1 + r*r)
}

// heldProbability returns the probability that the holder still has the block. From the
// age alone it is the result of decay. If the engine's stream has not reported an eviction,
// the block either survived, or was evicted and the event was lost; the probability of the
// former follows from Bayes' rule. This also applies to blocks that were never reported as
// stored, which are most of the engine's blocks after a restart of the router.
func (p *Index) heldProbability(now wasabiridge.Millis, sv *server, h holder) float64 {
	age := h.stamp().age(tickOf(now))
	survived := decay(age, sv.lifetime)
	if h.pending() || p.isEventOverdue(now, sv) || now-age < sv.lastLongGap {
		return survived
	}
	return survived / (survived + (1-survived)*max(sv.loss, minLoss))
}

// isEventOverdue reports whether an expected event is overdue. The stream is considered
// stopped then, so the lack of eviction events says nothing.
func (p *Index) isEventOverdue(now wasabiridge.Millis, sv *server) bool {
	return sv.expectedSince != 0 && now-sv.expectedSince > p.opts.EventTimeout
}

// ExpectEvent records that the engine has computed blocks that were not cached, so that
// an event of its stream is expected.
func (p *Index) ExpectEvent(now wasabiridge.Millis, s ServerIndex) {
	if sv := &p.servers[s]; sv.expectedSince == 0 {
		sv.expectedSince = now
	}
}

// StreamReliability returns the estimated share of the engine's cache events that
// arrive, between 0 and 1. It is 0 while an event is overdue.
func (p *Index) StreamReliability(now wasabiridge.Millis, s ServerIndex) float64 {
	sv := &p.servers[s]
	if p.isEventOverdue(now, sv) {
		return 0
	}
	return 1 - sv.loss
}

// learn updates the lifetime by one observation: whether a block of the given age was
// still cached. It is one step of a logistic regression on the logarithm of the lifetime.
func (sv *server) learn(age wasabiridge.Millis, kept bool) {
	expected, got := decay(age, sv.lifetime), 0.0
	if kept {
		got = 1
	}
	sv.setLifetime(sv.lifetime * math.Exp(learnRate*(got-expected)))
}

// learnEviction moves the lifetime towards the age at which a block was evicted.
func (sv *server) learnEviction(age wasabiridge.Millis) {
	sv.setLifetime(sv.lifetime * math.Pow(max(float64(age), minLifetime)/sv.lifetime, learnRate))
}

func (sv *server) setLifetime(l float64) {
	sv.lifetime = min(max(l, minLifetime), maxLifetime)
}

// RecordAnswer records that the engine found the first n blocks of a chain in its cache
// when it processed the prompt at the given time. Estimate is the estimate from before
// the attempt. If the estimated blocks were found, the learned lifetime rises; if not,
// it falls, and so does the reliability of the event stream, unless the last block was
// pending or an event is overdue.
func (p *Index) RecordAnswer(at wasabiridge.Millis, s ServerIndex, before Estimate, n int) {
	sv := &p.servers[s]
	if before.depth == 0 || before.generation != sv.generation {
		return
	}
	kept := n >= before.depth
	sv.learn(before.age, kept)
	if !before.pending && !kept && !p.isEventOverdue(at, sv) {
		sv.addLosses(contradictionLosses)
	}
}

// Estimate is the estimate for a chain at an engine before an attempt is sent there. It
// is compared with the answer.
type Estimate struct {
	generation uint16
	depth      int
	age        wasabiridge.Millis
	pending    bool
}

// IsCurrent reports whether the engine still has the generation for which b was
// estimated.
func (p *Index) IsCurrent(s ServerIndex, b Estimate) bool {
	return b.generation == p.servers[s].generation
}

// Depth returns the number of leading blocks that were estimated to be held.
func (b Estimate) Depth() int { return b.depth }

// Estimate returns the current estimate for the chain at the engine. Call it before
// MarkHeld, which changes the estimate.
func (p *Index) Estimate(now wasabiridge.Millis, s ServerIndex, c wasabiridge.Chain) Estimate {
	sv := &p.servers[s]
	b := Estimate{generation: sv.generation}
	for i, block := range c.Blocks {
		e := p.table.find(block)
		if e == nil {
			return b
		}
		h, ok := e.holder(sv.generation)
		if !ok || p.heldProbability(now, sv, h) < heldThreshold {
			return b
		}
		b.depth = i + 1
		b.age = h.stamp().age(tickOf(now))
		b.pending = h.pending()
	}
	return b
}
