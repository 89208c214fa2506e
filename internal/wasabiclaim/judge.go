package wasabiclaim

import "github.com/wasabiridge/wasabiridge"

// judge answers a query from a record that another request wrote.
func (b *rowBook) judge(now wasabiridge.Millis, r record, q wasabiridge.ClaimQuery) wasabiridge.ClaimOutcome {
	if r.Digest != q.Digest {
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimMismatch}
	}
	switch {
	case r.State == recordAnswered:
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimAnswered, Answer: r.answer()}
	case r.State == recordRunning && now-r.Written <= b.limits.RunLimit && !b.lives.isOver(r.Holder, r.Incarnation):
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimRunning}
	default:
		return unknownNotSent()
	}
}

func (b *rowBook) isOwn(e *rowEntry, r record) bool {
	return r.Holder == b.self && r.Incarnation == b.life && r.Request == e.owner.query.Request
}

func (b *rowBook) runningRecord(e *rowEntry, now wasabiridge.Millis) record {
	q := e.owner.query
	written := b.horizon.raise(now)
	return record{
		State: recordRunning, Request: q.Request, Holder: b.self, Incarnation: b.life,
		Digest: q.Digest, Written: written, Until: written + b.limits.Retention,
	}
}
