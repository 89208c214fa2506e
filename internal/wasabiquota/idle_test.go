package wasabiquota_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
)

// pass lets time pass at a table, in steps as the decisions do.
func pass(t *wasabiquota.Table, from, until wasabiridge.Millis, each func(now wasabiridge.Millis)) {
	for now := from; now <= until; now += 20 {
		t.Observe(now, wasabiridge.Ticked{})
		if each != nil {
			each(now)
		}
	}
}

var _ = Describe("An instance without requests", func() {
	// Guards against others that are forgotten after the process stood still, so that this
	// instance takes all of a limit for its own.
	It("that stood still finds the others again", func() {
		t := wasabiquota.New(wasabiquota.Options{Self: instance(0), Life: 1, Started: 1000})
		t.Observe(1000, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Accounts: []wasabiridge.ClientAccount{limited("a", large)}}})
		t.Observe(1000, wasabiridge.ActiveKnown{Instances: names[:4], Known: 4})
		answer := func(now wasabiridge.Millis) {
			for _, id := range t.Strangers(now) {
				t.Observe(now, wasabiridge.PeerHeard{From: id})
			}
		}
		pass(t, 1000, 4000, answer)
		Expect(t.Part(4000)).To(Equal(1.0))
		pass(t, 10_000, 10_100, nil)
		Expect(t.Part(10_100)).To(Equal(0.25))
		pass(t, 10_120, 80_000, nil)
		Expect(t.Part(80_000)).To(Equal(0.25), "nobody answers")
		pass(t, 80_020, 80_100, answer)
		Expect(t.Part(80_100)).To(Equal(1.0))
	})

	// Guards against an instance that goes on with its part after the others have forgotten
	// it.
	It("that stood still for long owns no part any more", func() {
		t := wasabiquota.New(wasabiquota.Options{Self: instance(0), Life: 1, Started: 1000})
		t.Observe(1000, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Accounts: []wasabiridge.ClientAccount{limited("a", large)}}})
		t.Observe(1000, wasabiridge.ActiveKnown{Instances: names[:4], Known: 4})
		answer := func(now wasabiridge.Millis) {
			for _, id := range t.Strangers(now) {
				t.Observe(now, wasabiridge.PeerHeard{From: id})
			}
		}
		pass(t, 1000, 4000, answer)
		Expect(t.Part(4000)).To(Equal(1.0))
		pass(t, 70_000, 70_100, nil)
		Expect(t.Part(70_100)).To(BeNumerically("<=", 0.025))
		pass(t, 70_120, 74_000, answer)
		Expect(t.Part(74_000)).To(Equal(1.0))
	})

	// Guards against instances that are cut off while nothing runs: each would let run a
	// whole burst before it sees that nobody answers.
	It("sees that the others do not answer", func() {
		f := newFleet(1, 8, []wasabiridge.ClientAccount{limited("a", large)}, newTold)
		f.play(f.now + 5000)
		f.cut = func(int, int) bool { return true }
		f.play(f.now + 3000)
		for i := range f.nodes {
			Expect(f.nodes[i].way.(*told).table.Part(f.now)).To(Equal(0.125))
		}
	})

	// Guards against messages where no account has a limit.
	It("and without limits greets nobody", func() {
		f := newFleet(1, 8, nil, newTold)
		f.play(f.now + 5000)
		Expect(f.messages).To(BeZero())
	})

	// Guards against a single instance that waits a minute for others that do not exist.
	It("and without others has all of a limit soon after its start", func() {
		t := wasabiquota.New(wasabiquota.Options{Self: instance(0), Life: 1, Started: 1000})
		t.Observe(1000, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Accounts: []wasabiridge.ClientAccount{limited("a", large)}}})
		t.Observe(1000, wasabiridge.ActiveKnown{Instances: names[:1], Known: 1})
		pass(t, 1000, 7000, nil)
		Expect(t.Part(7000)).To(Equal(1.0))
		Expect(t.Entries(7000)[0].Known).To(BeTrue())
	})
})
