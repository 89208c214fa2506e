package wasabireplica

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// mayServe reports whether a version may still answer.
func (p *Placer) mayServe(now wasabiridge.Millis, m wasabiridge.ModelID, v wasabiridge.WeightsVersion) bool {
	age, older := p.named.overdue(now, m, v)
	return !older || age < p.options.WeightsBound
}

const (
	// beginFactor is how much longer than expected a request may take to begin at a
	// replica with older weights, beginWait what it may take however short that is.
	beginFactor = 2
	beginWait   = 200 * wasabiridge.Millis(1)
)

// beginsInTime reports whether the first token of a request is expected while
// the replica's weights may still answer.
//
// The failure it guards against: queues are long in an overload. A request is
// sent to a replica whose weights may just be used, waits there for seconds, and
// begins on weights that were replaced too long ago. What takes longer than
// expected is given up, see beginBy.
func (p *Placer) beginsInTime(now wasabiridge.Millis, pr *prompt, c choice) bool {
	if !pr.engine {
		return true
	}
	late := max(0, wasabiridge.Millis(beginFactor*c.expected)-beginWait)
	return p.mayServe(now+late, pr.root.Model, c.replica.weights[pr.root.Model])
}

// beginBy is how long a request may wait for its first token at a replica until
// its weights may not answer any more. It reports false when there is no bound.
func (p *Placer) beginBy(now wasabiridge.Millis, m wasabiridge.ModelID, r *replica) (wasabiridge.Millis, bool) {
	age, older := p.named.overdue(now, m, r.weights[m])
	return max(1, p.options.WeightsBound-age), older
}

// isOver reports whether no replica will ever be able to go on with a stream: its
// weights may not answer any more, or no replica has them. Replicas never go back
// to older weights, so waiting would only keep the caller from asking again.
func (p *Placer) isOver(now wasabiridge.Millis, pl *pool, q wasabiridge.PlaceQuery) bool {
	model := q.Request.Model
	if model == "" || q.Weights == 0 {
		return false
	}
	return !p.mayServe(now, model, q.Weights) || !slices.ContainsFunc(pl.replicas, func(r *replica) bool {
		return !r.gone && r.weights[model] == q.Weights
	})
}
