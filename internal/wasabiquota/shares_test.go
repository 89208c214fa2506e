package wasabiquota_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// usableShare returns the share of the limits that may be used at an instance together with
// the owners that it reaches. It is zero if the instance is down, or uses only its own
// share because levels are still unknown.
func (f *fleet) usableShare(i int) float64 {
	n := f.instances[i]
	if !n.up {
		return 0
	}
	table := n.limiter.(*runningTotals).table
	if entries := table.Entries(f.now + n.clockSkew); !entries[0].Known {
		return 0
	}
	return table.UsableShare(f.now + n.clockSkew)
}

// sumShares adds the usable shares of the two sides of a partition. The share of a side is
// the largest of its instances, since these count together what they admit.
func (f *fleet) sumShares(first func(i int) bool) (sum float64, description string) {
	shares := map[bool]float64{}
	for i := range f.instances {
		side := first(i)
		shares[side] = max(shares[side], f.usableShare(i))
		description += fmt.Sprintf("%d:%.3f ", i, f.usableShare(i))
	}
	return shares[true] + shares[false], description
}

// partitionCase is a partition, or none, with other events around it.
type partitionCase struct {
	instances int
	// first reports whether an instance is on the first side.
	first func(i int) bool
	// do schedules the events. partitionAt is when the partition begins.
	do func(f *fleet, partitionAt wasabiridge.Millis)
	// before is how long the instances run before the partition, lost how long it takes
	// until it is detected that an instance has ended.
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

// addInstances adds n instances, from a time relative to the partition on.
func addInstances(n int, after wasabiridge.Millis) func(f *fleet, partitionAt wasabiridge.Millis) {
	return func(f *fleet, partitionAt wasabiridge.Millis) {
		for i := range n {
			f.schedule(partitionAt+after+50*wasabiridge.Millis(i), f.add)
		}
	}
}

var partitionCases = map[string]partitionCase{
	"no other event":                                 {instances: 5, first: among(0, 1, 3, 4), do: addInstances(0, 0)},
	"instances are added before it":                  {instances: 5, first: among(0, 1, 3, 4), do: addInstances(10, -3000)},
	"instances are added just before it":             {instances: 5, first: among(0, 1, 3, 4), do: addInstances(10, -300)},
	"instances are added before it is detected":      {instances: 5, first: among(0, 1, 3, 4), do: addInstances(10, 100)},
	"instances are added while it is being detected": {instances: 5, first: among(0, 1, 3, 4), do: addInstances(10, 836)},
	"instances are added after it was detected":      {instances: 5, first: among(0, 1, 3, 4), do: addInstances(10, 2500)},
	"instances are added to the larger side":         {instances: 5, first: among(2, 5, 6, 7, 8, 9), do: addInstances(5, 500)},
	"instances are added to both sides":              {instances: 6, first: func(i int) bool { return i%2 == 0 }, do: addInstances(12, 200)},
	"one instance is added to each of two":           {instances: 2, first: among(0, 2), do: addInstances(2, 300)},
	"instances restart before it":                    {instances: 5, first: among(0, 1, 3, 4), do: restart(-2900, 0, 1, 2, 4)},
	"instances restart as it begins":                 {instances: 5, first: among(0, 1, 3, 4), do: restart(-100, 0, 1, 2, 4)},
	"all instances of a side restart":                {instances: 6, first: among(0, 1, 2), do: restart(500, 0, 1, 2)},
	"an instance of each side restarts":              {instances: 6, first: among(0, 1, 2), do: restart(500, 0, 3)},
	"an instance has ended before it":                {instances: 5, first: among(0, 1), do: endInstance(-3000, 4)},
	"all restart during it, and others are added":    {instances: 5, first: among(0, 1, 2), do: both(restart(100, 0, 1, 2, 3, 4), addInstances(4, 1500))},
	"all of a side restart, and others are added":    {instances: 5, first: among(0, 1, 2), do: both(restart(100, 3, 4), addInstances(4, 300))},
	"all of a side restart, others are added, and the owners are stored": {
		instances: 5, first: among(0, 1, 2), do: both(storeOwners(5), both(restart(100, 3, 4), addInstances(4, 300))),
	},
	"all of a side restart, others are added, and outdated owners are stored": {
		instances: 5, first: among(0, 1, 2), do: both(storeOwners(2), both(restart(100, 0, 1, 2), addInstances(4, 300))),
	},
	"an instance ends after it was detected":              {instances: 5, first: among(0, 1), do: endInstance(2500, 4)},
	"an instance that has ended restarts":                 {instances: 5, first: among(0, 1, 4), do: endAndRestart(-3000, 2000, 4)},
	"an instance that has ended restarts just before it":  {instances: 5, first: among(0, 1, 4), do: endAndRestart(-2000, -200, 4)},
	"callers are routed to more instances":                {instances: 10, first: func(i int) bool { return i%2 == 0 }, do: setActive(-200, 4, 8)},
	"callers are routed to fewer instances":               {instances: 10, first: func(i int) bool { return i%2 == 0 }, do: setActive(-200, 10, 4)},
	"callers were routed to fewer instances long before":  {instances: 10, first: func(i int) bool { return i%2 == 0 }, do: setActive(-10_500, 10, 4), before: 14 * wasabiridge.Second},
	"callers are routed to more instances well before it": {instances: 10, first: among(8, 9), do: setActive(-3000, 8, 10)},
}

// restart kills instances at a time relative to the partition, and starts them again.
func restart(after wasabiridge.Millis, instances ...int) func(f *fleet, partitionAt wasabiridge.Millis) {
	return func(f *fleet, partitionAt wasabiridge.Millis) {
		for _, i := range instances {
			f.schedule(partitionAt+after, func() { f.kill(i) })
			f.schedule(partitionAt+after+200+wasabiridge.Millis(f.random.IntN(800)), func() { f.start(i) })
		}
	}
}

// storeOwners stores the first n instances as the owners.
func storeOwners(n int) func(f *fleet, partitionAt wasabiridge.Millis) {
	return func(f *fleet, _ wasabiridge.Millis) { f.storedOwners = instanceIDs[:n] }
}

func both(a, b func(f *fleet, partitionAt wasabiridge.Millis)) func(f *fleet, partitionAt wasabiridge.Millis) {
	return func(f *fleet, partitionAt wasabiridge.Millis) {
		a(f, partitionAt)
		b(f, partitionAt)
	}
}

// endInstance ends an instance for good. The others detect a second later that nothing
// listens at its address any more.
func endInstance(after wasabiridge.Millis, i int) func(f *fleet, partitionAt wasabiridge.Millis) {
	return func(f *fleet, partitionAt wasabiridge.Millis) {
		f.schedule(partitionAt+after, func() { f.kill(i) })
		f.schedule(partitionAt+after+1000, func() {
			for j, n := range f.instances {
				if j != i && n.up {
					n.limiter.(*runningTotals).table.Observe(f.now+n.clockSkew, wasabiridge.PeerEnded{ID: instanceID(i)})
				}
			}
		})
	}
}

// endAndRestart ends an instance, and starts it again later.
func endAndRestart(after, again wasabiridge.Millis, i int) func(f *fleet, partitionAt wasabiridge.Millis) {
	return func(f *fleet, partitionAt wasabiridge.Millis) {
		endInstance(after, i)(f, partitionAt)
		f.schedule(partitionAt+again, func() { f.start(i) })
	}
}

// setActive routes callers to the first `before` instances at first, and to the first
// `then` instances from a time relative to the partition on.
func setActive(after wasabiridge.Millis, before, then int) func(f *fleet, partitionAt wasabiridge.Millis) {
	return func(f *fleet, partitionAt wasabiridge.Millis) {
		f.active = before
		f.schedule(partitionAt+after, func() { f.active = then })
	}
}

// eventCases are events without a partition.
var eventCases = map[string]partitionCase{
	"instances are added":                     {instances: 5, do: addInstances(10, 0)},
	"callers are routed to more instances":    {instances: 10, do: setActive(0, 4, 8), before: 3 * wasabiridge.Second},
	"callers are routed to fewer instances":   {instances: 10, do: setActive(0, 10, 4)},
	"callers are routed to a single instance": {instances: 4, do: setActive(0, 4, 1)},
	"an instance ends for good":               {instances: 5, do: endInstance(0, 4), lost: 2 * wasabiridge.Second},
}

// runCase runs the events of a case until its partition begins, under a load far above the
// limit.
func runCase(seed uint64, tc partitionCase) *fleet {
	f := newFleet(seed, tc.instances, []wasabiridge.ClientAccount{limitedAccount("a", faultRate)}, newRunningTotals)
	partitionAt := f.now + max(tc.before, minRunBefore)
	f.load("a", 4.2*faultRate, partitionAt+partitionSpan, func() int { return f.random.IntN(min(len(f.instances), f.active)) })
	tc.do(f, partitionAt)
	f.runUntil(partitionAt)
	return f
}

const (
	// minRunBefore is how long instances run at least before a partition, partitionSpan how
	// long it lasts, detectionSpan the time after which both sides have detected it.
	minRunBefore  = 4 * wasabiridge.Second
	partitionSpan = 9 * wasabiridge.Second
	detectionSpan = 3 * wasabiridge.Second
	// seedsPerCase is the number of runs of each case.
	seedsPerCase = 3
)

// Guards against instances that only one side of a partition knows of, and that count as
// owners there: both sides together would exceed the limit.
var _ = Describe("The usable shares of the two sides of a partition", func() {
	for name, tc := range partitionCases {
		It("add up to no more than the limit: "+name, func() {
			for seed := range uint64(seedsPerCase) {
				f := runCase(seed, tc)
				partitionAt := f.now
				f.partitioned = func(a, b int) bool { return tc.first(a) != tc.first(b) }
				f.runUntil(partitionAt + detectionSpan)
				for f.now < partitionAt+partitionSpan {
					sum, description := f.sumShares(tc.first)
					Expect(sum).To(BeNumerically("<=", 1.001), "seed %d, %d ms after the partition: %s", seed, f.now-partitionAt, description)
					f.runUntil(f.now + 500)
				}
			}
		})
	}
})

// Guards against requests that are refused below the limit because instances are added or
// removed.
var _ = Describe("The usable share of instances that reach each other", func() {
	for name, tc := range eventCases {
		It("remains the whole limit: "+name, func() {
			for seed := range uint64(seedsPerCase) {
				f := runCase(seed, tc)
				startedAt := f.now
				lost := tc.lost
				for f.now < startedAt+14*wasabiridge.Second {
					f.runUntil(f.now + 100)
					if lost > 0 && f.now < startedAt+lost {
						continue
					}
					for i := range f.instances {
						if n := f.instances[i]; !n.up || f.now < n.startedAt+2*wasabiridge.Second {
							continue
						}
						share := f.usableShare(i)
						Expect(share == 0 || share > 0.999).To(BeTrue(), "seed %d, after %d ms: instance %d has a share of %.3f", seed, f.now-startedAt, i, share)
					}
				}
			}
		})
	}
})

// Guards against instances that start on one side of a partition and receive no levels,
// because the owners that should send them are on the other side.
var _ = Describe("An owner that reaches no other owner", func() {
	It("answers all requests for the levels", func() {
		f := newFleet(1, 5, []wasabiridge.ClientAccount{limitedAccount("a", faultRate)}, newRunningTotals)
		f.runUntil(f.now + 4*wasabiridge.Second)
		f.partitioned = func(a, b int) bool { return (a == 2) != (b == 2) }
		f.runUntil(f.now + detectionSpan)
		owner := f.instances[2].limiter.(*runningTotals).table
		for _, id := range instanceIDs[5:15] {
			owner.Observe(f.now, wasabiridge.UsageReceived{From: id, Incarnation: 1})
		}
		Expect(owner.SnapshotTargets()).To(Equal(instanceIDs[5:15]))
	})
})

// Guards against an instance that starts while it is partitioned from all others, and uses
// an equal share beside the owners until the partition ends.
var _ = Describe("A new instance that reaches no other", func() {
	It("admits almost nothing after its first second", func() {
		f := newFleet(1, 3, []wasabiridge.ClientAccount{limitedAccount("a", historyRate)}, newRunningTotals)
		f.runUntil(f.now + 4*wasabiridge.Second)
		f.partitioned = func(int, int) bool { return true }
		f.add()
		f.runUntil(f.now + 1500)
		startedAt := f.now
		for f.now < startedAt+4*wasabiridge.Second {
			f.request(3, "a", 1)
			f.runUntil(f.now + 10)
		}
		Expect(f.unitsRunIn("a", startedAt, f.now)).To(BeNumerically("<=", 4))
	})
})

// Guards against instances that restart during a partition and use the shares of stored
// owners by which not all others divide the limit.
var _ = Describe("The owners that are stored", func() {
	It("are the set that all members have agreed on", func() {
		f := newFleet(1, 3, []wasabiridge.ClientAccount{limitedAccount("a", faultRate)}, newRunningTotals)
		f.runUntil(f.now + 4*wasabiridge.Second)
		f.add()
		f.runUntil(f.now + 200)
		for _, n := range f.instances {
			Expect(n.limiter.(*runningTotals).table.Owners(f.now)).NotTo(ContainElement(instanceID(3)))
		}
		f.runUntil(f.now + 4*wasabiridge.Second)
		Expect(f.instances[0].limiter.(*runningTotals).table.Owners(f.now)).To(HaveLen(4))
	})
})
