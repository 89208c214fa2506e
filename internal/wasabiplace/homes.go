package wasabiplace

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicache"
)

const (
	// maxMarks bounds the marked levels of a chain.
	maxMarks = 9
	// homeRate moves the learned trust in homes.
	homeRate = 0.03
	// firstHomeTrust is the chance that the home of a marked level holds it,
	// before anything is learned. leastHomeTrust bounds what is learned.
	firstHomeTrust = 0.9
	leastHomeTrust = 0.02
	// firstHeirTrust is the chance that the heir of a chain holds the part
	// that nobody is known to hold, before anything is learned.
	firstHeirTrust = 0.5
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

// homeTokens returns the tokens of the mark that a home is expected to hold
// although this instance does not know of it, because other instances sent the
// prefix there. When a holder of the level is known, the home would be known
// too if its event stream is whole.
func (p *Placer) homeTokens(now wasabiridge.Millis, m mark, s wasabicache.ServerIndex, blockTokens int) float64 {
	tokens := p.homeTrust[m.index] * float64(m.depth*blockTokens)
	if p.held >= m.depth {
		tokens *= 1 - p.picture.Trust(now, s)
	}
	return tokens
}

// learnHome takes how many blocks a home was found to hold.
func (p *Placer) learnHome(index int, blocks int) {
	depth := 1 << index
	found := float64(min(blocks, depth)) / float64(depth)
	t := &p.homeTrust[index]
	*t = max(leastHomeTrust, *t+homeRate*(found-*t))
}

// preferHeir picks one of the servers that hold the most of the chain, by
// rendezvous hashing of the whole chain. Every instance with the same picture
// picks the same heir, so that two instances which get the same new question
// about a known document compute it once.
func (p *Placer) preferHeir(t *table, c wasabiridge.Chain) {
	held := 0
	for i := range p.candidates {
		held = max(held, p.candidates[i].firm)
	}
	if held == 0 || held >= len(c.Blocks) {
		return
	}
	last := uint64(c.Blocks[len(c.Blocks)-1])
	best, weight := -1, uint64(0)
	for i := range p.candidates {
		if p.candidates[i].firm < held {
			continue
		}
		if w := mix(last, t.members[p.candidates[i].member].seed); best < 0 || w > weight {
			best, weight = i, w
		}
	}
	p.candidates[best].heir = true
	p.candidates[best].tokens += p.heirTrust * float64((len(c.Blocks)-held)*c.BlockTokens)
}

// learnHeir takes how many of the blocks that nobody was known to hold an heir
// was found to hold.
func (p *Placer) learnHeir(found, unknown int) {
	share := float64(max(0, found)) / float64(unknown)
	p.heirTrust = max(leastHomeTrust, p.heirTrust+homeRate*(share-p.heirTrust))
}
