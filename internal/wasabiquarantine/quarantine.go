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
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// endsMost is how many servers may end under a request. The users' rules allow three.
	endsMost = 3
	// endsProof is how many ends at two moments prove as much as ends at three moments.
	endsProof, momentsProof = 4, 3
	// trialists is how many instances may try a request. The users' rules allow it to
	// reach three more servers.
	trialists = 3
	// freeFor is how long after the third end a request goes that is not proven: a popular
	// one is answered somewhere meanwhile. The users' rules count what is sent later than
	// instances may take to hear of the third end, which are seconds.
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
	// ended is when each server last ended under any request.
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

// Judge implements wasabiridge.Quarantine.
func (t *Table) Judge(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Standing {
	m := t.marks[r.Fingerprint]
	if m == nil || len(m.ends) == 0 {
		return wasabiridge.StandingFree
	}
	switch {
	case m.count() < endsMost:
		return wasabiridge.StandingSuspect
	case t.isBarred(now, m):
		t.counts.Refused++
		return wasabiridge.StandingBarred
	case !t.isProven(m) && now < m.ends[endsMost-1].At+freeFor:
	case m.running > 0 || !t.isTrialist(m.fingerprint):
		t.counts.Deferred++
		return wasabiridge.StandingDeferred
	}
	return wasabiridge.StandingSuspect
}

// isBarred reports whether a request reaches no server now.
func (t *Table) isBarred(now wasabiridge.Millis, m *mark) bool {
	return t.isProven(m) && now < m.newest()+t.barFor(m) && !t.hasNewWeights(m)
}

// isProven reports whether the ends are proof against the request: as many as may be,
// and not at what may have been one moment, or two.
//
// The failure it guards against: racks are lost, and with them servers that ran the same
// popular request. It would be refused although it is harmless.
func (t *Table) isProven(m *mark) bool {
	if m.count() < endsMost {
		return false
	}
	moments := m.moments(func(at wasabiridge.Millis) bool { return t.isCrowded(m, at) })
	return moments >= momentsProof || moments > 1 && m.count() >= endsProof
}

// isCrowded reports whether servers under which the request did not run ended at about
// the same time.
func (t *Table) isCrowded(m *mark, at wasabiridge.Millis) bool {
	others := 0
	for b, ended := range t.endings {
		if apart := ended - at; max(apart, -apart) > crowdSpan || m.has(b) {
			continue
		}
		if others++; others > crowdMost {
			return true
		}
	}
	return false
}

// Meet takes the names of the other living instances, with which trials are shared out.
func (t *Table) Meet(others []wasabiridge.InstanceID) { t.others = others }

// isTrialist reports whether this is one of the instances that may try a request. All
// instances that know the same others agree on them.
//
// The failure it guards against: callers send a request in the same moment to all
// instances, and after an end at each of three servers each instance tries it once more.
func (t *Table) isTrialist(f wasabiridge.Fingerprint) bool {
	own, ahead := rank(f, string(t.self)), 0
	for _, other := range t.others {
		if rank(f, string(other)) > own {
			ahead++
		}
	}
	return ahead < trialists
}

// barFor is how long a bar holds after the newest end.
func (t *Table) barFor(m *mark) wasabiridge.Millis {
	trials := m.count() - endsMost
	if trials >= trialMost {
		return wasabiridge.Millis(t.spread * float64(barLast))
	}
	return wasabiridge.Millis(t.spread * float64(barFirst<<max(trials, 0)))
}

// hasNewWeights reports whether newer weights were named than those under which
// servers ended. Trials for that are few, like those after a time.
func (t *Table) hasNewWeights(m *mark) bool {
	return m.count() < endsMost+trialMost && m.weights() > 0 && t.named[m.model] > m.weights()
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

// hear takes what another instance knows.
func (t *Table) hear(now wasabiridge.Millis, from wasabiridge.InstanceID, c wasabiridge.CrashNews) {
	if c.Fingerprint == 0 {
		return
	}
	t.add(now, from, c)
}

// add merges news into what is known. From is empty for an end that was seen here.
func (t *Table) add(now wasabiridge.Millis, from wasabiridge.InstanceID, c wasabiridge.CrashNews) {
	for _, e := range c.Ends {
		t.endings[e.Backend] = max(t.endings[e.Backend], now-e.Age)
	}
	m := t.marks[c.Fingerprint]
	if m == nil {
		if m = t.newMark(now, c); m == nil {
			return
		}
	}
	if c.Epoch < m.epoch {
		t.correct(from, m)
		return
	}
	before, barred := m.count(), t.isBarred(now, m)
	changed := false
	if c.Epoch > m.epoch {
		if len(m.ends) > 0 {
			t.note(now, Note{Kind: NoteLifted, Mark: m.snapshot(now), Why: LiftedByAnswer, From: from})
		}
		m.wide = m.isWide()
		m.epoch, m.ends, changed = c.Epoch, nil, true
	}
	for _, e := range c.Ends {
		e.At, e.Age = now-e.Age, 0
		changed = m.add(e) || changed
	}
	if !changed {
		return
	}
	m.changed = now
	if from == "" {
		m.own = now
		t.tell(m)
	}
	t.noteEnds(now, m, from, before, barred)
}

// correct lets an instance know that what it told does not count any more.
//
// The failure it guards against: an instance to which hardly any callers are sent saw an
// end, and is not told of an answer that others gave. It goes on to suspect the request.
func (t *Table) correct(from wasabiridge.InstanceID, m *mark) {
	if from == "" || len(t.corrections[from]) >= repeatedMost {
		return
	}
	if t.corrections[from] == nil {
		t.corrections[from] = map[wasabiridge.Fingerprint]bool{}
	}
	t.corrections[from][m.fingerprint] = true
	t.changed()
}

// newMark makes room for a mark. It returns nil where the account has its share of
// marks that count for more.
func (t *Table) newMark(now wasabiridge.Millis, c wasabiridge.CrashNews) *mark {
	if t.owned[c.Account] >= accountMost && !t.evict(func(m *mark) bool { return m.account == c.Account }) {
		return nil
	}
	if len(t.marks) >= marksMost && !t.evict(func(*mark) bool { return true }) {
		return nil
	}
	m := &mark{fingerprint: c.Fingerprint, account: c.Account, model: c.Model, changed: now}
	for _, s := range t.sent {
		if s.fingerprint == c.Fingerprint {
			m.running++
		}
	}
	t.marks[c.Fingerprint] = m
	t.owned[c.Account]++
	return m
}

// evict forgets the mark that counts for least: one that is cleared before one with
// few ends, and the oldest of these. It reports false where all are barred.
func (t *Table) evict(among func(*mark) bool) bool {
	var least *mark
	for _, m := range t.marks {
		if !among(m) || t.isProven(m) {
			continue
		}
		if least == nil || m.before(least) {
			least = m
		}
	}
	if least == nil {
		return false
	}
	t.forget(least)
	return true
}

func (t *Table) forget(m *mark) {
	delete(t.marks, m.fingerprint)
	delete(t.news, m.fingerprint)
	if t.owned[m.account]--; t.owned[m.account] <= 0 {
		delete(t.owned, m.account)
	}
}

// sweepInterval is how often marks are looked through.
const sweepInterval = wasabiridge.Second

// sweep forgets marks whose time is over.
func (t *Table) sweep(now wasabiridge.Millis) {
	if now-t.swept < sweepInterval {
		return
	}
	t.swept = now
	for b, at := range t.endings {
		if now-at > endLife {
			delete(t.endings, b)
		}
	}
	for _, f := range t.fingerprints() {
		m := t.marks[f]
		switch {
		case len(m.ends) == 0 && now-m.changed > clearedLife:
			t.forget(m)
		case len(m.ends) > 0 && now > m.newest()+t.barFor(m)+forgetAfter:
			t.note(now, Note{Kind: NoteLifted, Mark: m.snapshot(now), Why: LiftedByTime})
			t.forget(m)
		}
	}
}

// fingerprints returns those of all marks, in order.
func (t *Table) fingerprints() []wasabiridge.Fingerprint { return slices.Sorted(maps.Keys(t.marks)) }
