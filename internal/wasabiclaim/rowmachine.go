package wasabiclaim

import (
	"container/list"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
)

// rowStage is the state of a claim row at this instance.
type rowStage uint8

const (
	// stageClaiming means that a request waits until the row is written.
	stageClaiming rowStage = iota
	// stageHeld means that the row names a request of this instance, which
	// may be sent.
	stageHeld
	// stageEnding means that the end of the request must be written.
	stageEnding
	// stageReleasing means that the row must be freed: its request was not
	// sent and never will be.
	stageReleasing
	// stageSettled means that the final record is written.
	stageSettled
)

// claimCall is one call of Claim that waits for an outcome. Its number is unique
// at the instance.
type claimCall struct {
	number uint64
	query  wasabiridge.ClaimQuery
}

// rowEntry is the state of one claim row.
type rowEntry struct {
	key   string
	stage rowStage
	owner claimCall
	// waiters are calls with the same key while the owner's claim is undecided.
	waiters []claimCall
	// final is the record of the request's end, from stageEnding on.
	final record
	// base is the revision of the row that the next write expects.
	base uint64
	// due is when a queued write should be sent at the latest.
	due wasabiridge.Millis
	// busy is true while the row is queued, written or read.
	busy bool
	// readNumber is the number of the read in flight, or zero.
	readNumber uint64
	// dirty is true while a write whose response was lost may still take effect.
	dirty bool
	// abandoned is true when the owner left before the claim was decided.
	abandoned bool
	retryAt   wasabiridge.Millis
	// cached is the element of the final answer in the answer ring, and unsettled the
	// entry's element in the machine's list of that name.
	cached    *list.Element
	unsettled *list.Element
}

// rowMachine decides on claims by rows of the platform's table. It is
// deterministic and not safe for concurrent use. At most one transaction is in
// flight at any time.
type rowMachine struct {
	limits      Limits
	self        wasabiridge.InstanceID
	incarnation wasabiridge.Incarnation
	// interval is the shortest time between two transactions.
	interval wasabiridge.Millis
	entries  map[string]*rowEntry
	queue    []*rowEntry
	// inFlight are the entries of the transaction in flight, inFlightID its
	// identifier.
	inFlight   []*rowEntry
	inFlightID wasabiridge.WriteID
	lastSent   wasabiridge.Millis
	writes     uint64
	reads      uint64
	cached     *answerRing
	// unsettled lists entries in stageEnding and stageReleasing.
	unsettled *list.List
	dropped   uint64
	// failures counts calls to the table that failed since the last successful
	// one, and probeAt is when the next retry for an unsettled entry is allowed.
	failures     int
	probeAt      wasabiridge.Millis
	horizon      horizon
	incarnations incarnations
	effects      []rowEffect
}

const (
	// retryReads bounds the unsettled rows that are read again in one tick.
	retryReads = 4
	// finishIntervals is how many intervals between transactions the end of a
	// request waits for a claim to be batched with. Ends in transactions of their
	// own would delay claims, whose callers wait.
	finishIntervals = 4
	// maxBackoff bounds the doublings of the retry interval.
	maxBackoff = 5
)

func newRowMachine(self wasabiridge.InstanceID, incarnation wasabiridge.Incarnation, limits Limits) *rowMachine {
	b := &rowMachine{
		limits:      limits,
		self:        self,
		incarnation: incarnation,
		entries:     make(map[string]*rowEntry),
		lastSent:    -wasabiridge.Day,
		cached:      newAnswerRing(limits.MaxCachedAnswers, limits.MaxCachedBytes),
		unsettled:   list.New(),
	}
	b.setInstances(1)
	return b
}

// setInstances sets the interval between transactions from an equal share of the
// writes a second among n instances.
func (b *rowMachine) setInstances(n int) {
	b.interval = wasabiridge.Millis(max(n, 1)) * wasabiridge.Second / wasabiridge.Millis(b.limits.WritesPerSecond)
}

// handle processes one event and returns the effects to execute. The returned
// slice is valid until the next call.
func (b *rowMachine) handle(now wasabiridge.Millis, e rowEvent) []rowEffect {
	b.effects = b.effects[:0]
	switch e := e.(type) {
	case claimRequested:
		b.claim(now, e.Call)
	case claimAbandoned:
		b.abandon(now, e)
	case claimEnded:
		b.end(now, e.Result)
	case batchCommitted:
		b.committed(now, e)
	case rowRead:
		b.read(now, e)
	case rowTicked:
		b.setInstances(e.Instances)
		b.incarnations = e.Incarnations
		b.horizon.agree(e.Agreed)
		b.retry(now)
	}
	b.flush(now)
	return b.effects
}

func (b *rowMachine) claim(now wasabiridge.Millis, c claimCall) {
	key := rowKey(c.query.Account, c.query.Key)
	e := b.entries[key]
	if e == nil {
		e = &rowEntry{key: key, owner: c}
		b.entries[key] = e
		b.enqueue(e, now)
		return
	}
	switch e.stage {
	case stageClaiming:
		e.waiters = append(e.waiters, c)
	case stageReleasing:
		e.waiters = append(e.waiters, c)
		b.startRead(e)
	case stageHeld:
		b.reply(c, b.outcomeOf(now, b.runningRecord(e, now), c.query))
	case stageEnding, stageSettled:
		b.reply(c, b.outcomeOf(now, e.final, c.query))
	}
}

// abandon handles a caller of Claim that left before it had an outcome. Its
// request will not be sent.
func (b *rowMachine) abandon(now wasabiridge.Millis, a claimAbandoned) {
	e := b.entries[a.Key]
	if e == nil {
		return
	}
	for i, w := range e.waiters {
		if w.number == a.Call {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			return
		}
	}
	if e.owner.number != a.Call {
		return
	}
	switch e.stage {
	case stageHeld:
		b.release(e, now)
	case stageClaiming:
		// The write may be in flight. Its result decides whether there is a claim
		// to release.
		e.abandoned = true
	}
}

func (b *rowMachine) end(now wasabiridge.Millis, r wasabiridge.ClaimResult) {
	e := b.entries[rowKey(r.Query.Account, r.Query.Key)]
	if e == nil || e.stage != stageHeld || holderOf(e.owner.query) != holderOf(r.Query) {
		return
	}
	if r.Disposition == wasabiridge.NotRun {
		b.release(e, now)
		return
	}
	e.final = b.runningRecord(e, now)
	e.final.State = recordUnknown
	if r.Disposition == wasabiridge.Ran && answerSize(r.Answer) <= b.limits.RowAnswerBytes {
		e.final.State = recordAnswered
		e.final.Answer = &recordAnswer{Status: r.Answer.Status, ContentType: r.Answer.ContentType, Body: r.Answer.Body}
	}
	e.stage = stageEnding
	e.due = now + max(b.limits.FinishDelay, finishIntervals*b.interval)
	b.addUnsettled(e)
	b.startRead(e)
}

// release begins to free a row whose request was not sent.
func (b *rowMachine) release(e *rowEntry, now wasabiridge.Millis) {
	e.stage, e.due = stageReleasing, now
	b.addUnsettled(e)
	b.startRead(e)
}

// addUnsettled adds an entry to the unsettled ones and drops the oldest beyond
// Limits.MaxUnsettled. The row of a dropped entry stays as it is: repeats are answered
// that the outcome is unknown, and nothing runs twice.
func (b *rowMachine) addUnsettled(e *rowEntry) {
	e.unsettled = b.unsettled.PushBack(e)
	for b.unsettled.Len() > b.limits.MaxUnsettled {
		oldest := b.unsettled.Front().Value.(*rowEntry)
		b.dropped++
		b.refuseWaiters(oldest)
		b.remove(oldest)
	}
}

func (b *rowMachine) remove(e *rowEntry) {
	if e.unsettled != nil {
		b.unsettled.Remove(e.unsettled)
		e.unsettled = nil
	}
	if b.entries[e.key] == e {
		delete(b.entries, e.key)
	}
}

// retry reads the rows of ends and releases again that could not be written. While
// the table is down it reads one row at a time with exponential backoff, so that
// many instances do not overload the table when it comes back.
func (b *rowMachine) retry(now wasabiridge.Millis) {
	remaining := retryReads
	if b.failures > 0 {
		remaining = 1
		if now < b.probeAt {
			return
		}
		b.probeAt = now + b.limits.RetryInterval<<min(b.failures, maxBackoff)
	}
	for el := b.unsettled.Front(); el != nil && remaining > 0; el = el.Next() {
		e := el.Value.(*rowEntry)
		if !e.busy && now >= e.retryAt {
			b.startRead(e)
			remaining--
		}
	}
}

func (b *rowMachine) startRead(e *rowEntry) {
	if e.busy {
		return
	}
	b.reads++
	e.busy, e.readNumber = true, b.reads
	b.effects = append(b.effects, readRow{Key: e.key, Number: b.reads})
}

func (b *rowMachine) reply(c claimCall, out wasabiridge.ClaimOutcome) {
	b.effects = append(b.effects, replyClaim{Call: c.number, Outcome: out})
}

// refuseWaiters replies to all waiters that the outcome is unknown.
func (b *rowMachine) refuseWaiters(e *rowEntry) {
	for _, w := range e.waiters {
		b.reply(w, unknownNotSent())
	}
	e.waiters = nil
}

func (b *rowMachine) nextWriteID() wasabiridge.WriteID {
	b.writes++
	return wasabiridge.WriteID(string(b.self) + "/" + strconv.FormatUint(uint64(b.incarnation), 36) +
		"/claim/" + strconv.FormatUint(b.writes, 36))
}

func isUnavailable(err error) bool {
	return errorx.IsOfType(err, wasabiridge.ErrUnavailable)
}
