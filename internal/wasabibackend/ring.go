package wasabibackend

import (
	"sync/atomic"

	"github.com/wasabiridge/wasabiridge"
)

// Ring is a bounded queue of events for the goroutine that makes the routing
// decisions. When it is full, the oldest event is dropped and counted: load and
// cache updates are worth less the older they are, and a dropped cache event is
// detected by the gap in the sequence numbers. It is safe for concurrent use.
type Ring struct {
	events  chan wasabiridge.Event
	dropped atomic.Uint64
}

// NewRing returns a ring that holds size events, at least one.
func NewRing(size int) *Ring {
	return &Ring{events: make(chan wasabiridge.Event, max(1, size))}
}

// Put adds an event and drops the oldest one if the ring is full. It never
// blocks.
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

// Events returns the channel from which events are received, oldest first.
func (r *Ring) Events() <-chan wasabiridge.Event { return r.events }

// Dropped returns the number of events dropped because the ring was full.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }
