package wasabirelay_test

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabicore"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabirelay"
	"github.com/wasabiridge/wasabiridge/internal/wasabireplica"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestRelay(t *testing.T) { wasabitest.Run(t, "relay") }

// hash is the SHA-256 hash of the key "k".
const hash = "8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"

// try is what a scripted attempt does.
type try func(ctx context.Context, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptResult

// runner carries out scripted attempts in order.
type runner struct {
	mu       sync.Mutex
	script   []try
	attempts []wasabiridge.Attempt
}

func (r *runner) Run(ctx context.Context, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
	r.mu.Lock()
	n := len(r.attempts)
	r.attempts = append(r.attempts, a)
	r.mu.Unlock()
	counted := &countingSink{AttemptSink: sink, delivered: a.ResumeFrom}
	result := r.script[min(n, len(r.script)-1)](ctx, a, counted)
	if result == wasabiridge.AttemptBroken && ctx.Err() != nil {
		result = wasabiridge.AttemptCancelled
	}
	return wasabiridge.AttemptEnded{Request: a.Request, Attempt: a.ID, Backend: a.Backend.ID, Result: result, Delivered: counted.delivered}
}

type countingSink struct {
	wasabiridge.AttemptSink
	delivered int
}

func (s *countingSink) Chunk(n int, data []byte) error {
	s.delivered += n
	return s.AttemptSink.Chunk(n, data)
}

// protocol reads plain headers.
type protocol struct{}

func (protocol) Read(r *http.Request) (wasabiridge.Asked, error) {
	return wasabiridge.Asked{ID: wasabiridge.RequestID(r.Header.Get("Id")), Key: r.Header.Get("Key"), Patience: 2000}, nil
}
func (protocol) Forward(h http.Header) http.Header { return h.Clone() }
func (protocol) Refuse(w http.ResponseWriter, f wasabiridge.Refusal) {
	w.Header().Set("Kind", string(f.Kind))
	if f.RetryAfter > 0 {
		w.Header().Set("Back", (time.Duration(f.RetryAfter) * time.Millisecond).String())
	}
	w.WriteHeader(http.StatusTeapot)
}
func (protocol) LastEvent(events []byte) string {
	if i := strings.LastIndex(string(events), "id:"); i >= 0 {
		return strings.Fields(string(events[i+3:]))[0]
	}
	return ""
}

// rig is a relay with scripted backend servers.
type rig struct {
	runner *runner
	server *httptest.Server
	mu     sync.Mutex
	view   wasabirelay.View
	clock  *wasabiclock.Virtual
	relay  *wasabirelay.Relay
	mover  moverOf
	judge  *verdict
}

// verdict judges all requests alike.
type verdict struct{ standing wasabiridge.Standing }

func (v *verdict) Judge(wasabiridge.Millis, wasabiridge.Request) wasabiridge.Standing {
	return v.standing
}

func (*verdict) Sent(wasabiridge.Millis, wasabiridge.Request, wasabiridge.AttemptID, wasabiridge.BackendServer) {
}
func (*verdict) Observe(wasabiridge.Millis, wasabiridge.Event) {}

// moverOf hands moves to the mover of a test.
type moverOf struct{ wasabiridge.RunMover }

// move lets the relay move answers with a mover.
func (g *rig) move(m wasabiridge.RunMover) { g.mover.RunMover = m }

// first returns the first attempt.
func (g *rig) first() wasabiridge.Attempt {
	g.runner.mu.Lock()
	defer g.runner.mu.Unlock()
	return g.runner.attempts[0]
}

func newRig(then wasabiridge.Action, script ...try) *rig {
	// The relay's deadlines are timers of the real clock; only proofs are
	// compared with the virtual one, which the test moves.
	g := &rig{runner: &runner{script: script}, clock: wasabiclock.NewVirtual(1e6), judge: &verdict{}}
	then.Pool = "p"
	servers := []wasabiridge.BackendServer{{ID: "s1", URL: "http://a", Slots: 9}, {ID: "s2", URL: "http://b", Slots: 9}, {ID: "s3", URL: "http://c", Slots: 9}}
	cfg := &wasabiridge.Config{
		Version: 1, Pools: []wasabiridge.Pool{{ID: "p", Backends: servers}},
		Accounts: []wasabiridge.ClientAccount{{ID: "acc", KeyHashes: []string{hash}, Pools: []wasabiridge.PoolID{"p"}}},
		Rules: []wasabiridge.Rule{
			{ID: "open", When: wasabiridge.Condition{Host: "h", Path: "/open/*"}, Then: then},
			{ID: "r", When: wasabiridge.Condition{Host: "h", Path: "/*"}, Then: then},
		},
	}
	cfg.Rules[0].Then.Anonymous = true
	g.view = wasabirelay.View{Config: cfg, Proven: g.clock.Now()}
	placer := wasabireplica.New(wasabireplica.Options{Seed: 1, RetrySlack: 100})
	// An instance that has run for long has a part of the retry budget.
	placer.Observe(g.clock.Now()-2*wasabiridge.Minute, wasabiridge.Ticked{})
	core := wasabicore.New(wasabicore.Options{Placer: placer, Limiter: wasabireplica.NewLimiter(placer), Quarantine: g.judge})
	loop := wasabiloop.New(wasabiloop.Options{Decider: core, Clock: g.clock})
	DeferCleanup(loop.Close)
	loop.Post(wasabiridge.ConfigAdopted{Config: *cfg})
	g.relay = wasabirelay.New(wasabirelay.Options{
		Clock: g.clock, Loop: loop, Runner: g.runner, Protocol: protocol{}, View: g.seen, Mover: &g.mover,
		KeyLife:  func() wasabiridge.Millis { return 4000 },
		DenyLife: func() wasabiridge.Millis { return 1500 },
	})
	g.server = httptest.NewServer(g.relay)
	DeferCleanup(g.server.Close)
	return g
}

func (g *rig) seen() wasabirelay.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view
}

func (g *rig) know(change func(v *wasabirelay.View)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.view)
}

// answer is what a caller got. err says that it was no whole answer.
type answer struct {
	status int
	kind   string
	back   string
	body   string
	err    error
}

func (g *rig) ask(path, key string) answer {
	r, err := http.NewRequest(http.MethodPost, g.server.URL+path, strings.NewReader("question"))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, kind: response.Header.Get("Kind"), back: response.Header.Get("Back"), body: string(body), err: err}
}

func (g *rig) attempts() int {
	g.runner.mu.Lock()
	defer g.runner.mu.Unlock()
	return len(g.runner.attempts)
}

// Scripted attempts.
func answers(status int, body string) try {
	return func(_ context.Context, _ wasabiridge.Attempt, s wasabiridge.AttemptSink) wasabiridge.AttemptResult {
		s.Sent()
		if s.Head(status, http.Header{}) != nil || s.Chunk(0, []byte(body)) != nil {
			return wasabiridge.AttemptBroken
		}
		return wasabiridge.AttemptCompleted
	}
}

func streams(result wasabiridge.AttemptResult, events ...string) try {
	return func(_ context.Context, _ wasabiridge.Attempt, s wasabiridge.AttemptSink) wasabiridge.AttemptResult {
		s.Sent()
		if s.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}}) != nil {
			return wasabiridge.AttemptBroken
		}
		for _, e := range events {
			if s.Chunk(1, []byte("id:"+e+" \n\n")) != nil {
				return wasabiridge.AttemptBroken
			}
		}
		return result
	}
}

func sentAnd(result wasabiridge.AttemptResult) try {
	return func(_ context.Context, _ wasabiridge.Attempt, s wasabiridge.AttemptSink) wasabiridge.AttemptResult {
		s.Sent()
		return result
	}
}

func unsent(context.Context, wasabiridge.Attempt, wasabiridge.AttemptSink) wasabiridge.AttemptResult {
	return wasabiridge.AttemptNotRun
}

func hangs(ctx context.Context, _ wasabiridge.Attempt, s wasabiridge.AttemptSink) wasabiridge.AttemptResult {
	s.Sent()
	<-ctx.Done()
	return wasabiridge.AttemptBroken
}

var (
	once   = wasabiridge.Action{NonIdempotent: true, Attempts: 1}
	safe   = wasabiridge.Action{Retry: true, Attempts: 2}
	stream = wasabiridge.Action{Retry: true, Resume: true, Stream: true, Attempts: 2}
)

var _ = Describe("A request", func() {
	cases := map[string]struct {
		then     wasabiridge.Action
		script   []try
		status   int
		kind     wasabiridge.RefusalKind
		body     string
		attempts int
		cut      bool
	}{
		"answered":                                  {then: once, script: []try{answers(200, "ok")}, status: 200, body: "ok", attempts: 1},
		"once, a failure of the server's":           {then: once, script: []try{answers(500, "no")}, status: 500, body: "no", attempts: 1},
		"once, broken after sending":                {then: once, script: []try{sentAnd(wasabiridge.AttemptBroken), answers(200, "second")}, kind: wasabiridge.RefusalBroken, attempts: 1},
		"once, refused by the server, then run":     {then: once, script: []try{sentAnd(wasabiridge.AttemptNotRun), answers(200, "ok")}, status: 200, body: "ok", attempts: 2},
		"once, unsent everywhere":                   {then: once, script: []try{unsent}, kind: wasabiridge.RefusalNotRun, attempts: 3},
		"safe, broken, then answered":               {then: safe, script: []try{sentAnd(wasabiridge.AttemptBroken), answers(200, "ok")}, status: 200, body: "ok", attempts: 2},
		"safe, broken as often as allowed":          {then: safe, script: []try{sentAnd(wasabiridge.AttemptBroken)}, kind: wasabiridge.RefusalBroken, attempts: 2},
		"safe, a failure, then a success":           {then: safe, script: []try{answers(500, "no"), answers(200, "ok")}, status: 200, body: "ok", attempts: 2},
		"safe, two failures":                        {then: safe, script: []try{answers(500, "one"), answers(503, "two")}, status: 503, body: "two", attempts: 2},
		"safe, a failure, then broken":              {then: safe, script: []try{answers(500, "one"), sentAnd(wasabiridge.AttemptBroken)}, kind: wasabiridge.RefusalBroken, attempts: 2},
		"a whole stream":                            {then: stream, script: []try{streams(wasabiridge.AttemptCompleted, "1", "2")}, status: 200, body: "id:1 \n\nid:2 \n\n", attempts: 1},
		"a stream that goes on elsewhere":           {then: stream, script: []try{streams(wasabiridge.AttemptBroken, "1"), streams(wasabiridge.AttemptCompleted, "2", "3")}, status: 200, body: "id:1 \n\nid:2 \n\nid:3 \n\n", attempts: 2},
		"a stream that breaks twice is cut visibly": {then: stream, script: []try{streams(wasabiridge.AttemptBroken, "1")}, status: 200, attempts: 2, cut: true},
		"a stream that may not go on is cut":        {then: once, script: []try{streams(wasabiridge.AttemptBroken, "1")}, status: 200, attempts: 1, cut: true},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		c := cases[name]
		It("gets what it may: "+name, func() {
			g := newRig(c.then, c.script...)
			got := g.ask("/open/x", "")
			Expect(g.attempts()).To(Equal(c.attempts))
			Expect(got.kind).To(Equal(string(c.kind)))
			Expect(got.err != nil).To(Equal(c.cut), "%v", got.err)
			if c.status > 0 {
				Expect(got.status).To(Equal(c.status))
			}
			if !c.cut {
				Expect(got.body).To(Equal(c.body))
			}
		})
	}

	It("that is resumed names the last event and the answer's first head", func() {
		g := newRig(stream, streams(wasabiridge.AttemptBroken, "1", "7"), streams(wasabiridge.AttemptCompleted, "8"))
		Expect(g.ask("/open/x", "").body).To(HaveSuffix("id:8 \n\n"))
		Expect(g.runner.attempts[1].LastEvent).To(Equal("7"))
		Expect(g.runner.attempts[1].ResumeFrom).To(Equal(2))
		Expect(g.runner.attempts[1].Backend.ID).NotTo(Equal(g.runner.attempts[0].Backend.ID))
	})

	// Story: servers ended under a request, so it reaches none any more. Were its caller
	// told when to come back, it would be refused again and again.
	It("that reaches no server any more is not invited back", func() {
		g := newRig(wasabiridge.Action{}, answers(200, "ok"))
		g.judge.standing = wasabiridge.StandingBarred
		got := g.ask("/x", "k")
		Expect(got.kind).To(Equal(string(wasabiridge.RefusalNotRun)))
		Expect(got.back).To(BeEmpty())
		Expect(g.attempts()).To(BeZero())
	})

	// Story: a refusal names a time to come back. Callers wait for a third of
	// what they have left at most; a longer advice makes them give up.
	It("that is refused may come back within a third of its time", func() {
		g := newRig(once, unsent)
		back, err := time.ParseDuration(g.ask("/open/x", "").back)
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(BeNumerically(">", 0))
		Expect(back).To(BeNumerically("<=", 2*time.Second/3))
	})

	// Story: the platform is silent after a restart of all instances. Callers come
	// back at once, are refused a second time and give up, moments before the
	// platform answers again.
	It("that waits for the platform comes back the later, the longer that has lasted", func() {
		g := newRig(once)
		waits := map[string]func(){
			"the key's proof": func() {},
			"a configuration": func() { g.view.Config = &wasabiridge.Config{} },
		}
		for _, name := range wasabitest.Names(waits) {
			waits[name]()
			g.clock.Advance(6 * wasabiridge.Second)
			for range 10 {
				back, err := time.ParseDuration(g.ask("/x", "key").back)
				Expect(err).NotTo(HaveOccurred(), name)
				Expect(back).To(BeNumerically(">=", 500*time.Millisecond), name)
				Expect(back).To(BeNumerically("<=", 2*time.Second/3), name)
			}
		}
	})

	It("that comes right after the start may come back soon", func() {
		g := newRig(once)
		g.view.Config = &wasabiridge.Config{}
		back, err := time.ParseDuration(g.ask("/x", "key").back)
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(BeNumerically("<=", 300*time.Millisecond))
	})

	timeouts := map[string]struct {
		then wasabiridge.Action
		kind wasabiridge.RefusalKind
	}{
		"once": {once, wasabiridge.RefusalTimeout},
		"safe": {safe, wasabiridge.RefusalTimeout},
	}
	for _, name := range slices.Sorted(maps.Keys(timeouts)) {
		It("whose rule's time is over hears so, and its server is left: "+name, func() {
			c := timeouts[name]
			c.then.Timeout = 120
			g := newRig(c.then, hangs)
			Expect(g.ask("/open/x", "").kind).To(Equal(string(c.kind)))
		})
	}

	It("whose caller leaves ends at its server too", func() {
		ended := make(chan struct{})
		g := newRig(once, func(ctx context.Context, a wasabiridge.Attempt, s wasabiridge.AttemptSink) wasabiridge.AttemptResult {
			defer close(ended)
			return hangs(ctx, a, s)
		})
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, g.server.URL+"/open/x", strings.NewReader("q"))
		Expect(err).NotTo(HaveOccurred())
		r.Host = "h"
		go func() { _, _ = http.DefaultClient.Do(r) }()
		Eventually(g.attempts).Should(Equal(1))
		cancel()
		Eventually(ended).Should(BeClosed())
	})
})

var _ = Describe("Keys", func() {
	newKeyed := func() *rig { return newRig(once, answers(200, "ok")) }

	cases := map[string]struct {
		path, key string
		age       wasabiridge.Millis
		status    int
		kind      wasabiridge.RefusalKind
	}{
		"known and proven":                       {path: "/x", key: "k", status: 200},
		"known, proof nearly too old":            {path: "/x", key: "k", age: 4000, status: 200},
		"known, proof too old":                   {path: "/x", key: "k", age: 4001, kind: wasabiridge.RefusalNotRun},
		"unknown":                                {path: "/x", key: "z", kind: wasabiridge.RefusalNoKey},
		"unknown to an old configuration":        {path: "/x", key: "z", age: 1600, kind: wasabiridge.RefusalNotRun},
		"none":                                   {path: "/x", kind: wasabiridge.RefusalNoKey},
		"none where none is needed, very old":    {path: "/open/x", age: 99999, status: 200},
		"no rule of a new configuration":         {path: "x", kind: wasabiridge.RefusalNoRule},
		"no rule of a configuration that is old": {path: "x", age: 1600, kind: wasabiridge.RefusalNotRun},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		c := cases[name]
		It("decide: "+name, func() {
			g := newKeyed()
			if c.path == "x" {
				g.know(func(v *wasabirelay.View) {
					cfg := *v.Config
					cfg.Rules = cfg.Rules[:1]
					v.Config = &cfg
				})
				c.path = "/x"
			}
			g.clock.Advance(c.age)
			got := g.ask(c.path, c.key)
			Expect(got.kind).To(Equal(string(c.kind)))
			if c.status > 0 {
				Expect(got.status).To(Equal(c.status))
			}
		})
	}

	// Story: an instance stands still between the arrival of a request and the
	// moment its bytes leave. Meanwhile the key is taken away. When the
	// instance goes on, the request must not run.
	stale := map[string]func(g *rig){
		"the proof has grown old": func(g *rig) { g.clock.Advance(5000) },
		"the key was taken away": func(g *rig) {
			g.know(func(v *wasabirelay.View) {
				cfg := *v.Config
				cfg.Accounts = nil
				v.Config = &cfg
			})
		},
	}
	for _, name := range slices.Sorted(maps.Keys(stale)) {
		It("are asked for again right before the first byte: "+name, func() {
			var g *rig
			allowed := true
			g = newRig(once, func(_ context.Context, a wasabiridge.Attempt, _ wasabiridge.AttemptSink) wasabiridge.AttemptResult {
				stale[name](g)
				allowed = a.MaySend()
				return wasabiridge.AttemptNotRun
			})
			Expect(g.ask("/x", "k").kind).To(Equal(string(wasabiridge.RefusalNotRun)))
			Expect(allowed).To(BeFalse())
		})
	}
})
