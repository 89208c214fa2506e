package wasabireplica

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicost"
)

const (
	// lowPriorityLoad is the load, as a multiple of a replica's slots, at which
	// requests of the lowest priority are refused. Requests beyond the slots wait in
	// the replica's own queue, which is ordered by priority.
	lowPriorityLoad = 1.5
	// highPriorityLoad is the same for requests of the highest priority. Limits between
	// the two are interpolated.
	highPriorityLoad = 2.5
	maxPriority      = 9
	// minRetryAfter is the least delay after which refused callers are asked to retry.
	minRetryAfter = 250 * wasabiridge.Millis(1)
	// noServerRetryAfter is the same when all replicas of a pool are leaving. A new one
	// takes seconds to start.
	noServerRetryAfter = wasabiridge.Second
	// heavyPromptLoad is the load, as a multiple of a replica's slots, at which heavy
	// prompts are refused. The remaining slots are for lighter requests.
	heavyPromptLoad = 0.75
	// minWaitFactor is how long any prompt may wait, as a fraction of its first-byte
	// target. A prompt that takes longer than its target to compute is late in any
	// case; it is only sent where the queue is short.
	minWaitFactor = 0.1
	// lightWaitFactor is how long a light prompt may wait, as a multiple of its target.
	// It delays other requests little, and a late answer is worth more than none.
	lightWaitFactor = 1.5
	// lightWorkFactor is the fraction of the mean work below which a prompt is light.
	lightWorkFactor = 0.5
)

// Limiter implements wasabiridge.Limiter on the state of a Placer. It admits or refuses
// each request immediately: admitted requests wait inside the replicas, which serve the most
// urgent ones first. Only for brittle servers, which must not be sent more than they have room
// for, it queues requests for a moment.
type Limiter struct {
	placer *Placer
	queue  slotQueue
}

var (
	_ wasabiridge.Limiter       = (*Limiter)(nil)
	_ wasabiridge.ExpiryRefuser = (*Limiter)(nil)
)

// NewLimiter returns a Limiter that shares the state of p.
func NewLimiter(p *Placer) *Limiter { return &Limiter{placer: p} }

// Offer admits a request if some replica has room for it, given its priority. Otherwise
// it rejects it with a reason and the delay after which the caller may retry.
func (l *Limiter) Offer(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Admission {
	if pl := l.placer.pools[r.Action.Pool]; pl != nil {
		pl.budget.AddRequest(now)
	}
	a := l.Assess(now, r)
	if a.Verdict == wasabiridge.Rejected && a.Reason == wasabiridge.RefusedOverload {
		if until, ok := l.mayWait(now, r); ok {
			l.queue.add(waitingRequest{request: r, until: until})
			return wasabiridge.Admission{Verdict: wasabiridge.Queued}
		}
	}
	return a
}

// Assess implements wasabiridge.PoolGauge.
func (l *Limiter) Assess(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Admission {
	pl := l.placer.pools[r.Action.Pool]
	if pl == nil {
		return wasabiridge.Admission{Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedNoBackend, RetryAfter: minRetryAfter}
	}
	q := wasabiridge.PlaceQuery{Request: pl.normalizeRequest(r), Pool: pl.config, Origin: r.Origin}
	if r.Origin != nil && l.placer.isUnresumable(now, pl, q) {
		return wasabiridge.Admission{Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedSoftwareGone}
	}
	leastExcess, limitedFor := math.Inf(1), wasabiridge.Millis(0)
	pr := pl.promptOf(q.Request)
	remaining, full, pausedFor := 0, false, wasabiridge.Millis(0)
	preferred := l.placer.preferred(now, pl)
	for _, rep := range pl.replicas {
		if rep.leaving || !l.placer.serves(now, pl, rep, preferred[len(preferred)-1]) || !q.CanContinue(rep.server) {
			continue
		}
		remaining++
		if left := rep.pauseLeft(now); left > 0 && !rep.gone {
			pausedFor = earlier(pausedFor, left)
			continue
		}
		if !l.placer.isUsable(now, rep, q) {
			continue
		}
		slowness := rep.slowness(now)
		if rep.loadRatio(now, pr.memory()) >= rep.maxLoad(pl.maxLoad(r, &pr, slowness)) || !l.placer.hasRoom(now, pl, rep, &pr) || !l.placer.hasMemory(now, pl, rep, &pr) {
			full = true
			continue
		}
		if wait := l.placer.limitWait(now, rep); wait > 0 {
			limitedFor = earlier(limitedFor, wait)
			continue
		}
		wait, maxWait := l.expectedWait(now, pl, rep, &pr, slowness), l.maxWait(now, pl, q.Request, &pr, slowness)
		if wait <= maxWait {
			return wasabiridge.Admission{Verdict: wasabiridge.Admitted}
		}
		leastExcess = min(leastExcess, wait-maxWait)
	}
	if len(pl.replicas) > 0 {
		pl.refused++
	}
	if !math.IsInf(leastExcess, 1) {
		return wasabiridge.Admission{
			Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedOverload, RetryAfter: max(minRetryAfter, wasabiridge.Millis(leastExcess)),
		}
	}
	if pausedFor > 0 && !full && (limitedFor == 0 || pausedFor < limitedFor) {
		return wasabiridge.Admission{Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedServerPause, RetryAfter: max(minRetryAfter, pausedFor)}
	}
	if limitedFor > 0 {
		return wasabiridge.Admission{Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedServerLimit, RetryAfter: max(minRetryAfter, limitedFor)}
	}
	if remaining == 0 && len(pl.replicas) > 0 {
		return wasabiridge.Admission{Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedNoBackend, RetryAfter: noServerRetryAfter}
	}
	return wasabiridge.Admission{Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedOverload, RetryAfter: minRetryAfter}
}

// earlier returns the shorter of two waits, of which a is zero if there is none yet.
func earlier(a, b wasabiridge.Millis) wasabiridge.Millis {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// maxLoad returns the load, as a multiple of a replica's slots, at which a further
// request is refused.
//
// It guards against an overload that outlasts its cause. An engine whose slots are all
// taken alternates between prompts and output tokens, so every answer holds its slot
// and its memory longer. Running requests then evict cached segments, more prompts are
// computed again, and short prompts are slow too. Heavy prompts need most of the memory
// and computing time, so they are refused first, while some slots are still free.
//
// A resumed stream can go on only where it began, so it is not refused before its replicas
// are overloaded.
//
// What waits beyond the slots of a slow replica waits for longer, so less may.
func (pl *pool) maxLoad(r wasabiridge.Request, pr *prompt, slowness float64) float64 {
	if pr.engine && pl.isHeavy(pr) && r.Origin == nil {
		return heavyPromptLoad
	}
	limit := lowPriorityLoad + (highPriorityLoad-lowPriorityLoad)*float64(min(max(r.Action.Priority, 0), maxPriority))/maxPriority
	return limit - (limit-1)*(1-1/max(1, slowness))
}

// expectedWait returns the expected wait of a request at a replica of the given slowness, in
// milliseconds.
func (l *Limiter) expectedWait(now wasabiridge.Millis, pl *pool, rep *replica, pr *prompt, slowness float64) float64 {
	if l.placer.options.BoundWaits && !pr.engine {
		return pl.plainWait(now, rep)
	}
	return rep.expectedWait(now, pr, pl.meanDuration, slowness)
}

// maxWait returns how long a request may wait from now on at a replica of the given
// slowness, in milliseconds.
func (l *Limiter) maxWait(now wasabiridge.Millis, pl *pool, r wasabiridge.Request, pr *prompt, slowness float64) float64 {
	switch {
	case !l.placer.options.BoundWaits:
		return pl.maxWait(r, pr, slowness, true)
	case !pr.engine:
		return pl.maxPlainWait(now, r, slowness)
	default:
		return max(minWaitFactor*engineTarget(r), pl.maxWait(r, pr, slowness, false)-waited(now, r))
	}
}

// maxWait returns how long a request may wait at a replica, in milliseconds, for its
// first byte to be expected in time. The target is corrected by how far recent first
// bytes exceeded their expected time.
//
// It guards against queues that outlast an overload. While replicas are down or load
// weights, the others receive more than they can compute. A request that waits longer
// than its target is late and delays all requests behind it, and the queues and their
// memory stay long after the cause is over. A request that cannot be in time is told to
// retry later. The time of the request itself is that at a replica of the given slowness. If
// lateLight, light prompts may be late.
func (pl *pool) maxWait(r wasabiridge.Request, pr *prompt, slowness float64, lateLight bool) float64 {
	if !pr.engine {
		return math.Inf(1)
	}
	target := engineTarget(r)
	if lateLight && pl.isLight(pr) || r.Origin != nil {
		return lightWaitFactor * target
	}
	own := pr.costs.FirstToken(wasabicost.Work{Tokens: pr.own, Preceding: pr.shared}) * slowness
	return max(minWaitFactor*target, target/pl.overrun-own)
}

// engineTarget returns the first-byte target of a prompt, in milliseconds.
func engineTarget(r wasabiridge.Request) float64 {
	if r.Action.FirstByteTarget <= 0 {
		return float64(defaultTarget)
	}
	return float64(r.Action.FirstByteTarget)
}

// HasRoom implements wasabiridge.Limiter. The Placer has already considered the load.
func (l *Limiter) HasRoom(wasabiridge.Millis, wasabiridge.BackendServer) bool { return true }

// Sent implements wasabiridge.Limiter. The Placer does the counting.
func (l *Limiter) Sent(wasabiridge.Millis, wasabiridge.Request, wasabiridge.AttemptID, wasabiridge.BackendServerID) {
}

// Observe implements wasabiridge.Limiter. The Placer observes all events.
func (l *Limiter) Observe(wasabiridge.Millis, wasabiridge.Event) {}

// MayRetry takes one retry from this instance's share of the pool's budget and reports
// whether the budget allowed it.
func (l *Limiter) MayRetry(now wasabiridge.Millis, r wasabiridge.Request) bool {
	pl := l.placer.pools[r.Action.Pool]
	if pl == nil {
		return false
	}
	granted := pl.budget.Spend(now, l.placer.instances.SlackShare(now))
	pl.retries.count(granted)
	return granted
}
