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

// breakingRunner breaks the first attempt after three tokens, once the caller has
// received the first byte, and completes the next attempt.
type breakingRunner struct {
	instantRunner
	broken  bool
	reading chan struct{}
}

// callerWriter is the connection of a caller. It closes reading when the first
// byte is written.
type callerWriter struct {
	*httptest.ResponseRecorder
	once    sync.Once
	reading chan struct{}
}

func (w *callerWriter) Write(data []byte) (int, error) {
	w.once.Do(func() { close(w.reading) })
	return w.ResponseRecorder.Write(data)
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

var _ = Describe("The time line of a request", func() {
	// The first engine breaks off the stream after three tokens, and the caller
	// still receives a complete response. The time line must show the break, the
	// resumption at another engine and the end, in this order, so that an
	// operator can see why the request took long.
	It("has arrival, rule, placement, attempt, first token, break, resumption and end", func() {
		l := systemLog(64)
		caller := &callerWriter{ResponseRecorder: httptest.NewRecorder(), reading: make(chan struct{})}
		r := newRouter(l, &breakingRunner{reading: caller.reading})
		r.requestTo(GinkgoTB(), caller, caller.ResponseRecorder)
		defer r.loop.Close()
		// The caller may receive its response before the last events are
		// recorded.
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
		wasabitimeline.WriteTimeline(&out, events)
		Expect(out.String()).To(MatchRegexp(`attempt broken +on e\d, attempt 1, 3 tokens delivered\n.*resumed +on e\d, attempt 2`))
	})
})
