package wasabireplica

import "github.com/wasabiridge/wasabiridge"

// claimTime is how long the list and the reports of a replica may be older than what its
// responses name.
const claimTime = 5 * wasabiridge.Second

// weightsClaim is a version that only responses and reports of the replica have named, but not
// the list.
type weightsClaim struct {
	version wasabiridge.WeightsVersion
	// at is when a response or a report first named it.
	at wasabiridge.Millis
	// reported is set if a report has named it. The list does not refute it then: it may be
	// much older while the store is down.
	reported bool
	// refuted is set if the replica was seen to serve an earlier version afterwards. Responses
	// that name the version are ignored then.
	refuted bool
}

// weightsReported records the version of the weights that a replica serves. Versions only rise
// within an incarnation, but a response may name a wrong one.
func (p *Placer) weightsReported(now wasabiridge.Millis, e wasabiridge.WeightsReported) {
	r := p.replicas[e.Backend]
	if r == nil {
		return
	}
	if !p.acceptIncarnation(now, r, e.Incarnation) {
		r.noteUnconfirmed(e)
		return
	}
	known, claim := r.weights[e.Model], r.claims[e.Model]
	inResponse := e.RequestSentAt != 0
	switch {
	case e.Unlisted && e.Weights > known, e.Unlisted && e.Weights == claim.version:
		r.claims[e.Model] = weightsClaim{version: e.Weights, at: now, reported: true}
	case !inResponse && e.Weights >= max(known, claim.version):
		delete(r.claims, e.Model)
	case inResponse && claim.refuted && e.Weights >= claim.version:
		return
	case e.Weights < known && r.refutes(now, claim, e):
		claim.refuted = true
		r.claims[e.Model] = claim
		r.serve(e.Model, e.Weights)
		p.refutedClaims++
		return
	case inResponse && e.Weights > known:
		r.claims[e.Model] = weightsClaim{version: e.Weights, at: now}
	}
	if e.Weights > known {
		r.serve(e.Model, e.Weights)
	}
}

// refutes reports whether a lower version than the claimed one shows that the claim was wrong:
// the replica named it in the response to a request that was sent after the claim was received,
// or the list still has it although the claim is old.
func (r *replica) refutes(now wasabiridge.Millis, claim weightsClaim, e wasabiridge.WeightsReported) bool {
	switch {
	case claim.version != r.weights[e.Model] || claim.refuted:
		return false
	case e.RequestSentAt != 0:
		return e.RequestSentAt > claim.at
	}
	return !claim.reported && !e.Unlisted && now-claim.at >= claimTime
}

// serve records a version that a replica serves. What it holds was computed with the version
// before.
func (r *replica) serve(model wasabiridge.ModelID, version wasabiridge.WeightsVersion) {
	if r.weights[model] != 0 {
		r.forgetContent()
		// The new weights are served, so the drain and the backoff are over.
		r.backoffUntil, r.drainUntil = 0, 0
		r.clearFailures()
	}
	r.weights[model] = version
}

// RefutedClaims returns how many times a replica was found to serve an earlier version than one
// of its responses had named.
func (p *Placer) RefutedClaims() uint64 { return p.refutedClaims }
