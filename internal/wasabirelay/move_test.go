package wasabirelay_test

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// mover is a scripted wasabiridge.RunMover.
type mover struct {
	mu  sync.Mutex
	err error
	// refuses are the engines to which nothing can be moved.
	refuses []wasabiridge.BackendServerID
	stops   func()
	moves   []wasabiridge.RunMove
	dropped []string
}

func (m *mover) MoveRun(_ context.Context, r wasabiridge.RunMove) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moves = append(m.moves, r)
	if m.stops != nil {
		m.stops()
	}
	if m.err != nil {
		return "", m.err
	}
	if slices.Contains(m.refuses, r.To.ID) {
		return "", wasabiridge.ErrUnavailable.New("dark")
	}
	return "s:1/h1", nil
}

func (m *mover) DropRun(_ context.Context, _ wasabiridge.BackendServer, memory string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropped = append(m.dropped, memory)
	return nil
}

func (m *mover) drops() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.dropped)
}

// streamsUntil sends events, says that it has, and ends when it is told to or cut.
func streamsUntil(sent chan<- struct{}, end <-chan wasabiridge.AttemptResult, events ...string) try {
	first := streams(wasabiridge.AttemptBroken, events...)
	return func(ctx context.Context, a wasabiridge.Attempt, s wasabiridge.AttemptSink) wasabiridge.AttemptResult {
		first(ctx, a, s)
		sent <- struct{}{}
		select {
		case result := <-end:
			return result
		case <-ctx.Done():
			// As an attempt ends whose engine fell silent.
			return wasabiridge.AttemptBroken
		}
	}
}

var _ = Describe("An answer that must leave its engine", func() {
	resumable := wasabiridge.Action{Resume: true, Retry: true, Stream: true, Attempts: 2}
	other := wasabiridge.BackendServer{ID: "s9", URL: "http://i"}

	// start asks for a stream that has sent two events, and moves it away.
	start := func(m *mover, last try) (g *rig, done chan answer, end chan wasabiridge.AttemptResult) {
		sent := make(chan struct{}, 1)
		end = make(chan wasabiridge.AttemptResult, 1)
		g = newRig(resumable, streamsUntil(sent, end, "1", "2"), last)
		g.move(m)
		done = make(chan answer, 1)
		go func() { done <- g.ask("/x", "k") }()
		Eventually(sent).Should(Receive())
		return g, done, end
	}
	moveAway := func(g *rig, found bool) {
		g.relay.MoveAway(context.Background(), g.first().Backend.ID, func(_ wasabiridge.Request, _ wasabiridge.WeightsVersion, not []wasabiridge.BackendServerID) (wasabiridge.BackendServer, bool) {
			return other, found && len(not) == 0
		})
	}

	// Story: an engine is about to load weights, and a stream runs there for some
	// seconds more. It is stopped, and goes on at another engine from its memory; its
	// caller sees one stream.
	It("goes on at another one from its memory", func() {
		m := &mover{}
		g, done, ends := start(m, streams(wasabiridge.AttemptCompleted, "3", "4"))
		m.stops = func() { ends <- wasabiridge.AttemptBroken }
		moveAway(g, true)
		a := <-done
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal("id:1 \n\nid:2 \n\nid:3 \n\nid:4 \n\n"))
		Expect(m.moves).To(HaveLen(1))
		second := g.runner.attempts[1]
		Expect(second.Backend.ID).To(Equal(other.ID))
		Expect(second.MemoryFrom).To(Equal("s:1/h1"))
		Expect(second.LastEvent).To(Equal("2"))
		Expect(m.drops()).To(BeEmpty())
	})

	// Story: a third of the engines crash while weights roll. The one with the most
	// room is dark. Answers were sent there one by one and ran on where they were, and
	// the load waited three seconds for their end.
	It("goes to the next one when the first does not take it", func() {
		m := &mover{refuses: []wasabiridge.BackendServerID{"dark"}}
		g, done, ends := start(m, streams(wasabiridge.AttemptCompleted, "3"))
		m.stops = func() {
			if len(m.moves) == 2 {
				ends <- wasabiridge.AttemptBroken
			}
		}
		g.relay.MoveAway(context.Background(), g.first().Backend.ID, func(_ wasabiridge.Request, _ wasabiridge.WeightsVersion, not []wasabiridge.BackendServerID) (wasabiridge.BackendServer, bool) {
			if len(not) == 0 {
				return wasabiridge.BackendServer{ID: "dark"}, true
			}
			return other, true
		})
		Expect((<-done).body).To(Equal("id:1 \n\nid:2 \n\nid:3 \n\n"))
		Expect(g.runner.attempts[1].Backend.ID).To(Equal(other.ID))
		Expect(m.moves).To(HaveLen(2))
	})

	// Story: no engine has room at the moment at which an engine must be emptied. An
	// answer ends elsewhere a moment later, and there is a place.
	It("is tried again when there was no place", func() {
		m := &mover{}
		g, done, ends := start(m, streams(wasabiridge.AttemptCompleted, "3"))
		m.stops = func() { ends <- wasabiridge.AttemptBroken }
		asked := 0
		g.relay.MoveAway(context.Background(), g.first().Backend.ID, func(wasabiridge.Request, wasabiridge.WeightsVersion, []wasabiridge.BackendServerID) (wasabiridge.BackendServer, bool) {
			asked++
			return other, asked > 2
		})
		Expect((<-done).body).To(Equal("id:1 \n\nid:2 \n\nid:3 \n\n"))
		Expect(asked).To(Equal(3))
	})

	// Story: the engine has stopped the answer, and the end of its stream is lost on
	// the way. Its caller waited until its time was over.
	It("goes on also when the end of its stream is lost", func() {
		m := &mover{}
		g, done, _ := start(m, streams(wasabiridge.AttemptCompleted, "3"))
		moveAway(g, true)
		Expect((<-done).body).To(Equal("id:1 \n\nid:2 \n\nid:3 \n\n"))
	})

	It("gives the memory back that it does not need", func() {
		m := &mover{}
		g, done, ends := start(m, streams(wasabiridge.AttemptCompleted, "never"))
		m.stops = func() { ends <- wasabiridge.AttemptCompleted }
		moveAway(g, true)
		Expect((<-done).body).To(Equal("id:1 \n\nid:2 \n\n"))
		Eventually(m.drops).Should(ConsistOf("s:1/h1"))
		Expect(g.attempts()).To(Equal(1))
	})

	// What cannot be moved runs on; when its engine breaks it off all the same, it is
	// resumed as any stream is, without the memory.
	failures := map[string]struct {
		err   error
		found bool
		breaks,
		resumed bool
	}{
		"runs on when there is no place":               {},
		"runs on when the engine does not know it":     {err: wasabiridge.ErrNotFound.New("x"), found: true},
		"runs on when it is being moved":               {err: wasabiridge.ErrConflict.New("x"), found: true},
		"runs on when the engine refuses":              {err: wasabiridge.ErrUnavailable.New("x"), found: true},
		"is resumed when the engine refuses and stops": {err: wasabiridge.ErrUnavailable.New("x"), found: true, breaks: true, resumed: true},
		"is resumed when the move is not answered":     {err: wasabiridge.ErrOutcomeUnknown.New("x"), found: true, breaks: true, resumed: true},
	}
	for _, name := range slices.Sorted(maps.Keys(failures)) {
		It(name, func() {
			c := failures[name]
			m := &mover{err: c.err}
			g, done, ends := start(m, streams(wasabiridge.AttemptCompleted, "3"))
			if c.breaks {
				m.stops = func() { ends <- wasabiridge.AttemptBroken }
			}
			moveAway(g, c.found)
			if !c.breaks {
				ends <- wasabiridge.AttemptCompleted
			}
			a := <-done
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.status).To(Equal(http.StatusOK))
			if !c.resumed {
				Expect(a.body).To(Equal("id:1 \n\nid:2 \n\n"))
				Expect(g.attempts()).To(Equal(1))
				return
			}
			Expect(a.body).To(Equal("id:1 \n\nid:2 \n\nid:3 \n\n"))
			Expect(g.runner.attempts[1].MemoryFrom).To(BeEmpty())
		})
	}

	It("is left alone when its rule does not let it go on elsewhere", func() {
		sent, end := make(chan struct{}, 1), make(chan wasabiridge.AttemptResult, 1)
		g := newRig(wasabiridge.Action{NonIdempotent: true, Stream: true}, streamsUntil(sent, end, "1"))
		m := &mover{}
		g.move(m)
		done := make(chan answer, 1)
		go func() { done <- g.ask("/x", "k") }()
		Eventually(sent).Should(Receive())
		moveAway(g, true)
		Expect(m.moves).To(BeEmpty())
		end <- wasabiridge.AttemptCompleted
		Eventually(done, 2*time.Second).Should(Receive())
	})
})
