package wasabicore_test

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicore"
)

// countingQuota admits a fixed number of requests, and counts checks and charges.
type countingQuota struct{ left, checked, charged int }

func (a *countingQuota) Check(wasabiridge.Millis, wasabiridge.Request) wasabiridge.QuotaVerdict {
	a.checked++
	a.left--
	return wasabiridge.QuotaVerdict{Allowed: a.left >= 0, RetryAfter: 700}
}

func (a *countingQuota) Sent(wasabiridge.Millis, wasabiridge.Request, wasabiridge.AttemptID) {
	a.charged++
}
func (a *countingQuota) Observe(wasabiridge.Millis, wasabiridge.Event) {}

// Guards against attempts that run without being charged to their client account, and
// against requests that are refused for the rate limit after they were admitted.
var _ = Describe("The rate limit of a client account", func() {
	moved := wasabiridge.MigrationResult{To: wasabiridge.BackendServer{ID: "e5"}, Handle: "a/1"}
	cases := map[string]struct {
		action    wasabiridge.Action
		result    wasabiridge.AttemptResult
		delivered int
		moved     wasabiridge.MigrationResult
		hedge     bool
		charged   int
	}{
		"a first attempt":     {result: wasabiridge.AttemptCompleted, charged: 1},
		"a retry":             {action: wasabiridge.Action{Retry: true}, result: wasabiridge.AttemptBroken, charged: 2},
		"a resumption":        {action: wasabiridge.Action{Resume: true}, result: wasabiridge.AttemptBroken, delivered: 7, charged: 2},
		"a run that is moved": {action: wasabiridge.Action{Resume: true}, result: wasabiridge.AttemptBroken, delivered: 7, moved: moved, charged: 1},
		"a hedge":             {action: wasabiridge.Action{Hedge: true}, hedge: true, charged: 2},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It("is checked once per request and charged for each run: "+name, func() {
			tc, quota := cases[name], &countingQuota{left: 1}
			core := newCoreOf(wasabicore.Options{Placer: firstServer{}, Limiter: noLimit{}, Quota: quota})
			first := withoutRecords(core.Handle(1, wasabiridge.RequestArrived{Request: request(tc.action)}))[0].(wasabiridge.Dispatch)
			core.Handle(2, wasabiridge.AttemptSent{Request: "r", Attempt: first.Attempt})
			if tc.hedge {
				core.Handle(500, wasabiridge.Ticked{})
			} else {
				core.Handle(3, wasabiridge.AttemptEnded{
					Request: "r", Attempt: first.Attempt, Backend: first.Backend.ID, Result: tc.result, Delivered: tc.delivered, Moved: tc.moved,
				})
			}
			Expect(quota.checked).To(Equal(1))
			Expect(quota.charged).To(Equal(tc.charged))
		})
	}

	It("refuses a request before it enters the queue", func() {
		quota, limiter := &countingQuota{}, &countingLimiter{}
		core := newCoreOf(wasabicore.Options{Placer: firstServer{}, Limiter: limiter, Quota: quota})
		effects := withoutRecords(core.Handle(1, wasabiridge.RequestArrived{Request: request(wasabiridge.Action{Retry: true})}))
		Expect(effects).To(ConsistOf(wasabiridge.Refuse{Request: "r", Reason: wasabiridge.RefusedQuota, RetryAfter: 700}))
		Expect(limiter.offers).To(BeZero())
		Expect(quota.charged).To(BeZero())
		Expect(core.Open()).To(BeZero())
	})
})
