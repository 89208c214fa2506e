package wasabiquota_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// part is the part of the limits that may be used at an instance together with those in
// touch. Zero if it is down, or goes by what it owns itself because it does not know yet
// what was spent.
func (f *fleet) part(i int) float64 {
	n := f.nodes[i]
	if !n.up {
		return 0
	}
	table := n.way.(*told).table
	if entries := table.Entries(f.now + n.skew); !entries[0].Known {
		return 0
	}
	return table.Part(f.now + n.skew)
}

// sides adds the parts of the two sides of a cut. A side has the largest part of any of
// its instances, since these count what they let run together.
func (f *fleet) sides(first func(i int) bool) (sum float64, story string) {
	parts := map[bool]float64{}
	for i := range f.nodes {
		side := first(i)
		parts[side] = max(parts[side], f.part(i))
		story += fmt.Sprintf("%d:%.3f ", i, f.part(i))
	}
	return parts[true] + parts[false], story
}

// split is a cut with something that happens around it.
type split struct {
	instances int
	// first reports whether an instance is on the first side.
	first func(i int) bool
	// do is called with the moment of the cut.
	do func(f *fleet, cut wasabiridge.Millis)
	// before is how long the instances run before the cut, lost how long it takes until it
	// is seen that an instance has ended.
	before, lost wasabiridge.Millis
}

func among(instances ...int) func(i int) bool {
	return func(i int) bool {
		for _, other := range instances {
			if i == other {
				return true
			}
		}
		return false
	}
}

// grow adds instances from a time on.
func grow(n int, after wasabiridge.Millis) func(f *fleet, cut wasabiridge.Millis) {
	return func(f *fleet, cut wasabiridge.Millis) {
		for i := range n {
			f.at(cut+after+50*wasabiridge.Millis(i), f.add)
		}
	}
}

var splits = map[string]split{
	"nothing else":                               {instances: 5, first: among(0, 1, 3, 4), do: grow(0, 0)},
	"instances come before it":                   {instances: 5, first: among(0, 1, 3, 4), do: grow(10, -3000)},
	"instances come just before it":              {instances: 5, first: among(0, 1, 3, 4), do: grow(10, -300)},
	"instances come before it is seen":           {instances: 5, first: among(0, 1, 3, 4), do: grow(10, 100)},
	"instances come while it is seen":            {instances: 5, first: among(0, 1, 3, 4), do: grow(10, 836)},
	"instances come after it was seen":           {instances: 5, first: among(0, 1, 3, 4), do: grow(10, 2500)},
	"instances come to the larger side":          {instances: 5, first: among(2, 5, 6, 7, 8, 9), do: grow(5, 500)},
	"instances come to both sides":               {instances: 6, first: func(i int) bool { return i%2 == 0 }, do: grow(12, 200)},
	"one instance comes to each of two":          {instances: 2, first: among(0, 2), do: grow(2, 300)},
	"instances are killed and start again":       {instances: 5, first: among(0, 1, 3, 4), do: restart(-2900, 0, 1, 2, 4)},
	"instances start again as it begins":         {instances: 5, first: among(0, 1, 3, 4), do: restart(-100, 0, 1, 2, 4)},
	"a whole side starts again":                  {instances: 6, first: among(0, 1, 2), do: restart(500, 0, 1, 2)},
	"an instance of each side starts again":      {instances: 6, first: among(0, 1, 2), do: restart(500, 0, 3)},
	"an instance has ended":                      {instances: 5, first: among(0, 1), do: lose(-3000, 4)},
	"all start again in it, and others come":     {instances: 5, first: among(0, 1, 2), do: both(restart(100, 0, 1, 2, 3, 4), grow(4, 1500))},
	"all of a side start again, and others come": {instances: 5, first: among(0, 1, 2), do: both(restart(100, 3, 4), grow(4, 300))},
	"all of a side start again, others come, and it is kept who owned a part": {
		instances: 5, first: among(0, 1, 2), do: both(keepOwners(5), both(restart(100, 3, 4), grow(4, 300))),
	},
	"all of a side start again, others come, and it is kept who owned a part long ago": {
		instances: 5, first: among(0, 1, 2), do: both(keepOwners(2), both(restart(100, 0, 1, 2), grow(4, 300))),
	},
	"an instance ends after it was seen":       {instances: 5, first: among(0, 1), do: lose(2500, 4)},
	"an instance that has ended comes back":    {instances: 5, first: among(0, 1, 4), do: comeBack(-3000, 2000, 4)},
	"an instance comes back before it is seen": {instances: 5, first: among(0, 1, 4), do: comeBack(-2000, -200, 4)},
	"callers are sent to others":               {instances: 10, first: func(i int) bool { return i%2 == 0 }, do: send(-200, 4, 8)},
	"callers are sent to fewer":                {instances: 10, first: func(i int) bool { return i%2 == 0 }, do: send(-200, 10, 4)},
	"callers were sent to fewer":               {instances: 10, first: func(i int) bool { return i%2 == 0 }, do: send(-10_500, 10, 4), before: 14 * wasabiridge.Second},
	"callers are sent to others, then it is":   {instances: 10, first: among(8, 9), do: send(-3000, 8, 10)},
}

// restart kills instances and starts them again.
func restart(after wasabiridge.Millis, instances ...int) func(f *fleet, cut wasabiridge.Millis) {
	return func(f *fleet, cut wasabiridge.Millis) {
		for _, i := range instances {
			f.at(cut+after, func() { f.kill(i) })
			f.at(cut+after+200+wasabiridge.Millis(f.random.IntN(800)), func() { f.start(i) })
		}
	}
}

// keepOwners lets the first instances stand in the row of the owners.
func keepOwners(n int) func(f *fleet, cut wasabiridge.Millis) {
	return func(f *fleet, _ wasabiridge.Millis) { f.owners = names[:n] }
}

func both(a, b func(f *fleet, cut wasabiridge.Millis)) func(f *fleet, cut wasabiridge.Millis) {
	return func(f *fleet, cut wasabiridge.Millis) {
		a(f, cut)
		b(f, cut)
	}
}

// lose ends an instance for good. The others see that nothing listens there any more.
func lose(after wasabiridge.Millis, i int) func(f *fleet, cut wasabiridge.Millis) {
	return func(f *fleet, cut wasabiridge.Millis) {
		f.at(cut+after, func() { f.kill(i) })
		f.at(cut+after+1000, func() {
			for j, n := range f.nodes {
				if j != i && n.up {
					n.way.(*told).table.Observe(f.now+n.skew, wasabiridge.PeerEnded{ID: instance(i)})
				}
			}
		})
	}
}

// comeBack ends an instance, which starts again later.
func comeBack(after, again wasabiridge.Millis, i int) func(f *fleet, cut wasabiridge.Millis) {
	return func(f *fleet, cut wasabiridge.Millis) {
		lose(after, i)(f, cut)
		f.at(cut+again, func() { f.start(i) })
	}
}

// send lets callers be sent to so many instances before a time, and to as many after it.
func send(after wasabiridge.Millis, before, then int) func(f *fleet, cut wasabiridge.Millis) {
	return func(f *fleet, cut wasabiridge.Millis) {
		f.active = before
		f.at(cut+after, func() { f.active = then })
	}
}

// calm are events without a cut.
var calm = map[string]split{
	"instances come":               {instances: 5, do: grow(10, 0)},
	"instances come and go":        {instances: 10, do: send(0, 4, 8), before: 3 * wasabiridge.Second},
	"callers are sent to fewer":    {instances: 10, do: send(0, 10, 4)},
	"callers are sent to one":      {instances: 4, do: send(0, 4, 1)},
	"an instance is lost for good": {instances: 5, do: lose(0, 4), lost: 2 * wasabiridge.Second},
}

// playSplit plays events around a cut, under a load far above the limit, up to the cut.
func playSplit(seed uint64, tc split) *fleet {
	f := newFleet(seed, tc.instances, []wasabiridge.ClientAccount{limited("a", rate)}, newTold)
	cut := f.now + max(tc.before, splitBefore)
	f.load("a", 4.2*rate, cut+splitSpan, func() int { return f.random.IntN(min(len(f.nodes), f.active)) })
	tc.do(f, cut)
	f.play(cut)
	return f
}

const (
	// splitBefore is how long instances run before a cut at least, splitSpan how long it
	// lasts, splitSeen when both sides have seen it.
	splitBefore = 4 * wasabiridge.Second
	splitSpan   = 9 * wasabiridge.Second
	splitSeen   = 3 * wasabiridge.Second
	// splitSeeds is how often each kind of a cut is played.
	splitSeeds = 3
)

// Guards against instances of which only one side of a cut knows, and which count as
// owners there: the sides together let run more than the limit.
var _ = Describe("The parts of two sides of a cut", func() {
	for name, tc := range splits {
		It("add up to no more than a limit: "+name, func() {
			for seed := range uint64(splitSeeds) {
				f := playSplit(seed, tc)
				cut := f.now
				f.cut = func(a, b int) bool { return tc.first(a) != tc.first(b) }
				f.play(cut + splitSeen)
				for f.now < cut+splitSpan {
					sum, story := f.sides(tc.first)
					Expect(sum).To(BeNumerically("<=", 1.001), "seed %d, %d ms after the cut: %s", seed, f.now-cut, story)
					f.play(f.now + 500)
				}
			}
		})
	}
})

// Guards against requests that are refused below the limit because other instances come or
// go.
var _ = Describe("The part of instances that hear each other", func() {
	for name, tc := range calm {
		It("stays whole: "+name, func() {
			for seed := range uint64(splitSeeds) {
				f := playSplit(seed, tc)
				begun := f.now
				lost := tc.lost
				for f.now < begun+14*wasabiridge.Second {
					f.play(f.now + 100)
					if lost > 0 && f.now < begun+lost {
						continue
					}
					for i := range f.nodes {
						if n := f.nodes[i]; !n.up || f.now < n.began+2*wasabiridge.Second {
							continue
						}
						part := f.part(i)
						Expect(part == 0 || part > 0.999).To(BeTrue(), "seed %d, after %d ms: %d has %.3f", seed, f.now-begun, i, part)
					}
				}
			}
		})
	}
})

// Guards against instances that start on a side of a cut and are told by nobody what is
// left, because those that should tell them are on the other side.
var _ = Describe("An owner that hears no other owner", func() {
	It("tells all newcomers what is left", func() {
		f := newFleet(1, 5, []wasabiridge.ClientAccount{limited("a", rate)}, newTold)
		f.play(f.now + 4*wasabiridge.Second)
		f.cut = func(a, b int) bool { return (a == 2) != (b == 2) }
		f.play(f.now + splitSeen)
		owner := f.nodes[2].way.(*told).table
		for _, id := range names[5:15] {
			owner.Observe(f.now, wasabiridge.UsesHeard{From: id, Life: 1})
		}
		Expect(owner.Newcomers()).To(Equal(names[5:15]))
	})
})

// Guards against an instance that starts behind a cut, hears nobody, and uses an even part
// beside the owners until the cut ends.
var _ = Describe("A newcomer that hears nobody", func() {
	It("lets run next to nothing after its first second", func() {
		f := newFleet(1, 3, []wasabiridge.ClientAccount{limited("a", drawnRate)}, newTold)
		f.play(f.now + 4*wasabiridge.Second)
		f.cut = func(int, int) bool { return true }
		f.add()
		f.play(f.now + 1500)
		begun := f.now
		for f.now < begun+4*wasabiridge.Second {
			f.ask(3, "a", 1)
			f.play(f.now + 10)
		}
		Expect(f.ranIn("a", begun, f.now)).To(BeNumerically("<=", 4))
	})
})

// Guards against instances that start again in a cut and use the parts of owners that not
// all others divide by.
var _ = Describe("The owners that are kept", func() {
	It("are those that all have agreed on", func() {
		f := newFleet(1, 3, []wasabiridge.ClientAccount{limited("a", rate)}, newTold)
		f.play(f.now + 4*wasabiridge.Second)
		f.add()
		f.play(f.now + 200)
		for _, n := range f.nodes {
			Expect(n.way.(*told).table.Owners(f.now)).NotTo(ContainElement(instance(3)))
		}
		f.play(f.now + 4*wasabiridge.Second)
		Expect(f.nodes[0].way.(*told).table.Owners(f.now)).To(HaveLen(4))
	})
})
