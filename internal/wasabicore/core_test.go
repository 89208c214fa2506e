package wasabicore_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicore"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestCore(t *testing.T) {
	wasabitest.Run(t, "core")
}

// firstServer is a placer that selects the first server that is not excluded.
type firstServer struct {
	// before is the time until which no other server is available to a request
	// that has failed at one.
	before wasabiridge.Millis
	// never is reported with each such placement: no server will ever be available.
	never bool
}

func (f firstServer) Place(now wasabiridge.Millis, q wasabiridge.PlaceQuery) (wasabiridge.Placement, bool) {
	if len(q.Excluded) > 0 && now < f.before {
		return wasabiridge.Placement{Unplaceable: f.never}, false
	}
	for _, b := range q.Pool.Backends {
		if !slices.Contains(q.Excluded, b.ID) {
			return wasabiridge.Placement{Backend: b, ExpectedWait: 100}, true
		}
	}
	return wasabiridge.Placement{}, false
}

func (firstServer) Sent(wasabiridge.Millis, wasabiridge.Request, wasabiridge.AttemptID, wasabiridge.Placement) {
}
func (firstServer) Observe(wasabiridge.Millis, wasabiridge.Event) {}

// noLimit is a limiter that admits every request and allows every retry.
type noLimit struct{}

func (noLimit) Offer(wasabiridge.Millis, wasabiridge.Request) wasabiridge.Admission {
	return wasabiridge.Admission{}
}

func (noLimit) Next(wasabiridge.Millis) (wasabiridge.Request, bool) {
	return wasabiridge.Request{}, false
}

func (noLimit) Expired(wasabiridge.Millis) (wasabiridge.Request, bool) {
	return wasabiridge.Request{}, false
}
func (noLimit) Withdraw(wasabiridge.RequestID)                             {}
func (noLimit) HasRoom(wasabiridge.Millis, wasabiridge.BackendServer) bool { return true }
func (noLimit) Observe(wasabiridge.Millis, wasabiridge.Event)              {}
func (noLimit) MayRetry(wasabiridge.Millis, wasabiridge.Request) bool      { return true }
func (noLimit) Sent(wasabiridge.Millis, wasabiridge.Request, wasabiridge.AttemptID, wasabiridge.BackendServerID) {
}

func newCore() *wasabicore.Core { return newCoreWith(firstServer{}) }

func newCoreWith(placer firstServer) *wasabicore.Core {
	return newCoreOf(wasabicore.Options{Placer: placer, Limiter: noLimit{}})
}

func newCoreOf(o wasabicore.Options) *wasabicore.Core {
	core := wasabicore.New(o)
	var servers []wasabiridge.BackendServer
	for i := range 6 {
		servers = append(servers, wasabiridge.BackendServer{ID: wasabiridge.BackendServerID(fmt.Sprintf("e%d", i))})
	}
	core.Handle(0, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Version: 1, Pools: []wasabiridge.Pool{{ID: "p", Backends: servers}}}})
	return core
}

func request(a wasabiridge.Action) wasabiridge.Request {
	a.Pool = "p"
	return wasabiridge.Request{ID: "r", Action: a, Deadline: 10_000}
}

// withoutRecords returns the effects other than timeline records.
func withoutRecords(effects []wasabiridge.Effect) []wasabiridge.Effect {
	var out []wasabiridge.Effect
	for _, e := range effects {
		if _, ok := e.(wasabiridge.Record); !ok {
			out = append(out, e)
		}
	}
	return out
}

var _ = Describe("An attempt that fails", func() {
	// The first engine fails at different points of an attempt. Depending on the
	// progress of the attempt and on its rule, the request is sent to another
	// engine, or refused once with the correct disposition.
	cases := map[string]struct {
		action    wasabiridge.Action
		sent      bool
		delivered int
		result    wasabiridge.AttemptResult
		retried   bool
		resume    int
		want      wasabiridge.Disposition
	}{
		"dial failed, booking":                         {action: wasabiridge.Action{NonIdempotent: true}, result: wasabiridge.AttemptNotRun, retried: true},
		"trusted refusal after sending":                {action: wasabiridge.Action{NonIdempotent: true}, sent: true, result: wasabiridge.AttemptNotRun, retried: true},
		"broken after sending, booking":                {action: wasabiridge.Action{NonIdempotent: true}, sent: true, result: wasabiridge.AttemptBroken, want: wasabiridge.MaybeRun},
		"broken before a token":                        {action: wasabiridge.Action{Retry: true}, sent: true, result: wasabiridge.AttemptBroken, retried: true},
		"broken, no retry allowed":                     {sent: true, result: wasabiridge.AttemptBroken, want: wasabiridge.MaybeRun},
		"broken in the stream, resumed":                {action: wasabiridge.Action{Resume: true}, sent: true, delivered: 7, result: wasabiridge.AttemptBroken, retried: true, resume: 7},
		"broken in the stream, resumption not allowed": {action: wasabiridge.Action{Retry: true}, sent: true, delivered: 7, result: wasabiridge.AttemptBroken, want: wasabiridge.MaybeRun},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			tc := cases[name]
			core := newCore()
			effects := withoutRecords(core.Handle(1, wasabiridge.RequestArrived{Request: request(tc.action)}))
			first := effects[0].(wasabiridge.Dispatch)
			if tc.sent {
				core.Handle(2, wasabiridge.AttemptSent{Request: "r", Attempt: first.Attempt})
			}
			effects = withoutRecords(core.Handle(3, wasabiridge.AttemptEnded{
				Request: "r", Attempt: first.Attempt, Backend: first.Backend.ID, Result: tc.result,
				Delivered: tc.delivered, Usage: wasabiridge.Usage{Weights: 4},
			}))
			Expect(effects).To(HaveLen(1))
			if tc.retried {
				next := effects[0].(wasabiridge.Dispatch)
				Expect(next.Backend.ID).NotTo(Equal(first.Backend.ID))
				Expect(next.ResumeFrom).To(Equal(tc.resume))
				if tc.resume > 0 {
					Expect(next.Weights).To(Equal(wasabiridge.WeightsVersion(4)))
				}
				return
			}
			Expect(effects[0].(wasabiridge.Refuse).Disposition).To(Equal(tc.want))
			Expect(core.Open()).To(BeZero())
		})
	}
})

var _ = Describe("A stream that breaks while no other server is available", func() {
	// Two engines restart one after the other, and a stream breaks before the
	// first of them is listed again. The stream must wait, even beyond the
	// deadline for its first byte, and may be cut only when no engine is listed
	// again within the resume time-out.
	cases := map[string]struct {
		back    wasabiridge.Millis
		resumed bool
	}{
		"is resumed when an engine returns in time": {back: 31_000, resumed: true},
		"is cut when no engine returns in time":     {back: 40_000},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			tc := cases[name]
			core := newCoreWith(firstServer{before: tc.back})
			first := withoutRecords(core.Handle(1, wasabiridge.RequestArrived{Request: request(wasabiridge.Action{Resume: true})}))[0].(wasabiridge.Dispatch)
			core.Handle(2, wasabiridge.AttemptSent{Request: "r", Attempt: first.Attempt})
			effects := withoutRecords(core.Handle(30_000, wasabiridge.AttemptEnded{
				Request: "r", Attempt: first.Attempt, Backend: first.Backend.ID, Result: wasabiridge.AttemptBroken, Delivered: 7,
			}))
			for now := wasabiridge.Millis(30_000); now < 36_000; now += 10 {
				effects = append(effects, withoutRecords(core.Handle(now, wasabiridge.Ticked{}))...)
			}
			Expect(effects).To(HaveLen(1))
			if tc.resumed {
				Expect(effects[0]).To(HaveField("ResumeFrom", 7))
				return
			}
			Expect(effects[0]).To(HaveField("Disposition", wasabiridge.MaybeRun))
			Expect(core.Open()).To(BeZero())
		})
	}
})

var _ = Describe("A stream whose KV cache was moved", func() {
	// An engine is about to load weights. The answer that it generates is stopped, its
	// KV cache is moved to another engine, and the stream continues there. This is
	// the same run, so a rule that allows one attempt must allow it.
	moved := func(core *wasabicore.Core) (first, second wasabiridge.Dispatch) {
		first = withoutRecords(core.Handle(1, wasabiridge.RequestArrived{Request: request(wasabiridge.Action{Resume: true, Attempts: 1})}))[0].(wasabiridge.Dispatch)
		core.Handle(2, wasabiridge.AttemptSent{Request: "r", Attempt: first.Attempt})
		second = withoutRecords(core.Handle(3, wasabiridge.AttemptEnded{
			Request: "r", Attempt: first.Attempt, Backend: first.Backend.ID, Result: wasabiridge.AttemptBroken,
			Delivered: 7, Usage: wasabiridge.Usage{Weights: 4}, Moved: wasabiridge.MigrationResult{To: wasabiridge.BackendServer{ID: "e5"}, Handle: "a/1"},
		}))[0].(wasabiridge.Dispatch)
		return first, second
	}

	It("is resumed at the server that has the KV cache, with the same weights", func() {
		_, second := moved(newCore())
		Expect(second.Backend.ID).To(BeEquivalentTo("e5"))
		Expect(second.CacheHandle).To(Equal("a/1"))
		Expect(second.ResumeFrom).To(Equal(7))
		Expect(second.Weights).To(Equal(wasabiridge.WeightsVersion(4)))
	})

	It("is resumed at another server if the KV cache is no longer there", func() {
		core := newCore()
		_, second := moved(core)
		third := withoutRecords(core.Handle(4, wasabiridge.AttemptEnded{Request: "r", Attempt: second.Attempt, Backend: "e5", Result: wasabiridge.AttemptNotRun}))[0].(wasabiridge.Dispatch)
		Expect(third.Backend.ID).NotTo(BeEquivalentTo("e5"))
		Expect(third.CacheHandle).To(BeEmpty())
		Expect(third.ResumeFrom).To(Equal(7))
	})
})

var _ = Describe("A stream that breaks and that no server can continue", func() {
	// All engines have newer weights than those that began the stream. Waiting for
	// an engine that could continue it would only delay the caller's retry.
	It("is cut immediately", func() {
		core := newCoreWith(firstServer{before: 1e9, never: true})
		first := withoutRecords(core.Handle(1, wasabiridge.RequestArrived{Request: request(wasabiridge.Action{Resume: true})}))[0].(wasabiridge.Dispatch)
		core.Handle(2, wasabiridge.AttemptSent{Request: "r", Attempt: first.Attempt})
		effects := withoutRecords(core.Handle(3, wasabiridge.AttemptEnded{
			Request: "r", Attempt: first.Attempt, Backend: first.Backend.ID, Result: wasabiridge.AttemptBroken, Delivered: 7,
		}))
		Expect(effects).To(HaveLen(1))
		Expect(effects[0]).To(HaveField("Disposition", wasabiridge.MaybeRun))
		Expect(core.Open()).To(BeZero())
	})
})

var _ = Describe("A hedge", func() {
	It("is cancelled if the first attempt produces a token first", func() {
		// An engine is slow, so a second attempt is started. When the first one
		// answers nevertheless, the second must be cancelled, so that the caller
		// gets one answer.
		core := newCore()
		first := withoutRecords(core.Handle(0, wasabiridge.RequestArrived{Request: request(wasabiridge.Action{Hedge: true})}))[0].(wasabiridge.Dispatch)
		core.Handle(1, wasabiridge.AttemptSent{Request: "r", Attempt: first.Attempt})
		second := withoutRecords(core.Handle(400, wasabiridge.Ticked{}))[0].(wasabiridge.Dispatch)
		Expect(second.Hedge).To(BeTrue())
		effects := withoutRecords(core.Handle(410, wasabiridge.AttemptFirstToken{Request: "r", Attempt: first.Attempt}))
		Expect(effects).To(ConsistOf(wasabiridge.Cancel{Request: "r", Attempt: second.Attempt}))
		core.Handle(420, wasabiridge.AttemptEnded{Request: "r", Attempt: first.Attempt, Result: wasabiridge.AttemptCompleted})
		Expect(withoutRecords(core.Handle(430, wasabiridge.AttemptEnded{Request: "r", Attempt: second.Attempt, Result: wasabiridge.AttemptCancelled}))).To(BeEmpty())
		Expect(core.Open()).To(BeZero())
	})
})

var _ = Describe("A caller that leaves", func() {
	cases := map[string]struct {
		nonIdempotent bool
		cancels       int
	}{
		"cancels its stream":          {false, 1},
		"does not cancel its booking": {true, 0},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			core := newCore()
			core.Handle(0, wasabiridge.RequestArrived{Request: request(wasabiridge.Action{NonIdempotent: cases[name].nonIdempotent})})
			Expect(withoutRecords(core.Handle(1, wasabiridge.CallerGone{Request: "r"}))).To(HaveLen(cases[name].cancels))
		})
	}
})

// TestInvariantsUnderRandomEvents drives one request through random events in
// random order. The caller must get at most one final answer, "not run" must be
// reported only if no attempt may have run, and a non-idempotent request must never
// be sent while an earlier attempt of it may have run.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := newCore()
		action := wasabiridge.Action{
			NonIdempotent: rapid.Bool().Draw(t, "non_idempotent"),
			Retry:         rapid.Bool().Draw(t, "retry"),
			Hedge:         rapid.Bool().Draw(t, "hedge"),
			Resume:        rapid.Bool().Draw(t, "resume"),
		}
		if action.NonIdempotent {
			action.Retry, action.Hedge, action.Resume = false, false, false
		}
		mayHaveRun := map[wasabiridge.AttemptID]bool{}
		var open []wasabiridge.Dispatch
		finals := 0
		take := func(effects []wasabiridge.Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case wasabiridge.Dispatch:
					if action.NonIdempotent && len(mayHaveRun) > 0 {
						t.Fatalf("attempt %d follows one that may have run", e.Attempt)
					}
					open = append(open, e)
				case wasabiridge.Refuse:
					finals++
					if e.Disposition == wasabiridge.NotRun && len(mayHaveRun) > 0 {
						t.Fatal("refused as not run although an attempt may have run")
					}
				}
			}
		}
		now := wasabiridge.Millis(0)
		take(core.Handle(now, wasabiridge.RequestArrived{Request: request(action)}))
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += wasabiridge.Millis(rapid.IntRange(0, 400).Draw(t, "wait"))
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				take(core.Handle(now, wasabiridge.Ticked{}))
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "attempt")
			d := open[i]
			if !mayHaveRun[d.Attempt] && rapid.Bool().Draw(t, "send") {
				mayHaveRun[d.Attempt] = true
				take(core.Handle(now, wasabiridge.AttemptSent{Request: "r", Attempt: d.Attempt}))
				continue
			}
			result := wasabiridge.AttemptNotRun
			if mayHaveRun[d.Attempt] {
				result = rapid.SampledFrom([]wasabiridge.AttemptResult{
					wasabiridge.AttemptCompleted, wasabiridge.AttemptBroken, wasabiridge.AttemptNotRun, wasabiridge.AttemptCancelled,
				}).Draw(t, "result")
			}
			if result == wasabiridge.AttemptNotRun {
				delete(mayHaveRun, d.Attempt)
			}
			open = slices.Delete(open, i, i+1)
			take(core.Handle(now, wasabiridge.AttemptEnded{Request: "r", Attempt: d.Attempt, Backend: d.Backend.ID, Result: result}))
			if result == wasabiridge.AttemptCompleted && core.Open() == 0 {
				break
			}
		}
		if finals > 1 {
			t.Fatalf("%d final answers", finals)
		}
	})
}

// Guards against requests that are refused for want of retries although no server has
// received them, for example because the connection could not be opened.
var _ = Describe("The retry budget", func() {
	cases := map[string]struct {
		ended   wasabiridge.AttemptEnded
		retries int
	}{
		"is not charged after an attempt that was not sent":     {wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun, Unsent: true}, 0},
		"is not charged after a connection that was not opened": {wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun, Unsent: true, Unreachable: true}, 0},
		"is charged after a refusal by the server":              {wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun, Overloaded: true}, 1},
		"is charged after an attempt that broke":                {wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken}, 1},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			limiter := &countingLimiter{}
			core := newCoreOf(wasabicore.Options{Placer: firstServer{}, Limiter: limiter})
			first := withoutRecords(core.Handle(1, wasabiridge.RequestArrived{Request: request(wasabiridge.Action{Retry: true})}))[0].(wasabiridge.Dispatch)
			ended := cases[name].ended
			ended.Request, ended.Attempt, ended.Backend = "r", first.Attempt, first.Backend.ID
			effects := withoutRecords(core.Handle(3, ended))
			Expect(effects).To(HaveLen(1))
			Expect(effects[0].(wasabiridge.Dispatch).Backend.ID).NotTo(Equal(first.Backend.ID))
			Expect(limiter.retries).To(Equal(cases[name].retries))
		})
	}
})
