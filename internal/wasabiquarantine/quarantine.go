// Package wasabiquarantine protects backend servers from queries of death: requests that
// end every server that runs them, and are sent again.
//
// # Evidence
//
// A server counts as ended under a request if the request was running there, its
// connection broke, and nothing listens at the server's address any more. Broken
// connections, errors and silence of servers that still listen are no evidence. One end
// counts once, no matter how many instances report it.
//
// # Verdict on a request
//
// A request is identified by its fingerprint, which covers its client account, so that the
// requests of one account never affect those of another. After the first end of a server a
// request is a suspect. All instances send a suspect to the same server, chosen by its
// fingerprint: suspects that merely ran beside the fatal request go to other servers and
// are answered there, and one complete answer at any instance ends the suspicion.
//
// After three ends a request is blocked or tried. Servers that end at one moment may have
// another cause, so the request is blocked if the ends are at three moments, or if four
// are at two moments. Otherwise it is still sent for unprovenGrace after the third end;
// then trialInstances instances may each try it, one attempt at a time, and the others
// tell its callers to retry soon.
//
// # Parts of prompts
//
// Requests that no two are alike may have a part of their prompts in common that ends
// servers, whatever else they hold. The parts of a prompt but the last one, which belongs to
// the request, have records of their own. A server that ended before it began to answer a
// request counts against each of its parts, and a complete answer clears them. A part is
// blocked after ends at partMoments moments, unless another part explains them.
//
// # Blocks
//
// A block expires after a time that grows with the number of ends and differs between
// instances, and when newer weights are announced. Then the request is tried again. After
// maxTrials trials that ended a server too, only time or an operator lifts the block.
//
// # Updates between instances
//
// Instances send each other what they know. The result of merging does not depend on the
// order or the number of updates: a complete answer raises the epoch of a request, and
// within an epoch the ends form a set. See RecipientSelector for the choice of receivers.
//
// # Usage
//
//	table := wasabiquarantine.New(wasabiquarantine.Options{Seed: 1})
//	core := wasabicore.New(wasabicore.Options{Quarantine: table, ...})
//	updates := table.TakeUpdates(now)
//
// A Table is deterministic for a seed and not safe for concurrent use.
package wasabiquarantine

import (
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifingerprint"
)

const (
	// maxEnds is how many servers may end under a request before it is blocked or tried.
	maxEnds = 3
	// proofEnds is the number of ends at two moments that prove as much as ends at
	// proofMoments moments.
	proofEnds, proofMoments = 4, 3
	// trialInstances is how many instances may try a request.
	trialInstances = 3
	// unprovenGrace is how long after the third end an unproven request is still sent: if
	// it is popular, it is answered somewhere in the meantime.
	unprovenGrace = wasabiridge.Second
	// maxTrials is how many further servers may end under trials.
	maxTrials = 2
	// firstBlock is the shortest duration of the first block, longestBlock that of a block
	// after the last trial. In between the duration doubles.
	firstBlock   = wasabiridge.Minute
	longestBlock = wasabiridge.Hour
	// blockJitter is the largest random extension of blocks at an instance, as a part of
	// their duration, so that not all instances try a request at the same moment.
	blockJitter = 0.5
	// retention is how long a record is kept after the end of its block.
	retention = 10 * wasabiridge.Minute
	// clearedRetention is how long a cleared record is kept. Older updates on its ends
	// arrive within seconds.
	clearedRetention = wasabiridge.Minute
	// maxOtherEnds is how many other servers may end within otherEndsSpan of an end before
	// there is a likelier cause than the request. rackLossSpan is how long it takes until
	// all servers of a failed rack have ended.
	maxOtherEnds  = 1
	otherEndsSpan = wasabiridge.Second
	rackLossSpan  = 300 * wasabiridge.Millis(1)
	// endRetention is how long the last end of each server is remembered, whatever the
	// request.
	endRetention = 10 * wasabiridge.Minute
	// minRestartTime is the time after its end within which a server cannot have ended
	// again. It identifies reports of the same end, since instances may assign different
	// incarnations to a server.
	minRestartTime = 1500 * wasabiridge.Millis(1)
	// maxRecords bounds the number of records, maxAccountRecords that of one account.
	maxRecords        = 4096
	maxAccountRecords = 64
	// maxKeptEnds bounds the ends that are kept for one request.
	maxKeptEnds = 16
)

// Options configure a Table. The zero value works.
type Options struct {
	// Self names this instance.
	Self wasabiridge.InstanceID
	// Seed determines the jitter of this instance's blocks.
	Seed uint64
	// Changed is called when there is something to send or to log. It must not block. It
	// may be nil.
	Changed func()
}

// Table implements wasabiridge.Quarantine. See the package documentation.
type Table struct {
	self   wasabiridge.InstanceID
	others []wasabiridge.InstanceID
	// active are the instances that callers are routed to.
	active  []wasabiridge.InstanceID
	changed func()
	jitter  float64
	records map[wasabiridge.Fingerprint]*record
	// parts holds the fingerprints of the records of parts.
	parts map[wasabiridge.Fingerprint]bool
	// groups are the blocked parts, and groupOf the group of each.
	groups  []*partGroup
	groupOf map[wasabiridge.Fingerprint]*partGroup
	// recordsPerAccount counts the records of the requests of each account.
	recordsPerAccount map[wasabiridge.ClientAccountID]int
	inFlight          map[wasabiridge.AttemptID]flight
	latestWeights     map[wasabiridge.ModelID]wasabiridge.WeightsVersion
	// updated holds the requests whose records have changed since the last update.
	updated map[wasabiridge.Fingerprint]bool
	// corrections holds, by instance, the records that it sent and that had been cleared
	// before.
	corrections map[wasabiridge.InstanceID]map[wasabiridge.Fingerprint]bool
	logEvents   []LogEvent
	// sweptAt is when expired records were last removed.
	sweptAt wasabiridge.Millis
	// endings is when each server last ended under any request.
	endings map[wasabiridge.BackendServerID]wasabiridge.Millis
	counts  Counts
}

var _ wasabiridge.Quarantine = (*Table)(nil)

// flight is an attempt in flight, with the state in which it was sent.
type flight struct {
	fingerprint wasabiridge.Fingerprint
	account     wasabiridge.ClientAccountID
	model       wasabiridge.ModelID
	backend     wasabiridge.BackendServer
	epoch       uint32
	at          wasabiridge.Millis
	weights     wasabiridge.WeightsVersion
	// parts are the parts of the prompt, partEpochs the epochs of their records.
	parts      []wasabiridge.Fingerprint
	partEpochs []uint32
	// begun is set when the server has begun to answer.
	begun bool
}

// New returns an empty table.
func New(o Options) *Table {
	if o.Changed == nil {
		o.Changed = func() {}
	}
	return &Table{
		self: o.Self, changed: o.Changed,
		jitter:            1 + blockJitter*rand.New(rand.NewPCG(o.Seed, 1)).Float64(),
		records:           map[wasabiridge.Fingerprint]*record{},
		parts:             map[wasabiridge.Fingerprint]bool{},
		recordsPerAccount: map[wasabiridge.ClientAccountID]int{},
		inFlight:          map[wasabiridge.AttemptID]flight{},
		latestWeights:     map[wasabiridge.ModelID]wasabiridge.WeightsVersion{},
		updated:           map[wasabiridge.Fingerprint]bool{},

		endings:     map[wasabiridge.BackendServerID]wasabiridge.Millis{},
		corrections: map[wasabiridge.InstanceID]map[wasabiridge.Fingerprint]bool{},
	}
}

// Sent implements wasabiridge.Quarantine.
func (t *Table) Sent(now wasabiridge.Millis, r wasabiridge.Request, id wasabiridge.AttemptID, b wasabiridge.BackendServer) {
	if r.Fingerprint == 0 {
		return
	}
	s := flight{at: now, fingerprint: r.Fingerprint, account: r.Account, model: r.Model, backend: b, weights: t.latestWeights[r.Model]}
	if m := t.records[r.Fingerprint]; m != nil {
		s.epoch = m.epoch
		m.running++
	}
	s.parts = wasabifingerprint.Parts(r.Chain)
	s.partEpochs = make([]uint32, len(s.parts))
	for i, part := range s.parts {
		if m := t.records[part]; m != nil {
			s.partEpochs[i] = m.epoch
		}
	}
	for _, g := range t.groupsOf(r) {
		g.record.triedAt = now
		t.addLogEvent(now, LogEvent{Kind: LogEventTrial, Record: g.record.snapshot(now)})
	}
	t.inFlight[id] = s
}

// Observe implements wasabiridge.Quarantine.
func (t *Table) Observe(now wasabiridge.Millis, e wasabiridge.Event) {
	switch e := e.(type) {
	case wasabiridge.AttemptFirstToken:
		if s, ok := t.inFlight[e.Attempt]; ok {
			s.begun = true
			t.inFlight[e.Attempt] = s
		}
	case wasabiridge.AttemptEnded:
		t.ended(now, e)
	case wasabiridge.CrashesReceived:
		for _, c := range e.Crashes {
			t.receive(now, e.From, c)
		}
	case wasabiridge.QuarantineReleased:
		if m := t.records[e.Fingerprint]; m != nil && len(m.ends) > 0 {
			t.clear(now, m, LiftedByOperator)
		}
	case wasabiridge.TargetWeightsSet:
		t.latestWeights[e.Model] = max(t.latestWeights[e.Model], e.Weights)
	case wasabiridge.Ticked:
		t.sweep(now)
	}
}

// ended handles the end of an attempt. A server that gave a complete answer, even an error
// of its own, has survived the request.
func (t *Table) ended(now wasabiridge.Millis, e wasabiridge.AttemptEnded) {
	s, ok := t.inFlight[e.Attempt]
	if !ok {
		return
	}
	delete(t.inFlight, e.Attempt)
	m := t.records[s.fingerprint]
	if m != nil && m.running > 0 {
		m.running--
	}
	if e.Result == wasabiridge.AttemptCompleted && s.begun {
		t.clearParts(now, s)
	}
	switch {
	case e.ServerCrashed:
		t.counts.Ends++
		crash := wasabiridge.ServerCrash{Backend: s.backend.ID, Incarnation: s.backend.Incarnation, RunTime: now - s.at, Weights: s.weights}
		t.merge(now, "", wasabiridge.CrashUpdate{
			Fingerprint: s.fingerprint, Account: s.account, Model: s.model, Epoch: s.epoch, Crashes: []wasabiridge.ServerCrash{crash},
		})
		t.partEnded(now, s, crash)
	case m != nil && len(m.ends) > 0 && (e.Result == wasabiridge.AttemptCompleted || e.Failed):
		t.clear(now, m, LiftedByAnswer)
	}
}

// clear ends the suspicion of a request.
func (t *Table) clear(now wasabiridge.Millis, m *record, why Lifted) {
	t.addLogEvent(now, LogEvent{Kind: LogEventLifted, Record: m.snapshot(now), Why: why})
	m.wasWide = m.isWide()
	m.epoch++
	m.ends = nil
	m.changed = now
	t.queueUpdate(m)
	if t.groupOf[m.fingerprint] != nil {
		t.updateGroups(now, "")
	}
}

// queueUpdate queues an update of a record for the other instances.
func (t *Table) queueUpdate(m *record) {
	t.updated[m.fingerprint] = true
	t.changed()
}
