package wasabireplica

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicost"
)

const (
	// fullShare is how many requests a replica may have inside, as a multiple
	// of its slots, before a request of the lowest priority is refused. What
	// waits in a replica's own queue goes by priority there.
	fullShare = 1.5
	// urgentShare is the same for requests of the highest priority.
	urgentShare = 2.5
	// priorityMost is the highest priority.
	priorityMost = 9
	// returnAfter is when a refused request may find room.
	returnAfter = 250 * wasabiridge.Millis(1)
	// longShare is the part of a replica's slots up to which long prompts are
	// sent there. The rest is for short ones.
	longShare = 0.75
	// leastPatience is how long any prompt may wait, as a part of its target. One that
	// takes longer than its target to compute is late anyhow; it goes where little
	// waits.
	leastPatience = 0.1
	// lightPatience is how long a light prompt may wait, as a part of its target: it
	// takes little from others, and a late answer is worth more than none.
	lightPatience = 1.5
	// lightShare is the part of the mean work below which a prompt is light.
	lightShare = 0.5
)

// Limiter implements wasabiridge.Limiter over what a Placer knows. Requests
// wait inside the replicas, where the most urgent go first; here they are sent
// or refused at once.
type Limiter struct {
	placer *Placer
}

var _ wasabiridge.Limiter = (*Limiter)(nil)

// NewLimiter returns a limiter for a placer.
func NewLimiter(p *Placer) *Limiter { return &Limiter{placer: p} }

// Offer admits a request when some replica has room for it, by its priority.
func (l *Limiter) Offer(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Admission {
	pl := l.placer.pools[r.Action.Pool]
	if pl == nil {
		return wasabiridge.Admission{Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedNoBackend, RetryAfter: returnAfter}
	}
	pl.budget.Request(now)
	q := wasabiridge.PlaceQuery{Request: pl.asServed(r)}
	shortest, limited := math.Inf(1), wasabiridge.Millis(0)
	pr := pl.promptOf(q.Request)
	share, most := pl.shareOf(r.Action.Priority, &pr), pl.patienceOf(q.Request, &pr)
	for _, rep := range pl.replicas {
		if !l.placer.mayGet(now, rep, q) || rep.fullness(now, pr.memory()) >= share {
			continue
		}
		if wait := l.placer.limitWait(now, rep); wait > 0 {
			if limited == 0 || wait < limited {
				limited = wait
			}
			continue
		}
		wait := rep.queue(now, &pr, pl.stay)
		if wait <= most {
			return wasabiridge.Admission{Verdict: wasabiridge.Admitted}
		}
		shortest = min(shortest, wait-most)
	}
	if !math.IsInf(shortest, 1) {
		return wasabiridge.Admission{
			Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedOverload, RetryAfter: max(returnAfter, wasabiridge.Millis(shortest)),
		}
	}
	if limited > 0 {
		return wasabiridge.Admission{Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedServerLimit, RetryAfter: max(returnAfter, limited)}
	}
	return wasabiridge.Admission{Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedOverload, RetryAfter: returnAfter}
}

// shareOf is how many requests a replica may have inside before a further one
// is refused, as a multiple of its slots.
//
// The failure it guards against: an engine whose slots are all taken computes
// prompts and tokens in turns, so every answer holds its slot longer and its
// memory with it, cached parts have to yield to what runs, and more prompts are
// computed again: it stays slow long after the cause is over, for short prompts
// too. Long prompts take most of the memory and of the computing, so they come
// back later, while some slots are still free.
func (pl *pool) shareOf(priority wasabiridge.Priority, pr *prompt) float64 {
	if pr.engine && pl.isHeavy(pr) {
		return longShare
	}
	return fullShare + (urgentShare-fullShare)*float64(min(max(priority, 0), priorityMost))/priorityMost
}

// patienceOf is how long a request may wait at a replica, in milliseconds: as long as
// its first byte is still expected in time, by what expected times were worth lately.
//
// The failure it guards against: while replicas are dark or load, more is asked than
// the others can compute. Whatever waits there longer than its target comes late,
// and everything behind it too; queues, and the memory that they hold, stay long
// after the cause is over. What cannot be in time anyhow comes back later.
func (pl *pool) patienceOf(r wasabiridge.Request, pr *prompt) float64 {
	if !pr.engine {
		return math.Inf(1)
	}
	target := float64(r.Action.FirstByteTarget)
	if target <= 0 {
		target = float64(defaultTarget)
	}
	if pl.isLight(pr) {
		return lightPatience * target
	}
	own := pr.costs.FirstToken(wasabicost.Work{Tokens: pr.own, Behind: pr.shared})
	return max(leastPatience*target, target/pl.overrun-own)
}

// Next implements wasabiridge.Limiter. Nothing waits here.
func (l *Limiter) Next(wasabiridge.Millis) (wasabiridge.Request, bool) {
	return wasabiridge.Request{}, false
}

// Expired implements wasabiridge.Limiter. Nothing waits here.
func (l *Limiter) Expired(wasabiridge.Millis) (wasabiridge.Request, bool) {
	return wasabiridge.Request{}, false
}

// Withdraw implements wasabiridge.Limiter. Nothing waits here.
func (l *Limiter) Withdraw(wasabiridge.RequestID) {}

// HasRoom implements wasabiridge.Limiter. The placer has weighed the room.
func (l *Limiter) HasRoom(wasabiridge.Millis, wasabiridge.BackendServer) bool { return true }

// Sent implements wasabiridge.Limiter. The placer counts.
func (l *Limiter) Sent(wasabiridge.Millis, wasabiridge.Request, wasabiridge.AttemptID, wasabiridge.BackendServerID) {
}

// Observe implements wasabiridge.Limiter. The placer observes.
func (l *Limiter) Observe(wasabiridge.Millis, wasabiridge.Event) {}

// MayRetry spends a further attempt of this instance's part of the budget.
func (l *Limiter) MayRetry(now wasabiridge.Millis, r wasabiridge.Request) bool {
	pl := l.placer.pools[r.Action.Pool]
	if pl == nil {
		return false
	}
	granted := pl.budget.Spend(now, l.placer.sharers.Part(now))
	pl.retries.count(granted)
	return granted
}
