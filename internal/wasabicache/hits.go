package wasabicache

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxHits bounds how many holders one look returns.
	maxHits = 64
	// maxWalk bounds how many blocks of one chain are looked up.
	maxWalk = 256
	// heatHalfLife is the time in which the heat of a level halves.
	heatHalfLife = 20 * wasabiridge.Second
	// coldAfter is the time without a request after which a level that
	// nobody holds is forgotten.
	coldAfter = 8 * heatHalfLife
)

// Hit is an engine that is believed to hold the beginning of a chain.
type Hit struct {
	Server ServerIndex
	// Tokens is the expected number of cached tokens.
	Tokens float64
	// Depth is the number of leading blocks that it may hold.
	Depth int
	// Firm is the number of leading blocks that it rather holds than not, or
	// will when its queue is done. Shown is how many of them it has shown to
	// hold.
	Firm  int
	Shown int
}

// walk is the state of one engine during one look.
type walk struct {
	round   uint64
	hit     int32
	trust   float64
	pending bool
}

// Hits returns the engines that are believed to hold the beginning of the
// chain, in the order in which they were found. Engines whose weights are
// known to differ from those of the chain are left out. The slice is valid
// until the next call.
func (p *Picture) Hits(now wasabiridge.Millis, c wasabiridge.Chain) []Hit {
	p.hits = p.hits[:0]
	p.round++
	fullFrom := 0
	for i, b := range c.Blocks[:min(len(c.Blocks), maxWalk)] {
		e := p.table.find(b)
		if e == nil {
			break
		}
		for _, h := range e.holders {
			p.meet(now, c, h, i, fullFrom)
		}
		if !e.full() {
			fullFrom = i + 1
		}
	}
	return p.hits
}

// meet adds one holder of block i. Levels from fullFrom to i-1 know only some
// of their holders, so missing there is no sign that the engine lacks the
// block: whoever holds a block computed every block before it.
func (p *Picture) meet(now wasabiridge.Millis, c wasabiridge.Chain, h holder, i, fullFrom int) {
	if h.life() == 0 || p.lives[h.life()] == noServer {
		return
	}
	s := p.lives[h.life()]
	sv := &p.servers[s]
	if w := c.Root.Weights; w != 0 && sv.weights != 0 && w != sv.weights {
		return
	}
	if sv.walk.round != p.round {
		if len(p.hits) == maxHits {
			return
		}
		sv.walk = walk{round: p.round, hit: int32(len(p.hits)), trust: 1}
		p.hits = append(p.hits, Hit{Server: s})
	}
	hit := &p.hits[sv.walk.hit]
	if hit.Depth < i && hit.Depth < fullFrom {
		return
	}
	sv.walk.trust = min(sv.walk.trust, p.trust(now, sv, h))
	hit.Tokens += sv.walk.trust * float64((i+1-hit.Depth)*c.BlockTokens)
	hit.Depth = i + 1
	if sv.walk.trust < believed {
		return
	}
	hit.Firm = i + 1
	if sv.walk.pending = sv.walk.pending || h.pending(); !sv.walk.pending {
		hit.Shown = i + 1
	}
}

// Heat counts one request for every level of the chain.
func (p *Picture) Heat(now wasabiridge.Millis, c wasabiridge.Chain) {
	at := tickOf(now)
	for _, b := range c.Blocks[:min(len(c.Blocks), maxWalk)] {
		e := p.entry(now, b)
		e.heat = cooled(e.heat, e.heatAt.age(at)) + 1
		e.heatAt = at
	}
}

// HeatOf returns the decayed number of requests for one level.
func (p *Picture) HeatOf(now wasabiridge.Millis, b wasabiridge.BlockHash) float64 {
	e := p.table.find(b)
	if e == nil {
		return 0
	}
	return float64(cooled(e.heat, e.heatAt.age(tickOf(now))))
}

// Cooled returns what is left of a count of requests after a time, by the same
// half-life as the heat of levels.
func (p *Picture) Cooled(count float64, age wasabiridge.Millis) float64 {
	return float64(cooled(float32(count), age))
}

func cooled(heat float32, age wasabiridge.Millis) float32 {
	if age == 0 {
		return heat
	}
	return heat * float32(math.Exp2(-float64(age)/float64(heatHalfLife)))
}
