package wasabirelay_test

import (
	"context"
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// stoppedStream is a stream that a relay has begun to deliver and that its engine is asked to
// move.
type stoppedStream struct {
	rig   *rig
	mover *mover
	done  chan answer
	ends  chan wasabiridge.AttemptResult
}

// newStoppedStream sends a request and returns when two events were delivered. A further
// attempt delivers a third event.
func newStoppedStream(framing wasabiridge.Framing, m *mover) stoppedStream {
	s := stoppedStream{mover: m, done: make(chan answer, 1), ends: make(chan wasabiridge.AttemptResult, 1)}
	sent := make(chan struct{}, 1)
	s.rig = newRig(stream, streamsUntil(sent, s.ends, "1", "2"), streams(wasabiridge.AttemptCompleted, "3"))
	s.rig.runner.framing = framing
	s.rig.move(m)
	go func() { s.done <- s.rig.send("/x", "k") }()
	Eventually(sent).Should(Receive())
	return s
}

// moveOnce asks the engine of the stream once for a move. Before the next pass it calls last,
// which may be nil.
func (s stoppedStream) moveOnce(last func()) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	asked := 0
	s.rig.relay.MigrateAnswers(ctx, s.rig.first().Backend.ID, func(wasabiridge.Request, wasabiridge.Dispatch, []wasabiridge.BackendServerID) (wasabiridge.BackendServer, bool) {
		if asked++; asked == 1 {
			return wasabiridge.BackendServer{ID: "s9", URL: "http://i"}, true
		}
		if last != nil {
			last()
		}
		cancel()
		return wasabiridge.BackendServer{}, false
	})
}

func (s stoppedStream) end() { s.ends <- wasabiridge.AttemptCompleted }

var _ = Describe("A stream whose engine was asked to move it", func() {
	replies := map[string]struct {
		err   error
		keeps bool
		// proves says that the engine cannot have stopped the stream.
		proves bool
	}{
		"keeps the KV cache":    {keeps: true},
		"refuses":               {err: wasabiridge.ErrMigrationRefused.New("x")},
		"is already moving it":  {err: wasabiridge.ErrConflict.New("x")},
		"gives no response":     {err: wasabiridge.ErrOutcomeUnknown.New("x")},
		"does not run it":       {err: wasabiridge.ErrNotFound.New("x"), proves: true},
		"could not be asked":    {err: wasabiridge.ErrUnavailable.New("x"), proves: true},
		"rejects the migration": {err: wasabiridge.ErrFenced.New("x")},
	}
	moments := map[string]func(s stoppedStream){
		"before the engine responds": func(s stoppedStream) {
			s.mover.stops = s.end
			s.moveOnce(nil)
		},
		"between two passes": func(s stoppedStream) { s.moveOnce(s.end) },
		"after the last pass": func(s stoppedStream) {
			s.moveOnce(nil)
			s.end()
		},
	}
	for _, moment := range slices.Sorted(maps.Keys(moments)) {
		for _, reply := range slices.Sorted(maps.Keys(replies)) {
			c := replies[reply]
			// An engine that keeps the KV cache has stopped the stream, which is then not
			// asked for again.
			if c.keeps && moment == "between two passes" {
				continue
			}

			// Guards against a stream that is answered as complete although its engine stopped
			// it: without a length, its end looks like that of a complete one.
			It("is taken for broken off if it ends with its connection "+moment+" and its engine "+reply, func() {
				s := newStoppedStream(wasabiridge.FramingClose, &mover{err: c.err, keeps: c.keeps})
				moments[moment](s)
				a := <-s.done
				Expect(a.err).NotTo(HaveOccurred())
				if c.proves {
					Expect(a.body).To(Equal("id:1 \n\nid:2 \n\n"))
					Expect(s.rig.attempts()).To(Equal(1))
					return
				}
				Expect(a.body).To(Equal("id:1 \n\nid:2 \n\nid:3 \n\n"))
				Expect(s.rig.runner.attempts[1].LastEvent).To(Equal("2"))
				if c.keeps {
					Expect(s.rig.runner.attempts[1].Backend.ID).To(Equal(s.rig.first().Backend.ID))
					Expect(s.rig.runner.attempts[1].CacheHandle).To(Equal("s:1/h1"))
				}
			})

			// Guards against the loss of complete streams whose engine let them run on.
			It("is complete if it ends by its framing "+moment+" and its engine "+reply, func() {
				s := newStoppedStream(wasabiridge.FramingChunked, &mover{err: c.err, keeps: c.keeps})
				moments[moment](s)
				Expect((<-s.done).body).To(Equal("id:1 \n\nid:2 \n\n"))
				Expect(s.rig.attempts()).To(Equal(1))
			})
		}
	}

	// Guards against a stream that goes on at the engine whose garbage has just ended it.
	It("goes on elsewhere if its engine kept the KV cache and sent an event of no run", func() {
		s := newStoppedStream(wasabiridge.FramingChunked, &mover{keeps: true})
		s.rig.runner.malformed = wasabiridge.MalformedEvent{Cause: "no id", Delivered: 2}
		s.moveOnce(nil)
		s.ends <- wasabiridge.AttemptBroken
		Expect((<-s.done).body).To(Equal("id:1 \n\nid:2 \n\nid:3 \n\n"))
		Expect(s.rig.runner.attempts[1].Backend.ID).NotTo(Equal(s.rig.first().Backend.ID))
		Expect(s.rig.runner.attempts[1].CacheHandle).To(BeEmpty())
	})

	// Guards against a stream that waits for its engine to respond to a move.
	It("is complete at once if it ends by its framing while the engine does not respond", func() {
		responds := make(chan struct{})
		DeferCleanup(func() { close(responds) })
		m := &mover{err: wasabiridge.ErrOutcomeUnknown.New("x")}
		s := newStoppedStream(wasabiridge.FramingLength, m)
		m.stops = func() {
			s.end()
			<-responds
		}
		go s.moveOnce(nil)
		var a answer
		Eventually(s.done).Should(Receive(&a))
		Expect(a.body).To(Equal("id:1 \n\nid:2 \n\n"))
	})

	// Guards against a doubt that a later response about another copy of the run removes.
	It("stays in doubt after the engine says that it does not run it any more", func() {
		m := &mover{err: wasabiridge.ErrOutcomeUnknown.New("x")}
		s := newStoppedStream(wasabiridge.FramingClose, m)
		s.moveOnce(nil)
		m.mu.Lock()
		m.err = wasabiridge.ErrNotFound.New("x")
		m.mu.Unlock()
		s.moveOnce(nil)
		s.end()
		Expect((<-s.done).body).To(Equal("id:1 \n\nid:2 \n\nid:3 \n\n"))
	})

	// Guards against a short stream that another instance passes on as complete.
	It("is taken for broken off at the instance that passed the request on", func() {
		sent, ends := make(chan struct{}, 1), make(chan wasabiridge.AttemptResult, 1)
		g := newRig(stream, hangs)
		other := newRig(stream, streamsUntil(sent, ends, "1", "2"), streams(wasabiridge.AttemptCompleted, "3"))
		g.detour.lost, g.detour.others = true, []*rig{other}
		other.runner.framing = wasabiridge.FramingClose
		other.move(&mover{err: wasabiridge.ErrMigrationRefused.New("x")})
		done := make(chan answer, 1)
		go func() { done <- g.send("/x", "k") }()
		Eventually(sent).Should(Receive())
		s := stoppedStream{rig: other, ends: ends}
		s.moveOnce(s.end)
		Expect((<-done).body).To(Equal("id:1 \n\nid:2 \n\nid:3 \n\n"))
	})
})
