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

// backoff is an exponential backoff with jitter for connecting to a backend
// server that does not answer. Each delay is drawn at random between half and
// all of a span that doubles up to maxBackoff, so that instances that lost
// their connections at the same moment do not reconnect at the same moment.
// It is not safe for concurrent use.
type backoff struct {
	random *rand.Rand
	span   wasabiridge.Millis
}

// newBackoff returns a backoff whose random delays are determined by the seed
// and the name.
func newBackoff(seed uint64, name string) *backoff {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return &backoff{random: rand.New(rand.NewPCG(seed, h.Sum64())), span: firstBackoff}
}

// next returns the next delay and doubles the span.
func (b *backoff) next() wasabiridge.Millis {
	delay := b.jitter(b.span)
	b.span = min(2*b.span, maxBackoff)
	return delay
}

// reset returns to the shortest span. It is called after a success.
func (b *backoff) reset() { b.span = firstBackoff }

// jitter returns a random duration between half of the span and all of it.
func (b *backoff) jitter(span wasabiridge.Millis) wasabiridge.Millis {
	half := span / 2
	return half + b.draw(span-half)
}

// draw returns a random duration between zero and the span, inclusive.
func (b *backoff) draw(span wasabiridge.Millis) wasabiridge.Millis {
	return wasabiridge.Millis(b.random.Int64N(int64(span) + 1))
}
