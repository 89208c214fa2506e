package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
)

// largeShare is the part of the memory of a replica from which a request is large. Smaller
// ones are bounded by the load of the replica.
const largeShare = 0.125

// memoryNeed returns how many tokens a request may occupy at a replica. One whose answer
// would not fit in full is cut short by the replica.
func (p *prompt) memoryNeed(r *replica) int {
	if need := p.memory(); need <= r.memory || p.tokens() > r.memory {
		return need
	}
	return r.memory
}

// isLarge reports whether a request takes a large part of the memory of a replica.
func (r *replica) isLarge(pr *prompt) bool {
	return r.memory > 0 && float64(pr.memory()) >= largeShare*float64(r.memory)
}

// hasMemory reports whether a request fits into the memory of a replica beside what all
// instances have sent there. Only large requests are asked.
//
// It guards against a replica that ends because the requests that it holds exceed its
// memory. Several instances may send one at the same moment, before any of them knows, so
// as much again stays free for another one. Where a second one does not fit in any case,
// only the instance to which the replica is assigned may send one, and only while the
// replica is known to be empty.
func (p *Placer) hasMemory(now wasabiridge.Millis, pl *pool, r *replica, pr *prompt) bool {
	if !p.options.UnevenServers || !r.isLarge(pr) {
		return true
	}
	held, need := r.totalLoad(now).tokens, pr.memoryNeed(r)
	switch {
	case p.instances == nil || p.instances.Instances(now) <= 1:
		return held+need <= r.memory
	case 2*need <= r.memory:
		return held+2*need <= r.memory
	}
	return held == 0 && need <= r.memory && (p.isAssigned(r) || !p.hasAssigned(pl))
}

// isAssigned reports whether this instance is the one of all to which a replica is assigned.
func (p *Placer) isAssigned(r *replica) bool {
	part, _ := p.rateGroup.Part(r.server.ID, 1)
	return part == 1
}

// hasAssigned reports whether any replica of a pool is assigned to this instance. Where none
// is, it uses those of the others: refusing all such requests would be worse than that two
// of them may meet.
func (p *Placer) hasAssigned(pl *pool) bool {
	for _, r := range pl.replicas {
		if !r.gone && !r.leaving && p.isAssigned(r) {
			return true
		}
	}
	return false
}
