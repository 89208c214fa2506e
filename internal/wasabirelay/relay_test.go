package wasabirelay_test

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
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

// scriptedAttempt plays the part of the backend server in one attempt.
type scriptedAttempt func(ctx context.Context, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptResult

// runner runs scripted attempts in order, and repeats the last one.
type runner struct {
	mu       sync.Mutex
	script   []scriptedAttempt
	attempts []wasabiridge.Attempt
	// framing is that of all responses, and malformed the event that ends each broken one.
	framing   wasabiridge.Framing
	malformed wasabiridge.MalformedEvent
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
	end := wasabiridge.AttemptEnded{Request: a.Request, Attempt: a.ID, Backend: a.Backend.ID, Result: result, Framing: r.framing, Delivered: counted.delivered}
	if result == wasabiridge.AttemptBroken {
		end.Malformed = r.malformed
	}
	return end
}

type countingSink struct {
	wasabiridge.AttemptSink
	delivered int
}

func (s *countingSink) Chunk(n int, data []byte) error {
	s.delivered += n
	return s.AttemptSink.Chunk(n, data)
}

// protocol is a caller protocol that uses plain headers.
type protocol struct{}

func (protocol) Read(r *http.Request) (wasabiridge.CallerRequest, error) {
	out := wasabiridge.CallerRequest{ID: wasabiridge.RequestID(r.Header.Get("Id")), Key: r.Header.Get("Key"), Timeout: 2000}
	if text := r.Header.Get("Timeout-Ms"); text != "" {
		timeout, err := strconv.Atoi(text)
		if err != nil {
			return out, err
		}
		out.Timeout = wasabiridge.Millis(timeout)
	}
	return out, nil
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

// rig is a test setup: a relay with scripted backend servers.
type rig struct {
	runner *runner
	server *httptest.Server
	mu     sync.Mutex
	view   wasabirelay.View
	clock  *wasabiclock.Virtual
	relay  *wasabirelay.Relay
	mover  moverOf
	check  *fixedVerdict
	loop   *wasabiloop.Loop
	detour *detour
	// shutdown is that of the relay.
	shutdown wasabirelay.Shutdown
	// timeout is the time limit of callers. Zero means 2 s.
	timeout wasabiridge.Millis
	// stated are the servers that have stated that they accept no requests.
	stated map[wasabiridge.BackendServerID]bool
}

// fixedVerdict is a quarantine that returns the same verdict for every request.
type fixedVerdict struct{ verdict wasabiridge.QuarantineVerdict }

func (v *fixedVerdict) Check(wasabiridge.Millis, wasabiridge.Request) wasabiridge.QuarantineVerdict {
	return v.verdict
}

func (*fixedVerdict) Sent(wasabiridge.Millis, wasabiridge.Request, wasabiridge.AttemptID, wasabiridge.BackendServer) {
}
func (*fixedVerdict) Observe(wasabiridge.Millis, wasabiridge.Event) {}

// moverOf forwards moves to the mover that a test sets.
type moverOf struct{ wasabiridge.RequestMigrator }

// move sets the mover of the relay.
func (g *rig) move(m wasabiridge.RequestMigrator) { g.mover.RequestMigrator = m }

// first returns the first attempt.
func (g *rig) first() wasabiridge.Attempt {
	g.runner.mu.Lock()
	defer g.runner.mu.Unlock()
	return g.runner.attempts[0]
}

func newRig(then wasabiridge.Action, script ...scriptedAttempt) *rig {
	// The deadlines of the relay are timers of the real clock. Only the age of the
	// configuration depends on the virtual clock, which the test advances.
	g := &rig{runner: &runner{script: script}, clock: wasabiclock.NewVirtual(1e6), check: &fixedVerdict{}, detour: &detour{}}
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
	g.view = wasabirelay.View{Config: cfg, ConfirmedAt: g.clock.Now()}
	placer := wasabireplica.New(wasabireplica.Options{Seed: 1, RetrySlack: 100})
	// An instance that has run for long has its share of the retry budget.
	placer.Observe(g.clock.Now()-2*wasabiridge.Minute, wasabiridge.Ticked{})
	core := wasabicore.New(wasabicore.Options{Placer: placer, Limiter: wasabireplica.NewLimiter(placer), Quarantine: g.check})
	loop := wasabiloop.New(wasabiloop.Options{Decider: core, Clock: g.clock})
	DeferCleanup(loop.Close)
	loop.Post(wasabiridge.ConfigAdopted{Config: *cfg})
	g.loop = loop
	g.relay = wasabirelay.New(wasabirelay.Options{
		Clock: g.clock, Loop: loop, Runner: g.runner, Protocol: protocol{}, View: g.seen, Mover: &g.mover,
		MaxKeyAge:  func() wasabiridge.Millis { return 4000 },
		MaxDenyAge: func() wasabiridge.Millis { return 1500 },
		Accepts:    g.accepts, Detour: g.detour, Shutdown: g.shutdownTimes,
	})
	g.server = httptest.NewServer(g.relay)
	DeferCleanup(g.server.Close)
	return g
}

// accepts reports whether a server accepts requests, by the stated ones of the rig.
func (g *rig) accepts(b wasabiridge.BackendServer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.stated[b.ID]
}

func (g *rig) shutdownTimes() wasabirelay.Shutdown {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shutdown
}

func (g *rig) seen() wasabirelay.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view
}

func (g *rig) setView(change func(v *wasabirelay.View)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.view)
}

// answer is the response that a caller received. If err is set, it is incomplete.
type answer struct {
	status int
	kind   string
	back   string
	body   string
	err    error
}

func (g *rig) send(path, key string) answer {
	r, err := http.NewRequest(http.MethodPost, g.server.URL+path, strings.NewReader("question"))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", key)
	if g.timeout > 0 {
		r.Header.Set("Timeout-Ms", strconv.Itoa(int(g.timeout)))
	}
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

// answers returns a scripted attempt with a complete answer.
func answers(status int, body string) scriptedAttempt {
	return func(_ context.Context, _ wasabiridge.Attempt, s wasabiridge.AttemptSink) wasabiridge.AttemptResult {
		s.Sent()
		if s.Head(status, http.Header{}) != nil || s.Chunk(0, []byte(body)) != nil {
			return wasabiridge.AttemptBroken
		}
		return wasabiridge.AttemptCompleted
	}
}

// streams returns a scripted attempt that streams events and ends with result.
func streams(result wasabiridge.AttemptResult, events ...string) scriptedAttempt {
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

// marked returns a scripted attempt whose response begins with a byte order mark.
func marked(attempt scriptedAttempt) scriptedAttempt {
	return func(ctx context.Context, a wasabiridge.Attempt, s wasabiridge.AttemptSink) wasabiridge.AttemptResult {
		return attempt(ctx, a, &markingSink{AttemptSink: s})
	}
}

// markingSink puts a byte order mark before the first chunk of a response.
type markingSink struct {
	wasabiridge.AttemptSink
	begun bool
}

func (s *markingSink) Chunk(n int, data []byte) error {
	if !s.begun {
		s.begun, data = true, append([]byte("\xef\xbb\xbf"), data...)
	}
	return s.AttemptSink.Chunk(n, data)
}

// sentAnd returns a scripted attempt that is sent, gets no answer and ends with result.
func sentAnd(result wasabiridge.AttemptResult) scriptedAttempt {
	return func(_ context.Context, _ wasabiridge.Attempt, s wasabiridge.AttemptSink) wasabiridge.AttemptResult {
		s.Sent()
		return result
	}
}

// unsent is a scripted attempt that fails before its first byte is sent.
func unsent(context.Context, wasabiridge.Attempt, wasabiridge.AttemptSink) wasabiridge.AttemptResult {
	return wasabiridge.AttemptNotRun
}

// hangs is a scripted attempt that is sent and gets no answer until it is cancelled.
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
		script   []scriptedAttempt
		status   int
		kind     wasabiridge.RefusalKind
		body     string
		attempts int
		cut      bool
	}{
		"answered":                   {then: once, script: []scriptedAttempt{answers(200, "ok")}, status: 200, body: "ok", attempts: 1},
		"once, server error":         {then: once, script: []scriptedAttempt{answers(500, "no")}, status: 500, body: "no", attempts: 1},
		"once, broken after sending": {then: once, script: []scriptedAttempt{sentAnd(wasabiridge.AttemptBroken), answers(200, "second")}, kind: wasabiridge.RefusalBroken, attempts: 1},
		"once, not run by the first server, then answered": {then: once, script: []scriptedAttempt{sentAnd(wasabiridge.AttemptNotRun), answers(200, "ok")}, status: 200, body: "ok", attempts: 2},
		"once, not sent to any server":                     {then: once, script: []scriptedAttempt{unsent}, kind: wasabiridge.RefusalNotRun, attempts: 3},
		"safe, broken, then answered":                      {then: safe, script: []scriptedAttempt{sentAnd(wasabiridge.AttemptBroken), answers(200, "ok")}, status: 200, body: "ok", attempts: 2},
		"safe, broken in every allowed attempt":            {then: safe, script: []scriptedAttempt{sentAnd(wasabiridge.AttemptBroken)}, kind: wasabiridge.RefusalBroken, attempts: 2},
		"safe, server error, then success":                 {then: safe, script: []scriptedAttempt{answers(500, "no"), answers(200, "ok")}, status: 200, body: "ok", attempts: 2},
		"safe, two server errors":                          {then: safe, script: []scriptedAttempt{answers(500, "one"), answers(503, "two")}, status: 503, body: "two", attempts: 2},
		"safe, server error, then broken":                  {then: safe, script: []scriptedAttempt{answers(500, "one"), sentAnd(wasabiridge.AttemptBroken)}, kind: wasabiridge.RefusalBroken, attempts: 2},
		"a complete stream":                                {then: stream, script: []scriptedAttempt{streams(wasabiridge.AttemptCompleted, "1", "2")}, status: 200, body: "id:1 \n\nid:2 \n\n", attempts: 1},
		"a stream that is resumed at another server":       {then: stream, script: []scriptedAttempt{streams(wasabiridge.AttemptBroken, "1"), streams(wasabiridge.AttemptCompleted, "2", "3")}, status: 200, body: "id:1 \n\nid:2 \n\nid:3 \n\n", attempts: 2},
		"a stream that breaks twice is aborted":            {then: stream, script: []scriptedAttempt{streams(wasabiridge.AttemptBroken, "1")}, status: 200, attempts: 2, cut: true},
		"a stream that may not be resumed is aborted":      {then: once, script: []scriptedAttempt{streams(wasabiridge.AttemptBroken, "1")}, status: 200, attempts: 1, cut: true},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		c := cases[name]
		It("is retried, resumed or refused as its rule allows: "+name, func() {
			g := newRig(c.then, c.script...)
			got := g.send("/open/x", "")
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

	// Guards against a byte order mark in the middle of a caller's stream, which makes its reader
	// overlook the id of the next event.
	It("that is resumed has no byte order mark within its stream", func() {
		for _, before := range []string{"1", "\xef\xbb\xbf1"} {
			begin := streams(wasabiridge.AttemptBroken, before)
			g := newRig(stream, begin, marked(streams(wasabiridge.AttemptCompleted, "2", "3")))
			Expect(g.send("/open/x", "").body).To(Equal("id:" + before + " \n\nid:2 \n\nid:3 \n\n"))
		}
	})

	It("that is resumed states the last event and the number of events received", func() {
		g := newRig(stream, streams(wasabiridge.AttemptBroken, "1", "7"), streams(wasabiridge.AttemptCompleted, "8"))
		Expect(g.send("/open/x", "").body).To(HaveSuffix("id:8 \n\n"))
		Expect(g.runner.attempts[1].LastEvent).To(Equal("7"))
		Expect(g.runner.attempts[1].ResumeFrom).To(Equal(2))
		Expect(g.runner.attempts[1].Backend.ID).NotTo(Equal(g.runner.attempts[0].Backend.ID))
	})

	// Servers terminated while running a request, so the quarantine blocks it. With a
	// Retry-After time its caller would send it again and be refused each time.
	It("that is blocked by the quarantine gets no Retry-After time", func() {
		g := newRig(wasabiridge.Action{}, answers(200, "ok"))
		g.check.verdict = wasabiridge.QuarantineBlocked
		got := g.send("/x", "k")
		Expect(got.kind).To(Equal(string(wasabiridge.RefusalNotRun)))
		Expect(got.back).To(BeEmpty())
		Expect(g.attempts()).To(BeZero())
	})

	// Callers wait for at most a third of their remaining time. A longer Retry-After
	// time would make them give up.
	It("that is refused may be retried within a third of its time limit", func() {
		g := newRig(once, unsent)
		back, err := time.ParseDuration(g.send("/open/x", "").back)
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(BeNumerically(">", 0))
		Expect(back).To(BeNumerically("<=", 2*time.Second/3))
	})

	// The platform does not respond after a restart of all instances. Callers that
	// retry immediately are refused a second time and give up, moments before the
	// platform responds again.
	It("that is refused during a platform outage is retried the later, the longer the outage has lasted", func() {
		g := newRig(once)
		waits := map[string]func(){
			"the key's proof": func() {},
			"a configuration": func() { g.view.Config = &wasabiridge.Config{} },
		}
		for _, name := range wasabitest.SortedKeys(waits) {
			waits[name]()
			g.clock.Advance(6 * wasabiridge.Second)
			for range 10 {
				back, err := time.ParseDuration(g.send("/x", "key").back)
				Expect(err).NotTo(HaveOccurred(), name)
				Expect(back).To(BeNumerically(">=", 500*time.Millisecond), name)
				Expect(back).To(BeNumerically("<=", 2*time.Second/3), name)
			}
		}
	})

	It("that arrives right after the start may be retried soon", func() {
		g := newRig(once)
		g.view.Config = &wasabiridge.Config{}
		back, err := time.ParseDuration(g.send("/x", "key").back)
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
		It("that exceeds the time limit of its rule is refused with a time-out: "+name, func() {
			c := timeouts[name]
			c.then.Timeout = 120
			g := newRig(c.then, hangs)
			Expect(g.send("/open/x", "").kind).To(Equal(string(c.kind)))
		})
	}

	It("whose caller disconnects is cancelled at its server", func() {
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
		"known and fresh":                     {path: "/x", key: "k", status: 200},
		"known, confirmation nearly too old":  {path: "/x", key: "k", age: 4000, status: 200},
		"known, confirmation too old":         {path: "/x", key: "k", age: 4001, kind: wasabiridge.RefusalNotRun},
		"unknown":                             {path: "/x", key: "z", kind: wasabiridge.RefusalNoKey},
		"unknown to an old configuration":     {path: "/x", key: "z", age: 1600, kind: wasabiridge.RefusalNotRun},
		"none":                                {path: "/x", kind: wasabiridge.RefusalNoKey},
		"none where none is needed, very old": {path: "/open/x", age: 99999, status: 200},
		"no rule in a fresh configuration":    {path: "x", kind: wasabiridge.RefusalNoRule},
		"no rule in an old configuration":     {path: "x", age: 1600, kind: wasabiridge.RefusalNotRun},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		c := cases[name]
		It("determine whether a request is accepted: "+name, func() {
			g := newKeyed()
			if c.path == "x" {
				g.setView(func(v *wasabirelay.View) {
					cfg := *v.Config
					cfg.Rules = cfg.Rules[:1]
					v.Config = &cfg
				})
				c.path = "/x"
			}
			g.clock.Advance(c.age)
			got := g.send(c.path, c.key)
			Expect(got.kind).To(Equal(string(c.kind)))
			if c.status > 0 {
				Expect(got.status).To(Equal(c.status))
			}
		})
	}

	policies := map[string]struct {
		policy    wasabiridge.KeyPolicy
		path, key string
		status    int
		kind      wasabiridge.RefusalKind
	}{
		"none are required":                          {policy: wasabiridge.KeysNone, path: "/x", status: 200},
		"none are required, one is given":            {policy: wasabiridge.KeysNone, path: "/x", key: "z", status: 200},
		"all are revoked":                            {policy: wasabiridge.KeysRequired, path: "/x", key: "k", kind: wasabiridge.RefusalNoKey},
		"all are revoked, none is given":             {policy: wasabiridge.KeysRequired, path: "/x", kind: wasabiridge.RefusalNoKey},
		"all are revoked, the rule is anonymous":     {policy: wasabiridge.KeysRequired, path: "/open/x", status: 200},
		"it is not known whether they are required":  {path: "/x", key: "k", kind: wasabiridge.RefusalNotRun},
		"it is not known, none is given":             {path: "/x", kind: wasabiridge.RefusalNotRun},
		"it is not known, and the rule is anonymous": {path: "/open/x", status: 200},
	}
	for _, name := range slices.Sorted(maps.Keys(policies)) {
		c := policies[name]

		// Guards against an installation that serves everyone after its last account is
		// removed.
		It("are required as the configuration without accounts says: "+name, func() {
			g := newKeyed()
			g.setView(func(v *wasabirelay.View) {
				cfg := *v.Config
				cfg.Accounts, cfg.Keys = nil, c.policy
				v.Config = &cfg
			})
			got := g.send(c.path, c.key)
			Expect(got.kind).To(Equal(string(c.kind)))
			if c.status > 0 {
				Expect(got.status).To(Equal(c.status))
			}
		})
	}

	// An instance is paused between the arrival of a request and the sending of its
	// first byte, and the key is revoked meanwhile. When the instance resumes, it must
	// not send the request.
	stale := map[string]func(g *rig){
		"the confirmation is too old": func(g *rig) { g.clock.Advance(5000) },
		"the key was revoked": func(g *rig) {
			g.setView(func(v *wasabirelay.View) {
				cfg := *v.Config
				cfg.Accounts = nil
				v.Config = &cfg
			})
		},
	}
	for _, name := range slices.Sorted(maps.Keys(stale)) {
		It("are checked again right before the first byte is sent: "+name, func() {
			var g *rig
			allowed := true
			g = newRig(once, func(_ context.Context, a wasabiridge.Attempt, _ wasabiridge.AttemptSink) wasabiridge.AttemptResult {
				stale[name](g)
				allowed = a.MaySend()
				return wasabiridge.AttemptNotRun
			})
			Expect(g.send("/x", "k").kind).To(Equal(string(wasabiridge.RefusalNotRun)))
			Expect(allowed).To(BeFalse())
		})
	}
})

// Guards against a request that reaches a server although the server has stated, after the
// request was placed there, that it accepts none.
var _ = Describe("A request that waits to be sent", func() {
	It("goes to another server without a charge to the retry budget", func() {
		var g *rig
		var tried []wasabiridge.BackendServerID
		attempt := func(_ context.Context, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptResult {
			if len(tried) == 0 {
				g.mu.Lock()
				g.stated = map[wasabiridge.BackendServerID]bool{a.Backend.ID: true}
				g.mu.Unlock()
			}
			tried = append(tried, a.Backend.ID)
			if !a.MaySend() {
				return wasabiridge.AttemptNotRun
			}
			sink.Sent()
			Expect(sink.Head(http.StatusOK, http.Header{})).To(Succeed())
			Expect(sink.Chunk(0, []byte("yes"))).To(Succeed())
			return wasabiridge.AttemptCompleted
		}
		g = newRig(wasabiridge.Action{NonIdempotent: true, Attempts: 1}, attempt, attempt)
		got := g.send("/open/x", "")
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal("yes"))
		Expect(tried).To(HaveLen(2))
		Expect(tried[0]).NotTo(Equal(tried[1]))
	})
})

// Guards against callers that all return at the same time when no server accepts requests
// for longer than any of them can wait.
var _ = Describe("Callers of servers that have all requested a pause", func() {
	It("are refused as not run, with times that differ and that they can wait", func() {
		g := newRig(wasabiridge.Action{NonIdempotent: true, Attempts: 1})
		for _, id := range []wasabiridge.BackendServerID{"s1", "s2", "s3"} {
			g.loop.Post(wasabiridge.PauseRequested{Backend: id, Duration: wasabiridge.Minute})
		}
		times := map[string]bool{}
		for range 20 {
			got := g.send("/open/x", "")
			Expect(got.kind).To(Equal(string(wasabiridge.RefusalNotRun)))
			back, err := time.ParseDuration(got.back)
			Expect(err).NotTo(HaveOccurred())
			Expect(back).To(And(BeNumerically(">", 0), BeNumerically("<=", 10*time.Second)), "a third of the caller's 30 s")
			times[got.back] = true
		}
		Expect(len(times)).To(BeNumerically(">", 10))
	})
})
