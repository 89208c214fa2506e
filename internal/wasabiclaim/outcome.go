package wasabiclaim

import "github.com/wasabiridge/wasabiridge"

// outcomeOf returns the outcome for a query whose key is claimed by another
// request, from the record of that request.
func (b *rowMachine) outcomeOf(now wasabiridge.Millis, r record, q wasabiridge.ClaimQuery) wasabiridge.ClaimOutcome {
	if r.Digest != q.Digest {
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimMismatch}
	}
	switch {
	case r.State == recordAnswered:
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimAnswered, Answer: r.answer()}
	case r.State == recordRunning && now-r.Written <= b.limits.RunLimit && !b.incarnations.hasEnded(r.Holder, r.Incarnation):
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimRunning}
	default:
		return unknownNotSent()
	}
}

func (b *rowMachine) isOwn(e *rowEntry, r record) bool {
	return r.Holder == b.self && r.Incarnation == b.incarnation && r.Request == e.owner.query.Request
}

func (b *rowMachine) runningRecord(e *rowEntry, now wasabiridge.Millis) record {
	q := e.owner.query
	written := b.horizon.raise(now)
	return record{
		State: recordRunning, Request: q.Request, Holder: b.self, Incarnation: b.incarnation,
		Digest: q.Digest, Written: written, Until: written + b.limits.Retention,
	}
}
