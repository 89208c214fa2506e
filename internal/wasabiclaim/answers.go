package wasabiclaim

import (
	"container/list"

	"github.com/wasabiridge/wasabiridge"
)

// answerRing bounds the answers that are kept for repeats. When it is full it
// forgets the oldest answer and tells its owner; the claim itself stays. It is
// not safe for concurrent use.
type answerRing struct {
	maxCount int
	maxBytes int
	bytes    int
	order    *list.List
}

type keptAnswer struct {
	size   int
	forget func()
}

func newAnswerRing(maxCount, maxBytes int) *answerRing {
	return &answerRing{maxCount: maxCount, maxBytes: maxBytes, order: list.New()}
}

func answerSize(a wasabiridge.Answer) int {
	return len(a.Body) + len(a.ContentType)
}

// fits reports whether an answer can be kept at all. One answer may take up
// to an eighth of the room.
func (r *answerRing) fits(a wasabiridge.Answer) bool {
	return r.maxCount > 0 && answerSize(a) <= r.maxBytes/8
}

// add keeps an answer and calls forget when it has to go. The returned
// element is for drop.
func (r *answerRing) add(a wasabiridge.Answer, forget func()) *list.Element {
	e := r.order.PushBack(keptAnswer{size: answerSize(a), forget: forget})
	r.bytes += answerSize(a)
	for r.order.Len() > r.maxCount || r.bytes > r.maxBytes {
		oldest := r.order.Front()
		r.drop(oldest)
		oldest.Value.(keptAnswer).forget()
	}
	return e
}

// drop forgets an answer without telling its owner. A nil element is ignored.
func (r *answerRing) drop(e *list.Element) {
	if e == nil {
		return
	}
	r.order.Remove(e)
	r.bytes -= e.Value.(keptAnswer).size
}
