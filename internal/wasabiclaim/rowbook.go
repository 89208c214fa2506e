package wasabiclaim

import (
	"container/list"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
)

// rowStage says what an instance is doing with a claim row.
type rowStage uint8

const (
	// stageClaiming means that a request waits for the row to be written.
	stageClaiming rowStage = iota
	// stageHeld means that the row names a request of this instance, which
	// may be sent.
	stageHeld
	// stageEnding means that the end of the request has to be written.
	stageEnding
	// stageReleasing means that the row has to be freed: its request was not
	// sent and never will be.
	stageReleasing
	// stageSettled means that the row keeps its final record.
	stageSettled
)

// asker is one call that waits for a decision. Ask is unique in a book.
type asker struct {
	ask   uint64
	query wasabiridge.ClaimQuery
}

// rowEntry is the work on one claim row.
type rowEntry struct {
	key   string
	stage rowStage
	owner asker
	// waiters ask for the same key while the owner's claim is undecided.
	waiters []asker
	// final is the record to write or written, from stageEnding on.
	final record
	// base is the revision on which the next write depends.
	base uint64
	due  wasabiridge.Millis
	// busy is true while the row is queued, written or read.
	busy bool
	// readNumber is the number of the read under way, or zero.
	readNumber uint64
	// dirty is true while a write with a lost answer may still take effect.
	dirty bool
	// gaveUp says that the owner left before the claim was decided.
	gaveUp    bool
	retryAt   wasabiridge.Millis
	kept      *list.Element
	unsettled *list.Element
}

// rowBook decides on claims by rows of the platform's table. It is
// deterministic and not safe for concurrent use. At most one transaction is
// on its way at any time.
type rowBook struct {
	limits   Limits
	self     wasabiridge.InstanceID
	life     wasabiridge.Incarnation
	interval wasabiridge.Millis
	entries  map[string]*rowEntry
	queue    []*rowEntry
	flying   []*rowEntry
	flyingID wasabiridge.WriteID
	lastSent wasabiridge.Millis
	writes   uint64
	reads    uint64
	kept     *answerRing
	// unsettled lists entries in stageEnding and stageReleasing.
	unsettled *list.List
	dropped   uint64
	// stalls counts calls to the table that failed since the last that
	// worked, and probeAt is when the next may be tried for old work.
	stalls  int
	probeAt wasabiridge.Millis
	horizon horizon
	lives   lives
	effects []rowEffect
}

const (
	// retryReads is how many old rows are asked about in one tick.
	retryReads = 4
	// finishIntervals is how many pauses between transactions the end of a
	// request waits for the claim of another to travel with. Ends that go
	// alone would take the place of claims, whose callers wait.
	finishIntervals = 4
	// maxBackoff bounds the doubling of the pause between probes.
	maxBackoff = 5
)

func newRowBook(self wasabiridge.InstanceID, life wasabiridge.Incarnation, limits Limits) *rowBook {
	b := &rowBook{
		limits:    limits,
		self:      self,
		life:      life,
		entries:   make(map[string]*rowEntry),
		lastSent:  -wasabiridge.Day,
		kept:      newAnswerRing(limits.KeptAnswers, limits.KeptBytes),
		unsettled: list.New(),
	}
	b.setInstances(1)
	return b
}

// setInstances divides the writes a second between the instances.
func (b *rowBook) setInstances(n int) {
	b.interval = wasabiridge.Millis(max(n, 1)) * wasabiridge.Second / wasabiridge.Millis(b.limits.WritesPerSecond)
}

// handle takes one event and returns what has to be done. The returned slice
// is valid until the next call.
func (b *rowBook) handle(now wasabiridge.Millis, e rowEvent) []rowEffect {
	b.effects = b.effects[:0]
	switch e := e.(type) {
	case claimAsked:
		b.ask(now, e.asker)
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
		b.lives = e.Lives
		b.horizon.agree(e.Agreed)
		b.retry(now)
	}
	b.flush(now)
	return b.effects
}

func (b *rowBook) ask(now wasabiridge.Millis, a asker) {
	key := rowKey(a.query.Account, a.query.Key)
	e := b.entries[key]
	if e == nil {
		e = &rowEntry{key: key, owner: a}
		b.entries[key] = e
		b.enqueue(e, now)
		return
	}
	switch e.stage {
	case stageClaiming:
		e.waiters = append(e.waiters, a)
	case stageReleasing:
		e.waiters = append(e.waiters, a)
		b.startRead(e)
	case stageHeld:
		b.reply(a, b.judge(now, b.runningRecord(e, now), a.query))
	case stageEnding, stageSettled:
		b.reply(a, b.judge(now, e.final, a.query))
	}
}

// abandon takes the word that a caller of Claim left without an answer. Its
// request will not be sent.
func (b *rowBook) abandon(now wasabiridge.Millis, a claimAbandoned) {
	e := b.entries[a.Key]
	if e == nil {
		return
	}
	for i, w := range e.waiters {
		if w.ask == a.Ask {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			return
		}
	}
	if e.owner.ask != a.Ask {
		return
	}
	switch e.stage {
	case stageHeld:
		b.release(e, now)
	case stageClaiming:
		// The write may be on its way. What is known when it comes back
		// decides whether there is something to release.
		e.gaveUp = true
	}
}

func (b *rowBook) end(now wasabiridge.Millis, r wasabiridge.ClaimResult) {
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
	b.watch(e)
	b.startRead(e)
}

// release starts to free a row whose request was not sent.
func (b *rowBook) release(e *rowEntry, now wasabiridge.Millis) {
	e.stage, e.due = stageReleasing, now
	b.watch(e)
	b.startRead(e)
}

// watch counts an entry as unsettled and drops the oldest beyond the limit.
// The row of a dropped entry stays as it is: repeats are told that the
// outcome is unknown, and nothing runs twice.
func (b *rowBook) watch(e *rowEntry) {
	e.unsettled = b.unsettled.PushBack(e)
	for b.unsettled.Len() > b.limits.Unsettled {
		oldest := b.unsettled.Front().Value.(*rowEntry)
		b.dropped++
		b.refuseAll(oldest)
		b.forget(oldest)
	}
}

func (b *rowBook) forget(e *rowEntry) {
	if e.unsettled != nil {
		b.unsettled.Remove(e.unsettled)
		e.unsettled = nil
	}
	if b.entries[e.key] == e {
		delete(b.entries, e.key)
	}
}

// retry asks the table again about ends and releases that it did not take.
// While the table is down it asks about one row at a time, more and more
// seldom, so that many instances do not storm the table when it comes back.
func (b *rowBook) retry(now wasabiridge.Millis) {
	room := retryReads
	if b.stalls > 0 {
		room = 1
		if now < b.probeAt {
			return
		}
		b.probeAt = now + b.limits.RetryInterval<<min(b.stalls, maxBackoff)
	}
	for el := b.unsettled.Front(); el != nil && room > 0; el = el.Next() {
		e := el.Value.(*rowEntry)
		if !e.busy && now >= e.retryAt {
			b.startRead(e)
			room--
		}
	}
}

func (b *rowBook) startRead(e *rowEntry) {
	if e.busy {
		return
	}
	b.reads++
	e.busy, e.readNumber = true, b.reads
	b.effects = append(b.effects, readRow{Key: e.key, Number: b.reads})
}

func (b *rowBook) reply(a asker, out wasabiridge.ClaimOutcome) {
	b.effects = append(b.effects, replyClaim{Ask: a.ask, Outcome: out})
}

// refuseAll tells all who wait that nothing is known.
func (b *rowBook) refuseAll(e *rowEntry) {
	for _, w := range e.waiters {
		b.reply(w, unknownNotSent())
	}
	e.waiters = nil
}

func (b *rowBook) nextWriteID() wasabiridge.WriteID {
	b.writes++
	return wasabiridge.WriteID(string(b.self) + "/" + strconv.FormatUint(uint64(b.life), 36) +
		"/claim/" + strconv.FormatUint(b.writes, 36))
}

func isUnavailable(err error) bool {
	return errorx.IsOfType(err, wasabiridge.ErrUnavailable)
}
