package wasabilog

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog/diode"
)

// ringLines is the capacity of a Ring in lines.
const ringLines = 4096

// Ring is a bounded ring buffer of log lines in front of a writer. Write never blocks:
// when the writer is slower than the log, the oldest lines are dropped and counted. It
// is safe for concurrent use.
type Ring struct {
	diode.Writer
	dropped atomic.Uint64
}

// NewRing returns a ring buffer that writes to w in a goroutine. Close writes the
// buffered lines and ends the goroutine. It does not close w.
func NewRing(w io.Writer) *Ring {
	r := &Ring{}
	r.Writer = diode.NewWriter(unclosable{w}, ringLines, 0, func(missed int) { r.dropped.Add(uint64(missed)) })
	return r
}

// Dropped returns the number of lines dropped so far.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

// unclosable hides the Close method of a writer, so that closing the ring does not
// close standard output.
type unclosable struct{ io.Writer }
