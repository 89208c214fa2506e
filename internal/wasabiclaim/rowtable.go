package wasabiclaim

import (
	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
)

// enqueue puts an entry into the next transaction.
func (b *rowBook) enqueue(e *rowEntry, due wasabiridge.Millis) {
	e.busy, e.due = true, due
	b.queue = append(b.queue, e)
}

// flush sends the next transaction when it is time. One transaction is on its
// way at most, and the pause between two keeps this instance within its part
// of the platform's writes.
func (b *rowBook) flush(now wasabiridge.Millis) {
	if len(b.flying) > 0 || now-b.lastSent < b.interval || !b.isDue(now) {
		return
	}
	n := min(len(b.queue), b.limits.BatchRows)
	tx := wasabiridge.Transaction{ID: b.nextWriteID()}
	for _, e := range b.queue[:n] {
		if b.entries[e.key] != e {
			// The entry was dropped while it was queued.
			continue
		}
		if e.stage == stageClaiming && e.gaveUp {
			b.gaveUpBeforeWrite(e, now)
			continue
		}
		tx.Changes = append(tx.Changes, wasabiridge.RowChange{
			Key: e.key, IfRevision: e.base, Value: encodeRecord(b.target(e, now)),
		})
		b.flying = append(b.flying, e)
	}
	b.queue = append([]*rowEntry(nil), b.queue[n:]...)
	if len(b.flying) == 0 {
		return
	}
	b.flyingID, b.lastSent = tx.ID, now
	b.effects = append(b.effects, commitBatch{Transaction: tx})
}

func (b *rowBook) isDue(now wasabiridge.Millis) bool {
	if len(b.queue) >= b.limits.BatchRows {
		return true
	}
	for _, e := range b.queue {
		if e.due <= now {
			return true
		}
	}
	return false
}

func (b *rowBook) target(e *rowEntry, now wasabiridge.Millis) record {
	switch e.stage {
	case stageEnding:
		return e.final
	case stageReleasing:
		r := b.runningRecord(e, now)
		r.State = recordFree
		return r
	default:
		return b.runningRecord(e, now)
	}
}

// gaveUpBeforeWrite ends a claim whose caller left while it was queued.
func (b *rowBook) gaveUpBeforeWrite(e *rowEntry, now wasabiridge.Millis) {
	e.busy = false
	if e.dirty {
		b.release(e, now)
		return
	}
	b.promote(e, now)
}

// promote lets the next waiter claim a row that nobody holds, or forgets the
// entry.
func (b *rowBook) promote(e *rowEntry, now wasabiridge.Millis) {
	b.forget(e)
	if len(e.waiters) == 0 {
		return
	}
	next := &rowEntry{key: e.key, owner: e.waiters[0], waiters: e.waiters[1:]}
	b.entries[e.key] = next
	b.startRead(next)
}

func (b *rowBook) committed(now wasabiridge.Millis, c batchCommitted) {
	if c.ID != b.flyingID {
		return
	}
	flying := b.flying
	b.flying, b.flyingID = nil, ""
	for _, e := range flying {
		e.busy = false
		if b.entries[e.key] != e {
			continue
		}
		switch {
		case c.Err == nil:
			b.written(e, now)
		case isUnavailable(c.Err):
			b.stalled(e, now)
		default:
			// Either one row of the batch had another writer, or the
			// answer was lost and the write may have taken effect, now or
			// later. The row tells: it names the request that holds it.
			e.dirty = e.dirty || !errorx.IsOfType(c.Err, wasabiridge.ErrConflict)
			b.startRead(e)
		}
	}
}

// written goes on after a write that took effect. It raised the revision, so
// earlier writes of the entry that are still on their way cannot take effect.
func (b *rowBook) written(e *rowEntry, now wasabiridge.Millis) {
	e.dirty, b.stalls = false, 0
	switch e.stage {
	case stageClaiming:
		b.granted(e, now)
	case stageEnding:
		b.settle(e)
	case stageReleasing:
		b.promote(e, now)
	}
}

func (b *rowBook) granted(e *rowEntry, now wasabiridge.Millis) {
	if e.gaveUp {
		b.release(e, now)
		return
	}
	e.stage = stageHeld
	b.reply(e.owner, wasabiridge.ClaimOutcome{State: wasabiridge.ClaimGranted})
	b.judgeWaiters(e, now, b.runningRecord(e, now))
}

func (b *rowBook) judgeWaiters(e *rowEntry, now wasabiridge.Millis, r record) {
	for _, w := range e.waiters {
		b.reply(w, b.judge(now, r, w.query))
	}
	e.waiters = nil
}

// settle keeps the final record in memory for repeats at this instance.
func (b *rowBook) settle(e *rowEntry) {
	e.stage = stageSettled
	if e.unsettled != nil {
		b.unsettled.Remove(e.unsettled)
		e.unsettled = nil
	}
	if !b.kept.fits(e.final.answer()) {
		b.forget(e)
		return
	}
	e.kept = b.kept.add(e.final.answer(), func() { b.forget(e) })
}

// stalled goes on when the table cannot be reached. A claim is refused at
// once. Whether an earlier request with the key ran cannot be told, so the
// refusal does not say "not run".
func (b *rowBook) stalled(e *rowEntry, now wasabiridge.Millis) {
	b.stalls++
	b.refuseAll(e)
	if e.stage != stageClaiming {
		e.retryAt = now + b.limits.RetryInterval
		return
	}
	if !e.gaveUp {
		b.reply(e.owner, unknownNotSent())
	}
	if !e.dirty {
		b.forget(e)
		return
	}
	e.stage, e.due, e.retryAt = stageReleasing, now, now+b.limits.RetryInterval
	b.watch(e)
}

func (b *rowBook) read(now wasabiridge.Millis, rr rowRead) {
	e := b.entries[rr.Key]
	if e == nil || e.readNumber != rr.Number {
		return
	}
	e.busy, e.readNumber = false, 0
	if rr.Err != nil {
		b.stalled(e, now)
		return
	}
	b.stalls = 0
	var r record
	if rr.Row.Revision == 0 {
		r.State = recordFree
	} else {
		var err error
		if r, err = decodeRecord(rr.Row.Value); err != nil {
			// A row that cannot be read is never written over: it may be
			// the claim of a request that ran.
			r = record{State: recordUnknown, Digest: e.owner.query.Digest}
		}
		b.horizon.observe(r.Holder, r.Written)
	}
	e.base = rr.Row.Revision
	b.reconcile(e, now, r)
}

// reconcile compares what the row holds with what the entry wants.
func (b *rowBook) reconcile(e *rowEntry, now wasabiridge.Millis, r record) {
	own := r.State == recordRunning && b.isOwn(e, r)
	switch {
	case e.stage == stageClaiming && r.State == recordFree:
		b.enqueue(e, now)
	case e.stage == stageClaiming && own:
		e.dirty = false
		b.granted(e, now)
	case e.stage == stageClaiming:
		b.taken(e, now, r)
	case e.stage == stageEnding && own:
		b.enqueue(e, e.due)
	case e.stage == stageEnding:
		b.settle(e)
	case own || r.State == recordFree && e.dirty:
		// A free row is written again while an earlier claim write may be
		// on its way. The new revision makes that write fail; otherwise it
		// would leave the row claimed by a request that nobody runs.
		b.enqueue(e, now)
	default:
		b.promote(e, now)
	}
}

// taken goes on when the row belongs to another request.
func (b *rowBook) taken(e *rowEntry, now wasabiridge.Millis, r record) {
	if r.State == recordRunning && r.Holder == b.self {
		// The row names this instance, yet nothing here holds it: it was
		// claimed in a former life, or its release was dropped.
		r.State = recordUnknown
	}
	if !e.gaveUp {
		b.reply(e.owner, b.judge(now, r, e.owner.query))
	}
	b.judgeWaiters(e, now, r)
	b.forget(e)
}
