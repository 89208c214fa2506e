// Package wasabitimeline keeps the time line of one instance and merges the
// time lines of several.
//
// A Log is a bounded ring of events. Recording takes one short lock and never
// blocks on anything else; when the ring is full the oldest event is dropped
// and counted. Events are published in batches on watermill by a goroutine of
// its own, which reads the ring behind the writers, so that no publishing
// happens on the path of a request.
//
// # Order
//
// Events carry hybrid time: the physical clock, raised above every event that
// is known to have come before. An instance that receives a message calls
// Observe with the sender's hybrid time; whatever it records afterwards
// stands after whatever the sender recorded before, however far apart their
// clocks are. Events without a known cause between them are ordered by their
// clocks.
//
// # Usage
//
//	log := wasabitimeline.New(wasabitimeline.Options{Instance: "pos-1", Clock: clock})
//	log.Record(wasabiridge.TimelineEvent{Kind: wasabiridge.EventArrived, Request: id})
//	page := log.Page(wasabiridge.TimelineQuery{Request: id})
//
// A heartbeat carries the order to another instance:
//
//	h.SentAt = log.Now()     // at the sender
//	log.Observe(h.SentAt)    // at the receiver
package wasabitimeline

import (
	"sync"

	"github.com/wasabiridge/wasabiridge"
)

// Defaults of Options.
const (
	// DefaultCapacity is how many events a Log keeps.
	DefaultCapacity = 1 << 16
	// DefaultMaxSkew is how far ahead of the own clock a remote time may be.
	DefaultMaxSkew = 10 * wasabiridge.Minute
)

// copyChunk is how many events a reader copies under one hold of the lock, so
// that a query never holds up writers for long.
const copyChunk = 512

// Options configure a Log.
type Options struct {
	// Instance is written into every event.
	Instance wasabiridge.InstanceID
	// Clock is the physical clock.
	Clock wasabiridge.Clock
	// Capacity is how many events are kept. Zero means DefaultCapacity.
	Capacity int
	// MaxSkew bounds what Observe believes. Zero means DefaultMaxSkew.
	MaxSkew wasabiridge.Millis
}

// Log is the time line of one instance. It implements wasabiridge.Recorder
// and is safe for concurrent use.
type Log struct {
	options Options

	mu   sync.Mutex
	ring []wasabiridge.TimelineEvent
	// next counts events that were ever recorded; event n stands at
	// ring[n % len(ring)].
	next    uint64
	at      wasabiridge.Millis
	logical uint32
	// lastDropped is the time of the newest event that was overwritten.
	lastDropped wasabiridge.Millis
	// refused counts remote times beyond MaxSkew.
	refused uint64
}

// New returns an empty Log.
func New(o Options) *Log {
	if o.Capacity <= 0 {
		o.Capacity = DefaultCapacity
	}
	if o.MaxSkew <= 0 {
		o.MaxSkew = DefaultMaxSkew
	}
	return &Log{options: o, ring: make([]wasabiridge.TimelineEvent, o.Capacity)}
}

// Record stamps an event with the instance and hybrid time and keeps it. What
// the caller wrote into At, Logical and Instance is replaced. A full ring
// drops its oldest event.
func (l *Log) Record(e wasabiridge.TimelineEvent) {
	e.Instance = l.options.Instance
	physical := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At, e.Logical = l.tick(physical)
	slot := l.next % uint64(len(l.ring))
	if l.next >= uint64(len(l.ring)) {
		l.lastDropped = l.ring[slot].At
	}
	l.ring[slot] = e
	l.next++
}

// tick moves hybrid time forward and returns the stamp of the next event.
func (l *Log) tick(physical wasabiridge.Millis) (wasabiridge.Millis, uint32) {
	if physical > l.at {
		l.at, l.logical = physical, 0
		return l.at, l.logical
	}
	l.logical++
	return l.at, l.logical
}

// Now returns the hybrid time for a message that is about to be sent. No event
// that was recorded before has a later time.
func (l *Log) Now() wasabiridge.Millis {
	physical := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(physical, l.at)
}

// Observe takes the hybrid time of a received message. Later events of this
// Log stand strictly after it.
//
// A sender whose clock is wrong by more than MaxSkew is not followed, because
// hybrid time would then run ahead of every clock for as long as the error is
// large and queries such as "the last five minutes" would find nothing. Its
// order to others is lost instead, and counted by RefusedSkews.
func (l *Log) Observe(remote wasabiridge.Millis) {
	physical := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if remote > physical+l.options.MaxSkew {
		l.refused++
		return
	}
	if remote >= l.at {
		l.at, l.logical = remote+1, 0
	}
}

// RefusedSkews counts remote times that Observe did not follow.
func (l *Log) RefusedSkews() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

// Recorded counts the events that were ever recorded, and Dropped those that
// were overwritten.
func (l *Log) Recorded() (recorded, dropped uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next, l.droppedLocked()
}

func (l *Log) droppedLocked() uint64 {
	if size := uint64(len(l.ring)); l.next > size {
		return l.next - size
	}
	return 0
}

// read copies events that follow cursor into buf. It returns them, the next
// cursor, and how many events between the cursor and the first returned one
// were overwritten.
func (l *Log) read(cursor uint64, buf []wasabiridge.TimelineEvent) ([]wasabiridge.TimelineEvent, uint64, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lost uint64
	if oldest := l.droppedLocked(); cursor < oldest {
		lost = oldest - cursor
		cursor = oldest
	}
	buf = buf[:0]
	for cursor < l.next && len(buf) < cap(buf) {
		buf = append(buf, l.ring[cursor%uint64(len(l.ring))])
		cursor++
	}
	return buf, cursor, lost
}

// Page answers a query from this instance. Events are in order; a limit keeps
// the newest. Dropped counts overwritten events that the query could have
// asked for: it is zero when all of them are older than Since.
func (l *Log) Page(q wasabiridge.TimelineQuery) wasabiridge.TimelinePage {
	page := wasabiridge.TimelinePage{Instance: l.options.Instance, Dropped: l.droppedFor(q)}
	buf := make([]wasabiridge.TimelineEvent, 0, copyChunk)
	var cursor uint64
	for {
		// Events overwritten between two chunks belong to the oldest ones, so
		// they count as dropped for this query.
		var lost uint64
		first := cursor == 0
		if buf, cursor, lost = l.read(cursor, buf); !first {
			page.Dropped += lost
		}
		if len(buf) == 0 {
			break
		}
		for _, e := range buf {
			if Matches(q, e) {
				page.Events = append(page.Events, e)
			}
		}
	}
	page.Events = newest(page.Events, q.Limit)
	return page
}

func (l *Log) droppedFor(q wasabiridge.TimelineQuery) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q.Since > l.lastDropped {
		return 0
	}
	return l.droppedLocked()
}

func newest(events []wasabiridge.TimelineEvent, limit int) []wasabiridge.TimelineEvent {
	if limit > 0 && len(events) > limit {
		return events[len(events)-limit:]
	}
	return events
}

// Matches reports whether a query selects an event. Since and Until are both
// inclusive.
func Matches(q wasabiridge.TimelineQuery, e wasabiridge.TimelineEvent) bool {
	switch {
	case q.Request != "" && e.Request != q.Request,
		q.Account != "" && e.Account != q.Account,
		q.Backend != "" && e.Backend != q.Backend,
		e.At < q.Since,
		q.Until != 0 && e.At > q.Until:
		return false
	default:
		return true
	}
}
