package wasabitimeline_test

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

func TestTimeline(t *testing.T) { wasabitest.Run(t, "timeline") }

const noon = wasabiridge.Millis(1_796_212_800_000)

func newLog(id wasabiridge.InstanceID, at wasabiridge.Millis, capacity int) (*wasabitimeline.Log, *wasabiclock.Virtual) {
	clock := wasabiclock.NewVirtual(at)
	return wasabitimeline.New(wasabitimeline.Options{Instance: id, Clock: clock, Capacity: capacity}), clock
}

func record(l *wasabitimeline.Log, request wasabiridge.RequestID, kind wasabiridge.TimelineKind) {
	l.Record(wasabiridge.TimelineEvent{Kind: kind, Request: request, Account: "liftwell", Backend: "engine-1"})
}

// fakePeers serves queries from logs in the same process.
type fakePeers struct {
	wasabiridge.PeerClient
	logs map[string]*wasabitimeline.Log
}

func (f fakePeers) QueryTimeline(_ context.Context, address string, q wasabiridge.TimelineQuery) (wasabiridge.TimelinePage, error) {
	l, found := f.logs[address]
	if !found {
		return wasabiridge.TimelinePage{}, wasabiridge.ErrUnavailable.New("peer: %s does not answer", address)
	}
	return l.Page(q), nil
}

var _ = Describe("Log", func() {
	// The clocks of two routers differ. One loses a stream, the other resumes
	// it, and the clock of the second is behind. Ordered by physical clocks, the
	// time line would show the resumption before the loss that caused it.
	It("orders an effect after its cause when the clocks differ", func() {
		skews := []wasabiridge.Millis{-5 * wasabiridge.Minute, -1, 0, 1, 5 * wasabiridge.Minute}
		for _, skew := range skews {
			a, _ := newLog("a", noon, 8)
			b, _ := newLog("b", noon+skew, 8)
			record(a, "r", wasabiridge.EventBroken)
			b.Observe(a.Now())
			record(b, "r", wasabiridge.EventResumed)
			a.Observe(b.Now())
			record(a, "r", wasabiridge.EventEnded)
			report := wasabitimeline.Merge([]wasabiridge.TimelinePage{b.Page(wasabiridge.TimelineQuery{}), a.Page(wasabiridge.TimelineQuery{})}, 0)
			var kinds []wasabiridge.TimelineKind
			for _, e := range report.Events {
				kinds = append(kinds, e.Kind)
			}
			Expect(kinds).To(Equal([]wasabiridge.TimelineKind{
				wasabiridge.EventBroken, wasabiridge.EventResumed, wasabiridge.EventEnded,
			}), "skew %d", skew)
		}
	})

	// One instance starts with a clock in the year 2060. Without a bound the
	// hybrid time of all other instances would follow, and a query for the last
	// five minutes would find nothing.
	It("ignores a remote time that is ahead by more than MaxSkew", func() {
		a, _ := newLog("a", noon, 8)
		a.Observe(noon + wasabitimeline.DefaultMaxSkew + 1)
		record(a, "r", wasabiridge.EventArrived)
		Expect(a.Page(wasabiridge.TimelineQuery{}).Events[0].At).To(Equal(noon))
		Expect(a.IgnoredSkews()).To(Equal(uint64(1)))
	})

	// Under load the ring overwrites its oldest events. A page must report this
	// when the query might have selected such events, and must not when all of
	// them are older than the query.
	It("reports overwritten events to queries that reach back that far", func() {
		l, clock := newLog("a", noon, 4)
		for i := range 6 {
			record(l, wasabiridge.RequestID(fmt.Sprint(i)), wasabiridge.EventArrived)
			clock.Advance(wasabiridge.Second)
		}
		page := l.Page(wasabiridge.TimelineQuery{})
		Expect(page.Events).To(HaveLen(4))
		Expect(page.Events[0].Request).To(Equal(wasabiridge.RequestID("2")))
		Expect(page.Dropped).To(Equal(uint64(2)))
		Expect(l.Page(wasabiridge.TimelineQuery{Since: noon + 2*wasabiridge.Second}).Dropped).To(BeZero())
		Expect(l.Page(wasabiridge.TimelineQuery{Since: noon + wasabiridge.Second}).Dropped).To(Equal(uint64(2)))
	})

	It("selects the events that match the query", func() {
		l, clock := newLog("a", noon, 1000)
		for i := range 900 {
			record(l, wasabiridge.RequestID(fmt.Sprint(i%3)), wasabiridge.EventSent)
			clock.Advance(1)
		}
		queries := map[string]struct {
			query wasabiridge.TimelineQuery
			want  int
		}{
			"all":           {wasabiridge.TimelineQuery{}, 900},
			"request":       {wasabiridge.TimelineQuery{Request: "1"}, 300},
			"other account": {wasabiridge.TimelineQuery{Account: "selam"}, 0},
			"backend":       {wasabiridge.TimelineQuery{Backend: "engine-1"}, 900},
			"since":         {wasabiridge.TimelineQuery{Since: noon + 890}, 10},
			"until":         {wasabiridge.TimelineQuery{Until: noon + 9}, 10},
			"limit":         {wasabiridge.TimelineQuery{Limit: 7}, 7},
		}
		for _, name := range slices.Sorted(maps.Keys(queries)) {
			Expect(l.Page(queries[name].query).Events).To(HaveLen(queries[name].want), name)
		}
	})

	It("counts every event that is lost between concurrent writers and readers", func() {
		l, _ := newLog("a", noon, 1<<10)
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for range 1000 {
					record(l, "r", wasabiridge.EventSent)
					l.Observe(noon)
				}
			})
		}
		group.Go(func() { l.Page(wasabiridge.TimelineQuery{}) })
		group.Wait()
		recorded, dropped := l.Recorded()
		page := l.Page(wasabiridge.TimelineQuery{})
		Expect(recorded).To(Equal(uint64(8000)))
		Expect(dropped + uint64(len(page.Events))).To(Equal(recorded))
		for i := 1; i < len(page.Events); i++ {
			Expect(wasabitimeline.Before(page.Events[i-1], page.Events[i])).To(BeTrue())
		}
	})
})

var _ = Describe("Collector", func() {
	// An operator queries a request while one of three instances is down. The
	// report must have the events of the other two and list the one that is
	// down as not reached.
	It("merges the pages of reachable instances and lists the unreachable ones", func() {
		a, _ := newLog("a", noon, 8)
		b, _ := newLog("b", noon-1, 8)
		record(a, "r", wasabiridge.EventArrived)
		record(b, "r", wasabiridge.EventMatched)
		member := func(id wasabiridge.InstanceID) wasabiridge.Member {
			return wasabiridge.Member{InstanceEntry: wasabiridge.InstanceEntry{ID: id, PeerAddress: string(id)}}
		}
		collector := wasabitimeline.Collector{
			Own:     a,
			Peers:   fakePeers{logs: map[string]*wasabitimeline.Log{"b": b}},
			Members: func() []wasabiridge.Member { return []wasabiridge.Member{member("c"), member("b"), member("a")} },
		}
		report, err := collector.ReadTimeline(context.Background(), wasabiridge.TimelineQuery{Request: "r"})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Events).To(HaveLen(2))
		Expect(report.Events[0].Instance).To(Equal(wasabiridge.InstanceID("b")))
		Expect(report.Reached).To(HaveLen(2))
		Expect(report.Unreached).To(HaveLen(1))
		Expect(report.Unreached[0].Instance).To(Equal(wasabiridge.InstanceID("c")))
		Expect(report.Unreached[0].Cause).To(ContainSubstring("does not answer"))
	})

	// A router without a peer client has other members and cannot query them. A
	// report without their events, and without a remark, would look complete.
	It("lists all other members as not reached when there is no peer client", func() {
		a, _ := newLog("a", noon, 8)
		collector := wasabitimeline.Collector{Own: a, Members: func() []wasabiridge.Member {
			return []wasabiridge.Member{{InstanceEntry: wasabiridge.InstanceEntry{ID: "b"}}}
		}}
		report, err := collector.ReadTimeline(context.Background(), wasabiridge.TimelineQuery{})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Unreached).To(HaveLen(1))
	})
})

var _ = Describe("Follow", func() {
	// An instance is shut down while a subscriber has stopped reading. The last
	// messages are never acknowledged, and Follow must return all the same.
	It("publishes events in order and returns although a subscriber hangs", func(ctx SpecContext) {
		l, _ := newLog("a", noon, 2048)
		pubSub := wasabitimeline.NewPubSub()
		defer pubSub.Close()
		messages, err := pubSub.Subscribe(ctx, wasabitimeline.EventsTopic)
		Expect(err).NotTo(HaveOccurred())
		running, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- l.Follow(running, pubSub) }()
		var got []wasabiridge.TimelineEvent
		// Follow starts at the end of the ring, at a time that the test does not
		// know, so events are recorded until enough of them are received.
		Eventually(func() int {
			record(l, "r", wasabiridge.EventSent)
			select {
			case m := <-messages:
				batch, err := wasabitimeline.BatchOf(m)
				Expect(err).NotTo(HaveOccurred())
				Expect(batch.Overwritten).To(BeZero())
				got = append(got, batch.Events...)
				m.Ack()
			default:
			}
			return len(got)
		}, "20s", "1ms").Should(BeNumerically(">", 20))
		for i := 1; i < len(got); i++ {
			Expect(got[i].Logical).To(Equal(got[i-1].Logical + 1))
		}
		stop()
		Eventually(done, "20s").Should(Receive(BeNil()))
	})
})

var _ = Describe("WriteStory", func() {
	It("prints the events of a request in aligned lines", func() {
		l, clock := newLog("pos-1", noon, 64)
		steps := []wasabiridge.TimelineEvent{
			{Kind: wasabiridge.EventArrived},
			{Kind: wasabiridge.EventMatched, Value: 31_000},
			{Kind: wasabiridge.EventClaimed, Cause: "granted"},
			{Kind: wasabiridge.EventPlaced, Backend: "answer-3", Cause: "holder", Value: 28_672},
			{Kind: wasabiridge.EventSent, Backend: "answer-3", Attempt: 17},
			{Kind: wasabiridge.EventFirstToken, Backend: "answer-3", Attempt: 17, Value: 212},
			{Kind: wasabiridge.EventBroken, Backend: "answer-3", Attempt: 17, Cause: "stream cut", Value: 40},
			{Kind: wasabiridge.EventResumed, Backend: "answer-5", Attempt: 18, Value: 40},
			{Kind: wasabiridge.EventEnded, Cause: "ran", Value: 180},
		}
		for _, e := range steps {
			e.Request, e.Account, e.Rule = "r1", "liftwell", "manuals"
			l.Record(e)
			clock.Advance(70)
		}
		var out bytes.Buffer
		wasabitimeline.WriteTimeline(&out, l.Page(wasabiridge.TimelineQuery{}).Events)
		GinkgoWriter.Println(out.String())
		Expect(out.String()).To(ContainSubstring(" +70ms  pos-1  attempt broken         on answer-3, attempt 1, stream cut, 40 tokens delivered\n"))
		Expect(out.String()).To(HavePrefix("request r1, account liftwell, rule manuals\n"))
		Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(len(steps) + 1))
		Expect(bytes.Count(out.Bytes(), []byte("liftwell"))).To(Equal(1))
	})
})
