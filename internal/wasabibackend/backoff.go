package wasabibackend

import (
	"hash/fnv"
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	firstBackoff = 200 * wasabiridge.Millis(1)
	maxBackoff   = 10 * wasabiridge.Second
)

// backoff spaces attempts to reach a backend server that does not answer. Each
// wait is drawn between half and the whole of a span that doubles, so that
// instances that lost the server together do not come back together. It is not
// safe for concurrent use.
type backoff struct {
	random *rand.Rand
	span   wasabiridge.Millis
}

// newBackoff returns a backoff whose waits follow from the seed and the name.
func newBackoff(seed uint64, name string) *backoff {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return &backoff{random: rand.New(rand.NewPCG(seed, h.Sum64())), span: firstBackoff}
}

// next returns the next wait.
func (b *backoff) next() wasabiridge.Millis {
	wait := b.jitter(b.span)
	b.span = min(2*b.span, maxBackoff)
	return wait
}

// reset goes back to the shortest span after a success.
func (b *backoff) reset() { b.span = firstBackoff }

// jitter draws between half and the whole of a span.
func (b *backoff) jitter(span wasabiridge.Millis) wasabiridge.Millis {
	half := span / 2
	return half + b.draw(span-half)
}

// draw draws between nothing and the whole of a span.
func (b *backoff) draw(span wasabiridge.Millis) wasabiridge.Millis {
	return wasabiridge.Millis(b.random.Int64N(int64(span) + 1))
}
