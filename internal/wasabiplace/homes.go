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
	// heirPull is the wait, in milliseconds, that the heir is worth beyond what
	// it may hold.
	heirPull = 20
	// heatHeadroom is how much more than its share of the pool a hot level is
	// given, for bursts.
	heatHeadroom = 0.75
	// spreadCalm is the mean queue up to which further copies of hot levels
	// are made. spreadChance is how many requests for a level there are to
	// one that makes a copy, so that about one of all instances does.
	spreadCalm   = 0.25
	spreadChance = 16
	// firstSpillTrust is the chance that a server chosen for a further copy has
	// it already for another instance, before anything is learned.
	firstSpillTrust = 0.5
	// busyShare is the wait at a busy holder, as a share of the time to
	// compute what it holds.
	busyShare = 0.3
	// leastHeat is the heat below which a level has one home.
	leastHeat = 2
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
		out = append(out, mark{index: len(out), depth: depth, homes: p.homeCount(now, t, c, depth)})
	}
	p.markBuffer = out
	return out
}

// homeCount gives a level as many homes as its share of the pool's work needs.
// Work is counted in blocks of the prompts.
func (p *Placer) homeCount(now wasabiridge.Millis, t *table, c wasabiridge.Chain, depth int) int {
	heat := p.picture.HeatOf(now, c.Blocks[depth-1])
	if heat < leastHeat {
		return 1
	}
	work := heat * float64(len(c.Blocks))
	share := work / max(work, p.blocksAsked(now, t))
	return min(max(1, int(math.Ceil(share*heatHeadroom*float64(len(t.members))))), p.opts.MaxHomes)
}

// blocksAsked counts the blocks of the pool's recent prompts. The count cools
// like the heat of levels.
func (p *Placer) blocksAsked(now wasabiridge.Millis, t *table) float64 {
	t.asked = p.picture.Cooled(t.asked, now-t.counted)
	t.counted = now
	return t.asked
}

// considerSpill picks where a known level gets a further copy when all its
// holders are busy: the first of its homes that does not hold it. Instances
// that turn away from the same busy holders at the same time then meet there,
// and the copy is computed once and not once for each of them. A level that is
// being computed for the first time gets no copy; requests for it wait.
func (p *Placer) considerSpill(now wasabiridge.Millis, t *table, q wasabiridge.PlaceQuery) {
	i := len(p.markBuffer) - 1
	for i >= 0 && p.markBuffer[i].depth > p.shown {
		i--
	}
	if i < 0 {
		return
	}
	m := p.markBuffer[i]
	tokens := float64(m.depth * q.Request.Chain.BlockTokens)
	spread := p.spreads(t, m)
	if !spread && !p.holdersBusy(now, t, m.depth, tokens) {
		return
	}
	for _, home := range t.homesOf(q.Request.Chain.Blocks[m.depth-1]) {
		if home < 0 {
			return
		}
		c := p.consider(now, t, q, home)
		if c == nil || c.firm >= m.depth {
			continue
		}
		if expected := p.spillTrust * tokens; expected > c.tokens {
			c.tokens, c.spill = expected, true
		}
		c.spread = spread
		return
	}
}

// spreads reports whether this request is to make a further copy of a hot
// level that has fewer holders than its share of the work needs. It does so
// while the pool is calm: in a burst the wait for the few holders is longer
// than the time to compute the level, and it is too late to begin then.
func (p *Placer) spreads(t *table, m mark) bool {
	if m.homes == 1 || t.waiting() > spreadCalm {
		return false
	}
	holders := 0
	for i := range p.candidates {
		if p.candidates[i].firm >= m.depth {
			holders++
		}
	}
	return holders < m.homes && p.random.IntN(spreadChance) == 0
}

// holdersBusy reports whether the wait at every holder of a level is a good
// part of the time to compute the level.
func (p *Placer) holdersBusy(now wasabiridge.Millis, t *table, depth int, tokens float64) bool {
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.firm < depth {
			continue
		}
		m := &t.members[c.member]
		l := &p.loads[m.server]
		if l.wait(now, m.backend.Slots) < busyShare*tokens*p.costOf(l) {
			return false
		}
	}
	return true
}

// learnSpill takes which share of a level a server was found to hold that was
// chosen for a further copy of it.
func (p *Placer) learnSpill(blocks, depth int) {
	found := min(1, float64(blocks)/float64(max(1, depth)))
	p.spillTrust = max(leastHomeTrust, p.spillTrust+homeRate*(found-p.spillTrust))
}

// homeTokens returns the tokens of the mark that a home is expected to hold
// although this instance does not know of it, because other instances sent the
// prefix there. When a holder of the level is known, the home would be known
// too if its event stream is whole.
func (p *Placer) homeTokens(now wasabiridge.Millis, m mark, s wasabicache.ServerIndex, blockTokens int) float64 {
	tokens := p.homeTrust[m.index] * float64(m.depth*blockTokens)
	if p.firm >= m.depth {
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
// picks the same heir. Two instances that get the same new question about a
// known document then compute it once, and of two copies of the same question
// one is used while there is no queue, so that the other is evicted.
func (p *Placer) preferHeir(t *table, c wasabiridge.Chain) {
	held := p.firm
	if held == 0 {
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
	p.candidates[best].pull = heirPull
	if held < len(c.Blocks) {
		p.candidates[best].heir = true
		p.candidates[best].tokens += p.heirTrust * float64((len(c.Blocks)-held)*c.BlockTokens)
	}
}

// learnHeir takes how many of the blocks that nobody was known to hold an heir
// was found to hold.
func (p *Placer) learnHeir(found, unknown int) {
	share := float64(max(0, found)) / float64(unknown)
	p.heirTrust = max(leastHomeTrust, p.heirTrust+homeRate*(share-p.heirTrust))
}
