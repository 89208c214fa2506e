package wasabiclaim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclaim"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

const (
	historySeeds = 60
	historyKeys  = 24
	historySpan  = 90 * time.Second
)

// operation is the input of one entry of a history: a claim with a key, or a run of
// its request.
type operation struct {
	key int
	run bool
}

// observation is the output of an operation: the outcome that the caller received, or
// the token of the run.
type observation struct {
	state wasabiridge.ClaimState
	token string
}

// keyState is the state of one key in the model: the token of its run, empty before.
type keyState struct{ token string }

// claimModel specifies the outcomes that callers may receive for one key. Its request
// runs at most once, a claim is granted or refused as "not run" only before that run,
// and an answer is the one of that run. "Still running" and "outcome unknown" are
// allowed in any state.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make([][]porcupine.Operation, historyKeys)
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		return byKey
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, out := state.(keyState), output.(observation)
		if input.(operation).run {
			return s.token == "", keyState{token: out.token}
		}
		switch out.state {
		case wasabiridge.ClaimGranted, wasabiridge.ClaimUnavailable:
			return s.token == "", s
		case wasabiridge.ClaimAnswered:
			return s.token != "" && s.token == out.token, s
		default:
			return out.state != wasabiridge.ClaimMismatch, s
		}
	},
}

// history is one simulation of a few instances under faults, with the operations that
// it recorded.
type history struct {
	seed uint64
	// sendUnknown plants the fault that the checker must detect: requests whose outcome
	// is unknown are sent.
	sendUnknown bool
	net         *network
	table       *wasabitable.Memory
	clock       wasabiridge.Clock
	// time is the logical time of the recorded operations.
	time atomic.Int64

	mu          sync.Mutex
	rng         *rand.Rand
	ops         []porcupine.Operation
	counts      map[wasabiridge.ClaimState]int
	runs        int
	incarnation wasabiridge.Incarnation
}

// router is one incarnation of an instance.
type router struct {
	id         string
	controller *wasabiclaim.Controller
	ctx        context.Context
	crash      context.CancelFunc
	done       chan struct{}
}

// skewed is a clock with a constant offset that jumps ahead by one hour at jumpAt.
type skewed struct {
	wasabiridge.Clock
	offset wasabiridge.Millis
	jumpAt wasabiridge.Millis
}

func (s skewed) Now() wasabiridge.Millis {
	now := s.Clock.Now()
	if now >= s.jumpAt {
		now += wasabiridge.Hour
	}
	return now + s.offset
}

func (h *history) chance(p float64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rng.Float64() < p
}

// span returns a random duration in [0, limit).
func (h *history) span(limit time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.rng.Int64N(int64(limit)))
}

func (h *history) add(call int64, in operation, out observation) {
	end := h.time.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	if in.run {
		h.runs++
	} else {
		h.counts[out.state]++
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: len(h.ops), Input: in, Call: call, Output: out, Return: end})
}

func (h *history) boot(id string) *router {
	h.mu.Lock()
	h.incarnation++
	incarnation := h.incarnation
	offset := wasabiridge.Millis(h.rng.Int64N(int64(20 * wasabiridge.Minute)))
	jump := h.clock.Now() + wasabiridge.Millis(h.rng.Int64N(int64(5*wasabiridge.Minute)))
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	r := &router{id: id, ctx: ctx, crash: cancel, done: make(chan struct{})}
	r.controller = wasabiclaim.New(wasabiclaim.Options{
		Self: wasabiridge.InstanceID(id), Incarnation: incarnation, Secret: []byte("secret"), Table: h.table, Peers: h.net,
		Clock:         skewed{Clock: h.clock, offset: offset, jumpAt: jump},
		PeerAddress:   func(i wasabiridge.InstanceID) (string, bool) { return string(i), true },
		InstanceCount: func() int { return 3 },
		Limits:        wasabiclaim.Limits{MaxCachedAnswers: 4, MaxUnsettled: 6},
	})
	go func() {
		defer close(r.done)
		r.controller.Run(ctx)
	}()
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.net.controllers[id] = r.controller
	return r
}

func (h *history) kill(r *router) {
	h.net.mu.Lock()
	delete(h.net.controllers, r.id)
	h.net.mu.Unlock()
	r.crash()
	<-r.done
}

// serve handles one request of a caller at a router. It returns when the caller has
// its response.
func (h *history) serve(r *router, key int, text, request string) {
	ctx, cancel := context.WithTimeout(r.ctx, time.Second+h.span(4*time.Second))
	defer cancel()
	q := wasabiridge.ClaimQuery{Account: "lifts", Key: text, Request: wasabiridge.RequestID(request), Digest: 7}
	call := h.time.Add(1)
	out, err := r.controller.Claim(ctx, q)
	if r.ctx.Err() != nil || err != nil {
		return // The instance crashed; the caller received no response.
	}
	h.add(call, operation{key: key}, observation{state: out.State, token: string(out.Answer.Body)})
	if out.State == wasabiridge.ClaimGranted {
		h.execute(r, key, q)
		return
	}
	if h.sendUnknown && out.NotSent && h.chance(0.5) {
		// The planted fault: "outcome unknown" is treated as "not run".
		h.add(h.time.Add(1), operation{key: key, run: true}, observation{token: request})
	}
}

// execute sends a granted request, possibly after a pause or a crash, or in a race
// with its end as "not run".
func (h *history) execute(r *router, key int, q wasabiridge.ClaimQuery) {
	if h.chance(0.3) {
		time.Sleep(h.span(40 * time.Second))
	}
	if h.chance(0.15) {
		go func() {
			time.Sleep(h.span(3 * time.Millisecond))
			_ = r.controller.Finish(r.ctx, wasabiridge.ClaimResult{Query: q, Disposition: wasabiridge.NotRun})
		}()
		time.Sleep(h.span(3 * time.Millisecond))
	}
	if r.ctx.Err() != nil || r.controller.BeginSend(q.Request) != nil {
		return
	}
	call := h.time.Add(1)
	if h.chance(0.1) {
		r.controller.RecordNotRun(q.Request)
		_ = r.controller.Finish(r.ctx, wasabiridge.ClaimResult{Query: q, Disposition: wasabiridge.NotRun})
		return
	}
	time.Sleep(h.span(200 * time.Millisecond))
	token := string(q.Request)
	h.add(call, operation{key: key, run: true}, observation{token: token})
	time.Sleep(h.span(3 * time.Second))
	if r.ctx.Err() != nil {
		return
	}
	result := wasabiridge.ClaimResult{Query: q, Disposition: wasabiridge.Ran, Answer: wasabiridge.Answer{Body: []byte(token)}}
	if h.chance(0.2) {
		result.Disposition = wasabiridge.MaybeRun
	}
	_ = r.controller.Finish(r.ctx, result)
}

// caller sends a request with one key several times, at once or late, to one router
// or several.
func (h *history) caller(key int, pick func() *router) {
	text := fmt.Sprintf("visit %d", key)
	time.Sleep(h.span(historySpan / 2))
	if key%2 == 0 {
		text = pick().controller.Ticket("lifts")
	}
	var wg sync.WaitGroup
	for i := range 6 {
		if h.chance(0.6) {
			time.Sleep(h.span(historySpan / 6))
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.serve(pick(), key, text, fmt.Sprintf("k%d-%d", key, i))
		}()
	}
	wg.Wait()
}

// faults returns the fault plan of the table: the fractions of calls that fail, and an
// outage of 15 s.
func faults(seed uint64) wasabifault.Plan {
	plan := wasabifault.Plan{
		Seed: seed, Unavailable: 0.05, LostRequest: 0.05, LostAnswer: 0.1, LateEffect: 0.1,
		MaxEffectDelay: 20 * wasabiridge.Second, DelayMin: 1, DelayMax: 120,
	}
	from := wasabiridge.MillisAt(time.Now()) + 20*wasabiridge.Second
	return plan.WithWindows(wasabifault.Outage(from, from+15*wasabiridge.Second))
}

func runHistory(seed uint64, sendUnknown bool) *history {
	clock := wasabiclock.System()
	h := &history{
		seed: seed, sendUnknown: sendUnknown, clock: clock,
		table:  wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock, Plan: faults(seed)}),
		net:    &network{controllers: map[string]*wasabiclaim.Controller{}},
		rng:    rand.New(rand.NewPCG(seed, 1)),
		counts: map[wasabiridge.ClaimState]int{},
	}
	netRNG := rand.New(rand.NewPCG(seed, 2))
	h.net.nextFault = func() callFault {
		f := callFault{delay: time.Duration(netRNG.Int64N(int64(80 * time.Millisecond)))}
		f.lostCall, f.lostAnswer = netRNG.Float64() < 0.1, netRNG.Float64() < 0.2
		if netRNG.Float64() < 0.2 {
			f.lateCopy = time.Duration(netRNG.Int64N(int64(10*time.Second))) + 1
		}
		return f
	}
	// A channel guards the list, not a mutex: a killed instance takes time to end,
	// and in a synctest bubble time does not advance while a goroutine waits for a
	// mutex.
	guard := make(chan struct{}, 1)
	routers := []*router{h.boot("a"), h.boot("b"), h.boot("c")}
	pick := func() *router {
		guard <- struct{}{}
		defer func() { <-guard }()
		return routers[h.span(time.Duration(len(routers)))]
	}
	stop := make(chan struct{})
	go func() { // Instances crash and restart, one after the other.
		for i := 0; ; i = (i + 1) % len(routers) {
			select {
			case <-stop:
				return
			case <-time.After(h.span(40 * time.Second)):
			}
			guard <- struct{}{}
			h.kill(routers[i])
			routers[i] = h.boot(routers[i].id)
			<-guard
		}
	}()
	var wg sync.WaitGroup
	for key := range historyKeys {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.caller(key, pick)
		}()
	}
	wg.Wait()
	close(stop)
	time.Sleep(time.Minute) // Late writes and copies of calls arrive.
	for _, r := range routers {
		h.kill(r)
	}
	return h
}

func (h *history) check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(claimModel, h.ops, time.Minute)
}

// Guards against a non-idempotent request that runs twice, and against "not run" for a
// request that ran. Responses get lost, instances crash and pause, the table is down for
// a while, and callers repeat their requests at once and late, at one instance or
// several.
func TestHistoriesRunAtMostOnce(t *testing.T) {
	total := map[wasabiridge.ClaimState]int{}
	runs := 0
	for i := range historySeeds {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h := runHistory(wasabitest.Seed+uint64(i), false)
			g.Expect(h.check()).To(Equal(porcupine.Ok), "seed %d", h.seed)
			runs += h.runs
			for state, n := range h.counts {
				total[state] += n
			}
		})
	}
	g := NewWithT(t)
	g.Expect(runs).To(BeNumerically(">", historySeeds*historyKeys/2), "too few requests ran for the histories to be meaningful")
	for _, state := range []wasabiridge.ClaimState{
		wasabiridge.ClaimGranted, wasabiridge.ClaimRunning, wasabiridge.ClaimAnswered, wasabiridge.ClaimUnknown,
	} {
		g.Expect(total[state]).To(BeNumerically(">", historySeeds), "state %d", state)
	}
	t.Logf("%d histories, %d runs, answers by state %v", historySeeds, runs, total)
}

// Guards against a checker that accepts every history. Routers that send requests whose
// outcome is unknown run some of them twice, and the checker must detect it.
func TestHistoryCheckerDetectsDoubleRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		NewWithT(t).Expect(runHistory(wasabitest.Seed, true).check()).To(Equal(porcupine.Illegal))
	})
}
