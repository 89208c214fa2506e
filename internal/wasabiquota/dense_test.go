package wasabiquota_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// faultSpan is the time within which the faults of a dense history begin, in milliseconds.
const faultSpan = 2500

// dense is a random history in which several faults begin shortly after each other.
type dense struct {
	*fleet
	startedAt   wasabiridge.Millis
	description string
}

func (d *dense) randomTime() wasabiridge.Millis {
	return d.startedAt + wasabiridge.Millis(d.random.IntN(faultSpan))
}

// randomInstances draws some of the instances that were there from the start.
func (d *dense) randomInstances(n int) []int { return d.random.Perm(n)[:1+d.random.IntN(n)] }

// partition splits all instances, including those added later, into two or three groups.
func (d *dense) partition() {
	groups, at, span := 2+d.random.IntN(2), d.randomTime(), 1000+wasabiridge.Millis(d.random.IntN(8000))
	salt := d.random.Uint64()
	group := func(i int) uint64 { return (salt >> (2 * (uint(i) % 31)) & 3) % uint64(groups) }
	separated := func(a, b int) bool { return group(a) != group(b) }
	d.description += fmt.Sprintf("partition into %d (%x) at %d for %d; ", groups, salt, at-d.startedAt, span)
	d.schedule(at, func() { d.partitioned = separated })
	d.schedule(at+span, func() { d.partitioned = func(int, int) bool { return false } })
}

func (d *dense) killRandom(n int) {
	chosen, at := d.randomInstances(n), d.randomTime()
	d.description += fmt.Sprintf("kill %v at %d; ", chosen, at-d.startedAt)
	for _, i := range chosen {
		d.schedule(at, func() { d.kill(i) })
		d.schedule(at+200+wasabiridge.Millis(d.random.IntN(800)), func() {
			if !d.instances[i].up {
				d.start(i)
			}
		})
	}
}

func (d *dense) pauseRandom(n int) {
	chosen, at, span := d.randomInstances(n), d.randomTime(), 500+wasabiridge.Millis(d.random.IntN(6000))
	d.description += fmt.Sprintf("pause %v at %d for %d; ", chosen, at-d.startedAt, span)
	for _, i := range chosen {
		d.schedule(at, func() { d.instances[i].pausedUntil = at + span })
	}
}

func (d *dense) addRandom(n int) {
	at := d.randomTime()
	d.description += fmt.Sprintf("add %d at %d; ", n, at-d.startedAt)
	for j := range n {
		d.schedule(at+50*wasabiridge.Millis(j), d.add)
	}
}

// denseHistory plays the dense history of a seed, which also draws the number of instances,
// the time of the faults and the load. It returns the largest number of units beyond what
// may run in a window.
func denseHistory(seed uint64, b bug) (excess float64, description string) {
	d := &dense{fleet: newFleet(seed, 1, []wasabiridge.ClientAccount{limitedAccount("a", historyRate)}, withBug(b))}
	for range d.random.IntN(9) {
		d.add()
	}
	n := len(d.instances)
	// The row of the owners may be missing or name only some of them.
	if d.random.IntN(3) > 0 {
		d.storedOwners = instanceIDs[:1+d.random.IntN(n)]
	}
	d.runUntil(d.now + 2500 + wasabiridge.Millis(d.random.IntN(9000)))
	d.startedAt = d.now
	d.partition()
	for range d.random.IntN(4) {
		d.killRandom(n)
	}
	for range d.random.IntN(3) {
		d.pauseRandom(n)
	}
	for range d.random.IntN(3) {
		d.addRandom(1 + d.random.IntN(2*n))
	}
	if d.random.IntN(4) == 0 {
		d.partition()
	}
	if d.random.IntN(4) == 0 {
		d.description += "lossy; "
		d.lossRate, d.maxExtraDelay = 0.1, 400
	}
	load := (1 + 6*d.random.Float64()) * historyRate
	hot := d.startedAt + wasabiridge.Millis(d.random.IntN(4000))
	d.description += fmt.Sprintf("%d instances, load %.0f from %d on", n, load, hot-d.startedAt)
	d.sendLoad(load, hot)
	d.runUntil(d.startedAt + historySpan)
	return d.excess(historyRate, d.startedAt), d.description
}

// sendLoad sends requests of one unit to random instances, and more of them from the time
// hot on.
func (d *dense) sendLoad(load float64, hot wasabiridge.Millis) {
	var next func()
	next = func() {
		if d.now >= d.startedAt+historySpan {
			return
		}
		d.request(d.random.IntN(len(d.instances)), "a", 1)
		now := load
		if d.now < hot {
			now = baseLoad * historyRate
		}
		d.schedule(d.now+wasabiridge.Millis(d.random.ExpFloat64()*1000/now), next)
	}
	d.schedule(d.startedAt, next)
}

// BenchmarkDenseHistories plays histories from the seed in QUOTA_SEED on, and logs those
// that exceed the limit.
func BenchmarkDenseHistories(b *testing.B) {
	seed, err := strconv.ParseUint(os.Getenv("QUOTA_SEED"), 10, 64)
	if err != nil {
		seed = 0
	}
	beyond := 0
	for b.Loop() {
		if excess, description := denseHistory(seed, noBug); excess > 0 {
			beyond++
			b.Logf("seed %d: %.1f over the limit: %s", seed, excess, description)
		}
		seed++
	}
	b.ReportMetric(float64(beyond), "beyond")
}

var _ = Describe("Random histories with several faults at a time", func() {
	It("never exceed the limit", func() {
		for seed := range uint64(20) {
			excess, description := denseHistory(seed, noBug)
			Expect(excess).To(BeNumerically("<=", 0), "seed %d: %s", seed, description)
		}
	})
})
