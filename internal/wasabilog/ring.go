package wasabilog

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog/diode"
)

// ringLines is how many lines wait for the writer at most.
const ringLines = 4096

// Ring hands lines on to a writer through a bounded ring. Writing to it never
// blocks: when the writer stalls the oldest lines are dropped and counted. It
// is safe for concurrent use.
type Ring struct {
	diode.Writer
	dropped atomic.Uint64
}

// NewRing returns a ring before a writer. Close writes what waits and ends it.
func NewRing(w io.Writer) *Ring {
	r := &Ring{}
	r.Writer = diode.NewWriter(unclosable{w}, ringLines, 0, func(missed int) { r.dropped.Add(uint64(missed)) })
	return r
}

// Dropped counts the lines that were lost.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

// unclosable keeps the ring from closing standard output.
type unclosable struct{ io.Writer }
