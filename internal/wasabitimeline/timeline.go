// Package wasabitimeline records the time line of events of one instance and
// merges the time lines of several instances.
//
// A Log is a bounded ring buffer of events. Recording takes one lock for a short
// time and never blocks on anything else; when the ring is full, the oldest
// event is dropped and counted. A separate goroutine reads the ring and
// publishes the events in batches on watermill, so that publishing never delays
// a request.
//
// # Order
//
// Events carry a hybrid logical clock: the physical clock, or a later time if an
// event that is known to precede has one. An instance that receives a message
// calls Observe with the hybrid time of the sender. Events that it records
// afterwards sort after the events that the sender recorded before sending,
// however far apart the physical clocks are, within Options.MaxSkew. Events
// without such a causal relation are ordered by the physical clocks.
//
// # Usage
//
//	log := wasabitimeline.New(wasabitimeline.Options{Instance: "pos-1", Clock: clock})
//	log.Record(wasabiridge.TimelineEvent{Kind: wasabiridge.EventArrived, Request: id})
//	page := log.Page(wasabiridge.TimelineQuery{Request: id})
//
// A heartbeat carries the hybrid time to another instance:
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
	// DefaultMaxSkew is how far a remote time may be ahead of the local clock.
	DefaultMaxSkew = 10 * wasabiridge.Minute
)

// chunkSize is how many events a query copies each time it holds the lock. It
// bounds how long a query can block Record.
const chunkSize = 512

// Options configure a Log.
type Options struct {
	// Instance is written into every event.
	Instance wasabiridge.InstanceID
	// Clock is the physical clock.
	Clock wasabiridge.Clock
	// Capacity is how many events are kept. Zero means DefaultCapacity.
	Capacity int
	// MaxSkew is how far ahead of Clock a remote time may be for Observe to
	// accept it. Zero means DefaultMaxSkew.
	MaxSkew wasabiridge.Millis
}

// Log is the time line of one instance. It implements wasabiridge.Recorder
// and is safe for concurrent use.
type Log struct {
	options Options

	mu sync.Mutex
	// ring grows up to Capacity events, so that an instance without requests needs little
	// memory.
	ring []wasabiridge.TimelineEvent
	// next is the sequence number of the next event, and so the number of events
	// recorded. Event n is stored at ring[n % Capacity].
	next uint64
	// at and logical are the current hybrid time.
	at      wasabiridge.Millis
	logical uint32
	// lastDropped is the time of the newest event that was overwritten.
	lastDropped wasabiridge.Millis
	// refusedSkews counts remote times beyond MaxSkew.
	refusedSkews uint64
}

// New returns an empty Log.
func New(o Options) *Log {
	if o.Capacity <= 0 {
		o.Capacity = DefaultCapacity
	}
	if o.MaxSkew <= 0 {
		o.MaxSkew = DefaultMaxSkew
	}
	return &Log{options: o}
}

// Record stores an event, with At, Logical and Instance set to the hybrid time
// and the instance of the Log. When the ring is full, the oldest event is
// dropped.
func (l *Log) Record(e wasabiridge.TimelineEvent) {
	e.Instance = l.options.Instance
	physical := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At, e.Logical = l.tick(physical)
	if slot := l.next % l.capacity(); slot == uint64(len(l.ring)) {
		l.ring = append(l.ring, e)
	} else {
		l.lastDropped = l.ring[slot].At
		l.ring[slot] = e
	}
	l.next++
}

func (l *Log) capacity() uint64 { return uint64(l.options.Capacity) }

// tick advances the hybrid time and returns it. The caller holds the lock.
func (l *Log) tick(physical wasabiridge.Millis) (wasabiridge.Millis, uint32) {
	if physical > l.at {
		l.at, l.logical = physical, 0
		return l.at, l.logical
	}
	l.logical++
	return l.at, l.logical
}

// Now returns the hybrid time to put into a message to another instance. No
// event recorded before has a later time.
func (l *Log) Now() wasabiridge.Millis {
	physical := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(physical, l.at)
}

// Observe advances the hybrid time past that of a received message, so that
// later events of this Log sort strictly after it.
//
// A remote time more than MaxSkew ahead of the local clock is ignored and
// counted in IgnoredSkews. Otherwise one wrong clock would push the hybrid time
// of all instances ahead of their clocks, by as much as that clock is wrong, and
// queries such as "the last five minutes" would find nothing. The price is that
// events of that sender are not ordered causally.
func (l *Log) Observe(remote wasabiridge.Millis) {
	physical := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if remote > physical+l.options.MaxSkew {
		l.refusedSkews++
		return
	}
	if remote >= l.at {
		l.at, l.logical = remote+1, 0
	}
}

// IgnoredSkews returns how many remote times Observe has ignored.
func (l *Log) IgnoredSkews() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusedSkews
}

// Recorded returns how many events have been recorded, and how many of them have
// been overwritten since.
func (l *Log) Recorded() (recorded, dropped uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next, l.droppedLocked()
}

// droppedLocked returns how many events have been overwritten. The caller holds
// the lock.
func (l *Log) droppedLocked() uint64 {
	if size := l.capacity(); l.next > size {
		return l.next - size
	}
	return 0
}

// read copies events from cursor on into buf, up to its capacity. It returns
// them, the next cursor, and how many events from the cursor on were
// overwritten before they could be read.
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
		buf = append(buf, l.ring[cursor%l.capacity()])
		cursor++
	}
	return buf, cursor, lost
}

// Page returns the events of this instance that a query selects, in the order
// in which they were recorded. A positive limit keeps only the newest. Dropped
// counts overwritten events that the query might have selected: it is zero when
// all of them are older than Since.
func (l *Log) Page(q wasabiridge.TimelineQuery) wasabiridge.TimelinePage {
	page := wasabiridge.TimelinePage{Instance: l.options.Instance, Dropped: l.droppedFor(q)}
	buf := make([]wasabiridge.TimelineEvent, 0, chunkSize)
	var cursor uint64
	for {
		// Events overwritten between two chunks have not been read yet, so they
		// count as dropped for this query. Those overwritten before the first
		// chunk are counted by droppedFor.
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

// droppedFor returns how many overwritten events a query might have selected.
func (l *Log) droppedFor(q wasabiridge.TimelineQuery) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q.Since > l.lastDropped {
		return 0
	}
	return l.droppedLocked()
}

// newest returns the last limit events, or all of them if limit is not
// positive.
func newest(events []wasabiridge.TimelineEvent, limit int) []wasabiridge.TimelineEvent {
	if limit > 0 && len(events) > limit {
		return events[len(events)-limit:]
	}
	return events
}

// Matches reports whether a query selects an event. Empty fields of the query
// match every event; Since and Until are inclusive.
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
