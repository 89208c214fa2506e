package wasabievent

import "github.com/wasabiridge/wasabiridge"

// Verdict is what is to be done with an event.
type Verdict uint8

// Verdicts.
const (
	// Deliver means that the event, and before it those that were kept, are the next ones.
	Deliver Verdict = iota
	// Keep means that later events show whether this one belongs to the run.
	Keep
	// Reject means that the event, or those that were kept, do not belong to the run.
	Reject
)

// Sequence checks that the events of a response are the next ones of a stream, in order. It is
// not safe for concurrent use.
//
// The failure it guards against: a faulty server sends bytes into a stream that have the form
// of an event. The caller takes them for a part of the answer.
type Sequence struct {
	// Request and Server identify the stream and the server that sends the response.
	Request, Server string
	numbering       *Numbering
	// last is the identifier of the last event. It is NoID if the caller resumes a stream
	// behind an identifier that is no number, and zero before the first event of a stream.
	last int64
	// resumed is set if the caller has events of the stream, and begun if it has some or this
	// response brought some.
	resumed, begun bool
	// kept describes the events that are kept. It is empty if none is.
	kept keptEvents
	// consecutive counts the events that followed their predecessor before any skip. skipped is
	// set if identifiers were skipped, and stream counts the steps then.
	consecutive int
	skipped     bool
	stream      streamSteps
}

// keptEvents are events that are kept: the first one skips identifiers, and those of the others
// rise.
type keptEvents struct {
	// id is the identifier of the first one, step is how far it is from the last identifier
	// before it, last, and highest is that of the last one.
	id, step, last, highest int64
	// rising is the number of the events.
	rising int
	// first is set if they begin the stream, and alone if nothing of the stream came before them,
	// in any response.
	first, alone bool
}

// streamSteps counts the steps between the identifiers of a stream that skips some.
type streamSteps struct {
	begins, steps stepCount
	// largest is the largest step, and known that of the events that were delivered.
	largest, known int64
	// sinceSkip is the number of events from the first skip on.
	sinceSkip int
	// beganElsewhere is set if the stream did not begin with the first identifier, and
	// beganBefore if it began before it.
	beganElsewhere, beganBefore bool
}

// add counts a step.
func (s *streamSteps) add(step int64, first bool) {
	count := &s.steps
	if first {
		count = &s.begins
	}
	count.all++
	if s.sinceSkip > 0 {
		s.sinceSkip++
	}
	if step != 1 {
		count.skips++
		s.sinceSkip = max(s.sinceSkip, 1)
		s.beganElsewhere = s.beganElsewhere || first
		s.beganBefore = s.beganBefore || first && step == 0
	}
	s.largest = max(s.largest, step)
}

// NewSequence returns the check of a response that continues a stream behind an identifier.
// Empty text means that it begins the stream.
func NewSequence(numbering *Numbering, after string) *Sequence {
	s := &Sequence{numbering: numbering, resumed: after != "", begun: after != ""}
	if s.resumed {
		s.last = parseID([]byte(after))
	}
	return s
}

// Last returns the identifier of the last event that was delivered, or zero.
func (s *Sequence) Last() int64 { return max(0, s.last) }

// Evidence returns what is known of how the server numbers events.
func (s *Sequence) Evidence() wasabiridge.NumberingEvidence { return s.numbering.evidence(s.Server) }

// TakeChange reports whether it became known that identifiers of the pool skip others, or that
// they do not any more, since the last time that it was reported.
func (s *Sequence) TakeChange() (skips, changed bool) { return s.numbering.takeChange() }

// Next checks a complete event.
func (s *Sequence) Next(event []byte) (Verdict, Fault) {
	verdict, fault := s.next(event)
	if fault != "" && fault != FaultDoubted {
		s.numbering.distrust(s.Server)
	}
	return verdict, fault
}

func (s *Sequence) next(event []byte) (Verdict, Fault) {
	id, fault := Parse(event)
	switch {
	case fault != "":
		return Reject, fault
	case s.kept.rising > 0:
		return s.afterKept(id)
	case s.last == NoID:
		return s.deliver(id)
	case id <= s.last && s.begun:
		return Reject, FaultRepeated
	case id == s.last+1:
		return s.step(id)
	}
	return s.skip(id)
}

func (s *Sequence) deliver(id int64) (Verdict, Fault) {
	s.last, s.kept, s.begun = id, keptEvents{}, true
	return Deliver, ""
}

// step delivers an event that follows its predecessor.
func (s *Sequence) step(id int64) (Verdict, Fault) {
	if !s.begun {
		s.numbering.begin(s.Server)
	}
	s.consecutive++
	s.stream.add(1, !s.begun)
	return s.deliver(id)
}

// skip checks an event that skips identifiers.
func (s *Sequence) skip(id int64) (Verdict, Fault) {
	k := keptEvents{id: id, step: id - s.last, last: s.last, highest: id, rising: 1, first: !s.begun}
	k.alone = k.first && !s.resumed
	s.stream.add(k.step, k.first)
	if s.skipped && k.step <= stepMargin*s.stream.known || s.numbering.risingFor(s.Server, k) == 1 {
		return s.deliverSkip(id)
	}
	s.kept = k
	return Keep, ""
}

// deliverSkip delivers an event of a stream whose identifiers skip others.
func (s *Sequence) deliverSkip(id int64) (Verdict, Fault) {
	s.skipped, s.stream.known = true, s.stream.largest
	return s.deliver(id)
}

// afterKept checks an event behind those that are kept. If the stream goes back, they are not of
// its run. If it goes on for long enough, the identifiers of this stream skip others.
func (s *Sequence) afterKept(id int64) (Verdict, Fault) {
	if id <= s.kept.highest {
		return Reject, FaultSkipped
	}
	s.stream.add(id-s.kept.highest, false)
	s.kept.highest = id
	s.kept.rising++
	switch {
	case s.kept.rising < s.numbering.risingFor(s.Server, s.kept):
		return Keep, ""
	case s.numbering.acceptsRising(s.Server, s.kept):
		return s.deliverSkip(id)
	case s.kept.rising < maxRising:
		return Keep, ""
	}
	return s.doubt()
}

// doubt rejects the events that are kept, because too little is known to take them for those of
// the run.
func (s *Sequence) doubt() (Verdict, Fault) {
	s.numbering.endDoubted(s.Request, s.Server, s.kept)
	return Reject, FaultDoubted
}

// Abandon notes that the caller left before the end. Events that were kept may be why, so that they
// count although their stream cannot show any more that they belong to it.
func (s *Sequence) Abandon() {
	if s.kept.rising > 1 {
		s.numbering.endDoubted(s.Request, s.Server, s.kept)
	}
}

// Reconsider reports whether a stream whose end was doubted is complete by what is known now. Its kept
// events are to be delivered then.
func (s *Sequence) Reconsider() bool {
	if !s.numbering.acceptsEnd(s.Server, s.kept) {
		return false
	}
	_, _ = s.deliverSkip(s.kept.highest)
	s.numbering.endSkipping(s.Server, s.stream)
	return true
}

// Changed returns a channel that is closed when more is known of how the servers number events.
func (s *Sequence) Changed() <-chan struct{} { return s.numbering.change() }

// End checks the end of a complete response. Events that were kept are the last ones.
func (s *Sequence) End() (Verdict, Fault) {
	if s.kept.rising > 0 {
		if !s.numbering.acceptsEnd(s.Server, s.kept) {
			return s.doubt()
		}
		_, _ = s.deliverSkip(s.kept.highest)
	}
	if s.skipped {
		s.numbering.endSkipping(s.Server, s.stream)
	} else {
		s.numbering.endConsecutive(s.Server, s.consecutive)
	}
	return Deliver, ""
}
