package wasabicore_test

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicore"
)

// fixedVerdict is a quarantine that returns the same verdict for every request.
type fixedVerdict struct{ verdict wasabiridge.QuarantineVerdict }

func (v *fixedVerdict) Check(wasabiridge.Millis, wasabiridge.Request) wasabiridge.QuarantineVerdict {
	return v.verdict
}

func (*fixedVerdict) Sent(wasabiridge.Millis, wasabiridge.Request, wasabiridge.AttemptID, wasabiridge.BackendServer) {
}
func (*fixedVerdict) Observe(wasabiridge.Millis, wasabiridge.Event) {}

// countingLimiter counts the requests and retries that the limiter has to admit.
type countingLimiter struct {
	noLimit
	offers, retries int
}

func (c *countingLimiter) Offer(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Admission {
	c.offers++
	return c.noLimit.Offer(now, r)
}

func (c *countingLimiter) MayRetry(now wasabiridge.Millis, r wasabiridge.Request) bool {
	c.retries++
	return c.noLimit.MayRetry(now, r)
}

// Guards against a request that crashes servers and still reaches further ones, because
// one kind of dispatch (retry, resumption, hedge or continuation of a moved run) skips the
// quarantine check. A blocked request must not use up the queue and the retry budget
// of other requests either.
var _ = Describe("A request under quarantine", func() {
	const free, suspect, blocked = wasabiridge.QuarantineFree, wasabiridge.QuarantineSuspect, wasabiridge.QuarantineBlocked
	moved := wasabiridge.MigrationResult{To: wasabiridge.BackendServer{ID: "e5"}, Handle: "a/1"}
	cases := map[string]struct {
		action       wasabiridge.Action
		first, later wasabiridge.QuarantineVerdict
		delivered    int
		moved        wasabiridge.MigrationResult
		hedge        bool
		attempts     int
		want         wasabiridge.Disposition
	}{
		"is blocked on arrival":                           {first: blocked, later: blocked, want: wasabiridge.NotRun},
		"is blocked from a retry":                         {action: wasabiridge.Action{Retry: true}, first: free, later: blocked, attempts: 1, want: wasabiridge.MaybeRun},
		"is blocked from a resumption":                    {action: wasabiridge.Action{Resume: true}, first: free, later: blocked, delivered: 7, attempts: 1, want: wasabiridge.MaybeRun},
		"is blocked from the continuation of a moved run": {action: wasabiridge.Action{Resume: true}, first: free, later: blocked, delivered: 7, moved: moved, attempts: 1, want: wasabiridge.MaybeRun},
		"is blocked from a hedge":                         {action: wasabiridge.Action{Hedge: true}, first: free, later: blocked, hedge: true, attempts: 1, want: wasabiridge.MaybeRun},
		"is blocked from a hedge when only suspect":       {action: wasabiridge.Action{Hedge: true}, first: free, later: suspect, hedge: true, attempts: 1, want: wasabiridge.MaybeRun},
		"is retried when only suspect":                    {action: wasabiridge.Action{Retry: true, Attempts: 2}, first: suspect, later: suspect, attempts: 2, want: wasabiridge.MaybeRun},
		"is refused after two servers terminated":         {action: wasabiridge.Action{Resume: true, Attempts: 4}, first: suspect, later: suspect, delivered: 7, attempts: 2, want: wasabiridge.MaybeRun},
		"is retried when not suspect":                     {action: wasabiridge.Action{Retry: true, Attempts: 2}, first: free, later: free, attempts: 2, want: wasabiridge.MaybeRun},
		"continues a moved run when not suspect":          {action: wasabiridge.Action{Resume: true, Attempts: 1}, first: free, later: free, delivered: 7, moved: moved, attempts: 2, want: wasabiridge.MaybeRun},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			c := cases[name]
			check, limit := &fixedVerdict{verdict: c.first}, &countingLimiter{}
			core := wasabicore.New(wasabicore.Options{Placer: firstServer{}, Limiter: limit, Quarantine: check})
			core.Handle(0, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Version: 1, Pools: []wasabiridge.Pool{{
				ID: "p", Backends: []wasabiridge.BackendServer{{ID: "e0"}, {ID: "e1"}, {ID: "e2"}, {ID: "e5"}},
			}}}})
			effects := withoutRecords(core.Handle(1, wasabiridge.RequestArrived{Request: request(c.action)}))
			check.verdict = c.later
			attempts := 0
			for now := wasabiridge.Millis(2); ; now += 1000 {
				Expect(effects).NotTo(BeEmpty())
				d, ok := effects[0].(wasabiridge.Dispatch)
				if !ok {
					break
				}
				attempts++
				core.Handle(now, wasabiridge.AttemptSent{Request: "r", Attempt: d.Attempt})
				if c.hedge {
					Expect(withoutRecords(core.Handle(now+900, wasabiridge.Ticked{}))).To(BeEmpty())
				}
				effects = withoutRecords(core.Handle(now+950, wasabiridge.AttemptEnded{
					Request: "r", Attempt: d.Attempt, Backend: d.Backend.ID, Result: wasabiridge.AttemptBroken, ServerCrashed: true,
					Delivered: c.delivered, Moved: c.moved,
				}))
				c.moved = wasabiridge.MigrationResult{}
			}
			Expect(attempts).To(Equal(c.attempts))
			refused := effects[0].(wasabiridge.Refuse)
			Expect(refused.Disposition).To(Equal(c.want))
			if c.later == blocked && !c.hedge {
				Expect(refused.Reason).To(Equal(wasabiridge.RefusedQuarantined))
				Expect(refused.RetryAfter).To(BeZero())
				Expect(limit.retries).To(BeZero())
			}
			if c.first == blocked {
				Expect(limit.offers).To(BeZero())
			}
			Expect(core.Open()).To(BeZero())
		})
	}
})
