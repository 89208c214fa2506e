package wasabiclaim

import (
	"container/list"

	"github.com/wasabiridge/wasabiridge"
)

// answerRing bounds the answers that are cached for repeats, by number and by
// bytes. When it is full it evicts the oldest answer and calls the function that
// was added with it; the claim itself stays. It is not safe for concurrent use.
type answerRing struct {
	maxCount int
	maxBytes int
	bytes    int
	order    *list.List
}

type cachedAnswer struct {
	size    int
	onEvict func()
}

func newAnswerRing(maxCount, maxBytes int) *answerRing {
	return &answerRing{maxCount: maxCount, maxBytes: maxBytes, order: list.New()}
}

func answerSize(a wasabiridge.Answer) int {
	return len(a.Body) + len(a.ContentType)
}

// fits reports whether an answer may be cached at all. One answer may take up
// to an eighth of maxBytes.
func (r *answerRing) fits(a wasabiridge.Answer) bool {
	return r.maxCount > 0 && answerSize(a) <= r.maxBytes/8
}

// add accounts for a cached answer and calls onEvict when it must be evicted.
// The returned element is for drop.
func (r *answerRing) add(a wasabiridge.Answer, onEvict func()) *list.Element {
	e := r.order.PushBack(cachedAnswer{size: answerSize(a), onEvict: onEvict})
	r.bytes += answerSize(a)
	for r.order.Len() > r.maxCount || r.bytes > r.maxBytes {
		oldest := r.order.Front()
		r.drop(oldest)
		oldest.Value.(cachedAnswer).onEvict()
	}
	return e
}

// drop removes an answer without calling onEvict. A nil element is ignored.
func (r *answerRing) drop(e *list.Element) {
	if e == nil {
		return
	}
	r.order.Remove(e)
	r.bytes -= e.Value.(cachedAnswer).size
}
