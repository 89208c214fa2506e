package wasabitimeline_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

// breakingRunner breaks the first attempt after three tokens, when the caller
// has begun to read them, and completes the next one.
type breakingRunner struct {
	instantRunner
	broken  bool
	reading chan struct{}
}

// reader is a caller's connection that says when the first byte arrived.
type reader struct {
	*httptest.ResponseRecorder
	begin   sync.Once
	reading chan struct{}
}

func (r *reader) Write(data []byte) (int, error) {
	r.begin.Do(func() { close(r.reading) })
	return r.ResponseRecorder.Write(data)
}

func (r *breakingRunner) Run(ctx context.Context, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
	if r.broken {
		return r.instantRunner.Run(ctx, a, sink)
	}
	r.broken = true
	end := wasabiridge.AttemptEnded{Request: a.Request, Attempt: a.ID, Backend: a.Backend.ID, Result: wasabiridge.AttemptBroken}
	sink.Sent()
	if sink.Head(200, map[string][]string{"Content-Type": {"text/event-stream"}}) != nil {
		return end
	}
	for range 3 {
		if sink.Chunk(1, []byte(`{"choices":[{"index":0,"delta":{"content":"word "}}]}`)) != nil {
			return end
		}
		end.Delivered++
	}
	<-r.reading
	return end
}

var _ = Describe("The story of a request", func() {
	// A technician gets a whole answer although the first engine broke off
	// after three tokens. Asked afterwards why it took long, an operator reads
	// the break, the resumption elsewhere, and the end, in this order.
	It("tells arrival, rule, place, attempt, first token, break, resume and end", func() {
		l := systemLog(64)
		caller := &reader{ResponseRecorder: httptest.NewRecorder(), reading: make(chan struct{})}
		r := newRouter(l, &breakingRunner{reading: caller.reading})
		r.askWith(GinkgoTB(), caller, caller.ResponseRecorder)
		defer r.loop.Close()
		// The caller may have its answer before the decisions are told.
		var events []wasabiridge.TimelineEvent
		Eventually(func() wasabiridge.TimelineKind {
			events = l.Page(wasabiridge.TimelineQuery{Account: "liftwell"}).Events
			return events[len(events)-1].Kind
		}, "20s").Should(Equal(wasabiridge.EventEnded))
		var kinds []wasabiridge.TimelineKind
		for _, e := range events {
			kinds = append(kinds, e.Kind)
			Expect(e.Request).To(Equal(events[0].Request))
		}
		Expect(kinds).To(Equal([]wasabiridge.TimelineKind{
			wasabiridge.EventArrived, wasabiridge.EventMatched, wasabiridge.EventPlaced, wasabiridge.EventSent,
			wasabiridge.EventFirstToken, wasabiridge.EventBroken, wasabiridge.EventResumed, wasabiridge.EventSent,
			wasabiridge.EventFirstToken, wasabiridge.EventEnded,
		}))
		var out bytes.Buffer
		wasabitimeline.WriteStory(&out, events)
		Expect(out.String()).To(MatchRegexp(`attempt broken +on e\d, attempt 1, 3 tokens delivered\n.*resumed +on e\d, attempt 2`))
	})
})
