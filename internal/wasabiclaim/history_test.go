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

// operation is the input of one entry of a history.
type operation struct {
	key int
	run bool
}

// seen is its output: what a caller was told, or which run took place.
type seen struct {
	state wasabiridge.ClaimState
	token string
}

// bookingState is the state of one key in the model: the token of its run.
type bookingState struct{ token string }

// claimModel says what callers may see of one key: it runs at most once, is
// granted and called "not run" only before it ran, and is answered with the
// answer of its run. "Still running" and "outcome unknown" fit any state.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, historyKeys)
		for _, op := range history {
			key := op.Input.(operation).key
			parts[key] = append(parts[key], op)
		}
		return parts
	},
	Init: func() any { return bookingState{} },
	Step: func(state, input, output any) (bool, any) {
		s, out := state.(bookingState), output.(seen)
		if input.(operation).run {
			return s.token == "", bookingState{token: out.token}
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

// history is one run of a few instances under faults.
type history struct {
	seed     uint64
	reckless bool
	net      *network
	table    *wasabitable.Memory
	clock    wasabiridge.Clock
	time     atomic.Int64

	mu     sync.Mutex
	rng    *rand.Rand
	ops    []porcupine.Operation
	counts map[wasabiridge.ClaimState]int
	runs   int
	life   wasabiridge.Incarnation
}

// router is one life of an instance.
type router struct {
	id     string
	keeper *wasabiclaim.Keeper
	ctx    context.Context
	crash  context.CancelFunc
	done   chan struct{}
}

// skewed is a clock that is off and jumps forward now and then.
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

func (h *history) span(most time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.rng.Int64N(int64(most)))
}

func (h *history) add(call int64, in operation, out seen) {
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
	h.life++
	life := h.life
	offset := wasabiridge.Millis(h.rng.Int64N(int64(20 * wasabiridge.Minute)))
	jump := h.clock.Now() + wasabiridge.Millis(h.rng.Int64N(int64(5*wasabiridge.Minute)))
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	r := &router{id: id, ctx: ctx, crash: cancel, done: make(chan struct{})}
	r.keeper = wasabiclaim.New(wasabiclaim.Options{
		Self: wasabiridge.InstanceID(id), Incarnation: life, Secret: []byte("secret"), Table: h.table, Peers: h.net,
		Clock:     skewed{Clock: h.clock, offset: offset, jumpAt: jump},
		Locate:    func(i wasabiridge.InstanceID) (string, bool) { return string(i), true },
		Instances: func() int { return 3 },
		Limits:    wasabiclaim.Limits{KeptAnswers: 4, Unsettled: 6},
	})
	go func() {
		defer close(r.done)
		r.keeper.Run(ctx)
	}()
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.net.keepers[id] = r.keeper
	return r
}

func (h *history) kill(r *router) {
	h.net.mu.Lock()
	delete(h.net.keepers, r.id)
	h.net.mu.Unlock()
	r.crash()
	<-r.done
}

// serve is what a router does with one request of a caller. It returns when
// the caller has its answer.
func (h *history) serve(r *router, key int, text, request string) {
	ctx, cancel := context.WithTimeout(r.ctx, time.Second+h.span(4*time.Second))
	defer cancel()
	q := wasabiridge.ClaimQuery{Account: "lifts", Key: text, Request: wasabiridge.RequestID(request), Digest: 7}
	call := h.time.Add(1)
	out, err := r.keeper.Claim(ctx, q)
	if r.ctx.Err() != nil || err != nil {
		return // The instance crashed; the caller was told nothing.
	}
	h.add(call, operation{key: key}, seen{state: out.State, token: string(out.Answer.Body)})
	if out.State == wasabiridge.ClaimGranted {
		h.execute(r, key, q)
		return
	}
	if h.reckless && out.NotSent && h.chance(0.5) {
		// The planted fault: "outcome unknown" is taken for "not run".
		h.add(h.time.Add(1), operation{key: key, run: true}, seen{token: request})
	}
}

// execute sends a granted request, after a pause, a crash or a race with the
// decision to give it up.
func (h *history) execute(r *router, key int, q wasabiridge.ClaimQuery) {
	if h.chance(0.3) {
		time.Sleep(h.span(40 * time.Second))
	}
	if h.chance(0.15) {
		go func() {
			time.Sleep(h.span(3 * time.Millisecond))
			_ = r.keeper.Finish(r.ctx, wasabiridge.ClaimResult{Query: q, Disposition: wasabiridge.NotRun})
		}()
		time.Sleep(h.span(3 * time.Millisecond))
	}
	if r.ctx.Err() != nil || r.keeper.BeginSend(q.Request) != nil {
		return
	}
	call := h.time.Add(1)
	if h.chance(0.1) {
		r.keeper.SendNotRun(q.Request)
		_ = r.keeper.Finish(r.ctx, wasabiridge.ClaimResult{Query: q, Disposition: wasabiridge.NotRun})
		return
	}
	time.Sleep(h.span(200 * time.Millisecond))
	token := string(q.Request)
	h.add(call, operation{key: key, run: true}, seen{token: token})
	time.Sleep(h.span(3 * time.Second))
	if r.ctx.Err() != nil {
		return
	}
	result := wasabiridge.ClaimResult{Query: q, Disposition: wasabiridge.Ran, Answer: wasabiridge.Answer{Body: []byte(token)}}
	if h.chance(0.2) {
		result.Disposition = wasabiridge.MaybeRun
	}
	_ = r.keeper.Finish(r.ctx, result)
}

// caller asks for one key several times: at once or late, through one router
// or several.
func (h *history) caller(key int, pick func() *router) {
	text := fmt.Sprintf("visit %d", key)
	time.Sleep(h.span(historySpan / 2))
	if key%2 == 0 {
		text = pick().keeper.Ticket("lifts")
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

// faults are the shares of table calls that fail.
func faults(seed uint64) wasabifault.Plan {
	plan := wasabifault.Plan{
		Seed: seed, Unavailable: 0.05, LostRequest: 0.05, LostAnswer: 0.1, LateEffect: 0.1,
		Lateness: 20 * wasabiridge.Second, DelayMin: 1, DelayMax: 120,
	}
	from := wasabiridge.MillisAt(time.Now()) + 20*wasabiridge.Second
	return plan.WithWindows(wasabifault.Outage(from, from+15*wasabiridge.Second))
}

func runHistory(seed uint64, reckless bool) *history {
	clock := wasabiclock.System()
	h := &history{
		seed: seed, reckless: reckless, clock: clock,
		table:  wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock, Plan: faults(seed)}),
		net:    &network{keepers: map[string]*wasabiclaim.Keeper{}},
		rng:    rand.New(rand.NewPCG(seed, 1)),
		counts: map[wasabiridge.ClaimState]int{},
	}
	netRNG := rand.New(rand.NewPCG(seed, 2))
	h.net.fate = func() callFate {
		f := callFate{delay: time.Duration(netRNG.Int64N(int64(80 * time.Millisecond)))}
		f.lostCall, f.lostAnswer = netRNG.Float64() < 0.1, netRNG.Float64() < 0.2
		if netRNG.Float64() < 0.2 {
			f.lateCopy = time.Duration(netRNG.Int64N(int64(10*time.Second))) + 1
		}
		return f
	}
	// A channel guards the list, not a mutex: a killed instance takes time to
	// end, and time does not go on in a bubble while a goroutine waits for a
	// mutex.
	guard := make(chan struct{}, 1)
	routers := []*router{h.boot("a"), h.boot("b"), h.boot("c")}
	pick := func() *router {
		guard <- struct{}{}
		defer func() { <-guard }()
		return routers[h.span(time.Duration(len(routers)))]
	}
	stop := make(chan struct{})
	go func() { // Instances crash and come back, one after the other.
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
	time.Sleep(time.Minute) // Late writes and copies arrive.
	for _, r := range routers {
		h.kill(r)
	}
	return h
}

func (h *history) check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(claimModel, h.ops, time.Minute)
}

// A dispatcher books a visit. Answers get lost, instances crash and pause,
// the table is down for a while, and the dispatcher repeats the booking at
// once and late, here and there. Whatever happens, one van comes at most, and
// nobody is told "not run" of a visit that was booked.
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
	g.Expect(runs).To(BeNumerically(">", historySeeds*historyKeys/2), "histories in which little runs prove little")
	for _, state := range []wasabiridge.ClaimState{
		wasabiridge.ClaimGranted, wasabiridge.ClaimRunning, wasabiridge.ClaimAnswered, wasabiridge.ClaimUnknown,
	} {
		g.Expect(total[state]).To(BeNumerically(">", historySeeds), "state %d", state)
	}
	t.Logf("%d histories, %d runs, answers by state %v", historySeeds, runs, total)
}

// A router that sends a request whose outcome is unknown runs some bookings
// twice. The checker has to see it.
func TestHistoryCheckerSeesDoubleRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		NewWithT(t).Expect(runHistory(wasabitest.Seed, true).check()).To(Equal(porcupine.Illegal))
	})
}
