package wasabiplace

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicache"
)

const (
	// maxHomeLevels bounds the home levels of a chain.
	maxHomeLevels = 9
	// hitRateStep is the step of the moving averages of hit rates.
	hitRateStep = 0.03
	// initialHomeHitRate is the initial estimate of the probability that the
	// home of a level holds it. minHitRate is the lower bound of all estimated
	// hit rates.
	initialHomeHitRate = 0.9
	minHitRate         = 0.02
	// initialPreferredHitRate is the initial estimate of the share that the
	// preferred holder has cached of the blocks that no server is known to
	// hold.
	initialPreferredHitRate = 0.5
	// preferredBonus is subtracted from the score of the preferred holder, in
	// milliseconds, beyond what it may have cached.
	preferredBonus = 20
	// homesPerShare is the number of homes of a hot level for bursts, relative
	// to the number of servers that its share of the work corresponds to.
	homesPerShare = 0.75
	// addCopyMaxQueue is the mean queue length up to which additional copies of
	// hot levels are made. One in addCopyOdds requests for a level makes a
	// copy, so that only about one of all instances does.
	addCopyMaxQueue = 0.25
	addCopyOdds     = 16
	// initialSpillHitRate is the initial estimate of the share of a level that
	// a server chosen for an additional copy already has, because of another
	// instance.
	initialSpillHitRate = 0.5
	// busyWaitShare is the wait from which a holder counts as busy, relative to
	// the time to compute the level that it holds.
	busyWaitShare = 0.3
	// minHeat is the heat, a decayed count of requests, below which a level has
	// one home.
	minHeat = 2
)

// homeLevel is a level of a chain whose homes are considered: those of 1, 2, 4,
// 8 and so on blocks. All instances use the same levels for the same prefix,
// whatever follows it.
type homeLevel struct {
	index int
	depth int
	homes int
}

// homeLevels returns the home levels of the chain. The result is valid until
// the next call.
func (p *Placer) homeLevels(now wasabiridge.Millis, t *table, c wasabiridge.Chain) []homeLevel {
	out := p.levelBuffer[:0]
	for depth := 1; depth <= len(c.Blocks) && len(out) < maxHomeLevels; depth *= 2 {
		out = append(out, homeLevel{index: len(out), depth: depth, homes: p.homeCount(now, t, c, depth)})
	}
	p.levelBuffer = out
	return out
}

// homeCount returns the number of homes of a level, in proportion to its share
// of the pool's recent work. Work is measured in prompt blocks.
func (p *Placer) homeCount(now wasabiridge.Millis, t *table, c wasabiridge.Chain, depth int) int {
	heat := p.caches.RequestCount(now, c.Blocks[depth-1])
	if heat < minHeat {
		return 1
	}
	work := heat * float64(len(c.Blocks))
	share := work / max(work, p.decayedRecentBlocks(now, t))
	return min(max(1, int(math.Ceil(share*homesPerShare*float64(len(t.members))))), p.opts.MaxHomes)
}

// decayedRecentBlocks returns the number of blocks in the pool's recent
// prompts. It decays like the heat of levels.
func (p *Placer) decayedRecentBlocks(now wasabiridge.Millis, t *table) float64 {
	t.recentBlocks = p.caches.DecayedCount(t.recentBlocks, now-t.recentBlocksAt)
	t.recentBlocksAt = now
	return t.recentBlocks
}

// considerSpill selects the server for an additional copy of a level when all
// its holders are busy: the first of its homes that does not hold it. Instances
// that avoid the same busy holders at the same time therefore choose the same
// server, and the copy is computed once instead of once per instance. A level
// that is being computed for the first time gets no copy; requests for it wait.
func (p *Placer) considerSpill(now wasabiridge.Millis, t *table, q wasabiridge.PlaceQuery) {
	i := len(p.levelBuffer) - 1
	for i >= 0 && p.levelBuffer[i].depth > p.confirmed {
		i--
	}
	if i < 0 {
		return
	}
	m := p.levelBuffer[i]
	tokens := float64(m.depth * q.Request.Chain.BlockTokens)
	addCopy := p.shouldAddCopy(t, m)
	if !addCopy && !p.holdersBusy(now, t, m.depth, tokens) {
		return
	}
	for _, home := range t.homesOf(q.Request.Chain.Blocks[m.depth-1]) {
		if home < 0 {
			return
		}
		c := p.consider(now, t, q, home)
		if c == nil || c.likely >= m.depth {
			continue
		}
		if expected := p.spillHitRate * tokens; expected > c.tokens {
			c.tokens, c.spill = expected, true
		}
		c.addCopy = addCopy
		return
	}
}

// shouldAddCopy reports whether this request should make an additional copy of
// a hot level with fewer holders than homes. Copies are made while queues in
// the pool are short: in a burst the queues of the few holders grow longer than
// the time to compute the level, and a copy would come too late.
func (p *Placer) shouldAddCopy(t *table, m homeLevel) bool {
	if m.homes == 1 || t.waiting() > addCopyMaxQueue {
		return false
	}
	holders := 0
	for i := range p.candidates {
		if p.candidates[i].likely >= m.depth {
			holders++
		}
	}
	return holders < m.homes && p.random.IntN(addCopyOdds) == 0
}

// holdersBusy reports whether the wait at every holder of the level is at least
// busyWaitShare of the time to compute the level.
func (p *Placer) holdersBusy(now wasabiridge.Millis, t *table, depth int, tokens float64) bool {
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.likely < depth {
			continue
		}
		m := &t.members[c.member]
		l := &p.loads[m.server]
		if l.wait(now, m.backend.Slots) < busyWaitShare*tokens*p.costOf(l) {
			return false
		}
	}
	return true
}

// learnSpillHitRate updates the estimate with the number of blocks that a
// server already had when it was chosen for an additional copy of depth blocks.
func (p *Placer) learnSpillHitRate(blocks, depth int) {
	found := min(1, float64(blocks)/float64(max(1, depth)))
	p.spillHitRate = max(minHitRate, p.spillHitRate+hitRateStep*(found-p.spillHitRate))
}

// homeTokens returns how many tokens of the level a home is expected to have
// because other instances sent the prefix there. If some candidate is known to
// hold the level, the home would be known too, provided that its event stream
// is complete; the estimate is reduced by the trust in that stream.
func (p *Placer) homeTokens(now wasabiridge.Millis, m homeLevel, s wasabicache.ServerIndex, blockTokens int) float64 {
	tokens := p.homeHitRate[m.index] * float64(m.depth*blockTokens)
	if p.likely >= m.depth {
		tokens *= 1 - p.caches.StreamReliability(now, s)
	}
	return tokens
}

// learnHomeHitRate updates the estimate with the number of blocks that a home
// had cached.
func (p *Placer) learnHomeHitRate(index int, blocks int) {
	depth := 1 << index
	found := float64(min(blocks, depth)) / float64(depth)
	t := &p.homeHitRate[index]
	*t = max(minHitRate, *t+hitRateStep*(found-*t))
}

// preferHolder selects one of the candidates that hold the most of the chain,
// by rendezvous hashing of its last block. All instances with the same state
// select the same one. Two instances that receive the same new question about a
// known document then compute it once. Of two copies of the same prompt, one is
// used as long as there is no queue, so that the other is evicted.
func (p *Placer) preferHolder(t *table, c wasabiridge.Chain) {
	held := p.likely
	if held == 0 {
		return
	}
	last := uint64(c.Blocks[len(c.Blocks)-1])
	best, weight := -1, uint64(0)
	for i := range p.candidates {
		if p.candidates[i].likely < held {
			continue
		}
		if w := mix(last, t.members[p.candidates[i].member].seed); best < 0 || w > weight {
			best, weight = i, w
		}
	}
	p.candidates[best].bonus = preferredBonus
	if held < len(c.Blocks) {
		p.candidates[best].preferred = true
		p.candidates[best].tokens += p.preferredHitRate * float64((len(c.Blocks)-held)*c.BlockTokens)
	}
}

// learnPreferredHitRate updates the estimate with how many of the blocks that
// were not known to be held anywhere the preferred holder had cached.
func (p *Placer) learnPreferredHitRate(found, unknown int) {
	share := float64(max(0, found)) / float64(unknown)
	p.preferredHitRate = max(minHitRate, p.preferredHitRate+hitRateStep*(share-p.preferredHitRate))
}
