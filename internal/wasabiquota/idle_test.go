package wasabiquota_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
)

// pass lets time pass at a table, in steps of 20 ms.
func pass(t *wasabiquota.Table, from, until wasabiridge.Millis, each func(now wasabiridge.Millis)) {
	for now := from; now <= until; now += 20 {
		t.Observe(now, wasabiridge.Ticked{})
		if each != nil {
			each(now)
		}
	}
}

var _ = Describe("An instance without requests", func() {
	// Guards against an instance that forgets the others after its process was paused, and
	// then uses the whole limit.
	It("reaches the others again after a pause", func() {
		t := wasabiquota.New(wasabiquota.Options{Self: instanceID(0), Incarnation: 1, Started: 1000})
		t.Observe(1000, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Accounts: []wasabiridge.ClientAccount{limitedAccount("a", largeRate)}}})
		t.Observe(1000, wasabiridge.ActiveKnown{Instances: instanceIDs[:4], Known: 4})
		answer := func(now wasabiridge.Millis) {
			for _, id := range t.HelloTargets(now) {
				t.Observe(now, wasabiridge.PeerReachable{From: id})
			}
		}
		pass(t, 1000, 4000, answer)
		Expect(t.UsableShare(4000)).To(Equal(1.0))
		pass(t, 10_000, 10_100, nil)
		Expect(t.UsableShare(10_100)).To(Equal(0.25))
		pass(t, 10_120, 80_000, nil)
		Expect(t.UsableShare(80_000)).To(Equal(0.25), "no instance answers")
		pass(t, 80_020, 80_100, answer)
		Expect(t.UsableShare(80_100)).To(Equal(1.0))
	})

	// Guards against an instance that goes on using its share after the others have expired
	// it.
	It("owns no share after a long pause", func() {
		t := wasabiquota.New(wasabiquota.Options{Self: instanceID(0), Incarnation: 1, Started: 1000})
		t.Observe(1000, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Accounts: []wasabiridge.ClientAccount{limitedAccount("a", largeRate)}}})
		t.Observe(1000, wasabiridge.ActiveKnown{Instances: instanceIDs[:4], Known: 4})
		answer := func(now wasabiridge.Millis) {
			for _, id := range t.HelloTargets(now) {
				t.Observe(now, wasabiridge.PeerReachable{From: id})
			}
		}
		pass(t, 1000, 4000, answer)
		Expect(t.UsableShare(4000)).To(Equal(1.0))
		pass(t, 70_000, 70_100, nil)
		Expect(t.UsableShare(70_100)).To(BeNumerically("<=", 0.025))
		pass(t, 70_120, 74_000, answer)
		Expect(t.UsableShare(74_000)).To(Equal(1.0))
	})

	// Guards against a partition while nothing runs: each instance would admit a whole
	// burst before it detects that nobody answers.
	It("detects that the others do not answer", func() {
		f := newFleet(1, 8, []wasabiridge.ClientAccount{limitedAccount("a", largeRate)}, newRunningTotals)
		f.runUntil(f.now + 5000)
		f.partitioned = func(int, int) bool { return true }
		f.runUntil(f.now + 3000)
		for i := range f.instances {
			Expect(f.instances[i].limiter.(*runningTotals).table.UsableShare(f.now)).To(Equal(0.125))
		}
	})

	// Guards against needless messages when no account has a limit.
	It("sends no messages when there are no limits", func() {
		f := newFleet(1, 8, nil, newRunningTotals)
		f.runUntil(f.now + 5000)
		Expect(f.messages).To(BeZero())
	})

	// Guards against a single instance that waits a minute for others that do not exist.
	It("uses the whole limit soon after its start when it is the only one", func() {
		t := wasabiquota.New(wasabiquota.Options{Self: instanceID(0), Incarnation: 1, Started: 1000})
		t.Observe(1000, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Accounts: []wasabiridge.ClientAccount{limitedAccount("a", largeRate)}}})
		t.Observe(1000, wasabiridge.ActiveKnown{Instances: instanceIDs[:1], Known: 1})
		pass(t, 1000, 7000, nil)
		Expect(t.UsableShare(7000)).To(Equal(1.0))
		Expect(t.Entries(7000)[0].Known).To(BeTrue())
	})
})
