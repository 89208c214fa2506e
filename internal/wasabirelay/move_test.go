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

// mover is a scripted wasabiridge.RequestMigrator.
type mover struct {
	mu  sync.Mutex
	err error
	// refuses lists the engines that do not accept a move.
	refuses []wasabiridge.BackendServerID
	// keeps makes the engines keep the KV cache of the answers that they stop.
	keeps   bool
	stops   func()
	moves   []wasabiridge.RequestMigration
	dropped []string
}

func (m *mover) Migrate(_ context.Context, r wasabiridge.RequestMigration) (wasabiridge.MigrationResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moves = append(m.moves, r)
	if m.stops != nil {
		m.stops()
	}
	if m.err != nil {
		return wasabiridge.MigrationResult{}, m.err
	}
	if slices.Contains(m.refuses, r.To.ID) {
		return wasabiridge.MigrationResult{}, wasabiridge.ErrMigrationRefused.New("dark")
	}
	if m.keeps {
		return wasabiridge.MigrationResult{To: r.From, Handle: "s:1/h1"}, nil
	}
	return wasabiridge.MigrationResult{To: r.To, Handle: "s:1/h1"}, nil
}

func (m *mover) DropCache(_ context.Context, _ wasabiridge.BackendServer, memory string) error {
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

// streamsUntil returns a scripted attempt that streams events, signals sent, and runs until
// it receives its result from end or is cancelled.
func streamsUntil(sent chan<- struct{}, end <-chan wasabiridge.AttemptResult, events ...string) scriptedAttempt {
	first := streams(wasabiridge.AttemptBroken, events...)
	return func(ctx context.Context, a wasabiridge.Attempt, s wasabiridge.AttemptSink) wasabiridge.AttemptResult {
		first(ctx, a, s)
		sent <- struct{}{}
		select {
		case result := <-end:
			return result
		case <-ctx.Done():
			// The result of an attempt whose engine stopped responding.
			return wasabiridge.AttemptBroken
		}
	}
}

var _ = Describe("An answer at an engine that is being drained", func() {
	resumable := wasabiridge.Action{Resume: true, Retry: true, Stream: true, Attempts: 2}
	other := wasabiridge.BackendServer{ID: "s9", URL: "http://i"}

	// startStream sends a request and returns when its stream has delivered two events. The
	// relay moves answers with m, and a further attempt runs last.
	startStream := func(m *mover, last scriptedAttempt) (g *rig, done chan answer, end chan wasabiridge.AttemptResult) {
		sent := make(chan struct{}, 1)
		end = make(chan wasabiridge.AttemptResult, 1)
		g = newRig(resumable, streamsUntil(sent, end, "1", "2"), last)
		g.move(m)
		// All passes over answers that are not moved take nearly two seconds.
		g.timeout = 30 * wasabiridge.Second
		done = make(chan answer, 1)
		go func() { done <- g.send("/x", "k") }()
		Eventually(sent).Should(Receive())
		return g, done, end
	}
	migrateAnswers := func(g *rig, found bool) {
		g.relay.MigrateAnswers(context.Background(), g.first().Backend.ID, func(_ wasabiridge.Request, _ wasabiridge.Dispatch, excluded []wasabiridge.BackendServerID) (wasabiridge.BackendServer, bool) {
			return other, found && len(excluded) == 0
		})
	}

	// An engine is about to load weights while a stream would run there for some more
	// seconds. The stream must be stopped and continued at another engine with its KV
	// cache, and its caller must see one uninterrupted stream.
	It("continues at another engine with its KV cache", func() {
		m := &mover{}
		g, done, ends := startStream(m, streams(wasabiridge.AttemptCompleted, "3", "4"))
		m.stops = func() { ends <- wasabiridge.AttemptBroken }
		migrateAnswers(g, true)
		a := <-done
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal("id:1 \n\nid:2 \n\nid:3 \n\nid:4 \n\n"))
		Expect(m.moves).To(HaveLen(1))
		second := g.runner.attempts[1]
		Expect(second.Backend.ID).To(Equal(other.ID))
		Expect(second.CacheHandle).To(Equal("s:1/h1"))
		Expect(second.LastEvent).To(Equal("2"))
		Expect(m.drops()).To(BeEmpty())
	})

	// A third of the engines crash during an upgrade, and the engine with the most free
	// capacity does not respond. If answers are only offered to that engine, they stay
	// where they are, and the load of the weights is delayed by three seconds.
	It("is moved to the next engine if the first does not take it", func() {
		m := &mover{refuses: []wasabiridge.BackendServerID{"dark"}}
		g, done, ends := startStream(m, streams(wasabiridge.AttemptCompleted, "3"))
		m.stops = func() {
			if len(m.moves) == 2 {
				ends <- wasabiridge.AttemptBroken
			}
		}
		g.relay.MigrateAnswers(context.Background(), g.first().Backend.ID, func(_ wasabiridge.Request, _ wasabiridge.Dispatch, excluded []wasabiridge.BackendServerID) (wasabiridge.BackendServer, bool) {
			if len(excluded) == 0 {
				return wasabiridge.BackendServer{ID: "dark"}, true
			}
			return other, true
		})
		Expect((<-done).body).To(Equal("id:1 \n\nid:2 \n\nid:3 \n\n"))
		Expect(g.runner.attempts[1].Backend.ID).To(Equal(other.ID))
		Expect(m.moves).To(HaveLen(2))
	})

	// No engine has free capacity when the drain starts, but an answer at another engine
	// ends a moment later.
	It("is moved in a later pass if no engine had free capacity", func() {
		m := &mover{}
		g, done, ends := startStream(m, streams(wasabiridge.AttemptCompleted, "3"))
		m.stops = func() { ends <- wasabiridge.AttemptBroken }
		asked := 0
		g.relay.MigrateAnswers(context.Background(), g.first().Backend.ID, func(wasabiridge.Request, wasabiridge.Dispatch, []wasabiridge.BackendServerID) (wasabiridge.BackendServer, bool) {
			asked++
			return other, asked > 2
		})
		Expect((<-done).body).To(Equal("id:1 \n\nid:2 \n\nid:3 \n\n"))
		Expect(asked).To(Equal(3))
	})

	// The engine has stopped the answer, but the end of the stream is lost in the
	// network. Without a time-out the caller would wait until its deadline.
	It("continues even if the end of its old stream is lost", func() {
		m := &mover{}
		g, done, _ := startStream(m, streams(wasabiridge.AttemptCompleted, "3"))
		migrateAnswers(g, true)
		Expect((<-done).body).To(Equal("id:1 \n\nid:2 \n\nid:3 \n\n"))
	})

	It("releases the moved KV cache if the answer has completed", func() {
		m := &mover{}
		g, done, ends := startStream(m, streams(wasabiridge.AttemptCompleted, "never"))
		m.stops = func() { ends <- wasabiridge.AttemptCompleted }
		migrateAnswers(g, true)
		Expect((<-done).body).To(Equal("id:1 \n\nid:2 \n\n"))
		Eventually(m.drops).Should(ConsistOf("s:1/h1"))
		Expect(g.attempts()).To(Equal(1))
	})

	// Guards against a stopped stream that is taken for complete, because it has no length
	// and ends with its connection.
	It("continues at another engine if its old stream ends with its connection", func() {
		m := &mover{}
		g, done, ends := startStream(m, streams(wasabiridge.AttemptCompleted, "3"))
		g.runner.framing = wasabiridge.FramingClose
		m.stops = func() { ends <- wasabiridge.AttemptCompleted }
		migrateAnswers(g, true)
		Expect((<-done).body).To(Equal("id:1 \n\nid:2 \n\nid:3 \n\n"))
		Expect(g.runner.attempts[1].CacheHandle).To(Equal("s:1/h1"))
		Expect(m.drops()).To(BeEmpty())
	})

	// An answer that cannot be moved keeps running. If its engine breaks it off
	// nevertheless, it is resumed like any stream, without the KV cache.
	failures := map[string]struct {
		err   error
		found bool
		breaks,
		resumed bool
	}{
		"keeps running if no engine has capacity":       {},
		"keeps running if the engine does not know it":  {err: wasabiridge.ErrNotFound.New("x"), found: true},
		"keeps running if it is already being moved":    {err: wasabiridge.ErrConflict.New("x"), found: true},
		"keeps running if the engine refuses":           {err: wasabiridge.ErrMigrationRefused.New("x"), found: true},
		"keeps running if the engine was not asked":     {err: wasabiridge.ErrUnavailable.New("x"), found: true},
		"is resumed if the engine refuses but stops it": {err: wasabiridge.ErrMigrationRefused.New("x"), found: true, breaks: true, resumed: true},
		"is resumed if the move gets no response":       {err: wasabiridge.ErrOutcomeUnknown.New("x"), found: true, breaks: true, resumed: true},
	}
	for _, name := range slices.Sorted(maps.Keys(failures)) {
		It(name, func() {
			c := failures[name]
			m := &mover{err: c.err}
			g, done, ends := startStream(m, streams(wasabiridge.AttemptCompleted, "3"))
			if c.breaks {
				m.stops = func() { ends <- wasabiridge.AttemptBroken }
			}
			migrateAnswers(g, c.found)
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
			Expect(g.runner.attempts[1].CacheHandle).To(BeEmpty())
		})
	}

	It("is not moved if its rule does not allow resumption", func() {
		sent, end := make(chan struct{}, 1), make(chan wasabiridge.AttemptResult, 1)
		g := newRig(wasabiridge.Action{NonIdempotent: true, Stream: true}, streamsUntil(sent, end, "1"))
		m := &mover{}
		g.move(m)
		done := make(chan answer, 1)
		go func() { done <- g.send("/x", "k") }()
		Eventually(sent).Should(Receive())
		migrateAnswers(g, true)
		Expect(m.moves).To(BeEmpty())
		end <- wasabiridge.AttemptCompleted
		Eventually(done, 2*time.Second).Should(Receive())
	})
})
