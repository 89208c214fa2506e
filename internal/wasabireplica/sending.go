package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
)

// sending is an attempt that has not ended.
type sending struct {
	replica *replica
	pool    wasabiridge.PoolID
	sent    wasabiridge.Millis
	work    float64
	prompt  prompt
	keys    []uint64
	first   bool
	// expected is the time to its first byte that was expected.
	expected float64
	// wait is what the prompt was expected to wait for when it was sent, held how
	// many of its tokens the replica was believed to hold. measures says that the
	// time to the first byte tells how fast the engine computes: nothing had to be
	// fetched, and nothing was read that others had asked for.
	wait     float64
	held     int
	measures bool
	// bound is when, after it was sent, silence counts against the replica.
	// suspected says that it did.
	bound     wasabiridge.Millis
	suspected bool
}

// Sent tells that an attempt goes to the placement's replica.
func (p *Placer) Sent(now wasabiridge.Millis, r wasabiridge.Request, id wasabiridge.AttemptID, pl wasabiridge.Placement) {
	rep := p.replicas[pl.Backend.ID]
	if rep == nil {
		return
	}
	pool := p.pools[r.Action.Pool]
	if pool == nil {
		return
	}
	rep.limit.Take(now, rep.server.ID, p.serving)
	a := sending{replica: rep, sent: now, work: plainWork, prompt: pool.promptOf(pool.asServed(r)), pool: r.Action.Pool}
	a.wait = rep.line.wait(now, a.prompt.priority)
	a.expected = float64(pl.ExpectedWait)
	if pl.Why == wasabiridge.WhyMoved {
		// It is one more arrival. To refuse it would cut an answer.
		pool.budget.Charge(now)
		p.attempts[id] = p.sentMoved(rep, a)
		return
	}
	a.measures = pl.Why == WhyLoad || pl.Why == whyHeld || pl.Why == whyComputed
	if a.measures {
		a.held = pl.ClaimedTokens
	}
	a.bound = suspectAfter + wasabiridge.Millis(queueFactor*float64(pl.ExpectedWait))
	rep.own = rep.own.plus(occupation{inside: 1, tokens: a.prompt.memory()})
	if a.prompt.engine {
		a.work = a.prompt.workFor(pl.Why, pl.ClaimedTokens)
		pool.learnWork(&a.prompt)
	}
	if a.prompt.isTracked() {
		a.keys = a.prompt.keysFor(pl.Weights)
		p.sendParts(now, rep, &a, pl)
	}
	if a.prompt.engine {
		rep.line.enter(now, waitingPrompt{attempt: id, priority: a.prompt.priority, left: a.work})
	}
	p.attempts[id] = a
}

// sendParts notes the parts of a long prompt and tells the other instances.
func (p *Placer) sendParts(now wasabiridge.Millis, rep *replica, a *sending, pl wasabiridge.Placement) {
	for i, key := range a.keys {
		n := wasabiridge.PartNews{
			Backend: rep.server.ID, Incarnation: rep.server.Incarnation, Key: key, Tokens: a.prompt.lengths[i], Saved: pl.SaveTo != "", Kept: pl.Why == whyKept,
		}
		if i == len(a.keys)-1 {
			n.Own, n.Work, n.Priority = a.prompt.own, wasabiridge.Millis(a.work), a.prompt.priority
		}
		p.notePart(now, rep, n)
		p.news.add(n)
	}
}

// notePart notes what a part that was sent does to the caches.
func (p *Placer) notePart(now wasabiridge.Millis, rep *replica, n wasabiridge.PartNews) {
	rep.cache.use(n.Key, n.Tokens)
	rep.cache.fill(n.Own)
	switch {
	case n.Saved:
		p.kept.save(now, n.Key, n.Tokens, n.Own)
	case n.Kept:
		p.kept.fetch(now, n.Key, n.Tokens)
	}
}
