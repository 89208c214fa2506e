package wasabiplace

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxMarks bounds the marked levels of a chain.
	maxMarks = 9
	// homeRate moves the learned trust in homes.
	homeRate = 0.03
	// firstHomeTrust is the number of blocks that the home of a marked level
	// is expected to hold before anything is learned.
	firstHomeTrust = 0.5
	// heatHeadroom is how much more than its share of the pool a hot level is
	// given.
	heatHeadroom = 1.25
	// leastHeat is the heat below which a level has one home.
	leastHeat = 4
)

// mark is a level of a chain whose homes are asked: the levels of 1, 2, 4, 8
// and so on blocks. Every instance marks the same levels of the same prefix,
// whatever comes after it.
type mark struct {
	index int
	depth int
	homes int
}

// marks fills the marked levels of the chain.
func (p *Placer) marks(now wasabiridge.Millis, t *table, c wasabiridge.Chain) []mark {
	out := p.markBuffer[:0]
	for depth := 1; depth <= len(c.Blocks) && len(out) < maxMarks; depth *= 2 {
		out = append(out, mark{index: len(out), depth: depth, homes: p.homeCount(now, t, c.Blocks[depth-1])})
	}
	p.markBuffer = out
	return out
}

// homeCount gives a level as many homes as its share of the pool's requests
// needs.
func (p *Placer) homeCount(now wasabiridge.Millis, t *table, b wasabiridge.BlockHash) int {
	heat := p.picture.HeatOf(now, b)
	if heat < leastHeat {
		return 1
	}
	share := heat / max(heat, p.requests(now, t))
	return min(max(1, int(math.Ceil(share*heatHeadroom*float64(len(t.members))))), p.opts.MaxHomes)
}

func (p *Placer) requests(now wasabiridge.Millis, t *table) float64 {
	t.requests = p.picture.Cooled(t.requests, now-t.counted)
	t.counted = now
	return t.requests
}

// homeTrust returns the blocks that a home of the mark is expected to hold
// although this instance knows nothing of it.
func (p *Placer) homeTrust(m mark) float64 {
	return p.homeBlocks[m.index]
}

// learnHome takes what a home was found to hold.
func (p *Placer) learnHome(index int, blocks int) {
	p.homeBlocks[index] += homeRate * (float64(blocks) - p.homeBlocks[index])
}
