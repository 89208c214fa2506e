package wasabireplica

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// leastWork is the work of a request that takes next to nothing, or of which nothing
	// is known.
	leastWork = wasabiridge.Work(1)
	// unknownServiceTime is the assumed time of a request at a plain server before the
	// first answer, in milliseconds.
	unknownServiceTime = 50.0
	// perSecond is the work that one slot of a server of average speed does in a second.
	perSecond = float64(wasabiridge.Second)
	// The fraction of its time that an engine has for prompts starts at one and is never
	// taken to be less than minPromptShare. It is measured by prompts that had to wait for
	// at least minBacklog milliseconds.
	minPromptShare = 0.3
	minBacklog     = 20.0
	// A server has capacity to spare below spareLoad, a multiple of its slots, while a
	// request waits there for less than the fraction spareWait of what it may wait.
	spareLoad = 0.5
	spareWait = 0.25
)

var _ wasabiridge.PoolGauge = (*Limiter)(nil)

// Work implements wasabiridge.PoolGauge. The work of a prompt is what an engine computes
// of it, or the part of the engine that its answer occupies, whichever is more: an engine
// generates answers beside the prompts, so only the scarcer of the two counts.
func (l *Limiter) Work(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Work {
	pl := l.placer.pools[r.Action.Pool]
	if pl == nil {
		return leastWork
	}
	r = pl.normalizeRequest(r)
	if r.Model == "" {
		return max(leastWork, wasabiridge.Work(pl.serviceTime(r.Rule)))
	}
	pr := pl.promptOf(r)
	held := l.placer.expectedHeld(pl, &pr)
	occupied := pl.service.of(r.Rule) / float64(max(1, pl.slots()))
	return max(leastWork, wasabiridge.Work(max(pr.compute(pr.tokens()-held, held), occupied)))
}

// Capacity implements wasabiridge.PoolGauge. Plain servers work on as many requests at
// once as they have slots. An engine computes one prompt after the other.
func (l *Limiter) Capacity(now wasabiridge.Millis, id wasabiridge.PoolID) wasabiridge.Work {
	pl := l.placer.pools[id]
	if pl == nil {
		return 0
	}
	sum := 0.0
	for _, r := range pl.replicas {
		if !l.placer.hasCapacity(now, pl, r) {
			continue
		}
		units := float64(r.slotCount())
		if pl.hasEngines() {
			units = pl.promptShare
		}
		sum += units * perSecond / r.slowness(now)
	}
	return wasabiridge.Work(sum)
}

// HasSpare implements wasabiridge.PoolGauge.
func (l *Limiter) HasSpare(now wasabiridge.Millis, r wasabiridge.Request) bool {
	pl := l.placer.pools[r.Action.Pool]
	if pl == nil {
		return false
	}
	q := wasabiridge.PlaceQuery{Request: pl.normalizeRequest(r), Pool: pl.config, Origin: r.Origin}
	pr := pl.promptOf(q.Request)
	preferred := l.placer.preferred(now, pl)
	for _, rep := range pl.replicas {
		if !l.placer.serves(now, pl, rep, preferred[len(preferred)-1]) || !l.placer.eligible(now, rep, q) || rep.loadRatio(now, pr.memory()) >= spareLoad {
			continue
		}
		slowness := rep.slowness(now)
		if l.expectedWait(now, pl, rep, &pr, slowness) <= spareWait*l.maxWait(now, pl, q.Request, &pr, slowness) {
			return true
		}
	}
	return false
}

// hasCapacity reports whether a replica does work for this instance now. One that is
// merely full does; its short backoff is a consequence of the load.
func (p *Placer) hasCapacity(now wasabiridge.Millis, pl *pool, r *replica) bool {
	if r.gone || r.leaving || now < r.pausedUntil || now+overloadBackoff < r.backoffUntil || r.failureBackoff > 0 || r.resuming {
		return false
	}
	if !pl.hasEngines() {
		return true
	}
	for _, m := range pl.config.Models {
		if serves := r.weights[m]; serves != 0 && p.weightsAllowed(now, m, serves) {
			return true
		}
	}
	return false
}

// hasEngines reports whether the servers of the pool are model engines.
func (pl *pool) hasEngines() bool { return len(pl.config.Models) > 0 }

// slots returns the slots of one server of the pool.
func (pl *pool) slots() int {
	for _, r := range pl.replicas {
		if slots := r.slotCount(); slots > 0 {
			return slots
		}
	}
	return 0
}

// expectedHeld returns how many tokens of a prompt are not expected to be computed,
// because a replica or a store holds them, or a replica is computing them.
func (p *Placer) expectedHeld(pl *pool, pr *prompt) int {
	if !pr.worthFetching() {
		return 0
	}
	most := 0
	for _, r := range pl.replicas {
		if r.gone {
			continue
		}
		keys := pr.keysFor(r.weights[pr.root.Model])
		if p.kvStores.holder(keys[len(keys)-1]) != nil {
			return pr.shared
		}
		held, computing := r.cache.heldPrefix(keys, pr.lengths)
		if most = max(most, held+computing); most >= pr.shared {
			break
		}
	}
	return most
}

// serviceTime returns how long a request of a rule takes at a plain server of average
// speed that has a slot for it, in milliseconds.
func (pl *pool) serviceTime(rule wasabiridge.RuleID) float64 {
	if t := pl.service.of(rule); t > 0 {
		return t
	}
	return unknownServiceTime
}

// plainWait returns the expected wait for a slot at a plain server, in milliseconds.
func (pl *pool) plainWait(now wasabiridge.Millis, r *replica) float64 {
	slots := float64(r.slotCount())
	ahead := r.loadRatio(now, 0)*slots - slots
	if slots == 0 || ahead < 0 {
		return 0
	}
	return (ahead + 1) / slots * pl.serviceTime("") * r.slowness(now)
}

// maxPlainWait returns how long a request without a prompt may wait at a server of the given
// slowness, in milliseconds, for its answer to be expected in time. It is the counterpart of
// maxWait.
func (pl *pool) maxPlainWait(now wasabiridge.Millis, r wasabiridge.Request, slowness float64) float64 {
	target := float64(r.Action.FirstByteTarget)
	if target <= 0 {
		return math.Inf(1)
	}
	return max(minWaitFactor*target, target/pl.overrun-pl.serviceTime(r.Rule)*slowness-waited(now, r))
}

// waited returns how long a request has waited at this instance, in milliseconds.
func waited(now wasabiridge.Millis, r wasabiridge.Request) float64 {
	if r.Arrived <= 0 {
		return 0
	}
	return float64(max(0, now-r.Arrived))
}

// observePromptShare learns which fraction of its time an engine has for prompts, from a
// prompt that waited for others: what was computed until its first token, as a fraction
// of the time that this took.
func (pl *pool) observePromptShare(now wasabiridge.Millis, a *attempt) {
	took := float64(now-a.sent) - a.prompt.costs.Fixed()
	if !a.prompt.engine || !a.measuresCost || a.suspected || a.wait < minBacklog || took <= 0 {
		return
	}
	sample := min(1, (a.wait+a.work*a.slowness)/took)
	pl.promptShare = max(minPromptShare, pl.promptShare+workSmoothing*(sample-pl.promptShare))
}
