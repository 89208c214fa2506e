package wasabiquota_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// designs are those that are compared; told is the product's.
var designs = map[string]func(*fleet, int) way{"fixed": newFixed, "lent": newLent, "told": newTold}

// conforming sends requests of an account that fit into a bucket of so much of its limit.
func conforming(f *fleet, id wasabiridge.ClientAccountID, rate, of float64, until wasabiridge.Millis, to func() int) {
	level, at := 0.0, f.now
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		level, at = min(level+float64(f.now-at)/1000*rate*of, rate*of), f.now
		if cost := f.cost(); float64(cost) <= level {
			level -= float64(cost)
			f.ask(to(), id, cost)
		}
		f.at(f.now+1+wasabiridge.Millis(f.random.ExpFloat64()*meanCost/rate/of*900), next)
	}
	f.at(f.now, next)
}

// belowLimit returns how many requests were asked below nine tenths of a limit, by callers
// that come anywhere and then to one instance, and how many of them were refused.
func belowLimit(rate float64, build func(*fleet, int) way) (asked, refused int) {
	for seed := range uint64(2) {
		f := newFleet(seed, 15, []wasabiridge.ClientAccount{limited("a", rate)}, build)
		f.play(f.now + 3000)
		conforming(f, "a", rate, 0.9, f.now+10_000, f.anyOf(15))
		f.play(f.now + 12_000)
		conforming(f, "a", rate, 0.9, f.now+5000, func() int { return 3 })
		f.play(f.now + 8000)
		asked, refused = asked+f.asked["a"], refused+f.refused["a"]
	}
	return asked, refused
}

// moved returns which part of the rate runs in the first second after demand has moved to
// another instance, and later.
func moved(build func(*fleet, int) way) (first, later float64) {
	f := newFleet(1, 15, []wasabiridge.ClientAccount{limited("a", large/3)}, build)
	f.play(f.now + 3000)
	f.load("a", 0.95*large/3, f.now+5000, func() int { return 1 })
	f.play(f.now + 5000)
	at := f.now
	f.load("a", 0.95*large/3, f.now+5000, func() int { return 2 })
	f.play(f.now + 5000)
	return f.ranIn("a", at, at+1000) / large * 3, f.ranIn("a", at+1000, at+5000) / large / 4 * 3
}

// size is how many instances with callers serve how many busy accounts with how many
// requests a second.
type size struct{ instances, accounts, requests int }

// sent returns what each instance sends in a second.
func sent(z size, build func(*fleet, int) way) (messages, kilobytes float64) {
	f := newFleet(1, z.instances, nil, build)
	var accounts []wasabiridge.ClientAccount
	mean := float64(z.requests) / float64(z.accounts) * meanCost
	for i := range z.accounts {
		accounts = append(accounts, limited(fmt.Sprintf("a%04d", i), 1.8*mean))
	}
	f.adopt(accounts, 0)
	f.play(f.now + 3000)
	for _, a := range accounts {
		f.load(a.ID, mean, f.now+500, f.anyOf(z.instances))
	}
	f.messages, f.bytes = 0, 0
	f.play(f.now + 500)
	each := 0.5 * float64(z.instances)
	return float64(f.messages) / each, float64(f.bytes) / each / 1000
}

var _ = Describe("An account below nine tenths of its limit", func() {
	for _, limit := range []float64{small, large / 6} {
		It(fmt.Sprintf("is refused nothing: %.0f tokens a second", limit), func() {
			asked, refused := belowLimit(limit, newTold)
			Expect(asked).To(BeNumerically(">", 400))
			Expect(refused).To(BeZero())
		})
	}

	It("can use all of it at an instance to which its demand moves", func() {
		first, later := moved(newTold)
		Expect(first).To(BeNumerically(">", 0.75), "of the rate, of which 0.95 is asked")
		Expect(later).To(BeNumerically(">", 0.75))
	})
})

// BenchmarkDesigns compares the designs of a limit. It prints what it finds.
func BenchmarkDesigns(b *testing.B) {
	for b.Loop() {
		for _, name := range slices.Sorted(maps.Keys(designs)) {
			compare(name, designs[name])
		}
	}
}

func compare(name string, build func(*fleet, int) way) {
	for _, limit := range []float64{small, large / 6} {
		asked, refused := belowLimit(limit, build)
		fmt.Fprintf(os.Stderr, "%s: of %.0f a second, below nine tenths: %d of %d refused\n", name, limit, refused, asked)
	}
	for _, kind := range slices.Sorted(maps.Keys(faults)) {
		if faults[kind].bound != nil {
			continue
		}
		f, from := playFault(0, faults[kind], large/12, build), wasabiridge.Millis(1_003_000)
		share, _ := f.most("a", *limited("a", large/12).Limit, from)
		ran := f.ranIn("a", from, f.now) / float64(f.now-from) * 1000 / (large / 12)
		fmt.Fprintf(os.Stderr, "%s: %s: %.3f of the limit in a window, ran %.3f of the rate\n", name, kind, share, ran)
	}
	first, later := moved(build)
	fmt.Fprintf(os.Stderr, "%s: in the first second after demand has moved %.3f of the rate ran, later %.3f\n", name, first, later)
	for _, z := range []size{{9, 8, 300}, {15, 16, 1200}, {62, 1000, 9300}} {
		messages, kilobytes := sent(z, build)
		fmt.Fprintf(os.Stderr, "%s: %d instances with callers, %d busy accounts: %.0f messages, %.1f KB a second and instance\n", name, z.instances, z.accounts, messages, kilobytes)
	}
}
