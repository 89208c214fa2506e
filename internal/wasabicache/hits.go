package wasabicache

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxHits is the maximum number of engines that one lookup returns.
	maxHits = 64
	// maxWalk is the maximum number of blocks of a chain that are looked up.
	maxWalk = 256
	// countHalfLife is the half-life of request counts.
	countHalfLife = 20 * wasabiridge.Second
	// unusedAfter is the time without a request after which an entry without
	// holders is removed.
	unusedAfter = 8 * countHalfLife
)

// Hit is an engine that is estimated to hold a prefix of a chain.
type Hit struct {
	Server ServerIndex
	// Tokens is the expected number of cached tokens.
	Tokens float64
	// Depth is the number of leading blocks that the engine may hold.
	Depth int
	// LikelyDepth is the number of leading blocks that the engine holds, or will hold
	// after its queued requests, with a probability of at least 0.5. ConfirmedDepth is
	// the number of those that are not pending: the engine has been shown to hold them.
	LikelyDepth    int
	ConfirmedDepth int
}

// walk is the state of one engine during one lookup.
type walk struct {
	round       uint64
	hit         int32
	probability float64
	pending     bool
}

// Hits returns the engines that are estimated to hold a prefix of the chain, in the order
// in which they are found. Engines that are known to serve other weights than those of the
// chain are omitted. The slice is valid until the next call.
func (p *Index) Hits(now wasabiridge.Millis, c wasabiridge.Chain) []Hit {
	p.hits = p.hits[:0]
	p.round++
	fullFrom := 0
	for i, b := range c.Blocks[:min(len(c.Blocks), maxWalk)] {
		e := p.table.find(b)
		if e == nil {
			break
		}
		for _, h := range e.holders {
			p.visitHolder(now, c, h, i, fullFrom)
		}
		if !e.full() {
			fullFrom = i + 1
		}
	}
	return p.hits
}

// visitHolder adds block i to the hit of one of its holders. The entries of the blocks from
// fullFrom to i-1 are full, so they may lack holders. An engine that is missing there is
// assumed to hold these blocks too, because it must have computed all blocks before i.
func (p *Index) visitHolder(now wasabiridge.Millis, c wasabiridge.Chain, h holder, i, fullFrom int) {
	if h.generation() == 0 || p.generations[h.generation()] == noServer {
		return
	}
	s := p.generations[h.generation()]
	sv := &p.servers[s]
	if w := c.Root.Weights; w != 0 && sv.weights != 0 && w != sv.weights {
		return
	}
	if sv.walk.round != p.round {
		if len(p.hits) == maxHits {
			return
		}
		sv.walk = walk{round: p.round, hit: int32(len(p.hits)), probability: 1}
		p.hits = append(p.hits, Hit{Server: s})
	}
	hit := &p.hits[sv.walk.hit]
	if hit.Depth < i && hit.Depth < fullFrom {
		return
	}
	sv.walk.probability = min(sv.walk.probability, p.heldProbability(now, sv, h))
	hit.Tokens += sv.walk.probability * float64((i+1-hit.Depth)*c.BlockTokens)
	hit.Depth = i + 1
	if sv.walk.probability < heldThreshold {
		return
	}
	hit.LikelyDepth = i + 1
	if sv.walk.pending = sv.walk.pending || h.pending(); !sv.walk.pending {
		hit.ConfirmedDepth = i + 1
	}
}

// CountRequest counts one request for each block of the chain.
func (p *Index) CountRequest(now wasabiridge.Millis, c wasabiridge.Chain) {
	at := tickOf(now)
	for _, b := range c.Blocks[:min(len(c.Blocks), maxWalk)] {
		e := p.entry(now, b)
		e.count = decayCount(e.count, e.countedAt.age(at)) + 1
		e.countedAt = at
	}
}

// RequestCount returns the number of requests for a block, with exponential decay.
func (p *Index) RequestCount(now wasabiridge.Millis, b wasabiridge.BlockHash) float64 {
	e := p.table.find(b)
	if e == nil {
		return 0
	}
	return float64(decayCount(e.count, e.countedAt.age(tickOf(now))))
}

// DecayedCount returns the value of a request count after the given time of decay, with
// the same half-life as RequestCount.
func (p *Index) DecayedCount(count float64, age wasabiridge.Millis) float64 {
	return float64(decayCount(float32(count), age))
}

func decayCount(count float32, age wasabiridge.Millis) float32 {
	if age == 0 {
		return count
	}
	return count * float32(math.Exp2(-float64(age)/float64(countHalfLife)))
}
