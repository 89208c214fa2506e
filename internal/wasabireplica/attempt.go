package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
)

// attempt is an attempt that is in flight.
type attempt struct {
	replica *replica
	// life is that of the replica when the attempt was sent.
	life uint64
	pool wasabiridge.PoolID
	sent wasabiridge.Millis
	// work is the computing time at a replica of average speed, in milliseconds. slowness
	// is that of the replica when it was sent, figureEffect the part of it that the
	// replica had reported of the moment, and load the load of the replica.
	work          float64
	slowness      float64
	figureEffect  float64
	load          float64
	prompt        prompt
	keys          []uint64
	firstByteSeen bool
	// expected is the expected time to the first byte, in milliseconds.
	expected float64
	// wait is the expected wait of the prompt when it was sent, in milliseconds, and
	// held the number of its tokens that the replica was assumed to hold. measuresCost
	// reports that the time to the first byte measures the engine's speed: nothing was
	// fetched, and nothing was being computed for another request.
	wait         float64
	held         int
	measuresCost bool
	fetch        fetchInFlight
	// silenceBound is the time after sending from which silence counts against the
	// replica. suspected is set when it has counted.
	silenceBound wasabiridge.Millis
	suspected    bool
	// rule is the rule of the request, and freeSlot reports that the replica had a free
	// slot for it. firstByteAt is when the first byte arrived.
	rule        wasabiridge.RuleID
	freeSlot    bool
	firstByteAt wasabiridge.Millis
}

// hasOutlived reports whether the replica was seen to restart since the attempt was sent.
// The attempt then says nothing about what the replica holds and how it serves.
func (a *attempt) hasOutlived() bool { return a.life != a.replica.life }

// Sent records that an attempt is sent to the replica of the placement.
func (p *Placer) Sent(now wasabiridge.Millis, r wasabiridge.Request, id wasabiridge.AttemptID, pl wasabiridge.Placement) {
	rep := p.replicas[pl.Backend.ID]
	if rep == nil {
		return
	}
	pool := p.pools[r.Action.Pool]
	if pool == nil {
		return
	}
	rep.limit.RecordSent(now, rep.server.ID, p.rateGroup)
	p.recordBrittleSent(now, pool, rep)
	p.countAttempt(r.Action.Pool, rep)
	a := attempt{replica: rep, life: rep.life, sent: now, work: noPromptWork, prompt: pool.promptOf(pool.normalizeRequest(r)), pool: r.Action.Pool}
	a.slowness, a.figureEffect, a.load = rep.slowness(now), rep.speed.figure.Effect(now), rep.loadRatio(now, a.prompt.tokens())
	a.wait = rep.queueWait(now, a.prompt.priority, a.slowness)
	a.expected = float64(pl.ExpectedWait)
	if pl.Why == wasabiridge.WhyMoved {
		// A migrated answer is one more request at the replica. It is charged and never
		// refused, because that would cut off a running answer.
		pool.budget.Charge(now)
		p.attempts[id] = p.recordMigration(rep, a)
		return
	}
	a.measuresCost = pl.Why == WhyLoad || pl.Why == whyHeld || pl.Why == whyComputed
	if a.measuresCost {
		a.held = pl.ClaimedTokens
	}
	a.silenceBound = suspectAfter + wasabiridge.Millis(queueFactor*(float64(pl.ExpectedWait)+pool.plainExcess(&a.prompt, a.slowness)))
	a.rule, a.freeSlot = r.Rule, rep.slotCount() > 0 && rep.loadRatio(now, 0) < 1
	if !pool.hasEngines() {
		a.expected = pool.plainWait(now, rep) + pool.serviceTime(r.Rule)*a.slowness
	}
	rep.own = rep.own.plus(load{requests: 1, tokens: a.prompt.memory()})
	if a.prompt.engine {
		a.work = a.prompt.workFor(pl.Why, pl.ClaimedTokens)
		pool.observeWork(&a.prompt)
	}
	if a.prompt.worthFetching() {
		a.fetch = p.fetchSent(now, pool, rep, &a.prompt, pl)
		a.keys = a.prompt.keysFor(pl.Weights)
		p.recordSegments(now, rep, &a, pl)
	}
	if a.prompt.engine {
		rep.prefillQueue.push(now, queuedPrompt{attempt: id, priority: a.prompt.priority, remaining: a.work})
	}
	p.attempts[id] = a
}

// recordSegments records the segments of a long prompt and queues updates about them
// for the other instances.
func (p *Placer) recordSegments(now wasabiridge.Millis, rep *replica, a *attempt, pl wasabiridge.Placement) {
	for i, key := range a.keys {
		n := wasabiridge.SegmentUpdate{
			Backend: rep.server.ID, Incarnation: rep.server.Incarnation, Key: key, Tokens: a.prompt.lengths[i], Exported: pl.ExportTo != "", Imported: pl.Why == whyStored,
		}
		if i == len(a.keys)-1 {
			n.RemainingTokens, n.Work, n.Priority = a.prompt.own, wasabiridge.Millis(a.work), a.prompt.priority
		}
		p.recordSegment(now, rep, n)
		p.peerUpdates.add(n)
	}
}

// recordSegment applies a segment that was sent to the estimated caches.
func (p *Placer) recordSegment(now wasabiridge.Millis, rep *replica, n wasabiridge.SegmentUpdate) {
	rep.cache.now = now
	p.recordUse(now, rep, n)
	rep.cache.touch(n.Key, n.Tokens)
	rep.cache.addUnshared(n.RemainingTokens)
	switch {
	case n.Exported:
		p.kvStores.recordSave(now, n.Key, n.Tokens, n.RemainingTokens)
	case n.Imported:
		p.kvStores.recordFetch(now, n.Key, n.Tokens)
	}
}
