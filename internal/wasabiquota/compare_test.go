package wasabiquota_test

import (
	"fmt"
	"maps"
	"slices"

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

var _ = Describe("Designs of a limit", func() {
	for _, name := range slices.Sorted(maps.Keys(designs)) {
		It("differ in what they refuse below it, and in what they let run beyond it: "+name, func() {
			build := designs[name]
			for _, rate := range []float64{small, large / 6} {
				asked, refused := 0, 0
				for seed := range uint64(2) {
					f := newFleet(seed, 15, []wasabiridge.ClientAccount{limited("a", rate)}, build)
					f.play(f.now + 3000)
					// Callers of an account may all come to a few instances, and move.
					conforming(f, "a", rate, 0.9, f.now+10_000, f.anyOf(15))
					f.play(f.now + 12_000)
					conforming(f, "a", rate, 0.9, f.now+5000, func() int { return 3 })
					f.play(f.now + 8000)
					asked, refused = asked+f.asked["a"], refused+f.refused["a"]
				}
				fmt.Fprintf(GinkgoWriter, "%s: of %.0f a second, below nine tenths: %d of %d refused\n", name, rate, refused, asked)
				if name == "told" {
					Expect(refused).To(BeZero())
				}
			}
			for _, kind := range slices.Sorted(maps.Keys(faults)) {
				worst, ran := 0.0, 0.0
				for seed := range uint64(1) {
					f := playFault(seed, faults[kind], large/12, build)
					limit, from := limited("a", large/12).Limit, wasabiridge.Millis(1_003_000)
					if faults[kind].bound != nil {
						continue
					}
					share, _ := f.most("a", *limit, from)
					worst = max(worst, share)
					ran += f.ranIn("a", from, f.now) / float64(f.now-from) * 1000 / limit.Rate
				}
				if worst > 0 {
					fmt.Fprintf(GinkgoWriter, "%s: %s: %.3f of the limit in a window, ran %.3f of the rate\n", name, kind, worst, ran)
				}
			}
		})

		It("differ in how soon demand that moves can use all of it: "+name, func() {
			f := newFleet(1, 15, []wasabiridge.ClientAccount{limited("a", large/3)}, designs[name])
			f.play(f.now + 3000)
			f.load("a", 0.95*large/3, f.now+5000, func() int { return 1 })
			f.play(f.now + 5000)
			moved := f.now
			f.load("a", 0.95*large/3, f.now+5000, func() int { return 2 })
			f.play(f.now + 5000)
			fmt.Fprintf(GinkgoWriter, "%s: in the first second after it moved %.3f of the rate ran, later %.3f\n", name,
				f.ranIn("a", moved, moved+1000)/large*3, f.ranIn("a", moved+1000, moved+5000)/large/4*3)
		})

		It("differ in what they send: "+name, func() {
			for _, size := range []struct{ instances, accounts, requests int }{{9, 8, 300}, {15, 16, 1200}, {62, 1000, 9300}} {
				f := newFleet(1, size.instances, nil, designs[name])
				var accounts []wasabiridge.ClientAccount
				mean := float64(size.requests) / float64(size.accounts) * meanCost
				for i := range size.accounts {
					accounts = append(accounts, limited(fmt.Sprintf("a%04d", i), 1.8*mean))
				}
				f.adopt(accounts, 0)
				f.play(f.now + 3000)
				for _, a := range accounts {
					f.load(a.ID, mean, f.now+500, f.anyOf(size.instances))
				}
				f.messages, f.bytes = 0, 0
				f.play(f.now + 500)
				each := 0.5 * float64(size.instances)
				fmt.Fprintf(GinkgoWriter, "%s: %d instances with callers, %d busy accounts: %.0f messages, %.1f KB a second and instance\n", name,
					size.instances, size.accounts, float64(f.messages)/each, float64(f.bytes)/each/1000)
			}
		})
	}
})
