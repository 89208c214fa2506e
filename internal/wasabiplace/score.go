package wasabiplace

import "github.com/wasabiridge/wasabiridge"

// minDelayed is how many requests a computed token is assumed to delay in a
// pool without queues.
const minDelayed = 0.3

// maxDelayed bounds how many requests a computed token is assumed to delay.
// Beyond that, requests further back are better sent to another server than
// delayed.
const maxDelayed = 4

// choose scores all candidates and returns the index of the best, or -1.
func (p *Placer) choose(now wasabiridge.Millis, t *table, q wasabiridge.PlaceQuery) int {
	best := -1
	for i := range p.candidates {
		c := &p.candidates[i]
		p.score(now, t, q.Request, c)
		if c.addCopy {
			return i
		}
		if best < 0 || c.score < p.candidates[best].score {
			best = i
		}
	}
	if best < 0 {
		return best
	}
	limit := p.candidates[best].score + float64(p.opts.ScoreTolerance)
	near := 0
	for i := range p.candidates {
		if p.candidates[i].score > limit {
			continue
		}
		near++
		if p.random.IntN(near) == 0 {
			best = i
		}
	}
	return best
}

func (p *Placer) score(now wasabiridge.Millis, t *table, r wasabiridge.Request, c *candidate) {
	m := &t.members[c.member]
	l := &p.loads[m.server]
	computed := max(0, float64(r.Chain.Tokens)-c.tokens)
	work := computed * p.costOf(l)
	c.wait = float64(m.distance) + l.wait(now, m.backend.Slots) + work
	c.score = c.wait + p.priceOf(r, computed, work*(minDelayed+t.waiting())) - c.bonus
}

// priceOf returns the price of computing the tokens beyond their computing
// time. The work delays later requests for as long as the queue lasts, about as
// many as wait now, so recomputing a token costs more the longer the queues
// are. Without this price, a pool with long queues would always choose the
// shortest queue, compute every prefix on every server and never catch up.
func (p *Placer) priceOf(r wasabiridge.Request, computed, work float64) float64 {
	share := p.opts.FirstTokenPrice
	if r.Action.Objective == wasabiridge.ObjectiveRecompute {
		share = p.opts.RecomputePrice
	}
	extra := share * work
	if w := r.Action.RecomputeWeight; w > 0 && r.Chain.BlockTokens > 0 {
		extra += w * computed / float64(r.Chain.BlockTokens)
	}
	return extra
}

// costOf returns the estimated time to compute one token, in milliseconds. The
// estimate of the pool is used until the server has enough samples.
func (p *Placer) costOf(l *load) float64 {
	if l.pool == nil || l.pool.cost.samples == 0 {
		return DefaultTokenMicros / 1000.0
	}
	pool := l.pool.cost.value
	if l.cost.samples < minServerSamples {
		return pool
	}
	return min(max(l.cost.value, pool/maxCostRatio), pool*maxCostRatio)
}
