package wasabievent

import (
	"slices"
	"sync"
)

const (
	// certain is the score of a Numbering from which on a skipped identifier is a fault. A
	// complete stream of consecutive identifiers adds one. One that skips some takes off
	// skipWeight, so that streams that skip are recognized although most of them do not.
	certain    = 8
	skipWeight = 8
	// minScore bounds the score, so that a faulty server is forgotten.
	minScore = -2 * skipWeight
	// minSteps is the number of consecutive identifiers that a stream must have to be counted.
	minSteps = 2
	// minRising is the number of events from a skip on, with rising identifiers, after which
	// the skip is none of garbage.
	minRising = 5
	// maxSkips bounds the skips that are remembered.
	maxSkips = 64
)

// Numbering is what streams have shown of how their servers number events: with consecutive
// identifiers, or with increasing ones that skip others. It is safe for concurrent use. The
// zero value knows nothing.
type Numbering struct {
	mu sync.Mutex
	// score is negative if identifiers skip others, and certain if they do not.
	score int
	// firsts holds one or two servers that began a stream with the first identifier.
	firsts []string
	// rejected holds the skips that were taken for faults, and the server of each.
	rejected map[skip]string
}

// skip is a skipped identifier in the stream of a request.
type skip struct {
	request  string
	last, id int64
}

// state reports whether identifiers are known to skip others, or known not to.
func (n *Numbering) state() (skips, consecutive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.score < 0, n.score == certain
}

// add changes the score.
func (n *Numbering) add(change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.score = min(max(n.score+change, minScore), certain)
}

// addFirst notes that a server began a stream with the first identifier.
func (n *Numbering) addFirst(server string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.firsts) < 2 && !slices.Contains(n.firsts, server) {
		n.firsts = append(n.firsts, server)
	}
}

// othersBeginFirst reports whether another server began a stream with the first identifier.
func (n *Numbering) othersBeginFirst(server string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.firsts, func(other string) bool { return other != server })
}

// reject remembers a skip that was taken for a fault. If another server skipped the same
// identifiers at the same place of the same stream, identifiers may skip others after all.
func (n *Numbering) reject(s skip, server string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if before, ok := n.rejected[s]; ok {
		if before != server {
			n.score = max(n.score-skipWeight, minScore)
		}
		return
	}
	if n.rejected == nil {
		n.rejected = map[skip]string{}
	}
	for old := range n.rejected {
		if len(n.rejected) < maxSkips {
			break
		}
		delete(n.rejected, old)
	}
	n.rejected[s] = server
}

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
	// kept is the identifier of the last event that was kept, or NoID, and rising is how many
	// were.
	kept   int64
	rising int
	// steps counts the events that followed their predecessor. skipped is set if identifiers
	// were skipped.
	steps   int
	skipped bool
}

// NewSequence returns the check of a response that continues a stream behind an identifier.
// Empty text means that it begins the stream.
func NewSequence(numbering *Numbering, after string) *Sequence {
	s := &Sequence{numbering: numbering, kept: NoID, resumed: after != "", begun: after != ""}
	if s.resumed {
		s.last = parseID([]byte(after))
	}
	return s
}

// Last returns the identifier of the last event that was delivered, or zero.
func (s *Sequence) Last() int64 { return max(0, s.last) }

// Next checks a complete event.
func (s *Sequence) Next(event []byte) (Verdict, Fault) {
	id, fault := Parse(event)
	switch {
	case fault != "":
		return Reject, fault
	case s.kept != NoID:
		return s.afterKept(id)
	case s.last == NoID:
		return s.deliver(id)
	case id <= s.last && s.begun:
		return Reject, FaultRepeated
	case id == s.last+1:
		if !s.begun {
			s.numbering.addFirst(s.Server)
		}
		s.steps++
		return s.deliver(id)
	}
	return s.skip(id)
}

func (s *Sequence) deliver(id int64) (Verdict, Fault) {
	s.last, s.kept, s.begun = id, NoID, true
	return Deliver, ""
}

// skip checks an event that skips identifiers.
func (s *Sequence) skip(id int64) (Verdict, Fault) {
	switch skips, consecutive := s.numbering.state(); {
	case skips || s.skipped:
		s.skipped = true
		return s.deliver(id)
	case consecutive:
		s.numbering.reject(skip{s.Request, s.last, id}, s.Server)
		return Reject, FaultSkipped
	}
	s.kept, s.rising = id, 1
	return Keep, ""
}

// afterKept checks an event behind one that was kept because it skips identifiers. If the stream
// goes back, those that were kept are not of its run. If it goes on for long enough, the
// identifiers of this stream skip others.
func (s *Sequence) afterKept(id int64) (Verdict, Fault) {
	if id <= s.kept {
		return Reject, FaultSkipped
	}
	s.kept = id
	if s.rising++; s.rising < minRising {
		return Keep, ""
	}
	if s.beginsElsewhere() {
		return Reject, FaultSkipped
	}
	s.skipped = true
	return s.deliver(id)
}

// beginsElsewhere reports whether the stream begins with another identifier than those of
// another server.
func (s *Sequence) beginsElsewhere() bool {
	return !s.begun && s.numbering.othersBeginFirst(s.Server)
}

// End checks the end of a complete response. Events that were kept are the last ones.
func (s *Sequence) End() (Verdict, Fault) {
	if s.kept != NoID {
		if s.resumed || s.steps > 0 || s.beginsElsewhere() {
			s.numbering.reject(skip{s.Request, s.last, s.kept}, s.Server)
			return Reject, FaultSkipped
		}
		// The stream has no other events.
		s.skipped = s.rising > 1
		_, _ = s.deliver(s.kept)
	}
	switch {
	case s.skipped:
		s.numbering.add(-skipWeight)
	case s.steps >= minSteps:
		s.numbering.add(1)
	}
	return Deliver, ""
}
