package wasabievent

import "sync"

const (
	// minConsecutive is the number of complete streams without a skipped identifier after
	// which a skipped one is a fault, and minSkipping the number of those with one after which
	// it is none, if they are more.
	minConsecutive, minSkipping = 8, 2
	// minSteps is the number of consecutive identifiers in a stream after which a skipped one
	// is a fault in this stream.
	minSteps = 2
	// maxSkips bounds the skips that are remembered.
	maxSkips = 64
)

// Numbering is what streams have shown of how their servers number events: with consecutive
// identifiers, or with increasing ones that skip others. It is safe for concurrent use. The
// zero value knows nothing.
type Numbering struct {
	mu sync.Mutex
	// consecutive counts the complete streams without a skip, up to minConsecutive, and
	// skipping those with one.
	consecutive, skipping int
	// rejected holds the skips that were taken for faults, and the server of each.
	rejected map[skip]string
}

// skip is a skipped identifier in the stream of a request.
type skip struct {
	request  string
	last, id int64
}

// skips reports whether identifiers skip others, and whether that is known.
func (n *Numbering) skips() (skips, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	skips = n.skipping >= minSkipping && n.skipping > n.consecutive
	return skips, skips || n.consecutive >= minConsecutive
}

// addConsecutive counts a stream without a skip.
func (n *Numbering) addConsecutive() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.consecutive = min(n.consecutive+1, minConsecutive)
}

// addSkipping counts a stream with a sound skip.
func (n *Numbering) addSkipping() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.skipping = min(n.skipping+1, minConsecutive+minSkipping)
}

// confirms reports whether a skip of one server is the same as that of another one at the
// same place of the same stream, which faulty bytes would not be.
func (n *Numbering) confirms(s skip, server string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	before, ok := n.rejected[s]
	if ok {
		return before != server
	}
	if n.rejected == nil || len(n.rejected) >= maxSkips {
		n.rejected = map[skip]string{}
	}
	n.rejected[s] = server
	return false
}

// Verdict is what is to be done with an event.
type Verdict uint8

// Verdicts.
const (
	// Deliver means that the event, and before it the one that was kept, is the next one.
	Deliver Verdict = iota
	// Keep means that the next event shows whether this one belongs to the run.
	Keep
	// Reject means that the event, or the one that was kept, does not belong to the run.
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
	// last is the identifier of the last event. It is noID if the caller resumes a stream
	// behind an identifier that is no number, and zero before the first event of a stream,
	// which is begun only then.
	last  int64
	begun bool
	// kept is the identifier of the event that was kept, or noID.
	kept int64
	// steps counts the events that followed their predecessor, and skipped those that
	// skipped identifiers.
	steps, skipped int
}

// NewSequence returns the check of a response that continues a stream behind an identifier.
// Empty text means that it begins the stream.
func NewSequence(numbering *Numbering, after string) *Sequence {
	s := &Sequence{numbering: numbering, kept: noID, begun: after != ""}
	if s.begun {
		s.last = parseID([]byte(after))
	}
	return s
}

// Last returns the identifier of the last event that was delivered, or zero.
func (s *Sequence) Last() int64 { return max(0, s.last) }

// Next checks a whole event.
func (s *Sequence) Next(event []byte) (Verdict, Fault) {
	id, fault := Parse(event)
	switch {
	case fault != "":
		return Reject, fault
	case s.kept != noID:
		return s.afterKept(id)
	case s.last == noID:
		s.last = id
		return Deliver, ""
	case id <= s.last && s.begun:
		return Reject, FaultRepeated
	case id == s.last+1:
		s.last, s.begun = id, true
		s.steps++
		return Deliver, ""
	}
	return s.skip(id)
}

// skip checks an event that skips identifiers.
func (s *Sequence) skip(id int64) (Verdict, Fault) {
	skips, known := s.numbering.skips()
	switch {
	case skips, s.skipped > 0:
	case !known && s.steps < minSteps:
		s.kept = id
		return Keep, ""
	case !s.numbering.confirms(skip{s.Request, s.last, id}, s.Server):
		return Reject, FaultSkipped
	}
	s.last, s.begun = id, true
	s.skipped++
	return Deliver, ""
}

// afterKept checks the event behind one that was kept because it skips identifiers. If it goes
// on behind that one, the identifiers of this stream skip others.
func (s *Sequence) afterKept(id int64) (Verdict, Fault) {
	if id <= s.kept {
		return Reject, FaultSkipped
	}
	s.last, s.kept, s.begun = id, noID, true
	s.skipped++
	return Deliver, ""
}

// End notes that the response is complete. It reports whether an event was kept, which is then
// the last one.
func (s *Sequence) End() bool {
	kept := s.kept != noID
	if kept {
		// Nothing shows how this server numbers events.
		s.last, s.kept = s.kept, noID
	}
	switch {
	case s.skipped > 0:
		s.numbering.addSkipping()
	case !kept && s.steps > minSteps:
		s.numbering.addConsecutive()
	}
	return kept
}
