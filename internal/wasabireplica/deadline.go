package wasabireplica

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// weightsAllowed reports whether replicas may still answer with version v of a model's
// weights: no newer version was announced Options.WeightsDeadline ago or earlier.
func (p *Placer) weightsAllowed(now wasabiridge.Millis, m wasabiridge.ModelID, v wasabiridge.WeightsVersion) bool {
	age, older := p.announced.supersededFor(now, m, v)
	return !older || age < p.options.WeightsDeadline
}

const (
	// A first token is assumed to take up to firstTokenFactor times its expected time.
	// Of that, firstTokenAllowance is tolerated even past the deadline of the weights,
	// so that short waits always pass.
	firstTokenFactor    = 2
	firstTokenAllowance = 200 * wasabiridge.Millis(1)
)

// startsBeforeDeadline reports whether the first token of a request is expected while
// the weights of the replica may still be used.
//
// It guards against answers from outdated weights in an overload, when queues are long:
// a request is sent to a replica whose weights may just still be used, waits there for
// seconds, and starts after their deadline. The first-byte time-out from
// weightsTimeLeft covers requests that wait longer than expected.
func (p *Placer) startsBeforeDeadline(now wasabiridge.Millis, pr *prompt, c candidate) bool {
	if !pr.engine {
		return true
	}
	delay := max(0, wasabiridge.Millis(firstTokenFactor*c.expected)-firstTokenAllowance)
	return p.weightsAllowed(now+delay, pr.root.Model, c.replica.weights[pr.root.Model])
}

// weightsTimeLeft returns how long a request may wait for its first token at a replica
// before the replica's weights reach their deadline, but at least 1 ms. It reports
// false when the replica serves the newest weights, which have no deadline.
func (p *Placer) weightsTimeLeft(now wasabiridge.Millis, m wasabiridge.ModelID, r *replica) (wasabiridge.Millis, bool) {
	age, older := p.announced.supersededFor(now, m, r.weights[m])
	return max(1, p.options.WeightsDeadline-age), older
}

// isUnresumable reports whether no replica will ever be able to continue a stream,
// because its weights are past their deadline, or no replica serves them with its software.
// Replicas never return to older weights, so waiting would only delay the caller's own retry.
func (p *Placer) isUnresumable(now wasabiridge.Millis, pl *pool, q wasabiridge.PlaceQuery) bool {
	model := q.Request.Model
	if q.Weights == 0 || model == "" {
		return q.Origin != nil && !pl.hasReplica(func(r *replica) bool { return q.CanContinue(r.server) })
	}
	return !p.weightsAllowed(now, model, q.Weights) || !pl.hasReplica(func(r *replica) bool {
		return r.weights[model] == q.Weights && q.CanContinue(r.server)
	})
}

// hasReplica reports whether some replica that is listed meets a condition.
func (pl *pool) hasReplica(meets func(r *replica) bool) bool {
	return slices.ContainsFunc(pl.replicas, func(r *replica) bool { return !r.gone && meets(r) })
}
