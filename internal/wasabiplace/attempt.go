package wasabiplace

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicache"
)

// attempt is what is remembered of an attempt until it ends.
type attempt struct {
	server wasabicache.ServerIndex
	chain  wasabiridge.Chain
	before wasabicache.Before
	sent   wasabiridge.Millis
	first  wasabiridge.Millis
	// ready is when the prompt is expected to be computed.
	ready wasabiridge.Millis
	// ahead is the expected wait when it was sent, in tokens to compute.
	ahead float64
	// mark is the marked level whose home the server is, or -1.
	mark int
	// heir says that the server was chosen as the heir of the chain, spill how
	// many blocks it was chosen for to hold a further copy of.
	heir  bool
	spill int
}

const (
	// sampleTokens is the least number of computed tokens from which the cost
	// of a token is learned.
	sampleTokens = 2048
	// enoughSamples is how many samples make a server's own cost count.
	enoughSamples = 16
	// usualRate moves the usual number of computed tokens.
	usualRate = 0.02
)

// Sent tells that an attempt goes to the placement's server. From now on the
// server counts as holding the whole chain.
func (p *Placer) Sent(now wasabiridge.Millis, r wasabiridge.Request, id wasabiridge.AttemptID, pl wasabiridge.Placement) {
	s := p.server(pl.Backend.ID)
	l := &p.loads[s]
	cost := p.costOf(l)
	a := attempt{
		server: s,
		chain:  r.Chain,
		before: p.picture.Believe(now, s, r.Chain),
		sent:   now,
		mark:   -1,
		heir:   pl.Why == WhyHeir,
		ahead:  max(0, l.idleAt-float64(now)) / cost,
	}
	if pl.Why == WhySpill {
		a.spill = pl.HeldTokens / max(1, r.Chain.BlockTokens)
	}
	tokens := float64(max(0, r.Chain.Tokens-a.before.Depth()*r.Chain.BlockTokens))
	l.sentTokens(now, tokens, cost)
	a.ready = wasabiridge.Millis(l.idleAt)
	if t := l.pool; t != nil {
		t.asked = p.blocksAsked(now, t) + float64(len(r.Chain.Blocks))
		a.mark = p.homeMark(t, s, r.Chain)
	}
	p.picture.Heat(now, r.Chain)
	p.picture.Ask(now, s, r.Chain)
	p.attempts[id] = a
}

// homeMark returns the deepest marked level whose first home the server is,
// or -1.
func (p *Placer) homeMark(t *table, s wasabicache.ServerIndex, c wasabiridge.Chain) int {
	found := -1
	for index, depth := 0, 1; depth <= len(c.Blocks) && index < maxMarks; index, depth = index+1, depth*2 {
		if i := t.homesOf(c.Blocks[depth-1])[0]; i >= 0 && t.members[i].server == s {
			found = index
		}
	}
	return found
}

// computing returns when the server is expected to have computed the deepest
// level of the chain that was not cached when it was sent there. Zero means
// that none is being computed. It looks at all open attempts, in any order,
// and keeps the latest time.
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
	p.loads[a.server].began()
	// The answer may come from an incarnation that is over by now. What it
	// computed is gone with it.
	if !p.picture.Alive(a.server, a.before) {
		return
	}
	p.picture.Touch(now, a.server, a.chain, len(a.chain.Blocks))
	if a.before.Depth() < len(a.chain.Blocks) {
		p.picture.Expect(now, a.server)
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
		l.refusedUntil = max(l.refusedUntil, now+e.RetryAfter)
	}
	if a.first == 0 && e.Result != wasabiridge.AttemptCompleted {
		p.picture.Forget(a.server, a.chain, a.before.Depth())
		return
	}
	if e.Result == wasabiridge.AttemptCompleted {
		p.learn(now, l, a, e.Usage)
	}
}

// learn compares an answer with what was expected of it.
func (p *Placer) learn(now wasabiridge.Millis, l *load, a attempt, u wasabiridge.Usage) {
	if !p.picture.Reborn(a.server, u.Incarnation, u.Weights) || a.first == 0 {
		return
	}
	l.learnHold(float64(now - a.first))
	if u.PromptTokens == 0 || a.chain.BlockTokens == 0 {
		return
	}
	// The engine counts real tokens; the chain counts estimated ones.
	cached := float64(a.chain.Tokens) * float64(u.CachedTokens) / float64(u.PromptTokens)
	blocks := int(cached/float64(a.chain.BlockTokens) + 0.5)
	p.picture.Answered(a.first, a.server, a.before, blocks)
	if a.mark >= 0 && a.before.Depth() < 1<<a.mark {
		p.learnHome(a.mark, blocks)
	}
	computed := float64(a.chain.Tokens) - cached
	if a.spill > 0 {
		p.learnSpill(blocks, a.spill)
	}
	if unknown := len(a.chain.Blocks) - a.before.Depth(); a.heir && unknown > 0 && blocks >= a.before.Depth() {
		p.learnHeir(blocks-a.before.Depth(), unknown)
	}
	if l.pool == nil {
		return
	}
	l.pool.usual += usualRate * (computed - l.pool.usual)
	// Behind a long queue a prompt of high priority is begun early and one of
	// low priority late, so neither tells what a token costs.
	if computed >= sampleTokens && a.ahead <= computed {
		sample := float64(a.first-a.sent) / (a.ahead + computed)
		l.cost.learn(sample)
		l.pool.cost.learn(sample)
	}
}
