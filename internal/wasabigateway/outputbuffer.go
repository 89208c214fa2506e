package wasabigateway

import (
	"context"
	"sync"
)

// outputBuffer is the bounded buffer between the winning attempt and the
// goroutine that writes to the caller. While it is full, that attempt and its
// backend connection block; other requests do not.
type outputBuffer struct {
	limit int
	// hasData wakes the reader, hasSpace wakes the writer.
	hasData  chan struct{}
	hasSpace chan struct{}

	mu      sync.Mutex
	pending []byte
	// spare is the slice of the last takeAll, which the reader may use until
	// the next one.
	spare []byte
}

func newOutputBuffer(limit int) *outputBuffer {
	return &outputBuffer{limit: limit, hasData: make(chan struct{}, 1), hasSpace: make(chan struct{}, 1)}
}

// write appends the parts as one unit. It blocks until there is space or ctx is
// done. A unit larger than the limit is appended once the buffer is empty.
func (o *outputBuffer) write(ctx context.Context, parts ...[]byte) error {
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	for !o.tryWrite(size, parts) {
		select {
		case <-o.hasSpace:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	signal(o.hasData)
	return nil
}

func (o *outputBuffer) tryWrite(size int, parts [][]byte) bool {
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

// takeAll returns and removes all buffered data. The result is valid until the
// next call of takeAll.
func (o *outputBuffer) takeAll() []byte {
	o.mu.Lock()
	taken := o.pending
	o.pending = o.spare[:0]
	o.spare = taken
	o.mu.Unlock()
	signal(o.hasSpace)
	return taken
}

func (o *outputBuffer) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending)
}

// discard drops the buffered data of an attempt that broke before any of it was
// written to the caller.
func (o *outputBuffer) discard() {
	o.mu.Lock()
	o.pending = o.pending[:0]
	o.mu.Unlock()
	signal(o.hasSpace)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
