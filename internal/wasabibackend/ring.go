package wasabibackend

import (
	"sync/atomic"

	"github.com/wasabiridge/wasabiridge"
)

// Ring is a bounded ring of events on their way to the goroutine that
// decides. When it is full the oldest event is dropped and counted: load and
// cache news lose their worth with age, and the reader sees a lost cache event
// by its sequence number. It is safe for concurrent use.
type Ring struct {
	events  chan wasabiridge.Event
	dropped atomic.Uint64
}

// NewRing returns a ring for size events. A size under one counts as one.
func NewRing(size int) *Ring {
	return &Ring{events: make(chan wasabiridge.Event, max(1, size))}
}

// Put adds an event. It never waits.
func (r *Ring) Put(e wasabiridge.Event) {
	for {
		select {
		case r.events <- e:
			return
		default:
		}
		select {
		case <-r.events:
			r.dropped.Add(1)
		default:
		}
	}
}

// Events returns the end from which events are taken.
func (r *Ring) Events() <-chan wasabiridge.Event { return r.events }

// Dropped counts the events that were lost for lack of room.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }
