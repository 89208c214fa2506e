package wasabigateway_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabicore"
	"github.com/wasabiridge/wasabiridge/internal/wasabigateway"
	"github.com/wasabiridge/wasabiridge/internal/wasabilimit"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplace"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestGateway(t *testing.T) { wasabitest.Run(t, "gateway") }

const callerKey, limitedKey = "caller-key", "limited-key"

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// testConfig has an engine pool with two servers, a pool of plain services, and
// a pool that the client accounts may not use. The server addresses are
// unreachable.
func testConfig() wasabiridge.Config {
	engine := func(id wasabiridge.BackendServerID) wasabiridge.BackendServer {
		return wasabiridge.BackendServer{ID: id, Kind: wasabiridge.BackendEngine, URL: "http://127.0.0.1:1"}
	}
	service := wasabiridge.BackendServer{ID: "s1", Kind: wasabiridge.BackendService, URL: "http://127.0.0.1:1"}
	spare := wasabiridge.BackendServer{ID: "s2", Kind: wasabiridge.BackendService, URL: "http://127.0.0.1:1"}
	return wasabiridge.Config{
		Version: 1,
		Accounts: []wasabiridge.ClientAccount{
			{ID: "liftwell", KeyHashes: []string{hashOf(callerKey)}, Pools: []wasabiridge.PoolID{"answer", "bookings"}},
			{
				ID: "limited", KeyHashes: []string{hashOf(limitedKey)}, Pools: []wasabiridge.PoolID{"answer", "bookings"},
				Limit: &wasabiridge.AccountLimit{Rate: 0.01, Burst: 4},
			},
		},
		Pools: []wasabiridge.Pool{
			{ID: "answer", Backends: []wasabiridge.BackendServer{engine("e1"), engine("e2")}},
			{ID: "bookings", Backends: []wasabiridge.BackendServer{service, spare}},
			{ID: "foreign", Backends: []wasabiridge.BackendServer{engine("x1")}},
		},
		Rules: []wasabiridge.Rule{
			{ID: "foreign", When: wasabiridge.Condition{Models: []wasabiridge.ModelID{"foreign"}}, Then: wasabiridge.Action{Pool: "foreign"}},
			{ID: "refused", When: wasabiridge.Condition{Models: []wasabiridge.ModelID{"refused"}}, Then: wasabiridge.Action{Refuse: "not in August"}},
			{ID: "once", When: wasabiridge.Condition{Models: []wasabiridge.ModelID{"review"}}, Then: wasabiridge.Action{Pool: "answer", NonIdempotent: true}},
			{ID: "brief", When: wasabiridge.Condition{Models: []wasabiridge.ModelID{"brief"}}, Then: wasabiridge.Action{Pool: "answer", Deadline: 50}},
			{ID: "hedged", When: wasabiridge.Condition{Models: []wasabiridge.ModelID{"hedged"}}, Then: wasabiridge.Action{Pool: "answer", Hedge: true}},
			{ID: "whole", When: wasabiridge.Condition{Models: []wasabiridge.ModelID{"whole"}}, Then: wasabiridge.Action{Pool: "answer", Model: "served"}},
			{ID: "chat", When: wasabiridge.Condition{Path: "/v1/*"}, Then: wasabiridge.Action{Pool: "answer", Retry: true, Resume: true}},
			{ID: "booking", When: wasabiridge.Condition{Path: "/bookings"}, Then: wasabiridge.Action{Pool: "bookings", NonIdempotent: true}},
			{ID: "catalogue", When: wasabiridge.Condition{Path: "/catalogue/*"}, Then: wasabiridge.Action{Pool: "bookings", Retry: true}},
		},
	}
}

// script simulates the backend servers. The attempt number n starts at 1.
type script func(ctx context.Context, n int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded

// runner is an AttemptRunner that runs a script and records the attempts. It is
// safe for concurrent use.
type runner struct {
	mu       sync.Mutex
	play     script
	attempts []wasabiridge.Attempt
}

func (r *runner) Run(ctx context.Context, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	n := len(r.attempts)
	play := r.play
	r.mu.Unlock()
	return play(ctx, n, a, sink)
}

func (r *runner) set(play script) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.play, r.attempts = play, nil
}

func (r *runner) seen() []wasabiridge.Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]wasabiridge.Attempt(nil), r.attempts...)
}

// claims is an in-memory Claimer. It is safe for concurrent use.
type claims struct {
	mu    sync.Mutex
	state map[string]wasabiridge.ClaimOutcome
	ends  []wasabiridge.ClaimResult
	fail  error
}

func (c *claims) Claim(_ context.Context, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fail != nil {
		return wasabiridge.ClaimOutcome{}, c.fail
	}
	if known, ok := c.state[q.Key]; ok {
		return known, nil
	}
	c.state[q.Key] = wasabiridge.ClaimOutcome{State: wasabiridge.ClaimRunning}
	return wasabiridge.ClaimOutcome{}, nil
}

func (c *claims) Finish(_ context.Context, r wasabiridge.ClaimResult) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = append(c.ends, r)
	switch r.Disposition {
	case wasabiridge.NotRun:
		delete(c.state, r.Query.Key)
	case wasabiridge.MaybeRun:
		c.state[r.Query.Key] = wasabiridge.ClaimOutcome{State: wasabiridge.ClaimUnknown}
	default:
		c.state[r.Query.Key] = wasabiridge.ClaimOutcome{State: wasabiridge.ClaimAnswered, Answer: r.Answer}
	}
	return nil
}

func (c *claims) Ticket(wasabiridge.ClientAccountID) string { return "ticket" }

func (c *claims) finished() []wasabiridge.ClaimResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]wasabiridge.ClaimResult(nil), c.ends...)
}

// rig is a gateway with a real decision loop and simulated backend servers.
type rig struct {
	runner  *runner
	claims  *claims
	gateway *wasabigateway.Gateway
	server  *httptest.Server
	log     *gbytes.Buffer
}

// testingT is the subset of testing.TB that a rig needs.
type testingT interface{ Cleanup(func()) }

func newRig(t testingT, change func(*wasabigateway.Options)) *rig {
	cfg := testConfig()
	clock := wasabiclock.System()
	core := wasabicore.New(wasabicore.Options{
		Placer:      wasabiplace.New(wasabiplace.Options{Seed: wasabitest.Seed}),
		Limiter:     wasabilimit.New(wasabilimit.Options{Instances: 1}),
		MaxAttempts: 8,
		Quota:       wasabiquota.New(wasabiquota.Options{Started: clock.Now(), Alone: true}),
	})
	loop := wasabiloop.New(wasabiloop.Options{Decider: core, Clock: clock})
	loop.Post(wasabiridge.ConfigAdopted{Config: cfg})
	r := &rig{runner: &runner{}, claims: &claims{state: map[string]wasabiridge.ClaimOutcome{}}, log: gbytes.NewBuffer()}
	o := wasabigateway.Options{
		Instance: "pos-1", Incarnation: 7, Clock: clock, Loop: loop, Runner: r.runner,
		Config:  func() *wasabiridge.Config { return &cfg },
		Claimer: r.claims,
		Log:     zerolog.New(r.log),
		Limits:  wasabisettings.Limits{BodyBytes: 4096, HeaderBytes: 2048},
	}
	if change != nil {
		change(&o)
	}
	r.gateway = wasabigateway.New(o)
	r.server = httptest.NewServer(r.gateway)
	t.Cleanup(func() {
		r.server.Close()
		r.gateway.Wait()
		loop.Close()
	})
	return r
}

func specRig(change func(*wasabigateway.Options)) *rig {
	return newRig(GinkgoT(), change)
}

// call is one request of a caller.
type call struct {
	method, path, key, body string
	header                  map[string]string
}

func (c call) request(base string) *http.Request {
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.path == "" {
		c.path = "/v1/chat/completions"
	}
	if c.key == "" {
		c.key = callerKey
	}
	req, err := http.NewRequest(c.method, base+c.path, strings.NewReader(c.body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	return req
}

// reply is an answer as its caller received it.
type reply struct {
	status int
	header http.Header
	text   string
	// readErr is set when the answer did not end cleanly.
	readErr error
}

func (r reply) code() string {
	var e struct {
		Error struct{ Code, Type, Message, Disposition string }
	}
	if err := json.Unmarshal([]byte(r.text), &e); err != nil {
		return "not JSON: " + r.text
	}
	return e.Error.Code
}

func (r *rig) do(c call) reply {
	return r.doThen(c, func() {})
}

// doThen calls opened once the caller has received the status and header.
func (r *rig) doThen(c call, opened func()) reply {
	resp, err := r.server.Client().Do(c.request(r.server.URL))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	opened()
	text, readErr := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, text: string(text), readErr: readErr}
}

var streamHeader = http.Header{"Content-Type": {"text/event-stream"}}

// stream sends the tokens from the resume position up to end. It stops when the
// sink returns an error.
func stream(a wasabiridge.Attempt, sink wasabiridge.AttemptSink, end int) error {
	sink.Sent()
	if err := sink.Head(http.StatusOK, streamHeader.Clone()); err != nil {
		return err
	}
	if err := sink.Chunk(0, []byte(`{"role":"assistant"}`)); err != nil {
		return err
	}
	for i := a.ResumeFrom; i < end; i++ {
		if err := sink.Chunk(1, []byte(token(i))); err != nil {
			return err
		}
	}
	return nil
}

// breakAfterThreeTokens sends three tokens in the first attempt and ends it
// once opened is closed. Further attempts end at once.
func breakAfterThreeTokens(result wasabiridge.AttemptResult, opened <-chan struct{}) script {
	return func(_ context.Context, n int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
		if n == 1 {
			_ = stream(a, sink, 3)
			<-opened
		}
		return end(result)
	}
}

func token(i int) string { return fmt.Sprintf(`{"token":%d}`, i) }

func end(result wasabiridge.AttemptResult) wasabiridge.AttemptEnded {
	return wasabiridge.AttemptEnded{Result: result, Usage: wasabiridge.Usage{Weights: 3}}
}

// respondWith answers with a single body.
func respondWith(status int, text string) script {
	return func(_ context.Context, _ int, _ wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
		sink.Sent()
		_ = sink.Head(status, http.Header{"Content-Type": {"application/json"}})
		_ = sink.Chunk(0, []byte(text))
		return end(wasabiridge.AttemptCompleted)
	}
}

// events returns the payloads of an event stream.
func events(text string) []string {
	var all []string
	for _, line := range strings.Split(text, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			all = append(all, data)
		}
	}
	return all
}

// completeStream returns the payloads that a caller must receive of a stream
// with n tokens.
func completeStream(n int) []string {
	all := []string{`{"role":"assistant"}`}
	for i := range n {
		all = append(all, token(i))
	}
	return append(all, "[DONE]")
}

const chatStream = `{"model":"m","stream":true,"messages":[{"role":"user","content":"Code 17?"}]}`
