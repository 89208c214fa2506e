package wasabireplica

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
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
	// longPatience is how long a long prompt may wait at a replica, as a
	// multiple of the target of its first byte.
	longPatience = 1.0
	// spareInstances is by how much the number of instances may be
	// underestimated when the retry budget is shared out: others may have been
	// added that are not known here yet.
	spareInstances = 1.5
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
	pl.budget.request(now, l.placer.options.RetryWindow)
	q := wasabiridge.PlaceQuery{Request: pl.asServed(r)}
	shortest := math.Inf(1)
	share := fullShare + (urgentShare-fullShare)*float64(min(max(r.Action.Priority, 0), priorityMost))/priorityMost
	patience := patienceOf(q.Request)
	for _, rep := range pl.replicas {
		if !l.placer.eligible(now, rep, q) || rep.server.Slots > 0 && rep.load(now) >= share*float64(rep.server.Slots) {
			continue
		}
		wait := rep.line.wait(now)
		if wait <= patience {
			return wasabiridge.Admission{Verdict: wasabiridge.Admitted}
		}
		shortest = min(shortest, wait-patience)
	}
	if !math.IsInf(shortest, 1) {
		return wasabiridge.Admission{
			Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedOverload, RetryAfter: max(returnAfter, wasabiridge.Millis(shortest)),
		}
	}
	return wasabiridge.Admission{Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedOverload, RetryAfter: returnAfter}
}

// patienceOf is how long a request may wait at a replica, in milliseconds.
//
// The failure it guards against: long prompts pile up at the replicas that are
// left, while others are dark or load. Each takes as long to compute as forty
// short ones, which all come late behind it, and the queues stay long after
// the cause is over. Long prompts that cannot be read in time anyhow come back
// later.
func patienceOf(r wasabiridge.Request) float64 {
	pr := promptOf(r)
	if !pr.engine || !pr.isLong() {
		return math.Inf(1)
	}
	target := r.Action.FirstByteTarget
	if target <= 0 {
		target = defaultTarget
	}
	return longPatience * float64(target)
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
	o := l.placer.options
	slack := o.RetrySlack / (spareInstances * float64(l.placer.instances))
	return pl.budget.spend(now, o.RetryWindow, o.RetryRatio, slack)
}
