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

// denseSpan is within which time the faults of a dense history begin.
const denseSpan = 2500

// dense is a history in which several faults begin within moments.
type dense struct {
	*fleet
	begun wasabiridge.Millis
	story string
}

func (d *dense) moment() wasabiridge.Millis {
	return d.begun + wasabiridge.Millis(d.random.IntN(denseSpan))
}

// some draws instances among those that were there at first.
func (d *dense) some(n int) []int { return d.random.Perm(n)[:1+d.random.IntN(n)] }

// split cuts the instances into two or three groups, those that come later too.
func (d *dense) split() {
	groups, at, span := 2+d.random.IntN(2), d.moment(), 1000+wasabiridge.Millis(d.random.IntN(8000))
	salt := d.random.Uint64()
	group := func(i int) uint64 { return (salt >> (2 * (uint(i) % 31)) & 3) % uint64(groups) }
	apart := func(a, b int) bool { return group(a) != group(b) }
	d.story += fmt.Sprintf("cut into %d (%x) at %d for %d; ", groups, salt, at-d.begun, span)
	d.at(at, func() { d.cut = apart })
	d.at(at+span, func() { d.cut = func(int, int) bool { return false } })
}

func (d *dense) killSome(n int) {
	some, at := d.some(n), d.moment()
	d.story += fmt.Sprintf("kill %v at %d; ", some, at-d.begun)
	for _, i := range some {
		d.at(at, func() { d.kill(i) })
		d.at(at+200+wasabiridge.Millis(d.random.IntN(800)), func() {
			if !d.nodes[i].up {
				d.start(i)
			}
		})
	}
}

func (d *dense) freezeSome(n int) {
	some, at, span := d.some(n), d.moment(), 500+wasabiridge.Millis(d.random.IntN(6000))
	d.story += fmt.Sprintf("freeze %v at %d for %d; ", some, at-d.begun, span)
	for _, i := range some {
		d.at(at, func() { d.nodes[i].frozen = at + span })
	}
}

func (d *dense) addSome(n int) {
	at := d.moment()
	d.story += fmt.Sprintf("add %d at %d; ", n, at-d.begun)
	for j := range n {
		d.at(at+50*wasabiridge.Millis(j), d.add)
	}
}

// drawDense plays a dense history that follows from the seed, with another number of
// instances, at another time and under another load each time. It returns the largest
// excess over what may run in a window.
func drawDense(seed uint64, b bug) (excess float64, story string) {
	d := &dense{fleet: newFleet(seed, 1, []wasabiridge.ClientAccount{limited("a", drawnRate)}, withBug(b))}
	for range d.random.IntN(9) {
		d.add()
	}
	n := len(d.nodes)
	// The row of the owners may be there, name some of them only, or not be there.
	if d.random.IntN(3) > 0 {
		d.owners = names[:1+d.random.IntN(n)]
	}
	d.play(d.now + 2500 + wasabiridge.Millis(d.random.IntN(9000)))
	d.begun = d.now
	d.split()
	for range d.random.IntN(4) {
		d.killSome(n)
	}
	for range d.random.IntN(3) {
		d.freezeSome(n)
	}
	for range d.random.IntN(3) {
		d.addSome(1 + d.random.IntN(2*n))
	}
	if d.random.IntN(4) == 0 {
		d.split()
	}
	if d.random.IntN(4) == 0 {
		d.story += "lossy; "
		d.loss, d.late = 0.1, 400
	}
	load := (1 + 6*d.random.Float64()) * drawnRate
	hot := d.begun + wasabiridge.Millis(d.random.IntN(4000))
	d.story += fmt.Sprintf("%d instances, load %.0f from %d on", n, load, hot-d.begun)
	d.rush(load, hot)
	d.play(d.begun + drawnSpan)
	return d.excess(drawnRate, d.begun), d.story
}

// rush sends requests of one unit to any instances, more of them from a time on.
func (d *dense) rush(load float64, hot wasabiridge.Millis) {
	var next func()
	next = func() {
		if d.now >= d.begun+drawnSpan {
			return
		}
		d.ask(d.random.IntN(len(d.nodes)), "a", 1)
		now := load
		if d.now < hot {
			now = calmLoad * drawnRate
		}
		d.at(d.now+wasabiridge.Millis(d.random.ExpFloat64()*1000/now), next)
	}
	d.at(d.begun, next)
}

// BenchmarkDenseHistories plays histories from the seed in QUOTA_SEED on, and tells those
// in which more runs than may.
func BenchmarkDenseHistories(b *testing.B) {
	seed, err := strconv.ParseUint(os.Getenv("QUOTA_SEED"), 10, 64)
	if err != nil {
		seed = 0
	}
	beyond := 0
	for b.Loop() {
		if excess, story := drawDense(seed, noBug); excess > 0 {
			beyond++
			b.Logf("seed %d: %.1f beyond: %s", seed, excess, story)
		}
		seed++
	}
	b.ReportMetric(float64(beyond), "beyond")
}

var _ = Describe("Dense histories", func() {
	It("never let run more than the limit", func() {
		for seed := range uint64(20) {
			excess, story := drawDense(seed, noBug)
			Expect(excess).To(BeNumerically("<=", 0), "seed %d: %s", seed, story)
		}
	})
})
