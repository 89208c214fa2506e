package wasabiclaim

import (
	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
)

// enqueue queues the write of an entry. It is sent when it is due, or earlier with
// another one.
func (b *rowMachine) enqueue(e *rowEntry, due wasabiridge.Millis) {
	e.busy, e.due = true, due
	b.queue = append(b.queue, e)
}

// flush sends the next transaction when a queued write is due. At most one
// transaction is in flight, and the interval between two keeps this instance within
// its share of the table's writes.
func (b *rowMachine) flush(now wasabiridge.Millis) {
	if len(b.inFlight) > 0 || now-b.lastSent < b.interval || !b.isDue(now) {
		return
	}
	n := min(len(b.queue), b.limits.BatchRows)
	tx := wasabiridge.Transaction{ID: b.nextWriteID()}
	for _, e := range b.queue[:n] {
		if b.entries[e.key] != e {
			// The entry was removed while it was queued.
			continue
		}
		if e.stage == stageClaiming && e.abandoned {
			b.abandonQueued(e, now)
			continue
		}
		tx.Changes = append(tx.Changes, wasabiridge.RowChange{
			Key: e.key, IfRevision: e.base, Value: encodeRecord(b.target(e, now)),
		})
		b.inFlight = append(b.inFlight, e)
	}
	b.queue = append([]*rowEntry(nil), b.queue[n:]...)
	if len(b.inFlight) == 0 {
		return
	}
	b.inFlightID, b.lastSent = tx.ID, now
	b.effects = append(b.effects, commitBatch{Transaction: tx})
}

func (b *rowMachine) isDue(now wasabiridge.Millis) bool {
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

func (b *rowMachine) target(e *rowEntry, now wasabiridge.Millis) record {
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

// abandonQueued ends a claim whose caller left while its write was queued.
func (b *rowMachine) abandonQueued(e *rowEntry, now wasabiridge.Millis) {
	e.busy = false
	if e.dirty {
		b.release(e, now)
		return
	}
	b.promote(e, now)
}

// promote makes the next waiter the owner of a row that no request holds. Without a
// waiter it removes the entry.
func (b *rowMachine) promote(e *rowEntry, now wasabiridge.Millis) {
	b.remove(e)
	if len(e.waiters) == 0 {
		return
	}
	next := &rowEntry{key: e.key, owner: e.waiters[0], waiters: e.waiters[1:]}
	b.entries[e.key] = next
	b.startRead(next)
}

func (b *rowMachine) committed(now wasabiridge.Millis, c batchCommitted) {
	if c.ID != b.inFlightID {
		return
	}
	batch := b.inFlight
	b.inFlight, b.inFlightID = nil, ""
	for _, e := range batch {
		e.busy = false
		if b.entries[e.key] != e {
			continue
		}
		switch {
		case c.Err == nil:
			b.written(e, now)
		case isUnavailable(c.Err):
			b.tableFailed(e, now)
		default:
			// Either one row of the batch had another writer, or the
			// response was lost and the write may take effect, now or later.
			// The row is read, because it names the request that holds it.
			e.dirty = e.dirty || !errorx.IsOfType(c.Err, wasabiridge.ErrConflict)
			b.startRead(e)
		}
	}
}

// written handles a write that took effect. It raised the row's revision, so
// earlier writes of the entry that are still in flight cannot take effect.
func (b *rowMachine) written(e *rowEntry, now wasabiridge.Millis) {
	e.dirty, b.failures = false, 0
	switch e.stage {
	case stageClaiming:
		b.granted(e, now)
	case stageEnding:
		b.settle(e)
	case stageReleasing:
		b.promote(e, now)
	}
}

func (b *rowMachine) granted(e *rowEntry, now wasabiridge.Millis) {
	if e.abandoned {
		b.release(e, now)
		return
	}
	e.stage = stageHeld
	b.reply(e.owner, wasabiridge.ClaimOutcome{State: wasabiridge.ClaimGranted})
	b.replyToWaiters(e, now, b.runningRecord(e, now))
}

func (b *rowMachine) replyToWaiters(e *rowEntry, now wasabiridge.Millis, r record) {
	for _, w := range e.waiters {
		b.reply(w, b.outcomeOf(now, r, w.query))
	}
	e.waiters = nil
}

// settle caches the final record in memory for repeats at this instance, if the
// answer fits.
func (b *rowMachine) settle(e *rowEntry) {
	e.stage = stageSettled
	if e.unsettled != nil {
		b.unsettled.Remove(e.unsettled)
		e.unsettled = nil
	}
	if !b.cached.fits(e.final.answer()) {
		b.remove(e)
		return
	}
	e.cached = b.cached.add(e.final.answer(), func() { b.remove(e) })
}

// tableFailed handles a table that cannot be reached. A claim is refused at once.
// It is unknown whether an earlier request with the key ran, so the outcome is not
// "not run".
func (b *rowMachine) tableFailed(e *rowEntry, now wasabiridge.Millis) {
	b.failures++
	b.refuseWaiters(e)
	if e.stage != stageClaiming {
		e.retryAt = now + b.limits.RetryInterval
		return
	}
	if !e.abandoned {
		b.reply(e.owner, unknownNotSent())
	}
	if !e.dirty {
		b.remove(e)
		return
	}
	e.stage, e.due, e.retryAt = stageReleasing, now, now+b.limits.RetryInterval
	b.addUnsettled(e)
}

func (b *rowMachine) read(now wasabiridge.Millis, rr rowRead) {
	e := b.entries[rr.Key]
	if e == nil || e.readNumber != rr.Number {
		return
	}
	e.busy, e.readNumber = false, 0
	if rr.Err != nil {
		b.tableFailed(e, now)
		return
	}
	b.failures = 0
	var r record
	if rr.Row.Revision == 0 {
		r.State = recordFree
	} else {
		var err error
		if r, err = decodeRecord(rr.Row.Value); err != nil {
			// A row that cannot be decoded is never overwritten: it may be the
			// claim of a request that ran.
			r = record{State: recordUnknown, Digest: e.owner.query.Digest}
		}
		b.horizon.observe(r.Holder, r.Written)
	}
	e.base = rr.Row.Revision
	b.reconcile(e, now, r)
}

// reconcile compares the record of a row with the stage of its entry and continues
// accordingly: it writes the row, or replies and ends the entry.
func (b *rowMachine) reconcile(e *rowEntry, now wasabiridge.Millis, r record) {
	own := r.State == recordRunning && b.isOwn(e, r)
	switch {
	case e.stage == stageClaiming && r.State == recordFree:
		b.enqueue(e, now)
	case e.stage == stageClaiming && own:
		e.dirty = false
		b.granted(e, now)
	case e.stage == stageClaiming:
		b.claimedByOther(e, now, r)
	case e.stage == stageEnding && own:
		b.enqueue(e, e.due)
	case e.stage == stageEnding:
		b.settle(e)
	case own || r.State == recordFree && e.dirty:
		// A free row is written again while an earlier claim write may be in
		// flight. The new revision makes that write fail; otherwise it would
		// leave the row claimed by a request that will never be sent.
		b.enqueue(e, now)
	default:
		b.promote(e, now)
	}
}

// claimedByOther ends the claims for a row that belongs to another request.
func (b *rowMachine) claimedByOther(e *rowEntry, now wasabiridge.Millis, r record) {
	if r.State == recordRunning && r.Holder == b.self {
		// The row names this instance, but no entry holds it: it was claimed by
		// an earlier incarnation, or its release was dropped.
		r.State = recordUnknown
	}
	if !e.abandoned {
		b.reply(e.owner, b.outcomeOf(now, r, e.owner.query))
	}
	b.replyToWaiters(e, now, r)
	b.remove(e)
}
