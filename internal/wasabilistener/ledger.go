package wasabilistener

import (
	"container/list"

	"github.com/wasabiridge/wasabiridge"
)

// stage is what a connection is doing.
type stage int32

const (
	// stageRefused means that the head of a request was refused. net/http keeps such a
	// connection open for a moment, so that the caller receives the response.
	stageRefused stage = iota
	// stageSilent means that nothing was received yet.
	stageSilent
	// stageHead means that a part of the head of a request, or of a handshake, was received.
	stageHead
	// stageBody means that the handler runs and the body of the request is incomplete.
	stageBody
	// stageIdle means that the connection waits for its next request.
	stageIdle
	// stageEnding means that the handler has returned and its response is being written, or
	// the rest of the body is being discarded.
	stageEnding
	// stageRunning means that the handler runs and has the complete request.
	stageRunning
	stages = iota
)

// names are the stages in metrics and log lines.
var names = [stages]string{"refused", "silent", "head", "body", "idle", "ending", "running"}

// String implements fmt.Stringer.
func (s stage) String() string { return names[s] }

const (
	// connectionBytes is what a connection takes: the stack of its goroutine, the buffers of
	// net/http, and what the kernel keeps for it unread.
	connectionBytes = 24<<10 + 2*receiveBuffer
	// headFactor is how much memory a byte of a head takes while it is parsed, and lineBytes
	// what each of its lines takes besides: an entry of a map, and its copy for the backend
	// server.
	headFactor = 4
	lineBytes  = 256
	// reservedPart is the part of the connections, as a divisor, that may be in the same stage
	// of receiving a request before idle connections are closed for others. It gives a caller
	// the time to send its request while the places are full of idle connections.
	reservedPart = 8
	// closingPart is the part of the bytes, as a divisor, that connections may take which are
	// being closed.
	closingPart = 4
	// unreadTime is how long the end of a response may take to be written before its
	// connection is closed for others. A caller that reads takes it within this time.
	unreadTime = wasabiridge.Second
	// softPercent is the percentage of a Share beyond which connections are closed for others.
	// The rest is for those that are being closed.
	softPercent = 88
)

// Share is what the connections of a port may take at most. A zero field means no limit.
type Share struct {
	Connections int
	Bytes       int64
}

// most returns how many connections may be open that have sent nothing. Zero means any
// number.
func (s Share) most() int {
	byBytes := int(s.Bytes / connectionBytes)
	if s.Connections == 0 || byBytes > 0 && byBytes < s.Connections {
		return byBytes
	}
	return s.Connections
}

// entry is a connection in a ledger.
type entry struct {
	stage stage
	since wasabiridge.Millis
	// headBytes and headLines were received of the current head.
	headBytes, headLines int64
	// extended is set when the time limit of the stage was extended once.
	extended bool
	// overhead is what the connection takes beside connectionBytes, and counted what the
	// ledger has counted for it.
	overhead, counted int64
	// descriptorFree is set for a connection that is being closed and has no descriptor.
	descriptorFree bool
	// largeBody is set if the receive buffer was enlarged for a body.
	largeBody bool
	// node is nil for a connection that is being closed.
	node *list.Element
	conn *conn
}

// cost returns the bytes that the connection is assumed to take.
func (e *entry) cost() int64 {
	cost := connectionBytes + e.overhead + headFactor*e.headBytes + lineBytes*e.headLines
	if e.stage == stageBody && e.largeBody {
		cost += 2 * (bodyReceiveBuffer - receiveBuffer)
	}
	return cost
}

// ledger counts the connections of a port and decides which of them are closed to make
// room for others. It is deterministic and not safe for concurrent use.
type ledger struct {
	share Share
	// disposable reports that requests which run may be closed, too.
	disposable bool
	// queues hold the connections of each stage, those first that entered it first.
	queues [stages]list.List
	// open counts all connections, and closing those among them that are being closed.
	// bytes is what the others take, and closingBytes what those take that are being closed.
	open, closing       int
	bytes, closingBytes int64
}

func newLedger(s Share, disposable bool) *ledger {
	return &ledger{share: s, disposable: disposable}
}

// isFull reports whether no further connection may be opened.
func (l *ledger) isFull() bool { return l.share.Connections > 0 && l.open >= l.share.Connections }

// add counts a new connection.
func (l *ledger) add(e *entry, now wasabiridge.Millis) {
	l.open++
	e.stage, e.since = stageSilent, now
	e.node = l.queues[stageSilent].PushBack(e)
	l.recount(e)
}

// remove ends the counting of a connection that was closed.
func (l *ledger) remove(e *entry) {
	if e.node == nil {
		l.closingBytes -= e.counted
		if !e.descriptorFree {
			l.open--
			l.closing--
		}
		return
	}
	l.open--
	l.drop(e)
}

// drop takes a connection out of its queue and its bytes out of the sum.
func (l *ledger) drop(e *entry) {
	l.queues[e.stage].Remove(e.node)
	e.node = nil
	l.bytes -= e.counted
}

// move puts a connection into a stage. One that is being closed stays so.
func (l *ledger) move(e *entry, s stage, now wasabiridge.Millis) {
	if e.node == nil || e.stage == s {
		return
	}
	l.queues[e.stage].Remove(e.node)
	if s == stageIdle || s == stageRefused {
		e.headBytes, e.headLines = 0, 0
	}
	e.stage, e.since, e.extended = s, now, false
	e.node = l.queues[s].PushBack(e)
	l.recount(e)
}

// receive counts a part of a head.
func (l *ledger) receive(e *entry, bytes, lines int) {
	if e.node == nil {
		return
	}
	e.headBytes += int64(bytes)
	e.headLines += int64(lines)
	l.recount(e)
}

func (l *ledger) recount(e *entry) {
	cost := e.cost()
	l.bytes += cost - e.counted
	e.counted = cost
}

// close marks a connection as being closed. It counts as open until it is removed, since its
// descriptor is free only when its goroutine has noticed the end. That of a connection whose
// head was refused sleeps meanwhile and uses none.
func (l *ledger) close(e *entry) {
	l.drop(e)
	l.closingBytes += e.counted
	if e.stage == stageRefused {
		e.descriptorFree = true
		l.open--
		return
	}
	l.closing++
}

// isClosingMuch reports whether connections that are being closed still take so much that no
// further bytes should be read.
func (l *ledger) isClosingMuch() bool {
	return l.share.Bytes > 0 && l.closingBytes > l.share.Bytes/closingPart
}

// exceeds reports whether a connection has to be closed to make room.
func (l *ledger) exceeds() bool {
	s := l.share
	return s.Connections > 0 && l.open-l.closing > l.soft() || s.Bytes > 0 && l.bytes > s.Bytes
}

// soft is the number of connections beyond which some are closed.
func (l *ledger) soft() int { return max(1, l.share.Connections*softPercent/100) }

// victim returns the connection that is closed next, or nil if there is none: first those
// whose head was refused, then those that are receiving a request, the least received first,
// but for a reserve of each stage, then idle ones, then those whose response is not read, and
// at last the reserves. Within a stage it is the one that is in it for the longest time.
func (l *ledger) victim(now wasabiridge.Millis) *entry {
	if e := l.first(stageRefused, 0); e != nil {
		return e
	}
	reserve := max(1, l.share.most()/reservedPart)
	for _, s := range []stage{stageSilent, stageHead, stageBody} {
		if e := l.first(s, reserve); e != nil {
			return e
		}
	}
	if e := l.first(stageIdle, 0); e != nil {
		return e
	}
	if e := l.first(stageEnding, 0); e != nil && now-e.since >= unreadTime {
		return e
	}
	if !l.isSoleCaller() {
		for _, s := range []stage{stageBody, stageHead, stageSilent} {
			if e := l.first(s, 0); e != nil {
				return e
			}
		}
	}
	if l.disposable {
		return l.first(stageRunning, 0)
	}
	return nil
}

// isSoleCaller reports whether one connection alone is receiving a request, and exceeds the
// bytes by itself: its head is within the limits of the configuration, however large these are.
func (l *ledger) isSoleCaller() bool {
	receiving, others := 0, l.bytes
	for _, s := range []stage{stageBody, stageHead, stageSilent} {
		receiving += l.queues[s].Len()
		if e := l.first(s, 0); e != nil {
			others -= e.counted
		}
	}
	return receiving == 1 && others <= l.share.Bytes && (l.share.Connections == 0 || l.open-l.closing <= l.soft())
}

// first returns the first connection of a stage that has more connections than a reserve,
// or nil.
func (l *ledger) first(s stage, reserve int) *entry {
	if l.queues[s].Len() <= reserve {
		return nil
	}
	return l.queues[s].Front().Value.(*entry)
}

// expired returns the connections that entered a stage at a time or before.
func (l *ledger) expired(s stage, until wasabiridge.Millis) []*entry {
	var out []*entry
	for node := l.queues[s].Front(); node != nil; node = node.Next() {
		e := node.Value.(*entry)
		if e.since > until {
			break
		}
		out = append(out, e)
	}
	return out
}

// extend begins the time of a connection in its stage anew. It reports false if that was
// done before.
func (l *ledger) extend(e *entry, now wasabiridge.Millis) bool {
	if e.extended {
		return false
	}
	l.queues[e.stage].MoveToBack(e.node)
	e.since, e.extended = now, true
	return true
}
