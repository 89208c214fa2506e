// Package wasabiquarantine keeps requests from backend servers that would end under
// them: a query of death, which ends every server that runs it and is sent again.
//
// # Evidence
//
// A server counts as ended under a request when the request was inside, its connection
// broke, and nothing listens at the server's address any more. Broken connections,
// failures and silence of servers that go on listening are no evidence. One end counts
// once, whoever tells it.
//
// # Standing
//
// A request is named by its fingerprint, which covers its client account, so that one
// account's requests never mark another's. After the first end it is a suspect. All
// instances send it to the same server, chosen by the fingerprint: those that merely
// ran beside it go elsewhere each and are answered there, and one whole answer anywhere
// ends the suspicion. After three ends it is barred, or tried: ends at one moment may have
// another cause, so it is barred when they lie at three moments, or four of them at two.
// Until then it may go for freeFor after the third end; then trialists instances may each
// try it once at a time, and the others ask its callers to come back soon.
//
// A bar lapses after a while that grows with the ends, at each instance at a time of its
// own, and when newer weights are named. Then it is tried again. After trialMost such
// trials that ended a server too, only time or an operator lifts it.
//
// # News
//
// Instances tell each other what they know. It is merged in any order and any number of
// times with the same outcome: whole answers raise an epoch, and within an epoch ends
// are a set. See Spread for whom they tell.
//
// # Usage
//
//	table := wasabiquarantine.New(wasabiquarantine.Options{Seed: 1})
//	core := wasabicore.New(wasabicore.Options{Quarantine: table, ...})
//	news := table.TakeNews(now)
//
// A Table is deterministic for a seed and not safe for concurrent use.
package wasabiquarantine

import (
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// endsMost is how many servers may end under a request.
	endsMost = 3
	// endsProof is how many ends at two moments prove as much as ends at three moments.
	endsProof, momentsProof = 4, 3
	// trialists is how many instances may try a request.
	trialists = 3
	// freeFor is how long after the third end a request goes that is not proven: a popular
	// one is answered somewhere meanwhile.
	freeFor = wasabiridge.Second
	// trialMost is how many further servers trials may end.
	trialMost = 2
	// barFirst is how long the first bar holds at least, barLast how long one does after
	// the last trial. In between it doubles.
	barFirst = wasabiridge.Minute
	barLast  = wasabiridge.Hour
	// barSpread is by how much longer than others an instance may hold a bar, as a part
	// of it, so that they do not try at the same moment.
	barSpread = 0.5
	// forgetAfter is how long after the end of its bar, or after its last end, a mark is
	// forgotten.
	forgetAfter = 10 * wasabiridge.Minute
	// clearedLife is how long it is remembered that a mark was cleared. Older news of
	// its ends arrives within seconds.
	clearedLife = wasabiridge.Minute
	// crowdMost is how many other servers may end within crowdSpan of an end before that
	// has a likelier cause than the request, apart is how long the servers of a rack that is
	// lost take to end.
	crowdMost = 1
	crowdSpan = wasabiridge.Second
	apart     = 300 * wasabiridge.Millis(1)
	// endLife is for how long ends of servers are remembered by themselves.
	endLife = 10 * wasabiridge.Minute
	// reborn is how soon after its end a server cannot have ended again. Instances may
	// know its lives by different numbers.
	reborn = 1500 * wasabiridge.Millis(1)
	// marksMost bounds the marks, accountMost those of one account.
	marksMost   = 4096
	accountMost = 64
	// keptEnds bounds the ends that are remembered of one request.
	keptEnds = 16
)

// Options set up a Table. The zero value works.
type Options struct {
	// Self names this instance.
	Self wasabiridge.InstanceID
	// Seed decides how much longer than others this instance holds bars.
	Seed uint64
	// Changed is called when there is something to tell or to log. It must not block.
	// Nil means that nobody waits for it.
	Changed func()
}

// Table implements wasabiridge.Quarantine. See the package comment.
type Table struct {
	self    wasabiridge.InstanceID
	others  []wasabiridge.InstanceID
	changed func()
	spread  float64
	marks   map[wasabiridge.Fingerprint]*mark
	// owned counts the marks of each account.
	owned map[wasabiridge.ClientAccountID]int
	sent  map[wasabiridge.AttemptID]sending
	named map[wasabiridge.ModelID]wasabiridge.WeightsVersion
	news  map[wasabiridge.Fingerprint]bool
	// corrections are the marks of which instances told that were cleared before.
	corrections map[wasabiridge.InstanceID]map[wasabiridge.Fingerprint]bool
	notes       []Note
	// swept is when marks were last looked through for those to be forgotten.
	swept wasabiridge.Millis
	// endings are when servers last ended under any request.
	endings map[wasabiridge.BackendServerID]wasabiridge.Millis
	counts  Counts
}

var _ wasabiridge.Quarantine = (*Table)(nil)

// sending is an attempt that has not ended, with what was known when it began.
type sending struct {
	fingerprint wasabiridge.Fingerprint
	account     wasabiridge.ClientAccountID
	model       wasabiridge.ModelID
	backend     wasabiridge.BackendServer
	epoch       uint32
	at          wasabiridge.Millis
	weights     wasabiridge.WeightsVersion
}

// New returns a table that knows nothing yet.
func New(o Options) *Table {
	if o.Changed == nil {
		o.Changed = func() {}
	}
	return &Table{
		self: o.Self, changed: o.Changed,
		spread: 1 + barSpread*rand.New(rand.NewPCG(o.Seed, 1)).Float64(),
		marks:  map[wasabiridge.Fingerprint]*mark{},
		owned:  map[wasabiridge.ClientAccountID]int{},
		sent:   map[wasabiridge.AttemptID]sending{},
		named:  map[wasabiridge.ModelID]wasabiridge.WeightsVersion{},
		news:   map[wasabiridge.Fingerprint]bool{},

		endings:     map[wasabiridge.BackendServerID]wasabiridge.Millis{},
		corrections: map[wasabiridge.InstanceID]map[wasabiridge.Fingerprint]bool{},
	}
}

// Sent implements wasabiridge.Quarantine.
func (t *Table) Sent(now wasabiridge.Millis, r wasabiridge.Request, id wasabiridge.AttemptID, b wasabiridge.BackendServer) {
	if r.Fingerprint == 0 {
		return
	}
	s := sending{at: now, fingerprint: r.Fingerprint, account: r.Account, model: r.Model, backend: b, weights: t.named[r.Model]}
	if m := t.marks[r.Fingerprint]; m != nil {
		s.epoch = m.epoch
		m.running++
	}
	t.sent[id] = s
}

// Observe implements wasabiridge.Quarantine.
func (t *Table) Observe(now wasabiridge.Millis, e wasabiridge.Event) {
	switch e := e.(type) {
	case wasabiridge.AttemptEnded:
		t.ended(now, e)
	case wasabiridge.CrashesHeard:
		for _, c := range e.Crashes {
			t.hear(now, e.From, c)
		}
	case wasabiridge.QuarantineReleased:
		if m := t.marks[e.Fingerprint]; m != nil && len(m.ends) > 0 {
			t.clear(now, m, LiftedByOperator)
		}
	case wasabiridge.WeightsNamed:
		t.named[e.Model] = max(t.named[e.Model], e.Weights)
	case wasabiridge.Ticked:
		t.sweep(now)
	}
}

// ended takes how an attempt ended. A server that gave a whole answer, be it a failure
// of its own, has survived the request.
func (t *Table) ended(now wasabiridge.Millis, e wasabiridge.AttemptEnded) {
	s, ok := t.sent[e.Attempt]
	if !ok {
		return
	}
	delete(t.sent, e.Attempt)
	m := t.marks[s.fingerprint]
	if m != nil && m.running > 0 {
		m.running--
	}
	switch {
	case e.ServerEnded:
		t.counts.Ends++
		t.add(now, "", wasabiridge.CrashNews{
			Fingerprint: s.fingerprint, Account: s.account, Model: s.model, Epoch: s.epoch,
			Ends: []wasabiridge.ServerEnd{{
				Backend: s.backend.ID, Incarnation: s.backend.Incarnation, Ran: now - s.at, Weights: s.weights,
			}},
		})
	case m != nil && len(m.ends) > 0 && (e.Result == wasabiridge.AttemptCompleted || e.Failed):
		t.clear(now, m, LiftedByAnswer)
	}
}

// clear ends the suspicion of a request.
func (t *Table) clear(now wasabiridge.Millis, m *mark, why Lifted) {
	t.note(now, Note{Kind: NoteLifted, Mark: m.snapshot(now), Why: why})
	m.wide = m.isWide()
	m.epoch++
	m.ends = nil
	m.changed = now
	t.tell(m)
}

// tell lets the other instances know what has changed.
func (t *Table) tell(m *mark) {
	t.news[m.fingerprint] = true
	t.changed()
}
