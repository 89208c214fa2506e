package wasabiplace

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicache"
	"github.com/wasabiridge/wasabiridge/internal/wasabinotice"
)

// attempt is the state of an attempt that has not ended.
type attempt struct {
	server wasabicache.ServerIndex
	chain  wasabiridge.Chain
	before wasabicache.Estimate
	sent   wasabiridge.Millis
	first  wasabiridge.Millis
	// ready is when the prompt is expected to be computed.
	ready wasabiridge.Millis
	// tokensAhead is the expected queue at the time of sending, in tokens to
	// compute.
	tokensAhead float64
	// homeLevel is the index of the deepest home level whose first home is the
	// server, or -1.
	homeLevel int
	// preferred is set if the server was chosen as the preferred holder. spill
	// is the number of blocks of which the server was chosen to get an
	// additional copy.
	preferred bool
	spill     int
}

const (
	// minSampleTokens is the minimum number of computed tokens of a prompt from
	// which the cost per token is estimated.
	minSampleTokens = 2048
	// minServerSamples is the number of samples from which a server's own
	// estimate is used instead of that of its pool.
	minServerSamples = 16
	// avgComputedStep is the step of the moving average of computed tokens per
	// prompt.
	avgComputedStep = 0.02
)

// Sent records that an attempt is sent to the server of the placement. From
// then on the server counts as holding the whole chain.
func (p *Placer) Sent(now wasabiridge.Millis, r wasabiridge.Request, id wasabiridge.AttemptID, pl wasabiridge.Placement) {
	s := p.server(pl.Backend.ID)
	l := &p.loads[s]
	cost := p.costOf(l)
	a := attempt{
		server:      s,
		chain:       r.Chain,
		before:      p.caches.Estimate(now, s, r.Chain),
		sent:        now,
		homeLevel:   -1,
		preferred:   pl.Why == WhyPreferred,
		tokensAhead: max(0, l.idleAt-float64(now)) / cost,
	}
	if pl.Why == WhyReplicate {
		a.spill = pl.HeldTokens / max(1, r.Chain.BlockTokens)
	}
	tokens := float64(max(0, r.Chain.Tokens-a.before.Depth()*r.Chain.BlockTokens))
	l.sentTokens(now, tokens, cost)
	a.ready = wasabiridge.Millis(l.idleAt)
	if t := l.pool; t != nil {
		t.recentBlocks = p.decayedRecentBlocks(now, t) + float64(len(r.Chain.Blocks))
		a.homeLevel = p.deepestHomeLevel(t, s, r.Chain)
	}
	p.caches.CountRequest(now, r.Chain)
	p.caches.MarkPending(now, s, r.Chain)
	p.attempts[id] = a
}

// deepestHomeLevel returns the index of the deepest home level whose first home
// is the server, or -1.
func (p *Placer) deepestHomeLevel(t *table, s wasabicache.ServerIndex, c wasabiridge.Chain) int {
	found := -1
	for index, depth := 0, 1; depth <= len(c.Blocks) && index < maxHomeLevels; index, depth = index+1, depth*2 {
		if i := t.homesOf(c.Blocks[depth-1])[0]; i >= 0 && t.members[i].server == s {
			found = index
		}
	}
	return found
}

// computing returns when the server is expected to have computed the blocks of
// the chain that an open attempt is computing there, or zero if there is no
// such attempt. If there are several, it returns the latest time, which does
// not depend on the iteration order.
func (p *Placer) computing(s wasabicache.ServerIndex, c wasabiridge.Chain) wasabiridge.Millis {
	ready := wasabiridge.Millis(0)
	for _, a := range p.attempts {
		if a.server != s || a.first != 0 || a.before.Depth() >= len(a.chain.Blocks) {
			continue
		}
		if shared(a.chain, c) > a.before.Depth() {
			ready = max(ready, a.ready)
		}
	}
	return ready
}

func shared(a, b wasabiridge.Chain) int {
	n := 0
	for n < len(a.Blocks) && n < len(b.Blocks) && a.Blocks[n] == b.Blocks[n] {
		n++
	}
	return n
}

func (p *Placer) firstToken(now wasabiridge.Millis, id wasabiridge.AttemptID) {
	a, ok := p.attempts[id]
	if !ok || a.first != 0 {
		return
	}
	a.first = now
	p.attempts[id] = a
	p.loads[a.server].firstTokenSeen()
	// The answer may come from an earlier incarnation, whose cache is lost.
	if !p.caches.IsCurrent(a.server, a.before) {
		return
	}
	p.caches.MarkHeld(now, a.server, a.chain, len(a.chain.Blocks))
	if a.before.Depth() < len(a.chain.Blocks) {
		p.caches.ExpectEvent(now, a.server)
	}
}

func (p *Placer) attemptEnded(now wasabiridge.Millis, e wasabiridge.AttemptEnded) {
	a, ok := p.attempts[e.Attempt]
	if !ok {
		return
	}
	delete(p.attempts, e.Attempt)
	l := &p.loads[a.server]
	l.ended()
	if e.Overloaded {
		l.refusedUntil = max(l.refusedUntil, now+min(e.RetryAfter, wasabinotice.MaxPause))
	}
	if a.first == 0 && e.Result != wasabiridge.AttemptCompleted {
		p.caches.MarkMissing(a.server, a.chain, a.before.Depth())
		return
	}
	if e.Result == wasabiridge.AttemptCompleted {
		p.learn(now, l, a, e.Usage)
	}
}

// learn updates the estimates from the usage that the engine reports.
func (p *Placer) learn(now wasabiridge.Millis, l *load, a attempt, u wasabiridge.Usage) {
	if !p.caches.UpdateIncarnation(a.server, u.Incarnation, u.Weights) || a.first == 0 {
		return
	}
	l.learnSlotTime(float64(now - a.first))
	if u.PromptTokens == 0 || a.chain.BlockTokens == 0 {
		return
	}
	// The engine counts actual tokens, the chain estimated ones.
	cached := float64(a.chain.Tokens) * float64(u.CachedTokens) / float64(u.PromptTokens)
	blocks := int(cached/float64(a.chain.BlockTokens) + 0.5)
	p.caches.RecordAnswer(a.first, a.server, a.before, blocks)
	if a.homeLevel >= 0 && a.before.Depth() < 1<<a.homeLevel {
		p.learnHomeHitRate(a.homeLevel, blocks)
	}
	computed := float64(a.chain.Tokens) - cached
	if a.spill > 0 {
		p.learnSpillHitRate(blocks, a.spill)
	}
	if unknown := len(a.chain.Blocks) - a.before.Depth(); a.preferred && unknown > 0 && blocks >= a.before.Depth() {
		p.learnPreferredHitRate(blocks-a.before.Depth(), unknown)
	}
	if l.pool == nil {
		return
	}
	l.pool.avgComputed += avgComputedStep * (computed - l.pool.avgComputed)
	// In a long queue, prompts of high priority are started early and those of
	// low priority late, so the time to the first token says nothing about the
	// cost per token.
	if computed >= minSampleTokens && a.tokensAhead <= computed {
		sample := float64(a.first-a.sent) / (a.tokensAhead + computed)
		l.cost.learn(sample)
		l.pool.cost.learn(sample)
	}
}
