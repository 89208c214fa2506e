package wasabigateway

import (
	"context"
	"sync"
)

// outlet is the bounded buffer between the attempt that answers and the
// goroutine that writes to the caller. When it is full the attempt waits, and
// so does its backend connection; nothing else does.
type outlet struct {
	limit int
	// ready wakes the reader, room wakes the writer.
	ready chan struct{}
	room  chan struct{}

	mu      sync.Mutex
	pending []byte
	// spare belongs to the reader until its next take.
	spare []byte
}

func newOutlet(limit int) *outlet {
	return &outlet{limit: limit, ready: make(chan struct{}, 1), room: make(chan struct{}, 1)}
}

// write appends the parts as one piece. It waits for room until the context
// is done. A piece that is larger than the limit goes in alone.
func (o *outlet) write(ctx context.Context, parts ...[]byte) error {
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	for !o.tryWrite(size, parts) {
		select {
		case <-o.room:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	wake(o.ready)
	return nil
}

func (o *outlet) tryWrite(size int, parts [][]byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) > 0 && len(o.pending)+size > o.limit {
		return false
	}
	for _, p := range parts {
		o.pending = append(o.pending, p...)
	}
	return true
}

// take returns all that waits. The result is valid until the next take.
func (o *outlet) take() []byte {
	o.mu.Lock()
	taken := o.pending
	o.pending = o.spare[:0]
	o.spare = taken
	o.mu.Unlock()
	wake(o.room)
	return taken
}

func (o *outlet) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending)
}

// discard drops all that waits, because its attempt broke before the caller
// saw any of it.
func (o *outlet) discard() {
	o.mu.Lock()
	o.pending = o.pending[:0]
	o.mu.Unlock()
	wake(o.room)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
