package wasabievent

import (
	"sync"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// certain is the score of a Numbering from which on a skipped identifier is unusual. A
	// complete stream of consecutive identifiers adds one. One that skips some takes off
	// skipWeight, so that streams that skip are recognized although most of them do not.
	certain    = 8
	skipWeight = 8
	// minScore bounds the score.
	minScore = -2 * skipWeight
	// minSteps is the number of consecutive identifiers that a stream must have to be counted.
	minSteps = 2
	// minRising is the number of events from a skip on, with rising identifiers, after which
	// the skip is none of garbage. maxRising is that of streams that are consecutive as far as
	// is known, and of servers that have sent garbage.
	minRising = 5
	maxRising = 16
	// smallStep is the largest step between two identifiers that an event of a few tokens makes.
	smallStep = 16
	// stepMargin is how many times the largest known step another one may be.
	stepMargin = 16
	// distrustedEnds is the number of streams that a server must end, without an event that
	// belongs to no run, until it is trusted again.
	distrustedEnds = 16
	// minDoubted is the number of doubtful ends that show that a pool skips identifiers.
	minDoubted = 4
	// recentEnds is the number of ends that show what a pool does now, and currentEnds the
	// number of ends after which a server that ended none does not count.
	recentEnds  = 16
	currentEnds = 256
	// forgottenAfter is the number of consecutive streams after which streams of a server that
	// skipped identifiers are forgotten, and provenAfter the same if they were whole beyond doubt
	// or others had shown that they might skip some.
	forgottenAfter = 24
	provenAfter    = 256
	// manyServers is the number of servers that are not all faulty if they skip identifiers, and
	// maxFaulty the number of those that may be.
	manyServers = 8
	maxFaulty   = 2
	// maxSkips bounds the skips that are remembered, and maxServers the servers.
	maxSkips   = 64
	maxServers = 2048
	// maxSteps bounds the steps that are counted.
	maxSteps = 1 << 10
)

// Numbering is what streams have shown of how the servers of a pool number events: with
// consecutive identifiers, or with increasing ones that skip others. It is safe for concurrent
// use. The zero value knows nothing.
//
// Servers that put all tokens since the last event into one event, and number events by
// tokens, change between both with their load. So nothing that is known keeps out what would
// refute it: events that skip identifiers are kept until their stream shows whether they belong
// to it, and a stream that ends before it has shown that is counted as well.
type Numbering struct {
	mu sync.Mutex
	// score is negative if identifiers skip others, and certain if they do not.
	score int
	// reported is set if it was reported last that identifiers skip others.
	reported bool
	// listed is the number of servers of the pool, or zero if it is not known.
	listed int
	// ends is the number of streams that ended regularly.
	ends    uint64
	servers map[string]*serverNumbering
	// recent holds the last ends of trusted servers.
	recent [recentEnds]streamEnd
	// largest is the largest step between two identifiers of a complete stream that skips some.
	largest int64
	// begins counts the first steps of such streams, and steps all others.
	begins, steps stepCount
	// rejected holds the skips that were taken for faults, and the server of each.
	rejected map[skip]string
	// sendings holds the servers whose records the other instances are still sent.
	sendings map[string]sending
	// changed is closed when more is known. It is nil while nobody waits.
	changed chan struct{}
}

// stepCount counts steps between identifiers, and those that skip some.
type stepCount struct{ all, skips int }

func (c *stepCount) add(other stepCount) {
	if c.all += other.all; c.all > maxSteps {
		c.all, c.skips = c.all/2, c.skips/2
	}
	c.skips += other.skips
}

// isMostlySkips reports whether at least half of the steps skip identifiers.
func (c stepCount) isMostlySkips() bool { return 2*c.skips >= c.all }

// serverNumbering is what is known of one server.
type serverNumbering struct {
	// first is set if its last streams began with the first identifier, at firstAt.
	first   bool
	firstAt uint64
	// proven is set if a stream that skips identifiers was whole beyond doubt, and accepted if
	// one was taken for whole. doubted counts those since then that ended regularly so close
	// behind a skip that they were rejected.
	proven, accepted bool
	doubted          int
	// consecutive counts the streams without a skip since the last one with a skip, which is
	// forgotten after as many as forgotten says.
	consecutive, forgotten int
	// distrusted is how many streams it must end until it is trusted again.
	distrusted int
	// endedAt is the number of its last end, or zero.
	endedAt uint64
}

func (s *serverNumbering) settled() bool { return s.proven || s.accepted }

// skips reports whether streams of the server skipped identifiers.
func (s *serverNumbering) skips() bool { return s.settled() || s.doubted > 0 }

// doubtful returns how many of its streams skipped identifiers without a proof that they were complete.
// That some were taken for complete follows from what this instance knows of the others, which is no
// evidence for another instance.
func (s *serverNumbering) doubtful() int {
	if s.accepted && !s.proven {
		return max(s.doubted, minDoubted)
	}
	return s.doubted
}

// settle notes that a stream which skips identifiers was complete. It is forgotten after a number of
// consecutive streams at the earliest.
func (s *serverNumbering) settle(proven bool, forgotten int) {
	if proven {
		forgotten = provenAfter
	}
	s.proven, s.accepted = s.proven || proven, true
	s.forgotten = max(s.forgotten, forgotten)
	s.consecutive, s.doubted = 0, 0
}

// streamEnd is the regular end of a stream that skipped identifiers or not, or began before the
// first one.
type streamEnd struct {
	server                     string
	counted                    bool
	skips, doubted, fromBefore bool
}

// skip is a skipped identifier in the stream of a request.
type skip struct {
	request  string
	last, id int64
}

// SetServers sets the number of servers that the pool has.
func (n *Numbering) SetServers(count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listed = count
}

// evidence returns what is known of a server and its pool.
func (n *Numbering) evidence(server string) wasabiridge.NumberingEvidence {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.count()
	s := n.server(server)
	return wasabiridge.NumberingEvidence{Score: n.score, Servers: t.servers, Skipping: t.skipping, Doubted: t.doubted, Distrusted: s.distrusted > 0}
}

// takeChange reports whether it became known that identifiers skip others, or that they do not,
// since the last call that reported a change.
func (n *Numbering) takeChange() (skips, changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	skips = n.score < 0
	if skips == n.reported || n.score >= 0 && n.score < certain {
		return skips, false
	}
	n.reported = skips
	return skips, true
}

// server returns the record of a server.
func (n *Numbering) server(name string) *serverNumbering {
	if s := n.servers[name]; s != nil {
		return s
	}
	if n.servers == nil || len(n.servers) >= maxServers {
		n.servers = map[string]*serverNumbering{}
	}
	s := &serverNumbering{}
	n.servers[name] = s
	return s
}

// beginsBeforeCommonly reports whether the servers begin streams before the first identifier.
func (n *Numbering) beginsBeforeCommonly() bool {
	last := n.countRecent()
	return last.isCommon(last.fromBefore) && last.beforeEnds >= minDoubted && (last.fromBefore > 1 || n.count().servers == 1)
}

// isDoubtedCommonly reports whether so many streams of so many servers were rejected for skipped
// identifiers that these servers skip some.
func (n *Numbering) isDoubtedCommonly() bool {
	last := n.countRecent()
	return n.count().isDoubtedCommonly() || last.skipping > 1 && last.isDoubtedCommonly()
}

// skipsCommonly reports whether the servers skip identifiers.
func (n *Numbering) skipsCommonly() bool {
	all, last := n.count(), n.countRecent()
	return n.score < 0 && (all.isCommon(all.skipping) || last.isCommon(last.skipping))
}

// isSettled reports whether streams of a server, or enough others, were whole although they
// skipped identifiers.
func (n *Numbering) isSettled(server *serverNumbering) bool {
	if server.settled() {
		return true
	}
	proven := 0
	for _, s := range n.servers {
		if s.proven && n.counts(s) {
			proven++
		}
	}
	t := n.count()
	return proven > 1 || t.isCommon(t.settled)
}

// othersBeginFirst reports whether other servers begin streams with the first identifier.
func (n *Numbering) othersBeginFirst(server string) bool {
	for name, s := range n.servers {
		if name != server && s.first && n.ends-s.firstAt <= currentEnds {
			return true
		}
	}
	return false
}

// risingFor returns how many events with rising identifiers, the one that skips some and those
// behind it, show that the skip is none of garbage.
func (n *Numbering) risingFor(server string, k keptEvents) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.server(server)
	trusted := s.distrusted == 0
	known := trusted && n.score < 0 && (s.settled() || n.skipsCommonly()) && k.step <= stepMargin*n.largest
	beginsElsewhere := k.first && n.othersBeginFirst(server)
	all, own := n.begins, n.steps
	if k.first {
		own = n.begins
	}
	all.add(n.steps)
	switch {
	case known && k.id == 0 && (!beginsElsewhere || n.beginsBeforeCommonly()), known && k.id > 0 && (all.isMostlySkips() || own.isMostlySkips()):
		return 1
	case known && k.id > 0, trusted && n.isDoubtedCommonly():
		return 2
	case !trusted, beginsElsewhere, n.score == certain && !n.isSettled(s):
		return maxRising
	}
	return minRising
}

// begin notes that a server began a stream with the first identifier.
func (n *Numbering) begin(server string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.server(server)
	s.first, s.firstAt = true, n.ends
}

// beginsBeforeFirst reports whether a stream begins before the first identifier, as far as is known.
func (n *Numbering) beginsBeforeFirst(server string, k keptEvents) bool {
	return k.first && k.id == 0 && (n.othersBeginFirst(server) || n.score == certain) && !n.beginsBeforeCommonly()
}

// acceptsRising reports whether kept events that are followed by enough events with rising
// identifiers belong to the run.
func (n *Numbering) acceptsRising(server string, k keptEvents) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.beginsBeforeFirst(server, k)
}

// acceptsEnd reports whether a stream that ended regularly is whole although its last events, which
// were kept, do not show by themselves that they belong to it.
func (n *Numbering) acceptsEnd(server string, k keptEvents) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.server(server)
	usual := k.step <= stepMargin*n.largest
	switch {
	case n.beginsBeforeFirst(server, k):
		return false
	case k.alone:
		// Garbage is sent into a run. Here no event contradicts those that are kept.
		return true
	case k.rising >= minRising && k.step <= smallStep && (s.distrusted == 0 || n.isSettled(s)):
		return true
	case s.distrusted > 0:
		return false
	}
	return usual && (n.skipsCommonly() || n.isSettled(s)) || n.isDoubtedCommonly()
}

// end counts the regular end of a stream.
func (n *Numbering) end(server string, s *serverNumbering, e streamEnd) {
	if s.endedAt == 0 {
		n.introduce(server)
	}
	s.distrusted = max(s.distrusted-1, 0)
	if s.distrusted == 0 {
		e.server = server
		n.recent[n.ends%recentEnds] = e
	}
	n.ends++
	s.endedAt = n.ends
}

// endConsecutive counts a complete stream without a skip.
func (n *Numbering) endConsecutive(server string, steps int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.server(server)
	n.end(server, s, streamEnd{counted: true})
	if steps < minSteps {
		return
	}
	n.score = min(n.score+1, certain)
	if s.consecutive++; s.consecutive >= forgottenAfter {
		s.doubted = 0
	}
	if s.consecutive >= s.forgotten {
		s.proven, s.accepted, s.forgotten = false, false, 0
	}
}

// endSkipping counts a complete stream that skipped identifiers, with the number of events from
// its first skip on.
func (n *Numbering) endSkipping(server string, stream streamSteps) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.server(server)
	known, before := n.skipsCommonly(), *s
	if n.isDoubtedCommonly() {
		n.settleDoubted()
		s.settle(false, provenAfter)
	}
	s.settle(stream.sinceSkip >= minRising, forgottenAfter)
	if !known && (!before.settled() || s.proven && !before.proven) {
		n.send(server)
	}
	s.first = s.first && !stream.beganElsewhere
	for i, end := range n.recent {
		if end.server == server {
			n.recent[i].doubted = false
		}
	}
	n.end(server, s, streamEnd{counted: true, skips: true, fromBefore: stream.beganBefore})
	n.largest = max(n.largest, stream.largest)
	n.begins.add(stream.begins)
	n.steps.add(stream.steps)
	n.takeBack()
	n.notify()
}

// takeBack lowers the score, unless one server alone skips identifiers: a faulty one does not change
// what is known of the others.
func (n *Numbering) takeBack() {
	if t := n.count(); t.settled > 1 || t.servers == 1 {
		n.score = max(n.score-skipWeight, minScore)
	}
}

// settleDoubted notes of all servers whose streams were rejected that these were sound.
func (n *Numbering) settleDoubted() {
	for _, s := range n.servers {
		if n.counts(s) && s.doubted > 0 {
			s.settle(false, provenAfter)
		}
	}
}

// endDoubted counts a stream that was rejected because it ended so close behind a skip, or that its
// caller left while events were kept.
func (n *Numbering) endDoubted(request, server string, k keptEvents) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reject(skip{request, k.last, k.id}, server)
	s := n.server(server)
	s.first = s.first && !k.first
	trusted := s.distrusted == 0
	if trusted {
		s.consecutive = 0
		if s.doubted++; s.doubted <= minDoubted {
			n.send(server)
		}
	}
	n.end(server, s, streamEnd{counted: true, skips: trusted, doubted: trusted, fromBefore: k.first && k.id == 0})
	n.notify()
}

// distrust notes that a server sent an event that belongs to no run.
func (n *Numbering) distrust(server string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.server(server)
	s.distrusted, s.doubted = distrustedEnds, 0
	n.touch(s)
	delete(n.sendings, server)
	for i, end := range n.recent {
		if end.server == server {
			n.recent[i] = streamEnd{}
		}
	}
}

// reject remembers a skip that was taken for a fault. If another server skipped the same
// identifiers at the same place of the same stream, identifiers may skip others after all.
func (n *Numbering) reject(s skip, server string) {
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
