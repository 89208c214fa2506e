package wasabicore_test

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicore"
)

// verdict judges all requests alike, as the test says.
type verdict struct{ standing wasabiridge.Standing }

func (v *verdict) Judge(wasabiridge.Millis, wasabiridge.Request) wasabiridge.Standing {
	return v.standing
}

func (*verdict) Sent(wasabiridge.Millis, wasabiridge.Request, wasabiridge.AttemptID, wasabiridge.BackendServer) {
}
func (*verdict) Observe(wasabiridge.Millis, wasabiridge.Event) {}

// counted counts what the limiter is asked.
type counted struct {
	noLimit
	offers, retries int
}

func (c *counted) Offer(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Admission {
	c.offers++
	return c.noLimit.Offer(now, r)
}

func (c *counted) MayRetry(now wasabiridge.Millis, r wasabiridge.Request) bool {
	c.retries++
	return c.noLimit.MayRetry(now, r)
}

// Story: a server ends under a request, and the request goes to the next one by some
// other way: a retry, a resumption, a second attempt beside the first, a run that is
// moved. Each way must ask whether it may, and one that may not go takes nothing of
// what proper requests need.
var _ = Describe("A request that reaches no server any more", func() {
	const free, suspect, barred = wasabiridge.StandingFree, wasabiridge.StandingSuspect, wasabiridge.StandingBarred
	moved := wasabiridge.Moved{To: wasabiridge.BackendServer{ID: "e5"}, Memory: "a/1"}
	cases := map[string]struct {
		action       wasabiridge.Action
		first, later wasabiridge.Standing
		delivered    int
		moved        wasabiridge.Moved
		hedge        bool
		attempts     int
		says         wasabiridge.Disposition
	}{
		"when it arrives":                  {first: barred, later: barred, says: wasabiridge.NotRun},
		"after a first attempt":            {action: wasabiridge.Action{Retry: true}, first: free, later: barred, attempts: 1, says: wasabiridge.MaybeRun},
		"in the middle of its stream":      {action: wasabiridge.Action{Resume: true}, first: free, later: barred, delivered: 7, attempts: 1, says: wasabiridge.MaybeRun},
		"when its run is moved":            {action: wasabiridge.Action{Resume: true}, first: free, later: barred, delivered: 7, moved: moved, attempts: 1, says: wasabiridge.MaybeRun},
		"beside its first attempt":         {action: wasabiridge.Action{Hedge: true}, first: free, later: barred, hedge: true, attempts: 1, says: wasabiridge.MaybeRun},
		"beside its first, as a suspect":   {action: wasabiridge.Action{Hedge: true}, first: free, later: suspect, hedge: true, attempts: 1, says: wasabiridge.MaybeRun},
		"a suspect is retried":             {action: wasabiridge.Action{Retry: true, Attempts: 2}, first: suspect, later: suspect, attempts: 2, says: wasabiridge.MaybeRun},
		"two servers ended since it came":  {action: wasabiridge.Action{Resume: true, Attempts: 4}, first: suspect, later: suspect, delivered: 7, attempts: 2, says: wasabiridge.MaybeRun},
		"nothing is held against it":       {action: wasabiridge.Action{Retry: true, Attempts: 2}, first: free, later: free, attempts: 2, says: wasabiridge.MaybeRun},
		"nothing, and a moved run goes on": {action: wasabiridge.Action{Resume: true, Attempts: 1}, first: free, later: free, delivered: 7, moved: moved, attempts: 2, says: wasabiridge.MaybeRun},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			c := cases[name]
			judge, limit := &verdict{standing: c.first}, &counted{}
			core := wasabicore.New(wasabicore.Options{Placer: firstServer{}, Limiter: limit, Quarantine: judge})
			core.Handle(0, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Version: 1, Pools: []wasabiridge.Pool{{
				ID: "p", Backends: []wasabiridge.BackendServer{{ID: "e0"}, {ID: "e1"}, {ID: "e2"}, {ID: "e5"}},
			}}}})
			effects := pick(core.Handle(1, wasabiridge.RequestArrived{Request: request(c.action)}))
			judge.standing = c.later
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
					Expect(pick(core.Handle(now+900, wasabiridge.Ticked{}))).To(BeEmpty())
				}
				effects = pick(core.Handle(now+950, wasabiridge.AttemptEnded{
					Request: "r", Attempt: d.Attempt, Backend: d.Backend.ID, Result: wasabiridge.AttemptBroken, ServerEnded: true,
					Delivered: c.delivered, Moved: c.moved,
				}))
				c.moved = wasabiridge.Moved{}
			}
			Expect(attempts).To(Equal(c.attempts))
			refused := effects[0].(wasabiridge.Refuse)
			Expect(refused.Disposition).To(Equal(c.says))
			if c.later == barred && !c.hedge {
				Expect(refused.Reason).To(Equal(wasabiridge.RefusedQuarantined))
				Expect(refused.RetryAfter).To(BeZero())
				Expect(limit.retries).To(BeZero())
			}
			if c.first == barred {
				Expect(limit.offers).To(BeZero())
			}
			Expect(core.Open()).To(BeZero())
		})
	}
})
